//! The memory that clients, nodes, discovery and new configurations make the gateway hold: the bytes in use for each purpose,
//! as metrics, and the bounds on them. The sum of all kinds stays within what [`MemoryLimits`] derives from the limit of the
//! process.

mod account;
mod limits;

pub use account::{MemoryAccount, MemoryPermit, MemorySummary, MemoryUse};
pub use limits::{ControlMemory, MemoryLimits};

const PAGE_BYTES: usize = 4 << 10;
/// What the allocator adds to each allocation, bytes.
const ALLOCATION_HEADER_BYTES: usize = 16;
/// The least that an allocation takes, bytes.
const MIN_ALLOCATION_BYTES: usize = 32;

/// A volume that the core keeps, with its windows and its entries at nodes, bytes.
pub const VOLUME_BYTES: usize = 1 << 10;
/// A client connection without its buffers: its task and its registration with the reactor, bytes.
pub const CONNECTION_BYTES: usize = 4 << 10;
/// An open transaction without its request: its state in the core, its timers and the task of its attempt, bytes.
pub const TRANSACTION_BYTES: usize = 4 << 10;
/// A buffer of at most this capacity is small: there is room for it beside any number of long ones.
pub const SMALL_BYTES: usize = 2 << 10;

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
    /// Ids of requests that are known for a while.
    RequestId,
    /// What is kept for each node that discovery lists or that transactions name.
    Node,
    /// Node lists that are being received and applied.
    Discovery,
    /// A configuration that is being read again.
    Configuration,
}

impl MemoryKind {
    pub const ALL: [MemoryKind; 11] = [
        MemoryKind::Connection,
        MemoryKind::Transaction,
        MemoryKind::ReceiveBuffer,
        MemoryKind::RequestHead,
        MemoryKind::RequestBody,
        MemoryKind::ResponseBuffer,
        MemoryKind::ResponseBody,
        MemoryKind::RequestId,
        MemoryKind::Node,
        MemoryKind::Discovery,
        MemoryKind::Configuration,
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
            MemoryKind::RequestId => "request_ids",
            MemoryKind::Node => "nodes",
            MemoryKind::Discovery => "discovery",
            MemoryKind::Configuration => "configuration",
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
        1..PAGE_BYTES => (capacity + ALLOCATION_HEADER_BYTES).max(MIN_ALLOCATION_BYTES),
        _ => (capacity + ALLOCATION_HEADER_BYTES).next_multiple_of(PAGE_BYTES),
    }
}

/// Resident memory of this process, bytes; 0 if the system does not report it.
pub fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    pages.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}
