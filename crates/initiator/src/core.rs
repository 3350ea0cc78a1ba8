//! The interface between a gateway and its decision core, or the baseline that the core is compared with.

use std::collections::{BTreeMap, VecDeque};

use quaypath::scheduler::Scheduler;
use quaypath::types::*;
use quaypath_settings::Deployment;
use tracing::info;

use crate::node_list::RegisterCall;

/// Actions that the core requested during a call and, if they are recorded, its latency observations: block and latency
/// divided by the due time.
#[derive(Default)]
pub struct Actions(pub VecDeque<Action>, pub Option<Vec<(BlockId, f64)>>);

/// An action that the core requests.
pub enum Action {
    /// Sends a shot: transaction, clock time at which it stops, seconds, and node.
    Send(u64, f64, NodeId),
    /// Cancels a shot: transaction and shot number.
    Cancel(u64, u32),
    /// Declines a transaction: transaction and the time after which the client may retry, seconds.
    Decline(u64, f64),
    /// Scraps a transaction.
    Scrap(u64),
    /// Sets a timer of the core: delay, seconds, and the tag to pass back.
    Timer(f64, u64),
    /// Calls the register.
    RegisterCall(RegisterCall),
    /// Closes the connections to a node if they are idle.
    Close(NodeId),
    /// An action that this gateway does not support, by name.
    Unsupported(&'static str),
}

impl Outbox for Actions {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.0.push_back(Action::Send(transaction.0, stop_at, node.clone()));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.0.push_back(Action::Cancel(transaction.0, shot));
    }
    fn decline(&mut self, transaction: TransactionId, retry_after: f64) {
        self.0.push_back(Action::Decline(transaction.0, retry_after));
    }
    fn scrap(&mut self, transaction: TransactionId) {
        self.0.push_back(Action::Scrap(transaction.0));
    }
    fn set_timer(&mut self, after: f64, tag: u64) {
        self.0.push_back(Action::Timer(after, tag));
    }
    fn subscribe(&mut self, on: bool) {
        self.0.push_back(Action::RegisterCall(RegisterCall::Watch { on }));
    }
    fn fetch_node_list(&mut self) {
        self.0.push_back(Action::RegisterCall(RegisterCall::Fetch));
    }
    fn probe(&mut self, _node: &NodeId) {
        self.0.push_back(Action::Unsupported("probe"));
    }
    fn close(&mut self, node: &NodeId) {
        self.0.push_back(Action::Close(node.clone()));
    }
    fn send_to_peer(&mut self, _initiator: Option<u64>, _payload: &[u8]) {
        self.0.push_back(Action::Unsupported("tell"));
    }
    fn latency_observed(&mut self, block: BlockId, latency_ratio: f64) {
        self.1.iter_mut().for_each(|observations| observations.push((block, latency_ratio)));
    }
    fn log(&mut self, text: &str) {
        info!(target: "core", "{text}");
    }
}

/// The events that a gateway passes to its decision core. Parameters and units are those of [`Scheduler`].
pub trait Core {
    /// A node list was received, or a fetch failed.
    fn node_list_received(&mut self, now: f64, kind: ListKind, entries: &[ListedNode], out: &mut Actions);
    /// A transaction was received from a client. `budget` is its time until the outer limit, seconds.
    #[allow(clippy::too_many_arguments)] // the same parameters as in `Scheduler`
    fn transaction_received(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    );
    /// A shot ended after `latency` seconds. `usage` and `others_units` are the volume's usage and the units served
    /// through other initiators, and `report` is the load, as the node's answer reports them. `is_last` means that no
    /// further shot of the transaction is wanted.
    #[allow(clippy::too_many_arguments)]
    fn shot_completed(
        &mut self, now: f64, id: TransactionId, node: &NodeId, shot: u32, usage: f64, latency: f64,
        is_last: bool, outcome: Outcome, others_units: f64, report: &[f64], out: &mut Actions,
    );
    /// The client cancelled a transaction.
    fn client_cancelled(&mut self, now: f64, id: TransactionId, out: &mut Actions);
    /// A timer that the core set fired.
    fn timer_fired(&mut self, now: f64, tag: u64, out: &mut Actions);
    /// Numbers of volumes and of ordering keys that are tracked.
    fn tracked_counts(&self) -> (usize, usize);
    /// The memory of what is kept for nodes, bytes.
    fn node_memory_bytes(&self) -> usize {
        0
    }
    /// Whether transactions for this block were received lately.
    fn tracks_block(&self, _block: BlockId) -> bool {
        true
    }
    /// Whether this volume is tracked.
    fn tracks_volume(&self, _name: &VolumeId) -> bool {
        true
    }
    /// Evicts volumes beyond `max_volumes` as far as nothing is lost with them.
    fn evict_volumes(&mut self, _now: f64, _max_volumes: usize) {}
    /// Limits whose units may be lent and borrowed between initiators; empty when there are none.
    fn limit_balances(&mut self, _now: f64) -> Vec<LimitBalance> {
        Vec::new()
    }
    /// Handles a report of another initiator. Returns whether the units that it moves were available.
    fn peer_report_received(&mut self, _now: f64, _report: PeerReport, _out: &mut Actions) -> bool {
        false
    }
}

/// Creates a decision core from the clock time (seconds), the seed, the deployment, and a receiver of its first
/// actions.
pub type CoreFactory = fn(f64, u64, &Deployment, &mut Actions) -> Box<dyn Core>;

/// Creates the decision core with the settings of a deployment.
pub fn scheduler(now: f64, seed: u64, deployment: &Deployment, out: &mut Actions) -> Box<dyn Core> {
    scheduler_with_settings(now, seed, deployment.core.clone(), out)
}

/// Creates the decision core with settings that do not come from a deployment file.
pub fn scheduler_with_settings(now: f64, seed: u64, settings: Settings, out: &mut Actions) -> Box<dyn Core> {
    Box::new(Scheduler::start(now, seed, settings, out))
}

impl Core for Scheduler {
    fn node_list_received(&mut self, now: f64, kind: ListKind, entries: &[ListedNode], out: &mut Actions) {
        Scheduler::node_list_received(self, now, kind, entries, out);
    }
    fn transaction_received(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    ) {
        Scheduler::transaction_received(
            self, now, id, initiators, plan, band, extent, budget, units, volume, block, out,
        );
    }
    fn shot_completed(
        &mut self, now: f64, id: TransactionId, node: &NodeId, shot: u32, usage: f64, latency: f64,
        is_last: bool, outcome: Outcome, others_units: f64, report: &[f64], out: &mut Actions,
    ) {
        Scheduler::shot_completed(
            self,
            now,
            id,
            node,
            shot,
            usage,
            latency,
            is_last,
            outcome,
            others_units,
            report,
            out,
        );
    }
    fn client_cancelled(&mut self, now: f64, id: TransactionId, out: &mut Actions) {
        Scheduler::client_cancelled(self, now, id, out);
    }
    fn timer_fired(&mut self, now: f64, tag: u64, out: &mut Actions) {
        Scheduler::timer_fired(self, now, tag, out);
    }
    fn tracked_counts(&self) -> (usize, usize) {
        Scheduler::tracked_counts(self)
    }
    fn node_memory_bytes(&self) -> usize {
        Scheduler::node_memory_bytes(self)
    }
    fn tracks_block(&self, block: BlockId) -> bool {
        Scheduler::tracks_block(self, block)
    }
    fn tracks_volume(&self, name: &VolumeId) -> bool {
        Scheduler::tracks_volume(self, name)
    }
    fn evict_volumes(&mut self, now: f64, max_volumes: usize) {
        Scheduler::evict_volumes(self, now, max_volumes);
    }
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        Scheduler::limit_balances(self, now)
    }
    fn peer_report_received(&mut self, now: f64, report: PeerReport, out: &mut Actions) -> bool {
        Scheduler::peer_report_received(self, now, report, out)
    }
}

/// A baseline that deliberately keeps none of the gateway's rules; it exists only for comparison. It sends each
/// transaction at once to the node that was last listed as ready for its block, and retries
/// after every failure, up to the limit of shots.
struct Baseline {
    nodes: BTreeMap<BlockId, NodeId>,
    /// Limit of the shots of one transaction.
    max_shots: u32,
    /// Due time of each band, seconds.
    due_times: Vec<f64>,
    must_subscribe: bool,
    /// Block, band and number of shots of each open transaction.
    open: BTreeMap<TransactionId, (BlockId, usize, u32)>,
}

/// Creates the baseline.
pub fn baseline(_now: f64, _seed: u64, deployment: &Deployment, out: &mut Actions) -> Box<dyn Core> {
    let settings = &deployment.core;
    if settings.must_subscribe {
        out.subscribe(true);
    }
    Box::new(Baseline {
        nodes: BTreeMap::new(),
        max_shots: settings.max_shots,
        due_times: settings.bands.iter().map(|band| band.due).collect(),
        must_subscribe: settings.must_subscribe,
        open: BTreeMap::new(),
    })
}

impl Baseline {
    fn send_shot(&mut self, now: f64, id: TransactionId, out: &mut Actions) {
        let Some((block, band, shots)) = self.open.get_mut(&id) else { return };
        let node = self.nodes.get(block).filter(|_| *shots < self.max_shots);
        match node {
            Some(node) => {
                *shots += 1;
                out.send(id, now + self.due_times[*band], node);
            }
            None => {
                self.open.remove(&id);
                out.decline(id, 0.0);
            }
        }
    }
}

impl Core for Baseline {
    fn node_list_received(&mut self, _now: f64, kind: ListKind, entries: &[ListedNode], out: &mut Actions) {
        if kind == ListKind::Failed && self.must_subscribe {
            out.set_timer(1.0, 0);
        }
        for entry in entries.iter().filter(|entry| entry.condition == NodeCondition::Ready) {
            self.nodes.insert(entry.block, entry.node_id.clone());
        }
    }
    fn transaction_received(
        &mut self, now: f64, id: TransactionId, _initiators: f64, _plan: Option<PlanId>, band: BandId,
        _extent: Option<ExtentId>, _budget: f64, _units: f64, _volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    ) {
        self.open.insert(id, (block.unwrap_or_default(), band.0, 0));
        self.send_shot(now, id, out);
    }
    fn shot_completed(
        &mut self, now: f64, id: TransactionId, _node: &NodeId, _shot: u32, _usage: f64, _latency: f64,
        is_last: bool, outcome: Outcome, _others_units: f64, _report: &[f64], out: &mut Actions,
    ) {
        if is_last || outcome == Outcome::Settled {
            self.open.remove(&id);
        } else {
            self.send_shot(now, id, out);
        }
    }
    fn client_cancelled(&mut self, _now: f64, id: TransactionId, _out: &mut Actions) {
        self.open.remove(&id);
    }
    fn timer_fired(&mut self, _now: f64, _tag: u64, out: &mut Actions) {
        out.subscribe(true);
    }
    fn tracked_counts(&self) -> (usize, usize) {
        (0, 0)
    }
}
