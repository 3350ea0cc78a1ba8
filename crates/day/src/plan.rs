//! What a day will bring, planned ahead: the same for the same file whatever the timing.

use std::collections::BTreeSet;

use quaypath_settings::{Day, Deployment, FaultKind, LinkEnd, Surge};
use quaypath_standins::client::PlannedTransaction;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, Geometric};

/// Extents of a volume that the clients use, for each node of it.
const EXTENTS: u64 = 4;
/// Share of a volume's transactions that its leading gateway gets, and how long one leads, seconds.
const LEAD: f64 = 0.5;
const LEADS_FOR: f64 = 10.0;

fn surges(day: &Day, at: f64) -> impl Iterator<Item = &Surge> {
    day.traffic.surge.iter().filter(move |surge| (surge.at..surge.at + surge.lasts).contains(&at))
}

/// Every client's first try, in order of time.
pub fn traffic(day: &Day, deployment: &Deployment) -> Vec<PlannedTransaction> {
    let mut chance = SmallRng::seed_from_u64(day.seed);
    let shares = day.shares(deployment);
    let volumes: Vec<_> = deployment.volumes.iter().collect();
    let sized: f64 = volumes.iter().map(|(_, volume)| deployment.nominal[volume.plan]).sum();
    let weight = |at: f64, id: u32, plan: usize| {
        let own = surges(day, at).filter(|surge| {
            surge.volume.is_none_or(|volume| volume == id)
                && surge.plan.as_ref().is_none_or(|name| *name == deployment.plan_names[plan])
        });
        deployment.nominal[plan] / sized * own.map(|surge| surge.times).product::<f64>()
    };
    let most: f64 = 1.0 + day.traffic.surge.iter().map(|surge| surge.times).sum::<f64>();
    let gap = Exp::new(day.traffic.rate * most).expect("a rate above 0");
    let units = Geometric::new(1.0 / deployment.core.mean_units.max(1.0)).expect("a mean of 1 or more");
    let gateways = day.fleet.gateways;
    let (mut asks, mut at) = (Vec::new(), 0.0);
    loop {
        at += gap.sample(&mut chance);
        if at >= day.lasts {
            return asks;
        }
        // Thinned from the highest rate there can be: one draw decides whether there is an arrival, and whose.
        let mut draw = chance.random::<f64>() * most;
        let found = volumes.iter().find(|(id, volume)| {
            draw -= weight(at, **id, volume.plan);
            draw < 0.0
        });
        let Some((id, volume)) = found else { continue };
        let mut draw = chance.random::<f64>();
        let band = shares.iter().position(|part| {
            draw -= part;
            draw < 0.0
        });
        let band = band.unwrap_or(shares.len() - 1);
        let initiators = volume.initiators.min(gateways);
        let changes = day.traffic.lead_change.iter().filter(|change| {
            // A volume's draw, the same at every look.
            let draw = f64::from(id.wrapping_mul(2_654_435_761) >> 8) / f64::from(1 << 24);
            change.at <= at && draw < change.part
        });
        let leads = (at / LEADS_FOR) as u32 + changes.count() as u32;
        let nth = if chance.random::<f64>() < LEAD { leads } else { chance.random_range(0..initiators) };
        let extent = chance.random_range(0..EXTENTS * volume.blocks.len() as u64);
        let due = deployment.core.bands[band].due;
        let leave = day.traffic.leave.iter().find(|leave| (leave.at..leave.at + leave.lasts).contains(&at));
        let leaves = leave.filter(|leave| chance.random::<f64>() < leave.part).map(|leave| leave.after * due);
        asks.push(PlannedTransaction {
            starts_at: at,
            gateway: (**id * 5 + nth % initiators) % gateways,
            volume: **id,
            band,
            units: (units.sample(&mut chance) as u32 + 1).min(deployment.max_units),
            key: extent as u32 + 1,
            slba: extent * deployment.extent_blocks,
            blocks: 8.min(deployment.extent_blocks as u32),
            initiators,
            budget: deployment.outer_limits[band],
            cancel_after: leaves,
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

/// One step of the day's script.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A fault of a node begins or ends; by block.
    Node {
        kind: FaultKind,
        block: i64,
        size: f64,
        begins: bool,
    },
    /// Listed as draining.
    Drain {
        block: i64,
    },
    KillNode {
        block: i64,
    },
    /// A cold node for this block comes up.
    Replace {
        block: i64,
    },
    /// Killed, and up again cold under the same address after so many seconds.
    Restart {
        block: i64,
        after: f64,
    },
    KillGateway {
        number: u32,
    },
    StartGateway {
        number: u32,
    },
    StopGateway {
        number: u32,
    },
    ContinueGateway {
        number: u32,
    },
    Register {
        kind: FaultKind,
        size: f64,
        begins: bool,
    },
    /// What a gateway kept on disk is gone.
    ForgetGateway {
        number: u32,
    },
    /// A second process under a gateway's number starts, or is killed.
    Twin {
        number: u32,
        begins: bool,
    },
    /// The clock of a gateway runs at this rate from now on; that of the wall after a step forward.
    Clock {
        number: u32,
        rate: f64,
        step: f64,
        begins: bool,
    },
    /// How a gateway signals from now on: well, or in the way of this fault.
    Manner {
        kind: FaultKind,
        number: u32,
        begins: bool,
    },
    /// A gateway's writes and renames stand still.
    Disk {
        number: u32,
        lasts: f64,
    },
    Link {
        kind: FaultKind,
        from: BTreeSet<LinkEnd>,
        to: BTreeSet<LinkEnd>,
        size: f64,
        begins: bool,
    },
}

/// The day's troubles in order of time, drawn by its seed.
pub fn script(day: &Day, deployment: &Deployment) -> Vec<(f64, Action)> {
    let mut chance = SmallRng::seed_from_u64(day.seed ^ 0x5eed);
    let mut acts = Vec::new();
    let mut pick = |count: u32, part: f64, one: Option<u32>| -> Vec<u32> {
        if let Some(one) = one {
            return vec![one % count];
        }
        let mut all: Vec<u32> = (0..count).collect();
        all.shuffle(&mut chance);
        all.truncate((f64::from(count) * part).round().max(1.0) as usize);
        all
    };
    for fault in &day.fault {
        let (at, ends) = (fault.at, fault.at + fault.lasts);
        let (kind, size) = (fault.kind, fault.size);
        match kind {
            FaultKind::RegisterFails | FaultKind::RegisterLate => {
                acts.push((at, Action::Register { kind, size, begins: true }));
                acts.push((ends, Action::Register { kind, size, begins: false }));
            }
            FaultKind::LateReports => {
                for block in 0..i64::from(day.fleet.nodes) {
                    acts.push((at, Action::Node { kind, block, size, begins: true }));
                    acts.push((ends, Action::Node { kind, block, size, begins: false }));
                }
            }
            FaultKind::Neighbour => {
                for block in pick(day.fleet.nodes, fault.part, fault.node) {
                    let (block, mut from) = (i64::from(block), at);
                    while from < ends {
                        acts.push((from, Action::Node { kind, block, size, begins: true }));
                        acts.push((
                            (from + 2.0).min(ends),
                            Action::Node { kind, block, size, begins: false },
                        ));
                        from += 4.0;
                    }
                }
            }
            kind if kind.affects_links() => {
                // Checked when the day was loaded.
                let Ok((from, to)) = day.link_ends(deployment, fault) else { continue };
                let link = |begins| Action::Link { kind, from: from.clone(), to: to.clone(), size, begins };
                acts.push((at, link(true)));
                acts.push((ends, link(false)));
            }
            FaultKind::Stop => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::StopGateway { number }));
                    acts.push((ends, Action::ContinueGateway { number }));
                }
            }
            FaultKind::Forget => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::KillGateway { number }));
                    acts.push((at, Action::ForgetGateway { number }));
                    acts.push((at + fault.returns, Action::StartGateway { number }));
                }
            }
            FaultKind::Twins => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::Twin { number, begins: true }));
                    acts.push((ends, Action::Twin { number, begins: false }));
                }
            }
            FaultKind::Clock | FaultKind::ClockStep => {
                let steps = kind == FaultKind::ClockStep;
                let (rate, step) = if steps { (1.0, size) } else { (size, 0.0) };
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::Clock { number, rate, step, begins: true }));
                    acts.push((ends, Action::Clock { number, rate: 1.0, step: 0.0, begins: false }));
                }
            }
            FaultKind::Shouts | FaultKind::StaleNews => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::Manner { kind, number, begins: true }));
                    acts.push((ends, Action::Manner { kind, number, begins: false }));
                }
            }
            FaultKind::DiskStands => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    acts.push((at, Action::Disk { number, lasts: fault.lasts }));
                }
            }
            FaultKind::KillInitiators => {
                let picked = pick(day.fleet.gateways, fault.part, fault.node);
                // Spread over the span, so that some are back before others go.
                for (nth, number) in picked.iter().enumerate() {
                    let at = at + fault.lasts * nth as f64 / picked.len() as f64;
                    acts.push((at, Action::KillGateway { number: *number }));
                    acts.push((at + fault.returns, Action::StartGateway { number: *number }));
                }
            }
            FaultKind::StallInitiators => {
                for number in pick(day.fleet.gateways, fault.part, fault.node) {
                    let mut from = at;
                    while from + size <= ends + 1e-9 {
                        acts.push((from, Action::StopGateway { number }));
                        acts.push((from + size, Action::ContinueGateway { number }));
                        from += size + 2.0;
                    }
                }
            }
            FaultKind::SameAddress => {
                for block in pick(day.fleet.nodes, fault.part, fault.node) {
                    let block = i64::from(block);
                    acts.push((at, Action::Restart { block, after: fault.returns }));
                }
            }
            FaultKind::Drain | FaultKind::Replace => {
                let picked = pick(day.fleet.nodes, fault.part, fault.node);
                let waves = fault.waves.max(1) as usize;
                for (nth, block) in picked.iter().enumerate() {
                    let block = i64::from(*block);
                    let wave = nth * waves / picked.len();
                    let at = at + fault.lasts * wave as f64 / waves as f64;
                    let dies = if kind == FaultKind::Drain { at + size } else { at };
                    if kind == FaultKind::Drain {
                        acts.push((at, Action::Drain { block }));
                    }
                    acts.push((dies, Action::KillNode { block }));
                    acts.push((dies + fault.returns, Action::Replace { block }));
                }
            }
            _ => {
                for block in pick(day.fleet.nodes, fault.part, fault.node) {
                    let block = i64::from(block);
                    acts.push((at, Action::Node { kind, block, size, begins: true }));
                    acts.push((ends, Action::Node { kind, block, size, begins: false }));
                }
            }
        }
    }
    acts.sort_by(|one, other| one.0.total_cmp(&other.0));
    acts
}

/// A day of the same fleet and traffic, with troubles drawn by a seed: three to six, overlapping, of every kind.
/// Where initiators talk, links and processes of the fleet get their own.
pub fn random_day(day: &Day, talks: bool, seed: u64, lasts: f64) -> Day {
    use FaultKind::*;
    let mut chance = SmallRng::seed_from_u64(seed ^ 0x0057_0123);
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
    let mut fault = Vec::new();
    let talks = if talks {
        &[Stop, Forget, Cut, OneWay, Hole, Delay, Lose, Repeat, Reorder, Garble, Clock, Shouts, StaleNews][..]
    } else {
        &[]
    };
    let kinds: Vec<_> = kinds.iter().chain(talks).chain(talks).copied().collect();
    for _ in 0..chance.random_range(3..=6) {
        let kind = kinds[chance.random_range(0..kinds.len())];
        let at = chance.random_range(0.3..0.5 * lasts);
        let rest = lasts - at;
        let size = match kind {
            Slow => chance.random_range(2.0..6.0),
            Pauses => chance.random_range(0.05..0.5),
            FastErrors | LostAnswers => chance.random_range(0.1..0.8),
            Resets => chance.random_range(0.5..5.0),
            Drain => chance.random_range(0.2..0.6 * rest),
            StallInitiators => chance.random_range(0.1..0.6),
            RegisterLate => chance.random_range(0.5..3.0),
            HeavyTail => chance.random_range(0.01..0.1),
            Neighbour => chance.random_range(0.3..0.75),
            Rogue => chance.random_range(0.002..0.05),
            Delay => chance.random_range(0.002..0.08),
            Lose | Repeat | Reorder => chance.random_range(0.05..0.3),
            Garble => chance.random_range(0.01..0.1),
            // Fast, never slow: who is slow answers late by its own clock.
            Clock => chance.random_range(1.0..1.05),
            _ => 0.0,
        };
        // A side of some gateways against the others; datagrams only, as the nodes' links are their own faults'.
        let side = chance.random_range(1..day.fleet.gateways.max(2));
        let (from, to) = match kind {
            kind if !kind.affects_links() => (String::new(), String::new()),
            Cut | OneWay | Hole => {
                (format!("0-{}", side - 1), format!("{side}-{}", day.fleet.gateways.max(2) - 1))
            }
            _ => ("gateways".into(), "gateways".into()),
        };
        fault.push(quaypath_settings::Fault {
            kind,
            at,
            lasts: if kind == Replace { 0.0 } else { rest * chance.random_range(0.2..0.8) },
            part: if kind.affects_links() { 0.0 } else { chance.random_range(0.1..0.5) },
            node: None,
            from,
            to,
            size,
            waves: chance.random_range(1..4),
            returns: chance.random_range(0.3..0.3 * lasts),
        });
    }
    let mut storm = day.clone();
    (storm.seed, storm.lasts, storm.fault) = (seed, lasts, fault);
    // What the file places in time is past the end of a shorter day.
    // Hot volumes stay hot.
    storm.traffic.surge.retain(|surge| surge.volume.is_some());
    storm.traffic.surge.iter_mut().for_each(|surge| (surge.at, surge.lasts) = (0.0, lasts));
    storm.traffic.leave = Vec::new();
    storm.traffic.surge.push(Surge {
        at: 0.2 * lasts,
        lasts: 0.4 * lasts,
        times: chance.random_range(1.5..4.0),
        plan: None,
        volume: None,
    });
    storm.traffic.leave.push(quaypath_settings::Leave {
        at: 0.3 * lasts,
        lasts: 0.3 * lasts,
        part: chance.random_range(0.1..0.6),
        after: chance.random_range(0.1..0.9),
    });
    storm
}
