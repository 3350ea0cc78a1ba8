//! The replay window of request ids. Every request has a new id, so a request with a known id is a repeat and is rejected.

use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;

use thiserror::Error;

use crate::memory::{MemoryAccount, MemoryKind, MemoryPermit};

/// Memory of an id: its entries in the set and in the queue of the ended ones, both of which grow by doubling, bytes.
pub const ID_BYTES: usize = 64;
/// The set and the queue shrink when they have room for this many times what they hold.
const SHRINK_FACTOR: usize = 8;
/// The room that they keep.
const MIN_CAPACITY: usize = 1 << 10;

/// A request id, hashed with a random key of this process, so that a client cannot construct two ids that collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HashedId(u64);

/// The reason why an id is not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum OpenError {
    #[error("X-Request-ID is another request's")]
    Known,
    #[error("no room for another request id")]
    NoMemory,
}

/// The ids of open transactions, and of transactions that may have run and ended within the retention time. No id is removed
/// sooner: when there is no memory for another one, it is not added.
pub struct ReplayWindow {
    hash_key: RandomState,
    known: HashSet<HashedId>,
    /// The ended transactions in the order of their ends, with the time of the end, seconds.
    ended: VecDeque<(f64, HashedId)>,
    /// How long an id is known after the end of its transaction, seconds.
    retention: f64,
    memory: MemoryPermit,
}

impl ReplayWindow {
    /// A window in which ids are known for `retention` seconds after the end of their transaction.
    pub fn new(retention: f64, account: &MemoryAccount) -> Self {
        ReplayWindow {
            hash_key: RandomState::new(),
            known: HashSet::new(),
            ended: VecDeque::new(),
            retention,
            memory: account.hold(MemoryKind::RequestId, 0),
        }
    }

    /// Adds the id of a new transaction. The id stays open until [`ReplayWindow::end`].
    pub fn open(&mut self, now: f64, id: &str) -> Result<HashedId, OpenError> {
        self.remove_old(now);
        let hashed = HashedId(self.hash_key.hash_one(id));
        if self.known.contains(&hashed) {
            return Err(OpenError::Known);
        }
        if !self.memory.try_resize((self.known.len() + 1) * ID_BYTES) {
            return Err(OpenError::NoMemory);
        }
        self.known.insert(hashed);
        Ok(hashed)
    }

    /// Records that the transaction of this id has ended. If it cannot have run, the id may be used again.
    pub fn end(&mut self, now: f64, id: HashedId, may_have_run: bool) {
        if may_have_run {
            self.ended.push_back((now, id));
        } else {
            self.known.remove(&id);
        }
        self.remove_old(now);
    }

    /// Removes the ids whose retention time is over.
    fn remove_old(&mut self, now: f64) {
        while self.ended.front().is_some_and(|(ended_at, _)| now - ended_at > self.retention) {
            if let Some((_, oldest)) = self.ended.pop_front() {
                self.known.remove(&oldest);
            }
        }
        if self.known.capacity() > MIN_CAPACITY.max(SHRINK_FACTOR * self.known.len()) {
            self.known.shrink_to(MIN_CAPACITY);
            self.ended.shrink_to(MIN_CAPACITY);
        }
        self.memory.resize(self.known.len() * ID_BYTES);
    }

    /// Number of ids in the window.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
