//! The node list as news of the register, and the last one kept on disk.

use std::io;
use std::path::Path;

use quaypath::types::{BlockId, NodeCondition, NodeId};
use serde::{Deserialize, Serialize};

/// Most nodes of one list.
pub const MAX_NODES: usize = 65536;

/// What the core asks of the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterCall {
    /// Changes from now on, or no more.
    Watch { on: bool },
    /// The whole list once.
    Fetch,
}

#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// Address and port.
    pub node: String,
    pub zone: String,
    /// Part of the data that it holds.
    pub block: i64,
    pub condition: NodeCondition,
    /// Seconds since it last started; absent where it started long ago. An age, as clocks of two machines differ.
    pub age: Option<f64>,
    /// Changes with every start.
    pub start: u64,
}

/// The whole list, as of one generation of the register's log.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    pub revision: u64,
    pub entries: Vec<NodeEntry>,
}

/// An entry as the core takes it. The register tells no sizes.
pub type ListedNode = quaypath::types::ListedNode;

#[derive(Debug, Serialize, Deserialize)]
struct Row {
    node: String,
    block: i64,
    ready: bool,
    /// On this machine's clock, seconds; 0: long ago.
    started: f64,
    start: u64,
}

/// The list as this initiator holds it, starts turned into times of its own clock.
#[derive(Debug, Default)]
pub struct NodeList {
    rows: Vec<Row>,
}

impl NodeList {
    /// The last list on disk; empty where there is none. A file that cannot be read is as none, and told.
    pub fn load(path: &Path) -> (Self, Option<String>) {
        match std::fs::read(path) {
            Ok(bytes) => match serde_json::from_slice(&bytes) {
                Ok(rows) => (NodeList { rows }, None),
                Err(error) => (NodeList::default(), Some(format!("{}: {error}", path.display()))),
            },
            Err(error) if error.kind() == io::ErrorKind::NotFound => (NodeList::default(), None),
            Err(error) => (NodeList::default(), Some(format!("{}: {error}", path.display()))),
        }
    }

    /// The list as it is kept on disk.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(&self.rows).expect("numbers and strings have a form in JSON")
    }

    pub fn known(&self) -> Vec<ListedNode> {
        self.rows.iter().map(Row::known).collect()
    }

    /// Takes a new list and gives it in the core's terms, in order.
    pub fn take(&mut self, now: f64, news: &ListSnapshot) -> Vec<ListedNode> {
        self.rows.retain(|row| news.entries.iter().any(|entry| entry.node == row.node));
        let mut told = Vec::new();
        for entry in news.entries.iter().take(MAX_NODES) {
            let started = entry.age.map_or(0.0, |age| now - age.clamp(0.0, now));
            let at = self.rows.iter().position(|row| row.node == entry.node);
            // The same start keeps the time that it was first given: the age comes with a delay that varies.
            let kept = at.map(|at| &self.rows[at]).filter(|row| row.start == entry.start);
            let started = kept.map_or(started, |row| row.started);
            let condition = entry.condition;
            let row = Row {
                node: entry.node.clone(),
                block: entry.block,
                ready: condition == NodeCondition::Ready,
                started,
                start: entry.start,
            };
            told.push((NodeId(row.node.as_str().into()), BlockId(row.block), condition, started, 0.0));
            match (at, condition) {
                (Some(at), NodeCondition::Removed) => drop(self.rows.remove(at)),
                (Some(at), _) => self.rows[at] = row,
                (None, NodeCondition::Removed) => {}
                (None, _) => self.rows.push(row),
            }
        }
        told
    }
}

impl Row {
    fn known(&self) -> ListedNode {
        let condition = if self.ready { NodeCondition::Ready } else { NodeCondition::Draining };
        (NodeId(self.node.as_str().into()), BlockId(self.block), condition, self.started, 0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(node: &str, condition: NodeCondition, age: f64, start: u64) -> NodeEntry {
        let (node, zone) = (node.into(), "a".into());
        NodeEntry { node, zone, block: 1, condition, age: Some(age), start }
    }

    fn news(entries: Vec<NodeEntry>) -> ListSnapshot {
        ListSnapshot { revision: 1, entries }
    }

    /// A start told twice with different delays must not look like a second start: the core would forget its node.
    #[test]
    fn a_start_keeps_its_time_and_a_new_start_has_a_new_one() {
        let mut list = NodeList::default();
        let first = list.take(100.0, &news(vec![entry("n", NodeCondition::Ready, 5.0, 1)]));
        let again = list.take(110.0, &news(vec![entry("n", NodeCondition::Ready, 15.3, 1)]));
        let new = list.take(120.0, &news(vec![entry("n", NodeCondition::Ready, 0.5, 2)]));
        assert_eq!((first[0].3, again[0].3, new[0].3), (95.0, 95.0, 119.5));
    }

    #[test]
    fn what_is_kept_on_disk_is_what_was_known_and_a_torn_file_is_none() {
        let path = std::env::temp_dir().join(format!("quaypath-list-{}", std::process::id()));
        let mut list = NodeList::default();
        let listed =
            vec![entry("n", NodeCondition::Ready, 5.0, 1), entry("m", NodeCondition::Draining, 1.0, 1)];
        list.take(50.0, &news(listed.clone()));
        list.take(51.0, &news([listed, vec![entry("gone", NodeCondition::Removed, 1.0, 1)]].concat()));
        assert_eq!(list.known().len(), 2);
        quaypath_record::background::replace(&path, &list.bytes()).unwrap();
        assert_eq!(NodeList::load(&path).0.known(), list.known());
        std::fs::write(&path, b"[{\"node\":").unwrap();
        let (torn, told) = NodeList::load(&path);
        assert!(torn.known().is_empty() && told.is_some());
        std::fs::remove_file(&path).unwrap();
    }
}
