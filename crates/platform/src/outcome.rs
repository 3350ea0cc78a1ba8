//! One table from what happened to a shot on its socket to the core's `Outcome`.
//!
//! The line: a node begins a request when its last byte has arrived. So nothing can have run until the last byte
//! was handed to the kernel, whatever ended the shot; from then on it may have, until an answer proves otherwise.
//! (NVMe/TCP's line is the first byte: there a partly written buffer may hold whole commands.)

use quaypath::types::Outcome;
use quaypath_initiator::outcome::Progress;

/// What ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// An answer with this status, and whether it says that the request was not processed.
    Answered(u16, bool),
    /// What came is no answer: its head cannot be read, or its body does not fit.
    Spoilt,
    /// Its time was up.
    TimeUp,
    /// The core called it off.
    CalledOff,
    /// The connection was refused, never came up, broke or ended; or the node may not be sent to any more.
    Lost,
}

/// The table.
pub fn outcome(ended: Ended, progress: Progress) -> Outcome {
    let whole = progress == Progress::Sent;
    match ended {
        Ended::Answered(200, _) if whole => Outcome::Settled,
        // Turned away: queue full, draining, too many connections, or over already. By the page it never ran.
        Ended::Answered(503 | 504, true) => Outcome::QueueFull,
        // Without that word, and any other status, it may have run. So may what was answered before its end: an
        // answer to half a request is somebody else's.
        Ended::Answered(..) => Outcome::Failed,
        // The node has answered, so it has run the request, or most likely; of its pace this says nothing.
        Ended::Spoilt => Outcome::Failed,
        // Whole: the node may run it yet, or has and the answer is late.
        Ended::TimeUp if whole => Outcome::TimedOut,
        // No node has the whole request, and the connection is closed: as if it had not been sent.
        Ended::TimeUp => Outcome::Abandoned,
        // A closed connection does not take back what has arrived.
        Ended::CalledOff if whole => Outcome::Cancelled,
        Ended::CalledOff => Outcome::Abandoned,
        // Written whole: the node may have run it and lost the answer with the connection.
        Ended::Lost if whole => Outcome::Reset,
        // Down, unreachable, out of connections, or gone before the last byte.
        Ended::Lost => Outcome::Unreachable,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Progress::*;

    #[test_case(Ended::Answered(200, false), Sent, Outcome::Settled; "settled")]
    #[test_case(Ended::Answered(200, false), PartlySent, Outcome::Failed; "an answer before the request's end")]
    #[test_case(Ended::Answered(500, false), Sent, Outcome::Failed; "error")]
    #[test_case(Ended::Answered(500, true), Sent, Outcome::Failed; "only 503 and 504 promise that nothing ran")]
    #[test_case(Ended::Answered(503, true), Sent, Outcome::QueueFull; "turned away")]
    #[test_case(Ended::Answered(504, true), Sent, Outcome::QueueFull; "turned away as over")]
    #[test_case(Ended::Answered(503, false), Sent, Outcome::Failed; "503 without the word")]
    #[test_case(Ended::Answered(204, false), Sent, Outcome::Failed; "a success that is not the page's")]
    #[test_case(Ended::Spoilt, Sent, Outcome::Failed; "spoilt")]
    #[test_case(Ended::TimeUp, Connecting, Outcome::Abandoned; "time up while connecting")]
    #[test_case(Ended::TimeUp, PartlySent, Outcome::Abandoned; "time up half way")]
    #[test_case(Ended::TimeUp, Sent, Outcome::TimedOut; "time up")]
    #[test_case(Ended::CalledOff, Queued, Outcome::Abandoned; "called off unsent")]
    #[test_case(Ended::CalledOff, Sent, Outcome::Cancelled; "called off")]
    #[test_case(Ended::Lost, Connecting, Outcome::Unreachable; "refused or never up")]
    #[test_case(Ended::Lost, PartlySent, Outcome::Unreachable; "broken before the last byte")]
    #[test_case(Ended::Lost, Sent, Outcome::Reset; "broken after the last byte")]
    fn table(ended: Ended, progress: Progress, expected: Outcome) {
        assert_eq!(outcome(ended, progress), expected);
    }
}
