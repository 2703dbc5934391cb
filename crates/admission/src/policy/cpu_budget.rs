//! The CPU budget: a token bucket of CPU seconds per query class, at each engine and once more over all of them.
//!
//! A send is charged its prediction, its outcome corrects that to the true CPU. A bucket that is full sends anything
//! and goes into debt, which the refill repays.

use crate::interface::{ClassId, Timestamp};

/// A full bucket holds what its refill brings in this time, in seconds.
const BURST_S: f64 = 2.0;
/// A bucket counts as full from this part of its capacity on: rounding must not keep it from it.
const FULL: f64 = 0.99;

/// How fast the buckets of one place refill.
#[derive(Clone, Copy)]
pub(super) struct RefillRate {
    /// CPU seconds a second at full speed, over all classes.
    pub(super) cores: f64,
    /// Part of that by which they refill now.
    pub(super) speed: f64,
    /// Part of their capacity that they may hold now.
    pub(super) capacity_factor: f64,
}

/// Tokens, in CPU seconds, by query class.
#[derive(Clone)]
pub(super) struct CpuBuckets {
    tokens: Vec<f64>,
    refilled: Timestamp,
}

/// What a bucket holds for a class of this share of `cores` when it is full.
pub(super) fn bucket_capacity(cores: f64, share: f64) -> f64 {
    cores * share * BURST_S
}

/// Whether this many tokens count as a full bucket.
pub(super) fn is_full(tokens: f64, capacity: f64) -> bool {
    tokens >= capacity * FULL
}

impl CpuBuckets {
    /// Full buckets, whatever their capacity is.
    pub(super) fn new(now: Timestamp, classes: usize) -> Self {
        CpuBuckets {
            tokens: vec![f64::INFINITY; classes],
            refilled: now,
        }
    }

    pub(super) fn tokens(&self, class: ClassId) -> f64 {
        self.tokens[class.0]
    }

    /// Seconds since the last refill.
    pub(super) fn since_refill_s(&self, now: Timestamp) -> f64 {
        (now - self.refilled).secs().max(0.0)
    }

    /// `shares`: each class's part of the cores.
    pub(super) fn refill(
        &mut self,
        now: Timestamp,
        rate: RefillRate,
        shares: impl Iterator<Item = f64>,
    ) {
        let elapsed_s = self.since_refill_s(now);
        self.refilled = now;
        for (tokens, share) in self.tokens.iter_mut().zip(shares) {
            let refill = rate.cores * share * rate.speed * elapsed_s;
            let capacity = bucket_capacity(rate.cores, share) * rate.capacity_factor;
            *tokens = (*tokens + refill).min(capacity);
        }
    }

    /// A full bucket's debt is repaid whole. One that was sent from without tokens, since latency was near its best,
    /// owes one bucket at most: engines else stood idle for minutes by debts of 20 to 100 CPU seconds.
    pub(super) fn charge(&mut self, class: ClassId, predicted_s: f64, capacity: f64) {
        let tokens = &mut self.tokens[class.0];
        let lowest = if is_full(*tokens, capacity) {
            f64::NEG_INFINITY
        } else {
            tokens.min(-capacity)
        };
        *tokens = (*tokens - predicted_s).max(lowest);
    }

    /// Gives back what an attempt was charged beyond what it took; negative: it took more.
    pub(super) fn credit(&mut self, class: ClassId, cpu_s: f64) {
        self.tokens[class.0] += cpu_s;
    }
}
