//! Accounting of the memory that clients and nodes make the gateway hold: the bytes in use for each purpose, as metrics,
//! and limits on them.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

use serde::Serialize;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Bytes of clients that are not decoded yet, and decoded heads whose body is still arriving.
    ReceiveBuffer,
    /// Heads of open transactions, as they are forwarded.
    RequestHead,
    /// Bodies of requests.
    RequestBody,
    /// Bodies of responses, until they are written to the client.
    ResponseBody,
    /// Bytes of nodes that are not decoded yet.
    ResponseBuffer,
}

impl MemoryKind {
    pub const ALL: [MemoryKind; 5] = [
        MemoryKind::ReceiveBuffer,
        MemoryKind::RequestHead,
        MemoryKind::RequestBody,
        MemoryKind::ResponseBody,
        MemoryKind::ResponseBuffer,
    ];

    /// Its name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryKind::ReceiveBuffer => "receive_buffers",
            MemoryKind::RequestHead => "request_heads",
            MemoryKind::RequestBody => "request_bodies",
            MemoryKind::ResponseBody => "response_bodies",
            MemoryKind::ResponseBuffer => "response_buffers",
        }
    }
}

/// Bytes in use now, and the most since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemoryUse {
    pub held: usize,
    pub peak: usize,
}

impl MemoryUse {
    fn add(&mut self, bytes: usize) {
        self.held += bytes;
        self.peak = self.peak.max(self.held);
    }

    fn remove(&mut self, bytes: usize) {
        self.held -= bytes;
    }
}

/// Bytes in use by kind and in total.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemorySummary {
    pub total: MemoryUse,
    #[serde(flatten)]
    pub kinds: BTreeMap<&'static str, MemoryUse>,
}

#[derive(Default)]
struct Ledger {
    total: Cell<MemoryUse>,
    kinds: [Cell<MemoryUse>; MemoryKind::ALL.len()],
    limits: [Option<usize>; MemoryKind::ALL.len()],
}

/// The memory of one gateway. Clones share the same account.
#[derive(Clone, Default)]
pub struct MemoryAccount(Rc<Ledger>);

impl MemoryAccount {
    /// An account with a limit in bytes for some of the kinds.
    pub fn with_limits(limits: &[(MemoryKind, usize)]) -> Self {
        let mut ledger = Ledger::default();
        for (kind, limit) in limits {
            ledger.limits[*kind as usize] = Some(*limit);
        }
        MemoryAccount(Rc::new(ledger))
    }

    /// Counts this many bytes as used, even beyond the limit.
    pub fn hold(&self, kind: MemoryKind, bytes: usize) -> MemoryPermit {
        let mut permit = MemoryPermit { account: self.clone(), kind, bytes: 0 };
        permit.resize(bytes);
        permit
    }

    /// Reserves this many bytes; `None` if the limit does not leave them.
    pub fn try_hold(&self, kind: MemoryKind, bytes: usize) -> Option<MemoryPermit> {
        let mut permit = self.hold(kind, 0);
        permit.try_grow(bytes).then_some(permit)
    }

    fn available(&self, kind: MemoryKind) -> usize {
        let held = self.0.kinds[kind as usize].get().held;
        self.0.limits[kind as usize].map_or(usize::MAX, |limit| limit.saturating_sub(held))
    }

    fn update(&self, kind: MemoryKind, change: impl Fn(&mut MemoryUse)) {
        for cell in [&self.0.total, &self.0.kinds[kind as usize]] {
            let mut memory_use = cell.get();
            change(&mut memory_use);
            cell.set(memory_use);
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
        MemorySummary { kinds: kinds.collect(), total: take(&self.0.total) }
    }
}

/// Bytes of one kind, which count as used until this is dropped.
pub struct MemoryPermit {
    account: MemoryAccount,
    kind: MemoryKind,
    bytes: usize,
}

impl MemoryPermit {
    /// Counts exactly this many bytes from now on, even beyond the limit.
    pub fn resize(&mut self, bytes: usize) {
        let previous = std::mem::replace(&mut self.bytes, bytes);
        self.account.update(self.kind, |memory_use| {
            memory_use.remove(previous);
            memory_use.add(bytes);
        });
    }

    /// Adds this many bytes if the limit leaves them, and returns whether it does.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let fits = bytes <= self.account.available(self.kind);
        if fits {
            self.resize(self.bytes + bytes);
        }
        fits
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.resize(0);
    }
}
