//! Whole numbers drawn by the distribution that a load names, over a range known when it is made.

use quaypath_settings::{Draw as Form, DrawKind};
use rand::rngs::SmallRng;
use rand::Rng;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, Geometric, LogNormal, Zipf};

pub enum Draw {
    Fixed(u64),
    Uniform,
    /// Number of tries up to the first success.
    Geometric(Geometric),
    /// Rank 1 most often.
    Zipf(Zipf<f64>),
    Lognormal(LogNormal<f64>),
    Empirical {
        values: Vec<u64>,
        index: WeightedAliasIndex<f64>,
    },
}

impl Draw {
    /// Draws from 1 to `most`. Fails with the reason where the figures make no distribution.
    pub fn new(form: &Form, most: u64) -> Result<Draw, String> {
        let wrong = |error: &dyn std::fmt::Display| format!("{:?}: {error}", form.kind);
        Ok(match form.kind {
            DrawKind::Fixed => Draw::Fixed(form.mean.round().max(1.0) as u64),
            DrawKind::Uniform => Draw::Uniform,
            DrawKind::Geometric => {
                Draw::Geometric(Geometric::new(1.0 / form.mean.max(1.0)).map_err(|error| wrong(&error))?)
            }
            DrawKind::Zipf => {
                Draw::Zipf(Zipf::new(most.max(1) as f64, form.exponent).map_err(|error| wrong(&error))?)
            }
            DrawKind::Lognormal => {
                // So that the mean of the drawn numbers, not of their logarithms, is the one stated.
                let location = form.mean.ln() - form.sigma * form.sigma / 2.0;
                Draw::Lognormal(LogNormal::new(location, form.sigma).map_err(|error| wrong(&error))?)
            }
            DrawKind::Empirical => Draw::Empirical {
                values: form.value.iter().map(|value| value.value as u64).collect(),
                index: WeightedAliasIndex::new(form.value.iter().map(|value| value.weight).collect())
                    .map_err(|error| wrong(&error))?,
            },
        })
    }

    /// From 1 to `most`, both included.
    pub fn draw(&self, most: u64, chance: &mut SmallRng) -> u64 {
        let most = most.max(1);
        let value = match self {
            Draw::Fixed(value) => *value,
            Draw::Uniform => chance.random_range(1..=most),
            Draw::Geometric(form) => form.sample(chance).saturating_add(1),
            Draw::Zipf(form) => form.sample(chance) as u64,
            Draw::Lognormal(form) => form.sample(chance).round() as u64,
            Draw::Empirical { values, index } => values[index.sample(chance)],
        };
        value.clamp(1, most)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quaypath_settings::Weighted;
    use rand::SeedableRng;
    use test_case::test_case;

    fn form(kind: DrawKind, mean: f64) -> Form {
        let value = vec![Weighted { value: 2.0, weight: 3.0 }, Weighted { value: 8.0, weight: 1.0 }];
        Form { kind, mean, sigma: 0.5, exponent: 1.0, value }
    }

    /// Means as computed by hand: a geometric's is its own, a uniform's the middle, Zipf's n over the n-th harmonic
    /// number.
    #[test_case(DrawKind::Fixed, 3.0, 3.0; "fixed")]
    #[test_case(DrawKind::Uniform, 0.0, 50.5; "uniform")]
    #[test_case(DrawKind::Geometric, 4.0, 4.0; "geometric")]
    #[test_case(DrawKind::Lognormal, 20.0, 20.0; "lognormal")]
    #[test_case(DrawKind::Zipf, 0.0, 100.0 / 5.187_377; "zipf")]
    #[test_case(DrawKind::Empirical, 0.0, 3.5; "empirical")]
    fn means(kind: DrawKind, mean: f64, expected: f64) {
        let draw = Draw::new(&form(kind, mean), 100).unwrap();
        let mut chance = SmallRng::seed_from_u64(7);
        let drawn: Vec<u64> = (0..200_000).map(|_| draw.draw(100, &mut chance)).collect();
        let found = drawn.iter().sum::<u64>() as f64 / drawn.len() as f64;
        assert!((found / expected - 1.0).abs() < 0.02, "{found}, {expected} expected");
        assert!(drawn.iter().all(|value| (1..=100).contains(value)));
    }
}
