//! Tests that polls of the loop's tasks are measured, and that long ones are logged with their task and peer.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use quaypath_initiator::polls::{spawn, take_summary, Peer, TaskKind};

/// A writer that collects the log output.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no thread panicked").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Runs a task of a single poll to its end, and returns the log output.
fn run_and_collect_log(kind: TaskKind, peer: Peer, work: impl FnOnce() + 'static) -> String {
    let buffer = LogBuffer::default();
    let writer = buffer.clone();
    let subscriber = tracing_subscriber::fmt().with_ansi(false).with_writer(move || writer.clone()).finish();
    tracing::subscriber::with_default(subscriber, || {
        let executor = LocalExecutor::new();
        spawn(&executor, kind, peer, async move { work() });
        while executor.try_tick() {}
    });
    let bytes = buffer.0.lock().expect("no thread panicked").clone();
    String::from_utf8(bytes).expect("the log is UTF-8")
}

/// Guards against a task that blocks the loop without a trace in the log.
#[test]
fn a_long_poll_is_logged_with_its_task_and_peer() {
    take_summary();
    let peer = Peer::Node("s-1".into());
    let log = run_and_collect_log(TaskKind::Attempt, peer, || thread::sleep(Duration::from_millis(120)));
    assert!(log.contains("task=Attempt") && log.contains("peer=s-1"), "{log}");
    let summary = take_summary();
    assert_eq!(summary.polls, 1);
    assert!(summary.longest >= 120_000, "{summary:?}");
}

/// Guards against a slow machine that is mistaken for a busy task: a poll during which the thread was suspended uses
/// little CPU time.
#[test]
fn a_long_poll_is_logged_with_its_cpu_time() {
    let log = run_and_collect_log(TaskKind::Client, Peer::None, || thread::sleep(Duration::from_millis(120)));
    let cpu = log.split("cpu_ms=").nth(1).and_then(|rest| rest.split_whitespace().next());
    let cpu: u64 = cpu.and_then(|text| text.parse().ok()).expect("cpu_ms is a number");
    assert!(cpu < 100, "{log}");
}

/// Guards against warnings about ordinary polls, and against counters that are carried over to the next report.
#[test]
fn short_polls_are_counted_and_not_logged() {
    take_summary();
    let log = run_and_collect_log(TaskKind::Timers, Peer::None, || {});
    assert_eq!(log, "");
    assert_eq!(take_summary().polls, 1);
    assert_eq!(take_summary().polls, 0);
}
