//! The tasks of one instance: accept, read, connect, drain, timers. They move bytes and turns; what happens is
//! [`Instance`]'s.
//!
//! A turn is one task's run from the executor: the clock is read once at its start. After a time without turns
//! the reactor wakes all that is ready; the timers' task then lets every reader have a turn first, so that an
//! answer that had come is read before its time-out is rung. Within one socket order is kept; across sockets
//! the kernel does not tell it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath::types::NodeId;
use quaypath_nvme::command::{Cqe, Sqe, ANY_CONTROLLER};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::{Event, Host, Offer};
use quaypath_nvme::pdu::Format;
use quaypath_nvme::QUEUE_SIZE;
use quaypath_settings::{Deployment, Digests};
use tracing::{debug, info, warn};

use crate::instance::{Counts, Instance};
use crate::register;

const READ: usize = 256 << 10;

/// What one instance is started with.
#[derive(Clone)]
pub struct Options {
    pub deployment: Rc<Deployment>,
    /// Its number among the initiators.
    pub number: u32,
    pub seed: u64,
    /// Where the last node list is kept.
    pub list: PathBuf,
    /// What decides.
    pub core: crate::core::Make,
}

/// Wakes one waiting task of the same thread; a word said before the wait is not lost.
#[derive(Default)]
pub struct Notify {
    told: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    pub fn tell(&self) {
        self.told.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    pub async fn wait(&self) {
        std::future::poll_fn(|context: &mut Context| {
            if self.told.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

pub type Shared = Rc<RefCell<Instance>>;

/// What is not done within so many seconds has timed out.
pub async fn within<R>(seconds: f64, done: impl Future<Output = io::Result<R>>) -> io::Result<R> {
    let late = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    done.or(late).await
}

/// An instance that works by turns: NVMe/TCP's here, and any other way in and out on the same core.
pub trait Turns {
    /// Reads the clock.
    fn begin_turn(&mut self);
    /// Feeds the core all that happened and carries out what it asks for.
    fn finish_turn(&mut self);
    /// The clock as it is, between turns.
    fn clock_now(&self) -> f64;
    fn next_timer(&self) -> Option<f64>;
    /// Told when the next timer has changed.
    fn wake(&self) -> Rc<Notify>;
    /// Takes note of all timers that are due.
    fn ring(&mut self);
}

/// One turn: clock, what happened, core, output.
pub fn turn<T: Turns, R>(instance: &Rc<RefCell<T>>, act: impl FnOnce(&mut T) -> R) -> R {
    let mut this = instance.borrow_mut();
    let before = this.next_timer();
    this.begin_turn();
    let result = act(&mut this);
    this.finish_turn();
    if this.next_timer() != before {
        this.wake().tell();
    }
    result
}

/// Runs one instance on a bound listener until `stop` is done, and gives its counts.
pub fn run(options: &Options, listener: TcpListener, stop: impl Future<Output = ()>) -> io::Result<Counts> {
    let listener = Async::new(listener)?;
    let executor = Rc::new(LocalExecutor::new());
    let instance = Instance::start(options, &executor);
    info!(address = %listener.get_ref().local_addr()?, number = options.number, "listening");
    executor.spawn(accept(Rc::downgrade(&instance), Rc::downgrade(&executor), listener)).detach();
    executor.spawn(timers(Rc::downgrade(&instance))).detach();
    executor.spawn(register::follow(Rc::downgrade(&instance))).detach();
    executor.spawn(report(Rc::downgrade(&instance))).detach();
    async_io::block_on(executor.run(stop));
    let counts = instance.borrow_mut().counted();
    Ok(counts)
}

async fn report(instance: Weak<RefCell<Instance>>) {
    loop {
        Timer::after(Duration::from_secs(10)).await;
        let Some(instance) = instance.upgrade() else { return };
        let counts = serde_json::to_string(&instance.borrow_mut().counted()).unwrap_or_default();
        info!(counts, "counts");
    }
}

/// The next connection of a listener.
pub async fn accepted(listener: &Async<TcpListener>) -> (Rc<Async<TcpStream>>, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.get_ref().set_nodelay(true);
                return (Rc::new(stream), peer);
            }
            Err(error) => {
                // Out of descriptors, most likely: without a wait this loop would take the whole thread.
                warn!(%error, "cannot accept");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn accept(
    instance: Weak<RefCell<Instance>>, executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>,
) {
    loop {
        let (stream, peer) = accepted(&listener).await;
        let (Some(instance), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        let opened = turn(&instance, |this| this.front_opened(stream.clone()));
        let Some(connection) = opened else {
            debug!(%peer, "closed: as many client connections as allowed");
            continue;
        };
        executor.spawn(read_front(Rc::downgrade(&instance), connection, stream)).detach();
    }
}

/// Reads what is there without waiting, or waits for more. 0: the peer closed.
async fn read(stream: &Async<TcpStream>, buffer: &mut [u8]) -> io::Result<usize> {
    let mut direct = stream.get_ref();
    loop {
        match direct.read(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => stream.readable().await?,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

thread_local! {
    /// One read buffer for all connections of the thread: it is only used within one poll.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ]);
}

/// What a read brought.
pub enum Came<R> {
    /// What was made of the bytes.
    Bytes(R),
    /// The peer sends no more.
    End,
}

/// Hands what is there to `take`, without waiting; none where nothing is.
pub fn read_now<R>(mut stream: &TcpStream, take: impl FnOnce(&[u8]) -> R) -> io::Result<Option<Came<R>>> {
    BUFFER.with_borrow_mut(|buffer| match stream.read(buffer) {
        Ok(0) => Ok(Some(Came::End)),
        Ok(count) => Ok(Some(Came::Bytes(take(&buffer[..count])))),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(None),
            _ => Err(error),
        },
    })
}

/// Waits for bytes and hands them to `take`.
pub async fn read_some<R>(
    stream: &Async<TcpStream>, mut take: impl FnMut(&[u8]) -> R,
) -> io::Result<Came<R>> {
    loop {
        match read_now(stream.get_ref(), &mut take)? {
            Some(came) => return Ok(came),
            None => stream.readable().await?,
        }
    }
}

async fn serve(
    instance: Weak<RefCell<Instance>>, stream: Rc<Async<TcpStream>>,
    take: impl Fn(&mut Instance, &[u8]) -> bool, close: impl Fn(&mut Instance),
) {
    loop {
        let Some(this) = instance.upgrade() else { return };
        this.borrow_mut().counts.reads += 1;
        let read = read_now(stream.get_ref(), |bytes| turn(&this, |this| take(this, bytes)));
        let more = match read {
            Ok(Some(Came::Bytes(more))) => more,
            Ok(Some(Came::End)) => false,
            Ok(None) => {
                drop(this);
                if stream.readable().await.is_err() {
                    return;
                }
                continue;
            }
            Err(error) => {
                debug!(%error, "read");
                false
            }
        };
        if !more {
            return turn(&this, close);
        }
        drop(this);
        // One peer that never stops must not keep the others and the timers from their turns.
        yield_now().await;
    }
}

async fn read_front(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.front_read(connection, bytes);
    serve(instance, stream, take, |this| this.front_closed(connection)).await;
}

async fn read_back(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let take = |this: &mut Instance, bytes: &[u8]| this.back_read(connection, bytes);
    serve(instance, stream, take, |this| this.back_closed(connection)).await;
}

/// Waits until a connection takes bytes again, once.
pub async fn drain(instance: Weak<RefCell<Instance>>, connection: u64, stream: Rc<Async<TcpStream>>) {
    let _ = stream.writable().await;
    if let Some(instance) = instance.upgrade() {
        turn(&instance, |this| this.unblocked(connection));
    }
}

/// How late a timer may be before the sockets are looked at once more, seconds.
const LATE: f64 = 0.005;

/// Rings the timers of an instance for as long as it lives.
pub async fn timers<T: Turns>(instance: Weak<RefCell<T>>) {
    loop {
        let (due, wait, wake) = {
            let Some(this) = instance.upgrade() else { return };
            let this = this.borrow();
            let (due, now) = (this.next_timer(), this.clock_now());
            (due, due.map(|at| Duration::from_secs_f64((at - now).clamp(0.0, 3600.0))), this.wake())
        };
        match wait {
            Some(wait) if wait.is_zero() => {}
            Some(wait) => {
                let timer = async {
                    Timer::after(wait).await;
                };
                timer.or(wake.wait()).await;
            }
            None => wake.wait().await,
        }
        // The process may have stood still between the reactor's last look at the sockets and now: what came
        // meanwhile is only seen by another look, and goes before what is late by the same standstill.
        let mut since = due.filter(|at| at.is_finite());
        while let Some(at) = since {
            let Some(this) = instance.upgrade() else { return };
            let now = this.borrow().clock_now();
            drop(this);
            if now - at <= LATE {
                break;
            }
            Timer::after(Duration::from_micros(300)).await;
            since = Some(now);
        }
        // All that the reactor woke together with us goes first, answers among it.
        yield_now().await;
        yield_now().await;
        let Some(this) = instance.upgrade() else { return };
        turn(&this, T::ring);
    }
}

/// Opens an association at a node: admin queue, enable, then the I/O queues, all within the connect time-out.
pub async fn open_link(instance: Weak<RefCell<Instance>>, node: NodeId) {
    let Some(this) = instance.upgrade() else { return };
    let (host, waits) = {
        let this = this.borrow();
        (this.name.clone(), this.deployment.connections.clone())
    };
    drop(this);
    let opening = async {
        let address: SocketAddr = node.0.parse().map_err(|_| io::Error::other("not an address"))?;
        let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
        let offer = offer(&waits);
        let (admin, enable) = open_admin(address, &subsystem, &host, offer, waits.queues, false).await?;
        let mut queues = vec![admin];
        for number in 1..=enable.queues.clamp(1, waits.queues) {
            queues.push(open_queue(address, number, enable.controller, &subsystem, &host, offer).await?);
        }
        Ok(queues)
    };
    let opened: io::Result<Vec<Queue>> = within(waits.connect, opening).await;
    let Some(this) = instance.upgrade() else { return };
    match opened {
        Ok(queues) => {
            let streams: Vec<_> = queues.iter().map(|(_, stream)| stream.clone()).collect();
            let ids = turn(&this, |this| this.link_opened(&node, queues));
            let executor = this.borrow().executor();
            let weak = Rc::downgrade(&this);
            drop(this);
            if let Some(executor) = executor {
                for (id, stream) in ids.into_iter().zip(streams) {
                    executor.spawn(read_back(weak.clone(), id, stream)).detach();
                }
            }
        }
        Err(error) => turn(&this, |this| this.link_failed(&node, &error.to_string())),
    }
}

/// What this end offers a node, by the settings.
fn offer(waits: &quaypath_settings::Connections) -> Offer {
    let bits = match waits.digests {
        Digests::None => 0,
        Digests::Header => 1,
        Digests::Data => 2,
        Digests::Both => 3,
    };
    let format = Format::of(bits, 0);
    // Asked for by the operators, so a node that does not take them is not used.
    Offer { format, insist: true, keep_alive_ms: (waits.keep_alive * 1e3) as u32 }
}

/// One queue and its socket.
pub type Queue = (Host, Rc<Async<TcpStream>>);

/// Feeds a queue's machine from its socket until `take` has what it wants.
async fn converse<R>(
    machine: &mut Host, stream: &Async<TcpStream>,
    mut take: impl FnMut(&mut Host, Event) -> io::Result<Option<R>>,
) -> io::Result<R> {
    let mut buffer = vec![0; 16 << 10];
    let mut writer = stream;
    loop {
        let out = std::mem::take(&mut machine.out);
        writer.write_all(&out).await?;
        let count = read(stream, &mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut events = Vec::new();
        machine.feed(&buffer[..count], &mut events).map_err(io::Error::other)?;
        // All that came is looked at: an event may stand right behind the answer.
        let mut result = None;
        for event in events {
            if let Some(done) = take(machine, event)? {
                result.get_or_insert(done);
            }
        }
        if let Some(done) = result {
            let out = std::mem::take(&mut machine.out);
            writer.write_all(&out).await?;
            return Ok(done);
        }
    }
}

/// Connects and enables an admin queue; wants this many I/O queues, and events or not.
pub async fn open_admin(
    address: SocketAddr, subsystem: &str, host: &str, offer: Offer, queues: u16, events: bool,
) -> io::Result<(Queue, Enable)> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(0, QUEUE_SIZE, ANY_CONTROLLER, subsystem, host, offer);
    let mut enable = Enable::new(queues, events);
    converse(&mut machine, &stream, |machine, event| {
        let done = enable.take(machine, event).map_err(io::Error::other)?;
        Ok(done.then_some(()))
    })
    .await?;
    Ok(((machine, Rc::new(stream)), enable))
}

/// Connects an I/O queue of an association.
pub async fn open_queue(
    address: SocketAddr, number: u16, controller: u16, subsystem: &str, host: &str, offer: Offer,
) -> io::Result<Queue> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut machine = Host::start_with(number, QUEUE_SIZE, controller, subsystem, host, offer);
    converse(&mut machine, &stream, |_, event| match event {
        Event::Ready { .. } => Ok(Some(())),
        event => Err(io::Error::other(format!("{event:?}"))),
    })
    .await?;
    Ok((machine, Rc::new(stream)))
}

/// One command and its answer, on a queue that nothing else uses. Completions of event requests that come meanwhile
/// go into `events`.
pub async fn ask(
    queue: &mut Queue, sqe: Sqe, data: Vec<u8>, expected: usize, events: &mut Vec<Cqe>,
) -> io::Result<(Cqe, Vec<u8>)> {
    let (machine, stream) = queue;
    let asked = machine.submit(sqe, data, expected);
    let (asked, bytes) = asked.ok_or_else(|| io::Error::other("the queue is full"))?;
    machine.out.extend(bytes);
    converse(machine, stream, |_, event| match event {
        Event::Done { cid, cqe, data } if cid == asked => Ok(Some((cqe, data))),
        Event::Done { cqe, .. } => {
            events.push(cqe);
            Ok(None)
        }
        Event::Terminated { status, .. } => Err(io::Error::other(format!("ended with fatal error {status}"))),
        _ => Ok(None),
    })
    .await
}

/// Waits for the completion of an event request.
pub async fn event(queue: &mut Queue) -> io::Result<Cqe> {
    let (machine, stream) = queue;
    converse(machine, stream, |_, event| match event {
        Event::Done { cqe, .. } => Ok(Some(cqe)),
        Event::Terminated { status, .. } => Err(io::Error::other(format!("ended with fatal error {status}"))),
        _ => Ok(None),
    })
    .await
}
