//! The seam to whatever decides: the core itself, or the careless baseline that it is measured against.

use std::collections::{BTreeMap, VecDeque};

use quaypath::scheduler::Scheduler;
use quaypath::types::*;
use quaypath_settings::Deployment;
use tracing::info;

use crate::node_list::{ListedNode, RegisterCall};

/// What the core asked for in one call; and what it saw of nodes, where somebody wants to know.
#[derive(Default)]
pub struct Actions(pub VecDeque<Action>, pub Option<Vec<(BlockId, f64)>>);

pub enum Action {
    Send(u64, f64, NodeId),
    Cancel(u64, u32),
    Decline(u64, f64),
    Scrap(u64),
    Timer(f64, u64),
    RegisterCall(RegisterCall),
    Close(NodeId),
    Unsupported(&'static str),
}

impl Outbox for Actions {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.0.push_back(Action::Send(transaction.0, stop_at, node.clone()));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.0.push_back(Action::Cancel(transaction.0, shot));
    }
    fn decline(&mut self, transaction: TransactionId, come_back: f64) {
        self.0.push_back(Action::Decline(transaction.0, come_back));
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
    fn latency_observed(&mut self, block: BlockId, stay: f64) {
        self.1.iter_mut().for_each(|seen| seen.push((block, stay)));
    }
    fn log(&mut self, text: &str) {
        info!(target: "core", "{text}");
    }
}

/// The events of the core, one method each; shapes and units are those of [`Scheduler`].
pub trait Core {
    fn list_known(&mut self, now: f64, scope: ListKind, entries: &[ListedNode], out: &mut Actions);
    #[allow(clippy::too_many_arguments)] // events come as plain arguments, as in the core
    fn taken(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    );
    #[allow(clippy::too_many_arguments)]
    fn returned(
        &mut self, now: f64, id: TransactionId, node: &NodeId, shot: u32, used: f64, delay: f64, last: bool,
        outcome: Outcome, others: f64, report: &[f64], out: &mut Actions,
    );
    fn lapsed(&mut self, now: f64, id: TransactionId, out: &mut Actions);
    fn rang(&mut self, now: f64, tag: u64, out: &mut Actions);
    /// Volumes and ordered keys held.
    fn accounts(&self) -> (usize, usize);
    /// Accounts that are shared with other initiators; none where the core knows of none.
    fn needs(&mut self, _now: f64) -> Vec<LimitBalance> {
        Vec::new()
    }
    /// What other initiators had to say; whether units were there to move.
    fn shared(&mut self, _now: f64, _shared: PeerReport, _out: &mut Actions) -> bool {
        false
    }
}

/// Makes what decides: clock time, seed, deployment, and where its first actions go.
pub type CoreFactory = fn(f64, u64, &Deployment, &mut Actions) -> Box<dyn Core>;

/// The decision core.
pub fn scheduler(now: f64, seed: u64, deployment: &Deployment, out: &mut Actions) -> Box<dyn Core> {
    scheduler_with_settings(now, seed, deployment.core.clone(), out)
}

/// The decision core where its settings come from elsewhere than a deployment file.
pub fn scheduler_with_settings(now: f64, seed: u64, settings: Settings, out: &mut Actions) -> Box<dyn Core> {
    Box::new(Scheduler::start(now, seed, settings, out))
}

impl Core for Scheduler {
    fn list_known(&mut self, now: f64, scope: ListKind, entries: &[ListedNode], out: &mut Actions) {
        Scheduler::node_list_received(self, now, scope, entries, out);
    }
    fn taken(
        &mut self, now: f64, id: TransactionId, initiators: f64, plan: Option<PlanId>, band: BandId,
        extent: Option<ExtentId>, budget: f64, units: f64, volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    ) {
        Scheduler::transaction_received(
            self, now, id, initiators, plan, band, extent, budget, units, volume, block, out,
        );
    }
    fn returned(
        &mut self, now: f64, id: TransactionId, node: &NodeId, shot: u32, used: f64, delay: f64, last: bool,
        outcome: Outcome, others: f64, report: &[f64], out: &mut Actions,
    ) {
        Scheduler::shot_completed(self, now, id, node, shot, used, delay, last, outcome, others, report, out);
    }
    fn lapsed(&mut self, now: f64, id: TransactionId, out: &mut Actions) {
        Scheduler::client_cancelled(self, now, id, out);
    }
    fn rang(&mut self, now: f64, tag: u64, out: &mut Actions) {
        Scheduler::timer_fired(self, now, tag, out);
    }
    fn accounts(&self) -> (usize, usize) {
        Scheduler::tracked_counts(self)
    }
    fn needs(&mut self, now: f64) -> Vec<LimitBalance> {
        Scheduler::limit_balances(self, now)
    }
    fn shared(&mut self, now: f64, shared: PeerReport, out: &mut Actions) -> bool {
        Scheduler::peer_report_received(self, now, shared, out)
    }
}

/// A plain gateway: sends at once to whatever node was last heard of for the data, and tries everything again
/// whatever became of it. Only there to be measured against; it keeps none of the rules on purpose.
struct Baseline {
    nodes: BTreeMap<BlockId, NodeId>,
    most_shots: u32,
    due: Vec<f64>,
    must_ask: bool,
    open: BTreeMap<TransactionId, (BlockId, usize, u32)>,
}

pub fn baseline(_now: f64, _seed: u64, deployment: &Deployment, out: &mut Actions) -> Box<dyn Core> {
    let set = &deployment.core;
    if set.must_subscribe {
        out.subscribe(true);
    }
    Box::new(Baseline {
        nodes: BTreeMap::new(),
        most_shots: set.max_shots,
        due: set.bands.iter().map(|band| band.due).collect(),
        must_ask: set.must_subscribe,
        open: BTreeMap::new(),
    })
}

impl Baseline {
    fn shot(&mut self, now: f64, id: TransactionId, out: &mut Actions) {
        let Some((block, band, shots)) = self.open.get_mut(&id) else { return };
        let node = self.nodes.get(block).filter(|_| *shots < self.most_shots);
        match node {
            Some(node) => {
                *shots += 1;
                out.send(id, now + self.due[*band], node);
            }
            None => {
                self.open.remove(&id);
                out.decline(id, 0.0);
            }
        }
    }
}

impl Core for Baseline {
    fn list_known(&mut self, _now: f64, scope: ListKind, entries: &[ListedNode], out: &mut Actions) {
        if scope == ListKind::FetchFailed && self.must_ask {
            out.set_timer(1.0, 0);
        }
        for (node, block, condition, ..) in entries {
            if *condition == NodeCondition::Ready {
                self.nodes.insert(*block, node.clone());
            }
        }
    }
    fn taken(
        &mut self, now: f64, id: TransactionId, _initiators: f64, _plan: Option<PlanId>, band: BandId,
        _extent: Option<ExtentId>, _budget: f64, _units: f64, _volume: VolumeId, block: Option<BlockId>,
        out: &mut Actions,
    ) {
        self.open.insert(id, (block.unwrap_or_default(), band.0, 0));
        self.shot(now, id, out);
    }
    fn returned(
        &mut self, now: f64, id: TransactionId, _node: &NodeId, _shot: u32, _used: f64, _delay: f64,
        last: bool, outcome: Outcome, _others: f64, _report: &[f64], out: &mut Actions,
    ) {
        if last || outcome == Outcome::Settled {
            self.open.remove(&id);
        } else {
            self.shot(now, id, out);
        }
    }
    fn lapsed(&mut self, _now: f64, id: TransactionId, _out: &mut Actions) {
        self.open.remove(&id);
    }
    fn rang(&mut self, _now: f64, _tag: u64, out: &mut Actions) {
        out.subscribe(true);
    }
    fn accounts(&self) -> (usize, usize) {
        (0, 0)
    }
}
