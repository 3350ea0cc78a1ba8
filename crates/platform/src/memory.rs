//! The memory that clients and nodes make the gateway hold: the bytes in use for each purpose, as metrics, and the bounds
//! on them. The sum of all kinds stays within what [`MemoryLimits`] derives from the limit of the process.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};

use quaypath_initiator::event_loop::Notify;
use serde::Serialize;

const PAGE_BYTES: usize = 4 << 10;
/// What the allocator adds to each allocation, bytes.
const ALLOCATION_HEADER_BYTES: usize = 16;
/// Pages of the program that are not resident yet when the gateway starts, and shared read buffers, bytes.
const PROGRAM_GROWTH_BYTES: usize = 1 << 20;
/// Share of the memory that is left for what the allocator does not reuse.
const ALLOCATOR_SHARE: f64 = 0.08;
/// Share of the memory for the volumes that the core keeps.
const VOLUME_SHARE: f64 = 0.06;
/// Share of the memory that client connections may use with small requests.
const CLIENT_SHARE: f64 = 0.5;
/// Share of the limit of the process for long bodies of requests, so that they leave room for heads and responses.
const REQUEST_BODY_SHARE: f64 = 0.25;
/// Share of the limit of the process for one response. The platform specification says 64 KiB, but nodes were seen to answer
/// reads with six times that.
const LONGEST_RESPONSE_SHARE: f64 = 0.05;

/// A volume that the core keeps, with its windows and its entries at nodes, bytes.
pub const VOLUME_BYTES: usize = 1 << 10;
/// A client connection without its buffers: its task and its registration with the reactor, bytes.
pub const CONNECTION_BYTES: usize = 4 << 10;
/// An open transaction without its request: its state in the core, its timers and the task of its attempt, bytes.
pub const TRANSACTION_BYTES: usize = 4 << 10;
/// A buffer of at most this capacity is small: there is room for it beside any number of long ones.
pub const SMALL_BYTES: usize = 2 << 10;
/// Small buffers for which each client connection, and each connection to a node, has room.
const SMALL_BUFFERS_PER_CLIENT: usize = 2;
const SMALL_BUFFERS_PER_NODE_CONNECTION: usize = 1;

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryKind {
    /// Client connections, without their buffers.
    Connection,
    /// Open transactions, without their requests.
    Transaction,
    /// Bytes of clients that are not decoded yet, and decoded heads whose body is still arriving.
    ReceiveBuffer,
    /// Heads of open transactions, as they are forwarded.
    RequestHead,
    /// Bodies of requests.
    RequestBody,
    /// Bytes of nodes that are not decoded yet.
    ResponseBuffer,
    /// Bodies of responses, until they are written to the client.
    ResponseBody,
}

impl MemoryKind {
    pub const ALL: [MemoryKind; 7] = [
        MemoryKind::Connection,
        MemoryKind::Transaction,
        MemoryKind::ReceiveBuffer,
        MemoryKind::RequestHead,
        MemoryKind::RequestBody,
        MemoryKind::ResponseBuffer,
        MemoryKind::ResponseBody,
    ];

    /// Its name in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            MemoryKind::Connection => "connections",
            MemoryKind::Transaction => "transactions",
            MemoryKind::ReceiveBuffer => "receive_buffers",
            MemoryKind::RequestHead => "request_heads",
            MemoryKind::RequestBody => "request_bodies",
            MemoryKind::ResponseBuffer => "response_buffers",
            MemoryKind::ResponseBody => "response_bodies",
        }
    }

    fn is_response(self) -> bool {
        matches!(self, MemoryKind::ResponseBuffer | MemoryKind::ResponseBody)
    }
}

/// The memory that an allocation of this capacity takes, bytes. With the settings of [`crate::allocator`] long allocations
/// have pages of their own.
pub fn allocated_bytes(capacity: usize) -> usize {
    match capacity {
        0 => 0,
        1..PAGE_BYTES => capacity + ALLOCATION_HEADER_BYTES,
        _ => (capacity + ALLOCATION_HEADER_BYTES).next_multiple_of(PAGE_BYTES),
    }
}

/// Resident memory of this process, bytes; 0 if the system does not report it.
pub fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

/// How much memory may be used for what, bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All kinds together.
    pub capacity: usize,
    /// The part of the capacity that only responses may use, so that what was accepted can be answered.
    pub response_reserve: usize,
    /// The part of the capacity that long buffers may not use, so that small requests and responses always have room.
    pub small_reserve: usize,
    /// Bodies of requests, while they are not small.
    pub max_request_bodies: usize,
    /// The longest body of one response.
    pub max_response_body: usize,
    /// Number of client connections for which there is memory, at most the number that was asked for.
    pub max_clients: usize,
    /// Number of volumes that the core may keep. Their memory is beside the capacity.
    pub max_volumes: usize,
}

impl MemoryLimits {
    /// The limits of a process that may use `process_bytes`, of which `resident_bytes` are in use at its start, with at most
    /// `max_clients` client connections and `max_node_connections` connections to nodes.
    pub fn new(
        process_bytes: f64, resident_bytes: usize, max_clients: usize, max_node_connections: usize,
    ) -> Self {
        let unused = (process_bytes as usize).saturating_sub(resident_bytes + PROGRAM_GROWTH_BYTES);
        let available = unused as f64 * (1.0 - ALLOCATOR_SHARE);
        let capacity = available * (1.0 - VOLUME_SHARE);
        let client_bytes = CONNECTION_BYTES + TRANSACTION_BYTES + SMALL_BUFFERS_PER_CLIENT * SMALL_BYTES;
        let max_clients = max_clients.min((capacity * CLIENT_SHARE) as usize / client_bytes);
        let max_response_body = (process_bytes * LONGEST_RESPONSE_SHARE) as usize;
        let small_buffers =
            max_clients * SMALL_BUFFERS_PER_CLIENT + max_node_connections * SMALL_BUFFERS_PER_NODE_CONNECTION;
        MemoryLimits {
            capacity: capacity as usize,
            response_reserve: max_response_body,
            small_reserve: small_buffers * SMALL_BYTES,
            max_request_bodies: (process_bytes * REQUEST_BODY_SHARE) as usize,
            max_response_body,
            max_clients,
            max_volumes: (available * VOLUME_SHARE) as usize / VOLUME_BYTES,
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
        permit.set(bytes);
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

    /// The bytes that are left for a buffer that has `bytes` in all.
    fn available(&self, kind: MemoryKind, bytes: usize) -> usize {
        let limits = &self.0.limits;
        let small = bytes <= allocated_bytes(SMALL_BYTES) || kind == MemoryKind::Transaction;
        let reserved = if kind.is_response() { 0 } else { limits.response_reserve }
            + if small { 0 } else { limits.small_reserve };
        let unreserved = limits.capacity.saturating_sub(reserved).saturating_sub(self.0.total.get().held);
        if kind == MemoryKind::RequestBody && !small {
            let bodies = self.0.kinds[kind as usize].get().held;
            return unreserved.min(limits.max_request_bodies.saturating_sub(bodies));
        }
        unreserved
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
    fn set(&mut self, bytes: usize) {
        let previous = std::mem::replace(&mut self.bytes, bytes);
        self.account.replace(self.kind, previous, bytes);
    }

    /// Counts exactly this many bytes from now on, if the limits leave them, and returns whether they do. A smaller number
    /// always fits.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let fits = more == 0 || more <= self.account.available(self.kind, bytes);
        if fits {
            self.set(bytes);
        } else {
            self.account.0.refused.set(self.account.0.refused.get() + 1);
        }
        fits
    }

    /// Releases all bytes.
    pub fn release(&mut self) {
        self.set(0);
    }
}

impl Drop for MemoryPermit {
    fn drop(&mut self) {
        self.release();
    }
}
