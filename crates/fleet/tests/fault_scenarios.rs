//! Fault scenarios of membership and duties in simulated time, and mutants: scenarios with one safeguard disabled,
//! which have to break a guarantee. The simulation judges the statuses that members record and the duties that they
//! run; its judge shares no code with the cores.

use std::collections::BTreeMap;

use quaypath_fleet::config::{FleetConfig, Safeguard};
use quaypath_fleet::message::{
    append_checksum, MemberUpdate, Message, MessageKind, MAX_DATAGRAM_BYTES, NOBODY,
};
use quaypath_fleet::simulation::{convergence_bound, overlaps, simulate, Fault, Outcome, Scenario};
use quaypath_fleet::swim::SwimMember;
use quaypath_fleet::{Action, DutyId, FleetCore, MemberId, Standing, Status};
use test_case::test_case;

fn without_faults(members: u16) -> Scenario {
    Scenario::without_faults(7, members, 45.0 + 2.0 * convergence_bound(members))
}

fn with_faults(members: u16, faults: Vec<Fault>) -> Scenario {
    Scenario { faults, faults_end: 20.0, ..without_faults(members) }
}

fn cut(from: &[u16], to: &[u16], at: f64, duration: f64) -> Fault {
    Fault::LinkCut { from: from.to_vec(), to: to.to_vec(), at, duration }
}

fn kill(member: u16, at: f64, restart_after: Option<f64>) -> Fault {
    Fault::Kill { member, at, restart_after, clock_offset: 0.0 }
}

fn member_restarts() -> Scenario {
    with_faults(8, vec![kill(3, 8.0, Some(9.0))])
}

fn members_stall() -> Scenario {
    with_faults(
        8,
        (0..4)
            .map(|member| Fault::Stall { member, at: 8.0 + 0.1 * f64::from(member), duration: 5.0 })
            .collect(),
    )
}

fn one_way_cut() -> Scenario {
    with_faults(8, vec![cut(&[0, 1, 2], &[3, 4, 5, 6, 7], 8.0, 10.0)])
}

/// Member 0 cannot reach 1, 1 cannot reach 2, and 2 cannot reach 0; the opposite directions work.
fn ring_cut() -> Scenario {
    with_faults(3, vec![cut(&[0], &[1], 8.0, 10.0), cut(&[1], &[2], 8.0, 10.0), cut(&[2], &[0], 8.0, 10.0)])
}

fn third_of_datagrams_lost() -> Scenario {
    let faults = (0..4).map(|nth| kill(nth * 10, 8.0 + f64::from(nth), Some(1.0))).collect();
    Scenario { loss: 0.33, ..with_faults(40, faults) }
}

fn simultaneous_start() -> Scenario {
    Scenario { start_within: 0.0, ..with_faults(40, Vec::new()) }
}

fn all_but_one_killed() -> Scenario {
    with_faults(8, (1..8).map(|member| kill(member, 10.0, None)).collect())
}

fn duplicate_process() -> Scenario {
    with_faults(8, vec![Fault::DuplicateProcess { member: 2, at: 9.0 }])
}

fn shrink_and_grow() -> Scenario {
    let kills = (3..40).map(|member| kill(member, 8.0 + 0.05 * f64::from(member), Some(20.0)));
    Scenario { faults_end: 30.0, ..with_faults(40, kills.collect()) }
}

/// Each member's list lacks one member, each a different one. Members learn of each other through members that list
/// both.
fn member_lists_differ() -> Scenario {
    let lists = (0..8).map(|member| (member, (0..8).filter(|listed| *listed != (member + 3) % 8).collect()));
    Scenario { member_lists: lists.collect(), ..without_faults(8) }
}

fn noise() -> Scenario {
    with_faults(
        8,
        vec![Fault::Noise { member: 4, at: 9.0 }, kill(5, 10.0, None), Fault::Noise { member: 4, at: 19.0 }],
    )
}

fn wrong_clock_rates() -> Scenario {
    Scenario {
        clock_rates: BTreeMap::from([(1, 1.05), (2, 0.95)]),
        ..with_faults(8, vec![kill(6, 9.0, Some(5.0))])
    }
}

/// The wall clock was set back by an hour while the process was down.
fn wall_clock_set_back() -> Scenario {
    with_faults(8, vec![Fault::Kill { member: 3, at: 9.0, restart_after: Some(1.0), clock_offset: -3600.0 }])
}

fn member_leaves() -> Scenario {
    with_faults(8, vec![Fault::Leave { member: 3, at: 9.0 }])
}

fn two_members() -> Scenario {
    with_faults(2, vec![kill(1, 9.0, Some(6.0))])
}

fn divided_fleet() -> Scenario {
    with_faults(
        8,
        vec![cut(&[0, 1, 2, 3], &[4, 5, 6, 7], 8.0, 12.0), cut(&[4, 5, 6, 7], &[0, 1, 2, 3], 8.0, 12.0)],
    )
}

#[test_case(member_restarts(), |o| !o.detection_times.is_empty(); "a member restarts after others took its duties over")]
#[test_case(members_stall(), |o| o.stalls >= 4; "some members are stalled for 5 s and continue with their old state")]
#[test_case(one_way_cut(), |o| o.suspected > 0; "datagrams pass in one direction only")]
#[test_case(ring_cut(), |o| o.suspected > 0; "each member receives from one and is received by another")]
#[test_case(third_of_datagrams_lost(), |o| o.refuted > 0; "a third of all datagrams lost while a tenth of the members restarts")]
#[test_case(simultaneous_start(), |o| o.suspected == 0; "all members start at once")]
#[test_case(all_but_one_killed(), |o| o.detection_times.len() == 7; "all members but one are killed at once")]
#[test_case(duplicate_process(), |o| o.processes == 9; "two processes under one member number")]
#[test_case(shrink_and_grow(), |o| !o.detection_times.is_empty(); "a fleet of 40 shrinks to 3 and grows again")]
#[test_case(member_lists_differ(), |o| !o.duty_runs.is_empty(); "each member has a different list of members")]
#[test_case(noise(), |o| o.dropped > 100; "noise, truncated datagrams and repeated datagrams")]
#[test_case(wrong_clock_rates(), |o| !o.detection_times.is_empty(); "one clock 5 percent fast and one 5 percent slow")]
#[test_case(wall_clock_set_back(), |o| o.processes == 9; "a wall clock set back by an hour")]
#[test_case(member_leaves(), |o| o.suspected == 0; "a member leaves")]
#[test_case(two_members(), |o| !o.detection_times.is_empty(); "a fleet of two")]
#[test_case(divided_fleet(), |o| o.false_deaths > 0; "a fleet divided into halves")]
fn fault_scenario_keeps_the_guarantees(scenario: Scenario, fault_occurred: fn(&Outcome) -> bool) {
    let outcome = simulate(&scenario);
    assert!(outcome.breaches.is_empty(), "{:#?}", outcome.breaches);
    assert!(fault_occurred(&outcome), "the fault did not occur: {outcome:?}");
    assert!(outcome.longest_datagram <= MAX_DATAGRAM_BYTES);
}

/// Scenarios with random faults by seed. The example `seeds` runs 10^5 of them.
#[test_case(1, 1500, 3..12; "small fleets")]
#[test_case(9001, 12, 40..41; "forty members")]
#[test_case(9101, 1, 300..301; "three hundred members")]
fn random_faults_keep_the_guarantees(from: u64, seeds: u64, members: std::ops::Range<u16>) {
    let next = std::sync::atomic::AtomicU64::new(from);
    let (suspicions, breaches) = (std::sync::atomic::AtomicU64::new(0), std::sync::Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if seed >= from + seeds {
                    return;
                }
                let members = members.start + (seed % u64::from(members.end - members.start)) as u16;
                let outcome =
                    simulate(&Scenario::random(seed, members, 25.0, 30.0 + 2.0 * convergence_bound(members)));
                suspicions.fetch_add(outcome.suspected, std::sync::atomic::Ordering::Relaxed);
                if !outcome.breaches.is_empty() {
                    breaches.lock().unwrap().push((seed, members, outcome.breaches));
                }
            });
        }
    });
    let breaches = breaches.into_inner().unwrap();
    assert!(
        breaches.is_empty(),
        "{} of {seeds} seeds: {:#?}",
        breaches.len(),
        &breaches[..breaches.len().min(3)]
    );
    assert!(suspicions.into_inner() > 0);
}

/// The scenario keeps the guarantees with the safeguard and breaks one without it.
#[test_case(Safeguard::Refutation, members_stall(); "suspicions are not refuted")]
#[test_case(Safeguard::Yield, member_lists_differ(); "duties are not left to the better claim")]
#[test_case(Safeguard::DuplicateProcess, duplicate_process(); "two processes of one member both continue")]
fn mutant_breaks_a_guarantee(disabled: Safeguard, scenario: Scenario) {
    assert!(simulate(&scenario).breaches.is_empty());
    let outcome = simulate(&Scenario { disabled_safeguard: Some(disabled), ..scenario });
    assert!(!outcome.breaches.is_empty(), "no breach without the safeguard {disabled:?}");
}

/// A process that restarts is accepted at once. With an incarnation that does not grow, each of its datagrams would
/// count as a duplicate, and it would be suspected again and again.
#[test_case(None, false; "with growing incarnations")]
#[test_case(Some(Safeguard::Incarnation), true; "without")]
fn restarted_process_is_accepted(disabled: Option<Safeguard>, suspected: bool) {
    let restart = with_faults(8, vec![kill(3, 70.0, Some(1.0))]);
    let outcome = simulate(&Scenario { disabled_safeguard: disabled, duration: 110.0, ..restart });
    assert_eq!(outcome.refuted > 10, suspected, "{} suspicions refuted", outcome.refuted);
}

/// Two members that cannot reach each other, but are reached by all others, are not suspected.
#[test_case(None, 0; "with helpers")]
#[test_case(Some(Safeguard::Helpers), 1; "without")]
fn one_cut_link_causes_no_suspicion(disabled: Option<Safeguard>, expected: u64) {
    let cuts = vec![cut(&[0], &[1], 8.0, 30.0), cut(&[1], &[0], 8.0, 30.0)];
    let outcome = simulate(&Scenario { disabled_safeguard: disabled, ..with_faults(8, cuts) });
    assert_eq!(outcome.suspected.min(1), expected);
}

/// In the baseline several members run one duty, and the judge reports it.
#[test]
fn baseline_breaks_a_guarantee() {
    let outcome = simulate(&Scenario { baseline: true, ..member_restarts() });
    assert!(outcome.breaches.iter().any(|breach| breach.contains("done by")), "{:?}", outcome.breaches);
}

const FLEET: &str = "unit";

/// One member of a fleet of three, with its clock. The test writes the datagrams of the others.
struct TestMember {
    core: SwimMember,
    now: f64,
}

fn message_from(sender: u16, sequence: u32, kind: MessageKind, updates: Vec<MemberUpdate>) -> Message {
    let (incarnation, refutation, check_id, member) = (100, 0, sequence, NOBODY);
    let duty_results = Vec::new();
    Message {
        kind,
        sender: MemberId(sender),
        incarnation,
        refutation,
        sequence,
        check_id,
        member,
        wants_reply: false,
        updates,
        duty_results,
        signal: Vec::new(),
    }
}

impl TestMember {
    fn start(disabled: Option<Safeguard>) -> TestMember {
        let mut config = FleetConfig::uniform(FLEET, 0, 3);
        config.disabled_safeguard = disabled;
        let mut core = SwimMember::start(0.0, 1.0, 1, config);
        core.set_duties(0.0, &(0..64).map(|nth| DutyId::of(&nth.to_string())).collect::<Vec<_>>());
        TestMember { core, now: 0.0 }
    }

    fn receive(&mut self, message: &Message) -> Vec<Action> {
        self.receive_bytes(&message.encode(quaypath_fleet::message::fleet_hash(FLEET)))
    }

    fn receive_bytes(&mut self, bytes: &[u8]) -> Vec<Action> {
        let mut out = Vec::new();
        self.core.datagram_received(self.now, bytes, &mut out);
        out
    }

    /// Runs the member's ticks until this time, without any datagram.
    fn run(&mut self, until: f64) -> Vec<Action> {
        let mut out = Vec::new();
        while self.core.next_tick_at() <= until {
            self.now = self.core.next_tick_at().max(self.now);
            self.core.tick(self.now, &mut out);
        }
        self.now = until;
        out
    }

    /// Stalls the member until this time, then runs one tick.
    fn stall(&mut self, until: f64) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = until;
        self.core.tick(self.now, &mut out);
        out
    }
}

/// A process that was stalled while it suspected a member must not record that member as dead because of the stall.
#[test_case(None, false; "with the check")]
#[test_case(Some(Safeguard::StallDetection), true; "without")]
fn stall_declares_no_member_dead(disabled: Option<Safeguard>, declared_dead: bool) {
    let mut member = TestMember::start(disabled);
    member.receive(&message_from(1, 1, MessageKind::Ping, Vec::new()));
    member.receive(&message_from(2, 1, MessageKind::Ping, Vec::new()));
    let suspected_by = MemberId(2);
    let suspect = MemberUpdate {
        member: MemberId(1),
        incarnation: 100,
        refutation: 0,
        status: Status::Suspect,
        suspected_by,
    };
    member.receive(&message_from(2, 2, MessageKind::Ping, vec![suspect]));
    assert_eq!(member.core.status(MemberId(1)), Some(Status::Suspect));
    let out = member.stall(30.0);
    assert_eq!(out.contains(&Action::MemberStatusChanged(MemberId(1), Status::Dead)), declared_dead);
}

/// A process that was stalled waits before it runs duties that others may have taken over.
#[test_case(None, false; "with the window")]
#[test_case(Some(Safeguard::TakeoverWindow), true; "without")]
fn duties_wait_after_a_stall(disabled: Option<Safeguard>, runs_duties: bool) {
    let mut member = TestMember::start(disabled);
    member.receive(&message_from(1, 1, MessageKind::Ping, Vec::new()));
    let ran_duty = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::RunDuty(_)));
    assert!(ran_duty(&member.run(12.0)), "no duty was run before the stall");
    let mut out = member.stall(20.0);
    out.extend(member.receive(&message_from(1, 2, MessageKind::Ping, Vec::new())));
    out.extend(member.run(21.0));
    assert_eq!(ran_duty(&out), runs_duties);
    assert!(ran_duty(&member.run(40.0)), "no duty was run later");
}

/// A member that joins after all others is checked in the current round, not minutes later in the next one.
#[test]
fn late_joiner_is_checked_in_the_current_round() {
    let kills = vec![kill(99, 3.0, Some(9.0)), kill(99, 30.0, None)];
    let outcome = simulate(&Scenario { faults_end: 31.0, ..with_faults(100, kills) });
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    let second_kill: Vec<f64> =
        outcome.detection_times.iter().copied().filter(|after| *after < 15.0).collect();
    assert!(second_kill.len() > 90, "{} of 99 members recorded the death within 15 s", second_kill.len());
}

/// A process that is repeatedly stalled, each time for less than others need to take over, still runs its duties.
#[test]
fn short_stalls_do_not_starve_duties() {
    let stalls = (0..14).flat_map(|nth| {
        (0..4).map(move |member| Fault::Stall { member, at: 6.0 + 2.5 * f64::from(nth), duration: 0.6 })
    });
    let outcome = simulate(&with_faults(8, stalls.collect()));
    assert!(outcome.breaches.is_empty(), "{:?}", outcome.breaches);
    assert!(outcome.stalls > 20);
    let mut last_runs = std::collections::HashMap::new();
    for (at, duty, _) in outcome.duty_runs.iter().filter(|(at, ..)| *at > 8.0) {
        let before = last_runs.insert(duty, *at).unwrap_or(*at);
        assert!(at - before < 6.0, "{duty:?} was not run from {before} to {at}");
    }
}

#[test_case(None, 1; "with the check")]
#[test_case(Some(Safeguard::DuplicateDatagrams), 2; "without")]
fn repeated_datagram_is_answered_once(disabled: Option<Safeguard>, answers: usize) {
    let mut member = TestMember::start(disabled);
    let ping = message_from(1, 5, MessageKind::Ping, Vec::new());
    let mut out = member.receive(&ping);
    member.now = 0.01;
    out.extend(member.receive(&ping));
    assert_eq!(
        out.iter().filter(|action| matches!(action, Action::SendDatagram(MemberId(1), _))).count(),
        answers
    );
}

/// A datagram of another version with a correct checksum, which in the format of this version reports a dead member.
#[test_case(None, None; "with the check")]
#[test_case(Some(Safeguard::Version), Some(Status::Dead); "without")]
fn other_version_is_dropped(disabled: Option<Safeguard>, recorded: Option<Status>) {
    let mut member = TestMember::start(disabled);
    let dead = MemberUpdate {
        member: MemberId(2),
        incarnation: 5,
        refutation: 0,
        status: Status::Dead,
        suspected_by: NOBODY,
    };
    let fleet = quaypath_fleet::message::fleet_hash(FLEET);
    let mut bytes = message_from(1, 1, MessageKind::Ping, vec![dead]).encode(fleet);
    bytes.truncate(bytes.len() - 8);
    bytes[2] = 0;
    append_checksum(fleet, &mut bytes);
    member.receive_bytes(&bytes);
    assert_eq!(member.core.status(MemberId(2)), recorded);
    assert_eq!(member.core.counts().wrong_version, u64::from(recorded.is_none()));
}

/// Datagrams of another fleet, of unknown senders and of old incarnations, and damaged datagrams, are dropped and
/// counted by cause.
#[test]
fn dropped_datagrams_are_counted_by_cause() {
    let mut member = TestMember::start(None);
    let good = message_from(1, 1, MessageKind::Ping, Vec::new());
    let fleet = quaypath_fleet::message::fleet_hash(FLEET);
    assert!(member.receive_bytes(&good.encode(fleet ^ 1)).is_empty());
    assert!(member.receive(&message_from(9, 1, MessageKind::Ping, Vec::new())).is_empty());
    let mut damaged = good.encode(fleet);
    damaged[20] ^= 4;
    assert!(member.receive_bytes(&damaged).is_empty());
    assert!(member.receive_bytes(b"").is_empty());
    assert!(member.receive_bytes(&[0; 3000]).is_empty());
    assert_eq!(member.core.standing(), Standing::Alone);
    assert!(!member.receive(&good).is_empty());
    assert_eq!(member.core.standing(), Standing::Together);
    assert!(member.receive(&Message { incarnation: 99, sequence: 2, ..good }).is_empty());
    let counts = member.core.counts();
    assert_eq!(
        (counts.other_fleet, counts.unknown_sender, counts.malformed, counts.old_incarnation),
        (1, 1, 3, 1)
    );
}

/// Which runs of two members the judge reports as overlapping.
#[test_case(&[(0.0, 1), (2.0, 1), (4.0, 2), (6.0, 2)], 0; "one after the other")]
#[test_case(&[(0.0, 1), (1.0, 2), (2.0, 1), (3.0, 2)], 1; "both at the same time")]
#[test_case(&[(0.0, 1), (1.0, 2), (20.0, 1), (21.0, 2)], 0; "each at long intervals")]
fn overlaps_are_reported(runs: &[(f64, u16)], overlapping: usize) {
    assert_eq!(overlaps(runs, 5.0).len(), overlapping);
}
