//! Tests that polls of the loop's tasks are measured, and that long ones are logged with their task and peer.

use std::io::{self, Write};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use async_executor::LocalExecutor;
use quaypath_initiator::polls::{spawn, take_summary, Peer, TaskKind, TASK_PANIC_EXIT_CODE};
use test_case::test_case;

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

/// Set for the process in which a task is to panic, to its name.
const PANICKING_TASK: &str = "QUAYPATH_TEST_PANICKING_TASK";

/// Guards against a process that goes on without one of its tasks, or over state that a panic left half changed. It runs the test
/// program again, as what is looked at is the end of a process.
#[test_case("timers", TaskKind::Timers)]
#[test_case("accept", TaskKind::Accept)]
#[test_case("client", TaskKind::Client)]
#[test_case("attempt", TaskKind::Attempt)]
#[test_case("node connection", TaskKind::NodeConnection)]
#[test_case("discovery", TaskKind::Discovery)]
#[test_case("fleet", TaskKind::Fleet)]
#[test_case("signals", TaskKind::Signals)]
#[test_case("report", TaskKind::Report)]
fn a_panic_of_a_task_ends_the_process(name: &str, kind: TaskKind) {
    if std::env::var(PANICKING_TASK).is_ok_and(|task| task == name) {
        tracing_subscriber::fmt().with_ansi(false).with_writer(io::stderr).init();
        let executor = LocalExecutor::new();
        spawn(&executor, kind, Peer::None, async { panic!("planted") });
        while executor.try_tick() {}
        // The executor goes on, and so would the process.
        return;
    }
    let test = thread::current().name().expect("the name of the test").to_string();
    let mut command = Command::new(std::env::current_exe().expect("the test program"));
    command.args(["--exact", &test, "--nocapture"]).env(PANICKING_TASK, name);
    let output = command.output().expect("the test program runs");
    let log = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(TASK_PANIC_EXIT_CODE), "{log}");
    assert!(log.contains(&format!("a task panicked; the process ends task={kind:?} peer=none")), "{log}");
    assert!(log.contains("planted"), "the panic itself is told: {log}");
}
