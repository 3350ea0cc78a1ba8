//! Valid files load. Each invalid one is refused with a one-line message that names the place and the rule.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use quaypath_settings::{day, deployment};
use test_case::test_case;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A temporary file, which is removed at the end of the test.
struct TemporaryFile(PathBuf);

impl TemporaryFile {
    fn new(text: &str) -> TemporaryFile {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("quaypath-settings-{}-{}.xml", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        TemporaryFile(path)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn every_shipped_file_loads() {
    let mut count = 0;
    for entry in std::fs::read_dir(repository_root().join("deploy/samples")).unwrap() {
        deployment(&entry.unwrap().path()).unwrap();
        count += 1;
    }
    for entry in std::fs::read_dir(repository_root().join("days")).unwrap() {
        day(&entry.unwrap().path()).unwrap();
        count += 1;
    }
    assert!(count > 10);
}

fn sample(name: &str) -> String {
    std::fs::read_to_string(repository_root().join("deploy/samples").join(name)).unwrap()
}

#[test_case("rail.xml", "copies=\"false\"", "copies=\"true\"", "rule 2"; "two shots in flight at once")]
#[test_case("signing.xml", "scope=\"zone\" window=\"1.5\"", "scope=\"zone\"", "rule 2"; "a tagged band without a window")]
#[test_case("rail.xml", "repeat=\"once-only\"", "repeat=\"once-only\" window=\"2\"", "rule 2"; "a window of a band that is not tagged")]
#[test_case("rail.xml", "burst=\"72\"", "burst=\"3\"", "rule 7"; "a burst below the largest transaction")]
#[test_case("rail.xml", " limit=\"48\"", "", "rule 7"; "a burst without a limit")]
#[test_case("signing.xml", " ask-within=\"10\"", "", "rule 3"; "a register in mode asked without its poll interval")]
#[test_case("rail.xml", "due=\"0.2\" outer=\"1.2\"", "due=\"0.2\" outer=\"0.1\"", "due time"; "an outer limit before the due time")]
#[test_case("rail.xml", "plan=\"basic\" first", "plan=\"none\" first", "a plan of this file"; "an unknown plan")]
#[test_case("rail.xml", "first=\"101\"", "first=\"10\"", "each volume once"; "a duplicate volume")]
#[test_case("rail.xml", "name=\"export\"", "name=\"purchase\"", "each name once"; "a duplicate band")]
#[test_case("rail-fleet.xml", "member number=\"3\"", "member number=\"33\"", "below the layout's 10"; "a member number above the number of initiators")]
#[test_case("rail-fleet.xml", "member number=\"3\"", "member number=\"4\"", "each once"; "a duplicate member")]
#[test_case("rail-fleet.xml", "wait=\"0.2\"", "wait=\"0.5\"", "below the period"; "a check that does not end within its period")]
#[test_case("rail-fleet.xml", "window=\"5\"", "window=\"1\"", "probe-every"; "a window shorter than the probe interval")]
#[test_case("rail-fleet.xml", "127.1.0.4:7300", "here", "an address and port"; "an invalid address of a member")]
#[test_case("rail.xml", "first=\"1\"", "first=\"0\"", "start at 1"; "volume 0")]
#[test_case("rail.xml", "shots=\"4\"", "shots=\"four\"", "schema"; "not a number")]
#[test_case("rail.xml", "drain-grace=\"2\"", "drain-grace=\"-2\"", "schema"; "a negative time")]
#[test_case("rail.xml", "repeat=\"once-only\"", "repeat=\"twice\"", "schema"; "an unknown repeat kind")]
#[test_case("rail.xml", "<units mean", "<extra/><units mean", "schema"; "an unknown element")]
#[test_case("rail.xml", "drain-grace=\"2\" ", "", "schema"; "a missing attribute")]
#[test_case("rail.xml", "</deployment>", "", "well-formed"; "a missing end tag")]
fn an_invalid_deployment_is_refused(file: &str, from: &str, to: &str, expected: &str) {
    let text = sample(file);
    assert!(text.contains(from), "the sample has changed: {from}");
    let file = TemporaryFile::new(&text.replacen(from, to, 1));
    let error = deployment(&file.0).unwrap_err().to_string();
    assert!(error.contains(expected) && error.contains("quaypath-settings-"), "{error}");
    assert!(!error.contains('\n'), "{error}");
}

#[test_case("part=\"0.3\"/><share", "part=\"0.4\"/><share", "add up to 1"; "shares that exceed 1")]
#[test_case("band=\"export\"", "band=\"import\"", "a band of the deployment"; "an unknown band")]
#[test_case("plan=\"basic\"", "plan=\"none\"", "a plan of the deployment"; "an unknown plan")]
#[test_case("volume=\"203\"", "volume=\"9\"", ""; "a known volume")]
#[test_case("volume=\"203\"", "volume=\"999\"", "a volume of the deployment"; "an unknown volume")]
#[test_case("nodes=\"8\"", "nodes=\"9\"", "layout has 8"; "more nodes than the layout has")]
#[test_case("at=\"34\" lasts=\"3\"", "at=\"34\" lasts=\"30\"", "within the day"; "a fault that ends after the day")]
#[test_case("part=\"0.25\" size=\"3\"", "size=\"3\"", "neither part nor node"; "a fault without a target")]
#[test_case("kind=\"slow\"", "kind=\"sluggish\"", "schema"; "an unknown fault kind")]
fn an_invalid_day_is_refused(from: &str, to: &str, expected: &str) {
    check_changed_day("bad-day.xml", "rail.xml", from, to, expected);
}

/// Replaces `from` by `to` in a shipped day. Loading it must fail with a message that contains `expected`, or succeed if
/// `expected` is empty.
fn check_changed_day(name: &str, deployment: &str, from: &str, to: &str, expected: &str) {
    let text = std::fs::read_to_string(repository_root().join("days").join(name)).unwrap();
    assert!(text.contains(from), "the day has changed: {from}");
    let path = repository_root().join("deploy/samples").join(deployment).canonicalize().unwrap();
    let text = text.replace(&format!("../deploy/samples/{deployment}"), path.to_str().unwrap());
    let file = TemporaryFile::new(&text.replacen(from, to, 1));
    match day(&file.0) {
        Ok(_) => assert!(expected.is_empty()),
        Err(error) => assert!(!expected.is_empty() && error.to_string().contains(expected), "{error}"),
    }
}

#[test_case("kind=\"garble\" at=\"2\" lasts=\"50\" from=\"gateways\" to=\"gateways\" size=\"0.02\"", "kind=\"garble\" at=\"2\" lasts=\"50\" from=\"gateways\" to=\"gateways\" size=\"2\"", "a part of all datagrams"; "a fraction above 1")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"0-2\" to=\"3-17\"", "'3-17'"; "unknown gateways")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"0-2\"", "named by both ends"; "a link with one end")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"nodes\" to=\"register\"", "no gateway at either end"; "a link without a gateway")]
#[test_case("kind=\"stop\" at=\"12\" lasts=\"6\" node=\"1\"", "kind=\"stop\" at=\"12\" lasts=\"6\" from=\"1\" to=\"2\"", "only faults of links"; "a stop fault with link ends")]
#[test_case("size=\"1.05\"", "size=\"50\"", "rate of the clock"; "a clock rate above the maximum")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"zone-1\" to=\"0,n2-4,register\"", ""; "link ends of every kind")]
fn an_invalid_fault_of_the_fleet_is_refused(from: &str, to: &str, expected: &str) {
    check_changed_day("duties.xml", "rail-fleet.xml", from, to, expected);
}

#[test]
fn a_day_is_refused_as_a_deployment() {
    let error = deployment(&repository_root().join("days/calm.xml")).unwrap_err().to_string();
    assert!(error.contains("expected deployment"), "{error}");
}
