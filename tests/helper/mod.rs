//! An initiator under test: default settings, a recorder of its actions, and short methods that send it events.
#![allow(dead_code)]

use quaypath::scheduler::Scheduler;
use quaypath::types::*;
use std::sync::Arc;

/// The actions that the scheduler asked for.
#[derive(Default)]
pub struct Actions {
    /// Each action as text, without timers.
    pub lines: Vec<String>,
    /// Clock time and tag of the timers that have not fired.
    pub timers: Vec<(f64, u64)>,
    /// The clock.
    pub now: f64,
    /// When the last shot is stopped.
    pub stop_at: f64,
}

impl Outbox for Actions {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.stop_at = stop_at;
        self.lines.push(format!("send {} {}", transaction.0, node.0));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.lines.push(format!("cancel {} {shot}", transaction.0));
    }
    fn decline(&mut self, transaction: TransactionId, retry_after: f64) {
        self.lines.push(format!("decline {} {retry_after}", transaction.0));
    }
    fn scrap(&mut self, transaction: TransactionId) {
        self.lines.push(format!("scrap {}", transaction.0));
    }
    fn set_timer(&mut self, after: f64, tag: u64) {
        self.timers.push((self.now + after, tag));
    }
    fn subscribe(&mut self, on: bool) {
        self.lines.push(format!("subscribe {on}"));
    }
    fn fetch_node_list(&mut self) {}
    fn probe(&mut self, _node: &NodeId) {}
    fn close(&mut self, _node: &NodeId) {}
    fn send_to_peer(&mut self, _initiator: Option<u64>, _payload: &[u8]) {}
    fn log(&mut self, _text: &str) {}
}

/// Band 0 is repeatable, 1 once-only, 2 tagged within its cell and ordered, 3 tagged everywhere. Band 4 is once-only
/// with a long due time: its shot keeps its credit for 20 s.
/// Plan 0 has a limit and no reservation, 1 a reservation and weight 1, 2 no reservation and weight 4.
pub fn settings() -> Settings {
    let band = |repeat, dedup_scope, ordered| Band {
        due: 0.4,
        benefit: 2.0,
        repeat,
        dedup_scope,
        dedup_window: 1.0,
        ordered,
    };
    let plan = |limit, reservation, weight| Plan {
        limit,
        burst: 2.0 * limit,
        reservation,
        weight,
        ..Plan::default()
    };
    Settings {
        initiators: 2.0,
        bands: vec![
            band(Repeat::Repeatable, DedupScope::All, false),
            band(Repeat::OnceOnly, DedupScope::All, false),
            band(Repeat::Tagged, DedupScope::Cell, true),
            band(Repeat::Tagged, DedupScope::All, false),
            Band { due: 60.0, ..band(Repeat::OnceOnly, DedupScope::All, false) },
        ],
        plans: vec![plan(10.0, 0.0, 1.0), plan(0.0, 20.0, 1.0), plan(0.0, 0.0, 4.0)],
        mean_units: 2.0,
        cold_start_units: 8.0,
        reports_usage: true,
        reports_others_usage: true,
        may_cancel: true,
        max_shots: 3,
        advises_retry: true,
        max_retry_after: 0.5,
        must_subscribe: false,
        drain_grace: 0.0,
        start_capacity: 0.2,
        warm_up: 10.0,
        overload_multiple: 2.0,
        overload_window: 1.0,
        key_quiet_period: 0.1,
        earlier_loans_hold: 0.0,
        retry_budget: None,
    }
}

/// The band with the long due time.
pub const LONG_DUE_BAND: usize = 4;

pub struct TestInitiator {
    pub scheduler: Scheduler,
    pub actions: Actions,
    /// Number of initiators that the volume of each transaction comes through.
    pub initiators: f64,
    /// Latency of each answer, seconds.
    pub delay: f64,
    /// Usage that each answer reports, percent of the nominal rate plus one.
    pub used: f64,
    /// Units served for other initiators that each answer reports.
    pub others: f64,
    /// Size of the nodes that are listed; 0: not reported.
    pub size: f64,
    /// Zone of the nodes that are listed.
    pub zone: Option<&'static str>,
    /// Load report in each answer.
    pub report: Vec<f64>,
}

pub fn node(name: &str) -> NodeId {
    NodeId(Arc::from(name))
}

impl TestInitiator {
    pub fn new(now: f64, settings: Settings) -> Self {
        Self::with_seed(now, 7, settings)
    }

    pub fn with_seed(now: f64, seed: u64, settings: Settings) -> Self {
        let mut actions = Actions { now, ..Actions::default() };
        let scheduler = Scheduler::start(now, seed, settings, &mut actions);
        TestInitiator {
            scheduler,
            actions,
            initiators: 2.0,
            delay: 0.05,
            used: 1.0,
            others: 0.0,
            size: 0.0,
            zone: None,
            report: Vec::new(),
        }
    }

    pub fn set_time(&mut self, now: f64) -> &mut Self {
        self.actions.now = now;
        self
    }

    /// Receives a node list. Entries are (name, block, condition, start time).
    pub fn receive_list(&mut self, kind: ListKind, entries: &[(&str, i64, NodeCondition, f64)]) -> &mut Self {
        let entries: Vec<_> = entries
            .iter()
            .map(|(name, block, condition, started)| ListedNode {
                node_id: node(name),
                block: BlockId(*block),
                zone: self.zone.and_then(ZoneId::from_name),
                condition: *condition,
                started: *started,
                size: self.size,
            })
            .collect();
        self.scheduler.node_list_received(self.actions.now, kind, &entries, &mut self.actions);
        self
    }

    /// Receives a list with one ready node that started long ago.
    pub fn add_node(&mut self, name: &str, block: i64) -> &mut Self {
        self.receive_list(ListKind::Changes, &[(name, block, NodeCondition::Ready, 0.0)])
    }

    /// Receives a transaction on an extent of its own, with an outer limit 2 s away.
    pub fn receive(
        &mut self, id: u64, band: usize, plan: usize, units: f64, block: Option<i64>,
    ) -> &mut Self {
        self.receive_with_key(id, band, plan, units, block, &format!("key{id}"))
    }

    pub fn receive_with_key(
        &mut self, id: u64, band: usize, plan: usize, units: f64, block: Option<i64>, key: &str,
    ) -> &mut Self {
        let (extent, volume) = (Some(ExtentId(Arc::from(key))), VolumeId(Arc::from(format!("volume{plan}"))));
        let (plan, band, block) = (Some(PlanId(plan)), BandId(band), block.map(BlockId));
        let (now, id, initiators) = (self.actions.now, TransactionId(id), self.initiators);
        let actions = &mut self.actions;
        self.scheduler.transaction_received(
            now, id, initiators, plan, band, extent, 2.0, units, volume, block, actions,
        );
        self
    }

    /// Completes the shot of a transaction. Only a settled one is the last.
    pub fn complete(&mut self, id: u64, name: &str, outcome: Outcome) -> &mut Self {
        let (id, last) = (TransactionId(id), outcome == Outcome::Settled);
        let (now, delay, used, others) = (self.actions.now, self.delay, self.used, self.others);
        let (node, actions, report) = (node(name), &mut self.actions, &self.report);
        self.scheduler.shot_completed(now, id, &node, 0, used, delay, last, outcome, others, report, actions);
        self
    }

    /// Fires every timer that is due by `until`, in order, and sets the clock to `until`.
    pub fn run_until(&mut self, until: f64) -> &mut Self {
        loop {
            self.actions.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(due_at, tag)) = self.actions.timers.first().filter(|timer| timer.0 <= until) else {
                break;
            };
            self.actions.timers.remove(0);
            self.actions.now = self.actions.now.max(due_at) + 1e-6;
            self.scheduler.timer_fired(self.actions.now, tag, &mut self.actions);
        }
        self.actions.now = until;
        self
    }

    /// Takes the actions recorded since the last call, without timers.
    pub fn take_actions(&mut self) -> Vec<String> {
        std::mem::take(&mut self.actions.lines)
    }

    /// Takes the recorded actions and returns the ids of the transactions that were sent.
    pub fn sent_ids(&mut self) -> Vec<u64> {
        let sent = self.take_actions().into_iter().filter(|line| line.starts_with("send"));
        sent.map(|line| line.split(' ').nth(1).unwrap().parse().unwrap()).collect()
    }

    /// Takes the recorded actions and returns the number of shots among them.
    pub fn sent_count(&mut self) -> usize {
        self.sent_ids().len()
    }
}
