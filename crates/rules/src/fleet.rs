//! The promises of the fleet, judged from what targets, links and the day's runner saw. Shares no code with the cores.
//!
//! What a fault excuses is told in each promise: a fault that touches a process or a link excuses what is held of it
//! until [`Parameters::settle_time`] after its end, and a cut lets both sides do a duty until [`Parameters::window`] after it heals.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use quaypath_record::Event;
use serde::Serialize;

/// The figures of the promises. Times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Parameters {
    /// How often each duty is to be done.
    pub duty_period: f64,
    /// How long two may both do a duty.
    pub window: f64,
    /// Within this of the last fault anywhere in the fleet each duty is done again, whatever became of who did it.
    pub done_within: f64,
    /// In any case within this, however many faults follow each other.
    pub done_at_worst: f64,
    /// After this, what members hold of each other is so.
    pub settle_time: f64,
    /// Most that a process sends, bytes a second, and its longest datagram.
    pub max_bytes_per_second: f64,
    pub longest_datagram: u64,
    /// How far apart two programs' times of one moment may lie.
    pub transit: f64,
}

/// What the fleet promises, in the order of [`Promise::ALL`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Promise {
    /// No duty is done by two for longer than the window.
    OneDoer,
    /// Each duty is done in time.
    Done,
    /// Nobody who lives and can be reached is held dead for longer than the bound.
    LiveHeldLive,
    /// Nobody who is dead is held alive for longer than the bound.
    DeadHeldDead,
    /// Of two processes under one number one falls silent.
    OneName,
    /// A process sends no more than its bound, in no longer datagrams.
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

#[derive(Clone, Debug, Serialize)]
pub struct Breach {
    pub promise: Promise,
    pub t: f64,
    #[serde(rename = "what")]
    pub description: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "promise {} at {:.3}: {}", self.promise.name(), self.t, self.description)
    }
}

/// Loss and delay of links up to which every promise holds while they last.
const BORNE_LOSS: f64 = 0.35;
const BORNE_DELAY: f64 = 0.1;

#[derive(Default)]
struct Life {
    /// Spans in which a process of this number ran.
    up: Vec<(f64, f64)>,
    /// Spans in which a fault touched it; a start and a kill are spans of no length.
    touched: Vec<(f64, f64)>,
}

impl Life {
    fn up_at(&self, t: f64) -> bool {
        self.up.iter().any(|(from, to)| (*from..*to).contains(&t))
    }

    /// The last moment at or before `t` at which something touched it.
    fn touched_by(&self, t: f64) -> f64 {
        let begun = self.touched.iter().filter(|(from, _)| *from <= t);
        begun.map(|(_, to)| to.min(t)).fold(f64::NEG_INFINITY, f64::max)
    }
}

#[derive(Default)]
struct Facts {
    lives: BTreeMap<u32, Life>,
    /// Spans of cuts, with both ends.
    cuts: Vec<(f64, f64, BTreeSet<u32>, BTreeSet<u32>)>,
    twins: Vec<(f64, u32)>,
    /// Duty by duty: the blocks of nodes, when each had a node that could be asked, and who asked.
    blocks: BTreeMap<String, i64>,
    able: BTreeMap<i64, Vec<(f64, f64)>>,
    asked: BTreeMap<i64, Vec<(f64, u32)>>,
    end: f64,
}

fn begin(spans: &mut Vec<(f64, f64)>, t: f64) {
    spans.push((t, f64::INFINITY));
}

fn end(spans: &mut [(f64, f64)], t: f64) {
    spans.iter_mut().rev().filter(|(_, to)| to.is_infinite()).take(1).for_each(|span| span.1 = t);
}

/// Faults that keep a target from being asked, or from noticing.
fn disables(kind: &str) -> bool {
    matches!(kind, "refused" | "partition" | "pauses" | "resets" | "rogue" | "same-address")
}

fn facts(events: &[Event]) -> Facts {
    let mut facts = Facts { end: events.last().map_or(0.0, Event::time), ..Facts::default() };
    let mut links: Vec<(String, Vec<u32>, Vec<u32>, f64)> = Vec::new();
    for event in events {
        match event {
            Event::GatewayStarted { t, gateway } => {
                let life = facts.lives.entry(*gateway).or_default();
                begin(&mut life.up, *t);
                life.touched.push((*t, *t));
            }
            Event::GatewayKilled { t, gateway } => {
                let life = facts.lives.entry(*gateway).or_default();
                end(&mut life.up, *t);
                end(&mut life.touched, *t);
                life.touched.push((*t, *t));
            }
            Event::Fault { t, kind, on, begins } => {
                let gateway = on.parse::<u32>().ok();
                if let Some(number) = gateway.filter(|_| matches!(&kind[..], "stall" | "twins" | "clock")) {
                    let life = facts.lives.entry(number).or_default();
                    if *begins {
                        begin(&mut life.touched, *t);
                    } else {
                        end(&mut life.touched, *t);
                    }
                    if kind == "twins" && *begins {
                        facts.twins.push((*t, number));
                    }
                }
                if let Some(block) = facts.blocks.get(on).copied().filter(|_| disables(kind)) {
                    let able = facts.able.entry(block).or_default();
                    if *begins {
                        end(able, *t);
                    } else {
                        begin(able, *t);
                    }
                }
            }
            Event::LinkFault { t, kind, from, to, size, begins } => {
                let heavy = match &kind[..] {
                    "cut" | "one-way" | "hole" => true,
                    "lose" => *size > BORNE_LOSS,
                    "delay" => *size > BORNE_DELAY,
                    _ => false,
                };
                if !heavy {
                    continue;
                }
                if *begins {
                    links.push((kind.clone(), from.clone(), to.clone(), *t));
                } else if let Some(at) =
                    links.iter().position(|known| (&known.0, &known.1, &known.2) == (kind, from, to))
                {
                    let (_, from, to, since) = links.remove(at);
                    let ends = (from.into_iter().collect(), to.into_iter().collect());
                    facts.cuts.push((since, *t, ends.0, ends.1));
                }
            }
            Event::NodeStarted { t, node, block, .. } => {
                facts.blocks.insert(node.clone(), *block);
                begin(facts.able.entry(*block).or_default(), *t);
            }
            Event::NodeStopped { t, node } => {
                let block = facts.blocks.get(node).copied();
                if let Some(able) = block.and_then(|block| facts.able.get_mut(&block)) {
                    end(able, *t);
                }
            }
            Event::NodeProbed { t, node, gateway } => {
                if let Some(block) = facts.blocks.get(node) {
                    facts.asked.entry(*block).or_default().push((*t, *gateway));
                }
            }
            _ => {}
        }
    }
    for (_, from, to, since) in links {
        facts.cuts.push((since, f64::INFINITY, from.into_iter().collect(), to.into_iter().collect()));
    }
    facts
}

impl Facts {
    /// The last moment at or before `t` at which a cut touched either of two, or one of them was touched itself.
    fn touched(&self, one: u32, other: u32, t: f64) -> f64 {
        let own = [one, other].map(|number| self.lives.get(&number).map_or(0.0, |life| life.touched_by(t)));
        let near = |ends: &BTreeSet<u32>| ends.contains(&one) || ends.contains(&other);
        let cuts = self.cuts.iter().filter(|(from, _, one, other)| *from <= t && (near(one) || near(other)));
        cuts.map(|(_, to, ..)| to.min(t)).chain(own).fold(f64::NEG_INFINITY, f64::max)
    }

    /// The last moment between two at which a fault of processes or links began or ended, anywhere in the fleet.
    fn unrest(&self, from: f64, to: f64) -> f64 {
        let touched = self.lives.values().flat_map(|life| life.touched.iter().copied());
        let cuts = self.cuts.iter().map(|(from, to, ..)| (*from, *to));
        let moments = touched.chain(cuts).flat_map(|(begun, ended)| [begun, ended]);
        moments.filter(|t| (from..=to).contains(t)).fold(f64::NEG_INFINITY, f64::max)
    }

    /// From when on a cut no longer excuses two that do one duty until `to`.
    fn healed(&self, to: f64, window: f64) -> f64 {
        let begun = self.cuts.iter().filter(|(from, ..)| *from <= to);
        begun.map(|(_, ends, ..)| ends + window).fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Spans in which each of two did a duty; what one does with no longer break than `gap` is one span.
fn both(asked: &[(f64, u32)], gap: f64) -> Vec<(u32, u32, f64, f64)> {
    let mut spans: Vec<(u32, f64, f64)> = Vec::new();
    for (t, by) in asked {
        match spans.iter_mut().rev().find(|(who, ..)| who == by).filter(|(_, _, to)| t - to <= gap) {
            Some(span) => span.2 = *t,
            None => spans.push((*by, *t, *t)),
        }
    }
    let mut found = Vec::new();
    for (nth, (one, from, to)) in spans.iter().enumerate() {
        for (other, since, until) in spans[nth + 1..].iter().filter(|(other, ..)| other != one) {
            let (from, to) = (from.max(*since), to.min(*until));
            if to > from {
                found.push((*one, *other, from, to));
            }
        }
    }
    found
}

/// Every breach of the fleet's promises in a record, whose events come in order of time.
pub fn judge(book: &Parameters, events: &[Event]) -> Vec<Breach> {
    let facts = facts(events);
    let mut breaches = Vec::new();
    duties(book, &facts, &mut breaches);
    views(book, &facts, events, &mut breaches);
    talk(book, &facts, events, &mut breaches);
    breaches.sort_by(|one, other| one.t.total_cmp(&other.t));
    breaches
}

fn duties(book: &Parameters, facts: &Facts, breaches: &mut Vec<Breach>) {
    let anyone = facts.lives.values().filter_map(|life| life.up.first()).map(|(from, _)| *from);
    let first = anyone.fold(f64::INFINITY, f64::min);
    for (block, able) in &facts.able {
        let asked = facts.asked.get(block).map_or(&[][..], |asked| asked);
        for (one, other, from, to) in both(asked, 2.5 * book.duty_period) {
            let from = from.max(facts.healed(to, book.window));
            if to - from > book.window + book.transit {
                let description =
                    format!("block {block} is probed by {one} and {other} for {:.1} s", to - from);
                breaches.push(Breach { promise: Promise::OneDoer, t: from, description });
            }
        }
        // Each span in which somebody could ask it, from the first start on.
        for (from, to) in able {
            let (from, to) = (from.max(first), to.min(facts.end));
            let inside = asked.iter().map(|(t, _)| *t).filter(|t| (from..to).contains(t));
            let mut before = from;
            for t in inside.chain([to]) {
                let quiet = t - before.max(facts.unrest(before, t));
                if quiet > book.done_within + book.transit || t - before > book.done_at_worst + book.transit {
                    let description = format!(
                        "block {block} is not probed for {:.1} s, {quiet:.1} of them quiet",
                        t - before
                    );
                    breaches.push(Breach { promise: Promise::Done, t: before, description });
                }
                before = t;
            }
        }
    }
}

fn views(book: &Parameters, facts: &Facts, events: &[Event], breaches: &mut Vec<Breach>) {
    let settle_time = book.settle_time + book.transit;
    // Since when each process holds another dead: a death that is taken back in time is a false alarm, no breach.
    let mut dead_since: BTreeMap<(u32, u32, u32), f64> = BTreeMap::new();
    for event in events {
        let Event::MemberView { t, gateway, process, live, dead, .. } = event else { continue };
        for other in live {
            dead_since.remove(&(*gateway, *process, *other));
        }
        for (held, others) in [(true, live), (false, dead)] {
            for other in others.iter().filter(|other| *other != gateway) {
                let up = facts.lives.get(other).is_some_and(|life| life.up_at(*t));
                let since = match held {
                    true => f64::NEG_INFINITY,
                    false => *dead_since.entry((*gateway, *process, *other)).or_insert(*t),
                };
                let long = t - facts.touched(*gateway, *other, *t).max(since);
                if up == held || long <= settle_time {
                    continue;
                }
                let promise = if up { Promise::LiveHeldLive } else { Promise::DeadHeldDead };
                let wrong = if held { "alive" } else { "dead" };
                let description =
                    format!("{gateway} holds {other} {wrong}, {long:.1} s after the last fault near them");
                breaches.push(Breach { promise, t: *t, description });
            }
        }
    }
}

fn talk(book: &Parameters, facts: &Facts, events: &[Event], breaches: &mut Vec<Breach>) {
    let mut speaks: BTreeMap<u32, BTreeSet<u32>> = BTreeMap::new();
    for event in events {
        let Event::MemberTraffic { t, gateway, process, seconds, bytes, longest, .. } = event else {
            continue;
        };
        let rate = *bytes as f64 / seconds.max(0.5);
        if rate > book.max_bytes_per_second || *longest > book.longest_datagram {
            let description = format!("{gateway} sent {rate:.0} bytes a second, {longest} in one datagram");
            breaches.push(Breach { promise: Promise::Traffic, t: *t, description });
        }
        // A second process of a number may speak until it has found out, or the first has.
        let twin = facts.twins.iter().rfind(|(from, number)| number == gateway && *from <= *t);
        let Some((from, _)) = twin.filter(|(from, _)| t - seconds - from > book.settle_time) else {
            continue;
        };
        let others = speaks.entry(*gateway).or_default();
        others.insert(*process);
        let started = facts.lives.get(gateway).is_some_and(|life| life.up.iter().any(|(up, _)| up > from));
        if others.len() > 1 && !started {
            let description = format!("{} processes speak as {gateway}", others.len());
            breaches.push(Breach { promise: Promise::OneName, t: *t, description });
        }
    }
}
