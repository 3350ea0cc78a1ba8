//! State of one initiator outside the core: open transactions, connections, nodes and timers. Every socket event
//! becomes a call of the core here, and the core's actions are carried out here; this module decides nothing.
//!
//! Bounds, and what happens when they are reached: client connections (a new one is closed at once), open transactions
//! and data held for one client connection (a command is refused before the core), commands at one node (the queue
//! size; then a new association is opened), waits for unfinished PDUs and for peers that do not read (the connection is
//! closed).

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, Write};
use std::net::TcpStream;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Instant;

use async_executor::LocalExecutor;
use async_io::Async;
use nanorand::{Rng, WyRand};
use quaypath::types::*;
use quaypath_fleet::signal::{SignalBehavior, Signals};
use quaypath_fleet::MemberId;
use quaypath_nvme::admin::{plain, Do};
use quaypath_nvme::association::Associations;
use quaypath_nvme::command::{host_tag, opcode, Cqe, Marks, Sqe, Told};
use quaypath_nvme::controller::{self, Controller};
use quaypath_nvme::host::{self, Host};
use quaypath_nvme::{status, BLOCK_SIZE};
use quaypath_record::{background::BackgroundFile, Clock};
use quaypath_settings::{Deployment, Mode};
use rustix::ioctl;
use tracing::{debug, info, warn};

use crate::core::{Action, Actions, Core};
use crate::counts::Counts;
use crate::event_loop::{Driver, Notify};
use crate::fleet::SkewedClock;
use crate::index::Index;
use crate::net;
use crate::node_association::{Effect, Event as AssociationEvent, NodeAssociation};
use crate::node_list::{ListSnapshot, NodeList, RegisterCall};
use crate::outcome::{outcome, Progress, ShotEnd};
use crate::peer::{write_output, StallDetector};
use crate::peer_signals::PeerSignals;
use crate::polls::{spawn, take_summary, Peer, TaskKind};
use crate::run::Options;
use crate::subsystem::GatewaySubsystem;
use crate::timer_wheel::TimerWheel;

/// Limit of the data that one client connection has requested and not yet received, bytes. At the limit, its commands
/// are refused with a retry delay.
const MAX_HELD_BYTES: usize = 16 << 20;
/// Size from which a batch for one write call takes no more commands, bytes.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// Interval of the timer that detects stalls of the loop, seconds.
const HEARTBEAT_INTERVAL: f64 = 0.02;
/// Time between two heartbeats that counts as a stall, seconds.
const STALL_THRESHOLD: f64 = 0.06;
/// Interval of the checks for idle connections and incomplete PDUs, seconds.
const SWEEP_INTERVAL: f64 = 0.25;
/// Limit of the calls to the register that wait to be sent. The core makes only one call in several seconds.
const MAX_REGISTER_CALLS: usize = 64;

/// Event for the core. Events are passed on in the order in which they occurred.
enum CoreEvent {
    /// A node list was received or could not be fetched.
    NodeList(ListKind, Vec<ListedNode>),
    /// Transaction.
    TransactionReceived(u64),
    /// Transaction, shot, what ended the shot, and the load report of the node's answer.
    ShotEnded(u64, u32, ShotEnd, Told),
    /// Transaction.
    ClientCancelled(u64),
    /// Tag of the core's timer.
    TimerFired(u64),
    /// A signal of a fleet member.
    Signal(MemberId, Vec<u8>),
}

enum Timer {
    /// Tag of the core's timer.
    Core(u64),
    /// The time limit of a shot, by transaction and shot number.
    ShotTimeout(u64, u32),
    /// The end of the drain grace of a node, after which no more bytes may be sent to it.
    DrainGrace(NodeId),
    Heartbeat,
    Sweep,
    /// The signals to other initiators are due.
    Signals,
}

/// A shot of an open transaction.
struct Shot {
    number: u32,
    node: NodeId,
    progress: Progress,
    /// Connection and command id, once the shot is queued on a connection.
    queued_on: Option<(u64, u16)>,
    /// Clock time, seconds.
    sent_at: f64,
}

/// A transaction that the core has not finished.
struct OpenTransaction {
    /// Client connection and the command id there, until the final answer.
    client: Option<(u64, u16)>,
    /// Index of the band.
    band: usize,
    volume: u32,
    /// Number of the block (the part of the data that one node holds).
    block: i64,
    /// Ordering key of the client, or the number of the extent when the client gives none.
    extent: u64,
    /// Number of initiators that the client reports for its volume, or that the settings give.
    initiators: f64,
    units: f64,
    /// Outer limit as a clock time, seconds.
    outer_limit: f64,
    /// The client's command.
    sqe: Sqe,
    /// Marks of the command as the nodes receive them, apart from those that each shot sets.
    marks: Marks,
    /// Data of a write or compare.
    data: Vec<u8>,
    /// Size of the data that a read returns, bytes; 0 for other commands.
    read_bytes: usize,
    /// Shots sent so far.
    shot_count: u32,
    /// The current shot.
    shot: Option<Shot>,
}

struct ClientConnection {
    stream: Rc<Async<TcpStream>>,
    machine: Controller,
    /// Bytes of the state machine's output that the kernel has taken.
    output_sent: usize,
    /// Transactions by command id.
    commands: HashMap<u16, u64>,
    /// Read data that the open commands will return, bytes.
    requested_bytes: usize,
    stall: StallDetector,
    /// A task waits until the connection is writable again.
    blocked: bool,
}

/// An encoded command of which no byte was handed to the kernel.
struct QueuedCommand {
    transaction: u64,
    shot: u32,
    cid: u16,
    bytes: Vec<u8>,
}

struct NodeConnection {
    node: NodeId,
    stream: Rc<Async<TcpStream>>,
    machine: Host,
    unsent: VecDeque<QueuedCommand>,
    /// Bytes of the write in progress.
    batch: Vec<u8>,
    /// Bytes of `batch` that the kernel has taken.
    batch_sent: usize,
    /// Commands whose bytes are in `batch`: start and end offset there, and command id.
    batch_commands: VecDeque<(usize, usize, u16)>,
    /// Transaction and shot by command id.
    shots: HashMap<u16, (u64, u32)>,
    stall: StallDetector,
    /// Clock time of the last submitted shot, seconds.
    last_used: f64,
    /// A task waits until the connection is writable again.
    blocked: bool,
    /// The connection takes no more commands, because its node restarted or its queue is full of command ids whose late
    /// answers never came.
    retired: bool,
    /// Number of the queue within its association.
    queue_number: u16,
    /// Admin queue: command id of the Keep Alive that awaits its answer.
    pending_keep_alive: Option<u16>,
    /// Admin queue: clock time of the last Keep Alive, seconds.
    keep_alive_sent_at: f64,
}

/// Connections of the association with a node.
#[derive(Default)]
enum NodeLink {
    #[default]
    Closed,
    Opening,
    /// I/O connections and the admin connection.
    Up(Vec<u64>, u64),
}

#[derive(Default)]
struct Node {
    link: NodeLink,
    /// Transaction and number of each shot that waits for a connection.
    waiting_shots: VecDeque<(u64, u32)>,
    /// Clock time since which the node list says that the node is draining or removed, seconds.
    unavailable_since: Option<f64>,
    node_association: NodeAssociation,
    /// Clock time of the node's start according to the last node list, seconds; 0 when it started long ago.
    started: Option<f64>,
}

/// One NVMe/TCP initiator with its core.
pub struct Instance {
    pub deployment: Rc<Deployment>,
    /// NVMe qualified name of this host at the nodes.
    pub name: String,
    core: Box<dyn Core>,
    actions: Actions,
    core_events: VecDeque<CoreEvent>,
    clock: Clock,
    /// Clock time of the current turn, seconds.
    now: f64,
    /// Clock time of the last heartbeat, seconds.
    heartbeat_at: f64,
    timers: TimerWheel<Timer>,
    timer_changed: Rc<Notify>,
    /// Open transactions by id.
    transactions: BTreeMap<u64, OpenTransaction>,
    next_id: u64,
    next_connection: u64,
    /// Associations of clients.
    associations: Associations,
    random: WyRand,
    index: Index,
    clients: HashMap<u64, ClientConnection>,
    node_connections: HashMap<u64, NodeConnection>,
    nodes: BTreeMap<NodeId, Node>,
    /// Connections with output to be written at the end of this turn.
    pending_output: Vec<u64>,
    node_list: NodeList,
    list_file: BackgroundFile,
    /// The core's calls to the register that are not sent yet.
    pub register_calls: VecDeque<RegisterCall>,
    pub register_calls_ready: Rc<Notify>,
    /// Base of the marks of commands that have none from their client.
    first_mark: u64,
    pub counts: Counts,
    /// Signals between initiators; none when the settings switch them off.
    peer_signals: Option<PeerSignals>,
    skewed_clock: SkewedClock,
    executor: Weak<LocalExecutor<'static>>,
    weak_self: Weak<RefCell<Instance>>,
}

impl Driver for Instance {
    /// The current clock time outside a turn, seconds.
    fn clock_now(&self) -> f64 {
        self.skewed_clock.monotonic(self.clock.now())
    }

    /// Reads the clock. All calls of the core during the turn get this time.
    fn begin_turn(&mut self) {
        self.now = self.clock_now().max(self.now);
    }

    /// Passes all pending events to the core, carries out the actions that it requests, and writes pending output.
    fn finish_turn(&mut self) {
        loop {
            self.run_core();
            if !self.core_events.is_empty() {
                continue;
            }
            let Some(connection) = self.pending_output.pop() else { break };
            self.flush_output(connection);
        }
    }

    fn next_timer(&self) -> Option<f64> {
        self.timers.next_expiry()
    }

    fn fire_timers(&mut self) {
        let mut due = Vec::new();
        self.timers.advance(self.now, &mut due);
        for timer in due {
            match timer {
                Timer::Core(tag) => self.core_events.push_back(CoreEvent::TimerFired(tag)),
                Timer::ShotTimeout(id, shot) => self.end_shot(id, shot, ShotEnd::TimedOut, Told::default()),
                Timer::DrainGrace(node) => self.drain_grace_ended(&node),
                // `run_signals` sets this timer again.
                Timer::Signals => {}
                Timer::Heartbeat => {
                    let interval = self.now - self.heartbeat_at;
                    self.counts.stalls += u64::from(interval > STALL_THRESHOLD);
                    self.counts.longest_stall = self.counts.longest_stall.max(interval);
                    self.heartbeat_at = self.now;
                    self.timers.set(self.now + HEARTBEAT_INTERVAL, Timer::Heartbeat);
                }
                Timer::Sweep => {
                    self.sweep();
                    self.timers.set(self.now + SWEEP_INTERVAL, Timer::Sweep);
                }
            }
            // The consequences of one timer are handled before the next timer.
            self.run_core();
        }
    }

    fn timer_changed(&self) -> Rc<Notify> {
        self.timer_changed.clone()
    }
}

impl Instance {
    /// Creates an instance with the last node list from disk, and sets its periodic timers.
    pub fn start(options: &Options, executor: &Rc<LocalExecutor<'static>>) -> Rc<RefCell<Instance>> {
        let (clock, deployment) = (Clock::default(), options.deployment.clone());
        let skewed_clock =
            options.fleet.as_ref().map_or_else(SkewedClock::default, |fleet| fleet.skewed_clock.clone());
        let now = skewed_clock.monotonic(clock.now());
        let (node_list, load_error) = NodeList::load(&options.list_path);
        if let Some(load_error) = load_error {
            warn!(told = load_error, "the last node list cannot be read; starting without it");
        }
        let signals = options.fleet.as_ref().and_then(|fleet| fleet.signals.clone());
        let peer_signals = signals.map(|config| PeerSignals::new(Signals::start(now, config)));
        let mut actions = Actions(VecDeque::new(), peer_signals.as_ref().map(|_| Vec::new()));
        let core = (options.core_factory)(now, options.seed, &deployment, &mut actions);
        let listed = node_list.listed();
        info!(nodes = listed.len(), "starting with the last node list");
        let instance = Rc::new(RefCell::new(Instance {
            name: format!("nqn.2026-12.example.quaypath:initiator:{}", options.number),
            deployment,
            core,
            actions,
            core_events: VecDeque::from([CoreEvent::NodeList(ListKind::Cached, listed)]),
            clock,
            now,
            heartbeat_at: now,
            timers: TimerWheel::new(now),
            timer_changed: Rc::default(),
            transactions: BTreeMap::new(),
            next_id: 1,
            next_connection: 1,
            associations: Associations::new(options.deployment.listen.connections),
            random: WyRand::new_seed(options.seed ^ 0x9a7),
            index: Index::new(&options.deployment),
            clients: HashMap::new(),
            node_connections: HashMap::new(),
            nodes: BTreeMap::new(),
            pending_output: Vec::new(),
            node_list,
            list_file: BackgroundFile::start(options.list_path.clone(), |path, error| {
                warn!(path = %path.display(), %error, "the node list is not kept");
            }),
            register_calls: VecDeque::new(),
            register_calls_ready: Rc::default(),
            first_mark: options.seed.rotate_left(17) | 1 << 63,
            counts: Counts::default(),
            peer_signals,
            skewed_clock,
            executor: Rc::downgrade(executor),
            weak_self: Weak::new(),
        }));
        let mut this = instance.borrow_mut();
        this.weak_self = Rc::downgrade(&instance);
        this.timers.set(now + HEARTBEAT_INTERVAL, Timer::Heartbeat);
        this.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        this.finish_turn();
        drop(this);
        instance
    }

    /// The executor, unless it has been dropped.
    pub fn executor(&self) -> Option<Rc<LocalExecutor<'static>>> {
        self.executor.upgrade()
    }

    /// Passes the pending events to the core, then carries out the actions that it requests. Those may cause new
    /// events.
    fn run_core(&mut self) {
        while let Some(event) = self.core_events.pop_front() {
            self.pass_to_core(event);
        }
        self.run_signals();
        while let Some(action) = self.actions.0.pop_front() {
            self.execute(action);
        }
    }

    fn pass_to_core(&mut self, event: CoreEvent) {
        let (now, out) = (self.now, &mut self.actions);
        let call_started = Instant::now();
        match event {
            CoreEvent::NodeList(kind, listed) => {
                self.core.node_list_received(now, kind, &listed, out);
                self.counts.core_seconds += call_started.elapsed().as_secs_f64();
                self.fence_unavailable_nodes(&listed, kind);
                return;
            }
            CoreEvent::TransactionReceived(id) => {
                let Some(transaction) = self.transactions.get(&id) else { return };
                let plan = self.deployment.volumes[&transaction.volume].plan;
                let extent = ExtentId(Arc::from(format!("{}:{}", transaction.volume, transaction.extent)));
                let volume = VolumeId(Arc::from(transaction.volume.to_string()));
                self.core.transaction_received(
                    now,
                    TransactionId(id),
                    transaction.initiators,
                    Some(PlanId(plan)),
                    BandId(transaction.band),
                    Some(extent),
                    transaction.outer_limit - now,
                    transaction.units,
                    volume,
                    Some(BlockId(transaction.block)),
                    out,
                );
            }
            CoreEvent::ShotEnded(id, number, end, report) => {
                let Some(transaction) = self.transactions.get_mut(&id) else { return };
                let Some(shot) = transaction.shot.take_if(|shot| shot.number == number) else { return };
                let outcome = outcome(end, shot.progress);
                let is_finished = transaction.client.is_none();
                let (usage, others_units) = (f64::from(report.used), f64::from(report.others));
                let (latency, is_last) = (now - shot.sent_at, is_finished || outcome == Outcome::Settled);
                self.core.shot_completed(
                    now,
                    TransactionId(id),
                    &shot.node,
                    number,
                    usage,
                    latency,
                    is_last,
                    outcome,
                    others_units,
                    &[report.latency * 1e3],
                    out,
                );
                if is_finished {
                    self.transactions.remove(&id);
                }
            }
            CoreEvent::Signal(from, bytes) => {
                let peer_signals = self.peer_signals.iter_mut();
                peer_signals
                    .for_each(|signals| signals.signal_received(now, from, &bytes, self.core.as_mut(), out));
            }
            CoreEvent::ClientCancelled(id) => self.core.client_cancelled(now, TransactionId(id), out),
            CoreEvent::TimerFired(tag) => self.core.timer_fired(now, tag, out),
        }
        self.counts.core_seconds += call_started.elapsed().as_secs_f64();
    }

    /// Passes the core's observations to the signals and sends those that are due.
    fn run_signals(&mut self) {
        let Some(peer_signals) = &mut self.peer_signals else { return };
        if let Some(next_time) = peer_signals.run_due(self.now, self.core.as_mut(), &mut self.actions) {
            self.timers.set(next_time, Timer::Signals);
        }
    }

    /// Queues a signal that a fleet member sent.
    pub fn signal_received(&mut self, from: MemberId, bytes: Vec<u8>) {
        self.core_events.push_back(CoreEvent::Signal(from, bytes));
    }

    /// Records whether a fleet member is considered dead.
    pub fn member_status_changed(&mut self, member: MemberId, dead: bool) {
        self.peer_signals
            .iter_mut()
            .for_each(|peer_signals| peer_signals.signals.set_member_dead(member, dead));
    }

    /// Sets how this process signals from now on, as the script of a day requires.
    pub fn set_signal_behavior(&mut self, behavior: SignalBehavior) {
        self.peer_signals.iter_mut().for_each(|peer_signals| peer_signals.signals.set_behavior(behavior));
    }

    /// Takes the signals that wait to be sent, each with its receiver.
    pub fn take_outgoing_signals(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        self.peer_signals.iter_mut().flat_map(|peer_signals| peer_signals.outgoing.drain(..)).collect()
    }

    /// Notified when signals wait to be sent; none when the settings switch signals off.
    pub fn outgoing_signals_ready(&self) -> Option<Rc<Notify>> {
        self.peer_signals.as_ref().map(|peer_signals| peer_signals.outgoing_ready.clone())
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(id, stop_at, node) => self.send_shot(id, stop_at, node),
            Action::Cancel(id, shot) => {
                self.end_shot(id, shot, ShotEnd::Cancelled, Told::default());
            }
            Action::Decline(id, retry_after) => {
                let retry_after_ms = (retry_after * 1e3).round().clamp(0.0, f64::from(u32::MAX)) as u32;
                self.counts.declined += u64::from(self.answer_client(
                    id,
                    status::INTERRUPTED | status::CRD1,
                    retry_after_ms,
                    &[],
                ));
            }
            Action::Scrap(id) => {
                self.counts.scrapped +=
                    u64::from(self.answer_client(id, status::INTERNAL_ERROR | status::DNR, 0, &[]));
            }
            Action::Timer(after, tag) => self.timers.set(self.now + after.max(0.0), Timer::Core(tag)),
            Action::RegisterCall(call) => {
                if self.register_calls.len() < MAX_REGISTER_CALLS {
                    self.register_calls.push_back(call);
                    self.register_calls_ready.notify();
                }
            }
            Action::Close(node) => self.close_idle_association(&node),
            Action::Unsupported(action) => {
                debug!(
                    what = action,
                    "the core requested an action that no deployment of this gateway allows"
                )
            }
        }
    }

    // Timers.

    /// Time for which bytes that are read now may have waited because the loop had no turn, seconds.
    fn stall_delay(&self) -> f64 {
        let interval = self.now - self.heartbeat_at;
        if interval > STALL_THRESHOLD {
            interval
        } else {
            0.0
        }
    }

    /// Closes stalled, lost and idle connections, sends Keep Alives, and forgets nodes that are no longer needed.
    fn sweep(&mut self) {
        let (now, settings) = (self.now, self.deployment.connections.clone());
        let is_stalled = |stall: &StallDetector| stall.stalled_longer_than(now, settings.half_pdu);
        let stalled = self.clients.iter().filter(|(_, client)| is_stalled(&client.stall));
        // Output that a client does not read would stay in the kernel for as long as the client exists.
        let stalled_clients: Vec<u64> =
            stalled.inspect(|(_, client)| reset_on_close(&client.stream)).map(|(id, _)| *id).collect();
        // The close of one queue ends its association, and with it the others.
        for connection in stalled_clients {
            warn!(connection, "closed: the client left a PDU unfinished or does not read");
            self.close_client(connection);
        }
        for connection in self.associations.lost(now) {
            info!(connection, "closed: nothing was received from the client within its keep alive timeout");
            self.close_client(connection);
        }
        self.send_keep_alives();
        let stalled_nodes: Vec<u64> = self
            .node_connections
            .iter()
            .filter(|(_, node)| is_stalled(&node.stall))
            .map(|(id, _)| *id)
            .collect();
        for connection in stalled_nodes {
            warn!(connection, "closed: the node left a PDU unfinished or does not read");
            self.close_node_connection(connection);
        }
        let is_idle = |connection: &NodeConnection| {
            connection.machine.live() == 0
                && connection.unsent.is_empty()
                && connection.batch_sent == connection.batch.len()
                && (connection.retired || now - connection.last_used > settings.idle)
        };
        // An association is closed as a whole, by its admin queue, when all its I/O queues are idle.
        let mut closing = Vec::new();
        let mut associated: Vec<u64> = Vec::new();
        for node in self.nodes.values() {
            if let NodeLink::Up(ios, admin) = &node.link {
                associated.extend(ios.iter().chain([admin]));
                if ios.iter().all(|io| self.node_connections.get(io).is_none_or(is_idle)) {
                    closing.push(*admin);
                }
            }
        }
        let unassociated = self
            .node_connections
            .iter()
            .filter(|(id, connection)| !associated.contains(id) && is_idle(connection));
        closing.extend(unassociated.map(|(id, _)| *id));
        for connection in closing {
            let node = self.node_connections.get(&connection).filter(|_| associated.contains(&connection));
            let node = node.map(|connection| connection.node.clone());
            // This side closes the association because it is idle, so it is not a loss.
            node.into_iter()
                .for_each(|node| self.handle_association_event(&node, AssociationEvent::IdleClosed));
            self.close_node_connection(connection);
        }
        let available = self.nodes.iter().filter(|(_, node)| node.unavailable_since.is_none());
        let names: Vec<NodeId> = available.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.handle_association_event(name, AssociationEvent::Tick));
        // A node without connections and waiting shots is forgotten, unless a reconnect is due. A draining or removed
        // node is kept for 60 s.
        self.nodes.retain(|_, node| {
            let is_reconnecting =
                matches!(node.node_association.state(), crate::node_association::State::BackingOff { .. });
            let is_unused =
                matches!(node.link, NodeLink::Closed) && node.waiting_shots.is_empty() && !is_reconnecting;
            !(is_unused && node.unavailable_since.is_none_or(|since| now - since > 60.0))
        });
    }

    /// The counters, together with the current numbers of open transactions, connections, volumes and keys.
    pub fn current_counts(&mut self) -> Counts {
        (self.counts.open, self.counts.connections) =
            (self.transactions.len(), self.clients.len() + self.node_connections.len());
        (self.counts.volumes, self.counts.keys) = self.core.tracked_counts();
        self.counts.superseded = self.list_file.superseded();
        self.counts.polls = take_summary();
        self.counts.signals = self.peer_signals.as_ref().map(|peer_signals| peer_signals.signals.counts());
        self.counts.clone()
    }

    /// Sends Keep Alives to nodes, and closes associations whose node did not answer one in time.
    fn send_keep_alives(&mut self) {
        let (now, timeout) = (self.now, self.deployment.connections.keep_alive);
        if timeout <= 0.0 {
            return;
        }
        let up = self.nodes.values().filter_map(|node| match &node.link {
            NodeLink::Up(_, admin) => Some(*admin),
            _ => None,
        });
        let admins: Vec<u64> = up.collect();
        for admin in admins {
            let Some(connection) = self.node_connections.get_mut(&admin) else { continue };
            let since = now - connection.keep_alive_sent_at;
            // The limit is half of the timeout: this side, which receives no answer, gives up before the node, whose
            // own timeout started with the Keep Alive.
            if connection.pending_keep_alive.is_some() && since > timeout / 2.0 {
                warn!(node = %connection.node.0, "closed: the node did not answer a Keep Alive in time");
                self.counts.keep_alive_lost += 1;
                self.close_node_connection(admin);
            } else if connection.pending_keep_alive.is_none() && since > timeout / 3.0 {
                if let Some((cid, bytes)) =
                    connection.machine.submit(plain(opcode::KEEP_ALIVE), Vec::new(), 0)
                {
                    (connection.pending_keep_alive, connection.keep_alive_sent_at) = (Some(cid), now);
                    connection.machine.out.extend(bytes);
                    self.pending_output.push(admin);
                }
            }
        }
    }

    // The register.

    /// Takes a node list from the register, stores it, and queues it for the core.
    pub fn list_received(&mut self, snapshot: &ListSnapshot) {
        let listed = self.node_list.update(self.now, snapshot);
        self.list_file.set_content(self.node_list.bytes());
        debug!(
            revision = snapshot.revision,
            entries = listed.len(),
            "received a node list from the register"
        );
        self.core_events.push_back(CoreEvent::NodeList(ListKind::Whole, listed));
    }

    /// The ready node of each block, according to the current node list.
    pub fn ready_nodes(&self) -> BTreeMap<BlockId, NodeId> {
        let ready =
            self.node_list.listed().into_iter().filter(|entry| entry.condition == NodeCondition::Ready);
        ready.map(|entry| (entry.block, entry.node_id)).collect()
    }

    /// Queues a failed fetch for the core, when a call failed or the connection to the register ended while a call may
    /// be pending.
    pub fn register_call_failed(&mut self) {
        if self.deployment.register.mode == Mode::Asked {
            self.core_events.push_back(CoreEvent::NodeList(ListKind::Failed, Vec::new()));
        }
    }

    /// Stops sending to nodes that are draining or removed: shots that wait in queues of this gateway end at once, and
    /// connections whose bytes are still in the kernel at the end of the drain grace are reset.
    fn fence_unavailable_nodes(&mut self, listed: &[ListedNode], kind: ListKind) {
        let mut unavailable: Vec<NodeId> = Vec::new();
        for ListedNode { node_id: node, condition, started, .. } in listed {
            match condition {
                NodeCondition::Ready => {
                    let Some(state) = self.nodes.get_mut(node) else { continue };
                    state.unavailable_since = None;
                    let restarted = state.started.replace(*started).is_some_and(|before| before != *started);
                    self.handle_association_event(node, AssociationEvent::NodeReady);
                    if restarted {
                        self.handle_association_event(node, AssociationEvent::NodeRestarted);
                    }
                }
                _ => unavailable.push(node.clone()),
            }
        }
        if matches!(kind, ListKind::Whole) {
            let is_listed = |node: &NodeId| listed.iter().any(|entry| entry.node_id == *node);
            unavailable.extend(self.nodes.keys().filter(|node| !is_listed(node)).cloned());
        }
        let grace = self.drain_grace();
        for name in unavailable {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&name).filter(|node| node.unavailable_since.is_none()) else {
                continue;
            };
            node.unavailable_since = Some(now);
            node.node_association.handle(now, AssociationEvent::NodeUnavailable, 0.0);
            self.timers.set(now + grace, Timer::DrainGrace(name.clone()));
            let waiting: Vec<(u64, u32)> = node.waiting_shots.drain(..).collect();
            let connections = self.node_connections.values().filter(|connection| connection.node == name);
            let queued: Vec<_> = connections
                .flat_map(|connection| {
                    connection.unsent.iter().map(|command| (command.transaction, command.shot))
                })
                .collect();
            for (id, shot) in waiting.into_iter().chain(queued) {
                self.end_shot(id, shot, ShotEnd::ConnectionLost, Told::default());
            }
        }
    }

    /// Time after which bytes for a draining node are discarded from the kernel, seconds: 90 % of the drain grace less
    /// 10 ms, so that the reset arrives in time.
    fn drain_grace(&self) -> f64 {
        (self.deployment.rule_parameters.drain_grace * 0.9 - 0.01).max(0.0)
    }

    fn drain_grace_ended(&mut self, name: &NodeId) {
        // The node may have become ready again, or have become unavailable again later. In the second case, a later
        // timer applies.
        let since = self.nodes.get(name).and_then(|node| node.unavailable_since);
        if since.is_none_or(|since| self.now - since < self.drain_grace() - 1e-6) {
            return;
        }
        let has_unsent_bytes = |connection: &NodeConnection| {
            let fd = connection.stream.get_ref();
            // Number of bytes that the peer's kernel has not acknowledged. The TIOCOUTQ request only stores a count in
            // an integer.
            let unacknowledged = unsafe {
                let getter = ioctl::Getter::<{ 0x5411 as ioctl::Opcode }, i32>::new();
                ioctl::ioctl(fd, getter)
            };
            connection.batch_sent < connection.batch.len() || unacknowledged.is_ok_and(|bytes| bytes > 0)
        };
        let late: Vec<u64> = self
            .node_connections
            .iter()
            .filter(|(_, connection)| connection.node == *name && has_unsent_bytes(connection))
            .inspect(|(_, connection)| reset_on_close(&connection.stream))
            .map(|(id, _)| *id)
            .collect();
        // The close of one queue ends its association, and with it the others.
        for connection in late {
            warn!(node = %name.0, "reset: commands for a draining node were not sent by the end of the drain grace");
            self.counts.drain_resets += 1;
            self.close_node_connection(connection);
        }
    }

    // Clients.

    /// Registers a new client connection and returns its number; none when the limit of connections is reached.
    pub fn client_connected(&mut self, stream: Rc<Async<TcpStream>>) -> Option<u64> {
        if self.clients.len() >= self.deployment.listen.connections {
            return None;
        }
        let connection = self.next_connection;
        self.next_connection += 1;
        let client = ClientConnection {
            stream,
            machine: Controller::default(),
            output_sent: 0,
            commands: HashMap::new(),
            requested_bytes: 0,
            stall: StallDetector { incomplete_since: Some(self.now), unread_since: None },
            blocked: false,
        };
        self.clients.insert(connection, client);
        Some(connection)
    }

    /// Handles bytes from a client. Returns false when the connection has to be closed.
    pub fn client_read(&mut self, connection: u64, bytes: &[u8]) -> bool {
        let Some(client) = self.clients.get_mut(&connection) else { return false };
        let mut events = Vec::new();
        let before = client.machine.whole();
        let result = client.machine.feed(bytes, &mut events);
        let progress = client.machine.whole() > before;
        self.pending_output.push(connection);
        let mut is_usable = result.is_ok();
        if let Err(error) = result {
            warn!(connection, why = %error, "a client broke the protocol");
        }
        for event in events {
            match event {
                controller::Event::Connect { queue, controller, host, keep_alive_ms, .. } => {
                    self.connect(connection, queue, controller, &host, keep_alive_ms);
                }
                controller::Event::Command { sqe, data } => self.command(connection, sqe, data),
                controller::Event::Terminated { status, info } => {
                    debug!(connection, status, info, "the client ended the connection");
                    is_usable = false;
                }
            }
        }
        if let Some(client) = self.clients.get_mut(&connection) {
            client.stall.record_read(self.now, progress, client.machine.unfinished());
        }
        if !is_usable {
            // The termination request to the client is still sent.
            self.finish_turn();
        }
        is_usable
    }

    fn connect(&mut self, connection: u64, queue: u16, controller: u16, host: &str, keep_alive_ms: u32) {
        let response =
            self.associations.connect(self.now, connection, queue, controller, host, keep_alive_ms);
        let Some(client) = self.clients.get_mut(&connection) else { return };
        client.machine.answer(response);
    }

    fn respond(&mut self, connection: u64, cid: u16, status: u16, dw0: u32, data: &[u8]) {
        self.respond_cqe(connection, Cqe { dw0, cid, status, ..Cqe::default() }, data);
    }

    fn respond_cqe(&mut self, connection: u64, cqe: Cqe, data: &[u8]) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.machine.respond(cqe, data);
            self.pending_output.push(connection);
        }
    }

    /// Handles a command of a client: validates it, and queues a read, write, write zeroes or compare as a
    /// transaction for the core.
    fn command(&mut self, connection: u64, sqe: Sqe, data: Vec<u8>) {
        let Some(client) = self.clients.get(&connection) else { return };
        let invalid_field = status::INVALID_FIELD | status::DNR;
        if client.machine.queue() == 0 {
            return self.admin_command(connection, &sqe);
        }
        self.associations.heard(self.now, connection);
        let enabled = self.associations.of(connection).filter(|(association, _)| association.admin.serves());
        let Some(host) = enabled.map(|(association, _)| host_tag(&association.host)) else {
            return self.respond(connection, sqe.cid, status::COMMAND_SEQUENCE | status::DNR, 0, &[]);
        };
        // The gateway holds no data that a flush could make durable: a write is answered after its node has it.
        if sqe.opcode == opcode::FLUSH {
            return self.respond(connection, sqe.cid, status::SUCCESS, 0, &[]);
        }
        if !matches!(sqe.opcode, opcode::READ | opcode::WRITE | opcode::WRITE_ZEROES | opcode::COMPARE) {
            return self.respond(connection, sqe.cid, status::INVALID_OPCODE | status::DNR, 0, &[]);
        }
        let deployment = self.deployment.clone();
        let Some(volume) = deployment.volumes.get(&sqe.nsid) else {
            return self.respond(connection, sqe.cid, status::INVALID_NAMESPACE | status::DNR, 0, &[]);
        };
        let marks = Marks::of(&sqe);
        let writes = matches!(sqe.opcode, opcode::WRITE | opcode::WRITE_ZEROES);
        let length = sqe.length();
        let band = match marks.band {
            0 => deployment.band_of(sqe.nsid, length as u32, writes),
            band => Some(usize::from(band) - 1),
        };
        // A write in a band for reads would be repeated like a read.
        let Some(band) = band.filter(|band| deployment.writes.get(*band) == Some(&writes)) else {
            return self.respond(connection, sqe.cid, invalid_field, 0, &[]);
        };
        let blocks = (length / BLOCK_SIZE) as u64;
        let placement = self.index.place(&deployment, sqe.nsid, sqe.slba());
        let Some(placement) = placement.filter(|_| sqe.slba() + blocks <= volume.size) else {
            return self.respond(connection, sqe.cid, status::LBA_RANGE | status::DNR, 0, &[]);
        };
        // A transaction goes to one node: the host has to split a transfer over two extents.
        if blocks > placement.remaining || length > quaypath_nvme::MAX_DATA {
            return self.respond(connection, sqe.cid, invalid_field, 0, &[]);
        }
        let (extent, block) = (placement.extent, placement.block);
        let read_bytes = if sqe.opcode == opcode::READ { length } else { 0 };
        let exceeds_held_bytes =
            client.requested_bytes + read_bytes + client.machine.out.len() > MAX_HELD_BYTES;
        if exceeds_held_bytes || self.transactions.len() >= deployment.listen.open {
            self.counts.refused += 1;
            let retry_after_ms = (deployment.core.max_retry_after * 1e3) as u32;
            return self.respond(
                connection,
                sqe.cid,
                status::INTERRUPTED | status::CRD1,
                retry_after_ms,
                &[],
            );
        }
        let max_budget = deployment.outer_limits[band];
        let requested_budget =
            if marks.budget_ms == 0 { max_budget } else { f64::from(marks.budget_ms) / 1e3 };
        // The time for which the command may have waited because the loop had no turn is deducted.
        let budget = (requested_budget.min(max_budget) - self.stall_delay()).max(1e-3);
        let units = match marks.units {
            0 => length.div_ceil(4096).min(deployment.max_units as usize) as f64,
            units => f64::from(units).min(f64::from(deployment.max_units)),
        };
        let id = self.next_id;
        self.next_id += 1;
        let initiators =
            if marks.initiators > 0 { f64::from(marks.initiators) } else { f64::from(volume.initiators) };
        let extent = if marks.key > 0 { u64::from(marks.key) } else { extent };
        let mark = if marks.mark > 0 { marks.mark } else { self.first_mark.wrapping_add(id << 8) };
        let transaction = OpenTransaction {
            client: Some((connection, sqe.cid)),
            band,
            volume: sqe.nsid,
            block,
            extent,
            initiators,
            units,
            outer_limit: self.now + budget,
            sqe,
            marks: Marks { band: band as u8 + 1, units: units as u8, mark, host, ..marks },
            data,
            read_bytes,
            shot_count: 0,
            shot: None,
        };
        let client = self.clients.get_mut(&connection).unwrap();
        client.commands.insert(sqe.cid, id);
        client.requested_bytes += read_bytes;
        self.transactions.insert(id, transaction);
        self.counts.transactions += 1;
        self.core_events.push_back(CoreEvent::TransactionReceived(id));
    }

    /// Handles a command of a client's admin queue.
    fn admin_command(&mut self, connection: u64, sqe: &Sqe) {
        let deployment = self.deployment.clone();
        let subsystem = GatewaySubsystem { deployment: &deployment };
        match self.associations.command(self.now, connection, sqe, &subsystem) {
            Some(Do::Respond(cqe, data)) => self.respond_cqe(connection, cqe, &data),
            Some(Do::Disconnect(cqe)) => self.respond_cqe(connection, cqe, &[]),
            Some(Do::Hold) | None => {}
            Some(Do::Abort { cid, queue, command }) => {
                let queue_connection = self.associations.beside(connection, queue);
                let found = queue_connection
                    .and_then(|io| self.clients.get(&io)?.commands.get(&command).map(|id| (io, *id)));
                if queue == 0 {
                    self.respond(connection, command, status::ABORTED_BY_REQUEST, 0, &[]);
                } else if let Some((io, id)) = found {
                    self.respond(io, command, status::ABORTED_BY_REQUEST, 0, &[]);
                    self.cancel_by_client(id);
                }
                // Bit 0 is set when the command was not aborted.
                let dw0 = u32::from(queue != 0 && found.is_none());
                self.respond(connection, cid, status::SUCCESS, dw0, &[]);
            }
        }
        while let Some(cqe) = self.associations.due(connection) {
            self.respond_cqe(connection, cqe, &[]);
        }
    }

    /// Sends the final answer of a transaction to its client. Returns false when the client already has one or has
    /// cancelled.
    fn answer_client(&mut self, id: u64, status: u16, dw0: u32, data: &[u8]) -> bool {
        let Some(transaction) = self.transactions.get_mut(&id) else { return false };
        let (client, is_finished, read_bytes) =
            (transaction.client.take(), transaction.shot.is_none(), transaction.read_bytes);
        if is_finished {
            self.transactions.remove(&id);
        }
        let Some((connection, cid)) = client else { return false };
        if let Some(client) = self.clients.get_mut(&connection) {
            client.commands.remove(&cid);
            client.requested_bytes -= read_bytes;
        }
        self.respond(connection, cid, status, dw0, data);
        true
    }

    /// Cancels a transaction on behalf of its client: queues the event for the core; no answer is sent any more.
    fn cancel_by_client(&mut self, id: u64) {
        let Some(transaction) = self.transactions.get_mut(&id) else { return };
        let Some((connection, cid)) = transaction.client.take() else { return };
        let (is_finished, read_bytes) = (transaction.shot.is_none(), transaction.read_bytes);
        if let Some(client) = self.clients.get_mut(&connection) {
            client.commands.remove(&cid);
            client.requested_bytes -= read_bytes;
        }
        self.counts.client_cancelled += 1;
        self.core_events.push_back(CoreEvent::ClientCancelled(id));
        if is_finished {
            // The queued event for the core does not need the transaction.
            self.transactions.remove(&id);
        }
    }

    /// Closes a client connection and all others of its association, and cancels their transactions.
    pub fn close_client(&mut self, connection: u64) {
        let Some(client) = self.clients.remove(&connection) else { return };
        let _ = client.stream.get_ref().shutdown(std::net::Shutdown::Both);
        let mut cancelled: Vec<u64> = client.commands.into_values().collect();
        cancelled.sort_unstable();
        cancelled.into_iter().for_each(|id| self.cancel_by_client(id));
        for sibling in self.associations.ended(connection) {
            self.close_client(sibling);
        }
    }

    // Shots.

    /// Sends a shot to a node on behalf of the core. It ends at the clock time `stop_at`, seconds, or at the outer
    /// limit if that is earlier; 0 means the outer limit.
    fn send_shot(&mut self, id: u64, stop_at: f64, node: NodeId) {
        let Some(transaction) = self.transactions.get_mut(&id) else { return };
        let number = transaction.shot_count;
        transaction.shot_count += 1;
        let stop_at =
            if stop_at > 0.0 { stop_at.min(transaction.outer_limit) } else { transaction.outer_limit };
        let (sent_at, progress) = (self.now, Progress::Connecting);
        transaction.shot = Some(Shot { number, node: node.clone(), progress, queued_on: None, sent_at });
        self.counts.shots += 1;
        self.counts.further_shots += u64::from(number > 0);
        if transaction.client.is_none() || stop_at <= self.now {
            return self.end_shot(id, number, ShotEnd::TimedOut, Told::default());
        }
        self.timers.set(stop_at, Timer::ShotTimeout(id, number));
        let state = self.nodes.entry(node.clone()).or_default();
        match &state.link {
            NodeLink::Up(ios, _) => {
                let ios = ios.clone();
                let io = self.least_loaded_queue(&ios);
                self.submit_shot(io, id, number);
            }
            NodeLink::Opening => state.waiting_shots.push_back((id, number)),
            NodeLink::Closed => {
                state.waiting_shots.push_back((id, number));
                self.handle_association_event(&node, AssociationEvent::ShotRequested);
            }
        }
    }

    /// Passes an event to the association state of a node and performs the effect.
    fn handle_association_event(&mut self, name: &NodeId, event: AssociationEvent) {
        let jitter = self.random.generate::<f64>();
        let Some(node) = self.nodes.get_mut(name) else { return };
        match node.node_association.handle(self.now, event, jitter) {
            Effect::Nothing => {}
            Effect::Open => self.open_association(name.clone()),
            Effect::Retire => {
                // Live commands finish on the old connections; the next shot opens a new association.
                if let NodeLink::Up(ios, admin) = std::mem::take(&mut node.link) {
                    for connection in ios.iter().chain([&admin]) {
                        self.node_connections
                            .get_mut(connection)
                            .into_iter()
                            .for_each(|connection| connection.retired = true);
                    }
                }
            }
        }
    }

    fn open_association(&mut self, name: NodeId) {
        let (Some(executor), Some(node)) = (self.executor.upgrade(), self.nodes.get_mut(&name)) else {
            return;
        };
        node.link = NodeLink::Opening;
        self.counts.connects += 1;
        let peer = Peer::Node(name.0.clone());
        spawn(&executor, TaskKind::NodeConnection, peer, net::open_association(self.weak_self.clone(), name));
    }

    /// The I/O connection that carries a shot: of those with room, the one with the fewest commands. The core decides
    /// whether and to which node the shot is sent.
    fn least_loaded_queue(&self, ios: &[u64]) -> u64 {
        let load = |io: &u64| {
            let connection = self.node_connections.get(io)?;
            Some((!connection.machine.has_room(), connection.machine.live(), *io))
        };
        ios.iter().filter_map(load).min().map_or(ios[0], |(_, _, io)| io)
    }

    /// Queues a shot on a connection. If the queue is full, the association is retired and the shot waits for a new
    /// one.
    fn submit_shot(&mut self, connection: u64, id: u64, number: u32) {
        let (Some(transaction), Some(node_connection)) =
            (self.transactions.get_mut(&id), self.node_connections.get_mut(&connection))
        else {
            return;
        };
        let Some(shot) = transaction.shot.as_mut().filter(|shot| shot.number == number) else { return };
        let remaining_ms = ((transaction.outer_limit - self.now).max(0.0) * 1e3).ceil() as u32;
        let marks = Marks {
            shot: number as u8,
            budget_ms: remaining_ms.max(1),
            key: transaction.extent as u32,
            ..transaction.marks
        };
        let blocks = (transaction.sqe.length() / BLOCK_SIZE) as u32;
        let sqe = marks.put(Sqe::transfer(
            transaction.sqe.opcode,
            transaction.sqe.nsid,
            transaction.sqe.slba(),
            blocks,
        ));
        node_connection.last_used = self.now;
        match node_connection.machine.submit(sqe, transaction.data.clone(), transaction.read_bytes) {
            Some((cid, bytes)) => {
                shot.progress.advance_to(Progress::Queued);
                shot.queued_on = Some((connection, cid));
                node_connection.unsent.push_back(QueuedCommand { transaction: id, shot: number, cid, bytes });
                node_connection.shots.insert(cid, (id, number));
                self.pending_output.push(connection);
            }
            None => {
                let node = node_connection.node.clone();
                self.nodes.entry(node.clone()).or_default().waiting_shots.push_back((id, number));
                // As after a restart of the node: live commands finish on the old association, new shots take a new
                // one.
                self.handle_association_event(&node, AssociationEvent::NodeRestarted);
                self.handle_association_event(&node, AssociationEvent::ShotRequested);
            }
        }
    }

    /// Ends a shot for any reason: removes it from the queues of this gateway, asks the node to abort it if it was
    /// sent, and queues the event for the core.
    fn end_shot(&mut self, id: u64, number: u32, end: ShotEnd, report: Told) {
        let Some(transaction) = self.transactions.get_mut(&id) else { return };
        let Some(shot) = transaction.shot.as_mut().filter(|shot| shot.number == number) else { return };
        match shot.queued_on.take() {
            None => {
                let node = self.nodes.get_mut(&shot.node);
                node.into_iter()
                    .for_each(|node| node.waiting_shots.retain(|waiting| *waiting != (id, number)));
            }
            Some((connection, cid)) => {
                if let Some(node_connection) = self.node_connections.get_mut(&connection) {
                    node_connection.shots.remove(&cid);
                    if let Some(position) =
                        node_connection.unsent.iter().position(|command| command.cid == cid)
                    {
                        node_connection.unsent.remove(position);
                        node_connection.machine.withdraw(cid);
                        self.counts.withdrawn += 1;
                    } else if !matches!(end, ShotEnd::Answered(_) | ShotEnd::ConnectionLost) {
                        node_connection.machine.forget(cid);
                        let node = node_connection.node.clone();
                        self.abort_command(&node, connection, cid);
                    }
                }
            }
        }
        self.core_events.push_back(CoreEvent::ShotEnded(id, number, end, report));
    }

    /// Asks the node, on the association's admin queue, to abort a command whose result is no longer needed.
    fn abort_command(&mut self, node: &NodeId, connection: u64, cid: u16) {
        let Some(NodeLink::Up(ios, admin)) = self.nodes.get(node).map(|node| &node.link) else { return };
        if !ios.contains(&connection) {
            return;
        }
        let Some(queue_number) = self.node_connections.get(&connection).map(|queue| queue.queue_number)
        else {
            return;
        };
        let admin = *admin;
        let Some(node_connection) = self.node_connections.get_mut(&admin) else { return };
        if let Some((_, bytes)) = node_connection.machine.submit(Sqe::abort(queue_number, cid), Vec::new(), 0)
        {
            node_connection.machine.out.extend(bytes);
            self.pending_output.push(admin);
        }
    }

    /// Registers an association that was opened, with its admin queue first and then its I/O queues, and submits the
    /// waiting shots. Returns the numbers of the connections.
    pub fn association_opened(
        &mut self, name: &NodeId, queues: Vec<(Host, Rc<Async<TcpStream>>)>,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for (queue_number, (machine, stream)) in (0..).zip(queues) {
            ids.push(self.next_connection);
            let node_connection = NodeConnection {
                node: name.clone(),
                stream,
                machine,
                unsent: VecDeque::new(),
                batch: Vec::new(),
                batch_sent: 0,
                batch_commands: VecDeque::new(),
                shots: HashMap::new(),
                stall: StallDetector::default(),
                last_used: self.now,
                blocked: false,
                retired: false,
                queue_number,
                pending_keep_alive: None,
                keep_alive_sent_at: self.now,
            };
            self.node_connections.insert(self.next_connection, node_connection);
            self.next_connection += 1;
        }
        self.handle_association_event(name, AssociationEvent::Opened);
        let node = self.nodes.entry(name.clone()).or_default();
        node.link = NodeLink::Up(ids[1..].to_vec(), ids[0]);
        let waiting: Vec<_> = node.waiting_shots.drain(..).collect();
        for (id, number) in waiting {
            let io = self.least_loaded_queue(&ids[1..]);
            self.submit_shot(io, id, number);
        }
        ids
    }

    /// Handles a failed attempt to open an association: ends the shots that wait for it.
    pub fn association_failed(&mut self, name: &NodeId, error: &str) {
        self.counts.connects_failed += 1;
        debug!(node = %name.0, why = error, "cannot open an association with the node");
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.link = NodeLink::Closed;
        let waiting: Vec<_> = node.waiting_shots.drain(..).collect();
        self.handle_association_event(name, AssociationEvent::OpenFailed);
        for (id, number) in waiting {
            self.end_shot(id, number, ShotEnd::ConnectionLost, Told::default());
        }
    }

    /// Handles bytes from a node. Returns false when the connection has to be closed.
    pub fn node_read(&mut self, connection: u64, bytes: &[u8]) -> bool {
        let Some(node_connection) = self.node_connections.get_mut(&connection) else { return false };
        let mut events = Vec::new();
        let before = node_connection.machine.whole();
        let result = node_connection.machine.feed(bytes, &mut events);
        node_connection.stall.record_read(
            self.now,
            node_connection.machine.whole() > before,
            node_connection.machine.pending() > 0,
        );
        if !node_connection.machine.out.is_empty() {
            self.pending_output.push(connection);
        }
        let node = node_connection.node.clone();
        let mut is_usable = result.is_ok();
        if let Err(error) = result {
            warn!(node = %node.0, why = %error, "a node broke the protocol");
        }
        for event in events {
            match event {
                host::Event::Done { cid, cqe, data } => self.node_completed(connection, cid, cqe, data),
                host::Event::Late { .. } => self.counts.late_answers += 1,
                host::Event::Terminated { status, info } => {
                    warn!(node = %node.0, status, info, "the node ended the connection");
                    is_usable = false;
                }
                host::Event::Ready { .. } | host::Event::Refused { .. } => {}
            }
        }
        is_usable
    }

    /// Handles the completion of a command by a node.
    fn node_completed(&mut self, connection: u64, cid: u16, cqe: Cqe, data: Vec<u8>) {
        let Some(node_connection) = self.node_connections.get_mut(&connection) else { return };
        if node_connection.pending_keep_alive == Some(cid) {
            node_connection.pending_keep_alive = None;
            return;
        }
        // Completions of Aborts, on the admin queue, have no effect.
        let Some((id, number)) = node_connection.shots.remove(&cid) else { return };
        let report = Told::of(&cqe);
        if outcome(ShotEnd::Answered(cqe.status), Progress::Sent) == Outcome::Settled {
            // The client gets its answer; in the same turn, the core is informed that the transaction is settled.
            let is_unanswered =
                self.transactions.get(&id).is_some_and(|transaction| transaction.client.is_some());
            if is_unanswered {
                self.counts.settled += 1;
                self.answer_client(id, cqe.status, 0, &data);
            }
        }
        if let Some(shot) = self.transactions.get_mut(&id).and_then(|transaction| transaction.shot.as_mut()) {
            shot.queued_on = None;
        }
        self.end_shot(id, number, ShotEnd::Answered(cqe.status), report);
    }

    /// Closes a connection to a node and all others of its association. Shots on them end.
    pub fn close_node_connection(&mut self, connection: u64) {
        let Some(removed) = self.node_connections.remove(&connection) else { return };
        let _ = removed.stream.get_ref().shutdown(std::net::Shutdown::Both);
        let mut lost: Vec<(u64, u32)> = removed.shots.into_values().collect();
        lost.sort_unstable();
        let node = self.nodes.get_mut(&removed.node);
        let siblings = node.and_then(|node| match &node.link {
            NodeLink::Up(ios, admin) if ios.contains(&connection) || *admin == connection => {
                let siblings: Vec<u64> = ios.iter().chain([admin]).copied().collect();
                node.link = NodeLink::Closed;
                Some(siblings)
            }
            _ => None,
        });
        if siblings.is_some() {
            self.handle_association_event(&removed.node, AssociationEvent::ConnectionLost);
        }
        for (id, number) in lost {
            if let Some(shot) =
                self.transactions.get_mut(&id).and_then(|transaction| transaction.shot.as_mut())
            {
                shot.queued_on = None;
            }
            self.end_shot(id, number, ShotEnd::ConnectionLost, Told::default());
        }
        // If one queue of an association is closed, all are.
        siblings.into_iter().flatten().for_each(|sibling| self.close_node_connection(sibling));
    }

    /// Closes the association with a node if it has no commands.
    fn close_idle_association(&mut self, node: &NodeId) {
        let Some(NodeLink::Up(ios, admin)) = self.nodes.get(node).map(|node| &node.link) else { return };
        let is_idle = |io: &u64| {
            self.node_connections
                .get(io)
                .is_none_or(|connection| connection.machine.live() == 0 && connection.unsent.is_empty())
        };
        if ios.iter().all(is_idle) {
            let admin = *admin;
            self.handle_association_event(node, AssociationEvent::IdleClosed);
            self.close_node_connection(admin);
        }
    }

    // Output.

    /// Writes the pending output of a connection, as far as the kernel takes it.
    pub fn flush_output(&mut self, connection: u64) {
        if let Some(client) = self.clients.get_mut(&connection) {
            let before = client.output_sent;
            let (output, writes) = (&mut client.machine.out, &mut self.counts.writes);
            match write_output(client.stream.get_ref(), output, &mut client.output_sent, writes) {
                Ok(true) => client.stall.record_write(self.now, true, false),
                Ok(false) => {
                    client.stall.record_write(self.now, client.output_sent > before, true);
                    if !std::mem::replace(&mut client.blocked, true) {
                        self.resume_later(connection);
                    }
                }
                Err(_) => self.close_client(connection),
            }
        } else if self.node_connections.contains_key(&connection) {
            let (before, now) = (self.node_connections[&connection].batch_sent, self.now);
            match self.flush_node_connection(connection) {
                Ok(true) => {
                    self.node_connections
                        .get_mut(&connection)
                        .into_iter()
                        .for_each(|node_connection| node_connection.stall.record_write(now, true, false));
                }
                Ok(false) => {
                    let node_connection = self.node_connections.get_mut(&connection).unwrap();
                    node_connection.stall.record_write(now, node_connection.batch_sent != before, true);
                    if !std::mem::replace(&mut node_connection.blocked, true) {
                        self.resume_later(connection);
                    }
                }
                Err(_) => self.close_node_connection(connection),
            }
        }
    }

    /// Starts a task that resumes the output of a connection when it is writable again.
    fn resume_later(&mut self, connection: u64) {
        let stream = self.stream(connection);
        if let (Some(executor), Some(stream)) = (self.executor.upgrade(), stream) {
            let resuming = net::resume_when_writable(self.weak_self.clone(), connection, stream);
            spawn(&executor, TaskKind::Drain, Peer::None, resuming);
        }
    }

    /// The socket of a client or node connection.
    pub fn stream(&self, connection: u64) -> Option<Rc<Async<TcpStream>>> {
        let client_stream = self.clients.get(&connection).map(|client| &client.stream);
        client_stream
            .or_else(|| self.node_connections.get(&connection).map(|node_connection| &node_connection.stream))
            .cloned()
    }

    /// Resumes the output of a connection that is writable again.
    pub fn writable(&mut self, connection: u64) {
        if let Some(client) = self.clients.get_mut(&connection) {
            client.blocked = false;
        } else if let Some(node_connection) = self.node_connections.get_mut(&connection) {
            node_connection.blocked = false;
        }
        self.flush_output(connection);
    }

    /// Writes to a node in batches. Returns true when all output is written, and false when the kernel takes no more
    /// for now.
    fn flush_node_connection(&mut self, connection: u64) -> io::Result<bool> {
        loop {
            let node_connection = self.node_connections.get_mut(&connection).unwrap();
            if node_connection.batch_sent == node_connection.batch.len() {
                node_connection.batch.clear();
                node_connection.batch_sent = 0;
                // Data that answers R2T PDUs is sent first, because it finishes commands that have begun.
                std::mem::swap(&mut node_connection.batch, &mut node_connection.machine.out);
                while node_connection.batch.len() < WRITE_BATCH_BYTES {
                    let Some(command) = node_connection.unsent.pop_front() else { break };
                    let start = node_connection.batch.len();
                    node_connection.batch.extend_from_slice(&command.bytes);
                    node_connection.batch_commands.push_back((
                        start,
                        node_connection.batch.len(),
                        command.cid,
                    ));
                }
                if node_connection.batch.is_empty() {
                    return Ok(true);
                }
            }
            self.counts.writes += 1;
            let mut stream = node_connection.stream.get_ref();
            let written = match stream.write(&node_connection.batch[node_connection.batch_sent..]) {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => Ok(written),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => Err(error),
            };
            let blocked = match written {
                Ok(written) => {
                    node_connection.batch_sent += written;
                    false
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
                Err(error) => return Err(error),
            };
            if blocked {
                self.requeue_unsent(connection);
                return Ok(false);
            }
            let node_connection = self.node_connections.get_mut(&connection).unwrap();
            let sent = node_connection.batch_sent;
            let begun: Vec<_> = node_connection
                .batch_commands
                .iter()
                .filter(|(start, ..)| *start < sent)
                .filter_map(|(_, end, cid)| Some((*node_connection.shots.get(cid)?, *end <= sent)))
                .collect();
            while node_connection.batch_commands.front().is_some_and(|(_, end, _)| *end <= sent) {
                node_connection.batch_commands.pop_front();
            }
            for ((id, number), is_whole) in begun {
                let shot = self.transactions.get_mut(&id).and_then(|transaction| transaction.shot.as_mut());
                let Some(shot) = shot.filter(|shot| shot.number == number) else { continue };
                let next = if is_whole { Progress::Sent } else { Progress::PartlySent };
                if shot.progress < next {
                    shot.progress.advance_to(next);
                }
            }
        }
    }

    /// Moves commands of the batch of which no byte was written back into the queue, where they can be withdrawn: a
    /// drain or a timeout may come before the kernel takes more bytes.
    fn requeue_unsent(&mut self, connection: u64) {
        let node_connection = self.node_connections.get_mut(&connection).unwrap();
        let Some(first_unsent) = node_connection
            .batch_commands
            .iter()
            .position(|(start, ..)| *start >= node_connection.batch_sent)
        else {
            return;
        };
        let first_offset = node_connection.batch_commands[first_unsent].0;

        let mut requeued = Vec::new();
        for (start, end, cid) in node_connection.batch_commands.drain(first_unsent..) {
            let bytes = node_connection.batch[start..end].to_vec();
            // A batch is built and undone within one call, so none of its shots can have ended meanwhile.
            let (id, shot) = node_connection.shots[&cid];
            requeued.push(QueuedCommand { transaction: id, shot, cid, bytes });
        }
        node_connection.batch.truncate(first_offset);
        requeued.into_iter().rev().for_each(|command| node_connection.unsent.push_front(command));
    }
}

/// Makes the close of a connection reset it, so that the kernel drops what it holds.
fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
}
