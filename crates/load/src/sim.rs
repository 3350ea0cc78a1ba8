//! A server on a simulated clock, for what must be shown exactly: first come first served on so many cores, each
//! piece of work of one length, standing still for stated whiles; and a generator that loses its turn.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use crate::generator::{Answer, Do, Generator};
use crate::schedule::Source;

/// Time from `from` to `to`, seconds.
pub type Span = (f64, f64);

pub struct Server {
    /// Work of one command, seconds.
    pub service: f64,
    /// While these last, no work goes on; in order, apart from each other.
    pub stalls: Vec<Span>,
    /// Commands turned away while so many are held, with this time to come back.
    pub holds: Option<(usize, f64)>,
    cores: BinaryHeap<Reverse<Moment>>,
    /// Answers by time, then in the order taken.
    answers: BTreeMap<(Moment, u64), (u64, Answer)>,
    order: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct Moment(f64);

impl Eq for Moment {}

impl PartialOrd for Moment {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Moment {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Server {
    pub fn new(cores: usize, service: f64, stalls: Vec<Span>) -> Self {
        let cores = (0..cores).map(|_| Reverse(Moment(f64::NEG_INFINITY))).collect();
        Server { service, stalls, holds: None, cores, answers: BTreeMap::new(), order: 0 }
    }

    /// When work of so many seconds that could start at `from` is done.
    fn worked(&self, from: f64, work: f64) -> f64 {
        let mut done = from + work;
        for (begins, ends) in &self.stalls {
            if done > *begins && from < *ends {
                // What was left when it began goes on when it ends.
                done += ends - begins.max(from);
            }
        }
        done
    }

    pub fn take(&mut self, now: f64, mark: u64) {
        self.order += 1;
        if let Some((most, come_back)) = self.holds {
            if self.answers.len() >= most {
                let answer = Answer::Declined(Some(come_back));
                self.answers.insert((Moment(now), self.order), (mark, answer));
                return;
            }
        }
        let Some(Reverse(free)) = self.cores.pop() else { return };
        let done = self.worked(now.max(free.0), self.service);
        self.cores.push(Reverse(Moment(done)));
        self.answers.insert((Moment(done), self.order), (mark, Answer::Settled));
    }

    pub fn next_at(&self) -> f64 {
        self.answers.keys().next().map_or(f64::INFINITY, |(at, _)| at.0)
    }

    pub fn done(&mut self, now: f64) -> Vec<(u64, Answer)> {
        let mut all = Vec::new();
        while let Some(first) = self.answers.first_entry().filter(|entry| entry.key().0 .0 <= now) {
            all.push(first.remove());
        }
        all
    }
}

/// Runs a generator against a server until all has ended or `until`; `pauses` are whiles in which the generator gets
/// no turn, neither for sending nor for reading. The time at which it ended.
pub fn run<S: Source>(generator: &mut Generator<S>, server: &mut Server, pauses: &[Span], until: f64) -> f64 {
    let mut now = generator.start();
    let mut asks = Vec::new();
    loop {
        for (mark, answer) in server.done(now) {
            generator.answered(now, mark, answer);
        }
        generator.turn(now, &mut asks);
        for ask in asks.drain(..) {
            if let Do::Send { operation } = ask {
                generator.sent(now, operation);
                if let Some(operation) = generator.operation(operation) {
                    server.take(now, operation.mark());
                }
            }
        }
        if generator.done(now) || now >= until {
            break;
        }
        let next = generator.next_at().min(server.next_at()).max(now);
        if next == f64::INFINITY {
            break;
        }
        let paused = pauses.iter().find(|(from, to)| (*from..*to).contains(&next));
        now = paused.map_or(next, |(_, to)| *to);
    }
    generator.finish(now);
    now
}

/// The latency at quantile `q` that an open loop must show: arrivals every 1/`rate` for `lasts` seconds at a server
/// of one core and service time `service`, that stops once for `stop` seconds from the moment of an arrival on. By
/// docs/design/load.md: the wait is `stop` at the first arrival of the stop and falls in a line to 0.
pub fn expected(q: f64, rate: f64, service: f64, stop: f64, lasts: f64) -> f64 {
    let all = rate * lasts;
    // The k-th arrival after the stop began waits stop - k (1/rate - service), until that is 0.
    let step = 1.0 / rate - service;
    let touched = stop / step;
    // Sorted from the longest: rank r from the top has k = r.
    let rank = ((1.0 - q) * all).floor();
    if rank < touched {
        service + stop - rank * step
    } else {
        service
    }
}
