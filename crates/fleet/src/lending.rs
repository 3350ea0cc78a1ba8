//! Lending of units between initiators. A volume's limit is divided evenly: each initiator has an even part of it. An
//! initiator that does not need its part lends units to one that has too few, for [`LOAN_SECONDS`]; loans expire
//! without a message.
//!
//! The lender takes the units out of its token bucket before it sends the grant. The units, and the room that they
//! took in the bucket, stay deducted until they have certainly expired at the borrower ([`lender_hold`]). The
//! borrower counts the loan's time from its own request, so the loan expires at the borrower first, however late the
//! grant arrives. So at no time do the buckets and the loans in transit hold more than all even parts together,
//! whatever messages are lost, late or repeated and whichever processes are stalled or restarted; a lender that
//! restarts without memory does not refill its bucket for the same time. The argument is in `docs/design/lending.md`;
//! [`crate::explore`] searches all small cases.
//!
//! No list says which initiators share a limit. Each initiator that uses a limit announces it to two members, the
//! trackers, which all initiators derive from the limit's id; the trackers tell the sharers of each other.

use std::collections::{BTreeMap, BTreeSet};

use quaypath::types::{LimitBalance, LimitId};
use xxhash_rust::xxh3::xxh3_64;

use crate::duty::highest_ranked;
use crate::signal::Part;
use crate::MemberId;

/// Time of a loan, seconds on the borrower's clock. It is some tens of round trips of the slowest messages, and short,
/// because a process that restarts holds its units back for as long.
pub const LOAN_SECONDS: f64 = 0.5;
/// Maximum deviation of the rate of a clock from true time, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.05;
/// Seconds between two reviews of all limits.
pub const REVIEW_INTERVAL: f64 = 0.1;
/// Seconds after which an unanswered request is repeated; each further wait is twice as long.
const FIRST_RETRY_WAIT: f64 = 0.2;
/// Maximum wait in seconds before a request is repeated.
const MAX_RETRY_WAIT: f64 = 2.0;
/// Seconds without a shortfall after which the remaining units of a loan are returned.
const RETURN_AFTER: f64 = 0.2;
/// Seconds between two announcements of a sharer.
const ANNOUNCE_INTERVAL: f64 = 4.0;
/// Seconds without an announcement after which a sharer is forgotten.
const SHARER_EXPIRY: f64 = 3.0 * ANNOUNCE_INTERVAL;
/// Number of members that track the sharers of one limit.
const TRACKERS: usize = 2;
/// Maximum number of sharers recorded for one limit.
const MAX_SHARERS: usize = 32;
/// Maximum number of sharers in one message.
pub const MAX_SHARERS_SENT: usize = 16;
/// Maximum number of limits that are tracked for others, and maximum number that this member itself lends and borrows.
const MAX_LIMITS: usize = 4096;
/// Maximum number of loans that are granted, and that are borrowed, at one time.
const MAX_LOANS: usize = 1024;
/// Minimum units of a request or loan; fewer are not worth a message.
const MIN_UNITS: f64 = 0.5;
/// Loans are counted in steps of this fraction of a unit, which the message format carries exactly.
const STEPS_PER_UNIT: f64 = 64.0;

/// Seconds on the lender's clock during which lent units stay deducted: the lender's clock may run fast and the
/// borrower's slow.
pub fn lender_hold() -> f64 {
    LOAN_SECONDS * (1.0 + MAX_CLOCK_DRIFT) / (1.0 - MAX_CLOCK_DRIFT)
}

/// A mechanism that a guarantee of lending or signals depends on. Each can be disabled to show that a test notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Safeguard {
    /// The borrower counts the loan's time from its request, not from the arrival of the grant.
    ExpiryFromRequest,
    /// The lender allows for the worst deviation of both clocks.
    ClockDrift,
    /// A grant is accepted once.
    GrantOnce,
    /// A grant to an earlier incarnation of the borrower is not accepted.
    Incarnation,
    /// A process that restarts does not refill its bucket until loans that it may have granted have expired.
    RestartHold,
    /// Returned units are counted once.
    ReturnOnce,
    /// Loans expire.
    Expiry,
    /// Lent units are taken out of the lender's bucket.
    Deduction,
    /// Borrowed units are not lent on. When they expire, the room that was lent on with them would belong to nobody.
    OwnUnitsOnly,
    /// Reports that arrived before are not counted again.
    DuplicateReports,
    /// Reports are weighted by the time of their measurement.
    ReportAge,
    /// One borrower gets at most an even part of the spare units.
    FairShare,
}

impl Safeguard {
    /// All safeguards with their names on the command line.
    pub const ALL: [(&'static str, Safeguard); 12] = [
        ("from-asking", Safeguard::ExpiryFromRequest),
        ("drift", Safeguard::ClockDrift),
        ("once", Safeguard::GrantOnce),
        ("life", Safeguard::Incarnation),
        ("hold", Safeguard::RestartHold),
        ("back", Safeguard::ReturnOnce),
        ("end", Safeguard::Expiry),
        ("sum", Safeguard::Deduction),
        ("own-only", Safeguard::OwnUnitsOnly),
        ("repeats", Safeguard::DuplicateReports),
        ("age", Safeguard::ReportAge),
        ("fair", Safeguard::FairShare),
    ];
}

/// The token buckets that units are moved between: those of the decision core, the explorer or a test.
pub trait Ledger {
    /// The limits that are shared with other initiators, with the spare units and the shortfall of each.
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance>;
    /// The balance of one limit, none if it is not used here.
    fn limit_balance(&mut self, now: f64, limit_id: LimitId) -> Option<LimitBalance> {
        self.limit_balances(now).into_iter().find(|balance| balance.limit_id == limit_id)
    }
    /// Adds units to the bucket of a limit, or takes them out if `units` is below zero; they count until `expires_at`.
    /// Returns false and changes nothing if the bucket does not hold the units.
    fn transfer(&mut self, now: f64, limit_id: LimitId, units: f64, expires_at: f64) -> bool;
}

/// A request for units that was sent to one member.
#[derive(Clone, Debug, PartialEq)]
struct Request {
    number: u32,
    sent_at: f64,
    units: f64,
    /// Seconds until the request is repeated; grows with each unanswered request.
    retry_wait: f64,
}

/// Units that were granted to, or borrowed from, another member.
#[derive(Clone, Debug, PartialEq)]
struct Loan {
    limit_id: LimitId,
    partner: MemberId,
    /// Number of the borrower's request.
    number: u32,
    /// Incarnation of the other member.
    incarnation: u32,
    units: f64,
    expires_at: f64,
}

/// A limit that this member shares.
#[derive(Clone, Debug, PartialEq)]
struct OwnLimit {
    announced_at: f64,
    last_shortfall_at: f64,
    /// Member that was sent a request last.
    last_asked: MemberId,
    /// Latest request to each member.
    requests: BTreeMap<MemberId, Request>,
    /// Latest request of each other member: when it arrived, the member's incarnation, the request's number.
    requesters: BTreeMap<MemberId, (f64, u32, u32)>,
}

/// Counters of lending since the start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct LendingCounts {
    /// Requests sent.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Loans granted, and their units.
    #[serde(rename = "given")]
    pub granted: u64,
    #[serde(rename = "given_units")]
    pub granted_units: f64,
    /// Loans borrowed, and their units.
    #[serde(rename = "taken")]
    pub borrowed: u64,
    #[serde(rename = "taken_units")]
    pub borrowed_units: f64,
    /// Returns of borrowed units.
    #[serde(rename = "back")]
    pub returned: u64,
    /// Grants that arrived too late, twice, or for an earlier incarnation.
    pub void: u64,
    /// Borrowed loans that expired.
    #[serde(rename = "lapsed")]
    pub expired: u64,
}

/// Lending of one initiator: what it announces, requests, grants and returns.
#[derive(Clone, Debug, PartialEq)]
pub struct Lending {
    own_id: MemberId,
    members: Vec<MemberId>,
    disabled_safeguard: Option<Safeguard>,
    /// Members that are recorded as dead. They get no requests, and other members track sharers in their place.
    dead: BTreeSet<MemberId>,
    /// Number of the last request.
    number: u32,
    own_limits: BTreeMap<LimitId, OwnLimit>,
    /// For each limit: its sharers, and when each was announced last.
    sharers: BTreeMap<LimitId, BTreeMap<MemberId, f64>>,
    granted: Vec<Loan>,
    borrowed: Vec<Loan>,
    pub counts: LendingCounts,
}

/// Parts of messages to send, with their receivers.
type Out<'a> = &'a mut Vec<(MemberId, Part)>;

impl Lending {
    /// Lending of a member that has granted and borrowed nothing yet.
    pub fn new(own_id: MemberId, members: Vec<MemberId>, disabled_safeguard: Option<Safeguard>) -> Lending {
        Lending {
            own_id,
            members,
            disabled_safeguard,
            dead: BTreeSet::new(),
            number: 0,
            own_limits: BTreeMap::new(),
            sharers: BTreeMap::new(),
            granted: Vec::new(),
            borrowed: Vec::new(),
            counts: LendingCounts::default(),
        }
    }

    fn lacks(&self, safeguard: Safeguard) -> bool {
        self.disabled_safeguard == Some(safeguard)
    }

    /// Appends all state that decides what this initiator does next, by which an explorer tells two states apart.
    /// Leaves out counters, and the times of announcements, which decide nothing within the time that an explorer
    /// covers.
    pub fn encode_state(&self, out: &mut Vec<u8>) {
        let mut put = |value: f64| out.extend(value.to_bits().to_le_bytes());
        put(f64::from(self.number));
        for own_limit in self.own_limits.values() {
            put(own_limit.last_shortfall_at);
            put(f64::from(own_limit.last_asked.0));
            for (member, request) in &own_limit.requests {
                let values = [
                    f64::from(member.0),
                    f64::from(request.number),
                    request.sent_at,
                    request.units,
                    request.retry_wait,
                ];
                values.into_iter().for_each(&mut put);
            }
            put(-1.0);
            for (member, (at, incarnation, number)) in &own_limit.requesters {
                let values = [f64::from(member.0), *at, f64::from(*incarnation), f64::from(*number)];
                values.into_iter().for_each(&mut put);
            }
            put(-2.0);
        }
        for loans in [&self.granted, &self.borrowed] {
            for loan in loans {
                let values = [f64::from(loan.partner.0), f64::from(loan.number), f64::from(loan.incarnation)];
                values.into_iter().chain([loan.units, loan.expires_at]).for_each(&mut put);
            }
            put(-3.0);
        }
    }

    /// Forgets all own requests, so that they are sent again at once. Used for a faulty process that always claims
    /// units.
    pub fn forget_requests(&mut self) {
        self.own_limits.values_mut().for_each(|own_limit| own_limit.requests.clear());
    }

    /// Records whether a member is dead.
    pub fn set_member_dead(&mut self, member: MemberId, dead: bool) {
        if dead {
            self.dead.insert(member);
        } else {
            self.dead.remove(&member);
        }
    }

    /// Whether a member is recorded as dead.
    pub fn is_dead(&self, member: MemberId) -> bool {
        self.dead.contains(&member)
    }

    /// The members that track the sharers of a limit: the same at all members that record the same members as dead.
    fn trackers(&self, limit_id: LimitId) -> Vec<MemberId> {
        let claim = |member: &MemberId| {
            let mut bytes = [0; 10];
            bytes[..8].copy_from_slice(&limit_id.0.to_le_bytes());
            bytes[8..].copy_from_slice(&member.0.to_le_bytes());
            (xxh3_64(&bytes), *member)
        };
        highest_ranked(self.members.iter().filter(|member| !self.dead.contains(member)).map(claim), TRACKERS)
    }

    /// Records a sharer of a limit. Returns whether it is new.
    pub fn record_sharer(&mut self, now: f64, limit_id: LimitId, member: MemberId) -> bool {
        if !self.sharers.contains_key(&limit_id) && self.sharers.len() >= MAX_LIMITS {
            return false;
        }
        let known = self.sharers.entry(limit_id).or_default();
        if known.len() >= MAX_SHARERS && !known.contains_key(&member) {
            let oldest = known.iter().min_by(|a, b| a.1.total_cmp(b.1)).map(|(member, _)| *member);
            oldest.and_then(|oldest| known.remove(&oldest));
        }
        known.insert(member, now).is_none()
    }

    /// Removes expired loans, sharers, requests and limits.
    fn expire(&mut self, now: f64) {
        let before = self.borrowed.len();
        self.borrowed.retain(|loan| now < loan.expires_at);
        self.counts.expired += (before - self.borrowed.len()) as u64;
        self.granted.retain(|loan| now < loan.expires_at);
        for known in self.sharers.values_mut() {
            known.retain(|_, at| now - *at < SHARER_EXPIRY);
        }
        self.sharers.retain(|_, known| !known.is_empty());
        for own_limit in self.own_limits.values_mut() {
            own_limit.requests.retain(|_, request| now - request.sent_at < 2.0 * MAX_RETRY_WAIT);
            own_limit.requesters.retain(|_, (at, ..)| now - *at < LOAN_SECONDS);
        }
        self.own_limits.retain(|_, own_limit| now - own_limit.announced_at < SHARER_EXPIRY);
    }

    /// Reviews all limits: announces this member as a sharer, requests units for a shortfall, returns borrowed units
    /// that are not needed.
    pub fn review(&mut self, now: f64, ledger: &mut impl Ledger, out: Out) {
        self.expire(now);
        for balance in ledger.limit_balances(now).into_iter().take(MAX_LIMITS) {
            let limit_id = balance.limit_id;
            let fresh = OwnLimit {
                announced_at: f64::NEG_INFINITY,
                last_shortfall_at: now,
                last_asked: self.own_id,
                requests: BTreeMap::new(),
                requesters: BTreeMap::new(),
            };
            let own_limit = self.own_limits.entry(limit_id).or_insert(fresh);
            if now - own_limit.announced_at >= ANNOUNCE_INTERVAL {
                own_limit.announced_at = now;
                for tracker in self.trackers(limit_id) {
                    if tracker == self.own_id {
                        self.announcement_received(now, self.own_id, limit_id, out);
                    } else {
                        out.push((tracker, Part::Announcement(limit_id)));
                    }
                }
            }
            if balance.shortfall >= MIN_UNITS {
                self.send_requests(now, &balance, out);
            } else if now - self.own_limits[&limit_id].last_shortfall_at >= RETURN_AFTER {
                self.return_units(now, &balance, ledger, out);
            }
        }
    }

    fn send_requests(&mut self, now: f64, balance: &LimitBalance, out: Out) {
        let others: Vec<MemberId> = self.sharers.get(&balance.limit_id).map_or_else(Vec::new, |known| {
            known
                .keys()
                .copied()
                .filter(|member| *member != self.own_id && !self.dead.contains(member))
                .collect()
        });
        let Some(own_limit) = self.own_limits.get_mut(&balance.limit_id) else { return };
        own_limit.last_shortfall_at = now;
        // The requests to several members add up to the shortfall, in whole units, because pieces too small to be used
        // are lost until they expire. The next review sends requests for the remaining shortfall, beginning with the
        // member after the last one asked.
        let count = (balance.shortfall.ceil() as usize).clamp(1, others.len().max(1));
        let units = (balance.shortfall / count as f64).max(MIN_UNITS);
        let first = others.iter().position(|member| *member > own_limit.last_asked).unwrap_or(0);
        let (mut remaining, in_turn) = (count, others[first..].iter().chain(&others[..first]).copied());
        for member in in_turn {
            if remaining == 0 {
                break;
            }
            let previous = own_limit.requests.get(&member);
            if previous.is_some_and(|request| now - request.sent_at < request.retry_wait) {
                continue;
            }
            let retry_wait =
                previous.map_or(FIRST_RETRY_WAIT, |request| (2.0 * request.retry_wait).min(MAX_RETRY_WAIT));
            (remaining, own_limit.last_asked) = (remaining - 1, member);
            self.number = self.number.wrapping_add(1);
            own_limit
                .requests
                .insert(member, Request { number: self.number, sent_at: now, units, retry_wait });
            self.counts.requests += 1;
            out.push((member, Part::Request { limit_id: balance.limit_id, number: self.number, units }));
        }
    }

    fn return_units(&mut self, now: f64, balance: &LimitBalance, ledger: &mut impl Ledger, out: Out) {
        let mut spare = balance.spare;
        for index in 0..self.borrowed.len() {
            let Loan { limit_id, partner, number, incarnation, units, expires_at } =
                self.borrowed[index].clone();
            let units = (units.min(spare) * STEPS_PER_UNIT).floor() / STEPS_PER_UNIT;
            // A loan that does not expire (with the expiry safeguard disabled) is not returned.
            if limit_id != balance.limit_id
                || units < MIN_UNITS
                || now >= expires_at
                || expires_at.is_infinite()
            {
                continue;
            }
            if ledger.transfer(now, limit_id, -units, expires_at) {
                spare -= units;
                self.borrowed[index].units -= units;
                self.counts.returned += 1;
                out.push((partner, Part::Return { limit_id, number, incarnation, units }));
            }
        }
    }

    /// Handles the announcement of a sharer: tells the other sharers of a new one, and the announcing one of the
    /// others.
    fn announcement_received(&mut self, now: f64, sender: MemberId, limit_id: LimitId, out: Out) {
        let is_new = self.record_sharer(now, limit_id, sender);
        let Some(known) = self.sharers.get(&limit_id) else { return };
        let mut others: Vec<(f64, MemberId)> = known
            .iter()
            .filter(|(member, _)| **member != sender)
            .map(|(member, at)| (*at, *member))
            .collect();
        others.sort_by(|a, b| b.0.total_cmp(&a.0));
        others.truncate(MAX_SHARERS_SENT);
        let others: Vec<MemberId> = others.into_iter().map(|(_, member)| member).collect();
        if is_new {
            let receivers = others.iter().filter(|member| **member != self.own_id);
            out.extend(receivers.map(|member| (*member, Part::Sharers(limit_id, vec![sender]))));
        }
        if sender != self.own_id && !others.is_empty() {
            out.push((sender, Part::Sharers(limit_id, others)));
        }
    }

    /// Handles a part of a message: with the incarnation of its sender and that of this process.
    pub fn part_received(
        &mut self, now: f64, sender: MemberId, (sender_incarnation, own_incarnation): (u32, u32),
        part: &Part, ledger: &mut impl Ledger, out: Out,
    ) {
        match part {
            Part::Announcement(limit_id) => self.announcement_received(now, sender, *limit_id, out),
            Part::Sharers(limit_id, members) => {
                if self.own_limits.contains_key(limit_id) {
                    for member in members {
                        if self.members.contains(member) && *member != self.own_id {
                            self.record_sharer(now, *limit_id, *member);
                        }
                    }
                }
            }
            Part::Request { limit_id, number, units } => {
                self.request_received(
                    now,
                    sender,
                    sender_incarnation,
                    *limit_id,
                    *number,
                    *units,
                    ledger,
                    out,
                );
            }
            Part::Grant { limit_id, number, incarnation: receiver, units } => {
                let lender = (sender, sender_incarnation);
                self.grant_received(
                    now,
                    lender,
                    *limit_id,
                    *number,
                    *receiver == own_incarnation,
                    *units,
                    ledger,
                );
            }
            Part::Return { limit_id, number, incarnation: receiver, units } => {
                self.return_received(
                    now,
                    sender,
                    *limit_id,
                    *number,
                    *receiver == own_incarnation,
                    *units,
                    ledger,
                );
            }
            Part::NodeReports(_) => {}
        }
    }

    #[allow(clippy::too_many_arguments)] // the fields of a message are passed as plain arguments
    fn request_received(
        &mut self, now: f64, sender: MemberId, incarnation: u32, limit_id: LimitId, number: u32, units: f64,
        ledger: &mut impl Ledger, out: Out,
    ) {
        let Some(balance) = ledger.limit_balance(now, limit_id) else { return };
        let without_fair_share = self.lacks(Safeguard::FairShare);
        let Some(own_limit) = self.own_limits.get_mut(&limit_id) else { return };
        let previous = own_limit.requesters.get(&sender);
        if previous
            .is_some_and(|(_, known, last)| *known == incarnation && number.wrapping_sub(*last) as i32 <= 0)
        {
            return;
        }
        own_limit.requesters.insert(sender, (now, incarnation, number));
        own_limit.requesters.retain(|_, (at, ..)| now - *at < LOAN_SECONDS);
        let requesters = own_limit.requesters.len() as f64;
        self.record_sharer(now, limit_id, sender);
        let lent_to = |borrower: Option<MemberId>| -> f64 {
            let loans = self.granted.iter().filter(|loan| loan.limit_id == limit_id && now < loan.expires_at);
            loans
                .filter(|loan| borrower.is_none_or(|borrower| borrower == loan.partner))
                .map(|loan| loan.units)
                .sum()
        };
        // A member that always sends requests gets its even part of the units that can be lent, and no more by sending
        // more requests.
        let fair_share = (balance.spare + lent_to(None)) / requesters.max(1.0) - lent_to(Some(sender));
        let available = if without_fair_share { balance.spare } else { balance.spare.min(fair_share) };
        // Rounded down to steps that the message format carries exactly.
        let units = (units.min(available) * STEPS_PER_UNIT).floor() / STEPS_PER_UNIT;
        let borrows = self.borrowed.iter().any(|loan| loan.limit_id == limit_id && now < loan.expires_at);
        let not_own = borrows && !self.lacks(Safeguard::OwnUnitsOnly);
        if units < MIN_UNITS || self.granted.len() >= MAX_LOANS || not_own {
            return;
        }
        let hold = if self.lacks(Safeguard::ClockDrift) { LOAN_SECONDS } else { lender_hold() };
        let expires_at = now + hold;
        if self.lacks(Safeguard::Deduction) || ledger.transfer(now, limit_id, -units, expires_at) {
            self.granted.push(Loan { limit_id, partner: sender, number, incarnation, units, expires_at });
            self.counts.granted += 1;
            self.counts.granted_units += units;
            out.push((sender, Part::Grant { limit_id, number, incarnation, units }));
        }
    }

    /// Handles a grant. `is_current` tells whether it is for the current incarnation of this process.
    #[allow(clippy::too_many_arguments)]
    fn grant_received(
        &mut self, now: f64, (lender, lender_incarnation): (MemberId, u32), limit_id: LimitId, number: u32,
        is_current: bool, units: f64, ledger: &mut impl Ledger,
    ) {
        let (any_incarnation, from_arrival) =
            (self.lacks(Safeguard::Incarnation), self.lacks(Safeguard::ExpiryFromRequest));
        let (repeatedly, endless) = (self.lacks(Safeguard::GrantOnce), self.lacks(Safeguard::Expiry));
        let requests = self.own_limits.get_mut(&limit_id).map(|own_limit| &mut own_limit.requests);
        let request = requests.and_then(|requests| {
            let request = requests.get(&lender).filter(|request| request.number == number).cloned();
            if request.is_some() && !repeatedly {
                requests.remove(&lender);
            }
            request
        });
        let expires_at = request
            .as_ref()
            .map_or(0.0, |request| if from_arrival { now } else { request.sent_at } + LOAN_SECONDS);
        let was_requested = request.is_some_and(|request| units <= request.units + 1e-3);
        let expires_at = if endless { f64::INFINITY } else { expires_at };
        if !was_requested
            || !(is_current || any_incarnation)
            || now >= expires_at
            || self.borrowed.len() >= MAX_LOANS
        {
            self.counts.void += 1;
            return;
        }
        if ledger.transfer(now, limit_id, units, expires_at) {
            self.borrowed.push(Loan {
                limit_id,
                partner: lender,
                number,
                incarnation: lender_incarnation,
                units,
                expires_at,
            });
            self.counts.borrowed += 1;
            self.counts.borrowed_units += units;
        }
    }

    /// Handles returned units. `is_current` tells whether they are for the current incarnation of this process.
    #[allow(clippy::too_many_arguments)]
    fn return_received(
        &mut self, now: f64, sender: MemberId, limit_id: LimitId, number: u32, is_current: bool, units: f64,
        ledger: &mut impl Ledger,
    ) {
        let once = !self.lacks(Safeguard::ReturnOnce);
        let loan = self.granted.iter_mut().find(|loan| {
            (loan.limit_id, loan.partner, loan.number) == (limit_id, sender, number) && now < loan.expires_at
        });
        let Some(loan) = loan.filter(|_| is_current) else { return };
        let units = units.min(loan.units);
        if units > 0.0 && ledger.transfer(now, limit_id, units, loan.expires_at) && once {
            loan.units -= units;
        }
    }
}
