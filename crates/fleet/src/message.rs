//! Format of the datagrams between members: at most 1,200 bytes, one version. Decoding never panics, whatever the
//! bytes.
//!
//! | bytes | content |
//! | --- | --- |
//! | 2, 1, 1 | `qf`, version, kind |
//! | 8 | hash of the fleet's name |
//! | 2, 8, 4 | sender, its incarnation, its refutation number |
//! | 4 | sequence number of the datagram at its sender |
//! | 4, 2, 1 | by kind: id of the liveness check, a member, whether a reply is wanted |
//! | 1, 17 each | count of member updates, the updates |
//! | 1, 13 each | count of duty results, the results |
//! | 2, that many | length of a signal, the signal: at most 256 bytes ([`crate::signal`]) |
//! | 8 | checksum: xxh3 of all bytes before it, seeded with the fleet hash |
//!
//! All numbers are little endian. The checksum detects damage and datagrams of another fleet; it is no protection
//! against forgery.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::fields::{Fields, UnexpectedEnd};
use crate::{DutyId, MemberId, Status};

/// Maximum length of a datagram in bytes. It fits an Ethernet frame with room for the headers of tunnels.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Version of the datagram format.
pub const VERSION: u8 = 2;
/// First bytes of each datagram.
const MAGIC: [u8; 2] = *b"qf";
/// Bytes before the count of member updates.
const HEADER_BYTES: usize = 37;
const UPDATE_BYTES: usize = 17;
const DUTY_RESULT_BYTES: usize = 13;
const CHECKSUM_BYTES: usize = 8;
/// Maximum bytes of a signal with its length field.
const MAX_SIGNAL_FIELD_BYTES: usize = 2 + crate::signal::MAX_SIGNAL_BYTES;
/// Maximum number of member updates in a ping or its answer.
pub const MAX_UPDATES: usize = 24;
/// Maximum number of member updates in a page of the whole state.
pub const MAX_PAGE_UPDATES: usize = 60;
/// Maximum number of duty results in a datagram.
pub const MAX_DUTY_RESULTS: usize = 40;
/// Highest age of a duty result that the format can express, in units of 10 ms; older results are sent with this age.
pub const MAX_AGE: u16 = 0x7fff;
/// Stands for no member in a field that holds a member.
pub const NOBODY: MemberId = MemberId(u16::MAX);

// The longest datagram of each kind fits.
const _: () = assert!(
    HEADER_BYTES
        + 1
        + MAX_UPDATES * UPDATE_BYTES
        + 1
        + MAX_DUTY_RESULTS * DUTY_RESULT_BYTES
        + 2
        + CHECKSUM_BYTES
        <= MAX_DATAGRAM_BYTES
);
const _: () = assert!(
    HEADER_BYTES + 1 + MAX_PAGE_UPDATES * UPDATE_BYTES + 1 + 2 + CHECKSUM_BYTES <= MAX_DATAGRAM_BYTES
);
const _: () = assert!(HEADER_BYTES + 1 + 1 + MAX_SIGNAL_FIELD_BYTES + CHECKSUM_BYTES <= MAX_DATAGRAM_BYTES);

/// Hash of a fleet's name, by which datagrams name their fleet.
pub fn fleet_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Kind of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A liveness check. The receiver sends its answer to `member` too, unless that is [`NOBODY`].
    Ping,
    /// Answer to a ping: the process of `member` is up.
    Ack,
    /// Asks the receiver to ping `member` on behalf of the sender.
    PingRequest,
    /// Answer to a ping request: `member` has not answered yet.
    Nack,
    /// A page of the sender's membership table. With `wants_reply` the receiver sends a page of its own table back.
    StatePage,
    /// Carries a signal and nothing else.
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

/// What a datagram reports about a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    pub member: MemberId,
    /// Number of the member's process; grows with every start under the same member number.
    pub incarnation: u64,
    /// Counter that the member raises to refute a suspicion of itself (the incarnation number of the SWIM paper).
    pub refutation: u32,
    pub status: Status,
    /// Member that suspects it; [`NOBODY`] if there is none.
    pub suspected_by: MemberId,
}

/// Result of one run of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DutyResult {
    pub duty: DutyId,
    /// Number of the run; grows by one with each run, whichever member runs the duty.
    pub round: u32,
    /// Member that ran the duty, and its weight.
    pub done_by: MemberId,
    pub weight: u8,
    /// Time since the run, in units of 10 ms; [`MAX_AGE`] stands for that age or more.
    pub age: u16,
    /// Whether the result was good, for example whether a probed node is healthy.
    pub good: bool,
}

/// One datagram, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub kind: MessageKind,
    pub sender: MemberId,
    /// Incarnation and refutation number of the sender.
    pub incarnation: u64,
    pub refutation: u32,
    /// Sequence number of the datagram among those of the sender's incarnation.
    pub sequence: u32,
    /// Id of the liveness check that the datagram belongs to; 0 if it belongs to none.
    pub check_id: u32,
    /// Member that the datagram is about, by its kind; [`NOBODY`] if there is none.
    pub member: MemberId,
    /// Whether a page of the receiver's table is wanted in return.
    pub wants_reply: bool,
    pub updates: Vec<MemberUpdate>,
    pub duty_results: Vec<DutyResult>,
    pub signal: Vec<u8>,
}

/// Why bytes are not a message of this fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// Too short, too long, damaged or noise.
    Malformed,
    /// Of another version of the format.
    WrongVersion,
    /// Of another fleet.
    OtherFleet,
}

impl From<UnexpectedEnd> for DecodeError {
    fn from(_: UnexpectedEnd) -> DecodeError {
        DecodeError::Malformed
    }
}

impl Fields<'_> {
    fn member(&mut self) -> Result<MemberId, DecodeError> {
        Ok(MemberId(self.u16()?))
    }

    fn status(&mut self) -> Result<Status, DecodeError> {
        let statuses = [Status::Alive, Status::Suspect, Status::Dead, Status::Left];
        statuses.get(usize::from(self.u8()?)).copied().ok_or(DecodeError::Malformed)
    }
}

impl Message {
    /// Encodes this message as a datagram of the fleet with this hash.
    pub fn encode(&self, fleet: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        out.extend(MAGIC);
        out.push(VERSION);
        out.push(self.kind as u8);
        out.extend(fleet.to_le_bytes());
        out.extend(self.sender.0.to_le_bytes());
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.refutation.to_le_bytes());
        out.extend(self.sequence.to_le_bytes());
        out.extend(self.check_id.to_le_bytes());
        out.extend(self.member.0.to_le_bytes());
        out.push(u8::from(self.wants_reply));
        out.push(self.updates.len() as u8);
        for update in &self.updates {
            out.extend(update.member.0.to_le_bytes());
            out.extend(update.incarnation.to_le_bytes());
            out.extend(update.refutation.to_le_bytes());
            out.push(update.status as u8);
            out.extend(update.suspected_by.0.to_le_bytes());
        }
        out.push(self.duty_results.len() as u8);
        for result in &self.duty_results {
            out.extend(result.duty.0.to_le_bytes());
            out.extend(result.round.to_le_bytes());
            out.extend(result.done_by.0.to_le_bytes());
            out.push(result.weight);
            out.extend((result.age.min(MAX_AGE) << 1 | u16::from(result.good)).to_le_bytes());
        }
        out.extend((self.signal.len() as u16).to_le_bytes());
        out.extend(&self.signal);
        append_checksum(fleet, &mut out);
        out
    }

    /// Decodes a datagram of the fleet with this hash.
    pub fn decode(fleet: u64, bytes: &[u8]) -> Result<Message, DecodeError> {
        Self::decode_version(fleet, bytes, false)
    }

    /// Like [`Message::decode`]. With `accept_any_version` the version is not checked, for members whose version
    /// safeguard is disabled.
    pub fn decode_version(
        fleet: u64, bytes: &[u8], accept_any_version: bool,
    ) -> Result<Message, DecodeError> {
        if bytes.len() > MAX_DATAGRAM_BYTES || bytes.len() < HEADER_BYTES + 4 + CHECKSUM_BYTES {
            return Err(DecodeError::Malformed);
        }
        let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        let mut fields = Fields(body);
        if fields.take()? != MAGIC {
            return Err(DecodeError::Malformed);
        }
        let (version, kind, message_fleet) = (fields.u8()?, fields.u8()?, fields.u64()?);
        // The fleet and the version are reliable only once the checksum is correct.
        if xxh3_64_with_seed(body, message_fleet).to_le_bytes() != checksum {
            return Err(DecodeError::Malformed);
        }
        if message_fleet != fleet {
            return Err(DecodeError::OtherFleet);
        }
        if version != VERSION && !accept_any_version {
            return Err(DecodeError::WrongVersion);
        }
        let kind = *KINDS.get(usize::from(kind)).ok_or(DecodeError::Malformed)?;
        let (sender, incarnation, refutation, sequence) =
            (fields.member()?, fields.u64()?, fields.u32()?, fields.u32()?);
        let (check_id, member, wants_reply) = (fields.u32()?, fields.member()?, fields.u8()? != 0);
        let mut updates = Vec::new();
        for _ in 0..fields.u8()? {
            updates.push(MemberUpdate {
                member: fields.member()?,
                incarnation: fields.u64()?,
                refutation: fields.u32()?,
                status: fields.status()?,
                suspected_by: fields.member()?,
            });
        }
        let mut duty_results = Vec::new();
        for _ in 0..fields.u8()? {
            let (duty, round, done_by) = (DutyId(fields.u32()?), fields.u32()?, fields.member()?);
            let (weight, age_and_good) = (fields.u8()?, fields.u16()?);
            duty_results.push(DutyResult {
                duty,
                round,
                done_by,
                weight,
                age: age_and_good >> 1,
                good: age_and_good & 1 != 0,
            });
        }
        let length = usize::from(fields.u16()?);
        let signal = fields.0.to_vec();
        if signal.len() != length || length > crate::signal::MAX_SIGNAL_BYTES {
            return Err(DecodeError::Malformed);
        }
        Ok(Message {
            kind,
            sender,
            incarnation,
            refutation,
            sequence,
            check_id,
            member,
            wants_reply,
            updates,
            duty_results,
            signal,
        })
    }
}

/// Appends the checksum to the other bytes of a datagram.
pub fn append_checksum(fleet: u64, out: &mut Vec<u8>) {
    out.extend(xxh3_64_with_seed(out, fleet).to_le_bytes());
}
