//! The state that the decision core keeps for transactions, nodes, volumes and ordering keys. This module declares
//! the data; the decisions are in [`crate::scheduler`]. Times are clock times in seconds unless stated otherwise.

use std::collections::{BTreeMap, VecDeque};

use crate::sliding_window::SlidingWindow;
use crate::token_bucket::TokenBucket;
use crate::types::*;

/// Where a transaction stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Waits for its first shot, in the queue of its volume at its node.
    Waiting,
    /// Waits in the retry queue of its node: for a further shot, or because it is a client's repeat whose due time
    /// has passed.
    Retry,
    InFlight,
    /// Answered; kept only while a shot has no outcome. Also the state of a transaction that is being created.
    #[default]
    Finished,
}

/// A shot that may have run: when it was sent, and the zone of its node.
pub struct PossibleRun {
    pub sent_at: f64,
    pub zone: Option<ZoneId>,
}

/// A transaction that was received and not yet forgotten.
#[derive(Default)]
pub struct Transaction {
    pub state: State,
    pub band: BandId,
    pub volume: VolumeId,
    pub extent: Option<ExtentId>,
    pub units: f64,
    pub block: BlockId,
    /// It writes a new object, which any node may store until a shot may have run.
    pub movable: bool,
    pub due: f64,
    /// The outer limit, by which the client has an answer.
    pub outer_limit: f64,
    /// When it is declined or scrapped if it still waits.
    pub give_up_at: f64,
    pub shots: u32,
    pub shot_in_flight: bool,
    pub sent_at: f64,
    /// The zone of the node that the last shot was sent to.
    pub sent_to_zone: Option<ZoneId>,
    /// When the shot in flight is overdue and releases its credit (its place among the shots at the node); infinity
    /// once it has released it.
    pub overdue_at: f64,
    /// The node had no other shot in flight when the shot was sent.
    pub node_was_idle: bool,
    /// Estimated node time, seconds.
    pub estimate: f64,
    /// The first shot that may have run.
    pub possible_run: Option<PossibleRun>,
}

/// What is known of the node that holds one block, and the transactions that wait for it.
#[derive(Default)]
pub struct NodeState {
    pub node_id: Option<NodeId>,
    pub zone: Option<ZoneId>,
    /// Up to when shots may be sent to it: infinity while it is ready.
    pub send_until: f64,
    pub started: f64,
    /// When it counts as warm: its warm-up time and one overload window after its start.
    pub warm_at: f64,
    /// Its size by the node list, relative to other nodes.
    pub size: f64,
    /// The largest number of initiators that a volume requested from it comes through.
    pub max_volume_initiators: f64,
    /// Shots that hold credit.
    pub in_flight: f64,
    /// Maximum number of shots in flight, which adapts to the latency.
    pub concurrency_limit: f64,
    /// Shots in a row that were lost (timed out, reset or without a connection).
    pub losses_in_a_row: i32,
    pub next_attempt_at: f64,
    /// Since when shots are in flight and no outcome has arrived.
    pub silent_since: f64,
    /// When the timer fires that checks the queues again.
    pub wake_at: f64,
    pub last_settled_at: f64,
    pub recent_extents: VecDeque<ExtentId>,
    pub volume_queues: BTreeMap<VolumeId, VecDeque<TransactionId>>,
    pub retry_queue: VecDeque<TransactionId>,
    /// When answers last reported the usage of a volume by other initiators.
    pub usage_reported_at: BTreeMap<VolumeId, f64>,
    /// Gaps between completions and delays of settled shots, each divided by its estimated node time.
    pub completion_gaps: SlidingWindow,
    pub delays: SlidingWindow,
    /// Latency ratios (latency divided by the due time) of the shots settled within the last 0.5 s, and of those
    /// settled or timed out within the last 3 s.
    pub settled_latency: SlidingWindow,
    pub latency: SlidingWindow,
    /// Latency ratios that other initiators measured within the last 3 s.
    pub peer_latency: SlidingWindow,
    /// Share of the shots ended within the last 3 s that timed out.
    pub timeouts: SlidingWindow,
    /// Units sent to it within the overload window.
    pub cold_start_sent: SlidingWindow,
    /// Units saved up for it while it is cold, and the time up to which they have been added.
    pub cold_start_savings: Option<(f64, f64)>,
    /// Units of the transactions received for it.
    pub requested_units: SlidingWindow,
    /// Units that it settled while warm.
    pub settled_units: SlidingWindow,
    /// Their sum over the averaging time before the last answer while warm, and the time of that answer. Both are
    /// kept when the node is replaced, until the replacement is warm and answers.
    pub warm_units: f64,
    pub warm_units_at: f64,
}

impl NodeState {
    /// Number of transactions that wait for it.
    pub fn waiting(&self) -> f64 {
        (self.volume_queues.values().map(VecDeque::len).sum::<usize>() + self.retry_queue.len()) as f64
    }
}

/// What is known of a volume. Usage is node time in seconds.
#[derive(Default)]
pub struct Volume {
    pub plan: PlanId,
    /// Number of initiators that the volume comes through.
    pub initiators: f64,
    /// Level of the bucket of its reservation, node time in seconds; negative if overdrawn.
    pub reserve_level: f64,
    pub limit: TokenBucket,
    /// Up to when the bucket of the reservation has been filled.
    pub reserve_filled_at: f64,
    /// The id of its limit in loans between initiators.
    pub limit_id: LimitId,
    pub own_usage: SlidingWindow,
    /// Usage through other initiators, as answers report it.
    pub others_usage: SlidingWindow,
    /// Node time per second used through all initiators, as the meter in the answers reports it.
    pub metered_usage: SlidingWindow,
    /// This initiator's share of the reservation, 0 to 1.
    pub reservation_share: f64,
}

/// The transactions on one ordering key, in order of arrival.
#[derive(Default)]
pub struct KeyQueue {
    pub queue: VecDeque<TransactionId>,
    /// Up to when no first shot is sent.
    pub quiet_until: f64,
}
