//! A hierarchical timer wheel for many thousands of timers that are never cancelled.
//!
//! It has six levels of 64 slots over ticks of 1/1024 s, or finer. A timer is put into the level that its distance
//! requires and moves to lower levels as its time approaches, so the cost of setting and of firing a timer does not
//! depend on how many timers are set. A timer fires at the first tick at or after its time, never earlier. The timers
//! of one call fire ordered by time, and timers of the same time in the order in which they were set.

/// Slots of one level.
const SLOTS: usize = 64;
/// Binary digits of a tick number that one level covers.
const LEVEL_BITS: u32 = 6;
const LEVELS: usize = 6;
/// Default resolution, ticks per second.
const TICKS_PER_SECOND: f64 = 1024.0;

#[derive(Debug)]
struct Entry<T> {
    /// Clock time, seconds.
    time: f64,
    tick: u64,
    /// Sequence number, in the order in which timers were set.
    order: u64,
    payload: T,
}

/// A set of timers, each of which carries a payload of the caller.
#[derive(Debug)]
pub struct TimerWheel<T> {
    ticks_per_second: f64,
    /// Clock time of tick 0, seconds.
    origin: f64,
    /// Current tick.
    tick: u64,
    /// Sequence number of the timer that was set last.
    order: u64,
    count: usize,
    slots: Vec<Vec<Entry<T>>>,
    /// For each level, one bit per slot, set when the slot holds timers.
    occupied: [u64; LEVELS],
    /// Timers whose tick has been reached and that have not been handed over yet.
    due: Vec<Entry<T>>,
}

impl<T> TimerWheel<T> {
    /// Creates a wheel that starts at the clock time `now`, seconds.
    pub fn new(now: f64) -> Self {
        Self::with_resolution(now, TICKS_PER_SECOND)
    }

    /// Like [`TimerWheel::new`], with a resolution in ticks per second. At 65,536 ticks per second, a timer later than
    /// 12 days is placed as if it were 12 days away.
    pub fn with_resolution(now: f64, ticks_per_second: f64) -> Self {
        TimerWheel {
            ticks_per_second,
            origin: now,
            tick: 0,
            order: 0,
            count: 0,
            slots: (0..SLOTS * LEVELS).map(|_| Vec::new()).collect(),
            occupied: [0; LEVELS],
            due: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Sets a timer for the clock time `time`, seconds. At the default resolution, a timer later than two years is
    /// placed as if it were two years away.
    pub fn set(&mut self, time: f64, payload: T) {
        let tick = ((time - self.origin) * self.ticks_per_second).ceil().max(0.0) as u64;
        self.order += 1;
        self.count += 1;
        self.insert(Entry { time, tick, order: self.order, payload });
    }

    fn insert(&mut self, entry: Entry<T>) {
        if entry.tick <= self.tick {
            self.due.push(entry);
            return;
        }
        let max_tick = self.tick + (1 << (LEVEL_BITS * LEVELS as u32)) - 1;
        let tick = entry.tick.min(max_tick);
        // The highest level at which this tick and the current tick lie in different slots.
        let level = ((63 - (tick ^ self.tick).leading_zeros()) / LEVEL_BITS) as usize;
        let level = level.min(LEVELS - 1);
        let slot = (tick >> (LEVEL_BITS * level as u32)) as usize % SLOTS;
        self.occupied[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push(entry);
    }

    /// The first tick after the current one at which a slot has to be processed.
    fn next_tick(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_tick_of_level(level)).min()
    }

    fn next_tick_of_level(&self, level: usize) -> Option<u64> {
        let occupied = self.occupied[level];
        if occupied == 0 {
            return None;
        }
        let shift = LEVEL_BITS * level as u32;
        let current = self.tick >> shift;
        // Slots are searched circularly, starting with the one after the current slot.
        let ahead = occupied.rotate_right(((current + 1) % SLOTS as u64) as u32).trailing_zeros();
        Some((current + 1 + u64::from(ahead)) << shift)
    }

    /// Clock time, seconds, of the next call of [`TimerWheel::advance`]: no timer is due earlier. Negative infinity
    /// when a timer is already due, none when no timer is set.
    pub fn next_expiry(&self) -> Option<f64> {
        if !self.due.is_empty() {
            return Some(f64::NEG_INFINITY);
        }
        self.next_tick().map(|tick| self.origin + tick as f64 / self.ticks_per_second)
    }

    /// Advances to the clock time `now`, seconds, and appends the payloads of all due timers to `fired`.
    pub fn advance(&mut self, now: f64, fired: &mut Vec<T>) {
        let target = ((now - self.origin) * self.ticks_per_second).floor().max(0.0) as u64;
        while let Some(next) = self.next_tick().filter(|next| *next <= target) {
            self.tick = next;
            for level in (0..LEVELS).rev() {
                let shift = LEVEL_BITS * level as u32;
                if level > 0 && next & ((1 << shift) - 1) != 0 {
                    continue;
                }
                let slot = (next >> shift) as usize % SLOTS;
                if self.occupied[level] & 1 << slot == 0 {
                    continue;
                }
                self.occupied[level] &= !(1 << slot);
                let entries = std::mem::take(&mut self.slots[level * SLOTS + slot]);
                entries.into_iter().for_each(|entry| self.insert(entry));
            }
        }
        self.tick = self.tick.max(target);
        self.due.sort_by(|left, right| left.time.total_cmp(&right.time).then(left.order.cmp(&right.order)));
        self.count -= self.due.len();
        fired.extend(self.due.drain(..).map(|entry| entry.payload));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

        /// Compares the wheel with a sorted list: timers fire in order, none early, none later than a tick, and none is
        /// lost.
        #[test]
        fn fires_like_a_sorted_list(
            steps in proptest::collection::vec((0.0..4000.0f64, 0.0..1.0f64, 0u8..4), 1..120),
        ) {
            let mut now = 1e9;
            let (mut wheel, mut expected_timers) = (TimerWheel::new(now), Vec::<(f64, usize)>::new());
            for (id, (distance, step, scale)) in steps.iter().enumerate() {
                let delay = distance * [1.0, 1e-1, 1e-3, 1e-6][usize::from(*scale)];
                wheel.set(now + delay, id);
                expected_timers.push((now + delay, id));
                now += step * [0.01, 1.0, 60.0, 700.0][usize::from(*scale)];
                let mut fired = Vec::new();
                wheel.advance(now, &mut fired);
                expected_timers.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
                let expected: Vec<_> = expected_timers.iter().filter(|timer| fired.contains(&timer.1)).map(|timer| timer.1).collect();
                prop_assert_eq!(&fired, &expected);
                for timer in &expected_timers {
                    let early = fired.contains(&timer.1) && timer.0 > now + 1e-6;
                    let late = !fired.contains(&timer.1) && timer.0 < now - 2.0 / TICKS_PER_SECOND;
                    prop_assert!(!early && !late, "{timer:?} at {now}");
                }
                expected_timers.retain(|timer| !fired.contains(&timer.1));
                prop_assert_eq!(wheel.len(), expected_timers.len());
                // No timer may be due before the time that the wheel reports as the next expiry.
                let next = wheel.next_expiry().unwrap_or(f64::INFINITY);
                prop_assert!(expected_timers.iter().all(|timer| timer.0 >= next - 1.0 / TICKS_PER_SECOND - 1e-6));
            }
        }
    }

    /// A timer that is set in the past, for example after a stall, fires at the next call.
    #[test]
    fn past_timers_fire_at_the_next_call() {
        let mut wheel = TimerWheel::new(10.0);
        let mut fired = Vec::new();
        wheel.advance(12.0, &mut fired);
        wheel.set(11.0, 'b');
        wheel.set(10.5, 'a');
        assert_eq!(wheel.next_expiry(), Some(f64::NEG_INFINITY));
        wheel.advance(12.0, &mut fired);
        assert_eq!(fired, ['a', 'b']);
    }
}
