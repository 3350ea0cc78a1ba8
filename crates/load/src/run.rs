//! One run from settings to result: alone, or as one part of several.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;

use quaypath_record::{Clock, Writer};
use quaypath_settings::{Deployment, Load, Loaded};
use xxhash_rust::xxh3::xxh3_64;

use crate::generator::Generator;
use crate::net::{self, Glimpse};
use crate::parts::Hello;
use crate::recorded::{OwnRecord, Replay, Rows};
use crate::result::{Meta, Outcome};
use crate::schedule::{part_of, Arrival, Part, Peers, Schedule, Source};

/// Where the load goes.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Fleet {
    /// In order of number, or of block.
    pub addresses: Vec<SocketAddr>,
    /// They are targets, with nothing between.
    pub targets: bool,
}

impl Fleet {
    /// Reads lines of `gateway NUMBER ADDRESS` or `target BLOCK ADDRESS`, one kind only; others are passed over.
    pub fn parse(text: &str) -> Result<Fleet, String> {
        let mut found: BTreeMap<u32, SocketAddr> = BTreeMap::new();
        let mut kinds = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split_whitespace().collect();
            let [kind @ ("gateway" | "target"), number, address] = words[..] else { continue };
            let place = format!("line {}", at + 1);
            let number = number.parse().map_err(|_| format!("{place}: '{number}' is not a number"))?;
            let address =
                address.parse().map_err(|_| format!("{place}: '{address}' is not an address and port"))?;
            if found.insert(number, address).is_some() {
                return Err(format!("{place}: {kind} {number} is there twice"));
            }
            kinds.push(kind);
        }
        kinds.dedup();
        match kinds[..] {
            [kind] => Ok(Fleet { addresses: found.into_values().collect(), targets: kind == "target" }),
            [] => Err("no line of 'gateway NUMBER ADDRESS' or 'target BLOCK ADDRESS'".into()),
            _ => Err("gateways and targets are not loaded together".into()),
        }
    }

    pub fn peers(&self) -> Peers {
        let count = self.addresses.len() as u32;
        if self.targets {
            Peers::Targets(count)
        } else {
            Peers::Gateways(count)
        }
    }

    fn words(&self) -> String {
        format!("{} {}", self.addresses.len(), if self.targets { "targets" } else { "gateways" })
    }
}

/// A drawn or recorded stream.
pub enum Stream {
    Drawn(Box<Schedule>),
    Recorded(Box<Replay<OwnRecord>>),
}

impl Source for Stream {
    fn next(&mut self) -> Result<Option<Arrival>, String> {
        match self {
            Stream::Drawn(schedule) => schedule.next(),
            Stream::Recorded(replay) => replay.next(),
        }
    }

    fn drawn(&mut self, at: f64) -> Option<Arrival> {
        match self {
            Stream::Drawn(schedule) => schedule.drawn(at),
            Stream::Recorded(_) => None,
        }
    }
}

/// The load's stream towards these peers; `path` is its file, for a record that stands beside it.
pub fn stream(path: &Path, load: &Load, deployment: &Deployment, peers: Peers) -> Result<Stream, String> {
    match &load.recorded {
        None => Ok(Stream::Drawn(Box::new(Schedule::new(load, deployment, peers)?))),
        Some(form) => {
            let file = path.parent().unwrap_or(Path::new("")).join(&form.file);
            let replay = Replay::new(OwnRecord::open(&file)?, form, deployment, peers);
            Ok(Stream::Recorded(Box::new(replay)))
        }
    }
}

/// What both sides of a load of several parts must agree on.
pub fn hello(loaded: &Loaded) -> Hello {
    let text = format!("{}\0{}", loaded.text, loaded.deployment_text);
    Hello { version: env!("CARGO_PKG_VERSION").into(), digest: xxh3_64(text.as_bytes()) }
}

pub fn meta(loaded: &Loaded, fleet: &Fleet, parts: u32, started: f64) -> Meta {
    let (load, deployment) = (&loaded.load, &loaded.deployment);
    let weight = |volume: &quaypath_settings::Volume| deployment.core.plans[volume.plan].weight;
    let all: f64 = deployment.volumes.values().map(weight).sum();
    let weights = (0..deployment.plan_names.len()).map(|plan| {
        let own = deployment.volumes.values().filter(|volume| volume.plan == plan);
        own.map(weight).sum::<f64>() / all.max(f64::MIN_POSITIVE)
    });
    let arrivals = match (&load.open, &load.closed, &load.recorded) {
        (Some(open), ..) => format!("open loop, {:?}, {} a second", open.process, open.rate),
        (_, Some(closed), _) => {
            format!("CLOSED loop, {} clients, {} s of thought: hides waits", closed.clients, closed.think)
        }
        (.., Some(recorded)) => format!("open loop, recorded, {} times as fast", recorded.speed),
        _ => String::new(),
    };
    Meta {
        name: load.name.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
        seed: load.seed,
        settings: loaded.text.clone(),
        deployment: loaded.deployment_text.clone(),
        arrivals,
        peers: fleet.words(),
        bands: deployment.band_names.clone(),
        due: deployment.core.bands.iter().map(|band| band.due).collect(),
        plans: deployment.plan_names.clone(),
        weights: weights.collect(),
        groups: load.group.iter().map(|group| group.name.clone()).collect(),
        volumes: deployment.volumes.iter().map(|(id, volume)| (*id, volume.plan as u32)).collect(),
        interval: load.interval,
        warm_up: load.warm_up,
        lasts: load.lasts,
        lag: load.bounds.lag,
        started,
        ended_early: None,
        parts,
        missing: Vec::new(),
    }
}

/// Which of how many generators this is, and when second 0 is on its clock.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub part: u32,
    pub of: u32,
    pub start: f64,
}

/// What a run is made with besides its load.
pub struct Run<'a> {
    /// The load's file.
    pub path: &'a Path,
    pub loaded: &'a Loaded,
    pub fleet: &'a Fleet,
    pub clock: Clock,
    pub record: Option<Writer>,
    /// Seconds between two glimpses.
    pub every: f64,
}

/// Brings one part of the load to the fleet, until it is through or `stop` comes.
pub fn run(
    given: Run<'_>, place: Place, stop: impl Future<Output = ()>, glimpse: impl Fn(Glimpse) + 'static,
) -> Result<(Outcome, Option<Rows>), String> {
    let (load, deployment) = (&given.loaded.load, &given.loaded.deployment);
    let source = stream(given.path, load, deployment, given.fleet.peers())?;
    let source = Part { source, part: place.part, of: place.of };
    let generator = Generator::new(load, deployment, source, place.start, place.of);
    let longest = deployment.max_outer_limit();
    let last = match &load.recorded {
        Some(_) => f64::INFINITY,
        None => place.start + load.lasts + longest * f64::from(1 + load.retries.min(3)) + 1.0,
    };
    let options = net::Options {
        peers: given.fleet.addresses.clone(),
        part: place.part,
        queues: load.bounds.queues,
        writes: deployment.writes.clone(),
        clock: given.clock,
        record: given.record,
        every: given.every,
    };
    let (generator, stopped) = net::run(options, generator, stop, glimpse, last);
    let mut meta = meta(given.loaded, given.fleet, place.of, place.start);
    meta.ended_early = generator.failed.clone();
    if stopped {
        let at = given.clock.now() - place.start;
        meta.ended_early = Some(format!("stopped after {:.1} s", at.max(0.0)));
    }
    let rows = match generator.source() {
        Part { source: Stream::Recorded(replay), .. } => Some(replay.rows.clone()),
        _ => None,
    };
    Ok((Outcome::of(meta, &generator.account), rows))
}

/// Arrivals of one part up to `until`, seconds: what is missing when it dies.
pub fn share(stream: Stream, part: u32, of: u32, from: f64, until: f64) -> Result<u64, String> {
    let mut stream = stream;
    let mut count = 0;
    while let Some(arrival) = stream.next()? {
        if arrival.at >= until {
            break;
        }
        count += u64::from(arrival.at >= from && part_of(arrival.volume, of) == part);
    }
    Ok(count)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn a_fleet() {
        let fleet = Fleet::parse("gateway 1 127.0.0.1:2\nready\ngateway 0 127.0.0.1:1\n").unwrap();
        assert_eq!(fleet.addresses[0].port(), 1);
        assert_eq!(fleet.peers(), Peers::Gateways(2));
    }

    #[test_case("", "no line"; "nothing")]
    #[test_case("gateway x 127.0.0.1:2", "line 1: 'x'"; "no number")]
    #[test_case("gateway 1 here", "'here'"; "no address")]
    #[test_case("gateway 1 127.0.0.1:2\ngateway 1 127.0.0.1:3", "line 2: gateway 1 is there twice"; "twice")]
    #[test_case("gateway 1 127.0.0.1:2\ntarget 2 127.0.0.1:3", "not loaded together"; "both")]
    fn no_fleet(text: &str, why: &str) {
        let found = Fleet::parse(text).unwrap_err();
        assert!(found.contains(why), "{found}");
    }
}
