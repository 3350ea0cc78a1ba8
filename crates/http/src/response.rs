//! Decoding of the responses that nodes and discovery send.

use crate::framing::{declared_framing, Framing};
use crate::{
    find_head_end, reject, DecodeError, Headers, EMPTY_BUFFER_CAPACITY, MAX_HEADERS, MAX_HEAD_BYTES,
    MAX_INTERIM_RESPONSES,
};

/// The head of a final response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    /// The connection cannot be used again after this response.
    pub close: bool,
}

/// A part of a response, in the order in which they are decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    Head(ResponseHead),
    /// Bytes of the body, without any transfer coding.
    Body(Vec<u8>),
    /// The response is complete.
    End,
}

#[derive(Debug)]
enum Stage {
    /// The head is incomplete: the number of bytes searched for its end, and the informational responses so far.
    Head(usize, u32),
    Body(Framing),
    Finished,
}

/// Takes the bytes of one response in any pieces. A response without a length is complete when the sender closes its side
/// of the connection in order, which the caller reports with [`ResponseDecoder::finish`]; a connection that is reset does
/// not complete it.
#[derive(Debug)]
pub struct ResponseDecoder {
    buffer: Vec<u8>,
    stage: Stage,
    /// Bytes of the body that may still follow.
    max_body: usize,
}

impl ResponseDecoder {
    /// For a body of at most `max_body` bytes; `usize::MAX` for an endless stream of chunks.
    pub fn new(max_body: usize) -> Self {
        ResponseDecoder { buffer: Vec::new(), stage: Stage::Head(0, 0), max_body }
    }

    /// Appends received bytes to the buffer; they are decoded by [`ResponseDecoder::poll`].
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of unrequested bytes that follow the end of the response.
    pub fn trailing_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Number of bytes of the body that are left to decode; `None` before the head is complete, and for a body without
    /// a length.
    pub fn announced_body(&self) -> Option<usize> {
        match self.stage {
            Stage::Body(Framing::Length(remaining)) => Some(remaining),
            Stage::Body(Framing::Done) | Stage::Finished => Some(0),
            Stage::Head(..) | Stage::Body(_) => None,
        }
    }

    /// Memory that the decoder holds, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the next part if it is available. After an error or [`ResponsePart::End`] nothing more is decoded.
    pub fn poll(&mut self) -> Result<Option<ResponsePart>, DecodeError> {
        loop {
            match &mut self.stage {
                Stage::Finished => return Ok(None),
                Stage::Head(scanned, interim) => {
                    // Bytes that cannot be a response are rejected at once, without waiting for the end of a head.
                    let prefix = b"HTTP/1.";
                    let compared = self.buffer.len().min(prefix.len());
                    if self.buffer[..compared] != prefix[..compared] {
                        return reject(502, "not an HTTP/1.x response");
                    }
                    let Some(end) = find_head_end(&self.buffer, *scanned) else {
                        *scanned = self.buffer.len();
                        if self.buffer.len() > MAX_HEAD_BYTES {
                            return reject(502, "the head of the response is longer than allowed");
                        }
                        return Ok(None);
                    };
                    if end > MAX_HEAD_BYTES {
                        return reject(502, "the head of the response is longer than allowed");
                    }
                    let interim = *interim;
                    let mut head = parse_head(&self.buffer[..end])?;
                    self.buffer.drain(..end);
                    if (100..200).contains(&head.status) {
                        if head.status == 101 || interim >= MAX_INTERIM_RESPONSES {
                            return reject(502, "a protocol upgrade or too many informational responses");
                        }
                        self.stage = Stage::Head(0, interim + 1);
                        continue;
                    }
                    let framing = match declared_framing(&head.headers, self.max_body)? {
                        _ if matches!(head.status, 204 | 304) => Framing::Done,
                        Some(framing) => framing,
                        None => {
                            head.close = true;
                            Framing::UntilClose
                        }
                    };
                    self.stage = Stage::Body(framing);
                    return Ok(Some(ResponsePart::Head(head)));
                }
                Stage::Body(framing) => {
                    let mut body = Vec::new();
                    framing.consume(&mut self.buffer, &mut body, self.max_body)?;
                    self.buffer.shrink_to(EMPTY_BUFFER_CAPACITY);
                    if !body.is_empty() {
                        self.max_body = self.max_body.saturating_sub(body.len());
                        return Ok(Some(ResponsePart::Body(body)));
                    }
                    if *framing != Framing::Done {
                        return Ok(None);
                    }
                    self.stage = Stage::Finished;
                    return Ok(Some(ResponsePart::End));
                }
            }
        }
    }

    /// Reports that the sender has closed its side of the connection in order. Returns [`ResponsePart::End`] if that
    /// completes the response.
    pub fn finish(&mut self) -> Option<ResponsePart> {
        matches!(self.stage, Stage::Body(Framing::UntilClose) if self.buffer.is_empty()).then(|| {
            self.stage = Stage::Finished;
            ResponsePart::End
        })
    }
}

fn parse_head(bytes: &[u8]) -> Result<ResponseHead, DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let complete =
        matches!(parsed.parse(bytes), Ok(httparse::Status::Complete(length)) if length == bytes.len());
    let (true, Some(status), Some(minor_version)) = (complete, parsed.code, parsed.version) else {
        return reject(502, "the head of the response cannot be parsed");
    };
    let headers = Headers::from_parsed(parsed.headers);
    let close = headers.contains_token("connection", "close") || minor_version == 0;
    Ok(ResponseHead { status, headers, close })
}
