//! All decisions of one initiator. The caller makes a [`Scheduler`] with `Scheduler::start`, then calls one method
//! for each event, in order, with the clock time `now`; what it wants done leaves through the `Outbox` in
//! that same call. `types.rs`: ids, settings, actions; `state.rs`: what is remembered; the rest only adds up.

#![allow(clippy::too_many_arguments)] // events come as plain arguments

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanorand::{Rng, WyRand};

use crate::sliding_window::SlidingWindow;
use crate::state::*;
use crate::token_bucket::TokenBucket;
use crate::types::*;

/// The design's starting estimates: a random unit of work against the due time, a run against a random one.
const RANDOM_PART: f64 = 1.0 / 8.0;
const RUN_PART: f64 = 0.1;
const RECENT: usize = 2; // extents remembered for the run test: other initiators push older ones out
const MOST_OUT: f64 = 20.0; // the design's bound on shots out at one node for one initiator
/// Mean share of the due time that a shot may spend at the node; the rest is for waiting here, where there is
/// still a choice. Even one shot from each initiator can be a queue, so slack waits past the second figure
/// and, over the volume's initiators, the third, by the fourth at most: a surge comes through all at once.
/// Past the last the reserves wait too, or single shots keep a jam up without end.
const NODE_PART: f64 = 0.1;
const SLACK_PART: f64 = 0.15;
const SLACK_ALONE: f64 = 1.0;
const SLACK_MOST: f64 = 0.6;
const RESERVE_PART: f64 = 1.2;
/// A new object waits by this many mean stays of all nodes: it finds a quick one while what is fixed can't.
const MOVABLE: f64 = 2.0;
const FEW: f64 = 3.0; // seconds over which use is compared
const LONG: f64 = 20.0; // seconds over which work at a node is averaged: at size it is one in ten seconds
const HEARSAY: f64 = 0.5; // what another's answer counts: it is late, and may not be so
const PRIOR: f64 = 3.0; // answers that a wider measure counts for where a narrower one has few
/// Share of time-outs, at a node that is quick otherwise, that means lost answers; and the stays waited then.
const LOSSY: f64 = 0.1;
const STAYS: f64 = 4.0;
/// Part of a cold node's budget that is claimed by what the node before settled; the rest is for chance.
const EARLIER_PART: f64 = 0.85;
const CROWDED: f64 = 3.0; // standard deviations by which a node may have more initiators than the mean node
/// Part of the grace in which a draining node is still sent to; the rest is for news long on its way.
const GRACE_PART: f64 = 0.6;
const LOOK_AHEAD: usize = 16; // transactions of a line that are looked at, if those before have to wait
const IDLE: f64 = 60.0; // seconds without use, at least, after which an account is let go
const GAP_CLAMP: f64 = 3.0; // times what the node's pace makes likely, that a single gap counts at most

/// Most measures forget after three seconds.
impl Default for SlidingWindow {
    fn default() -> Self {
        SlidingWindow::new(0.5, 6)
    }
}

pub struct Scheduler {
    set: Settings,
    chance: WyRand,
    shortest: f64,
    highest: f64,
    /// Of all nodes: stays, stays of answers alone, and the share of shots that timed out.
    fleet: SlidingWindow,
    quick: SlidingWindow,
    lost: SlidingWindow,
    started: f64,
    transactions: BTreeMap<TransactionId, Transaction>,
    posts: BTreeMap<BlockId, NodeState>,
    volumes: BTreeMap<VolumeId, Volume>,
    turns: BTreeMap<ExtentId, KeyQueue>,
    /// Transactions that came for each block, of late.
    asked: BTreeMap<BlockId, f64>,
    longest: Vec<f64>,
    taken: SlidingWindow,
    further: SlidingWindow,
    failed_calls: i32,
    began: Option<bool>,
    swept_at: f64,
    /// Estimated node time of one random unit; units already tell a large transaction from a small one.
    unit_time: f64,
}

const TAG_GIVE_UP: u64 = 0;
const TAG_WAKE: u64 = 1;
const TAG_ASK: u64 = 2;
const TAG_LATE: u64 = 3;

impl Scheduler {
    pub fn start(now: f64, seed: u64, mut set: Settings, out: &mut impl Outbox) -> Self {
        if set.must_subscribe {
            out.subscribe(true);
        }
        set.plans.push(Plan::default()); // that of a volume without a plan
        set.initiators = set.initiators.max(1.0);
        set.mean_units = set.mean_units.max(1.0);
        let shortest = set.bands.iter().map(|band| band.due).fold(f64::INFINITY, f64::min);
        let highest = set.bands.iter().map(|band| band.benefit).fold(1e-9, f64::max);
        let look_back = set.retry_budget.map_or(1.0, |(_, _, look_back)| look_back);
        Scheduler {
            chance: WyRand::new_seed(seed),
            shortest,
            highest,
            started: now,
            fleet: SlidingWindow::new(0.25, 4),
            quick: SlidingWindow::default(),
            lost: SlidingWindow::default(),
            longest: vec![0.0; set.bands.len()],
            // One ring forgets a little early, the other a little late, so that neither helps the budget.
            taken: SlidingWindow::new(look_back / 50.0, 50),
            further: SlidingWindow::new(look_back / 50.0, 52),
            unit_time: shortest.min(1e3) * RANDOM_PART / set.mean_units,
            transactions: BTreeMap::new(),
            posts: BTreeMap::new(),
            volumes: BTreeMap::new(),
            turns: BTreeMap::new(),
            asked: BTreeMap::new(),
            failed_calls: 0,
            began: None,
            swept_at: now,
            set,
        }
    }

    pub fn node_list_received(
        &mut self, now: f64, scope: ListKind, entries: &[ListedNode], out: &mut impl Outbox,
    ) {
        if scope == ListKind::FetchFailed {
            // May mean a lost subscription. Spaced and jittered: a crowd of repeats would choke the register.
            self.failed_calls += 1;
            let wait = 0.5 * f64::from(1 << self.failed_calls.min(3)) * self.spread();
            return out.set_timer(wait, TAG_ASK);
        }
        self.failed_calls = 0;
        if scope != ListKind::Changes {
            let listed: BTreeSet<_> = entries.iter().map(|(node, ..)| Some(node)).collect();
            let gone = self.posts.values_mut().filter(|post| !listed.contains(&post.node.as_ref()));
            gone.for_each(|post| post.until = 0.0);
        }
        for (node, block, condition, started, size) in entries {
            let ours = self.posts.get(block).is_some_and(|post| post.node.as_ref() == Some(node));
            if *condition != NodeCondition::Ready {
                let serves = scope == ListKind::Changes && *condition == NodeCondition::Draining;
                let until = if serves { now + GRACE_PART * self.set.drain_grace } else { 0.0 };
                self.posts.get_mut(block).filter(|_| ours).into_iter().for_each(|post| {
                    post.until = post.until.min(until);
                });
                continue;
            }
            if !ours || self.posts[block].started != *started {
                let before = self.posts.remove(block).unwrap_or_default();
                let NodeState { lines, again, out, hosts, earlier_rate_at, .. } = before;
                // A replacement that is listed as smaller bears as much less.
                let smaller = *size > 0.0 && before.size > 0.0;
                let earlier_rate =
                    before.earlier_rate * if smaller { (size / before.size).min(1.0) } else { 1.0 };
                let (node, started, out) = (Some(node.clone()), *started, if ours { out } else { 0.0 });
                let elsewhere = self.transactions.values_mut().filter(|t| !ours && t.block == *block);
                elsewhere.for_each(|t| t.late_at = f64::INFINITY); // holds no credit here
                let known = started > 0.0 && self.set.overload_window > 0.0;
                let warm_at = if known { started + self.set.warm_up + self.set.overload_window } else { 0.0 };
                let fresh = NodeState { warm_at, earlier_rate, earlier_rate_at, ..self.fresh_post() };
                let post = NodeState { node, started, lines, again, out, hosts, ..fresh };
                self.posts.insert(*block, post);
            }
            let post = self.post(*block);
            (post.until, post.size) = (f64::INFINITY, if *size > 0.0 { *size } else { 1.0 });
            self.pump(now, *block, out);
        }
    }

    pub fn transaction_received(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut impl Outbox,
    ) {
        self.taken.add(now, 1.0, 1.0);
        if now >= self.swept_at + IDLE {
            self.let_go(now);
        }
        let plan = plan.unwrap_or(PlanId(self.set.plans.len() - 1));
        let (initiators, burst) = (initiators.max(1.0), self.set.plans[plan.0].burst);
        // Empty at the start, unless all was seen from the beginning: a restart must not hand out a second
        // burst. One that is let go, or first used late, has filled since the start; so it may be let go.
        let level = if self.began == Some(true) { burst / initiators } else { 0.0 };
        self.volumes.entry(volume.clone()).or_insert_with(|| {
            let fresh = Volume { reserve: f64::INFINITY, filled_at: self.started, ..Volume::default() };
            // What an earlier life lent counts at others until it has lapsed there.
            let limit = TokenBucket {
                level,
                filled_at: self.started + self.set.earlier_loans_hold,
                ..TokenBucket::default()
            };
            let limit_id = LimitId::of_volume(&volume);
            Volume { plan, initiators, limit, limit_id, part: 1.0 / initiators, ..fresh }
        });
        // A client's repeat has less time left than a first try; what it spent counts against its due time.
        // More spent than a refusal and the advised wait explain is an impatient caller, not a repeat.
        self.longest[band.0] = self.longest[band.0].max(budget);
        let explained = 1.25 * (self.set.bands[band.0].due + self.set.max_retry_after);
        let spent = Some(self.longest[band.0] - budget).filter(|spent| *spent < explained).unwrap_or(0.0);
        let due = now + (self.set.bands[band.0].due - spent).min(budget);
        let (late, movable) = (due <= now, block.is_none());
        let block = block.unwrap_or_else(|| self.place(now, units));
        *self.asked.entry(block).or_default() += 1.0;
        let post = self.post(block);
        post.hosts = post.hosts.max(initiators);
        let estimate = units * self.unit_time;
        // Given up while the stay at the node, as its last answers were, would still fit.
        let sojourn = estimate * self.post(block).delays.mean(now, 1.0);
        let give_up = if late { now } else { (due - sojourn).max(0.75 * now + 0.25 * due) };
        if let Some(extent) = extent.as_ref().filter(|_| self.set.bands[band.0].ordered) {
            self.turns.entry(extent.clone()).or_default().line.push_back(id);
        }
        let t = Transaction { band, volume, extent, units, block, movable, ..Transaction::default() };
        self.transactions.insert(id, Transaction { due, outer: now + budget, give_up, estimate, ..t });
        self.shift(id, if late { State::Retry } else { State::Waiting });
        self.pump(now, block, out);
        if self.transactions[&id].state == State::Waiting {
            out.set_timer(give_up - now, id.0 << 2 | TAG_GIVE_UP);
        } else if self.transactions[&id].state == State::Retry {
            // Late already: it had its chance at credit that nothing in time wanted.
            self.give_up(now, id, out);
        }
    }

    pub fn shot_completed(
        &mut self, now: f64, id: TransactionId, node: &NodeId, _shot: u32, used: f64, delay: f64, last: bool,
        outcome: Outcome, others: f64, _report: &[f64], out: &mut impl Outbox,
    ) {
        let Some(t) = self.transactions.get_mut(&id) else { return };
        t.shot_out = false;
        if !matches!(outcome, Outcome::QueueFull | Outcome::Unreachable | Outcome::Abandoned) {
            t.maybe_ran.get_or_insert(t.sent_at);
        }
        let (block, over) = (t.block, t.state == State::Finished);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let turn = t.extent.as_ref().and_then(|extent| self.turns.get_mut(extent));
            turn.into_iter().for_each(|turn| turn.quiet_until = now + self.set.key_quiet_period);
        }
        if outcome == Outcome::Settled && self.began.is_none() {
            // No period of use is over anywhere: all initiators have just begun, this one for the first time.
            self.began = Some(self.set.reports_usage && used == 0.0);
            for volume in self.volumes.values_mut().filter(|_| self.began == Some(true)) {
                volume.limit.level += self.set.plans[volume.plan.0].burst / volume.initiators;
            }
        }
        self.learn(now, id, used, others);
        let late = self.transactions[&id].late_at == f64::INFINITY;
        if self.post(block).node.as_ref() == Some(node) && (!late || outcome == Outcome::Settled) {
            self.account(now, id, delay, outcome, out);
        }
        if over || last || outcome == Outcome::Settled {
            self.end(now, id, out);
        } else if self.may_send(now, id) && now < self.transactions[&id].give_up {
            let t = &self.transactions[&id];
            let block = if t.movable && t.maybe_ran.is_none() { self.place(now, t.units) } else { t.block };
            let t = self.transactions.get_mut(&id).unwrap();
            t.block = block;
            out.set_timer(t.give_up - now, id.0 << 2 | TAG_GIVE_UP);
            self.shift(id, State::Retry);
            self.pump(now, block, out);
        } else {
            self.give_up(now, id, out);
        }
        self.pump(now, block, out);
    }

    /// What other initiators had to say; whether units were there to move.
    pub fn peer_report_received(&mut self, now: f64, shared: PeerReport, out: &mut impl Outbox) -> bool {
        match shared {
            PeerReport::Latency(block, stay, answers, ago) => {
                let (post, weight) = (self.posts.get_mut(&block), answers * HEARSAY);
                post.is_some_and(|post| post.others.add_at(now, now - ago, stay * weight, weight))
            }
            PeerReport::Units(account, units, until) => {
                now < until && self.moved(now, account, units, until, out)
            }
        }
    }

    fn moved(&mut self, now: f64, account: LimitId, units: f64, until: f64, out: &mut impl Outbox) -> bool {
        let name = self.volumes.iter().find(|(_, volume)| volume.limit_id == account);
        let Some(name) = name.map(|(name, _)| name.clone()) else { return false };
        self.fill(now, &name);
        let done = self.volumes.get_mut(&name).unwrap().limit.transfer(units, until);
        let blocks: Vec<BlockId> = self.posts.keys().filter(|_| units > 0.0).copied().collect();
        blocks.into_iter().for_each(|block| self.pump(now, block, out));
        done
    }

    /// Accounts that are shared with others, and how each stands here.
    pub fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        let mut waits: BTreeMap<VolumeId, f64> = BTreeMap::new();
        let waiting = self.transactions.values().filter(|t| t.state == State::Waiting);
        for (name, block, units) in waiting.map(|t| (t.volume.clone(), t.block, t.units)).collect::<Vec<_>>()
        {
            // More of its limit helps only what its node has room for.
            if self.stay(now, block) <= self.room(now, &name, 1, false) && now < self.posts[&block].until {
                *waits.entry(name).or_default() += units;
            }
        }
        let limited = |(_, volume): &(_, &Volume)| self.set.plans[volume.plan.0].limit > 0.0;
        let names: Vec<_> = self.volumes.iter().filter(limited).map(|(name, _)| name.clone()).collect();
        let need = |name: VolumeId| {
            self.fill(now, &name);
            let volume = self.volumes.get_mut(&name).unwrap();
            let over = volume.limit.level - waits.get(&name).copied().unwrap_or(0.0);
            // A second's use of its own is kept.
            let keep = volume.usage.sum(now) / FEW / self.unit_time;
            LimitBalance {
                limit_id: volume.limit_id,
                spare: (over - keep).max(0.0),
                shortfall: (-over).max(0.0),
            }
        };
        names.into_iter().map(need).collect()
    }

    /// Volumes and ordered keys held, for those who watch memory.
    pub fn tracked_counts(&self) -> (usize, usize) {
        (self.volumes.len(), self.turns.len())
    }

    /// Against accounts without end: volumes whose limit is full again, keys that have rested, old news.
    fn let_go(&mut self, now: f64) {
        self.swept_at = now;
        let used: BTreeSet<&VolumeId> = self.transactions.values().map(|t| &t.volume).collect();
        self.volumes.retain(|name, volume| {
            let plan = &self.set.plans[volume.plan.0];
            let full = if plan.limit > 0.0 { 2.0 * plan.burst / plan.limit } else { 0.0 };
            used.contains(name) || now - volume.filled_at < full.max(IDLE)
        });
        self.turns.retain(|_, turn| !turn.line.is_empty() || now < turn.quiet_until);
        self.posts.values_mut().for_each(|post| post.told.retain(|_, at| now - *at < IDLE));
        self.asked.values_mut().for_each(|asked| *asked /= 2.0);
    }

    /// Against work that nobody waits for. Where nodes go on with it all the same, its news is lost.
    pub fn client_cancelled(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let sent = self.transactions.get(&id).filter(|t| t.shot_out && self.set.may_cancel);
        sent.into_iter().for_each(|t| out.cancel(id, t.shots - 1));
        self.end(now, id, out);
    }

    pub fn timer_fired(&mut self, now: f64, tag: u64, out: &mut impl Outbox) {
        match (tag & 3, tag >> 2) {
            (TAG_GIVE_UP, id) => {
                let id = TransactionId(id);
                let Some(t) = self.transactions.get(&id) else { return };
                if matches!(t.state, State::Waiting | State::Retry) && now >= t.give_up - 1e-6 {
                    self.give_up(now, id, out);
                }
            }
            (TAG_WAKE, block) => {
                self.post(BlockId(block as i64)).wake_at = 0.0;
                self.pump(now, BlockId(block as i64), out);
            }
            (TAG_LATE, id) => self.write_off(now, TransactionId(id), out),
            _ => out.subscribe(true),
        }
    }

    /// Every change of a transaction's state, with the line it leaves and the line it joins.
    fn shift(&mut self, id: TransactionId, to: State) {
        let t = self.transactions.get_mut(&id).unwrap();
        let from = std::mem::replace(&mut t.state, to);
        let due = t.due;
        let post = self.posts.get_mut(&t.block).unwrap();
        match from {
            State::Waiting => {
                post.lines.get_mut(&t.volume).unwrap().retain(|held| *held != id);
                post.lines.retain(|_, line| !line.is_empty());
            }
            State::Retry => post.again.retain(|held| *held != id),
            State::InFlight | State::Finished => {}
        }
        match to {
            State::Waiting => {
                let line = post.lines.entry(t.volume.clone()).or_default();
                let at = line.iter().rposition(|held| self.transactions[held].due <= due);
                line.insert(at.map_or(0, |at| at + 1), id);
            }
            State::Retry => post.again.push_back(id),
            State::InFlight | State::Finished => {}
        }
    }

    // The ordinary path.
    fn pump(&mut self, now: f64, block: BlockId, out: &mut impl Outbox) {
        loop {
            let post = self.post(block);
            if now >= post.until || post.held() == 0.0 || post.out >= post.bound.floor() + 1.0 {
                return;
            }
            // The shot beyond the bound is the reserves' alone: slack sent before does not delay them.
            let (full, mut wake) = (post.out >= post.bound.floor(), post.next_try);
            if now >= wake {
                let stay = self.stay(now, block);
                match self.pick(now, block, full, stay) {
                    Ok(id) => {
                        self.send(now, id, out);
                        continue;
                    }
                    Err(at) => wake = if full && stay <= SLACK_PART { at } else { at.min(now + 0.05) },
                }
            }
            let post = self.post(block);
            if wake > now && wake < f64::INFINITY && post.wake_at <= now {
                post.wake_at = wake.max(now + 0.01);
                out.set_timer(post.wake_at - now, (block.0 as u64) << 2 | TAG_WAKE);
            }
            return;
        }
    }

    /// Mean stay at the node, in due times, by the answers of the last half second; where these are few, by
    /// those of the last seconds, and where these are, by all nodes. Silence tells as much as a late answer.
    fn stay(&mut self, now: f64, block: BlockId) -> f64 {
        let fleet = self.fleet.mean_with_prior(now, 0.0, PRIOR);
        let lossy = self.lossy(now, block);
        let post = self.posts.get_mut(&block).unwrap();
        // Only where there is nothing of one's own: what others saw is late, and all would follow it.
        let hearsay = post.others.has_samples(now) && !post.stays.has_samples(now);
        let wide = if hearsay { post.others.mean_with_prior(now, fleet, PRIOR) } else { fleet };
        let wide = post.stays.mean_with_prior(now, wide, PRIOR);
        // Not where answers get lost on the way: there shots are stopped early, and silence is no jam.
        let silent = if post.out > 0.0 && !lossy { (now - post.silent_since) / self.shortest } else { 0.0 };
        post.strain.mean_with_prior(now, wide, PRIOR).max(silent)
    }

    /// Whether answers of this node, or all where few, get lost: many time out though others are quick.
    fn lossy(&mut self, now: f64, block: BlockId) -> bool {
        let (lost, quick) = (self.lost.mean(now, 0.0), self.quick.mean(now, 1.0));
        let post = self.posts.get_mut(&block).unwrap();
        post.lost.mean_with_prior(now, lost, PRIOR) > LOSSY
            && post.strain.mean_with_prior(now, quick, PRIOR) < 0.3
    }

    /// The next transaction for this node, or when to look again.
    fn pick(&mut self, now: f64, block: BlockId, full: bool, stay: f64) -> Result<TransactionId, f64> {
        let (mut look_again, mut best) = (f64::INFINITY, None);
        let (cold, all) = (self.cold(now, block), self.quick.mean_with_prior(now, 0.0, PRIOR));
        let heads = |line: &VecDeque<TransactionId>| line.iter().copied().take(LOOK_AHEAD).collect();
        let post = &self.posts[&block];
        let lines: Vec<Vec<_>> = post.lines.values().chain([&post.again]).map(heads).collect();
        for line in lines {
            let mut ready = |id: &TransactionId| {
                let at = self.ready_at(now, *id);
                look_again = look_again.min(at);
                at <= now
            };
            let Some(id) = line.into_iter().find(&mut ready) else { continue };
            let t = &self.transactions[&id];
            let (name, state, estimate) = (t.volume.clone(), t.state, t.estimate);
            let (band, movable) = (t.band, t.movable);
            let rank = match state {
                State::Retry => (2, 0.0),
                _ if cold => (0, -self.set.bands[band.0].benefit * self.plan(&name).benefit_factor),
                _ => self.rank(now, &name, estimate),
            };
            let stay = if movable { stay.max(MOVABLE * all) } else { stay };
            // By benefit: what can wait long is there whenever a jammed node opens, what can't was given up.
            let worth = self.set.bands[band.0].benefit / self.highest;
            if stay <= self.room(now, &name, rank.0, full) * worth
                && best.is_none_or(|(known, _)| rank < known)
            {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id).ok_or(look_again)
    }

    /// The stay past which a transaction of this class waits.
    fn room(&mut self, now: f64, name: &VolumeId, class: u8, full: bool) -> f64 {
        if class == 0 {
            return RESERVE_PART;
        } else if full {
            return -1.0;
        }
        let sized = self.plan(name).nominal * self.unit_time * FEW;
        let used = self.used(now, name).max(1e-9);
        let fit = if sized > 0.0 { (2.0 * sized / used).min(1.0) } else { 1.0 };
        (SLACK_PART + SLACK_ALONE * fit / self.volumes[name].initiators).min(SLACK_MOST)
    }

    /// Reserve first, by the time at which the bucket covers (or covered) the estimate; then slack, to the
    /// volume with the least charged time of the last few seconds for its weight.
    fn rank(&mut self, now: f64, name: &VolumeId, estimate: f64) -> (u8, f64) {
        let (share, span) = self.reserve(name);
        let weight = self.plan(name).weight.max(0.01);
        let reserved = self.plan(name).reservation * self.unit_time;
        let wait = (estimate.min(span) - self.volumes[name].reserve) / share.max(1e-9);
        if share > 0.0 && wait <= 0.0 {
            (0, wait)
        } else {
            let beyond = self.used(now, name) - reserved * FEW;
            (1, beyond.max(0.0) / weight)
        }
    }

    /// The reservation is split by who used the volume of late, evenly while little is known.
    fn learn(&mut self, now: f64, id: TransactionId, used: f64, others: f64) {
        let t = &self.transactions[&id];
        let name = t.volume.clone();
        let last = self.posts.get_mut(&t.block).unwrap().told.insert(name.clone(), now);
        let volume = self.volumes.get_mut(&name).unwrap();
        // The figure is of all the time since the last one: only the last few seconds of it count.
        let recent = last.map_or(0.0, |last| (FEW / (now - last).max(1e-3)).min(1.0));
        volume.theirs.add(now, others * recent * self.unit_time, 1.0);
        if used > 0.0 {
            let rate = (used - 1.0) / 100.0 * self.set.plans[volume.plan.0].nominal;
            volume.metered.add(now, rate * self.unit_time, 1.0);
        }
        let ours = volume.usage.sum(now).max(0.0);
        // A meter that tells under half of what this initiator used alone is of a time before: no news.
        let metered = volume.metered.has_samples(now) && 2.0 * FEW * volume.metered.mean(now, 0.0) >= ours;
        let (told, theirs) = (self.set.reports_others_usage || metered, self.theirs(now, &name));
        let volume = self.volumes.get_mut(&name).unwrap();
        let known = 2.0 * self.set.mean_units * self.unit_time;
        let part = (ours + known / volume.initiators) / (ours + theirs + known);
        volume.part = if told { part } else { 1.0 / volume.initiators };
    }

    /// Node time that all initiators used of the volume in the last few seconds.
    fn used(&mut self, now: f64, name: &VolumeId) -> f64 {
        let theirs = self.theirs(now, name);
        self.volumes.get_mut(name).unwrap().usage.sum(now) + theirs
    }

    /// What others used of that; where answers do not tell it, the meter's rate for all less one's own, late.
    fn theirs(&mut self, now: f64, name: &VolumeId) -> f64 {
        let volume = self.volumes.get_mut(name).unwrap();
        if self.set.reports_others_usage {
            return volume.theirs.sum(now);
        }
        (volume.metered.mean(now, 0.0) * FEW - volume.usage.sum(now)).max(0.0)
    }

    /// This initiator's part of the volume's reservation, in node time a second, and what its bucket spans
    /// either way: a second's share and a large transaction, as a share can be smaller than one transaction.
    fn reserve(&self, name: &VolumeId) -> (f64, f64) {
        let share = self.plan(name).reservation * self.volumes[name].part * self.unit_time;
        (share, share + 3.0 * self.set.mean_units * self.unit_time)
    }

    fn plan(&self, name: &VolumeId) -> &Plan {
        &self.set.plans[self.volumes[name].plan.0]
    }

    fn fill(&mut self, now: f64, name: &VolumeId) {
        let (share, span) = self.reserve(name);
        let parts = self.volumes[name].initiators;
        let (rate, burst) = (self.plan(name).limit / parts, self.plan(name).burst / parts);
        let volume = self.volumes.get_mut(name).unwrap();
        let past = now - std::mem::replace(&mut volume.filled_at, now);
        volume.reserve = (volume.reserve + share * past).min(span);
        volume.limit.refill(now, rate, burst);
    }

    fn charge(&mut self, now: f64, name: &VolumeId, time: f64) {
        let (_, span) = self.reserve(name);
        let volume = self.volumes.get_mut(name).unwrap();
        volume.reserve = (volume.reserve - time).clamp(-span, span);
        volume.usage.add(now, time, 1.0);
    }

    fn send(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        self.shift(id, State::InFlight);
        let lossy = self.lossy(now, self.transactions[&id].block);
        let t = self.transactions.get_mut(&id).unwrap();
        let mut estimate = t.units * self.unit_time;
        let post = self.posts.get_mut(&t.block).unwrap();
        if let Some(extent) = &t.extent {
            if t.shots == 0 && post.recent.contains(extent) {
                estimate *= RUN_PART;
            }
            post.recent.retain(|known| known != extent);
            post.recent.push_front(extent.clone());
            post.recent.truncate(RECENT);
        }
        (t.estimate, t.sent_at, t.was_idle, t.shot_out) = (estimate, now, post.out == 0.0, true);
        post.silent_since = if post.out == 0.0 { now } else { post.silent_since };
        post.out += 1.0;
        let likely = estimate * post.delays.mean(now, 1.0);
        post.slow_start_sent.add(now, t.units, 1.0);
        post.saved = post.saved.map(|(saved, at)| (saved - t.units, at));
        t.shots += 1;
        let name = t.volume.clone();
        // To the outer limit, as a node may go on with what is timed out. Only where many time out though
        // others come back soon, answers get lost, and an early stop leaves time for another shot.
        let stay = (STAYS * likely).max(self.set.bands[t.band.0].due / 3.0);
        let stop_at = if lossy { t.outer.min(now + stay) } else { t.outer };
        t.late_at = now + stay;
        out.set_timer(stay, id.0 << 2 | TAG_LATE);
        post.node.iter().for_each(|node| out.send(id, stop_at, node));
        let (first, further) = if t.shots == 1 { (t.units, 0.0) } else { (0.0, 1.0) };
        self.further.add(now, further, 1.0);
        self.volumes.get_mut(&name).unwrap().limit.level -= first;
        self.charge(now, &name, estimate);
    }

    /// What an outcome tells of its node: the gap corrects the volume's account, the delay moves the bound.
    fn account(&mut self, now: f64, id: TransactionId, delay: f64, outcome: Outcome, out: &mut impl Outbox) {
        let t = &self.transactions[&id];
        let (estimate, units, block, name) = (t.estimate, t.units, t.block, t.volume.clone());
        // Twice the due time at most, so that one lost answer among good ones does not look like a jam.
        let stay = (delay / self.set.bands[t.band.0].due).min(2.0);
        let (was_idle, held) = (t.was_idle, f64::from(u8::from(t.late_at.is_finite())));
        let (cold, lossy) = (self.cold(now, block), self.lossy(now, block));
        let post = self.posts.get_mut(&block).unwrap();
        if outcome == Outcome::Settled || (outcome == Outcome::TimedOut && !lossy) {
            self.fleet.add(now, stay, 1.0);
            post.stays.add(now, stay, 1.0);
            out.latency_observed(block, stay);
        }
        post.out = (post.out - held).max(0.0);
        post.silent_since = now;
        let missed = f64::from(u8::from(outcome == Outcome::TimedOut));
        post.lost.add(now, missed, 1.0);
        self.lost.add(now, missed, 1.0);
        let lost = matches!(outcome, Outcome::Unreachable | Outcome::TimedOut | Outcome::Reset);
        post.misses = if lost { post.misses + 1 } else { 0 };
        match outcome {
            Outcome::Settled => {
                // Never above the delay: after a lost answer the last completion was of another time.
                let gap = if was_idle { delay } else { (now - post.last_done).clamp(0.0, delay.max(0.0)) };
                post.last_done = now;
                if !cold {
                    post.settled.add(now, units, 1.0);
                    // Over the whole span, however little of it was seen: a burst is no rate, leads move.
                    post.earlier_rate = post.settled.sum(now) / LONG;
                    post.earlier_rate_at = now;
                }
                post.gaps.add(now, gap, estimate);
                post.delays.add(now, delay, estimate);
                post.strain.add(now, stay, 1.0);
                self.quick.add(now, stay, 1.0);
                let strain = post.strain.mean(now, 0.0);
                if strain > NODE_PART {
                    post.bound = (post.bound * 0.9).max(1.0);
                } else if post.out + 1.0 >= post.bound.floor() {
                    post.bound = (post.bound + 1.0 / post.bound).min(MOST_OUT);
                }
                // Against a slow or shared node: its gaps are long for all alike, so a gap is read against
                // the node's own pace, and a pause that lands on one completion is clamped.
                let likely = (estimate * post.gaps.mean(now, 1.0)).max(1e-9);
                let measured = estimate * (gap / likely).clamp(1.0 / GAP_CLAMP, GAP_CLAMP);
                self.charge(now, &name, measured - estimate);
            }
            Outcome::QueueFull => (post.bound, post.next_try) = ((post.bound * 0.5).max(1.0), now + 0.02),
            // Three in a row are chance where every fourth answer is lost on the way.
            _ if lost && (outcome == Outcome::Unreachable || post.misses >= if lossy { 6 } else { 3 }) => {
                post.bound = 1.0;
                let wait = 0.05 * f64::from(1 << post.misses.min(5));
                self.post(block).next_try = now + wait * self.spread();
            }
            // An error, however fast, is charged as estimated and says nothing of the node's pace.
            _ => {}
        }
    }

    // Exceptions.
    /// Where a new object goes: the node with the most credit left, by chance among equals.
    fn place(&mut self, now: f64, units: f64) -> BlockId {
        let mut best = (f64::NEG_INFINITY, BlockId(0));
        for block in self.posts.keys().copied().collect::<Vec<_>>() {
            let stay = self.stay(now, block);
            let slow_start = if self.cold(now, block) && !self.slow_start_admits(now, block, units) {
                MOST_OUT
            } else {
                0.0
            };
            let post = &self.posts[&block];
            let shut = if post.until == f64::INFINITY && now >= post.next_try { 0.0 } else { 1e6 };
            // Among equals each gets its part by size.
            let race = (-self.chance.generate::<f64>().max(1e-9).ln() / post.size).min(20.0) / 40.0;
            let credit = post.bound.floor() - post.out - post.held() - shut - slow_start - stay - race;
            best = if credit > best.0 { (credit, block) } else { best };
        }
        self.post(best.1);
        best.1
    }

    /// Against a connection that falls silent though its node works: a shot far behind gives its credit back.
    fn write_off(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let late = self.transactions.get(&id).filter(|t| t.shot_out && now >= t.late_at - 1e-6);
        let Some((block, sent_at)) = late.map(|t| (t.block, t.sent_at)) else { return };
        let wait = now - sent_at;
        // Slow answers of all nodes tell of a jam, not of a silence: looked at again after as long.
        if self.quick.mean(now, 0.0) >= SLACK_PART {
            self.transactions.get_mut(&id).unwrap().late_at = now + wait;
            return out.set_timer(wait, id.0 << 2 | TAG_LATE);
        }
        self.account(now, id, now - sent_at, Outcome::TimedOut, out);
        self.transactions.get_mut(&id).unwrap().late_at = f64::INFINITY;
        self.pump(now, block, out);
    }

    fn give_up(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let Some(t) = self.transactions.get(&id) else { return };
        let Band { repeat, dedup_scope: scope, .. } = &self.set.bands[t.band.0];
        let free = matches!((repeat, scope), (Repeat::Repeatable, _) | (Repeat::Tagged, DedupScope::All));
        let harmless = !t.shot_out && (t.maybe_ran.is_none() || free);
        if harmless {
            let advice = if self.set.advises_retry { self.set.max_retry_after } else { 0.0 };
            out.decline(id, advice);
        } else {
            out.scrap(id);
        }
        self.end(now, id, out);
    }

    fn end(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let Some(t) = self.transactions.get(&id) else { return };
        let shot_out = t.shot_out;
        self.shift(id, State::Finished);
        if shot_out {
            return;
        }
        let Some(extent) = self.transactions.remove(&id).and_then(|t| t.extent) else { return };
        let Some(turn) = self.turns.get_mut(&extent) else { return };
        turn.line.retain(|waiting| *waiting != id);
        if let Some(next) = turn.line.front() {
            let block = self.transactions[next].block;
            self.pump(now, block, out);
        } else if turn.quiet_until <= now {
            self.turns.remove(&extent);
        }
    }

    // Guards of the rules.
    /// No effect twice, shots within their number and budget.
    fn may_send(&mut self, now: f64, id: TransactionId) -> bool {
        let t = &self.transactions[&id];
        if t.shots == 0 {
            return true;
        }
        let band = &self.set.bands[t.band.0];
        let repeats = match (band.repeat, t.maybe_ran) {
            (_, None) | (Repeat::Repeatable, _) => true,
            (Repeat::OnceOnly, _) => false,
            // The same block is the same cell, the smallest group there is.
            (Repeat::Tagged, Some(sent_at)) => now < sent_at + band.dedup_window,
        };
        let (share, free, _) = self.set.retry_budget.unwrap_or((0.0, f64::INFINITY, 0.0));
        let budget = self.further.sum(now) + 1.0 <= free + share * self.taken.sum(now);
        repeats && budget && !t.shot_out && t.shots < self.set.max_shots
    }

    /// Key order, limits, cold nodes: when this transaction may be sent, infinity while that is open.
    fn ready_at(&mut self, now: f64, id: TransactionId) -> f64 {
        if !self.may_send(now, id) {
            return now + 0.02;
        }
        let name = self.transactions[&id].volume.clone();
        self.fill(now, &name);
        let t = &self.transactions[&id];
        let (units, block, first) = (t.units, t.block, t.shots == 0);
        let turn = t.extent.as_ref().filter(|_| self.set.bands[t.band.0].ordered);
        if let Some(turn) = turn.and_then(|extent| self.turns.get(extent)) {
            if turn.line.front() != Some(&id) {
                return f64::INFINITY;
            }
            // The one that has the turn may be tried again without the rest.
            if first && now < turn.quiet_until {
                return turn.quiet_until;
            }
        }
        let (volume, limit) = (&self.volumes[&t.volume], self.plan(&t.volume).limit);
        if limit > 0.0 && first && volume.limit.level < units {
            return now + (units - volume.limit.level) * volume.initiators / limit;
        }
        if self.cold(now, block) && !self.slow_start_admits(now, block, units) {
            return now + 0.05;
        }
        now
    }

    fn cold(&self, now: f64, block: BlockId) -> bool {
        self.posts.get(&block).is_some_and(|post| now < post.warm_at)
    }

    /// How many initiators send to one node, at most: by symmetry as large a part of them as of the nodes is
    /// asked for here. What was not asked for yet is told by what was asked for once alone (Good and Turing).
    /// And no fewer than one volume there comes through, however few nodes each of them is asked for.
    fn users(&self, block: BlockId) -> f64 {
        let asked = || self.asked.values().filter(|asked| **asked >= 1.0);
        let (all, once) = (asked().sum::<f64>(), asked().filter(|asked| **asked < 2.0).sum::<f64>());
        let nodes = (all - once) / all.max(1.0) * self.posts.len() as f64;
        let mean = (asked().count() as f64).max(1.0) / nodes.max(1e-9) * self.set.initiators;
        (mean + CROWDED * mean.sqrt()).max(self.posts[&block].hosts).min(self.set.initiators)
    }

    /// Whether a cold node bears this in the rule's window: an even part of what it bears when just up, or if
    /// more a part of what the node before settled for this initiator, grown as the slowest node warms. Less
    /// than a mean transaction is saved up until it is one, from a start by chance: initiators spread.
    fn slow_start_admits(&mut self, now: f64, block: BlockId, units: f64) -> bool {
        let (first, warm) = (self.set.start_capacity.clamp(0.01, 1.0), self.set.warm_up.max(0.01));
        let (mean, window) = (self.set.mean_units, self.set.overload_window);
        let bears = self.set.cold_start_units.max(mean) / self.users(block);
        let phase = self.chance.generate::<f64>();
        let post = self.posts.get_mut(&block).unwrap();
        let age = (now - post.started - window).clamp(0.0, warm);
        let warmth = first + (1.0 - first) * age / warm;
        // Others may have taken over work that this initiator had long before the start.
        let old = 2.0 * LONG / (post.started - post.earlier_rate_at).max(2.0 * LONG);
        let earlier = EARLIER_PART * self.set.overload_multiple * post.earlier_rate * old * window;
        let part = (bears / first).max(earlier) * warmth;
        let (saved, at) = post.saved.unwrap_or((phase * mean, now));
        let saved = (saved + part * (now - at) / window).min(units.max(mean));
        post.saved = Some((saved, now));
        now >= self.started + window
            && (part - post.slow_start_sent.sum(now) >= units || (part < mean && saved >= units.max(mean)))
    }

    fn spread(&mut self) -> f64 {
        0.75 + 0.5 * self.chance.generate::<f64>()
    }

    fn fresh_post(&self) -> NodeState {
        NodeState {
            // The design's bound is one host's at a disk of its own; here all initiators share the node.
            bound: (MOST_OUT / self.set.initiators).max(1.0),
            strain: SlidingWindow::new(0.1, 5),
            slow_start_sent: SlidingWindow::new(self.set.overload_window.max(0.1) / 8.0, 9),
            settled: SlidingWindow::new(LONG / 8.0, 8),
            ..NodeState::default()
        }
    }

    fn post(&mut self, block: BlockId) -> &mut NodeState {
        let fresh = (!self.posts.contains_key(&block)).then(|| self.fresh_post());
        self.posts.entry(block).or_insert_with(|| fresh.unwrap())
    }
}
