//! The seven rules, judged from a record of what crossed the sockets. Shares no code with the initiator.
//!
//! [`judge`] takes the deployment's figures ([`Parameters`]) and the events in order of time, and gives every breach.
//! Both ends take their times when they read or wrote, so two events of different programs can be out of order
//! by up to [`Parameters::transit`]; every rule gives that much, and no more.

pub mod fleet;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::fmt;

use quaypath_record::{Event, ListedCondition, ShotEnd, TransactionEnd};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    Repeatable,
    Tagged,
    OnceOnly,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

/// What the rules need of one band.
#[derive(Clone, Debug)]
pub struct Band {
    pub name: String,
    pub repeat: Repeat,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
    pub ordered: bool,
}

/// Limit of a plan's volumes, units a second, units at once, and units below 0 that are allowed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    pub rate: f64,
    pub burst: f64,
    pub slack: f64,
}

/// The figures of the rules in one deployment. Times in seconds.
#[derive(Clone, Debug)]
pub struct Parameters {
    pub bands: Vec<Band>,
    /// Limit of each volume that has one.
    pub limits: BTreeMap<u32, Limit>,
    pub answer_slack: f64,
    pub drain_grace: f64,
    pub overload_window: f64,
    pub key_quiet_period: f64,
    pub max_shots: u32,
    pub copies_allowed: bool,
    /// Share of the transactions taken, free shots, look-back.
    pub retry_budget: Option<(f64, f64, f64)>,
    /// Where the register must be asked: after this long a gateway counts as told.
    pub poll_within: Option<f64>,
    /// How far apart the times of two programs can be for the same moment.
    pub transit: f64,
}

/// The rules by the numbers of the operators' brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum Rule {
    Answered = 1,
    NoEffectTwice = 2,
    Drains = 3,
    Cold = 4,
    Order = 5,
    Budget = 6,
    Limits = 7,
}

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub rule: Rule,
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
    sent: f64,
    shot: u32,
    ended: Option<(f64, ShotEnd)>,
}

impl Shot {
    fn may_have_run(&self) -> bool {
        self.ended.is_none_or(|(_, end)| end != ShotEnd::Refused)
    }

    fn uncertain(&self) -> bool {
        matches!(self.ended, Some((_, ShotEnd::Aborted | ShotEnd::Broken)))
    }
}

struct Asked {
    t: f64,
    gateway: u32,
    life: u32,
    band: usize,
    key: u64,
    budget: f64,
    answer: Option<(f64, TransactionEnd)>,
    /// When the client left, or its connection was cut.
    left: Option<f64>,
    cut: Option<f64>,
    shots: Vec<Shot>,
}

impl Asked {
    /// When the initiator is known to be done with it: answered, or its caller gone and no shot out.
    fn over_at(&self) -> Option<f64> {
        let said = self.answer.map(|(t, _)| t).or(self.left).or(self.cut)?;
        let ended = self.shots.iter().map(|shot| shot.ended.map_or(f64::INFINITY, |(t, _)| t));
        // The last shot's answer may be read by the client after the next shot has arrived.
        let shots = ended.fold(f64::NEG_INFINITY, f64::max);
        Some(if self.shots.is_empty() { said } else { shots })
    }
}

struct Judge<'a> {
    book: &'a Parameters,
    asked: HashMap<u64, Asked>,
    /// Life of each gateway, counted by its starts; and when it was killed last.
    lives: HashMap<u32, u32>,
    killed: HashMap<u32, Vec<f64>>,
    /// By gateway and node: since when it is told that the node drains or is gone.
    told: HashMap<(u32, String), f64>,
    told_of: HashMap<(u32, String), f64>,
    started: HashMap<u32, f64>,
    listed: HashMap<String, (f64, ListedCondition)>,
    zones: HashMap<String, (i64, String)>,
    /// When each node started last.
    ups: HashMap<String, f64>,
    arrivals: HashMap<String, VecDeque<(f64, u32, u32)>>,
    /// Ordered transactions not known to be over, by gateway life and key, in the order taken.
    turns: HashMap<(u32, u32, u64), Vec<u64>>,
    /// Whose shots are out is unknown at nodes that a fault cut off.
    cut_off: HashMap<String, u32>,
    asks: HashMap<(u32, u32), VecDeque<f64>>,
    further: HashMap<(u32, u32), VecDeque<f64>>,
    buckets: BTreeMap<u32, (f64, f64)>,
    effects: HashMap<u64, u32>,
    /// Arrivals in ordered bands, judged once what was written at the same moment has been read: an answer and
    /// the next send of its key leave the gateway together.
    pending: VecDeque<(f64, u64, bool)>,
    /// Spans in which a gateway process had no turn by script: it can neither hear nor answer in them.
    stalls: HashMap<String, Vec<(f64, f64)>>,
    breaches: Vec<Breach>,
}

/// Every breach of the rules in a record, whose events come in order of time.
pub fn judge(book: &Parameters, events: &[Event]) -> Vec<Breach> {
    let mut judge = Judge {
        book,
        asked: HashMap::new(),
        lives: HashMap::new(),
        killed: HashMap::new(),
        told: HashMap::new(),
        told_of: HashMap::new(),
        started: HashMap::new(),
        listed: HashMap::new(),
        zones: HashMap::new(),
        ups: HashMap::new(),
        arrivals: HashMap::new(),
        turns: HashMap::new(),
        cut_off: HashMap::new(),
        asks: HashMap::new(),
        further: HashMap::new(),
        buckets: BTreeMap::new(),
        effects: HashMap::new(),
        pending: VecDeque::new(),
        stalls: HashMap::new(),
        breaches: Vec::new(),
    };
    // A client that answers fast can write its line after a target that was faster still.
    for event in events {
        match event {
            Event::CommandSent { .. } => judge.ask(event),
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
        judge.event(event);
    }
    judge.close(events.last().map_or(0.0, Event::time));
    judge.breaches.sort_by(|one, other| one.t.total_cmp(&other.t));
    judge.breaches
}

impl Judge<'_> {
    fn breach(&mut self, rule: Rule, t: f64, description: String) {
        self.breaches.push(Breach { rule, t, description });
    }

    fn ask(&mut self, event: &Event) {
        let Event::CommandSent { t, gateway, mark, band, key, budget, .. } = *event else { return };
        let new = Asked {
            t,
            gateway,
            life: 0,
            band,
            key,
            budget,
            answer: None,
            left: None,
            cut: None,
            shots: Vec::new(),
        };
        if self.asked.insert(mark, new).is_some() {
            self.breach(Rule::Answered, t, format!("transaction {mark:x} was asked for twice"));
        }
    }

    /// The first moment at or after `t` at which the gateway had a turn.
    fn turn_at(&self, gateway: u32, t: f64) -> f64 {
        let spans = self.stalls.get(&gateway.to_string());
        let inside = |(from, to): &&(f64, f64)| *from - self.book.transit <= t && t < *to;
        spans.and_then(|spans| spans.iter().find(inside)).map_or(t, |(_, to)| *to)
    }

    fn life(&self, gateway: u32) -> u32 {
        self.lives.get(&gateway).copied().unwrap_or(0)
    }

    fn event(&mut self, event: &Event) {
        self.settle_order(event.time() - 2.0 * self.book.transit);
        match event {
            Event::CommandSent { t, gateway, mark, band, key, .. } => {
                let life = self.life(*gateway);
                self.asked.get_mut(mark).unwrap().life = life;
                self.asks.entry((*gateway, life)).or_default().push_back(*t);
                if self.book.bands.get(*band).is_some_and(|band| band.ordered) {
                    self.turns.entry((*gateway, life, *key)).or_default().push(*mark);
                }
            }
            Event::FinalAnswer { t, mark, end, .. } => self.answered(*t, *mark, *end),
            Event::ClientCancelled { t, mark } => {
                self.asked.get_mut(mark).into_iter().for_each(|asked| asked.left = Some(*t));
            }
            Event::ClientConnectionLost { t, mark, .. } => {
                self.asked.get_mut(mark).into_iter().for_each(|asked| asked.cut = Some(*t));
            }
            Event::ShotArrived { .. } => self.arrived(event),
            Event::EffectApplied { t, mark, .. } => self.ran(*t, *mark),
            Event::RepeatDropped { .. } => {}
            Event::NodeStopped { t, node } => self.died(*t, node),
            Event::ShotEnded { t, node, mark, shot, end, .. } => {
                let asked = self.asked.get_mut(mark);
                let shots = asked.into_iter().flat_map(|asked| asked.shots.iter_mut());
                let shot = shots.filter(|known| known.shot == *shot && known.node == *node).last();
                shot.into_iter().filter(|shot| shot.ended.is_none()).for_each(|shot| {
                    shot.ended = Some((*t, *end));
                });
            }
            Event::NodeStarted { t, node, block, zone, .. } => {
                self.ups.insert(node.clone(), *t);
                // Another process, under the same name it may be: nobody was told of this start yet.
                self.told_of.retain(|(_, known), _| known != node);
                self.zones.insert(node.clone(), (*block, zone.clone()));
            }
            Event::NodeOverloaded { t, node } => self.fell(*t, node),
            Event::ListEntrySent { t, gateway, node, condition, listed_at } => {
                let key = (*gateway, node.clone());
                if *condition == ListedCondition::Ready {
                    self.told.remove(&key);
                    // A list that still shows the process before says nothing of this start.
                    if self.ups.get(node).is_none_or(|up| listed_at >= up) {
                        self.told_of.entry(key).or_insert(*t);
                    }
                } else {
                    self.told.entry(key).or_insert(*t);
                }
            }
            Event::ListChanged { t, node, condition } => {
                self.listed.insert(node.clone(), (*t, *condition));
            }
            Event::GatewayStarted { t, gateway } => {
                *self.lives.entry(*gateway).or_default() += 1;
                self.started.insert(*gateway, *t);
                self.told.retain(|(known, _), _| known != gateway);
                self.told_of.retain(|(known, _), _| known != gateway);
            }
            Event::GatewayKilled { t, gateway } => self.killed.entry(*gateway).or_default().push(*t),
            Event::Fault { kind, on, begins, .. } => {
                if kind == "partition" {
                    let count = self.cut_off.entry(on.clone()).or_default();
                    *count += u32::from(*begins);
                }
            }
            // The fleet's promises are judged apart.
            Event::LinkFault { .. }
            | Event::NodeProbed { .. }
            | Event::MemberView { .. }
            | Event::MemberTraffic { .. } => {}
        }
    }

    fn answered(&mut self, t: f64, mark: u64, end: TransactionEnd) {
        let Some(asked) = self.asked.get_mut(&mark) else {
            return self.breach(Rule::Answered, t, format!("an answer to {mark:x}, which nobody asked for"));
        };
        let (band, ran) = (asked.band, asked.shots.iter().any(Shot::may_have_run));
        if asked.answer.replace((t, end)).is_some() {
            self.breach(Rule::Answered, t, format!("transaction {mark:x} has a second final answer"));
        } else if end == TransactionEnd::Declined && ran {
            let band = &self.book.bands[band];
            let harmless = match band.repeat {
                Repeat::Repeatable => true,
                Repeat::Tagged => band.dedup_scope == DedupScope::All,
                Repeat::OnceOnly => false,
            };
            if !harmless {
                let what = format!("{} {mark:x} is declined though it may have run", band.name);
                self.breach(Rule::NoEffectTwice, t, what);
            }
        }
    }

    fn ran(&mut self, t: f64, mark: u64) {
        let Some(asked) = self.asked.get(&mark) else { return };
        let band = &self.book.bands[asked.band];
        if band.repeat == Repeat::Repeatable {
            return;
        }
        // A client's tries are one operation: running two of them is the effect twice.
        let effects = self.effects.entry(mark >> 8).or_default();
        *effects += 1;
        if *effects > 1 {
            let what = format!("{} operation {:x} took effect {effects} times", band.name, mark >> 8);
            self.breach(Rule::NoEffectTwice, t, what);
        }
    }

    fn arrived(&mut self, event: &Event) {
        let Event::ShotArrived { t, node, gateway, mark, shot, volume, units, .. } = event else { return };
        let (t, mark, units) = (*t, *mark, *units);
        let arrivals = self.arrivals.entry(node.clone()).or_default();
        arrivals.push_back((t, *gateway, units));
        while arrivals.front().is_some_and(|(at, ..)| *at < t - self.book.overload_window) {
            arrivals.pop_front();
        }
        self.drained(t, *gateway, node);
        let Some(asked) = self.asked.get(&mark) else {
            return self.breach(Rule::Answered, t, format!("{node} got {mark:x}, which nobody asked for"));
        };
        let over = asked.answer.map(|(at, _)| at).filter(|at| t > at + self.book.transit);
        let first = asked.shots.is_empty();
        if let Some(at) = over {
            let what = format!("{mark:x} was sent {:.3} s after its final answer", t - at);
            self.breach(Rule::Answered, t, what);
        }
        if first {
            self.take_limit(t, *volume, f64::from(units));
        } else {
            self.again(t, node, mark);
            self.budget(t, *gateway);
        }
        self.pending.push_back((t, mark, first));
        let asked = self.asked.get_mut(&mark).unwrap();
        asked.shots.push(Shot { node: node.clone(), sent: t, shot: *shot, ended: None });
        if asked.shots.len() > self.book.max_shots as usize {
            let what = format!("{mark:x} has had {} shots", asked.shots.len());
            self.breach(Rule::NoEffectTwice, t, what);
        }
    }

    fn drained(&mut self, t: f64, gateway: u32, node: &str) {
        let told = self.told.get(&(gateway, node.to_string())).copied();
        // Without a call for four times the span a gateway counts as told of what was listed by then.
        let counts = self.book.poll_within.and_then(|within| {
            let (at, condition) = self.listed.get(node)?;
            let up = self.started.get(&gateway).copied().unwrap_or(0.0);
            (*condition != ListedCondition::Ready).then_some(at.max(up) + 4.0 * within)
        });
        let told = told.unwrap_or(f64::INFINITY).min(counts.unwrap_or(f64::INFINITY));
        let told = self.turn_at(gateway, told);
        let late = t - told - self.book.drain_grace;
        if late > self.book.transit {
            let what = format!("gateway {gateway} sent to {node} {late:.3} s past the grace for its drain");
            self.breach(Rule::Drains, t, what);
        }
    }

    /// A shot past the first: whether the band allows it, and nothing else is out.
    fn again(&mut self, t: f64, node: &str, mark: u64) {
        let asked = &self.asked[&mark];
        let band = &self.book.bands[asked.band];
        let mut found = Vec::new();
        let ran = asked.shots.iter().filter(|shot| shot.may_have_run());
        for earlier in ran {
            let (block, zone) = self.zones.get(&earlier.node).cloned().unwrap_or_default();
            let (here, there) = self.zones.get(node).cloned().unwrap_or_default();
            let grouped = match band.dedup_scope {
                DedupScope::All => true,
                DedupScope::Zone => zone == there,
                DedupScope::Cell => block == here,
            };
            match band.repeat {
                Repeat::Repeatable => {}
                Repeat::OnceOnly => {
                    found.push(format!("{} {mark:x} is sent again though it may have run", band.name));
                }
                Repeat::Tagged if !grouped => {
                    found.push(format!("{} {mark:x} is sent outside the group of its tag", band.name));
                }
                Repeat::Tagged if t > earlier.sent + band.dedup_window + self.book.transit => {
                    found.push(format!("{} {mark:x} is sent after its tag is forgotten", band.name));
                }
                Repeat::Tagged => {}
            }
        }
        found.into_iter().for_each(|what| self.breach(Rule::NoEffectTwice, t, what));
    }

    fn budget(&mut self, t: f64, gateway: u32) {
        let Some((share, free, look_back)) = self.book.retry_budget else { return };
        let life = (gateway, self.life(gateway));
        let further = self.further.entry(life).or_default();
        further.push_back(t);
        while further.front().is_some_and(|at| *at < t - look_back + self.book.transit) {
            further.pop_front();
        }
        let made = further.len() as f64;
        let asks = self.asks.entry(life).or_default();
        let from = t - look_back - self.book.transit;
        let taken = asks.iter().filter(|at| **at >= from).count() as f64;
        if made > free + share * taken + 1e-9 {
            let what = format!("gateway {gateway} made {made} further shots on {taken} transactions");
            self.breach(Rule::Budget, t, what);
        }
    }

    fn take_limit(&mut self, t: f64, volume: u32, units: f64) {
        let Some(limit) = self.book.limits.get(&volume) else { return };
        let (level, at) = self.buckets.get(&volume).copied().unwrap_or((limit.burst, t));
        let level = (level + limit.rate * (t - at)).min(limit.burst) - units;
        self.buckets.insert(volume, (level, t));
        if level < -limit.slack - limit.rate * self.book.transit {
            let what = format!("volume {volume} is {:.1} units past its limit", -level);
            self.breach(Rule::Limits, t, what);
        }
    }

    fn settle_order(&mut self, until: f64) {
        while let Some((t, mark, first)) = self.pending.front().copied().filter(|(t, ..)| *t <= until) {
            self.pending.pop_front();
            self.alone(t, mark);
            self.order(t, mark, first);
        }
    }

    /// No other shot of the transaction out beside one that arrived at `t`.
    fn alone(&mut self, t: f64, mark: u64) {
        let asked = &self.asked[&mark];
        let running = |shot: &&Shot| {
            let unseen = self.cut_off.contains_key(&shot.node);
            shot.sent < t && !unseen && shot.ended.is_none_or(|(at, _)| at > t + self.book.transit)
        };
        if !self.book.copies_allowed && asked.shots.iter().any(|shot| running(&shot)) {
            let what = format!("{} {mark:x} has two shots out at once", self.book.bands[asked.band].name);
            self.breach(Rule::NoEffectTwice, t, what);
        }
    }

    /// Nothing for a key while an earlier one with it, taken by the same life, is not over.
    fn order(&mut self, t: f64, mark: u64, first: bool) {
        let asked = &self.asked[&mark];
        if !self.book.bands[asked.band].ordered || asked.key == 0 {
            return;
        }
        let transit = self.book.transit;
        let turn = (asked.gateway, asked.life, asked.key);
        let Some(line) = self.turns.get_mut(&turn) else { return };
        let mut found = Vec::new();
        let asked = &self.asked;
        // Those long over need no further look; a key may live as long as the day.
        line.retain(|other| {
            let earlier = &asked[other];
            *other == mark || earlier.over_at().is_none_or(|at| at > t - 10.0) || earlier.t > t
        });
        for other in line.iter().filter(|other| **other != mark) {
            let earlier = &self.asked[other];
            if earlier.t + transit >= asked[&mark].t {
                continue;
            }
            // A client that left or was cut off leaves shots that only their own ends tell of.
            let over = earlier.over_at().unwrap_or(f64::INFINITY);
            let unseen = earlier
                .shots
                .iter()
                .any(|shot| shot.ended.is_none() && self.cut_off.contains_key(&shot.node));
            if unseen {
                continue;
            }
            if over > t + transit {
                found.push(format!(
                    "{mark:x} is sent while {other:x}, taken earlier with its key, is not over"
                ));
            } else if first && earlier.shots.iter().any(|shot| shot.uncertain()) {
                let rest = t - over;
                if rest < self.book.key_quiet_period - transit {
                    found.push(format!("{mark:x} is sent {rest:.3} s after its key's uncertain shot"));
                }
            }
        }
        found.into_iter().for_each(|what| self.breach(Rule::Order, t, what));
    }

    /// A dead process writes no ends: its shots broke off when it died.
    fn died(&mut self, t: f64, node: &str) {
        let shots = self.asked.values_mut().flat_map(|asked| asked.shots.iter_mut());
        for shot in shots.filter(|shot| shot.node == node && shot.ended.is_none()) {
            shot.ended = Some((t, ShotEnd::Broken));
        }
    }

    fn fell(&mut self, t: f64, node: &str) {
        let arrivals = self.arrivals.get(node).cloned().unwrap_or_default();
        let all: u32 = arrivals.iter().map(|(.., units)| units).sum();
        let knew = |gateway: &u32| self.told_of.contains_key(&(*gateway, node.to_string()));
        let told: u32 =
            arrivals.iter().filter(|(_, gateway, _)| knew(gateway)).map(|(.., units)| units).sum();
        if 3 * told >= 2 * all {
            let what = format!("{node}, cold, fell over under {told} of {all} units from gateways that knew");
            self.breach(Rule::Cold, t, what);
        }
    }

    /// What is still owed when the record ends.
    fn close(&mut self, end: f64) {
        self.settle_order(f64::INFINITY);
        let mut found = Vec::new();
        for (mark, asked) in &self.asked {
            let due = self.turn_at(asked.gateway, asked.t + asked.budget);
            let by = due + self.book.answer_slack;
            let band = &self.book.bands[asked.band].name;
            let killed = self.killed.get(&asked.gateway).into_iter().flatten();
            let excused = asked.left.is_some()
                || killed.clone().any(|at| *at >= asked.t - self.book.transit && *at <= by);
            match asked.answer {
                Some((at, _)) if at > by + self.book.transit => {
                    let late = at - by;
                    found.push((at, format!("{band} {mark:x} got its final answer {late:.3} s late")));
                }
                None if !excused && end > by + self.book.transit => {
                    found.push((by, format!("{band} {mark:x} never got a final answer")));
                }
                _ => {}
            }
        }
        found.into_iter().for_each(|(t, what)| self.breach(Rule::Answered, t, what));
    }
}
