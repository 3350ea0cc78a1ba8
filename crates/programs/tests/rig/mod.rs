//! The gateway on the platform with peers of our own on loopback: nodes, discovery, clients. The test holds both peers in
//! its hand, and stops the program so that two events lie in the kernel together before it goes on.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::getpeername;
use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{kill_process, pidfd_getfd, pidfd_open, Pid, PidfdFlags, PidfdGetfdFlags, Signal};
use serde_json::{json, Value};

pub const SAMPLE: &str = include_str!("../../../platform/tests/sample.json");
/// Bound of every wait; nothing is proved by it but that something never came.
pub const LONG: Duration = Duration::from_secs(20);

pub fn until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < LONG, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads a head, and a body of the length that it says; none at the connection's end.
pub fn message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length =
        head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// What a node does with the request of this number, from 0; false to close the connection.
pub type Script = fn(usize, &mut TcpStream, &str) -> bool;

pub fn answer(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// Answers with the id of the request, so that one answer is told from another.
pub fn id_of(head: &str) -> &str {
    head.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).unwrap_or("none")
}

#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    pub seen: Arc<Mutex<Vec<String>>>,
    pub connections: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
}

impl Node {
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let node = Node { address, seen: Arc::default(), connections: Arc::default(), ended: Arc::default() };
        let this = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, this) = (stream.expect("a connection"), this.clone());
                this.connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    while let Some((head, _)) = message(&mut stream) {
                        let number = {
                            let mut seen = this.seen.lock().expect("no panic");
                            seen.push(head.clone());
                            seen.len() - 1
                        };
                        if !script(number, &mut stream, &head) {
                            break;
                        }
                    }
                    this.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        node
    }

    pub fn requests(&self) -> usize {
        self.seen.lock().expect("no panic").len()
    }
}

pub fn listing(index: u64, nodes: &[(&str, SocketAddr, &str)]) -> Value {
    let endpoint = |(name, address, status): &(&str, SocketAddr, &str)| {
        json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 3,
               "status": status, "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": nodes.iter().map(endpoint).collect::<Vec<_>>()})
}

/// Discovery: the list as it is, on the call and on the watch.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<Mutex<Value>>,
    pub shut: Arc<AtomicBool>,
    /// Ends its watches after each line.
    pub brief: Arc<AtomicBool>,
    /// When each list was written, and its version.
    pub told: Arc<Mutex<Vec<(Instant, u64)>>>,
}

impl Discovery {
    pub fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let this = Discovery {
            address,
            list: Arc::new(Mutex::new(list)),
            shut: Arc::default(),
            brief: Arc::default(),
            told: Arc::default(),
        };
        let all = this.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, this) = (stream.expect("a connection"), all.clone());
                if this.shut.load(Ordering::SeqCst) {
                    continue;
                }
                thread::spawn(move || this.serve(&mut stream));
            }
        });
        this
    }

    pub fn serve(&self, stream: &mut TcpStream) -> Option<()> {
        let (head, _) = message(stream)?;
        let now = || self.list.lock().expect("no panic").clone();
        if !head.contains("watch=1") {
            let list = now();
            if answer(stream, "200 OK", &list.to_string()) {
                self.note(&list);
            }
            return None;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut told = Value::Null;
        while !self.shut.load(Ordering::SeqCst) {
            let list = now();
            let line = if list == told { "\n".to_string() } else { format!("{list}\n") };
            let news = list != told;
            told = list;
            // A line comes in two chunks.
            let (one, other) = line.split_at(line.len() / 2);
            for piece in [one, other].into_iter().filter(|piece| !piece.is_empty()) {
                stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).ok()?;
            }
            if news {
                self.note(&told);
            }
            if self.brief.load(Ordering::SeqCst) {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    fn note(&self, list: &Value) {
        let index = list["index"].as_u64().expect("a version");
        self.told.lock().expect("no panic").push((Instant::now(), index));
    }

    pub fn set(&self, list: Value) {
        *self.list.lock().expect("no panic") = list;
    }
}

/// The program under test; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    pub fn start(known: &Value, discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let config =
            std::env::temp_dir().join(format!("quaypath-platform-{}-{number}.json", std::process::id()));
        let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
        (value["known"], value["discovery"]) = (known.clone(), json!(discovery.to_string()));
        change(&mut value);
        std::fs::write(&config, value.to_string()).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"))
            .arg("--platform")
            .env("BALANCER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log.next().expect("a line that says where it listens").expect("text");
            if let Some((_, rest)) = line.split_once("listening address=") {
                break rest.split(' ').next().and_then(|text| text.parse().ok()).expect("an address");
            }
        };
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let kept = lines.clone();
        thread::spawn(move || {
            log.map_while(Result::ok).for_each(|line| kept.lock().expect("no panic").push(line));
        });
        Gateway { child, address, config, lines }
    }

    /// With one node that holds block 3, known from the start.
    pub fn with(node: &Node) -> (Self, Discovery) {
        Gateway::at(node.address)
    }

    /// The same, whoever plays that node.
    pub fn at(node: SocketAddr) -> (Self, Discovery) {
        let list = listing(41, &[("s-1", node, "in_service")]);
        let discovery = Discovery::start(list.clone());
        (Gateway::start(&list, discovery.address, |_| {}), discovery)
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Whether its log has said this.
    pub fn logged(&self, what: &str) -> bool {
        !self.lines_with(what).is_empty()
    }

    /// The lines of its log that say this.
    pub fn lines_with(&self, what: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().filter(|line| line.contains(what)).cloned().collect()
    }

    /// Prints what it logged of tasks that kept its loop for long.
    pub fn print_long_polls(&self) {
        self.lines_with("kept the loop").iter().for_each(|line| println!("{line}"));
        self.lines_with("counts=").iter().for_each(|line| println!("{line}"));
    }

    /// Does this while the program stands still: what comes of it lies in the kernel together once it goes on.
    pub fn while_stopped<R>(&self, act: impl FnOnce() -> R) -> R {
        self.signal(Signal::STOP);
        let state = format!("/proc/{}/stat", self.child.id());
        until("it stands still", || {
            std::fs::read_to_string(&state)
                .is_ok_and(|text| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T")))
        });
        let done = act();
        self.signal(Signal::CONT);
        done
    }

    /// Its connections that wait for their peer's answer to come up. Looked for among its own descriptors: the kernel's table
    /// of all connections is as long as what suites before have left at rest, and so is a look at it.
    pub fn opening(&self) -> usize {
        let process = pidfd_open(Pid::from_child(&self.child), PidfdFlags::empty()).expect("it runs");
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors");
        let numbers = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
        // One that was closed meanwhile is not there any more.
        let copies =
            numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
        copies.filter(is_opening).count()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    pub fn ask(&self, class: &str, id: &str) -> (u16, String, String) {
        exchange(&mut self.connect(), &put(class, id, "1000m"))
    }
}

/// Whether this is a socket that has asked for a connection and heard nothing yet: it has no peer, does not listen, and is
/// neither ready nor at its end.
fn is_opening(descriptor: &OwnedFd) -> bool {
    if socket_acceptconn(descriptor) != Ok(false) || getpeername(descriptor) != Err(Errno::NOTCONN) {
        return false;
    }
    let mut polled = [PollFd::new(descriptor, PollFlags::OUT)];
    poll(&mut polled, Some(&Timespec::default())).expect("a descriptor") == 0
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_long_polls();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub fn put(class: &str, id: &str, time: &str) -> String {
    format!(
        "PUT /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Storage-Class: gold\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Timeout: {time}\r\nContent-Length: 4\r\n\
         X-Extent: volume=00000003b4d60021,units=1,shard=3,hosts=2\r\n\r\nbody"
    )
}

/// Status, head and body of the answer; 0 where the connection ended without one.
pub fn exchange(stream: &mut TcpStream, text: &str) -> (u16, String, String) {
    let _ = stream.write_all(text.as_bytes());
    let Some((head, body)) = message(stream) else { return (0, String::new(), String::new()) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    (status, head, String::from_utf8_lossy(&body).into_owned())
}

pub fn settles(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    answer(stream, "200 OK", id_of(head))
}

pub fn silent(_: usize, _: &mut TcpStream, _: &str) -> bool {
    true
}

pub fn slow(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    thread::sleep(Duration::from_millis(150));
    answer(stream, "200 OK", id_of(head))
}

/// A call to discovery, in the test's hand.
pub struct Call {
    stream: TcpStream,
    pub watch: bool,
    pub at: Instant,
}

impl Call {
    /// The whole list, and the call's end.
    pub fn list(mut self, list: &Value) {
        assert!(!self.watch, "a call for the whole list is wanted");
        answer(&mut self.stream, "200 OK", &list.to_string());
    }

    pub fn opens(&mut self) {
        assert!(self.watch, "a watch is wanted");
        self.begins();
    }

    /// The head of an answer in chunks, to whatever call.
    pub fn begins(&mut self) {
        self.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// A piece of the watch; false once its reader has gone.
    pub fn piece(&mut self, text: &str) -> bool {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
    }

    pub fn bytes(&mut self, text: &str) {
        let _ = self.takes(text);
    }

    /// Sends bytes as they are; false once their reader has gone.
    pub fn takes(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    pub fn reset(self) {
        resets(&self.stream);
    }
}

/// Discovery in the test's hand: each call comes here, and nothing is answered by itself.
pub struct Calls {
    pub address: SocketAddr,
    calls: Receiver<Call>,
}

impl Calls {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, sender) = (stream.expect("a connection"), sender.clone());
                thread::spawn(move || {
                    if let Some((head, _)) = message(&mut stream) {
                        let _ =
                            sender.send(Call { watch: head.contains("watch=1"), stream, at: Instant::now() });
                    }
                });
            }
        });
        Calls { address, calls }
    }

    pub fn next(&self) -> Call {
        self.calls.recv_timeout(LONG).expect("a call to discovery")
    }

    /// Whether one has come meanwhile.
    pub fn waiting(&self) -> Option<Call> {
        self.calls.try_recv().ok()
    }

    /// Answers the call for the whole list, where that comes first, and opens the watch behind it.
    pub fn begin(&self, list: &Value) -> Call {
        let mut call = self.next();
        while !call.watch {
            call.list(list);
            call = self.next();
        }
        call.opens();
        call
    }
}

impl Calls {
    /// Tells the whole list on the next call, be it for the list or for a watch; gives a watch that stays open.
    pub fn tells(&self, list: &Value) -> Call {
        let mut call = self.next();
        if !call.watch {
            call.list(list);
            call = self.next();
        }
        call.opens();
        call.piece(&format!("{list}\n"));
        call
    }
}

/// Whether the peer has closed this connection, in order or by a reset; one that only stays silent is not closed.
pub fn closed(stream: &mut TcpStream) -> bool {
    let came = stream.read(&mut [0]).map_err(|error| error.kind());
    matches!(came, Ok(0) | Err(ErrorKind::ConnectionReset))
}

/// From here on the connection's end is a reset.
pub fn resets(stream: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("a socket");
}

/// A node in the test's hand: its connections come here in order, and nothing is read by itself.
pub struct Hand {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl Hand {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        Hand { address: listener.local_addr().expect("bound"), listener }
    }

    /// Takes little at once: segments and the room for what it has not read are small, and so is what the kernel of
    /// whoever sends to it takes.
    pub fn narrow() -> Self {
        let hand = Hand::start();
        let socket = socket2::SockRef::from(&hand.listener);
        socket.set_recv_buffer_size(2 << 10).expect("a socket");
        socket.set_tcp_mss(536).expect("a socket");
        hand
    }

    pub fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    /// Lets no further connection come up until [`Hand::accept`]: the kernel drops what asks for one, and whoever asked
    /// asks again a second later.
    pub fn full(&self) -> Vec<TcpStream> {
        rustix::net::listen(&self.listener, 0).expect("a listener");
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            held.push(stream);
            assert!(held.len() < 8, "the kernel drops none");
        }
        held
    }
}
