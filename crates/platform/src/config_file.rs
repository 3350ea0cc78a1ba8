//! The entries of a configuration file, decoded while the file is read. A long node list takes no memory beside the decoded
//! list, and none at all where it is only checked.

use std::cell::Cell;
use std::fmt;
use std::io::{self, BufReader, Read};
use std::marker::PhantomData;

use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::{Endpoint, Listing};

/// What becomes of the node list of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownList {
    /// It is returned.
    Keep,
    /// It is checked, and nothing of it is kept.
    Check,
}

/// The entries of a file. One that the file does not have is null or empty.
#[derive(Debug, Default)]
pub struct ConfigEntries {
    pub name: Value,
    pub listen: Value,
    pub discovery: Value,
    pub seed: Value,
    pub limits: Value,
    pub settings: Value,
    pub known: Listing,
    /// Length of the file without its node list, bytes.
    pub other_bytes: usize,
}

/// The reason why a file cannot be decoded.
#[derive(Debug)]
pub enum Error {
    /// It cannot be read, or it is not JSON.
    NotJson(String),
    /// It has too many bytes beside the node list.
    TooLong,
    /// The value of this entry has another form than its description says.
    Entry { entry: &'static str, found: String },
}

/// Reads a file that has at most `max_other_bytes` bytes beside its node list.
pub fn read(file: impl Read, known: KnownList, max_other_bytes: usize) -> Result<ConfigEntries, Error> {
    let progress = Progress::new(max_other_bytes);
    let reader = LimitedReader { file: BufReader::new(file), progress: &progress };
    let mut deserializer = serde_json::Deserializer::from_reader(reader);
    let visitor = EntriesVisitor { known, progress: &progress };
    let entries = deserializer.deserialize_map(visitor).and_then(|entries| {
        deserializer.end()?;
        Ok(entries)
    });
    match entries {
        Ok(entries) => {
            Ok(ConfigEntries { other_bytes: max_other_bytes - progress.remaining.get(), ..entries })
        }
        Err(_) if progress.is_exhausted.get() => Err(Error::TooLong),
        Err(error) => Err(match progress.entry.get() {
            Some(entry) if error.is_data() => Error::Entry { entry, found: error.to_string() },
            _ => Error::NotJson(error.to_string()),
        }),
    }
}

/// How far a file has been read.
struct Progress {
    /// The entry whose value is being read.
    entry: Cell<Option<&'static str>>,
    /// Number of bytes that may still be read beside the node list.
    remaining: Cell<usize>,
    /// Whether more bytes than allowed were found.
    is_exhausted: Cell<bool>,
}

impl Progress {
    fn new(max_other_bytes: usize) -> Self {
        Progress {
            entry: Cell::new(None),
            remaining: Cell::new(max_other_bytes),
            is_exhausted: Cell::new(false),
        }
    }
}

/// Reads a file up to the limit of its [`Progress`].
struct LimitedReader<'a, R> {
    file: BufReader<R>,
    progress: &'a Progress,
}

impl<R: Read> Read for LimitedReader<'_, R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.progress.entry.get() == Some(KNOWN) {
            return self.file.read(buffer);
        }
        let remaining = self.progress.remaining.get();
        let limit = buffer.len().min(remaining);
        if limit == 0 && !buffer.is_empty() {
            let ended = self.file.read(&mut [0])? == 0;
            self.progress.is_exhausted.set(!ended);
            return if ended { Ok(0) } else { Err(io::ErrorKind::FileTooLarge.into()) };
        }
        let count = self.file.read(&mut buffer[..limit])?;
        self.progress.remaining.set(remaining - count);
        Ok(count)
    }
}

const KNOWN: &str = "known";

struct EntriesVisitor<'a> {
    known: KnownList,
    progress: &'a Progress,
}

impl EntriesVisitor<'_> {
    /// Reads the value of an entry.
    fn read_value<'de, T: Deserialize<'de>, A: MapAccess<'de>>(
        &self, entry: &'static str, map: &mut A,
    ) -> Result<T, A::Error> {
        self.progress.entry.set(Some(entry));
        let value = map.next_value()?;
        self.progress.entry.set(None);
        Ok(value)
    }
}

impl<'de> Visitor<'de> for EntriesVisitor<'_> {
    type Value = ConfigEntries;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object with the entries of a configuration")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ConfigEntries, A::Error> {
        let mut entries = ConfigEntries::default();
        while let Some(name) = map.next_key::<String>()? {
            match name.as_str() {
                "name" => entries.name = self.read_value("name", &mut map)?,
                "listen" => entries.listen = self.read_value("listen", &mut map)?,
                "discovery" => entries.discovery = self.read_value("discovery", &mut map)?,
                "seed" => entries.seed = self.read_value("seed", &mut map)?,
                "limits" => entries.limits = self.read_value("limits", &mut map)?,
                "settings" => entries.settings = self.read_value("settings", &mut map)?,
                KNOWN if self.known == KnownList::Keep => {
                    entries.known =
                        self.read_value::<Option<Listing>, _>(KNOWN, &mut map)?.unwrap_or_default();
                }
                KNOWN => {
                    self.read_value::<Option<CheckedListing>, _>(KNOWN, &mut map)?;
                }
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(entries)
    }
}

/// A [`Listing`] that was checked, and whose entries were not kept.
#[derive(Deserialize)]
#[allow(dead_code)]
struct CheckedListing {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    endpoints: CheckedItems<Endpoint>,
}

/// A list whose items were checked and not kept.
struct CheckedItems<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for CheckedItems<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(CheckedItems(PhantomData))
    }
}

impl<'de, T: Deserialize<'de>> Visitor<'de> for CheckedItems<T> {
    type Value = Self;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("a list")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self, A::Error> {
        while items.next_element::<T>()?.is_some() {}
        Ok(self)
    }
}
