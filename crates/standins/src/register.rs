//! The node register on loopback, a discovery controller: knows which processes run, tells it late, and fails when
//! scripted.
//!
//! Nodes are records of the discovery log; a node that drains is inaccessible in the ANA log, one that is gone is in
//! neither. A change is told by events to hosts that asked for them; where the register must be asked, reading the
//! log can fail.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use quaypath::types::NodeCondition;
use quaypath_initiator::node_list::NodeEntry;
use quaypath_nvme::admin::{ana, log, Do, Group, Kind, Notice, Record, View};
use quaypath_nvme::association::Associations;
use quaypath_nvme::command::{opcode, Cqe, Sqe};
use quaypath_nvme::controller::{Controller, Event};
use quaypath_nvme::status;
use quaypath_record::{Event as Line, ListedCondition, Writer};
use quaypath_settings::Mode;

use crate::runtime::{gateway_of, read_until_closed, serve_connections, OutputBuffer, Runtime, Stream};

/// How often changes that are due are looked for, seconds.
const LOOK: f64 = 0.01;
const MOST_CONNECTIONS: usize = 4096;

/// One change of the list and when it shows.
#[derive(Clone, Debug)]
struct Change {
    shows_at: f64,
    entry: NodeEntry,
    started_at: f64,
    port: u16,
}

#[derive(Default)]
struct Book {
    /// In the order in which they show; the list at a time is all changes that show by then, the last of each node.
    changes: Vec<Change>,
    ports: BTreeMap<String, u16>,
    fails: bool,
    /// More delay than each change had when it was made.
    late: f64,
}

impl Book {
    /// The list at a time: its generation and each node's last change, ports ascending.
    fn at(&self, now: f64) -> (u64, Vec<Change>) {
        let shown = self.changes.partition_point(|change| change.shows_at <= now);
        let mut last: BTreeMap<u16, Change> = BTreeMap::new();
        for change in &self.changes[..shown] {
            last.insert(change.port, change.clone());
        }
        last.retain(|_, change| change.entry.condition != NodeCondition::Removed);
        (shown as u64 + 1, last.into_values().collect())
    }
}

/// Where a gateway reaches a node: its number and the node's address give the address that it is told.
pub type AddressMap = Arc<dyn Fn(u32, &str) -> String + Send + Sync>;

/// A register that runs on a thread of its own.
pub struct Register {
    pub address: SocketAddr,
    book: Arc<Mutex<Book>>,
    record: Writer,
    _running: Runtime,
}

fn listed(condition: NodeCondition) -> ListedCondition {
    match condition {
        NodeCondition::Ready => ListedCondition::Ready,
        NodeCondition::Draining => ListedCondition::Draining,
        NodeCondition::Removed => ListedCondition::Removed,
    }
}

impl Register {
    pub fn start(mode: Mode, listener: TcpListener, record: Writer) -> io::Result<Register> {
        Self::start_with_addresses(mode, listener, record, None)
    }

    /// As [`Register::start`]; gateways are told addresses of `via` in place of the nodes' own. The record keeps to
    /// the nodes' own.
    pub fn start_with_addresses(
        mode: Mode, listener: TcpListener, record: Writer, via: Option<AddressMap>,
    ) -> io::Result<Register> {
        let address = listener.local_addr()?;
        let book = Arc::<Mutex<Book>>::default();
        let (shared, writer) = (book.clone(), record.clone());
        let running = Runtime::start("register", move |executor| {
            let listener = Async::new(listener).expect("a listener for the reactor");
            let state = State {
                book: shared,
                record: writer,
                mode,
                via,
                connections: BTreeMap::new(),
                associations: Associations::new(MOST_CONNECTIONS),
                next: 1,
                noticed: 1,
            };
            let state = Rc::new(RefCell::new(state));
            serve_connections(executor, listener, state.clone(), opened, serve);
            executor.spawn(notice(state)).detach();
        });
        Ok(Register { address, book, record, _running: running })
    }

    /// The list gets this entry, `after` seconds from now. A node that started long ago has no start time.
    pub fn set_entry(
        &self, node: &str, zone: &str, block: i64, condition: NodeCondition, started: Option<f64>, after: f64,
    ) {
        let now = self.record.clock.now();
        let mut book = self.book.lock().unwrap();
        let shows_at = now + after + if after > 0.0 { book.late } else { 0.0 };
        let (next, node, zone) = (book.ports.len() as u16, node.to_string(), zone.to_string());
        let port = *book.ports.entry(node.clone()).or_insert(next);
        // Changes of one node show in the order made; what is only about its condition keeps its start.
        let earlier: Vec<&Change> = book.changes.iter().filter(|change| change.port == port).collect();
        let shows_at = earlier.iter().map(|change| change.shows_at).fold(shows_at, f64::max);
        let known = earlier.last().map(|change| (change.started_at, change.entry.start, change.entry.age));
        let (started_at, start, age) = match (started, known) {
            (Some(at), _) => (at, (at * 1e6) as u64, Some(0.0)),
            (None, Some(known)) => known,
            (None, None) => (0.0, 0, None),
        };
        let entry = NodeEntry { node: node.clone(), zone, block, condition, age, start };
        let at = book.changes.partition_point(|change| change.shows_at <= shows_at);
        book.changes.insert(at, Change { shows_at, entry, started_at, port });
        self.record.put(Line::ListChanged { t: shows_at, node, condition: listed(condition) });
    }

    pub fn set_failing(&self, fails: bool) {
        self.book.lock().unwrap().fails = fails;
    }

    /// Changes made from now on show this much later.
    pub fn set_delay(&self, late: f64) {
        self.book.lock().unwrap().late = late;
    }
}

struct Connection {
    stream: Stream,
    machine: Controller,
    output: OutputBuffer,
    gateway: u32,
    /// Nodes that this host was told of.
    told: BTreeSet<String>,
}

struct State {
    book: Arc<Mutex<Book>>,
    record: Writer,
    mode: Mode,
    via: Option<AddressMap>,
    connections: BTreeMap<u64, Connection>,
    associations: Associations,
    next: u64,
    /// Generation that hosts were told of by events.
    noticed: u64,
}

type Shared = Rc<RefCell<State>>;

/// A connection that the listener gave; none beyond the bound.
fn opened(state: &Shared, stream: Stream) -> Option<u64> {
    let mut this = state.borrow_mut();
    if this.connections.len() >= MOST_CONNECTIONS {
        return None;
    }
    let number = this.next;
    this.next += 1;
    let (machine, output, told) = (Controller::default(), OutputBuffer::default(), BTreeSet::new());
    this.connections.insert(number, Connection { stream, machine, output, gateway: 0, told });
    Some(number)
}

async fn serve(state: Shared, number: u64, stream: Stream) {
    let _ = read_until_closed(&stream, |bytes| state.borrow_mut().read(number, bytes)).await;
    state.borrow_mut().close(number);
}

async fn notice(state: Shared) {
    loop {
        Timer::after(Duration::from_secs_f64(LOOK)).await;
        state.borrow_mut().look();
    }
}

/// What the register shows at one moment.
struct Face {
    generation: u64,
    shown: Vec<Change>,
    now: f64,
    /// Which gateway it is shown to, and where that one reaches nodes.
    to: u32,
    via: Option<AddressMap>,
}

impl View for Face {
    fn kind(&self) -> Kind {
        Kind::Discovery
    }
    fn subsystem(&self) -> &str {
        quaypath_initiator::register::DISCOVERY_NQN
    }
    fn groups(&self) -> Vec<Group> {
        let state = |change: &Change| match change.entry.condition {
            NodeCondition::Ready => ana::OPTIMIZED,
            NodeCondition::Draining => ana::INACCESSIBLE,
            NodeCondition::Removed => ana::PERSISTENT_LOSS,
        };
        self.shown.iter().map(|change| (u32::from(change.port) + 1, state(change), Vec::new())).collect()
    }
    fn changes(&self) -> u64 {
        self.generation
    }
    fn discovery(&self) -> Vec<Record> {
        let record = |change: &Change| {
            let node = &change.entry.node;
            let reached = self.via.as_ref().map_or_else(|| node.clone(), |via| via(self.to, node));
            let (address, service) = reached.rsplit_once(':').unwrap_or((&reached, ""));
            Record {
                port: change.port,
                address: address.into(),
                service: service.into(),
                subsystem: format!("nqn.2026-12.example.quaypath:node:{}", change.entry.node),
                zone: change.entry.zone.clone(),
                block: change.entry.block,
                start: change.entry.start,
                age: change.entry.age.map(|_| (self.now - change.started_at).max(0.0)),
            }
        };
        self.shown.iter().map(record).collect()
    }
}

impl State {
    fn face(&self, to: u32) -> Face {
        let now = self.record.clock.now();
        let (generation, shown) = self.book.lock().unwrap().at(now);
        Face { generation, shown, now, to, via: self.via.clone() }
    }

    fn read(&mut self, number: u64, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        let mut events = Vec::new();
        let mut good = connection.machine.feed(bytes, &mut events).is_ok();
        for event in events {
            match event {
                Event::Connect { queue, controller, host, keep_alive_ms, .. } => {
                    let now = self.record.clock.now();
                    let given =
                        self.associations.connect(now, number, queue, controller, &host, keep_alive_ms);
                    let connection = self.connections.get_mut(&number).unwrap();
                    connection.gateway = gateway_of(&host);
                    connection.machine.answer(given);
                }
                Event::Command { sqe, .. } => self.command(number, &sqe),
                Event::Terminated { .. } => good = false,
            }
        }
        self.flush(number) && good
    }

    fn command(&mut self, number: u64, sqe: &Sqe) {
        let gateway = self.connections.get(&number).map_or(0, |connection| connection.gateway);
        let (now, face) = (self.record.clock.now(), self.face(gateway));
        let reads = sqe.opcode == opcode::GET_LOG_PAGE;
        let fails = reads && self.mode == Mode::Asked && self.book.lock().unwrap().fails;
        let reply = match self.associations.command(now, number, sqe, &face) {
            Some(Do::Respond(cqe, _)) if fails => {
                Some((Cqe { cid: cqe.cid, status: status::INTERNAL_ERROR, ..Cqe::default() }, Vec::new()))
            }
            Some(Do::Respond(cqe, data)) => Some((cqe, data)),
            Some(Do::Disconnect(cqe)) => Some((cqe, Vec::new())),
            Some(Do::Abort { cid, command, .. }) => {
                let cqe = Cqe { cid: command, status: status::ABORTED_BY_REQUEST, ..Cqe::default() };
                self.respond(number, cqe, &[]);
                Some((Cqe { cid, ..Cqe::default() }, Vec::new()))
            }
            Some(Do::Hold) | None => None,
        };
        let Some((cqe, data)) = reply else { return self.due(number) };
        self.respond(number, cqe, &data);
        self.due(number);
        // The access states are the last part that a host reads of a list: with them it is told.
        if reads && !fails && sqe.cdw[0] as u8 == log::ANA && self.flush(number) {
            self.told(number, &face);
        }
    }

    fn due(&mut self, number: u64) {
        while let Some(cqe) = self.associations.due(number) {
            self.respond(number, cqe, &[]);
        }
    }

    fn told(&mut self, number: u64, face: &Face) {
        let t = self.record.clock.now();
        let connection = self.connections.get_mut(&number).unwrap();
        let gateway = connection.gateway;
        let before = std::mem::take(&mut connection.told);
        let tell = |node: &str, condition, listed_at| {
            self.record.put(Line::ListEntrySent { t, gateway, node: node.into(), condition, listed_at });
        };
        for change in &face.shown {
            tell(&change.entry.node, listed(change.entry.condition), change.shows_at);
            connection.told.insert(change.entry.node.clone());
        }
        for node in before.difference(&connection.told) {
            tell(node, ListedCondition::Removed, t);
        }
    }

    fn look(&mut self) {
        let face = self.face(0);
        for number in self.associations.lost(face.now) {
            self.close(number);
        }
        if face.generation == self.noticed {
            return;
        }
        self.noticed = face.generation;
        for notice in [Notice::Discovery, Notice::Access] {
            for (number, cqe) in self.associations.notice(notice) {
                self.respond(number, cqe, &[]);
                self.flush(number);
            }
        }
    }

    fn respond(&mut self, number: u64, cqe: Cqe, data: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.machine.respond(cqe, data);
        }
    }

    fn flush(&mut self, number: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        connection.output.append(&mut connection.machine.out);
        connection.output.flush(connection.stream.get_ref()).is_ok()
    }

    fn close(&mut self, number: u64) {
        if let Some(connection) = self.connections.remove(&number) {
            let _ = connection.stream.get_ref().shutdown(std::net::Shutdown::Both);
        }
        for other in self.associations.ended(number) {
            self.close(other);
        }
    }
}
