//! Judges the seven rules from a record of what crossed the sockets. It shares no code with the initiator.
//!
//! [`judge`] takes the deployment's [`Parameters`] and the events in order of time, and returns every breach. Programs
//! take the time of an event when they read or wrote, so two events of different programs can be out of order by up to
//! [`Parameters::transit`]; every rule allows for that much, and no more.

pub mod fleet;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

use quaypath_record::{Event, ListedCondition, ShotEnd, TransactionEnd};
use serde::{Deserialize, Serialize};

/// What allows a band's commands to be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// Running twice does no harm.
    Repeatable,
    /// Nodes recognise a repeat by its tag and drop it.
    Tagged,
    /// A command that may have run must not be sent again.
    OnceOnly,
}

/// Nodes among which a repeat of a tagged command is recognised.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    All,
    /// Nodes of the same zone.
    Zone,
    /// Nodes that hold the same block.
    Cell,
}

/// What the rules need to know of a band.
#[derive(Clone, Debug)]
pub struct Band {
    pub name: String,
    pub repeat: Repeat,
    pub dedup_scope: DedupScope,
    /// How long nodes recognise a repeat after the earlier shot arrived, seconds.
    pub dedup_window: f64,
    /// Transactions of one ordering key are sent one after the other.
    pub ordered: bool,
}

/// Limit of a volume.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// Units per second.
    pub rate: f64,
    /// Most units at once.
    pub burst: f64,
    /// Units by which the level may fall below 0.
    pub slack: f64,
}

/// Parameters of the rules in one deployment. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Parameters {
    pub bands: Vec<Band>,
    /// Limit of each volume that has one.
    pub limits: BTreeMap<u32, Limit>,
    /// Time after a transaction's budget within which its final answer may still come.
    pub answer_slack: f64,
    /// Time after a gateway learns that a node drains or is removed within which it may still send to it.
    pub drain_grace: f64,
    /// When a cold node is overloaded, the shots that arrived within this time before count.
    pub overload_window: f64,
    /// Shortest time from the end of an uncertain shot to the next transaction of its ordering key.
    pub key_quiet_period: f64,
    /// Maximum number of shots of one transaction.
    pub max_shots: u32,
    /// Whether several shots of one transaction may be in flight at once.
    pub copies_allowed: bool,
    /// Budget of shots after the first of a transaction: share of the transactions accepted, number that is free, and
    /// look-back in seconds. Within any look-back, the free shots plus the share of the transactions are allowed.
    pub retry_budget: Option<(f64, f64, f64)>,
    /// If the register must be polled: the longest time between polls. Four times later a gateway counts as informed.
    pub poll_within: Option<f64>,
    /// Largest difference between the times that two programs record for the same moment.
    pub transit: f64,
}

/// The seven rules, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Rule {
    /// Each transaction gets exactly one final answer, in time, and nothing is sent for it afterwards.
    Answered = 1,
    /// No command that is not repeatable takes effect twice, or is declined though it may have run.
    NoEffectTwice = 2,
    /// A gateway that knows that a node drains or is removed sends nothing to it after the grace.
    Drains = 3,
    /// Gateways that know of a cold node's start do not overload it.
    Cold = 4,
    /// Transactions of one ordering key run one after the other, in the order accepted.
    Order = 5,
    /// Shots after the first stay within the retry budget.
    Budget = 6,
    /// Volumes stay within their limits.
    Limits = 7,
}

/// A rule that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
    /// Time, seconds on the clock of the record.
    pub t: f64,
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "rule {} at {:.3}: {}", self.rule as u8, self.t, self.description)
    }
}

struct Shot {
    node: String,
    arrived_at: f64,
    number: u32,
    ended: Option<(f64, ShotEnd)>,
}

impl Shot {
    fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|(_, end)| end != ShotEnd::Refused)
    }

    /// Whether the shot was cancelled or its connection broke, so that it may still run at its node.
    fn uncertain(&self) -> bool {
        matches!(self.ended, Some((_, ShotEnd::Aborted | ShotEnd::Broken)))
    }
}

struct Transaction {
    sent_at: f64,
    gateway: u32,
    /// Incarnation of the gateway that accepted it.
    incarnation: u32,
    band: usize,
    key: u64,
    /// How long the client waits, seconds.
    budget: f64,
    answer: Option<(f64, TransactionEnd)>,
    cancelled_at: Option<f64>,
    /// When the connection to the client was lost.
    disconnected_at: Option<f64>,
    shots: Vec<Shot>,
}

impl Transaction {
    /// When the initiator is known to have completed it: answered or without a client, and without a shot in flight.
    /// `None` without an answer or a lost client, infinite with a shot in flight.
    fn completed_at(&self) -> Option<f64> {
        let answered = self.answer.map(|(t, _)| t).or(self.cancelled_at).or(self.disconnected_at)?;
        let ended = self.shots.iter().map(|shot| shot.ended.map_or(f64::INFINITY, |(t, _)| t));
        // The end of the last shot counts, not the answer: the client may read the answer after the next shot of the
        // key has arrived at its node.
        let last_end = ended.fold(f64::NEG_INFINITY, f64::max);
        Some(if self.shots.is_empty() { answered } else { last_end })
    }
}

struct Judge<'a> {
    parameters: &'a Parameters,
    /// Transactions by mark.
    transactions: HashMap<u64, Transaction>,
    /// Incarnation of each gateway: the number of its starts.
    incarnations: HashMap<u32, u32>,
    killed_at: HashMap<u32, Vec<f64>>,
    /// By gateway and node: since when the gateway knows that the node drains or is removed.
    drain_known_since: HashMap<(u32, String), f64>,
    /// By gateway and node: since when the gateway knows of the node's current start.
    start_known_since: HashMap<(u32, String), f64>,
    gateway_started_at: HashMap<u32, f64>,
    /// The register's own list: since when it holds each node's condition.
    listed: HashMap<String, (f64, ListedCondition)>,
    /// Block and zone of each node.
    placements: HashMap<String, (i64, String)>,
    /// When each node last started.
    node_started_at: HashMap<String, f64>,
    /// Time, gateway and units of the shots that arrived at each node within the overload window.
    arrivals: HashMap<String, VecDeque<(f64, u32, u32)>>,
    /// Ordered transactions not known to be completed, by gateway, incarnation and key, in the order accepted.
    key_queues: HashMap<(u32, u32, u64), Vec<u64>>,
    /// Nodes that a fault has cut off, with the number of times: which shots are still in flight there is unknown.
    partitions: HashMap<String, u32>,
    /// Times of the commands sent to each incarnation of a gateway.
    command_times: HashMap<(u32, u32), VecDeque<f64>>,
    /// Times of the shots after the first, by incarnation of a gateway, within the look-back of the retry budget.
    retry_times: HashMap<(u32, u32), VecDeque<f64>>,
    /// Level of each limited volume in units, and the time of the level.
    limit_levels: BTreeMap<u32, (f64, f64)>,
    /// How often each operation of a client has taken effect.
    effect_counts: HashMap<u64, u32>,
    /// Time, mark and whether it is the first, of the shots whose concurrency and order are still to be judged. That
    /// waits until all events of the same moment have been read, because an answer and the next shot of its key leave
    /// the gateway together.
    pending: VecDeque<(f64, u64, bool)>,
    /// Spans in which a script stopped a gateway's process, which can neither receive nor answer then.
    stalls: HashMap<String, Vec<(f64, f64)>>,
    breaches: Vec<Breach>,
}

/// Returns every breach of the rules in a record, whose events come in order of time.
pub fn judge(parameters: &Parameters, events: &[Event]) -> Vec<Breach> {
    let mut judge = Judge {
        parameters,
        transactions: HashMap::new(),
        incarnations: HashMap::new(),
        killed_at: HashMap::new(),
        drain_known_since: HashMap::new(),
        start_known_since: HashMap::new(),
        gateway_started_at: HashMap::new(),
        listed: HashMap::new(),
        placements: HashMap::new(),
        node_started_at: HashMap::new(),
        arrivals: HashMap::new(),
        key_queues: HashMap::new(),
        partitions: HashMap::new(),
        command_times: HashMap::new(),
        retry_times: HashMap::new(),
        limit_levels: BTreeMap::new(),
        effect_counts: HashMap::new(),
        pending: VecDeque::new(),
        stalls: HashMap::new(),
        breaches: Vec::new(),
    };
    // A first pass collects all commands, because a fast node can record a shot before the client records the command.
    for event in events {
        match event {
            Event::CommandSent { .. } => judge.add_transaction(event),
            Event::Fault { t, kind, on, begins } if kind == "stall" => {
                let spans = judge.stalls.entry(on.clone()).or_default();
                match spans.last_mut() {
                    Some(last) if !begins => last.1 = *t,
                    _ => spans.push((*t, f64::INFINITY)),
                }
            }
            _ => {}
        }
    }
    for event in events {
        judge.process(event);
    }
    judge.finish(events.last().map_or(0.0, Event::time));
    judge.breaches.sort_by(|left, right| left.t.total_cmp(&right.t));
    judge.breaches
}

impl Judge<'_> {
    fn breach(&mut self, rule: Rule, t: f64, description: String) {
        self.breaches.push(Breach { rule, t, description });
    }

    fn add_transaction(&mut self, event: &Event) {
        let Event::CommandSent { t, gateway, mark, band, key, budget, .. } = *event else { return };
        let added = Transaction {
            sent_at: t,
            gateway,
            incarnation: 0,
            band,
            key,
            budget,
            answer: None,
            cancelled_at: None,
            disconnected_at: None,
            shots: Vec::new(),
        };
        if self.transactions.insert(mark, added).is_some() {
            self.breach(Rule::Answered, t, format!("transaction {mark:x} was sent twice by its client"));
        }
    }

    /// The first moment at or after `t` at which no script stopped the gateway's process.
    fn running_from(&self, gateway: u32, t: f64) -> f64 {
        let spans = self.stalls.get(&gateway.to_string());
        let inside = |(from, to): &&(f64, f64)| *from - self.parameters.transit <= t && t < *to;
        spans.and_then(|spans| spans.iter().find(inside)).map_or(t, |(_, to)| *to)
    }

    fn incarnation(&self, gateway: u32) -> u32 {
        self.incarnations.get(&gateway).copied().unwrap_or(0)
    }

    fn process(&mut self, event: &Event) {
        self.judge_pending(event.time() - 2.0 * self.parameters.transit);
        match event {
            Event::CommandSent { t, gateway, mark, band, key, .. } => {
                let incarnation = self.incarnation(*gateway);
                self.transactions.get_mut(mark).unwrap().incarnation = incarnation;
                self.command_times.entry((*gateway, incarnation)).or_default().push_back(*t);
                if self.parameters.bands.get(*band).is_some_and(|band| band.ordered) {
                    self.key_queues.entry((*gateway, incarnation, *key)).or_default().push(*mark);
                }
            }
            Event::FinalAnswer { t, mark, end, .. } => self.final_answer(*t, *mark, *end),
            Event::ClientCancelled { t, mark } => {
                self.transactions
                    .get_mut(mark)
                    .into_iter()
                    .for_each(|transaction| transaction.cancelled_at = Some(*t));
            }
            Event::ClientConnectionLost { t, mark, .. } => {
                self.transactions
                    .get_mut(mark)
                    .into_iter()
                    .for_each(|transaction| transaction.disconnected_at = Some(*t));
            }
            Event::ShotArrived { .. } => self.shot_arrived(event),
            Event::EffectApplied { t, mark, .. } => self.effect_applied(*t, *mark),
            Event::RepeatDropped { .. } => {}
            Event::NodeStopped { t, node } => self.node_stopped(*t, node),
            Event::ShotEnded { t, node, mark, shot, end, .. } => {
                let transaction = self.transactions.get_mut(mark);
                let shots = transaction.into_iter().flat_map(|transaction| transaction.shots.iter_mut());
                let shot = shots.filter(|known| known.number == *shot && known.node == *node).last();
                shot.into_iter().filter(|shot| shot.ended.is_none()).for_each(|shot| {
                    shot.ended = Some((*t, *end));
                });
            }
            Event::NodeStarted { t, node, block, zone, .. } => {
                self.node_started_at.insert(node.clone(), *t);
                // This is a new process, possibly under the name of an earlier one: no gateway knows of its start yet.
                self.start_known_since.retain(|(_, known), _| known != node);
                self.placements.insert(node.clone(), (*block, zone.clone()));
            }
            Event::NodeOverloaded { t, node } => self.node_overloaded(*t, node),
            Event::ListEntrySent { t, gateway, node, condition, listed_at } => {
                let key = (*gateway, node.clone());
                if *condition == ListedCondition::Ready {
                    self.drain_known_since.remove(&key);
                    // An entry from before the node's start is about its previous process.
                    if self.node_started_at.get(node).is_none_or(|started_at| listed_at >= started_at) {
                        self.start_known_since.entry(key).or_insert(*t);
                    }
                } else {
                    self.drain_known_since.entry(key).or_insert(*t);
                }
            }
            Event::ListChanged { t, node, condition } => {
                self.listed.insert(node.clone(), (*t, *condition));
            }
            Event::GatewayStarted { t, gateway } => {
                *self.incarnations.entry(*gateway).or_default() += 1;
                self.gateway_started_at.insert(*gateway, *t);
                self.drain_known_since.retain(|(known, _), _| known != gateway);
                self.start_known_since.retain(|(known, _), _| known != gateway);
            }
            Event::GatewayKilled { t, gateway } => self.killed_at.entry(*gateway).or_default().push(*t),
            Event::Fault { kind, on, begins, .. } => {
                if kind == "partition" {
                    let count = self.partitions.entry(on.clone()).or_default();
                    *count += u32::from(*begins);
                }
            }
            // The module `fleet` judges the promises of the fleet.
            Event::LinkFault { .. }
            | Event::NodeProbed { .. }
            | Event::MemberView { .. }
            | Event::MemberTraffic { .. } => {}
        }
    }

    fn final_answer(&mut self, t: f64, mark: u64, end: TransactionEnd) {
        let Some(transaction) = self.transactions.get_mut(&mark) else {
            return self.breach(Rule::Answered, t, format!("final answer to {mark:x}, which no client sent"));
        };
        let (band, possibly_run) = (transaction.band, transaction.shots.iter().any(Shot::may_have_run));
        if transaction.answer.replace((t, end)).is_some() {
            self.breach(Rule::Answered, t, format!("transaction {mark:x} has a second final answer"));
        } else if end == TransactionEnd::Declined && possibly_run {
            let band = &self.parameters.bands[band];
            let harmless = match band.repeat {
                Repeat::Repeatable => true,
                Repeat::Tagged => band.dedup_scope == DedupScope::All,
                Repeat::OnceOnly => false,
            };
            if !harmless {
                let description = format!("{} {mark:x} was declined though it may have run", band.name);
                self.breach(Rule::NoEffectTwice, t, description);
            }
        }
    }

    fn effect_applied(&mut self, t: f64, mark: u64) {
        let Some(transaction) = self.transactions.get(&mark) else { return };
        let band = &self.parameters.bands[transaction.band];
        if band.repeat == Repeat::Repeatable {
            return;
        }
        // All tries of a client are one operation: if two of them run, the effect occurs twice.
        let effects = self.effect_counts.entry(mark >> 8).or_default();
        *effects += 1;
        if *effects > 1 {
            let description = format!("{} operation {:x} took effect {effects} times", band.name, mark >> 8);
            self.breach(Rule::NoEffectTwice, t, description);
        }
    }

    fn shot_arrived(&mut self, event: &Event) {
        let Event::ShotArrived { t, node, gateway, mark, shot, volume, units, .. } = event else { return };
        let (t, mark, units) = (*t, *mark, *units);
        let arrivals = self.arrivals.entry(node.clone()).or_default();
        arrivals.push_back((t, *gateway, units));
        while arrivals
            .front()
            .is_some_and(|(entered_at, ..)| *entered_at < t - self.parameters.overload_window)
        {
            arrivals.pop_front();
        }
        self.judge_drain(t, *gateway, node);
        let Some(transaction) = self.transactions.get(&mark) else {
            return self.breach(Rule::Answered, t, format!("{node} received {mark:x}, which no client sent"));
        };
        let answered_before =
            transaction.answer.map(|(at, _)| at).filter(|at| t > at + self.parameters.transit);
        let first = transaction.shots.is_empty();
        if let Some(answered_at) = answered_before {
            let description = format!("{mark:x} was sent {:.3} s after its final answer", t - answered_at);
            self.breach(Rule::Answered, t, description);
        }
        if first {
            self.judge_limit(t, *volume, f64::from(units));
        } else {
            self.judge_repeat(t, node, mark);
            self.judge_retry_budget(t, *gateway);
        }
        self.pending.push_back((t, mark, first));
        let transaction = self.transactions.get_mut(&mark).unwrap();
        transaction.shots.push(Shot { node: node.clone(), arrived_at: t, number: *shot, ended: None });
        if transaction.shots.len() > self.parameters.max_shots as usize {
            let description = format!("{mark:x} has had {} shots", transaction.shots.len());
            self.breach(Rule::NoEffectTwice, t, description);
        }
    }

    fn judge_drain(&mut self, t: f64, gateway: u32, node: &str) {
        let informed_at = self.drain_known_since.get(&(gateway, node.to_string())).copied();
        // A gateway that has not polled for four times the required interval counts as informed of what was listed
        // by then.
        let polled_by = self.parameters.poll_within.and_then(|within| {
            let (changed_at, condition) = self.listed.get(node)?;
            let started_at = self.gateway_started_at.get(&gateway).copied().unwrap_or(0.0);
            (*condition != ListedCondition::Ready).then_some(changed_at.max(started_at) + 4.0 * within)
        });
        let known_since = informed_at.unwrap_or(f64::INFINITY).min(polled_by.unwrap_or(f64::INFINITY));
        let known_since = self.running_from(gateway, known_since);
        let late = t - known_since - self.parameters.drain_grace;
        if late > self.parameters.transit {
            let description =
                format!("gateway {gateway} sent to {node} {late:.3} s after the grace for its drain");
            self.breach(Rule::Drains, t, description);
        }
    }

    /// Judges whether the band allows a shot after the first, given the earlier ones that may have run.
    fn judge_repeat(&mut self, t: f64, node: &str, mark: u64) {
        let transaction = &self.transactions[&mark];
        let band = &self.parameters.bands[transaction.band];
        let mut found = Vec::new();
        let possibly_run = transaction.shots.iter().filter(|shot| shot.may_have_run());
        for earlier in possibly_run {
            let (earlier_block, earlier_zone) =
                self.placements.get(&earlier.node).cloned().unwrap_or_default();
            let (node_block, node_zone) = self.placements.get(node).cloned().unwrap_or_default();
            let in_scope = match band.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => earlier_zone == node_zone,
                DedupScope::Cell => earlier_block == node_block,
            };
            match band.repeat {
                Repeat::Repeatable => {}
                Repeat::OnceOnly => {
                    found.push(format!("{} {mark:x} was sent again though it may have run", band.name));
                }
                Repeat::Tagged if !in_scope => {
                    found.push(format!("{} {mark:x} was sent again outside the scope of its tag", band.name));
                }
                Repeat::Tagged if t > earlier.arrived_at + band.dedup_window + self.parameters.transit => {
                    found.push(format!("{} {mark:x} was sent again after its tag had expired", band.name));
                }
                Repeat::Tagged => {}
            }
        }
        found.into_iter().for_each(|description| self.breach(Rule::NoEffectTwice, t, description));
    }

    fn judge_retry_budget(&mut self, t: f64, gateway: u32) {
        let Some((share, free, look_back)) = self.parameters.retry_budget else { return };
        let incarnation = (gateway, self.incarnation(gateway));
        let retry_times = self.retry_times.entry(incarnation).or_default();
        retry_times.push_back(t);
        while retry_times.front().is_some_and(|at| *at < t - look_back + self.parameters.transit) {
            retry_times.pop_front();
        }
        let retries = retry_times.len() as f64;
        let command_times = self.command_times.entry(incarnation).or_default();
        let from = t - look_back - self.parameters.transit;
        let accepted = command_times.iter().filter(|at| **at >= from).count() as f64;
        // The last term allows for rounding.
        if retries > free + share * accepted + 1e-9 {
            let description = format!("gateway {gateway} sent {retries} retries for {accepted} transactions");
            self.breach(Rule::Budget, t, description);
        }
    }

    fn judge_limit(&mut self, t: f64, volume: u32, units: f64) {
        let Some(limit) = self.parameters.limits.get(&volume) else { return };
        let (level, since) = self.limit_levels.get(&volume).copied().unwrap_or((limit.burst, t));
        let level = (level + limit.rate * (t - since)).min(limit.burst) - units;
        self.limit_levels.insert(volume, (level, t));
        if level < -limit.slack - limit.rate * self.parameters.transit {
            let description = format!("volume {volume} is {:.1} units over its limit", -level);
            self.breach(Rule::Limits, t, description);
        }
    }

    /// Judges the concurrency and order of the pending shots that arrived up to `until`.
    fn judge_pending(&mut self, until: f64) {
        while let Some((t, mark, first)) = self.pending.front().copied().filter(|(t, ..)| *t <= until) {
            self.pending.pop_front();
            self.judge_concurrency(t, mark);
            self.judge_order(t, mark, first);
        }
    }

    /// Judges that no other shot of the transaction was in flight when one arrived at `t`.
    fn judge_concurrency(&mut self, t: f64, mark: u64) {
        let transaction = &self.transactions[&mark];
        let in_flight = |shot: &&Shot| {
            let unknown = self.partitions.contains_key(&shot.node);
            shot.arrived_at < t
                && !unknown
                && shot.ended.is_none_or(|(ended_at, _)| ended_at > t + self.parameters.transit)
        };
        if !self.parameters.copies_allowed && transaction.shots.iter().any(|shot| in_flight(&shot)) {
            let description = format!(
                "{} {mark:x} has two shots in flight at once",
                self.parameters.bands[transaction.band].name
            );
            self.breach(Rule::NoEffectTwice, t, description);
        }
    }

    /// Judges that no earlier transaction of the same key, accepted by the same incarnation, was incomplete when a shot
    /// arrived at `t`, and that the key's quiet period was kept.
    fn judge_order(&mut self, t: f64, mark: u64, first: bool) {
        let transaction = &self.transactions[&mark];
        if !self.parameters.bands[transaction.band].ordered || transaction.key == 0 {
            return;
        }
        let transit = self.parameters.transit;
        let queue_id = (transaction.gateway, transaction.incarnation, transaction.key);
        let Some(queue) = self.key_queues.get_mut(&queue_id) else { return };
        let mut found = Vec::new();
        let transactions = &self.transactions;
        // Transactions completed over 10 s ago are dropped from the queue, as a key can be in use for the whole record.
        queue.retain(|queued| {
            let earlier = &transactions[queued];
            *queued == mark
                || earlier.completed_at().is_none_or(|finished_at| finished_at > t - 10.0)
                || earlier.sent_at > t
        });
        for queued in queue.iter().filter(|queued| **queued != mark) {
            let earlier = &self.transactions[queued];
            if earlier.sent_at + transit >= transactions[&mark].sent_at {
                continue;
            }
            // After the client has cancelled or was disconnected, only the ends of the shots show when it completed.
            let completed = earlier.completed_at().unwrap_or(f64::INFINITY);
            let unknown = earlier
                .shots
                .iter()
                .any(|shot| shot.ended.is_none() && self.partitions.contains_key(&shot.node));
            if unknown {
                continue;
            }
            if completed > t + transit {
                found.push(format!(
                    "{mark:x} was sent while {queued:x}, accepted earlier with its key, was incomplete"
                ));
            } else if first && earlier.shots.iter().any(|shot| shot.uncertain()) {
                let quiet = t - completed;
                if quiet < self.parameters.key_quiet_period - transit {
                    found.push(format!("{mark:x} was sent {quiet:.3} s after an uncertain shot of its key"));
                }
            }
        }
        found.into_iter().for_each(|description| self.breach(Rule::Order, t, description));
    }

    /// Ends the shots in flight at a node that stopped: a killed process records no ends of its own.
    fn node_stopped(&mut self, t: f64, node: &str) {
        let shots = self.transactions.values_mut().flat_map(|transaction| transaction.shots.iter_mut());
        for shot in shots.filter(|shot| shot.node == node && shot.ended.is_none()) {
            shot.ended = Some((t, ShotEnd::Broken));
        }
    }

    /// It is a breach if at least two thirds of the units that overloaded the node came from gateways that knew of its
    /// start.
    fn node_overloaded(&mut self, t: f64, node: &str) {
        let arrivals = self.arrivals.get(node).cloned().unwrap_or_default();
        let all: u32 = arrivals.iter().map(|(.., units)| units).sum();
        let knew = |gateway: &u32| self.start_known_since.contains_key(&(*gateway, node.to_string()));
        let informed: u32 =
            arrivals.iter().filter(|(_, gateway, _)| knew(gateway)).map(|(.., units)| units).sum();
        if 3 * informed >= 2 * all {
            let description = format!(
                "cold node {node} failed under {informed} of {all} units from gateways that knew of it"
            );
            self.breach(Rule::Cold, t, description);
        }
    }

    /// Judges what is pending at the end of the record, and whether each transaction was answered in time.
    fn finish(&mut self, end: f64) {
        self.judge_pending(f64::INFINITY);
        let mut found = Vec::new();
        for (mark, transaction) in &self.transactions {
            let due = self.running_from(transaction.gateway, transaction.sent_at + transaction.budget);
            let deadline = due + self.parameters.answer_slack;
            let band = &self.parameters.bands[transaction.band].name;
            let killed = self.killed_at.get(&transaction.gateway).into_iter().flatten();
            let excused = transaction.cancelled_at.is_some()
                || killed
                    .clone()
                    .any(|at| *at >= transaction.sent_at - self.parameters.transit && *at <= deadline);
            match transaction.answer {
                Some((answered_at, _)) if answered_at > deadline + self.parameters.transit => {
                    let late = answered_at - deadline;
                    found.push((
                        answered_at,
                        format!("{band} {mark:x} got its final answer {late:.3} s late"),
                    ));
                }
                None if !excused && end > deadline + self.parameters.transit => {
                    found.push((deadline, format!("{band} {mark:x} never got a final answer")));
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(t, description)| self.breach(Rule::Answered, t, description));
    }
}
