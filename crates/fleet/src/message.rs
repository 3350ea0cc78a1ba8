//! The datagrams: 1,200 bytes at most, one version, decoded without panic for any bytes.
//!
//! | bytes | what |
//! | --- | --- |
//! | 2, 1, 1 | `qf`, version, kind |
//! | 8 | the fleet: hash of its name |
//! | 2, 8, 4 | sender, its incarnation, its refutation number |
//! | 4 | number of the datagram among the sender's |
//! | 4, 2, 1 | the kind's own: number of the check, a member, a flag |
//! | 1, 17 each | updates of members |
//! | 1, 13 each | duty_results of duties |
//! | 2, that many | a signal, 256 bytes at most ([`crate::signal`]) |
//! | 8 | check: xxh3 of all before, seeded by the fleet; against damage and mix-ups, not against forgery |
//!
//! All numbers little endian.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fields::{Fields, Short};
use crate::{DutyId, MemberId, Status};

/// Longest datagram, bytes: fits an Ethernet frame with room for tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
pub const VERSION: u8 = 2;
const MAGIC: [u8; 2] = *b"qf";
const HEAD: usize = 37;
const NEWS: usize = 17;
const FINDING: usize = 13;
const CHECK: usize = 8;
/// Bytes of a signal, with its length.
const SIGNAL_WITH_LENGTH_BYTES: usize = 2 + crate::signal::MAX_SIGNAL_BYTES;
/// Most updates in a check or its answer, and in a page of the whole state.
pub const MAX_UPDATES: usize = 24;
pub const MAX_PAGE_UPDATES: usize = 60;
pub const MAX_DUTY_RESULTS: usize = 40;
/// Age of a finding from which on it is not told any closer, units of 10 ms.
pub const MAX_AGE: u16 = 0x7fff;
/// No member.
pub const NOBODY: MemberId = MemberId(u16::MAX);

// The longest of each kind fits.
const _: () =
    assert!(HEAD + 1 + MAX_UPDATES * NEWS + 1 + MAX_DUTY_RESULTS * FINDING + 2 + CHECK <= MAX_DATAGRAM_BYTES);
const _: () = assert!(HEAD + 1 + MAX_PAGE_UPDATES * NEWS + 1 + 2 + CHECK <= MAX_DATAGRAM_BYTES);
const _: () = assert!(HEAD + 1 + 1 + SIGNAL_WITH_LENGTH_BYTES + CHECK <= MAX_DATAGRAM_BYTES);

/// A fleet's name as datagrams carry it.
pub fn fleet_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A check; its answer goes to `member` as well where that is somebody.
    Ping,
    Ack,
    /// Check this member for me.
    PingRequest,
    /// I was asked to check, and there is no answer yet.
    Nack,
    /// A part of the sender's whole state from `member` on; with the flag, a part of yours is wanted.
    StatePage,
    /// Carries a signal, and nothing else.
    Signal,
}

const KINDS: [MessageKind; 6] = [
    MessageKind::Ping,
    MessageKind::Ack,
    MessageKind::PingRequest,
    MessageKind::Nack,
    MessageKind::StatePage,
    MessageKind::Signal,
];

/// What is said of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    pub member: MemberId,
    /// Grows with every start of the member's process.
    pub incarnation: u64,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
    pub status: Status,
    /// Who suspects it.
    pub by: MemberId,
}

/// What a duty found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyResult {
    pub duty: DutyId,
    /// Grows with each time that it is done, whoever does it.
    pub round: u32,
    pub by: MemberId,
    pub weight: u8,
    /// Since it was done, in units of 10 ms; [`MAX_AGE`]: that or more.
    pub age: u16,
    pub good: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: MessageKind,
    pub from: MemberId,
    pub incarnation: u64,
    pub refutation: u32,
    pub number: u32,
    pub check: u32,
    pub member: MemberId,
    pub flag: bool,
    pub updates: Vec<MemberUpdate>,
    pub duty_results: Vec<DutyResult>,
    pub signal: Vec<u8>,
}

/// Why bytes are no message of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, damaged, or noise.
    Malformed,
    WrongVersion,
    OtherFleet,
}

impl From<Short> for DecodeError {
    fn from(_: Short) -> DecodeError {
        DecodeError::Malformed
    }
}

impl Fields<'_> {
    fn member(&mut self) -> Result<MemberId, DecodeError> {
        Ok(MemberId(self.u16()?))
    }

    fn status(&mut self) -> Result<Status, DecodeError> {
        let all = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
        all.get(usize::from(self.u8()?)).copied().ok_or(DecodeError::Malformed)
    }
}

impl Message {
    /// Bytes of this message in a fleet.
    pub fn encode(&self, fleet: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        out.extend(MAGIC);
        out.push(VERSION);
        out.push(self.kind as u8);
        out.extend(fleet.to_le_bytes());
        out.extend(self.from.0.to_le_bytes());
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.refutation.to_le_bytes());
        out.extend(self.number.to_le_bytes());
        out.extend(self.check.to_le_bytes());
        out.extend(self.member.0.to_le_bytes());
        out.push(u8::from(self.flag));
        out.push(self.updates.len() as u8);
        for updates in &self.updates {
            out.extend(updates.member.0.to_le_bytes());
            out.extend(updates.incarnation.to_le_bytes());
            out.extend(updates.refutation.to_le_bytes());
            out.push(updates.status as u8);
            out.extend(updates.by.0.to_le_bytes());
        }
        out.push(self.duty_results.len() as u8);
        for finding in &self.duty_results {
            out.extend(finding.duty.0.to_le_bytes());
            out.extend(finding.round.to_le_bytes());
            out.extend(finding.by.0.to_le_bytes());
            out.push(finding.weight);
            out.extend((finding.age.min(MAX_AGE) << 1 | u16::from(finding.good)).to_le_bytes());
        }
        out.extend((self.signal.len() as u16).to_le_bytes());
        out.extend(&self.signal);
        append_checksum(fleet, &mut out);
        out
    }

    /// The message that these bytes are, in this fleet.
    pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, DecodeError> {
        Self::decode_any(fleet, bytes, false)
    }

    /// As [`Message::decode`]; with `any` of whatever version, as a member without that safeguard would.
    pub fn decode_any(fleet: u64, bytes: &[u8], any: bool) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEAD + 4 + CHECK {
            return Err(DecodeError::Malformed);
        }
        let (body, check) = bytes.split_at(bytes.len() - CHECK);
        let mut at = Fields(body);
        if at.take()? != MAGIC {
            return Err(DecodeError::Malformed);
        }
        let (version, kind, of) = (at.u8()?, at.u8()?, at.u64()?);
        // Whose it is and which form it has is only known of bytes that are whole.
        if xxh3_64_with_seed(body, of).to_le_bytes() != check {
            return Err(DecodeError::Malformed);
        }
        if of != fleet {
            return Err(DecodeError::OtherFleet);
        }
        if version != VERSION && !any {
            return Err(DecodeError::WrongVersion);
        }
        let kind = *KINDS.get(usize::from(kind)).ok_or(DecodeError::Malformed)?;
        let (from, incarnation, refutation, number) = (at.member()?, at.u64()?, at.u32()?, at.u32()?);
        let (check, member, flag) = (at.u32()?, at.member()?, at.u8()? != 0);
        let mut updates = Vec::new();
        for _ in 0..at.u8()? {
            updates.push(MemberUpdate {
                member: at.member()?,
                incarnation: at.u64()?,
                refutation: at.u32()?,
                status: at.status()?,
                by: at.member()?,
            });
        }
        let mut duty_results = Vec::new();
        for _ in 0..at.u8()? {
            let (duty, round, by) = (DutyId(at.u32()?), at.u32()?, at.member()?);
            let (weight, last) = (at.u8()?, at.u16()?);
            duty_results.push(DutyResult { duty, round, by, weight, age: last >> 1, good: last & 1 != 0 });
        }
        let length = usize::from(at.u16()?);
        let signal = at.0.to_vec();
        if signal.len() != length || length > crate::signal::MAX_SIGNAL_BYTES {
            return Err(DecodeError::Malformed);
        }
        Ok(Message {
            kind,
            from,
            incarnation,
            refutation,
            number,
            check,
            member,
            flag,
            updates,
            duty_results,
            signal,
        })
    }
}

/// Puts the check behind a datagram's other bytes.
pub fn append_checksum(fleet: u64, out: &mut Vec<u8>) {
    out.extend(xxh3_64_with_seed(out, fleet).to_le_bytes());
}
