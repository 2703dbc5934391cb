//! Token buckets: of actions, and of bytes.

use admission::interface::Timestamp;

/// Tokens that come back at a rate, one for each action; what is asked beyond them is not done.
#[derive(Clone, Debug)]
pub struct RateLimiter {
    per_s: f64,
    tokens: f64,
    refilled: Option<Timestamp>,
}

impl RateLimiter {
    /// A full bucket that holds the tokens of one second, and one at least.
    #[must_use]
    pub fn new(per_s: f64) -> Self {
        RateLimiter {
            per_s,
            tokens: per_s.max(1.0),
            refilled: None,
        }
    }

    /// Takes a token. False: there is none.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let elapsed = since_refill(&mut self.refilled, now);
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.per_s.max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Bytes that come back at a rate, up to a capacity.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    bytes_per_s: f64,
    capacity: f64,
    available: f64,
    refilled: Option<Timestamp>,
}

impl ByteBudget {
    /// A full budget.
    #[must_use]
    pub fn new(bytes_per_s: f64, capacity: f64) -> Self {
        ByteBudget {
            bytes_per_s,
            capacity,
            available: capacity,
            refilled: None,
        }
    }

    /// Bytes that may be spent now.
    pub fn available(&mut self, now: Timestamp) -> f64 {
        let elapsed = since_refill(&mut self.refilled, now);
        self.available = (self.available + elapsed * self.bytes_per_s).min(self.capacity);
        self.available
    }

    /// Spends bytes; a negative number gives some back.
    pub fn spend(&mut self, bytes: f64) {
        self.available -= bytes;
    }

    /// Spends bytes if there are as many. False: there are fewer, and none is spent.
    pub fn try_spend(&mut self, now: Timestamp, bytes: f64) -> bool {
        if self.available(now) < bytes {
            return false;
        }
        self.spend(bytes);
        true
    }
}

/// Seconds since the last refill, which is now from here on.
fn since_refill(refilled: &mut Option<Timestamp>, now: Timestamp) -> f64 {
    let last = refilled.replace(now).unwrap_or(now);
    (now - last).secs().max(0.0)
}
