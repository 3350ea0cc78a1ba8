//! Ids, settings and the actions that the decision core can ask for.

use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransactionId(pub u64);
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct VolumeId(pub Arc<str>);
/// The piece of data that a transaction reads or writes; also what ordered bands take turns by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ExtentId(pub Arc<str>);
/// The part of the data that a node holds; a node that replaces it holds the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockId(pub i64);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BandId(pub usize);
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlanId(pub usize);

/// What initiators share and may lend each other parts of: a volume's limit. The same at all, without talk: FNV-1a of
/// the volume's name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LimitId(pub u64);

impl LimitId {
    pub fn of_volume(volume: &VolumeId) -> LimitId {
        let mix = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        LimitId(volume.0.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, mix))
    }
}

/// How an account stands at one initiator, units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitBalance {
    pub limit_id: LimitId,
    /// What it can do without for now.
    pub spare: f64,
    /// What waits for more than is there.
    pub shortfall: f64,
}

/// What other initiators had to say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerReport {
    /// Their answers from the node with this block: mean stay in due times, how many, and seconds ago.
    Latency(BlockId, f64, f64, f64),
    /// Units of an account come (above zero) or go, and count up to this clock time.
    Units(LimitId, f64, f64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Repeatable,
    Tagged,
    OnceOnly,
}

/// Which nodes drop a repeat of a tagged transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Settled,
    Failed,
    QueueFull,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    Abandoned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeCondition {
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Complete,
    Cached,
    FetchFailed,
}

/// A node as the register lists it: its block, its state, when it started (clock time, seconds; 0: long ago)
/// and its size against that of other nodes (no unit; 0: not told).
pub type ListedNode = (NodeId, BlockId, NodeCondition, f64, f64);

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub initiators: f64,
    pub bands: Vec<Band>,
    pub plans: Vec<Plan>,
    pub mean_units: f64,
    pub cold_start_units: f64,
    /// Answers tell how much a volume used in the last finished period, in percent of its plan's nominal.
    pub reports_usage: bool,
    /// Answers tell how much a node served the volume for others since its last answer.
    pub reports_others_usage: bool,
    pub may_cancel: bool,
    pub max_shots: u32,
    pub advises_retry: bool,
    pub max_retry_after: f64,
    pub must_subscribe: bool,
    /// How long a node may be sent to once it is known to drain.
    pub drain_grace: f64,
    pub start_capacity: f64,
    pub warm_up: f64,
    pub overload_multiple: f64,
    pub overload_window: f64,
    pub key_quiet_period: f64,
    /// How long units may be gone that an earlier life of this initiator lent; 0 where initiators do not talk.
    pub earlier_loans_hold: f64,
    /// Share of the transactions taken, free shots, look-back; absent where no budget is stated.
    pub retry_budget: Option<(f64, f64, f64)>,
}

#[derive(Clone, Debug)]
pub struct Band {
    pub due: f64,
    pub benefit: f64,
    pub repeat: Repeat,
    pub dedup_scope: DedupScope,
    pub dedup_window: f64,
    pub ordered: bool,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub limit: f64,
    pub burst: f64,
    pub reservation: f64,
    /// Units a second that such a volume is sized for.
    pub nominal: f64,
    pub weight: f64,
    pub benefit_factor: f64,
}

/// The actions, one method each. Times are seconds; `stop_at` is a clock time, 0 for the outer limit.
pub trait Outbox {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId);
    fn cancel(&mut self, transaction: TransactionId, shot: u32);
    fn decline(&mut self, transaction: TransactionId, retry_after: f64);
    fn scrap(&mut self, transaction: TransactionId);
    fn set_timer(&mut self, after: f64, tag: u64);
    fn subscribe(&mut self, on: bool);
    fn fetch_node_list(&mut self);
    fn probe(&mut self, node: &NodeId);
    fn close(&mut self, node: &NodeId);
    fn send_to_peer(&mut self, initiator: Option<u64>, payload: &[u8]);
    /// An answer's stay at the node with this block, in due times, for others that may want to know.
    fn latency_observed(&mut self, _block: BlockId, _latency_ratio: f64) {}
    fn log(&mut self, text: &str);
}
