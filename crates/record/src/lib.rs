//! What crossed the sockets, as clients, targets, the register and the day's runner saw it: one JSON object a
//! line. Nothing in it comes from an initiator's own books.
//!
//! Times are seconds on the clock of [`Clock`], which all writers on one machine share to within microseconds.
//! Each time is taken when the bytes were read or written, so it carries that program's own delay.

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How a transaction ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    Settled,
    Declined,
    Scrapped,
}

/// How a shot ended at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShotEnd {
    Answered,
    /// Answered with an error; it may have run.
    Failed,
    /// Turned away unseen.
    Refused,
    /// The initiator called it off.
    Aborted,
    /// The connection ended first.
    Broken,
    /// The answer was made and lost on purpose, by a scripted fault.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Listed {
    Ready,
    Draining,
    Gone,
}

/// One line. `mark` names a transaction: the client's operation times 256, plus the number of the client's try.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "lowercase")]
pub enum Event {
    /// A client wrote a command to a gateway. `budget`: how long it waits, seconds.
    Ask {
        t: f64,
        gateway: u32,
        mark: u64,
        volume: u32,
        band: usize,
        units: u32,
        key: u64,
        budget: f64,
    },
    /// Its final answer was read.
    Final {
        t: f64,
        gateway: u32,
        mark: u64,
        end: End,
    },
    /// The client stopped waiting and said so (abort or disconnect).
    Left {
        t: f64,
        mark: u64,
    },
    /// The connection to the gateway ended while the client waited.
    Cut {
        t: f64,
        gateway: u32,
        mark: u64,
    },
    /// A target read a whole command.
    Arrive {
        t: f64,
        node: String,
        gateway: u32,
        mark: u64,
        shot: u32,
        volume: u32,
        units: u32,
        band: usize,
    },
    /// The command's effect took place.
    Ran {
        t: f64,
        node: String,
        mark: u64,
    },
    /// A tagged repeat was recognised; its effect did not take place again.
    Dropped {
        t: f64,
        node: String,
        mark: u64,
    },
    /// The target is done with a shot.
    Ended {
        t: f64,
        node: String,
        gateway: u32,
        mark: u64,
        shot: u32,
        end: ShotEnd,
    },
    /// A target came up; `cold` where at part of its capacity.
    Up {
        t: f64,
        node: String,
        block: i64,
        zone: String,
        cold: bool,
    },
    Down {
        t: f64,
        node: String,
    },
    /// A cold target was pushed over.
    Fell {
        t: f64,
        node: String,
    },
    /// The register wrote this to a gateway. `listed_at`: when its list held it.
    Told {
        t: f64,
        gateway: u32,
        node: String,
        condition: Listed,
        listed_at: f64,
    },
    /// The register's own list changed.
    Lists {
        t: f64,
        node: String,
        condition: Listed,
    },
    /// A gateway process started, with nothing but its last list.
    Started {
        t: f64,
        gateway: u32,
    },
    Killed {
        t: f64,
        gateway: u32,
    },
    /// A scripted fault began or ended.
    Fault {
        t: f64,
        kind: String,
        on: String,
        begins: bool,
    },
}

impl Event {
    pub fn time(&self) -> f64 {
        match self {
            Event::Ask { t, .. }
            | Event::Final { t, .. }
            | Event::Left { t, .. }
            | Event::Cut { t, .. }
            | Event::Arrive { t, .. }
            | Event::Ran { t, .. }
            | Event::Dropped { t, .. }
            | Event::Ended { t, .. }
            | Event::Up { t, .. }
            | Event::Down { t, .. }
            | Event::Fell { t, .. }
            | Event::Told { t, .. }
            | Event::Lists { t, .. }
            | Event::Started { t, .. }
            | Event::Killed { t, .. }
            | Event::Fault { t, .. } => *t,
        }
    }
}

/// Seconds since the epoch, stepping with the monotonic clock from one reading of the system's: two programs
/// agree, and none jumps when the system's clock is set.
#[derive(Clone, Copy, Debug)]
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

#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}, line {line}: not an event of the record: {what}")]
    Line { path: PathBuf, line: usize, what: String },
}

/// Writes events; shared by the threads of one program. Without a file it keeps them in memory.
#[derive(Clone)]
pub struct Writer {
    pub clock: Clock,
    sink: Arc<Mutex<Sink>>,
}

enum Sink {
    None,
    Memory(Vec<Event>),
    File { path: PathBuf, file: BufWriter<File>, failed: Option<std::io::Error> },
}

impl Writer {
    /// Keeps nothing.
    pub fn none() -> Self {
        Writer { clock: Clock::default(), sink: Arc::new(Mutex::new(Sink::None)) }
    }

    pub fn memory(clock: Clock) -> Self {
        Writer { clock, sink: Arc::new(Mutex::new(Sink::Memory(Vec::new()))) }
    }

    pub fn file(path: &Path, clock: Clock) -> Result<Self, Error> {
        let file = File::create(path).map_err(|source| Error::Io { path: path.into(), source })?;
        let sink = Sink::File { path: path.into(), file: BufWriter::new(file), failed: None };
        Ok(Writer { clock, sink: Arc::new(Mutex::new(sink)) })
    }

    pub fn put(&self, event: Event) {
        match &mut *self.sink.lock().unwrap() {
            Sink::None => {}
            Sink::Memory(events) => events.push(event),
            Sink::File { file, failed, .. } => {
                let done = serde_json::to_writer(&mut *file, &event).map_err(std::io::Error::from);
                if let Err(error) = done.and_then(|()| file.write_all(b"\n")) {
                    failed.get_or_insert(error);
                }
            }
        }
    }

    /// What memory holds, in order of time; empty for a file.
    pub fn taken(&self) -> Vec<Event> {
        let mut events = match &mut *self.sink.lock().unwrap() {
            Sink::Memory(events) => std::mem::take(events),
            Sink::None | Sink::File { .. } => Vec::new(),
        };
        sort(&mut events);
        events
    }

    /// Writes what is buffered, and tells if any line was lost.
    pub fn flush(&self) -> Result<(), Error> {
        match &mut *self.sink.lock().unwrap() {
            Sink::None | Sink::Memory(_) => Ok(()),
            Sink::File { path, file, failed } => match failed.take().map_or_else(|| file.flush(), Err) {
                Ok(()) => Ok(()),
                Err(source) => Err(Error::Io { path: path.clone(), source }),
            },
        }
    }
}

fn sort(events: &mut [Event]) {
    events.sort_by(|one, other| one.time().total_cmp(&other.time()));
}

/// Longest line of a record that is read, bytes; far above any event's.
const LONGEST: u64 = 64 << 10;

/// One file's events, line by line, in the order written. A torn last line, as a killed writer leaves it, is skipped.
pub struct Lines {
    path: PathBuf,
    input: BufReader<File>,
    text: Vec<u8>,
    line: usize,
}

impl Lines {
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = File::open(path).map_err(|source| Error::Io { path: path.into(), source })?;
        Ok(Lines { path: path.into(), input: BufReader::new(file), text: Vec::new(), line: 0 })
    }

    /// The next event; nothing at the end.
    fn step(&mut self) -> Result<Option<Event>, Error> {
        self.text.clear();
        self.line += 1;
        let mut bounded = (&mut self.input).take(LONGEST);
        let count = bounded.read_until(b'\n', &mut self.text);
        let count = count.map_err(|source| Error::Io { path: self.path.clone(), source })?;
        if count == 0 {
            return Ok(None);
        }
        let torn = !self.text.ends_with(b"\n") && (count as u64) < LONGEST;
        match serde_json::from_slice(&self.text) {
            Ok(event) => Ok(Some(event)),
            Err(_) if torn => Ok(None),
            Err(error) => {
                Err(Error::Line { path: self.path.clone(), line: self.line, what: error.to_string() })
            }
        }
    }
}

impl Iterator for Lines {
    type Item = Result<Event, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        self.step().transpose()
    }
}

/// Reads one or more files into one order of time.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Event>, Error> {
    let mut events = Vec::new();
    for path in paths {
        for event in Lines::open(path)? {
            events.push(event?);
        }
    }
    sort(&mut events);
    Ok(events)
}
