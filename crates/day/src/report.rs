//! Judges the record of a day and prints it as a table.

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

/// Counts of one band or plan, all observed at the clients and nodes rather than reported by the gateways.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Row {
    /// Name of the band or plan, or `all`.
    pub name: String,
    /// Transactions that clients sent.
    #[serde(rename = "taken")]
    pub transactions: u64,
    pub settled: u64,
    pub declined: u64,
    pub scrapped: u64,
    /// Transactions settled after the due time.
    pub late: u64,
    /// Transactions that the client cancelled.
    #[serde(rename = "left")]
    pub client_cancelled: u64,
    /// Transactions whose client lost its connection to the gateway.
    #[serde(rename = "cut")]
    pub connection_lost: u64,
    /// Shots that arrived at nodes.
    pub shots: u64,
    /// Shots after the first of their transaction.
    #[serde(rename = "further")]
    pub further_shots: u64,
    /// Median of the time to a settled answer, milliseconds.
    pub p50: f64,
    /// 99th percentile of the time to a settled answer, milliseconds.
    pub p99: f64,
}

/// Result of a day.
#[derive(Debug, Serialize)]
pub struct Report {
    /// One row for each band.
    pub bands: Vec<Row>,
    /// One row for each plan.
    pub plans: Vec<Row>,
    /// Counts of all transactions together.
    pub all: Row,
    /// Breaches of the rules.
    pub breaches: Vec<Breach>,
    /// Breaches of the promises of the fleet; empty if the deployment has no fleet.
    #[serde(rename = "promises")]
    pub fleet_breaches: Vec<fleet::Breach>,
    /// Summary of the communication between the members; `None` if the deployment has no fleet.
    #[serde(rename = "told")]
    pub fleet_summary: Option<FleetReport>,
    /// Summary of how volumes shared limits and cold nodes.
    #[serde(rename = "shares")]
    pub sharing_summary: SharingReport,
}

fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).expect("bounds in order")
}

/// Row under construction, with the latencies that its percentiles are computed from.
struct RowBuilder {
    row: Row,
    /// Time to a settled answer, microseconds.
    latency: Histogram<u64>,
}

impl RowBuilder {
    fn new(name: &str) -> Self {
        RowBuilder { row: Row { name: name.into(), ..Row::default() }, latency: latency_histogram() }
    }

    fn finish(mut self) -> Row {
        let quantile = |fraction| self.latency.value_at_quantile(fraction) as f64 / 1e3;
        (self.row.p50, self.row.p99) = (quantile(0.5), quantile(0.99));
        self.row
    }
}

/// Adds one event to a row; called for the row of its band, the row of its plan and the row of all.
type AddToRow = Box<dyn Fn(&mut RowBuilder)>;

/// Judges and counts events, which are in order of time. `transit` is the time in seconds that a message may take between
/// two processes.
pub fn from_events(deployment: &Deployment, transit: f64, events: &[Event]) -> Report {
    let mut parameters = deployment.rule_parameters.clone();
    parameters.transit = transit;
    let mut bands: Vec<RowBuilder> = deployment.band_names.iter().map(|name| RowBuilder::new(name)).collect();
    let mut plans: Vec<RowBuilder> = deployment.plan_names.iter().map(|name| RowBuilder::new(name)).collect();
    let mut all = RowBuilder::new("all");
    // By mark: time of the request, band and plan.
    let mut requests: HashMap<u64, (f64, usize, usize)> = HashMap::new();
    // Number of shots by mark.
    let mut shots: HashMap<u64, u64> = HashMap::new();
    for event in events {
        let (mark, add): (u64, AddToRow) = match event {
            Event::CommandSent { t, mark, volume, band, .. } => {
                let plan = deployment.volumes.get(volume).map_or(0, |volume| volume.plan);
                requests.insert(*mark, (*t, *band, plan));
                (*mark, Box::new(|builder| builder.row.transactions += 1))
            }
            Event::FinalAnswer { t, mark, end, .. } => {
                let Some((requested_at, band, _)) = requests.get(mark).copied() else { continue };
                let (elapsed, due) = (t - requested_at, deployment.core.bands[band].due);
                let end = *end;
                let count = move |builder: &mut RowBuilder| match end {
                    TransactionEnd::Settled => {
                        builder.row.settled += 1;
                        builder.row.late += u64::from(elapsed > due);
                        let _ = builder.latency.record((elapsed * 1e6) as u64);
                    }
                    TransactionEnd::Declined => builder.row.declined += 1,
                    TransactionEnd::Scrapped => builder.row.scrapped += 1,
                };
                (*mark, Box::new(count))
            }
            Event::ClientCancelled { mark, .. } => {
                (*mark, Box::new(|builder| builder.row.client_cancelled += 1))
            }
            Event::ClientConnectionLost { mark, .. } => {
                (*mark, Box::new(|builder| builder.row.connection_lost += 1))
            }
            Event::ShotArrived { mark, .. } => {
                let count = shots.entry(*mark).or_default();
                *count += 1;
                let further = u64::from(*count > 1);
                (
                    *mark,
                    Box::new(move |builder| {
                        builder.row.shots += 1;
                        builder.row.further_shots += further;
                    }),
                )
            }
            _ => continue,
        };
        let Some((_, band, plan)) = requests.get(&mark).copied() else { continue };
        add(&mut bands[band]);
        add(&mut plans[plan]);
        add(&mut all);
    }
    Report {
        bands: bands.into_iter().map(RowBuilder::finish).collect(),
        plans: plans.into_iter().map(RowBuilder::finish).collect(),
        all: all.finish(),
        breaches: judge(&parameters, events),
        fleet_breaches: fleet_report::rule_parameters(deployment, transit)
            .map_or(Vec::new(), |parameters| fleet::judge(&parameters, events)),
        fleet_summary: deployment.fleet.as_ref().map(|_| fleet_report::from_events(events)),
        sharing_summary: sharing_report::from_events(deployment, events),
    }
}

/// Reads the records at `paths` and reports on all of them together.
pub fn from_files(
    deployment: &Deployment, transit: f64, paths: &[PathBuf],
) -> Result<Report, quaypath_record::Error> {
    Ok(from_events(deployment, transit, &quaypath_record::read(paths)?))
}

impl Report {
    /// Whether neither a rule nor a promise of the fleet was broken.
    pub fn rules_kept(&self) -> bool {
        self.breaches.is_empty() && self.fleet_breaches.is_empty()
    }

    /// The counts as a table for the terminal.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_HORIZONTAL_ONLY).set_header([
            "", "taken", "settled", "declined", "scrapped", "late", "left", "cut", "shots", "further",
            "p50 ms", "p99 ms",
        ]);
        let groups = [("band", &self.bands), ("plan", &self.plans)];
        let labelled = groups.iter().flat_map(|(kind, rows)| rows.iter().map(move |row| (*kind, row)));
        for (kind, row) in labelled.chain([("", &self.all)]) {
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

    /// Up to three breaches of each broken rule and promise, then one line that names all that were broken.
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
            let breaches: Vec<_> =
                self.fleet_breaches.iter().filter(|breach| breach.promise == promise).collect();
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
