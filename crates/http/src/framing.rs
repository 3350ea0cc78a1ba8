//! Body framing: where the body of a message ends (RFC 9112, section 6).

use crate::{reject, DecodeError, Headers};

/// Longest line with the size and the extensions of a chunk, bytes.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;
/// Longest trailer section after the last chunk, bytes.
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// How much of a body is still to be received. Every change of state is made by [`Framing::consume`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A body with a Content-Length, of which this many bytes are left.
    Length(usize),
    /// The line with the size of a chunk is next.
    ChunkSize,
    /// The data of a chunk, of which this many bytes are left.
    ChunkData(usize),
    /// The line end after the data of a chunk is next.
    ChunkEnd,
    /// Lines of the trailer section, of which this many bytes were received.
    Trailer(usize),
    /// The body has no length and ends when the sender closes its side of the connection.
    UntilClose,
    Done,
}

/// The framing that the headers declare; `None` if they declare none.
pub fn declared_framing(headers: &Headers, max_body: usize) -> Result<Option<Framing>, DecodeError> {
    let mut lengths = headers.values("content-length");
    let (length, second_length) = (lengths.next(), lengths.next());
    let mut codings = headers.values("transfer-encoding");
    let (coding, second_coding) = (codings.next(), codings.next());
    match (length, coding) {
        // The next recipient may follow the other header, so that the body could smuggle a second message.
        (Some(_), Some(_)) => reject(400, "both Content-Length and Transfer-Encoding"),
        (Some(_), None) if second_length.is_some() => reject(400, "Content-Length more than once"),
        (Some(length), None) => {
            let length = length.trim_ascii();
            if length.is_empty() || !length.iter().all(u8::is_ascii_digit) {
                return reject(400, "Content-Length is not a number");
            }
            let text = std::str::from_utf8(length).unwrap_or("");
            match text.parse::<usize>() {
                Ok(0) => Ok(Some(Framing::Done)),
                Ok(length) if length <= max_body => Ok(Some(Framing::Length(length))),
                _ => reject(413, "the body is longer than allowed"),
            }
        }
        (None, Some(coding)) => {
            if second_coding.is_some() || !coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return reject(501, "a Transfer-Encoding other than chunked");
            }
            Ok(Some(Framing::ChunkSize))
        }
        (None, None) => Ok(None),
    }
}

/// The first line of `bytes` without its line end, and its length with the line end; `None` if it is not complete.
fn first_line(bytes: &[u8], max_length: usize) -> Result<Option<(&[u8], usize)>, DecodeError> {
    match bytes.iter().take(max_length).position(|byte| *byte == b'\n') {
        Some(end) => Ok(Some((bytes[..end].strip_suffix(b"\r").unwrap_or(&bytes[..end]), end + 1))),
        None if bytes.len() >= max_length => reject(400, "a line of a chunked body is too long"),
        None => Ok(None),
    }
}

impl Framing {
    /// Decodes as much of `buffer` as possible, removes it there and appends the data to `body`, which may hold at most
    /// `max_body` bytes.
    pub fn consume(
        &mut self, buffer: &mut Vec<u8>, body: &mut Vec<u8>, max_body: usize,
    ) -> Result<(), DecodeError> {
        let mut position = 0;
        let result = loop {
            let rest = &buffer[position..];
            match *self {
                Framing::Done => break Ok(()),
                Framing::UntilClose => {
                    if rest.len() > max_body.saturating_sub(body.len()) {
                        break reject(413, "the body is longer than allowed");
                    }
                    body.extend_from_slice(rest);
                    position = buffer.len();
                    break Ok(());
                }
                Framing::Length(remaining) | Framing::ChunkData(remaining) => {
                    let count = remaining.min(rest.len());
                    body.extend_from_slice(&rest[..count]);
                    position += count;
                    *self = match (*self, remaining - count) {
                        (Framing::Length(_), 0) => Framing::Done,
                        (Framing::Length(_), remaining) => Framing::Length(remaining),
                        (_, 0) => Framing::ChunkEnd,
                        (_, remaining) => Framing::ChunkData(remaining),
                    };
                    if count == 0 || position == buffer.len() {
                        break Ok(());
                    }
                }
                Framing::ChunkSize => {
                    let (text, line_length) = match first_line(rest, MAX_CHUNK_SIZE_LINE_BYTES) {
                        Ok(Some(line)) => line,
                        Ok(None) => break Ok(()),
                        Err(error) => break Err(error),
                    };
                    let digits = text.split(|byte| *byte == b';').next().unwrap_or(text).trim_ascii();
                    let valid =
                        !digits.is_empty() && digits.len() <= 15 && digits.iter().all(u8::is_ascii_hexdigit);
                    let digits = std::str::from_utf8(digits).unwrap_or("");
                    let Some(size) = usize::from_str_radix(digits, 16).ok().filter(|_| valid) else {
                        break reject(400, "a chunk's size is not a number");
                    };
                    if size > max_body.saturating_sub(body.len()) {
                        break reject(413, "the body is longer than allowed");
                    }
                    position += line_length;
                    *self = if size == 0 { Framing::Trailer(0) } else { Framing::ChunkData(size) };
                }
                Framing::ChunkEnd => match first_line(rest, 3) {
                    Ok(Some(([], line_length))) => {
                        position += line_length;
                        *self = Framing::ChunkSize;
                    }
                    Ok(None) => break Ok(()),
                    _ => break reject(400, "no line end behind a chunk"),
                },
                Framing::Trailer(received) => match first_line(rest, MAX_TRAILER_BYTES - received) {
                    Ok(Some((text, line_length))) => {
                        position += line_length;
                        *self = if text.is_empty() {
                            Framing::Done
                        } else {
                            Framing::Trailer(received + line_length)
                        };
                        if received + line_length >= MAX_TRAILER_BYTES {
                            break reject(400, "a trailer is too long");
                        }
                    }
                    Ok(None) => break Ok(()),
                    Err(error) => break Err(error),
                },
            }
        };
        buffer.drain(..position);
        result
    }
}
