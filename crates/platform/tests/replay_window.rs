//! The replay window of request ids: which ids it knows, and for how long.

use quaypath_platform::replay_window::{ReplayWindow, MAX_ENDED_IDS};

/// Guards against a second copy of a transaction under the same id, and against ids that are kept for ever.
#[test]
fn an_id_is_known_for_its_retention_time() {
    let mut window = ReplayWindow::default();
    let first = window.open("first").expect("a new id");
    assert_eq!(window.open("first"), None, "the transaction is open");
    window.end(1.0, first, 5.0);
    let second = window.open("second").expect("a new id");
    window.end(5.9, second, 5.0);
    assert_eq!(window.open("first"), None, "the transaction ended within the retention time");
    let third = window.open("third").expect("a new id");
    window.end(6.1, third, 5.0);
    assert!(window.open("first").is_some(), "the retention time is over");
}

/// Guards against a flood of new ids that removes the id of an open transaction, so that a second copy of it is accepted.
#[test]
fn a_flood_of_ids_does_not_remove_an_open_id() {
    let mut window = ReplayWindow::default();
    window.open("open").expect("a new id");
    for number in 0..2 * MAX_ENDED_IDS {
        let id = window.open(&number.to_string()).expect("a new id");
        window.end(7.0, id, 5.0);
    }
    assert_eq!(window.open("open"), None);
    assert!(window.len() <= MAX_ENDED_IDS + 1, "{} ids in the window", window.len());
    assert!(window.open("0").is_some(), "the oldest ended id was removed");
}
