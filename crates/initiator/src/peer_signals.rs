//! An initiator's signals on its own loop: the decision core's accounts and news handed to them, their messages kept
//! for the fleet's driver. What is said, lent and asked for is decided in `quaypath_fleet`.

use std::collections::VecDeque;
use std::rc::Rc;

use quaypath::types::{LimitBalance, LimitId, PeerReport};
use quaypath_fleet::lending::Ledger;
use quaypath_fleet::signal::{NodeReport, SignalHost, Signals};
use quaypath_fleet::MemberId;

use crate::core::{Actions, Core};
use crate::event_loop::Notify;

/// Messages that wait for the fleet's driver, at most; the rest is lost, as datagrams are.
const MOST_WAITING: usize = 256;

pub struct Shares {
    pub signals: Signals,
    pub tells: VecDeque<(MemberId, Vec<u8>)>,
    pub tells_ready: Rc<Notify>,
}

impl Shares {
    pub fn new(signals: Signals) -> Shares {
        let (tells, tells_ready) = (VecDeque::new(), Rc::default());
        Shares { signals, tells, tells_ready }
    }

    /// Gives the signals what the core saw, and a turn if one is due; when the timer is to be set for, if anew.
    pub fn settle(&mut self, now: f64, core: &mut dyn Core, actions: &mut Actions) -> Option<f64> {
        let seen = actions.1.as_mut().map(std::mem::take).unwrap_or_default();
        self.turn(core, actions, |signals, books| signals.run_due(now, seen, books))
    }

    /// A member's message.
    pub fn heard(
        &mut self, now: f64, from: MemberId, bytes: &[u8], core: &mut dyn Core, actions: &mut Actions,
    ) {
        self.turn(core, actions, |signals, books| signals.signal_received(now, from, bytes, books));
    }

    fn turn<R>(
        &mut self, core: &mut dyn Core, actions: &mut Actions,
        act: impl FnOnce(&mut Signals, &mut Books) -> R,
    ) -> R {
        let waiting = self.tells.len();
        let done = act(&mut self.signals, &mut Books { core, actions, tells: &mut self.tells });
        if self.tells.len() > waiting {
            self.tells_ready.notify();
        }
        done
    }
}

struct Books<'a> {
    core: &'a mut dyn Core,
    actions: &'a mut Actions,
    tells: &'a mut VecDeque<(MemberId, Vec<u8>)>,
}

impl Ledger for Books<'_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.core.needs(now)
    }
    fn transfer(&mut self, now: f64, account: LimitId, units: f64, until: f64) -> bool {
        self.core.shared(now, PeerReport::Units(account, units, until), self.actions)
    }
}

impl SignalHost for Books<'_> {
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]) {
        if self.tells.len() < MOST_WAITING {
            self.tells.push_back((to, bytes.to_vec()));
        }
    }
    fn node_report_received(&mut self, now: f64, report: &NodeReport) {
        let NodeReport { block, latency_ratio, answers, age } = *report;
        self.core.shared(now, PeerReport::Latency(block, latency_ratio, answers, age), self.actions);
    }
}
