//! Shared periodic duties: each is done by one member, taken over when that one dies, given back when it returns.
//!
//! Whose a duty is follows from the live members alone, by weighted rendezvous hashing: a member that comes or goes
//! moves its own share only. What was done is told to all as findings. A finding of a member with the better claim
//! holds a lesser one off, also where the lists of the two differ: claims that are acted upon decide, not lists. Where
//! the one with the best claim does nothing, for want of a list of nodes it may be, the next one does after a while.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{DutyResult, MAX_AGE, MAX_DUTY_RESULTS};
use crate::{DutyId, MemberId};

/// Most duties of a fleet; more are not taken.
pub const MOST_DUTIES: usize = 4096;
/// A finding holds lesser claims off for so many periods.
const HOLDS: f64 = 2.2;
/// Members in the order of their claims that step in for one another, and after how many periods without a finding
/// each next one does.
const IN_LINE: usize = 4;
const STEPS_IN: f64 = 3.0;
/// A duty that was given to the driver and never came back is given again after so many periods.
const LOST: f64 = 2.0;

/// A claim of a member on a duty; the highest has it.
pub fn claim(duty: DutyId, member: MemberId, weight: u8) -> f64 {
    let mut bytes = [0; 6];
    bytes[..4].copy_from_slice(&duty.0.to_le_bytes());
    bytes[4..].copy_from_slice(&member.0.to_le_bytes());
    // In (0, 1): never its logarithm of 0.
    let draw = ((xxh3_64(&bytes) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(weight) / draw.ln()
}

/// The members with the best claims, best first, so many at most.
pub fn foremost<C: PartialOrd>(claims: impl Iterator<Item = (C, MemberId)>, count: usize) -> Vec<MemberId> {
    let mut line: Vec<(C, MemberId)> = Vec::with_capacity(count + 1);
    for (claim, member) in claims {
        let at = line.partition_point(|(better, _)| *better >= claim);
        if at < count {
            line.insert(at, (claim, member));
            line.truncate(count);
        }
    }
    line.into_iter().map(|(_, member)| member).collect()
}

#[derive(Clone, Copy, Debug)]
struct Last {
    at: f64,
    by: MemberId,
    weight: u8,
    good: bool,
}

#[derive(Clone, Debug, Default)]
struct Known {
    round: u32,
    last: Option<Last>,
    /// Live members with the best claims, best first: whose it is, and who steps in.
    line: Vec<MemberId>,
    told: u8,
    /// Given to the driver, and not back.
    given: Option<f64>,
}

pub struct Duties {
    me: MemberId,
    weight: u8,
    every: f64,
    yields: bool,
    known: BTreeMap<DutyId, Known>,
    queue: BTreeSet<(u8, DutyId)>,
    /// Live members when owners were worked out last.
    shared_by: Option<u64>,
    next_at: f64,
    started: f64,
    pub yielded: u64,
}

impl Duties {
    pub fn new(now: f64, me: MemberId, weight: u8, every: f64, yields: bool) -> Duties {
        Duties {
            me,
            weight,
            every,
            yields,
            known: BTreeMap::new(),
            queue: BTreeSet::new(),
            shared_by: None,
            next_at: now,
            started: now,
            yielded: 0,
        }
    }

    /// The duties that there are from now on; what is known of those that stay is kept.
    pub fn set(&mut self, now: f64, all: &[DutyId]) {
        let all: BTreeSet<DutyId> = all.iter().take(MOST_DUTIES).copied().collect();
        self.known.retain(|duty, _| all.contains(duty));
        self.queue.retain(|(_, duty)| all.contains(duty));
        for duty in all {
            self.known.entry(duty).or_default();
        }
        (self.shared_by, self.next_at) = (None, now);
    }

    /// When [`Duties::due`] has something to do, by what is known now.
    pub fn next_at(&self) -> f64 {
        self.next_at
    }

    fn share(&mut self, version: u64, live: &[(MemberId, u8)]) {
        if self.shared_by.replace(version) == Some(version) {
            return;
        }
        for (duty, known) in &mut self.known {
            let claims = live.iter().map(|(member, weight)| (claim(*duty, *member, *weight), *member));
            known.line = foremost(claims, IN_LINE);
        }
    }

    /// What this member has to do now: by the live members, whose `version` changes with them, and not before
    /// `from`, until when it looks on.
    pub fn due(&mut self, now: f64, version: u64, live: &[(MemberId, u8)], from: f64) -> Vec<DutyId> {
        self.share(version, live);
        let (me, weight, every) = (self.me, self.weight, self.every);
        let mut due = Vec::new();
        self.next_at = f64::INFINITY;
        for (duty, known) in &mut self.known {
            let Some(place) = known.line.iter().position(|member| *member == me) else { continue };
            // First rounds are spread over a period; later ones keep the step of whoever did the last. Who steps in does
            // so more seldom: at the same pace the one with the better claim, back again, would do it in step with it.
            let late = every * STEPS_IN * place as f64;
            let first = || self.started + every * f64::from(duty.0 & 0xff) / 256.0 + late;
            let next = |last: Last| last.at + every + late;
            let mut at = known.last.map_or_else(first, next).max(from);
            if let Some(given) = known.given {
                at = at.max(given + LOST * every);
            }
            let better = known.last.filter(|last| {
                last.by != me && claim(*duty, last.by, last.weight) > claim(*duty, me, weight)
            });
            if let Some(last) = better.filter(|_| self.yields) {
                if now >= at && now < last.at + HOLDS * every {
                    self.yielded += 1;
                }
                at = at.max(last.at + HOLDS * every);
            }
            if now >= at {
                known.given = Some(now);
                due.push(*duty);
                at = now + every;
            }
            self.next_at = self.next_at.min(at);
        }
        due
    }

    /// Looks again at the next chance: members or what is known of a duty changed.
    pub fn look(&mut self, now: f64) {
        self.next_at = self.next_at.min(now);
    }

    fn keep(&mut self, duty: DutyId, round: u32, last: Last) {
        let Some(known) = self.known.get_mut(&duty) else { return };
        self.queue.remove(&(known.told, duty));
        (known.round, known.last, known.told) = (round, Some(last), 0);
        self.queue.insert((0, duty));
    }

    /// This member did it.
    pub fn found(&mut self, now: f64, duty: DutyId, good: bool) {
        let Some(known) = self.known.get_mut(&duty) else { return };
        known.given = None;
        let round = known.round.saturating_add(1);
        self.keep(duty, round, Last { at: now, by: self.me, weight: self.weight, good });
    }

    /// Another's finding, as told. Of two the later round holds, then the better claim, in whatever order they come: two
    /// that do a duty in step both learn whose it is.
    /// One that comes `from` the member that did it, and is behind what is known here, makes it be told again: a member
    /// that joins late has heard of no rounds before.
    pub fn told(&mut self, now: f64, from: MemberId, finding: &DutyResult) {
        let Some(known) = self.known.get(&finding.duty) else { return };
        let theirs = claim(finding.duty, finding.by, finding.weight);
        let ours = |last: Last| claim(finding.duty, last.by, last.weight);
        let newer = known.last.is_none_or(|last| {
            let claims = theirs.total_cmp(&ours(last)).then(finding.by.cmp(&last.by));
            finding.round.cmp(&known.round).then(claims).is_gt()
        });
        if newer && finding.by != self.me {
            let (by, weight, good) = (finding.by, finding.weight, finding.good);
            let at = now - f64::from(finding.age) / 100.0;
            self.keep(finding.duty, finding.round, Last { at, by, weight, good });
        } else if finding.by == from && finding.round < known.round {
            if let Some(last) = known.last {
                self.keep(finding.duty, known.round, last);
            }
        }
    }

    /// Findings for one datagram, those told least first.
    pub fn tell(&mut self, now: f64, most_times: u8) -> Vec<DutyResult> {
        let picked: Vec<(u8, DutyId)> = self.queue.iter().take(MAX_DUTY_RESULTS).copied().collect();
        let mut findings = Vec::new();
        for (told, duty) in picked {
            self.queue.remove(&(told, duty));
            let Some(known) = self.known.get_mut(&duty) else { continue };
            let Some(last) = known.last else { continue };
            known.told = told + 1;
            if known.told < most_times {
                self.queue.insert((known.told, duty));
            }
            let age = ((now - last.at).max(0.0) * 100.0).min(f64::from(MAX_AGE)) as u16;
            let (by, weight, good) = (last.by, last.weight, last.good);
            findings.push(DutyResult { duty, round: known.round, by, weight, age, good });
        }
        findings
    }

    /// Seconds since it was done last, by whom, and whether it was good.
    pub fn last(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        let last = self.known.get(&duty)?.last?;
        Some((now - last.at, last.by, last.good))
    }

    /// Puts off by a stop of this process: nothing that was given before it counts as out.
    pub fn put_off(&mut self) {
        self.known.values_mut().for_each(|known| known.given = None);
    }
}
