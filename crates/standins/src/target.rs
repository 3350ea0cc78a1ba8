//! A target on loopback: NVMe over TCP outside, the [`crate::model`] inside, faults by switch.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use quaypath_initiator::event_loop::Notify;
use quaypath_nvme::admin::{ana, Do, Group, Kind, View};
use quaypath_nvme::association::Associations;
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe, Told};
use quaypath_nvme::controller::{Controller, Event};
use quaypath_nvme::pdu::{DataPart, Format, Pdu};
use quaypath_nvme::{status, BLOCK_SIZE};
use quaypath_record::{Event as Line, ShotEnd, Writer};
use quaypath_rules::{Band, DedupScope, Repeat};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use crate::model::{Admission, Job, ModelConfig, NodeModel};
use crate::runtime::{
    gateway_of, read_until_closed, serve_connections, OutputBuffer, Runtime, SharedMutex, Stream,
};

/// What a target agrees to: any digests, data anywhere.
pub const ACCEPTED_FORMAT: Format = Format { header_digest: true, data_digest: true, align: 0 };
/// Connections that a target accepts.
const MOST_CONNECTIONS: usize = 1024;
/// OutputBuffer that a connection may owe before it is closed, bytes.
const MOST_OUTPUT: usize = 64 << 20;

/// Faults of one target, switched while it runs.
#[derive(Clone, Debug)]
pub struct Faults {
    pub slowdown: f64,
    /// Length of a pause, every two seconds.
    pub pause: f64,
    pub error_share: f64,
    pub lost_share: f64,
    /// Resets of one connection, a second.
    pub resets_per_second: f64,
    pub refuse_connections: bool,
    /// What it sends is held back; it goes on reading.
    pub hold_output: bool,
    /// Does not read its sockets: what is sent to it stays in the kernels.
    pub stop_reading: bool,
    /// Share of transactions that take ten times their work.
    pub heavy_share: f64,
    /// Share of answers that go with bytes that break the protocol.
    pub violation_share: f64,
    /// ModelConfig in answers are this many seconds old.
    pub report_delay: f64,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slowdown: 1.0,
            pause: 0.0,
            error_share: 0.0,
            lost_share: 0.0,
            resets_per_second: 0.0,
            refuse_connections: false,
            hold_output: false,
            stop_reading: false,
            heavy_share: 0.0,
            violation_share: 0.0,
            report_delay: 0.0,
        }
    }
}

/// What the targets of one fleet share: tags by group, and the meter of use.
#[derive(Default)]
pub struct SharedData {
    /// When an operation with a tag took effect, by group and operation.
    tags: Mutex<HashMap<(String, u64), f64>>,
    /// Units of each volume in the present and the last finished period.
    meter: Mutex<HashMap<u32, (u64, f64, f64)>>,
    /// What was written, by volume and page of eight blocks: a node that replaces another holds the same.
    store: Mutex<HashMap<(u32, u64), Box<Page>>>,
}

const PAGE_BLOCKS: u64 = 8;
type Page = [u8; PAGE_BLOCKS as usize * BLOCK_SIZE];
/// Pages that a fleet keeps, 256 MiB; beyond them writes are refused.
const MOST_PAGES: usize = 65536;

impl SharedData {
    /// True where the operation is new to its group; remembered for `window` seconds.
    fn first(&self, now: f64, group: &str, operation: u64, window: f64) -> bool {
        let mut tags = self.tags.lock().unwrap();
        if tags.len() > 100_000 {
            tags.retain(|_, at| now - *at < window);
        }
        let known = tags.insert((group.to_string(), operation), now);
        known.is_none_or(|at| now - at >= window)
    }

    /// Calls `act` with each part of a range: its page, where it starts there, and the range's bytes that it holds.
    fn parts(slba: u64, length: usize, mut act: impl FnMut(u64, usize, std::ops::Range<usize>)) {
        let mut at = 0;
        while at < length {
            let block = slba + (at / BLOCK_SIZE) as u64;
            let start = (block % PAGE_BLOCKS) as usize * BLOCK_SIZE;
            let count = (PAGE_BLOCKS as usize * BLOCK_SIZE - start).min(length - at);
            act(block / PAGE_BLOCKS, start, at..at + count);
            at += count;
        }
    }

    /// Blocks never written are zeroes.
    pub fn read(&self, volume: u32, slba: u64, length: usize) -> Vec<u8> {
        let (store, mut data) = (self.store.lock().unwrap(), vec![0; length]);
        Self::parts(slba, length, |page, start, range| {
            if let Some(page) = store.get(&(volume, page)) {
                let count = range.len();
                data[range].copy_from_slice(&page[start..start + count]);
            }
        });
        data
    }

    /// False where the store is full.
    pub fn write(&self, volume: u32, slba: u64, data: &[u8]) -> bool {
        let mut store = self.store.lock().unwrap();
        if store.len() + data.len() / BLOCK_SIZE > MOST_PAGES {
            return false;
        }
        Self::parts(slba, data.len(), |page, start, range| {
            let page = store
                .entry((volume, page))
                .or_insert_with(|| Box::new([0; PAGE_BLOCKS as usize * BLOCK_SIZE]));
            page[start..start + range.len()].copy_from_slice(&data[range]);
        });
        true
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

impl BandRule {
    /// What a rule of the deployment means to the target that holds `block` in `zone`.
    pub fn for_target(band: &Band, zone: &str, block: i64) -> BandRule {
        let group = match band.dedup_scope {
            DedupScope::All => "all".to_string(),
            DedupScope::Zone => zone.to_string(),
            DedupScope::Cell => format!("cell-{block}"),
        };
        BandRule { tagged: (band.repeat == Repeat::Tagged).then_some((group, band.dedup_window)) }
    }
}

/// The zone that holds a part of the data.
pub fn zone_of(block: i64, zones: u32) -> String {
    format!("hall-{}", block.rem_euclid(i64::from(zones)))
}

#[derive(Clone)]
pub struct Options {
    pub block: i64,
    pub zone: String,
    pub cold: bool,
    pub seed: u64,
    pub model: ModelConfig,
    pub bands: Vec<BandRule>,
    /// Period of the use figures, seconds, and nominal rate of each volume; 0: no meter.
    pub metering_period: f64,
    pub nominal_rates: Arc<BTreeMap<u32, f64>>,
    /// Volumes and their sizes in logical blocks.
    pub volumes: Arc<BTreeMap<u32, u64>>,
    /// Digests taken where they are offered, alignment asked for.
    pub accepted_format: Format,
    pub shared: Arc<SharedData>,
    /// Spread of the work of equal transactions, as the sigma of a lognormal.
    pub work_sigma: f64,
}

/// A target that runs on a thread of its own.
pub struct Target {
    pub node: String,
    pub faults: SharedMutex<Faults>,
    record: Writer,
    running: Option<Runtime>,
}

impl Target {
    pub fn start(options: Options, listener: TcpListener, record: Writer) -> io::Result<Target> {
        let node = listener.local_addr()?.to_string();
        let faults = SharedMutex::<Faults>::default();
        let (zone, block, cold) = (options.zone.clone(), options.block, options.cold);
        record.put(Line::NodeStarted { t: record.clock.now(), node: node.clone(), block, zone, cold });
        let (switch, writer) = (faults.clone(), record.clone());
        let running = Runtime::start(&format!("target-{block}"), move |executor| {
            spawn_target(executor, options, listener, writer, switch);
        });
        Ok(Target { node, faults, record, running: Some(running) })
    }

    /// Ends it as a kill does: sockets closed at once, work in hand lost.
    pub fn kill(&mut self) {
        if self.running.take().is_some() {
            self.record.put(Line::NodeStopped { t: self.record.clock.now(), node: self.node.clone() });
        }
    }

    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
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
    data: Vec<u8>,
}

struct Connection {
    stream: Stream,
    machine: Controller,
    output: OutputBuffer,
    gateway: u32,
    /// Jobs by command id.
    jobs: HashMap<u16, u64>,
}

struct State {
    options: Options,
    name: String,
    record: Writer,
    faults: SharedMutex<Faults>,
    node: NodeModel<Shot>,
    chance: SmallRng,
    connections: HashMap<u64, Connection>,
    next: u64,
    associations: Associations,
    /// By gateway and volume: units served to others since the last answer.
    others: HashMap<(u32, u32), f64>,
    /// ModelConfig as they were told, for late reports.
    reports: std::collections::VecDeque<(f64, f64)>,
    pause_at: f64,
    reset_at: f64,
    wake: Rc<Notify>,
}

type Shared = Rc<RefCell<State>>;

/// Puts a target's tasks on an executor; the listener decides its name.
pub fn spawn_target(
    executor: &Rc<LocalExecutor<'static>>, options: Options, listener: TcpListener, record: Writer,
    faults: SharedMutex<Faults>,
) {
    let listener = Async::new(listener).expect("a listener for the reactor");
    let name = listener.get_ref().local_addr().expect("a bound listener").to_string();
    let now = record.clock.now();
    let state = State {
        node: NodeModel::new(now, options.cold, options.model.clone()),
        chance: SmallRng::seed_from_u64(options.seed),
        name,
        record,
        faults,
        options,
        connections: HashMap::new(),
        next: 1,
        associations: Associations::new(MOST_CONNECTIONS),
        others: HashMap::new(),
        reports: Default::default(),
        pause_at: now,
        reset_at: now,
        wake: Rc::default(),
    };
    let state = Rc::new(RefCell::new(state));
    serve_connections(executor, listener, state.clone(), opened, serve);
    executor.spawn(work(state)).detach();
}

/// A connection that the listener gave; none where a fault or the bound refuses it.
fn opened(state: &Shared, stream: Stream) -> Option<u64> {
    let mut this = state.borrow_mut();
    let refuse = this.faults.lock().unwrap().refuse_connections;
    if refuse || this.connections.len() >= MOST_CONNECTIONS {
        return None;
    }
    let number = this.next;
    this.next += 1;
    let connection = Connection {
        stream,
        machine: Controller::taking(this.options.accepted_format),
        output: OutputBuffer::default(),
        gateway: 0,
        jobs: HashMap::new(),
    };
    this.connections.insert(number, connection);
    Some(number)
}

async fn serve(state: Shared, number: u64, stream: Stream) {
    let faults = state.borrow().faults.clone();
    loop {
        // Deaf: the kernels hold what is sent.
        while faults.lock().unwrap().stop_reading {
            Timer::after(Duration::from_millis(5)).await;
        }
        let mut went_deaf = false;
        let ended = read_until_closed(&stream, |bytes| {
            let more = state.borrow_mut().read(number, bytes);
            went_deaf = more && faults.lock().unwrap().stop_reading;
            more && !went_deaf
        })
        .await;
        if ended.is_err() || !went_deaf {
            break;
        }
    }
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
                Event::Connect { queue, controller, host, keep_alive_ms, .. } => {
                    let now = self.record.clock.now();
                    let given =
                        self.associations.connect(now, number, queue, controller, &host, keep_alive_ms);
                    let connection = self.connections.get_mut(&number).unwrap();
                    connection.gateway = gateway_of(&host);
                    connection.machine.answer(given);
                }
                Event::Command { sqe, data } => self.command(number, sqe, data),
                Event::Terminated { .. } => good = false,
            }
        }
        self.flush(number);
        if self.node.is_down() {
            return false;
        }
        good
    }

    fn command(&mut self, number: u64, sqe: Sqe, data: Vec<u8>) {
        let now = self.now();
        let Some(connection) = self.connections.get(&number) else { return };
        let gateway = connection.gateway;
        if connection.machine.queue() == 0 {
            return self.admin(number, &sqe);
        }
        self.associations.heard(now, number);
        let refuse = |status: u16| Cqe { cid: sqe.cid, status: status | status::DNR, ..Cqe::default() };
        if !matches!(
            sqe.opcode,
            opcode::READ | opcode::WRITE | opcode::WRITE_ZEROES | opcode::COMPARE | opcode::FLUSH
        ) {
            return self.respond(number, refuse(status::INVALID_OPCODE), &[]);
        }
        let Some(size) = self.options.volumes.get(&sqe.nsid) else {
            return self.respond(number, refuse(status::INVALID_NAMESPACE), &[]);
        };
        // A write is answered when it has taken effect, so there is nothing left to flush.
        if sqe.opcode == opcode::FLUSH {
            return self.respond(number, Cqe { cid: sqe.cid, ..Cqe::default() }, &[]);
        }
        let end = sqe.slba().checked_add((sqe.length() / BLOCK_SIZE) as u64);
        if end.is_none_or(|end| end > *size) {
            return self.respond(number, refuse(status::LBA_RANGE), &[]);
        }
        let marks = Marks::of(&sqe);
        let (shot, units) = (u32::from(marks.shot), u32::from(marks.units.max(1)));
        let (node, mark, volume) = (self.name.clone(), marks.mark, sqe.nsid);
        let band = usize::from(marks.band.saturating_sub(1));
        self.record.put(Line::ShotArrived { t: now, node, gateway, mark, shot, volume, units, band });
        let faults = self.faults.lock().unwrap().clone();
        if faults.error_share > 0.0 && self.chance.random::<f64>() < faults.error_share {
            self.ended(gateway, &marks, ShotEnd::Failed);
            let cqe = Cqe { cid: sqe.cid, status: status::INTERNAL_ERROR, ..Cqe::default() };
            return self.respond(number, cqe, &[]);
        }
        let noise = LogNormal::new(0.0, self.options.work_sigma.max(0.0)).expect("a finite spread");
        let heavy = faults.heavy_share > 0.0 && self.chance.random::<f64>() < faults.heavy_share;
        let job = Job {
            units: f64::from(units),
            extent: u64::from(sqe.nsid) << 32 | u64::from(marks.key),
            writes: matches!(sqe.opcode, opcode::WRITE | opcode::WRITE_ZEROES),
            work_factor: noise.sample(&mut self.chance) * if heavy { 10.0 } else { 1.0 },
            payload: Shot { connection: number, sqe, marks, gateway, data },
        };
        match self.node.submit(now, job) {
            (Admission::Accepted, job) => {
                self.connections.get_mut(&number).unwrap().jobs.insert(sqe.cid, job);
                self.wake.notify();
            }
            (Admission::QueueFull, _) => {
                self.ended(gateway, &marks, ShotEnd::Refused);
                let cqe = Cqe { cid: sqe.cid, status: status::FULL, ..Cqe::default() };
                self.respond(number, cqe, &[]);
            }
            (Admission::Overloaded, _) => {
                self.record.put(Line::NodeOverloaded { t: now, node: self.name.clone() });
                let all: Vec<u64> = self.connections.keys().copied().collect();
                all.into_iter().for_each(|number| self.close(number));
            }
            (Admission::Down, _) => {}
        }
    }

    fn ended(&self, gateway: u32, marks: &Marks, end: ShotEnd) {
        let (t, node) = (self.now(), self.name.clone());
        let (mark, shot) = (marks.mark, u32::from(marks.shot));
        self.record.put(Line::ShotEnded { t, node, gateway, mark, shot, end });
    }

    fn admin(&mut self, number: u64, sqe: &Sqe) {
        let now = self.now();
        if sqe.opcode == opcode::GET_LOG_PAGE {
            let gateway = self.connections.get(&number).map_or(0, |connection| connection.gateway);
            self.record.put(Line::NodeProbed { t: now, node: self.name.clone(), gateway });
        }
        let view = Face { options: &self.options, name: &self.name };
        match self.associations.command(now, number, sqe, &view) {
            Some(Do::Respond(cqe, data)) => self.respond(number, cqe, &data),
            Some(Do::Disconnect(cqe)) => self.respond(number, cqe, &[]),
            Some(Do::Hold) | None => {}
            Some(Do::Abort { cid, queue, command }) => {
                let aborted = self.abort(number, queue, command);
                let dw0 = u32::from(!aborted);
                self.respond(number, Cqe { cid, dw0, ..Cqe::default() }, &[]);
            }
        }
        while let Some(cqe) = self.associations.due(number) {
            self.respond(number, cqe, &[]);
        }
    }

    fn abort(&mut self, number: u64, queue: u16, cid: u16) -> bool {
        if queue == 0 {
            self.respond(number, Cqe { cid, status: status::ABORTED_BY_REQUEST, ..Cqe::default() }, &[]);
            return true;
        }
        let found = self.associations.beside(number, queue);
        let Some((other, job)) = found.and_then(|at| Some((at, *self.connections.get(&at)?.jobs.get(&cid)?)))
        else {
            return false;
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
            return true;
        }
        if let Some((gateway, marks)) = marks {
            // It goes on, but its initiator has let go of it.
            self.ended(gateway, &marks, ShotEnd::Aborted);
        }
        false
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
        self.node.slowdown = faults.slowdown;
        if faults.pause > 0.0 && now >= self.pause_at {
            self.node.pause(now, faults.pause);
            self.pause_at = now + 2.0;
        }
        if faults.resets_per_second > 0.0 && now >= self.reset_at {
            self.reset_at = now + 1.0 / faults.resets_per_second;
            let mut all: Vec<u64> = self.connections.keys().copied().collect();
            all.sort_unstable();
            if !all.is_empty() {
                let one = all[self.chance.random_range(0..all.len())];
                self.close(one);
            }
        }
        for number in self.associations.lost(now) {
            self.close(number);
        }
        if !faults.hold_output {
            let owing: Vec<u64> = self
                .connections
                .iter()
                .filter(|(_, one)| one.output.unsent_bytes() > 0)
                .map(|(at, _)| *at)
                .collect();
            owing.into_iter().for_each(|number| self.flush(number));
        }
        for (_, job) in self.node.take_completed(now) {
            self.finish(now, job, &faults);
        }
        self.node.next_event_at()
    }

    fn finish(&mut self, now: f64, job: Job<Shot>, faults: &Faults) {
        let Shot { connection: number, sqe, marks, gateway, data } = job.payload;
        let (mark, node) = (marks.mark, self.name.clone());
        let band = self.options.bands.get(usize::from(marks.band.saturating_sub(1)));
        // The client's tries of one operation share all but the last byte; another host's marks are its own.
        let operation = u64::from(marks.host) << 40 ^ mark >> 8;
        let tagged = band.and_then(|band| band.tagged.as_ref());
        let new =
            tagged.is_none_or(|(group, window)| self.options.shared.first(now, group, operation, *window));
        let (length, fleet) = (sqe.length(), self.options.shared.clone());
        let mut brought = Vec::new();
        let status = match sqe.opcode {
            opcode::READ => {
                brought = fleet.read(sqe.nsid, sqe.slba(), length);
                status::SUCCESS
            }
            opcode::COMPARE if fleet.read(sqe.nsid, sqe.slba(), length) != data => status::COMPARE_FAILURE,
            opcode::WRITE if new && !fleet.write(sqe.nsid, sqe.slba(), &data) => status::INTERNAL_ERROR,
            opcode::WRITE_ZEROES if new && !fleet.write(sqe.nsid, sqe.slba(), &vec![0; length]) => {
                status::INTERNAL_ERROR
            }
            _ => status::SUCCESS,
        };
        self.record.put(if new {
            Line::EffectApplied { t: now, node, mark }
        } else {
            Line::RepeatDropped { t: now, node, mark }
        });
        for ((other, volume), units) in &mut self.others {
            if *volume == sqe.nsid && *other != gateway {
                *units += job.units;
            }
        }
        let others = self.others.insert((gateway, sqe.nsid), 0.0).unwrap_or(0.0);
        self.reports.push_back((now, self.node.mean_service_time));
        while self.reports.len() > 1 && self.reports[1].0 <= now - faults.report_delay {
            self.reports.pop_front();
        }
        let latency = self.reports.front().map_or(0.0, |(_, service)| *service);
        let mut told = Told { latency, used: 0, others: others.round() as u32 };
        if self.options.metering_period > 0.0 {
            let used = self.options.shared.meter(
                now - faults.report_delay,
                sqe.nsid,
                job.units,
                self.options.metering_period,
            );
            let nominal = self.options.nominal_rates.get(&sqe.nsid).copied().unwrap_or(1.0).max(1e-9);
            told.used = used.map_or(0, |used| 1 + (100.0 * used / nominal).min(60000.0) as u16);
        }
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.jobs.remove(&sqe.cid).is_none() {
            return;
        }
        if faults.lost_share > 0.0 && self.chance.random::<f64>() < faults.lost_share {
            return self.ended(gateway, &marks, ShotEnd::Lost);
        }
        self.ended(gateway, &marks, ShotEnd::Answered);
        if faults.violation_share > 0.0 && self.chance.random::<f64>() < faults.violation_share {
            let way = self.chance.random_range(0..6);
            let connection = self.connections.get_mut(&number).unwrap();
            encode_violation(way, &sqe, &mut connection.machine.out);
        }
        let mut cqe = Cqe { cid: sqe.cid, status, ..Cqe::default() };
        told.put(&mut cqe);
        self.respond(number, cqe, &brought);
        self.flush(number);
    }

    fn respond(&mut self, number: u64, cqe: Cqe, data: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.machine.respond(cqe, data);
        }
    }

    fn flush(&mut self, number: u64) {
        let partition = self.faults.lock().unwrap().hold_output;
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.output.append(&mut connection.machine.out);
        if connection.output.unsent_bytes() > MOST_OUTPUT {
            return self.close(number);
        }
        if partition {
            return;
        }
        // What the kernel does not take now the worker's look every 20 ms writes.
        if connection.output.flush(connection.stream.get_ref()).is_err() {
            self.close(number);
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
        for other in self.associations.ended(number) {
            self.close(other);
        }
    }
}

/// What a target shows its hosts: every volume, of which it holds a part.
struct Face<'a> {
    options: &'a Options,
    name: &'a str,
}

impl View for Face<'_> {
    fn kind(&self) -> Kind {
        Kind::Io
    }
    fn subsystem(&self) -> &str {
        self.name
    }
    fn namespaces(&self, after: u32) -> Vec<(u32, u64)> {
        let above = self.options.volumes.range(after.saturating_add(1)..);
        above.take(1024).map(|(id, size)| (*id, *size)).collect()
    }
    fn blocks(&self, nsid: u32) -> Option<u64> {
        self.options.volumes.get(&nsid).copied()
    }
    fn groups(&self) -> Vec<Group> {
        vec![(1, ana::OPTIMIZED, self.options.volumes.keys().copied().collect())]
    }
}

/// Bytes that no controller may send, in one of six ways.
pub fn encode_violation(way: u32, sqe: &Sqe, out: &mut Vec<u8>) {
    let cid = sqe.cid;
    let data = |length: usize| {
        Pdu::C2hData(DataPart {
            cid,
            ttag: 0,
            offset: 0,
            last: true,
            success: false,
            data: vec![0x66; length],
        })
    };
    match way {
        // Answered twice: the proper answer follows.
        0 => Pdu::Response(Cqe { cid, ..Cqe::default() }).encode(out),
        1 => Pdu::Response(Cqe { cid: 0x7ffe, ..Cqe::default() }).encode(out),
        2 => data(sqe.length() + BLOCK_SIZE).encode(out),
        3 => Pdu::R2t { cid, ttag: 1, offset: 1 << 20, length: 1 << 20 }.encode(out),
        // A digest that does not match, or that was not agreed on.
        4 => {
            let format = Format { header_digest: true, data_digest: true, align: 0 };
            let start = out.len();
            data(BLOCK_SIZE).encode_in(format, out);
            out[start + 24] ^= 0xff;
        }
        _ => out.extend_from_slice(&[0x5a; 64]),
    }
}

/// A listener on an ephemeral loopback port.
pub fn loopback_listener() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
}
