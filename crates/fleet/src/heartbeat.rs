//! Baseline for comparisons: each member sends heartbeats to all others, records a member as dead after three missed
//! heartbeats, and runs all duties itself. It deliberately gives none of the fleet's guarantees.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::message::{MemberUpdate, Message, MessageKind, MAX_PAGE_UPDATES, NOBODY};
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

/// Check periods without a heartbeat after which a member is recorded as dead.
const DEAD_AFTER_PERIODS: f64 = 3.5;

/// A member that runs the baseline.
pub struct HeartbeatBaseline {
    config: FleetConfig,
    last_received: BTreeMap<MemberId, f64>,
    dead: BTreeMap<MemberId, bool>,
    /// When each duty was run last, and whether its result was good.
    duties: BTreeMap<DutyId, Option<(f64, bool)>>,
    next_tick_at: f64,
    sequence: u32,
    /// Index of the first member of the next page.
    page_from: usize,
    counts: Counts,
}

impl HeartbeatBaseline {
    /// Starts a member at `now`.
    pub fn start(now: f64, config: FleetConfig) -> HeartbeatBaseline {
        HeartbeatBaseline {
            config,
            last_received: BTreeMap::new(),
            dead: BTreeMap::new(),
            duties: BTreeMap::new(),
            next_tick_at: now,
            sequence: 0,
            page_from: 0,
            counts: Counts::default(),
        }
    }

    /// A page of the recorded statuses, so that a test that reads the links can judge them like those of other cores.
    fn next_page(&mut self) -> Vec<MemberUpdate> {
        let me = self.config.own_id;
        let known: Vec<MemberUpdate> = self
            .dead
            .iter()
            .map(|(member, dead)| {
                let status = if *dead { Status::Dead } else { Status::Alive };
                MemberUpdate { member: *member, incarnation: 1, refutation: 0, status, suspected_by: me }
            })
            .collect();
        let from = if self.page_from < known.len() { self.page_from } else { 0 };
        self.page_from = from + MAX_PAGE_UPDATES;
        known.into_iter().skip(from).take(MAX_PAGE_UPDATES).collect()
    }
}

impl FleetCore for HeartbeatBaseline {
    fn datagram_received(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>) {
        let Ok(message) = Message::decode(self.config.fleet, bytes) else {
            self.counts.malformed += 1;
            return;
        };
        self.counts.received += 1;
        self.last_received.insert(message.sender, now);
        if self.dead.insert(message.sender, false) != Some(false) {
            out.push(Action::MemberStatusChanged(message.sender, Status::Alive));
        }
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        if now < self.next_tick_at {
            return;
        }
        self.next_tick_at = now + self.config.check_period;
        for (member, at) in &self.last_received {
            if now - at > DEAD_AFTER_PERIODS * self.config.check_period
                && self.dead.insert(*member, true) == Some(false)
            {
                self.counts.died += 1;
                out.push(Action::MemberStatusChanged(*member, Status::Dead));
            }
        }
        let updates = self.next_page();
        let me = self.config.own_id;
        let members: Vec<MemberId> = self.config.members.iter().map(|entry| entry.member).collect();
        for (nth, to) in members.into_iter().filter(|member| *member != me).enumerate() {
            self.sequence = self.sequence.wrapping_add(1);
            let (kind, updates) = if nth == 0 {
                (MessageKind::StatePage, updates.clone())
            } else {
                (MessageKind::Ping, Vec::new())
            };
            let message = Message {
                kind,
                sender: me,
                incarnation: 1,
                refutation: 0,
                sequence: self.sequence,
                check_id: 0,
                member: NOBODY,
                wants_reply: false,
                updates,
                duty_results: Vec::new(),
                signal: Vec::new(),
            };
            let bytes = message.encode(self.config.fleet);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.push(Action::SendDatagram(to, bytes));
        }
        let interval = self.config.duty_interval;
        let due = self.duties.iter().filter(|(_, last)| last.is_none_or(|(at, _)| now - at >= interval));
        let due: Vec<DutyId> = due.map(|(duty, _)| *duty).collect();
        for duty in due {
            self.duties.insert(duty, Some((now, true)));
            self.counts.duties_run += 1;
            out.push(Action::RunDuty(duty));
        }
    }

    fn next_tick_at(&self) -> f64 {
        self.next_tick_at
    }

    fn set_duties(&mut self, _now: f64, all: &[DutyId]) {
        self.duties = all.iter().map(|duty| (*duty, self.duties.get(duty).copied().flatten())).collect();
    }

    fn duty_done(&mut self, now: f64, duty: DutyId, good: bool) {
        self.duties.entry(duty).and_modify(|last| *last = Some((now, good)));
    }

    fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        let (at, good) = self.duties.get(&duty).copied().flatten()?;
        Some((now - at, self.config.own_id, good))
    }

    fn leave(&mut self, _now: f64, _out: &mut Vec<Action>) {}

    fn standing(&self) -> Standing {
        Standing::Together
    }

    fn live_members(&self) -> Vec<MemberId> {
        let live = self.dead.iter().filter(|(_, dead)| !**dead).map(|(member, _)| *member);
        live.chain([self.config.own_id]).collect()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}
