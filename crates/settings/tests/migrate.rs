//! What is carried over to another shape, what is told, and what is refused with nothing written.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use quaypath_settings::deployment;
use quaypath_settings::migrate::{migrate, write, NoteKind};
use test_case::test_case;

fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").join(name)
}

/// An empty folder, for as long as the test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("quaypath-migrate-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
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

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test_case("rail.xml", "heat.xml", &["band purchase", "plan basic"], &["rules, further", "units, tells-others", "band reading-post"]; "once-only writes and a limit to tagged writes and a budget")]
#[test_case("signing.xml", "media.xml", &["rules, further", "band submit", "plan basic"], &["allow, longest-return", "band clip-write"]; "a budget and tagged writes to neither")]
#[test_case("heat.xml", "signing.xml", &[], &["register, mode", "rules, key-quiet"]; "to a shape with more rules")]
#[test_case("heat.xml", "heat.xml", &[], &[]; "already of the shape")]
fn what_is_told(old: &str, shape: &str, lost: &[&str], filled: &[&str]) {
    let migration = migrate(&sample(old), &sample(shape)).unwrap();
    let places =
        |kind| migration.notes.iter().filter(move |note| note.kind == kind).map(|note| note.place.as_str());
    assert_eq!(places(NoteKind::Lost).collect::<Vec<_>>(), lost);
    filled.iter().for_each(|place| assert!(places(NoteKind::Filled).any(|told| told == *place), "{place}"));
    assert_eq!((migration.is_complete(), migration.is_unchanged()), (lost.is_empty(), old == shape));
    // What is written loads as at start, and carrying it over once more changes nothing.
    let folder = Folder::new();
    let new = folder.file("new.xml", &migration.text);
    let (now, was, by) =
        (deployment(&new).unwrap(), deployment(&sample(old)).unwrap(), deployment(&sample(shape)).unwrap());
    assert!(migrate(&new, &sample(shape)).unwrap().is_unchanged());
    assert_eq!((now.name, now.plan_names, now.volumes.len()), (was.name, was.plan_names, was.volumes.len()));
    assert_eq!(format!("{:?}", now.core.bands), format!("{:?}", by.core.bands));
    assert_eq!(now.core.retry_budget, by.core.retry_budget);
    assert_eq!(
        (now.core.reports_others_usage, now.core.max_shots),
        (by.core.reports_others_usage, by.core.max_shots)
    );
}

#[test_case("<volumes plan=\"basic\" first=\"1\" count=\"24\" initiators=\"2\"", "initiators=\"2\"", "initiators=\"9\"", "volumes of plan basic"; "more initiators than the shape has")]
#[test_case("</deployment>", "</deployment>", "<placement volume=\"1\" from=\"0\" blocks=\"256\" node=\"7\"/></deployment>", "placement of volume 1"; "a node that the shape has not")]
#[test_case("<units", "<units", "<!-- ours --><units", "comments"; "a comment inside")]
#[test_case("<volumes", "<volumes", "<band-rule band=\"purchase\" first=\"1\"/><volumes", "band-rule purchase"; "a rule for a band that is lost")]
fn nothing_is_dropped_in_silence(at: &str, from: &str, to: &str, place: &str) {
    let text = std::fs::read_to_string(sample("rail.xml")).unwrap();
    let (before, after) = text.split_at(text.find(at).unwrap());
    let folder = Folder::new();
    let old = folder.file("old.xml", &format!("{before}{}", after.replacen(from, to, 1)));
    let small = std::fs::read_to_string(sample("heat.xml")).unwrap();
    let small = small.replace("initiators=\"72\" nodes=\"12\"", "initiators=\"6\" nodes=\"6\"");
    let shape = folder.file("shape.xml", &small);
    let notes = migrate(&old, &shape).unwrap().notes;
    let told = notes.iter().any(|note| note.kind == NoteKind::Lost && note.place.starts_with(place));
    assert!(told, "{notes:?}");
}

#[test_case("no xml at all", "old.xml: not well-formed"; "not XML")]
#[test_case("<deployment name=\"x\"/>", "schema quaypath.xsd"; "against the schema")]
#[test_case("<day name=\"x\"/>", "schema quaypath.xsd"; "another kind of file")]
fn bad_input_is_refused_by_file_and_rule(text: &str, word: &str) {
    let folder = Folder::new();
    let bad = folder.file("old.xml", text);
    for (old, shape) in [(&bad, &sample("heat.xml")), (&sample("rail.xml"), &bad)] {
        let error = migrate(old, shape).unwrap_err().to_string();
        assert!(error.contains(word) && error.contains("old.xml") && !error.contains('\n'), "{error}");
    }
}

#[test]
fn a_value_that_would_break_a_rule_there_is_refused() {
    // A burst of seven units holds the largest transaction of the old shape, not that of the new (rule 7).
    let folder = Folder::new();
    let text = std::fs::read_to_string(sample("rail.xml")).unwrap().replace("burst=\"72\"", "burst=\"7\"");
    let shape = std::fs::read_to_string(sample("grown.xml")).unwrap().replace("most=\"6\"", "most=\"8\"");
    let (old, shape) = (folder.file("old.xml", &text), folder.file("shape.xml", &shape));
    let error = migrate(&old, &shape).unwrap_err().to_string();
    assert!(error.contains("plan basic, burst") && error.contains("rule 7"), "{error}");
}

#[test]
fn a_file_is_written_whole_or_not_at_all() {
    let folder = Folder::new();
    let old = folder.file("old.xml", "old");
    let new = folder.0.join("new.xml");
    let inputs = [old.as_path()];
    write("one", &inputs, &new, false).unwrap();
    assert!(write("two", &inputs, &new, false).unwrap_err().to_string().contains("--force"));
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "one");
    write("two", &inputs, &new, true).unwrap();
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "two");
    // The input by another name too.
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

/// Files of before say nothing of the new setting: they decide as one that states its default.
#[test_case("rail.xml")]
#[test_case("signing.xml")]
#[test_case("ledger.xml")]
#[test_case("grown.xml")]
fn a_file_of_before_decides_alike(name: &str) {
    let text = std::fs::read_to_string(sample(name)).unwrap();
    let at = text.find("<units").unwrap();
    let stated = format!("{}{}", &text[..at], text[at..].replacen("/>", " tells-others=\"true\"/>", 1));
    let folder = Folder::new();
    let stated = deployment(&folder.file("stated.xml", &stated)).unwrap();
    assert_eq!(format!("{:?}", deployment(&sample(name)).unwrap().core), format!("{:?}", stated.core));
}
