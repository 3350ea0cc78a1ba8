//! Record of what crossed the sockets, as observed by clients, storage nodes, the node register and the runner of
//! a test day: one JSON object per line. It contains nothing from an initiator's own counters.
//!
//! Times are seconds on the clock of [`Clock`], which all writers on one machine share to within microseconds.
//! Each time is taken when the bytes were read or written, so it includes the delay of the recording program.

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

/// How a shot ended at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ShotEnd {
    Answered,
    /// Answered with an error; the command may have run.
    Failed,
    /// Rejected before the command was looked at; it did not run.
    Refused,
    /// The initiator cancelled it.
    Aborted,
    /// The connection ended first.
    Broken,
    /// A scripted fault discarded the answer after it was made.
    Lost,
}

/// State in which the node register lists a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedCondition {
    Ready,
    Draining,
    #[serde(rename = "gone")]
    Removed,
}

/// One line of the record.
///
/// Fields that several events share: `t` is the time in seconds, `gateway` the number of an initiator, `node` the
/// address of a node, and `mark` identifies a transaction: the number of the client's operation times 256, plus
/// the number of the client's try.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e", rename_all = "lowercase")]
pub enum Event {
    /// A client wrote a command to a gateway. `band` is an index into the deployment's bands; `key` is the ordering
    /// key, 0 for none; `budget` is how long the client waits, in seconds.
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
    /// The client read the final answer to its command.
    #[serde(rename = "final")]
    FinalAnswer { t: f64, gateway: u32, mark: u64, end: TransactionEnd },
    /// The client stopped waiting and told the gateway so, with an abort or by disconnecting.
    #[serde(rename = "left")]
    ClientCancelled { t: f64, mark: u64 },
    /// The connection to the gateway ended while the client waited.
    #[serde(rename = "cut")]
    ClientConnectionLost { t: f64, gateway: u32, mark: u64 },
    /// A node read a whole command. `shot` is the number of the shot.
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
    /// The command took effect.
    #[serde(rename = "ran")]
    EffectApplied { t: f64, node: String, mark: u64 },
    /// The node recognised a repeat of a tagged command, which did not take effect again.
    #[serde(rename = "dropped")]
    RepeatDropped { t: f64, node: String, mark: u64 },
    /// The node has finished with a shot.
    #[serde(rename = "ended")]
    ShotEnded { t: f64, node: String, gateway: u32, mark: u64, shot: u32, end: ShotEnd },
    /// A node's process started; `cold` if it starts at part of its capacity.
    #[serde(rename = "up")]
    NodeStarted { t: f64, node: String, block: i64, zone: String, cold: bool },
    /// A node's process stopped.
    #[serde(rename = "down")]
    NodeStopped { t: f64, node: String },
    /// A cold node failed under more load than it could take.
    #[serde(rename = "fell")]
    NodeOverloaded { t: f64, node: String },
    /// The register wrote an entry of its list to a gateway. `listed_at` is the time from which the list holds this
    /// entry, in seconds.
    #[serde(rename = "told")]
    ListEntrySent { t: f64, gateway: u32, node: String, condition: ListedCondition, listed_at: f64 },
    /// An entry of the register's own list changes at `t`.
    #[serde(rename = "lists")]
    ListChanged { t: f64, node: String, condition: ListedCondition },
    /// A gateway process started; all it has from earlier runs is its last node list.
    #[serde(rename = "started")]
    GatewayStarted { t: f64, gateway: u32 },
    /// A gateway process was killed.
    #[serde(rename = "killed")]
    GatewayKilled { t: f64, gateway: u32 },
    /// A scripted fault began (`begins`) or ended. `on` is a node's address, a gateway's number or `register`.
    Fault { t: f64, kind: String, on: String, begins: bool },
    /// A scripted fault of the links between gateways began (`begins`) or ended. `from` and `to` are the gateways at
    /// both ends; nodes and the register are left out. `size` depends on the kind: a part lost, or seconds of delay.
    #[serde(rename = "link")]
    LinkFault { t: f64, kind: String, from: Vec<u32>, to: Vec<u32>, size: f64, begins: bool },
    /// A gateway probed the health of a node.
    #[serde(rename = "probed")]
    NodeProbed { t: f64, node: String, gateway: u32 },
    /// A datagram from a member of the fleet carried its view of other members: those it holds to be live and dead.
    /// `process` distinguishes two processes that run under one gateway number.
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
    /// Traffic that one process sent to other members of the fleet since the previous event of this kind for it,
    /// `seconds` ago, which is at least one second. `longest` is its longest datagram, in bytes.
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
    /// Time of the event, seconds on the clock of [`Clock`].
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

/// Seconds since the epoch: the system clock is read once, and the monotonic clock counts from there. The clocks of
/// two programs agree, and none jumps when the system clock is set.
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
    /// Current time, seconds since the epoch.
    pub fn now(&self) -> f64 {
        self.base + self.start.elapsed().as_secs_f64()
    }
}

/// Fault in writing or reading a record.
#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {lost} events were dropped: the queue to the disk holds at most {MAX_QUEUED_EVENTS}")]
    Lost { path: PathBuf, lost: u64 },
    #[error("{path}, line {line}: not an event of the record: {reason}")]
    Line { path: PathBuf, line: usize, reason: String },
}

/// Maximum number of events that wait for the disk. Further events are dropped and counted, and [`Writer::flush`]
/// reports them.
const MAX_QUEUED_EVENTS: usize = 1 << 18;

/// Writes events. The threads of one program share it, and none of them waits for a disk: a separate thread writes
/// the file. Without a file, events are kept in memory or discarded.
#[derive(Clone)]
pub struct Writer {
    pub clock: Clock,
    sink: Arc<Sink>,
}

enum Sink {
    None,
    Memory(Mutex<Vec<Event>>),
    File { path: PathBuf, queue: SyncSender<Message>, lost: AtomicU64 },
}

/// Message to the writer thread.
enum Message {
    Event(Event),
    /// Requests a flush; the reply follows once everything queued before it has been handed to the operating system.
    Flush(mpsc::Sender<std::io::Result<()>>),
}

/// Writes queued events until all senders are dropped. The first failure is reported at the next flush.
fn run_writer(mut file: BufWriter<background::StallableWriter<File>>, queue: &Receiver<Message>) {
    let mut first_error = None;
    for message in queue {
        match message {
            Message::Event(event) => {
                let written = serde_json::to_writer(&mut file, &event).map_err(std::io::Error::from);
                if let Err(error) = written.and_then(|()| file.write_all(b"\n")) {
                    first_error.get_or_insert(error);
                }
            }
            Message::Flush(reply) => {
                let _ = reply.send(first_error.take().map_or_else(|| file.flush(), Err));
            }
        }
    }
}

impl Writer {
    /// Discards all events.
    pub fn disabled() -> Self {
        Writer { clock: Clock::default(), sink: Arc::new(Sink::None) }
    }

    /// Keeps events in memory until [`Writer::take_events`].
    pub fn memory(clock: Clock) -> Self {
        Writer { clock, sink: Arc::new(Sink::Memory(Mutex::default())) }
    }

    /// Creates the file, replacing an existing one, and starts the thread that writes it.
    pub fn file(path: &Path, clock: Clock) -> Result<Self, Error> {
        let io = |source| Error::Io { path: path.into(), source };
        let file = BufWriter::new(background::StallableWriter(File::create(path).map_err(io)?));
        let (queue, messages) = mpsc::sync_channel(MAX_QUEUED_EVENTS);
        let thread = std::thread::Builder::new().name("record".into());
        thread.spawn(move || run_writer(file, &messages)).map_err(io)?;
        let sink = Sink::File { path: path.into(), queue, lost: AtomicU64::new(0) };
        Ok(Writer { clock, sink: Arc::new(sink) })
    }

    /// Adds an event without waiting; an event that finds the queue to the disk full is dropped and counted.
    pub fn put(&self, event: Event) {
        match &*self.sink {
            Sink::None => {}
            Sink::Memory(events) => events.lock().unwrap().push(event),
            Sink::File { queue, lost, .. } => {
                if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
                    queue.try_send(Message::Event(event))
                {
                    lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        }
    }

    /// Removes the events kept in memory and returns them in order of time; empty for a file.
    pub fn take_events(&self) -> Vec<Event> {
        let mut events = match &*self.sink {
            Sink::Memory(events) => std::mem::take(&mut *events.lock().unwrap()),
            Sink::None | Sink::File { .. } => Vec::new(),
        };
        sort(&mut events);
        events
    }

    /// Waits until all events so far are written; an error if any was dropped. It blocks, so it must not be called on
    /// a thread that serves requests.
    pub fn flush(&self) -> Result<(), Error> {
        let Sink::File { path, queue, lost } = &*self.sink else { return Ok(()) };
        let (reply, replied) = mpsc::channel();
        let thread_ended = || std::io::Error::other("the writer thread has ended");
        let sent = queue.send(Message::Flush(reply)).map_err(|_| thread_ended());
        let flushed = sent.and_then(|()| replied.recv().map_err(|_| thread_ended())?);
        flushed.map_err(|source| Error::Io { path: path.clone(), source })?;
        match lost.load(Ordering::Relaxed) {
            0 => Ok(()),
            lost => Err(Error::Lost { path: path.clone(), lost }),
        }
    }
}

fn sort(events: &mut [Event]) {
    events.sort_by(|left, right| left.time().total_cmp(&right.time()));
}

/// Maximum length of a line that is read, bytes; far above that of any event.
const MAX_LINE_BYTES: u64 = 64 << 10;

/// Iterates over the events of one file in the order written. An incomplete last line, as a killed writer leaves it,
/// is skipped.
pub struct RecordReader {
    path: PathBuf,
    input: BufReader<File>,
    text: Vec<u8>,
    /// Number of the current line, from 1.
    line: usize,
}

impl RecordReader {
    /// Opens a record file at its first line.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let file = File::open(path).map_err(|source| Error::Io { path: path.into(), source })?;
        Ok(RecordReader { path: path.into(), input: BufReader::new(file), text: Vec::new(), line: 0 })
    }

    /// Returns the next event, or `None` at the end of the file.
    fn next_event(&mut self) -> Result<Option<Event>, Error> {
        self.text.clear();
        self.line += 1;
        let mut bounded = (&mut self.input).take(MAX_LINE_BYTES);
        let count = bounded.read_until(b'\n', &mut self.text);
        let count = count.map_err(|source| Error::Io { path: self.path.clone(), source })?;
        if count == 0 {
            return Ok(None);
        }
        let incomplete = !self.text.ends_with(b"\n") && (count as u64) < MAX_LINE_BYTES;
        match serde_json::from_slice(&self.text) {
            Ok(event) => Ok(Some(event)),
            Err(_) if incomplete => Ok(None),
            Err(error) => {
                Err(Error::Line { path: self.path.clone(), line: self.line, reason: error.to_string() })
            }
        }
    }
}

impl Iterator for RecordReader {
    type Item = Result<Event, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        self.next_event().transpose()
    }
}

/// Reads one or more files and returns their events merged in order of time.
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
