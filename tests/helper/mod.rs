//! An initiator under test: settings, a recorder of actions, and short ways to send it events.
#![allow(dead_code)]

use quaypath::scheduler::Scheduler;
use quaypath::types::*;
use std::sync::Arc;

#[derive(Default)]
pub struct Log {
    pub lines: Vec<String>,
    pub timers: Vec<(f64, u64)>,
    pub now: f64,
    pub stop_at: f64,
}

impl Outbox for Log {
    fn send(&mut self, transaction: TransactionId, stop_at: f64, node: &NodeId) {
        self.stop_at = stop_at;
        self.lines.push(format!("send {} {}", transaction.0, node.0));
    }
    fn cancel(&mut self, transaction: TransactionId, shot: u32) {
        self.lines.push(format!("cancel {} {shot}", transaction.0));
    }
    fn decline(&mut self, transaction: TransactionId, come_back: f64) {
        self.lines.push(format!("decline {} {come_back}", transaction.0));
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

/// Band 0 repeatable, 1 once-only, 2 tagged within its cell and ordered, 3 tagged everywhere, 4 one with a long due
/// time, whose shot keeps its credit for 20 s.
/// Plan 0 has a limit and no reserve, 1 a reserve and weight 1, 2 no reserve and weight 4.
pub fn settings() -> Settings {
    let band = |repeat, scope, ordered| Band {
        due: 0.4,
        benefit: 2.0,
        repeat,
        dedup_scope: scope,
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
pub const LONG: usize = 4;

pub struct Rig {
    pub brain: Scheduler,
    pub log: Log,
    /// Of each transaction's volume, and what each answer tells.
    pub initiators: f64,
    pub delay: f64,
    pub used: f64,
    pub others: f64,
    pub size: f64,
    pub report: Vec<f64>,
}

pub fn node(name: &str) -> NodeId {
    NodeId(Arc::from(name))
}

impl Rig {
    pub fn new(now: f64, set: Settings) -> Self {
        Self::seeded(now, 7, set)
    }

    pub fn seeded(now: f64, seed: u64, set: Settings) -> Self {
        let mut log = Log { now, ..Log::default() };
        let brain = Scheduler::start(now, seed, set, &mut log);
        Rig {
            brain,
            log,
            initiators: 2.0,
            delay: 0.05,
            used: 1.0,
            others: 0.0,
            size: 0.0,
            report: Vec::new(),
        }
    }

    pub fn at(&mut self, now: f64) -> &mut Self {
        self.log.now = now;
        self
    }

    /// Entries are (name, block, condition, start time).
    pub fn list(&mut self, scope: ListKind, entries: &[(&str, i64, NodeCondition, f64)]) -> &mut Self {
        let entries: Vec<_> =
            entries.iter().map(|e| (node(e.0), BlockId(e.1), e.2, e.3, self.size)).collect();
        self.brain.node_list_received(self.log.now, scope, &entries, &mut self.log);
        self
    }

    pub fn ready(&mut self, name: &str, block: i64) -> &mut Self {
        self.list(ListKind::Changes, &[(name, block, NodeCondition::Ready, 0.0)])
    }

    pub fn take(&mut self, id: u64, band: usize, plan: usize, units: f64, block: Option<i64>) -> &mut Self {
        self.take_key(id, band, plan, units, block, &format!("key{id}"))
    }

    pub fn take_key(
        &mut self, id: u64, band: usize, plan: usize, units: f64, block: Option<i64>, key: &str,
    ) -> &mut Self {
        let (extent, volume) = (Some(ExtentId(Arc::from(key))), VolumeId(Arc::from(format!("volume{plan}"))));
        let (plan, band, block) = (Some(PlanId(plan)), BandId(band), block.map(BlockId));
        let (now, id, hosts) = (self.log.now, TransactionId(id), self.initiators);
        let log = &mut self.log;
        self.brain.transaction_received(now, id, hosts, plan, band, extent, 2.0, units, volume, block, log);
        self
    }

    pub fn back(&mut self, id: u64, name: &str, outcome: Outcome) -> &mut Self {
        let (id, last) = (TransactionId(id), outcome == Outcome::Settled);
        let (now, delay, used, others) = (self.log.now, self.delay, self.used, self.others);
        let (node, log, report) = (node(name), &mut self.log, &self.report);
        self.brain.shot_completed(now, id, &node, 0, used, delay, last, outcome, others, report, log);
        self
    }

    /// Rings every timer that is due by `until`, in order.
    pub fn run(&mut self, until: f64) -> &mut Self {
        loop {
            self.log.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(at, tag)) = self.log.timers.first().filter(|timer| timer.0 <= until) else { break };
            self.log.timers.remove(0);
            self.log.now = self.log.now.max(at) + 1e-6;
            self.brain.timer_fired(self.log.now, tag, &mut self.log);
        }
        self.log.now = until;
        self
    }

    /// What was asked for since the last look.
    pub fn seen(&mut self) -> Vec<String> {
        std::mem::take(&mut self.log.lines)
    }

    /// The transactions that were sent since the last look.
    pub fn sent_ids(&mut self) -> Vec<u64> {
        let sent = self.seen().into_iter().filter(|line| line.starts_with("send"));
        sent.map(|line| line.split(' ').nth(1).unwrap().parse().unwrap()).collect()
    }

    pub fn sent(&mut self) -> usize {
        self.sent_ids().len()
    }
}
