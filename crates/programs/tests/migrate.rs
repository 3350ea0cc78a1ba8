//! Migration of a settings file as an operator does it: a deployment runs with the old file, the file is migrated, and a
//! deployment runs with the new file.

mod helper;

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use helper::temp_folder;
use test_case::test_case;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").join(name).canonicalize().unwrap()
}

fn migrate(old: &Path, shape: &str, output: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-migrate"));
    command.arg(old).arg("--to").arg(sample(shape)).arg("--output").arg(output).args(more).output().unwrap()
}

/// Runs a short day of the real programs on loopback, and asserts that the rules are kept.
fn assert_rules_kept(folder: &Path, deployment: &Path, reads: &str, writes: &str) {
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
    let (stdout, stderr) = (String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr));
    assert!(output.status.success() && stdout.contains("rules kept"), "{stdout}{stderr}");
}

#[test_case("rail.xml", "heat.xml", ["look-up", "purchase"], ["meter-read", "reading-post"]; "to tagged writes and a budget")]
#[test_case("signing.xml", "media.xml", ["fetch", "submit"], ["clip-read", "clip-write"]; "to repeatable bands on an asked register")]
fn a_deployment_serves_before_and_after_its_migration(
    old: &str, shape: &str, old_bands: [&str; 2], new_bands: [&str; 2],
) {
    let folder = temp_folder();
    let (old_text, new) = (std::fs::read(sample(old)).unwrap(), folder.join("new.xml"));
    // The file must have as many nodes as the day.
    let with_six_nodes = |text: String, from: &str| text.replace(from, "nodes=\"6\"");
    let start = folder.join("old.xml");
    std::fs::write(&start, with_six_nodes(String::from_utf8(old_text.clone()).unwrap(), "nodes=\"8\""))
        .unwrap();
    assert_rules_kept(&folder, &start, old_bands[0], old_bands[1]);
    let output = migrate(&start, shape, &new, &[]);
    let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(1), "{stdout}");
    assert!(stdout.contains(&format!("not carried over: band {}", old_bands[1])), "{stdout}");
    let text = std::fs::read_to_string(&new).unwrap();
    std::fs::write(&new, with_six_nodes(with_six_nodes(text, "nodes=\"12\""), "nodes=\"14\"")).unwrap();
    assert_rules_kept(&folder, &new, new_bands[0], new_bands[1]);
    assert_eq!(std::fs::read(sample(old)).unwrap(), old_text);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn a_dry_run_prints_the_same_and_writes_nothing() {
    let folder = temp_folder();
    let new = folder.join("new.xml");
    let dry = migrate(&sample("rail.xml"), "heat.xml", &new, &["--dry-run"]);
    assert!(!new.exists());
    let written = migrate(&sample("rail.xml"), "heat.xml", &new, &[]);
    let lines = |output: &Output| {
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.lines()
            .filter(|line| line.contains(": ") && !line.contains("new.xml"))
            .map(String::from)
            .collect::<Vec<_>>()
    };
    assert!(lines(&dry) == lines(&written) && lines(&written).len() > 5);
    assert_eq!((dry.status.code(), written.status.code()), (Some(1), Some(1)));
    let same = migrate(&new, "heat.xml", &folder.join("again.xml"), &[]);
    assert_eq!(same.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&same.stdout).contains("already of this shape"));
    let existing = migrate(&sample("rail.xml"), "heat.xml", &new, &[]);
    assert_eq!(existing.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&existing.stderr).contains("--force"));
    std::fs::remove_dir_all(&folder).unwrap();
}
