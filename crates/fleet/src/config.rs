//! What a member is started with.

use crate::{message, MemberId};

/// Most members of a fleet.
pub const MAX_MEMBERS: usize = 1024;

/// One row of the list of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MemberEntry {
    pub member: MemberId,
    /// Part of the duties, relative to others.
    pub weight: u8,
}

/// Times in seconds.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub own_id: MemberId,
    /// Told apart from others by its name.
    pub fleet: u64,
    /// Every member that there may be, this one among them; what is not of it is not talked to.
    pub members: Vec<MemberEntry>,
    /// One check a period.
    pub check_period: f64,
    /// How long a check waits for its answer before others are asked to check.
    pub ack_timeout: f64,
    /// How many are asked.
    pub helpers: usize,
    /// How often each duty is done.
    pub duty_interval: f64,
    /// How long two members may both do a duty: half of it is the time that a member which is new or had no turn
    /// looks on before it does any.
    pub takeover_window: f64,
    /// A safeguard taken away, for tests of the tests only.
    pub disabled_safeguard: Option<Safeguard>,
}

impl FleetConfig {
    /// A fleet of so many members of one weight.
    pub fn uniform(fleet: &str, me: u16, members: u16) -> FleetConfig {
        let row = |number| MemberEntry { member: MemberId(number), weight: 1 };
        FleetConfig {
            own_id: MemberId(me),
            fleet: message::fleet_hash(fleet),
            members: (0..members).map(row).collect(),
            check_period: 0.5,
            ack_timeout: 0.2,
            helpers: 3,
            duty_interval: 2.0,
            takeover_window: 5.0,
            disabled_safeguard: None,
        }
    }
}

/// How long after the last fault near two members each holds of the other what is so, seconds, by the period and the
/// size of the fleet: a member is checked, suspected for the longest time and told of; or, where it was held dead
/// wrongly, found again by pages to those that are missing.
pub fn convergence_time(period: f64, members: usize) -> f64 {
    period * (22.0 + 6.0 * (members.max(2) as f64).log2())
}

/// Most that a member sends, bytes a second, whatever the size of the fleet: a check and its helpers each period, as
/// many for others four times over, two pages each period with answers to as many, and signals.
pub fn max_bytes_per_second(period: f64, helpers: usize) -> f64 {
    let checks = 5.0 * (1.0 + 2.0 * helpers as f64);
    (checks + 8.0) * message::MAX_DATAGRAM_BYTES as f64 / period + crate::signal::MAX_BYTES_PER_SECOND
}

/// What keeps a promise of the fleet, and can be taken away to see that a test notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A incarnation above the last one known of its name.
    Incarnation,
    /// A suspicion is answered with a higher refutation.
    Refutation,
    /// A process that had no turn judges nobody by what it missed.
    Turn,
    /// A datagram of another version is dropped.
    Version,
    /// A member that is new or had no turn looks on before it does duties.
    Window,
    /// A duty that another with the better claim does is left to it.
    Yield,
    /// Others are asked to check before a member is suspected.
    Helpers,
    /// A datagram that came before is dropped.
    Repeats,
    /// Of two processes under one name the one that started first keeps out.
    Twins,
}
