//! Pauses between failed polls: they double, and each is drawn by chance.

use admission::interface::TimeDelta;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The first pause is at most this long.
const INITIAL_S: f64 = 0.05;

/// No pause is longer: far below the time after which events count as told.
const MAX_S: f64 = 1.0;

/// The part of each pause that is not left to chance.
const FIXED_PART: f64 = 0.5;

/// Exponential backoff with jitter: of many gateways that lose the discovery service in one instant, each polls again
/// at an instant of its own.
pub(super) struct Backoff {
    next: TimeDelta,
    rng: Pcg64Mcg,
}

impl Backoff {
    pub(super) fn new(seed: u64) -> Self {
        Backoff {
            next: TimeDelta::from_secs(INITIAL_S),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A poll succeeded, or the next one goes elsewhere: the pauses start anew.
    pub(super) fn reset(&mut self) {
        self.next = TimeDelta::from_secs(INITIAL_S);
    }

    /// How long to wait now.
    pub(super) fn next_pause(&mut self) -> TimeDelta {
        let part = FIXED_PART + (1.0 - FIXED_PART) * self.rng.random::<f64>();
        let pause = TimeDelta::from_secs(self.next.secs() * part);
        self.next = TimeDelta::from_secs((self.next.secs() * 2.0).min(MAX_S));
        pause
    }
}
