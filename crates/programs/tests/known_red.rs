//! Tests of `.ci/known-red`, which turns the list of known failing tests into `--skip` arguments for CI. Each entry needs the
//! exact name of one test, a command, what was seen and an issue number.

use std::process::Command;

use test_case::test_case;

/// Names of all tests, one a line, as the script reads them.
const TESTS: &str = "one\nother::two\nthree\nfour\ntwice\ntwice\n";

// Guards against a list that skips more tests than it names, and against an entry without an issue, which would skip a
// test for good.
#[test_case("", Some(""); "empty")]
#[test_case("one, play one 7, the disk stands, 38\n", Some("--skip\none\n"); "one")]
#[test_case("one, play one 7, the disk stands, 38", Some("--skip\none\n"); "no trailing newline")]
#[test_case("one, play, seen, with a comma, 38\nother::two, play, seen, 38\n\n", Some("--skip\none\n--skip\nother::two\n"); "two and an empty line")]
#[test_case("one, a, s, 1\nthree, b, s, 2\nfour, c, s, 3\nother::two, d, s, 4\n", Some("--skip\none\n--skip\nthree\n--skip\nfour\n--skip\nother::two\n"); "more than three")]
#[test_case("two, play, seen, 38\n", None; "part of a name")]
#[test_case("none, play, seen, 38\n", None; "unknown test")]
#[test_case("twice, play, seen, 38\n", None; "name of two tests")]
#[test_case("one, play, seen, 38\nnone, play, seen, 38\n", None; "unknown test after a known one")]
#[test_case("one, play, seen\n", None; "no issue")]
#[test_case("one, play, seen, later\n", None; "issue is not a number")]
#[test_case("one, play, seen, 38 or 41\n", None; "issue is more than a number")]
#[test_case("one, the disk stands, 38\n", None; "no command")]
#[test_case("one, , seen, 38\n", None; "an empty command")]
#[test_case("one, play, , 38\n", None; "empty observation")]
#[test_case("one, play, seen, \n", None; "an empty issue")]
#[test_case("one\n", None; "name only")]
fn list_is_checked(list: &str, expected: Option<&str>) {
    static NUMBER: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let write_file = |name: &str, text: &str| {
        let path = std::env::temp_dir().join(format!("quaypath-red-{}-{number}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        path
    };
    let (list_file, tests_file) = (write_file("list", list), write_file("tests", TESTS));
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/known-red");
    let output = Command::new("bash").arg(script).args([&list_file, &tests_file]).output().expect("bash");
    let (printed, error_text) =
        (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    match expected {
        Some(expected) => {
            assert!(output.status.success(), "{error_text}");
            assert_eq!(printed, expected);
            // Each entry is printed on standard error.
            let entries = list.lines().filter(|line| !line.is_empty());
            assert!(entries.clone().all(|line| error_text.contains(line)), "{error_text}");
        }
        None => assert!(!output.status.success() && error_text.contains("list"), "{error_text}"),
    }
    let _ = (std::fs::remove_file(list_file), std::fs::remove_file(tests_file));
}
