//! `quaypath-migrate`: converts an operator's deployment file to another shape of deployment.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use quaypath_programs::{exit_code, print_line};
use quaypath_settings::migrate::{migrate, write};

/// Converts a deployment file to another shape, and reports what it could not carry over and what it filled in.
#[derive(Parser)]
#[command(
    version,
    after_help = "The shape is a deployment file of the new kind. It provides the register's mode, what is allowed, the rules'\n\
                  figures, units, the size of the fleet, the bands, and whether plans have limits.\n\
                  The old file provides name, addresses, connections, plans, volumes, band rules, placements and extents.\n\
                  A band becomes the shape's band of the same name, or else the one with the nearest due time, never a\n\
                  less strict one.\n\n\
                  Exit codes: 0 converted completely, 1 written but some settings were not carried over, 2 wrong usage or input.\n\n\
                  Example:\n  quaypath-migrate deploy/samples/rail.xml --to deploy/samples/heat.xml --output new.xml"
)]
struct Arguments {
    /// Deployment to convert, XML by quaypath.xsd; never written to
    old: PathBuf,
    /// Deployment of the new shape, XML by quaypath.xsd
    #[arg(long, value_name = "SHAPE")]
    to: PathBuf,
    /// File to write
    #[arg(long, value_name = "NEW")]
    output: PathBuf,
    /// Print the same report and write nothing
    #[arg(long)]
    dry_run: bool,
    /// Overwrite an existing file
    #[arg(long)]
    force: bool,
}

fn run(arguments: Arguments) -> Result<bool, String> {
    let Arguments { old, to, output, dry_run, force } = arguments;
    let migration = migrate(&old, &to).map_err(|error| error.to_string())?;
    if !dry_run {
        write(&migration.text, &[&old, &to], &output, force).map_err(|error| error.to_string())?;
    }
    migration.notes.iter().for_each(|note| print_line!("{note}"));
    if migration.is_unchanged() {
        print_line!("{}: already of this shape, unchanged in meaning", old.display());
    }
    let action = if dry_run { "would write" } else { "written" };
    print_line!("{action}: {}", output.display());
    Ok(migration.is_complete())
}

fn main() -> ExitCode {
    exit_code("quaypath-migrate", run(Arguments::parse()))
}
