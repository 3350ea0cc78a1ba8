//! HTTP/1.1 (RFC 9112) as far as the platform speaks it: requests and responses with a length or in chunks, and
//! responses that end with their connection.
//! Bytes in, messages out; no clock, no sockets. Heads are read by `httparse`, framing is ours, since whoever
//! judges where a message ends judges what is passed on.
//!
//! Bounds: a head of [`MOST_HEAD`] bytes and [`MOST_HEADERS`] headers, a body of the caller's choice, an
//! informational answer [`MOST_INTERIM`] times. Refused, though the RFC would let them be mended: both a length
//! and a transfer coding, a length said twice, any coding but `chunked`.

mod framing;
mod request;
mod response;
mod write;

pub use request::{Request, RequestDecoder};
pub use response::{Part, ResponseDecoder, ResponseHead};
pub use write::{error, reason, response};

use thiserror::Error;

/// Longest head, bytes.
pub const MOST_HEAD: usize = 16 << 10;
/// Most headers of a head.
pub const MOST_HEADERS: usize = 64;
/// Most 1xx answers before the one that counts.
pub const MOST_INTERIM: u32 = 8;
/// Longest body that the platform allows, bytes.
pub const MOST_BODY: usize = 64 << 10;

/// Why a message cannot be read, and the status that its sender is owed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{why}")]
pub struct Refused {
    pub status: u16,
    pub why: &'static str,
}

pub(crate) fn refused<T>(status: u16, why: &'static str) -> Result<T, Refused> {
    Err(Refused { status, why })
}

/// Headers as they came, in order; names are compared without case.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    pub(crate) fn of(parsed: &[httparse::Header]) -> Self {
        Headers(parsed.iter().map(|header| (header.name.to_string(), header.value.to_vec())).collect())
    }

    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + 'a {
        let same = move |known: &&(String, Vec<u8>)| known.0.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).map(|(_, value)| value.as_slice())
    }

    /// The value of a header that is there once; absent where it is there twice, as it then says nothing.
    pub fn one<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let mut values = self.all(name);
        let value = values.next().filter(|_| values.next().is_none())?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Whether a list header holds this token.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }
}

/// Where a head ends, looking on from `from`: the first byte behind the empty line.
pub(crate) fn head_end(buffer: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    (from..buffer.len()).find_map(|at| {
        let rest = &buffer[at..];
        if rest.starts_with(b"\n\r\n") {
            Some(at + 3)
        } else if rest.starts_with(b"\n\n") {
            Some(at + 2)
        } else {
            None
        }
    })
}
