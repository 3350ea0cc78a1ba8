//! Soak test: runs the platform gateway under seeded series of signals, connection floods, kills and misbehaving peers, and
//! checks its guarantees against what the peers observed. The seed determines the whole scenario, but not the order in which
//! threads are scheduled.
//!
//! To run chosen seeds: `SOAK_SEEDS=100..150 cargo test -p quaypath-programs --test soak by_hand -- --nocapture`.

#[path = "soak/checker.rs"]
mod checker;
#[path = "soak/client.rs"]
mod client;
#[path = "soak/node.rs"]
mod node;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/record.rs"]
mod record;
mod rig;
#[path = "soak/runner.rs"]
mod runner;
#[path = "soak/scenario.rs"]
mod scenario;

use std::collections::BTreeMap;
use std::sync::Mutex;

use checker::{check_guarantees, Bounds, Guarantee};
use record::{Class, Event};
use runner::{run_scenario, Outcome};
use scenario::{Limit, Scenario, FAULT_KINDS};
use test_case::test_case;

/// Number of seeds from which on each of `FAULT_KINDS` must have occurred in at least one run.
const FULL_COVERAGE_SEEDS: u64 = 50;

/// Serializes the runs: a concurrent run would add load that the seed does not determine.
static RUN_LOCK: Mutex<()> = Mutex::new(());

/// Runs the scenario of a seed and prints its summary line.
fn run_seed(seed: u64) -> Outcome {
    let _guard = RUN_LOCK.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let outcome = run_scenario(Scenario::generate(seed));
    println!("{}", outcome.summary_line());
    outcome
}

/// Guards against faults that occur only when several events coincide.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn every_guarantee_holds(seed: u64) {
    let outcome = run_seed(seed);
    assert!(outcome.requests > 100, "too few requests: {}", outcome.summary_line());
    assert!(outcome.occurred.contains_key("restarts"), "no restart occurred: {}", outcome.summary_line());
    assert!(outcome.breaches.is_empty(), "{}", outcome.report());
    let _ = std::fs::remove_dir_all(&outcome.folder);
}

/// Runs the seeds of the environment variable `SOAK_SEEDS` (one seed, or a range `from..to`) and counts the faults that occurred
/// in all runs. Does nothing when the variable is not set.
#[test]
fn by_hand() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else { return };
    let (from, to) = seeds.split_once("..").unwrap_or((&seeds, ""));
    let from: u64 = from.parse().expect("a seed");
    let to = to.parse().unwrap_or(from + 1);
    let (mut occurred, mut requests, mut failed) = (BTreeMap::<&str, usize>::new(), 0, Vec::new());
    for seed in from..to {
        let outcome = run_seed(seed);
        outcome.occurred.iter().for_each(|(kind, count)| *occurred.entry(kind).or_default() += count);
        requests += outcome.requests;
        if !outcome.breaches.is_empty() {
            println!("{}", outcome.report());
            failed.push(seed);
        }
    }
    println!("{} seeds, {requests} requests, failed {failed:?}; occurred: {occurred:?}", to - from);
    assert!(failed.is_empty(), "{failed:?}");
    if to - from >= FULL_COVERAGE_SEEDS {
        let missing: Vec<_> = FAULT_KINDS.iter().filter(|kind| !occurred.contains_key(**kind)).collect();
        assert!(missing.is_empty(), "never occurred: {missing:?}");
    }
}

#[test]
fn a_seed_always_generates_the_same_scenario() {
    for seed in 0..50 {
        assert_eq!(format!("{:?}", Scenario::generate(seed)), format!("{:?}", Scenario::generate(seed)));
    }
    assert_ne!(format!("{:?}", Scenario::generate(1)), format!("{:?}", Scenario::generate(2)));
}

// Tests of the checker: for each guarantee, events just outside its bound and events just inside it.

const BOUNDS: Bounds = Bounds {
    drain_grace: 0.5,
    limit: Some(Limit { rate: 10.0, burst: 5.0, slack: 2.0 }),
    memory_mb: 32,
    sockets: 64,
};

fn request_written(id: &str, class: Class) -> Event {
    Event::RequestWritten { id: id.into(), process: 0, class, budget: 0.5, fresh_connection: false }
}

fn answer_received(id: &str, status: u16, body: &str) -> Event {
    Event::AnswerReceived { id: id.into(), status, body: body.into() }
}

fn attempt_began(id: &str) -> Event {
    Event::AttemptBegan { id: id.into(), node: 1 }
}

fn attempt_arrived(id: &str, timeout: f64, open_before: usize) -> Event {
    Event::AttemptArrived { id: id.into(), node: 1, timeout, open_before }
}

fn served(id: &str) -> Event {
    Event::AttemptServed { id: id.into() }
}

/// A request of this class written at 1.0 s, followed by the given events.
fn request(class: Class, events: Vec<(f64, Event)>) -> Vec<(f64, Event)> {
    let mut all_events = vec![(1.0, request_written("a", class))];
    all_events.extend(events);
    all_events
}

fn closed_unanswered(id: &str) -> Event {
    Event::ClosedUnanswered { id: id.into() }
}

/// A request with this many attempts, answered in time.
fn attempts(count: usize) -> Vec<(f64, Event)> {
    let mut events: Vec<_> =
        (0..count).map(|index| (1.1 + index as f64 / 100.0, attempt_arrived("a", 0.3, 0))).collect();
    events.extend([(1.2, served("a")), (1.3, answer_received("a", 200, "a"))]);
    request(Class::Lookup, events)
}

/// This many requests that arrive at the same moment.
fn burst(count: usize) -> Vec<(f64, Event)> {
    (0..count).map(|index| (1.0, attempt_arrived(&format!("{index}"), 0.3, 0))).collect()
}

#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (2.06, answer_received("a", 200, "a"))]), Some(Guarantee::FinalAnswer); "answered too late")]
#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (2.04, answer_received("a", 200, "a"))]), None; "answered late but within the bound")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Paused { process: 0, duration: 0.5 }), (1.2, served("a")), (2.5, answer_received("a", 200, "a"))]), None; "answered late because the process was paused")]
#[test_case(request(Class::Lookup, vec![]), Some(Guarantee::FinalAnswer); "never completed")]
#[test_case(request(Class::Lookup, vec![(4.5, Event::TimedOut { id: "a".into() })]), Some(Guarantee::FinalAnswer); "neither answer nor close")]
#[test_case(request(Class::Lookup, vec![(1.06, closed_unanswered("a"))]), Some(Guarantee::FinalAnswer); "closed without an answer")]
#[test_case(request(Class::Lookup, vec![(1.04, closed_unanswered("a"))]), None; "close that crosses the request")]
#[test_case(request(Class::Lookup, vec![(1.01, attempt_began("a")), (1.04, closed_unanswered("a"))]), Some(Guarantee::FinalAnswer); "forwarded and then closed")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Killed { process: 0 }), (1.2, closed_unanswered("a"))]), None; "open when the process crashes")]
#[test_case(request(Class::Lookup, vec![(1.01, Event::Terminated { process: 0 }), (1.1, Event::Killed { process: 0 }), (1.2, closed_unanswered("a"))]), Some(Guarantee::FinalAnswer); "open when a terminating process is killed")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::ClientDisconnected { id: "a".into() })]), None; "its client disconnected")]
#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (1.3, answer_received("a", 200, "b"))]), Some(Guarantee::OwnAnswer); "the answer to another request")]
#[test_case(request(Class::Lookup, vec![(1.3, answer_received("a", 200, "a"))]), Some(Guarantee::OwnAnswer); "an answer that no node sent")]
#[test_case(request(Class::Buy, vec![(1.1, attempt_arrived("a", 0.3, 0)), (1.2, attempt_arrived("a", 0.3, 0)), (1.3, answer_received("a", 500, ""))]), Some(Guarantee::OnceOnly); "two attempts of a once-only request")]
#[test_case(request(Class::Buy, vec![(1.1, attempt_arrived("a", 0.3, 0)), (1.15, Event::AttemptRefused { id: "a".into() }), (1.2, attempt_arrived("a", 0.3, 0)), (1.3, answer_received("a", 500, ""))]), None; "second attempt after a refusal")]
#[test_case(request(Class::Buy, vec![(1.1, attempt_arrived("a", 0.3, 0)), (1.3, answer_received("a", 503, ""))]), Some(Guarantee::OnceOnly); "refused though an attempt may have run")]
#[test_case(request(Class::Buy, vec![(1.1, attempt_began("a")), (1.3, answer_received("a", 503, ""))]), None; "refused with an attempt partly sent")]
#[test_case(request(Class::Lookup, vec![(1.1, attempt_arrived("a", 0.3, 0)), (1.2, attempt_arrived("a", 0.3, 1)), (1.3, answer_received("a", 500, ""))]), Some(Guarantee::OneAttemptAtATime); "two concurrent attempts")]
#[test_case(attempts(5), Some(Guarantee::RetryBudget); "five attempts")]
#[test_case(attempts(4), None; "four attempts")]
#[test_case(request(Class::Lookup, vec![(1.1, attempt_arrived("a", 0.56, 0)), (1.3, answer_received("a", 500, ""))]), Some(Guarantee::AttemptTimeout); "timeout longer than the remaining time")]
#[test_case(request(Class::Lookup, vec![(1.1, attempt_arrived("a", 0.54, 0)), (1.3, answer_received("a", 500, ""))]), None; "timeout within the remaining time")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::ClientDisconnected { id: "a".into() }), (1.21, attempt_arrived("a", 0.1, 0))]), Some(Guarantee::NoAttemptAfterDisconnect); "attempt after its client disconnected")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::ClientDisconnected { id: "a".into() }), (1.19, attempt_arrived("a", 0.1, 0))]), None; "attempt just as its client disconnects")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainReported { process: 0, node: 1 }), (1.06, attempt_began("a")), (1.3, answer_received("a", 500, ""))]), Some(Guarantee::Drain); "attempt at a draining node")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainReported { process: 0, node: 1 }), (1.04, attempt_began("a")), (1.3, answer_received("a", 500, ""))]), None; "attempt within the drain grace")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainReported { process: 1, node: 1 }), (1.06, attempt_began("a")), (1.3, answer_received("a", 500, ""))]), None; "drain reported to another process only")]
#[test_case(burst(9), Some(Guarantee::Limit); "over the limit")]
#[test_case(burst(8), None; "within the limit and its slack")]
#[test_case(vec![(1.0, Event::ResourcesSampled { process: 0, resident_kb: 31_251, descriptors: 64 })], Some(Guarantee::Memory); "too much memory")]
#[test_case(vec![(1.0, Event::ResourcesSampled { process: 0, resident_kb: 31_250, descriptors: 64 })], None; "memory and descriptors at their limits")]
#[test_case(vec![(1.0, Event::ResourcesSampled { process: 0, resident_kb: 9_000, descriptors: 65 })], Some(Guarantee::Descriptors); "too many descriptors")]
#[test_case(vec![(1.0, Event::Ready { process: 0, after: 10.1 })], Some(Guarantee::ReadyInTime); "ready too late")]
#[test_case(vec![(1.0, Event::Ready { process: 0, after: 9.9 })], None; "ready in time")]
#[test_case(vec![(1.0, Event::Exited { process: 0, code: Some(1) })], Some(Guarantee::CleanExit); "exit with an error")]
#[test_case(vec![(1.0, Event::Exited { process: 0, code: Some(0) })], None; "exit with success")]
#[test_case(vec![(1.0, Event::Panicked { process: 0, line: "panicked at".into() })], Some(Guarantee::CleanExit); "a panic")]
fn the_checker_finds_a_planted_breach(mut events: Vec<(f64, Event)>, expected: Option<Guarantee>) {
    events.sort_by(|left, right| left.0.total_cmp(&right.0));
    let found: Vec<Guarantee> =
        check_guarantees(&BOUNDS, &events).into_iter().map(|breach| breach.guarantee).collect();
    assert_eq!(found, Vec::from_iter(expected));
}
