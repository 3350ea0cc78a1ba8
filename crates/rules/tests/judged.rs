//! Each rule: a planted breach that is found, and a case just inside that passes.

use std::collections::BTreeMap;

use quaypath_record::{Event, ListedCondition, ShotEnd, TransactionEnd};
use quaypath_rules::{judge, Band, DedupScope, Limit, Parameters, Repeat};
use test_case::test_case;

fn book() -> Parameters {
    let band = |name: &str, repeat, dedup_scope, ordered| Band {
        name: name.into(),
        repeat,
        dedup_scope,
        dedup_window: 2.0,
        ordered,
    };
    Parameters {
        bands: vec![
            band("read", Repeat::Repeatable, DedupScope::All, false),
            band("buy", Repeat::OnceOnly, DedupScope::All, false),
            band("submit", Repeat::Tagged, DedupScope::Zone, true),
            band("note", Repeat::Tagged, DedupScope::All, false),
        ],
        limits: BTreeMap::from([(9, Limit { rate: 10.0, burst: 20.0, slack: 3.0 })]),
        answer_slack: 0.05,
        drain_grace: 1.0,
        overload_window: 1.0,
        key_quiet_period: 0.1,
        max_shots: 3,
        copies_allowed: false,
        retry_budget: Some((0.5, 1.0, 10.0)),
        poll_within: None,
        transit: 0.01,
    }
}

fn ask(t: f64, mark: u64, band: usize) -> Event {
    Event::CommandSent { t, gateway: 1, mark, volume: 5, band, units: 1, key: 7, budget: 1.0 }
}

fn limited(t: f64, mark: u64, units: u32) -> [Event; 4] {
    let arrive =
        Event::ShotArrived { t, node: "n".into(), gateway: 1, mark, shot: 0, volume: 9, units, band: 0 };
    let ask = Event::CommandSent { t, gateway: 1, mark, volume: 9, band: 0, units, key: 0, budget: 1.0 };
    [
        ask,
        arrive,
        ended(t + 0.001, "n", mark, 0, ShotEnd::Answered),
        last(t + 0.002, mark, TransactionEnd::Settled),
    ]
}

fn arrive(t: f64, node: &str, mark: u64, shot: u32) -> Event {
    let node = node.into();
    Event::ShotArrived { t, node, gateway: 1, mark, shot, volume: 5, units: 1, band: 0 }
}

fn ended(t: f64, node: &str, mark: u64, shot: u32, end: ShotEnd) -> Event {
    Event::ShotEnded { t, node: node.into(), gateway: 1, mark, shot, end }
}

fn last(t: f64, mark: u64, end: TransactionEnd) -> Event {
    Event::FinalAnswer { t, gateway: 1, mark, end }
}

fn ran(t: f64, mark: u64) -> Event {
    Event::EffectApplied { t, node: "n".into(), mark }
}

fn up(node: &str, block: i64, zone: &str) -> Event {
    Event::NodeStarted { t: 0.0, node: node.into(), block, zone: zone.into(), cold: true }
}

fn up_at(t: f64, node: &str) -> Event {
    Event::NodeStarted { t, node: node.into(), block: 0, zone: "a".into(), cold: true }
}

fn told(t: f64, node: &str, condition: ListedCondition) -> Event {
    Event::ListEntrySent { t, gateway: 1, node: node.into(), condition, listed_at: t }
}

fn killed(t: f64) -> Event {
    Event::GatewayKilled { t, gateway: 1 }
}

fn stall(t: f64, begins: bool) -> Event {
    Event::Fault { t, kind: "stall".into(), on: "1".into(), begins }
}

/// The day goes on long enough for everything to be owed.
fn rules(mut events: Vec<Event>) -> Vec<u8> {
    events.push(Event::NodeStopped { t: 100.0, node: "end".into() });
    events.sort_by(|one, other| one.time().total_cmp(&other.time()));
    let mut rules: Vec<u8> = judge(&book(), &events).iter().map(|breach| breach.rule as u8).collect();
    rules.dedup();
    rules
}

const A: u64 = 0x100;
const B: u64 = 0x200;
const FAILED: ShotEnd = ShotEnd::Failed;
const REFUSED: ShotEnd = ShotEnd::Refused;

#[test_case(vec![ask(1.0, A, 0), last(2.055, A, TransactionEnd::Declined)], &[]; "answered within the slack")]
#[test_case(vec![ask(1.0, A, 0), last(2.07, A, TransactionEnd::Declined)], &[1]; "answered late")]
#[test_case(vec![ask(1.0, A, 0)], &[1]; "never answered")]
#[test_case(vec![ask(1.0, A, 0), killed(1.5)], &[]; "its gateway was killed")]
#[test_case(vec![ask(1.0, A, 0), killed(0.5), killed(2.5)], &[1]; "its gateway was killed before and after")]
#[test_case(vec![ask(1.0, A, 0), Event::ClientCancelled { t: 1.2, mark: A }], &[]; "its client left")]
#[test_case(vec![ask(1.0, A, 0), stall(1.9, true), stall(3.0, false), last(3.04, A, TransactionEnd::Scrapped)], &[]; "no turn in which to answer")]
#[test_case(vec![ask(1.0, A, 0), stall(1.2, true), stall(1.9, false), last(2.3, A, TransactionEnd::Scrapped)], &[1]; "a turn in which to answer after a stall")]
#[test_case(vec![ask(1.0, A, 0), last(1.1, A, TransactionEnd::Settled), last(1.2, A, TransactionEnd::Settled)], &[1]; "two answers")]
#[test_case(vec![last(1.1, A, TransactionEnd::Settled)], &[1]; "an answer to nothing")]
#[test_case(vec![ask(1.0, A, 0), last(1.1, A, TransactionEnd::Scrapped), arrive(1.105, "n", A, 0)], &[]; "sent as the answer went out")]
#[test_case(vec![ask(1.0, A, 0), last(1.1, A, TransactionEnd::Scrapped), arrive(1.15, "n", A, 0)], &[1]; "sent after the answer")]
fn answered(events: Vec<Event>, broken: &[u8]) {
    assert_eq!(rules(events), broken);
}

fn twice(band: usize, end: ShotEnd, node: &str, at: f64) -> Vec<Event> {
    vec![
        up("n", 0, "a"),
        up("m", 1, "a"),
        up("far", 2, "b"),
        Event::CommandSent { t: 1.0, gateway: 1, mark: A, volume: 5, band, units: 1, key: 7, budget: 9.0 },
        arrive(1.0, "n", A, 0),
        ended(1.1, "n", A, 0, end),
        arrive(at, node, A, 1),
        ended(at + 0.01, node, A, 1, ShotEnd::Answered),
        last(at + 0.02, A, TransactionEnd::Settled),
    ]
}

#[test_case(twice(0, FAILED, "far", 1.2), &[]; "a repeatable one anywhere")]
#[test_case(twice(1, REFUSED, "n", 1.2), &[]; "a once only one that was turned away unseen")]
#[test_case(twice(1, FAILED, "n", 1.2), &[2]; "a once only one that failed")]
#[test_case(twice(1, ShotEnd::Broken, "n", 1.2), &[2]; "a once only one whose connection broke")]
#[test_case(twice(2, FAILED, "m", 2.9), &[]; "a tagged one in its group and window")]
#[test_case(twice(2, FAILED, "m", 3.1), &[2]; "a tagged one past its window")]
#[test_case(twice(2, FAILED, "far", 1.2), &[2]; "a tagged one outside its group")]
#[test_case(twice(3, FAILED, "far", 1.2), &[]; "a tagged one whose group is all")]
#[test_case(twice(0, FAILED, "n", 1.095), &[]; "the next shot crosses the answer of the one before")]
#[test_case(twice(0, FAILED, "n", 1.05), &[2]; "two shots at once")]
#[test_case(vec![ask(1.0, A, 1), arrive(1.0, "n", A, 0), ended(1.1, "n", A, 0, FAILED), last(1.2, A, TransactionEnd::Declined)], &[2]; "a decline of what may have run")]
#[test_case(vec![ask(1.0, A, 1), arrive(1.0, "n", A, 0), ended(1.1, "n", A, 0, FAILED), last(1.2, A, TransactionEnd::Scrapped)], &[]; "a scrapping of what may have run")]
#[test_case(vec![ask(1.0, A, 1), arrive(1.0, "n", A, 0), ended(1.1, "n", A, 0, REFUSED), last(1.2, A, TransactionEnd::Declined)], &[]; "a decline of what was refused")]
#[test_case(vec![ask(1.0, A, 1), ran(1.1, A), last(1.2, A, TransactionEnd::Settled), ask(1.3, A + 1, 1), ran(1.4, A + 1), last(1.5, A + 1, TransactionEnd::Settled)], &[2]; "one purchase by two tries of its client")]
#[test_case(vec![ask(1.0, A, 0), ran(1.1, A), last(1.2, A, TransactionEnd::Settled), ask(1.3, A + 1, 0), ran(1.4, A + 1), last(1.5, A + 1, TransactionEnd::Settled)], &[]; "one look up by two tries of its client")]
fn no_effect_twice(events: Vec<Event>, broken: &[u8]) {
    assert_eq!(rules(events), broken);
}

/// Its node dies with the first shot in hand, and comes up again under the same name.
#[test_case(0, 1.5, &[]; "a repeatable one is sent again after the death")]
#[test_case(1, 1.5, &[2]; "a once only one is sent again after the death")]
#[test_case(0, 1.15, &[2]; "a repeatable one is sent again before the death")]
fn a_death_ends_what_a_node_had(band: usize, again: f64, broken: &[u8]) {
    let mut events = twice(band, FAILED, "n", again);
    events.retain(|event| !matches!(event, Event::ShotEnded { end: ShotEnd::Failed, .. }));
    events.push(Event::NodeStopped { t: 1.3, node: "n".into() });
    assert_eq!(rules(events), broken);
}

fn sent(t: f64) -> Vec<Event> {
    vec![
        ask(t - 0.1, A, 0),
        arrive(t, "n", A, 0),
        ended(t + 0.01, "n", A, 0, ShotEnd::Answered),
        last(t + 0.02, A, TransactionEnd::Settled),
    ]
}

fn with(mut events: Vec<Event>, more: Vec<Event>) -> Vec<Event> {
    events.extend(more);
    events
}

#[test_case(with(sent(6.005), vec![told(5.0, "n", ListedCondition::Draining)]), &[]; "within the grace")]
#[test_case(with(sent(6.02), vec![told(5.0, "n", ListedCondition::Draining)]), &[3]; "past the grace")]
#[test_case(with(sent(6.02), vec![told(5.0, "n", ListedCondition::Removed)]), &[3]; "gone")]
#[test_case(with(sent(6.5), vec![told(5.0, "n", ListedCondition::Removed), told(5.5, "n", ListedCondition::Ready)]), &[]; "ready again")]
#[test_case(with(sent(6.5), vec![told(5.0, "n", ListedCondition::Draining), told(6.0, "n", ListedCondition::Removed)]), &[3]; "told twice counts from the first")]
#[test_case(with(sent(6.5), vec![told(5.0, "n", ListedCondition::Draining), killed(5.2), Event::GatewayStarted { t: 5.5, gateway: 1 }]), &[]; "a new life knows nothing")]
#[test_case(with(sent(6.5), vec![stall(4.5, true), told(5.0, "n", ListedCondition::Draining), stall(5.6, false)]), &[]; "told while it had no turn")]
fn drains(events: Vec<Event>, broken: &[u8]) {
    assert_eq!(rules(events), broken);
}

/// Three shots from gateways that knew, or not, and then the fall.
fn pushed(knew: u64) -> Vec<Event> {
    let mut events = vec![up("n", 0, "a"), Event::NodeOverloaded { t: 5.5, node: "n".into() }];
    for gateway in 0..3u32 {
        let mark = A * u64::from(gateway + 1);
        if u64::from(gateway) < knew {
            let condition = ListedCondition::Ready;
            events.push(Event::ListEntrySent {
                t: 1.0,
                gateway,
                node: "n".into(),
                condition,
                listed_at: 1.0,
            });
        }
        events.push(Event::CommandSent {
            t: 5.0,
            gateway,
            mark,
            volume: 5,
            band: 0,
            units: 2,
            key: 0,
            budget: 1.0,
        });
        events.push(Event::ShotArrived {
            t: 5.1,
            node: "n".into(),
            gateway,
            mark,
            shot: 0,
            volume: 5,
            units: 2,
            band: 0,
        });
        events.push(Event::ShotEnded {
            t: 5.5,
            node: "n".into(),
            gateway,
            mark,
            shot: 0,
            end: ShotEnd::Broken,
        });
        events.push(Event::FinalAnswer { t: 5.6, gateway, mark, end: TransactionEnd::Scrapped });
    }
    events
}

#[test_case(2, &[4]; "two thirds from those that knew")]
#[test_case(1, &[]; "a third from those that knew")]
fn cold_nodes(knew: u64, broken: &[u8]) {
    assert_eq!(rules(pushed(knew)), broken);
}

/// A, then B with the same key: when A is asked and ends, when B arrives.
fn ordered(end: ShotEnd, ends: f64, b: f64) -> Vec<Event> {
    vec![
        ask(1.0, A, 2),
        ask(1.1, B, 2),
        arrive(1.05, "n", A, 0),
        ended(ends, "n", A, 0, end),
        last(
            ends + 0.005,
            A,
            if end == ShotEnd::Answered { TransactionEnd::Settled } else { TransactionEnd::Scrapped },
        ),
        arrive(b, "n", B, 0),
        ended(b + 0.01, "n", B, 0, ShotEnd::Answered),
        last(b + 0.02, B, TransactionEnd::Settled),
    ]
}

#[test_case(ordered(ShotEnd::Answered, 1.2, 1.201), &[]; "right after the answer")]
#[test_case(ordered(ShotEnd::Answered, 1.2, 1.15), &[5]; "while the earlier one runs")]
#[test_case(ordered(ShotEnd::Aborted, 1.2, 1.295), &[]; "after the rest")]
#[test_case(ordered(ShotEnd::Aborted, 1.2, 1.25), &[5]; "inside the rest")]
#[test_case(ordered(ShotEnd::Broken, 1.2, 1.25), &[5]; "inside the rest after a reset")]
#[test_case(vec![ask(1.0, A, 2), ask(1.1, B, 2), arrive(1.2, "n", B, 0), ended(1.21, "n", B, 0, ShotEnd::Answered), last(1.22, B, TransactionEnd::Settled), last(1.5, A, TransactionEnd::Declined)], &[5]; "the later one overtakes one that waits")]
#[test_case(vec![ask(1.0, A, 2), ask(1.1, B, 2), last(1.15, A, TransactionEnd::Declined), arrive(1.16, "n", B, 0), ended(1.21, "n", B, 0, ShotEnd::Answered), last(1.22, B, TransactionEnd::Settled)], &[]; "the earlier one was declined")]
#[test_case(vec![ask(1.0, A, 2), ask(1.005, B, 2), arrive(1.2, "n", B, 0), ended(1.21, "n", B, 0, ShotEnd::Answered), last(1.22, B, TransactionEnd::Settled), last(1.9, A, TransactionEnd::Declined)], &[]; "asked at the same moment")]
fn order(events: Vec<Event>, broken: &[u8]) {
    assert_eq!(rules(events), broken);
}

/// Told of a node, which then starts anew under the same name: nobody knew of that start.
#[test]
fn a_start_under_the_same_name_is_told_anew() {
    let mut events = pushed(3);
    events.push(up_at(4.0, "n"));
    assert!(rules(events.clone()).is_empty());
    // A list that was read later and still shows the process before.
    for gateway in 0..3 {
        let condition = ListedCondition::Ready;
        events.push(Event::ListEntrySent { t: 4.2, gateway, node: "n".into(), condition, listed_at: 1.0 });
    }
    assert!(rules(events.clone()).is_empty());
    for gateway in 0..2 {
        let condition = ListedCondition::Ready;
        events.push(Event::ListEntrySent { t: 4.5, gateway, node: "n".into(), condition, listed_at: 4.5 });
    }
    assert_eq!(rules(events), [4]);
}

/// `count` transactions, of which `further` were shot twice, within a look-back.
fn shots(count: u64, further: u64) -> Vec<Event> {
    let mut events = Vec::new();
    for at in 0..count {
        let (t, mark) = (1.0 + 0.1 * at as f64, A * (at + 1));
        events.push(ask(t, mark, 0));
        events.push(arrive(t, "n", mark, 0));
        events.push(ended(t + 0.01, "n", mark, 0, FAILED));
    }
    for at in 0..count {
        let (t, mark) = (5.0 + 0.1 * at as f64, A * (at + 1));
        if at < further {
            events.push(arrive(t, "n", mark, 1));
            events.push(ended(t + 0.01, "n", mark, 1, FAILED));
        }
        events.push(Event::ClientCancelled { t: t + 0.02, mark });
    }
    events
}

#[test_case(8, 5, &[]; "one free and half of eight")]
#[test_case(8, 6, &[6]; "one too many")]
fn budget(count: u64, further: u64, broken: &[u8]) {
    assert_eq!(rules(shots(count, further)), broken);
}

#[test_case(&[(1.0, 20), (1.0, 3)], &[]; "a burst and the slack")]
#[test_case(&[(1.0, 20), (1.0, 4)], &[7]; "a unit past the slack")]
#[test_case(&[(1.0, 20), (2.0, 13)], &[]; "refilled by its rate")]
#[test_case(&[(1.0, 20), (2.0, 14)], &[7]; "more than its rate refilled")]
#[test_case(&[(1.0, 20), (50.0, 23), (50.0, 1)], &[7]; "no more than a burst is saved up")]
fn limits(sends: &[(f64, u32)], broken: &[u8]) {
    let events = sends.iter().zip(1..).flat_map(|((t, units), at)| limited(*t, at * A, *units));
    assert_eq!(rules(events.collect()), broken);
}
