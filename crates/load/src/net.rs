//! The generator on sockets: an association with each peer through the project's own NVMe/TCP host, commands in
//! batches, answers as they come.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, FutureExt};
use quaypath_initiator::event_loop::{with_timeout, Notify};
use quaypath_initiator::queue::{open_admin_queue, open_io_queue};
use quaypath_initiator::subsystem::SUBSYSTEM_NQN;
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe};
use quaypath_nvme::host::{Event, Host, Offer};
use quaypath_nvme::{status, QUEUE_SIZE};
use quaypath_record::{Clock, Event as Line, TransactionEnd, Writer};
use quaypath_standins::runtime::{read_until_closed, OutputBuffer};

use crate::account::Cell;
use crate::generator::{Answer, Do, Generator, State as Stands};
use crate::schedule::Source;

pub struct Options {
    pub peers: Vec<SocketAddr>,
    /// This generator's place among those of the load; told to peers in its host name.
    pub part: u32,
    /// I/O queues wanted of each peer.
    pub queues: u16,
    /// Whether each band writes.
    pub writes: Vec<bool>,
    pub clock: Clock,
    /// Where what crosses the sockets is recorded, for the judge.
    pub record: Option<Writer>,
    /// Told every so many seconds what came since.
    pub every: f64,
}

/// How long connecting to a peer may take, and the wait before the next attempt, seconds.
const CONNECT: f64 = 2.0;
const AGAIN: f64 = 0.05;
/// How long the end of a run is waited for after its last arrival's limits, seconds.
const PATIENCE: f64 = 2.0;
/// Longest sleep, seconds: what the clock's own steps could hide is found by then.
const NAP: f64 = 0.25;
/// A queue whose unsent bytes exceed this takes no more commands until they are out.
const MOST_WAITING: usize = 4 << 20;

struct Queue {
    stream: Rc<Async<TcpStream>>,
    machine: Host,
    output: OutputBuffer,
    /// Mark of the command at each id; 0 for none.
    asked: Vec<u64>,
    dirty: bool,
}

#[derive(Default)]
struct Peer {
    /// Admin queue first.
    queues: Vec<Queue>,
    /// Operations that wait for room, oldest first.
    line: VecDeque<u64>,
    next: usize,
}

impl Peer {
    /// An I/O queue with room, in turn.
    fn room(&mut self) -> Option<usize> {
        let count = self.queues.len().saturating_sub(1);
        let found = (0..count).map(|step| 1 + (self.next + step) % count).find(|at| {
            let queue = &self.queues[*at];
            queue.machine.has_room() && queue.output.unsent_bytes() < MOST_WAITING
        });
        self.next = found.map_or(self.next, |at| at % count);
        found
    }
}

struct State<S> {
    options: Options,
    generator: Generator<S>,
    peers: Vec<Peer>,
    asks: Vec<Do>,
    wake: Rc<Notify>,
    /// Until when the driver sleeps.
    sleeps: f64,
}

type Shared<S> = Rc<RefCell<State<S>>>;

/// Keeps an association with one peer, made again whenever it ends.
async fn keep<S: Source + 'static>(state: Shared<S>, peer: usize) {
    loop {
        let _ = associate(&state, peer).await;
        state.borrow_mut().cut(peer);
        Timer::after(Duration::from_secs_f64(AGAIN)).await;
    }
}

async fn associate<S: Source + 'static>(state: &Shared<S>, peer: usize) -> io::Result<()> {
    let (address, part, wanted) = {
        let this = state.borrow();
        (this.options.peers[peer], this.options.part, this.options.queues)
    };
    let host = format!("nqn.2026-12.example.quaypath:load:{part}");
    let offer = Offer::default();
    let opening = async {
        let (admin, enable) = open_admin_queue(address, SUBSYSTEM_NQN, &host, offer, wanted, false).await?;
        let mut queues = vec![admin];
        for number in 1..=enable.queues.min(wanted).max(1) {
            queues
                .push(open_io_queue(address, number, enable.controller, SUBSYSTEM_NQN, &host, offer).await?);
        }
        Ok(queues)
    };
    let opened: io::Result<_> = with_timeout(CONNECT, opening).await;
    let mut streams = Vec::new();
    {
        let mut this = state.borrow_mut();
        for (machine, stream) in opened? {
            streams.push(stream.clone());
            let (output, asked) = (OutputBuffer::default(), vec![0; usize::from(QUEUE_SIZE)]);
            this.peers[peer].queues.push(Queue { stream, machine, output, asked, dirty: false });
        }
        this.line(peer);
        this.flush();
    }
    let mut readers: Option<future::BoxedLocal<io::Result<()>>> = None;
    for (number, stream) in streams.into_iter().enumerate() {
        let state = state.clone();
        let reading = async move {
            read_until_closed(&stream, |bytes| state.borrow_mut().read(peer, number, bytes)).await
        };
        readers = Some(match readers.take() {
            None => reading.boxed_local(),
            Some(others) => others.or(reading).boxed_local(),
        });
    }
    match readers {
        Some(readers) => readers.await,
        None => Ok(()),
    }
}

/// What a run is told of every so often.
pub struct Glimpse {
    /// Seconds since the start.
    pub at: f64,
    pub recent: Cell,
    pub open: usize,
}

/// Runs a generator until all is done, the time is up or `stop` comes; gives it back, and whether it was stopped.
pub fn run<S: Source + 'static>(
    options: Options, generator: Generator<S>, stop: impl Future<Output = ()>,
    glimpse: impl Fn(Glimpse) + 'static, last: f64,
) -> (Generator<S>, bool) {
    let peers = options.peers.iter().map(|_| Peer::default()).collect();
    let (clock, every) = (options.clock, options.every);
    let state = State { options, generator, peers, asks: Vec::new(), wake: Rc::default(), sleeps: 0.0 };
    let state = Rc::new(RefCell::new(state));
    let executor = LocalExecutor::new();
    for peer in 0..state.borrow().peers.len() {
        executor.spawn(keep(state.clone(), peer)).detach();
    }
    let telling = state.clone();
    executor
        .spawn(async move {
            loop {
                Timer::after(Duration::from_secs_f64(every)).await;
                let mut this = telling.borrow_mut();
                let (recent, open) = (this.generator.take_recent(), this.generator.held().0);
                let at = clock.now() - this.generator.start();
                drop(this);
                glimpse(Glimpse { at, recent, open });
            }
        })
        .detach();
    let driving = drive(state.clone(), last + PATIENCE);
    let stopping = async {
        stop.await;
        true
    };
    let stopped = async_io::block_on(executor.run(driving.or(stopping)));
    drop(executor);
    // The tasks are gone with their executor, and with them all but this hold on the state.
    let Ok(state) = Rc::try_unwrap(state).map(RefCell::into_inner) else {
        unreachable!("tasks outlive nothing")
    };
    let mut generator = state.generator;
    generator.finish(clock.now());
    (generator, stopped)
}

/// Driver the generator whenever it wants it. False: nobody stopped it.
async fn drive<S: Source>(state: Shared<S>, last: f64) -> bool {
    loop {
        let (wait, wake) = {
            let mut this = state.borrow_mut();
            this.turn();
            let now = this.options.clock.now();
            if this.generator.done(now) || now >= last {
                return false;
            }
            let next = this.generator.next_at().min(now + NAP);
            this.sleeps = next;
            (next - now, this.wake.clone())
        };
        if wait <= 0.0 {
            future::yield_now().await;
            continue;
        }
        let timer = async {
            Timer::after(Duration::from_secs_f64(wait)).await;
        };
        timer.or(wake.wait()).await;
    }
}

impl<S: Source> State<S> {
    fn now(&self) -> f64 {
        self.options.clock.now()
    }

    fn turn(&mut self) {
        let now = self.now();
        let mut asks = std::mem::take(&mut self.asks);
        self.generator.turn(now, &mut asks);
        for ask in asks.drain(..) {
            match ask {
                Do::Send { operation } => self.send(operation),
                Do::Leave { mark, peer } => self.leave(mark, peer as usize),
            }
        }
        self.asks = asks;
        self.flush();
    }

    fn send(&mut self, number: u64) {
        let Some(operation) = self.generator.operation(number) else { return };
        let peer = operation.arrival.peer as usize % self.peers.len();
        // Behind those that wait already.
        if !self.peers[peer].line.is_empty() || !self.write(peer, number) {
            self.generator.held_up(number);
            let line = &mut self.peers[peer].line;
            // Those given up are let go from the front, so that a dead peer's line is no longer than its open ones.
            while line.front().is_some_and(|first| {
                self.generator.operation(*first).is_none_or(|operation| operation.state != Stands::Held)
            }) {
                line.pop_front();
            }
            line.push_back(number);
        }
    }

    /// Writes the present try; false where no queue has room.
    fn write(&mut self, peer: usize, number: u64) -> bool {
        let Some(at) = self.peers[peer].room() else { return false };
        let now = self.now();
        let Some(operation) = self.generator.operation(number) else { return true };
        let (arrival, mark, budget) = (&operation.arrival, operation.mark(), operation.budget(now));
        let writes = self.options.writes[arrival.band];
        let opcode = if writes { opcode::WRITE } else { opcode::READ };
        let marks = Marks {
            band: arrival.band as u8 + 1,
            units: arrival.units.min(255) as u8,
            initiators: arrival.initiators.min(65_535) as u16,
            shot: 0,
            host: 0,
            mark,
            key: arrival.key,
            budget_ms: (budget * 1e3).ceil().min(f64::from(u32::MAX)) as u32,
        };
        let sqe = marks.put(Sqe::transfer(opcode, arrival.volume, arrival.slba, arrival.blocks));
        let length = sqe.length();
        let (data, expected) = if writes { (vec![0x5a; length], 0) } else { (Vec::new(), length) };
        if let Some(record) = &self.options.record {
            let key = u64::from(arrival.volume) << 32 | u64::from(arrival.key);
            record.put(Line::CommandSent {
                t: now,
                gateway: peer as u32,
                mark,
                volume: arrival.volume,
                band: arrival.band,
                units: arrival.units,
                key,
                budget,
            });
        }
        let queue = &mut self.peers[peer].queues[at];
        let Some((cid, mut bytes)) = queue.machine.submit(sqe, data, expected) else { return false };
        queue.asked[usize::from(cid)] = mark;
        queue.output.append(&mut bytes);
        queue.dirty = true;
        self.generator.sent(now, number);
        true
    }

    /// Gives room to those that wait for it.
    fn line(&mut self, peer: usize) {
        while let Some(number) = self.peers[peer].line.front().copied() {
            let waits =
                self.generator.operation(number).is_some_and(|operation| operation.state == Stands::Held);
            if waits && !self.write(peer, number) {
                return;
            }
            self.peers[peer].line.pop_front();
        }
    }

    fn leave(&mut self, mark: u64, peer: usize) {
        let peer = peer % self.peers.len();
        let found =
            self.peers[peer].queues.iter().enumerate().skip(1).find_map(|(number, queue)| {
                Some((number, queue.asked.iter().position(|asked| *asked == mark)?))
            });
        let Some((number, cid)) = found else { return };
        if let Some(record) = &self.options.record {
            record.put(Line::ClientCancelled { t: self.options.clock.now(), mark });
        }
        if let Some(admin) = self.peers[peer].queues.first_mut() {
            if let Some((_, mut bytes)) =
                admin.machine.submit(Sqe::abort(number as u16, cid as u16), Vec::new(), 0)
            {
                admin.output.append(&mut bytes);
                admin.dirty = true;
            }
        }
    }

    fn read(&mut self, peer: usize, number: usize, bytes: &[u8]) -> bool {
        let Some(queue) = self.peers[peer].queues.get_mut(number) else { return false };
        let mut events = Vec::new();
        let good = queue.machine.feed(bytes, &mut events).is_ok();
        queue.dirty |= !queue.machine.out.is_empty();
        queue.output.append(&mut queue.machine.out);
        for event in events {
            if let Event::Done { cid, cqe, .. } = event {
                if number > 0 {
                    self.answered(peer, number, cid, cqe);
                }
            }
        }
        self.line(peer);
        self.flush();
        if self.generator.next_at() < self.sleeps {
            self.wake.notify();
        }
        good
    }

    fn answered(&mut self, peer: usize, number: usize, cid: u16, cqe: Cqe) {
        let asked = &mut self.peers[peer].queues[number].asked[usize::from(cid)];
        let mark = std::mem::take(asked);
        let now = self.now();
        let answer = match status::code(cqe.status) {
            status::SUCCESS => Answer::Settled,
            status::INTERRUPTED => Answer::Declined((cqe.dw0 > 0).then(|| f64::from(cqe.dw0) / 1e3)),
            // A target's own words for "not now"; only loads without a gateway hear them.
            status::FULL | status::DRAINING => Answer::Declined(None),
            status::ABORTED_BY_REQUEST => Answer::Aborted,
            _ => Answer::Scrapped,
        };
        if let (Some(record), false) = (&self.options.record, answer == Answer::Aborted) {
            let end = match answer {
                Answer::Settled => TransactionEnd::Settled,
                Answer::Declined(_) => TransactionEnd::Declined,
                _ => TransactionEnd::Scrapped,
            };
            record.put(Line::FinalAnswer { t: now, gateway: peer as u32, mark, end });
        }
        self.generator.answered(now, mark, answer);
    }

    /// The association with a peer ended.
    fn cut(&mut self, peer: usize) {
        let now = self.now();
        for queue in std::mem::take(&mut self.peers[peer].queues) {
            let _ = queue.stream.get_ref().shutdown(std::net::Shutdown::Both);
            for mark in queue.asked.into_iter().filter(|mark| *mark != 0) {
                if let Some(record) = &self.options.record {
                    record.put(Line::ClientConnectionLost { t: now, gateway: peer as u32, mark });
                }
                self.generator.cut(now, mark);
            }
        }
        if self.generator.next_at() < self.sleeps {
            self.wake.notify();
        }
    }

    /// Writes what gathered in this turn.
    fn flush(&mut self) {
        for queue in self.peers.iter_mut().flat_map(|peer| &mut peer.queues).filter(|queue| queue.dirty) {
            // What the kernel does not take goes with the next call; a dead peer shows at its reader.
            queue.dirty = !matches!(queue.output.flush(queue.stream.get_ref()), Ok(true));
        }
    }
}
