//! Stand-ins for the peers of a gateway: targets, the node register, clients, and the links between processes. Their
//! faults are switched on and off while they run. Each stand-in writes the traffic on its sockets to the record.

pub mod client;
pub mod links;
pub mod model;
pub mod register;
pub mod runtime;
pub mod target;
