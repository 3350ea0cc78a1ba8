//! The driver of a fleet core: datagrams, its timer, and the duties that it assigns. [`quaypath_fleet`] makes all
//! decisions.
//!
//! The only duty so far is the probe of the node that holds a block: its ANA access states are read on the admin
//! queue of an association, which is kept open as a spare connection for as long as this member has the duty.
//!
//! Bounds: datagrams have at most [`MAX_DATAGRAM_BYTES`] bytes, and [`DATAGRAM_BATCH`] of them are read before other
//! tasks run. Probes end with the connect timeout. Spare associations are kept only for the ready nodes of the
//! current node list.

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

/// Datagrams that are read before other tasks run.
const DATAGRAM_BATCH: usize = 32;
/// Longest time between two checks of the node list and of the clock, whose rate may have been changed meanwhile,
/// seconds.
const CHECK_INTERVAL: f64 = 0.5;
/// Time between two log lines with the counters, seconds.
const REPORT_INTERVAL: f64 = 10.0;

/// A clock whose rate and offset can be changed while it is in use, to inject clock faults in a day.
#[derive(Clone, Default)]
pub struct SkewedClock(Arc<Mutex<Option<ClockSkew>>>);

/// The clock shows `shown` at the true time `since`, and runs at `rate` from then on.
#[derive(Clone, Copy)]
struct ClockSkew {
    /// True time, seconds.
    since: f64,
    /// Skewed wall clock time at `since`, seconds.
    shown: f64,
    /// Skewed seconds per true second.
    rate: f64,
    /// Sum of all steps up to `since`, seconds. They do not apply to the monotonic clock.
    steps: f64,
}

impl SkewedClock {
    /// The skewed wall clock time at a true time, seconds, and the rate of the clock.
    fn wall_clock(&self, now: f64) -> (f64, f64) {
        let skew = *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        skew.map_or((now, 1.0), |skew| (skew.shown + (now - skew.since) * skew.rate, skew.rate))
    }

    /// Sets the rate from the true time `now` on, after a step forward of `step` seconds. The rate is limited to 0.1
    /// to 10.
    pub fn set(&self, now: f64, rate: f64, step: f64) {
        let shown = self.wall_clock(now).0 + step.max(0.0);
        let steps = shown - self.monotonic(now);
        let rate = rate.clamp(0.1, 10.0);
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) =
            Some(ClockSkew { since: now, shown, rate, steps });
    }

    /// The skewed monotonic time at a true time, seconds: like [`SkewedClock::wall_clock`], but without its steps.
    pub fn monotonic(&self, now: f64) -> f64 {
        let skew = *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        skew.map_or(now, |skew| skew.shown - skew.steps + (now - skew.since) * skew.rate)
    }
}

/// Start parameters of a fleet member.
#[derive(Clone)]
pub struct Options {
    /// Bound socket of this member.
    pub socket: Rc<UdpSocket>,
    /// Addresses of the fleet members.
    pub addresses: BTreeMap<MemberId, SocketAddr>,
    pub config: FleetConfig,
    pub seed: u64,
    /// NVMe qualified name of this host at the nodes that it probes.
    pub name: String,
    /// Timeout of a probe, seconds.
    pub probe_timeout: f64,
    /// Runs the heartbeat baseline, which exists for comparison only.
    pub baseline: bool,
    pub skewed_clock: SkewedClock,
    /// Configuration of the reports and loans between initiators; none when the settings switch both off.
    pub signals: Option<signal::SignalConfig>,
    pub signal_control: SignalControl,
}

/// Sets how the process signals while it runs, as the script of a day requires.
#[derive(Clone, Default)]
pub struct SignalControl(Arc<Mutex<SignalBehavior>>);

impl SignalControl {
    pub fn set(&self, behavior: SignalBehavior) {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = behavior;
    }

    fn get(&self) -> SignalBehavior {
        *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

type WeakInstance = Weak<RefCell<Instance>>;

/// Driver of one fleet member.
pub struct FleetDriver {
    core: Box<dyn FleetCore>,
    options: Options,
    clock: Clock,
    instance: WeakInstance,
    /// The block and the node to probe, by duty.
    probe_targets: BTreeMap<DutyId, (BlockId, NodeId)>,
    /// Last result of each probe, so that only changes are logged.
    last_good: BTreeMap<DutyId, bool>,
    /// Admin queues that are kept open, by node.
    spare_queues: BTreeMap<NodeId, Queue>,
    /// Clock time of the last check of the node list, seconds.
    checked_at: f64,
    /// Clock time of the last log line with the counters, seconds.
    reported_at: f64,
    tick_changed: Rc<Notify>,
    executor: Weak<LocalExecutor<'static>>,
    weak_self: Weak<RefCell<FleetDriver>>,
}

/// The duty of probing the node that holds a block. It is the same at all members, whichever node holds the block.
pub fn probe_duty(block: BlockId) -> DutyId {
    DutyId::of(&format!("probe block {}", block.0))
}

type SharedFleet = Rc<RefCell<FleetDriver>>;

/// Starts a fleet member on an executor.
pub fn start(
    options: Options, executor: &Rc<LocalExecutor<'static>>, instance: WeakInstance,
) -> io::Result<SharedFleet> {
    let clock = Clock::default();
    let (now, _) = options.skewed_clock.wall_clock(clock.now());
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
    let config = options.config.clone();
    let core: Box<dyn FleetCore> = match options.baseline {
        true => Box::new(HeartbeatBaseline::start(now, config)),
        false => Box::new(SwimMember::start(now, wall, options.seed, config)),
    };
    options.socket.set_nonblocking(true)?;
    let fleet = Rc::new(RefCell::new(FleetDriver {
        core,
        options,
        clock,
        instance: instance.clone(),
        probe_targets: BTreeMap::new(),
        last_good: BTreeMap::new(),
        spare_queues: BTreeMap::new(),
        checked_at: f64::NEG_INFINITY,
        reported_at: now,
        tick_changed: Rc::default(),
        executor: Rc::downgrade(executor),
        weak_self: Weak::new(),
    }));
    fleet.borrow_mut().weak_self = Rc::downgrade(&fleet);
    spawn(executor, TaskKind::Fleet, Peer::None, receive_datagrams(Rc::downgrade(&fleet)));
    spawn(executor, TaskKind::Fleet, Peer::None, run_ticks(Rc::downgrade(&fleet)));
    spawn(executor, TaskKind::Fleet, Peer::None, send_signals(Rc::downgrade(&fleet), instance));
    Ok(fleet)
}

/// Receives datagrams and passes them to the fleet core.
async fn receive_datagrams(fleet: Weak<RefCell<FleetDriver>>) {
    let Some(socket) = fleet.upgrade().map(|fleet| fleet.borrow().options.socket.clone()) else { return };
    let Ok(readable) = Async::new_nonblocking(socket.clone()) else { return };
    let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let mut count = 0;
        while count < DATAGRAM_BATCH {
            let length = match socket.recv_from(&mut bytes) {
                Ok((length, _)) => length,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The error belongs to an earlier datagram that was not delivered.
                Err(_) => continue,
            };
            count += 1;
            let Some(fleet) = fleet.upgrade() else { return };
            fleet
                .borrow_mut()
                .with_core(|core, now, actions| core.datagram_received(now, &bytes[..length], actions));
        }
        if count == DATAGRAM_BATCH {
            yield_now().await;
        } else if readable.readable().await.is_err() {
            return;
        }
        if fleet.strong_count() == 0 {
            return;
        }
    }
}

/// Sends the instance's signals as soon as they are ready.
async fn send_signals(fleet: Weak<RefCell<FleetDriver>>, instance: WeakInstance) {
    let Some(ready) = instance.upgrade().and_then(|instance| instance.borrow().outgoing_signals_ready())
    else {
        return;
    };
    loop {
        ready.wait().await;
        let (Some(fleet), Some(instance)) = (fleet.upgrade(), instance.upgrade()) else { return };
        let signals = instance.borrow_mut().take_outgoing_signals();
        for (to, bytes) in signals {
            fleet.borrow_mut().with_core(|core, now, actions| core.send_signal(now, to, &bytes, actions));
        }
    }
}

/// Runs the fleet core's timer and the periodic checks.
async fn run_ticks(fleet: Weak<RefCell<FleetDriver>>) {
    loop {
        let (wait, tick_changed) = {
            let Some(fleet) = fleet.upgrade() else { return };
            let this = fleet.borrow();
            let (now, rate) = this.now();
            let wait = ((this.core.next_tick_at() - now) / rate).clamp(0.0, CHECK_INTERVAL);
            (wait, this.tick_changed.clone())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(tick_changed.wait()).await;
        // Tasks that were woken together with this one run first, so that an answer that has arrived is handled before
        // its timeout.
        yield_now().await;
        yield_now().await;
        let Some(fleet) = fleet.upgrade() else { return };
        let mut this = fleet.borrow_mut();
        if !this.check() {
            return;
        }
        if this.now().0 >= this.core.next_tick_at() {
            this.with_core(|core, now, actions| core.tick(now, actions));
        }
    }
}

impl FleetDriver {
    /// The clock time of this process as the fleet core sees it, seconds, and the rate of the clock.
    fn now(&self) -> (f64, f64) {
        self.options.skewed_clock.wall_clock(self.clock.now())
    }

    /// Derives the duties from the node list every [`CHECK_INTERVAL`] and logs the counters every [`REPORT_INTERVAL`].
    /// Returns false when the instance has been dropped.
    fn check(&mut self) -> bool {
        let (now, _) = self.now();
        if now - self.checked_at < CHECK_INTERVAL {
            return true;
        }
        self.checked_at = now;
        let Some(instance) = self.instance.upgrade() else { return false };
        instance.borrow_mut().set_signal_behavior(self.options.signal_control.get());
        let ready_nodes = instance.borrow().ready_nodes();
        let probe_targets: BTreeMap<DutyId, (BlockId, NodeId)> =
            ready_nodes.into_iter().map(|(block, node)| (probe_duty(block), (block, node))).collect();
        if !probe_targets.keys().eq(self.probe_targets.keys()) {
            let duties: Vec<DutyId> = probe_targets.keys().copied().collect();
            self.core.set_duties(now, &duties);
        }
        self.probe_targets = probe_targets;
        let listed: Vec<&NodeId> = self.probe_targets.values().map(|(_, node)| node).collect();
        self.spare_queues.retain(|node, _| listed.contains(&node));
        for (duty, (block, node)) in &self.probe_targets {
            let Some((ago, by, good)) = self.core.last_result(now, *duty) else { continue };
            if self.last_good.insert(*duty, good).is_some_and(|before| before != good) {
                info!(block = block.0, node = %node.0, good, by = by.0, ago, "probe");
            }
        }
        if now - self.reported_at > REPORT_INTERVAL {
            self.reported_at = now;
            let counts = serde_json::to_string(self.counts()).unwrap_or_default();
            info!(counts, live = self.core.live_members().len(), standing = ?self.core.standing(), "fleet");
        }
        true
    }

    /// Calls the fleet core and carries out the actions that it requests.
    fn with_core(&mut self, call: impl FnOnce(&mut dyn FleetCore, f64, &mut Vec<Action>)) {
        let tick_before = self.core.next_tick_at();
        let mut actions = Vec::new();
        let (now, _) = self.now();
        call(self.core.as_mut(), now, &mut actions);
        for action in actions {
            match action {
                Action::SendDatagram(to, bytes) => self.send(to, &bytes),
                Action::RunDuty(duty) => self.probe(duty),
                Action::StandingChanged(Standing::Displaced) => {
                    warn!("another process that started later has the member number of this one; this process stays out of the fleet from now on");
                }
                Action::StandingChanged(standing) => {
                    info!(?standing, "fleet")
                }
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
                    instance.iter().for_each(|instance| {
                        run_turn(instance, |this| this.signal_received(from, bytes.clone()))
                    });
                }
            }
        }
        if self.core.next_tick_at() < tick_before {
            self.tick_changed.notify();
        }
    }

    /// Sends a datagram. If the kernel does not take it, it is lost.
    fn send(&self, to: MemberId, bytes: &[u8]) {
        let Some(address) = self.options.addresses.get(&to) else { return };
        if let Err(error) = self.options.socket.send_to(bytes, address) {
            debug!(member = to.0, %error, "sending a datagram failed; it is lost");
        }
    }

    /// Starts a probe and reports its result to the fleet core.
    fn probe(&mut self, duty: DutyId) {
        let (Some((_, node)), Some(executor)) =
            (self.probe_targets.get(&duty).cloned(), self.executor.upgrade())
        else {
            return;
        };
        let (spare, weak_self) = (self.spare_queues.remove(&node), self.weak_self.clone());
        let (name, timeout) = (self.options.name.clone(), self.options.probe_timeout);
        let probe = async move {
            let result = with_timeout(timeout, read_health(spare, &node, &name)).await;
            let Some(fleet) = weak_self.upgrade() else { return };
            let mut this = fleet.borrow_mut();
            let good = result.as_ref().is_ok_and(|(_, good)| *good);
            match result {
                Ok((queue, _)) => drop(this.spare_queues.insert(node, queue)),
                Err(error) => debug!(node = %node.0, %error, "probe failed"),
            }
            let (now, _) = this.now();
            this.core.duty_done(now, duty, good);
        };
        spawn(&executor, TaskKind::Fleet, Peer::None, probe);
    }

    /// Leaves the fleet and informs the other members at once.
    pub fn leave(&mut self) {
        self.with_core(|core, now, actions| core.leave(now, actions));
    }

    /// Counters of the fleet core.
    pub fn counts(&self) -> &Counts {
        self.core.counts()
    }
}

/// Reads the access states of a node, on the spare connection or, if that fails, on a new one. Returns the connection
/// for reuse, and whether the node answered with success.
async fn read_health(spare: Option<Queue>, node: &NodeId, name: &str) -> io::Result<(Queue, bool)> {
    if let Some(mut queue) = spare {
        if let Ok(good) = is_healthy(&mut queue).await {
            return Ok((queue, good));
        }
    }
    let address: SocketAddr =
        node.0.parse().map_err(|_| io::Error::other("the node's name is not an address and port"))?;
    let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
    let (mut queue, _) = open_admin_queue(address, &subsystem, name, Offer::default(), 0, false).await?;
    let good = is_healthy(&mut queue).await?;
    Ok((queue, good))
}

/// Whether the node answers a read of its access states with success.
async fn is_healthy(queue: &mut Queue) -> io::Result<bool> {
    let (cqe, _) =
        submit_and_wait(queue, get_log(log::ANA, 0, 16, true), Vec::new(), 16, &mut Vec::new()).await?;
    Ok(cqe.status == 0)
}
