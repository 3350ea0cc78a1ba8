//! Requests: what a client sends.

use crate::framing::{announced, Framing};
use crate::{head_end, refused, Headers, Refused, MOST_BODY, MOST_HEAD, MOST_HEADERS};

/// What is kept of a buffer's room where nothing is in it, bytes.
const SMALL: usize = 1 << 10;

/// A whole request, its body without any transfer coding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    /// Path and query, as they came.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// The client takes no further answer on this connection.
    pub close: bool,
}

#[derive(Debug)]
enum Stage {
    /// Looked for the end of the head up to here.
    Head(usize),
    Body(Box<Request>, Framing),
}

/// Takes bytes as they come and gives requests one by one; what stands behind one is kept for the next.
#[derive(Debug)]
pub struct RequestDecoder {
    buffer: Vec<u8>,
    stage: Stage,
    /// Bytes of blank lines since the last request.
    blank: usize,
}

impl Default for RequestDecoder {
    fn default() -> Self {
        RequestDecoder { buffer: Vec::new(), stage: Stage::Head(0), blank: 0 }
    }
}

impl RequestDecoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held, which the caller bounds by not feeding on.
    pub fn held(&self) -> usize {
        self.buffer.len()
    }

    /// Whether a request has begun and is not whole.
    pub fn unfinished(&self) -> bool {
        !self.buffer.is_empty() || matches!(self.stage, Stage::Body(..))
    }

    /// Whether a head has come whose client waits for a word before it sends the body.
    pub fn expects(&self) -> bool {
        matches!(&self.stage, Stage::Body(request, _) if request.headers.lists("expect", "100-continue"))
    }

    /// Bytes of the body that the head under way announced, the most there may be where it is chunked.
    pub fn announced(&self) -> usize {
        match &self.stage {
            Stage::Body(request, Framing::Length(left)) => request.body.len() + left,
            Stage::Body(..) => MOST_BODY,
            Stage::Head(_) => 0,
        }
    }

    /// The next whole request, if it is there. After an error nothing more can be read.
    pub fn poll(&mut self) -> Result<Option<Request>, Refused> {
        if let Stage::Head(seen) = self.stage {
            if seen == 0 {
                // Line ends before a request are let pass (RFC 9112, 2.2), but not without end.
                let blank = self.buffer.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
                self.buffer.drain(..blank);
                self.blank += blank;
                if self.blank > MOST_HEAD {
                    return refused(400, "blank lines and no request");
                }
            }
            let Some(end) = head_end(&self.buffer, seen) else {
                if self.buffer.len() > MOST_HEAD {
                    return refused(431, "the head is longer than allowed");
                }
                self.stage = Stage::Head(self.buffer.len());
                return Ok(None);
            };
            if end > MOST_HEAD {
                return refused(431, "the head is longer than allowed");
            }
            let (mut request, framing) = head(&self.buffer[..end])?;
            self.buffer.drain(..end);
            self.blank = 0;
            // Not twice as much as was announced, as a vector that grows by and by may take.
            if let Framing::Length(length) = framing {
                request.body.reserve_exact(length);
            }
            self.stage = Stage::Body(Box::new(request), framing);
        }
        let Stage::Body(request, framing) = &mut self.stage else { return Ok(None) };
        framing.take(&mut self.buffer, &mut request.body, MOST_BODY)?;
        // Small again until more comes.
        self.buffer.shrink_to(SMALL);
        if *framing != Framing::Done {
            return Ok(None);
        }
        let Stage::Body(request, _) = std::mem::replace(&mut self.stage, Stage::Head(0)) else {
            return Ok(None);
        };
        Ok(Some(*request))
    }
}

fn head(bytes: &[u8]) -> Result<(Request, Framing), Refused> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) if length == bytes.len() => {}
        Err(httparse::Error::TooManyHeaders) => return refused(431, "more headers than allowed"),
        _ => return refused(400, "the head cannot be read"),
    }
    let (Some(method), Some(target), Some(minor)) = (parsed.method, parsed.path, parsed.version) else {
        return refused(400, "the request line is not whole");
    };
    let headers = Headers::of(parsed.headers);
    if minor == 1 && headers.all("host").count() != 1 {
        return refused(400, "not one Host header");
    }
    let framing = announced(&headers, MOST_BODY)?.unwrap_or(Framing::Done);
    let close =
        headers.lists("connection", "close") || (minor == 0 && !headers.lists("connection", "keep-alive"));
    let (method, target) = (method.to_string(), target.to_string());
    Ok((Request { method, target, headers, body: Vec::new(), close }, framing))
}
