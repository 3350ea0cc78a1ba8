//! What initiators tell each other beside who is there: what their answers told of nodes, and loans of units
//! ([`crate::lending`]). One format on the simulator's wire and in the fleet's datagrams: 256 bytes at most, one version,
//! decoded without panic for any bytes.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1, 4, 4 | version, incarnation of the sender, number of the message in that incarnation |
//! | 1 | kind of a part, any number of parts |
//! | 1, 5 each | news: part of the data, latency_ratio in hundredths of the due time, answers, age in 20 ms |
//! | 8 | here: account |
//! | 8, 1, 2 each | sharers: account, members |
//! | 8, 4, 4 | ask: account, number, units |
//! | 8, 4, 4, 4 | grant, back: account, number of the ask, incarnation of whom it goes to, units |
//!
//! All numbers little endian. NodeReport are only of one's own answers, so that none is counted twice, and each message has a
//! few receivers drawn anew; what is said to whom is kept within [`BYTES`] for each answer seen, the most telling first.

use std::collections::{BTreeMap, VecDeque};

use nanorand::{Rng, WyRand};
use quaypath::types::{BlockId, LimitBalance, LimitId};

use crate::fields::{Fields, UnexpectedEnd};
use crate::lending::{Ledger, Lend, LendCounts, Safeguard, LOOK, MOST_TOLD};
use crate::membership::ReplayWindow;
use crate::MemberId;

/// Longest message, bytes: the simulator's wire allows no more.
pub const MAX_SIGNAL_BYTES: usize = 256;
pub const VERSION: u8 = 1;
const HEAD: usize = 9;
const ENTRY: usize = 5;
/// Bytes to all receivers that each answer seen earns for news of it.
const BYTES: f64 = 24.0;
/// How often news are told.
const TELL: f64 = 0.5;
/// NodeReport older than this say nothing of a node.
const STALE: f64 = 2.0;
/// Most answers that one entry counts for, whatever it says.
const MOST_ANSWERS: f64 = 8.0;
/// Messages that a member sends in a second, at most; what is over is dropped.
const MOST_SENT: f64 = 60.0;
/// Most bytes that signals add to what a member sends, bytes a second, with room for a datagram's own bytes.
pub const MAX_BYTES_PER_SECOND: f64 = MOST_SENT * (MAX_SIGNAL_BYTES as f64 + 64.0);
/// A member that starts again behind its own earlier incarnation is heard after so long without that one.
const SILENT: f64 = 5.0;

/// What was seen of the node that holds a part of the data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeReport {
    pub block: BlockId,
    /// Mean latency_ratio at the node, in due times.
    pub latency_ratio: f64,
    /// Answers that it is of.
    pub answers: f64,
    /// Seconds since they came, in the mean.
    pub age: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Part {
    NodeReports(Vec<NodeReport>),
    /// I share this account.
    Here(LimitId),
    /// So do these.
    Sharers(LimitId, Vec<MemberId>),
    Ask {
        account: LimitId,
        number: u32,
        units: f64,
    },
    Grant {
        account: LimitId,
        number: u32,
        incarnation: u32,
        units: f64,
    },
    Back {
        account: LimitId,
        number: u32,
        incarnation: u32,
        units: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub struct Signal {
    pub incarnation: u32,
    pub number: u32,
    pub parts: Vec<Part>,
}

/// Why bytes are no signal.
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
    fn account(&mut self) -> Result<LimitId, DecodeError> {
        Ok(LimitId(self.u64()?))
    }

    /// Units, finite and not below zero.
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
                let mut news = Vec::new();
                for _ in 0..self.u8()? {
                    let block = BlockId(i64::from(self.u16()?));
                    let (latency_ratio, answers, age) = (self.u8()?, self.u8()?, self.u8()?);
                    let (latency_ratio, answers) = (f64::from(latency_ratio) / 100.0, f64::from(answers));
                    news.push(NodeReport { block, latency_ratio, answers, age: f64::from(age) / 50.0 });
                }
                Part::NodeReports(news)
            }
            1 => Part::Here(self.account()?),
            2 => {
                let account = self.account()?;
                let count = self.u8()?;
                Part::Sharers(
                    account,
                    (0..count).map(|_| self.u16().map(MemberId)).collect::<Result<_, _>>()?,
                )
            }
            3 => Part::Ask { account: self.account()?, number: self.u32()?, units: self.units()? },
            kind @ (4 | 5) => {
                let (account, number, incarnation) = (self.account()?, self.u32()?, self.u32()?);
                let units = self.units()?;
                match kind {
                    4 => Part::Grant { account, number, incarnation, units },
                    _ => Part::Back { account, number, incarnation, units },
                }
            }
            _ => return Err(DecodeError::Malformed),
        })
    }
}

fn byte(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

impl Part {
    /// Bytes that it takes.
    pub fn length(&self) -> usize {
        1 + match self {
            Part::NodeReports(news) => 1 + ENTRY * news.len(),
            Part::Here(_) => 8,
            Part::Sharers(_, members) => 9 + 2 * members.len(),
            Part::Ask { .. } => 16,
            Part::Grant { .. } | Part::Back { .. } => 20,
        }
    }

    pub(crate) fn put(&self, out: &mut Vec<u8>) {
        match self {
            Part::NodeReports(news) => {
                out.extend([0, news.len() as u8]);
                for news in news {
                    out.extend((news.block.0.clamp(0, i64::from(u16::MAX)) as u16).to_le_bytes());
                    out.extend([byte(news.latency_ratio * 100.0), byte(news.answers), byte(news.age * 50.0)]);
                }
            }
            Part::Here(account) => {
                out.push(1);
                out.extend(account.0.to_le_bytes());
            }
            Part::Sharers(account, members) => {
                out.push(2);
                out.extend(account.0.to_le_bytes());
                out.push(members.len() as u8);
                members.iter().for_each(|member| out.extend(member.0.to_le_bytes()));
            }
            Part::Ask { account, number, units } => {
                out.push(3);
                out.extend(account.0.to_le_bytes());
                out.extend(number.to_le_bytes());
                out.extend((*units as f32).to_le_bytes());
            }
            Part::Grant { account, number, incarnation, units }
            | Part::Back { account, number, incarnation, units } => {
                out.push(if matches!(self, Part::Grant { .. }) { 4 } else { 5 });
                out.extend(account.0.to_le_bytes());
                out.extend(number.to_le_bytes());
                out.extend(incarnation.to_le_bytes());
                out.extend((*units as f32).to_le_bytes());
            }
        }
    }
}

impl Signal {
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(MAX_SIGNAL_BYTES);
        out.push(VERSION);
        out.extend(self.incarnation.to_le_bytes());
        out.extend(self.number.to_le_bytes());
        self.parts.iter().for_each(|part| part.put(&mut out));
        out
    }

    pub fn decode(bytes: &[u8]) -> Result<Signal, DecodeError> {
        if bytes.len() > MAX_SIGNAL_BYTES {
            return Err(DecodeError::Malformed);
        }
        let mut at = Fields(bytes);
        if at.u8()? != VERSION {
            return Err(DecodeError::WrongVersion);
        }
        let (incarnation, number) = (at.u32()?, at.u32()?);
        let mut parts = Vec::new();
        while !at.0.is_empty() {
            parts.push(at.part()?);
        }
        Ok(Signal { incarnation, number, parts })
    }
}

/// What signals need of the process that they run in.
pub trait SignalHost: Ledger {
    /// One message to a member, [`MAX_SIGNAL_BYTES`] bytes at most.
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]);
    /// What another measured.
    fn node_report_received(&mut self, now: f64, report: &NodeReport);
}

/// A ledger as a process that always claims sees it.
struct Shouting<'a, H>(&'a mut H);

impl<H: SignalHost> Ledger for Shouting<'_, H> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        let all = self.0.limit_balances(now).into_iter();
        all.map(|need| LimitBalance { spare: 0.0, shortfall: 1e6, ..need }).collect()
    }
    fn limit_balance(&mut self, _now: f64, _account: LimitId) -> Option<LimitBalance> {
        None
    }
    fn transfer(&mut self, now: f64, account: LimitId, units: f64, until: f64) -> bool {
        self.0.transfer(now, account, units, until)
    }
}

/// What is known of another member.
#[derive(Clone, Debug, PartialEq)]
struct Peer {
    incarnation: u32,
    heard_at: f64,
    came: ReplayWindow,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Seen {
    sum: f64,
    answers: f64,
    /// Sum of the times at which they came.
    at: f64,
}

#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct SignalCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    /// Dropped: not whole; another version; of an earlier incarnation; came before; not of the list; over the bound.
    pub bad: u64,
    pub version: u64,
    pub old: u64,
    pub repeated: u64,
    pub unknown: u64,
    pub over: u64,
    /// Entries told and heard.
    pub told: u64,
    pub news: u64,
    #[serde(flatten)]
    pub lend: LendCounts,
}

/// How a process speaks: well, or one of the ways in which a faulty one might.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SignalBehavior {
    #[default]
    Correct,
    /// Always claims, whatever it has, and lends nothing.
    ClaimsAlways,
    /// Tells what it saw ten seconds ago as new.
    StaleReports,
}

/// What a member of those that signal is started with.
#[derive(Clone, Debug)]
pub struct SignalConfig {
    pub own_id: MemberId,
    pub members: Vec<MemberId>,
    /// Grows with each start of this name's process: seconds of the wall clock, in tenths, say.
    pub incarnation: u32,
    pub seed: u64,
    /// Whether answers are told, and units lent.
    pub sends_reports: bool,
    pub lends: bool,
    /// What a full message costs, in parts of the result; 0: nothing. NodeReport are told only where it is nothing: they
    /// showed no gain where they cost (docs/results-fleet.md).
    pub message_cost: f64,
    /// A safeguard taken away, for tests of the tests only.
    pub disabled_safeguard: Option<Safeguard>,
}

/// One initiator's signals.
#[derive(Clone)]
pub struct Signals {
    config: SignalConfig,
    number: u32,
    chance: WyRand,
    lend: Lend,
    seen: BTreeMap<BlockId, Seen>,
    /// Stays of all answers, with weights that fade.
    mean: (f64, f64),
    /// What a faulty process tells late.
    kept: VecDeque<(f64, Vec<(f64, NodeReport)>)>,
    budget: f64,
    peers: BTreeMap<MemberId, Peer>,
    /// Messages that may still be sent, and when that was.
    room: (f64, f64),
    tell_at: f64,
    look_at: f64,
    /// When the host's timer rings next.
    rings_at: f64,
    manner: SignalBehavior,
    counts: SignalCounts,
}

impl Signals {
    pub fn start(now: f64, mut config: SignalConfig) -> Signals {
        config.sends_reports &= config.message_cost == 0.0;
        let mut chance = WyRand::new_seed(config.seed ^ 0x51a);
        // Not all members at one instant.
        let spread = chance.generate::<f64>();
        Signals {
            number: 0,
            lend: Lend::new(config.own_id, config.members.clone(), config.disabled_safeguard),
            seen: BTreeMap::new(),
            mean: (0.0, 0.0),
            kept: VecDeque::new(),
            budget: 0.0,
            peers: BTreeMap::new(),
            room: (MOST_SENT, now),
            tell_at: now + TELL * spread,
            look_at: now + LOOK * spread,
            rings_at: f64::NEG_INFINITY,
            manner: SignalBehavior::Correct,
            counts: SignalCounts::default(),
            chance,
            config,
        }
    }

    /// When [`Signals::tick`] has something to do.
    pub fn next_tick_at(&self) -> f64 {
        let tell = if self.config.sends_reports { self.tell_at } else { f64::INFINITY };
        tell.min(if self.config.lends { self.look_at } else { f64::INFINITY })
    }

    pub fn counts(&self) -> SignalCounts {
        SignalCounts { lend: self.lend.counts.clone(), ..self.counts.clone() }
    }

    /// What is held of a member changed.
    pub fn set_member_dead(&mut self, member: MemberId, dead: bool) {
        self.lend.set_member_dead(member, dead);
    }

    /// How this process speaks from now on; for tests of what others make of it.
    pub fn set_behavior(&mut self, manner: SignalBehavior) {
        self.manner = manner;
    }

    /// An answer of this initiator's own: the latency_ratio at the node that holds the block, in due times.
    pub fn observe_latency(&mut self, now: f64, block: BlockId, latency_ratio: f64) {
        if !self.config.sends_reports || !(0..=i64::from(u16::MAX)).contains(&block.0) {
            return;
        }
        let seen = self.seen.entry(block).or_default();
        *seen = Seen { sum: seen.sum + latency_ratio, answers: seen.answers + 1.0, at: seen.at + now };
        self.mean = (self.mean.0 * 0.98 + latency_ratio, self.mean.1 * 0.98 + 1.0);
        self.budget = (self.budget + BYTES).min(BYTES * 200.0);
    }

    /// Takes what was seen in this turn and does what is due; when the host's timer is to be set for, where none runs.
    pub fn run_due(
        &mut self, now: f64, seen: Vec<(BlockId, f64)>, host: &mut impl SignalHost,
    ) -> Option<f64> {
        seen.into_iter().for_each(|(block, latency_ratio)| self.observe_latency(now, block, latency_ratio));
        if now >= self.next_tick_at() {
            self.tick(now, host);
        }
        let next = Some(self.next_tick_at()).filter(|at| at.is_finite() && self.rings_at <= now);
        self.rings_at = next.unwrap_or(self.rings_at);
        next
    }

    /// Does what is due.
    pub fn tick(&mut self, now: f64, host: &mut impl SignalHost) {
        if self.config.lends && now >= self.look_at {
            self.look_at = now + LOOK;
            let mut out = Vec::new();
            if self.manner == SignalBehavior::ClaimsAlways {
                self.look_at = now + LOOK / 2.0;
                self.lend.ask_anew();
                self.lend.look(now, &mut Shouting(host), &mut out);
            } else {
                self.lend.look(now, host, &mut out);
            }
            self.say(now, out, host);
        }
        if self.config.sends_reports && now >= self.tell_at {
            self.tell_at = now + TELL * (0.75 + 0.5 * self.chance.generate::<f64>());
            self.tell_news(now, host);
        }
    }

    fn tell_news(&mut self, now: f64, host: &mut impl SignalHost) {
        let news = match self.manner {
            SignalBehavior::StaleReports => self.old_news(now),
            _ => self.fresh_news(now),
        };
        self.spread(now, news, host);
    }

    /// What a faulty process tells: what it saw ten seconds ago, as if it were new.
    fn old_news(&mut self, now: f64) -> Vec<(f64, NodeReport)> {
        let fresh = self.fresh_news(now);
        self.kept.push_back((now, fresh));
        let old = self.kept.front().is_some_and(|(at, _)| now - at >= 10.0);
        let old = old.then(|| self.kept.pop_front()).flatten();
        let old = old.map_or_else(Vec::new, |(_, news)| news);
        old.into_iter().map(|(worth, news)| (worth, NodeReport { age: 0.0, ..news })).collect()
    }

    fn fresh_news(&mut self, now: f64) -> Vec<(f64, NodeReport)> {
        self.seen.retain(|_, seen| now - seen.at / seen.answers < STALE);
        let mean = self.mean.0 / self.mean.1.max(1e-9);
        let mut news: Vec<(f64, NodeReport)> = Vec::new();
        for (block, seen) in &self.seen {
            let (latency_ratio, age) = (seen.sum / seen.answers, (now - seen.at / seen.answers).max(0.0));
            let answers = seen.answers.min(MOST_ANSWERS);
            // Worth of an entry: how much it changes what others would hold, who know all nodes' mean.
            news.push((
                answers * ((latency_ratio - mean).abs() + 0.1 * mean),
                NodeReport { block: *block, latency_ratio, answers, age },
            ));
        }
        news
    }

    /// To as many others as what the answers earned lets hear it.
    fn spread(&mut self, now: f64, mut news: Vec<(f64, NodeReport)>, host: &mut impl SignalHost) {
        let others = self.config.members.iter().copied();
        let others: Vec<MemberId> =
            others.filter(|one| *one != self.config.own_id && !self.lend.is_dead(*one)).collect();
        news.sort_by(|one, other| other.0.total_cmp(&one.0));
        news.truncate((MAX_SIGNAL_BYTES - HEAD - 2) / ENTRY);
        let length = HEAD + 2 + ENTRY * news.len();
        let receivers = ((self.budget / length as f64) as usize).min(others.len());
        if news.is_empty() || receivers == 0 {
            return;
        }
        self.budget -= (length * receivers) as f64;
        self.seen.clear();
        let news: Vec<NodeReport> = news.into_iter().map(|(_, news)| news).collect();
        let mut to = others;
        self.chance.shuffle(&mut to);
        to.truncate(receivers);
        self.counts.told += (news.len() * to.len()) as u64;
        let out = to.into_iter().map(|to| (to, Part::NodeReports(news.clone()))).collect();
        self.say(now, out, host);
    }

    /// Parts to members, those to one together in as few messages as hold them.
    fn say(&mut self, now: f64, out: Vec<(MemberId, Part)>, host: &mut impl SignalHost) {
        let mut by_member: BTreeMap<MemberId, Vec<Part>> = BTreeMap::new();
        out.into_iter().for_each(|(to, part)| by_member.entry(to).or_default().push(part));
        for (to, parts) in by_member {
            let (mut held, mut length) = (Vec::new(), HEAD);
            for part in parts {
                if length + part.length() > MAX_SIGNAL_BYTES {
                    self.send(now, to, std::mem::take(&mut held), host);
                    length = HEAD;
                }
                length += part.length();
                held.push(part);
            }
            self.send(now, to, held, host);
        }
    }

    fn send(&mut self, now: f64, to: MemberId, parts: Vec<Part>, host: &mut impl SignalHost) {
        let (room, at) = self.room;
        let room = (room + MOST_SENT * (now - at).max(0.0)).min(MOST_SENT);
        self.room = (room, now);
        if room < 1.0 {
            self.counts.over += 1;
            return;
        }
        self.room.0 -= 1.0;
        self.number = self.number.wrapping_add(1);
        let bytes = Signal { incarnation: self.config.incarnation, number: self.number, parts }.encode();
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        host.send_signal(to, &bytes);
    }

    /// A message came.
    pub fn signal_received(&mut self, now: f64, from: MemberId, bytes: &[u8], host: &mut impl SignalHost) {
        let signal = match Signal::decode(bytes) {
            Ok(signal) => signal,
            Err(DecodeError::Malformed) => return self.counts.bad += 1,
            Err(DecodeError::WrongVersion) => return self.counts.version += 1,
        };
        if from == self.config.own_id || !self.config.members.contains(&from) {
            return self.counts.unknown += 1;
        }
        let fresh = Peer { incarnation: signal.incarnation, heard_at: now, came: ReplayWindow::default() };
        let peer = self.peers.entry(from).or_insert_with(|| fresh.clone());
        if peer.incarnation != signal.incarnation {
            let newer = signal.incarnation.wrapping_sub(peer.incarnation) as i32 > 0;
            if !newer
                && now - peer.heard_at < SILENT
                && self.config.disabled_safeguard != Some(Safeguard::Life)
            {
                return self.counts.old += 1;
            }
            *peer = fresh;
        }
        peer.heard_at = now;
        let first =
            peer.came.insert(signal.number) || self.config.disabled_safeguard == Some(Safeguard::Repeats);
        self.counts.heard += 1;
        self.counts.repeated += u64::from(!first);
        let mut out = Vec::new();
        for part in &signal.parts {
            match part {
                Part::NodeReports(news) if first => self.news(now, news, host),
                Part::NodeReports(_) => {}
                _ if self.config.lends => {
                    let lives = (signal.incarnation, self.config.incarnation);
                    if self.manner == SignalBehavior::ClaimsAlways {
                        self.lend.part_received(now, from, lives, part, &mut Shouting(host), &mut out);
                    } else {
                        self.lend.part_received(now, from, lives, part, host, &mut out);
                    }
                }
                _ => {}
            }
        }
        self.say(now, out, host);
    }

    fn news(&mut self, now: f64, news: &[NodeReport], host: &mut impl SignalHost) {
        for news in news {
            let answers = news.answers.min(MOST_ANSWERS);
            let age = if self.config.disabled_safeguard == Some(Safeguard::Age) { 0.0 } else { news.age };
            if answers > 0.0 && age < STALE {
                self.counts.news += 1;
                host.node_report_received(now, &NodeReport { answers, age, ..*news });
            }
        }
    }
}

const _: () = assert!(HEAD + 1 + 9 + 2 * MOST_TOLD <= MAX_SIGNAL_BYTES);
