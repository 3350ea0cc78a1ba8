//! For each promise of the fleet, a record with a breach that the judge must find, and a record just within the promise
//! that must pass.

use quaypath_record::Event;
use quaypath_rules::fleet::{judge, Parameters, Promise};
use test_case::test_case;

const PARAMETERS: Parameters = Parameters {
    duty_period: 2.0,
    window: 4.0,
    done_within: 10.0,
    done_at_worst: 20.0,
    settle_time: 15.0,
    max_bytes_per_second: 10_000.0,
    longest_datagram: 1200,
    transit: 0.05,
};

fn gateway_started(t: f64, gateway: u32) -> Event {
    Event::GatewayStarted { t, gateway }
}

fn gateway_killed(t: f64, gateway: u32) -> Event {
    Event::GatewayKilled { t, gateway }
}

fn fault(t: f64, kind: &str, on: &str, begins: bool) -> Event {
    Event::Fault { t, kind: kind.into(), on: on.into(), begins }
}

fn link_fault(t: f64, kind: &str, size: f64, begins: bool) -> Event {
    Event::LinkFault { t, kind: kind.into(), from: vec![1], to: vec![2], size, begins }
}

fn member_view(t: f64, live: &[u32], dead: &[u32]) -> Event {
    Event::MemberView { t, gateway: 1, process: 1, incarnation: 1, live: live.to_vec(), dead: dead.to_vec() }
}

fn member_traffic(t: f64, process: u32, bytes: u64, longest: u64) -> Event {
    Event::MemberTraffic { t, gateway: 2, process, seconds: 1.0, datagrams: 9, bytes, longest }
}

fn node_probed(t: f64, gateway: u32) -> Event {
    Event::NodeProbed { t, node: "n".into(), gateway }
}

fn node_started(t: f64) -> Event {
    Event::NodeStarted { t, node: "n".into(), block: 3, zone: "a".into(), cold: false }
}

fn node_stopped(t: f64) -> Event {
    Event::NodeStopped { t, node: "n".into() }
}

/// Gateway 1 probes a node every 2 s; gateway 2 does so too from `from` to `to`, seconds.
fn two_probers(from: f64, to: f64, added: &[Event]) -> Vec<Event> {
    let mut events = vec![node_started(0.0), gateway_started(0.0, 1), gateway_started(0.0, 2)];
    events.extend((0..30).map(|number| node_probed(f64::from(number) * 2.0, 1)));
    events.extend(
        (0..30)
            .map(|number| 1.0 + f64::from(number) * 2.0)
            .filter(|t| (from..=to).contains(t))
            .map(|t| node_probed(t, 2)),
    );
    events.extend_from_slice(added);
    events
}

/// Members 1 and 2 run; at `t` member 1 holds member 2 to be live or dead.
fn view_of_member(t: f64, live: bool, added: &[Event]) -> Vec<Event> {
    let view = if live { member_view(t, &[1, 2], &[]) } else { member_view(t, &[1], &[2]) };
    let mut events = vec![gateway_started(0.0, 1), gateway_started(0.0, 2), view];
    // Member 2 was already held dead at 0.1 s, so this is not a recent report.
    events.extend((!live).then(|| self::member_view(0.1, &[1], &[2])));
    events.extend_from_slice(added);
    events
}

/// Member 2 is held dead from early on and at `t`, but live 5 s before `t`.
fn dead_after_alive(t: f64) -> Vec<Event> {
    view_of_member(t, false, &[member_view(t - 5.0, &[1, 2], &[])])
}

#[test_case(two_probers(11.0, 15.0, &[]), &[]; "two members do a duty for the window")]
#[test_case(two_probers(11.0, 17.0, &[]), &[Promise::OneDoer]; "two members do a duty for longer than the window")]
#[test_case(two_probers(11.0, 31.0, &[link_fault(10.0, "cut", 0.0, true), link_fault(28.0, "cut", 0.0, false)]), &[]; "two members do a duty during a cut and for the window after it")]
#[test_case(two_probers(11.0, 43.0, &[link_fault(10.0, "cut", 0.0, true), link_fault(28.0, "cut", 0.0, false)]), &[Promise::OneDoer]; "two members do a duty long after a cut")]
#[test_case(two_probers(11.0, 31.0, &[link_fault(10.0, "lose", 0.3, true), link_fault(28.0, "lose", 0.3, false)]), &[Promise::OneDoer]; "two members do a duty during a tolerated loss")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), node_probed(5.0, 1), node_probed(15.0, 1), node_stopped(25.0)], &[]; "duty done again in time")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), node_probed(5.0, 1), node_probed(15.2, 1), node_stopped(25.0)], &[Promise::Done]; "duty done late")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), gateway_started(0.0, 2), node_probed(5.0, 1), gateway_killed(9.0, 2), node_probed(18.9, 1), node_stopped(20.0)], &[]; "duty done in time after a kill")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), gateway_started(0.0, 2), node_probed(5.0, 1), gateway_killed(9.0, 2), node_probed(19.2, 1), node_stopped(20.0)], &[Promise::Done]; "duty done late after a kill")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), gateway_started(0.0, 2), node_probed(5.0, 1), gateway_killed(9.0, 2), gateway_started(18.0, 2), node_probed(25.2, 1), node_stopped(26.0)], &[Promise::Done]; "duty done later than the time for the worst case")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), node_probed(5.0, 1), node_stopped(12.0), node_started(40.0), node_probed(45.0, 1), node_stopped(46.0)], &[]; "no node to probe")]
#[test_case(vec![node_started(0.0), gateway_started(0.0, 1), node_probed(5.0, 1), fault(6.0, "partition", "n", true), fault(40.0, "partition", "n", false), node_probed(45.0, 1), node_stopped(46.0)], &[]; "a node that no probe can reach")]
#[test_case(view_of_member(10.0, false, &[]), &[]; "held dead soon after its start")]
#[test_case(view_of_member(16.0, false, &[]), &[Promise::LiveHeldLive]; "held dead long after its start")]
#[test_case(dead_after_alive(40.0), &[]; "held dead again for a short time")]
#[test_case(view_of_member(40.0, false, &[fault(20.0, "stall", "2", true), fault(26.0, "stall", "2", false)]), &[]; "held dead soon after a stall")]
#[test_case(view_of_member(42.0, false, &[fault(20.0, "stall", "2", true), fault(26.0, "stall", "2", false)]), &[Promise::LiveHeldLive]; "held dead long after a stall")]
#[test_case(view_of_member(40.0, false, &[link_fault(20.0, "one-way", 0.0, true)]), &[]; "held dead during a cut")]
#[test_case(view_of_member(40.0, false, &[link_fault(20.0, "repeat", 0.5, true)]), &[Promise::LiveHeldLive]; "held dead while a link repeats datagrams")]
#[test_case(view_of_member(34.0, true, &[gateway_killed(20.0, 2)]), &[]; "held alive soon after its kill")]
#[test_case(view_of_member(36.0, true, &[gateway_killed(20.0, 2)]), &[Promise::DeadHeldDead]; "held alive long after its kill")]
#[test_case(view_of_member(36.0, true, &[gateway_killed(20.0, 2), gateway_started(22.0, 2)]), &[]; "held alive after a kill and a restart")]
#[test_case(vec![gateway_started(0.0, 2), fault(10.0, "twins", "2", true), member_traffic(20.0, 1, 9, 9), member_traffic(20.0, 1001, 9, 9), member_traffic(40.0, 1001, 9, 9)], &[]; "one of two processes stops sending")]
#[test_case(vec![gateway_started(0.0, 2), fault(10.0, "twins", "2", true), member_traffic(40.0, 1, 9, 9), member_traffic(40.0, 1001, 9, 9)], &[Promise::OneName]; "both processes go on sending")]
#[test_case(vec![gateway_started(0.0, 2), member_traffic(3.0, 1, 10_000, 1200)], &[]; "the maximum rate and datagram length")]
#[test_case(vec![gateway_started(0.0, 2), member_traffic(3.0, 1, 10_001, 1200)], &[Promise::Traffic]; "above the maximum rate")]
#[test_case(vec![gateway_started(0.0, 2), member_traffic(3.0, 1, 2000, 1201)], &[Promise::Traffic]; "above the maximum datagram length")]
fn promises(mut events: Vec<Event>, expected: &[Promise]) {
    events.sort_by(|left, right| left.time().total_cmp(&right.time()));
    let mut found: Vec<Promise> = judge(&PARAMETERS, &events).iter().map(|breach| breach.promise).collect();
    found.dedup();
    assert_eq!(found, expected);
}
