//! Units in store, added up: what fills at a rate up to a cap, and what initiators lent each other, each loan with an
//! end on this process's clock. Nothing is decided here.

/// Units that came (positive) or went (negative), and up to when they count. A loan that went is of negative units
/// until it has surely lapsed where it went to; one that came is of positive units until it lapses here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loans(Vec<(f64, f64)>);

impl Loans {
    pub fn add(&mut self, units: f64, until: f64) {
        self.0.push((units, until));
    }

    /// Units that count at `now`, net.
    pub fn net(&self, now: f64) -> f64 {
        self.0.iter().filter(|(_, until)| now < *until).map(|(units, _)| units).sum()
    }

    /// Forgets what no longer counts.
    pub fn expire(&mut self, now: f64) {
        self.0.retain(|(_, until)| now < *until);
    }

    fn first_end(&self) -> f64 {
        self.0.iter().map(|(_, until)| *until).fold(f64::INFINITY, f64::min)
    }
}

/// A store that fills at a rate (units a second) up to a cap (units), which loans raise and lower.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenBucket {
    pub level: f64,
    pub filled_at: f64,
    pub loans: Loans,
}

impl TokenBucket {
    /// Piece by piece from one end of a loan to the next: a process that had no turn for long keeps nothing over
    /// an end that passed meanwhile.
    pub fn refill(&mut self, now: f64, rate: f64, cap: f64) {
        loop {
            let at = self.loans.first_end().min(now);
            let held = (cap + self.loans.net(at.next_down())).max(0.0);
            self.level = (self.level + rate * (at - self.filled_at).max(0.0)).min(held);
            self.filled_at = self.filled_at.max(at);
            self.loans.expire(at);
            if at >= now {
                self.level = self.level.min((cap + self.loans.net(now)).max(0.0));
                return;
            }
        }
    }

    /// All that it is, for an explorer to tell two states apart by.
    pub fn encode_state(&self, out: &mut Vec<u8>) {
        let moved = self.loans.0.iter().flat_map(|(units, until)| [*units, *until]);
        let all = [self.level, self.filled_at].into_iter().chain(moved);
        all.for_each(|value| out.extend(value.to_bits().to_le_bytes()));
    }

    /// Moves units in or out; false, and nothing done, where there are too few.
    pub fn transfer(&mut self, units: f64, until: f64) -> bool {
        if self.level + units < 0.0 {
            return false;
        }
        self.level += units;
        self.loans.add(units, until);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Rate 1, cap 4, full at 0; a loan at 0 that counts up to 2.
    #[test_case(2.0, 1.0, 6.0; "what came counts")]
    #[test_case(2.0, 2.0, 4.0; "and lapses at its end")]
    #[test_case(2.0, 9.0, 4.0; "also for one that had no turn since")]
    #[test_case(-3.0, 1.0, 1.0; "what went is gone, and its room")]
    #[test_case(-3.0, 2.0, 1.0; "up to its end")]
    #[test_case(-3.0, 4.0, 3.0; "from where it fills again")]
    #[test_case(-3.0, 9.0, 4.0; "up to the cap")]
    fn loans_end(units: f64, at: f64, level: f64) {
        let mut store = TokenBucket { level: 4.0, ..TokenBucket::default() };
        assert!(store.transfer(units, 2.0));
        store.refill(at, 1.0, 4.0);
        assert_eq!(store.level, level);
    }

    #[test]
    fn nothing_goes_that_is_not_there() {
        let mut store = TokenBucket { level: 1.0, ..TokenBucket::default() };
        assert!(!store.transfer(-2.0, 9.0));
        assert_eq!(store, TokenBucket { level: 1.0, ..TokenBucket::default() });
    }
}
