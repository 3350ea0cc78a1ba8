//! One initiator's state outside the core: open transactions, connections, nodes, timers. What happens on the
//! sockets becomes a call of the core here, and what the core asks for is carried out here; nothing is decided.
//!
//! Bounds, and what happens at them: client connections (the longest idle is closed, then the new one), bytes of
//! bodies held (turned away before the core), connections to nodes (an idle one is closed, then the shot ends as
//! one that could not connect), ids remembered (the oldest is let go).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;

use async_executor::LocalExecutor;
use quaypath::types::*;
use quaypath_http::Request;
use quaypath_initiator::core::{self, Action, Actions, Core};
use quaypath_initiator::event_loop::{Driver, Notify};
use quaypath_initiator::outcome::Progress;
use quaypath_initiator::polls::{spawn, take_summary, Peer, PollSummary, TaskKind};
use quaypath_initiator::timer_wheel::TimerWheel;
use quaypath_record::Clock;
use tracing::{debug, info, warn};

use crate::config::Config;
use crate::decode::{asked, onward, Told};
use crate::discovery::{Listing, Status};
use crate::front::{Answer, ClientConnection, ConnectionState, Reply, IDLE, IDLE_PRESSED};
use crate::idle_reuse::IdleReuse;
use crate::ids::{ReplayWindow, Seen};
use crate::outcome::{outcome, Ended};
use crate::upstream::{self, Pool};

/// How late a timer may ring before it counts as a stall, seconds.
const STALL: f64 = 0.06;
/// How often idle connections are looked over, seconds.
const SWEEP: f64 = 0.25;

/// How long a node that was told gone is remembered, seconds: no list is older than that.
const GONE_KEPT: f64 = 60.0;
/// Descriptors that no client and no node can take: three for standard streams, three for the reactor, three for signals
/// and the listener, four for calls to discovery at each of two addresses, and a spare for what is just being accepted.
const KEPT: usize = 20;
/// Shares of the others: clients, nodes.
const CLIENTS: f64 = 0.45;
const NODES: f64 = 0.36;
/// Client connections above their share: those that are closing while the next are let in, and those that are told that
/// there is no room.
const CLOSING: usize = 4;
const REFUSALS: f64 = 0.04;
const FEWEST_REFUSALS: usize = 4;
/// Discovery is waited for so long before we say that we are up, seconds: what its agent has counts as told from our
/// first moment, and where it is silent it has told nothing.
const LISTENED: f64 = 1.0;
/// Share of the memory that bodies of requests may take together, and those of answers, and of one answer. The
/// platform's page says 64 KiB, but nodes were seen to answer reads with six times that.
const BODIES: f64 = 0.2;
const ONE_ANSWER: f64 = 0.05;

/// What an instance counted since its start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    pub taken: u64,
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub lapsed: u64,
    /// Requests refused as unreadable or unfit, before the core.
    pub unfit: u64,
    pub accepted: u64,
    /// Client connections closed to make room.
    pub evicted: u64,
    /// Client connections that were told that there is no room.
    pub turned_away: u64,
    pub shots: u64,
    pub further: u64,
    pub connects: u64,
    pub connects_failed: u64,
    /// Idle connections that were found ended or with bytes that nobody asked for.
    pub stale: u64,
    /// Shots by outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// Calls to discovery that failed or fell silent.
    pub discovery_lost: u64,
    pub stalls: u64,
    /// The latest timer since the last report, seconds behind its time.
    pub lag: f64,
    /// How long the loop's tasks ran at a time since the last report, microseconds.
    pub polls: PollSummary,
    pub open: usize,
    pub clients: usize,
    pub node_connections: usize,
    pub volumes: usize,
    pub keys: usize,
    pub descriptors: usize,
    pub resident_kb: usize,
}

/// What happens to the core, in order.
enum Happened {
    List(ListKind, Vec<ListedNode>),
    Taken(u64),
    Back(u64, u32, Outcome, Told),
    Lapsed(u64),
    Rang(u64),
}

enum Timer {
    Core(u64),
    /// The time of a shot is up.
    Stop(u64, u32),
    Sweep,
}

/// How far the graceful shutdown has come, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    No,
    /// Answers end their connections.
    Draining,
    /// Idle connections are closed too.
    ClosingIdle,
    /// What was open has been answered, and what comes yet is refused at once.
    Terminating,
}

/// A shot, shared with the task that carries it out.
pub struct Shot {
    pub id: u64,
    pub number: u32,
    pub node: NodeId,
    pub stop_at: f64,
    pub sent_at: f64,
    progress: Cell<Progress>,
    ended: Cell<Option<Ended>>,
    told: Notify,
}

impl Shot {
    pub fn progress(&self) -> Progress {
        self.progress.get()
    }

    pub fn to(&self, next: Progress) {
        let mut progress = self.progress.get();
        progress.advance_to(next);
        self.progress.set(progress);
    }

    fn end(&self, ended: Ended) {
        if self.ended.get().is_none() {
            self.ended.set(Some(ended));
            self.told.notify();
        }
    }

    /// Waits until the shot is ended from this side.
    pub async fn ended(&self) -> Ended {
        loop {
            if let Some(ended) = self.ended.get() {
                return ended;
            }
            self.told.wait().await;
        }
    }
}

/// What a transaction sends, the same with every shot.
pub struct Message {
    pub head: Vec<u8>,
    pub body: Vec<u8>,
    _held: Permit,
}

struct Open {
    seen: Seen,
    /// Its client's connection and where the final answer goes, until that is given.
    client: Option<Rc<Reply>>,
    band: usize,
    plan: Option<usize>,
    volume: VolumeId,
    extent: ExtentId,
    block: Option<i64>,
    initiators: f64,
    units: f64,
    outer: f64,
    message: Rc<Message>,
    shots: u32,
    shot: Option<Rc<Shot>>,
}

impl Open {
    /// Nobody waits any more. A shot whose last byte has not left is no request yet, and must not become one: that
    /// needs no leave to cancel, as no node has begun it.
    fn call_off(&self) {
        let unsent = self.shot.as_ref().filter(|shot| shot.progress() < Progress::Sent);
        unsent.into_iter().for_each(|shot| shot.end(Ended::CalledOff));
    }
}

/// A memory budget: bytes that may be held together, and those that are.
#[derive(Clone)]
pub struct MemoryBudget(Rc<(Cell<usize>, usize)>);

impl MemoryBudget {
    fn new(most: usize) -> Self {
        MemoryBudget(Rc::new((Cell::new(0), most)))
    }

    /// Counts so many bytes, whether there is room or not.
    pub fn hold(&self, bytes: usize) -> Permit {
        let (all, _) = &*self.0;
        all.set(all.get() + bytes);
        Permit(self.clone(), bytes)
    }

    fn left(&self) -> usize {
        self.0 .1.saturating_sub(self.0 .0.get())
    }
}

/// A permit: bytes that are counted while this is kept.
pub struct Permit(MemoryBudget, usize);

impl Permit {
    /// Counts more bytes, if there is room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.0.left();
        if fits {
            let (all, _) = &*self.0 .0;
            all.set(all.get() + bytes);
            self.1 += bytes;
        }
        fits
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (all, _) = &*self.0 .0;
        all.set(all.get() - self.1);
    }
}

pub struct Node {
    address: SocketAddr,
    pub pool: Pool,
    /// Since when we know that it drains.
    shut_since: Option<f64>,
    started: f64,
}

impl Node {
    /// Where it is, and since when: a connection leads to one that was started there then, and to no other.
    pub fn life(&self) -> (SocketAddr, f64) {
        (self.address, self.started)
    }

    pub fn drains(&self) -> bool {
        self.shut_since.is_some()
    }
}

pub type Shared = Rc<RefCell<Instance>>;
pub type Weakly = Weak<RefCell<Instance>>;

pub struct Instance {
    pub config: Config,
    core: Box<dyn Core>,
    actions: Actions,
    events: VecDeque<Happened>,
    clock: Clock,
    pub now: f64,
    timers: TimerWheel<Timer>,
    wake: Rc<Notify>,
    open: BTreeMap<u64, Open>,
    next_id: u64,
    ids: ReplayWindow,
    pub clients: BTreeMap<u64, ClientConnection>,
    next_client: u64,
    most_clients: usize,
    refusals: Rc<()>,
    most_refusals: usize,
    started: f64,
    pub nodes: BTreeMap<NodeId, Node>,
    /// Connections to nodes, idle ones included.
    pub upstream_connections: Rc<Cell<usize>>,
    pub most_upstream_connections: usize,
    pub idle_reuse: IdleReuse,
    /// For bodies of requests, and for those of answers.
    requests: MemoryBudget,
    answers: MemoryBudget,
    /// The list's version, and whose word it is: with a new discovery address comes a new number.
    pub index: u64,
    pub source: u64,
    /// The number of the newest address.
    pub newest: u64,
    /// Whether discovery has told its whole list since the start.
    pub heard: bool,
    /// Nodes that were told gone of late, with their start, and when.
    gone: BTreeMap<NodeId, (f64, f64)>,
    pub stop: ShutdownStage,
    pub counts: Counts,
    executor: Weak<LocalExecutor<'static>>,
    me: Weakly,
}

impl Driver for Instance {
    fn begin_turn(&mut self) {
        self.now = self.clock.now().max(self.now);
    }

    fn finish_turn(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.feed(event);
            while let Some(action) = self.actions.0.pop_front() {
                self.carry_out(action);
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
        self.wake.clone()
    }

    fn fire_timers(&mut self) {
        let late = self.timers.next_expiry().filter(|at| at.is_finite()).map_or(0.0, |at| self.now - at);
        self.counts.stalls += u64::from(late > STALL);
        self.counts.lag = self.counts.lag.max(late);
        let mut due = Vec::new();
        self.timers.advance(self.now, &mut due);
        for timer in due {
            match timer {
                Timer::Core(tag) => self.events.push_back(Happened::Rang(tag)),
                Timer::Stop(id, number) => self.end_shot(id, number, Ended::TimeUp),
                Timer::Sweep => {
                    self.sweep();
                    self.timers.set(self.now + SWEEP, Timer::Sweep);
                }
            }
        }
    }
}

impl Instance {
    pub fn start(config: Config, executor: &Rc<LocalExecutor<'static>>) -> Shared {
        let clock = Clock::default();
        let now = clock.now();
        let mut actions = Actions::default();
        let core = core::scheduler_with_settings(now, config.seed, config.core.clone(), &mut actions);
        let share = |part: f64| ((config.limits.sockets - KEPT) as f64 * part) as usize;
        let memory = config.limits.memory_mb * 1e6;
        let instance = Rc::new(RefCell::new(Instance {
            core,
            actions,
            events: VecDeque::new(),
            clock,
            now,
            timers: TimerWheel::new(now),
            wake: Rc::default(),
            open: BTreeMap::new(),
            next_id: 1,
            ids: ReplayWindow::default(),
            clients: BTreeMap::new(),
            next_client: 1,
            most_clients: share(CLIENTS),
            refusals: Rc::default(),
            most_refusals: share(REFUSALS).max(FEWEST_REFUSALS),
            started: now,
            nodes: BTreeMap::new(),
            upstream_connections: Rc::default(),
            most_upstream_connections: share(NODES).max(8),
            idle_reuse: IdleReuse::default(),
            requests: MemoryBudget::new((memory * BODIES) as usize),
            answers: MemoryBudget::new((memory * BODIES) as usize),
            index: config.known.index,
            source: 0,
            newest: 0,
            heard: false,
            gone: BTreeMap::new(),
            stop: ShutdownStage::No,
            counts: Counts::default(),
            executor: Rc::downgrade(executor),
            me: Weak::new(),
            config,
        }));
        let mut this = instance.borrow_mut();
        this.me = Rc::downgrade(&instance);
        this.timers.set(now + SWEEP, Timer::Sweep);
        let known = std::mem::take(&mut this.config.known);
        this.listed(&known, ListKind::Cached, false);
        this.finish_turn();
        info!(name = this.config.name, nodes = this.nodes.len(), "started with the list as it was known");
        drop(this);
        instance
    }

    fn feed(&mut self, event: Happened) {
        let (now, out) = (self.now, &mut self.actions);
        match event {
            Happened::List(scope, entries) => self.core.node_list_received(now, scope, &entries, out),
            Happened::Taken(id) => {
                let Some(t) = self.open.get(&id) else { return };
                self.core.transaction_received(
                    now,
                    TransactionId(id),
                    t.initiators,
                    t.plan.map(PlanId),
                    BandId(t.band),
                    Some(t.extent.clone()),
                    t.outer - now,
                    t.units,
                    t.volume.clone(),
                    t.block.map(BlockId),
                    out,
                );
            }
            Happened::Back(id, number, outcome, told) => {
                let Some(t) = self.open.get_mut(&id) else { return };
                let Some(shot) = t.shot.take_if(|shot| shot.number == number) else { return };
                *self.counts.outcomes.entry(name(outcome)).or_default() += 1;
                let over = t.client.is_none();
                let last = over || outcome == Outcome::Settled;
                let (id, delay) = (TransactionId(id), now - shot.sent_at);
                let node = &shot.node;
                let report = &told.report;
                self.core.shot_completed(
                    now,
                    id,
                    node,
                    number,
                    0.0,
                    delay,
                    last,
                    outcome,
                    told.others,
                    report,
                    out,
                );
                if over {
                    self.forget(id.0);
                }
            }
            Happened::Lapsed(id) => self.core.client_cancelled(now, TransactionId(id), out),
            Happened::Rang(tag) => self.core.timer_fired(now, tag, out),
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(id, stop_at, node) => self.send(id, stop_at, node),
            Action::Cancel(id, number) => self.end_shot(id, number, Ended::CalledOff),
            Action::Decline(id, come_back) => {
                self.counts.declined += u64::from(self.answer(id, Answer::Declined(come_back)));
            }
            Action::Scrap(id) => self.counts.scrapped += u64::from(self.answer(id, Answer::Scrapped)),
            Action::Timer(after, tag) => self.timers.set(self.now + after.max(0.0), Timer::Core(tag)),
            // The watch is the driver's to keep up, asked for or not: the agent answers at once and at no cost.
            Action::RegisterCall(_) => {}
            Action::Close(node) => {
                self.nodes.get_mut(&node).into_iter().for_each(|node| node.pool.clear());
            }
            Action::Unsupported(what) => debug!(what, "asked for by the core, and not carried out here"),
        }
    }

    // Transactions.

    /// Takes a request whose last byte came at `arrived`, or gives the status that its sender is owed.
    pub fn take(
        &mut self, request: Request, held: Permit, arrived: f64,
    ) -> Result<(u64, Rc<Reply>), (u16, &'static str)> {
        if self.stop == ShutdownStage::Terminating {
            return Err((503, "the process ends"));
        }
        let asked = asked(&request, &self.config)?;
        let seen = self.ids.open(&asked.id).ok_or((409, "X-Request-ID is another request's"))?;
        let id = self.next_id;
        self.next_id += 1;
        let reply = Rc::new(Reply::default());
        let message = Rc::new(Message { head: onward(&request), body: request.body, _held: held });
        self.open.insert(
            id,
            Open {
                seen,
                client: Some(reply.clone()),
                band: asked.band,
                plan: asked.plan,
                volume: VolumeId(Arc::from(asked.volume)),
                extent: ExtentId(Arc::from(asked.extent)),
                block: asked.block,
                initiators: asked.initiators,
                units: asked.units,
                outer: arrived + asked.budget,
                message,
                shots: 0,
                shot: None,
            },
        );
        self.counts.taken += 1;
        self.events.push_back(Happened::Taken(id));
        Ok((id, reply))
    }

    /// Its client has gone.
    pub fn lapsed(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.client.is_some()) else { return };
        open.client = None;
        let out = open.shot.is_some();
        open.call_off();
        self.counts.lapsed += 1;
        self.events.push_back(Happened::Lapsed(id));
        if !out {
            self.forget(id);
        }
    }

    /// A transaction is over, and no shot of it out.
    fn forget(&mut self, id: u64) {
        let keep = self.config.waits.longest() + 1.0;
        if let Some(open) = self.open.remove(&id) {
            self.ids.end(self.now, open.seen, keep);
        }
    }

    /// The final answer of a transaction; false where it has none to get any more.
    fn answer(&mut self, id: u64, answer: Answer) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let Some(reply) = open.client.take() else { return false };
        open.call_off();
        if open.shot.is_none() {
            self.forget(id);
        }
        reply.give(answer);
        true
    }

    /// Room for a body of so many bytes, if there is any.
    pub fn hold(&mut self, bytes: usize) -> Option<Permit> {
        let mut held = self.requests.hold(0);
        held.grow(bytes).then_some(held)
    }

    /// The budget for answers, and the longest body of one.
    pub fn answers(&self) -> (MemoryBudget, usize) {
        (self.answers.clone(), (self.config.limits.memory_mb * 1e6 * ONE_ANSWER) as usize)
    }

    /// No transaction is open, and no client connected.
    pub fn nothing_left(&self) -> bool {
        self.open.is_empty() && self.clients.is_empty()
    }

    // Shots.

    fn send(&mut self, id: u64, stop_at: f64, node: NodeId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let stop_at = if stop_at > 0.0 { stop_at.min(open.outer) } else { open.outer };
        let shot = Rc::new(Shot {
            id,
            number: open.shots,
            node,
            stop_at,
            sent_at: self.now,
            progress: Cell::new(Progress::Connecting),
            ended: Cell::new(None),
            told: Notify::default(),
        });
        open.shots += 1;
        self.counts.shots += 1;
        self.counts.further += u64::from(shot.number > 0);
        open.shot = Some(shot.clone());
        self.timers.set(stop_at, Timer::Stop(id, shot.number));
        let message = open.message.clone();
        if let Some(executor) = self.executor.upgrade() {
            let peer = Peer::Node(shot.node.0.clone());
            spawn(&executor, TaskKind::Attempt, peer, upstream::shoot(self.me.clone(), shot, message));
        }
    }

    fn end_shot(&mut self, id: u64, number: u32, ended: Ended) {
        let shot = self.open.get(&id).and_then(|open| open.shot.as_ref());
        shot.filter(|shot| shot.number == number).into_iter().for_each(|shot| shot.end(ended));
    }

    /// A shot is over, and its connection closed or back in the pool.
    pub fn returned(&mut self, shot: &Shot, ended: Ended, told: Told, answer: Option<Answer>) {
        let outcome = outcome(ended, shot.progress());
        if outcome == Outcome::Settled {
            let settled = answer.is_some_and(|answer| self.answer(shot.id, answer));
            self.counts.settled += u64::from(settled);
        }
        self.events.push_back(Happened::Back(shot.id, shot.number, outcome, told));
    }

    /// Shots out at a node by the sockets.
    pub fn out(&self, node: &NodeId) -> usize {
        let shots = self.open.values().filter_map(|open| open.shot.as_ref());
        shots.filter(|shot| shot.node == *node).count()
    }

    /// Whether nothing may leave for a node any more: it has drained for as long as the rule allows, with room
    /// for what the kernel takes.
    pub fn shut(&self, node: &NodeId) -> bool {
        let since = self.nodes.get(node).map(|node| node.shut_since);
        since.is_none_or(|since| {
            since.is_some_and(|since| self.now - since >= 0.8 * self.config.waits.drain_grace)
        })
    }

    // Discovery.

    /// Whether this address of discovery is of use: the one in force until another has told its list, and the newest.
    pub fn heeds(&self, source: u64) -> bool {
        source == self.source || source == self.newest && source > self.source
    }

    /// News of a list; false where it is of before what is known. A whole list of before is taken, as its versions may
    /// be counted anew, but what is known to drain or to be gone stays so until its next start.
    pub fn news(&mut self, listing: &Listing) -> bool {
        let older = listing.index < self.index;
        if older && !listing.snapshot {
            return false;
        }
        self.heard |= listing.snapshot;
        self.index = listing.index;
        self.listed(listing, if listing.snapshot { ListKind::Complete } else { ListKind::Changes }, older);
        true
    }

    fn listed(&mut self, listing: &Listing, scope: ListKind, older: bool) {
        let now = self.now;
        self.gone.retain(|_, (_, at)| now - *at < GONE_KEPT);
        let mut known = Vec::new();
        for endpoint in &listing.endpoints {
            let Ok(address) = endpoint.address.parse::<SocketAddr>() else {
                warn!(
                    node = endpoint.name,
                    address = endpoint.address,
                    "not an address and a port; left out"
                );
                continue;
            };
            let name = NodeId(Arc::from(endpoint.name.as_str()));
            // Both clocks count from 1970.
            let started = endpoint.since_ms / 1e3;
            if older && self.gone.get(&name).is_some_and(|(gone, _)| started <= *gone) {
                continue;
            }
            let drains = self.nodes.get(&name).filter(|node| node.started >= started);
            let condition = match endpoint.status {
                Status::InService if older && drains.is_some_and(Node::drains) => NodeCondition::Draining,
                Status::InService => NodeCondition::Ready,
                Status::Terminating => NodeCondition::Draining,
                Status::Terminated => NodeCondition::Removed,
            };
            match condition {
                NodeCondition::Removed => self.leave(&name),
                _ => {
                    self.gone.remove(&name);
                    let fresh = || Node { address, pool: Pool::default(), shut_since: None, started };
                    let node = self.nodes.entry(name.clone()).or_insert_with(fresh);
                    if node.life() != (address, started) {
                        // Moved or started anew: what stands idle leads to what was there before.
                        node.pool.clear();
                        (node.address, node.started) = (address, started);
                    }
                    if condition == NodeCondition::Ready {
                        node.shut_since = None;
                    } else {
                        // Only a change says that it holds from now on; a whole list tells of what may have been for long.
                        let since = if scope == ListKind::Changes { now } else { f64::NEG_INFINITY };
                        node.shut_since.get_or_insert(since);
                        node.pool.clear();
                    }
                }
            }
            known.push((name, BlockId(endpoint.group), condition, started, endpoint.weight));
        }
        if scope != ListKind::Changes {
            let listed: BTreeSet<&NodeId> = known.iter().map(|(name, ..)| name).collect();
            let gone: Vec<NodeId> =
                self.nodes.keys().filter(|name| !listed.contains(name)).cloned().collect();
            gone.iter().for_each(|name| self.leave(name));
        }
        debug!(index = listing.index, ?scope, entries = known.len(), "list");
        self.events.push_back(Happened::List(scope, known));
    }

    /// A node is no longer listed.
    fn leave(&mut self, name: &NodeId) {
        if let Some(node) = self.nodes.remove(name) {
            self.gone.insert(name.clone(), (node.started, self.now));
        }
    }

    // Clients.

    /// Whether clients may be told that we are up.
    pub fn ready(&self) -> bool {
        self.heard || self.clock.now() - self.started >= LISTENED
    }

    /// Whether more clients are connected than have room: some of them are about to close.
    pub fn crowded(&self) -> bool {
        self.clients.len() > self.most_clients
    }

    /// A new client connection, or nothing where there is no room.
    pub fn opened(&mut self) -> Option<(u64, Rc<Notify>)> {
        self.counts.accepted += 1;
        let most = self.most_clients + CLOSING;
        if self.clients.len() >= self.most_clients && (self.clients.len() >= most || !self.evict()) {
            return None;
        }
        let (number, close_request) = (self.next_client, Rc::<Notify>::default());
        self.next_client += 1;
        self.clients.insert(
            number,
            ClientConnection {
                state: ConnectionState::Fresh,
                since: self.now,
                close_request: close_request.clone(),
            },
        );
        Some((number, close_request))
    }

    /// Leave to tell one more client that there is no room for it.
    pub fn refusal(&mut self) -> Option<Rc<()>> {
        let leave = (Rc::strong_count(&self.refusals) <= self.most_refusals).then(|| self.refusals.clone());
        self.counts.turned_away += u64::from(leave.is_some());
        leave
    }

    /// Makes room: what is silent since it was opened goes first, with what only lingers, then what is idle for longest, then what has
    /// just been opened. None with a transaction, nor with a request half read.
    fn evict(&mut self) -> bool {
        let quick = 0.2;
        let order = |client: &ClientConnection| match client.state {
            ConnectionState::Fresh if self.now - client.since > quick => Some(0),
            ConnectionState::Lingering => Some(0),
            ConnectionState::Idle => Some(1),
            ConnectionState::Fresh => Some(2),
            _ => None,
        };
        let ranked = self.clients.iter().filter_map(|(at, client)| Some((order(client)?, client.since, *at)));
        let best = ranked.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        let Some((_, _, at)) = best else { return false };
        self.counts.evicted += 1;
        self.clients
            .get_mut(&at)
            .into_iter()
            .for_each(|client| client.to(ConnectionState::Evicted, self.now));
        true
    }

    /// The next step of the process's end, or the same once more; it never goes back.
    pub fn stop(&mut self, next: ShutdownStage) {
        self.stop = self.stop.max(next);
        if next >= ShutdownStage::ClosingIdle {
            self.close_idle(f64::NEG_INFINITY);
        }
        if next == ShutdownStage::Terminating {
            // Nor is anything taken any more: an order to close reaches those that wait for the rest of a request.
            let waits = |client: &&mut ClientConnection| {
                matches!(client.state, ConnectionState::Fresh | ConnectionState::Reading)
            };
            let now = self.now;
            self.clients
                .values_mut()
                .filter(waits)
                .for_each(|client| client.to(ConnectionState::Closing, now));
            // What is open by now has come to no end that could be told.
            let open: Vec<u64> = self.open.keys().copied().collect();
            for id in open {
                self.counts.scrapped += u64::from(self.answer(id, Answer::Scrapped));
            }
        }
    }

    /// Closes client connections that are idle for longer than this, seconds.
    fn close_idle(&mut self, most: f64) {
        let now = self.now;
        let idle = |client: &&mut ClientConnection| {
            client.state == ConnectionState::Idle && now - client.since > most
        };
        self.clients.values_mut().filter(idle).for_each(|client| client.to(ConnectionState::Closing, now));
    }

    fn sweep(&mut self) {
        let idle = self.config.waits.idle;
        let now = self.now;
        self.nodes.values_mut().for_each(|node| node.pool.sweep(now, idle));
        // Clients may have as many connections as we hold, and leave some for good: those keep new ones out.
        let pressed = 2 * self.clients.len() > self.most_clients;
        self.close_idle(if pressed { IDLE_PRESSED } else { IDLE });
    }

    /// The counts, with what is open now.
    pub fn counted(&mut self) -> Counts {
        (self.counts.open, self.counts.clients) = (self.open.len(), self.clients.len());
        self.counts.node_connections = self.upstream_connections.get();
        (self.counts.volumes, self.counts.keys) = self.core.tracked_counts();
        self.counts.descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, Iterator::count);
        let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
        let pages = pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0);
        self.counts.resident_kb = pages * 4;
        self.counts.polls = take_summary();
        let counts = self.counts.clone();
        self.counts.lag = 0.0;
        counts
    }
}

fn name(outcome: Outcome) -> &'static str {
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
