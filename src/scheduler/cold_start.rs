//! Slow start: what this initiator may send to a node that has started recently. Such a node is overloaded by less than
//! it serves once warm, and the parts that all initiators send count together, so each takes a part that it can
//! justify from the settings and from what it has seen itself.

use nanorand::Rng;

use super::Scheduler;
use crate::types::*;

/// Seconds over which the units settled at a node are averaged. In a large fleet one initiator sends a node one
/// transaction in ten seconds.
pub(super) const RATE_SECONDS: f64 = 20.0;
/// Minimum number of these seconds for an initiator that started less than RATE_SECONDS ago, as a short burst is not
/// a sustained rate.
const MIN_RATE_SECONDS: f64 = 10.0;
/// Part of a cold node's budget that is claimed by the rate settled before its start; the remaining part is a
/// margin for random variation.
const EARLIER_RATE_SHARE: f64 = 0.85;
/// Largest demand for a node that cold starts allow for, as a multiple of what the node serves once warm.
const MAX_DEMAND: f64 = 2.5;
/// Standard deviations by which a node may have more initiators than the mean node.
const INITIATOR_DEVIATIONS: f64 = 3.0;

impl Scheduler {
    /// Whether the node of this block has started recently and serves less than it will once warm.
    pub(super) fn is_cold(&self, now: f64, block: BlockId) -> bool {
        self.nodes.get(&block).is_some_and(|node| now < node.warm_at)
    }

    /// Estimates the maximum number of initiators that send to one node. By symmetry, the part of the initiators
    /// that use a node equals the part of the nodes that this initiator uses. Nodes not requested yet are estimated
    /// from those requested only once (Good-Turing). The result is at least the number of initiators of any volume
    /// at the node.
    fn max_initiators(&self, block: BlockId) -> f64 {
        let requests = || self.requests_per_block.values().filter(|requests| **requests >= 1.0);
        let (total, once) =
            (requests().sum::<f64>(), requests().filter(|requests| **requests < 2.0).sum::<f64>());
        let used_nodes = (total - once) / total.max(1.0) * self.nodes.len() as f64;
        let mean = (requests().count() as f64).max(1.0) / used_nodes.max(1e-9) * self.settings.initiators;
        (mean + INITIATOR_DEVIATIONS * mean.sqrt())
            .max(self.nodes[&block].max_volume_initiators)
            .min(self.settings.initiators)
    }

    /// Whether a cold node can take these units within the overload window. A budget smaller than a mean transaction
    /// is saved up until it covers one, from a random initial level, so that the initiators do not send all at
    /// once.
    pub(super) fn cold_start_admits(&mut self, now: f64, block: BlockId, units: f64) -> bool {
        let (mean_units, window) = (self.settings.mean_units, self.settings.overload_window);
        let budget = self.cold_start_budget(now, block);
        let random_part = self.rng.generate::<f64>();
        let node = self.nodes.get_mut(&block).unwrap();
        let (savings, saved_at) = node.cold_start_savings.unwrap_or((random_part * mean_units, now));
        let savings = (savings + budget * (now - saved_at) / window).min(units.max(mean_units));
        node.cold_start_savings = Some((savings, now));
        now >= self.started + window
            && (budget - node.cold_start_sent.sum(now) >= units
                || (budget < mean_units && savings >= units.max(mean_units)))
    }

    /// The units that this initiator may send to a cold node within the overload window. It is a part that depends on
    /// the initiators and the demand or, if larger, a part of the rate that the previous node settled for this
    /// initiator. Both are parts of what a warm node takes; the budget grows as the slowest node warms up.
    fn cold_start_budget(&mut self, now: f64, block: BlockId) -> f64 {
        let start_capacity = self.settings.start_capacity.clamp(0.01, 1.0);
        let warm_up = self.settings.warm_up.max(0.01);
        let node_units = self.settings.cold_start_units.max(self.settings.mean_units) / start_capacity;
        let shared_part = self.shared_part(now, block, node_units);
        let node = &self.nodes[&block];
        // Other initiators may have taken over work that this one had long before the start of the node.
        let age_discount = 2.0 * RATE_SECONDS / (node.started - node.warm_units_at).max(2.0 * RATE_SECONDS);
        let earlier_rate = node.warm_units / self.observed_seconds(node.started) * age_discount;
        let earlier_part = self.overload_units(EARLIER_RATE_SHARE * earlier_rate);
        let age = (now - node.started - self.settings.overload_window).clamp(0.0, warm_up);
        let warmth = start_capacity + (1.0 - start_capacity) * age / warm_up;
        shared_part.max(earlier_part) * warmth
    }

    /// This initiator's part of the units that a node takes within the overload window: an even part among the
    /// initiators that are likely to use it. That number is a guess, which is too low where most of the fleet uses one
    /// node. The part is therefore limited to a share of the demand for the node that is seen here: these shares add up
    /// to no more than the node takes, however many initiators use it. An even part among all initiators is safe in any
    /// case.
    fn shared_part(&mut self, now: f64, block: BlockId, node_units: f64) -> f64 {
        let likely_part = node_units / self.max_initiators(block);
        let demand = self.node_state(block).requested_units.sum(now) / self.observed_seconds(now);
        let demand_part = self.overload_units(demand / MAX_DEMAND);
        let even_part = node_units / self.settings.initiators;
        likely_part.min(demand_part).max(even_part)
    }

    /// The units within the overload window above which a node that serves this rate is overloaded.
    fn overload_units(&self, rate: f64) -> f64 {
        self.settings.overload_multiple * rate * self.settings.overload_window
    }

    /// The part of the last RATE_SECONDS before `time` in which this process ran.
    fn observed_seconds(&self, time: f64) -> f64 {
        (time - self.started).clamp(MIN_RATE_SECONDS, RATE_SECONDS)
    }
}
