//! The roll: what is held of each member, and which of it is still to be told.
//!
//! Of two pieces of news the higher (incarnation, refutation, status) holds, whatever the order in which they come: late,
//! repeated and reordered news change nothing. Members stay on the roll when they are dead, so that old news of them
//! raises nobody; its size is that of the list of members.

use std::collections::{BTreeMap, BTreeSet};

use crate::message::{MemberUpdate, MAX_UPDATES, NOBODY};
use crate::{MemberId, Status};

/// Who suspects a member beside the first, at most: more change nothing about the time that it is given.
const MOST_SUSPECTORS: usize = 3;

#[derive(Clone, Debug)]
pub struct Held {
    pub incarnation: u64,
    pub refutation: u32,
    pub status: Status,
    /// While suspected: since when, and by whom.
    pub since: f64,
    pub suspectors: Vec<MemberId>,
    told: u8,
    /// Datagrams of this incarnation that came.
    came: Came,
}

/// Numbers of one incarnation that came: the highest, and a bit for each of the 64 up to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Came(Option<(u32, u64)>);

impl Came {
    /// Whether this number is new; remembered if it is.
    pub fn first(&mut self, number: u32) -> bool {
        let Some((highest, seen)) = self.0 else {
            self.0 = Some((number, 1));
            return true;
        };
        if number > highest {
            let moved = number - highest;
            let seen = if moved < 64 { seen << moved | 1 } else { 1 };
            self.0 = Some((number, seen));
            return true;
        }
        let back = highest - number;
        let new = back < 64 && seen & (1 << back) == 0;
        if new {
            self.0 = Some((highest, seen | 1 << back));
        }
        new
    }
}

/// What news changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    Nothing,
    /// One more that suspects it.
    Confirmed,
    /// From this status, none where nothing was known; now it is that of the news.
    From(Option<Status>),
}

#[derive(Debug)]
pub struct Roll {
    held: BTreeMap<MemberId, Option<Held>>,
    /// What is still to be told: by how often it was, then by member.
    queue: BTreeSet<(u8, MemberId)>,
    live: usize,
    /// Grows with each change of who is live.
    pub version: u64,
    page_from: MemberId,
}

fn live(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

impl Roll {
    /// A roll of these members, nothing known of any.
    pub fn new(members: impl Iterator<Item = MemberId>) -> Roll {
        let held = members.map(|member| (member, None)).collect();
        Roll { held, queue: BTreeSet::new(), live: 0, version: 0, page_from: MemberId(0) }
    }

    pub fn lists(&self, member: MemberId) -> bool {
        self.held.contains_key(&member)
    }

    pub fn get(&self, member: MemberId) -> Option<&Held> {
        self.held.get(&member).and_then(Option::as_ref)
    }

    pub fn all(&self) -> impl Iterator<Item = (MemberId, Option<&Held>)> {
        self.held.iter().map(|(member, held)| (*member, held.as_ref()))
    }

    /// Members held alive or suspected.
    pub fn live(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.all().filter(|(_, held)| held.is_some_and(|held| live(held.status))).map(|(member, _)| member)
    }

    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Whether a datagram of a sender's incarnation is new; remembered if it is.
    pub fn first(&mut self, member: MemberId, number: u32) -> bool {
        self.held.get_mut(&member).and_then(Option::as_mut).is_none_or(|held| held.came.first(number))
    }

    /// Takes news of a member on the list.
    pub fn take(&mut self, now: f64, news: &MemberUpdate) -> Changed {
        let Some(slot) = self.held.get_mut(&news.member) else { return Changed::Nothing };
        let rank = (news.incarnation, news.refutation, news.status);
        let changed = match slot {
            Some(held) if (held.incarnation, held.refutation, held.status) > rank => return Changed::Nothing,
            Some(held) if (held.incarnation, held.refutation, held.status) == rank => {
                let more = held.status == Status::Suspect
                    && held.suspectors.len() < MOST_SUSPECTORS
                    && !held.suspectors.contains(&news.by);
                if !more {
                    return Changed::Nothing;
                }
                held.suspectors.push(news.by);
                Changed::Confirmed
            }
            _ => {
                let before = slot.as_ref().map(|held| held.status);
                let same = slot.as_ref().filter(|held| held.incarnation == news.incarnation);
                let (told, came) = (
                    slot.as_ref().map_or(0, |held| held.told),
                    same.map(|held| held.came).unwrap_or_default(),
                );
                *slot = Some(Held {
                    incarnation: news.incarnation,
                    refutation: news.refutation,
                    status: news.status,
                    since: now,
                    suspectors: if news.status == Status::Suspect { vec![news.by] } else { Vec::new() },
                    told,
                    came,
                });
                let (was, is) = (before.is_some_and(live), live(news.status));
                if was != is {
                    self.version += 1;
                    self.live = self.live + usize::from(is) - usize::from(was);
                }
                Changed::From(before)
            }
        };
        let held = slot.as_mut().expect("set above");
        self.queue.remove(&(held.told, news.member));
        held.told = 0;
        self.queue.insert((0, news.member));
        changed
    }

    /// Time from which on what was suspected earlier is put off by a stop of this process.
    pub fn put_off(&mut self, by: f64) {
        self.held.values_mut().flatten().for_each(|held| held.since += by);
    }

    fn news(member: MemberId, held: &Held) -> MemberUpdate {
        let (incarnation, refutation, status) = (held.incarnation, held.refutation, held.status);
        MemberUpdate {
            member,
            incarnation,
            refutation,
            status,
            by: held.suspectors.last().copied().unwrap_or(NOBODY),
        }
    }

    pub fn update_of(&self, member: MemberId) -> Option<MemberUpdate> {
        self.get(member).map(|held| Self::news(member, held))
    }

    /// The news for one datagram: first what the receiver must know of itself, then what was told least.
    pub fn tell(&mut self, to: MemberId, most_times: u8) -> Vec<MemberUpdate> {
        let own = self.update_of(to).filter(|news| news.status != Status::Alive);
        let mut news: Vec<MemberUpdate> = own.into_iter().collect();
        let picked: Vec<(u8, MemberId)> = self.queue.iter().take(MAX_UPDATES - 1).copied().collect();
        for (told, member) in picked {
            self.queue.remove(&(told, member));
            let Some(Some(held)) = self.held.get_mut(&member) else { continue };
            held.told = told + 1;
            if held.told < most_times {
                self.queue.insert((held.told, member));
            }
            if member != to || held.status == Status::Alive {
                news.push(Self::news(member, held));
            }
        }
        news
    }

    /// The next part of the whole state, `most` members at most.
    pub fn page(&mut self, most: usize) -> Vec<MemberUpdate> {
        let from = self.page_from;
        let behind = self.held.range(from..).chain(self.held.range(..from));
        let known = behind.filter_map(|(member, held)| Some(Self::news(*member, held.as_ref()?)));
        let page: Vec<MemberUpdate> = known.take(most).collect();
        self.page_from = page.last().map_or(MemberId(0), |last| MemberId(last.member.0.wrapping_add(1)));
        page
    }
}
