//! The gateway on the platform, driven from outside: the real program, with nodes, discovery and clients of our own
//! on loopback. Each test names the failure that it guards against.

mod rig;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rig::{
    answer_ok, answer_slowly, closed_by_peer, exchange, never_answer, node_list, put_request, request_id,
    wait_until, write_response, Discovery, Gateway, Node, Script, SAMPLE_CONFIG,
};
use rustix::process::Signal;
use serde_json::{json, Value};
use test_case::test_case;

fn first_error(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        write_response(stream, "500 Error", "")
    } else {
        answer_ok(number, stream, head)
    }
}

fn first_full(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number > 0 {
        return answer_ok(number, stream, head);
    }
    stream.write_all(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n").is_ok()
}

fn first_unavailable(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        write_response(stream, "503 Busy", "")
    } else {
        answer_ok(number, stream, head)
    }
}

/// The request has come whole, and the connection ends without an answer.
fn first_reset(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    number > 0 && answer_ok(number, stream, head)
}

fn first_endless(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number > 0 {
        return answer_ok(number, stream, head);
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
    while stream.write_all(&[b'x'; 4096]).is_ok() {}
    false
}

fn first_noise(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        stream.write_all(b"\x00\xffnoise").is_ok()
    } else {
        answer_ok(number, stream, head)
    }
}

fn interim(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    stream.write_all(b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Soon\r\n\r\n").is_ok()
        && write_response(stream, "200 OK", request_id(head))
}

// Guards against a second effect of a once-only transaction, a refusal of one that may have run, and against
// repeatable ones given up though another shot was free.
#[test_case(answer_ok, "buy", 200, 1; "settled")]
#[test_case(interim, "buy", 200, 1; "informational answers before it")]
#[test_case(first_error, "lookup", 200, 2; "an error, repeatable")]
#[test_case(first_error, "buy", 500, 1; "an error, once only")]
#[test_case(first_full, "buy", 200, 2; "turned away unseen")]
#[test_case(first_unavailable, "buy", 500, 1; "503 without the promise")]
#[test_case(first_reset, "buy", 500, 1; "reset after the last byte, once only")]
#[test_case(first_reset, "lookup", 200, 2; "reset after the last byte, repeatable")]
#[test_case(first_endless, "buy", 500, 1; "three gigabytes, once only")]
#[test_case(first_endless, "lookup", 200, 2; "three gigabytes, repeatable")]
#[test_case(first_noise, "lookup", 200, 2; "noise, repeatable")]
fn outcomes(script: Script, class: &str, status: u16, shots: usize) {
    let node = Node::start(script);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let (found, head, body) = gateway.send_request(class, "9b1f03aa5c7e2d41");
    assert_eq!((found, node.request_count()), (status, shots), "{head}");
    if status == 200 {
        assert_eq!(body, "9b1f03aa5c7e2d41");
    }
    assert!(node
        .request_heads
        .lock()
        .expect("no panic")
        .iter()
        .all(|head| request_id(head) == "9b1f03aa5c7e2d41"));
}

/// Guards against good answers refused for their length: nodes were seen to answer reads with six times the page's
/// 64 KiB.
#[test]
fn a_long_answer_is_passed_on_whole() {
    fn long(_: usize, stream: &mut TcpStream, head: &str) -> bool {
        write_response(stream, "200 OK", &request_id(head).repeat(100_000))
    }
    let node = Node::start(long);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let (status, _, body) = gateway.send_request("lookup", "four");
    assert_eq!((status, node.request_count()), (200, 1));
    assert!(body == "four".repeat(100_000));
}

/// Guards against a silent node's transaction that ends without an answer, or is sent again though it may run yet.
#[test]
fn a_time_out_is_scrapped_and_its_connection_closed() {
    let node = Node::start(never_answer);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    assert_eq!(exchange(&mut gateway.connect(), &put_request("buy", "one", "300m")).0, 500);
    assert_eq!(node.request_count(), 1);
    wait_until("its connection is closed", || node.closed_connections.load(Ordering::SeqCst) == 1);
}

/// Guards against a client left waiting once the core gave up, and against advice that is lost on the way: a node
/// that refuses connections has run nothing.
#[test]
fn what_never_ran_is_declined_with_advice() {
    let refusing = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let list = node_list(41, &[("s-1", refusing, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |_| {});
    let (status, head, _) = gateway.send_request("buy", "one");
    assert_eq!(status, 503);
    assert!(head.contains("Retry-After: 0.500"), "{head}");
}

/// Guards against work that nobody waits for.
#[test]
fn a_client_that_leaves_ends_its_shot() {
    let node = Node::start(never_answer);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    client.write_all(put_request("lookup", "one", "1000m").as_bytes()).expect("sent");
    wait_until("the shot is out", || node.request_count() == 1);
    drop(client);
    wait_until("its connection is closed", || node.closed_connections.load(Ordering::SeqCst) == 1);
    assert_eq!(node.request_count(), 1);
}

/// Guards against a request lost on a pooled connection that the node has closed meanwhile.
#[test]
fn a_connection_closed_while_idle_is_not_used() {
    fn closes(number: usize, stream: &mut TcpStream, head: &str) -> bool {
        answer_ok(number, stream, head) && number > 0
    }
    let node = Node::start(closes);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    assert_eq!(exchange(&mut client, &put_request("buy", "one", "1000m")).2, "one");
    wait_until("the node has closed", || node.closed_connections.load(Ordering::SeqCst) == 1);
    for id in ["two", "three"] {
        assert_eq!(exchange(&mut client, &put_request("buy", id, "1000m")).2, id);
        // Past the rest that a connection has after an answer.
        thread::sleep(Duration::from_millis(200));
    }
    // Three requests over two connections: the second one was kept and used again.
    assert_eq!((node.request_count(), node.connection_count.load(Ordering::SeqCst)), (3, 2));
}

/// Guards against an answer that belongs to the request before.
#[test]
fn a_second_answer_behind_the_first_is_nobodys() {
    fn twice(_: usize, stream: &mut TcpStream, head: &str) -> bool {
        let one = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
            request_id(head).len(),
            request_id(head)
        );
        stream.write_all(one.repeat(2).as_bytes()).is_ok()
    }
    let node = Node::start(twice);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    for id in ["one", "two", "three"] {
        assert_eq!(exchange(&mut client, &put_request("buy", id, "1000m")).2, id);
    }
    assert_eq!(node.connection_count.load(Ordering::SeqCst), 3);
}

// Guards against what can't be read being passed on, answered as served, or left without a word.
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "double framing")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n", 400; "negative length")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n", 413; "sixty megabytes")]
#[test_case("noise\r\n\r\n", 400; "noise")]
#[test_case("GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400; "no headers of ours")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", 408; "half a request")]
#[test_case("", 0; "silence")]
fn bad_clients(text: &str, status: u16) {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut bad = gateway.connect();
    assert_eq!(exchange(&mut bad, text).0, status);
    assert_eq!(bad.read(&mut [0]).unwrap_or(0), 0, "closed");
    assert_eq!(node.request_count(), 0);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
}

/// Guards against a second copy of an open transaction, and against its owner paying for it.
#[test]
fn an_id_that_is_open_is_refused_to_others() {
    let node = Node::start(answer_slowly);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut owner = gateway.connect();
    owner.write_all(put_request("buy", "one", "1000m").as_bytes()).expect("sent");
    wait_until("the shot is out", || node.request_count() == 1);
    assert_eq!(gateway.send_request("buy", "one").0, 409);
    assert_eq!(exchange(&mut owner, "").2, "one");
    assert_eq!(gateway.send_request("buy", "one").0, 409);
    assert_eq!(node.request_count(), 1);
}

/// Guards against a client that sends ahead and gets answers out of order, or another's.
#[test]
fn pipelined_requests_are_served_in_order() {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    let all: String = (0..20).map(|number| put_request("lookup", &format!("id{number}"), "1000m")).collect();
    client.write_all(all.as_bytes()).expect("sent");
    for number in 0..20 {
        assert_eq!(exchange(&mut client, "").2, format!("id{number}"));
    }
}

/// Guards against a crowd that takes all descriptors and says nothing.
#[test]
fn a_silent_crowd_does_not_shut_out_the_usual_clients() {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |config| config["limits"]["sockets"] = json!(64));
    let mut usual = gateway.connect();
    assert_eq!(exchange(&mut usual, &put_request("buy", "first", "1000m")).0, 200);
    let mut crowd: Vec<TcpStream> = (0..200).map(|_| gateway.connect()).collect();
    for number in 0..20 {
        assert_eq!(gateway.send_request("buy", &format!("id{number}")).0, 200);
    }
    let descriptors = format!("/proc/{}/fd", gateway.child.id());
    assert!(std::fs::read_dir(descriptors).expect("its descriptors").count() <= 64);
    // Each of the crowd is owed a close.
    assert!(crowd.iter_mut().all(closed_by_peer));
}

/// Guards against transactions lost at a planned restart, and against clients left without anybody while there was time
/// to serve them: they go on using the connections that they have. The kill comes 0.7 s after the longest deadline,
/// which counts as 3 s at most, however long it is.
#[test_case(2.5, 3.2; "a longest deadline that counts")]
#[test_case(8.0, 3.7; "one that is longer than the page counts")]
fn what_was_taken_is_answered_after_sigterm(longest: f64, kill: f64) {
    let node = Node::start(answer_slowly);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"]["Grades"][1]["Deadline"] = json!(longest);
    });
    let mut clients: Vec<TcpStream> = (0..8).map(|_| gateway.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(put_request("lookup", &format!("id{number}"), "1000m").as_bytes()).expect("sent");
    }
    wait_until("all are taken", || node.request_count() >= 1);
    gateway.send_signal(Signal::TERM);
    let began = Instant::now();
    // New connections keep coming for a while.
    assert_eq!(gateway.send_request("lookup", "late").2, "late");
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(exchange(client, "").2, format!("id{number}"));
    }
    // Kept ones are served until they are closed, with an answer that says so or between two requests.
    let (kept, mut number) = (&mut clients[0], 0);
    loop {
        number += 1;
        let (status, head, _) = exchange(kept, &put_request("lookup", &format!("kept{number}"), "1000m"));
        if status == 0 || head.contains("Connection: close") {
            break;
        }
        assert_eq!(status, 200);
    }
    assert!(number > 5, "{number} served after the signal");
    wait_until("it has ended", || gateway.child.try_wait().expect("a child").is_some());
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
    assert!(began.elapsed() < Duration::from_secs_f64(kill), "the kill comes {kill} s after the signal");
}

/// Asks on kept connections until an answer says that it was the last, and gives that one's status.
fn asks_until_closed(client: &mut TcpStream) -> u16 {
    for number in 0.. {
        let (status, head, _) = exchange(client, &put_request("lookup", &format!("kept{number}"), "1000m"));
        if status == 0 || head.contains("Connection: close") {
            return status;
        }
    }
    0
}

/// Guards against requests lost behind SIGTERM, however they stand then: half sent, sent ahead of an answer, waiting
/// for a silent node past the kill, on a connection that is opened when others are closed already.
#[test]
fn each_request_taken_after_sigterm_gets_a_whole_answer() {
    let (node, quiet) = (Node::start(answer_ok), Node::start(never_answer));
    let mut list =
        node_list(41, &[("s-1", node.address, "in_service"), ("s-2", quiet.address, "in_service")]);
    list["endpoints"][1]["group"] = json!(2);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"]["Grades"][1]["Deadline"] = json!(8.0);
    });
    let ask = |id: &str| put_request("lookup", id, "1000m");
    let [mut half, mut ahead, mut kept, mut idle, mut stuck] = [(); 5].map(|()| gateway.connect());
    assert_eq!(exchange(&mut idle, &ask("idle")).0, 200);
    assert_eq!(exchange(&mut ahead, &ask("before")).0, 200);
    let text = ask("half");
    half.write_all(&text.as_bytes()[..100]).expect("sent");
    stuck
        .write_all(put_request("buy", "stuck", "8000m").replace("shard=3", "shard=2").as_bytes())
        .expect("sent");
    wait_until("the silent node has it", || quiet.request_count() == 1);
    gateway.send_signal(Signal::TERM);
    half.write_all(&text.as_bytes()[100..]).expect("sent");
    assert_eq!(exchange(&mut half, "").2, "half");
    // Once answers end their connections, the first of two requests must not take the second with it.
    assert_eq!(asks_until_closed(&mut kept), 200);
    ahead.write_all((ask("first") + &ask("second")).as_bytes()).expect("sent");
    assert_eq!(exchange(&mut ahead, "").2, "first");
    assert_eq!(exchange(&mut ahead, "").2, "second");
    assert_eq!(idle.read(&mut [0]).expect("closed in order"), 0);
    // It listens to the end: only once it has ended may a connection be refused.
    match TcpStream::connect(gateway.address) {
        Ok(mut fresh) => assert_ne!(exchange(&mut fresh, &ask("fresh")).0, 0),
        Err(_) => assert!(gateway.child.try_wait().expect("a child").is_some(), "refused before the end"),
    }
    assert_eq!(exchange(&mut stuck, "").0, 500);
    assert_eq!(quiet.request_count(), 1);
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
}

/// Guards against a crash where the kill comes sooner than the first step before it would.
#[test]
fn sigterm_with_short_deadlines() {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        for at in 0..2 {
            config["settings"]["Grades"][at]["Deadline"] = json!(0.3);
        }
    });
    let mut idle = gateway.connect();
    assert_ne!(exchange(&mut idle, &put_request("lookup", "one", "300m")).0, 0);
    gateway.send_signal(Signal::TERM);
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
    assert_eq!(idle.read(&mut [0]).expect("closed in order"), 0);
}

/// Guards against drains missed for the rest of the notice: a new configuration behind SIGTERM is obeyed too.
#[test]
fn sighup_behind_sigterm_is_obeyed() {
    let (one, other) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, old) = Gateway::start_with_node(&one);
    let new = Discovery::start(node_list(
        3,
        &[("s-1", one.address, "terminating"), ("s-9", other.address, "in_service")],
    ));
    let text = std::fs::read_to_string(&gateway.config_path).expect("its file");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = json!(new.address.to_string());
    let mut client = gateway.connect();
    assert_eq!(exchange(&mut client, &put_request("lookup", "before", "1000m")).0, 200);
    gateway.send_signal(Signal::TERM);
    std::fs::write(&gateway.config_path, config.to_string()).expect("a file");
    gateway.send_signal(Signal::HUP);
    old.is_down.store(true, Ordering::SeqCst);
    asks_until_closed(&mut client);
    assert!(other.request_count() > 0, "the new list is used before the end");
    let before = one.request_count();
    gateway.send_request("lookup", "after");
    assert_eq!(one.request_count(), before);
}

/// Guards against a start that waits for discovery.
#[test]
fn it_serves_by_what_is_known_while_discovery_is_silent() {
    let node = Node::start(answer_ok);
    // Takes connections into its backlog, and never says a word.
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let gateway = Gateway::start(&list, discovery.local_addr().expect("bound"), |_| {});
    let up = exchange(&mut gateway.connect(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(up.0, 200);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
}

/// Guards against a list that goes stale: changes over a watch, one that breaks, and a node that moves.
#[test]
fn changes_of_the_list_are_followed() {
    let (one, other) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, discovery) = Gateway::start_with_node(&one);
    assert_eq!(gateway.send_request("buy", "before").0, 200);
    discovery.closes_watch_after_line.store(true, Ordering::SeqCst);
    discovery.set_list(node_list(42, &[("s-1", other.address, "in_service")]));
    let mut number = 0;
    wait_until("the node's new address is used", || {
        number += 1;
        gateway.send_request("lookup", &format!("id{number}")).0 == 200 && other.request_count() > 0
    });
    let before = one.request_count();
    discovery.set_list(node_list(
        43,
        &[("s-1", other.address, "terminating"), ("s-2", one.address, "in_service")],
    ));
    wait_until("the node that replaces it is used", || {
        number += 1;
        gateway.send_request("lookup", &format!("id{number}")).0 == 200 && one.request_count() > before
    });
}

/// Guards against a cap under the size of a large fleet: 1,024 nodes and initiators in the settings, half of the nodes
/// replaced in one change.
#[test]
fn a_list_of_a_large_fleet_is_followed() {
    const NODES: usize = 1024;
    let (old, new) = (Node::start(answer_ok), Node::start(answer_ok));
    let names: Vec<String> = (0..2 * NODES).map(|at| format!("s-{at:08x}")).collect();
    let listed = |index: u64, nodes: &[(usize, SocketAddr, &'static str)]| {
        let named = |(at, address, status): &(usize, SocketAddr, &'static str)| {
            (names[*at].as_str(), *address, *status)
        };
        let mut list = node_list(index, &nodes.iter().map(named).collect::<Vec<_>>());
        for (entry, (at, ..)) in list["endpoints"].as_array_mut().expect("a list").iter_mut().zip(nodes) {
            entry["group"] = json!(at % NODES);
        }
        list
    };
    let known: Vec<_> = (0..NODES).map(|at| (at, old.address, "in_service")).collect();
    let known = listed(41, &known);
    let discovery = Discovery::start(known.clone());
    let gateway = Gateway::start(&known, discovery.address, |config| {
        config["settings"]["Balancers"] = json!(1024);
        config["settings"]["FamilyInfo"]["NShards"] = json!(NODES);
        config["limits"] = json!({"cores": 0.1, "memory_mb": 32, "sockets": 256});
    });
    let ask = |shard: usize, id: &str| {
        let text = put_request("lookup", &format!("{id}{shard}"), "1000m")
            .replace("shard=3", &format!("shard={shard}"));
        exchange(&mut gateway.connect(), &text).0
    };
    assert_eq!((ask(0, "before"), ask(NODES - 1, "before")), (200, 200));
    assert_eq!((old.request_count(), new.request_count()), (2, 0));
    // Even ones stay, odd ones are replaced.
    let change = (0..NODES).map(|at| match at % 2 {
        0 => (at, old.address, "in_service"),
        _ => (NODES + at, new.address, "in_service"),
    });
    let gone = (0..NODES).filter(|at| at % 2 == 1).map(|at| (at, old.address, "terminated"));
    discovery.set_list(listed(42, &gone.chain(change).collect::<Vec<_>>()));
    let mut number = 0;
    wait_until("the last one's replacement is used", || {
        number += 1;
        ask(NODES - 1, &format!("id{number}-")) == 200 && new.request_count() > 0
    });
    let (before, replaced) = (old.request_count(), new.request_count());
    for at in (0..NODES).step_by(64) {
        assert_eq!((ask(at, "even"), ask(at + 1, "odd")), (200, 200), "{at}");
    }
    assert_eq!((old.request_count() - before, new.request_count() - replaced), (NODES / 64, NODES / 64));
}

/// Guards against an outage at a new configuration: the list of before holds until the new address has told its own,
/// and a file that cannot be read changes nothing.
#[test]
fn sighup_moves_to_another_discovery() {
    let (one, other) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, old) = Gateway::start_with_node(&one);
    let kept = std::fs::read_to_string(&gateway.config_path).expect("its file");
    std::fs::write(&gateway.config_path, "{").expect("a file");
    gateway.send_signal(Signal::HUP);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
    // The new address counts its versions for itself, from below the old one's.
    let new = Discovery::start(node_list(3, &[("s-9", other.address, "in_service")]));
    let mut config: Value = serde_json::from_str(&kept).expect("JSON");
    config["discovery"] = json!(new.address.to_string());
    std::fs::write(&gateway.config_path, config.to_string()).expect("a file");
    gateway.send_signal(Signal::HUP);
    old.is_down.store(true, Ordering::SeqCst);
    let mut number = 0;
    wait_until("the new list is used", || {
        number += 1;
        assert_eq!(gateway.send_request("lookup", &format!("id{number}")).0, 200);
        other.request_count() > 0
    });
}

#[test]
fn a_wrong_configuration_ends_with_one_message() {
    let path = std::env::temp_dir().join(format!("quaypath-wrong-{}.json", std::process::id()));
    std::fs::write(&path, SAMPLE_CONFIG.replace("\"127.0.0.1:0\"", "\"nowhere\"")).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"));
    let done = command.arg("--platform").env("BALANCER_CONFIG", &path).output().expect("the gateway");
    let text = String::from_utf8_lossy(&done.stderr).into_owned();
    assert_eq!(done.status.code(), Some(2));
    assert!(text.lines().count() == 1 && text.contains("listen: found nowhere"), "{text}");
    let _ = std::fs::remove_file(path);
}

/// Guards against a body still coming in that eats the error: the client reads it though it sends on.
#[test]
fn an_error_is_read_by_a_client_that_still_sends() {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut bad = gateway.connect();
    bad.write_all(b"PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n").expect("sent");
    for _ in 0..25 {
        bad.write_all(&[b'x'; 4000]).expect("it still takes them");
    }
    assert_eq!(exchange(&mut bad, "").0, 413);
    let _ = bad.shutdown(Shutdown::Both);
}
