//! The account of the memory in use: permits, and responses that wait for memory.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};

use quaypath_initiator::event_loop::Notify;
use serde::Serialize;

use super::{allocated_bytes, MemoryKind, MemoryLimits, SMALL_BYTES, TRANSACTION_BYTES};

/// Bytes in use now, and the most since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemoryUse {
    pub held: usize,
    pub peak: usize,
}

impl MemoryUse {
    fn replace(&mut self, previous: usize, next: usize) {
        self.held = self.held - previous + next;
        self.peak = self.peak.max(self.held);
    }
}

/// Bytes in use by kind and in total.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemorySummary {
    /// The most that may be in use in total.
    pub capacity: usize,
    /// Requests and buffers for which there was no memory since the start.
    pub refused: u64,
    /// Responses that waited for memory since the start.
    pub waited: u64,
    pub total: MemoryUse,
    #[serde(flatten)]
    pub kinds: BTreeMap<&'static str, MemoryUse>,
}

/// A response that waits for memory.
struct Waiter {
    bytes: usize,
    permit: Cell<Option<MemoryPermit>>,
    granted: Notify,
}

struct Ledger {
    limits: MemoryLimits,
    total: Cell<MemoryUse>,
    kinds: [Cell<MemoryUse>; MemoryKind::ALL.len()],
    /// The part of the capacity that is kept for node lists, used or not.
    list_reserve: Cell<usize>,
    /// Responses that wait for memory, in the order in which they get it.
    waiters: RefCell<VecDeque<Weak<Waiter>>>,
    refused: Cell<u64>,
    waited: Cell<u64>,
}

/// The memory of one gateway. Clones share the same account.
#[derive(Clone)]
pub struct MemoryAccount(Rc<Ledger>);

impl MemoryAccount {
    pub fn new(limits: MemoryLimits) -> Self {
        MemoryAccount(Rc::new(Ledger {
            list_reserve: Cell::new(limits.list_reserve),
            limits,
            total: Cell::default(),
            kinds: Default::default(),
            waiters: RefCell::default(),
            refused: Cell::default(),
            waited: Cell::default(),
        }))
    }

    pub fn limits(&self) -> &MemoryLimits {
        &self.0.limits
    }

    /// Counts this many bytes as used, even beyond the capacity. For memory whose amount has another bound.
    pub fn hold(&self, kind: MemoryKind, bytes: usize) -> MemoryPermit {
        let mut permit = MemoryPermit { account: self.clone(), kind, bytes: 0 };
        permit.resize(bytes);
        permit
    }

    /// Reserves this many bytes; `None` if the limits do not leave them.
    pub fn try_hold(&self, kind: MemoryKind, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.hold(kind, 0);
        permit.try_resize(bytes).then_some(permit)
    }

    /// Reserves this many bytes for the body of a response, and waits for them if need be. Waiting responses get memory in the
    /// order in which they began to wait.
    pub async fn hold_response(&self, bytes: usize) -> MemoryPermit {
        let waits = !self.0.waiters.borrow().is_empty();
        if !waits && bytes <= self.available(MemoryKind::ResponseBody, bytes) {
            return self.hold(MemoryKind::ResponseBody, bytes);
        }
        self.0.waited.set(self.0.waited.get() + 1);
        let waiter = Rc::new(Waiter { bytes, permit: Cell::default(), granted: Notify::default() });
        self.0.waiters.borrow_mut().push_back(Rc::downgrade(&waiter));
        loop {
            waiter.granted.wait().await;
            if let Some(permit) = waiter.permit.take() {
                return permit;
            }
        }
    }

    /// Whether the limits leave this many bytes for something that stays, beside a transaction for each client.
    pub fn has_room_beside_transactions(&self, bytes: usize) -> bool {
        let needed = bytes + self.0.limits.max_clients * TRANSACTION_BYTES;
        needed <= self.available(MemoryKind::Transaction, bytes)
    }

    /// Keeps room for node lists that take this many bytes together, as far as the limits allow. What clients hold meanwhile
    /// goes within the time that a request may take to arrive or a response to be read.
    pub fn raise_list_reserve(&self, bytes: usize) {
        let raised = bytes.min(self.0.limits.max_list_reserve);
        self.0.list_reserve.set(self.0.list_reserve.get().max(raised));
    }

    /// The bytes that are left for a buffer that has `bytes` in all.
    fn available(&self, kind: MemoryKind, bytes: usize) -> usize {
        let limits = &self.0.limits;
        let unused = limits.capacity.saturating_sub(self.0.total.get().held);
        let for_configuration =
            limits.configuration_reserve.saturating_sub(self.held(MemoryKind::Configuration));
        let for_lists = self.0.list_reserve.get().saturating_sub(self.held(MemoryKind::Discovery));
        match kind {
            MemoryKind::Configuration => return unused,
            MemoryKind::Node | MemoryKind::Discovery => return unused.saturating_sub(for_configuration),
            _ => {}
        }
        let small = bytes <= allocated_bytes(SMALL_BYTES)
            || matches!(kind, MemoryKind::Transaction | MemoryKind::RequestId);
        let reserved = if kind.is_response() { 0 } else { limits.response_reserve }
            + if small { 0 } else { limits.small_reserve }
            + for_configuration
            + for_lists;
        let unreserved = unused.saturating_sub(reserved);
        if kind == MemoryKind::RequestBody && !small {
            let bodies = self.held(kind);
            return unreserved.min(limits.max_request_bodies.saturating_sub(bodies));
        }
        unreserved
    }

    fn held(&self, kind: MemoryKind) -> usize {
        self.0.kinds[kind as usize].get().held
    }

    fn replace(&self, kind: MemoryKind, previous: usize, next: usize) {
        for cell in [&self.0.total, &self.0.kinds[kind as usize]] {
            let mut memory_use = cell.get();
            memory_use.replace(previous, next);
            cell.set(memory_use);
        }
        if next < previous {
            self.grant_waiters();
        }
    }

    /// Gives released memory to the responses that wait for it.
    fn grant_waiters(&self) {
        loop {
            let first = self.0.waiters.borrow().front().map(Weak::upgrade);
            match first {
                // It gave up waiting.
                Some(None) => {}
                Some(Some(waiter))
                    if waiter.bytes <= self.available(MemoryKind::ResponseBody, waiter.bytes) =>
                {
                    waiter.permit.set(Some(self.hold(MemoryKind::ResponseBody, waiter.bytes)));
                    waiter.granted.notify();
                }
                _ => return,
            }
            self.0.waiters.borrow_mut().pop_front();
        }
    }

    /// The bytes in use. The peaks begin anew.
    pub fn take_summary(&self) -> MemorySummary {
        let take = |cell: &Cell<MemoryUse>| {
            let taken = cell.get();
            cell.set(MemoryUse { held: taken.held, peak: taken.held });
            taken
        };
        let kinds = MemoryKind::ALL.iter().map(|kind| (kind.name(), take(&self.0.kinds[*kind as usize])));
        MemorySummary {
            capacity: self.0.limits.capacity,
            refused: self.0.refused.get(),
            waited: self.0.waited.get(),
            kinds: kinds.collect(),
            total: take(&self.0.total),
        }
    }
}

/// Bytes of one kind, which count as used until this is dropped.
pub struct MemoryPermit {
    account: MemoryAccount,
    kind: MemoryKind,
    bytes: usize,
}

impl MemoryPermit {
    /// Counts exactly this many bytes from now on, even beyond the capacity.
    pub fn resize(&mut self, bytes: usize) {
        let previous = std::mem::replace(&mut self.bytes, bytes);
        self.account.replace(self.kind, previous, bytes);
    }

    /// The account that it belongs to.
    pub fn account(&self) -> &MemoryAccount {
        &self.account
    }

    /// Counts exactly this many bytes from now on, if the limits leave them, and returns whether they do. A smaller number
    /// always fits.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = more == 0 || more <= self.account.available(self.kind, bytes);
        if fits {
            self.resize(bytes);
        } else {
            self.account.0.refused.set(self.account.0.refused.get() + 1);
        }
        fits
    }

    /// Releases all bytes.
    pub fn release(&mut self) {
        self.resize(0);
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.release();
    }
}
