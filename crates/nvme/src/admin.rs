//! The admin queue of one association, without I/O or clock: properties, identify, features, log pages, keep alive,
//! asynchronous events. What the controller stands for (namespaces, a discovery service) is asked of a [`View`].
//!
//! Sources: NVM Express Base Specification (data structures, commands, controller properties and their states).

use std::collections::{BTreeSet, VecDeque};

use crate::command::{opcode, Cqe, Sqe};
use crate::{status, BLOCK_SIZE, IN_CAPSULE, MAX_DATA, QUEUE_SIZE};

/// Asynchronous Event Requests held for one association (AERL + 1).
pub const MOST_EVENTS: usize = 4;
/// Aborts that one association may have out at a time (ACL + 1).
pub const MOST_ABORTS: u8 = 16;
/// I/O queues that one association may have.
pub const MOST_QUEUES: u16 = 8;
/// Keep alive granularity, milliseconds (KAS is 1 unit of 100 ms).
const KEEP_ALIVE_GRAIN: u32 = 100;
const IDENTIFY_LEN: usize = 4096;
/// Errors kept for the error log.
const ERRORS: usize = 16;
/// Longest log page, bytes.
const MOST_LOG: usize = 16 << 20;

/// Property offsets.
pub mod property {
    pub const CAP: u32 = 0x00;
    pub const VS: u32 = 0x08;
    pub const CC: u32 = 0x14;
    pub const CSTS: u32 = 0x1c;
}

/// CC fields.
const CC_ENABLE: u32 = 1;
const CC_SHN: u32 = 3 << 14;
/// CC of a host that enables us: 64-byte SQEs, 16-byte CQEs.
pub const CC_ON: u32 = CC_ENABLE | 6 << 16 | 4 << 20;
pub const CC_SHUT_DOWN: u32 = CC_ON | 1 << 14;
/// CSTS fields.
pub const CSTS_READY: u32 = 1;
pub const CSTS_SHUT_DOWN: u32 = 2 << 2;
/// Version 2.0.
const VERSION: u32 = 0x0002_0000;

/// Log pages of the subset.
pub mod log {
    pub const ERROR: u8 = 0x01;
    pub const ANA: u8 = 0x0c;
    pub const DISCOVERY: u8 = 0x70;
}

/// Features of the subset.
pub mod feature {
    pub const QUEUES: u8 = 0x07;
    pub const ASYNC_EVENTS: u8 = 0x0b;
    pub const KEEP_ALIVE: u8 = 0x0f;
}

/// Asynchronous events of the subset: what completes an Asynchronous Event Request (dword 0).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Notice {
    /// Namespace Attribute Changed.
    Namespaces,
    /// Asymmetric Namespace Access Change.
    Access,
    /// Discovery Log Page Change.
    Discovery,
}

impl Notice {
    /// Type 2 (notice), its information and the log page that tells more.
    pub fn dword(self) -> u32 {
        let (information, page) = match self {
            Notice::Namespaces => (0x00, 0x04),
            Notice::Access => (0x03, u32::from(log::ANA)),
            Notice::Discovery => (0xf0, u32::from(log::DISCOVERY)),
        };
        2 | information << 8 | page << 16
    }

    /// Bit of the feature that asks for it.
    fn bit(self) -> u32 {
        match self {
            Notice::Namespaces => 1 << 8,
            Notice::Access => 1 << 11,
            Notice::Discovery => 1 << 31,
        }
    }

    pub fn of(dword: u32) -> Option<Notice> {
        [Notice::Namespaces, Notice::Access, Notice::Discovery].into_iter().find(|one| one.dword() == dword)
    }
}

/// ANA states of the subset.
pub mod ana {
    pub const OPTIMIZED: u8 = 0x01;
    pub const INACCESSIBLE: u8 = 0x03;
    pub const PERSISTENT_LOSS: u8 = 0x04;
}

/// Which kind of controller it is (CNTRLTYPE).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Io = 1,
    Discovery = 2,
}

/// An ANA group: id, state, namespaces.
pub type Group = (u32, u8, Vec<u32>);

/// What a controller stands for. What one has not, it need not tell.
pub trait View {
    fn kind(&self) -> Kind;
    fn subsystem(&self) -> &str;
    /// Active namespaces above `after`, ascending, 1024 at most, with their sizes in logical blocks.
    fn namespaces(&self, _after: u32) -> Vec<(u32, u64)> {
        Vec::new()
    }
    fn blocks(&self, _nsid: u32) -> Option<u64> {
        None
    }
    fn groups(&self) -> Vec<Group> {
        Vec::new()
    }
    /// Change count of ANA, and of the discovery log.
    fn changes(&self) -> u64 {
        1
    }
    /// The discovery log's records.
    fn discovery(&self) -> Vec<Record> {
        Vec::new()
    }
    /// Delays that CRD 1 to 3 stand for, seconds; 0: none.
    fn retry_delays(&self) -> [f64; 3] {
        [0.0; 3]
    }
}

/// State of the association's controller. Every change goes through [`Admin::shift`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Connected, not enabled.
    Disabled,
    Ready,
    /// Shut down by the host; only a new association helps.
    ShutDown,
    /// Its keep alive ran out, or it was fenced: it answers nothing more.
    Lost,
}

/// What is to be done for an admin command.
#[derive(Clone, Debug, PartialEq)]
pub enum Do {
    Respond(Cqe, Vec<u8>),
    /// An Asynchronous Event Request is held.
    Hold,
    /// Abort this command of a queue, then respond to the Abort with what became of it.
    Abort {
        cid: u16,
        queue: u16,
        command: u16,
    },
    /// Respond, then close: the host disconnects this queue.
    Disconnect(Cqe),
}

#[derive(Debug)]
pub struct Admin {
    state: State,
    controller: u16,
    cc: u32,
    keep_alive_ms: u32,
    heard_at: f64,
    queues: u16,
    mask: u32,
    held: VecDeque<u16>,
    /// Notices that no request was held for, each once; and those told and not yet read of.
    pending: BTreeSet<Notice>,
    masked: BTreeSet<Notice>,
    errors: VecDeque<(u64, u16, u16, u16)>,
    error_count: u64,
}

fn put(data: &mut [u8], at: usize, bytes: &[u8]) {
    data[at..at + bytes.len()].copy_from_slice(bytes);
}

/// Text in a field that is padded with spaces.
fn put_text(data: &mut [u8], at: usize, length: usize, text: &str) {
    data[at..at + length].fill(b' ');
    let bytes = &text.as_bytes()[..text.len().min(length)];
    put(data, at, bytes);
}

fn u16_at(data: &[u8], at: usize) -> u16 {
    u16::from_le_bytes([data[at], data[at + 1]])
}

fn u32_at(data: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(data[at..at + 4].try_into().unwrap())
}

fn u64_at(data: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(data[at..at + 8].try_into().unwrap())
}

fn text_at(data: &[u8], at: usize, length: usize) -> String {
    let field = &data[at..at + length];
    let end = field.iter().position(|byte| *byte == 0).unwrap_or(length);
    String::from_utf8_lossy(&field[..end]).trim_end().to_string()
}

impl Admin {
    /// An association that connected at `now`, with the keep alive time-out of its Connect (0: none).
    pub fn new(now: f64, controller: u16, keep_alive_ms: u32) -> Self {
        Admin {
            state: State::Disabled,
            controller,
            cc: 0,
            keep_alive_ms: keep_alive_ms.next_multiple_of(KEEP_ALIVE_GRAIN),
            heard_at: now,
            queues: MOST_QUEUES,
            mask: 0,
            held: VecDeque::new(),
            pending: BTreeSet::new(),
            masked: BTreeSet::new(),
            errors: VecDeque::new(),
            error_count: 0,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    fn shift(&mut self, to: State) {
        self.state = to;
    }

    /// Whether I/O commands may be begun.
    pub fn serves(&self) -> bool {
        self.state == State::Ready
    }

    /// I/O queues that the host may connect.
    pub fn queues(&self) -> u16 {
        self.queues
    }

    /// Any command of the association is a sign of life (traffic based keep alive).
    pub fn heard(&mut self, now: f64) {
        self.heard_at = now;
    }

    /// When the association is lost unless something is heard; infinity without keep alive.
    pub fn lost_at(&self) -> f64 {
        match self.keep_alive_ms {
            0 => f64::INFINITY,
            wait => self.heard_at + f64::from(wait) / 1e3,
        }
    }

    /// True where the keep alive has run out by `now`; from then on nothing is answered.
    pub fn is_lost(&mut self, now: f64) -> bool {
        if now >= self.lost_at() {
            self.shift(State::Lost);
        }
        self.state == State::Lost
    }

    /// An event to be told. Gives the completion of a held request, if the host asked and one is held.
    pub fn notice(&mut self, notice: Notice) -> Option<Cqe> {
        if self.mask & notice.bit() == 0 || self.state != State::Ready {
            return None;
        }
        // Told and not yet looked into: a second word would say nothing new.
        if self.masked.contains(&notice) {
            self.pending.insert(notice);
            return None;
        }
        match self.held.pop_front() {
            Some(cid) => {
                self.masked.insert(notice);
                Some(Cqe { cid, dw0: notice.dword(), ..Cqe::default() })
            }
            None => {
                self.pending.insert(notice);
                None
            }
        }
    }

    /// A notice that waits for a request, after one came or a log page was read.
    pub fn due(&mut self) -> Option<Cqe> {
        let notice = *self.pending.iter().find(|notice| !self.masked.contains(notice))?;
        let cid = self.held.pop_front()?;
        self.pending.remove(&notice);
        self.masked.insert(notice);
        Some(Cqe { cid, dw0: notice.dword(), ..Cqe::default() })
    }

    /// Keeps a failed command for the error log.
    pub fn failed(&mut self, queue: u16, cid: u16, status: u16) {
        self.error_count += 1;
        self.errors.push_front((self.error_count, queue, cid, status));
        self.errors.truncate(ERRORS);
    }

    /// A command of the admin queue, after Connect.
    pub fn command(&mut self, now: f64, sqe: &Sqe, view: &impl View) -> Do {
        self.heard(now);
        let cid = sqe.cid;
        let done = |status, dw0| Do::Respond(Cqe { cid, status, dw0, ..Cqe::default() }, Vec::new());
        let refuse = |status| done(status | status::DNR, 0);
        if sqe.opcode == opcode::FABRICS {
            return self.fabrics(sqe);
        }
        if self.state != State::Ready {
            // Only Fabrics commands are taken by a controller that is not enabled.
            return refuse(status::COMMAND_SEQUENCE);
        }
        let reply = match sqe.opcode {
            opcode::IDENTIFY => self.identify(sqe, view),
            opcode::GET_LOG_PAGE => self.log_page(sqe, view),
            opcode::SET_FEATURES | opcode::GET_FEATURES => self.feature(sqe),
            opcode::KEEP_ALIVE if self.keep_alive_ms == 0 => Err(status::KEEP_ALIVE_INVALID),
            opcode::KEEP_ALIVE => Ok((0, Vec::new())),
            opcode::ASYNC_EVENT if self.held.len() >= MOST_EVENTS => Err(status::EVENT_LIMIT),
            opcode::ASYNC_EVENT => {
                self.held.push_back(cid);
                return Do::Hold;
            }
            opcode::ABORT => {
                let (queue, command) = sqe.aborts();
                // A held event request is a command like others.
                if queue == 0 {
                    let held = self.held.iter().position(|known| *known == command);
                    let dw0 = u32::from(held.is_none());
                    return match held {
                        Some(at) => {
                            self.held.remove(at);
                            Do::Abort { cid, queue, command }
                        }
                        None => done(0, dw0),
                    };
                }
                return Do::Abort { cid, queue, command };
            }
            _ => Err(status::INVALID_OPCODE),
        };
        match reply {
            Ok((dw0, data)) => Do::Respond(Cqe { cid, dw0, ..Cqe::default() }, data),
            Err(status) => {
                self.failed(0, cid, status);
                refuse(status)
            }
        }
    }

    fn fabrics(&mut self, sqe: &Sqe) -> Do {
        let cid = sqe.cid;
        let respond = |status: u16, value: u64| {
            let (dw0, dw1) = (value as u32, (value >> 32) as u32);
            let status = if status == 0 { 0 } else { status | status::DNR };
            Do::Respond(Cqe { cid, status, dw0, dw1, ..Cqe::default() }, Vec::new())
        };
        match sqe.nsid as u8 {
            opcode::PROPERTY_GET => {
                let (wide, at) = (sqe.cdw[0] & 1 != 0, sqe.cdw[1]);
                match (at, wide) {
                    // MQES, contiguous queues, time-out of 0.5 s units, NVM command set.
                    (property::CAP, true) => {
                        respond(0, u64::from(QUEUE_SIZE - 1) | 1 << 16 | 20 << 24 | 1 << 37)
                    }
                    (property::VS, false) => respond(0, u64::from(VERSION)),
                    (property::CC, false) => respond(0, u64::from(self.cc)),
                    (property::CSTS, false) => respond(0, u64::from(self.status_property())),
                    _ => respond(status::INVALID_FIELD, 0),
                }
            }
            opcode::PROPERTY_SET => {
                let (at, value) = (sqe.cdw[1], sqe.cdw[2]);
                if at != property::CC || sqe.cdw[0] & 1 != 0 {
                    return respond(status::INVALID_FIELD, 0);
                }
                self.configure(value);
                respond(0, 0)
            }
            opcode::DISCONNECT => Do::Disconnect(Cqe { cid, ..Cqe::default() }),
            _ => respond(status::INVALID_OPCODE, 0),
        }
    }

    fn configure(&mut self, cc: u32) {
        self.cc = cc;
        match self.state {
            State::Disabled if cc & CC_ENABLE != 0 => self.shift(State::Ready),
            State::Ready | State::Disabled if cc & CC_SHN != 0 => self.shift(State::ShutDown),
            // A reset: what was set is forgotten.
            State::Ready if cc & CC_ENABLE == 0 => {
                self.shift(State::Disabled);
                (self.mask, self.queues) = (0, MOST_QUEUES);
                self.held.clear();
                self.pending.clear();
                self.masked.clear();
            }
            _ => {}
        }
    }

    fn status_property(&self) -> u32 {
        match self.state {
            State::Disabled => 0,
            State::Ready => CSTS_READY,
            State::ShutDown => CSTS_READY | CSTS_SHUT_DOWN,
            State::Lost => 1 << 1,
        }
    }

    fn identify(&self, sqe: &Sqe, view: &impl View) -> Result<(u32, Vec<u8>), u16> {
        let mut data = vec![0; IDENTIFY_LEN];
        let nsid = sqe.nsid;
        match sqe.cdw[0] as u8 {
            0x00 => {
                let blocks = view.blocks(nsid).ok_or(status::INVALID_NAMESPACE)?;
                for at in [0, 8, 16] {
                    put(&mut data, at, &blocks.to_le_bytes());
                }
                // One format, no metadata; shared by controllers.
                data[30] = 1;
                let groups = view.groups();
                let group = groups.iter().find(|(_, _, members)| members.contains(&nsid));
                put(&mut data, 92, &group.map_or(1, |(id, ..)| *id).to_le_bytes());
                data[128 + 2] = BLOCK_SIZE.trailing_zeros() as u8;
            }
            0x01 => self.identify_controller(&mut data, view),
            0x02 => {
                if nsid >= 0xffff_fffe {
                    return Err(status::INVALID_NAMESPACE);
                }
                for (at, (id, _)) in view.namespaces(nsid).iter().take(1024).enumerate() {
                    put(&mut data, 4 * at, &id.to_le_bytes());
                }
            }
            0x03 => {
                view.blocks(nsid).ok_or(status::INVALID_NAMESPACE)?;
                // One UUID, made of the subsystem's name and the namespace.
                (data[0], data[1]) = (3, 16);
                let name = view.subsystem().as_bytes();
                let (one, other) = (crc32c::crc32c(name), crc32c::crc32c_append(nsid, name));
                put(&mut data, 4, &one.to_be_bytes());
                put(&mut data, 8, &other.to_be_bytes());
                put(&mut data, 16, &nsid.to_be_bytes());
            }
            _ => return Err(status::INVALID_FIELD),
        }
        Ok((0, data))
    }

    fn identify_controller(&self, data: &mut [u8], view: &impl View) {
        put_text(data, 4, 20, "QUAYPATH");
        put_text(data, 24, 40, "quaypath");
        put_text(data, 64, 8, env!("CARGO_PKG_VERSION"));
        // MDTS in units of the least page, 4 KiB.
        data[77] = (MAX_DATA / 4096).trailing_zeros() as u8;
        put(data, 78, &self.controller.to_le_bytes());
        put(data, 80, &VERSION.to_le_bytes());
        let discovery = view.kind() == Kind::Discovery;
        let events = if discovery { Notice::Discovery.bit() } else { 0 };
        let events = events | Notice::Namespaces.bit() | Notice::Access.bit();
        put(data, 92, &events.to_le_bytes());
        // Traffic based keep alive.
        put(data, 96, &(1u32 << 6).to_le_bytes());
        data[111] = view.kind() as u8;
        for (at, delay) in view.retry_delays().iter().enumerate() {
            let units = (delay * 10.0).ceil().clamp(0.0, 65535.0) as u16;
            put(data, 128 + 2 * at, &units.to_le_bytes());
        }
        data[258] = MOST_ABORTS - 1;
        data[259] = MOST_EVENTS as u8 - 1;
        // Extended data for log pages: offsets.
        data[261] = 1 << 2;
        data[262] = ERRORS as u8 - 1;
        put(data, 320, &1u16.to_le_bytes());
        if !discovery {
            data[342] = 10;
            // Optimized, inaccessible, persistent loss are told.
            data[343] = 1 | 1 << 2 | 1 << 3;
            let groups = view.groups();
            let most = groups.iter().map(|(id, ..)| *id).max().unwrap_or(1);
            put(data, 344, &most.to_le_bytes());
            put(data, 348, &(groups.len() as u32).to_le_bytes());
            (data[512], data[513]) = (0x66, 0x44);
            let last = u32::MAX - 1;
            put(data, 516, &last.to_le_bytes());
            // Compare and Write Zeroes.
            put(data, 520, &(1u16 | 1 << 3).to_le_bytes());
        }
        put(data, 514, &QUEUE_SIZE.to_le_bytes());
        // SGLs, offsets in capsules, the transport's data block.
        put(data, 536, &(1u32 | 1 << 20 | 1 << 21).to_le_bytes());
        let name = view.subsystem().as_bytes();
        put(data, 768, &name[..name.len().min(255)]);
        put(data, 1792, &(((64 + IN_CAPSULE) / 16) as u32).to_le_bytes());
        put(data, 1796, &1u32.to_le_bytes());
        data[1803] = 1;
    }

    fn log_page(&mut self, sqe: &Sqe, view: &impl View) -> Result<(u32, Vec<u8>), u16> {
        let page = sqe.cdw[0] as u8;
        let dwords = u64::from(sqe.cdw[0] >> 16) | u64::from(sqe.cdw[1] & 0xffff) << 16;
        let length = ((dwords + 1) * 4) as usize;
        let offset = u64::from(sqe.cdw[2]) | u64::from(sqe.cdw[3]) << 32;
        if length > MAX_DATA || offset % 4 != 0 {
            return Err(status::INVALID_FIELD);
        }
        let whole = match page {
            log::ERROR => {
                let mut data = vec![0; 64 * ERRORS];
                for (at, (count, queue, cid, status)) in self.errors.iter().enumerate() {
                    let entry = &mut data[64 * at..64 * at + 64];
                    put(entry, 0, &count.to_le_bytes());
                    put(entry, 8, &queue.to_le_bytes());
                    put(entry, 10, &cid.to_le_bytes());
                    put(entry, 12, &(status << 1).to_le_bytes());
                }
                data
            }
            log::ANA if view.kind() == Kind::Io || !view.groups().is_empty() => {
                access_log(view.changes(), &view.groups())
            }
            log::DISCOVERY if view.kind() == Kind::Discovery => {
                discovery_log(view.changes(), &view.discovery())
            }
            _ => return Err(status::INVALID_LOG),
        };
        if whole.len() > MOST_LOG || offset > whole.len() as u64 {
            return Err(status::INVALID_FIELD);
        }
        // Read from its start with RAE clear: further events of the kind may be told again.
        if sqe.cdw[0] & 1 << 15 == 0 {
            let read = [Notice::Access, Notice::Discovery];
            let read = read.into_iter().find(|notice| notice.dword() >> 16 == u32::from(page));
            read.iter().for_each(|notice| {
                self.masked.remove(notice);
            });
        }
        let from = offset as usize;
        let mut data = whole[from..whole.len().min(from + length)].to_vec();
        data.resize(length, 0);
        Ok((0, data))
    }

    fn feature(&mut self, sqe: &Sqe) -> Result<(u32, Vec<u8>), u16> {
        let (id, value, set) = (sqe.cdw[0] as u8, sqe.cdw[1], sqe.opcode == opcode::SET_FEATURES);
        let dw0 = match id {
            feature::QUEUES => {
                if set {
                    let (submission, completion) = (value & 0xffff, value >> 16);
                    if submission == 0xffff || completion == 0xffff {
                        return Err(status::INVALID_FIELD);
                    }
                    self.queues = (submission.min(completion) as u16 + 1).min(MOST_QUEUES);
                }
                u32::from(self.queues - 1) | u32::from(self.queues - 1) << 16
            }
            feature::ASYNC_EVENTS => {
                if set {
                    self.mask = value;
                }
                self.mask
            }
            feature::KEEP_ALIVE => {
                if set {
                    if value > 3_600_000 {
                        return Err(status::KEEP_ALIVE_INVALID);
                    }
                    self.keep_alive_ms = value.next_multiple_of(KEEP_ALIVE_GRAIN);
                }
                self.keep_alive_ms
            }
            _ => return Err(status::INVALID_FIELD),
        };
        Ok((if set && id != feature::QUEUES { 0 } else { dw0 }, Vec::new()))
    }
}

/// One record of the discovery log: a node. `block` and what follows ride in reserved bytes of the transport's
/// address subtype; a plain host sees an NVM subsystem at an address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub port: u16,
    pub address: String,
    pub service: String,
    pub subsystem: String,
    pub zone: String,
    pub block: i64,
    /// Changes with every start of the node.
    pub start: u64,
    /// Seconds since its start; none where it started long ago.
    pub age: Option<f64>,
}

const RECORD: usize = 1024;
/// TSAS of a record; for TCP only its first byte is defined.
const TSAS: usize = 768;

/// The discovery log page: generation, count, format, then the records.
pub fn discovery_log(generation: u64, records: &[Record]) -> Vec<u8> {
    let mut data = vec![0; RECORD * (records.len() + 1)];
    put(&mut data, 0, &generation.to_le_bytes());
    put(&mut data, 8, &(records.len() as u64).to_le_bytes());
    for (at, record) in records.iter().enumerate() {
        let entry = &mut data[RECORD * (at + 1)..RECORD * (at + 2)];
        // TCP, IPv4 or IPv6, an NVM subsystem, no requirement on security, controllers made on Connect.
        (entry[0], entry[1], entry[2]) = (3, if record.address.contains(':') { 2 } else { 1 }, 2);
        put(entry, 4, &record.port.to_le_bytes());
        put(entry, 6, &0xffffu16.to_le_bytes());
        put(entry, 8, &QUEUE_SIZE.to_le_bytes());
        put_text(entry, 32, 32, &record.service);
        let name = record.subsystem.as_bytes();
        put(entry, 256, &name[..name.len().min(223)]);
        put_text(entry, 512, 256, &record.address);
        put(entry, TSAS + 32, &record.block.to_le_bytes());
        put(entry, TSAS + 40, &record.start.to_le_bytes());
        let age = record.age.map_or(u64::MAX, |age| (age.max(0.0) * 1e6) as u64);
        put(entry, TSAS + 48, &age.to_le_bytes());
        let zone = record.zone.as_bytes();
        put(entry, TSAS + 64, &zone[..zone.len().min(63)]);
    }
    data
}

/// Generation and number of records that a discovery log's header tells.
pub fn discovery_header(data: &[u8]) -> Option<(u64, u64)> {
    (data.len() >= 16).then(|| (u64_at(data, 0), u64_at(data, 8)))
}

/// The record at a place in the log; none where the log is too short, or the record is not of TCP.
pub fn discovery_record(data: &[u8], at: usize) -> Option<Record> {
    let entry = data.get(RECORD * (at + 1)..RECORD * (at + 2))?;
    if entry[0] != 3 {
        return None;
    }
    let age = u64_at(entry, TSAS + 48);
    Some(Record {
        port: u16_at(entry, 4),
        address: text_at(entry, 512, 256),
        service: text_at(entry, 32, 32),
        subsystem: text_at(entry, 256, 256),
        zone: text_at(entry, TSAS + 64, 64),
        block: u64_at(entry, TSAS + 32) as i64,
        start: u64_at(entry, TSAS + 40),
        age: (age != u64::MAX).then_some(age as f64 / 1e6),
    })
}

/// The ANA log page: change count, then each group's state and namespaces.
pub fn access_log(changes: u64, groups: &[Group]) -> Vec<u8> {
    let mut data = vec![0; 16];
    put(&mut data, 0, &changes.to_le_bytes());
    put(&mut data, 8, &(groups.len() as u16).to_le_bytes());
    for (id, state, members) in groups {
        let mut group = vec![0; 32];
        put(&mut group, 0, &id.to_le_bytes());
        put(&mut group, 4, &(members.len() as u32).to_le_bytes());
        put(&mut group, 8, &changes.to_le_bytes());
        group[16] = *state;
        data.extend_from_slice(&group);
        members.iter().for_each(|nsid| data.extend_from_slice(&nsid.to_le_bytes()));
    }
    data
}

/// Change count and the groups of an ANA log page; none where it ends early.
pub fn access_groups(data: &[u8]) -> Option<(u64, Vec<Group>)> {
    let (changes, count) = (u64_at(data.get(..16)?, 0), u16_at(data, 8));
    let (mut groups, mut at) = (Vec::new(), 16);
    for _ in 0..count {
        let head = data.get(at..at + 32)?;
        let members = u32_at(head, 4) as usize;
        let list = data.get(at + 32..(at + 32).checked_add(members.checked_mul(4)?)?)?;
        groups.push((u32_at(head, 0), head[16], list.chunks(4).map(|one| u32_at(one, 0)).collect()));
        at += 32 + 4 * members;
    }
    Some((changes, groups))
}

/// What Identify Controller tells that a host acts on.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub serial: String,
    pub model: String,
    pub firmware: String,
    pub controller: u16,
    pub version: u32,
    /// Longest transfer, bytes; 0: no limit.
    pub longest: u64,
    pub kind: u8,
    pub subsystem: String,
    pub retry_delays: [f64; 3],
    /// Keep alive granularity, seconds.
    pub keep_alive: f64,
    /// Data that a command capsule of an I/O queue can carry, bytes.
    pub in_capsule: usize,
    pub most_commands: u16,
}

pub fn identity(data: &[u8]) -> Option<Identity> {
    if data.len() < IDENTIFY_LEN {
        return None;
    }
    let delay = |at: usize| f64::from(u16_at(data, 128 + 2 * at)) / 10.0;
    Some(Identity {
        serial: text_at(data, 4, 20),
        model: text_at(data, 24, 40),
        firmware: text_at(data, 64, 8),
        controller: u16_at(data, 78),
        version: u32_at(data, 80),
        longest: if data[77] == 0 { 0 } else { 4096u64 << data[77].min(40) },
        kind: data[111],
        subsystem: text_at(data, 768, 256),
        retry_delays: [delay(0), delay(1), delay(2)],
        keep_alive: f64::from(u16_at(data, 320)) / 10.0,
        in_capsule: (u32_at(data, 1792) as usize * 16).saturating_sub(64),
        most_commands: u16_at(data, 514),
    })
}

/// Size in logical blocks and bytes of one, as Identify Namespace tells.
pub fn namespace_size(data: &[u8]) -> Option<(u64, usize)> {
    if data.len() < IDENTIFY_LEN {
        return None;
    }
    let format = usize::from(data[26] & 0xf);
    let shift = data[128 + 4 * format + 2];
    (9..=16).contains(&shift).then(|| (u64_at(data, 0), 1 << shift))
}

/// Active namespaces of one answer of the list.
pub fn namespace_list(data: &[u8]) -> Vec<u32> {
    data.chunks_exact(4).map(|one| u32_at(one, 0)).take_while(|id| *id != 0).collect()
}

// Commands that a host sends.

pub fn property_get(offset: u32) -> Sqe {
    let wide = u32::from(offset == property::CAP);
    let cdw = [wide, offset, 0, 0, 0, 0];
    Sqe { opcode: opcode::FABRICS, nsid: u32::from(opcode::PROPERTY_GET), cdw, ..Sqe::default() }
}

pub fn property_set(offset: u32, value: u32) -> Sqe {
    let cdw = [0, offset, value, 0, 0, 0];
    Sqe { opcode: opcode::FABRICS, nsid: u32::from(opcode::PROPERTY_SET), cdw, ..Sqe::default() }
}

/// Identify by CNS; brings 4096 bytes.
pub fn identify(cns: u8, nsid: u32) -> Sqe {
    Sqe { opcode: opcode::IDENTIFY, nsid, cdw: [u32::from(cns), 0, 0, 0, 0, 0], ..Sqe::default() }
}

/// Get Log Page of `length` bytes (a multiple of 4, 4 at least) from `offset`. `keep`: events of its kind stay masked.
pub fn get_log(page: u8, offset: u64, length: usize, keep: bool) -> Sqe {
    let dwords = (length / 4 - 1) as u32;
    let first = u32::from(page) | u32::from(keep) << 15 | dwords << 16;
    let cdw = [first, dwords >> 16, offset as u32, (offset >> 32) as u32, 0, 0];
    Sqe { opcode: opcode::GET_LOG_PAGE, cdw, ..Sqe::default() }
}

pub fn set_feature(id: u8, value: u32) -> Sqe {
    Sqe { opcode: opcode::SET_FEATURES, cdw: [u32::from(id), value, 0, 0, 0, 0], ..Sqe::default() }
}

pub fn get_feature(id: u8) -> Sqe {
    Sqe { opcode: opcode::GET_FEATURES, cdw: [u32::from(id), 0, 0, 0, 0, 0], ..Sqe::default() }
}

pub fn plain(opcode: u8) -> Sqe {
    Sqe { opcode, ..Sqe::default() }
}

/// Events that a host of the subset asks for.
pub fn all_events() -> u32 {
    [Notice::Namespaces, Notice::Access, Notice::Discovery].iter().fold(0, |mask, notice| mask | notice.bit())
}

/// Bytes that an admin command of the subset brings.
pub fn brings(sqe: &Sqe) -> usize {
    match sqe.opcode {
        opcode::IDENTIFY => IDENTIFY_LEN,
        opcode::GET_LOG_PAGE => {
            let dwords = u64::from(sqe.cdw[0] >> 16) | u64::from(sqe.cdw[1] & 0xffff) << 16;
            ((dwords + 1) * 4) as usize
        }
        _ => 0,
    }
}
