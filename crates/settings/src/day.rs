//! A day: fleet, traffic and troubles by time, with a seed.

use serde::{Deserialize, Serialize};

use crate::{bad, Bad, Deployment};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Work takes `size` times as long.
    Slow,
    /// Work stands still for `size` seconds, every two seconds.
    Pauses,
    /// A `size` part of transactions fails at once.
    FastErrors,
    /// A `size` part of answers is made and not sent.
    LostAnswers,
    /// Connections are reset, `size` times a second.
    Resets,
    /// New connections are refused.
    Refused,
    /// Killed without notice; a cold replacement comes after `returns`.
    Replace,
    /// Listed as draining, dead `size` seconds later, replaced cold after `returns`; in `waves`.
    Drain,
    /// What the target sends is held back, while it goes on reading.
    Partition,
    /// Load and use figures come `size` seconds late.
    LateReports,
    /// Gateway processes are killed outright and started again after `returns`.
    KillInitiators,
    /// Gateway processes get no turn for `size` seconds.
    StallInitiators,
    /// Calls to the register fail.
    RegisterFails,
    /// The register's news comes `size` seconds later.
    RegisterLate,
    /// A `size` part of transactions takes ten times its work.
    HeavyTail,
    /// A `size` part of answers goes with bytes that break the protocol, each in one of six ways.
    Rogue,
    /// Killed, and replaced cold under the same address after `returns`.
    SameAddress,
    /// Something else takes a `size` part of the machine, two seconds on and two off.
    Neighbour,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Fleet {
    #[serde(rename = "@gateways")]
    pub gateways: u32,
    #[serde(rename = "@nodes")]
    pub nodes: u32,
    #[serde(rename = "@cores")]
    pub cores: u32,
    /// Node time of one random unit, seconds.
    #[serde(rename = "@unit-time")]
    pub unit_time: f64,
    /// Part of that for a run.
    #[serde(rename = "@run-part")]
    pub run_part: f64,
    /// Part of a write's work that is put off and done in one go.
    #[serde(rename = "@put-off")]
    pub put_off: f64,
    #[serde(rename = "@flush-every")]
    pub flush_every: f64,
    /// Transactions that a target holds for each core.
    #[serde(rename = "@queue")]
    pub queue: usize,
    #[serde(rename = "@warm-after")]
    pub warm_after: f64,
    #[serde(rename = "@cancel-stops")]
    pub cancel_stops: bool,
    /// How late the register's news is.
    #[serde(rename = "@notice")]
    pub notice: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Share {
    #[serde(rename = "@band")]
    pub band: String,
    #[serde(rename = "@part")]
    pub part: f64,
}

/// Traffic times `times`, of one plan or volume or of all.
#[derive(Clone, Debug, Deserialize)]
pub struct Surge {
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    #[serde(rename = "@times")]
    pub times: f64,
    #[serde(rename = "@plan")]
    pub plan: Option<String>,
    #[serde(rename = "@volume")]
    pub volume: Option<u32>,
}

/// A part of the callers leaves after this part of the due time.
#[derive(Clone, Debug, Deserialize)]
pub struct Leave {
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    #[serde(rename = "@part")]
    pub part: f64,
    #[serde(rename = "@after")]
    pub after: f64,
}

/// For a part of the volumes the leading initiator changes at one stroke.
#[derive(Clone, Debug, Deserialize)]
pub struct LeadChange {
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@part")]
    pub part: f64,
}

/// Callers of one plan try again this often, after this wait, whatever they are advised.
#[derive(Clone, Debug, Deserialize)]
pub struct Abuse {
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    #[serde(rename = "@plan")]
    pub plan: String,
    #[serde(rename = "@retries")]
    pub retries: u32,
    #[serde(rename = "@wait")]
    pub wait: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Traffic {
    /// Transactions a second, before surges.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// Times that a client tries again by itself.
    #[serde(rename = "@retries")]
    pub retries: u32,
    share: Vec<Share>,
    #[serde(default)]
    pub surge: Vec<Surge>,
    #[serde(default)]
    pub leave: Vec<Leave>,
    #[serde(rename = "lead-change", default)]
    pub lead_change: Vec<LeadChange>,
    #[serde(default)]
    pub abuse: Vec<Abuse>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@lasts", default)]
    pub lasts: f64,
    /// Share of the nodes or gateways that it falls on, drawn by seed; or one node by `node`.
    #[serde(rename = "@part", default)]
    pub part: f64,
    #[serde(rename = "@node")]
    pub node: Option<u32>,
    #[serde(rename = "@size", default)]
    pub size: f64,
    #[serde(rename = "@waves", default)]
    pub waves: u32,
    #[serde(rename = "@returns", default)]
    pub returns: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    #[serde(rename = "@name")]
    pub name: String,
    /// The deployment's file, beside the day's.
    #[serde(rename = "@deployment")]
    pub deployment: String,
    #[serde(rename = "@seed")]
    pub seed: u64,
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    /// How far apart two programs' times of one moment may lie on the machine that runs it.
    #[serde(rename = "@transit")]
    pub transit: f64,
    pub fleet: Fleet,
    pub traffic: Traffic,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

pub(crate) fn decode(day: Day) -> Result<Day, Bad> {
    if day.lasts <= 0.0 || day.lasts > 3600.0 {
        return bad("day, lasts", day.lasts, "above 0, 3600 s at most");
    }
    for (place, value) in [("fleet, unit-time", day.fleet.unit_time), ("traffic, rate", day.traffic.rate)] {
        if value <= 0.0 {
            return bad(place, value, "must be above 0");
        }
    }
    let parts: f64 = day.traffic.share.iter().map(|share| share.part).sum();
    if (parts - 1.0).abs() > 1e-6 {
        return bad("traffic, share", parts, "the parts add up to 1");
    }
    for (at, fault) in day.fault.iter().enumerate() {
        let place = format!("fault {} ({:?})", at + 1, fault.kind);
        let parted = fault.part > 0.0 || fault.node.is_some();
        let whole =
            matches!(fault.kind, FaultKind::RegisterFails | FaultKind::RegisterLate | FaultKind::LateReports);
        if !parted && !whole {
            return bad(place, "neither part nor node", "state which nodes or gateways it falls on");
        }
        if fault.at + fault.lasts > day.lasts {
            return bad(place, fault.at + fault.lasts, format!("ends within the day's {} s", day.lasts));
        }
    }
    Ok(day)
}

impl Day {
    /// Whether bands, plans, volumes and sizes are those of the deployment.
    pub(crate) fn fits(&self, deployment: &Deployment) -> Result<(), Bad> {
        for share in &self.traffic.share {
            if !deployment.band_names.contains(&share.band) {
                return bad("traffic, share", format!("band '{}'", share.band), "a band of the deployment");
            }
        }
        for surge in &self.traffic.surge {
            if let Some(plan) = surge.plan.as_ref().filter(|plan| !deployment.plan_names.contains(plan)) {
                return bad("traffic, surge", format!("plan '{plan}'"), "a plan of the deployment");
            }
            if let Some(volume) = surge.volume.filter(|volume| !deployment.volumes.contains_key(volume)) {
                return bad("traffic, surge", format!("volume {volume}"), "a volume of the deployment");
            }
        }
        if let Some(abuse) =
            self.traffic.abuse.iter().find(|abuse| !deployment.plan_names.contains(&abuse.plan))
        {
            return bad("traffic, abuse", format!("plan '{}'", abuse.plan), "a plan of the deployment");
        }
        if self.fleet.nodes != deployment.nodes {
            let rule = format!("the deployment's layout has {}", deployment.nodes);
            return bad("fleet, nodes", self.fleet.nodes, rule);
        }
        if f64::from(self.fleet.gateways) > deployment.core.initiators {
            let rule = format!("the deployment's layout has {}", deployment.core.initiators);
            return bad("fleet, gateways", self.fleet.gateways, rule);
        }
        Ok(())
    }

    /// Part of the traffic of each band of the deployment.
    pub fn shares(&self, deployment: &Deployment) -> Vec<f64> {
        let part = |name: &String| {
            self.traffic.share.iter().filter(|share| share.band == *name).map(|share| share.part).sum()
        };
        deployment.band_names.iter().map(part).collect()
    }
}
