//! Signals: messages that initiators exchange beside the membership protocol, with reports of the latency of nodes and
//! loans of units ([`crate::lending`]). The simulator's wire and the fleet's datagrams use the same format: at most 256
//! bytes, one version. Decoding never panics, whatever the bytes.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1, 4, 4 | version, incarnation of the sender, number of the message in that incarnation |
//! | 1 | kind of a part; a message has any number of parts |
//! | 1, 5 each | node reports: part of the data, latency in hundredths of the due time, answers, age in units of 20 ms |
//! | 8 | announcement: limit |
//! | 8, 1, 2 each | sharers: limit, members |
//! | 8, 4, 4 | request: limit, number, units |
//! | 8, 4, 4, 4 | grant, return: limit, number of the request, incarnation of the receiver, units |
//!
//! All numbers are little endian. An initiator reports only answers that it received itself, so that none is counted
//! twice. Each message goes to a few receivers, drawn anew each time. The bytes sent for reports are limited to
//! `BYTES_PER_ANSWER` for each answer received; the reports with the most information are sent first.

use std::collections::{BTreeMap, VecDeque};

use nanorand::{Rng, WyRand};
use quaypath::types::{BlockId, LimitBalance, LimitId};

use crate::fields::{Fields, UnexpectedEnd};
use crate::lending::{Ledger, Lending, LendingCounts, Safeguard, MAX_SHARERS_SENT, REVIEW_INTERVAL};
use crate::membership::ReplayWindow;
use crate::MemberId;

/// Maximum length of a message in bytes; the simulator's wire allows no more.
pub const MAX_SIGNAL_BYTES: usize = 256;
/// Version of the signal format.
pub const VERSION: u8 = 1;
/// Bytes before the parts of a message.
const HEADER_BYTES: usize = 9;
const REPORT_BYTES: usize = 5;
/// Bytes that may be sent, to all receivers together, for each answer received.
const BYTES_PER_ANSWER: f64 = 24.0;
/// Mean seconds between two messages with reports.
const REPORT_INTERVAL: f64 = 0.5;
/// Age in seconds from which on a report says nothing of a node any more.
const MAX_REPORT_AGE: f64 = 2.0;
/// Maximum number of answers that one report counts for, whatever its sender states.
const MAX_ANSWERS: f64 = 8.0;
/// Maximum number of messages that a member sends per second; further ones are dropped.
const MAX_MESSAGES_PER_SECOND: f64 = 60.0;
/// Maximum bytes per second that signals add to what a member sends, including the other bytes of their datagrams.
pub const MAX_BYTES_PER_SECOND: f64 = MAX_MESSAGES_PER_SECOND * (MAX_SIGNAL_BYTES as f64 + 64.0);
/// Seconds without a message of a member's known incarnation after which messages of a lower incarnation are accepted,
/// for a member that restarted with a lower one.
const INCARNATION_SILENCE: f64 = 5.0;

/// Latency that an initiator observed at the node that holds a part of the data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeReport {
    /// Part of the data that the node holds.
    pub block: BlockId,
    /// Mean latency at the node, divided by the due time.
    pub latency_ratio: f64,
    /// Number of answers that the mean is taken over.
    pub answers: f64,
    /// Mean age of the answers, seconds.
    pub age: f64,
}

/// One part of a signal.
#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    NodeReports(Vec<NodeReport>),
    /// The sender shares this limit.
    Announcement(LimitId),
    /// These members share this limit.
    Sharers(LimitId, Vec<MemberId>),
    /// Asks the receiver to lend units.
    Request {
        limit_id: LimitId,
        number: u32,
        units: f64,
    },
    /// Lends units, in answer to the request with this number and to this incarnation of the receiver.
    Grant {
        limit_id: LimitId,
        number: u32,
        incarnation: u32,
        units: f64,
    },
    /// Returns units of the loan with this request number to this incarnation of the lender.
    Return {
        limit_id: LimitId,
        number: u32,
        incarnation: u32,
        units: f64,
    },
}

/// One message between initiators, decoded.
#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Number of the message in that incarnation.
    pub number: u32,
    pub parts: Vec<Part>,
}

/// Why bytes are not a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Malformed,
    WrongVersion,
}

impl From<UnexpectedEnd> for DecodeError {
    fn from(_: UnexpectedEnd) -> DecodeError {
        DecodeError::Malformed
    }
}

impl Fields<'_> {
    fn limit_id(&mut self) -> Result<LimitId, DecodeError> {
        Ok(LimitId(self.u64()?))
    }

    /// Units; refuses values that are not finite or below zero.
    fn units(&mut self) -> Result<f64, DecodeError> {
        let units = f64::from(f32::from_le_bytes(self.take()?));
        if units.is_finite() && units >= 0.0 {
            Ok(units)
        } else {
            Err(DecodeError::Malformed)
        }
    }

    fn part(&mut self) -> Result<Part, DecodeError> {
        Ok(match self.u8()? {
            0 => {
                let mut reports = Vec::new();
                for _ in 0..self.u8()? {
                    let block = BlockId(i64::from(self.u16()?));
                    let (latency_ratio, answers, age) = (self.u8()?, self.u8()?, self.u8()?);
                    let (latency_ratio, answers) = (f64::from(latency_ratio) / 100.0, f64::from(answers));
                    reports.push(NodeReport { block, latency_ratio, answers, age: f64::from(age) / 50.0 });
                }
                Part::NodeReports(reports)
            }
            1 => Part::Announcement(self.limit_id()?),
            2 => {
                let limit_id = self.limit_id()?;
                let count = self.u8()?;
                Part::Sharers(
                    limit_id,
                    (0..count).map(|_| self.u16().map(MemberId)).collect::<Result<_, _>>()?,
                )
            }
            3 => Part::Request { limit_id: self.limit_id()?, number: self.u32()?, units: self.units()? },
            kind @ (4 | 5) => {
                let (limit_id, number, incarnation) = (self.limit_id()?, self.u32()?, self.u32()?);
                let units = self.units()?;
                match kind {
                    4 => Part::Grant { limit_id, number, incarnation, units },
                    _ => Part::Return { limit_id, number, incarnation, units },
                }
            }
            _ => return Err(DecodeError::Malformed),
        })
    }
}

/// The nearest number that fits a byte.
fn byte(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

impl Part {
    /// Length of the encoded part in bytes.
    pub fn length(&self) -> usize {
        1 + match self {
            Part::NodeReports(reports) => 1 + REPORT_BYTES * reports.len(),
            Part::Announcement(_) => 8,
            Part::Sharers(_, members) => 9 + 2 * members.len(),
            Part::Request { .. } => 16,
            Part::Grant { .. } | Part::Return { .. } => 20,
        }
    }

    /// Appends the encoded part.
    pub(crate) fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Part::NodeReports(reports) => {
                out.extend([0, reports.len() as u8]);
                for report in reports {
                    out.extend((report.block.0.clamp(0, i64::from(u16::MAX)) as u16).to_le_bytes());
                    out.extend([
                        byte(report.latency_ratio * 100.0),
                        byte(report.answers),
                        byte(report.age * 50.0),
                    ]);
                }
            }
            Part::Announcement(limit_id) => {
                out.push(1);
                out.extend(limit_id.0.to_le_bytes());
            }
            Part::Sharers(limit_id, members) => {
                out.push(2);
                out.extend(limit_id.0.to_le_bytes());
                out.push(members.len() as u8);
                members.iter().for_each(|member| out.extend(member.0.to_le_bytes()));
            }
            Part::Request { limit_id, number, units } => {
                out.push(3);
                out.extend(limit_id.0.to_le_bytes());
                out.extend(number.to_le_bytes());
                out.extend((*units as f32).to_le_bytes());
            }
            Part::Grant { limit_id, number, incarnation, units }
            | Part::Return { limit_id, number, incarnation, units } => {
                out.push(if matches!(self, Part::Grant { .. }) { 4 } else { 5 });
                out.extend(limit_id.0.to_le_bytes());
                out.extend(number.to_le_bytes());
                out.extend(incarnation.to_le_bytes());
                out.extend((*units as f32).to_le_bytes());
            }
        }
    }
}

impl Signal {
    /// Encodes this message.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_SIGNAL_BYTES);
        out.push(VERSION);
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.number.to_le_bytes());
        self.parts.iter().for_each(|part| part.encode(&mut out));
        out
    }

    /// Decodes a message.
    pub fn decode(bytes: &[u8]) -> Result<Signal, DecodeError> {
        if bytes.len() > MAX_SIGNAL_BYTES {
            return Err(DecodeError::Malformed);
        }
        let mut fields = Fields(bytes);
        if fields.u8()? != VERSION {
            return Err(DecodeError::WrongVersion);
        }
        let (incarnation, number) = (fields.u32()?, fields.u32()?);
        let mut parts = Vec::new();
        while !fields.0.is_empty() {
            parts.push(fields.part()?);
        }
        Ok(Signal { incarnation, number, parts })
    }
}

/// What signals use of the process that they run in.
pub trait SignalHost: Ledger {
    /// Sends one message of at most [`MAX_SIGNAL_BYTES`] bytes to a member.
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]);
    /// Hands over a report that another initiator sent.
    fn node_report_received(&mut self, now: f64, report: &NodeReport);
}

/// The ledger of a faulty process that always claims units and lends none.
struct AlwaysClaiming<'a, H>(&'a mut H);

impl<H: SignalHost> Ledger for AlwaysClaiming<'_, H> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        let balances = self.0.limit_balances(now).into_iter();
        balances.map(|balance| LimitBalance { spare: 0.0, shortfall: 1e6, ..balance }).collect()
    }
    fn limit_balance(&mut self, _now: f64, _limit_id: LimitId) -> Option<LimitBalance> {
        None
    }
    fn transfer(&mut self, now: f64, limit_id: LimitId, units: f64, expires_at: f64) -> bool {
        self.0.transfer(now, limit_id, units, expires_at)
    }
}

/// What is known of the signals of another member.
#[derive(Clone, Debug, PartialEq)]
struct Peer {
    incarnation: u32,
    last_received_at: f64,
    received: ReplayWindow,
}

/// Answers of one node since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Observed {
    /// Sum of the latency ratios.
    ratio_sum: f64,
    answers: f64,
    /// Sum of the clock times at which the answers arrived.
    time_sum: f64,
}

/// Counters of signals since the start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct SignalCounts {
    /// Messages sent.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Messages received and accepted.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Messages dropped because they could not be decoded.
    #[serde(rename = "bad")]
    pub malformed: u64,
    /// Messages dropped because they have another version.
    #[serde(rename = "version")]
    pub wrong_version: u64,
    /// Messages dropped because they come from an earlier incarnation of their sender.
    #[serde(rename = "old")]
    pub old_incarnation: u64,
    /// Messages whose reports were ignored because the message was received before.
    #[serde(rename = "repeated")]
    pub duplicates: u64,
    /// Messages dropped because their sender is not on the list of members.
    #[serde(rename = "unknown")]
    pub unknown_sender: u64,
    /// Messages not sent because of the limit of messages per second.
    #[serde(rename = "over")]
    pub rate_limited: u64,
    /// Node reports sent, counted once for each receiver.
    #[serde(rename = "told")]
    pub reports_sent: u64,
    /// Node reports received and used.
    #[serde(rename = "news")]
    pub reports_received: u64,
    #[serde(flatten)]
    pub lending: LendingCounts,
}

/// How a process sends signals: correctly, or with one kind of fault, for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SignalBehavior {
    #[default]
    Correct,
    /// Always requests units, whatever it has, and lends none.
    ClaimsAlways,
    /// Sends reports that are ten seconds old as new ones.
    StaleReports,
}

/// What the signals of one initiator are started with.
#[derive(Clone, Debug)]
pub struct SignalConfig {
    /// Number of this member.
    pub own_id: MemberId,
    /// All members, including this one; messages of other senders are dropped.
    pub members: Vec<MemberId>,
    /// Grows with each start of a process under this member number, for example tenths of seconds of the wall clock.
    pub incarnation: u32,
    /// Seed of the random choices of receivers and times.
    pub seed: u64,
    /// Whether node reports are sent.
    pub sends_reports: bool,
    /// Whether units are lent and borrowed.
    pub lends: bool,
    /// Cost of a message of maximum length, as a fraction of the result; 0 if messages are free. Reports are sent
    /// only if messages are free, because they showed no gain where messages cost (`docs/results-fleet.md`).
    pub message_cost: f64,
    /// Safeguard that is disabled, to show that a test notices its absence.
    pub disabled_safeguard: Option<Safeguard>,
}

/// The signals of one initiator.
#[derive(Clone)]
pub struct Signals {
    config: SignalConfig,
    /// Number of the last message.
    number: u32,
    rng: WyRand,
    lending: Lending,
    observed: BTreeMap<BlockId, Observed>,
    /// Decaying sums of the latency ratios of all answers and of their weights.
    mean: (f64, f64),
    /// Reports that a faulty process holds back, with the clock time at which they were made.
    delayed_reports: VecDeque<(f64, Vec<(f64, NodeReport)>)>,
    /// Bytes that may still be sent for reports.
    budget: f64,
    peers: BTreeMap<MemberId, Peer>,
    /// Messages that may still be sent, and the time at which that was computed.
    message_allowance: (f64, f64),
    next_report_at: f64,
    next_review_at: f64,
    /// Time for which the host's timer is set.
    timer_at: f64,
    behavior: SignalBehavior,
    counts: SignalCounts,
}

impl Signals {
    /// Starts the signals of an initiator at `now`.
    pub fn start(now: f64, mut config: SignalConfig) -> Signals {
        config.sends_reports &= config.message_cost == 0.0;
        let mut rng = WyRand::new_seed(config.seed ^ 0x51a);
        // Spreads the work of the members over the interval.
        let spread = rng.generate::<f64>();
        Signals {
            number: 0,
            lending: Lending::new(config.own_id, config.members.clone(), config.disabled_safeguard),
            observed: BTreeMap::new(),
            mean: (0.0, 0.0),
            delayed_reports: VecDeque::new(),
            budget: 0.0,
            peers: BTreeMap::new(),
            message_allowance: (MAX_MESSAGES_PER_SECOND, now),
            next_report_at: now + REPORT_INTERVAL * spread,
            next_review_at: now + REVIEW_INTERVAL * spread,
            timer_at: f64::NEG_INFINITY,
            behavior: SignalBehavior::Correct,
            counts: SignalCounts::default(),
            rng,
            config,
        }
    }

    /// Clock time at which [`Signals::tick`] next has something to do.
    pub fn next_tick_at(&self) -> f64 {
        let report_at = if self.config.sends_reports { self.next_report_at } else { f64::INFINITY };
        report_at.min(if self.config.lends { self.next_review_at } else { f64::INFINITY })
    }

    /// Counters since the start, with those of lending.
    pub fn counts(&self) -> SignalCounts {
        SignalCounts { lending: self.lending.counts.clone(), ..self.counts.clone() }
    }

    /// Records whether a member is dead.
    pub fn set_member_dead(&mut self, member: MemberId, dead: bool) {
        self.lending.set_member_dead(member, dead);
    }

    /// Sets how this process sends signals from now on, to test how others handle a faulty one.
    pub fn set_behavior(&mut self, behavior: SignalBehavior) {
        self.behavior = behavior;
    }

    /// Records an answer that this initiator received. `latency_ratio` is the latency at the node that holds the block,
    /// divided by the due time.
    pub fn observe_latency(&mut self, now: f64, block: BlockId, latency_ratio: f64) {
        if !self.config.sends_reports || !(0..=i64::from(u16::MAX)).contains(&block.0) {
            return;
        }
        let observed = self.observed.entry(block).or_default();
        *observed = Observed {
            ratio_sum: observed.ratio_sum + latency_ratio,
            answers: observed.answers + 1.0,
            time_sum: observed.time_sum + now,
        };
        self.mean = (self.mean.0 * 0.98 + latency_ratio, self.mean.1 * 0.98 + 1.0);
        self.budget = (self.budget + BYTES_PER_ANSWER).min(BYTES_PER_ANSWER * 200.0);
    }

    /// Records the answers received since the last call and does the work that is due. Returns the time to set the
    /// host's timer for, or none if a timer is set already.
    pub fn run_due(
        &mut self, now: f64, observed: Vec<(BlockId, f64)>, host: &mut impl SignalHost,
    ) -> Option<f64> {
        observed
            .into_iter()
            .for_each(|(block, latency_ratio)| self.observe_latency(now, block, latency_ratio));
        if now >= self.next_tick_at() {
            self.tick(now, host);
        }
        let next = Some(self.next_tick_at()).filter(|at| at.is_finite() && self.timer_at <= now);
        self.timer_at = next.unwrap_or(self.timer_at);
        next
    }

    /// Does the work that is due.
    pub fn tick(&mut self, now: f64, host: &mut impl SignalHost) {
        if self.config.lends && now >= self.next_review_at {
            self.next_review_at = now + REVIEW_INTERVAL;
            let mut out = Vec::new();
            if self.behavior == SignalBehavior::ClaimsAlways {
                self.next_review_at = now + REVIEW_INTERVAL / 2.0;
                self.lending.forget_requests();
                self.lending.review(now, &mut AlwaysClaiming(host), &mut out);
            } else {
                self.lending.review(now, host, &mut out);
            }
            self.send_parts(now, out, host);
        }
        if self.config.sends_reports && now >= self.next_report_at {
            self.next_report_at = now + REPORT_INTERVAL * (0.75 + 0.5 * self.rng.generate::<f64>());
            self.send_reports(now, host);
        }
    }

    fn send_reports(&mut self, now: f64, host: &mut impl SignalHost) {
        let reports = match self.behavior {
            SignalBehavior::StaleReports => self.outdated_reports(now),
            _ => self.current_reports(now),
        };
        self.distribute(now, reports, host);
    }

    /// Reports of a faulty process: those of ten seconds ago, as if they were new.
    fn outdated_reports(&mut self, now: f64) -> Vec<(f64, NodeReport)> {
        let current = self.current_reports(now);
        self.delayed_reports.push_back((now, current));
        let is_due = self.delayed_reports.front().is_some_and(|(at, _)| now - at >= 10.0);
        let outdated = is_due.then(|| self.delayed_reports.pop_front()).flatten();
        let outdated = outdated.map_or_else(Vec::new, |(_, reports)| reports);
        outdated.into_iter().map(|(worth, report)| (worth, NodeReport { age: 0.0, ..report })).collect()
    }

    /// Reports of all nodes with recent answers, each with its worth.
    fn current_reports(&mut self, now: f64) -> Vec<(f64, NodeReport)> {
        self.observed.retain(|_, observed| now - observed.time_sum / observed.answers < MAX_REPORT_AGE);
        let mean = self.mean.0 / self.mean.1.max(1e-9);
        let mut reports: Vec<(f64, NodeReport)> = Vec::new();
        for (block, observed) in &self.observed {
            let (latency_ratio, age) = (
                observed.ratio_sum / observed.answers,
                (now - observed.time_sum / observed.answers).max(0.0),
            );
            let answers = observed.answers.min(MAX_ANSWERS);
            // Worth of a report: how much it changes the estimate of a receiver that knows the mean of all nodes.
            reports.push((
                answers * ((latency_ratio - mean).abs() + 0.1 * mean),
                NodeReport { block: *block, latency_ratio, answers, age },
            ));
        }
        reports
    }

    /// Sends reports to as many other members as the byte budget allows.
    fn distribute(&mut self, now: f64, mut reports: Vec<(f64, NodeReport)>, host: &mut impl SignalHost) {
        let others = self.config.members.iter().copied();
        let others: Vec<MemberId> =
            others.filter(|member| *member != self.config.own_id && !self.lending.is_dead(*member)).collect();
        reports.sort_by(|a, b| b.0.total_cmp(&a.0));
        reports.truncate((MAX_SIGNAL_BYTES - HEADER_BYTES - 2) / REPORT_BYTES);
        let length = HEADER_BYTES + 2 + REPORT_BYTES * reports.len();
        let receivers = ((self.budget / length as f64) as usize).min(others.len());
        if reports.is_empty() || receivers == 0 {
            return;
        }
        self.budget -= (length * receivers) as f64;
        self.observed.clear();
        let reports: Vec<NodeReport> = reports.into_iter().map(|(_, report)| report).collect();
        let mut to = others;
        self.rng.shuffle(&mut to);
        to.truncate(receivers);
        self.counts.reports_sent += (reports.len() * to.len()) as u64;
        let out = to.into_iter().map(|to| (to, Part::NodeReports(reports.clone()))).collect();
        self.send_parts(now, out, host);
    }

    /// Sends parts to members, all parts for one member in as few messages as possible.
    fn send_parts(&mut self, now: f64, out: Vec<(MemberId, Part)>, host: &mut impl SignalHost) {
        let mut by_member: BTreeMap<MemberId, Vec<Part>> = BTreeMap::new();
        out.into_iter().for_each(|(to, part)| by_member.entry(to).or_default().push(part));
        for (to, parts) in by_member {
            let (mut message_parts, mut length) = (Vec::new(), HEADER_BYTES);
            for part in parts {
                if length + part.length() > MAX_SIGNAL_BYTES {
                    self.send(now, to, std::mem::take(&mut message_parts), host);
                    length = HEADER_BYTES;
                }
                length += part.length();
                message_parts.push(part);
            }
            self.send(now, to, message_parts, host);
        }
    }

    fn send(&mut self, now: f64, to: MemberId, parts: Vec<Part>, host: &mut impl SignalHost) {
        let (allowance, at) = self.message_allowance;
        let allowance =
            (allowance + MAX_MESSAGES_PER_SECOND * (now - at).max(0.0)).min(MAX_MESSAGES_PER_SECOND);
        self.message_allowance = (allowance, now);
        if allowance < 1.0 {
            self.counts.rate_limited += 1;
            return;
        }
        self.message_allowance.0 -= 1.0;
        self.number = self.number.wrapping_add(1);
        let bytes = Signal { incarnation: self.config.incarnation, number: self.number, parts }.encode();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        host.send_signal(to, &bytes);
    }

    /// Handles a message that arrived.
    pub fn signal_received(&mut self, now: f64, sender: MemberId, bytes: &[u8], host: &mut impl SignalHost) {
        let signal = match Signal::decode(bytes) {
            Ok(signal) => signal,
            Err(DecodeError::Malformed) => return self.counts.malformed += 1,
            Err(DecodeError::WrongVersion) => return self.counts.wrong_version += 1,
        };
        if sender == self.config.own_id || !self.config.members.contains(&sender) {
            return self.counts.unknown_sender += 1;
        }
        let fresh = Peer {
            incarnation: signal.incarnation,
            last_received_at: now,
            received: ReplayWindow::default(),
        };
        let peer = self.peers.entry(sender).or_insert_with(|| fresh.clone());
        if peer.incarnation != signal.incarnation {
            let newer = signal.incarnation.wrapping_sub(peer.incarnation) as i32 > 0;
            if !newer
                && now - peer.last_received_at < INCARNATION_SILENCE
                && self.config.disabled_safeguard != Some(Safeguard::Incarnation)
            {
                return self.counts.old_incarnation += 1;
            }
            *peer = fresh;
        }
        peer.last_received_at = now;
        let is_first = peer.received.insert(signal.number)
            || self.config.disabled_safeguard == Some(Safeguard::DuplicateReports);
        self.counts.received += 1;
        self.counts.duplicates += u64::from(!is_first);
        let mut out = Vec::new();
        for part in &signal.parts {
            match part {
                Part::NodeReports(reports) if is_first => self.reports_received(now, reports, host),
                Part::NodeReports(_) => {}
                _ if self.config.lends => {
                    let incarnations = (signal.incarnation, self.config.incarnation);
                    if self.behavior == SignalBehavior::ClaimsAlways {
                        self.lending.part_received(
                            now,
                            sender,
                            incarnations,
                            part,
                            &mut AlwaysClaiming(host),
                            &mut out,
                        );
                    } else {
                        self.lending.part_received(now, sender, incarnations, part, host, &mut out);
                    }
                }
                _ => {}
            }
        }
        self.send_parts(now, out, host);
    }

    /// Hands reports that are not too old to the host.
    fn reports_received(&mut self, now: f64, reports: &[NodeReport], host: &mut impl SignalHost) {
        for report in reports {
            let answers = report.answers.min(MAX_ANSWERS);
            let age =
                if self.config.disabled_safeguard == Some(Safeguard::ReportAge) { 0.0 } else { report.age };
            if answers > 0.0 && age < MAX_REPORT_AGE {
                self.counts.reports_received += 1;
                host.node_report_received(now, &NodeReport { answers, age, ..*report });
            }
        }
    }
}

const _: () = assert!(HEADER_BYTES + 1 + 9 + 2 * MAX_SHARERS_SENT <= MAX_SIGNAL_BYTES);
