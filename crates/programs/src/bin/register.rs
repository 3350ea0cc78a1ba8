//! `quaypath-register`: a stand-in for the node register, controlled by lines on standard input.

use std::io::BufRead;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use quaypath::types::NodeCondition;
use quaypath_programs::{exit_code, print_line, Logs};
use quaypath_record::{Clock, Writer};
use quaypath_settings::Mode;
use quaypath_standins::register::Register;

/// How gateways receive the list.
#[derive(Clone, Copy, ValueEnum)]
enum ModeName {
    Pushed,
    Asked,
}

/// A stand-in for the node register. Each line of standard input changes the list,
/// `ready|cold|draining|gone ADDRESS BLOCK [ZONE] [AFTER]`, or sets a fault, `fails`, `works` or `late SECONDS`.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  echo 'ready 127.0.0.1:4421 0' | quaypath-register --listen 127.0.0.1:8009"
)]
struct Arguments {
    /// Address to listen on
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Whether the register pushes changes to gateways or is asked for them
    #[arg(long, value_enum, default_value = "pushed")]
    mode: ModeName,
    /// File for the record of what crossed the sockets
    #[arg(long)]
    record: Option<PathBuf>,
    #[command(flatten)]
    logs: Logs,
}

/// Executes a line of standard input.
fn execute(register: &Register, clock: &Clock, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let condition = match words.first().copied() {
        None => return Ok(()),
        Some("fails") => {
            register.set_failing(true);
            return Ok(());
        }
        Some("works") => {
            register.set_failing(false);
            return Ok(());
        }
        Some("late") => {
            let seconds =
                words.get(1).and_then(|text| text.parse().ok()).filter(|late| (0.0..3600.0).contains(late));
            register.set_delay(seconds.ok_or("late: a number of seconds from 0 to 3600 is needed")?);
            return Ok(());
        }
        Some("ready" | "cold") => NodeCondition::Ready,
        Some("draining") => NodeCondition::Draining,
        Some("gone") => NodeCondition::Removed,
        Some(unknown) => {
            return Err(format!("'{unknown}' is not ready, cold, draining, gone, fails, works or late"))
        }
    };
    let node =
        words.get(1).filter(|text| text.parse::<SocketAddr>().is_ok()).ok_or("an address is needed")?;
    let block = words.get(2).and_then(|text| text.parse().ok()).ok_or("a block number is needed")?;
    let zone = words.get(3).copied().unwrap_or("hall-0");
    let after =
        words.get(4).map_or(Ok(0.0), |text| text.parse::<f64>()).map_err(|error| error.to_string())?;
    let started = (words[0] == "cold").then(|| clock.now());
    register.set_entry(node, zone, block, condition, started, after.clamp(0.0, 3600.0));
    Ok(())
}

fn start(arguments: Arguments) -> Result<bool, String> {
    let record = match &arguments.record {
        Some(path) => Writer::file(path, Clock::default()).map_err(|error| error.to_string())?,
        None => Writer::disabled(),
    };
    let listener =
        TcpListener::bind(arguments.listen).map_err(|error| format!("{}: {error}", arguments.listen))?;
    let mode = match arguments.mode {
        ModeName::Pushed => Mode::Pushed,
        ModeName::Asked => Mode::Asked,
    };
    let register = Register::start(mode, listener, record.clone()).map_err(|error| error.to_string())?;
    print_line!("listening {}", register.address);
    for (index, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|error| error.to_string())?;
        // A faulty line is reported and the others are still executed.
        if let Err(reason) = execute(&register, &record.clock, &line) {
            eprintln!("quaypath-register: standard input, line {}: {reason}", index + 1);
        }
        record.flush().map_err(|error| error.to_string())?;
    }
    loop {
        std::thread::sleep(std::time::Duration::from_millis(500));
        record.flush().map_err(|error| error.to_string())?;
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let _log_guard = arguments.logs.start_in_background();
    exit_code("quaypath-register", start(arguments))
}
