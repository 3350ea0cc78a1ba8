//! One member: checks of others in turn, suspicion before death, refutation, news on every datagram, pages of the
//! whole state now and then, and the duties that follow from it.
//!
//! A period has one check. Without an answer within the wait, some others are asked to check; without theirs either,
//! the member is suspected, and held dead only when a time that shrinks with each further suspector has passed and it
//! has not refuted. A process that had no turn judges nobody by what it missed, checks more slowly for a while, and
//! looks on before it does duties.

use nanorand::{Rng, WyRand};

use crate::config::{FleetConfig, MemberEntry, Safeguard, MAX_MEMBERS};
use crate::duty::Duties;
use crate::membership::{Changed, Roll};
use crate::message::{DecodeError, MemberUpdate, Message, MessageKind, MAX_PAGE_UPDATES, NOBODY};
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

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
/// Times that a process rises above another incarnation of its name: one that started within so many windows, and an older.
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
pub struct SwimMember {
    config: FleetConfig,
    incarnation: u64,
    refutation: u32,
    /// Times that it may still rise above another incarnation of its name: what it hears of may be a leftover of its own
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
    out: Vec<Action>,
}

impl SwimMember {
    /// A member that starts at `now`, alone. `since_epoch`: the wall clock, seconds; with chance it makes a incarnation above
    /// all earlier ones of this name, and where that clock went back, what others say of the name does.
    pub fn start(now: f64, since_epoch: f64, seed: u64, config: FleetConfig) -> SwimMember {
        let mut chance = WyRand::new_seed(seed);
        let members: Vec<MemberId> = config.members.iter().map(|row| row.member).take(MAX_MEMBERS).collect();
        let weight =
            config.members.iter().find(|row| row.member == config.own_id).map_or(1, |row| row.weight);
        let ms = (since_epoch.max(0.0) * 1e3) as u64;
        let lives = config.disabled_safeguard != Some(Safeguard::Incarnation);
        let incarnation = if lives { ms * LIVES + chance.generate_range(0..LIVES) } else { 1 };
        let yields = config.disabled_safeguard != Some(Safeguard::Yield);
        let spread = chance.generate::<f64>() * config.check_period;
        let look =
            if config.disabled_safeguard == Some(Safeguard::Window) { 0.0 } else { config.takeover_window };
        let mut this = SwimMember {
            incarnation,
            refutation: 0,
            rises: YOUNG_RISES,
            started: now,
            standing: Standing::Alone,
            roll: Roll::new(members.into_iter()),
            duties: Duties::new(now, config.own_id, weight, config.duty_interval, yields),
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
            config,
        };
        this.roll.take(now, &this.own(Status::Alive));
        this
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What is held of a member.
    pub fn status(&self, member: MemberId) -> Option<Status> {
        self.roll.get(member).map(|held| held.status)
    }

    fn own(&self, status: Status) -> MemberUpdate {
        let (member, incarnation, refutation) = (self.config.own_id, self.incarnation, self.refutation);
        MemberUpdate { member, incarnation, refutation, status, by: NOBODY }
    }

    fn period(&self) -> f64 {
        self.config.check_period * f64::from(1 + self.slow)
    }

    fn wait(&self) -> f64 {
        self.config.ack_timeout * f64::from(1 + self.slow)
    }

    fn slower(&mut self) {
        self.slow = (self.slow + 1).min(SLOWEST);
    }

    fn most_times(&self) -> u8 {
        (3.0 * (self.roll.live_count() as f64 + 1.0).log2().ceil()).clamp(3.0, 40.0) as u8
    }

    fn to(&mut self, standing: Standing) {
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.out.push(Action::StandingChanged(standing));
        }
    }

    /// How long a suspicion lasts with so many suspectors, seconds.
    fn suspicion(&self, suspectors: usize) -> f64 {
        let least = SUSPICION * (self.roll.live_count().max(10) as f64).log10() * self.config.check_period;
        let (most, wanted) = (SUSPICION_MOST * least, self.config.helpers.max(1) as f64);
        let confirmed = suspectors.clamp(1, self.config.helpers + 1) as f64;
        (most - (most - least) * confirmed.ln() / (wanted + 1.0).ln()).max(least)
    }

    // What goes out.

    /// As [`SwimMember::send`], for what others made this process say.
    fn answer(&mut self, to: MemberId, kind: MessageKind, check: u32, member: MemberId, flag: bool) {
        if self.now >= self.answers.0 + self.config.check_period {
            self.answers = (self.now, 0);
        }
        if self.answers.1 < MOST_ANSWERS {
            self.answers.1 += 1;
            self.send(to, kind, check, member, flag);
        }
    }

    fn send(&mut self, to: MemberId, kind: MessageKind, check: u32, member: MemberId, flag: bool) {
        let times = self.most_times();
        let (updates, duty_results) = if kind == MessageKind::StatePage {
            let mut page = self.roll.page(MAX_PAGE_UPDATES);
            // What the receiver must know of itself goes first, whatever the page.
            if let Some(own) = self.roll.update_of(to).filter(|own| !page.contains(own)) {
                page.truncate(MAX_PAGE_UPDATES - 1);
                page.insert(0, own);
            }
            (page, Vec::new())
        } else {
            (self.roll.tell(to, times), self.duties.tell(self.now, times))
        };
        self.number = self.number.wrapping_add(1);
        let (from, incarnation, refutation, number) =
            (self.config.own_id, self.incarnation, self.refutation, self.number);
        let signal = Vec::new();
        self.put(
            to,
            Message {
                kind,
                from,
                incarnation,
                refutation,
                number,
                check,
                member,
                flag,
                updates,
                duty_results,
                signal,
            },
        );
    }

    fn put(&mut self, to: MemberId, message: Message) {
        let bytes = message.encode(self.config.fleet);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push(Action::SendDatagram(to, bytes));
    }

    /// Some members of those given, by chance.
    fn some(&mut self, mut from: Vec<MemberId>, most: usize) -> Vec<MemberId> {
        self.chance.shuffle(&mut from);
        from.truncate(most);
        from
    }

    fn others(&self) -> Vec<MemberId> {
        self.roll.live().filter(|member| *member != self.config.own_id).collect()
    }

    // What comes in.

    /// MemberUpdate of a member, from whomever.
    fn take(&mut self, news: &MemberUpdate) {
        if news.member == self.config.own_id {
            return self.of_me(news);
        }
        let before = self.roll.get(news.member).map(|held| held.incarnation);
        match self.roll.take(self.now, news) {
            Changed::From(was) if was != Some(news.status) || before != Some(news.incarnation) => {
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
                self.out.push(Action::MemberStatusChanged(news.member, news.status));
                self.duties.look(self.now);
            }
            Changed::From(_) | Changed::Confirmed | Changed::Nothing => {}
        }
    }

    /// MemberUpdate of this process itself: a suspicion is refuted; a later incarnation of its name takes its place.
    fn of_me(&mut self, news: &MemberUpdate) {
        let without = self.config.disabled_safeguard;
        if news.incarnation > self.incarnation {
            if self.now - self.started > YOUNG * self.config.takeover_window {
                self.rises = self.rises.min(OLD_RISES);
            }
            let free = news.status >= Status::Dead && self.standing == Standing::Displaced;
            if self.rises > 0 || free || without == Some(Safeguard::Twins) {
                // The low bits by chance: two that rise above the same incarnation must not end up with one.
                let low = self.chance.generate_range(0..LIVES);
                let above = (news.incarnation | (LIVES - 1)).saturating_add(1 + low);
                (self.incarnation, self.refutation, self.rises) = (above, 0, self.rises.saturating_sub(1));
                self.roll.take(self.now, &self.own(Status::Alive));
                if free {
                    (self.check_at, self.page_at) = (self.now, self.now);
                    self.look_on(self.config.takeover_window);
                    self.to(Standing::Alone);
                }
            } else {
                self.check = None;
                self.to(Standing::Displaced);
            }
            return;
        }
        if news.incarnation < self.incarnation {
            return;
        }
        let against = news.status != Status::Alive || news.refutation > self.refutation;
        if against && news.refutation >= self.refutation && without != Some(Safeguard::Refutation) {
            self.refutation = news.refutation.saturating_add(1);
            self.counts.refuted += 1;
            self.slower();
            self.roll.take(self.now, &self.own(Status::Alive));
        }
    }

    fn dispatch(&mut self, message: &Message) {
        let (from, check, member) = (message.from, message.check, message.member);
        match message.kind {
            MessageKind::Ping => {
                self.answer(from, MessageKind::Ack, check, self.config.own_id, false);
                if member != NOBODY && member != from && self.roll.lists(member) {
                    self.answer(member, MessageKind::Ack, check, self.config.own_id, false);
                }
            }
            MessageKind::Ack => {
                if let Some(at) =
                    self.orders.iter().position(|order| order.number == check && order.target == member)
                {
                    let order = self.orders.swap_remove(at);
                    self.answer(order.origin, MessageKind::Ack, check, member, false);
                }
                let ours = self.check.as_mut().filter(|ours| ours.number == check && ours.target == member);
                if let Some(ours) = ours.filter(|ours| !ours.answered) {
                    ours.answered = true;
                    self.slow = self.slow.saturating_sub(1);
                }
            }
            MessageKind::PingRequest => {
                if member == self.config.own_id {
                    self.answer(from, MessageKind::Ack, check, member, false);
                } else if self.orders.len() < MOST_ORDERS && self.roll.lists(member) {
                    let nack_at = self.now + 0.8 * self.config.ack_timeout;
                    self.orders.push(Order { number: check, origin: from, target: member, nack_at });
                    self.answer(member, MessageKind::Ping, check, from, false);
                }
            }
            MessageKind::Nack => {
                let ours = self.check.as_mut().filter(|ours| ours.number == check);
                ours.into_iter().for_each(|ours| ours.nacks += 1);
            }
            MessageKind::StatePage => {
                if message.flag {
                    self.answer(from, MessageKind::StatePage, 0, NOBODY, false);
                } else if self.catch_up > 0 {
                    self.catch_up -= 1;
                    self.answer(from, MessageKind::StatePage, 0, NOBODY, true);
                }
            }
            MessageKind::Signal => self.out.push(Action::SignalReceived(from, message.signal.clone())),
        }
    }

    /// A process that comes to its turn late has lost what came meanwhile, or has yet to read it: nothing that it
    /// waited for is held against anybody, and it looks on before it does duties.
    fn turn(&mut self, now: f64) {
        let late = now - self.next_tick_at();
        self.now = now;
        if late <= self.config.ack_timeout
            || !late.is_finite()
            || self.config.disabled_safeguard == Some(Safeguard::Turn)
        {
            return;
        }
        self.counts.no_turn += 1;
        self.slower();
        self.check = None;
        self.orders.clear();
        self.roll.put_off(late);
        (self.check_at, self.page_at) = (now + self.config.ack_timeout, now);
        // Others may have taken over from here on, and not before: a process that stands still again and again for
        // less than that would otherwise look on for ever.
        if late > self.suspicion(usize::MAX) {
            self.duties.put_off();
            self.look_on(self.config.takeover_window / 2.0);
            self.to(Standing::Alone);
        }
    }

    fn look_on(&mut self, time: f64) {
        if self.config.disabled_safeguard != Some(Safeguard::Window) {
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
            if let Some((incarnation, refutation)) = held.map(|held| (held.incarnation, held.refutation)) {
                let (member, by) = (check.target, self.config.own_id);
                self.take(&MemberUpdate { member, incarnation, refutation, status: Status::Suspect, by });
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
            self.send(target, MessageKind::Ping, number, NOBODY, false);
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
        if self.config.disabled_safeguard == Some(Safeguard::Helpers) {
            return;
        }
        let others = self.others().into_iter().filter(|member| *member != target).collect();
        let helpers = self.some(others, self.config.helpers);
        if let Some(check) = &mut self.check {
            check.helpers = helpers.len();
        }
        helpers
            .into_iter()
            .for_each(|helper| self.send(helper, MessageKind::PingRequest, number, target, false));
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
            self.answer(origin, MessageKind::Nack, number, target, false);
        });
    }

    /// A page of the whole state for one live member; in turn one that is held dead or was never heard of, so that
    /// two halves of a fleet find each other again.
    fn next_page(&mut self) {
        let alone = self.standing == Standing::Alone;
        // Not slowed: it is what halves find each other by.
        self.page_at = self.now + PAGE_EVERY * self.config.check_period * if alone { 0.5 } else { 1.0 };
        let me = self.config.own_id;
        let live =
            |held: Option<&crate::membership::Held>| held.is_some_and(|held| held.status <= Status::Suspect);
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
            self.send(one, MessageKind::StatePage, 0, NOBODY, true);
        }
        let knocks = if alone { KNOCKS } else { 1 };
        let others = if alone { missing } else { self.others() };
        let some = self.some(others, knocks);
        some.into_iter().for_each(|member| self.send(member, MessageKind::StatePage, 0, NOBODY, true));
    }

    fn expire(&mut self) {
        let now = self.now;
        let over = |held: &crate::membership::Held| {
            held.status == Status::Suspect && now - held.since >= self.suspicion(held.suspectors.len())
        };
        let dead: Vec<MemberUpdate> = self
            .roll
            .all()
            .filter(|(_, held)| held.is_some_and(over))
            .filter_map(|(member, _)| self.roll.update_of(member))
            .collect();
        dead.into_iter().for_each(|news| self.take(&MemberUpdate { status: Status::Dead, ..news }));
    }

    fn do_duties(&mut self) {
        if self.duties.next_at() > self.now {
            return;
        }
        let rows = self.config.members.iter();
        let live: Vec<(MemberId, u8)> = rows
            .filter(|MemberEntry { member, .. }| {
                self.roll.get(*member).is_some_and(|held| held.status <= Status::Suspect)
            })
            .map(|row| (row.member, row.weight))
            .collect();
        let due = self.duties.due(self.now, self.roll.version, &live, self.look_until);
        self.counts.done += due.len() as u64;
        self.counts.yielded = self.duties.yielded;
        self.out.extend(due.into_iter().map(Action::RunDuty));
    }

    fn is_out(&self) -> bool {
        matches!(self.standing, Standing::Displaced | Standing::Left)
    }
}

impl FleetCore for SwimMember {
    fn datagram_received(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>) {
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
        let any = self.config.disabled_safeguard == Some(Safeguard::Version);
        let decoded = Message::decode_any(self.config.fleet, bytes, any);
        let message = match decoded {
            Ok(message) => message,
            Err(wrong) => {
                *match wrong {
                    DecodeError::Malformed => &mut self.counts.bad,
                    DecodeError::WrongVersion => &mut self.counts.version,
                    DecodeError::OtherFleet => &mut self.counts.foreign,
                } += 1;
                return;
            }
        };
        let from = message.from;
        if displaced {
            let me = self.config.own_id;
            let own = message.updates.iter().find(|news| news.member == me && news.status >= Status::Dead);
            own.into_iter().for_each(|news| self.of_me(news));
            out.append(&mut self.out);
            return;
        }
        if !self.roll.lists(from) {
            self.counts.unknown += 1;
            return;
        }
        let (incarnation, refutation) = (message.incarnation, message.refutation);
        let said = MemberUpdate { member: from, incarnation, refutation, status: Status::Alive, by: NOBODY };
        if from == self.config.own_id {
            // Under this name: an echo, or another process.
            if incarnation != self.incarnation {
                self.of_me(&said);
            }
            self.counts.repeated += 1;
            out.append(&mut self.out);
            return;
        }
        if self.roll.get(from).is_some_and(|held| held.incarnation > incarnation) {
            self.counts.old += 1;
            // Started behind its own earlier incarnation, it may be: it has to hear of that.
            if message.flag {
                self.answer(from, MessageKind::StatePage, 0, NOBODY, false);
            }
            out.append(&mut self.out);
            return;
        }
        self.take(&said);
        if !self.roll.first(from, message.number)
            && self.config.disabled_safeguard != Some(Safeguard::Repeats)
        {
            self.counts.repeated += 1;
            out.append(&mut self.out);
            return;
        }
        self.counts.heard += 1;
        self.heard_at = now;
        if self.standing == Standing::Alone {
            self.look_on(self.config.takeover_window / 2.0);
            self.catch_up = self.config.members.len().div_ceil(MAX_PAGE_UPDATES);
            self.to(Standing::Together);
        }
        message.updates.iter().for_each(|news| self.take(news));
        message.duty_results.iter().for_each(|finding| self.duties.told(now, from, finding));
        if !self.is_out() {
            self.dispatch(&message);
        }
        out.append(&mut self.out);
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
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

    fn next_tick_at(&self) -> f64 {
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

    fn set_duties(&mut self, now: f64, all: &[DutyId]) {
        self.duties.set(now, all);
    }

    fn duty_done(&mut self, now: f64, duty: DutyId, good: bool) {
        self.duties.found(now, duty, good);
    }

    fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        self.duties.last(now, duty)
    }

    fn send_signal(&mut self, now: f64, to: MemberId, signal: &[u8], out: &mut Vec<Action>) {
        if self.is_out() || signal.len() > crate::signal::MAX_SIGNAL_BYTES {
            return;
        }
        self.now = now;
        self.number = self.number.wrapping_add(1);
        let (from, incarnation, refutation, number) =
            (self.config.own_id, self.incarnation, self.refutation, self.number);
        let (updates, duty_results, signal) = (Vec::new(), Vec::new(), signal.to_vec());
        let (kind, check, member, flag) = (MessageKind::Signal, 0, NOBODY, false);
        self.put(
            to,
            Message {
                kind,
                from,
                incarnation,
                refutation,
                number,
                check,
                member,
                flag,
                updates,
                duty_results,
                signal,
            },
        );
        out.append(&mut self.out);
    }

    fn leave(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.is_out() {
            return;
        }
        self.now = now;
        self.roll.take(now, &self.own(Status::Left));
        let others = self.others();
        let told = self.some(others, usize::from(self.most_times()));
        told.into_iter().for_each(|member| self.send(member, MessageKind::StatePage, 0, NOBODY, false));
        self.to(Standing::Left);
        out.append(&mut self.out);
    }

    fn standing(&self) -> Standing {
        self.standing
    }

    fn live_members(&self) -> Vec<MemberId> {
        self.roll.live().collect()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}
