//! The algebra of shapes: factors of the rate over time, for all or for one plan or volume.

use quaypath_settings::{Deployment, Shape as Form, Shapes};

/// Whose rate is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Who {
    pub plan: usize,
    /// Only where some surge is of this one volume.
    pub volume: Option<u32>,
}

/// A shape with its names looked up.
#[derive(Clone, Debug)]
pub enum Shape {
    Level(f64),
    Ramp { from: f64, to: f64, at: f64, lasts: f64 },
    Step { at: f64, times: f64 },
    Sine { mean: f64, amplitude: f64, period: f64, phase: f64 },
    RushHour { at: f64, width: f64, peak: f64 },
    Surge { at: f64, lasts: f64, times: f64, plan: Option<usize>, volume: Option<u32> },
    Product(Vec<Shape>),
    Sum(Vec<Shape>),
}

impl Shape {
    /// The factors of one element, multiplied; 1 without one.
    pub fn of(shapes: Option<&Shapes>, deployment: &Deployment) -> Shape {
        Shape::Product(shapes.map_or(Vec::new(), |shapes| Self::all(&shapes.shapes, deployment)))
    }

    fn all(of: &[Form], deployment: &Deployment) -> Vec<Shape> {
        of.iter().map(|form| Self::one(form, deployment)).collect()
    }

    fn one(form: &Form, deployment: &Deployment) -> Shape {
        match *form {
            Form::Level { value } => Shape::Level(value),
            Form::Ramp { from, to, at, lasts } => Shape::Ramp { from, to, at, lasts },
            Form::Step { at, times } => Shape::Step { at, times },
            Form::Sine { mean, amplitude, period, phase } => Shape::Sine { mean, amplitude, period, phase },
            Form::RushHour { at, width, peak } => Shape::RushHour { at, width, peak },
            Form::Surge { at, lasts, times, ref plan, volume } => {
                let plan =
                    plan.as_ref().and_then(|plan| deployment.plan_names.iter().position(|name| name == plan));
                Shape::Surge { at, lasts, times, plan, volume }
            }
            Form::Product(ref inner) => Shape::Product(Self::all(&inner.shapes, deployment)),
            Form::Sum(ref inner) => Shape::Sum(Self::all(&inner.shapes, deployment)),
        }
    }

    /// Volumes that some surge is of alone.
    pub fn volumes(&self, into: &mut Vec<u32>) {
        match self {
            Shape::Surge { volume: Some(volume), .. } => into.push(*volume),
            Shape::Product(of) | Shape::Sum(of) => of.iter().for_each(|shape| shape.volumes(into)),
            _ => {}
        }
    }

    /// The factor at `t`, seconds from the start.
    pub fn at(&self, t: f64, who: Who) -> f64 {
        match *self {
            Shape::Level(value) => value,
            Shape::Ramp { from, to, at, lasts } => from + (to - from) * ((t - at) / lasts).clamp(0.0, 1.0),
            Shape::Step { at, times } => {
                if t < at {
                    1.0
                } else {
                    times
                }
            }
            Shape::Sine { mean, amplitude, period, phase } => {
                mean + amplitude * (std::f64::consts::TAU * (t + phase) / period).sin()
            }
            Shape::RushHour { at, width, peak } => {
                1.0 + (peak - 1.0) * (-0.5 * ((t - at) / width).powi(2)).exp()
            }
            Shape::Surge { at, lasts, times, plan, volume } => {
                let meant = plan.is_none_or(|plan| plan == who.plan)
                    && volume.is_none_or(|volume| who.volume == Some(volume));
                if meant && (at..at + lasts).contains(&t) {
                    times
                } else {
                    1.0
                }
            }
            Shape::Product(ref of) => of.iter().map(|shape| shape.at(t, who)).product(),
            Shape::Sum(ref of) => of.iter().map(|shape| shape.at(t, who)).sum(),
        }
    }

    /// Least and most that the factor can be from second 0 to `until`; never narrower than it is, for products
    /// and sums sometimes wider.
    pub fn bounds(&self, until: f64, who: Who) -> (f64, f64) {
        let order = |one: f64, other: f64| (one.min(other), one.max(other));
        match *self {
            Shape::Level(value) => (value, value),
            Shape::Ramp { .. } => order(self.at(0.0, who), self.at(until, who)),
            Shape::Step { at, times } if at <= 0.0 => (times, times),
            Shape::Step { at, times } if at < until => order(1.0, times),
            Shape::Step { .. } => (1.0, 1.0),
            Shape::Sine { mean, amplitude, .. } => (mean - amplitude, mean + amplitude),
            Shape::RushHour { at, .. } => {
                let ends = order(self.at(0.0, who), self.at(until, who));
                let top = self.at(at.clamp(0.0, until), who);
                (ends.0.min(top), ends.1.max(top))
            }
            Shape::Surge { at, times, .. } => {
                let inside = self.at(at, who);
                if at < until && inside == times {
                    order(1.0, times)
                } else {
                    (1.0, 1.0)
                }
            }
            // Corners are enough where both ends may lie below 0.
            Shape::Product(ref of) => of.iter().fold((1.0, 1.0), |(low, high), shape| {
                let (least, most) = shape.bounds(until, who);
                let corners = [low * least, low * most, high * least, high * most];
                corners.iter().fold((f64::INFINITY, f64::NEG_INFINITY), |(least, most), one| {
                    (least.min(*one), most.max(*one))
                })
            }),
            Shape::Sum(ref of) => of.iter().fold((0.0, 0.0), |(low, high), shape| {
                let (least, most) = shape.bounds(until, who);
                (low + least, high + most)
            }),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    const ALL: Who = Who { plan: 0, volume: None };

    #[test_case(Shape::Ramp { from: 1.0, to: 3.0, at: 10.0, lasts: 10.0 }, 15.0, 2.0; "half of a ramp")]
    #[test_case(Shape::Ramp { from: 1.0, to: 3.0, at: 10.0, lasts: 10.0 }, 99.0, 3.0; "after a ramp")]
    #[test_case(Shape::Step { at: 5.0, times: 4.0 }, 4.9, 1.0; "before a step")]
    #[test_case(Shape::Step { at: 5.0, times: 4.0 }, 5.0, 4.0; "at a step")]
    #[test_case(Shape::Sine { mean: 1.0, amplitude: 0.5, period: 40.0, phase: 0.0 }, 10.0, 1.5; "top of a sine")]
    #[test_case(Shape::RushHour { at: 8.0, width: 1.0, peak: 3.0 }, 8.0, 3.0; "peak of a rush hour")]
    #[test_case(Shape::Surge { at: 1.0, lasts: 2.0, times: 6.0, plan: Some(0), volume: None }, 2.0, 6.0; "own plan")]
    #[test_case(Shape::Surge { at: 1.0, lasts: 2.0, times: 6.0, plan: Some(1), volume: None }, 2.0, 1.0; "other plan")]
    #[test_case(Shape::Surge { at: 1.0, lasts: 2.0, times: 6.0, plan: None, volume: Some(4) }, 2.0, 1.0; "other volume")]
    #[test_case(Shape::Product(vec![Shape::Level(2.0), Shape::Level(3.0)]), 0.0, 6.0; "product")]
    #[test_case(Shape::Sum(vec![Shape::Level(2.0), Shape::Level(3.0)]), 0.0, 5.0; "sum")]
    #[test_case(Shape::Product(vec![]), 0.0, 1.0; "nothing is one")]
    fn at(shape: Shape, t: f64, expected: f64) {
        assert!((shape.at(t, ALL) - expected).abs() < 1e-9);
    }

    fn any() -> impl Strategy<Value = Shape> {
        let leaf = prop_oneof![
            (0.0..5.0).prop_map(Shape::Level),
            (0.0..5.0, 0.0..5.0, 0.0..60.0, 1.0..30.0).prop_map(|(from, to, at, lasts)| Shape::Ramp {
                from,
                to,
                at,
                lasts
            }),
            (0.0..90.0, 0.0..5.0).prop_map(|(at, times)| Shape::Step { at, times }),
            (0.0..5.0, 0.0..5.0, 1.0..90.0, 0.0..9.0)
                .prop_map(|(mean, amplitude, period, phase)| Shape::Sine { mean, amplitude, period, phase }),
            (0.0..90.0, 1.0..20.0, 0.0..5.0).prop_map(|(at, width, peak)| Shape::RushHour {
                at,
                width,
                peak
            }),
            (0.0..90.0, 1.0..20.0, 0.0..5.0).prop_map(|(at, lasts, times)| Shape::Surge {
                at,
                lasts,
                times,
                plan: None,
                volume: None
            }),
        ];
        leaf.prop_recursive(3, 12, 4, |inner| {
            let many = proptest::collection::vec(inner, 1..4);
            prop_oneof![many.clone().prop_map(Shape::Product), many.prop_map(Shape::Sum)]
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..Default::default() })]

        /// The bounds hold at every time: what is refused by them cannot hide between two looks.
        #[test]
        fn bounds_hold(shape in any(), times in proptest::collection::vec(0.0..60.0f64, 50)) {
            let (least, most) = shape.bounds(60.0, ALL);
            for t in times {
                let value = shape.at(t, ALL);
                prop_assert!(value >= least - 1e-9 && value <= most + 1e-9, "{value} outside {least}..{most}");
            }
        }
    }
}
