//! A load: arrivals, their shape over time, whom they are for, the generator's own bounds.

use serde::Deserialize;

use crate::day::Share;
use crate::{check_failed, Abuse, CheckFailure, Deployment, Leave};

/// A factor of the rate over time, seconds from the load's start.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    Level {
        #[serde(rename = "@value")]
        value: f64,
    },
    /// `from` until `at`, then in a line to `to`, and `to` from there on.
    Ramp {
        #[serde(rename = "@from")]
        from: f64,
        #[serde(rename = "@to")]
        to: f64,
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@lasts")]
        lasts: f64,
    },
    /// 1 until `at`, `times` from there on.
    Step {
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@times")]
        times: f64,
    },
    Sine {
        #[serde(rename = "@mean")]
        mean: f64,
        #[serde(rename = "@amplitude")]
        amplitude: f64,
        #[serde(rename = "@period")]
        period: f64,
        #[serde(rename = "@phase", default)]
        phase: f64,
    },
    /// 1 far away, `peak` at `at`, a bell of standard deviation `width` between.
    RushHour {
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@width")]
        width: f64,
        #[serde(rename = "@peak")]
        peak: f64,
    },
    /// `times` while it lasts and 1 otherwise, for one plan or volume or for all.
    Surge {
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@lasts")]
        lasts: f64,
        #[serde(rename = "@times")]
        times: f64,
        #[serde(rename = "@plan")]
        plan: Option<String>,
        #[serde(rename = "@volume")]
        volume: Option<u32>,
    },
    Product(Shapes),
    Sum(Shapes),
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Shapes {
    #[serde(rename = "$value")]
    pub of: Vec<Shape>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Process {
    /// Evenly, one after the other.
    Constant,
    Poisson,
    /// Poisson at two rates by turns, each turn of an exponential length.
    OnOff,
    /// Gaps of a Pareto distribution.
    HeavyTail,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Open {
    #[serde(rename = "@process")]
    pub process: Process,
    /// Mean arrivals a second where the shape is 1.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// Mean length of a turn on and off, seconds.
    #[serde(rename = "@on", default = "second")]
    pub on: f64,
    #[serde(rename = "@off", default = "second")]
    pub off: f64,
    /// Rate while off, as a part of that while on.
    #[serde(rename = "@quiet", default)]
    pub quiet: f64,
    /// Pareto's index of heavy-tailed gaps, above 1.
    #[serde(rename = "@alpha", default = "alpha")]
    pub alpha: f64,
}

fn second() -> f64 {
    1.0
}

fn alpha() -> f64 {
    1.5
}

#[derive(Clone, Debug, Deserialize)]
pub struct Closed {
    /// Each asks, waits for its answer, thinks and asks again.
    #[serde(rename = "@clients")]
    pub clients: u32,
    /// Mean of an exponential, seconds.
    #[serde(rename = "@think")]
    pub think: f64,
}

/// What becomes of a recorded volume that the deployment has not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Remap {
    /// Its rows are left out and counted.
    Strict,
    /// It becomes one of the deployment's by its hash.
    #[default]
    Hash,
    /// It becomes the next of the deployment's in turn.
    InTurn,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Recorded {
    /// Beside the load's file.
    #[serde(rename = "@file")]
    pub file: String,
    #[serde(rename = "@speed", default = "second")]
    pub speed: f64,
    /// Window of the record's own time that is taken, seconds from its first row.
    #[serde(rename = "@from", default)]
    pub from: f64,
    #[serde(rename = "@to", default = "forever")]
    pub to: f64,
    #[serde(rename = "@remap", default)]
    pub remap: Remap,
}

fn forever() -> f64 {
    f64::INFINITY
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DrawKind {
    Fixed,
    Uniform,
    Geometric,
    Zipf,
    Lognormal,
    Empirical,
}

/// One value of an empirical distribution.
#[derive(Clone, Debug, Deserialize)]
pub struct Weighted {
    #[serde(rename = "@of")]
    pub of: f64,
    #[serde(rename = "@weight")]
    pub weight: f64,
}

/// A distribution over whole numbers; what it draws from is up to its place.
#[derive(Clone, Debug, Deserialize)]
pub struct Draw {
    #[serde(rename = "@kind")]
    pub kind: DrawKind,
    #[serde(rename = "@mean", default)]
    pub mean: f64,
    /// Of a lognormal's logarithm.
    #[serde(rename = "@sigma", default = "second")]
    pub sigma: f64,
    #[serde(rename = "@exponent", default = "second")]
    pub exponent: f64,
    #[serde(default)]
    pub value: Vec<Weighted>,
}

/// One initiator of a volume has this part of its arrivals; after `for` seconds the next.
#[derive(Clone, Debug, Deserialize)]
pub struct Lead {
    #[serde(rename = "@part")]
    pub part: f64,
    #[serde(rename = "@for")]
    pub lasts: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@first")]
    pub first: u32,
    #[serde(rename = "@last")]
    pub last: u32,
}

/// The generator's own bounds.
#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
    /// Most operations open at once.
    #[serde(rename = "@open")]
    pub open: f64,
    /// An arrival that is this late is not sent any more but counted as missed, seconds.
    #[serde(rename = "@behind")]
    pub behind: f64,
    /// With a lag above this at its 99th percentile the generator was the limit, seconds.
    #[serde(rename = "@lag")]
    pub lag: f64,
    /// I/O queues of an association.
    #[serde(rename = "@queues", default = "one")]
    pub queues: u16,
}

fn one() -> u16 {
    1
}

/// The users' reckoning: units in reserve earn all, in the weighted share a part, the rest another.
#[derive(Clone, Debug, Deserialize)]
pub struct Benefit {
    #[serde(rename = "@share")]
    pub share: f64,
    #[serde(rename = "@rest")]
    pub rest: f64,
    /// Part that an answer after its due time earns.
    #[serde(rename = "@late")]
    pub late: f64,
    /// Units a second beyond the reserves, shared by weight.
    #[serde(rename = "@spare")]
    pub spare: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Load {
    #[serde(rename = "@name")]
    pub name: String,
    /// The deployment's file, beside the load's.
    #[serde(rename = "@deployment")]
    pub deployment: String,
    #[serde(rename = "@seed")]
    pub seed: u64,
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    /// Arrivals before this are in the intervals but not in the totals.
    #[serde(rename = "@warm-up", default)]
    pub warm_up: f64,
    #[serde(rename = "@interval")]
    pub interval: f64,
    /// Times that a client tries again by itself.
    #[serde(rename = "@retries", default)]
    pub retries: u32,
    pub open: Option<Open>,
    pub closed: Option<Closed>,
    pub recorded: Option<Recorded>,
    pub shape: Option<Shapes>,
    #[serde(default)]
    share: Vec<Share>,
    pub units: Option<Draw>,
    pub extents: Option<Draw>,
    pub blocks: Option<Draw>,
    /// How uneven the volumes are beside their plans.
    pub spread: Option<Draw>,
    pub lead: Option<Lead>,
    #[serde(default)]
    pub group: Vec<Group>,
    #[serde(default)]
    pub leave: Vec<Leave>,
    #[serde(default)]
    pub abuse: Vec<Abuse>,
    pub bounds: Bounds,
    pub benefit: Option<Benefit>,
}

/// Most shapes in one load, and how deep they stand in each other.
const MOST_SHAPES: usize = 256;
const DEEPEST: usize = 8;
/// Most intervals of one load.
const MOST_INTERVALS: f64 = 100_000.0;
/// Most operations that a generator may hold, and transactions a second that may be asked of one load.
const MOST_OPEN: f64 = 1_000_000.0;
pub const MAX_RATE: f64 = 1_000_000.0;

fn above(place: &str, value: f64) -> Result<(), CheckFailure> {
    if value > 0.0 {
        Ok(())
    } else {
        check_failed(place, value, "must be above 0")
    }
}

/// Counts shapes and looks at each one's own figures.
fn shapes(of: &[Shape], depth: usize, count: &mut usize) -> Result<(), CheckFailure> {
    if depth > DEEPEST {
        return check_failed("shape", format!("shapes {depth} deep"), format!("{DEEPEST} deep at most"));
    }
    for shape in of {
        *count += 1;
        if *count > MOST_SHAPES {
            return check_failed(
                "shape",
                format!("more than {MOST_SHAPES} shapes"),
                format!("{MOST_SHAPES} at most"),
            );
        }
        match shape {
            Shape::Ramp { lasts, .. } => above("shape, ramp, lasts", *lasts)?,
            Shape::Sine { period, .. } => above("shape, sine, period", *period)?,
            Shape::RushHour { width, .. } => above("shape, rush-hour, width", *width)?,
            Shape::Surge { lasts, .. } => above("shape, surge, lasts", *lasts)?,
            Shape::Product(inner) | Shape::Sum(inner) => shapes(&inner.of, depth + 1, count)?,
            Shape::Level { .. } | Shape::Step { .. } => {}
        }
    }
    Ok(())
}

fn draw(place: &str, draw: &Option<Draw>, kinds: &[DrawKind]) -> Result<(), CheckFailure> {
    let Some(draw) = draw else { return Ok(()) };
    if !kinds.contains(&draw.kind) {
        return check_failed(
            format!("{place}, kind"),
            format!("{:?}", draw.kind),
            format!("one of {kinds:?}"),
        );
    }
    match draw.kind {
        DrawKind::Empirical if draw.value.iter().map(|value| value.weight).sum::<f64>() <= 0.0 => {
            check_failed(place, "no value with a weight", "an empirical distribution states its values")
        }
        DrawKind::Fixed | DrawKind::Lognormal => above(&format!("{place}, mean"), draw.mean),
        DrawKind::Geometric if draw.mean < 1.0 => {
            check_failed(format!("{place}, mean"), draw.mean, "1 or more")
        }
        DrawKind::Zipf => above(&format!("{place}, exponent"), draw.exponent),
        _ => Ok(()),
    }
}

pub(crate) fn decode(load: Load) -> Result<Load, CheckFailure> {
    use DrawKind::*;
    above("load, lasts", load.lasts)?;
    above("load, interval", load.interval)?;
    if load.lasts / load.interval > MOST_INTERVALS {
        let found = format!("{:.0} intervals", load.lasts / load.interval);
        return check_failed("load, interval", found, format!("{MOST_INTERVALS} at most"));
    }
    if load.warm_up >= load.lasts {
        return check_failed("load, warm-up", load.warm_up, "shorter than the load");
    }
    if load.retries > 255 {
        return check_failed("load, retries", load.retries, "255 at most");
    }
    if let Some(open) = &load.open {
        above("open, rate", open.rate)?;
        if open.process == Process::HeavyTail && open.alpha <= 1.0 {
            return check_failed(
                "open, alpha",
                open.alpha,
                "above 1: at 1 and below the gaps have no mean, so no rate",
            );
        }
        if open.process == Process::OnOff {
            above("open, on", open.on)?;
            above("open, off", open.off)?;
        }
    }
    if let Some(recorded) = &load.recorded {
        above("recorded, speed", recorded.speed)?;
        if recorded.to <= recorded.from {
            return check_failed("recorded, to", recorded.to, "after from");
        }
        if load.shape.is_some() {
            return check_failed(
                "shape",
                "a shape with a record",
                "a record has its own times; state speed and window",
            );
        }
    } else {
        let parts: f64 = load.share.iter().map(|share| share.part).sum();
        if (parts - 1.0).abs() > 1e-6 {
            return check_failed("share", parts, "the parts add up to 1");
        }
    }
    if let Some(shape) = &load.shape {
        shapes(&shape.of, 1, &mut 0)?;
    }
    draw("units", &load.units, &[Fixed, Uniform, Geometric, Lognormal, Empirical])?;
    draw("extents", &load.extents, &[Uniform, Zipf, Lognormal, Empirical])?;
    draw("blocks", &load.blocks, &[Fixed, Uniform, Geometric, Lognormal, Empirical])?;
    draw("spread", &load.spread, &[Uniform, Zipf])?;
    if let Some(lead) = &load.lead {
        above("lead, for", lead.lasts)?;
    }
    if let Some(group) = load.group.iter().find(|group| group.last < group.first) {
        return check_failed(format!("group '{}'", group.name), group.last, "last is not below first");
    }
    if !(1.0..=MOST_OPEN).contains(&load.bounds.open) {
        return check_failed("bounds, open", load.bounds.open, format!("from 1 to {MOST_OPEN}"));
    }
    above("bounds, behind", load.bounds.behind)?;
    above("bounds, lag", load.bounds.lag)?;
    Ok(load)
}

impl Load {
    /// Whether bands, plans and volumes are those of the deployment.
    pub(crate) fn check_against(&self, deployment: &Deployment) -> Result<(), CheckFailure> {
        for share in &self.share {
            if !deployment.band_names.contains(&share.band) {
                return check_failed("share", format!("band '{}'", share.band), "a band of the deployment");
            }
        }
        if let Some(abuse) = self.abuse.iter().find(|abuse| !deployment.plan_names.contains(&abuse.plan)) {
            return check_failed("abuse", format!("plan '{}'", abuse.plan), "a plan of the deployment");
        }
        let empty = self
            .group
            .iter()
            .find(|group| deployment.volumes.range(group.first..=group.last).next().is_none());
        if let Some(group) = empty {
            let found = format!("volumes {} to {}", group.first, group.last);
            return check_failed(
                format!("group '{}'", group.name),
                found,
                "holds a volume of the deployment",
            );
        }
        self.shape.iter().try_for_each(|shape| Self::surges(&shape.of, deployment))
    }

    fn surges(of: &[Shape], deployment: &Deployment) -> Result<(), CheckFailure> {
        for shape in of {
            match shape {
                Shape::Surge { plan: Some(plan), .. } if !deployment.plan_names.contains(plan) => {
                    return check_failed(
                        "shape, surge",
                        format!("plan '{plan}'"),
                        "a plan of the deployment",
                    );
                }
                Shape::Surge { volume: Some(volume), .. } if !deployment.volumes.contains_key(volume) => {
                    return check_failed(
                        "shape, surge",
                        format!("volume {volume}"),
                        "a volume of the deployment",
                    );
                }
                Shape::Product(inner) | Shape::Sum(inner) => Self::surges(&inner.of, deployment)?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Part of the arrivals of each band of the deployment.
    pub fn shares(&self, deployment: &Deployment) -> Vec<f64> {
        let part = |name: &String| {
            self.share.iter().filter(|share| share.band == *name).map(|share| share.part).sum()
        };
        deployment.band_names.iter().map(part).collect()
    }
}
