//! A day: fleet, traffic and troubles by time, with a seed.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{check_failed, CheckFailure, Deployment};

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
    /// Gateway processes have no turn for all of the time.
    Stop,
    /// Gateway processes are killed and started again after `returns` without what they kept on disk.
    Forget,
    /// A second process runs under a gateway's number.
    Twins,
    /// The clock of a gateway runs at `size` times its rate.
    Clock,
    /// Its wall clock, which its place in the fleet goes by, steps forward by `size` seconds, once.
    ClockStep,
    /// A gateway claims parts of all limits and budgets, whatever it needs, and lends nothing.
    Shouts,
    /// A gateway tells what it saw ten seconds ago as new.
    StaleNews,
    /// Writes and renames of gateways stand still.
    DiskStands,
    /// Links between `from` and `to`, both ways: nothing passes; connections are reset and refused.
    Cut,
    /// Nothing passes from `from` to `to`; the other way it does.
    OneWay,
    /// Nothing passes, and connections stay open.
    Hole,
    /// What passes comes `size` seconds late, give or take half of that.
    Delay,
    /// A `size` part of the datagrams is lost.
    Lose,
    /// A `size` part of the datagrams comes twice.
    Repeat,
    /// A `size` part of the datagrams comes behind later ones.
    Reorder,
    /// A `size` part of the datagrams has bytes changed.
    Garble,
    /// Connections pass `size` bytes a second.
    Drip,
}

impl FaultKind {
    /// Whether it falls on links, by `from` and `to`.
    pub fn affects_links(self) -> bool {
        use FaultKind::*;
        matches!(self, Cut | OneWay | Hole | Delay | Lose | Repeat | Reorder | Garble | Drip)
    }

    /// Whether it falls on gateways.
    pub fn affects_gateways(self) -> bool {
        use FaultKind::*;
        let own = matches!(self, Stop | Forget | Twins | Clock | ClockStep | DiskStands | Shouts | StaleNews);
        own || matches!(self, KillInitiators | StallInitiators)
    }

    /// Whether `size` is a part of all.
    fn size_is_fraction(self) -> bool {
        use FaultKind::*;
        matches!(self, Lose | Repeat | Reorder | Garble)
    }
}

/// An end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkEnd {
    Gateway(u32),
    /// The node that holds this part of the data.
    Node(u32),
    Register,
}

/// The ends that a list names: `all`, `nodes`, `register`, `zone-1`, gateways as `0-3,7`, nodes as `n2,n4-5`. A
/// gateway's zone is its number in turn, as a node's is its block's.
fn parties(text: &str, gateways: u32, nodes: u32, zones: u32) -> Result<BTreeSet<LinkEnd>, String> {
    let mut all = BTreeSet::new();
    let range = |word: &str, most: u32| -> Result<std::ops::RangeInclusive<u32>, String> {
        let (from, to) = word.split_once('-').unwrap_or((word, word));
        match (from.parse::<u32>(), to.parse::<u32>()) {
            (Ok(from), Ok(to)) if from <= to && to < most => Ok(from..=to),
            _ => Err(format!("'{word}'")),
        }
    };
    for word in text.split(',') {
        match word {
            "all" => {
                all.extend((0..gateways).map(LinkEnd::Gateway));
                all.extend((0..nodes).map(LinkEnd::Node));
                all.insert(LinkEnd::Register);
            }
            "gateways" => all.extend((0..gateways).map(LinkEnd::Gateway)),
            "nodes" => all.extend((0..nodes).map(LinkEnd::Node)),
            "register" => drop(all.insert(LinkEnd::Register)),
            _ => {
                if let Some(zone) = word.strip_prefix("zone-") {
                    let zone = *range(zone, zones)?.start();
                    all.extend((0..gateways).filter(|one| one % zones == zone).map(LinkEnd::Gateway));
                    all.extend((0..nodes).filter(|one| one % zones == zone).map(LinkEnd::Node));
                } else if let Some(of_nodes) = word.strip_prefix('n') {
                    all.extend(range(of_nodes, nodes)?.map(LinkEnd::Node));
                } else {
                    all.extend(range(word, gateways)?.map(LinkEnd::Gateway));
                }
            }
        }
    }
    Ok(all)
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
    /// Ends of the links that it falls on.
    #[serde(rename = "@from", default)]
    pub from: String,
    #[serde(rename = "@to", default)]
    pub to: String,
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

pub(crate) fn decode(day: Day) -> Result<Day, CheckFailure> {
    if day.lasts <= 0.0 || day.lasts > 3600.0 {
        return check_failed("day, lasts", day.lasts, "above 0, 3600 s at most");
    }
    for (place, value) in [("fleet, unit-time", day.fleet.unit_time), ("traffic, rate", day.traffic.rate)] {
        if value <= 0.0 {
            return check_failed(place, value, "must be above 0");
        }
    }
    let parts: f64 = day.traffic.share.iter().map(|share| share.part).sum();
    if (parts - 1.0).abs() > 1e-6 {
        return check_failed("traffic, share", parts, "the parts add up to 1");
    }
    for (at, fault) in day.fault.iter().enumerate() {
        let place = format!("fault {} ({:?})", at + 1, fault.kind);
        let parted = fault.part > 0.0 || fault.node.is_some();
        let whole =
            matches!(fault.kind, FaultKind::RegisterFails | FaultKind::RegisterLate | FaultKind::LateReports);
        if fault.kind.affects_links() {
            if fault.from.is_empty() || fault.to.is_empty() || parted {
                return check_failed(
                    place,
                    "no from and to, or part or node",
                    "links are named by both ends alone",
                );
            }
        } else if !fault.from.is_empty() || !fault.to.is_empty() {
            return check_failed(place, "from or to", "only faults of links have them");
        } else if !parted && !whole {
            return check_failed(place, "neither part nor node", "state which nodes or gateways it falls on");
        }
        if fault.kind.size_is_fraction() && !(fault.size > 0.0 && fault.size <= 1.0) {
            return check_failed(place, fault.size, "size is a part of all datagrams, above 0, 1 at most");
        }
        let sized = matches!(fault.kind, FaultKind::Delay | FaultKind::Drip | FaultKind::ClockStep);
        if sized && fault.size <= 0.0 {
            return check_failed(place, fault.size, "size is above 0");
        }
        if fault.kind == FaultKind::Clock && !(0.1..=10.0).contains(&fault.size) {
            return check_failed(place, fault.size, "size is the rate of the clock, 0.1 to 10");
        }
        if fault.at + fault.lasts > day.lasts {
            return check_failed(
                place,
                fault.at + fault.lasts,
                format!("ends within the day's {} s", day.lasts),
            );
        }
    }
    Ok(day)
}

impl Day {
    /// Whether bands, plans, volumes and sizes are those of the deployment.
    pub(crate) fn check_against(&self, deployment: &Deployment) -> Result<(), CheckFailure> {
        for share in &self.traffic.share {
            if !deployment.band_names.contains(&share.band) {
                return check_failed(
                    "traffic, share",
                    format!("band '{}'", share.band),
                    "a band of the deployment",
                );
            }
        }
        for surge in &self.traffic.surge {
            if let Some(plan) = surge.plan.as_ref().filter(|plan| !deployment.plan_names.contains(plan)) {
                return check_failed("traffic, surge", format!("plan '{plan}'"), "a plan of the deployment");
            }
            if let Some(volume) = surge.volume.filter(|volume| !deployment.volumes.contains_key(volume)) {
                return check_failed(
                    "traffic, surge",
                    format!("volume {volume}"),
                    "a volume of the deployment",
                );
            }
        }
        if let Some(abuse) =
            self.traffic.abuse.iter().find(|abuse| !deployment.plan_names.contains(&abuse.plan))
        {
            return check_failed(
                "traffic, abuse",
                format!("plan '{}'", abuse.plan),
                "a plan of the deployment",
            );
        }
        for (at, fault) in self.fault.iter().enumerate().filter(|(_, fault)| fault.kind.affects_links()) {
            let place = format!("fault {} ({:?})", at + 1, fault.kind);
            let (from, to) = match self.link_ends(deployment, fault) {
                Ok(ends) => ends,
                Err(found) => {
                    return check_failed(place, found, "ends as the day's gateways, nodes and zones are")
                }
            };
            let gateway =
                |ends: &BTreeSet<LinkEnd>| ends.iter().any(|end| matches!(end, LinkEnd::Gateway(_)));
            if !gateway(&from) && !gateway(&to) {
                return check_failed(place, "no gateway at either end", "links are those of gateways");
            }
        }
        if let Some(talk) = &deployment.fleet {
            let lists = |number: u32| talk.member.iter().any(|member| u32::from(member.number) == number);
            if let Some(number) = (0..self.fleet.gateways).find(|number| !lists(*number)) {
                return check_failed(
                    "fleet, gateways",
                    format!("gateway {number}"),
                    "a member of the deployment's fleet",
                );
            }
        }
        if self.fleet.nodes != deployment.nodes {
            let rule = format!("the deployment's layout has {}", deployment.nodes);
            return check_failed("fleet, nodes", self.fleet.nodes, rule);
        }
        if f64::from(self.fleet.gateways) > deployment.core.initiators {
            let rule = format!("the deployment's layout has {}", deployment.core.initiators);
            return check_failed("fleet, gateways", self.fleet.gateways, rule);
        }
        Ok(())
    }

    /// Both ends of a fault of links.
    pub fn link_ends(
        &self, deployment: &Deployment, fault: &Fault,
    ) -> Result<(BTreeSet<LinkEnd>, BTreeSet<LinkEnd>), String> {
        let of = |text: &str| parties(text, self.fleet.gateways, self.fleet.nodes, deployment.zones.max(1));
        Ok((of(&fault.from)?, of(&fault.to)?))
    }

    /// Part of the traffic of each band of the deployment.
    pub fn shares(&self, deployment: &Deployment) -> Vec<f64> {
        let part = |name: &String| {
            self.traffic.share.iter().filter(|share| share.band == *name).map(|share| share.part).sum()
        };
        deployment.band_names.iter().map(part).collect()
    }
}
