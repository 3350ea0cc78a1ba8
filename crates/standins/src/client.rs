//! Clients on loopback: keep associations with gateways, ask on a schedule, leave early, try again.

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

/// One first try, planned ahead.
#[derive(Clone, Debug)]
pub struct PlannedTransaction {
    /// When, seconds from the start.
    pub starts_at: f64,
    pub gateway: u32,
    pub volume: u32,
    pub band: usize,
    pub units: u32,
    pub key: u32,
    pub slba: u64,
    pub blocks: u32,
    pub initiators: u32,
    /// How long it waits, seconds.
    pub budget: f64,
    /// Leaves after this many seconds.
    pub cancel_after: Option<f64>,
    /// Tries and waits of its own, whatever it is advised.
    pub retry_override: Option<(u32, f64)>,
}

#[derive(Clone, Debug)]
pub struct BandRule {
    pub repeat: Repeat,
    pub writes: bool,
}

#[derive(Clone)]
pub struct Options {
    pub seed: u64,
    pub bands: Vec<BandRule>,
    /// Tries after the first.
    pub retries: u32,
    /// Wait before a repeat that no answer advises, seconds.
    pub backoff: f64,
    pub gateways: BTreeMap<u32, SocketAddr>,
    pub schedule: Arc<Vec<PlannedTransaction>>,
    /// When second 0 is, on the record's clock.
    pub start_time: f64,
}

/// How the clients fared.
#[derive(Clone, Debug, Default)]
pub struct ClientCounts {
    pub commands_sent: u64,
    pub answered: u64,
    /// First tries that no gateway could be reached for.
    pub unreachable: u64,
    pub outstanding: u64,
    /// The plan is through and nothing is open.
    pub is_done: bool,
}

pub struct Clients {
    pub counts: SharedMutex<ClientCounts>,
    _running: Runtime,
}

impl Clients {
    pub fn start(options: Options, record: Writer) -> Clients {
        let counts = SharedMutex::<ClientCounts>::default();
        let shared = counts.clone();
        let running = Runtime::start("clients", move |executor| {
            let state = State {
                chance: SmallRng::seed_from_u64(options.seed),
                timers: TimerWheel::new(record.clock.now()),
                record,
                counts: shared,
                queues: HashMap::new(),
                open: HashMap::new(),
                next_operation: 1,
                next_ask: 0,
                wake: Rc::default(),
                options,
            };
            let state = Rc::new(RefCell::new(state));
            let gateways = state.borrow().options.gateways.clone();
            for (gateway, address) in gateways {
                executor.spawn(keep(state.clone(), gateway, address)).detach();
            }
            executor.spawn(ask(state)).detach();
        });
        Clients { counts, _running: running }
    }
}

struct Queue {
    stream: Rc<Async<TcpStream>>,
    machine: Host,
    output: OutputBuffer,
    /// Marks of its commands.
    asked: HashMap<u16, u64>,
}

struct Waiting {
    ask: usize,
    gateway: u32,
    cid: u16,
    tries: u32,
    left: bool,
}

enum Due {
    /// Try operation again: its number and the try's.
    Again(u64, usize, u32),
    Leave(u64),
}

struct State {
    options: Options,
    record: Writer,
    chance: SmallRng,
    timers: TimerWheel<Due>,
    counts: Arc<Mutex<ClientCounts>>,
    /// By gateway and queue (0: admin).
    queues: HashMap<(u32, u16), Queue>,
    open: HashMap<u64, Waiting>,
    next_operation: u64,
    next_ask: usize,
    wake: Rc<Notify>,
}

type Shared = Rc<RefCell<State>>;

/// Keeps an association with one gateway, made again whenever it ends.
async fn keep(state: Shared, gateway: u32, address: SocketAddr) {
    loop {
        let _ = associate(&state, gateway, address).await;
        state.borrow_mut().cut(gateway);
        Timer::after(Duration::from_millis(50)).await;
    }
}

async fn associate(state: &Shared, gateway: u32, address: SocketAddr) -> io::Result<()> {
    let host = format!("nqn.2026-12.example.quaypath:client:{gateway}");
    let offer = Offer::default();
    let opening = async {
        let (admin, enable) = open_admin_queue(address, SUBSYSTEM_NQN, &host, offer, 1, false).await?;
        let io = open_io_queue(address, 1, enable.controller, SUBSYSTEM_NQN, &host, offer).await?;
        Ok([admin, io])
    };
    let opened: io::Result<_> = with_timeout(2.0, opening).await;
    let mut streams = Vec::new();
    for (number, (machine, stream)) in (0..).zip(opened?) {
        streams.push(stream.clone());
        let queue = Queue { stream, machine, output: OutputBuffer::default(), asked: HashMap::new() };
        state.borrow_mut().queues.insert((gateway, number), queue);
    }
    let reading = |number: u16, stream: Rc<Async<TcpStream>>| {
        let state = state.clone();
        async move { read_until_closed(&stream, |bytes| state.borrow_mut().read(gateway, number, bytes)).await }
    };
    reading(0, streams[0].clone()).or(reading(1, streams[1].clone())).await
}

async fn ask(state: Shared) {
    loop {
        let (wait, wake) = {
            let mut this = state.borrow_mut();
            let next = this.run();
            ((next - this.record.clock.now()).clamp(0.0, 0.5), this.wake.clone())
        };
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(wake.wait()).await;
    }
}

impl State {
    /// Does what is due; the time of the next.
    fn run(&mut self) -> f64 {
        let now = self.record.clock.now();
        let mut due = Vec::new();
        self.timers.advance(now, &mut due);
        for what in due {
            match what {
                Due::Again(operation, ask, tries) => self.ask(operation, ask, tries),
                Due::Leave(mark) => self.leave(mark),
            }
        }
        while self
            .options
            .schedule
            .get(self.next_ask)
            .is_some_and(|ask| self.options.start_time + ask.starts_at <= now)
        {
            let operation = self.next_operation;
            self.next_operation += 1;
            self.next_ask += 1;
            self.ask(operation, self.next_ask - 1, 0);
        }
        let next =
            self.options.schedule.get(self.next_ask).map(|ask| self.options.start_time + ask.starts_at);
        let mut counts = self.counts.lock().unwrap();
        counts.outstanding = self.open.len() as u64;
        counts.is_done = next.is_none() && self.open.is_empty() && self.timers.is_empty();
        next.unwrap_or(f64::INFINITY).min(self.timers.next_expiry().unwrap_or(f64::INFINITY))
    }

    fn ask(&mut self, operation: u64, at: usize, tries: u32) {
        let plan = self.options.schedule.clone();
        let ask = &plan[at];
        let mark = operation << 8 | u64::from(tries);
        let writes = self.options.bands[ask.band].writes;
        let room = self.queues.get(&(ask.gateway, 1)).is_some_and(|queue| queue.machine.has_room());
        if !room {
            self.counts.lock().unwrap().unreachable += u64::from(tries == 0);
            return self.try_again(operation, at, tries, self.options.backoff);
        }
        let opcode = if writes { opcode::WRITE } else { opcode::READ };
        let marks = Marks {
            band: ask.band as u8 + 1,
            units: ask.units as u8,
            initiators: ask.initiators as u16,
            shot: 0,
            host: 0,
            mark,
            key: ask.key,
            budget_ms: (ask.budget * 1e3) as u32,
        };
        let sqe = marks.put(Sqe::transfer(opcode, ask.volume, ask.slba, ask.blocks));
        let length = sqe.length();
        let (data, expected) = if writes { (vec![0x5a; length], 0) } else { (Vec::new(), length) };
        let queue = self.queues.get_mut(&(ask.gateway, 1)).unwrap();
        let Some((cid, mut bytes)) = queue.machine.submit(sqe, data, expected) else { return };
        queue.asked.insert(cid, mark);
        queue.output.append(&mut bytes);
        let t = self.record.clock.now();
        let key = u64::from(ask.volume) << 32 | u64::from(ask.key);
        let (gateway, volume, band, units) = (ask.gateway, ask.volume, ask.band, ask.units);
        let budget = ask.budget;
        self.record.put(Line::CommandSent { t, gateway, mark, volume, band, units, key, budget });
        self.counts.lock().unwrap().commands_sent += 1;
        self.open.insert(mark, Waiting { ask: at, gateway, cid, tries, left: false });
        if let Some(leaves) = ask.cancel_after {
            self.timers.set(t + leaves, Due::Leave(mark));
        }
        self.flush(gateway, 1);
    }

    fn try_again(&mut self, operation: u64, at: usize, tries: u32, wait: f64) {
        let own = self.options.schedule[at].retry_override;
        let wait = own.map_or(wait, |(_, wait)| wait);
        if tries < own.map_or(self.options.retries, |(retries, _)| retries).min(255) {
            let wait = wait * self.chance.random_range(0.8..1.2);
            self.timers.set(self.record.clock.now() + wait, Due::Again(operation, at, tries + 1));
            self.wake.notify();
        }
    }

    fn leave(&mut self, mark: u64) {
        let Some(waiting) = self.open.get_mut(&mark).filter(|waiting| !waiting.left) else { return };
        waiting.left = true;
        let (gateway, cid) = (waiting.gateway, waiting.cid);
        self.record.put(Line::ClientCancelled { t: self.record.clock.now(), mark });
        if let Some(admin) = self.queues.get_mut(&(gateway, 0)) {
            if let Some((_, mut bytes)) = admin.machine.submit(Sqe::abort(1, cid), Vec::new(), 0) {
                admin.output.append(&mut bytes);
            }
        }
        self.flush(gateway, 0);
    }

    fn read(&mut self, gateway: u32, number: u16, bytes: &[u8]) -> bool {
        let Some(queue) = self.queues.get_mut(&(gateway, number)) else { return false };
        let mut events = Vec::new();
        let good = queue.machine.feed(bytes, &mut events).is_ok();
        queue.output.append(&mut queue.machine.out);
        for event in events {
            if let Event::Done { cid, cqe, .. } = event {
                self.answered(gateway, number, cid, cqe);
            }
        }
        self.flush(gateway, number);
        good
    }

    fn answered(&mut self, gateway: u32, number: u16, cid: u16, cqe: Cqe) {
        let Some(mark) = self.queues.get_mut(&(gateway, number)).and_then(|queue| queue.asked.remove(&cid))
        else {
            return;
        };
        let Some(waiting) = self.open.remove(&mark) else { return };
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
        let band = self.options.schedule[waiting.ask].band;
        let again = match end {
            TransactionEnd::Settled => false,
            TransactionEnd::Declined => true,
            TransactionEnd::Scrapped => self.options.bands[band].repeat == Repeat::Repeatable,
        };
        if again && !waiting.left {
            let wait = if cqe.dw0 > 0 { f64::from(cqe.dw0) / 1e3 } else { self.options.backoff };
            self.try_again(mark >> 8, waiting.ask, waiting.tries, wait);
        }
    }

    /// The association with a gateway ended.
    fn cut(&mut self, gateway: u32) {
        let t = self.record.clock.now();
        for number in [0, 1] {
            let Some(queue) = self.queues.remove(&(gateway, number)) else { continue };
            let _ = queue.stream.get_ref().shutdown(std::net::Shutdown::Both);
            let mut marks: Vec<u64> = queue.asked.into_values().collect();
            marks.sort_unstable();
            for mark in marks {
                let Some(waiting) = self.open.remove(&mark) else { continue };
                self.record.put(Line::ClientConnectionLost { t, gateway, mark });
                let band = self.options.schedule[waiting.ask].band;
                if self.options.bands[band].repeat == Repeat::Repeatable && !waiting.left {
                    self.try_again(mark >> 8, waiting.ask, waiting.tries, self.options.backoff);
                }
            }
        }
    }

    fn flush(&mut self, gateway: u32, number: u16) {
        if let Some(queue) = self.queues.get_mut(&(gateway, number)) {
            // What the kernel does not take now goes with the next call; a dead peer shows at the reader.
            let _ = queue.output.flush(queue.stream.get_ref());
        }
    }
}
