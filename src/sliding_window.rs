//! Sums and weighted means over a sliding window of time, kept in a ring of buckets of fixed width.

#[derive(Clone, Debug)]
pub struct SlidingWindow {
    /// Width of a bucket, seconds.
    width: f64,
    /// Number of the newest bucket: its start time divided by the width.
    epoch: i64,
    /// Number of buckets.
    length: usize,
    /// The sum of the amounts and the sum of the weights added to each bucket; empty before the first sample, as most
    /// windows of a large fleet never have one.
    buckets: Vec<(f64, f64)>,
}

impl SlidingWindow {
    /// A window of `length` buckets of `width` seconds each.
    pub fn new(width: f64, length: usize) -> Self {
        SlidingWindow { width, epoch: i64::MIN / 2, length: length.max(1), buckets: Vec::new() }
    }

    /// Clears the buckets that are too old at `now`.
    fn advance(&mut self, now: f64) {
        let epoch = (now / self.width).floor() as i64;
        if epoch <= self.epoch {
            return;
        }
        let oldest = (self.epoch + 1).max(epoch - self.length as i64 + 1);
        self.epoch = epoch;
        if !self.buckets.is_empty() {
            (oldest..=epoch).for_each(|stale| *self.bucket(stale) = (0.0, 0.0));
        }
    }

    /// The bucket with this number.
    fn bucket(&mut self, epoch: i64) -> &mut (f64, f64) {
        if self.buckets.is_empty() {
            self.buckets = vec![(0.0, 0.0); self.length];
        }
        &mut self.buckets[epoch.rem_euclid(self.length as i64) as usize]
    }

    pub fn add(&mut self, now: f64, amount: f64, weight: f64) {
        self.advance(now);
        let bucket = self.bucket(self.epoch);
        (bucket.0, bucket.1) = (bucket.0 + amount, bucket.1 + weight);
    }

    /// Like [`SlidingWindow::add`], for a sample of time `sample_time`. Returns false, and adds nothing, if that
    /// time is outside the window.
    pub fn add_at(&mut self, now: f64, sample_time: f64, amount: f64, weight: f64) -> bool {
        self.advance(now);
        let epoch = (sample_time / self.width).floor() as i64;
        let inside = (self.epoch - self.length as i64 + 1..=self.epoch).contains(&epoch);
        if inside {
            let bucket = self.bucket(epoch);
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
