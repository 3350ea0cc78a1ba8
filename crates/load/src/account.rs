//! What was measured: counts and histograms for each band, plan, volume group and interval, merged without loss.

use std::collections::BTreeMap;

use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Latencies are held in microseconds with three significant digits: each is told to 0.1%.
pub const DIGITS: u8 = 3;
/// Longest latency held, an hour; a longer one counts as that.
const LONGEST: u64 = 3_600_000_000;

/// Microseconds.
pub type Latencies = Histogram<u64>;

pub fn histogram() -> Latencies {
    let mut histogram = Histogram::new_with_bounds(1, 1_000_000, DIGITS).expect("bounds in order");
    histogram.auto(true);
    histogram
}

fn put(histogram: &mut Histogram<u64>, seconds: f64) {
    let value = (seconds.max(0.0) * 1e6).round() as u64;
    histogram.record(value.min(LONGEST)).expect("a histogram that grows");
}

/// A histogram's own form, HdrHistogram V2.
pub fn pack(histogram: &Histogram<u64>) -> Vec<u8> {
    let mut bytes = Vec::new();
    V2Serializer::new().serialize(histogram, &mut bytes).expect("memory to write to");
    bytes
}

/// Longest packed histogram that is read, bytes: far above any of three digits.
const LONGEST_PACKED: usize = 1 << 20;

pub fn unpack(bytes: &[u8]) -> Result<Histogram<u64>, String> {
    if bytes.len() > LONGEST_PACKED {
        return Err(format!("a histogram of {} bytes, {LONGEST_PACKED} at most", bytes.len()));
    }
    // The header says how much memory the histogram takes; it is looked at before any is.
    if bytes.len() < 40 {
        return Err("a histogram shorter than its header".into());
    }
    let field = |at: usize| u64::from_be_bytes(bytes[at..at + 8].try_into().expect("eight bytes"));
    let digits = u32::from_be_bytes(bytes[12..16].try_into().expect("four bytes"));
    let (low, high) = (field(16), field(24));
    if digits > u32::from(DIGITS) || low != 1 || high > 4 * LONGEST {
        return Err(format!("a histogram of {digits} digits from {low} to {high}"));
    }
    let read = Deserializer::new().deserialize::<u64, _>(&mut &bytes[..]);
    let mut histogram = read.map_err(|error| format!("not a histogram: {error}"))?;
    histogram.auto(true);
    Ok(histogram)
}

/// How operations and tries ended. Every arrival of an open load is in exactly one of those up to `lost`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Arrivals that were meant.
    pub offered: u64,
    /// Settled by the due time, from when they were meant.
    pub in_time: u64,
    pub late: u64,
    /// The last try was declined, or scrapped.
    pub declined: u64,
    pub scrapped: u64,
    /// The caller left.
    pub left: u64,
    /// The connection ended with the command out.
    pub cut: u64,
    /// Given up by the caller at its outer limit without an answer.
    pub unanswered: u64,
    /// Given up at its outer limit before any queue had room for it, or any peer was there.
    pub unsent: u64,
    /// Came due so late that the generator did not send it any more.
    pub missed: u64,
    /// Not sent for the generator's bound on open operations.
    pub overrun: u64,
    /// Open when the load was ended.
    pub lost: u64,
    /// Commands written, first tries and further ones.
    pub tries: u64,
    /// Answers that came after the caller had given up.
    pub stale: u64,
    pub units: u64,
    pub units_in_time: u64,
    pub benefit: f64,
    /// Benefit if all offered had been served in time, reckoned in the same way.
    pub benefit_due: f64,
}

impl Counts {
    /// Every ending, in the order of the tables, with its name.
    pub fn ends(&self) -> [(&'static str, u64); 11] {
        [
            ("in time", self.in_time),
            ("late", self.late),
            ("declined", self.declined),
            ("scrapped", self.scrapped),
            ("left", self.left),
            ("cut", self.cut),
            ("unanswered", self.unanswered),
            ("unsent", self.unsent),
            ("missed", self.missed),
            ("overrun", self.overrun),
            ("lost", self.lost),
        ]
    }

    pub fn settled(&self) -> u64 {
        self.in_time + self.late
    }

    /// Arrivals that the generator itself did not bring to the wire.
    pub fn not_sent_by_us(&self) -> u64 {
        self.missed + self.overrun
    }

    /// Part of the offered that was settled in time.
    pub fn goodput(&self) -> f64 {
        if self.offered == 0 {
            0.0
        } else {
            self.in_time as f64 / self.offered as f64
        }
    }

    pub fn add(&mut self, other: &Counts) {
        for (mine, theirs) in self.fields().into_iter().zip(other.clone().fields()) {
            *mine += *theirs;
        }
        self.benefit += other.benefit;
        self.benefit_due += other.benefit_due;
    }

    /// Names of the whole-number counts, in the order of [`Counts::fields`].
    pub const NAMES: [&'static str; 16] = [
        "offered",
        "in_time",
        "late",
        "declined",
        "scrapped",
        "left",
        "cut",
        "unanswered",
        "unsent",
        "missed",
        "overrun",
        "lost",
        "tries",
        "stale",
        "units",
        "units_in_time",
    ];

    pub fn fields(&mut self) -> [&mut u64; 16] {
        [
            &mut self.offered,
            &mut self.in_time,
            &mut self.late,
            &mut self.declined,
            &mut self.scrapped,
            &mut self.left,
            &mut self.cut,
            &mut self.unanswered,
            &mut self.unsent,
            &mut self.missed,
            &mut self.overrun,
            &mut self.lost,
            &mut self.tries,
            &mut self.stale,
            &mut self.units,
            &mut self.units_in_time,
        ]
    }
}

/// Counts and latencies of one class.
#[derive(Clone, Debug)]
pub struct Cell {
    pub counts: Counts,
    /// From the intended time of the first try to the settled answer.
    pub meant: Histogram<u64>,
    /// From the writing of the answered try: what a closed loop would call latency.
    pub wire: Histogram<u64>,
    /// From the intended time of each try to its writing: the generator's own lag, and the wait for a queue.
    pub lag: Histogram<u64>,
}

impl Default for Cell {
    fn default() -> Self {
        Cell { counts: Counts::default(), meant: histogram(), wire: histogram(), lag: histogram() }
    }
}

impl Cell {
    pub fn settled(&mut self, meant: f64, wire: f64) {
        put(&mut self.meant, meant);
        put(&mut self.wire, wire);
    }

    pub fn lag(&mut self, seconds: f64) {
        put(&mut self.lag, seconds);
    }

    /// Adds another's; a histogram of a wider range widens this one's.
    pub fn add(&mut self, other: &Cell) {
        self.counts.add(&other.counts);
        for (mine, theirs) in
            [(&mut self.meant, &other.meant), (&mut self.wire, &other.wire), (&mut self.lag, &other.lag)]
        {
            mine.add(theirs).expect("a histogram that grows");
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    All,
    Band,
    Plan,
    Group,
    /// All of one interval, warm-up included.
    Interval,
    /// One band of one interval.
    Span,
}

/// Which class a cell is of: `name` is a place in the list of bands, plans or groups.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    pub kind: Kind,
    pub name: u32,
    /// Interval, of those kinds that have one.
    pub interval: u32,
}

impl Key {
    pub fn new(kind: Kind, name: usize) -> Key {
        Key { kind, name: name as u32, interval: 0 }
    }
}

/// A cell that takes no more: histograms in their packed form.
#[derive(Clone, Debug, PartialEq)]
pub struct Packed {
    pub counts: Counts,
    pub meant: Vec<u8>,
    pub wire: Vec<u8>,
    pub lag: Vec<u8>,
}

impl Packed {
    fn of(cell: &Cell) -> Packed {
        let (meant, wire, lag) = (pack(&cell.meant), pack(&cell.wire), pack(&cell.lag));
        Packed { counts: cell.counts.clone(), meant, wire, lag }
    }

    pub fn cell(&self) -> Result<Cell, String> {
        let (meant, wire, lag) = (unpack(&self.meant)?, unpack(&self.wire)?, unpack(&self.lag)?);
        Ok(Cell { counts: self.counts.clone(), meant, wire, lag })
    }
}

/// What one volume was offered and got.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Served {
    pub offered: u64,
    pub units: u64,
    pub units_in_time: u64,
    pub benefit: f64,
}

/// All that one run measured.
#[derive(Clone, Debug, Default)]
pub struct Account {
    live: BTreeMap<Key, Cell>,
    closed: BTreeMap<Key, Packed>,
    pub volumes: BTreeMap<u32, Served>,
}

impl Account {
    pub fn cell(&mut self, key: Key) -> &mut Cell {
        if let Some(packed) = self.closed.remove(&key) {
            // A late one opens its interval again; it was packed by this program, so it opens.
            self.live.insert(key, packed.cell().expect("packed here"));
        }
        self.live.entry(key).or_default()
    }

    /// Packs intervals before this one; a later count opens its interval again.
    pub fn close(&mut self, before: u32) {
        let old: Vec<Key> = (self.live.keys())
            .filter(|key| matches!(key.kind, Kind::Interval | Kind::Span) && key.interval < before)
            .copied()
            .collect();
        for key in old {
            if let Some(cell) = self.live.remove(&key) {
                self.closed.insert(key, Packed::of(&cell));
            }
        }
    }

    /// Every cell, packed, in order.
    pub fn packed(&self) -> BTreeMap<Key, Packed> {
        let mut all = self.closed.clone();
        all.extend(self.live.iter().map(|(key, cell)| (*key, Packed::of(cell))));
        all
    }

    /// Takes a cell from elsewhere into the class's own.
    pub fn merge(&mut self, key: Key, packed: &Packed) -> Result<(), String> {
        let cell = packed.cell()?;
        self.cell(key).add(&cell);
        Ok(())
    }

    pub fn serve(&mut self, volume: u32, served: &Served) {
        let mine = self.volumes.entry(volume).or_default();
        mine.offered += served.offered;
        mine.units += served.units;
        mine.units_in_time += served.units_in_time;
        mine.benefit += served.benefit;
    }

    /// Cells whose histograms are spread out in memory.
    pub fn spread_out(&self) -> usize {
        self.live.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 60, failure_persistence: None, ..Default::default() })]

        /// Parts of different ranges merged are one histogram of all: no count is lost, none moves.
        #[test]
        fn merged_without_loss(
            parts in proptest::collection::vec(
                (0.0..7.0f64, proptest::collection::vec(0.0..1.0f64, 1..40)), 1..5),
        ) {
            let key = Key::new(Kind::Band, 0);
            let (mut whole, mut merged) = (Account::default(), Account::default());
            for (scale, values) in &parts {
                let mut part = Account::default();
                for value in values {
                    let seconds = value * 10f64.powf(scale - 4.0);
                    part.cell(key).settled(seconds, seconds / 2.0);
                    whole.cell(key).settled(seconds, seconds / 2.0);
                    part.cell(key).counts.in_time += 1;
                    whole.cell(key).counts.in_time += 1;
                }
                for (key, packed) in part.packed() {
                    merged.merge(key, &packed).unwrap();
                }
            }
            let (whole, merged) = (whole.cell(key).clone(), merged.cell(key).clone());
            prop_assert_eq!(&whole.counts, &merged.counts);
            prop_assert_eq!(whole.meant, merged.meant);
            prop_assert_eq!(whole.wire, merged.wire);
        }

        /// Bytes of any kind are refused or read, never a panic and never much memory.
        #[test]
        fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = unpack(&bytes);
        }
    }

    /// An interval that was packed takes a late count as if it had not been.
    #[test]
    fn a_closed_interval_opens_again() {
        let key = Key { kind: Kind::Interval, name: 0, interval: 3 };
        let mut account = Account::default();
        account.cell(key).settled(0.5, 0.4);
        account.close(4);
        assert_eq!(account.spread_out(), 0);
        account.cell(key).settled(5.0, 4.0);
        assert_eq!(account.cell(key).meant.len(), 2);
    }

    #[test]
    fn a_hostile_header_takes_no_memory() {
        let mut bytes = pack(&histogram());
        bytes[24..32].copy_from_slice(&u64::MAX.to_be_bytes());
        assert!(unpack(&bytes).unwrap_err().contains("digits"));
    }
}
