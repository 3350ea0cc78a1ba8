//! `quaypath-register`: the stand-in node register, fed by lines on standard input.

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

#[derive(Clone, Copy, ValueEnum)]
enum ModeName {
    Pushed,
    Asked,
}

/// A stand-in for the node register. Each line of standard input changes the list:
/// `ready|cold|draining|gone ADDRESS BLOCK [ZONE] [AFTER]`, or `fails`, `works`, `late SECONDS`.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  echo 'ready 127.0.0.1:4421 0' | quaypath-register --listen 127.0.0.1:8009"
)]
struct Arguments {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, value_enum, default_value = "pushed")]
    mode: ModeName,
    /// Where its record goes
    #[arg(long)]
    record: Option<PathBuf>,
    #[command(flatten)]
    logs: Logs,
}

fn change(register: &Register, clock: &Clock, line: &str) -> Result<(), String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let condition = match words.first().copied() {
        None => return Ok(()),
        Some("fails") => {
            register.fails(true);
            return Ok(());
        }
        Some("works") => {
            register.fails(false);
            return Ok(());
        }
        Some("late") => {
            let seconds =
                words.get(1).and_then(|word| word.parse().ok()).filter(|late| (0.0..3600.0).contains(late));
            register.late(seconds.ok_or("late: needs seconds, 0 to 3600")?);
            return Ok(());
        }
        Some("ready" | "cold") => NodeCondition::Ready,
        Some("draining") => NodeCondition::Draining,
        Some("gone") => NodeCondition::Removed,
        Some(other) => return Err(format!("'{other}': ready, cold, draining, gone, fails, works or late")),
    };
    let node =
        words.get(1).filter(|word| word.parse::<SocketAddr>().is_ok()).ok_or("an address is needed")?;
    let block = words.get(2).and_then(|word| word.parse().ok()).ok_or("a block number is needed")?;
    let zone = words.get(3).copied().unwrap_or("hall-0");
    let after =
        words.get(4).map_or(Ok(0.0), |word| word.parse::<f64>()).map_err(|error| error.to_string())?;
    let started = (words[0] == "cold").then(|| clock.now());
    register.list(node, zone, block, condition, started, after.clamp(0.0, 3600.0));
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
    for (at, line) in std::io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|error| error.to_string())?;
        // One bad line loses nothing of the others.
        if let Err(what) = change(&register, &record.clock, &line) {
            eprintln!("quaypath-register: standard input, line {}: {what}", at + 1);
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
    let _logs = arguments.logs.start_in_background();
    exit_code("quaypath-register", start(arguments))
}
