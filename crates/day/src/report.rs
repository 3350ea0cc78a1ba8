//! The verdict on a record, and one table of it.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use comfy_table::{presets, CellAlignment, Table};
use hdrhistogram::Histogram;
use quaypath_record::{Event, TransactionEnd};
use quaypath_rules::{fleet, judge, Breach};
use quaypath_settings::Deployment;
use serde::Serialize;

use crate::fleet_report::{self, FleetReport};
use crate::sharing_report::{self, SharingReport};

/// Counts of a band or a plan, all from the clients' and targets' side of the sockets.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    pub name: String,
    #[serde(rename = "taken")]
    pub transactions: u64,
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    /// Settled after the due time.
    pub late: u64,
    /// Callers that left, and whose gateway died.
    #[serde(rename = "left")]
    pub client_cancelled: u64,
    #[serde(rename = "cut")]
    pub connection_lost: u64,
    pub shots: u64,
    #[serde(rename = "further")]
    pub further_shots: u64,
    /// Milliseconds to a settled answer.
    pub p50: f64,
    pub p99: f64,
}

#[derive(Debug, Serialize)]
pub struct Report {
    pub bands: Vec<Row>,
    pub plans: Vec<Row>,
    pub all: Row,
    pub breaches: Vec<Breach>,
    /// Breaches of the fleet's promises, and what its members told each other, where initiators talk.
    #[serde(rename = "promises")]
    pub fleet_breaches: Vec<fleet::Breach>,
    #[serde(rename = "told")]
    pub fleet: Option<FleetReport>,
    #[serde(rename = "shares")]
    pub sharing: SharingReport,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds in order")
}

struct Sum {
    row: Row,
    latency: Histogram<u64>,
}

impl Sum {
    fn new(name: &str) -> Self {
        Sum { row: Row { name: name.into(), ..Row::default() }, latency: histogram() }
    }

    fn done(mut self) -> Row {
        let at = |part| self.latency.value_at_quantile(part) as f64 / 1e3;
        (self.row.p50, self.row.p99) = (at(0.5), at(0.99));
        self.row
    }
}

/// What one event adds to every sum that it belongs to.
type Count = Box<dyn Fn(&mut Sum)>;

/// Judges events in order of time, and counts them.
pub fn from_events(deployment: &Deployment, transit: f64, events: &[Event]) -> Report {
    let mut book = deployment.rule_parameters.clone();
    book.transit = transit;
    let mut bands: Vec<Sum> = deployment.band_names.iter().map(|name| Sum::new(name)).collect();
    let mut plans: Vec<Sum> = deployment.plan_names.iter().map(|name| Sum::new(name)).collect();
    let mut all = Sum::new("all");
    let mut asked: HashMap<u64, (f64, usize, usize)> = HashMap::new();
    let mut shots: HashMap<u64, u64> = HashMap::new();
    for event in events {
        let (mark, act): (u64, Count) = match event {
            Event::CommandSent { t, mark, volume, band, .. } => {
                let plan = deployment.volumes.get(volume).map_or(0, |volume| volume.plan);
                asked.insert(*mark, (*t, *band, plan));
                (*mark, Box::new(|sum| sum.row.transactions += 1))
            }
            Event::FinalAnswer { t, mark, end, .. } => {
                let Some((from, band, _)) = asked.get(mark).copied() else { continue };
                let (took, due) = (t - from, deployment.core.bands[band].due);
                let end = *end;
                let count = move |sum: &mut Sum| match end {
                    TransactionEnd::Settled => {
                        sum.row.settled += 1;
                        sum.row.late += u64::from(took > due);
                        let _ = sum.latency.record((took * 1e6) as u64);
                    }
                    TransactionEnd::Declined => sum.row.declined += 1,
                    TransactionEnd::Scrapped => sum.row.scrapped += 1,
                };
                (*mark, Box::new(count))
            }
            Event::ClientCancelled { mark, .. } => (*mark, Box::new(|sum| sum.row.client_cancelled += 1)),
            Event::ClientConnectionLost { mark, .. } => (*mark, Box::new(|sum| sum.row.connection_lost += 1)),
            Event::ShotArrived { mark, .. } => {
                let count = shots.entry(*mark).or_default();
                *count += 1;
                let further = u64::from(*count > 1);
                (
                    *mark,
                    Box::new(move |sum| {
                        sum.row.shots += 1;
                        sum.row.further_shots += further;
                    }),
                )
            }
            _ => continue,
        };
        let Some((_, band, plan)) = asked.get(&mark).copied() else { continue };
        act(&mut bands[band]);
        act(&mut plans[plan]);
        act(&mut all);
    }
    Report {
        bands: bands.into_iter().map(Sum::done).collect(),
        plans: plans.into_iter().map(Sum::done).collect(),
        all: all.done(),
        breaches: judge(&book, events),
        fleet_breaches: fleet_report::rule_parameters(deployment, transit)
            .map_or(Vec::new(), |book| fleet::judge(&book, events)),
        fleet: deployment.fleet.as_ref().map(|_| fleet_report::from_events(events)),
        sharing: sharing_report::from_events(deployment, events),
    }
}

/// Reads records and reports on them.
pub fn from_files(
    deployment: &Deployment, transit: f64, paths: &[PathBuf],
) -> Result<Report, quaypath_record::Error> {
    Ok(from_events(deployment, transit, &quaypath_record::read(paths)?))
}

impl Report {
    pub fn rules_kept(&self) -> bool {
        self.breaches.is_empty() && self.fleet_breaches.is_empty()
    }

    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_HORIZONTAL_ONLY).set_header([
            "", "taken", "settled", "declined", "scrapped", "late", "left", "cut", "shots", "further",
            "p50 ms", "p99 ms",
        ]);
        let groups = [("band", &self.bands), ("plan", &self.plans)];
        let named = groups.iter().flat_map(|(kind, rows)| rows.iter().map(move |row| (*kind, row)));
        for (kind, row) in named.chain([("", &self.all)]) {
            let counts = [
                row.transactions,
                row.settled,
                row.declined,
                row.scrapped,
                row.late,
                row.client_cancelled,
                row.connection_lost,
            ];
            let mut cells = vec![format!("{kind} {}", row.name).trim().to_string()];
            cells.extend(counts.iter().map(u64::to_string));
            cells.extend([row.shots.to_string(), row.further_shots.to_string()]);
            cells.extend([format!("{:.1}", row.p50), format!("{:.1}", row.p99)]);
            table.add_row(cells);
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        table.to_string()
    }

    /// One line on the rules, and the first breaches of each.
    pub fn verdict(&self) -> String {
        if self.rules_kept() {
            return "rules kept".into();
        }
        let mut by_rule: BTreeMap<u8, Vec<&Breach>> = BTreeMap::new();
        self.breaches.iter().for_each(|breach| by_rule.entry(breach.rule as u8).or_default().push(breach));
        let mut text = String::new();
        for (rule, breaches) in &by_rule {
            text += &format!("rule {rule} broken {} times\n", breaches.len());
            breaches.iter().take(3).for_each(|breach| text += &format!("  {breach}\n"));
        }
        let mut broken: Vec<String> = by_rule.keys().map(|rule| format!("rule {rule}")).collect();
        for promise in fleet::Promise::ALL {
            let breaches: Vec<_> = self.fleet_breaches.iter().filter(|one| one.promise == promise).collect();
            if breaches.is_empty() {
                continue;
            }
            text += &format!("promise {} broken {} times\n", promise.name(), breaches.len());
            breaches.iter().take(3).for_each(|breach| text += &format!("  {breach}\n"));
            broken.push(format!("promise {}", promise.name()));
        }
        text + &format!("broken: {}", broken.join(", "))
    }
}
