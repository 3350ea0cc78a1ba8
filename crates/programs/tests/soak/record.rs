//! Events that the peers of the gateway observe in a run, each with its time in seconds since the start of the run.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Class of a request; decides whether it may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Repeatable: may be sent again.
    Lookup,
    /// Once-only: may take effect at most once.
    Buy,
}

/// An observation by a peer of the gateway or by the test itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a request was written to a connection that the process had accepted.
    RequestWritten {
        id: String,
        process: usize,
        class: Class,
        /// Time until the deadline of the request, seconds.
        budget: f64,
        /// Whether it is the first request on its connection.
        fresh_connection: bool,
    },
    /// The client received the whole answer.
    AnswerReceived { id: String, status: u16, body: String },
    /// The connection ended before the client had received the whole answer.
    ClosedUnanswered { id: String },
    /// Neither an answer nor the end of the connection came before the client gave up.
    TimedOut { id: String },
    /// The client closed the connection.
    ClientDisconnected { id: String },
    /// The first byte of an attempt reached a node.
    AttemptBegan { id: String, node: usize },
    /// The last byte of an attempt reached a node.
    AttemptArrived {
        id: String,
        node: usize,
        /// The timeout that the attempt carries, seconds.
        timeout: f64,
        /// Earlier attempts of the same request that were still open.
        open_before: usize,
    },
    /// The node refused the attempt without running it.
    AttemptRefused { id: String },
    /// The node answered 200.
    AttemptServed { id: String },
    /// Discovery wrote a list to the process in which the node is draining or missing.
    DrainReported { process: usize, node: usize },
    /// A process was started.
    Started { process: usize },
    /// A process answered its readiness check, or the time for it was up.
    Ready {
        process: usize,
        /// Time since its start, seconds.
        after: f64,
    },
    /// A process was stopped by SIGSTOP and has been continued.
    Paused {
        process: usize,
        /// Seconds.
        duration: f64,
    },
    /// A process was sent SIGTERM.
    Terminated { process: usize },
    /// A process exited with this code; no code if a signal ended it.
    Exited { process: usize, code: Option<i32> },
    /// A process was killed by SIGKILL.
    Killed { process: usize },
    /// Resources that a process used when it was sampled.
    ResourcesSampled { process: usize, resident_kb: usize, descriptors: usize },
    /// The log of a process contains a panic.
    Panicked { process: usize, line: String },
    /// A fault or a client behavior of this kind occurred.
    Occurred(&'static str),
}

/// Collects the events of a run; clones share the events.
#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Recorder {
    pub fn start() -> Self {
        Recorder { began: Instant::now(), events: Arc::default() }
    }

    /// Seconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    /// Records an event that happens now.
    pub fn record(&self, event: Event) {
        let mut events = self.events.lock().expect("no panic");
        // The clock is read under the lock, so that the events are in the order of their times.
        let now = self.now();
        events.push((now, event));
    }

    /// Records an event of an earlier moment.
    pub fn record_at(&self, moment: Instant, event: Event) {
        let time = moment.saturating_duration_since(self.began).as_secs_f64();
        self.events.lock().expect("no panic").push((time, event));
    }

    /// Records that a fault or a client behavior of this kind occurred.
    pub fn record_occurrence(&self, kind: &'static str) {
        self.record(Event::Occurred(kind));
    }

    /// All events, sorted by time.
    pub fn events(&self) -> Vec<(f64, Event)> {
        let mut events = self.events.lock().expect("no panic").clone();
        events.sort_by(|left, right| left.0.total_cmp(&right.0));
        events
    }
}
