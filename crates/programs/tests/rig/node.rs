//! Nodes of a test: one that answers by a script, and one in the test's hand.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{answer, message, LONG};

/// What a node does with the request of this number, from 0; false to close the connection.
pub type Script = fn(usize, &mut TcpStream, &str) -> bool;

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
