//! A token bucket whose rate may change while it is in use. The gateway's quotas and the
//! scheduler's tenants spend from such buckets.

/// A token bucket. Tokens accrue at a rate and can be saved up to what accrues within the burst
/// time. When the bucket is full, more than its capacity may be withdrawn, which leaves a debt.
///
/// All times are in seconds of any one clock that never goes back.
#[derive(Clone, Debug, PartialEq)]
pub struct TokenBucket {
    /// The number of tokens that accrue per second.
    rate: f64,
    /// The burst time: the bucket saves at most what accrues in this many seconds.
    burst_s: f64,
    /// The number of saved tokens; negative while there is a debt.
    level: f64,
    /// The time up to which tokens have been added, in seconds.
    filled_until: f64,
}

impl TokenBucket {
    /// The fraction of the capacity from which on the bucket counts as full, since rounding may
    /// keep a sum of small refills below the exact capacity.
    const FULL_FRACTION: f64 = 0.99;
    /// A lower bound for the capacity as a divisor, which avoids a division by zero.
    const MIN_CAPACITY_DIVISOR: f64 = 1e-9;

    /// A bucket without tokens. It starts empty because the previous owner of the rate may have
    /// spent the burst already or may still spend it.
    #[must_use]
    pub fn empty(now: f64, rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            rate,
            burst_s,
            level: 0.0,
            filled_until: now,
        }
    }

    /// A bucket that is filled to its capacity.
    #[must_use]
    pub fn full(now: f64, rate: f64, burst_s: f64) -> Self {
        TokenBucket {
            level: rate * burst_s,
            ..TokenBucket::empty(now, rate, burst_s)
        }
    }

    /// The number of tokens that accrue per second.
    #[must_use]
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// The burst time in seconds.
    #[must_use]
    pub fn burst_s(&self) -> f64 {
        self.burst_s
    }

    /// The largest number of tokens that can be saved.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.rate * self.burst_s
    }

    /// The number of saved tokens; negative while there is a debt.
    #[must_use]
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The time up to which tokens have been added, in seconds.
    #[must_use]
    pub fn filled_until(&self) -> f64 {
        self.filled_until
    }

    /// Adds the tokens that accrued up to `now`. A time before the last refill adds nothing.
    pub fn refill(&mut self, now: f64) {
        let elapsed = (now - self.filled_until).max(0.0);
        self.level = (self.level + self.rate * elapsed).min(self.capacity());
        self.filled_until = self.filled_until.max(now);
    }

    /// Whether `amount` may be withdrawn now: enough tokens are saved, or the amount exceeds the
    /// capacity and the bucket is full.
    #[must_use]
    pub fn covers(&self, amount: f64) -> bool {
        let capacity = self.capacity();
        capacity > 0.0 && self.level >= amount.min(capacity * Self::FULL_FRACTION)
    }

    /// The number of seconds until [`TokenBucket::covers`] holds for `amount`, or `None` if no
    /// tokens accrue.
    #[must_use]
    pub fn secs_until_covered(&self, amount: f64) -> Option<f64> {
        let missing = (amount.min(self.capacity() * Self::FULL_FRACTION) - self.level).max(0.0);
        (self.rate > 0.0).then(|| missing / self.rate)
    }

    /// Withdraws `amount` even if it is not covered. A negative amount is a refund, limited by the
    /// capacity.
    pub fn withdraw(&mut self, amount: f64) {
        self.level = (self.level - amount).min(self.capacity());
    }

    /// Changes the rate. Tokens above the new capacity are discarded, since whoever receives the
    /// rest of the rate may save them again. A higher rate adds no tokens, and a debt stays, so the
    /// buckets of one budget together never save more than the budget's burst. Scaling the saved
    /// tokens with the rate instead would lose some with each move of rate back and forth.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
        self.level = self.level.min(self.capacity());
    }

    /// Changes the burst time. Tokens above the new capacity are discarded.
    pub fn set_burst(&mut self, burst_s: f64) {
        self.burst_s = burst_s;
        self.level = self.level.min(self.capacity());
    }

    /// Changes the rate and the burst time of a bucket that is the only one of its budget, keeping
    /// the fraction of the capacity that is filled.
    pub fn rescale(&mut self, rate: f64, burst_s: f64) {
        let fill_fraction = self.level / self.capacity().max(Self::MIN_CAPACITY_DIVISOR);
        self.rate = rate;
        self.burst_s = burst_s;
        let capacity = self.capacity();
        self.level = if capacity > 0.0 {
            (fill_fraction * capacity).min(capacity)
        } else {
            capacity
        };
    }
}
