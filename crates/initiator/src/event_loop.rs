//! The event loop of one instance: its clock, its timers, waits, and non-blocking reads. It is independent of the
//! protocol of the instance.
//!
//! A turn is one run of a task by the executor; the clock is read once at its start. After the process was suspended,
//! the reactor wakes every task that is ready. The timer task then lets all reading tasks run first, so that an answer
//! that has already arrived is read before its timeout fires. The order within one socket is kept; the kernel does not
//! report the order across sockets.

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

/// Size of the read buffer, and so the limit of one read, bytes.
pub const MAX_READ_BYTES: usize = 256 << 10;

/// Wakes one waiting task of the same thread. A notification that is sent before the wait begins is kept.
#[derive(Default)]
pub struct Notify {
    notified: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Notify {
    /// Wakes the waiting task, or makes the next wait return at once.
    pub fn notify(&self) {
        self.notified.set(true);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Withdraws a notification that no task has received yet.
    pub fn clear(&self) {
        self.notified.set(false);
    }

    /// Waits for a notification and consumes it.
    pub async fn wait(&self) {
        std::future::poll_fn(|context: &mut Context| {
            if self.notified.take() {
                return Poll::Ready(());
            }
            *self.waker.borrow_mut() = Some(context.waker().clone());
            Poll::Pending
        })
        .await
    }
}

/// Awaits `work`, and fails with `TimedOut` when it has not completed within `seconds`.
pub async fn with_timeout<R>(seconds: f64, work: impl Future<Output = io::Result<R>>) -> io::Result<R> {
    let timeout = async {
        Timer::after(Duration::from_secs_f64(seconds)).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    work.or(timeout).await
}

/// An instance that an event loop drives: the NVMe/TCP gateway of this crate, or a gateway of another protocol over the
/// same core.
pub trait Driver {
    /// Reads the clock.
    fn begin_turn(&mut self);
    /// Passes all pending events to the core and carries out the actions that it requests.
    fn finish_turn(&mut self);
    /// The current clock time outside a turn, seconds.
    fn clock_now(&self) -> f64;
    /// Clock time of the earliest timer, seconds; none when no timer is set.
    fn next_timer(&self) -> Option<f64>;
    /// Notified when the time of the earliest timer has changed.
    fn timer_changed(&self) -> Rc<Notify>;
    /// Handles all timers that are due.
    fn fire_timers(&mut self);
}

/// Runs one turn of an instance: reads the clock, performs `action`, then lets the core and the output follow.
pub fn run_turn<T: Driver, R>(instance: &Rc<RefCell<T>>, action: impl FnOnce(&mut T) -> R) -> R {
    let mut this = instance.borrow_mut();
    let timer_before = this.next_timer();
    this.begin_turn();
    let result = action(&mut this);
    this.finish_turn();
    if this.next_timer() != timer_before {
        this.timer_changed().notify();
    }
    result
}

/// Accepts the next connection of a listener. Errors are logged and retried.
pub async fn accept_next(listener: &Async<TcpListener>) -> (Rc<Async<TcpStream>>, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.get_ref().set_nodelay(true);
                return (Rc::new(stream), peer);
            }
            Err(error) => {
                // The process is most likely out of file descriptors. Without a delay, this loop would use the whole
                // time of the thread.
                warn!(%error, "cannot accept");
                Timer::after(Duration::from_millis(50)).await;
            }
        }
    }
}

thread_local! {
    /// Read buffer that all connections of the thread share; it is only used within one poll.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_READ_BYTES]);
}

/// Result of a read.
pub enum Received<R> {
    /// Result of the callback that was given the bytes.
    Bytes(R),
    /// The peer has closed its sending side.
    End,
}

/// Reads at most `max_bytes` bytes without waiting and passes them to `take`; returns none when no bytes are available.
pub fn try_read<R>(
    mut stream: &TcpStream, max_bytes: usize, take: impl FnOnce(&[u8]) -> R,
) -> io::Result<Option<Received<R>>> {
    BUFFER.with_borrow_mut(|buffer| match stream.read(&mut buffer[..max_bytes.min(MAX_READ_BYTES)]) {
        Ok(0) => Ok(Some(Received::End)),
        Ok(count) => Ok(Some(Received::Bytes(take(&buffer[..count])))),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(None),
            _ => Err(error),
        },
    })
}

/// Number of bytes in the kernel's receive buffer of a connection.
pub fn unread_bytes(stream: &TcpStream) -> io::Result<usize> {
    let count = rustix::io::ioctl_fionread(stream)?;
    Ok(usize::try_from(count).unwrap_or(usize::MAX))
}

/// Waits for bytes and passes at most `max_bytes` of them to `take`. Before each read, the task yields if its poll
/// has used up its time budget: a peer that sends without end never makes a read wait, so neither other tasks nor the
/// timeout of the caller would otherwise run.
pub async fn read_some<R>(
    stream: &Async<TcpStream>, max_bytes: usize, mut take: impl FnMut(&[u8]) -> R,
) -> io::Result<Received<R>> {
    loop {
        yield_if_spent().await;
        match try_read(stream.get_ref(), max_bytes, &mut take)? {
            Some(received) => return Ok(received),
            None => stream.readable().await?,
        }
    }
}

/// Delay of a timer from which the sockets are polled once more before it fires, seconds.
const LATE_TIMER: f64 = 0.005;
/// Wait that only the reactor can end, so that it polls the sockets.
const REACTOR_POLL_WAIT: Duration = Duration::from_micros(300);

/// Fires the timers of an instance until the instance is dropped.
pub async fn run_timers<T: Driver>(instance: Weak<RefCell<T>>) {
    loop {
        let (due, wait, timer_changed) = {
            let Some(this) = instance.upgrade() else { return };
            let this = this.borrow();
            let (due, now) = (this.next_timer(), this.clock_now());
            (
                due,
                due.map(|due_time| Duration::from_secs_f64((due_time - now).clamp(0.0, 3600.0))),
                this.timer_changed(),
            )
        };
        match wait {
            Some(wait) if wait.is_zero() => {}
            Some(wait) => {
                let timer = async {
                    Timer::after(wait).await;
                };
                timer.or(timer_changed.wait()).await;
            }
            None => timer_changed.wait().await,
        }
        // The process may have been suspended between the reactor's last poll of the sockets and now. Bytes that
        // arrived meanwhile are only seen by another poll, and they are handled before the timers that the same
        // suspension delayed. One poll is enough, because bytes that arrive after it arrived after the timer's due
        // time. Polling until a poll is quick would delay the timers for as long as the loop is busy.
        if let Some(due_time) = due.filter(|due_time| due_time.is_finite()) {
            let Some(this) = instance.upgrade() else { return };
            let is_late = this.borrow().clock_now() - due_time > LATE_TIMER;
            drop(this);
            if is_late {
                Timer::after(REACTOR_POLL_WAIT).await;
            }
        }
        // All tasks that the reactor woke together with this one run first, among them those that read answers.
        yield_now().await;
        yield_now().await;
        let Some(this) = instance.upgrade() else { return };
        run_turn(&this, T::fire_timers);
    }
}
