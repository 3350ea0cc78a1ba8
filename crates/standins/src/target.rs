//! A target on loopback: it speaks NVMe over TCP, takes its timing from [`crate::model`], and has faults that are
//! switched while it runs.

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

/// Connection format of a target that accepts any digests and any data alignment.
pub const ACCEPTED_FORMAT: Format = Format { header_digest: true, data_digest: true, align: 0 };
/// Maximum number of connections of a target; further ones are closed.
const MAX_CONNECTIONS: usize = 1024;
/// Unsent output above which a connection is closed, bytes.
const MAX_UNSENT_BYTES: usize = 64 << 20;

/// Faults of one target, switched while it runs. Shares are probabilities from 0 to 1.
#[derive(Clone, Debug)]
pub struct Faults {
    /// Factor on the duration of all work; 1 without a fault.
    pub slowdown: f64,
    /// Length of a pause of all work that occurs every two seconds, seconds.
    pub pause: f64,
    /// Share of transactions that fail at once with an internal error.
    pub error_share: f64,
    /// Share of completed transactions that are not answered.
    pub lost_share: f64,
    /// How often a random connection is closed, per second.
    pub resets_per_second: f64,
    /// Closes new connections.
    pub refuse_connections: bool,
    /// Sends nothing and keeps its output; continues to read.
    pub hold_output: bool,
    /// Does not read its sockets, so that received bytes fill the socket buffers of the kernel.
    pub stop_reading: bool,
    /// Share of transactions that need ten times the work.
    pub heavy_share: f64,
    /// Share of answers that are preceded by bytes that violate the protocol.
    pub violation_share: f64,
    /// Age of the load figures that are reported in answers, seconds.
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

/// State that all targets of one test share: applied tagged operations, the usage meter and the stored data.
#[derive(Default)]
pub struct SharedData {
    /// Time of the last execution of a tagged operation, dropped repeats included, by group and operation.
    tags: Mutex<HashMap<(String, u64), f64>>,
    /// By volume: number of the current period, its units so far, and the units of the last completed period.
    meter: Mutex<HashMap<u32, (u64, f64, f64)>>,
    /// Written data by volume and page. It is shared so that a node that replaces another holds the same data.
    pages: Mutex<HashMap<(u32, u64), Box<Page>>>,
}

/// Blocks per page of stored data.
const PAGE_BLOCKS: u64 = 8;
type Page = [u8; PAGE_BLOCKS as usize * BLOCK_SIZE];
/// Maximum number of stored pages, 256 MiB in total; writes beyond it fail.
const MAX_PAGES: usize = 65536;

impl SharedData {
    /// Records an operation and returns whether its group has not had it within the last `window` seconds.
    fn is_first(&self, now: f64, group: &str, operation: u64, window: f64) -> bool {
        let mut tags = self.tags.lock().unwrap();
        if tags.len() > 100_000 {
            tags.retain(|_, seen_at| now - *seen_at < window);
        }
        let last_seen = tags.insert((group.to_string(), operation), now);
        last_seen.is_none_or(|seen_at| now - seen_at >= window)
    }

    /// Splits a range at page boundaries. Calls `visit` with each page number, the offset in the page in bytes, and the
    /// part of the range that lies in the page.
    fn for_each_page(slba: u64, length: usize, mut visit: impl FnMut(u64, usize, std::ops::Range<usize>)) {
        let mut offset = 0;
        while offset < length {
            let block = slba + (offset / BLOCK_SIZE) as u64;
            let start = (block % PAGE_BLOCKS) as usize * BLOCK_SIZE;
            let count = (PAGE_BLOCKS as usize * BLOCK_SIZE - start).min(length - offset);
            visit(block / PAGE_BLOCKS, start, offset..offset + count);
            offset += count;
        }
    }

    /// Reads `length` bytes from the block `slba`. Blocks that were never written are zeroes.
    pub fn read(&self, volume: u32, slba: u64, length: usize) -> Vec<u8> {
        let (pages, mut data) = (self.pages.lock().unwrap(), vec![0; length]);
        Self::for_each_page(slba, length, |page, start, range| {
            if let Some(page) = pages.get(&(volume, page)) {
                let count = range.len();
                data[range].copy_from_slice(&page[start..start + count]);
            }
        });
        data
    }

    /// Writes data from the block `slba`. Returns false if the store is full.
    pub fn write(&self, volume: u32, slba: u64, data: &[u8]) -> bool {
        let mut pages = self.pages.lock().unwrap();
        if pages.len() + data.len() / BLOCK_SIZE > MAX_PAGES {
            return false;
        }
        Self::for_each_page(slba, data.len(), |page, start, range| {
            let page = pages
                .entry((volume, page))
                .or_insert_with(|| Box::new([0; PAGE_BLOCKS as usize * BLOCK_SIZE]));
            page[start..start + range.len()].copy_from_slice(&data[range]);
        });
        true
    }

    /// Adds units and returns the usage in the last completed period, units per second; none before one is completed.
    fn meter_usage(&self, now: f64, volume: u32, units: f64, period: f64) -> Option<f64> {
        let mut meter = self.meter.lock().unwrap();
        let period_number = (now / period) as u64;
        let first_period = (period_number, 0.0, f64::NAN);
        let (current_period, current_units, last_units) = meter.entry(volume).or_insert(first_period);
        if *current_period != period_number {
            *last_units = if period_number == *current_period + 1 { *current_units } else { 0.0 };
            (*current_period, *current_units) = (period_number, 0.0);
        }
        *current_units += units;
        (!last_units.is_nan()).then_some(*last_units / period)
    }
}

/// What a target needs to know of a band.
#[derive(Clone, Debug, Default)]
pub struct BandRule {
    /// Group of targets that drop repeats of an operation, and for how many seconds; none if the band is not tagged.
    pub tagged: Option<(String, f64)>,
}

impl BandRule {
    /// Rule of a band of the deployment for the target that holds `block` in `zone`.
    pub fn for_target(band: &Band, zone: &str, block: i64) -> BandRule {
        let group = match band.dedup_scope {
            DedupScope::All => "all".to_string(),
            DedupScope::Zone => zone.to_string(),
            DedupScope::Cell => format!("cell-{block}"),
        };
        BandRule { tagged: (band.repeat == Repeat::Tagged).then_some((group, band.dedup_window)) }
    }
}

/// Zone of the node that holds a block.
pub fn zone_of(block: i64, zones: u32) -> String {
    format!("hall-{}", block.rem_euclid(i64::from(zones)))
}

/// Settings of one target.
#[derive(Clone)]
pub struct Options {
    /// Block of the data that the target holds.
    pub block: i64,
    pub zone: String,
    /// Whether it starts cold.
    pub cold: bool,
    /// Seed of its random numbers.
    pub seed: u64,
    pub model: ModelConfig,
    /// One rule per band, by index.
    pub bands: Vec<BandRule>,
    /// Period of the usage meter, seconds; 0 disables the meter.
    pub metering_period: f64,
    /// Nominal rate of each volume, units per second.
    pub nominal_rates: Arc<BTreeMap<u32, f64>>,
    /// Volumes and their sizes in logical blocks.
    pub volumes: Arc<BTreeMap<u32, u64>>,
    /// Digests that it accepts if they are offered, and the data alignment that it asks for.
    pub accepted_format: Format,
    pub shared: Arc<SharedData>,
    /// Variation of the work of equal transactions: sigma of a lognormal distribution.
    pub work_sigma: f64,
}

/// A target that runs on a thread of its own.
pub struct Target {
    /// Address, which is also the name of the node.
    pub node: String,
    /// Current faults.
    pub faults: SharedMutex<Faults>,
    record: Writer,
    running: Option<Runtime>,
}

impl Target {
    /// Starts the thread and records the start.
    pub fn start(options: Options, listener: TcpListener, record: Writer) -> io::Result<Target> {
        let node = listener.local_addr()?.to_string();
        let faults = SharedMutex::<Faults>::default();
        let (zone, block, cold) = (options.zone.clone(), options.block, options.cold);
        record.put(Line::NodeStarted { t: record.clock.now(), node: node.clone(), block, zone, cold });
        let (shared_faults, writer) = (faults.clone(), record.clone());
        let running = Runtime::start(&format!("target-{block}"), move |executor| {
            spawn_target(executor, options, listener, writer, shared_faults);
        });
        Ok(Target { node, faults, record, running: Some(running) })
    }

    /// Stops it as a killed process: sockets are closed at once and running work is lost.
    pub fn kill(&mut self) {
        if self.running.take().is_some() {
            self.record.put(Line::NodeStopped { t: self.record.clock.now(), node: self.node.clone() });
        }
    }

    /// Changes its faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().unwrap());
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A shot in the model, with the connection and the command that it answers.
#[derive(Clone, Debug)]
struct Shot {
    connection: u64,
    sqe: Sqe,
    marks: Marks,
    gateway: u32,
    data: Vec<u8>,
}

/// One connection: a queue of an association.
struct Connection {
    stream: Stream,
    protocol: Controller,
    output: OutputBuffer,
    gateway: u32,
    /// Job numbers of the model by command id.
    jobs: HashMap<u16, u64>,
}

/// State of a target, shared by its tasks.
struct State {
    options: Options,
    name: String,
    record: Writer,
    faults: SharedMutex<Faults>,
    node: NodeModel<Shot>,
    random: SmallRng,
    connections: HashMap<u64, Connection>,
    next_number: u64,
    associations: Associations,
    /// By gateway and volume: units executed for other gateways since the last answer to this gateway.
    others_units: HashMap<(u32, u32), f64>,
    /// Time and mean service time at each completion, for delayed reports.
    service_times: std::collections::VecDeque<(f64, f64)>,
    /// Times of the next pause and of the next connection reset that a fault causes.
    next_pause_at: f64,
    next_reset_at: f64,
    wake: Rc<Notify>,
}

type SharedState = Rc<RefCell<State>>;

/// Starts the tasks of a target on an executor. The address of the listener is the name of the node.
pub fn spawn_target(
    executor: &Rc<LocalExecutor<'static>>, options: Options, listener: TcpListener, record: Writer,
    faults: SharedMutex<Faults>,
) {
    let listener = Async::new(listener).expect("a listener for the reactor");
    let name = listener.get_ref().local_addr().expect("a bound listener").to_string();
    let now = record.clock.now();
    let state = State {
        node: NodeModel::new(now, options.cold, options.model.clone()),
        random: SmallRng::seed_from_u64(options.seed),
        name,
        record,
        faults,
        options,
        connections: HashMap::new(),
        next_number: 1,
        associations: Associations::new(MAX_CONNECTIONS),
        others_units: HashMap::new(),
        service_times: Default::default(),
        next_pause_at: now,
        next_reset_at: now,
        wake: Rc::default(),
    };
    let state = Rc::new(RefCell::new(state));
    serve_connections(executor, listener, state.clone(), connection_opened, serve);
    executor.spawn(run_model(state)).detach();
}

/// Registers a new connection and returns its number; none if a fault or the maximum number of connections refuses it.
fn connection_opened(state: &SharedState, stream: Stream) -> Option<u64> {
    let mut this = state.borrow_mut();
    let refuse = this.faults.lock().unwrap().refuse_connections;
    if refuse || this.connections.len() >= MAX_CONNECTIONS {
        return None;
    }
    let number = this.next_number;
    this.next_number += 1;
    let connection = Connection {
        stream,
        protocol: Controller::taking(this.options.accepted_format),
        output: OutputBuffer::default(),
        gateway: 0,
        jobs: HashMap::new(),
    };
    this.connections.insert(number, connection);
    Some(number)
}

/// Reads a connection until it ends.
async fn serve(state: SharedState, number: u64, stream: Stream) {
    let faults = state.borrow().faults.clone();
    loop {
        // While the target does not read, the socket buffers of the kernel fill up.
        while faults.lock().unwrap().stop_reading {
            Timer::after(Duration::from_millis(5)).await;
        }
        let mut reading_stopped = false;
        let ended = read_until_closed(&stream, |bytes| {
            let keep_reading = state.borrow_mut().read(number, bytes);
            reading_stopped = keep_reading && faults.lock().unwrap().stop_reading;
            keep_reading && !reading_stopped
        })
        .await;
        if ended.is_err() || !reading_stopped {
            break;
        }
    }
    state.borrow_mut().close(number);
}

/// Runs the model; looks at faults and unsent output at least every 20 ms.
async fn run_model(state: SharedState) {
    loop {
        let (wait, wake) = {
            let mut this = state.borrow_mut();
            let next = this.run_due();
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

    /// Handles received bytes. Returns whether the connection continues.
    fn read(&mut self, number: u64, bytes: &[u8]) -> bool {
        let Some(connection) = self.connections.get_mut(&number) else { return false };
        let mut events = Vec::new();
        let decoded = connection.protocol.feed(bytes, &mut events);
        let mut is_valid = decoded.is_ok();
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
                Event::Command { sqe, data } => self.execute(number, sqe, data),
                Event::Terminated { .. } => is_valid = false,
            }
        }
        self.flush(number);
        if self.node.is_down() {
            return false;
        }
        is_valid
    }

    /// Submits a command to the model or answers it at once.
    fn execute(&mut self, number: u64, sqe: Sqe, data: Vec<u8>) {
        let now = self.now();
        let Some(connection) = self.connections.get(&number) else { return };
        let gateway = connection.gateway;
        if connection.protocol.queue() == 0 {
            return self.admin_command(number, &sqe);
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
        // A write is answered after it has taken effect, so a flush has nothing to do.
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
        if faults.error_share > 0.0 && self.random.random::<f64>() < faults.error_share {
            self.record_end(gateway, &marks, ShotEnd::Failed);
            let cqe = Cqe { cid: sqe.cid, status: status::INTERNAL_ERROR, ..Cqe::default() };
            return self.respond(number, cqe, &[]);
        }
        let work_factors = LogNormal::new(0.0, self.options.work_sigma.max(0.0)).expect("a finite spread");
        let is_heavy = faults.heavy_share > 0.0 && self.random.random::<f64>() < faults.heavy_share;
        let job = Job {
            units: f64::from(units),
            extent: u64::from(sqe.nsid) << 32 | u64::from(marks.key),
            writes: matches!(sqe.opcode, opcode::WRITE | opcode::WRITE_ZEROES),
            work_factor: work_factors.sample(&mut self.random) * if is_heavy { 10.0 } else { 1.0 },
            payload: Shot { connection: number, sqe, marks, gateway, data },
        };
        match self.node.submit(now, job) {
            (Admission::Accepted, job) => {
                self.connections.get_mut(&number).unwrap().jobs.insert(sqe.cid, job);
                self.wake.notify();
            }
            (Admission::QueueFull, _) => {
                self.record_end(gateway, &marks, ShotEnd::Refused);
                let cqe = Cqe { cid: sqe.cid, status: status::FULL, ..Cqe::default() };
                self.respond(number, cqe, &[]);
            }
            (Admission::Overloaded, _) => {
                self.record.put(Line::NodeOverloaded { t: now, node: self.name.clone() });
                let numbers: Vec<u64> = self.connections.keys().copied().collect();
                numbers.into_iter().for_each(|number| self.close(number));
            }
            (Admission::Down, _) => {}
        }
    }

    /// Records the end of a shot.
    fn record_end(&self, gateway: u32, marks: &Marks, end: ShotEnd) {
        let (t, node) = (self.now(), self.name.clone());
        let (mark, shot) = (marks.mark, u32::from(marks.shot));
        self.record.put(Line::ShotEnded { t, node, gateway, mark, shot, end });
    }

    /// Handles a command of the admin queue.
    fn admin_command(&mut self, number: u64, sqe: &Sqe) {
        let now = self.now();
        if sqe.opcode == opcode::GET_LOG_PAGE {
            let gateway = self.connections.get(&number).map_or(0, |connection| connection.gateway);
            self.record.put(Line::NodeProbed { t: now, node: self.name.clone(), gateway });
        }
        let view = TargetView { options: &self.options, name: &self.name };
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

    /// Aborts a command of the same association. Returns whether it was stopped.
    fn abort(&mut self, number: u64, queue: u16, cid: u16) -> bool {
        if queue == 0 {
            self.respond(number, Cqe { cid, status: status::ABORTED_BY_REQUEST, ..Cqe::default() }, &[]);
            return true;
        }
        let io_connection = self.associations.beside(number, queue);
        let Some((io_number, job)) = io_connection
            .and_then(|io_number| Some((io_number, *self.connections.get(&io_number)?.jobs.get(&cid)?)))
        else {
            return false;
        };
        let now = self.now();
        let marks = self.marks_of(io_number, cid);
        if self.node.cancel(now, job) {
            if let Some((gateway, marks)) = marks {
                self.record_end(gateway, &marks, ShotEnd::Aborted);
            }
            let connection = self.connections.get_mut(&io_number).unwrap();
            connection.jobs.remove(&cid);
            connection
                .protocol
                .respond(Cqe { cid, status: status::ABORTED_BY_REQUEST, ..Cqe::default() }, &[]);
            self.flush(io_number);
            return true;
        }
        if let Some((gateway, marks)) = marks {
            // The job continues, but its initiator has cancelled it.
            self.record_end(gateway, &marks, ShotEnd::Aborted);
        }
        false
    }

    /// Gateway and marks of an outstanding command.
    fn marks_of(&self, number: u64, cid: u16) -> Option<(u32, Marks)> {
        let connection = self.connections.get(&number)?;
        let sqe = connection.protocol.command(cid)?;
        Some((connection.gateway, Marks::of(sqe)))
    }

    /// Does everything that is due and returns the time of the next event of the model.
    fn run_due(&mut self) -> f64 {
        let now = self.now();
        let faults = self.faults.lock().unwrap().clone();
        self.node.slowdown = faults.slowdown;
        if faults.pause > 0.0 && now >= self.next_pause_at {
            self.node.pause(now, faults.pause);
            self.next_pause_at = now + 2.0;
        }
        if faults.resets_per_second > 0.0 && now >= self.next_reset_at {
            self.next_reset_at = now + 1.0 / faults.resets_per_second;
            let mut numbers: Vec<u64> = self.connections.keys().copied().collect();
            numbers.sort_unstable();
            if !numbers.is_empty() {
                let number = numbers[self.random.random_range(0..numbers.len())];
                self.close(number);
            }
        }
        for number in self.associations.lost(now) {
            self.close(number);
        }
        if !faults.hold_output {
            let with_output: Vec<u64> = self
                .connections
                .iter()
                .filter(|(_, connection)| connection.output.unsent_bytes() > 0)
                .map(|(number, _)| *number)
                .collect();
            with_output.into_iter().for_each(|number| self.flush(number));
        }
        for (_, job) in self.node.take_completed(now) {
            self.complete(now, job, &faults);
        }
        self.node.next_event_at()
    }

    /// Applies and answers a job that the model has completed.
    fn complete(&mut self, now: f64, job: Job<Shot>, faults: &Faults) {
        let Shot { connection: number, sqe, marks, gateway, data } = job.payload;
        let (mark, node) = (marks.mark, self.name.clone());
        let band = self.options.bands.get(usize::from(marks.band.saturating_sub(1)));
        // The client's attempts of one operation have the same mark but for its last byte. Marks are unique only within a
        // host, so the host number is part of the operation.
        let operation = u64::from(marks.host) << 40 ^ mark >> 8;
        let tagged = band.and_then(|band| band.tagged.as_ref());
        let is_new =
            tagged.is_none_or(|(group, window)| self.options.shared.is_first(now, group, operation, *window));
        let (length, shared) = (sqe.length(), self.options.shared.clone());
        let mut read_data = Vec::new();
        let status = match sqe.opcode {
            opcode::READ => {
                read_data = shared.read(sqe.nsid, sqe.slba(), length);
                status::SUCCESS
            }
            opcode::COMPARE if shared.read(sqe.nsid, sqe.slba(), length) != data => status::COMPARE_FAILURE,
            opcode::WRITE if is_new && !shared.write(sqe.nsid, sqe.slba(), &data) => status::INTERNAL_ERROR,
            opcode::WRITE_ZEROES if is_new && !shared.write(sqe.nsid, sqe.slba(), &vec![0; length]) => {
                status::INTERNAL_ERROR
            }
            _ => status::SUCCESS,
        };
        self.record.put(if is_new {
            Line::EffectApplied { t: now, node, mark }
        } else {
            Line::RepeatDropped { t: now, node, mark }
        });
        for ((other_gateway, volume), units) in &mut self.others_units {
            if *volume == sqe.nsid && *other_gateway != gateway {
                *units += job.units;
            }
        }
        let others_units = self.others_units.insert((gateway, sqe.nsid), 0.0).unwrap_or(0.0);
        self.service_times.push_back((now, self.node.mean_service_time));
        while self.service_times.len() > 1 && self.service_times[1].0 <= now - faults.report_delay {
            self.service_times.pop_front();
        }
        let latency = self.service_times.front().map_or(0.0, |(_, service_time)| *service_time);
        let mut report = Told { latency, used: 0, others: others_units.round() as u32 };
        if self.options.metering_period > 0.0 {
            let used = self.options.shared.meter_usage(
                now - faults.report_delay,
                sqe.nsid,
                job.units,
                self.options.metering_period,
            );
            let nominal = self.options.nominal_rates.get(&sqe.nsid).copied().unwrap_or(1.0).max(1e-9);
            report.used = used.map_or(0, |used| 1 + (100.0 * used / nominal).min(60000.0) as u16);
        }
        let Some(connection) = self.connections.get_mut(&number) else { return };
        if connection.jobs.remove(&sqe.cid).is_none() {
            return;
        }
        if faults.lost_share > 0.0 && self.random.random::<f64>() < faults.lost_share {
            return self.record_end(gateway, &marks, ShotEnd::Lost);
        }
        self.record_end(gateway, &marks, ShotEnd::Answered);
        if faults.violation_share > 0.0 && self.random.random::<f64>() < faults.violation_share {
            let variant = self.random.random_range(0..6);
            let connection = self.connections.get_mut(&number).unwrap();
            encode_violation(variant, &sqe, &mut connection.protocol.out);
        }
        let mut cqe = Cqe { cid: sqe.cid, status, ..Cqe::default() };
        report.put(&mut cqe);
        self.respond(number, cqe, &read_data);
        self.flush(number);
    }

    /// Queues a response for a connection.
    fn respond(&mut self, number: u64, cqe: Cqe, data: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&number) {
            connection.protocol.respond(cqe, data);
        }
    }

    /// Sends pending output unless a fault holds it back; closes the connection on an error or too much output.
    fn flush(&mut self, number: u64) {
        let hold_output = self.faults.lock().unwrap().hold_output;
        let Some(connection) = self.connections.get_mut(&number) else { return };
        connection.output.append(&mut connection.protocol.out);
        if connection.output.unsent_bytes() > MAX_UNSENT_BYTES {
            return self.close(number);
        }
        if hold_output {
            return;
        }
        // Bytes that the kernel does not accept now are written by `run_model`, which runs at least every 20 ms.
        if connection.output.flush(connection.stream.get_ref()).is_err() {
            self.close(number);
        }
    }

    /// Closes a connection and the others of its association; ends its shots.
    fn close(&mut self, number: u64) {
        let now = self.now();
        let outstanding: Vec<(u16, u64)> = match self.connections.get(&number) {
            Some(connection) => connection.jobs.iter().map(|(cid, job)| (*cid, *job)).collect(),
            None => return,
        };
        for (cid, job) in outstanding {
            if let Some((gateway, marks)) = self.marks_of(number, cid) {
                self.record_end(gateway, &marks, ShotEnd::Broken);
            }
            self.node.cancel(now, job);
        }
        let connection = self.connections.remove(&number).unwrap();
        let _ = connection.stream.get_ref().shutdown(std::net::Shutdown::Both);
        // All queues of an association end together.
        for sibling in self.associations.ended(number) {
            self.close(sibling);
        }
    }
}

/// What a target reports to its hosts: all volumes, because it holds a part of each.
struct TargetView<'a> {
    options: &'a Options,
    name: &'a str,
}

impl View for TargetView<'_> {
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

/// Appends bytes that no controller may send. `variant` selects one of six violations, 0 to 5.
pub fn encode_violation(variant: u32, sqe: &Sqe, out: &mut Vec<u8>) {
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
    match variant {
        // Two answers to one command: the correct answer follows.
        0 => Pdu::Response(Cqe { cid, ..Cqe::default() }).encode(out),
        // An answer to an unknown command.
        1 => Pdu::Response(Cqe { cid: 0x7ffe, ..Cqe::default() }).encode(out),
        // More data than was asked for.
        2 => data(sqe.length() + BLOCK_SIZE).encode(out),
        // A request for data outside of the command.
        3 => Pdu::R2t { cid, ttag: 1, offset: 1 << 20, length: 1 << 20 }.encode(out),
        // A digest that does not match, or that was not negotiated.
        4 => {
            let format = Format { header_digest: true, data_digest: true, align: 0 };
            let start = out.len();
            data(BLOCK_SIZE).encode_in(format, out);
            out[start + 24] ^= 0xff;
        }
        // Bytes that are not a PDU.
        _ => out.extend_from_slice(&[0x5a; 64]),
    }
}

/// A listener on an ephemeral loopback port.
pub fn loopback_listener() -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
}
