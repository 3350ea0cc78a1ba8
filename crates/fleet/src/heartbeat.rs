//! The baseline to be measured against: heartbeats of each to all, dead after three that were missed, and everyone
//! does every duty. Keeps no promise of the fleet on purpose.

use std::collections::BTreeMap;

use crate::config::FleetConfig;
use crate::message::{MemberUpdate, Message, MessageKind, MAX_PAGE_UPDATES, NOBODY};
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

const MISSED: f64 = 3.5;

pub struct HeartbeatBaseline {
    config: FleetConfig,
    heard_at: BTreeMap<MemberId, f64>,
    dead: BTreeMap<MemberId, bool>,
    duties: BTreeMap<DutyId, Option<(f64, bool)>>,
    next_at: f64,
    number: u32,
    page_from: usize,
    counts: Counts,
}

impl HeartbeatBaseline {
    pub fn start(now: f64, config: FleetConfig) -> HeartbeatBaseline {
        HeartbeatBaseline {
            config,
            heard_at: BTreeMap::new(),
            dead: BTreeMap::new(),
            duties: BTreeMap::new(),
            next_at: now,
            number: 0,
            page_from: 0,
            counts: Counts::default(),
        }
    }

    /// What it holds of a part of the members, so that what it holds can be judged from the links as the others'.
    fn page(&mut self) -> Vec<MemberUpdate> {
        let me = self.config.own_id;
        let known: Vec<MemberUpdate> = self
            .dead
            .iter()
            .map(|(member, dead)| {
                let status = if *dead { Status::Dead } else { Status::Alive };
                MemberUpdate { member: *member, incarnation: 1, refutation: 0, status, by: me }
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
            self.counts.bad += 1;
            return;
        };
        self.counts.heard += 1;
        self.heard_at.insert(message.from, now);
        if self.dead.insert(message.from, false) != Some(false) {
            out.push(Action::MemberStatusChanged(message.from, Status::Alive));
        }
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + self.config.check_period;
        for (member, at) in &self.heard_at {
            if now - at > MISSED * self.config.check_period && self.dead.insert(*member, true) == Some(false)
            {
                self.counts.died += 1;
                out.push(Action::MemberStatusChanged(*member, Status::Dead));
            }
        }
        let updates = self.page();
        let me = self.config.own_id;
        let others: Vec<MemberId> = self.config.members.iter().map(|row| row.member).collect();
        for (nth, to) in others.into_iter().filter(|member| *member != me).enumerate() {
            self.number = self.number.wrapping_add(1);
            let (kind, updates) = if nth == 0 {
                (MessageKind::StatePage, updates.clone())
            } else {
                (MessageKind::Ping, Vec::new())
            };
            let message = Message {
                kind,
                from: me,
                incarnation: 1,
                refutation: 0,
                number: self.number,
                check: 0,
                member: NOBODY,
                flag: false,
                updates,
                duty_results: Vec::new(),
                signal: Vec::new(),
            };
            let bytes = message.encode(self.config.fleet);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.push(Action::SendDatagram(to, bytes));
        }
        let every = self.config.duty_interval;
        let due = self.duties.iter().filter(|(_, last)| last.is_none_or(|(at, _)| now - at >= every));
        let due: Vec<DutyId> = due.map(|(duty, _)| *duty).collect();
        for duty in due {
            self.duties.insert(duty, Some((now, true)));
            self.counts.done += 1;
            out.push(Action::RunDuty(duty));
        }
    }

    fn next_tick_at(&self) -> f64 {
        self.next_at
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
