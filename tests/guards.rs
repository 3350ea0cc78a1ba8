//! The rules that the scheduler must keep, one section each.

mod helper;

use helper::{settings, TestInitiator};
use quaypath::types::{
    ListKind::{Changes, Whole},
    NodeCondition::*,
    Outcome::*,
    *,
};
use test_case::test_case;

/// An initiator with one warm node, a, which holds block 1.
fn one_node(settings: Settings) -> TestInitiator {
    let mut initiator = TestInitiator::new(100.0, settings);
    initiator.add_node("a", 1);
    initiator
}

// Rule 1: one final answer, in time.
#[test_case(Some(1) ; "its node is unknown")]
#[test_case(None ; "a new object without any node")]
fn a_transaction_that_cannot_be_sent_is_declined_by_its_due_time(block: Option<i64>) {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.receive(1, 0, 1, 2.0, block).run_until(100.4);
    assert_eq!(initiator.take_actions(), ["decline 1 0.5"]);
    initiator.add_node("a", 1).run_until(103.0);
    assert!(initiator.take_actions().is_empty());
}

#[test]
fn no_action_follows_the_end_of_a_transaction() {
    let mut initiator = one_node(settings());
    initiator.receive(1, 0, 1, 2.0, Some(1)).take_actions();
    initiator.scheduler.client_cancelled(100.1, TransactionId(1), &mut initiator.actions);
    initiator.set_time(100.2).complete(1, "a", Failed).run_until(103.0);
    initiator.scheduler.client_cancelled(103.0, TransactionId(1), &mut initiator.actions);
    assert_eq!(initiator.take_actions(), ["cancel 1 0"]);
}

// Rule 2: no effect twice.
#[test_case(0, Failed, "send 1 a" ; "repeatable after an error")]
#[test_case(1, Failed, "scrap 1" ; "once only after an error")]
#[test_case(1, TimedOut, "scrap 1" ; "once only after a time out")]
#[test_case(1, Reset, "scrap 1" ; "once only after a reset")]
#[test_case(1, QueueFull, "send 1 a" ; "once only refused by a full queue")]
#[test_case(1, Unreachable, "send 1 a" ; "once only without a connection")]
#[test_case(2, Failed, "send 1 a" ; "tagged inside its cell")]
#[test_case(3, Failed, "send 1 a" ; "tagged everywhere")]
fn the_action_after_a_shot_without_success(band: usize, outcome: Outcome, next: &str) {
    let mut initiator = one_node(settings());
    initiator.receive(1, band, 1, 2.0, Some(1)).set_time(100.05).take_actions();
    initiator.complete(1, "a", outcome).run_until(100.25);
    assert_eq!(initiator.take_actions(), [next]);
}

#[test_case(0, "decline 1 0.5" ; "repeatable is declined")]
#[test_case(1, "scrap 1" ; "once only is scrapped")]
#[test_case(2, "scrap 1" ; "tagged in its cell is scrapped")]
#[test_case(3, "decline 1 0.5" ; "tagged everywhere is declined")]
fn a_time_out_after_the_due_time_ends_the_transaction(band: usize, answer: &str) {
    let mut initiator = one_node(settings());
    initiator.receive(1, band, 1, 2.0, Some(1)).set_time(101.9).take_actions();
    assert_eq!(initiator.complete(1, "a", TimedOut).take_actions(), [answer]);
}

// Guards against a double effect: a tagged new object whose second shot was refused moved to another node although
// its first shot may have run.
#[test_case(Failed, "send 1 a" ; "stays at the node where it may have run")]
#[test_case(Unreachable, "send 1 b" ; "moves while nothing can have run")]
fn a_new_object_after_two_shots_without_success(first: Outcome, last: &str) {
    let mut initiator = one_node(settings());
    initiator.receive(1, 2, 1, 2.0, None).add_node("b", 2);
    assert_eq!(initiator.take_actions(), ["send 1 a"]);
    initiator.set_time(100.02).complete(1, "a", first).run_until(100.1);
    let second = initiator.take_actions().pop().unwrap();
    initiator.complete(1, &second[7..], QueueFull).run_until(100.3);
    assert_eq!((second.as_str(), initiator.take_actions().len()), (last, 1));
    if first == Failed {
        assert_eq!(second, "send 1 a");
    }
}

/// How the nodes of a block change between a shot and its outcome.
#[derive(Clone, Copy, PartialEq)]
enum Replacement {
    BeforeOutcome,
    AfterOutcome,
}
use Replacement::*;

// Guards against a double effect: a repeat was sent to the node that replaced the first one in another zone, where its
// tag is not recognised. Repeats within the scope still go out.
#[test_case(DedupScope::Zone, "hall-b", Reset, BeforeOutcome, "scrap 1" ; "zone, replaced in another zone")]
#[test_case(DedupScope::Zone, "hall-b", Reset, AfterOutcome, "scrap 1" ; "zone, replaced in another zone while it waits")]
#[test_case(DedupScope::Zone, "hall-a", Reset, BeforeOutcome, "send 1 b" ; "zone, replaced in the same zone")]
#[test_case(DedupScope::Zone, "hall-a", Reset, AfterOutcome, "send 1 b" ; "zone, replaced in the same zone while it waits")]
#[test_case(DedupScope::Zone, "", Reset, BeforeOutcome, "scrap 1" ; "zone, replaced in an unknown zone")]
#[test_case(DedupScope::Zone, "hall-b", Unreachable, BeforeOutcome, "send 1 b" ; "zone, nothing can have run")]
#[test_case(DedupScope::Zone, "hall-b", Unreachable, AfterOutcome, "send 1 b" ; "zone, nothing can have run, while it waits")]
#[test_case(DedupScope::Cell, "hall-b", Reset, BeforeOutcome, "send 1 b" ; "cell, replaced in another zone")]
#[test_case(DedupScope::All, "hall-b", Reset, AfterOutcome, "send 1 b" ; "all, replaced in another zone")]
fn the_action_after_the_node_was_replaced(
    dedup_scope: DedupScope, zone: &'static str, outcome: Outcome, replacement: Replacement, next: &str,
) {
    let mut settings = settings();
    settings.bands[3].dedup_scope = dedup_scope;
    let mut initiator = TestInitiator::new(100.0, settings);
    initiator.zone = Some("hall-a");
    initiator.add_node("a", 1).receive(1, 3, 1, 2.0, Some(1)).take_actions();
    initiator.set_time(100.02).receive_list(Changes, &[("a", 1, Removed, 0.0)]);
    initiator.zone = Some(zone);
    if replacement == AfterOutcome {
        initiator.complete(1, "a", outcome);
        assert!(initiator.take_actions().is_empty());
    }
    initiator.add_node("b", 1);
    if replacement == BeforeOutcome {
        initiator.complete(1, "a", outcome);
    }
    let answered_at_once = initiator.take_actions();
    if next.starts_with("scrap") {
        assert_eq!(answered_at_once, [next]);
    } else {
        assert_eq!([answered_at_once, initiator.run_until(100.3).take_actions()].concat(), [next]);
    }
}

// The group of a repeat is that of the first shot that may have run, wherever later ones were sent.
#[test]
fn a_repeat_returns_to_the_zone_in_which_it_may_have_run() {
    let mut settings = Settings { max_shots: 6, ..settings() };
    settings.bands[3].dedup_scope = DedupScope::Zone;
    let mut initiator = TestInitiator::new(100.0, settings);
    initiator.zone = Some("hall-a");
    initiator.add_node("a", 1).receive(1, 3, 1, 2.0, Some(1)).set_time(100.01).complete(1, "a", Unreachable);
    initiator.zone = Some("hall-b");
    initiator.add_node("b", 1).run_until(100.1);
    assert_eq!(initiator.take_actions().last().unwrap(), "send 1 b");
    initiator.complete(1, "b", Failed);
    initiator.run_until(100.2);
    assert_eq!(initiator.take_actions(), ["send 1 b"]);
    initiator.zone = Some("hall-a");
    initiator.add_node("d", 1).complete(1, "b", Failed);
    assert_eq!(initiator.take_actions(), ["scrap 1"]);
}

// Rule 3: draining nodes. No other node holds the block for some seconds, and the draining node still serves, so
// shots are sent to it within a part of the grace.
#[test_case(Changes, Draining, 1.1, 1 ; "within the part of the grace")]
#[test_case(Changes, Draining, 1.3, 0 ; "near the end of the grace")]
#[test_case(Whole, Draining, 0.1, 0 ; "a complete list does not state since when it drains")]
#[test_case(Changes, Removed, 0.1, 0 ; "removed")]
fn shots_to_a_draining_node(kind: ListKind, condition: NodeCondition, after: f64, sent: usize) {
    let mut initiator = one_node(Settings { drain_grace: 2.0, ..settings() });
    initiator.set_time(101.0).receive_list(kind, &[("a", 1, condition, 0.0)]);
    // A repeated report does not restart the grace.
    initiator.set_time(101.2).receive_list(kind, &[("a", 1, condition, 0.0)]);
    initiator.set_time(101.0 + after).receive(1, 0, 2, 1.0, Some(1));
    assert_eq!(initiator.sent_count(), sent);
}

#[test_case(Changes, &[("a", 1, Draining, 0.0)], 0 ; "draining")]
#[test_case(Changes, &[("a", 1, Removed, 0.0)], 0 ; "removed")]
#[test_case(Whole, &[("b", 2, Ready, 0.0)], 0 ; "absent from a complete list")]
#[test_case(Changes, &[("b", 2, Ready, 0.0)], 1 ; "absent from a list of changes")]
#[test_case(ListKind::Failed, &[], 1 ; "a failed fetch changes nothing")]
#[test_case(Changes, &[("c", 1, Ready, 0.0), ("a", 1, Removed, 0.0)], 1 ; "replaced, then the previous node removed")]
fn shots_after_a_list(kind: ListKind, entries: &[(&str, i64, NodeCondition, f64)], sends: usize) {
    let mut initiator = one_node(settings());
    initiator.receive_list(kind, entries).receive(1, 0, 1, 2.0, Some(1));
    let actions = initiator.take_actions();
    assert_eq!(actions.iter().filter(|line| line.starts_with("send 1")).count(), sends);
}

#[test]
fn a_failed_fetch_of_the_list_is_retried_after_a_delay() {
    let mut initiator = TestInitiator::new(100.0, Settings { must_subscribe: true, ..settings() });
    assert_eq!(initiator.take_actions(), ["subscribe true"]);
    initiator.receive_list(ListKind::Failed, &[]);
    assert!(initiator.take_actions().is_empty());
    initiator.run_until(102.0);
    assert_eq!(initiator.take_actions(), ["subscribe true"]);
}

// Rule 4: a cold node serves 8 units in a window of 1 s for two initiators, and five times that once it is warm.
#[test_case(90.0, 100.1, 100.1, 2 ; "just started: an even part, four units")]
#[test_case(99.9, 100.1, 100.1, 0 ; "an initiator that has just started sends nothing for one window")]
#[test_case(90.0, 94.0, 100.1, 6 ; "half way warm")]
#[test_case(80.0, 80.1, 100.1, 10 ; "warm: only the concurrency limit applies")]
fn shots_to_a_cold_node(initiator_start: f64, node_start: f64, now: f64, sends: usize) {
    let mut initiator = TestInitiator::new(initiator_start, settings());
    initiator.set_time(now).receive_list(Changes, &[("a", 1, Ready, node_start)]);
    for id in 1..=30 {
        initiator.receive(id, 0, 2, 2.0, Some(1));
    }
    assert_eq!(initiator.sent_count(), sends);
}

/// The number of shots sent to node b, which started at 100, while a hundred transactions per second arrive.
fn sent_in_four_seconds(initiator: &mut TestInitiator) -> usize {
    let mut sent = 0;
    for id in 1000..1400 {
        initiator.run_until(100.0 + 0.01 * (id - 999) as f64).receive(id, 0, 2, 2.0, Some(1));
        for id in initiator.sent_ids() {
            sent += 1;
            initiator.complete(id, "b", Settled);
        }
    }
    sent
}

// Guards against starvation of a cold node: with a budget below one transaction, an initiator of a large fleet sent
// nothing until the node was warm.
#[test_case(2.0, 0, 8..=13 ; "two initiators, nothing settled before: four units per window, growing")]
#[test_case(100.0, 0, 0..=1 ; "a hundred initiators: at most one in four seconds")]
#[test_case(100.0, 340, 30..=57 ; "a hundred initiators, the node used before: below the 115 units that the rule allows")]
fn shots_to_a_cold_node_in_four_seconds(
    initiators: f64, before: u64, sends: std::ops::RangeInclusive<usize>,
) {
    let mut initiator = TestInitiator::new(80.0, Settings { initiators, ..settings() });
    initiator.receive_list(Changes, &[("a", 1, Ready, 1.0)]);
    for id in 1..=before {
        initiator
            .set_time(80.0 + 0.05 * id as f64)
            .receive(id, 0, 2, 2.0, Some(1))
            .complete(id, "a", Settled);
    }
    initiator.set_time(100.0).receive_list(Changes, &[("b", 1, Ready, 100.0)]).take_actions();
    let sent = sent_in_four_seconds(&mut initiator);
    assert!(sends.contains(&sent), "{sent}");
}

// All initiators send at once; the node serves 8 units in any second.
#[test_case(0.0 ; "just started")]
#[test_case(2.0 ; "a little later")]
fn units_that_a_hundred_initiators_send_to_a_cold_node_in_a_second(from: f64) {
    let (mut units, mut total) = (0, 0);
    for seed in 0..100 {
        let mut initiator =
            TestInitiator::with_seed(80.0, seed, Settings { initiators: 100.0, ..settings() });
        initiator.set_time(100.0).receive_list(Changes, &[("a", 1, Ready, 100.0)]);
        for id in 0..200 {
            initiator.run_until(100.0 + 0.02 * id as f64).receive(id, 0, 2, 2.0, Some(1));
            let sent = 2 * initiator.sent_count();
            total += sent;
            units += if (from..from + 1.0).contains(&(0.02 * id as f64)) { sent } else { 0 };
        }
    }
    assert!(units <= 24 && total >= 16, "{units} {total}");
}

// Guards against a wrong budget: an initiator that had just started took one second of a volume's burst as the node's
// usual rate.
#[test_case(97.0 ; "just started")]
#[test_case(70.0 ; "started long before")]
fn a_burst_before_the_start_of_a_node_is_not_its_rate(initiator_start: f64) {
    let mut initiator = TestInitiator::new(initiator_start, Settings { initiators: 100.0, ..settings() });
    initiator.receive_list(Changes, &[("a", 1, Ready, 1.0)]);
    for id in 1..=50 {
        initiator
            .set_time(98.5 + 0.02 * id as f64)
            .receive(id, 0, 2, 2.0, Some(1))
            .complete(id, "a", Settled);
    }
    initiator.set_time(100.0).receive_list(Changes, &[("b", 1, Ready, 100.0)]).take_actions();
    let sent = sent_in_four_seconds(&mut initiator);
    assert!(sent <= 10, "{sent}");
}

/// An initiator started at 80 that received requests for block 1, which had no node, and for `others` of the other 39
/// blocks.
fn with_requests_for(others: u64, seed: u64) -> TestInitiator {
    let mut initiator = TestInitiator::with_seed(80.0, seed, Settings { initiators: 100.0, ..settings() });
    let names: Vec<_> = (2..=40).map(|block| (format!("n{block}"), block)).collect();
    let warm: Vec<_> = names.iter().map(|(name, block)| (name.as_str(), *block, Ready, 1.0)).collect();
    initiator.receive_list(Changes, &warm);
    for (number, block) in (1..=others as i64 + 1).cycle().take(10 * (others as usize + 1)).enumerate() {
        initiator.run_until(81.0 + 0.04 * number as f64).receive(1 + number as u64, 0, 2, 2.0, Some(block));
        for id in initiator.sent_ids() {
            initiator.complete(id, &format!("n{block}"), Settled);
        }
    }
    initiator.run_until(100.0).receive_list(Changes, &[("b", 1, Ready, 100.0)]).take_actions();
    initiator
}

// Guards against idle capacity: a node is mostly used by a few of the initiators, so an even division among all of
// them left its budget unused.
#[test_case(39, 0..=1 ; "requests for all nodes: one of a hundred that share the node")]
#[test_case(1, 2..=5 ; "requests for two of forty nodes: one of a few")]
fn shots_of_one_initiator_to_a_cold_node(others: u64, sends: std::ops::RangeInclusive<usize>) {
    let sent = sent_in_four_seconds(&mut with_requests_for(others, 7));
    assert!(sends.contains(&sent), "{sent}");
}

/// All users of the node at once: one initiator in ten, as each receives requests for four of forty nodes. The node
/// serves 8 units per second at first and 44 in four seconds.
#[test]
fn the_likely_users_of_a_cold_node_share_it() {
    let units: usize = (0..10).map(|seed| 2 * sent_in_four_seconds(&mut with_requests_for(3, seed))).sum();
    assert!((16..=44).contains(&units), "{units}");
}

// The nodes of a site restart together, so that all of them are cold.
#[test_case(&[100.0, 100.0, 0.0], "send 1 n2" ; "a new object goes to the node that kept running")]
#[test_case(&[100.0, 100.0, 100.0], "" ; "all cold and nothing known: it waits for the budget")]
fn a_new_object_after_a_site_restarted(starts: &[f64], first: &str) {
    let mut initiator = TestInitiator::new(80.0, Settings { initiators: 250.0, ..settings() });
    let nodes: Vec<_> =
        starts.iter().enumerate().map(|(index, start)| (format!("n{index}"), index as i64, *start)).collect();
    let entries: Vec<_> =
        nodes.iter().map(|(name, block, start)| (name.as_str(), *block, Ready, *start)).collect();
    initiator.set_time(100.1).receive_list(Whole, &entries).take_actions();
    initiator.receive(1, 3, 2, 2.0, None);
    assert_eq!(initiator.take_actions().join(" "), first);
}

// A replacement that is listed as smaller serves proportionally less; a larger listed size has no effect.
#[test_case(1.0, 30..=57 ; "the same size")]
#[test_case(0.25, 4..=16 ; "a quarter of the size")]
#[test_case(8.0, 30..=57 ; "eight times the size")]
fn a_cold_node_listed_by_size(size: f64, sends: std::ops::RangeInclusive<usize>) {
    let mut initiator = TestInitiator::new(80.0, Settings { initiators: 100.0, ..settings() });
    initiator.size = 1.0;
    initiator.receive_list(Changes, &[("a", 1, Ready, 1.0)]);
    for id in 1..=340 {
        initiator
            .set_time(80.0 + 0.05 * id as f64)
            .receive(id, 0, 2, 2.0, Some(1))
            .complete(id, "a", Settled);
    }
    initiator.size = size;
    initiator.set_time(100.0).receive_list(Changes, &[("b", 1, Ready, 100.0)]).take_actions();
    let sent = sent_in_four_seconds(&mut initiator);
    assert!(sends.contains(&sent), "{sent}");
}

// Rule 5: key order.
#[test_case(Settled, 100.05 ; "after an answer the next follows immediately")]
#[test_case(Reset, 100.15 ; "after a reset the key rests")]
#[test_case(TimedOut, 100.15 ; "after a time out the key rests")]
fn the_next_transaction_on_a_key_is_sent(outcome: Outcome, from: f64) {
    let mut initiator = one_node(Settings { max_shots: 1, ..settings() });
    initiator.receive_with_key(1, 2, 1, 1.0, Some(1), "k").receive_with_key(2, 2, 1, 1.0, Some(1), "k");
    assert_eq!(initiator.take_actions(), ["send 1 a"]);
    initiator.set_time(100.05).complete(1, "a", outcome);
    initiator
        .run_until(from - 0.01)
        .take_actions()
        .iter()
        .for_each(|line| assert!(outcome == Settled || line != "send 2 a"));
    let mut initiator = one_node(Settings { max_shots: 1, ..settings() });
    initiator.receive_with_key(1, 2, 1, 1.0, Some(1), "k").receive_with_key(2, 2, 1, 1.0, Some(1), "k");
    initiator.set_time(100.05).complete(1, "a", outcome).run_until(from + 0.02);
    assert!(initiator.take_actions().contains(&"send 2 a".to_string()));
}

#[test]
fn a_key_waits_for_a_shot_that_outlives_its_transaction() {
    let mut initiator = one_node(settings());
    initiator.receive_with_key(1, 2, 1, 1.0, Some(1), "k").take_actions();
    initiator.scheduler.client_cancelled(100.05, TransactionId(1), &mut initiator.actions);
    initiator.set_time(100.06).receive_with_key(2, 2, 1, 1.0, Some(1), "k");
    assert_eq!(initiator.take_actions(), ["cancel 1 0"]);
    assert_eq!(initiator.set_time(100.1).complete(1, "a", Settled).take_actions(), ["send 2 a"]);
}

// Rule 6: the retry budget is one further shot and a tenth of the transactions received.
#[test_case(5, 1 ; "few received")]
#[test_case(25, 3 ; "more received")]
fn further_shots_within_the_budget(received: u64, expected: usize) {
    let mut initiator =
        one_node(Settings { retry_budget: Some((0.1, 1.0, 5.0)), max_shots: 9, ..settings() });
    initiator.receive(1, 0, 2, 1.0, Some(1));
    (2..=received).for_each(|id| {
        initiator.receive(id, 0, 2, 1.0, Some(9));
    });
    initiator.take_actions();
    for round in 0..9 {
        initiator.set_time(100.01 + 0.002 * f64::from(round)).complete(1, "a", Failed);
        initiator.run_until(100.011 + 0.002 * f64::from(round));
    }
    assert!(initiator.take_actions().iter().filter(|line| *line == "send 1 a").count() == expected);
}

// Rule 7: a limit of 10 units per second, at most 20 at once, divided between two initiators.
#[test_case(0.0, 0 ; "nothing at the start of the initiator")]
#[test_case(0.9, 2 ; "an even part of the rate")]
#[test_case(60.0, 5 ; "never more than an even part of the burst")]
fn a_limited_volume_sends(after: f64, sends: usize) {
    let mut initiator = one_node(settings());
    initiator.receive(99, 0, 0, 2.0, Some(9)).set_time(100.0 + after);
    (1..=12).for_each(|id| {
        initiator.receive(id, 0, 0, 2.0, Some(1));
    });
    assert_eq!(initiator.sent_count(), sends);
}

// Rule 1: a long node list and thousands of transactions at once, then the process does not run for three seconds,
// so that all timers are late.
#[test]
fn each_transaction_of_a_backlog_after_a_stall_is_answered_once() {
    let mut initiator = TestInitiator::new(100.0, settings());
    let names: Vec<_> = (0..300).map(|block| (format!("n{block}"), block)).collect();
    initiator.receive_list(
        Whole,
        &names.iter().map(|(name, block)| (name.as_str(), *block, Ready, 0.0)).collect::<Vec<_>>(),
    );
    for id in 0..4000 {
        initiator.receive(id, id as usize % 4, id as usize % 3, 2.0, Some(id as i64 % 310));
    }
    initiator.set_time(103.0).run_until(104.0);
    let actions = initiator.take_actions();
    let ids: std::collections::BTreeSet<_> =
        actions.iter().map(|line| line.split(' ').nth(1).unwrap()).collect();
    assert_eq!((ids.len(), actions.len()), (4000, 4000));
}

// Idle volumes are evicted without a second burst for them.
#[test]
fn an_evicted_volume_returns_without_a_second_burst() {
    // The limit is 10 units per second with a burst of 20; each of two initiators has one half.
    let mut initiator = one_node(settings());
    let mut id = 0;
    let mut send_many = |initiator: &mut TestInitiator, start: f64| {
        initiator.run_until(start);
        let mut sent = 0;
        for _ in 0..20 {
            id += 1;
            initiator.receive(id, 0, 0, 1.0, Some(1));
            sent += initiator.sent_count();
            initiator.complete(id, "a", Settled);
            sent += initiator.sent_count();
        }
        initiator.run_until(start + 1.0);
        initiator.take_actions();
        sent
    };
    let first = send_many(&mut initiator, 110.0);
    assert!(first <= 10, "no more than an even part of the burst: {first}");
    initiator.run_until(300.0).receive(900, 1, 1, 1.0, Some(1)).take_actions();
    assert_eq!(
        initiator.scheduler.tracked_counts().0,
        1,
        "the limited volume is evicted, the one just used is kept"
    );
    let second = send_many(&mut initiator, 301.0);
    assert!(second <= 10, "no more than an even part of the burst: {second}");
    // A volume that is used again before its bucket is full keeps the bucket.
    let early = send_many(&mut initiator, 302.1);
    assert!(early <= 6, "only what the rate added since, no burst: {early}");
}

#[test]
fn volumes_and_keys_without_use_are_evicted() {
    let mut initiator = one_node(settings());
    for id in 0..5000u64 {
        let now = 100.0 + id as f64;
        let (extent, volume) = (ExtentId(format!("k{id}").into()), VolumeId(format!("v{id}").into()));
        let (plan, block, actions) = (Some(PlanId(0)), Some(BlockId(1)), &mut initiator.actions);
        actions.now = now;
        let id = TransactionId(id);
        initiator.scheduler.transaction_received(
            now,
            id,
            2.0,
            plan,
            BandId(2),
            Some(extent),
            2.0,
            1.0,
            volume,
            block,
            actions,
        );
        initiator.run_until(now + 0.9).complete(id.0, "a", Settled).take_actions();
    }
    let (volumes, keys) = initiator.scheduler.tracked_counts();
    assert!(volumes < 200 && keys < 200, "{volumes} volumes, {keys} keys");
}

/// Guards against memory that grows with the blocks that clients name and with the nodes that were ever listed.
#[test]
fn nodes_that_are_not_listed_are_forgotten_once_nobody_asks_for_them() {
    let mut initiator = one_node(settings());
    let before = initiator.scheduler.node_memory_bytes();
    for id in 0..500 {
        initiator.receive(id, 0, 1, 1.0, Some(1000 + id as i64)).run_until(100.0 + id as f64 / 100.0);
    }
    assert!(initiator.scheduler.node_memory_bytes() > before + 500 * 1000, "each block is kept for now");
    let listed = |number: i64| ListedNode {
        node_id: NodeId(format!("b{number}").into()),
        block: BlockId(2000 + number),
        zone: None,
        condition: Ready,
        started: 0.0,
        size: 1.0,
    };
    let entries: Vec<ListedNode> = (0..500).map(listed).collect();
    initiator.scheduler.node_list_received(110.0, Whole, &entries, &mut initiator.actions);
    initiator.add_node("a", 1);
    // Five times the time after which unused things go.
    for minute in 2..8 {
        let (id, at) = (1000 + minute, 100.0 + 61.0 * minute as f64);
        initiator.run_until(at).receive(id, 0, 1, 1.0, Some(1)).complete(id, "a", Settled);
    }
    initiator.take_actions();
    assert!(!initiator.scheduler.tracks_block(BlockId(1000)) && initiator.scheduler.tracks_block(BlockId(1)));
    let after = initiator.scheduler.node_memory_bytes();
    assert!(after < before + 510 * 2000 && after > before + 500 * 500, "the listed nodes only: {after}");
    initiator.scheduler.node_list_received(700.0, Whole, &entries[..1], &mut initiator.actions);
    initiator.add_node("a", 1).run_until(701.0).receive(2000, 0, 1, 1.0, Some(1)).take_actions();
    assert!(initiator.scheduler.node_memory_bytes() < before + 8000, "removed nodes go");
}

/// Guards against memory that grows with the volumes that clients name, and against a limit that an evicted volume passes:
/// the least recently used go first, those in use and those whose limit is not full again stay.
#[test]
fn volumes_are_evicted_early_only_where_nothing_is_lost() {
    let mut initiator = one_node(settings());
    let use_volume = |initiator: &mut TestInitiator, at: f64, plan: usize| {
        let id = at as u64;
        initiator.run_until(at).receive(id, 0, plan, 1.0, Some(1)).complete(id, "a", Settled).take_actions();
    };
    // Plan 0 has a limit, whose bucket is full again after 4 s. The volumes are named by their plans.
    use_volume(&mut initiator, 110.0, 0);
    use_volume(&mut initiator, 111.0, 2);
    use_volume(&mut initiator, 112.0, 1);
    let tracked = |initiator: &TestInitiator| {
        let tracks = |plan| initiator.scheduler.tracks_volume(&VolumeId(format!("volume{plan}").into()));
        [tracks(0), tracks(1), tracks(2)]
    };
    initiator.scheduler.evict_volumes(112.0, 3);
    assert_eq!(tracked(&initiator), [true, true, true], "there is room for all");
    initiator.scheduler.evict_volumes(112.0, 2);
    assert_eq!(tracked(&initiator), [true, true, false], "the oldest one without a limit");
    initiator.run_until(113.0).receive(900, 0, 1, 1.0, Some(1)).take_actions();
    initiator.scheduler.evict_volumes(113.0, 0);
    assert_eq!(tracked(&initiator), [true, true, false], "one has a transaction, one's limit is not full");
    initiator.scheduler.evict_volumes(114.5, 0);
    assert_eq!(tracked(&initiator), [false, true, false], "one has a transaction");
}
