//! Turns of one loop: its clock, its timers, waits, and reading without waiting. Knows nothing of what takes them.
//!
//! A turn is one task's run from the executor: the clock is read once at its start. After a time without turns
//! the reactor wakes all that is ready; the timers' task then lets every reader have a turn first, so that an
//! answer that had come is read before its time-out is rung. Within one socket order is kept; across sockets
//! the kernel does not tell it.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use tracing::warn;

use crate::polls::yield_if_spent;

/// Most that is read at once.
pub const MAX_READ_BYTES: usize = 256 << 10;

/// Wakes one waiting task of the same thread; a word said before the wait is not lost.
#[derive(Default)]
pub struct Notify {
    told: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    pub fn notify(&self) {
        self.told.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Takes back a word that nobody has heard yet.
    pub fn clear(&self) {
        self.told.set(false);
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

/// What is not done within so many seconds has timed out.
pub async fn with_timeout<R>(seconds: f64, done: impl Future<Output = io::Result<R>>) -> io::Result<R> {
    let late = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    done.or(late).await
}

/// An instance that works by turns: NVMe/TCP's here, and any other way in and out on the same core.
pub trait Driver {
    /// Reads the clock.
    fn begin_turn(&mut self);
    /// Feeds the core all that happened and carries out what it asks for.
    fn finish_turn(&mut self);
    /// The clock as it is, between turns.
    fn clock_now(&self) -> f64;
    fn next_timer(&self) -> Option<f64>;
    /// Told when the next timer has changed.
    fn timer_changed(&self) -> Rc<Notify>;
    /// Takes note of all timers that are due.
    fn fire_timers(&mut self);
}

/// One turn: clock, what happened, core, output.
pub fn run_turn<T: Driver, R>(instance: &Rc<RefCell<T>>, act: impl FnOnce(&mut T) -> R) -> R {
    let mut this = instance.borrow_mut();
    let before = this.next_timer();
    this.begin_turn();
    let result = act(&mut this);
    this.finish_turn();
    if this.next_timer() != before {
        this.timer_changed().notify();
    }
    result
}

/// The next connection of a listener.
pub async fn accept_next(listener: &Async<TcpListener>) -> (Rc<Async<TcpStream>>, SocketAddr) {
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

thread_local! {
    /// One read buffer for all connections of the thread: it is only used within one poll.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

/// What a read brought.
pub enum Received<R> {
    /// What was made of the bytes.
    Bytes(R),
    /// The peer sends no more.
    End,
}

/// Hands what is there, `most` bytes of it, to `take`, without waiting; none where nothing is.
pub fn try_read<R>(
    mut stream: &TcpStream, most: usize, take: impl FnOnce(&[u8]) -> R,
) -> io::Result<Option<Received<R>>> {
    BUFFER.with_borrow_mut(|buffer| match stream.read(&mut buffer[..most.min(MAX_READ_BYTES)]) {
        Ok(0) => Ok(Some(Received::End)),
        Ok(count) => Ok(Some(Received::Bytes(take(&buffer[..count])))),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(None),
            _ => Err(error),
        },
    })
}

/// Bytes that have come on a connection by now and were not read yet.
pub fn unread_bytes(stream: &TcpStream) -> io::Result<usize> {
    let count = rustix::io::ioctl_fionread(stream)?;
    Ok(usize::try_from(count).unwrap_or(usize::MAX))
}

/// Waits for bytes and hands them to `take`. A peer that sends without end never lets a read wait, and the time-out of
/// whoever reads on would not be looked at either: so each read first sees whether the poll has used up its time.
pub async fn read_some<R>(
    stream: &Async<TcpStream>, most: usize, mut take: impl FnMut(&[u8]) -> R,
) -> io::Result<Received<R>> {
    loop {
        yield_if_spent().await;
        match try_read(stream.get_ref(), most, &mut take)? {
            Some(came) => return Ok(came),
            None => stream.readable().await?,
        }
    }
}

/// How late a timer may be before the sockets are looked at once more, seconds.
const LATE: f64 = 0.005;
/// A wait that only the reactor ends, by a look at the sockets.
const ANOTHER_LOOK: Duration = Duration::from_micros(300);

/// Rings the timers of an instance for as long as it lives.
pub async fn run_timers<T: Driver>(instance: Weak<RefCell<T>>) {
    loop {
        let (due, wait, wake) = {
            let Some(this) = instance.upgrade() else { return };
            let this = this.borrow();
            let (due, now) = (this.next_timer(), this.clock_now());
            (due, due.map(|at| Duration::from_secs_f64((at - now).clamp(0.0, 3600.0))), this.timer_changed())
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
        // meanwhile is only seen by another look, and goes before what is late by the same standstill. One look is
        // enough, as what comes behind it came after the timer's time; to go on until a look is quick would keep the
        // timers for as long as the loop is busy.
        if let Some(at) = due.filter(|at| at.is_finite()) {
            let Some(this) = instance.upgrade() else { return };
            let late = this.borrow().clock_now() - at > LATE;
            drop(this);
            if late {
                Timer::after(ANOTHER_LOOK).await;
            }
        }
        // All that the reactor woke together with us goes first, answers among it.
        yield_now().await;
        yield_now().await;
        let Some(this) = instance.upgrade() else { return };
        run_turn(&this, T::fire_timers);
    }
}
