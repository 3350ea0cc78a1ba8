//! Judges the promises of the fleet from what nodes, links and the runner of a test day recorded. It shares no code with
//! the cores.
//!
//! Each promise states what a fault excuses: a fault of a process or a link excuses wrong views of that process until
//! [`Parameters::settle_time`] after its end, and a cut lets members on both sides do one duty until
//! [`Parameters::window`] after it has ended.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quaypath_record::Event;
use serde::Serialize;

/// Parameters of the promises. Times are in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// Time from one run of a duty to its next.
    pub duty_period: f64,
    /// How long two members may both do one duty.
    pub window: f64,
    /// Each duty is done again within this time of the last fault anywhere in the fleet, also if the member that did
    /// it has failed.
    pub done_within: f64,
    /// Each duty is done again within this time, however many faults follow each other.
    pub done_at_worst: f64,
    /// Time after a fault by which members hold correct views of each other.
    pub settle_time: f64,
    /// Most that one process sends, bytes per second.
    pub max_bytes_per_second: f64,
    /// Longest datagram that one process sends, bytes.
    pub longest_datagram: u64,
    /// Largest difference between the times that two programs record for the same moment.
    pub transit: f64,
}

/// The promises of the fleet, in the order of [`Promise::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No two members do one duty for longer than the window.
    OneDoer,
    /// Each duty is done in time.
    Done,
    /// No member that runs and can be reached is held dead for longer than the settle time.
    LiveHeldLive,
    /// No dead member is held alive for longer than the settle time.
    DeadHeldDead,
    /// Of two processes under one gateway number, one stops sending.
    OneName,
    /// A process sends at most its maximum of bytes per second, in datagrams of at most the maximum length.
    Traffic,
}

impl Promise {
    pub const ALL: [Promise; 6] = [
        Promise::OneDoer,
        Promise::Done,
        Promise::LiveHeldLive,
        Promise::DeadHeldDead,
        Promise::OneName,
        Promise::Traffic,
    ];

    /// Name of the promise in reports.
    pub fn name(self) -> &'static str {
        match self {
            Promise::OneDoer => "one-doer",
            Promise::Done => "done",
            Promise::LiveHeldLive => "live-held-live",
            Promise::DeadHeldDead => "dead-held-dead",
            Promise::OneName => "one-name",
            Promise::Traffic => "traffic",
        }
    }
}

/// A promise that was broken.
#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub promise: Promise,
    /// Time, seconds on the clock of the record.
    pub t: f64,
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "promise {} at {:.3}: {}", self.promise.name(), self.t, self.description)
    }
}

/// Part of the datagrams that a link may lose while every promise still holds.
const MAX_TOLERATED_LOSS: f64 = 0.35;
/// Delay of a link, in seconds, under which every promise still holds.
const MAX_TOLERATED_DELAY: f64 = 0.1;

/// What is known of the processes under one gateway number.
#[derive(Default)]
struct MemberHistory {
    /// Spans in which a process ran.
    running: Vec<(f64, f64)>,
    /// Spans in which a fault affected it; a start and a kill are spans of zero length.
    faults: Vec<(f64, f64)>,
}

impl MemberHistory {
    fn running_at(&self, t: f64) -> bool {
        self.running.iter().any(|(from, to)| (*from..*to).contains(&t))
    }

    /// The last moment at or before `t` at which a fault affected it.
    fn last_fault(&self, t: f64) -> f64 {
        let begun = self.faults.iter().filter(|(from, _)| *from <= t);
        begun.map(|(_, to)| to.min(t)).fold(f64::NEG_INFINITY, f64::max)
    }
}

#[derive(Default)]
struct History {
    members: BTreeMap<u32, MemberHistory>,
    /// Spans of cuts, with the gateways at both ends.
    cuts: Vec<(f64, f64, BTreeSet<u32>, BTreeSet<u32>)>,
    /// When a second process was started under a gateway's number.
    duplicates: Vec<(f64, u32)>,
    /// The block that each node holds. Probing the nodes of one block is one duty.
    blocks: BTreeMap<String, i64>,
    /// Spans in which a block had a node that could be probed.
    probeable: BTreeMap<i64, Vec<(f64, f64)>>,
    /// Time of each probe of a block, and the gateway that sent it.
    probes: BTreeMap<i64, Vec<(f64, u32)>>,
    end: f64,
}

fn open_span(spans: &mut Vec<(f64, f64)>, t: f64) {
    spans.push((t, f64::INFINITY));
}

/// Closes the span opened last among those still open.
fn close_span(spans: &mut [(f64, f64)], t: f64) {
    spans.iter_mut().rev().filter(|(_, to)| to.is_infinite()).take(1).for_each(|span| span.1 = t);
}

/// Whether a fault of this kind keeps a node from being probed, or from recording the probe.
fn prevents_probes(kind: &str) -> bool {
    matches!(kind, "refused" | "partition" | "pauses" | "resets" | "rogue" | "same-address")
}

fn collect_history(events: &[Event]) -> History {
    let mut history = History { end: events.last().map_or(0.0, Event::time), ..History::default() };
    let mut open_cuts: Vec<(String, Vec<u32>, Vec<u32>, f64)> = Vec::new();
    for event in events {
        match event {
            Event::GatewayStarted { t, gateway } => {
                let member = history.members.entry(*gateway).or_default();
                open_span(&mut member.running, *t);
                member.faults.push((*t, *t));
            }
            Event::GatewayKilled { t, gateway } => {
                let member = history.members.entry(*gateway).or_default();
                close_span(&mut member.running, *t);
                close_span(&mut member.faults, *t);
                member.faults.push((*t, *t));
            }
            Event::Fault { t, kind, on, begins } => {
                let gateway = on.parse::<u32>().ok();
                if let Some(number) = gateway.filter(|_| matches!(&kind[..], "stall" | "twins" | "clock")) {
                    let member = history.members.entry(number).or_default();
                    if *begins {
                        open_span(&mut member.faults, *t);
                    } else {
                        close_span(&mut member.faults, *t);
                    }
                    if kind == "twins" && *begins {
                        history.duplicates.push((*t, number));
                    }
                }
                if let Some(block) = history.blocks.get(on).copied().filter(|_| prevents_probes(kind)) {
                    let probeable = history.probeable.entry(block).or_default();
                    if *begins {
                        close_span(probeable, *t);
                    } else {
                        open_span(probeable, *t);
                    }
                }
            }
            Event::LinkFault { t, kind, from, to, size, begins } => {
                let heavy = match &kind[..] {
                    "cut" | "one-way" | "hole" => true,
                    "lose" => *size > MAX_TOLERATED_LOSS,
                    "delay" => *size > MAX_TOLERATED_DELAY,
                    _ => false,
                };
                if !heavy {
                    continue;
                }
                if *begins {
                    open_cuts.push((kind.clone(), from.clone(), to.clone(), *t));
                } else if let Some(cut_index) =
                    open_cuts.iter().position(|cut| (&cut.0, &cut.1, &cut.2) == (kind, from, to))
                {
                    let (_, from, to, since) = open_cuts.remove(cut_index);
                    let ends = (from.into_iter().collect(), to.into_iter().collect());
                    history.cuts.push((since, *t, ends.0, ends.1));
                }
            }
            Event::NodeStarted { t, node, block, .. } => {
                history.blocks.insert(node.clone(), *block);
                open_span(history.probeable.entry(*block).or_default(), *t);
            }
            Event::NodeStopped { t, node } => {
                let block = history.blocks.get(node).copied();
                if let Some(probeable) = block.and_then(|block| history.probeable.get_mut(&block)) {
                    close_span(probeable, *t);
                }
            }
            Event::NodeProbed { t, node, gateway } => {
                if let Some(block) = history.blocks.get(node) {
                    history.probes.entry(*block).or_default().push((*t, *gateway));
                }
            }
            _ => {}
        }
    }
    for (_, from, to, since) in open_cuts {
        history.cuts.push((since, f64::INFINITY, from.into_iter().collect(), to.into_iter().collect()));
    }
    history
}

impl History {
    /// The last moment at or before `t` at which a cut affected either of two members, or another fault affected one of
    /// them.
    fn last_fault_near(&self, first: u32, second: u32, t: f64) -> f64 {
        let own = [first, second]
            .map(|number| self.members.get(&number).map_or(0.0, |member| member.last_fault(t)));
        let near = |ends: &BTreeSet<u32>| ends.contains(&first) || ends.contains(&second);
        let cuts = self
            .cuts
            .iter()
            .filter(|(cut_from, _, from_ends, to_ends)| *cut_from <= t && (near(from_ends) || near(to_ends)));
        cuts.map(|(_, cut_to, ..)| cut_to.min(t)).chain(own).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The last moment from `from` to `to` at which a fault of a process or a link began or ended, anywhere in the
    /// fleet.
    fn last_change_between(&self, from: f64, to: f64) -> f64 {
        let faults = self.members.values().flat_map(|member| member.faults.iter().copied());
        let cuts = self.cuts.iter().map(|(cut_from, cut_to, ..)| (*cut_from, *cut_to));
        let moments = faults.chain(cuts).flat_map(|(begun, ended)| [begun, ended]);
        moments.filter(|t| (from..=to).contains(t)).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The moment from which no cut that began by `to` excuses two members that do one duty.
    fn excused_until(&self, to: f64, window: f64) -> f64 {
        let begun = self.cuts.iter().filter(|(from, ..)| *from <= to);
        begun.map(|(_, healed_at, ..)| healed_at + window).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Spans in which two gateways both did a duty. Probes of one gateway at most `gap` seconds apart are one span.
fn overlaps(probes: &[(f64, u32)], gap: f64) -> Vec<(u32, u32, f64, f64)> {
    let mut spans: Vec<(u32, f64, f64)> = Vec::new();
    for (t, prober) in probes {
        match spans.iter_mut().rev().find(|(known, ..)| known == prober).filter(|(_, _, to)| t - to <= gap) {
            Some(span) => span.2 = *t,
            None => spans.push((*prober, *t, *t)),
        }
    }
    let mut found = Vec::new();
    for (index, (first, from, to)) in spans.iter().enumerate() {
        for (second, since, until) in spans[index + 1..].iter().filter(|(second, ..)| second != first) {
            let (from, to) = (from.max(*since), to.min(*until));
            if to > from {
                found.push((*first, *second, from, to));
            }
        }
    }
    found
}

/// Returns every breach of the fleet's promises in a record, whose events come in order of time.
pub fn judge(parameters: &Parameters, events: &[Event]) -> Vec<Breach> {
    let history = collect_history(events);
    let mut breaches = Vec::new();
    judge_duties(parameters, &history, &mut breaches);
    judge_views(parameters, &history, events, &mut breaches);
    judge_traffic(parameters, &history, events, &mut breaches);
    breaches.sort_by(|left, right| left.t.total_cmp(&right.t));
    breaches
}

fn judge_duties(parameters: &Parameters, history: &History, breaches: &mut Vec<Breach>) {
    let starts = history.members.values().filter_map(|member| member.running.first()).map(|(from, _)| *from);
    let first_start = starts.fold(f64::INFINITY, f64::min);
    for (block, probeable) in &history.probeable {
        let probes = history.probes.get(block).map_or(&[][..], |probes| probes);
        for (first, second, from, to) in overlaps(probes, 2.5 * parameters.duty_period) {
            let from = from.max(history.excused_until(to, parameters.window));
            if to - from > parameters.window + parameters.transit {
                let description =
                    format!("block {block} was probed by both {first} and {second} for {:.1} s", to - from);
                breaches.push(Breach { promise: Promise::OneDoer, t: from, description });
            }
        }
        // Judges each span in which a gateway could probe the block, from the first gateway's start on.
        for (from, to) in probeable {
            let (from, to) = (from.max(first_start), to.min(history.end));
            let inside = probes.iter().map(|(t, _)| *t).filter(|t| (from..to).contains(t));
            let mut previous = from;
            for t in inside.chain([to]) {
                let quiet = t - previous.max(history.last_change_between(previous, t));
                if quiet > parameters.done_within + parameters.transit
                    || t - previous > parameters.done_at_worst + parameters.transit
                {
                    let description = format!(
                        "block {block} was not probed for {:.1} s, the last {quiet:.1} s without a fault",
                        t - previous
                    );
                    breaches.push(Breach { promise: Promise::Done, t: previous, description });
                }
                previous = t;
            }
        }
    }
}

fn judge_views(parameters: &Parameters, history: &History, events: &[Event], breaches: &mut Vec<Breach>) {
    let settled = parameters.settle_time + parameters.transit;
    // Since when each process holds another member dead. A false report of a death that is withdrawn in time is no
    // breach.
    let mut dead_since: BTreeMap<(u32, u32, u32), f64> = BTreeMap::new();
    for event in events {
        let Event::MemberView { t, gateway, process, live, dead, .. } = event else { continue };
        for other in live {
            dead_since.remove(&(*gateway, *process, *other));
        }
        for (held_live, others) in [(true, live), (false, dead)] {
            for other in others.iter().filter(|other| *other != gateway) {
                let running = history.members.get(other).is_some_and(|member| member.running_at(*t));
                let since = match held_live {
                    true => f64::NEG_INFINITY,
                    false => *dead_since.entry((*gateway, *process, *other)).or_insert(*t),
                };
                let elapsed = t - history.last_fault_near(*gateway, *other, *t).max(since);
                if running == held_live || elapsed <= settled {
                    continue;
                }
                let promise = if running { Promise::LiveHeldLive } else { Promise::DeadHeldDead };
                let status = if held_live { "alive" } else { "dead" };
                let description =
                    format!("{gateway} held {other} {status} {elapsed:.1} s after the last fault near them");
                breaches.push(Breach { promise, t: *t, description });
            }
        }
    }
}

fn judge_traffic(parameters: &Parameters, history: &History, events: &[Event], breaches: &mut Vec<Breach>) {
    let mut senders: BTreeMap<u32, BTreeSet<u32>> = BTreeMap::new();
    for event in events {
        let Event::MemberTraffic { t, gateway, process, seconds, bytes, longest, .. } = event else {
            continue;
        };
        let rate = *bytes as f64 / seconds.max(0.5);
        if rate > parameters.max_bytes_per_second || *longest > parameters.longest_datagram {
            let description =
                format!("{gateway} sent {rate:.0} bytes per second, its longest datagram {longest} bytes");
            breaches.push(Breach { promise: Promise::Traffic, t: *t, description });
        }
        // A second process under one number may send until it has noticed the first, or the first has noticed it.
        let duplicate = history.duplicates.iter().rfind(|(from, number)| number == gateway && *from <= *t);
        let Some((from, _)) = duplicate.filter(|(from, _)| t - seconds - from > parameters.settle_time)
        else {
            continue;
        };
        let sending = senders.entry(*gateway).or_default();
        sending.insert(*process);
        let restarted = history
            .members
            .get(gateway)
            .is_some_and(|member| member.running.iter().any(|(started_at, _)| started_at > from));
        if sending.len() > 1 && !restarted {
            let description = format!("{} processes send as {gateway}", sending.len());
            breaches.push(Breach { promise: Promise::OneName, t: *t, description });
        }
    }
}
