//! The memory account: what is held by kind, its limits, and responses that wait for memory.

use std::rc::Rc;

use async_executor::LocalExecutor;
use futures_lite::future::{block_on, yield_now};
use quaypath_platform::memory::{
    allocated_bytes, ControlMemory, MemoryAccount, MemoryKind, MemoryLimits, MemoryUse, SMALL_BYTES,
    TRANSACTION_BYTES,
};
use test_case::test_case;

/// 100 kB, of which 30 kB are for responses and 20 kB for small buffers; 40 kB for bodies of requests.
fn account() -> MemoryAccount {
    MemoryAccount::new(MemoryLimits {
        capacity: 100_000,
        response_reserve: 30_000,
        small_reserve: 20_000,
        list_reserve: 0,
        max_list_reserve: 0,
        configuration_reserve: 0,
        max_request_bodies: 40_000,
        max_response_body: 30_000,
        max_clients: 10,
        max_volumes: 10,
    })
}

/// Guards against metrics that miss memory or keep counting released memory.
#[test]
fn held_and_peak_bytes_are_counted_by_kind_and_in_total() {
    let account = account();
    let mut head = account.hold(MemoryKind::RequestHead, 300);
    let body = account.hold(MemoryKind::RequestBody, 1000);
    assert!(head.try_resize(100));
    drop(body);
    let summary = account.take_summary();
    assert_eq!(summary.total, MemoryUse { held: 100, peak: 1300 });
    assert_eq!(summary.kinds["request_heads"], MemoryUse { held: 100, peak: 300 });
    assert_eq!(summary.kinds["request_bodies"], MemoryUse { held: 0, peak: 1000 });
    // The peaks begin anew with each report.
    assert_eq!(account.take_summary().total, MemoryUse { held: 100, peak: 100 });
}

/// Guards against long requests that keep out small ones or the answers of what was accepted.
#[test_case(MemoryKind::RequestHead, 50_000; "long requests leave both reserves")]
#[test_case(MemoryKind::RequestBody, 40_000; "bodies of requests leave room for their heads")]
#[test_case(MemoryKind::ResponseBody, 80_000; "long responses leave the small reserve")]
fn long_buffers_leave_the_reserves_of_others(kind: MemoryKind, most: usize) {
    let account = account();
    let mut long = account.try_hold(kind, most).expect("fits");
    assert!(!long.try_resize(most + 1));
    let small = account.try_hold(MemoryKind::RequestHead, SMALL_BYTES);
    assert_eq!(small.is_some(), kind != MemoryKind::ResponseBody, "a small request");
    assert!(account.try_hold(MemoryKind::ResponseBuffer, SMALL_BYTES).is_some(), "a small response");
    assert_eq!(account.take_summary().refused, 1 + u64::from(small.is_none()));
}

/// Guards against responses that overtake each other, or that keep memory after they gave up waiting.
#[test]
fn waiting_responses_get_released_memory_in_order() {
    let account = account();
    let executor = Rc::new(LocalExecutor::new());
    let mut first = account.try_hold(MemoryKind::ResponseBody, 60_000);
    let wait_for = |bytes| {
        let account = account.clone();
        executor.spawn(async move { account.hold_response(bytes).await })
    };
    block_on(executor.run(async {
        let (gives_up, long, short) = (wait_for(30_000), wait_for(50_000), wait_for(10_000));
        yield_now().await;
        yield_now().await;
        assert!(!long.is_finished() && !short.is_finished(), "there is room for the last one only");
        drop(gives_up);
        drop(first.take());
        let (long, short) = (long.await, short.await);
        assert_eq!(account.take_summary().total.held, 60_000);
        drop((long, short));
        let summary = account.take_summary();
        assert_eq!((summary.total.held, summary.waited), (0, 3));
    }));
}

/// Guards against clients that keep the gateway from its node lists and its configuration, and against lists that take the part
/// of the configuration.
#[test]
fn node_lists_and_configurations_have_room_beside_clients() {
    let limits = MemoryLimits { list_reserve: 20_000, max_list_reserve: 40_000, ..*account().limits() };
    let account = MemoryAccount::new(MemoryLimits { configuration_reserve: 10_000, ..limits });
    // Beside the reserves for responses, 30 kB, small requests, 20 kB, lists and configuration.
    let mut request = account.try_hold(MemoryKind::ReceiveBuffer, 20_000).expect("fits");
    assert!(!request.try_resize(20_001), "the reserves are kept");
    let mut list =
        account.try_hold(MemoryKind::Discovery, 70_000).expect("all that is left, but for a configuration");
    assert!(!list.try_resize(70_001) && account.try_hold(MemoryKind::Node, 1).is_none());
    assert!(account.try_hold(MemoryKind::Configuration, 10_000).is_some());
    // A longer list keeps more from clients, within the bound.
    assert!(list.try_resize(0));
    account.raise_list_reserve(30_000);
    assert!(request.try_resize(10_000) && !request.try_resize(10_001));
    account.raise_list_reserve(90_000);
    drop(request);
    assert!(account.try_hold(MemoryKind::ResponseBody, 30_001).is_none());
    assert!(account.try_hold(MemoryKind::ResponseBody, 30_000).is_some());
}

/// Guards against a sum of limits beyond the memory of the process, for the most and the least of the settings.
#[test_case(16e6, 8 << 20, 1024, 0)]
#[test_case(32e6, 6 << 20, 1024, 0)]
#[test_case(32e6, 13 << 20, 256, 0)]
#[test_case(192e6, 6 << 20, 1024, 0)]
#[test_case(2048e6, 6 << 20, 4096, 0)]
#[test_case(16e6, 20 << 20, 1024, 0; "no memory is left")]
#[test_case(32e6, 6 << 20, 1024, 3200; "a large fleet")]
#[test_case(16e6, 8 << 20, 1024, 30_000; "a fleet that is too large")]
fn the_limits_stay_within_the_memory_of_the_process(
    process: f64, resident: usize, descriptors: usize, nodes: usize,
) {
    let control = ControlMemory { nodes: nodes << 10, lists: nodes << 10, configuration: 400_000 };
    let (clients, node_connections) = (descriptors * 45 / 100, descriptors * 36 / 100);
    let limits = MemoryLimits::new(process, resident, clients, node_connections, control);
    let volumes = limits.max_volumes * quaypath_platform::memory::VOLUME_BYTES;
    assert!(limits.capacity + volumes <= (process as usize).saturating_sub(resident));
    // Each client has room for its connection and a small request.
    let client = quaypath_platform::memory::CONNECTION_BYTES + TRANSACTION_BYTES + SMALL_BYTES;
    assert!(limits.max_clients * client <= limits.capacity / 2);
    // What the clients may use with small requests leaves the nodes, their lists and a configuration.
    let clients = limits.max_clients * client;
    assert!(clients == 0 || clients + control.nodes + limits.list_reserve <= limits.capacity);
    assert!(limits.max_clients <= descriptors * 45 / 100);
}

#[test_case(0, 0)]
#[test_case(1, 32; "the least allocation")]
#[test_case(100, 116)]
#[test_case(4 << 10, 8 << 10; "a page and the header of the allocation")]
#[test_case((8 << 10) - 16, 8 << 10)]
fn long_allocations_are_counted_in_pages(capacity: usize, bytes: usize) {
    assert_eq!(allocated_bytes(capacity), bytes);
}
