//! Queue entries: commands (SQE) and completions (CQE), and what rides in vendor-specific places.

use crate::BLOCK_SIZE;

/// Opcodes of the subset. I/O: NVM Command Set; admin: Base Specification; Fabrics commands share one opcode.
pub mod opcode {
    pub const FLUSH: u8 = 0x00;
    pub const WRITE: u8 = 0x01;
    pub const READ: u8 = 0x02;
    pub const COMPARE: u8 = 0x05;
    pub const WRITE_ZEROES: u8 = 0x08;
    /// Admin queue.
    pub const GET_LOG_PAGE: u8 = 0x02;
    pub const IDENTIFY: u8 = 0x06;
    pub const ABORT: u8 = 0x08;
    pub const SET_FEATURES: u8 = 0x09;
    pub const GET_FEATURES: u8 = 0x0a;
    pub const ASYNC_EVENT: u8 = 0x0c;
    pub const KEEP_ALIVE: u8 = 0x18;
    pub const FABRICS: u8 = 0x7f;
    /// FCTYPE of the Fabrics commands.
    pub const PROPERTY_SET: u8 = 0x00;
    pub const CONNECT: u8 = 0x01;
    pub const PROPERTY_GET: u8 = 0x04;
    pub const DISCONNECT: u8 = 0x08;
}

/// A submission queue entry, 64 bytes: the fields that the subset reads, by their dwords.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sqe {
    pub opcode: u8,
    pub flags: u8,
    pub cid: u16,
    pub nsid: u32,
    /// Dwords 2 and 3.
    pub cdw2: u32,
    pub cdw3: u32,
    /// Metadata pointer, dwords 4 and 5.
    pub mptr: u64,
    /// Data pointer, one SGL descriptor, dwords 6 to 9.
    pub sgl: [u8; 16],
    /// Dwords 10 to 15.
    pub cdw: [u32; 6],
}

/// PSDT 01b: an SGL data block describes the data.
const USE_SGL: u8 = 0x40;
/// SGL data block, offset subtype: the data is in the capsule.
const SGL_IN_CAPSULE: u8 = 0x01;
/// Transport SGL data block: the data moves by data PDUs.
const SGL_TRANSPORT: u8 = 0x5a;

impl Sqe {
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&[self.opcode, self.flags]);
        out.extend_from_slice(&self.cid.to_le_bytes());
        for word in [self.nsid, self.cdw2, self.cdw3] {
            out.extend_from_slice(&word.to_le_bytes());
        }
        out.extend_from_slice(&self.mptr.to_le_bytes());
        out.extend_from_slice(&self.sgl);
        for word in self.cdw {
            out.extend_from_slice(&word.to_le_bytes());
        }
    }

    /// `bytes` holds 64 bytes at least.
    pub fn decode(bytes: &[u8]) -> Self {
        let word = |at: usize| u32::from_le_bytes(bytes[4 * at..4 * at + 4].try_into().unwrap());
        let mut sqe = Sqe {
            opcode: bytes[0],
            flags: bytes[1],
            cid: u16::from_le_bytes([bytes[2], bytes[3]]),
            nsid: word(1),
            cdw2: word(2),
            cdw3: word(3),
            mptr: u64::from(word(4)) | u64::from(word(5)) << 32,
            ..Sqe::default()
        };
        sqe.sgl.copy_from_slice(&bytes[24..40]);
        for (at, into) in sqe.cdw.iter_mut().enumerate() {
            *into = word(10 + at);
        }
        sqe
    }

    /// Points the data pointer at `length` bytes, in the capsule or moved by data PDUs.
    pub fn with_data(mut self, length: usize, in_capsule: bool) -> Self {
        self.flags |= USE_SGL;
        self.sgl[8..12].copy_from_slice(&(length as u32).to_le_bytes());
        self.sgl[15] = if in_capsule { SGL_IN_CAPSULE } else { SGL_TRANSPORT };
        self
    }

    /// Length that the SGL descriptor states, bytes; and whether it is one of the subset.
    pub fn sgl_length(&self) -> Option<usize> {
        let length = u32::from_le_bytes(self.sgl[8..12].try_into().unwrap()) as usize;
        matches!(self.sgl[15], SGL_IN_CAPSULE | SGL_TRANSPORT | 0).then_some(length)
    }

    /// First logical block of a read or write.
    pub fn slba(&self) -> u64 {
        u64::from(self.cdw[0]) | u64::from(self.cdw[1]) << 32
    }

    /// Bytes that a read or write moves, by its number of logical blocks.
    pub fn length(&self) -> usize {
        ((self.cdw[2] & 0xffff) as usize + 1) * BLOCK_SIZE
    }

    /// A read or write of `blocks` logical blocks (1 to 65536) from `slba`.
    pub fn transfer(opcode: u8, nsid: u32, slba: u64, blocks: u32) -> Self {
        let cdw = [slba as u32, (slba >> 32) as u32, blocks.saturating_sub(1) & 0xffff, 0, 0, 0];
        Sqe { opcode, nsid, cdw, ..Sqe::default() }
    }

    /// Abort of a command on another queue of the same association.
    pub fn abort(queue: u16, cid: u16) -> Self {
        let cdw = [u32::from(queue) | u32::from(cid) << 16, 0, 0, 0, 0, 0];
        Sqe { opcode: opcode::ABORT, cdw, ..Sqe::default() }
    }

    /// Queue and command that an Abort names.
    pub fn aborts(&self) -> (u16, u16) {
        (self.cdw[0] as u16, (self.cdw[0] >> 16) as u16)
    }

    /// Fabrics Connect for a queue of `size` entries; its data is [`connect_data`].
    pub fn connect(queue: u16, size: u16, keep_alive_ms: u32) -> Self {
        let cdw = [u32::from(queue) << 16, u32::from(size.saturating_sub(1)), keep_alive_ms, 0, 0, 0];
        // FCTYPE is byte 4, where other commands have the namespace.
        Sqe { opcode: opcode::FABRICS, nsid: u32::from(opcode::CONNECT), cdw, ..Sqe::default() }
    }

    /// Queue id and entries that a Connect asks for.
    pub fn connects(&self) -> (u16, u32) {
        ((self.cdw[0] >> 16) as u16, (self.cdw[1] & 0xffff) + 1)
    }
}

/// Length of the Connect data, bytes.
pub const CONNECT_LEN: usize = 1024;
/// Controller id of a Connect to a controller still to be made.
pub const ANY_CONTROLLER: u16 = 0xffff;

/// Connect data: host identity, controller id, names. Names longer than 223 bytes are cut.
pub fn connect_data(host_id: [u8; 16], controller: u16, subsystem: &str, host: &str) -> Vec<u8> {
    let mut data = vec![0; CONNECT_LEN];
    data[..16].copy_from_slice(&host_id);
    data[16..18].copy_from_slice(&controller.to_le_bytes());
    let mut name = |at: usize, name: &str| {
        let bytes = &name.as_bytes()[..name.len().min(223)];
        data[at..at + bytes.len()].copy_from_slice(bytes);
    };
    name(256, subsystem);
    name(512, host);
    data
}

/// What Connect data says: controller id, subsystem and host name. None where it is short or a name has no end.
pub fn connect_fields(data: &[u8]) -> Option<(u16, String, String)> {
    if data.len() != CONNECT_LEN {
        return None;
    }
    let name = |at: usize| {
        let field = &data[at..at + 256];
        let end = field.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&field[..end]).ok().map(str::to_string)
    };
    Some((u16::from_le_bytes([data[16], data[17]]), name(256)?, name(512)?))
}

/// A completion queue entry, 16 bytes. `status` is the 15-bit status field without the phase bit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cqe {
    pub dw0: u32,
    pub dw1: u32,
    pub sq_head: u16,
    pub sq_id: u16,
    pub cid: u16,
    pub status: u16,
}

impl Cqe {
    pub fn encode(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(&self.dw0.to_le_bytes());
        out.extend_from_slice(&self.dw1.to_le_bytes());
        for half in [self.sq_head, self.sq_id, self.cid, self.status << 1] {
            out.extend_from_slice(&half.to_le_bytes());
        }
    }

    /// `bytes` holds 16 bytes at least.
    pub fn decode(bytes: &[u8]) -> Self {
        let half = |at: usize| u16::from_le_bytes([bytes[at], bytes[at + 1]]);
        let word = |at: usize| u32::from(half(at)) | u32::from(half(at + 2)) << 16;
        Cqe {
            dw0: word(0),
            dw1: word(4),
            sq_head: half(8),
            sq_id: half(10),
            cid: half(12),
            status: half(14) >> 1,
        }
    }
}

/// What the users' deployments say with a command beyond the standard. Rides in dwords that Read, Write and
/// Flush reserve, or use only with protection information, which the subset's one format has not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// Band, counted from 1; 0 where the host says none.
    pub band: u8,
    /// Size in units; 0 where the host says none.
    pub units: u8,
    /// Initiators that the volume's transactions come through; 0 where the host says none.
    pub initiators: u16,
    /// Number of the shot, from 0.
    pub shot: u8,
    /// Tag of the host that the mark is of, 24 bits ([`host_tag`]): two hosts may well use the same marks. Gateway to
    /// target only.
    pub host: u32,
    /// Mark against repeats, the same in every shot of a transaction; 0 where the host gives none.
    pub mark: u64,
    /// Key that ordered bands take turns by; 0: the extent.
    pub key: u32,
    /// How long the caller waits, milliseconds; 0: the band's outer limit.
    pub budget_ms: u32,
}

impl Marks {
    /// Dword 2: band, units, initiators. Dword 3: shot, then the host's tag. MPTR: mark. Dword 14: key. Dword 15: budget.
    pub fn put(&self, mut sqe: Sqe) -> Sqe {
        sqe.cdw2 = u32::from(self.band) | u32::from(self.units) << 8 | u32::from(self.initiators) << 16;
        sqe.cdw3 = u32::from(self.shot) | self.host << 8;
        sqe.mptr = self.mark;
        sqe.cdw[4] = self.key;
        sqe.cdw[5] = self.budget_ms;
        sqe
    }

    pub fn of(sqe: &Sqe) -> Self {
        Marks {
            band: sqe.cdw2 as u8,
            units: (sqe.cdw2 >> 8) as u8,
            initiators: (sqe.cdw2 >> 16) as u16,
            shot: sqe.cdw3 as u8,
            host: sqe.cdw3 >> 8,
            mark: sqe.mptr,
            key: sqe.cdw[4],
            budget_ms: sqe.cdw[5],
        }
    }
}

/// What an answer tells beyond the standard, in the two dwords that Read, Write and Flush leave reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Told {
    /// Recent service time without waiting, seconds; carried in tenths of a millisecond.
    pub latency: f64,
    /// 1 + the volume's use in the last finished period, percent of its nominal rate; 0: not told.
    pub used: u16,
    /// Units this node served the volume through other initiators since its last answer to this one.
    pub others: u32,
}

impl Told {
    pub fn put(&self, cqe: &mut Cqe) {
        let tenths = (self.latency * 1e4).round().clamp(0.0, 65535.0) as u32;
        cqe.dw0 = tenths | u32::from(self.used) << 16;
        cqe.dw1 = self.others;
    }

    pub fn of(cqe: &Cqe) -> Self {
        Told { latency: f64::from(cqe.dw0 & 0xffff) / 1e4, used: (cqe.dw0 >> 16) as u16, others: cqe.dw1 }
    }
}

/// Tag of a host by its name: 24 bits of its CRC32C. What a tag is for forgets within seconds, so two of a handful of
/// hosts that share one would have to use the same mark at the same time.
pub fn host_tag(name: &str) -> u32 {
    crc32c::crc32c(name.as_bytes()) >> 8
}
