//! Parts of an account, a volume's limit, that follow who needs them: units are lent for
//! [`LENGTH`] and end by themselves. Each initiator has its even part; what one can do without goes to one that waits.
//!
//! Units are taken from the giver's store before it says so, and count as gone there, with their room, until they have
//! surely lapsed at the taker: [`lender_hold`]. The taker counts from its own asking, so however late the grant is, it lapses
//! there first. So at no moment do stores and loans on the way hold more than all even parts together, whatever is
//! lost, late, repeated, stopped or restarted; a giver that starts again without memory fills nothing for as long.
//! The argument: `docs/design/lending.md`; all small cases: [`crate::explore`].
//!
//! Who shares an account is not listed anywhere: whoever has it says so to two members that all find by the account's
//! name, and these tell the others.

use std::collections::{BTreeMap, BTreeSet};

use quaypath::types::{LimitBalance, LimitId};
use xxhash_rust::xxh3::xxh3_64;

use crate::duty::highest_ranked;
use crate::signal::Part;
use crate::MemberId;

/// How long units are lent, seconds on the taker's clock: some tens of round trips of the slowest news, and short, as
/// one that starts again holds back for as long.
pub const LENGTH: f64 = 0.5;
/// How much faster or slower than true time a clock may run.
pub const DRIFT: f64 = 0.05;
/// How often an account is looked at.
pub const LOOK: f64 = 0.1;
/// An ask without an answer is made again after this, and then after twice as long each time, up to the last.
const AGAIN: f64 = 0.2;
const MOST_WAIT: f64 = 2.0;
/// Without a need for this long what is left of a loan goes back.
const IDLE: f64 = 0.2;
/// How often a sharer says that it is there, and after how long without it is forgotten.
const HERE: f64 = 4.0;
const FORGET: f64 = 3.0 * HERE;
/// Members that know who shares an account.
const KNOWERS: usize = 2;
/// Sharers of one account that are kept, and told in one message.
const MOST_SHARERS: usize = 32;
pub const MOST_TOLD: usize = 16;
/// Accounts that are kept for others, and that this member itself lends and borrows.
const MOST_ACCOUNTS: usize = 4096;
/// Loans that are out at one time; no more are given.
const MOST_LOANS: usize = 1024;
/// Less than this is not worth a message, units.
const LEAST: f64 = 0.5;
/// Steps of a unit that loans are counted in.
const STEPS: f64 = 64.0;

/// Time that a loan counts as gone at its giver, seconds on its own clock: the giver's may run fast, the taker's slow.
pub fn lender_hold() -> f64 {
    LENGTH * (1.0 + DRIFT) / (1.0 - DRIFT)
}

/// What keeps a promise of lending and of signals, and can be taken away to see that a test notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// The taker counts from its asking, not from when the grant came.
    FromAsking,
    /// The giver waits for the worst clocks.
    Drift,
    /// A grant is taken once.
    Once,
    /// A grant to an earlier incarnation of the taker is not taken.
    Life,
    /// One that starts again fills nothing until what it may have lent has lapsed.
    Hold,
    /// What comes back is counted once.
    Back,
    /// Loans end.
    End,
    /// What is lent is taken from the giver's store.
    Sum,
    /// What was borrowed is not lent on: when it lapses, the room that went on with it would be nobody's.
    OwnOnly,
    /// News that came before are not counted again.
    Repeats,
    /// News count by when they were measured.
    Age,
    /// One asker gets an even part of what is spare at most.
    Fair,
}

impl Safeguard {
    pub const ALL: [(&'static str, Safeguard); 12] = [
        ("from-asking", Safeguard::FromAsking),
        ("drift", Safeguard::Drift),
        ("once", Safeguard::Once),
        ("life", Safeguard::Life),
        ("hold", Safeguard::Hold),
        ("back", Safeguard::Back),
        ("end", Safeguard::End),
        ("sum", Safeguard::Sum),
        ("own-only", Safeguard::OwnOnly),
        ("repeats", Safeguard::Repeats),
        ("age", Safeguard::Age),
        ("fair", Safeguard::Fair),
    ];
}

/// The stores that units are moved between: the decision core's, or those of an explorer or a test.
pub trait Ledger {
    /// Accounts that are shared with others, and what each can do without or waits for.
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance>;
    /// One of them, if it is here.
    fn limit_balance(&mut self, now: f64, account: LimitId) -> Option<LimitBalance> {
        self.limit_balances(now).into_iter().find(|need| need.limit_id == account)
    }
    /// Units come or go, and count up to `until`; false, and nothing done, where they are not there.
    fn transfer(&mut self, now: f64, account: LimitId, units: f64, until: f64) -> bool;
}

#[derive(Clone, Debug, PartialEq)]
struct Ask {
    number: u32,
    at: f64,
    units: f64,
    /// How long until it is asked again; longer the more often there was nothing.
    wait: f64,
}

#[derive(Clone, Debug, PartialEq)]
struct Loan {
    account: LimitId,
    with: MemberId,
    number: u32,
    /// The other's incarnation.
    incarnation: u32,
    units: f64,
    until: f64,
}

#[derive(Clone, Debug, PartialEq)]
struct Mine {
    said_at: f64,
    needed_at: f64,
    /// Who was asked last.
    last: MemberId,
    asked: BTreeMap<MemberId, Ask>,
    /// Who asked here, when last, in which incarnation and by which number.
    askers: BTreeMap<MemberId, (f64, u32, u32)>,
}

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct LendCounts {
    pub asked: u64,
    pub given: u64,
    pub given_units: f64,
    pub taken: u64,
    pub taken_units: f64,
    pub back: u64,
    /// Grants that came too late, twice, or for an earlier incarnation.
    pub void: u64,
    pub lapsed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Lend {
    me: MemberId,
    members: Vec<MemberId>,
    without: Option<Safeguard>,
    /// Members that are held dead: nobody asks them, and others know the sharers in their place.
    dead: BTreeSet<MemberId>,
    number: u32,
    mine: BTreeMap<LimitId, Mine>,
    sharers: BTreeMap<LimitId, BTreeMap<MemberId, f64>>,
    given: Vec<Loan>,
    taken: Vec<Loan>,
    pub counts: LendCounts,
}

type Out<'a> = &'a mut Vec<(MemberId, Part)>;

impl Lend {
    pub fn new(me: MemberId, members: Vec<MemberId>, without: Option<Safeguard>) -> Lend {
        Lend {
            me,
            members,
            without,
            dead: BTreeSet::new(),
            number: 0,
            mine: BTreeMap::new(),
            sharers: BTreeMap::new(),
            given: Vec::new(),
            taken: Vec::new(),
            counts: LendCounts::default(),
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.without == Some(safeguard)
    }

    /// All that decides what it does next, for an explorer to tell two states apart by: not what it only counts, nor
    /// when sharers were heard of, which decides nothing for as long as an explorer looks.
    pub fn state(&self, out: &mut Vec<u8>) {
        let mut put = |value: f64| out.extend(value.to_bits().to_le_bytes());
        put(f64::from(self.number));
        for mine in self.mine.values() {
            put(mine.needed_at);
            put(f64::from(mine.last.0));
            for (member, ask) in &mine.asked {
                let of = [f64::from(member.0), f64::from(ask.number), ask.at, ask.units, ask.wait];
                of.into_iter().for_each(&mut put);
            }
            put(-1.0);
            for (member, (at, incarnation, number)) in &mine.askers {
                let of = [f64::from(member.0), *at, f64::from(*incarnation), f64::from(*number)];
                of.into_iter().for_each(&mut put);
            }
            put(-2.0);
        }
        for loans in [&self.given, &self.taken] {
            for loan in loans {
                let of = [f64::from(loan.with.0), f64::from(loan.number), f64::from(loan.incarnation)];
                of.into_iter().chain([loan.units, loan.until]).for_each(&mut put);
            }
            put(-3.0);
        }
    }

    /// Asks as if nothing had been asked for; what a process does that shouts.
    pub fn ask_anew(&mut self) {
        self.mine.values_mut().for_each(|mine| mine.asked.clear());
    }

    /// What is held of a member changed.
    pub fn set_member_dead(&mut self, member: MemberId, dead: bool) {
        if dead {
            self.dead.insert(member);
        } else {
            self.dead.remove(&member);
        }
    }

    pub fn is_dead(&self, member: MemberId) -> bool {
        self.dead.contains(&member)
    }

    /// Who knows the sharers of an account: the same for all that hold the same members live.
    fn knowers(&self, account: LimitId) -> Vec<MemberId> {
        let claim = |member: &MemberId| {
            let mut bytes = [0; 10];
            bytes[..8].copy_from_slice(&account.0.to_le_bytes());
            bytes[8..].copy_from_slice(&member.0.to_le_bytes());
            (xxh3_64(&bytes), *member)
        };
        highest_ranked(self.members.iter().filter(|member| !self.dead.contains(member)).map(claim), KNOWERS)
    }

    /// Remembers a sharer; whether it is new.
    pub fn shares(&mut self, now: f64, account: LimitId, member: MemberId) -> bool {
        if !self.sharers.contains_key(&account) && self.sharers.len() >= MOST_ACCOUNTS {
            return false;
        }
        let known = self.sharers.entry(account).or_default();
        if known.len() >= MOST_SHARERS && !known.contains_key(&member) {
            let oldest =
                known.iter().min_by(|one, other| one.1.total_cmp(other.1)).map(|(member, _)| *member);
            oldest.and_then(|oldest| known.remove(&oldest));
        }
        known.insert(member, now).is_none()
    }

    fn forget(&mut self, now: f64) {
        let before = self.taken.len();
        self.taken.retain(|loan| now < loan.until);
        self.counts.lapsed += (before - self.taken.len()) as u64;
        self.given.retain(|loan| now < loan.until);
        for known in self.sharers.values_mut() {
            known.retain(|_, at| now - *at < FORGET);
        }
        self.sharers.retain(|_, known| !known.is_empty());
        for mine in self.mine.values_mut() {
            mine.asked.retain(|_, ask| now - ask.at < 2.0 * MOST_WAIT);
            mine.askers.retain(|_, (at, ..)| now - *at < LENGTH);
        }
        self.mine.retain(|_, mine| now - mine.said_at < FORGET);
    }

    /// Looks at every account: says that it is here, asks for what it waits for, gives back what it does not need.
    pub fn look(&mut self, now: f64, ledger: &mut impl Ledger, out: Out) {
        self.forget(now);
        for need in ledger.limit_balances(now).into_iter().take(MOST_ACCOUNTS) {
            let account = need.limit_id;
            let fresh = Mine {
                said_at: f64::NEG_INFINITY,
                needed_at: now,
                last: self.me,
                asked: BTreeMap::new(),
                askers: BTreeMap::new(),
            };
            let mine = self.mine.entry(account).or_insert(fresh);
            if now - mine.said_at >= HERE {
                mine.said_at = now;
                for knower in self.knowers(account) {
                    if knower == self.me {
                        self.here(now, self.me, account, out);
                    } else {
                        out.push((knower, Part::Here(account)));
                    }
                }
            }
            if need.shortfall >= LEAST {
                self.ask(now, &need, out);
            } else if now - self.mine[&account].needed_at >= IDLE {
                self.give_back(now, &need, ledger, out);
            }
        }
    }

    fn ask(&mut self, now: f64, need: &LimitBalance, out: Out) {
        let others: Vec<MemberId> = self.sharers.get(&need.limit_id).map_or_else(Vec::new, |known| {
            known.keys().copied().filter(|one| *one != self.me && !self.dead.contains(one)).collect()
        });
        let Some(mine) = self.mine.get_mut(&need.limit_id) else { return };
        mine.needed_at = now;
        // What is asked of several adds up to the need, in whole units: what comes in pieces too small to be used is
        // gone for all of its time. The next look asks others, from the one behind the last on, for the rest.
        let count = (need.shortfall.ceil() as usize).clamp(1, others.len().max(1));
        let units = (need.shortfall / count as f64).max(LEAST);
        let from = others.iter().position(|member| *member > mine.last).unwrap_or(0);
        let (mut left, turn) = (count, others[from..].iter().chain(&others[..from]).copied());
        for member in turn {
            if left == 0 {
                break;
            }
            let before = mine.asked.get(&member);
            if before.is_some_and(|ask| now - ask.at < ask.wait) {
                continue;
            }
            let wait = before.map_or(AGAIN, |ask| (2.0 * ask.wait).min(MOST_WAIT));
            (left, mine.last) = (left - 1, member);
            self.number = self.number.wrapping_add(1);
            mine.asked.insert(member, Ask { number: self.number, at: now, units, wait });
            self.counts.asked += 1;
            out.push((member, Part::Ask { account: need.limit_id, number: self.number, units }));
        }
    }

    fn give_back(&mut self, now: f64, need: &LimitBalance, ledger: &mut impl Ledger, out: Out) {
        let mut spare = need.spare;
        for at in 0..self.taken.len() {
            let Loan { account, with, number, incarnation, units, until } = self.taken[at].clone();
            let units = (units.min(spare) * STEPS).floor() / STEPS;
            // A loan without an end is kept for good.
            if account != need.limit_id || units < LEAST || now >= until || until.is_infinite() {
                continue;
            }
            if ledger.transfer(now, account, -units, until) {
                spare -= units;
                self.taken[at].units -= units;
                self.counts.back += 1;
                out.push((with, Part::Back { account, number, incarnation, units }));
            }
        }
    }

    fn here(&mut self, now: f64, from: MemberId, account: LimitId, out: Out) {
        let new = self.shares(now, account, from);
        let Some(known) = self.sharers.get(&account) else { return };
        let mut others: Vec<(f64, MemberId)> =
            known.iter().filter(|(member, _)| **member != from).map(|(member, at)| (*at, *member)).collect();
        others.sort_by(|one, other| other.0.total_cmp(&one.0));
        others.truncate(MOST_TOLD);
        let others: Vec<MemberId> = others.into_iter().map(|(_, member)| member).collect();
        if new {
            let told = others.iter().filter(|member| **member != self.me);
            out.extend(told.map(|member| (*member, Part::Sharers(account, vec![from]))));
        }
        if from != self.me && !others.is_empty() {
            out.push((from, Part::Sharers(account, others)));
        }
    }

    /// What another says: in which incarnation of its, and to this one in which of its own.
    pub fn part_received(
        &mut self, now: f64, from: MemberId, (their_life, incarnation): (u32, u32), part: &Part,
        ledger: &mut impl Ledger, out: Out,
    ) {
        match part {
            Part::Here(account) => self.here(now, from, *account, out),
            Part::Sharers(account, members) => {
                if self.mine.contains_key(account) {
                    for member in members {
                        if self.members.contains(member) && *member != self.me {
                            self.shares(now, *account, *member);
                        }
                    }
                }
            }
            Part::Ask { account, number, units } => {
                self.asked(now, from, their_life, *account, *number, *units, ledger, out);
            }
            Part::Grant { account, number, incarnation: to, units } => {
                let theirs = (from, their_life);
                self.granted(now, theirs, *account, *number, *to == incarnation, *units, ledger);
            }
            Part::Back { account, number, incarnation: to, units } => {
                self.came_back(now, from, *account, *number, *to == incarnation, *units, ledger);
            }
            Part::NodeReports(_) => {}
        }
    }

    #[allow(clippy::too_many_arguments)] // fields of a message come as plain arguments
    fn asked(
        &mut self, now: f64, from: MemberId, incarnation: u32, account: LimitId, number: u32, units: f64,
        ledger: &mut impl Ledger, out: Out,
    ) {
        let Some(need) = ledger.limit_balance(now, account) else { return };
        let without_fair = self.lacks(Safeguard::Fair);
        let Some(mine) = self.mine.get_mut(&account) else { return };
        let before = mine.askers.get(&from);
        if before
            .is_some_and(|(_, known, last)| *known == incarnation && number.wrapping_sub(*last) as i32 <= 0)
        {
            return;
        }
        mine.askers.insert(from, (now, incarnation, number));
        mine.askers.retain(|_, (at, ..)| now - *at < LENGTH);
        let askers = mine.askers.len() as f64;
        self.shares(now, account, from);
        let out_to = |to: Option<MemberId>| -> f64 {
            let loans = self.given.iter().filter(|loan| loan.account == account && now < loan.until);
            loans.filter(|loan| to.is_none_or(|to| to == loan.with)).map(|loan| loan.units).sum()
        };
        // One that always asks gets its even part of what could be lent, and no more by asking more often.
        let even = (need.spare + out_to(None)) / askers.max(1.0) - out_to(Some(from));
        let most = if without_fair { need.spare } else { need.spare.min(even) };
        // In steps that the wire carries exactly.
        let units = (units.min(most) * STEPS).floor() / STEPS;
        let borrowed = self.taken.iter().any(|loan| loan.account == account && now < loan.until);
        let not_own = borrowed && !self.lacks(Safeguard::OwnOnly);
        if units < LEAST || self.given.len() >= MOST_LOANS || not_own {
            return;
        }
        let wait = if self.lacks(Safeguard::Drift) { LENGTH } else { lender_hold() };
        let until = now + wait;
        if self.lacks(Safeguard::Sum) || ledger.transfer(now, account, -units, until) {
            self.given.push(Loan { account, with: from, number, incarnation, units, until });
            self.counts.given += 1;
            self.counts.given_units += units;
            out.push((from, Part::Grant { account, number, incarnation, units }));
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn granted(
        &mut self, now: f64, (from, their_life): (MemberId, u32), account: LimitId, number: u32, ours: bool,
        units: f64, ledger: &mut impl Ledger,
    ) {
        let (any_life, any_time) = (self.lacks(Safeguard::Life), self.lacks(Safeguard::FromAsking));
        let (again, endless) = (self.lacks(Safeguard::Once), self.lacks(Safeguard::End));
        let asked = self.mine.get_mut(&account).map(|mine| &mut mine.asked);
        let ask = asked.and_then(|asked| {
            let ask = asked.get(&from).filter(|ask| ask.number == number).cloned();
            if ask.is_some() && !again {
                asked.remove(&from);
            }
            ask
        });
        let until = ask.as_ref().map_or(0.0, |ask| if any_time { now } else { ask.at } + LENGTH);
        let fits = ask.is_some_and(|ask| units <= ask.units + 1e-3);
        let until = if endless { f64::INFINITY } else { until };
        if !fits || !(ours || any_life) || now >= until || self.taken.len() >= MOST_LOANS {
            self.counts.void += 1;
            return;
        }
        if ledger.transfer(now, account, units, until) {
            self.taken.push(Loan { account, with: from, number, incarnation: their_life, units, until });
            self.counts.taken += 1;
            self.counts.taken_units += units;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn came_back(
        &mut self, now: f64, from: MemberId, account: LimitId, number: u32, ours: bool, units: f64,
        ledger: &mut impl Ledger,
    ) {
        let once = !self.lacks(Safeguard::Back);
        let loan = self.given.iter_mut().find(|loan| {
            (loan.account, loan.with, loan.number) == (account, from, number) && now < loan.until
        });
        let Some(loan) = loan.filter(|_| ours) else { return };
        let units = units.min(loan.units);
        if units > 0.0 && ledger.transfer(now, account, units, loan.until) && once {
            loan.units -= units;
        }
    }
}
