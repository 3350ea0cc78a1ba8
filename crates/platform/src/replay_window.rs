//! The replay window of request ids. Every request has a new id, so a request with a known id is a repeat and is rejected.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

/// Largest number of ids of ended transactions in the window. Beyond it the oldest is removed.
pub const MAX_ENDED_IDS: usize = 16 << 10;

/// A request id, hashed with a random key of this process, so that a client cannot construct two ids that collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HashedId(u64);

/// The ids of open transactions, which are never removed, and of transactions that ended within the retention time.
#[derive(Default)]
pub struct ReplayWindow {
    hash_key: RandomState,
    known: HashSet<HashedId>,
    /// The ended transactions in the order of their ends, with the time of the end, seconds.
    ended: VecDeque<(f64, HashedId)>,
}

impl ReplayWindow {
    /// Adds the id of a new transaction; `None` if it is known. The id stays open until [`ReplayWindow::end`].
    pub fn open(&mut self, id: &str) -> Option<HashedId> {
        let hashed = HashedId(self.hash_key.hash_one(id));
        self.known.insert(hashed).then_some(hashed)
    }

    /// Records that the transaction of this id has ended. The id is removed after `retention` seconds, or sooner if there
    /// are more than [`MAX_ENDED_IDS`].
    pub fn end(&mut self, now: f64, id: HashedId, retention: f64) {
        self.ended.push_back((now, id));
        while self
            .ended
            .front()
            .is_some_and(|(ended_at, _)| now - ended_at > retention || self.ended.len() > MAX_ENDED_IDS)
        {
            if let Some((_, oldest)) = self.ended.pop_front() {
                self.known.remove(&oldest);
            }
        }
    }

    /// Number of ids in the window, as a measure of its memory.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
