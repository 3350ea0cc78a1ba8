//! The hard cases of membership and duties, each caused in simulated time, and each safeguard taken away in a mutant
//! that is caught. What members hold and do is judged by the simulation, which shares nothing with the cores.

use std::collections::BTreeMap;

use quaypath_fleet::config::{FleetConfig, Safeguard};
use quaypath_fleet::message::{
    append_checksum, MemberUpdate, Message, MessageKind, MAX_DATAGRAM_BYTES, NOBODY,
};
use quaypath_fleet::simulation::{bound, overlaps, play, Outcome, Play, Trouble};
use quaypath_fleet::swim::SwimMember;
use quaypath_fleet::{Action, DutyId, FleetCore, MemberId, Standing, Status};
use test_case::test_case;

fn calm(members: u16) -> Play {
    Play::calm(7, members, 45.0 + 2.0 * bound(members))
}

fn with(members: u16, troubles: Vec<Trouble>) -> Play {
    Play { troubles, ends: 20.0, ..calm(members) }
}

fn cut(from: &[u16], to: &[u16], at: f64, lasts: f64) -> Trouble {
    Trouble::Cut { from: from.to_vec(), to: to.to_vec(), at, lasts }
}

fn kill(who: u16, at: f64, back: Option<f64>) -> Trouble {
    Trouble::Kill { who, at, back, clock: 0.0 }
}

fn one_returns() -> Play {
    with(8, vec![kill(3, 8.0, Some(9.0))])
}

fn one_stops() -> Play {
    with(8, (0..4).map(|who| Trouble::Stop { who, at: 8.0 + 0.1 * f64::from(who), lasts: 5.0 }).collect())
}

fn one_way() -> Play {
    with(8, vec![cut(&[0, 1, 2], &[3, 4, 5, 6, 7], 8.0, 10.0)])
}

/// 0 hears 1, 1 hears 2, 2 hears 0, and nothing else.
fn ring() -> Play {
    with(3, vec![cut(&[0], &[1], 8.0, 10.0), cut(&[1], &[2], 8.0, 10.0), cut(&[2], &[0], 8.0, 10.0)])
}

fn a_third_lost() -> Play {
    let troubles = (0..4).map(|nth| kill(nth * 10, 8.0 + f64::from(nth), Some(1.0))).collect();
    Play { lose: 0.33, ..with(40, troubles) }
}

fn all_at_once() -> Play {
    Play { start: 0.0, ..with(40, Vec::new()) }
}

fn all_but_one_die() -> Play {
    with(8, (1..8).map(|who| kill(who, 10.0, None)).collect())
}

fn twins() -> Play {
    with(8, vec![Trouble::Twin { who: 2, at: 9.0 }])
}

fn shrinks_and_grows() -> Play {
    let gone = (3..40).map(|who| kill(who, 8.0 + 0.05 * f64::from(who), Some(20.0)));
    Play { ends: 30.0, ..with(40, gone.collect()) }
}

/// Each member's list lacks another member; all hear of each other through those that list both.
fn lists_differ() -> Play {
    let lists = (0..8).map(|who| (who, (0..8).filter(|one| *one != (who + 3) % 8).collect()));
    Play { lists: lists.collect(), ..calm(8) }
}

fn noise() -> Play {
    with(
        8,
        vec![Trouble::Noise { who: 4, at: 9.0 }, kill(5, 10.0, None), Trouble::Noise { who: 4, at: 19.0 }],
    )
}

fn fast_clock() -> Play {
    Play { clocks: BTreeMap::from([(1, 1.05), (2, 0.95)]), ..with(8, vec![kill(6, 9.0, Some(5.0))]) }
}

/// The wall clock went back by an hour while it was down.
fn clock_back() -> Play {
    with(8, vec![Trouble::Kill { who: 3, at: 9.0, back: Some(1.0), clock: -3600.0 }])
}

fn one_leaves() -> Play {
    with(8, vec![Trouble::Leave { who: 3, at: 9.0 }])
}

fn two() -> Play {
    with(2, vec![kill(1, 9.0, Some(6.0))])
}

fn cut_in_two() -> Play {
    with(8, vec![cut(&[0, 1, 2, 3], &[4, 5, 6, 7], 8.0, 12.0), cut(&[4, 5, 6, 7], &[0, 1, 2, 3], 8.0, 12.0)])
}

#[test_case(one_returns(), |o| !o.detected.is_empty(); "one returns after others took over")]
#[test_case(one_stops(), |o| o.no_turn >= 4; "some have no turn for 5 s and go on with their old view")]
#[test_case(one_way(), |o| o.suspected > 0; "news pass one way only")]
#[test_case(ring(), |o| o.suspected > 0; "each hears one and is heard by another")]
#[test_case(a_third_lost(), |o| o.refuted > 0; "a third of all datagrams lost while a tenth restarts")]
#[test_case(all_at_once(), |o| o.suspected == 0; "all start at once")]
#[test_case(all_but_one_die(), |o| o.detected.len() == 7; "all but one die at once")]
#[test_case(twins(), |o| o.processes == 9; "two processes under one name")]
#[test_case(shrinks_and_grows(), |o| !o.detected.is_empty(); "a fleet of 40 shrinks to 3 and grows again")]
#[test_case(lists_differ(), |o| !o.done.is_empty(); "each has another list of members")]
#[test_case(noise(), |o| o.dropped > 100; "noise, and datagrams cut short and sent again later")]
#[test_case(fast_clock(), |o| !o.detected.is_empty(); "a clock that runs 5 percent fast, and one slow")]
#[test_case(clock_back(), |o| o.processes == 9; "a wall clock that went back by an hour")]
#[test_case(one_leaves(), |o| o.suspected == 0; "one leaves in order")]
#[test_case(two(), |o| !o.detected.is_empty(); "a fleet of two")]
#[test_case(cut_in_two(), |o| o.false_deaths > 0; "a fleet in two halves")]
fn a_hard_case_keeps_the_promises(play_it: Play, struck: fn(&Outcome) -> bool) {
    let outcome = play(&play_it);
    assert!(outcome.broken.is_empty(), "{:#?}", outcome.broken);
    assert!(struck(&outcome), "the fault did not strike: {outcome:?}");
    assert!(outcome.longest <= MAX_DATAGRAM_BYTES);
}

/// Troubles drawn by seed; 10^5 of them are run outside by the example `seeds`.
#[test_case(1, 1500, 3..12; "small fleets")]
#[test_case(9001, 12, 40..41; "forty")]
#[test_case(9101, 1, 300..301; "three hundred")]
fn storms_keep_the_promises(from: u64, seeds: u64, members: std::ops::Range<u16>) {
    let next = std::sync::atomic::AtomicU64::new(from);
    let (struck, broken) = (std::sync::atomic::AtomicU64::new(0), std::sync::Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let members = members.start + (seed % u64::from(members.end - members.start)) as u16;
                let outcome = play(&Play::storm(seed, members, 25.0, 30.0 + 2.0 * bound(members)));
                struck.fetch_add(outcome.suspected, std::sync::atomic::Ordering::Relaxed);
                if !outcome.broken.is_empty() {
                    broken.lock().unwrap().push((seed, members, outcome.broken));
                }
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{} of {seeds} seeds: {:#?}", broken.len(), &broken[..broken.len().min(3)]);
    assert!(struck.into_inner() > 0);
}

/// With the safeguard the play keeps the promises, without it does not.
#[test_case(Safeguard::Refutation, one_stops(); "suspicions that are not refuted")]
#[test_case(Safeguard::Yield, lists_differ(); "a duty that is not left to the better claim")]
#[test_case(Safeguard::Twins, twins(); "two of one name that both go on")]
fn a_mutant_breaks_a_promise(without: Safeguard, play_it: Play) {
    assert!(play(&play_it).broken.is_empty());
    let outcome = play(&Play { without: Some(without), ..play_it });
    assert!(!outcome.broken.is_empty(), "nothing notices that {without:?} is missing");
}

/// A process that starts again is believed at once; without a incarnation above its last one each of its datagrams counts as
/// one that came before, and it is suspected and suspected again.
#[test_case(None, false; "with lives that rise")]
#[test_case(Some(Safeguard::Incarnation), true; "without")]
fn a_second_life_is_believed(without: Option<Safeguard>, doubted: bool) {
    let again = with(8, vec![kill(3, 70.0, Some(1.0))]);
    let outcome = play(&Play { without, lasts: 110.0, ..again });
    assert_eq!(outcome.refuted > 10, doubted, "{} suspicions refuted", outcome.refuted);
}

/// Two that cannot reach each other while all others reach both are no reason to suspect either.
#[test_case(None, 0; "with helpers")]
#[test_case(Some(Safeguard::Helpers), 1; "without")]
fn one_broken_link_suspects_nobody(without: Option<Safeguard>, least: u64) {
    let broken = vec![cut(&[0], &[1], 8.0, 30.0), cut(&[1], &[0], 8.0, 30.0)];
    let outcome = play(&Play { without, ..with(8, broken) });
    assert_eq!(outcome.suspected.min(1), least);
}

/// The baseline keeps no promise of one doer, and the judge sees it.
#[test]
fn the_baseline_is_found_broken() {
    let outcome = play(&Play { plain: true, ..one_returns() });
    assert!(outcome.broken.iter().any(|what| what.contains("done by")), "{:?}", outcome.broken);
}

const FLEET: &str = "unit";

/// One member by hand, with its clock, in a fleet of three; and what others say.
struct One {
    core: SwimMember,
    now: f64,
}

fn others_message(from: u16, number: u32, kind: MessageKind, updates: Vec<MemberUpdate>) -> Message {
    let (incarnation, refutation, check, member) = (100, 0, number, NOBODY);
    let duty_results = Vec::new();
    Message {
        kind,
        from: MemberId(from),
        incarnation,
        refutation,
        number,
        check,
        member,
        flag: false,
        updates,
        duty_results,
        signal: Vec::new(),
    }
}

impl One {
    fn start(without: Option<Safeguard>) -> One {
        let mut config = FleetConfig::uniform(FLEET, 0, 3);
        config.disabled_safeguard = without;
        let mut core = SwimMember::start(0.0, 1.0, 1, config);
        core.set_duties(0.0, &(0..64).map(|nth| DutyId::of(&nth.to_string())).collect::<Vec<_>>());
        One { core, now: 0.0 }
    }

    fn hear(&mut self, message: &Message) -> Vec<Action> {
        self.hear_bytes(&message.encode(quaypath_fleet::message::fleet_hash(FLEET)))
    }

    fn hear_bytes(&mut self, bytes: &[u8]) -> Vec<Action> {
        let mut out = Vec::new();
        self.core.datagram_received(self.now, bytes, &mut out);
        out
    }

    /// Runs on in time with its ticks, as others say nothing.
    fn run(&mut self, until: f64) -> Vec<Action> {
        let mut out = Vec::new();
        while self.core.next_tick_at() <= until {
            self.now = self.core.next_tick_at().max(self.now);
            self.core.tick(self.now, &mut out);
        }
        self.now = until;
        out
    }

    /// Has no turn until then.
    fn stop(&mut self, until: f64) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = until;
        self.core.tick(self.now, &mut out);
        out
    }
}

/// A process that stood still while it suspected another must not find that one dead by its own standstill.
#[test_case(None, false; "with the check")]
#[test_case(Some(Safeguard::Turn), true; "without")]
fn a_stop_declares_nobody_dead(without: Option<Safeguard>, dies: bool) {
    let mut one = One::start(without);
    one.hear(&others_message(1, 1, MessageKind::Ping, Vec::new()));
    one.hear(&others_message(2, 1, MessageKind::Ping, Vec::new()));
    let by = MemberId(2);
    let suspect =
        MemberUpdate { member: MemberId(1), incarnation: 100, refutation: 0, status: Status::Suspect, by };
    one.hear(&others_message(2, 2, MessageKind::Ping, vec![suspect]));
    assert_eq!(one.core.status(MemberId(1)), Some(Status::Suspect));
    let out = one.stop(30.0);
    assert_eq!(out.contains(&Action::MemberStatusChanged(MemberId(1), Status::Dead)), dies);
}

/// A process that had no turn looks on before it does what others may have taken over.
#[test_case(None, false; "with the window")]
#[test_case(Some(Safeguard::Window), true; "without")]
fn a_stop_is_followed_by_looking_on(without: Option<Safeguard>, does: bool) {
    let mut one = One::start(without);
    one.hear(&others_message(1, 1, MessageKind::Ping, Vec::new()));
    let done = |acts: &[Action]| acts.iter().any(|act| matches!(act, Action::RunDuty(_)));
    assert!(done(&one.run(12.0)), "it does its duties before the stop");
    let mut out = one.stop(20.0);
    out.extend(one.hear(&others_message(1, 2, MessageKind::Ping, Vec::new())));
    out.extend(one.run(21.0));
    assert_eq!(done(&out), does);
    assert!(done(&one.run(40.0)), "it does them again later");
}

/// A member that joins behind all others is checked in the round that runs, not in the next one, minutes later.
#[test]
fn one_that_joins_last_is_missed_soon() {
    let late = vec![kill(99, 3.0, Some(9.0)), kill(99, 30.0, None)];
    let outcome = play(&Play { ends: 31.0, ..with(100, late) });
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    let last: Vec<f64> = outcome.detected.iter().copied().filter(|after| *after < 15.0).collect();
    assert!(last.len() > 90, "{} of 99 told within 15 s", last.len());
}

/// A process that stands still for less than others need to take over, again and again, goes on with its duties.
#[test]
fn short_stops_do_not_starve_duties() {
    let short = (0..14).flat_map(|nth| {
        (0..4).map(move |who| Trouble::Stop { who, at: 6.0 + 2.5 * f64::from(nth), lasts: 0.6 })
    });
    let outcome = play(&with(8, short.collect()));
    assert!(outcome.broken.is_empty(), "{:?}", outcome.broken);
    assert!(outcome.no_turn > 20);
    let mut last = std::collections::HashMap::new();
    for (at, duty, _) in outcome.done.iter().filter(|(at, ..)| *at > 8.0) {
        let before = last.insert(duty, *at).unwrap_or(*at);
        assert!(at - before < 6.0, "{duty:?} was not done from {before} to {at}");
    }
}

#[test_case(None, 1; "with the check")]
#[test_case(Some(Safeguard::Repeats), 2; "without")]
fn a_datagram_is_answered_once(without: Option<Safeguard>, answers: usize) {
    let mut one = One::start(without);
    let ping = others_message(1, 5, MessageKind::Ping, Vec::new());
    let mut out = one.hear(&ping);
    one.now = 0.01;
    out.extend(one.hear(&ping));
    assert_eq!(out.iter().filter(|act| matches!(act, Action::SendDatagram(MemberId(1), _))).count(), answers);
}

/// A datagram of another version, whole by its check, that says in this version's form that a member is dead.
#[test_case(None, None; "with the check")]
#[test_case(Some(Safeguard::Version), Some(Status::Dead); "without")]
fn another_version_is_not_read(without: Option<Safeguard>, held: Option<Status>) {
    let mut one = One::start(without);
    let dead =
        MemberUpdate { member: MemberId(2), incarnation: 5, refutation: 0, status: Status::Dead, by: NOBODY };
    let fleet = quaypath_fleet::message::fleet_hash(FLEET);
    let mut bytes = others_message(1, 1, MessageKind::Ping, vec![dead]).encode(fleet);
    bytes.truncate(bytes.len() - 8);
    bytes[2] = 0;
    append_checksum(fleet, &mut bytes);
    one.hear_bytes(&bytes);
    assert_eq!(one.core.status(MemberId(2)), held);
    assert_eq!(one.core.counts().version, u64::from(held.is_none()));
}

/// Foreign, unknown, old and spoilt datagrams are dropped and counted each by its kind.
#[test]
fn what_is_not_of_this_fleet_is_dropped_and_counted() {
    let mut one = One::start(None);
    let good = others_message(1, 1, MessageKind::Ping, Vec::new());
    let fleet = quaypath_fleet::message::fleet_hash(FLEET);
    assert!(one.hear_bytes(&good.encode(fleet ^ 1)).is_empty());
    assert!(one.hear(&others_message(9, 1, MessageKind::Ping, Vec::new())).is_empty());
    let mut spoilt = good.encode(fleet);
    spoilt[20] ^= 4;
    assert!(one.hear_bytes(&spoilt).is_empty());
    assert!(one.hear_bytes(b"").is_empty());
    assert!(one.hear_bytes(&[0; 3000]).is_empty());
    assert_eq!(one.core.standing(), Standing::Alone);
    assert!(!one.hear(&good).is_empty());
    assert_eq!(one.core.standing(), Standing::Together);
    assert!(one.hear(&Message { incarnation: 99, number: 2, ..good }).is_empty());
    let counts = one.core.counts();
    assert_eq!((counts.foreign, counts.unknown, counts.bad, counts.old), (1, 1, 3, 1));
}

/// The judge of one doer: what it finds and what it lets pass.
#[test_case(&[(0.0, 1), (2.0, 1), (4.0, 2), (6.0, 2)], 0; "one after the other")]
#[test_case(&[(0.0, 1), (1.0, 2), (2.0, 1), (3.0, 2)], 1; "both at a time")]
#[test_case(&[(0.0, 1), (1.0, 2), (20.0, 1), (21.0, 2)], 0; "each once in a while")]
fn overlaps_are_found(done: &[(f64, u16)], found: usize) {
    assert_eq!(overlaps(done, 5.0).len(), found);
}
