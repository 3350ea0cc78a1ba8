//! Timers that are set by the thousand and never taken back: a hierarchical wheel.
//!
//! Six levels of 64 slots over ticks of 1/1024 s, or finer. A timer goes into the level that its distance needs and
//! moves down as its time comes near, so setting one and ringing one cost the same whatever the number set.
//! A timer rings at the first tick at or after its time, never before; those of one call ring by time, then in
//! the order set.

const SLOTS: usize = 64;
const BITS: u32 = 6;
const LEVELS: usize = 6;
const TICKS: f64 = 1024.0;

#[derive(Debug)]
struct Entry<T> {
    at: f64,
    tick: u64,
    order: u64,
    what: T,
}

#[derive(Debug)]
pub struct TimerWheel<T> {
    ticks: f64,
    origin: f64,
    tick: u64,
    order: u64,
    count: usize,
    slots: Vec<Vec<Entry<T>>>,
    /// One bit for each slot of a level that holds anything.
    held: [u64; LEVELS],
    /// Timers whose tick has already passed when they were set.
    due: Vec<Entry<T>>,
}

impl<T> TimerWheel<T> {
    /// A wheel that starts at `now`, seconds.
    pub fn new(now: f64) -> Self {
        Self::with_resolution(now, TICKS)
    }

    /// As [`TimerWheel::new`], with so many ticks a second; at 65,536 what is later than 12 days is as 12 days.
    pub fn with_resolution(now: f64, ticks: f64) -> Self {
        TimerWheel {
            ticks,
            origin: now,
            tick: 0,
            order: 0,
            count: 0,
            slots: (0..SLOTS * LEVELS).map(|_| Vec::new()).collect(),
            held: [0; LEVELS],
            due: Vec::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Sets a timer for the clock time `at`, seconds; later than two years is as two years.
    pub fn set(&mut self, at: f64, what: T) {
        let tick = ((at - self.origin) * self.ticks).ceil().max(0.0) as u64;
        self.order += 1;
        self.count += 1;
        self.file(Entry { at, tick, order: self.order, what });
    }

    fn file(&mut self, entry: Entry<T>) {
        if entry.tick <= self.tick {
            self.due.push(entry);
            return;
        }
        let most = self.tick + (1 << (BITS * LEVELS as u32)) - 1;
        let tick = entry.tick.min(most);
        // The level whose slots tell this tick from the present one.
        let level = ((63 - (tick ^ self.tick).leading_zeros()) / BITS) as usize;
        let level = level.min(LEVELS - 1);
        let slot = (tick >> (BITS * level as u32)) as usize % SLOTS;
        self.held[level] |= 1 << slot;
        self.slots[level * SLOTS + slot].push(entry);
    }

    /// First tick after the present one at which a slot has to be looked at.
    fn next_tick(&self) -> Option<u64> {
        (0..LEVELS).filter_map(|level| self.next_in(level)).min()
    }

    fn next_in(&self, level: usize) -> Option<u64> {
        let held = self.held[level];
        if held == 0 {
            return None;
        }
        let shift = BITS * level as u32;
        let here = self.tick >> shift;
        // Slots are seen from the one after the present, round the circle.
        let ahead = held.rotate_right(((here + 1) % SLOTS as u64) as u32).trailing_zeros();
        Some((here + 1 + u64::from(ahead)) << shift)
    }

    /// When to call [`TimerWheel::advance`] next: no timer is due earlier.
    pub fn next_expiry(&self) -> Option<f64> {
        if !self.due.is_empty() {
            return Some(f64::NEG_INFINITY);
        }
        self.next_tick().map(|tick| self.origin + tick as f64 / self.ticks)
    }

    /// Moves to `now` and hands over what is due.
    pub fn advance(&mut self, now: f64, into: &mut Vec<T>) {
        let target = ((now - self.origin) * self.ticks).floor().max(0.0) as u64;
        while let Some(next) = self.next_tick().filter(|next| *next <= target) {
            self.tick = next;
            for level in (0..LEVELS).rev() {
                let shift = BITS * level as u32;
                if level > 0 && next & ((1 << shift) - 1) != 0 {
                    continue;
                }
                let slot = (next >> shift) as usize % SLOTS;
                if self.held[level] & 1 << slot == 0 {
                    continue;
                }
                self.held[level] &= !(1 << slot);
                let entries = std::mem::take(&mut self.slots[level * SLOTS + slot]);
                entries.into_iter().for_each(|entry| self.file(entry));
            }
        }
        self.tick = self.tick.max(target);
        self.due.sort_by(|one, other| one.at.total_cmp(&other.at).then(one.order.cmp(&other.order)));
        self.count -= self.due.len();
        into.extend(self.due.drain(..).map(|entry| entry.what));
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

        /// Against a sorted list: never early, never later than a tick, in order, none lost.
        #[test]
        fn as_a_sorted_list(
            steps in proptest::collection::vec((0.0..4000.0f64, 0.0..1.0f64, 0u8..4), 1..120),
        ) {
            let mut now = 1e9;
            let (mut wheel, mut plain) = (TimerWheel::new(now), Vec::<(f64, usize)>::new());
            for (at, (far, step, scale)) in steps.iter().enumerate() {
                let after = far * [1.0, 1e-1, 1e-3, 1e-6][usize::from(*scale)];
                wheel.set(now + after, at);
                plain.push((now + after, at));
                now += step * [0.01, 1.0, 60.0, 700.0][usize::from(*scale)];
                let mut rang = Vec::new();
                wheel.advance(now, &mut rang);
                plain.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
                let expected: Vec<_> = plain.iter().filter(|one| rang.contains(&one.1)).map(|one| one.1).collect();
                prop_assert_eq!(&rang, &expected);
                for one in &plain {
                    let early = rang.contains(&one.1) && one.0 > now + 1e-6;
                    let late = !rang.contains(&one.1) && one.0 < now - 2.0 / TICKS;
                    prop_assert!(!early && !late, "{one:?} at {now}");
                }
                plain.retain(|one| !rang.contains(&one.1));
                prop_assert_eq!(wheel.len(), plain.len());
                // Nothing may be due before the time that the caller is told to come back at.
                let next = wheel.next_expiry().unwrap_or(f64::INFINITY);
                prop_assert!(plain.iter().all(|one| one.0 >= next - 1.0 / TICKS - 1e-6));
            }
        }
    }

    /// A timer set in the past, as after a stall, rings at the next call.
    #[test]
    fn what_is_past_rings_at_once() {
        let mut wheel = TimerWheel::new(10.0);
        let mut rang = Vec::new();
        wheel.advance(12.0, &mut rang);
        wheel.set(11.0, 'b');
        wheel.set(10.5, 'a');
        assert_eq!(wheel.next_expiry(), Some(f64::NEG_INFINITY));
        wheel.advance(12.0, &mut rang);
        assert_eq!(rang, ['a', 'b']);
    }
}
