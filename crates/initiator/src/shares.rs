//! An initiator's signals on its own loop: the decision core's accounts and news handed to them, their messages kept
//! for the fleet's driver. What is said, lent and asked for is decided in `quaypath_fleet`.

use std::collections::VecDeque;
use std::rc::Rc;

use quaypath::types::{Account, Need, Shared};
use quaypath_fleet::lend::Ledger;
use quaypath_fleet::signal::{Host, News, Signals};
use quaypath_fleet::MemberId;

use crate::core::{Actions, Core};
use crate::turns::Notify;

/// Messages that wait for the fleet's driver, at most; the rest is lost, as datagrams are.
const MOST_WAITING: usize = 256;

pub struct Shares {
    pub signals: Signals,
    /// When its timer rings next, by the instance's clock.
    pub rings_at: f64,
    pub tells: VecDeque<(MemberId, Vec<u8>)>,
    pub tells_ready: Rc<Notify>,
}

impl Shares {
    pub fn new(signals: Signals) -> Shares {
        let (tells, tells_ready) = (VecDeque::new(), Rc::default());
        Shares { signals, rings_at: f64::NEG_INFINITY, tells, tells_ready }
    }

    /// Gives the signals what the core saw, and a turn if one is due; when the timer is to be set for, if anew.
    pub fn settle(&mut self, now: f64, core: &mut dyn Core, actions: &mut Actions) -> Option<f64> {
        for (block, stay) in actions.1.iter_mut().flat_map(std::mem::take) {
            self.signals.seen(now, block, stay);
        }
        if now >= self.signals.next_at() {
            self.turn(core, actions, |signals, books| signals.tick(now, books));
        }
        let next = Some(self.signals.next_at()).filter(|at| at.is_finite() && self.rings_at <= now);
        self.rings_at = next.unwrap_or(self.rings_at);
        next
    }

    /// A member's message.
    pub fn heard(
        &mut self, now: f64, from: MemberId, bytes: &[u8], core: &mut dyn Core, actions: &mut Actions,
    ) {
        self.turn(core, actions, |signals, books| signals.heard(now, from, bytes, books));
    }

    fn turn(
        &mut self, core: &mut dyn Core, actions: &mut Actions, act: impl FnOnce(&mut Signals, &mut Books),
    ) {
        let waiting = self.tells.len();
        act(&mut self.signals, &mut Books { core, actions, tells: &mut self.tells });
        if self.tells.len() > waiting {
            self.tells_ready.tell();
        }
    }
}

struct Books<'a> {
    core: &'a mut dyn Core,
    actions: &'a mut Actions,
    tells: &'a mut VecDeque<(MemberId, Vec<u8>)>,
}

impl Ledger for Books<'_> {
    fn needs(&mut self, now: f64) -> Vec<Need> {
        self.core.needs(now)
    }
    fn need(&mut self, now: f64, account: Account) -> Option<Need> {
        self.core.needs(now).into_iter().find(|need| need.account == account)
    }
    fn moved(&mut self, now: f64, account: Account, units: f64, until: f64) -> bool {
        self.core.shared(now, Shared::Units(account, units, until), self.actions)
    }
}

impl Host for Books<'_> {
    fn tell(&mut self, to: MemberId, bytes: &[u8]) {
        if self.tells.len() < MOST_WAITING {
            self.tells.push_back((to, bytes.to_vec()));
        }
    }
    fn news(&mut self, now: f64, news: &News) {
        let News { block, stay, answers, age } = *news;
        self.core.shared(now, Shared::Stay(block, stay, answers, age), self.actions);
    }
}
