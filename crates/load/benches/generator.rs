//! The generator's own cost: arrivals a second on one core, memory over ten million, lag at three rates on sockets with
//! targets that do no work. Simulated where it says so. Prints one line for each; `cargo bench --bench generator`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use quaypath_load::account::{Key, Kind};
use quaypath_load::generator::{Answer, Do, Generator, Verdict};
use quaypath_load::run::{run, Fleet, Place, Run};
use quaypath_load::schedule::{Peers, Schedule, Source};
use quaypath_record::{Clock, Writer};
use quaypath_settings::Loaded;
use quaypath_standins::model::ModelConfig;
use quaypath_standins::target::{self, zone_of, Target, ACCEPTED_FORMAT};

fn loaded(rate: f64, lasts: f64) -> Loaded {
    let folder = std::env::temp_dir().join(format!("quaypath-bench-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/samples/grown.xml");
    let text = format!(
        "<load name='bench' deployment='{root}' seed='1' lasts='{lasts}' interval='1'>\
         <open process='poisson' rate='{rate}'/>\
         <share band='look-up' part='0.7'/><share band='purchase' part='0.3'/>\
         <blocks kind='fixed' mean='1'/><bounds open='1000000' behind='5' lag='0.005' queues='8'/>\
         <benefit share='0.3' rest='0.05' late='0.15' spare='300'/></load>"
    );
    let path = folder.join("load.xml");
    std::fs::write(&path, text).unwrap();
    let loaded = quaypath_settings::load(&path).unwrap();
    let _ = std::fs::remove_dir_all(folder);
    loaded
}

/// Resident memory, KiB.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

/// The schedule alone, then schedule, wheel and account on a simulated clock with answers after 10 ms.
fn own_cost() {
    let given = loaded(50_000.0, 40.0);
    let mut schedule = Schedule::new(&given.load, &given.deployment, Peers::Gateways(40)).unwrap();
    let (from, mut count) = (Instant::now(), 0u64);
    while schedule.next().unwrap().is_some() {
        count += 1;
    }
    let took = from.elapsed().as_secs_f64();
    println!(
        "schedule alone: {count} arrivals in {took:.2} s, {:.0} a second on one core",
        count as f64 / took
    );

    let lasts = 200.0;
    let given = loaded(50_000.0, lasts);
    let schedule = Schedule::new(&given.load, &given.deployment, Peers::Gateways(40)).unwrap();
    let mut generator = Generator::new(&given.load, &given.deployment, schedule, 0.0, 1);
    let mut answers = std::collections::VecDeque::new();
    let (mut now, mut asks, mut next, from) = (0.0, Vec::new(), 1_000_000, Instant::now());
    while !generator.done(now) {
        while answers.front().is_some_and(|(at, _)| *at <= now) {
            let (_, mark) = answers.pop_front().unwrap();
            generator.answered(now, mark, Answer::Settled);
        }
        generator.turn(now, &mut asks);
        for ask in asks.drain(..) {
            let Do::Send { operation } = ask else { continue };
            generator.sent(now, operation);
            answers.push_back((now + 0.01, generator.operation(operation).unwrap().mark()));
        }
        if generator.sum.counts.offered >= next {
            println!("  simulated, {:>9} arrivals: {} KiB resident", generator.sum.counts.offered, memory());
            next = if next == 1_000_000 { 2_000_000 } else { next + 2_000_000 };
        }
        now += 0.0005;
    }
    let (took, count) = (from.elapsed().as_secs_f64(), generator.sum.counts.offered);
    println!(
        "all but sockets, simulated: {count} arrivals in {took:.2} s, {:.0} a second",
        count as f64 / took
    );
}

fn target(given: &Loaded, block: i64) -> Target {
    let zone = zone_of(block, given.deployment.zones);
    let bands = given.deployment.rule_parameters.bands.iter();
    let options = target::Options {
        block,
        zone: zone.clone(),
        cold: false,
        seed: 1,
        model: ModelConfig {
            cores: 64,
            unit_time: 0.0,
            recent_extent_factor: 1.0,
            recent_extents: 3,
            deferred_write_share: 0.0,
            flush_interval: 1e9,
            queue_capacity: 100_000,
            start_capacity: 1.0,
            warm_up: 0.0,
            overload_multiple: 1e9,
            overload_window: 1e9,
            cold_start_units: 1e9,
            cancel_stops_running: true,
        },
        bands: bands.map(|band| target::BandRule::for_target(band, &zone, block)).collect(),
        metering_period: 0.0,
        nominal_rates: Arc::new(BTreeMap::new()),
        volumes: Arc::new(given.deployment.volumes.iter().map(|(id, volume)| (*id, volume.size)).collect()),
        accepted_format: ACCEPTED_FORMAT,
        shared: Arc::default(),
        work_sigma: 0.0,
    };
    Target::start(options, target::loopback_listener().unwrap(), Writer::disabled()).unwrap()
}

/// One generator thread, three targets on threads of their own.
fn on_sockets(rate: f64, lasts: f64) {
    let given = loaded(rate, lasts);
    let targets: Vec<Target> = (0..3).map(|block| target(&given, block)).collect();
    let addresses = targets.iter().map(|target| target.node.parse().unwrap()).collect();
    let fleet = Fleet { addresses, targets: true };
    let clock = Clock::default();
    let path = std::path::Path::new("load.xml");
    let made = Run { path, loaded: &given, fleet: &fleet, clock, record: None, every: 1.0 };
    let start = clock.now() + 0.5;
    let busy = || {
        let text = std::fs::read_to_string("/proc/thread-self/stat").unwrap_or_default();
        let after = text.rsplit(')').next().unwrap_or("").to_string();
        let fields: Vec<f64> = after.split_whitespace().filter_map(|field| field.parse().ok()).collect();
        // utime and stime stand 11 and 12 fields after the state, in hundredths of a second.
        fields.get(10).zip(fields.get(11)).map_or(0.0, |(user, system)| (user + system) / 100.0)
    };
    let before = busy();
    let (outcome, _) = run(made, Place { part: 0, of: 1, start }, std::future::pending(), |_| {}).unwrap();
    let busy = busy() - before;
    let cell = outcome.cell(Key::new(Kind::All, 0)).unwrap();
    let ms =
        |histogram: &quaypath_load::account::Latencies, q: f64| histogram.value_at_quantile(q) as f64 / 1e3;
    println!(
        "sockets at {rate:.0} a second for {lasts} s: {} offered, {} settled; lag p50 {:.3} ms, p99 {:.3} ms, most {:.1} \
         ms; latency p50 {:.3} ms, p99 {:.3} ms; generator's core {:.0}% busy; {}",
        cell.counts.offered,
        cell.counts.settled(),
        ms(&cell.lag, 0.5),
        ms(&cell.lag, 0.99),
        ms(&cell.lag, 1.0),
        ms(&cell.meant, 0.5),
        ms(&cell.meant, 0.99),
        busy / (lasts + 0.5) * 100.0,
        match outcome.verdict().unwrap() {
            Verdict::Brought => "brought as meant".to_string(),
            Verdict::Limited(why) => format!("LIMITED: {why}"),
        }
    );
}

fn main() {
    own_cost();
    for rate in [1_300.0, 10_000.0, 50_000.0] {
        on_sockets(rate, 10.0);
    }
}
