//! All decisions of one initiator. The caller makes a [`Brain`] with `Brain::start`, then calls one method
//! for each event, in order, with the clock time `now`; what the brain wants done leaves through the `Outbox`
//! in that same call. A killed initiator is a dropped `Brain`. The interface (ids, settings, actions) is
//! `types.rs`; `ring.rs` only adds up. Order: values, states, events, ordinary path, exceptions, guards.

#![allow(clippy::too_many_arguments)] // events come as plain arguments

use std::collections::{BTreeMap, VecDeque};

use nanorand::{Rng, WyRand};

use crate::ring::Ring;
use crate::types::*;

/// The design's starting estimates: a random unit of work against the due time, a run against a random one.
const RANDOM_PART: f64 = 1.0 / 8.0;
const RUN_PART: f64 = 0.1;
/// Extents remembered for the run test; the node is shared, so only the very last are likely still warm.
const RECENT: usize = 2;
/// The design's bound on shots out at one node for one initiator.
const MOST_OUT: f64 = 20.0;
/// Mean share of the due time that a shot may spend at the node; the rest is for waiting here, where the
/// mechanism still has the choice. Past the second figure most answers would come too late: many initiators
/// share the node, so that even one shot each is a queue, and slack is spaced, down to the least bound.
const NODE_PART: f64 = 0.1;
const JAM_PART: f64 = 0.6;
const LEAST: f64 = 0.2;
/// Shots beyond the bound that only the reserves may use, so that slack sent before does not delay them.
const HEADROOM: f64 = 1.0;
/// Share of time-outs, at a node that is quick otherwise, that means lost answers; and the stays waited then.
const LOSSY: f64 = 0.1;
const STAYS: f64 = 4.0;
/// Part of what a cold node settled for us that it may be sent on top of its even budget. Answers can cost it
/// far less than the work they bring (runs, put-off writes), so it stays under one and cannot run away.
const PROOF: f64 = 0.6;
/// Transactions of one line that are looked at when those before them may not be sent yet.
const LOOK_AHEAD: usize = 16;
/// A single gap counts at most this many times what the node's pace makes likely, at least that part.
const GAP_CLAMP: f64 = 3.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Held for its first shot, in the line of its volume at its node.
    Waiting,
    /// Held in the node's second line: a further shot, or a client's repeat whose due time has passed.
    Again,
    Out,
    /// Answered; kept only while a shot has no outcome.
    Over,
}

struct Transaction {
    state: State,
    band: BandId,
    volume: VolumeId,
    extent: Option<ExtentId>,
    units: f64,
    block: BlockId,
    /// A new object: any node may take it until a shot may have run.
    movable: bool,
    due: f64,
    outer: f64,
    give_up: f64,
    shots: u32,
    shot_out: bool,
    sent_at: f64,
    was_idle: bool,
    estimate: f64,
    /// When the first shot that may have run was sent.
    maybe_ran: Option<f64>,
}

/// What is known of the node that holds one block, and what waits for it.
struct Post {
    node: Option<NodeId>,
    ready: bool,
    started: f64,
    out: f64,
    bound: f64,
    cut_at: f64,
    misses: i32,
    next_try: f64,
    paced_until: f64,
    wake_at: f64,
    last_done: f64,
    recent: VecDeque<ExtentId>,
    lines: BTreeMap<VolumeId, VecDeque<TransactionId>>,
    again: VecDeque<TransactionId>,
    held: f64,
    /// Completion gaps and delays, each against its estimate; delays against their due times.
    gaps: Ring,
    delays: Ring,
    strain: Ring,
    /// Shots that timed out, of all that ended.
    lost: Ring,
    /// Units sent to it and units it settled, over the window of the rule on cold nodes.
    young: Ring,
    proved: Ring,
}

struct Volume {
    plan: Option<PlanId>,
    initiators: f64,
    reserve: f64,
    limit: f64,
    filled_at: f64,
    usage: Ring,
}

#[derive(Default)]
struct Turn {
    line: VecDeque<TransactionId>,
    quiet_until: f64,
}

pub struct Brain {
    set: Settings,
    chance: WyRand,
    started: f64,
    transactions: BTreeMap<TransactionId, Transaction>,
    posts: BTreeMap<BlockId, Post>,
    volumes: BTreeMap<VolumeId, Volume>,
    turns: BTreeMap<ExtentId, Turn>,
    longest: Vec<f64>,
    taken: Ring,
    further: Ring,
    failed_calls: i32,
    /// Estimated node time of one random unit; units already tell a large transaction from a small one.
    unit_time: f64,
}

const TAG_GIVE_UP: u64 = 0;
const TAG_WAKE: u64 = 1;
const TAG_ASK: u64 = 2;

impl Brain {
    pub fn start(now: f64, seed: u64, set: Settings, out: &mut impl Outbox) -> Self {
        if set.must_ask {
            out.subscribe(true);
        }
        let shortest = set.bands.iter().map(|band| band.due).fold(f64::INFINITY, f64::min);
        let look_back = set.further.map_or(1.0, |(_, _, look_back)| look_back);
        Brain {
            chance: WyRand::new_seed(seed),
            started: now,
            transactions: BTreeMap::new(),
            posts: BTreeMap::new(),
            volumes: BTreeMap::new(),
            turns: BTreeMap::new(),
            longest: vec![0.0; set.bands.len()],
            // One ring forgets a little early, the other a little late, so that neither helps the budget.
            taken: Ring::new(look_back / 50.0, 50),
            further: Ring::new(look_back / 50.0, 52),
            failed_calls: 0,
            unit_time: shortest.min(1e3) * RANDOM_PART / set.mean_units.max(1.0),
            set,
        }
    }

    pub fn list_known(
        &mut self, now: f64, scope: ListScope, entries: &[(NodeId, BlockId, Condition, f64)],
        out: &mut impl Outbox,
    ) {
        if scope == ListScope::Failed {
            // The notice may mean a lost subscription, so ask again; spaced and jittered, because the
            // register serves all initiators and a crowd of repeats would keep it from answering any.
            self.failed_calls += 1;
            let wait = 0.5 * f64::from(1 << self.failed_calls.min(3)) * self.spread();
            return out.set_timer(wait, TAG_ASK);
        }
        self.failed_calls = 0;
        if scope != ListScope::Changes {
            for post in self.posts.values_mut() {
                post.ready &= entries.iter().any(|(node, ..)| Some(node) == post.node.as_ref());
            }
        }
        for (node, block, condition, started) in entries {
            let ours = self.posts.get(block).is_some_and(|post| post.node.as_ref() == Some(node));
            if *condition != Condition::Ready {
                if ours {
                    self.post(*block).ready = false;
                }
                continue;
            }
            if !ours || self.posts[block].started != *started {
                let fresh = self.fresh_post();
                let post = self.post(*block);
                let (lines, again) = (std::mem::take(&mut post.lines), std::mem::take(&mut post.again));
                let out = if ours { post.out } else { 0.0 };
                *post = Post { lines, again, held: post.held, out, ..fresh };
                (post.node, post.started) = (Some(node.clone()), *started);
            }
            self.post(*block).ready = true;
            self.pump(now, *block, out);
        }
    }

    pub fn taken(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut impl Outbox,
    ) {
        self.taken.add(now, 1.0, 1.0);
        self.volumes.entry(volume.clone()).or_insert_with(|| Volume {
            plan,
            initiators: initiators.max(1.0),
            reserve: 0.0,
            // Empty, not full: a restart must not hand out a second burst, and a first start looks the same.
            limit: 0.0,
            filled_at: now,
            usage: Ring::new(0.5, 6),
        });
        // A client's repeat has less time left than a first try; what it spent counts against its due time.
        // More spent than a refusal and the advised wait explain is an impatient caller, not a repeat.
        self.longest[band.0] = self.longest[band.0].max(budget);
        let explained = 1.25 * (self.set.bands[band.0].due + self.set.longest_return);
        let spent = Some(self.longest[band.0] - budget).filter(|spent| *spent < explained).unwrap_or(0.0);
        let due = now + (self.set.bands[band.0].due - spent).min(budget);
        let (late, movable) = (due <= now, block.is_none());
        let block = block.unwrap_or_else(|| self.place(now));
        let estimate = units * self.unit_time;
        // Given up while the stay at the node, as its last answers were, would still fit.
        let sojourn = estimate * self.post(block).delays.mean(now, 1.0);
        let give_up = if late { now } else { (due - sojourn).max(0.75 * now + 0.25 * due) };
        if self.set.bands[band.0].ordered {
            if let Some(extent) = &extent {
                self.turns.entry(extent.clone()).or_default().line.push_back(id);
            }
        }
        self.transactions.insert(
            id,
            Transaction {
                state: State::Over,
                band,
                volume,
                extent,
                units,
                block,
                movable,
                due,
                outer: now + budget,
                give_up,
                shots: 0,
                shot_out: false,
                sent_at: now,
                was_idle: false,
                estimate,
                maybe_ran: None,
            },
        );
        self.shift(id, if late { State::Again } else { State::Waiting });
        self.pump(now, block, out);
        match self.transactions[&id].state {
            State::Waiting => out.set_timer(give_up - now, id.0 << 2 | TAG_GIVE_UP),
            // Late already: it had its chance at credit that nothing in time wanted.
            State::Again => self.give_up(now, id, out),
            State::Out | State::Over => {}
        }
    }

    // Nothing is decided on these yet: no band streams, nodes are not probed, initiators do not talk.
    pub fn answer_began(&mut self, _: f64, _: TransactionId, _: u32, _: &NodeId, _: &mut impl Outbox) {}
    pub fn probed(&mut self, _: f64, _: &NodeId, _: Outcome, _: f64, _: &[f64], _: &mut impl Outbox) {}
    pub fn told(&mut self, _: f64, _: u64, _: &[u8], _: &mut impl Outbox) {}

    pub fn returned(
        &mut self, now: f64, id: TransactionId, node: &NodeId, _shot: u32, _used: f64, delay: f64,
        last: bool, outcome: Outcome, _others: f64, _report: &[f64], out: &mut impl Outbox,
    ) {
        let Some(t) = self.transactions.get_mut(&id) else { return };
        t.shot_out = false;
        let never_ran = matches!(outcome, Outcome::Full | Outcome::Unreachable | Outcome::Moot);
        if !never_ran {
            t.maybe_ran.get_or_insert(t.sent_at);
        }
        let (block, over) = (t.block, t.state == State::Over);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            if let Some(turn) = t.extent.as_ref().and_then(|extent| self.turns.get_mut(extent)) {
                turn.quiet_until = now + self.set.key_quiet;
            }
        }
        if self.post(block).node.as_ref() == Some(node) {
            self.account(now, id, delay, outcome);
        }
        if over || last || outcome == Outcome::Settled {
            self.end(now, id, out);
        } else if self.may_send(now, id) && now < self.transactions[&id].give_up {
            let t = &self.transactions[&id];
            let block = if t.movable && t.maybe_ran.is_none() { self.place(now) } else { t.block };
            let t = self.transactions.get_mut(&id).unwrap();
            t.block = block;
            out.set_timer(t.give_up - now, id.0 << 2 | TAG_GIVE_UP);
            self.shift(id, State::Again);
            self.pump(now, block, out);
        } else {
            self.give_up(now, id, out);
        }
        self.pump(now, block, out);
    }

    pub fn lapsed(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        self.end(now, id, out);
    }

    pub fn rang(&mut self, now: f64, tag: u64, out: &mut impl Outbox) {
        match (tag & 3, tag >> 2) {
            (TAG_GIVE_UP, id) => {
                let id = TransactionId(id);
                let Some(t) = self.transactions.get(&id) else { return };
                if matches!(t.state, State::Waiting | State::Again) && now >= t.give_up - 1e-6 {
                    self.give_up(now, id, out);
                }
            }
            (TAG_WAKE, block) => {
                self.post(BlockId(block as i64)).wake_at = 0.0;
                self.pump(now, BlockId(block as i64), out);
            }
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
                let line = post.lines.get_mut(&t.volume).unwrap();
                line.retain(|held| *held != id);
                if line.is_empty() {
                    post.lines.remove(&t.volume);
                }
            }
            State::Again => post.again.retain(|held| *held != id),
            State::Out | State::Over => {}
        }
        match to {
            State::Waiting => {
                let volume = t.volume.clone();
                let before = |held: &TransactionId| self.transactions[held].due <= due;
                let line = post.lines.entry(volume).or_default();
                let at = line.iter().rposition(before).map_or(0, |at| at + 1);
                line.insert(at, id);
            }
            State::Again => post.again.push_back(id),
            State::Out | State::Over => {}
        }
        let held = |state| f64::from(u8::from(matches!(state, State::Waiting | State::Again)));
        post.held += held(to) - held(from);
    }

    // The ordinary path.

    fn pump(&mut self, now: f64, block: BlockId, out: &mut impl Outbox) {
        loop {
            let post = self.post(block);
            if !post.ready || post.held == 0.0 || post.out >= post.bound.floor() + HEADROOM {
                return;
            }
            let pace_end = if post.bound < 1.0 { post.paced_until } else { 0.0 };
            let reserve_only = post.out >= post.bound.floor().max(1.0) || now < pace_end;
            let mut wake = post.next_try;
            if now >= post.next_try {
                match self.pick(now, block, reserve_only) {
                    Ok(id) => {
                        self.send(now, id, out);
                        continue;
                    }
                    Err(at) => wake = if now < pace_end { at.min(pace_end) } else { at },
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

    /// The next transaction for this node, or when to look again.
    fn pick(&mut self, now: f64, block: BlockId, reserve_only: bool) -> Result<TransactionId, f64> {
        let (mut look_again, mut best) = (f64::INFINITY, None);
        let cold = self.cold(now, block);
        let post = &self.posts[&block];
        let heads =
            |line: &VecDeque<_>| line.iter().copied().take(LOOK_AHEAD).collect::<Vec<TransactionId>>();
        let lines: Vec<_> = post.lines.iter().map(|(name, line)| (name.clone(), heads(line))).collect();
        for (name, line) in lines {
            self.fill(now, &name);
            let mut ready = |id: &TransactionId| {
                let at = self.ready_at(now, *id);
                look_again = look_again.min(at);
                at <= now
            };
            let Some(id) = line.into_iter().find(&mut ready) else { continue };
            let rank = if cold {
                let factor = self.plan(&name).map_or(1.0, |plan| plan.factor);
                (0, -self.set.bands[self.transactions[&id].band.0].benefit * factor)
            } else {
                self.rank(now, &name, self.transactions[&id].estimate)
            };
            if (rank.0 == 0 || !reserve_only) && best.is_none_or(|(known, _)| rank < known) {
                best = Some((rank, id));
            }
        }
        if best.is_none() && !reserve_only {
            for id in heads(&self.posts[&block].again) {
                let volume = self.transactions[&id].volume.clone();
                self.fill(now, &volume);
                let at = self.ready_at(now, id);
                if at <= now && self.may_send(now, id) {
                    return Ok(id);
                }
                look_again = look_again.min(at.max(now + 0.02));
            }
        }
        best.map(|(_, id)| id).ok_or(look_again)
    }

    /// Reserve first, by the time at which the bucket covers (or covered) the estimate; then slack, to the
    /// volume with the least charged time of the last few seconds for its weight.
    fn rank(&mut self, now: f64, name: &VolumeId, estimate: f64) -> (u8, f64) {
        let share = self.reserve_share(name);
        let weight = self.plan(name).map_or(1.0, |plan| plan.weight).max(0.01);
        let volume = self.volumes.get_mut(name).unwrap();
        // The bucket never holds more than a second's share, so a full one covers any estimate.
        let wait = (estimate.min(share) - volume.reserve) / share.max(1e-9);
        if share > 0.0 && wait <= 0.0 {
            (0, wait)
        } else {
            (1, volume.usage.sum(now) / weight)
        }
    }

    /// This initiator's part of the volume's reservation, in node time a second.
    fn reserve_share(&self, name: &VolumeId) -> f64 {
        let reservation = self.plan(name).map_or(0.0, |plan| plan.reservation);
        reservation / self.volumes[name].initiators * self.unit_time
    }

    fn plan(&self, name: &VolumeId) -> Option<&Plan> {
        self.volumes[name].plan.map(|plan| &self.set.plans[plan.0])
    }

    fn fill(&mut self, now: f64, name: &VolumeId) {
        let share = self.reserve_share(name);
        let parts = self.volumes[name].initiators;
        let (rate, burst) =
            self.plan(name).map_or((0.0, 0.0), |plan| (plan.limit / parts, plan.burst / parts));
        let volume = self.volumes.get_mut(name).unwrap();
        let past = now - volume.filled_at;
        volume.filled_at = now;
        volume.reserve = (volume.reserve + share * past).min(share);
        volume.limit = (volume.limit + rate * past).min(burst);
    }

    /// Charged time; the reserve bucket stays within a second's share either way.
    fn charge(&mut self, now: f64, name: &VolumeId, time: f64) {
        let share = self.reserve_share(name);
        let volume = self.volumes.get_mut(name).unwrap();
        volume.reserve = (volume.reserve - time).clamp(-share, share);
        volume.usage.add(now, time, 1.0);
    }

    fn send(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        self.shift(id, State::Out);
        let units = self.transactions[&id].units;
        let mut estimate = units * self.unit_time;
        let t = self.transactions.get_mut(&id).unwrap();
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
        post.out += 1.0;
        let likely = estimate * post.delays.mean(now, 1.0);
        post.paced_until = now + likely / post.bound;
        post.young.add(now, units, 1.0);
        t.shots += 1;
        let name = t.volume.clone();
        // To the outer limit, as a node may go on with what is timed out. Only where many shots time out
        // though others come back soon, answers get lost, and an early stop leaves time for another shot.
        let stay = (STAYS * likely).max(self.set.bands[t.band.0].due / 3.0);
        let lossy = post.lost.mean(now, 0.0) > LOSSY && post.strain.mean(now, 1.0) < 0.5 * JAM_PART;
        let stop_at = if lossy { t.outer.min(now + stay) } else { t.outer };
        post.node.iter().for_each(|node| out.send(id, stop_at, node));
        if t.shots > 1 {
            self.further.add(now, 1.0, 1.0);
        } else {
            self.volumes.get_mut(&name).unwrap().limit -= units;
        }
        self.charge(now, &name, estimate);
    }

    /// What an outcome tells of its node: the gap corrects the volume's account, the delay moves the bound.
    fn account(&mut self, now: f64, id: TransactionId, delay: f64, outcome: Outcome) {
        let t = &self.transactions[&id];
        let (estimate, units, block, name) = (t.estimate, t.units, t.block, t.volume.clone());
        let (due, was_idle) = (self.set.bands[t.band.0].due, t.was_idle);
        let post = self.post(block);
        post.out = (post.out - 1.0).max(0.0);
        post.lost.add(now, f64::from(u8::from(outcome == Outcome::TimedOut)), 1.0);
        match outcome {
            Outcome::Settled => {
                let gap = if was_idle { delay } else { (now - post.last_done).max(0.0) };
                post.last_done = now;
                post.misses = 0;
                post.proved.add(now, units, 1.0);
                post.gaps.add(now, gap, estimate);
                post.delays.add(now, delay, estimate);
                post.strain.add(now, delay / due, 1.0);
                let strain = post.strain.mean(now, 0.0);
                let (part, least) = if post.bound > 1.0 { (NODE_PART, 1.0) } else { (JAM_PART, LEAST) };
                if strain > part {
                    if now >= post.cut_at {
                        post.bound = (post.bound * 0.8).max(least);
                        post.cut_at = now + 0.2;
                    }
                } else if post.bound < 1.0 {
                    post.bound = (post.bound + 0.1).min(1.0);
                } else if strain <= NODE_PART && post.out + 1.0 >= post.bound.floor() {
                    post.bound = (post.bound + 1.0 / post.bound).min(MOST_OUT);
                }
                // Against a slow or shared node: its gaps are long for all alike, so a gap is read against
                // the node's own pace, and a pause that lands on one completion is clamped.
                let likely = (estimate * post.gaps.mean(now, 1.0)).max(1e-9);
                let measured = estimate * (gap / likely).clamp(1.0 / GAP_CLAMP, GAP_CLAMP);
                self.charge(now, &name, measured - estimate);
            }
            Outcome::Full => {
                post.misses = 0;
                post.bound = (post.bound * 0.5).max(LEAST);
                post.next_try = now + 0.02;
            }
            Outcome::Unreachable | Outcome::TimedOut | Outcome::Reset => {
                post.misses += 1;
                if outcome == Outcome::Unreachable || post.misses >= 3 {
                    post.bound = 1.0;
                    let wait = 0.05 * f64::from(1 << post.misses.min(5));
                    self.post(block).next_try = now + wait * self.spread();
                }
            }
            // An error, however fast, is charged as estimated and says nothing of the node's pace.
            Outcome::Failed => post.misses = 0,
            Outcome::Cancelled | Outcome::Moot => {}
        }
    }

    // Exceptions.

    /// Where a new object goes: the node with the most credit left, by chance among equals.
    fn place(&mut self, now: f64) -> BlockId {
        let mut best = (f64::NEG_INFINITY, BlockId(0));
        for (block, post) in &self.posts {
            let open = post.ready && now >= post.next_try;
            let credit = if open { post.bound.floor() - post.out - post.held } else { -1e6 };
            let young = if self.cold(now, *block) { MOST_OUT } else { 0.0 };
            let credit = credit - young + 0.5 * self.chance.generate::<f64>();
            if credit > best.0 {
                best = (credit, *block);
            }
        }
        self.post(best.1);
        best.1
    }

    fn give_up(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let Some(t) = self.transactions.get(&id) else { return };
        let band = &self.set.bands[t.band.0];
        let harmless = !t.shot_out
            && (t.maybe_ran.is_none()
                || band.repeat == Repeat::Repeatable
                || (band.repeat == Repeat::Tagged && band.scope == Scope::All));
        if harmless {
            let advice = if self.set.advises_return { self.set.longest_return } else { 0.0 };
            out.decline(id, advice);
        } else {
            out.scrap(id);
        }
        self.end(now, id, out);
    }

    fn end(&mut self, now: f64, id: TransactionId, out: &mut impl Outbox) {
        let Some(t) = self.transactions.get(&id) else { return };
        if t.state != State::Over {
            self.shift(id, State::Over);
        }
        if self.transactions[&id].shot_out {
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
            (Repeat::Tagged, Some(sent_at)) => now < sent_at + band.window,
        };
        let budget = self
            .set
            .further
            .is_none_or(|(share, free, _)| self.further.sum(now) + 1.0 <= free + share * self.taken.sum(now));
        repeats && budget && !t.shot_out && t.shots < self.set.most_shots
    }

    /// Key order, limits, cold nodes: when this transaction may be sent, infinity while that is open.
    fn ready_at(&mut self, now: f64, id: TransactionId) -> f64 {
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
        let (volume, limit) = (&self.volumes[&t.volume], self.plan(&t.volume).map_or(0.0, |plan| plan.limit));
        if limit > 0.0 && first && volume.limit < units {
            return now + (units - volume.limit) * volume.initiators / limit;
        }
        if self.cold(now, block) && self.young_left(now, block) < units {
            return now + 0.05;
        }
        now
    }

    fn cold(&self, now: f64, block: BlockId) -> bool {
        self.set.overload_for > 0.0
            && self.posts.get(&block).is_some_and(|post| {
                post.started > 0.0 && now < post.started + self.set.cold_for + self.set.overload_for
            })
    }

    /// What this initiator may still send a cold node within the rule's window: its even part of what the
    /// node bears when it comes up, grown as evenly as the slowest node warms. Just after its own start it
    /// knows nothing of what it sent before, so it counts the window as spent.
    fn young_left(&mut self, now: f64, block: BlockId) -> f64 {
        if now < self.started + self.set.overload_for {
            return 0.0;
        }
        let (first, warm) = (self.set.start_capacity.clamp(0.01, 1.0), self.set.cold_for.max(0.01));
        let bears = self.set.young_units.max(self.set.mean_units) / self.set.initiators.max(1.0);
        let overload_for = self.set.overload_for;
        let post = self.post(block);
        let age = (now - post.started - overload_for).clamp(0.0, warm);
        let proof = PROOF * post.proved.sum(now);
        bears * (1.0 + (1.0 / first - 1.0) * age / warm) + proof - post.young.sum(now)
    }

    fn spread(&mut self) -> f64 {
        0.75 + 0.5 * self.chance.generate::<f64>()
    }

    fn fresh_post(&self) -> Post {
        let overload_for = self.set.overload_for.max(0.1);
        Post {
            node: None,
            ready: false,
            started: 0.0,
            out: 0.0,
            // The design's bound is one host's at a disk of its own; here all initiators share the node.
            bound: (MOST_OUT / self.set.initiators.max(1.0)).max(1.0),
            cut_at: 0.0,
            misses: 0,
            next_try: 0.0,
            paced_until: 0.0,
            wake_at: 0.0,
            last_done: 0.0,
            recent: VecDeque::new(),
            lines: BTreeMap::new(),
            again: VecDeque::new(),
            held: 0.0,
            gaps: Ring::new(0.5, 6),
            delays: Ring::new(0.25, 8),
            strain: Ring::new(0.1, 5),
            lost: Ring::new(1.0, 5),
            young: Ring::new(overload_for / 8.0, 9),
            proved: Ring::new(overload_for / 8.0, 8),
        }
    }

    fn post(&mut self, block: BlockId) -> &mut Post {
        if !self.posts.contains_key(&block) {
            let fresh = self.fresh_post();
            self.posts.insert(block, fresh);
        }
        self.posts.get_mut(&block).unwrap()
    }
}
