//! Members in simulated time: the same cores, links that lose, delay, repeat, reorder and damage, cuts, stops, restarts,
//! twins and clocks that run wrong, all from one seed. Judged from what every member held and did, by code that shares
//! nothing with theirs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use nanorand::{Rng, WyRand};

use crate::config::{self, FleetConfig, MemberEntry, Safeguard};
use crate::heartbeat::HeartbeatBaseline;
use crate::swim::SwimMember;
use crate::{Action, Counts, DutyId, FleetCore, MemberId, Standing, Status};

/// Datagrams that a stopped process's socket holds.
const HELD: usize = 200;
/// How often what members hold is looked at, seconds.
const LOOK: f64 = 0.5;

#[derive(Clone, Debug)]
pub enum Trouble {
    /// Dies; with a time, starts again so much later with nothing but its name, its wall clock off by so much.
    Kill { who: u16, at: f64, back: Option<f64>, clock: f64 },
    /// Has no turn.
    Stop { who: u16, at: f64, lasts: f64 },
    /// Nothing passes from these to those.
    Cut { from: Vec<u16>, to: Vec<u16>, at: f64, lasts: f64 },
    /// A second process under this number, for the rest.
    Twin { who: u16, at: f64 },
    /// Leaves in order.
    Leave { who: u16, at: f64 },
    /// Noise, cut and foreign datagrams, and datagrams of an hour ago, to this member.
    Noise { who: u16, at: f64 },
}

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    pub seed: u64,
    pub members: u16,
    pub duties: u32,
    pub lasts: f64,
    /// Links: parts of the datagrams that are lost, come twice, come damaged; delay of each, seconds, on average.
    pub lose: f64,
    pub repeat: f64,
    pub garble: f64,
    pub delay: f64,
    /// Until when; from then on they only delay.
    pub ends: f64,
    pub troubles: Vec<Trouble>,
    /// Rate of a member's clock.
    pub clocks: BTreeMap<u16, f64>,
    /// Lists of members that differ, by member.
    pub lists: BTreeMap<u16, Vec<u16>>,
    pub without: Option<Safeguard>,
    /// The baseline in place of the cores.
    pub plain: bool,
    /// All members start within this time.
    pub start: f64,
}

impl Play {
    pub fn calm(seed: u64, members: u16, lasts: f64) -> Play {
        Play {
            seed,
            members,
            duties: 16,
            lasts,
            lose: 0.0,
            repeat: 0.0,
            garble: 0.0,
            delay: 0.001,
            ends: 0.0,
            troubles: Vec::new(),
            clocks: BTreeMap::new(),
            lists: BTreeMap::new(),
            without: None,
            plain: false,
            start: 0.5,
        }
    }

    /// Troubles drawn by the seed, over by `ends`.
    pub fn storm(seed: u64, members: u16, ends: f64, lasts: f64) -> Play {
        let mut chance = WyRand::new_seed(seed ^ 0x0057_0a11);
        let mut draw = |from: f64, to: f64| from + chance.generate::<f64>() * (to - from);
        let mut play = Play::calm(seed, members, lasts);
        play.ends = ends;
        play.lose = draw(0.0, 0.3);
        play.repeat = draw(0.0, 0.1);
        play.garble = draw(0.0, 0.02);
        play.delay = draw(0.0005, 0.02);
        play.start = draw(0.0, 3.0);
        let any = |draw: &mut dyn FnMut(f64, f64) -> f64| draw(0.0, f64::from(members)) as u16 % members;
        for _ in 0..draw(2.0, 7.0) as u32 {
            let (who, at) = (any(&mut draw), draw(4.0, ends - 8.0));
            let trouble = match draw(0.0, 6.0) as u32 {
                0 => Trouble::Kill { who, at, back: Some(draw(0.1, 6.0)), clock: draw(-4000.0, 1000.0) },
                1 => Trouble::Kill { who, at, back: None, clock: 0.0 },
                2 | 3 => Trouble::Stop { who, at, lasts: draw(0.1, 7.0) },
                4 => {
                    let side: Vec<u16> = (0..members).filter(|_| draw(0.0, 1.0) < 0.4).collect();
                    let rest: Vec<u16> = (0..members).filter(|one| !side.contains(one)).collect();
                    let lasts = draw(0.5, 8.0);
                    if draw(0.0, 1.0) < 0.5 {
                        play.troubles.push(Trouble::Cut { from: rest.clone(), to: side.clone(), at, lasts });
                    }
                    Trouble::Cut { from: side, to: rest, at, lasts }
                }
                _ => Trouble::Noise { who, at },
            };
            play.troubles.push(trouble);
        }
        for who in 0..members {
            if draw(0.0, 1.0) < 0.1 {
                play.clocks.insert(who, draw(0.95, 1.05));
            }
        }
        play
    }
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Promises that were broken, by name.
    pub broken: Vec<String>,
    /// Times from a kill to each live member's holding the process dead.
    pub detected: Vec<f64>,
    /// Live members that were held dead, by how many others each time.
    pub false_deaths: u64,
    /// Suspicions, and those that their member refuted.
    pub suspected: u64,
    pub refuted: u64,
    pub no_turn: u64,
    pub dropped: u64,
    /// Duties done, by whom and when.
    pub done: Vec<(f64, DutyId, u16)>,
    /// Datagrams and bytes sent for each process.
    pub datagrams: u64,
    pub bytes: u64,
    pub longest: usize,
    /// The most bytes that one process sent in a second.
    pub busiest: u64,
    pub processes: u64,
    pub counts: Counts,
}

impl Outcome {
    fn breach(&mut self, what: String) {
        if self.broken.len() < 20 {
            self.broken.push(what);
        }
    }
}

enum Event {
    Deliver(usize, Vec<u8>),
    Tick(usize),
    Start(usize),
    Trouble(usize),
    Back(u16, f64),
    Resume(usize),
    Look,
}

struct Process {
    number: u16,
    core: Option<Box<dyn FleetCore>>,
    rate: f64,
    clock: f64,
    born: f64,
    stopped: bool,
    inbox: VecDeque<Vec<u8>>,
    /// When its tick is set for.
    tick_at: u64,
    second: (u64, u64),
    /// Last time that a fault touched it.
    touched: f64,
    holds_dead: BTreeMap<u16, f64>,
}

struct World<'a> {
    play: &'a Play,
    chance: WyRand,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    order: u64,
    now: f64,
    processes: Vec<Process>,
    cuts: Vec<(f64, f64, BTreeSet<u16>, BTreeSet<u16>)>,
    killed: BTreeMap<u16, f64>,
    old: Vec<(u16, Vec<u8>)>,
    outcome: Outcome,
    duties: Vec<DutyId>,
}

fn micros(t: f64) -> u64 {
    (t * 1e6).ceil().clamp(0.0, 1e15) as u64
}

/// The promise's figure: how long after the last fault that touched either of two members the one may still hold the
/// other dead, or alive when it is not, seconds.
pub fn bound(members: u16) -> f64 {
    config::convergence_time(FleetConfig::uniform("sim", 0, 1).check_period, usize::from(members))
}

/// Plays it.
pub fn play(play: &Play) -> Outcome {
    let duties: Vec<DutyId> = (0..play.duties).map(|nth| DutyId::of(&format!("node-{nth}"))).collect();
    let mut world = World {
        play,
        chance: WyRand::new_seed(play.seed),
        heap: BinaryHeap::new(),
        events: HashMap::new(),
        order: 0,
        now: 0.0,
        processes: Vec::new(),
        cuts: Vec::new(),
        killed: BTreeMap::new(),
        old: Vec::new(),
        outcome: Outcome::default(),
        duties,
    };
    for number in 0..play.members {
        let at = world.chance.generate::<f64>() * play.start;
        world.spawn(number, at, 0.0);
    }
    for (nth, trouble) in play.troubles.iter().enumerate() {
        let at = match trouble {
            Trouble::Kill { at, .. }
            | Trouble::Stop { at, .. }
            | Trouble::Cut { at, .. }
            | Trouble::Twin { at, .. }
            | Trouble::Leave { at, .. }
            | Trouble::Noise { at, .. } => *at,
        };
        if let Trouble::Cut { from, to, lasts, .. } = trouble {
            let sets = (from.iter().copied().collect(), to.iter().copied().collect());
            world.cuts.push((at, at + lasts, sets.0, sets.1));
        }
        world.at(at, Event::Trouble(nth));
    }
    world.at(LOOK, Event::Look);
    world.run();
    world.outcome
}

impl World<'_> {
    fn at(&mut self, at: f64, event: Event) {
        self.at_micros(micros(at), event);
    }

    fn at_micros(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.insert(self.order, event);
        self.heap.push(Reverse((at, self.order)));
    }

    fn spawn(&mut self, number: u16, at: f64, clock: f64) {
        let rate = self.play.clocks.get(&number).copied().unwrap_or(1.0);
        self.processes.push(Process {
            number,
            core: None,
            rate,
            clock,
            born: at,
            stopped: false,
            inbox: VecDeque::new(),
            tick_at: u64::MAX,
            second: (0, 0),
            touched: at,
            holds_dead: BTreeMap::new(),
        });
        self.at(at, Event::Start(self.processes.len() - 1));
    }

    fn local(&self, index: usize) -> f64 {
        // Its own clock, from an origin of its own.
        1000.0 * f64::from(self.processes[index].number) + self.now * self.processes[index].rate
    }

    fn run(&mut self) {
        while let Some(Reverse((at, id))) = self.heap.pop() {
            if at as f64 / 1e6 > self.play.lasts {
                break;
            }
            self.now = at as f64 / 1e6;
            let Some(event) = self.events.remove(&id) else { continue };
            match event {
                Event::Deliver(index, bytes) => self.deliver(index, bytes),
                Event::Tick(index) => {
                    if self.processes[index].tick_at == at {
                        self.processes[index].tick_at = u64::MAX;
                        self.turn(index, |core, now, out| core.tick(now, out));
                    }
                }
                Event::Start(index) => self.begin(index),
                Event::Trouble(nth) => self.trouble(nth),
                Event::Back(number, clock) => self.spawn(number, self.now, clock),
                Event::Resume(index) => self.resume(index),
                Event::Look => {
                    self.look(false);
                    self.at(self.now + LOOK, Event::Look);
                }
            }
        }
        self.now = self.play.lasts;
        self.look(true);
        for number in 0..self.play.members {
            let speaks = |index: &usize| {
                let core = self.processes[*index].core.as_ref();
                core.is_some_and(|core| core.standing() != Standing::Displaced)
            };
            let speaking = self.running(number).into_iter().filter(|index| speaks(index)).count();
            // Two that nobody else hears have nobody to tell them of each other.
            let others = self.processes.iter().any(|other| other.number != number && other.core.is_some());
            if speaking > 1 && others {
                self.outcome.breach(format!("{speaking} processes speak as {number}"));
            }
        }
        self.judge_duties();
        for process in &self.processes {
            let Some(core) = &process.core else { continue };
            let counts = core.counts();
            self.outcome.suspected += counts.suspected;
            self.outcome.refuted += counts.refuted;
            self.outcome.no_turn += counts.no_turn;
            self.outcome.dropped +=
                counts.bad + counts.version + counts.foreign + counts.unknown + counts.old + counts.repeated;
            self.outcome.counts = counts.clone();
        }
        self.outcome.processes = self.processes.len() as u64;
    }

    fn begin(&mut self, index: usize) {
        let (now, number) = (self.local(index), self.processes[index].number);
        let mut config = FleetConfig::uniform("sim", number, self.play.members);
        if let Some(list) = self.play.lists.get(&number) {
            config.members =
                list.iter().map(|one| MemberEntry { member: MemberId(*one), weight: 1 }).collect();
        }
        config.disabled_safeguard = self.play.without;
        let wall = 1_796_000_000.0 + self.now + self.processes[index].clock;
        let seed = self.play.seed.wrapping_mul(977).wrapping_add(index as u64);
        let mut core: Box<dyn FleetCore> = match self.play.plain {
            true => Box::new(HeartbeatBaseline::start(now, config)),
            false => Box::new(SwimMember::start(now, wall, seed, config)),
        };
        core.set_duties(now, &self.duties);
        self.processes[index].core = Some(core);
        self.arm(index);
    }

    fn arm(&mut self, index: usize) {
        let process = &self.processes[index];
        let Some(core) = process.core.as_ref().filter(|_| !process.stopped) else { return };
        let next = core.next_tick_at();
        if !next.is_finite() {
            return;
        }
        let at = (next - 1000.0 * f64::from(process.number)) / process.rate;
        // Later than now: a time that comes back a hair short of itself would be tried at again for ever.
        let at = micros(at).max(micros(self.now) + 1);
        if at != self.processes[index].tick_at {
            self.processes[index].tick_at = at;
            self.at_micros(at, Event::Tick(index));
        }
    }

    fn turn(&mut self, index: usize, act: impl FnOnce(&mut dyn FleetCore, f64, &mut Vec<Action>)) {
        if self.processes[index].stopped {
            return;
        }
        let now = self.local(index);
        let Some(core) = &mut self.processes[index].core else { return };
        let mut out = Vec::new();
        act(core.as_mut(), now, &mut out);
        for act in out {
            match act {
                Action::SendDatagram(to, bytes) => self.send(index, to.0, bytes),
                Action::RunDuty(duty) => {
                    let number = self.processes[index].number;
                    self.outcome.done.push((self.now, duty, number));
                    if let Some(core) = &mut self.processes[index].core {
                        core.duty_done(now, duty, true);
                    }
                }
                Action::MemberStatusChanged(member, status) => self.holds(index, member.0, status),
                Action::StandingChanged(_) | Action::SignalReceived(..) => {}
            }
        }
        self.arm(index);
    }

    fn send(&mut self, index: usize, to: u16, bytes: Vec<u8>) {
        self.outcome.datagrams += 1;
        self.outcome.bytes += bytes.len() as u64;
        self.outcome.longest = self.outcome.longest.max(bytes.len());
        let (from, second) = (self.processes[index].number, self.now as u64);
        let meter = &mut self.processes[index].second;
        *meter = if meter.0 == second {
            (second, meter.1 + bytes.len() as u64)
        } else {
            (second, bytes.len() as u64)
        };
        self.outcome.busiest = self.outcome.busiest.max(meter.1);
        if self.old.len() < 256 {
            self.old.push((to, bytes.clone()));
        }
        let cut = |(at, ends, sides, others): &(f64, f64, BTreeSet<u16>, BTreeSet<u16>)| {
            (*at..*ends).contains(&self.now) && sides.contains(&from) && others.contains(&to)
        };
        if self.cuts.iter().any(cut) {
            return;
        }
        let bad = self.now < self.play.ends;
        if bad && self.chance.generate::<f64>() < self.play.lose {
            return;
        }
        let copies = 1 + u32::from(bad && self.chance.generate::<f64>() < self.play.repeat);
        // All processes of the number get it: twins live behind one address.
        let targets: Vec<usize> = (0..self.processes.len())
            .filter(|other| self.processes[*other].number == to && self.processes[*other].core.is_some())
            .collect();
        for target in targets.into_iter().filter(|target| *target != index) {
            for _ in 0..copies {
                let mut bytes = bytes.clone();
                if bad && self.chance.generate::<f64>() < self.play.garble {
                    let at = self.chance.generate_range(0..bytes.len());
                    bytes[at] ^= 1 << self.chance.generate_range(0..8u32);
                }
                let delay = -self.play.delay * (1.0 - self.chance.generate::<f64>()).ln();
                self.at(self.now + delay, Event::Deliver(target, bytes));
            }
        }
    }

    fn deliver(&mut self, index: usize, bytes: Vec<u8>) {
        let process = &mut self.processes[index];
        if process.stopped {
            if process.inbox.len() < HELD {
                process.inbox.push_back(bytes);
            }
            return;
        }
        self.turn(index, |core, now, out| core.datagram_received(now, &bytes, out));
    }

    fn running(&self, number: u16) -> Vec<usize> {
        let live =
            |index: &usize| self.processes[*index].number == number && self.processes[*index].core.is_some();
        (0..self.processes.len()).filter(live).collect()
    }

    fn trouble(&mut self, nth: usize) {
        let trouble = self.play.troubles[nth].clone();
        match trouble {
            Trouble::Kill { who, back, clock, .. } => {
                for index in self.running(who) {
                    self.processes[index].core = None;
                    self.killed.insert(who, self.now);
                }
                if let Some(after) = back {
                    self.at(self.now + after, Event::Back(who, clock));
                }
            }
            Trouble::Stop { who, lasts, .. } => {
                for index in self.running(who) {
                    self.processes[index].stopped = true;
                    self.at(self.now + lasts, Event::Resume(index));
                }
            }
            Trouble::Cut { .. } => {}
            Trouble::Twin { who, .. } => self.spawn(who, self.now, 0.0),
            Trouble::Leave { who, .. } => {
                for index in self.running(who) {
                    self.turn(index, |core, now, out| core.leave(now, out));
                    self.processes[index].core = None;
                }
            }
            Trouble::Noise { who, .. } => {
                let replayed: Vec<Vec<u8>> =
                    self.old.iter().filter(|(to, _)| *to == who).map(|(_, bytes)| bytes.clone()).collect();
                for index in self.running(who) {
                    for bytes in &replayed {
                        self.deliver(index, bytes.clone());
                        let short = bytes[..self.chance.generate_range(0..bytes.len())].to_vec();
                        self.deliver(index, short);
                        let mut noise = vec![0; bytes.len()];
                        self.chance.fill_bytes(&mut noise);
                        self.deliver(index, noise);
                    }
                }
            }
        }
    }

    fn resume(&mut self, index: usize) {
        if self.processes[index].core.is_none() || !std::mem::take(&mut self.processes[index].stopped) {
            return;
        }
        self.processes[index].touched = self.now;
        let read_first = self.chance.generate::<f64>() < 0.5;
        if !read_first {
            self.turn(index, |core, now, out| core.tick(now, out));
        }
        while let Some(bytes) = self.processes[index].inbox.pop_front() {
            self.turn(index, |core, now, out| core.datagram_received(now, &bytes, out));
        }
        self.processes[index].tick_at = u64::MAX;
        self.turn(index, |core, now, out| core.tick(now, out));
    }

    fn holds(&mut self, index: usize, of: u16, status: Status) {
        let now = self.now;
        if status != Status::Dead {
            self.processes[index].holds_dead.remove(&of);
            return;
        }
        self.processes[index].holds_dead.entry(of).or_insert(now);
        if self.running(of).is_empty() {
            if let Some(killed) = self.killed.get(&of) {
                self.outcome.detected.push(now - killed);
            }
        } else {
            self.outcome.false_deaths += 1;
        }
    }

    /// Last time that a cut touched the link between two, either way; in it, now.
    fn cut_between(&self, one: u16, other: u16) -> f64 {
        let touches = |(_, _, from, to): &&(f64, f64, BTreeSet<u16>, BTreeSet<u16>)| {
            from.contains(&one) || to.contains(&one) || from.contains(&other) || to.contains(&other)
        };
        let begun = self.cuts.iter().filter(|(at, ..)| *at <= self.now).filter(touches);
        begun.map(|(_, ends, ..)| ends.min(self.now)).fold(0.0, f64::max)
    }

    /// What members hold, against what is so.
    fn look(&mut self, last: bool) {
        let mut found = Vec::new();
        let bound = bound(self.play.members);
        let up = |number: u16| {
            self.processes.iter().any(|process| process.number == number && process.core.is_some())
        };
        for process in &self.processes {
            let Some(core) = process.core.as_ref().filter(|_| !process.stopped) else { continue };
            if core.standing() == Standing::Displaced || self.now - process.touched < bound {
                continue;
            }
            let live: BTreeSet<u16> = core.live_members().into_iter().map(|member| member.0).collect();
            let listed = self.play.lists.get(&process.number);
            for number in 0..self.play.members {
                if listed.is_some_and(|list| !list.contains(&number)) || number == process.number {
                    continue;
                }
                let others = self.processes.iter().filter(|other| other.number == number);
                let touched =
                    others.clone().map(|other| if other.stopped { self.now } else { other.touched });
                let touched = touched.fold(0.0, f64::max).max(self.cut_between(process.number, number));
                let touched = touched.max(self.killed.get(&number).copied().unwrap_or(0.0));
                if self.now - touched < bound {
                    continue;
                }
                if up(number) && !live.contains(&number) {
                    let since = process.holds_dead.get(&number).copied().unwrap_or(process.born);
                    if self.now - since > bound || last {
                        found.push(format!("{} holds {number} dead at {:.1}", process.number, self.now));
                    }
                }
                if !up(number) && live.contains(&number) {
                    found.push(format!("{} holds {number} alive at {:.1}", process.number, self.now));
                }
            }
        }
        found.into_iter().for_each(|what| self.outcome.breach(what));
    }

    /// No duty by two members for longer than the window, but while a cut lasts and a window after; none undone for
    /// long once the faults are over.
    fn judge_duties(&mut self) {
        let config = FleetConfig::uniform("sim", 0, 1);
        let (window, gap) = (config.takeover_window, 2.5 * config.duty_interval);
        let mut by_duty: BTreeMap<DutyId, Vec<(f64, u16)>> = BTreeMap::new();
        self.outcome
            .done
            .iter()
            .for_each(|(at, duty, by)| by_duty.entry(*duty).or_default().push((*at, *by)));
        let cuts: Vec<(f64, f64)> = self.cuts.iter().map(|(at, ends, ..)| (*at, *ends)).collect();
        let mut found = Vec::new();
        for duty in &self.duties {
            let done = by_duty.remove(duty).unwrap_or_default();
            for (one, other, from, to) in overlaps(&done, gap) {
                // The part of it that no cut excuses: from the end of the last that began before its end.
                let healed = cuts.iter().filter(|(at, _)| *at <= to).map(|(_, ends)| *ends + window);
                let from = healed.fold(from, f64::max);
                if to - from > window {
                    found.push(format!(
                        "duty {:x} done by {one} and {other} from {from:.1} to {to:.1}",
                        duty.0
                    ));
                }
            }
            // Where nobody is left, nobody does it.
            if !self.processes.iter().any(|process| process.core.is_some()) {
                continue;
            }
            let quiet = self.play.ends + 10.0;
            let rounds = done.iter().map(|(at, _)| *at).filter(|at| *at >= quiet);
            let mut before = quiet;
            for at in rounds.chain([self.play.lasts]) {
                if at - before > 10.0 {
                    found.push(format!("duty {:x} undone from {before:.1} to {at:.1}", duty.0));
                }
                before = at;
            }
        }
        found.into_iter().for_each(|what| self.outcome.breach(what));
    }
}

/// Spans in which two both did a duty: each one's rounds with no gap above `gap` are one span of it.
pub fn overlaps(done: &[(f64, u16)], gap: f64) -> Vec<(u16, u16, f64, f64)> {
    let mut spans: Vec<(u16, f64, f64)> = Vec::new();
    for (at, by) in done {
        match spans.iter_mut().rev().find(|(who, _, to)| who == by && at - to <= gap) {
            Some(span) => span.2 = *at,
            None => spans.push((*by, *at, *at)),
        }
    }
    let mut found = Vec::new();
    for (nth, (one, from, to)) in spans.iter().enumerate() {
        for (other, since, until) in &spans[nth + 1..] {
            let (from, to) = (from.max(*since), to.min(*until));
            if one != other && to > from {
                found.push((*one, *other, from, to));
            }
        }
    }
    found
}
