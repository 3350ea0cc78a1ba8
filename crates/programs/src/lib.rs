//! What the programs share: logs and exit codes.

use std::fmt::Display;
use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use tracing_subscriber::filter::LevelFilter;

#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogForm {
    Text,
    Json,
}

/// Logs go to standard error.
#[derive(Clone, Debug, Args)]
pub struct Logs {
    /// Form of the log on standard error
    #[arg(long, value_enum, default_value = "text")]
    pub log: LogForm,
    /// More of it; twice for all
    #[arg(short, long, action = clap::ArgAction::Count)]
    pub verbose: u8,
}

impl Logs {
    pub fn start(&self) {
        let level = match self.verbose {
            0 => LevelFilter::INFO,
            1 => LevelFilter::DEBUG,
            _ => LevelFilter::TRACE,
        };
        // No colours in a log that is kept in a file.
        let form = tracing_subscriber::fmt()
            .with_writer(std::io::stderr)
            .with_ansi(std::io::stderr().is_terminal())
            .with_max_level(level);
        match self.log {
            LogForm::Text => form.init(),
            LogForm::Json => form.json().flatten_event(true).init(),
        }
    }
}

/// A line on standard output. Guards against a reader that closed it, as `head` does: what a program was asked to do
/// goes on, and only its words are lost.
#[macro_export]
macro_rules! say {
    ($($word:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($word)*);
    }};
}

/// 0: done. 1: a finding. 2: wrong usage or input, with one message.
pub fn exit<E: Display>(program: &str, done: Result<bool, E>) -> ExitCode {
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::from(2)
        }
    }
}
