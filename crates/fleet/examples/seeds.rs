//! Storms by seed in simulated time on all cores: `seeds FROM COUNT MEMBERS [plain]`; prints what broke, and how often
//! the faults struck.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use quaypath_fleet::simulation::{play, Outcome, Play};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |at: usize, or: u64| arguments.get(at).and_then(|word| word.parse().ok()).unwrap_or(or);
    let (from, count, members) = (number(0, 1), number(1, 1000), number(2, 8) as u16);
    let plain = arguments.get(3).is_some_and(|word| word == "plain");
    let (next, all) = (AtomicU64::new(from), Mutex::new(Outcome::default()));
    let broken = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= from + count {
                    return;
                }
                let bound = quaypath_fleet::simulation::bound(members);
                let mut storm = Play::storm(seed, members, 25.0, 30.0 + 2.0 * bound);
                storm.plain = plain;
                let outcome = play(&storm);
                if !outcome.broken.is_empty() {
                    broken.lock().unwrap().push((seed, outcome.broken.clone()));
                }
                let mut all = all.lock().unwrap();
                all.detected.extend(outcome.detected);
                all.false_deaths += outcome.false_deaths;
                all.suspected += outcome.suspected;
                all.refuted += outcome.refuted;
                all.no_turn += outcome.no_turn;
                all.dropped += outcome.dropped;
                all.datagrams += outcome.datagrams;
                all.bytes += outcome.bytes;
                all.busiest = all.busiest.max(outcome.busiest);
                all.longest = all.longest.max(outcome.longest);
            });
        }
    });
    let mut all = all.into_inner().unwrap();
    all.detected.sort_by(f64::total_cmp);
    let at =
        |part: f64| all.detected.get((all.detected.len() as f64 * part) as usize).copied().unwrap_or(0.0);
    let broken = broken.into_inner().unwrap();
    for (seed, what) in broken.iter().take(10) {
        println!("seed {seed}: {}", what.join("; "));
    }
    println!(
        "{count} seeds of {members} members, {} broken; {} deaths detected, p50 {:.2} s, p99 {:.2} s; {} false deaths, \
         {} suspicions, {} refuted, {} without a turn, {} dropped; longest datagram {}, busiest second {} bytes",
        broken.len(),
        all.detected.len(),
        at(0.5),
        at(0.99),
        all.false_deaths,
        all.suspected,
        all.refuted,
        all.no_turn,
        all.dropped,
        all.longest,
        all.busiest
    );
}
