//! Discovery of a test: one that tells its list by itself, and one whose calls are in the test's hand.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::{answer, message, resets, LONG};

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
