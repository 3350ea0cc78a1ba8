//! Settings files in XML: deployments (settings of a gateway), days (scripted tests with faults) and loads (settings of
//! the load generator).
//!
//! A file is checked against the schema `quaypath.xsd`, then decoded, then checked for the rules that a schema cannot
//! express.

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

/// The XML schema of all settings files.
pub const SCHEMA: &str = include_str!("quaypath.xsd");
/// Maximum length of a settings file in bytes.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// Why a settings file was refused.
#[derive(Debug, Error)]
pub enum Error {
    #[error("{path}: {source}")]
    Io { path: PathBuf, source: std::io::Error },
    #[error("{path}: {length} bytes, {MAX_FILE_BYTES} at most")]
    TooLong { path: PathBuf, length: u64 },
    #[error("{path}: not well-formed XML: {message}")]
    Xml { path: PathBuf, message: String },
    #[error("{path}:{line}: {message} (schema quaypath.xsd)")]
    Schema { path: PathBuf, line: usize, message: String },
    /// The file breaks a rule that the schema cannot express. `place` names the element and attribute, `found` is the
    /// value there, and `rule` states what is allowed.
    #[error("{path}: {place}: found {found}; {rule}")]
    Check { path: PathBuf, place: String, found: String, rule: String },
}

/// A failed check without the path of the file, which the decoders do not know. Its fields are those of
/// [`Error::Check`].
pub(crate) struct CheckFailure {
    place: String,
    found: String,
    rule: String,
}

/// Returns a failed check of the value `found` at `place`.
pub(crate) fn check_failed<T>(
    place: impl Into<String>, found: impl ToString, rule: impl Into<String>,
) -> Result<T, CheckFailure> {
    Err(CheckFailure { place: place.into(), found: found.to_string(), rule: rule.into() })
}

fn read_text(path: &Path) -> Result<String, Error> {
    let io = |source| Error::Io { path: path.into(), source };
    let length = std::fs::metadata(path).map_err(io)?.len();
    if length > MAX_FILE_BYTES {
        return Err(Error::TooLong { path: path.into(), length });
    }
    std::fs::read_to_string(path).map_err(io)
}

/// Maximum nesting depth of elements. The parsers are recursive, so a deeper file could exhaust their stack.
const MAX_DEPTH: usize = 32;

/// Checks the nesting depth with a parser that is not recursive, before the recursive parsers read the text.
fn check_depth(path: &Path, text: &str) -> Result<(), Error> {
    let mut reader = quick_xml::Reader::from_str(text);
    let mut depth = 0;
    loop {
        let xml_error = |message: String| Error::Xml { path: path.into(), message };
        match reader.read_event().map_err(|error| xml_error(error.to_string()))? {
            quick_xml::events::Event::Start(_) => depth += 1,
            quick_xml::events::Event::End(_) => depth -= 1,
            quick_xml::events::Event::Eof => return Ok(()),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(xml_error(format!("elements more than {MAX_DEPTH} deep")));
        }
    }
}

/// Checks the text against the schema, and that the name of its root element is `root`.
fn check_schema(path: &Path, text: &str, root: &str) -> Result<(), Error> {
    let schema = uppsala::parse(SCHEMA).expect("the shipped schema is XML");
    let validator = uppsala::XsdValidator::from_schema(&schema).expect("the shipped schema is a schema");
    let document =
        uppsala::parse(text).map_err(|error| Error::Xml { path: path.into(), message: error.to_string() })?;
    if let Some(error) = validator.validate(&document).first() {
        let (line, message) = (error.line.unwrap_or(1), error.message.clone());
        return Err(Error::Schema { path: path.into(), line, message });
    }
    let found = document
        .document_element()
        .and_then(|node| document.element(node))
        .map(|element| element.name.local_name.to_string());
    if found.as_deref() != Some(root) {
        let (place, found) = ("root element".to_string(), found.unwrap_or_default());
        return Err(Error::Check { path: path.into(), place, found, rule: format!("expected {root}") });
    }
    Ok(())
}

impl CheckFailure {
    /// The error for the file at `path`.
    fn in_file(self, path: &Path) -> Error {
        let CheckFailure { place, found, rule } = self;
        Error::Check { path: path.into(), place, found, rule }
    }
}

/// Checks the file against the schema and deserializes it. Also returns the text of the file.
fn load_form<Form: serde::de::DeserializeOwned>(path: &Path, root: &str) -> Result<(Form, String), Error> {
    let text = read_text(path)?;
    check_depth(path, &text)?;
    check_schema(path, &text, root)?;
    let form = quick_xml::de::from_str(&text)
        .map_err(|error| Error::Xml { path: path.into(), message: error.to_string() })?;
    Ok((form, text))
}

/// Deserializes the file, then checks and decodes it with `decode`. Also returns the text of the file.
fn load_checked<T, Form: serde::de::DeserializeOwned>(
    path: &Path, root: &str, decode: impl FnOnce(Form) -> Result<T, CheckFailure>,
) -> Result<(T, String), Error> {
    let (form, text) = load_form(path, root)?;
    let decoded = decode(form).map_err(|failure| failure.in_file(path))?;
    Ok((decoded, text))
}

/// Loads the deployment that the file at `path` names. `name` is relative to the folder of that file.
fn load_named_deployment(path: &Path, name: &str) -> Result<(Deployment, String), Error> {
    load_checked(&path.parent().unwrap_or(Path::new("")).join(name), "deployment", deployment::decode)
}

/// Loads and checks a deployment.
pub fn deployment(path: &Path) -> Result<Deployment, Error> {
    load_checked(path, "deployment", deployment::decode).map(|(deployment, _)| deployment)
}

/// Loads a day and the deployment that it names, whose path is relative to the folder of the day's file.
pub fn day(path: &Path) -> Result<(Day, Deployment), Error> {
    let (day, _): (Day, _) = load_checked(path, "day", day::decode)?;
    let (deployment, _) = load_named_deployment(path, &day.deployment)?;
    day.check_against(&deployment).map_err(|failure| failure.in_file(path))?;
    Ok((day, deployment))
}

/// A load and the deployment that it names. The texts of both files are stored with the measured results.
pub struct Loaded {
    pub load: Load,
    pub deployment: Deployment,
    /// Text of the load's file.
    pub text: String,
    /// Text of the deployment's file.
    pub deployment_text: String,
}

/// Loads a load and the deployment that it names, whose path is relative to the folder of the load's file.
pub fn load(path: &Path) -> Result<Loaded, Error> {
    let (load, text): (Load, _) = load_checked(path, "load", load::decode)?;
    let (deployment, deployment_text) = load_named_deployment(path, &load.deployment)?;
    load.check_against(&deployment).map_err(|failure| failure.in_file(path))?;
    Ok(Loaded { load, deployment, text, deployment_text })
}
