//! Loads from what was recorded: rows from any reader, brought to the fleet at hand.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::path::Path;

use quaypath_record::{Event, RecordReader};
use quaypath_settings::{Deployment, Recorded, Remap};
use xxhash_rust::xxh3::xxh3_64;

use crate::schedule::{Arrival, Peers, Source, BLOCKS};

/// One recorded first try, as its reader found it. What a trace does not tell is absent.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// On the record's own clock, seconds.
    pub at: f64,
    /// Any name of the volume; a number where the trace numbers them.
    pub volume: u64,
    pub band: usize,
    pub units: u32,
    pub key: u64,
    /// Which initiator took it.
    pub initiator: Option<u32>,
    pub budget: Option<f64>,
}

/// What a trace gives, one row after the other. Rows need not be in order of time.
pub trait Reader {
    /// The next row; nothing at the end. An error names the place.
    fn next(&mut self) -> Result<Option<Row>, String>;
}

/// First tries of the project's own record.
pub struct OwnRecord(RecordReader);

impl OwnRecord {
    pub fn open(path: &Path) -> Result<Self, String> {
        RecordReader::open(path).map(OwnRecord).map_err(|error| error.to_string())
    }
}

impl Reader for OwnRecord {
    fn next(&mut self) -> Result<Option<Row>, String> {
        for event in &mut self.0 {
            let event = event.map_err(|error| error.to_string())?;
            // A try of the same operation that is not its first is the clients' doing, and will be again.
            let Event::CommandSent { t, gateway, mark, volume, band, units, key, budget } = event else {
                continue;
            };
            if mark & 0xff == 0 {
                return Ok(Some(Row {
                    at: t,
                    volume: u64::from(volume),
                    band,
                    units,
                    key,
                    initiator: Some(gateway),
                    budget: Some(budget),
                }));
            }
        }
        Ok(None)
    }
}

/// What became of the rows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rows {
    pub taken: u64,
    /// Outside the window.
    pub outside: u64,
    /// Put in order from out of it.
    pub reordered: u64,
    /// Further out of order than is mended, so left out.
    pub late: u64,
    /// Of a volume or band that the deployment has not, left out.
    pub unknown: u64,
    /// Of a volume that stands for another.
    pub remapped: u64,
}

/// How far rows may be out of order, seconds of the record's clock, and how many are held to mend it.
const REORDER: f64 = 1.0;
const MOST_HELD: usize = 65_536;

#[derive(PartialEq)]
struct Held {
    at: f64,
    order: u64,
    row: Row,
}

impl Eq for Held {}

impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A recorded stream, brought to this fleet: window, speed, volumes and peers.
pub struct Replay<R> {
    reader: R,
    form: Recorded,
    deployment: Deployment,
    ids: Vec<u32>,
    peers: Peers,
    /// Time of the record's first row.
    origin: Option<f64>,
    held: BinaryHeap<Reverse<Held>>,
    ended: bool,
    newest: f64,
    given: f64,
    order: u64,
    next: u64,
    in_turn: BTreeMap<u64, u32>,
    pub rows: Rows,
}

impl<R: Reader> Replay<R> {
    pub fn new(reader: R, form: &Recorded, deployment: &Deployment, peers: Peers) -> Self {
        Replay {
            reader,
            form: form.clone(),
            ids: deployment.volumes.keys().copied().collect(),
            deployment: deployment.clone(),
            peers,
            origin: None,
            held: BinaryHeap::new(),
            ended: false,
            newest: f64::NEG_INFINITY,
            given: f64::NEG_INFINITY,
            order: 0,
            next: 0,
            in_turn: BTreeMap::new(),
            rows: Rows::default(),
        }
    }

    /// Holds rows until the oldest cannot be overtaken any more.
    fn fill(&mut self) -> Result<(), String> {
        while !self.ended && self.held.len() < MOST_HELD {
            if self.held.peek().is_some_and(|Reverse(first)| first.at <= self.newest - REORDER) {
                return Ok(());
            }
            let Some(row) = self.reader.next()? else {
                self.ended = true;
                return Ok(());
            };
            if !row.at.is_finite() {
                self.rows.unknown += 1;
                continue;
            }
            if row.at < self.newest {
                if row.at < self.given {
                    self.rows.late += 1;
                    continue;
                }
                self.rows.reordered += 1;
            }
            self.newest = self.newest.max(row.at);
            self.order += 1;
            self.held.push(Reverse(Held { at: row.at, order: self.order, row }));
        }
        Ok(())
    }

    fn volume(&mut self, recorded: u64) -> Option<u32> {
        let same = u32::try_from(recorded).ok().filter(|id| self.deployment.volumes.contains_key(id));
        if same.is_some() || self.ids.is_empty() {
            return same;
        }
        let count = self.ids.len() as u64;
        let at = match self.form.remap {
            Remap::Strict => return None,
            Remap::Hash => (xxh3_64(&recorded.to_le_bytes()) % count) as usize,
            Remap::InTurn => {
                let next = self.in_turn.len() as u32;
                // Bounded: further names share the places of the first.
                if self.in_turn.len() >= 1_000_000 && !self.in_turn.contains_key(&recorded) {
                    (recorded % count) as usize
                } else {
                    (u64::from(*self.in_turn.entry(recorded).or_insert(next)) % count) as usize
                }
            }
        };
        self.rows.remapped += 1;
        Some(self.ids[at])
    }

    fn arrival(&mut self, row: &Row, at: f64) -> Option<Arrival> {
        if row.band >= self.deployment.core.bands.len() {
            return None;
        }
        let id = self.volume(row.volume)?;
        let volume = &self.deployment.volumes[&id];
        let whole = (volume.size / self.deployment.extent_blocks).max(1);
        // A record's key is the volume's number over the extent's, from 1.
        let extent = (row.key & 0xffff_ffff).saturating_sub(1) % whole;
        let slba = extent * self.deployment.extent_blocks;
        let count = self.peers.count().max(1);
        let peer = match (self.peers, row.initiator) {
            (Peers::Targets(_), _) => self.deployment.extent_and_block(volume, slba).1 as u32 % count,
            (Peers::Gateways(_), Some(initiator)) => initiator % count,
            (Peers::Gateways(_), None) => id.wrapping_mul(5) % count,
        };
        let number = self.next;
        self.next += 1;
        Some(Arrival {
            number,
            at,
            peer,
            volume: id,
            plan: volume.plan,
            band: row.band,
            units: row.units.clamp(1, self.deployment.max_units),
            key: extent as u32 + 1,
            slba,
            blocks: BLOCKS.min(self.deployment.extent_blocks) as u32,
            initiators: volume.initiators.min(count),
            budget: row
                .budget
                .filter(|budget| *budget > 0.0)
                .unwrap_or(self.deployment.outer_limits[row.band]),
            leaves: None,
            retries: None,
        })
    }
}

impl<R: Reader> Source for Replay<R> {
    fn next(&mut self) -> Result<Option<Arrival>, String> {
        loop {
            self.fill()?;
            let Some(Reverse(Held { at, row, .. })) = self.held.pop() else { return Ok(None) };
            self.given = at;
            let into = at - *self.origin.get_or_insert(at);
            if into < self.form.from || into >= self.form.to {
                self.rows.outside += 1;
                if into >= self.form.to {
                    // Held rows behind it are outside too; the rest of the file need not be read.
                    self.rows.outside += self.held.len() as u64;
                    self.held.clear();
                    self.ended = true;
                }
                continue;
            }
            match self.arrival(&row, (into - self.form.from) / self.form.speed) {
                Some(arrival) => {
                    self.rows.taken += 1;
                    return Ok(Some(arrival));
                }
                None => self.rows.unknown += 1,
            }
        }
    }

    fn drawn(&mut self, _: f64) -> Option<Arrival> {
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{load, Text};
    use test_case::test_case;

    struct Rigged(std::vec::IntoIter<Row>);

    impl Reader for Rigged {
        fn next(&mut self) -> Result<Option<Row>, String> {
            Ok(self.0.next())
        }
    }

    fn row(at: f64, volume: u64) -> Row {
        Row { at, volume, band: 0, units: 1, key: volume << 32 | 3, initiator: Some(7), budget: None }
    }

    fn replay(rows: Vec<Row>, form: Recorded) -> (Vec<Arrival>, Rows) {
        let loaded = load(&Text::default());
        let mut replay = Replay::new(Rigged(rows.into_iter()), &form, &loaded.deployment, Peers::Gateways(3));
        let arrivals = std::iter::from_fn(|| replay.next().unwrap()).collect();
        (arrivals, replay.rows)
    }

    fn form(remap: Remap) -> Recorded {
        Recorded { file: String::new(), speed: 1.0, from: 0.0, to: f64::INFINITY, remap }
    }

    /// Speed-up and window go by the record's clock; what comes is in order whatever the rows were.
    #[test]
    fn window_speed_and_order() {
        let rows = [100.0, 100.4, 100.2, 103.0, 101.0, 104.0, 105.0, 110.0].map(|at| row(at, 1)).to_vec();
        let (arrivals, counts) =
            replay(rows, Recorded { speed: 2.0, from: 0.1, to: 4.5, ..form(Remap::Hash) });
        let at: Vec<f64> = arrivals.iter().map(|one| (one.at * 1e3).round() / 1e3).collect();
        assert_eq!(at, [0.05, 0.15, 0.45, 1.45, 1.95]);
        assert_eq!((counts.taken, counts.reordered, counts.late, counts.outside), (5, 2, 0, 3));
        assert!(arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
        assert_eq!(arrivals[0].peer, 7 % 3);
    }

    /// A row older than one already given cannot be given any more: left out and counted.
    #[test]
    fn too_late_a_row() {
        let rows = [100.0, 103.0, 105.0, 100.5, 106.0].map(|at| row(at, 1)).to_vec();
        let (arrivals, counts) = replay(rows, form(Remap::Hash));
        assert_eq!((arrivals.len(), counts.late, counts.taken), (4, 1, 4));
    }

    #[test_case(Remap::Strict, 1, 0, 2; "strict leaves out")]
    #[test_case(Remap::Hash, 3, 2, 0; "by hash")]
    #[test_case(Remap::InTurn, 3, 2, 0; "in turn")]
    fn volumes_that_are_not_here(remap: Remap, taken: u64, remapped: u64, unknown: u64) {
        let (arrivals, rows) = replay(vec![row(1.0, 1), row(2.0, 900), row(3.0, 901)], form(remap));
        assert_eq!((rows.taken, rows.remapped, rows.unknown), (taken, remapped, unknown));
        assert_eq!(arrivals.len() as u64, taken);
    }

    /// Of the project's own record: only first tries; a torn last line is left, a bad one named.
    #[test]
    fn own_record() {
        let path = std::env::temp_dir().join(format!("quaypath-own-{}.jsonl", std::process::id()));
        let ask = |mark: u64| {
            let line = Event::CommandSent {
                t: mark as f64,
                gateway: 2,
                mark,
                volume: 1,
                band: 0,
                units: 2,
                key: 5,
                budget: 1.0,
            };
            serde_json::to_string(&line).unwrap()
        };
        let text = format!("{}\n{}\n{}\n{{\"e\":\"ask\",\"t\"", ask(256), ask(257), ask(512));
        std::fs::write(&path, text).unwrap();
        let mut reader = OwnRecord::open(&path).unwrap();
        let rows: Vec<Row> = std::iter::from_fn(|| reader.next().unwrap()).collect();
        assert_eq!(rows.iter().map(|row| row.at).collect::<Vec<_>>(), [256.0, 512.0]);
        std::fs::write(&path, format!("{}\nnonsense\n", ask(256))).unwrap();
        let mut reader = OwnRecord::open(&path).unwrap();
        reader.next().unwrap();
        let why = reader.next().unwrap_err();
        assert!(why.contains("line 2"), "{why}");
        let _ = std::fs::remove_file(&path);
    }
}
