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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::account::{Key, Kind};
    use crate::generator::Verdict;
    use crate::schedule::{Peers, Schedule};
    use crate::testing::{load, Text};
    use proptest::prelude::*;
    use test_case::test_case;

    fn generator(text: &Text) -> Generator<Schedule> {
        let loaded = load(text);
        let source = Schedule::new(&loaded.load, &loaded.deployment, Peers::Gateways(2)).unwrap();
        Generator::new(&loaded.load, &loaded.deployment, source, 0.0, 1)
    }

    fn open(rate: f64, lasts: f64) -> Text {
        Text { open: format!("<open process='constant' rate='{rate}'/>"), lasts, ..Text::default() }
    }

    /// The planted stall: what the open loop shows is what docs/design/load.md computes, at every quantile, within the
    /// histogram's three digits. Arrivals every 1/512 s lie on the wheel's ticks, so the clock adds nothing.
    #[test_case(2.0, 1.0 / 1024.0; "two seconds, half loaded")]
    #[test_case(0.5, 1.0 / 4096.0; "half a second, an eighth loaded")]
    #[test_case(5.0, 1.0 / 1024.0; "five seconds")]
    fn a_planted_stall_exactly(stop: f64, service: f64) {
        let mut generator = generator(&open(512.0, 32.0));
        let mut server = Server::new(1, service, vec![(4.0, 4.0 + stop)]);
        run(&mut generator, &mut server, &[], 100.0);
        let cell = generator.account.cell(Key::new(Kind::All, 0)).clone();
        // The last arrival is due at second 32 itself, which is past the end.
        assert_eq!(cell.meant.len(), 512 * 32 - 1);
        for q in [0.5, 0.6, 0.75, 0.9, 0.95, 0.99, 0.999, 0.9999, 1.0] {
            let found = cell.meant.value_at_quantile(q) as f64 / 1e6;
            let expected = expected(q, 512.0, service, stop, 32.0 - 1.0 / 512.0);
            // One rank more or less is one step of the line; the histogram holds three digits.
            let tolerance = expected * 1e-3 + 2e-6 + (1.0 / 512.0 - service);
            assert!((found - expected).abs() <= tolerance, "q {q}: {found}, {expected} by hand");
        }
        let most = cell.meant.max() as f64 / 1e6;
        assert!((most - stop - service).abs() < 1e-3 * most, "{most}");
    }

    /// The same stall, and a closed loop of as many a second: four of its transactions see it, so no percentile below
    /// the last does.
    #[test]
    fn a_closed_loop_hides_the_stall() {
        let closed =
            Text { open: "<closed clients='4' think='0.0068'/>".into(), lasts: 32.0, ..Text::default() };
        let mut generator = generator(&closed);
        let mut server = Server::new(1, 1.0 / 1024.0, vec![(4.0, 6.0)]);
        run(&mut generator, &mut server, &[], 100.0);
        let cell = generator.account.cell(Key::new(Kind::All, 0)).clone();
        assert!(cell.meant.len() > 10_000, "{}", cell.meant.len());
        assert!(cell.meant.value_at_quantile(0.999) < 10_000, "{}", cell.meant.value_at_quantile(0.999));
        assert!(cell.meant.max() > 1_900_000);
        let open = expected(0.99, 512.0, 1.0 / 1024.0, 2.0, 32.0);
        assert!(open > 1.6, "the open loop's p99 would be {open}");
    }

    /// A generator that gets no turn for a while sends late and says so: its latencies count from when they were meant,
    /// and its lag shows the while.
    #[test]
    fn the_generator_loses_its_turn() {
        let mut generator = generator(&open(512.0, 16.0));
        run(&mut generator, &mut Server::new(1, 1.0 / 4096.0, vec![]), &[(5.0, 6.5)], 100.0);
        let cell = generator.account.cell(Key::new(Kind::All, 0)).clone();
        assert_eq!(cell.counts.missed, 0);
        assert!((cell.lag.max() as f64 / 1.5e6 - 1.0).abs() < 0.01, "{}", cell.lag.max());
        assert!(
            cell.meant.max() > 1_490_000 && cell.wire.max() < 300_000,
            "{} {}",
            cell.meant.max(),
            cell.wire.max()
        );
        let Verdict::Limited(why) = generator.verdict() else { panic!("brought") };
        assert!(why.contains("lag"), "{why}");
    }

    /// Behind by more than its bound it leaves arrivals out, each counted, and the verdict is that it was the limit.
    #[test]
    fn behind_by_more_than_its_bound() {
        let bounds = "<bounds open='100000' behind='0.5' lag='0.01'/>".into();
        let mut generator = generator(&Text { bounds, ..open(512.0, 16.0) });
        run(&mut generator, &mut Server::new(1, 1.0 / 4096.0, vec![]), &[(5.0, 8.0)], 100.0);
        let counts = &generator.sum.counts;
        // Of 3 s without a turn, all but the last half second.
        assert!((counts.missed as f64 - 2.5 * 512.0).abs() <= 2.0, "{}", counts.missed);
        assert_eq!(counts.missed + counts.settled(), counts.offered);
        assert!(matches!(generator.verdict(), Verdict::Limited(why) if why.contains("came due too late")));
    }

    /// With more open than its bound it sends no more, and says so: the figures are then no gateway's.
    #[test]
    fn over_the_bound_on_open_ones() {
        let bounds = "<bounds open='200' behind='5' lag='0.01'/>".into();
        let mut generator = generator(&Text { bounds, ..open(512.0, 8.0) });
        run(&mut generator, &mut Server::new(1, 1.0 / 1024.0, vec![(2.0, 4.0)]), &[], 100.0);
        let counts = generator.sum.counts.clone();
        assert!((counts.overrun as f64 - (2.0 * 512.0 - 200.0)).abs() <= 2.0, "{}", counts.overrun);
        assert_eq!(counts.overrun + counts.settled(), counts.offered);
        assert!(matches!(generator.verdict(), Verdict::Limited(why) if why.contains("over the bound")));
    }

    /// A surge of one plan over what the server can do: all wait, and each class tells its own. Nothing is lost.
    #[test]
    fn a_surge_from_one_plan() {
        let shape = "<shape><surge at='4' lasts='2' times='6' plan='basic'/></shape>".into();
        let mut generator = generator(&Text { shape, ..open(300.0, 16.0) });
        run(&mut generator, &mut Server::new(1, 1.0 / 512.0, vec![]), &[], 100.0);
        let (basic, gold) = (Key::new(Kind::Plan, 0), Key::new(Kind::Plan, 1));
        let counts = |generator: &mut Generator<Schedule>, key| generator.account.cell(key).counts.clone();
        let (basic, gold) = (counts(&mut generator, basic), counts(&mut generator, gold));
        let all = generator.account.cell(Key::new(Kind::All, 0)).counts.clone();
        assert_eq!(
            (basic.offered + gold.offered, basic.settled() + gold.settled()),
            (all.offered, all.settled())
        );
        assert!(all.late > 300 && basic.offered > gold.offered, "{all:?}");
        let span = |generator: &mut Generator<Schedule>, interval| {
            let cell = generator.account.cell(Key { kind: Kind::Interval, name: 0, interval });
            cell.meant.value_at_quantile(0.5)
        };
        assert!(span(&mut generator, 5) > 20 * span(&mut generator, 2));
    }

    /// Declined ones come back when told, as often as their callers do; an operation's latency counts from its first
    /// try's time.
    #[test]
    fn come_back_when_told() {
        let text = Text { retries: 3, ..open(512.0, 8.0) };
        let mut generator = generator(&text);
        let mut server = Server::new(1, 1.0 / 400.0, vec![]);
        server.holds = Some((20, 0.4));
        run(&mut generator, &mut server, &[], 100.0);
        let cell = generator.account.cell(Key::new(Kind::All, 0)).clone();
        assert!(cell.counts.declined > 0 && cell.counts.tries > cell.counts.offered, "{:?}", cell.counts);
        assert!(
            cell.meant.max() > 320_000 && cell.wire.max() < 100_000,
            "{} {}",
            cell.meant.max(),
            cell.wire.max()
        );
    }

    /// Callers who leave are counted as such, and their answers, which come all the same, as stale.
    #[test]
    fn callers_who_leave() {
        let callers = "<leave at='0' lasts='8' part='0.5' after='0.1'/>".into();
        let mut generator = generator(&Text { callers, ..open(256.0, 8.0) });
        run(&mut generator, &mut Server::new(1, 1.0 / 1024.0, vec![(3.0, 4.0)]), &[], 100.0);
        let counts = generator.sum.counts.clone();
        assert!(counts.left > 80 && counts.left == counts.stale, "{counts:?}");
        assert_eq!(counts.left + counts.settled(), counts.offered);
    }

    /// What waits in the wheel and open is bounded however long the load; ten million are the bench's.
    #[test]
    fn memory_is_flat() {
        let mut generator = generator(&open(4096.0, 60.0));
        let mut server = Server::new(4, 1.0 / 8192.0, vec![]);
        let (mut now, mut asks, mut most) = (0.0, Vec::new(), (0, 0, 0));
        while !generator.done(now) {
            for (mark, answer) in server.done(now) {
                generator.answered(now, mark, answer);
            }
            generator.turn(now, &mut asks);
            for ask in asks.drain(..) {
                let Do::Send { operation } = ask else { continue };
                generator.sent(now, operation);
                server.take(now, generator.operation(operation).unwrap().mark());
            }
            let (open, planned) = generator.held();
            most = (most.0.max(open), most.1.max(planned), most.2.max(generator.account.spread_out()));
            now += 0.01;
        }
        assert!(most.0 < 200 && most.1 <= 8192 && most.2 < 150, "{most:?}");
        assert_eq!(generator.sum.counts.settled(), 4096 * 60 - 1);
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 40, failure_persistence: None, ..Default::default() })]

        /// Every arrival ends in exactly one way, whatever happens, and all classes add up.
        #[test]
        fn every_arrival_ends_once(
            seed in 0u64..1000, cores in 1usize..4, service in 0.0005..0.02f64, stall in 0.0..9.0f64,
            pause in 0.0..6.0f64, holds in 1usize..60, retries in 0u32..4, most in 5.0..400.0f64, until in 1.0..20.0f64,
        ) {
            let text = Text {
                seed,
                retries,
                lasts: 6.0,
                open: "<open process='on-off' rate='40' on='0.3' off='0.3'/>".into(),
                callers: "<leave at='1' lasts='3' part='0.4' after='0.4'/>\
                          <abuse at='2' lasts='3' plan='basic' retries='5' wait='0.02'/>".into(),
                bounds: format!("<bounds open='{}' behind='0.7' lag='0.01'/>", most.max(30.0)),
                ..Text::default()
            };
            let mut generator = generator(&text);
            let mut server = Server::new(cores, service, vec![(1.0, 1.0 + stall)]);
            server.holds = Some((holds, 0.2));
            run(&mut generator, &mut server, &[(2.0, 2.0 + pause)], until);
            let all = generator.sum.counts.clone();
            let ended: u64 = all.ends().iter().map(|(_, count)| count).sum();
            prop_assert_eq!(ended, all.offered);
            prop_assert_eq!(generator.held(), (0, 0));
            prop_assert!(all.tries <= all.offered * 6);
            let mut bands = 0;
            for band in 0..2 {
                bands += generator.account.cell(Key::new(Kind::Band, band)).counts.offered;
            }
            prop_assert_eq!(bands, all.offered);
        }
    }
}
