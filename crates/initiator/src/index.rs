//! Where a block range lies: (namespace, logical block) to node and extent.
//!
//! Ranges do not overlap and change only when settings are loaded, so they are kept as sorted starts in the order of
//! a breadth-first walk through a binary tree (Eytzinger), which a search follows from the front of the memory to its
//! back: about half the cache misses of a binary search over the sorted starts. Measured against a sorted `Vec` and a
//! `BTreeMap` in `benches/index.rs`. What no range covers lies where the layout's arithmetic says.

use std::collections::HashMap;

use quaypath_settings::Deployment;

/// Where a block lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Part of the data, which one node holds.
    pub block: i64,
    /// Number of the extent in its volume.
    pub extent: u64,
    /// Blocks from the one asked for to the end of the extent.
    pub left: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Range {
    from: u64,
    end: u64,
    node: i64,
    number: u64,
}

/// Ranges of one volume.
#[derive(Clone, Debug, Default)]
pub struct Ranges {
    /// Starts in breadth-first order from place 1 on, and the ranges beside them.
    starts: Vec<u64>,
    ranges: Vec<Range>,
}

/// Extents of explicit ranges are numbered from here, apart from those of the layout's arithmetic.
const OWN: u64 = 1 << 32;

impl Ranges {
    /// From (start, blocks, node), sorted by start and without overlap.
    pub fn new(sorted: &[(u64, u64, i64)]) -> Self {
        let mut ranges =
            Ranges { starts: vec![0; sorted.len() + 1], ranges: vec![Range::default(); sorted.len() + 1] };
        let mut next = 0;
        ranges.fill(sorted, &mut next, 1);
        ranges
    }

    fn fill(&mut self, sorted: &[(u64, u64, i64)], next: &mut usize, at: usize) {
        if at > sorted.len() {
            return;
        }
        self.fill(sorted, next, 2 * at);
        let (from, blocks, node) = sorted[*next];
        self.starts[at] = from;
        self.ranges[at] = Range { from, end: from + blocks, node, number: OWN + *next as u64 };
        *next += 1;
        self.fill(sorted, next, 2 * at + 1);
    }

    /// The range that holds a block: start, end, node and number of the extent.
    pub fn find(&self, block: u64) -> Option<(u64, u64, i64, u64)> {
        let mut at = 1;
        while at < self.starts.len() {
            at = 2 * at + usize::from(self.starts[at] <= block);
        }
        // The last step to the right led past the greatest start that is not above the block.
        at >>= at.trailing_zeros() + 1;
        let range = self.ranges.get(at).filter(|range| at > 0 && block < range.end)?;
        Some((range.from, range.end, range.node, range.number))
    }

    /// The first start above a block.
    fn next_start(&self, block: u64) -> Option<u64> {
        let mut at = 1;
        while at < self.starts.len() {
            at = 2 * at + usize::from(self.starts[at] <= block);
        }
        at >>= (!at).trailing_zeros() + 1;
        (at > 0).then(|| self.starts[at])
    }
}

/// The index of one deployment.
#[derive(Debug)]
pub struct Index {
    own: HashMap<u32, Ranges>,
}

impl Index {
    pub fn new(deployment: &Deployment) -> Self {
        let mut lists: HashMap<u32, Vec<(u64, u64, i64)>> = HashMap::new();
        for one in &deployment.placements {
            lists.entry(one.volume).or_default().push((one.from, one.blocks, one.node));
        }
        Index { own: lists.into_iter().map(|(volume, list)| (volume, Ranges::new(&list))).collect() }
    }

    /// Where a block of a volume lies; none past the volume's end.
    pub fn place(&self, deployment: &Deployment, volume: u32, slba: u64) -> Option<Place> {
        let of = deployment.volumes.get(&volume).filter(|of| slba < of.size)?;
        let own = self.own.get(&volume);
        if let Some((_, end, node, extent)) = own.and_then(|ranges| ranges.find(slba)) {
            return Some(Place { block: node, extent, left: end - slba });
        }
        let (extent, block) = deployment.place(of, slba);
        let end = ((extent + 1) * deployment.extent_blocks).min(of.size);
        let end = own.and_then(|ranges| ranges.next_start(slba)).map_or(end, |next| end.min(next));
        Some(Place { block, extent, left: end - slba })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

        /// Against a plain look through all ranges.
        #[test]
        fn as_a_plain_list(gaps in proptest::collection::vec((0..5u64, 1..6u64), 0..70), asked in 0..600u64) {
            let (mut list, mut at) = (Vec::new(), 0);
            for (nth, (gap, blocks)) in gaps.iter().enumerate() {
                list.push((at + gap, *blocks, nth as i64));
                at += gap + blocks;
            }
            let ranges = Ranges::new(&list);
            let plain = list.iter().find(|(from, blocks, _)| (*from..from + blocks).contains(&asked));
            let found = ranges.find(asked).map(|(from, end, node, _)| (from, end - from, node));
            prop_assert_eq!(found, plain.copied());
            let next = list.iter().map(|(from, ..)| *from).find(|from| *from > asked);
            prop_assert_eq!(ranges.next_start(asked), next);
        }
    }
}
