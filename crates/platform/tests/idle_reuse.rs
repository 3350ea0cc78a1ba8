//! The longest idle time after which a connection is reused.

use quaypath_platform::idle_reuse::IdleReuse;
use test_case::test_case;

/// Each case lists idle times with the number of requests lost in every ten uses, and the expected longest idle time.
#[test_case(&[], f64::INFINITY; "no uses recorded")]
#[test_case(&[(0.002, 0), (0.5, 0)], f64::INFINITY; "no losses")]
#[test_case(&[(0.003, 1), (0.02, 0), (0.2, 1)], f64::INFINITY; "a few losses after any idle time do not limit it")]
#[test_case(&[(0.003, 0), (0.02, 0), (0.2, 4), (0.5, 5)], 0.128; "losses after long idle times")]
fn the_longest_idle_time_follows_the_losses(uses: &[(f64, usize)], expected: f64) {
    let mut statistics = IdleReuse::default();
    for (idle_time, lost_in_ten) in uses {
        for number in 0..100 {
            statistics.record(10.0, *idle_time, number % 10 < *lost_in_ten);
        }
    }
    let longest = statistics.max_idle_time(10.0);
    assert!(longest == expected || (longest - expected).abs() < 1e-9, "{longest}");
    // Losses that are longer ago than the statistics reach have no effect.
    assert_eq!(statistics.max_idle_time(40.0), f64::INFINITY);
}
