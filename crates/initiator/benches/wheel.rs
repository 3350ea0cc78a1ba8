//! The timer wheel against a binary heap and a B-tree, holding 1e3 to 1e6 timers: at each step one is set and
//! what is due is rung, as the gateway does it.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quaypath_initiator::timer_wheel::TimerWheel;

/// Distances like the gateway's: due times and outer limits from 10 ms to 5 s.
fn distance(at: u64) -> f64 {
    0.01 + (at.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as f64 / (1u64 << 24) as f64 * 5.0
}

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("set one, ring what is due");
    for held in [1_000u64, 10_000, 100_000, 1_000_000] {
        // A step is as long as keeps that many timers in play.
        let step = 2.5 / held as f64;
        group.bench_with_input(BenchmarkId::new("wheel", held), &held, |bencher, held| {
            let (mut now, mut at, mut rung) = (0.0, 0, Vec::new());
            let mut wheel = TimerWheel::new(now);
            (0..*held).for_each(|at| wheel.set(distance(at), at));
            bencher.iter(|| {
                (now, at) = (now + step, at + 1);
                wheel.set(now + distance(at), at);
                rung.clear();
                wheel.advance(now, &mut rung);
                rung.len()
            });
        });
        group.bench_with_input(BenchmarkId::new("heap", held), &held, |bencher, held| {
            let (mut now, mut at) = (0.0, 0);
            let key = |at: f64| (at * 1e9) as u64;
            let mut heap: BinaryHeap<Reverse<(u64, u64)>> =
                (0..*held).map(|at| Reverse((key(distance(at)), at))).collect();
            bencher.iter(|| {
                (now, at) = (now + step, at + 1);
                heap.push(Reverse((key(now + distance(at)), at)));
                let mut rung = 0;
                while heap.peek().is_some_and(|Reverse((at, _))| *at <= key(now)) {
                    heap.pop();
                    rung += 1;
                }
                rung
            });
        });
        group.bench_with_input(BenchmarkId::new("btree", held), &held, |bencher, held| {
            let (mut now, mut at) = (0.0, 0);
            let key = |at: f64| (at * 1e9) as u64;
            let mut tree: BTreeMap<(u64, u64), u64> =
                (0..*held).map(|at| ((key(distance(at)), at), at)).collect();
            bencher.iter(|| {
                (now, at) = (now + step, at + 1);
                tree.insert((key(now + distance(at)), at), at);
                let mut rung = 0;
                while tree.first_key_value().is_some_and(|((at, _), _)| *at <= key(now)) {
                    tree.pop_first();
                    rung += 1;
                }
                rung
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
