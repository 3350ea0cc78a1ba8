//! The configuration: `BALANCER_CONFIG`, and the other variables where the file is silent.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use quaypath::types::Settings;
use quaypath_settings::pairs::{self, Names, Pairs};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::discovery::Listing;

/// Longest configuration that is read, bytes.
const LONGEST: u64 = 8 << 20;

#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {length} bytes, {LONGEST} at most")]
    Long { path: PathBuf, length: u64 },
    #[error("{path}: {place}: found {found}; {rule}")]
    Entry { path: PathBuf, place: String, found: String, rule: &'static str },
    #[error("{path}: {what}")]
    Setting { path: PathBuf, what: String },
}

/// What the program has to do with.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 192.0, sockets: 1024 }
    }
}

/// The settings that are the sockets' and not the core's. Seconds.
#[derive(Clone, Debug)]
pub struct Waits {
    pub connect: f64,
    /// A node closes a connection that stood idle for so long.
    pub idle: f64,
    pub drain_grace: f64,
    /// The longest that a client waits over all its tries, for each band.
    pub deadlines: Vec<f64>,
    /// Blocks of the data, counted from 0.
    pub blocks: i64,
    pub most_units: f64,
    /// What a load report's values are called, in the core's order.
    pub load: Vec<String>,
}

impl Waits {
    pub fn longest(&self) -> f64 {
        self.deadlines.iter().copied().fold(0.0, f64::max)
    }
}

#[derive(Clone, Debug)]
pub struct Config {
    pub path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Listing,
    pub core: Settings,
    pub names: Names,
    pub waits: Waits,
}

impl Config {
    /// Reads the file; `variable` gives the environment's.
    pub fn read(path: &Path, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
        let io = |source| Error::Io { path: path.into(), source };
        let length = std::fs::metadata(path).map_err(io)?.len();
        if length > LONGEST {
            return Err(Error::Long { path: path.into(), length });
        }
        let text = std::fs::read(path).map_err(io)?;
        let entry = |place: &str, found: String, rule| Error::Entry {
            path: path.into(),
            place: place.to_string(),
            found,
            rule,
        };
        let root: Value = serde_json::from_slice(&text)
            .map_err(|error| entry("the file", error.to_string(), "JSON is wanted"))?;
        let word = |field: &str, other: &str| -> Result<String, Error> {
            match root.get(field) {
                Some(Value::String(text)) => Ok(text.clone()),
                None | Some(Value::Null) => variable(other)
                    .ok_or_else(|| entry(field, "nothing".to_string(), "text, here or in the environment")),
                Some(found) => Err(entry(field, found.to_string(), "text is wanted")),
            }
        };
        let address = |field: &str, other: &str| -> Result<SocketAddr, Error> {
            let text = word(field, other)?;
            text.parse().map_err(|_| entry(field, text, "an address and a port are wanted"))
        };
        let seed = word("seed", "BALANCER_SEED")?;
        let seed = u64::from_str_radix(&seed, 16)
            .map_err(|_| entry("seed", seed, "at most 16 hex digits are wanted"))?;
        let part = |field: &str| root.get(field).cloned().unwrap_or(Value::Null);
        let limits = match part("limits") {
            Value::Null => Limits::default(),
            value => serde_json::from_value(value)
                .map_err(|error| entry("limits", error.to_string(), "memory_mb and sockets as numbers"))?,
        };
        if limits.sockets < 64 || limits.memory_mb.is_nan() || limits.memory_mb < 16.0 {
            let found = format!("sockets {} and memory_mb {}", limits.sockets, limits.memory_mb);
            return Err(entry("limits", found, "64 sockets and 16 MB at least"));
        }
        let known = match part("known") {
            Value::Null => Listing::default(),
            value => serde_json::from_value(value)
                .map_err(|error| entry("known", error.to_string(), "discovery's form is wanted"))?,
        };
        let pairs = Pairs::of_json(&part("settings"));
        let setting = |what| Error::Setting { path: path.into(), what };
        let (mut core, names) = pairs::core(&pairs).map_err(setting)?;
        let waits = waits(&pairs, names.bands.len()).map_err(setting)?;
        // A repeat within the window counts by when it arrives: a connection may come up late under it.
        core.bands
            .iter_mut()
            .for_each(|band| band.dedup_window = (band.dedup_window - waits.connect).max(0.0));
        Ok(Config {
            path: path.into(),
            name: word("name", "BALANCER_NAME")?,
            listen: address("listen", "BALANCER_LISTEN")?,
            discovery: address("discovery", "BALANCER_DISCOVERY")?,
            seed,
            limits,
            known,
            core,
            names,
            waits,
        })
    }
}

fn waits(pairs: &Pairs, bands: usize) -> Result<Waits, String> {
    let time = |path: &str| match pairs.number(path)? {
        time if time > 0.0 => Ok(time),
        found => Err(format!("setting {path}: found {found}; a time above 0 is wanted")),
    };
    let deadlines: Result<Vec<f64>, String> =
        (0..bands).map(|at| time(&format!("Grades.{at}.Deadline"))).collect();
    let fields = pairs.text("Reporting.Fields").unwrap_or("");
    Ok(Waits {
        connect: time("Ceilings.ConnectTimeout")?,
        idle: time("Ceilings.ConnIdle")?,
        drain_grace: pairs.number("Rules.DrainGrace")?,
        deadlines: deadlines?,
        blocks: pairs.optional("FamilyInfo.NShards")?.unwrap_or(1 << 16),
        most_units: pairs.optional("FamilyInfo.MostUnits")?.unwrap_or(1e6),
        load: fields.split(',').filter(|field| !field.is_empty()).map(String::from).collect(),
    })
}
