//! From `path=value` pairs to the core's settings, names included: one decoder for the bench's first message and
//! for the platform's configuration, whose nested JSON holds the same names and units.

use std::collections::BTreeMap;
use std::str::FromStr;

use quaypath::types::{Band, DedupScope, Plan, Repeat, Settings};
use serde_json::Value;

/// What stays outside the core: the names that bands and plans have for others.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub bands: Vec<String>,
    pub plans: Vec<String>,
}

/// Settings by their path.
#[derive(Clone, Debug, Default)]
pub struct Pairs(BTreeMap<String, String>);

impl Pairs {
    /// From text with one space between pairs.
    pub fn from_text(text: &str) -> Result<Self, String> {
        let mut map = BTreeMap::new();
        for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
            let (path, value) = pair
                .split_once('=')
                .ok_or_else(|| format!("setting '{pair}': no '=' between path and value"))?;
            map.insert(path.to_string(), value.to_string());
        }
        Ok(Pairs(map))
    }

    /// From nested JSON: names are joined by dots, lists of plain values by commas; a list of objects has its
    /// length under `count`.
    pub fn from_json(value: &Value) -> Self {
        let mut pairs = Pairs::default();
        pairs.flatten("", value);
        pairs
    }

    fn flatten(&mut self, path: &str, value: &Value) {
        let under = |leaf: &str| if path.is_empty() { leaf.to_string() } else { format!("{path}.{leaf}") };
        match value {
            Value::Object(fields) => {
                fields.iter().for_each(|(name, value)| self.flatten(&under(name), value));
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(under("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(at, item)| self.flatten(&under(&at.to_string()), item));
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            _ => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }

    pub fn text(&self, path: &str) -> Option<&str> {
        self.0.get(path).map(String::as_str)
    }

    pub fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        match self.text(path) {
            None | Some("-") | Some("") => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("setting {path}: cannot read '{text}'")),
            },
        }
    }

    pub fn required<T: FromStr>(&self, path: &str) -> Result<T, String> {
        self.optional(path)?.ok_or_else(|| format!("setting {path} is missing"))
    }

    pub fn number(&self, path: &str) -> Result<f64, String> {
        let value: f64 = self.optional(path)?.unwrap_or(0.0);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("setting {path}: not a finite number"))
        }
    }

    pub fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), Some("true" | "1"))
    }
}

/// A JSON value without structure, as the wire would write it.
fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

/// The core's settings, and the names of bands and plans. An error names the path.
pub fn core_settings(pairs: &Pairs) -> Result<(Settings, Names), String> {
    let mut names = Names::default();
    let mut bands = Vec::new();
    for at in 0..pairs.required::<usize>("Grades.count")? {
        let path = |leaf: &str| format!("Grades.{at}.{leaf}");
        names.bands.push(pairs.required(&path("Name"))?);
        bands.push(Band {
            due: pairs.required(&path("Objective"))?,
            benefit: pairs.number(&path("Credit"))?,
            repeat: match pairs.required::<String>(&path("Repeat"))?.as_str() {
                "retryable" => Repeat::Repeatable,
                "dedup" => Repeat::Tagged,
                "fragile" => Repeat::OnceOnly,
                other => return Err(format!("setting {}: cannot read '{other}'", path("Repeat"))),
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
    for at in 0..pairs.optional::<usize>("Policies.count")?.unwrap_or(0) {
        let path = |leaf: &str| format!("Policies.{at}.{leaf}");
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
    let look_back = pairs.number("Rules.LookBack")?;
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
        retry_budget: if look_back > 0.0 {
            Some((pairs.number("Rules.ResendRatio")?, pairs.number("Rules.SpareAttempts")?, look_back))
        } else {
            None
        },
    };
    Ok((settings, names))
}
