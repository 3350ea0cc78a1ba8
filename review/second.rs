//! Stand-ins and judges for the cases 6 to 10: clients, nodes, discovery and the platform's signals, on loopback addresses
//! and the real clock. One program, with the standard library alone; `build-2.sh` compiles it.
//!
//! `second CASE RECORD` runs a case from the repository's root and writes its record to that file. It exits with 1 if the rule
//! was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the disruption out.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}
// The numbers of Linux on all kinds of machine that the project supports.
const SIGHUP: i32 = 1;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

/// A final answer up to this long after the client's time only earns nothing; later it counts as lost (STANDING), and each
/// time limit grows by 50 ms on sockets (PROTOCOL). Seconds.
const LATEST_ANSWER: f64 = 0.5 + 0.05;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Ends the case as one that could not run.
fn cannot_run(reason: &str) -> ! {
    let text = format!("the case could not run: {reason}");
    let _ = writeln!(std::io::stdout(), "{text}");
    RUN.note(&text);
    RUN.with_processes(|process| drop(process.kill()));
    let _ = std::fs::remove_dir_all(temporary_path());
    exit(2);
}

/// What the parts of the one run share: its clock, its record, its processes and its random numbers.
struct Run {
    began: Mutex<Option<Instant>>,
    record: Mutex<Option<File>>,
    processes: Mutex<Vec<Arc<Mutex<Child>>>>,
    random: AtomicU64,
    over: AtomicBool,
}

static RUN: Run = Run {
    began: Mutex::new(None),
    record: Mutex::new(None),
    processes: Mutex::new(Vec::new()),
    random: AtomicU64::new(0x9e37_79b9_7f4a_7c15),
    over: AtomicBool::new(false),
};

impl Run {
    fn begin(&self, record: &Path) {
        *lock(&self.began) = Some(Instant::now());
        let file = File::create(record);
        let file = file.unwrap_or_else(|error| cannot_run(&format!("{record:?}: {error}")));
        *lock(&self.record) = Some(file);
        let seed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        self.random.store(seed.map_or(7, |since| since.as_nanos() as u64 | 1), Ordering::SeqCst);
    }

    /// Seconds since the start of the run.
    fn now(&self) -> f64 {
        lock(&self.began).map_or(0.0, |began| began.elapsed().as_secs_f64())
    }

    fn note(&self, text: &str) {
        let now = self.now();
        if let Some(file) = lock(&self.record).as_mut() {
            let _ = writeln!(file, "{now:9.4} {text}");
        }
    }

    /// As [`Run::note`], on standard output too.
    fn say(&self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
        self.note(text);
    }

    fn next_random(&self) -> u64 {
        // SplitMix64.
        let mut mixed = self.random.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::SeqCst);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Uniform from `low` to `high`.
    fn uniform(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.next_random() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&self, bound: usize) -> usize {
        (self.next_random() % bound as u64) as usize
    }

    fn with_processes(&self, action: impl Fn(&mut Child)) {
        lock(&self.processes).iter().for_each(|process| action(&mut lock(process)));
    }

    /// Ends all processes and gives the verdict.
    fn finish(&self, broken: bool) -> ! {
        self.over.store(true, Ordering::SeqCst);
        self.with_processes(|process| {
            let _ = process.kill();
            let _ = process.wait();
        });
        let _ = std::fs::remove_dir_all(temporary_path());
        self.say(if broken { "the rule was broken" } else { "the rule held" });
        exit(i32::from(broken));
    }
}

/// A process that is killed at the end of the run.
#[derive(Clone)]
struct Process {
    child: Arc<Mutex<Child>>,
    id: i32,
}

impl Process {
    fn start(mut command: Command) -> Process {
        let child = command.spawn().unwrap_or_else(|error| cannot_run(&format!("{command:?}: {error}")));
        let id = child.id() as i32;
        RUN.note(&format!("started process {id}: {command:?}"));
        let child = Arc::new(Mutex::new(child));
        lock(&RUN.processes).push(child.clone());
        Process { child, id }
    }

    fn signal(&self, number: i32) {
        RUN.note(&format!("signal {number} to process {}", self.id));
        unsafe { kill(self.id, number) };
    }

    fn kill(&self) {
        RUN.note(&format!("kill process {}", self.id));
        let _ = lock(&self.child).kill();
    }

    /// Whether it has ended, and how.
    fn ended(&self) -> Option<String> {
        lock(&self.child).try_wait().ok().flatten().map(|status| status.to_string())
    }
}

fn temporary_path() -> PathBuf {
    std::env::temp_dir().join(format!("quaypath-review-{}", std::process::id()))
}

/// A temporary folder of this run.
fn temporary_folder() -> PathBuf {
    let folder = temporary_path();
    std::fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&format!("{folder:?}: {error}")));
    folder
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0");
    let listener = listener.unwrap_or_else(|error| cannot_run(&format!("no free port: {error}")));
    let address = listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string()));
    (listener, address)
}

// The platform over HTTP/1.1.

/// A message: its first line, its headers in lower case, its body.
struct Message {
    first: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether it serves a request with what no node made for it.
    fn is_foreign_to(&self, id: &str) -> bool {
        self.status() == 200 && self.body != format!("made for {id}\n").as_bytes()
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// The next message with a Content-Length or no body; none if the connection ends first.
fn read_message(stream: &mut impl BufRead) -> Option<Message> {
    let line = |stream: &mut dyn BufRead| {
        let mut text = String::new();
        (stream.read_line(&mut text).ok()? > 0).then(|| text.trim_end().to_string())
    };
    let first = line(stream)?;
    let mut headers = BTreeMap::new();
    loop {
        let text = line(stream)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
    }
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(Message { first, headers, body })
}

/// What a node does with an attempt that has arrived whole.
#[derive(Clone, Copy)]
enum Conduct {
    /// Answers after this many seconds.
    Answer(f64),
    /// Does its work in this many seconds, and the answer never arrives.
    LoseAnswer(f64),
}

/// Starts a node; `conduct` is asked for each attempt.
fn start_node(name: String, conduct: impl Fn() -> Conduct + Send + Sync + 'static) -> SocketAddr {
    let (listener, address) = listen();
    let conduct = Arc::new(conduct);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (conduct, name) = (conduct.clone(), name.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else { return };
                let (mut reader, mut writer) = (BufReader::new(copy), stream);
                while let Some(attempt) = read_message(&mut reader) {
                    let id = attempt.header("x-request-id").to_string();
                    RUN.note(&format!("run {id} at {name}, X-Timeout {}", attempt.header("x-timeout")));
                    match conduct() {
                        Conduct::Answer(work) => {
                            sleep(work);
                            let body = format!("made for {id}\n");
                            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                            if writer.write_all((head + &body).as_bytes()).is_err() {
                                return;
                            }
                        }
                        Conduct::LoseAnswer(work) => {
                            sleep(work);
                            RUN.note(&format!("answer to {id} lost"));
                        }
                    }
                }
            });
        }
    });
    address
}

/// The list of these nodes, node N with shard N, indented as lists may come.
fn node_list(nodes: &[SocketAddr]) -> String {
    let entry = |(shard, address): (usize, &SocketAddr)| {
        let fields = [
            format!(r#""name": "s-{:08x}""#, 0x5be2_0000 + shard),
            format!(r#""address": "{address}""#),
            r#""zone": "hall-a""#.to_string(),
            r#""type": "small-2c""#.to_string(),
            format!(r#""group": {shard}"#),
            r#""status": "in_service""#.to_string(),
            r#""weight": 1.0"#.to_string(),
            r#""since_ms": 0"#.to_string(),
        ];
        format!("    {{\n      {}\n    }}", fields.join(",\n      "))
    };
    let entries: Vec<String> = nodes.iter().enumerate().map(entry).collect();
    format!(
        "{{\n  \"index\": 41,\n  \"snapshot\": true,\n  \"endpoints\": [\n{}\n  ]\n}}",
        entries.join(",\n")
    )
}

/// Discovery with a list that does not change.
struct Discovery {
    address: SocketAddr,
    /// It accepts no new connection any more.
    moved: Arc<AtomicBool>,
}

/// A whole list that discovery sends slowly takes this long, seconds.
const SLOW_LIST: f64 = 1.0;

impl Discovery {
    fn start(list: String, slow: bool) -> Discovery {
        let (listener, address) = listen();
        let moved = Arc::new(AtomicBool::new(false));
        let has_moved = moved.clone();
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !has_moved.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep(0.005);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let (list, has_moved) = (list.clone(), has_moved.clone());
                thread::spawn(move || serve_discovery(stream, &list, &has_moved, slow));
            }
        });
        Discovery { address, moved }
    }
}

fn serve_discovery(stream: TcpStream, list: &str, has_moved: &AtomicBool, slow: bool) -> Option<()> {
    let (mut reader, mut writer) = (BufReader::new(stream.try_clone().ok()?), stream);
    let call = read_message(&mut reader)?;
    if call.first.contains("watch=1") {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        writer.write_all(head.as_bytes()).ok()?;
        // Where discovery has moved away, open connections end 1.5 s later.
        while !has_moved.load(Ordering::SeqCst) {
            writer.write_all(b"1\r\n\n\r\n").ok()?;
            (0..20).take_while(|_| !has_moved.load(Ordering::SeqCst)).for_each(|_| sleep(0.1));
        }
        sleep(1.5);
        return None;
    }
    let head = format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", list.len());
    writer.write_all(head.as_bytes()).ok()?;
    let pieces = if slow { 20 } else { 1 };
    for piece in list.as_bytes().chunks(list.len().div_ceil(pieces)) {
        sleep(if slow { SLOW_LIST / pieces as f64 } else { 0.0 });
        writer.write_all(piece).ok()?;
    }
    Some(())
}

/// A class of a site.
struct Class {
    name: &'static str,
    aim: f64,
    deadline: f64,
    /// As the settings have it: retryable, dedup or fragile.
    repeat: &'static str,
    /// For dedup, seconds.
    window: f64,
    writes: bool,
}

/// A site's settings, as far as they matter here.
struct Site {
    classes: &'static [Class],
    plan: &'static str,
    max_attempts: u32,
    conn_idle: f64,
    drain_grace: f64,
    duplicates: bool,
    memory_mb: usize,
    sockets: usize,
}

/// One initiator on the platform.
struct Gateway {
    process: Process,
    address: SocketAddr,
    /// Where its configuration is.
    config: PathBuf,
    discovery: Discovery,
}

/// The configuration of an initiator of this site, with this list of as many nodes.
fn config_text(site: &Site, listen: SocketAddr, discovery: SocketAddr, list: &str, nodes: usize) -> String {
    let grades: Vec<String> = site
        .classes
        .iter()
        .map(|class| {
            let Class { name, aim, deadline, repeat, window, .. } = class;
            format!(
                r#"{{"Name":"{name}","Objective":{aim},"Deadline":{deadline},"Credit":2.0,"Repeat":"{repeat}","DedupScope":"cell","Window":{window},"LateWorth":0.15,"Stream":false}}"#
            )
        })
        .collect();
    let writes: Vec<String> = site.classes.iter().map(|class| class.writes.to_string()).collect();
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"{:016x}",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"known":{list},
 "settings":{{"Balancers":3,"Me":0,"RegistryMode":"pushed","Weights":"none","Step":0.002,
  "Grades":[{}],
  "Policies":[{{"Name":"{}","Cap":0.0,"CapSlack":0.0,"MostAtOnce":0.0,"Nominal":20.0,"Guaranteed":20.0,"Proportion":1.0,"WorthFactor":1.0}}],
  "FamilyInfo":{{"Writes":[{}],"MeanUnits":2.0,"MostUnits":6,"NShards":{nodes},"YoungLimit":8.0,"CountsOthers":true,"Metering":0.0}},
  "Ceilings":{{"MayCancel":true,"MayDuplicate":{},"MaxAttempts":{},"RetryAfter":true,"MaxRetryAfter":0.5,"ConnIdle":{:.1},"ConnectTimeout":0.25,"MayProbe":false,"Peers":false}},
  "Rules":{{"AnswerSlack":0.008,"DrainGrace":{:.1},"FallMultiple":2.5,"OverloadFor":1.0,"StartCapacity":0.2,"Cold":17.0}},
  "Reporting":{{"Source":"none","Fields":[]}}}}}}"#,
        RUN.next_random(),
        site.memory_mb,
        site.sockets,
        grades.join(","),
        site.plan,
        writes.join(","),
        site.duplicates,
        site.max_attempts,
        site.conn_idle,
        site.drain_grace,
    )
}

/// The command after `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command.unwrap_or_else(|| cannot_run("deploy/balancer.toml has no run")).to_string()
}

impl Gateway {
    /// Starts the command of the deploy file with the site's settings and these nodes, and waits until it is ready.
    fn start(site: &Site, nodes: &[SocketAddr]) -> Gateway {
        let list = node_list(nodes);
        let discovery = Discovery::start(list.clone(), false);
        let folder = temporary_folder();
        // A free port; nobody else takes it in the moment before the program listens on it.
        let (listener, address) = listen();
        drop(listener);
        let config = config_text(site, address, discovery.address, &list, nodes.len());
        let path = folder.join("config.json");
        std::fs::write(&path, config).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
        let log = File::create(folder.join("gateway.log"));
        let log = log.unwrap_or_else(|error| cannot_run(&format!("gateway.log: {error}")));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).env("BALANCER_CONFIG", &path).stderr(log).stdin(Stdio::null());
        let process = Process::start(command);
        for _ in 0..400 {
            if let Ok(mut stream) = TcpStream::connect(address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                let _ = stream.write_all(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n");
                if read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200) {
                    RUN.note(&format!("the initiator is ready at {address}"));
                    return Gateway { process, address, config: path, discovery };
                }
            }
            sleep(0.025);
        }
        cannot_run("the initiator does not become ready");
    }

    /// Replaces the configuration by one that names another discovery, and sends SIGHUP.
    fn move_discovery(&mut self, site: &Site, nodes: &[SocketAddr]) {
        let list = node_list(nodes);
        let discovery = Discovery::start(list.clone(), true);
        let config = config_text(site, self.address, discovery.address, &list, nodes.len());
        let next = self.config.with_extension("next");
        let replaced = std::fs::write(&next, config).and_then(|()| std::fs::rename(&next, &self.config));
        replaced.unwrap_or_else(|error| cannot_run(&format!("{next:?}: {error}")));
        self.process.signal(SIGHUP);
        self.discovery.moved.store(true, Ordering::SeqCst);
        self.discovery = discovery;
    }

    /// The most resident memory that the process has had, bytes; 0 where it has ended.
    fn resident_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process.id)).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0) << 10
    }
}

/// A request as a usual client sends it.
struct Request {
    id: String,
    text: Vec<u8>,
}

/// `timeout` is how long the client waits, seconds; `body` is empty for a read.
fn request(site: &Site, class: &Class, timeout: f64, shard: usize, body: &str) -> Request {
    let id = format!("{:016x}", RUN.next_random());
    let (method, length) = if class.writes {
        ("PUT", format!("Content-Length: {}\r\n", body.len()))
    } else {
        ("GET", String::new())
    };
    let text = format!(
        "{method} /api HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\n\
         X-Storage-Class: {}\r\nCookie: extent={:016x}\r\nX-Timeout: {}m\r\n{length}\
         X-Extent: volume={:016x},units=2,shard={shard},hosts=2\r\n\r\n{}",
        class.name,
        site.plan,
        RUN.next_random(),
        (timeout * 1e3).round(),
        0x3b4d_6000 + RUN.below(24),
        if class.writes { body } else { "" },
    );
    Request { id, text: text.into_bytes() }
}

/// What became of a request whose last byte was written to a connection that the initiator had accepted.
struct Fate {
    id: String,
    class: &'static str,
    sent: f64,
    timeout: f64,
    /// When the answer was whole, and its status; none if the connection ended without a whole answer.
    answered: Option<(f64, u16)>,
    /// When the connection ended, if it did.
    ended: Option<f64>,
    /// The answer is a 200 whose body no node made for this request.
    foreign: bool,
}

impl Fate {
    /// The answer came too late or is another request's, or the connection ended without one.
    fn is_lost(&self) -> bool {
        self.foreign || self.answered.is_none_or(|(at, _)| at > self.sent + self.timeout + LATEST_ANSWER)
    }

    fn describe(&self) -> String {
        let Fate { id, class, sent, timeout, answered, ended, .. } = self;
        match answered {
            Some((at, status)) => format!(
                "{id} {class} sent {sent:.3}, waits {timeout} s, answered {status} at {at:.3}, {:+.3} s after its time",
                at - sent - timeout
            ),
            None => format!(
                "{id} {class} sent {sent:.3}, waits {timeout} s, no answer, connection ended at {:.3}",
                ended.unwrap_or(f64::NAN)
            ),
        }
    }
}

/// A usual client: one request after the other on one connection, with pauses of `rest` seconds. It opens a connection anew
/// while `may_connect` is true, and ends with `until` or where it has none.
fn run_client(
    address: SocketAddr, rest: (f64, f64), fates: &Mutex<Vec<Fate>>, until: &AtomicBool,
    may_connect: &AtomicBool, next: impl Fn() -> (Request, &'static str, f64),
) {
    let mut connection: Option<(BufReader<TcpStream>, TcpStream)> = None;
    sleep(RUN.uniform(0.0, rest.1));
    while !until.load(Ordering::SeqCst) {
        if connection.is_none() {
            if !may_connect.load(Ordering::SeqCst) {
                return;
            }
            let Ok(stream) = TcpStream::connect(address) else {
                sleep(0.05);
                continue;
            };
            let _ = stream.set_nodelay(true);
            let Ok(copy) = stream.try_clone() else { return };
            connection = Some((BufReader::new(copy), stream));
        }
        let Some((reader, writer)) = connection.as_mut() else { return };
        // A connection that the initiator has ended is not used any more.
        let _ = writer.set_nonblocking(true);
        let waits = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
        let is_open = writer.peek(&mut [0]).is_err_and(|error| waits(&error));
        let _ = writer.set_nonblocking(false);
        if !is_open {
            connection = None;
            continue;
        }
        let (request, class, timeout) = next();
        if writer.write_all(&request.text).is_err() {
            connection = None;
            continue;
        }
        let sent = RUN.now();
        RUN.note(&format!("sent {} {class}, waits {timeout} s", request.id));
        let answer = read_message(reader);
        let at = RUN.now();
        let answered = answer.as_ref().map(|answer| (at, answer.status()));
        let close = answer.as_ref().is_none_or(|answer| answer.header("connection") == "close");
        let foreign = answer.is_some_and(|answer| answer.is_foreign_to(&request.id));
        let ended = answered.is_none().then_some(at);
        let fate = Fate { id: request.id, class, sent, timeout, answered, ended, foreign };
        RUN.note(&format!("ended {}", fate.describe()));
        lock(fates).push(fate);
        if close {
            connection = None;
        }
        sleep(RUN.uniform(rest.0, rest.1));
    }
}

/// Says what was lost, at most `most` of it, and how many there were in all.
fn report(fates: &[Fate], lost: &[&Fate], most: usize) {
    let answered = |low: u16, high: u16| {
        let status = |fate: &&Fate| fate.answered.is_some_and(|(_, status)| (low..high).contains(&status));
        fates.iter().filter(status).count()
    };
    RUN.say(&format!(
        "{} requests: {} answered 200, {} refused (503), {} failed (500), {} without an answer; {} lost by the rule",
        fates.len(),
        answered(200, 300),
        answered(503, 504),
        answered(500, 501),
        fates.iter().filter(|fate| fate.answered.is_none()).count(),
        lost.len(),
    ));
    lost.iter().take(most).for_each(|fate| RUN.say(&format!("lost: {}", fate.describe())));
}

// Case: a new SIGTERM finds the initiator standing still.

const PIRAEUS: Site = Site {
    classes: &[
        Class {
            name: "ledger-read",
            aim: 0.5,
            deadline: 2.5,
            repeat: "retryable",
            window: 5.0,
            writes: false,
        },
        Class { name: "ledger-write", aim: 0.6, deadline: 3.0, repeat: "dedup", window: 5.0, writes: true },
    ],
    plan: "full",
    max_attempts: 3,
    conn_idle: 15.0,
    drain_grace: 1.0,
    duplicates: true,
    memory_mb: 96,
    sockets: 512,
};

/// The initiator stands still for 1.1 s; within it SIGTERM arrives, and SIGKILL when the platform may send it.
fn stop_in_a_stall(trouble: bool) -> ! {
    let nodes: Vec<SocketAddr> = (0..4)
        .map(|shard| start_node(format!("s-{shard}"), || Conduct::Answer(RUN.uniform(0.05, 0.15))))
        .collect();
    let gateway = Gateway::start(&PIRAEUS, &nodes);
    let (fates, until, may_connect) = (Mutex::new(Vec::new()), AtomicBool::new(false), AtomicBool::new(true));
    let (mut terminated, mut killed, mut stall) = (0.0, 0.0, 0.0);
    thread::scope(|scope| {
        for _ in 0..40 {
            scope.spawn(|| {
                run_client(gateway.address, (0.1, 0.4), &fates, &until, &may_connect, || {
                    let class = &PIRAEUS.classes[usize::from(RUN.below(20) < 7)];
                    (
                        request(&PIRAEUS, class, class.deadline, RUN.below(4), "sale"),
                        class.name,
                        class.deadline,
                    )
                })
            });
        }
        sleep(5.0);
        if trouble {
            gateway.process.signal(SIGSTOP);
        }
        let stopped = RUN.now();
        sleep(0.05);
        gateway.process.signal(SIGTERM);
        terminated = RUN.now();
        // The longest deadline, 3 s, and 0.7 s.
        let notice = 3.0 + 0.7;
        if trouble {
            sleep(stopped + 1.1 - RUN.now());
            gateway.process.signal(SIGCONT);
            stall = RUN.now() - stopped;
        } else {
            sleep(0.3);
        }
        // New connections come for 0.2 to 0.4 s after SIGTERM; clients keep using those that they have.
        may_connect.store(false, Ordering::SeqCst);
        while RUN.now() < terminated + notice && gateway.process.ended().is_none() {
            sleep(0.001);
        }
        killed = RUN.now();
        match gateway.process.ended() {
            Some(how) => {
                RUN.say(&format!("the initiator ended {:.3} s after SIGTERM: {how}", killed - terminated))
            }
            None => {
                gateway.process.kill();
                RUN.say(&format!("SIGKILL {:.3} s after SIGTERM", killed - terminated));
            }
        }
        until.store(true, Ordering::SeqCst);
    });
    let fates = lock(&fates);
    if trouble {
        RUN.say(&format!("the initiator stood still for {stall:.3} s"));
        if !(0.58..=1.2).contains(&stall) {
            cannot_run("the stall was not of the length that the page names");
        }
    }
    // Of those that SIGKILL found unanswered, the ones that came more than 0.7 s after SIGTERM count. One that came in the
    // last 20 ms may have crossed the end of its connection.
    let lost: Vec<&Fate> = fates
        .iter()
        .filter(|fate| fate.answered.is_none() && fate.sent > terminated + 0.7 && fate.sent < killed - 0.02)
        .filter(|fate| fate.ended.is_some_and(|ended| ended > fate.sent + 0.005))
        .collect();
    report(&fates, &lost, 12);
    RUN.finish(!lost.is_empty());
}

// Case: requests that waited while the initiator stood still.

const KOOTENAY: Site = Site {
    classes: &[
        Class {
            name: "clip-read",
            aim: 0.15,
            deadline: 0.75,
            repeat: "retryable",
            window: 5.0,
            writes: false,
        },
        Class {
            name: "clip-write",
            aim: 0.25,
            deadline: 1.5,
            repeat: "retryable",
            window: 5.0,
            writes: true,
        },
    ],
    plan: "studio",
    max_attempts: 3,
    conn_idle: 15.0,
    drain_grace: 2.0,
    duplicates: false,
    memory_mb: 96,
    sockets: 512,
};

/// For 25 s the initiator stands still for 0.78 s every 2.3 to 4 s, and seven of eight nodes lose 28% of their answers.
fn wait_in_a_stall(trouble: bool) -> ! {
    let nodes: Vec<SocketAddr> = (0..8)
        .map(|shard| {
            start_node(format!("s-{shard}"), move || {
                let work = RUN.uniform(0.017, 0.042);
                let loses = trouble && shard > 0 && RUN.uniform(0.0, 1.0) < 0.28;
                if loses {
                    Conduct::LoseAnswer(work)
                } else {
                    Conduct::Answer(work)
                }
            })
        })
        .collect();
    let gateway = Gateway::start(&KOOTENAY, &nodes);
    let (fates, until, may_connect) = (Mutex::new(Vec::new()), AtomicBool::new(false), AtomicBool::new(true));
    let mut longest: f64 = 0.0;
    thread::scope(|scope| {
        for _ in 0..100 {
            scope.spawn(|| {
                run_client(gateway.address, (0.05, 0.6), &fates, &until, &may_connect, || {
                    let class = &KOOTENAY.classes[usize::from(RUN.below(20) < 7)];
                    (
                        request(&KOOTENAY, class, class.deadline, RUN.below(8), "clip"),
                        class.name,
                        class.deadline,
                    )
                })
            });
        }
        sleep(1.0);
        let began = RUN.now();
        while RUN.now() < began + 25.0 {
            let next = RUN.now() + RUN.uniform(2.3, 4.0);
            if trouble {
                gateway.process.signal(SIGSTOP);
                let stopped = RUN.now();
                sleep(0.78);
                gateway.process.signal(SIGCONT);
                longest = longest.max(RUN.now() - stopped);
            }
            sleep(next - RUN.now());
        }
        until.store(true, Ordering::SeqCst);
    });
    if let Some(how) = gateway.process.ended() {
        RUN.say(&format!("the initiator ended: {how}"));
    }
    if trouble {
        RUN.say(&format!("the longest stall was {longest:.3} s"));
        if longest > 0.8 {
            cannot_run("a stall was longer than the page names");
        }
    }
    let fates = lock(&fates);
    let lost: Vec<&Fate> = fates.iter().filter(|fate| fate.is_lost()).collect();
    report(&fates, &lost, 12);
    RUN.finish(!lost.is_empty());
}

// Case: a client that sends many requests at once.

const AARHUS: Site = Site {
    classes: &[
        Class {
            name: "trip-lookup",
            aim: 0.2,
            deadline: 1.2,
            repeat: "retryable",
            window: 5.0,
            writes: false,
        },
        Class { name: "ticket-buy", aim: 0.3, deadline: 2.5, repeat: "fragile", window: 5.0, writes: true },
    ],
    plan: "standard",
    max_attempts: 4,
    conn_idle: 30.0,
    drain_grace: 2.0,
    duplicates: false,
    memory_mb: 96,
    sockets: 512,
};

/// Four clients send 24 ticket purchases of 1 kB each at once on one connection and read the answers; without the trouble
/// each purchase is sent once the one before is answered.
fn send_ahead(trouble: bool) -> ! {
    let nodes: Vec<SocketAddr> = (0..4)
        .map(|shard| start_node(format!("s-{shard}"), || Conduct::Answer(RUN.uniform(0.005, 0.01))))
        .collect();
    let gateway = Gateway::start(&AARHUS, &nodes);
    let fates = Mutex::new(Vec::new());
    let class = &AARHUS.classes[1];
    thread::scope(|scope| {
        for client in 0..4 {
            let (fates, gateway) = (&fates, &gateway);
            scope.spawn(move || {
                sleep(0.5 + 0.3 * client as f64);
                let requests: Vec<Request> = (0..24)
                    .map(|number| request(&AARHUS, class, class.deadline, number % 4, &"t".repeat(1000)))
                    .collect();
                let Ok(stream) = TcpStream::connect(gateway.address) else { cannot_run("no connection") };
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
                let Ok(copy) = stream.try_clone() else { cannot_run("no connection") };
                let (mut reader, mut writer) = (BufReader::new(copy), stream);
                let mut sent = Vec::new();
                if trouble {
                    let all: Vec<u8> = requests.iter().flat_map(|request| request.text.clone()).collect();
                    if writer.write_all(&all).is_err() {
                        cannot_run("the connection ended while the requests were written");
                    }
                    sent = vec![RUN.now(); requests.len()];
                    RUN.note(&format!(
                        "client {client} sent {} requests at once, {} bytes",
                        requests.len(),
                        all.len()
                    ));
                }
                let mut open = true;
                for (number, request) in requests.into_iter().enumerate() {
                    if !trouble {
                        if writer.write_all(&request.text).is_err() {
                            cannot_run("the connection ended between two requests");
                        }
                        sent.push(RUN.now());
                    }
                    let answer = if open { read_message(&mut reader) } else { None };
                    open = answer.is_some();
                    let at = RUN.now();
                    let fate = Fate {
                        foreign: answer.as_ref().is_some_and(|answer| answer.is_foreign_to(&request.id)),
                        id: request.id,
                        class: class.name,
                        sent: sent[number],
                        timeout: class.deadline,
                        answered: answer.map(|answer| (at, answer.status())),
                        ended: (!open).then_some(at),
                    };
                    RUN.note(&format!("client {client} request {number}: {}", fate.describe()));
                    lock(fates).push(fate);
                }
            });
        }
    });
    let fates = lock(&fates);
    let lost: Vec<&Fate> = fates.iter().filter(|fate| fate.is_lost()).collect();
    report(&fates, &lost, 6);
    RUN.finish(!lost.is_empty());
}

// Case: bad clients and new configurations in a fleet of the largest size.

const GROWN: Site = Site { memory_mb: 32, sockets: 1024, ..AARHUS };
/// Sixteen times the 200 targets of the fleet days.
const TARGETS: usize = 3200;

/// A bad client, again and again: it sends this and stays until it gets its error or close.
fn run_bad_client(address: SocketAddr, until: &AtomicBool, handled: &AtomicU64, text: impl Fn() -> Vec<u8>) {
    while !until.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            sleep(0.05);
            continue;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
        if stream.write_all(&text()).is_ok() {
            let _ = stream.read(&mut [0; 512]);
        }
        handled.fetch_add(1, Ordering::SeqCst);
        sleep(0.02);
    }
}

/// 128 bad clients send a request without the end of its 64 kB body, 312 a head that never ends, and every few seconds two
/// new configurations in a row name another discovery, which sends its list in a second. The platform kills the initiator
/// where it goes over its memory.
fn grow_over_the_memory(trouble: bool) -> ! {
    let mut nodes: Vec<SocketAddr> = (0..8)
        .map(|shard| start_node(format!("s-{shard}"), || Conduct::Answer(RUN.uniform(0.02, 0.05))))
        .collect();
    // The usual clients use the first eight shards only; nobody ever asks for the others.
    let port = nodes[0].port();
    nodes.extend(
        (8..TARGETS).map(|shard| SocketAddr::from(([127, 1, (shard >> 8) as u8, shard as u8], port))),
    );
    let mut gateway = Gateway::start(&GROWN, &nodes);
    let address = gateway.address;
    let (fates, until, may_connect) = (Mutex::new(Vec::new()), AtomicBool::new(false), AtomicBool::new(true));
    let handled = AtomicU64::new(0);
    // In mebibytes, though the limit is told in megabytes.
    let limit = GROWN.memory_mb << 20;
    let (mut most, mut killed) = (0, None);
    thread::scope(|scope| {
        for _ in 0..10 {
            scope.spawn(|| {
                run_client(address, (0.05, 0.2), &fates, &until, &may_connect, || {
                    let class = &GROWN.classes[usize::from(RUN.below(20) < 7)];
                    (
                        request(&GROWN, class, class.deadline, RUN.below(8), "ticket"),
                        class.name,
                        class.deadline,
                    )
                })
            });
        }
        sleep(3.0);
        if trouble {
            for number in 0..440 {
                let (until, handled) = (&until, &handled);
                scope.spawn(move || {
                    run_bad_client(address, until, handled, || {
                        if number < 128 {
                            let mut text =
                                request(&GROWN, &GROWN.classes[1], 2.5, 0, &"z".repeat(65_000)).text;
                            text.truncate(text.len() - 1000);
                            text
                        } else {
                            let head = "GET /api HTTP/1.1\r\nHost: service.internal\r\nX-Padding: ";
                            format!("{head}{}", "y".repeat(16_300)).into_bytes()
                        }
                    })
                });
            }
        }
        let began = RUN.now();
        let (mut next_move, mut moves) = (began + 3.0, 0);
        while RUN.now() < began + 20.0 {
            let resident = gateway.resident_bytes();
            if resident > most {
                most = resident;
                RUN.note(&format!("resident: {resident} bytes"));
            }
            if resident > limit {
                killed = Some(RUN.now());
                gateway.process.kill();
                break;
            }
            if let Some(how) = gateway.process.ended() {
                RUN.say(&format!("the initiator ended: {how}"));
                killed = Some(RUN.now());
                break;
            }
            if trouble && RUN.now() >= next_move {
                // Two in a row, then a rest.
                moves += 1;
                next_move = RUN.now() + if moves % 2 == 1 { 0.9 } else { 3.0 };
                gateway.move_discovery(&GROWN, &nodes);
            }
            sleep(0.002);
        }
        until.store(true, Ordering::SeqCst);
    });
    RUN.say(&format!(
        "the initiator had {:.1} MB at most, of {} MB that it may have; bad clients came {} times",
        most as f64 / 1e6,
        GROWN.memory_mb,
        handled.load(Ordering::SeqCst)
    ));
    let fates = lock(&fates);
    if let Some(at) = killed {
        RUN.say(&format!("the platform killed the initiator for memory at {at:.3}"));
    }
    let lost: Vec<&Fate> = fates.iter().filter(|fate| killed.is_none() && fate.is_lost()).collect();
    report(&fates, &lost, 6);
    RUN.finish(killed.is_some() || !lost.is_empty());
}

// NVMe over TCP.

/// One queue of a host, plain PDUs without digests.
struct Queue(TcpStream);

fn nvme_command(opcode: u8, cid: u16, nsid: u32, words: [u32; 6], data: &[u8], brings: usize) -> Vec<u8> {
    let length = 72 + data.len();
    let mut pdu = vec![4, 0, 72, if data.is_empty() { 0 } else { 72 }];
    pdu.extend((length as u32).to_le_bytes());
    let described = data.len().max(brings);
    pdu.extend([opcode, if described > 0 { 0x40 } else { 0 }]);
    pdu.extend(cid.to_le_bytes());
    pdu.extend(nsid.to_le_bytes());
    pdu.extend([0; 16]);
    pdu.extend([0; 8]);
    pdu.extend((described as u32).to_le_bytes());
    // In the capsule for what goes with it, by data PDUs for what a read brings.
    pdu.extend([
        0,
        0,
        0,
        if !data.is_empty() {
            0x01
        } else if brings > 0 {
            0x5a
        } else {
            0
        },
    ]);
    words.iter().for_each(|word| pdu.extend(word.to_le_bytes()));
    pdu.extend(data);
    pdu
}

/// A read of one logical block.
fn nvme_read(cid: u16, volume: u32, block: u32) -> Vec<u8> {
    nvme_command(0x02, cid, volume, [block, 0, 0, 0, 0, 0], &[], 512)
}

impl Queue {
    /// The next completion: command id, its first dword and its status; data PDUs before it are passed over.
    fn completion(&mut self) -> std::io::Result<(u16, u32, u16)> {
        loop {
            let mut header = [0; 8];
            self.0.read_exact(&mut header)?;
            let length = u32::from_le_bytes([header[4], header[5], header[6], header[7]]) as usize;
            let mut rest = vec![0; length.saturating_sub(8)];
            self.0.read_exact(&mut rest)?;
            if header[0] == 5 {
                let half = |at: usize| u16::from_le_bytes([rest[at], rest[at + 1]]);
                let dword = u32::from_le_bytes([rest[0], rest[1], rest[2], rest[3]]);
                return Ok((half(12), dword, half(14) >> 1));
            }
            if header[0] == 3 {
                return Err(std::io::Error::other("the gateway ended the connection with a term request"));
            }
        }
    }

    fn submit(&mut self, pdu: &[u8]) -> std::io::Result<(u16, u32, u16)> {
        self.0.write_all(pdu)?;
        self.completion()
    }

    /// Connects a queue; `controller` is 0xffff for an admin queue. Returns it with the controller's id.
    fn connect(
        address: SocketAddr, host: &str, number: u32, controller: u16,
    ) -> std::io::Result<(Queue, u16)> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut queue = Queue(stream);
        let mut initialize = vec![0; 128];
        (initialize[2], initialize[4]) = (128, 128);
        queue.0.write_all(&initialize)?;
        let mut response = [0; 128];
        queue.0.read_exact(&mut response)?;
        let mut data = vec![0; 1024];
        data[16..18].copy_from_slice(&controller.to_le_bytes());
        let subsystem = "nqn.2026-12.example.quaypath:gateway";
        data[256..256 + subsystem.len()].copy_from_slice(subsystem.as_bytes());
        data[512..512 + host.len()].copy_from_slice(host.as_bytes());
        let connect = nvme_command(0x7f, 1, 1, [number << 16, 127, 0, 0, 0, 0], &data, 0);
        let (_, dword, status) = queue.submit(&connect)?;
        if status != 0 {
            return Err(std::io::Error::other(format!("Connect refused with status {status:#x}")));
        }
        Ok((queue, dword as u16))
    }

    /// An association: its admin queue, enabled, and this many I/O queues.
    fn associate(address: SocketAddr, host: &str, queues: u32) -> std::io::Result<(Queue, Vec<Queue>)> {
        let (mut admin, controller) = Queue::connect(address, host, 0, 0xffff)?;
        let enable = 1 | 6 << 16 | 4 << 20;
        admin.submit(&nvme_command(0x7f, 2, 0, [0, 0x14, enable, 0, 0, 0], &[], 0))?;
        let ready = admin.submit(&nvme_command(0x7f, 3, 4, [0, 0x1c, 0, 0, 0, 0], &[], 0))?;
        if ready.1 & 1 == 0 {
            return Err(std::io::Error::other("the controller does not become ready"));
        }
        let connect = |number| Ok(Queue::connect(address, host, number, controller)?.0);
        let queues: std::io::Result<Vec<Queue>> = (1..=queues).map(connect).collect();
        Ok((admin, queues?))
    }
}

/// The first line on a process's standard output that starts with `word`; the rest is read and dropped.
fn address_told(process: &Process, word: &str) -> SocketAddr {
    let output = lock(&process.child).stdout.take();
    let Some(output) = output else { cannot_run("no standard output") };
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    let address = lines.find_map(|line| line.strip_prefix(word)?.trim().parse().ok());
    thread::spawn(move || lines.for_each(drop));
    address.unwrap_or_else(|| cannot_run(&format!("no line '{word}ADDRESS'")))
}

/// The programs of the README's frame by hand: a node for each of eight blocks, register and gateway.
struct Storage {
    gateway: Process,
    address: SocketAddr,
    log: PathBuf,
}

impl Storage {
    fn start(settings: &str) -> Storage {
        let folder = temporary_folder();
        let program = |name: &str| {
            let mut command = Command::new(format!("target/release/{name}"));
            command.stdout(Stdio::piped()).stdin(Stdio::piped()).stderr(Stdio::null());
            command
        };
        let mut ready = String::new();
        for block in 0..8 {
            let mut target = program("quaypath-target");
            target.args(["--settings", settings, "--listen", "127.0.0.1:0", "--block", &block.to_string()]);
            let address = address_told(&Process::start(target), "listening ");
            ready += &format!("ready {address} {block}\n");
        }
        let mut register = program("quaypath-register");
        register.args(["--listen", "127.0.0.1:0"]);
        let register = Process::start(register);
        let register_address = address_told(&register, "listening ");
        if let Some(input) = lock(&register.child).stdin.as_mut() {
            let _ = input.write_all(ready.as_bytes());
        }
        let log = folder.join("gateway.log");
        let log_file =
            File::create(&log).unwrap_or_else(|error| cannot_run(&format!("gateway.log: {error}")));
        let mut gateway = program("quaypath-gateway");
        gateway.args(["--settings", settings, "--number", "0", "--listen", "127.0.0.1:0"]);
        gateway.args(["--register", &register_address.to_string(), "--list"]).arg(folder.join("nodes.list"));
        gateway.stderr(log_file);
        let gateway = Process::start(gateway);
        let address = address_told(&gateway, "listening ");
        sleep(1.5);
        Storage { gateway, address, log }
    }

    fn associate(&self, host: &str, queues: u32) -> (Queue, Vec<Queue>) {
        let connected = Queue::associate(self.address, &format!("nqn.2026-12.example.host:{host}"), queues);
        connected.unwrap_or_else(|error| cannot_run(&format!("the host '{host}': {error}")))
    }

    /// Says what became of the gateway.
    fn report(&self) {
        match TcpStream::connect(self.address) {
            Ok(_) => RUN.say("the gateway's address takes connections"),
            Err(error) => RUN.say(&format!("the gateway's address takes no connections: {error}")),
        }
        let ended = self.gateway.ended();
        RUN.say(&format!("the gateway's process {}", ended.unwrap_or("has not ended".to_string())));
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let panics = log.lines().skip_while(|line| !line.contains("panicked")).take(2);
        panics.for_each(|line| RUN.say(&format!("the gateway's log: {line}")));
    }
}

/// Reads blocks of a volume on the plan `basic`, one after the other for this many seconds; the limit of its plan makes some
/// of them wait. Each is owed its answer within the outer limit of the band, 1.2 s. Returns those that had none.
fn read_all_the_time(queue: &mut Queue, seconds: f64) -> Vec<String> {
    let deadline = 1.2;
    let _ = queue.0.set_read_timeout(Some(Duration::from_secs_f64(deadline + LATEST_ANSWER)));
    let (began, mut reads, mut declined, mut lost) = (RUN.now(), 0u32, 0, Vec::new());
    while RUN.now() < began + seconds {
        let (cid, sent) = ((reads % 100) as u16, RUN.now());
        let answer = queue.submit(&nvme_read(cid, 1, reads % 64));
        RUN.note(&format!("read {reads} sent {sent:.4}: {answer:?}"));
        reads += 1;
        match answer {
            Ok((_, _, 0)) => {}
            Ok(_) => declined += 1,
            Err(error) => {
                lost.push(format!(
                    "read {reads} sent at {sent:.3} has no answer at {:.3}: {error}",
                    RUN.now()
                ));
                break;
            }
        }
        sleep(0.01);
    }
    RUN.say(&format!(
        "{reads} reads of the usual host, {declined} declined or scrapped, {} without an answer",
        lost.len()
    ));
    lost.iter().for_each(|line| RUN.say(line));
    lost
}

/// A host with two I/O queues stops in the middle of a command on each and stays; another host reads all the time.
fn two_half_commands(trouble: bool) -> ! {
    let storage = Storage::start("deploy/samples/rail.xml");
    let (_admin, mut usual) = storage.associate("usual", 1);
    let (_other_admin, mut stopping) = storage.associate("stops", 2);
    for (number, queue) in stopping.iter_mut().enumerate() {
        let command = nvme_read(7, 101, 0);
        let sent = if trouble { &command[..40] } else { &command[..] };
        if queue.0.write_all(sent).is_err() {
            cannot_run("the second host cannot write");
        }
        RUN.note(&format!(
            "the second host sent {} of {} bytes on I/O queue {}",
            sent.len(),
            command.len(),
            number + 1
        ));
        if !trouble {
            let answer = queue.completion();
            RUN.note(&format!("I/O queue {} answered: {answer:?}", number + 1));
        }
    }
    let lost = read_all_the_time(&mut usual[0], 16.0);
    storage.report();
    RUN.finish(!lost.is_empty());
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else { cannot_run("usage: second CASE RECORD") };
    RUN.begin(Path::new(record));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    RUN.note(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    // However the case goes, it ends in time, and its processes with it.
    thread::spawn(|| {
        sleep(110.0);
        cannot_run("it took too long");
    });
    match case.as_str() {
        "two-half-commands" => two_half_commands(trouble),
        "stop-in-a-stall" => stop_in_a_stall(trouble),
        "wait-in-a-stall" => wait_in_a_stall(trouble),
        "grow-over-the-memory" => grow_over_the_memory(trouble),
        "send-ahead" => send_ahead(trouble),
        _ => cannot_run("no such case"),
    }
}
