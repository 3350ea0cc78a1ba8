//! One gateway against its own baseline: the same client code straight to one target that does no work, and
//! through a gateway to the same target, in one run. Prints throughput, latency and CPU at depth 1, 8 and 32.
//!
//! `cargo bench -p quaypath-programs --bench gateway`; seconds a point as the first argument, 5 where absent.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use quaypath_nvme::command::{opcode, Marks, Sqe, ANY_CONTROLLER};
use quaypath_nvme::enable::Enable;
use quaypath_nvme::host::{Event, Host, Offer, State};
use quaypath_nvme::pdu::Format;
use quaypath_nvme::QUEUE_SIZE;

const DEPLOYMENT: &str = r#"<deployment name="measure">
<listen address="127.0.0.1:0" connections="64" open="4096"/>
<register address="127.0.0.1:1" mode="pushed"/>
<connections connect="1" idle="30" half-pdu="5"/>
<allow shots="3" cancel="true" copies="false" longest-return="0.5"/>
<rules answer-slack="0.05" drain-grace="1" start-capacity="0.2" cold-for="5" fall-multiple="2" overload-for="1"
 young-units="8" key-quiet="0"/>
<units mean="1" most="6" metering="0"/>
<layout initiators="1" nodes="NODES" zones="1" extent-blocks="2048"/>
<band name="read" due="0.5" outer="2" benefit="1" repeat="repeatable" writes="false"/>
<band name="write" due="0.5" outer="2" benefit="1" repeat="once-only" writes="true"/>
<plan name="only" nominal="1000" reservation="500" weight="1" factor="1"/>
<volumes plan="only" first="1" count="32" initiators="1" nodes="1"/>
</deployment>"#;

struct Process(Child, SocketAddr);

impl Process {
    fn start(command: &mut Command) -> Process {
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn().expect("a program");
        let mut line = String::new();
        let mut lines = BufReader::new(child.stdout.take().unwrap());
        lines.read_line(&mut line).unwrap();
        child.stdout = Some(lines.into_inner());
        let address = line.trim().strip_prefix("listening ").expect("it listens").parse().unwrap();
        Process(child, address)
    }

    /// User and system time so far, seconds.
    fn cpu(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
        let rest = text.rsplit(") ").next().unwrap();
        let ticks: Vec<f64> = rest.split(' ').skip(11).take(2).map(|word| word.parse().unwrap()).collect();
        (ticks[0] + ticks[1]) / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct Queue {
    stream: TcpStream,
    host: Host,
    events: Vec<Event>,
}

impl Queue {
    fn open(address: SocketAddr, number: u16, controller: u16, offer: Offer) -> (Queue, u16) {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        let host = Host::start_with(number, QUEUE_SIZE, controller, "nqn.measure", "nqn.measure:0", offer);
        let mut queue = Queue { stream, host, events: Vec::new() };
        let mut enable = Enable::new(1, false);
        loop {
            let out = std::mem::take(&mut queue.host.out);
            queue.stream.write_all(&out).unwrap();
            queue.pull();
            for event in std::mem::take(&mut queue.events) {
                if number > 0 {
                    assert!(matches!(event, Event::Ready { .. }) && queue.host.state() == State::Ready);
                    return (queue, controller);
                }
                if enable.take(&mut queue.host, event).unwrap() {
                    return (queue, enable.controller);
                }
            }
        }
    }

    fn pull(&mut self) {
        let mut buffer = [0; 1 << 18];
        let count = self.stream.read(&mut buffer).unwrap();
        assert!(count > 0, "closed");
        self.host.feed(&buffer[..count], &mut self.events).unwrap();
        // Data that an R2T asked for.
        let out = std::mem::take(&mut self.host.out);
        self.stream.write_all(&out).unwrap();
    }
}

struct Point {
    rate: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    declined: u64,
}

#[derive(Clone, Copy)]
struct Load {
    writes: bool,
    bytes: usize,
    depth: usize,
    digests: bool,
}

/// Keeps `depth` commands out for a time.
fn measure(address: SocketAddr, load: Load, length: Duration) -> Point {
    let format = Format { header_digest: load.digests, data_digest: load.digests, align: 0 };
    let offer = Offer { format, insist: true, keep_alive_ms: 0 };
    let (_admin, controller) = Queue::open(address, 0, ANY_CONTROLLER, offer);
    let (mut queue, _) = Queue::open(address, 1, controller, offer);
    let mut latency = Histogram::<u64>::new(3).unwrap();
    let mut sent: Vec<Instant> = vec![Instant::now(); usize::from(QUEUE_SIZE)];
    let (mut nth, mut done, mut declined) = (0u64, 0u64, 0u64);
    let (start, mut from) = (Instant::now(), Instant::now());
    let warm = Duration::from_millis(300);
    let mut counting = false;
    while start.elapsed() < warm + length {
        if !counting && start.elapsed() > warm {
            (counting, from, done, declined) = (true, Instant::now(), 0, 0);
            latency.reset();
        }
        let mut bytes = Vec::new();
        while queue.host.live() < load.depth {
            nth += 1;
            let band = if load.writes { 2 } else { 1 };
            let marks =
                Marks { band, units: 1, key: nth as u32 % 64 + 1, mark: nth << 8, ..Marks::default() };
            let opcode = if load.writes { opcode::WRITE } else { opcode::READ };
            let sqe = marks.put(Sqe::transfer(opcode, 1 + (nth % 32) as u32, 0, (load.bytes / 512) as u32));
            let (data, expected) =
                if load.writes { (vec![9; load.bytes], 0) } else { (Vec::new(), load.bytes) };
            let (cid, one) = queue.host.submit(sqe, data, expected).unwrap();
            sent[usize::from(cid)] = Instant::now();
            bytes.extend(one);
        }
        queue.stream.write_all(&bytes).unwrap();
        queue.pull();
        for event in queue.events.drain(..) {
            if let Event::Done { cid, cqe, .. } = event {
                done += 1;
                declined += u64::from(cqe.status != 0);
                latency.record(sent[usize::from(cid)].elapsed().as_nanos() as u64).unwrap();
            }
        }
    }
    let at = |part| latency.value_at_quantile(part) as f64 / 1e3;
    let rate = done as f64 / from.elapsed().as_secs_f64();
    Point { rate, p50: at(0.5), p99: at(0.99), p999: at(0.999), declined }
}

fn programs(folder: &Path, nodes: u32) -> (Vec<Process>, Process, Process) {
    let settings = folder.join(format!("measure-{nodes}.xml"));
    std::fs::write(&settings, DEPLOYMENT.replace("NODES", &nodes.to_string())).unwrap();
    let targets: Vec<Process> = (0..nodes)
        .map(|block| {
            let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-target"));
            command.arg("--settings").arg(&settings);
            Process::start(command.args(["--block", &block.to_string(), "--unit-time", "0", "--cores", "8"]))
        })
        .collect();
    let mut register = Process::start(&mut Command::new(env!("CARGO_BIN_EXE_quaypath-register")));
    for (block, target) in targets.iter().enumerate() {
        writeln!(register.0.stdin.as_mut().unwrap(), "ready {} {block}", target.1).unwrap();
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"));
    command.arg("--settings").arg(&settings).arg("--list").arg(folder.join("list")).args([
        "--listen",
        "127.0.0.1:0",
        "--register",
        &register.1.to_string(),
        "--seed",
        "1",
        "--until-stdin-closes",
    ]);
    let gateway = Process::start(command.stderr(Stdio::null()));
    (targets, register, gateway)
}

fn main() {
    let seconds = std::env::args().filter_map(|word| word.parse::<f64>().ok()).next().unwrap_or(5.0);
    let length = Duration::from_secs_f64(seconds);
    let folder = std::env::temp_dir().join(format!("quaypath-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    println!("nodes kind   bytes digests depth |  direct/s    p50     p99   p99.9 | gateway/s    p50     p99   p99.9 | added p50 | CPU us | part of direct | declined");
    for nodes in [1, 4] {
        let (targets, _register, mut gateway) = programs(&folder, nodes);
        std::thread::sleep(Duration::from_millis(300));
        let mut loads = Vec::new();
        for (bytes, writes, digests) in [
            (512, false, false),
            (4096, false, false),
            (65536, false, false),
            (512, true, false),
            (4096, true, false),
            (65536, true, false),
            (4096, false, true),
            (65536, false, true),
        ] {
            // One node shows the cost of the path; several show it beyond the core's bound at one node.
            if nodes > 1 && (digests || bytes == 512) {
                continue;
            }
            for depth in [1, 8, 32, 126] {
                loads.push(Load { writes, bytes, depth, digests });
            }
        }
        for load in loads {
            let direct = measure(targets[0].1, load, length);
            let before = gateway.cpu();
            let through = measure(gateway.1, load, length);
            // The warm-up's share of both is the same.
            let spent = (gateway.cpu() - before) / (length.as_secs_f64() + 0.3);
            println!(
                "{nodes:5} {:5} {:6} {:7} {:5} | {:9.0} {:6.0} {:7.0} {:7.0} | {:9.0} {:6.0} {:7.0} {:7.0} | {:7.0}us | {:6.1} | {:5.2} | {}",
                if load.writes { "write" } else { "read" }, load.bytes, load.digests, load.depth,
                direct.rate, direct.p50, direct.p99, direct.p999,
                through.rate, through.p50, through.p99, through.p999,
                through.p50 - direct.p50, spent / through.rate * 1e6, through.rate / direct.rate, through.declined
            );
        }
        drop(gateway.0.stdin.take());
        let mut text = String::new();
        gateway.0.stdout.take().unwrap().read_to_string(&mut text).unwrap();
        let counts: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
        let core = counts["core_seconds"].as_f64().unwrap() / counts["taken"].as_f64().unwrap() * 1e6;
        let calls = |name: &str| counts[name].as_f64().unwrap() / counts["taken"].as_f64().unwrap();
        println!(
            "core: {core:.1} us of each transaction, over {} taken; {:.2} reads and {:.2} writes of sockets each",
            counts["taken"],
            calls("reads"),
            calls("writes")
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
