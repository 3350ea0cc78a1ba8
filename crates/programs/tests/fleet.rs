//! Several processes of the program that talk, with faults between them: judged from what targets, links and the day's
//! runner saw.

mod day;

use std::path::PathBuf;
use std::process::Command;

use day::{file, judged, sample, RAIL};
use test_case::test_case;

/// Loaded machines take their times late; the promises' figures are far wider.
const TRANSIT: &str = "0.5";

fn write(name: &str, deployment: &str, gateways: u32, lasts: u32, troubles: &str) -> PathBuf {
    let text = format!(
        r#"<day name="{name}" deployment="{}" seed="5" lasts="{lasts}" transit="{TRANSIT}">
<fleet gateways="{gateways}" nodes="8" cores="2" unit-time="0.01" run-part="0.5" put-off="0.3" flush-every="2"
 queue="50" warm-after="8" cancel-stops="true" notice="1"/>
<traffic rate="40" retries="1">{RAIL}</traffic>{troubles}</day>"#,
        sample(deployment).display()
    );
    file(&format!("talk-{name}"), &text)
}

const TWO_KILLED_ONE_STOPPED: &str = r#"
<fault kind="lose" at="1" lasts="30" from="gateways" to="gateways" size="0.1"/>
<fault kind="kill-initiators" at="5" lasts="0" node="2" returns="30"/>
<fault kind="kill-initiators" at="6" lasts="0" node="5" returns="30"/>
<fault kind="stop" at="9" lasts="6" node="1"/>"#;
const RETURNS_AND_CUTS: &str = r#"
<fault kind="repeat" at="1" lasts="30" from="gateways" to="gateways" size="0.2"/>
<fault kind="reorder" at="1" lasts="30" from="gateways" to="gateways" size="0.2"/>
<fault kind="garble" at="1" lasts="30" from="gateways" to="gateways" size="0.05"/>
<fault kind="forget" at="5" lasts="0" node="3" returns="4"/>
<fault kind="one-way" at="12" lasts="5" from="0-2" to="3-7"/>
<fault kind="clock" at="3" lasts="25" node="6" size="1.05"/>"#;
const TWINS_WITHOUT_REGISTER: &str = r#"
<fault kind="cut" at="4" lasts="30" from="gateways" to="register"/>
<fault kind="twins" at="6" lasts="28" node="4"/>"#;

#[test_case("killed", TWO_KILLED_ONE_STOPPED, "Lose"; "two killed and one stopped")]
#[test_case("cuts", RETURNS_AND_CUTS, "OneWay"; "one returns without memory, news pass one way only")]
#[test_case("twins", TWINS_WITHOUT_REGISTER, "Cut"; "two of one name, and no register")]
fn eight_processes_keep_the_promises(name: &str, troubles: &str, struck: &str) {
    let day = write(name, "rail-fleet.xml", 8, 36, troubles);
    let (output, result) = judged(&day, &[]);
    assert!(output.status.success(), "{}: {}", result["report"]["promises"], result["report"]["breaches"]);
    assert!(result["struck"][struck].as_u64().unwrap_or(0) > 0, "{}", result["struck"]);
    assert!(result["report"]["told"]["probes"].as_u64().unwrap() > 50);
    // Two killed, one stopped: each duty is done again within ten seconds, the time to stop and all.
    let longest = result["report"]["told"]["longest_break"].as_f64().unwrap();
    assert!(name != "killed" || longest < 10.5, "a duty was not done for {longest} s");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

#[test]
fn the_careless_fleet_is_judged_broken_by_the_same_links_and_targets() {
    let day =
        write("careless", "rail-fleet.xml", 8, 16, TWO_KILLED_ONE_STOPPED.replace("30\"", "8\"").as_str());
    let (output, result) = judged(&day, &["--careless"]);
    assert_eq!(output.status.code(), Some(1));
    let broken = result["report"]["promises"].as_array().unwrap();
    assert!(broken.iter().any(|breach| breach["promise"] == "one-doer"), "{broken:?}");
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

/// Every gateway's writes and renames stand still for seconds; nothing that serves may wait for them. The bound on a
/// gateway's longest time without a turn is half of that, far above what a loaded machine takes.
#[test]
fn a_disk_that_stands_still_holds_up_no_gateway() {
    let troubles = r#"<fault kind="disk-stands" at="2" lasts="4" part="1"/>
<fault kind="drain" at="2.5" lasts="1" part="0.3" waves="2" size="1" returns="1"/>"#;
    let day = write("disk", "rail.xml", 4, 9, troubles);
    let (output, result) = judged(&day, &[]);
    assert!(output.status.success(), "{}", result["report"]["breaches"]);
    let books = result["books"].as_object().unwrap();
    assert_eq!(books.len(), 4);
    for book in books.values() {
        assert!(book["longest_stall"].as_f64().unwrap() < 2.0, "{book}");
    }
    let lists = std::fs::read_dir(day.with_file_name("out")).unwrap().filter_map(Result::ok);
    let lists: Vec<PathBuf> = lists
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|e| e == "list"))
        .collect();
    assert_eq!(lists.len(), 4);
    for list in lists {
        let rows: serde_json::Value = serde_json::from_slice(&std::fs::read(list).unwrap()).unwrap();
        assert!(rows.as_array().unwrap().len() >= 8);
    }
    std::fs::remove_dir_all(day.parent().unwrap()).unwrap();
}

/// Bad settings of a fleet are told by place and rule before anything starts.
#[test_case(&["--number", "3", "--member", "77=127.0.0.1:1"], "77"; "a member that is not of the fleet")]
#[test_case(&["--number", "3", "--member", "x"], "a number and an address"; "no member at all")]
#[test_case(&["--number", "30"], "has 10 initiators"; "a number beyond the layout")]
fn a_wrong_member_exits_2_with_one_message(arguments: &[&str], word: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-gateway"));
    command.arg("--settings").arg(sample("rail-fleet.xml")).args([
        "--list",
        "/tmp/none",
        "--listen",
        "127.0.0.1:0",
    ]);
    let output = command.args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains(word) && !text.contains("panicked"), "{text}");
}
