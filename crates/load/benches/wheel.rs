//! The generator's own loop with the wheel and with a heap: arrivals set ahead and rung in order.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use quaypath_initiator::timer_wheel::TimerWheel;

const RATE: f64 = 50_000.0;
const COUNT: usize = 100_000;

/// Each arrival comes with a limit some seconds ahead, as in the generator: what waits is mostly limits.
fn with_wheel(limit: f64) -> u64 {
    let mut wheel = TimerWheel::with_resolution(0.0, 65_536.0);
    let (mut rang, mut sum, mut now) = (Vec::new(), 0, 0.0);
    for nth in 0..COUNT {
        now = nth as f64 / RATE;
        wheel.set(now + 0.1, 2 * nth as u64);
        wheel.set(now + limit, 2 * nth as u64 + 1);
        if nth % 16 == 0 {
            wheel.advance(now, &mut rang);
            sum += rang.drain(..).sum::<u64>();
        }
    }
    wheel.advance(now + limit + 1.0, &mut rang);
    sum + rang.drain(..).sum::<u64>()
}

fn with_heap(limit: f64) -> u64 {
    let mut heap: BinaryHeap<Reverse<(u64, u64)>> = BinaryHeap::new();
    let (mut sum, mut now) = (0, 0.0);
    let nanos = |at: f64| (at * 1e9) as u64;
    let mut ring = |heap: &mut BinaryHeap<Reverse<(u64, u64)>>, now: u64| {
        while heap.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            sum += heap.pop().map_or(0, |Reverse((_, what))| what);
        }
    };
    for nth in 0..COUNT {
        now = nth as f64 / RATE;
        heap.push(Reverse((nanos(now + 0.1), 2 * nth as u64)));
        heap.push(Reverse((nanos(now + limit), 2 * nth as u64 + 1)));
        if nth % 16 == 0 {
            ring(&mut heap, nanos(now));
        }
    }
    ring(&mut heap, nanos(now + limit + 1.0));
    sum
}

fn bench(criterion: &mut Criterion) {
    assert_eq!(with_wheel(1.2), with_heap(1.2));
    let mut group = criterion.benchmark_group("arrivals");
    group.throughput(Throughput::Elements(COUNT as u64)).sample_size(20);
    for limit in [0.2, 1.2, 5.0] {
        group.bench_with_input(BenchmarkId::new("wheel", limit), &limit, |bench, limit| {
            bench.iter(|| with_wheel(black_box(*limit)));
        });
        group.bench_with_input(BenchmarkId::new("heap", limit), &limit, |bench, limit| {
            bench.iter(|| with_heap(black_box(*limit)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
