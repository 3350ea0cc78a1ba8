//! Simulation of a fleet: the cores that also run in production, on a simulated clock, with links that lose, delay,
//! repeat, reorder and damage datagrams, cut links, stalls, restarts, duplicate processes and wrong clocks, all drawn
//! from one seed. The fleet's guarantees are judged from the statuses that members record and the duties that they run,
//! by code that shares nothing with the cores.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use nanorand::{Rng, WyRand};

use crate::config::{self, FleetConfig, MemberEntry, Safeguard};
use crate::heartbeat::HeartbeatBaseline;
use crate::swim::SwimMember;
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

/// Datagrams that the socket of a stalled process buffers; further ones are lost.
const SOCKET_BUFFER: usize = 200;
/// Seconds between two examinations of the statuses that members record.
const JUDGE_INTERVAL: f64 = 0.5;

/// A fault of a scenario. Members are given by number; `at` and `duration` are in seconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// Kills the member. With `restart_after`, it starts again that many seconds later, without memory and with its
    /// wall clock off by `clock_offset` seconds.
    Kill { member: u16, at: f64, restart_after: Option<f64>, clock_offset: f64 },
    /// The member's process does not run.
    Stall { member: u16, at: f64, duration: f64 },
    /// No datagram passes from the members `from` to the members `to`.
    LinkCut { from: Vec<u16>, to: Vec<u16>, at: f64, duration: f64 },
    /// Starts a second process under this member number, which runs until the scenario ends.
    DuplicateProcess { member: u16, at: f64 },
    /// The member announces its departure and ends.
    Leave { member: u16, at: f64 },
    /// The member receives noise, truncated datagrams, and early datagrams of the scenario once more.
    Noise { member: u16, at: f64 },
}

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of members.
    pub members: u16,
    /// Number of duties.
    pub duties: u32,
    /// Simulated time in seconds.
    pub duration: f64,
    /// Fraction of the datagrams that the links lose, duplicate and damage until `faults_end`.
    pub loss: f64,
    pub duplication: f64,
    pub corruption: f64,
    /// Mean delay of a datagram, seconds.
    pub mean_delay: f64,
    /// Clock time from which on the links only delay.
    pub faults_end: f64,
    pub faults: Vec<Fault>,
    /// Rate of a member's clock; 1 for members that are not given.
    pub clock_rates: BTreeMap<u16, f64>,
    /// List of members that a member is started with, for members whose list differs from the full one.
    pub member_lists: BTreeMap<u16, Vec<u16>>,
    /// Safeguard that all members run without.
    pub disabled_safeguard: Option<Safeguard>,
    /// Whether the members run the baseline ([`HeartbeatBaseline`]).
    pub baseline: bool,
    /// All members start within this time, seconds.
    pub start_within: f64,
}

impl Scenario {
    /// A scenario without faults.
    pub fn without_faults(seed: u64, members: u16, duration: f64) -> Scenario {
        Scenario {
            seed,
            members,
            duties: 16,
            duration,
            loss: 0.0,
            duplication: 0.0,
            corruption: 0.0,
            mean_delay: 0.001,
            faults_end: 0.0,
            faults: Vec::new(),
            clock_rates: BTreeMap::new(),
            member_lists: BTreeMap::new(),
            disabled_safeguard: None,
            baseline: false,
            start_within: 0.5,
        }
    }

    /// A scenario with random faults drawn from the seed. The links only delay from `faults_end` on.
    pub fn random(seed: u64, members: u16, faults_end: f64, duration: f64) -> Scenario {
        let mut rng = WyRand::new_seed(seed ^ 0x0057_0a11);
        let mut draw = |from: f64, to: f64| from + rng.generate::<f64>() * (to - from);
        let mut scenario = Scenario::without_faults(seed, members, duration);
        scenario.faults_end = faults_end;
        scenario.loss = draw(0.0, 0.3);
        scenario.duplication = draw(0.0, 0.1);
        scenario.corruption = draw(0.0, 0.02);
        scenario.mean_delay = draw(0.0005, 0.02);
        scenario.start_within = draw(0.0, 3.0);
        let any_member =
            |draw: &mut dyn FnMut(f64, f64) -> f64| draw(0.0, f64::from(members)) as u16 % members;
        for _ in 0..draw(2.0, 7.0) as u32 {
            let (member, at) = (any_member(&mut draw), draw(4.0, faults_end - 8.0));
            let fault = match draw(0.0, 6.0) as u32 {
                0 => Fault::Kill {
                    member,
                    at,
                    restart_after: Some(draw(0.1, 6.0)),
                    clock_offset: draw(-4000.0, 1000.0),
                },
                1 => Fault::Kill { member, at, restart_after: None, clock_offset: 0.0 },
                2 | 3 => Fault::Stall { member, at, duration: draw(0.1, 7.0) },
                4 => {
                    let side: Vec<u16> = (0..members).filter(|_| draw(0.0, 1.0) < 0.4).collect();
                    let other_side: Vec<u16> = (0..members).filter(|member| !side.contains(member)).collect();
                    let duration = draw(0.5, 8.0);
                    if draw(0.0, 1.0) < 0.5 {
                        scenario.faults.push(Fault::LinkCut {
                            from: other_side.clone(),
                            to: side.clone(),
                            at,
                            duration,
                        });
                    }
                    Fault::LinkCut { from: side, to: other_side, at, duration }
                }
                _ => Fault::Noise { member, at },
            };
            scenario.faults.push(fault);
        }
        for member in 0..members {
            if draw(0.0, 1.0) < 0.1 {
                scenario.clock_rates.insert(member, draw(0.95, 1.05));
            }
        }
        scenario
    }
}

/// Result of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Guarantees that were broken, at most 20 of them.
    pub breaches: Vec<String>,
    /// For each killed process and each live member: seconds from the kill until the member recorded it as dead.
    pub detection_times: Vec<f64>,
    /// How often a live member was recorded as dead by another member.
    pub false_deaths: u64,
    /// Suspicions, and suspicions that the suspected member refuted.
    pub suspected: u64,
    pub refuted: u64,
    /// Times that a process detected that it had been stalled.
    pub stalls: u64,
    /// Datagrams that members dropped.
    pub dropped: u64,
    /// Runs of duties: when, which duty, which member.
    pub duty_runs: Vec<(f64, DutyId, u16)>,
    /// Datagrams and bytes sent by all processes.
    pub datagrams: u64,
    pub bytes: u64,
    /// Length of the longest datagram in bytes.
    pub longest_datagram: usize,
    /// Maximum bytes that one process sent in a second.
    pub max_bytes_in_second: u64,
    /// Processes started.
    pub processes: u64,
    /// Counters of the last process that was running at the end.
    pub counts: Counts,
}

impl Outcome {
    fn add_breach(&mut self, breach: String) {
        if self.breaches.len() < 20 {
            self.breaches.push(breach);
        }
    }
}

/// An event of the simulation. Processes and faults are given by index.
enum Event {
    Deliver(usize, Vec<u8>),
    Tick(usize),
    Start(usize),
    Fault(usize),
    /// Starts a process of this member number, with this offset of its wall clock.
    Restart(u16, f64),
    Resume(usize),
    Judge,
}

/// One process of a member.
struct Process {
    /// Member number that the process runs under.
    member: u16,
    /// None before the start and after the end of the process.
    core: Option<Box<dyn FleetCore>>,
    clock_rate: f64,
    /// Offset of the wall clock, seconds.
    clock_offset: f64,
    started_at: f64,
    stalled: bool,
    /// Datagrams that arrived while the process was stalled.
    socket_buffer: VecDeque<Vec<u8>>,
    /// Time that its tick is scheduled for, microseconds.
    tick_at: u64,
    /// A second of simulated time, and the bytes sent in it.
    sent_in_second: (u64, u64),
    /// Last time that a fault affected it.
    last_fault_at: f64,
    /// Members that it records as dead, and since when.
    dead_since: BTreeMap<u16, f64>,
}

/// State of the simulation.
struct World<'a> {
    scenario: &'a Scenario,
    rng: WyRand,
    /// Time in microseconds and id of each scheduled event, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event_id: u64,
    now: f64,
    processes: Vec<Process>,
    /// Start, end, senders and receivers of each cut.
    cuts: Vec<(f64, f64, BTreeSet<u16>, BTreeSet<u16>)>,
    /// When each member was killed last.
    killed_at: BTreeMap<u16, f64>,
    /// The first datagrams of the scenario with their receivers, to be repeated by [`Fault::Noise`].
    early_datagrams: Vec<(u16, Vec<u8>)>,
    outcome: Outcome,
    duties: Vec<DutyId>,
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6).ceil().clamp(0.0, 1e15) as u64
}

/// Seconds after the last fault that affected either of two members within which one may still record the other as dead
/// while it runs, or as alive while it does not.
pub fn convergence_bound(members: u16) -> f64 {
    config::convergence_time(FleetConfig::uniform("sim", 0, 1).check_period, usize::from(members))
}

/// Runs a scenario to its end.
pub fn simulate(scenario: &Scenario) -> Outcome {
    let duties: Vec<DutyId> = (0..scenario.duties).map(|nth| DutyId::of(&format!("node-{nth}"))).collect();
    let mut world = World {
        scenario,
        rng: WyRand::new_seed(scenario.seed),
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        last_event_id: 0,
        now: 0.0,
        processes: Vec::new(),
        cuts: Vec::new(),
        killed_at: BTreeMap::new(),
        early_datagrams: Vec::new(),
        outcome: Outcome::default(),
        duties,
    };
    for member in 0..scenario.members {
        let at = world.rng.generate::<f64>() * scenario.start_within;
        world.add_process(member, at, 0.0);
    }
    for (nth, fault) in scenario.faults.iter().enumerate() {
        let at = match fault {
            Fault::Kill { at, .. }
            | Fault::Stall { at, .. }
            | Fault::LinkCut { at, .. }
            | Fault::DuplicateProcess { at, .. }
            | Fault::Leave { at, .. }
            | Fault::Noise { at, .. } => *at,
        };
        if let Fault::LinkCut { from, to, duration, .. } = fault {
            let sides = (from.iter().copied().collect(), to.iter().copied().collect());
            world.cuts.push((at, at + duration, sides.0, sides.1));
        }
        world.schedule(at, Event::Fault(nth));
    }
    world.schedule(JUDGE_INTERVAL, Event::Judge);
    world.run();
    world.outcome
}

impl World<'_> {
    fn schedule(&mut self, at: f64, event: Event) {
        self.schedule_micros(micros(at), event);
    }

    fn schedule_micros(&mut self, at: u64, event: Event) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue.push(Reverse((at, self.last_event_id)));
    }

    fn add_process(&mut self, member: u16, at: f64, clock_offset: f64) {
        let clock_rate = self.scenario.clock_rates.get(&member).copied().unwrap_or(1.0);
        self.processes.push(Process {
            member,
            core: None,
            clock_rate,
            clock_offset,
            started_at: at,
            stalled: false,
            socket_buffer: VecDeque::new(),
            tick_at: u64::MAX,
            sent_in_second: (0, 0),
            last_fault_at: at,
            dead_since: BTreeMap::new(),
        });
        self.schedule(at, Event::Start(self.processes.len() - 1));
    }

    fn local_clock(&self, index: usize) -> f64 {
        // Each process has its own clock, with an origin of its own.
        1000.0 * f64::from(self.processes[index].member) + self.now * self.processes[index].clock_rate
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at as f64 / 1e6 > self.scenario.duration {
                break;
            }
            self.now = at as f64 / 1e6;
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                Event::Deliver(index, bytes) => self.deliver(index, bytes),
                Event::Tick(index) => {
                    if self.processes[index].tick_at == at {
                        self.processes[index].tick_at = u64::MAX;
                        self.run_core(index, |core, now, out| core.tick(now, out));
                    }
                }
                Event::Start(index) => self.start_process(index),
                Event::Fault(nth) => self.inject(nth),
                Event::Restart(member, clock_offset) => self.add_process(member, self.now, clock_offset),
                Event::Resume(index) => self.resume(index),
                Event::Judge => {
                    self.judge_statuses(false);
                    self.schedule(self.now + JUDGE_INTERVAL, Event::Judge);
                }
            }
        }
        self.now = self.scenario.duration;
        self.judge_statuses(true);
        for member in 0..self.scenario.members {
            let takes_part = |index: &usize| {
                let core = self.processes[*index].core.as_ref();
                core.is_some_and(|core| core.standing() != Standing::Displaced)
            };
            let active = self.running_processes(member).into_iter().filter(|index| takes_part(index)).count();
            // If no other member runs, no datagram tells two processes of the same member of each other.
            let others = self.processes.iter().any(|other| other.member != member && other.core.is_some());
            if active > 1 && others {
                self.outcome.add_breach(format!("{active} processes take part as member {member}"));
            }
        }
        self.judge_duties();
        for process in &self.processes {
            let Some(core) = &process.core else { continue };
            let counts = core.counts();
            self.outcome.suspected += counts.suspected;
            self.outcome.refuted += counts.refuted;
            self.outcome.stalls += counts.stalls;
            self.outcome.dropped += counts.malformed
                + counts.wrong_version
                + counts.other_fleet
                + counts.unknown_sender
                + counts.old_incarnation
                + counts.duplicates;
            self.outcome.counts = counts.clone();
        }
        self.outcome.processes = self.processes.len() as u64;
    }

    fn start_process(&mut self, index: usize) {
        let (now, member) = (self.local_clock(index), self.processes[index].member);
        let mut config = FleetConfig::uniform("sim", member, self.scenario.members);
        if let Some(list) = self.scenario.member_lists.get(&member) {
            config.members =
                list.iter().map(|listed| MemberEntry { member: MemberId(*listed), weight: 1 }).collect();
        }
        config.disabled_safeguard = self.scenario.disabled_safeguard;
        let wall_clock = 1_796_000_000.0 + self.now + self.processes[index].clock_offset;
        let seed = self.scenario.seed.wrapping_mul(977).wrapping_add(index as u64);
        let mut core: Box<dyn FleetCore> = match self.scenario.baseline {
            true => Box::new(HeartbeatBaseline::start(now, config)),
            false => Box::new(SwimMember::start(now, wall_clock, seed, config)),
        };
        core.set_duties(now, &self.duties);
        self.processes[index].core = Some(core);
        self.schedule_tick(index);
    }

    fn schedule_tick(&mut self, index: usize) {
        let process = &self.processes[index];
        let Some(core) = process.core.as_ref().filter(|_| !process.stalled) else { return };
        let next = core.next_tick_at();
        if !next.is_finite() {
            return;
        }
        let at = (next - 1000.0 * f64::from(process.member)) / process.clock_rate;
        // Later than now: a time that rounding moves just before the due time would be scheduled again without end.
        let at = micros(at).max(micros(self.now) + 1);
        if at != self.processes[index].tick_at {
            self.processes[index].tick_at = at;
            self.schedule_micros(at, Event::Tick(index));
        }
    }

    /// Passes an event to a core and carries out its actions.
    fn run_core(&mut self, index: usize, event: impl FnOnce(&mut dyn FleetCore, f64, &mut Vec<Action>)) {
        if self.processes[index].stalled {
            return;
        }
        let now = self.local_clock(index);
        let Some(core) = &mut self.processes[index].core else { return };
        let mut out = Vec::new();
        event(core.as_mut(), now, &mut out);
        for action in out {
            match action {
                Action::SendDatagram(to, bytes) => self.send(index, to.0, bytes),
                Action::RunDuty(duty) => {
                    let member = self.processes[index].member;
                    self.outcome.duty_runs.push((self.now, duty, member));
                    if let Some(core) = &mut self.processes[index].core {
                        core.duty_done(now, duty, true);
                    }
                }
                Action::MemberStatusChanged(member, status) => self.status_changed(index, member.0, status),
                Action::StandingChanged(_) | Action::SignalReceived(..) => {}
            }
        }
        self.schedule_tick(index);
    }

    fn send(&mut self, index: usize, to: u16, bytes: Vec<u8>) {
        self.outcome.datagrams += 1;
        self.outcome.bytes += bytes.len() as u64;
        self.outcome.longest_datagram = self.outcome.longest_datagram.max(bytes.len());
        let (from, second) = (self.processes[index].member, self.now as u64);
        let meter = &mut self.processes[index].sent_in_second;
        *meter = if meter.0 == second {
            (second, meter.1 + bytes.len() as u64)
        } else {
            (second, bytes.len() as u64)
        };
        self.outcome.max_bytes_in_second = self.outcome.max_bytes_in_second.max(meter.1);
        if self.early_datagrams.len() < 256 {
            self.early_datagrams.push((to, bytes.clone()));
        }
        let cut = |(at, ends, senders, receivers): &(f64, f64, BTreeSet<u16>, BTreeSet<u16>)| {
            (*at..*ends).contains(&self.now) && senders.contains(&from) && receivers.contains(&to)
        };
        if self.cuts.iter().any(cut) {
            return;
        }
        let faulty = self.now < self.scenario.faults_end;
        if faulty && self.rng.generate::<f64>() < self.scenario.loss {
            return;
        }
        let copies = 1 + u32::from(faulty && self.rng.generate::<f64>() < self.scenario.duplication);
        // All processes of the member receive it, because duplicate processes share one address.
        let targets: Vec<usize> = (0..self.processes.len())
            .filter(|other| self.processes[*other].member == to && self.processes[*other].core.is_some())
            .collect();
        for target in targets.into_iter().filter(|target| *target != index) {
            for _ in 0..copies {
                let mut bytes = bytes.clone();
                if faulty && self.rng.generate::<f64>() < self.scenario.corruption {
                    let damaged = self.rng.generate_range(0..bytes.len());
                    bytes[damaged] ^= 1 << self.rng.generate_range(0..8u32);
                }
                let delay = -self.scenario.mean_delay * (1.0 - self.rng.generate::<f64>()).ln();
                self.schedule(self.now + delay, Event::Deliver(target, bytes));
            }
        }
    }

    fn deliver(&mut self, index: usize, bytes: Vec<u8>) {
        let process = &mut self.processes[index];
        if process.stalled {
            if process.socket_buffer.len() < SOCKET_BUFFER {
                process.socket_buffer.push_back(bytes);
            }
            return;
        }
        self.run_core(index, |core, now, out| core.datagram_received(now, &bytes, out));
    }

    fn running_processes(&self, member: u16) -> Vec<usize> {
        let live =
            |index: &usize| self.processes[*index].member == member && self.processes[*index].core.is_some();
        (0..self.processes.len()).filter(live).collect()
    }

    fn inject(&mut self, nth: usize) {
        let fault = self.scenario.faults[nth].clone();
        match fault {
            Fault::Kill { member, restart_after, clock_offset, .. } => {
                for index in self.running_processes(member) {
                    self.processes[index].core = None;
                    self.killed_at.insert(member, self.now);
                }
                if let Some(after) = restart_after {
                    self.schedule(self.now + after, Event::Restart(member, clock_offset));
                }
            }
            Fault::Stall { member, duration, .. } => {
                for index in self.running_processes(member) {
                    self.processes[index].stalled = true;
                    self.schedule(self.now + duration, Event::Resume(index));
                }
            }
            Fault::LinkCut { .. } => {}
            Fault::DuplicateProcess { member, .. } => self.add_process(member, self.now, 0.0),
            Fault::Leave { member, .. } => {
                for index in self.running_processes(member) {
                    self.run_core(index, |core, now, out| core.leave(now, out));
                    self.processes[index].core = None;
                }
            }
            Fault::Noise { member, .. } => {
                let replayed: Vec<Vec<u8>> = self
                    .early_datagrams
                    .iter()
                    .filter(|(to, _)| *to == member)
                    .map(|(_, bytes)| bytes.clone())
                    .collect();
                for index in self.running_processes(member) {
                    for bytes in &replayed {
                        self.deliver(index, bytes.clone());
                        let truncated = bytes[..self.rng.generate_range(0..bytes.len())].to_vec();
                        self.deliver(index, truncated);
                        let mut noise = vec![0; bytes.len()];
                        self.rng.fill_bytes(&mut noise);
                        self.deliver(index, noise);
                    }
                }
            }
        }
    }

    fn resume(&mut self, index: usize) {
        if self.processes[index].core.is_none() || !std::mem::take(&mut self.processes[index].stalled) {
            return;
        }
        self.processes[index].last_fault_at = self.now;
        let read_first = self.rng.generate::<f64>() < 0.5;
        if !read_first {
            self.run_core(index, |core, now, out| core.tick(now, out));
        }
        while let Some(bytes) = self.processes[index].socket_buffer.pop_front() {
            self.run_core(index, |core, now, out| core.datagram_received(now, &bytes, out));
        }
        self.processes[index].tick_at = u64::MAX;
        self.run_core(index, |core, now, out| core.tick(now, out));
    }

    fn status_changed(&mut self, index: usize, member: u16, status: Status) {
        let now = self.now;
        if status != Status::Dead {
            self.processes[index].dead_since.remove(&member);
            return;
        }
        self.processes[index].dead_since.entry(member).or_insert(now);
        if self.running_processes(member).is_empty() {
            if let Some(killed) = self.killed_at.get(&member) {
                self.outcome.detection_times.push(now - killed);
            }
        } else {
            self.outcome.false_deaths += 1;
        }
    }

    /// Last time that a cut affected the links of either of two members: its end, or now if it is not over.
    fn last_cut_of(&self, first: u16, second: u16) -> f64 {
        let touches = |(_, _, from, to): &&(f64, f64, BTreeSet<u16>, BTreeSet<u16>)| {
            from.contains(&first) || to.contains(&first) || from.contains(&second) || to.contains(&second)
        };
        let begun = self.cuts.iter().filter(|(at, ..)| *at <= self.now).filter(touches);
        begun.map(|(_, ends, ..)| ends.min(self.now)).fold(0.0, f64::max)
    }

    /// Compares the statuses that members record with the processes that run.
    fn judge_statuses(&mut self, last: bool) {
        let mut found = Vec::new();
        let bound = convergence_bound(self.scenario.members);
        let is_up = |member: u16| {
            self.processes.iter().any(|process| process.member == member && process.core.is_some())
        };
        for process in &self.processes {
            let Some(core) = process.core.as_ref().filter(|_| !process.stalled) else { continue };
            if core.standing() == Standing::Displaced || self.now - process.last_fault_at < bound {
                continue;
            }
            let live: BTreeSet<u16> = core.live_members().into_iter().map(|member| member.0).collect();
            let listed = self.scenario.member_lists.get(&process.member);
            for member in 0..self.scenario.members {
                if listed.is_some_and(|list| !list.contains(&member)) || member == process.member {
                    continue;
                }
                let others = self.processes.iter().filter(|other| other.member == member);
                let last_fault_at =
                    others.clone().map(|other| if other.stalled { self.now } else { other.last_fault_at });
                let last_fault_at =
                    last_fault_at.fold(0.0, f64::max).max(self.last_cut_of(process.member, member));
                let last_fault_at = last_fault_at.max(self.killed_at.get(&member).copied().unwrap_or(0.0));
                if self.now - last_fault_at < bound {
                    continue;
                }
                if is_up(member) && !live.contains(&member) {
                    let since = process.dead_since.get(&member).copied().unwrap_or(process.started_at);
                    if self.now - since > bound || last {
                        found.push(format!("{} records {member} as dead at {:.1}", process.member, self.now));
                    }
                }
                if !is_up(member) && live.contains(&member) {
                    found.push(format!("{} records {member} as alive at {:.1}", process.member, self.now));
                }
            }
        }
        found.into_iter().for_each(|breach| self.outcome.add_breach(breach));
    }

    /// No two members run one duty for longer than the takeover window, except during a cut and for one window after
    /// it. Once the faults have ended, every duty is run at least every 10 s.
    fn judge_duties(&mut self) {
        let config = FleetConfig::uniform("sim", 0, 1);
        let (window, gap) = (config.takeover_window, 2.5 * config.duty_interval);
        let mut by_duty: BTreeMap<DutyId, Vec<(f64, u16)>> = BTreeMap::new();
        self.outcome
            .duty_runs
            .iter()
            .for_each(|(at, duty, by)| by_duty.entry(*duty).or_default().push((*at, *by)));
        let cuts: Vec<(f64, f64)> = self.cuts.iter().map(|(at, ends, ..)| (*at, *ends)).collect();
        let mut found = Vec::new();
        for duty in &self.duties {
            let runs = by_duty.remove(duty).unwrap_or_default();
            for (first, second, from, to) in overlaps(&runs, gap) {
                // The part that no cut excuses: from the end of the last cut that began before the overlap ended.
                let healed = cuts.iter().filter(|(at, _)| *at <= to).map(|(_, ends)| *ends + window);
                let from = healed.fold(from, f64::max);
                if to - from > window {
                    found.push(format!(
                        "duty {:x} done by {first} and {second} from {from:.1} to {to:.1}",
                        duty.0
                    ));
                }
            }
            // With no process left, no duty is run.
            if !self.processes.iter().any(|process| process.core.is_some()) {
                continue;
            }
            let calm_from = self.scenario.faults_end + 10.0;
            let run_times = runs.iter().map(|(at, _)| *at).filter(|at| *at >= calm_from);
            let mut before = calm_from;
            for at in run_times.chain([self.scenario.duration]) {
                if at - before > 10.0 {
                    found.push(format!("duty {:x} not run from {before:.1} to {at:.1}", duty.0));
                }
                before = at;
            }
        }
        found.into_iter().for_each(|breach| self.outcome.add_breach(breach));
    }
}

/// Time spans in which two members both ran a duty, as (first member, second member, start, end). Runs of one member
/// that are at most `gap` seconds apart form one span of that member.
pub fn overlaps(runs: &[(f64, u16)], gap: f64) -> Vec<(u16, u16, f64, f64)> {
    let mut spans: Vec<(u16, f64, f64)> = Vec::new();
    for (at, by) in runs {
        match spans.iter_mut().rev().find(|(member, _, to)| member == by && at - to <= gap) {
            Some(span) => span.2 = *at,
            None => spans.push((*by, *at, *at)),
        }
    }
    let mut found = Vec::new();
    for (nth, (first, from, to)) in spans.iter().enumerate() {
        for (second, since, until) in &spans[nth + 1..] {
            let (from, to) = (from.max(*since), to.min(*until));
            if first != second && to > from {
                found.push((*first, *second, from, to));
            }
        }
    }
    found
}
