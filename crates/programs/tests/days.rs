//! Short days run with the real programs, checked from what passed over the sockets by the same checker as long days.

mod day;

use std::path::PathBuf;
use std::process::Command;

use day::{run_day, sample_path, write_day_file, RAIL_TRAFFIC};
use test_case::test_case;

/// Transit time allowed by the checks, seconds. It allows for late timestamps on a loaded machine and is far below the bounds
/// of the rules.
const TRANSIT_S: &str = "0.3";

/// Writes a day of 7 s with this fleet and traffic.
fn write_day(name: &str, deployment: &str, fleet: &str, rate: u32, shares: &str, faults: &str) -> PathBuf {
    let text = format!(
        r#"<day name="{name}" deployment="{}" seed="5" lasts="7" transit="{TRANSIT_S}">
<fleet {fleet} cores="2" unit-time="0.01" run-part="0.5" put-off="0.3" flush-every="2" queue="50" warm-after="8"
 cancel-stops="true" notice="1"/>
<traffic rate="{rate}" retries="1">{shares}</traffic>{faults}</day>"#,
        sample_path(deployment).display()
    );
    write_day_file(&format!("days-{name}"), &text)
}

const SIGNING: &str =
    r#"<share band="fetch" part="0.5"/><share band="submit" part="0.4"/><share band="bulk" part="0.1"/>"#;
const LEDGER: &str = r#"<share band="read" part="0.6"/><share band="write" part="0.4"/>"#;
const FAULTS: &str = r#"
<fault kind="fast-errors" at="1" lasts="3" part="0.3" size="0.5"/>
<fault kind="resets" at="2" lasts="2" part="0.3" size="2"/>
<fault kind="kill-initiators" at="2" lasts="2" part="0.4" returns="1"/>
<fault kind="drain" at="1.5" lasts="1" part="0.3" waves="2" size="1" returns="1.5"/>
<fault kind="lost-answers" at="3" lasts="2" part="0.3" size="0.2"/>"#;

#[test_case("rail", "rail.xml", r#"gateways="4" nodes="8""#, RAIL_TRAFFIC, ""; "once only writes on a pushed register")]
#[test_case("signing", "signing.xml", r#"gateways="4" nodes="6""#, SIGNING,
    r#"<fault kind="register-fails" at="1" lasts="2"/>"#; "tagged and ordered writes with a budget on an asked register")]
#[test_case("ledger", "ledger.xml", r#"gateways="4" nodes="6""#, LEDGER,
    r#"<fault kind="stall-initiators" at="1" lasts="5" part="0.5" size="0.5"/>"#; "ordered writes and stalls")]
fn a_short_bad_day_keeps_the_rules(
    name: &str, deployment: &str, fleet: &str, shares: &str, extra_fault: &str,
) {
    let day = write_day(name, deployment, fleet, 120, shares, &format!("{FAULTS}{extra_fault}"));
    let output = run_day(&day, &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success() && text.contains("rules kept"),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // The separate checker program comes to the same verdict on the same record.
    let settings = sample_path(deployment);
    let check = Command::new(env!("CARGO_BIN_EXE_quaypath-check"))
        .arg("--settings")
        .arg(settings)
        .args(["--transit", TRANSIT_S])
        .arg(day.with_file_name("out/record.jsonl"))
        .output()
        .unwrap();
    assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stdout));
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test]
fn the_baseline_breaks_rules_on_the_same_sockets() {
    let faults = format!(
        r#"{FAULTS}<fault kind="drain" at="2" lasts="0" part="0.3" waves="1" size="4" returns="0.5"/>"#
    );
    let day = write_day("careless", "rail.xml", r#"gateways="4" nodes="8""#, 200, RAIL_TRAFFIC, &faults);
    let output = run_day(&day, &["--careless"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("rule 2 broken") && text.contains("sent again though it may have run"), "{text}");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test_case(&["run", "/nowhere/day.xml"], "/nowhere/day.xml"; "a missing day file")]
#[test_case(&["run"], "Usage"; "no day argument")]
fn wrong_usage_exits_2_with_one_message(arguments: &[&str], message: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_quaypath-day")).args(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(message) && !text.contains("panicked"), "{text}");
}

#[test]
fn a_truncated_record_is_read_and_a_malformed_one_is_reported_by_line() {
    let path = std::env::temp_dir().join(format!("quaypath-record-{}", std::process::id()));
    let valid_line = r#"{"e":"down","t":1.0,"node":"n"}"#;
    let settings = sample_path("rail.xml");
    for (text, code, message) in [
        (format!("{valid_line}\n{}", &valid_line[..10]), 0, ""),
        (format!("{valid_line}\nnonsense\n{valid_line}\n"), 2, "line 2"),
    ] {
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-check"));
        let output = command.arg("--settings").arg(&settings).arg(&path).output().unwrap();
        assert_eq!(output.status.code(), Some(code));
        assert!(String::from_utf8_lossy(&output.stderr).contains(message));
    }
    std::fs::remove_file(&path).unwrap();
}
