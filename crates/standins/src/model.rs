//! What a target does with its work, without I/O or clock: cores, a queue in turn of arrival with a bound, runs
//! that cost less, put-off work of writes, a start at part of its capacity, and falling over when pushed.

use std::collections::{BTreeMap, VecDeque};

/// Settings of one target. Times in seconds.
#[derive(Clone, Debug)]
pub struct ModelConfig {
    pub cores: usize,
    /// Node time of one random unit on one core.
    pub unit_time: f64,
    pub recent_extent_factor: f64,
    /// Extents that count as just taken.
    pub recent_extents: usize,
    /// Part of a write's work that is put off, and how often it is done in one go.
    pub deferred_write_share: f64,
    pub flush_interval: f64,
    /// Transactions held, those at work included.
    pub queue_capacity: usize,
    pub start_capacity: f64,
    pub warm_up: f64,
    pub overload_multiple: f64,
    pub overload_window: f64,
    pub cold_start_units: f64,
    /// A cancel or a broken connection stops running work; waiting work is dropped either way.
    pub cancel_stops_running: bool,
}

#[derive(Clone, Debug)]
pub struct Job<T> {
    pub units: f64,
    pub extent: u64,
    pub writes: bool,
    /// Factor on its work, drawn by the caller.
    pub work_factor: f64,
    pub payload: T,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    Accepted,
    /// The queue is full.
    QueueFull,
    /// This was the push that a cold target falls over from.
    Overloaded,
    /// It lies on the floor.
    Down,
}

/// A target at work. Jobs are named by numbers that [`NodeModel::submit`] gives.
#[derive(Debug)]
pub struct NodeModel<T> {
    config: ModelConfig,
    /// 0: warm from the start.
    started: f64,
    cold: bool,
    down: bool,
    next: u64,
    waiting: VecDeque<(u64, Job<T>)>,
    running: BTreeMap<u64, (f64, Job<T>)>,
    recent: VecDeque<u64>,
    deferred_work: f64,
    flush_at: f64,
    /// Until when no core does client work: a flush, or a scripted pause.
    stopped_until: f64,
    arrived: VecDeque<(f64, f64)>,
    arrived_units: f64,
    /// Scripted: work takes this many times as long.
    pub slowdown: f64,
    /// Recent service time without waiting.
    pub mean_service_time: f64,
}

impl<T> NodeModel<T> {
    pub fn new(now: f64, cold: bool, config: ModelConfig) -> Self {
        let flush_at = now + config.flush_interval;
        let mean_service_time = config.unit_time;
        NodeModel {
            config,
            started: now,
            cold,
            down: false,
            next: 0,
            waiting: VecDeque::new(),
            running: BTreeMap::new(),
            recent: VecDeque::new(),
            deferred_work: 0.0,
            flush_at,
            stopped_until: now,
            arrived: VecDeque::new(),
            arrived_units: 0.0,
            slowdown: 1.0,
            mean_service_time,
        }
    }

    /// Share of its capacity that it has at this moment.
    pub fn capacity_share(&self, now: f64) -> f64 {
        if !self.cold || self.config.warm_up <= 0.0 {
            return 1.0;
        }
        let part = ((now - self.started) / self.config.warm_up).clamp(0.0, 1.0);
        self.config.start_capacity + (1.0 - self.config.start_capacity) * part
    }

    pub fn is_down(&self) -> bool {
        self.down
    }

    pub fn outstanding(&self) -> usize {
        self.waiting.len() + self.running.len()
    }

    /// Every arrival adds pressure, also one that is turned away.
    fn press(&mut self, now: f64, units: f64) -> bool {
        self.arrived.push_back((now, units));
        self.arrived_units += units;
        while let Some((at, units)) = self.arrived.front().copied() {
            if at > now - self.config.overload_window {
                break;
            }
            self.arrived_units -= units;
            self.arrived.pop_front();
        }
        let capacity_share = self.capacity_share(now);
        let can =
            self.config.cores as f64 / self.config.unit_time * capacity_share * self.config.overload_window;
        capacity_share < 1.0
            && self.arrived_units > (self.config.overload_multiple * can).max(self.config.cold_start_units)
    }

    /// An arrival; the job's number where it is held.
    pub fn submit(&mut self, now: f64, job: Job<T>) -> (Admission, u64) {
        if self.down {
            return (Admission::Down, 0);
        }
        if self.press(now, job.units) {
            self.down = true;
            self.waiting.clear();
            self.running.clear();
            return (Admission::Overloaded, 0);
        }
        if self.outstanding() >= self.config.queue_capacity {
            return (Admission::QueueFull, 0);
        }
        self.next += 1;
        self.waiting.push_back((self.next, job));
        self.begin(now);
        (Admission::Accepted, self.next)
    }

    fn begin(&mut self, now: f64) {
        while self.running.len() < self.config.cores {
            let Some((number, job)) = self.waiting.pop_front() else { return };
            let run = self.recent.contains(&job.extent);
            self.recent.retain(|known| *known != job.extent);
            self.recent.push_front(job.extent);
            self.recent.truncate(self.config.recent_extents);
            let work = job.units * self.config.unit_time * job.work_factor;
            let work = if run { work * self.config.recent_extent_factor } else { work };
            let later = if job.writes { work * self.config.deferred_write_share } else { 0.0 };
            self.deferred_work += later;
            let time = (work - later) * self.slowdown / self.capacity_share(now);
            self.mean_service_time = 0.8 * self.mean_service_time + 0.2 * time;
            self.running.insert(number, (now.max(self.stopped_until) + time, job));
        }
    }

    /// Work stands still for this long, from now.
    pub fn pause(&mut self, now: f64, length: f64) {
        let until = (now + length).max(self.stopped_until);
        let shift = until - self.stopped_until.max(now);
        self.stopped_until = until;
        self.running.values_mut().for_each(|(done, _)| *done += shift);
    }

    /// When to call [`NodeModel::take_completed`] next.
    pub fn next_event_at(&self) -> f64 {
        let first = self.running.values().map(|(done, _)| *done).fold(f64::INFINITY, f64::min);
        if self.deferred_work > 0.0 {
            first.min(self.flush_at)
        } else {
            first
        }
    }

    /// Jobs that are done by now, in the order in which they were.
    pub fn take_completed(&mut self, now: f64) -> Vec<(u64, Job<T>)> {
        let mut all = Vec::new();
        loop {
            if now >= self.flush_at {
                let length = self.deferred_work * self.slowdown / self.config.cores as f64;
                self.deferred_work = 0.0;
                self.flush_at = now + self.config.flush_interval.max(0.01);
                if length > 0.0 {
                    self.pause(now, length);
                }
            }
            let first = self.running.iter().min_by(|one, other| one.1 .0.total_cmp(&other.1 .0));
            let Some(number) = first.filter(|(_, (done, _))| *done <= now).map(|(number, _)| *number) else {
                return all;
            };
            let (at, job) = self.running.remove(&number).unwrap();
            all.push((number, job));
            self.begin(at.max(now));
        }
    }

    /// Nobody waits for this job. True where it is gone; false where it goes on.
    pub fn cancel(&mut self, now: f64, number: u64) -> bool {
        if let Some(at) = self.waiting.iter().position(|(known, _)| *known == number) {
            self.waiting.remove(at);
            return true;
        }
        let stops = self.config.cancel_stops_running && self.running.remove(&number).is_some();
        if stops {
            self.begin(now);
        }
        stops
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn figures() -> ModelConfig {
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
    fn turn_of_arrival_runs_cost_less_and_the_queue_has_a_bound() {
        let mut node = NodeModel::new(0.0, false, figures());
        let taken: Vec<_> = [1, 2, 1, 3, 4].map(|extent| node.submit(0.0, job(extent, false)).0).into();
        assert_eq!(taken[3..], [Admission::Accepted, Admission::QueueFull]);
        assert!(node.take_completed(0.0099).is_empty());
        let order: Vec<_> = [0.0101, 0.0202, 0.0253, 0.0354].map(|at| node.take_completed(at).len()).into();
        assert_eq!(order, [1, 1, 1, 1]);
    }

    #[test]
    fn a_cold_node_falls_past_its_multiple_and_not_before() {
        // 100 units a second warm, 20 at the start: 40 within a second is the most.
        let mut node = NodeModel::new(0.0, true, ModelConfig { queue_capacity: 1000, ..figures() });
        assert!((0..40).all(|at| node.submit(0.001 * at as f64, job(at, false)).0 == Admission::Accepted));
        let mut last = Admission::Accepted;
        for at in 0..4 {
            last = node.submit(0.05, job(at, false)).0;
            if last == Admission::Overloaded {
                break;
            }
        }
        assert_eq!(last, Admission::Overloaded);
        assert_eq!(node.submit(0.06, job(1, false)).0, Admission::Down);
        let mut warm = NodeModel::new(0.0, false, ModelConfig { queue_capacity: 1000, ..figures() });
        assert!((0..400).all(|at| warm.submit(0.0, job(at, false)).0 == Admission::Accepted));
    }

    #[test]
    fn put_off_work_is_done_in_one_go_and_a_pause_moves_what_runs() {
        let mut node = NodeModel::new(
            0.0,
            false,
            ModelConfig { deferred_write_share: 0.5, flush_interval: 0.02, ..figures() },
        );
        node.submit(0.0, job(1, true));
        assert_eq!(node.take_completed(0.0051).len(), 1);
        node.take_completed(0.0201);
        node.submit(0.0202, job(2, false));
        assert!(node.take_completed(0.0302).is_empty(), "the flush of 5 ms comes first");
        assert_eq!(node.take_completed(0.0352).len(), 1);
        node.submit(0.04, job(3, false));
        node.pause(0.045, 1.0);
        assert!(node.take_completed(1.049).is_empty());
        assert_eq!(node.take_completed(1.051).len(), 1);
    }

    #[test]
    fn a_cancel_drops_what_waits_and_stops_what_runs_only_where_it_does() {
        for stops in [true, false] {
            let mut node =
                NodeModel::new(0.0, false, ModelConfig { cancel_stops_running: stops, ..figures() });
            let (one, two) = (node.submit(0.0, job(1, false)).1, node.submit(0.0, job(2, false)).1);
            assert!(node.cancel(0.001, two));
            assert_eq!(node.cancel(0.001, one), stops);
            assert_eq!(node.take_completed(1.0).len(), usize::from(!stops));
        }
    }
}
