//! The controller's end of one queue's connection: a state machine that takes bytes and gives events.

use std::collections::{BTreeMap, VecDeque};

use crate::command::{connect_fields, opcode, Cqe, Sqe};
use crate::host::lengths;
use crate::pdu::{fatal, refused, DataPart, Decoder, Format, Pdu, Refused, MAX_ALIGN};
use crate::{status, MAX_DATA, MAX_H2C, QUEUE_SIZE};

/// Write data gathered at once on one connection, bytes; further writes wait for their R2T. Bounds what one
/// peer can make this end hold.
const MOST_GATHERED: usize = 4 << 20;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for ICReq.
    Fresh,
    /// Waits for the Connect command.
    Initialized,
    /// The driver has the Connect and has not answered.
    Connecting,
    Ready,
    Closed,
}

#[derive(Debug)]
pub enum Event {
    /// A Connect, answered with [`Controller::accept`] or [`Controller::refuse`].
    Connect { queue: u16, controller: u16, subsystem: String, host: String, keep_alive_ms: u32 },
    /// A command with all its data.
    Command { sqe: Sqe, data: Vec<u8> },
    /// The host ended the connection.
    Terminated { status: u16, info: u32 },
}

#[derive(Debug)]
struct Gathering {
    sqe: Sqe,
    data: Vec<u8>,
    length: usize,
    asked: usize,
    spoilt: bool,
}

/// One queue of one host. `out` holds bytes for the socket.
#[derive(Debug)]
pub struct Controller {
    state: State,
    decoder: Decoder,
    queue: u16,
    size: u16,
    connect_cid: u16,
    head: u16,
    /// Commands taken and not answered.
    open: BTreeMap<u16, Sqe>,
    gathering: BTreeMap<u16, Gathering>,
    waiting: VecDeque<u16>,
    gathered: usize,
    /// Digests taken where a host offers them, and the alignment asked of its data.
    takes: Format,
    format: Format,
    /// Reads end with the success flag on their last data in place of a CapsuleResp.
    pub short_reads: bool,
    pub out: Vec<u8>,
}

impl Default for Controller {
    fn default() -> Self {
        Controller {
            state: State::Fresh,
            decoder: Decoder::default(),
            queue: 0,
            size: QUEUE_SIZE,
            connect_cid: 0,
            head: 0,
            open: BTreeMap::new(),
            gathering: BTreeMap::new(),
            waiting: VecDeque::new(),
            gathered: 0,
            takes: Format { header_digest: true, data_digest: true, align: 0 },
            format: Format::default(),
            short_reads: false,
            out: Vec::new(),
        }
    }
}

impl Controller {
    /// A controller that takes these digests where they are offered, and asks for this alignment.
    pub fn taking(takes: Format) -> Self {
        Controller { takes, ..Controller::default() }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn queue(&self) -> u16 {
        self.queue
    }

    /// Bytes of an unfinished PDU, and writes that wait for the rest of their data: a host that stays like this
    /// is closed by time.
    pub fn unfinished(&self) -> bool {
        self.decoder.pending() > 0 || !self.gathering.is_empty() || self.state != State::Ready
    }

    /// Whole PDUs taken so far.
    pub fn whole(&self) -> u64 {
        self.decoder.whole()
    }

    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// An open command, by its id.
    pub fn command(&self, cid: u16) -> Option<&Sqe> {
        self.open.get(&cid)
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
            Pdu::C2hTerm { status: why.status, info: why.info }.encode(&mut self.out);
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
            (_, Pdu::H2cTerm { status, info }) => {
                self.shift(State::Closed);
                events.push(Event::Terminated { status, info });
            }
            (State::Fresh, Pdu::IcReq { pfv, hpda, digest, .. }) => {
                if pfv != 0 {
                    return refused(fatal::UNSUPPORTED, 8, "ICReq is of an unknown format version");
                }
                if hpda > MAX_ALIGN || digest & !3 != 0 {
                    return refused(fatal::INVALID_HEADER, 10, "ICReq asks for what there is not");
                }
                let (digest, cpda) = (digest & self.takes.digest(), self.takes.align);
                Pdu::IcResp { pfv: 0, cpda, digest, max_h2c: MAX_H2C as u32 }.encode(&mut self.out);
                self.format = Format::of(digest, hpda);
                self.decoder.agree(self.format);
                self.shift(State::Initialized);
            }
            (State::Initialized, Pdu::Command { sqe, data }) => self.connect(sqe, &data, events)?,
            (State::Ready, Pdu::Command { sqe, data }) => self.begin(sqe, data, events)?,
            (State::Ready, Pdu::H2cData(part)) => self.data(part, events)?,
            _ => return refused(fatal::SEQUENCE, 0, "PDU does not belong in this state of the connection"),
        }
        Ok(())
    }

    fn connect(&mut self, sqe: Sqe, data: &[u8], events: &mut Vec<Event>) -> Result<(), Refused> {
        let (queue, size) = sqe.connects();
        self.connect_cid = sqe.cid;
        let connects = sqe.opcode == opcode::FABRICS && sqe.nsid as u8 == opcode::CONNECT;
        let Some((controller, subsystem, host)) = connect_fields(data).filter(|_| connects) else {
            return refused(fatal::SEQUENCE, 8, "the first command is not a whole Connect");
        };
        if !(2..=u32::from(QUEUE_SIZE)).contains(&size) {
            self.refuse(status::CONNECT_INVALID | status::DNR);
            return Ok(());
        }
        (self.queue, self.size) = (queue, size as u16);
        self.shift(State::Connecting);
        let keep_alive_ms = sqe.cdw[2];
        events.push(Event::Connect { queue, controller, subsystem, host, keep_alive_ms });
        Ok(())
    }

    /// Answers the Connect as it was decided: a controller's id, or the status that refuses it.
    pub fn answer(&mut self, given: Result<u16, u16>) {
        match given {
            Ok(controller) => self.accept(controller),
            Err(status) => self.refuse(status),
        }
    }

    /// Answers the Connect: the queue belongs to this controller.
    pub fn accept(&mut self, controller: u16) {
        if self.state == State::Connecting {
            self.shift(State::Ready);
            let cqe = Cqe { dw0: u32::from(controller), cid: self.connect_cid, ..Cqe::default() };
            Pdu::Response(cqe).encode_in(self.format, &mut self.out);
        }
    }

    /// Answers the Connect with a status; the connection is of no further use.
    pub fn refuse(&mut self, status: u16) {
        self.shift(State::Closed);
        let cqe = Cqe { cid: self.connect_cid, status, ..Cqe::default() };
        Pdu::Response(cqe).encode_in(self.format, &mut self.out);
    }

    fn begin(&mut self, sqe: Sqe, data: Vec<u8>, events: &mut Vec<Event>) -> Result<(), Refused> {
        if self.open.len() + 1 >= usize::from(self.size) {
            return refused(fatal::LIMIT, 8, "more commands than the queue has entries");
        }
        if self.open.contains_key(&sqe.cid) {
            return refused(fatal::SEQUENCE, 10, "a command id is used again before its answer");
        }
        let (length, _) = lengths(&sqe);
        if length > MAX_DATA || (length > 0 && sqe.sgl_length() != Some(length)) {
            self.open.insert(sqe.cid, sqe);
            self.respond(
                Cqe { cid: sqe.cid, status: status::INVALID_FIELD | status::DNR, ..Cqe::default() },
                &[],
            );
            return Ok(());
        }
        self.open.insert(sqe.cid, sqe);
        if self.decoder.spoilt() {
            self.respond(Cqe { cid: sqe.cid, status: status::TRANSPORT_ERROR, ..Cqe::default() }, &[]);
        } else if length == 0 || data.len() == length {
            events.push(Event::Command { sqe, data });
        } else if data.is_empty() {
            self.gathering
                .insert(sqe.cid, Gathering { sqe, data: Vec::new(), length, asked: 0, spoilt: false });
            self.waiting.push_back(sqe.cid);
            self.ask();
        } else {
            return refused(fatal::OUT_OF_RANGE, 4, "a write carries less data than it states");
        }
        Ok(())
    }

    /// Sends R2T for writes that wait, as far as the bound on gathered data allows.
    fn ask(&mut self) {
        while let Some(cid) = self.waiting.front().copied() {
            let Some(write) = self.gathering.get_mut(&cid) else {
                self.waiting.pop_front();
                continue;
            };
            if self.gathered > 0 && self.gathered + write.length > MOST_GATHERED {
                return;
            }
            self.gathered += write.length;
            write.asked = write.length.min(MAX_H2C);
            let r2t = Pdu::R2t { cid, ttag: cid, offset: 0, length: write.asked as u32 };
            r2t.encode_in(self.format, &mut self.out);
            self.waiting.pop_front();
        }
    }

    fn data(&mut self, part: DataPart, events: &mut Vec<Event>) -> Result<(), Refused> {
        let bad = self.decoder.spoilt();
        let Some(write) = self.gathering.get_mut(&part.cid) else {
            return refused(fatal::SEQUENCE, 8, "data for a command that waits for none");
        };
        let end = write.data.len() + part.data.len();
        if part.offset as usize != write.data.len() || end > write.asked || part.ttag != part.cid {
            return refused(fatal::OUT_OF_RANGE, 12, "data outside what R2T asked for, or out of order");
        }
        write.data.extend_from_slice(&part.data);
        write.spoilt |= bad;
        if end == write.length {
            let Gathering { sqe, data, length, spoilt, .. } = self.gathering.remove(&part.cid).unwrap();
            self.gathered -= length;
            if spoilt {
                self.respond(Cqe { cid: sqe.cid, status: status::TRANSPORT_ERROR, ..Cqe::default() }, &[]);
            } else {
                events.push(Event::Command { sqe, data });
            }
            self.ask();
        } else if end == write.asked {
            let (offset, length) = (write.asked, (write.length - write.asked).min(MAX_H2C));
            write.asked += length;
            let r2t =
                Pdu::R2t { cid: part.cid, ttag: part.cid, offset: offset as u32, length: length as u32 };
            r2t.encode_in(self.format, &mut self.out);
        }
        Ok(())
    }

    /// Answers a command, data of a read first. Nothing is sent where the command is not open.
    pub fn respond(&mut self, mut cqe: Cqe, data: &[u8]) {
        if self.open.remove(&cqe.cid).is_none() || self.state == State::Closed {
            return;
        }
        self.head = (self.head + 1) % self.size;
        (cqe.sq_head, cqe.sq_id) = (self.head, self.queue);
        // The flag stands for a completion without any field set, so only where none is.
        let plain = Cqe { sq_head: 0, sq_id: 0, cid: 0, ..cqe } == Cqe::default();
        let short = self.short_reads && plain && !data.is_empty();
        let mut pieces = data.chunks(MAX_H2C).enumerate().peekable();
        while let Some((at, piece)) = pieces.next() {
            let (offset, last) = ((at * MAX_H2C) as u32, pieces.peek().is_none());
            let (data, success) = (piece.to_vec(), last && short);
            Pdu::C2hData(DataPart { cid: cqe.cid, ttag: 0, offset, last, success, data })
                .encode_in(self.format, &mut self.out);
        }
        if !short {
            Pdu::Response(cqe).encode_in(self.format, &mut self.out);
        }
    }
}
