//! The node register on loopback, a discovery controller. It serves the list of nodes, shows changes after a delay, and
//! fails by script.
//!
//! Nodes are records of the discovery log. A draining node is inaccessible in the ANA log; a removed node is in neither
//! log. Hosts that asked for events are notified of changes. In the mode in which hosts poll the register, reading a log
//! can fail.

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

/// Interval at which the register checks for changes that are due, seconds.
const CHECK_INTERVAL: f64 = 0.01;
/// Maximum number of connections; further ones are closed.
const MAX_CONNECTIONS: usize = 4096;

/// One change of the list and the time from which it is visible, in seconds of the clock of the record.
#[derive(Clone, Debug)]
struct Change {
    visible_at: f64,
    entry: NodeEntry,
    /// Start time of the node, on the same clock.
    started_at: f64,
    /// Port id of the node in the logs.
    port: u16,
}

/// All changes of the list, and the faults of the register.
#[derive(Default)]
struct ChangeLog {
    /// In order of visibility. The list at a time consists of the last visible change of each node.
    changes: Vec<Change>,
    ports: BTreeMap<String, u16>,
    /// Reading a log fails.
    fails: bool,
    /// Delay that is added to new changes, seconds.
    delay: f64,
}

impl ChangeLog {
    /// The list at `now`: its generation, and the last change of each listed node by ascending port id.
    fn list_at(&self, now: f64) -> (u64, Vec<Change>) {
        let visible_count = self.changes.partition_point(|change| change.visible_at <= now);
        let mut last_changes: BTreeMap<u16, Change> = BTreeMap::new();
        for change in &self.changes[..visible_count] {
            last_changes.insert(change.port, change.clone());
        }
        last_changes.retain(|_, change| change.entry.condition != NodeCondition::Removed);
        (visible_count as u64 + 1, last_changes.into_values().collect())
    }
}

/// Maps the number of a gateway and the address of a node to the address at which the gateway reaches the node.
pub type AddressMap = Arc<dyn Fn(u32, &str) -> String + Send + Sync>;

/// A register that runs on a thread of its own.
pub struct Register {
    /// Address that it listens on.
    pub address: SocketAddr,
    log: Arc<Mutex<ChangeLog>>,
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
    /// Starts the register; gateways receive the own addresses of the nodes.
    pub fn start(mode: Mode, listener: TcpListener, record: Writer) -> io::Result<Register> {
        Self::start_with_addresses(mode, listener, record, None)
    }

    /// As [`Register::start`], but gateways receive the addresses that `addresses` gives. The record contains the own
    /// addresses of the nodes.
    pub fn start_with_addresses(
        mode: Mode, listener: TcpListener, record: Writer, addresses: Option<AddressMap>,
    ) -> io::Result<Register> {
        let address = listener.local_addr()?;
        let log = Arc::<Mutex<ChangeLog>>::default();
        let (shared, writer) = (log.clone(), record.clone());
        let running = Runtime::start("register", move |executor| {
            let listener = Async::new(listener).expect("a listener for the reactor");
            let state = State {
                log: shared,
                record: writer,
                mode,
                addresses,
                connections: BTreeMap::new(),
                associations: Associations::new(MAX_CONNECTIONS),
                next_number: 1,
                notified_generation: 1,
            };
            let state = Rc::new(RefCell::new(state));
            serve_connections(executor, listener, state.clone(), connection_opened, serve);
            executor.spawn(notify_changes(state)).detach();
        });
        Ok(Register { address, log, record, _running: running })
    }

    /// Sets the entry of a node, visible `after` seconds from now. `started` is the start time of the node in seconds; if
    /// it is none, the node keeps its earlier start time or, without one, counts as started long ago.
    pub fn set_entry(
        &self, node: &str, zone: &str, block: i64, condition: NodeCondition, started: Option<f64>, after: f64,
    ) {
        let now = self.record.clock.now();
        let mut log = self.log.lock().unwrap();
        let visible_at = now + after + if after > 0.0 { log.delay } else { 0.0 };
        let (next_port, node, zone) = (log.ports.len() as u16, node.to_string(), zone.to_string());
        let port = *log.ports.entry(node.clone()).or_insert(next_port);
        // Changes of one node become visible in the order in which they were made. A change without a start time keeps
        // the earlier one.
        let earlier: Vec<&Change> = log.changes.iter().filter(|change| change.port == port).collect();
        let visible_at = earlier.iter().map(|change| change.visible_at).fold(visible_at, f64::max);
        let earlier_start =
            earlier.last().map(|change| (change.started_at, change.entry.start, change.entry.age));
        let (started_at, start, age) = match (started, earlier_start) {
            (Some(started_at), _) => (started_at, (started_at * 1e6) as u64, Some(0.0)),
            (None, Some(earlier_start)) => earlier_start,
            (None, None) => (0.0, 0, None),
        };
        let entry = NodeEntry { node: node.clone(), zone, block, condition, age, start };
        let index = log.changes.partition_point(|change| change.visible_at <= visible_at);
        log.changes.insert(index, Change { visible_at, entry, started_at, port });
        self.record.put(Line::ListChanged { t: visible_at, node, condition: listed(condition) });
    }

    /// Switches the fault that reading a log fails; it has an effect only if hosts poll the register.
    pub fn set_failing(&self, fails: bool) {
        self.log.lock().unwrap().fails = fails;
    }

    /// Sets the delay in seconds that is added to changes made from now on, except to changes with `after` 0.
    pub fn set_delay(&self, delay: f64) {
        self.log.lock().unwrap().delay = delay;
    }
}

/// One connection: a queue of an association.
struct Connection {
    stream: Stream,
    protocol: Controller,
    output: OutputBuffer,
    gateway: u32,
    /// Nodes in the list that this host read last.
    sent_nodes: BTreeSet<String>,
}

/// State of the register, shared by its tasks.
struct State {
    log: Arc<Mutex<ChangeLog>>,
    record: Writer,
    mode: Mode,
    addresses: Option<AddressMap>,
    connections: BTreeMap<u64, Connection>,
    associations: Associations,
    next_number: u64,
    /// Generation of the list that hosts were last notified of.
    notified_generation: u64,
}

type SharedState = Rc<RefCell<State>>;

/// Registers a new connection and returns its number; none at the maximum number of connections.
fn connection_opened(state: &SharedState, stream: Stream) -> Option<u64> {
    let mut this = state.borrow_mut();
    if this.connections.len() >= MAX_CONNECTIONS {
        return None;
    }
    let number = this.next_number;
    this.next_number += 1;
    let (protocol, output, sent_nodes) = (Controller::default(), OutputBuffer::default(), BTreeSet::new());
    this.connections.insert(number, Connection { stream, protocol, output, gateway: 0, sent_nodes });
    Some(number)
}

/// Reads a connection until it ends.
async fn serve(state: SharedState, number: u64, stream: Stream) {
    let _ = read_until_closed(&stream, |bytes| state.borrow_mut().read(number, bytes)).await;
    state.borrow_mut().close(number);
}

/// Notifies hosts of changes when they become visible.
async fn notify_changes(state: SharedState) {
    loop {
        Timer::after(Duration::from_secs_f64(CHECK_INTERVAL)).await;
        state.borrow_mut().check_changes();
    }
}

/// The list at one time, as one gateway receives it.
struct ListView {
    generation: u64,
    changes: Vec<Change>,
    now: f64,
    /// Number of the gateway that receives the list.
    gateway: u32,
    addresses: Option<AddressMap>,
}

impl View for ListView {
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
        self.changes.iter().map(|change| (u32::from(change.port) + 1, state(change), Vec::new())).collect()
    }
    fn changes(&self) -> u64 {
        self.generation
    }
    fn discovery(&self) -> Vec<Record> {
        let record = |change: &Change| {
            let node = &change.entry.node;
            let address = self
                .addresses
                .as_ref()
                .map_or_else(|| node.clone(), |addresses| addresses(self.gateway, node));
            let (address, service) = address.rsplit_once(':').unwrap_or((&address, ""));
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
        self.changes.iter().map(record).collect()
    }
}

impl State {
    fn view(&self, gateway: u32) -> ListView {
        let now = self.record.clock.now();
        let (generation, changes) = self.log.lock().unwrap().list_at(now);
        ListView { generation, changes, now, gateway, addresses: self.addresses.clone() }
    }

    /// Handles received bytes. Returns whether the connection continues.
    fn read(&mut self, number: u64, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        let mut events = Vec::new();
        let mut is_valid = connection.protocol.feed(bytes, &mut events).is_ok();
        for event in events {
            match event {
                Event::Connect { queue, controller, host, keep_alive_ms, .. } => {
                    let now = self.record.clock.now();
                    let response =
                        self.associations.connect(now, number, queue, controller, &host, keep_alive_ms);
                    let connection = self.connections.get_mut(&number).unwrap();
                    connection.gateway = gateway_of(&host);
                    connection.protocol.answer(response);
                }
                Event::Command { sqe, .. } => self.command(number, &sqe),
                Event::Terminated { .. } => is_valid = false,
            }
        }
        self.flush(number) && is_valid
    }

    /// Answers a command.
    fn command(&mut self, number: u64, sqe: &Sqe) {
        let gateway = self.connections.get(&number).map_or(0, |connection| connection.gateway);
        let (now, view) = (self.record.clock.now(), self.view(gateway));
        let reads_log = sqe.opcode == opcode::GET_LOG_PAGE;
        let fails = reads_log && self.mode == Mode::Asked && self.log.lock().unwrap().fails;
        let reply = match self.associations.command(now, number, sqe, &view) {
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
        let Some((cqe, data)) = reply else { return self.respond_due(number) };
        self.respond(number, cqe, &data);
        self.respond_due(number);
        // A host reads the ANA log last, so with it the host has received the whole list.
        if reads_log && !fails && sqe.cdw[0] as u8 == log::ANA && self.flush(number) {
            self.record_sent_list(number, &view);
        }
    }

    /// Sends responses to held commands that are due.
    fn respond_due(&mut self, number: u64) {
        while let Some(cqe) = self.associations.due(number) {
            self.respond(number, cqe, &[]);
        }
    }

    /// Records the entries that a host has read, and as removed those that it has no longer.
    fn record_sent_list(&mut self, number: u64, view: &ListView) {
        let t = self.record.clock.now();
        let connection = self.connections.get_mut(&number).unwrap();
        let gateway = connection.gateway;
        let previous = std::mem::take(&mut connection.sent_nodes);
        let record_entry = |node: &str, condition, listed_at| {
            self.record.put(Line::ListEntrySent { t, gateway, node: node.into(), condition, listed_at });
        };
        for change in &view.changes {
            record_entry(&change.entry.node, listed(change.entry.condition), change.visible_at);
            connection.sent_nodes.insert(change.entry.node.clone());
        }
        for node in previous.difference(&connection.sent_nodes) {
            record_entry(node, ListedCondition::Removed, t);
        }
    }

    /// Closes expired associations and sends events if the list has changed.
    fn check_changes(&mut self) {
        let view = self.view(0);
        for number in self.associations.lost(view.now) {
            self.close(number);
        }
        if view.generation == self.notified_generation {
            return;
        }
        self.notified_generation = view.generation;
        for notice in [Notice::Discovery, Notice::Access] {
            for (number, cqe) in self.associations.notice(notice) {
                self.respond(number, cqe, &[]);
                self.flush(number);
            }
        }
    }

    /// Queues a response for a connection.
    fn respond(&mut self, number: u64, cqe: Cqe, data: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.protocol.respond(cqe, data);
        }
    }

    /// Writes pending output. Returns whether the connection is intact.
    fn flush(&mut self, number: u64) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        connection.output.append(&mut connection.protocol.out);
        connection.output.flush(connection.stream.get_ref()).is_ok()
    }

    /// Closes a connection and the others of its association.
    fn close(&mut self, number: u64) {
        if let Some(connection) = self.connections.remove(&number) {
            let _ = connection.stream.get_ref().shutdown(std::net::Shutdown::Both);
        }
        for sibling in self.associations.ended(number) {
            self.close(sibling);
        }
    }
}
