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
