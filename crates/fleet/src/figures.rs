//! What a member is started with.

use crate::{message, MemberId};

/// Most members of a fleet.
pub const MOST_MEMBERS: usize = 1024;

/// One row of the list of members.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    pub member: MemberId,
    /// Part of the duties, relative to others.
    pub weight: u8,
}

/// Times in seconds.
#[derive(Clone, Debug)]
pub struct Figures {
    pub me: MemberId,
    /// Told apart from others by its name.
    pub fleet: u64,
    /// Every member that there may be, this one among them; what is not of it is not talked to.
    pub members: Vec<Row>,
    /// One check a period.
    pub period: f64,
    /// How long a check waits for its answer before others are asked to check.
    pub wait: f64,
    /// How many are asked.
    pub helpers: usize,
    /// How often each duty is done.
    pub every: f64,
    /// How long two members may both do a duty: half of it is the time that a member which is new or had no turn
    /// looks on before it does any.
    pub window: f64,
    /// A safeguard taken away, for tests of the tests only.
    pub without: Option<Safeguard>,
}

impl Figures {
    /// A fleet of so many members of one weight.
    pub fn of(fleet: &str, me: u16, members: u16) -> Figures {
        let row = |number| Row { member: MemberId(number), weight: 1 };
        Figures {
            me: MemberId(me),
            fleet: message::fleet(fleet),
            members: (0..members).map(row).collect(),
            period: 0.5,
            wait: 0.2,
            helpers: 3,
            every: 2.0,
            window: 5.0,
            without: None,
        }
    }
}

/// How long after the last fault near two members each holds of the other what is so, seconds, by the period and the
/// size of the fleet: a member is checked, suspected for the longest time and told of; or, where it was held dead
/// wrongly, found again by pages to those that are missing.
pub fn settles(period: f64, members: usize) -> f64 {
    period * (22.0 + 6.0 * (members.max(2) as f64).log2())
}

/// Most that a member sends, bytes a second, whatever the size of the fleet: a check and its helpers each period, as
/// many for others four times over, two pages each period with answers to as many, and signals.
pub fn most_bytes(period: f64, helpers: usize) -> f64 {
    let checks = 5.0 * (1.0 + 2.0 * helpers as f64);
    (checks + 8.0) * message::LONGEST as f64 / period + crate::signal::MOST_BYTES
}

/// What keeps a promise of the fleet, and can be taken away to see that a test notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Safeguard {
    /// A life above the last one known of its name.
    Incarnation,
    /// A suspicion is answered with a higher incarnation.
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
