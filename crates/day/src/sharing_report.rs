//! How a day's volumes shared limits and cold nodes' budgets, from what clients asked for and targets got.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quaypath_record::{Event, TransactionEnd};
use quaypath_settings::Deployment;
use serde::Serialize;

/// Spans over which a gateway's part of a limit is looked at, seconds, and the step from one to the next.
const SPAN: f64 = 3.0;
const STEP: f64 = 1.0;
/// A part under this share of what was asked for, or of the even part, is too small.
const SMALL: f64 = 0.5;

#[derive(Clone, Debug, Default, Serialize)]
pub struct SharingReport {
    /// Units settled by their due time, of those asked for: of all, and of volumes with a limit.
    #[serde(rename = "served")]
    pub served_share: f64,
    #[serde(rename = "served_limited")]
    pub limited_served_share: f64,
    /// Jain's index of that part over volumes, by weight.
    #[serde(rename = "jain")]
    pub jain_index: f64,
    /// Units sent for volumes with a limit, of those that the whole limit would have let go.
    #[serde(rename = "limit_used")]
    pub limit_used_share: f64,
    /// Most units that one volume was past its limit.
    #[serde(rename = "over")]
    pub max_overrun: f64,
    /// Units sent to cold nodes, of those that they always bear meanwhile, and nodes that came up cold.
    #[serde(rename = "cold_used")]
    pub cold_capacity_used: f64,
    pub cold_nodes: usize,
    #[serde(rename = "fell")]
    pub overloads: usize,
    /// Longest time for which a gateway's volume got under half of its even part while it asked for that, seconds.
    #[serde(rename = "longest_short")]
    pub longest_shortage: f64,
}

#[derive(Default)]
struct Volume {
    asked: f64,
    served: f64,
    /// The limit as one: level and when it was; units it would have let go; and as targets saw it.
    whole: Option<(f64, f64)>,
    let_go: f64,
    sent: f64,
    seen: Option<(f64, f64)>,
    over: f64,
    /// By gateway: times and units asked for and sent.
    asks: BTreeMap<u32, Vec<(f64, f64)>>,
    sends: BTreeMap<u32, Vec<(f64, f64)>>,
}

/// What of `units` a bucket lets go, all or nothing; and how far it went below zero where it has to.
fn pour(bucket: &mut Option<(f64, f64)>, t: f64, rate: f64, burst: f64, units: f64, must: bool) -> f64 {
    let (level, at) = bucket.unwrap_or((burst, t));
    let level = (level + rate * (t - at).max(0.0)).min(burst);
    let goes = must || level >= units;
    *bucket = Some((if goes { level - units } else { level }, t));
    if must {
        (units - level).max(0.0)
    } else if goes {
        units
    } else {
        0.0
    }
}

/// Units of the shape (time, units) from one time to another.
fn between(all: &[(f64, f64)], from: f64, to: f64) -> f64 {
    all.iter().filter(|(t, _)| (from..to).contains(t)).map(|(_, units)| units).sum()
}

/// Sums up a record in order of time.
pub fn from_events(deployment: &Deployment, events: &[Event]) -> SharingReport {
    let (core, limits) = (&deployment.core, &deployment.rule_parameters.limits);
    let mut report = SharingReport::default();
    let mut volumes: BTreeMap<u32, Volume> = BTreeMap::new();
    let mut open: HashMap<u64, (f64, u32, f64, f64)> = HashMap::new();
    let mut arrived: BTreeSet<u64> = BTreeSet::new();
    let mut cold: HashMap<String, f64> = HashMap::new();
    let (mut borne, mut given) = (0.0, 0.0);
    let cold_for = core.warm_up;
    let last = events.last().map_or(0.0, Event::time);
    // What a node that has been up for so long always bears, in all: it grows as it warms.
    let first = core.start_capacity.clamp(0.01, 1.0);
    let bears = |up: f64| {
        let up = up.min(cold_for);
        core.cold_start_units / core.overload_window.max(0.01)
            * (up + (1.0 / first - 1.0) * up * up / (2.0 * cold_for.max(0.01)))
    };
    for event in events {
        match event {
            Event::CommandSent { t, gateway, mark, volume, band, units, .. } => {
                let of = volumes.entry(*volume).or_default();
                let units = f64::from(*units);
                of.asked += units;
                of.asks.entry(*gateway).or_default().push((*t, units));
                if let Some(limit) = limits.get(volume) {
                    of.let_go += pour(&mut of.whole, *t, limit.rate, limit.burst, units, false);
                }
                open.insert(*mark, (*t, *volume, units, core.bands[*band].due));
            }
            Event::FinalAnswer { t, mark, end: TransactionEnd::Settled, .. } => {
                let Some((from, volume, units, due)) = open.remove(mark) else { continue };
                if t - from <= due {
                    volumes.entry(volume).or_default().served += units;
                }
            }
            Event::ShotArrived { t, node, gateway, mark, volume, units, .. } => {
                let units = f64::from(*units);
                if cold.get(node).is_some_and(|up| t - up < cold_for) {
                    given += units;
                }
                if !arrived.insert(*mark) {
                    continue;
                }
                let of = volumes.entry(*volume).or_default();
                of.sent += units;
                of.sends.entry(*gateway).or_default().push((*t, units));
                if let Some(limit) = limits.get(volume) {
                    of.over = of.over.max(pour(&mut of.seen, *t, limit.rate, limit.burst, units, true));
                }
            }
            Event::NodeStarted { t, node, cold: true, .. } => {
                cold.insert(node.clone(), *t);
                report.cold_nodes += 1;
            }
            Event::NodeStopped { t, node } => {
                borne += cold.remove(node).map_or(0.0, |up| bears(t - up));
            }
            Event::NodeOverloaded { .. } => report.overloads += 1,
            _ => {}
        }
    }
    borne += cold.values().map(|up| bears(last - up)).sum::<f64>();
    report.cold_capacity_used = given / f64::max(borne, 1e-9);
    let (mut sums, mut limited) = ((0.0, 0.0, 0.0), (0.0, 0.0, 0.0, 0.0));
    let (mut asked, mut served) = (0.0, 0.0);
    for (id, of) in &volumes {
        let Some(volume) = deployment.volumes.get(id) else { continue };
        let (weight, part) = (core.plans[volume.plan].weight.max(0.01), of.served / of.asked.max(1e-9));
        sums = (sums.0 + weight, sums.1 + weight * part, sums.2 + weight * part * part);
        (asked, served) = (asked + of.asked, served + of.served);
        let Some(limit) = limits.get(id) else { continue };
        limited.0 += of.asked;
        limited.1 += of.served;
        limited.2 += of.let_go;
        limited.3 += of.sent.min(of.let_go);
        report.max_overrun = report.max_overrun.max(of.over);
        let even = limit.rate / f64::from(volume.initiators.max(1)) * SPAN;
        for (gateway, asks) in &of.asks {
            let none = Vec::new();
            let sends = of.sends.get(gateway).unwrap_or(&none);
            let (mut from, mut short) = (asks.first().map_or(0.0, |(t, _)| *t), 0.0);
            while from + SPAN <= last {
                let wanted = between(asks, from, from + SPAN).min(even);
                // Under a transaction or two there is no telling.
                let small =
                    wanted > 2.0 * core.mean_units && between(sends, from, from + SPAN) < SMALL * wanted;
                short = if small { short + if short == 0.0 { SPAN } else { STEP } } else { 0.0 };
                report.longest_shortage = report.longest_shortage.max(short);
                from += STEP;
            }
        }
    }
    report.served_share = served / f64::max(asked, 1e-9);
    report.limited_served_share = limited.1 / f64::max(limited.0, 1e-9);
    report.limit_used_share = limited.3 / f64::max(limited.2, 1e-9);
    report.jain_index = sums.1 * sums.1 / f64::max(sums.0 * sums.2, 1e-9);
    report
}

impl SharingReport {
    /// One line for people.
    pub fn line(&self) -> String {
        format!(
            "shares: {:.3} of units served in time, {:.3} under limits; Jain's index {:.3}; {:.3} of what limits let go was \
             sent, {:.1} units past one at most; {} cold nodes got {:.2} of what they always bear, {} fell; a gateway's \
             part was short for {:.0} s at most",
            self.served_share,
            self.limited_served_share,
            self.jain_index,
            self.limit_used_share,
            self.max_overrun,
            self.cold_nodes,
            self.cold_capacity_used,
            self.overloads,
            self.longest_shortage
        )
    }
}
