//! The replay window of request ids: what is known for how long.

use quaypath_platform::ids::{ReplayWindow, MOST};

/// Guards against a second copy of a transaction under the same id, and against ids kept for ever.
#[test]
fn an_id_is_known_for_its_time() {
    let mut ids = ReplayWindow::default();
    let one = ids.open("one").expect("new");
    assert_eq!(ids.open("one"), None, "open");
    ids.end(1.0, one, 5.0);
    let other = ids.open("other").expect("new");
    ids.end(5.9, other, 5.0);
    assert_eq!(ids.open("one"), None, "over, within its time");
    let third = ids.open("third").expect("new");
    ids.end(6.1, third, 5.0);
    assert!(ids.open("one").is_some(), "its time is over");
}

/// Guards against a flood of other ids that lets a second copy of an open transaction through.
#[test]
fn a_flood_does_not_let_an_open_id_go() {
    let mut ids = ReplayWindow::default();
    ids.open("open").expect("new");
    for at in 0..2 * MOST {
        let id = ids.open(&at.to_string()).expect("new");
        ids.end(7.0, id, 5.0);
    }
    assert_eq!(ids.open("open"), None);
    assert!(ids.len() <= MOST + 1, "{} held", ids.len());
    assert!(ids.open("0").is_some(), "the oldest of those that are over has gone");
}
