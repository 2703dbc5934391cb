//! Exponential backoff with jitter between failed polls.

use admission::interface::TimeDelta;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The maximum length of the first pause.
const INITIAL_PAUSE_S: f64 = 0.05;

/// The maximum length of any pause. It is far below the 7 s after which an event is assumed to have
/// been delivered.
const MAX_PAUSE_S: f64 = 1.0;

/// The fraction of each pause that is not random.
const FIXED_FRACTION: f64 = 0.5;

/// The state of the pauses. Their jitter spreads out the polls of many gateways that lose the
/// discovery service at the same time.
pub(super) struct Backoff {
    /// The maximum length of the next pause.
    next: TimeDelta,
    rng: Pcg64Mcg,
}

impl Backoff {
    pub(super) fn new(seed: u64) -> Self {
        Backoff {
            next: TimeDelta::from_secs(INITIAL_PAUSE_S),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Restarts with the first pause, after a successful poll or a change of the service's address.
    pub(super) fn reset(&mut self) {
        self.next = TimeDelta::from_secs(INITIAL_PAUSE_S);
    }

    /// Returns the length of the next pause, and doubles the maximum of the one after it.
    pub(super) fn next_pause(&mut self) -> TimeDelta {
        let fraction = FIXED_FRACTION + (1.0 - FIXED_FRACTION) * self.rng.random::<f64>();
        let pause = TimeDelta::from_secs(self.next.secs() * fraction);
        self.next = TimeDelta::from_secs((self.next.secs() * 2.0).min(MAX_PAUSE_S));
        pause
    }
}
