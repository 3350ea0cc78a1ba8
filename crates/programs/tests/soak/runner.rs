//! Runs one scenario: starts the gateway processes and their peers, injects the faults at their times, and checks what the
//! peers observed.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::checker::{check_guarantees, Bounds, Breach};
use crate::client::Client;
use crate::node::{Node, OpenAttempts};
use crate::process::Fleet;
use crate::record::{Event, Recorder};
use crate::rig::{node_list, put_request, read_message, Discovery};
use crate::scenario::{Fault, NodeBehavior, Scenario, FAULT_PERIOD_S};

/// Interval at which memory and descriptors of the processes are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the clients of a connection flood stay connected.
const FLOOD_DURATION: Duration = Duration::from_millis(1500);
/// Time that requests in flight have, beyond the longest deadline, when the clients stop.
const LAST_ANSWERS_WAIT: Duration = Duration::from_secs(1);

/// The result of a run.
pub struct Outcome {
    pub scenario: Scenario,
    pub requests: usize,
    /// How often each kind of fault or client behavior occurred.
    pub occurred: BTreeMap<&'static str, usize>,
    pub breaches: Vec<Breach>,
    /// Holds the logs of the processes and the transcript.
    pub folder: PathBuf,
}

/// The nodes and their entries in the current list of discovery.
struct ListedNodes {
    nodes: Vec<Node>,
    /// Name and status of each node, by its number.
    listed: Vec<(String, &'static str)>,
    /// Version of the list.
    index: u64,
    /// Versions of the list in which nodes began to drain, and the nodes.
    drains: Vec<(u64, usize)>,
}

impl ListedNodes {
    fn list(&self) -> Value {
        let entries: Vec<(&str, SocketAddr, &str)> = self
            .nodes
            .iter()
            .zip(&self.listed)
            .map(|(node, (name, status))| (name.as_str(), node.address, *status))
            .collect();
        node_list(self.index, &entries)
    }
}

struct Run<'a> {
    scenario: &'a Scenario,
    recorder: Recorder,
    fleet: Fleet<'a>,
    nodes: Mutex<ListedNodes>,
    stop: AtomicBool,
}

/// Runs a scenario from start to end.
pub fn run_scenario(scenario: Scenario) -> Outcome {
    let folder = std::env::temp_dir().join(format!("quaypath-soak-{}-{}", std::process::id(), scenario.seed));
    std::fs::create_dir_all(&folder).expect("a folder");
    let recorder = Recorder::start();
    let open_attempts = OpenAttempts::default();
    let nodes: Vec<Node> = (0..scenario.nodes)
        .map(|number| Node::start(number, scenario.service_time, open_attempts.clone(), recorder.clone()))
        .collect();
    let listed = (0..scenario.nodes).map(|number| (format!("s-{number}"), "in_service")).collect();
    let nodes = ListedNodes { nodes, listed, index: 41, drains: Vec::new() };
    let discoveries: Vec<Discovery> =
        (0..scenario.processes).map(|_| Discovery::start(nodes.list())).collect();
    let stop_flooding = Arc::<AtomicBool>::default();
    let flooding_address = flooding_discovery(stop_flooding.clone());
    let fleet = Fleet::new(&scenario, recorder.clone(), discoveries, flooding_address);
    let run =
        Run { scenario: &scenario, recorder, fleet, nodes: Mutex::new(nodes), stop: AtomicBool::new(false) };
    run.execute();
    stop_flooding.store(true, Ordering::SeqCst);
    run.fleet.stop_all(&folder);
    let events = run.events();
    let breaches = check_guarantees(&Bounds::of(&scenario), &events);
    let mut occurred = BTreeMap::<&'static str, usize>::new();
    for (_, event) in &events {
        if let Event::Occurred(kind) = event {
            *occurred.entry(kind).or_default() += 1;
        }
    }
    let requests = events.iter().filter(|(_, event)| matches!(event, Event::RequestWritten { .. })).count();
    let outcome = Outcome { requests, occurred, breaches, folder, scenario: scenario.clone() };
    outcome.write_transcript(&events);
    outcome
}

impl Run<'_> {
    /// Starts processes and clients, injects the faults, and waits until all have ended.
    fn execute(&self) {
        thread::scope(|scope| {
            let starts: Vec<_> = (0..self.scenario.processes)
                .map(|process| scope.spawn(move || self.fleet.start(process)))
                .collect();
            starts.into_iter().for_each(|start| start.join().expect("no panic"));
            let began = Instant::now();
            let mut clients = Vec::new();
            for (number, (process, behavior)) in self.scenario.clients.iter().enumerate() {
                let client = Client::new(&self.fleet, self.scenario, &self.stop, number, *process);
                clients.push(scope.spawn(move || client.run(*behavior)));
            }
            let sampler = scope.spawn(|| {
                while !self.stop.load(Ordering::SeqCst) {
                    self.fleet.sample_resources();
                    thread::sleep(SAMPLE_INTERVAL);
                }
            });
            let mut faults = Vec::new();
            for (offset, fault) in &self.scenario.faults {
                let inject_at = began + Duration::from_secs_f64(*offset);
                thread::sleep(inject_at.saturating_duration_since(Instant::now()));
                faults.push(scope.spawn(move || self.inject(fault)));
            }
            thread::sleep(
                (began + Duration::from_secs_f64(FAULT_PERIOD_S)).saturating_duration_since(Instant::now()),
            );
            faults.into_iter().for_each(|fault| fault.join().expect("no panic"));
            thread::sleep(LAST_ANSWERS_WAIT);
            self.stop.store(true, Ordering::SeqCst);
            clients.into_iter().for_each(|client| client.join().expect("no panic"));
            sampler.join().expect("no panic");
        });
    }

    /// Injects a fault, waits until it has passed, and records it if it took effect.
    fn inject(&self, fault: &Fault) {
        let occurred = match fault {
            Fault::Restart { process, sigterm_twice, reload } => {
                self.fleet.restart(*process, *sigterm_twice, *reload)
            }
            Fault::Crash { process } => self.fleet.crash(*process),
            Fault::Reload { process, addresses } => self.fleet.reload(*process, addresses),
            Fault::Pause { process, duration } => self.fleet.pause(*process, *duration),
            Fault::Drain { node } => self.drain(*node),
            Fault::Replace { node } => self.replace(*node),
            Fault::NodeMisbehaves { node, behavior, duration } => self.misbehave(*node, *behavior, *duration),
            Fault::DiscoveryDown { duration } => self.discovery_down(Duration::from_secs_f64(*duration)),
            Fault::IdleClients { process, clients } => self.idle_clients(*process, *clients),
            Fault::IncompleteBodies { process, clients } => self.incomplete_bodies(*process, *clients),
            Fault::BlankLines { process, duration } => {
                self.blank_lines(*process, Duration::from_secs_f64(*duration))
            }
        };
        if occurred {
            self.recorder.record_occurrence(fault.name());
        }
    }

    /// Changes the list of nodes and sends it through all discovery agents.
    fn change_list(&self, change: impl FnOnce(&mut ListedNodes)) {
        let mut nodes = self.nodes.lock().expect("no panic");
        nodes.index += 1;
        change(&mut nodes);
        let list = nodes.list();
        self.fleet.discoveries.iter().for_each(|discovery| discovery.set_list(list.clone()));
    }

    /// Drains a node. Node 0 is never drained, so that one node keeps serving.
    fn drain(&self, node: usize) -> bool {
        if node == 0 {
            return false;
        }
        self.change_list(|nodes| {
            nodes.listed[node].1 = "terminating";
            nodes.drains.push((nodes.index, node));
        });
        true
    }

    /// Lists another node in its place under the same address.
    fn replace(&self, node: usize) -> bool {
        let mut replaced = false;
        self.change_list(|nodes| {
            replaced = nodes.listed[node].1 == "in_service";
            if replaced {
                nodes.listed[node].0.push('x');
            }
        });
        replaced
    }

    /// Changes the behavior of a node for some time, seconds. Returns whether an attempt reached the node meanwhile.
    fn misbehave(&self, node: usize, behavior: NodeBehavior, duration: f64) -> bool {
        let node = self.nodes.lock().expect("no panic").nodes[node].clone();
        let before = node.answers();
        node.set_behavior(behavior);
        thread::sleep(Duration::from_secs_f64(duration));
        node.set_behavior(NodeBehavior::Answers);
        node.answers() > before
    }

    /// Makes all discovery agents unavailable for this time.
    fn discovery_down(&self, duration: Duration) -> bool {
        let set_down = |down: bool| {
            let discoveries = self.fleet.discoveries.iter();
            discoveries.for_each(|discovery| discovery.is_down.store(down, Ordering::SeqCst));
        };
        set_down(true);
        thread::sleep(duration);
        set_down(false);
        true
    }

    /// Opens many idle connections, which may exhaust the descriptors of the process, while discovery is down.
    fn idle_clients(&self, process: usize, clients: usize) -> bool {
        let Some(address) = self.fleet.address(process) else { return false };
        self.fleet.discoveries[process].is_down.store(true, Ordering::SeqCst);
        let idle: Vec<_> = (0..clients).filter_map(|_| TcpStream::connect(address).ok()).collect();
        thread::sleep(FLOOD_DURATION);
        self.fleet.discoveries[process].is_down.store(false, Ordering::SeqCst);
        idle.len() == clients
    }

    /// Opens connections that each send a request without the last byte of its body.
    fn incomplete_bodies(&self, process: usize, clients: usize) -> bool {
        let Some(address) = self.fleet.address(process) else { return false };
        let length = 64 << 10;
        let head = put_request("lookup", "body", "1000m")
            .replace("Content-Length: 4", &format!("Content-Length: {length}"));
        let text = head.replace("\r\n\r\nbody", &format!("\r\n\r\n{}", "b".repeat(length - 1)));
        let mut connections = Vec::new();
        for _ in 0..clients {
            let Ok(mut stream) = TcpStream::connect(address) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let _ = stream.write_all(text.as_bytes());
            connections.push(stream);
        }
        thread::sleep(FLOOD_DURATION);
        connections.len() == clients
    }

    /// Sends blank lines on one connection for this time.
    fn blank_lines(&self, process: usize, duration: Duration) -> bool {
        let Some(mut stream) =
            self.fleet.address(process).and_then(|address| TcpStream::connect(address).ok())
        else {
            return false;
        };
        let (began, lines, mut sent) = (Instant::now(), "\r\n".repeat(4096), 0);
        while began.elapsed() < duration && stream.write_all(lines.as_bytes()).is_ok() {
            sent += 1;
        }
        let _ = stream.shutdown(Shutdown::Both);
        sent > 0
    }

    /// What the peers observed and what discovery wrote, sorted by time.
    fn events(&self) -> Vec<(f64, Event)> {
        let drains = self.nodes.lock().expect("no panic").drains.clone();
        for (process, discovery) in self.fleet.discoveries.iter().enumerate() {
            let reported = discovery.sent_lists.lock().expect("no panic").clone();
            for (index, node) in &drains {
                let first = reported.iter().find(|(_, reported)| reported >= index);
                let event = Event::DrainReported { process, node: *node };
                first
                    .into_iter()
                    .for_each(|(written_at, _)| self.recorder.record_at(*written_at, event.clone()));
            }
        }
        self.recorder.events()
    }
}

impl Outcome {
    /// One line about the run: its size, the faults that occurred, and the number of breaches.
    pub fn summary_line(&self) -> String {
        let occurred: Vec<String> =
            self.occurred.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
        let missing: BTreeSet<&str> = self.scenario.faults.iter().map(|(_, fault)| fault.name()).collect();
        let missing: Vec<&str> =
            missing.into_iter().filter(|name| !self.occurred.contains_key(name)).collect();
        format!(
            "seed {}: {} processes, {} nodes, {} requests; {}; planned but did not occur: {missing:?}; {} breaches",
            self.scenario.seed,
            self.scenario.processes,
            self.scenario.nodes,
            self.requests,
            occurred.join(", "),
            self.breaches.len()
        )
    }

    /// The breaches, and the command that runs the seed again.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for breach in self.breaches.iter().take(12) {
            let _ = writeln!(
                text,
                "{:?}: {} at {:.3} s: {}",
                breach.guarantee, breach.subject, breach.time, breach.description
            );
        }
        let _ = writeln!(text, "scenario: {:?}", self.scenario);
        let _ = writeln!(text, "logs and transcript: {}", self.folder.display());
        let _ = write!(
            text,
            "to run it again: SOAK_SEEDS={} cargo test -p quaypath-programs --test soak by_hand -- --nocapture",
            self.scenario.seed
        );
        text
    }

    /// Writes the transcript into the folder of the run.
    fn write_transcript(&self, events: &[(f64, Event)]) {
        let mut text = format!("{}\n{}\n", self.summary_line(), self.report());
        for (time, event) in events {
            if !matches!(event, Event::ResourcesSampled { .. }) {
                let _ = writeln!(text, "{time:.6} {event:?}");
            }
        }
        std::fs::write(self.folder.join("transcript"), text).expect("a file");
    }
}

/// A discovery agent that answers every request with endless blank bytes until the flag is set.
fn flooding_discovery(stop: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, stop) = (stream.expect("a connection"), stop.clone());
            thread::spawn(move || {
                if read_message(&mut stream).is_none() {
                    return;
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let piece = "1\r\n \r\n".repeat(1 << 10);
                while !stop.load(Ordering::SeqCst) && stream.write_all(piece.as_bytes()).is_ok() {}
            });
        }
    });
    address
}
