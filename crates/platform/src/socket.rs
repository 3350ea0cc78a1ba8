//! Reading from a socket through one buffer for the whole thread.

use std::cell::RefCell;
use std::io::{self, Read as _};
use std::net::TcpStream;

use async_io::Async;

const READ: usize = 64 << 10;

thread_local! {
    /// Only used within one poll, so connections that wait hold no buffer of their own.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

pub enum Read<R> {
    /// What was made of the bytes.
    Bytes(R),
    /// The peer sends no more.
    End,
}

/// Waits for bytes and hands them to `take`.
pub async fn read_some<R>(
    stream: &Async<TcpStream>, mut take: impl FnMut(&[u8]) -> R,
) -> io::Result<Read<R>> {
    loop {
        let read = BUFFER.with_borrow_mut(|buffer| match stream.get_ref().read(buffer) {
            Ok(0) => Ok(Some(Read::End)),
            Ok(count) => Ok(Some(Read::Bytes(take(&buffer[..count])))),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(None),
                _ => Err(error),
            },
        })?;
        match read {
            Some(read) => return Ok(read),
            None => stream.readable().await?,
        }
    }
}
