//! The baseline to be measured against: heartbeats of each to all, dead after three that were missed, and everyone
//! does every duty. Keeps no promise of the fleet on purpose.

use std::collections::BTreeMap;

use crate::figures::Figures;
use crate::message::{Kind, Message, News, MOST_PAGE, NOBODY};
use crate::{Act, Core, Counts, DutyId, MemberId, Standing, Status};

const MISSED: f64 = 3.5;

pub struct Plain {
    figures: Figures,
    heard_at: BTreeMap<MemberId, f64>,
    dead: BTreeMap<MemberId, bool>,
    duties: BTreeMap<DutyId, Option<(f64, bool)>>,
    next_at: f64,
    number: u32,
    page_from: usize,
    counts: Counts,
}

impl Plain {
    pub fn start(now: f64, figures: Figures) -> Plain {
        Plain {
            figures,
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
    fn page(&mut self) -> Vec<News> {
        let me = self.figures.me;
        let known: Vec<News> = self
            .dead
            .iter()
            .map(|(member, dead)| {
                let status = if *dead { Status::Dead } else { Status::Alive };
                News { member: *member, life: 1, incarnation: 0, status, by: me }
            })
            .collect();
        let from = if self.page_from < known.len() { self.page_from } else { 0 };
        self.page_from = from + MOST_PAGE;
        known.into_iter().skip(from).take(MOST_PAGE).collect()
    }
}

impl Core for Plain {
    fn heard(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Act>) {
        let Ok(message) = Message::decode(self.figures.fleet, bytes) else {
            self.counts.bad += 1;
            return;
        };
        self.counts.heard += 1;
        self.heard_at.insert(message.from, now);
        if self.dead.insert(message.from, false) != Some(false) {
            out.push(Act::Holds(message.from, Status::Alive));
        }
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Act>) {
        if now < self.next_at {
            return;
        }
        self.next_at = now + self.figures.period;
        for (member, at) in &self.heard_at {
            if now - at > MISSED * self.figures.period && self.dead.insert(*member, true) == Some(false) {
                self.counts.died += 1;
                out.push(Act::Holds(*member, Status::Dead));
            }
        }
        let news = self.page();
        let me = self.figures.me;
        let others: Vec<MemberId> = self.figures.members.iter().map(|row| row.member).collect();
        for (nth, to) in others.into_iter().filter(|member| *member != me).enumerate() {
            self.number = self.number.wrapping_add(1);
            let (kind, news) = if nth == 0 { (Kind::Page, news.clone()) } else { (Kind::Ping, Vec::new()) };
            let message = Message {
                kind,
                from: me,
                life: 1,
                incarnation: 0,
                number: self.number,
                check: 0,
                member: NOBODY,
                flag: false,
                news,
                findings: Vec::new(),
                signal: Vec::new(),
            };
            let bytes = message.encode(self.figures.fleet);
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            out.push(Act::Send(to, bytes));
        }
        let every = self.figures.every;
        let due = self.duties.iter().filter(|(_, last)| last.is_none_or(|(at, _)| now - at >= every));
        let due: Vec<DutyId> = due.map(|(duty, _)| *duty).collect();
        for duty in due {
            self.duties.insert(duty, Some((now, true)));
            self.counts.done += 1;
            out.push(Act::Do(duty));
        }
    }

    fn next_at(&self) -> f64 {
        self.next_at
    }

    fn duties(&mut self, _now: f64, all: &[DutyId]) {
        self.duties = all.iter().map(|duty| (*duty, self.duties.get(duty).copied().flatten())).collect();
    }

    fn found(&mut self, now: f64, duty: DutyId, good: bool) {
        self.duties.entry(duty).and_modify(|last| *last = Some((now, good)));
    }

    fn finding(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        let (at, good) = self.duties.get(&duty).copied().flatten()?;
        Some((now - at, self.figures.me, good))
    }

    fn leave(&mut self, _now: f64, _out: &mut Vec<Act>) {}

    fn standing(&self) -> Standing {
        Standing::Together
    }

    fn live(&self) -> Vec<MemberId> {
        let live = self.dead.iter().filter(|(_, dead)| !**dead).map(|(member, _)| *member);
        live.chain([self.figures.me]).collect()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}
