//! A token bucket whose rate may change while it runs. The quotas of a gateway and the scheduler's tenants spend by it.

/// Tokens accrue at a rate, up to what accrues in the burst time. A withdrawal larger than the capacity is allowed when
/// the bucket is full, and leaves a debt.
///
/// Time is any clock in seconds that does not go back.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// Seconds of the rate that can be saved.
    burst_s: f64,
    /// Tokens saved; negative while there is a debt.
    level: f64,
    /// The time up to which tokens have accrued.
    filled_until: f64,
}

impl TokenBucket {
    /// A bucket filled to this part of its capacity counts as full: sums of small steps may never reach it exactly.
    const FULL: f64 = 0.99;
    /// Divides in place of a capacity of zero.
    const SMALLEST_CAPACITY: f64 = 1e-9;

    /// A bucket without tokens: whoever held this rate before has spent its burst or may still do so.
    #[must_use]
    pub fn empty(now: f64, rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            rate,
            burst_s,
            level: 0.0,
            filled_until: now,
        }
    }

    /// A bucket filled to its capacity.
    #[must_use]
    pub fn full(now: f64, rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            level: rate * burst_s,
            ..TokenBucket::empty(now, rate, burst_s)
        }
    }

    /// Tokens that accrue a second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Seconds of the rate that can be saved.
    #[must_use]
    pub fn burst_s(&self) -> f64 {
        self.burst_s
    }

    /// The most tokens that can be saved.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.rate * self.burst_s
    }

    /// Tokens saved; negative while there is a debt.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The time up to which tokens have accrued.
    #[must_use]
    pub fn filled_until(&self) -> f64 {
        self.filled_until
    }

    /// Adds what accrued up to `now`; a time before the last one adds nothing.
    pub fn refill(&mut self, now: f64) {
        let elapsed = (now - self.filled_until).max(0.0);
        self.level = (self.level + self.rate * elapsed).min(self.capacity());
        self.filled_until = self.filled_until.max(now);
    }

    /// Whether `amount` may be withdrawn now: it is saved, or it is larger than the capacity and the bucket is full.
    #[must_use]
    pub fn covers(&self, amount: f64) -> bool {
        let capacity = self.capacity();
        capacity > 0.0 && self.level >= amount.min(capacity * Self::FULL)
    }

    /// Seconds until [`TokenBucket::covers`] holds for `amount`; none where no tokens accrue.
    #[must_use]
    pub fn secs_until_covered(&self, amount: f64) -> Option<f64> {
        let missing = (amount.min(self.capacity() * Self::FULL) - self.level).max(0.0);
        (self.rate > 0.0).then(|| missing / self.rate)
    }

    /// Takes `amount` out, covered or not. A negative amount is given back, up to the capacity.
    pub fn withdraw(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.capacity());
    }

    /// Changes the rate. Savings above the new capacity are lost, since whoever receives the rest of the rate may save
    /// them anew. Savings do not grow with the rate, and debts stay: so all buckets of a budget together never save more
    /// than the budget's burst. (Scaling the savings instead would lose a little with each move back and forth.)
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Changes the burst time. Savings above the new capacity are lost.
    pub fn set_burst(&mut self, burst_s: f64) {
        self.burst_s = burst_s;
        self.level = self.level.min(self.capacity());
    }

    /// Changes rate and burst time of a budget that belongs to this bucket alone: the same part of it stays saved.
    pub fn rescale(&mut self, rate: f64, burst_s: f64) {
        let filled_part = self.level / self.capacity().max(Self::SMALLEST_CAPACITY);
        self.rate = rate;
        self.burst_s = burst_s;
        let capacity = self.capacity();
        self.level = if capacity > 0.0 {
            (filled_part * capacity).min(capacity)
        } else {
            capacity
        };
    }
}
