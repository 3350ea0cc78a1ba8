//! Runs a day: starts the gateways as processes and the simulated clients, nodes and register on threads of this process,
//! and applies each step of the script at its time.

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

/// Reason why a day could not be run.
#[derive(Debug, Error)]
pub enum Error {
    /// An operation of the system failed; `context` names what it concerned.
    #[error("{context}: {source}")]
    Io { context: String, source: std::io::Error },
    /// A gateway printed something else than its addresses when it started.
    #[error("gateway {number} did not start: {problem}")]
    Gateway { number: u32, problem: String },
    /// The record could not be opened or written.
    #[error(transparent)]
    Record(#[from] quaypath_record::Error),
}

fn io_error(context: impl Into<String>) -> impl FnOnce(std::io::Error) -> Error {
    let context = context.into();
    |source| Error::Io { context, source }
}

/// Options of a run, the same for all gateways.
pub struct Options {
    /// Path of the gateway program.
    pub gateway_program: PathBuf,
    /// Path of the deployment file that the gateways read.
    pub deployment: PathBuf,
    /// Folder for the record, the node lists and the logs.
    pub folder: PathBuf,
    /// Run the baseline that keeps no rule in the gateways.
    pub baseline: bool,
    /// What the gateways report and lend to each other, instead of the value in the settings.
    pub signals: Option<String>,
    /// Name of a safeguard that is disabled in the gateways.
    pub disabled_safeguard: Option<String>,
}

/// Counts that each gateway reported at its end, by gateway number. They are only printed; the verdict never depends on
/// them.
pub type GatewayCounts = BTreeMap<u32, serde_json::Value>;

/// Samples of the resident memory of each gateway process, by gateway number: seconds from the start of the day, and KiB.
pub type MemorySamples = BTreeMap<u32, Vec<(f64, u64)>>;

/// Results of a day in addition to its record.
pub struct Outcome {
    /// Counts of the gateways that ended in order.
    pub gateway_counts: GatewayCounts,
    /// Memory of the gateways.
    pub memory: MemorySamples,
    /// Counts of the clients.
    pub clients: ClientCounts,
    /// Number of times that a link fault was injected, by kind.
    pub link_faults: BTreeMap<String, u64>,
    /// Processor time and running time of each gateway process, seconds.
    pub processor_times: BTreeMap<u32, (f64, f64)>,
}

/// Interval between two samples of the memory of the gateways, seconds.
const MEMORY_SAMPLE_INTERVAL: f64 = 5.0;

/// A gateway and its process, if it runs.
struct Gateway {
    number: u32,
    address: SocketAddr,
    /// The process with its standard input and output.
    process: Option<(Child, ChildStdin, BufReader<std::process::ChildStdout>)>,
    /// Number of times that the process was started; a duplicate counts from `DUPLICATE_INCARNATIONS`.
    incarnation: u32,
    /// Whether this is a second process with the number of another gateway.
    is_duplicate: bool,
    /// Address from which it sends datagrams to the fleet.
    fleet_address: Option<SocketAddr>,
}

/// Incarnations of a duplicate process are counted from here, so that they differ from those of the gateway with its
/// number.
const DUPLICATE_INCARNATIONS: u32 = 1000;

impl Gateway {
    /// Gives the gateway a loopback address of its own, so that no other socket can take its port while it is down.
    fn new(number: u32, is_duplicate: bool) -> Gateway {
        let [high, low] = (number as u16 + 1).to_be_bytes();
        let address = SocketAddr::from(([127, if is_duplicate { 3 } else { 1 }, high, low], 0));
        Gateway {
            number,
            address,
            process: None,
            incarnation: if is_duplicate { DUPLICATE_INCARNATIONS } else { 0 },
            is_duplicate,
            fleet_address: None,
        }
    }

    fn list_path(&self, folder: &Path) -> PathBuf {
        folder.join(format!("{}-{}.list", if self.is_duplicate { "twin" } else { "gateway" }, self.number))
    }

    /// Starts the process and waits until it prints its addresses.
    fn start(
        &mut self, options: &Options, register: SocketAddr, links: Option<&Links>, record: &Writer,
    ) -> Result<(), Error> {
        self.incarnation += 1;
        let number = self.number;
        let log = options.folder.join(format!("gateway-{number}-{}.log", self.incarnation));
        let log = std::fs::File::create(&log).map_err(io_error(log.display().to_string()))?;
        let mut command = Command::new(&options.gateway_program);
        command
            .arg("--settings")
            .arg(&options.deployment)
            .args(["--listen", &self.address.to_string(), "--register", &register.to_string()])
            .args([
                "--number",
                &number.to_string(),
                "--seed",
                &(number * 1000 + self.incarnation).to_string(),
            ])
            .arg("--list")
            .arg(self.list_path(&options.folder))
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
        let mut fleet_listen = self.address;
        fleet_listen.set_port(0);
        let links = links.filter(|links| !links.member_addresses.is_empty());
        if let Some(links) = links {
            command.args(["--fleet-listen", &fleet_listen.to_string()]);
            for (member, address) in &links.member_addresses {
                command.args(["--member", &format!("{member}={address}")]);
            }
        }
        if !self.is_duplicate {
            record.put(Event::GatewayStarted { t: record.clock.now(), gateway: number });
        }
        let mut child = command.spawn().map_err(io_error(options.gateway_program.display().to_string()))?;
        let (stdin, stdout) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
        let mut lines = BufReader::new(stdout);
        let mut line = String::new();
        lines.read_line(&mut line).map_err(io_error(format!("gateway {number}")))?;
        let address = line.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
        let Some(address) = address else {
            let status = child.wait().map(|status| status.to_string()).unwrap_or_default();
            return Err(Error::Gateway {
                number,
                problem: format!("printed '{}' instead of its address; {status}", line.trim()),
            });
        };
        self.address = address;
        if let Some(links) = links {
            let mut line = String::new();
            lines.read_line(&mut line).map_err(io_error(format!("gateway {number}")))?;
            let fleet_address: Option<SocketAddr> =
                line.trim().strip_prefix("fleet ").and_then(|address| address.parse().ok());
            let Some(fleet_address) = fleet_address else {
                return Err(Error::Gateway {
                    number,
                    problem: format!("printed '{}' instead of the address for its fleet", line.trim()),
                });
            };
            links.add_process(number, self.incarnation, fleet_address);
            self.fleet_address = Some(fleet_address);
        }
        self.process = Some((child, stdin, lines));
        Ok(())
    }

    /// Writes a command as one line to the standard input of the process.
    fn send_command(&mut self, command: &str) {
        if let Some((_, stdin, _)) = &mut self.process {
            let _ = writeln!(stdin, "{command}");
            let _ = stdin.flush();
        }
    }

    /// Sends a signal to the process if it runs.
    fn send_signal(&self, signal: Signal) {
        if let Some((child, ..)) = &self.process {
            // The process is a child that was not yet waited for, so the system has not reused its id.
            if let Some(id) = Pid::from_raw(child.id() as i32) {
                let _ = kill_process(id, signal);
            }
        }
    }

    /// Resident memory of the process, KiB.
    fn memory(&self) -> Option<u64> {
        let (child, ..) = self.process.as_ref()?;
        let text = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Processor time and running time of the process, seconds.
    fn processor_time(&self) -> Option<(f64, f64)> {
        let (child, ..) = self.process.as_ref()?;
        let text = std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok()?;
        let uptime = std::fs::read_to_string("/proc/uptime").ok()?;
        // The fields are counted from the end of the process name, which may contain any character: user time, system time
        // and start time, in hundredths of a second.
        let fields: Vec<f64> =
            text.rsplit_once(')')?.1.split_whitespace().map(|field| field.parse().unwrap_or(0.0)).collect();
        let running_time = uptime.split_whitespace().next()?.parse::<f64>().ok()? - fields.get(19)? / 100.0;
        Some(((fields.get(11)? + fields.get(12)?) / 100.0, running_time))
    }

    /// Kills the process if it runs and waits for its end. The kill is recorded unless the process is a duplicate.
    fn kill(&mut self, links: Option<&Links>, record: &Writer) {
        if let Some((mut child, ..)) = self.process.take() {
            let _ = child.kill();
            let _ = child.wait();
            if let (Some(links), Some(fleet_address)) = (links, self.fleet_address.take()) {
                links.remove_process(self.number, fleet_address);
            }
            if self.is_duplicate {
                return;
            }
            // The kill is recorded after the process was waited for, because a process on a slow machine may still accept
            // requests until then.
            record.put(Event::GatewayKilled { t: record.clock.now(), gateway: self.number });
        }
    }

    /// Ends the process by closing its standard input, and returns the counts that it prints.
    fn finish(&mut self) -> Option<serde_json::Value> {
        self.send_signal(Signal::CONT);
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

/// The processes and threads of a running day.
struct TestBed<'a> {
    day: &'a Day,
    deployment: &'a Deployment,
    options: &'a Options,
    record: Writer,
    register: Register,
    shared_data: Arc<SharedData>,
    nominal: Arc<BTreeMap<u32, f64>>,
    volumes: Arc<BTreeMap<u32, u64>>,
    targets: BTreeMap<i64, Target>,
    gateways: BTreeMap<u32, Gateway>,
    /// Duplicate processes, by the number of their gateway.
    duplicates: BTreeMap<u32, Gateway>,
    /// Links between gateways if the deployment has a fleet, and links to nodes and the register if the day has faults of
    /// these.
    links: Option<Links>,
    /// Blocks by the names of the nodes that hold them.
    blocks: Arc<Mutex<BTreeMap<String, i64>>>,
    /// Number of targets started so far; makes the seed of each different.
    targets_started: u64,
    memory: MemorySamples,
    /// Time of the last sample of memory, on the clock of the record.
    memory_sampled_at: f64,
}

impl TestBed<'_> {
    /// Starts a node for `block` on a new port, and lists it in the register.
    fn start_target(&mut self, block: i64, cold: bool) -> Result<(), Error> {
        let listener = target::loopback_listener().map_err(io_error("opening a port for a target"))?;
        self.start_target_at(block, cold, listener)
    }

    fn start_target_at(
        &mut self, block: i64, cold: bool, listener: std::net::TcpListener,
    ) -> Result<(), Error> {
        let (fleet, core) = (&self.day.fleet, &self.deployment.core);
        let zone = zone_of(block, self.deployment.zones);
        let bands = self.deployment.rule_parameters.bands.iter();
        let bands = bands.map(|band| target::BandRule::for_target(band, &zone, block)).collect();
        self.targets_started += 1;
        let options = target::Options {
            block,
            zone: zone.clone(),
            cold,
            seed: self.day.seed.wrapping_mul(31).wrapping_add(self.targets_started),
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
            shared: self.shared_data.clone(),
            work_sigma: 0.4,
        };
        let target =
            Target::start(options, listener, self.record.clone()).map_err(io_error("starting a target"))?;
        let mut blocks = self.blocks.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        blocks.insert(target.node.clone(), block);
        drop(blocks);
        let started = cold.then(|| self.record.clock.now());
        let notice = if cold { fleet.notice * 0.5 } else { 0.0 };
        self.register.set_entry(&target.node, &zone, block, NodeCondition::Ready, started, notice);
        self.targets.insert(block, target);
        Ok(())
    }

    /// Records the beginning or the end of a fault.
    fn record_fault(&self, kind: FaultKind, on: String, begins: bool) {
        self.record.put(Event::Fault { t: self.record.clock.now(), kind: fault_name(kind), on, begins });
    }

    /// Applies one step of the script.
    fn apply(&mut self, action: &Action) -> Result<(), Error> {
        debug!(act = ?action, "script");
        match action {
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
                self.record_fault(*kind, on, begins);
            }
            Action::Drain { block } => self.list_condition(*block, NodeCondition::Draining, 0.0),
            Action::KillNode { block } => {
                // The register notices a dead process only after a delay.
                self.list_condition(*block, NodeCondition::Removed, self.day.fleet.notice);
                self.targets.remove(block);
            }
            Action::Replace { block } => self.start_target(*block, true)?,
            Action::Restart { block, after } => {
                let Some(target) = self.targets.remove(block) else { return Ok(()) };
                let address: SocketAddr = target.node.parse().expect("a target's name is its address");
                // The target stops before its successor binds the same address.
                drop(target);
                std::thread::sleep(Duration::from_secs_f64(*after));
                let listener = std::net::TcpListener::bind(address)
                    .map_err(io_error(format!("binding {address} again")))?;
                self.start_target_at(*block, true, listener)?;
            }
            Action::KillGateway { number } => {
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.kill(self.links.as_ref(), &self.record));
            }
            Action::StartGateway { number } => {
                let register = register_address(self.day, &self.register, self.links.as_ref(), *number)?;
                if let Some(gateway) =
                    self.gateways.get_mut(number).filter(|gateway| gateway.process.is_none())
                {
                    gateway.start(self.options, register, self.links.as_ref(), &self.record)?;
                }
            }
            Action::ForgetGateway { number } => {
                let list = self.gateways.get(number).map(|gateway| gateway.list_path(&self.options.folder));
                // A process that never stored a list has no file, so an error is ignored.
                list.into_iter().for_each(|list| drop(std::fs::remove_file(list)));
            }
            Action::Twin { number, begins } => {
                self.record_fault(FaultKind::Twins, number.to_string(), *begins);
                if *begins {
                    let register = register_address(self.day, &self.register, self.links.as_ref(), *number)?;
                    let mut duplicate = Gateway::new(*number, true);
                    duplicate.start(self.options, register, self.links.as_ref(), &self.record)?;
                    self.duplicates.insert(*number, duplicate);
                } else if let Some(mut duplicate) = self.duplicates.remove(number) {
                    duplicate.kill(self.links.as_ref(), &self.record);
                }
            }
            Action::Clock { number, rate, step, begins } => {
                self.record_fault(FaultKind::Clock, number.to_string(), *begins);
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.send_command(&format!("clock {rate} {step}")));
            }
            Action::Manner { kind, number, begins } => {
                self.record_fault(*kind, number.to_string(), *begins);
                let behavior = match kind {
                    FaultKind::Shouts if *begins => "shouts",
                    FaultKind::StaleNews if *begins => "stale",
                    _ => "well",
                };
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.send_command(&format!("signals {behavior}")));
            }
            Action::Disk { number, lasts } => {
                self.record_fault(FaultKind::DiskStands, number.to_string(), true);
                let gateway = self.gateways.get_mut(number);
                gateway.into_iter().for_each(|gateway| gateway.send_command(&format!("disk {lasts}")));
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
                let (t, kind) = (self.record.clock.now(), fault_name(*kind));
                self.record.put(Event::LinkFault { t, kind, from, to, size: *size, begins: *begins });
            }
            Action::StopGateway { number } | Action::ContinueGateway { number } => {
                let begins = matches!(action, Action::StopGateway { .. });
                let (kind, on) = ("stall".to_string(), number.to_string());
                if let Some(gateway) = self.gateways.get(number).filter(|gateway| gateway.process.is_some()) {
                    gateway.send_signal(if begins { Signal::STOP } else { Signal::CONT });
                }
                self.record.put(Event::Fault { t: self.record.clock.now(), kind, on, begins });
            }
            Action::Register { kind, size, begins } => {
                match kind {
                    FaultKind::RegisterFails => self.register.set_failing(*begins),
                    _ => self.register.set_delay(if *begins { *size } else { 0.0 }),
                }
                self.record_fault(*kind, "register".into(), *begins);
            }
        }
        Ok(())
    }

    /// Sleeps until `at` and samples memory meanwhile; `at` and `start`, the start of the day, are on the clock of the record.
    fn wait_until(&mut self, start: f64, at: f64) {
        loop {
            let now = self.record.clock.now();
            if now - self.memory_sampled_at >= MEMORY_SAMPLE_INTERVAL {
                self.memory_sampled_at = now;
                for (number, gateway) in &self.gateways {
                    let sample = gateway.memory().map(|kib| (now - start, kib));
                    self.memory.entry(*number).or_default().extend(sample);
                }
            }
            if now >= at {
                return;
            }
            std::thread::sleep(Duration::from_secs_f64((at - now).min(1.0)));
        }
    }

    /// Reports a condition of the node that holds `block` to the register, which shows it `after` seconds later.
    fn list_condition(&self, block: i64, condition: NodeCondition, after: f64) {
        if let Some(target) = self.targets.get(&block) {
            let zone = zone_of(block, self.deployment.zones);
            self.register.set_entry(&target.node, &zone, block, condition, None, after);
        }
    }
}

/// Name of a kind of fault as it is written in a day's file.
fn fault_name(kind: FaultKind) -> String {
    let name = serde_json::to_value(kind).ok();
    name.and_then(|name| name.as_str().map(String::from)).unwrap_or_default()
}

/// Whether the day has faults of links to nodes or the register, so that these links must go through the relay.
fn relays_nodes(day: &Day, deployment: &Deployment) -> bool {
    let ends = day
        .fault
        .iter()
        .filter(|fault| fault.kind.affects_links())
        .filter_map(|fault| day.link_ends(deployment, fault).ok());
    let mut ends = ends.flat_map(|(from, to)| from.into_iter().chain(to));
    ends.any(|end| !matches!(end, LinkEnd::Gateway(_)))
}

/// Address at which a gateway reaches the register.
fn register_address(
    day: &Day, register: &Register, links: Option<&Links>, number: u32,
) -> Result<SocketAddr, Error> {
    let links = links.filter(|_| day.fault.iter().any(|fault| fault.kind.affects_links()));
    match links {
        Some(links) => links
            .relay_address(number, LinkEnd::Register, register.address)
            .map_err(io_error("linking a gateway to the register")),
        None => Ok(register.address),
    }
}

/// Path of the record in the folder of a day.
pub fn record_path(folder: &Path) -> PathBuf {
    folder.join("record.jsonl")
}

impl<'a> TestBed<'a> {
    /// Starts the register, the targets and the gateways.
    fn start_all(
        day: &'a Day, deployment: &'a Deployment, options: &'a Options,
    ) -> Result<TestBed<'a>, Error> {
        std::fs::create_dir_all(&options.folder).map_err(io_error(options.folder.display().to_string()))?;
        let record = Writer::file(&record_path(&options.folder), Clock::default())?;
        let listener = target::loopback_listener().map_err(io_error("opening a port for the register"))?;
        let relays = relays_nodes(day, deployment);
        let links = match &deployment.fleet {
            Some(fleet_settings) => {
                Some(Links::start(&fleet_settings.name, day.fleet.gateways, day.seed, record.clone()))
            }
            None if relays => Some(Links::start("none", 0, day.seed, record.clone())),
            None => None,
        };
        let links = links.transpose().map_err(io_error("starting the links"))?;
        let blocks = Arc::<Mutex<BTreeMap<String, i64>>>::default();
        let block_of_node = blocks.clone();
        let link_end = move |node: &str| {
            let block =
                block_of_node.lock().unwrap_or_else(std::sync::PoisonError::into_inner).get(node).copied()?;
            Some(LinkEnd::Node(block as u32))
        };
        let relay = links.as_ref().filter(|_| relays).map(|links| links.relay_addresses(link_end));
        let mode = deployment.register.mode;
        let register = Register::start_with_addresses(mode, listener, record.clone(), relay);
        let nominal =
            deployment.volumes.iter().map(|(id, volume)| (*id, deployment.nominal[volume.plan])).collect();
        let mut test_bed = TestBed {
            day,
            deployment,
            options,
            record: record.clone(),
            register: register.map_err(io_error("starting the register"))?,
            shared_data: Arc::default(),
            nominal: Arc::new(nominal),
            volumes: Arc::new(deployment.volumes.iter().map(|(id, volume)| (*id, volume.size)).collect()),
            targets: BTreeMap::new(),
            gateways: BTreeMap::new(),
            duplicates: BTreeMap::new(),
            links,
            blocks,
            targets_started: 0,
            memory: MemorySamples::new(),
            memory_sampled_at: f64::NEG_INFINITY,
        };
        for block in 0..i64::from(day.fleet.nodes) {
            test_bed.start_target(block, false)?;
        }
        for number in 0..day.fleet.gateways {
            let mut gateway = Gateway::new(number, false);
            let register = register_address(day, &test_bed.register, test_bed.links.as_ref(), number)?;
            gateway.start(options, register, test_bed.links.as_ref(), &record)?;
            test_bed.gateways.insert(number, gateway);
        }
        Ok(test_bed)
    }

    /// Ends the gateways in order and returns their counts.
    fn finish_gateways(&mut self) -> GatewayCounts {
        let gateways = self.gateways.iter_mut();
        gateways.filter_map(|(number, gateway)| Some((*number, gateway.finish()?))).collect()
    }
}

/// Runs the fleet of a day without traffic until `ended` returns true. Calls `ready` with the numbers and addresses of the
/// gateways. The faults of the day begin at the time that `begins` returns, on the clock of the record; while it returns
/// `None`, they have not begun.
pub fn run_fleet(
    day: &Day, deployment: &Deployment, options: &Options, ready: impl FnOnce(&[(u32, SocketAddr)]),
    begins: impl Fn() -> Option<f64>, ended: impl Fn() -> bool,
) -> Result<GatewayCounts, Error> {
    let mut test_bed = TestBed::start_all(day, deployment, options)?;
    let addresses: Vec<_> =
        test_bed.gateways.iter().map(|(number, gateway)| (*number, gateway.address)).collect();
    ready(&addresses);
    let mut actions = script(day, deployment).into_iter().peekable();
    while !ended() {
        let now = test_bed.record.clock.now();
        let day_time = begins().map_or(f64::NEG_INFINITY, |begins| now - begins);
        while let Some((_, action)) = actions.next_if(|(at, _)| *at <= day_time) {
            test_bed.apply(&action)?;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let gateway_counts = test_bed.finish_gateways();
    let record = test_bed.record.clone();
    drop(test_bed);
    record.flush()?;
    Ok(gateway_counts)
}

/// Runs a whole day. The record is written to `record_path` of the folder.
pub fn run(day: &Day, deployment: &Deployment, options: &Options) -> Result<Outcome, Error> {
    let mut test_bed = TestBed::start_all(day, deployment, options)?;
    let record = test_bed.record.clone();
    let requests = Arc::new(traffic(day, deployment));
    info!(
        transactions = requests.len(),
        gateways = day.fleet.gateways,
        nodes = day.fleet.nodes,
        "day started"
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
            gateways: test_bed.gateways.iter().map(|(number, gateway)| (*number, gateway.address)).collect(),
            schedule: requests,
            start_time: start,
        },
        record.clone(),
    );
    // Steps after the end of the day, such as restarts, are not applied.
    for (at, action) in script(day, deployment).into_iter().take_while(|(at, _)| *at <= day.lasts) {
        test_bed.wait_until(start, start + at);
        test_bed.apply(&action)?;
    }
    test_bed.wait_until(start, start + day.lasts);
    let max_outer_limit = deployment.max_outer_limit();
    let deadline = start + day.lasts + 2.0 * max_outer_limit + 3.0;
    while !clients.counts.lock().unwrap().is_done && record.clock.now() < deadline {
        std::thread::sleep(Duration::from_millis(20));
    }
    let client_counts = clients.counts.lock().unwrap().clone();
    if !client_counts.is_done {
        warn!(
            open = client_counts.outstanding,
            "clients still wait for answers after the end of the day; stopping them"
        );
    }
    // Gives shots that are still running at the nodes time to appear in the record.
    std::thread::sleep(Duration::from_millis(200));
    drop(clients);
    let link_faults = test_bed.links.as_ref().map(Links::injected_faults).unwrap_or_default();
    let processor_times =
        test_bed.gateways.iter().filter_map(|(number, gateway)| Some((*number, gateway.processor_time()?)));
    let processor_times = processor_times.collect();
    let gateway_counts = test_bed.finish_gateways();
    record.flush()?;
    let memory = std::mem::take(&mut test_bed.memory);
    drop(test_bed);
    record.flush()?;
    Ok(Outcome { gateway_counts, memory, clients: client_counts, link_faults, processor_times })
}
