//! A deployment: what the core, the gateway and the rules need to know of it.

pub mod migrate;

use std::collections::BTreeMap;

use quaypath::types::{Band, DedupScope, Plan, Repeat, Settings};
use quaypath_rules as rules;
use serde::{Deserialize, Serialize};

use crate::{check_failed, CheckFailure};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// Changes arrive by themselves.
    Pushed,
    /// Only after a watch or a fetch was asked for.
    Asked,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listen {
    #[serde(rename = "@address")]
    pub address: String,
    /// Most client connections.
    #[serde(rename = "@connections")]
    pub connections: usize,
    /// Most open transactions; over it a command is turned away before the core.
    #[serde(rename = "@open")]
    pub open: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Register {
    #[serde(rename = "@address")]
    pub address: String,
    #[serde(rename = "@mode")]
    pub mode: Mode,
    #[serde(rename = "@ask-within", default)]
    pub ask_within: f64,
}

/// Waits on connections, seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Connections {
    #[serde(rename = "@connect")]
    pub connect: f64,
    #[serde(rename = "@idle")]
    pub idle: f64,
    /// How long a peer may leave a PDU unfinished.
    #[serde(rename = "@half-pdu")]
    pub half_pdu: f64,
    /// Keep alive time-out towards nodes and the register; 0: none.
    #[serde(rename = "@keep-alive", default)]
    pub keep_alive: f64,
    /// I/O queues of one association with a node.
    #[serde(rename = "@queues", default = "one")]
    pub queues: u16,
    /// Digests asked of nodes.
    #[serde(rename = "@digests", default)]
    pub digests: Digests,
}

fn one() -> u16 {
    1
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Digests {
    #[default]
    None,
    Header,
    Data,
    Both,
}

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

#[derive(Clone, Serialize, Deserialize)]
struct FurtherForm {
    #[serde(rename = "@share")]
    share: f64,
    #[serde(rename = "@free")]
    free: f64,
    #[serde(rename = "@look-back")]
    look_back: f64,
}

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

#[derive(Clone, Serialize, Deserialize)]
struct UnitsForm {
    #[serde(rename = "@mean")]
    mean: f64,
    #[serde(rename = "@most")]
    most: u32,
    #[serde(rename = "@metering")]
    metering: f64,
    /// Nodes tell what others used of a volume.
    #[serde(rename = "@tells-others", default = "yes")]
    tells_others: bool,
}

fn yes() -> bool {
    true
}

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

fn one_weight() -> u8 {
    1
}

/// A process of the fleet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Number of its initiator.
    #[serde(rename = "@number")]
    pub number: u16,
    /// Where it takes datagrams.
    #[serde(rename = "@address")]
    pub address: String,
    /// Part of the shared duties, relative to others.
    #[serde(rename = "@weight", default = "one_weight")]
    pub weight: u8,
}

/// What initiators that talk tell and lend each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SignalScope {
    None,
    /// What their answers told of nodes.
    #[serde(rename = "news")]
    NodeReports,
    /// Parts of volumes' limits.
    #[serde(rename = "parts")]
    Lending,
    #[default]
    All,
}

/// How the initiators talk; times in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSettings {
    /// Told apart from other fleets by it.
    #[serde(rename = "@name")]
    pub name: String,
    /// One check of another member a period.
    #[serde(rename = "@period")]
    pub period: f64,
    /// How long a check waits before others are asked.
    #[serde(rename = "@wait")]
    pub wait: f64,
    #[serde(rename = "@helpers")]
    pub helpers: u16,
    /// How often each node is probed, by one member.
    #[serde(rename = "@probe-every")]
    pub probe_every: f64,
    /// How long two members may both probe one node after a change.
    #[serde(rename = "@window")]
    pub window: f64,
    #[serde(rename = "@signals", default)]
    pub signals: SignalScope,
    pub member: Vec<Member>,
}

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
    #[serde(rename = "@blocks", default = "blocks")]
    blocks: u64,
}

/// Size of a volume where the file states none: 512 MiB.
fn blocks() -> u64 {
    1 << 20
}

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
    pub plan: usize,
    pub initiators: u32,
    /// Blocks (parts of the data, one node each) that its extents lie on, in turn.
    pub blocks: Vec<i64>,
    /// Its size, logical blocks.
    pub size: u64,
}

/// Which band a host's command is of that does not say: by namespaces and bytes, both ends included.
#[derive(Clone, Debug)]
pub struct BandRule {
    pub band: usize,
    pub volumes: (u32, u32),
    pub bytes: (u32, u32),
}

/// A range of a volume that lies on a node of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    pub volume: u32,
    pub from: u64,
    pub blocks: u64,
    pub node: i64,
}

#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: String,
    pub listen: Listen,
    pub register: Register,
    pub connections: Connections,
    /// What the core is started with.
    pub core: Settings,
    /// What the rules are judged by.
    pub rule_parameters: rules::Parameters,
    pub band_names: Vec<String>,
    /// Longest time that a caller of each band waits, seconds; and whether the band writes.
    pub outer_limits: Vec<f64>,
    pub writes: Vec<bool>,
    pub plan_names: Vec<String>,
    pub nominal: Vec<f64>,
    pub max_units: u32,
    /// Period of the use figures in answers, seconds; 0: none.
    pub metering_period: f64,
    pub nodes: u32,
    pub zones: u32,
    /// Logical blocks of one extent.
    pub extent_blocks: u64,
    pub volumes: BTreeMap<u32, Volume>,
    pub band_rules: Vec<BandRule>,
    /// By volume, then by range; none overlap.
    pub placements: Vec<Placement>,
    /// Absent: initiators do not talk.
    pub fleet: Option<FleetSettings>,
}

impl Deployment {
    /// The band of a command that does not say: the first rule that fits, else the first band that reads or writes as
    /// it does.
    pub fn band_of(&self, volume: u32, bytes: u32, writes: bool) -> Option<usize> {
        let inside = |(from, to): (u32, u32), value: u32| (from..=to).contains(&value);
        let fits = |rule: &&BandRule| {
            self.writes[rule.band] == writes && inside(rule.volumes, volume) && inside(rule.bytes, bytes)
        };
        let ruled = self.band_rules.iter().find(fits).map(|rule| rule.band);
        ruled.or_else(|| self.writes.iter().position(|known| *known == writes))
    }

    /// Longest time that any caller waits, seconds.
    pub fn max_outer_limit(&self) -> f64 {
        self.outer_limits.iter().copied().fold(0.0, f64::max)
    }

    /// Extent of a volume that a logical block lies in, and the part of the data that holds it.
    pub fn extent_and_block(&self, volume: &Volume, slba: u64) -> (u64, i64) {
        let extent = slba / self.extent_blocks;
        (extent, volume.blocks[(extent % volume.blocks.len() as u64) as usize])
    }
}

/// Most volumes of one file; the core keeps an account of each.
const MOST_VOLUMES: usize = 100_000;

fn positive(place: &str, value: f64) -> Result<(), CheckFailure> {
    if value > 0.0 {
        return Ok(());
    }
    check_failed(place, value, "must be above 0")
}

fn band(form: &BandForm, longest_return: f64) -> Result<(Band, rules::Band), CheckFailure> {
    let at = format!("band {}", form.name);
    positive(&format!("{at}, due"), form.due)?;
    if form.outer < form.due {
        return check_failed(
            format!("{at}, outer"),
            form.outer,
            format!("must be {} (its due time) or more", form.due),
        );
    }
    if form.outer > 3600.0 {
        return check_failed(format!("{at}, outer"), form.outer, "3600 s at most, as a timer is");
    }
    let repeat = match form.repeat.as_str() {
        "repeatable" => Repeat::Repeatable,
        "tagged" => Repeat::Tagged,
        _ => Repeat::OnceOnly,
    };
    if repeat == Repeat::Tagged && (form.window <= 0.0 || form.scope.is_empty()) {
        let found = format!("window {} and scope '{}'", form.window, form.scope);
        return check_failed(
            at,
            found,
            "a tagged band states both: who drops its repeats and for how long (rule 2)",
        );
    }
    if repeat != Repeat::Tagged && (form.window > 0.0 || !form.scope.is_empty()) {
        return check_failed(at, "window or scope", "only a tagged band has them (rule 2)");
    }
    let scope = match form.scope.as_str() {
        "zone" => DedupScope::Zone,
        "cell" => DedupScope::Cell,
        _ => DedupScope::All,
    };
    if longest_return > form.outer {
        return check_failed(
            "allow, longest-return",
            longest_return,
            format!("{at} waits {} s at most", form.outer),
        );
    }
    let (window, ordered) = (form.window, form.ordered);
    let core = Band {
        due: form.due,
        benefit: form.benefit,
        repeat,
        dedup_scope: scope,
        dedup_window: window,
        ordered,
    };
    let judged = rules::Band {
        name: form.name.clone(),
        repeat: match repeat {
            Repeat::Repeatable => rules::Repeat::Repeatable,
            Repeat::Tagged => rules::Repeat::Tagged,
            Repeat::OnceOnly => rules::Repeat::OnceOnly,
        },
        dedup_scope: match scope {
            DedupScope::All => rules::DedupScope::All,
            DedupScope::Zone => rules::DedupScope::Zone,
            DedupScope::Cell => rules::DedupScope::Cell,
        },
        dedup_window: window,
        ordered,
    };
    Ok((core, judged))
}

fn plan(form: &PlanForm, most_units: u32) -> Result<Plan, CheckFailure> {
    let at = format!("plan {}", form.name);
    if form.limit > 0.0 && form.burst < f64::from(most_units) {
        let rule = format!("a burst holds the largest transaction, {most_units} units (rule 7)");
        return check_failed(format!("{at}, burst"), form.burst, rule);
    }
    if form.limit == 0.0 && (form.burst > 0.0 || form.slack > 0.0) {
        return check_failed(at, "burst or slack without limit", "state the limit too (rule 7)");
    }
    if form.limit > 0.0 && form.reservation > form.limit {
        return check_failed(
            format!("{at}, reservation"),
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

fn unique<'a>(what: &str, names: impl Iterator<Item = &'a String>) -> Result<(), CheckFailure> {
    let mut seen = std::collections::BTreeSet::new();
    for name in names {
        if !seen.insert(name) {
            return check_failed(format!("{what} {name}"), "the name twice", "each name once");
        }
    }
    Ok(())
}

/// Checked ranges, by volume and start.
fn placements(form: &Form, volumes: &BTreeMap<u32, Volume>) -> Result<Vec<Placement>, CheckFailure> {
    let mut all = Vec::new();
    for one in &form.placement {
        let at = format!("placement of volume {} from {}", one.volume, one.from);
        let Some(volume) = volumes.get(&one.volume) else {
            return check_failed(at, format!("volume {}", one.volume), "a volume of this file");
        };
        if one.node >= form.layout.nodes {
            return check_failed(
                at,
                format!("node {}", one.node),
                format!("below the layout's {}", form.layout.nodes),
            );
        }
        let end = one.from.checked_add(one.blocks).filter(|end| one.blocks > 0 && *end <= volume.size);
        if end.is_none() {
            return check_failed(
                at,
                format!("{} blocks", one.blocks),
                format!("within the volume's {}", volume.size),
            );
        }
        all.push(Placement {
            volume: one.volume,
            from: one.from,
            blocks: one.blocks,
            node: i64::from(one.node),
        });
    }
    all.sort_by_key(|one| (one.volume, one.from));
    for pair in all.windows(2) {
        if pair[0].volume == pair[1].volume && pair[0].from + pair[0].blocks > pair[1].from {
            let at = format!("placement of volume {} from {}", pair[1].volume, pair[1].from);
            return check_failed(at, "an overlap", "each block lies on one node");
        }
    }
    Ok(all)
}

fn talk(talk: &FleetSettings, initiators: u32) -> Result<(), CheckFailure> {
    for (place, value) in [("period", talk.period), ("wait", talk.wait), ("probe-every", talk.probe_every)] {
        positive(&format!("fleet, {place}"), value)?;
    }
    if talk.wait >= talk.period {
        return check_failed("fleet, wait", talk.wait, format!("below the period, {} s", talk.period));
    }
    if talk.window < talk.probe_every {
        let rule = format!("{} s (probe-every) or more: what one does is seen by then", talk.probe_every);
        return check_failed("fleet, window", talk.window, rule);
    }
    let (mut numbers, mut addresses) = (BTreeMap::new(), BTreeMap::new());
    for member in &talk.member {
        let at = format!("fleet, member {}", member.number);
        if u32::from(member.number) >= initiators {
            return check_failed(at, member.number, format!("below the layout's {initiators} initiators"));
        }
        if member.weight == 0 {
            return check_failed(at, "weight 0", "1 or more");
        }
        let Ok(address) = member.address.parse::<std::net::SocketAddr>() else {
            return check_failed(at, &member.address, "an address and port");
        };
        if numbers.insert(member.number, ()).is_some() || addresses.insert(address, ()).is_some() {
            return check_failed(at, "number or address twice", "each once");
        }
    }
    Ok(())
}

pub(crate) fn decode(form: Form) -> Result<Deployment, CheckFailure> {
    if let Some(form_of_talk) = &form.fleet {
        talk(form_of_talk, form.layout.initiators)?;
    }
    unique("band", form.band.iter().map(|band| &band.name))?;
    unique("plan", form.plan.iter().map(|plan| &plan.name))?;
    let (allow, figures) = (&form.allow, &form.rules);
    if allow.copies {
        return check_failed("allow, copies", true, "two shots out at once are refused here (rule 2)");
    }
    positive("units, mean", form.units.mean)?;
    positive("rules, overload-for", figures.overload_for)?;
    if form.register.mode == Mode::Asked && form.register.ask_within <= 0.0 {
        return check_failed(
            "register, ask-within",
            form.register.ask_within,
            "an asked register states it (rule 3)",
        );
    }
    let mut bands = Vec::new();
    let mut judged = Vec::new();
    for form in &form.band {
        let (core, rule) = band(form, allow.longest_return)?;
        bands.push(core);
        judged.push(rule);
    }
    let plans = form.plan.iter().map(|one| plan(one, form.units.most)).collect::<Result<Vec<_>, _>>()?;
    let (mut volumes, mut limits) = (BTreeMap::new(), BTreeMap::new());
    for group in &form.volumes {
        let at = format!("volumes from {}", group.first);
        let Some(plan) = form.plan.iter().position(|plan| plan.name == group.plan) else {
            return check_failed(at, format!("plan '{}'", group.plan), "a plan of this file");
        };
        if group.first == 0 {
            return check_failed(at, 0, "numbers start at 1: they are namespace ids");
        }
        if group.nodes > form.layout.nodes || group.initiators > form.layout.initiators {
            let found = format!("{} nodes, {} initiators", group.nodes, group.initiators);
            let (nodes, initiators) = (form.layout.nodes, form.layout.initiators);
            return check_failed(at, found, format!("at most the layout's {nodes} and {initiators}"));
        }
        if volumes.len() + group.count as usize > MOST_VOLUMES {
            return check_failed(at, group.count, format!("{MOST_VOLUMES} volumes at most"));
        }
        for id in group.first..group.first.saturating_add(group.count) {
            let nodes = i64::from(form.layout.nodes);
            let blocks = (0..i64::from(group.nodes)).map(|step| (i64::from(id) * 7 + step) % nodes).collect();
            if volumes
                .insert(id, Volume { plan, initiators: group.initiators, blocks, size: group.blocks })
                .is_some()
            {
                return check_failed(at, format!("volume {id} twice"), "each volume once");
            }
            let of = &form.plan[plan];
            if of.limit > 0.0 {
                limits.insert(id, rules::Limit { rate: of.limit, burst: of.burst, slack: of.slack });
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
    let placements = placements(&form, &volumes)?;
    let further = figures.further.as_ref().map(|form| (form.share, form.free, form.look_back));
    if let Some((.., look_back)) = further {
        positive("rules, further, look-back", look_back)?;
    }
    let asked = form.register.mode == Mode::Asked;
    let core = Settings {
        initiators: f64::from(form.layout.initiators),
        bands,
        plans,
        mean_units: form.units.mean,
        cold_start_units: figures.young_units,
        reports_usage: form.units.metering > 0.0,
        reports_others_usage: form.units.tells_others,
        may_cancel: allow.cancel,
        max_shots: allow.shots,
        advises_retry: allow.longest_return > 0.0,
        max_retry_after: allow.longest_return,
        must_subscribe: asked,
        // Nodes on NVMe/TCP refuse new commands once they drain, so the core sends them none.
        drain_grace: 0.0,
        start_capacity: figures.start_capacity,
        warm_up: figures.cold_for,
        overload_multiple: figures.fall_multiple,
        overload_window: figures.overload_for,
        key_quiet_period: figures.key_quiet,
        earlier_loans_hold: 0.0,
        retry_budget: further,
    };
    let rule_parameters = rules::Parameters {
        bands: judged,
        limits,
        answer_slack: figures.answer_slack,
        drain_grace: figures.drain_grace,
        overload_window: figures.overload_for,
        key_quiet_period: figures.key_quiet,
        max_shots: allow.shots,
        copies_allowed: allow.copies,
        retry_budget: further,
        poll_within: asked.then_some(form.register.ask_within),
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
