//! The thin driver beside a fleet core: datagrams, its timer, and the duties that it gives. What is decided is
//! [`quaypath_fleet`]'s.
//!
//! The first duty is the probe of the node that holds a part of the data: its access states are read on an
//! association's admin queue, which is kept as a spare connection for as long as the duty is this member's.
//!
//! Bounds: datagrams of [`MAX_DATAGRAM_BYTES`] bytes, [`BATCH`] of them before others have a turn; probes end with the connect
//! time-out; associations kept are of nodes that this member was given last.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use quaypath::types::{BlockId, NodeId};
use quaypath_fleet::config::FleetConfig;
use quaypath_fleet::heartbeat::HeartbeatBaseline;
use quaypath_fleet::message::MAX_DATAGRAM_BYTES;
use quaypath_fleet::signal::{self, SignalBehavior};
use quaypath_fleet::swim::SwimMember;
use quaypath_fleet::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};
use quaypath_nvme::admin::{get_log, log};
use quaypath_nvme::host::Offer;
use quaypath_record::Clock;
use tracing::{debug, info, warn};

use crate::event_loop::{run_turn, with_timeout, Notify};
use crate::instance::Instance;
use crate::polls::{spawn, Peer, TaskKind};
use crate::queue::{open_admin_queue, submit_and_wait, Queue};

/// Datagrams read before others have a turn.
const BATCH: usize = 32;
/// Longest time between two looks at the list and at the clock, which may be made to run wrong meanwhile, seconds.
const LOOK: f64 = 0.5;
/// Time between two log lines of the counts, seconds.
const REPORT: f64 = 10.0;

/// A clock that can be made to run wrong while it is used, by days.
#[derive(Clone, Default)]
pub struct SkewedClock(Arc<Mutex<Option<Rated>>>);

/// From the true time `since`, shown as `shown`, on at this rate.
#[derive(Clone, Copy)]
struct Rated {
    since: f64,
    shown: f64,
    rate: f64,
    /// Steps up to then, which the monotonic clock does not take.
    steps: f64,
}

impl SkewedClock {
    /// What this clock shows at a true time, seconds; and its rate.
    fn wall_clock(&self, now: f64) -> (f64, f64) {
        let rated = *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        rated.map_or((now, 1.0), |rated| (rated.shown + (now - rated.since) * rated.rate, rated.rate))
    }

    /// From now on it runs at this rate, after a step forward of so many seconds.
    pub fn set(&self, now: f64, rate: f64, step: f64) {
        let shown = self.wall_clock(now).0 + step.max(0.0);
        let steps = shown - self.monotonic(now);
        let rate = rate.clamp(0.1, 10.0);
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
            Some(Rated { since: now, shown, rate, steps });
    }

    /// As [`SkewedClock::wall_clock`], without its steps: those are of the wall clock.
    pub fn monotonic(&self, now: f64) -> f64 {
        let rated = *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        rated.map_or(now, |rated| rated.shown - rated.steps + (now - rated.since) * rated.rate)
    }
}

/// What a member is started with.
#[derive(Clone)]
pub struct Options {
    pub socket: Rc<UdpSocket>,
    pub addresses: BTreeMap<MemberId, SocketAddr>,
    pub figures: FleetConfig,
    pub seed: u64,
    /// Host name at the nodes that are probed, and how long a probe may take, seconds.
    pub name: String,
    pub probe_timeout: f64,
    /// The baseline, for comparison only.
    pub baseline: bool,
    pub skewed_clock: SkewedClock,
    /// What initiators tell and lend each other; none where the settings switch both off.
    pub signals: Option<signal::SignalConfig>,
    pub manner: SignalControl,
}

/// How the process signals, as a day's script sets it while it runs.
#[derive(Clone, Default)]
pub struct SignalControl(Arc<Mutex<SignalBehavior>>);

impl SignalControl {
    pub fn set(&self, manner: SignalBehavior) {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = manner;
    }

    fn get(&self) -> SignalBehavior {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

type Home = Weak<RefCell<Instance>>;

pub struct Fleet {
    core: Box<dyn FleetCore>,
    options: Options,
    clock: Clock,
    instance: Home,
    /// By duty: the part of the data and the node that is probed.
    probed: BTreeMap<DutyId, (BlockId, NodeId)>,
    /// What the last finding was, to log what changed.
    good: BTreeMap<DutyId, bool>,
    spare: BTreeMap<NodeId, Queue>,
    looked_at: f64,
    reported_at: f64,
    wake: Rc<Notify>,
    executor: Weak<LocalExecutor<'static>>,
    me: Weak<RefCell<Fleet>>,
}

/// The duty of probing the node that holds this part of the data: the same at all members, whoever holds it.
pub fn probe_of(block: BlockId) -> DutyId {
    DutyId::of(&format!("probe block {}", block.0))
}

type Shared = Rc<RefCell<Fleet>>;

/// Starts a member on an executor.
pub fn start(options: Options, executor: &Rc<LocalExecutor<'static>>, instance: Home) -> io::Result<Shared> {
    let clock = Clock::default();
    let (now, _) = options.skewed_clock.wall_clock(clock.now());
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
    let figures = options.figures.clone();
    let core: Box<dyn FleetCore> = match options.baseline {
        true => Box::new(HeartbeatBaseline::start(now, figures)),
        false => Box::new(SwimMember::start(now, wall, options.seed, figures)),
    };
    options.socket.set_nonblocking(true)?;
    let fleet = Rc::new(RefCell::new(Fleet {
        core,
        options,
        clock,
        instance: instance.clone(),
        probed: BTreeMap::new(),
        good: BTreeMap::new(),
        spare: BTreeMap::new(),
        looked_at: f64::NEG_INFINITY,
        reported_at: now,
        wake: Rc::default(),
        executor: Rc::downgrade(executor),
        me: Weak::new(),
    }));
    fleet.borrow_mut().me = Rc::downgrade(&fleet);
    spawn(executor, TaskKind::Fleet, Peer::None, hear(Rc::downgrade(&fleet)));
    spawn(executor, TaskKind::Fleet, Peer::None, tick(Rc::downgrade(&fleet)));
    spawn(executor, TaskKind::Fleet, Peer::None, speak(Rc::downgrade(&fleet), instance));
    Ok(fleet)
}

async fn hear(fleet: Weak<RefCell<Fleet>>) {
    let Some(socket) = fleet.upgrade().map(|fleet| fleet.borrow().options.socket.clone()) else { return };
    let Ok(readable) = Async::new_nonblocking(socket.clone()) else { return };
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let mut count = 0;
        while count < BATCH {
            let length = match socket.recv_from(&mut bytes) {
                Ok((length, _)) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // Told of an earlier send that nobody took.
                Err(_) => continue,
            };
            count += 1;
            let Some(fleet) = fleet.upgrade() else { return };
            fleet.borrow_mut().turn(|core, now, out| core.datagram_received(now, &bytes[..length], out));
        }
        if count == BATCH {
            yield_now().await;
        } else if readable.readable().await.is_err() {
            return;
        }
        if fleet.strong_count() == 0 {
            return;
        }
    }
}

/// Sends the instance's signals as they come up.
async fn speak(fleet: Weak<RefCell<Fleet>>, instance: Home) {
    let Some(ready) = instance.upgrade().and_then(|instance| instance.borrow().outgoing_signals_ready())
    else {
        return;
    };
    loop {
        ready.wait().await;
        let (Some(fleet), Some(instance)) = (fleet.upgrade(), instance.upgrade()) else { return };
        let tells = instance.borrow_mut().take_outgoing_signals();
        for (to, bytes) in tells {
            fleet.borrow_mut().turn(|core, now, out| core.send_signal(now, to, &bytes, out));
        }
    }
}

async fn tick(fleet: Weak<RefCell<Fleet>>) {
    loop {
        let (wait, wake) = {
            let Some(fleet) = fleet.upgrade() else { return };
            let this = fleet.borrow();
            let (now, rate) = this.now();
            let wait = ((this.core.next_tick_at() - now) / rate).clamp(0.0, LOOK);
            (wait, this.wake.clone())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(wake.wait()).await;
        // What came together with us is heard first: an answer before the wait for it ends.
        yield_now().await;
        yield_now().await;
        let Some(fleet) = fleet.upgrade() else { return };
        let mut this = fleet.borrow_mut();
        if !this.look() {
            return;
        }
        if this.now().0 >= this.core.next_tick_at() {
            this.turn(|core, now, out| core.tick(now, out));
        }
    }
}

impl Fleet {
    /// This process's clock as the core sees it, and its rate.
    fn now(&self) -> (f64, f64) {
        self.options.skewed_clock.wall_clock(self.clock.now())
    }

    /// Looks at the list of nodes for duties, and reports, now and then. False once the instance is gone.
    fn look(&mut self) -> bool {
        let (now, _) = self.now();
        if now - self.looked_at < LOOK {
            return true;
        }
        self.looked_at = now;
        let Some(instance) = self.instance.upgrade() else { return false };
        instance.borrow_mut().set_signal_behavior(self.options.manner.get());
        let holders = instance.borrow().ready_nodes();
        let probed: BTreeMap<DutyId, (BlockId, NodeId)> =
            holders.into_iter().map(|(block, node)| (probe_of(block), (block, node))).collect();
        if !probed.keys().eq(self.probed.keys()) {
            let duties: Vec<DutyId> = probed.keys().copied().collect();
            self.core.set_duties(now, &duties);
        }
        self.probed = probed;
        let listed: Vec<&NodeId> = self.probed.values().map(|(_, node)| node).collect();
        self.spare.retain(|node, _| listed.contains(&node));
        for (duty, (block, node)) in &self.probed {
            let Some((ago, by, good)) = self.core.last_result(now, *duty) else { continue };
            if self.good.insert(*duty, good).is_some_and(|before| before != good) {
                info!(block = block.0, node = %node.0, good, by = by.0, ago, "probe");
            }
        }
        if now - self.reported_at > REPORT {
            self.reported_at = now;
            let counts = serde_json::to_string(self.counts()).unwrap_or_default();
            info!(counts, live = self.core.live_members().len(), standing = ?self.core.standing(), "fleet");
        }
        true
    }

    fn turn(&mut self, act: impl FnOnce(&mut dyn FleetCore, f64, &mut Vec<Action>)) {
        let before = self.core.next_tick_at();
        let mut out = Vec::new();
        let (now, _) = self.now();
        act(self.core.as_mut(), now, &mut out);
        for act in out {
            match act {
                Action::SendDatagram(to, bytes) => self.send(to, &bytes),
                Action::RunDuty(duty) => self.probe(duty),
                Action::StandingChanged(Standing::Displaced) => {
                    warn!("another process has this one's number in the fleet and started later; kept out from now on");
                }
                Action::StandingChanged(standing) => info!(?standing, "fleet"),
                Action::MemberStatusChanged(member, status) => {
                    info!(member = member.0, ?status, "fleet");
                    let instance = self.instance.upgrade();
                    let dead = matches!(status, Status::Dead | Status::Left);
                    instance
                        .iter()
                        .for_each(|instance| instance.borrow_mut().member_status_changed(member, dead));
                }
                Action::SignalReceived(from, bytes) => {
                    let instance = self.instance.upgrade();
                    instance
                        .iter()
                        .for_each(|one| run_turn(one, |this| this.signal_received(from, bytes.clone())));
                }
            }
        }
        if self.core.next_tick_at() < before {
            self.wake.notify();
        }
    }

    /// A datagram that the kernel does not take is one that is lost.
    fn send(&self, to: MemberId, bytes: &[u8]) {
        let Some(address) = self.options.addresses.get(&to) else { return };
        if let Err(error) = self.options.socket.send_to(bytes, address) {
            debug!(member = to.0, %error, "a datagram is lost");
        }
    }

    fn probe(&mut self, duty: DutyId) {
        let (Some((_, node)), Some(executor)) = (self.probed.get(&duty).cloned(), self.executor.upgrade())
        else {
            return;
        };
        let (kept, me) = (self.spare.remove(&node), self.me.clone());
        let (name, patience) = (self.options.name.clone(), self.options.probe_timeout);
        let probe = async move {
            let found = with_timeout(patience, look_at(kept, &node, &name)).await;
            let Some(fleet) = me.upgrade() else { return };
            let mut this = fleet.borrow_mut();
            let good = found.as_ref().is_ok_and(|(_, good)| *good);
            match found {
                Ok((queue, _)) => drop(this.spare.insert(node, queue)),
                Err(error) => debug!(node = %node.0, %error, "probe"),
            }
            let (now, _) = this.now();
            this.core.duty_done(now, duty, good);
        };
        spawn(&executor, TaskKind::Fleet, Peer::None, probe);
    }

    /// Leaves in order: says so to others, at once.
    pub fn leave(&mut self) {
        self.turn(|core, now, out| core.leave(now, out));
    }

    pub fn counts(&self) -> &Counts {
        self.core.counts()
    }
}

/// Reads a node's access states: on the connection that is kept, or on a new one where that is of no more use.
async fn look_at(kept: Option<Queue>, node: &NodeId, name: &str) -> io::Result<(Queue, bool)> {
    if let Some(mut queue) = kept {
        if let Ok(good) = healthy(&mut queue).await {
            return Ok((queue, good));
        }
    }
    let address: SocketAddr = node.0.parse().map_err(|_| io::Error::other("not an address"))?;
    let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
    let (mut queue, _) = open_admin_queue(address, &subsystem, name, Offer::default(), 0, false).await?;
    let good = healthy(&mut queue).await?;
    Ok((queue, good))
}

async fn healthy(queue: &mut Queue) -> io::Result<bool> {
    let (cqe, _) =
        submit_and_wait(queue, get_log(log::ANA, 0, 16, true), Vec::new(), 16, &mut Vec::new()).await?;
    Ok(cqe.status == 0)
}
