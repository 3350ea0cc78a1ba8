//! Nodes for tests: one that answers by a script, and one whose connections the test handles itself.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use super::{read_message, write_response, MAX_WAIT};

/// What a node does with the request of this number (from 0) and head. Returning false closes the connection.
pub type Script = fn(usize, &mut TcpStream, &str) -> bool;

/// The value of `X-Request-ID`, or "none". Nodes send it back as the body, so that each answer identifies its request.
pub fn request_id(head: &str) -> &str {
    head.lines().find_map(|line| line.strip_prefix("X-Request-ID: ")).unwrap_or("none")
}

/// A node that answers each request by its script, on a thread for each connection.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    /// Heads of all requests in order of arrival.
    pub request_heads: Arc<Mutex<Vec<String>>>,
    /// Number of connections accepted.
    pub connection_count: Arc<AtomicUsize>,
    /// Number of connections that have ended.
    pub closed_connections: Arc<AtomicUsize>,
}

impl Node {
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let node = Node {
            address,
            request_heads: Arc::default(),
            connection_count: Arc::default(),
            closed_connections: Arc::default(),
        };
        let server = node.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (mut stream, server) = (stream.expect("a connection"), server.clone());
                server.connection_count.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    while let Some((head, _)) = read_message(&mut stream) {
                        let number = {
                            let mut heads = server.request_heads.lock().expect("no panic");
                            heads.push(head.clone());
                            heads.len() - 1
                        };
                        if !script(number, &mut stream, &head) {
                            break;
                        }
                    }
                    server.closed_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        node
    }

    /// Number of requests received.
    pub fn request_count(&self) -> usize {
        self.request_heads.lock().expect("no panic").len()
    }
}

/// Script: status 200 with the id of the request as the body.
pub fn answer_ok(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    write_response(stream, "200 OK", request_id(head))
}

/// Script: no answer, and the connection stays open.
pub fn never_answer(_: usize, _: &mut TcpStream, _: &str) -> bool {
    true
}

/// Script: the answer of [`answer_ok`] after 150 ms.
pub fn answer_slowly(_: usize, stream: &mut TcpStream, head: &str) -> bool {
    thread::sleep(Duration::from_millis(150));
    write_response(stream, "200 OK", request_id(head))
}

/// A node whose connections the test accepts in order; nothing is read or answered automatically.
pub struct ManualNode {
    pub address: SocketAddr,
    listener: TcpListener,
}

impl ManualNode {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        ManualNode { address: listener.local_addr().expect("bound"), listener }
    }

    /// A node with a small segment size (536 bytes) and receive buffer (2 KiB), so that the kernel of the sender also takes
    /// little unread data at once.
    pub fn with_small_buffers() -> Self {
        let node = ManualNode::start();
        let socket = socket2::SockRef::from(&node.listener);
        socket.set_recv_buffer_size(2 << 10).expect("a socket");
        socket.set_tcp_mss(536).expect("a socket");
        node
    }

    /// Accepts the next connection, with a read timeout of [`MAX_WAIT`].
    pub fn accept(&self) -> TcpStream {
        let (stream, _) = self.listener.accept().expect("a connection");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
        stream
    }

    /// Fills the backlog, so that no further connection is established until [`ManualNode::accept`]: the kernel drops SYN
    /// packets, and the connecting peer sends them again a second later. Returns the connections that fill it.
    pub fn fill_backlog(&self) -> Vec<TcpStream> {
        rustix::net::listen(&self.listener, 0).expect("a listener");
        let mut held = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&self.address, Duration::from_millis(100)) {
            held.push(stream);
            assert!(held.len() < 8, "the kernel does not drop connection attempts");
        }
        held
    }
}
