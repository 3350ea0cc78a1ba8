//! The placement index: maps a namespace and a logical block to a node and an extent.
//!
//! Ranges do not overlap and change only when settings are loaded. Their starts are therefore kept in Eytzinger order,
//! the breadth-first order of a binary search tree, which a search traverses from the front of the memory to its back.
//! This causes about half the cache misses of a binary search over sorted starts. `benches/index.rs` compares it with a
//! sorted `Vec` and a `BTreeMap`. Blocks outside all ranges are placed by the arithmetic of the layout.

use std::collections::HashMap;

use quaypath_settings::Deployment;

/// The placement of a logical block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Number of the block (the part of the data that one node holds).
    pub block: i64,
    /// Number of the extent within its volume.
    pub extent: u64,
    /// Logical blocks from the requested one to the end of the extent.
    pub remaining: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Range {
    start: u64,
    end: u64,
    node: i64,
    extent: u64,
}

/// Explicitly placed ranges of one volume.
#[derive(Clone, Debug, Default)]
pub struct Ranges {
    /// Starts in Eytzinger order from position 1 on. `ranges` has the same order.
    starts: Vec<u64>,
    ranges: Vec<Range>,
}

/// Number of the first extent of an explicit range. It separates these extents from those of the layout's arithmetic.
const EXPLICIT_EXTENTS_START: u64 = 1 << 32;

impl Ranges {
    /// Builds the index from (start, blocks, node) triples that are sorted by start and do not overlap.
    pub fn new(sorted: &[(u64, u64, i64)]) -> Self {
        let mut ranges =
            Ranges { starts: vec![0; sorted.len() + 1], ranges: vec![Range::default(); sorted.len() + 1] };
        let mut next = 0;
        ranges.fill(sorted, &mut next, 1);
        ranges
    }

    fn fill(&mut self, sorted: &[(u64, u64, i64)], next: &mut usize, position: usize) {
        if position > sorted.len() {
            return;
        }
        self.fill(sorted, next, 2 * position);
        let (start, blocks, node) = sorted[*next];
        self.starts[position] = start;
        self.ranges[position] =
            Range { start, end: start + blocks, node, extent: EXPLICIT_EXTENTS_START + *next as u64 };
        *next += 1;
        self.fill(sorted, next, 2 * position + 1);
    }

    /// The range that contains a logical block, as (start, end, node, extent number).
    pub fn find(&self, block: u64) -> Option<(u64, u64, i64, u64)> {
        let mut position = 1;
        while position < self.starts.len() {
            position = 2 * position + usize::from(self.starts[position] <= block);
        }
        // The search descended to the right for the last time at the greatest start that is not above the block.
        position >>= position.trailing_zeros() + 1;
        let range = self.ranges.get(position).filter(|range| position > 0 && block < range.end)?;
        Some((range.start, range.end, range.node, range.extent))
    }

    /// The first range start above a logical block.
    fn next_start(&self, block: u64) -> Option<u64> {
        let mut position = 1;
        while position < self.starts.len() {
            position = 2 * position + usize::from(self.starts[position] <= block);
        }
        position >>= (!position).trailing_zeros() + 1;
        (position > 0).then(|| self.starts[position])
    }
}

/// The placement index of one deployment.
#[derive(Debug)]
pub struct Index {
    /// Ranges by volume, for volumes that have explicit placements.
    explicit: HashMap<u32, Ranges>,
}

impl Index {
    pub fn new(deployment: &Deployment) -> Self {
        let mut lists: HashMap<u32, Vec<(u64, u64, i64)>> = HashMap::new();
        for placement in &deployment.placements {
            lists.entry(placement.volume).or_default().push((
                placement.from,
                placement.blocks,
                placement.node,
            ));
        }
        Index { explicit: lists.into_iter().map(|(volume, list)| (volume, Ranges::new(&list))).collect() }
    }

    /// The placement of a logical block of a volume; none past the end of the volume.
    pub fn place(&self, deployment: &Deployment, volume: u32, slba: u64) -> Option<Place> {
        let settings = deployment.volumes.get(&volume).filter(|settings| slba < settings.size)?;
        let explicit = self.explicit.get(&volume);
        if let Some((_, end, node, extent)) = explicit.and_then(|ranges| ranges.find(slba)) {
            return Some(Place { block: node, extent, remaining: end - slba });
        }
        let (extent, block) = deployment.extent_and_block(settings, slba);
        let end = ((extent + 1) * deployment.extent_blocks).min(settings.size);
        let end = explicit.and_then(|ranges| ranges.next_start(slba)).map_or(end, |next| end.min(next));
        Some(Place { block, extent, remaining: end - slba })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

        /// Compares the index with a linear search through all ranges.
        #[test]
        fn finds_like_a_linear_search(gaps in proptest::collection::vec((0..5u64, 1..6u64), 0..70), block in 0..600u64) {
            let (mut list, mut start) = (Vec::new(), 0);
            for (node, (gap, blocks)) in gaps.iter().enumerate() {
                list.push((start + gap, *blocks, node as i64));
                start += gap + blocks;
            }
            let ranges = Ranges::new(&list);
            let expected = list.iter().find(|(from, blocks, _)| (*from..from + blocks).contains(&block));
            let found = ranges.find(block).map(|(from, end, node, _)| (from, end - from, node));
            prop_assert_eq!(found, expected.copied());
            let next = list.iter().map(|(from, ..)| *from).find(|from| *from > block);
            prop_assert_eq!(ranges.next_start(block), next);
        }
    }
}
