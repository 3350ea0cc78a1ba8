//! The range index against a sorted `Vec` and a `BTreeMap`, 1e2 to 1e6 ranges, drawn look-ups.

use std::collections::BTreeMap;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quaypath_initiator::index::Ranges;

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("find the range of a block");
    for count in [100u64, 1_000, 10_000, 100_000, 1_000_000] {
        let list: Vec<(u64, u64, i64)> = (0..count).map(|at| (at * 100, 90, at as i64)).collect();
        let draw = |at: &mut u64| {
            *at = at.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (*at >> 20) % (count * 100)
        };
        let ranges = Ranges::new(&list);
        group.bench_function(BenchmarkId::new("index", count), |bencher| {
            let mut at = 1;
            bencher.iter(|| ranges.find(draw(&mut at)));
        });
        group.bench_function(BenchmarkId::new("vec", count), |bencher| {
            let mut at = 1;
            bencher.iter(|| {
                let block = draw(&mut at);
                let place = list.partition_point(|(from, ..)| *from <= block).checked_sub(1)?;
                Some(list[place]).filter(|(from, blocks, _)| block < from + blocks)
            });
        });
        let tree: BTreeMap<u64, (u64, i64)> =
            list.iter().map(|(from, blocks, node)| (*from, (*blocks, *node))).collect();
        group.bench_function(BenchmarkId::new("btree", count), |bencher| {
            let mut at = 1;
            bencher.iter(|| {
                let block = draw(&mut at);
                let (from, (blocks, node)) = tree.range(..=block).next_back()?;
                (block < from + blocks).then_some(*node)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
