//! Summary of the communication between the members of a fleet, as observed by the links: time to detect a death, false
//! alarms, traffic and probes.

use std::collections::{BTreeMap, BTreeSet};

use quaypath_record::Event;
use quaypath_rules::fleet::Parameters;
use quaypath_settings::Deployment;
use serde::Serialize;

/// Number of probe periods within which a block is probed again, even if the member on duty fails.
const PROBE_DEADLINE_PERIODS: f64 = 5.0;

/// Parameters by which the rules judge the fleet of a deployment; `None` if the deployment has no fleet. `transit` is the
/// time in seconds that a message may take between two processes.
pub fn rule_parameters(deployment: &Deployment, transit: f64) -> Option<Parameters> {
    let settings = deployment.fleet.as_ref()?;
    Some(Parameters {
        duty_period: settings.probe_every,
        window: settings.window,
        done_within: PROBE_DEADLINE_PERIODS * settings.probe_every,
        done_at_worst: 2.0 * PROBE_DEADLINE_PERIODS * settings.probe_every,
        settle_time: quaypath_fleet::config::convergence_time(settings.period, settings.member.len()),
        max_bytes_per_second: quaypath_fleet::config::max_bytes_per_second(
            settings.period,
            usize::from(settings.helpers),
        ),
        longest_datagram: quaypath_fleet::message::MAX_DATAGRAM_BYTES as u64,
        transit,
    })
}

/// Summary of a fleet; times are in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetReport {
    /// Number of detected deaths, counted once for each member that detects one.
    #[serde(rename = "detected")]
    pub deaths_detected: usize,
    /// Median of the time from the kill to the detection, seconds.
    pub detect_p50: f64,
    /// 99th percentile of the time from the kill to the detection, seconds.
    pub detect_p99: f64,
    /// Number of times that a member declared another dead that was running.
    pub false_deaths: usize,
    /// Number of probes of nodes.
    pub probes: usize,
    /// Longest time between two probes of the same block, seconds.
    #[serde(rename = "longest_break")]
    pub longest_probe_gap: f64,
    /// Datagrams that one process sends per second, on average.
    #[serde(rename = "datagrams_a_second")]
    pub datagrams_per_second: f64,
    /// Bytes that one process sends per second, on average.
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: f64,
    /// Highest rate at which one process sent, bytes per second.
    #[serde(rename = "most_bytes_a_second")]
    pub max_bytes_per_second: f64,
    /// Length of the longest datagram, bytes.
    #[serde(rename = "longest")]
    pub longest_datagram: u64,
}

/// Summarizes events, which are in order of time.
pub fn from_events(events: &[Event]) -> FleetReport {
    let mut report = FleetReport::default();
    let mut killed: BTreeMap<u32, f64> = BTreeMap::new();
    let mut running: BTreeSet<u32> = BTreeSet::new();
    // Whether each member (first) considers another (second) live.
    let mut views: BTreeMap<(u32, u32), bool> = BTreeMap::new();
    let (mut blocks, mut last_probes) = (BTreeMap::new(), BTreeMap::new());
    // The totals are seconds, datagrams and bytes.
    let (mut detection_times, mut totals) = (Vec::new(), (0.0, 0u64, 0u64));
    for event in events {
        match event {
            Event::GatewayStarted { gateway, .. } => {
                running.insert(*gateway);
                killed.remove(gateway);
            }
            Event::GatewayKilled { t, gateway } => {
                running.remove(gateway);
                killed.insert(*gateway, *t);
            }
            Event::MemberView { t, gateway, live, dead, .. } => {
                for (members, is_live) in [(live, true), (dead, false)] {
                    for member in members {
                        let was_live = views.insert((*gateway, *member), is_live);
                        if is_live || was_live == Some(false) {
                            continue;
                        }
                        match killed.get(member) {
                            Some(killed_at) => detection_times.push(t - killed_at),
                            None => report.false_deaths += usize::from(running.contains(member)),
                        }
                    }
                }
            }
            Event::NodeStarted { node, block, .. } => drop(blocks.insert(node, *block)),
            Event::NodeProbed { t, node, .. } => {
                report.probes += 1;
                let previous = blocks.get(node).and_then(|block| last_probes.insert(*block, *t));
                report.longest_probe_gap = previous
                    .map_or(report.longest_probe_gap, |previous| report.longest_probe_gap.max(t - previous));
            }
            Event::MemberTraffic { seconds, datagrams, bytes, longest, .. } => {
                totals = (totals.0 + seconds, totals.1 + datagrams, totals.2 + bytes);
                let rate = *bytes as f64 / seconds.max(0.5);
                report.max_bytes_per_second = report.max_bytes_per_second.max(rate);
                report.longest_datagram = report.longest_datagram.max(*longest);
            }
            _ => {}
        }
    }
    detection_times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| {
        let index = (detection_times.len() as f64 * fraction) as usize;
        detection_times.get(index.min(detection_times.len().saturating_sub(1))).copied().unwrap_or(0.0)
    };
    (report.deaths_detected, report.detect_p50, report.detect_p99) =
        (detection_times.len(), quantile(0.5), quantile(0.99));
    let seconds = f64::max(totals.0, 1e-9);
    (report.datagrams_per_second, report.bytes_per_second) =
        (totals.1 as f64 / seconds, totals.2 as f64 / seconds);
    report
}

impl FleetReport {
    /// The summary as one line of text.
    pub fn line(&self) -> String {
        format!(
            "fleet: {} deaths told, p50 {:.1} s, p99 {:.1} s; {} false; {} probes; a process sends {:.1} datagrams, {:.0} \
             bytes a second, {:.0} at most, {} in one",
            self.deaths_detected,
            self.detect_p50,
            self.detect_p99,
            self.false_deaths,
            self.probes,
            self.datagrams_per_second,
            self.bytes_per_second,
            self.max_bytes_per_second,
            self.longest_datagram
        )
    }
}
