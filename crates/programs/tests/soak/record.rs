//! What peers of the gateway saw in a run, with its time in seconds since the run's begin.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// What a request may be repeated for, by its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// May be sent again.
    Lookup,
    /// May have its effect once only.
    Buy,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The last byte of a request was written to a connection that the process had accepted.
    Written {
        id: String,
        process: usize,
        class: Class,
        budget: f64,
        fresh_connection: bool,
    },
    /// Its answer came whole.
    Answered {
        id: String,
        status: u16,
        body: String,
    },
    /// Its connection ended without a whole answer.
    Unanswered {
        id: String,
    },
    /// Nothing came for as long as anything could.
    Silent {
        id: String,
    },
    /// Its client closed the connection.
    Left {
        id: String,
    },
    /// The first byte of an attempt came.
    AttemptBegan {
        id: String,
        node: usize,
    },
    /// Its last byte came; what it says that it waits, seconds, and how many attempts before it were still open.
    AttemptArrived {
        id: String,
        node: usize,
        wait: f64,
        open_before: usize,
    },
    /// The node turned it away without running it.
    TurnedAway {
        id: String,
    },
    /// The node answered 200.
    Served {
        id: String,
    },
    /// Discovery wrote a list in which the node drains, or is no longer there.
    DrainTold {
        process: usize,
        node: usize,
    },
    Started {
        process: usize,
    },
    Ready {
        process: usize,
        after: f64,
    },
    Paused {
        process: usize,
        lasts: f64,
    },
    Terminated {
        process: usize,
    },
    /// It ended by itself, with this code.
    Exited {
        process: usize,
        code: Option<i32>,
    },
    Killed {
        process: usize,
    },
    /// What the process held when it was looked at.
    Held {
        process: usize,
        resident_kb: usize,
        descriptors: usize,
    },
    /// A line of its log told of a panic.
    Panicked {
        process: usize,
        line: String,
    },
    /// A planned trouble struck.
    Struck(&'static str),
}

#[derive(Clone)]
pub struct Recorder {
    began: Instant,
    events: Arc<Mutex<Vec<(f64, Event)>>>,
}

impl Recorder {
    pub fn start() -> Self {
        Recorder { began: Instant::now(), events: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn note(&self, event: Event) {
        let mut events = self.events.lock().expect("no panic");
        // Read under the lock, so that the order is that of the times.
        let now = self.now();
        events.push((now, event));
    }

    pub fn note_at(&self, at: Instant, event: Event) {
        let at = at.saturating_duration_since(self.began).as_secs_f64();
        self.events.lock().expect("no panic").push((at, event));
    }

    pub fn strike(&self, what: &'static str) {
        self.note(Event::Struck(what));
    }

    /// All events in the order of their times.
    pub fn events(&self) -> Vec<(f64, Event)> {
        let mut events = self.events.lock().expect("no panic").clone();
        events.sort_by(|one, other| one.0.total_cmp(&other.0));
        events
    }
}
