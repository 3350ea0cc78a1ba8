//! The replay window of request ids: which ids it knows, and for how long.

use quaypath_platform::memory::{MemoryAccount, MemoryKind, MemoryLimits};
use quaypath_platform::replay_window::{OpenError, ReplayWindow, ID_BYTES};

/// A window with room for this many ids, in which ids are known for 5 s.
fn window(max_ids: usize) -> (ReplayWindow, MemoryAccount) {
    let account =
        MemoryAccount::new(MemoryLimits { capacity: max_ids * ID_BYTES, ..MemoryLimits::default() });
    (ReplayWindow::new(5.0, &account), account)
}

/// Guards against a second copy of a transaction under the same id, and against ids that are kept for ever.
#[test]
fn an_id_is_known_for_its_retention_time() {
    let (mut window, _) = window(100);
    let first = window.open(0.0, "first").expect("a new id");
    assert_eq!(window.open(0.9, "first"), Err(OpenError::Known), "the transaction is open");
    window.end(1.0, first, true);
    let second = window.open(1.0, "second").expect("a new id");
    window.end(5.9, second, true);
    let known = window.open(5.9, "first");
    assert_eq!(known, Err(OpenError::Known), "the transaction ended within the retention time");
    assert!(window.open(6.1, "first").is_ok(), "the retention time is over");
    assert_eq!(window.open(6.1, "second"), Err(OpenError::Known));
}

/// Guards against a refusal of a request that can safely be sent again, as nothing of it has run.
#[test]
fn an_id_whose_transaction_cannot_have_run_is_free_again() {
    let (mut window, account) = window(100);
    let first = window.open(0.0, "first").expect("a new id");
    window.end(1.0, first, false);
    assert!(window.is_empty() && account.take_summary().total.held == 0);
    assert!(window.open(1.0, "first").is_ok());
}

/// Guards against a flood of new ids that removes one that is open or that may have run, so that a second copy of it is accepted
/// (docs/incidents/forgotten-ids.md), and against memory that grows without a bound.
#[test]
fn a_flood_of_ids_removes_none_before_its_time() {
    const MAX_IDS: usize = 40_000;
    let (mut window, account) = window(MAX_IDS);
    window.open(0.0, "open").expect("a new id");
    let mut added = 0;
    while let Ok(id) = window.open(7.0, &added.to_string()) {
        window.end(7.0, id, true);
        added += 1;
    }
    assert_eq!((added, window.len()), (MAX_IDS - 1, MAX_IDS));
    assert_eq!(account.take_summary().total.held, MAX_IDS * ID_BYTES);
    assert_eq!(window.open(11.9, "new"), Err(OpenError::NoMemory));
    for id in ["open", "0", "1", "20000", "39998"] {
        assert_eq!(window.open(11.9, id), Err(OpenError::Known), "{id}");
    }
    assert!(window.open(12.1, "0").is_ok(), "the retention time is over");
    assert_eq!((window.len(), account.take_summary().total.held), (2, 2 * ID_BYTES));
    assert_eq!(window.open(99.0, "open"), Err(OpenError::Known));
}

/// Guards against memory of the window beyond what is counted: the set and the queue of ids allocate no more.
#[test]
fn an_id_takes_no_more_memory_than_is_counted() {
    // Before it grows, a set is at least 7/16 full, with a byte beside each of its places.
    let in_set = (size_of::<u64>() + 1) * 16 / 7;
    let in_queue = size_of::<(f64, u64)>() * 2;
    assert!(in_set + in_queue <= ID_BYTES);
    assert_eq!(MemoryKind::RequestId.name(), "request_ids");
}
