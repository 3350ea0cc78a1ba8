//! Two events that cross, forced on real sockets: both peers are in the test's hand, and where two events have to lie in
//! the kernel together the program stands still meanwhile. Judged from what peers received.

mod rig;

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use rig::{
    answer, exchange, id_of, listing, message, opening, put, resets, settles, silent, until, Calls,
    Discovery, Gateway, Hand, Node,
};
use rustix::process::{prlimit, Pid, Resource, Rlimit, Signal};
use serde_json::json;
use test_case::test_case;

/// What changed counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// One that waits for the answer, and then for the connection's end.
fn rest(stream: &mut TcpStream) -> (Vec<u8>, Option<ErrorKind>) {
    let mut bytes = Vec::new();
    let ended = stream.read_to_end(&mut bytes);
    (bytes, ended.err().map(|error| error.kind()))
}

/// A request of a client that is served goes through all that came before it: what did not come by then never will.
fn barrier(gateway: &Gateway, id: &str) {
    assert_eq!(gateway.ask("lookup", id).0, 200, "the usual clients are served");
}

/// The first request that comes on a new connection; some may come up and be called off before their first byte.
fn first_request(node: &Hand) -> String {
    loop {
        if let Some((head, _)) = message(&mut node.accept()) {
            return head;
        }
    }
}

/// Guards against good answers refused for having no length, and against broken ones passed on as whole.
#[test_case("buy", false, 200, 1; "ended in order: served whole")]
#[test_case("buy", true, 500, 1; "ended by a reset, once only: failed")]
#[test_case("lookup", true, 200, 2; "ended by a reset, repeatable: tried again")]
fn an_answer_without_a_length(class: &str, by_reset: bool, status: u16, attempts: usize) {
    let node = Hand::start();
    let list = listing(41, &[("s-1", node.address, "in_service")]);
    let discovery = Discovery::start(list.clone());
    let gateway = Gateway::start(&list, discovery.address, |_| {});
    let mut client = gateway.connect();
    client.write_all(put(class, "one", "1200m").as_bytes()).expect("sent");
    for attempt in 0..attempts {
        let mut back = node.accept();
        message(&mut back).expect("a request");
        back.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nno le").expect("sent");
        back.write_all(b"ngth").expect("sent");
        if by_reset && attempt == 0 {
            resets(&back);
        }
    }
    let (found, head, body) = exchange(&mut client, "");
    assert_eq!(found, status, "{head}");
    if status == 200 {
        assert_eq!(body, "no length");
    }
}

/// Guards against a change missed: the watch goes silent, and the first new call hangs. What changed meanwhile is obeyed
/// within 6 s of the silence.
#[test_case(Silence::BehindHead)]
#[test_case(Silence::BehindLine)]
#[test_case(Silence::WithinLine)]
#[test_case(Silence::Drips)]
#[test_case(Silence::Reset)]
fn a_silent_watch_is_replaced_in_time(silence: Silence) {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |_| {});
    let mut watch = calls.begin(&list);
    match silence {
        Silence::BehindHead | Silence::Reset => {}
        Silence::BehindLine => assert!(watch.piece("\n")),
        Silence::WithinLine | Silence::Drips => assert!(watch.piece("\n{\"index\": 42, ")),
    }
    let silent_since = Instant::now();
    barrier(&gateway, "before");
    let changed = listing(43, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")]);
    match silence {
        Silence::Reset => watch.reset(),
        Silence::Drips => {
            thread::spawn(move || {
                while watch.piece(" ") {
                    thread::sleep(Duration::from_millis(100));
                }
            });
        }
        _ => std::mem::forget(watch),
    }
    // The first new call hangs, and so does the second.
    let hanging = [calls.next(), calls.next()];
    let told = calls.tells(&changed);
    let mut number = 0;
    until("the change is obeyed", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && other.requests() > 0
    });
    assert!(silent_since.elapsed() < TOLD, "{:?}", silent_since.elapsed());
    drop((hanging, told));
}

/// Guards against a change missed at discovery's return: it was down for long, comes back just behind the begin of a call
/// that hangs, refuses one more and lets one hang.
#[test]
fn a_change_is_obeyed_in_time_after_discovery_is_back() {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |_| {});
    calls.begin(&list).reset();
    // So many that hang that waits are at their longest.
    let mut down = Vec::new();
    while down.len() < 6 {
        down.push(calls.next());
    }
    let back = Instant::now();
    calls.next().bytes("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    down.push(calls.next());
    let changed = listing(43, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")]);
    let watch = calls.tells(&changed);
    let mut number = 0;
    until("the change is obeyed", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && other.requests() > 0
    });
    assert!(back.elapsed() < TOLD, "{:?}", back.elapsed());
    drop((watch, down));
}

/// Guards against a drain broken at discovery's return: what its agent gets then counts as told at once, and the grace is
/// half a second. Discovery comes back just behind the begin of a call that hangs.
#[test]
fn a_drain_told_at_the_return_of_discovery_is_kept_within_a_short_grace() {
    const GRACE: f64 = 0.5;
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |config| {
        config["settings"]["Rules"]["DrainGrace"] = json!(GRACE);
    });
    calls.begin(&list).reset();
    let mut down: Vec<_> = (0..4).map(|_| calls.next()).collect();
    down.push(calls.next());
    let back = Instant::now();
    let changed = listing(42, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")]);
    let (mut number, mut kept, mut late) = (0, 0, 0);
    let mut watch = None;
    while back.elapsed() < Duration::from_secs_f64(3.0) {
        // Each call from here on is answered at once.
        if let Some(mut call) = calls.waiting() {
            if call.watch {
                call.opens();
                call.piece(&format!("{changed}\n"));
                watch = Some(call);
            } else {
                call.list(&changed);
            }
        }
        let before = one.requests();
        number += 1;
        let asked_at = back.elapsed().as_secs_f64();
        assert_eq!(gateway.ask("lookup", &format!("id{number}")).0, 200);
        if one.requests() > before {
            late += usize::from(asked_at > GRACE + 0.05);
            kept += 1;
        }
    }
    assert!(kept > 0, "the drain struck while the node was in use");
    assert_eq!(late, 0, "sent to the draining node past its grace");
    assert!(other.requests() > 0);
    drop((watch, down));
}

/// Guards against an indented list that is thrown away as unreadable, line by line.
#[test]
fn an_indented_list_is_read_from_the_watch() {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |_| {});
    let mut watch = calls.begin(&list);
    barrier(&gateway, "before");
    let changed = listing(42, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")]);
    let text = serde_json::to_string_pretty(&changed).expect("JSON") + "\n";
    text.as_bytes()
        .chunks(7)
        .for_each(|piece| assert!(watch.piece(std::str::from_utf8(piece).expect("ASCII"))));
    let mut number = 0;
    until("the change is obeyed", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && other.requests() > 0
    });
    assert!(calls.waiting().is_none(), "the watch stands");
}

/// Guards against a drain that an older whole list makes forgotten.
#[test_case("terminating"; "a node that drains")]
#[test_case("terminated"; "a node that is gone")]
fn an_older_whole_list_does_not_take_back_a_drain(status: &str) {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |_| {});
    let mut watch = calls.begin(&list);
    let mut changed = listing(43, &[("s-1", one.address, status), ("s-2", other.address, "in_service")]);
    changed["snapshot"] = json!(false);
    watch.piece(&format!("{changed}\n"));
    let mut number = 0;
    until("the change is obeyed", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && other.requests() > 0
    });
    let sent = one.requests();
    // A line that cannot be read, so that the whole list is asked for: it is of before.
    watch.piece("{}\n");
    let mut older = listing(42, &[("s-1", one.address, "in_service"), ("s-2", other.address, "in_service")]);
    // Listed last, it would take the place of the other.
    older["endpoints"].as_array_mut().expect("a list").reverse();
    let mut watch = calls.begin(&older);
    watch.piece("\n");
    for number in 0..20 {
        barrier(&gateway, &format!("after{number}"));
    }
    assert_eq!(one.requests(), sent, "nothing more for a node that was told to drain");
}

/// Guards against a start that serves by an older list than its agent has: what that has counts as told from the first
/// moment, so nobody is told that we are up before it was heard.
#[test]
fn ready_only_once_discovery_was_heard() {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let calls = Calls::start();
    let gateway = Gateway::start(&list, calls.address, |_| {});
    let call = calls.next();
    let mut asks = gateway.connect();
    asks.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n").expect("sent");
    // Another client's error behind it is written, so the question was read.
    assert_eq!(exchange(&mut gateway.connect(), "GET /api HTTP/1.1\r\nHost: a\r\n\r\n").0, 400);
    asks.set_nonblocking(true).expect("a socket");
    assert!(asks.read(&mut [0]).is_err_and(|error| error.kind() == ErrorKind::WouldBlock), "not yet up");
    asks.set_nonblocking(false).expect("a socket");
    call.list(&listing(43, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")]));
    assert_eq!(exchange(&mut asks, "").0, 200);
    for number in 0..10 {
        barrier(&gateway, &format!("id{number}"));
    }
    assert_eq!((one.requests(), other.requests()), (0, 10));
}

/// Guards against a new configuration lost behind the one before it: the second comes while the first one's address is
/// still being called, leads to a dead address, or back to the first.
#[test]
fn configurations_in_a_row() {
    let (one, other) = (Node::start(settles), Node::start(settles));
    let list = listing(41, &[("s-1", one.address, "in_service")]);
    let (old, new) = (Calls::start(), Calls::start());
    let gateway = Gateway::start(&list, old.address, |_| {});
    let mut watch = old.begin(&list);
    let kept = std::fs::read_to_string(&gateway.config).expect("its file");
    let moves = |to: std::net::SocketAddr| {
        let mut config: serde_json::Value = serde_json::from_str(&kept).expect("JSON");
        config["discovery"] = json!(to.to_string());
        std::fs::write(&gateway.config, config.to_string()).expect("a file");
        gateway.signal(Signal::HUP);
    };
    // Hangs.
    moves(new.address);
    let hanging = new.next();
    // Refuses.
    let dead = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    moves(dead);
    until("it was read", || gateway.logged(&format!("configuration read anew discovery={dead}")));
    // The old one is heard until another has told its list.
    watch.piece(&format!(
        "{}\n",
        listing(42, &[("s-1", one.address, "terminating"), ("s-2", other.address, "in_service")])
    ));
    let mut number = 0;
    until("the old address is still heard", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && other.requests() > 0
    });
    // Back to the first: the latest word holds.
    moves(old.address);
    let mut call = old.next();
    while call.watch {
        call = old.next();
    }
    call.list(&listing(44, &[("s-2", other.address, "terminating"), ("s-3", one.address, "in_service")]));
    let before = one.requests();
    until("the latest configuration holds", || {
        number += 1;
        gateway.ask("lookup", &format!("id{number}")).0 == 200 && one.requests() > before
    });
    let sent = other.requests();
    for number in 0..10 {
        barrier(&gateway, &format!("after{number}"));
    }
    assert_eq!(other.requests(), sent, "it drains by the latest word");
    drop((hanging, watch));
}

/// How a watch goes wrong.
#[derive(Clone, Copy, Debug)]
enum Silence {
    BehindHead,
    BehindLine,
    WithinLine,
    Drips,
    Reset,
}
