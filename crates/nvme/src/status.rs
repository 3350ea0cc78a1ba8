//! Status field values: status code type in bits 8 to 10, code in 0 to 7, CRD in 11 and 12, DNR in bit 14.

/// Do not retry.
pub const DNR: u16 = 1 << 14;
/// Command retry delay, first index.
pub const CRD1: u16 = 1 << 11;

pub const SUCCESS: u16 = 0x000;
pub const INVALID_OPCODE: u16 = 0x001;
pub const INVALID_FIELD: u16 = 0x002;
pub const DATA_TRANSFER_ERROR: u16 = 0x004;
pub const INTERNAL_ERROR: u16 = 0x006;
/// Command ID Conflict.
pub const ID_CONFLICT: u16 = 0x003;
pub const ABORTED_BY_REQUEST: u16 = 0x007;
pub const ABORTED_QUEUE_DELETED: u16 = 0x008;
pub const INVALID_NAMESPACE: u16 = 0x00b;
pub const COMMAND_SEQUENCE: u16 = 0x00c;
/// Commands of a SGL that the subset does not take.
pub const SGL_TYPE: u16 = 0x011;
/// Keep alive time-out is not one that the controller takes.
pub const KEEP_ALIVE_INVALID: u16 = 0x019;
/// Data's digest did not match: the transport failed, the command may be tried again.
pub const TRANSPORT_ERROR: u16 = 0x022;
/// LBA Out of Range.
pub const LBA_RANGE: u16 = 0x080;
/// Command Interrupted: the controller could not run it now, nothing was done, the host should try again.
pub const INTERRUPTED: u16 = 0x021;
pub const NAMESPACE_NOT_READY: u16 = 0x082;
/// Command specific: Connect Invalid Parameters.
pub const CONNECT_INVALID: u16 = 0x182;
/// Command specific: Invalid Log Page.
pub const INVALID_LOG: u16 = 0x109;
/// Command specific: Asynchronous Event Request Limit Exceeded.
pub const EVENT_LIMIT: u16 = 0x105;
/// Command specific: Connect Controller Busy.
pub const CONNECT_BUSY: u16 = 0x181;
/// Command specific: Connect Invalid Host.
pub const CONNECT_INVALID_HOST: u16 = 0x184;
/// Media: Compare Failure.
pub const COMPARE_FAILURE: u16 = 0x285;
/// Path related: Asymmetric Access Inaccessible.
pub const ANA_INACCESSIBLE: u16 = 0x302;
/// Command specific, Abort: abort limit exceeded.
pub const ABORT_LIMIT: u16 = 0x103;
/// Vendor specific: turned away unseen, the queue is full. Never began.
pub const FULL: u16 = 0x701;
/// Vendor specific: turned away unseen, the node drains. Never began.
pub const DRAINING: u16 = 0x702;

/// Status code type and code, without retry delay, more and do-not-retry.
pub fn code(status: u16) -> u16 {
    status & 0x7ff
}
