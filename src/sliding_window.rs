//! Measures over time: fixed buckets of time, used again in a ring.

#[derive(Clone, Debug)]
pub struct SlidingWindow {
    width: f64,
    epoch: i64,
    /// For each bucket what was added, and the weight it was added with.
    buckets: Vec<(f64, f64)>,
}

impl SlidingWindow {
    pub fn new(width: f64, length: usize) -> Self {
        SlidingWindow { width, epoch: i64::MIN / 2, buckets: vec![(0.0, 0.0); length.max(1)] }
    }

    fn turn(&mut self, now: f64) -> usize {
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
        let at = self.turn(now);
        self.buckets[at].0 += amount;
        self.buckets[at].1 += weight;
    }

    /// As [`SlidingWindow::add`], of an earlier time; false, and nothing done, where that is over.
    pub fn add_at(&mut self, now: f64, at: f64, amount: f64, weight: f64) -> bool {
        self.turn(now);
        let epoch = (at / self.width).floor() as i64;
        let length = self.buckets.len() as i64;
        let known = (self.epoch - length + 1..=self.epoch).contains(&epoch);
        if known {
            let bucket = &mut self.buckets[epoch.rem_euclid(length) as usize];
            (bucket.0, bucket.1) = (bucket.0 + amount, bucket.1 + weight);
        }
        known
    }

    fn totals(&mut self, now: f64) -> (f64, f64) {
        self.turn(now);
        self.buckets.iter().fold((0.0, 0.0), |all, bucket| (all.0 + bucket.0, all.1 + bucket.1))
    }

    /// What was added over the whole ring: between `length - 1` and `length` widths back.
    pub fn sum(&mut self, now: f64) -> f64 {
        self.totals(now).0
    }

    /// Whether anything was weighed of late.
    pub fn has_samples(&mut self, now: f64) -> bool {
        self.totals(now).1 > 0.0
    }

    /// The mean with a prior that counts as much as `weight`.
    pub fn mean_with_prior(&mut self, now: f64, prior: f64, weight: f64) -> f64 {
        let (amount, known) = self.totals(now);
        (amount + prior * weight) / (known + weight)
    }

    /// The sum over the weights, or `empty` where nothing was weighed.
    pub fn mean(&mut self, now: f64, empty: f64) -> f64 {
        let (amount, weight) = self.totals(now);
        if weight > 0.0 {
            amount / weight
        } else {
            empty
        }
    }
}
