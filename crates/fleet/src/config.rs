//! Configuration of a fleet member, and the bounds that follow from it.

use crate::{message, MemberId};

/// Maximum number of members of a fleet.
pub const MAX_MEMBERS: usize = 1024;

/// One entry of the list of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberEntry {
    pub member: MemberId,
    /// Share of the duties that the member takes, relative to the weights of the others.
    pub weight: u8,
}

/// What a member is started with. Times are in seconds.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of this member.
    pub own_id: MemberId,
    /// Hash of the fleet's name ([`message::fleet_hash`]); datagrams of other fleets are dropped.
    pub fleet: u64,
    /// All members that the fleet may have, including this one. Datagrams of other senders are dropped.
    pub members: Vec<MemberEntry>,
    /// Time between two liveness checks; each check is of one member.
    pub check_period: f64,
    /// How long a check waits for its answer before helpers are asked to check.
    pub ack_timeout: f64,
    /// Number of helpers that are asked.
    pub helpers: usize,
    /// Time between two runs of each duty.
    pub duty_interval: f64,
    /// How long two members may both run a duty. A member that is new or was stalled waits for half of this time before
    /// it runs duties.
    pub takeover_window: f64,
    /// Safeguard that is disabled, to show that a test notices its absence.
    pub disabled_safeguard: Option<Safeguard>,
}

impl FleetConfig {
    /// Configuration of member `me` in a fleet of `members` members of equal weight.
    pub fn uniform(fleet: &str, me: u16, members: u16) -> FleetConfig {
        let entry = |number| MemberEntry { member: MemberId(number), weight: 1 };
        FleetConfig {
            own_id: MemberId(me),
            fleet: message::fleet_hash(fleet),
            members: (0..members).map(entry).collect(),
            check_period: 0.5,
            ack_timeout: 0.2,
            helpers: 3,
            duty_interval: 2.0,
            takeover_window: 5.0,
            disabled_safeguard: None,
        }
    }
}

/// Seconds after the last fault near two members within which each records the true status of the other, for a check
/// period and a fleet size. Within this time a member is checked, is suspected for the longest time, and the result
/// spreads; or a member that was wrongly recorded as dead is found again by the pages sent to missing members.
pub fn convergence_time(check_period: f64, members: usize) -> f64 {
    check_period * (22.0 + 6.0 * (members.max(2) as f64).log2())
}

/// Maximum bytes per second that a member sends, whatever the size of the fleet: a check and its helpers in each
/// period, four times as many datagrams for the checks of other members, two pages in each period with answers to as
/// many, and signals.
pub fn max_bytes_per_second(check_period: f64, helpers: usize) -> f64 {
    let checks = 5.0 * (1.0 + 2.0 * helpers as f64);
    (checks + 8.0) * message::MAX_DATAGRAM_BYTES as f64 / check_period + crate::signal::MAX_BYTES_PER_SECOND
}

/// A mechanism that one of the fleet's guarantees depends on. Each can be disabled to show that a test notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A process starts with an incarnation above the last one known of its member.
    Incarnation,
    /// A member refutes a suspicion of itself with a higher refutation number.
    Refutation,
    /// A process that was stalled suspects no member because of datagrams that it missed meanwhile.
    StallDetection,
    /// A datagram of another version is dropped.
    Version,
    /// A member that is new or was stalled waits before it runs duties.
    TakeoverWindow,
    /// A duty is left to a member with a better claim that runs it.
    Yield,
    /// Helpers are asked to check a member before it is suspected.
    Helpers,
    /// A datagram that was received before is dropped.
    DuplicateDatagrams,
    /// Of two processes under one member number, the one that started first takes no part in the fleet.
    DuplicateProcess,
}
