//! The load generator on sockets: the planted stall, a gateway that goes, Ctrl-C, parts that die.

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

/// Bounds every wait for a condition; far above what any takes.
const PATIENCE: Duration = Duration::from_secs(40);

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

/// A folder of its own with a deployment and a load; removed in the end.
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

/// A load against a target that stands still for `stop` seconds from `from` on; the measured stop, and the result.
fn stalled(arrivals: &str, lasts: f64, from: f64, stop: f64) -> (f64, Outcome) {
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

/// By docs/design/load.md: at 400 a second and next to no service time, a stop of S seconds in D gives quantile q a
/// latency of S - (1 - q) D where that is above 0. Tolerance 0.15 s, for what the machine adds.
#[test]
fn a_planted_stall_shows_as_computed() {
    let (stop, outcome) = stalled("<open process='constant' rate='400'/>", 4.0, 1.0, 1.2);
    let cell = outcome.cell(Key::new(Kind::All, 0)).unwrap();
    assert_eq!(cell.counts.settled(), cell.counts.offered, "{:?}", cell.counts);
    assert!((1599..=1600).contains(&cell.counts.offered), "{:?}", cell.counts);
    for q in [0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 0.9999, 1.0] {
        let found = cell.meant.value_at_quantile(q) as f64 / 1e6;
        let expected = expected(q, 400.0, 0.0, stop, 4.0);
        assert!((found - expected).abs() < 0.15, "q {q}: {found}, {expected} by hand");
    }
    assert!((cell.meant.max() as f64 / 1e6 - stop).abs() < 0.15);
    // What found no queue entry waited off the wire: counted from its sending it would look quick.
    let over = |histogram: &quaypath_load::account::Latencies| {
        let slow = histogram.iter_recorded().filter(|step| step.value_iterated_to() > 100_000);
        slow.map(|step| step.count_at_value()).sum::<u64>()
    };
    assert!(over(&cell.wire) < over(&cell.meant), "{} and {}", over(&cell.wire), over(&cell.meant));
}

/// The same stop and a closed loop of about as many a second: its 99th percentile knows nothing of it.
#[test]
fn a_closed_loop_hides_it() {
    let (stop, outcome) = stalled("<closed clients='4' think='0.01'/>", 4.0, 1.0, 1.2);
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
    // Only what the four clients had out can have seen it; the open loop's 480 did.
    assert!(slow <= 4.0 && cell.counts.offered > 200, "{slow} of {}", cell.counts.offered);
}

fn load(arguments: &[&str], folder: &Folder) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-load"));
    command.args(arguments).current_dir(&folder.0).stdin(Stdio::null());
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn wait_for<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = found() {
            return found;
        }
        assert!(Instant::now() < until, "waited for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Commands that the target has read from each generator.
fn arrived(folder: &Folder, gateway: u32) -> usize {
    let events = quaypath_record::read(&[folder.path("target.jsonl")]).unwrap_or_default();
    events
        .iter()
        .filter(|event| matches!(event, Event::ShotArrived { gateway: from, .. } if *from == gateway))
        .count()
}

fn interrupt(process: &Child) {
    kill_process(Pid::from_raw(process.id() as i32).unwrap(), Signal::INT).unwrap();
}

/// Ctrl-C ends the load and keeps what was measured.
#[test]
fn ctrl_c_keeps_what_was_measured() {
    let folder = Folder::new("<open process='poisson' rate='200'/>", 600.0);
    let _target = Target::start(&folder);
    let arguments = ["run", "load.xml", "--fleet", "fleet", "--report", "out", "--record", "own.jsonl"];
    let process = load(&arguments, &folder).spawn().unwrap();
    wait_for("the first commands", || (arrived(&folder, 0) > 50).then_some(()));
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
    // The record of it is a load in its turn.
    let recorded = "<load name='again' deployment='deployment.xml' seed='1' lasts='9' interval='1'>\
                    <recorded file='own.jsonl' speed='2'/><bounds open='100' behind='1' lag='1'/></load>";
    std::fs::write(folder.path("again.xml"), recorded).unwrap();
    let output = load(&["show", "again.xml"], &folder).output().unwrap();
    assert!(output.status.success() && text(&output).contains(" arrivals, the last at"), "{}", text(&output));
    let output = load(&["run", "again.xml", "--fleet", "fleet"], &folder).output().unwrap();
    assert!(output.status.success() && text(&output).contains("rows of the record"), "{}", text(&output));
}

/// Gateways that are killed midway refuse connections until they are back: what was out is cut, what comes is held
/// until its callers give up, nothing is lost, and the seven rules hold over it all.
#[test]
fn a_gateway_refuses_connections_midway() {
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

/// Starts a gathering of two; gives its process and address.
fn gathering(folder: &Folder) -> (Child, String, BufReader<std::process::ChildStderr>) {
    let arguments =
        ["run", "load.xml", "--fleet", "fleet", "--report", "out", "--parts", "2", "--gather", "127.0.0.1:0"];
    let mut process = load(&arguments, folder).spawn().unwrap();
    let mut lines = BufReader::new(process.stderr.take().unwrap());
    let mut line = String::new();
    lines.read_line(&mut line).unwrap();
    let address = line.trim().rsplit(' ').next().unwrap().to_string();
    (process, address, lines)
}

/// One generator of two dies midway: its share is told as missing, and the result is the other's.
#[test]
fn a_part_that_dies_is_missing() {
    let folder = Folder::new("<open process='poisson' rate='300'/>", 5.0);
    let _target = Target::start(&folder);
    let (process, address, _lines) = gathering(&folder);
    // A stranger's bytes and a claim of too much cost a connection each, not the load.
    let mut stranger = TcpStream::connect(&address).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let mut greedy = TcpStream::connect(&address).unwrap();
    greedy.write_all(&[0xff, 0xff, 0xff, 0xff, 1]).unwrap();
    let join = || load(&["join", "load.xml", &address], &folder).spawn().unwrap();
    let (mut one, mut other) = (join(), join());
    wait_for("both at work", || (arrived(&folder, 0) > 20 && arrived(&folder, 1) > 20).then_some(()));
    one.kill().unwrap();
    one.wait().unwrap();
    let output = process.wait_with_output().unwrap();
    assert!(other.wait().unwrap().success());
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("MISSING: generator"), "{}", text(&output));
    let outcome = Outcome::read(&folder.path("out/result.parquet")).unwrap();
    let missing = &outcome.meta.missing;
    assert_eq!((outcome.meta.parts, missing.len()), (2, 1));
    let offered = outcome.sum().unwrap().counts.offered;
    // What came and what is missing make up the whole.
    let whole = load(&["show", "load.xml"], &folder).output().unwrap();
    let whole: u64 =
        text(&whole).lines().find_map(|line| line.split(" arrivals").next()?.parse().ok()).unwrap();
    assert_eq!(offered + missing[0].offered, whole);
}

/// Two generators bring what one would, and their results are one.
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

/// Bad input: one message that names place and rule, exit 2.
#[test]
fn bad_input_is_refused() {
    let refused = |folder: &Folder, arguments: &[&str], said: &str| {
        let output = load(arguments, folder).output().unwrap();
        let text = text(&output);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(said) && text.lines().count() == 1, "{said}: {text}");
    };
    let fast = Folder::new("<open process='poisson' rate='5000000'/>", 5.0);
    refused(&fast, &["show", "load.xml"], "open, rate: found 5000000 a second at the peak; 1000000 at most");
    let heavy = Folder::new("<open process='heavy-tail' alpha='1' rate='5'/>", 5.0);
    refused(&heavy, &["show", "load.xml"], "open, alpha: found 1; above 1");
    let spoilt = Folder::new("<open process='poisson' rate='5'/>", 5.0);
    std::fs::write(spoilt.path("result"), b"nonsense").unwrap();
    refused(&spoilt, &["report", "result"], "result: not a Parquet file");
    refused(&spoilt, &["run", "load.xml", "--fleet", "result"], "no line of 'gateway NUMBER ADDRESS'");
    let deep = format!("<load>{}{}</load>", "<sum>".repeat(100_000), "</sum>".repeat(100_000));
    std::fs::write(spoilt.path("deep.xml"), deep).unwrap();
    refused(&spoilt, &["show", "deep.xml"], "elements more than 32 deep");
}

/// A reader that closes the output early, as `head` does, costs the words only.
#[test]
fn nobody_reads_the_tables() {
    let folder = Folder::new("<open process='poisson' rate='50'/>", 1.0);
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);
    let output =
        load(&["show", "load.xml"], &folder).stdout(writer).spawn().unwrap().wait_with_output().unwrap();
    assert!(output.status.success() && !text(&output).contains("panicked"), "{}", text(&output));
}

/// The search on sockets: targets without work hold any rate it may try.
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
