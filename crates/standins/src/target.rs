//! A target on loopback: NVMe over TCP outside, the [`crate::model`] inside, faults by switch.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use quaypath_initiator::net::Notify;
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe, Told};
use quaypath_nvme::controller::{Controller, Event};
use quaypath_nvme::status;
use quaypath_record::{Event as Line, ShotEnd, Writer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use crate::model::{Figures, Job, Node, Taken};
use crate::serve::{read_all, Output, Running, Switch};

/// Connections that a target accepts.
const MOST_CONNECTIONS: usize = 1024;
/// Output that a connection may owe before it is closed, bytes.
const MOST_OUTPUT: usize = 64 << 20;

/// Faults of one target, switched while it runs.
#[derive(Clone, Debug)]
pub struct Faults {
    pub slow: f64,
    /// Length of a pause, every two seconds.
    pub pause: f64,
    pub errors: f64,
    pub lost: f64,
    /// Resets of one connection, a second.
    pub resets: f64,
    pub refuse: bool,
    /// What it sends is held back; it goes on reading.
    pub partition: bool,
    /// Does not read its sockets: what is sent to it stays in the kernels.
    pub deaf: bool,
    /// Share of transactions that take ten times their work.
    pub heavy: f64,
    /// Figures in answers are this many seconds old.
    pub late: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            pause: 0.0,
            errors: 0.0,
            lost: 0.0,
            resets: 0.0,
            refuse: false,
            partition: false,
            deaf: false,
            heavy: 0.0,
            late: 0.0,
        }
    }
}

/// What the targets of one fleet share: tags by group, and the meter of use.
#[derive(Default)]
pub struct Fleet {
    /// When an operation with a tag took effect, by group and operation.
    tags: Mutex<HashMap<(String, u64), f64>>,
    /// Units of each volume in the present and the last finished period.
    meter: Mutex<HashMap<u32, (u64, f64, f64)>>,
}

impl Fleet {
    /// True where the operation is new to its group; remembered for `window` seconds.
    fn first(&self, now: f64, group: &str, operation: u64, window: f64) -> bool {
        let mut tags = self.tags.lock().unwrap();
        if tags.len() > 100_000 {
            tags.retain(|_, at| now - *at < window);
        }
        let known = tags.insert((group.to_string(), operation), now);
        known.is_none_or(|at| now - at >= window)
    }

    /// Adds units and gives the last finished period's use, units a second; none before one is finished.
    fn meter(&self, now: f64, volume: u32, units: f64, period: f64) -> Option<f64> {
        let mut meter = self.meter.lock().unwrap();
        let epoch = (now / period) as u64;
        let new = (epoch, 0.0, f64::NAN);
        let (at, present, last) = meter.entry(volume).or_insert(new);
        if *at != epoch {
            *last = if epoch == *at + 1 { *present } else { 0.0 };
            (*at, *present) = (epoch, 0.0);
        }
        *present += units;
        (!last.is_nan()).then_some(*last / period)
    }
}

/// What a band means to a target.
#[derive(Clone, Debug, Default)]
pub struct BandRule {
    /// Group whose targets drop a repeat, and for how long; none where the band is not tagged.
    pub tagged: Option<(String, f64)>,
}

#[derive(Clone)]
pub struct Options {
    pub block: i64,
    pub zone: String,
    pub cold: bool,
    pub seed: u64,
    pub figures: Figures,
    pub bands: Vec<BandRule>,
    /// Period of the use figures, seconds, and nominal rate of each volume; 0: no meter.
    pub metering: f64,
    pub nominal: Arc<BTreeMap<u32, f64>>,
    pub fleet: Arc<Fleet>,
    /// Spread of the work of equal transactions, as the sigma of a lognormal.
    pub spread: f64,
}

/// A target that runs on a thread of its own.
pub struct Target {
    pub node: String,
    pub faults: Switch<Faults>,
    record: Writer,
    running: Option<Running>,
}

impl Target {
    pub fn start(options: Options, listener: TcpListener, record: Writer) -> io::Result<Target> {
        let node = listener.local_addr()?.to_string();
        let faults = Switch::<Faults>::default();
        let (zone, block, cold) = (options.zone.clone(), options.block, options.cold);
        record.put(Line::Up { t: record.clock.now(), node: node.clone(), block, zone, cold });
        let (switch, writer) = (faults.clone(), record.clone());
        let running = Running::start(&format!("target-{block}"), move |executor| {
            spawn(executor, options, listener, writer, switch);
        });
        Ok(Target { node, faults, record, running: Some(running) })
    }

    /// Ends it as a kill does: sockets closed at once, work in hand lost.
    pub fn kill(&mut self) {
        if self.running.take().is_some() {
            self.record.put(Line::Down { t: self.record.clock.now(), node: self.node.clone() });
        }
    }

    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().unwrap());
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A shot at work: which connection and command it answers.
#[derive(Clone, Debug)]
struct Shot {
    connection: u64,
    sqe: Sqe,
    marks: Marks,
    gateway: u32,
}

struct Connection {
    stream: Rc<Async<TcpStream>>,
    machine: Controller,
    output: Output,
    association: u16,
    gateway: u32,
    /// Jobs by command id.
    jobs: HashMap<u16, u64>,
}

struct State {
    options: Options,
    name: String,
    record: Writer,
    faults: Switch<Faults>,
    node: Node<Shot>,
    chance: SmallRng,
    connections: HashMap<u64, Connection>,
    next: u64,
    association: u16,
    /// By gateway and volume: units served to others since the last answer.
    others: HashMap<(u32, u32), f64>,
    /// Figures as they were told, for late reports.
    reports: std::collections::VecDeque<(f64, f64)>,
    pause_at: f64,
    reset_at: f64,
    wake: Rc<Notify>,
}

type Shared = Rc<RefCell<State>>;

/// Puts a target's tasks on an executor; the listener decides its name.
pub fn spawn(
    executor: &Rc<LocalExecutor<'static>>, options: Options, listener: TcpListener, record: Writer,
    faults: Switch<Faults>,
) {
    let listener = Async::new(listener).expect("a listener for the reactor");
    let name = listener.get_ref().local_addr().expect("a bound listener").to_string();
    let now = record.clock.now();
    let state = State {
        node: Node::new(now, options.cold, options.figures.clone()),
        chance: SmallRng::seed_from_u64(options.seed),
        name,
        record,
        faults,
        options,
        connections: HashMap::new(),
        next: 1,
        association: 1,
        others: HashMap::new(),
        reports: Default::default(),
        pause_at: now,
        reset_at: now,
        wake: Rc::default(),
    };
    let state = Rc::new(RefCell::new(state));
    executor.spawn(accept(state.clone(), Rc::downgrade(executor), listener)).detach();
    executor.spawn(work(state)).detach();
}

async fn accept(state: Shared, executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let Some(executor) = executor.upgrade() else { return };
        let mut this = state.borrow_mut();
        let refuse = this.faults.lock().unwrap().refuse;
        if refuse || this.connections.len() >= MOST_CONNECTIONS {
            continue;
        }
        let _ = stream.get_ref().set_nodelay(true);
        let (number, stream) = (this.next, Rc::new(stream));
        this.next += 1;
        let connection = Connection {
            stream: stream.clone(),
            machine: Controller::default(),
            output: Output::default(),
            association: 0,
            gateway: 0,
            jobs: HashMap::new(),
        };
        this.connections.insert(number, connection);
        drop(this);
        executor.spawn(serve(state.clone(), number, stream)).detach();
    }
}

async fn serve(state: Shared, number: u64, stream: Rc<Async<TcpStream>>) {
    loop {
        // Deaf: the kernels hold what is sent.
        let deaf = state.borrow().faults.lock().unwrap().deaf;
        if !deaf {
            break;
        }
        Timer::after(Duration::from_millis(5)).await;
    }
    let faults = state.borrow().faults.clone();
    let reading = async {
        loop {
            let mut went_deaf = false;
            let ended = read_all(&stream, |bytes| {
                let more = state.borrow_mut().read(number, bytes);
                went_deaf = more && faults.lock().unwrap().deaf;
                more && !went_deaf
            })
            .await;
            if ended.is_err() || !went_deaf {
                return;
            }
            while faults.lock().unwrap().deaf {
                Timer::after(Duration::from_millis(5)).await;
            }
        }
    };
    reading.await;
    state.borrow_mut().close(number);
}

async fn work(state: Shared) {
    loop {
        let (wait, wake) = {
            let mut this = state.borrow_mut();
            let next = this.work();
            let wait = (next - this.record.clock.now()).clamp(0.0, 0.02);
            (wait, this.wake.clone())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(wake.wait()).await;
    }
}

/// Number of the gateway in a host name that ends with it; 0 for a host of another kind.
fn gateway_of(host: &str) -> u32 {
    host.rsplit(':').next().and_then(|number| number.parse().ok()).unwrap_or(0)
}

impl State {
    fn now(&self) -> f64 {
        self.record.clock.now()
    }

    fn read(&mut self, number: u64, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        let mut events = Vec::new();
        let fed = connection.machine.feed(bytes, &mut events);
        let mut good = fed.is_ok();
        for event in events {
            match event {
                Event::Connect { queue, controller, host, .. } => {
                    let association = if queue == 0 { self.association } else { controller };
                    if queue == 0 {
                        self.association = self.association % 0xfffe + 1;
                    }
                    let connection = self.connections.get_mut(&number).unwrap();
                    connection.association = association;
                    connection.gateway = gateway_of(&host);
                    connection.machine.accept(association);
                }
                Event::Command { sqe, .. } => self.command(number, sqe),
                Event::Terminated { .. } => good = false,
            }
        }
        self.flush(number);
        if self.node.is_down() {
            return false;
        }
        good
    }

    fn command(&mut self, number: u64, sqe: Sqe) {
        let now = self.now();
        let connection = &self.connections[&number];
        let gateway = connection.gateway;
        if connection.machine.queue() == 0 {
            let status = if sqe.opcode == opcode::ABORT {
                self.abort(number, sqe)
            } else {
                status::INVALID_OPCODE | status::DNR
            };
            return self.respond(number, Cqe { cid: sqe.cid, status, ..Cqe::default() }, 0);
        }
        let marks = Marks::of(&sqe);
        if !matches!(sqe.opcode, opcode::READ | opcode::WRITE) {
            return self.respond(number, Cqe { cid: sqe.cid, ..Cqe::default() }, 0);
        }
        let (shot, units) = (u32::from(marks.shot), u32::from(marks.units.max(1)));
        let (node, mark, volume) = (self.name.clone(), marks.mark, sqe.nsid);
        let band = usize::from(marks.band.saturating_sub(1));
        self.record.put(Line::Arrive { t: now, node, gateway, mark, shot, volume, units, band });
        let faults = self.faults.lock().unwrap().clone();
        if faults.errors > 0.0 && self.chance.random::<f64>() < faults.errors {
            self.ended(gateway, &marks, ShotEnd::Failed);
            let cqe = Cqe { cid: sqe.cid, status: status::INTERNAL_ERROR, ..Cqe::default() };
            return self.respond(number, cqe, 0);
        }
        let noise = LogNormal::new(0.0, self.options.spread.max(0.0)).expect("a finite spread");
        let heavy = faults.heavy > 0.0 && self.chance.random::<f64>() < faults.heavy;
        let job = Job {
            units: f64::from(units),
            extent: u64::from(sqe.nsid) << 32 | u64::from(marks.key),
            writes: sqe.opcode == opcode::WRITE,
            noise: noise.sample(&mut self.chance) * if heavy { 10.0 } else { 1.0 },
            what: Shot { connection: number, sqe, marks, gateway },
        };
        match self.node.take(now, job) {
            (Taken::Held, job) => {
                self.connections.get_mut(&number).unwrap().jobs.insert(sqe.cid, job);
                self.wake.tell();
            }
            (Taken::Full, _) => {
                self.ended(gateway, &marks, ShotEnd::Refused);
                let cqe = Cqe { cid: sqe.cid, status: status::FULL, ..Cqe::default() };
                self.respond(number, cqe, 0);
            }
            (Taken::Fell, _) => {
                self.record.put(Line::Fell { t: now, node: self.name.clone() });
                let all: Vec<u64> = self.connections.keys().copied().collect();
                all.into_iter().for_each(|number| self.close(number));
            }
            (Taken::Down, _) => {}
        }
    }

    fn ended(&self, gateway: u32, marks: &Marks, end: ShotEnd) {
        let (t, node) = (self.now(), self.name.clone());
        let (mark, shot) = (marks.mark, u32::from(marks.shot));
        self.record.put(Line::Ended { t, node, gateway, mark, shot, end });
    }

    fn abort(&mut self, number: u64, sqe: Sqe) -> u16 {
        let (queue, cid) = sqe.aborts();
        let association = self.connections[&number].association;
        let found = self
            .connections
            .iter()
            .find(|(_, other)| other.association == association && other.machine.queue() == queue);
        let Some((other, job)) = found.and_then(|(at, other)| Some((*at, *other.jobs.get(&cid)?))) else {
            return status::SUCCESS;
        };
        let now = self.now();
        let marks = self.marks_of(other, cid);
        if self.node.cancel(now, job) {
            if let Some((gateway, marks)) = marks {
                self.ended(gateway, &marks, ShotEnd::Aborted);
            }
            let connection = self.connections.get_mut(&other).unwrap();
            connection.jobs.remove(&cid);
            connection
                .machine
                .respond(Cqe { cid, status: status::ABORTED_BY_REQUEST, ..Cqe::default() }, &[]);
            self.flush(other);
        } else if let Some((gateway, marks)) = marks {
            // It goes on, but its initiator has let go of it.
            self.ended(gateway, &marks, ShotEnd::Aborted);
        }
        status::SUCCESS
    }

    fn marks_of(&self, number: u64, cid: u16) -> Option<(u32, Marks)> {
        let connection = self.connections.get(&number)?;
        let sqe = connection.machine.command(cid)?;
        Some((connection.gateway, Marks::of(sqe)))
    }

    /// Does what is due by now; the time of the next.
    fn work(&mut self) -> f64 {
        let now = self.now();
        let faults = self.faults.lock().unwrap().clone();
        self.node.slow = faults.slow;
        if faults.pause > 0.0 && now >= self.pause_at {
            self.node.pause(now, faults.pause);
            self.pause_at = now + 2.0;
        }
        if faults.resets > 0.0 && now >= self.reset_at {
            self.reset_at = now + 1.0 / faults.resets;
            let mut all: Vec<u64> = self.connections.keys().copied().collect();
            all.sort_unstable();
            if !all.is_empty() {
                let one = all[self.chance.random_range(0..all.len())];
                self.close(one);
            }
        }
        if !faults.partition {
            let owing: Vec<u64> = self
                .connections
                .iter()
                .filter(|(_, one)| one.output.waiting() > 0)
                .map(|(at, _)| *at)
                .collect();
            owing.into_iter().for_each(|number| self.flush(number));
        }
        for (_, job) in self.node.done(now) {
            self.finish(now, job, &faults);
        }
        self.node.next_at()
    }

    fn finish(&mut self, now: f64, job: Job<Shot>, faults: &Faults) {
        let Shot { connection: number, sqe, marks, gateway } = job.what;
        let (mark, node) = (marks.mark, self.name.clone());
        let band = self.options.bands.get(usize::from(marks.band.saturating_sub(1)));
        // The client's tries of one operation share all but the last byte.
        let new = band
            .and_then(|band| band.tagged.as_ref())
            .is_none_or(|(group, window)| self.options.fleet.first(now, group, mark >> 8, *window));
        self.record.put(if new {
            Line::Ran { t: now, node, mark }
        } else {
            Line::Dropped { t: now, node, mark }
        });
        for ((other, volume), units) in &mut self.others {
            if *volume == sqe.nsid && *other != gateway {
                *units += job.units;
            }
        }
        let others = self.others.insert((gateway, sqe.nsid), 0.0).unwrap_or(0.0);
        self.reports.push_back((now, self.node.service));
        while self.reports.len() > 1 && self.reports[1].0 <= now - faults.late {
            self.reports.pop_front();
        }
        let latency = self.reports.front().map_or(0.0, |(_, service)| *service);
        let mut told = Told { latency, used: 0, others: others.round() as u32 };
        if self.options.metering > 0.0 {
            let used =
                self.options.fleet.meter(now - faults.late, sqe.nsid, job.units, self.options.metering);
            let nominal = self.options.nominal.get(&sqe.nsid).copied().unwrap_or(1.0).max(1e-9);
            told.used = used.map_or(0, |used| 1 + (100.0 * used / nominal).min(60000.0) as u16);
        }
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.jobs.remove(&sqe.cid).is_none() {
            return;
        }
        if faults.lost > 0.0 && self.chance.random::<f64>() < faults.lost {
            return self.ended(gateway, &marks, ShotEnd::Lost);
        }
        self.ended(gateway, &marks, ShotEnd::Answered);
        let mut cqe = Cqe { cid: sqe.cid, ..Cqe::default() };
        told.put(&mut cqe);
        let length = if sqe.opcode == opcode::READ { sqe.length() } else { 0 };
        self.respond(number, cqe, length);
        self.flush(number);
    }

    fn respond(&mut self, number: u64, cqe: Cqe, length: usize) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.machine.respond(cqe, &vec![0xa5; length]);
        }
    }

    fn flush(&mut self, number: u64) {
        let partition = self.faults.lock().unwrap().partition;
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.output.add(&mut connection.machine.out);
        if connection.output.waiting() > MOST_OUTPUT {
            return self.close(number);
        }
        if partition {
            return;
        }
        match connection.output.flush(connection.stream.get_ref()) {
            Ok(true) => {}
            // The worker's look every 20 ms writes the rest.
            Ok(false) => {}
            Err(_) => self.close(number),
        }
    }

    fn close(&mut self, number: u64) {
        let now = self.now();
        let open: Vec<(u16, u64)> = match self.connections.get(&number) {
            Some(connection) => connection.jobs.iter().map(|(cid, job)| (*cid, *job)).collect(),
            None => return,
        };
        for (cid, job) in open {
            if let Some((gateway, marks)) = self.marks_of(number, cid) {
                self.ended(gateway, &marks, ShotEnd::Broken);
            }
            self.node.cancel(now, job);
        }
        let connection = self.connections.remove(&number).unwrap();
        let _ = connection.stream.get_ref().shutdown(std::net::Shutdown::Both);
        // An association's queues end together.
        let association = connection.association;
        let others: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, other)| other.association == association && association != 0)
            .map(|(at, _)| *at)
            .collect();
        others.into_iter().for_each(|other| self.close(other));
    }
}

/// A listener on an ephemeral loopback port.
pub fn listener() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
}
