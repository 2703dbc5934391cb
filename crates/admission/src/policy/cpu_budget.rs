//! The CPU budget: a token bucket of CPU seconds for each query class, at each engine and once more
//! over all engines.
//!
//! Sending a statement charges its predicted CPU time, and its outcome corrects the charge to the
//! actual CPU time. A full bucket sends any statement and may go into debt, which the refill
//! repays.

use crate::interface::{ClassId, Timestamp};

/// A full bucket holds what its refill adds in this time, in seconds.
const BURST_S: f64 = 2.0;
/// A bucket counts as full from this fraction of its capacity on, so that rounding cannot keep it
/// from being full.
const FULL_FRACTION: f64 = 0.99;

/// Refill rate of the buckets of one engine or of the fleet.
#[derive(Clone, Copy)]
pub(super) struct RefillRate {
    /// CPU seconds per second at full speed, over all classes.
    pub(super) cores: f64,
    /// Fraction of the full refill rate that applies now.
    pub(super) speed: f64,
    /// Fraction of the full bucket capacity that applies now.
    pub(super) capacity_factor: f64,
}

/// The token buckets of all query classes, in CPU seconds.
#[derive(Clone)]
pub(super) struct CpuBuckets {
    tokens: Vec<f64>,
    last_refill: Timestamp,
}

/// Returns the capacity of a class's bucket in CPU seconds. `share` is the class's share of
/// `cores`.
pub(super) fn bucket_capacity(cores: f64, share: f64) -> f64 {
    cores * share * BURST_S
}

/// Returns whether a bucket with this many tokens counts as full.
pub(super) fn is_full(tokens: f64, capacity: f64) -> bool {
    tokens >= capacity * FULL_FRACTION
}

impl CpuBuckets {
    /// Starts with full buckets, which the first refill cuts to their capacity.
    pub(super) fn new(now: Timestamp, classes: usize) -> Self {
        CpuBuckets {
            tokens: vec![f64::INFINITY; classes],
            last_refill: now,
        }
    }

    /// Returns the tokens of the class's bucket in CPU seconds; negative while it is in debt.
    pub(super) fn tokens(&self, class: ClassId) -> f64 {
        self.tokens[class.0]
    }

    /// Returns the seconds since the last refill.
    pub(super) fn since_refill_s(&self, now: Timestamp) -> f64 {
        (now - self.last_refill).secs().max(0.0)
    }

    /// Refills the buckets up to `now`. `shares` holds each class's share of the cores, in class
    /// order.
    pub(super) fn refill(
        &mut self,
        now: Timestamp,
        rate: RefillRate,
        shares: impl Iterator<Item = f64>,
    ) {
        let elapsed_s = self.since_refill_s(now);
        self.last_refill = now;
        for (tokens, share) in self.tokens.iter_mut().zip(shares) {
            let refill = rate.cores * share * rate.speed * elapsed_s;
            let capacity = bucket_capacity(rate.cores, share) * rate.capacity_factor;
            *tokens = (*tokens + refill).min(capacity);
        }
    }

    /// Charges a statement that is sent. A full bucket may go into debt without limit. Any other
    /// bucket, from which a statement is sent because latency is near its best, owes at most its
    /// capacity: with debts of 20 to 100 CPU seconds, engines stood idle for minutes.
    pub(super) fn charge(&mut self, class: ClassId, predicted_s: f64, capacity: f64) {
        let tokens = &mut self.tokens[class.0];
        let floor = if is_full(*tokens, capacity) {
            f64::NEG_INFINITY
        } else {
            tokens.min(-capacity)
        };
        *tokens = (*tokens - predicted_s).max(floor);
    }

    /// Gives back the part of a charge that an attempt did not use. A negative value charges what
    /// the attempt used in addition.
    pub(super) fn credit(&mut self, class: ClassId, cpu_s: f64) {
        self.tokens[class.0] += cpu_s;
    }
}
