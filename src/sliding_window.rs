//! Sums and weighted means over a sliding window of time, kept in a ring of buckets of fixed width.

#[derive(Clone, Debug)]
pub struct SlidingWindow {
    /// Width of a bucket, seconds.
    width: f64,
    /// Number of the newest bucket: its start time divided by the width.
    epoch: i64,
    /// The sum of the amounts and the sum of the weights added to each bucket.
    buckets: Vec<(f64, f64)>,
}

impl SlidingWindow {
    /// A window of `length` buckets of `width` seconds each.
    pub fn new(width: f64, length: usize) -> Self {
        SlidingWindow { width, epoch: i64::MIN / 2, buckets: vec![(0.0, 0.0); length.max(1)] }
    }

    /// Clears the buckets that are too old at `now` and returns the index of the current one.
    fn advance(&mut self, now: f64) -> usize {
        let epoch = (now / self.width).floor() as i64;
        let length = self.buckets.len() as i64;
        if epoch > self.epoch {
            for stale in (self.epoch + 1).max(epoch - length + 1)..=epoch {
                self.buckets[stale.rem_euclid(length) as usize] = (0.0, 0.0);
            }
            self.epoch = epoch;
        }
        self.epoch.rem_euclid(length) as usize
    }

    pub fn add(&mut self, now: f64, amount: f64, weight: f64) {
        let index = self.advance(now);
        self.buckets[index].0 += amount;
        self.buckets[index].1 += weight;
    }

    /// Like [`SlidingWindow::add`], for a sample of time `sample_time`. Returns false, and adds nothing, if that
    /// time is outside the window.
    pub fn add_at(&mut self, now: f64, sample_time: f64, amount: f64, weight: f64) -> bool {
        self.advance(now);
        let epoch = (sample_time / self.width).floor() as i64;
        let length = self.buckets.len() as i64;
        let inside = (self.epoch - length + 1..=self.epoch).contains(&epoch);
        if inside {
            let bucket = &mut self.buckets[epoch.rem_euclid(length) as usize];
            (bucket.0, bucket.1) = (bucket.0 + amount, bucket.1 + weight);
        }
        inside
    }

    fn totals(&mut self, now: f64) -> (f64, f64) {
        self.advance(now);
        self.buckets.iter().fold((0.0, 0.0), |all, bucket| (all.0 + bucket.0, all.1 + bucket.1))
    }

    /// The sum of the amounts in the window, which reaches back between `length - 1` and `length` bucket widths.
    pub fn sum(&mut self, now: f64) -> f64 {
        self.totals(now).0
    }

    /// Whether the window contains samples with a weight.
    pub fn has_samples(&mut self, now: f64) -> bool {
        self.totals(now).1 > 0.0
    }

    /// The weighted mean together with a prior value that counts as a sample of weight `weight`.
    pub fn mean_with_prior(&mut self, now: f64, prior: f64, weight: f64) -> f64 {
        let (amount, sampled) = self.totals(now);
        (amount + prior * weight) / (sampled + weight)
    }

    /// The sum of the amounts divided by the sum of the weights, or `empty` if the weights sum up to 0.
    pub fn mean(&mut self, now: f64, empty: f64) -> f64 {
        let (amount, weight) = self.totals(now);
        if weight > 0.0 {
            amount / weight
        } else {
            empty
        }
    }
}
