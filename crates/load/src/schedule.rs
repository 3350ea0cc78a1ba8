//! What will be asked, and when: a stream planned from settings and seed alone, whatever the timing.
//!
//! Every process is one of gaps in operational time, the time in which the rate is one a second; the shape of the
//! load says how fast that runs. It is integrated over cells of 1/256 s, in which the rate is taken as even, so a
//! stream of any length holds one cell. Times, volumes and all else each have chances of their own, so that
//! changing one distribution leaves the others' draws as they were.

use quaypath_settings::{
    Abuse, Deployment, Draw as DrawForm, DrawKind, Leave, Load, Open, Process, MAX_RATE,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Exp, Exp1, Pareto};
use xxhash_rust::xxh3::xxh3_64;

use crate::draw::Draw;
use crate::shape::{Shape, Who};

const CELL: f64 = 1.0 / 256.0;
/// Extents of a volume that are used where no distribution says so, for each node of it.
const EXTENTS: u64 = 4;
/// Logical blocks of a transfer where no distribution says so.
pub(crate) const BLOCKS: u64 = 8;

/// One first try that is to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its place in the whole load, from 0: the same whichever generator has it.
    pub number: u64,
    /// When it is meant, seconds from the start.
    pub at: f64,
    /// Place of its peer in the list of them.
    pub peer: u32,
    pub volume: u32,
    pub plan: usize,
    pub band: usize,
    pub units: u32,
    pub key: u32,
    pub slba: u64,
    pub blocks: u32,
    pub initiators: u32,
    /// How long its caller waits, seconds.
    pub budget: f64,
    /// Its caller leaves after this many seconds.
    pub leaves: Option<f64>,
    /// Tries and waits of its caller's own, whatever it is advised.
    pub retries: Option<(u32, f64)>,
}

/// Where arrivals come from, in order of time.
pub trait Source {
    /// The next, or the reason why there can be none; nothing at the end.
    fn next(&mut self) -> Result<Option<Arrival>, String>;

    /// One for a closed loop's client that asks at `at`; nothing where a source knows no such thing.
    fn drawn(&mut self, at: f64) -> Option<Arrival>;
}

/// What stands at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peers {
    /// So many gateways; volumes spread over them by their settings.
    Gateways(u32),
    /// So many targets, by block; each arrival goes where its extent lies.
    Targets(u32),
}

impl Peers {
    pub fn count(self) -> u32 {
        match self {
            Peers::Gateways(count) | Peers::Targets(count) => count,
        }
    }
}

/// Which of `of` generators has a volume.
pub fn part_of(volume: u32, of: u32) -> u32 {
    (xxh3_64(&volume.to_le_bytes()) % u64::from(of.max(1))) as u32
}

/// The share of one generator of several. Each plans the whole load and keeps its own, so that no part depends on
/// another and the parts make up the whole exactly.
pub struct Part<S> {
    pub source: S,
    pub part: u32,
    pub of: u32,
}

impl<S: Source> Source for Part<S> {
    fn next(&mut self) -> Result<Option<Arrival>, String> {
        loop {
            match self.source.next()? {
                Some(arrival) if part_of(arrival.volume, self.of) != self.part => {}
                other => return Ok(other),
            }
        }
    }

    fn drawn(&mut self, at: f64) -> Option<Arrival> {
        // A part without a volume of its own has nothing to ask; 10,000 draws tell.
        (0..10_000).find_map(|_| {
            self.source.drawn(at).filter(|arrival| part_of(arrival.volume, self.of) == self.part)
        })
    }
}

/// Volumes whose rate goes by the same shape.
struct Class {
    who: Who,
    /// Part of the arrivals where the shape is 1.
    weight: f64,
    volumes: Vec<u32>,
    pick: WeightedAliasIndex<f64>,
}

enum Gaps {
    Constant,
    Exponential,
    Pareto(Pareto<f64>),
}

/// Turns of an on-off process.
struct Turns {
    on: bool,
    until: f64,
    lengths: [Exp<f64>; 2],
    /// Factors of the rate off and on; their mean over time is 1.
    factors: [f64; 2],
    chance: SmallRng,
}

#[derive(Default)]
struct Cell {
    to: f64,
    rate: f64,
    /// Rates of the classes added up.
    rates: Vec<f64>,
}

/// A drawn stream.
pub struct Schedule {
    deployment: Deployment,
    shares: Vec<f64>,
    lasts: f64,
    rate: f64,
    shape: Shape,
    classes: Vec<Class>,
    gaps: Gaps,
    turns: Option<Turns>,
    units: Draw,
    blocks: Draw,
    extents: Option<Draw>,
    lead: Option<(f64, f64)>,
    leave: Vec<Leave>,
    abuse: Vec<Abuse>,
    peers: Peers,
    at: f64,
    cell: Cell,
    next: u64,
    times: SmallRng,
    choices: SmallRng,
}

fn turns(open: &Open, seed: u64) -> Result<Turns, String> {
    let mean = (open.on + open.off * open.quiet) / (open.on + open.off);
    let mut chance = SmallRng::seed_from_u64(seed ^ 0x0ff0);
    let length = |mean: f64| Exp::new(1.0 / mean).map_err(|error| error.to_string());
    let lengths = [length(open.off)?, length(open.on)?];
    let on = chance.random::<f64>() < open.on / (open.on + open.off);
    let until = lengths[usize::from(on)].sample(&mut chance);
    Ok(Turns { on, until, lengths, factors: [open.quiet / mean, 1.0 / mean], chance })
}

impl Schedule {
    /// Plans a load that is drawn, not recorded. Fails with place and rule where it cannot be.
    pub fn new(load: &Load, deployment: &Deployment, peers: Peers) -> Result<Schedule, String> {
        check(load, deployment)?;
        let shape = Shape::of(load.shape.as_ref(), deployment);
        let open = load.open.clone();
        let process = open.as_ref().map_or(Process::Constant, |open| open.process);
        let gaps = match &open {
            None => Gaps::Constant,
            Some(open) => match process {
                Process::Constant => Gaps::Constant,
                Process::Poisson | Process::OnOff => Gaps::Exponential,
                Process::HeavyTail => {
                    let least = (open.alpha - 1.0) / open.alpha;
                    Gaps::Pareto(Pareto::new(least, open.alpha).map_err(|error| error.to_string())?)
                }
            },
        };
        let turns = match &open {
            Some(open) if process == Process::OnOff => Some(turns(open, load.seed)?),
            _ => None,
        };
        let draw = |form: &Option<DrawForm>, other: DrawForm, most: u64| {
            Draw::new(form.as_ref().unwrap_or(&other), most)
        };
        let plain = |kind, mean| DrawForm { kind, mean, sigma: 1.0, exponent: 1.0, value: Vec::new() };
        let mean = deployment.core.mean_units.max(1.0);
        let extents = load.extents.as_ref().map(|form| {
            let most = deployment.volumes.values().map(|volume| volume.size / deployment.extent_blocks).max();
            Draw::new(form, most.unwrap_or(1))
        });
        let mut schedule = Schedule {
            shares: load.shares(deployment),
            lasts: load.lasts,
            rate: open.as_ref().map_or(1.0, |open| open.rate),
            classes: classes(load, deployment, &shape)?,
            shape,
            gaps,
            turns,
            units: draw(&load.units, plain(DrawKind::Geometric, mean), u64::from(deployment.max_units))?,
            blocks: draw(&load.blocks, plain(DrawKind::Fixed, BLOCKS as f64), deployment.extent_blocks)?,
            extents: extents.transpose()?,
            lead: load.lead.as_ref().map(|lead| (lead.part, lead.lasts)),
            leave: load.leave.clone(),
            abuse: load.abuse.clone(),
            peers,
            at: 0.0,
            cell: Cell::default(),
            next: 0,
            times: SmallRng::seed_from_u64(load.seed),
            choices: SmallRng::seed_from_u64(load.seed ^ 0xc401ce),
            deployment: deployment.clone(),
        };
        schedule.enter(0.0);
        Ok(schedule)
    }

    /// Enters the cell that starts at `from`: up to the grid's next line or the turn's end.
    fn enter(&mut self, from: f64) {
        let mut to = ((from / CELL).floor() + 1.0) * CELL;
        let mut factor = 1.0;
        if let Some(turns) = &mut self.turns {
            while turns.until <= from {
                turns.on = !turns.on;
                turns.until += turns.lengths[usize::from(turns.on)].sample(&mut turns.chance);
            }
            to = to.min(turns.until);
            factor = turns.factors[usize::from(turns.on)];
        }
        let middle = (from + to) / 2.0;
        let (rate, shape) = (self.rate, &self.shape);
        let rates = &mut self.cell.rates;
        rates.clear();
        let mut sum = 0.0;
        for class in &self.classes {
            // Bounds say that it is not below 0, but for the rounding of sines.
            sum += (class.weight * shape.at(middle, class.who)).max(0.0) * rate * factor;
            rates.push(sum);
        }
        (self.cell.to, self.cell.rate) = (to, sum);
    }

    fn gap(&mut self) -> f64 {
        match &self.gaps {
            Gaps::Constant => 1.0,
            Gaps::Exponential => self.times.sample(Exp1),
            Gaps::Pareto(form) => form.sample(&mut self.times),
        }
    }

    fn choose(&mut self, at: f64) -> Arrival {
        let chance = &mut self.choices;
        let draw = chance.random::<f64>() * self.cell.rate;
        let class = self.cell.rates.iter().position(|sum| draw < *sum).unwrap_or(self.classes.len() - 1);
        let class = &self.classes[class];
        let id = class.volumes[class.pick.sample(chance)];
        let volume = &self.deployment.volumes[&id];
        let mut draw = chance.random::<f64>();
        let band = self.shares.iter().position(|part| {
            draw -= part;
            draw < 0.0
        });
        let band = band.unwrap_or(self.shares.len() - 1);
        let whole = (volume.size / self.deployment.extent_blocks).max(1);
        let extent = match &self.extents {
            Some(form) => form.draw(whole, chance) - 1,
            None => chance.random_range(0..(EXTENTS * volume.blocks.len() as u64).min(whole)),
        };
        let slba = extent * self.deployment.extent_blocks;
        let count = self.peers.count().max(1);
        let initiators = volume.initiators.min(count);
        let peer = match self.peers {
            Peers::Targets(_) => self.deployment.extent_and_block(volume, slba).1 as u32 % count,
            Peers::Gateways(_) => {
                let leads = self.lead.filter(|(part, _)| chance.random::<f64>() < *part);
                let nth = match leads {
                    Some((_, lasts)) => (at / lasts) as u32,
                    None => chance.random_range(0..initiators),
                };
                (id.wrapping_mul(5).wrapping_add(nth % initiators)) % count
            }
        };
        let due = self.deployment.core.bands[band].due;
        let leave = self.leave.iter().find(|leave| (leave.at..leave.at + leave.lasts).contains(&at));
        let leaves = leave.filter(|leave| chance.random::<f64>() < leave.part).map(|leave| leave.after * due);
        let plan = &self.deployment.plan_names[volume.plan];
        let abuse = self
            .abuse
            .iter()
            .find(|abuse| (abuse.at..abuse.at + abuse.lasts).contains(&at) && abuse.plan == *plan);
        let number = self.next;
        self.next += 1;
        Arrival {
            number,
            at,
            peer,
            volume: id,
            plan: volume.plan,
            band,
            units: self.units.draw(u64::from(self.deployment.max_units), chance) as u32,
            key: extent as u32 + 1,
            slba,
            blocks: self.blocks.draw(self.deployment.extent_blocks.min(2048), chance) as u32,
            initiators,
            budget: self.deployment.outer_limits[band],
            leaves,
            retries: abuse.map(|abuse| (abuse.retries, abuse.wait)),
        }
    }
}

impl Source for Schedule {
    fn next(&mut self) -> Result<Option<Arrival>, String> {
        let mut need = self.gap();
        loop {
            if self.at >= self.lasts {
                return Ok(None);
            }
            let room = (self.cell.to - self.at) * self.cell.rate;
            if need < room {
                self.at += need / self.cell.rate;
                break;
            }
            need -= room;
            self.at = self.cell.to;
            self.enter(self.at);
        }
        if self.at >= self.lasts {
            return Ok(None);
        }
        Ok(Some(self.choose(self.at)))
    }

    fn drawn(&mut self, at: f64) -> Option<Arrival> {
        self.enter(at.clamp(0.0, self.lasts));
        (self.cell.rate > 0.0).then(|| self.choose(at))
    }
}

/// Volumes by plan and by surges of their own, each with its part of the arrivals.
fn classes(load: &Load, deployment: &Deployment, shape: &Shape) -> Result<Vec<Class>, String> {
    let mut own = Vec::new();
    shape.volumes(&mut own);
    let mut ranks: Vec<u32> = (1..=deployment.volumes.len() as u32).collect();
    ranks.shuffle(&mut SmallRng::seed_from_u64(load.seed ^ 0x5b4ead));
    let skew = load
        .spread
        .as_ref()
        .filter(|spread| spread.kind == DrawKind::Zipf)
        .map_or(0.0, |spread| spread.exponent);
    let weights: Vec<(u32, usize, f64)> = (deployment.volumes.iter().zip(&ranks))
        .map(|((id, volume), rank)| {
            (*id, volume.plan, deployment.nominal[volume.plan] * f64::from(*rank).powf(-skew))
        })
        .collect();
    let all: f64 = weights.iter().map(|one| one.2).sum();
    let mut classes: Vec<(Who, Vec<u32>, Vec<f64>)> = Vec::new();
    for (id, plan, weight) in weights {
        let who = Who { plan, volume: own.contains(&id).then_some(id) };
        let at = classes.iter().position(|class| class.0 == who).unwrap_or_else(|| {
            classes.push((who, Vec::new(), Vec::new()));
            classes.len() - 1
        });
        classes[at].1.push(id);
        classes[at].2.push(weight);
    }
    let made = classes.into_iter().map(|(who, volumes, weights)| {
        let weight = weights.iter().sum::<f64>() / all;
        let pick = WeightedAliasIndex::new(weights).map_err(|error| format!("volumes' weights: {error}"))?;
        Ok(Class { who, weight, volumes, pick })
    });
    made.collect()
}

/// Most arrivals a second that the load comes to at any time.
pub fn peak(load: &Load, deployment: &Deployment) -> Result<f64, String> {
    let Some(open) = &load.open else { return Ok(0.0) };
    let shape = Shape::of(load.shape.as_ref(), deployment);
    let (mut least, mut most) = (f64::INFINITY, 0.0);
    for class in classes(load, deployment, &shape)? {
        let bounds = shape.bounds(load.lasts, class.who);
        least = f64::min(least, bounds.0);
        most += class.weight * bounds.1;
    }
    if least < 0.0 {
        return Err(format!("shape: found {least:.3} times the rate at its lowest; no shape falls below 0"));
    }
    if most <= 0.0 {
        return Err("shape: found 0 at all times; some arrival has to come".into());
    }
    let turns = if open.process == Process::OnOff { turns(open, 0)?.factors[1] } else { 1.0 };
    Ok(open.rate * most * turns)
}

/// Whether the rate can be at all, with the reason if not.
pub fn check(load: &Load, deployment: &Deployment) -> Result<(), String> {
    let peak = peak(load, deployment)?;
    if peak > MAX_RATE {
        return Err(format!("open, rate: found {peak:.0} a second at the peak; {MAX_RATE:.0} at most"));
    }
    // By Little's law, with every answer just in time.
    let shares = load.shares(deployment);
    let waits = shares.iter().zip(&deployment.core.bands).map(|(part, band)| part * band.due).sum::<f64>();
    let open = peak * waits;
    if load.open.is_some() && open > load.bounds.open {
        return Err(format!(
            "bounds, open: found {}; a peak of {peak:.0} a second answered at its due times holds {open:.0} open",
            load.bounds.open
        ));
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{load, Text};
    use test_case::test_case;

    fn all(text: &Text, peers: Peers) -> Vec<Arrival> {
        let loaded = load(text);
        let mut schedule = Schedule::new(&loaded.load, &loaded.deployment, peers).unwrap();
        std::iter::from_fn(|| schedule.next().unwrap()).collect()
    }

    /// Arrivals of every process come to rate times the integral of the shape; the heavy tail converges slowly.
    #[test_case("process='constant'", "", 1.0, 0.001; "constant")]
    #[test_case("process='poisson'", "", 1.0, 0.02; "poisson")]
    #[test_case("process='on-off' on='0.05' off='0.15' quiet='0.1'", "", 1.0, 0.15; "on off")]
    #[test_case("process='heavy-tail' alpha='1.9'", "", 1.0, 0.25; "heavy tail")]
    #[test_case("process='constant'", "<shape><ramp from='0' to='2' at='0' lasts='20'/></shape>", 1.0, 0.001; "ramp")]
    #[test_case("process='constant'", "<shape><step at='10' times='3'/></shape>", 2.0, 0.001; "step")]
    #[test_case("process='constant'", "<shape><sine mean='1' amplitude='1' period='10'/></shape>", 1.0, 0.001; "sine")]
    #[test_case("process='constant'", "<shape><sum><level value='1'/><surge at='5' lasts='4' times='6'/></sum></shape>", 3.0, 0.001; "sum with a surge")]
    fn counts(process: &str, shape: &str, times: f64, tolerance: f64) {
        let text = Text {
            open: format!("<open {process} rate='1000'/>"),
            shape: shape.into(),
            lasts: 20.0,
            ..Text::default()
        };
        let found = all(&text, Peers::Gateways(4)).len() as f64;
        let expected = 20_000.0 * times;
        assert!((found / expected - 1.0).abs() < tolerance, "{found}, {expected} expected");
    }

    /// Gaps of one constant rate are even to a rounding.
    #[test]
    fn constant_is_even() {
        let text = Text { open: "<open process='constant' rate='250'/>".into(), ..Text::default() };
        let arrivals = all(&text, Peers::Gateways(1));
        for (nth, arrival) in arrivals.iter().enumerate() {
            assert!((arrival.at - (nth + 1) as f64 / 250.0).abs() < 1e-9, "{nth}: {}", arrival.at);
        }
    }

    /// A surge of one plan multiplies that plan's arrivals and leaves the others as they are.
    #[test]
    fn a_surge_of_one_plan() {
        let text = Text {
            open: "<open process='poisson' rate='4000'/>".into(),
            shape: "<shape><surge at='5' lasts='5' times='5' plan='basic'/></shape>".into(),
            ..Text::default()
        };
        let arrivals = all(&text, Peers::Gateways(4));
        let count = |plan: usize, from: f64| {
            let inside =
                arrivals.iter().filter(|one| one.plan == plan && (from..from + 5.0).contains(&one.at));
            inside.count() as f64
        };
        let (basic, gold) = (count(0, 5.0) / count(0, 0.0), count(1, 5.0) / count(1, 0.0));
        assert!((basic - 5.0).abs() < 0.4 && (gold - 1.0).abs() < 0.1, "{basic} and {gold}");
    }

    /// The same seed gives the same stream, another seed another, and the parts are the whole.
    #[test]
    fn same_seed_same_stream_and_parts_are_the_whole() {
        let text = Text::default();
        let whole = all(&text, Peers::Gateways(3));
        assert_eq!(whole, all(&text, Peers::Gateways(3)));
        assert_ne!(whole, all(&Text { seed: 8, ..Text::default() }, Peers::Gateways(3)));
        let loaded = load(&text);
        let mut parts: Vec<Arrival> = Vec::new();
        for part in 0..3 {
            let source = Schedule::new(&loaded.load, &loaded.deployment, Peers::Gateways(3)).unwrap();
            let mut own = Part { source, part, of: 3 };
            let mine: Vec<Arrival> = std::iter::from_fn(|| own.next().unwrap()).collect();
            assert!(!mine.is_empty() && mine.iter().all(|one| part_of(one.volume, 3) == part));
            parts.extend(mine);
        }
        parts.sort_by_key(|one| one.number);
        assert_eq!(parts, whole);
    }

    /// Changing what is asked for leaves when it is asked as it was.
    #[test]
    fn times_have_chances_of_their_own() {
        let at = |units: &str| -> Vec<f64> {
            let text = Text { draws: units.into(), ..Text::default() };
            all(&text, Peers::Gateways(2)).iter().map(|one| one.at).collect()
        };
        assert_eq!(at(""), at("<units kind='uniform'/><extents kind='zipf' exponent='1.1'/>"));
    }

    #[test_case("<open process='poisson' rate='2000000'/>", "", "2000000 a second at the peak"; "too many")]
    #[test_case("<open process='poisson' rate='900000'/>", "<shape><surge at='1' lasts='1' times='9'/></shape>", "at the peak"; "too many in a surge")]
    #[test_case("<open process='poisson' rate='100'/>", "<shape><sine mean='0.5' amplitude='1' period='9'/></shape>", "falls below 0"; "below nothing")]
    #[test_case("<open process='poisson' rate='100'/>", "<shape><level value='0'/></shape>", "some arrival"; "nothing at all")]
    #[test_case("<open process='poisson' rate='500000'/>", "", "bounds, open"; "more open than the bound")]
    fn a_rate_that_cannot_be(open: &str, shape: &str, reason: &str) {
        let loaded = load(&Text { open: open.into(), shape: shape.into(), ..Text::default() });
        let why = Schedule::new(&loaded.load, &loaded.deployment, Peers::Gateways(2)).err().expect("refused");
        assert!(why.contains(reason), "{why}");
    }

    /// Clients who leave, who abuse retries, a lead that moves, and targets where the data lies.
    #[test]
    fn callers_leads_and_places() {
        let text = Text {
            lead: "<lead part='1' for='2'/>".into(),
            callers: "<leave at='1' lasts='2' part='0.5' after='0.5'/>\
                      <abuse at='0' lasts='9' plan='gold' retries='7' wait='0.01'/>"
                .into(),
            ..Text::default()
        };
        let arrivals = all(&text, Peers::Gateways(3));
        let inside: Vec<_> = arrivals.iter().filter(|one| (1.0..3.0).contains(&one.at)).collect();
        let left = inside.iter().filter(|one| one.leaves.is_some()).count() as f64 / inside.len() as f64;
        assert!((left - 0.5).abs() < 0.1, "{left}");
        assert!(arrivals.iter().all(|one| one.leaves.is_none() || (1.0..3.0).contains(&one.at)));
        assert!(arrivals.iter().all(|one| one.retries.is_some() == (one.plan == 1 && one.at < 9.0)));
        let peer = |from: f64| arrivals.iter().find(|one| one.volume == 1 && one.at >= from).unwrap().peer;
        assert_ne!(peer(0.0), peer(2.0));
        let loaded = load(&text);
        for one in all(&text, Peers::Targets(loaded.deployment.nodes)) {
            let volume = &loaded.deployment.volumes[&one.volume];
            assert_eq!(i64::from(one.peer), loaded.deployment.extent_and_block(volume, one.slba).1);
        }
    }
}
