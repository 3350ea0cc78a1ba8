//! Shared periodic duties. Each duty is run by one member; another member takes it over when that one dies, and gives
//! it back when that one returns.
//!
//! The owner of a duty follows from the live members alone, by weighted rendezvous hashing, so a member that joins or
//! leaves moves only its own share. The result of each run is sent to all members. While a member with a better claim
//! runs a duty, members with lesser claims do not, even if their lists of live members differ: claims of members that
//! run the duty decide, not lists. If the member with the best claim does not run the duty, for example because it
//! has no list of nodes, the next one takes over after some periods.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{DutyResult, MAX_AGE, MAX_DUTY_RESULTS};
use crate::{DutyId, MemberId};

/// Maximum number of duties of a fleet; further ones are ignored.
pub const MAX_DUTIES: usize = 4096;
/// Periods after a run during which members with lesser claims do not run the duty.
const CLAIM_HOLD_PERIODS: f64 = 2.2;
/// Number of members with the best claims that may run a duty in place of one another.
const CANDIDATES: usize = 4;
/// Periods without a result after which the next candidate takes over.
const TAKEOVER_PERIODS: f64 = 3.0;
/// Periods after which a duty is given to the driver again if the driver reported no result.
const RETRY_PERIODS: f64 = 2.0;

/// Claim of a member on a duty, by its weight; the member with the highest claim owns the duty.
pub fn claim(duty: DutyId, member: MemberId, weight: u8) -> f64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&duty.0.to_le_bytes());
    bytes[4..].copy_from_slice(&member.0.to_le_bytes());
    // Above 0, so that its logarithm is finite.
    let fraction = ((xxh3_64(&bytes) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / fraction.ln()
}

/// The members with the highest claims, highest first, at most `count`.
pub fn highest_ranked<C: PartialOrd>(
    claims: impl Iterator<Item = (C, MemberId)>, count: usize,
) -> Vec<MemberId> {
    let mut ranked: Vec<(C, MemberId)> = Vec::with_capacity(count + 1);
    for (claim, member) in claims {
        let rank = ranked.partition_point(|(better, _)| *better >= claim);
        if rank < count {
            ranked.insert(rank, (claim, member));
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Last known run of a duty.
#[derive(Clone, Copy, Debug)]
struct LastRun {
    at: f64,
    done_by: MemberId,
    weight: u8,
    good: bool,
}

/// What is known of one duty.
#[derive(Clone, Debug, Default)]
struct DutyState {
    /// Number of the last known run.
    round: u32,
    last_run: Option<LastRun>,
    /// Live members with the best claims, best first: the owner, then the members that take over in turn.
    candidates: Vec<MemberId>,
    /// Datagrams that the last result was sent in.
    times_sent: u8,
    /// When the duty was given to the driver, while its result is outstanding.
    running_since: Option<f64>,
}

/// All duties of the fleet, as one member knows them.
pub struct Duties {
    own_id: MemberId,
    weight: u8,
    /// Seconds between two runs of a duty.
    interval: f64,
    /// Whether this member leaves duties to members with better claims.
    yields: bool,
    states: BTreeMap<DutyId, DutyState>,
    /// Duties whose last result is still to be sent, ordered by how often it was sent.
    send_queue: BTreeSet<(u8, DutyId)>,
    /// Version of the set of live members that the candidates were computed from.
    candidates_version: Option<u64>,
    next_due_at: f64,
    started: f64,
    /// Times that this member left a duty to one with a better claim.
    pub yielded: u64,
}

impl Duties {
    /// No duties yet; `interval` is the time between two runs of a duty in seconds.
    pub fn new(now: f64, own_id: MemberId, weight: u8, interval: f64, yields: bool) -> Duties {
        Duties {
            own_id,
            weight,
            interval,
            yields,
            states: BTreeMap::new(),
            send_queue: BTreeSet::new(),
            candidates_version: None,
            next_due_at: now,
            started: now,
            yielded: 0,
        }
    }

    /// Replaces the set of duties. What is known of duties that stay in the set is kept.
    pub fn set(&mut self, now: f64, all: &[DutyId]) {
        let all: BTreeSet<DutyId> = all.iter().take(MAX_DUTIES).copied().collect();
        self.states.retain(|duty, _| all.contains(duty));
        self.send_queue.retain(|(_, duty)| all.contains(duty));
        for duty in all {
            self.states.entry(duty).or_default();
        }
        (self.candidates_version, self.next_due_at) = (None, now);
    }

    /// Clock time at which [`Duties::take_due`] next has a duty to run, by what is known now.
    pub fn next_due_at(&self) -> f64 {
        self.next_due_at
    }

    fn update_candidates(&mut self, version: u64, live: &[(MemberId, u8)]) {
        if self.candidates_version.replace(version) == Some(version) {
            return;
        }
        for (duty, state) in &mut self.states {
            let claims = live.iter().map(|(member, weight)| (claim(*duty, *member, *weight), *member));
            state.candidates = highest_ranked(claims, CANDIDATES);
        }
    }

    /// Duties that this member has to run now, given the live members with their weights. `version` changes with the
    /// set of live members. No duty is run before `from`.
    pub fn take_due(&mut self, now: f64, version: u64, live: &[(MemberId, u8)], from: f64) -> Vec<DutyId> {
        self.update_candidates(version, live);
        let (own_id, weight, interval) = (self.own_id, self.weight, self.interval);
        let mut due = Vec::new();
        self.next_due_at = f64::INFINITY;
        for (duty, state) in &mut self.states {
            let Some(rank) = state.candidates.iter().position(|member| *member == own_id) else { continue };
            // The first runs of all duties are spread over one interval; each later run follows one interval after the
            // last, whichever member ran that. A member that took over runs the duty less often: at the same rate, a
            // member with a better claim that returned would keep running it at the same moments.
            let takeover_delay = interval * TAKEOVER_PERIODS * rank as f64;
            let first_run = || self.started + interval * f64::from(duty.0 & 0xff) / 256.0 + takeover_delay;
            let next_run = |last: LastRun| last.at + interval + takeover_delay;
            let mut due_at = state.last_run.map_or_else(first_run, next_run).max(from);
            if let Some(running_since) = state.running_since {
                due_at = due_at.max(running_since + RETRY_PERIODS * interval);
            }
            let better_claim = state.last_run.filter(|last| {
                last.done_by != own_id
                    && claim(*duty, last.done_by, last.weight) > claim(*duty, own_id, weight)
            });
            if let Some(last) = better_claim.filter(|_| self.yields) {
                if now >= due_at && now < last.at + CLAIM_HOLD_PERIODS * interval {
                    self.yielded += 1;
                }
                due_at = due_at.max(last.at + CLAIM_HOLD_PERIODS * interval);
            }
            if now >= due_at {
                state.running_since = Some(now);
                due.push(*duty);
                due_at = now + interval;
            }
            self.next_due_at = self.next_due_at.min(due_at);
        }
        due
    }

    /// Makes the next tick check all duties again, after a change of the members or of the results.
    pub fn recheck(&mut self, now: f64) {
        self.next_due_at = self.next_due_at.min(now);
    }

    fn store(&mut self, duty: DutyId, round: u32, last_run: LastRun) {
        let Some(state) = self.states.get_mut(&duty) else { return };
        self.send_queue.remove(&(state.times_sent, duty));
        (state.round, state.last_run, state.times_sent) = (round, Some(last_run), 0);
        self.send_queue.insert((0, duty));
    }

    /// Records that this member ran a duty.
    pub fn record_own_run(&mut self, now: f64, duty: DutyId, good: bool) {
        let Some(state) = self.states.get_mut(&duty) else { return };
        state.running_since = None;
        let round = state.round.saturating_add(1);
        self.store(duty, round, LastRun { at: now, done_by: self.own_id, weight: self.weight, good });
    }

    /// Applies a result that another member sent. Of two results the one of the later round applies, then the one with
    /// the better claim, in whatever order they arrive, so that two members that run a duty in step both learn which of
    /// them owns it.
    ///
    /// A result that comes from the member that ran the duty, and is behind what is known here, makes the known
    /// result be sent again: a member that joined late has not received earlier rounds.
    pub fn apply_result(&mut self, now: f64, sender: MemberId, result: &DutyResult) {
        let Some(state) = self.states.get(&result.duty) else { return };
        let received_claim = claim(result.duty, result.done_by, result.weight);
        let known_claim = |last: LastRun| claim(result.duty, last.done_by, last.weight);
        let newer = state.last_run.is_none_or(|last| {
            let claims = received_claim.total_cmp(&known_claim(last)).then(result.done_by.cmp(&last.done_by));
            result.round.cmp(&state.round).then(claims).is_gt()
        });
        if newer && result.done_by != self.own_id {
            let (done_by, weight, good) = (result.done_by, result.weight, result.good);
            let at = now - f64::from(result.age) / 100.0;
            self.store(result.duty, result.round, LastRun { at, done_by, weight, good });
        } else if result.done_by == sender && result.round < state.round {
            if let Some(last) = state.last_run {
                self.store(result.duty, state.round, last);
            }
        }
    }

    /// Results for one datagram, those sent least often first. Each result is sent at most `max_sends` times.
    pub fn results_for_datagram(&mut self, now: f64, max_sends: u8) -> Vec<DutyResult> {
        let picked: Vec<(u8, DutyId)> = self.send_queue.iter().take(MAX_DUTY_RESULTS).copied().collect();
        let mut results = Vec::new();
        for (times_sent, duty) in picked {
            self.send_queue.remove(&(times_sent, duty));
            let Some(state) = self.states.get_mut(&duty) else { continue };
            let Some(last) = state.last_run else { continue };
            state.times_sent = times_sent + 1;
            if state.times_sent < max_sends {
                self.send_queue.insert((state.times_sent, duty));
            }
            let age = ((now - last.at).max(0.0) * 100.0).min(f64::from(MAX_AGE)) as u16;
            let (done_by, weight, good) = (last.done_by, last.weight, last.good);
            results.push(DutyResult { duty, round: state.round, done_by, weight, age, good });
        }
        results
    }

    /// Last known result of a duty: its age in seconds, the member that ran it, whether it was good.
    pub fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        let last = self.states.get(&duty)?.last_run?;
        Some((now - last.at, last.done_by, last.good))
    }

    /// Forgets which duties the driver is running, after a stall of this process.
    pub fn forget_running(&mut self) {
        self.states.values_mut().for_each(|state| state.running_since = None);
    }
}
