//! Where a body ends.

use crate::{refused, Headers, Refused};

/// Longest line of a chunk's size with its extensions, and longest trailer, bytes.
const MOST_LINE: usize = 256;
const MOST_TRAILER: usize = 4 << 10;

/// How much of a body is still to come. Every change goes through [`Framing::take`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    /// The line with a chunk's size comes next.
    Size,
    Chunk(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// Trailer lines, so many bytes of them so far.
    Trailer(usize),
    /// No length is told: the body ends with the connection's sending.
    UntilEnd,
    Done,
}

/// What the headers say of the body; none where they say nothing.
pub fn announced(headers: &Headers, most: usize) -> Result<Option<Framing>, Refused> {
    let mut lengths = headers.all("content-length");
    let (length, second) = (lengths.next(), lengths.next());
    let mut codings = headers.all("transfer-encoding");
    let (coding, more) = (codings.next(), codings.next());
    match (length, coding) {
        // One of the two could hide another message in the body: whoever reads it may go by the other.
        (Some(_), Some(_)) => refused(400, "both Content-Length and Transfer-Encoding"),
        (Some(_), None) if second.is_some() => refused(400, "Content-Length more than once"),
        (Some(length), None) => {
            let length = length.trim_ascii();
            if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
                return refused(400, "Content-Length is not a number");
            }
            let text = std::str::from_utf8(length).unwrap_or("");
            match text.parse::<usize>() {
                Ok(0) => Ok(Some(Framing::Done)),
                Ok(length) if length <= most => Ok(Some(Framing::Length(length))),
                _ => refused(413, "the body is longer than allowed"),
            }
        }
        (None, Some(coding)) => {
            if more.is_some() || !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return refused(501, "a Transfer-Encoding other than chunked");
            }
            Ok(Some(Framing::Size))
        }
        (None, None) => Ok(None),
    }
}

/// A line at the start of these bytes, without its end, and how long it is with it.
fn line(bytes: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, Refused> {
    match bytes.iter().take(most).position(|byte| *byte == b'\n') {
        Some(at) => Ok(Some((bytes[..at].strip_suffix(b"\r").unwrap_or(&bytes[..at]), at + 1))),
        None if bytes.len() >= most => refused(400, "a line of a chunked body is too long"),
        None => Ok(None),
    }
}

impl Framing {
    /// Takes what can be taken off `buffer` into `body`, which holds `most` bytes at most.
    pub fn take(&mut self, buffer: &mut Vec<u8>, body: &mut Vec<u8>, most: usize) -> Result<(), Refused> {
        let mut at = 0;
        let result = loop {
            let rest = &buffer[at..];
            match *self {
                Framing::Done => break Ok(()),
                Framing::UntilEnd => {
                    if rest.len() > most.saturating_sub(body.len()) {
                        break refused(413, "the body is longer than allowed");
                    }
                    body.extend_from_slice(rest);
                    at = buffer.len();
                    break Ok(());
                }
                Framing::Length(left) | Framing::Chunk(left) => {
                    let count = left.min(rest.len());
                    body.extend_from_slice(&rest[..count]);
                    at += count;
                    *self = match (*self, left - count) {
                        (Framing::Length(_), 0) => Framing::Done,
                        (Framing::Length(_), left) => Framing::Length(left),
                        (_, 0) => Framing::ChunkEnd,
                        (_, left) => Framing::Chunk(left),
                    };
                    if count == 0 || at == buffer.len() {
                        break Ok(());
                    }
                }
                Framing::Size => {
                    let (text, long) = match line(rest, MOST_LINE) {
                        Ok(Some(found)) => found,
                        Ok(None) => break Ok(()),
                        Err(error) => break Err(error),
                    };
                    let digits = text.split(|byte| *byte == b';').next().unwrap_or(text).trim_ascii();
                    let whole =
                        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
                    let digits = std::str::from_utf8(digits).unwrap_or("");
                    let Some(size) = usize::from_str_radix(digits, 16).ok().filter(|_| whole) else {
                        break refused(400, "a chunk's size is not a number");
                    };
                    if size > most.saturating_sub(body.len()) {
                        break refused(413, "the body is longer than allowed");
                    }
                    at += long;
                    *self = if size == 0 { Framing::Trailer(0) } else { Framing::Chunk(size) };
                }
                Framing::ChunkEnd => match line(rest, 3) {
                    Ok(Some(([], long))) => {
                        at += long;
                        *self = Framing::Size;
                    }
                    Ok(None) => break Ok(()),
                    _ => break refused(400, "no line end behind a chunk"),
                },
                Framing::Trailer(seen) => match line(rest, MOST_TRAILER - seen) {
                    Ok(Some((text, long))) => {
                        at += long;
                        *self = if text.is_empty() { Framing::Done } else { Framing::Trailer(seen + long) };
                        if seen + long >= MOST_TRAILER {
                            break refused(400, "a trailer is too long");
                        }
                    }
                    Ok(None) => break Ok(()),
                    Err(error) => break Err(error),
                },
            }
        };
        buffer.drain(..at);
        result
    }
}
