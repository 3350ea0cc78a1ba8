//! Which rest is the longest that a connection may have before it is used again.

use quaypath_platform::idle_reuse::IdleReuse;
use test_case::test_case;

/// Of each ten uses so many were lost, by the rest before: which rest is the longest that is used.
#[test_case(&[], f64::INFINITY; "nothing known")]
#[test_case(&[(0.002, 0), (0.5, 0)], f64::INFINITY; "all went well")]
#[test_case(&[(0.003, 1), (0.02, 0), (0.2, 1)], f64::INFINITY; "a few lost after any rest: no reason to rest less")]
#[test_case(&[(0.003, 0), (0.02, 0), (0.2, 4), (0.5, 5)], 0.128; "lost after long rests")]
fn rests(uses: &[(f64, usize)], longest: f64) {
    let mut rests = IdleReuse::default();
    for (rest, lost) in uses {
        for at in 0..100 {
            rests.note(10.0, *rest, at % 10 < *lost);
        }
    }
    let found = rests.longest(10.0);
    assert!(found == longest || (found - longest).abs() < 1e-9, "{found}");
    // What was long ago says nothing.
    assert_eq!(rests.longest(40.0), f64::INFINITY);
}
