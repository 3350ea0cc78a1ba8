//! Subsets: which nodes each member uses, computed from the lists of members and nodes alone, by one of three methods
//! (compared in `docs/results-fleet.md`).
//!
//! All methods give each member `count` of the nodes, or all nodes if there are no more.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::MemberId;

/// A node, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeHash(pub u64);

impl NodeHash {
    /// Hash of the node with this name.
    pub fn of(name: &str) -> NodeHash {
        NodeHash(xxh3_64(name.as_bytes()))
    }
}

/// Maximum load of a node with [`bounded`], relative to the mean load.
pub const MAX_LOAD_FACTOR: f64 = 1.25;

/// Hash of a number, of a member or a round, and a node.
fn pair_hash(number: u64, node: NodeHash) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    bytes[8..].copy_from_slice(&node.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// All nodes in the order of a member's preference.
fn preferred(member: MemberId, nodes: &[NodeHash]) -> Vec<NodeHash> {
    let mut ranked: Vec<(u64, NodeHash)> =
        nodes.iter().map(|node| (pair_hash(u64::from(member.0), *node), *node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Rendezvous hashing: the first nodes in the member's order of preference. It needs no list of members, so differing
/// lists do not matter; the load of the nodes is random.
pub fn rendezvous(nodes: &[NodeHash], own_id: MemberId, count: usize) -> Vec<NodeHash> {
    let mut subset = preferred(own_id, nodes);
    subset.truncate(count);
    subset
}

/// Rendezvous hashing with bounded loads: in the order of a hash of their number, members take the first nodes of their
/// preference whose load is below [`MAX_LOAD_FACTOR`] times the mean. A member that does not get enough nodes this way
/// takes nodes whatever their load.
pub fn bounded(members: &[MemberId], nodes: &[NodeHash], count: usize) -> BTreeMap<MemberId, Vec<NodeHash>> {
    let count = count.min(nodes.len());
    let mean = (members.len() * count) as f64 / nodes.len().max(1) as f64;
    let max_load = (mean * MAX_LOAD_FACTOR).ceil() as usize;
    let mut load: BTreeMap<NodeHash, usize> = nodes.iter().map(|node| (*node, 0)).collect();
    let mut order: Vec<MemberId> = members.to_vec();
    order.sort_unstable_by_key(|member| pair_hash(u64::from(member.0), NodeHash(0)));
    let mut subsets = BTreeMap::new();
    for member in order {
        let mut subset = Vec::new();
        let preference = preferred(member, nodes);
        for limit in [max_load, usize::MAX] {
            for node in &preference {
                if subset.len() < count && load[node] < limit && !subset.contains(node) {
                    subset.push(*node);
                    *load.get_mut(node).expect("a node of the list") += 1;
                }
            }
        }
        subsets.insert(member, subset);
    }
    subsets
}

/// Deterministic subsetting by rounds: in each round, as many members as there are subsets divide all nodes among
/// them, in an order that differs between rounds. The position of a member's number in the list gives its round and
/// subset.
pub fn rounds(members: &[MemberId], nodes: &[NodeHash], own_id: MemberId, count: usize) -> Vec<NodeHash> {
    let count = count.clamp(1, nodes.len().max(1));
    let subset_count = (nodes.len() / count).max(1);
    let position = members.iter().filter(|member| **member < own_id).count();
    let (round, nth) = (position / subset_count, position % subset_count);
    let mut order: Vec<(u64, NodeHash)> =
        nodes.iter().map(|node| (pair_hash(round as u64 | 1 << 32, *node), *node)).collect();
    order.sort_unstable();
    order.into_iter().skip(nth * count).take(count).map(|(_, node)| node).collect()
}

/// Method by which subsets are computed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubsetMethod {
    /// [`rendezvous`].
    Rendezvous,
    /// [`bounded`].
    Bounded,
    /// [`rounds`].
    Rounds,
}

/// The subsets of all members.
pub fn all_subsets(
    method: SubsetMethod, members: &[MemberId], nodes: &[NodeHash], count: usize,
) -> BTreeMap<MemberId, Vec<NodeHash>> {
    let each = |pick: &dyn Fn(MemberId) -> Vec<NodeHash>| {
        members.iter().map(|member| (*member, pick(*member))).collect()
    };
    match method {
        SubsetMethod::Rendezvous => each(&|member| rendezvous(nodes, member, count)),
        SubsetMethod::Bounded => bounded(members, nodes, count),
        SubsetMethod::Rounds => each(&|member| rounds(members, nodes, member, count)),
    }
}

/// Highest load of a node, divided by the mean load.
pub fn load_spread(subsets: &BTreeMap<MemberId, Vec<NodeHash>>, nodes: &[NodeHash]) -> f64 {
    let mut load: BTreeMap<NodeHash, usize> = nodes.iter().map(|node| (*node, 0)).collect();
    subsets.values().flatten().for_each(|node| *load.entry(*node).or_default() += 1);
    let total: usize = load.values().sum();
    load.values().copied().max().unwrap_or(0) as f64 * load.len() as f64 / (total as f64).max(1.0)
}

/// Number of nodes that are new in the later subsets, over the members in both.
pub fn new_choices(
    before: &BTreeMap<MemberId, Vec<NodeHash>>, after: &BTreeMap<MemberId, Vec<NodeHash>>,
) -> usize {
    let count_new = |(member, nodes): (&MemberId, &Vec<NodeHash>)| {
        let old = before.get(member)?;
        Some(nodes.iter().filter(|node| !old.contains(node)).count())
    };
    after.iter().filter_map(count_new).sum()
}
