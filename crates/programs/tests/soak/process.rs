//! The gateway processes of a run: starts, signals and restarts them as the platform's specification describes, and samples
//! their memory and descriptors.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use crate::record::{Event, Recorder};
use crate::rig::{exchange, Discovery, Gateway};
use crate::scenario::{DiscoveryAddress, Scenario};

/// Clients keep opening new connections to a process for this long after its SIGTERM.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(400);
/// The specification sends no SIGHUP in a process's first second; the test sends neither SIGTERM nor SIGKILL then either.
const NO_SIGNALS_AFTER_START: Duration = Duration::from_secs(1);
/// A process that is not ready after this time counts as failed to start.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);

/// One slot of the fleet: the current gateway process and its predecessors.
struct Slot {
    gateway: Option<Gateway>,
    address: Option<SocketAddr>,
    started: Instant,
    ready: bool,
    /// When the current process received SIGTERM or SIGKILL.
    terminated: Option<Instant>,
    /// Logs of the processes that have ended.
    logs: Vec<String>,
}

/// The gateway processes of a run, and the discovery agent of each.
pub struct Fleet<'a> {
    scenario: &'a Scenario,
    pub recorder: Recorder,
    pub discoveries: Vec<Discovery>,
    /// Address of a discovery agent that sends endless blank bytes.
    pub flooding_discovery: SocketAddr,
    slots: Vec<Mutex<Slot>>,
}

impl<'a> Fleet<'a> {
    pub fn new(
        scenario: &'a Scenario, recorder: Recorder, discoveries: Vec<Discovery>,
        flooding_discovery: SocketAddr,
    ) -> Self {
        let empty_slot = || Slot {
            gateway: None,
            address: None,
            started: Instant::now(),
            ready: false,
            terminated: None,
            logs: Vec::new(),
        };
        let slots = discoveries.iter().map(|_| Mutex::new(empty_slot())).collect();
        Fleet { scenario, recorder, discoveries, flooding_discovery, slots }
    }

    fn slot(&self, process: usize) -> MutexGuard<'_, Slot> {
        self.slots[process].lock().expect("no panic")
    }

    /// Starts a process and waits until it is ready, for at most `STARTUP_TIMEOUT`.
    pub fn start(&self, process: usize) {
        let discovery = &self.discoveries[process];
        let initial_list = discovery.list.lock().expect("no panic").clone();
        self.recorder.record(Event::Started { process });
        let began = Instant::now();
        let gateway = Gateway::start(&initial_list, discovery.address, |config| self.configure(config));
        let address = gateway.address;
        {
            let mut slot = self.slot(process);
            slot.gateway = Some(gateway);
            slot.address = Some(address);
            (slot.started, slot.ready, slot.terminated) = (began, false, None);
        }
        while began.elapsed() < STARTUP_TIMEOUT {
            let up = TcpStream::connect(address).map(|mut stream| {
                let _ = stream.set_read_timeout(Some(STARTUP_TIMEOUT));
                exchange(&mut stream, "GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").0
            });
            if matches!(up, Ok(200)) {
                break;
            }
        }
        self.recorder.record(Event::Ready { process, after: began.elapsed().as_secs_f64() });
        self.slot(process).ready = true;
    }

    /// Writes the settings of the scenario into a process's configuration.
    fn configure(&self, config: &mut Value) {
        let settings = &self.scenario.settings;
        for (index, deadline) in settings.deadlines.iter().enumerate() {
            let class = &mut config["settings"]["Grades"][index];
            class["Deadline"] = json!(deadline);
            class["Objective"] = json!(deadline * 0.7);
            class["Window"] = json!(settings.window);
        }
        config["settings"]["Balancers"] = json!(self.scenario.processes);
        config["settings"]["Ceilings"]["MayCancel"] = json!(settings.may_cancel);
        config["settings"]["Rules"]["DrainGrace"] = json!(settings.drain_grace);
        config["limits"]["memory_mb"] = json!(settings.memory_mb);
        config["limits"]["sockets"] = json!(settings.sockets);
        if let Some(limit) = settings.limit {
            let plan = &mut config["settings"]["Policies"][1];
            plan["Cap"] = json!(limit.rate);
            plan["CapSlack"] = json!(limit.slack);
            plan["MostAtOnce"] = json!(limit.burst);
        }
    }

    /// Address for new connections to this process. `None` while it is down or not ready, and from
    /// `NEW_CONNECTIONS_AFTER_TERM` after its SIGTERM on.
    pub fn address(&self, process: usize) -> Option<SocketAddr> {
        let slot = self.slot(process);
        let accepts_connections =
            slot.terminated.is_none_or(|since| since.elapsed() < NEW_CONNECTIONS_AFTER_TERM);
        slot.address.filter(|_| slot.ready && accepts_connections)
    }

    /// Whether the process has received SIGTERM or SIGKILL.
    pub fn is_terminating(&self, process: usize) -> bool {
        self.slot(process).terminated.is_some()
    }

    /// Sends a signal to a process. Returns false if the process is not running.
    fn signal(&self, process: usize, signal: Signal) -> bool {
        let mut slot = self.slot(process);
        let Some(gateway) = slot.gateway.as_mut() else { return false };
        let is_running = matches!(gateway.child.try_wait(), Ok(None));
        if is_running {
            gateway.send_signal(signal);
        }
        is_running
    }

    /// Whether SIGHUP, SIGTERM or SIGKILL may be sent to this process now. If so and `terminate` is set, marks the process as
    /// terminating.
    fn may_signal(&self, process: usize, terminate: bool) -> bool {
        let mut slot = self.slot(process);
        let allowed =
            slot.ready && slot.terminated.is_none() && slot.started.elapsed() > NO_SIGNALS_AFTER_START;
        if allowed && terminate {
            slot.terminated = Some(Instant::now());
        }
        allowed
    }

    /// Sends SIGTERM, then SIGKILL at the earliest moment that the specification allows, and starts a new process.
    pub fn restart(&self, process: usize, sigterm_twice: bool, reload: bool) -> bool {
        if !self.may_signal(process, true) {
            return false;
        }
        let began = Instant::now();
        self.recorder.record(Event::Terminated { process });
        self.signal(process, Signal::TERM);
        if sigterm_twice {
            thread::sleep(Duration::from_millis(100));
            self.signal(process, Signal::TERM);
            self.recorder.record_occurrence("SIGTERM twice");
        }
        if reload {
            thread::sleep(Duration::from_millis(50));
            if self.signal(process, Signal::HUP) {
                self.recorder.record_occurrence("SIGHUP after SIGTERM");
            }
        }
        self.kill_at(process, began + Duration::from_secs_f64(self.scenario.sigkill_delay()));
        self.start(process);
        true
    }

    /// Waits until the process has exited, and kills it if it has not exited by the deadline.
    fn kill_at(&self, process: usize, deadline: Instant) {
        let mut gateway = loop {
            let mut slot = self.slot(process);
            let ended = slot.gateway.as_mut().and_then(|gateway| gateway.child.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.recorder.record(Event::Exited { process, code: status.code() });
                break slot.gateway.take().expect("a started process");
            }
            if Instant::now() >= deadline {
                self.recorder.record(Event::Killed { process });
                self.recorder.record_occurrence("alive at SIGKILL");
                break slot.gateway.take().expect("a started process");
            }
            drop(slot);
            thread::sleep(Duration::from_millis(1));
        };
        let _ = gateway.child.kill();
        self.collect_log(process, gateway);
    }

    /// Sends SIGKILL without SIGTERM and starts a new process.
    pub fn crash(&self, process: usize) -> bool {
        if !self.may_signal(process, true) {
            return false;
        }
        let gateway = {
            let mut slot = self.slot(process);
            // The kill closes the clients' connections, so its event has to be recorded before theirs.
            self.recorder.record(Event::Killed { process });
            let mut gateway = slot.gateway.take().expect("a running process");
            let _ = gateway.child.kill();
            gateway
        };
        self.collect_log(process, gateway);
        self.start(process);
        true
    }

    /// Waits for a process to end, stores its log, and records the panics in it.
    fn collect_log(&self, process: usize, mut gateway: Gateway) {
        let _ = gateway.child.wait();
        for line in gateway.log_lines_with("panicked") {
            self.recorder.record(Event::Panicked { process, line });
        }
        let log = gateway.log_lines_with("").join("\n");
        self.slot(process).logs.push(log);
    }

    /// Sends a series of SIGHUP, each after changing the address of discovery in the configuration.
    pub fn reload(&self, process: usize, addresses: &[DiscoveryAddress]) -> bool {
        for address in addresses {
            if !self.may_signal(process, false) {
                return false;
            }
            let discovery = match address {
                DiscoveryAddress::Unreachable => unused_address(),
                DiscoveryAddress::Flooding => self.flooding_discovery,
                DiscoveryAddress::Original => self.discoveries[process].address,
            };
            let Some(config) = self.slot(process).gateway.as_ref().map(|gateway| gateway.config_path.clone())
            else {
                return false;
            };
            let text = std::fs::read(&config).expect("its file");
            let mut value: Value = serde_json::from_slice(&text).expect("JSON");
            value["discovery"] = json!(discovery.to_string());
            std::fs::write(&config, value.to_string()).expect("a file");
            self.signal(process, Signal::HUP);
            thread::sleep(Duration::from_millis(150));
        }
        true
    }

    /// Stops the process with SIGSTOP for this time, seconds.
    pub fn pause(&self, process: usize, duration: f64) -> bool {
        if !self.signal(process, Signal::STOP) {
            return false;
        }
        let began = Instant::now();
        thread::sleep(Duration::from_secs_f64(duration));
        self.signal(process, Signal::CONT);
        let event = Event::Paused { process, duration: began.elapsed().as_secs_f64() };
        self.recorder.record_at(began, event);
        true
    }

    /// Records the memory and descriptors that each process uses now.
    pub fn sample_resources(&self) {
        for process in 0..self.slots.len() {
            let id = self.slot(process).gateway.as_ref().map(|gateway| gateway.child.id());
            let Some((resident_kb, descriptors)) = id.and_then(resource_use) else { continue };
            self.recorder.record(Event::ResourcesSampled { process, resident_kb, descriptors });
        }
    }

    /// Kills all processes and writes their logs beside the transcript.
    pub fn stop_all(&self, folder: &Path) {
        for process in 0..self.slots.len() {
            let gateway = self.slot(process).gateway.take();
            if let Some(mut gateway) = gateway {
                let _ = gateway.child.kill();
                self.collect_log(process, gateway);
            }
            let logs = self.slot(process).logs.join("\n--- next process ---\n");
            std::fs::write(folder.join(format!("process-{process}.log")), logs).expect("a file");
        }
    }
}

/// Resident memory in KiB and number of open descriptors of a process; `None` if it has ended.
fn resource_use(process: u32) -> Option<(usize, usize)> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident = line.trim().split(' ').next()?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    Some((resident, descriptors))
}

/// A loopback address on which nothing listens.
fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}
