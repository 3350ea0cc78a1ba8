//! The load generator on real sockets: a stalled node, gateways that are killed, Ctrl-C, and generators that die.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use quaypath_load::account::{Key, Kind};
use quaypath_load::result::Outcome;
use quaypath_load::run::{run, Fleet, Place, Run};
use quaypath_load::sim::expected;
use quaypath_record::{Clock, Event};
use rustix::process::{kill_process, Pid, Signal};

/// Upper bound of every wait for a condition, far above the usual time.
const MAX_WAIT: Duration = Duration::from_secs(40);

const DEPLOYMENT: &str = r#"<deployment name="small">
  <listen address="127.0.0.1:0" connections="64" open="2048"/>
  <register address="127.0.0.1:1" mode="pushed"/>
  <connections connect="0.5" idle="30" half-pdu="5"/>
  <allow shots="4" cancel="true" copies="false" longest-return="0.5"/>
  <rules answer-slack="0.1" drain-grace="2" start-capacity="0.2" cold-for="12" fall-multiple="2" overload-for="1"
         young-units="10" key-quiet="0"/>
  <units mean="2" most="6" metering="0"/>
  <layout initiators="2" nodes="1" zones="1" extent-blocks="256"/>
  <band name="look-up" due="0.2" outer="2" benefit="3" repeat="repeatable" writes="false"/>
  <band name="purchase" due="0.3" outer="2" benefit="3" repeat="once-only" writes="true"/>
  <plan name="basic" nominal="6" reservation="0" weight="1" factor="0.8"/>
  <plan name="gold" nominal="15" reservation="12" weight="4" factor="1.5"/>
  <volumes plan="basic" first="1" count="5" initiators="2" nodes="1"/>
  <volumes plan="gold" first="101" count="3" initiators="2" nodes="1"/>
</deployment>"#;

/// A temporary folder with a deployment and a load; removed on drop.
struct Folder(PathBuf);

impl Folder {
    fn new(arrivals: &str, lasts: f64) -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("quaypath-load-it-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = Folder(std::env::temp_dir().join(name));
        std::fs::create_dir_all(&folder.0).unwrap();
        std::fs::write(folder.path("deployment.xml"), DEPLOYMENT).unwrap();
        let load = format!(
            "<load name='small' deployment='deployment.xml' seed='7' lasts='{lasts}' interval='0.5'>{arrivals}\
             <share band='look-up' part='0.7'/><share band='purchase' part='0.3'/>\
             <bounds open='100000' behind='5' lag='2' queues='2'/></load>"
        );
        std::fs::write(folder.path("load.xml"), load).unwrap();
        folder
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A target's process that does no work; killed when dropped.
struct Target {
    process: Child,
    address: SocketAddr,
}

impl Target {
    fn start(folder: &Folder) -> Target {
        let mut process = Command::new(env!("CARGO_BIN_EXE_quaypath-target"))
            .arg("--settings")
            .arg(folder.path("deployment.xml"))
            .args(["--block", "0", "--unit-time", "0", "--cores", "8", "--record"])
            .arg(folder.path("target.jsonl"))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(process.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().strip_prefix("listening ").unwrap().parse().unwrap();
        let target = Target { process, address };
        std::fs::write(folder.path("fleet"), format!("target 0 {address}\n")).unwrap();
        target
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.process.id() as i32).unwrap(), signal).unwrap();
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Runs a load against a node that is stopped for `stop` seconds, beginning `from` seconds after the start. Returns the measured
/// duration of the stop, in seconds, and the result.
fn run_with_stall(arrivals: &str, lasts: f64, from: f64, stop: f64) -> (f64, Outcome) {
    let folder = Folder::new(arrivals, lasts);
    let target = Target::start(&folder);
    let path = folder.path("load.xml");
    let loaded = quaypath_settings::load(&path).unwrap();
    let clock = Clock::default();
    let fleet = Fleet { addresses: vec![target.address], targets: true };
    let start = clock.now() + 0.5;
    std::thread::scope(|scope| {
        let running = scope.spawn(|| {
            let given = Run { path: &path, loaded: &loaded, fleet: &fleet, clock, record: None, every: 1.0 };
            run(given, Place { part: 0, of: 1, start }, std::future::pending(), |_| {}).unwrap().0
        });
        let sleep_until = |at: f64| std::thread::sleep(Duration::from_secs_f64((at - clock.now()).max(0.0)));
        sleep_until(start + from);
        let began = clock.now();
        target.signal(Signal::STOP);
        sleep_until(began + stop);
        target.signal(Signal::CONT);
        (clock.now() - began, running.join().unwrap())
    })
}

/// Compares the measured latencies with those computed in docs/design/load.md: at 400 requests per second and almost no service
/// time, a stop of S seconds in a run of D seconds gives quantile q a latency of S - (1 - q) D where that is above 0. The
/// tolerance of 0.15 s covers delays of the machine.
#[test]
fn a_stall_shows_as_computed() {
    let (stop, outcome) = run_with_stall("<open process='constant' rate='400'/>", 4.0, 1.0, 1.2);
    let cell = outcome.cell(Key::new(Kind::All, 0)).unwrap();
    assert_eq!(cell.counts.settled(), cell.counts.offered, "{:?}", cell.counts);
    assert!((1599..=1600).contains(&cell.counts.offered), "{:?}", cell.counts);
    for q in [0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 0.9999, 1.0] {
        let measured = cell.meant.value_at_quantile(q) as f64 / 1e6;
        let expected = expected(q, 400.0, 0.0, stop, 4.0);
        assert!((measured - expected).abs() < 0.15, "q {q}: measured {measured}, expected {expected}");
    }
    assert!((cell.meant.max() as f64 / 1e6 - stop).abs() < 0.15);
    // Requests without a free queue entry waited before they were sent; measured from the sending they would seem fast.
    let slow_count = |histogram: &quaypath_load::account::Latencies| {
        let slow = histogram.iter_recorded().filter(|step| step.value_iterated_to() > 100_000);
        slow.map(|step| step.count_at_value()).sum::<u64>()
    };
    assert!(
        slow_count(&cell.wire) < slow_count(&cell.meant),
        "{} and {}",
        slow_count(&cell.wire),
        slow_count(&cell.meant)
    );
}

/// With the same stop, a closed loop at about the same rate does not show it in its 99th percentile.
#[test]
fn a_closed_loop_hides_a_stall() {
    let (stop, outcome) = run_with_stall("<closed clients='4' think='0.01'/>", 4.0, 1.0, 1.2);
    let cell = outcome.cell(Key::new(Kind::All, 0)).unwrap();
    assert!(outcome.meta.arrivals.starts_with("CLOSED"), "{}", outcome.meta.arrivals);
    assert!(cell.meant.max() as f64 / 1e6 > stop - 0.15);
    let slow = cell.meant.len() as f64
        - cell
            .meant
            .iter_recorded()
            .filter(|step| step.value_iterated_to() < 500_000)
            .map(|step| step.count_at_value() as f64)
            .sum::<f64>();
    // Only the requests that the four clients had in flight can have met the stop; in the open loop 480 did.
    assert!(slow <= 4.0 && cell.counts.offered > 200, "{slow} of {}", cell.counts.offered);
}

/// A command of the load generator, run in this folder.
fn load(arguments: &[&str], folder: &Folder) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-load"));
    command.args(arguments).current_dir(&folder.0).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Standard output and standard error.
fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn wait_for<T>(description: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + MAX_WAIT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting for {description}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Number of commands that the node has received from this generator.
fn received_commands(folder: &Folder, gateway: u32) -> usize {
    let events = quaypath_record::read(&[folder.path("target.jsonl")]).unwrap_or_default();
    events
        .iter()
        .filter(|event| matches!(event, Event::ShotArrived { gateway: from, .. } if *from == gateway))
        .count()
}

fn interrupt(process: &Child) {
    kill_process(Pid::from_raw(process.id() as i32).unwrap(), Signal::INT).unwrap();
}

/// Ctrl-C ends the load, and the results so far are kept.
#[test]
fn ctrl_c_keeps_what_was_measured() {
    let folder = Folder::new("<open process='poisson' rate='200'/>", 600.0);
    let _target = Target::start(&folder);
    let arguments = ["run", "load.xml", "--fleet", "fleet", "--report", "out", "--record", "own.jsonl"];
    let process = load(&arguments, &folder).spawn().unwrap();
    wait_for("the first commands", || (received_commands(&folder, 0) > 50).then_some(()));
    interrupt(&process);
    let output = process.wait_with_output().unwrap();
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("ENDED EARLY: stopped after"), "{}", text(&output));
    let outcome = Outcome::read(&folder.path("out/result.parquet")).unwrap();
    let counts = outcome.cell(Key::new(Kind::All, 0)).unwrap().counts;
    assert!(counts.offered >= 50 && counts.settled() > 0, "{counts:?}");
    for chart in ["latency", "distribution", "throughput", "shares"] {
        assert!(folder.path(&format!("out/{chart}.svg")).exists(), "{chart}");
    }
    // The record of this run can be run again as a load.
    let recorded = "<load name='again' deployment='deployment.xml' seed='1' lasts='9' interval='1'>\
                    <recorded file='own.jsonl' speed='2'/><bounds open='100' behind='1' lag='1'/></load>";
    std::fs::write(folder.path("again.xml"), recorded).unwrap();
    let output = load(&["show", "again.xml"], &folder).output().unwrap();
    assert!(output.status.success() && text(&output).contains(" arrivals, the last at"), "{}", text(&output));
    let output = load(&["run", "again.xml", "--fleet", "fleet"], &folder).output().unwrap();
    assert!(output.status.success() && text(&output).contains("rows of the record"), "{}", text(&output));
}

/// Gateways that are killed midway refuse connections until they restart: requests in flight are cut off, new ones wait until
/// their clients give up, every request is accounted for, and the seven rules hold.
#[test]
fn gateways_refuse_connections_midway() {
    let folder = Folder::new("<open process='poisson' rate='120'/>", 7.0);
    let day = "<day name='small' deployment='deployment.xml' seed='3' lasts='8' transit='0.1'>\
               <fleet gateways='2' nodes='1' cores='2' unit-time='0.002' run-part='0.5' put-off='0.3' flush-every='2' \
               queue='50' warm-after='10' cancel-stops='true' notice='1'/>\
               <traffic rate='1' retries='0'><share band='look-up' part='1'/></traffic>\
               <fault kind='kill-initiators' at='1.5' lasts='0' part='1' returns='3'/></day>";
    std::fs::write(folder.path("day.xml"), day).unwrap();
    let arguments = ["run", "load.xml", "--day", "day.xml", "--record", "own.jsonl", "--report", "out"];
    let output = load(&arguments, &folder).output().unwrap();
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("fleet: rules kept"), "{}", text(&output));
    let counts = Outcome::read(&folder.path("out/result.parquet")).unwrap().sum().unwrap().counts;
    let ended: u64 = counts.ends().iter().map(|(_, count)| count).sum();
    assert_eq!(ended, counts.offered, "{counts:?}");
    assert!(counts.unsent > 20 && counts.settled() > 100 && counts.missed == 0, "{counts:?}");
}

/// Starts a generator that collects the results of two parts. Returns its process, its address, and its error output.
fn start_gathering(folder: &Folder) -> (Child, String, BufReader<std::process::ChildStderr>) {
    let arguments =
        ["run", "load.xml", "--fleet", "fleet", "--report", "out", "--parts", "2", "--gather", "127.0.0.1:0"];
    let mut process = load(&arguments, folder).spawn().unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap());
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    let address = line.trim().rsplit(' ').next().unwrap().to_string();
    (process, address, lines)
}

/// One of two generators dies midway: its share is reported as missing, and the result holds that of the other.
#[test]
fn a_part_that_dies_is_missing() {
    let folder = Folder::new("<open process='poisson' rate='300'/>", 5.0);
    let _target = Target::start(&folder);
    let (process, address, _lines) = start_gathering(&folder);
    // Bytes of another protocol and an excessive length each close only their own connection, not the load.
    let mut stranger = TcpStream::connect(&address).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut greedy = TcpStream::connect(&address).unwrap();
    greedy.write_all(&[0xff, 0xff, 0xff, 0xff, 1]).unwrap();
    let join = || load(&["join", "load.xml", &address], &folder).spawn().unwrap();
    let (mut killed, mut remaining) = (join(), join());
    wait_for("commands of both generators", || {
        (received_commands(&folder, 0) > 20 && received_commands(&folder, 1) > 20).then_some(())
    });
    killed.kill().unwrap();
    killed.wait().unwrap();
    let output = process.wait_with_output().unwrap();
    assert!(remaining.wait().unwrap().success());
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("MISSING: generator"), "{}", text(&output));
    let outcome = Outcome::read(&folder.path("out/result.parquet")).unwrap();
    let missing = &outcome.meta.missing;
    assert_eq!((outcome.meta.parts, missing.len()), (2, 1));
    let offered = outcome.sum().unwrap().counts.offered;
    // The offered and the missing requests add up to the whole load.
    let whole = load(&["show", "load.xml"], &folder).output().unwrap();
    let whole: u64 =
        text(&whole).lines().find_map(|line| line.split(" arrivals").next()?.parse().ok()).unwrap();
    assert_eq!(offered + missing[0].offered, whole);
}

/// Two generators together offer the same load as one, and their results are merged.
#[test]
fn two_parts_make_the_whole() {
    let folder = Folder::new("<open process='poisson' rate='300'/>", 3.0);
    let _target = Target::start(&folder);
    let output =
        load(&["run", "load.xml", "--fleet", "fleet", "--report", "two", "--parts", "2"], &folder).output();
    let output = output.unwrap();
    assert!(output.status.success(), "{}", text(&output));
    let output = load(&["run", "load.xml", "--fleet", "fleet", "--report", "one"], &folder).output().unwrap();
    assert!(output.status.success(), "{}", text(&output));
    let read = |name: &str| Outcome::read(&folder.path(name).join("result.parquet")).unwrap();
    let (two, one) = (read("two"), read("one"));
    for kind in [Kind::Band, Kind::Plan] {
        for name in 0..2 {
            let offered = |outcome: &Outcome| outcome.cell(Key::new(kind, name)).unwrap().counts.offered;
            assert_eq!(offered(&two), offered(&one));
        }
    }
    assert_eq!(two.volumes.keys().collect::<Vec<_>>(), one.volumes.keys().collect::<Vec<_>>());
    let output = load(&["compare", "one/result.parquet", "two/result.parquet"], &folder).output().unwrap();
    assert!(output.status.success() && text(&output).contains("too few samples"), "{}", text(&output));
}

/// Invalid input gives one message that names the place and the rule, and exit code 2.
#[test]
fn bad_input_is_refused() {
    let refused = |folder: &Folder, arguments: &[&str], message: &str| {
        let output = load(arguments, folder).output().unwrap();
        let text = text(&output);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(message) && text.lines().count() == 1, "{message}: {text}");
    };
    let rate_too_high = Folder::new("<open process='poisson' rate='5000000'/>", 5.0);
    refused(
        &rate_too_high,
        &["show", "load.xml"],
        "open, rate: found 5000000 a second at the peak; 1000000 at most",
    );
    let alpha_too_low = Folder::new("<open process='heavy-tail' alpha='1' rate='5'/>", 5.0);
    refused(&alpha_too_low, &["show", "load.xml"], "open, alpha: found 1; above 1");
    let invalid_files = Folder::new("<open process='poisson' rate='5'/>", 5.0);
    std::fs::write(invalid_files.path("result"), b"nonsense").unwrap();
    refused(&invalid_files, &["report", "result"], "result: not a Parquet file");
    refused(&invalid_files, &["run", "load.xml", "--fleet", "result"], "no line of 'gateway NUMBER ADDRESS'");
    let too_deep = format!("<load>{}{}</load>", "<sum>".repeat(100_000), "</sum>".repeat(100_000));
    std::fs::write(invalid_files.path("deep.xml"), too_deep).unwrap();
    refused(&invalid_files, &["show", "deep.xml"], "elements more than 32 deep");
}

/// A reader that closes the output early, as `head` does, does not make the program fail.
#[test]
fn a_closed_output_is_no_failure() {
    let folder = Folder::new("<open process='poisson' rate='50'/>", 1.0);
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output =
        load(&["show", "load.xml"], &folder).stdout(writer).spawn().unwrap().wait_with_output().unwrap();
    assert!(output.status.success() && !text(&output).contains("panicked"), "{}", text(&output));
}

/// The search for the knee on real sockets ends: nodes without service time sustain any rate that it may try.
#[test]
fn a_search_ends() {
    let folder = Folder::new("<open process='poisson' rate='100'/>", 2.0);
    let _target = Target::start(&folder);
    let arguments = [
        "knee",
        "load.xml",
        "--fleet",
        "fleet",
        "--band",
        "look-up",
        "--part",
        "0.5",
        "--most",
        "200",
        "--lasts",
        "1",
        "--rest",
        "0",
        "--repeats",
        "2",
    ];
    let output = load(&arguments, &folder).output().unwrap();
    assert!(output.status.success(), "{}", text(&output));
    assert!(text(&output).contains("still holds at 200 a second"), "{}", text(&output));
}
