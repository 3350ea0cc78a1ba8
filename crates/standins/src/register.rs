//! The node register on loopback: knows which processes run, tells it late, and fails when scripted.
//!
//! Lines of JSON, as `quaypath_initiator::list` describes them. Pushed: the whole list after the first line,
//! then every change. Asked: a watch is answered with the whole list and then with changes, a fetch with the
//! whole list; both can fail.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncWriteExt, FutureExt};
use quaypath_initiator::list::{Call, Entry, EntryCondition, News, NewsScope};
use quaypath_initiator::net::read_line;
use quaypath_record::{Event as Line, Listed, Writer};
use quaypath_settings::Mode;

use crate::serve::Running;

/// How often a connection looks for changes that are due, seconds.
const LOOK: f64 = 0.01;
/// Longest call that is read, bytes.
const LONGEST_CALL: usize = 256;

/// One change of the list and when it shows.
#[derive(Clone, Debug)]
struct Change {
    shows_at: f64,
    entry: Entry,
    started_at: f64,
}

#[derive(Default)]
struct Book {
    /// In the order in which they show; the list at a time is all changes that show by then, the last for each node.
    changes: Vec<Change>,
    /// More delay than each change had when it was made.
    fails: bool,
    late: f64,
}

/// A register that runs on a thread of its own.
pub struct Register {
    pub address: SocketAddr,
    book: Arc<Mutex<Book>>,
    record: Writer,
    _running: Running,
}

fn listed(condition: EntryCondition) -> Listed {
    match condition {
        EntryCondition::Ready => Listed::Ready,
        EntryCondition::Draining => Listed::Draining,
        EntryCondition::Gone => Listed::Gone,
    }
}

impl Register {
    pub fn start(mode: Mode, listener: TcpListener, record: Writer) -> io::Result<Register> {
        let address = listener.local_addr()?;
        let book = Arc::<Mutex<Book>>::default();
        let (shared, writer) = (book.clone(), record.clone());
        let running = Running::start("register", move |executor| {
            let listener = Async::new(listener).expect("a listener for the reactor");
            executor.spawn(accept(Rc::downgrade(executor), listener, mode, shared, writer)).detach();
        });
        Ok(Register { address, book, record, _running: running })
    }

    /// The list gets this entry, `after` seconds from now. A node that started long ago has no start time.
    pub fn list(
        &self, node: &str, zone: &str, block: i64, condition: EntryCondition, started: Option<f64>,
        after: f64,
    ) {
        let now = self.record.clock.now();
        let mut book = self.book.lock().unwrap();
        let shows_at = now + after + if after > 0.0 { book.late } else { 0.0 };
        let start = started.map_or(0, |at| (at * 1e6) as u64);
        let (node, zone) = (node.to_string(), zone.to_string());
        let entry = Entry { node: node.clone(), zone, block, condition, age: started.map(|_| 0.0), start };
        // Changes of one node show in the order made.
        let earlier = book.changes.iter().filter(|change| change.entry.node == node);
        let shows_at = earlier.map(|change| change.shows_at).fold(shows_at, f64::max);
        let at = book.changes.partition_point(|change| change.shows_at <= shows_at);
        book.changes.insert(at, Change { shows_at, entry, started_at: started.unwrap_or(0.0) });
        self.record.put(Line::Lists { t: shows_at, node, condition: listed(condition) });
    }

    pub fn fails(&self, fails: bool) {
        self.book.lock().unwrap().fails = fails;
    }

    /// Changes made from now on show this much later.
    pub fn late(&self, late: f64) {
        self.book.lock().unwrap().late = late;
    }
}

async fn accept(
    executor: Weak<LocalExecutor<'static>>, listener: Async<TcpListener>, mode: Mode, book: Arc<Mutex<Book>>,
    record: Writer,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(Duration::from_millis(20)).await;
            continue;
        };
        let Some(executor) = executor.upgrade() else { return };
        let talk = talk(stream, mode, book.clone(), record.clone());
        executor
            .spawn(async move {
                let _ = talk.await;
            })
            .detach();
    }
}

struct Talk {
    gateway: u32,
    /// Changes up to this one are told.
    told: usize,
    watches: bool,
    out: Vec<u8>,
    lines: Vec<(String, Listed, f64)>,
}

async fn talk(
    stream: Async<TcpStream>, mode: Mode, book: Arc<Mutex<Book>>, record: Writer,
) -> io::Result<()> {
    let _ = stream.get_ref().set_nodelay(true);
    let state = Talk { gateway: 0, told: 0, watches: false, out: Vec::new(), lines: Vec::new() };
    let state = Rc::new(RefCell::new(state));
    let reads = async {
        let mut held = Vec::new();
        while let Some(line) = read_line(&stream, &mut held, LONGEST_CALL).await? {
            let call: Call = serde_json::from_slice(&line)?;
            let mut this = state.borrow_mut();
            let mut book = book.lock().unwrap();
            match call {
                Call::Hello { gateway } => {
                    this.gateway = gateway;
                    if mode == Mode::Pushed {
                        this.watches = true;
                        this.whole(&mut book, record.clock.now());
                    }
                }
                _ if book.fails => this.say(NewsScope::Failed, 0, Vec::new()),
                Call::Watch { on } => {
                    this.watches = on;
                    this.whole(&mut book, record.clock.now());
                }
                Call::Fetch => this.whole(&mut book, record.clock.now()),
            }
        }
        Ok(())
    };
    let writes = async {
        loop {
            let (out, lines, gateway) = {
                let mut this = state.borrow_mut();
                let now = record.clock.now();
                if this.watches {
                    this.changes(&book.lock().unwrap(), now);
                }
                (std::mem::take(&mut this.out), std::mem::take(&mut this.lines), this.gateway)
            };
            if out.is_empty() {
                Timer::after(Duration::from_secs_f64(LOOK)).await;
                continue;
            }
            let mut writer = &stream;
            writer.write_all(&out).await?;
            let t = record.clock.now();
            for (node, condition, listed_at) in lines {
                record.put(Line::Told { t, gateway, node, condition, listed_at });
            }
        }
    };
    reads.or(writes).await
}

impl Talk {
    fn say(&mut self, scope: NewsScope, revision: usize, entries: Vec<Entry>) {
        let news = News { scope, revision: revision as u64, entries };
        serde_json::to_writer(&mut self.out, &news).expect("news can be written");
        self.out.push(b'\n');
    }

    fn entry(&mut self, change: &Change, now: f64) -> Entry {
        let mut entry = change.entry.clone();
        entry.age = entry.age.map(|_| (now - change.started_at).max(0.0));
        self.lines.push((entry.node.clone(), listed(entry.condition), change.shows_at));
        entry
    }

    fn whole(&mut self, book: &mut Book, now: f64) {
        let shown = book.changes.partition_point(|change| change.shows_at <= now);
        let mut entries: Vec<Entry> = Vec::new();
        for change in &book.changes[..shown] {
            entries.retain(|entry| entry.node != change.entry.node);
            if change.entry.condition != EntryCondition::Gone {
                let entry = self.entry(change, now);
                entries.push(entry);
            } else {
                self.lines.push((change.entry.node.clone(), Listed::Gone, change.shows_at));
            }
        }
        self.told = shown;
        self.say(NewsScope::Whole, shown, entries);
    }

    fn changes(&mut self, book: &Book, now: f64) {
        let shown = book.changes.partition_point(|change| change.shows_at <= now);
        if shown <= self.told {
            return;
        }
        let new: Vec<Change> = book.changes[self.told..shown].to_vec();
        let entries = new.iter().map(|change| self.entry(change, now)).collect();
        self.told = shown;
        self.say(NewsScope::Changes, shown, entries);
    }
}
