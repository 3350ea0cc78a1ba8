//! Counters of an instance.

use crate::polls::PollSummary;

/// Counters of an instance since its start. They are logged as JSON under their serialized names.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Transactions accepted and passed to the core.
    #[serde(rename = "taken")]
    pub transactions: u64,
    /// Commands refused before the core, because a bound of this instance was reached.
    #[serde(rename = "turned_away")]
    pub refused: u64,
    /// Transactions settled by a node.
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    /// Transactions cancelled by their client.
    #[serde(rename = "lapsed")]
    pub client_cancelled: u64,
    pub shots: u64,
    /// Shots after the first one of their transaction.
    #[serde(rename = "further")]
    pub further_shots: u64,
    /// Late answers that were recognised and dropped.
    pub late_answers: u64,
    /// Commands withdrawn from the output queue before their first byte was sent.
    pub withdrawn: u64,
    /// Associations with nodes that were opened or attempted.
    pub connects: u64,
    pub connects_failed: u64,
    /// Connections reset because bytes for a draining node had not been sent by the end of the drain grace.
    pub drain_resets: u64,
    /// Associations with nodes closed because the node did not answer a Keep Alive in time.
    pub keep_alive_lost: u64,
    /// Times that the loop had no turn for longer than the stall threshold.
    pub stalls: u64,
    /// Longest time without a turn of the loop, seconds.
    pub longest_stall: f64,
    /// Durations of the polls of the loop's tasks since the last report.
    pub polls: PollSummary,
    /// Node lists that a newer one replaced before they were written to disk.
    pub superseded: u64,
    /// System calls that read from connections of clients and nodes.
    pub reads: u64,
    /// System calls that wrote to connections of clients and nodes.
    pub writes: u64,
    /// Time spent in calls of the core, seconds.
    pub core_seconds: f64,
    /// Transactions that are open now.
    pub open: usize,
    /// Connections of clients and nodes that are open now.
    pub connections: usize,
    /// Volumes that the core tracks now.
    pub volumes: usize,
    /// Ordering keys that the core tracks now.
    pub keys: usize,
    /// Counters of the signals between initiators; none when the settings switch them off.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub signals: Option<quaypath_fleet::signal::SignalCounts>,
}
