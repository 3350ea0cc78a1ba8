//! Measurement of the polls of an event loop's tasks: the duration of each, warnings about long ones, and a time budget
//! after which a task yields.
//!
//! A poll is one run of a task by the executor. Nothing else on the thread runs meanwhile, so the longest poll is the
//! longest time for which one peer can delay all others. A loop that continues for as long as its peer sends calls
//! [`yield_if_spent`] in each iteration; [`crate::event_loop::read_some`] does so before each read.

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
use tracing::{error, warn};

/// Shortest poll that is logged as a warning.
const LONG_POLL: Duration = Duration::from_millis(100);
/// Time after which a poll yields to other tasks: far below any deadline, and far above the cost of a yield.
const POLL_BUDGET: Duration = Duration::from_millis(1);
/// Time for which tasks run before the reactor is polled for sockets and timers, as each reactor poll costs a system
/// call.
const REACTOR_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum age of the last reading of the thread's CPU time, as each reading costs a system call.
const MAX_CPU_READING_AGE: Duration = Duration::from_millis(10);
/// Upper bound of the histogram, microseconds; longer polls are recorded with this duration.
const MAX_RECORDED_MICROS: u64 = 60_000_000;
/// Significant decimal digits of the histogram.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Purpose of a task, as it is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    Accept,
    /// One attempt of a transaction at a node.
    Attempt,
    Client,
    Discovery,
    /// Wait until a connection is writable again.
    Drain,
    Fleet,
    NodeConnection,
    /// Periodic log lines with the counters.
    Report,
    /// Signals of the operating system.
    Signals,
    Timers,
    /// First look at a client beyond the connection limit, and its refusal.
    Lobby,
}

/// Peer that a task communicates with, as it is logged.
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

/// Number and durations of the polls since the previous summary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PollSummary {
    pub polls: u64,
    /// Median duration, microseconds.
    pub p50: u64,
    /// 99th percentile, microseconds.
    pub p99: u64,
    /// 99.9th percentile, microseconds.
    pub p999: u64,
    /// Longest duration, microseconds.
    pub longest: u64,
}

/// Measurements of the polls of one thread.
struct PollMetrics {
    histogram: RefCell<Histogram<u32>>,
    /// Start of the current poll; none between two polls, and in tasks that are not measured.
    started: Cell<Option<Instant>>,
    /// Time of the last reading of the thread's CPU time, and its value.
    cpu_reading: Cell<(Instant, Duration)>,
}

impl PollMetrics {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)
            .expect("the histogram bounds are valid");
        PollMetrics {
            histogram: RefCell::new(histogram),
            started: Cell::new(None),
            cpu_reading: Cell::new((Instant::now(), thread_cpu_time())),
        }
    }

    fn poll_started(&self, now: Instant) {
        self.started.set(Some(now));
        if now.duration_since(self.cpu_reading.get().0) >= MAX_CPU_READING_AGE {
            self.cpu_reading.set((now, thread_cpu_time()));
        }
    }

    /// Whether the current poll has used up its time budget. A poll that is not measured has no budget left.
    fn is_budget_spent(&self) -> bool {
        self.started.get().is_none_or(|started| started.elapsed() >= POLL_BUDGET)
    }

    fn poll_ended(&self, task: TaskKind, peer: &Peer, started: Instant) {
        self.started.set(None);
        let duration = started.elapsed();
        let micros = u64::try_from(duration.as_micros()).unwrap_or(MAX_RECORDED_MICROS);
        self.histogram.borrow_mut().saturating_record(micros.max(1));
        if duration >= LONG_POLL {
            // A long poll with little CPU time means that the thread was suspended, not that the task was busy.
            let cpu = thread_cpu_time().saturating_sub(self.cpu_reading.get().1);
            let (took_ms, cpu_ms) = (duration.as_millis() as u64, cpu.as_millis() as u64);
            warn!(?task, %peer, took_ms, cpu_ms, "a task kept the loop for long");
        }
    }
}

thread_local! {
    static POLL_METRICS: PollMetrics = PollMetrics::new();
}

fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Exit code of a process in which a task panicked (EX_SOFTWARE of sysexits).
pub const TASK_PANIC_EXIT_CODE: i32 = 70;

/// Ends the process when it is dropped by a panic. The executor keeps a panic of a detached task to itself, and the loop would go
/// on without that task, over state that it may have left half changed: without timers, for instance, nothing is answered that
/// waits for a time. A process that has ended is started again.
struct ExitOnPanic<'a> {
    task: TaskKind,
    peer: &'a Peer,
}

impl Drop for ExitOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            error!(task = ?self.task, peer = %self.peer, "a task panicked; the process ends");
            std::process::exit(TASK_PANIC_EXIT_CODE);
        }
    }
}

/// Spawns a task whose polls are measured, and whose panic ends the process.
pub fn spawn(
    executor: &LocalExecutor<'static>, task: TaskKind, peer: Peer, work: impl Future<Output = ()> + 'static,
) {
    executor.spawn(measured(task, peer, work)).detach();
}

async fn measured(task: TaskKind, peer: Peer, work: impl Future<Output = ()>) {
    let _exit_on_panic = ExitOnPanic { task, peer: &peer };
    let mut work = pin!(work);
    poll_fn(|context| {
        POLL_METRICS.with(|metrics| {
            let started = Instant::now();
            metrics.poll_started(started);
            let result = work.as_mut().poll(context);
            metrics.poll_ended(task, &peer, started);
            result
        })
    })
    .await;
}

/// Runs the executor's tasks until `until` completes. The executor's own `run` performs 200 polls before it checks
/// anything else, however long they take. Here `until`, sockets and timers are checked after
/// [`REACTOR_POLL_INTERVAL`] at the latest, plus the duration of the poll that is running at that time.
pub async fn run<R>(executor: &LocalExecutor<'static>, until: impl Future<Output = R>) -> R {
    let tasks = async {
        loop {
            executor.tick().await;
            let started = Instant::now();
            while started.elapsed() < REACTOR_POLL_INTERVAL && executor.try_tick() {}
            yield_now().await;
        }
    };
    until.or(tasks).await
}

/// Yields to the other tasks if the current poll has used up its time budget.
pub async fn yield_if_spent() {
    if POLL_METRICS.with(PollMetrics::is_budget_spent) {
        yield_now().await;
    }
}

/// Returns the summary of this thread's polls since the last call, and starts a new one.
pub fn take_summary() -> PollSummary {
    POLL_METRICS.with(|metrics| {
        let mut histogram = metrics.histogram.borrow_mut();
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
