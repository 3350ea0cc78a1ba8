//! `quaypath-check`: judges the seven rules from records of what crossed the sockets.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use quaypath_day::report;
use quaypath_programs::{exit_code, print_line};

/// Format of the report.
#[derive(Clone, Copy, ValueEnum)]
enum Format {
    Table,
    Json,
}

/// Judges the seven rules from records; exits with 1 if one is broken.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-check --settings deploy/samples/rail.xml out/record.jsonl"
)]
struct Arguments {
    /// Deployment, XML by quaypath.xsd
    #[arg(long)]
    settings: PathBuf,
    /// Largest difference between the times that two programs record for the same moment, seconds
    #[arg(long, default_value_t = 0.05)]
    transit: f64,
    /// Format of the report
    #[arg(long, value_enum, default_value = "table")]
    format: Format,
    /// Record files, of one or more programs
    #[arg(required = true)]
    records: Vec<PathBuf>,
}

fn check(arguments: Arguments) -> Result<bool, String> {
    let deployment = quaypath_settings::deployment(&arguments.settings).map_err(|error| error.to_string())?;
    let report = report::from_files(&deployment, arguments.transit, &arguments.records)
        .map_err(|error| error.to_string())?;
    match arguments.format {
        Format::Table => print_line!("{}\n{}", report.table(), report.verdict()),
        Format::Json => print_line!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?),
    }
    Ok(report.rules_kept())
}

fn main() -> ExitCode {
    exit_code("quaypath-check", check(Arguments::parse()))
}
