//! Reader of little-endian numbers, used by all message formats of this crate.

/// The bytes end before the field does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnexpectedEnd;

/// Bytes that are decoded field by field; holds those that are not decoded yet.
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    /// Takes the next `N` bytes.
    pub fn take<const N: usize>(&mut self) -> Result<[u8; N], UnexpectedEnd> {
        let (field, remaining) = self.0.split_first_chunk::<N>().ok_or(UnexpectedEnd)?;
        self.0 = remaining;
        Ok(*field)
    }

    pub fn u8(&mut self) -> Result<u8, UnexpectedEnd> {
        self.take::<1>().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Result<u16, UnexpectedEnd> {
        self.take().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, UnexpectedEnd> {
        self.take().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, UnexpectedEnd> {
        self.take().map(u64::from_le_bytes)
    }
}
