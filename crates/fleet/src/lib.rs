//! What the processes of a fleet agree upon, without I/O: who is in it, which nodes each one uses, who does what is
//! to be done by one of them only, what they tell each other of nodes, and what they lend each other. Each core is a plain struct that takes events with the clock as an argument and
//! emits [`Action`]s; a thin driver beside it, the simulation of [`simulation`] and the tests drive the same code.
//!
//! The published ideas behind it: SWIM (Das, Gupta, Motivala, 2002), Lifeguard (Dadgar, Phillips, Currey, 2017),
//! rendezvous hashing (Thaler, Ravishankar, 1998). Design note: `docs/design/fleet.md`.

pub mod config;
pub mod duty;
pub mod explore;
mod fields;
pub mod heartbeat;
pub mod lending;
pub mod membership;
pub mod message;
pub mod signal;
pub mod simulation;
pub mod subset;
pub mod swim;

use serde::{Deserialize, Serialize};

/// Number of a member: that of its initiator in the deployment's layout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u16);

/// A shared duty; for probes the hash of the node's name, so that every member has the same without talk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyId(pub u32);

impl DutyId {
    pub fn of(name: &str) -> DutyId {
        DutyId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// What a core asks its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// One datagram to a member.
    SendDatagram(MemberId, Vec<u8>),
    /// This duty now, once; what was found goes back by [`FleetCore::duty_done`].
    RunDuty(DutyId),
    /// The process's own standing changed.
    StandingChanged(Standing),
    /// What is held of a member changed.
    MemberStatusChanged(MemberId, Status),
    /// A member's signal came.
    SignalReceived(MemberId, Vec<u8>),
}

/// How a process stands in its fleet. It starts alone; whatever is built on the fleet is safe alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Hears nobody.
    Alone,
    /// Hears members.
    Together,
    /// Another process lives under its name, started later: it keeps out of the fleet until that one is dead.
    Displaced,
    /// Left in order.
    Left,
}

/// What is held of a member, weakest first: of two with one refutation the later one in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What a fleet core does for its driver; [`swim::SwimMember`], and [`heartbeat::HeartbeatBaseline`] to be measured against.
pub trait FleetCore {
    /// A datagram came.
    fn datagram_received(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>);
    /// Does what is due.
    fn tick(&mut self, now: f64, out: &mut Vec<Action>);
    /// When the next tick is due; one that comes later than that tells the core that it had no turn.
    fn next_tick_at(&self) -> f64;
    /// The duties that there are from now on, [`duty::MOST_DUTIES`] at most.
    fn set_duties(&mut self, now: f64, all: &[DutyId]);
    /// A duty was done, and what it found: good or not.
    fn duty_done(&mut self, now: f64, duty: DutyId, good: bool);
    /// What was found last of a duty, by whomever: seconds ago, by whom, good or not.
    fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)>;
    /// One signal to a member, 256 bytes at most; nothing while this process is out of the fleet.
    fn send_signal(&mut self, _now: f64, _to: MemberId, _signal: &[u8], _out: &mut Vec<Action>) {}
    /// Leaves in order.
    fn leave(&mut self, now: f64, out: &mut Vec<Action>);
    fn standing(&self) -> Standing;
    /// Members held alive or suspected, this one among them.
    fn live_members(&self) -> Vec<MemberId>;
    fn counts(&self) -> &Counts;
}

/// What a core counted since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    /// Dropped: cut short, damaged or noise; another version; another fleet; not of the list of members; of an
    /// earlier incarnation of its sender; said before.
    pub bad: u64,
    pub version: u64,
    pub foreign: u64,
    pub unknown: u64,
    pub old: u64,
    pub repeated: u64,
    pub suspected: u64,
    /// Suspicions of this process that it refuted, and of others that were taken back.
    pub refuted: u64,
    pub cleared: u64,
    pub died: u64,
    /// Times that this process found itself without its turn.
    pub no_turn: u64,
    pub done: u64,
    /// Duties left to another that does them, against this process's own list.
    pub yielded: u64,
}
