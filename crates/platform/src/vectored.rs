//! Writing of messages that consist of several buffers, without copying them into one.

use std::io::{self, IoSlice, Write};
use std::net::TcpStream;

use async_io::Async;

/// Writes all buffers in order, with one call if the kernel accepts all of them. `written` is called after each call that
/// wrote bytes.
pub async fn write_all<const COUNT: usize>(
    stream: &Async<TcpStream>, buffers: [&[u8]; COUNT], mut written: impl FnMut(),
) -> io::Result<()> {
    let mut slices = buffers.map(IoSlice::new);
    let mut remaining = slices.as_mut_slice();
    // Removes empty buffers at the start.
    IoSlice::advance_slices(&mut remaining, 0);
    while !remaining.is_empty() {
        match stream.get_ref().write_vectored(remaining) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                written();
                IoSlice::advance_slices(&mut remaining, count);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.writable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
