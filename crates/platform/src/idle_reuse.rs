//! Decides which idle connections to nodes may be reused, by how reused connections with the same idle time fared.

use quaypath::sliding_window::SlidingWindow;

/// How long a connection must be idle after a response before it is reused, seconds. A node may send a second response to
/// the same request, some milliseconds late, and later if it is busy. Nothing in a response identifies its request, so a
/// response that arrives on a connection in use is taken for that of the next request. A second response therefore has to
/// arrive, and be noticed, before the connection is reused.
pub const MIN_IDLE_TIME: f64 = 0.05;
/// Lower end of the first class of idle times, seconds; shorter idle times are counted in it too. Each further class begins
/// at twice the idle time.
const FIRST_CLASS_IDLE_TIME: f64 = 0.001;
/// Devices on the path that track connections may drop an idle connection far sooner than the settings say, and without
/// notice. Connections that were idle for too long to survive that are therefore not reused. A class of idle times is too
/// long if more than this share of its uses lost the request. A lost request costs far more than a fresh connection, but
/// not twice in ten.
const MAX_LOST_SHARE: f64 = 0.1;
/// Number of uses without a loss that each class is assumed to have had in addition.
const ASSUMED_SUCCESSES: f64 = 20.0;
/// Number of classes of idle times.
const CLASSES: usize = 16;

/// Statistics of reused connections over the last 12 to 15 s: for each class of idle times the share of uses that lost the
/// request.
pub struct IdleReuse(Vec<SlidingWindow>);

impl Default for IdleReuse {
    fn default() -> Self {
        IdleReuse(vec![SlidingWindow::new(3.0, 5); CLASSES])
    }
}

impl IdleReuse {
    /// Records the use of a connection after this idle time, in seconds, and whether the request was lost.
    pub fn record(&mut self, now: f64, idle_time: f64, lost: bool) {
        let class = (idle_time / FIRST_CLASS_IDLE_TIME).max(1.0).log2() as usize;
        self.0[class.min(CLASSES - 1)].add(now, f64::from(u8::from(lost)), 1.0);
    }

    /// The idle time from which on a connection is not reused, seconds.
    pub fn max_idle_time(&mut self, now: f64) -> f64 {
        let first_lossy = self
            .0
            .iter_mut()
            .position(|class| class.mean_with_prior(now, 0.0, ASSUMED_SUCCESSES) > MAX_LOST_SHARE);
        first_lossy.map_or(f64::INFINITY, |class| FIRST_CLASS_IDLE_TIME * f64::powi(2.0, class as i32))
    }
}
