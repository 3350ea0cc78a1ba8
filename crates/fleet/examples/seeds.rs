//! Simulates scenarios with random faults by seed, on all processor cores: `seeds FROM COUNT MEMBERS [plain]`, with
//! `plain` for the baseline. Prints the broken guarantees and how often the faults occurred.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use quaypath_fleet::simulation::{convergence_bound, simulate, Outcome, Scenario};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |index: usize, default: u64| {
        arguments.get(index).and_then(|argument| argument.parse().ok()).unwrap_or(default)
    };
    let (from, count, members) = (number(0, 1), number(1, 1000), number(2, 8) as u16);
    let baseline = arguments.get(3).is_some_and(|argument| argument == "plain");
    let (next_seed, total) = (AtomicU64::new(from), Mutex::new(Outcome::default()));
    let breaches = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let bound = convergence_bound(members);
                let mut scenario = Scenario::random(seed, members, 25.0, 30.0 + 2.0 * bound);
                scenario.baseline = baseline;
                let outcome = simulate(&scenario);
                if !outcome.breaches.is_empty() {
                    breaches.lock().unwrap().push((seed, outcome.breaches.clone()));
                }
                let mut total = total.lock().unwrap();
                total.detection_times.extend(outcome.detection_times);
                total.false_deaths += outcome.false_deaths;
                total.suspected += outcome.suspected;
                total.refuted += outcome.refuted;
                total.stalls += outcome.stalls;
                total.dropped += outcome.dropped;
                total.datagrams += outcome.datagrams;
                total.bytes += outcome.bytes;
                total.max_bytes_in_second = total.max_bytes_in_second.max(outcome.max_bytes_in_second);
                total.longest_datagram = total.longest_datagram.max(outcome.longest_datagram);
            });
        }
    });
    let mut total = total.into_inner().unwrap();
    total.detection_times.sort_by(f64::total_cmp);
    let quantile = |part: f64| {
        total
            .detection_times
            .get((total.detection_times.len() as f64 * part) as usize)
            .copied()
            .unwrap_or(0.0)
    };
    let breaches = breaches.into_inner().unwrap();
    for (seed, found) in breaches.iter().take(10) {
        println!("seed {seed}: {}", found.join("; "));
    }
    println!(
        "{count} seeds of {members} members, {} broken; {} deaths detected, p50 {:.2} s, p99 {:.2} s; {} false deaths, \
         {} suspicions, {} refuted, {} stalls, {} dropped; longest datagram {}, busiest second {} bytes",
        breaches.len(),
        total.detection_times.len(),
        quantile(0.5),
        quantile(0.99),
        total.false_deaths,
        total.suspected,
        total.refuted,
        total.stalls,
        total.dropped,
        total.longest_datagram,
        total.max_bytes_in_second
    );
}
