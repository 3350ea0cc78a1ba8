//! All decisions of one initiator. The caller creates a [`Scheduler`] with [`Scheduler::start`] and then calls one
//! method for each event, in order, with the clock time `now` in seconds. Actions leave through the [`Outbox`] within
//! the same call. `types.rs` has identifiers, settings and actions; `state.rs` the state that is kept.

#![allow(clippy::too_many_arguments)] // events are passed as plain arguments

mod cold_start;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanorand::{Rng, WyRand};

use self::cold_start::RATE_SECONDS;
use crate::sliding_window::SlidingWindow;
use crate::state::*;
use crate::token_bucket::TokenBucket;
use crate::types::*;

/// Initial estimates: the node time of a mean transaction as a share of the shortest due time, and the time of a
/// transaction on an extent accessed recently relative to one on any other extent.
const INITIAL_DUE_SHARE: f64 = 1.0 / 8.0;
const SEQUENTIAL_TIME_FACTOR: f64 = 0.1;
/// Extents remembered as accessed recently. Other initiators evict older ones from the node.
const RECENT_EXTENTS: usize = 2;
/// Maximum number of shots in flight at one node from one initiator, if it has the node to itself.
const MAX_IN_FLIGHT: f64 = 20.0;
/// Latency at a node is measured as a ratio to the due time. The concurrency limit shrinks above LATENCY_TARGET, as
/// the remaining time is better spent waiting here, where another choice is still possible. Even one shot from each
/// initiator can form a queue, so slack (work beyond the reservations) waits above SLACK_LATENCY_BASE plus
/// SLACK_LATENCY_ALONE divided by the number of the volume's initiators, at most SLACK_LATENCY_MAX, as a surge
/// comes through all initiators at once. Above RESERVE_LATENCY_MAX work within the reservations waits too, as
/// single shots would otherwise keep the congestion up indefinitely.
const LATENCY_TARGET: f64 = 0.1;
const SLACK_LATENCY_BASE: f64 = 0.15;
const SLACK_LATENCY_ALONE: f64 = 1.0;
const SLACK_LATENCY_MAX: f64 = 0.6;
const RESERVE_LATENCY_MAX: f64 = 1.2;
/// A new object is held to at least this multiple of the mean latency ratio of all nodes. It can always find a quick
/// node, whereas transactions that are fixed to a block cannot.
const MOVABLE_LATENCY_FACTOR: f64 = 2.0;
/// Seconds over which the usage of volumes is compared.
const USAGE_SECONDS: f64 = 3.0;
/// Weight of an answer that a peer reports: the report is late and may be wrong.
const PEER_ANSWER_WEIGHT: f64 = 0.5;
/// Number of answers that a wider measure counts as where a narrower one has few.
const PRIOR_ANSWERS: f64 = 3.0;
/// Share of time-outs, at a node that is quick otherwise, above which answers count as lost on the way.
const LOST_ANSWERS_SHARE: f64 = 0.1;
/// Multiple of the expected latency after which a shot is overdue.
const OVERDUE_LATENCIES: f64 = 4.0;
/// Part of the drain grace in which shots are still sent to a draining node; the remaining part allows for list
/// updates that take long to arrive.
const DRAIN_GRACE_SHARE: f64 = 0.6;
/// Transactions of a queue that are examined if those at its head have to wait.
const QUEUE_LOOK_AHEAD: usize = 16;
/// Minimum seconds without use after which a volume is evicted.
const IDLE_SECONDS: f64 = 60.0;
/// The count of a block's requests, which is halved every IDLE_SECONDS, below which a node that is not listed is forgotten.
const FORGOTTEN_REQUESTS: f64 = 0.1;
/// Maximum factor between a completion gap as it is charged and the gap expected from the node's pace.
const MAX_GAP_FACTOR: f64 = 3.0;

/// An allocation's header and rounding, and an entry of a map with its share of free ones, bytes.
const ALLOCATION_BYTES: usize = 32;
const MAP_ENTRY_BYTES: usize = 64;
/// A node that is listed: its state, its entry, and the names of node and zone.
pub const NODE_BYTES: usize = size_of::<NodeState>() + 3 * ALLOCATION_BYTES + MAP_ENTRY_BYTES;
/// What a node takes beyond that once transactions were received for it: its windows, up to 20 s of which are kept, and its
/// queues.
pub const USED_NODE_BYTES: usize = 2 << 10;

/// Most measures cover the last 3 s.
impl Default for SlidingWindow {
    fn default() -> Self {
        SlidingWindow::new(0.5, 6)
    }
}

/// The decision core of one initiator.
pub struct Scheduler {
    settings: Settings,
    rng: WyRand,
    /// Shortest due time and highest benefit of all bands.
    shortest_due: f64,
    highest_benefit: f64,
    /// Measures over all nodes: latency ratios of settled and timed-out shots (last 1 s), latency ratios of settled
    /// shots and share of shots that timed out (last 3 s).
    fleet_latency: SlidingWindow,
    settled_latency: SlidingWindow,
    timeouts: SlidingWindow,
    started: f64,
    transactions: BTreeMap<TransactionId, Transaction>,
    /// By the block that each holds. They are boxed because the free entries of a map's nodes have the size of a value too.
    nodes: BTreeMap<BlockId, Box<NodeState>>,
    volumes: BTreeMap<VolumeId, Volume>,
    key_queues: BTreeMap<ExtentId, KeyQueue>,
    /// Transactions received for each block. The counts are halved every IDLE_SECONDS.
    requests_per_block: BTreeMap<BlockId, f64>,
    /// Longest time to the outer limit seen in each band, seconds.
    longest_budget: Vec<f64>,
    /// Transactions received and further shots sent within the look-back of the retry budget.
    received: SlidingWindow,
    retries: SlidingWindow,
    failed_fetches: i32,
    /// Whether the first settled answer showed that the whole fleet had just started; None before it.
    fleet_just_started: Option<bool>,
    last_eviction_at: f64,
    /// Estimated node time of one unit of random access, seconds. Units already account for the size of a
    /// transaction.
    unit_time: f64,
}

/// Timer tags, in the low two bits; the high bits hold the transaction or block.
const TAG_GIVE_UP: u64 = 0;
const TAG_CHECK_QUEUES: u64 = 1;
const TAG_SUBSCRIBE: u64 = 2;
const TAG_OVERDUE: u64 = 3;

impl Scheduler {
    /// Starts the core of an initiator. `seed` seeds its random choices.
    pub fn start(now: f64, seed: u64, mut settings: Settings, outbox: &mut impl Outbox) -> Self {
        if settings.must_subscribe {
            outbox.subscribe(true);
        }
        settings.plans.push(Plan::default()); // the plan of a volume without one
        settings.initiators = settings.initiators.max(1.0);
        settings.mean_units = settings.mean_units.max(1.0);
        let shortest_due = settings.bands.iter().map(|band| band.due).fold(f64::INFINITY, f64::min);
        let highest_benefit = settings.bands.iter().map(|band| band.benefit).fold(1e-9, f64::max);
        let look_back = settings.retry_budget.map_or(1.0, |(_, _, look_back)| look_back);
        Scheduler {
            rng: WyRand::new_seed(seed),
            shortest_due,
            highest_benefit,
            started: now,
            fleet_latency: SlidingWindow::new(0.25, 4),
            settled_latency: SlidingWindow::default(),
            timeouts: SlidingWindow::default(),
            longest_budget: vec![0.0; settings.bands.len()],
            // One window is a little short and the other a little long, so that neither error loosens the budget.
            received: SlidingWindow::new(look_back / 50.0, 50),
            retries: SlidingWindow::new(look_back / 50.0, 52),
            unit_time: shortest_due.min(1e3) * INITIAL_DUE_SHARE / settings.mean_units,
            transactions: BTreeMap::new(),
            nodes: BTreeMap::new(),
            volumes: BTreeMap::new(),
            key_queues: BTreeMap::new(),
            requests_per_block: BTreeMap::new(),
            failed_fetches: 0,
            fleet_just_started: None,
            last_eviction_at: now,
            settings,
        }
    }

    /// A node list arrived from the register, or a fetch failed.
    pub fn node_list_received(
        &mut self, now: f64, kind: ListKind, entries: &[ListedNode], outbox: &mut impl Outbox,
    ) {
        if kind == ListKind::Failed {
            // The subscription may be lost. Subscribes again after a growing, jittered delay, so that many
            // initiators at once do not overload the register.
            self.failed_fetches += 1;
            let wait = 0.5 * f64::from(1 << self.failed_fetches.min(3)) * self.jitter();
            return outbox.set_timer(wait, TAG_SUBSCRIBE);
        }
        self.failed_fetches = 0;
        if kind != ListKind::Changes {
            let listed: BTreeSet<_> = entries.iter().map(|entry| Some(&entry.node_id)).collect();
            let removed = self.nodes.values_mut().filter(|node| !listed.contains(&node.node_id.as_ref()));
            removed.for_each(|node| node.send_until = 0.0);
        }
        for entry in entries {
            let ListedNode { node_id, block, zone, condition, started, size } = entry;
            let same_node = self.nodes.get(block).is_some_and(|node| node.node_id.as_ref() == Some(node_id));
            if *condition != NodeCondition::Ready {
                let still_served = kind == ListKind::Changes && *condition == NodeCondition::Draining;
                let until =
                    if still_served { now + DRAIN_GRACE_SHARE * self.settings.drain_grace } else { 0.0 };
                self.nodes.get_mut(block).filter(|_| same_node).into_iter().for_each(|node| {
                    node.send_until = node.send_until.min(until);
                });
                continue;
            }
            if !same_node || self.nodes[block].started != *started {
                self.replace_node(entry, same_node);
            }
            let node = self.node_state(*block);
            (node.send_until, node.size) = (f64::INFINITY, if *size > 0.0 { *size } else { 1.0 });
            if node.zone != *zone {
                node.zone = zone.clone();
                self.give_up_unrepeatable(now, *block, outbox);
            }
            self.dispatch(now, *block, outbox);
        }
    }

    /// Starts the state of a node that was replaced or, if it is the `same_node`, restarted. Kept are what waits for the
    /// block, what is known of the demand for it, and what the previous node settled.
    fn replace_node(&mut self, entry: &ListedNode, same_node: bool) {
        let previous = self.nodes.remove(&entry.block).unwrap_or_default();
        if !same_node {
            let moved_away =
                self.transactions.values_mut().filter(|transaction| transaction.block == entry.block);
            // Shots in flight at the previous node hold no credit at the new one.
            moved_away.for_each(|transaction| transaction.overdue_at = f64::INFINITY);
        }
        // A replacement that is listed as smaller serves proportionally less.
        let smaller = entry.size > 0.0 && previous.size > 0.0;
        let size_factor = if smaller { (entry.size / previous.size).min(1.0) } else { 1.0 };
        let warms_up = entry.started > 0.0 && self.settings.overload_window > 0.0;
        let warm_up_time = self.settings.warm_up + self.settings.overload_window;
        let node = NodeState {
            node_id: Some(entry.node_id.clone()),
            started: entry.started,
            warm_at: if warms_up { entry.started + warm_up_time } else { 0.0 },
            volume_queues: previous.volume_queues,
            retry_queue: previous.retry_queue,
            in_flight: if same_node { previous.in_flight } else { 0.0 },
            max_volume_initiators: previous.max_volume_initiators,
            requested_units: previous.requested_units,
            warm_units: previous.warm_units * size_factor,
            warm_units_at: previous.warm_units_at,
            ..self.new_node_state()
        };
        self.nodes.insert(entry.block, Box::new(node));
    }

    /// Gives up the transactions that wait for a further shot at this node although none is allowed there any more.
    fn give_up_unrepeatable(&mut self, now: f64, block: BlockId, outbox: &mut impl Outbox) {
        let waiting = self.nodes[&block].retry_queue.iter().copied();
        let unrepeatable: Vec<_> =
            waiting.filter(|id| !self.may_repeat(now, &self.transactions[id])).collect();
        unrepeatable.into_iter().for_each(|id| self.give_up(now, id, outbox));
    }

    /// A client sent a transaction. `initiators` is the number of initiators that its volume comes through,
    /// `budget` the time up to its outer limit in seconds; without a `block` it writes a new object, which any node
    /// may store.
    pub fn transaction_received(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        outbox: &mut impl Outbox,
    ) {
        self.received.add(now, 1.0, 1.0);
        if now >= self.last_eviction_at + IDLE_SECONDS {
            self.evict_idle(now);
        }
        let plan = plan.unwrap_or(PlanId(self.settings.plans.len() - 1));
        let (initiators, burst) = (initiators.max(1.0), self.settings.plans[plan.0].burst);
        // The bucket was empty at the start of this process, as a restart must not grant a second burst, unless the
        // whole fleet has just started. An evicted volume, or one first used later, has filled since the start, so
        // eviction loses nothing.
        let level = if self.fleet_just_started == Some(true) { burst / initiators } else { 0.0 };
        self.volumes.entry(volume.clone()).or_insert_with(|| {
            let fresh =
                Volume { reserve_level: f64::INFINITY, reserve_filled_at: self.started, ..Volume::default() };
            // Units lent by an earlier process of this initiator count at the borrowers until the loans expire there.
            let limit = TokenBucket {
                level,
                filled_at: self.started + self.settings.earlier_loans_hold,
                ..TokenBucket::default()
            };
            let limit_id = LimitId::of_volume(&volume);
            Volume { plan, initiators, limit, limit_id, reservation_share: 1.0 / initiators, ..fresh }
        });
        // A client's repeat has less time left than its first try; the time spent counts against its due time. If
        // more time is missing than a refusal and the advised delay explain, the client has a short time limit and
        // this is its first try.
        self.longest_budget[band.0] = self.longest_budget[band.0].max(budget);
        let explained_time = 1.25 * (self.settings.bands[band.0].due + self.settings.max_retry_after);
        let spent =
            Some(self.longest_budget[band.0] - budget).filter(|spent| *spent < explained_time).unwrap_or(0.0);
        let due = now + (self.settings.bands[band.0].due - spent).min(budget);
        let (late, movable) = (due <= now, block.is_none());
        let block = block.unwrap_or_else(|| self.place_new_object(now, units));
        *self.requests_per_block.entry(block).or_default() += 1.0;
        let node = self.node_state(block);
        node.max_volume_initiators = node.max_volume_initiators.max(initiators);
        node.requested_units.add(now, units, 1.0);
        let estimate = units * self.unit_time;
        // It is given up while a shot with the latency of the last answers would still end within the due time.
        let expected_latency = estimate * self.node_state(block).delays.mean(now, 1.0);
        let give_up_at = if late { now } else { (due - expected_latency).max(0.75 * now + 0.25 * due) };
        if let Some(extent) = extent.as_ref().filter(|_| self.settings.bands[band.0].ordered) {
            self.key_queues.entry(extent.clone()).or_default().queue.push_back(id);
        }
        let transaction =
            Transaction { band, volume, extent, units, block, movable, ..Transaction::default() };
        self.transactions
            .insert(id, Transaction { due, outer_limit: now + budget, give_up_at, estimate, ..transaction });
        self.set_state(id, if late { State::Retry } else { State::Waiting });
        self.dispatch(now, block, outbox);
        if self.transactions[&id].state == State::Waiting {
            outbox.set_timer(give_up_at - now, id.0 << 2 | TAG_GIVE_UP);
        } else if self.transactions[&id].state == State::Retry {
            // It was late on arrival and found no credit that is not needed by transactions in time.
            self.give_up(now, id, outbox);
        }
    }

    /// A shot ended. `used` is the usage of the volume in percent of its nominal rate plus one (0: not reported),
    /// `delay` the latency in seconds, `last` whether no further shot can follow, `others` the units that the node
    /// served to the volume for other initiators. `_report`, the load report of the node, is not used.
    pub fn shot_completed(
        &mut self, now: f64, id: TransactionId, node_id: &NodeId, _shot: u32, used: f64, delay: f64,
        last: bool, outcome: Outcome, others: f64, _report: &[f64], outbox: &mut impl Outbox,
    ) {
        let Some(transaction) = self.transactions.get_mut(&id) else { return };
        transaction.shot_in_flight = false;
        if outcome.may_have_run() {
            let (sent_at, zone) = (transaction.sent_at, transaction.sent_to_zone.take());
            transaction.possible_run.get_or_insert(PossibleRun { sent_at, zone });
        }
        let (block, finished) = (transaction.block, transaction.state == State::Finished);
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            let key_queue = transaction.extent.as_ref().and_then(|extent| self.key_queues.get_mut(extent));
            key_queue
                .into_iter()
                .for_each(|key_queue| key_queue.quiet_until = now + self.settings.key_quiet_period);
        }
        if outcome == Outcome::Settled && self.fleet_just_started.is_none() {
            // No period of usage has ended anywhere, so the whole fleet has just started and this process is the
            // first of its initiator.
            self.fleet_just_started = Some(self.settings.reports_usage && used == 0.0);
            for volume in self.volumes.values_mut().filter(|_| self.fleet_just_started == Some(true)) {
                volume.limit.level += self.settings.plans[volume.plan.0].burst / volume.initiators;
            }
        }
        self.update_reservation_share(now, id, used, others);
        let credit_released = self.transactions[&id].overdue_at == f64::INFINITY;
        if self.node_state(block).node_id.as_ref() == Some(node_id)
            && (!credit_released || outcome == Outcome::Settled)
        {
            self.record_outcome(now, id, delay, outcome, outbox);
        }
        if finished || last || outcome == Outcome::Settled {
            self.finish(now, id, outbox);
        } else if self.may_send_shot(now, id) && now < self.transactions[&id].give_up_at {
            let transaction = &self.transactions[&id];
            let block = if transaction.movable && transaction.possible_run.is_none() {
                self.place_new_object(now, transaction.units)
            } else {
                transaction.block
            };
            let transaction = self.transactions.get_mut(&id).unwrap();
            transaction.block = block;
            outbox.set_timer(transaction.give_up_at - now, id.0 << 2 | TAG_GIVE_UP);
            self.set_state(id, State::Retry);
            self.dispatch(now, block, outbox);
        } else {
            self.give_up(now, id, outbox);
        }
        self.dispatch(now, block, outbox);
    }

    /// A peer report arrived. Returns whether it was used: whether the measure is recent enough, or the units could
    /// be transferred.
    pub fn peer_report_received(&mut self, now: f64, report: PeerReport, outbox: &mut impl Outbox) -> bool {
        match report {
            PeerReport::Latency(block, latency_ratio, answers, age) => {
                let (node, weight) = (self.nodes.get_mut(&block), answers * PEER_ANSWER_WEIGHT);
                node.is_some_and(|node| {
                    node.peer_latency.add_at(now, now - age, latency_ratio * weight, weight)
                })
            }
            PeerReport::Units(limit_id, units, expires_at) => {
                now < expires_at && self.transfer_units(now, limit_id, units, expires_at, outbox)
            }
        }
    }

    /// Adds borrowed units to a limit or removes lent ones, and sends what borrowed units allow. Returns whether
    /// the units could be transferred.
    fn transfer_units(
        &mut self, now: f64, limit_id: LimitId, units: f64, expires_at: f64, outbox: &mut impl Outbox,
    ) -> bool {
        let name = self.volumes.iter().find(|(_, volume)| volume.limit_id == limit_id);
        let Some(name) = name.map(|(name, _)| name.clone()) else { return false };
        self.refill(now, &name);
        let transferred = self.volumes.get_mut(&name).unwrap().limit.transfer(units, expires_at);
        let blocks: Vec<BlockId> = self.nodes.keys().filter(|_| units > 0.0).copied().collect();
        blocks.into_iter().for_each(|block| self.dispatch(now, block, outbox));
        transferred
    }

    /// The limits shared with other initiators, and the balance of each at this one.
    pub fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        let mut waiting_units: BTreeMap<VolumeId, f64> = BTreeMap::new();
        let waiting = self.transactions.values().filter(|transaction| transaction.state == State::Waiting);
        for (name, block, units) in waiting
            .map(|transaction| (transaction.volume.clone(), transaction.block, transaction.units))
            .collect::<Vec<_>>()
        {
            // More units help only transactions that the latency of their node lets through.
            if self.latency_ratio(now, block) <= self.max_latency_ratio(now, &name, 1, false)
                && now < self.nodes[&block].send_until
            {
                *waiting_units.entry(name).or_default() += units;
            }
        }
        let limited = |(_, volume): &(_, &Volume)| self.settings.plans[volume.plan.0].limit > 0.0;
        let names: Vec<_> = self.volumes.iter().filter(limited).map(|(name, _)| name.clone()).collect();
        let balance = |name: VolumeId| {
            self.refill(now, &name);
            let volume = self.volumes.get_mut(&name).unwrap();
            let surplus = volume.limit.level - waiting_units.get(&name).copied().unwrap_or(0.0);
            // The usage of one second is kept.
            let keep = volume.own_usage.sum(now) / USAGE_SECONDS / self.unit_time;
            LimitBalance {
                limit_id: volume.limit_id,
                spare: (surplus - keep).max(0.0),
                shortfall: (-surplus).max(0.0),
            }
        };
        names.into_iter().map(balance).collect()
    }

    /// Numbers of volumes and ordering keys that are tracked, for monitoring of memory.
    pub fn tracked_counts(&self) -> (usize, usize) {
        (self.volumes.len(), self.key_queues.len())
    }

    /// The memory of what is kept for nodes, bytes; for monitoring.
    pub fn node_memory_bytes(&self) -> usize {
        self.nodes.len() * NODE_BYTES + self.requests_per_block.len() * USED_NODE_BYTES
    }

    /// Whether transactions for this block were received lately.
    pub fn tracks_block(&self, block: BlockId) -> bool {
        self.requests_per_block.contains_key(&block)
    }

    /// Whether this volume is tracked.
    pub fn tracks_volume(&self, name: &VolumeId) -> bool {
        self.volumes.contains_key(name)
    }

    /// For a caller whose memory is bounded: evicts the least recently used volumes beyond `max_volumes` before they are idle,
    /// as far as no transaction uses them and their limit is full again, and the keys whose quiet period has ended.
    pub fn evict_volumes(&mut self, now: f64, max_volumes: usize) {
        let excess = self.volumes.len().saturating_sub(max_volumes);
        let in_use = self.volumes_in_use();
        let evictable = |(name, volume): &(&VolumeId, &Volume)| {
            !in_use.contains(name) && now - volume.reserve_filled_at >= self.limit_fill_time(volume)
        };
        let mut candidates: Vec<(f64, VolumeId)> = self
            .volumes
            .iter()
            .filter(evictable)
            .map(|(name, volume)| (volume.reserve_filled_at, name.clone()))
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        candidates.truncate(excess);
        candidates.iter().for_each(|(_, name)| drop(self.volumes.remove(name)));
        let volumes = &self.volumes;
        for node in self.nodes.values_mut() {
            node.usage_reported_at.retain(|name, _| volumes.contains_key(name));
        }
        self.evict_quiet_keys(now);
    }

    fn volumes_in_use(&self) -> BTreeSet<VolumeId> {
        self.transactions.values().map(|transaction| transaction.volume.clone()).collect()
    }

    /// Time after its last use within which the limit of a volume is full again, seconds.
    fn limit_fill_time(&self, volume: &Volume) -> f64 {
        let plan = &self.settings.plans[volume.plan.0];
        if plan.limit > 0.0 {
            2.0 * plan.burst / plan.limit
        } else {
            0.0
        }
    }

    fn evict_quiet_keys(&mut self, now: f64) {
        self.key_queues.retain(|_, key_queue| !key_queue.queue.is_empty() || now < key_queue.quiet_until);
    }

    /// Bounds the memory: evicts idle volumes whose limit is full again, keys whose quiet period has ended, old usage
    /// reports, and nodes that are not listed any more.
    fn evict_idle(&mut self, now: f64) {
        self.last_eviction_at = now;
        let mut volumes = std::mem::take(&mut self.volumes);
        let in_use = self.volumes_in_use();
        volumes.retain(|name, volume| {
            let retention = self.limit_fill_time(volume).max(IDLE_SECONDS);
            in_use.contains(name) || now - volume.reserve_filled_at < retention
        });
        self.volumes = volumes;
        self.evict_quiet_keys(now);
        self.nodes.values_mut().for_each(|node| {
            node.usage_reported_at.retain(|_, reported_at| now - *reported_at < IDLE_SECONDS)
        });
        self.requests_per_block.values_mut().for_each(|requests| *requests /= 2.0);
        self.evict_unlisted_nodes(now);
    }

    /// Forgets nodes that are not listed and were not asked for lately. What is known of a block is kept for a while, because
    /// a node that replaces the previous one may be listed later.
    fn evict_unlisted_nodes(&mut self, now: f64) {
        let in_use: BTreeSet<BlockId> =
            self.transactions.values().map(|transaction| transaction.block).collect();
        let requests = &self.requests_per_block;
        let was_asked =
            |block: &BlockId| requests.get(block).is_some_and(|requests| *requests >= FORGOTTEN_REQUESTS);
        self.nodes.retain(|block, node| node.send_until > now || in_use.contains(block) || was_asked(block));
        let nodes = &self.nodes;
        self.requests_per_block.retain(|block, _| nodes.contains_key(block));
    }

    /// The client cancelled the transaction: its shot is cancelled, so that nodes do no work that nobody waits for.
    /// If the node completes the shot all the same, its measures are lost.
    pub fn client_cancelled(&mut self, now: f64, id: TransactionId, outbox: &mut impl Outbox) {
        let cancellable = self
            .transactions
            .get(&id)
            .filter(|transaction| transaction.shot_in_flight && self.settings.may_cancel);
        cancellable.into_iter().for_each(|transaction| outbox.cancel(id, transaction.shots - 1));
        self.finish(now, id, outbox);
    }

    /// A timer set through [`Outbox::set_timer`] fired.
    pub fn timer_fired(&mut self, now: f64, tag: u64, outbox: &mut impl Outbox) {
        match (tag & 3, tag >> 2) {
            (TAG_GIVE_UP, id) => {
                let id = TransactionId(id);
                let Some(transaction) = self.transactions.get(&id) else { return };
                if matches!(transaction.state, State::Waiting | State::Retry)
                    && now >= transaction.give_up_at - 1e-6
                {
                    self.give_up(now, id, outbox);
                }
            }
            (TAG_CHECK_QUEUES, block) => {
                self.node_state(BlockId(block as i64)).wake_at = 0.0;
                self.dispatch(now, BlockId(block as i64), outbox);
            }
            (TAG_OVERDUE, id) => self.release_overdue_credit(now, TransactionId(id), outbox),
            _ => outbox.subscribe(true),
        }
    }

    /// Changes the state of a transaction and moves it between the queues.
    fn set_state(&mut self, id: TransactionId, new_state: State) {
        let transaction = self.transactions.get_mut(&id).unwrap();
        let old_state = std::mem::replace(&mut transaction.state, new_state);
        let due = transaction.due;
        let node = self.nodes.get_mut(&transaction.block).unwrap();
        match old_state {
            State::Waiting => {
                node.volume_queues.get_mut(&transaction.volume).unwrap().retain(|queued| *queued != id);
                node.volume_queues.retain(|_, queue| !queue.is_empty());
            }
            State::Retry => node.retry_queue.retain(|queued| *queued != id),
            State::InFlight | State::Finished => {}
        }
        match new_state {
            State::Waiting => {
                let queue = node.volume_queues.entry(transaction.volume.clone()).or_default();
                let before = queue.iter().rposition(|queued| self.transactions[queued].due <= due);
                queue.insert(before.map_or(0, |before| before + 1), id);
            }
            State::Retry => node.retry_queue.push_back(id),
            State::InFlight | State::Finished => {}
        }
    }

    /// Sends the transactions that wait for this node as far as it has credit, or sets a timer to check again.
    fn dispatch(&mut self, now: f64, block: BlockId, outbox: &mut impl Outbox) {
        loop {
            let node = self.node_state(block);
            if now >= node.send_until
                || node.waiting() == 0.0
                || node.in_flight >= node.concurrency_limit.floor() + 1.0
            {
                return;
            }
            // One shot above the concurrency limit is left to the reservations, so that slack sent earlier does not
            // delay them.
            let (full, mut check_at) =
                (node.in_flight >= node.concurrency_limit.floor(), node.next_attempt_at);
            if now >= check_at {
                let latency_ratio = self.latency_ratio(now, block);
                match self.pick_next(now, block, full, latency_ratio) {
                    Ok(id) => {
                        self.send(now, id, outbox);
                        continue;
                    }
                    Err(ready_at) => {
                        check_at = if full && latency_ratio <= SLACK_LATENCY_BASE {
                            ready_at
                        } else {
                            ready_at.min(now + 0.05)
                        }
                    }
                }
            }
            let node = self.node_state(block);
            if check_at > now && check_at < f64::INFINITY && node.wake_at <= now {
                node.wake_at = check_at.max(now + 0.01);
                outbox.set_timer(node.wake_at - now, (block.0 as u64) << 2 | TAG_CHECK_QUEUES);
            }
            return;
        }
    }

    /// Mean latency ratio at the node: by the answers of the last 0.5 s; if these are few, by those of the last 3
    /// s, and if these are few too, by those of all nodes. A node that is silent counts as late.
    fn latency_ratio(&mut self, now: f64, block: BlockId) -> f64 {
        let fleet_latency = self.fleet_latency.mean_with_prior(now, 0.0, PRIOR_ANSWERS);
        let loses_answers = self.loses_answers(now, block);
        let node = self.nodes.get_mut(&block).unwrap();
        // Peer reports count only if this initiator has no measures of its own: they are late, and all initiators
        // would react to them alike.
        let use_peer_reports = node.peer_latency.has_samples(now) && !node.latency.has_samples(now);
        let wider = if use_peer_reports {
            node.peer_latency.mean_with_prior(now, fleet_latency, PRIOR_ANSWERS)
        } else {
            fleet_latency
        };
        let wider = node.latency.mean_with_prior(now, wider, PRIOR_ANSWERS);
        // Where answers get lost, shots are stopped early and silence does not mean congestion.
        let silent = if node.in_flight > 0.0 && !loses_answers {
            (now - node.silent_since) / self.shortest_due
        } else {
            0.0
        };
        node.settled_latency.mean_with_prior(now, wider, PRIOR_ANSWERS).max(silent)
    }

    /// Whether answers of this node get lost on the way: many shots time out although the other answers are quick.
    /// If the node has few answers, those of all nodes count.
    fn loses_answers(&mut self, now: f64, block: BlockId) -> bool {
        let (timeouts, settled_latency) = (self.timeouts.mean(now, 0.0), self.settled_latency.mean(now, 1.0));
        let node = self.nodes.get_mut(&block).unwrap();
        node.timeouts.mean_with_prior(now, timeouts, PRIOR_ANSWERS) > LOST_ANSWERS_SHARE
            && node.settled_latency.mean_with_prior(now, settled_latency, PRIOR_ANSWERS) < 0.3
    }

    /// The next transaction to send to this node, or the time at which to check again.
    fn pick_next(
        &mut self, now: f64, block: BlockId, full: bool, latency_ratio: f64,
    ) -> Result<TransactionId, f64> {
        let (mut check_at, mut best) = (f64::INFINITY, None);
        let (cold, fleet_latency) =
            (self.is_cold(now, block), self.settled_latency.mean_with_prior(now, 0.0, PRIOR_ANSWERS));
        let head = |queue: &VecDeque<TransactionId>| queue.iter().copied().take(QUEUE_LOOK_AHEAD).collect();
        let node = &self.nodes[&block];
        let queues: Vec<Vec<_>> = node.volume_queues.values().chain([&node.retry_queue]).map(head).collect();
        for queue in queues {
            let mut ready = |id: &TransactionId| {
                let ready_at = self.earliest_send(now, *id);
                check_at = check_at.min(ready_at);
                ready_at <= now
            };
            let Some(id) = queue.into_iter().find(&mut ready) else { continue };
            let transaction = &self.transactions[&id];
            let (name, state, estimate) =
                (transaction.volume.clone(), transaction.state, transaction.estimate);
            let (band, movable) = (transaction.band, transaction.movable);
            let rank = match state {
                State::Retry => (2, 0.0),
                _ if cold => (0, -self.settings.bands[band.0].benefit * self.plan(&name).benefit_factor),
                _ => self.rank(now, &name, estimate),
            };
            let latency_ratio = if movable {
                latency_ratio.max(MOVABLE_LATENCY_FACTOR * fleet_latency)
            } else {
                latency_ratio
            };
            // Latency is weighed by benefit: transactions that can wait long are present whenever a congested node
            // admits some, while those that cannot have been given up by then.
            let benefit = self.settings.bands[band.0].benefit / self.highest_benefit;
            if latency_ratio <= self.max_latency_ratio(now, &name, rank.0, full) * benefit
                && best.is_none_or(|(best_rank, _)| rank < best_rank)
            {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id).ok_or(check_at)
    }

    /// The latency ratio above which a transaction of this class (0: reservation, 1: slack, 2: retry) waits.
    /// `full`: only the shot above the concurrency limit is left.
    fn max_latency_ratio(&mut self, now: f64, name: &VolumeId, class: u8, full: bool) -> f64 {
        if class == 0 {
            return RESERVE_LATENCY_MAX;
        } else if full {
            return -1.0;
        }
        let nominal_usage = self.plan(name).nominal * self.unit_time * USAGE_SECONDS;
        let usage = self.total_usage(now, name).max(1e-9);
        let slack_share = if nominal_usage > 0.0 { (2.0 * nominal_usage / usage).min(1.0) } else { 1.0 };
        (SLACK_LATENCY_BASE + SLACK_LATENCY_ALONE * slack_share / self.volumes[name].initiators)
            .min(SLACK_LATENCY_MAX)
    }

    /// The class of a transaction and its order within the class. Reservations come first, by the time at which the
    /// bucket covers (or covered) the estimate; then slack, by the volume's usage beyond its reservation within the
    /// last USAGE_SECONDS, divided by its weight.
    fn rank(&mut self, now: f64, name: &VolumeId, estimate: f64) -> (u8, f64) {
        let (share, span) = self.reservation(name);
        let weight = self.plan(name).weight.max(0.01);
        let reserved = self.plan(name).reservation * self.unit_time;
        let wait = (estimate.min(span) - self.volumes[name].reserve_level) / share.max(1e-9);
        if share > 0.0 && wait <= 0.0 {
            (0, wait)
        } else {
            let slack_usage = self.total_usage(now, name) - reserved * USAGE_SECONDS;
            (1, slack_usage.max(0.0) / weight)
        }
    }

    /// Updates this initiator's share of the volume's reservation by the usage within the last USAGE_SECONDS.
    /// Shares are even while little is known.
    fn update_reservation_share(&mut self, now: f64, id: TransactionId, used: f64, others: f64) {
        let transaction = &self.transactions[&id];
        let name = transaction.volume.clone();
        let last_report =
            self.nodes.get_mut(&transaction.block).unwrap().usage_reported_at.insert(name.clone(), now);
        let volume = self.volumes.get_mut(&name).unwrap();
        // The report covers the time since the previous one; only its last USAGE_SECONDS count.
        let recent_share =
            last_report.map_or(0.0, |last_report| (USAGE_SECONDS / (now - last_report).max(1e-3)).min(1.0));
        volume.others_usage.add(now, others * recent_share * self.unit_time, 1.0);
        if used > 0.0 {
            let rate = (used - 1.0) / 100.0 * self.settings.plans[volume.plan.0].nominal;
            volume.metered_usage.add(now, rate * self.unit_time, 1.0);
        }
        let own_usage = volume.own_usage.sum(now).max(0.0);
        // A meter that reports less than half of what this initiator alone used refers to an earlier time and is
        // ignored.
        let meter_valid = volume.metered_usage.has_samples(now)
            && 2.0 * USAGE_SECONDS * volume.metered_usage.mean(now, 0.0) >= own_usage;
        let (reported, others_usage) =
            (self.settings.reports_others_usage || meter_valid, self.others_usage(now, &name));
        let volume = self.volumes.get_mut(&name).unwrap();
        let prior_usage = 2.0 * self.settings.mean_units * self.unit_time;
        let share = (own_usage + prior_usage / volume.initiators) / (own_usage + others_usage + prior_usage);
        volume.reservation_share = if reported { share } else { 1.0 / volume.initiators };
    }

    /// Node time of the volume used through all initiators within the last USAGE_SECONDS.
    fn total_usage(&mut self, now: f64, name: &VolumeId) -> f64 {
        let others_usage = self.others_usage(now, name);
        self.volumes.get_mut(name).unwrap().own_usage.sum(now) + others_usage
    }

    /// Node time of that used through other initiators. If answers do not report it, it is the metered rate of all,
    /// which is late, less the usage of this initiator.
    fn others_usage(&mut self, now: f64, name: &VolumeId) -> f64 {
        let volume = self.volumes.get_mut(name).unwrap();
        if self.settings.reports_others_usage {
            return volume.others_usage.sum(now);
        }
        (volume.metered_usage.mean(now, 0.0) * USAGE_SECONDS - volume.own_usage.sum(now)).max(0.0)
    }

    /// This initiator's part of the volume's reservation, in node time per second, and the span of its bucket above
    /// and below zero: one second of that part and a large transaction, as the part can be smaller than one
    /// transaction.
    fn reservation(&self, name: &VolumeId) -> (f64, f64) {
        let share = self.plan(name).reservation * self.volumes[name].reservation_share * self.unit_time;
        (share, share + 3.0 * self.settings.mean_units * self.unit_time)
    }

    fn plan(&self, name: &VolumeId) -> &Plan {
        &self.settings.plans[self.volumes[name].plan.0]
    }

    /// Fills the buckets of the reservation and the limit.
    fn refill(&mut self, now: f64, name: &VolumeId) {
        let (share, span) = self.reservation(name);
        let initiators = self.volumes[name].initiators;
        let (rate, burst) = (self.plan(name).limit / initiators, self.plan(name).burst / initiators);
        let volume = self.volumes.get_mut(name).unwrap();
        let elapsed = now - std::mem::replace(&mut volume.reserve_filled_at, now);
        volume.reserve_level = (volume.reserve_level + share * elapsed).min(span);
        volume.limit.refill(now, rate, burst);
    }

    /// Charges node time in seconds to a volume.
    fn charge(&mut self, now: f64, name: &VolumeId, node_time: f64) {
        let (_, span) = self.reservation(name);
        let volume = self.volumes.get_mut(name).unwrap();
        volume.reserve_level = (volume.reserve_level - node_time).clamp(-span, span);
        volume.own_usage.add(now, node_time, 1.0);
    }

    /// Sends a shot of this transaction to the node of its block.
    fn send(&mut self, now: f64, id: TransactionId, outbox: &mut impl Outbox) {
        self.set_state(id, State::InFlight);
        let loses_answers = self.loses_answers(now, self.transactions[&id].block);
        let transaction = self.transactions.get_mut(&id).unwrap();
        let mut estimate = transaction.units * self.unit_time;
        let node = self.nodes.get_mut(&transaction.block).unwrap();
        if let Some(extent) = &transaction.extent {
            if transaction.shots == 0 && node.recent_extents.contains(extent) {
                estimate *= SEQUENTIAL_TIME_FACTOR;
            }
            node.recent_extents.retain(|recent| recent != extent);
            node.recent_extents.push_front(extent.clone());
            node.recent_extents.truncate(RECENT_EXTENTS);
        }
        (transaction.estimate, transaction.sent_at, transaction.node_was_idle, transaction.shot_in_flight) =
            (estimate, now, node.in_flight == 0.0, true);
        transaction.sent_to_zone = node.zone.clone();
        node.silent_since = if node.in_flight == 0.0 { now } else { node.silent_since };
        node.in_flight += 1.0;
        let expected = estimate * node.delays.mean(now, 1.0);
        node.cold_start_sent.add(now, transaction.units, 1.0);
        node.cold_start_savings =
            node.cold_start_savings.map(|(savings, saved_at)| (savings - transaction.units, saved_at));
        transaction.shots += 1;
        let name = transaction.volume.clone();
        // A shot normally runs to the outer limit, as a node may continue with a shot that timed out. Only where
        // answers get lost (many shots time out while others settle quickly) an early stop leaves time for another.
        let overdue_after =
            (OVERDUE_LATENCIES * expected).max(self.settings.bands[transaction.band.0].due / 3.0);
        let stop_at = if loses_answers {
            transaction.outer_limit.min(now + overdue_after)
        } else {
            transaction.outer_limit
        };
        transaction.overdue_at = now + overdue_after;
        outbox.set_timer(overdue_after, id.0 << 2 | TAG_OVERDUE);
        node.node_id.iter().for_each(|node_id| outbox.send(id, stop_at, node_id));
        let (first_units, retries) =
            if transaction.shots == 1 { (transaction.units, 0.0) } else { (0.0, 1.0) };
        self.retries.add(now, retries, 1.0);
        self.volumes.get_mut(&name).unwrap().limit.level -= first_units;
        self.charge(now, &name, estimate);
    }

    /// Updates the measures of a node by the outcome of a shot: the completion gap corrects the charge of the
    /// volume, and the delay adapts the concurrency limit.
    fn record_outcome(
        &mut self, now: f64, id: TransactionId, delay: f64, outcome: Outcome, outbox: &mut impl Outbox,
    ) {
        let transaction = &self.transactions[&id];
        let (estimate, units, block, name) =
            (transaction.estimate, transaction.units, transaction.block, transaction.volume.clone());
        // At most twice the due time, so that one lost answer among good ones does not look like congestion.
        let latency_ratio = (delay / self.settings.bands[transaction.band.0].due).min(2.0);
        let (node_was_idle, held_credit) =
            (transaction.node_was_idle, f64::from(u8::from(transaction.overdue_at.is_finite())));
        let (cold, loses_answers) = (self.is_cold(now, block), self.loses_answers(now, block));
        let node = self.nodes.get_mut(&block).unwrap();
        if outcome == Outcome::Settled || (outcome == Outcome::TimedOut && !loses_answers) {
            self.fleet_latency.add(now, latency_ratio, 1.0);
            node.latency.add(now, latency_ratio, 1.0);
            outbox.latency_observed(block, latency_ratio);
        }
        node.in_flight = (node.in_flight - held_credit).max(0.0);
        node.silent_since = now;
        let timed_out = f64::from(u8::from(outcome == Outcome::TimedOut));
        node.timeouts.add(now, timed_out, 1.0);
        self.timeouts.add(now, timed_out, 1.0);
        let lost = matches!(outcome, Outcome::Unreachable | Outcome::TimedOut | Outcome::Reset);
        node.losses_in_a_row = if lost { node.losses_in_a_row + 1 } else { 0 };
        match outcome {
            Outcome::Settled => {
                // At most the delay, as the last completion may be long ago after a lost answer.
                let gap = if node_was_idle {
                    delay
                } else {
                    (now - node.last_settled_at).clamp(0.0, delay.max(0.0))
                };
                node.last_settled_at = now;
                if !cold {
                    node.settled_units.add(now, units, 1.0);
                    (node.warm_units, node.warm_units_at) = (node.settled_units.sum(now), now);
                }
                node.completion_gaps.add(now, gap, estimate);
                node.delays.add(now, delay, estimate);
                node.settled_latency.add(now, latency_ratio, 1.0);
                self.settled_latency.add(now, latency_ratio, 1.0);
                let mean_latency = node.settled_latency.mean(now, 0.0);
                if mean_latency > LATENCY_TARGET {
                    node.concurrency_limit = (node.concurrency_limit * 0.9).max(1.0);
                } else if node.in_flight + 1.0 >= node.concurrency_limit.floor() {
                    node.concurrency_limit =
                        (node.concurrency_limit + 1.0 / node.concurrency_limit).min(MAX_IN_FLIGHT);
                }
                // The gaps of a slow or shared node are long for all volumes alike, so a gap is compared with the
                // node's own pace; the clamp limits the effect of a pause on a single completion.
                let expected = (estimate * node.completion_gaps.mean(now, 1.0)).max(1e-9);
                let measured_time = estimate * (gap / expected).clamp(1.0 / MAX_GAP_FACTOR, MAX_GAP_FACTOR);
                self.charge(now, &name, measured_time - estimate);
            }
            Outcome::QueueFull => {
                (node.concurrency_limit, node.next_attempt_at) =
                    ((node.concurrency_limit * 0.5).max(1.0), now + 0.02)
            }
            // Where every fourth answer gets lost, three losses in a row happen by chance.
            _ if lost
                && (outcome == Outcome::Unreachable
                    || node.losses_in_a_row >= if loses_answers { 6 } else { 3 }) =>
            {
                node.concurrency_limit = 1.0;
                let wait = 0.05 * f64::from(1 << node.losses_in_a_row.min(5));
                self.node_state(block).next_attempt_at = now + wait * self.jitter();
            }
            // An error is charged as estimated, however fast it came; it says nothing about the node's pace.
            _ => {}
        }
    }

    /// Selects the node for a new object: the one with the most credit left, at random among equals.
    fn place_new_object(&mut self, now: f64, units: f64) -> BlockId {
        let mut best = (f64::NEG_INFINITY, BlockId(0));
        for block in self.nodes.keys().copied().collect::<Vec<_>>() {
            let latency_ratio = self.latency_ratio(now, block);
            let cold_penalty = if self.is_cold(now, block) && !self.cold_start_admits(now, block, units) {
                MAX_IN_FLIGHT
            } else {
                0.0
            };
            let node = &self.nodes[&block];
            let closed_penalty =
                if node.send_until == f64::INFINITY && now >= node.next_attempt_at { 0.0 } else { 1e6 };
            // Equal nodes are selected in proportion to their size.
            let random_penalty = (-self.rng.generate::<f64>().max(1e-9).ln() / node.size).min(20.0) / 40.0;
            let credit = node.concurrency_limit.floor()
                - node.in_flight
                - node.waiting()
                - closed_penalty
                - cold_penalty
                - latency_ratio
                - random_penalty;
            best = if credit > best.0 { (credit, block) } else { best };
        }
        self.node_state(best.1);
        best.1
    }

    /// Releases the credit of an overdue shot, as its connection may have stalled while the node works.
    fn release_overdue_credit(&mut self, now: f64, id: TransactionId, outbox: &mut impl Outbox) {
        let overdue = self
            .transactions
            .get(&id)
            .filter(|transaction| transaction.shot_in_flight && now >= transaction.overdue_at - 1e-6);
        let Some((block, sent_at)) = overdue.map(|transaction| (transaction.block, transaction.sent_at))
        else {
            return;
        };
        let elapsed = now - sent_at;
        // Slow answers of all nodes mean congestion rather than a stalled connection: checks again after the same
        // time.
        if self.settled_latency.mean(now, 0.0) >= SLACK_LATENCY_BASE {
            self.transactions.get_mut(&id).unwrap().overdue_at = now + elapsed;
            return outbox.set_timer(elapsed, id.0 << 2 | TAG_OVERDUE);
        }
        self.record_outcome(now, id, now - sent_at, Outcome::TimedOut, outbox);
        self.transactions.get_mut(&id).unwrap().overdue_at = f64::INFINITY;
        self.dispatch(now, block, outbox);
    }

    /// Ends a transaction without success: declines it if it cannot have taken effect or may be repeated, scraps it
    /// otherwise.
    fn give_up(&mut self, now: f64, id: TransactionId, outbox: &mut impl Outbox) {
        let Some(transaction) = self.transactions.get(&id) else { return };
        let Band { repeat, dedup_scope, .. } = &self.settings.bands[transaction.band.0];
        let repeat_harmless =
            matches!((repeat, dedup_scope), (Repeat::Repeatable, _) | (Repeat::Tagged, DedupScope::All));
        let safe_to_repeat =
            !transaction.shot_in_flight && (transaction.possible_run.is_none() || repeat_harmless);
        if safe_to_repeat {
            let retry_after = if self.settings.advises_retry { self.settings.max_retry_after } else { 0.0 };
            outbox.decline(id, retry_after);
        } else {
            outbox.scrap(id);
        }
        self.finish(now, id, outbox);
    }

    /// Marks a transaction as finished and, once no shot is in flight, removes it and lets the next one on its key
    /// proceed.
    fn finish(&mut self, now: f64, id: TransactionId, outbox: &mut impl Outbox) {
        let Some(transaction) = self.transactions.get(&id) else { return };
        let shot_in_flight = transaction.shot_in_flight;
        self.set_state(id, State::Finished);
        if shot_in_flight {
            return;
        }
        let Some(extent) = self.transactions.remove(&id).and_then(|transaction| transaction.extent) else {
            return;
        };
        let Some(key_queue) = self.key_queues.get_mut(&extent) else { return };
        key_queue.queue.retain(|queued| *queued != id);
        if let Some(next) = key_queue.queue.front() {
            let block = self.transactions[next].block;
            self.dispatch(now, block, outbox);
        } else if key_queue.quiet_until <= now {
            self.key_queues.remove(&extent);
        }
    }

    /// Whether a transaction may have another shot: no effect may occur twice, and the number of shots and the retry
    /// budget must allow it.
    fn may_send_shot(&mut self, now: f64, id: TransactionId) -> bool {
        let transaction = &self.transactions[&id];
        if transaction.shots == 0 {
            return true;
        }
        let may_repeat = self.may_repeat(now, transaction);
        let (share, free_retries, _) = self.settings.retry_budget.unwrap_or((0.0, f64::INFINITY, 0.0));
        let within_budget = self.retries.sum(now) + 1.0 <= free_retries + share * self.received.sum(now);
        may_repeat
            && within_budget
            && !transaction.shot_in_flight
            && transaction.shots < self.settings.max_shots
    }

    /// Whether a further shot at the node of this transaction's block cannot take effect twice: no earlier shot may
    /// have run, or the node recognises and drops the repeat.
    fn may_repeat(&self, now: f64, transaction: &Transaction) -> bool {
        let Some(first_run) = &transaction.possible_run else { return true };
        let band = &self.settings.bands[transaction.band.0];
        let in_scope = match band.dedup_scope {
            // Whichever node holds the block, it is the same cell.
            DedupScope::All | DedupScope::Cell => true,
            // The block may have moved to another zone meanwhile.
            DedupScope::Zone => self.nodes[&transaction.block].zone == first_run.zone,
        };
        match band.repeat {
            Repeat::Repeatable => true,
            Repeat::OnceOnly => false,
            Repeat::Tagged => in_scope && now < first_run.sent_at + band.dedup_window,
        }
    }

    /// When this transaction may be sent by the rules on key order, limits and cold nodes; infinity if another
    /// transaction on its key has to end first.
    fn earliest_send(&mut self, now: f64, id: TransactionId) -> f64 {
        if !self.may_send_shot(now, id) {
            return now + 0.02;
        }
        let name = self.transactions[&id].volume.clone();
        self.refill(now, &name);
        let transaction = &self.transactions[&id];
        let (units, block, first_shot) = (transaction.units, transaction.block, transaction.shots == 0);
        let key = transaction.extent.as_ref().filter(|_| self.settings.bands[transaction.band.0].ordered);
        if let Some(key_queue) = key.and_then(|extent| self.key_queues.get(extent)) {
            if key_queue.queue.front() != Some(&id) {
                return f64::INFINITY;
            }
            // The transaction at the head may be retried without waiting for the end of the quiet period.
            if first_shot && now < key_queue.quiet_until {
                return key_queue.quiet_until;
            }
        }
        let (volume, limit) = (&self.volumes[&transaction.volume], self.plan(&transaction.volume).limit);
        if limit > 0.0 && first_shot && volume.limit.level < units {
            return now + (units - volume.limit.level) * volume.initiators / limit;
        }
        if self.is_cold(now, block) && !self.cold_start_admits(now, block, units) {
            return now + 0.05;
        }
        now
    }

    /// A random factor from 0.75 to 1.25.
    fn jitter(&mut self) -> f64 {
        0.75 + 0.5 * self.rng.generate::<f64>()
    }

    fn new_node_state(&self) -> NodeState {
        NodeState {
            // MAX_IN_FLIGHT is meant for one initiator with a node of its own; here all initiators share the node.
            concurrency_limit: (MAX_IN_FLIGHT / self.settings.initiators).max(1.0),
            settled_latency: SlidingWindow::new(0.1, 5),
            cold_start_sent: SlidingWindow::new(self.settings.overload_window.max(0.1) / 8.0, 9),
            requested_units: SlidingWindow::new(RATE_SECONDS / 8.0, 8),
            settled_units: SlidingWindow::new(RATE_SECONDS / 8.0, 8),
            ..NodeState::default()
        }
    }

    /// The state of the node that holds this block; created if the block is not known yet.
    fn node_state(&mut self, block: BlockId) -> &mut NodeState {
        let new_state = (!self.nodes.contains_key(&block)).then(|| Box::new(self.new_node_state()));
        self.nodes.entry(block).or_insert_with(|| new_state.unwrap())
    }
}
