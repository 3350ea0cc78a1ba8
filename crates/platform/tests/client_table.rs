//! Which client connections are closed to make room for others.

use quaypath_platform::client_table::{Admission, ClientTable, ConnectionState};
use test_case::test_case;

use ConnectionState::{Busy, Evicted, Fresh, Idle, Lingering, Reading};

/// A full table of as many connections in these states, of which each was opened, and entered its state, 10 ms after the one
/// before it. The first one has number 1.
fn full_table(states: &[ConnectionState]) -> ClientTable {
    let mut clients = ClientTable::new(states.len(), 1);
    for (index, state) in states.iter().enumerate() {
        let now = index as f64 / 100.0;
        let (number, _) = clients.add(now);
        // A connection becomes idle after its first answer.
        let steps: &[ConnectionState] = if *state == Idle { &[Busy, Idle] } else { &[*state] };
        steps.iter().for_each(|step| clients.set_state(number, *step, now));
    }
    clients
}

fn evicted(clients: &ClientTable) -> Vec<u64> {
    (1..=8).filter(|number| clients.state(*number) == Some(Evicted)).collect()
}

/// Guards against a crowd of half requests that takes the places of clients that were served, and against idle connections that
/// keep out new ones.
#[test_case(&[Idle, Busy, Reading, Idle], 0.1, Some(1); "the longest idle one")]
#[test_case(&[Idle, Busy, Reading, Idle], 0.3, Some(3); "a request that stopped goes before")]
#[test_case(&[Idle, Busy, Reading, Fresh], 0.3, Some(4); "one that was always silent goes first")]
#[test_case(&[Idle, Reading, Lingering, Idle], 0.3, Some(3); "or one that only lingers")]
#[test_case(&[Idle, Reading, Reading, Fresh], 0.05, None; "idle ones stay while others wait for a request on most places")]
#[test_case(&[Busy, Busy, Busy, Busy], 9.0, None; "open transactions stay")]
fn a_place_is_taken_from(states: &[ConnectionState], now: f64, expected: Option<u64>) {
    let mut clients = full_table(states);
    let accepted = matches!(clients.admit(now), Admission::Accept);
    assert_eq!((accepted, evicted(&clients)), (expected.is_some(), expected.into_iter().collect()));
}

/// Guards against a client with a whole request that finds no place because others have not sent theirs yet.
#[test]
fn a_whole_request_gets_the_place_of_one_that_is_still_arriving() {
    let mut clients = full_table(&[Busy, Reading, Reading]);
    let permit = clients.admit(0.05);
    assert!(matches!(permit, Admission::Lobby(_)), "it is looked at first");
    assert!(matches!(clients.admit(0.05), Admission::Wait), "the lobby is full, and nobody is silent");
    assert!(clients.add_with_request(0.05).is_some());
    assert_eq!(evicted(&clients), [2]);
    clients.remove(2);
    // The next one takes the last place that is not busy.
    clients.set_state(4, Busy, 0.06);
    assert!(clients.add_with_request(0.06).is_some());
    clients.remove(3);
    clients.set_state(5, Busy, 0.07);
    assert!(clients.add_with_request(0.07).is_none(), "all others have a transaction");
}

/// Guards against a slow request that is ended although bytes of it arrive, and one that never ends.
#[test]
fn a_request_that_arrives_slowly_has_a_fair_time() {
    let mut clients = full_table(&[Busy, Reading]);
    for step in 1..=5 {
        clients.set_state(2, Reading, f64::from(step) * 0.09);
        assert!(!matches!(clients.admit(f64::from(step) * 0.09 + 0.05), Admission::Accept), "{step}");
    }
    assert!(matches!(clients.admit(0.6), Admission::Accept));
    assert_eq!(evicted(&clients), [2]);
}

/// Guards against a backlog that is accepted all at once, or not at all, while evicted connections close.
#[test]
fn few_connections_are_accepted_before_evicted_ones_have_closed() {
    let mut clients = full_table(&[Idle; 8]);
    let accept_all = |clients: &mut ClientTable| {
        let mut accepted = 0;
        while matches!(clients.admit(1.0), Admission::Accept) {
            let (number, _) = clients.add(1.0);
            clients.set_state(number, Busy, 1.0);
            accepted += 1;
        }
        accepted
    };
    assert_eq!(accept_all(&mut clients), 4);
    // A request arrived on one of them at the last moment: another idle one goes for it.
    clients.set_state(1, Busy, 1.0);
    (2..=4).for_each(|number| clients.remove(number));
    assert_eq!(accept_all(&mut clients), 3);
    assert_eq!(clients.state(1), Some(Busy));
}
