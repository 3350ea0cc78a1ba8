//! Agreement between the processes of a fleet, without I/O: which members are up ([`swim`]), which nodes each member
//! uses ([`subset`]), which member runs a duty that only one is to run ([`duty`]), and the node reports and loans of
//! units that members exchange ([`signal`], [`lending`]). Each core is a plain struct that takes events with the clock
//! as an argument and emits [`Action`]s, so that the initiator's driver, the [`simulation`] and the tests run the same
//! code.
//!
//! Sources: SWIM (Das, Gupta, Motivala, 2002), Lifeguard (Dadgar, Phillips, Currey, 2017), rendezvous hashing (Thaler,
//! Ravishankar, 1998). Design note: `docs/design/fleet.md`.

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

/// A shared duty. The id is a hash of the duty's name, so that all members have the same id without exchanging it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DutyId(pub u32);

impl DutyId {
    /// Id of the duty with this name.
    pub fn of(name: &str) -> DutyId {
        DutyId(xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32)
    }
}

/// What a fleet core asks its driver to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send one datagram to a member.
    SendDatagram(MemberId, Vec<u8>),
    /// Run this duty once, now, and report its result with [`FleetCore::duty_done`].
    RunDuty(DutyId),
    /// The standing of this process changed.
    StandingChanged(Standing),
    /// The status that this process records for a member changed.
    MemberStatusChanged(MemberId, Status),
    /// A signal arrived from a member.
    SignalReceived(MemberId, Vec<u8>),
}

/// How a process stands in its fleet. A process starts as [`Standing::Alone`]; everything built on the fleet is safe in
/// that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// Receives datagrams from no member.
    Alone,
    /// Receives datagrams from other members.
    Together,
    /// Another process that started later runs under this member number. This process takes no part in the fleet until
    /// the other one is dead.
    Displaced,
    /// Has announced its departure and takes no further part.
    Left,
}

/// Status of a member. For one incarnation and refutation number, the later status in this order overrides the earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// A member's core as its driver uses it: [`swim::SwimMember`], or the baseline [`heartbeat::HeartbeatBaseline`].
pub trait FleetCore {
    /// Handles a datagram that arrived.
    fn datagram_received(&mut self, now: f64, bytes: &[u8], out: &mut Vec<Action>);
    /// Does all work that is due.
    fn tick(&mut self, now: f64, out: &mut Vec<Action>);
    /// Clock time at which the next tick is due. A call that comes much later tells the core that its process was
    /// stalled.
    fn next_tick_at(&self) -> f64;
    /// Replaces the set of duties; at most [`duty::MAX_DUTIES`] are kept.
    fn set_duties(&mut self, now: f64, all: &[DutyId]);
    /// Records that this process ran a duty, and whether the result was good.
    fn duty_done(&mut self, now: f64, duty: DutyId, good: bool);
    /// Last known result of a duty, from any member: its age in seconds, the member that ran it, whether it was good.
    fn last_result(&self, now: f64, duty: DutyId) -> Option<(f64, MemberId, bool)>;
    /// Sends a signal of at most 256 bytes to a member. Does nothing while this process takes no part in the fleet.
    fn send_signal(&mut self, _now: f64, _to: MemberId, _signal: &[u8], _out: &mut Vec<Action>) {}
    /// Announces to other members that this process leaves the fleet.
    fn leave(&mut self, now: f64, out: &mut Vec<Action>);
    /// Standing of this process in the fleet.
    fn standing(&self) -> Standing;
    /// Members that are recorded as alive or suspected, including this one.
    fn live_members(&self) -> Vec<MemberId>;
    /// Counters since the start.
    fn counts(&self) -> &Counts;
}

/// Counters of a fleet core since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Datagrams sent.
    pub sent: u64,
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    #[serde(rename = "heard")]
    pub received: u64,
    /// Datagrams dropped because they were truncated, damaged or noise.
    #[serde(rename = "bad")]
    pub malformed: u64,
    /// Datagrams dropped because they have another protocol version.
    #[serde(rename = "version")]
    pub wrong_version: u64,
    /// Datagrams dropped because they belong to another fleet.
    #[serde(rename = "foreign")]
    pub other_fleet: u64,
    /// Datagrams dropped because their sender is not on the list of members.
    #[serde(rename = "unknown")]
    pub unknown_sender: u64,
    /// Datagrams dropped because they come from an earlier incarnation of their sender.
    #[serde(rename = "old")]
    pub old_incarnation: u64,
    /// Datagrams dropped because they were received before.
    #[serde(rename = "repeated")]
    pub duplicates: u64,
    /// Suspicions of other members that this process recorded.
    pub suspected: u64,
    /// Suspicions of this process that it refuted.
    pub refuted: u64,
    /// Suspicions of other members that were refuted.
    pub cleared: u64,
    /// Members that this process recorded as dead.
    pub died: u64,
    /// Times that this process detected that it had been stalled.
    #[serde(rename = "no_turn")]
    pub stalls: u64,
    /// Duties that this process ran.
    #[serde(rename = "done")]
    pub duties_run: u64,
    /// Duties that this process owns by its own list of live members but left to a member with a better claim that runs
    /// them.
    pub yielded: u64,
}
