//! The mapping from how a shot ended on its socket to the core's `Outcome`.
//!
//! A node begins a request when its last byte has arrived. A shot therefore cannot have run before its last byte was handed
//! to the kernel, whatever ended it. From then on it may have run, until a response proves otherwise. (For NVMe/TCP the
//! first byte decides, because a partly written buffer may contain whole commands.)

use quaypath::types::Outcome;
use quaypath_initiator::outcome::Progress;

/// What ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShotEnd {
    /// A response with this status, and whether it says that the request was not processed.
    Answered(u16, bool),
    /// What the node sent is no valid response: its head cannot be parsed, or its body does not fit.
    InvalidResponse,
    /// The timeout of the shot.
    TimedOut,
    /// The core cancelled it.
    Cancelled,
    /// The connection was refused, was not established, broke or ended; or the node may no longer be sent to.
    ConnectionLost,
}

/// The outcome of a shot that ended like this when it had come this far.
pub fn outcome(end: ShotEnd, progress: Progress) -> Outcome {
    let fully_sent = progress == Progress::Sent;
    match end {
        ShotEnd::Answered(200, _) if fully_sent => Outcome::Settled,
        // The node rejected it: queue full, draining, too many connections, or its time already over. By the platform
        // specification such a request never ran.
        ShotEnd::Answered(503 | 504, true) => Outcome::QueueFull,
        // Without the not-processed header, and with any other status, it may have run. A response that came before the
        // request was fully sent belongs to another request, so the shot may have run as well.
        ShotEnd::Answered(..) => Outcome::Failed,
        // The node has responded, so it has most likely run the request. This says nothing about its latency.
        ShotEnd::InvalidResponse => Outcome::Failed,
        // Fully sent: the node may still run it, or has run it and the response is late.
        ShotEnd::TimedOut if fully_sent => Outcome::TimedOut,
        // No node has the whole request, and the connection is closed: this is the same as if it had not been sent.
        ShotEnd::TimedOut => Outcome::Abandoned,
        // Closing the connection does not take back a request that has arrived.
        ShotEnd::Cancelled if fully_sent => Outcome::Cancelled,
        ShotEnd::Cancelled => Outcome::Abandoned,
        // Fully sent: the node may have run it, and the response was lost with the connection.
        ShotEnd::ConnectionLost if fully_sent => Outcome::Reset,
        // The node is down, unreachable or out of connections, or the connection was lost before the last byte.
        ShotEnd::ConnectionLost => Outcome::Unreachable,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Progress::*;

    #[test_case(ShotEnd::Answered(200, false), Sent, Outcome::Settled; "settled")]
    #[test_case(ShotEnd::Answered(200, false), PartlySent, Outcome::Failed; "a response before the end of the request")]
    #[test_case(ShotEnd::Answered(500, false), Sent, Outcome::Failed; "error")]
    #[test_case(ShotEnd::Answered(500, true), Sent, Outcome::Failed; "only 503 and 504 promise that nothing ran")]
    #[test_case(ShotEnd::Answered(503, true), Sent, Outcome::QueueFull; "rejected by the node")]
    #[test_case(ShotEnd::Answered(504, true), Sent, Outcome::QueueFull; "rejected by the node because its time is over")]
    #[test_case(ShotEnd::Answered(503, false), Sent, Outcome::Failed; "503 without the not processed header")]
    #[test_case(ShotEnd::Answered(204, false), Sent, Outcome::Failed; "a success status that the platform does not use")]
    #[test_case(ShotEnd::InvalidResponse, Sent, Outcome::Failed; "invalid response")]
    #[test_case(ShotEnd::TimedOut, Connecting, Outcome::Abandoned; "timed out while connecting")]
    #[test_case(ShotEnd::TimedOut, PartlySent, Outcome::Abandoned; "timed out while partly sent")]
    #[test_case(ShotEnd::TimedOut, Sent, Outcome::TimedOut; "timed out")]
    #[test_case(ShotEnd::Cancelled, Queued, Outcome::Abandoned; "cancelled before it was sent")]
    #[test_case(ShotEnd::Cancelled, Sent, Outcome::Cancelled; "cancelled")]
    #[test_case(ShotEnd::ConnectionLost, Connecting, Outcome::Unreachable; "refused or not established")]
    #[test_case(ShotEnd::ConnectionLost, PartlySent, Outcome::Unreachable; "lost before the last byte")]
    #[test_case(ShotEnd::ConnectionLost, Sent, Outcome::Reset; "lost after the last byte")]
    fn outcomes(end: ShotEnd, progress: Progress, expected: Outcome) {
        assert_eq!(outcome(end, progress), expected);
    }
}
