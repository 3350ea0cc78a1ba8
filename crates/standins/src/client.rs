//! Clients on loopback. They keep associations with gateways, send transactions by a schedule, cancel some of them
//! early and retry.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::FutureExt;
use quaypath_initiator::event_loop::{with_timeout, Notify};
use quaypath_initiator::queue::{open_admin_queue, open_io_queue};
use quaypath_initiator::subsystem::SUBSYSTEM_NQN;
use quaypath_initiator::timer_wheel::TimerWheel;
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe};
use quaypath_nvme::host::{Event, Host, Offer};
use quaypath_nvme::status;
use quaypath_record::{Event as Line, TransactionEnd, Writer};
use quaypath_rules::Repeat;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::runtime::{read_until_closed, OutputBuffer, Runtime, SharedMutex};

/// The first attempt of one operation, planned in advance.
#[derive(Clone, Debug)]
pub struct PlannedTransaction {
    /// Send time, seconds from the start.
    pub starts_at: f64,
    /// Number of the gateway that receives it.
    pub gateway: u32,
    pub volume: u32,
    /// Index of the band, from 0.
    pub band: usize,
    pub units: u32,
    /// Ordering key within the volume.
    pub key: u32,
    /// First logical block.
    pub slba: u64,
    /// Number of logical blocks.
    pub blocks: u32,
    /// Number of initiators that serve the volume.
    pub initiators: u32,
    /// Longest time that the client waits for the answer, seconds; sent with the command.
    pub budget: f64,
    /// Seconds after which the client cancels it; none if the client does not cancel.
    pub cancel_after: Option<f64>,
    /// Number of retries and the wait before each in seconds, in place of the options and of the advice in answers.
    pub retry_override: Option<(u32, f64)>,
}

/// What the clients need to know of a band.
#[derive(Clone, Debug)]
pub struct BandRule {
    pub repeat: Repeat,
    /// Whether the transactions of the band are writes.
    pub writes: bool,
}

/// Settings of the clients of one run.
#[derive(Clone)]
pub struct Options {
    /// Seed of the random factors on waits.
    pub seed: u64,
    /// One rule per band, by index.
    pub bands: Vec<BandRule>,
    /// Maximum number of retries after the first attempt.
    pub retries: u32,
    /// Wait before a retry if no answer advises a time, seconds.
    pub backoff: f64,
    /// Addresses of the gateways by number.
    pub gateways: BTreeMap<u32, SocketAddr>,
    /// First attempts in order of time.
    pub schedule: Arc<Vec<PlannedTransaction>>,
    /// Start of the schedule on the clock of the record, seconds.
    pub start_time: f64,
}

/// Counts of what the clients sent and received.
#[derive(Clone, Debug, Default)]
pub struct ClientCounts {
    /// Commands sent, retries included.
    pub commands_sent: u64,
    /// Commands answered, except those that were answered as aborted.
    pub answered: u64,
    /// First attempts for which the gateway had no open queue with a free slot.
    pub unreachable: u64,
    /// Commands without an answer at present.
    pub outstanding: u64,
    /// Whether the schedule is completed and no command, retry or cancellation is pending.
    pub is_done: bool,
}

/// Clients that run on a thread of their own.
pub struct Clients {
    pub counts: SharedMutex<ClientCounts>,
    _running: Runtime,
}

impl Clients {
    /// Starts the thread and opens the associations.
    pub fn start(options: Options, record: Writer) -> Clients {
        let counts = SharedMutex::<ClientCounts>::default();
        let shared = counts.clone();
        let running = Runtime::start("clients", move |executor| {
            let state = State {
                random: SmallRng::seed_from_u64(options.seed),
                timers: TimerWheel::new(record.clock.now()),
                record,
                counts: shared,
                queues: HashMap::new(),
                outstanding: HashMap::new(),
                next_operation: 1,
                next_index: 0,
                wake: Rc::default(),
                options,
            };
            let state = Rc::new(RefCell::new(state));
            let gateways = state.borrow().options.gateways.clone();
            for (gateway, address) in gateways {
                executor.spawn(keep_associated(state.clone(), gateway, address)).detach();
            }
            executor.spawn(run_schedule(state)).detach();
        });
        Clients { counts, _running: running }
    }
}

/// One queue of an association.
struct Queue {
    stream: Rc<Async<TcpStream>>,
    protocol: Host,
    output: OutputBuffer,
    /// Marks of the outstanding commands by command id.
    marks: HashMap<u16, u64>,
}

/// A command without an answer.
struct Outstanding {
    /// Index in the schedule.
    index: usize,
    gateway: u32,
    cid: u16,
    /// Attempts before this one.
    retries: u32,
    cancelled: bool,
}

/// What a timer starts.
enum Due {
    /// Retries an operation: its number, its index in the schedule and the number of the retry.
    Retry(u64, usize, u32),
    /// Cancels the command with this mark.
    Cancel(u64),
}

/// State of all clients, shared by their tasks.
struct State {
    options: Options,
    record: Writer,
    random: SmallRng,
    timers: TimerWheel<Due>,
    counts: Arc<Mutex<ClientCounts>>,
    /// By gateway and queue id; 0 is the admin queue and 1 the I/O queue.
    queues: HashMap<(u32, u16), Queue>,
    /// By mark: the operation number, followed by the number of the retry in the last byte.
    outstanding: HashMap<u64, Outstanding>,
    /// Number of the next operation, from 1.
    next_operation: u64,
    /// Index in the schedule of the next first attempt.
    next_index: usize,
    /// Wakes the sending task when a timer was set.
    wake: Rc<Notify>,
}

type SharedState = Rc<RefCell<State>>;

/// Keeps an association with one gateway and opens it again 50 ms after it ended.
async fn keep_associated(state: SharedState, gateway: u32, address: SocketAddr) {
    loop {
        let _ = associate(&state, gateway, address).await;
        state.borrow_mut().association_ended(gateway);
        Timer::after(Duration::from_millis(50)).await;
    }
}

/// Opens an association and reads both of its queues until one ends.
async fn associate(state: &SharedState, gateway: u32, address: SocketAddr) -> io::Result<()> {
    let host_nqn = format!("nqn.2026-12.example.quaypath:client:{gateway}");
    let offer = Offer::default();
    let opening = async {
        let (admin, enable) = open_admin_queue(address, SUBSYSTEM_NQN, &host_nqn, offer, 1, false).await?;
        let io = open_io_queue(address, 1, enable.controller, SUBSYSTEM_NQN, &host_nqn, offer).await?;
        Ok([admin, io])
    };
    let opened: io::Result<_> = with_timeout(2.0, opening).await;
    let mut streams = Vec::new();
    for (number, (protocol, stream)) in (0..).zip(opened?) {
        streams.push(stream.clone());
        let queue = Queue { stream, protocol, output: OutputBuffer::default(), marks: HashMap::new() };
        state.borrow_mut().queues.insert((gateway, number), queue);
    }
    let reading = |number: u16, stream: Rc<Async<TcpStream>>| {
        let state = state.clone();
        async move { read_until_closed(&stream, |bytes| state.borrow_mut().read(gateway, number, bytes)).await }
    };
    reading(0, streams[0].clone()).or(reading(1, streams[1].clone())).await
}

/// Sends commands when they are due; sleeps at most 0.5 s at a time.
async fn run_schedule(state: SharedState) {
    loop {
        let (wait, wake) = {
            let mut this = state.borrow_mut();
            let next = this.run_due();
            ((next - this.record.clock.now()).clamp(0.0, 0.5), this.wake.clone())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(wake.wait()).await;
    }
}

impl State {
    /// Starts everything that is due and returns the time of the next event, infinity if there is none.
    fn run_due(&mut self) -> f64 {
        let now = self.record.clock.now();
        let mut due = Vec::new();
        self.timers.advance(now, &mut due);
        for event in due {
            match event {
                Due::Retry(operation, index, retries) => self.send(operation, index, retries),
                Due::Cancel(mark) => self.cancel(mark),
            }
        }
        while self
            .options
            .schedule
            .get(self.next_index)
            .is_some_and(|planned| self.options.start_time + planned.starts_at <= now)
        {
            let operation = self.next_operation;
            self.next_operation += 1;
            self.next_index += 1;
            self.send(operation, self.next_index - 1, 0);
        }
        let next = self
            .options
            .schedule
            .get(self.next_index)
            .map(|planned| self.options.start_time + planned.starts_at);
        let mut counts = self.counts.lock().unwrap();
        counts.outstanding = self.outstanding.len() as u64;
        counts.is_done = next.is_none() && self.outstanding.is_empty() && self.timers.is_empty();
        next.unwrap_or(f64::INFINITY).min(self.timers.next_expiry().unwrap_or(f64::INFINITY))
    }

    /// Sends one attempt of an operation; schedules a retry if the gateway has no open queue with a free slot.
    fn send(&mut self, operation: u64, index: usize, retries: u32) {
        let schedule = self.options.schedule.clone();
        let planned = &schedule[index];
        let mark = operation << 8 | u64::from(retries);
        let writes = self.options.bands[planned.band].writes;
        let has_room = self.queues.get(&(planned.gateway, 1)).is_some_and(|queue| queue.protocol.has_room());
        if !has_room {
            self.counts.lock().unwrap().unreachable += u64::from(retries == 0);
            return self.retry(operation, index, retries, self.options.backoff);
        }
        let opcode = if writes { opcode::WRITE } else { opcode::READ };
        let marks = Marks {
            band: planned.band as u8 + 1,
            units: planned.units as u8,
            initiators: planned.initiators as u16,
            shot: 0,
            host: 0,
            mark,
            key: planned.key,
            budget_ms: (planned.budget * 1e3) as u32,
        };
        let sqe = marks.put(Sqe::transfer(opcode, planned.volume, planned.slba, planned.blocks));
        let length = sqe.length();
        let (data, expected) = if writes { (vec![0x5a; length], 0) } else { (Vec::new(), length) };
        let queue = self.queues.get_mut(&(planned.gateway, 1)).unwrap();
        let Some((cid, mut bytes)) = queue.protocol.submit(sqe, data, expected) else { return };
        queue.marks.insert(cid, mark);
        queue.output.append(&mut bytes);
        let t = self.record.clock.now();
        let key = u64::from(planned.volume) << 32 | u64::from(planned.key);
        let (gateway, volume, band, units) = (planned.gateway, planned.volume, planned.band, planned.units);
        let budget = planned.budget;
        self.record.put(Line::CommandSent { t, gateway, mark, volume, band, units, key, budget });
        self.counts.lock().unwrap().commands_sent += 1;
        self.outstanding.insert(mark, Outstanding { index, gateway, cid, retries, cancelled: false });
        if let Some(cancel_after) = planned.cancel_after {
            self.timers.set(t + cancel_after, Due::Cancel(mark));
        }
        self.flush(gateway, 1);
    }

    /// Schedules a retry after `wait` seconds, varied by 20 % either way, unless the retries are used up.
    fn retry(&mut self, operation: u64, index: usize, retries: u32, wait: f64) {
        let retry_override = self.options.schedule[index].retry_override;
        let wait = retry_override.map_or(wait, |(_, wait)| wait);
        if retries < retry_override.map_or(self.options.retries, |(max_retries, _)| max_retries).min(255) {
            let wait = wait * self.random.random_range(0.8..1.2);
            self.timers.set(self.record.clock.now() + wait, Due::Retry(operation, index, retries + 1));
            self.wake.notify();
        }
    }

    /// Cancels a command with an Abort on the admin queue.
    fn cancel(&mut self, mark: u64) {
        let Some(outstanding) = self.outstanding.get_mut(&mark).filter(|outstanding| !outstanding.cancelled)
        else {
            return;
        };
        outstanding.cancelled = true;
        let (gateway, cid) = (outstanding.gateway, outstanding.cid);
        self.record.put(Line::ClientCancelled { t: self.record.clock.now(), mark });
        if let Some(admin) = self.queues.get_mut(&(gateway, 0)) {
            if let Some((_, mut bytes)) = admin.protocol.submit(Sqe::abort(1, cid), Vec::new(), 0) {
                admin.output.append(&mut bytes);
            }
        }
        self.flush(gateway, 0);
    }

    /// Handles received bytes. Returns whether the peer keeps to the protocol.
    fn read(&mut self, gateway: u32, number: u16, bytes: &[u8]) -> bool {
        let Some(queue) = self.queues.get_mut(&(gateway, number)) else { return false };
        let mut events = Vec::new();
        let is_valid = queue.protocol.feed(bytes, &mut events).is_ok();
        queue.output.append(&mut queue.protocol.out);
        for event in events {
            if let Event::Done { cid, cqe, .. } = event {
                self.answer_received(gateway, number, cid, cqe);
            }
        }
        self.flush(gateway, number);
        is_valid
    }

    /// Handles a completion.
    fn answer_received(&mut self, gateway: u32, number: u16, cid: u16, cqe: Cqe) {
        let Some(mark) = self.queues.get_mut(&(gateway, number)).and_then(|queue| queue.marks.remove(&cid))
        else {
            return;
        };
        let Some(outstanding) = self.outstanding.remove(&mark) else { return };
        let t = self.record.clock.now();
        let code = status::code(cqe.status);
        if code == status::ABORTED_BY_REQUEST {
            return;
        }
        let end = match code {
            status::SUCCESS => TransactionEnd::Settled,
            status::INTERRUPTED => TransactionEnd::Declined,
            _ => TransactionEnd::Scrapped,
        };
        self.record.put(Line::FinalAnswer { t, gateway, mark, end });
        self.counts.lock().unwrap().answered += 1;
        let band = self.options.schedule[outstanding.index].band;
        let may_retry = match end {
            TransactionEnd::Settled => false,
            TransactionEnd::Declined => true,
            TransactionEnd::Scrapped => self.options.bands[band].repeat == Repeat::Repeatable,
        };
        if may_retry && !outstanding.cancelled {
            let wait = if cqe.dw0 > 0 { f64::from(cqe.dw0) / 1e3 } else { self.options.backoff };
            self.retry(mark >> 8, outstanding.index, outstanding.retries, wait);
        }
    }

    /// Records the outstanding commands of an ended association as lost, and retries those of repeatable bands.
    fn association_ended(&mut self, gateway: u32) {
        let t = self.record.clock.now();
        for number in [0, 1] {
            let Some(queue) = self.queues.remove(&(gateway, number)) else { continue };
            let _ = queue.stream.get_ref().shutdown(std::net::Shutdown::Both);
            let mut marks: Vec<u64> = queue.marks.into_values().collect();
            marks.sort_unstable();
            for mark in marks {
                let Some(outstanding) = self.outstanding.remove(&mark) else { continue };
                self.record.put(Line::ClientConnectionLost { t, gateway, mark });
                let band = self.options.schedule[outstanding.index].band;
                if self.options.bands[band].repeat == Repeat::Repeatable && !outstanding.cancelled {
                    self.retry(mark >> 8, outstanding.index, outstanding.retries, self.options.backoff);
                }
            }
        }
    }

    /// Writes pending output of a queue.
    fn flush(&mut self, gateway: u32, number: u16) {
        if let Some(queue) = self.queues.get_mut(&(gateway, number)) {
            // Bytes that the kernel does not accept now are written by the next call; the reader notices a dead peer.
            let _ = queue.output.flush(queue.stream.get_ref());
        }
    }
}
