//! The table that maps socket events, timers and status codes to the core's `Outcome`.
//!
//! A shot *may have run* from the moment when its first byte was handed to the kernel until an answer proves otherwise.
//! Before that moment, it cannot have run, whatever ended the shot. The kernel may still discard bytes that it was
//! handed, but it does not report this; therefore the handover to the kernel counts, not the network.

use quaypath::types::Outcome;
use quaypath_nvme::status;

/// Sending progress of a shot. Every change goes through [`Progress::advance_to`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// The shot waits for a connection.
    Connecting,
    /// The command is encoded and in the connection's queue; no byte was handed to the kernel.
    Queued,
    /// Some bytes were handed to the kernel.
    PartlySent,
    /// All bytes were handed to the kernel.
    Sent,
}

impl Progress {
    /// Moves to a later state; a shot never moves back.
    pub fn advance_to(&mut self, next: Progress) {
        debug_assert!(next > *self, "{self:?} to {next:?}");
        *self = next;
    }

    /// Whether the node may have run the shot.
    pub fn may_have_run(self) -> bool {
        self >= Progress::PartlySent
    }
}

/// Event that ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShotEnd {
    /// The node completed the command with this status.
    Answered(u16),
    /// The shot's time limit was reached.
    TimedOut,
    /// The core cancelled the shot.
    Cancelled,
    /// The shot's connection ended or could not be opened, or its node became unavailable before the shot was sent.
    ConnectionLost,
}

/// The outcome that is reported to the core for a shot.
pub fn outcome(end: ShotEnd, progress: Progress) -> Outcome {
    match end {
        ShotEnd::Answered(status) => outcome_of_status(status),
        // No byte was sent before the time limit.
        ShotEnd::TimedOut if !progress.may_have_run() => Outcome::Abandoned,
        // The node may still run the shot, or has run it and its answer is late.
        ShotEnd::TimedOut => Outcome::TimedOut,
        // The shot was withdrawn from the queue of this gateway.
        ShotEnd::Cancelled if !progress.may_have_run() => Outcome::Abandoned,
        // An Abort is only a request: the node may have run the shot before, or may run it nevertheless.
        ShotEnd::Cancelled => Outcome::Cancelled,
        // There was no connection, or it ended before the first byte: the node is down, unreachable or out of
        // connections.
        ShotEnd::ConnectionLost if !progress.may_have_run() => Outcome::Unreachable,
        // If the command was partly written, a whole PDU can be in the kernel although the call took only a part of
        // the buffer. If it was wholly written, the node may have run it, and the answer was lost with the connection.
        ShotEnd::ConnectionLost => Outcome::Reset,
    }
}

fn outcome_of_status(status: u16) -> Outcome {
    match status::code(status) {
        status::SUCCESS => Outcome::Settled,
        // A Compare command that ran and found a difference: this is its result, not a failure.
        status::COMPARE_FAILURE => Outcome::Settled,
        // Quaypath targets use these codes for commands that they refuse unprocessed. The codes are vendor-specific,
        // so another target does not send them by accident.
        status::FULL | status::DRAINING => Outcome::QueueFull,
        // By the Base Specification, Command Interrupted and Namespace Not Ready guarantee that nothing was done and
        // that a retry may succeed.
        status::INTERRUPTED | status::NAMESPACE_NOT_READY => Outcome::QueueFull,
        // Aborted on request of this gateway, or because its queue was deleted: the command may have been running.
        status::ABORTED_BY_REQUEST | status::ABORTED_QUEUE_DELETED => Outcome::Cancelled,
        // All other statuses, among them refusals of a field: a target need not check the fields before it begins, and
        // another shot gains nothing after a certain refusal.
        _ => Outcome::Failed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Progress::*;

    #[test_case(ShotEnd::ConnectionLost, Connecting, Outcome::Unreachable; "no connection")]
    #[test_case(ShotEnd::ConnectionLost, Queued, Outcome::Unreachable; "reset before the first byte")]
    #[test_case(ShotEnd::ConnectionLost, PartlySent, Outcome::Reset; "partly written")]
    #[test_case(ShotEnd::ConnectionLost, Sent, Outcome::Reset; "written and then reset")]
    #[test_case(ShotEnd::TimedOut, Queued, Outcome::Abandoned; "timed out in the queue of the gateway")]
    #[test_case(ShotEnd::TimedOut, PartlySent, Outcome::TimedOut; "timed out when partly sent")]
    #[test_case(ShotEnd::TimedOut, Sent, Outcome::TimedOut; "timed out")]
    #[test_case(ShotEnd::Cancelled, Connecting, Outcome::Abandoned; "cancelled unsent")]
    #[test_case(ShotEnd::Cancelled, Sent, Outcome::Cancelled; "cancelled")]
    #[test_case(ShotEnd::Answered(status::SUCCESS), Sent, Outcome::Settled; "settled")]
    #[test_case(ShotEnd::Answered(status::COMPARE_FAILURE), Sent, Outcome::Settled; "a Compare that found a difference")]
    #[test_case(ShotEnd::Answered(status::TRANSPORT_ERROR), Sent, Outcome::Failed; "data corrupted in transit")]
    #[test_case(ShotEnd::Answered(status::FULL), Sent, Outcome::QueueFull; "full")]
    #[test_case(ShotEnd::Answered(status::DRAINING | status::CRD1), Sent, Outcome::QueueFull; "draining, with a retry delay")]
    #[test_case(ShotEnd::Answered(status::INTERRUPTED), Sent, Outcome::QueueFull; "interrupted")]
    #[test_case(ShotEnd::Answered(status::ABORTED_BY_REQUEST), Sent, Outcome::Cancelled; "aborted")]
    #[test_case(ShotEnd::Answered(status::INTERNAL_ERROR), Sent, Outcome::Failed; "internal error")]
    #[test_case(ShotEnd::Answered(status::INVALID_FIELD | status::DNR), Sent, Outcome::Failed; "invalid field")]
    fn outcome_of_each_shot_end(end: ShotEnd, progress: Progress, expected: Outcome) {
        assert_eq!(outcome(end, progress), expected);
    }
}
