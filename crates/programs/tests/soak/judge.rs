//! The verdict on a run, from what peers saw and by the bounds of the platform's pages. Shares nothing with the gateway.

use std::collections::BTreeMap;

use crate::record::{Class, Event};
use crate::script::{Limit, Script};

/// Each time limit grows by this, seconds.
const SLACK: f64 = 0.05;
/// A final answer only earns nothing up to so long behind its time, and is lost later, seconds.
const LOST_BEHIND: f64 = 0.5;
/// No attempt begins so long after its client has gone, seconds.
const GONE: f64 = 0.1;
/// What an attempt tells its node may be so much over what is left to the client, seconds.
const TIME_TOLD: f64 = 0.15;
/// For this long a process may be held up at any moment, seconds; limits grow by what they allow meanwhile.
const HELD_UP: f64 = 0.15;
/// Nine in ten processes are up within the first figure, and all within the second, seconds.
const READY: f64 = 10.0;
const NEVER_READY: f64 = 30.0;
/// `Ceilings.MaxAttempts` of the sample settings.
const MOST_ATTEMPTS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Promise {
    FinalAnswer,
    OwnAnswer,
    OnceOnly,
    OneAtATime,
    RetryBudget,
    Drain,
    Limit,
    ForNobody,
    TimeTold,
    Ready,
    Memory,
    Descriptors,
    Exit,
}

/// A promise that was broken: by which request or process, when, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub promise: Promise,
    pub about: String,
    pub at: f64,
    pub what: String,
}

/// What the settings of a run promise.
#[derive(Clone, Debug)]
pub struct Terms {
    pub drain_grace: f64,
    pub limit: Option<Limit>,
    pub memory_mb: usize,
    pub sockets: usize,
}

impl Terms {
    pub fn of(script: &Script) -> Self {
        let settings = &script.settings;
        Terms {
            drain_grace: settings.drain_grace,
            limit: settings.limit,
            memory_mb: settings.memory_mb,
            sockets: settings.sockets,
        }
    }
}

type Timed = (f64, Event);

/// A request with all that became of it.
#[derive(Default)]
struct Request {
    written: Option<(f64, usize, Class, f64)>,
    end: Option<Timed>,
    left: Option<f64>,
    begun: Vec<(f64, usize)>,
    /// Arrived attempts: when, the time they tell, open ones before.
    arrived: Vec<(f64, f64, usize)>,
    turned_away: usize,
    served: usize,
}

fn requests(events: &[Timed]) -> BTreeMap<&str, Request> {
    let mut requests = BTreeMap::<&str, Request>::new();
    for (at, event) in events {
        match event {
            Event::Written { id, process, class, budget, .. } => {
                requests.entry(id).or_default().written = Some((*at, *process, *class, *budget));
            }
            Event::Answered { id, .. } | Event::Unanswered { id } | Event::Silent { id } => {
                requests.entry(id).or_default().end = Some((*at, event.clone()));
            }
            Event::Left { id } => requests.entry(id).or_default().left = Some(*at),
            Event::AttemptBegan { id, node } => requests.entry(id).or_default().begun.push((*at, *node)),
            Event::AttemptArrived { id, wait, open_before, .. } => {
                requests.entry(id).or_default().arrived.push((*at, *wait, *open_before));
            }
            Event::TurnedAway { id } => requests.entry(id).or_default().turned_away += 1,
            Event::Served { id } => requests.entry(id).or_default().served += 1,
            _ => {}
        }
    }
    requests
}

/// What happened to the processes.
struct Processes<'a>(&'a [Timed]);

impl Processes<'_> {
    /// How long the process was stopped between these times, seconds.
    fn paused(&self, process: usize, from: f64, to: f64) -> f64 {
        let spans = self.0.iter().filter_map(|(at, event)| match event {
            Event::Paused { process: of, lasts } if *of == process => Some((*at, at + lasts)),
            _ => None,
        });
        spans.map(|(began, ended)| (ended.min(to) - began.max(from)).max(0.0)).sum()
    }

    /// When the process was killed without a word between these times.
    fn crashed(&self, process: usize, from: f64, to: f64) -> bool {
        let mut terminated = false;
        for (at, event) in self.0 {
            match event {
                Event::Started { process: of } if *of == process => terminated = false,
                Event::Terminated { process: of } if *of == process => terminated = true,
                Event::Killed { process: of }
                    if *of == process && !terminated && (from..=to).contains(at) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        false
    }

    /// The process's next end behind this time.
    fn ended(&self, process: usize, from: f64) -> Option<f64> {
        let end = self.0.iter().find(|(at, event)| {
            let ends = matches!(event, Event::Exited { process: of, .. } | Event::Killed { process: of } if *of == process);
            ends && *at >= from
        });
        end.map(|(at, _)| *at)
    }
}

/// All breaches of a run, by promise and time.
pub fn judge(terms: &Terms, events: &[Timed]) -> Vec<Breach> {
    let processes = Processes(events);
    let mut breaches = Vec::new();
    for (id, request) in &requests(events) {
        breaches.extend(final_answer(id, request, &processes));
        breaches.extend(effects(id, request));
        breaches.extend(attempts(id, request, &processes));
    }
    breaches.extend(drains(terms, events));
    breaches.extend(limit(terms, events));
    breaches.extend(process_bounds(terms, events));
    breaches.extend(starts(events));
    breaches.sort_by(|one, other| one.promise.cmp(&other.promise).then(one.at.total_cmp(&other.at)));
    breaches
}

fn breach(promise: Promise, about: &str, at: f64, what: String) -> Breach {
    Breach { promise, about: about.to_string(), at, what }
}

/// One final answer in time for each request taken; what ends otherwise has crossed a close that had not read it.
fn final_answer(id: &str, request: &Request, processes: &Processes) -> Option<Breach> {
    let (written, process, _, budget) = request.written?;
    if request.left.is_some() {
        return None;
    }
    let broken = |at: f64, what: String| Some(breach(Promise::FinalAnswer, id, at, what));
    let Some((at, end)) = &request.end else {
        return broken(written, "nothing is known of its end".into());
    };
    if processes.crashed(process, written, *at) {
        return None;
    }
    let paused = processes.paused(process, written, *at);
    let took = at - written;
    match end {
        Event::Answered { status, body, .. } => {
            if *status == 200 && (body != id || request.served == 0) {
                let what = format!("written at {written:.3}, got {body:?}");
                return Some(breach(Promise::OwnAnswer, id, *at, what));
            }
            let most = budget + LOST_BEHIND + SLACK + paused;
            (took > most).then(|| broken(*at, format!("{status} after {took:.3} s, {most:.3} at most")))?
        }
        Event::Unanswered { .. } if !request.begun.is_empty() => {
            broken(*at, format!("sent on and never answered, written at {written:.3}"))
        }
        Event::Unanswered { .. } => {
            // Written just before the close or the process's end: not read, and its client sends it again.
            let ended = processes.ended(process, written).map_or(*at, |ended| ended.min(*at));
            let crossed = ended - written <= SLACK + paused;
            (!crossed).then(|| broken(*at, format!("closed without an answer, written at {written:.3}")))?
        }
        _ => broken(*at, format!("no answer and no close, written at {written:.3}")),
    }
}

/// No effect twice, and no word that trying again is harmless where it is not.
fn effects(id: &str, request: &Request) -> Option<Breach> {
    let (_, _, class, _) = request.written?;
    let may_have_run = request.arrived.len().saturating_sub(request.turned_away);
    let last = request.arrived.last().map_or(0.0, |(at, ..)| *at);
    if class != Class::Buy {
        return None;
    }
    if may_have_run > 1 {
        return Some(breach(Promise::OnceOnly, id, last, format!("{may_have_run} attempts may have run")));
    }
    match &request.end {
        Some((at, Event::Answered { status: 503, .. })) if may_have_run > 0 => {
            Some(breach(Promise::OnceOnly, id, *at, "refused as harmless, and it may have run".into()))
        }
        _ => None,
    }
}

fn attempts(id: &str, request: &Request, processes: &Processes) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let Some((written, process, _, budget)) = request.written else { return breaches };
    if request.arrived.len() > MOST_ATTEMPTS {
        let what = format!("{} attempts", request.arrived.len());
        breaches.push(breach(Promise::RetryBudget, id, request.arrived[MOST_ATTEMPTS].0, what));
    }
    for (at, wait, open_before) in &request.arrived {
        if *open_before > 0 {
            breaches.push(breach(Promise::OneAtATime, id, *at, format!("{open_before} before it are open")));
        }
        let paused = processes.paused(process, written, *at);
        let left = written + budget - at;
        if *wait > left.max(0.0) + TIME_TOLD + paused {
            let what = format!("tells {wait:.3} s, {left:.3} are left");
            breaches.push(breach(Promise::TimeTold, id, *at, what));
        }
        let Some(gone) = request.left else { continue };
        if *at > gone + GONE + processes.paused(process, gone, *at) {
            breaches.push(breach(Promise::ForNobody, id, *at, format!("its client left at {gone:.3}")));
        }
    }
    breaches
}

/// A send counts from its first byte, and a drain from when discovery has written it to the process.
fn drains(terms: &Terms, events: &[Timed]) -> Vec<Breach> {
    let mut told = BTreeMap::new();
    for (at, event) in events {
        if let Event::DrainTold { process, node } = event {
            told.entry((*process, *node)).or_insert(*at);
        }
    }
    let mut breaches = Vec::new();
    for (id, request) in &requests(events) {
        let Some((_, process, ..)) = request.written else { continue };
        for (at, node) in &request.begun {
            let Some(since) = told.get(&(process, *node)) else { continue };
            let paused = Processes(events).paused(process, *since, *at);
            // A short hold-up has to be covered by the grace.
            let excused = if paused > HELD_UP { paused } else { 0.0 };
            if *at > since + terms.drain_grace + SLACK + excused {
                let what = format!("node {node} drains since {since:.3} by what was told");
                breaches.push(breach(Promise::Drain, id, *at, what));
            }
        }
    }
    breaches
}

/// The store of the one volume: a request takes its units, one each here, when its last byte has come to a node.
fn limit(terms: &Terms, events: &[Timed]) -> Option<Breach> {
    let limit = terms.limit?;
    let least = -limit.slack - limit.rate * HELD_UP;
    let (mut level, mut filled_at) = (limit.burst, 0.0);
    let mut taken = std::collections::BTreeSet::new();
    for (at, event) in events {
        let Event::AttemptArrived { id, .. } = event else { continue };
        if !taken.insert(id) {
            continue;
        }
        level = (level + limit.rate * (at - filled_at)).min(limit.burst) - 1.0;
        filled_at = *at;
        if level < least {
            return Some(breach(
                Promise::Limit,
                id,
                *at,
                format!("{level:.2} in store, {least:.2} at least"),
            ));
        }
    }
    None
}

/// Nine in ten are up in time, and all at some time.
fn starts(events: &[Timed]) -> Option<Breach> {
    let ready = events.iter().filter_map(|(at, event)| match event {
        Event::Ready { process, after } => Some((*at, *process, *after)),
        _ => None,
    });
    let ready: Vec<_> = ready.collect();
    let late: Vec<_> = ready.iter().filter(|(.., after)| *after > READY).collect();
    let never = late.iter().find(|(.., after)| *after > NEVER_READY);
    let (at, process, after) = never.or(late.first())?;
    let broken = never.is_some() || 10 * late.len() > ready.len();
    let what = format!("after {after:.3} s; {} of {} late", late.len(), ready.len());
    broken.then(|| breach(Promise::Ready, &format!("process {process}"), *at, what))
}

fn process_bounds(terms: &Terms, events: &[Timed]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (at, event) in events {
        let found = match event {
            Event::Held { process, resident_kb, .. } if resident_kb * 1024 > terms.memory_mb * 1_000_000 => {
                let what = format!("{resident_kb} KiB of {} MB", terms.memory_mb);
                Some((Promise::Memory, process, what))
            }
            Event::Held { process, descriptors, .. } if *descriptors > terms.sockets => {
                Some((Promise::Descriptors, process, format!("{descriptors} of {}", terms.sockets)))
            }
            Event::Exited { process, code } if *code != Some(0) => {
                Some((Promise::Exit, process, format!("with {code:?}")))
            }
            Event::Panicked { process, line } => Some((Promise::Exit, process, line.clone())),
            _ => None,
        };
        breaches.extend(
            found.map(|(promise, process, what)| breach(promise, &format!("process {process}"), *at, what)),
        );
    }
    breaches
}
