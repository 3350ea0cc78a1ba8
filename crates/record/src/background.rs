//! Files written by threads of their own, so that nothing that serves waits for a disk. A disk can stand still for
//! seconds while others flush to it; what is to be written waits in a bounded place meanwhile.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A disk that stands still by script: days and tests hold it up without privileges. Every write and rename of this
/// module, the log's and the record's passes through it.
static STANDS_UNTIL: Mutex<Option<Instant>> = Mutex::new(None);

/// From now on this process's disk takes nothing for so long; nothing more after zero.
pub fn stall_disk(lasts: Duration) {
    *guard(&STANDS_UNTIL) = Some(Instant::now() + lasts);
}

/// Waits for as long as the disk stands still.
pub fn wait_while_stalled() {
    loop {
        let until = *guard(&STANDS_UNTIL);
        let now = Instant::now();
        match until.filter(|until| *until > now) {
            Some(until) => std::thread::sleep((until - now).min(Duration::from_millis(20))),
            None => return,
        }
    }
}

fn guard<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A writer whose every write passes the disk that may stand still.
pub struct StallableWriter<W>(pub W);

impl<W: Write> Write for StallableWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        wait_while_stalled();
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        wait_while_stalled();
        self.0.flush()
    }
}

/// Writes beside the file, makes it durable and renames it, so that a kill leaves the old content or the new one.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let beside = path.with_extension("new");
    wait_while_stalled();
    let mut file = std::fs::File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    wait_while_stalled();
    std::fs::rename(&beside, path)
}

/// How long the last content may take to get to disk when its keeper goes.
const LAST_WAIT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct Slot {
    next: Option<Vec<u8>>,
    writing: bool,
    over: bool,
    superseded: u64,
}

/// Keeps a file at the content given last. One content waits at most: a newer one takes its place. The latest is on
/// disk as soon as the write before it is through, so within the time of two writes.
pub struct BackgroundFile {
    slot: Arc<(Mutex<Slot>, Condvar)>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundFile {
    /// `failed` is told of each write that fails, on the keeper's thread.
    pub fn start(path: PathBuf, failed: impl Fn(&Path, io::Error) + Send + 'static) -> BackgroundFile {
        let slot = Arc::<(Mutex<Slot>, Condvar)>::default();
        let shared = slot.clone();
        let run = move || {
            let (slot, changed) = &*shared;
            loop {
                let mut at = guard(slot);
                let bytes = loop {
                    match at.next.take() {
                        Some(bytes) => break bytes,
                        None if at.over => return,
                        None => at = changed.wait(at).unwrap_or_else(std::sync::PoisonError::into_inner),
                    }
                };
                at.writing = true;
                drop(at);
                if let Err(error) = replace(&path, &bytes) {
                    failed(&path, error);
                }
                guard(slot).writing = false;
                changed.notify_all();
            }
        };
        let thread = std::thread::Builder::new().name("keeper".into()).spawn(run).expect("a thread");
        BackgroundFile { slot, thread: Some(thread) }
    }

    /// Gives the file new content; returns at once.
    pub fn write(&self, bytes: Vec<u8>) {
        let (slot, changed) = &*self.slot;
        let mut at = guard(slot);
        at.superseded += u64::from(at.next.replace(bytes).is_some());
        changed.notify_all();
    }

    /// Contents that a newer one took the place of before they were written.
    pub fn superseded(&self) -> u64 {
        guard(&self.slot.0).superseded
    }

    /// Waits until all is written, or so long; whether it is.
    pub fn wait_until_written(&self, within: Duration) -> bool {
        let (slot, changed) = &*self.slot;
        let busy = |at: &mut Slot| at.writing || at.next.is_some();
        let waited = changed.wait_timeout_while(guard(slot), within, busy);
        let (mut at, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        !busy(&mut at)
    }
}

impl Drop for BackgroundFile {
    fn drop(&mut self) {
        let settled = self.wait_until_written(LAST_WAIT);
        guard(&self.slot.0).over = true;
        self.slot.1.notify_all();
        // A disk that still stands keeps its thread, and nobody waits for it.
        if let Some(thread) = self.thread.take().filter(|_| settled) {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Clock, Event, Writer};

    /// Keeping and recording must not wait for a disk that stands still: were they to, this test would hang until the
    /// disk goes on, and what it counts before that would not be so.
    #[test]
    fn a_disk_that_stands_still_holds_nobody_up_and_gets_the_last_content_whole() {
        let folder = std::env::temp_dir().join(format!("quaypath-apart-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (list, record) = (folder.join("nodes.list"), folder.join("record.jsonl"));
        let keeper = BackgroundFile::start(list.clone(), |_, error| panic!("{error}"));
        let writer = Writer::file(&record, Clock::default()).unwrap();
        keeper.write(b"first".to_vec());
        assert!(keeper.wait_until_written(Duration::from_secs(60)));
        stall_disk(Duration::from_secs(3600));
        for nth in 0..1000 {
            keeper.write(format!("content {nth}").into_bytes());
            writer.put(Event::NodeStopped { t: f64::from(nth), node: "n".into() });
        }
        assert!(keeper.superseded() >= 998);
        assert_eq!(std::fs::read(&list).unwrap(), b"first", "nothing passes while it stands");
        stall_disk(Duration::ZERO);
        assert!(keeper.wait_until_written(Duration::from_secs(60)));
        writer.flush().unwrap();
        assert_eq!(std::fs::read(&list).unwrap(), b"content 999");
        assert_eq!(crate::read(&[record]).unwrap().len(), 1000);
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
