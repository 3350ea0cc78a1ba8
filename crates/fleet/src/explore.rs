//! All small cases of lending: every order of looks, messages late, lost, repeated and reordered, one restart without
//! memory, stops and clocks at both ends of the drift, over the very core and stores that run. Breadth first with
//! hashed states; a breach comes with the steps that lead to it, of which there are no fewer.
//!
//! A process that stands still is one that takes no step while time goes on. A message that is lost is one that stays
//! on its way.

use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

use nanorand::{Rng, WyRand};
use quaypath::token_bucket::TokenBucket;
use quaypath::types::{LimitBalance, LimitId};
use xxhash_rust::xxh3::xxh3_128;

use crate::lending::{lender_hold, Ledger, Lend, Safeguard, DRIFT, LENGTH};
use crate::signal::Part;
use crate::MemberId;

const ACCOUNT: LimitId = LimitId(7);
/// Each initiator's even part, units.
const CAP: f64 = 4.0;
/// Time goes on by this part of a loan's length at once.
const STEP: f64 = 0.5 * LENGTH;

/// How far the search goes.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub initiators: usize,
    /// How many of them may wait for units; the others only lend.
    pub askers: usize,
    /// Grants that are given in one case, at most.
    pub grants: u32,
    pub repeats: u32,
    pub restarts: u32,
    /// Steps of time.
    pub time: u32,
    /// Times that a process spends all that it has.
    pub spends: u32,
    /// Units a second that each store fills with: none shows units made twice, many show room given twice.
    pub rate: f64,
    /// How each clock runs: slow, right or fast.
    pub clocks: Vec<i8>,
    pub without: Option<Safeguard>,
    /// States looked at, at most.
    pub most: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    Time,
    /// This one looks, and waits for units or has none to wait for.
    Look(usize, bool),
    /// A message on its way comes, by its place among them; or comes and is on its way once more.
    Comes(usize),
    Repeats(usize),
    /// Starts again without memory.
    Restarts(usize),
    Spends(usize),
}

#[derive(Debug, Default)]
pub struct Found {
    pub visited: usize,
    pub depth: usize,
    /// Whether the bound on states ended the search.
    pub cut_short: bool,
    /// Loans given and taken over all cases, so that a quiet search is seen.
    pub given: u64,
    pub taken: u64,
    pub lapsed: u64,
    pub breach: Option<(Vec<Step>, String)>,
}

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    to: usize,
    incarnation: u32,
    part: Part,
    /// The same, to compare by.
    bytes: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Process {
    lend: Lend,
    store: TokenBucket,
    incarnation: u32,
    wants: f64,
}

#[derive(Clone, Debug)]
struct World {
    processes: Vec<Process>,
    net: Vec<Message>,
    time: u32,
    grants: u32,
    repeats: u32,
    restarts: u32,
    spends: u32,
    spent: f64,
    /// Room to write the state in.
    bytes: Vec<u8>,
}

struct Books<'a> {
    store: &'a mut TokenBucket,
    wants: f64,
    rate: f64,
}

impl Ledger for Books<'_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.limit_balance(now, ACCOUNT).into_iter().collect()
    }
    fn limit_balance(&mut self, now: f64, _: LimitId) -> Option<LimitBalance> {
        self.store.refill(now, self.rate, CAP);
        let spare = if self.wants > 0.0 { 0.0 } else { self.store.level };
        Some(LimitBalance { limit_id: ACCOUNT, spare, shortfall: self.wants })
    }
    fn transfer(&mut self, now: f64, _: LimitId, units: f64, until: f64) -> bool {
        self.store.refill(now, self.rate, CAP);
        self.store.transfer(units, until)
    }
}

impl Process {
    /// One that has just started, and knows who else shares the account.
    fn start(bounds: &Bounds, me: MemberId, now: f64, incarnation: u32, mut store: TokenBucket) -> Process {
        let members: Vec<MemberId> = (0..bounds.initiators as u16).map(MemberId).collect();
        let mut lend = Lend::new(me, members.clone(), bounds.without);
        lend.look(now, &mut Books { store: &mut store, wants: 0.0, rate: bounds.rate }, &mut Vec::new());
        for one in members.into_iter().filter(|one| *one != me) {
            lend.shares(now, ACCOUNT, one);
        }
        Process { lend, store, incarnation, wants: 0.0 }
    }
}

impl World {
    fn start(bounds: &Bounds) -> World {
        let members: Vec<MemberId> = (0..bounds.initiators as u16).map(MemberId).collect();
        let store = TokenBucket { level: CAP, ..TokenBucket::default() };
        let processes = members.iter().map(|me| Process::start(bounds, *me, 0.0, 1, store.clone()));
        World {
            processes: processes.collect(),
            net: Vec::new(),
            time: 0,
            grants: 0,
            repeats: 0,
            restarts: 0,
            spends: 0,
            spent: 0.0,
            bytes: Vec::new(),
        }
    }

    fn clock(&self, bounds: &Bounds, at: usize) -> f64 {
        f64::from(self.time) * STEP * (1.0 + DRIFT * f64::from(bounds.clocks[at]))
    }

    /// Runs one process's core, and puts what it says on its way.
    fn run(
        &mut self, bounds: &Bounds, at: usize,
        act: impl FnOnce(&mut Lend, f64, &mut Books, &mut Vec<(MemberId, Part)>),
    ) {
        let now = self.clock(bounds, at);
        let process = &mut self.processes[at];
        let mut out = Vec::new();
        let mut books = Books { store: &mut process.store, wants: process.wants, rate: bounds.rate };
        act(&mut process.lend, now, &mut books, &mut out);
        for (to, part) in out {
            self.grants += u32::from(matches!(part, Part::Grant { .. }));
            // Who shares the account is known here from the start.
            if !matches!(part, Part::Here(_) | Part::Sharers(..)) {
                let to = usize::from(to.0);
                let mut bytes = vec![at as u8, to as u8, process.incarnation as u8];
                part.put(&mut bytes);
                self.net.push(Message { from: at, to, incarnation: process.incarnation, part, bytes });
            }
        }
    }

    fn comes(&mut self, bounds: &Bounds, message: &Message) {
        let Message { from, to, incarnation, part, .. } = message.clone();
        let ours = self.processes[to].incarnation;
        let from = MemberId(from as u16);
        self.run(bounds, to, |lend, now, books, out| {
            lend.part_received(now, from, (incarnation, ours), &part, books, out)
        });
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps = Vec::new();
        if self.time < bounds.time {
            steps.push(Step::Time);
        }
        for at in 0..self.processes.len() {
            if at < bounds.askers {
                steps.extend([Step::Look(at, true), Step::Look(at, false)]);
            }
            if self.restarts < bounds.restarts {
                steps.push(Step::Restarts(at));
            }
            if self.spends < bounds.spends {
                steps.push(Step::Spends(at));
            }
        }
        for (at, message) in self.net.iter().enumerate() {
            if matches!(message.part, Part::Ask { .. }) && self.grants >= bounds.grants {
                continue;
            }
            steps.push(Step::Comes(at));
            if self.repeats < bounds.repeats {
                steps.push(Step::Repeats(at));
            }
        }
        steps
    }

    fn step(&mut self, bounds: &Bounds, step: Step) {
        match step {
            Step::Time => self.time += 1,
            Step::Look(at, wants) => {
                self.processes[at].wants = if wants { 4.0 * CAP } else { 0.0 };
                self.run(bounds, at, |lend, now, books, out| lend.look(now, books, out));
            }
            Step::Comes(at) => {
                let message = self.net.remove(at);
                self.comes(bounds, &message);
            }
            Step::Repeats(at) => {
                self.repeats += 1;
                let message = self.net[at].clone();
                self.comes(bounds, &message);
            }
            Step::Restarts(at) => {
                self.restarts += 1;
                let now = self.clock(bounds, at);
                let hold = if bounds.without == Some(Safeguard::Hold) { 0.0 } else { lender_hold() };
                let store = TokenBucket { filled_at: now + hold, ..TokenBucket::default() };
                let incarnation = self.processes[at].incarnation + 1;
                self.processes[at] = Process::start(bounds, MemberId(at as u16), now, incarnation, store);
            }
            Step::Spends(at) => {
                self.spends += 1;
                let now = self.clock(bounds, at);
                let store = &mut self.processes[at].store;
                store.refill(now, bounds.rate, CAP);
                self.spent += std::mem::take(&mut store.level);
            }
        }
        self.net.sort_by(|one, other| one.bytes.cmp(&other.bytes));
    }

    /// At this moment all together have no more than all even parts; and without filling, with what was spent.
    fn breach(&self, bounds: &Bounds) -> Option<String> {
        let clocks: Vec<f64> = (0..self.processes.len()).map(|at| self.clock(bounds, at)).collect();
        let levels = self.processes.iter().zip(clocks).map(|(process, now)| {
            let mut store = process.store.clone();
            store.refill(now, bounds.rate, CAP);
            store.level
        });
        let levels: Vec<f64> = levels.collect();
        let all = levels.iter().sum::<f64>() + if bounds.rate > 0.0 { 0.0 } else { self.spent };
        let most = CAP * self.processes.len() as f64;
        (all > most + 1e-6).then(|| format!("{all} units of {most}: {levels:?}, {} spent", self.spent))
    }

    fn key(&mut self) -> u128 {
        self.bytes.clear();
        let mut bytes = std::mem::take(&mut self.bytes);
        for process in &self.processes {
            process.lend.state(&mut bytes);
            process.store.encode_state(&mut bytes);
            bytes.extend(process.incarnation.to_le_bytes());
            bytes.extend(process.wants.to_bits().to_le_bytes());
        }
        for message in &self.net {
            bytes.extend(&message.bytes);
        }
        let counts = [self.time, self.grants, self.repeats, self.restarts, self.spends];
        counts.iter().for_each(|count| bytes.extend(count.to_le_bytes()));
        bytes.extend(self.spent.to_bits().to_le_bytes());
        let key = xxh3_128(&bytes);
        self.bytes = bytes;
        key
    }
}

/// The way to a state, last step first.
struct Way {
    step: Step,
    before: Option<Rc<Way>>,
}

fn steps_of(mut way: Option<Rc<Way>>) -> Vec<Step> {
    let mut steps = Vec::new();
    while let Some(at) = way {
        steps.push(at.step);
        way = at.before.clone();
    }
    steps.reverse();
    steps
}

/// Searches all cases within the bounds, up to the first breach.
pub fn explore(bounds: &Bounds) -> Found {
    let mut found = Found::default();
    let mut seen = HashSet::new();
    let mut world = World::start(bounds);
    seen.insert(world.key());
    let mut queue: VecDeque<(World, Option<Rc<Way>>, usize)> = VecDeque::from([(world, None, 0)]);
    while let Some((world, way, depth)) = queue.pop_front() {
        (found.visited, found.depth) = (found.visited + 1, depth);
        for step in world.steps(bounds) {
            let mut next = world.clone();
            next.step(bounds, step);
            if !seen.insert(next.key()) {
                continue;
            }
            for process in &mut next.processes {
                let counts = std::mem::take(&mut process.lend.counts);
                found.given += counts.given;
                found.taken += counts.taken;
                found.lapsed += counts.lapsed;
            }
            let way = Some(Rc::new(Way { step, before: way.clone() }));
            if let Some(what) = next.breach(bounds) {
                found.breach = Some((steps_of(way), what));
                return found;
            }
            queue.push_back((next, way, depth + 1));
        }
        if seen.len() >= bounds.most {
            found.cut_short = true;
            return found;
        }
    }
    found
}

/// One case of many more initiators and steps than can all be searched, drawn by a seed; the steps up to a breach.
pub fn walk(bounds: &Bounds, seed: u64, steps: usize) -> Option<(Vec<Step>, String)> {
    let mut chance = WyRand::new_seed(seed);
    let (mut world, mut taken) = (World::start(bounds), Vec::new());
    for _ in 0..steps {
        let mut choice = world.steps(bounds);
        // Time would run out before anything happens if it went on at every chance.
        if chance.generate_range(0..4u8) > 0 && choice.len() > 1 {
            choice.retain(|step| *step != Step::Time);
        }
        let step = choice[chance.generate_range(0..choice.len())];
        world.step(bounds, step);
        taken.push(step);
        if let Some(what) = world.breach(bounds) {
            return Some((taken, what));
        }
    }
    None
}

/// Plays steps again; what they break, if anything.
pub fn replay(bounds: &Bounds, steps: &[Step]) -> Option<String> {
    let mut world = World::start(bounds);
    for step in steps {
        world.step(bounds, *step);
    }
    world.breach(bounds)
}
