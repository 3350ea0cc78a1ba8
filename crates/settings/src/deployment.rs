//! Deployments: the settings of a gateway, its core and its fleet, and the parameters by which its records are judged.
//!
//! The structs that end in `Form` mirror the elements of the file. [`decode`] checks them and builds a [`Deployment`].

pub mod migrate;

use std::collections::BTreeMap;

use quaypath::types::{Band, DedupScope, Plan, Repeat, Settings};
use quaypath_rules as rules;
use serde::{Deserialize, Serialize};

use crate::{check_failed, CheckFailure};

/// How a gateway learns of changes of the node register.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// The register sends changes without being asked.
    Pushed,
    /// The register sends changes only to a gateway that watches it, and the list only on request.
    Asked,
}

/// Where a gateway listens, and how much it accepts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listen {
    /// Address and port for client connections.
    #[serde(rename = "@address")]
    pub address: String,
    /// Maximum number of client connections.
    #[serde(rename = "@connections")]
    pub connections: usize,
    /// Maximum number of open transactions. Commands above it are refused before they reach the core.
    #[serde(rename = "@open")]
    pub open: usize,
}

/// The node register.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Register {
    /// Address and port of the register.
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@mode")]
    pub mode: Mode,
    /// Maximum time between polls of a register in the mode [`Mode::Asked`], seconds (rule 3).
    #[serde(rename = "@ask-within", default)]
    pub ask_within: f64,
}

/// Connections to clients, nodes and the register; times in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Connections {
    /// Time limit of establishing a connection.
    #[serde(rename = "@connect")]
    pub connect: f64,
    /// Time after which an idle connection is closed.
    #[serde(rename = "@idle")]
    pub idle: f64,
    /// Maximum time for which a peer may leave a PDU incomplete.
    #[serde(rename = "@half-pdu")]
    pub half_pdu: f64,
    /// Keep Alive timeout of associations with nodes and the register; 0 disables it.
    #[serde(rename = "@keep-alive", default)]
    pub keep_alive: f64,
    /// Number of I/O queues of an association with a node.
    #[serde(rename = "@queues", default = "default_queues")]
    pub queues: u16,
    /// PDU digests that are requested from nodes.
    #[serde(rename = "@digests", default)]
    pub digests: Digests,
}

fn default_queues() -> u16 {
    1
}

/// Which digests PDUs of NVMe/TCP have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Digests {
    #[default]
    None,
    Header,
    Data,
    Both,
}

/// Element `band-rule`: `first` and `last` limit the volumes, `least` and `most` the length in bytes.
#[derive(Clone, Serialize, Deserialize)]
struct BandRuleForm {
    #[serde(rename = "@band")]
    band: String,
    #[serde(rename = "@first", skip_serializing_if = "Option::is_none")]
    first: Option<u32>,
    #[serde(rename = "@last", skip_serializing_if = "Option::is_none")]
    last: Option<u32>,
    #[serde(rename = "@least", skip_serializing_if = "Option::is_none")]
    least: Option<u32>,
    #[serde(rename = "@most", skip_serializing_if = "Option::is_none")]
    most: Option<u32>,
}

/// Element `placement`: logical blocks `from` up to `from + blocks` of a volume.
#[derive(Clone, Serialize, Deserialize)]
struct PlacementForm {
    #[serde(rename = "@volume")]
    volume: u32,
    #[serde(rename = "@from")]
    from: u64,
    #[serde(rename = "@blocks")]
    blocks: u64,
    #[serde(rename = "@node")]
    node: u32,
}

/// Element `allow`: what the contract with the nodes allows.
#[derive(Clone, Serialize, Deserialize)]
struct AllowForm {
    #[serde(rename = "@shots")]
    shots: u32,
    #[serde(rename = "@cancel")]
    cancel: bool,
    #[serde(rename = "@copies")]
    copies: bool,
    #[serde(rename = "@longest-return", default)]
    longest_return: f64,
}

/// Element `further`: the budget of further shots (rule 6). `free` further shots, and `share` of the transactions
/// received within the last `look_back` seconds, are allowed.
#[derive(Clone, Serialize, Deserialize)]
struct FurtherForm {
    #[serde(rename = "@share")]
    share: f64,
    #[serde(rename = "@free")]
    free: f64,
    #[serde(rename = "@look-back")]
    look_back: f64,
}

/// Element `rules`: parameters of the rules; times in seconds.
#[derive(Clone, Serialize, Deserialize)]
struct RulesForm {
    #[serde(rename = "@answer-slack")]
    answer_slack: f64,
    #[serde(rename = "@drain-grace")]
    drain_grace: f64,
    #[serde(rename = "@start-capacity")]
    start_capacity: f64,
    #[serde(rename = "@cold-for")]
    cold_for: f64,
    #[serde(rename = "@fall-multiple")]
    fall_multiple: f64,
    #[serde(rename = "@overload-for")]
    overload_for: f64,
    #[serde(rename = "@young-units")]
    young_units: f64,
    #[serde(rename = "@key-quiet")]
    key_quiet: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    further: Option<FurtherForm>,
}

/// Element `units`: sizes of transactions in units, and the period of usage reports in seconds.
#[derive(Clone, Serialize, Deserialize)]
struct UnitsForm {
    #[serde(rename = "@mean")]
    mean: f64,
    #[serde(rename = "@most")]
    most: u32,
    #[serde(rename = "@metering")]
    metering: f64,
    /// Whether nodes report how much of a volume's limit other initiators used.
    #[serde(rename = "@tells-others", default = "default_reports_others")]
    reports_others_usage: bool,
}

fn default_reports_others() -> bool {
    true
}

/// Element `layout`: size of the deployment.
#[derive(Clone, Serialize, Deserialize)]
struct LayoutForm {
    #[serde(rename = "@initiators")]
    initiators: u32,
    #[serde(rename = "@nodes")]
    nodes: u32,
    #[serde(rename = "@zones")]
    zones: u32,
    #[serde(rename = "@extent-blocks")]
    extent_blocks: u64,
}

fn default_member_weight() -> u8 {
    1
}

/// A gateway process of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Number of the initiator that it runs, below the layout's number of initiators.
    #[serde(rename = "@number")]
    pub number: u16,
    /// Address and port on which it receives the fleet's datagrams.
    #[serde(rename = "@address")]
    pub address: String,
    /// Weight of its part of the shared duties, relative to the other members.
    #[serde(rename = "@weight", default = "default_member_weight")]
    pub weight: u8,
}

/// Which signals the initiators of a fleet exchange.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SignalScope {
    None,
    /// Reports about nodes, from the answers that the nodes sent.
    #[serde(rename = "news")]
    NodeReports,
    /// Loans of parts of volumes' limits.
    #[serde(rename = "parts")]
    Lending,
    #[default]
    All,
}

/// The fleet of initiators, which exchange datagrams; times in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSettings {
    /// Name by which datagrams of other fleets are recognized and ignored.
    #[serde(rename = "@name")]
    pub name: String,
    /// Check period: each member checks one other member per period.
    #[serde(rename = "@period")]
    pub period: f64,
    /// Time that a check waits for an answer before helpers are asked to check the same member.
    #[serde(rename = "@wait")]
    pub wait: f64,
    /// Number of helpers.
    #[serde(rename = "@helpers")]
    pub helpers: u16,
    /// Interval at which each node is probed, by one member of the fleet.
    #[serde(rename = "@probe-every")]
    pub probe_every: f64,
    /// Maximum time after a change of the membership in which two members may probe the same node.
    #[serde(rename = "@window")]
    pub window: f64,
    #[serde(rename = "@signals", default)]
    pub signals: SignalScope,
    pub member: Vec<Member>,
}

/// Element `band`; times in seconds.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
struct BandForm {
    #[serde(rename = "@name")]
    name: String,
    #[serde(rename = "@due")]
    due: f64,
    #[serde(rename = "@outer")]
    outer: f64,
    #[serde(rename = "@benefit")]
    benefit: f64,
    #[serde(rename = "@repeat")]
    repeat: String,
    #[serde(rename = "@scope", default, skip_serializing_if = "String::is_empty")]
    scope: String,
    #[serde(rename = "@window", default)]
    window: f64,
    #[serde(rename = "@ordered", default)]
    ordered: bool,
    #[serde(rename = "@writes")]
    writes: bool,
}

/// Element `plan`; rates in units per second.
#[derive(Clone, Serialize, Deserialize)]
struct PlanForm {
    #[serde(rename = "@name")]
    name: String,
    #[serde(rename = "@nominal")]
    nominal: f64,
    #[serde(rename = "@reservation")]
    reservation: f64,
    #[serde(rename = "@weight")]
    weight: f64,
    #[serde(rename = "@factor")]
    factor: f64,
    #[serde(rename = "@limit", default)]
    limit: f64,
    #[serde(rename = "@burst", default)]
    burst: f64,
    #[serde(rename = "@slack", default)]
    slack: f64,
}

/// Element `volumes`: `count` volumes of one plan, numbered from `first`.
#[derive(Clone, Serialize, Deserialize)]
struct VolumesForm {
    #[serde(rename = "@plan")]
    plan: String,
    #[serde(rename = "@first")]
    first: u32,
    #[serde(rename = "@count")]
    count: u32,
    #[serde(rename = "@initiators")]
    initiators: u32,
    #[serde(rename = "@nodes")]
    nodes: u32,
    #[serde(rename = "@blocks", default = "default_volume_blocks")]
    blocks: u64,
}

/// Size in logical blocks of a volume whose file states none: 512 MiB.
fn default_volume_blocks() -> u64 {
    1 << 20
}

/// Element `deployment`, the root of the file.
#[derive(Clone, Serialize, Deserialize)]
#[serde(rename = "deployment")]
pub(crate) struct Form {
    #[serde(rename = "@name")]
    name: String,
    listen: Listen,
    register: Register,
    connections: Connections,
    allow: AllowForm,
    rules: RulesForm,
    units: UnitsForm,
    layout: LayoutForm,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    fleet: Option<FleetSettings>,
    band: Vec<BandForm>,
    plan: Vec<PlanForm>,
    #[serde(rename = "band-rule", default)]
    band_rule: Vec<BandRuleForm>,
    volumes: Vec<VolumesForm>,
    #[serde(default)]
    placement: Vec<PlacementForm>,
}

/// One volume: an NVMe namespace whose id is the volume's number.
#[derive(Clone, Debug)]
pub struct Volume {
    /// Index of its plan.
    pub plan: usize,
    /// Number of initiators over which its commands are spread.
    pub initiators: u32,
    /// Blocks (parts of the data, each held by one node) over which its extents are distributed round-robin.
    pub blocks: Vec<i64>,
    /// Size in logical blocks.
    pub size: u64,
}

/// Assigns a band to a host's command that states none, by its volume and length. Both ends of a range are included.
#[derive(Clone, Debug)]
pub struct BandRule {
    /// Index of the band.
    pub band: usize,
    /// Namespace ids.
    pub volumes: (u32, u32),
    /// Length of the command's data in bytes.
    pub bytes: (u32, u32),
}

/// Range of `blocks` logical blocks of a volume, from block `from`, that is stored on a stated node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub volume: u32,
    pub from: u64,
    pub blocks: u64,
    pub node: i64,
}

/// A checked deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: Listen,
    pub register: Register,
    pub connections: Connections,
    /// Settings with which the core is started.
    pub core: Settings,
    /// Parameters with which records are judged by the rules.
    pub rule_parameters: rules::Parameters,
    pub band_names: Vec<String>,
    /// Outer limit of each band, seconds: the longest time that its clients wait.
    pub outer_limits: Vec<f64>,
    /// Whether each band writes.
    pub writes: Vec<bool>,
    pub plan_names: Vec<String>,
    /// Nominal rate of each plan.
    pub nominal: Vec<f64>,
    /// Size of the largest transaction in units.
    pub max_units: u32,
    /// Period of the usage reports in nodes' answers, seconds; 0 if nodes send none.
    pub metering_period: f64,
    pub nodes: u32,
    pub zones: u32,
    /// Size of an extent in logical blocks.
    pub extent_blocks: u64,
    pub volumes: BTreeMap<u32, Volume>,
    pub band_rules: Vec<BandRule>,
    /// Sorted by volume and start; the ranges do not overlap.
    pub placements: Vec<Placement>,
    /// Absent if the initiators exchange no datagrams.
    pub fleet: Option<FleetSettings>,
}

impl Deployment {
    /// Band of a command that states none: that of the first matching rule, else the first band that reads or writes as
    /// the command does. `bytes` is the length of its data.
    pub fn band_of(&self, volume: u32, bytes: u32, writes: bool) -> Option<usize> {
        let in_range = |(from, to): (u32, u32), value: u32| (from..=to).contains(&value);
        let matches = |rule: &&BandRule| {
            self.writes[rule.band] == writes && in_range(rule.volumes, volume) && in_range(rule.bytes, bytes)
        };
        let by_rule = self.band_rules.iter().find(matches).map(|rule| rule.band);
        by_rule.or_else(|| self.writes.iter().position(|band_writes| *band_writes == writes))
    }

    /// Longest outer limit of all bands, seconds.
    pub fn max_outer_limit(&self) -> f64 {
        self.outer_limits.iter().copied().fold(0.0, f64::max)
    }

    /// The extent of a volume that contains the logical block `slba`, and the block (part of the data) that holds it.
    pub fn extent_and_block(&self, volume: &Volume, slba: u64) -> (u64, i64) {
        let extent = slba / self.extent_blocks;
        (extent, volume.blocks[(extent % volume.blocks.len() as u64) as usize])
    }
}

/// Maximum number of volumes in a file. The core keeps state for each of them.
const MAX_VOLUMES: usize = 100_000;

fn check_positive(place: &str, value: f64) -> Result<(), CheckFailure> {
    if value > 0.0 {
        return Ok(());
    }
    check_failed(place, value, "must be above 0")
}

/// Checks a band and decodes it for the core and for the rules. `max_retry_after` is the longest retry delay that nodes
/// may advise, seconds.
fn decode_band(form: &BandForm, max_retry_after: f64) -> Result<(Band, rules::Band), CheckFailure> {
    let place = format!("band {}", form.name);
    check_positive(&format!("{place}, due"), form.due)?;
    if form.outer < form.due {
        return check_failed(
            format!("{place}, outer"),
            form.outer,
            format!("must be {} (its due time) or more", form.due),
        );
    }
    if form.outer > 3600.0 {
        return check_failed(format!("{place}, outer"), form.outer, "3600 s at most, the longest timer");
    }
    let repeat = match form.repeat.as_str() {
        "repeatable" => Repeat::Repeatable,
        "tagged" => Repeat::Tagged,
        _ => Repeat::OnceOnly,
    };
    if repeat == Repeat::Tagged && (form.window <= 0.0 || form.scope.is_empty()) {
        let found = format!("window {} and scope '{}'", form.window, form.scope);
        return check_failed(
            place,
            found,
            "a tagged band states both: the scope in which repeats are dropped, and for how long (rule 2)",
        );
    }
    if repeat != Repeat::Tagged && (form.window > 0.0 || !form.scope.is_empty()) {
        return check_failed(place, "window or scope", "only a tagged band has them (rule 2)");
    }
    let dedup_scope = match form.scope.as_str() {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    if max_retry_after > form.outer {
        return check_failed(
            "allow, longest-return",
            max_retry_after,
            format!("{place} waits {} s at most", form.outer),
        );
    }
    let (dedup_window, ordered) = (form.window, form.ordered);
    let core = Band { due: form.due, benefit: form.benefit, repeat, dedup_scope, dedup_window, ordered };
    let rules_band = rules::Band {
        name: form.name.clone(),
        repeat: match repeat {
            Repeat::Repeatable => rules::Repeat::Repeatable,
            Repeat::Tagged => rules::Repeat::Tagged,
            Repeat::OnceOnly => rules::Repeat::OnceOnly,
        },
        dedup_scope: match dedup_scope {
            DedupScope::All => rules::DedupScope::All,
            DedupScope::Zone => rules::DedupScope::Zone,
            DedupScope::Cell => rules::DedupScope::Cell,
        },
        dedup_window,
        ordered,
    };
    Ok((core, rules_band))
}

fn decode_plan(form: &PlanForm, max_units: u32) -> Result<Plan, CheckFailure> {
    let place = format!("plan {}", form.name);
    if form.limit > 0.0 && form.burst < f64::from(max_units) {
        let rule = format!("a burst holds the largest transaction, {max_units} units (rule 7)");
        return check_failed(format!("{place}, burst"), form.burst, rule);
    }
    if form.limit == 0.0 && (form.burst > 0.0 || form.slack > 0.0) {
        return check_failed(place, "burst or slack without limit", "state the limit too (rule 7)");
    }
    if form.limit > 0.0 && form.reservation > form.limit {
        return check_failed(
            format!("{place}, reservation"),
            form.reservation,
            "not above the plan's limit (rule 7)",
        );
    }
    Ok(Plan {
        limit: form.limit,
        burst: form.burst,
        reservation: form.reservation,
        nominal: form.nominal,
        weight: form.weight,
        benefit_factor: form.factor,
    })
}

fn check_unique<'a>(element: &str, names: impl Iterator<Item = &'a String>) -> Result<(), CheckFailure> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return check_failed(format!("{element} {name}"), "the name twice", "each name once");
        }
    }
    Ok(())
}

/// Checks the placements and sorts them by volume and start.
fn decode_placements(form: &Form, volumes: &BTreeMap<u32, Volume>) -> Result<Vec<Placement>, CheckFailure> {
    let mut placements = Vec::new();
    for placement in &form.placement {
        let place = format!("placement of volume {} from {}", placement.volume, placement.from);
        let Some(volume) = volumes.get(&placement.volume) else {
            return check_failed(place, format!("volume {}", placement.volume), "a volume of this file");
        };
        if placement.node >= form.layout.nodes {
            return check_failed(
                place,
                format!("node {}", placement.node),
                format!("below the layout's {}", form.layout.nodes),
            );
        }
        let end = placement
            .from
            .checked_add(placement.blocks)
            .filter(|end| placement.blocks > 0 && *end <= volume.size);
        if end.is_none() {
            return check_failed(
                place,
                format!("{} blocks", placement.blocks),
                format!("within the volume's {}", volume.size),
            );
        }
        placements.push(Placement {
            volume: placement.volume,
            from: placement.from,
            blocks: placement.blocks,
            node: i64::from(placement.node),
        });
    }
    placements.sort_by_key(|placement| (placement.volume, placement.from));
    for pair in placements.windows(2) {
        if pair[0].volume == pair[1].volume && pair[0].from + pair[0].blocks > pair[1].from {
            let place = format!("placement of volume {} from {}", pair[1].volume, pair[1].from);
            return check_failed(place, "an overlap", "each block lies on one node");
        }
    }
    Ok(placements)
}

fn check_fleet(fleet: &FleetSettings, initiators: u32) -> Result<(), CheckFailure> {
    for (place, value) in [("period", fleet.period), ("wait", fleet.wait), ("probe-every", fleet.probe_every)]
    {
        check_positive(&format!("fleet, {place}"), value)?;
    }
    if fleet.wait >= fleet.period {
        return check_failed("fleet, wait", fleet.wait, format!("below the period, {} s", fleet.period));
    }
    if fleet.window < fleet.probe_every {
        let rule = format!(
            "{} s (probe-every) or more, so that the other members see a probe within it",
            fleet.probe_every
        );
        return check_failed("fleet, window", fleet.window, rule);
    }
    let (mut numbers, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for member in &fleet.member {
        let place = format!("fleet, member {}", member.number);
        if u32::from(member.number) >= initiators {
            return check_failed(place, member.number, format!("below the layout's {initiators} initiators"));
        }
        if member.weight == 0 {
            return check_failed(place, "weight 0", "1 or more");
        }
        let Ok(address) = member.address.parse::<std::net::SocketAddr>() else {
            return check_failed(place, &member.address, "an address and port");
        };
        if numbers.insert(member.number, ()).is_some() || addresses.insert(address, ()).is_some() {
            return check_failed(place, "number or address twice", "each once");
        }
    }
    Ok(())
}

/// Checks a deployment for what the schema cannot express, and decodes it.
pub(crate) fn decode(form: Form) -> Result<Deployment, CheckFailure> {
    if let Some(fleet) = &form.fleet {
        check_fleet(fleet, form.layout.initiators)?;
    }
    check_unique("band", form.band.iter().map(|band| &band.name))?;
    check_unique("plan", form.plan.iter().map(|plan| &plan.name))?;
    let (allow, rules_form) = (&form.allow, &form.rules);
    if allow.copies {
        return check_failed("allow, copies", true, "two shots in flight at once are not allowed (rule 2)");
    }
    check_positive("units, mean", form.units.mean)?;
    check_positive("rules, overload-for", rules_form.overload_for)?;
    if form.register.mode == Mode::Asked && form.register.ask_within <= 0.0 {
        return check_failed(
            "register, ask-within",
            form.register.ask_within,
            "required for a register in mode asked (rule 3)",
        );
    }
    let mut bands = Vec::new();
    let mut rules_bands = Vec::new();
    for form in &form.band {
        let (core, rules_band) = decode_band(form, allow.longest_return)?;
        bands.push(core);
        rules_bands.push(rules_band);
    }
    let plans =
        form.plan.iter().map(|plan| decode_plan(plan, form.units.most)).collect::<Result<Vec<_>, _>>()?;
    let (mut volumes, mut limits) = (BTreeMap::new(), BTreeMap::new());
    for group in &form.volumes {
        let place = format!("volumes from {}", group.first);
        let Some(plan) = form.plan.iter().position(|plan| plan.name == group.plan) else {
            return check_failed(place, format!("plan '{}'", group.plan), "a plan of this file");
        };
        if group.first == 0 {
            return check_failed(place, 0, "numbers start at 1: they are namespace ids");
        }
        if group.nodes > form.layout.nodes || group.initiators > form.layout.initiators {
            let found = format!("{} nodes, {} initiators", group.nodes, group.initiators);
            let (nodes, initiators) = (form.layout.nodes, form.layout.initiators);
            return check_failed(place, found, format!("at most the layout's {nodes} and {initiators}"));
        }
        if volumes.len() + group.count as usize > MAX_VOLUMES {
            return check_failed(place, group.count, format!("{MAX_VOLUMES} volumes at most"));
        }
        for id in group.first..group.first.saturating_add(group.count) {
            let nodes = i64::from(form.layout.nodes);
            let blocks = (0..i64::from(group.nodes)).map(|step| (i64::from(id) * 7 + step) % nodes).collect();
            if volumes
                .insert(id, Volume { plan, initiators: group.initiators, blocks, size: group.blocks })
                .is_some()
            {
                return check_failed(place, format!("volume {id} twice"), "each volume once");
            }
            let plan_form = &form.plan[plan];
            if plan_form.limit > 0.0 {
                limits.insert(
                    id,
                    rules::Limit { rate: plan_form.limit, burst: plan_form.burst, slack: plan_form.slack },
                );
            }
        }
    }
    let mut band_rules = Vec::new();
    for rule in &form.band_rule {
        let Some(band) = form.band.iter().position(|band| band.name == rule.band) else {
            return check_failed("band-rule", format!("band '{}'", rule.band), "a band of this file");
        };
        let volumes = (rule.first.unwrap_or(1), rule.last.unwrap_or(u32::MAX));
        let bytes = (rule.least.unwrap_or(0), rule.most.unwrap_or(u32::MAX));
        if volumes.0 > volumes.1 || bytes.0 > bytes.1 {
            return check_failed(
                format!("band-rule {}", rule.band),
                "an empty range",
                "first up to last, least up to most",
            );
        }
        band_rules.push(BandRule { band, volumes, bytes });
    }
    let placements = decode_placements(&form, &volumes)?;
    let retry_budget = rules_form.further.as_ref().map(|form| (form.share, form.free, form.look_back));
    if let Some((.., look_back)) = retry_budget {
        check_positive("rules, further, look-back", look_back)?;
    }
    let must_poll = form.register.mode == Mode::Asked;
    let core = Settings {
        initiators: f64::from(form.layout.initiators),
        bands,
        plans,
        mean_units: form.units.mean,
        cold_start_units: rules_form.young_units,
        reports_usage: form.units.metering > 0.0,
        reports_others_usage: form.units.reports_others_usage,
        may_cancel: allow.cancel,
        max_shots: allow.shots,
        advises_retry: allow.longest_return > 0.0,
        max_retry_after: allow.longest_return,
        must_subscribe: must_poll,
        // A draining node on NVMe/TCP refuses new commands, so the core sends it none.
        drain_grace: 0.0,
        start_capacity: rules_form.start_capacity,
        warm_up: rules_form.cold_for,
        overload_multiple: rules_form.fall_multiple,
        overload_window: rules_form.overload_for,
        key_quiet_period: rules_form.key_quiet,
        earlier_loans_hold: 0.0,
        retry_budget,
    };
    let rule_parameters = rules::Parameters {
        bands: rules_bands,
        limits,
        answer_slack: rules_form.answer_slack,
        drain_grace: rules_form.drain_grace,
        overload_window: rules_form.overload_for,
        key_quiet_period: rules_form.key_quiet,
        max_shots: allow.shots,
        copies_allowed: allow.copies,
        retry_budget,
        poll_within: must_poll.then_some(form.register.ask_within),
        transit: 0.05,
    };
    Ok(Deployment {
        name: form.name,
        listen: form.listen,
        register: form.register,
        connections: form.connections,
        core,
        rule_parameters,
        outer_limits: form.band.iter().map(|band| band.outer).collect(),
        writes: form.band.iter().map(|band| band.writes).collect(),
        band_names: form.band.into_iter().map(|band| band.name).collect(),
        nominal: form.plan.iter().map(|plan| plan.nominal).collect(),
        plan_names: form.plan.into_iter().map(|plan| plan.name).collect(),
        max_units: form.units.most,
        metering_period: form.units.metering,
        nodes: form.layout.nodes,
        zones: form.layout.zones,
        extent_blocks: form.layout.extent_blocks,
        volumes,
        band_rules,
        placements,
        fleet: form.fleet,
    })
}
