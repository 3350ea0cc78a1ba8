//! The node list: snapshots from the register, and the last one, which is stored on disk.

use std::io;
use std::path::Path;

use quaypath::types::{BlockId, ListedNode, NodeCondition, NodeId, ZoneId};
use serde::{Deserialize, Serialize};

/// Limit of the nodes in one list.
pub const MAX_NODES: usize = 65536;

/// Call of the core to the register.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegisterCall {
    /// Starts or stops watching for changes.
    Watch { on: bool },
    /// Fetches the complete list once.
    Fetch,
}

/// One node in a snapshot of the register.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeEntry {
    /// Address and port of the node.
    pub node: String,
    pub zone: String,
    /// Number of the block (the part of the data) that the node holds.
    pub block: i64,
    pub condition: NodeCondition,
    /// Time since the node last started, seconds; none when it started long ago. It is an age, because the clocks of
    /// two machines differ.
    pub age: Option<f64>,
    /// Identifies the start of the node: it changes with every start.
    pub start: u64,
}

/// The complete node list, as of one generation of the register's log.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSnapshot {
    /// Generation of the register's log.
    pub revision: u64,
    pub entries: Vec<NodeEntry>,
}

/// A node as it is stored on disk, in JSON.
#[derive(Debug, Serialize, Deserialize)]
struct Row {
    node: String,
    /// Empty in files of versions that did not store it.
    #[serde(default)]
    zone: String,
    block: i64,
    ready: bool,
    /// Start of the node on this machine's clock, seconds; 0 when it started long ago.
    started: f64,
    start: u64,
}

/// The node list of this initiator. Starts of nodes are stored as times of its own clock.
#[derive(Debug, Default)]
pub struct NodeList {
    rows: Vec<Row>,
}

impl NodeList {
    /// Loads the last list from disk; it is empty if there is no file. If the file cannot be read, the list is empty
    /// and an error is returned beside it.
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

    /// Encodes the list in the form that is stored on disk.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(&self.rows).expect("numbers and strings can be encoded in JSON")
    }

    /// All nodes of the list in the form of the core.
    pub fn listed(&self) -> Vec<ListedNode> {
        let stored_condition =
            |row: &Row| if row.ready { NodeCondition::Ready } else { NodeCondition::Draining };
        self.rows.iter().map(|row| row.listed(stored_condition(row))).collect()
    }

    /// Replaces the list by a snapshot that was received at the clock time `now`, seconds. Returns the entries of the
    /// snapshot in the form of the core, in the same order.
    pub fn update(&mut self, now: f64, snapshot: &ListSnapshot) -> Vec<ListedNode> {
        self.rows.retain(|row| snapshot.entries.iter().any(|entry| entry.node == row.node));
        let mut listed = Vec::new();
        for entry in snapshot.entries.iter().take(MAX_NODES) {
            let started = entry.age.map_or(0.0, |age| now - age.clamp(0.0, now));
            let position = self.rows.iter().position(|row| row.node == entry.node);
            // The same start keeps its first recorded time, because ages arrive with a varying delay.
            let recorded =
                position.map(|position| &self.rows[position]).filter(|row| row.start == entry.start);
            let started = recorded.map_or(started, |row| row.started);
            let condition = entry.condition;
            let row = Row {
                node: entry.node.clone(),
                zone: entry.zone.clone(),
                block: entry.block,
                ready: condition == NodeCondition::Ready,
                started,
                start: entry.start,
            };
            listed.push(row.listed(condition));
            match (position, condition) {
                (Some(position), NodeCondition::Removed) => drop(self.rows.remove(position)),
                (Some(position), _) => self.rows[position] = row,
                (None, NodeCondition::Removed) => {}
                (None, _) => self.rows.push(row),
            }
        }
        listed
    }
}

impl Row {
    /// The node in the form of the core. The register does not report node sizes.
    fn listed(&self, condition: NodeCondition) -> ListedNode {
        ListedNode {
            node_id: NodeId(self.node.as_str().into()),
            block: BlockId(self.block),
            zone: ZoneId::from_name(&self.zone),
            condition,
            started: self.started,
            size: 0.0,
        }
    }
}
