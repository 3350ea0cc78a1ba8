//! The bounds on memory, which follow from the limit of the process and from what is in use at its start.

use super::{CONNECTION_BYTES, SMALL_BYTES, TRANSACTION_BYTES, VOLUME_BYTES};

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
/// Small buffers for which each client connection, and each connection to a node, has room.
const SMALL_BUFFERS_PER_CLIENT: usize = 2;
const SMALL_BUFFERS_PER_NODE_CONNECTION: usize = 1;
/// Share of the capacity that node lists may keep for themselves.
const MAX_LIST_SHARE: f64 = 0.5;

/// Memory for what the operators cause, bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ControlMemory {
    /// What is kept for the nodes that are known at the start.
    pub nodes: usize,
    /// What new node lists take while they are read.
    pub lists: usize,
    /// What a new configuration takes while it is read.
    pub configuration: usize,
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
    /// The part of the capacity that only node lists may use while they are read, so that clients cannot keep the gateway
    /// from them. It grows with the lists that are seen, up to `max_list_reserve`.
    pub list_reserve: usize,
    pub max_list_reserve: usize,
    /// The part of the capacity that only a new configuration may use while it is read.
    pub configuration_reserve: usize,
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
    /// `max_clients` client connections and `max_node_connections` connections to nodes. What `control` says is taken from
    /// the capacity before the share of the clients.
    pub fn new(
        process_bytes: f64, resident_bytes: usize, max_clients: usize, max_node_connections: usize,
        control: ControlMemory,
    ) -> Self {
        let unused = (process_bytes as usize).saturating_sub(resident_bytes + PROGRAM_GROWTH_BYTES);
        let available = unused as f64 * (1.0 - ALLOCATOR_SHARE);
        let capacity = available * (1.0 - VOLUME_SHARE);
        let client_bytes = CONNECTION_BYTES + TRANSACTION_BYTES + SMALL_BUFFERS_PER_CLIENT * SMALL_BYTES;
        let max_list_reserve = (capacity * MAX_LIST_SHARE) as usize;
        let list_reserve = control.lists.min(max_list_reserve);
        let shared = (capacity as usize).saturating_sub(control.nodes + list_reserve + control.configuration);
        let max_clients = max_clients.min((shared as f64 * CLIENT_SHARE) as usize / client_bytes);
        let max_response_body = (process_bytes * LONGEST_RESPONSE_SHARE) as usize;
        let small_buffers =
            max_clients * SMALL_BUFFERS_PER_CLIENT + max_node_connections * SMALL_BUFFERS_PER_NODE_CONNECTION;
        MemoryLimits {
            capacity: capacity as usize,
            response_reserve: max_response_body,
            small_reserve: small_buffers * SMALL_BYTES + max_clients * TRANSACTION_BYTES,
            list_reserve,
            max_list_reserve,
            configuration_reserve: control.configuration,
            max_request_bodies: (process_bytes * REQUEST_BODY_SHARE) as usize,
            max_response_body,
            max_clients,
            max_volumes: (available * VOLUME_SHARE) as usize / VOLUME_BYTES,
        }
    }
}
