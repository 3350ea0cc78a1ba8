//! The configuration: the file that `BALANCER_CONFIG` names, and further environment variables for entries that the file
//! does not have.

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quaypath::types::Settings;
use quaypath_settings::pairs::{self, Names, Pairs};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::config_file::{self, KnownList};
use crate::discovery::Listing;

/// Longest configuration file, bytes.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// A file that is read again may have this many bytes beside its node list, and where it had more at the start, this
/// multiple of them. There is memory for so many, whatever clients send meanwhile.
const MIN_RELOAD_BYTES: usize = 32 << 10;
const RELOAD_GROWTH: usize = 2;
/// Memory for each byte of settings, as JSON values and as pairs of path and value, bytes.
const DECODED_BYTES_PER_BYTE: usize = 12;

/// The reason why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: the file has {length} bytes; at most {MAX_FILE_BYTES} are allowed")]
    FileTooLong { path: PathBuf, length: u64 },
    #[error("{path}: the file has over {max_other_bytes} bytes beside its node list, for which memory is kept; restart to apply it")]
    EntriesTooLong { path: PathBuf, max_other_bytes: usize },
    #[error("{path}: {entry}: found {found}; {expected}")]
    Entry { path: PathBuf, entry: String, found: String, expected: &'static str },
    #[error("{path}: {message}")]
    Setting { path: PathBuf, message: String },
}

/// The resources that the process may use.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// The settings that are used by the connections and the decoding of messages, and not by the core.
#[derive(Clone, Debug)]
pub struct TransportSettings {
    /// Timeout for a new connection to a node, seconds.
    pub connect_timeout: f64,
    /// Time after which a node closes an idle connection, seconds.
    pub node_idle_timeout: f64,
    /// Time during which a node may still be used after it is listed as draining, seconds.
    pub drain_grace: f64,
    /// For each band the longest time that a client waits over all its tries, seconds.
    pub band_deadlines: Vec<f64>,
    /// Number of blocks of the data; they are numbered from 0.
    pub block_count: i64,
    /// Largest number of units of one transaction.
    pub max_units: f64,
    /// Names of the values in a node's load report, in the order in which the core takes them.
    pub load_fields: Vec<String>,
}

impl TransportSettings {
    /// The longest deadline of all bands, seconds.
    pub fn longest_deadline(&self) -> f64 {
        self.band_deadlines.iter().copied().fold(0.0, f64::max)
    }
}

/// The configuration of one gateway process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that the configuration was read from.
    pub path: PathBuf,
    /// The name of this gateway.
    pub name: String,
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the core's random numbers.
    pub seed: u64,
    pub limits: Limits,
    /// The node list to start with, until discovery sends its own.
    pub initial_list: Listing,
    /// Length of the node list in the file, and of the rest of the file, bytes.
    pub known_bytes: usize,
    other_bytes: usize,
    /// The settings of the core.
    pub core: Settings,
    /// The names of bands and plans.
    pub names: Names,
    pub transport: TransportSettings,
}

impl Config {
    /// Reads the configuration file at `path`; `variable` returns the value of an environment variable.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        Config::read_within(path, variable, KnownList::Keep, MAX_FILE_BYTES as usize)
    }

    /// Reads the file of this configuration again and checks all of it, and returns the address of discovery. The node list
    /// of the file is not kept, and what else it has may be as long as [`Config::max_reload_bytes`] says.
    pub fn reload(&self, variable: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, Error> {
        let max_bytes = self.max_reload_bytes();
        Config::read_within(&self.path, variable, KnownList::Check, max_bytes).map(|config| config.discovery)
    }

    /// The most bytes that the file may have beside its node list when it is read again.
    fn max_reload_bytes(&self) -> usize {
        MIN_RELOAD_BYTES.max(RELOAD_GROWTH * self.other_bytes)
    }

    /// The memory that reading the file again takes at most, bytes.
    pub fn reload_memory_bytes(&self) -> usize {
        DECODED_BYTES_PER_BYTE * self.max_reload_bytes()
    }

    fn read_within(
        path: &Path, variable: impl Fn(&str) -> Option<String>, known: KnownList, max_other_bytes: usize,
    ) -> Result<Config, Error> {
        let io_error = |source| Error::Io { path: path.into(), source };
        let file = File::open(path).map_err(io_error)?;
        let length = file.metadata().map_err(io_error)?.len();
        if length > MAX_FILE_BYTES {
            return Err(Error::FileTooLong { path: path.into(), length });
        }
        let entry_error = |entry: &str, found: String, expected| Error::Entry {
            path: path.into(),
            entry: entry.to_string(),
            found,
            expected,
        };
        let file = config_file::read(file.take(MAX_FILE_BYTES), known, max_other_bytes);
        let entries = file.map_err(|error| match error {
            config_file::Error::TooLong => Error::EntriesTooLong { path: path.into(), max_other_bytes },
            config_file::Error::NotJson(found) => entry_error("the file", found, "expected JSON"),
            config_file::Error::Entry { entry, found } => entry_error(entry, found, expected_form(entry)),
        })?;
        let text_entry = |field: &str, value: &Value, variable_name: &str| -> Result<String, Error> {
            match value {
                Value::String(text) => Ok(text.clone()),
                Value::Null => variable(variable_name).ok_or_else(|| {
                    entry_error(
                        field,
                        "nothing".to_string(),
                        "expected text, here or in the environment variable",
                    )
                }),
                found => Err(entry_error(field, found.to_string(), "expected text")),
            }
        };
        let address_entry = |field: &str, value: &Value, variable_name| -> Result<SocketAddr, Error> {
            let text = text_entry(field, value, variable_name)?;
            text.parse().map_err(|_| entry_error(field, text, "expected an address and a port"))
        };
        let seed = text_entry("seed", &entries.seed, "BALANCER_SEED")?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| entry_error("seed", seed, "expected at most 16 hex digits"))?;
        let limits = match entries.limits {
            Value::Null => Limits::default(),
            value => serde_json::from_value(value)
                .map_err(|error| entry_error("limits", error.to_string(), expected_form("limits")))?,
        };
        if limits.sockets < 64 || limits.memory_mb.is_nan() || limits.memory_mb < 16.0 {
            let found = format!("sockets {} and memory_mb {}", limits.sockets, limits.memory_mb);
            return Err(entry_error("limits", found, "expected at least 64 sockets and 16 MB"));
        }
        let pairs = Pairs::from_json(&entries.settings);
        let setting_error = |message| Error::Setting { path: path.into(), message };
        let (mut core, names) = pairs::core_settings(&pairs).map_err(setting_error)?;
        let transport = transport_settings(&pairs, names.bands.len()).map_err(setting_error)?;
        // A node decides by the arrival of a repeat whether it is in the window. A new connection may delay the arrival by
        // the connect timeout, so the core uses a window that is shorter by this time.
        core.bands
            .iter_mut()
            .for_each(|band| band.dedup_window = (band.dedup_window - transport.connect_timeout).max(0.0));
        Ok(Config {
            path: path.into(),
            name: text_entry("name", &entries.name, "BALANCER_NAME")?,
            listen: address_entry("listen", &entries.listen, "BALANCER_LISTEN")?,
            discovery: address_entry("discovery", &entries.discovery, "BALANCER_DISCOVERY")?,
            seed,
            limits,
            initial_list: entries.known,
            known_bytes: (length as usize).saturating_sub(entries.other_bytes),
            other_bytes: entries.other_bytes,
            core,
            names,
            transport,
        })
    }
}

/// What an entry of the file has to be.
fn expected_form(entry: &str) -> &'static str {
    match entry {
        "limits" => "expected memory_mb and sockets as numbers",
        "known" => "expected a list in the format of discovery",
        _ => "expected JSON",
    }
}

fn transport_settings(pairs: &Pairs, band_count: usize) -> Result<TransportSettings, String> {
    let positive_time = |path: &str| match pairs.number(path)? {
        time if time > 0.0 => Ok(time),
        found => Err(format!("setting {path}: found {found}; expected a time above 0")),
    };
    let band_deadlines: Result<Vec<f64>, String> =
        (0..band_count).map(|band| positive_time(&format!("Grades.{band}.Deadline"))).collect();
    let fields = pairs.text("Reporting.Fields").unwrap_or("");
    Ok(TransportSettings {
        connect_timeout: positive_time("Ceilings.ConnectTimeout")?,
        node_idle_timeout: positive_time("Ceilings.ConnIdle")?,
        drain_grace: pairs.number("Rules.DrainGrace")?,
        band_deadlines: band_deadlines?,
        block_count: pairs.optional("FamilyInfo.NShards")?.unwrap_or(1 << 16),
        max_units: pairs.optional("FamilyInfo.MostUnits")?.unwrap_or(1e6),
        load_fields: fields.split(',').filter(|field| !field.is_empty()).map(String::from).collect(),
    })
}
