//! The search for the highest rate at which a bar holds: by doubling, then halving, with repeats against noise. Free
//! of clock and sockets; somebody else makes the trials.

use crate::stats::mean_of;

/// The bar and how far the search goes.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Part that must be in time.
    pub part: f64,
    /// First rate tried, and the highest, arrivals a second.
    pub from: f64,
    pub most: f64,
    /// The knee is told to this part of itself.
    pub precision: f64,
    /// Repeats at one rate: as few as tell, these at most.
    pub repeats: u32,
}

/// What came of one trial.
#[derive(Clone, Debug, PartialEq)]
pub enum Trial {
    /// Part that was in time.
    Part(f64),
    /// The generator was the limit, so the trial tells nothing of the gateways.
    Generator(String),
    /// No arrival of the kind that is asked about.
    Nothing,
}

/// What is known of one rate.
#[derive(Clone, Debug)]
pub struct Step {
    pub rate: f64,
    pub parts: Vec<f64>,
    pub holds: bool,
    /// The repeats' interval holds the bar: told by their mean only.
    pub noisy: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// Holds at the first, and not at the second any more.
    Between(f64, f64),
    /// Not even at the lowest rate tried.
    Below(f64),
    /// Still at the highest.
    Above(f64),
    /// The generator gave out at this rate; it held at the other, if at any.
    Generator {
        at: f64,
        held: Option<f64>,
        why: String,
    },
    Nothing,
}

#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Doubling,
    Halving,
    Ended(End),
}

/// Lowest rate that a search falls to, as a part of the first.
const LOWEST: f64 = 1.0 / 64.0;

pub struct Knee {
    bar: Bar,
    state: State,
    rate: f64,
    parts: Vec<f64>,
    holds: Option<f64>,
    fails: Option<f64>,
    pub steps: Vec<Step>,
}

impl Knee {
    pub fn new(bar: Bar) -> Self {
        let rate = bar.from.min(bar.most);
        let (parts, steps) = (Vec::new(), Vec::new());
        Knee { bar, state: State::Doubling, rate, parts, holds: None, fails: None, steps }
    }

    /// Rate of the next trial; nothing when it is over.
    pub fn next(&self) -> Option<f64> {
        (!matches!(self.state, State::Ended(_))).then_some(self.rate)
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    fn shift(&mut self, to: State) {
        self.state = to;
    }

    /// Takes the trial at the rate that was asked for.
    pub fn took(&mut self, trial: Trial) {
        let part = match trial {
            Trial::Part(part) => part,
            Trial::Nothing => return self.shift(State::Ended(End::Nothing)),
            Trial::Generator(why) => {
                return self.shift(State::Ended(End::Generator { at: self.rate, held: self.holds, why }));
            }
        };
        self.parts.push(part);
        let (mean, half) = mean_of(&self.parts);
        let enough = self.parts.len() as u32 >= self.bar.repeats;
        let bar = self.bar.part;
        let clear = mean - half > bar || mean + half < bar;
        // One trial far from the bar needs no second: noise between repeats does not come to half of what is left.
        let far = self.parts.len() == 1 && (part - bar).abs() > 0.5 * (1.0 - bar).max(0.02) && part < bar;
        if !(clear || far || enough) {
            return;
        }
        let (holds, noisy) = (mean >= bar, !clear && !far && self.bar.repeats > 1);
        let parts = std::mem::take(&mut self.parts);
        self.steps.push(Step { rate: self.rate, parts, holds, noisy });
        if holds {
            self.holds = Some(self.rate);
        } else {
            self.fails = Some(self.rate);
        }
        self.go_on();
    }

    fn go_on(&mut self) {
        match (self.holds, self.fails) {
            (Some(low), Some(high)) if (high - low) / high <= self.bar.precision => {
                self.shift(State::Ended(End::Between(low, high)));
            }
            (Some(low), Some(high)) => {
                self.shift(State::Halving);
                self.rate = (low + high) / 2.0;
            }
            (Some(low), None) if low >= self.bar.most => self.shift(State::Ended(End::Above(low))),
            (Some(low), None) => self.rate = (low * 2.0).min(self.bar.most),
            (None, Some(high)) if high <= self.bar.from * LOWEST => {
                self.shift(State::Ended(End::Below(high)));
            }
            (None, Some(high)) => self.rate = high / 2.0,
            (None, None) => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::SmallRng;
    use rand::{Rng, SeedableRng};
    use test_case::test_case;

    fn bar() -> Bar {
        Bar { part: 0.99, from: 100.0, most: 10_000.0, precision: 0.05, repeats: 5 }
    }

    /// A made-up gateway: all in time up to a knee, less and less beyond it, with noise.
    fn search(knee: f64, noise: f64, bar: Bar, seed: u64) -> (Knee, u32) {
        let mut chance = SmallRng::seed_from_u64(seed);
        let mut search = Knee::new(bar);
        let mut trials = 0;
        while let Some(rate) = search.next() {
            let over = ((rate - knee) / knee).max(0.0);
            let part = 0.995 - 0.5 * over + noise * chance.random_range(-1.0..1.0);
            search.took(Trial::Part(part.clamp(0.0, 1.0)));
            trials += 1;
            assert!(trials < 500, "no end");
        }
        (search, trials)
    }

    /// The bar of 0.99 is crossed 1% above the knee.
    #[test_case(700.0, 0.0; "exact")]
    #[test_case(333.0, 0.002; "a little noise")]
    #[test_case(5000.0, 0.004; "noise near the margin")]
    fn finds_it(knee: f64, noise: f64) {
        for seed in 0..20 {
            let (search, _) = search(knee, noise, bar(), seed);
            let State::Ended(End::Between(low, high)) = search.state() else {
                panic!("{:?}", search.state())
            };
            assert!((high - low) / high <= 0.05);
            let truth = knee * 1.01;
            assert!(*low < truth * 1.08 && *high > truth * 0.92, "{low}..{high}, {truth} is it");
        }
    }

    #[test]
    fn below_and_above() {
        assert_eq!(*search(1.0, 0.0, bar(), 1).0.state(), State::Ended(End::Below(1.5625)));
        assert_eq!(*search(1e6, 0.0, bar(), 1).0.state(), State::Ended(End::Above(10_000.0)));
    }

    /// Repeats stop where they tell, and a rate that they cannot tell is marked.
    #[test]
    fn stops_for_noise() {
        let (quiet, few) = search(700.0, 0.0, bar(), 1);
        let (loud, many) = search(700.0, 0.03, bar(), 1);
        assert!(few < many, "{few} and {many}");
        assert!(quiet.steps.iter().all(|step| !step.noisy));
        assert!(loud.steps.iter().any(|step| step.noisy && step.parts.len() == 5));
    }

    /// A trial that the generator limited is never taken for the gateways' knee.
    #[test]
    fn the_generator_gives_out() {
        let mut search = Knee::new(Bar { repeats: 1, ..bar() });
        search.took(Trial::Part(1.0));
        search.took(Trial::Generator("its lag".into()));
        let why = "its lag".to_string();
        assert_eq!(*search.state(), State::Ended(End::Generator { at: 200.0, held: Some(100.0), why }));
        assert_eq!(search.next(), None);
    }
}
