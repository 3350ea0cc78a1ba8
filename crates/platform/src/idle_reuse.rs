//! Which connections to nodes may be used again, by how those fared that had rested for as long.

use quaypath::sliding_window::SlidingWindow;

/// How long a connection rests after an answer before it is used again, seconds. A node may answer a second time, some
/// milliseconds late and more where it is busy, and nothing in an answer tells whose it is: one that comes on a connection
/// in use is the next request's. So it has to have come, and been seen, before that use.
pub const SHORTEST_REST: f64 = 0.05;
/// The shortest rests that are told apart in the statistics, seconds.
const FIRST_KIND: f64 = 0.001;
/// Connections may be dropped far sooner than the settings say, and without a word: by whoever keeps track of them on
/// the way. Then those that rested for longer than what goes well are not used. Rests are told apart by doubling from
/// [`FIRST_KIND`]; a kind goes badly where more than this share was lost under its request, among so many uses that are
/// taken to have gone well. A lost request costs far more than a fresh connection, but not twice in ten.
const BADLY: f64 = 0.1;
const WELL: f64 = 20.0;
const RESTS: usize = 16;
/// Idle reuse statistics: how connections fared of late, by how long they had rested before their use.
pub struct IdleReuse(Vec<SlidingWindow>);

impl Default for IdleReuse {
    fn default() -> Self {
        IdleReuse(vec![SlidingWindow::new(3.0, 5); RESTS])
    }
}

impl IdleReuse {
    pub fn note(&mut self, now: f64, rest: f64, lost: bool) {
        let kind = (rest / FIRST_KIND).max(1.0).log2() as usize;
        self.0[kind.min(RESTS - 1)].add(now, f64::from(u8::from(lost)), 1.0);
    }

    /// The rest past which a connection is not used, seconds.
    pub fn longest(&mut self, now: f64) -> f64 {
        let bad = self.0.iter_mut().position(|kind| kind.mean_with_prior(now, 0.0, WELL) > BADLY);
        bad.map_or(f64::INFINITY, |kind| FIRST_KIND * f64::powi(2.0, kind as i32))
    }
}
