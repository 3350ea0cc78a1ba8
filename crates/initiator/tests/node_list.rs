//! Tests of the node list: snapshots of the register, and the list that is stored on disk.

use quaypath::types::{NodeCondition, ZoneId};
use quaypath_initiator::node_list::{ListSnapshot, NodeEntry, NodeList};

fn entry(node: &str, condition: NodeCondition, age: f64, start: u64) -> NodeEntry {
    let (node, zone) = (node.into(), "a".into());
    NodeEntry { node, zone, block: 1, condition, age: Some(age), start }
}

fn snapshot(entries: Vec<NodeEntry>) -> ListSnapshot {
    ListSnapshot { revision: 1, entries }
}

/// Guards against a start that looks like a second one because it was reported twice with different delays: the
/// core would discard its state of the node.
#[test]
fn the_same_start_keeps_its_time_and_a_new_start_gets_a_new_time() {
    let mut list = NodeList::default();
    let first = list.update(100.0, &snapshot(vec![entry("n", NodeCondition::Ready, 5.0, 1)]));
    let repeated = list.update(110.0, &snapshot(vec![entry("n", NodeCondition::Ready, 15.3, 1)]));
    let new = list.update(120.0, &snapshot(vec![entry("n", NodeCondition::Ready, 0.5, 2)]));
    assert_eq!((first[0].started, repeated[0].started, new[0].started), (95.0, 95.0, 119.5));
}

/// Guards against a stored list that differs from the one in memory, and against a start that fails because of a
/// truncated file.
#[test]
fn the_stored_list_equals_the_list_in_memory_and_a_truncated_file_is_empty() {
    let path = std::env::temp_dir().join(format!("quaypath-list-{}", std::process::id()));
    let mut list = NodeList::default();
    let entries = vec![entry("n", NodeCondition::Ready, 5.0, 1), entry("m", NodeCondition::Draining, 1.0, 1)];
    list.update(50.0, &snapshot(entries.clone()));
    list.update(51.0, &snapshot([entries, vec![entry("gone", NodeCondition::Removed, 1.0, 1)]].concat()));
    assert_eq!(list.listed().len(), 2);
    quaypath_record::background::replace(&path, &list.bytes()).unwrap();
    assert_eq!(NodeList::load(&path).0.listed(), list.listed());
    std::fs::write(&path, b"[{\"node\":").unwrap();
    let (truncated, load_error) = NodeList::load(&path);
    assert!(truncated.listed().is_empty() && load_error.is_some());
    std::fs::remove_file(&path).unwrap();
}

/// Guards against a repeat that leaves the zone of its tag: the core needs the zones, from the register and after a
/// restart from the stored list.
#[test]
fn zones_are_passed_on_and_stored() {
    let path = std::env::temp_dir().join(format!("quaypath-zones-{}", std::process::id()));
    let without_zone = NodeEntry { zone: String::new(), ..entry("m", NodeCondition::Ready, 1.0, 1) };
    let mut list = NodeList::default();
    let listed = list.update(50.0, &snapshot(vec![entry("n", NodeCondition::Ready, 5.0, 1), without_zone]));
    assert_eq!((&listed[0].zone, &listed[1].zone), (&ZoneId::from_name("a"), &None));
    quaypath_record::background::replace(&path, &list.bytes()).unwrap();
    assert_eq!(NodeList::load(&path).0.listed(), listed);
    // A file of an earlier version has no zones.
    std::fs::write(&path, br#"[{"node":"n","block":1,"ready":true,"started":0.0,"start":1}]"#).unwrap();
    assert_eq!(NodeList::load(&path).0.listed()[0].zone, None);
    std::fs::remove_file(&path).unwrap();
}
