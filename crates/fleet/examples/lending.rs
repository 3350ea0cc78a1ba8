//! Searches all small cases of lending; `cargo run --release -p quaypath-fleet --example lending -- [MOST-STATES]`.

use std::time::Instant;

use quaypath_fleet::explore::{explore, Bounds};

fn main() {
    let most = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(50_000_000);
    println!("| fills | clocks | asks | states | depth | given, taken | seconds | breach |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    let clocks = [[0, 0, 0], [1, -1, -1], [-1, 1, 1], [-1, 1, -1]];
    for (rate, clocks, askers) in [100.0, 0.0]
        .iter()
        .flat_map(|rate| clocks.map(|clocks| (*rate, clocks, 1)))
        .chain([(100.0, [-1, 1, 1], 2)])
    {
        let bounds = Bounds {
            initiators: 3,
            askers,
            grants: 2,
            repeats: 1,
            restarts: 1,
            time: 4,
            spends: u32::from(rate == 0.0),
            rate,
            clocks: clocks.to_vec(),
            without: None,
            most,
        };
        let (began, found) = (Instant::now(), explore(&bounds));
        let cut = if found.cut_short { "+" } else { "" };
        println!(
            "| {} | {clocks:?} | {askers} | {}{cut} | {} | {}, {} | {:.0} | {:?} |",
            if rate > 0.0 { "at once" } else { "never" },
            found.visited,
            found.depth,
            found.given,
            found.taken,
            began.elapsed().as_secs_f64(),
            found.breach
        );
    }
}
