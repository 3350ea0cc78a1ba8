//! Good files load; each bad one is refused with one message that names the place and the rule.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use quaypath_settings::{day, deployment};
use test_case::test_case;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// A file with this text, for as long as the test.
struct File(PathBuf);

impl File {
    fn new(text: &str) -> File {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("quaypath-settings-{}-{}.xml", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

#[test]
fn every_shipped_file_loads() {
    let mut count = 0;
    for entry in std::fs::read_dir(root().join("deploy/samples")).unwrap() {
        deployment(&entry.unwrap().path()).unwrap();
        count += 1;
    }
    for entry in std::fs::read_dir(root().join("days")).unwrap() {
        day(&entry.unwrap().path()).unwrap();
        count += 1;
    }
    assert!(count > 10);
}

fn sample(name: &str) -> String {
    std::fs::read_to_string(root().join("deploy/samples").join(name)).unwrap()
}

#[test_case("rail.xml", "copies=\"false\"", "copies=\"true\"", "rule 2"; "two shots at once")]
#[test_case("signing.xml", "scope=\"zone\" window=\"1.5\"", "scope=\"zone\"", "rule 2"; "a tag without a window")]
#[test_case("rail.xml", "repeat=\"once-only\"", "repeat=\"once-only\" window=\"2\"", "rule 2"; "a window without a tag")]
#[test_case("rail.xml", "burst=\"72\"", "burst=\"3\"", "rule 7"; "a burst under the largest transaction")]
#[test_case("rail.xml", " limit=\"48\"", "", "rule 7"; "a burst without a limit")]
#[test_case("signing.xml", " ask-within=\"10\"", "", "rule 3"; "an asked register without its span")]
#[test_case("rail.xml", "due=\"0.2\" outer=\"1.2\"", "due=\"0.2\" outer=\"0.1\"", "due time"; "an outer limit before the due time")]
#[test_case("rail.xml", "plan=\"basic\" first", "plan=\"none\" first", "a plan of this file"; "a plan that is not there")]
#[test_case("rail.xml", "first=\"101\"", "first=\"10\"", "each volume once"; "a volume twice")]
#[test_case("rail.xml", "name=\"export\"", "name=\"purchase\"", "each name once"; "a band twice")]
#[test_case("rail-fleet.xml", "member number=\"3\"", "member number=\"33\"", "below the layout's 10"; "a member beyond the layout")]
#[test_case("rail-fleet.xml", "member number=\"3\"", "member number=\"4\"", "each once"; "a member twice")]
#[test_case("rail-fleet.xml", "wait=\"0.2\"", "wait=\"0.5\"", "below the period"; "a check that never ends in its period")]
#[test_case("rail-fleet.xml", "window=\"5\"", "window=\"1\"", "probe-every"; "a window shorter than a round")]
#[test_case("rail-fleet.xml", "127.1.0.4:7300", "here", "an address and port"; "a member without an address")]
#[test_case("rail.xml", "first=\"1\"", "first=\"0\"", "start at 1"; "volume 0")]
#[test_case("rail.xml", "shots=\"4\"", "shots=\"four\"", "schema"; "not a number")]
#[test_case("rail.xml", "drain-grace=\"2\"", "drain-grace=\"-2\"", "schema"; "a negative time")]
#[test_case("rail.xml", "repeat=\"once-only\"", "repeat=\"twice\"", "schema"; "an unknown repeat kind")]
#[test_case("rail.xml", "<units mean", "<extra/><units mean", "schema"; "an unknown element")]
#[test_case("rail.xml", "drain-grace=\"2\" ", "", "schema"; "a missing attribute")]
#[test_case("rail.xml", "</deployment>", "", "well-formed"; "an end that is missing")]
fn a_bad_deployment_is_refused(file: &str, from: &str, to: &str, word: &str) {
    let text = sample(file);
    assert!(text.contains(from), "the sample has changed: {from}");
    let file = File::new(&text.replacen(from, to, 1));
    let error = deployment(&file.0).unwrap_err().to_string();
    assert!(error.contains(word) && error.contains("quaypath-settings-"), "{error}");
    assert!(!error.contains('\n'), "{error}");
}

#[test_case("part=\"0.3\"/><share", "part=\"0.4\"/><share", "add up to 1"; "shares over the whole")]
#[test_case("band=\"export\"", "band=\"import\"", "a band of the deployment"; "a band that is not there")]
#[test_case("plan=\"basic\"", "plan=\"none\"", "a plan of the deployment"; "a plan that is not there")]
#[test_case("volume=\"203\"", "volume=\"9\"", ""; "a volume that is there")]
#[test_case("volume=\"203\"", "volume=\"999\"", "a volume of the deployment"; "a volume that is not there")]
#[test_case("nodes=\"8\"", "nodes=\"9\"", "layout has 8"; "nodes that have no data")]
#[test_case("at=\"34\" lasts=\"3\"", "at=\"34\" lasts=\"30\"", "within the day"; "a fault past the end")]
#[test_case("part=\"0.25\" size=\"3\"", "size=\"3\"", "neither part nor node"; "a fault on nothing")]
#[test_case("kind=\"slow\"", "kind=\"sluggish\"", "schema"; "an unknown fault")]
fn a_bad_day_is_refused(from: &str, to: &str, word: &str) {
    refused("bad-day.xml", "rail.xml", from, to, word);
}

/// A shipped day with one place changed is refused with this word, or loads where there is none.
fn refused(name: &str, deployment: &str, from: &str, to: &str, word: &str) {
    let text = std::fs::read_to_string(root().join("days").join(name)).unwrap();
    assert!(text.contains(from), "the day has changed: {from}");
    let path = root().join("deploy/samples").join(deployment).canonicalize().unwrap();
    let text = text.replace(&format!("../deploy/samples/{deployment}"), path.to_str().unwrap());
    let file = File::new(&text.replacen(from, to, 1));
    match day(&file.0) {
        Ok(_) => assert!(word.is_empty()),
        Err(error) => assert!(!word.is_empty() && error.to_string().contains(word), "{error}"),
    }
}

#[test_case("kind=\"garble\" at=\"2\" lasts=\"50\" from=\"gateways\" to=\"gateways\" size=\"0.02\"", "kind=\"garble\" at=\"2\" lasts=\"50\" from=\"gateways\" to=\"gateways\" size=\"2\"", "a part of all datagrams"; "more than all")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"0-2\" to=\"3-17\"", "'3-17'"; "gateways that are not there")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"0-2\"", "named by both ends"; "a link with one end")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"nodes\" to=\"register\"", "no gateway at either end"; "a link of no gateway")]
#[test_case("kind=\"stop\" at=\"12\" lasts=\"6\" node=\"1\"", "kind=\"stop\" at=\"12\" lasts=\"6\" from=\"1\" to=\"2\"", "only faults of links"; "a stop of a link")]
#[test_case("size=\"1.05\"", "size=\"50\"", "rate of the clock"; "a clock that races")]
#[test_case("from=\"0-2\" to=\"3-7\"", "from=\"zone-1\" to=\"0,n2-4,register\"", ""; "ends of every kind")]
fn a_bad_fault_of_the_fleet_is_refused(from: &str, to: &str, word: &str) {
    refused("duties.xml", "rail-fleet.xml", from, to, word);
}

#[test]
fn a_day_is_no_deployment() {
    let error = deployment(&root().join("days/calm.xml")).unwrap_err().to_string();
    assert!(error.contains("expected deployment"), "{error}");
}
