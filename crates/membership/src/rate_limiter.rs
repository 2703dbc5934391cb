//! Token buckets that limit the rate of actions and of bytes.

use admission::interface::Timestamp;

/// A token bucket in which each action takes one token.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: f64,
    tokens: f64,
    refilled: Option<Timestamp>,
}

impl RateLimiter {
    /// Creates a full bucket. Its capacity is the tokens of one second, but at least one token.
    #[must_use]
    pub fn new(per_s: f64) -> Self {
        RateLimiter {
            per_s,
            tokens: per_s.max(1.0),
            refilled: None,
        }
    }

    /// Takes a token. Returns false if none is left.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let elapsed = seconds_since_refill(&mut self.refilled, now);
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// A token bucket that counts bytes.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    capacity: f64,
    available: f64,
    refilled: Option<Timestamp>,
}

impl ByteBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(bytes_per_s: f64, capacity: f64) -> Self {
        ByteBudget {
            bytes_per_s,
            capacity,
            available: capacity,
            refilled: None,
        }
    }

    /// Returns how many bytes may be spent now. The number is negative while the budget is
    /// overdrawn.
    pub fn available(&mut self, now: Timestamp) -> f64 {
        let elapsed = seconds_since_refill(&mut self.refilled, now);
        self.available = (self.available + elapsed * self.bytes_per_s).min(self.capacity);
        self.available
    }

    /// Spends bytes without checking the budget. A negative number returns bytes to it.
    pub fn spend(&mut self, bytes: f64) {
        self.available -= bytes;
    }

    /// Spends bytes if enough are available. Otherwise spends nothing and returns false.
    pub fn try_spend(&mut self, now: Timestamp, bytes: f64) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        self.spend(bytes);
        true
    }
}

/// Returns the seconds since the last refill, and sets the time of the last refill to now.
fn seconds_since_refill(refilled: &mut Option<Timestamp>, now: Timestamp) -> f64 {
    let last = refilled.replace(now).unwrap_or(now);
    (now - last).secs().max(0.0)
}
