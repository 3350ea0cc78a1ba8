//! The scheduling: order of transactions, concurrency at nodes, lost answers, shares of reservations and placement.

mod helper;

use helper::{settings, TestInitiator, LONG_DUE_BAND};
use quaypath::sliding_window::SlidingWindow;
use quaypath::types::{ListKind::Cached, NodeCondition::*, Outcome::*, *};
use test_case::test_case;

/// An initiator with one node whose concurrency limit is one shot, which is in flight, so that further transactions
/// wait.
fn with_busy_node() -> TestInitiator {
    let mut initiator = TestInitiator::new(100.0, Settings { initiators: 20.0, ..settings() });
    initiator.add_node("a", 1).receive(900, LONG_DUE_BAND, 2, 2.0, Some(1)).take_actions();
    initiator
}

#[test_case(1, 2, 1 ; "a covered reservation goes before slack")]
#[test_case(2, 1, 1 ; "in either order of arrival")]
fn reservations_go_before_slack(first: usize, second: usize, plan: usize) {
    let mut initiator = with_busy_node();
    initiator.receive(901, 0, 1, 1.0, Some(9)).set_time(101.0);
    initiator.receive(10 + first as u64, 0, first, 2.0, Some(1)).receive(
        10 + second as u64,
        0,
        second,
        2.0,
        Some(1),
    );
    initiator.complete(900, "a", Settled);
    assert_eq!(initiator.take_actions()[0], format!("send {} a", 10 + plan));
}

#[test]
fn slack_is_divided_by_weight() {
    let mut case = Settings { initiators: 20.0, ..settings() };
    case.plans[1].reservation = 0.0;
    let mut initiator = TestInitiator::new(100.0, case);
    initiator.add_node("a", 1);
    (0..40).for_each(|offset| {
        initiator.receive(100 + offset, 0, 1, 2.0, Some(1)).receive(200 + offset, 0, 2, 2.0, Some(1));
    });
    let (mut light, mut heavy) = (0, 0);
    for round in 0..15 {
        let id = initiator.sent_ids()[0];
        *(if id < 200 { &mut light } else { &mut heavy }) += 1;
        initiator.set_time(100.0 + 0.01 * f64::from(round)).complete(id, "a", Settled);
    }
    assert!((2..=4).contains(&light) && heavy >= 11, "{light} to {heavy}");
}

#[test_case(0.02, 10..=20 ; "quick answers raise the concurrency limit")]
#[test_case(0.1, 1..=2 ; "slower answers lower it to one")]
#[test_case(0.5, 0..=1 ; "late answers put gaps between shots")]
fn shots_in_flight_at_a_node(delay: f64, expected: std::ops::RangeInclusive<usize>) {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.delay = delay;
    initiator.add_node("a", 1);
    let mut in_flight = std::collections::VecDeque::new();
    for round in 0..400 {
        initiator.set_time(100.0 + 0.005 * f64::from(round));
        (0..12).for_each(|offset| {
            initiator.receive(1000 + 20 * round as u64 + offset, 0, 2, 1.0, Some(1));
        });
        if let Some(id) = in_flight.pop_front() {
            initiator.complete(id, "a", Settled);
        }
        let until = initiator.actions.now + 0.004;
        in_flight.extend(initiator.run_until(until).sent_ids());
    }
    assert!(expected.contains(&in_flight.len()), "{}", in_flight.len());
}

#[test]
fn a_slow_node_does_not_starve_its_volume_at_other_nodes() {
    // The answers to volume 1 at node a are ten times slower than estimated; its transaction at the healthy node b is
    // still sent.
    let mut initiator = TestInitiator::new(100.0, Settings { initiators: 20.0, ..settings() });
    initiator.add_node("a", 1).add_node("b", 2);
    for round in 0..8 {
        initiator.set_time(100.0 + 0.5 * f64::from(round)).receive(round as u64, 0, 1, 2.0, Some(1));
        initiator.set_time(100.4 + 0.5 * f64::from(round)).complete(round as u64, "a", Settled);
    }
    initiator.set_time(104.5).receive(50, 0, 2, 2.0, Some(2)).receive(51, 0, 2, 2.0, Some(2)).receive(
        52,
        0,
        1,
        2.0,
        Some(2),
    );
    assert!(initiator.take_actions().contains(&"send 52 b".to_string()));
}

#[test_case(&[("a", 1), ("b", 2)], 3, "send 4 b" ; "to the node with credit left")]
#[test_case(&[("a", 1), ("b", 2)], 0, "send 4 " ; "at random among equals")]
fn the_node_for_a_new_object(nodes: &[(&str, i64)], busy: u64, expected: &str) {
    let mut initiator = TestInitiator::new(100.0, settings());
    nodes.iter().for_each(|(name, block)| {
        initiator.add_node(name, *block);
    });
    (1..=busy).for_each(|id| {
        initiator.receive(id, 0, 2, 1.0, Some(1));
    });
    initiator.take_actions();
    initiator.receive(4, 2, 2, 1.0, None);
    assert!(initiator.take_actions()[0].starts_with(expected));
}

#[test]
fn an_unreachable_node_is_retried_occasionally() {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1);
    let mut sends = 0;
    for round in 0..400u32 {
        let id = 1 + u64::from(round);
        initiator
            .set_time(100.0 + 0.01 * f64::from(round))
            .receive(id, 0, 2, 1.0, Some(1))
            .run_until(100.01 + 0.01 * f64::from(round));
        for id in initiator.sent_ids() {
            sends += 1;
            initiator.complete(id, "a", Unreachable);
        }
    }
    assert!((3..=20).contains(&sends), "{sends}");
}

#[test]
fn a_late_repeat_of_a_client_is_declined_unless_credit_is_free() {
    let mut initiator = with_busy_node();
    let (now, volume) = (100.5, VolumeId("volume2".into()));
    // A first try shows how long the clients of this band wait.
    initiator.receive(901, 0, 2, 1.0, Some(9)).set_time(now).take_actions();
    let send_repeat = |initiator: &mut TestInitiator, id: u64, budget: f64| {
        let (plan, band) = (Some(PlanId(2)), BandId(0));
        let id = TransactionId(id);
        initiator.scheduler.transaction_received(
            now,
            id,
            2.0,
            plan,
            band,
            None,
            budget,
            1.0,
            volume.clone(),
            Some(BlockId(1)),
            &mut initiator.actions,
        );
    };
    send_repeat(&mut initiator, 2, 1.2);
    assert_eq!(initiator.take_actions(), ["decline 2 0.5"]);
    // Clients with a tenth of the usual time limit send first tries, not late repeats.
    send_repeat(&mut initiator, 4, 0.2);
    assert!(initiator.take_actions().is_empty());
    initiator.complete(900, "a", Settled).take_actions();
    initiator.set_time(now + 0.001).complete(4, "a", Settled).take_actions();
    send_repeat(&mut initiator, 3, 1.2);
    assert_eq!(initiator.take_actions(), ["send 3 a"]);
}

#[test_case(Settings { plans: vec![Plan::default(); 3],
    ..settings() } ; "plans without reservation or weight")]
#[test_case(Settings { mean_units: 0.0, cold_start_units: 0.0, start_capacity: 0.0, warm_up: 0.0, overload_window: 0.0,
    key_quiet_period: 0.0, initiators: 1.0, ..settings() } ; "values absent")]
#[test_case(Settings { max_shots: 1, advises_retry: false, must_subscribe: true, ..settings() } ; "one shot, no advice")]
fn each_transaction_is_answered_under(settings: Settings) {
    let mut initiator = TestInitiator::new(0.0, settings);
    initiator.receive_list(Cached, &[("a", 1, Ready, 0.0), ("b", 2, Ready, -3.0)]);
    for id in 0..40u64 {
        let block = if id % 5 == 0 { None } else { Some(id as i64 % 3) };
        initiator.set_time(0.05 * id as f64).receive(
            id,
            id as usize % 4,
            id as usize % 3,
            1.0 + id as f64 % 6.0,
            block,
        );
    }
    let mut answered = std::collections::BTreeSet::new();
    for round in 0..200u32 {
        for line in initiator.take_actions() {
            let mut parts = line.split(' ');
            let (action, id) = (parts.next().unwrap(), parts.next().unwrap_or("").parse::<u64>());
            if action == "send" {
                let outcomes = [Settled, Failed, QueueFull, TimedOut, Reset, Unreachable];
                let outcome = outcomes[round as usize % 6];
                let name = parts.next().unwrap().to_string();
                if outcome == Settled {
                    assert!(answered.insert(id.clone().unwrap()));
                }
                initiator.complete(id.unwrap(), &name, outcome);
            } else if action != "subscribe" {
                assert!(answered.insert(id.unwrap()), "{line} twice");
            }
        }
        initiator.run_until(2.0 + 0.05 * f64::from(round));
    }
    assert_eq!(answered.len(), 40);
}

#[test_case(&[(0.0, 1.0), (0.4, 2.0)], 0.9, 3.0 ; "all in the window")]
#[test_case(&[(0.0, 1.0), (0.6, 2.0)], 1.1, 2.0 ; "the oldest bucket is cleared")]
#[test_case(&[(0.0, 1.0)], 50.0, 0.0 ; "long after")]
fn a_window_of_two_half_seconds(added: &[(f64, f64)], now: f64, sum: f64) {
    let mut window = SlidingWindow::new(0.5, 2);
    added.iter().for_each(|(time, amount)| window.add(*time, *amount, 1.0));
    assert_eq!(window.sum(now), sum);
}

// Guards against credit held up to the outer limit by shots whose answers were lost.
#[test_case(0, 2.0 ; "none lost: a shot may run to its outer limit")]
#[test_case(4, 0.4 ; "one in four lost: the shot is stopped in time for another")]
fn when_a_shot_at_a_quick_node_is_stopped(lost_each: u64, within: f64) {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1);
    for id in 1..=12 {
        initiator
            .set_time(100.0 + 0.1 * id as f64)
            .receive(id, 1, 2, 2.0, Some(1))
            .set_time(100.02 + 0.1 * id as f64);
        let lost = lost_each > 0 && id % lost_each == 0;
        initiator.complete(id, "a", if lost { TimedOut } else { Settled });
    }
    initiator.receive(13, 0, 2, 2.0, Some(1));
    assert!(
        (initiator.actions.stop_at - initiator.actions.now) <= within
            && (initiator.actions.stop_at - initiator.actions.now) > 0.4 * within - 0.1
    );
}

// Guards against congestion in a large fleet: nodes with few answers per initiator were sent to although they were
// congested, and late answers of all nodes had no effect.
#[test_case(2.0, 0.02, &["send 11 a", "send 12 a"] ; "quick answers: slack is sent")]
#[test_case(2.0, 0.2, &["send 11 a", "send 12 a"] ; "half a due time, few initiators: slack is sent")]
#[test_case(20.0, 0.2, &["send 12 a"] ; "half a due time, many initiators: slack waits")]
#[test_case(20.0, 0.9, &[] ; "answers after the due time: the reservation waits too")]
fn slack_and_reservations_after_answers(initiators: f64, delay: f64, sent: &[&str]) {
    let mut initiator = TestInitiator::new(100.0, settings());
    (initiator.initiators, initiator.delay) = (initiators, delay);
    initiator.add_node("a", 1);
    for id in 1..=6 {
        initiator
            .set_time(100.0 + 0.2 * id as f64)
            .receive(id, 0, 2, 1.0, Some(1))
            .complete(id, "a", Settled);
    }
    initiator.set_time(101.3).take_actions();
    initiator.receive(11, 0, 2, 1.0, Some(1)).receive(12, 0, 1, 1.0, Some(1));
    assert_eq!(initiator.take_actions(), sent);
}

// Guards against time-outs that raise the concurrency limit: three under congestion raised it to one shot and more.
#[test]
fn a_node_that_stays_silent_gets_no_slack() {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1).receive(1, LONG_DUE_BAND, 2, 1.0, Some(1)).set_time(100.6).take_actions();
    assert_eq!(initiator.receive(2, 0, 2, 1.0, Some(1)).sent_count(), 0);
    assert_eq!(initiator.complete(1, "a", Settled).run_until(100.65).sent_count(), 1);
}

// Guards against a stalled connection: its one shot kept all others from the working node up to the outer limit.
#[test]
fn an_overdue_shot_releases_its_credit() {
    let mut initiator = TestInitiator::new(100.0, Settings { initiators: 20.0, ..settings() });
    initiator.add_node("a", 1).receive(1, 0, 2, 1.0, Some(1));
    assert_eq!(initiator.sent_ids(), [1]);
    initiator.set_time(100.05).receive(2, 0, 2, 1.0, Some(1)).run_until(100.1);
    assert_eq!(initiator.sent_count(), 0, "the concurrency limit is one shot");
    initiator.run_until(100.2);
    assert_eq!(initiator.sent_ids(), [2]);
    // The end of the overdue shot releases no second credit.
    initiator.set_time(100.21).complete(1, "a", TimedOut).receive(3, 0, 2, 1.0, Some(1)).run_until(100.25);
    assert_eq!(initiator.sent_count(), 0);
    initiator.complete(2, "a", Settled).run_until(100.3);
    assert_eq!(initiator.sent_ids(), [3]);
}

// Guards against oscillation on days like piraeus-yard-later: under congestion, overdue shots released their
// credit, so that nodes were opened and closed alternately.
#[test_case(0.02, &[2] ; "the others answer quickly: a stalled connection")]
#[test_case(0.08, &[] ; "the others are slow too: congestion")]
fn an_overdue_shot_releases_its_credit_unless_other_nodes_are_slow(delay: f64, sent: &[u64]) {
    let mut initiator = TestInitiator::new(100.0, Settings { initiators: 20.0, ..settings() });
    initiator.add_node("a", 1).add_node("b", 2).delay = delay;
    for id in 10..20 {
        initiator
            .receive(id, 0, 1, 1.0, Some(2))
            .set_time(100.0 + 0.03 * (id - 9) as f64)
            .complete(id, "b", Settled);
    }
    initiator.receive(1, 0, 2, 1.0, Some(1)).set_time(100.35).receive(2, 0, 2, 1.0, Some(1)).take_actions();
    assert_eq!(initiator.run_until(100.5).sent_ids(), sent);
}

// Guards against a node that has disappeared: credits released by overdue shots must not feed it indefinitely.
#[test]
fn three_overdue_shots_in_a_row_leave_single_attempts() {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1);
    (1..=3).for_each(|id| {
        initiator.receive(id, 0, 2, 1.0, Some(1));
    });
    assert_eq!(initiator.sent_count(), 3);
    let mut sent = 0;
    for round in 0..40 {
        initiator.run_until(100.2 + 0.1 * f64::from(round)).receive(10 + round as u64, 0, 2, 1.0, Some(1));
        sent += initiator.sent_count();
    }
    assert!((1..=8).contains(&sent), "{sent} in four seconds");
}

// Guards against declined transactions after the start of a fleet: a quarter was declined on a quiet day while the
// limits of all volumes filled from empty.
#[test_case(0.0, 9 ; "no usage reported: the fleet has just started, only the concurrency limit applies")]
#[test_case(1.0, 0 ; "usage reported: this initiator has run before")]
fn a_limit_after_the_first_answer(used: f64, sends: usize) {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.used = used;
    initiator
        .add_node("a", 1)
        .receive(1, 0, 2, 1.0, Some(1))
        .set_time(100.01)
        .complete(1, "a", Settled)
        .take_actions();
    (2..=13).for_each(|id| {
        initiator.receive(id, 0, 0, 0.8, Some(1));
    });
    assert_eq!(initiator.sent_count(), sends);
}

// The reservation of 20 units per second is divided between two initiators by the usage that answers report; 10
// units per second are requested here.
#[test_case(0.0, 36..=40 ; "nothing used through others: the whole reservation")]
#[test_case(60.0, 5..=24 ; "nearly all used through others: little of it")]
fn the_share_of_a_reservation(others: f64, sends: std::ops::RangeInclusive<usize>) {
    let mut initiator = TestInitiator::new(100.0, Settings { initiators: 20.0, ..settings() });
    (initiator.others, initiator.delay) = (others, 0.1);
    initiator.add_node("a", 1).receive(99, LONG_DUE_BAND, 2, 1.0, Some(1)).take_actions();
    let mut covered = 0;
    for id in 1..=40 {
        initiator.run_until(100.0 + 0.1 * id as f64).receive(id, 0, 1, 1.0, Some(1));
        for id in initiator.sent_ids() {
            covered += 1;
            initiator.complete(id, "a", Settled);
        }
    }
    assert!(sends.contains(&covered), "{covered}");
}

#[test_case(true, &["cancel 1 0"] ; "allowed")]
#[test_case(false, &[] ; "not allowed")]
fn the_shot_of_a_client_that_cancelled_is_cancelled(may_cancel: bool, actions: &[&str]) {
    let mut initiator = TestInitiator::new(100.0, Settings { may_cancel, ..settings() });
    initiator.add_node("a", 1).receive(1, 0, 2, 1.0, Some(1)).take_actions();
    initiator.scheduler.client_cancelled(100.1, TransactionId(1), &mut initiator.actions);
    assert_eq!(initiator.take_actions(), actions);
}

// Guards against a reservation claimed twice: if answers do not report the usage of others, a missing meter value
// must not count as no usage.
#[test_case(|_| 0.0, 60..=112 ; "absent: an even share each")]
#[test_case(|_| 1.0, 60..=112 ; "an outdated report of no usage: ignored")]
#[test_case(|rate| 1.0 + 5.0 * rate, 60..=112 ; "what both used a second ago")]
#[test_case(|rate| 1.0 + 50.0 * rate, 0..=80 ; "ten times that: then only a small share")]
fn two_initiators_share_a_reservation_by_the_meter_alone(
    meter: fn(f64) -> f64, units: std::ops::RangeInclusive<u64>,
) {
    // 20 units per second are reserved and 40 requested; there is no credit beyond the reservation.
    let mut case = Settings { initiators: 20.0, reports_others_usage: false, ..settings() };
    case.plans[1].nominal = 20.0;
    let mut initiators = [1, 2].map(|seed| TestInitiator::with_seed(100.0, seed, case.clone()));
    let mut used: Vec<(f64, f64)> = Vec::new();
    let mut covered = 0;
    for initiator in &mut initiators {
        initiator.add_node("a", 1).receive(99, LONG_DUE_BAND, 2, 1.0, Some(1)).take_actions();
    }
    for id in 100..140 {
        let now = 100.0 + 0.1 * (id - 99) as f64;
        for initiator in &mut initiators {
            // The meter reports the half second that ended one second ago, and nothing before there was one.
            let period = used.iter().filter(|(time, _)| (now - 1.5..now - 1.0).contains(time));
            let rate = period.map(|(_, units)| units / 0.5).sum();
            initiator.used = if now > 101.5 { meter(rate) } else { 0.0 };
            initiator.run_until(now).receive(id, 0, 1, 2.0, Some(1));
            for id in initiator.sent_ids() {
                covered += 2;
                used.push((now, 2.0));
                initiator.complete(id, "a", Settled);
            }
        }
    }
    assert!(units.contains(&covered), "{covered}");
}

// Sizes are only a starting point, as they do not show other load on a node or a slow disk.
#[test_case(4.0, 0.02, 56..=88 ; "four times the size, as quick: about four in five")]
#[test_case(0.0, 0.02, 35..=65 ; "no size reported: as many")]
#[test_case(4.0, 0.9, 0..=30 ; "four times the size, but late: few")]
fn new_objects_at_a_node_by_its_size(size: f64, delay: f64, expected: std::ops::RangeInclusive<usize>) {
    let mut sent = 0;
    for seed in 0..100 {
        let mut initiator = TestInitiator::with_seed(100.0, seed, settings());
        initiator.size = size;
        initiator.add_node("big", 1);
        initiator.size = if size > 0.0 { 1.0 } else { 0.0 };
        initiator.add_node("small", 2);
        for id in 0..6 {
            let now = 100.2 + id as f64;
            initiator
                .set_time(now)
                .receive(2 * id, 0, 1, 1.0, Some(1))
                .receive(2 * id + 1, 0, 1, 1.0, Some(2))
                .take_actions();
            initiator.delay = delay;
            initiator.set_time(now + 0.02).complete(2 * id, "big", Settled);
            initiator.delay = 0.02;
            initiator.complete(2 * id + 1, "small", Settled);
        }
        initiator.set_time(105.3).take_actions();
        initiator.receive(50, 3, 2, 1.0, None);
        sent += usize::from(initiator.take_actions().contains(&"send 50 big".to_string()));
    }
    assert!(expected.contains(&sent), "{sent}");
}

// Guards against new objects that displace reads: some node is always quick, but reads cannot choose it.
#[test_case(Some(2), 1 ; "a read goes to its quick node")]
#[test_case(None, 0 ; "a new object waits while most nodes are late")]
fn shots_to_a_quick_node_among_late_ones(block: Option<i64>, sends: usize) {
    let mut initiator = TestInitiator::new(100.0, settings());
    initiator.add_node("a", 1).add_node("b", 2);
    for id in 1..=12 {
        let late = id % 4 > 0;
        initiator.set_time(100.0 + 0.1 * id as f64).receive(id, 0, 1, 1.0, Some(if late { 1 } else { 2 }));
        initiator.delay = if late { 0.2 } else { 0.02 };
        initiator.complete(id, if late { "a" } else { "b" }, Settled);
    }
    initiator.set_time(101.3).take_actions();
    assert_eq!(initiator.receive(20, 3, 2, 1.0, block).sent_count(), sends);
}

// Guards against starvation of urgent bands at a congested node: transactions that can wait long were present
// whenever it admitted some, while those that cannot had been given up.
#[test_case(2.0, 1 ; "the highest benefit: the whole latency is allowed")]
#[test_case(0.5, 0 ; "a quarter of the benefit: a quarter of the latency")]
fn shots_of_a_band_at_a_latency_of_half_a_due_time(benefit: f64, sends: usize) {
    let mut case = settings();
    case.bands[3].benefit = benefit;
    let mut initiator = TestInitiator::new(100.0, case);
    initiator.delay = 0.2;
    initiator.add_node("a", 1);
    for id in 1..=6 {
        initiator
            .set_time(100.0 + 0.2 * id as f64)
            .receive(id, 0, 2, 1.0, Some(1))
            .complete(id, "a", Settled);
    }
    initiator.set_time(101.3).take_actions();
    assert_eq!(initiator.receive(11, 3, 2, 1.0, Some(1)).sent_count(), sends);
}

// Guards against lost answers at a node with few shots: one shot in some seconds does not show that answers get lost.
#[test_case(0, 2.0 ; "none lost anywhere: to the outer limit")]
#[test_case(4, 0.4 ; "one in four lost at other nodes: stopped in time for another")]
fn when_the_first_shot_at_a_node_is_stopped(lost_each: u64, within: f64) {
    let mut initiator = TestInitiator::new(100.0, settings());
    (1..=5).for_each(|block| {
        initiator.add_node(&format!("n{block}"), block);
    });
    for id in 1..=16 {
        let (block, node) = (1 + id as i64 % 4, format!("n{}", 1 + id % 4));
        initiator
            .set_time(100.0 + 0.1 * id as f64)
            .receive(id, 1, 2, 2.0, Some(block))
            .set_time(100.02 + 0.1 * id as f64);
        let lost = lost_each > 0 && (id / 4) % lost_each == id % 4;
        initiator.complete(id, &node, if lost { TimedOut } else { Settled });
    }
    initiator.receive(20, 0, 2, 2.0, Some(5));
    assert!(
        initiator.actions.stop_at - initiator.actions.now <= within
            && initiator.actions.stop_at > initiator.actions.now
    );
    assert_eq!(initiator.actions.stop_at - initiator.actions.now >= 2.0, lost_each == 0);
}

// Load reports are read but not used: absent, outdated or with unknown fields, they change no action.
#[test_case(&[] ; "absent")]
#[test_case(&[1e12, -5.0, 0.0] ; "of unknown fields")]
fn load_reports_change_no_action(report: &[f64]) {
    let run = |report: &[f64]| {
        let mut initiator = TestInitiator::new(100.0, settings());
        initiator.report = report.to_vec();
        initiator.add_node("a", 1);
        (1..=8).for_each(|id| {
            initiator
                .set_time(100.0 + 0.1 * id as f64)
                .receive(id, 0, 2, 2.0, Some(1))
                .complete(id, "a", Settled);
        });
        initiator.run_until(103.0).take_actions()
    };
    assert_eq!(run(report), run(&[3.0]));
}
