//! What the members of a fleet told each other, as the links saw it: times to detect, false alarms, traffic, probes.

use std::collections::{BTreeMap, BTreeSet};

use quaypath_record::Event;
use quaypath_rules::fleet::Parameters;
use quaypath_settings::Deployment;
use serde::Serialize;

/// A part of the data is probed again within so many periods, whatever becomes of who does it.
const DONE_WITHIN: f64 = 5.0;

/// The figures that a deployment's fleet is judged by; none where initiators do not talk.
pub fn rule_parameters(deployment: &Deployment, transit: f64) -> Option<Parameters> {
    let settings = deployment.fleet.as_ref()?;
    Some(Parameters {
        duty_period: settings.probe_every,
        window: settings.window,
        done_within: DONE_WITHIN * settings.probe_every,
        done_at_worst: 2.0 * DONE_WITHIN * settings.probe_every,
        settle_time: quaypath_fleet::config::convergence_time(settings.period, settings.member.len()),
        max_bytes_per_second: quaypath_fleet::config::max_bytes_per_second(
            settings.period,
            usize::from(settings.helpers),
        ),
        longest_datagram: quaypath_fleet::message::MAX_DATAGRAM_BYTES as u64,
        transit,
    })
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct FleetReport {
    /// Deaths that were told of, by one member each; from the kill, seconds.
    #[serde(rename = "detected")]
    pub deaths_detected: usize,
    pub detect_p50: f64,
    pub detect_p99: f64,
    /// Times that a member told of another's death while that one was up.
    pub false_deaths: usize,
    pub probes: usize,
    /// Longest time between two probes of one part of the data, seconds.
    #[serde(rename = "longest_break")]
    pub longest_probe_gap: f64,
    /// What one process sends, on average and in its busiest second; the longest datagram.
    #[serde(rename = "datagrams_a_second")]
    pub datagrams_per_second: f64,
    #[serde(rename = "bytes_a_second")]
    pub bytes_per_second: f64,
    #[serde(rename = "most_bytes_a_second")]
    pub max_bytes_per_second: f64,
    #[serde(rename = "longest")]
    pub longest_datagram: u64,
}

/// Sums up a record in order of time.
pub fn from_events(events: &[Event]) -> FleetReport {
    let mut report = FleetReport::default();
    let mut killed: BTreeMap<u32, f64> = BTreeMap::new();
    let mut up: BTreeSet<u32> = BTreeSet::new();
    let mut held: BTreeMap<(u32, u32), bool> = BTreeMap::new();
    let (mut blocks, mut probed) = (BTreeMap::new(), BTreeMap::new());
    let (mut detected, mut sums) = (Vec::new(), (0.0, 0u64, 0u64));
    for event in events {
        match event {
            Event::GatewayStarted { gateway, .. } => {
                up.insert(*gateway);
                killed.remove(gateway);
            }
            Event::GatewayKilled { t, gateway } => {
                up.remove(gateway);
                killed.insert(*gateway, *t);
            }
            Event::MemberView { t, gateway, live, dead, .. } => {
                for (others, is) in [(live, true), (dead, false)] {
                    for other in others {
                        let was = held.insert((*gateway, *other), is);
                        if is || was == Some(false) {
                            continue;
                        }
                        match killed.get(other) {
                            Some(at) => detected.push(t - at),
                            None => report.false_deaths += usize::from(up.contains(other)),
                        }
                    }
                }
            }
            Event::NodeStarted { node, block, .. } => drop(blocks.insert(node, *block)),
            Event::NodeProbed { t, node, .. } => {
                report.probes += 1;
                let before = blocks.get(node).and_then(|block| probed.insert(*block, *t));
                report.longest_probe_gap =
                    before.map_or(report.longest_probe_gap, |at| report.longest_probe_gap.max(t - at));
            }
            Event::MemberTraffic { seconds, datagrams, bytes, longest, .. } => {
                sums = (sums.0 + seconds, sums.1 + datagrams, sums.2 + bytes);
                let rate = *bytes as f64 / seconds.max(0.5);
                report.max_bytes_per_second = report.max_bytes_per_second.max(rate);
                report.longest_datagram = report.longest_datagram.max(*longest);
            }
            _ => {}
        }
    }
    detected.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let nth = (detected.len() as f64 * part) as usize;
        detected.get(nth.min(detected.len().saturating_sub(1))).copied().unwrap_or(0.0)
    };
    (report.deaths_detected, report.detect_p50, report.detect_p99) = (detected.len(), at(0.5), at(0.99));
    let seconds = f64::max(sums.0, 1e-9);
    (report.datagrams_per_second, report.bytes_per_second) =
        (sums.1 as f64 / seconds, sums.2 as f64 / seconds);
    report
}

impl FleetReport {
    /// One line for people.
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
