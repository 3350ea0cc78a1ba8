//! One gateway as a process, scripted peers on both sides of it, everything on loopback.
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
/// Bounds every wait for a condition; far above what any takes.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Two bands, one limitless plan, volumes 1 to 8 on one node each, figures by the test's needs.
pub struct Shape {
    pub nodes: u32,
    pub connections: u32,
    pub half_pdu: f64,
    pub grace: f64,
    pub outer: f64,
    pub volumes: u32,
    pub open: u32,
    pub idle: f64,
    pub keep_alive: f64,
    pub digests: &'static str,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            nodes: 1,
            connections: 64,
            half_pdu: 5.0,
            grace: 1.0,
            outer: 2.0,
            volumes: 8,
            open: 2048,
            idle: 30.0,
            keep_alive: 0.0,
            digests: "none",
        }
    }
}

pub fn folder() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let name = format!("quaypath-test-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

impl Shape {
    fn text(&self) -> String {
        let Shape { nodes, connections, half_pdu, grace, outer, volumes, open, idle, keep_alive, digests } =
            self;
        let band = |name: &str, repeat: &str, writes: bool| {
            format!(
                r#"<band name="{name}" due="1" outer="{outer}" benefit="1" repeat="{repeat}" writes="{writes}"/>"#
            )
        };
        format!(
            r#"<deployment name="test">
<listen address="127.0.0.1:0" connections="{connections}" open="{open}"/>
<register address="127.0.0.1:1" mode="pushed"/>
<connections connect="0.5" idle="{idle}" half-pdu="{half_pdu}" keep-alive="{keep_alive}" digests="{digests}"/>
<allow shots="3" cancel="true" copies="false" longest-return="0.5"/>
<rules answer-slack="0.05" drain-grace="{grace}" start-capacity="0.2" cold-for="5" fall-multiple="2"
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

/// Node that holds a volume's one block.
pub fn block_of(volume: u32, nodes: u32) -> i64 {
    i64::from(volume) * 7 % i64::from(nodes)
}

pub struct Gateway {
    child: Child,
    lines: BufReader<ChildStdout>,
    pub address: SocketAddr,
    pub register: Register,
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

    pub fn start(shape: &Shape) -> Gateway {
        let folder = folder();
        let settings = folder.join("deployment.xml");
        std::fs::write(&settings, shape.text()).unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let register = Register::start(Mode::Pushed, listener, Writer::memory(Clock::default())).unwrap();
        let mut child = Self::spawn(&folder, &register.address.to_string());
        let mut lines = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        lines.read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").expect("the gateway listens").parse().unwrap();
        Gateway { child, lines, address, register, folder }
    }

    /// Kills it once its list with this node is on disk, as that is written beside its work, and starts it again with
    /// nothing but that; the register is not to be found.
    pub fn restart_alone(&mut self, node: SocketAddr) {
        let (file, began) = (self.folder.join("list"), Instant::now());
        while !std::fs::read_to_string(&file).is_ok_and(|text| text.contains(&node.to_string())) {
            assert!(began.elapsed() < Duration::from_secs(20), "the list is not written");
            std::thread::sleep(Duration::from_millis(2));
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut child = Self::spawn(&self.folder, "127.0.0.1:1");
        self.lines = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        self.lines.read_line(&mut line).unwrap();
        self.address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        self.child = child;
    }

    pub fn list(&self, node: SocketAddr, block: i64, condition: NodeCondition) {
        self.register.set_entry(&node.to_string(), "hall-0", block, condition, None, 0.0);
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    /// Stops it and gives its counts.
    pub fn counts(mut self) -> serde_json::Value {
        drop(self.child.stdin.take());
        let mut line = String::new();
        self.lines.read_line(&mut line).unwrap();
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

/// One queue of a client, read with a bound on the wait.
pub struct Queue {
    pub stream: TcpStream,
    pub host: Host,
    events: Vec<Event>,
}

impl Queue {
    fn open(address: SocketAddr, number: u16, controller: u16, offer: Offer, name: &str) -> (Queue, u16) {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        let host = Host::start_with(number, QUEUE_SIZE, controller, "nqn.test:gateway", name, offer);
        let mut queue = Queue { stream, host, events: Vec::new() };
        let mut enable = Enable::new(1, false);
        loop {
            let out = std::mem::take(&mut queue.host.out);
            queue.stream.write_all(&out).unwrap();
            assert!(queue.pull(), "closed while connecting");
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

    /// Reads once; false where the gateway closed.
    pub fn pull(&mut self) -> bool {
        let mut buffer = [0; 65536];
        match self.stream.read(&mut buffer) {
            Ok(0) => false,
            Ok(count) => {
                self.host.feed(&buffer[..count], &mut self.events).unwrap();
                let out = std::mem::take(&mut self.host.out);
                self.stream.write_all(&out).unwrap();
                true
            }
            Err(error) => panic!("no answer: {error}"),
        }
    }

    pub fn ask(&mut self, sqe: Sqe, data: Vec<u8>, expected: usize) -> u16 {
        let (cid, bytes) = self.host.submit(sqe, data, expected).unwrap();
        self.stream.write_all(&bytes).unwrap();
        cid
    }

    /// The next answer: command and status.
    pub fn answer(&mut self) -> (u16, u16) {
        loop {
            let at = self.events.iter().position(|event| matches!(event, Event::Done { .. }));
            if let Some(Event::Done { cid, cqe, .. }) = at.map(|at| self.events.remove(at)) {
                return (cid, cqe.status);
            }
            assert!(self.pull(), "closed before the answer");
        }
    }

    /// No answer is there, and none comes within a moment.
    pub fn is_silent(&mut self) -> bool {
        self.stream.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
        let mut buffer = [0; 64];
        let read = self.stream.read(&mut buffer);
        self.stream.set_read_timeout(Some(PATIENCE)).unwrap();
        self.events.is_empty() && read.is_err()
    }
}

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

    /// As another host.
    pub fn connect_as(address: SocketAddr, name: &str) -> Client {
        Self::open(address, Offer::default(), name)
    }

    fn open(address: SocketAddr, offer: Offer, name: &str) -> Client {
        let (admin, controller) = Queue::open(address, 0, ANY_CONTROLLER, offer, name);
        let (io, _) = Queue::open(address, 1, controller, offer, name);
        Client { admin, io }
    }

    pub fn sqe(band: u8, volume: u32, mark: u64, blocks: u32) -> Sqe {
        let opcode = if band == BUY { opcode::WRITE } else { opcode::READ };
        let marks = Marks { band, units: 1, mark, key: 1, ..Marks::default() };
        marks.put(Sqe::transfer(opcode, volume, 0, blocks))
    }

    pub fn ask(&mut self, band: u8, volume: u32, mark: u64, blocks: u32) -> u16 {
        let sqe = Self::sqe(band, volume, mark, blocks);
        let length = sqe.length();
        if band == BUY {
            self.io.ask(sqe, vec![1; length], 0)
        } else {
            self.io.ask(sqe, Vec::new(), length)
        }
    }
}

/// What a scripted target does with a command.
pub enum Do {
    Answer(u16),
    /// Keeps quiet; the test answers through `later`, or never.
    Hold,
    /// Closes the connection without a word.
    Close,
    /// Writes these bytes as they are.
    Raw(Vec<u8>),
}

/// A scripted target: every command's mark and shot are told, then `script` says what to do.
pub struct Peer {
    pub address: SocketAddr,
    pub arrived: Receiver<(u64, u8)>,
    /// Answers what was held: mark and status.
    pub later: Sender<(u64, u16)>,
    /// Takes no digests, whatever is offered.
    plain: Arc<AtomicBool>,
}

/// From now on the peer takes no digests.
pub fn plain_only(peer: &Peer) {
    peer.plain.store(true, Ordering::Relaxed);
}

pub fn peer(script: impl Fn(&Sqe, &Marks) -> Do + Send + Sync + 'static) -> Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tell, arrived) = channel();
    let (later, answers) = channel::<(u64, u16)>();
    let answers = std::sync::Arc::new(std::sync::Mutex::new(answers));
    let script = std::sync::Arc::new(script);
    let plain = Arc::new(AtomicBool::new(false));
    let taken = plain.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (tell, script, answers) = (tell.clone(), script.clone(), answers.clone());
            let plain = taken.load(Ordering::Relaxed);
            std::thread::spawn(move || serve(stream.unwrap(), &tell, &*script, &answers, plain));
        }
    });
    Peer { address, arrived, later, plain }
}

fn serve(
    mut stream: TcpStream, tell: &Sender<(u64, u8)>, script: &(dyn Fn(&Sqe, &Marks) -> Do + Send + Sync),
    answers: &std::sync::Mutex<Receiver<(u64, u16)>>, plain: bool,
) {
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
    let mut machine = if plain { Controller::taking(Default::default()) } else { Controller::default() };
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
        if machine.feed(&buffer[..count], &mut events).is_err() {
            return;
        }
        for event in events {
            match event {
                Asked::Connect { .. } => machine.accept(1),
                Asked::Command { sqe, .. } if machine.queue() == 0 => {
                    answer_admin(&mut machine, &mut admin, &sqe)
                }
                Asked::Command { sqe, .. } => {
                    let marks = Marks::of(&sqe);
                    let _ = tell.send((marks.mark, marks.shot));
                    match script(&sqe, &marks) {
                        Do::Answer(status) => respond(&mut machine, &sqe, status),
                        Do::Hold => held.push((marks.mark, sqe.cid)),
                        Do::Close => return,
                        Do::Raw(bytes) => {
                            let _ = stream.write_all(&bytes);
                        }
                    }
                }
                Asked::Terminated { .. } => return,
            }
        }
        if machine.queue() != 0 && !held.is_empty() {
            while let Ok((mark, status)) = answers.lock().unwrap().try_recv() {
                if let Some(at) = held.iter().position(|(known, _)| *known == mark) {
                    let sqe = *machine.command(held.remove(at).1).unwrap();
                    respond(&mut machine, &sqe, status);
                }
            }
        }
        if stream.write_all(&std::mem::take(&mut machine.out)).is_err() {
            return;
        }
    }
}

fn respond(machine: &mut Controller, sqe: &Sqe, status: u16) {
    let length = if sqe.opcode == opcode::READ && status == status::SUCCESS { sqe.length() } else { 0 };
    machine.respond(Cqe { cid: sqe.cid, status, ..Cqe::default() }, &vec![7; length]);
}

/// A gateway of this shape with one node listed, and a client of it.
pub fn one(shape: &Shape, node: SocketAddr) -> (Gateway, Client) {
    let gateway = Gateway::start(shape);
    gateway.list(node, 0, NodeCondition::Ready);
    let client = Client::connect(gateway.address);
    (gateway, client)
}

/// Asks until a read is settled: before the list has come, the gateway knows no node and declines.
pub fn settled(client: &mut Client) {
    until("the gateway knows its node and the node serves", || {
        client.ask(READ, 1, 0xff00, 8);
        client.io.answer().1 == status::SUCCESS
    });
}

/// Waits for a condition.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "waited too long until {what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// What scripted targets show: nothing in particular.
struct Plain;

impl View for Plain {
    fn kind(&self) -> Kind {
        Kind::Io
    }
    fn subsystem(&self) -> &str {
        "nqn.test:peer"
    }
}

/// Answers a command of the admin queue as any target does; an Abort with success, whatever became of it.
pub fn answer_admin(machine: &mut Controller, admin: &mut Admin, sqe: &Sqe) {
    match admin.command(0.0, sqe, &Plain) {
        Reply::Respond(cqe, data) => machine.respond(cqe, &data),
        Reply::Disconnect(cqe) => machine.respond(cqe, &[]),
        Reply::Abort { cid, .. } => machine.respond(Cqe { cid, ..Cqe::default() }, &[]),
        Reply::Hold => {}
    }
}
