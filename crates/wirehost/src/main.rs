//! `quaypath-wirehost`: runs decision cores, one for each initiator, behind the text wire on standard input and
//! output.

mod wire;

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    // A panic of the core is reported on the wire, so the default hook would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match wire::serve(BufReader::new(io::stdin().lock()), BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("quaypath-wirehost: {message}");
            ExitCode::FAILURE
        }
    }
}
