//! Files that background threads write, so that no thread that serves requests waits for a disk. A disk can stall for
//! seconds while others flush to it; meanwhile, data to be written waits in bounded memory.

use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// End of a scripted stall of the disk. Test days and tests stall the disk this way without privileges: every write
/// and rename of this module, of the log and of the record waits for it.
static STALLED_UNTIL: Mutex<Option<Instant>> = Mutex::new(None);

/// Stalls this process's disk for `duration` from now on; zero ends a stall.
pub fn stall_disk(duration: Duration) {
    *lock_ignoring_poison(&STALLED_UNTIL) = Some(Instant::now() + duration);
}

/// Blocks while the disk is stalled.
pub fn wait_while_stalled() {
    loop {
        let until = *lock_ignoring_poison(&STALLED_UNTIL);
        let now = Instant::now();
        match until.filter(|until| *until > now) {
            Some(until) => std::thread::sleep((until - now).min(Duration::from_millis(20))),
            None => return,
        }
    }
}

/// Locks a mutex, also one that a panicking thread has poisoned.
fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// A writer whose every write and flush first waits while the disk is stalled.
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

/// Replaces a file's content: writes a temporary file next to it, syncs that to the disk and renames it over the file,
/// so that a process killed midway leaves either the old content or the new content.
pub fn replace(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("new");
    wait_while_stalled();
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    wait_while_stalled();
    std::fs::rename(&temporary, path)
}

/// Longest time that dropping a [`BackgroundFile`] waits for its last content to be written.
const DROP_TIMEOUT: Duration = Duration::from_secs(2);

/// State shared with the writer thread.
#[derive(Default)]
struct Slot {
    /// Content that waits to be written.
    next: Option<Vec<u8>>,
    writing: bool,
    /// The owner was dropped: the thread ends once no content waits.
    closed: bool,
    superseded: u64,
}

/// Keeps a file at the content given last, written by a thread of its own. At most one content waits; a newer one
/// replaces it. The latest content is on the disk as soon as the write before it has completed and its own after
/// that, so within the time of two writes.
pub struct BackgroundFile {
    slot: Arc<(Mutex<Slot>, Condvar)>,
    thread: Option<JoinHandle<()>>,
}

impl BackgroundFile {
    /// Starts the writer thread. It calls `on_error` for each write that fails.
    pub fn start(path: PathBuf, on_error: impl Fn(&Path, io::Error) + Send + 'static) -> BackgroundFile {
        let slot = Arc::<(Mutex<Slot>, Condvar)>::default();
        let shared = slot.clone();
        let run = move || {
            let (slot, changed) = &*shared;
            loop {
                let mut state = lock_ignoring_poison(slot);
                let bytes = loop {
                    match state.next.take() {
                        Some(bytes) => break bytes,
                        None if state.closed => return,
                        None => {
                            state = changed.wait(state).unwrap_or_else(std::sync::PoisonError::into_inner)
                        }
                    }
                };
                state.writing = true;
                drop(state);
                if let Err(error) = replace(&path, &bytes) {
                    on_error(&path, error);
                }
                lock_ignoring_poison(slot).writing = false;
                changed.notify_all();
            }
        };
        let thread = std::thread::Builder::new().name("keeper".into()).spawn(run).expect("a thread");
        BackgroundFile { slot, thread: Some(thread) }
    }

    /// Gives the file new content; returns at once.
    pub fn set_content(&self, bytes: Vec<u8>) {
        let (slot, changed) = &*self.slot;
        let mut state = lock_ignoring_poison(slot);
        state.superseded += u64::from(state.next.replace(bytes).is_some());
        changed.notify_all();
    }

    /// Number of contents that a newer one replaced before they were written.
    pub fn superseded(&self) -> u64 {
        lock_ignoring_poison(&self.slot.0).superseded
    }

    /// Waits until all content is written, for at most `timeout`; returns whether it is.
    pub fn wait_until_written(&self, timeout: Duration) -> bool {
        let (slot, changed) = &*self.slot;
        let busy = |state: &mut Slot| state.writing || state.next.is_some();
        let waited = changed.wait_timeout_while(lock_ignoring_poison(slot), timeout, busy);
        let (mut state, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
        !busy(&mut state)
    }
}

impl Drop for BackgroundFile {
    fn drop(&mut self) {
        let written = self.wait_until_written(DROP_TIMEOUT);
        lock_ignoring_poison(&self.slot.0).closed = true;
        self.slot.1.notify_all();
        // While the disk is still stalled the thread is left running and not joined.
        if let Some(thread) = self.thread.take().filter(|_| written) {
            let _ = thread.join();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Clock, Event, Writer};

    /// Guards against a stalled disk blocking the threads that replace a file or write events: if it did, this test
    /// would hang during the scripted stall, and the counts before its end would be wrong.
    #[test]
    fn a_stalled_disk_blocks_no_caller_and_receives_the_last_content_whole() {
        let folder = std::env::temp_dir().join(format!("quaypath-background-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (list, record) = (folder.join("nodes.list"), folder.join("record.jsonl"));
        let background_file = BackgroundFile::start(list.clone(), |_, error| panic!("{error}"));
        let writer = Writer::file(&record, Clock::default()).unwrap();
        background_file.set_content(b"first".to_vec());
        assert!(background_file.wait_until_written(Duration::from_secs(60)));
        stall_disk(Duration::from_secs(3600));
        for number in 0..1000 {
            background_file.set_content(format!("content {number}").into_bytes());
            writer.put(Event::NodeStopped { t: f64::from(number), node: "n".into() });
        }
        assert!(background_file.superseded() >= 998);
        assert_eq!(std::fs::read(&list).unwrap(), b"first", "nothing is written during the stall");
        stall_disk(Duration::ZERO);
        assert!(background_file.wait_until_written(Duration::from_secs(60)));
        writer.flush().unwrap();
        assert_eq!(std::fs::read(&list).unwrap(), b"content 999");
        assert_eq!(crate::read(&[record]).unwrap().len(), 1000);
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
