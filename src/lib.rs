//! quaypath: the decision core of a storage gateway. The core does no I/O and reads no clock: events arrive as
//! method calls on [`scheduler::Scheduler`], and actions leave through [`types::Outbox`].

pub mod scheduler;
pub mod sliding_window;
pub mod state;
pub mod token_bucket;
pub mod types;
