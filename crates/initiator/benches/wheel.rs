//! Compares the timer wheel with a binary heap and a B-tree that hold 1e3 to 1e6 timers. Like in the gateway, each step
//! sets one timer and fires those that are due.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quaypath_initiator::timer_wheel::TimerWheel;

/// Delay of a timer, seconds: like the due times and outer limits of the gateway, from 10 ms to 5 s.
fn delay(id: u64) -> f64 {
    0.01 + (id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1u64 << 24) as f64 * 5.0
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("set one timer, fire those that are due");
    for timer_count in [1_000u64, 10_000, 100_000, 1_000_000] {
        // With steps of this length, seconds, about as many timers fire as are set. The mean delay is 2.5 s.
        let step = 2.5 / timer_count as f64;
        group.bench_with_input(
            BenchmarkId::new("wheel", timer_count),
            &timer_count,
            |bencher, timer_count| {
                let (mut now, mut id, mut fired) = (0.0, 0, Vec::new());
                let mut wheel = TimerWheel::new(now);
                (0..*timer_count).for_each(|id| wheel.set(delay(id), id));
                bencher.iter(|| {
                    (now, id) = (now + step, id + 1);
                    wheel.set(now + delay(id), id);
                    fired.clear();
                    wheel.advance(now, &mut fired);
                    fired.len()
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("heap", timer_count),
            &timer_count,
            |bencher, timer_count| {
                let (mut now, mut id) = (0.0, 0);
                let key = |time: f64| (time * 1e9) as u64;
                let mut heap: BinaryHeap<Reverse<(u64, u64)>> =
                    (0..*timer_count).map(|id| Reverse((key(delay(id)), id))).collect();
                bencher.iter(|| {
                    (now, id) = (now + step, id + 1);
                    heap.push(Reverse((key(now + delay(id)), id)));
                    let mut fired = 0;
                    while heap.peek().is_some_and(|Reverse((time, _))| *time <= key(now)) {
                        heap.pop();
                        fired += 1;
                    }
                    fired
                });
            },
        );
        group.bench_with_input(
            BenchmarkId::new("btree", timer_count),
            &timer_count,
            |bencher, timer_count| {
                let (mut now, mut id) = (0.0, 0);
                let key = |time: f64| (time * 1e9) as u64;
                let mut tree: BTreeMap<(u64, u64), u64> =
                    (0..*timer_count).map(|id| ((key(delay(id)), id), id)).collect();
                bencher.iter(|| {
                    (now, id) = (now + step, id + 1);
                    tree.insert((key(now + delay(id)), id), id);
                    let mut fired = 0;
                    while tree.first_key_value().is_some_and(|((time, _), _)| *time <= key(now)) {
                        tree.pop_first();
                        fired += 1;
                    }
                    fired
                });
            },
        );
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
