//! quaypath: the decision core of a storage gateway. It knows no wire, clock or network of its own:
//! events come in as calls on [`scheduler::Scheduler`], actions leave through [`types::Outbox`].

pub mod scheduler;
pub mod sliding_window;
pub mod state;
pub mod token_bucket;
pub mod types;
