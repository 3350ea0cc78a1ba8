//! The NVMe/TCP gateway: sockets, timers, and the execution of the actions that the decision core requests.
//!
//! [`run`] runs one instance: one single-threaded executor with its own core and its own connections. Instances of
//! one process share nothing. [`instance`] turns socket events into calls of the core, with [`outcome`] as the only
//! table of shot outcomes, and carries out the actions that the core returns.

pub mod core;
pub mod counts;
pub mod event_loop;
pub mod fleet;
pub mod index;
pub mod instance;
pub mod net;
pub mod node_association;
pub mod node_list;
pub mod outcome;
pub mod peer;
pub mod peer_signals;
pub mod polls;
pub mod queue;
pub mod register;
pub mod run;
pub mod subsystem;
pub mod timer_wheel;

pub use counts::Counts;
pub use run::{run, Options};
