//! Plans the traffic and the faults of a day in advance. The plan depends only on the settings and the seed of the day, not
//! on the timing of the run.

use std::collections::BTreeSet;

use quaypath_settings::{Day, Deployment, FaultKind, LinkEnd, Surge};
use quaypath_standins::client::PlannedTransaction;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Geometric};

/// Number of extents of a volume that the clients use, for each block of the volume.
const EXTENTS_PER_BLOCK: u64 = 4;
/// Fraction of the transactions of a volume that go to its leading gateway.
const LEADER_SHARE: f64 = 0.5;
/// Time after which the next gateway leads, seconds.
const LEADER_PERIOD: f64 = 10.0;

/// Surges of the traffic that are active at `at`, in seconds from the start of the day.
fn active_surges(day: &Day, at: f64) -> impl Iterator<Item = &Surge> {
    day.traffic.surge.iter().filter(move |surge| (surge.at..surge.at + surge.lasts).contains(&at))
}

/// The first try of every transaction of the clients, in order of time.
pub fn traffic(day: &Day, deployment: &Deployment) -> Vec<PlannedTransaction> {
    let mut rng = SmallRng::seed_from_u64(day.seed);
    let shares = day.shares(deployment);
    let volumes: Vec<_> = deployment.volumes.iter().collect();
    let total_nominal: f64 = volumes.iter().map(|(_, volume)| deployment.nominal[volume.plan]).sum();
    let arrival_weight = |at: f64, id: u32, plan: usize| {
        let applicable = active_surges(day, at).filter(|surge| {
            surge.volume.is_none_or(|volume| volume == id)
                && surge.plan.as_ref().is_none_or(|name| *name == deployment.plan_names[plan])
        });
        deployment.nominal[plan] / total_nominal * applicable.map(|surge| surge.times).product::<f64>()
    };
    let max_factor: f64 = 1.0 + day.traffic.surge.iter().map(|surge| surge.times).sum::<f64>();
    let interarrival = Exp::new(day.traffic.rate * max_factor).expect("the rate of the traffic is above 0");
    let units = Geometric::new(1.0 / deployment.core.mean_units.max(1.0))
        .expect("the mean number of units is at least 1");
    let gateways = day.fleet.gateways;
    let (mut requests, mut at) = (Vec::new(), 0.0);
    loop {
        at += interarrival.sample(&mut rng);
        if at >= day.lasts {
            return requests;
        }
        // Thinning: candidates come at the highest possible rate. One draw decides whether a candidate is an arrival and for
        // which volume.
        let mut draw = rng.random::<f64>() * max_factor;
        let drawn = volumes.iter().find(|(id, volume)| {
            draw -= arrival_weight(at, **id, volume.plan);
            draw < 0.0
        });
        let Some((id, volume)) = drawn else { continue };
        let mut draw = rng.random::<f64>();
        let band = shares.iter().position(|share| {
            draw -= share;
            draw < 0.0
        });
        let band = band.unwrap_or(shares.len() - 1);
        let initiators = volume.initiators.min(gateways);
        let changes = day.traffic.lead_change.iter().filter(|change| {
            // A pseudo-random number that depends only on the volume, so that it is the same for every arrival.
            let draw = f64::from(id.wrapping_mul(2_654_435_761) >> 8) / f64::from(1 << 24);
            change.at <= at && draw < change.part
        });
        let leader = (at / LEADER_PERIOD) as u32 + changes.count() as u32;
        let initiator =
            if rng.random::<f64>() < LEADER_SHARE { leader } else { rng.random_range(0..initiators) };
        let extent = rng.random_range(0..EXTENTS_PER_BLOCK * volume.blocks.len() as u64);
        let due = deployment.core.bands[band].due;
        let cancellation =
            day.traffic.leave.iter().find(|leave| (leave.at..leave.at + leave.lasts).contains(&at));
        let cancel_after =
            cancellation.filter(|leave| rng.random::<f64>() < leave.part).map(|leave| leave.after * due);
        requests.push(PlannedTransaction {
            starts_at: at,
            gateway: (**id * 5 + initiator % initiators) % gateways,
            volume: **id,
            band,
            units: (units.sample(&mut rng) as u32 + 1).min(deployment.max_units),
            key: extent as u32 + 1,
            slba: extent * deployment.extent_blocks,
            blocks: 8.min(deployment.extent_blocks as u32),
            initiators,
            budget: deployment.outer_limits[band],
            cancel_after,
            retry_override: day
                .traffic
                .abuse
                .iter()
                .find(|abuse| {
                    let plan = &deployment.plan_names[volume.plan];
                    (abuse.at..abuse.at + abuse.lasts).contains(&at) && abuse.plan == *plan
                })
                .map(|abuse| (abuse.retries, abuse.wait)),
        });
    }
}

/// One step of the script of a day. Nodes are identified by the block that they hold, gateways by their number. `begins`
/// says whether a fault begins or ends; `size` is the size of the fault in the unit of its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begins or ends a fault of a node.
    Node { kind: FaultKind, block: i64, size: f64, begins: bool },
    /// Lists a node as draining.
    Drain { block: i64 },
    /// Removes a node from the list and stops it.
    KillNode { block: i64 },
    /// Starts a cold node for this block.
    Replace { block: i64 },
    /// Stops a node and starts it again, cold and at the same address, after `after` seconds.
    Restart { block: i64, after: f64 },
    /// Kills the process of a gateway.
    KillGateway { number: u32 },
    /// Starts the process of a gateway that was killed.
    StartGateway { number: u32 },
    /// Suspends the process of a gateway (SIGSTOP).
    StopGateway { number: u32 },
    /// Resumes the process of a gateway (SIGCONT).
    ContinueGateway { number: u32 },
    /// Begins or ends a fault of the node register.
    Register { kind: FaultKind, size: f64, begins: bool },
    /// Deletes the node list that a gateway stored on disk.
    ForgetGateway { number: u32 },
    /// Starts or kills a duplicate process: a second one with the number of a gateway.
    Twin { number: u32, begins: bool },
    /// Makes the clocks of a gateway run at `rate`, and moves its wall clock forward by `step` seconds.
    Clock { number: u32, rate: f64, step: f64, begins: bool },
    /// Makes a gateway send signals correctly or with this fault.
    Manner { kind: FaultKind, number: u32, begins: bool },
    /// Stalls the writes and renames of a gateway for `lasts` seconds.
    Disk { number: u32, lasts: f64 },
    /// Begins or ends a fault of the links from each end in `from` to each end in `to`.
    Link { kind: FaultKind, from: BTreeSet<LinkEnd>, to: BTreeSet<LinkEnd>, size: f64, begins: bool },
}

/// The steps of the faults of a day in order of time, in seconds from its start. The seed of the day selects the nodes and
/// gateways that each fault concerns.
pub fn script(day: &Day, deployment: &Deployment) -> Vec<(f64, Action)> {
    let mut rng = SmallRng::seed_from_u64(day.seed ^ 0x5eed);
    let mut actions = Vec::new();
    let mut select = |count: u32, part: f64, fixed: Option<u32>| -> Vec<u32> {
        if let Some(fixed) = fixed {
            return vec![fixed % count];
        }
        let mut all: Vec<u32> = (0..count).collect();
        all.shuffle(&mut rng);
        all.truncate((f64::from(count) * part).round().max(1.0) as usize);
        all
    };
    for fault in &day.fault {
        let (begin, end) = (fault.at, fault.at + fault.lasts);
        let (kind, size) = (fault.kind, fault.size);
        match kind {
            FaultKind::RegisterFails | FaultKind::RegisterLate => {
                actions.push((begin, Action::Register { kind, size, begins: true }));
                actions.push((end, Action::Register { kind, size, begins: false }));
            }
            FaultKind::LateReports => {
                for block in 0..i64::from(day.fleet.nodes) {
                    actions.push((begin, Action::Node { kind, block, size, begins: true }));
                    actions.push((end, Action::Node { kind, block, size, begins: false }));
                }
            }
            FaultKind::Neighbour => {
                for block in select(day.fleet.nodes, fault.part, fault.node) {
                    let (block, mut from) = (i64::from(block), begin);
                    while from < end {
                        actions.push((from, Action::Node { kind, block, size, begins: true }));
                        actions
                            .push(((from + 2.0).min(end), Action::Node { kind, block, size, begins: false }));
                        from += 4.0;
                    }
                }
            }
            kind if kind.affects_links() => {
                // The link ends were validated when the day was loaded.
                let Ok((from, to)) = day.link_ends(deployment, fault) else { continue };
                let link_action =
                    |begins| Action::Link { kind, from: from.clone(), to: to.clone(), size, begins };
                actions.push((begin, link_action(true)));
                actions.push((end, link_action(false)));
            }
            FaultKind::Stop => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::StopGateway { number }));
                    actions.push((end, Action::ContinueGateway { number }));
                }
            }
            FaultKind::Forget => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::KillGateway { number }));
                    actions.push((begin, Action::ForgetGateway { number }));
                    actions.push((begin + fault.returns, Action::StartGateway { number }));
                }
            }
            FaultKind::Twins => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::Twin { number, begins: true }));
                    actions.push((end, Action::Twin { number, begins: false }));
                }
            }
            FaultKind::Clock | FaultKind::ClockStep => {
                let is_step = kind == FaultKind::ClockStep;
                let (rate, step) = if is_step { (1.0, size) } else { (size, 0.0) };
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::Clock { number, rate, step, begins: true }));
                    actions.push((end, Action::Clock { number, rate: 1.0, step: 0.0, begins: false }));
                }
            }
            FaultKind::Shouts | FaultKind::StaleNews => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::Manner { kind, number, begins: true }));
                    actions.push((end, Action::Manner { kind, number, begins: false }));
                }
            }
            FaultKind::DiskStands => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    actions.push((begin, Action::Disk { number, lasts: fault.lasts }));
                }
            }
            FaultKind::KillInitiators => {
                let selected = select(day.fleet.gateways, fault.part, fault.node);
                // The kills are spread over the duration of the fault, so that some gateways are running again before others
                // are killed.
                for (index, number) in selected.iter().enumerate() {
                    let killed_at = begin + fault.lasts * index as f64 / selected.len() as f64;
                    actions.push((killed_at, Action::KillGateway { number: *number }));
                    actions.push((killed_at + fault.returns, Action::StartGateway { number: *number }));
                }
            }
            FaultKind::StallInitiators => {
                for number in select(day.fleet.gateways, fault.part, fault.node) {
                    let mut from = begin;
                    while from + size <= end + 1e-9 {
                        actions.push((from, Action::StopGateway { number }));
                        actions.push((from + size, Action::ContinueGateway { number }));
                        from += size + 2.0;
                    }
                }
            }
            FaultKind::SameAddress => {
                for block in select(day.fleet.nodes, fault.part, fault.node) {
                    let block = i64::from(block);
                    actions.push((begin, Action::Restart { block, after: fault.returns }));
                }
            }
            FaultKind::Drain | FaultKind::Replace => {
                let selected = select(day.fleet.nodes, fault.part, fault.node);
                let waves = fault.waves.max(1) as usize;
                for (index, block) in selected.iter().enumerate() {
                    let block = i64::from(*block);
                    let wave = index * waves / selected.len();
                    let wave_begin = begin + fault.lasts * wave as f64 / waves as f64;
                    let killed_at = if kind == FaultKind::Drain { wave_begin + size } else { wave_begin };
                    if kind == FaultKind::Drain {
                        actions.push((wave_begin, Action::Drain { block }));
                    }
                    actions.push((killed_at, Action::KillNode { block }));
                    actions.push((killed_at + fault.returns, Action::Replace { block }));
                }
            }
            _ => {
                for block in select(day.fleet.nodes, fault.part, fault.node) {
                    let block = i64::from(block);
                    actions.push((begin, Action::Node { kind, block, size, begins: true }));
                    actions.push((end, Action::Node { kind, block, size, begins: false }));
                }
            }
        }
    }
    actions.sort_by(|left, right| left.0.total_cmp(&right.0));
    actions
}

/// A day of `lasts` seconds with the fleet and the traffic of `day`, and with three to six overlapping faults of any kind
/// that are drawn at random from `seed`. With `has_fleet`, faults of the links and processes of a fleet are drawn too, at
/// twice the weight of the others.
pub fn random_day(day: &Day, has_fleet: bool, seed: u64, lasts: f64) -> Day {
    use FaultKind::*;
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0057_0123);
    let kinds = [
        Slow,
        Pauses,
        FastErrors,
        LostAnswers,
        Resets,
        Refused,
        Replace,
        Drain,
        Partition,
        KillInitiators,
        StallInitiators,
        RegisterFails,
        RegisterLate,
        HeavyTail,
        Neighbour,
        Rogue,
        SameAddress,
    ];
    let mut faults = Vec::new();
    let fleet_kinds = if has_fleet {
        &[Stop, Forget, Cut, OneWay, Hole, Delay, Lose, Repeat, Reorder, Garble, Clock, Shouts, StaleNews][..]
    } else {
        &[]
    };
    let kinds: Vec<_> = kinds.iter().chain(fleet_kinds).chain(fleet_kinds).copied().collect();
    for _ in 0..rng.random_range(3..=6) {
        let kind = kinds[rng.random_range(0..kinds.len())];
        let at = rng.random_range(0.3..0.5 * lasts);
        let remaining = lasts - at;
        let size = match kind {
            Slow => rng.random_range(2.0..6.0),
            Pauses => rng.random_range(0.05..0.5),
            FastErrors | LostAnswers => rng.random_range(0.1..0.8),
            Resets => rng.random_range(0.5..5.0),
            Drain => rng.random_range(0.2..0.6 * remaining),
            StallInitiators => rng.random_range(0.1..0.6),
            RegisterLate => rng.random_range(0.5..3.0),
            HeavyTail => rng.random_range(0.01..0.1),
            Neighbour => rng.random_range(0.3..0.75),
            Rogue => rng.random_range(0.002..0.05),
            Delay => rng.random_range(0.002..0.08),
            Lose | Repeat | Reorder => rng.random_range(0.05..0.3),
            Garble => rng.random_range(0.01..0.1),
            // The clock only runs fast: a gateway with a slow clock would answer late while it is on time by its own clock.
            Clock => rng.random_range(1.0..1.05),
            _ => 0.0,
        };
        // Cuts separate the first gateways from the others. Only links between gateways are affected, because the links of
        // the nodes have faults of their own.
        let split = rng.random_range(1..day.fleet.gateways.max(2));
        let (from, to) = match kind {
            kind if !kind.affects_links() => (String::new(), String::new()),
            Cut | OneWay | Hole => {
                (format!("0-{}", split - 1), format!("{split}-{}", day.fleet.gateways.max(2) - 1))
            }
            _ => ("gateways".into(), "gateways".into()),
        };
        faults.push(quaypath_settings::Fault {
            kind,
            at,
            lasts: if kind == Replace { 0.0 } else { remaining * rng.random_range(0.2..0.8) },
            part: if kind.affects_links() { 0.0 } else { rng.random_range(0.1..0.5) },
            node: None,
            from,
            to,
            size,
            waves: rng.random_range(1..4),
            returns: rng.random_range(0.3..0.3 * lasts),
        });
    }
    let mut random_day = day.clone();
    (random_day.seed, random_day.lasts, random_day.fault) = (seed, lasts, faults);
    // The times in the file may lie beyond the end of a shorter day. Surges of single volumes therefore last the whole day,
    // and all other surges and the cancellations are replaced by random ones.
    random_day.traffic.surge.retain(|surge| surge.volume.is_some());
    random_day.traffic.surge.iter_mut().for_each(|surge| (surge.at, surge.lasts) = (0.0, lasts));
    random_day.traffic.leave = Vec::new();
    random_day.traffic.surge.push(Surge {
        at: 0.2 * lasts,
        lasts: 0.4 * lasts,
        times: rng.random_range(1.5..4.0),
        plan: None,
        volume: None,
    });
    random_day.traffic.leave.push(quaypath_settings::Leave {
        at: 0.3 * lasts,
        lasts: 0.3 * lasts,
        part: rng.random_range(0.1..0.6),
        after: rng.random_range(0.1..0.9),
    });
    random_day
}
