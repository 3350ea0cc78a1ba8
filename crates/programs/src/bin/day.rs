//! `quaypath-day`: runs a day of traffic and troubles on loopback, and judges it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use clap::{Args, Parser, Subcommand, ValueEnum};
use quaypath_day::{plan, report, run};
use quaypath_programs::{exit_code, print_line, Logs};
use quaypath_record::Clock;
use quaypath_settings::{migrate, Day, Fault, FaultKind};

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Table,
    Json,
}

/// Runs a day written in XML: gateways as processes, stand-ins for all else, troubles by time.
#[derive(Parser)]
#[command(version, after_help = "Example:\n  quaypath-day run days/bad-day.xml")]
struct Arguments {
    #[command(subcommand)]
    act: Act,
    #[command(flatten)]
    logs: Logs,
}

#[derive(Subcommand)]
enum Act {
    /// Runs the day and judges it; exits 1 where a rule is broken
    Run(Run),
    /// Runs short days with troubles drawn by seed, one after the other; exits 1 where a rule is broken
    Storm(Storm),
    /// Keeps the day's fleet up for other programs to load; ends when standard input does
    Fleet(Fleet),
    /// Measures a fleet of members that talk, at another size and with its own faults; prints one line, or a row
    Members(Members),
    /// Prints what the day will bring, without running it
    Show {
        /// The day, XML by quaypath.xsd
        day: PathBuf,
    },
}

#[derive(Args)]
struct Storm {
    /// The day whose fleet and traffic are taken, XML by quaypath.xsd
    day: PathBuf,
    /// First seed
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Seeds to run
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Seconds of each
    #[arg(long, default_value_t = 5.0)]
    lasts: f64,
}

/// Prints `gateway NUMBER ADDRESS` for each gateway, then `ready`. The day's troubles begin with a line `begin` on
/// standard input, or at a time of the clock with `begin SECONDS`, counted from the epoch.
#[derive(Args)]
struct Fleet {
    /// The day whose fleet and troubles are taken, XML by quaypath.xsd
    day: PathBuf,
    /// Where record, lists and logs go; a new folder under the system's temporary one where absent
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Judge the record of the fleet together with these at the end; exits 1 where a rule is broken
    #[arg(long)]
    judge: Vec<PathBuf>,
}

/// Kills, stops and loss at a size of choice, without the day's own troubles: time to detect, false alarms, traffic,
/// processor time and memory, as links and the system saw them.
#[derive(Args)]
struct Members {
    /// The day whose deployment and nodes are taken, XML by quaypath.xsd
    day: PathBuf,
    /// Processes
    #[arg(long, default_value_t = 8)]
    count: u16,
    /// Part of the datagrams that is lost
    #[arg(long, default_value_t = 0.0)]
    lose: f64,
    /// Seconds that a tenth of the processes stands still, twice
    #[arg(long, default_value_t = 0.0)]
    stops: f64,
    /// Processes that are killed, one after the other
    #[arg(long, default_value_t = 3)]
    kills: u32,
    /// Seconds
    #[arg(long, default_value_t = 40.0)]
    lasts: f64,
    /// Heartbeats of each to all, and everyone probes everything, to compare with
    #[arg(long)]
    careless: bool,
    /// Where record, lists and logs go; a new folder under the system's temporary one where absent
    #[arg(long)]
    folder: Option<PathBuf>,
}

#[derive(Args)]
struct Run {
    /// The day, XML by quaypath.xsd
    day: PathBuf,
    /// Run the careless baseline in the gateways, to see the rules broken
    #[arg(long)]
    careless: bool,
    /// What gateways tell and lend each other, in place of the settings': none, news, parts or all
    #[arg(long)]
    signals: Option<String>,
    /// Take a safeguard of signals and lending away in all gateways, to see what notices
    #[arg(long)]
    without: Option<String>,
    /// Where record, lists and logs go; a new folder under the system's temporary one where absent
    #[arg(long)]
    folder: Option<PathBuf>,
    #[arg(long, value_enum, default_value = "table")]
    format: Form,
}

/// What a day is run with; the gateway's program stands beside this one.
fn options(path: &Path, day: &Day, folder: &Path, careless: bool) -> Result<run::Options, String> {
    let beside = std::env::current_exe().map_err(|error| error.to_string())?;
    let gateway = beside.with_file_name("quaypath-gateway");
    if !gateway.exists() {
        return Err(format!("{}: not there; build the whole workspace", gateway.display()));
    }
    let deployment = path.parent().unwrap_or(Path::new("")).join(&day.deployment);
    Ok(run::Options { gateway, deployment, folder: folder.into(), careless, signals: None, without: None })
}

fn run_day(arguments: Run) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let own = std::env::temp_dir().join(format!("quaypath-day-{}", std::process::id()));
    let keep = arguments.folder.is_some();
    let folder = arguments.folder.unwrap_or(own);
    let options = options(&arguments.day, &day, &folder, arguments.careless)?;
    let options = run::Options { signals: arguments.signals, without: arguments.without, ..options };
    let left = run::run(&day, &deployment, &options).map_err(|error| error.to_string())?;
    let (books, memory, tally) = (&left.books, &left.memory, &left.tally);
    let report = report::of_files(&deployment, day.transit, &[run::record_path(&folder)])
        .map_err(|error| error.to_string())?;
    match arguments.format {
        Form::Table => {
            print_line!("{}", report.table());
            print_line!("{} first tries found no gateway", tally.unreachable);
            print_line!("{}", held(memory, day.lasts));
            report.told.iter().for_each(|told| print_line!("{}", told.line()));
            print_line!("{}", report.shares.line());
            if !left.struck.is_empty() {
                let struck = left.struck.iter().map(|(kind, times)| format!("{kind} {times}"));
                print_line!("faults of links struck: {}", struck.collect::<Vec<_>>().join(", "));
            }
            if books.len() < day.fleet.gateways as usize {
                print_line!(
                    "{} gateways gave no counts at the end",
                    day.fleet.gateways as usize - books.len()
                );
            }
            print_line!("{}", report.verdict());
        }
        Form::Json => {
            let whole = serde_json::json!({ "report": report, "books": books, "memory": memory,
                "unreachable": tally.unreachable, "struck": left.struck, "processor": left.processor });
            print_line!("{whole}");
        }
    }
    if keep || !report.kept() {
        eprintln!("record and logs: {}", folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report.kept())
}

/// Median and highest memory of a gateway at half of the day and at its end.
fn held(memory: &run::Memory, lasts: f64) -> String {
    let at = |from: f64, to: f64| {
        let samples = memory.values().filter_map(|samples| {
            samples.iter().rev().find(|(at, _)| (from..=to).contains(at)).map(|(_, held)| *held)
        });
        let mut all: Vec<u64> = samples.collect();
        all.sort_unstable();
        let median = all.get(all.len() / 2).copied().unwrap_or(0);
        format!("{median} KiB median, {} KiB most", all.last().copied().unwrap_or(0))
    };
    format!("gateway memory: at half {}; at the end {}", at(0.0, lasts / 2.0), at(lasts / 2.0, f64::INFINITY))
}

fn storm(arguments: &Storm) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let mut broken = Vec::new();
    let mut transactions = 0;
    for seed in arguments.from..arguments.from.saturating_add(arguments.seeds) {
        let storm = plan::storm(&day, deployment.fleet.is_some(), seed, arguments.lasts.clamp(1.0, 600.0));
        let folder = std::env::temp_dir().join(format!("quaypath-storm-{}-{seed}", std::process::id()));
        let options = options(&arguments.day, &day, &folder, false)?;
        let run::Left { tally, .. } =
            run::run(&storm, &deployment, &options).map_err(|error| error.to_string())?;
        let report = report::of_files(&deployment, day.transit, &[run::record_path(&folder)])
            .map_err(|error| error.to_string())?;
        transactions += report.all.taken;
        let kinds: Vec<String> = storm.fault.iter().map(|fault| format!("{:?}", fault.kind)).collect();
        let hung = if tally.done { "" } else { ", HUNG" };
        print_line!(
            "seed {seed}: {} taken, {}{hung}  [{}]",
            report.all.taken,
            report.verdict(),
            kinds.join(" ")
        );
        if report.kept() && tally.done {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            eprintln!("record and logs: {}", folder.display());
            broken.push(seed);
        }
    }
    let count = arguments.seeds;
    print_line!("{count} seeds, {transactions} transactions, {} broken or hung: {broken:?}", broken.len());
    Ok(broken.is_empty())
}

fn members(arguments: &Members) -> Result<bool, String> {
    let (mut day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    if deployment.fleet.is_none() || !(2..=1024).contains(&arguments.count) {
        return Err(format!("--count {}: 2 to 1024, of a day whose initiators talk", arguments.count));
    }
    if !(0.0..=0.9).contains(&arguments.lose) || !(0.0..=10.0).contains(&arguments.stops) {
        return Err("--lose is 0 to 0.9, --stops 0 to 10 s".into());
    }
    if !(20.0..=600.0).contains(&arguments.lasts) || arguments.kills >= u32::from(arguments.count) {
        return Err("--lasts is 20 to 600 s, --kills leaves one".into());
    }
    let own = std::env::temp_dir().join(format!("quaypath-members-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or(own.clone());
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let from = arguments.day.parent().unwrap_or(Path::new("")).join(&day.deployment);
    let text = migrate::crowd(&from, arguments.count).map_err(|error| error.to_string())?;
    let widened = folder.join("deployment.xml");
    std::fs::write(&widened, text).map_err(|error| format!("{}: {error}", widened.display()))?;
    let deployment = quaypath_settings::deployment(&widened).map_err(|error| error.to_string())?;
    // Little traffic: it is the fleet that is measured.
    (day.lasts, day.traffic.rate, day.fleet.gateways) = (arguments.lasts, 5.0, u32::from(arguments.count));
    (day.fault, day.traffic.surge, day.traffic.leave) = (Vec::new(), Vec::new(), Vec::new());
    let fault = |kind, at: f64, lasts: f64| Fault {
        kind,
        at,
        lasts,
        part: 0.0,
        node: None,
        from: String::new(),
        to: String::new(),
        size: 0.0,
        waves: 0,
        returns: 0.0,
    };
    if arguments.lose > 0.0 {
        let ends = "gateways".to_string();
        let lose = fault(FaultKind::Lose, 0.0, arguments.lasts);
        day.fault.push(Fault { from: ends.clone(), to: ends, size: arguments.lose, ..lose });
    }
    for nth in 0..arguments.kills {
        // Spread over the first half, so that each is told of before the end; none comes back.
        let at = 8.0 + (arguments.lasts / 2.0 - 8.0) * f64::from(nth) / f64::from(arguments.kills);
        let node = Some(u32::from(arguments.count) - 1 - nth);
        day.fault.push(Fault {
            node,
            returns: 2.0 * arguments.lasts,
            ..fault(FaultKind::KillInitiators, at, 0.0)
        });
    }
    if arguments.stops > 0.0 {
        for at in [8.0, arguments.lasts / 2.0] {
            for node in 0..u32::from(arguments.count).div_ceil(10) {
                day.fault.push(Fault { node: Some(node), ..fault(FaultKind::Stop, at, arguments.stops) });
            }
        }
    }
    let mut options = options(&arguments.day, &day, &folder, arguments.careless)?;
    options.deployment = widened;
    let left = run::run(&day, &deployment, &options).map_err(|error| error.to_string())?;
    let report = report::of_files(&deployment, day.transit, &[run::record_path(&folder)])
        .map_err(|error| error.to_string())?;
    let told = report.told.clone().unwrap_or_default();
    let used: f64 = left.processor.values().map(|(used, ran)| used / ran.max(1.0)).sum();
    let used = 100.0 * used / left.processor.len().max(1) as f64;
    let mut held: Vec<u64> = left.memory.values().filter_map(|samples| Some(samples.last()?.1)).collect();
    held.sort_unstable();
    let held = held.get(held.len() / 2).copied().unwrap_or(0);
    print_line!("{}", told.line());
    print_line!("a process: {used:.2}% of a core, {held} KiB; {}", report.verdict());
    if arguments.folder.is_none() {
        let _ = std::fs::remove_dir_all(&own);
    }
    Ok(report.kept())
}

fn fleet(arguments: &Fleet) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let own = std::env::temp_dir().join(format!("quaypath-fleet-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or(own.clone());
    let options = options(&arguments.day, &day, &folder, false)?;
    let (begins, over) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
    let (told, closed) = (begins.clone(), over.clone());
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.split_whitespace().collect::<Vec<_>>()[..] {
                ["begin"] => *told.lock().unwrap() = Some(Clock::default().now()),
                ["begin", at] if at.parse::<f64>().is_ok() => *told.lock().unwrap() = at.parse().ok(),
                [] => {}
                _ => eprintln!("quaypath-day: '{line}' is not 'begin' or 'begin SECONDS'"),
            }
        }
        closed.store(true, Ordering::Relaxed);
    });
    let ready = |addresses: &[(u32, SocketAddr)]| {
        addresses.iter().for_each(|(number, address)| print_line!("gateway {number} {address}"));
        print_line!("ready");
    };
    let begins = || *begins.lock().unwrap();
    run::fleet(&day, &deployment, &options, ready, begins, || over.load(Ordering::Relaxed))
        .map_err(|error| error.to_string())?;
    let mut kept = true;
    if !arguments.judge.is_empty() {
        let mut paths = vec![run::record_path(&folder)];
        paths.extend(arguments.judge.iter().cloned());
        let report = report::of_files(&deployment, day.transit, &paths).map_err(|error| error.to_string())?;
        print_line!("{}", report.verdict());
        kept = report.kept();
    }
    if arguments.folder.is_none() && kept {
        let _ = std::fs::remove_dir_all(&own);
    }
    Ok(kept)
}

fn show(path: &Path) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(path).map_err(|error| error.to_string())?;
    let asks = plan::traffic(&day, &deployment);
    print_line!("{}: {} s, {} first tries", day.name, day.lasts, asks.len());
    for (at, act) in plan::script(&day, &deployment) {
        print_line!("{at:8.2} s  {act:?}");
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.logs.start();
    let done = match arguments.act {
        Act::Run(run) => run_day(run),
        Act::Storm(arguments) => storm(&arguments),
        Act::Fleet(arguments) => fleet(&arguments),
        Act::Members(arguments) => members(&arguments),
        Act::Show { day } => show(&day),
    };
    exit_code("quaypath-day", done)
}
