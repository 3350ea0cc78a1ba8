//! Searches all small cases of lending; `cargo run --release -p quaypath-fleet --example lending -- [MOST-STATES]`.

use std::time::Instant;

use quaypath_fleet::explore::{explore, Bounds};

fn main() {
    let most = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(50_000_000);
    println!("| fills | clocks | asks | grants, repeats, restarts, time | states | depth | given, taken | seconds | breach |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let clocks = [[0, 0, 0], [-1, 1, 1], [-1, 1, -1]];
    // Each of loss, repeat and restart alone to the end, then all of them as far as the states last.
    let parts = [(2, 0, 0, 3), (1, 1, 0, 3), (1, 0, 1, 3), (2, 1, 1, 4)];
    for ((grants, repeats, restarts, time), (rate, clocks)) in parts.iter().flat_map(|part| {
        let of = [100.0, 0.0].iter().flat_map(|rate| clocks.map(|clocks| (*rate, clocks)));
        of.filter(|(rate, clocks)| *rate > 0.0 || clocks[0] == 0).map(|of| (*part, of)).collect::<Vec<_>>()
    }) {
        let askers = 1;
        let bounds = Bounds {
            initiators: 3,
            askers,
            grants,
            repeats,
            restarts,
            time,
            spends: u32::from(rate == 0.0),
            rate,
            clocks: clocks.to_vec(),
            without: None,
            most,
        };
        let (began, found) = (Instant::now(), explore(&bounds));
        let cut = if found.cut_short { "+" } else { "" };
        println!(
            "| {} | {clocks:?} | {askers} | {grants}, {repeats}, {restarts}, {time} | {}{cut} | {} | {}, {} | {:.0} | {:?} |",
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
