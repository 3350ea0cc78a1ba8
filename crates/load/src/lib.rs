//! Load for gateways and targets: arrivals that keep coming when the other end slows, latencies from when each was
//! meant, results that are kept, merged, drawn and compared.
//!
//! [`schedule`] and [`recorded`] plan what is asked and when; [`generator`] decides when each arrival is sent and what
//! becomes of it, with [`account`] and [`benefit`] counting; [`parts`] makes several generators one load; [`knee`]
//! searches; [`stats`] says what the figures can bear. All these are free of sockets and clock. [`net`], [`join`] and
//! [`run`] carry them out; [`result`], [`report`] and [`chart`] keep and show.

pub mod account;
pub mod benefit;
pub mod chart;
pub mod draw;
pub mod generator;
pub mod join;
pub mod knee;
pub mod net;
pub mod parts;
pub mod recorded;
pub mod report;
pub mod result;
pub mod run;
pub mod schedule;
pub mod shape;
pub mod sim;
pub mod stats;
#[cfg(test)]
mod testing;
