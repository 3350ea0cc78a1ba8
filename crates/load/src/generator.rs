//! The generator's decisions and state, free of sockets and clock: when each arrival is sent, what becomes of every
//! operation, what is counted.
//!
//! An arrival has an intended time from its schedule and is sent then, however slow the answers are; latency counts
//! from that time, through waits for a queue, further tries and the generator's own lag. What the generator cannot
//! bring to the wire is counted as such and never left out.

use std::collections::HashMap;

use quaypath::types::Repeat;
use quaypath_initiator::timer_wheel::TimerWheel;
use quaypath_settings::{Deployment, Load};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp1;

use crate::account::{Account, Cell, Counts, Key, Kind, Served};
use crate::benefit::Reckoning;
use crate::schedule::{Arrival, Source};

/// Arrivals held in the wheel ahead of their time: so many, and so far, seconds.
const AHEAD: usize = 8192;
const HORIZON: f64 = 2.0;
/// Ticks of the wheel a second: an arrival is at most this part of a second late for it.
const TICKS: f64 = 65_536.0;
/// How long after its caller's limit an answer that is on its way is still waited for, seconds.
const GRACE: f64 = 1.0;
/// Wait before a further try that no answer advises, seconds.
const BACKOFF: f64 = 0.1;
/// Part of the arrivals that the generator may leave unsent before it was the limit.
const MISSED: f64 = 0.001;

/// Where an operation stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// To be written in this turn.
    Due,
    /// Waits for a queue of its peer.
    Held,
    /// On the wire.
    Sent,
    /// Waits to be tried again.
    Resting,
    Ended,
}

/// One arrival from its first try to its end.
#[derive(Clone, Debug)]
pub struct Operation {
    pub arrival: Arrival,
    pub state: State,
    /// Tries after the first.
    pub tries: u32,
    /// When the present try was meant and written, on the run's clock.
    pub meant: f64,
    pub sent: f64,
    /// The closed loop's client that waits for it.
    client: Option<u32>,
}

impl Operation {
    /// Names the present try on the wire: the operation's number from 1, times 256, plus the try's.
    pub fn mark(&self) -> u64 {
        (self.arrival.number + 1) << 8 | u64::from(self.tries)
    }

    /// What its caller still waits, seconds.
    pub fn budget(&self, now: f64) -> f64 {
        (self.meant + self.arrival.budget - now).max(0.001)
    }
}

/// What decides where an arrival is counted.
#[derive(Clone, Copy)]
struct Class {
    at: f64,
    volume: u32,
    plan: usize,
    band: usize,
}

impl Class {
    fn of(arrival: &Arrival) -> Class {
        Class { at: arrival.at, volume: arrival.volume, plan: arrival.plan, band: arrival.band }
    }
}

/// How a try ended, as read off the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Settled,
    /// Not taken up; come back after so many seconds, if anything was advised.
    Declined(Option<f64>),
    Scrapped,
    /// Called off, as asked.
    Aborted,
}

/// What the sockets are asked to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    Send {
        operation: u64,
    },
    /// Call off what this mark names.
    Leave {
        mark: u64,
        peer: u32,
    },
}

enum Due {
    Arrive(Box<Arrival>),
    Again(u64),
    /// The caller's limit for one try, and then the end of waiting for its answer.
    Limit(u64, u32),
    Over(u64, u32),
    Leave(u64, u32),
    Client(u32),
}

/// How an operation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Settled,
    Declined,
    Scrapped,
    Left,
    Cut,
    Unanswered,
    Unsent,
    Missed,
    Overrun,
    Lost,
}

/// Whether the figures are the gateway's or the generator's own.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The load was brought as it was meant.
    Brought,
    /// The generator was the limit, for this reason.
    Limited(String),
}

struct Rules {
    due: Vec<f64>,
    repeatable: Vec<bool>,
    retries: u32,
    warm_up: f64,
    interval: f64,
    open: usize,
    behind: f64,
    lag: f64,
    /// Volumes of each group.
    groups: Vec<(u32, u32)>,
    longest: f64,
}

/// One generator, from the start of its load at `start` on the run's clock.
pub struct Generator<S> {
    rules: Rules,
    source: S,
    ahead: Option<Box<Arrival>>,
    planned: usize,
    ended: bool,
    /// Why the source ended early.
    pub failed: Option<String>,
    wheel: TimerWheel<Due>,
    start: f64,
    open: HashMap<u64, Operation>,
    think: Option<f64>,
    lasts: f64,
    chance: SmallRng,
    reckoning: Option<(Reckoning, Reckoning)>,
    pub account: Account,
    /// Everything since the start, warm-up included.
    pub sum: Cell,
    /// Since it was last taken, for a live line.
    recent: Cell,
    closed_to: u32,
    rang: Vec<Due>,
}

impl<S: Source> Generator<S> {
    /// `of`: how many generators share the load.
    pub fn new(load: &Load, deployment: &Deployment, source: S, start: f64, of: u32) -> Self {
        let reckoning = load
            .benefit
            .as_ref()
            .map(|figures| (Reckoning::new(figures, deployment), Reckoning::new(figures, deployment)));
        let rules = Rules {
            due: deployment.core.bands.iter().map(|band| band.due).collect(),
            repeatable: deployment.core.bands.iter().map(|band| band.repeat == Repeat::Repeatable).collect(),
            retries: load.retries,
            warm_up: load.warm_up,
            interval: load.interval,
            open: load.bounds.open as usize,
            behind: load.bounds.behind,
            lag: load.bounds.lag,
            groups: load.group.iter().map(|group| (group.first, group.last)).collect(),
            longest: deployment.max_outer_limit(),
        };
        let mut wheel = TimerWheel::with_resolution(start, TICKS);
        let clients = load.closed.as_ref().map_or(0, |closed| closed.clients / of.max(1));
        (0..clients).for_each(|client| wheel.set(start, Due::Client(client)));
        Generator {
            rules,
            source,
            ahead: None,
            planned: 0,
            ended: load.closed.is_some(),
            failed: None,
            wheel,
            start,
            open: HashMap::new(),
            think: load.closed.as_ref().map(|closed| closed.think),
            lasts: load.lasts,
            chance: SmallRng::seed_from_u64(load.seed ^ 0x6e4),
            reckoning,
            account: Account::default(),
            sum: Cell::default(),
            recent: Cell::default(),
            closed_to: 0,
            rang: Vec::new(),
        }
    }

    pub fn operation(&self, number: u64) -> Option<&Operation> {
        self.open.get(&number)
    }

    /// Operations that wait for something, and arrivals held ahead of their time.
    pub fn held(&self) -> (usize, usize) {
        (self.open.len(), self.planned)
    }

    /// All that was planned has come and ended.
    pub fn done(&self, now: f64) -> bool {
        let asked = self.think.is_none() || now >= self.start + self.lasts;
        self.ended && self.ahead.is_none() && self.planned == 0 && self.open.is_empty() && asked
    }

    /// When the next turn is wanted at the latest.
    pub fn next_at(&self) -> f64 {
        let fill = self.ahead.as_ref().map_or(f64::INFINITY, |next| self.start + next.at - HORIZON);
        let fill = if self.planned >= AHEAD { f64::INFINITY } else { fill };
        self.wheel.next_expiry().unwrap_or(f64::INFINITY).min(fill)
    }

    /// Takes arrivals into the wheel, as far ahead as its bounds allow.
    fn fill(&mut self, now: f64) {
        while self.planned < AHEAD {
            if self.ahead.is_none() && !self.ended {
                match self.source.next() {
                    Ok(next) => self.ahead = next.map(Box::new),
                    Err(why) => self.failed = Some(why),
                }
                self.ended = self.ahead.is_none();
            }
            let Some(next) = self.ahead.take() else { return };
            if self.start + next.at > now + HORIZON {
                self.ahead = Some(next);
                return;
            }
            self.planned += 1;
            self.wheel.set(self.start + next.at, Due::Arrive(next));
        }
    }

    /// Does what is due by `now`.
    pub fn turn(&mut self, now: f64, asks: &mut Vec<Do>) {
        loop {
            self.fill(now);
            let mut rang = std::mem::take(&mut self.rang);
            self.wheel.advance(now, &mut rang);
            let any = !rang.is_empty();
            for due in rang.drain(..) {
                self.due(now, due, asks);
            }
            self.rang = rang;
            // Behind its time the wheel held only what AHEAD allows: there may be more that is due by now.
            if !any || self.ahead.as_ref().is_none_or(|next| self.start + next.at > now) {
                break;
            }
        }
        // Intervals that no operation can end in any more are packed.
        let past = (now - self.start - 2.0 * self.rules.longest - 5.0) / self.rules.interval;
        if past >= f64::from(self.closed_to + 1) {
            self.closed_to = past as u32;
            self.account.close(self.closed_to);
            if let Some((earned, due)) = &mut self.reckoning {
                let before = f64::from(self.closed_to) * self.rules.interval;
                earned.close(before);
                due.close(before);
            }
        }
    }

    fn due(&mut self, now: f64, due: Due, asks: &mut Vec<Do>) {
        match due {
            Due::Arrive(arrival) => {
                self.planned -= 1;
                let meant = self.start + arrival.at;
                self.arrive(now, meant, *arrival, None, asks);
            }
            Due::Client(client) if now < self.start + self.lasts => {
                if let Some(arrival) = self.source.drawn(now - self.start) {
                    self.arrive(now, now, arrival, Some(client), asks);
                }
            }
            Due::Client(_) => {}
            Due::Again(number) => {
                if let Some(operation) = self.open.get_mut(&number) {
                    operation.tries += 1;
                    let (class, lag) = (Class::of(&operation.arrival), now - operation.meant);
                    self.count(class, |cell| cell.lag(lag));
                    self.send(number, asks);
                }
            }
            Due::Limit(number, tries) => match self.present(number, tries).map(|operation| operation.state) {
                Some(State::Sent) => self.wheel.set(now + GRACE, Due::Over(number, tries)),
                Some(_) => self.end(now, number, End::Unsent),
                None => {}
            },
            Due::Over(number, tries) => {
                if let Some(operation) = self.present(number, tries) {
                    asks.push(Do::Leave { mark: operation.mark(), peer: operation.arrival.peer });
                    self.end(now, number, End::Unanswered);
                }
            }
            Due::Leave(number, tries) => {
                if let Some(operation) = self.present(number, tries) {
                    if operation.state == State::Sent {
                        asks.push(Do::Leave { mark: operation.mark(), peer: operation.arrival.peer });
                    }
                    self.end(now, number, End::Left);
                }
            }
        }
    }

    /// The operation if this try of it is the present one and out or to go out.
    fn present(&self, number: u64, tries: u32) -> Option<&Operation> {
        let operation = self.open.get(&number)?;
        (operation.tries == tries && operation.state != State::Resting).then_some(operation)
    }

    /// Every change of an operation's state.
    fn shift(operation: &mut Operation, to: State) {
        use State::*;
        debug_assert!(
            matches!(
                (operation.state, to),
                (Due, Held | Sent | Resting | Ended)
                    | (Held, Sent | Resting | Ended)
                    | (Sent, Resting | Ended)
                    | (Resting, Due | Ended)
            ),
            "{:?} to {to:?}",
            operation.state
        );
        operation.state = to;
    }

    fn arrive(&mut self, now: f64, meant: f64, arrival: Arrival, client: Option<u32>, asks: &mut Vec<Do>) {
        let (number, volume, units) = (arrival.number, arrival.volume, arrival.units);
        let at = arrival.at;
        let due =
            self.reckoning.as_mut().map_or(0.0, |(_, due)| due.earns(at, volume, arrival.band, units, true));
        self.count(Class::of(&arrival), |cell| {
            cell.counts.offered += 1;
            cell.counts.units += u64::from(units);
            cell.counts.benefit_due += due;
            cell.lag(now - meant);
        });
        if at >= self.rules.warm_up {
            let served = Served { offered: 1, units: u64::from(units), ..Served::default() };
            self.account.serve(volume, &served);
        }
        let operation = Operation { arrival, state: State::Due, tries: 0, meant, sent: 0.0, client };
        let full = self.open.len() >= self.rules.open;
        self.open.insert(number, operation);
        if client.is_none() && now - meant > self.rules.behind {
            // Sent this late it would no more be the load that was meant.
            return self.end(now, number, End::Missed);
        }
        if full {
            return self.end(now, number, End::Overrun);
        }
        self.send(number, asks);
    }

    fn send(&mut self, number: u64, asks: &mut Vec<Do>) {
        let Some(operation) = self.open.get_mut(&number) else { return };
        if operation.state == State::Resting {
            Self::shift(operation, State::Due);
        }
        let (meant, tries) = (operation.meant, operation.tries);
        self.wheel.set(meant + operation.arrival.budget, Due::Limit(number, tries));
        if let Some(leaves) = operation.arrival.leaves {
            self.wheel.set(meant + leaves, Due::Leave(number, tries));
        }
        asks.push(Do::Send { operation: number });
    }

    /// The try is written.
    pub fn sent(&mut self, now: f64, number: u64) {
        let Some(operation) = self.open.get_mut(&number) else { return };
        Self::shift(operation, State::Sent);
        operation.sent = now;
        let class = Class::of(&operation.arrival);
        self.count(class, |cell| cell.counts.tries += 1);
    }

    /// No queue of its peer has room; it waits for one.
    pub fn held_up(&mut self, number: u64) {
        if let Some(operation) = self.open.get_mut(&number).filter(|operation| operation.state == State::Due)
        {
            Self::shift(operation, State::Held);
        }
    }

    /// The answer to the try that this mark names.
    pub fn answered(&mut self, now: f64, mark: u64, answer: Answer) {
        let (number, tries) = ((mark >> 8).wrapping_sub(1), (mark & 0xff) as u32);
        let present = self.present(number, tries).filter(|operation| operation.state == State::Sent);
        let Some(operation) = present else {
            let stale = u64::from(answer != Answer::Aborted);
            self.sum.counts.stale += stale;
            self.account.cell(Key::new(Kind::All, 0)).counts.stale += stale;
            return;
        };
        let band = operation.arrival.band;
        match answer {
            Answer::Settled => self.end(now, number, End::Settled),
            Answer::Declined(after) => self.again(now, number, after, End::Declined),
            Answer::Scrapped if self.rules.repeatable[band] => self.again(now, number, None, End::Scrapped),
            Answer::Scrapped | Answer::Aborted => self.end(now, number, End::Scrapped),
        }
    }

    /// The connection ended with this try out.
    pub fn cut(&mut self, now: f64, mark: u64) {
        let (number, tries) = ((mark >> 8).wrapping_sub(1), (mark & 0xff) as u32);
        let Some(operation) = self.present(number, tries) else { return };
        if self.rules.repeatable[operation.arrival.band] {
            self.again(now, number, None, End::Cut);
        } else {
            self.end(now, number, End::Cut);
        }
    }

    /// Tries again as the caller's habit and the advice have it, or ends.
    fn again(&mut self, now: f64, number: u64, advised: Option<f64>, end: End) {
        let Some(operation) = self.open.get_mut(&number) else { return };
        let own = operation.arrival.retries;
        let most = own.map_or(self.rules.retries, |(retries, _)| retries).min(255);
        if operation.tries >= most {
            return self.end(now, number, end);
        }
        let wait = own.map_or(advised.unwrap_or(BACKOFF), |(_, wait)| wait);
        operation.meant = now + wait * self.chance.random_range(0.8..1.2);
        Self::shift(operation, State::Resting);
        let at = operation.meant;
        self.wheel.set(at, Due::Again(number));
    }

    fn end(&mut self, now: f64, number: u64, end: End) {
        let Some(mut operation) = self.open.remove(&number) else { return };
        Self::shift(&mut operation, State::Ended);
        let Operation { arrival, sent, client, .. } = operation;
        let meant = self.start + arrival.at;
        let (took, wire) = (now - meant, now - sent);
        let in_time = end == End::Settled && took <= self.rules.due[arrival.band];
        let (at, volume, band, units) = (arrival.at, arrival.volume, arrival.band, arrival.units);
        let mut benefit = 0.0;
        if end == End::Settled {
            let earned =
                self.reckoning.as_mut().map(|(earned, _)| earned.earns(at, volume, band, units, in_time));
            benefit = earned.unwrap_or(0.0);
        }
        let units = if in_time { u64::from(units) } else { 0 };
        self.count(Class::of(&arrival), |cell| {
            let counts = &mut cell.counts;
            match end {
                End::Settled if in_time => counts.in_time += 1,
                End::Settled => counts.late += 1,
                End::Declined => counts.declined += 1,
                End::Scrapped => counts.scrapped += 1,
                End::Left => counts.left += 1,
                End::Cut => counts.cut += 1,
                End::Unanswered => counts.unanswered += 1,
                End::Unsent => counts.unsent += 1,
                End::Missed => counts.missed += 1,
                End::Overrun => counts.overrun += 1,
                End::Lost => counts.lost += 1,
            }
            counts.units_in_time += units;
            counts.benefit += benefit;
            if end == End::Settled {
                cell.settled(took, wire);
            }
        });
        if at >= self.rules.warm_up {
            self.account.serve(volume, &Served { units_in_time: units, benefit, ..Served::default() });
        }
        if let (Some(client), Some(think)) = (client, self.think) {
            let wait = think * self.chance.sample::<f64, _>(Exp1);
            self.wheel.set(now + wait, Due::Client(client));
        }
    }

    /// Into every class that an arrival is of.
    fn count(&mut self, arrival: Class, mut put: impl FnMut(&mut Cell)) {
        let interval = (arrival.at / self.rules.interval) as u32;
        put(&mut self.sum);
        put(&mut self.recent);
        put(self.account.cell(Key { kind: Kind::Interval, name: 0, interval }));
        put(self.account.cell(Key { kind: Kind::Span, name: arrival.band as u32, interval }));
        if arrival.at < self.rules.warm_up {
            return;
        }
        put(self.account.cell(Key::new(Kind::All, 0)));
        put(self.account.cell(Key::new(Kind::Band, arrival.band)));
        put(self.account.cell(Key::new(Kind::Plan, arrival.plan)));
        for (nth, (first, last)) in self.rules.groups.iter().enumerate() {
            if (*first..=*last).contains(&arrival.volume) {
                put(self.account.cell(Key::new(Kind::Group, nth)));
            }
        }
    }

    /// Ends the run: what is open is lost, what was not due yet was never offered.
    pub fn finish(&mut self, now: f64) {
        let mut open: Vec<u64> = self.open.keys().copied().collect();
        open.sort_unstable();
        for number in open {
            self.end(now, number, End::Lost);
        }
        self.ended = true;
        self.ahead = None;
        self.planned = 0;
    }

    /// What was counted since the last call.
    pub fn take_recent(&mut self) -> Cell {
        std::mem::take(&mut self.recent)
    }

    pub fn start(&self) -> f64 {
        self.start
    }

    pub fn source(&self) -> &S {
        &self.source
    }

    pub fn verdict(&self) -> Verdict {
        verdict(&self.sum.counts, &self.sum.lag, self.rules.lag)
    }
}

/// Judges whether the generator brought its load, by what it missed and by its lag.
pub fn verdict(counts: &Counts, lag: &hdrhistogram::Histogram<u64>, most: f64) -> Verdict {
    let missed = counts.not_sent_by_us();
    if missed as f64 > MISSED * counts.offered as f64 {
        let (late, full) = (counts.missed, counts.overrun);
        return Verdict::Limited(format!(
            "{missed} of {} arrivals were not sent: {late} came due too late, {full} were over the bound on open ones",
            counts.offered
        ));
    }
    let worst = lag.value_at_quantile(0.99) as f64 / 1e6;
    if worst > most {
        return Verdict::Limited(format!("its lag is {worst:.4} s at p99, {most} s allowed"));
    }
    Verdict::Brought
}
