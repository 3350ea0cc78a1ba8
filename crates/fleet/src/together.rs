//! One member: checks of others in turn, suspicion before death, refutation, news on every datagram, pages of the
//! whole state now and then, and the duties that follow from it.
//!
//! A period has one check. Without an answer within the wait, some others are asked to check; without theirs either,
//! the member is suspected, and held dead only when a time that shrinks with each further suspector has passed and it
//! has not refuted. A process that had no turn judges nobody by what it missed, checks more slowly for a while, and
//! looks on before it does duties.

use nanorand::{Rng, WyRand};

use crate::duty::Duties;
use crate::figures::{Figures, Row, Safeguard, MOST_MEMBERS};
use crate::message::{Kind, Message, News, Wrong, MOST_PAGE, NOBODY};
use crate::roll::{Changed, Roll};
use crate::{Act, Core, Counts, DutyId, MemberId, Standing, Status};

/// How much slower checks get while this process itself seems slow, at most.
const SLOWEST: u32 = 3;
/// Periods without a datagram after which a process calls itself alone.
const ALONE_AFTER: f64 = 6.0;
/// Periods between two pages of the whole state.
const PAGE_EVERY: f64 = 2.0;
/// Least time of a suspicion, periods times the decimal logarithm of the fleet; the most is so many times that.
const SUSPICION: f64 = 3.0;
const SUSPICION_MOST: f64 = 3.0;
/// Others that an order to check waits for at a time; more are not taken.
const MOST_ORDERS: usize = 64;
/// Lives that may begin in one millisecond of the wall clock, told apart by chance.
const LIVES: u64 = 1 << 16;
/// Answers to others in one period, at most: a process that comes back to a full socket answers no flood.
const MOST_ANSWERS: usize = 24;
/// Times that a process rises above another life of its name: one that started within so many windows, and an older.
const YOUNG_RISES: u32 = 3;
const OLD_RISES: u32 = 1;
const YOUNG: f64 = 5.0;
/// Members asked at once by one that hears nobody.
const KNOCKS: usize = 3;

/// A check that is out.
struct Check {
    target: MemberId,
    number: u32,
    began: f64,
    /// Others that were asked, and how many said that they have no answer either.
    helpers: usize,
    nacks: usize,
    answered: bool,
}

/// Another's check that this one helps with.
struct Order {
    number: u32,
    origin: MemberId,
    target: MemberId,
    nack_at: f64,
}

/// A member of the fleet.
pub struct Together {
    figures: Figures,
    life: u64,
    incarnation: u32,
    /// Times that it may still rise above another life of its name: what it hears of may be a leftover of its own
    /// last process, from before the wall clock went back, or another process that runs. Of two that run, each rises
    /// above the other until the first has no more left, so that one of them stays, the younger one mostly.
    rises: u32,
    started: f64,
    standing: Standing,
    roll: Roll,
    duties: Duties,
    chance: WyRand,
    /// 0: well; each step makes checks slower by one more period.
    slow: u32,
    turns: Vec<MemberId>,
    check: Option<Check>,
    orders: Vec<Order>,
    check_at: f64,
    page_at: f64,
    /// Pages asked for in a row after joining.
    catch_up: usize,
    dead_turn: MemberId,
    heard_at: f64,
    look_until: f64,
    number: u32,
    /// Answers since this time.
    answers: (f64, usize),
    counts: Counts,
    now: f64,
    out: Vec<Act>,
}

impl Together {
    /// A member that starts at `now`, alone. `since_epoch`: the wall clock, seconds; with chance it makes a life above
    /// all earlier ones of this name, and where that clock went back, what others say of the name does.
    pub fn start(now: f64, since_epoch: f64, seed: u64, figures: Figures) -> Together {
        let mut chance = WyRand::new_seed(seed);
        let members: Vec<MemberId> =
            figures.members.iter().map(|row| row.member).take(MOST_MEMBERS).collect();
        let weight = figures.members.iter().find(|row| row.member == figures.me).map_or(1, |row| row.weight);
        let ms = (since_epoch.max(0.0) * 1e3) as u64;
        let lives = figures.without != Some(Safeguard::Incarnation);
        let life = if lives { ms * LIVES + chance.generate_range(0..LIVES) } else { 1 };
        let yields = figures.without != Some(Safeguard::Yield);
        let spread = chance.generate::<f64>() * figures.period;
        let look = if figures.without == Some(Safeguard::Window) { 0.0 } else { figures.window };
        let mut this = Together {
            life,
            incarnation: 0,
            rises: YOUNG_RISES,
            started: now,
            standing: Standing::Alone,
            roll: Roll::new(members.into_iter()),
            duties: Duties::new(now, figures.me, weight, figures.every, yields),
            chance,
            slow: 0,
            turns: Vec::new(),
            check: None,
            orders: Vec::new(),
            check_at: now + spread,
            page_at: now + spread,
            catch_up: 0,
            dead_turn: MemberId(0),
            heard_at: f64::NEG_INFINITY,
            look_until: now + look,
            number: 0,
            answers: (now, 0),
            counts: Counts::default(),
            now,
            out: Vec::new(),
            figures,
        };
        this.roll.take(now, &this.own(Status::Alive));
        this
    }

    pub fn life(&self) -> u64 {
        self.life
    }

    /// What is held of a member.
    pub fn status(&self, member: MemberId) -> Option<Status> {
        self.roll.get(member).map(|held| held.status)
    }

    fn own(&self, status: Status) -> News {
        let (member, life, incarnation) = (self.figures.me, self.life, self.incarnation);
        News { member, life, incarnation, status, by: NOBODY }
    }

    fn period(&self) -> f64 {
        self.figures.period * f64::from(1 + self.slow)
    }

    fn wait(&self) -> f64 {
        self.figures.wait * f64::from(1 + self.slow)
    }

    fn slower(&mut self) {
        self.slow = (self.slow + 1).min(SLOWEST);
    }

    fn most_times(&self) -> u8 {
        (3.0 * (self.roll.live_count() as f64 + 1.0).log2().ceil()).clamp(3.0, 40.0) as u8
    }

    fn to(&mut self, standing: Standing) {
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.out.push(Act::Standing(standing));
        }
    }

    /// How long a suspicion lasts with so many suspectors, seconds.
    fn suspicion(&self, suspectors: usize) -> f64 {
        let least = SUSPICION * (self.roll.live_count().max(10) as f64).log10() * self.figures.period;
        let (most, wanted) = (SUSPICION_MOST * least, self.figures.helpers.max(1) as f64);
        let confirmed = suspectors.clamp(1, self.figures.helpers + 1) as f64;
        (most - (most - least) * confirmed.ln() / (wanted + 1.0).ln()).max(least)
    }

    // What goes out.

    /// As [`Together::send`], for what others made this process say.
    fn answer(&mut self, to: MemberId, kind: Kind, check: u32, member: MemberId, flag: bool) {
        if self.now >= self.answers.0 + self.figures.period {
            self.answers = (self.now, 0);
        }
        if self.answers.1 < MOST_ANSWERS {
            self.answers.1 += 1;
            self.send(to, kind, check, member, flag);
        }
    }

    fn send(&mut self, to: MemberId, kind: Kind, check: u32, member: MemberId, flag: bool) {
        let times = self.most_times();
        let (news, findings) = if kind == Kind::Page {
            let mut page = self.roll.page(MOST_PAGE);
            // What the receiver must know of itself goes first, whatever the page.
            if let Some(own) = self.roll.news_of(to).filter(|own| !page.contains(own)) {
                page.truncate(MOST_PAGE - 1);
                page.insert(0, own);
            }
            (page, Vec::new())
        } else {
            (self.roll.tell(to, times), self.duties.tell(self.now, times))
        };
        self.number = self.number.wrapping_add(1);
        let (from, life, incarnation, number) = (self.figures.me, self.life, self.incarnation, self.number);
        let signal = Vec::new();
        self.put(
            to,
            Message { kind, from, life, incarnation, number, check, member, flag, news, findings, signal },
        );
    }

    fn put(&mut self, to: MemberId, message: Message) {
        let bytes = message.encode(self.figures.fleet);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push(Act::Send(to, bytes));
    }

    /// Some members of those given, by chance.
    fn some(&mut self, mut from: Vec<MemberId>, most: usize) -> Vec<MemberId> {
        self.chance.shuffle(&mut from);
        from.truncate(most);
        from
    }

    fn others(&self) -> Vec<MemberId> {
        self.roll.live().filter(|member| *member != self.figures.me).collect()
    }

    // What comes in.

    /// News of a member, from whomever.
    fn take(&mut self, news: &News) {
        if news.member == self.figures.me {
            return self.of_me(news);
        }
        let before = self.roll.get(news.member).map(|held| held.life);
        match self.roll.take(self.now, news) {
            Changed::From(was) if was != Some(news.status) || before != Some(news.life) => {
                match (was, news.status) {
                    (_, Status::Suspect) => self.counts.suspected += 1,
                    (Some(Status::Suspect), Status::Alive) => self.counts.cleared += 1,
                    (_, Status::Dead) => self.counts.died += 1,
                    _ => {}
                }
                // One that is new takes its turn in this round: a round of a large fleet lasts minutes.
                let back = was.is_none_or(|was| was > Status::Suspect) && news.status <= Status::Suspect;
                if back && !self.turns.is_empty() {
                    let at = self.chance.generate_range(0..=self.turns.len());
                    self.turns.insert(at, news.member);
                }
                self.out.push(Act::Holds(news.member, news.status));
                self.duties.look(self.now);
            }
            Changed::From(_) | Changed::Confirmed | Changed::Nothing => {}
        }
    }

    /// News of this process itself: a suspicion is refuted; a later life of its name takes its place.
    fn of_me(&mut self, news: &News) {
        let without = self.figures.without;
        if news.life > self.life {
            if self.now - self.started > YOUNG * self.figures.window {
                self.rises = self.rises.min(OLD_RISES);
            }
            let free = news.status >= Status::Dead && self.standing == Standing::Displaced;
            if self.rises > 0 || free || without == Some(Safeguard::Twins) {
                // The low bits by chance: two that rise above the same life must not end up with one.
                let low = self.chance.generate_range(0..LIVES);
                let above = (news.life | (LIVES - 1)).saturating_add(1 + low);
                (self.life, self.incarnation, self.rises) = (above, 0, self.rises.saturating_sub(1));
                self.roll.take(self.now, &self.own(Status::Alive));
                if free {
                    (self.check_at, self.page_at) = (self.now, self.now);
                    self.look_on(self.figures.window);
                    self.to(Standing::Alone);
                }
            } else {
                self.check = None;
                self.to(Standing::Displaced);
            }
            return;
        }
        if news.life < self.life {
            return;
        }
        let against = news.status != Status::Alive || news.incarnation > self.incarnation;
        if against && news.incarnation >= self.incarnation && without != Some(Safeguard::Refutation) {
            self.incarnation = news.incarnation.saturating_add(1);
            self.counts.refuted += 1;
            self.slower();
            self.roll.take(self.now, &self.own(Status::Alive));
        }
    }

    fn dispatch(&mut self, message: &Message) {
        let (from, check, member) = (message.from, message.check, message.member);
        match message.kind {
            Kind::Ping => {
                self.answer(from, Kind::Ack, check, self.figures.me, false);
                if member != NOBODY && member != from && self.roll.lists(member) {
                    self.answer(member, Kind::Ack, check, self.figures.me, false);
                }
            }
            Kind::Ack => {
                if let Some(at) =
                    self.orders.iter().position(|order| order.number == check && order.target == member)
                {
                    let order = self.orders.swap_remove(at);
                    self.answer(order.origin, Kind::Ack, check, member, false);
                }
                let ours = self.check.as_mut().filter(|ours| ours.number == check && ours.target == member);
                if let Some(ours) = ours.filter(|ours| !ours.answered) {
                    ours.answered = true;
                    self.slow = self.slow.saturating_sub(1);
                }
            }
            Kind::Ask => {
                if member == self.figures.me {
                    self.answer(from, Kind::Ack, check, member, false);
                } else if self.orders.len() < MOST_ORDERS && self.roll.lists(member) {
                    let nack_at = self.now + 0.8 * self.figures.wait;
                    self.orders.push(Order { number: check, origin: from, target: member, nack_at });
                    self.answer(member, Kind::Ping, check, from, false);
                }
            }
            Kind::Nack => {
                let ours = self.check.as_mut().filter(|ours| ours.number == check);
                ours.into_iter().for_each(|ours| ours.nacks += 1);
            }
            Kind::Page => {
                if message.flag {
                    self.answer(from, Kind::Page, 0, NOBODY, false);
                } else if self.catch_up > 0 {
                    self.catch_up -= 1;
                    self.answer(from, Kind::Page, 0, NOBODY, true);
                }
            }
            Kind::Signal => self.out.push(Act::Signal(from, message.signal.clone())),
        }
    }

    /// A process that comes to its turn late has lost what came meanwhile, or has yet to read it: nothing that it
    /// waited for is held against anybody, and it looks on before it does duties.
    fn turn(&mut self, now: f64) {
        let late = now - self.next_at();
        self.now = now;
        if late <= self.figures.wait || !late.is_finite() || self.figures.without == Some(Safeguard::Turn) {
            return;
        }
        self.counts.no_turn += 1;
        self.slower();
        self.check = None;
        self.orders.clear();
        self.roll.put_off(late);
        (self.check_at, self.page_at) = (now + self.figures.wait, now);
        // Others may have taken over from here on, and not before: a process that stands still again and again for
        // less than that would otherwise look on for ever.
        if late > self.suspicion(usize::MAX) {
            self.duties.put_off();
            self.look_on(self.figures.window / 2.0);
            self.to(Standing::Alone);
        }
    }

    fn look_on(&mut self, time: f64) {
        if self.figures.without != Some(Safeguard::Window) {
            self.look_until = self.look_until.max(self.now + time);
        }
    }

    // What is due.

    /// Ends the check of the last period and begins one.
    fn next_check(&mut self) {
        if let Some(check) = self.check.take().filter(|check| !check.answered) {
            // Helpers that say nothing at all: it may well be this process that hears nothing.
            if check.nacks < check.helpers {
                self.slower();
            }
            let held = self.roll.get(check.target).filter(|held| held.status <= Status::Suspect);
            if let Some((life, incarnation)) = held.map(|held| (held.life, held.incarnation)) {
                let (member, by) = (check.target, self.figures.me);
                self.take(&News { member, life, incarnation, status: Status::Suspect, by });
            }
        }
        if self.turns.is_empty() {
            self.turns = self.others();
            self.chance.shuffle(&mut self.turns);
        }
        while let Some(target) = self.turns.pop() {
            if self.roll.get(target).is_none_or(|held| held.status > Status::Suspect) {
                continue;
            }
            let number = self.chance.generate();
            let began = self.now;
            self.check = Some(Check { target, number, began, helpers: 0, nacks: 0, answered: false });
            self.send(target, Kind::Ping, number, NOBODY, false);
            break;
        }
        self.check_at = self.now + self.period();
    }

    /// Without an answer in time others are asked.
    fn ask_others(&mut self) {
        let (now, wait) = (self.now, self.wait());
        let late = |check: &&mut Check| !check.answered && check.helpers == 0 && now >= check.began + wait;
        let Some(check) = self.check.as_mut().filter(late) else { return };
        let (target, number) = (check.target, check.number);
        if self.figures.without == Some(Safeguard::Helpers) {
            return;
        }
        let others = self.others().into_iter().filter(|member| *member != target).collect();
        let helpers = self.some(others, self.figures.helpers);
        if let Some(check) = &mut self.check {
            check.helpers = helpers.len();
        }
        helpers.into_iter().for_each(|helper| self.send(helper, Kind::Ask, number, target, false));
    }

    fn nacks(&mut self) {
        let now = self.now;
        let late: Vec<(u32, MemberId, MemberId)> = self
            .orders
            .iter()
            .filter(|order| order.nack_at <= now)
            .map(|order| (order.number, order.origin, order.target))
            .collect();
        self.orders.retain(|order| order.nack_at > now);
        late.into_iter().for_each(|(number, origin, target)| {
            self.answer(origin, Kind::Nack, number, target, false);
        });
    }

    /// A page of the whole state for one live member; in turn one that is held dead or was never heard of, so that
    /// two halves of a fleet find each other again.
    fn next_page(&mut self) {
        let alone = self.standing == Standing::Alone;
        // Not slowed: it is what halves find each other by.
        self.page_at = self.now + PAGE_EVERY * self.figures.period * if alone { 0.5 } else { 1.0 };
        let me = self.figures.me;
        let live = |held: Option<&crate::roll::Held>| held.is_some_and(|held| held.status <= Status::Suspect);
        let missing: Vec<MemberId> = self
            .roll
            .all()
            .filter(|(member, held)| *member != me && !live(*held))
            .filter(|(_, held)| held.is_none_or(|held| held.status != Status::Left))
            .map(|(member, _)| member)
            .collect();
        let after = missing.iter().find(|member| **member > self.dead_turn).or(missing.first());
        if let Some(one) = after.copied() {
            self.dead_turn = one;
            self.send(one, Kind::Page, 0, NOBODY, true);
        }
        let knocks = if alone { KNOCKS } else { 1 };
        let others = if alone { missing } else { self.others() };
        let some = self.some(others, knocks);
        some.into_iter().for_each(|member| self.send(member, Kind::Page, 0, NOBODY, true));
    }

    fn expire(&mut self) {
        let now = self.now;
        let over = |held: &crate::roll::Held| {
            held.status == Status::Suspect && now - held.since >= self.suspicion(held.suspectors.len())
        };
        let dead: Vec<News> = self
            .roll
            .all()
            .filter(|(_, held)| held.is_some_and(over))
            .filter_map(|(member, _)| self.roll.news_of(member))
            .collect();
        dead.into_iter().for_each(|news| self.take(&News { status: Status::Dead, ..news }));
    }

    fn do_duties(&mut self) {
        if self.duties.next_at() > self.now {
            return;
        }
        let rows = self.figures.members.iter();
        let live: Vec<(MemberId, u8)> = rows
            .filter(|Row { member, .. }| {
                self.roll.get(*member).is_some_and(|held| held.status <= Status::Suspect)
            })
            .map(|row| (row.member, row.weight))
            .collect();
        let due = self.duties.due(self.now, self.roll.version, &live, self.look_until);
        self.counts.done += due.len() as u64;
        self.counts.yielded = self.duties.yielded;
        self.out.extend(due.into_iter().map(Act::Do));
    }

    fn is_out(&self) -> bool {
        matches!(self.standing, Standing::Displaced | Standing::Left)
    }
}

impl Core for Together {
    fn heard(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Act>) {
        if self.standing == Standing::Left {
            return;
        }
        // Displaced, it only listens for whether its name is free again.
        let displaced = self.standing == Standing::Displaced;
        if displaced {
            self.now = now;
        } else {
            self.turn(now);
        }
        let any = self.figures.without == Some(Safeguard::Version);
        let decoded = Message::decode_any(self.figures.fleet, bytes, any);
        let message = match decoded {
            Ok(message) => message,
            Err(wrong) => {
                *match wrong {
                    Wrong::Bad => &mut self.counts.bad,
                    Wrong::Version => &mut self.counts.version,
                    Wrong::Foreign => &mut self.counts.foreign,
                } += 1;
                return;
            }
        };
        let from = message.from;
        if displaced {
            let me = self.figures.me;
            let own = message.news.iter().find(|news| news.member == me && news.status >= Status::Dead);
            own.into_iter().for_each(|news| self.of_me(news));
            out.append(&mut self.out);
            return;
        }
        if !self.roll.lists(from) {
            self.counts.unknown += 1;
            return;
        }
        let (life, incarnation) = (message.life, message.incarnation);
        let said = News { member: from, life, incarnation, status: Status::Alive, by: NOBODY };
        if from == self.figures.me {
            // Under this name: an echo, or another process.
            if life != self.life {
                self.of_me(&said);
            }
            self.counts.repeated += 1;
            out.append(&mut self.out);
            return;
        }
        if self.roll.get(from).is_some_and(|held| held.life > life) {
            self.counts.old += 1;
            // Started behind its own earlier life, it may be: it has to hear of that.
            if message.flag {
                self.answer(from, Kind::Page, 0, NOBODY, false);
            }
            out.append(&mut self.out);
            return;
        }
        self.take(&said);
        if !self.roll.first(from, message.number) && self.figures.without != Some(Safeguard::Repeats) {
            self.counts.repeated += 1;
            out.append(&mut self.out);
            return;
        }
        self.counts.heard += 1;
        self.heard_at = now;
        if self.standing == Standing::Alone {
            self.look_on(self.figures.window / 2.0);
            self.catch_up = self.figures.members.len().div_ceil(MOST_PAGE);
            self.to(Standing::Together);
        }
        message.news.iter().for_each(|news| self.take(news));
        message.findings.iter().for_each(|finding| self.duties.told(now, from, finding));
        if !self.is_out() {
            self.dispatch(&message);
        }
        out.append(&mut self.out);
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Act>) {
        if self.is_out() {
            return;
        }
        self.turn(now);
        self.ask_others();
        self.nacks();
        self.expire();
        if now >= self.check_at {
            self.next_check();
        }
        if now >= self.page_at {
            self.next_page();
        }
        if now - self.heard_at > ALONE_AFTER * self.period() {
            self.to(Standing::Alone);
        }
        self.do_duties();
        out.append(&mut self.out);
    }

    fn next_at(&self) -> f64 {
        if self.is_out() {
            return f64::INFINITY;
        }
        let wait = self.check.as_ref().filter(|check| !check.answered && check.helpers == 0);
        let wait = wait.map(|check| check.began + self.wait()).filter(|at| *at > self.now);
        let nack = self.orders.iter().map(|order| order.nack_at).fold(f64::INFINITY, f64::min);
        // Suspicions end at the check after their time: each period looks at all of them.
        let next = self.check_at.min(self.page_at).min(nack).min(wait.unwrap_or(f64::INFINITY));
        next.min(self.duties.next_at().max(self.look_until))
    }

    fn duties(&mut self, now: f64, all: &[DutyId]) {
        self.duties.set(now, all);
    }

    fn found(&mut self, now: f64, duty: DutyId, good: bool) {
        self.duties.found(now, duty, good);
    }

    fn finding(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        self.duties.last(now, duty)
    }

    fn signal(&mut self, now: f64, to: MemberId, signal: &[u8], out: &mut Vec<Act>) {
        if self.is_out() || signal.len() > crate::signal::LONGEST {
            return;
        }
        self.now = now;
        self.number = self.number.wrapping_add(1);
        let (from, life, incarnation, number) = (self.figures.me, self.life, self.incarnation, self.number);
        let (news, findings, signal) = (Vec::new(), Vec::new(), signal.to_vec());
        let (kind, check, member, flag) = (Kind::Signal, 0, NOBODY, false);
        self.put(
            to,
            Message { kind, from, life, incarnation, number, check, member, flag, news, findings, signal },
        );
        out.append(&mut self.out);
    }

    fn leave(&mut self, now: f64, out: &mut Vec<Act>) {
        if self.is_out() {
            return;
        }
        self.now = now;
        self.roll.take(now, &self.own(Status::Left));
        let others = self.others();
        let told = self.some(others, usize::from(self.most_times()));
        told.into_iter().for_each(|member| self.send(member, Kind::Page, 0, NOBODY, false));
        self.to(Standing::Left);
        out.append(&mut self.out);
    }

    fn standing(&self) -> Standing {
        self.standing
    }

    fn live(&self) -> Vec<MemberId> {
        self.roll.live().collect()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}
