//! The host's end of one queue's connection: a state machine that takes bytes and gives events.
//!
//! A command id names a slot of the queue. It stays taken until its command's completion has come, also when
//! nobody waits for that any more ([`Host::forget`]): a late answer must not be read as another command's.

use crate::command::{connect_data, opcode, Cqe, Sqe, CONNECT_LEN};
use crate::pdu::{fatal, refused, DataPart, Decoder, Format, Pdu, Refused, MAX_ALIGN};
use crate::{status, IN_CAPSULE, MAX_DATA, MAX_H2C};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// ICReq is out.
    Initializing,
    /// The Connect command is out.
    Connecting,
    Ready,
    /// A term request, a refusal or a protocol error ended it.
    Closed,
}

#[derive(Debug)]
pub enum Event {
    /// The queue can take commands; the controller's id is for the association's other queues.
    Ready { controller: u16 },
    /// The controller refused the Connect with this status.
    Refused { status: u16 },
    /// A command that the caller waits for is complete; `data` is what a read brought.
    Done { cid: u16, cqe: Cqe, data: Vec<u8> },
    /// The completion of a forgotten command came, and was dropped.
    Late { cid: u16 },
    /// The controller ended the connection.
    Terminated { status: u16, info: u32 },
}

#[derive(Debug, Default)]
enum Slot {
    #[default]
    Free,
    Taken {
        /// Nobody waits for it; its completion only frees the slot.
        forgotten: bool,
        /// Write data that R2T has yet to ask for.
        outgoing: Vec<u8>,
        incoming: Vec<u8>,
        expected: usize,
        /// Data came whose digest does not match.
        spoilt: bool,
    },
}

/// What a host offers and insists on when it connects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Offer {
    pub format: Format,
    /// A controller that does not take the digests offered is refused.
    pub insist: bool,
    /// Keep alive time-out told with the admin queue's Connect, milliseconds; 0: none.
    pub keep_alive_ms: u32,
}

/// One queue at one controller. `out` holds bytes for the socket that the machine itself produced.
#[derive(Debug)]
pub struct Host {
    state: State,
    decoder: Decoder,
    slots: Vec<Slot>,
    next: usize,
    taken: usize,
    forgotten: usize,
    max_h2c: usize,
    offer: Offer,
    format: Format,
    /// Where the controller's queue is, as its last completion told (SQHD).
    head: u16,
    pub out: Vec<u8>,
    connect: Option<(Sqe, Vec<u8>)>,
}

impl Host {
    /// Starts connecting queue `queue` with `size` entries; `controller` is the id that the admin queue was
    /// given, or [`crate::command::ANY_CONTROLLER`] on the admin queue itself. Nothing is offered.
    pub fn start(queue: u16, size: u16, controller: u16, subsystem: &str, host: &str) -> Self {
        Self::start_with(queue, size, controller, subsystem, host, Offer::default())
    }

    /// As [`Host::start`], with an offer.
    pub fn start_with(
        queue: u16, size: u16, controller: u16, subsystem: &str, host: &str, offer: Offer,
    ) -> Self {
        let mut out = Vec::new();
        let digest = offer.format.digest();
        Pdu::IcReq { pfv: 0, hpda: offer.format.align, digest, max_r2t: 0 }.encode(&mut out);
        let mut id = [0u8; 16];
        for (at, byte) in host.bytes().enumerate() {
            id[at % 16] = id[at % 16].rotate_left(3) ^ byte;
        }
        let keep_alive = if queue == 0 { offer.keep_alive_ms } else { 0 };
        let connect = Sqe::connect(queue, size, keep_alive).with_data(CONNECT_LEN, true);
        Host {
            state: State::Initializing,
            decoder: Decoder::default(),
            slots: (0..size.max(2)).map(|_| Slot::Free).collect(),
            next: 0,
            taken: 0,
            forgotten: 0,
            max_h2c: MAX_H2C,
            offer,
            format: Format::default(),
            head: 0,
            out,
            connect: Some((connect, connect_data(id, controller, subsystem, host))),
        }
    }

    /// Entry that the controller's queue has come to, as its last completion told.
    pub fn head(&self) -> u16 {
        self.head
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Commands out whose completion somebody waits for.
    pub fn live(&self) -> usize {
        self.taken - self.forgotten
    }

    /// Slots held by commands that nobody waits for any more.
    pub fn forgotten(&self) -> usize {
        self.forgotten
    }

    pub fn has_room(&self) -> bool {
        self.state == State::Ready && self.taken + 1 < self.slots.len()
    }

    /// Whole PDUs taken so far.
    pub fn whole(&self) -> u64 {
        self.decoder.whole()
    }

    /// Bytes of an unfinished PDU from the controller.
    pub fn pending(&self) -> usize {
        self.decoder.pending()
    }

    /// Takes a slot for a command and encodes it; none where no slot is free or the queue is not ready. `data`
    /// goes with a write: in the capsule if it fits, when asked for otherwise. `expected` is what a read
    /// brings, bytes. Until the bytes go out, [`Host::withdraw`] takes the command back as never sent.
    pub fn submit(&mut self, sqe: Sqe, data: Vec<u8>, expected: usize) -> Option<(u16, Vec<u8>)> {
        if !self.has_room() || data.len() > MAX_DATA || expected > MAX_DATA {
            return None;
        }
        let size = self.slots.len();
        let at = (0..size)
            .map(|step| (self.next + step) % size)
            .find(|at| matches!(self.slots[*at], Slot::Free))?;
        self.next = (at + 1) % size;
        self.taken += 1;
        let mut bytes = Vec::with_capacity(72 + data.len().min(IN_CAPSULE));
        let mut sqe = Sqe { cid: at as u16, ..sqe };
        let (inside, outside) =
            if data.len() <= IN_CAPSULE { (data, Vec::new()) } else { (Vec::new(), data) };
        if expected > 0 || !outside.is_empty() {
            sqe = sqe.with_data(expected.max(outside.len()), false);
        } else if !inside.is_empty() {
            sqe = sqe.with_data(inside.len(), true);
        }
        Pdu::Command { sqe, data: inside }.encode_in(self.format, &mut bytes);
        let incoming = Vec::new();
        self.slots[at] =
            Slot::Taken { forgotten: false, outgoing: outside, incoming, expected, spoilt: false };
        Some((at as u16, bytes))
    }

    /// Frees the slot of a command none of whose bytes left.
    pub fn withdraw(&mut self, cid: u16) {
        if let Some(Slot::Taken { forgotten, .. }) = self.slots.get(cid as usize) {
            self.forgotten -= usize::from(*forgotten);
            self.slots[cid as usize] = Slot::Free;
            self.taken -= 1;
        }
    }

    /// Nobody waits for this command any more; its slot stays taken until the controller answers.
    pub fn forget(&mut self, cid: u16) {
        if let Some(Slot::Taken { forgotten, .. }) = self.slots.get_mut(cid as usize) {
            self.forgotten += usize::from(!*forgotten);
            *forgotten = true;
        }
    }

    /// Takes bytes from the socket. After an error the connection is of no use; `out` ends with the term
    /// request that says why.
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), Refused> {
        if self.state == State::Closed {
            return Ok(());
        }
        self.decoder.feed(bytes);
        let done = self.take_all(events);
        if let Err(why) = &done {
            self.shift(State::Closed);
            Pdu::H2cTerm { status: why.status, info: why.info }.encode(&mut self.out);
        }
        done
    }

    fn take_all(&mut self, events: &mut Vec<Event>) -> Result<(), Refused> {
        while let Some(pdu) = self.decoder.next_pdu()? {
            self.take(pdu, events)?;
        }
        Ok(())
    }

    fn shift(&mut self, to: State) {
        self.state = to;
    }

    fn take(&mut self, pdu: Pdu, events: &mut Vec<Event>) -> Result<(), Refused> {
        match (self.state, pdu) {
            (_, Pdu::C2hTerm { status, info }) => {
                self.shift(State::Closed);
                events.push(Event::Terminated { status, info });
            }
            (State::Initializing, Pdu::IcResp { pfv, cpda, digest, max_h2c }) => {
                let offered = self.offer.format.digest();
                if pfv != 0 || digest & !offered != 0 || max_h2c < 4096 || cpda > MAX_ALIGN {
                    return refused(fatal::INVALID_HEADER, 8, "ICResp asks for what was not offered");
                }
                if self.offer.insist && digest != offered {
                    return refused(
                        fatal::UNSUPPORTED,
                        11,
                        "the controller does not take the digests asked for",
                    );
                }
                self.max_h2c = (max_h2c as usize).min(MAX_DATA);
                self.format = Format::of(digest, cpda);
                self.decoder.agree(self.format);
                if let Some((sqe, data)) = self.connect.take() {
                    Pdu::Command { sqe, data }.encode_in(self.format, &mut self.out);
                }
                self.shift(State::Connecting);
            }
            (State::Connecting, Pdu::Response(cqe)) => {
                if cqe.status != status::SUCCESS {
                    self.shift(State::Closed);
                    events.push(Event::Refused { status: cqe.status });
                } else {
                    self.shift(State::Ready);
                    events.push(Event::Ready { controller: cqe.dw0 as u16 });
                }
            }
            (State::Ready, Pdu::Response(cqe)) => self.complete(cqe, events)?,
            (State::Ready, Pdu::C2hData(part)) => self.data(part, events)?,
            (State::Ready, Pdu::R2t { cid, ttag, offset, length }) => {
                self.ready(cid, ttag, offset, length)?
            }
            _ => return refused(fatal::SEQUENCE, 0, "PDU does not belong in this state of the connection"),
        }
        Ok(())
    }

    fn complete(&mut self, cqe: Cqe, events: &mut Vec<Event>) -> Result<(), Refused> {
        let Some(slot) = self.slots.get_mut(cqe.cid as usize) else {
            return refused(fatal::OUT_OF_RANGE, 20, "completion names a command id beyond the queue");
        };
        match std::mem::take(slot) {
            Slot::Free => refused(fatal::SEQUENCE, 20, "completion for a command that is not out"),
            Slot::Taken { forgotten, incoming, expected, spoilt, .. } => {
                self.taken -= 1;
                self.forgotten -= usize::from(forgotten);
                self.head = cqe.sq_head;
                if forgotten {
                    events.push(Event::Late { cid: cqe.cid });
                } else if spoilt {
                    // The command may have run; what it brought is of no use.
                    let cqe = Cqe { status: status::TRANSPORT_ERROR, ..cqe };
                    events.push(Event::Done { cid: cqe.cid, cqe, data: Vec::new() });
                } else if cqe.status == 0 && incoming.len() != expected {
                    return refused(fatal::SEQUENCE, 0, "a read completed without all its data");
                } else {
                    events.push(Event::Done { cid: cqe.cid, cqe, data: incoming });
                }
                Ok(())
            }
        }
    }

    fn data(&mut self, part: DataPart, events: &mut Vec<Event>) -> Result<(), Refused> {
        let bad = self.decoder.spoilt();
        let Some(Slot::Taken { incoming, expected, spoilt, .. }) = self.slots.get_mut(part.cid as usize)
        else {
            return refused(fatal::SEQUENCE, 8, "data for a command that is not out");
        };
        if part.offset as usize != incoming.len() || incoming.len() + part.data.len() > *expected {
            return refused(
                fatal::OUT_OF_RANGE,
                12,
                "data outside what the command asked for, or out of order",
            );
        }
        incoming.extend_from_slice(&part.data);
        *spoilt |= bad;
        if part.success {
            if !part.last {
                return refused(fatal::INVALID_HEADER, 1, "success without the last data");
            }
            return self.complete(Cqe { cid: part.cid, ..Cqe::default() }, events);
        }
        Ok(())
    }

    fn ready(&mut self, cid: u16, ttag: u16, offset: u32, length: u32) -> Result<(), Refused> {
        let Some(Slot::Taken { outgoing, .. }) = self.slots.get(cid as usize) else {
            return refused(fatal::SEQUENCE, 8, "R2T for a command that is not out");
        };
        let (from, to) = (offset as usize, offset as usize + length as usize);
        if length == 0 || to > outgoing.len() {
            return refused(fatal::OUT_OF_RANGE, 12, "R2T asks for data that the command has not");
        }
        for at in (from..to).step_by(self.max_h2c) {
            let end = to.min(at + self.max_h2c);
            let (last, data) = (end == to, outgoing[at..end].to_vec());
            let part = DataPart { cid, ttag, offset: at as u32, last, success: false, data };
            Pdu::H2cData(part).encode_in(self.format, &mut self.out);
        }
        Ok(())
    }
}

/// Bytes that a command of this opcode writes, or reads, by its own fields.
pub fn lengths(sqe: &Sqe) -> (usize, usize) {
    match sqe.opcode {
        opcode::WRITE | opcode::COMPARE => (sqe.length(), 0),
        opcode::READ => (0, sqe.length()),
        _ => (0, 0),
    }
}
