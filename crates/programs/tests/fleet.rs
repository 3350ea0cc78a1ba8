//! Fleets of several gateway processes with faults on their links, checked from what nodes, links and the day's runner
//! observed.

mod day;

use std::path::PathBuf;
use std::process::Command;

use day::{run_day_json, sample_path, write_day_file, RAIL_TRAFFIC};
use test_case::test_case;

/// Transit time allowed by the checks, seconds. It allows for late timestamps on a loaded machine and is far below the bounds
/// of the guarantees.
const TRANSIT_S: &str = "0.5";

/// Writes a day with this many gateways that lasts `lasts` seconds.
fn write_day(name: &str, deployment: &str, gateways: u32, lasts: u32, faults: &str) -> PathBuf {
    let text = format!(
        r#"<day name="{name}" deployment="{}" seed="5" lasts="{lasts}" transit="{TRANSIT_S}">
<fleet gateways="{gateways}" nodes="8" cores="2" unit-time="0.01" run-part="0.5" put-off="0.3" flush-every="2"
 queue="50" warm-after="8" cancel-stops="true" notice="1"/>
<traffic rate="40" retries="1">{RAIL_TRAFFIC}</traffic>{faults}</day>"#,
        sample_path(deployment).display()
    );
    write_day_file(&format!("talk-{name}"), &text)
}

const TWO_KILLED_ONE_STOPPED: &str = r#"
<fault kind="lose" at="1" lasts="30" from="gateways" to="gateways" size="0.1"/>
<fault kind="kill-initiators" at="5" lasts="0" node="2" returns="30"/>
<fault kind="kill-initiators" at="6" lasts="0" node="5" returns="30"/>
<fault kind="stop" at="9" lasts="6" node="1"/>"#;
const RESTART_AND_ONE_WAY_LINKS: &str = r#"
<fault kind="repeat" at="1" lasts="30" from="gateways" to="gateways" size="0.2"/>
<fault kind="reorder" at="1" lasts="30" from="gateways" to="gateways" size="0.2"/>
<fault kind="garble" at="1" lasts="30" from="gateways" to="gateways" size="0.05"/>
<fault kind="forget" at="5" lasts="0" node="3" returns="4"/>
<fault kind="one-way" at="12" lasts="5" from="0-2" to="3-7"/>
<fault kind="clock" at="3" lasts="25" node="6" size="1.05"/>"#;
const DUPLICATE_WITHOUT_REGISTER: &str = r#"
<fault kind="cut" at="4" lasts="30" from="gateways" to="register"/>
<fault kind="twins" at="6" lasts="28" node="4"/>"#;

#[test_case("killed", TWO_KILLED_ONE_STOPPED, "Lose"; "two killed and one stopped")]
#[test_case("cuts", RESTART_AND_ONE_WAY_LINKS, "OneWay"; "one restarts without memory, messages pass in one direction only")]
#[test_case("twins", DUPLICATE_WITHOUT_REGISTER, "Cut"; "duplicate process and no register")]
fn eight_processes_keep_the_guarantees(name: &str, faults: &str, injected: &str) {
    let day = write_day(name, "rail-fleet.xml", 8, 36, faults);
    let (output, result) = run_day_json(&day, &[]);
    assert!(output.status.success(), "{}: {}", result["report"]["promises"], result["report"]["breaches"]);
    assert!(result["struck"][injected].as_u64().unwrap_or(0) > 0, "{}", result["struck"]);
    assert!(result["report"]["told"]["probes"].as_u64().unwrap() > 50);
    // With two processes killed and one stopped, each duty is done again within ten seconds, including the time to stop.
    let longest_gap = result["report"]["told"]["longest_break"].as_f64().unwrap();
    assert!(name != "killed" || longest_gap < 10.5, "a duty was not done for {longest_gap} s");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test]
fn the_baseline_fleet_fails_the_same_checks() {
    let day = write_day(
        "careless",
        "rail-fleet.xml",
        8,
        16,
        TWO_KILLED_ONE_STOPPED.replace("30\"", "8\"").as_str(),
    );
    let (output, result) = run_day_json(&day, &["--careless"]);
    assert_eq!(output.status.code(), Some(1));
    let breaches = result["report"]["promises"].as_array().unwrap();
    assert!(breaches.iter().any(|breach| breach["promise"] == "one-doer"), "{breaches:?}");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

/// All file writes and renames of the gateways stall for 4 s; the event loop must not wait for them. The bound on a gateway's
/// longest event loop stall is half of that, far above the delays of a loaded machine.
#[test]
fn a_stalled_disk_does_not_stall_any_gateway() {
    let faults = r#"<fault kind="disk-stands" at="2" lasts="4" part="1"/>
<fault kind="drain" at="2.5" lasts="1" part="0.3" waves="2" size="1" returns="1"/>"#;
    let day = write_day("disk", "rail.xml", 4, 9, faults);
    let (output, result) = run_day_json(&day, &[]);
    assert!(output.status.success(), "{}", result["report"]["breaches"]);
    let gateways = result["books"].as_object().unwrap();
    assert_eq!(gateways.len(), 4);
    for gateway in gateways.values() {
        assert!(gateway["longest_stall"].as_f64().unwrap() < 2.0, "{gateway}");
    }
    let lists = std::fs::read_dir(day.with_file_name("out")).unwrap().filter_map(Result::ok);
    let lists: Vec<PathBuf> = lists
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "list"))
        .collect();
    assert_eq!(lists.len(), 4);
    for list in lists {
        let rows: serde_json::Value = serde_json::from_slice(&std::fs::read(list).unwrap()).unwrap();
        assert!(rows.as_array().unwrap().len() >= 8);
    }
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

/// Invalid fleet settings are reported with their place and the violated rule before anything starts.
#[test_case(&["--number", "3", "--member", "77=127.0.0.1:1"], "77"; "a member outside the fleet")]
#[test_case(&["--number", "3", "--member", "x"], "a number and an address"; "no member at all")]
#[test_case(&["--number", "30"], "has 10 initiators"; "a number beyond the layout")]
fn a_wrong_member_exits_2_with_one_message(arguments: &[&str], message: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"));
    command.arg("--settings").arg(sample_path("rail-fleet.xml")).args([
        "--list",
        "/tmp/none",
        "--listen",
        "127.0.0.1:0",
    ]);
    let output = command.args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(message) && !text.contains("panicked"), "{text}");
}
