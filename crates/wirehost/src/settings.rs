//! From the `path=value` pairs of the first message to the core's settings, names included.

use std::collections::BTreeMap;
use std::str::FromStr;

use quaypath::types::{Band, Plan, Repeat, Scope, Settings};

/// What stays on this side of the interface: the names that the wire uses for bands and plans.
#[derive(Default)]
pub struct Names {
    pub bands: Vec<String>,
    pub plans: Vec<String>,
}

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl Pairs<'_> {
    fn optional<T: FromStr>(&self, path: &str) -> Result<Option<T>, String> {
        match self.0.get(path) {
            None | Some(&"-") | Some(&"") => Ok(None),
            Some(text) => match text.parse() {
                Ok(value) => Ok(Some(value)),
                Err(_) => Err(format!("setting {path}: cannot read '{text}'")),
            },
        }
    }

    fn needed<T: FromStr>(&self, path: &str) -> Result<T, String> {
        self.optional(path)?.ok_or_else(|| format!("setting {path} is missing"))
    }

    fn number(&self, path: &str) -> Result<f64, String> {
        let value: f64 = self.optional(path)?.unwrap_or(0.0);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(format!("setting {path}: not a finite number"))
        }
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.0.get(path), Some(&"true") | Some(&"1"))
    }
}

pub fn decode(text: &str) -> Result<(Settings, Names), String> {
    let mut map = BTreeMap::new();
    for pair in text.split(' ').filter(|pair| !pair.is_empty() && *pair != "-") {
        let (path, value) =
            pair.split_once('=').ok_or_else(|| format!("setting '{pair}': no '=' between path and value"))?;
        map.insert(path, value);
    }
    let pairs = Pairs(map);
    let mut names = Names::default();
    let mut bands = Vec::new();
    for at in 0..pairs.needed::<usize>("Grades.count")? {
        let path = |leaf: &str| format!("Grades.{at}.{leaf}");
        names.bands.push(pairs.needed(&path("Name"))?);
        bands.push(Band {
            due: pairs.needed(&path("Objective"))?,
            benefit: pairs.number(&path("Credit"))?,
            repeat: match pairs.needed::<String>(&path("Repeat"))?.as_str() {
                "retryable" => Repeat::Repeatable,
                "dedup" => Repeat::Tagged,
                "fragile" => Repeat::OnceOnly,
                other => return Err(format!("setting {}: cannot read '{other}'", path("Repeat"))),
            },
            scope: match pairs.optional::<String>(&path("DedupScope"))?.as_deref() {
                Some("all") => Scope::All,
                Some("zone") => Scope::Zone,
                _ => Scope::Cell,
            },
            window: pairs.number(&path("Window"))?,
            ordered: pairs.flag(&path("KeepOrder")),
        });
    }
    let mut plans = Vec::new();
    for at in 0..pairs.optional::<usize>("Policies.count")?.unwrap_or(0) {
        let path = |leaf: &str| format!("Policies.{at}.{leaf}");
        names.plans.push(pairs.needed(&path("Name"))?);
        plans.push(Plan {
            limit: pairs.number(&path("Cap"))?,
            burst: pairs.number(&path("MostAtOnce"))?,
            reservation: pairs.number(&path("Guaranteed"))?,
            nominal: pairs.number(&path("Nominal"))?,
            weight: pairs.number(&path("Proportion"))?,
            factor: pairs.number(&path("WorthFactor"))?,
        });
    }
    let look_back = pairs.number("Rules.LookBack")?;
    let settings = Settings {
        initiators: pairs.needed("Balancers")?,
        bands,
        plans,
        mean_units: pairs.number("FamilyInfo.MeanUnits")?,
        young_units: pairs.number("FamilyInfo.YoungLimit")?,
        metered: pairs.number("FamilyInfo.Metering")? > 0.0,
        tells_others: pairs.flag("FamilyInfo.CountsOthers"),
        may_cancel: pairs.flag("Ceilings.MayCancel"),
        most_shots: pairs.optional("Ceilings.MaxAttempts")?.unwrap_or(1),
        advises_return: pairs.flag("Ceilings.RetryAfter"),
        longest_return: pairs.number("Ceilings.MaxRetryAfter")?,
        must_ask: pairs.0.get("RegistryMode") == Some(&"on_request"),
        start_capacity: pairs.number("Rules.StartCapacity")?,
        cold_for: pairs.number("Rules.Cold")?,
        fall_multiple: pairs.number("Rules.FallMultiple")?,
        overload_for: pairs.number("Rules.OverloadFor")?,
        key_quiet: pairs.number("Rules.KeyQuiet")?,
        further: if look_back > 0.0 {
            Some((pairs.number("Rules.ResendRatio")?, pairs.number("Rules.SpareAttempts")?, look_back))
        } else {
            None
        },
    };
    Ok((settings, names))
}
