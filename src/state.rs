//! What the decision core remembers of transactions, nodes and volumes: declared, not decided, here.

use std::collections::{BTreeMap, VecDeque};

use crate::sliding_window::SlidingWindow;
use crate::token_bucket::TokenBucket;
use crate::types::*;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Held for its first shot, in the line of its volume at its node.
    Waiting,
    /// Held in the node's second line: a further shot, or a client's repeat whose due time has passed.
    Retry,
    InFlight,
    /// Answered; kept only while a shot has no outcome. Also before the first change.
    #[default]
    Finished,
}

#[derive(Default)]
pub struct Transaction {
    pub state: State,
    pub band: BandId,
    pub volume: VolumeId,
    pub extent: Option<ExtentId>,
    pub units: f64,
    pub block: BlockId,
    /// A new object: any node may take it until a shot may have run.
    pub movable: bool,
    pub due: f64,
    pub outer: f64,
    pub give_up: f64,
    pub shots: u32,
    pub shot_out: bool,
    pub sent_at: f64,
    /// When the shot that is out gives its credit back; infinity once it has.
    pub late_at: f64,
    pub was_idle: bool,
    pub estimate: f64,
    /// When the first shot that may have run was sent.
    pub maybe_ran: Option<f64>,
}

/// What is known of the node that holds one block, and what waits for it.
#[derive(Default)]
pub struct NodeState {
    pub node: Option<NodeId>,
    /// Up to when it may be sent to: without end while ready.
    pub until: f64,
    pub started: f64,
    /// When it counts as warm: its time to warm and one window after its start.
    pub warm_at: f64,
    /// By the list, against other nodes.
    pub size: f64,
    /// Most initiators that a volume asked for there comes through.
    pub hosts: f64,
    pub out: f64,
    pub bound: f64,
    pub misses: i32,
    pub next_try: f64,
    pub silent_since: f64,
    pub wake_at: f64,
    pub last_done: f64,
    pub recent: VecDeque<ExtentId>,
    pub lines: BTreeMap<VolumeId, VecDeque<TransactionId>>,
    pub again: VecDeque<TransactionId>,
    /// When answers last told what others used of a volume.
    pub told: BTreeMap<VolumeId, f64>,
    /// Completion gaps and delays, each against its estimate.
    pub gaps: SlidingWindow,
    pub delays: SlidingWindow,
    /// Delays against their due times, of the last half second, and with those of time-outs of three seconds.
    pub strain: SlidingWindow,
    pub stays: SlidingWindow,
    /// Stays that others measured of late.
    pub others: SlidingWindow,
    /// Shots that timed out, of all that ended.
    pub lost: SlidingWindow,
    /// Units sent to it over the window of the rule on cold nodes.
    pub slow_start_sent: SlidingWindow,
    /// Units saved up for it while it is cold, and up to when.
    pub saved: Option<(f64, f64)>,
    /// Units that it settled while warm, and how many a second that was up to its last answer then.
    pub settled: SlidingWindow,
    pub earlier_rate: f64,
    pub earlier_rate_at: f64,
}

impl NodeState {
    pub fn held(&self) -> f64 {
        (self.lines.values().map(VecDeque::len).sum::<usize>() + self.again.len()) as f64
    }
}

#[derive(Default)]
pub struct Volume {
    pub plan: PlanId,
    pub initiators: f64,
    pub reserve: f64,
    pub limit: TokenBucket,
    pub filled_at: f64,
    /// Its limit, as initiators that lend each other know it.
    pub limit_id: LimitId,
    pub usage: SlidingWindow,
    pub theirs: SlidingWindow,
    /// Node time a second for all initiators, by the meter.
    pub metered: SlidingWindow,
    pub part: f64,
}

#[derive(Default)]
pub struct KeyQueue {
    pub line: VecDeque<TransactionId>,
    pub quiet_until: f64,
}
