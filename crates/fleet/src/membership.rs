//! Membership table: the status that this process records for each member, and the queue of changes that are still to
//! be sent to others.
//!
//! Of two updates of a member, the one with the higher (incarnation, refutation, status) applies, whatever the order
//! in which they arrive, so late, repeated and reordered updates change nothing. Dead members stay in the table, so
//! that an old update cannot bring one back. The table is as large as the list of members.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{MemberUpdate, MAX_UPDATES, NOBODY};
use crate::{MemberId, Status};

/// Maximum number of members recorded as suspecting one member; further ones would not shorten its suspicion timeout.
const MAX_SUSPECTORS: usize = 3;

/// What is recorded of one member.
#[derive(Clone, Debug)]
pub struct MemberRecord {
    /// Incarnation and refutation number that the status is for.
    pub incarnation: u64,
    pub refutation: u32,
    pub status: Status,
    /// Clock time at which the status was recorded.
    pub since: f64,
    /// While the member is suspected: the members that suspect it.
    pub suspectors: Vec<MemberId>,
    /// Datagrams that the latest change was sent in.
    times_sent: u8,
    /// Sequence numbers received from this incarnation.
    received: ReplayWindow,
}

/// Sequence numbers received from one incarnation of a sender: the highest, and a bit for each of the 64 up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReplayWindow(Option<(u32, u64)>);

impl ReplayWindow {
    /// Whether this sequence number is new; a new number is recorded. Numbers too old for the window count as not new.
    pub fn insert(&mut self, sequence: u32) -> bool {
        let Some((highest, seen)) = self.0 else {
            self.0 = Some((sequence, 1));
            return true;
        };
        if sequence > highest {
            let ahead = sequence - highest;
            let seen = if ahead < 64 { seen << ahead | 1 } else { 1 };
            self.0 = Some((sequence, seen));
            return true;
        }
        let behind = highest - sequence;
        let is_new = behind < 64 && seen & (1 << behind) == 0;
        if is_new {
            self.0 = Some((highest, seen | 1 << behind));
        }
        is_new
    }
}

/// Effect of an update on the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Unchanged,
    /// One more member suspects a member that was suspected before.
    SuspicionConfirmed,
    /// The member now has the status of the update. Holds its status before, or none if nothing was known of it.
    StatusChanged(Option<Status>),
}

/// The table of all members on the list.
#[derive(Debug)]
pub struct MembershipTable {
    records: BTreeMap<MemberId, Option<MemberRecord>>,
    /// Members whose latest change is still to be sent, ordered by how often it was sent.
    send_queue: BTreeSet<(u8, MemberId)>,
    live_total: usize,
    /// Grows with each change of the set of live members.
    pub live_version: u64,
    /// First member of the next page.
    page_from: MemberId,
}

fn is_live(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

impl MembershipTable {
    /// A table of these members, with nothing known of any of them.
    pub fn new(members: impl Iterator<Item = MemberId>) -> MembershipTable {
        let records = members.map(|member| (member, None)).collect();
        MembershipTable {
            records,
            send_queue: BTreeSet::new(),
            live_total: 0,
            live_version: 0,
            page_from: MemberId(0),
        }
    }

    /// Whether a member is on the list.
    pub fn contains(&self, member: MemberId) -> bool {
        self.records.contains_key(&member)
    }

    /// What is recorded of a member, none if nothing is known of it.
    pub fn get(&self, member: MemberId) -> Option<&MemberRecord> {
        self.records.get(&member).and_then(Option::as_ref)
    }

    /// All members on the list, with what is recorded of each.
    pub fn entries(&self) -> impl Iterator<Item = (MemberId, Option<&MemberRecord>)> {
        self.records.iter().map(|(member, record)| (*member, record.as_ref()))
    }

    /// Members that are recorded as alive or suspected.
    pub fn live_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.entries()
            .filter(|(_, record)| record.is_some_and(|record| is_live(record.status)))
            .map(|(member, _)| member)
    }

    /// Number of members that are recorded as alive or suspected.
    pub fn live_count(&self) -> usize {
        self.live_total
    }

    /// Whether a sequence number from the current incarnation of a sender is new; a new number is recorded.
    pub fn record_sequence(&mut self, member: MemberId, sequence: u32) -> bool {
        self.records
            .get_mut(&member)
            .and_then(Option::as_mut)
            .is_none_or(|record| record.received.insert(sequence))
    }

    /// Applies an update of a member. Updates of members that are not on the list are ignored.
    pub fn apply(&mut self, now: f64, update: &MemberUpdate) -> Change {
        let Some(slot) = self.records.get_mut(&update.member) else { return Change::Unchanged };
        let rank = (update.incarnation, update.refutation, update.status);
        let changed = match slot {
            Some(record) if (record.incarnation, record.refutation, record.status) > rank => {
                return Change::Unchanged
            }
            Some(record) if (record.incarnation, record.refutation, record.status) == rank => {
                let confirms = record.status == Status::Suspect
                    && record.suspectors.len() < MAX_SUSPECTORS
                    && !record.suspectors.contains(&update.suspected_by);
                if !confirms {
                    return Change::Unchanged;
                }
                record.suspectors.push(update.suspected_by);
                Change::SuspicionConfirmed
            }
            _ => {
                let before = slot.as_ref().map(|record| record.status);
                let same_incarnation =
                    slot.as_ref().filter(|record| record.incarnation == update.incarnation);
                let (times_sent, received) = (
                    slot.as_ref().map_or(0, |record| record.times_sent),
                    same_incarnation.map(|record| record.received).unwrap_or_default(),
                );
                *slot = Some(MemberRecord {
                    incarnation: update.incarnation,
                    refutation: update.refutation,
                    status: update.status,
                    since: now,
                    suspectors: if update.status == Status::Suspect {
                        vec![update.suspected_by]
                    } else {
                        Vec::new()
                    },
                    times_sent,
                    received,
                });
                let (was_live, now_live) = (before.is_some_and(is_live), is_live(update.status));
                if was_live != now_live {
                    self.live_version += 1;
                    self.live_total = self.live_total + usize::from(now_live) - usize::from(was_live);
                }
                Change::StatusChanged(before)
            }
        };
        let record = slot.as_mut().expect("set above");
        self.send_queue.remove(&(record.times_sent, update.member));
        record.times_sent = 0;
        self.send_queue.insert((0, update.member));
        changed
    }

    /// Moves the start of all suspicions later by the seconds that this process was stalled.
    pub fn postpone_suspicions(&mut self, stalled: f64) {
        self.records.values_mut().flatten().for_each(|record| record.since += stalled);
    }

    fn update_from(member: MemberId, record: &MemberRecord) -> MemberUpdate {
        let (incarnation, refutation, status) = (record.incarnation, record.refutation, record.status);
        MemberUpdate {
            member,
            incarnation,
            refutation,
            status,
            suspected_by: record.suspectors.last().copied().unwrap_or(NOBODY),
        }
    }

    /// What is recorded of a member, as an update to send.
    pub fn update_of(&self, member: MemberId) -> Option<MemberUpdate> {
        self.get(member).map(|record| Self::update_from(member, record))
    }

    /// Updates for one datagram: first what the receiver has to know of itself, then the changes sent least often. Each
    /// change is sent at most `max_sends` times.
    pub fn updates_for(&mut self, to: MemberId, max_sends: u8) -> Vec<MemberUpdate> {
        let own = self.update_of(to).filter(|update| update.status != Status::Alive);
        let mut updates: Vec<MemberUpdate> = own.into_iter().collect();
        let picked: Vec<(u8, MemberId)> = self.send_queue.iter().take(MAX_UPDATES - 1).copied().collect();
        for (times_sent, member) in picked {
            self.send_queue.remove(&(times_sent, member));
            let Some(Some(record)) = self.records.get_mut(&member) else { continue };
            record.times_sent = times_sent + 1;
            if record.times_sent < max_sends {
                self.send_queue.insert((record.times_sent, member));
            }
            if member != to || record.status == Status::Alive {
                updates.push(Self::update_from(member, record));
            }
        }
        updates
    }

    /// The next page of the table, at most `limit` members.
    pub fn next_page(&mut self, limit: usize) -> Vec<MemberUpdate> {
        let from = self.page_from;
        let in_order = self.records.range(from..).chain(self.records.range(..from));
        let known =
            in_order.filter_map(|(member, record)| Some(Self::update_from(*member, record.as_ref()?)));
        let page: Vec<MemberUpdate> = known.take(limit).collect();
        self.page_from = page.last().map_or(MemberId(0), |last| MemberId(last.member.0.wrapping_add(1)));
        page
    }
}
