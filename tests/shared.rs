//! What other initiators had to say: loans of limits, and news of nodes.

mod helper;

use std::sync::Arc;

use helper::{settings, Rig};
use quaypath::types::*;
use test_case::test_case;

fn limit() -> LimitId {
    LimitId::of_volume(&VolumeId(Arc::from("volume0")))
}

impl Rig {
    fn shared(&mut self, shared: PeerReport) -> bool {
        let (now, log) = (self.log.now, &mut self.log);
        self.brain.peer_report_received(now, shared, log)
    }

    fn need(&mut self, account: LimitId) -> Option<LimitBalance> {
        let now = self.log.now;
        self.brain.limit_balances(now).into_iter().find(|need| need.limit_id == account)
    }
}

/// An initiator that saw the beginning: its part of the limit is 5 units a second, 10 at once.
fn began() -> Rig {
    let mut rig = Rig::new(100.0, settings());
    rig.ready("a", 1).used = 0.0;
    rig.take(1, 0, 1, 1.0, Some(1)).at(100.01).back(1, "a", Outcome::Settled).seen();
    rig
}

#[test]
fn one_at_its_limit_says_what_it_waits_for_and_one_that_is_not_what_it_can_spare() {
    let mut rig = began();
    rig.at(101.0);
    for id in 2..9 {
        rig.take(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(rig.sent(), 5);
    let need = rig.need(limit()).unwrap();
    assert!((need.shortfall - 4.0).abs() < 0.1 && need.spare == 0.0, "{need:?}");
    let mut idle = began();
    idle.at(101.0).take(2, 0, 0, 2.0, Some(1));
    let need = idle.need(limit()).unwrap();
    assert!(need.shortfall == 0.0 && need.spare > 5.0 && need.spare <= 8.0, "{need:?}");
}

#[test_case(4.0, 101.05, 2; "units that came let it send")]
#[test_case(4.0, 101.0, 0; "none past their end")]
fn loans_are_sent_on_up_to_their_end(units: f64, until: f64, sent: usize) {
    let mut rig = began();
    rig.at(101.0);
    for id in 2..9 {
        rig.take(id, 0, 0, 2.0, Some(1));
    }
    rig.seen();
    rig.shared(PeerReport::Units(limit(), units, until));
    assert_eq!(rig.sent(), sent);
}

#[test_case(-6.0, 2; "what went is gone")]
#[test_case(-12.0, 5; "more than there is does not go")]
fn what_is_lent_is_not_sent(units: f64, sent: usize) {
    let mut rig = began();
    rig.at(101.0).take(2, 0, 0, 0.0, Some(1));
    rig.seen();
    assert_eq!(rig.shared(PeerReport::Units(limit(), units, 102.0)), units > -10.0);
    for id in 3..12 {
        rig.take(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(rig.sent(), sent);
}

/// What an earlier life may have lent counts at others yet.
#[test_case(0.0, 2; "where nobody lends")]
#[test_case(1.1, 1; "until loans have lapsed")]
fn one_that_starts_again_fills_later(hold: f64, sent: usize) {
    let mut rig = Rig::new(100.0, Settings { earlier_loans_hold: hold, ..settings() });
    rig.ready("a", 1).at(101.5);
    for id in 2..9 {
        rig.take(id, 0, 0, 2.0, Some(1));
    }
    assert_eq!(rig.sent(), if hold > 0.0 { sent } else { 3 });
}

#[test]
fn nobody_lends_what_it_does_not_know() {
    let mut rig = began();
    assert!(!rig.shared(PeerReport::Units(limit(), 4.0, 200.0)));
    assert!(!rig.shared(PeerReport::Units(LimitId(1), 4.0, 200.0)));
    assert_eq!(rig.brain.limit_balances(101.0), []);
}

/// Others' answers of a jammed node: slack waits though this initiator has none of its own; old ones say nothing.
#[test_case(1.5, 0.1, 0; "a jam that others see")]
#[test_case(0.05, 0.1, 1; "a quick node")]
#[test_case(1.5, 60.0, 1; "a jam of long ago")]
fn slack_waits_by_what_others_saw(stay: f64, ago: f64, sent: usize) {
    let mut rig = Rig::new(90.0, settings());
    rig.ready("a", 1).at(100.0);
    rig.shared(PeerReport::Latency(BlockId(1), stay, 8.0, ago));
    assert_eq!(rig.take(1, 0, 2, 2.0, Some(1)).sent(), sent);
}

/// One's own answers go before theirs.
#[test]
fn own_news_goes_before_what_others_saw() {
    let mut rig = Rig::new(90.0, settings());
    rig.ready("a", 1).delay = 0.01;
    for id in 1..30 {
        rig.at(99.0 + 0.01 * id as f64).take(id, 0, 2, 2.0, Some(1)).back(id, "a", Outcome::Settled);
    }
    rig.at(99.4).seen();
    rig.shared(PeerReport::Latency(BlockId(1), 1.5, 8.0, 0.1));
    assert_eq!(rig.take(99, 0, 2, 2.0, Some(1)).sent(), 1);
}
