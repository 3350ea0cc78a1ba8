//! Short days through the real programs, for every test that runs one.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

/// What the ticket shop's clients ask for.
pub const RAIL: &str = r#"<share band="look-up" part="0.6"/><share band="purchase" part="0.3"/><share band="export" part="0.1"/>"#;

pub fn sample(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").canonicalize().unwrap().join(name)
}

/// A day's file in a folder of its own.
pub fn file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("quaypath-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("day.xml");
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs a day; its record and logs go beside its file.
pub fn run(day: &Path, more: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-day"));
    command.arg("run").arg(day).arg("--folder").arg(day.with_file_name("out")).args(more).output().unwrap()
}

/// Runs a day, and reads what it says of itself to machines.
pub fn judged(day: &Path, more: &[&str]) -> (Output, Value) {
    let output = run(day, &[&["--format", "json"], more].concat());
    let text = String::from_utf8_lossy(&output.stdout);
    let read = serde_json::from_str(&text);
    let read =
        read.unwrap_or_else(|error| panic!("{error}: {text}{}", String::from_utf8_lossy(&output.stderr)));
    (output, read)
}
