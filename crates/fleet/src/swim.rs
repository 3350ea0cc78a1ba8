//! One member of a fleet, after SWIM and Lifeguard: it checks the other members in turn, suspects a member before it
//! records it as dead, refutes suspicions of itself, attaches updates to its datagrams, sends pages of its membership
//! table at intervals, and runs its duties.
//!
//! Each period has one check. If a check is not answered within the timeout, some other members (helpers) are asked to
//! check the same member. If they get no answer either, the member is suspected. It is recorded as dead only if it does
//! not refute the suspicion within a time that shrinks with each further member that suspects it. A process that was
//! stalled suspects no member because of datagrams that it missed, checks more slowly for a while, and waits before it
//! runs duties.

use nanorand::{Rng, WyRand};

use crate::config::{FleetConfig, MemberEntry, Safeguard, MAX_MEMBERS};
use crate::duty::Duties;
use crate::membership::{Change, MembershipTable};
use crate::message::{DecodeError, MemberUpdate, Message, MessageKind, MAX_PAGE_UPDATES, NOBODY};
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

/// Maximum slowdown of the checks, in steps, while this process itself seems slow.
const MAX_SLOWDOWN: u32 = 3;
/// Periods without a datagram after which a process changes its standing to alone.
const ALONE_AFTER_PERIODS: f64 = 6.0;
/// Periods between two pages of the membership table.
const PAGE_INTERVAL_PERIODS: f64 = 2.0;
/// Minimum suspicion timeout, in periods, multiplied by the decimal logarithm of the number of live members.
const MIN_SUSPICION_PERIODS: f64 = 3.0;
/// Maximum suspicion timeout, as a multiple of the minimum.
const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Maximum number of ping requests of other members that are outstanding here; further ones are ignored.
const MAX_PING_REQUESTS: usize = 64;
/// Number of different incarnations for one millisecond of the wall clock; a process draws one of them at random.
const INCARNATIONS_PER_MS: u64 = 1 << 16;
/// Maximum number of answers to other members in one period, so that a process that resumes with a full socket buffer
/// does not send a flood of answers.
const MAX_ANSWERS_PER_PERIOD: usize = 24;
/// How often a process that started recently may raise its incarnation above another one of its member number.
const MAX_RAISES_RECENT: u32 = 3;
/// How often an older process may do so.
const MAX_RAISES_OLD: u32 = 1;
/// Takeover windows after its start during which a process counts as started recently.
const RECENT_START_WINDOWS: f64 = 5.0;
/// Number of members that a process which receives nothing contacts at once.
const CONTACTS_WHEN_ALONE: usize = 3;

/// The liveness check of the current period.
struct Check {
    target: MemberId,
    id: u32,
    started_at: f64,
    /// Number of helpers that were asked, and of those that reported that they got no answer either.
    helpers: usize,
    nacks: usize,
    answered: bool,
}

/// A check that this process makes at the request of another member.
struct HelperCheck {
    check_id: u32,
    requester: MemberId,
    target: MemberId,
    /// When the requester is told that there is no answer yet.
    nack_at: f64,
}

/// A member of the fleet.
pub struct SwimMember {
    config: FleetConfig,
    incarnation: u64,
    refutation: u32,
    /// How often this process may still raise its incarnation above another one of its member number. The other one
    /// may be left over from its own previous process, from before the wall clock was set back, or belong to a
    /// process that is running. Of two running processes, each raises its incarnation above the other's until one has
    /// no raises left; then one of them stays, usually the one that started later.
    raises_left: u32,
    started: f64,
    standing: Standing,
    table: MembershipTable,
    duties: Duties,
    rng: WyRand,
    /// Slowdown of the checks; each step makes the period and the timeout longer by their configured value.
    slowdown: u32,
    /// Members that are still to be checked in the current round, the next one last.
    check_queue: Vec<MemberId>,
    check: Option<Check>,
    helper_checks: Vec<HelperCheck>,
    next_check_at: f64,
    next_page_at: f64,
    /// Pages that this process still requests after joining.
    pages_to_request: usize,
    /// Missing member that was sent a page last.
    last_missing: MemberId,
    last_received_at: f64,
    /// No duties are run before this time.
    duties_from: f64,
    sequence: u32,
    /// Start of the current answer period, and the number of answers sent in it.
    answers: (f64, usize),
    counts: Counts,
    now: f64,
    out: Vec<Action>,
}

impl SwimMember {
    /// Starts a member at `now`; its standing is alone. `since_epoch` is the wall clock in seconds. Its time and a
    /// random number give an incarnation above all earlier ones of this member number. If the wall clock was set
    /// back, the incarnation is raised once other members report the earlier one.
    pub fn start(now: f64, since_epoch: f64, seed: u64, config: FleetConfig) -> SwimMember {
        let mut rng = WyRand::new_seed(seed);
        let members: Vec<MemberId> =
            config.members.iter().map(|entry| entry.member).take(MAX_MEMBERS).collect();
        let weight =
            config.members.iter().find(|entry| entry.member == config.own_id).map_or(1, |entry| entry.weight);
        let ms = (since_epoch.max(0.0) * 1e3) as u64;
        let has_incarnations = config.disabled_safeguard != Some(Safeguard::Incarnation);
        let incarnation = if has_incarnations {
            ms * INCARNATIONS_PER_MS + rng.generate_range(0..INCARNATIONS_PER_MS)
        } else {
            1
        };
        let yields = config.disabled_safeguard != Some(Safeguard::Yield);
        let spread = rng.generate::<f64>() * config.check_period;
        let duty_delay = if config.disabled_safeguard == Some(Safeguard::TakeoverWindow) {
            0.0
        } else {
            config.takeover_window
        };
        let mut this = SwimMember {
            incarnation,
            refutation: 0,
            raises_left: MAX_RAISES_RECENT,
            started: now,
            standing: Standing::Alone,
            table: MembershipTable::new(members.into_iter()),
            duties: Duties::new(now, config.own_id, weight, config.duty_interval, yields),
            rng,
            slowdown: 0,
            check_queue: Vec::new(),
            check: None,
            helper_checks: Vec::new(),
            next_check_at: now + spread,
            next_page_at: now + spread,
            pages_to_request: 0,
            last_missing: MemberId(0),
            last_received_at: f64::NEG_INFINITY,
            duties_from: now + duty_delay,
            sequence: 0,
            answers: (now, 0),
            counts: Counts::default(),
            now,
            out: Vec::new(),
            config,
        };
        this.table.apply(now, &this.own_update(Status::Alive));
        this
    }

    /// Incarnation of this process.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Status that is recorded for a member, none if nothing is known of it.
    pub fn status(&self, member: MemberId) -> Option<Status> {
        self.table.get(member).map(|record| record.status)
    }

    /// An update of this process itself.
    fn own_update(&self, status: Status) -> MemberUpdate {
        let (member, incarnation, refutation) = (self.config.own_id, self.incarnation, self.refutation);
        MemberUpdate { member, incarnation, refutation, status, suspected_by: NOBODY }
    }

    /// Check period in seconds, with the slowdown.
    fn period(&self) -> f64 {
        self.config.check_period * f64::from(1 + self.slowdown)
    }

    /// Time that a check waits for its answer in seconds, with the slowdown.
    fn ack_timeout(&self) -> f64 {
        self.config.ack_timeout * f64::from(1 + self.slowdown)
    }

    fn slow_down(&mut self) {
        self.slowdown = (self.slowdown + 1).min(MAX_SLOWDOWN);
    }

    /// Number of datagrams that one change is sent in.
    fn max_sends(&self) -> u8 {
        (3.0 * (self.table.live_count() as f64 + 1.0).log2().ceil()).clamp(3.0, 40.0) as u8
    }

    fn set_standing(&mut self, standing: Standing) {
        if std::mem::replace(&mut self.standing, standing) != standing {
            self.out.push(Action::StandingChanged(standing));
        }
    }

    /// Seconds from a suspicion by this many members until the suspected member is recorded as dead.
    fn suspicion_timeout(&self, suspectors: usize) -> f64 {
        let shortest = MIN_SUSPICION_PERIODS
            * (self.table.live_count().max(10) as f64).log10()
            * self.config.check_period;
        let (longest, wanted) = (MAX_SUSPICION_FACTOR * shortest, self.config.helpers.max(1) as f64);
        let confirmed = suspectors.clamp(1, self.config.helpers + 1) as f64;
        (longest - (longest - shortest) * confirmed.ln() / (wanted + 1.0).ln()).max(shortest)
    }

    // Outgoing datagrams.

    /// Like [`SwimMember::send`], for answers to other members; drops answers above [`MAX_ANSWERS_PER_PERIOD`].
    fn answer(
        &mut self, to: MemberId, kind: MessageKind, check_id: u32, member: MemberId, wants_reply: bool,
    ) {
        if self.now >= self.answers.0 + self.config.check_period {
            self.answers = (self.now, 0);
        }
        if self.answers.1 < MAX_ANSWERS_PER_PERIOD {
            self.answers.1 += 1;
            self.send(to, kind, check_id, member, wants_reply);
        }
    }

    /// Sends a message with the updates and duty results that are due to be sent, or with a page of the table.
    fn send(&mut self, to: MemberId, kind: MessageKind, check_id: u32, member: MemberId, wants_reply: bool) {
        let max_sends = self.max_sends();
        let (updates, duty_results) = if kind == MessageKind::StatePage {
            let mut page = self.table.next_page(MAX_PAGE_UPDATES);
            // What the receiver has to know of itself goes first, whichever page it is.
            if let Some(own) = self.table.update_of(to).filter(|own| !page.contains(own)) {
                page.truncate(MAX_PAGE_UPDATES - 1);
                page.insert(0, own);
            }
            (page, Vec::new())
        } else {
            (self.table.updates_for(to, max_sends), self.duties.results_for_datagram(self.now, max_sends))
        };
        self.sequence = self.sequence.wrapping_add(1);
        let (sender, incarnation, refutation, sequence) =
            (self.config.own_id, self.incarnation, self.refutation, self.sequence);
        let signal = Vec::new();
        self.send_message(
            to,
            Message {
                kind,
                sender,
                incarnation,
                refutation,
                sequence,
                check_id,
                member,
                wants_reply,
                updates,
                duty_results,
                signal,
            },
        );
    }

    fn send_message(&mut self, to: MemberId, message: Message) {
        let bytes = message.encode(self.config.fleet);
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.out.push(Action::SendDatagram(to, bytes));
    }

    /// A random choice of at most `limit` of these members.
    fn sample(&mut self, mut members: Vec<MemberId>, limit: usize) -> Vec<MemberId> {
        self.rng.shuffle(&mut members);
        members.truncate(limit);
        members
    }

    /// Live members other than this one.
    fn others(&self) -> Vec<MemberId> {
        self.table.live_members().filter(|member| *member != self.config.own_id).collect()
    }

    // Incoming datagrams.

    /// Applies an update of a member, from any sender.
    fn apply(&mut self, update: &MemberUpdate) {
        if update.member == self.config.own_id {
            return self.apply_to_self(update);
        }
        let before = self.table.get(update.member).map(|record| record.incarnation);
        match self.table.apply(self.now, update) {
            Change::StatusChanged(previous)
                if previous != Some(update.status) || before != Some(update.incarnation) =>
            {
                match (previous, update.status) {
                    (_, Status::Suspect) => self.counts.suspected += 1,
                    (Some(Status::Suspect), Status::Alive) => self.counts.cleared += 1,
                    (_, Status::Dead) => self.counts.died += 1,
                    _ => {}
                }
                // A member that is new or returned is checked in the current round already: in a large fleet, a round
                // takes minutes.
                let joined = previous.is_none_or(|status| status > Status::Suspect)
                    && update.status <= Status::Suspect;
                if joined && !self.check_queue.is_empty() {
                    let index = self.rng.generate_range(0..=self.check_queue.len());
                    self.check_queue.insert(index, update.member);
                }
                self.out.push(Action::MemberStatusChanged(update.member, update.status));
                self.duties.recheck(self.now);
            }
            Change::StatusChanged(_) | Change::SuspicionConfirmed | Change::Unchanged => {}
        }
    }

    /// Applies an update of this member number: refutes a suspicion of this process, or makes way for a later
    /// incarnation.
    fn apply_to_self(&mut self, update: &MemberUpdate) {
        let disabled = self.config.disabled_safeguard;
        if update.incarnation > self.incarnation {
            if self.now - self.started > RECENT_START_WINDOWS * self.config.takeover_window {
                self.raises_left = self.raises_left.min(MAX_RAISES_OLD);
            }
            let name_is_free = update.status >= Status::Dead && self.standing == Standing::Displaced;
            if self.raises_left > 0 || name_is_free || disabled == Some(Safeguard::DuplicateProcess) {
                // The low bits are random: two processes that both exceed this incarnation must not get the same one.
                let low_bits = self.rng.generate_range(0..INCARNATIONS_PER_MS);
                let higher = (update.incarnation | (INCARNATIONS_PER_MS - 1)).saturating_add(1 + low_bits);
                (self.incarnation, self.refutation, self.raises_left) =
                    (higher, 0, self.raises_left.saturating_sub(1));
                self.table.apply(self.now, &self.own_update(Status::Alive));
                if name_is_free {
                    (self.next_check_at, self.next_page_at) = (self.now, self.now);
                    self.delay_duties(self.config.takeover_window);
                    self.set_standing(Standing::Alone);
                }
            } else {
                self.check = None;
                self.set_standing(Standing::Displaced);
            }
            return;
        }
        if update.incarnation < self.incarnation {
            return;
        }
        let suspected = update.status != Status::Alive || update.refutation > self.refutation;
        if suspected && update.refutation >= self.refutation && disabled != Some(Safeguard::Refutation) {
            self.refutation = update.refutation.saturating_add(1);
            self.counts.refuted += 1;
            self.slow_down();
            self.table.apply(self.now, &self.own_update(Status::Alive));
        }
    }

    /// Handles a message by its kind.
    fn dispatch(&mut self, message: &Message) {
        let (sender, check_id, member) = (message.sender, message.check_id, message.member);
        match message.kind {
            MessageKind::Ping => {
                self.answer(sender, MessageKind::Ack, check_id, self.config.own_id, false);
                if member != NOBODY && member != sender && self.table.contains(member) {
                    self.answer(member, MessageKind::Ack, check_id, self.config.own_id, false);
                }
            }
            MessageKind::Ack => {
                if let Some(index) = self.helper_checks.iter().position(|helper_check| {
                    helper_check.check_id == check_id && helper_check.target == member
                }) {
                    let helper_check = self.helper_checks.swap_remove(index);
                    self.answer(helper_check.requester, MessageKind::Ack, check_id, member, false);
                }
                let own_check = self
                    .check
                    .as_mut()
                    .filter(|own_check| own_check.id == check_id && own_check.target == member);
                if let Some(own_check) = own_check.filter(|own_check| !own_check.answered) {
                    own_check.answered = true;
                    self.slowdown = self.slowdown.saturating_sub(1);
                }
            }
            MessageKind::PingRequest => {
                if member == self.config.own_id {
                    self.answer(sender, MessageKind::Ack, check_id, member, false);
                } else if self.helper_checks.len() < MAX_PING_REQUESTS && self.table.contains(member) {
                    let nack_at = self.now + 0.8 * self.config.ack_timeout;
                    self.helper_checks.push(HelperCheck {
                        check_id,
                        requester: sender,
                        target: member,
                        nack_at,
                    });
                    self.answer(member, MessageKind::Ping, check_id, sender, false);
                }
            }
            MessageKind::Nack => {
                let own_check = self.check.as_mut().filter(|own_check| own_check.id == check_id);
                own_check.into_iter().for_each(|own_check| own_check.nacks += 1);
            }
            MessageKind::StatePage => {
                if message.wants_reply {
                    self.answer(sender, MessageKind::StatePage, 0, NOBODY, false);
                } else if self.pages_to_request > 0 {
                    self.pages_to_request -= 1;
                    self.answer(sender, MessageKind::StatePage, 0, NOBODY, true);
                }
            }
            MessageKind::Signal => self.out.push(Action::SignalReceived(sender, message.signal.clone())),
        }
    }

    /// Starts the handling of an event at `now`, and detects whether this process was stalled. A stalled process has
    /// lost what arrived meanwhile or has yet to read it. Nothing that it waited for counts against other members,
    /// and after a long stall it waits before it runs duties.
    fn begin_event(&mut self, now: f64) {
        let late = now - self.next_tick_at();
        self.now = now;
        if late <= self.config.ack_timeout
            || !late.is_finite()
            || self.config.disabled_safeguard == Some(Safeguard::StallDetection)
        {
            return;
        }
        self.counts.stalls += 1;
        self.slow_down();
        self.check = None;
        self.helper_checks.clear();
        self.table.postpone_suspicions(late);
        (self.next_check_at, self.next_page_at) = (now + self.config.ack_timeout, now);
        // Only after this time may other members have taken over its duties. A process that is repeatedly stalled for
        // less than that would otherwise never run its duties.
        if late > self.suspicion_timeout(usize::MAX) {
            self.duties.forget_running();
            self.delay_duties(self.config.takeover_window / 2.0);
            self.set_standing(Standing::Alone);
        }
    }

    /// Runs no duties for at least this many seconds from now.
    fn delay_duties(&mut self, seconds: f64) {
        if self.config.disabled_safeguard != Some(Safeguard::TakeoverWindow) {
            self.duties_from = self.duties_from.max(self.now + seconds);
        }
    }

    // Periodic work.

    /// Ends the check of the last period and starts the next one.
    fn start_next_check(&mut self) {
        if let Some(check) = self.check.take().filter(|check| !check.answered) {
            // If helpers did not even report that they got no answer, this process itself may be the one that
            // receives nothing.
            if check.nacks < check.helpers {
                self.slow_down();
            }
            let record = self.table.get(check.target).filter(|record| record.status <= Status::Suspect);
            if let Some((incarnation, refutation)) =
                record.map(|record| (record.incarnation, record.refutation))
            {
                let (member, suspected_by) = (check.target, self.config.own_id);
                self.apply(&MemberUpdate {
                    member,
                    incarnation,
                    refutation,
                    status: Status::Suspect,
                    suspected_by,
                });
            }
        }
        if self.check_queue.is_empty() {
            self.check_queue = self.others();
            self.rng.shuffle(&mut self.check_queue);
        }
        while let Some(target) = self.check_queue.pop() {
            if self.table.get(target).is_none_or(|record| record.status > Status::Suspect) {
                continue;
            }
            let id = self.rng.generate();
            let started_at = self.now;
            self.check = Some(Check { target, id, started_at, helpers: 0, nacks: 0, answered: false });
            self.send(target, MessageKind::Ping, id, NOBODY, false);
            break;
        }
        self.next_check_at = self.now + self.period();
    }

    /// Asks helpers to check a member that has not answered in time.
    fn ask_helpers(&mut self) {
        let (now, timeout) = (self.now, self.ack_timeout());
        let is_late =
            |check: &&mut Check| !check.answered && check.helpers == 0 && now >= check.started_at + timeout;
        let Some(check) = self.check.as_mut().filter(is_late) else { return };
        let (target, check_id) = (check.target, check.id);
        if self.config.disabled_safeguard == Some(Safeguard::Helpers) {
            return;
        }
        let others = self.others().into_iter().filter(|member| *member != target).collect();
        let helpers = self.sample(others, self.config.helpers);
        if let Some(check) = &mut self.check {
            check.helpers = helpers.len();
        }
        helpers
            .into_iter()
            .for_each(|helper| self.send(helper, MessageKind::PingRequest, check_id, target, false));
    }

    /// Reports to requesters that the members they asked about have not answered yet.
    fn send_nacks(&mut self) {
        let now = self.now;
        let unanswered: Vec<(u32, MemberId, MemberId)> = self
            .helper_checks
            .iter()
            .filter(|helper_check| helper_check.nack_at <= now)
            .map(|helper_check| (helper_check.check_id, helper_check.requester, helper_check.target))
            .collect();
        self.helper_checks.retain(|helper_check| helper_check.nack_at > now);
        unanswered.into_iter().for_each(|(check_id, requester, target)| {
            self.answer(requester, MessageKind::Nack, check_id, target, false);
        });
    }

    /// Sends a page of the table to one live member, and one to the next member in turn that is recorded as dead or is
    /// unknown, so that two halves of a divided fleet find each other again.
    fn send_pages(&mut self) {
        let alone = self.standing == Standing::Alone;
        // Without the slowdown, because the halves of a divided fleet find each other by these pages.
        self.next_page_at =
            self.now + PAGE_INTERVAL_PERIODS * self.config.check_period * if alone { 0.5 } else { 1.0 };
        let me = self.config.own_id;
        let is_live = |record: Option<&crate::membership::MemberRecord>| {
            record.is_some_and(|record| record.status <= Status::Suspect)
        };
        let missing: Vec<MemberId> = self
            .table
            .entries()
            .filter(|(member, record)| *member != me && !is_live(*record))
            .filter(|(_, record)| record.is_none_or(|record| record.status != Status::Left))
            .map(|(member, _)| member)
            .collect();
        let next_missing = missing.iter().find(|member| **member > self.last_missing).or(missing.first());
        if let Some(member) = next_missing.copied() {
            self.last_missing = member;
            self.send(member, MessageKind::StatePage, 0, NOBODY, true);
        }
        let contacts = if alone { CONTACTS_WHEN_ALONE } else { 1 };
        let others = if alone { missing } else { self.others() };
        let receivers = self.sample(others, contacts);
        receivers.into_iter().for_each(|member| self.send(member, MessageKind::StatePage, 0, NOBODY, true));
    }

    /// Records as dead the members whose suspicion timeout has passed.
    fn expire_suspicions(&mut self) {
        let now = self.now;
        let timed_out = |record: &crate::membership::MemberRecord| {
            record.status == Status::Suspect
                && now - record.since >= self.suspicion_timeout(record.suspectors.len())
        };
        let dead: Vec<MemberUpdate> = self
            .table
            .entries()
            .filter(|(_, record)| record.is_some_and(timed_out))
            .filter_map(|(member, _)| self.table.update_of(member))
            .collect();
        dead.into_iter().for_each(|update| self.apply(&MemberUpdate { status: Status::Dead, ..update }));
    }

    fn run_due_duties(&mut self) {
        if self.duties.next_due_at() > self.now {
            return;
        }
        let entries = self.config.members.iter();
        let live: Vec<(MemberId, u8)> = entries
            .filter(|MemberEntry { member, .. }| {
                self.table.get(*member).is_some_and(|record| record.status <= Status::Suspect)
            })
            .map(|entry| (entry.member, entry.weight))
            .collect();
        let due = self.duties.take_due(self.now, self.table.live_version, &live, self.duties_from);
        self.counts.duties_run += due.len() as u64;
        self.counts.yielded = self.duties.yielded;
        self.out.extend(due.into_iter().map(Action::RunDuty));
    }

    /// Whether this process takes no part in the fleet.
    fn is_inactive(&self) -> bool {
        matches!(self.standing, Standing::Displaced | Standing::Left)
    }
}

impl FleetCore for SwimMember {
    fn datagram_received(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>) {
        if self.standing == Standing::Left {
            return;
        }
        // A displaced process only watches for its member number to become free again.
        let displaced = self.standing == Standing::Displaced;
        if displaced {
            self.now = now;
        } else {
            self.begin_event(now);
        }
        let accept_any_version = self.config.disabled_safeguard == Some(Safeguard::Version);
        let decoded = Message::decode_version(self.config.fleet, bytes, accept_any_version);
        let message = match decoded {
            Ok(message) => message,
            Err(error) => {
                *match error {
                    DecodeError::Malformed => &mut self.counts.malformed,
                    DecodeError::WrongVersion => &mut self.counts.wrong_version,
                    DecodeError::OtherFleet => &mut self.counts.other_fleet,
                } += 1;
                return;
            }
        };
        let sender = message.sender;
        if displaced {
            let me = self.config.own_id;
            let own =
                message.updates.iter().find(|update| update.member == me && update.status >= Status::Dead);
            own.into_iter().for_each(|update| self.apply_to_self(update));
            out.append(&mut self.out);
            return;
        }
        if !self.table.contains(sender) {
            self.counts.unknown_sender += 1;
            return;
        }
        let (incarnation, refutation) = (message.incarnation, message.refutation);
        let sender_alive = MemberUpdate {
            member: sender,
            incarnation,
            refutation,
            status: Status::Alive,
            suspected_by: NOBODY,
        };
        if sender == self.config.own_id {
            // Sent under this member number: an own datagram that came back, or one of another process.
            if incarnation != self.incarnation {
                self.apply_to_self(&sender_alive);
            }
            self.counts.duplicates += 1;
            out.append(&mut self.out);
            return;
        }
        if self.table.get(sender).is_some_and(|record| record.incarnation > incarnation) {
            self.counts.old_incarnation += 1;
            // The sender may have started with an incarnation below its earlier one; the page reports that one to it.
            if message.wants_reply {
                self.answer(sender, MessageKind::StatePage, 0, NOBODY, false);
            }
            out.append(&mut self.out);
            return;
        }
        self.apply(&sender_alive);
        if !self.table.record_sequence(sender, message.sequence)
            && self.config.disabled_safeguard != Some(Safeguard::DuplicateDatagrams)
        {
            self.counts.duplicates += 1;
            out.append(&mut self.out);
            return;
        }
        self.counts.received += 1;
        self.last_received_at = now;
        if self.standing == Standing::Alone {
            self.delay_duties(self.config.takeover_window / 2.0);
            self.pages_to_request = self.config.members.len().div_ceil(MAX_PAGE_UPDATES);
            self.set_standing(Standing::Together);
        }
        message.updates.iter().for_each(|update| self.apply(update));
        message.duty_results.iter().for_each(|result| self.duties.apply_result(now, sender, result));
        if !self.is_inactive() {
            self.dispatch(&message);
        }
        out.append(&mut self.out);
    }

    fn tick(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.is_inactive() {
            return;
        }
        self.begin_event(now);
        self.ask_helpers();
        self.send_nacks();
        self.expire_suspicions();
        if now >= self.next_check_at {
            self.start_next_check();
        }
        if now >= self.next_page_at {
            self.send_pages();
        }
        if now - self.last_received_at > ALONE_AFTER_PERIODS * self.period() {
            self.set_standing(Standing::Alone);
        }
        self.run_due_duties();
        out.append(&mut self.out);
    }

    fn next_tick_at(&self) -> f64 {
        if self.is_inactive() {
            return f64::INFINITY;
        }
        let waiting = self.check.as_ref().filter(|check| !check.answered && check.helpers == 0);
        let timeout_at =
            waiting.map(|check| check.started_at + self.ack_timeout()).filter(|at| *at > self.now);
        let nack_at =
            self.helper_checks.iter().map(|helper_check| helper_check.nack_at).fold(f64::INFINITY, f64::min);
        // Suspicion timeouts need no tick of their own: each tick examines all suspicions, and there is one per period.
        let next =
            self.next_check_at.min(self.next_page_at).min(nack_at).min(timeout_at.unwrap_or(f64::INFINITY));
        next.min(self.duties.next_due_at().max(self.duties_from))
    }

    fn set_duties(&mut self, now: f64, all: &[DutyId]) {
        self.duties.set(now, all);
    }

    fn duty_done(&mut self, now: f64, duty: DutyId, good: bool) {
        self.duties.record_own_run(now, duty, good);
    }

    fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)> {
        self.duties.last_result(now, duty)
    }

    fn send_signal(&mut self, now: f64, to: MemberId, signal: &[u8], out: &mut Vec<Action>) {
        if self.is_inactive() || signal.len() > crate::signal::MAX_SIGNAL_BYTES {
            return;
        }
        self.now = now;
        self.sequence = self.sequence.wrapping_add(1);
        let (sender, incarnation, refutation, sequence) =
            (self.config.own_id, self.incarnation, self.refutation, self.sequence);
        let (updates, duty_results, signal) = (Vec::new(), Vec::new(), signal.to_vec());
        let (kind, check_id, member, wants_reply) = (MessageKind::Signal, 0, NOBODY, false);
        self.send_message(
            to,
            Message {
                kind,
                sender,
                incarnation,
                refutation,
                sequence,
                check_id,
                member,
                wants_reply,
                updates,
                duty_results,
                signal,
            },
        );
        out.append(&mut self.out);
    }

    fn leave(&mut self, now: f64, out: &mut Vec<Action>) {
        if self.is_inactive() {
            return;
        }
        self.now = now;
        self.table.apply(now, &self.own_update(Status::Left));
        let others = self.others();
        let receivers = self.sample(others, usize::from(self.max_sends()));
        receivers.into_iter().for_each(|member| self.send(member, MessageKind::StatePage, 0, NOBODY, false));
        self.set_standing(Standing::Left);
        out.append(&mut self.out);
    }

    fn standing(&self) -> Standing {
        self.standing
    }

    fn live_members(&self) -> Vec<MemberId> {
        self.table.live_members().collect()
    }

    fn counts(&self) -> &Counts {
        &self.counts
    }
}
