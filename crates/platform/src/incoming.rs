//! A response of a node that is being received: decodes it, and holds its body within the memory of the gateway.

use quaypath_http::{DecodeError, ResponseDecoder, ResponseHead, ResponsePart, MAX_BODY_BYTES};

use crate::memory::{allocated_bytes, MemoryAccount, MemoryKind, MemoryPermit, SMALL_BYTES};

/// The reason why a response for which there is no memory fails.
const NO_MEMORY_FOR_RESPONSE: DecodeError =
    DecodeError { status: 502, reason: "no memory left for the response" };

/// A response that is being received.
pub struct IncomingResponse {
    decoder: ResponseDecoder,
    pub head: Option<ResponseHead>,
    pub body: Vec<u8>,
    pub complete: bool,
    /// Memory of the body.
    pub body_memory: MemoryPermit,
    /// Memory of the decoder.
    buffer_memory: MemoryPermit,
}

/// How far a response has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    Incomplete,
    /// The head is complete, and decoding goes on once this many bytes of memory are reserved for the body.
    NeedsMemory(usize),
    Complete,
}

impl IncomingResponse {
    /// A response of which nothing was received yet.
    pub fn new(account: &MemoryAccount) -> Self {
        IncomingResponse {
            decoder: ResponseDecoder::new(account.limits().max_response_body),
            head: None,
            body: Vec::new(),
            complete: false,
            body_memory: account.hold(MemoryKind::ResponseBody, 0),
            buffer_memory: account.hold(MemoryKind::ResponseBuffer, 0),
        }
    }

    /// Decodes received bytes.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Reception, DecodeError> {
        self.decoder.feed(bytes);
        let reception = self.decode()?;
        if !self.buffer_memory.try_resize(allocated_bytes(self.decoder.memory_bytes())) {
            return Err(NO_MEMORY_FOR_RESPONSE);
        }
        Ok(reception)
    }

    /// Goes on with decoding after the memory for the body was reserved.
    pub fn resume(&mut self, body_memory: MemoryPermit) -> Result<Reception, DecodeError> {
        self.body.reserve_exact(self.first_body_capacity());
        self.body_memory = body_memory;
        self.decode()
    }

    fn decode(&mut self) -> Result<Reception, DecodeError> {
        while let Some(part) = self.decoder.poll()? {
            match part {
                ResponsePart::Head(head) => {
                    self.head = Some(head);
                    let capacity = self.first_body_capacity();
                    if capacity > SMALL_BYTES {
                        return Ok(Reception::NeedsMemory(allocated_bytes(capacity)));
                    }
                    self.body.reserve_exact(capacity);
                }
                ResponsePart::Body(bytes) => self.append_to_body(&bytes)?,
                ResponsePart::End => self.complete = true,
            }
        }
        Ok(if self.complete { Reception::Complete } else { Reception::Incomplete })
    }

    /// The capacity of the body for which memory is reserved when its head is received, bytes. More of it has to be sent
    /// before more is reserved.
    fn first_body_capacity(&self) -> usize {
        self.decoder.announced_body().unwrap_or(MAX_BODY_BYTES).min(MAX_BODY_BYTES)
    }

    fn append_to_body(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        let spare = self.body.capacity() - self.body.len();
        if bytes.len() > spare {
            self.body.reserve_exact(bytes.len().max(MAX_BODY_BYTES));
        }
        if !self.body_memory.try_resize(allocated_bytes(self.body.capacity())) {
            return Err(NO_MEMORY_FOR_RESPONSE);
        }
        self.body.extend_from_slice(bytes);
        Ok(())
    }

    /// Records that the node has closed its side of the connection in order; true if the response is complete.
    pub fn finish(&mut self) -> bool {
        self.complete |= self.decoder.finish().is_some();
        self.complete
    }

    /// Whether the connection can be used for another request.
    pub fn is_reusable(&self) -> bool {
        self.complete
            && self.decoder.trailing_bytes() == 0
            && self.head.as_ref().is_some_and(|head| !head.close)
    }
}
