//! A run's result as one Parquet file: a row for each class and volume, with settings, seed and version in the file's
//! own metadata.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use arrow::array::UInt64Array;
use arrow::array::{ArrayRef, AsArray, BinaryArray, Float64Array, RecordBatch, StringArray, UInt32Array};
use arrow::datatypes::{Float64Type, UInt32Type, UInt64Type};
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use parquet::arrow::ArrowWriter;
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use serde::{Deserialize, Serialize};

use crate::account::{Account, Cell, Counts, Key, Kind, Packed, Served};
use crate::generator::{verdict, Verdict};

/// A generator whose share did not come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Missing {
    pub part: u32,
    /// Arrivals that were its to bring, all or up to when it died.
    pub offered: u64,
    pub why: String,
}

/// What the file says of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Meta {
    pub name: String,
    pub version: String,
    pub seed: u64,
    /// The load's file and the deployment's, as they were.
    pub settings: String,
    pub deployment: String,
    /// Open or closed or recorded, in words.
    pub arrivals: String,
    pub peers: String,
    pub bands: Vec<String>,
    /// Due time of each band, seconds.
    pub due: Vec<f64>,
    pub plans: Vec<String>,
    /// Part of each plan's volumes in all weights.
    pub weights: Vec<f64>,
    pub groups: Vec<String>,
    /// Plan of each volume, by its id.
    pub volumes: Vec<(u32, u32)>,
    pub interval: f64,
    pub warm_up: f64,
    pub lasts: f64,
    /// Bound on the generator's own lag, seconds.
    pub lag: f64,
    /// Seconds since the epoch.
    pub started: f64,
    /// Ended before its time, by a signal or a source that failed.
    pub ended_early: Option<String>,
    /// Generators, and those whose share is missing.
    pub parts: u32,
    pub missing: Vec<Missing>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub meta: Meta,
    pub cells: BTreeMap<Key, Packed>,
    pub volumes: BTreeMap<u32, Served>,
}

/// Name in the file's metadata under which [`Meta`] stands, as JSON.
const META: &str = "quaypath.load";
/// Largest file that is read, bytes.
const LONGEST: u64 = 1 << 30;
/// Where the rows of volumes stand among the kinds.
const VOLUME: &str = "volume";

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::All => "all",
        Kind::Band => "band",
        Kind::Plan => "plan",
        Kind::Group => "group",
        Kind::Interval => "interval",
        Kind::Span => "span",
    }
}

fn kind_of(name: &str) -> Option<Kind> {
    [Kind::All, Kind::Band, Kind::Plan, Kind::Group, Kind::Interval, Kind::Span]
        .into_iter()
        .find(|kind| kind_name(*kind) == name)
}

impl Outcome {
    pub fn of(meta: Meta, account: &Account) -> Outcome {
        Outcome { meta, cells: account.packed(), volumes: account.volumes.clone() }
    }

    pub fn cell(&self, key: Key) -> Result<Cell, String> {
        self.cells.get(&key).map_or(Ok(Cell::default()), Packed::cell)
    }

    /// Everything from the first second on, warm-up included.
    pub fn sum(&self) -> Result<Cell, String> {
        let mut sum = Cell::default();
        for (_, packed) in self.cells.iter().filter(|(key, _)| key.kind == Kind::Interval) {
            sum.add(&packed.cell()?);
        }
        Ok(sum)
    }

    pub fn verdict(&self) -> Result<Verdict, String> {
        let sum = self.sum()?;
        Ok(verdict(&sum.counts, &sum.lag, self.meta.lag))
    }

    /// One result of the parts of one load. Refuses parts that are not of the same load.
    pub fn merge(parts: Vec<Outcome>) -> Result<Outcome, String> {
        let mut parts = parts.into_iter();
        let first = parts.next().ok_or("no part of the load gave a result")?;
        let mut account = Account::default();
        let mut meta = first.meta.clone();
        let mut take = |part: &Outcome| -> Result<(), String> {
            part.cells.iter().try_for_each(|(key, packed)| account.merge(*key, packed))?;
            part.volumes.iter().for_each(|(volume, served)| account.serve(*volume, served));
            Ok(())
        };
        take(&first)?;
        for part in parts {
            let theirs = &part.meta;
            let same = theirs.settings == meta.settings
                && theirs.deployment == meta.deployment
                && theirs.version == meta.version
                && theirs.seed == meta.seed;
            if !same {
                return Err(format!(
                    "results of '{}' and '{}' are not parts of one load",
                    meta.name, theirs.name
                ));
            }
            if meta.ended_early.is_none() {
                meta.ended_early.clone_from(&theirs.ended_early);
            }
            meta.started = meta.started.min(theirs.started);
            take(&part)?;
        }
        Ok(Outcome::of(meta, &account))
    }

    fn batch(&self) -> Result<RecordBatch, String> {
        let empty = Packed { counts: Counts::default(), meant: vec![], wire: vec![], lag: vec![] };
        let cells = self
            .cells
            .iter()
            .map(|(key, packed)| (kind_name(key.kind), key.name, key.interval, packed.clone()));
        let volumes = self.volumes.iter().map(|(id, served)| {
            let counts = Counts {
                offered: served.offered,
                units: served.units,
                units_in_time: served.units_in_time,
                benefit: served.benefit,
                ..Counts::default()
            };
            (VOLUME, *id, 0, Packed { counts, ..empty.clone() })
        });
        let mut rows: Vec<_> = cells.chain(volumes).collect();
        let mut columns: Vec<(&str, ArrayRef)> = vec![
            ("kind", Arc::new(rows.iter().map(|row| Some(row.0)).collect::<StringArray>())),
            ("name", Arc::new(rows.iter().map(|row| row.1).collect::<UInt32Array>())),
            ("interval", Arc::new(rows.iter().map(|row| row.2).collect::<UInt32Array>())),
        ];
        for (nth, name) in Counts::NAMES.into_iter().enumerate() {
            let values = rows.iter_mut().map(|row| *row.3.counts.fields()[nth]);
            columns.push((name, Arc::new(values.collect::<UInt64Array>())));
        }
        type Number = fn(&Packed) -> f64;
        let numbers: [(&str, Number); 2] =
            [("benefit", |row| row.counts.benefit), ("benefit_due", |row| row.counts.benefit_due)];
        for (name, of) in numbers {
            columns.push((name, Arc::new(rows.iter().map(|row| of(&row.3)).collect::<Float64Array>())));
        }
        type Bytes = fn(&Packed) -> &[u8];
        let bytes: [(&str, Bytes); 3] =
            [("latency", |row| &row.meant), ("from_sent", |row| &row.wire), ("lag", |row| &row.lag)];
        for (name, of) in bytes {
            let values = BinaryArray::from_iter_values(rows.iter().map(|row| of(&row.3)));
            columns.push((name, Arc::new(values)));
        }
        RecordBatch::try_from_iter(columns).map_err(|error| error.to_string())
    }

    /// The file's bytes.
    pub fn to_bytes(&self) -> Result<Vec<u8>, String> {
        let batch = self.batch()?;
        let text = serde_json::to_string(&self.meta).map_err(|error| error.to_string())?;
        let pairs = vec![KeyValue::new(META.to_string(), text)];
        let properties = WriterProperties::builder().set_key_value_metadata(Some(pairs)).build();
        let mut bytes = Vec::new();
        let mut writer = ArrowWriter::try_new(&mut bytes, batch.schema(), Some(properties))
            .map_err(|error| error.to_string())?;
        writer.write(&batch).map_err(|error| error.to_string())?;
        writer.close().map_err(|error| error.to_string())?;
        Ok(bytes)
    }

    /// Reads a file's bytes; what does not fit is told by column or metadata.
    pub fn from_bytes(bytes: Vec<u8>) -> Result<Outcome, String> {
        let builder = ParquetRecordBatchReaderBuilder::try_new(parquet_bytes(bytes))
            .map_err(|error| format!("not a Parquet file: {error}"))?;
        let pairs = builder.metadata().file_metadata().key_value_metadata();
        let text = pairs.and_then(|pairs| pairs.iter().find(|pair| pair.key == META)?.value.clone());
        let text =
            text.ok_or(format!("no '{META}' in the file's metadata: not a result of quaypath-load"))?;
        let meta: Meta = serde_json::from_str(&text).map_err(|error| format!("{META}: {error}"))?;
        let mut outcome = Outcome { meta, cells: BTreeMap::new(), volumes: BTreeMap::new() };
        let reader = builder.build().map_err(|error| error.to_string())?;
        for batch in reader {
            outcome.rows(&batch.map_err(|error| error.to_string())?)?;
        }
        Ok(outcome)
    }

    fn rows(&mut self, batch: &RecordBatch) -> Result<(), String> {
        let column = |name: &str| batch.column_by_name(name).ok_or(format!("no column '{name}'"));
        let wrong = |name: &str| format!("column '{name}' is of another type");
        let whole = |name: &str| -> Result<&UInt64Array, String> {
            column(name)?.as_primitive_opt::<UInt64Type>().ok_or(wrong(name))
        };
        let short = |name: &str| -> Result<&UInt32Array, String> {
            column(name)?.as_primitive_opt::<UInt32Type>().ok_or(wrong(name))
        };
        let number = |name: &str| -> Result<&Float64Array, String> {
            column(name)?.as_primitive_opt::<Float64Type>().ok_or(wrong(name))
        };
        let bytes = |name: &str| -> Result<&BinaryArray, String> {
            column(name)?.as_binary_opt::<i32>().ok_or(wrong(name))
        };
        let kinds = column("kind")?.as_string_opt::<i32>().ok_or(wrong("kind"))?;
        let (names, intervals) = (short("name")?, short("interval")?);
        let counts: Vec<&UInt64Array> = Counts::NAMES.into_iter().map(whole).collect::<Result<_, _>>()?;
        let (benefit, benefit_due) = (number("benefit")?, number("benefit_due")?);
        let (meant, wire, lag) = (bytes("latency")?, bytes("from_sent")?, bytes("lag")?);
        for at in 0..batch.num_rows() {
            let mut row = Counts {
                benefit: benefit.value(at),
                benefit_due: benefit_due.value(at),
                ..Counts::default()
            };
            row.fields().into_iter().zip(&counts).for_each(|(field, column)| *field = column.value(at));
            let (name, interval) = (names.value(at), intervals.value(at));
            if kinds.value(at) == VOLUME {
                let (offered, units) = (row.offered, row.units);
                let served =
                    Served { offered, units, units_in_time: row.units_in_time, benefit: row.benefit };
                self.volumes.insert(name, served);
                continue;
            }
            let kind = kind_of(kinds.value(at)).ok_or(format!("row {at}: kind '{}'", kinds.value(at)))?;
            let packed = Packed {
                counts: row,
                meant: meant.value(at).to_vec(),
                wire: wire.value(at).to_vec(),
                lag: lag.value(at).to_vec(),
            };
            // Read once here, so that what is kept can be opened later.
            packed.cell().map_err(|why| format!("row {at}: {why}"))?;
            self.cells.insert(Key { kind, name, interval }, packed);
        }
        Ok(())
    }

    pub fn write(&self, path: &Path) -> Result<(), String> {
        let place = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        // Beside it first: a result of an earlier run is never half overwritten.
        let beside = path.with_extension("part");
        std::fs::write(&beside, self.to_bytes()?).map_err(|error| place(&error))?;
        std::fs::rename(&beside, path).map_err(|error| place(&error))
    }

    pub fn read(path: &Path) -> Result<Outcome, String> {
        let place = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let length = std::fs::metadata(path).map_err(|error| place(&error))?.len();
        if length > LONGEST {
            return Err(place(&format!("{length} bytes, {LONGEST} at most")));
        }
        let bytes = std::fs::read(path).map_err(|error| place(&error))?;
        Self::from_bytes(bytes).map_err(|error| place(&error))
    }
}

fn parquet_bytes(bytes: Vec<u8>) -> bytes::Bytes {
    bytes.into()
}

#[cfg(test)]
pub mod tests {
    use super::*;

    pub fn meta() -> Meta {
        Meta {
            name: "small".into(),
            version: "0".into(),
            seed: 7,
            settings: "<load/>".into(),
            deployment: "<deployment/>".into(),
            arrivals: "open, poisson".into(),
            peers: "4 gateways".into(),
            bands: vec!["look-up".into(), "purchase".into()],
            due: vec![0.2, 0.3],
            plans: vec!["basic".into(), "gold".into()],
            weights: vec![0.3, 0.7],
            groups: vec![],
            volumes: vec![(1, 0), (101, 1)],
            interval: 1.0,
            warm_up: 0.0,
            lasts: 10.0,
            lag: 0.01,
            started: 1e9,
            ended_early: None,
            parts: 1,
            missing: vec![],
        }
    }

    pub fn outcome() -> Outcome {
        let mut account = Account::default();
        for nth in 0..200u32 {
            let seconds = f64::from(nth) * 1e-3;
            for key in [
                Key::new(Kind::All, 0),
                Key::new(Kind::Band, 1),
                Key { kind: Kind::Interval, name: 0, interval: nth / 20 },
                Key { kind: Kind::Span, name: 1, interval: nth / 20 },
            ] {
                let cell = account.cell(key);
                cell.settled(seconds, seconds);
                cell.lag(1e-5);
                cell.counts.offered += 1;
                cell.counts.in_time += 1;
                cell.counts.benefit += 0.25;
            }
        }
        account.serve(101, &Served { offered: 200, units: 400, units_in_time: 390, benefit: 50.0 });
        Outcome::of(meta(), &account)
    }

    #[test]
    fn as_written() {
        let written = outcome();
        let read = Outcome::from_bytes(written.to_bytes().unwrap()).unwrap();
        assert_eq!((read.meta, read.cells, read.volumes), (written.meta, written.cells, written.volumes));
    }

    #[test]
    fn parts_become_one() {
        let one = outcome();
        let merged = Outcome::merge(vec![one.clone(), one.clone()]).unwrap();
        let key = Key::new(Kind::Band, 1);
        assert_eq!(merged.cell(key).unwrap().counts.in_time, 400);
        assert_eq!(merged.volumes[&101].units, 800);
        let mut other = one.clone();
        other.meta.seed = 8;
        assert!(Outcome::merge(vec![one, other]).unwrap_err().contains("not parts of one load"));
    }

    /// A file cut anywhere, or with any byte changed, is refused or read, with no panic.
    #[test]
    fn spoilt_files() {
        let bytes = outcome().to_bytes().unwrap();
        for at in (0..bytes.len()).step_by(97) {
            assert!(Outcome::from_bytes(bytes[..at].to_vec()).is_err(), "cut at {at}");
        }
        assert!(Outcome::from_bytes(b"kind,name\n".to_vec()).unwrap_err().contains("not a Parquet file"));
    }
}
