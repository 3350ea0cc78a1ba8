//! Splits a stream of bytes, in whatever pieces it arrives, into JSON objects. Each object may be on one line or indented
//! over several lines.

use thiserror::Error;

/// The reason why a stream cannot be split.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    #[error("an object is longer than {0} bytes")]
    ObjectTooLong(usize),
    #[error("unexpected byte {0:#04x} between two objects")]
    UnexpectedByte(u8),
}

/// The syntactic position after the bytes read so far. Every change is made by [`JsonSplitter::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    BetweenObjects,
    /// Inside an object, at this depth of nested brackets.
    InObject(usize),
    /// Inside a string at this depth.
    InString(usize),
    /// After a backslash in a string at this depth.
    AfterBackslash(usize),
}

/// What is completed by a byte.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPart {
    /// The bytes of one object.
    Object(Vec<u8>),
    /// A line end between objects.
    LineEnd,
}

/// Splits a stream into its objects without checking their content.
#[derive(Debug)]
pub struct JsonSplitter {
    /// The bytes of the current, incomplete object.
    buffer: Vec<u8>,
    position: Position,
    /// Longest object, bytes.
    max_object: usize,
}

impl JsonSplitter {
    /// For objects of at most `max_object` bytes each.
    pub fn new(max_object: usize) -> Self {
        JsonSplitter { buffer: Vec::new(), position: Position::BetweenObjects, max_object }
    }

    /// Memory that the splitter holds, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns the parts that these bytes complete, in order. After an error nothing more can be read.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<StreamPart>, Error> {
        let mut parts = Vec::new();
        for byte in bytes {
            parts.extend(self.read(*byte)?);
        }
        Ok(parts)
    }

    fn read(&mut self, byte: u8) -> Result<Option<StreamPart>, Error> {
        let before = self.position;
        self.position = match (before, byte) {
            (Position::BetweenObjects, b'\n') => return Ok(Some(StreamPart::LineEnd)),
            (Position::BetweenObjects, b' ' | b'\t' | b'\r') => return Ok(None),
            (Position::BetweenObjects, b'{') => Position::InObject(1),
            (Position::BetweenObjects, unexpected) => return Err(Error::UnexpectedByte(unexpected)),
            (Position::InObject(depth), b'"') => Position::InString(depth),
            (Position::InObject(depth), b'{' | b'[') => Position::InObject(depth + 1),
            (Position::InObject(1), b'}' | b']') => Position::BetweenObjects,
            (Position::InObject(depth), b'}' | b']') => Position::InObject(depth - 1),
            (Position::InString(depth), b'\\') => Position::AfterBackslash(depth),
            (Position::InString(depth), b'"') => Position::InObject(depth),
            (Position::AfterBackslash(depth), _) => Position::InString(depth),
            (unchanged, _) => unchanged,
        };
        if self.buffer.len() >= self.max_object {
            return Err(Error::ObjectTooLong(self.max_object));
        }
        self.buffer.push(byte);
        Ok((self.position == Position::BetweenObjects)
            .then(|| StreamPart::Object(std::mem::take(&mut self.buffer))))
    }
}
