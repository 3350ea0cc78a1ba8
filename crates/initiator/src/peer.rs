//! Helpers for the connection of any peer, client or node: detection of stalled peers, and buffered writes.

use std::io::{self, Write};
use std::net::TcpStream;

/// Detects a peer that stalls in the middle of a PDU or does not read what it is sent. Any progress restarts the wait,
/// because a busy connection may never be observed between two PDUs.
#[derive(Default)]
pub struct StallDetector {
    /// Clock time since which a received PDU is incomplete and makes no progress, seconds.
    pub incomplete_since: Option<f64>,
    /// Clock time since which output is pending and the peer takes none of it, seconds.
    pub unread_since: Option<f64>,
}

impl StallDetector {
    /// Records a read: whether a PDU was completed, and whether another one is incomplete.
    pub fn record_read(&mut self, now: f64, progress: bool, incomplete: bool) {
        let since = self.incomplete_since.filter(|_| !progress).or(Some(now));
        self.incomplete_since = since.filter(|_| incomplete);
    }

    /// Records a write: whether the kernel took bytes, and whether output is still pending.
    pub fn record_write(&mut self, now: f64, progress: bool, pending: bool) {
        let since = self.unread_since.filter(|_| !progress).or(Some(now));
        self.unread_since = since.filter(|_| pending);
    }

    /// Whether the peer has been stalled for more than `max_wait` seconds.
    pub fn stalled_longer_than(&self, now: f64, max_wait: f64) -> bool {
        let is_stalled = |since: Option<f64>| since.is_some_and(|since| now - since > max_wait);
        is_stalled(self.incomplete_since) || is_stalled(self.unread_since)
    }
}

/// Writes the bytes of `output` from offset `sent` on, and counts the system calls in `calls`. Returns true when all
/// bytes are written, and false when the kernel takes no more for now.
pub fn write_output(
    mut stream: &TcpStream, output: &mut Vec<u8>, sent: &mut usize, calls: &mut u64,
) -> io::Result<bool> {
    while *sent < output.len() {
        *calls += 1;
        match stream.write(&output[*sent..]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => *sent += written,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
            Err(error) => return Err(error),
        }
    }
    output.clear();
    *sent = 0;
    Ok(true)
}
