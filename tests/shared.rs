//! Reports of other initiators: loans of limits and latencies of nodes.

mod helper;

use std::sync::Arc;

use helper::{settings, TestInitiator};
use quaypath::types::*;
use test_case::test_case;

fn limit_id() -> LimitId {
    LimitId::of_volume(&VolumeId(Arc::from("volume0")))
}

impl TestInitiator {
    fn receive_report(&mut self, report: PeerReport) -> bool {
        let (now, actions) = (self.actions.now, &mut self.actions);
        self.scheduler.peer_report_received(now, report, actions)
    }

    fn balance(&mut self, limit_id: LimitId) -> Option<LimitBalance> {
        let now = self.actions.now;
        self.scheduler.limit_balances(now).into_iter().find(|balance| balance.limit_id == limit_id)
    }
}

/// An initiator that has run since the fleet was started. Its part of the limit is 5 units per second and 10 at once.
fn started_with_fleet() -> TestInitiator {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1).used = 0.0;
    initiator
        .receive(1, 0, 1, 1.0, Some(1))
        .set_time(100.01)
        .complete(1, "a", Outcome::Settled)
        .take_actions();
    initiator
}

#[test]
fn a_balance_is_a_shortfall_at_the_limit_and_spare_units_below_it() {
    let mut initiator = started_with_fleet();
    initiator.set_time(101.0);
    for id in 2..9 {
        initiator.receive(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(initiator.sent_count(), 5);
    let balance = initiator.balance(limit_id()).unwrap();
    assert!((balance.shortfall - 4.0).abs() < 0.1 && balance.spare == 0.0, "{balance:?}");
    let mut idle = started_with_fleet();
    idle.set_time(101.0).receive(2, 0, 0, 2.0, Some(1));
    let balance = idle.balance(limit_id()).unwrap();
    assert!(balance.shortfall == 0.0 && balance.spare > 5.0 && balance.spare <= 8.0, "{balance:?}");
}

#[test_case(4.0, 101.05, 2; "borrowed units are used")]
#[test_case(4.0, 101.0, 0; "none after they expired")]
fn borrowed_units_are_used_until_they_expire(units: f64, expires_at: f64, sent: usize) {
    let mut initiator = started_with_fleet();
    initiator.set_time(101.0);
    for id in 2..9 {
        initiator.receive(id, 0, 0, 2.0, Some(1));
    }
    initiator.take_actions();
    initiator.receive_report(PeerReport::Units(limit_id(), units, expires_at));
    assert_eq!(initiator.sent_count(), sent);
}

#[test_case(-6.0, 2; "lent units are not available")]
#[test_case(-12.0, 5; "more units than available are not lent")]
fn lent_units_are_not_used(units: f64, sent: usize) {
    let mut initiator = started_with_fleet();
    initiator.set_time(101.0).receive(2, 0, 0, 0.0, Some(1));
    initiator.take_actions();
    assert_eq!(initiator.receive_report(PeerReport::Units(limit_id(), units, 102.0)), units > -10.0);
    for id in 3..12 {
        initiator.receive(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(initiator.sent_count(), sent);
}

/// Guards against a second use of units that an earlier process lent: the borrowers may still use them.
#[test_case(0.0, 2; "nobody lends")]
#[test_case(1.1, 1; "after the loans have expired")]
fn a_restarted_initiator_fills_its_limit(earlier_loans_hold: f64, sent: usize) {
    let mut initiator = TestInitiator::new(100.0, Settings { earlier_loans_hold, ..settings() });
    initiator.add_node("a", 1).set_time(101.5);
    for id in 2..9 {
        initiator.receive(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(initiator.sent_count(), if earlier_loans_hold > 0.0 { sent } else { 3 });
}

#[test]
fn units_of_an_unknown_limit_are_refused() {
    let mut initiator = started_with_fleet();
    assert!(!initiator.receive_report(PeerReport::Units(limit_id(), 4.0, 200.0)));
    assert!(!initiator.receive_report(PeerReport::Units(LimitId(1), 4.0, 200.0)));
    assert_eq!(initiator.scheduler.limit_balances(101.0), []);
}

/// Slack waits for a node that other initiators report as congested, although this one has no answers of its own. Old
/// reports do not count.
#[test_case(1.5, 0.1, 0; "congestion reported by others")]
#[test_case(0.05, 0.1, 1; "a quick node")]
#[test_case(1.5, 60.0, 1; "an old report of congestion")]
fn slack_follows_the_reports_of_others(latency_ratio: f64, age: f64, sent: usize) {
    let mut initiator = TestInitiator::new(90.0, settings());
    initiator.add_node("a", 1).set_time(100.0);
    initiator.receive_report(PeerReport::Latency(BlockId(1), latency_ratio, 8.0, age));
    assert_eq!(initiator.receive(1, 0, 2, 2.0, Some(1)).sent_count(), sent);
}

/// Reports of others do not count if the initiator has answers of its own.
#[test]
fn own_answers_take_precedence_over_reports() {
    let mut initiator = TestInitiator::new(90.0, settings());
    initiator.add_node("a", 1).delay = 0.01;
    for id in 1..30 {
        initiator.set_time(99.0 + 0.01 * id as f64).receive(id, 0, 2, 2.0, Some(1)).complete(
            id,
            "a",
            Outcome::Settled,
        );
    }
    initiator.set_time(99.4).take_actions();
    initiator.receive_report(PeerReport::Latency(BlockId(1), 1.5, 8.0, 0.1));
    assert_eq!(initiator.receive(99, 0, 2, 2.0, Some(1)).sent_count(), 1);
}
