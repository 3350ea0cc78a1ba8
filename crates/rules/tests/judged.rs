//! For each rule, a record with a breach that the judge must find, and a record just within the rule that must pass.

use std::collections::BTreeMap;

use quaypath_record::{Event, ListedCondition, ShotEnd, TransactionEnd};
use quaypath_rules::{judge, Band, DedupScope, Limit, Parameters, Repeat};
use test_case::test_case;

fn parameters() -> Parameters {
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

fn command_sent(t: f64, mark: u64, band: usize) -> Event {
    Event::CommandSent { t, gateway: 1, mark, volume: 5, band, units: 1, key: 7, budget: 1.0 }
}

fn limited_transaction(t: f64, mark: u64, units: u32) -> [Event; 4] {
    let arrival =
        Event::ShotArrived { t, node: "n".into(), gateway: 1, mark, shot: 0, volume: 9, units, band: 0 };
    let command = Event::CommandSent { t, gateway: 1, mark, volume: 9, band: 0, units, key: 0, budget: 1.0 };
    [
        command,
        arrival,
        shot_ended(t + 0.001, "n", mark, 0, ShotEnd::Answered),
        final_answer(t + 0.002, mark, TransactionEnd::Settled),
    ]
}

fn shot_arrived(t: f64, node: &str, mark: u64, shot: u32) -> Event {
    let node = node.into();
    Event::ShotArrived { t, node, gateway: 1, mark, shot, volume: 5, units: 1, band: 0 }
}

fn shot_ended(t: f64, node: &str, mark: u64, shot: u32, end: ShotEnd) -> Event {
    Event::ShotEnded { t, node: node.into(), gateway: 1, mark, shot, end }
}

fn final_answer(t: f64, mark: u64, end: TransactionEnd) -> Event {
    Event::FinalAnswer { t, gateway: 1, mark, end }
}

fn effect_applied(t: f64, mark: u64) -> Event {
    Event::EffectApplied { t, node: "n".into(), mark }
}

fn node_started(node: &str, block: i64, zone: &str) -> Event {
    Event::NodeStarted { t: 0.0, node: node.into(), block, zone: zone.into(), cold: true }
}

fn node_started_at(t: f64, node: &str) -> Event {
    Event::NodeStarted { t, node: node.into(), block: 0, zone: "a".into(), cold: true }
}

fn list_entry_sent(t: f64, node: &str, condition: ListedCondition) -> Event {
    Event::ListEntrySent { t, gateway: 1, node: node.into(), condition, listed_at: t }
}

fn gateway_killed(t: f64) -> Event {
    Event::GatewayKilled { t, gateway: 1 }
}

fn stalled(t: f64, begins: bool) -> Event {
    Event::Fault { t, kind: "stall".into(), on: "1".into(), begins }
}

/// The rules that the record breaks. An event at 100 s ends it late enough for every answer to be due.
fn broken_rules(mut events: Vec<Event>) -> Vec<u8> {
    events.push(Event::NodeStopped { t: 100.0, node: "end".into() });
    events.sort_by(|left, right| left.time().total_cmp(&right.time()));
    let mut rules: Vec<u8> = judge(&parameters(), &events).iter().map(|breach| breach.rule as u8).collect();
    rules.dedup();
    rules
}

const A: u64 = 0x100;
const B: u64 = 0x200;
const FAILED: ShotEnd = ShotEnd::Failed;
const REFUSED: ShotEnd = ShotEnd::Refused;

#[test_case(vec![command_sent(1.0, A, 0), final_answer(2.055, A, TransactionEnd::Declined)], &[]; "answered within the slack")]
#[test_case(vec![command_sent(1.0, A, 0), final_answer(2.07, A, TransactionEnd::Declined)], &[1]; "answered after the slack")]
#[test_case(vec![command_sent(1.0, A, 0)], &[1]; "never answered")]
#[test_case(vec![command_sent(1.0, A, 0), gateway_killed(1.5)], &[]; "the gateway was killed before the answer was due")]
#[test_case(vec![command_sent(1.0, A, 0), gateway_killed(0.5), gateway_killed(2.5)], &[1]; "the gateway was killed earlier and later only")]
#[test_case(vec![command_sent(1.0, A, 0), Event::ClientCancelled { t: 1.2, mark: A }], &[]; "the client cancelled")]
#[test_case(vec![command_sent(1.0, A, 0), stalled(1.9, true), stalled(3.0, false), final_answer(3.04, A, TransactionEnd::Scrapped)], &[]; "the gateway was stopped when the answer was due")]
#[test_case(vec![command_sent(1.0, A, 0), stalled(1.2, true), stalled(1.9, false), final_answer(2.3, A, TransactionEnd::Scrapped)], &[1]; "the gateway ran again before the answer was due")]
#[test_case(vec![command_sent(1.0, A, 0), final_answer(1.1, A, TransactionEnd::Settled), final_answer(1.2, A, TransactionEnd::Settled)], &[1]; "two final answers")]
#[test_case(vec![final_answer(1.1, A, TransactionEnd::Settled)], &[1]; "an answer to an unknown transaction")]
#[test_case(vec![command_sent(1.0, A, 0), final_answer(1.1, A, TransactionEnd::Scrapped), shot_arrived(1.105, "n", A, 0)], &[]; "sent at the moment of the answer")]
#[test_case(vec![command_sent(1.0, A, 0), final_answer(1.1, A, TransactionEnd::Scrapped), shot_arrived(1.15, "n", A, 0)], &[1]; "sent after the answer")]
fn one_answer_in_time(events: Vec<Event>, expected: &[u8]) {
    assert_eq!(broken_rules(events), expected);
}

fn two_shots(band: usize, end: ShotEnd, node: &str, second_shot_at: f64) -> Vec<Event> {
    vec![
        node_started("n", 0, "a"),
        node_started("m", 1, "a"),
        node_started("far", 2, "b"),
        Event::CommandSent { t: 1.0, gateway: 1, mark: A, volume: 5, band, units: 1, key: 7, budget: 9.0 },
        shot_arrived(1.0, "n", A, 0),
        shot_ended(1.1, "n", A, 0, end),
        shot_arrived(second_shot_at, node, A, 1),
        shot_ended(second_shot_at + 0.01, node, A, 1, ShotEnd::Answered),
        final_answer(second_shot_at + 0.02, A, TransactionEnd::Settled),
    ]
}

#[test_case(two_shots(0, FAILED, "far", 1.2), &[]; "a repeatable command on any node")]
#[test_case(two_shots(1, REFUSED, "n", 1.2), &[]; "a once only command that was refused")]
#[test_case(two_shots(1, FAILED, "n", 1.2), &[2]; "a once only command that failed")]
#[test_case(two_shots(1, ShotEnd::Broken, "n", 1.2), &[2]; "a once only command whose connection broke")]
#[test_case(two_shots(2, FAILED, "m", 2.9), &[]; "a tagged command within its scope and window")]
#[test_case(two_shots(2, FAILED, "m", 3.1), &[2]; "a tagged command after its window")]
#[test_case(two_shots(2, FAILED, "far", 1.2), &[2]; "a tagged command outside its scope")]
#[test_case(two_shots(3, FAILED, "far", 1.2), &[]; "a tagged command whose scope is all nodes")]
#[test_case(two_shots(0, FAILED, "n", 1.095), &[]; "the next shot within the transit of the end of the previous one")]
#[test_case(two_shots(0, FAILED, "n", 1.05), &[2]; "two shots in flight at once")]
#[test_case(vec![command_sent(1.0, A, 1), shot_arrived(1.0, "n", A, 0), shot_ended(1.1, "n", A, 0, FAILED), final_answer(1.2, A, TransactionEnd::Declined)], &[2]; "declined though it may have run")]
#[test_case(vec![command_sent(1.0, A, 1), shot_arrived(1.0, "n", A, 0), shot_ended(1.1, "n", A, 0, FAILED), final_answer(1.2, A, TransactionEnd::Scrapped)], &[]; "scrapped though it may have run")]
#[test_case(vec![command_sent(1.0, A, 1), shot_arrived(1.0, "n", A, 0), shot_ended(1.1, "n", A, 0, REFUSED), final_answer(1.2, A, TransactionEnd::Declined)], &[]; "declined after a refusal")]
#[test_case(vec![command_sent(1.0, A, 1), effect_applied(1.1, A), final_answer(1.2, A, TransactionEnd::Settled), command_sent(1.3, A + 1, 1), effect_applied(1.4, A + 1), final_answer(1.5, A + 1, TransactionEnd::Settled)], &[2]; "one once only operation run by two tries of its client")]
#[test_case(vec![command_sent(1.0, A, 0), effect_applied(1.1, A), final_answer(1.2, A, TransactionEnd::Settled), command_sent(1.3, A + 1, 0), effect_applied(1.4, A + 1), final_answer(1.5, A + 1, TransactionEnd::Settled)], &[]; "one repeatable operation run by two tries of its client")]
fn no_effect_twice(events: Vec<Event>, expected: &[u8]) {
    assert_eq!(broken_rules(events), expected);
}

/// The node stops with the first shot in flight and starts again under the same name: its stop ends the shot.
#[test_case(0, 1.5, &[]; "a repeatable command is sent again after the node stopped")]
#[test_case(1, 1.5, &[2]; "a once only command is sent again after the node stopped")]
#[test_case(0, 1.15, &[2]; "a repeatable command is sent again before the node stopped")]
fn a_stopped_node_ends_its_shots(band: usize, sent_again_at: f64, expected: &[u8]) {
    let mut events = two_shots(band, FAILED, "n", sent_again_at);
    events.retain(|event| !matches!(event, Event::ShotEnded { end: ShotEnd::Failed, .. }));
    events.push(Event::NodeStopped { t: 1.3, node: "n".into() });
    assert_eq!(broken_rules(events), expected);
}

fn one_transaction(t: f64) -> Vec<Event> {
    vec![
        command_sent(t - 0.1, A, 0),
        shot_arrived(t, "n", A, 0),
        shot_ended(t + 0.01, "n", A, 0, ShotEnd::Answered),
        final_answer(t + 0.02, A, TransactionEnd::Settled),
    ]
}

fn with_events(mut events: Vec<Event>, added: Vec<Event>) -> Vec<Event> {
    events.extend(added);
    events
}

#[test_case(with_events(one_transaction(6.005), vec![list_entry_sent(5.0, "n", ListedCondition::Draining)]), &[]; "within the grace")]
#[test_case(with_events(one_transaction(6.02), vec![list_entry_sent(5.0, "n", ListedCondition::Draining)]), &[3]; "after the grace")]
#[test_case(with_events(one_transaction(6.02), vec![list_entry_sent(5.0, "n", ListedCondition::Removed)]), &[3]; "after the grace for a removal")]
#[test_case(with_events(one_transaction(6.5), vec![list_entry_sent(5.0, "n", ListedCondition::Removed), list_entry_sent(5.5, "n", ListedCondition::Ready)]), &[]; "the node is listed as ready again")]
#[test_case(with_events(one_transaction(6.5), vec![list_entry_sent(5.0, "n", ListedCondition::Draining), list_entry_sent(6.0, "n", ListedCondition::Removed)]), &[3]; "the grace counts from the first of two entries")]
#[test_case(with_events(one_transaction(6.5), vec![list_entry_sent(5.0, "n", ListedCondition::Draining), gateway_killed(5.2), Event::GatewayStarted { t: 5.5, gateway: 1 }]), &[]; "a restarted gateway has not been informed")]
#[test_case(with_events(one_transaction(6.5), vec![stalled(4.5, true), list_entry_sent(5.0, "n", ListedCondition::Draining), stalled(5.6, false)]), &[]; "informed while the gateway was stopped")]
fn no_shot_after_the_drain_grace(events: Vec<Event>, expected: &[u8]) {
    assert_eq!(broken_rules(events), expected);
}

/// Shots of three gateways overload a cold node; the first `informed` of them know of its start.
fn overloaded(informed: u64) -> Vec<Event> {
    let mut events = vec![node_started("n", 0, "a"), Event::NodeOverloaded { t: 5.5, node: "n".into() }];
    for gateway in 0..3u32 {
        let mark = A * u64::from(gateway + 1);
        if u64::from(gateway) < informed {
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

#[test_case(2, &[4]; "two thirds of the units from informed gateways")]
#[test_case(1, &[]; "a third of the units from informed gateways")]
fn cold_node_overload(informed: u64, expected: &[u8]) {
    assert_eq!(broken_rules(overloaded(informed)), expected);
}

/// Transactions A and B with the same key: how and when the shot of A ends, and when the shot of B arrives.
fn ordered(end: ShotEnd, first_ends_at: f64, second_arrives_at: f64) -> Vec<Event> {
    vec![
        command_sent(1.0, A, 2),
        command_sent(1.1, B, 2),
        shot_arrived(1.05, "n", A, 0),
        shot_ended(first_ends_at, "n", A, 0, end),
        final_answer(
            first_ends_at + 0.005,
            A,
            if end == ShotEnd::Answered { TransactionEnd::Settled } else { TransactionEnd::Scrapped },
        ),
        shot_arrived(second_arrives_at, "n", B, 0),
        shot_ended(second_arrives_at + 0.01, "n", B, 0, ShotEnd::Answered),
        final_answer(second_arrives_at + 0.02, B, TransactionEnd::Settled),
    ]
}

#[test_case(ordered(ShotEnd::Answered, 1.2, 1.201), &[]; "right after the earlier transaction was answered")]
#[test_case(ordered(ShotEnd::Answered, 1.2, 1.15), &[5]; "while the earlier transaction runs")]
#[test_case(ordered(ShotEnd::Aborted, 1.2, 1.295), &[]; "after the quiet period")]
#[test_case(ordered(ShotEnd::Aborted, 1.2, 1.25), &[5]; "within the quiet period after an abort")]
#[test_case(ordered(ShotEnd::Broken, 1.2, 1.25), &[5]; "within the quiet period after a lost connection")]
#[test_case(vec![command_sent(1.0, A, 2), command_sent(1.1, B, 2), shot_arrived(1.2, "n", B, 0), shot_ended(1.21, "n", B, 0, ShotEnd::Answered), final_answer(1.22, B, TransactionEnd::Settled), final_answer(1.5, A, TransactionEnd::Declined)], &[5]; "the later transaction overtakes one that waits")]
#[test_case(vec![command_sent(1.0, A, 2), command_sent(1.1, B, 2), final_answer(1.15, A, TransactionEnd::Declined), shot_arrived(1.16, "n", B, 0), shot_ended(1.21, "n", B, 0, ShotEnd::Answered), final_answer(1.22, B, TransactionEnd::Settled)], &[]; "the earlier transaction was declined")]
#[test_case(vec![command_sent(1.0, A, 2), command_sent(1.005, B, 2), shot_arrived(1.2, "n", B, 0), shot_ended(1.21, "n", B, 0, ShotEnd::Answered), final_answer(1.22, B, TransactionEnd::Settled), final_answer(1.9, A, TransactionEnd::Declined)], &[]; "sent by their clients at the same moment")]
fn key_order(events: Vec<Event>, expected: &[u8]) {
    assert_eq!(broken_rules(events), expected);
}

/// Guards against counting gateways as informed of a node that has since restarted under the same name.
#[test]
fn a_restart_under_the_same_name_must_be_listed_again() {
    let mut events = overloaded(3);
    events.push(node_started_at(4.0, "n"));
    assert!(broken_rules(events.clone()).is_empty());
    // An entry that was sent after the restart and still describes the previous process.
    for gateway in 0..3 {
        let condition = ListedCondition::Ready;
        events.push(Event::ListEntrySent { t: 4.2, gateway, node: "n".into(), condition, listed_at: 1.0 });
    }
    assert!(broken_rules(events.clone()).is_empty());
    for gateway in 0..2 {
        let condition = ListedCondition::Ready;
        events.push(Event::ListEntrySent { t: 4.5, gateway, node: "n".into(), condition, listed_at: 4.5 });
    }
    assert_eq!(broken_rules(events), [4]);
}

/// `count` transactions within a look-back, of which `retries` had a second shot.
fn transactions_with_retries(count: u64, retries: u64) -> Vec<Event> {
    let mut events = Vec::new();
    for index in 0..count {
        let (t, mark) = (1.0 + 0.1 * index as f64, A * (index + 1));
        events.push(command_sent(t, mark, 0));
        events.push(shot_arrived(t, "n", mark, 0));
        events.push(shot_ended(t + 0.01, "n", mark, 0, FAILED));
    }
    for index in 0..count {
        let (t, mark) = (5.0 + 0.1 * index as f64, A * (index + 1));
        if index < retries {
            events.push(shot_arrived(t, "n", mark, 1));
            events.push(shot_ended(t + 0.01, "n", mark, 1, FAILED));
        }
        events.push(Event::ClientCancelled { t: t + 0.02, mark });
    }
    events
}

#[test_case(8, 5, &[]; "one free retry and half of eight transactions")]
#[test_case(8, 6, &[6]; "one retry more than the budget")]
fn shots_within_the_retry_budget(count: u64, retries: u64, expected: &[u8]) {
    assert_eq!(broken_rules(transactions_with_retries(count, retries)), expected);
}

#[test_case(&[(1.0, 20), (1.0, 3)], &[]; "a burst and the slack")]
#[test_case(&[(1.0, 20), (1.0, 4)], &[7]; "one unit more than burst and slack")]
#[test_case(&[(1.0, 20), (2.0, 13)], &[]; "as much as the rate refilled")]
#[test_case(&[(1.0, 20), (2.0, 14)], &[7]; "more than the rate refilled")]
#[test_case(&[(1.0, 20), (50.0, 23), (50.0, 1)], &[7]; "unused units accumulate to at most one burst")]
fn volume_limits(sends: &[(f64, u32)], expected: &[u8]) {
    let events =
        sends.iter().zip(1..).flat_map(|((t, units), number)| limited_transaction(*t, number * A, *units));
    assert_eq!(broken_rules(events.collect()), expected);
}
