//! Decodes `path=value` pairs into the settings of the core. The first message of the bench protocol contains such
//! pairs; the platform's configuration contains the same names and units as nested JSON, which is flattened to pairs.

use std::collections::BTreeMap;
use std::str::FromStr;

use quaypath::types::{Band, DedupScope, Plan, Repeat, Settings};
use serde_json::Value;

/// Names of the bands and plans, in the order of the core's settings. The core itself knows only their indexes.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub bands: Vec<String>,
    pub plans: Vec<String>,
}

/// Values as text by path; the names in a path are joined by dots.
#[derive(Clone, Debug, Default)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// Reads pairs that are separated by spaces. A pair `-` is ignored.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut values = BTreeMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| format!("setting '{pair}': no '=' between path and value"))?;
            values.insert(path.to_string(), value.to_string());
        }
        Ok(Pairs(values))
    }

    /// Flattens nested JSON. The items of a list of scalars are joined by commas. In a list of objects each item has
    /// its index, from 0, as its name, and the length of the list is stored under the name `count`.
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = Pairs::default();
        pairs.flatten("", value);
        pairs
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let child_path =
            |leaf: &str| if path.is_empty() { leaf.to_string() } else { format!("{path}.{leaf}") };
        match value {
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&child_path(name), value));
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child_path("count"), items.len().to_string());
                items
                    .iter()
                    .enumerate()
                    .for_each(|(index, item)| self.flatten(&child_path(&index.to_string()), item));
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(scalar_text).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            _ => {
                self.0.insert(path.to_string(), scalar_text(value));
            }
        }
    }

    /// The value as it was received.
    pub fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str)
    }

    /// The parsed value, or `None` if it is absent, empty or `-`.
    pub fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        match self.text(path) {
            None | Some("-") | Some("") => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("setting {path}: cannot read '{text}'")),
            },
        }
    }

    /// The parsed value; an error if it is absent, empty or `-`.
    pub fn required<T: FromStr>(&self, path: &str) -> Result<T, String> {
        self.optional(path)?.ok_or_else(|| format!("setting {path} is missing"))
    }

    /// The value as a finite number, or 0 if it is absent.
    pub fn number(&self, path: &str) -> Result<f64, String> {
        let value: f64 = self.optional(path)?.unwrap_or(0.0);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("setting {path}: not a finite number"))
        }
    }

    /// Whether the value is `true` or `1`.
    pub fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}

/// Text of a JSON scalar, as the bench protocol writes it.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        scalar => scalar.to_string(),
    }
}

/// Decodes the core's settings and the names of the bands and plans. An error names the path of the setting.
pub fn core_settings(pairs: &Pairs) -> Result<(Settings, Names), String> {
    let mut names = Names::default();
    let mut bands = Vec::new();
    for index in 0..pairs.required::<usize>("Grades.count")? {
        let path = |leaf: &str| format!("Grades.{index}.{leaf}");
        names.bands.push(pairs.required(&path("Name"))?);
        bands.push(Band {
            due: pairs.required(&path("Objective"))?,
            benefit: pairs.number(&path("Credit"))?,
            repeat: match pairs.required::<String>(&path("Repeat"))?.as_str() {
                "retryable" => Repeat::Repeatable,
                "dedup" => Repeat::Tagged,
                "fragile" => Repeat::OnceOnly,
                unknown => return Err(format!("setting {}: cannot read '{unknown}'", path("Repeat"))),
            },
            dedup_scope: match pairs.optional::<String>(&path("DedupScope"))?.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                _ => DedupScope::Cell,
            },
            dedup_window: pairs.number(&path("Window"))?,
            ordered: pairs.flag(&path("KeepOrder")),
        });
    }
    let mut plans = Vec::new();
    for index in 0..pairs.optional::<usize>("Policies.count")?.unwrap_or(0) {
        let path = |leaf: &str| format!("Policies.{index}.{leaf}");
        names.plans.push(pairs.required(&path("Name"))?);
        plans.push(Plan {
            limit: pairs.number(&path("Cap"))?,
            burst: pairs.number(&path("MostAtOnce"))?,
            reservation: pairs.number(&path("Guaranteed"))?,
            nominal: pairs.number(&path("Nominal"))?,
            weight: pairs.number(&path("Proportion"))?,
            benefit_factor: pairs.number(&path("WorthFactor"))?,
        });
    }
    let retry_window = pairs.number("Rules.LookBack")?;
    let settings = Settings {
        initiators: pairs.required("Balancers")?,
        bands,
        plans,
        mean_units: pairs.number("FamilyInfo.MeanUnits")?,
        cold_start_units: pairs.number("FamilyInfo.YoungLimit")?,
        reports_usage: pairs.number("FamilyInfo.Metering")? > 0.0,
        reports_others_usage: pairs.flag("FamilyInfo.CountsOthers"),
        may_cancel: pairs.flag("Ceilings.MayCancel"),
        max_shots: pairs.optional("Ceilings.MaxAttempts")?.unwrap_or(1),
        advises_retry: pairs.flag("Ceilings.RetryAfter"),
        max_retry_after: pairs.number("Ceilings.MaxRetryAfter")?,
        must_subscribe: pairs.text("RegistryMode") == Some("on_request"),
        drain_grace: pairs.number("Rules.DrainGrace")?,
        start_capacity: pairs.number("Rules.StartCapacity")?,
        warm_up: pairs.number("Rules.Cold")?,
        overload_multiple: pairs.number("Rules.FallMultiple")?,
        overload_window: pairs.number("Rules.OverloadFor")?,
        key_quiet_period: pairs.number("Rules.KeyQuiet")?,
        earlier_loans_hold: 0.0,
        retry_budget: if retry_window > 0.0 {
            Some((pairs.number("Rules.ResendRatio")?, pairs.number("Rules.SpareAttempts")?, retry_window))
        } else {
            None
        },
    };
    Ok((settings, names))
}
