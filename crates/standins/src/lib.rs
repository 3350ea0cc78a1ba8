//! Stand-ins for what the gateway works with: targets, the node register, clients. Each has faults that are
//! switched on and off by time, and writes down what crossed its sockets.

pub mod client;
pub mod links;
pub mod model;
pub mod register;
pub mod runtime;
pub mod target;
