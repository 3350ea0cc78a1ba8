//! The gateway on the platform with peers of our own on loopback: nodes, discovery, clients. The test holds both peers in
//! its hand, and stops the program so that two events lie in the kernel together before it goes on.
#![allow(dead_code, unused_imports)]

mod discovery;
mod gateway;
mod node;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

pub use discovery::{listing, Call, Calls, Discovery};
pub use gateway::{Gateway, SAMPLE};
pub use node::{id_of, settles, silent, slow, Hand, Node, Script};

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

pub fn answer(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
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

/// Whether the peer has closed this connection, in order or by a reset; one that only stays silent is not closed.
pub fn closed(stream: &mut TcpStream) -> bool {
    let came = stream.read(&mut [0]).map_err(|error| error.kind());
    matches!(came, Ok(0) | Err(ErrorKind::ConnectionReset))
}

/// From here on the connection's end is a reset.
pub fn resets(stream: &TcpStream) {
    rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO)).expect("a socket");
}
