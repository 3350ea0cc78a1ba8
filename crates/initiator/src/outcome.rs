//! One table from what sockets, timers and status codes say to the core's `Outcome`.
//!
//! The line: a shot *may have run* from the moment that its first byte was handed to the kernel until an answer
//! proves otherwise. Before it, nothing can have run, whatever ended the shot. The kernel may still discard what
//! it was handed, but nobody tells us; so the line lies there and not at the network.

use quaypath::types::Outcome;
use quaypath_nvme::status;

/// How far a shot has come. Every change goes through [`Progress::to`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// Waits for a connection.
    Opening,
    /// Encoded, in the connection's queue; no byte was handed to the kernel.
    Queued,
    /// Some bytes were handed to the kernel.
    Leaving,
    /// All bytes were.
    Out,
}

impl Progress {
    /// Moves on; a shot never goes back over the line.
    pub fn to(&mut self, next: Progress) {
        debug_assert!(next > *self, "{self:?} to {next:?}");
        *self = next;
    }

    pub fn may_have_run(self) -> bool {
        self >= Progress::Leaving
    }
}

/// What ended a shot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A completion with this status.
    Answered(u16),
    /// Its time was up.
    TimeUp,
    /// The core called it off.
    CalledOff,
    /// Its connection ended, was never made, or its node may not be sent to any more.
    Lost,
}

/// The table.
pub fn outcome(ended: Ended, progress: Progress) -> Outcome {
    match ended {
        Ended::Answered(status) => answered(status),
        // No byte left: the time was up before it was sent.
        Ended::TimeUp if !progress.may_have_run() => Outcome::Abandoned,
        // The node may run it yet, or has and the answer is late.
        Ended::TimeUp => Outcome::TimedOut,
        // Withdrawn from our own queue.
        Ended::CalledOff if !progress.may_have_run() => Outcome::Abandoned,
        // Abort is a request: the node may have run it before, or run it all the same.
        Ended::CalledOff => Outcome::Cancelled,
        // No connection, or one that ended before the first byte: down, unreachable or out of connections.
        Ended::Lost if !progress.may_have_run() => Outcome::Unreachable,
        // Partly written: a whole PDU can be in the kernel though the call took a part of the buffer. Wholly
        // written: the node may have run it and lost the answer with the connection.
        Ended::Lost => Outcome::Reset,
    }
}

fn answered(status: u16) -> Outcome {
    match status::code(status) {
        status::SUCCESS => Outcome::Settled,
        // A Compare that ran and found a difference: its answer, not a failure.
        status::COMPARE_FAILURE => Outcome::Settled,
        // Our targets' word for turned away unseen; a vendor's code, so no other target says it by chance.
        status::FULL | status::DRAINING => Outcome::QueueFull,
        // Command Interrupted and Namespace Not Ready promise by the Base Specification that nothing was done
        // and that a repeat may succeed.
        status::INTERRUPTED | status::NAMESPACE_NOT_READY => Outcome::QueueFull,
        // Aborted by our own request, or since its queue went: it may have been under way.
        status::ABORTED_BY_REQUEST | status::ABORTED_QUEUE_DELETED => Outcome::Cancelled,
        // Everything else, refusals of a field among them: a plain target need not check before it begins, and a
        // refusal that is certain gains nothing from another shot.
        _ => Outcome::Failed,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;
    use Progress::*;

    #[test_case(Ended::Lost, Opening, Outcome::Unreachable; "no connection")]
    #[test_case(Ended::Lost, Queued, Outcome::Unreachable; "reset before the first byte")]
    #[test_case(Ended::Lost, Leaving, Outcome::Reset; "partly written")]
    #[test_case(Ended::Lost, Out, Outcome::Reset; "written and reset")]
    #[test_case(Ended::TimeUp, Queued, Outcome::Abandoned; "time up in our own queue")]
    #[test_case(Ended::TimeUp, Leaving, Outcome::TimedOut; "time up half way")]
    #[test_case(Ended::TimeUp, Out, Outcome::TimedOut; "time up")]
    #[test_case(Ended::CalledOff, Opening, Outcome::Abandoned; "called off unsent")]
    #[test_case(Ended::CalledOff, Out, Outcome::Cancelled; "called off")]
    #[test_case(Ended::Answered(status::SUCCESS), Out, Outcome::Settled; "settled")]
    #[test_case(Ended::Answered(status::COMPARE_FAILURE), Out, Outcome::Settled; "a comparison that found a difference")]
    #[test_case(Ended::Answered(status::TRANSPORT_ERROR), Out, Outcome::Failed; "data spoilt on the way")]
    #[test_case(Ended::Answered(status::FULL), Out, Outcome::QueueFull; "full")]
    #[test_case(Ended::Answered(status::DRAINING | status::CRD1), Out, Outcome::QueueFull; "draining, with a delay")]
    #[test_case(Ended::Answered(status::INTERRUPTED), Out, Outcome::QueueFull; "interrupted")]
    #[test_case(Ended::Answered(status::ABORTED_BY_REQUEST), Out, Outcome::Cancelled; "aborted")]
    #[test_case(Ended::Answered(status::INTERNAL_ERROR), Out, Outcome::Failed; "internal error")]
    #[test_case(Ended::Answered(status::INVALID_FIELD | status::DNR), Out, Outcome::Failed; "invalid field")]
    fn table(ended: Ended, progress: Progress, expected: Outcome) {
        assert_eq!(outcome(ended, progress), expected);
    }
}
