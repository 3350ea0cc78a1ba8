//! Searches all small cases of lending: `cargo run --release -p quaypath-fleet --example lending -- [MAX-STATES]`.
//! Prints a table with one line for each search.

use std::time::Instant;

use quaypath_fleet::explore::{explore, Bounds};

fn main() {
    let max_states = std::env::args().nth(1).and_then(|argument| argument.parse().ok()).unwrap_or(50_000_000);
    println!("| refill | clock drifts | borrowers | grants, repeats, restarts, time steps | states | depth | granted, borrowed | seconds | breach |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let clock_drifts = [[0, 0, 0], [-1, 1, 1], [-1, 1, -1]];
    // Loss, repeats and restarts each alone, searched to the end; then all of them, up to the maximum number of states.
    let event_limits = [(2, 0, 0, 3), (1, 1, 0, 3), (1, 0, 1, 3), (2, 1, 1, 4)];
    for ((grants, repeats, restarts, time_steps), (refill_rate, drifts)) in
        event_limits.iter().flat_map(|limits| {
            let settings = [100.0, 0.0].iter().flat_map(|rate| clock_drifts.map(|drifts| (*rate, drifts)));
            settings
                .filter(|(rate, drifts)| *rate > 0.0 || drifts[0] == 0)
                .map(|setting| (*limits, setting))
                .collect::<Vec<_>>()
        })
    {
        let borrowers = 1;
        let bounds = Bounds {
            initiators: 3,
            borrowers,
            grants,
            repeats,
            restarts,
            time_steps,
            spends: u32::from(refill_rate == 0.0),
            refill_rate,
            clock_drifts: drifts.to_vec(),
            disabled_safeguard: None,
            max_states,
        };
        let (started_at, result) = (Instant::now(), explore(&bounds));
        let cut_short_mark = if result.cut_short { "+" } else { "" };
        println!(
            "| {} | {drifts:?} | {borrowers} | {grants}, {repeats}, {restarts}, {time_steps} | {}{cut_short_mark} | {} | {}, {} | {:.0} | {:?} |",
            if refill_rate > 0.0 { "at once" } else { "never" },
            result.visited,
            result.depth,
            result.granted,
            result.borrowed,
            started_at.elapsed().as_secs_f64(),
            result.breach
        );
    }
}
