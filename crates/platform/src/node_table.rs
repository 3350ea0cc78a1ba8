//! The nodes that discovery lists, and those that it has removed lately.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use quaypath::types::{BlockId, ListKind, ListedNode, NodeCondition, NodeId, ZoneId};
use tracing::{debug, warn};

use crate::discovery::{Endpoint, Listing, Status};
use crate::upstream::Pool;

/// How long a removed node is remembered, seconds: no list is older than this.
const REMOVED_NODE_RETENTION: f64 = 60.0;
/// Largest number of removed nodes that are remembered beside as many as are listed. Beyond it the oldest is forgotten.
const MAX_REMOVED_NODES: usize = 1024;
/// An entry of a map with its share of free ones, relative to the entry itself.
const MAP_FILL_FACTOR: usize = 2;
/// An allocation's header and rounding, and the counts beside a shared name, bytes.
const NAME_OVERHEAD_BYTES: usize = 48;

/// A node's entry in the table with a name of usual length, bytes.
pub const NODE_ENTRY_BYTES: usize = entry_bytes::<Node>() + 32;

/// A listed node.
pub struct Node {
    address: SocketAddr,
    /// Idle connections to the node.
    pub pool: Pool,
    /// Since when the gateway knows that the node drains, seconds.
    draining_since: Option<f64>,
    /// When the node started, seconds since 1970.
    started: f64,
}

impl Node {
    /// Address and start time. A connection leads to the process that was started there then, and to no other.
    pub fn incarnation(&self) -> (SocketAddr, f64) {
        (self.address, self.started)
    }

    pub fn is_draining(&self) -> bool {
        self.draining_since.is_some()
    }

    /// How long the gateway has known that the node drains, seconds; `None` if it does not drain.
    pub fn draining_time(&self, now: f64) -> Option<f64> {
        self.draining_since.map(|since| now - since)
    }

    /// Applies what a list says of this node, which is listed as ready or draining.
    fn update(&mut self, address: SocketAddr, started: f64, condition: NodeCondition, draining_since: f64) {
        if self.incarnation() != (address, started) {
            // The node moved or restarted: its idle connections lead to the previous process.
            self.pool.clear();
            (self.address, self.started) = (address, started);
        }
        if condition == NodeCondition::Ready {
            self.draining_since = None;
        } else {
            self.draining_since.get_or_insert(draining_since);
            self.pool.clear();
        }
    }
}

/// A node that is not listed any more.
struct RemovedNode {
    started: f64,
    removed_at: f64,
}

/// The nodes by name.
#[derive(Default)]
pub struct NodeTable {
    nodes: BTreeMap<NodeId, Node>,
    removed: BTreeMap<NodeId, RemovedNode>,
    /// Bytes of the names of all nodes, removed ones included.
    name_bytes: usize,
}

impl NodeTable {
    pub fn get(&self, name: &NodeId) -> Option<&Node> {
        self.nodes.get(name)
    }

    pub fn get_mut(&mut self, name: &NodeId) -> Option<&mut Node> {
        self.nodes.get_mut(name)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&NodeId, &Node)> {
        self.nodes.iter()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Node> {
        self.nodes.values_mut()
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// The memory of the table without the connections, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.nodes.len() * entry_bytes::<Node>()
            + self.removed.len() * entry_bytes::<RemovedNode>()
            + self.name_bytes
    }

    /// The memory by which the table grows at most with this list, bytes.
    pub fn growth_bytes(&self, listing: &Listing) -> usize {
        let new =
            listing.endpoints.iter().filter(|endpoint| !self.nodes.contains_key(endpoint.name.as_str()));
        new.map(|endpoint| entry_bytes::<Node>() + endpoint.name.len()).sum()
    }

    /// Applies a list or changes and returns the entries for the core. `is_older` is set if the version of the list is older
    /// than that of the known one.
    pub fn apply(&mut self, now: f64, listing: &Listing, kind: ListKind, is_older: bool) -> Vec<ListedNode> {
        self.forget_removed(now);
        let entries: Vec<ListedNode> = listing
            .endpoints
            .iter()
            .filter_map(|endpoint| self.apply_endpoint(now, endpoint, kind, is_older))
            .collect();
        if kind != ListKind::Changes {
            let listed: BTreeSet<&NodeId> = entries.iter().map(|entry| &entry.node_id).collect();
            let removed: Vec<NodeId> =
                self.nodes.keys().filter(|name| !listed.contains(name)).cloned().collect();
            removed.iter().for_each(|name| self.remove(name, now));
        }
        debug!(index = listing.index, scope = ?kind, entries = entries.len(), "list");
        entries
    }

    fn apply_endpoint(
        &mut self, now: f64, endpoint: &Endpoint, kind: ListKind, is_older: bool,
    ) -> Option<ListedNode> {
        let Ok(address) = endpoint.address.parse::<SocketAddr>() else {
            warn!(
                node = endpoint.name,
                address = endpoint.address,
                "the address of a listed node is not an address and a port; ignoring the node"
            );
            return None;
        };
        // The name of a known node is shared.
        let known_name = self.nodes.get_key_value(endpoint.name.as_str()).map(|(name, _)| name.clone());
        let name = known_name.unwrap_or_else(|| NodeId(Arc::from(endpoint.name.as_str())));
        // Discovery's clock and the gateway's both count from 1970.
        let started = endpoint.since_ms / 1e3;
        if is_older && self.removed.get(&name).is_some_and(|removed| started <= removed.started) {
            return None;
        }
        // The node as it is known, unless it has restarted since.
        let known_node = self.nodes.get(&name).filter(|node| node.started >= started);
        let condition = match endpoint.status {
            Status::InService if is_older && known_node.is_some_and(Node::is_draining) => {
                NodeCondition::Draining
            }
            Status::InService => NodeCondition::Ready,
            Status::Terminating => NodeCondition::Draining,
            Status::Terminated => NodeCondition::Removed,
        };
        if condition == NodeCondition::Removed {
            self.remove(&name, now);
        } else {
            // Only a change says that the node drains from now on; a whole list may report a drain that began long ago.
            let draining_since = if kind == ListKind::Changes { now } else { f64::NEG_INFINITY };
            self.insert(&name, address, started).update(address, started, condition, draining_since);
        }
        Some(ListedNode {
            node_id: name,
            block: BlockId(endpoint.group),
            zone: endpoint.zone.as_deref().and_then(ZoneId::from_name),
            condition,
            started,
            size: endpoint.weight,
        })
    }

    /// The node with this name, which is added if it is not listed yet.
    fn insert(&mut self, name: &NodeId, address: SocketAddr, started: f64) -> &mut Node {
        if self.removed.remove(name).is_some() {
            self.name_bytes -= name.0.len();
        }
        let name_bytes = &mut self.name_bytes;
        self.nodes.entry(name.clone()).or_insert_with(|| {
            *name_bytes += name.0.len();
            Node { address, pool: Pool::default(), draining_since: None, started }
        })
    }

    /// Removes a node that is no longer listed.
    fn remove(&mut self, name: &NodeId, now: f64) {
        let Some(node) = self.nodes.remove(name) else { return };
        let removed = RemovedNode { started: node.started, removed_at: now };
        if self.removed.insert(name.clone(), removed).is_some() {
            self.name_bytes -= name.0.len();
        }
    }

    /// Forgets nodes that were removed long ago, and the oldest ones if there are too many.
    fn forget_removed(&mut self, now: f64) {
        let excess = self.removed.len().saturating_sub(MAX_REMOVED_NODES.max(self.nodes.len()));
        let max_age = if excess == 0 { REMOVED_NODE_RETENTION } else { self.age_of_oldest_kept(now, excess) };
        let name_bytes = &mut self.name_bytes;
        self.removed.retain(|name, node| {
            let is_kept = now - node.removed_at < max_age;
            *name_bytes -= if is_kept { 0 } else { name.0.len() };
            is_kept
        });
    }

    /// The time since the removal below which at least `excess` removed nodes are too old, at most the retention, seconds.
    fn age_of_oldest_kept(&self, now: f64, excess: usize) -> f64 {
        let mut ages: Vec<f64> = self.removed.values().map(|node| now - node.removed_at).collect();
        ages.sort_by(|left, right| right.total_cmp(left));
        ages[excess - 1].min(REMOVED_NODE_RETENTION)
    }
}

/// The memory of a node's entry in a map, without its name, bytes.
const fn entry_bytes<T>() -> usize {
    MAP_FILL_FACTOR * size_of::<(NodeId, T)>() + NAME_OVERHEAD_BYTES
}
