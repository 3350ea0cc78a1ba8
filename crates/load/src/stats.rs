//! Percentiles that say when there are too few samples, and differences with bootstrap confidence intervals.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Samples that must lie beyond a quantile for it to be told.
pub const BEYOND: f64 = 10.0;
/// Intervals that each side of a comparison needs.
pub const LEAST_INTERVALS: usize = 8;
/// Resamples of a bootstrap.
const DRAWS: usize = 1000;

/// A quantile in seconds, where there are samples enough for it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Quantile {
    Told(f64),
    /// So few samples; the longest of them, seconds.
    Few {
        samples: u64,
        longest: f64,
    },
}

/// Whether so many samples tell the quantile.
pub fn tells(samples: u64, q: f64) -> bool {
    samples as f64 * (1.0 - q) >= BEYOND - 1e-9
}

pub fn quantile(histogram: &Histogram<u64>, q: f64) -> Quantile {
    if tells(histogram.len(), q) {
        Quantile::Told(histogram.value_at_quantile(q) as f64 / 1e6)
    } else {
        let longest = if histogram.is_empty() { 0.0 } else { histogram.max() as f64 / 1e6 };
        Quantile::Few { samples: histogram.len(), longest }
    }
}

/// One interval of a run: latencies as values and counts, arrivals and those settled in time.
#[derive(Clone, Debug, Default)]
pub struct Block {
    pub values: Vec<(u64, u64)>,
    pub offered: u64,
    pub in_time: u64,
}

impl Block {
    pub fn of(histogram: &Histogram<u64>, offered: u64, in_time: u64) -> Block {
        let values = histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value()));
        Block { values: values.collect(), offered, in_time }
    }
}

/// What a comparison found.
#[derive(Clone, Debug, PartialEq)]
pub enum Difference {
    /// Figures of both and their difference, the second less the first, with its 95% interval.
    Told {
        first: f64,
        second: f64,
        low: f64,
        high: f64,
    },
    Few(String),
}

impl Difference {
    /// The interval leaves no difference out of the question.
    pub fn clear(&self) -> bool {
        matches!(self, Difference::Told { low, high, .. } if *low > 0.0 || *high < 0.0)
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figure {
    /// Latency, seconds.
    Quantile(f64),
    /// Part of the offered settled in time.
    Goodput,
}

/// Blocks made ready for many resamples: every value has a place in one sorted list.
struct Ready<'a> {
    blocks: &'a [Block],
    values: Vec<u64>,
    places: Vec<Vec<(usize, u64)>>,
}

impl<'a> Ready<'a> {
    fn new(blocks: &'a [Block]) -> Self {
        let mut index: BTreeMap<u64, usize> = BTreeMap::new();
        blocks.iter().flat_map(|block| &block.values).for_each(|(value, _)| {
            index.insert(*value, 0);
        });
        index.values_mut().enumerate().for_each(|(nth, place)| *place = nth);
        let place =
            |block: &Block| block.values.iter().map(|(value, count)| (index[value], *count)).collect();
        Ready { blocks, places: blocks.iter().map(place).collect(), values: index.keys().copied().collect() }
    }

    /// The figure of the blocks taken so many times each.
    fn figure(&self, times: &[u64], figure: Figure, counts: &mut Vec<u64>) -> f64 {
        match figure {
            Figure::Goodput => {
                let sum = |of: fn(&Block) -> u64| -> u64 {
                    self.blocks.iter().zip(times).map(|(block, times)| of(block) * times).sum()
                };
                let offered = sum(|block| block.offered);
                if offered == 0 {
                    0.0
                } else {
                    sum(|block| block.in_time) as f64 / offered as f64
                }
            }
            Figure::Quantile(q) => {
                counts.clear();
                counts.resize(self.values.len(), 0);
                for (places, times) in self.places.iter().zip(times).filter(|(_, times)| **times > 0) {
                    places.iter().for_each(|(place, count)| counts[*place] += count * times);
                }
                let all: u64 = counts.iter().sum();
                let rank = ((q * all as f64).ceil() as u64).max(1);
                let mut seen = 0;
                let found = counts.iter().position(|count| {
                    seen += count;
                    seen >= rank
                });
                found.map_or(0.0, |place| self.values[place] as f64 / 1e6)
            }
        }
    }

    /// The figure of as many blocks drawn with replacement. Whole intervals are drawn, as latencies of one interval
    /// hang together; single ones would make the interval far too narrow.
    fn resample(
        &self, figure: Figure, chance: &mut SmallRng, times: &mut Vec<u64>, counts: &mut Vec<u64>,
    ) -> f64 {
        times.clear();
        times.resize(self.blocks.len(), 0);
        (0..self.blocks.len()).for_each(|_| times[chance.random_range(0..self.blocks.len())] += 1);
        self.figure(times, figure, counts)
    }
}

/// Compares a figure of two runs by their intervals.
pub fn compare(first: &[Block], second: &[Block], figure: Figure, seed: u64) -> Difference {
    for (which, blocks) in [("first", first), ("second", second)] {
        let offered = blocks.iter().filter(|block| block.offered > 0).count();
        if offered < LEAST_INTERVALS {
            return Difference::Few(format!(
                "too few samples: the {which} has {offered} intervals, {LEAST_INTERVALS} are needed"
            ));
        }
        if let Figure::Quantile(q) = figure {
            let samples: u64 = blocks.iter().flat_map(|block| &block.values).map(|(_, count)| count).sum();
            if !tells(samples, q) {
                let needed = (BEYOND / (1.0 - q)).ceil();
                return Difference::Few(format!(
                    "too few samples: the {which} has {samples}, {needed} are needed"
                ));
            }
        }
    }
    let (first, second) = (Ready::new(first), Ready::new(second));
    let mut chance = SmallRng::seed_from_u64(seed);
    let (mut times, mut counts) = (Vec::new(), Vec::new());
    let whole =
        |ready: &Ready, counts: &mut Vec<u64>| ready.figure(&vec![1; ready.blocks.len()], figure, counts);
    let found = (whole(&first, &mut counts), whole(&second, &mut counts));
    let mut drawn: Vec<f64> = (0..DRAWS)
        .map(|_| {
            let one = first.resample(figure, &mut chance, &mut times, &mut counts);
            second.resample(figure, &mut chance, &mut times, &mut counts) - one
        })
        .collect();
    drawn.sort_by(f64::total_cmp);
    let at = |part: f64| drawn[((DRAWS - 1) as f64 * part).round() as usize];
    Difference::Told { first: found.0, second: found.1, low: at(0.025), high: at(0.975) }
}

/// Mean of a few repeats and half of its 95% interval by Student's t; infinite for one.
pub fn mean_of(repeats: &[f64]) -> (f64, f64) {
    let count = repeats.len() as f64;
    let mean = repeats.iter().sum::<f64>() / count.max(1.0);
    if repeats.len() < 2 {
        return (mean, f64::INFINITY);
    }
    let variance = repeats.iter().map(|one| (one - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let student = StudentsT::new(0.0, 1.0, count - 1.0).expect("one degree of freedom or more");
    (mean, student.inverse_cdf(0.975) * (variance / count).sqrt())
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn block(chance: &mut SmallRng, scale: f64, count: usize) -> Block {
        let mut histogram = crate::account::histogram();
        for _ in 0..count {
            let value = (-(1.0 - chance.random::<f64>()).ln() * scale * 1e6) as u64;
            histogram.record(value.max(1)).unwrap();
        }
        Block::of(&histogram, count as u64, (count as f64 * 0.9) as u64)
    }

    fn run(seed: u64, scale: f64, blocks: usize, count: usize) -> Vec<Block> {
        let mut chance = SmallRng::seed_from_u64(seed);
        (0..blocks).map(|_| block(&mut chance, scale, count)).collect()
    }

    #[test_case(3, 0.99, false; "three samples tell no p99")]
    #[test_case(999, 0.99, false; "one short")]
    #[test_case(1000, 0.99, true; "ten beyond")]
    #[test_case(20, 0.5, true; "a median")]
    #[test_case(3, 0.5, false; "three tell no median")]
    fn too_few_are_said(samples: u64, q: f64, told: bool) {
        let mut histogram = crate::account::histogram();
        (1..=samples).for_each(|nth| histogram.record(nth * 1000).unwrap());
        match quantile(&histogram, q) {
            Quantile::Told(_) => assert!(told),
            Quantile::Few { samples: few, longest } => {
                assert!(!told && few == samples && (longest / (samples as f64 * 1e-3) - 1.0).abs() < 0.002);
            }
        }
    }

    /// A true difference of a fifth is found, no difference is not, over twenty seeds each. By chance one in twenty of
    /// the second kind may be called clear.
    #[test]
    fn differences_that_are_there_and_not_there() {
        let (mut found, mut wrong) = (0, 0);
        for seed in 0..20 {
            let base = run(seed, 0.010, 30, 400);
            found +=
                u32::from(compare(&base, &run(seed + 100, 0.012, 30, 400), Figure::Quantile(0.5), 1).clear());
            wrong +=
                u32::from(compare(&base, &run(seed + 200, 0.010, 30, 400), Figure::Quantile(0.5), 1).clear());
        }
        assert!(found >= 19 && wrong <= 3, "{found} found, {wrong} wrong");
    }

    #[test_case(7, 400, Figure::Goodput, "7 intervals"; "few intervals")]
    #[test_case(9, 10, Figure::Quantile(0.99), "has 90, 1000"; "few samples")]
    fn few_for_a_comparison(blocks: usize, count: usize, figure: Figure, said: &str) {
        let run = run(1, 0.01, blocks, count);
        match compare(&run, &run, figure, 1) {
            Difference::Few(why) => assert!(why.contains(said), "{why}"),
            other => panic!("{other:?}"),
        }
    }

    /// By the table of Student's t: 12.706 at one degree of freedom.
    #[test]
    fn intervals_of_repeats() {
        let (mean, half) = mean_of(&[1.0, 3.0]);
        assert!((mean - 2.0).abs() < 1e-9 && (half - 12.706).abs() < 0.01, "{mean} {half}");
        assert_eq!(mean_of(&[1.0]).1, f64::INFINITY);
    }
}
