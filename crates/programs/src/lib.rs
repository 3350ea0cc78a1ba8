//! What the programs share: logs and exit codes.

use std::fmt::Display;
use std::io::IsTerminal;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use std::io::Write;
use std::sync::{Arc, OnceLock};

use quaypath_record::background::StallableWriter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::fmt::MakeWriter;

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

/// Log lines that wait for the disk at most; beyond them lines are dropped, and the log tells how many.
const MOST_LINES: usize = 8192;

/// Standard error as the log's own thread writes it: tells of lines that were dropped where they are missing.
struct Told {
    dropped: Arc<OnceLock<ErrorCounter>>,
    told: usize,
}

impl Write for Told {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let dropped = self.dropped.get().map_or(0, ErrorCounter::dropped_lines);
        let mut out = StallableWriter(std::io::stderr());
        if dropped > self.told {
            self.told = dropped;
            writeln!(
                out,
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped so far\",\"dropped\":{dropped}}}"
            )?;
        }
        out.write_all(bytes)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        StallableWriter(std::io::stderr()).flush()
    }
}

impl Logs {
    /// Logs straight to standard error: for programs that serve nobody, and on the platform.
    pub fn start(&self) {
        self.start_on(std::io::stderr);
    }

    /// Logs by a thread of its own, so that nothing that serves waits for where the log goes. The guard writes what is
    /// left when it goes.
    pub fn start_apart(&self) -> WorkerGuard {
        let dropped = Arc::<OnceLock<ErrorCounter>>::default();
        let told = Told { dropped: dropped.clone(), told: 0 };
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MOST_LINES);
        let (writer, guard) = builder.finish(told);
        let _ = dropped.set(writer.error_counter());
        self.start_on(writer);
        guard
    }

    fn start_on<W: for<'a> MakeWriter<'a> + Send + Sync + 'static>(&self, writer: W) {
        let level = match self.verbose {
            0 => LevelFilter::INFO,
            1 => LevelFilter::DEBUG,
            _ => LevelFilter::TRACE,
        };
        // No colours in a log that is kept in a file.
        let form = tracing_subscriber::fmt()
            .with_writer(writer)
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
