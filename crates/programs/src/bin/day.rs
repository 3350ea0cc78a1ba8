//! `quaypath-day`: runs a test day of traffic and faults on loopback, and judges its record.

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

/// Format of the report.
#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Table,
    Json,
}

/// Runs a test day written in XML: gateways as processes, stand-ins for everything else, and faults at set times.
#[derive(Parser)]
#[command(version, after_help = "Example:\n  quaypath-day run days/bad-day.xml")]
struct Arguments {
    #[command(subcommand)]
    action: Action,
    #[command(flatten)]
    logs: Logs,
}

#[derive(Subcommand)]
enum Action {
    /// Runs the day and judges it; exits with 1 if a rule is broken
    Run(Run),
    /// Runs short days with faults drawn at random by seed, one after the other; exits with 1 if a rule is broken
    Storm(Storm),
    /// Runs the day's fleet for other programs to load, until standard input ends
    Fleet(Fleet),
    /// Measures a fleet of gateways that communicate, at a given size and with given faults; prints the result
    Members(Members),
    /// Prints the traffic and faults of the day without running it
    Show {
        /// The day, XML by quaypath.xsd
        day: PathBuf,
    },
}

#[derive(Args)]
struct Storm {
    /// The day whose fleet and traffic are used, XML by quaypath.xsd
    day: PathBuf,
    /// First seed
    #[arg(long, default_value_t = 1)]
    from: u64,
    /// Number of seeds to run
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Duration of each day, seconds
    #[arg(long, default_value_t = 5.0)]
    lasts: f64,
}

/// Prints `gateway NUMBER ADDRESS` for each gateway, then `ready`. The day's faults begin with a line `begin` on
/// standard input, or with `begin SECONDS` at that time of the clock, in seconds since the epoch.
#[derive(Args)]
struct Fleet {
    /// The day whose fleet and faults are used, XML by quaypath.xsd
    day: PathBuf,
    /// Folder for record, node lists and logs; a new one in the system's temporary folder by default
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Record to judge together with that of the fleet at the end, can be repeated; exits with 1 if a rule is broken
    #[arg(long)]
    judge: Vec<PathBuf>,
}

/// Runs kills, stops and loss without the day's own faults, and reports time to detect, false alarms, traffic, processor
/// time and memory as observed by the links and the system.
#[derive(Args)]
struct Members {
    /// The day whose deployment and nodes are used, XML by quaypath.xsd
    day: PathBuf,
    /// Number of gateway processes, 2 to 1024
    #[arg(long, default_value_t = 8)]
    count: u16,
    /// Part of the datagrams that is lost, 0 to 0.9
    #[arg(long, default_value_t = 0.0)]
    lose: f64,
    /// Seconds for which a tenth of the processes is stopped, twice; 0 to 10
    #[arg(long, default_value_t = 0.0)]
    stops: f64,
    /// Number of processes that are killed, one after the other
    #[arg(long, default_value_t = 3)]
    kills: u32,
    /// Duration, 20 to 600 seconds
    #[arg(long, default_value_t = 40.0)]
    lasts: f64,
    /// Run the baseline for comparison: each member sends heartbeats to all others, and all members probe all nodes
    #[arg(long = "careless")]
    baseline: bool,
    /// Folder for record, node lists and logs; a new one in the system's temporary folder by default
    #[arg(long)]
    folder: Option<PathBuf>,
}

#[derive(Args)]
struct Run {
    /// The day, XML by quaypath.xsd
    day: PathBuf,
    /// Run the baseline that keeps no rule in the gateways, to check that the judge finds the breaches
    #[arg(long = "careless")]
    baseline: bool,
    /// What gateways report and lend to each other, in place of the settings': none, news, parts or all
    #[arg(long)]
    signals: Option<String>,
    /// Disable a safeguard of signals and lending in all gateways, to check that the tests notice
    #[arg(long)]
    without: Option<String>,
    /// Folder for record, node lists and logs; a new one in the system's temporary folder by default
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Format of the report
    #[arg(long, value_enum, default_value = "table")]
    format: Format,
}

/// Options of a run; the gateway program is expected in the folder of this program.
fn options(path: &Path, day: &Day, folder: &Path, baseline: bool) -> Result<run::Options, String> {
    let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
    let gateway = own_path.with_file_name("quaypath-gateway");
    if !gateway.exists() {
        return Err(format!("{}: gateway program not found; build the whole workspace", gateway.display()));
    }
    let deployment = path.parent().unwrap_or(Path::new("")).join(&day.deployment);
    Ok(run::Options {
        gateway_program: gateway,
        deployment,
        folder: folder.into(),
        baseline,
        signals: None,
        disabled_safeguard: None,
    })
}

fn run_day(arguments: Run) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let default_folder = std::env::temp_dir().join(format!("quaypath-day-{}", std::process::id()));
    let folder_given = arguments.folder.is_some();
    let folder = arguments.folder.unwrap_or(default_folder);
    let options = options(&arguments.day, &day, &folder, arguments.baseline)?;
    let options =
        run::Options { signals: arguments.signals, disabled_safeguard: arguments.without, ..options };
    let outcome = run::run(&day, &deployment, &options).map_err(|error| error.to_string())?;
    let (gateway_counts, memory, clients) = (&outcome.gateway_counts, &outcome.memory, &outcome.clients);
    let report = report::from_files(&deployment, day.transit, &[run::record_path(&folder)])
        .map_err(|error| error.to_string())?;
    match arguments.format {
        Format::Table => {
            print_line!("{}", report.table());
            print_line!("{} first tries found no gateway", clients.unreachable);
            print_line!("{}", memory_line(memory, day.lasts));
            report.fleet_summary.iter().for_each(|fleet_report| print_line!("{}", fleet_report.line()));
            print_line!("{}", report.sharing_summary.line());
            if !outcome.link_faults.is_empty() {
                let fault_counts =
                    outcome.link_faults.iter().map(|(kind, occurrences)| format!("{kind} {occurrences}"));
                print_line!("faults of links struck: {}", fault_counts.collect::<Vec<_>>().join(", "));
            }
            if gateway_counts.len() < day.fleet.gateways as usize {
                print_line!(
                    "{} gateways gave no counts at the end",
                    day.fleet.gateways as usize - gateway_counts.len()
                );
            }
            print_line!("{}", report.verdict());
        }
        Format::Json => {
            let output = serde_json::json!({ "report": report, "books": gateway_counts, "memory": memory,
                "unreachable": clients.unreachable, "struck": outcome.link_faults, "processor": outcome.processor_times });
            print_line!("{output}");
        }
    }
    if folder_given || !report.rules_kept() {
        eprintln!("record and logs: {}", folder.display());
    } else {
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(report.rules_kept())
}

/// A line with the median and maximum memory of the gateways, from the last samples of the first half of the day and
/// of the second. `duration` is the length of the day in seconds.
fn memory_line(memory: &run::MemorySamples, duration: f64) -> String {
    let summary = |from: f64, to: f64| {
        let samples = memory.values().filter_map(|samples| {
            samples.iter().rev().find(|(t, _)| (from..=to).contains(t)).map(|(_, kib)| *kib)
        });
        let mut all: Vec<u64> = samples.collect();
        all.sort_unstable();
        let median = all.get(all.len() / 2).copied().unwrap_or(0);
        format!("{median} KiB median, {} KiB most", all.last().copied().unwrap_or(0))
    };
    format!(
        "gateway memory: at half {}; at the end {}",
        summary(0.0, duration / 2.0),
        summary(duration / 2.0, f64::INFINITY)
    )
}

fn storm(arguments: &Storm) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let mut failed_seeds = Vec::new();
    let mut transactions = 0;
    for seed in arguments.from..arguments.from.saturating_add(arguments.seeds) {
        let short_day =
            plan::random_day(&day, deployment.fleet.is_some(), seed, arguments.lasts.clamp(1.0, 600.0));
        let folder = std::env::temp_dir().join(format!("quaypath-storm-{}-{seed}", std::process::id()));
        let options = options(&arguments.day, &day, &folder, false)?;
        let run::Outcome { clients, .. } =
            run::run(&short_day, &deployment, &options).map_err(|error| error.to_string())?;
        let report = report::from_files(&deployment, day.transit, &[run::record_path(&folder)])
            .map_err(|error| error.to_string())?;
        transactions += report.all.transactions;
        let kinds: Vec<String> = short_day.fault.iter().map(|fault| format!("{:?}", fault.kind)).collect();
        let hung = if clients.is_done { "" } else { ", HUNG" };
        print_line!(
            "seed {seed}: {} taken, {}{hung}  [{}]",
            report.all.transactions,
            report.verdict(),
            kinds.join(" ")
        );
        if report.rules_kept() && clients.is_done {
            let _ = std::fs::remove_dir_all(&folder);
        } else {
            eprintln!("record and logs: {}", folder.display());
            failed_seeds.push(seed);
        }
    }
    let count = arguments.seeds;
    print_line!(
        "{count} seeds, {transactions} transactions, {} broken or hung: {failed_seeds:?}",
        failed_seeds.len()
    );
    Ok(failed_seeds.is_empty())
}

fn members(arguments: &Members) -> Result<bool, String> {
    let (mut day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    if deployment.fleet.is_none() || !(2..=1024).contains(&arguments.count) {
        return Err(format!(
            "--count {}: needs 2 to 1024 members and a day whose deployment has a fleet",
            arguments.count
        ));
    }
    if !(0.0..=0.9).contains(&arguments.lose) || !(0.0..=10.0).contains(&arguments.stops) {
        return Err("--lose must be 0 to 0.9, --stops 0 to 10 s".into());
    }
    if !(20.0..=600.0).contains(&arguments.lasts) || arguments.kills >= u32::from(arguments.count) {
        return Err("--lasts must be 20 to 600 s, --kills less than --count".into());
    }
    let default_folder = std::env::temp_dir().join(format!("quaypath-members-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or(default_folder.clone());
    std::fs::create_dir_all(&folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    let source = arguments.day.parent().unwrap_or(Path::new("")).join(&day.deployment);
    let text = migrate::resize_fleet(&source, arguments.count).map_err(|error| error.to_string())?;
    let resized = folder.join("deployment.xml");
    std::fs::write(&resized, text).map_err(|error| format!("{}: {error}", resized.display()))?;
    let deployment = quaypath_settings::deployment(&resized).map_err(|error| error.to_string())?;
    // Traffic is light, because the communication within the fleet is what is measured.
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
    for index in 0..arguments.kills {
        // Kills are spread over the first half, so that each is reported before the end; no killed process returns.
        let at = 8.0 + (arguments.lasts / 2.0 - 8.0) * f64::from(index) / f64::from(arguments.kills);
        let node = Some(u32::from(arguments.count) - 1 - index);
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
    let mut options = options(&arguments.day, &day, &folder, arguments.baseline)?;
    options.deployment = resized;
    let outcome = run::run(&day, &deployment, &options).map_err(|error| error.to_string())?;
    let report = report::from_files(&deployment, day.transit, &[run::record_path(&folder)])
        .map_err(|error| error.to_string())?;
    let fleet_report = report.fleet_summary.clone().unwrap_or_default();
    let cores: f64 = outcome.processor_times.values().map(|(used, running)| used / running.max(1.0)).sum();
    let percent = 100.0 * cores / outcome.processor_times.len().max(1) as f64;
    let mut process_memory: Vec<u64> =
        outcome.memory.values().filter_map(|samples| Some(samples.last()?.1)).collect();
    process_memory.sort_unstable();
    let median_memory = process_memory.get(process_memory.len() / 2).copied().unwrap_or(0);
    print_line!("{}", fleet_report.line());
    print_line!("a process: {percent:.2}% of a core, {median_memory} KiB; {}", report.verdict());
    if arguments.folder.is_none() {
        let _ = std::fs::remove_dir_all(&default_folder);
    }
    Ok(report.rules_kept())
}

fn fleet(arguments: &Fleet) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(&arguments.day).map_err(|error| error.to_string())?;
    let default_folder = std::env::temp_dir().join(format!("quaypath-fleet-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or(default_folder.clone());
    let options = options(&arguments.day, &day, &folder, false)?;
    let (begins_at, input_ended) = (Arc::new(Mutex::new(None)), Arc::new(AtomicBool::new(false)));
    let (received, ended) = (begins_at.clone(), input_ended.clone());
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            match line.split_whitespace().collect::<Vec<_>>()[..] {
                ["begin"] => *received.lock().unwrap() = Some(Clock::default().now()),
                ["begin", time] if time.parse::<f64>().is_ok() => {
                    *received.lock().unwrap() = time.parse().ok()
                }
                [] => {}
                _ => eprintln!("quaypath-day: ignored '{line}', neither 'begin' nor 'begin SECONDS'"),
            }
        }
        ended.store(true, Ordering::Relaxed);
    });
    let ready = |addresses: &[(u32, SocketAddr)]| {
        addresses.iter().for_each(|(number, address)| print_line!("gateway {number} {address}"));
        print_line!("ready");
    };
    let begins = || *begins_at.lock().unwrap();
    run::run_fleet(&day, &deployment, &options, ready, begins, || input_ended.load(Ordering::Relaxed))
        .map_err(|error| error.to_string())?;
    let mut rules_kept = true;
    if !arguments.judge.is_empty() {
        let mut paths = vec![run::record_path(&folder)];
        paths.extend(arguments.judge.iter().cloned());
        let report =
            report::from_files(&deployment, day.transit, &paths).map_err(|error| error.to_string())?;
        print_line!("{}", report.verdict());
        rules_kept = report.rules_kept();
    }
    if arguments.folder.is_none() && rules_kept {
        let _ = std::fs::remove_dir_all(&default_folder);
    }
    Ok(rules_kept)
}

fn show(path: &Path) -> Result<bool, String> {
    let (day, deployment) = quaypath_settings::day(path).map_err(|error| error.to_string())?;
    let commands = plan::traffic(&day, &deployment);
    print_line!("{}: {} s, {} first tries", day.name, day.lasts, commands.len());
    for (at, action) in plan::script(&day, &deployment) {
        print_line!("{at:8.2} s  {action:?}");
    }
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    arguments.logs.start();
    let result = match arguments.action {
        Action::Run(run) => run_day(run),
        Action::Storm(arguments) => storm(&arguments),
        Action::Fleet(arguments) => fleet(&arguments),
        Action::Members(arguments) => members(&arguments),
        Action::Show { day } => show(&day),
    };
    exit_code("quaypath-day", result)
}
