//! Reads little-endian numbers from bytes, for every form that the fleet's processes talk in.

/// The bytes end before the field does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Short;

/// Decodes one field after the other; none past the end.
pub struct Fields<'a>(pub &'a [u8]);

impl Fields<'_> {
    pub fn take<const N: usize>(&mut self) -> Result<[u8; N], Short> {
        let (now, rest) = self.0.split_first_chunk::<N>().ok_or(Short)?;
        self.0 = rest;
        Ok(*now)
    }

    pub fn u8(&mut self) -> Result<u8, Short> {
        self.take::<1>().map(|[byte]| byte)
    }

    pub fn u16(&mut self) -> Result<u16, Short> {
        self.take().map(u16::from_le_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, Short> {
        self.take().map(u32::from_le_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, Short> {
        self.take().map(u64::from_le_bytes)
    }
}
