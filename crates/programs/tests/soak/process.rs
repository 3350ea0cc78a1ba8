//! The gateway's processes of a run: started, signalled, restarted as the platform's page has it, and looked at.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::{json, Value};

use crate::record::{Event, Recorder};
use crate::rig::{exchange, Discovery, Gateway};
use crate::script::{Address, Script};

/// New connections keep coming for so long behind SIGTERM.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// No SIGHUP comes in a process's first second.
const FIRST_SECOND: Duration = Duration::from_secs(1);
/// A process that is not up by then never will be.
const NEVER_READY: Duration = Duration::from_secs(30);

/// One place of the fleet: a process, and those that take its place.
struct Slot {
    gateway: Option<Gateway>,
    address: Option<SocketAddr>,
    started: Instant,
    ready: bool,
    terminated: Option<Instant>,
    /// Logs of the processes before.
    logs: Vec<String>,
}

pub struct Fleet<'a> {
    script: &'a Script,
    pub recorder: Recorder,
    pub discoveries: Vec<Discovery>,
    pub flooding: SocketAddr,
    slots: Vec<Mutex<Slot>>,
}

impl<'a> Fleet<'a> {
    pub fn new(
        script: &'a Script, recorder: Recorder, discoveries: Vec<Discovery>, flooding: SocketAddr,
    ) -> Self {
        let slot = || Slot {
            gateway: None,
            address: None,
            started: Instant::now(),
            ready: false,
            terminated: None,
            logs: Vec::new(),
        };
        let slots = discoveries.iter().map(|_| Mutex::new(slot())).collect();
        Fleet { script, recorder, discoveries, flooding, slots }
    }

    fn slot(&self, process: usize) -> MutexGuard<'_, Slot> {
        self.slots[process].lock().expect("no panic")
    }

    /// Starts a process, and waits until it is up.
    pub fn start(&self, process: usize) {
        let discovery = &self.discoveries[process];
        let known = discovery.list.lock().expect("no panic").clone();
        self.recorder.note(Event::Started { process });
        let began = Instant::now();
        let gateway = Gateway::start(&known, discovery.address, |config| self.configure(config));
        let address = gateway.address;
        {
            let mut slot = self.slot(process);
            slot.gateway = Some(gateway);
            slot.address = Some(address);
            (slot.started, slot.ready, slot.terminated) = (began, false, None);
        }
        while began.elapsed() < NEVER_READY {
            let up = TcpStream::connect(address).map(|mut stream| {
                let _ = stream.set_read_timeout(Some(NEVER_READY));
                exchange(&mut stream, "GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").0
            });
            if matches!(up, Ok(200)) {
                break;
            }
        }
        self.recorder.note(Event::Ready { process, after: began.elapsed().as_secs_f64() });
        self.slot(process).ready = true;
    }

    fn configure(&self, config: &mut Value) {
        let settings = &self.script.settings;
        for (at, deadline) in settings.deadlines.iter().enumerate() {
            let class = &mut config["settings"]["Grades"][at];
            class["Deadline"] = json!(deadline);
            class["Objective"] = json!(deadline * 0.7);
            class["Window"] = json!(settings.window);
        }
        config["settings"]["Balancers"] = json!(self.script.processes);
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

    /// Where a new connection of this process's clients goes; none while it is down, not up yet, or has been told to end
    /// for longer than new ones come.
    pub fn address(&self, process: usize) -> Option<SocketAddr> {
        let slot = self.slot(process);
        let open = slot.terminated.is_none_or(|since| since.elapsed() < NEW_CONNECTIONS);
        slot.address.filter(|_| slot.ready && open)
    }

    /// Whether it was told to end.
    pub fn ends(&self, process: usize) -> bool {
        self.slot(process).terminated.is_some()
    }

    fn signal(&self, process: usize, signal: Signal) -> bool {
        let mut slot = self.slot(process);
        let Some(gateway) = slot.gateway.as_mut() else { return false };
        let runs = matches!(gateway.child.try_wait(), Ok(None));
        if runs {
            gateway.send_signal(signal);
        }
        runs
    }

    /// Whether a signal in order may be sent to it now; it counts as told to end from then on where that is wanted.
    fn takes_part(&self, process: usize, ends: bool) -> bool {
        let mut slot = self.slot(process);
        let fit = slot.ready && slot.terminated.is_none() && slot.started.elapsed() > FIRST_SECOND;
        if fit && ends {
            slot.terminated = Some(Instant::now());
        }
        fit
    }

    /// SIGTERM, then SIGKILL at the earliest moment; another takes its place.
    pub fn restart(&self, process: usize, twice: bool, reload: bool) -> bool {
        if !self.takes_part(process, true) {
            return false;
        }
        let began = Instant::now();
        self.recorder.note(Event::Terminated { process });
        self.signal(process, Signal::TERM);
        if twice {
            thread::sleep(Duration::from_millis(100));
            self.signal(process, Signal::TERM);
            self.recorder.strike("SIGTERM twice");
        }
        if reload {
            thread::sleep(Duration::from_millis(50));
            if self.signal(process, Signal::HUP) {
                self.recorder.strike("SIGHUP behind SIGTERM");
            }
        }
        self.kill_at(process, began + Duration::from_secs_f64(self.script.notice()));
        self.start(process);
        true
    }

    /// Waits until it has ended by itself, and kills it at this moment where it has not.
    fn kill_at(&self, process: usize, moment: Instant) {
        let mut gateway = loop {
            let mut slot = self.slot(process);
            let ended = slot.gateway.as_mut().and_then(|gateway| gateway.child.try_wait().ok().flatten());
            if let Some(status) = ended {
                self.recorder.note(Event::Exited { process, code: status.code() });
                break slot.gateway.take().expect("it ran");
            }
            if Instant::now() >= moment {
                self.recorder.note(Event::Killed { process });
                self.recorder.strike("alive at the kill");
                break slot.gateway.take().expect("it ran");
            }
            drop(slot);
            thread::sleep(Duration::from_millis(1));
        };
        let _ = gateway.child.kill();
        self.bury(process, gateway);
    }

    /// SIGKILL at once; another takes its place.
    pub fn crash(&self, process: usize) -> bool {
        if !self.takes_part(process, true) {
            return false;
        }
        let gateway = {
            let mut slot = self.slot(process);
            // Clients' connections end with it: what they see comes behind this line.
            self.recorder.note(Event::Killed { process });
            let mut gateway = slot.gateway.take().expect("it runs");
            let _ = gateway.child.kill();
            gateway
        };
        self.bury(process, gateway);
        self.start(process);
        true
    }

    /// Keeps the log of one that has ended, and looks there for a panic.
    fn bury(&self, process: usize, mut gateway: Gateway) {
        let _ = gateway.child.wait();
        for line in gateway.log_lines_with("panicked") {
            self.recorder.note(Event::Panicked { process, line });
        }
        let log = gateway.log_lines_with("").join("\n");
        self.slot(process).logs.push(log);
    }

    /// SIGHUP in a row, each to another address.
    pub fn reload(&self, process: usize, to: &[Address]) -> bool {
        for address in to {
            if !self.takes_part(process, false) {
                return false;
            }
            let discovery = match address {
                Address::Dead => dead_address(),
                Address::Flooding => self.flooding,
                Address::First => self.discoveries[process].address,
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

    /// Stops it for so long.
    pub fn pause(&self, process: usize, lasts: f64) -> bool {
        if !self.signal(process, Signal::STOP) {
            return false;
        }
        let began = Instant::now();
        thread::sleep(Duration::from_secs_f64(lasts));
        self.signal(process, Signal::CONT);
        let event = Event::Paused { process, lasts: began.elapsed().as_secs_f64() };
        self.recorder.note_at(began, event);
        true
    }

    /// Notes what each process holds now.
    pub fn look(&self) {
        for process in 0..self.slots.len() {
            let id = self.slot(process).gateway.as_ref().map(|gateway| gateway.child.id());
            let Some((resident_kb, descriptors)) = id.and_then(held) else { continue };
            self.recorder.note(Event::Held { process, resident_kb, descriptors });
        }
    }

    /// Ends all processes, and writes their logs beside the transcript.
    pub fn end(&self, folder: &Path) {
        for process in 0..self.slots.len() {
            let gateway = self.slot(process).gateway.take();
            if let Some(mut gateway) = gateway {
                let _ = gateway.child.kill();
                self.bury(process, gateway);
            }
            let logs = self.slot(process).logs.join("\n--- another process ---\n");
            std::fs::write(folder.join(format!("process-{process}.log")), logs).expect("a file");
        }
    }
}

/// Resident memory and open descriptors of a process; none where it has ended.
fn held(process: u32) -> Option<(usize, usize)> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let resident = line.trim().split(' ').next()?.parse().ok()?;
    let descriptors = std::fs::read_dir(format!("/proc/{process}/fd")).ok()?.count();
    Some((resident, descriptors))
}

fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound")
}
