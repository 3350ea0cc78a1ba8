//! Test helpers that run a short day (a scripted run of a whole deployment) with the real programs.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use serde_json::Value;

/// Traffic shares for the sample deployments `rail*.xml`.
pub const RAIL_TRAFFIC: &str = r#"<share band="look-up" part="0.6"/><share band="purchase" part="0.3"/><share band="export" part="0.1"/>"#;

/// Path of a sample deployment.
pub fn sample_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/samples").canonicalize().unwrap().join(name)
}

/// Writes a day's file into a new folder.
pub fn write_day_file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("quaypath-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("day.xml");
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs a day. Its record and logs are written to the folder `out` beside its file.
pub fn run_day(day: &Path, options: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_quaypath-day"));
    command.arg("run").arg(day).arg("--folder").arg(day.with_file_name("out")).args(options).output().unwrap()
}

/// Runs a day with JSON output, and parses it.
pub fn run_day_json(day: &Path, options: &[&str]) -> (Output, Value) {
    let output = run_day(day, &[&["--format", "json"], options].concat());
    let text = String::from_utf8_lossy(&output.stdout);
    let parsed = serde_json::from_str(&text);
    let result =
        parsed.unwrap_or_else(|error| panic!("{error}: {text}{}", String::from_utf8_lossy(&output.stderr)));
    (output, result)
}
