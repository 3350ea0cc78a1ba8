//! Runs a day: gateways as processes, stand-ins on threads of this one, the script by the clock.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use quaypath::types::NodeCondition;
use quaypath_record::{Clock, Event, Writer};

use quaypath_settings::{Day, Deployment, FaultKind, LinkEnd};
use quaypath_standins::client::{self, ClientCounts, Clients};
use quaypath_standins::links::Links;
use quaypath_standins::model::ModelConfig;
use quaypath_standins::register::Register;
use quaypath_standins::target::{self, zone_of, SharedData, Target};
use rustix::process::{kill_process, Pid, Signal};
use thiserror::Error;
use tracing::{debug, info, warn};

use crate::plan::{script, traffic, Action};

#[derive(Debug, Error)]
pub enum Error {
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    #[error("gateway {number} did not start: {what}")]
    Gateway { number: u32, what: String },
    #[error(transparent)]
    Record(#[from] quaypath_record::Error),
}

fn io(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Error {
    let what = what.into();
    |source| Error::Io { what, source }
}

pub struct Options {
    /// The gateway's program.
    pub gateway_program: PathBuf,
    /// The deployment's file, as the gateways read it.
    pub deployment: PathBuf,
    /// Where record, lists and logs go.
    pub folder: PathBuf,
    /// Run the careless baseline in the gateways.
    pub baseline: bool,
    /// What gateways tell and lend each other, in place of the settings'.
    pub signals: Option<String>,
    /// A safeguard of theirs that is taken away, by name.
    pub disabled_safeguard: Option<String>,
}

/// What the gateways said of themselves at the end; for the table only, never for the verdict.
pub type GatewayCounts = BTreeMap<u32, serde_json::Value>;

/// Memory held by a gateway's process, by second of the day: resident KiB.
pub type MemorySamples = BTreeMap<u32, Vec<(f64, u64)>>;

/// What a day leaves beside its record.
pub struct Outcome {
    pub gateway_counts: GatewayCounts,
    pub memory: MemorySamples,
    pub clients: ClientCounts,
    /// How often faults of links struck, by kind.
    pub link_faults: BTreeMap<String, u64>,
    /// Processor time of each gateway's process, seconds, and how long it ran.
    pub processor_times: BTreeMap<u32, (f64, f64)>,
}

/// How often the gateways' memory is looked at, seconds.
const LOOK: f64 = 5.0;

struct Gateway {
    number: u32,
    address: SocketAddr,
    process: Option<(Child, ChildStdin, BufReader<std::process::ChildStdout>)>,
    lives: u32,
    /// A second process under the number of another.
    twin: bool,
    /// Where it sends datagrams to the fleet from.
    talks_at: Option<SocketAddr>,
}

/// Number of a twin's first life among the processes of its number.
const TWINS: u32 = 1000;

impl Gateway {
    /// A loopback address of its own, so that nothing takes its port while it is down.
    fn new(number: u32, twin: bool) -> Gateway {
        let [high, low] = (number as u16 + 1).to_be_bytes();
        let address = SocketAddr::from(([127, if twin { 3 } else { 1 }, high, low], 0));
        Gateway { number, address, process: None, lives: if twin { TWINS } else { 0 }, twin, talks_at: None }
    }

    fn list(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}-{}.list", if self.twin { "twin" } else { "gateway" }, self.number))
    }

    fn start(
        &mut self, options: &Options, register: SocketAddr, links: Option<&Links>, record: &Writer,
    ) -> Result<(), Error> {
        self.lives += 1;
        let number = self.number;
        let log = options.folder.join(format!("gateway-{number}-{}.log", self.lives));
        let log = std::fs::File::create(&log).map_err(io(log.display().to_string()))?;
        let mut command = Command::new(&options.gateway_program);
        command
            .arg("--settings")
            .arg(&options.deployment)
            .args(["--listen", &self.address.to_string(), "--register", &register.to_string()])
            .args(["--number", &number.to_string(), "--seed", &(number * 1000 + self.lives).to_string()])
            .arg("--list")
            .arg(self.list(&options.folder))
            .args(["--log", "json", "--until-stdin-closes"])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log);
        if options.baseline {
            command.arg("--careless");
        }
        for (name, value) in [("--signals", &options.signals), ("--without", &options.disabled_safeguard)] {
            if let Some(value) = value {
                command.args([name, value]);
            }
        }
        let mut own = self.address;
        own.set_port(0);
        let links = links.filter(|links| !links.member_addresses.is_empty());
        if let Some(links) = links {
            command.args(["--fleet-listen", &own.to_string()]);
            for (member, address) in &links.member_addresses {
                command.args(["--member", &format!("{member}={address}")]);
            }
        }
        if !self.twin {
            record.put(Event::GatewayStarted { t: record.clock.now(), gateway: number });
        }
        let mut child = command.spawn().map_err(io(options.gateway_program.display().to_string()))?;
        let (stdin, stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
        let mut lines = BufReader::new(stdout);
        let mut line = String::new();
        lines.read_line(&mut line).map_err(io(format!("gateway {number}")))?;
        let address = line.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
        let Some(address) = address else {
            let status = child.wait().map(|status| status.to_string()).unwrap_or_default();
            return Err(Error::Gateway { number, what: format!("'{}', {status}", line.trim()) });
        };
        self.address = address;
        if let Some(links) = links {
            let mut line = String::new();
            lines.read_line(&mut line).map_err(io(format!("gateway {number}")))?;
            let talks_at: Option<SocketAddr> =
                line.trim().strip_prefix("fleet ").and_then(|address| address.parse().ok());
            let Some(talks_at) = talks_at else {
                return Err(Error::Gateway {
                    number,
                    what: format!("'{}' in place of its fleet's address", line.trim()),
                });
            };
            links.add_process(number, self.lives, talks_at);
            self.talks_at = Some(talks_at);
        }
        self.process = Some((child, stdin, lines));
        Ok(())
    }

    /// A line of the day's script to the process.
    fn say(&mut self, words: &str) {
        if let Some((_, stdin, _)) = &mut self.process {
            let _ = writeln!(stdin, "{words}");
            let _ = stdin.flush();
        }
    }

    fn signal(&self, signal: Signal) {
        if let Some((child, ..)) = &self.process {
            // The process is a child of ours that was not waited for, so its id is its own.
            if let Some(id) = Pid::from_raw(child.id() as i32) {
                let _ = kill_process(id, signal);
            }
        }
    }

    /// Resident memory, KiB.
    fn memory(&self) -> Option<u64> {
        let (child, ..) = self.process.as_ref()?;
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Processor time that it took, and how long it ran, seconds.
    fn processor(&self) -> Option<(f64, f64)> {
        let (child, ..) = self.process.as_ref()?;
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok()?;
        let up = std::fs::read_to_string("/proc/uptime").ok()?;
        // Behind the name, which may hold anything: user and system time and the start, in hundredths of a second.
        let fields: Vec<f64> =
            text.rsplit_once(')')?.1.split_whitespace().map(|word| word.parse().unwrap_or(0.0)).collect();
        let ran = up.split_whitespace().next()?.parse::<f64>().ok()? - fields.get(19)? / 100.0;
        Some(((fields.get(11)? + fields.get(12)?) / 100.0, ran))
    }

    fn kill(&mut self, links: Option<&Links>, record: &Writer) {
        if let Some((mut child, ..)) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            if let (Some(links), Some(talks_at)) = (links, self.talks_at.take()) {
                links.remove_process(self.number, talks_at);
            }
            if self.twin {
                return;
            }
            // Until it is reaped it may still have taken something, on a machine that is slow to kill.
            record.put(Event::GatewayKilled { t: record.clock.now(), gateway: self.number });
        }
    }

    /// Ends it in order and takes its counts.
    fn finish(&mut self) -> Option<serde_json::Value> {
        self.signal(Signal::CONT);
        let (mut child, mut stdin, mut lines) = self.process.take()?;
        let _ = stdin.flush();
        drop(stdin);
        let mut line = String::new();
        let read = lines.read_line(&mut line);
        let _ = child.wait();
        read.ok().and_then(|_| serde_json::from_str(&line).ok())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some((mut child, ..)) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

struct Stage<'a> {
    day: &'a Day,
    deployment: &'a Deployment,
    options: &'a Options,
    record: Writer,
    register: Register,
    fleet: Arc<SharedData>,
    nominal: Arc<BTreeMap<u32, f64>>,
    volumes: Arc<BTreeMap<u32, u64>>,
    targets: BTreeMap<i64, Target>,
    gateways: BTreeMap<u32, Gateway>,
    twins: BTreeMap<u32, Gateway>,
    /// Links between gateways, where they talk; and those to nodes and register, where the day has faults of them.
    links: Option<Links>,
    /// Parts of the data by the names of the nodes that hold them.
    blocks: Arc<Mutex<BTreeMap<String, i64>>>,
    started: u64,
    memory: MemorySamples,
    looked_at: f64,
}

impl Stage<'_> {
    fn target(&mut self, block: i64, cold: bool) -> Result<(), Error> {
        let listener = target::loopback_listener().map_err(io("a target's port"))?;
        self.target_at(block, cold, listener)
    }

    fn target_at(&mut self, block: i64, cold: bool, listener: std::net::TcpListener) -> Result<(), Error> {
        let (fleet, core) = (&self.day.fleet, &self.deployment.core);
        let zone = zone_of(block, self.deployment.zones);
        let bands = self.deployment.rule_parameters.bands.iter();
        let bands = bands.map(|band| target::BandRule::for_target(band, &zone, block)).collect();
        self.started += 1;
        let options = target::Options {
            block,
            zone: zone.clone(),
            cold,
            seed: self.day.seed.wrapping_mul(31).wrapping_add(self.started),
            model: ModelConfig {
                cores: fleet.cores as usize,
                unit_time: fleet.unit_time,
                recent_extent_factor: fleet.run_part,
                recent_extents: 3,
                deferred_write_share: fleet.put_off,
                flush_interval: fleet.flush_every,
                queue_capacity: fleet.queue * fleet.cores as usize,
                start_capacity: core.start_capacity,
                warm_up: fleet.warm_after,
                overload_multiple: core.overload_multiple,
                overload_window: core.overload_window,
                cold_start_units: core.cold_start_units,
                cancel_stops_running: fleet.cancel_stops,
            },
            bands,
            metering_period: self.deployment.metering_period,
            nominal_rates: self.nominal.clone(),
            volumes: self.volumes.clone(),
            accepted_format: target::ACCEPTED_FORMAT,
            shared: self.fleet.clone(),
            work_sigma: 0.4,
        };
        let target = Target::start(options, listener, self.record.clone()).map_err(io("a target"))?;
        let mut blocks = self.blocks.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        blocks.insert(target.node.clone(), block);
        drop(blocks);
        let started = cold.then(|| self.record.clock.now());
        let notice = if cold { fleet.notice * 0.5 } else { 0.0 };
        self.register.set_entry(&target.node, &zone, block, NodeCondition::Ready, started, notice);
        self.targets.insert(block, target);
        Ok(())
    }

    fn fault(&self, kind: FaultKind, on: String, begins: bool) {
        self.record.put(Event::Fault { t: self.record.clock.now(), kind: name_of(kind), on, begins });
    }

    fn act(&mut self, act: &Action) -> Result<(), Error> {
        debug!(?act, "script");
        match act {
            Action::Node { kind, block, size, begins } => {
                let Some(target) = self.targets.get(block) else { return Ok(()) };
                let (on, size, begins) = (target.node.clone(), *size, *begins);
                target.set_faults(|faults| match kind {
                    FaultKind::Slow => faults.slowdown = if begins { size } else { 1.0 },
                    FaultKind::Pauses => faults.pause = if begins { size } else { 0.0 },
                    FaultKind::FastErrors => faults.error_share = if begins { size } else { 0.0 },
                    FaultKind::LostAnswers => faults.lost_share = if begins { size } else { 0.0 },
                    FaultKind::Resets => faults.resets_per_second = if begins { size } else { 0.0 },
                    FaultKind::Refused => faults.refuse_connections = begins,
                    FaultKind::Partition => faults.hold_output = begins,
                    FaultKind::Neighbour => {
                        faults.slowdown = if begins { 1.0 / (1.0 - size.min(0.95)) } else { 1.0 }
                    }
                    FaultKind::HeavyTail => faults.heavy_share = if begins { size } else { 0.0 },
                    FaultKind::Rogue => faults.violation_share = if begins { size } else { 0.0 },
                    FaultKind::LateReports => faults.report_delay = if begins { size } else { 0.0 },
                    _ => {}
                });
                self.fault(*kind, on, begins);
            }
            Action::Drain { block } => self.unlist(*block, NodeCondition::Draining, 0.0),
            Action::KillNode { block } => {
                // The register sees a dead process later than a notice.
                self.unlist(*block, NodeCondition::Removed, self.day.fleet.notice);
                self.targets.remove(block);
            }
            Action::Replace { block } => self.target(*block, true)?,
            Action::Restart { block, after } => {
                let Some(target) = self.targets.remove(block) else { return Ok(()) };
                let address: SocketAddr = target.node.parse().expect("a target's name is its address");
                // The process is gone before its successor binds.
                drop(target);
                std::thread::sleep(Duration::from_secs_f64(*after));
                let listener =
                    std::net::TcpListener::bind(address).map_err(io(format!("{address}, again")))?;
                self.target_at(*block, true, listener)?;
            }
            Action::KillGateway { number } => {
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.kill(self.links.as_ref(), &self.record));
            }
            Action::StartGateway { number } => {
                let register = register_of(self.day, &self.register, self.links.as_ref(), *number)?;
                if let Some(gateway) =
                    self.gateways.get_mut(number).filter(|gateway| gateway.process.is_none())
                {
                    gateway.start(self.options, register, self.links.as_ref(), &self.record)?;
                }
            }
            Action::ForgetGateway { number } => {
                let list = self.gateways.get(number).map(|gateway| gateway.list(&self.options.folder));
                // A process that never had a list has none to lose.
                list.into_iter().for_each(|list| drop(std::fs::remove_file(list)));
            }
            Action::Twin { number, begins } => {
                self.fault(FaultKind::Twins, number.to_string(), *begins);
                if *begins {
                    let register = register_of(self.day, &self.register, self.links.as_ref(), *number)?;
                    let mut twin = Gateway::new(*number, true);
                    twin.start(self.options, register, self.links.as_ref(), &self.record)?;
                    self.twins.insert(*number, twin);
                } else if let Some(mut twin) = self.twins.remove(number) {
                    twin.kill(self.links.as_ref(), &self.record);
                }
            }
            Action::Clock { number, rate, step, begins } => {
                self.fault(FaultKind::Clock, number.to_string(), *begins);
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.say(&format!("clock {rate} {step}")));
            }
            Action::Manner { kind, number, begins } => {
                self.fault(*kind, number.to_string(), *begins);
                let manner = match kind {
                    FaultKind::Shouts if *begins => "shouts",
                    FaultKind::StaleNews if *begins => "stale",
                    _ => "well",
                };
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.say(&format!("signals {manner}")));
            }
            Action::Disk { number, lasts } => {
                self.fault(FaultKind::DiskStands, number.to_string(), true);
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.say(&format!("disk {lasts}")));
            }
            Action::Link { kind, from, to, size, begins } => {
                if let Some(links) = &self.links {
                    links.set_fault(*kind, from, to, *size, *begins);
                }
                let gateways = |ends: &std::collections::BTreeSet<LinkEnd>| {
                    let gateway = |end: &LinkEnd| match end {
                        LinkEnd::Gateway(number) => Some(*number),
                        _ => None,
                    };
                    ends.iter().filter_map(gateway).collect::<Vec<u32>>()
                };
                let (from, to) = (gateways(from), gateways(to));
                let (t, kind) = (self.record.clock.now(), name_of(*kind));
                self.record.put(Event::LinkFault { t, kind, from, to, size: *size, begins: *begins });
            }
            Action::StopGateway { number } | Action::ContinueGateway { number } => {
                let begins = matches!(act, Action::StopGateway { .. });
                let (kind, on) = ("stall".to_string(), number.to_string());
                if let Some(gateway) = self.gateways.get(number).filter(|gateway| gateway.process.is_some()) {
                    gateway.signal(if begins { Signal::STOP } else { Signal::CONT });
                }
                self.record.put(Event::Fault { t: self.record.clock.now(), kind, on, begins });
            }
            Action::Register { kind, size, begins } => {
                match kind {
                    FaultKind::RegisterFails => self.register.set_failing(*begins),
                    _ => self.register.set_delay(if *begins { *size } else { 0.0 }),
                }
                self.fault(*kind, "register".into(), *begins);
            }
        }
        Ok(())
    }

    /// Sleeps until `at`, looking at memory meanwhile; `start` is the day's second 0.
    fn wait_until(&mut self, start: f64, at: f64) {
        loop {
            let now = self.record.clock.now();
            if now - self.looked_at >= LOOK {
                self.looked_at = now;
                for (number, gateway) in &self.gateways {
                    let held = gateway.memory().map(|held| (now - start, held));
                    self.memory.entry(*number).or_default().extend(held);
                }
            }
            if now >= at {
                return;
            }
            std::thread::sleep(Duration::from_secs_f64((at - now).min(1.0)));
        }
    }

    fn unlist(&self, block: i64, condition: NodeCondition, after: f64) {
        if let Some(target) = self.targets.get(&block) {
            let zone = zone_of(block, self.deployment.zones);
            self.register.set_entry(&target.node, &zone, block, condition, None, after);
        }
    }
}

/// A fault's name in the day's form.
fn name_of(kind: FaultKind) -> String {
    let name = serde_json::to_value(kind).ok();
    name.and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
}

/// Whether the day's faults fall on links to nodes or the register, so that these go through the relay.
fn relays_nodes(day: &Day, deployment: &Deployment) -> bool {
    let ends = day
        .fault
        .iter()
        .filter(|fault| fault.kind.affects_links())
        .filter_map(|fault| day.link_ends(deployment, fault).ok());
    let mut ends = ends.flat_map(|(from, to)| from.into_iter().chain(to));
    ends.any(|end| !matches!(end, LinkEnd::Gateway(_)))
}

/// Where a gateway reaches the register.
fn register_of(
    day: &Day, register: &Register, links: Option<&Links>, number: u32,
) -> Result<SocketAddr, Error> {
    let links = links.filter(|_| day.fault.iter().any(|fault| fault.kind.affects_links()));
    match links {
        Some(links) => links
            .relay_address(number, LinkEnd::Register, register.address)
            .map_err(io("a link to the register")),
        None => Ok(register.address),
    }
}

/// Where a day's record goes in its folder.
pub fn record_path(folder: &Path) -> PathBuf {
    folder.join("record.jsonl")
}

impl<'a> Stage<'a> {
    /// Brings up register, targets and gateways.
    fn up(day: &'a Day, deployment: &'a Deployment, options: &'a Options) -> Result<Stage<'a>, Error> {
        std::fs::create_dir_all(&options.folder).map_err(io(options.folder.display().to_string()))?;
        let record = Writer::file(&record_path(&options.folder), Clock::default())?;
        let listener = target::loopback_listener().map_err(io("the register's port"))?;
        let relays = relays_nodes(day, deployment);
        let links = match &deployment.fleet {
            Some(talk) => Some(Links::start(&talk.name, day.fleet.gateways, day.seed, record.clone())),
            None if relays => Some(Links::start("none", 0, day.seed, record.clone())),
            None => None,
        };
        let links = links.transpose().map_err(io("the links"))?;
        let blocks = Arc::<Mutex<BTreeMap<String, i64>>>::default();
        let known = blocks.clone();
        let of_node = move |node: &str| {
            let block = known.lock().unwrap_or_else(std::sync::PoisonError::into_inner).get(node).copied()?;
            Some(LinkEnd::Node(block as u32))
        };
        let via = links.as_ref().filter(|_| relays).map(|links| links.relay_addresses(of_node));
        let mode = deployment.register.mode;
        let register = Register::start_with_addresses(mode, listener, record.clone(), via);
        let nominal =
            deployment.volumes.iter().map(|(id, volume)| (*id, deployment.nominal[volume.plan])).collect();
        let mut stage = Stage {
            day,
            deployment,
            options,
            record: record.clone(),
            register: register.map_err(io("the register"))?,
            fleet: Arc::default(),
            nominal: Arc::new(nominal),
            volumes: Arc::new(deployment.volumes.iter().map(|(id, volume)| (*id, volume.size)).collect()),
            targets: BTreeMap::new(),
            gateways: BTreeMap::new(),
            twins: BTreeMap::new(),
            links,
            blocks,
            started: 0,
            memory: MemorySamples::new(),
            looked_at: f64::NEG_INFINITY,
        };
        for block in 0..i64::from(day.fleet.nodes) {
            stage.target(block, false)?;
        }
        for number in 0..day.fleet.gateways {
            let mut gateway = Gateway::new(number, false);
            let register = register_of(day, &stage.register, stage.links.as_ref(), number)?;
            gateway.start(options, register, stage.links.as_ref(), &record)?;
            stage.gateways.insert(number, gateway);
        }
        Ok(stage)
    }

    /// Ends the gateways in order; what they counted.
    fn down(&mut self) -> GatewayCounts {
        let gateway_counts = self.gateways.iter_mut();
        gateway_counts.filter_map(|(number, gateway)| Some((*number, gateway.finish()?))).collect()
    }
}

/// Keeps a day's fleet up, with no traffic of its own, until `over` says so. `ready` is given the gateways' addresses;
/// the day's troubles begin when `begins` gives a time on the record's clock, and not before.
pub fn run_fleet(
    day: &Day, deployment: &Deployment, options: &Options, ready: impl FnOnce(&[(u32, SocketAddr)]),
    begins: impl Fn() -> Option<f64>, over: impl Fn() -> bool,
) -> Result<GatewayCounts, Error> {
    let mut stage = Stage::up(day, deployment, options)?;
    let addresses: Vec<_> =
        stage.gateways.iter().map(|(number, gateway)| (*number, gateway.address)).collect();
    ready(&addresses);
    let mut acts = script(day, deployment).into_iter().peekable();
    while !over() {
        let now = stage.record.clock.now();
        let into = begins().map_or(f64::NEG_INFINITY, |begins| now - begins);
        while let Some((_, act)) = acts.next_if(|(at, _)| *at <= into) {
            stage.act(&act)?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let gateway_counts = stage.down();
    let record = stage.record.clone();
    drop(stage);
    record.flush()?;
    Ok(gateway_counts)
}

/// Runs the day; gives what the gateways counted, the memory they held and how the clients fared. The record is
/// in the folder.
pub fn run(day: &Day, deployment: &Deployment, options: &Options) -> Result<Outcome, Error> {
    let mut stage = Stage::up(day, deployment, options)?;
    let record = stage.record.clone();
    let asks = Arc::new(traffic(day, deployment));
    info!(
        transactions = asks.len(),
        gateways = day.fleet.gateways,
        nodes = day.fleet.nodes,
        "the day begins"
    );
    let start = record.clock.now() + 0.5;
    let bands = deployment.rule_parameters.bands.iter().zip(&deployment.writes);
    let clients = Clients::start(
        client::Options {
            seed: day.seed ^ 0xc11e,
            bands: bands
                .map(|(band, writes)| client::BandRule { repeat: band.repeat, writes: *writes })
                .collect(),
            retries: day.traffic.retries,
            backoff: 0.1,
            gateways: stage.gateways.iter().map(|(number, gateway)| (*number, gateway.address)).collect(),
            schedule: asks,
            start_time: start,
        },
        record.clone(),
    );
    // What would return behind the end of the day does not.
    for (at, act) in script(day, deployment).into_iter().take_while(|(at, _)| *at <= day.lasts) {
        stage.wait_until(start, start + at);
        stage.act(&act)?;
    }
    stage.wait_until(start, start + day.lasts);
    let longest = deployment.max_outer_limit();
    let latest = start + day.lasts + 2.0 * longest + 3.0;
    while !clients.counts.lock().unwrap().is_done && record.clock.now() < latest {
        std::thread::sleep(Duration::from_millis(20));
    }
    let tally = clients.counts.lock().unwrap().clone();
    if !tally.is_done {
        warn!(open = tally.outstanding, "clients still wait at the end of the day");
    }
    // What still runs at the nodes is given the time to show.
    std::thread::sleep(Duration::from_millis(200));
    drop(clients);
    let link_faults = stage.links.as_ref().map(Links::injected_faults).unwrap_or_default();
    let processor_times =
        stage.gateways.iter().filter_map(|(number, gateway)| Some((*number, gateway.processor()?)));
    let processor_times = processor_times.collect();
    let gateway_counts = stage.down();
    record.flush()?;
    let memory = std::mem::take(&mut stage.memory);
    drop(stage);
    record.flush()?;
    Ok(Outcome { gateway_counts, memory, clients: tally, link_faults, processor_times })
}
