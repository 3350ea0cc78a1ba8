//! What crossed the sockets, as clients, targets, the register and the day's runner saw it: one JSON object a
//! line. Nothing in it comes from an initiator's own books.
//!
//! Times are seconds on the clock of [`Clock`], which all writers on one machine share to within microseconds.
//! Each time is taken when the bytes were read or written, so it carries that program's own delay.

pub mod background;

use std::fs::File;
use std::io::{BufRead, BufReader, BufWriter, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender, TrySendError};
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How a transaction ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TransactionEnd {
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
pub enum ListedCondition {
    Ready,
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

/// One line. `mark` names a transaction: the client's operation times 256, plus the number of the client's try.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "lowercase")]
pub enum Event {
    /// A client wrote a command to a gateway. `budget`: how long it waits, seconds.
    #[serde(rename = "ask")]
    CommandSent {
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
    #[serde(rename = "final")]
    FinalAnswer { t: f64, gateway: u32, mark: u64, end: TransactionEnd },
    /// The client stopped waiting and said so (abort or disconnect).
    #[serde(rename = "left")]
    ClientCancelled { t: f64, mark: u64 },
    /// The connection to the gateway ended while the client waited.
    #[serde(rename = "cut")]
    ClientConnectionLost { t: f64, gateway: u32, mark: u64 },
    /// A target read a whole command.
    #[serde(rename = "arrive")]
    ShotArrived {
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
    #[serde(rename = "ran")]
    EffectApplied { t: f64, node: String, mark: u64 },
    /// A tagged repeat was recognised; its effect did not take place again.
    #[serde(rename = "dropped")]
    RepeatDropped { t: f64, node: String, mark: u64 },
    /// The target is done with a shot.
    #[serde(rename = "ended")]
    ShotEnded { t: f64, node: String, gateway: u32, mark: u64, shot: u32, end: ShotEnd },
    /// A target came up; `cold` where at part of its capacity.
    #[serde(rename = "up")]
    NodeStarted { t: f64, node: String, block: i64, zone: String, cold: bool },
    #[serde(rename = "down")]
    NodeStopped { t: f64, node: String },
    /// A cold target was pushed over.
    #[serde(rename = "fell")]
    NodeOverloaded { t: f64, node: String },
    /// The register wrote this to a gateway. `listed_at`: when its list held it.
    #[serde(rename = "told")]
    ListEntrySent { t: f64, gateway: u32, node: String, condition: ListedCondition, listed_at: f64 },
    /// The register's own list changed.
    #[serde(rename = "lists")]
    ListChanged { t: f64, node: String, condition: ListedCondition },
    /// A gateway process started, with nothing but its last list.
    #[serde(rename = "started")]
    GatewayStarted { t: f64, gateway: u32 },
    #[serde(rename = "killed")]
    GatewayKilled { t: f64, gateway: u32 },
    /// A scripted fault began or ended.
    Fault { t: f64, kind: String, on: String, begins: bool },
    /// A scripted fault of links began or ended; the gateways at both ends, nodes and register left out.
    #[serde(rename = "link")]
    LinkFault { t: f64, kind: String, from: Vec<u32>, to: Vec<u32>, size: f64, begins: bool },
    /// A target was asked by a gateway how it does.
    #[serde(rename = "probed")]
    NodeProbed { t: f64, node: String, gateway: u32 },
    /// A datagram on its way from a member of the fleet told what it holds of others. `process` tells two of one
    /// number apart.
    #[serde(rename = "view")]
    MemberView {
        t: f64,
        gateway: u32,
        process: u32,
        #[serde(rename = "life")]
        incarnation: u64,
        live: Vec<u32>,
        dead: Vec<u32>,
    },
    /// What one process sent to others of the fleet since the last such line of it, a second ago or more.
    #[serde(rename = "talked")]
    MemberTraffic {
        t: f64,
        gateway: u32,
        process: u32,
        seconds: f64,
        datagrams: u64,
        bytes: u64,
        longest: u64,
    },
}

impl Event {
    pub fn time(&self) -> f64 {
        match self {
            Event::CommandSent { t, .. }
            | Event::FinalAnswer { t, .. }
            | Event::ClientCancelled { t, .. }
            | Event::ClientConnectionLost { t, .. }
            | Event::ShotArrived { t, .. }
            | Event::EffectApplied { t, .. }
            | Event::RepeatDropped { t, .. }
            | Event::ShotEnded { t, .. }
            | Event::NodeStarted { t, .. }
            | Event::NodeStopped { t, .. }
            | Event::NodeOverloaded { t, .. }
            | Event::ListEntrySent { t, .. }
            | Event::ListChanged { t, .. }
            | Event::GatewayStarted { t, .. }
            | Event::GatewayKilled { t, .. }
            | Event::Fault { t, .. }
            | Event::LinkFault { t, .. }
            | Event::NodeProbed { t, .. }
            | Event::MemberView { t, .. }
            | Event::MemberTraffic { t, .. } => *t,
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
    #[error("{path}: {lost} events were lost: more than {MOST_WAITING} waited for the disk")]
    Lost { path: PathBuf, lost: u64 },
    #[error("{path}, line {line}: not an event of the record: {what}")]
    Line { path: PathBuf, line: usize, what: String },
}

/// Events that wait for the disk at most; beyond them lines are lost, counted and told by [`Writer::flush`].
const MOST_WAITING: usize = 1 << 18;

/// Writes events; shared by the threads of one program, none of which waits for a disk: a file is written by a thread
/// of its own. Without a file events are kept in memory.
#[derive(Clone)]
pub struct Writer {
    pub clock: Clock,
    sink: Arc<Sink>,
}

enum Sink {
    None,
    Memory(Mutex<Vec<Event>>),
    File { path: PathBuf, queue: SyncSender<Note>, lost: AtomicU64 },
}

/// What the writing thread is given.
enum Note {
    Event(Event),
    /// Answered when all before it is on its way to the disk.
    Flush(mpsc::Sender<std::io::Result<()>>),
}

/// Writes what comes until nobody is left to send; the first failure is told at the next flush.
fn write_out(mut file: BufWriter<background::StallableWriter<File>>, queue: &Receiver<Note>) {
    let mut failed = None;
    for note in queue {
        match note {
            Note::Event(event) => {
                let done = serde_json::to_writer(&mut file, &event).map_err(std::io::Error::from);
                if let Err(error) = done.and_then(|()| file.write_all(b"\n")) {
                    failed.get_or_insert(error);
                }
            }
            Note::Flush(answer) => {
                let _ = answer.send(failed.take().map_or_else(|| file.flush(), Err));
            }
        }
    }
}

impl Writer {
    /// Keeps nothing.
    pub fn none() -> Self {
        Writer { clock: Clock::default(), sink: Arc::new(Sink::None) }
    }

    pub fn memory(clock: Clock) -> Self {
        Writer { clock, sink: Arc::new(Sink::Memory(Mutex::default())) }
    }

    pub fn file(path: &Path, clock: Clock) -> Result<Self, Error> {
        let io = |source| Error::Io { path: path.into(), source };
        let file = BufWriter::new(background::StallableWriter(File::create(path).map_err(io)?));
        let (queue, notes) = mpsc::sync_channel(MOST_WAITING);
        let thread = std::thread::Builder::new().name("record".into());
        thread.spawn(move || write_out(file, &notes)).map_err(io)?;
        let sink = Sink::File { path: path.into(), queue, lost: AtomicU64::new(0) };
        Ok(Writer { clock, sink: Arc::new(sink) })
    }

    pub fn put(&self, event: Event) {
        match &*self.sink {
            Sink::None => {}
            Sink::Memory(events) => events.lock().unwrap().push(event),
            Sink::File { queue, lost, .. } => {
                if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
                    queue.try_send(Note::Event(event))
                {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// What memory holds, in order of time; empty for a file.
    pub fn taken(&self) -> Vec<Event> {
        let mut events = match &*self.sink {
            Sink::Memory(events) => std::mem::take(&mut *events.lock().unwrap()),
            Sink::None | Sink::File { .. } => Vec::new(),
        };
        sort(&mut events);
        events
    }

    /// Waits until all that was put is written, and tells if any line was lost. Not for a thread that serves.
    pub fn flush(&self) -> Result<(), Error> {
        let Sink::File { path, queue, lost } = &*self.sink else { return Ok(()) };
        let (answer, answered) = mpsc::channel();
        let gone = || std::io::Error::other("the writing thread ended");
        let sent = queue.send(Note::Flush(answer)).map_err(|_| gone());
        let done = sent.and_then(|()| answered.recv().map_err(|_| gone())?);
        done.map_err(|source| Error::Io { path: path.clone(), source })?;
        match lost.load(Ordering::Relaxed) {
            0 => Ok(()),
            lost => Err(Error::Lost { path: path.clone(), lost }),
        }
    }
}

fn sort(events: &mut [Event]) {
    events.sort_by(|one, other| one.time().total_cmp(&other.time()));
}

/// Longest line of a record that is read, bytes; far above any event's.
const LONGEST: u64 = 64 << 10;

/// One file's events, line by line, in the order written. A torn last line, as a killed writer leaves it, is skipped.
pub struct RecordReader {
    path: PathBuf,
    input: BufReader<File>,
    text: Vec<u8>,
    line: usize,
}

impl RecordReader {
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = File::open(path).map_err(|source| Error::Io { path: path.into(), source })?;
        Ok(RecordReader { path: path.into(), input: BufReader::new(file), text: Vec::new(), line: 0 })
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

impl Iterator for RecordReader {
    type Item = Result<Event, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        self.step().transpose()
    }
}

/// Reads one or more files into one order of time.
pub fn read(paths: &[PathBuf]) -> Result<Vec<Event>, Error> {
    let mut events = Vec::new();
    for path in paths {
        for event in RecordReader::open(path)? {
            events.push(event?);
        }
    }
    sort(&mut events);
    Ok(events)
}
