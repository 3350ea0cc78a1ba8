//! Polls of a loop's tasks: how long each took, which took too long, and when one has to let the others run.
//!
//! A poll is one run of a task by the executor. Nothing else of the thread runs meanwhile, so the longest poll is the
//! longest time for which one peer can keep all others waiting. A loop that goes on for as long as its peer sends calls
//! [`yield_if_spent`] in each round; [`crate::event_loop::read_some`] does so before each read.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use futures_lite::future::yield_now;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use tracing::warn;

/// A poll of this length is worth a warning.
const LONG_POLL: Duration = Duration::from_millis(100);
/// What one poll may take before it lets the others run: far below any deadline, far above the cost of a yield.
const POLL_BUDGET: Duration = Duration::from_millis(1);
/// How long tasks run before the sockets and timers are looked at: a look costs a system call.
const LOOK: Duration = Duration::from_millis(1);
/// How old the last reading of the thread's processor time may be, as each costs a system call.
const CPU_READING_AGE: Duration = Duration::from_millis(10);
/// Polls are told apart up to this length, microseconds; longer ones count as this long in the histogram.
const LONGEST_TOLD: u64 = 60_000_000;
/// Significant digits of the histogram.
const DIGITS: u8 = 2;

/// What a task does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    Accept,
    Attempt,
    Client,
    Discovery,
    Drain,
    Fleet,
    NodeConnection,
    Report,
    Signals,
    Timers,
    TurnAway,
}

/// Who a task deals with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Peer {
    None,
    Address(SocketAddr),
    Node(Arc<str>),
}

impl fmt::Display for Peer {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Peer::None => formatter.write_str("none"),
            Peer::Address(address) => address.fmt(formatter),
            Peer::Node(name) => formatter.write_str(name),
        }
    }
}

/// Polls since the summary before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PollSummary {
    pub polls: u64,
    /// Microseconds.
    pub p50: u64,
    pub p99: u64,
    pub p999: u64,
    pub longest: u64,
}

/// What is known of the polls of one thread.
struct PollTimes {
    histogram: RefCell<Histogram<u32>>,
    /// Since when the poll under way goes on; none between two polls, and in tasks that are not measured.
    began: Cell<Option<Instant>>,
    /// When the thread's processor time was read last, and what it was.
    cpu: Cell<(Instant, Duration)>,
}

impl PollTimes {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_TOLD, DIGITS).expect("bounds that fit");
        PollTimes {
            histogram: RefCell::new(histogram),
            began: Cell::new(None),
            cpu: Cell::new((Instant::now(), thread_cpu())),
        }
    }

    fn began(&self, now: Instant) {
        self.began.set(Some(now));
        if now.duration_since(self.cpu.get().0) >= CPU_READING_AGE {
            self.cpu.set((now, thread_cpu()));
        }
    }

    /// Whether the poll under way has used up its time. One that is not measured has none.
    fn spent(&self) -> bool {
        self.began.get().is_none_or(|began| began.elapsed() >= POLL_BUDGET)
    }

    fn ended(&self, task: TaskKind, peer: &Peer, began: Instant) {
        self.began.set(None);
        let took = began.elapsed();
        let micros = u64::try_from(took.as_micros()).unwrap_or(LONGEST_TOLD);
        self.histogram.borrow_mut().saturating_record(micros.max(1));
        if took >= LONG_POLL {
            // Little processor time in a long poll is a process that was held up, not a task that did much.
            let cpu = thread_cpu().saturating_sub(self.cpu.get().1);
            let (took_ms, cpu_ms) = (took.as_millis() as u64, cpu.as_millis() as u64);
            warn!(?task, %peer, took_ms, cpu_ms, "a task kept the loop for long");
        }
    }
}

thread_local! {
    static POLL_TIMES: PollTimes = PollTimes::new();
}

fn thread_cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Starts a task whose polls are measured.
pub fn spawn(
    executor: &LocalExecutor<'static>, task: TaskKind, peer: Peer, work: impl Future<Output = ()> + 'static,
) {
    executor.spawn(measured(task, peer, work)).detach();
}

async fn measured(task: TaskKind, peer: Peer, work: impl Future<Output = ()>) {
    let mut work = pin!(work);
    poll_fn(|context| {
        POLL_TIMES.with(|times| {
            let began = Instant::now();
            times.began(began);
            let polled = work.as_mut().poll(context);
            times.ended(task, &peer, began);
            polled
        })
    })
    .await;
}

/// Runs the executor's tasks until `until` is done. The executor's own `run` goes through 200 polls before it looks at
/// anything else, however long they take; here `until`, sockets and timers have their turn after [`LOOK`] at the latest, and
/// the poll that is under way then.
pub async fn run<R>(executor: &LocalExecutor<'static>, until: impl Future<Output = R>) -> R {
    let tasks = async {
        loop {
            executor.tick().await;
            let began = Instant::now();
            while began.elapsed() < LOOK && executor.try_tick() {}
            yield_now().await;
        }
    };
    until.or(tasks).await
}

/// Lets the other tasks run where this one's poll has used up its time.
pub async fn yield_if_spent() {
    if POLL_TIMES.with(PollTimes::spent) {
        yield_now().await;
    }
}

/// The polls of this thread since the last call.
pub fn take_summary() -> PollSummary {
    POLL_TIMES.with(|times| {
        let mut histogram = times.histogram.borrow_mut();
        let summary = PollSummary {
            polls: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            longest: histogram.max(),
        };
        histogram.reset();
        summary
    })
}
