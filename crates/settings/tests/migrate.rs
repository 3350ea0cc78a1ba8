//! Migration of a deployment to another shape: what is carried over, what is reported, and what is refused with nothing
//! written.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use quaypath_settings::deployment;
use quaypath_settings::migrate::{migrate, write, NoteKind};
use test_case::test_case;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").join(name)
}

/// A temporary folder, which is removed at the end of the test.
struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    fn new() -> TemporaryFolder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("quaypath-migrate-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        TemporaryFolder(path)
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    fn names(&self) -> Vec<String> {
        let entries = std::fs::read_dir(&self.0).unwrap();
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect()
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test_case("rail.xml", "heat.xml", &["band purchase", "plan basic"], &["rules, further", "units, tells-others", "band reading-post"]; "once-only writes and a limit to tagged writes and a budget")]
#[test_case("signing.xml", "media.xml", &["rules, further", "band submit", "plan basic"], &["allow, longest-return", "band clip-write"]; "a budget and tagged writes to neither")]
#[test_case("heat.xml", "signing.xml", &[], &["register, mode", "rules, key-quiet"]; "to a shape with more rules")]
#[test_case("heat.xml", "heat.xml", &[], &[]; "already in the shape")]
fn all_differences_are_reported(old: &str, shape: &str, lost: &[&str], filled: &[&str]) {
    let migration = migrate(&sample(old), &sample(shape)).unwrap();
    let places =
        |kind| migration.notes.iter().filter(move |note| note.kind == kind).map(|note| note.place.as_str());
    assert_eq!(places(NoteKind::Lost).collect::<Vec<_>>(), lost);
    filled
        .iter()
        .for_each(|place| assert!(places(NoteKind::Filled).any(|reported| reported == *place), "{place}"));
    assert_eq!((migration.is_complete(), migration.is_unchanged()), (lost.is_empty(), old == shape));
    // The written file loads, and migrating it again changes nothing.
    let folder = TemporaryFolder::new();
    let new = folder.file("new.xml", &migration.text);
    let (migrated, original, target) =
        (deployment(&new).unwrap(), deployment(&sample(old)).unwrap(), deployment(&sample(shape)).unwrap());
    assert!(migrate(&new, &sample(shape)).unwrap().is_unchanged());
    assert_eq!(
        (migrated.name, migrated.plan_names, migrated.volumes.len()),
        (original.name, original.plan_names, original.volumes.len())
    );
    assert_eq!(format!("{:?}", migrated.core.bands), format!("{:?}", target.core.bands));
    assert_eq!(migrated.core.retry_budget, target.core.retry_budget);
    assert_eq!(
        (migrated.core.reports_others_usage, migrated.core.max_shots),
        (target.core.reports_others_usage, target.core.max_shots)
    );
}

#[test_case("<volumes plan=\"basic\" first=\"1\" count=\"24\" initiators=\"2\"", "initiators=\"2\"", "initiators=\"9\"", "volumes of plan basic"; "more initiators than the shape has")]
#[test_case("</deployment>", "</deployment>", "<placement volume=\"1\" from=\"0\" blocks=\"256\" node=\"7\"/></deployment>", "placement of volume 1"; "a node that the shape does not have")]
#[test_case("<units", "<units", "<!-- ours --><units", "comments"; "a comment inside")]
#[test_case("<volumes", "<volumes", "<band-rule band=\"purchase\" first=\"1\"/><volumes", "band-rule purchase"; "a rule for a band that is lost")]
fn dropped_settings_are_reported(section: &str, from: &str, to: &str, place: &str) {
    let text = std::fs::read_to_string(sample("rail.xml")).unwrap();
    let (before, after) = text.split_at(text.find(section).unwrap());
    let folder = TemporaryFolder::new();
    let old = folder.file("old.xml", &format!("{before}{}", after.replacen(from, to, 1)));
    let small = std::fs::read_to_string(sample("heat.xml")).unwrap();
    let small = small.replace("initiators=\"72\" nodes=\"12\"", "initiators=\"6\" nodes=\"6\"");
    let shape = folder.file("shape.xml", &small);
    let notes = migrate(&old, &shape).unwrap().notes;
    let is_reported = notes.iter().any(|note| note.kind == NoteKind::Lost && note.place.starts_with(place));
    assert!(is_reported, "{notes:?}");
}

#[test_case("no xml at all", "old.xml: not well-formed"; "not XML")]
#[test_case("<deployment name=\"x\"/>", "schema quaypath.xsd"; "a violation of the schema")]
#[test_case("<day name=\"x\"/>", "schema quaypath.xsd"; "another kind of file")]
fn refusals_of_invalid_input_name_the_file_and_the_rule(text: &str, expected: &str) {
    let folder = TemporaryFolder::new();
    let invalid = folder.file("old.xml", text);
    for (old, shape) in [(&invalid, &sample("heat.xml")), (&sample("rail.xml"), &invalid)] {
        let error = migrate(old, shape).unwrap_err().to_string();
        assert!(error.contains(expected) && error.contains("old.xml") && !error.contains('\n'), "{error}");
    }
}

#[test]
fn a_value_that_breaks_a_rule_in_the_new_shape_is_refused() {
    // A burst of 7 units covers the largest transaction of the old shape, but not that of the new shape (rule 7).
    let folder = TemporaryFolder::new();
    let text = std::fs::read_to_string(sample("rail.xml")).unwrap().replace("burst=\"72\"", "burst=\"7\"");
    let shape = std::fs::read_to_string(sample("grown.xml")).unwrap().replace("most=\"6\"", "most=\"8\"");
    let (old, shape) = (folder.file("old.xml", &text), folder.file("shape.xml", &shape));
    let error = migrate(&old, &shape).unwrap_err().to_string();
    assert!(error.contains("plan basic, burst") && error.contains("rule 7"), "{error}");
}

#[test]
fn a_file_is_written_completely_or_not_at_all() {
    let folder = TemporaryFolder::new();
    let old = folder.file("old.xml", "old");
    let new = folder.0.join("new.xml");
    let inputs = [old.as_path()];
    write("one", &inputs, &new, false).unwrap();
    assert!(write("two", &inputs, &new, false).unwrap_err().to_string().contains("--force"));
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "one");
    write("two", &inputs, &new, true).unwrap();
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "two");
    // The input file is not overwritten either through a symbolic link.
    let link = folder.0.join("link.xml");
    std::os::unix::fs::symlink(&old, &link).unwrap();
    for output in [&old, &link] {
        assert!(write("three", &inputs, output, true)
            .unwrap_err()
            .to_string()
            .contains("never written over"));
    }
    assert!(write("x", &inputs, &folder.0.join("no/where.xml"), true).is_err());
    assert_eq!(std::fs::read_to_string(&old).unwrap(), "old");
    let mut names = folder.names();
    names.sort();
    assert_eq!(names, ["link.xml", "new.xml", "old.xml"]);
}

/// Guards against a changed meaning of older files, which do not state `tells-others`: they are decoded like files that
/// state its default.
#[test_case("rail.xml")]
#[test_case("signing.xml")]
#[test_case("ledger.xml")]
#[test_case("grown.xml")]
fn a_file_without_tells_others_gets_the_default(name: &str) {
    let text = std::fs::read_to_string(sample(name)).unwrap();
    let units_start = text.find("<units").unwrap();
    let stated = format!(
        "{}{}",
        &text[..units_start],
        text[units_start..].replacen("/>", " tells-others=\"true\"/>", 1)
    );
    let folder = TemporaryFolder::new();
    let stated = deployment(&folder.file("stated.xml", &stated)).unwrap();
    assert_eq!(format!("{:?}", deployment(&sample(name)).unwrap().core), format!("{:?}", stated.core));
}
