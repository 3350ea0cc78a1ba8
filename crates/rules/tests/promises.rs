//! Each promise of the fleet: a planted breach that is found, and a case just inside that passes.

use quaypath_record::Event;
use quaypath_rules::fleet::{judge, Parameters, Promise};
use test_case::test_case;

const BOOK: Parameters = Parameters {
    duty_period: 2.0,
    window: 4.0,
    done_within: 10.0,
    done_at_worst: 20.0,
    settle_time: 15.0,
    max_bytes_per_second: 10_000.0,
    longest_datagram: 1200,
    transit: 0.05,
};

fn started(t: f64, gateway: u32) -> Event {
    Event::GatewayStarted { t, gateway }
}

fn killed(t: f64, gateway: u32) -> Event {
    Event::GatewayKilled { t, gateway }
}

fn fault(t: f64, kind: &str, on: &str, begins: bool) -> Event {
    Event::Fault { t, kind: kind.into(), on: on.into(), begins }
}

fn link(t: f64, kind: &str, size: f64, begins: bool) -> Event {
    Event::LinkFault { t, kind: kind.into(), from: vec![1], to: vec![2], size, begins }
}

fn view(t: f64, live: &[u32], dead: &[u32]) -> Event {
    Event::MemberView { t, gateway: 1, process: 1, incarnation: 1, live: live.to_vec(), dead: dead.to_vec() }
}

fn talked(t: f64, process: u32, bytes: u64, longest: u64) -> Event {
    Event::MemberTraffic { t, gateway: 2, process, seconds: 1.0, datagrams: 9, bytes, longest }
}

fn probed(t: f64, gateway: u32) -> Event {
    Event::NodeProbed { t, node: "n".into(), gateway }
}

fn up(t: f64) -> Event {
    Event::NodeStarted { t, node: "n".into(), block: 3, zone: "a".into(), cold: false }
}

fn down(t: f64) -> Event {
    Event::NodeStopped { t, node: "n".into() }
}

/// Probes every two seconds by one, and by another every two from `from` to `to`.
fn two(from: f64, to: f64, more: &[Event]) -> Vec<Event> {
    let mut events = vec![up(0.0), started(0.0, 1), started(0.0, 2)];
    events.extend((0..30).map(|nth| probed(f64::from(nth) * 2.0, 1)));
    events.extend(
        (0..30)
            .map(|nth| 1.0 + f64::from(nth) * 2.0)
            .filter(|t| (from..=to).contains(t))
            .map(|t| probed(t, 2)),
    );
    events.extend_from_slice(more);
    events
}

/// Members 1 and 2 up; what is held of 2 at `t`.
fn held(t: f64, live: bool, more: &[Event]) -> Vec<Event> {
    let view = if live { view(t, &[1, 2], &[]) } else { view(t, &[1], &[2]) };
    let mut events = vec![started(0.0, 1), started(0.0, 2), view];
    // Held dead from early on, not found dead now.
    events.extend((!live).then(|| self::view(0.1, &[1], &[2])));
    events.extend_from_slice(more);
    events
}

/// Held alive in between.
fn held_between(t: f64) -> Vec<Event> {
    held(t, false, &[view(t - 5.0, &[1, 2], &[])])
}

#[test_case(two(11.0, 15.0, &[]), &[]; "two do a duty for the window")]
#[test_case(two(11.0, 17.0, &[]), &[Promise::OneDoer]; "two do a duty for longer")]
#[test_case(two(11.0, 31.0, &[link(10.0, "cut", 0.0, true), link(28.0, "cut", 0.0, false)]), &[]; "in a cut and a window after")]
#[test_case(two(11.0, 43.0, &[link(10.0, "cut", 0.0, true), link(28.0, "cut", 0.0, false)]), &[Promise::OneDoer]; "for long after a cut")]
#[test_case(two(11.0, 31.0, &[link(10.0, "lose", 0.3, true), link(28.0, "lose", 0.3, false)]), &[Promise::OneDoer]; "loss that is borne excuses nothing")]
#[test_case(vec![up(0.0), started(0.0, 1), probed(5.0, 1), probed(15.0, 1), down(25.0)], &[]; "done again in time")]
#[test_case(vec![up(0.0), started(0.0, 1), probed(5.0, 1), probed(15.2, 1), down(25.0)], &[Promise::Done]; "done late")]
#[test_case(vec![up(0.0), started(0.0, 1), started(0.0, 2), probed(5.0, 1), killed(9.0, 2), probed(18.9, 1), down(20.0)], &[]; "done in time after a kill")]
#[test_case(vec![up(0.0), started(0.0, 1), started(0.0, 2), probed(5.0, 1), killed(9.0, 2), probed(19.2, 1), down(20.0)], &[Promise::Done]; "done late after a kill")]
#[test_case(vec![up(0.0), started(0.0, 1), started(0.0, 2), probed(5.0, 1), killed(9.0, 2), started(18.0, 2), probed(25.2, 1), down(26.0)], &[Promise::Done]; "done late whatever goes on")]
#[test_case(vec![up(0.0), started(0.0, 1), probed(5.0, 1), down(12.0), up(40.0), probed(45.0, 1), down(46.0)], &[]; "nobody to ask")]
#[test_case(vec![up(0.0), started(0.0, 1), probed(5.0, 1), fault(6.0, "partition", "n", true), fault(40.0, "partition", "n", false), probed(45.0, 1), down(46.0)], &[]; "a node that hears nothing")]
#[test_case(held(10.0, false, &[]), &[]; "held dead soon after its start")]
#[test_case(held(16.0, false, &[]), &[Promise::LiveHeldLive]; "held dead for long")]
#[test_case(held_between(40.0), &[]; "held dead for a while")]
#[test_case(held(40.0, false, &[fault(20.0, "stall", "2", true), fault(26.0, "stall", "2", false)]), &[]; "held dead soon after a stop")]
#[test_case(held(42.0, false, &[fault(20.0, "stall", "2", true), fault(26.0, "stall", "2", false)]), &[Promise::LiveHeldLive]; "held dead for long after a stop")]
#[test_case(held(40.0, false, &[link(20.0, "one-way", 0.0, true)]), &[]; "held dead behind a cut")]
#[test_case(held(40.0, false, &[link(20.0, "repeat", 0.5, true)]), &[Promise::LiveHeldLive]; "repeats excuse nothing")]
#[test_case(held(34.0, true, &[killed(20.0, 2)]), &[]; "held alive soon after its death")]
#[test_case(held(36.0, true, &[killed(20.0, 2)]), &[Promise::DeadHeldDead]; "held alive long after its death")]
#[test_case(held(36.0, true, &[killed(20.0, 2), started(22.0, 2)]), &[]; "alive again")]
#[test_case(vec![started(0.0, 2), fault(10.0, "twins", "2", true), talked(20.0, 1, 9, 9), talked(20.0, 1001, 9, 9), talked(40.0, 1001, 9, 9)], &[]; "one of two falls silent")]
#[test_case(vec![started(0.0, 2), fault(10.0, "twins", "2", true), talked(40.0, 1, 9, 9), talked(40.0, 1001, 9, 9)], &[Promise::OneName]; "both go on")]
#[test_case(vec![started(0.0, 2), talked(3.0, 1, 10_000, 1200)], &[]; "as much as is allowed")]
#[test_case(vec![started(0.0, 2), talked(3.0, 1, 10_001, 1200)], &[Promise::Traffic]; "too much")]
#[test_case(vec![started(0.0, 2), talked(3.0, 1, 2000, 1201)], &[Promise::Traffic]; "too long")]
fn promises(mut events: Vec<Event>, broken: &[Promise]) {
    events.sort_by(|one, other| one.time().total_cmp(&other.time()));
    let mut found: Vec<Promise> = judge(&BOOK, &events).iter().map(|breach| breach.promise).collect();
    found.dedup();
    assert_eq!(found, broken);
}
