//! Which nodes a member uses, from the lists of members and nodes alone: three ways, one of them chosen by figures
//! (`docs/results-fleet.md`).
//!
//! All give each member `count` of the nodes, or all where there are not more.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::MemberId;

/// A node, by the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeHash(pub u64);

impl NodeHash {
    pub fn of(name: &str) -> NodeHash {
        NodeHash(xxh3_64(name.as_bytes()))
    }
}

/// How far above the mean [`bounded`] lets a node's load go.
pub const ROOM: f64 = 1.25;

fn draw(member: u64, node: NodeHash) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&member.to_le_bytes());
    bytes[8..].copy_from_slice(&node.0.to_le_bytes());
    xxh3_64(&bytes)
}

/// Nodes in a member's own order of preference.
fn preferred(member: MemberId, nodes: &[NodeHash]) -> Vec<NodeHash> {
    let mut all: Vec<(u64, NodeHash)> =
        nodes.iter().map(|node| (draw(u64::from(member.0), *node), *node)).collect();
    all.sort_unstable_by(|one, other| other.cmp(one));
    all.into_iter().map(|(_, node)| node).collect()
}

/// Rendezvous hashing: the first of the member's own order. Needs no list of members, so that two lists never clash;
/// the load on nodes is that of chance.
pub fn rendezvous(nodes: &[NodeHash], me: MemberId, count: usize) -> Vec<NodeHash> {
    let mut all = preferred(me, nodes);
    all.truncate(count);
    all
}

/// Rendezvous hashing with bounded loads: members in the order of a hash of their number take the first of their own
/// order that is not full, at [`ROOM`] times the mean. What is left over at the end takes whatever has room.
pub fn bounded(members: &[MemberId], nodes: &[NodeHash], count: usize) -> BTreeMap<MemberId, Vec<NodeHash>> {
    let count = count.min(nodes.len());
    let mean = (members.len() * count) as f64 / nodes.len().max(1) as f64;
    let most = (mean * ROOM).ceil() as usize;
    let mut load: BTreeMap<NodeHash, usize> = nodes.iter().map(|node| (*node, 0)).collect();
    let mut order: Vec<MemberId> = members.to_vec();
    order.sort_unstable_by_key(|member| draw(u64::from(member.0), NodeHash(0)));
    let mut all = BTreeMap::new();
    for member in order {
        let mut taken = Vec::new();
        let own = preferred(member, nodes);
        for room in [most, usize::MAX] {
            for node in &own {
                if taken.len() < count && load[node] < room && !taken.contains(node) {
                    taken.push(*node);
                    *load.get_mut(node).expect("a node of the list") += 1;
                }
            }
        }
        all.insert(member, taken);
    }
    all
}

/// Deterministic subsetting by rounds: in each round as many members as there are subsets share all nodes out, in an
/// order of the round's own. A member's place is that of its number among those on the list.
pub fn rounds(members: &[MemberId], nodes: &[NodeHash], me: MemberId, count: usize) -> Vec<NodeHash> {
    let count = count.clamp(1, nodes.len().max(1));
    let subsets = (nodes.len() / count).max(1);
    let place = members.iter().filter(|member| **member < me).count();
    let (round, nth) = (place / subsets, place % subsets);
    let mut order: Vec<(u64, NodeHash)> =
        nodes.iter().map(|node| (draw(round as u64 | 1 << 32, *node), *node)).collect();
    order.sort_unstable();
    order.into_iter().skip(nth * count).take(count).map(|(_, node)| node).collect()
}

/// The ways, by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    Rendezvous,
    Bounded,
    Rounds,
}

/// Every member's nodes.
pub fn all(
    way: Way, members: &[MemberId], nodes: &[NodeHash], count: usize,
) -> BTreeMap<MemberId, Vec<NodeHash>> {
    let each =
        |pick: &dyn Fn(MemberId) -> Vec<NodeHash>| members.iter().map(|one| (*one, pick(*one))).collect();
    match way {
        Way::Rendezvous => each(&|me| rendezvous(nodes, me, count)),
        Way::Bounded => bounded(members, nodes, count),
        Way::Rounds => each(&|me| rounds(members, nodes, me, count)),
    }
}

/// Highest load of a node over the mean.
pub fn spread(all: &BTreeMap<MemberId, Vec<NodeHash>>, nodes: &[NodeHash]) -> f64 {
    let mut load: BTreeMap<NodeHash, usize> = nodes.iter().map(|node| (*node, 0)).collect();
    all.values().flatten().for_each(|node| *load.entry(*node).or_default() += 1);
    let total: usize = load.values().sum();
    load.values().copied().max().unwrap_or(0) as f64 * load.len() as f64 / (total as f64).max(1.0)
}

/// Choices of members in both that are new in the second.
pub fn moves(before: &BTreeMap<MemberId, Vec<NodeHash>>, after: &BTreeMap<MemberId, Vec<NodeHash>>) -> usize {
    let new = |(member, nodes): (&MemberId, &Vec<NodeHash>)| {
        let old = before.get(member)?;
        Some(nodes.iter().filter(|node| !old.contains(node)).count())
    };
    after.iter().filter_map(new).sum()
}
