//! Parts that follow the need: no more than all even parts at any moment, in all small cases and in drawn large ones;
//! each safeguard taken away in a mutant that is caught; and what one faulty process can gain.

use std::collections::{BTreeMap, VecDeque};

use proptest::prelude::*;
use quaypath::token_bucket::TokenBucket;
use quaypath::types::{BlockId, LimitBalance, LimitId};
use quaypath_fleet::explore::{explore, replay, walk, Bounds};
use quaypath_fleet::lending::{lender_hold, Ledger, Safeguard, LENGTH};
use quaypath_fleet::signal::{
    DecodeError, NodeReport, Part, Signal, SignalBehavior, SignalConfig, SignalHost, Signals,
    MAX_SIGNAL_BYTES,
};
use quaypath_fleet::MemberId;
use test_case::test_case;

fn small(rate: f64, clocks: [i8; 3]) -> Bounds {
    Bounds {
        initiators: 3,
        askers: 1,
        grants: 2,
        repeats: 1,
        restarts: 1,
        time: 4,
        spends: u32::from(rate == 0.0),
        rate,
        clocks: clocks.to_vec(),
        without: None,
        most: 400_000,
    }
}

/// Stores that fill at once show room that is given twice, stores that never fill show units that are made twice.
#[test_case(100.0, [1, -1, 1]; "room, givers fast and taker slow")]
#[test_case(100.0, [0, 0, 0]; "room, clocks right")]
#[test_case(0.0, [0, 1, -1]; "units")]
fn no_small_case_has_more_than_all_even_parts(rate: f64, clocks: [i8; 3]) {
    let found = explore(&small(rate, clocks));
    assert!(found.breach.is_none(), "{:?}", found.breach);
    assert!(found.given > 1000 && found.taken > 1000, "a quiet search: {found:?}");
}

#[test_case(Safeguard::FromAsking, 100.0, [0, 0, 0]; "counted from when it came")]
#[test_case(Safeguard::Drift, 100.0, [-1, 1, 1]; "no margin for clocks")]
#[test_case(Safeguard::Once, 0.0, [0, 0, 0]; "a grant taken twice")]
#[test_case(Safeguard::Hold, 100.0, [0, 0, 0]; "no hold after a start")]
#[test_case(Safeguard::Back, 0.0, [0, 0, 0]; "counted back twice")]
#[test_case(Safeguard::End, 100.0, [0, 0, 0]; "no end")]
#[test_case(Safeguard::Sum, 0.0, [0, 0, 0]; "not taken from the giver")]
fn a_mutant_has_more(without: Safeguard, rate: f64, clocks: [i8; 3]) {
    let bounds = Bounds { without: Some(without), most: 3_000_000, ..small(rate, clocks) };
    let (steps, what) = explore(&bounds).breach.expect("the mutant breaks the sum");
    assert_eq!(replay(&bounds, &steps), Some(what));
    // The steps break nothing where the safeguard is in place.
    assert_eq!(replay(&Bounds { without: None, ..bounds }, &steps), None);
}

/// Found by a drawn case: one that lends on what it borrowed gives room away that ends before it does.
#[test]
fn borrowed_units_that_are_lent_on_break_the_sum() {
    let bounds = |without| Bounds {
        initiators: 3,
        askers: 3,
        grants: 40,
        repeats: 20,
        restarts: 6,
        time: 16,
        spends: 20,
        rate: 100.0,
        clocks: vec![-1, 0, 1],
        without,
        most: 0,
    };
    let broken = (0..2000).find_map(|seed| {
        let (steps, what) = walk(&bounds(Some(Safeguard::OwnOnly)), seed, 250)?;
        Some((seed, steps, what))
    });
    let (seed, steps, what) = broken.expect("the mutant breaks the sum");
    assert_eq!(replay(&bounds(Some(Safeguard::OwnOnly)), &steps), Some(what));
    assert_eq!(walk(&bounds(None), seed, 250), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    #[test]
    fn no_drawn_case_has_more(seed: u64, initiators in 2usize..7, filling: bool, clocks in prop::collection::vec(-1i8..=1, 6)) {
        let bounds = Bounds {
            initiators,
            askers: initiators,
            grants: 40, repeats: 20, restarts: 6, time: 16, spends: 20,
            rate: if filling { 100.0 } else { 0.0 }, clocks, without: None, most: 0,
        };
        prop_assert_eq!(walk(&bounds, seed, 250), None);
    }

    #[test]
    fn any_bytes_are_decoded_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let _ = Signal::decode(&bytes);
        let mut versioned = bytes;
        versioned.insert(0, quaypath_fleet::signal::VERSION);
        if let Ok(signal) = Signal::decode(&versioned) {
            prop_assert!(signal.parts.iter().map(Part::length).sum::<usize>() <= MAX_SIGNAL_BYTES);
        }
    }

    #[test]
    fn what_is_encoded_decodes_to_itself(incarnation: u32, number: u32, account: u64, ask: u32, units in 0u16.., latency_ratio in 0u8.., answers in 1u8.., age in 0u8.., members in prop::collection::vec(0u16.., 0..16)) {
        let (account, units) = (LimitId(account), f64::from(units) / 64.0);
        let news = NodeReport { block: BlockId(7), latency_ratio: f64::from(latency_ratio) / 100.0, answers: f64::from(answers), age: f64::from(age) / 50.0 };
        let parts = vec![
            Part::NodeReports(vec![news; 3]), Part::Here(account),
            Part::Sharers(account, members.into_iter().map(MemberId).collect()),
            Part::Ask { account, number: ask, units },
            Part::Grant { account, number: ask, incarnation, units },
            Part::Back { account, number: ask, incarnation, units },
        ];
        let signal = Signal { incarnation, number, parts };
        let bytes = signal.encode();
        prop_assert!(bytes.len() <= MAX_SIGNAL_BYTES);
        prop_assert_eq!(Signal::decode(&bytes), Ok(signal));
    }
}

#[test_case(b"", DecodeError::Malformed; "nothing")]
#[test_case(&[9, 0, 0, 0, 0, 0, 0, 0, 0], DecodeError::WrongVersion; "another version")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 9], DecodeError::Malformed; "no such part")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 200, 1], DecodeError::Malformed; "entries past the end")]
#[test_case(&[1, 0, 0, 0, 0, 0, 0, 0, 0, 3, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 192, 127], DecodeError::Malformed; "units that are no number")]
fn bad_signals_are_refused(bytes: &[u8], wrong: DecodeError) {
    assert_eq!(Signal::decode(bytes), Err(wrong));
}

const ACCOUNT: LimitId = LimitId(42);

/// An initiator around its signals: one account, filled at a rate up to a cap.
struct One {
    store: TokenBucket,
    rate: f64,
    cap: f64,
    wants: f64,
    spent: f64,
    heard: Vec<NodeReport>,
    out: Vec<(MemberId, Vec<u8>)>,
}

impl Ledger for One {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.limit_balance(now, ACCOUNT).into_iter().collect()
    }
    fn limit_balance(&mut self, now: f64, account: LimitId) -> Option<LimitBalance> {
        self.store.refill(now, self.rate, self.cap);
        let over = self.store.level - self.wants;
        (account == ACCOUNT).then_some(LimitBalance {
            limit_id: account,
            spare: over.max(0.0),
            shortfall: (-over).max(0.0),
        })
    }
    fn transfer(&mut self, now: f64, _: LimitId, units: f64, until: f64) -> bool {
        self.store.refill(now, self.rate, self.cap);
        self.store.transfer(units, until)
    }
}

impl SignalHost for One {
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]) {
        self.out.push((to, bytes.to_vec()));
    }
    fn node_report_received(&mut self, _: f64, report: &NodeReport) {
        self.heard.push(*report);
    }
}

struct Group {
    now: f64,
    ones: Vec<(Signals, One)>,
    /// Messages on their way: when they come, from, to.
    net: VecDeque<(f64, u16, u16, Vec<u8>)>,
    dead: Vec<u16>,
    sent: usize,
}

fn config(me: u16, members: u16, incarnation: u32, without: Option<Safeguard>) -> SignalConfig {
    let members = (0..members).map(MemberId).collect();
    SignalConfig {
        own_id: MemberId(me),
        members,
        incarnation,
        seed: u64::from(me) + 1,
        sends_reports: true,
        lends: true,
        message_cost: 0.0,
        disabled_safeguard: without,
    }
}

impl Group {
    fn of(members: u16, without: Option<Safeguard>) -> Group {
        let one = |me| {
            let store = TokenBucket { level: 4.0, ..TokenBucket::default() };
            let one = One {
                store,
                rate: 4.0,
                cap: 4.0,
                wants: 0.0,
                spent: 0.0,
                heard: Vec::new(),
                out: Vec::new(),
            };
            (Signals::start(0.0, config(me, members, 1, without)), one)
        };
        Group {
            now: 0.0,
            ones: (0..members).map(one).collect(),
            net: VecDeque::new(),
            dead: Vec::new(),
            sent: 0,
        }
    }

    fn collect(&mut self) {
        for (from, (_, one)) in self.ones.iter_mut().enumerate() {
            for (to, bytes) in one.out.drain(..) {
                self.sent += 1;
                self.net.push_back((self.now + 0.02, from as u16, to.0, bytes));
            }
        }
    }

    /// Goes on for so long in steps of 10 ms; who wants units spends what it has.
    fn run(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += 0.01;
            while self.net.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, from, to, bytes) = self.net.pop_front().unwrap();
                if !self.dead.contains(&to) {
                    let (signals, one) = &mut self.ones[usize::from(to)];
                    signals.signal_received(self.now, MemberId(from), &bytes, one);
                }
            }
            for (at, (signals, one)) in self.ones.iter_mut().enumerate() {
                if self.dead.contains(&(at as u16)) {
                    continue;
                }
                if self.now >= signals.next_tick_at() {
                    signals.tick(self.now, one);
                }
                one.store.refill(self.now, one.rate, one.cap);
                if one.wants > 0.0 {
                    one.spent += std::mem::take(&mut one.store.level);
                }
            }
            self.collect();
        }
    }
}

/// One of four has all the need: it gets nearly the whole rate, found by the account's name alone, and all together
/// never more than the limit.
#[test_case(None, 0.85; "all alive")]
#[test_case(Some(2), 0.6; "one dead and known to be")]
fn the_part_follows_the_need(dead: Option<u16>, part: f64) {
    let mut group = Group::of(4, None);
    if let Some(dead) = dead {
        group.dead.push(dead);
        group.ones.iter_mut().for_each(|(signals, _)| signals.set_member_dead(MemberId(dead), true));
    }
    group.run(1.0);
    group.ones[0].1.wants = 1000.0;
    group.run(20.0);
    let (spent, limit) = (group.ones[0].1.spent, 16.0 + 16.0 * 20.0);
    assert!(spent > part * limit && spent < limit + 1e-6, "{spent} of {limit}");
    assert!(group.sent < 1500, "{} messages", group.sent);
    // Cut off, it falls back to its even part.
    group.ones[0].1.spent = 0.0;
    group.dead = vec![1, 2, 3];
    group.run(2.0 * LENGTH);
    group.ones[0].1.spent = 0.0;
    group.run(10.0);
    let spent = group.ones[0].1.spent;
    assert!((spent - 40.0).abs() < 1.0, "alone {spent} of an even 40");
}

/// One that shouts and one that needs what it asks for: the second gets its even part of what is spare all the same,
/// and so it does not where the safeguard is taken away.
#[test_case(None, true; "as it is")]
#[test_case(Some(Safeguard::Fair), false; "without the even part for each asker")]
fn one_that_shouts_gains_nothing_beyond_its_part(without: Option<Safeguard>, fair: bool) {
    let mut group = Group::of(4, without);
    group.run(1.0);
    group.ones[0].0.set_behavior(SignalBehavior::ClaimsAlways);
    group.ones[0].1.wants = 1e6;
    group.run(2.0);
    group.ones[1].1.wants = 1000.0;
    group.ones.iter_mut().for_each(|(_, one)| one.spent = 0.0);
    group.run(20.0);
    let (shouts, needs) = (group.ones[0].1.spent, group.ones[1].1.spent);
    // Two hold 160 units between them that neither of the others needs, and have 80 each of their own.
    assert_eq!(needs > 0.8 * shouts, fair, "shouts got {shouts}, needs {needs}");
    assert!(needs > 79.0, "less than the even part: {needs}");
}

#[test]
fn the_even_parts_are_back_when_the_need_is_over() {
    let mut group = Group::of(3, None);
    group.run(1.0);
    group.ones[0].1.wants = 1000.0;
    group.run(5.0);
    group.ones[0].1.wants = 0.0;
    group.run(lender_hold() + 2.0);
    let levels: Vec<f64> = group.ones.iter().map(|(_, one)| one.store.level).collect();
    assert_eq!(levels, [4.0; 3]);
}

/// Grants to an earlier incarnation of the taker, and messages of an earlier incarnation of the sender, are void.
#[test]
fn lives_are_told_apart() {
    let mut group = Group::of(2, None);
    group.run(1.0);
    group.ones[0].1.wants = 4.0;
    // Its ask is on its way when it starts again.
    while !group.net.iter().any(|(_, from, ..)| *from == 0) || group.ones[0].0.counts().lend.asked == 0 {
        group.run(0.01);
    }
    group.ones[0].0 = Signals::start(group.now, config(0, 2, 2, None));
    group.ones[0].1.wants = 0.0;
    group.run(0.2);
    assert_eq!(group.ones[1].0.counts().lend.given, 1);
    assert_eq!((group.ones[0].0.counts().lend.taken, group.ones[0].0.counts().lend.void), (0, 1));
    // The earlier incarnation speaks once more.
    let late = Signal { incarnation: 1, number: 900, parts: vec![Part::Here(ACCOUNT)] }.encode();
    group.run(0.1);
    let now = group.now;
    let (signals, one) = &mut group.ones[1];
    signals.signal_received(
        now,
        MemberId(0),
        &Signal { incarnation: 2, number: 500, parts: Vec::new() }.encode(),
        one,
    );
    signals.signal_received(now, MemberId(0), &late, one);
    assert_eq!(signals.counts().old, 1);
}

/// NodeReport are counted once, by when they were measured; another's are not told on.
#[test_case(None, 1, true; "as it is")]
#[test_case(Some(Safeguard::Repeats), 2, true; "without dropping repeats")]
#[test_case(Some(Safeguard::Age), 1, false; "without ages")]
fn news_count_once_and_by_age(without: Option<Safeguard>, times: usize, aged: bool) {
    let mut group = Group::of(2, without);
    let (now, old) = (5.0, NodeReport { block: BlockId(3), latency_ratio: 1.5, answers: 2.0, age: 1.0 });
    let bytes = Signal { incarnation: 1, number: 1, parts: vec![Part::NodeReports(vec![old])] }.encode();
    let (signals, one) = &mut group.ones[1];
    signals.signal_received(now, MemberId(0), &bytes, one);
    signals.signal_received(now + 0.1, MemberId(0), &bytes, one);
    assert_eq!(one.heard.len(), times);
    assert_eq!(one.heard[0].age == 1.0, aged);
    // Too old to say anything.
    let stale = Signal {
        incarnation: 1,
        number: 2,
        parts: vec![Part::NodeReports(vec![NodeReport { age: 5.0, ..old }])],
    }
    .encode();
    signals.signal_received(now, MemberId(0), &stale, one);
    assert_eq!(one.heard.len(), if aged { times } else { times + 1 });
}

/// What is told costs what the answers earned, and reaches others within a second or so.
#[test]
fn answers_reach_others_within_their_price() {
    let mut group = Group::of(6, None);
    for _ in 0..40 {
        let now = group.now;
        group.ones[0].0.observe_latency(now, BlockId(1), 0.9);
        group.ones[0].0.observe_latency(now, BlockId(2), 0.1);
        group.run(0.1);
    }
    let told: BTreeMap<i64, usize> =
        group.ones[1..].iter().flat_map(|(_, one)| &one.heard).fold(BTreeMap::new(), |mut told, news| {
            *told.entry(news.block.0).or_default() += 1;
            told
        });
    assert!(told[&1] > 5 && told[&2] > 5, "{told:?}");
    let bytes = group.ones[0].0.counts().sent_bytes;
    assert!(bytes <= 24 * 80 + 256 * 4, "{bytes} bytes for 80 answers");
}
