//! Decoding of the requests that clients send.

use crate::framing::{declared_framing, Framing};
use crate::{
    find_head_end, reject, DecodeError, Headers, EMPTY_BUFFER_CAPACITY, MAX_BODY_BYTES, MAX_HEADERS,
    MAX_HEAD_BYTES,
};

/// A complete request, its body without any transfer coding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path and query as received.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The client accepts no further response on this connection.
    pub close: bool,
}

impl Request {
    /// Memory that the request holds beside its body, bytes.
    pub fn head_memory_bytes(&self) -> usize {
        size_of::<Request>() + self.method.capacity() + self.target.capacity() + self.headers.memory_bytes()
    }
}

#[derive(Clone, Debug)]
enum Stage {
    /// The head is incomplete; this many bytes were searched for its end.
    Head(usize),
    Body(Box<Request>, Framing),
}

/// Takes the bytes of a connection in any pieces and returns its requests one by one; bytes after a request are kept for
/// the next one.
#[derive(Clone, Debug)]
pub struct RequestDecoder {
    buffer: Vec<u8>,
    stage: Stage,
    /// Bytes of blank lines received since the last request.
    blank_bytes: usize,
}

impl Default for RequestDecoder {
    fn default() -> Self {
        RequestDecoder { buffer: Vec::new(), stage: Stage::Head(0), blank_bytes: 0 }
    }
}

impl RequestDecoder {
    /// Appends received bytes to the buffer; they are decoded by [`RequestDecoder::poll`].
    pub fn feed(&mut self, bytes: &[u8]) {
        // A vector that grows by itself may allocate up to twice the length.
        if bytes.len() > self.buffer.capacity() - self.buffer.len() {
            self.buffer.reserve_exact(bytes.len().max(EMPTY_BUFFER_CAPACITY));
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of bytes in the buffer. The caller limits it by not feeding more.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Memory that the decoder holds, without the body of the current request, bytes.
    pub fn memory_bytes(&self) -> usize {
        let head = match &self.stage {
            Stage::Body(request, _) => request.head_memory_bytes(),
            Stage::Head(_) => 0,
        };
        self.buffer.capacity() + head
    }

    /// Whether a request has begun and is not complete.
    pub fn has_partial_request(&self) -> bool {
        !self.buffer.is_empty() || matches!(self.stage, Stage::Body(..))
    }

    /// Whether the client of the current request waits for a 100 (Continue) response before it sends the body.
    pub fn expects_continue(&self) -> bool {
        matches!(&self.stage, Stage::Body(request, _) if request.headers.contains_token("expect", "100-continue"))
    }

    /// Length of the body that the head of the current request announced, bytes: the longest body allowed if it is
    /// chunked, 0 before the head is complete.
    pub fn announced_body(&self) -> usize {
        match &self.stage {
            Stage::Body(request, Framing::Length(remaining)) => request.body.len() + remaining,
            Stage::Body(..) => MAX_BODY_BYTES,
            Stage::Head(_) => 0,
        }
    }

    /// Returns the next request if it is complete. After an error nothing more can be decoded.
    pub fn poll(&mut self) -> Result<Option<Request>, DecodeError> {
        if let Stage::Head(scanned) = self.stage {
            if scanned == 0 {
                // Blank lines before a request are ignored (RFC 9112, 2.2), but their number is limited.
                let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
                self.buffer.drain(..blank);
                self.blank_bytes += blank;
                if self.blank_bytes > MAX_HEAD_BYTES {
                    return reject(400, "blank lines and no request");
                }
            }
            let Some(end) = find_head_end(&self.buffer, scanned) else {
                if self.buffer.len() > MAX_HEAD_BYTES {
                    return reject(431, "the head is longer than allowed");
                }
                self.stage = Stage::Head(self.buffer.len());
                return Ok(None);
            };
            if end > MAX_HEAD_BYTES {
                return reject(431, "the head is longer than allowed");
            }
            let (mut request, framing) = parse_head(&self.buffer[..end])?;
            self.buffer.drain(..end);
            self.blank_bytes = 0;
            // A vector that grows step by step may allocate up to twice the announced length.
            if let Framing::Length(length) = framing {
                request.body.reserve_exact(length);
            }
            self.stage = Stage::Body(Box::new(request), framing);
        }
        let Stage::Body(request, framing) = &mut self.stage else { return Ok(None) };
        framing.consume(&mut self.buffer, &mut request.body, MAX_BODY_BYTES)?;
        // An idle connection keeps only a small buffer.
        self.buffer.shrink_to(EMPTY_BUFFER_CAPACITY);
        if *framing != Framing::Done {
            return Ok(None);
        }
        let Stage::Body(request, _) = std::mem::replace(&mut self.stage, Stage::Head(0)) else {
            return Ok(None);
        };
        Ok(Some(*request))
    }
}

fn parse_head(bytes: &[u8]) -> Result<(Request, Framing), DecodeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length == bytes.len() => {}
        Err(httparse::Error::TooManyHeaders) => return reject(431, "more headers than allowed"),
        _ => return reject(400, "the head cannot be read"),
    }
    let (Some(method), Some(target), Some(minor_version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return reject(400, "the request line is not whole");
    };
    let headers = Headers::from_parsed(parsed.headers);
    if minor_version == 1 && headers.values("host").count() != 1 {
        return reject(400, "not one Host header");
    }
    let framing = declared_framing(&headers, MAX_BODY_BYTES)?.unwrap_or(Framing::Done);
    let close = headers.contains_token("connection", "close")
        || (minor_version == 0 && !headers.contains_token("connection", "keep-alive"));
    let (method, target) = (method.to_string(), target.to_string());
    Ok((Request { method, target, headers, body: Vec::new(), close }, framing))
}
