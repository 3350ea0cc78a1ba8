//! Cost of one gateway: the same client code sends commands directly to a node without service time, and through a gateway to
//! the same node, in one run. Prints throughput, latency and CPU time at several queue depths.
//!
//! `cargo bench -p quaypath-programs --bench gateway`; the first argument is the duration of each measurement in seconds, 5 by
//! default.

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

/// A started program and the address on which it listens.
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

    /// User and system CPU time so far, seconds.
    fn cpu_seconds(&self) -> f64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.0.id())).unwrap();
        let fields = text.rsplit(") ").next().unwrap();
        let ticks: Vec<f64> =
            fields.split(' ').skip(11).take(2).map(|field| field.parse().unwrap()).collect();
        (ticks[0] + ticks[1]) / 100.0
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// One queue of a client.
struct Queue {
    stream: TcpStream,
    host: Host,
    events: Vec<Event>,
}

impl Queue {
    /// Connects a queue, the admin queue if `number` is 0. Returns it with the controller id.
    fn open(address: SocketAddr, number: u16, controller: u16, offer: Offer) -> (Queue, u16) {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_nodelay(true).unwrap();
        let host = Host::start_with(number, QUEUE_SIZE, controller, "nqn.measure", "nqn.measure:0", offer);
        let mut queue = Queue { stream, host, events: Vec::new() };
        let mut enable = Enable::new(1, false);
        loop {
            let out = std::mem::take(&mut queue.host.out);
            queue.stream.write_all(&out).unwrap();
            queue.receive();
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

    /// Reads once.
    fn receive(&mut self) {
        let mut buffer = [0; 1 << 18];
        let count = self.stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the connection was closed");
        self.host.feed(&buffer[..count], &mut self.events).unwrap();
        // Sends the data that an R2T asked for.
        let out = std::mem::take(&mut self.host.out);
        self.stream.write_all(&out).unwrap();
    }
}

/// Result of one measurement; latencies in microseconds.
struct Measurement {
    /// Commands per second.
    rate: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    declined: u64,
}

#[derive(Clone, Copy)]
struct Load {
    writes: bool,
    /// Length of each command's data.
    bytes: usize,
    /// Commands in flight.
    depth: usize,
    digests: bool,
}

/// Keeps `depth` commands in flight for this time, after a warm-up.
fn measure(address: SocketAddr, load: Load, duration: Duration) -> Measurement {
    let format = Format { header_digest: load.digests, data_digest: load.digests, align: 0 };
    let offer = Offer { format, insist: true, keep_alive_ms: 0 };
    let (_admin, controller) = Queue::open(address, 0, ANY_CONTROLLER, offer);
    let (mut queue, _) = Queue::open(address, 1, controller, offer);
    let mut latency = Histogram::<u64>::new(3).unwrap();
    let mut sent: Vec<Instant> = vec![Instant::now(); usize::from(QUEUE_SIZE)];
    let (mut submitted, mut completed, mut declined) = (0u64, 0u64, 0u64);
    let (start, mut from) = (Instant::now(), Instant::now());
    let warm_up = Duration::from_millis(300);
    let mut counting = false;
    while start.elapsed() < warm_up + duration {
        if !counting && start.elapsed() > warm_up {
            (counting, from, completed, declined) = (true, Instant::now(), 0, 0);
            latency.reset();
        }
        let mut bytes = Vec::new();
        while queue.host.live() < load.depth {
            submitted += 1;
            let band = if load.writes { 2 } else { 1 };
            let marks = Marks {
                band,
                units: 1,
                key: submitted as u32 % 64 + 1,
                mark: submitted << 8,
                ..Marks::default()
            };
            let opcode = if load.writes { opcode::WRITE } else { opcode::READ };
            let sqe =
                marks.put(Sqe::transfer(opcode, 1 + (submitted % 32) as u32, 0, (load.bytes / 512) as u32));
            let (data, expected) =
                if load.writes { (vec![9; load.bytes], 0) } else { (Vec::new(), load.bytes) };
            let (cid, command) = queue.host.submit(sqe, data, expected).unwrap();
            sent[usize::from(cid)] = Instant::now();
            bytes.extend(command);
        }
        queue.stream.write_all(&bytes).unwrap();
        queue.receive();
        for event in queue.events.drain(..) {
            if let Event::Done { cid, cqe, .. } = event {
                completed += 1;
                declined += u64::from(cqe.status != 0);
                latency.record(sent[usize::from(cid)].elapsed().as_nanos() as u64).unwrap();
            }
        }
    }
    let quantile_us = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
    let rate = completed as f64 / from.elapsed().as_secs_f64();
    Measurement { rate, p50: quantile_us(0.5), p99: quantile_us(0.99), p999: quantile_us(0.999), declined }
}

/// Starts the nodes, the register and the gateway.
fn start_programs(folder: &Path, nodes: u32) -> (Vec<Process>, Process, Process) {
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
    let seconds = std::env::args().filter_map(|argument| argument.parse::<f64>().ok()).next().unwrap_or(5.0);
    let duration = Duration::from_secs_f64(seconds);
    let folder = std::env::temp_dir().join(format!("quaypath-measure-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    println!("nodes kind   bytes digests depth |  direct/s    p50     p99   p99.9 | gateway/s    p50     p99   p99.9 | added p50 | CPU us | part of direct | declined");
    for nodes in [1, 4] {
        let (targets, _register, mut gateway) = start_programs(&folder, nodes);
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
            // One node shows the cost of the path; several nodes show it beyond the scheduler's bound at one node.
            if nodes > 1 && (digests || bytes == 512) {
                continue;
            }
            for depth in [1, 8, 32, 126] {
                loads.push(Load { writes, bytes, depth, digests });
            }
        }
        for load in loads {
            let direct = measure(targets[0].1, load, duration);
            let before = gateway.cpu_seconds();
            let through = measure(gateway.1, load, duration);
            // The CPU time includes the warm-up of 0.3 s, so the duration does too.
            let cpu_per_second = (gateway.cpu_seconds() - before) / (duration.as_secs_f64() + 0.3);
            println!(
                "{nodes:5} {:5} {:6} {:7} {:5} | {:9.0} {:6.0} {:7.0} {:7.0} | {:9.0} {:6.0} {:7.0} {:7.0} | {:7.0}us | {:6.1} | {:5.2} | {}",
                if load.writes { "write" } else { "read" }, load.bytes, load.digests, load.depth,
                direct.rate, direct.p50, direct.p99, direct.p999,
                through.rate, through.p50, through.p99, through.p999,
                through.p50 - direct.p50, cpu_per_second / through.rate * 1e6, through.rate / direct.rate, through.declined
            );
        }
        drop(gateway.0.stdin.take());
        let mut text = String::new();
        gateway.0.stdout.take().unwrap().read_to_string(&mut text).unwrap();
        let counts: serde_json::Value = serde_json::from_str(text.trim()).unwrap();
        let scheduler_us = counts["core_seconds"].as_f64().unwrap() / counts["taken"].as_f64().unwrap() * 1e6;
        let per_transaction = |name: &str| counts[name].as_f64().unwrap() / counts["taken"].as_f64().unwrap();
        println!(
            "core: {scheduler_us:.1} us of each transaction, over {} taken; {:.2} reads and {:.2} writes of sockets each",
            counts["taken"],
            per_transaction("reads"),
            per_transaction("writes")
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
}
