//! The replay window of request ids: each is new with every request, so one that comes again is somebody else's.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Most ids remembered of transactions that are over; past that the oldest is let go.
pub const MOST: usize = 16 << 10;

/// An id, hashed with a key of this process, so that nobody can make two of them meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Seen(u64);

/// Ids of open transactions, which never go, and those of transactions that ended of late.
#[derive(Default)]
pub struct ReplayWindow {
    key: RandomState,
    known: HashSet<Seen>,
    ended: VecDeque<(f64, Seen)>,
}

impl ReplayWindow {
    /// Takes in the id of a new transaction; none where it is known. It is open until [`ReplayWindow::end`].
    pub fn open(&mut self, id: &str) -> Option<Seen> {
        let seen = Seen(self.key.hash_one(id));
        self.known.insert(seen).then_some(seen)
    }

    /// Its transaction is over: the id goes with age, after `keep` seconds, or by count.
    pub fn end(&mut self, now: f64, id: Seen, keep: f64) {
        self.ended.push_back((now, id));
        while self.ended.front().is_some_and(|(at, _)| now - at > keep || self.ended.len() > MOST) {
            if let Some((_, oldest)) = self.ended.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Ids held, for those who watch memory.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
