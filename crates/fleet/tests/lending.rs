//! Lending of units: at no time do all initiators together hold more than all even parts, in all small cases and in
//! random large ones. Mutants with one safeguard disabled have to break this. Also tests what one faulty process can
//! gain.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use quaypath::token_bucket::TokenBucket;
use quaypath::types::{BlockId, LimitBalance, LimitId};
use quaypath_fleet::explore::{explore, random_walk, replay, Bounds};
use quaypath_fleet::lending::{lender_hold, Ledger, Safeguard, LOAN_SECONDS};
use quaypath_fleet::signal::{
    DecodeError, NodeReport, Part, Signal, SignalBehavior, SignalConfig, SignalHost, Signals,
    MAX_SIGNAL_BYTES,
};
use quaypath_fleet::MemberId;
use test_case::test_case;

fn small_case(refill_rate: f64, clock_drifts: [i8; 3]) -> Bounds {
    Bounds {
        initiators: 3,
        borrowers: 1,
        grants: 2,
        repeats: 1,
        restarts: 1,
        time_steps: 4,
        spends: u32::from(refill_rate == 0.0),
        refill_rate,
        clock_drifts: clock_drifts.to_vec(),
        disabled_safeguard: None,
        max_states: 400_000,
    }
}

/// With buckets that refill at once, room that was given twice appears; with buckets that never refill, units that were
/// created.
#[test_case(100.0, [1, -1, 1]; "refill, lenders fast and borrower slow")]
#[test_case(100.0, [0, 0, 0]; "refill, clocks correct")]
#[test_case(0.0, [0, 1, -1]; "no refill")]
fn no_small_case_exceeds_all_even_parts(refill_rate: f64, clock_drifts: [i8; 3]) {
    let result = explore(&small_case(refill_rate, clock_drifts));
    assert!(result.breach.is_none(), "{:?}", result.breach);
    assert!(result.granted > 1000 && result.borrowed > 1000, "a search with few loans: {result:?}");
}

#[test_case(Safeguard::ExpiryFromRequest, 100.0, [0, 0, 0]; "time counted from the arrival of the grant")]
#[test_case(Safeguard::ClockDrift, 100.0, [-1, 1, 1]; "no allowance for clock drift")]
#[test_case(Safeguard::GrantOnce, 0.0, [0, 0, 0]; "a grant accepted twice")]
#[test_case(Safeguard::RestartHold, 100.0, [0, 0, 0]; "no hold after a restart")]
#[test_case(Safeguard::ReturnOnce, 0.0, [0, 0, 0]; "returned units counted twice")]
#[test_case(Safeguard::Expiry, 100.0, [0, 0, 0]; "loans without expiry")]
#[test_case(Safeguard::Deduction, 0.0, [0, 0, 0]; "not deducted from the lender")]
fn mutant_exceeds_all_even_parts(disabled: Safeguard, refill_rate: f64, clock_drifts: [i8; 3]) {
    let bounds = Bounds {
        disabled_safeguard: Some(disabled),
        max_states: 3_000_000,
        ..small_case(refill_rate, clock_drifts)
    };
    let (steps, breach) = explore(&bounds).breach.expect("the mutant exceeds all even parts");
    assert_eq!(replay(&bounds, &steps), Some(breach));
    // With the safeguard, the same steps break nothing.
    assert_eq!(replay(&Bounds { disabled_safeguard: None, ..bounds }, &steps), None);
}

/// Found by a random case: a process that lends borrowed units on gives away room that expires before the new loan
/// does.
#[test]
fn lending_borrowed_units_exceeds_all_even_parts() {
    let bounds = |disabled_safeguard| Bounds {
        initiators: 3,
        borrowers: 3,
        grants: 40,
        repeats: 20,
        restarts: 6,
        time_steps: 16,
        spends: 20,
        refill_rate: 100.0,
        clock_drifts: vec![-1, 0, 1],
        disabled_safeguard,
        max_states: 0,
    };
    let broken = (0..2000).find_map(|seed| {
        let (steps, breach) = random_walk(&bounds(Some(Safeguard::OwnUnitsOnly)), seed, 250)?;
        Some((seed, steps, breach))
    });
    let (seed, steps, breach) = broken.expect("the mutant exceeds all even parts");
    assert_eq!(replay(&bounds(Some(Safeguard::OwnUnitsOnly)), &steps), Some(breach));
    assert_eq!(random_walk(&bounds(None), seed, 250), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn no_random_case_exceeds_all_even_parts(seed: u64, initiators in 2usize..7, filling: bool, clocks in prop::collection::vec(-1i8..=1, 6)) {
        let bounds = Bounds {
            initiators,
            borrowers: initiators,
            grants: 40, repeats: 20, restarts: 6, time_steps: 16, spends: 20,
            refill_rate: if filling { 100.0 } else { 0.0 }, clock_drifts: clocks, disabled_safeguard: None, max_states: 0,
        };
        prop_assert_eq!(random_walk(&bounds, seed, 250), None);
    }

    #[test]
    fn any_bytes_decode_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Signal::decode(&bytes);
        let mut versioned = bytes;
        versioned.insert(0, quaypath_fleet::signal::VERSION);
        if let Ok(signal) = Signal::decode(&versioned) {
            prop_assert!(signal.parts.iter().map(Part::length).sum::<usize>() <= MAX_SIGNAL_BYTES);
        }
    }

    #[test]
    fn encoded_signal_decodes_to_itself(incarnation: u32, number: u32, limit: u64, request: u32, units in 0u16.., latency_ratio in 0u8.., answers in 1u8.., age in 0u8.., members in prop::collection::vec(0u16.., 0..16)) {
        let (limit_id, units) = (LimitId(limit), f64::from(units) / 64.0);
        let report = NodeReport { block: BlockId(7), latency_ratio: f64::from(latency_ratio) / 100.0, answers: f64::from(answers), age: f64::from(age) / 50.0 };
        let parts = vec![
            Part::NodeReports(vec![report; 3]), Part::Announcement(limit_id),
            Part::Sharers(limit_id, members.into_iter().map(MemberId).collect()),
            Part::Request { limit_id, number: request, units },
            Part::Grant { limit_id, number: request, incarnation, units },
            Part::Return { limit_id, number: request, incarnation, units },
        ];
        let signal = Signal { incarnation, number, parts };
        let bytes = signal.encode();
        prop_assert!(bytes.len() <= MAX_SIGNAL_BYTES);
        prop_assert_eq!(Signal::decode(&bytes), Ok(signal));
    }
}

#[test_case(b"", DecodeError::Malformed; "nothing")]
#[test_case(&[9, 0, 0, 0, 0, 0, 0, 0, 0], DecodeError::WrongVersion; "another version")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 9], DecodeError::Malformed; "unknown part")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 200, 1], DecodeError::Malformed; "more reports than bytes")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 192, 127], DecodeError::Malformed; "units that are not a number")]
fn malformed_signals_are_refused(bytes: &[u8], error: DecodeError) {
    assert_eq!(Signal::decode(bytes), Err(error));
}

const LIMIT: LimitId = LimitId(42);

/// The host of an initiator's signals: one limit whose bucket refills at a rate up to a capacity.
struct TestHost {
    bucket: TokenBucket,
    refill_rate: f64,
    capacity: f64,
    /// Units that the host needs.
    needed: f64,
    spent: f64,
    reports: Vec<NodeReport>,
    /// Messages to send, with their receivers.
    outgoing: Vec<(MemberId, Vec<u8>)>,
}

impl Ledger for TestHost {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.limit_balance(now, LIMIT).into_iter().collect()
    }
    fn limit_balance(&mut self, now: f64, limit_id: LimitId) -> Option<LimitBalance> {
        self.bucket.refill(now, self.refill_rate, self.capacity);
        let surplus = self.bucket.level - self.needed;
        (limit_id == LIMIT).then_some(LimitBalance {
            limit_id,
            spare: surplus.max(0.0),
            shortfall: (-surplus).max(0.0),
        })
    }
    fn transfer(&mut self, now: f64, _: LimitId, units: f64, expires_at: f64) -> bool {
        self.bucket.refill(now, self.refill_rate, self.capacity);
        self.bucket.transfer(units, expires_at)
    }
}

impl SignalHost for TestHost {
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]) {
        self.outgoing.push((to, bytes.to_vec()));
    }
    fn node_report_received(&mut self, _: f64, report: &NodeReport) {
        self.reports.push(*report);
    }
}

/// Several initiators that exchange signals.
struct Group {
    now: f64,
    initiators: Vec<(Signals, TestHost)>,
    /// Messages in transit: time of arrival, sender, receiver, bytes.
    in_transit: VecDeque<(f64, u16, u16, Vec<u8>)>,
    dead: Vec<u16>,
    /// Messages sent.
    sent: usize,
}

fn config(
    own_id: u16, members: u16, incarnation: u32, disabled_safeguard: Option<Safeguard>,
) -> SignalConfig {
    let members = (0..members).map(MemberId).collect();
    SignalConfig {
        own_id: MemberId(own_id),
        members,
        incarnation,
        seed: u64::from(own_id) + 1,
        sends_reports: true,
        lends: true,
        message_cost: 0.0,
        disabled_safeguard,
    }
}

impl Group {
    fn new(members: u16, disabled_safeguard: Option<Safeguard>) -> Group {
        let initiator = |own_id| {
            let bucket = TokenBucket { level: 4.0, ..TokenBucket::default() };
            let host = TestHost {
                bucket,
                refill_rate: 4.0,
                capacity: 4.0,
                needed: 0.0,
                spent: 0.0,
                reports: Vec::new(),
                outgoing: Vec::new(),
            };
            (Signals::start(0.0, config(own_id, members, 1, disabled_safeguard)), host)
        };
        Group {
            now: 0.0,
            initiators: (0..members).map(initiator).collect(),
            in_transit: VecDeque::new(),
            dead: Vec::new(),
            sent: 0,
        }
    }

    /// Puts the outgoing messages of all initiators in transit.
    fn collect_messages(&mut self) {
        for (sender, (_, host)) in self.initiators.iter_mut().enumerate() {
            for (to, bytes) in host.outgoing.drain(..) {
                self.sent += 1;
                self.in_transit.push_back((self.now + 0.02, sender as u16, to.0, bytes));
            }
        }
    }

    /// Runs for some seconds in steps of 10 ms. An initiator that needs units spends all that it has.
    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            while self.in_transit.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, sender, to, bytes) = self.in_transit.pop_front().unwrap();
                if !self.dead.contains(&to) {
                    let (signals, host) = &mut self.initiators[usize::from(to)];
                    signals.signal_received(self.now, MemberId(sender), &bytes, host);
                }
            }
            for (index, (signals, host)) in self.initiators.iter_mut().enumerate() {
                if self.dead.contains(&(index as u16)) {
                    continue;
                }
                if self.now >= signals.next_tick_at() {
                    signals.tick(self.now, host);
                }
                host.bucket.refill(self.now, host.refill_rate, host.capacity);
                if host.needed > 0.0 {
                    host.spent += std::mem::take(&mut host.bucket.level);
                }
            }
            self.collect_messages();
        }
    }
}

/// One of four initiators needs all units. It gets nearly the whole limit, from sharers that it finds by the limit's id
/// alone, and all together never get more than the limit.
#[test_case(None, 0.85; "all alive")]
#[test_case(Some(2), 0.6; "one dead and recorded as dead")]
fn units_follow_the_need(dead: Option<u16>, fraction: f64) {
    let mut group = Group::new(4, None);
    if let Some(dead) = dead {
        group.dead.push(dead);
        group.initiators.iter_mut().for_each(|(signals, _)| signals.set_member_dead(MemberId(dead), true));
    }
    group.run(1.0);
    group.initiators[0].1.needed = 1000.0;
    group.run(20.0);
    let (spent, limit) = (group.initiators[0].1.spent, 16.0 + 16.0 * 20.0);
    assert!(spent > fraction * limit && spent < limit + 1e-6, "{spent} of {limit}");
    assert!(group.sent < 1500, "{} messages", group.sent);
    // Without the others, it falls back to its even part.
    group.initiators[0].1.spent = 0.0;
    group.dead = vec![1, 2, 3];
    group.run(2.0 * LOAN_SECONDS);
    group.initiators[0].1.spent = 0.0;
    group.run(10.0);
    let spent = group.initiators[0].1.spent;
    assert!((spent - 40.0).abs() < 1.0, "{spent} units spent alone, even part 40");
}

/// One initiator always claims units, another needs what it requests. The second one still gets its even part of the
/// spare units; without the safeguard it does not.
#[test_case(None, true; "with the safeguard")]
#[test_case(Some(Safeguard::FairShare), false; "without the even part for each borrower")]
fn false_claims_gain_no_more_than_an_even_part(disabled: Option<Safeguard>, fair: bool) {
    let mut group = Group::new(4, disabled);
    group.run(1.0);
    group.initiators[0].0.set_behavior(SignalBehavior::ClaimsAlways);
    group.initiators[0].1.needed = 1e6;
    group.run(2.0);
    group.initiators[1].1.needed = 1000.0;
    group.initiators.iter_mut().for_each(|(_, host)| host.spent = 0.0);
    group.run(20.0);
    let (claiming, needing) = (group.initiators[0].1.spent, group.initiators[1].1.spent);
    // Two initiators lend 160 units between them, which they do not need; each of the other two has 80 of its own.
    assert_eq!(needing > 0.8 * claiming, fair, "false claims got {claiming}, the need got {needing}");
    assert!(needing > 79.0, "less than the even part: {needing}");
}

#[test]
fn even_parts_are_restored_after_the_need() {
    let mut group = Group::new(3, None);
    group.run(1.0);
    group.initiators[0].1.needed = 1000.0;
    group.run(5.0);
    group.initiators[0].1.needed = 0.0;
    group.run(lender_hold() + 2.0);
    let levels: Vec<f64> = group.initiators.iter().map(|(_, host)| host.bucket.level).collect();
    assert_eq!(levels, [4.0; 3]);
}

/// Grants to an earlier incarnation of the borrower, and messages of an earlier incarnation of the sender, are void.
#[test]
fn earlier_incarnations_are_ignored() {
    let mut group = Group::new(2, None);
    group.run(1.0);
    group.initiators[0].1.needed = 4.0;
    // Its request is in transit when it restarts.
    while !group.in_transit.iter().any(|(_, sender, ..)| *sender == 0)
        || group.initiators[0].0.counts().lending.requests == 0
    {
        group.run(0.01);
    }
    group.initiators[0].0 = Signals::start(group.now, config(0, 2, 2, None));
    group.initiators[0].1.needed = 0.0;
    group.run(0.2);
    assert_eq!(group.initiators[1].0.counts().lending.granted, 1);
    assert_eq!(
        (group.initiators[0].0.counts().lending.borrowed, group.initiators[0].0.counts().lending.void),
        (0, 1)
    );
    // A message of the earlier incarnation arrives.
    let late = Signal { incarnation: 1, number: 900, parts: vec![Part::Announcement(LIMIT)] }.encode();
    group.run(0.1);
    let now = group.now;
    let (signals, host) = &mut group.initiators[1];
    signals.signal_received(
        now,
        MemberId(0),
        &Signal { incarnation: 2, number: 500, parts: Vec::new() }.encode(),
        host,
    );
    signals.signal_received(now, MemberId(0), &late, host);
    assert_eq!(signals.counts().old_incarnation, 1);
}

/// Reports are counted once, with the age of their measurement, and are not forwarded.
#[test_case(None, 1, true; "with the safeguard")]
#[test_case(Some(Safeguard::DuplicateReports), 2, true; "duplicates not dropped")]
#[test_case(Some(Safeguard::ReportAge), 1, false; "ages ignored")]
fn reports_count_once_and_by_age(disabled: Option<Safeguard>, times: usize, has_age: bool) {
    let mut group = Group::new(2, disabled);
    let (now, old) = (5.0, NodeReport { block: BlockId(3), latency_ratio: 1.5, answers: 2.0, age: 1.0 });
    let bytes = Signal { incarnation: 1, number: 1, parts: vec![Part::NodeReports(vec![old])] }.encode();
    let (signals, host) = &mut group.initiators[1];
    signals.signal_received(now, MemberId(0), &bytes, host);
    signals.signal_received(now + 0.1, MemberId(0), &bytes, host);
    assert_eq!(host.reports.len(), times);
    assert_eq!(host.reports[0].age == 1.0, has_age);
    // Too old to be used.
    let stale = Signal {
        incarnation: 1,
        number: 2,
        parts: vec![Part::NodeReports(vec![NodeReport { age: 5.0, ..old }])],
    }
    .encode();
    signals.signal_received(now, MemberId(0), &stale, host);
    assert_eq!(host.reports.len(), if has_age { times } else { times + 1 });
}

/// Reports stay within the bytes that the answers allow, and reach others within about a second.
#[test]
fn reports_reach_others_within_their_budget() {
    let mut group = Group::new(6, None);
    for _ in 0..40 {
        let now = group.now;
        group.initiators[0].0.observe_latency(now, BlockId(1), 0.9);
        group.initiators[0].0.observe_latency(now, BlockId(2), 0.1);
        group.run(0.1);
    }
    let received: BTreeMap<i64, usize> = group.initiators[1..]
        .iter()
        .flat_map(|(_, host)| &host.reports)
        .fold(BTreeMap::new(), |mut received, report| {
            *received.entry(report.block.0).or_default() += 1;
            received
        });
    assert!(received[&1] > 5 && received[&2] > 5, "{received:?}");
    let bytes = group.initiators[0].0.counts().sent_bytes;
    assert!(bytes <= 24 * 80 + 256 * 4, "{bytes} bytes for 80 answers");
}
