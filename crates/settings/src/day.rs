//! Days: scripted tests of a deployment. A day states a fleet, its traffic and the faults that are injected over time,
//! and a seed for all random choices. Times are in seconds, from the start of the day where they are points in time.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{check_failed, CheckFailure, Deployment};

/// Kind of an injected fault. `size`, `returns` and `waves` are attributes of [`Fault`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes take `size` times as long for their work.
    Slow,
    /// Nodes stop working for `size` seconds in every two seconds.
    Pauses,
    /// Nodes fail a fraction `size` of the transactions immediately.
    FastErrors,
    /// Nodes process all transactions, but do not send a fraction `size` of the answers.
    LostAnswers,
    /// Connections of nodes are reset `size` times per second.
    Resets,
    /// Nodes refuse new connections.
    Refused,
    /// Nodes are killed without notice. Replacements start cold after `returns` seconds.
    Replace,
    /// Nodes are listed as draining, killed `size` seconds later, and replaced by cold ones after `returns` seconds, in
    /// `waves` groups one after the other.
    Drain,
    /// What nodes send is held back, while they continue to read.
    Partition,
    /// Load and usage reports of nodes are `size` seconds old.
    LateReports,
    /// Gateway processes are killed, and started again after `returns` seconds.
    KillInitiators,
    /// Gateway processes are stopped for `size` seconds.
    StallInitiators,
    /// Requests to the register fail.
    RegisterFails,
    /// Changes of the register arrive `size` seconds later.
    RegisterLate,
    /// A fraction `size` of the transactions takes ten times its usual work.
    HeavyTail,
    /// A fraction `size` of the answers violates the protocol, each in one of six ways.
    Rogue,
    /// Nodes are killed, and replaced by cold ones at the same address after `returns` seconds.
    SameAddress,
    /// Another process uses a fraction `size` of the machine, alternately for two seconds and not for two seconds.
    Neighbour,
    /// Gateway processes are stopped for the whole duration of the fault.
    Stop,
    /// Gateway processes are killed, and started again after `returns` seconds without their files.
    Forget,
    /// A duplicate process runs with the number of a gateway.
    Twins,
    /// The clock of a gateway runs at `size` times its normal rate.
    Clock,
    /// The wall clock of a gateway, on which its membership in the fleet depends, steps forward by `size` seconds once.
    ClockStep,
    /// A gateway sends false reports: it requests parts of all limits and budgets regardless of need, and lends
    /// nothing.
    Shouts,
    /// A gateway reports observations that are ten seconds old as new.
    StaleNews,
    /// Writes and renames of files by gateways stall.
    DiskStands,
    /// Links between `from` and `to`, in both directions: no data passes, and connections are reset and refused.
    Cut,
    /// No data passes from `from` to `to`; it passes in the other direction.
    OneWay,
    /// No data passes, and connections stay open.
    Hole,
    /// Data arrives `size` seconds late, plus or minus half of that.
    Delay,
    /// A fraction `size` of the datagrams is lost.
    Lose,
    /// A fraction `size` of the datagrams arrives twice.
    Repeat,
    /// A fraction `size` of the datagrams arrives after later ones.
    Reorder,
    /// A fraction `size` of the datagrams has changed bytes.
    Garble,
    /// Connections pass `size` bytes per second.
    Drip,
}

impl FaultKind {
    /// Whether it affects the links between `from` and `to`.
    pub fn affects_links(self) -> bool {
        use FaultKind::*;
        matches!(self, Cut | OneWay | Hole | Delay | Lose | Repeat | Reorder | Garble | Drip)
    }

    /// Whether it affects gateway processes.
    pub fn affects_gateways(self) -> bool {
        use FaultKind::*;
        let is_gateway_fault =
            matches!(self, Stop | Forget | Twins | Clock | ClockStep | DiskStands | Shouts | StaleNews);
        is_gateway_fault || matches!(self, KillInitiators | StallInitiators)
    }

    /// Whether `size` is a fraction of all datagrams.
    fn size_is_fraction(self) -> bool {
        use FaultKind::*;
        matches!(self, Lose | Repeat | Reorder | Garble)
    }
}

/// A process at one end of a network link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LinkEnd {
    /// The gateway with this number.
    Gateway(u32),
    /// The node that holds this block (part of the data).
    Node(u32),
    Register,
}

/// Parses a comma-separated list of link ends: `all`, `gateways`, `nodes`, `register`, `zone-1`, gateways like `0-3,7`
/// and nodes like `n2,n4-5`. The zone of a gateway is its number modulo the number of zones, and that of a node its
/// block modulo the number of zones.
fn parse_link_ends(text: &str, gateways: u32, nodes: u32, zones: u32) -> Result<BTreeSet<LinkEnd>, String> {
    let mut ends = BTreeSet::new();
    let parse_range = |item: &str, count: u32| -> Result<std::ops::RangeInclusive<u32>, String> {
        let (from, to) = item.split_once('-').unwrap_or((item, item));
        match (from.parse::<u32>(), to.parse::<u32>()) {
            (Ok(from), Ok(to)) if from <= to && to < count => Ok(from..=to),
            _ => Err(format!("'{item}'")),
        }
    };
    for item in text.split(',') {
        match item {
            "all" => {
                ends.extend((0..gateways).map(LinkEnd::Gateway));
                ends.extend((0..nodes).map(LinkEnd::Node));
                ends.insert(LinkEnd::Register);
            }
            "gateways" => ends.extend((0..gateways).map(LinkEnd::Gateway)),
            "nodes" => ends.extend((0..nodes).map(LinkEnd::Node)),
            "register" => drop(ends.insert(LinkEnd::Register)),
            _ => {
                if let Some(zone) = item.strip_prefix("zone-") {
                    let zone = *parse_range(zone, zones)?.start();
                    ends.extend((0..gateways).filter(|number| number % zones == zone).map(LinkEnd::Gateway));
                    ends.extend((0..nodes).filter(|block| block % zones == zone).map(LinkEnd::Node));
                } else if let Some(node_range) = item.strip_prefix('n') {
                    ends.extend(parse_range(node_range, nodes)?.map(LinkEnd::Node));
                } else {
                    ends.extend(parse_range(item, gateways)?.map(LinkEnd::Gateway));
                }
            }
        }
    }
    Ok(ends)
}

/// The processes that take part in a day, and the behavior of its simulated nodes.
#[derive(Clone, Debug, Deserialize)]
pub struct Fleet {
    /// Number of gateways.
    #[serde(rename = "@gateways")]
    pub gateways: u32,
    /// Number of nodes.
    #[serde(rename = "@nodes")]
    pub nodes: u32,
    /// Number of cores of a node.
    #[serde(rename = "@cores")]
    pub cores: u32,
    /// Time that a node takes for one unit at random addresses, seconds.
    #[serde(rename = "@unit-time")]
    pub unit_time: f64,
    /// Time of one unit at consecutive addresses, as a fraction of `unit_time`.
    #[serde(rename = "@run-part")]
    pub run_part: f64,
    /// Fraction of the work of writes that is deferred and done in one batch.
    #[serde(rename = "@put-off")]
    pub put_off: f64,
    /// Interval of these batches, seconds.
    #[serde(rename = "@flush-every")]
    pub flush_every: f64,
    /// Number of transactions that a node queues for each core.
    #[serde(rename = "@queue")]
    pub queue: usize,
    /// Time after its start until a cold node works at full speed, seconds.
    #[serde(rename = "@warm-after")]
    pub warm_after: f64,
    /// Whether a node stops a running transaction that is cancelled.
    #[serde(rename = "@cancel-stops")]
    pub cancel_stops: bool,
    /// Delay of changes of the register, seconds.
    #[serde(rename = "@notice")]
    pub notice: f64,
}

/// Fraction `part` of the traffic that belongs to a band.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Share {
    #[serde(rename = "@band")]
    pub band: String,
    #[serde(rename = "@part")]
    pub part: f64,
}

/// Multiplies the traffic of one plan, of one volume or of all volumes by `times`, for `lasts` seconds from `at`.
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

/// From `at`, for `lasts` seconds, a fraction `part` of the transactions is cancelled by the client after a fraction
/// `after` of the due time.
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

/// Changes the leading initiator of a fraction `part` of the volumes at the time `at`, all at once.
#[derive(Clone, Debug, Deserialize)]
pub struct LeadChange {
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@part")]
    pub part: f64,
}

/// Clients of one plan retry `retries` times after `wait` seconds each, regardless of the retry delay that they are
/// advised.
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

/// Traffic of the clients.
#[derive(Clone, Debug, Deserialize)]
pub struct Traffic {
    /// Transactions per second, without surges.
    #[serde(rename = "@rate")]
    pub rate: f64,
    /// Number of retries by a client.
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

/// A fault that is injected from `at` for `lasts` seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Fault {
    #[serde(rename = "@kind")]
    pub kind: FaultKind,
    #[serde(rename = "@at")]
    pub at: f64,
    #[serde(rename = "@lasts", default)]
    pub lasts: f64,
    /// Fraction of the nodes or gateways that it affects, chosen with the seed.
    #[serde(rename = "@part", default)]
    pub part: f64,
    /// The one node that it affects, in place of `part`.
    #[serde(rename = "@node")]
    pub node: Option<u32>,
    /// Link ends at one side of the links that it affects, as a list like `0-3,n2,zone-1`.
    #[serde(rename = "@from", default)]
    pub from: String,
    /// Link ends at the other side.
    #[serde(rename = "@to", default)]
    pub to: String,
    /// Strength of the fault; its meaning and unit depend on the kind.
    #[serde(rename = "@size", default)]
    pub size: f64,
    /// Number of groups in which nodes are drained or replaced, spread evenly over the duration of the fault.
    #[serde(rename = "@waves", default)]
    pub waves: u32,
    /// Time until a replacement starts, seconds.
    #[serde(rename = "@returns", default)]
    pub returns: f64,
}

/// A day, as its file states it.
#[derive(Clone, Debug, Deserialize)]
pub struct Day {
    #[serde(rename = "@name")]
    pub name: String,
    /// Path of the deployment's file, relative to the folder of the day's file.
    #[serde(rename = "@deployment")]
    pub deployment: String,
    #[serde(rename = "@seed")]
    pub seed: u64,
    /// Length of the day.
    #[serde(rename = "@lasts")]
    pub lasts: f64,
    /// Maximum difference, seconds, between the times that two processes on the machine record for the same event.
    #[serde(rename = "@transit")]
    pub transit: f64,
    pub fleet: Fleet,
    pub traffic: Traffic,
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// Checks a day for what the schema cannot express.
pub(crate) fn decode(day: Day) -> Result<Day, CheckFailure> {
    if day.lasts <= 0.0 || day.lasts > 3600.0 {
        return check_failed("day, lasts", day.lasts, "above 0, 3600 s at most");
    }
    for (place, value) in [("fleet, unit-time", day.fleet.unit_time), ("traffic, rate", day.traffic.rate)] {
        if value <= 0.0 {
            return check_failed(place, value, "must be above 0");
        }
    }
    let sum: f64 = day.traffic.share.iter().map(|share| share.part).sum();
    if (sum - 1.0).abs() > 1e-6 {
        return check_failed("traffic, share", sum, "the parts add up to 1");
    }
    for (index, fault) in day.fault.iter().enumerate() {
        let place = format!("fault {} ({:?})", index + 1, fault.kind);
        let has_target = fault.part > 0.0 || fault.node.is_some();
        let needs_no_target =
            matches!(fault.kind, FaultKind::RegisterFails | FaultKind::RegisterLate | FaultKind::LateReports);
        if fault.kind.affects_links() {
            if fault.from.is_empty() || fault.to.is_empty() || has_target {
                return check_failed(
                    place,
                    "no from and to, or part or node",
                    "links are named by both ends alone",
                );
            }
        } else if !fault.from.is_empty() || !fault.to.is_empty() {
            return check_failed(place, "from or to", "only faults of links have them");
        } else if !has_target && !needs_no_target {
            return check_failed(place, "neither part nor node", "state which nodes or gateways it falls on");
        }
        if fault.kind.size_is_fraction() && !(fault.size > 0.0 && fault.size <= 1.0) {
            return check_failed(place, fault.size, "size is a part of all datagrams, above 0, 1 at most");
        }
        let needs_size = matches!(fault.kind, FaultKind::Delay | FaultKind::Drip | FaultKind::ClockStep);
        if needs_size && fault.size <= 0.0 {
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
    /// Checks that the deployment has the bands, plans, volumes, gateways and nodes that the day names.
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
        for (index, fault) in self.fault.iter().enumerate().filter(|(_, fault)| fault.kind.affects_links()) {
            let place = format!("fault {} ({:?})", index + 1, fault.kind);
            let (from, to) = match self.link_ends(deployment, fault) {
                Ok(ends) => ends,
                Err(found) => {
                    return check_failed(place, found, "ends as the day's gateways, nodes and zones are")
                }
            };
            let has_gateway =
                |ends: &BTreeSet<LinkEnd>| ends.iter().any(|end| matches!(end, LinkEnd::Gateway(_)));
            if !has_gateway(&from) && !has_gateway(&to) {
                return check_failed(place, "no gateway at either end", "links are those of gateways");
            }
        }
        if let Some(fleet) = &deployment.fleet {
            let has_member =
                |number: u32| fleet.member.iter().any(|member| u32::from(member.number) == number);
            if let Some(number) = (0..self.fleet.gateways).find(|number| !has_member(*number)) {
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

    /// The link ends at both sides of the links that a fault affects. An error contains the invalid list item in
    /// quotes.
    pub fn link_ends(
        &self, deployment: &Deployment, fault: &Fault,
    ) -> Result<(BTreeSet<LinkEnd>, BTreeSet<LinkEnd>), String> {
        let parse = |text: &str| {
            parse_link_ends(text, self.fleet.gateways, self.fleet.nodes, deployment.zones.max(1))
        };
        Ok((parse(&fault.from)?, parse(&fault.to)?))
    }

    /// Fraction of the traffic that belongs to each band of the deployment, in the order of its bands.
    pub fn shares(&self, deployment: &Deployment) -> Vec<f64> {
        let band_share = |name: &String| {
            self.traffic.share.iter().filter(|share| share.band == *name).map(|share| share.part).sum()
        };
        deployment.band_names.iter().map(band_share).collect()
    }
}
