//! The program under test: starts it, sends it signals and requests, stops it and inspects it.

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

use super::{exchange, node_list, put_request, wait_until, Discovery, Node, MAX_WAIT};

/// The sample configuration of the platform, on which every test configuration is based.
pub const SAMPLE_CONFIG: &str = include_str!("../../../platform/tests/sample.json");

/// A running gateway process; killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub address: SocketAddr,
    pub config_path: PathBuf,
    /// Lines of standard error after the one with the listening address.
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Starts the program with the sample configuration, this initial node list and discovery address; `configure` may
    /// change the configuration first. Returns once the program listens.
    pub fn start(initial_list: &Value, discovery: SocketAddr, configure: impl FnOnce(&mut Value)) -> Self {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let config_path =
            std::env::temp_dir().join(format!("quaypath-platform-{}-{number}.json", std::process::id()));
        let mut value: Value = serde_json::from_str(SAMPLE_CONFIG).expect("JSON");
        (value["known"], value["discovery"]) = (initial_list.clone(), json!(discovery.to_string()));
        configure(&mut value);
        std::fs::write(&config_path, value.to_string()).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"))
            .arg("--platform")
            .env("BALANCER_CONFIG", &config_path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the gateway");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = log.next().expect("a log line with the listening address").expect("text");
            if let Some((_, fields)) = line.split_once("listening address=") {
                break fields.split(' ').next().and_then(|text| text.parse().ok()).expect("an address");
            }
        };
        let log_lines = Arc::<Mutex<Vec<String>>>::default();
        let collected = log_lines.clone();
        thread::spawn(move || {
            log.map_while(Result::ok).for_each(|line| collected.lock().expect("no panic").push(line));
        });
        Gateway { child, address, config_path, log_lines }
    }

    /// Starts the program with one node that holds block 3 in its initial list and a discovery server with the same list.
    pub fn start_with_node(node: &Node) -> (Self, Discovery) {
        Gateway::start_with_node_at(node.address)
    }

    /// As [`Gateway::start_with_node`], for any node at this address.
    pub fn start_with_node_at(node: SocketAddr) -> (Self, Discovery) {
        let list = node_list(41, &[("s-1", node, "in_service")]);
        let discovery = Discovery::start(list.clone());
        (Gateway::start(&list, discovery.address, |_| {}), discovery)
    }

    /// Sends this signal to the process, which must be running.
    pub fn send_signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("the process is running");
    }

    /// Whether a line of its log contains this text.
    pub fn has_logged(&self, text: &str) -> bool {
        !self.log_lines_with(text).is_empty()
    }

    /// The lines of its log that contain this text.
    pub fn log_lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.log_lines.lock().expect("no panic");
        lines.iter().filter(|line| line.contains(text)).cloned().collect()
    }

    /// Prints the log lines about tasks that kept the event loop busy for long, and the lines with counters.
    pub fn print_long_polls(&self) {
        self.log_lines_with("kept the loop").iter().for_each(|line| println!("{line}"));
        self.log_lines_with("counts=").iter().for_each(|line| println!("{line}"));
    }

    /// Runs the action while the program is stopped by SIGSTOP: all resulting events are in the kernel when it continues.
    pub fn while_stopped<R>(&self, action: impl FnOnce() -> R) -> R {
        self.send_signal(Signal::STOP);
        let stat_path = format!("/proc/{}/stat", self.child.id());
        wait_until("the process is stopped", || {
            std::fs::read_to_string(&stat_path)
                .is_ok_and(|text| text.rsplit(')').next().is_some_and(|fields| fields.starts_with(" T")))
        });
        let result = action();
        self.send_signal(Signal::CONT);
        result
    }

    /// The number of its sockets that are still connecting. Its own descriptors are inspected because the kernel's table of
    /// all connections also lists those that earlier test suites left behind, and then takes long to read.
    pub fn connecting_sockets(&self) -> usize {
        let process =
            pidfd_open(Pid::from_child(&self.child), PidfdFlags::empty()).expect("the process is running");
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("its descriptors");
        let descriptor_numbers = entries.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
        // A descriptor that was closed since the directory was read cannot be duplicated and is skipped.
        let duplicates = descriptor_numbers
            .filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
        duplicates.filter(is_connecting).count()
    }

    /// Opens a client connection with a read timeout of [`MAX_WAIT`].
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("the gateway listens");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
        stream
    }

    /// Sends a PUT request with a timeout of 1000 ms on a new connection; returns the response as [`exchange`].
    pub fn send_request(&self, class: &str, id: &str) -> (u16, String, String) {
        exchange(&mut self.connect(), &put_request(class, id, "1000m"))
    }
}

/// Whether this is a socket whose connection attempt is pending: it has no peer, does not listen, and polls neither as
/// writable nor as hung up.
fn is_connecting(descriptor: &OwnedFd) -> bool {
    if socket_acceptconn(descriptor) != Ok(false) || getpeername(descriptor) != Err(Errno::NOTCONN) {
        return false;
    }
    let mut poll_set = [PollFd::new(descriptor, PollFlags::OUT)];
    poll(&mut poll_set, Some(&Timespec::default())).expect("a descriptor") == 0
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_long_polls();
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
