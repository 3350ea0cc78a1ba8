//! What an instance counts.

use crate::polls::PollSummary;

/// What an instance counted since its start.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    pub taken: u64,
    pub turned_away: u64,
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    pub lapsed: u64,
    pub shots: u64,
    pub further: u64,
    /// Late answers recognised and dropped.
    pub late_answers: u64,
    /// Commands withdrawn from our own queue before their first byte left.
    pub withdrawn: u64,
    pub connects: u64,
    pub connects_failed: u64,
    /// Connections reset because bytes for a draining node had not left in time.
    pub drain_resets: u64,
    /// Associations with nodes given up for want of a sign of life.
    pub keep_alive_lost: u64,
    pub stalls: u64,
    /// The longest time without a turn, seconds.
    pub longest_stall: f64,
    /// How long the loop's tasks ran at a time since the last report, microseconds.
    pub polls: PollSummary,
    /// Node lists that a newer one took the place of before they were on disk.
    pub superseded: u64,
    /// Calls of the kernel that read or wrote on clients' and nodes' connections.
    pub reads: u64,
    pub writes: u64,
    /// Seconds of CPU spent in the core.
    pub core_seconds: f64,
    pub open: usize,
    pub connections: usize,
    /// Volumes and ordered keys that the core holds.
    pub volumes: usize,
    pub keys: usize,
    /// Of what initiators tell and lend each other, where they talk.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub signals: Option<quaypath_fleet::signal::SignalCounts>,
}
