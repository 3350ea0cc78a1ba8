//! A run's result as one Parquet file: a row for each class and volume, with settings, seed and version in the file's
//! own metadata.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use parquet::basic::{Encoding, LogicalType, Repetition, Type as Physical};
use parquet::column::reader::ColumnReader;
use parquet::data_type::{ByteArray, ByteArrayType, DoubleType, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::metadata::{KeyValue, ParquetMetaData};
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::types::Type;
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

    /// All rows: kind, name, interval and what was measured.
    fn rows(&self) -> Vec<(&'static str, i64, i64, Packed)> {
        let empty = Packed { counts: Counts::default(), meant: vec![], wire: vec![], lag: vec![] };
        let cells = self.cells.iter().map(|(key, packed)| {
            (kind_name(key.kind), i64::from(key.name), i64::from(key.interval), packed.clone())
        });
        let volumes = self.volumes.iter().map(|(id, served)| {
            let counts = Counts {
                offered: served.offered,
                units: served.units,
                units_in_time: served.units_in_time,
                benefit: served.benefit,
                ..Counts::default()
            };
            (VOLUME, i64::from(*id), 0, Packed { counts, ..empty.clone() })
        });
        cells.chain(volumes).collect()
    }

    /// The file's bytes.
    pub fn to_bytes(&self) -> Result<Vec<u8>, String> {
        self.encode().map_err(|error| error.to_string())
    }

    fn encode(&self) -> Result<Vec<u8>, ParquetError> {
        let mut rows = self.rows();
        let text = serde_json::to_string(&self.meta).map_err(|error| ParquetError::External(error.into()))?;
        let pairs = vec![KeyValue::new(META.to_string(), text)];
        let properties = WriterProperties::builder()
            .set_key_value_metadata(Some(pairs))
            .set_dictionary_enabled(false)
            .set_encoding(Encoding::PLAIN)
            .build();
        let mut bytes = Vec::new();
        let mut writer = SerializedFileWriter::new(&mut bytes, schema()?, Arc::new(properties))?;
        let mut group = writer.next_row_group()?;
        for (_, form) in columns() {
            let Some(mut column) = group.next_column()? else { break };
            match form {
                Column::Word(of) => {
                    let values: Vec<ByteArray> = rows.iter().map(|row| of(row.0, &row.3).into()).collect();
                    column.typed::<ByteArrayType>().write_batch(&values, None, None)?;
                }
                Column::Whole(of) => {
                    let values: Vec<i64> = rows.iter().map(|row| of(row.1, row.2)).collect();
                    column.typed::<Int64Type>().write_batch(&values, None, None)?;
                }
                Column::Count(nth) => {
                    let values = rows.iter_mut().map(|row| *row.3.counts.fields()[nth] as i64);
                    column.typed::<Int64Type>().write_batch(&values.collect::<Vec<_>>(), None, None)?;
                }
                Column::Number(of) => {
                    let values: Vec<f64> = rows.iter().map(|row| of(&row.3)).collect();
                    column.typed::<DoubleType>().write_batch(&values, None, None)?;
                }
            }
            column.close()?;
        }
        group.close()?;
        writer.close()?;
        Ok(bytes)
    }

    /// Reads a file's bytes; what does not fit is told by column or metadata.
    pub fn from_bytes(bytes: Vec<u8>) -> Result<Outcome, String> {
        // The library asserts some of what a spoilt file can break; what `sound` does not find of that is caught here,
        // so that one bad result never ends a gathering of many.
        std::panic::catch_unwind(|| Self::decode(bytes)).unwrap_or(Err("a spoilt Parquet file".into()))
    }

    fn decode(bytes: Vec<u8>) -> Result<Outcome, String> {
        let length = bytes.len() as i64;
        let file = SerializedFileReader::new(bytes::Bytes::from(bytes))
            .map_err(|error| format!("not a Parquet file: {error}"))?;
        sound(file.metadata(), length)?;
        let about = file.metadata().file_metadata();
        let pairs = about.key_value_metadata();
        let text = pairs.and_then(|pairs| pairs.iter().find(|pair| pair.key == META)?.value.clone());
        let text =
            text.ok_or(format!("no '{META}' in the file's metadata: not a result of quaypath-load"))?;
        let meta: Meta = serde_json::from_str(&text).map_err(|error| format!("{META}: {error}"))?;
        let wanted = schema().map_err(|error| error.to_string())?;
        if about.schema().get_fields() != wanted.get_fields() {
            return Err("its columns are not those of a result of this version".into());
        }
        let mut outcome = Outcome { meta, cells: BTreeMap::new(), volumes: BTreeMap::new() };
        for group in 0..file.num_row_groups() {
            let group = file.get_row_group(group).map_err(|error| error.to_string())?;
            let count = usize::try_from(group.metadata().num_rows()).unwrap_or(0);
            if count > MOST_ROWS {
                return Err(format!("{count} rows, {MOST_ROWS} at most"));
            }
            let mut values = BTreeMap::new();
            for (nth, (name, _)) in columns().into_iter().enumerate() {
                let reader = group.get_column_reader(nth).map_err(|error| error.to_string())?;
                let read = Values::read(reader, count).map_err(|why| format!("column '{name}': {why}"))?;
                values.insert(name, read);
            }
            (0..count)
                .try_for_each(|at| outcome.take(&values, at).map_err(|why| format!("row {at}: {why}")))?;
        }
        Ok(outcome)
    }

    /// Takes one row; every column of [`columns`] is there.
    fn take(&mut self, values: &BTreeMap<&str, Values>, at: usize) -> Result<(), String> {
        let whole = |name: &str| values[name].whole(at);
        let mut counts = Counts::default();
        for (name, field) in Counts::NAMES.into_iter().zip(counts.fields()) {
            *field = u64::try_from(whole(name)?).map_err(|_| format!("{name} is below 0"))?;
        }
        counts.benefit = values["benefit"].number(at)?;
        counts.benefit_due = values["benefit_due"].number(at)?;
        let short = |name: &str| u32::try_from(whole(name)?).map_err(|_| format!("{name} out of range"));
        let (id, interval) = (short("name")?, short("interval")?);
        let kind = String::from_utf8_lossy(values["kind"].word(at)?).into_owned();
        if kind == VOLUME {
            let (offered, units) = (counts.offered, counts.units);
            let served =
                Served { offered, units, units_in_time: counts.units_in_time, benefit: counts.benefit };
            self.volumes.insert(id, served);
            return Ok(());
        }
        let kind = kind_of(&kind).ok_or(format!("kind '{kind}'"))?;
        let word = |name: &str| values[name].word(at).map(<[u8]>::to_vec);
        let packed = Packed { counts, meant: word("latency")?, wire: word("from_sent")?, lag: word("lag")? };
        // Read once here, so that what is kept can be opened later.
        packed.cell()?;
        self.cells.insert(Key { kind, name: id, interval }, packed);
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

/// Guards the library's asserts: every column lies within the file.
fn sound(about: &ParquetMetaData, length: i64) -> Result<(), String> {
    for group in about.row_groups() {
        for column in group.columns() {
            let start = column.dictionary_page_offset().unwrap_or(column.data_page_offset());
            let size = column.compressed_size();
            let inside = start >= 0 && size >= 0 && start.checked_add(size).is_some_and(|end| end <= length);
            if !inside || column.data_page_offset() < 0 || column.data_page_offset() > length {
                return Err(format!(
                    "a spoilt Parquet file: a column of {size} bytes from {start} of {length}"
                ));
            }
        }
    }
    Ok(())
}

/// Most rows of one group.
const MOST_ROWS: usize = 4_000_000;

/// One column: how its value is got from a row.
enum Column {
    Word(fn(&str, &Packed) -> Vec<u8>),
    Whole(fn(i64, i64) -> i64),
    /// Place among the counts.
    Count(usize),
    Number(fn(&Packed) -> f64),
}

/// Columns in order, by name.
fn columns() -> Vec<(&'static str, Column)> {
    let mut columns = vec![
        ("kind", Column::Word(|kind, _| kind.as_bytes().to_vec())),
        ("name", Column::Whole(|name, _| name)),
        ("interval", Column::Whole(|_, interval| interval)),
    ];
    columns.extend(Counts::NAMES.into_iter().enumerate().map(|(nth, name)| (name, Column::Count(nth))));
    columns.extend([
        ("benefit", Column::Number(|row| row.counts.benefit)),
        ("benefit_due", Column::Number(|row| row.counts.benefit_due)),
        ("latency", Column::Word(|_, row| row.meant.clone())),
        ("from_sent", Column::Word(|_, row| row.wire.clone())),
        ("lag", Column::Word(|_, row| row.lag.clone())),
    ]);
    columns
}

fn schema() -> Result<Arc<Type>, ParquetError> {
    let fields = columns().into_iter().map(|(name, column)| {
        let (physical, logical) = match column {
            Column::Word(_) if name == "kind" => (Physical::BYTE_ARRAY, Some(LogicalType::String)),
            Column::Word(_) => (Physical::BYTE_ARRAY, None),
            Column::Whole(_) | Column::Count(_) => (Physical::INT64, None),
            Column::Number(_) => (Physical::DOUBLE, None),
        };
        let form = Type::primitive_type_builder(name, physical).with_repetition(Repetition::REQUIRED);
        form.with_logical_type(logical).build().map(Arc::new)
    });
    let fields = fields.collect::<Result<Vec<_>, _>>()?;
    Type::group_type_builder("result").with_fields(fields).build().map(Arc::new)
}

/// A column as read.
enum Values {
    Word(Vec<ByteArray>),
    Whole(Vec<i64>),
    Number(Vec<f64>),
}

impl Values {
    fn read(reader: ColumnReader, count: usize) -> Result<Values, String> {
        let wrong = |error: ParquetError| error.to_string();
        let values = match reader {
            ColumnReader::ByteArrayColumnReader(mut reader) => {
                let mut values = Vec::new();
                reader.read_records(count, None, None, &mut values).map_err(wrong)?;
                Values::Word(values)
            }
            ColumnReader::Int64ColumnReader(mut reader) => {
                let mut values = Vec::new();
                reader.read_records(count, None, None, &mut values).map_err(wrong)?;
                Values::Whole(values)
            }
            ColumnReader::DoubleColumnReader(mut reader) => {
                let mut values = Vec::new();
                reader.read_records(count, None, None, &mut values).map_err(wrong)?;
                Values::Number(values)
            }
            _ => return Err("of another type".into()),
        };
        Ok(values)
    }

    fn word(&self, at: usize) -> Result<&[u8], String> {
        match self {
            Values::Word(values) => values.get(at).map(ByteArray::data).ok_or("ends early".into()),
            _ => Err("of another type".into()),
        }
    }

    fn whole(&self, at: usize) -> Result<i64, String> {
        match self {
            Values::Whole(values) => values.get(at).copied().ok_or("ends early".into()),
            _ => Err("of another type".into()),
        }
    }

    fn number(&self, at: usize) -> Result<f64, String> {
        match self {
            Values::Number(values) => values.get(at).copied().ok_or("ends early".into()),
            _ => Err("of another type".into()),
        }
    }
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
        let mut small = outcome();
        small.cells.retain(|key, _| key.interval < 1);
        let bytes = small.to_bytes().unwrap();
        for at in (0..bytes.len()).step_by(197) {
            assert!(Outcome::from_bytes(bytes[..at].to_vec()).is_err(), "cut at {at}");
        }
        for at in (0..bytes.len()).step_by(37) {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 0x55;
            let _ = Outcome::from_bytes(spoilt);
        }
        assert!(Outcome::from_bytes(b"kind,name\n".to_vec()).unwrap_err().contains("not a Parquet file"));
    }
}
