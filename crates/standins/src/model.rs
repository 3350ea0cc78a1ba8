//! Model of the work of a target, without I/O or clock. It has several cores, a bounded first-in-first-out queue,
//! cheaper work on recently used extents, deferred work of writes, reduced capacity after a cold start, and a crash
//! when a cold target is overloaded.

use std::collections::{BTreeMap, VecDeque};

/// Settings of one target; times in seconds.
#[derive(Clone, Debug)]
pub struct ModelConfig {
    /// Transactions that are executed at the same time.
    pub cores: usize,
    /// Time that one core works on one unit outside the recent extents.
    pub unit_time: f64,
    /// Factor on the work of a transaction on a recent extent.
    pub recent_extent_factor: f64,
    /// Number of last used extents that count as recent.
    pub recent_extents: usize,
    /// Share of the work of a write that is deferred to the next flush.
    pub deferred_write_share: f64,
    /// Time between two flushes; a flush does all deferred work at once.
    pub flush_interval: f64,
    /// Maximum number of outstanding transactions, the running ones included.
    pub queue_capacity: usize,
    /// Share of the full capacity that a cold target has at its start.
    pub start_capacity: f64,
    /// Time from a cold start until the full capacity is reached; capacity rises linearly.
    pub warm_up: f64,
    /// A cold target crashes when the units received within `overload_window` exceed this multiple of the units that
    /// it can execute in that time, and exceed `cold_start_units`.
    pub overload_multiple: f64,
    /// Length of the sliding window over which received units are summed.
    pub overload_window: f64,
    /// Units within `overload_window` that a cold target survives whatever its capacity.
    pub cold_start_units: f64,
    /// Whether a cancellation or a lost connection stops running work; queued work is dropped in both cases.
    pub cancel_stops_running: bool,
}

/// One transaction as the model sees it.
#[derive(Clone, Debug)]
pub struct Job<T> {
    pub units: f64,
    pub extent: u64,
    pub writes: bool,
    /// Random factor on the work, drawn by the caller.
    pub work_factor: f64,
    /// Data of the caller, returned with the completed job.
    pub payload: T,
}

/// Result of [`NodeModel::submit`].
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    Accepted,
    /// Refused because the queue is full.
    QueueFull,
    /// This arrival overloaded a cold target, which crashed and dropped all its work.
    Overloaded,
    /// Ignored because the target has crashed.
    Down,
}

/// State of one target. A job is identified by the number that [`NodeModel::submit`] returns.
#[derive(Debug)]
pub struct NodeModel<T> {
    config: ModelConfig,
    /// Start time; used only for a cold target.
    started_at: f64,
    cold: bool,
    down: bool,
    last_number: u64,
    queued: VecDeque<(u64, Job<T>)>,
    /// Completion time and job, by number.
    running: BTreeMap<u64, (f64, Job<T>)>,
    /// Recently used extents, the latest first.
    recent_extents: VecDeque<u64>,
    /// Deferred work, seconds of one core; the next flush divides it among all cores.
    deferred_work: f64,
    /// Time of the next flush.
    flush_at: f64,
    /// End of the current flush or scripted pause, during which no core executes transactions.
    stopped_until: f64,
    /// Time and units of each arrival within the overload window.
    arrived: VecDeque<(f64, f64)>,
    /// Sum of the units in `arrived`.
    arrived_units: f64,
    /// Factor on the duration of all work, set by a fault; 1 without a fault.
    pub slowdown: f64,
    /// Exponential moving average of the execution time without queueing, seconds.
    pub mean_service_time: f64,
}

impl<T> NodeModel<T> {
    pub fn new(now: f64, cold: bool, config: ModelConfig) -> Self {
        let flush_at = now + config.flush_interval;
        let mean_service_time = config.unit_time;
        NodeModel {
            config,
            started_at: now,
            cold,
            down: false,
            last_number: 0,
            queued: VecDeque::new(),
            running: BTreeMap::new(),
            recent_extents: VecDeque::new(),
            deferred_work: 0.0,
            flush_at,
            stopped_until: now,
            arrived: VecDeque::new(),
            arrived_units: 0.0,
            slowdown: 1.0,
            mean_service_time,
        }
    }

    /// Share of the full capacity that is available at `now`, from 0 to 1.
    pub fn capacity_share(&self, now: f64) -> f64 {
        if !self.cold || self.config.warm_up <= 0.0 {
            return 1.0;
        }
        let warmed = ((now - self.started_at) / self.config.warm_up).clamp(0.0, 1.0);
        self.config.start_capacity + (1.0 - self.config.start_capacity) * warmed
    }

    /// Whether the target has crashed.
    pub fn is_down(&self) -> bool {
        self.down
    }

    /// Number of queued and running jobs.
    pub fn outstanding(&self) -> usize {
        self.queued.len() + self.running.len()
    }

    /// Counts an arrival and returns whether it overloads a cold target. Arrivals that are refused count as well.
    fn is_overloaded_by(&mut self, now: f64, units: f64) -> bool {
        self.arrived.push_back((now, units));
        self.arrived_units += units;
        while let Some((arrived_at, units)) = self.arrived.front().copied() {
            if arrived_at > now - self.config.overload_window {
                break;
            }
            self.arrived_units -= units;
            self.arrived.pop_front();
        }
        let capacity_share = self.capacity_share(now);
        let capacity_units =
            self.config.cores as f64 / self.config.unit_time * capacity_share * self.config.overload_window;
        capacity_share < 1.0
            && self.arrived_units
                > (self.config.overload_multiple * capacity_units).max(self.config.cold_start_units)
    }

    /// Submits a job. The number identifies the job if it was accepted, and is 0 otherwise.
    pub fn submit(&mut self, now: f64, job: Job<T>) -> (Admission, u64) {
        if self.down {
            return (Admission::Down, 0);
        }
        if self.is_overloaded_by(now, job.units) {
            self.down = true;
            self.queued.clear();
            self.running.clear();
            return (Admission::Overloaded, 0);
        }
        if self.outstanding() >= self.config.queue_capacity {
            return (Admission::QueueFull, 0);
        }
        self.last_number += 1;
        self.queued.push_back((self.last_number, job));
        self.start_queued(now);
        (Admission::Accepted, self.last_number)
    }

    /// Starts queued jobs on idle cores.
    fn start_queued(&mut self, now: f64) {
        while self.running.len() < self.config.cores {
            let Some((number, job)) = self.queued.pop_front() else { return };
            let is_recent = self.recent_extents.contains(&job.extent);
            self.recent_extents.retain(|extent| *extent != job.extent);
            self.recent_extents.push_front(job.extent);
            self.recent_extents.truncate(self.config.recent_extents);
            let work = job.units * self.config.unit_time * job.work_factor;
            let work = if is_recent { work * self.config.recent_extent_factor } else { work };
            let deferred = if job.writes { work * self.config.deferred_write_share } else { 0.0 };
            self.deferred_work += deferred;
            let duration = (work - deferred) * self.slowdown / self.capacity_share(now);
            self.mean_service_time = 0.8 * self.mean_service_time + 0.2 * duration;
            self.running.insert(number, (now.max(self.stopped_until) + duration, job));
        }
    }

    /// Stops all cores for `length` seconds from `now`; running jobs complete later by the added time.
    pub fn pause(&mut self, now: f64, length: f64) {
        let until = (now + length).max(self.stopped_until);
        let shift = until - self.stopped_until.max(now);
        self.stopped_until = until;
        self.running.values_mut().for_each(|(completes_at, _)| *completes_at += shift);
    }

    /// Time at which [`NodeModel::take_completed`] is to be called next.
    pub fn next_event_at(&self) -> f64 {
        let first =
            self.running.values().map(|(completes_at, _)| *completes_at).fold(f64::INFINITY, f64::min);
        if self.deferred_work > 0.0 {
            first.min(self.flush_at)
        } else {
            first
        }
    }

    /// Removes and returns the jobs that are completed at `now`, in order of completion; starts queued jobs.
    pub fn take_completed(&mut self, now: f64) -> Vec<(u64, Job<T>)> {
        let mut completed = Vec::new();
        loop {
            if now >= self.flush_at {
                let length = self.deferred_work * self.slowdown / self.config.cores as f64;
                self.deferred_work = 0.0;
                self.flush_at = now + self.config.flush_interval.max(0.01);
                if length > 0.0 {
                    self.pause(now, length);
                }
            }
            let first = self.running.iter().min_by(|left, right| left.1 .0.total_cmp(&right.1 .0));
            let Some(number) =
                first.filter(|(_, (completes_at, _))| *completes_at <= now).map(|(number, _)| *number)
            else {
                return completed;
            };
            let (completed_at, job) = self.running.remove(&number).unwrap();
            completed.push((number, job));
            self.start_queued(completed_at.max(now));
        }
    }

    /// Cancels a job. Returns whether it was removed; otherwise it continues or is unknown.
    pub fn cancel(&mut self, now: f64, number: u64) -> bool {
        if let Some(index) = self.queued.iter().position(|(queued, _)| *queued == number) {
            self.queued.remove(index);
            return true;
        }
        let stops = self.config.cancel_stops_running && self.running.remove(&number).is_some();
        if stops {
            self.start_queued(now);
        }
        stops
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config() -> ModelConfig {
        ModelConfig {
            cores: 1,
            unit_time: 0.01,
            recent_extent_factor: 0.5,
            recent_extents: 2,
            deferred_write_share: 0.0,
            flush_interval: 1.0,
            queue_capacity: 4,
            start_capacity: 0.2,
            warm_up: 10.0,
            overload_multiple: 2.0,
            overload_window: 1.0,
            cold_start_units: 8.0,
            cancel_stops_running: true,
        }
    }

    fn job(extent: u64, writes: bool) -> Job<u64> {
        Job { units: 1.0, extent, writes, work_factor: 1.0, payload: extent }
    }

    #[test]
    fn jobs_run_in_order_of_arrival_recent_extents_cost_less_and_the_queue_is_bounded() {
        let mut node = NodeModel::new(0.0, false, config());
        let admissions: Vec<_> = [1, 2, 1, 3, 4].map(|extent| node.submit(0.0, job(extent, false)).0).into();
        assert_eq!(admissions[3..], [Admission::Accepted, Admission::QueueFull]);
        assert!(node.take_completed(0.0099).is_empty());
        let completed: Vec<_> =
            [0.0101, 0.0202, 0.0253, 0.0354].map(|now| node.take_completed(now).len()).into();
        assert_eq!(completed, [1, 1, 1, 1]);
    }

    #[test]
    fn a_cold_node_crashes_above_its_overload_multiple_and_not_below() {
        // The node executes 100 units a second when warm and 20 at its start, so it survives 40 within a second.
        let mut node = NodeModel::new(0.0, true, ModelConfig { queue_capacity: 1000, ..config() });
        assert!((0..40)
            .all(|extent| node.submit(0.001 * extent as f64, job(extent, false)).0 == Admission::Accepted));
        let mut last = Admission::Accepted;
        for extent in 0..4 {
            last = node.submit(0.05, job(extent, false)).0;
            if last == Admission::Overloaded {
                break;
            }
        }
        assert_eq!(last, Admission::Overloaded);
        assert_eq!(node.submit(0.06, job(1, false)).0, Admission::Down);
        let mut warm = NodeModel::new(0.0, false, ModelConfig { queue_capacity: 1000, ..config() });
        assert!((0..400).all(|extent| warm.submit(0.0, job(extent, false)).0 == Admission::Accepted));
    }

    #[test]
    fn a_flush_does_all_deferred_work_and_a_pause_delays_running_jobs() {
        let mut node = NodeModel::new(
            0.0,
            false,
            ModelConfig { deferred_write_share: 0.5, flush_interval: 0.02, ..config() },
        );
        node.submit(0.0, job(1, true));
        assert_eq!(node.take_completed(0.0051).len(), 1);
        node.take_completed(0.0201);
        node.submit(0.0202, job(2, false));
        assert!(node.take_completed(0.0302).is_empty(), "the flush of 5 ms runs before the job");
        assert_eq!(node.take_completed(0.0352).len(), 1);
        node.submit(0.04, job(3, false));
        node.pause(0.045, 1.0);
        assert!(node.take_completed(1.049).is_empty());
        assert_eq!(node.take_completed(1.051).len(), 1);
    }

    #[test]
    fn a_cancel_drops_queued_jobs_and_stops_running_ones_only_if_set() {
        for stops in [true, false] {
            let mut node =
                NodeModel::new(0.0, false, ModelConfig { cancel_stops_running: stops, ..config() });
            let (running, queued) = (node.submit(0.0, job(1, false)).1, node.submit(0.0, job(2, false)).1);
            assert!(node.cancel(0.001, queued));
            assert_eq!(node.cancel(0.001, running), stops);
            assert_eq!(node.take_completed(1.0).len(), usize::from(!stops));
        }
    }
}
