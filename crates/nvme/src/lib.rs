//! The project's subset of NVMe over TCP, without I/O: bytes in, bytes and events out.
//!
//! Sources: NVM Express NVMe/TCP Transport Specification (PDU layouts, connection establishment, data
//! transfer), NVM Express Base Specification (queue entries, Fabrics Connect, Abort, status codes) and NVM
//! Command Set Specification (Read, Write, Flush). `docs/protocol.md` lists what is left out and what rides in
//! vendor-specific places.

pub mod admin;
pub mod association;
pub mod command;
pub mod controller;
pub mod enable;
pub mod host;
pub mod pdu;
pub mod status;

/// Bytes of a logical block; the subset knows one format.
pub const BLOCK_SIZE: usize = 512;
/// Longest data of one command, in bytes. Bounds every buffer that a peer can make this end hold.
pub const MAX_DATA: usize = 1 << 20;
/// Data that a command capsule carries itself; longer writes wait for R2T. The transport lets every controller
/// take this much on the admin queue; both ends of this project take it on I/O queues as well.
pub const IN_CAPSULE: usize = 8192;
/// Longest H2CData payload that the controller asks for (MAXH2CDATA).
pub const MAX_H2C: usize = 128 * 1024;
/// Entries of an I/O queue, and so commands that one connection can have out.
pub const QUEUE_SIZE: u16 = 128;
