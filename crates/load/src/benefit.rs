//! Benefit by the users' reckoning: for each volume and second, units in the reserve earn all, units in the weighted
//! share of what is spare earn a part, the rest a little, and nothing beyond the limit.

use std::collections::BTreeMap;

use quaypath_settings::{Benefit as Figures, Deployment};

/// What one volume may still earn in one second, units by worth.
#[derive(Clone, Copy, Debug)]
struct Left {
    reserve: f64,
    share: f64,
    limit: f64,
}

/// Worth of a volume's units, by its plan.
#[derive(Clone, Copy, Debug)]
struct Rates {
    reserve: f64,
    share: f64,
    /// Units a second over which nothing is earned; infinite without a limit.
    limit: f64,
    factor: f64,
}

/// Keeps the seconds that answers may still come for.
pub struct Reckoning {
    figures: Figures,
    volumes: BTreeMap<u32, Rates>,
    benefits: Vec<f64>,
    mean_units: f64,
    seconds: BTreeMap<(u64, u32), Left>,
}

impl Reckoning {
    pub fn new(figures: &Figures, deployment: &Deployment) -> Self {
        let weights: f64 =
            deployment.volumes.values().map(|volume| deployment.core.plans[volume.plan].weight).sum();
        let volumes = deployment.volumes.iter().map(|(id, volume)| {
            let plan = &deployment.core.plans[volume.plan];
            let share = figures.spare * plan.weight / weights.max(f64::MIN_POSITIVE);
            let limit = if plan.limit > 0.0 { plan.limit } else { f64::INFINITY };
            (*id, Rates { reserve: plan.reservation, share, limit, factor: plan.benefit_factor })
        });
        Reckoning {
            figures: figures.clone(),
            volumes: volumes.collect(),
            benefits: deployment.core.bands.iter().map(|band| band.benefit).collect(),
            mean_units: deployment.core.mean_units.max(1.0),
            seconds: BTreeMap::new(),
        }
    }

    /// What an operation asked at second `at` of the load earns, served in time or late. The units that are due
    /// are used up best first by what is served in time and worst first by what is late.
    pub fn earns(&mut self, at: f64, volume: u32, band: usize, units: u32, in_time: bool) -> f64 {
        let Some(rates) = self.volumes.get(&volume).copied() else { return 0.0 };
        let full = Left { reserve: rates.reserve, share: rates.share, limit: rates.limit };
        let left = self.seconds.entry((at.max(0.0) as u64, volume)).or_insert(full);
        let mut units = f64::from(units).min(left.limit);
        left.limit -= units;
        let mut earned = 0.0;
        let mut use_up = |kept: &mut f64, worth: f64, units: &mut f64| {
            let taken = units.min(kept.max(0.0));
            *kept -= taken;
            *units -= taken;
            earned += taken * worth;
        };
        if in_time {
            use_up(&mut left.reserve, 1.0, &mut units);
            use_up(&mut left.share, self.figures.share, &mut units);
        }
        earned += units * self.figures.rest;
        let late = if in_time { 1.0 } else { self.figures.late };
        self.benefits[band] * rates.factor * earned * late / self.mean_units
    }

    /// Seconds before this are closed and let go.
    pub fn close(&mut self, before: f64) {
        self.seconds = self.seconds.split_off(&(before.max(0.0) as u64, 0));
    }

    pub fn held(&self) -> usize {
        self.seconds.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{load, Text};

    /// By hand: of gold's 12 reserved units a second, then its 4/17 of the spare 100, then the rest; benefit 3 times
    /// factor 1.5 over a mean of 2 units is 2.25 a unit.
    #[test]
    fn reserve_then_share_then_rest() {
        let loaded = load(&Text::default());
        let mut reckoning = Reckoning::new(loaded.load.benefit.as_ref().unwrap(), &loaded.deployment);
        let share = 100.0 * 4.0 / 17.0;
        let near =
            |found: f64, expected: f64| assert!((found - expected).abs() < 1e-9, "{found}, {expected}");
        near(reckoning.earns(3.2, 101, 0, 10, true), 10.0 * 2.25);
        near(reckoning.earns(3.4, 101, 0, 10, true), (2.0 + 8.0 * 0.3) * 2.25);
        near(reckoning.earns(3.6, 101, 0, 20, true), ((share - 8.0) * 0.3 + (28.0 - share) * 0.05) * 2.25);
        near(reckoning.earns(3.9, 101, 0, 4, true), 4.0 * 0.05 * 2.25);
        // The next second starts anew; a late answer takes the worst, and its part of that.
        near(reckoning.earns(4.0, 101, 0, 4, false), 4.0 * 0.05 * 0.15 * 2.25);
        near(reckoning.earns(4.5, 101, 0, 10, true), 10.0 * 2.25);
        reckoning.close(4.0);
        assert_eq!(reckoning.held(), 1);
    }

    /// Beyond a limit nothing is earned.
    #[test]
    fn nothing_beyond_the_limit() {
        let mut loaded = load(&Text::default());
        loaded.deployment.core.plans[0].limit = 5.0;
        let mut reckoning = Reckoning::new(loaded.load.benefit.as_ref().unwrap(), &loaded.deployment);
        let first = reckoning.earns(0.0, 1, 0, 6, true);
        assert!(first > 0.0);
        assert_eq!(reckoning.earns(0.5, 1, 0, 6, true), 0.0);
    }
}
