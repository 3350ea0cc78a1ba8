//! Short days through the real programs: the verdict comes from the sockets, by the same judge as for long ones.

mod day;

use std::path::PathBuf;
use std::process::Command;

use day::{file, run, sample, RAIL};
use test_case::test_case;

/// Loaded machines take their times late; the rules' figures are far wider.
const TRANSIT: &str = "0.3";

fn write(name: &str, deployment: &str, fleet: &str, rate: u32, shares: &str, troubles: &str) -> PathBuf {
    let text = format!(
        r#"<day name="{name}" deployment="{}" seed="5" lasts="7" transit="{TRANSIT}">
<fleet {fleet} cores="2" unit-time="0.01" run-part="0.5" put-off="0.3" flush-every="2" queue="50" warm-after="8"
 cancel-stops="true" notice="1"/>
<traffic rate="{rate}" retries="1">{shares}</traffic>{troubles}</day>"#,
        sample(deployment).display()
    );
    file(&format!("days-{name}"), &text)
}

const SIGNING: &str =
    r#"<share band="fetch" part="0.5"/><share band="submit" part="0.4"/><share band="bulk" part="0.1"/>"#;
const LEDGER: &str = r#"<share band="read" part="0.6"/><share band="write" part="0.4"/>"#;
const TROUBLES: &str = r#"
<fault kind="fast-errors" at="1" lasts="3" part="0.3" size="0.5"/>
<fault kind="resets" at="2" lasts="2" part="0.3" size="2"/>
<fault kind="kill-initiators" at="2" lasts="2" part="0.4" returns="1"/>
<fault kind="drain" at="1.5" lasts="1" part="0.3" waves="2" size="1" returns="1.5"/>
<fault kind="lost-answers" at="3" lasts="2" part="0.3" size="0.2"/>"#;

#[test_case("rail", "rail.xml", r#"gateways="4" nodes="8""#, RAIL, ""; "once only writes on a pushed register")]
#[test_case("signing", "signing.xml", r#"gateways="4" nodes="6""#, SIGNING,
    r#"<fault kind="register-fails" at="1" lasts="2"/>"#; "tagged and ordered writes with a budget on an asked register")]
#[test_case("ledger", "ledger.xml", r#"gateways="4" nodes="6""#, LEDGER,
    r#"<fault kind="stall-initiators" at="1" lasts="5" part="0.5" size="0.5"/>"#; "ordered writes and stalls")]
fn a_short_bad_day_keeps_the_rules(name: &str, deployment: &str, fleet: &str, shares: &str, more: &str) {
    let day = write(name, deployment, fleet, 120, shares, &format!("{TROUBLES}{more}"));
    let output = run(&day, &[]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success() && text.contains("rules kept"),
        "{text}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    // The checker by itself reads the same record to the same verdict.
    let settings = sample(deployment);
    let check = Command::new(env!("CARGO_BIN_EXE_quaypath-check"))
        .arg("--settings")
        .arg(settings)
        .args(["--transit", TRANSIT])
        .arg(day.with_file_name("out/record.jsonl"))
        .output()
        .unwrap();
    assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stdout));
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test]
fn the_careless_baseline_is_judged_broken_on_the_same_sockets() {
    let troubles = format!(
        r#"{TROUBLES}<fault kind="drain" at="2" lasts="0" part="0.3" waves="1" size="4" returns="0.5"/>"#
    );
    let day = write("careless", "rail.xml", r#"gateways="4" nodes="8""#, 200, RAIL, &troubles);
    let output = run(&day, &["--careless"]);
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(1), "{text}");
    assert!(text.contains("rule 2 broken") && text.contains("sent again though it may have run"), "{text}");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test_case(&["run", "/nowhere/day.xml"], "/nowhere/day.xml"; "a day that is not there")]
#[test_case(&["run"], "Usage"; "no day")]
fn wrong_usage_exits_2_with_one_message(arguments: &[&str], word: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_quaypath-day")).args(arguments).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(word) && !text.contains("panicked"), "{text}");
}

#[test]
fn a_torn_or_foreign_record_is_told_by_file_and_line() {
    let path = std::env::temp_dir().join(format!("quaypath-record-{}", std::process::id()));
    let good = r#"{"e":"down","t":1.0,"node":"n"}"#;
    let settings = sample("rail.xml");
    for (text, code, word) in
        [(format!("{good}\n{}", &good[..10]), 0, ""), (format!("{good}\nnonsense\n{good}\n"), 2, "line 2")]
    {
        std::fs::write(&path, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-check"));
        let output = command.arg("--settings").arg(&settings).arg(&path).output().unwrap();
        assert_eq!(output.status.code(), Some(code));
        assert!(String::from_utf8_lossy(&output.stderr).contains(word));
    }
    std::fs::remove_file(&path).unwrap();
}
