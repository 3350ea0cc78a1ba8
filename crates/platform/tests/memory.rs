//! The memory account: what is held by kind, its peaks, and its limits.

use quaypath_platform::memory::{MemoryAccount, MemoryKind, MemoryUse};

/// Guards against metrics that miss memory or keep counting released memory.
#[test]
fn held_and_peak_bytes_are_counted_by_kind_and_in_total() {
    let account = MemoryAccount::default();
    let mut head = account.hold(MemoryKind::RequestHead, 300);
    let body = account.hold(MemoryKind::RequestBody, 1000);
    head.resize(100);
    drop(body);
    let summary = account.take_summary();
    assert_eq!(summary.total, MemoryUse { held: 100, peak: 1300 });
    assert_eq!(summary.kinds["request_heads"], MemoryUse { held: 100, peak: 300 });
    assert_eq!(summary.kinds["request_bodies"], MemoryUse { held: 0, peak: 1000 });
    // The peaks begin anew with each report.
    assert_eq!(account.take_summary().total, MemoryUse { held: 100, peak: 100 });
}
