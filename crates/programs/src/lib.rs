//! Log options, output and exit codes that the programs share.

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

/// Format of the log lines.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

/// Options of the log, which goes to standard error.
#[derive(Clone, Debug, Args)]
pub struct Logs {
    /// Format of the log on standard error
    #[arg(long, value_enum, default_value = "text")]
    pub log: LogFormat,
    /// Log debug messages too; given twice, trace messages as well
    #[arg(short, long, action = clap::ArgAction::Count)]
    pub verbose: u8,
}

/// Maximum number of log lines that wait to be written. Further lines are dropped, and the log reports how many.
const MAX_QUEUED_LINES: usize = 8192;

/// Standard error as the log's background thread writes it. When lines have been dropped, it writes a line with their
/// number in their place.
struct DropReporter {
    dropped: Arc<OnceLock<ErrorCounter>>,
    /// Number of dropped lines that the log has reported.
    reported: usize,
}

impl Write for DropReporter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let dropped = self.dropped.get().map_or(0, ErrorCounter::dropped_lines);
        let mut out = StallableWriter(std::io::stderr());
        if dropped > self.reported {
            self.reported = dropped;
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
    /// Logs directly to standard error, which may block the caller: for programs that serve no requests, and on the
    /// platform.
    pub fn start(&self) {
        self.start_on(std::io::stderr);
    }

    /// Logs from a background thread, so that no thread that serves requests waits for standard error. Dropping the
    /// guard writes the lines that still wait.
    pub fn start_in_background(&self) -> WorkerGuard {
        let dropped = Arc::<OnceLock<ErrorCounter>>::default();
        let reporter = DropReporter { dropped: dropped.clone(), reported: 0 };
        let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
        let (writer, guard) = queue.finish(reporter);
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
        // Colours are left out unless standard error is a terminal, as the log may go to a file.
        let builder = tracing_subscriber::fmt()
            .with_writer(writer)
            .with_ansi(std::io::stderr().is_terminal())
            .with_max_level(level);
        match self.log {
            LogFormat::Text => builder.init(),
            LogFormat::Json => builder.json().flatten_event(true).init(),
        }
    }
}

/// Writes a line to standard output and ignores errors: if the reader has closed it, as `head` does, the program
/// continues its task and only the output is lost.
#[macro_export]
macro_rules! print_line {
    ($($argument:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($argument)*);
    }};
}

/// Exit code of a program: 0 for success, 1 for a finding (`Ok(false)`), 2 for wrong usage or input, which is reported
/// in one line on standard error.
pub fn exit_code<E: Display>(program: &str, result: Result<bool, E>) -> ExitCode {
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("{program}: {error}");
            ExitCode::from(2)
        }
    }
}
