//! Settings files: deployments, days and loads, in XML, checked against one schema (`quaypath.xsd`) when loaded, then
//! for what a schema cannot say, then decoded into plain structs.

mod day;
mod deployment;
mod load;
pub mod pairs;

use std::path::{Path, PathBuf};

use thiserror::Error;

pub use day::{Abuse, Day, Fault, FaultKind, Fleet, LeadChange, Leave, LinkEnd, Surge, Traffic};
pub use deployment::{
    migrate, BandRule, Connections, Deployment, Digests, FleetSettings, Listen, Member, Mode, Placement,
    Register, SignalScope, Volume,
};
pub use load::{
    Benefit, Bounds, Closed, Draw, DrawKind, Group, Lead, Load, Open, Process, Recorded, Remap, Shape,
    Shapes, Weighted, MAX_RATE,
};

/// The schema, as shipped.
pub const SCHEMA: &str = include_str!("quaypath.xsd");
/// Longest settings file that is read, bytes.
const LONGEST: u64 = 4 << 20;

#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {length} bytes, {LONGEST} at most")]
    TooLong { path: PathBuf, length: u64 },
    #[error("{path}: not well-formed XML: {what}")]
    Xml { path: PathBuf, what: String },
    #[error("{path}:{line}: {what} (schema quaypath.xsd)")]
    Schema { path: PathBuf, line: usize, what: String },
    /// What the schema cannot say: `place` names element and attribute, `rule` what is allowed.
    #[error("{path}: {place}: found {found}; {rule}")]
    Check { path: PathBuf, place: String, found: String, rule: String },
}

/// A failed check, before the file's name is known.
pub(crate) struct Bad {
    place: String,
    found: String,
    rule: String,
}

pub(crate) fn bad<T>(
    place: impl Into<String>, found: impl ToString, rule: impl Into<String>,
) -> Result<T, Bad> {
    Err(Bad { place: place.into(), found: found.to_string(), rule: rule.into() })
}

fn text_of(path: &Path) -> Result<String, Error> {
    let io = |source| Error::Io { path: path.into(), source };
    let length = std::fs::metadata(path).map_err(io)?.len();
    if length > LONGEST {
        return Err(Error::TooLong { path: path.into(), length });
    }
    std::fs::read_to_string(path).map_err(io)
}

/// How deep elements may stand in each other; readers that call themselves for each are kept off more.
const DEEPEST: usize = 32;

/// Guards the parsers against a file that is one long nest.
fn nested(path: &Path, text: &str) -> Result<(), Error> {
    let mut reader = quick_xml::Reader::from_str(text);
    let mut depth = 0;
    loop {
        let xml = |what: String| Error::Xml { path: path.into(), what };
        match reader.read_event().map_err(|error| xml(error.to_string()))? {
            quick_xml::events::Event::Start(_) => depth += 1,
            quick_xml::events::Event::End(_) => depth -= 1,
            quick_xml::events::Event::Eof => return Ok(()),
            _ => {}
        }
        if depth > DEEPEST {
            return Err(xml(format!("elements more than {DEEPEST} deep")));
        }
    }
}

/// Checks the text against the schema, and that its root is `root`.
fn check(path: &Path, text: &str, root: &str) -> Result<(), Error> {
    let schema = uppsala::parse(SCHEMA).expect("the shipped schema is XML");
    let validator = uppsala::XsdValidator::from_schema(&schema).expect("the shipped schema is a schema");
    let document =
        uppsala::parse(text).map_err(|error| Error::Xml { path: path.into(), what: error.to_string() })?;
    if let Some(error) = validator.validate(&document).first() {
        let (line, what) = (error.line.unwrap_or(1), error.message.clone());
        return Err(Error::Schema { path: path.into(), line, what });
    }
    let found = document
        .document_element()
        .and_then(|at| document.element(at))
        .map(|e| e.name.local_name.to_string());
    if found.as_deref() != Some(root) {
        let (place, found) = ("root element".to_string(), found.unwrap_or_default());
        return Err(Error::Check { path: path.into(), place, found, rule: format!("expected {root}") });
    }
    Ok(())
}

impl Bad {
    fn at(self, path: &Path) -> Error {
        let Bad { place, found, rule } = self;
        Error::Check { path: path.into(), place, found, rule }
    }
}

/// By the schema, and the text that it was read from.
fn load_form<F: serde::de::DeserializeOwned>(path: &Path, root: &str) -> Result<(F, String), Error> {
    let text = text_of(path)?;
    nested(path, &text)?;
    check(path, &text, root)?;
    let form = quick_xml::de::from_str(&text)
        .map_err(|error| Error::Xml { path: path.into(), what: error.to_string() })?;
    Ok((form, text))
}

/// Schema, checks, decoded; and the text that it was decoded from.
fn load_checked<T, F: serde::de::DeserializeOwned>(
    path: &Path, root: &str, decode: impl FnOnce(F) -> Result<T, Bad>,
) -> Result<(T, String), Error> {
    let (form, text) = load_form(path, root)?;
    let decoded = decode(form).map_err(|bad| bad.at(path))?;
    Ok((decoded, text))
}

/// The deployment that another file names, relative to that file's own place.
fn beside(path: &Path, name: &str) -> Result<(Deployment, String), Error> {
    load_checked(&path.parent().unwrap_or(Path::new("")).join(name), "deployment", deployment::decode)
}

/// Loads a deployment: schema, checks, decoded.
pub fn deployment(path: &Path) -> Result<Deployment, Error> {
    load_checked(path, "deployment", deployment::decode).map(|(deployment, _)| deployment)
}

/// Loads a day and the deployment that it names, relative to the day's own place.
pub fn day(path: &Path) -> Result<(Day, Deployment), Error> {
    let (day, _): (Day, _) = load_checked(path, "day", day::decode)?;
    let (deployment, _) = beside(path, &day.deployment)?;
    day.fits(&deployment).map_err(|bad| bad.at(path))?;
    Ok((day, deployment))
}

/// A load, the deployment that it names, and the text of both files as read, to be kept with what is measured.
pub struct Loaded {
    pub load: Load,
    pub deployment: Deployment,
    pub text: String,
    pub deployment_text: String,
}

/// Loads a load and the deployment that it names, relative to the load's own place.
pub fn load(path: &Path) -> Result<Loaded, Error> {
    let (load, text): (Load, _) = load_checked(path, "load", load::decode)?;
    let (deployment, deployment_text) = beside(path, &load.deployment)?;
    load.fits(&deployment).map_err(|bad| bad.at(path))?;
    Ok(Loaded { load, deployment, text, deployment_text })
}
