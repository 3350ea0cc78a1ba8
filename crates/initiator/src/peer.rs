//! A peer's connection, whichever side it is on: whether it makes progress, and bytes on their way to it.

use std::io::{self, Write};
use std::net::TcpStream;

/// Since when a peer makes no progress with a PDU that it began, and does not read what it is sent. Progress
/// starts the wait anew: a busy connection may well never be seen between two PDUs.
#[derive(Default)]
pub struct Stuck {
    pub unfinished: Option<f64>,
    pub unmoved: Option<f64>,
}

impl Stuck {
    pub fn read(&mut self, now: f64, progress: bool, unfinished: bool) {
        let since = self.unfinished.filter(|_| !progress).or(Some(now));
        self.unfinished = since.filter(|_| unfinished);
    }

    pub fn written(&mut self, now: f64, progress: bool, waiting: bool) {
        let since = self.unmoved.filter(|_| !progress).or(Some(now));
        self.unmoved = since.filter(|_| waiting);
    }

    pub fn longer_than(&self, now: f64, wait: f64) -> bool {
        let late = |since: Option<f64>| since.is_some_and(|since| now - since > wait);
        late(self.unfinished) || late(self.unmoved)
    }
}

/// Writes `out` from `sent` on, and counts the calls; true when all is out.
pub fn write_out(
    mut stream: &TcpStream, out: &mut Vec<u8>, sent: &mut usize, calls: &mut u64,
) -> io::Result<bool> {
    while *sent < out.len() {
        *calls += 1;
        match stream.write(&out[*sent..]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => *sent += written,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(error) => return Err(error),
        }
    }
    out.clear();
    *sent = 0;
    Ok(true)
}
