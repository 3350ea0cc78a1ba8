//! Compares the range index with a sorted `Vec` and a `BTreeMap`, for 1e2 to 1e6 ranges and pseudorandom look-ups.

use std::collections::BTreeMap;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use quaypath_initiator::index::Ranges;

fn bench(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("find the range of a block");
    for count in [100u64, 1_000, 10_000, 100_000, 1_000_000] {
        let list: Vec<(u64, u64, i64)> = (0..count).map(|number| (number * 100, 90, number as i64)).collect();
        let random_block = |state: &mut u64| {
            *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (*state >> 20) % (count * 100)
        };
        let ranges = Ranges::new(&list);
        group.bench_function(BenchmarkId::new("index", count), |bencher| {
            let mut state = 1;
            bencher.iter(|| ranges.find(random_block(&mut state)));
        });
        group.bench_function(BenchmarkId::new("vec", count), |bencher| {
            let mut state = 1;
            bencher.iter(|| {
                let block = random_block(&mut state);
                let position = list.partition_point(|(start, ..)| *start <= block).checked_sub(1)?;
                Some(list[position]).filter(|(start, blocks, _)| block < start + blocks)
            });
        });
        let tree: BTreeMap<u64, (u64, i64)> =
            list.iter().map(|(start, blocks, node)| (*start, (*blocks, *node))).collect();
        group.bench_function(BenchmarkId::new("btree", count), |bencher| {
            let mut state = 1;
            bencher.iter(|| {
                let block = random_block(&mut state);
                let (start, (blocks, node)) = tree.range(..=block).next_back()?;
                (block < start + blocks).then_some(*node)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench);
criterion_main!(benches);
