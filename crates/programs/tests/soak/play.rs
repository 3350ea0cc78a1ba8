//! One run: peers are started, the script's troubles come at their times, and the verdict is on what peers saw.

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

use crate::client::Client;
use crate::judge::{judge, Breach, Terms};
use crate::node::{Node, OpenAttempts};
use crate::process::Fleet;
use crate::record::{Event, Recorder};
use crate::rig::{node_list, put_request, read_message, Discovery};
use crate::script::{Mood, Script, Trouble, LASTS};

/// How often memory and descriptors are looked at.
const LOOK: Duration = Duration::from_millis(50);
/// How long a crowd stays.
const CROWD_STAYS: Duration = Duration::from_millis(1500);
/// Requests still under way when the clients stop have this long, beyond the longest deadline.
const LAST_ANSWERS: Duration = Duration::from_secs(1);

/// What a run brought.
pub struct Outcome {
    pub script: Script,
    pub requests: usize,
    pub struck: BTreeMap<&'static str, usize>,
    pub breaches: Vec<Breach>,
    /// Logs and transcript.
    pub folder: PathBuf,
}

/// What the nodes are at each moment, as discovery tells it.
struct Nodes {
    nodes: Vec<Node>,
    /// Names and statuses, by number.
    listed: Vec<(String, &'static str)>,
    index: u64,
    /// The versions in which nodes began to drain.
    drains: Vec<(u64, usize)>,
}

impl Nodes {
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
    script: &'a Script,
    recorder: Recorder,
    fleet: Fleet<'a>,
    nodes: Mutex<Nodes>,
    stop: AtomicBool,
}

/// Plays a script from its begin to its end.
pub fn play(script: Script) -> Outcome {
    let folder = std::env::temp_dir().join(format!("quaypath-soak-{}-{}", std::process::id(), script.seed));
    std::fs::create_dir_all(&folder).expect("a folder");
    let recorder = Recorder::start();
    let open = OpenAttempts::default();
    let nodes: Vec<Node> = (0..script.nodes)
        .map(|number| Node::start(number, script.service, open.clone(), recorder.clone()))
        .collect();
    let listed = (0..script.nodes).map(|number| (format!("s-{number}"), "in_service")).collect();
    let nodes = Nodes { nodes, listed, index: 41, drains: Vec::new() };
    let discoveries: Vec<Discovery> = (0..script.processes).map(|_| Discovery::start(nodes.list())).collect();
    let flood_ends = Arc::<AtomicBool>::default();
    let flooding = flooding_discovery(flood_ends.clone());
    let fleet = Fleet::new(&script, recorder.clone(), discoveries, flooding);
    let run =
        Run { script: &script, recorder, fleet, nodes: Mutex::new(nodes), stop: AtomicBool::new(false) };
    run.play();
    flood_ends.store(true, Ordering::SeqCst);
    run.fleet.end(&folder);
    let events = run.events();
    let breaches = judge(&Terms::of(&script), &events);
    let mut struck = BTreeMap::<&'static str, usize>::new();
    for (_, event) in &events {
        if let Event::Struck(what) = event {
            *struck.entry(what).or_default() += 1;
        }
    }
    let requests = events.iter().filter(|(_, event)| matches!(event, Event::Written { .. })).count();
    let outcome = Outcome { requests, struck, breaches, folder, script: script.clone() };
    outcome.write(&events);
    outcome
}

impl Run<'_> {
    fn play(&self) {
        thread::scope(|scope| {
            let starts: Vec<_> = (0..self.script.processes)
                .map(|process| scope.spawn(move || self.fleet.start(process)))
                .collect();
            starts.into_iter().for_each(|start| start.join().expect("no panic"));
            let began = Instant::now();
            let mut clients = Vec::new();
            for (number, (process, manner)) in self.script.clients.iter().enumerate() {
                let client = Client::new(&self.fleet, self.script, &self.stop, number, *process);
                clients.push(scope.spawn(move || client.run(*manner)));
            }
            let looked = scope.spawn(|| {
                while !self.stop.load(Ordering::SeqCst) {
                    self.fleet.look();
                    thread::sleep(LOOK);
                }
            });
            let mut troubles = Vec::new();
            for (at, trouble) in &self.script.troubles {
                let at = began + Duration::from_secs_f64(*at);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                troubles.push(scope.spawn(move || self.strike(trouble)));
            }
            thread::sleep((began + Duration::from_secs_f64(LASTS)).saturating_duration_since(Instant::now()));
            troubles.into_iter().for_each(|trouble| trouble.join().expect("no panic"));
            thread::sleep(LAST_ANSWERS);
            self.stop.store(true, Ordering::SeqCst);
            clients.into_iter().for_each(|client| client.join().expect("no panic"));
            looked.join().expect("no panic");
        });
    }

    fn strike(&self, trouble: &Trouble) {
        let struck = match trouble {
            Trouble::Restart { process, twice, reload } => self.fleet.restart(*process, *twice, *reload),
            Trouble::Crash { process } => self.fleet.crash(*process),
            Trouble::Reload { process, to } => self.fleet.reload(*process, to),
            Trouble::Pause { process, lasts } => self.fleet.pause(*process, *lasts),
            Trouble::Drain { node } => self.drain(*node),
            Trouble::Replace { node } => self.replace(*node),
            Trouble::Moody { node, mood, lasts } => self.moody(*node, *mood, *lasts),
            Trouble::DiscoveryDown { lasts } => self.discovery_down(Duration::from_secs_f64(*lasts)),
            Trouble::Crowd { process, clients } => self.crowd(*process, *clients),
            Trouble::Bodies { process, clients } => self.bodies(*process, *clients),
            Trouble::Flood { process, lasts } => self.flood(*process, Duration::from_secs_f64(*lasts)),
        };
        if struck {
            self.recorder.strike(trouble.name());
        }
    }

    /// Changes what is listed, and tells it to all.
    fn relist(&self, change: impl FnOnce(&mut Nodes)) {
        let mut nodes = self.nodes.lock().expect("no panic");
        nodes.index += 1;
        change(&mut nodes);
        let list = nodes.list();
        self.fleet.discoveries.iter().for_each(|discovery| discovery.set_list(list.clone()));
    }

    /// The first node goes on, so that there is one to serve.
    fn drain(&self, node: usize) -> bool {
        if node == 0 {
            return false;
        }
        self.relist(|nodes| {
            nodes.listed[node].1 = "terminating";
            nodes.drains.push((nodes.index, node));
        });
        true
    }

    /// Another takes the node's place under its address.
    fn replace(&self, node: usize) -> bool {
        let mut replaced = false;
        self.relist(|nodes| {
            replaced = nodes.listed[node].1 == "in_service";
            if replaced {
                nodes.listed[node].0.push('x');
            }
        });
        replaced
    }

    /// Whether an attempt met the node meanwhile.
    fn moody(&self, node: usize, mood: Mood, lasts: f64) -> bool {
        let node = self.nodes.lock().expect("no panic").nodes[node].clone();
        let before = node.answers();
        node.set_mood(mood);
        thread::sleep(Duration::from_secs_f64(lasts));
        node.set_mood(Mood::Settles);
        node.answers() > before
    }

    fn discovery_down(&self, lasts: Duration) -> bool {
        let shut = |down: bool| {
            let all = self.fleet.discoveries.iter();
            all.for_each(|discovery| discovery.is_down.store(down, Ordering::SeqCst));
        };
        shut(true);
        thread::sleep(lasts);
        shut(false);
        true
    }

    /// Idle clients that would fill the descriptors, while discovery is down.
    fn crowd(&self, process: usize, clients: usize) -> bool {
        let Some(address) = self.fleet.address(process) else { return false };
        self.fleet.discoveries[process].is_down.store(true, Ordering::SeqCst);
        let idle: Vec<_> = (0..clients).filter_map(|_| TcpStream::connect(address).ok()).collect();
        thread::sleep(CROWD_STAYS);
        self.fleet.discoveries[process].is_down.store(false, Ordering::SeqCst);
        idle.len() == clients
    }

    fn bodies(&self, process: usize, clients: usize) -> bool {
        let Some(address) = self.fleet.address(process) else { return false };
        let length = 64 << 10;
        let head = put_request("lookup", "body", "1000m")
            .replace("Content-Length: 4", &format!("Content-Length: {length}"));
        let text = head.replace("\r\n\r\nbody", &format!("\r\n\r\n{}", "b".repeat(length - 1)));
        let mut held = Vec::new();
        for _ in 0..clients {
            let Ok(mut stream) = TcpStream::connect(address) else { break };
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let _ = stream.write_all(text.as_bytes());
            held.push(stream);
        }
        thread::sleep(CROWD_STAYS);
        held.len() == clients
    }

    fn flood(&self, process: usize, lasts: Duration) -> bool {
        let Some(mut stream) =
            self.fleet.address(process).and_then(|address| TcpStream::connect(address).ok())
        else {
            return false;
        };
        let (began, lines, mut sent) = (Instant::now(), "\r\n".repeat(4096), 0);
        while began.elapsed() < lasts && stream.write_all(lines.as_bytes()).is_ok() {
            sent += 1;
        }
        let _ = stream.shutdown(Shutdown::Both);
        sent > 0
    }

    /// What peers saw, and what discovery wrote, by time.
    fn events(&self) -> Vec<(f64, Event)> {
        let drains = self.nodes.lock().expect("no panic").drains.clone();
        for (process, discovery) in self.fleet.discoveries.iter().enumerate() {
            let told = discovery.sent_lists.lock().expect("no panic").clone();
            for (index, node) in &drains {
                let first = told.iter().find(|(_, told)| told >= index);
                let event = Event::DrainTold { process, node: *node };
                first.into_iter().for_each(|(at, _)| self.recorder.note_at(*at, event.clone()));
            }
        }
        self.recorder.events()
    }
}

impl Outcome {
    /// One line of the run: what was asked, what struck, what broke.
    pub fn line(&self) -> String {
        let struck: Vec<String> = self.struck.iter().map(|(what, count)| format!("{what} {count}")).collect();
        let missed: BTreeSet<&str> = self.script.troubles.iter().map(|(_, trouble)| trouble.name()).collect();
        let missed: Vec<&str> = missed.into_iter().filter(|name| !self.struck.contains_key(name)).collect();
        format!(
            "seed {}: {} processes, {} nodes, {} requests; {}; planned and never struck: {missed:?}; {} breaches",
            self.script.seed,
            self.script.processes,
            self.script.nodes,
            self.requests,
            struck.join(", "),
            self.breaches.len()
        )
    }

    /// The breaches, with the command that plays the seed once more.
    pub fn report(&self) -> String {
        let mut text = String::new();
        for breach in self.breaches.iter().take(12) {
            let _ = writeln!(
                text,
                "{:?}: {} at {:.3} s: {}",
                breach.promise, breach.about, breach.at, breach.what
            );
        }
        let _ = writeln!(text, "script: {:?}", self.script);
        let _ = writeln!(text, "logs and transcript: {}", self.folder.display());
        let _ = write!(
            text,
            "again: SOAK_SEEDS={} cargo test -p quaypath-programs --test soak by_hand -- --nocapture",
            self.script.seed
        );
        text
    }

    fn write(&self, events: &[(f64, Event)]) {
        let mut text = format!("{}\n{}\n", self.line(), self.report());
        for (at, event) in events {
            if !matches!(event, Event::Held { .. }) {
                let _ = writeln!(text, "{at:.6} {event:?}");
            }
        }
        std::fs::write(self.folder.join("transcript"), text).expect("a file");
    }
}

/// An agent of discovery that sends blank bytes without end, whatever it is asked.
fn flooding_discovery(ends: Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (mut stream, ends) = (stream.expect("a connection"), ends.clone());
            thread::spawn(move || {
                if read_message(&mut stream).is_none() {
                    return;
                }
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                let piece = "1\r\n \r\n".repeat(1 << 10);
                while !ends.load(Ordering::SeqCst) && stream.write_all(piece.as_bytes()).is_ok() {}
            });
        }
    });
    address
}
