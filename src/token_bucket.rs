//! Token buckets, which fill at a rate up to a cap, and the loans between the buckets of several initiators. Each
//! loan expires at a time of this process's clock. The decisions on loans are made elsewhere.

/// Units that were borrowed (positive) or lent (negative), each with the time at which the loan expires. A lent loan
/// stays until it has certainly expired at the borrower; a borrowed one until it expires here.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Loans(Vec<(f64, f64)>);

impl Loans {
    pub fn add(&mut self, units: f64, expires_at: f64) {
        self.0.push((units, expires_at));
    }

    /// Units borrowed less units lent, of the loans that have not expired at `now`.
    pub fn net(&self, now: f64) -> f64 {
        self.0.iter().filter(|(_, expires_at)| now < *expires_at).map(|(units, _)| units).sum()
    }

    /// Removes the loans that have expired.
    pub fn expire(&mut self, now: f64) {
        self.0.retain(|(_, expires_at)| now < *expires_at);
    }

    fn first_expiry(&self) -> f64 {
        self.0.iter().map(|(_, expires_at)| *expires_at).fold(f64::INFINITY, f64::min)
    }
}

/// A bucket that fills at a rate (units per second) up to a cap (units). Loans raise and lower the cap.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TokenBucket {
    /// Units available.
    pub level: f64,
    /// Clock time up to which the bucket has been filled, seconds.
    pub filled_at: f64,
    pub loans: Loans,
}

impl TokenBucket {
    /// Fills the bucket up to `now`, step by step from one expiry of a loan to the next. So a process that did not
    /// run for a long time keeps no units beyond a loan that expired in the meantime.
    pub fn refill(&mut self, now: f64, rate: f64, cap: f64) {
        loop {
            let step_end = self.loans.first_expiry().min(now);
            let current_cap = (cap + self.loans.net(step_end.next_down())).max(0.0);
            self.level = (self.level + rate * (step_end - self.filled_at).max(0.0)).min(current_cap);
            self.filled_at = self.filled_at.max(step_end);
            self.loans.expire(step_end);
            if step_end >= now {
                self.level = self.level.min((cap + self.loans.net(now)).max(0.0));
                return;
            }
        }
    }

    /// Appends the complete state, by which a state space search recognises equal states.
    pub fn encode_state(&self, out: &mut Vec<u8>) {
        let loans = self.loans.0.iter().flat_map(|(units, expires_at)| [*units, *expires_at]);
        let values = [self.level, self.filled_at].into_iter().chain(loans);
        values.for_each(|value| out.extend(value.to_bits().to_le_bytes()));
    }

    /// Adds borrowed units (positive) or removes lent ones (negative). Returns false, and changes nothing, if there
    /// are too few to lend.
    pub fn transfer(&mut self, units: f64, expires_at: f64) -> bool {
        if self.level + units < 0.0 {
            return false;
        }
        self.level += units;
        self.loans.add(units, expires_at);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// The rate is 1 and the cap 4; the bucket is full at 0, and a loan of time 0 expires at 2.
    #[test_case(2.0, 1.0, 6.0; "borrowed units are available")]
    #[test_case(2.0, 2.0, 4.0; "and expire at the end of the loan")]
    #[test_case(2.0, 9.0, 4.0; "also if the bucket was not filled in between")]
    #[test_case(-3.0, 1.0, 1.0; "lent units lower the level and the cap")]
    #[test_case(-3.0, 2.0, 1.0; "until the loan expires")]
    #[test_case(-3.0, 4.0, 3.0; "after which the bucket fills again")]
    #[test_case(-3.0, 9.0, 4.0; "up to the cap")]
    fn loans_expire(units: f64, now: f64, level: f64) {
        let mut bucket = TokenBucket { level: 4.0, ..TokenBucket::default() };
        assert!(bucket.transfer(units, 2.0));
        bucket.refill(now, 1.0, 4.0);
        assert_eq!(bucket.level, level);
    }

    #[test]
    fn more_units_than_available_are_not_lent() {
        let mut bucket = TokenBucket { level: 1.0, ..TokenBucket::default() };
        assert!(!bucket.transfer(-2.0, 9.0));
        assert_eq!(bucket, TokenBucket { level: 1.0, ..TokenBucket::default() });
    }
}
