//! A day on loopback: traffic planned ahead from a seed, gateways as processes of their own, stand-ins in this
//! one, troubles by time; then the verdict and one table.

pub mod fleet_report;
pub mod plan;
pub mod report;
pub mod run;
pub mod sharing_report;
