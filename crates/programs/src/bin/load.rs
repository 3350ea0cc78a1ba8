//! `quaypath-load`: loads gateways or nodes, stores the measurements, and reports and compares them.

use std::io::{BufRead, BufReader, IsTerminal, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, ExitCode, Stdio};
use std::sync::{Arc, Mutex};

use clap::{Args, Parser, Subcommand};
use futures_lite::StreamExt;
use indicatif::{ProgressBar, ProgressStyle};
use quaypath_load::account::{Cell, Key, Kind, Latencies};
use quaypath_load::generator::Verdict;
use quaypath_load::join::{gather, Beat, Joined};
use quaypath_load::knee::{Bar, End, Knee, State, Trial};
use quaypath_load::net::Glimpse;
use quaypath_load::parts::{self, LEAD};
use quaypath_load::recorded::Rows;
use quaypath_load::result::{Missing, Outcome};
use quaypath_load::run::{hello, meta, run, share, stream, Fleet, Place, Run};
use quaypath_load::schedule::{check, peak, Peers, Source};
use quaypath_load::{chart, report};
use quaypath_programs::{exit_code, print_line, Logs};
use quaypath_record::{Clock, Writer};
use quaypath_settings::Loaded;

/// An open-loop load over NVMe/TCP: arrivals continue when the other end slows down, and latency counts from the time at
/// which each operation was meant to be sent.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-load run loads/rush-hour.xml --day days/grown.xml --report /tmp/rush-hour"
)]
struct Arguments {
    #[command(subcommand)]
    action: Action,
    #[command(flatten)]
    logs: Logs,
}

#[derive(Subcommand)]
enum Action {
    /// Loads a fleet; Ctrl-C ends the load and keeps the measurements so far
    Run(RunArguments),
    /// Joins a load that another generator coordinates, as one part of it
    Join {
        /// The load, XML by quaypath.xsd; the same file as that of the other generators
        load: PathBuf,
        /// Address of the coordinating generator
        address: SocketAddr,
    },
    /// Prints the tables of a result, and draws its charts
    Report {
        /// The result, a Parquet file
        result: PathBuf,
        /// Folder for the charts, SVG
        #[arg(long)]
        charts: Option<PathBuf>,
    },
    /// Prints the differences of two results, with 95% confidence intervals
    Compare { first: PathBuf, second: PathBuf },
    /// Finds the highest rate at which a given part of a band's operations is settled in time
    Knee(KneeArguments),
    /// Prints the operations of the load without sending them
    Show {
        /// The load, XML by quaypath.xsd
        load: PathBuf,
        /// Number of arrivals to print one by one
        #[arg(long, default_value_t = 10)]
        first: u64,
    },
}

/// What is loaded.
#[derive(Args, Clone)]
#[group(required = true, multiple = false)]
struct FleetSource {
    /// Day whose fleet is started and whose faults are run, XML by quaypath.xsd
    #[arg(long)]
    day: Option<PathBuf>,
    /// File of lines `gateway NUMBER ADDRESS` or `target BLOCK ADDRESS`, as quaypath-day fleet prints them
    #[arg(long)]
    fleet: Option<PathBuf>,
}

#[derive(Args)]
struct RunArguments {
    /// The load, XML by quaypath.xsd
    load: PathBuf,
    #[command(flatten)]
    fleet_source: FleetSource,
    /// Folder for result.parquet and the charts
    #[arg(long)]
    report: Option<PathBuf>,
    /// File for the record of what crossed the sockets, for quaypath-check
    #[arg(long)]
    record: Option<PathBuf>,
    /// Number of generators that share the load, each a separate process
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=64))]
    parts: u32,
    /// Address on which to wait for the other generators, in place of starting them
    #[arg(long)]
    gather: Option<SocketAddr>,
    /// Folder for the fleet's own record and logs, with --day
    #[arg(long)]
    folder: Option<PathBuf>,
}

#[derive(Args)]
struct KneeArguments {
    /// The load, XML by quaypath.xsd; its rate is the first that is tried
    load: PathBuf,
    #[command(flatten)]
    fleet_source: FleetSource,
    /// Band whose operations are judged
    #[arg(long)]
    band: String,
    /// Part of the operations that must be settled in time
    #[arg(long, default_value_t = 0.99)]
    part: f64,
    /// Highest rate to try, operations per second
    #[arg(long = "most", value_name = "MOST", default_value_t = 20_000.0)]
    max_rate: f64,
    /// Duration of a trial, seconds
    #[arg(long, default_value_t = 10.0)]
    lasts: f64,
    /// Time between trials, seconds
    #[arg(long = "rest", value_name = "REST", default_value_t = 2.0)]
    pause: f64,
    /// Maximum number of trials at one rate
    #[arg(long, default_value_t = 3)]
    repeats: u32,
    /// Precision of the result, as a part of the rate
    #[arg(long, default_value_t = 0.05)]
    precision: f64,
}

/// A fleet, and the quaypath-day process that runs it if this program started one.
struct RunningFleet {
    fleet: Fleet,
    process: Option<(Child, ChildStdin, BufReader<std::process::ChildStdout>)>,
}

impl RunningFleet {
    /// Uses the fleet of a file, or starts that of a day; `judge` is a record that the day judges together with its own.
    fn start(
        fleet_source: &FleetSource, folder: Option<&Path>, judge: Option<&Path>,
    ) -> Result<RunningFleet, String> {
        if let Some(path) = &fleet_source.fleet {
            let in_file = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
            let text = std::fs::read_to_string(path).map_err(|error| in_file(&error))?;
            return Ok(RunningFleet {
                fleet: Fleet::parse(&text).map_err(|error| in_file(&error))?,
                process: None,
            });
        }
        let day = fleet_source.day.as_ref().ok_or("neither --day nor --fleet is given")?;
        let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
        let program = own_path.with_file_name("quaypath-day");
        let mut command = Command::new(&program);
        command.arg("fleet").arg(day);
        if let Some(folder) = folder {
            command.arg("--folder").arg(folder);
        }
        if let Some(record) = judge {
            command.arg("--judge").arg(record);
        }
        command.stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(|error| format!("{}: {error}", program.display()))?;
        let (stdin, stdout) =
            (child.stdin.take().ok_or("no stdin")?, child.stdout.take().ok_or("no stdout")?);
        let (mut lines, mut text) = (BufReader::new(stdout), String::new());
        while !text.ends_with("ready\n") {
            if lines.read_line(&mut text).map_err(|error| error.to_string())? == 0 {
                let _ = child.wait();
                return Err(format!("the fleet of {} did not start", day.display()));
            }
        }
        let fleet = Fleet::parse(&text)?;
        Ok(RunningFleet { fleet, process: Some((child, stdin, lines)) })
    }

    /// Starts the faults of the day at `t`, in seconds since the epoch.
    fn begin(&mut self, t: f64) {
        if let Some((_, stdin, _)) = &mut self.process {
            let _ = writeln!(stdin, "begin {t}");
            let _ = stdin.flush();
        }
    }

    /// Stops the fleet; returns false if it was judged and broke a rule.
    fn end(&mut self) -> Result<bool, String> {
        let Some((mut child, stdin, mut lines)) = self.process.take() else { return Ok(true) };
        drop(stdin);
        let mut line = String::new();
        while lines.read_line(&mut line).unwrap_or(0) > 0 {
            print_line!("fleet: {}", line.trim_end());
            line.clear();
        }
        let status = child.wait().map_err(|error| error.to_string())?;
        match status.code() {
            Some(0) => Ok(true),
            Some(1) => Ok(false),
            _ => Err(format!("quaypath-day ended with {status}")),
        }
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        let _ = self.end();
    }
}

/// Waits for Ctrl-C or SIGTERM.
async fn stop_requested() {
    use async_signal::{Signal, Signals};
    match Signals::new([Signal::Int, Signal::Term]) {
        Ok(mut signals) => {
            let _ = signals.next().await;
        }
        // Without a handler the signal ends the process.
        Err(_) => std::future::pending().await,
    }
}

/// Reads and checks a load.
fn read_load(path: &Path) -> Result<Loaded, String> {
    let loaded = quaypath_settings::load(path).map_err(|error| error.to_string())?;
    check(&loaded.load, &loaded.deployment).map_err(|reason| format!("{}: {reason}", path.display()))?;
    Ok(loaded)
}

/// Progress of the generator in the last interval.
fn beat(glimpse: &Glimpse) -> Beat {
    let Cell { counts, meant, lag, .. } = &glimpse.recent;
    let ms = |histogram: &Latencies, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    let ended: u64 = counts.ends().iter().map(|(_, count)| count).sum();
    Beat {
        at: glimpse.at,
        offered: counts.offered,
        in_time: counts.in_time,
        settled: counts.settled(),
        others: ended - counts.settled(),
        p50: ms(meant, 0.5),
        p99: ms(meant, 0.99),
        lag: ms(lag, 0.99),
        open: glimpse.open,
    }
}

/// Time between two progress reports, seconds.
const REPORT_INTERVAL: f64 = 0.5;

/// A line that shows the progress and replaces itself, on a terminal only.
#[derive(Clone)]
struct ProgressLine(ProgressBar);

impl ProgressLine {
    fn new(duration: f64) -> ProgressLine {
        if !std::io::stderr().is_terminal() {
            return ProgressLine(ProgressBar::hidden());
        }
        let bar = ProgressBar::new(duration.ceil() as u64);
        let style = ProgressStyle::with_template("{pos:>4}/{len} s {bar:16} {msg}");
        ProgressLine(bar.with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar())))
    }

    fn update(&self, beat: &Beat) {
        self.0.set_position(beat.at.max(0.0) as u64);
        let rate = |count: u64| count as f64 / REPORT_INTERVAL;
        self.0.set_message(format!(
            "offered {:.0}/s, settled {:.0}/s, other ends {:.0}/s, open {}, p50 {:.1} ms, p99 {:.1} ms, lag {:.2} ms",
            rate(beat.offered),
            rate(beat.settled),
            rate(beat.others),
            beat.open,
            beat.p50,
            beat.p99,
            beat.lag
        ));
    }
}

/// Opens the record, if one is wanted.
fn open_record(path: &Option<PathBuf>, clock: Clock) -> Result<Option<Writer>, String> {
    path.as_ref().map(|path| Writer::file(path, clock).map_err(|error| error.to_string())).transpose()
}

/// Runs the load with one generator, in this process.
fn run_alone(
    path: &Path, loaded: &Loaded, fleet: &Fleet, record: Option<Writer>, begin: impl FnOnce(f64),
) -> Result<Outcome, String> {
    let clock = record.as_ref().map_or_else(Clock::default, |record| record.clock);
    let start = clock.now() + LEAD.min(0.5);
    begin(start);
    let progress = ProgressLine::new(loaded.load.lasts);
    let options = Run { path, loaded, fleet, clock, record: record.clone(), every: REPORT_INTERVAL };
    let place = Place { part: 0, of: 1, start };
    let (outcome, rows) =
        run(options, place, stop_requested(), move |glimpse| progress.update(&beat(&glimpse)))?;
    if let Some(record) = record {
        record.flush().map_err(|error| error.to_string())?;
    }
    rows.iter().for_each(print_row_counts);
    Ok(outcome)
}

/// Prints how many rows of a recorded load were used and why others were not.
fn print_row_counts(rows: &Rows) {
    print_line!(
        "rows of the record: {} taken, {} outside the window, {} put in order, {} too late for it, {} unknown, {} \
         remapped",
        rows.taken, rows.outside, rows.reordered, rows.late, rows.unknown, rows.remapped
    );
}

/// Coordinates several generators, started by this program or elsewhere.
fn run_in_parts(
    arguments: &RunArguments, loaded: &Loaded, running: &mut RunningFleet,
) -> Result<Outcome, String> {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let listener =
        TcpListener::bind(arguments.gather.unwrap_or(any_port)).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let own_program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut children = Vec::new();
    if arguments.gather.is_none() {
        for _ in 0..arguments.parts {
            let mut command = Command::new(&own_program);
            command.arg("join").arg(&arguments.load).arg(address.to_string()).stdin(Stdio::null());
            children.push(command.spawn().map_err(|error| error.to_string())?);
        }
    } else {
        eprintln!("waiting for {} generators at {address}", arguments.parts);
    }
    let clock = Clock::default();
    let part_count = arguments.parts;
    let progress = ProgressLine::new(loaded.load.lasts);
    let newest: Arc<Mutex<Vec<Beat>>> = Arc::new(Mutex::new(vec![Beat::default(); part_count as usize]));
    let mut started = false;
    let gathered =
        gather(listener, hello(loaded), part_count, &running.fleet.clone(), clock, |part, beat| {
            if !started {
                started = true;
                running.begin(clock.now() - beat.at);
            }
            let mut newest = newest.lock().unwrap();
            newest[part] = beat.clone();
            let mut sum = Beat { at: beat.at, ..Beat::default() };
            for latest in newest.iter() {
                sum.offered += latest.offered;
                sum.settled += latest.settled;
                sum.others += latest.others;
                sum.open += latest.open;
                sum.p50 = sum.p50.max(latest.p50);
                sum.p99 = sum.p99.max(latest.p99);
                sum.lag = sum.lag.max(latest.lag);
            }
            progress.update(&sum);
        });
    // A generator that was not accepted ends by itself; after a failure those that may hang are killed.
    for child in &mut children {
        if gathered.is_err() {
            let _ = child.kill();
        }
        let _ = child.wait();
    }
    let (results, states, start) = gathered?;
    let mut missing = Vec::new();
    for (part, state) in states.iter().enumerate() {
        if let parts::State::Missing { why, at } = state {
            let source = stream(&arguments.load, &loaded.load, &loaded.deployment, running.fleet.peers())?;
            let offered = share(source, part as u32, part_count, 0.0, f64::INFINITY)?;
            let why = format!("{why}, {at:.1} s into the load");
            eprintln!(
                "quaypath-load: generator {part} of {part_count} is missing: {why}; its share is {offered} arrivals"
            );
            missing.push(Missing { part: part as u32, offered, why });
        }
    }
    let mut outcome = match results.is_empty() {
        false => Outcome::merge(results)?,
        true => Outcome::of(meta(loaded, &running.fleet, part_count, start), &Default::default()),
    };
    outcome.meta.parts = part_count;
    outcome.meta.missing = missing;
    Ok(outcome)
}

fn run_load(arguments: &RunArguments) -> Result<bool, String> {
    let loaded = read_load(&arguments.load)?;
    if arguments.parts > 1 && arguments.record.is_some() {
        return Err("--record can be used with one generator only".into());
    }
    let judge = arguments.record.as_deref().filter(|_| arguments.fleet_source.day.is_some());
    let mut running = RunningFleet::start(&arguments.fleet_source, arguments.folder.as_deref(), judge)?;
    let outcome = if arguments.parts > 1 || arguments.gather.is_some() {
        run_in_parts(arguments, &loaded, &mut running)?
    } else {
        let record = open_record(&arguments.record, Clock::default())?;
        let fleet = running.fleet.clone();
        run_alone(&arguments.load, &loaded, &fleet, record, |start| running.begin(start))?
    };
    let rules_kept = running.end()?;
    if let Some(folder) = &arguments.report {
        std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
        outcome.write(&folder.join("result.parquet"))?;
        chart::draw(&outcome, folder)?;
        print_line!("result and charts: {}", folder.display());
    }
    print_line!("{}", report::tables(&outcome)?);
    Ok(rules_kept && outcome.meta.missing.is_empty())
}

fn join(path: &Path, address: SocketAddr) -> Result<bool, String> {
    let loaded = read_load(path)?;
    let joined = Joined::join(address, hello(&loaded))?;
    let reporter = std::cell::RefCell::new(joined.teller()?);
    let options = Run {
        path,
        loaded: &loaded,
        fleet: &joined.given.fleet.clone(),
        clock: Clock::default(),
        record: None,
        every: REPORT_INTERVAL,
    };
    let place = Place { part: joined.given.part, of: joined.given.of, start: joined.start };
    let (outcome, _) =
        run(options, place, stop_requested(), move |glimpse| reporter.borrow_mut().beat(&beat(&glimpse)))?;
    joined.report(&outcome)?;
    Ok(true)
}

fn report_on(path: &Path, charts: Option<&Path>) -> Result<bool, String> {
    let outcome = Outcome::read(path)?;
    print_line!("{}", report::tables(&outcome)?);
    if let Some(folder) = charts {
        for path in chart::draw(&outcome, folder)? {
            print_line!("{}", path.display());
        }
    }
    Ok(true)
}

/// Runs one trial of a search: the load at this rate. `index` counts the trials from 1.
fn trial(
    arguments: &KneeArguments, loaded: &mut Loaded, band: usize, fleet: &Fleet, rate: f64, index: u64,
) -> Result<(Trial, Outcome), String> {
    let load = &mut loaded.load;
    load.open.as_mut().ok_or("a search needs a load with <open>")?.rate = rate;
    load.lasts = arguments.lasts;
    load.warm_up = load.warm_up.min(arguments.lasts / 4.0);
    // Each trial has its own seed: repeats with equal draws would add less information than they seem to.
    load.seed = load.seed.wrapping_add(index);
    let outcome = run_alone(&arguments.load, loaded, fleet, None, |_| {})?;
    if let Some(reason) = &outcome.meta.ended_early {
        return Err(reason.clone());
    }
    let counts = outcome.cell(Key::new(Kind::Band, band))?.counts;
    let measured = match outcome.verdict()? {
        Verdict::Limited(reason) => Trial::Generator(reason),
        Verdict::Brought if counts.offered == 0 => Trial::Nothing,
        Verdict::Brought => Trial::Part(counts.goodput()),
    };
    Ok((measured, outcome))
}

/// Searches for the knee: raises and lowers the rate until the search has found it or has to give up.
fn knee(arguments: &KneeArguments) -> Result<bool, String> {
    let mut loaded = read_load(&arguments.load)?;
    let from = loaded.load.open.as_ref().ok_or("a search needs a load with <open>")?.rate;
    let band = loaded.deployment.band_names.iter().position(|name| *name == arguments.band);
    let band = band.ok_or(format!("band '{}' is not in the deployment", arguments.band))?;
    let mut running = RunningFleet::start(&arguments.fleet_source, None, None)?;
    let fleet = running.fleet.clone();
    let mut search = Knee::new(Bar {
        part: arguments.part,
        from,
        most: arguments.max_rate,
        precision: arguments.precision.clamp(0.001, 0.5),
        repeats: arguments.repeats.max(1),
    });
    let mut index = 0;
    while let Some(rate) = search.next() {
        index += 1;
        let (measured, outcome) = trial(arguments, &mut loaded, band, &fleet, rate, index)?;
        let all = outcome.cell(Key::new(Kind::All, 0))?;
        print_line!(
            "{rate:.0} a second: {measured:?} of {} in time; all bands {:.4}, p99 of all {} ms",
            arguments.band,
            all.counts.goodput(),
            report::milliseconds(all.meant.value_at_quantile(0.99) as f64 / 1e6)
        );
        search.took(measured);
        std::thread::sleep(std::time::Duration::from_secs_f64(arguments.pause.clamp(0.0, 600.0)));
    }
    running.end()?;
    let criterion = format!("{} of {} in time", arguments.part, arguments.band);
    let noisy = search.steps.iter().filter(|step| step.noisy).count();
    if noisy > 0 {
        print_line!("at {noisy} rates the interval of the repeats includes the part to reach; these were judged by their means");
    }
    let found = match search.state() {
        State::Ended(End::Between(low, high)) => {
            print_line!("knee: {criterion} holds at {low:.0} a second and not at {high:.0}");
            true
        }
        State::Ended(End::Above(rate)) => {
            print_line!("no knee: {criterion} still holds at {rate:.0} a second, the highest tried");
            true
        }
        State::Ended(End::Below(rate)) => {
            print_line!("no knee: {criterion} does not hold even at {rate:.1} a second");
            false
        }
        State::Ended(End::Generator { at, held, why }) => {
            let held = held.map_or("at no rate before".into(), |held| format!("at {held:.0}"));
            print_line!(
                "no knee: the generator was the limit at {at:.0} a second ({why}); {criterion} held {held}"
            );
            false
        }
        State::Ended(End::Nothing) => {
            print_line!("no knee: no operation of band {} was offered", arguments.band);
            false
        }
        State::Doubling | State::Halving => false,
    };
    Ok(found)
}

fn show(path: &Path, first: u64) -> Result<bool, String> {
    let loaded = read_load(path)?;
    let peers = Peers::Gateways(loaded.deployment.core.initiators as u32);
    let mut source = stream(path, &loaded.load, &loaded.deployment, peers)?;
    let mut count = 0u64;
    let mut bands = vec![0u64; loaded.deployment.band_names.len()];
    let mut last = 0.0;
    while let Some(arrival) = source.next()? {
        if count < first {
            print_line!(
                "{:10.4} s  gateway {:3}  volume {:5}  {}  {} units",
                arrival.at,
                arrival.peer,
                arrival.volume,
                loaded.deployment.band_names[arrival.band],
                arrival.units
            );
        }
        count += 1;
        bands[arrival.band] += 1;
        last = arrival.at;
    }
    print_line!("{count} arrivals, the last at {last:.3} s");
    for (name, count) in loaded.deployment.band_names.iter().zip(bands) {
        print_line!("  {name}: {count}");
    }
    if loaded.load.open.is_some() {
        print_line!("at most {:.0} a second on average at any time", peak(&loaded.load, &loaded.deployment)?);
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.logs.start();
    let finished = match &arguments.action {
        Action::Run(run) => run_load(run),
        Action::Join { load, address } => join(load, *address),
        Action::Report { result, charts } => report_on(result, charts.as_deref()),
        Action::Compare { first, second } => Outcome::read(first).and_then(|first| {
            let text = report::compared(&first, &Outcome::read(second)?)?;
            print_line!("{text}");
            Ok(true)
        }),
        Action::Knee(knee_of) => knee(knee_of),
        Action::Show { load, first } => show(load, *first),
    };
    exit_code("quaypath-load", finished)
}
