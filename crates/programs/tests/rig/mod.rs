//! Test rig for the platform gateway: starts the real program with nodes, discovery and clients of the test on loopback.
//! The test controls every peer of the program, and can stop the process so that two events wait in the kernel together
//! before it continues.
#![allow(dead_code, unused_imports)]

mod discovery;
mod gateway;
mod node;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

pub use discovery::{
    large_list, node_list, set_zone, Discovery, DiscoveryCall, ManualDiscovery, LARGE_FLEET,
};
pub use gateway::{Gateway, SAMPLE_CONFIG};
pub use node::{answer_ok, answer_slowly, never_answer, request_id, ManualNode, Node, Script};

/// Bound of every wait in the tests. A test that reaches it only shows that the event never came.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Polls the condition every 5 ms; panics with the description if it does not hold within [`MAX_WAIT`].
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < MAX_WAIT, "timed out waiting: {description}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Reads the head of an HTTP message and a body of the length that its `Content-Length` gives; `None` if the connection
/// ends first.
pub fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
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

/// Writes an HTTP response with this status line and body; false if the write fails.
pub fn write_response(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}

/// A PUT request of one unit for volume 00000003b4d60021, shard 3. The timeout is written as in `X-Timeout`, for example
/// `1000m` for 1000 ms.
pub fn put_request(class: &str, id: &str, timeout: &str) -> String {
    format!(
        "PUT /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {class}\r\n\
         X-Storage-Class: gold\r\nCookie: extent=7f3a9c21e0b4d655\r\nX-Timeout: {timeout}\r\nContent-Length: 4\r\n\
         X-Extent: volume=00000003b4d60021,units=1,shard=3,hosts=2\r\n\r\nbody"
    )
}

/// Sends the text and reads one response. Returns its status, head and body; status 0 if the connection ended without a
/// response.
pub fn exchange(stream: &mut TcpStream, request: &str) -> (u16, String, String) {
    let _ = stream.write_all(request.as_bytes());
    let Some((head, body)) = read_message(stream) else { return (0, String::new(), String::new()) };
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    (status, head, String::from_utf8_lossy(&body).into_owned())
}

/// Whether the peer has closed this connection, in order or by a reset. A peer that is only silent has not closed it.
pub fn closed_by_peer(stream: &mut TcpStream) -> bool {
    let received = stream.read(&mut [0]).map_err(|error| error.kind());
    matches!(received, Ok(0) | Err(ErrorKind::ConnectionReset))
}

/// Makes the next close of this socket reset the connection.
pub fn reset_on_close(stream: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("a socket");
}
