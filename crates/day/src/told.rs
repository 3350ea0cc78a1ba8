//! What the members of a fleet told each other, as the links saw it: times to detect, false alarms, traffic, probes.

use std::collections::{BTreeMap, BTreeSet};

use quaypath_record::Event;
use quaypath_rules::fleet::Parameters;
use quaypath_settings::Deployment;
use serde::Serialize;

/// A part of the data is probed again within so many periods, whatever becomes of who does it.
const DONE_WITHIN: f64 = 5.0;

/// The figures that a deployment's fleet is judged by; none where initiators do not talk.
pub fn book(deployment: &Deployment, transit: f64) -> Option<Parameters> {
    let talk = deployment.fleet.as_ref()?;
    Some(Parameters {
        duty_period: talk.probe_every,
        window: talk.window,
        done_within: DONE_WITHIN * talk.probe_every,
        done_at_worst: 2.0 * DONE_WITHIN * talk.probe_every,
        settle_time: quaypath_fleet::config::convergence_time(talk.period, talk.member.len()),
        max_bytes_per_second: quaypath_fleet::config::max_bytes_per_second(
            talk.period,
            usize::from(talk.helpers),
        ),
        longest_datagram: quaypath_fleet::message::MAX_DATAGRAM_BYTES as u64,
        transit,
    })
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Told {
    /// Deaths that were told of, by one member each; from the kill, seconds.
    pub detected: usize,
    pub detect_p50: f64,
    pub detect_p99: f64,
    /// Times that a member told of another's death while that one was up.
    pub false_deaths: usize,
    pub probes: usize,
    /// Longest time between two probes of one part of the data, seconds.
    pub longest_break: f64,
    /// What one process sends, on average and in its busiest second; the longest datagram.
    pub datagrams_a_second: f64,
    pub bytes_a_second: f64,
    pub most_bytes_a_second: f64,
    pub longest: u64,
}

/// Sums up a record in order of time.
pub fn told(events: &[Event]) -> Told {
    let mut told = Told::default();
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
                            None => told.false_deaths += usize::from(up.contains(other)),
                        }
                    }
                }
            }
            Event::NodeStarted { node, block, .. } => drop(blocks.insert(node, *block)),
            Event::NodeProbed { t, node, .. } => {
                told.probes += 1;
                let before = blocks.get(node).and_then(|block| probed.insert(*block, *t));
                told.longest_break = before.map_or(told.longest_break, |at| told.longest_break.max(t - at));
            }
            Event::MemberTraffic { seconds, datagrams, bytes, longest, .. } => {
                sums = (sums.0 + seconds, sums.1 + datagrams, sums.2 + bytes);
                let rate = *bytes as f64 / seconds.max(0.5);
                told.most_bytes_a_second = told.most_bytes_a_second.max(rate);
                told.longest = told.longest.max(*longest);
            }
            _ => {}
        }
    }
    detected.sort_by(f64::total_cmp);
    let at = |part: f64| {
        let nth = (detected.len() as f64 * part) as usize;
        detected.get(nth.min(detected.len().saturating_sub(1))).copied().unwrap_or(0.0)
    };
    (told.detected, told.detect_p50, told.detect_p99) = (detected.len(), at(0.5), at(0.99));
    let seconds = f64::max(sums.0, 1e-9);
    (told.datagrams_a_second, told.bytes_a_second) = (sums.1 as f64 / seconds, sums.2 as f64 / seconds);
    told
}

impl Told {
    /// One line for people.
    pub fn line(&self) -> String {
        format!(
            "fleet: {} deaths told, p50 {:.1} s, p99 {:.1} s; {} false; {} probes; a process sends {:.1} datagrams, {:.0} \
             bytes a second, {:.0} at most, {} in one",
            self.detected,
            self.detect_p50,
            self.detect_p99,
            self.false_deaths,
            self.probes,
            self.datagrams_a_second,
            self.bytes_a_second,
            self.most_bytes_a_second,
            self.longest
        )
    }
}
