//! Test harness: one gateway process with scripted clients and nodes, all on loopback.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;
use std::time::{Duration, Instant};

use quaypath::types::NodeCondition;
use quaypath_nvme::admin::{Admin, Do as Reply, Kind, View};
use quaypath_nvme::command::{opcode, Cqe, Marks, Sqe, ANY_CONTROLLER};
use quaypath_nvme::controller::{Controller, Event as Asked};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::{Event, Host, Offer, State};
use quaypath_nvme::{status, QUEUE_SIZE};
use quaypath_record::{Clock, Writer};
use quaypath_settings::Mode;
use quaypath_standins::register::Register;
use rustix::process::{kill_process, Pid, Signal};

pub const READ: u8 = 1;
pub const BUY: u8 = 2;
pub const SCRAPPED: u16 = status::INTERNAL_ERROR | status::DNR;
pub const DECLINED: u16 = status::INTERRUPTED | status::CRD1;
/// Upper bound of every wait for a condition, far above the usual time.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// Settings of a test deployment with two bands, one plan without a limit, and volumes of one node each. Times are in seconds.
pub struct TestSettings {
    pub nodes: u32,
    /// Maximum of client connections.
    pub max_connections: u32,
    /// Time that a peer has to complete a PDU that it has begun.
    pub half_pdu: f64,
    /// Drain grace.
    pub drain_grace: f64,
    /// Outer limit of both bands.
    pub outer_limit: f64,
    pub volumes: u32,
    /// Maximum of open transactions.
    pub max_open: u32,
    /// Time after which an unused connection is closed.
    pub idle_timeout: f64,
    /// Keep alive time towards nodes; 0 for none.
    pub keep_alive: f64,
    /// `none` or `both`: the digests that the gateway asks nodes for.
    pub digests: &'static str,
}

impl Default for TestSettings {
    fn default() -> Self {
        TestSettings {
            nodes: 1,
            max_connections: 64,
            half_pdu: 5.0,
            drain_grace: 1.0,
            outer_limit: 2.0,
            volumes: 8,
            max_open: 2048,
            idle_timeout: 30.0,
            keep_alive: 0.0,
            digests: "none",
        }
    }
}

/// Creates a temporary folder.
pub fn temp_folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("quaypath-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

impl TestSettings {
    /// The deployment file.
    fn to_xml(&self) -> String {
        let TestSettings {
            nodes,
            max_connections,
            half_pdu,
            drain_grace,
            outer_limit,
            volumes,
            max_open,
            idle_timeout,
            keep_alive,
            digests,
        } = self;
        let band = |name: &str, repeat: &str, writes: bool| {
            format!(
                r#"<band name="{name}" due="1" outer="{outer_limit}" benefit="1" repeat="{repeat}" writes="{writes}"/>"#
            )
        };
        format!(
            r#"<deployment name="test">
<listen address="127.0.0.1:0" connections="{max_connections}" open="{max_open}"/>
<register address="127.0.0.1:1" mode="pushed"/>
<connections connect="0.5" idle="{idle_timeout}" half-pdu="{half_pdu}" keep-alive="{keep_alive}" digests="{digests}"/>
<allow shots="3" cancel="true" copies="false" longest-return="0.5"/>
<rules answer-slack="0.05" drain-grace="{drain_grace}" start-capacity="0.2" cold-for="5" fall-multiple="2"
 overload-for="1" young-units="8" key-quiet="0"/>
<units mean="1" most="6" metering="0"/>
<layout initiators="1" nodes="{nodes}" zones="1" extent-blocks="2048"/>
{}{}
<plan name="only" nominal="100" reservation="50" weight="1" factor="1"/>
<volumes plan="only" first="1" count="{volumes}" initiators="1" nodes="1"/>
</deployment>"#,
            band("read", "repeatable", false),
            band("buy", "once-only", true),
        )
    }
}

/// Number of the one block of a volume, and so of the node that holds it.
pub fn block_of_volume(volume: u32, nodes: u32) -> i64 {
    i64::from(volume) * 7 % i64::from(nodes)
}

/// A gateway process and the node register that it subscribes to.
pub struct Gateway {
    child: Child,
    stdout: BufReader<ChildStdout>,
    pub address: SocketAddr,
    pub register: Register,
    /// Settings, list and log.
    folder: PathBuf,
}

impl Gateway {
    fn spawn(folder: &std::path::Path, register: &str) -> Child {
        Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"))
            .arg("--settings")
            .arg(folder.join("deployment.xml"))
            .args(["--listen", "127.0.0.1:0", "--register", register, "--seed", "1"])
            .arg("--list")
            .arg(folder.join("list"))
            .arg("--until-stdin-closes")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(std::fs::File::create(folder.join("log")).unwrap())
            .spawn()
            .unwrap()
    }

    /// Starts a register and a gateway with these settings, and waits until the gateway listens.
    pub fn start(settings: &TestSettings) -> Gateway {
        let folder = temp_folder();
        let deployment_file = folder.join("deployment.xml");
        std::fs::write(&deployment_file, settings.to_xml()).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let register = Register::start(Mode::Pushed, listener, Writer::memory(Clock::default())).unwrap();
        let mut child = Self::spawn(&folder, &register.address.to_string());
        let mut stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        stdout.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").expect("the gateway listens").parse().unwrap();
        Gateway { child, stdout, address, register, folder }
    }

    /// Kills the gateway and starts it again with its stored list only, without a reachable register. Before the kill, waits
    /// until the stored list contains this node, because the gateway writes it in the background.
    pub fn restart_without_register(&mut self, node: SocketAddr) {
        let (file, began) = (self.folder.join("list"), Instant::now());
        while !std::fs::read_to_string(&file).is_ok_and(|text| text.contains(&node.to_string())) {
            assert!(began.elapsed() < Duration::from_secs(20), "the gateway did not write its list in time");
            std::thread::sleep(Duration::from_millis(2));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut child = Self::spawn(&self.folder, "127.0.0.1:1");
        self.stdout = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        self.stdout.read_line(&mut line).unwrap();
        self.address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        self.child = child;
    }

    /// Lists a node with the register.
    pub fn list_node(&self, node: SocketAddr, block: i64, condition: NodeCondition) {
        self.register.set_entry(&node.to_string(), "hall-0", block, condition, None, 0.0);
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Stops the gateway and returns the counters that it prints.
    pub fn counts(mut self) -> serde_json::Value {
        drop(self.child.stdin.take());
        let mut line = String::new();
        self.stdout.read_line(&mut line).unwrap();
        assert!(self.child.wait().unwrap().success());
        serde_json::from_str(&line).unwrap()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One queue of a client; reads wait for at most `MAX_WAIT`.
pub struct Queue {
    pub stream: TcpStream,
    pub host: Host,
    events: Vec<Event>,
}

impl Queue {
    /// Connects a queue, the admin queue if `number` is 0. Returns it with the controller id.
    pub fn open(address: SocketAddr, number: u16, controller: u16, offer: Offer, name: &str) -> (Queue, u16) {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let host = Host::start_with(number, QUEUE_SIZE, controller, "nqn.test:gateway", name, offer);
        let mut queue = Queue { stream, host, events: Vec::new() };
        let mut enable = Enable::new(2, false);
        loop {
            let out = std::mem::take(&mut queue.host.out);
            queue.stream.write_all(&out).unwrap();
            assert!(queue.receive(), "closed while connecting");
            for event in std::mem::take(&mut queue.events) {
                if number > 0 {
                    assert!(matches!(event, Event::Ready { .. }), "{event:?}");
                    assert_eq!(queue.host.state(), State::Ready);
                    return (queue, controller);
                }
                if enable.take(&mut queue.host, event).unwrap() {
                    return (queue, enable.controller);
                }
            }
        }
    }

    /// Reads once. Returns false if the gateway has closed the connection.
    pub fn receive(&mut self) -> bool {
        let mut buffer = [0; 65536];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(count) => {
                self.host.feed(&buffer[..count], &mut self.events).unwrap();
                let out = std::mem::take(&mut self.host.out);
                self.stream.write_all(&out).unwrap();
                true
            }
            Err(error) => panic!("no data from the gateway: {error}"),
        }
    }

    /// Sends a command and returns its id. `expected` is the length of the data that it reads, bytes.
    pub fn submit(&mut self, sqe: Sqe, data: Vec<u8>, expected: usize) -> u16 {
        let (cid, bytes) = self.host.submit(sqe, data, expected).unwrap();
        self.stream.write_all(&bytes).unwrap();
        cid
    }

    /// Waits for the next completion and returns its command id and status.
    pub fn next_completion(&mut self) -> (u16, u16) {
        loop {
            let index = self.events.iter().position(|event| matches!(event, Event::Done { .. }));
            if let Some(Event::Done { cid, cqe, .. }) = index.map(|index| self.events.remove(index)) {
                return (cid, cqe.status);
            }
            assert!(self.receive(), "the gateway closed the connection before the completion");
        }
    }

    /// Whether no event is pending and no data arrives within 0.2 s.
    pub fn stays_silent(&mut self) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut buffer = [0; 64];
        let read = self.stream.read(&mut buffer);
        self.stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        self.events.is_empty() && read.is_err()
    }
}

/// A client of the gateway with an admin queue and one I/O queue.
pub struct Client {
    pub admin: Queue,
    pub io: Queue,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Self::connect_with(address, Offer::default())
    }

    pub fn connect_with(address: SocketAddr, offer: Offer) -> Client {
        Self::open(address, offer, "nqn.test:client:0")
    }

    /// Connects with this host name.
    pub fn connect_as(address: SocketAddr, name: &str) -> Client {
        Self::open(address, Offer::default(), name)
    }

    fn open(address: SocketAddr, offer: Offer, name: &str) -> Client {
        let (admin, controller) = Queue::open(address, 0, ANY_CONTROLLER, offer, name);
        let (io, _) = Queue::open(address, 1, controller, offer, name);
        Client { admin, io }
    }

    /// A read or write of this band over `blocks` logical blocks.
    pub fn sqe(band: u8, volume: u32, mark: u64, blocks: u32) -> Sqe {
        let opcode = if band == BUY { opcode::WRITE } else { opcode::READ };
        let marks = Marks { band, units: 1, mark, key: 1, ..Marks::default() };
        marks.put(Sqe::transfer(opcode, volume, 0, blocks))
    }

    /// Sends a read or write on the I/O queue and returns its command id.
    pub fn submit(&mut self, band: u8, volume: u32, mark: u64, blocks: u32) -> u16 {
        let sqe = Self::sqe(band, volume, mark, blocks);
        let length = sqe.length();
        if band == BUY {
            self.io.submit(sqe, vec![1; length], 0)
        } else {
            self.io.submit(sqe, Vec::new(), length)
        }
    }
}

/// What a scripted node does with a command.
pub enum PeerAction {
    /// Completes it with this status.
    Answer(u16),
    /// Does not answer; the test may answer through `Peer::held_answers`.
    Hold,
    /// Closes the connection.
    Close,
    /// Sends these bytes unchanged.
    SendBytes(Vec<u8>),
}

/// A scripted node: reports the mark and shot of every command to the test, then does what its script returns.
pub struct Peer {
    pub address: SocketAddr,
    /// Mark and shot of each received command.
    pub arrived: Receiver<(u64, u8)>,
    /// Answers a held command: its mark and the status.
    pub held_answers: Sender<(u64, u16)>,
    /// Whether it refuses digests on new connections.
    no_digests: Arc<AtomicBool>,
}

/// Makes the peer refuse digests on new connections.
pub fn refuse_digests(peer: &Peer) {
    peer.no_digests.store(true, Ordering::Relaxed);
}

/// Starts a scripted node.
pub fn start_peer(script: impl Fn(&Sqe, &Marks) -> PeerAction + Send + Sync + 'static) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (reports, arrived) = channel();
    let (held_answers, answers) = channel::<(u64, u16)>();
    let answers = std::sync::Arc::new(std::sync::Mutex::new(answers));
    let script = std::sync::Arc::new(script);
    let no_digests = Arc::new(AtomicBool::new(false));
    let refuses = no_digests.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (reports, script, answers) = (reports.clone(), script.clone(), answers.clone());
            let no_digests = refuses.load(Ordering::Relaxed);
            std::thread::spawn(move || serve(stream.unwrap(), &reports, &*script, &answers, no_digests));
        }
    });
    Peer { address, arrived, held_answers, no_digests }
}

/// Serves one connection of a scripted node.
fn serve(
    mut stream: TcpStream, reports: &Sender<(u64, u8)>,
    script: &(dyn Fn(&Sqe, &Marks) -> PeerAction + Send + Sync),
    answers: &std::sync::Mutex<Receiver<(u64, u16)>>, no_digests: bool,
) {
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let mut controller =
        if no_digests { Controller::taking(Default::default()) } else { Controller::default() };
    let mut buffer = [0; 65536];
    let mut held: Vec<(u64, u16)> = Vec::new();
    let mut admin = Admin::new(0.0, 1, 0);
    loop {
        let count = match stream.read(&mut buffer) {
            Ok(0) => return,
            Ok(count) => count,
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock) => 0,
            Err(_) => return,
        };
        let mut events = Vec::new();
        if controller.feed(&buffer[..count], &mut events).is_err() {
            return;
        }
        for event in events {
            match event {
                Asked::Connect { .. } => controller.accept(1),
                Asked::Command { sqe, .. } if controller.queue() == 0 => {
                    answer_admin(&mut controller, &mut admin, &sqe)
                }
                Asked::Command { sqe, .. } => {
                    let marks = Marks::of(&sqe);
                    let _ = reports.send((marks.mark, marks.shot));
                    match script(&sqe, &marks) {
                        PeerAction::Answer(status) => respond(&mut controller, &sqe, status),
                        PeerAction::Hold => held.push((marks.mark, sqe.cid)),
                        PeerAction::Close => return,
                        PeerAction::SendBytes(bytes) => {
                            let _ = stream.write_all(&bytes);
                        }
                    }
                }
                Asked::Terminated { .. } => return,
            }
        }
        if controller.queue() != 0 && !held.is_empty() {
            while let Ok((mark, status)) = answers.lock().unwrap().try_recv() {
                if let Some(index) = held.iter().position(|(held_mark, _)| *held_mark == mark) {
                    let sqe = *controller.command(held.remove(index).1).unwrap();
                    respond(&mut controller, &sqe, status);
                }
            }
        }
        if stream.write_all(&std::mem::take(&mut controller.out)).is_err() {
            return;
        }
    }
}

fn respond(controller: &mut Controller, sqe: &Sqe, status: u16) {
    let length = if sqe.opcode == opcode::READ && status == status::SUCCESS { sqe.length() } else { 0 };
    controller.respond(Cqe { cid: sqe.cid, status, ..Cqe::default() }, &vec![7; length]);
}

/// Starts a gateway with one listed node, and connects a client.
pub fn start_with_node(settings: &TestSettings, node: SocketAddr) -> (Gateway, Client) {
    let gateway = Gateway::start(settings);
    gateway.list_node(node, 0, NodeCondition::Ready);
    let client = Client::connect(gateway.address);
    (gateway, client)
}

/// Sends reads until one succeeds: until it has received the list, the gateway knows no node and declines.
pub fn wait_until_served(client: &mut Client) {
    wait_until("the gateway knows its node and the node serves", || {
        client.submit(READ, 1, 0xff00, 8);
        client.io.next_completion().1 == status::SUCCESS
    });
}

/// Waits until a condition holds, for at most `MAX_WAIT`.
pub fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < MAX_WAIT, "timed out waiting until {condition}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// What the admin queue of a scripted node reports.
struct PeerView;

impl View for PeerView {
    fn kind(&self) -> Kind {
        Kind::Io
    }
    fn subsystem(&self) -> &str {
        "nqn.test:peer"
    }
}

/// Answers a command of the admin queue as a node does. An Abort always succeeds, whatever happened to its command.
pub fn answer_admin(controller: &mut Controller, admin: &mut Admin, sqe: &Sqe) {
    match admin.command(0.0, sqe, &PeerView) {
        Reply::Respond(cqe, data) => controller.respond(cqe, &data),
        Reply::Disconnect(cqe) => controller.respond(cqe, &[]),
        Reply::Abort { cid, .. } => controller.respond(Cqe { cid, ..Cqe::default() }, &[]),
        Reply::Hold => {}
    }
}
