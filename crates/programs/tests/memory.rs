//! Memory under clients that send or ask for as much as they can, on real sockets: the process stays within the limit of its
//! configuration, and usual clients are served meanwhile.

mod rig;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rig::{
    exchange, large_list, node_list, put_request, read_message, request_id, wait_until, write_response,
    Discovery, Gateway, Node, LARGE_FLEET,
};
use serde_json::{json, Value};
use test_case::test_case;

/// The least memory of the platform, megabytes, and the most descriptors that come with it.
const MEMORY_MB: usize = 32;
const DESCRIPTORS: usize = 1024;
/// In the debug build, little more than the program itself takes, megabytes.
const LITTLE_MEMORY_MB: usize = 20;
/// Number of clients of a flood: nearly as many as the gateway allows with these descriptors.
const FLOOD_CLIENTS: usize = 420;
/// Number of nodes, each of which holds a block of its own. The usual clients use the first ones, the flood the others.
const NODES: usize = 30;
const USUAL_CLIENTS: usize = 10;
/// How long the usual clients are served beside a flood.
const FLOOD_TIME: Duration = Duration::from_secs(4);

/// Held by one test at a time: each has hundreds of clients.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Script: an answer of 60 KB, to clients of a flood after a time in which all of them can send.
fn answer_long(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    let delay = if request_id(head).starts_with("flood") { 900 } else { 100 };
    thread::sleep(Duration::from_millis(delay));
    write_response(stream, "200 OK", &"a".repeat(60_000))
}

/// A gateway with little memory, and its nodes.
struct SmallGateway {
    gateway: Gateway,
    nodes: Vec<Node>,
    _discovery: Discovery,
}

impl SmallGateway {
    fn start(memory_mb: usize, script: rig::Script) -> Self {
        let nodes: Vec<Node> = (0..NODES).map(|_| Node::start(script)).collect();
        let names: Vec<String> = (0..NODES).map(|block| format!("s-{block}")).collect();
        let entries: Vec<_> = names
            .iter()
            .zip(&nodes)
            .map(|(name, node)| (name.as_str(), node.address, "in_service"))
            .collect();
        let mut list = node_list(41, &entries);
        (0..NODES).for_each(|block| list["endpoints"][block]["group"] = json!(block));
        let discovery = Discovery::start(list.clone());
        let gateway = Gateway::start(&list, discovery.address, |config| {
            config["limits"] = json!({"memory_mb": memory_mb, "sockets": DESCRIPTORS});
            config["settings"]["FamilyInfo"]["NShards"] = json!(NODES);
        });
        SmallGateway { gateway, nodes, _discovery: discovery }
    }
}

/// Resident memory of a process, bytes.
fn resident_bytes(process: u32) -> usize {
    memory_field(process, "VmRSS:")
}

/// The most resident memory that a process has had, bytes.
fn peak_resident_bytes(process: u32) -> usize {
    memory_field(process, "VmHWM:")
}

fn memory_field(process: u32, field: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process is running");
    let line = status.lines().find_map(|line| line.strip_prefix(field)).expect("a line");
    let kib = line.trim().split(' ').next().and_then(|kib| kib.parse::<usize>().ok()).expect("a number");
    kib << 10
}

/// Runs `action`, and measures the most resident memory of the process meanwhile, bytes.
fn measure_peak_memory(process: u32, action: impl FnOnce()) -> usize {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        let sampler = scope.spawn(|| {
            let mut peak = 0;
            while !done.load(Ordering::SeqCst) {
                peak = peak.max(resident_bytes(process));
                thread::sleep(Duration::from_millis(2));
            }
            peak
        });
        // The sampler ends also where the action panics; a test must not hang for it.
        let result = catch_unwind(AssertUnwindSafe(action));
        done.store(true, Ordering::SeqCst);
        let peak = sampler.join().expect("no panic");
        result.unwrap_or_else(|panic| resume_unwind(panic));
        peak
    })
}

/// A short request of a flood client.
fn flood_request(client: usize, number: usize) -> String {
    let block = USUAL_CLIENTS + client % (NODES - USUAL_CLIENTS);
    put_request("lookup", &format!("flood{client}-{number}"), "1200m")
        .replace("shard=3", &format!("shard={block}"))
}

/// A request of a flood client whose head is padded to 16 KB, with a body of this length.
fn long_request(client: usize, number: usize, body_length: usize) -> String {
    let padding: String = (0..38).map(|number| format!("X-Pad-{number}: {}\r\n", "p".repeat(400))).collect();
    flood_request(client, number)
        .replace("Content-Length: 4\r\n", &format!("Content-Length: {body_length}\r\n{padding}"))
        .replace("\r\n\r\nbody", &format!("\r\n\r\n{}", "b".repeat(body_length)))
}

/// Sends each message on a new connection once all clients wait at the barrier, and reads whatever arrives: up to the first
/// answer, and behind the last message until the connection ends or nothing more arrives. The thread returns whether each
/// message was answered or its connection closed.
fn send_and_read_on(
    gateway: &Gateway, messages: Vec<Vec<u8>>, barrier: &Arc<Barrier>,
) -> thread::JoinHandle<bool> {
    let (mut stream, address, barrier) = (gateway.connect(), gateway.address, barrier.clone());
    let run = move || {
        barrier.wait();
        let mut all_ended = true;
        for (number, message) in messages.iter().enumerate() {
            if number > 0 {
                stream = TcpStream::connect(address).expect("the gateway listens");
            }
            all_ended &= send_and_read(&stream, message, number + 1 == messages.len());
        }
        all_ended
    };
    thread::Builder::new().stack_size(128 << 10).spawn(run).expect("a thread")
}

/// Sends the message and reads up to the first answer, or as long as anything arrives; then closes the connection. Returns
/// whether it was answered or closed by the gateway.
fn send_and_read(mut stream: &TcpStream, message: &[u8], to_the_end: bool) -> bool {
    stream.set_read_timeout(Some(FLOOD_TIME)).expect("a timeout");
    stream.set_write_timeout(Some(FLOOD_TIME)).expect("a timeout");
    let mut reader = stream.try_clone().expect("a socket");
    let (mut received, mut closed) = (false, false);
    thread::scope(|scope| {
        let writer = thread::Builder::new().stack_size(64 << 10);
        let _ = writer.spawn_scoped(scope, || stream.write_all(message)).expect("a thread");
        let mut buffer = [0; 4096];
        let mut answered = false;
        while to_the_end || !answered {
            match reader.read(&mut buffer) {
                Ok(count @ 1..) => {
                    received = true;
                    answered = matches!(buffer[count - 1], b'a' | b'\n');
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {
                    closed = true;
                    break;
                }
            }
        }
        // Ends the write as well.
        let _ = reader.shutdown(Shutdown::Both);
    });
    received || closed
}

/// How many requests of usual clients were sent, and how many of them were served.
#[derive(Default)]
struct UsualRequests {
    sent: AtomicUsize,
    served: AtomicUsize,
}

/// Usual clients, each with a node of its own, send short requests one after the other.
fn run_usual_clients(gateway: &Gateway) -> UsualRequests {
    let requests = UsualRequests::default();
    thread::scope(|scope| {
        for client in 0..USUAL_CLIENTS {
            let requests = &requests;
            scope.spawn(move || {
                let (mut stream, began) = (gateway.connect(), Instant::now());
                for number in 0.. {
                    if began.elapsed() >= FLOOD_TIME {
                        break;
                    }
                    let request = put_request("lookup", &format!("usual{client}-{number}"), "1200m")
                        .replace("shard=3", &format!("shard={client}"));
                    let (status, head, body) = exchange(&mut stream, &request);
                    // The scheduler may decline a request at a busy node, but memory must not keep it out.
                    assert!(status == 200 || body == "declined\n", "{status}: {head}{body}");
                    requests.sent.fetch_add(1, Ordering::SeqCst);
                    requests.served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
                    if head.contains("Connection: close") {
                        stream = gateway.connect();
                    }
                }
            });
        }
    });
    requests
}

/// What the clients of a flood do.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Flood {
    /// They send three long requests at once.
    LongRequests,
    /// They send a long head without its end.
    UnfinishedHeads,
    /// They send short requests ahead, until the buffer of the connection is full.
    RequestsSentAhead,
    /// They send requests one after the other, the later the longer.
    GrowingRequests,
}

impl Flood {
    /// What one client sends on one connection after the other.
    fn messages(self, client: usize) -> Vec<Vec<u8>> {
        let request = |number, body_length| long_request(client, number, body_length).into_bytes();
        match self {
            Flood::LongRequests => vec![(0..3).flat_map(|number| request(number, 15_000)).collect()],
            Flood::UnfinishedHeads => {
                let mut head = request(0, 0);
                head.truncate(head.len() - 2);
                vec![head]
            }
            Flood::RequestsSentAhead => {
                vec![(0..50).flat_map(|number| flood_request(client, number).into_bytes()).collect()]
            }
            Flood::GrowingRequests => {
                (1..8).map(|number| request(number, (9 << 10) * number - 512)).collect()
            }
        }
    }
}

/// Guards against the kill for memory under hundreds of clients that send or ask for much (docs/incidents/memory-flood.md):
/// copies of each request and answer took the process over its limit, although the bodies kept to their budget.
#[test_case(Flood::LongRequests)]
#[test_case(Flood::UnfinishedHeads)]
#[test_case(Flood::RequestsSentAhead)]
#[test_case(Flood::GrowingRequests)]
fn a_flood_of_many_clients_stays_within_the_memory(flood: Flood) {
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let small = SmallGateway::start(MEMORY_MB, answer_long);
    let gateway = &small.gateway;
    let process = gateway.child.id();
    let before = resident_bytes(process);
    let mut usual = UsualRequests::default();
    let peak = measure_peak_memory(process, || {
        let barrier = Arc::new(Barrier::new(FLOOD_CLIENTS));
        let clients: Vec<_> = (0..FLOOD_CLIENTS)
            .map(|client| send_and_read_on(gateway, flood.messages(client), &barrier))
            .collect();
        usual = run_usual_clients(gateway);
        for client in clients {
            assert!(client.join().expect("no panic"), "a message had no answer, no error and no close");
        }
    });
    let (sent, served) = (usual.sent.into_inner(), usual.served.into_inner());
    println!("{flood:?}: {before} bytes before, {peak} at most; {served} of {sent} usual requests served");
    gateway.print_long_polls();
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!(10 * served >= 9 * sent, "{served} of {sent}");
}

/// Set once the nodes of [`answer_when_released`] may answer.
static RELEASED: AtomicBool = AtomicBool::new(false);

/// Script: the longest answer of the platform, once the test releases all of them.
fn answer_when_released(_: usize, stream: &mut TcpStream, _: &str) -> bool {
    while !RELEASED.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
    write_response(stream, "200 OK", &"a".repeat(64 << 10))
}

/// Guards against answers that fail because others came at the same time: they wait for memory, and are served whole.
#[test]
fn answers_that_arrive_at_once_wait_for_memory() {
    const ANSWERS: usize = 120;
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let small = SmallGateway::start(LITTLE_MEMORY_MB, answer_when_released);
    let gateway = &small.gateway;
    let mut clients: Vec<TcpStream> = (0..ANSWERS).map(|_| gateway.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let request = flood_request(number, 0).replace("lookup", "buy").replace("1200m", "2500m");
        client.write_all(request.as_bytes()).expect("sent");
    }
    let received = || small.nodes.iter().map(Node::request_count).sum::<usize>();
    wait_until("the nodes have the requests", || received() == ANSWERS);
    gateway.while_stopped(|| {
        RELEASED.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(300));
    });
    let answers: Vec<(u16, usize)> = clients
        .iter_mut()
        .map(|client| {
            let (status, _, body) = exchange(client, "");
            (status, body.len())
        })
        .collect();
    gateway.send_signal(rustix::process::Signal::TERM);
    wait_until("the last counts", || gateway.has_logged("counts="));
    gateway.print_long_polls();
    assert!(answers.iter().all(|answer| *answer == (200, 64 << 10)), "{answers:?}");
    let counts = gateway.log_lines_with("counts=").pop().expect("counts");
    let (_, waited) = counts.split_once("\\\"waited\\\":").expect("the count of waiting responses");
    assert!(!waited.starts_with("0,"), "no response waited");
}

/// Guards against memory that grows with the volumes that clients name: the core keeps each for a minute or two, and tens of
/// thousands of them took the process over its limit.
#[test]
fn a_flood_of_volumes_stays_within_the_memory() {
    const CLIENTS: usize = 40;
    /// What the core keeps of a volume, at least.
    const LEAST_VOLUME_BYTES: usize = 800;
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let small = SmallGateway::start(LITTLE_MEMORY_MB, rig::answer_ok);
    let gateway = &small.gateway;
    let mut usual = UsualRequests::default();
    let (mut volumes, sent) = (0, AtomicUsize::new(0));
    let stop = AtomicBool::new(false);
    let before = resident_bytes(gateway.child.id());
    let peak = measure_peak_memory(gateway.child.id(), || {
        thread::scope(|scope| {
            for client in 0..CLIENTS {
                let (sent, stop) = (&sent, &stop);
                scope.spawn(move || {
                    let mut stream = gateway.connect();
                    while !stop.load(Ordering::SeqCst) {
                        let number = sent.fetch_add(1, Ordering::SeqCst);
                        let request = flood_request(client, number)
                            .replace("volume=00000003b4d60021", &format!("volume={:016x}", number + 1));
                        let (status, head, _) = exchange(&mut stream, &request);
                        assert!(matches!(status, 200 | 503), "{status}: {head}");
                        if head.contains("Connection: close") {
                            stream = gateway.connect();
                        }
                    }
                });
            }
            // The volume of the usual clients is known by then.
            usual = run_usual_clients(gateway);
            wait_until("the volumes would pass the limit", || {
                volumes = sent.load(Ordering::SeqCst);
                before + volumes * LEAST_VOLUME_BYTES > LITTLE_MEMORY_MB * 1_000_000
            });
            stop.store(true, Ordering::SeqCst);
        });
    });
    let (sent, served) = (usual.sent.into_inner(), usual.served.into_inner());
    println!("{peak} bytes at most with {volumes} volumes; {served} of {sent} usual requests served");
    assert!(peak <= LITTLE_MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!(10 * served >= 9 * sent, "{served} of {sent}");
}

/// Starts a discovery that takes a second to send this text as its list. Its watches send empty lines only.
fn start_slow_discovery(list: &str) -> SocketAddr {
    const PIECES: usize = 20;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let list: Arc<str> = list.into();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, list) = (stream.expect("a connection"), list.clone());
            thread::spawn(move || {
                let Some((head, _)) = read_message(&mut stream) else { return };
                if head.contains("watch=1") {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    while stream.write_all(b"1\r\n\n\r\n").is_ok() {
                        thread::sleep(Duration::from_millis(500));
                    }
                }
                let _ = write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                for piece in list.as_bytes().chunks(list.len().div_ceil(PIECES)) {
                    thread::sleep(Duration::from_secs(1) / PIECES as u32);
                    if stream.write_all(piece).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Guards against the kill for memory at new configurations of a large fleet (docs/incidents/reload-memory.md): the file was
/// decoded whole, with its node list, and several calls each held a list, beside all that clients may hold.
#[test]
fn new_configurations_of_a_large_fleet_stay_within_the_memory() {
    const RELOADS: usize = 4;
    const CROWD: usize = 400;
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let nodes: Vec<Node> = (0..NODES).map(|_| Node::start(rig::answer_ok)).collect();
    let list = large_list(&nodes.iter().map(|node| node.address).collect::<Vec<_>>());
    let text = serde_json::to_string_pretty(&list).expect("JSON");
    let gateway = Gateway::start(&list, start_slow_discovery(&text), |config| {
        config["limits"] = json!({"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
        config["settings"]["FamilyInfo"]["NShards"] = json!(LARGE_FLEET);
    });
    let mut config: Value =
        serde_json::from_slice(&std::fs::read(&gateway.config_path).expect("its file")).expect("JSON");
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for client in 0..CROWD {
            let (address, stop) = (gateway.address, &stop);
            let run = move || run_half_requests(address, HalfRequests::Stopped, client, stop);
            thread::Builder::new().stack_size(128 << 10).spawn_scoped(scope, run).expect("a thread");
        }
        for _ in 0..RELOADS {
            let address = start_slow_discovery(&text);
            config["discovery"] = json!(address.to_string());
            std::fs::write(&gateway.config_path, serde_json::to_string_pretty(&config).expect("JSON"))
                .expect("a file");
            gateway.send_signal(rustix::process::Signal::HUP);
            wait_until("the configuration is reloaded", || {
                gateway.has_logged(&format!("configuration reloaded discovery={address}"))
            });
            // The next one comes while this one's lists are being received.
            thread::sleep(Duration::from_millis(900));
        }
        thread::sleep(Duration::from_secs(2));
        stop.store(true, Ordering::SeqCst);
    });
    let peak = peak_resident_bytes(gateway.child.id());
    gateway.print_long_polls();
    println!("{peak} bytes at most");
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes");
    // The list of the last address came through beside the clients.
    assert_eq!(gateway.send_request("lookup", "last").0, 200);
}

/// What the clients of a crowd do that never complete a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HalfRequests {
    /// They stop within a long body, or within a long head, and come again once they have their error.
    Stopped,
    /// They send a request of very many short fields without its last bytes.
    ShortFields,
    /// They send a long request byte by byte.
    ByteByByte,
}

impl HalfRequests {
    /// What one client sends, and its pause before each byte.
    fn message(self, client: usize) -> (Vec<u8>, Option<Duration>) {
        let short_fields: String = (0..55).map(|number| format!("X-{number}:\r\n")).collect();
        let with_short_fields = flood_request(client, 0)
            .replace("Content-Length: 4\r\n", &format!("Content-Length: 1500\r\n{short_fields}"));
        let shortened = |text: String, left_out| text.as_bytes()[..text.len() - left_out].to_vec();
        match self {
            HalfRequests::Stopped if client.is_multiple_of(4) => {
                (shortened(long_request(client, 0, 64_000), 1000), None)
            }
            HalfRequests::Stopped => (shortened(long_request(client, 0, 0), 2), None),
            HalfRequests::ShortFields => (with_short_fields.into_bytes(), None),
            HalfRequests::ByteByByte => {
                (long_request(client, 0, 64_000).into_bytes(), Some(Duration::from_millis(40)))
            }
        }
    }
}

/// A client of a crowd: sends its message, waits for an error or a close, and comes again, until `stop` is set.
fn run_half_requests(address: SocketAddr, kind: HalfRequests, client: usize, stop: &AtomicBool) {
    let (message, pause) = kind.message(client);
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else { continue };
        stream.set_read_timeout(Some(FLOOD_TIME)).expect("a timeout");
        match pause {
            None if stream.write_all(&message).is_ok() => drop(stream.read(&mut [0; 512])),
            None => {}
            Some(pause) => {
                let mut bytes = message.iter();
                while !stop.load(Ordering::SeqCst)
                    && bytes.next().is_some_and(|byte| stream.write_all(&[*byte]).is_ok())
                {
                    thread::sleep(pause);
                }
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

/// How the requests of usual clients ended.
#[derive(Debug, Default)]
struct UsualAnswers {
    served: usize,
    refused: usize,
    unanswered: Vec<String>,
}

/// Usual clients, each with a node of its own: some keep their connection, the others open one for each request. A connection
/// that was closed between two requests is opened again.
fn run_usual_clients_beside_a_crowd(gateway: &Gateway, duration: Duration) -> UsualAnswers {
    let answers = Mutex::new(UsualAnswers::default());
    thread::scope(|scope| {
        for client in 0..USUAL_CLIENTS {
            let (answers, keeps_connection) = (&answers, client % 2 == 0);
            scope.spawn(move || {
                let (mut stream, began) = (gateway.connect(), Instant::now());
                for number in 0.. {
                    if began.elapsed() >= duration {
                        break;
                    }
                    thread::sleep(Duration::from_millis(50));
                    stream.set_nonblocking(true).expect("a socket");
                    let is_open =
                        stream.peek(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
                    stream.set_nonblocking(false).expect("a socket");
                    if !keeps_connection || !is_open {
                        stream = gateway.connect();
                    }
                    let request = put_request("lookup", &format!("usual{client}-{number}"), "1200m")
                        .replace("shard=3", &format!("shard={client}"));
                    let sent_at = Instant::now();
                    let (status, head, body) = exchange(&mut stream, &request);
                    let mut answers = answers.lock().expect("no panic");
                    match status {
                        200 => answers.served += 1,
                        503 => answers.refused += 1,
                        _ => answers.unanswered.push(format!(
                            "{client}-{number}: {status} after {:?}, {head}{body}",
                            sent_at.elapsed()
                        )),
                    }
                }
            });
        }
    });
    answers.into_inner().expect("no panic")
}

/// Guards against usual clients that lose their connections and answers to a crowd of half requests, which held all places
/// (docs/incidents/half-requests.md), and against the kill for memory by what such a crowd makes the gateway hold.
#[test_case(HalfRequests::Stopped)]
#[test_case(HalfRequests::ShortFields)]
#[test_case(HalfRequests::ByteByByte)]
fn usual_clients_are_served_beside_a_crowd_of_half_requests(kind: HalfRequests) {
    const CROWD: usize = 700;
    const MEMORY_MB: usize = 64;
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let small = SmallGateway::start(MEMORY_MB, rig::answer_ok);
    let gateway = &small.gateway;
    let stop = AtomicBool::new(false);
    let answers = thread::scope(|scope| {
        for client in 0..CROWD {
            let (address, stop) = (gateway.address, &stop);
            let builder = thread::Builder::new().stack_size(128 << 10);
            builder
                .spawn_scoped(scope, move || run_half_requests(address, kind, client, stop))
                .expect("a thread");
        }
        let answers = run_usual_clients_beside_a_crowd(gateway, Duration::from_secs(8));
        stop.store(true, Ordering::SeqCst);
        answers
    });
    let peak = peak_resident_bytes(gateway.child.id());
    gateway.print_long_polls();
    let UsualAnswers { served, refused, unanswered } = answers;
    println!("{kind:?}: {served} served, {refused} refused, {} unanswered; {peak} bytes", unanswered.len());
    unanswered.iter().take(5).for_each(|line| println!("{line}"));
    assert!(peak <= MEMORY_MB * 1_000_000, "{peak} bytes");
    assert!(unanswered.is_empty(), "{} of usual clients without an answer", unanswered.len());
    assert!(100 * refused <= served, "{refused} refused, {served} served");
}
