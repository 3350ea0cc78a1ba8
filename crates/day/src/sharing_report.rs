//! Summary of how the volumes of a day shared their limits and the capacity of cold nodes, computed from the requests of
//! the clients and the shots that arrived at the nodes.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use quaypath_record::{Event, TransactionEnd};
use quaypath_settings::Deployment;
use serde::Serialize;

/// Length of the sliding window in which a gateway's share of a limit is examined, seconds.
const WINDOW: f64 = 3.0;
/// Distance between the starts of two successive windows, seconds.
const WINDOW_STEP: f64 = 1.0;
/// A gateway got too little in a window if it got less than this fraction of its request or, if that is smaller, of its
/// even share of the limit.
const SHORTAGE_FRACTION: f64 = 0.5;

/// Summary of sharing over one day.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SharingReport {
    /// Fraction of the requested units that were settled by their due time.
    #[serde(rename = "served")]
    pub served_share: f64,
    /// The same fraction for volumes with a limit.
    #[serde(rename = "served_limited")]
    pub limited_served_share: f64,
    /// Jain's fairness index of the served fraction of each volume, weighted by the weight of its plan.
    #[serde(rename = "jain")]
    pub jain_index: f64,
    /// Units sent for volumes with a limit, as a fraction of those that one token bucket for the whole limit would have
    /// admitted.
    #[serde(rename = "limit_used")]
    pub limit_used_share: f64,
    /// Largest excess of a volume over its limit, units.
    #[serde(rename = "over")]
    pub max_overrun: f64,
    /// Units sent to cold nodes, as a fraction of those that these nodes can always serve while they warm up.
    #[serde(rename = "cold_used")]
    pub cold_capacity_used: f64,
    /// Number of nodes that started cold.
    pub cold_nodes: usize,
    /// Number of times that a node was overloaded.
    #[serde(rename = "fell")]
    pub overloads: usize,
    /// Longest time for which a volume got too little at one gateway, seconds; see `SHORTAGE_FRACTION`.
    #[serde(rename = "longest_short")]
    pub longest_shortage: f64,
}

#[derive(Default)]
struct Volume {
    /// Units that clients requested.
    requested: f64,
    /// Units settled by their due time.
    served: f64,
    /// Token bucket of the whole limit, charged by the requests: level in units, and time of that level in seconds.
    request_bucket: Option<(f64, f64)>,
    /// Units that `request_bucket` admitted.
    admitted: f64,
    /// Units that arrived at the nodes, from the first shot of each transaction.
    sent: f64,
    /// Token bucket of the whole limit, charged by the first shot of each transaction that arrives at a node.
    arrival_bucket: Option<(f64, f64)>,
    /// Largest excess over the limit, units.
    max_overrun: f64,
    /// Time and units of each request, by gateway.
    requests: BTreeMap<u32, Vec<(f64, f64)>>,
    /// Time and units of the first shot of each transaction that arrived at a node, by gateway.
    arrivals: BTreeMap<u32, Vec<(f64, f64)>>,
}

/// Takes `units` from a token bucket. Without `forced`, takes all or nothing and returns the units taken. With `forced`,
/// always takes them and returns how far the level fell below zero.
fn take_units(
    bucket: &mut Option<(f64, f64)>, t: f64, rate: f64, burst: f64, units: f64, forced: bool,
) -> f64 {
    let (level, updated_at) = bucket.unwrap_or((burst, t));
    let level = (level + rate * (t - updated_at).max(0.0)).min(burst);
    let admitted = forced || level >= units;
    *bucket = Some((if admitted { level - units } else { level }, t));
    if forced {
        (units - level).max(0.0)
    } else if admitted {
        units
    } else {
        0.0
    }
}

/// Sum of the units with a time in `from..to`; the entries are pairs of time and units.
fn units_between(entries: &[(f64, f64)], from: f64, to: f64) -> f64 {
    entries.iter().filter(|(t, _)| (from..to).contains(t)).map(|(_, units)| units).sum()
}

/// Summarizes events, which are in order of time.
pub fn from_events(deployment: &Deployment, events: &[Event]) -> SharingReport {
    let (core, limits) = (&deployment.core, &deployment.rule_parameters.limits);
    let mut report = SharingReport::default();
    let mut volumes: BTreeMap<u32, Volume> = BTreeMap::new();
    // By the mark of each open transaction: time of the request, volume, units and due time.
    let mut open: HashMap<u64, (f64, u32, f64, f64)> = HashMap::new();
    let mut arrived: BTreeSet<u64> = BTreeSet::new();
    // Start times of the running nodes that started cold.
    let mut cold: HashMap<String, f64> = HashMap::new();
    let (mut cold_capacity, mut cold_units) = (0.0, 0.0);
    let warm_up = core.warm_up;
    let last_time = events.last().map_or(0.0, Event::time);
    // Units that a cold node can always serve in total within `uptime` seconds; its rate grows while it warms up.
    let initial_fraction = core.start_capacity.clamp(0.01, 1.0);
    let capacity_of = |uptime: f64| {
        let uptime = uptime.min(warm_up);
        core.cold_start_units / core.overload_window.max(0.01)
            * (uptime + (1.0 / initial_fraction - 1.0) * uptime * uptime / (2.0 * warm_up.max(0.01)))
    };
    for event in events {
        match event {
            Event::CommandSent { t, gateway, mark, volume, band, units, .. } => {
                let counts = volumes.entry(*volume).or_default();
                let units = f64::from(*units);
                counts.requested += units;
                counts.requests.entry(*gateway).or_default().push((*t, units));
                if let Some(limit) = limits.get(volume) {
                    counts.admitted +=
                        take_units(&mut counts.request_bucket, *t, limit.rate, limit.burst, units, false);
                }
                open.insert(*mark, (*t, *volume, units, core.bands[*band].due));
            }
            Event::FinalAnswer { t, mark, end: TransactionEnd::Settled, .. } => {
                let Some((requested_at, volume, units, due)) = open.remove(mark) else { continue };
                if t - requested_at <= due {
                    volumes.entry(volume).or_default().served += units;
                }
            }
            Event::ShotArrived { t, node, gateway, mark, volume, units, .. } => {
                let units = f64::from(*units);
                if cold.get(node).is_some_and(|started_at| t - started_at < warm_up) {
                    cold_units += units;
                }
                if !arrived.insert(*mark) {
                    continue;
                }
                let counts = volumes.entry(*volume).or_default();
                counts.sent += units;
                counts.arrivals.entry(*gateway).or_default().push((*t, units));
                if let Some(limit) = limits.get(volume) {
                    counts.max_overrun = counts.max_overrun.max(take_units(
                        &mut counts.arrival_bucket,
                        *t,
                        limit.rate,
                        limit.burst,
                        units,
                        true,
                    ));
                }
            }
            Event::NodeStarted { t, node, cold: true, .. } => {
                cold.insert(node.clone(), *t);
                report.cold_nodes += 1;
            }
            Event::NodeStopped { t, node } => {
                cold_capacity += cold.remove(node).map_or(0.0, |started_at| capacity_of(t - started_at));
            }
            Event::NodeOverloaded { .. } => report.overloads += 1,
            _ => {}
        }
    }
    cold_capacity += cold.values().map(|started_at| capacity_of(last_time - started_at)).sum::<f64>();
    report.cold_capacity_used = cold_units / f64::max(cold_capacity, 1e-9);
    // Sums over all volumes: weight, weight times served fraction, weight times its square. Sums over volumes with a limit:
    // units requested, served, admitted and sent.
    let (mut sums, mut limited) = ((0.0, 0.0, 0.0), (0.0, 0.0, 0.0, 0.0));
    let (mut requested, mut served) = (0.0, 0.0);
    for (id, counts) in &volumes {
        let Some(volume) = deployment.volumes.get(id) else { continue };
        let (weight, served_share) =
            (core.plans[volume.plan].weight.max(0.01), counts.served / counts.requested.max(1e-9));
        sums =
            (sums.0 + weight, sums.1 + weight * served_share, sums.2 + weight * served_share * served_share);
        (requested, served) = (requested + counts.requested, served + counts.served);
        let Some(limit) = limits.get(id) else { continue };
        limited.0 += counts.requested;
        limited.1 += counts.served;
        limited.2 += counts.admitted;
        limited.3 += counts.sent.min(counts.admitted);
        report.max_overrun = report.max_overrun.max(counts.max_overrun);
        let even_share = limit.rate / f64::from(volume.initiators.max(1)) * WINDOW;
        for (gateway, requests) in &counts.requests {
            let no_arrivals = Vec::new();
            let arrivals = counts.arrivals.get(gateway).unwrap_or(&no_arrivals);
            let (mut from, mut shortage) = (requests.first().map_or(0.0, |(t, _)| *t), 0.0);
            while from + WINDOW <= last_time {
                let entitled = units_between(requests, from, from + WINDOW).min(even_share);
                // The result means nothing for less than the units of about two transactions.
                let too_little = entitled > 2.0 * core.mean_units
                    && units_between(arrivals, from, from + WINDOW) < SHORTAGE_FRACTION * entitled;
                shortage = if too_little {
                    shortage + if shortage == 0.0 { WINDOW } else { WINDOW_STEP }
                } else {
                    0.0
                };
                report.longest_shortage = report.longest_shortage.max(shortage);
                from += WINDOW_STEP;
            }
        }
    }
    report.served_share = served / f64::max(requested, 1e-9);
    report.limited_served_share = limited.1 / f64::max(limited.0, 1e-9);
    report.limit_used_share = limited.3 / f64::max(limited.2, 1e-9);
    report.jain_index = sums.1 * sums.1 / f64::max(sums.0 * sums.2, 1e-9);
    report
}

impl SharingReport {
    /// The summary as one line of text.
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
