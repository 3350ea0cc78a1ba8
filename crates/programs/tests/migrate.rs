//! The move as an operator makes it: the old file serves, is carried over, and the new one serves.

mod helper;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use helper::folder;
use test_case::test_case;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").join(name).canonicalize().unwrap()
}

fn migrate(old: &Path, shape: &str, output: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-migrate"));
    command.arg(old).arg("--to").arg(sample(shape)).arg("--output").arg(output).args(more).output().unwrap()
}

/// A short day of the real programs on loopback, judged from the sockets.
fn keeps_the_rules(folder: &Path, deployment: &Path, reads: &str, writes: &str) {
    let text = format!(
        r#"<day name="moved" deployment="{}" seed="3" lasts="4" transit="0.3">
<fleet gateways="3" nodes="6" cores="2" unit-time="0.01" run-part="0.5" put-off="0.3" flush-every="2" queue="50"
 warm-after="8" cancel-stops="true" notice="1"/>
<traffic rate="60" retries="1"><share band="{reads}" part="0.7"/><share band="{writes}" part="0.3"/></traffic>
<fault kind="drain" at="1" lasts="1" part="0.2" waves="1" size="1" returns="1"/>
<fault kind="lost-answers" at="1" lasts="2" part="0.3" size="0.2"/></day>"#,
        deployment.display()
    );
    let day = folder.join("day.xml");
    std::fs::write(&day, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-day"));
    let output = command.arg("run").arg(&day).arg("--folder").arg(folder.join("out")).output().unwrap();
    let (told, log) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success() && told.contains("rules kept"), "{told}{log}");
}

#[test_case("rail.xml", "heat.xml", ["look-up", "purchase"], ["meter-read", "reading-post"]; "to tagged writes and a budget")]
#[test_case("signing.xml", "media.xml", ["fetch", "submit"], ["clip-read", "clip-write"]; "to repeatable bands on an asked register")]
fn a_moved_gateway_serves_and_the_old_one_as_before(old: &str, shape: &str, was: [&str; 2], now: [&str; 2]) {
    let folder = folder();
    let (before, new) = (std::fs::read(sample(old)).unwrap(), folder.join("new.xml"));
    // Only as many nodes as the day plays.
    let few = |text: String, from: &str| text.replace(from, "nodes=\"6\"");
    let start = folder.join("old.xml");
    std::fs::write(&start, few(String::from_utf8(before.clone()).unwrap(), "nodes=\"8\"")).unwrap();
    keeps_the_rules(&folder, &start, was[0], was[1]);
    let output = migrate(&start, shape, &new, &[]);
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{told}");
    assert!(told.contains(&format!("not carried over: band {}", was[1])), "{told}");
    let text = std::fs::read_to_string(&new).unwrap();
    std::fs::write(&new, few(few(text, "nodes=\"12\""), "nodes=\"14\"")).unwrap();
    keeps_the_rules(&folder, &new, now[0], now[1]);
    assert_eq!(std::fs::read(sample(old)).unwrap(), before);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_dry_run_tells_the_same_and_changes_nothing() {
    let folder = folder();
    let new = folder.join("new.xml");
    let dry = migrate(&sample("rail.xml"), "heat.xml", &new, &["--dry-run"]);
    assert!(!new.exists());
    let wet = migrate(&sample("rail.xml"), "heat.xml", &new, &[]);
    let lines = |output: &Output| {
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.lines()
            .filter(|line| line.contains(": ") && !line.contains("new.xml"))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    assert!(lines(&dry) == lines(&wet) && lines(&wet).len() > 5);
    assert_eq!((dry.status.code(), wet.status.code()), (Some(1), Some(1)));
    let same = migrate(&new, "heat.xml", &folder.join("again.xml"), &[]);
    assert_eq!(same.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&same.stdout).contains("already of this shape"));
    let stands = migrate(&sample("rail.xml"), "heat.xml", &new, &[]);
    assert_eq!(stands.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&stands.stderr).contains("--force"));
    std::fs::remove_dir_all(&folder).unwrap();
}
