//! Checks the events of a run, as the peers observed them, against the bounds of the platform's specification. Shares no code
//! with the gateway.

use std::collections::BTreeMap;

use crate::record::{Class, Event};
use crate::scenario::{Limit, Scenario};

/// Added to each time limit, seconds.
const TIME_SLACK_S: f64 = 0.05;
/// A final answer up to this long after its deadline only earns no benefit; after that it counts as lost. Seconds.
const MAX_LATENESS_S: f64 = 0.5;
/// No attempt may arrive later than this after its client disconnected, seconds.
const MAX_AFTER_DISCONNECT_S: f64 = 0.1;
/// The timeout that an attempt tells its node may exceed the client's remaining time by this much, seconds.
const TIMEOUT_EXCESS_S: f64 = 0.15;
/// The machine may delay a process by this much at any moment, seconds; rate limits grow by what they allow in this time.
const SCHEDULING_DELAY_S: f64 = 0.15;
/// Nine in ten processes are ready within this time, seconds.
const USUAL_STARTUP_S: f64 = 10.0;
/// All processes are ready within this time, seconds.
const MAX_STARTUP_S: f64 = 30.0;
/// `Ceilings.MaxAttempts` of the sample settings.
const MAX_ATTEMPTS: usize = 4;

/// A guarantee of the gateway that the checker tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Guarantee {
    /// Each accepted request gets one final answer in time.
    FinalAnswer,
    /// A successful answer is one that a node sent for this request.
    OwnAnswer,
    /// A once-only request takes effect at most once, and is not refused as unprocessed if it may have run.
    OnceOnly,
    /// At most one attempt of a request is open at any time.
    OneAttemptAtATime,
    /// A request has at most `MAX_ATTEMPTS` attempts.
    RetryBudget,
    /// No attempt begins at a draining node after the drain grace.
    Drain,
    /// A volume stays within its limit.
    Limit,
    /// No attempt arrives for a client that has disconnected.
    NoAttemptAfterDisconnect,
    /// The timeout sent with an attempt does not exceed the client's remaining time.
    AttemptTimeout,
    /// A started process becomes ready in time.
    ReadyInTime,
    /// A process stays within its memory limit.
    Memory,
    /// A process stays within its limit of open descriptors.
    Descriptors,
    /// A process that ends by itself exits with success and does not panic.
    CleanExit,
}

/// A violation of a guarantee.
#[derive(Clone, Debug, PartialEq)]
pub struct Breach {
    pub guarantee: Guarantee,
    /// The request or process that is concerned.
    pub subject: String,
    /// Seconds since the start of the run.
    pub time: f64,
    pub description: String,
}

/// Bounds that follow from the settings of a run.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Seconds.
    pub drain_grace: f64,
    pub limit: Option<Limit>,
    pub memory_mb: usize,
    /// Maximum of open descriptors.
    pub sockets: usize,
}

impl Bounds {
    pub fn of(scenario: &Scenario) -> Self {
        let settings = &scenario.settings;
        Bounds {
            drain_grace: settings.drain_grace,
            limit: settings.limit,
            memory_mb: settings.memory_mb,
            sockets: settings.sockets,
        }
    }
}

/// An event with its time, seconds since the start of the run.
type TimedEvent = (f64, Event);

/// A request and all events about it.
#[derive(Default)]
struct Request {
    /// When it was written, to which process, its class, and the time until its deadline in seconds.
    written: Option<(f64, usize, Class, f64)>,
    end: Option<TimedEvent>,
    /// When its client disconnected.
    disconnected: Option<f64>,
    /// Attempts whose first byte reached a node: time and node.
    began: Vec<(f64, usize)>,
    /// Attempts received whole: time, timeout that they carry in seconds, and attempts still open at that time.
    arrived: Vec<(f64, f64, usize)>,
    /// Attempts that a node refused without running them.
    refused: usize,
    /// Attempts that a node answered with success.
    served: usize,
}

/// Groups the events by request id.
fn requests(events: &[TimedEvent]) -> BTreeMap<&str, Request> {
    let mut requests = BTreeMap::<&str, Request>::new();
    for (time, event) in events {
        match event {
            Event::RequestWritten { id, process, class, budget, .. } => {
                requests.entry(id).or_default().written = Some((*time, *process, *class, *budget));
            }
            Event::AnswerReceived { id, .. } | Event::ClosedUnanswered { id } | Event::TimedOut { id } => {
                requests.entry(id).or_default().end = Some((*time, event.clone()));
            }
            Event::ClientDisconnected { id } => requests.entry(id).or_default().disconnected = Some(*time),
            Event::AttemptBegan { id, node } => requests.entry(id).or_default().began.push((*time, *node)),
            Event::AttemptArrived { id, timeout, open_before, .. } => {
                requests.entry(id).or_default().arrived.push((*time, *timeout, *open_before));
            }
            Event::AttemptRefused { id } => requests.entry(id).or_default().refused += 1,
            Event::AttemptServed { id } => requests.entry(id).or_default().served += 1,
            _ => {}
        }
    }
    requests
}

/// The events of a run, queried for what happened to its processes.
struct ProcessEvents<'a>(&'a [TimedEvent]);

impl ProcessEvents<'_> {
    /// How long the process was paused between these times, seconds.
    fn paused(&self, process: usize, from: f64, to: f64) -> f64 {
        let spans = self.0.iter().filter_map(|(time, event)| match event {
            Event::Paused { process: event_process, duration } if *event_process == process => {
                Some((*time, time + duration))
            }
            _ => None,
        });
        spans.map(|(start, end)| (end.min(to) - start.max(from)).max(0.0)).sum()
    }

    /// Whether the process was killed without a preceding SIGTERM between these times.
    fn crashed(&self, process: usize, from: f64, to: f64) -> bool {
        let mut terminated = false;
        for (time, event) in self.0 {
            match event {
                Event::Started { process: event_process } if *event_process == process => terminated = false,
                Event::Terminated { process: event_process } if *event_process == process => {
                    terminated = true
                }
                Event::Killed { process: event_process }
                    if *event_process == process && !terminated && (from..=to).contains(time) =>
                {
                    return true;
                }
                _ => {}
            }
        }
        false
    }

    /// When the process next ended at or after this time.
    fn next_end(&self, process: usize, from: f64) -> Option<f64> {
        let end = self.0.iter().find(|(time, event)| {
            let ends = matches!(event, Event::Exited { process: event_process, .. } | Event::Killed { process: event_process } if *event_process == process);
            ends && *time >= from
        });
        end.map(|(time, _)| *time)
    }
}

/// All breaches of a run, sorted by guarantee and time.
pub fn check_guarantees(bounds: &Bounds, events: &[TimedEvent]) -> Vec<Breach> {
    let processes = ProcessEvents(events);
    let mut breaches = Vec::new();
    for (id, request) in &requests(events) {
        breaches.extend(final_answer(id, request, &processes));
        breaches.extend(once_only(id, request));
        breaches.extend(attempts(id, request, &processes));
    }
    breaches.extend(drains(bounds, events));
    breaches.extend(limit(bounds, events));
    breaches.extend(process_bounds(bounds, events));
    breaches.extend(startup_times(events));
    breaches
        .sort_by(|left, right| left.guarantee.cmp(&right.guarantee).then(left.time.total_cmp(&right.time)));
    breaches
}

fn breach(guarantee: Guarantee, subject: &str, time: f64, description: String) -> Breach {
    Breach { guarantee, subject: subject.to_string(), time, description }
}

/// Each accepted request gets one final answer in time. A request may end without one only if it crossed the close of its
/// connection and was not read before.
fn final_answer(id: &str, request: &Request, processes: &ProcessEvents) -> Option<Breach> {
    let (written, process, _, budget) = request.written?;
    if request.disconnected.is_some() {
        return None;
    }
    let breach_at =
        |time: f64, description: String| Some(breach(Guarantee::FinalAnswer, id, time, description));
    let Some((time, end)) = &request.end else {
        return breach_at(written, "the record does not contain its end".into());
    };
    if processes.crashed(process, written, *time) {
        return None;
    }
    let paused = processes.paused(process, written, *time);
    let elapsed = time - written;
    match end {
        Event::AnswerReceived { status, body, .. } => {
            if *status == 200 && (body != id || request.served == 0) {
                let description = format!("written at {written:.3}, got {body:?}");
                return Some(breach(Guarantee::OwnAnswer, id, *time, description));
            }
            let max_elapsed = budget + MAX_LATENESS_S + TIME_SLACK_S + paused;
            (elapsed > max_elapsed).then(|| {
                breach_at(*time, format!("{status} after {elapsed:.3} s, at most {max_elapsed:.3} s allowed"))
            })?
        }
        Event::ClosedUnanswered { .. } if !request.began.is_empty() => {
            breach_at(*time, format!("forwarded to a node and never answered, written at {written:.3}"))
        }
        Event::ClosedUnanswered { .. } => {
            // A request written just before the close or the end of the process was not read, and its client may send it again.
            let closed_at = processes.next_end(process, written).map_or(*time, |end| end.min(*time));
            let crossed = closed_at - written <= TIME_SLACK_S + paused;
            (!crossed)
                .then(|| breach_at(*time, format!("closed without an answer, written at {written:.3}")))?
        }
        _ => breach_at(*time, format!("no answer and no close, written at {written:.3}")),
    }
}

/// A once-only request runs at most once, and is not refused as safe to retry (status 503) if it may have run.
fn once_only(id: &str, request: &Request) -> Option<Breach> {
    let (_, _, class, _) = request.written?;
    let may_have_run = request.arrived.len().saturating_sub(request.refused);
    let last_arrival = request.arrived.last().map_or(0.0, |(time, ..)| *time);
    if class != Class::Buy {
        return None;
    }
    if may_have_run > 1 {
        return Some(breach(
            Guarantee::OnceOnly,
            id,
            last_arrival,
            format!("{may_have_run} attempts may have run"),
        ));
    }
    match &request.end {
        Some((time, Event::AnswerReceived { status: 503, .. })) if may_have_run > 0 => Some(breach(
            Guarantee::OnceOnly,
            id,
            *time,
            "refused as safe to retry, but it may have run".into(),
        )),
        _ => None,
    }
}

/// Number of attempts, attempts at the same time, timeouts of attempts, and attempts after the client disconnected.
fn attempts(id: &str, request: &Request, processes: &ProcessEvents) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let Some((written, process, _, budget)) = request.written else { return breaches };
    if request.arrived.len() > MAX_ATTEMPTS {
        let description = format!("{} attempts", request.arrived.len());
        breaches.push(breach(Guarantee::RetryBudget, id, request.arrived[MAX_ATTEMPTS].0, description));
    }
    for (time, timeout, open_before) in &request.arrived {
        if *open_before > 0 {
            breaches.push(breach(
                Guarantee::OneAttemptAtATime,
                id,
                *time,
                format!("{open_before} earlier attempts are still open"),
            ));
        }
        let paused = processes.paused(process, written, *time);
        let remaining = written + budget - time;
        if *timeout > remaining.max(0.0) + TIMEOUT_EXCESS_S + paused {
            let description = format!("carries a timeout of {timeout:.3} s with {remaining:.3} s remaining");
            breaches.push(breach(Guarantee::AttemptTimeout, id, *time, description));
        }
        let Some(disconnected_at) = request.disconnected else { continue };
        if *time
            > disconnected_at + MAX_AFTER_DISCONNECT_S + processes.paused(process, disconnected_at, *time)
        {
            breaches.push(breach(
                Guarantee::NoAttemptAfterDisconnect,
                id,
                *time,
                format!("its client disconnected at {disconnected_at:.3}"),
            ));
        }
    }
    breaches
}

/// No attempt begins at a draining node after the drain grace. An attempt counts from its first byte, and a drain from when
/// discovery has written it to the process.
fn drains(bounds: &Bounds, events: &[TimedEvent]) -> Vec<Breach> {
    let mut drain_reports = BTreeMap::new();
    for (time, event) in events {
        if let Event::DrainReported { process, node } = event {
            drain_reports.entry((*process, *node)).or_insert(*time);
        }
    }
    let mut breaches = Vec::new();
    for (id, request) in &requests(events) {
        let Some((_, process, ..)) = request.written else { continue };
        for (time, node) in &request.began {
            let Some(since) = drain_reports.get(&(process, *node)) else { continue };
            let paused = ProcessEvents(events).paused(process, *since, *time);
            // The drain grace has to cover a short scheduling delay.
            let excused = if paused > SCHEDULING_DELAY_S { paused } else { 0.0 };
            if *time > since + bounds.drain_grace + TIME_SLACK_S + excused {
                let description = format!("node {node} was reported as draining at {since:.3}");
                breaches.push(breach(Guarantee::Drain, id, *time, description));
            }
        }
    }
    breaches
}

/// Token bucket of the single volume: each request takes one unit when its last byte first reaches a node.
fn limit(bounds: &Bounds, events: &[TimedEvent]) -> Option<Breach> {
    let limit = bounds.limit?;
    let min_level = -limit.slack - limit.rate * SCHEDULING_DELAY_S;
    let (mut level, mut refilled_at) = (limit.burst, 0.0);
    let mut counted = std::collections::BTreeSet::new();
    for (time, event) in events {
        let Event::AttemptArrived { id, .. } = event else { continue };
        if !counted.insert(id) {
            continue;
        }
        level = (level + limit.rate * (time - refilled_at)).min(limit.burst) - 1.0;
        refilled_at = *time;
        if level < min_level {
            return Some(breach(
                Guarantee::Limit,
                id,
                *time,
                format!("token bucket at {level:.2} units, minimum {min_level:.2}"),
            ));
        }
    }
    None
}

/// Nine in ten processes are ready within `USUAL_STARTUP_S`, and all within `MAX_STARTUP_S`.
fn startup_times(events: &[TimedEvent]) -> Option<Breach> {
    let ready = events.iter().filter_map(|(time, event)| match event {
        Event::Ready { process, after } => Some((*time, *process, *after)),
        _ => None,
    });
    let ready: Vec<_> = ready.collect();
    let late: Vec<_> = ready.iter().filter(|(.., after)| *after > USUAL_STARTUP_S).collect();
    let too_late = late.iter().find(|(.., after)| *after > MAX_STARTUP_S);
    let (time, process, after) = too_late.or(late.first())?;
    let exceeded = too_late.is_some() || 10 * late.len() > ready.len();
    let description = format!("ready after {after:.3} s; {} of {} processes late", late.len(), ready.len());
    exceeded.then(|| breach(Guarantee::ReadyInTime, &format!("process {process}"), *time, description))
}

/// Memory, descriptors, exit codes and panics of the processes.
fn process_bounds(bounds: &Bounds, events: &[TimedEvent]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (time, event) in events {
        let found = match event {
            Event::ResourcesSampled { process, resident_kb, .. }
                if resident_kb * 1024 > bounds.memory_mb * 1_000_000 =>
            {
                let description = format!("{resident_kb} KiB resident, limit {} MB", bounds.memory_mb);
                Some((Guarantee::Memory, process, description))
            }
            Event::ResourcesSampled { process, descriptors, .. } if *descriptors > bounds.sockets => Some((
                Guarantee::Descriptors,
                process,
                format!("{descriptors} descriptors, limit {}", bounds.sockets),
            )),
            Event::Exited { process, code } if *code != Some(0) => {
                Some((Guarantee::CleanExit, process, format!("exited with code {code:?}")))
            }
            Event::Panicked { process, line } => Some((Guarantee::CleanExit, process, line.clone())),
            _ => None,
        };
        breaches.extend(found.map(|(guarantee, process, description)| {
            breach(guarantee, &format!("process {process}"), *time, description)
        }));
    }
    breaches
}
