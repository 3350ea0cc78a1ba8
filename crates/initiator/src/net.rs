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
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::{self, yield_now};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use quaypath::types::NodeId;
use quaypath_nvme::command::ANY_CONTROLLER;
use quaypath_nvme::host::{Event, Host};
use quaypath_nvme::QUEUE_SIZE;
use quaypath_settings::Deployment;
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

/// Seconds since the epoch as of the start, moved on by the monotonic clock: never back, no jumps.
#[derive(Clone, Copy)]
pub struct Clock {
    base: f64,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64());
        Clock { base, start: Instant::now() }
    }
}

impl Clock {
    pub fn now(&self) -> f64 {
        self.base + self.start.elapsed().as_secs_f64()
    }
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

/// One turn: clock, what happened, core, output.
fn turn<R>(instance: &Shared, act: impl FnOnce(&mut Instance) -> R) -> R {
    let mut this = instance.borrow_mut();
    let before = this.next_timer();
    this.begin_turn();
    let result = act(&mut this);
    this.finish_turn();
    let wake = this.next_timer() != before;
    if wake {
        this.wake.tell();
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

async fn accept(
    instance: Weak<RefCell<Instance>>, executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>,
) {
    loop {
        let accepted = listener.accept().await;
        let (Some(instance), Some(executor)) = (instance.upgrade(), executor.upgrade()) else { return };
        match accepted {
            Ok((stream, peer)) => {
                let _ = stream.get_ref().set_nodelay(true);
                let stream = Rc::new(stream);
                let opened = turn(&instance, |this| this.front_opened(stream.clone()));
                let Some(connection) = opened else {
                    debug!(%peer, "closed: as many client connections as allowed");
                    continue;
                };
                executor.spawn(read_front(Rc::downgrade(&instance), connection, stream)).detach();
            }
            Err(error) => {
                // Out of descriptors, most likely: without a wait this loop would take the whole thread.
                warn!(%error, "cannot accept");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
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

async fn serve(
    instance: Weak<RefCell<Instance>>, stream: Rc<Async<TcpStream>>,
    take: impl Fn(&mut Instance, &[u8]) -> bool, close: impl Fn(&mut Instance),
) {
    loop {
        let Some(this) = instance.upgrade() else { return };
        let read = BUFFER.with_borrow_mut(|buffer| {
            let mut direct = stream.get_ref();
            match direct.read(buffer) {
                Ok(0) => Ok(Some(false)),
                Ok(count) => Ok(Some(turn(&this, |this| take(this, &buffer[..count])))),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => Ok(None),
                    io::ErrorKind::Interrupted => Ok(Some(true)),
                    _ => Err(error),
                },
            }
        });
        let more = match read {
            Ok(Some(more)) => more,
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

async fn timers(instance: Weak<RefCell<Instance>>) {
    loop {
        let (wait, wake) = {
            let Some(this) = instance.upgrade() else { return };
            let this = this.borrow();
            (this.next_timer().map(|at| this.until(at)), this.wake.clone())
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
        // All that the reactor woke together with us goes first, answers among it.
        yield_now().await;
        yield_now().await;
        let Some(this) = instance.upgrade() else { return };
        turn(&this, Instance::ring);
    }
}

/// Opens an association at a node: admin queue, then one I/O queue, both within the connect time-out.
pub async fn open_link(instance: Weak<RefCell<Instance>>, node: NodeId) {
    let Some(this) = instance.upgrade() else { return };
    let (host, wait) = {
        let this = this.borrow();
        (this.name.clone(), this.deployment.connections.connect)
    };
    drop(this);
    let opening = async {
        let address: SocketAddr = node.0.parse().map_err(|_| io::Error::other("not an address"))?;
        let (admin, controller) = open_queue(address, 0, ANY_CONTROLLER, &host).await?;
        let (io, _) = open_queue(address, 1, controller, &host).await?;
        Ok((io, admin))
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(wait)).await;
        Err(io::Error::from(io::ErrorKind::TimedOut))
    };
    let opened: io::Result<_> = opening.or(late).await;
    let Some(this) = instance.upgrade() else { return };
    match opened {
        Ok((io, admin)) => {
            let streams = (io.1.clone(), admin.1.clone());
            let ids = turn(&this, |this| this.link_opened(&node, io, admin));
            let weak = Rc::downgrade(&this);
            drop(this);
            let one = read_back(weak.clone(), ids.0, streams.0);
            let other = read_back(weak, ids.1, streams.1);
            future::zip(one, other).await;
        }
        Err(error) => turn(&this, |this| this.link_failed(&node, &error.to_string())),
    }
}

type Opened = ((Host, Rc<Async<TcpStream>>), u16);

async fn open_queue(address: SocketAddr, queue: u16, controller: u16, host: &str) -> io::Result<Opened> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let subsystem = format!("nqn.2026-12.example.quaypath:node:{address}");
    let mut machine = Host::start(queue, QUEUE_SIZE, controller, &subsystem, host);
    let mut buffer = [0; 4096];
    loop {
        let out = std::mem::take(&mut machine.out);
        (&stream).write_all(&out).await?;
        let count = read(&stream, &mut buffer).await?;
        if count == 0 {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut events = Vec::new();
        machine.feed(&buffer[..count], &mut events).map_err(io::Error::other)?;
        match events.pop() {
            None => {}
            Some(Event::Ready { controller }) => return Ok(((machine, Rc::new(stream)), controller)),
            Some(event) => return Err(io::Error::other(format!("{event:?}"))),
        }
    }
}

/// Reads one line, bounded; none where the peer closed.
pub async fn read_line(
    stream: &Async<TcpStream>, held: &mut Vec<u8>, longest: usize,
) -> io::Result<Option<Vec<u8>>> {
    let mut buffer = [0; 8192];
    loop {
        if let Some(at) = held.iter().position(|byte| *byte == b'\n') {
            let rest = held.split_off(at + 1);
            return Ok(Some(std::mem::replace(held, rest)));
        }
        if held.len() > longest {
            return Err(io::Error::other("a line longer than allowed"));
        }
        let mut reader = stream;
        let count = reader.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        held.extend_from_slice(&buffer[..count]);
    }
}
