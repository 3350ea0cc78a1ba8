//! One initiator's state outside the core: open transactions, connections, nodes, timers. Every event of the
//! sockets becomes a call of the core here, and the core's actions are carried out here; nothing is decided.
//!
//! Bounds, and what happens at them: client connections (closed at once), open transactions (turned away before
//! the core), data held for one client connection (turned away), commands at one node (the queue's size; then a
//! fresh connection), waits on unfinished PDUs and on peers that do not read (closed).

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
use crate::node_list::{ListSnapshot, ListedNode, NodeList, RegisterCall};
use crate::outcome::{outcome, Progress, ShotEnd};
use crate::peer::{write_output, StallDetector};
use crate::peer_signals::Shares;
use crate::polls::{spawn, take_summary, Peer, TaskKind};
use crate::run::Options;
use crate::subsystem::GatewaySubsystem;
use crate::timer_wheel::TimerWheel;

/// Data asked for and not yet taken by one client connection, bytes, at which its commands are turned away.
const MOST_HELD: usize = 16 << 20;
/// Bytes handed to the kernel in one call.
const BATCH: usize = 256 << 10;
/// How often the loop shows that it gets its turns, and how late that may be before it counts as a stall.
const BEAT: f64 = 0.02;
const STALL: f64 = 0.06;
/// How often connections are looked over for idleness and half PDUs.
const SWEEP: f64 = 0.25;
/// Calls to the register that wait to be written, at most; the core asks once in seconds.
const MOST_CALLS: usize = 64;

/// What happens to the core, in order.
enum Happened {
    List(ListKind, Vec<ListedNode>),
    Taken(u64),
    /// Transaction, shot, what ended it, and what the answer told.
    Back(u64, u32, ShotEnd, Told),
    Lapsed(u64),
    Rang(u64),
    /// A member's signal.
    Signal(MemberId, Vec<u8>),
}

enum Timer {
    Core(u64),
    /// The time of a shot is up.
    Stop(u64, u32),
    /// The grace for a draining node ends: nothing more may leave for it.
    Grace(NodeId),
    Beat,
    Sweep,
    /// The signals' turn.
    Share,
}

struct Shot {
    number: u32,
    node: NodeId,
    progress: Progress,
    /// Connection and command id once it is queued there.
    at: Option<(u64, u16)>,
    sent_at: f64,
}

struct Open {
    /// Client connection and its command id, until the final answer.
    client: Option<(u64, u16)>,
    band: usize,
    volume: u32,
    block: i64,
    extent: u64,
    initiators: f64,
    units: f64,
    outer: f64,
    sqe: Sqe,
    marks: Marks,
    data: Vec<u8>,
    read: usize,
    shots: u32,
    shot: Option<Shot>,
}

struct Front {
    stream: Rc<Async<TcpStream>>,
    machine: Controller,
    sent: usize,
    open: HashMap<u16, u64>,
    /// Read data that its open commands will bring.
    asked: usize,
    stall: StallDetector,
    blocked: bool,
}

struct Queued {
    id: u64,
    shot: u32,
    cid: u16,
    bytes: Vec<u8>,
}

struct Back {
    node: NodeId,
    stream: Rc<Async<TcpStream>>,
    machine: Host,
    queue: VecDeque<Queued>,
    current: Vec<u8>,
    sent: usize,
    /// Commands whose bytes are in `current`: where each starts and ends there, and its id.
    leaving: VecDeque<(usize, usize, u16)>,
    shots: HashMap<u16, (u64, u32)>,
    stall: StallDetector,
    used_at: f64,
    blocked: bool,
    /// No more commands: its queue is full of ids whose late answers never came.
    retired: bool,
    /// Its number among the association's queues.
    number: u16,
    /// Admin queue: the Keep Alive that is out, and when the last was sent.
    keeping: Option<u16>,
    kept_at: f64,
}

#[derive(Default)]
enum Link {
    #[default]
    Closed,
    Opening,
    /// I/O connections and the admin connection.
    Up(Vec<u64>, u64),
}

#[derive(Default)]
struct Node {
    link: Link,
    /// Shots that wait for a connection.
    waiting: VecDeque<(u64, u32)>,
    /// Since when we know that it drains or is gone.
    shut_since: Option<f64>,
    node_association: NodeAssociation,
    /// When it started, as the list told last; 0: long ago.
    started: Option<f64>,
}

pub struct Instance {
    pub deployment: Rc<Deployment>,
    pub name: String,
    core: Box<dyn Core>,
    actions: Actions,
    events: VecDeque<Happened>,
    clock: Clock,
    now: f64,
    beat_at: f64,
    timers: TimerWheel<Timer>,
    wake: Rc<Notify>,
    open: BTreeMap<u64, Open>,
    next_id: u64,
    next_connection: u64,
    associations: Associations,
    chance: WyRand,
    index: Index,
    fronts: HashMap<u64, Front>,
    backs: HashMap<u64, Back>,
    nodes: BTreeMap<NodeId, Node>,
    /// Connections with output to be written at the end of this turn.
    dirty: Vec<u64>,
    list: NodeList,
    keeper: BackgroundFile,
    pub calls: VecDeque<RegisterCall>,
    pub calls_ready: Rc<Notify>,
    marks_from: u64,
    pub counts: Counts,
    /// Where initiators talk.
    shares: Option<Shares>,
    skew: SkewedClock,
    executor: Weak<LocalExecutor<'static>>,
    me: Weak<RefCell<Instance>>,
}

impl Driver for Instance {
    /// The clock as it is, between turns.
    fn clock_now(&self) -> f64 {
        self.skew.monotonic(self.clock.now())
    }

    /// Reads the clock; every turn starts with it, and the core is called with nothing else.
    fn begin_turn(&mut self) {
        self.now = self.clock_now().max(self.now);
    }

    /// Feeds the core all that happened, carries out what it asks for, and writes what is to be written.
    fn finish_turn(&mut self) {
        loop {
            self.hand_over();
            if !self.events.is_empty() {
                continue;
            }
            let Some(connection) = self.dirty.pop() else { break };
            self.flush(connection);
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
                Timer::Core(tag) => self.events.push_back(Happened::Rang(tag)),
                Timer::Stop(id, shot) => self.end_shot(id, shot, ShotEnd::TimedOut, Told::default()),
                Timer::Grace(node) => self.grace_over(&node),
                // Set again when what happened is settled.
                Timer::Share => {}
                Timer::Beat => {
                    let since = self.now - self.beat_at;
                    self.counts.stalls += u64::from(since > STALL);
                    self.counts.longest_stall = self.counts.longest_stall.max(since);
                    self.beat_at = self.now;
                    self.timers.set(self.now + BEAT, Timer::Beat);
                }
                Timer::Sweep => {
                    self.sweep();
                    self.timers.set(self.now + SWEEP, Timer::Sweep);
                }
            }
            // In order: what one timer brings about comes before the next.
            self.hand_over();
        }
    }

    fn timer_changed(&self) -> Rc<Notify> {
        self.wake.clone()
    }
}

impl Instance {
    pub fn start(options: &Options, executor: &Rc<LocalExecutor<'static>>) -> Rc<RefCell<Instance>> {
        let (clock, deployment) = (Clock::default(), options.deployment.clone());
        let skew =
            options.fleet.as_ref().map_or_else(SkewedClock::default, |fleet| fleet.skewed_clock.clone());
        let now = skew.monotonic(clock.now());
        let (list, told) = NodeList::load(&options.list_path);
        if let Some(told) = told {
            warn!(told, "the last node list cannot be read; started without");
        }
        let signals = options.fleet.as_ref().and_then(|fleet| fleet.signals.clone());
        let shares = signals.map(|figures| Shares::new(Signals::start(now, figures)));
        let mut actions = Actions(VecDeque::new(), shares.as_ref().map(|_| Vec::new()));
        let core = (options.core_factory)(now, options.seed, &deployment, &mut actions);
        let known = list.known();
        info!(nodes = known.len(), "started with the last node list");
        let instance = Rc::new(RefCell::new(Instance {
            name: format!("nqn.2026-12.example.quaypath:initiator:{}", options.number),
            deployment,
            core,
            actions,
            events: VecDeque::from([Happened::List(ListKind::Cached, known)]),
            clock,
            now,
            beat_at: now,
            timers: TimerWheel::new(now),
            wake: Rc::default(),
            open: BTreeMap::new(),
            next_id: 1,
            next_connection: 1,
            associations: Associations::new(options.deployment.listen.connections),
            chance: WyRand::new_seed(options.seed ^ 0x9a7),
            index: Index::new(&options.deployment),
            fronts: HashMap::new(),
            backs: HashMap::new(),
            nodes: BTreeMap::new(),
            dirty: Vec::new(),
            list,
            keeper: BackgroundFile::start(options.list_path.clone(), |path, error| {
                warn!(path = %path.display(), %error, "the node list is not kept");
            }),
            calls: VecDeque::new(),
            calls_ready: Rc::default(),
            marks_from: options.seed.rotate_left(17) | 1 << 63,
            counts: Counts::default(),
            shares,
            skew,
            executor: Rc::downgrade(executor),
            me: Weak::new(),
        }));
        let mut this = instance.borrow_mut();
        this.me = Rc::downgrade(&instance);
        this.timers.set(now + BEAT, Timer::Beat);
        this.timers.set(now + SWEEP, Timer::Sweep);
        this.finish_turn();
        drop(this);
        instance
    }

    pub fn executor(&self) -> Option<Rc<LocalExecutor<'static>>> {
        self.executor.upgrade()
    }

    /// To the core what happened, then to the sockets what it asks for, which may make more happen.
    fn hand_over(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.feed(event);
        }
        self.share();
        while let Some(action) = self.actions.0.pop_front() {
            self.carry_out(action);
        }
    }

    fn feed(&mut self, event: Happened) {
        let (now, out) = (self.now, &mut self.actions);
        let began = Instant::now();
        match event {
            Happened::List(scope, known) => {
                self.core.list_known(now, scope, &known, out);
                self.counts.core_seconds += began.elapsed().as_secs_f64();
                self.shut(&known, scope);
                return;
            }
            Happened::Taken(id) => {
                let Some(t) = self.open.get(&id) else { return };
                let plan = self.deployment.volumes[&t.volume].plan;
                let extent = ExtentId(Arc::from(format!("{}:{}", t.volume, t.extent)));
                let volume = VolumeId(Arc::from(t.volume.to_string()));
                self.core.taken(
                    now,
                    TransactionId(id),
                    t.initiators,
                    Some(PlanId(plan)),
                    BandId(t.band),
                    Some(extent),
                    t.outer - now,
                    t.units,
                    volume,
                    Some(BlockId(t.block)),
                    out,
                );
            }
            Happened::Back(id, number, ended, told) => {
                let Some(t) = self.open.get_mut(&id) else { return };
                let Some(shot) = t.shot.take_if(|shot| shot.number == number) else { return };
                let outcome = outcome(ended, shot.progress);
                let over = t.client.is_none();
                let (used, others) = (f64::from(told.used), f64::from(told.others));
                let (delay, last) = (now - shot.sent_at, over || outcome == Outcome::Settled);
                self.core.returned(
                    now,
                    TransactionId(id),
                    &shot.node,
                    number,
                    used,
                    delay,
                    last,
                    outcome,
                    others,
                    &[told.latency * 1e3],
                    out,
                );
                if over {
                    self.open.remove(&id);
                }
            }
            Happened::Signal(from, bytes) => {
                let shares = self.shares.iter_mut();
                shares.for_each(|shares| shares.heard(now, from, &bytes, self.core.as_mut(), out));
            }
            Happened::Lapsed(id) => self.core.lapsed(now, TransactionId(id), out),
            Happened::Rang(tag) => self.core.rang(now, tag, out),
        }
        self.counts.core_seconds += began.elapsed().as_secs_f64();
    }

    /// Gives the signals their turn.
    fn share(&mut self) {
        let Some(shares) = &mut self.shares else { return };
        if let Some(at) = shares.settle(self.now, self.core.as_mut(), &mut self.actions) {
            self.timers.set(at, Timer::Share);
        }
    }

    /// A member of the fleet sent a signal.
    pub fn signalled(&mut self, from: MemberId, bytes: Vec<u8>) {
        self.events.push_back(Happened::Signal(from, bytes));
    }

    /// What is held of a member changed.
    pub fn holds(&mut self, member: MemberId, dead: bool) {
        self.shares.iter_mut().for_each(|shares| shares.signals.set_member_dead(member, dead));
    }

    /// How this process signals from now on, by a day's script.
    pub fn behave(&mut self, manner: SignalBehavior) {
        self.shares.iter_mut().for_each(|shares| shares.signals.set_behavior(manner));
    }

    /// Signals for members, and who waits for them.
    pub fn tells(&mut self) -> Vec<(MemberId, Vec<u8>)> {
        self.shares.iter_mut().flat_map(|shares| shares.tells.drain(..)).collect()
    }

    pub fn tells_ready(&self) -> Option<Rc<Notify>> {
        self.shares.as_ref().map(|shares| shares.tells_ready.clone())
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send(id, stop_at, node) => self.send(id, stop_at, node),
            Action::Cancel(id, shot) => {
                self.end_shot(id, shot, ShotEnd::Cancelled, Told::default());
            }
            Action::Decline(id, come_back) => {
                let told = (come_back * 1e3).round().clamp(0.0, f64::from(u32::MAX)) as u32;
                self.counts.declined +=
                    u64::from(self.answer(id, status::INTERRUPTED | status::CRD1, told, &[]));
            }
            Action::Scrap(id) => {
                self.counts.scrapped +=
                    u64::from(self.answer(id, status::INTERNAL_ERROR | status::DNR, 0, &[]));
            }
            Action::Timer(after, tag) => self.timers.set(self.now + after.max(0.0), Timer::Core(tag)),
            Action::RegisterCall(call) => {
                if self.calls.len() < MOST_CALLS {
                    self.calls.push_back(call);
                    self.calls_ready.notify();
                }
            }
            Action::Close(node) => self.close_idle(&node),
            Action::Unsupported(what) => {
                debug!(what, "asked for by the core, and no deployment here allows it")
            }
        }
    }

    // Timers.

    /// How long what is read now may have waited while the loop had no turn, seconds.
    fn waited(&self) -> f64 {
        let since = self.now - self.beat_at;
        if since > STALL {
            since
        } else {
            0.0
        }
    }

    fn sweep(&mut self) {
        let (now, waits) = (self.now, self.deployment.connections.clone());
        let stall = |stall: &StallDetector| stall.stalled_longer_than(now, waits.half_pdu);
        let fronts: Vec<u64> =
            self.fronts.iter().filter(|(_, front)| stall(&front.stall)).map(|(at, _)| *at).collect();
        for connection in fronts {
            warn!(connection, "closed: the client left a PDU unfinished or does not read");
            // What a client does not read would stay in the kernel for as long as it stays.
            let stream = self.fronts[&connection].stream.clone();
            let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
            self.client_closed(connection);
        }
        for connection in self.associations.lost(now) {
            info!(connection, "closed: nothing was heard of the client for its keep alive time-out");
            self.client_closed(connection);
        }
        self.keep_alive();
        let backs: Vec<u64> =
            self.backs.iter().filter(|(_, back)| stall(&back.stall)).map(|(at, _)| *at).collect();
        for connection in backs {
            warn!(connection, "closed: the node left a PDU unfinished or does not read");
            self.node_closed(connection);
        }
        let idle = |back: &Back| {
            back.machine.live() == 0
                && back.queue.is_empty()
                && back.sent == back.current.len()
                && (back.retired || now - back.used_at > waits.idle)
        };
        // An association goes as a whole: when all its I/O queues are idle, by its admin queue.
        let mut closing = Vec::new();
        let mut kept: Vec<u64> = Vec::new();
        for node in self.nodes.values() {
            if let Link::Up(ios, admin) = &node.link {
                kept.extend(ios.iter().chain([admin]));
                if ios.iter().all(|io| self.backs.get(io).is_none_or(idle)) {
                    closing.push(*admin);
                }
            }
        }
        let others = self.backs.iter().filter(|(at, back)| !kept.contains(at) && idle(back));
        closing.extend(others.map(|(at, _)| *at));
        for connection in closing {
            let node = self.backs.get(&connection).filter(|_| kept.contains(&connection));
            let node = node.map(|back| back.node.clone());
            // Closed by us for want of use: not a loss.
            node.into_iter()
                .for_each(|node| self.handle_association_event(&node, AssociationEvent::IdleClosed));
            self.node_closed(connection);
        }
        let listed = self.nodes.iter().filter(|(_, node)| node.shut_since.is_none());
        let names: Vec<NodeId> = listed.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.handle_association_event(name, AssociationEvent::Tick));
        // A node that is gone, with nothing at it, need not be remembered.
        self.nodes.retain(|_, node| {
            let missed =
                matches!(node.node_association.state(), crate::node_association::State::BackingOff { .. });
            let idle = matches!(node.link, Link::Closed) && node.waiting.is_empty() && !missed;
            !(idle && node.shut_since.is_none_or(|since| now - since > 60.0))
        });
    }

    /// The counts, with what is open now.
    pub fn current_counts(&mut self) -> Counts {
        (self.counts.open, self.counts.connections) = (self.open.len(), self.fronts.len() + self.backs.len());
        (self.counts.volumes, self.counts.keys) = self.core.accounts();
        self.counts.superseded = self.keeper.superseded();
        self.counts.polls = take_summary();
        self.counts.signals = self.shares.as_ref().map(|shares| shares.signals.counts());
        self.counts.clone()
    }

    /// Asks nodes for a sign of life, and gives up associations that gave none in time.
    fn keep_alive(&mut self) {
        let (now, wait) = (self.now, self.deployment.connections.keep_alive);
        if wait <= 0.0 {
            return;
        }
        let up = self.nodes.values().filter_map(|node| match &node.link {
            Link::Up(_, admin) => Some(*admin),
            _ => None,
        });
        let admins: Vec<u64> = up.collect();
        for admin in admins {
            let Some(back) = self.backs.get_mut(&admin) else { continue };
            let since = now - back.kept_at;
            // Half of the time-out: the side that hears nothing gives up before the side that is not heard, whose
            // own time-out began with the Keep Alive.
            if back.keeping.is_some() && since > wait / 2.0 {
                warn!(node = %back.node.0, "closed: the node gave no sign of life for the keep alive time-out");
                self.counts.keep_alive_lost += 1;
                self.node_closed(admin);
            } else if back.keeping.is_none() && since > wait / 3.0 {
                if let Some((cid, bytes)) = back.machine.submit(plain(opcode::KEEP_ALIVE), Vec::new(), 0) {
                    (back.keeping, back.kept_at) = (Some(cid), now);
                    back.machine.out.extend(bytes);
                    self.dirty.push(admin);
                }
            }
        }
    }

    // The register.

    pub fn list_received(&mut self, news: &ListSnapshot) {
        let known = self.list.take(self.now, news);
        self.keeper.set_content(self.list.bytes());
        debug!(revision = news.revision, entries = known.len(), "news of the register");
        self.events.push_back(Happened::List(ListKind::Complete, known));
    }

    /// Parts of the data and the ready node of each, by the list as it is held.
    pub fn holders(&self) -> BTreeMap<BlockId, NodeId> {
        let ready =
            self.list.known().into_iter().filter(|(_, _, condition, ..)| *condition == NodeCondition::Ready);
        ready.map(|(node, block, ..)| (block, node)).collect()
    }

    /// A call failed or the connection to the register went while one may stand.
    pub fn call_failed(&mut self) {
        if self.deployment.register.mode == Mode::Asked {
            self.events.push_back(Happened::List(ListKind::FetchFailed, Vec::new()));
        }
    }

    /// From here on nothing new leaves for nodes that drain or are gone: what waits in our own queues is taken
    /// back at once, and what the kernel still holds when the grace ends is reset.
    fn shut(&mut self, known: &[ListedNode], scope: ListKind) {
        let mut shut: Vec<NodeId> = Vec::new();
        for (node, _, condition, started, _) in known {
            match condition {
                NodeCondition::Ready => {
                    let Some(of) = self.nodes.get_mut(node) else { continue };
                    of.shut_since = None;
                    let anew = of.started.replace(*started).is_some_and(|before| before != *started);
                    self.handle_association_event(node, AssociationEvent::NodeReady);
                    if anew {
                        self.handle_association_event(node, AssociationEvent::NodeRestarted);
                    }
                }
                _ => shut.push(node.clone()),
            }
        }
        if matches!(scope, ListKind::Complete) {
            let listed = |node: &NodeId| known.iter().any(|(listed, ..)| listed == node);
            shut.extend(self.nodes.keys().filter(|node| !listed(node)).cloned());
        }
        let grace = self.grace();
        for name in shut {
            let now = self.now;
            let Some(node) = self.nodes.get_mut(&name).filter(|node| node.shut_since.is_none()) else {
                continue;
            };
            node.shut_since = Some(now);
            node.node_association.handle(now, AssociationEvent::NodeUnavailable, 0.0);
            self.timers.set(now + grace, Timer::Grace(name.clone()));
            let waiting: Vec<(u64, u32)> = node.waiting.drain(..).collect();
            let queued = self.backs.values().filter(|back| back.node == name);
            let queued: Vec<_> =
                queued.flat_map(|back| back.queue.iter().map(|one| (one.id, one.shot))).collect();
            for (id, shot) in waiting.into_iter().chain(queued) {
                self.end_shot(id, shot, ShotEnd::ConnectionLost, Told::default());
            }
        }
    }

    /// When what the kernel holds for a draining node is discarded: early enough for the reset to take its time.
    fn grace(&self) -> f64 {
        (self.deployment.book.drain_grace * 0.9 - 0.01).max(0.0)
    }

    fn grace_over(&mut self, name: &NodeId) {
        // Listed ready again meanwhile, or shut anew: then a later timer is the one.
        let since = self.nodes.get(name).and_then(|node| node.shut_since);
        if since.is_none_or(|since| self.now - since < self.grace() - 1e-6) {
            return;
        }
        let held = |back: &Back| {
            let fd = back.stream.get_ref();
            // Bytes that the peer's kernel has not taken. TIOCOUTQ only reads a count into an int.
            let unsent = unsafe {
                let get = ioctl::Getter::<{ 0x5411 as ioctl::Opcode }, i32>::new();
                ioctl::ioctl(fd, get)
            };
            back.sent < back.current.len() || unsent.is_ok_and(|bytes| bytes > 0)
        };
        let late: Vec<u64> = self
            .backs
            .iter()
            .filter(|(_, back)| back.node == *name && held(back))
            .map(|(at, _)| *at)
            .collect();
        for connection in late {
            warn!(node = %name.0, "reset: commands for a draining node had not left by the end of the grace");
            self.counts.drain_resets += 1;
            let stream = self.backs[&connection].stream.clone();
            // Zero linger: what the kernel holds is discarded.
            let _ = socket2::SockRef::from(stream.get_ref()).set_linger(Some(std::time::Duration::ZERO));
            self.node_closed(connection);
        }
    }

    // Clients.

    pub fn client_connected(&mut self, stream: Rc<Async<TcpStream>>) -> Option<u64> {
        if self.fronts.len() >= self.deployment.listen.connections {
            return None;
        }
        let connection = self.next_connection;
        self.next_connection += 1;
        let front = Front {
            stream,
            machine: Controller::default(),
            sent: 0,
            open: HashMap::new(),
            asked: 0,
            stall: StallDetector { incomplete_since: Some(self.now), unread_since: None },
            blocked: false,
        };
        self.fronts.insert(connection, front);
        Some(connection)
    }

    /// Bytes of a client. False where the connection is of no more use.
    pub fn client_read(&mut self, connection: u64, bytes: &[u8]) -> bool {
        let Some(front) = self.fronts.get_mut(&connection) else { return false };
        let mut events = Vec::new();
        let before = front.machine.whole();
        let fed = front.machine.feed(bytes, &mut events);
        let progress = front.machine.whole() > before;
        self.dirty.push(connection);
        let mut good = fed.is_ok();
        if let Err(why) = fed {
            warn!(connection, %why, "a client broke the protocol");
        }
        for event in events {
            match event {
                controller::Event::Connect { queue, controller, host, keep_alive_ms, .. } => {
                    self.connect(connection, queue, controller, &host, keep_alive_ms);
                }
                controller::Event::Command { sqe, data } => self.command(connection, sqe, data),
                controller::Event::Terminated { status, info } => {
                    debug!(connection, status, info, "the client ended the connection");
                    good = false;
                }
            }
        }
        if let Some(front) = self.fronts.get_mut(&connection) {
            front.stall.record_read(self.now, progress, front.machine.unfinished());
        }
        if !good {
            // The term request still goes out.
            self.finish_turn();
        }
        good
    }

    fn connect(&mut self, connection: u64, queue: u16, controller: u16, host: &str, keep_alive_ms: u32) {
        let given = self.associations.connect(self.now, connection, queue, controller, host, keep_alive_ms);
        let Some(front) = self.fronts.get_mut(&connection) else { return };
        front.machine.answer(given);
    }

    fn respond(&mut self, connection: u64, cid: u16, status: u16, dw0: u32, data: &[u8]) {
        self.respond_with(connection, Cqe { dw0, cid, status, ..Cqe::default() }, data);
    }

    fn respond_with(&mut self, connection: u64, cqe: Cqe, data: &[u8]) {
        if let Some(front) = self.fronts.get_mut(&connection) {
            front.machine.respond(cqe, data);
            self.dirty.push(connection);
        }
    }

    fn command(&mut self, connection: u64, sqe: Sqe, data: Vec<u8>) {
        let Some(front) = self.fronts.get(&connection) else { return };
        let refuse = status::INVALID_FIELD | status::DNR;
        if front.machine.queue() == 0 {
            return self.admin(connection, &sqe);
        }
        self.associations.heard(self.now, connection);
        let of = self.associations.of(connection).filter(|(association, _)| association.admin.serves());
        let Some(host) = of.map(|(association, _)| host_tag(&association.host)) else {
            return self.respond(connection, sqe.cid, status::COMMAND_SEQUENCE | status::DNR, 0, &[]);
        };
        // Nothing is held here that a flush could make durable: a write is answered after its node has it.
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
        // A write under a reading band would be repeated as a read may be.
        let Some(band) = band.filter(|band| deployment.writes.get(*band) == Some(&writes)) else {
            return self.respond(connection, sqe.cid, refuse, 0, &[]);
        };
        let blocks = (length / BLOCK_SIZE) as u64;
        let place = self.index.place(&deployment, sqe.nsid, sqe.slba());
        let Some(place) = place.filter(|_| sqe.slba() + blocks <= volume.size) else {
            return self.respond(connection, sqe.cid, status::LBA_RANGE | status::DNR, 0, &[]);
        };
        // One transaction is one node's: a transfer over two extents is the host's to split.
        if blocks > place.remaining || length > quaypath_nvme::MAX_DATA {
            return self.respond(connection, sqe.cid, refuse, 0, &[]);
        }
        let (extent, block) = (place.extent, place.block);
        let read = if sqe.opcode == opcode::READ { length } else { 0 };
        let held = front.asked + read + front.machine.out.len() > MOST_HELD;
        if held || self.open.len() >= deployment.listen.open {
            self.counts.turned_away += 1;
            let back = (deployment.core.max_retry_after * 1e3) as u32;
            return self.respond(connection, sqe.cid, status::INTERRUPTED | status::CRD1, back, &[]);
        }
        let longest = deployment.outer[band];
        let asked = if marks.budget_ms == 0 { longest } else { f64::from(marks.budget_ms) / 1e3 };
        // What waited while this loop had no turn has that much less time left.
        let budget = (asked.min(longest) - self.waited()).max(1e-3);
        let units = match marks.units {
            0 => length.div_ceil(4096).min(deployment.most_units as usize) as f64,
            units => f64::from(units).min(f64::from(deployment.most_units)),
        };
        let id = self.next_id;
        self.next_id += 1;
        let initiators =
            if marks.initiators > 0 { f64::from(marks.initiators) } else { f64::from(volume.initiators) };
        let extent = if marks.key > 0 { u64::from(marks.key) } else { extent };
        let mark = if marks.mark > 0 { marks.mark } else { self.marks_from.wrapping_add(id << 8) };
        let open = Open {
            client: Some((connection, sqe.cid)),
            band,
            volume: sqe.nsid,
            block,
            extent,
            initiators,
            units,
            outer: self.now + budget,
            sqe,
            marks: Marks { band: band as u8 + 1, units: units as u8, mark, host, ..marks },
            data,
            read,
            shots: 0,
            shot: None,
        };
        let front = self.fronts.get_mut(&connection).unwrap();
        front.open.insert(sqe.cid, id);
        front.asked += read;
        self.open.insert(id, open);
        self.counts.taken += 1;
        self.events.push_back(Happened::Taken(id));
    }

    /// A command of a client's admin queue.
    fn admin(&mut self, connection: u64, sqe: &Sqe) {
        let deployment = self.deployment.clone();
        let subsystem = GatewaySubsystem { deployment: &deployment };
        match self.associations.command(self.now, connection, sqe, &subsystem) {
            Some(Do::Respond(cqe, data)) => self.respond_with(connection, cqe, &data),
            Some(Do::Disconnect(cqe)) => self.respond_with(connection, cqe, &[]),
            Some(Do::Hold) | None => {}
            Some(Do::Abort { cid, queue, command }) => {
                let named = self.associations.beside(connection, queue);
                let found = named.and_then(|at| self.fronts.get(&at)?.open.get(&command).map(|id| (at, *id)));
                if queue == 0 {
                    self.respond(connection, command, status::ABORTED_BY_REQUEST, 0, &[]);
                } else if let Some((at, id)) = found {
                    self.respond(at, command, status::ABORTED_BY_REQUEST, 0, &[]);
                    self.lapse(id);
                }
                // Bit 0 tells that the command was not aborted.
                let dw0 = u32::from(queue != 0 && found.is_none());
                self.respond(connection, cid, status::SUCCESS, dw0, &[]);
            }
        }
        while let Some(cqe) = self.associations.due(connection) {
            self.respond_with(connection, cqe, &[]);
        }
    }

    /// The final answer. True where one was still owed.
    fn answer(&mut self, id: u64, status: u16, dw0: u32, data: &[u8]) -> bool {
        let Some(t) = self.open.get_mut(&id) else { return false };
        let (client, over, read) = (t.client.take(), t.shot.is_none(), t.read);
        if over {
            self.open.remove(&id);
        }
        let Some((connection, cid)) = client else { return false };
        if let Some(front) = self.fronts.get_mut(&connection) {
            front.open.remove(&cid);
            front.asked -= read;
        }
        self.respond(connection, cid, status, dw0, data);
        true
    }

    /// The caller left: the core is told, and nothing is owed any more.
    fn lapse(&mut self, id: u64) {
        let Some(t) = self.open.get_mut(&id) else { return };
        let Some((connection, cid)) = t.client.take() else { return };
        let (over, read) = (t.shot.is_none(), t.read);
        if let Some(front) = self.fronts.get_mut(&connection) {
            front.open.remove(&cid);
            front.asked -= read;
        }
        self.counts.cancelled += 1;
        self.events.push_back(Happened::Lapsed(id));
        if over {
            // The core still has to be told of it; it needs nothing of ours for that.
            self.open.remove(&id);
        }
    }

    pub fn client_closed(&mut self, connection: u64) {
        let Some(front) = self.fronts.remove(&connection) else { return };
        let _ = front.stream.get_ref().shutdown(std::net::Shutdown::Both);
        let mut left: Vec<u64> = front.open.into_values().collect();
        left.sort_unstable();
        left.into_iter().for_each(|id| self.lapse(id));
        for other in self.associations.ended(connection) {
            self.client_closed(other);
        }
    }

    // Shots.

    fn send(&mut self, id: u64, stop_at: f64, node: NodeId) {
        let Some(t) = self.open.get_mut(&id) else { return };
        let number = t.shots;
        t.shots += 1;
        let stop_at = if stop_at > 0.0 { stop_at.min(t.outer) } else { t.outer };
        let (sent_at, progress) = (self.now, Progress::Connecting);
        t.shot = Some(Shot { number, node: node.clone(), progress, at: None, sent_at });
        self.counts.shots += 1;
        self.counts.further += u64::from(number > 0);
        if t.client.is_none() || stop_at <= self.now {
            return self.end_shot(id, number, ShotEnd::TimedOut, Told::default());
        }
        self.timers.set(stop_at, Timer::Stop(id, number));
        let known = self.nodes.entry(node.clone()).or_default();
        match &known.link {
            Link::Up(ios, _) => {
                let ios = ios.clone();
                let io = self.queue_for(&ios);
                self.submit(io, id, number);
            }
            Link::Opening => known.waiting.push_back((id, number)),
            Link::Closed => {
                known.waiting.push_back((id, number));
                self.handle_association_event(&node, AssociationEvent::ShotRequested);
            }
        }
    }

    /// Something happened to the path to a node; what follows from it is done.
    fn handle_association_event(&mut self, name: &NodeId, event: AssociationEvent) {
        let jitter = self.chance.generate::<f64>();
        let Some(node) = self.nodes.get_mut(name) else { return };
        match node.node_association.handle(self.now, event, jitter) {
            Effect::Nothing => {}
            Effect::Open => self.open_association(name.clone()),
            Effect::Retire => {
                // Live commands finish there; the next shot makes a new association.
                if let Link::Up(ios, admin) = std::mem::take(&mut node.link) {
                    for at in ios.iter().chain([&admin]) {
                        self.backs.get_mut(at).into_iter().for_each(|back| back.retired = true);
                    }
                }
            }
        }
    }

    fn open_association(&mut self, name: NodeId) {
        let (Some(executor), Some(node)) = (self.executor.upgrade(), self.nodes.get_mut(&name)) else {
            return;
        };
        node.link = Link::Opening;
        self.counts.connects += 1;
        let peer = Peer::Node(name.0.clone());
        spawn(&executor, TaskKind::NodeConnection, peer, net::open_association(self.me.clone(), name));
    }

    /// The queue that a shot takes: of those with room, the one with the fewest commands. Which node it goes to and
    /// whether it goes at all is the core's; this is only which of the node's connections carries it.
    fn queue_for(&self, ios: &[u64]) -> u64 {
        let load = |io: &u64| {
            let back = self.backs.get(io)?;
            Some((!back.machine.has_room(), back.machine.live(), *io))
        };
        ios.iter().filter_map(load).min().map_or(ios[0], |(_, _, io)| io)
    }

    /// Puts a shot into a connection's queue; a full queue is retired and the shot waits for a fresh one.
    fn submit(&mut self, connection: u64, id: u64, number: u32) {
        let (Some(t), Some(back)) = (self.open.get_mut(&id), self.backs.get_mut(&connection)) else { return };
        let Some(shot) = t.shot.as_mut().filter(|shot| shot.number == number) else { return };
        let left = ((t.outer - self.now).max(0.0) * 1e3).ceil() as u32;
        let marks = Marks { shot: number as u8, budget_ms: left.max(1), key: t.extent as u32, ..t.marks };
        let blocks = (t.sqe.length() / BLOCK_SIZE) as u32;
        let sqe = marks.put(Sqe::transfer(t.sqe.opcode, t.sqe.nsid, t.sqe.slba(), blocks));
        back.used_at = self.now;
        match back.machine.submit(sqe, t.data.clone(), t.read) {
            Some((cid, bytes)) => {
                shot.progress.advance_to(Progress::Queued);
                shot.at = Some((connection, cid));
                back.queue.push_back(Queued { id, shot: number, cid, bytes });
                back.shots.insert(cid, (id, number));
                self.dirty.push(connection);
            }
            None => {
                let node = back.node.clone();
                self.nodes.entry(node.clone()).or_default().waiting.push_back((id, number));
                // As if another process were there: what is out finishes, what comes takes a fresh association.
                self.handle_association_event(&node, AssociationEvent::NodeRestarted);
                self.handle_association_event(&node, AssociationEvent::ShotRequested);
            }
        }
    }

    /// A shot has ended, by whatever: our side of it is cleared, and the core hears of it.
    fn end_shot(&mut self, id: u64, number: u32, ended: ShotEnd, told: Told) {
        let Some(t) = self.open.get_mut(&id) else { return };
        let Some(shot) = t.shot.as_mut().filter(|shot| shot.number == number) else { return };
        match shot.at.take() {
            None => {
                let node = self.nodes.get_mut(&shot.node);
                node.into_iter().for_each(|node| node.waiting.retain(|known| *known != (id, number)));
            }
            Some((connection, cid)) => {
                if let Some(back) = self.backs.get_mut(&connection) {
                    back.shots.remove(&cid);
                    if let Some(at) = back.queue.iter().position(|one| one.cid == cid) {
                        back.queue.remove(at);
                        back.machine.withdraw(cid);
                        self.counts.withdrawn += 1;
                    } else if !matches!(ended, ShotEnd::Answered(_) | ShotEnd::ConnectionLost) {
                        back.machine.forget(cid);
                        let node = back.node.clone();
                        self.abort(&node, connection, cid);
                    }
                }
            }
        }
        self.events.push_back(Happened::Back(id, number, ended, told));
    }

    /// Asks the node to stop work that nobody waits for, on the association's admin queue.
    fn abort(&mut self, node: &NodeId, connection: u64, cid: u16) {
        let Some(Link::Up(ios, admin)) = self.nodes.get(node).map(|node| &node.link) else { return };
        if !ios.contains(&connection) {
            return;
        }
        let (admin, number) = (*admin, self.backs[&connection].number);
        let Some(back) = self.backs.get_mut(&admin) else { return };
        if let Some((_, bytes)) = back.machine.submit(Sqe::abort(number, cid), Vec::new(), 0) {
            back.machine.out.extend(bytes);
            self.dirty.push(admin);
        }
    }

    /// An association is there: its admin queue first, then its I/O queues. Gives the connections' numbers.
    pub fn association_opened(
        &mut self, name: &NodeId, queues: Vec<(Host, Rc<Async<TcpStream>>)>,
    ) -> Vec<u64> {
        let mut ids = Vec::new();
        for (number, (machine, stream)) in (0..).zip(queues) {
            ids.push(self.next_connection);
            let back = Back {
                node: name.clone(),
                stream,
                machine,
                queue: VecDeque::new(),
                current: Vec::new(),
                sent: 0,
                leaving: VecDeque::new(),
                shots: HashMap::new(),
                stall: StallDetector::default(),
                used_at: self.now,
                blocked: false,
                retired: false,
                number,
                keeping: None,
                kept_at: self.now,
            };
            self.backs.insert(self.next_connection, back);
            self.next_connection += 1;
        }
        self.handle_association_event(name, AssociationEvent::Opened);
        let node = self.nodes.entry(name.clone()).or_default();
        node.link = Link::Up(ids[1..].to_vec(), ids[0]);
        let waiting: Vec<_> = node.waiting.drain(..).collect();
        for (id, number) in waiting {
            let io = self.queue_for(&ids[1..]);
            self.submit(io, id, number);
        }
        ids
    }

    pub fn association_failed(&mut self, name: &NodeId, why: &str) {
        self.counts.connects_failed += 1;
        debug!(node = %name.0, why, "no connection");
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.link = Link::Closed;
        let waiting: Vec<_> = node.waiting.drain(..).collect();
        self.handle_association_event(name, AssociationEvent::OpenFailed);
        for (id, number) in waiting {
            self.end_shot(id, number, ShotEnd::ConnectionLost, Told::default());
        }
    }

    /// Bytes of a node. False where the connection is of no more use.
    pub fn node_read(&mut self, connection: u64, bytes: &[u8]) -> bool {
        let Some(back) = self.backs.get_mut(&connection) else { return false };
        let mut events = Vec::new();
        let before = back.machine.whole();
        let fed = back.machine.feed(bytes, &mut events);
        back.stall.record_read(self.now, back.machine.whole() > before, back.machine.pending() > 0);
        if !back.machine.out.is_empty() {
            self.dirty.push(connection);
        }
        let node = back.node.clone();
        let mut good = fed.is_ok();
        if let Err(why) = fed {
            warn!(node = %node.0, %why, "a node broke the protocol");
        }
        for event in events {
            match event {
                host::Event::Done { cid, cqe, data } => self.node_completed(connection, cid, cqe, data),
                host::Event::Late { .. } => self.counts.late_answers += 1,
                host::Event::Terminated { status, info } => {
                    warn!(node = %node.0, status, info, "the node ended the connection");
                    good = false;
                }
                host::Event::Ready { .. } | host::Event::Refused { .. } => {}
            }
        }
        good
    }

    fn node_completed(&mut self, connection: u64, cid: u16, cqe: Cqe, data: Vec<u8>) {
        let Some(back) = self.backs.get_mut(&connection) else { return };
        if back.keeping == Some(cid) {
            back.keeping = None;
            return;
        }
        // Answers to our Aborts, on the admin queue, decide nothing.
        let Some((id, number)) = back.shots.remove(&cid) else { return };
        let told = Told::of(&cqe);
        if outcome(ShotEnd::Answered(cqe.status), Progress::Sent) == Outcome::Settled {
            // The client's answer; the core is told in the same turn that the transaction is over.
            let owed = self.open.get(&id).is_some_and(|t| t.client.is_some());
            if owed {
                self.counts.settled += 1;
                self.answer(id, cqe.status, 0, &data);
            }
        }
        if let Some(shot) = self.open.get_mut(&id).and_then(|t| t.shot.as_mut()) {
            shot.at = None;
        }
        self.end_shot(id, number, ShotEnd::Answered(cqe.status), told);
    }

    pub fn node_closed(&mut self, connection: u64) {
        let Some(back) = self.backs.remove(&connection) else { return };
        let _ = back.stream.get_ref().shutdown(std::net::Shutdown::Both);
        let mut lost: Vec<(u64, u32)> = back.shots.into_values().collect();
        lost.sort_unstable();
        let node = self.nodes.get_mut(&back.node);
        let peers = node.and_then(|node| match &node.link {
            Link::Up(ios, admin) if ios.contains(&connection) || *admin == connection => {
                let peers: Vec<u64> = ios.iter().chain([admin]).copied().collect();
                node.link = Link::Closed;
                Some(peers)
            }
            _ => None,
        });
        if peers.is_some() {
            self.handle_association_event(&back.node, AssociationEvent::ConnectionLost);
        }
        for (id, number) in lost {
            if let Some(shot) = self.open.get_mut(&id).and_then(|t| t.shot.as_mut()) {
                shot.at = None;
            }
            self.end_shot(id, number, ShotEnd::ConnectionLost, Told::default());
        }
        // The queues of an association live and die together.
        peers.into_iter().flatten().for_each(|peer| self.node_closed(peer));
    }

    fn close_idle(&mut self, node: &NodeId) {
        let Some(Link::Up(ios, admin)) = self.nodes.get(node).map(|node| &node.link) else { return };
        let idle = |io: &u64| {
            self.backs.get(io).is_none_or(|back| back.machine.live() == 0 && back.queue.is_empty())
        };
        if ios.iter().all(idle) {
            let admin = *admin;
            self.handle_association_event(node, AssociationEvent::IdleClosed);
            self.node_closed(admin);
        }
    }

    // Output.

    /// Writes what a connection has to write, as far as the kernel takes it.
    pub fn flush(&mut self, connection: u64) {
        if let Some(front) = self.fronts.get_mut(&connection) {
            let before = front.sent;
            let (out, writes) = (&mut front.machine.out, &mut self.counts.writes);
            match write_output(front.stream.get_ref(), out, &mut front.sent, writes) {
                Ok(true) => front.stall.record_write(self.now, true, false),
                Ok(false) => {
                    front.stall.record_write(self.now, front.sent > before, true);
                    if !std::mem::replace(&mut front.blocked, true) {
                        self.drain_later(connection);
                    }
                }
                Err(_) => self.client_closed(connection),
            }
        } else if self.backs.contains_key(&connection) {
            let (before, now) = (self.backs[&connection].sent, self.now);
            match self.flush_back(connection) {
                Ok(true) => {
                    self.backs
                        .get_mut(&connection)
                        .into_iter()
                        .for_each(|back| back.stall.record_write(now, true, false));
                }
                Ok(false) => {
                    let back = self.backs.get_mut(&connection).unwrap();
                    back.stall.record_write(now, back.sent != before, true);
                    if !std::mem::replace(&mut back.blocked, true) {
                        self.drain_later(connection);
                    }
                }
                Err(_) => self.node_closed(connection),
            }
        }
    }

    fn drain_later(&mut self, connection: u64) {
        let stream = self.stream(connection);
        if let (Some(executor), Some(stream)) = (self.executor.upgrade(), stream) {
            let draining = net::resume_when_writable(self.me.clone(), connection, stream);
            spawn(&executor, TaskKind::Drain, Peer::None, draining);
        }
    }

    pub fn stream(&self, connection: u64) -> Option<Rc<Async<TcpStream>>> {
        let front = self.fronts.get(&connection).map(|front| &front.stream);
        front.or_else(|| self.backs.get(&connection).map(|back| &back.stream)).cloned()
    }

    /// The kernel takes bytes again.
    pub fn writable(&mut self, connection: u64) {
        if let Some(front) = self.fronts.get_mut(&connection) {
            front.blocked = false;
        } else if let Some(back) = self.backs.get_mut(&connection) {
            back.blocked = false;
        }
        self.flush(connection);
    }

    fn flush_back(&mut self, connection: u64) -> io::Result<bool> {
        loop {
            let back = self.backs.get_mut(&connection).unwrap();
            if back.sent == back.current.len() {
                back.current.clear();
                back.sent = 0;
                // Answers to R2T first: they finish commands that have begun.
                std::mem::swap(&mut back.current, &mut back.machine.out);
                while back.current.len() < BATCH {
                    let Some(one) = back.queue.pop_front() else { break };
                    let start = back.current.len();
                    back.current.extend_from_slice(&one.bytes);
                    back.leaving.push_back((start, back.current.len(), one.cid));
                }
                if back.current.is_empty() {
                    return Ok(true);
                }
            }
            self.counts.writes += 1;
            let mut stream = back.stream.get_ref();
            let written = match stream.write(&back.current[back.sent..]) {
                Ok(0) => Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => Ok(written),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => Err(error),
            };
            let blocked = match written {
                Ok(written) => {
                    back.sent += written;
                    false
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => true,
                Err(error) => return Err(error),
            };
            if blocked {
                self.unmix(connection);
                return Ok(false);
            }
            let back = self.backs.get_mut(&connection).unwrap();
            let sent = back.sent;
            let begun: Vec<_> = back
                .leaving
                .iter()
                .filter(|(start, ..)| *start < sent)
                .filter_map(|(_, end, cid)| Some((*back.shots.get(cid)?, *end <= sent)))
                .collect();
            while back.leaving.front().is_some_and(|(_, end, _)| *end <= sent) {
                back.leaving.pop_front();
            }
            for ((id, number), whole) in begun {
                let shot = self.open.get_mut(&id).and_then(|t| t.shot.as_mut());
                let Some(shot) = shot.filter(|shot| shot.number == number) else { continue };
                let next = if whole { Progress::Sent } else { Progress::PartlySent };
                if shot.progress < next {
                    shot.progress.advance_to(next);
                }
            }
        }
    }

    /// Puts commands of a batch none of whose bytes left back into the queue, from where they can be withdrawn:
    /// a drain or a time-out may come before the kernel takes more.
    fn unmix(&mut self, connection: u64) {
        let back = self.backs.get_mut(&connection).unwrap();
        let Some(keep) = back.leaving.iter().position(|(start, ..)| *start >= back.sent) else { return };
        let first = back.leaving[keep].0;

        let mut back_again = Vec::new();
        for (start, end, cid) in back.leaving.drain(keep..) {
            let bytes = back.current[start..end].to_vec();
            // A batch is made and unmade within one call, so no shot of it can have ended meanwhile.
            let (id, shot) = back.shots[&cid];
            back_again.push(Queued { id, shot, cid, bytes });
        }
        back.current.truncate(first);
        back_again.into_iter().rev().for_each(|one| back.queue.push_front(one));
    }
}
