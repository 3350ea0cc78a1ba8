//! HTTP/1.1 (RFC 9112) decoders and encoders, as far as the platform uses the protocol: requests and responses whose
//! body has a length or is sent in chunks, and responses whose body ends when the connection is closed.
//!
//! The decoders take bytes and return messages; they use no clock and no sockets. Heads are parsed by `httparse`. The
//! body framing is implemented in this crate, because the code that decides where a message ends also decides what is
//! forwarded to a node.
//!
//! Bounds: a head has at most [`MAX_HEAD_BYTES`] bytes and [`MAX_HEADERS`] headers, the caller chooses the longest body,
//! and at most [`MAX_INTERIM_RESPONSES`] informational responses precede a final one. Rejected, although the RFC allows a
//! recipient to repair them: Content-Length together with Transfer-Encoding, a repeated Content-Length, and any transfer
//! coding but `chunked`.

mod encode;
mod framing;
mod headers;
mod request;
mod response;

pub use encode::{encode_error_response, encode_response, encode_response_head, reason_phrase};
pub use headers::Headers;
pub use request::{Request, RequestDecoder};
pub use response::{ResponseDecoder, ResponseHead, ResponsePart};

use thiserror::Error;

/// Longest head of a request or a response, bytes; at most 64 KiB, as positions in it have 16 bits.
pub const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest number of headers in one head.
pub const MAX_HEADERS: usize = 64;
/// Largest number of 1xx responses before the final response.
pub const MAX_INTERIM_RESPONSES: u32 = 8;
/// Longest request body that the platform allows, bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;

/// Capacity to which a decoder's buffer shrinks after bytes of a body were taken out of it, bytes.
const EMPTY_BUFFER_CAPACITY: usize = 1 << 10;

/// The reason why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{reason}")]
pub struct DecodeError {
    /// The HTTP status code to answer the sender of a request with.
    pub status: u16,
    pub reason: &'static str,
}

pub(crate) fn reject<T>(status: u16, reason: &'static str) -> Result<T, DecodeError> {
    Err(DecodeError { status, reason })
}

/// The position of the first byte after the empty line that ends a head. The first `scanned` bytes of the buffer were
/// searched by earlier calls.
pub(crate) fn find_head_end(buffer: &[u8], scanned: usize) -> Option<usize> {
    let scanned = scanned.saturating_sub(3);
    (scanned..buffer.len()).find_map(|position| {
        let rest = &buffer[position..];
        if rest.starts_with(b"\n\r\n") {
            Some(position + 3)
        } else if rest.starts_with(b"\n\n") {
            Some(position + 2)
        } else {
            None
        }
    })
}
