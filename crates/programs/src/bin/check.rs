//! `quaypath-check`: judges the rules from records of what crossed the sockets.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use quaypath_day::report;
use quaypath_programs::{exit_code, print_line};

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Table,
    Json,
}

/// Judges the seven rules from records; exits 1 where one is broken.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example:\n  quaypath-check --settings deploy/samples/rail.xml out/record.jsonl"
)]
struct Arguments {
    /// Deployment, XML by quaypath.xsd
    #[arg(long)]
    settings: PathBuf,
    /// How far apart two programs' times of one moment may lie, seconds
    #[arg(long, default_value_t = 0.05)]
    transit: f64,
    #[arg(long, value_enum, default_value = "table")]
    format: Form,
    /// Records, of one or more programs
    #[arg(required = true)]
    records: Vec<PathBuf>,
}

fn check(arguments: Arguments) -> Result<bool, String> {
    let deployment = quaypath_settings::deployment(&arguments.settings).map_err(|error| error.to_string())?;
    let report = report::of_files(&deployment, arguments.transit, &arguments.records)
        .map_err(|error| error.to_string())?;
    match arguments.format {
        Form::Table => print_line!("{}\n{}", report.table(), report.verdict()),
        Form::Json => print_line!("{}", serde_json::to_string(&report).map_err(|error| error.to_string())?),
    }
    Ok(report.kept())
}

fn main() -> ExitCode {
    exit_code("quaypath-check", check(Arguments::parse()))
}
