//! Polls of the loop's tasks are measured, and long ones are told with who caused them.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use quaypath_initiator::polls::{spawn, take_summary, Peer, TaskKind};

/// Keeps what is logged.
#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs one task of a single poll to its end, and gives what was logged.
fn logged(kind: TaskKind, peer: Peer, work: impl FnOnce() + 'static) -> String {
    let kept = Kept::default();
    let writer = kept.clone();
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        let executor = LocalExecutor::new();
        spawn(&executor, kind, peer, async move { work() });
        while executor.try_tick() {}
    });
    let bytes = kept.0.lock().expect("no panic").clone();
    String::from_utf8(bytes).expect("text")
}

/// Guards against a task that keeps the loop and leaves no trace of it.
#[test]
fn a_long_poll_is_told_with_its_task_and_peer() {
    take_summary();
    let peer = Peer::Node("s-1".into());
    let said = logged(TaskKind::Attempt, peer, || thread::sleep(Duration::from_millis(120)));
    assert!(said.contains("task=Attempt") && said.contains("peer=s-1"), "{said}");
    let summary = take_summary();
    assert_eq!(summary.polls, 1);
    assert!(summary.longest >= 120_000, "{summary:?}");
}

/// Guards against a slow machine taken for a busy task: a poll that was held up took little processor time.
#[test]
fn a_long_poll_tells_its_processor_time() {
    let said = logged(TaskKind::Client, Peer::None, || thread::sleep(Duration::from_millis(120)));
    let cpu = said.split("cpu_ms=").nth(1).and_then(|rest| rest.split_whitespace().next());
    let cpu: u64 = cpu.and_then(|text| text.parse().ok()).expect("a figure");
    assert!(cpu < 100, "{said}");
}

/// Guards against warnings of usual polls, and against counts that are carried over to the next report.
#[test]
fn short_polls_are_counted_and_not_told() {
    take_summary();
    let said = logged(TaskKind::Timers, Peer::None, || {});
    assert_eq!(said, "");
    assert_eq!(take_summary().polls, 1);
    assert_eq!(take_summary().polls, 0);
}
