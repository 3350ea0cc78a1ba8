//! Loads: what the load generator sends. A load states the arrivals and their rate over time, the bands, volumes and
//! sizes of the transactions, and the bounds of the generator itself.

use serde::Deserialize;

use crate::day::Share;
use crate::{check_failed, Abuse, CheckFailure, Deployment, Leave};

/// A factor of the arrival rate as a function of time. Times are in seconds from the start of the load.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum Shape {
    /// Constant.
    Level {
        #[serde(rename = "@value")]
        value: f64,
    },
    /// `from` until `at`, then linear to `to` within `lasts` seconds, and constant afterwards.
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
    /// 1 until `at`, and `times` afterwards.
    Step {
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@times")]
        times: f64,
    },
    /// A sine wave around `mean`.
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
    /// A Gaussian curve with its maximum `peak` at `at`, and the standard deviation `width`, over a base of 1.
    RushHour {
        #[serde(rename = "@at")]
        at: f64,
        #[serde(rename = "@width")]
        width: f64,
        #[serde(rename = "@peak")]
        peak: f64,
    },
    /// `times` for `lasts` seconds from `at`, and 1 otherwise; for one plan, one volume or all volumes.
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
    /// Product of the inner shapes.
    Product(Shapes),
    /// Sum of the inner shapes.
    Sum(Shapes),
}

/// A list of shapes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Shapes {
    #[serde(rename = "$value")]
    pub shapes: Vec<Shape>,
}

/// Arrival process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Process {
    /// Arrivals at equal intervals.
    Constant,
    Poisson,
    /// Poisson arrivals that alternate between two rates; the lengths of the phases are distributed exponentially.
    OnOff,
    /// Intervals with a Pareto distribution.
    HeavyTail,
}

/// Open-loop arrivals: they do not wait for answers.
#[derive(Clone, Debug, Deserialize)]
pub struct Open {
    #[serde(rename = "@process")]
    pub process: Process,
    /// Mean number of arrivals per second at a shape of 1.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// Mean length of an on phase, seconds.
    #[serde(rename = "@on", default = "default_one")]
    pub on: f64,
    /// Mean length of an off phase, seconds.
    #[serde(rename = "@off", default = "default_one")]
    pub off: f64,
    /// Rate of an off phase, as a fraction of that of an on phase.
    #[serde(rename = "@quiet", default)]
    pub quiet: f64,
    /// Pareto index of the intervals of [`Process::HeavyTail`], above 1.
    #[serde(rename = "@alpha", default = "default_alpha")]
    pub alpha: f64,
}

fn default_one() -> f64 {
    1.0
}

fn default_alpha() -> f64 {
    1.5
}

/// Closed-loop arrivals from a fixed number of clients.
#[derive(Clone, Debug, Deserialize)]
pub struct Closed {
    /// Number of clients. Each sends a request, waits for the answer, and sends the next one after its think time.
    #[serde(rename = "@clients")]
    pub clients: u32,
    /// Mean of the exponentially distributed think time, seconds.
    #[serde(rename = "@think")]
    pub think: f64,
}

/// How the rows of a recorded volume that the deployment does not have are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Remap {
    /// They are skipped and counted.
    Strict,
    /// They are assigned to a volume of the deployment by a hash.
    #[default]
    Hash,
    /// They are assigned to the next volume of the deployment, round-robin.
    InTurn,
}

/// Arrivals that are replayed from a record.
#[derive(Clone, Debug, Deserialize)]
pub struct Recorded {
    /// Path of the record, relative to the folder of the load's file.
    #[serde(rename = "@file")]
    pub file: String,
    /// Factor by which the record is replayed faster than its own time.
    #[serde(rename = "@speed", default = "default_one")]
    pub speed: f64,
    /// Start of the part that is replayed, in the record's own time, seconds from its first row.
    #[serde(rename = "@from", default)]
    pub from: f64,
    /// End of the part that is replayed.
    #[serde(rename = "@to", default = "default_end")]
    pub to: f64,
    #[serde(rename = "@remap", default)]
    pub remap: Remap,
}

fn default_end() -> f64 {
    f64::INFINITY
}

/// Kind of a distribution.
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
    pub value: f64,
    #[serde(rename = "@weight")]
    pub weight: f64,
}

/// A distribution over whole numbers. The element of the load that contains it determines its range.
#[derive(Clone, Debug, Deserialize)]
pub struct Draw {
    #[serde(rename = "@kind")]
    pub kind: DrawKind,
    #[serde(rename = "@mean", default)]
    pub mean: f64,
    /// Standard deviation of the logarithm, for a lognormal distribution.
    #[serde(rename = "@sigma", default = "default_one")]
    pub sigma: f64,
    /// Exponent of a Zipf distribution.
    #[serde(rename = "@exponent", default = "default_one")]
    pub exponent: f64,
    /// Values of an empirical distribution.
    #[serde(default)]
    pub value: Vec<Weighted>,
}

/// A fraction `part` of the arrivals of a volume goes to its leading initiator, and the others to initiators chosen at
/// random. Every `lasts` seconds the next initiator becomes the leading one.
#[derive(Clone, Debug, Deserialize)]
pub struct Lead {
    #[serde(rename = "@part")]
    pub part: f64,
    #[serde(rename = "@for")]
    pub lasts: f64,
}

/// A range of volumes whose results are also reported together. Both ends are included.
#[derive(Clone, Debug, Deserialize)]
pub struct Group {
    #[serde(rename = "@name")]
    pub name: String,
    #[serde(rename = "@first")]
    pub first: u32,
    #[serde(rename = "@last")]
    pub last: u32,
}

/// Bounds of the generator itself.
#[derive(Clone, Debug, Deserialize)]
pub struct Bounds {
    /// Maximum number of operations open at once.
    #[serde(rename = "@open")]
    pub open: f64,
    /// Delay in seconds after which an arrival is not sent any more but counted as missed.
    #[serde(rename = "@behind")]
    pub behind: f64,
    /// Lag of the generator in seconds. If the 99th percentile is above it, the generator was the bottleneck.
    #[serde(rename = "@lag")]
    pub lag: f64,
    /// Number of I/O queues of an association.
    #[serde(rename = "@queues", default = "default_queues")]
    pub queues: u16,
}

fn default_queues() -> u16 {
    1
}

/// How the benefit of answers is calculated. For each volume and second, units within the plan's reservation earn the
/// whole benefit; units within the volume's weighted share of `spare` earn the fraction `share` of it, and further
/// units the fraction `rest`.
#[derive(Clone, Debug, Deserialize)]
pub struct Benefit {
    #[serde(rename = "@share")]
    pub share: f64,
    #[serde(rename = "@rest")]
    pub rest: f64,
    /// Fraction of the benefit that an answer after its due time earns.
    #[serde(rename = "@late")]
    pub late: f64,
    /// Units per second beyond the reservations, shared among the volumes by weight.
    #[serde(rename = "@spare")]
    pub spare: f64,
}

/// A load, as its file states it.
#[derive(Clone, Debug, Deserialize)]
pub struct Load {
    #[serde(rename = "@name")]
    pub name: String,
    /// Path of the deployment's file, relative to the folder of the load's file.
    #[serde(rename = "@deployment")]
    pub deployment: String,
    #[serde(rename = "@seed")]
    pub seed: u64,
    /// Length of the load, seconds.
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    /// Seconds from the start whose arrivals count in the intervals but not in the totals.
    #[serde(rename = "@warm-up", default)]
    pub warm_up: f64,
    /// Length of the intervals for which results are reported, seconds.
    #[serde(rename = "@interval")]
    pub interval: f64,
    /// Number of retries by a client.
    #[serde(rename = "@retries", default)]
    pub retries: u32,
    pub open: Option<Open>,
    pub closed: Option<Closed>,
    pub recorded: Option<Recorded>,
    pub shape: Option<Shapes>,
    #[serde(default)]
    share: Vec<Share>,
    /// Size of a transaction in units.
    pub units: Option<Draw>,
    /// Extent that a transaction accesses.
    pub extents: Option<Draw>,
    /// Number of logical blocks.
    pub blocks: Option<Draw>,
    /// Distribution of the arrivals over the volumes, in addition to the nominal rates of their plans.
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

/// Maximum number of shapes in a load.
const MAX_SHAPES: usize = 256;
/// Maximum nesting depth of shapes.
const MAX_SHAPE_DEPTH: usize = 8;
/// Maximum number of intervals of a load.
const MAX_INTERVALS: f64 = 100_000.0;
/// Maximum for the number of operations that a generator may have open at once.
const MAX_OPEN: f64 = 1_000_000.0;
/// Maximum rate of a load, transactions per second.
pub const MAX_RATE: f64 = 1_000_000.0;

fn check_positive(place: &str, value: f64) -> Result<(), CheckFailure> {
    if value > 0.0 {
        Ok(())
    } else {
        check_failed(place, value, "must be above 0")
    }
}

/// Checks the number, the nesting depth and the values of shapes.
fn check_shapes(shapes: &[Shape], depth: usize, count: &mut usize) -> Result<(), CheckFailure> {
    if depth > MAX_SHAPE_DEPTH {
        return check_failed(
            "shape",
            format!("shapes {depth} deep"),
            format!("{MAX_SHAPE_DEPTH} deep at most"),
        );
    }
    for shape in shapes {
        *count += 1;
        if *count > MAX_SHAPES {
            return check_failed(
                "shape",
                format!("more than {MAX_SHAPES} shapes"),
                format!("{MAX_SHAPES} at most"),
            );
        }
        match shape {
            Shape::Ramp { lasts, .. } => check_positive("shape, ramp, lasts", *lasts)?,
            Shape::Sine { period, .. } => check_positive("shape, sine, period", *period)?,
            Shape::RushHour { width, .. } => check_positive("shape, rush-hour, width", *width)?,
            Shape::Surge { lasts, .. } => check_positive("shape, surge, lasts", *lasts)?,
            Shape::Product(inner) | Shape::Sum(inner) => check_shapes(&inner.shapes, depth + 1, count)?,
            Shape::Level { .. } | Shape::Step { .. } => {}
        }
    }
    Ok(())
}

/// Checks a distribution, which must have one of `kinds`.
fn check_draw(place: &str, draw: &Option<Draw>, kinds: &[DrawKind]) -> Result<(), CheckFailure> {
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
        DrawKind::Fixed | DrawKind::Lognormal => check_positive(&format!("{place}, mean"), draw.mean),
        DrawKind::Geometric if draw.mean < 1.0 => {
            check_failed(format!("{place}, mean"), draw.mean, "1 or more")
        }
        DrawKind::Zipf => check_positive(&format!("{place}, exponent"), draw.exponent),
        _ => Ok(()),
    }
}

/// Checks a load for what the schema cannot express.
pub(crate) fn decode(load: Load) -> Result<Load, CheckFailure> {
    use DrawKind::*;
    check_positive("load, lasts", load.lasts)?;
    check_positive("load, interval", load.interval)?;
    if load.lasts / load.interval > MAX_INTERVALS {
        let found = format!("{:.0} intervals", load.lasts / load.interval);
        return check_failed("load, interval", found, format!("{MAX_INTERVALS} at most"));
    }
    if load.warm_up >= load.lasts {
        return check_failed("load, warm-up", load.warm_up, "shorter than the load");
    }
    if load.retries > 255 {
        return check_failed("load, retries", load.retries, "255 at most");
    }
    if let Some(open) = &load.open {
        check_positive("open, rate", open.rate)?;
        if open.process == Process::HeavyTail && open.alpha <= 1.0 {
            return check_failed(
                "open, alpha",
                open.alpha,
                "above 1: at 1 and below the gaps have no mean, so no rate",
            );
        }
        if open.process == Process::OnOff {
            check_positive("open, on", open.on)?;
            check_positive("open, off", open.off)?;
        }
    }
    if let Some(recorded) = &load.recorded {
        check_positive("recorded, speed", recorded.speed)?;
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
        let sum: f64 = load.share.iter().map(|share| share.part).sum();
        if (sum - 1.0).abs() > 1e-6 {
            return check_failed("share", sum, "the parts add up to 1");
        }
    }
    if let Some(shape) = &load.shape {
        check_shapes(&shape.shapes, 1, &mut 0)?;
    }
    check_draw("units", &load.units, &[Fixed, Uniform, Geometric, Lognormal, Empirical])?;
    check_draw("extents", &load.extents, &[Uniform, Zipf, Lognormal, Empirical])?;
    check_draw("blocks", &load.blocks, &[Fixed, Uniform, Geometric, Lognormal, Empirical])?;
    check_draw("spread", &load.spread, &[Uniform, Zipf])?;
    if let Some(lead) = &load.lead {
        check_positive("lead, for", lead.lasts)?;
    }
    if let Some(group) = load.group.iter().find(|group| group.last < group.first) {
        return check_failed(format!("group '{}'", group.name), group.last, "last is not below first");
    }
    if !(1.0..=MAX_OPEN).contains(&load.bounds.open) {
        return check_failed("bounds, open", load.bounds.open, format!("from 1 to {MAX_OPEN}"));
    }
    check_positive("bounds, behind", load.bounds.behind)?;
    check_positive("bounds, lag", load.bounds.lag)?;
    Ok(load)
}

impl Load {
    /// Checks that the deployment has the bands, plans and volumes that the load names.
    pub(crate) fn check_against(&self, deployment: &Deployment) -> Result<(), CheckFailure> {
        for share in &self.share {
            if !deployment.band_names.contains(&share.band) {
                return check_failed("share", format!("band '{}'", share.band), "a band of the deployment");
            }
        }
        if let Some(abuse) = self.abuse.iter().find(|abuse| !deployment.plan_names.contains(&abuse.plan)) {
            return check_failed("abuse", format!("plan '{}'", abuse.plan), "a plan of the deployment");
        }
        let empty_group = self
            .group
            .iter()
            .find(|group| deployment.volumes.range(group.first..=group.last).next().is_none());
        if let Some(group) = empty_group {
            let found = format!("volumes {} to {}", group.first, group.last);
            return check_failed(
                format!("group '{}'", group.name),
                found,
                "holds a volume of the deployment",
            );
        }
        self.shape.iter().try_for_each(|shape| Self::check_surges(&shape.shapes, deployment))
    }

    /// Checks that the deployment has the plans and volumes that surges name.
    fn check_surges(shapes: &[Shape], deployment: &Deployment) -> Result<(), CheckFailure> {
        for shape in shapes {
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
                Shape::Product(inner) | Shape::Sum(inner) => Self::check_surges(&inner.shapes, deployment)?,
                _ => {}
            }
        }
        Ok(())
    }

    /// Fraction of the arrivals that belongs to each band of the deployment, in the order of its bands.
    pub fn shares(&self, deployment: &Deployment) -> Vec<f64> {
        let band_share = |name: &String| {
            self.share.iter().filter(|share| share.band == *name).map(|share| share.part).sum()
        };
        deployment.band_names.iter().map(band_share).collect()
    }
}
