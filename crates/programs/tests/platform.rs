//! End-to-end tests of the platform gateway: the real program, with nodes, discovery and clients of the test on loopback.

mod rig;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rig::{
    answer_ok, answer_slowly, closed_by_peer, exchange, never_answer, node_list, put_request, read_message,
    request_id, reset_on_close, set_zone, wait_until, write_response, Discovery, Gateway, ManualNode, Node,
    Script, SAMPLE_CONFIG,
};
use rustix::process::Signal;
use serde_json::{json, Value};
use test_case::test_case;

/// Script: status 500 for the first request, normal answers afterwards. The other `first_` scripts fail likewise once.
fn first_500(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        write_response(stream, "500 Error", "")
    } else {
        answer_ok(number, stream, head)
    }
}

/// Script: 503 with the header that says that the request was not processed.
fn first_not_processed(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number > 0 {
        return answer_ok(number, stream, head);
    }
    stream.write_all(b"HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n").is_ok()
}

/// Script: 503 without that header.
fn first_503(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        write_response(stream, "503 Busy", "")
    } else {
        answer_ok(number, stream, head)
    }
}

/// Script: closes the connection without an answer after the complete first request.
fn first_closed(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    number > 0 && answer_ok(number, stream, head)
}

/// Script: sends a 3 GB answer until the connection ends.
fn first_too_long(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number > 0 {
        return answer_ok(number, stream, head);
    }
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n");
    while stream.write_all(&[b'x'; 4096]).is_ok() {}
    false
}

/// Script: bytes that are no HTTP response.
fn first_malformed(number: usize, stream: &mut TcpStream, head: &str) -> bool {
    if number == 0 {
        stream.write_all(b"\x00\xffnoise").is_ok()
    } else {
        answer_ok(number, stream, head)
    }
}

/// Script: two informational responses before each answer.
fn interim_then_ok(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    stream.write_all(b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 103 Soon\r\n\r\n").is_ok()
        && write_response(stream, "200 OK", request_id(head))
}

// Guards against executing a once-only transaction twice, refusing one that may have run, and giving up a repeatable
// one though another shot was allowed.
#[test_case(answer_ok, "buy", 200, 1; "settled")]
#[test_case(interim_then_ok, "buy", 200, 1; "informational responses first")]
#[test_case(first_500, "lookup", 200, 2; "error, repeatable")]
#[test_case(first_500, "buy", 500, 1; "error, once only")]
#[test_case(first_not_processed, "buy", 200, 2; "not processed")]
#[test_case(first_503, "buy", 500, 1; "503 without X-Not-Processed")]
#[test_case(first_closed, "buy", 500, 1; "closed without an answer, once only")]
#[test_case(first_closed, "lookup", 200, 2; "closed without an answer, repeatable")]
#[test_case(first_too_long, "buy", 500, 1; "3 GB answer, once only")]
#[test_case(first_too_long, "lookup", 200, 2; "3 GB answer, repeatable")]
#[test_case(first_malformed, "lookup", 200, 2; "malformed answer, repeatable")]
fn node_response_determines_the_final_answer(script: Script, class: &str, status: u16, shots: usize) {
    let node = Node::start(script);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let (actual_status, head, body) = gateway.send_request(class, "9b1f03aa5c7e2d41");
    assert_eq!((actual_status, node.request_count()), (status, shots), "{head}");
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

/// Guards against valid answers refused for their length: nodes answer reads with up to six times the 64 KiB of the
/// platform's page.
#[test]
fn long_answer_is_passed_on_completely() {
    fn long_answer(_: usize, stream: &mut TcpStream, head: &str) -> bool {
        write_response(stream, "200 OK", &request_id(head).repeat(100_000))
    }
    let node = Node::start(long_answer);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let (status, _, body) = gateway.send_request("lookup", "four");
    assert_eq!((status, node.request_count()), (200, 1));
    assert!(body == "four".repeat(100_000));
}

/// Guards against a transaction at a silent node that gets no answer, or is sent again though it may still run.
#[test]
fn timed_out_request_is_scrapped_and_its_connection_closed() {
    let node = Node::start(never_answer);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    assert_eq!(exchange(&mut gateway.connect(), &put_request("buy", "one", "300m")).0, 500);
    assert_eq!(node.request_count(), 1);
    wait_until("the node connection is closed", || node.closed_connections.load(Ordering::SeqCst) == 1);
}

/// Guards against a client that waits although the core has given up, and against a lost `Retry-After`. A node that
/// refuses connections has run nothing, so the transaction is declined.
#[test]
fn request_that_never_ran_is_declined_with_retry_after() {
    let unused_address = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let list = node_list(41, &[("s-1", unused_address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |_| {});
    let (status, head, _) = gateway.send_request("buy", "one");
    assert_eq!(status, 503);
    assert!(head.contains("Retry-After: 0.500"), "{head}");
}

/// Guards against a shot that continues after its client has left.
#[test]
fn client_disconnect_ends_its_shot() {
    let node = Node::start(never_answer);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    client.write_all(put_request("lookup", "one", "1000m").as_bytes()).expect("sent");
    wait_until("the node has received the shot", || node.request_count() == 1);
    drop(client);
    wait_until("the node connection is closed", || node.closed_connections.load(Ordering::SeqCst) == 1);
    assert_eq!(node.request_count(), 1);
}

/// Guards against a request lost on a pooled connection that the node closed while it was idle.
#[test]
fn connection_closed_while_idle_is_not_reused() {
    fn closes_after_first(number: usize, stream: &mut TcpStream, head: &str) -> bool {
        answer_ok(number, stream, head) && number > 0
    }
    let node = Node::start(closes_after_first);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    assert_eq!(exchange(&mut client, &put_request("buy", "one", "1000m")).2, "one");
    wait_until("the node has closed the connection", || node.closed_connections.load(Ordering::SeqCst) == 1);
    for id in ["two", "three"] {
        assert_eq!(exchange(&mut client, &put_request("buy", id, "1000m")).2, id);
        // Waits longer than the pause before a connection is reused after an answer.
        thread::sleep(Duration::from_millis(200));
    }
    // Three requests over two connections: the second connection was reused.
    assert_eq!((node.request_count(), node.connection_count.load(Ordering::SeqCst)), (3, 2));
}

/// Guards against the second of two answers to a request taken for the answer to the next request.
#[test]
fn second_answer_after_the_first_is_discarded() {
    fn answer_twice(_: usize, stream: &mut TcpStream, head: &str) -> bool {
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
            request_id(head).len(),
            request_id(head)
        );
        stream.write_all(response.repeat(2).as_bytes()).is_ok()
    }
    let node = Node::start(answer_twice);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    for id in ["one", "two", "three"] {
        assert_eq!(exchange(&mut client, &put_request("buy", id, "1000m")).2, id);
    }
    assert_eq!(node.connection_count.load(Ordering::SeqCst), 3);
}

// Guards against malformed requests that are forwarded, answered as served, or left without a response.
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400; "two framings")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\n", 400; "negative length")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n", 413; "60 MB")]
#[test_case("noise\r\n\r\n", 400; "not HTTP")]
#[test_case("GET /api HTTP/1.1\r\nHost: a\r\n\r\n", 400; "required headers missing")]
#[test_case("PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbo", 408; "partial request")]
#[test_case("", 0; "nothing sent")]
fn malformed_requests_are_refused(input: &str, status: u16) {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    assert_eq!(exchange(&mut client, input).0, status);
    assert_eq!(client.read(&mut [0]).unwrap_or(0), 0, "closed");
    assert_eq!(node.request_count(), 0);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
}

/// Guards against a second copy of an open transaction, and against a failure of the first one because of it.
#[test]
fn open_request_id_is_refused_to_other_clients() {
    let node = Node::start(answer_slowly);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut owner = gateway.connect();
    owner.write_all(put_request("buy", "one", "1000m").as_bytes()).expect("sent");
    wait_until("the node has received the shot", || node.request_count() == 1);
    assert_eq!(gateway.send_request("buy", "one").0, 409);
    assert_eq!(exchange(&mut owner, "").2, "one");
    assert_eq!(gateway.send_request("buy", "one").0, 409);
    assert_eq!(node.request_count(), 1);
}

/// Guards against pipelined requests that get answers out of order or to other requests.
#[test]
fn pipelined_requests_are_served_in_order() {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    let requests: String =
        (0..20).map(|number| put_request("lookup", &format!("id{number}"), "1000m")).collect();
    client.write_all(requests.as_bytes()).expect("sent");
    for number in 0..20 {
        assert_eq!(exchange(&mut client, "").2, format!("id{number}"));
    }
}

/// Guards against many silent connections that use all descriptors.
#[test]
fn idle_connection_flood_does_not_block_active_clients() {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |config| config["limits"]["sockets"] = json!(64));
    let mut normal_client = gateway.connect();
    assert_eq!(exchange(&mut normal_client, &put_request("buy", "first", "1000m")).0, 200);
    let mut idle_clients: Vec<TcpStream> = (0..200).map(|_| gateway.connect()).collect();
    for number in 0..20 {
        assert_eq!(gateway.send_request("buy", &format!("id{number}")).0, 200);
    }
    let descriptors = format!("/proc/{}/fd", gateway.child.id());
    assert!(std::fs::read_dir(descriptors).expect("its descriptors").count() <= 64);
    // Each idle connection has to be closed.
    assert!(idle_clients.iter_mut().all(closed_by_peer));
}

/// Guards against transactions lost at a planned restart, and against clients that are turned away while there is time to
/// serve them: they continue to use their connections. The kill comes 0.7 s after the longest deadline, which counts as
/// 3 s at most.
#[test_case(2.5, 3.2; "longest deadline below 3 s")]
#[test_case(8.0, 3.7; "longest deadline limited to 3 s")]
fn accepted_requests_are_answered_after_sigterm(longest_deadline: f64, kill_after: f64) {
    let node = Node::start(answer_slowly);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"]["Grades"][1]["Deadline"] = json!(longest_deadline);
    });
    let mut clients: Vec<TcpStream> = (0..8).map(|_| gateway.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write_all(put_request("lookup", &format!("id{number}"), "1000m").as_bytes()).expect("sent");
    }
    wait_until("the node has received a request", || node.request_count() >= 1);
    gateway.send_signal(Signal::TERM);
    let began = Instant::now();
    // New connections still arrive for a while.
    assert_eq!(gateway.send_request("lookup", "late").2, "late");
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(exchange(client, "").2, format!("id{number}"));
    }
    // Existing connections are served until they are closed, by an answer with `Connection: close` or between two requests.
    let (kept_client, mut number) = (&mut clients[0], 0);
    loop {
        number += 1;
        let (status, head, _) =
            exchange(kept_client, &put_request("lookup", &format!("kept{number}"), "1000m"));
        if status == 0 || head.contains("Connection: close") {
            break;
        }
        assert_eq!(status, 200);
    }
    assert!(number > 5, "{number} served after the signal");
    wait_until("the process has exited", || gateway.child.try_wait().expect("a child").is_some());
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
    assert!(
        began.elapsed() < Duration::from_secs_f64(kill_after),
        "the kill comes {kill_after} s after the signal"
    );
}

/// Sends requests on one connection until an answer has `Connection: close` or the connection ends; returns the last status.
fn request_until_closed(client: &mut TcpStream) -> u16 {
    for number in 0.. {
        let (status, head, _) = exchange(client, &put_request("lookup", &format!("kept{number}"), "1000m"));
        if status == 0 || head.contains("Connection: close") {
            return status;
        }
    }
    0
}

/// Guards against requests lost after SIGTERM in each state: partly sent, pipelined, waiting for a silent node until after
/// the kill, and on a connection opened when others are already closed.
#[test]
fn each_request_accepted_after_sigterm_gets_a_complete_answer() {
    let (node, silent_node) = (Node::start(answer_ok), Node::start(never_answer));
    let mut list =
        node_list(41, &[("s-1", node.address, "in_service"), ("s-2", silent_node.address, "in_service")]);
    list["endpoints"][1]["group"] = json!(2);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        config["settings"]["Grades"][1]["Deadline"] = json!(8.0);
    });
    let request_with_id = |id: &str| put_request("lookup", id, "1000m");
    let [mut partial_client, mut pipelining_client, mut kept_client, mut idle_client, mut stuck_client] =
        [(); 5].map(|()| gateway.connect());
    assert_eq!(exchange(&mut idle_client, &request_with_id("idle")).0, 200);
    assert_eq!(exchange(&mut pipelining_client, &request_with_id("before")).0, 200);
    let partial_request = request_with_id("half");
    partial_client.write_all(&partial_request.as_bytes()[..100]).expect("sent");
    stuck_client
        .write_all(put_request("buy", "stuck", "8000m").replace("shard=3", "shard=2").as_bytes())
        .expect("sent");
    wait_until("the silent node has the request", || silent_node.request_count() == 1);
    gateway.send_signal(Signal::TERM);
    partial_client.write_all(&partial_request.as_bytes()[100..]).expect("sent");
    assert_eq!(exchange(&mut partial_client, "").2, "half");
    // Once answers close their connections, the answer to the first of two pipelined requests must not drop the second.
    assert_eq!(request_until_closed(&mut kept_client), 200);
    pipelining_client
        .write_all((request_with_id("first") + &request_with_id("second")).as_bytes())
        .expect("sent");
    assert_eq!(exchange(&mut pipelining_client, "").2, "first");
    assert_eq!(exchange(&mut pipelining_client, "").2, "second");
    assert_eq!(idle_client.read(&mut [0]).expect("an orderly close"), 0);
    // The gateway listens until its exit, so a connection may only be refused afterwards.
    match TcpStream::connect(gateway.address) {
        Ok(mut new_client) => assert_ne!(exchange(&mut new_client, &request_with_id("fresh")).0, 0),
        Err(_) => assert!(gateway.child.try_wait().expect("a child").is_some(), "refused before the exit"),
    }
    assert_eq!(exchange(&mut stuck_client, "").0, 500);
    assert_eq!(silent_node.request_count(), 1);
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
}

/// Guards against a crash when the deadlines are so short that the first shutdown step, a fixed time before the kill, would
/// be due before SIGTERM.
#[test]
fn sigterm_with_short_deadlines() {
    let node = Node::start(answer_ok);
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let mut gateway = Gateway::start(&list, discovery.address, |config| {
        for class in 0..2 {
            config["settings"]["Grades"][class]["Deadline"] = json!(0.3);
        }
    });
    let mut idle_client = gateway.connect();
    assert_ne!(exchange(&mut idle_client, &put_request("lookup", "one", "300m")).0, 0);
    gateway.send_signal(Signal::TERM);
    assert_eq!(gateway.child.wait().expect("ended").code(), Some(0));
    assert_eq!(idle_client.read(&mut [0]).expect("an orderly close"), 0);
}

/// Guards against drains missed during the shutdown notice: a configuration change after SIGTERM is applied too.
#[test]
fn sighup_after_sigterm_is_applied() {
    let (first_node, second_node) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, old_discovery) = Gateway::start_with_node(&first_node);
    let new_discovery = Discovery::start(node_list(
        3,
        &[("s-1", first_node.address, "terminating"), ("s-9", second_node.address, "in_service")],
    ));
    let text = std::fs::read_to_string(&gateway.config_path).expect("its file");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = json!(new_discovery.address.to_string());
    let mut client = gateway.connect();
    assert_eq!(exchange(&mut client, &put_request("lookup", "before", "1000m")).0, 200);
    gateway.send_signal(Signal::TERM);
    std::fs::write(&gateway.config_path, config.to_string()).expect("a file");
    gateway.send_signal(Signal::HUP);
    old_discovery.is_down.store(true, Ordering::SeqCst);
    request_until_closed(&mut client);
    assert!(second_node.request_count() > 0, "the new list is used before the end");
    let requests_before = first_node.request_count();
    gateway.send_request("lookup", "after");
    assert_eq!(first_node.request_count(), requests_before);
}

/// Guards against a start that blocks until discovery answers.
#[test]
fn serves_by_the_initial_list_while_discovery_is_silent() {
    let node = Node::start(answer_ok);
    // The backlog accepts connections, and nothing is ever sent.
    let silent_discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let list = node_list(41, &[("s-1", node.address, "in_service")]);
    let gateway = Gateway::start(&list, silent_discovery.local_addr().expect("bound"), |_| {});
    let response = exchange(&mut gateway.connect(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(response.0, 200);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
}

/// Guards against a stale list: changes arrive on a watch, on watches that end after one line, and move a node.
#[test]
fn node_list_changes_are_applied() {
    let (first_node, second_node) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, discovery) = Gateway::start_with_node(&first_node);
    assert_eq!(gateway.send_request("buy", "before").0, 200);
    discovery.closes_watch_after_line.store(true, Ordering::SeqCst);
    discovery.set_list(node_list(42, &[("s-1", second_node.address, "in_service")]));
    let mut number = 0;
    wait_until("the node's new address is used", || {
        number += 1;
        gateway.send_request("lookup", &format!("id{number}")).0 == 200 && second_node.request_count() > 0
    });
    let requests_before = first_node.request_count();
    discovery.set_list(node_list(
        43,
        &[("s-1", second_node.address, "terminating"), ("s-2", first_node.address, "in_service")],
    ));
    wait_until("the node that replaces it is used", || {
        number += 1;
        gateway.send_request("lookup", &format!("id{number}")).0 == 200
            && first_node.request_count() > requests_before
    });
}

// Guards against executing a tagged transaction twice: its node dies after it received the request and is replaced in
// another zone, where the node does not recognise the tag.
#[test_case("hall-b", 500, 0; "replaced in another zone")]
#[test_case("hall-a", 200, 1; "replaced in the same zone")]
fn repeats_stay_in_the_zone_of_their_tag(zone_of_replacement: &str, status: u16, repeats: usize) {
    let (dying_node, replacement) = (ManualNode::start(), Node::start(answer_ok));
    let mut list = node_list(41, &[("s-1", dying_node.address, "in_service")]);
    set_zone(&mut list, 0, "hall-a");
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |value| {
        let class = &mut value["settings"]["Grades"][1];
        (class["Repeat"], class["DedupScope"]) = (json!("dedup"), json!("zone"));
        (class["Objective"], class["Deadline"], class["Window"]) = (json!(15.0), json!(18.0), json!(18.0));
    });
    let mut client = gateway.connect();
    client.write_all(put_request("buy", "tagged", "18000m").as_bytes()).expect("a connection");
    let mut shot = dying_node.accept();
    read_message(&mut shot).expect("the whole request");
    let mut list = node_list(
        42,
        &[("s-2", replacement.address, "in_service"), ("s-1", dying_node.address, "terminated")],
    );
    set_zone(&mut list, 0, zone_of_replacement);
    discovery.set_list(list);
    wait_until("discovery has sent the change", || {
        discovery.sent_lists.lock().expect("no panic").iter().any(|(_, index)| *index == 42)
    });
    let mut number = 0;
    wait_until("the replacement is used", || {
        number += 1;
        gateway.send_request("lookup", &format!("id{number}"));
        replacement.request_count() > 0
    });
    reset_on_close(&shot);
    drop(shot);
    assert_eq!(exchange(&mut client, "").0, status);
    let heads = replacement.request_heads.lock().expect("no panic");
    assert_eq!(heads.iter().filter(|head| request_id(head) == "tagged").count(), repeats);
}

/// Guards against a size limit below that of a large fleet: 1,024 nodes and initiators in the settings, and half of the
/// nodes are replaced in one change.
#[test]
fn node_list_of_a_large_fleet_is_applied() {
    const NODES: usize = 1024;
    let (old_node, new_node) = (Node::start(answer_ok), Node::start(answer_ok));
    let names: Vec<String> = (0..2 * NODES).map(|index| format!("s-{index:08x}")).collect();
    let indexed_list = |version: u64, nodes: &[(usize, SocketAddr, &'static str)]| {
        let with_name = |(index, address, status): &(usize, SocketAddr, &'static str)| {
            (names[*index].as_str(), *address, *status)
        };
        let mut list = node_list(version, &nodes.iter().map(with_name).collect::<Vec<_>>());
        for (entry, (index, ..)) in list["endpoints"].as_array_mut().expect("a list").iter_mut().zip(nodes) {
            entry["group"] = json!(index % NODES);
        }
        list
    };
    let initial_list: Vec<_> = (0..NODES).map(|index| (index, old_node.address, "in_service")).collect();
    let initial_list = indexed_list(41, &initial_list);
    let discovery = Discovery::start(initial_list.clone());
    let gateway = Gateway::start(&initial_list, discovery.address, |config| {
        config["settings"]["Balancers"] = json!(1024);
        config["settings"]["FamilyInfo"]["NShards"] = json!(NODES);
        config["limits"] = json!({"cores": 0.1, "memory_mb": 32, "sockets": 256});
    });
    let send = |shard: usize, id: &str| {
        let request = put_request("lookup", &format!("{id}{shard}"), "1000m")
            .replace("shard=3", &format!("shard={shard}"));
        exchange(&mut gateway.connect(), &request).0
    };
    assert_eq!((send(0, "before"), send(NODES - 1, "before")), (200, 200));
    assert_eq!((old_node.request_count(), new_node.request_count()), (2, 0));
    // Nodes with an even index stay, those with an odd index are replaced.
    let kept_and_added = (0..NODES).map(|index| match index % 2 {
        0 => (index, old_node.address, "in_service"),
        _ => (NODES + index, new_node.address, "in_service"),
    });
    let removed =
        (0..NODES).filter(|index| index % 2 == 1).map(|index| (index, old_node.address, "terminated"));
    discovery.set_list(indexed_list(42, &removed.chain(kept_and_added).collect::<Vec<_>>()));
    let mut number = 0;
    wait_until("the replacement of the last node is used", || {
        number += 1;
        send(NODES - 1, &format!("id{number}-")) == 200 && new_node.request_count() > 0
    });
    let (old_requests, new_requests) = (old_node.request_count(), new_node.request_count());
    for index in (0..NODES).step_by(64) {
        assert_eq!((send(index, "even"), send(index + 1, "odd")), (200, 200), "{index}");
    }
    assert_eq!(
        (old_node.request_count() - old_requests, new_node.request_count() - new_requests),
        (NODES / 64, NODES / 64)
    );
}

/// Guards against an outage at a configuration change: the old list applies until the new discovery has sent its own, and
/// an unreadable file changes nothing.
#[test]
fn sighup_switches_to_another_discovery() {
    let (first_node, second_node) = (Node::start(answer_ok), Node::start(answer_ok));
    let (gateway, old_discovery) = Gateway::start_with_node(&first_node);
    let original_config = std::fs::read_to_string(&gateway.config_path).expect("its file");
    std::fs::write(&gateway.config_path, "{").expect("a file");
    gateway.send_signal(Signal::HUP);
    assert_eq!(gateway.send_request("buy", "one").0, 200);
    // Versions of the new discovery are independent and start below the old one's.
    let new_discovery = Discovery::start(node_list(3, &[("s-9", second_node.address, "in_service")]));
    let mut config: Value = serde_json::from_str(&original_config).expect("JSON");
    config["discovery"] = json!(new_discovery.address.to_string());
    std::fs::write(&gateway.config_path, config.to_string()).expect("a file");
    gateway.send_signal(Signal::HUP);
    old_discovery.is_down.store(true, Ordering::SeqCst);
    let mut number = 0;
    wait_until("the new list is used", || {
        number += 1;
        assert_eq!(gateway.send_request("lookup", &format!("id{number}")).0, 200);
        second_node.request_count() > 0
    });
}

/// Guards against an invalid configuration that is accepted or reported unclearly.
#[test]
fn invalid_configuration_exits_with_one_message() {
    let path = std::env::temp_dir().join(format!("quaypath-wrong-{}.json", std::process::id()));
    std::fs::write(&path, SAMPLE_CONFIG.replace("\"127.0.0.1:0\"", "\"nowhere\"")).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"));
    let output = command.arg("--platform").env("BALANCER_CONFIG", &path).output().expect("the gateway");
    let error_text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2));
    assert!(error_text.lines().count() == 1 && error_text.contains("listen: found nowhere"), "{error_text}");
    let _ = std::fs::remove_file(path);
}

/// Guards against an error response lost because the client is still sending its body.
#[test]
fn client_that_is_still_sending_receives_the_error() {
    let node = Node::start(answer_ok);
    let (gateway, _discovery) = Gateway::start_with_node(&node);
    let mut client = gateway.connect();
    client.write_all(b"PUT /api HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n").expect("sent");
    for _ in 0..25 {
        client.write_all(&[b'x'; 4000]).expect("the gateway still reads");
    }
    assert_eq!(exchange(&mut client, "").0, 413);
    let _ = client.shutdown(Shutdown::Both);
}
