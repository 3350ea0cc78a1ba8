//! JSON objects one by one out of a stream of bytes, whatever pieces they come in, each on a line or indented.

use thiserror::Error;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Error {
    #[error("an object is longer than {0} bytes")]
    Long(usize),
    #[error("byte {0:#04x} stands between two objects")]
    Stray(u8),
}

/// Where the bytes read so far end. Every change goes through [`Objects::read`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    Between,
    /// So many brackets deep.
    Within(usize),
    /// In a string at that depth.
    Text(usize),
    /// Behind a backslash of such a string.
    Escape(usize),
}

/// What a byte ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    Object(Vec<u8>),
    /// A line end between objects.
    Line,
}

/// Splits a stream into its objects; nothing inside them is checked.
#[derive(Debug)]
pub struct Objects {
    held: Vec<u8>,
    place: Place,
    most: usize,
}

impl Objects {
    /// For objects of `most` bytes each.
    pub fn new(most: usize) -> Self {
        Objects { held: Vec::new(), place: Place::Between, most }
    }

    /// The parts that these bytes end, in order. After an error nothing more can be read.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Vec<Part>, Error> {
        let mut parts = Vec::new();
        for byte in bytes {
            parts.extend(self.read(*byte)?);
        }
        Ok(parts)
    }

    fn read(&mut self, byte: u8) -> Result<Option<Part>, Error> {
        let before = self.place;
        self.place = match (before, byte) {
            (Place::Between, b'\n') => return Ok(Some(Part::Line)),
            (Place::Between, b' ' | b'\t' | b'\r') => return Ok(None),
            (Place::Between, b'{') => Place::Within(1),
            (Place::Between, other) => return Err(Error::Stray(other)),
            (Place::Within(depth), b'"') => Place::Text(depth),
            (Place::Within(depth), b'{' | b'[') => Place::Within(depth + 1),
            (Place::Within(1), b'}' | b']') => Place::Between,
            (Place::Within(depth), b'}' | b']') => Place::Within(depth - 1),
            (Place::Text(depth), b'\\') => Place::Escape(depth),
            (Place::Text(depth), b'"') => Place::Within(depth),
            (Place::Escape(depth), _) => Place::Text(depth),
            (same, _) => same,
        };
        if self.held.len() >= self.most {
            return Err(Error::Long(self.most));
        }
        self.held.push(byte);
        Ok((self.place == Place::Between).then(|| Part::Object(std::mem::take(&mut self.held))))
    }
}
