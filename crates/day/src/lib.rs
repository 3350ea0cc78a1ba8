//! Test days on loopback. The traffic and the faults of a day are planned in advance from its seed. Gateways run as
//! separate processes; clients, nodes and the node register are simulated in this process. The record of the day is
//! then judged by the rules and summarized in a table.

pub mod fleet_report;
pub mod plan;
pub mod report;
pub mod run;
pub mod sharing_report;
