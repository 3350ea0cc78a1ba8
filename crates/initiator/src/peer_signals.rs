//! The signals of an initiator to other initiators: passes the decision core's balances and observations to them, and
//! queues their messages for the fleet driver. `quaypath_fleet` decides what is reported, lent and requested.

use std::collections::VecDeque;
use std::rc::Rc;

use quaypath::types::{LimitBalance, LimitId, PeerReport};
use quaypath_fleet::lending::Ledger;
use quaypath_fleet::signal::{NodeReport, SignalHost, Signals};
use quaypath_fleet::MemberId;

use crate::core::{Actions, Core};
use crate::event_loop::Notify;

/// Limit of the messages that wait for the fleet driver. Further messages are dropped, as datagrams may be.
const MAX_OUTGOING: usize = 256;

/// The signals of one initiator, and their messages that wait to be sent.
pub struct PeerSignals {
    pub signals: Signals,
    /// Messages that wait for the fleet driver, each with its receiver.
    pub outgoing: VecDeque<(MemberId, Vec<u8>)>,
    /// Notified when `outgoing` has new messages.
    pub outgoing_ready: Rc<Notify>,
}

impl PeerSignals {
    pub fn new(signals: Signals) -> PeerSignals {
        let (outgoing, outgoing_ready) = (VecDeque::new(), Rc::default());
        PeerSignals { signals, outgoing, outgoing_ready }
    }

    /// Passes the core's observations to the signals and runs what is due. Returns the clock time, seconds, for which
    /// the timer has to be set, if it changed.
    pub fn run_due(&mut self, now: f64, core: &mut dyn Core, actions: &mut Actions) -> Option<f64> {
        let observed = actions.1.as_mut().map(std::mem::take).unwrap_or_default();
        self.with_ledger(core, actions, |signals, ledger| signals.run_due(now, observed, ledger))
    }

    /// Handles a signal of another member.
    pub fn signal_received(
        &mut self, now: f64, from: MemberId, bytes: &[u8], core: &mut dyn Core, actions: &mut Actions,
    ) {
        self.with_ledger(core, actions, |signals, ledger| signals.signal_received(now, from, bytes, ledger));
    }

    fn with_ledger<R>(
        &mut self, core: &mut dyn Core, actions: &mut Actions,
        action: impl FnOnce(&mut Signals, &mut CoreLedger) -> R,
    ) -> R {
        let waiting = self.outgoing.len();
        let result =
            action(&mut self.signals, &mut CoreLedger { core, actions, outgoing: &mut self.outgoing });
        if self.outgoing.len() > waiting {
            self.outgoing_ready.notify();
        }
        result
    }
}

/// Gives the signals access to the core's limits and to the queue of outgoing messages.
struct CoreLedger<'a> {
    core: &'a mut dyn Core,
    actions: &'a mut Actions,
    outgoing: &'a mut VecDeque<(MemberId, Vec<u8>)>,
}

impl Ledger for CoreLedger<'_> {
    fn limit_balances(&mut self, now: f64) -> Vec<LimitBalance> {
        self.core.limit_balances(now)
    }
    fn transfer(&mut self, now: f64, account: LimitId, units: f64, until: f64) -> bool {
        self.core.peer_report_received(now, PeerReport::Units(account, units, until), self.actions)
    }
}

impl SignalHost for CoreLedger<'_> {
    fn send_signal(&mut self, to: MemberId, bytes: &[u8]) {
        if self.outgoing.len() < MAX_OUTGOING {
            self.outgoing.push_back((to, bytes.to_vec()));
        }
    }
    fn node_report_received(&mut self, now: f64, report: &NodeReport) {
        let NodeReport { block, latency_ratio, answers, age } = *report;
        self.core.peer_report_received(
            now,
            PeerReport::Latency(block, latency_ratio, answers, age),
            self.actions,
        );
    }
}
