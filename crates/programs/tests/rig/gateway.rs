//! The program under test: started, signalled, stopped, looked at.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use rustix::net::getpeername;
use rustix::net::sockopt::socket_acceptconn;
use rustix::process::{kill_process, pidfd_getfd, pidfd_open, Pid, PidfdFlags, PidfdGetfdFlags, Signal};
use serde_json::{json, Value};

use super::{exchange, listing, put, until, Discovery, Node, LONG};

pub const SAMPLE: &str = include_str!("../../../platform/tests/sample.json");

/// The program under test; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub config: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    pub fn start(known: &Value, discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let config =
            std::env::temp_dir().join(format!("quaypath-platform-{}-{number}.json", std::process::id()));
        let mut value: Value = serde_json::from_str(SAMPLE).expect("JSON");
        (value["known"], value["discovery"]) = (known.clone(), json!(discovery.to_string()));
        change(&mut value);
        std::fs::write(&config, value.to_string()).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"))
            .arg("--platform")
            .env("BALANCER_CONFIG", &config)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log.next().expect("a line that says where it listens").expect("text");
            if let Some((_, rest)) = line.split_once("listening address=") {
                break rest.split(' ').next().and_then(|text| text.parse().ok()).expect("an address");
            }
        };
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let kept = lines.clone();
        thread::spawn(move || {
            log.map_while(Result::ok).for_each(|line| kept.lock().expect("no panic").push(line));
        });
        Gateway { child, address, config, lines }
    }

    /// With one node that holds block 3, known from the start.
    pub fn with(node: &Node) -> (Self, Discovery) {
        Gateway::at(node.address)
    }

    /// The same, whoever plays that node.
    pub fn at(node: SocketAddr) -> (Self, Discovery) {
        let list = listing(41, &[("s-1", node, "in_service")]);
        let discovery = Discovery::start(list.clone());
        (Gateway::start(&list, discovery.address, |_| {}), discovery)
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Whether its log has said this.
    pub fn logged(&self, what: &str) -> bool {
        !self.lines_with(what).is_empty()
    }

    /// The lines of its log that say this.
    pub fn lines_with(&self, what: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic");
        lines.iter().filter(|line| line.contains(what)).cloned().collect()
    }

    /// Prints what it logged of tasks that kept its loop for long.
    pub fn print_long_polls(&self) {
        self.lines_with("kept the loop").iter().for_each(|line| println!("{line}"));
        self.lines_with("counts=").iter().for_each(|line| println!("{line}"));
    }

    /// Does this while the program stands still: what comes of it lies in the kernel together once it goes on.
    pub fn while_stopped<R>(&self, act: impl FnOnce() -> R) -> R {
        self.signal(Signal::STOP);
        let state = format!("/proc/{}/stat", self.child.id());
        until("it stands still", || {
            std::fs::read_to_string(&state)
                .is_ok_and(|text| text.rsplit(')').next().is_some_and(|rest| rest.starts_with(" T")))
        });
        let done = act();
        self.signal(Signal::CONT);
        done
    }

    /// Its connections that wait for their peer's answer to come up. Looked for among its own descriptors: the kernel's table
    /// of all connections is as long as what suites before have left at rest, and so is a look at it.
    pub fn opening(&self) -> usize {
        let process = pidfd_open(Pid::from_child(&self.child), PidfdFlags::empty()).expect("it runs");
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors");
        let numbers = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
        // One that was closed meanwhile is not there any more.
        let copies =
            numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
        copies.filter(is_opening).count()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a time-out");
        stream
    }

    pub fn ask(&self, class: &str, id: &str) -> (u16, String, String) {
        exchange(&mut self.connect(), &put(class, id, "1000m"))
    }
}

/// Whether this is a socket that has asked for a connection and heard nothing yet: it has no peer, does not listen, and is
/// neither ready nor at its end.
fn is_opening(descriptor: &OwnedFd) -> bool {
    if socket_acceptconn(descriptor) != Ok(false) || getpeername(descriptor) != Err(Errno::NOTCONN) {
        return false;
    }
    let mut polled = [PollFd::new(descriptor, PollFlags::OUT)];
    poll(&mut polled, Some(&Timespec::default())).expect("a descriptor") == 0
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_long_polls();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}
