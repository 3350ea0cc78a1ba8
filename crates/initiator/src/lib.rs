//! The running initiator: sockets, timers, and the core's actions carried out.
//!
//! [`run`] is one instance: one single-threaded executor, one core, connections of its own. Nothing is shared
//! between instances of one process. What happens on the sockets becomes a call of the core in
//! [`instance`], through the one table of [`outcome`]; what the core asks for is carried out there too.

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
