//! The state of one gateway outside the core: open transactions, connections, nodes, timers. Events on the sockets are
//! passed to the core here, and the actions that the core requests are executed here. This module takes no scheduling
//! decisions.
//!
//! Limits, and what happens when they are reached: client connections (see [`crate::client_table`]), memory for requests (the request is rejected before the core sees it; see [`crate::memory`]), connections to
//! nodes (an idle one is closed, or else the shot ends as one that could not connect), remembered request ids (the oldest is
//! removed).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use async_executor::LocalExecutor;
use quaypath::scheduler::{NODE_BYTES, USED_NODE_BYTES};
use quaypath::types::*;
use quaypath_http::Request;
use quaypath_initiator::core::{self, Action, Actions, Core};
use quaypath_initiator::event_loop::{Driver, Notify};
use quaypath_initiator::outcome::Progress;
use quaypath_initiator::polls::{spawn, take_summary, Peer, PollSummary, TaskKind};
use quaypath_initiator::timer_wheel::TimerWheel;
use quaypath_record::Clock;
use tracing::{debug, info};

use crate::client_table::{AddedClient, Admission, ClientTable};
use crate::config::{self, Config};
use crate::discovery::{control_memory, DiscoverySources, ListError, Listing};
use crate::front::{AnswerSlot, FinalAnswer, IDLE_TIMEOUT, IDLE_TIMEOUT_UNDER_PRESSURE};
use crate::headers::{decode_transaction, encode_forwarded_head, NodeReport};
use crate::idle_reuse::IdleReuse;
use crate::memory::{
    allocated_bytes, resident_bytes, MemoryAccount, MemoryKind, MemoryLimits, MemoryPermit, MemorySummary,
    TRANSACTION_BYTES,
};
use crate::node_table::NodeTable;
use crate::outcome::{outcome, ShotEnd};
use crate::replay_window::{HashedId, OpenError, ReplayWindow};
use crate::upstream;

/// A timer that fires later than this counts as a stall, seconds.
const STALL_THRESHOLD: f64 = 0.06;
/// Interval of the check of idle connections, seconds.
const SWEEP_INTERVAL: f64 = 0.25;

/// Shares of the volumes that the memory allows: from the first on, volumes are evicted before they are idle, down to the
/// second.
const EVICTION_START: f64 = 0.75;
const EVICTION_END: f64 = 0.5;
/// Least time between two evictions that new volumes cause, seconds: each looks at all volumes and nodes.
const MIN_EVICTION_INTERVAL: f64 = 0.02;

/// Descriptors that are not available for clients and nodes: three for the standard streams, three for the reactor, three
/// for signals and the listener, four for calls to discovery at each of two addresses, and a spare for a connection that is
/// being accepted.
const RESERVED_DESCRIPTORS: usize = 20;
/// How much longer than the longest deadline an id is known after the end of its transaction, seconds.
const ID_RETENTION_MARGIN: f64 = 1.0;
/// Share of the available descriptors for client connections.
const CLIENT_SHARE: f64 = 0.45;
/// Share of the available descriptors for connections to nodes.
const NODE_SHARE: f64 = 0.36;
/// Share of the available descriptors for clients that are looked at in the lobby or being refused, and the least number of
/// them.
const LOBBY_SHARE: f64 = 0.04;
const MIN_LOBBY_CLIENTS: usize = 4;
/// Time that the gateway waits for discovery's first list before it reports that it is ready, seconds. What the discovery
/// agent knows counts as reported to the gateway from the first moment of the process; if discovery is silent, it has
/// reported nothing.
const FIRST_LIST_TIMEOUT: f64 = 1.0;

/// What the gateway has counted since its start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Transactions accepted from clients.
    #[serde(rename = "taken")]
    pub transactions: u64,
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    /// Transactions whose client disconnected before the final answer.
    #[serde(rename = "lapsed")]
    pub client_cancelled: u64,
    /// Requests rejected before the core, because they were invalid or could not be served.
    #[serde(rename = "unfit")]
    pub rejected: u64,
    /// Client connections accepted from the kernel.
    pub accepted: u64,
    /// Client connections closed to make room for others.
    pub evicted: u64,
    /// Client connections refused because of the connection limit.
    #[serde(rename = "turned_away")]
    pub refused: u64,
    pub shots: u64,
    /// Shots after the first of their transaction.
    #[serde(rename = "further")]
    pub further_shots: u64,
    /// Connections to nodes that were attempted.
    pub connects: u64,
    pub connects_failed: u64,
    /// Idle connections to nodes that were closed instead of reused: they were idle for too long, had ended, or held bytes that
    /// were not requested.
    pub stale: u64,
    /// Shots by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Calls to discovery that failed or fell silent.
    pub discovery_lost: u64,
    /// Timers that fired late by more than the stall threshold.
    pub stalls: u64,
    /// The longest delay of a timer since the last report, seconds.
    #[serde(rename = "lag")]
    pub max_timer_delay: f64,
    /// How long the event loop's tasks ran at a time since the last report, microseconds.
    pub polls: PollSummary,
    /// Open transactions.
    #[serde(rename = "open")]
    pub open_transactions: usize,
    /// Open client connections.
    #[serde(rename = "clients")]
    pub client_connections: usize,
    pub node_connections: usize,
    /// Volumes that the core keeps.
    pub volumes: usize,
    /// Ordering keys that the core keeps.
    pub keys: usize,
    /// Memory held for clients and nodes by kind, bytes.
    pub memory: MemorySummary,
    /// Open file descriptors of the process.
    pub descriptors: usize,
    /// Resident memory, KiB.
    pub resident_kb: usize,
}

/// An event for the core. Events are passed on in the order in which they occur.
enum CoreEvent {
    NodeList(ListKind, Vec<ListedNode>),
    TransactionReceived(u64),
    ShotCompleted(u64, u32, Outcome, NodeReport),
    ClientCancelled(u64),
    TimerFired(u64),
}

/// What a timer of the instance is for.
enum Timer {
    /// A timer of the core, by its tag.
    Core(u64),
    /// The timeout of a shot, by its transaction and number.
    ShotTimeout(u64, u32),
    Sweep,
}

/// The stages of the graceful shutdown, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    Running,
    /// A connection is closed after the answer that it is used for.
    Draining,
    /// Idle connections are closed too.
    ClosingIdle,
    /// All open transactions were answered, and new ones are rejected.
    Terminating,
}

/// A shot, shared with the task that executes it.
pub struct Shot {
    /// Number of its transaction.
    pub id: u64,
    /// Number of the shot in its transaction, from 0.
    pub number: u32,
    pub node: NodeId,
    /// Time at which it is stopped, seconds.
    pub stop_at: f64,
    /// Time at which the core sent it, seconds.
    pub sent_at: f64,
    /// How long its response has waited for memory of the gateway, seconds.
    pub memory_wait: Cell<f64>,
    progress: Cell<Progress>,
    end: Cell<Option<ShotEnd>>,
    end_notify: Notify,
}

impl Shot {
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    pub fn advance_to(&self, next: Progress) {
        let mut progress = self.progress.get();
        progress.advance_to(next);
        self.progress.set(progress);
    }

    fn end(&self, end: ShotEnd) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
            self.end_notify.notify();
        }
    }

    /// Waits until the instance ends the shot.
    pub async fn ended(&self) -> ShotEnd {
        loop {
            if let Some(end) = self.end.get() {
                return end;
            }
            self.end_notify.wait().await;
        }
    }
}

/// The part of a transaction's request that is the same in every shot.
pub struct ForwardedRequest {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    _memory: [MemoryPermit; 2],
}

/// A transaction without a final answer, or with a shot in flight.
struct OpenTransaction {
    request_id: HashedId,
    /// Passes the final answer to the client; `None` once it is given or the client has disconnected.
    client: Option<Rc<AnswerSlot>>,
    band: usize,
    plan: Option<usize>,
    volume: VolumeId,
    extent: ExtentId,
    block: Option<i64>,
    initiators: f64,
    units: f64,
    /// Outer limit: time at which the client's budget ends, seconds.
    outer_limit: f64,
    /// `None` once no further shot will be sent.
    request: Option<Rc<ForwardedRequest>>,
    /// Number of shots sent so far.
    shots: u32,
    /// The shot in flight.
    shot: Option<Rc<Shot>>,
    /// Whether a shot may have run.
    may_have_run: bool,
    _memory: MemoryPermit,
}

impl OpenTransaction {
    /// Cancels the shot in flight if its last byte was not sent, because no client waits for the answer any more. Such a
    /// shot must not become a complete request. Since no node has begun it, this does not require that the settings allow
    /// cancelling.
    fn cancel_unsent_shot(&self) {
        let unsent = self.shot.as_ref().filter(|shot| shot.progress() < Progress::Sent);
        unsent.into_iter().for_each(|shot| shot.end(ShotEnd::Cancelled));
    }
}

/// The instance as its owner holds it.
pub type SharedInstance = Rc<RefCell<Instance>>;
/// The instance as its tasks refer to it.
pub type WeakInstance = Weak<RefCell<Instance>>;

/// One gateway on one core. Times are in seconds on its clock, which counts from 1970.
pub struct Instance {
    pub config: Config,
    core: Box<dyn Core>,
    /// Actions that the core requested and that were not executed yet.
    actions: Actions,
    /// Events that were not passed to the core yet.
    events: VecDeque<CoreEvent>,
    clock: Clock,
    /// The time of the current turn of the event loop.
    pub now: f64,
    timers: TimerWheel<Timer>,
    timer_changed: Rc<Notify>,
    /// Open transactions, and those that have ended while a shot is in flight.
    open: BTreeMap<u64, OpenTransaction>,
    next_id: u64,
    replay_window: ReplayWindow,
    pub clients: ClientTable,
    started: f64,
    pub nodes: NodeTable,
    /// Memory of the nodes, here and in the core.
    node_memory: MemoryPermit,
    /// Number of connections to nodes, idle ones included.
    pub upstream_connections: Rc<Cell<usize>>,
    pub max_upstream_connections: usize,
    pub idle_reuse: IdleReuse,
    pub memory: MemoryAccount,
    /// The version of the node list.
    pub list_index: u64,
    pub discovery_sources: DiscoverySources,
    /// When volumes were evicted last, seconds.
    volumes_evicted_at: f64,
    /// Whether discovery has sent its whole list since the start.
    pub list_received: bool,
    pub shutdown_stage: ShutdownStage,
    pub counts: Counts,
    executor: Weak<LocalExecutor<'static>>,
    weak_self: WeakInstance,
}

impl Driver for Instance {
    fn begin_turn(&mut self) {
        self.now = self.clock.now().max(self.now);
    }

    fn finish_turn(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.pass_to_core(event);
            while let Some(action) = self.actions.0.pop_front() {
                self.execute(action);
            }
        }
    }

    fn clock_now(&self) -> f64 {
        self.clock.now()
    }

    fn next_timer(&self) -> Option<f64> {
        self.timers.next_expiry()
    }

    fn timer_changed(&self) -> Rc<Notify> {
        self.timer_changed.clone()
    }

    fn fire_timers(&mut self) {
        let delay = self
            .timers
            .next_expiry()
            .filter(|expiry| expiry.is_finite())
            .map_or(0.0, |expiry| self.now - expiry);
        self.counts.stalls += u64::from(delay > STALL_THRESHOLD);
        self.counts.max_timer_delay = self.counts.max_timer_delay.max(delay);
        let mut due = Vec::new();
        self.timers.advance(self.now, &mut due);
        for timer in due {
            match timer {
                Timer::Core(tag) => self.events.push_back(CoreEvent::TimerFired(tag)),
                Timer::ShotTimeout(id, number) => self.end_shot(id, number, ShotEnd::TimedOut),
                Timer::Sweep => {
                    self.sweep();
                    self.timers.set(self.now + SWEEP_INTERVAL, Timer::Sweep);
                }
            }
        }
    }
}

impl Instance {
    /// Creates the instance with the node list of its configuration.
    pub fn start(config: Config, executor: &Rc<LocalExecutor<'static>>) -> SharedInstance {
        let clock = Clock::default();
        let now = clock.now();
        let mut actions = Actions::default();
        let core = core::scheduler_with_settings(now, config.seed, config.core.clone(), &mut actions);
        let descriptors =
            |share: f64| ((config.limits.sockets - RESERVED_DESCRIPTORS) as f64 * share) as usize;
        let max_upstream_connections = descriptors(NODE_SHARE).max(8);
        let memory_limits = MemoryLimits::new(
            config.limits.memory_mb * 1e6,
            resident_bytes(),
            descriptors(CLIENT_SHARE),
            max_upstream_connections,
            control_memory(&config),
        );
        let memory = MemoryAccount::new(memory_limits);
        let id_retention = config.transport.longest_deadline() + ID_RETENTION_MARGIN;
        let instance = Rc::new(RefCell::new(Instance {
            core,
            actions,
            events: VecDeque::new(),
            clock,
            now,
            timers: TimerWheel::new(now),
            timer_changed: Rc::default(),
            open: BTreeMap::new(),
            next_id: 1,
            replay_window: ReplayWindow::new(id_retention, &memory),
            clients: ClientTable::new(
                memory_limits.max_clients,
                descriptors(LOBBY_SHARE).max(MIN_LOBBY_CLIENTS),
            ),
            started: now,
            nodes: NodeTable::default(),
            node_memory: memory.hold(MemoryKind::Node, 0),
            upstream_connections: Rc::default(),
            max_upstream_connections,
            idle_reuse: IdleReuse::default(),
            memory,
            list_index: config.initial_list.index,
            discovery_sources: DiscoverySources::default(),
            volumes_evicted_at: f64::NEG_INFINITY,
            list_received: false,
            shutdown_stage: ShutdownStage::Running,
            counts: Counts::default(),
            executor: Rc::downgrade(executor),
            weak_self: Weak::new(),
            config,
        }));
        let mut this = instance.borrow_mut();
        this.weak_self = Rc::downgrade(&instance);
        this.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        let initial_list = std::mem::take(&mut this.config.initial_list);
        this.apply_list(&initial_list, ListKind::Cached, false);
        this.finish_turn();
        info!(
            name = this.config.name,
            nodes = this.nodes.len(),
            "started with the node list of the configuration"
        );
        drop(this);
        instance
    }

    /// Calls the method of the core for an event.
    fn pass_to_core(&mut self, event: CoreEvent) {
        let (now, out) = (self.now, &mut self.actions);
        match event {
            CoreEvent::NodeList(kind, entries) => {
                self.core.node_list_received(now, kind, &entries, out);
                drop(entries);
                self.node_memory.resize(self.node_memory_bytes());
            }
            CoreEvent::TransactionReceived(id) => {
                let Some(transaction) = self.open.get(&id) else { return };
                self.core.transaction_received(
                    now,
                    TransactionId(id),
                    transaction.initiators,
                    transaction.plan.map(PlanId),
                    BandId(transaction.band),
                    Some(transaction.extent.clone()),
                    transaction.outer_limit - now,
                    transaction.units,
                    transaction.volume.clone(),
                    transaction.block.map(BlockId),
                    out,
                );
                self.node_memory.resize(self.node_memory_bytes());
            }
            CoreEvent::ShotCompleted(id, number, outcome, report) => {
                let Some(transaction) = self.open.get_mut(&id) else { return };
                let Some(shot) = transaction.shot.take_if(|shot| shot.number == number) else { return };
                transaction.may_have_run |= outcome.may_have_run();
                *self.counts.outcomes.entry(outcome_name(outcome)).or_default() += 1;
                let ended = transaction.client.is_none();
                let last = ended || outcome == Outcome::Settled;
                let (id, latency) = (TransactionId(id), now - shot.sent_at - shot.memory_wait.get());
                let node = &shot.node;
                let load = &report.load;
                self.core.shot_completed(
                    now,
                    id,
                    node,
                    number,
                    0.0,
                    latency,
                    last,
                    outcome,
                    report.others_units,
                    load,
                    out,
                );
                if ended {
                    self.remove_transaction(id.0);
                }
            }
            CoreEvent::ClientCancelled(id) => self.core.client_cancelled(now, TransactionId(id), out),
            CoreEvent::TimerFired(tag) => self.core.timer_fired(now, tag, out),
        }
    }

    /// Executes an action that the core requested.
    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(id, stop_at, node) => self.send(id, stop_at, node),
            Action::Cancel(id, number) => self.end_shot(id, number, ShotEnd::Cancelled),
            Action::Decline(id, retry_after) => {
                self.counts.declined += u64::from(self.answer(id, FinalAnswer::Declined(retry_after)));
            }
            Action::Scrap(id) => self.counts.scrapped += u64::from(self.answer(id, FinalAnswer::Scrapped)),
            Action::Timer(after, tag) => self.timers.set(self.now + after.max(0.0), Timer::Core(tag)),
            // The discovery tasks keep up the watch whether the core requests it or not: the discovery agent answers at
            // once, and calls cost it nothing.
            Action::RegisterCall(_) => {}
            Action::Close(node) => {
                self.nodes.get_mut(&node).into_iter().for_each(|node| node.pool.clear());
            }
            Action::Unsupported(what) => debug!(
                what,
                "the core requested an action that the platform gateway does not support; ignored"
            ),
        }
    }

    // Transactions.

    /// Opens a transaction for a request whose last byte arrived at `arrived`. Returns its number and where its final answer
    /// will be put, or the status and the text of an error response.
    pub fn accept_transaction(
        &mut self, request: Request, memory: MemoryPermit, arrived: f64,
    ) -> Result<(u64, Rc<AnswerSlot>), (u16, &'static str)> {
        if self.shutdown_stage == ShutdownStage::Terminating {
            return Err((503, "the process ends"));
        }
        let decoded = decode_transaction(&request, &self.config)?;
        let volume = VolumeId(Arc::from(decoded.volume));
        if !self.has_room_for_volume(&volume) {
            return Err((503, "no room for another volume"));
        }
        if decoded.block.is_some_and(|block| !self.has_room_for_block(BlockId(block))) {
            return Err((503, "no room for another shard"));
        }
        let head = encode_forwarded_head(&request);
        let head_memory = self.memory.try_hold(MemoryKind::RequestHead, allocated_bytes(head.capacity()));
        let head_memory = head_memory.ok_or((503, "no room for a head"))?;
        let transaction_memory = self.memory.try_hold(MemoryKind::Transaction, TRANSACTION_BYTES);
        let transaction_memory = transaction_memory.ok_or((503, "no room for a transaction"))?;
        let request_id = self.replay_window.open(self.now, &decoded.id).map_err(|error| match error {
            OpenError::Known => (409, "X-Request-ID is another request's"),
            OpenError::NoMemory => (503, "no room for another request id"),
        })?;
        let id = self.next_id;
        self.next_id += 1;
        let answer_slot = Rc::new(AnswerSlot::default());
        let request = ForwardedRequest { head, body: request.body, _memory: [head_memory, memory] };
        self.open.insert(
            id,
            OpenTransaction {
                request_id,
                client: Some(answer_slot.clone()),
                band: decoded.band,
                plan: decoded.plan,
                volume,
                extent: ExtentId(Arc::from(decoded.extent)),
                block: decoded.block,
                initiators: decoded.initiators,
                units: decoded.units,
                outer_limit: arrived + decoded.budget,
                request: Some(Rc::new(request)),
                shots: 0,
                shot: None,
                may_have_run: false,
                _memory: transaction_memory,
            },
        );
        self.counts.transactions += 1;
        self.events.push_back(CoreEvent::TransactionReceived(id));
        Ok((id, answer_slot))
    }

    /// Whether the core tracks this volume, or may track another one. Volumes of which nothing is lost are evicted if need be.
    fn has_room_for_volume(&mut self, volume: &VolumeId) -> bool {
        let max_volumes = self.memory.limits().max_volumes;
        if self.tracked_volumes() < max_volumes || self.core.tracks_volume(volume) {
            return true;
        }
        if self.now < self.volumes_evicted_at + MIN_EVICTION_INTERVAL {
            return false;
        }
        self.evict_volumes();
        self.tracked_volumes() < max_volumes
    }

    /// Evicts volumes down to the share of the limit at which eviction ends.
    fn evict_volumes(&mut self) {
        let max_volumes = self.memory.limits().max_volumes;
        self.volumes_evicted_at = self.now;
        self.core.evict_volumes(self.now, (EVICTION_END * max_volumes as f64) as usize);
    }

    /// Whether there is memory for what the core keeps for a block that transactions ask for.
    fn has_room_for_block(&self, block: BlockId) -> bool {
        self.core.tracks_block(block)
            || self.memory.has_room_beside_transactions(NODE_BYTES + USED_NODE_BYTES)
    }

    /// Number of volumes and keys that the core tracks, as a measure of its memory.
    fn tracked_volumes(&self) -> usize {
        let (volumes, keys) = self.core.tracked_counts();
        volumes + keys
    }

    /// Records that the client of a transaction has disconnected before the final answer.
    pub fn client_cancelled(&mut self, id: u64) {
        let Some(transaction) = self.open.get_mut(&id).filter(|transaction| transaction.client.is_some())
        else {
            return;
        };
        transaction.client = None;
        transaction.request = None;
        let in_flight = transaction.shot.is_some();
        transaction.cancel_unsent_shot();
        self.counts.client_cancelled += 1;
        self.events.push_back(CoreEvent::ClientCancelled(id));
        if !in_flight {
            self.remove_transaction(id);
        }
    }

    /// Removes a transaction that has ended and has no shot in flight.
    fn remove_transaction(&mut self, id: u64) {
        if let Some(transaction) = self.open.remove(&id) {
            self.replay_window.end(self.now, transaction.request_id, transaction.may_have_run);
        }
    }

    /// Gives the final answer of a transaction to its client; false if the transaction has ended before.
    fn answer(&mut self, id: u64, answer: FinalAnswer) -> bool {
        let Some(transaction) = self.open.get_mut(&id) else { return false };
        let Some(answer_slot) = transaction.client.take() else { return false };
        transaction.request = None;
        transaction.cancel_unsent_shot();
        if transaction.shot.is_none() {
            self.remove_transaction(id);
        }
        answer_slot.set(answer);
        true
    }

    /// Whether no transaction is open and no client connected.
    pub fn is_quiescent(&self) -> bool {
        self.open.is_empty() && self.clients.is_empty()
    }

    // Shots.

    /// Starts a task for the next shot of a transaction.
    fn send(&mut self, id: u64, stop_at: f64, node: NodeId) {
        let Some(transaction) = self.open.get_mut(&id) else { return };
        let Some(request) = transaction.request.clone() else { return };
        let stop_at =
            if stop_at > 0.0 { stop_at.min(transaction.outer_limit) } else { transaction.outer_limit };
        let shot = Rc::new(Shot {
            id,
            number: transaction.shots,
            node,
            stop_at,
            sent_at: self.now,
            memory_wait: Cell::new(0.0),
            progress: Cell::new(Progress::Connecting),
            end: Cell::new(None),
            end_notify: Notify::default(),
        });
        transaction.shots += 1;
        self.counts.shots += 1;
        self.counts.further_shots += u64::from(shot.number > 0);
        transaction.shot = Some(shot.clone());
        self.timers.set(stop_at, Timer::ShotTimeout(id, shot.number));
        if let Some(executor) = self.executor.upgrade() {
            let peer = Peer::Node(shot.node.0.clone());
            spawn(
                &executor,
                TaskKind::Attempt,
                peer,
                upstream::run_shot(self.weak_self.clone(), shot, request),
            );
        }
    }

    /// Ends the shot with this number if it is in flight.
    fn end_shot(&mut self, id: u64, number: u32, end: ShotEnd) {
        let shot = self.open.get(&id).and_then(|transaction| transaction.shot.as_ref());
        shot.filter(|shot| shot.number == number).into_iter().for_each(|shot| shot.end(end));
    }

    /// Records the end of a shot whose connection was closed or returned to the pool.
    pub fn shot_completed(
        &mut self, shot: &Shot, end: ShotEnd, report: NodeReport, answer: Option<FinalAnswer>,
    ) {
        let outcome = outcome(end, shot.progress());
        if outcome == Outcome::Settled {
            let settled = answer.is_some_and(|answer| self.answer(shot.id, answer));
            self.counts.settled += u64::from(settled);
        }
        self.events.push_back(CoreEvent::ShotCompleted(shot.id, shot.number, outcome, report));
    }

    /// Number of shots in flight to a node.
    pub fn shots_in_flight(&self, node: &NodeId) -> usize {
        let shots = self.open.values().filter_map(|transaction| transaction.shot.as_ref());
        shots.filter(|shot| shot.node == *node).count()
    }

    /// Whether nothing may be sent to a node any more, because it is not listed or because its drain grace is nearly over. The
    /// last fifth of the grace is left for what the kernel still has to send.
    pub fn is_closed(&self, node: &NodeId) -> bool {
        let draining_time = self.nodes.get(node).map(|node| node.draining_time(self.now));
        draining_time
            .is_none_or(|time| time.is_some_and(|time| time >= 0.8 * self.config.transport.drain_grace))
    }

    // Configuration and discovery.

    /// Reads the configuration file again and returns the address of discovery.
    pub fn reload_config(&self) -> Result<SocketAddr, config::Error> {
        // This fits into the part of the memory that is kept for it.
        let _memory = self.memory.hold(MemoryKind::Configuration, self.config.reload_memory_bytes());
        self.config.reload(|name| std::env::var(name).ok())
    }

    /// Applies a received list. A whole list with an older version is applied, because discovery may have begun to count its
    /// versions again, but a node that is known as draining or removed remains so until its next start.
    pub fn update_list(&mut self, listing: &Listing) -> Result<(), ListError> {
        let older = listing.index < self.list_index;
        if older && !listing.snapshot {
            return Err(ListError::Outdated);
        }
        let growth = self.nodes.growth_bytes(listing) + listing.endpoints.len() * NODE_BYTES;
        let needed = self.node_memory_bytes() + growth;
        if !self.node_memory.try_resize(needed) {
            return Err(ListError::NoMemory);
        }
        self.list_received |= listing.snapshot;
        self.list_index = listing.index;
        self.apply_list(listing, if listing.snapshot { ListKind::Whole } else { ListKind::Changes }, older);
        Ok(())
    }

    /// Applies a list or changes to the nodes and passes them to the core. `older` is set if the version of the list is older
    /// than that of the known one.
    fn apply_list(&mut self, listing: &Listing, kind: ListKind, older: bool) {
        let entries = self.nodes.apply(self.now, listing, kind, older);
        self.events.push_back(CoreEvent::NodeList(kind, entries));
    }

    /// The memory of the nodes, here and in the core, bytes.
    fn node_memory_bytes(&self) -> usize {
        self.nodes.memory_bytes() + self.core.node_memory_bytes()
    }

    // Clients.

    /// Whether the gateway may report to clients that it is ready.
    pub fn is_ready(&self) -> bool {
        self.list_received || self.clock.now() - self.started >= FIRST_LIST_TIMEOUT
    }

    /// Decides on a client connection that waits to be accepted.
    pub fn admit_client(&mut self) -> Admission {
        self.clients.admit(self.now)
    }

    /// Adds a client connection that was accepted.
    pub fn client_connected(&mut self) -> AddedClient {
        self.counts.accepted += 1;
        self.clients.add(self.now)
    }

    /// Adds a client connection whose request has arrived whole; `None` if there is no place that it could get.
    pub fn client_connected_with_request(&mut self) -> Option<AddedClient> {
        let added = self.clients.add_with_request(self.now);
        self.counts.accepted += u64::from(added.is_some());
        added
    }

    /// Enters the next stage of the shutdown, or repeats the current one; the stage never goes back.
    pub fn advance_shutdown(&mut self, next: ShutdownStage) {
        self.shutdown_stage = self.shutdown_stage.max(next);
        if next >= ShutdownStage::ClosingIdle {
            self.clients.close_idle(self.now, f64::NEG_INFINITY);
        }
        if next == ShutdownStage::Terminating {
            // No transaction is accepted any more, so connections that wait for the rest of a request are closed.
            self.clients.close_unserved(self.now);
            // The transactions that are still open have no result to report.
            let open: Vec<u64> = self.open.keys().copied().collect();
            for id in open {
                self.counts.scrapped += u64::from(self.answer(id, FinalAnswer::Scrapped));
            }
        }
    }

    /// Closes connections to nodes and clients that are idle for too long.
    fn sweep(&mut self) {
        let node_idle_timeout = self.config.transport.node_idle_timeout;
        let now = self.now;
        self.nodes.values_mut().for_each(|node| node.pool.sweep(now, node_idle_timeout));
        let max_volumes = self.memory.limits().max_volumes;
        if self.tracked_volumes() as f64 > EVICTION_START * max_volumes as f64 {
            self.evict_volumes();
        }
        // Clients may open as many connections as the gateway allows and abandon some of them, which would keep new ones out.
        let under_pressure = self.clients.is_under_pressure();
        let max_idle = if under_pressure { IDLE_TIMEOUT_UNDER_PRESSURE } else { IDLE_TIMEOUT };
        self.clients.close_idle(now, max_idle);
    }

    /// The counts with the current values. The longest timer delay and the poll summary begin anew.
    pub fn take_counts(&mut self) -> Counts {
        (self.counts.open_transactions, self.counts.client_connections) =
            (self.open.len(), self.clients.len());
        self.counts.evicted = self.clients.evicted();
        self.counts.node_connections = self.upstream_connections.get();
        (self.counts.volumes, self.counts.keys) = self.core.tracked_counts();
        self.counts.descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        self.counts.resident_kb = resident_bytes() >> 10;
        self.counts.memory = self.memory.take_summary();
        self.counts.polls = take_summary();
        let counts = self.counts.clone();
        self.counts.max_timer_delay = 0.0;
        counts
    }
}

/// The name of an outcome in the counts.
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Settled => "settled",
        Outcome::Failed => "failed",
        Outcome::QueueFull => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::Unreachable => "unreachable",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Abandoned => "moot",
    }
}
