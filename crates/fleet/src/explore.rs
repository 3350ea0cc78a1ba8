//! Exhaustive search of all small cases of lending: every order of reviews, messages that are late, lost, repeated or
//! reordered, one restart without memory, stalls, and clocks at both ends of their drift. The search runs the same core
//! and token buckets as production, breadth first, with a hash for each state. A breach comes with a shortest list of
//! steps that leads to it.
//!
//! A stalled process is one that takes no step while time advances. A lost message is one that stays in transit.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use nanorand::{Rng, WyRand};
use quaypath::token_bucket::TokenBucket;
use quaypath::types::{LimitBalance, LimitId};
use xxhash_rust::xxh3::xxh3_128;

use crate::lending::{lender_hold, Ledger, Lending, Safeguard, LOAN_SECONDS, MAX_CLOCK_DRIFT};
use crate::signal::Part;
use crate::MemberId;

/// The only limit of the search.
const LIMIT: LimitId = LimitId(7);
/// Even part of each initiator, units.
const EVEN_PART: f64 = 4.0;
/// Seconds that one step of time advances.
const TIME_STEP: f64 = 0.5 * LOAN_SECONDS;

/// Limits of the search. The counts of events are maximums for one case.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of initiators, which share one limit.
    pub initiators: usize,
    /// Number of initiators that may borrow; the others only lend.
    pub borrowers: usize,
    /// Number of loans granted.
    pub grants: u32,
    /// Number of deliveries of a message that stays in transit.
    pub repeats: u32,
    /// Number of restarts, over all processes.
    pub restarts: u32,
    /// Number of steps by which time advances.
    pub time_steps: u32,
    /// How often a process spends all units in its bucket.
    pub spends: u32,
    /// Units per second that each bucket refills with. Without refill, units that were created appear; with a high
    /// rate, room that was given twice appears.
    pub refill_rate: f64,
    /// Drift of each clock: -1 slow, 0 correct, 1 fast.
    pub clock_drifts: Vec<i8>,
    /// Safeguard that is disabled, to show that the search finds a breach.
    pub disabled_safeguard: Option<Safeguard>,
    /// Maximum number of states visited.
    pub max_states: usize,
}

/// One step of a case. Processes and messages are given by index.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    AdvanceTime,
    /// This process reviews its limit, with a shortfall or without.
    Review(usize, bool),
    /// A message in transit arrives.
    Deliver(usize),
    /// A copy of a message in transit arrives; the message stays in transit.
    DeliverCopy(usize),
    /// This process restarts without memory.
    Restart(usize),
    /// This process spends all units in its bucket.
    Spend(usize),
}

/// Result of a search.
#[derive(Debug, Default)]
pub struct SearchResult {
    /// States visited, and steps to the last of them.
    pub visited: usize,
    pub depth: usize,
    /// Whether the maximum number of states ended the search.
    pub cut_short: bool,
    /// Loans granted, borrowed and expired over all cases, to recognize a search in which nothing happens.
    pub granted: u64,
    pub borrowed: u64,
    pub expired: u64,
    /// Steps to the first breach, and its description.
    pub breach: Option<(Vec<Step>, String)>,
}

/// A message in transit.
#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    incarnation: u32,
    part: Part,
    /// The encoded message, for comparisons.
    bytes: Vec<u8>,
}

/// One initiator.
#[derive(Clone, Debug)]
struct Process {
    lending: Lending,
    bucket: TokenBucket,
    incarnation: u32,
    /// Units that the initiator is short of; 0 for one that only lends.
    shortfall: f64,
}

/// One state of the search. The counts are those of the events so far.
#[derive(Clone, Debug)]
struct World {
    processes: Vec<Process>,
    in_transit: Vec<Message>,
    time_steps: u32,
    grants: u32,
    repeats: u32,
    restarts: u32,
    spends: u32,
    /// Units spent by all processes.
    spent: f64,
    /// Buffer for the encoded state.
    bytes: Vec<u8>,
}

/// The ledger of one process.
struct BucketLedger<'a> {
    bucket: &'a mut TokenBucket,
    shortfall: f64,
    refill_rate: f64,
}

impl Ledger for BucketLedger<'_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.limit_balance(now, LIMIT).into_iter().collect()
    }
    fn limit_balance(&mut self, now: f64, _: LimitId) -> Option<LimitBalance> {
        self.bucket.refill(now, self.refill_rate, EVEN_PART);
        let spare = if self.shortfall > 0.0 { 0.0 } else { self.bucket.level };
        Some(LimitBalance { limit_id: LIMIT, spare, shortfall: self.shortfall })
    }
    fn transfer(&mut self, now: f64, _: LimitId, units: f64, expires_at: f64) -> bool {
        self.bucket.refill(now, self.refill_rate, EVEN_PART);
        self.bucket.transfer(units, expires_at)
    }
}

impl Process {
    /// A process that has just started, and knows all sharers of the limit.
    fn start(
        bounds: &Bounds, own_id: MemberId, now: f64, incarnation: u32, mut bucket: TokenBucket,
    ) -> Process {
        let members: Vec<MemberId> = (0..bounds.initiators as u16).map(MemberId).collect();
        let mut lending = Lending::new(own_id, members.clone(), bounds.disabled_safeguard);
        lending.review(
            now,
            &mut BucketLedger { bucket: &mut bucket, shortfall: 0.0, refill_rate: bounds.refill_rate },
            &mut Vec::new(),
        );
        for member in members.into_iter().filter(|member| *member != own_id) {
            lending.record_sharer(now, LIMIT, member);
        }
        Process { lending, bucket, incarnation, shortfall: 0.0 }
    }
}

impl World {
    fn start(bounds: &Bounds) -> World {
        let members: Vec<MemberId> = (0..bounds.initiators as u16).map(MemberId).collect();
        let bucket = TokenBucket { level: EVEN_PART, ..TokenBucket::default() };
        let processes = members.iter().map(|own_id| Process::start(bounds, *own_id, 0.0, 1, bucket.clone()));
        World {
            processes: processes.collect(),
            in_transit: Vec::new(),
            time_steps: 0,
            grants: 0,
            repeats: 0,
            restarts: 0,
            spends: 0,
            spent: 0.0,
            bytes: Vec::new(),
        }
    }

    fn clock(&self, bounds: &Bounds, index: usize) -> f64 {
        f64::from(self.time_steps)
            * TIME_STEP
            * (1.0 + MAX_CLOCK_DRIFT * f64::from(bounds.clock_drifts[index]))
    }

    /// Passes an event to the core of one process, and puts the messages that it sends in transit.
    fn run(
        &mut self, bounds: &Bounds, index: usize,
        event: impl FnOnce(&mut Lending, f64, &mut BucketLedger, &mut Vec<(MemberId, Part)>),
    ) {
        let now = self.clock(bounds, index);
        let process = &mut self.processes[index];
        let mut out = Vec::new();
        let mut ledger = BucketLedger {
            bucket: &mut process.bucket,
            shortfall: process.shortfall,
            refill_rate: bounds.refill_rate,
        };
        event(&mut process.lending, now, &mut ledger, &mut out);
        for (to, part) in out {
            self.grants += u32::from(matches!(part, Part::Grant { .. }));
            // All sharers of the limit are known from the start.
            if !matches!(part, Part::Announcement(_) | Part::Sharers(..)) {
                let to = usize::from(to.0);
                let mut bytes = vec![index as u8, to as u8, process.incarnation as u8];
                part.encode(&mut bytes);
                self.in_transit.push(Message {
                    from: index,
                    to,
                    incarnation: process.incarnation,
                    part,
                    bytes,
                });
            }
        }
    }

    fn deliver(&mut self, bounds: &Bounds, message: &Message) {
        let Message { from, to, incarnation, part, .. } = message.clone();
        let own_incarnation = self.processes[to].incarnation;
        let from = MemberId(from as u16);
        self.run(bounds, to, |lending, now, ledger, out| {
            lending.part_received(now, from, (incarnation, own_incarnation), &part, ledger, out)
        });
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.time_steps < bounds.time_steps {
            steps.push(Step::AdvanceTime);
        }
        for index in 0..self.processes.len() {
            if index < bounds.borrowers {
                steps.extend([Step::Review(index, true), Step::Review(index, false)]);
            }
            if self.restarts < bounds.restarts {
                steps.push(Step::Restart(index));
            }
            if self.spends < bounds.spends {
                steps.push(Step::Spend(index));
            }
        }
        for (index, message) in self.in_transit.iter().enumerate() {
            if matches!(message.part, Part::Request { .. }) && self.grants >= bounds.grants {
                continue;
            }
            steps.push(Step::Deliver(index));
            if self.repeats < bounds.repeats {
                steps.push(Step::DeliverCopy(index));
            }
        }
        steps
    }

    fn step(&mut self, bounds: &Bounds, step: Step) {
        match step {
            Step::AdvanceTime => self.time_steps += 1,
            Step::Review(index, has_shortfall) => {
                self.processes[index].shortfall = if has_shortfall { 4.0 * EVEN_PART } else { 0.0 };
                self.run(bounds, index, |lending, now, ledger, out| lending.review(now, ledger, out));
            }
            Step::Deliver(index) => {
                let message = self.in_transit.remove(index);
                self.deliver(bounds, &message);
            }
            Step::DeliverCopy(index) => {
                self.repeats += 1;
                let message = self.in_transit[index].clone();
                self.deliver(bounds, &message);
            }
            Step::Restart(index) => {
                self.restarts += 1;
                let now = self.clock(bounds, index);
                let hold = if bounds.disabled_safeguard == Some(Safeguard::RestartHold) {
                    0.0
                } else {
                    lender_hold()
                };
                let bucket = TokenBucket { filled_at: now + hold, ..TokenBucket::default() };
                let incarnation = self.processes[index].incarnation + 1;
                self.processes[index] =
                    Process::start(bounds, MemberId(index as u16), now, incarnation, bucket);
            }
            Step::Spend(index) => {
                self.spends += 1;
                let now = self.clock(bounds, index);
                let bucket = &mut self.processes[index].bucket;
                bucket.refill(now, bounds.refill_rate, EVEN_PART);
                self.spent += std::mem::take(&mut bucket.level);
            }
        }
        self.in_transit.sort_by(|a, b| a.bytes.cmp(&b.bytes));
    }

    /// Checks that all processes together hold no more than all even parts; without refill, spent units count too.
    fn breach(&self, bounds: &Bounds) -> Option<String> {
        let clocks: Vec<f64> = (0..self.processes.len()).map(|index| self.clock(bounds, index)).collect();
        let levels = self.processes.iter().zip(clocks).map(|(process, now)| {
            let mut bucket = process.bucket.clone();
            bucket.refill(now, bounds.refill_rate, EVEN_PART);
            bucket.level
        });
        let levels: Vec<f64> = levels.collect();
        let total = levels.iter().sum::<f64>() + if bounds.refill_rate > 0.0 { 0.0 } else { self.spent };
        let allowed = EVEN_PART * self.processes.len() as f64;
        (total > allowed + 1e-6)
            .then(|| format!("{total} units of {allowed}: {levels:?}, {} spent", self.spent))
    }

    /// Hash of the whole state.
    fn state_hash(&mut self) -> u128 {
        self.bytes.clear();
        let mut bytes = std::mem::take(&mut self.bytes);
        for process in &self.processes {
            process.lending.encode_state(&mut bytes);
            process.bucket.encode_state(&mut bytes);
            bytes.extend(process.incarnation.to_le_bytes());
            bytes.extend(process.shortfall.to_bits().to_le_bytes());
        }
        for message in &self.in_transit {
            bytes.extend(&message.bytes);
        }
        let counts = [self.time_steps, self.grants, self.repeats, self.restarts, self.spends];
        counts.iter().for_each(|count| bytes.extend(count.to_le_bytes()));
        bytes.extend(self.spent.to_bits().to_le_bytes());
        let hash = xxh3_128(&bytes);
        self.bytes = bytes;
        hash
    }
}

/// The steps that lead to a state, last step first.
struct Path {
    step: Step,
    previous: Option<Rc<Path>>,
}

fn steps_of(mut path: Option<Rc<Path>>) -> Vec<Step> {
    let mut steps = Vec::new();
    while let Some(last) = path {
        steps.push(last.step);
        path = last.previous.clone();
    }
    steps.reverse();
    steps
}

/// Searches all cases within the bounds, until the first breach.
pub fn explore(bounds: &Bounds) -> SearchResult {
    let mut result = SearchResult::default();
    let mut seen = HashSet::new();
    let mut world = World::start(bounds);
    seen.insert(world.state_hash());
    let mut queue: VecDeque<(World, Option<Rc<Path>>, usize)> = VecDeque::from([(world, None, 0)]);
    while let Some((world, path, depth)) = queue.pop_front() {
        (result.visited, result.depth) = (result.visited + 1, depth);
        for step in world.steps(bounds) {
            let mut next = world.clone();
            next.step(bounds, step);
            if !seen.insert(next.state_hash()) {
                continue;
            }
            for process in &mut next.processes {
                let counts = std::mem::take(&mut process.lending.counts);
                result.granted += counts.granted;
                result.borrowed += counts.borrowed;
                result.expired += counts.expired;
            }
            let path = Some(Rc::new(Path { step, previous: path.clone() }));
            if let Some(breach) = next.breach(bounds) {
                result.breach = Some((steps_of(path), breach));
                return result;
            }
            queue.push_back((next, path, depth + 1));
        }
        if seen.len() >= bounds.max_states {
            result.cut_short = true;
            return result;
        }
    }
    result
}

/// Runs one random case, drawn by a seed, for numbers of initiators and steps that cannot be searched exhaustively.
/// Returns the steps up to a breach and its description.
pub fn random_walk(bounds: &Bounds, seed: u64, steps: usize) -> Option<(Vec<Step>, String)> {
    let mut rng = WyRand::new_seed(seed);
    let (mut world, mut done) = (World::start(bounds), Vec::new());
    for _ in 0..steps {
        let mut choices = world.steps(bounds);
        // If time advanced as often as any other step, it would run out before anything happens.
        if rng.generate_range(0..4u8) > 0 && choices.len() > 1 {
            choices.retain(|step| *step != Step::AdvanceTime);
        }
        let step = choices[rng.generate_range(0..choices.len())];
        world.step(bounds, step);
        done.push(step);
        if let Some(breach) = world.breach(bounds) {
            return Some((done, breach));
        }
    }
    None
}

/// Runs a list of steps. Returns the description of the breach that they end in, if any.
pub fn replay(bounds: &Bounds, steps: &[Step]) -> Option<String> {
    let mut world = World::start(bounds);
    for step in steps {
        world.step(bounds, *step);
    }
    world.breach(bounds)
}
