//! Discovery servers for tests: one that sends its list by itself, and one whose calls the test answers.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{read_message, reset_on_close, write_response, MAX_WAIT};

/// A complete node list of this version in the JSON form of discovery. Each node is given by name, address and status.
pub fn node_list(index: u64, nodes: &[(&str, SocketAddr, &str)]) -> Value {
    let endpoint = |(name, address, status): &(&str, SocketAddr, &str)| {
        json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 3,
               "status": status, "weight": 1.0, "since_ms": 0})
    };
    json!({"index": index, "snapshot": true, "endpoints": nodes.iter().map(endpoint).collect::<Vec<_>>()})
}

/// Number of nodes of the largest fleet that the platform names.
pub const LARGE_FLEET: usize = 3200;

/// A list of the largest fleet in which the first nodes, by block, are at these addresses; nothing listens at the addresses of the
/// others.
pub fn large_list(nodes: &[SocketAddr]) -> Value {
    let names: Vec<String> = (0..LARGE_FLEET).map(|block| format!("s-{:08x}", 0x5be2_0000 + block)).collect();
    let nowhere =
        |block: usize| SocketAddr::from(([127, 1, (block >> 8) as u8, block as u8], nodes[0].port()));
    let address = |block: usize| nodes.get(block).copied().unwrap_or_else(|| nowhere(block));
    let entries: Vec<_> =
        (0..LARGE_FLEET).map(|block| (names[block].as_str(), address(block), "in_service")).collect();
    let mut list = node_list(41, &entries);
    (0..LARGE_FLEET).for_each(|block| list["endpoints"][block]["group"] = json!(block));
    list
}

/// Places the node at this position of a list in a zone.
pub fn set_zone(list: &mut Value, position: usize, zone: &str) {
    list["endpoints"][position]["zone"] = json!(zone);
}

/// A discovery server that sends its current list in response to a call and, after each change, on open watches.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<Mutex<Value>>,
    /// Closes new connections without a response and ends open watches.
    pub is_down: Arc<AtomicBool>,
    /// Ends each watch after one line.
    pub closes_watch_after_line: Arc<AtomicBool>,
    /// The time at which each list was written, and its version.
    pub sent_lists: Arc<Mutex<Vec<(Instant, u64)>>>,
}

impl Discovery {
    pub fn start(list: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let discovery = Discovery {
            address,
            list: Arc::new(Mutex::new(list)),
            is_down: Arc::default(),
            closes_watch_after_line: Arc::default(),
            sent_lists: Arc::default(),
        };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, discovery) = (stream.expect("a connection"), shared.clone());
                if discovery.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                thread::spawn(move || discovery.serve(&mut stream));
            }
        });
        discovery
    }

    /// Answers one call or watch; `None` once it has ended.
    pub fn serve(&self, stream: &mut TcpStream) -> Option<()> {
        let (head, _) = read_message(stream)?;
        let current_list = || self.list.lock().expect("no panic").clone();
        if !head.contains("watch=1") {
            let list = current_list();
            if write_response(stream, "200 OK", &list.to_string()) {
                self.record_sent(&list);
            }
            return None;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut last_sent = Value::Null;
        while !self.is_down.load(Ordering::SeqCst) {
            let list = current_list();
            let line = if list == last_sent { "\n".to_string() } else { format!("{list}\n") };
            let is_new = list != last_sent;
            last_sent = list;
            // Each line is sent in two chunks.
            let (first_half, second_half) = line.split_at(line.len() / 2);
            for piece in [first_half, second_half].into_iter().filter(|piece| !piece.is_empty()) {
                stream.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes()).ok()?;
            }
            if is_new {
                self.record_sent(&last_sent);
            }
            if self.closes_watch_after_line.load(Ordering::SeqCst) {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    fn record_sent(&self, list: &Value) {
        let index = list["index"].as_u64().expect("a version");
        self.sent_lists.lock().expect("no panic").push((Instant::now(), index));
    }

    pub fn set_list(&self, list: Value) {
        *self.list.lock().expect("no panic") = list;
    }
}

/// A call to discovery that the test answers.
pub struct DiscoveryCall {
    stream: TcpStream,
    pub is_watch: bool,
    pub received_at: Instant,
}

impl DiscoveryCall {
    /// Sends the complete list and ends the call.
    pub fn send_list(mut self, list: &Value) {
        assert!(!self.is_watch, "expected a call for the complete list");
        write_response(&mut self.stream, "200 OK", &list.to_string());
    }

    /// Starts the response to a watch.
    pub fn open_watch(&mut self) {
        assert!(self.is_watch, "expected a watch");
        self.start_response();
    }

    /// Sends the head of a chunked response, to a watch or a call for the list.
    pub fn start_response(&mut self) {
        self.send_raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    /// Sends one chunk; false once the reader has closed the connection.
    pub fn send_chunk(&mut self, text: &str) -> bool {
        self.stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).is_ok()
    }

    /// Sends bytes unchanged and ignores failures.
    pub fn send_raw(&mut self, text: &str) {
        let _ = self.try_send_raw(text);
    }

    /// Sends bytes unchanged; false once the reader has closed the connection.
    pub fn try_send_raw(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        reset_on_close(&self.stream);
    }
}

/// A discovery server whose calls the test takes in order and answers; nothing is answered automatically.
pub struct ManualDiscovery {
    pub address: SocketAddr,
    calls: Receiver<DiscoveryCall>,
}

impl ManualDiscovery {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, sender) = (stream.expect("a connection"), sender.clone());
                thread::spawn(move || {
                    if let Some((head, _)) = read_message(&mut stream) {
                        let _ = sender.send(DiscoveryCall {
                            is_watch: head.contains("watch=1"),
                            stream,
                            received_at: Instant::now(),
                        });
                    }
                });
            }
        });
        ManualDiscovery { address, calls }
    }

    /// Waits for the next call.
    pub fn next_call(&self) -> DiscoveryCall {
        self.calls.recv_timeout(MAX_WAIT).expect("a call to discovery")
    }

    /// The next call, if one has already arrived.
    pub fn try_next_call(&self) -> Option<DiscoveryCall> {
        self.calls.try_recv().ok()
    }

    /// Answers calls for the complete list until the first watch arrives, and opens that watch.
    pub fn open_first_watch(&self, list: &Value) -> DiscoveryCall {
        let mut call = self.next_call();
        while !call.is_watch {
            call.send_list(list);
            call = self.next_call();
        }
        call.open_watch();
        call
    }

    /// Sends the complete list: first in response to the next call, if that is not a watch, and then on the watch that
    /// follows. Returns the watch, which stays open.
    pub fn send_list_on_watch(&self, list: &Value) -> DiscoveryCall {
        let mut call = self.next_call();
        if !call.is_watch {
            call.send_list(list);
            call = self.next_call();
        }
        call.open_watch();
        call.send_chunk(&format!("{list}\n"));
        call
    }
}
