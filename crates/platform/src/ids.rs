//! Request ids of late: each is new with every request, so one that comes again is somebody else's.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Most ids remembered; past that the oldest is let go.
const MOST: usize = 16 << 10;

/// Hashes with a key of this process, so that nobody can make two ids meet.
#[derive(Default)]
pub struct Ids {
    key: RandomState,
    known: HashSet<u64>,
    order: VecDeque<(f64, u64)>,
}

impl Ids {
    /// Whether the id is new among those of the last `keep` seconds; it is known from here on.
    pub fn fresh(&mut self, now: f64, id: &str, keep: f64) -> bool {
        while self.order.front().is_some_and(|(at, _)| now - at > keep || self.order.len() >= MOST) {
            let (_, oldest) = self.order.pop_front().unwrap_or_default();
            self.known.remove(&oldest);
        }
        let hash = self.key.hash_one(id);
        let fresh = self.known.insert(hash);
        if fresh {
            self.order.push_back((now, hash));
        }
        fresh
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a second copy of an open transaction under the same id, and against ids kept for ever.
    #[test]
    fn an_id_is_known_for_its_time() {
        let mut ids = Ids::default();
        assert!(ids.fresh(1.0, "one", 5.0));
        assert!(!ids.fresh(5.9, "one", 5.0));
        assert!(ids.fresh(6.1, "one", 5.0));
        (0..2 * MOST).for_each(|at| assert!(ids.fresh(7.0, &at.to_string(), 5.0)));
        assert!(ids.order.len() <= MOST && ids.known.len() <= MOST);
    }
}
