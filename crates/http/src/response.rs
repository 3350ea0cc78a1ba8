//! Responses: what a node or discovery answers.

use crate::framing::{announced, Framing};
use crate::{head_end, refused, Headers, Refused, MOST_HEAD, MOST_HEADERS, MOST_INTERIM};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub headers: Headers,
    /// The connection is of no further use once this answer has ended.
    pub close: bool,
}

/// A piece of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Head(ResponseHead),
    /// Bytes of the body, without any transfer coding.
    Body(Vec<u8>),
    End,
}

#[derive(Debug)]
enum Stage {
    /// Looked for the end of the head up to here; informational answers so far.
    Head(usize, u32),
    Body(Framing),
    Over,
}

/// Takes the bytes of one response as they come. One without a length is whole where its sender ends its sending in
/// order, which the caller says by [`ResponseDecoder::finish`]; a connection that breaks is no end.
#[derive(Debug)]
pub struct ResponseDecoder {
    buffer: Vec<u8>,
    stage: Stage,
    most: usize,
}

impl ResponseDecoder {
    /// For a body of `most` bytes; a stream of chunks without end has `usize::MAX`.
    pub fn new(most: usize) -> Self {
        ResponseDecoder { buffer: Vec::new(), stage: Stage::Head(0, 0), most }
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes behind the end of the response: whatever they are, they are not asked for.
    pub fn behind(&self) -> usize {
        self.buffer.len()
    }

    /// The next part, if it is there. After an error or the end nothing more comes.
    pub fn poll(&mut self) -> Result<Option<Part>, Refused> {
        loop {
            match &mut self.stage {
                Stage::Over => return Ok(None),
                Stage::Head(seen, interim) => {
                    // What does not begin as an answer does is not waited for, whatever pieces it comes in.
                    let start = b"HTTP/1.";
                    let known = self.buffer.len().min(start.len());
                    if self.buffer[..known] != start[..known] {
                        return refused(502, "not an answer");
                    }
                    let Some(end) = head_end(&self.buffer, *seen) else {
                        *seen = self.buffer.len();
                        if self.buffer.len() > MOST_HEAD {
                            return refused(502, "the head is longer than allowed");
                        }
                        return Ok(None);
                    };
                    if end > MOST_HEAD {
                        return refused(502, "the head is longer than allowed");
                    }
                    let interim = *interim;
                    let mut head = head(&self.buffer[..end])?;
                    self.buffer.drain(..end);
                    if (100..200).contains(&head.status) {
                        if head.status == 101 || interim >= MOST_INTERIM {
                            return refused(502, "an upgrade, or too many informational answers");
                        }
                        self.stage = Stage::Head(0, interim + 1);
                        continue;
                    }
                    let framing = match announced(&head.headers, self.most)? {
                        _ if matches!(head.status, 204 | 304) => Framing::Done,
                        Some(framing) => framing,
                        None => {
                            head.close = true;
                            Framing::UntilEnd
                        }
                    };
                    self.stage = Stage::Body(framing);
                    return Ok(Some(Part::Head(head)));
                }
                Stage::Body(framing) => {
                    let mut body = Vec::new();
                    framing.take(&mut self.buffer, &mut body, self.most)?;
                    if !body.is_empty() {
                        self.most = self.most.saturating_sub(body.len());
                        return Ok(Some(Part::Body(body)));
                    }
                    if *framing != Framing::Done {
                        return Ok(None);
                    }
                    self.stage = Stage::Over;
                    return Ok(Some(Part::End));
                }
            }
        }
    }

    /// The sender has ended its sending in order. The response's end, where that is how it ends.
    pub fn finish(&mut self) -> Option<Part> {
        matches!(self.stage, Stage::Body(Framing::UntilEnd) if self.buffer.is_empty()).then(|| {
            self.stage = Stage::Over;
            Part::End
        })
    }
}

fn head(bytes: &[u8]) -> Result<ResponseHead, Refused> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let whole =
        matches!(parsed.parse(bytes), Ok(httparse::Status::Complete(length)) if length == bytes.len());
    let (true, Some(status), Some(minor)) = (whole, parsed.code, parsed.version) else {
        return refused(502, "the head cannot be read");
    };
    let headers = Headers::of(parsed.headers);
    let close = headers.lists("connection", "close") || minor == 0;
    Ok(ResponseHead { status, headers, close })
}
