//! `quaypath-migrate`: an operator's deployment file carried over to another shape.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use quaypath_programs::{exit_code, print_line};
use quaypath_settings::migrate::{migrate, write};

/// Carries a deployment file over to another shape and tells what it could not carry over and what it filled in.
#[derive(Parser)]
#[command(
    version,
    after_help = "The shape is a deployment file of the new kind. From it come: the register's mode, what is allowed,\n\
                  the rules' figures, units, the size of the fleet, the bands, and whether plans have limits.\n\
                  From the old file: name, addresses, connections, plans, volumes, band rules, placements, extents.\n\
                  A band goes to the shape's of its name, else of the nearest due time, never to a looser one.\n\n\
                  Exit codes: 0 carried over whole, 1 written but with things not carried over, 2 wrong usage or input.\n\n\
                  Example:\n  quaypath-migrate deploy/samples/rail.xml --to deploy/samples/heat.xml --output new.xml"
)]
struct Arguments {
    /// Deployment of the old shape, XML by quaypath.xsd; never written to
    old: PathBuf,
    /// A deployment of the new shape
    #[arg(long, value_name = "SHAPE")]
    to: PathBuf,
    /// The file to write
    #[arg(long, value_name = "NEW")]
    output: PathBuf,
    /// Tells the same and writes nothing
    #[arg(long)]
    dry_run: bool,
    /// Writes over a file that stands there
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
    if migration.same() {
        print_line!("{}: already of this shape, unchanged in meaning", old.display());
    }
    let done = if dry_run { "would write" } else { "written" };
    print_line!("{done}: {}", output.display());
    Ok(migration.whole())
}

fn main() -> ExitCode {
    exit_code("quaypath-migrate", run(Arguments::parse()))
}
