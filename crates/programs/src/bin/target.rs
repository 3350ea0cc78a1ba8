//! `quaypath-target`: a stand-in for one storage node.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use clap::Parser;
use quaypath_programs::{exit_code, print_line, Logs};
use quaypath_record::{Clock, Writer};

use quaypath_standins::model::ModelConfig;
use quaypath_standins::runtime::Runtime;
use quaypath_standins::target::{
    spawn_target, zone_of, BandRule, Faults, Options, SharedData, ACCEPTED_FORMAT,
};

/// A stand-in for a storage node that takes time for its work and keeps no data. Each line of standard input sets a
/// fault: `slow TIMES`, `pause SECONDS`, `errors PART`, `lost PART`, `heavy PART`, `resets A_SECOND`, `late SECONDS`, or
/// `refuse|partition|deaf on|off`. A line that begins with `at SECONDS` waits until that time since the start.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-target --settings deploy/samples/rail.xml --block 0 --unit-time 0.014"
)]
struct Arguments {
    /// Deployment, XML by quaypath.xsd
    #[arg(long)]
    settings: PathBuf,
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Block of the data that the node holds
    #[arg(long)]
    block: i64,
    /// Number of cores
    #[arg(long, default_value_t = 2)]
    cores: usize,
    /// Time that the node works on one random unit, seconds; 0 for no work
    #[arg(long, default_value_t = 0.014)]
    unit_time: f64,
    /// Start cold, at part of the node's capacity
    #[arg(long)]
    cold: bool,
    /// File for the record of what crossed the sockets
    #[arg(long)]
    record: Option<PathBuf>,
    /// Seed of its random numbers
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[command(flatten)]
    logs: Logs,
}

/// Sets the fault that a line names.
fn set_fault(faults: &mut Faults, words: &[&str]) -> Result<(), String> {
    let [name, value] = words else { return Err("a fault and its value are needed".into()) };
    let number = || value.parse::<f64>().ok().filter(|value| (0.0..=1000.0).contains(value));
    let number = || number().ok_or(format!("{name}: '{value}' is not a number from 0 to 1000"));
    let switch = || match *value {
        "on" => Ok(true),
        "off" => Ok(false),
        unknown => Err(format!("{name}: '{unknown}' is neither on nor off")),
    };
    match *name {
        "slow" => faults.slowdown = number()?.max(0.01),
        "pause" => faults.pause = number()?,
        "errors" => faults.error_share = number()?,
        "lost" => faults.lost_share = number()?,
        "heavy" => faults.heavy_share = number()?,
        "resets" => faults.resets_per_second = number()?,
        "late" => faults.report_delay = number()?,
        "refuse" => faults.refuse_connections = switch()?,
        "partition" => faults.hold_output = switch()?,
        "deaf" => faults.stop_reading = switch()?,
        unknown => return Err(format!("'{unknown}' is not a fault")),
    }
    Ok(())
}

/// Executes the script on standard input until it ends.
fn run_script(faults: &Arc<std::sync::Mutex<Faults>>) {
    let start = std::time::Instant::now();
    for (index, line) in std::io::stdin().lines().map_while(Result::ok).enumerate() {
        let mut words: Vec<&str> = line.split_whitespace().collect();
        if let ["at", seconds, ..] = words[..] {
            let until = seconds.parse::<f64>().unwrap_or(0.0).clamp(0.0, 86400.0);
            std::thread::sleep(std::time::Duration::from_secs_f64(until).saturating_sub(start.elapsed()));
            words.drain(..2);
        }
        if words.is_empty() {
            continue;
        }
        // A faulty line is reported and the others are still executed.
        if let Err(reason) = set_fault(&mut faults.lock().unwrap(), &words) {
            eprintln!("quaypath-target: standard input, line {}: {reason}", index + 1);
        }
    }
}

fn start(arguments: Arguments) -> Result<bool, String> {
    let deployment = quaypath_settings::deployment(&arguments.settings).map_err(|error| error.to_string())?;
    let record = match &arguments.record {
        Some(path) => Writer::file(path, Clock::default()).map_err(|error| error.to_string())?,
        None => Writer::disabled(),
    };
    let listener =
        TcpListener::bind(arguments.listen).map_err(|error| format!("{}: {error}", arguments.listen))?;
    print_line!("listening {}", listener.local_addr().map_err(|error| error.to_string())?);
    let (block, core) = (arguments.block, &deployment.core);
    let zone = zone_of(block, deployment.zones);
    let bands = deployment.rule_parameters.bands.iter().map(|band| BandRule::for_target(band, &zone, block));
    let options = Options {
        block,
        zone: zone.clone(),
        cold: arguments.cold,
        seed: arguments.seed,
        model: ModelConfig {
            cores: arguments.cores.max(1),
            unit_time: arguments.unit_time.max(0.0),
            recent_extent_factor: 0.5,
            recent_extents: 3,
            deferred_write_share: 0.3,
            flush_interval: 2.0,
            queue_capacity: 50 * arguments.cores.max(1),
            start_capacity: core.start_capacity,
            warm_up: core.warm_up,
            overload_multiple: core.overload_multiple,
            overload_window: core.overload_window,
            cold_start_units: core.cold_start_units,
            cancel_stops_running: true,
        },
        bands: bands.collect(),
        metering_period: deployment.metering_period,
        nominal_rates: Arc::new(
            deployment.volumes.iter().map(|(id, volume)| (*id, deployment.nominal[volume.plan])).collect(),
        ),
        volumes: Arc::new(deployment.volumes.iter().map(|(id, volume)| (*id, volume.size)).collect()),
        accepted_format: ACCEPTED_FORMAT,
        shared: Arc::<SharedData>::default(),
        work_sigma: 0.4,
    };
    let (writer, faults) = (record.clone(), Arc::new(std::sync::Mutex::new(Faults::default())));
    let script_faults = faults.clone();
    std::thread::spawn(move || run_script(&script_faults));
    // A separate thread waits for the disk, so that the thread that serves does not.
    std::thread::spawn(move || loop {
        std::thread::sleep(std::time::Duration::from_millis(500));
        if let Err(error) = writer.flush() {
            tracing::error!(%error, "the record is incomplete");
        }
    });
    Runtime::run_here(
        move |executor| spawn_target(executor, options, listener, record, faults),
        std::future::pending(),
    );
    Ok(true)
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let _log_guard = arguments.logs.start_in_background();
    exit_code("quaypath-target", start(arguments))
}
