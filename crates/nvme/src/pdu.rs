//! PDUs: layouts, encoding, and decoding over any split of bytes.
//!
//! Every PDU starts with the common header: type, flags, HLEN, PDO, PLEN. After that come header digest, padding up
//! to the data's alignment, data and data digest, as far as both ends agreed on them ([`Format`]).

use thiserror::Error;

use crate::command::{Cqe, Sqe};
use crate::{IN_CAPSULE, MAX_DATA};

const COMMON: usize = 8;
/// ICReq and ICResp are padded to this length.
const INIT_LEN: usize = 128;
const CMD_LEN: usize = 72;
const RESP_LEN: usize = 24;
const DATA_LEN: usize = 24;
/// A term request may carry the start of the offending PDU, this much at most.
const TERM_MOST: usize = 152;

const ICREQ: u8 = 0x00;
const ICRESP: u8 = 0x01;
const H2C_TERM: u8 = 0x02;
const C2H_TERM: u8 = 0x03;
const CAPSULE_CMD: u8 = 0x04;
const CAPSULE_RESP: u8 = 0x05;
const H2C_DATA: u8 = 0x06;
const C2H_DATA: u8 = 0x07;
const R2T: u8 = 0x09;

const FLAG_HDGST: u8 = 1;
const FLAG_DDGST: u8 = 2;
const FLAG_LAST: u8 = 4;
const FLAG_SUCCESS: u8 = 8;

/// Data of a capsule or data PDU and where it belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataPart {
    /// Command the data belongs to (CCCID).
    pub cid: u16,
    /// Transfer tag, in H2CData the one of the R2T; zero in C2HData.
    pub ttag: u16,
    /// Offset within the command's data, bytes.
    pub offset: u32,
    /// No more data of this command (or of this R2T) follows.
    pub last: bool,
    /// C2HData only: the transfer's end stands for a successful response, no CapsuleResp follows.
    pub success: bool,
    pub data: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pdu {
    /// PDU format version, host data alignment (HPDA), digest bits, MAXR2T (0-based).
    IcReq {
        pfv: u16,
        hpda: u8,
        digest: u8,
        max_r2t: u32,
    },
    /// PDU format version, controller data alignment (CPDA), digest bits, MAXH2CDATA in bytes.
    IcResp {
        pfv: u16,
        cpda: u8,
        digest: u8,
        max_h2c: u32,
    },
    /// Fatal error from the host: status and where in the PDU it was found.
    H2cTerm {
        status: u16,
        info: u32,
    },
    /// Fatal error from the controller.
    C2hTerm {
        status: u16,
        info: u32,
    },
    Command {
        sqe: Sqe,
        data: Vec<u8>,
    },
    Response(Cqe),
    H2cData(DataPart),
    C2hData(DataPart),
    /// The controller is ready for this part of a write.
    R2t {
        cid: u16,
        ttag: u16,
        offset: u32,
        length: u32,
    },
}

/// What both ends agreed on when the connection was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Format {
    /// CRC32C over the header of every PDU but ICReq, ICResp and term requests.
    pub header_digest: bool,
    /// CRC32C over the data of every PDU that carries some.
    pub data_digest: bool,
    /// Alignment of data within a PDU that this end sends, in dwords less one (HPDA or CPDA of the other end).
    pub align: u8,
}

impl Format {
    /// From the DGST byte of ICReq or ICResp.
    pub fn of(digest: u8, align: u8) -> Self {
        Format { header_digest: digest & 1 != 0, data_digest: digest & 2 != 0, align }
    }

    pub fn digest(&self) -> u8 {
        u8::from(self.header_digest) | u8::from(self.data_digest) << 1
    }

    /// Where data starts in a PDU with a header of `hlen` bytes.
    fn pdo(&self, hlen: usize) -> usize {
        let after = hlen + if self.header_digest { 4 } else { 0 };
        after.next_multiple_of((usize::from(self.align) + 1) * 4)
    }
}

/// Largest HPDA or CPDA: data starts on a multiple of 128 bytes.
pub const MAX_ALIGN: u8 = 31;

/// Fatal error status (FES) values of the term requests.
pub mod fatal {
    pub const INVALID_HEADER: u16 = 1;
    pub const SEQUENCE: u16 = 2;
    pub const HEADER_DIGEST: u16 = 3;
    pub const OUT_OF_RANGE: u16 = 4;
    pub const LIMIT: u16 = 5;
    pub const UNSUPPORTED: u16 = 6;
}

/// What a peer sent that cannot be taken; the connection ends with a term request.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{what} (fatal error status {status}, at byte {info} of the PDU)")]
pub struct Refused {
    pub status: u16,
    pub info: u32,
    pub what: &'static str,
}

pub fn refused<T>(status: u16, info: u32, what: &'static str) -> Result<T, Refused> {
    Err(Refused { status, info, what })
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Appends a PDU of this kind: what follows the common header up to HLEN, then the data.
fn put(out: &mut Vec<u8>, kind: u8, flags: u8, format: Format, hlen: usize, rest: &[&[u8]], data: &[u8]) {
    let start = out.len();
    let pdo = if data.is_empty() { 0 } else { format.pdo(hlen) };
    let digests = [(format.header_digest, FLAG_HDGST), (format.data_digest && !data.is_empty(), FLAG_DDGST)];
    let flags = digests.iter().filter(|(on, _)| *on).fold(flags, |flags, (_, flag)| flags | flag);
    let header = hlen + if format.header_digest { 4 } else { 0 };
    let plen = if data.is_empty() { header } else { pdo + data.len() + if digests[1].0 { 4 } else { 0 } };
    out.extend_from_slice(&[kind, flags, hlen as u8, pdo as u8]);
    out.extend_from_slice(&(plen as u32).to_le_bytes());
    rest.iter().for_each(|bytes| out.extend_from_slice(bytes));
    out.resize(start + hlen, 0);
    if format.header_digest {
        let digest = crc32c::crc32c(&out[start..]);
        out.extend_from_slice(&digest.to_le_bytes());
    }
    if !data.is_empty() {
        out.resize(start + pdo, 0);
        out.extend_from_slice(data);
        if digests[1].0 {
            out.extend_from_slice(&crc32c::crc32c(data).to_le_bytes());
        }
    }
}

fn put_data(out: &mut Vec<u8>, kind: u8, format: Format, part: &DataPart) {
    let flags = if part.last { FLAG_LAST } else { 0 } | if part.success { FLAG_SUCCESS } else { 0 };
    let (offset, length) = (part.offset.to_le_bytes(), (part.data.len() as u32).to_le_bytes());
    let rest: [&[u8]; 4] = [&part.cid.to_le_bytes(), &part.ttag.to_le_bytes(), &offset, &length];
    put(out, kind, flags, format, DATA_LEN, &rest, &part.data);
}

impl Pdu {
    /// Appends the PDU's bytes in the plain format: no digests, no alignment.
    pub fn encode(&self, out: &mut Vec<u8>) {
        self.encode_in(Format::default(), out);
    }

    /// Appends the PDU's bytes as agreed on. PDUs of the connection's set-up and end are always plain.
    pub fn encode_in(&self, format: Format, out: &mut Vec<u8>) {
        let plain = Format::default();
        let mut entry = Vec::with_capacity(64);
        match self {
            Pdu::IcReq { pfv, hpda, digest, max_r2t } => {
                let rest: [&[u8]; 3] = [&pfv.to_le_bytes(), &[*hpda, *digest], &max_r2t.to_le_bytes()];
                put(out, ICREQ, 0, plain, INIT_LEN, &rest, &[]);
            }
            Pdu::IcResp { pfv, cpda, digest, max_h2c } => {
                let rest: [&[u8]; 3] = [&pfv.to_le_bytes(), &[*cpda, *digest], &max_h2c.to_le_bytes()];
                put(out, ICRESP, 0, plain, INIT_LEN, &rest, &[]);
            }
            Pdu::H2cTerm { status, info } | Pdu::C2hTerm { status, info } => {
                let kind = if matches!(self, Pdu::H2cTerm { .. }) { H2C_TERM } else { C2H_TERM };
                put(out, kind, 0, plain, RESP_LEN, &[&status.to_le_bytes(), &info.to_le_bytes()], &[]);
            }
            Pdu::Command { sqe, data } => {
                sqe.encode(&mut entry);
                put(out, CAPSULE_CMD, 0, format, CMD_LEN, &[&entry], data);
            }
            Pdu::Response(cqe) => {
                cqe.encode(&mut entry);
                put(out, CAPSULE_RESP, 0, format, RESP_LEN, &[&entry], &[]);
            }
            Pdu::H2cData(part) => put_data(out, H2C_DATA, format, part),
            Pdu::C2hData(part) => put_data(out, C2H_DATA, format, part),
            Pdu::R2t { cid, ttag, offset, length } => {
                let (offset, length) = (offset.to_le_bytes(), length.to_le_bytes());
                let rest: [&[u8]; 4] = [&cid.to_le_bytes(), &ttag.to_le_bytes(), &offset, &length];
                put(out, R2T, 0, format, DATA_LEN, &rest, &[]);
            }
        }
    }
}

/// Takes bytes as they come and gives whole PDUs. Holds one PDU at most beyond what was fed last, and refuses a
/// header whose length is out of bounds before it waits for the rest.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    read: usize,
    whole: u64,
    format: Format,
    /// The last PDU's data does not match its digest.
    spoilt: bool,
}

impl Decoder {
    /// What was agreed on holds for every PDU from here on.
    pub fn agree(&mut self, format: Format) {
        self.format = format;
    }

    /// Whether the data of the PDU given last does not match its digest. Not fatal: its command fails.
    pub fn spoilt(&self) -> bool {
        self.spoilt
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        if self.read > 0 && (self.read == self.bytes.len() || self.read > 64 * 1024) {
            self.bytes.drain(..self.read);
            self.read = 0;
        }
        self.bytes.extend_from_slice(bytes);
    }

    /// Bytes that wait for the rest of their PDU; a peer that leaves some here and stays is closed by time.
    pub fn pending(&self) -> usize {
        self.bytes.len() - self.read
    }

    /// Whole PDUs taken so far: a peer whose count stands still while bytes are pending makes no progress.
    pub fn whole(&self) -> u64 {
        self.whole
    }

    /// The next whole PDU, or none until more bytes come.
    pub fn next_pdu(&mut self) -> Result<Option<Pdu>, Refused> {
        let bytes = &self.bytes[self.read..];
        if bytes.len() < COMMON {
            return Ok(None);
        }
        let (kind, flags, hlen, pdo) = (bytes[0], bytes[1], bytes[2] as usize, bytes[3] as usize);
        let plen = u32_at(bytes, 4) as usize;
        let (expected, most) = match kind {
            ICREQ | ICRESP => (INIT_LEN, 0),
            H2C_TERM | C2H_TERM => (RESP_LEN, TERM_MOST - RESP_LEN),
            CAPSULE_CMD => (CMD_LEN, IN_CAPSULE),
            CAPSULE_RESP => (RESP_LEN, 0),
            H2C_DATA | C2H_DATA => (DATA_LEN, MAX_DATA),
            R2T => (DATA_LEN, 0),
            _ => return refused(fatal::INVALID_HEADER, 0, "PDU type is not one of the subset"),
        };
        if hlen != expected {
            return refused(fatal::INVALID_HEADER, 2, "HLEN does not fit the PDU type");
        }
        let set_up = matches!(kind, ICREQ | ICRESP | H2C_TERM | C2H_TERM);
        let header_digest = self.format.header_digest && !set_up;
        let header = hlen + if header_digest { 4 } else { 0 };
        let has_data = plen > header && !set_up;
        let data_digest = self.format.data_digest && has_data;
        let agreed = if header_digest { FLAG_HDGST } else { 0 } | if data_digest { FLAG_DDGST } else { 0 };
        if flags & (FLAG_HDGST | FLAG_DDGST) != agreed {
            return refused(fatal::INVALID_HEADER, 1, "digest flags are not those agreed on");
        }
        let tail = if data_digest { 4 } else { 0 };
        if plen < header
            || plen > header + most + tail + if has_data { pdo.saturating_sub(header) } else { 0 }
        {
            return refused(fatal::INVALID_HEADER, 4, "PLEN is out of bounds for the PDU type");
        }
        if has_data && (pdo < header || pdo + tail > plen) {
            return refused(fatal::INVALID_HEADER, 3, "PDO lies outside the PDU");
        }
        if bytes.len() < plen {
            return Ok(None);
        }
        let sum = |at: usize| u32_at(bytes, at);
        if header_digest && sum(hlen) != crc32c::crc32c(&bytes[..hlen]) {
            return refused(fatal::HEADER_DIGEST, 0, "header digest does not match");
        }
        let end = plen - tail;
        self.spoilt = data_digest && sum(end) != crc32c::crc32c(&bytes[pdo..end]);
        let pdu = Self::decode(kind, flags, &bytes[..end], if has_data { pdo } else { end })?;
        self.read += plen;
        self.whole += 1;
        Ok(Some(pdu))
    }

    fn decode(kind: u8, flags: u8, bytes: &[u8], pdo: usize) -> Result<Pdu, Refused> {
        let body = &bytes[COMMON..];
        let part = || {
            let data = bytes[pdo..].to_vec();
            if u32_at(body, 8) as usize != data.len() {
                return refused(fatal::OUT_OF_RANGE, 16, "DATAL differs from the data carried");
            }
            Ok(DataPart {
                cid: u16_at(body, 0),
                ttag: u16_at(body, 2),
                offset: u32_at(body, 4),
                last: flags & FLAG_LAST != 0,
                success: flags & FLAG_SUCCESS != 0,
                data,
            })
        };
        Ok(match kind {
            ICREQ => {
                Pdu::IcReq { pfv: u16_at(body, 0), hpda: body[2], digest: body[3], max_r2t: u32_at(body, 4) }
            }
            ICRESP => {
                Pdu::IcResp { pfv: u16_at(body, 0), cpda: body[2], digest: body[3], max_h2c: u32_at(body, 4) }
            }
            H2C_TERM => Pdu::H2cTerm { status: u16_at(body, 0), info: u32_at(body, 2) },
            C2H_TERM => Pdu::C2hTerm { status: u16_at(body, 0), info: u32_at(body, 2) },
            CAPSULE_CMD => Pdu::Command { sqe: Sqe::decode(body), data: bytes[pdo..].to_vec() },
            CAPSULE_RESP => Pdu::Response(Cqe::decode(body)),
            H2C_DATA => Pdu::H2cData(part()?),
            C2H_DATA => Pdu::C2hData(part()?),
            _ => Pdu::R2t {
                cid: u16_at(body, 0),
                ttag: u16_at(body, 2),
                offset: u32_at(body, 4),
                length: u32_at(body, 8),
            },
        })
    }
}
