//! Soak by seed: the running gateway through series of signals, crowds, kills and moody peers, judged from what peers saw.
//! A seed decides the whole script; what two threads do first is the machine's affair.
//!
//! By hand: `SOAK_SEEDS=100..150 cargo test -p quaypath-programs --test soak by_hand -- --nocapture`.

#[path = "soak/client.rs"]
mod client;
#[path = "soak/judge.rs"]
mod judge;
#[path = "soak/node.rs"]
mod node;
#[path = "soak/play.rs"]
mod play;
#[path = "soak/process.rs"]
mod process;
#[path = "soak/record.rs"]
mod record;
mod rig;
#[path = "soak/script.rs"]
mod script;

use std::collections::BTreeMap;
use std::sync::Mutex;

use judge::{judge, Promise, Terms};
use play::{play, Outcome};
use record::{Class, Event};
use script::{Limit, Script, KINDS};
use test_case::test_case;

/// In a series of so many seeds each kind of trouble has to strike.
const LONG_SERIES: u64 = 50;

/// One run at a time: others beside it would be load that no seed decides.
static ONE: Mutex<()> = Mutex::new(());

fn played(seed: u64) -> Outcome {
    let _one = ONE.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let outcome = play(Script::draw(seed));
    println!("{}", outcome.line());
    outcome
}

/// Guards against whatever no single crossing finds.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[test_case(5)]
#[test_case(6)]
#[test_case(7)]
#[test_case(8)]
fn every_promise_is_kept(seed: u64) {
    let outcome = played(seed);
    assert!(outcome.requests > 100, "hardly a run: {}", outcome.line());
    assert!(outcome.struck.contains_key("restarts"), "no restart struck: {}", outcome.line());
    assert!(outcome.breaches.is_empty(), "{}", outcome.report());
    let _ = std::fs::remove_dir_all(&outcome.folder);
}

/// The long run: the seeds of `SOAK_SEEDS` (one, or a range `from..to`), with what struck over all of them.
#[test]
fn by_hand() {
    let Ok(seeds) = std::env::var("SOAK_SEEDS") else { return };
    let (from, to) = seeds.split_once("..").unwrap_or((&seeds, ""));
    let from: u64 = from.parse().expect("a seed");
    let to = to.parse().unwrap_or(from + 1);
    let (mut struck, mut requests, mut failed) = (BTreeMap::<&str, usize>::new(), 0, Vec::new());
    for seed in from..to {
        let outcome = played(seed);
        outcome.struck.iter().for_each(|(what, count)| *struck.entry(what).or_default() += count);
        requests += outcome.requests;
        if !outcome.breaches.is_empty() {
            println!("{}", outcome.report());
            failed.push(seed);
        }
    }
    println!("{} seeds, {requests} requests, failed {failed:?}; struck: {struck:?}", to - from);
    assert!(failed.is_empty(), "{failed:?}");
    if to - from >= LONG_SERIES {
        let missed: Vec<_> = KINDS.iter().filter(|kind| !struck.contains_key(**kind)).collect();
        assert!(missed.is_empty(), "never struck: {missed:?}");
    }
}

/// The same seed draws the same script.
#[test]
fn a_seed_is_a_script() {
    for seed in 0..50 {
        assert_eq!(format!("{:?}", Script::draw(seed)), format!("{:?}", Script::draw(seed)));
    }
    assert_ne!(format!("{:?}", Script::draw(1)), format!("{:?}", Script::draw(2)));
}

// The judge: for each promise a record just past its bound, and one just inside.

const TERMS: Terms = Terms {
    drain_grace: 0.5,
    limit: Some(Limit { rate: 10.0, burst: 5.0, slack: 2.0 }),
    memory_mb: 32,
    sockets: 64,
};

fn written(id: &str, class: Class) -> Event {
    Event::Written { id: id.into(), process: 0, class, budget: 0.5, fresh_connection: false }
}

fn answered(id: &str, status: u16, body: &str) -> Event {
    Event::Answered { id: id.into(), status, body: body.into() }
}

fn begun(id: &str) -> Event {
    Event::AttemptBegan { id: id.into(), node: 1 }
}

fn arrived(id: &str, wait: f64, open_before: usize) -> Event {
    Event::AttemptArrived { id: id.into(), node: 1, wait, open_before }
}

fn served(id: &str) -> Event {
    Event::Served { id: id.into() }
}

/// A request with this class, and what follows.
fn request(class: Class, events: Vec<(f64, Event)>) -> Vec<(f64, Event)> {
    let mut all = vec![(1.0, written("a", class))];
    all.extend(events);
    all
}

fn unanswered(id: &str) -> Event {
    Event::Unanswered { id: id.into() }
}

fn attempts(count: usize) -> Vec<(f64, Event)> {
    let mut events: Vec<_> = (0..count).map(|at| (1.1 + at as f64 / 100.0, arrived("a", 0.3, 0))).collect();
    events.extend([(1.2, served("a")), (1.3, answered("a", 200, "a"))]);
    request(Class::Lookup, events)
}

fn burst(count: usize) -> Vec<(f64, Event)> {
    (0..count).map(|at| (1.0, arrived(&format!("{at}"), 0.3, 0))).collect()
}

#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (2.06, answered("a", 200, "a"))]), Some(Promise::FinalAnswer); "late")]
#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (2.04, answered("a", 200, "a"))]), None; "late and not lost")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Paused { process: 0, lasts: 0.5 }), (1.2, served("a")), (2.5, answered("a", 200, "a"))]), None; "late by a stop of the process")]
#[test_case(request(Class::Lookup, vec![]), Some(Promise::FinalAnswer); "no end at all")]
#[test_case(request(Class::Lookup, vec![(4.5, Event::Silent { id: "a".into() })]), Some(Promise::FinalAnswer); "silence")]
#[test_case(request(Class::Lookup, vec![(1.06, unanswered("a"))]), Some(Promise::FinalAnswer); "closed without an answer")]
#[test_case(request(Class::Lookup, vec![(1.04, unanswered("a"))]), None; "a close that crosses it")]
#[test_case(request(Class::Lookup, vec![(1.01, begun("a")), (1.04, unanswered("a"))]), Some(Promise::FinalAnswer); "sent on and closed")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Killed { process: 0 }), (1.2, unanswered("a"))]), None; "open at a crash")]
#[test_case(request(Class::Lookup, vec![(1.01, Event::Terminated { process: 0 }), (1.1, Event::Killed { process: 0 }), (1.2, unanswered("a"))]), Some(Promise::FinalAnswer); "open at the kill of a stop")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Left { id: "a".into() })]), None; "its client left")]
#[test_case(request(Class::Lookup, vec![(1.2, served("a")), (1.3, answered("a", 200, "b"))]), Some(Promise::OwnAnswer); "the answer of another")]
#[test_case(request(Class::Lookup, vec![(1.3, answered("a", 200, "a"))]), Some(Promise::OwnAnswer); "an answer that no node made")]
#[test_case(request(Class::Buy, vec![(1.1, arrived("a", 0.3, 0)), (1.2, arrived("a", 0.3, 0)), (1.3, answered("a", 500, ""))]), Some(Promise::OnceOnly); "twice")]
#[test_case(request(Class::Buy, vec![(1.1, arrived("a", 0.3, 0)), (1.15, Event::TurnedAway { id: "a".into() }), (1.2, arrived("a", 0.3, 0)), (1.3, answered("a", 500, ""))]), None; "once, and turned away before")]
#[test_case(request(Class::Buy, vec![(1.1, arrived("a", 0.3, 0)), (1.3, answered("a", 503, ""))]), Some(Promise::OnceOnly); "refused though it may have run")]
#[test_case(request(Class::Buy, vec![(1.1, begun("a")), (1.3, answered("a", 503, ""))]), None; "refused with half an attempt out")]
#[test_case(request(Class::Lookup, vec![(1.1, arrived("a", 0.3, 0)), (1.2, arrived("a", 0.3, 1)), (1.3, answered("a", 500, ""))]), Some(Promise::OneAtATime); "two at a time")]
#[test_case(attempts(5), Some(Promise::RetryBudget); "five attempts")]
#[test_case(attempts(4), None; "four attempts")]
#[test_case(request(Class::Lookup, vec![(1.1, arrived("a", 0.56, 0)), (1.3, answered("a", 500, ""))]), Some(Promise::TimeTold); "more time told than is left")]
#[test_case(request(Class::Lookup, vec![(1.1, arrived("a", 0.54, 0)), (1.3, answered("a", 500, ""))]), None; "as much as is left")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Left { id: "a".into() }), (1.21, arrived("a", 0.1, 0))]), Some(Promise::ForNobody); "for a client that has gone")]
#[test_case(request(Class::Lookup, vec![(1.1, Event::Left { id: "a".into() }), (1.19, arrived("a", 0.1, 0))]), None; "as its client goes")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainTold { process: 0, node: 1 }), (1.06, begun("a")), (1.3, answered("a", 500, ""))]), Some(Promise::Drain); "to a node that drains")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainTold { process: 0, node: 1 }), (1.04, begun("a")), (1.3, answered("a", 500, ""))]), None; "within the grace")]
#[test_case(request(Class::Lookup, vec![(0.5, Event::DrainTold { process: 1, node: 1 }), (1.06, begun("a")), (1.3, answered("a", 500, ""))]), None; "a drain told to another process")]
#[test_case(burst(9), Some(Promise::Limit); "past the limit")]
#[test_case(burst(8), None; "within the limit and its slack")]
#[test_case(vec![(1.0, Event::Held { process: 0, resident_kb: 31_251, descriptors: 64 })], Some(Promise::Memory); "too much memory")]
#[test_case(vec![(1.0, Event::Held { process: 0, resident_kb: 31_250, descriptors: 64 })], None; "all of its memory and descriptors")]
#[test_case(vec![(1.0, Event::Held { process: 0, resident_kb: 9_000, descriptors: 65 })], Some(Promise::Descriptors); "too many descriptors")]
#[test_case(vec![(1.0, Event::Ready { process: 0, after: 10.1 })], Some(Promise::Ready); "up late")]
#[test_case(vec![(1.0, Event::Ready { process: 0, after: 9.9 })], None; "up in time")]
#[test_case(vec![(1.0, Event::Exited { process: 0, code: Some(1) })], Some(Promise::Exit); "an end with an error")]
#[test_case(vec![(1.0, Event::Exited { process: 0, code: Some(0) })], None; "an end in order")]
#[test_case(vec![(1.0, Event::Panicked { process: 0, line: "panicked at".into() })], Some(Promise::Exit); "a panic")]
fn planted(mut events: Vec<(f64, Event)>, broken: Option<Promise>) {
    events.sort_by(|one, other| one.0.total_cmp(&other.0));
    let found: Vec<Promise> = judge(&TERMS, &events).into_iter().map(|breach| breach.promise).collect();
    assert_eq!(found, Vec::from_iter(broken));
}
