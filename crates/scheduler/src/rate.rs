//! The rate at which waiting work is released.

use admission::interface::Timestamp;

/// Estimates the rate at which work leaves a queue, in CPU seconds per second.
///
/// It measures the CPU seconds released per core second during which something waited. Because the
/// measure is per core, a change of the number of cores affects the estimate in the same turn, long
/// before the releases themselves would show it.
#[derive(Clone, Debug)]
pub(crate) struct RateEstimator {
    released_cpu: f64,
    core_seconds: f64,
    updated: Timestamp,
    waiting: bool,
}

impl RateEstimator {
    /// Time constant of the decay while something waits, in seconds. Older releases reflect
    /// different traffic. With a shorter time constant, single large statements would make the rate
    /// jump.
    const DECAY_S: f64 = 2.0;
    /// Time constant of the decay while nothing waits, in seconds. Idle time carries no
    /// information, so observations decay slowly.
    const IDLE_DECAY_S: f64 = 10.0 * Self::DECAY_S;
    /// The waiting time in seconds whose observations weigh as much as the prior rate.
    const PRIOR_S: f64 = 0.3;
    /// The smallest number of cores used for the weight of the prior.
    const MIN_CORES: f64 = 1e-3;
    /// The smallest divisor of a rate, in core seconds.
    const MIN_CORE_SECONDS: f64 = 1e-9;

    pub(crate) fn new(now: Timestamp) -> Self {
        RateEstimator {
            released_cpu: 0.0,
            core_seconds: 0.0,
            updated: now,
            waiting: false,
        }
    }

    /// Accounts for the time up to `now`, during which this number of cores was available.
    pub(crate) fn advance(&mut self, now: Timestamp, cores: f64) {
        let elapsed = (now - self.updated).secs().max(0.0);
        if elapsed == 0.0 {
            return;
        }
        self.updated = now;
        let time_constant = if self.waiting {
            Self::DECAY_S
        } else {
            Self::IDLE_DECAY_S
        };
        let kept = (-elapsed / time_constant).exp();
        self.released_cpu *= kept;
        self.core_seconds *= kept;
        if self.waiting {
            self.core_seconds += cores * elapsed;
        }
    }

    /// Records that statements wait from now on.
    pub(crate) fn start_waiting(&mut self, now: Timestamp, cores: f64) {
        self.advance(now, cores);
        self.waiting = true;
    }

    /// Records that no statement waits any more.
    pub(crate) fn stop_waiting(&mut self, now: Timestamp, cores: f64) {
        self.advance(now, cores);
        self.waiting = false;
    }

    /// Records the release of a statement that had waited.
    pub(crate) fn record_release(&mut self, now: Timestamp, cores: f64, cpu: f64) {
        self.advance(now, cores);
        self.released_cpu += cpu;
    }

    /// The estimated rate with this number of cores, in CPU seconds per second. `prior` is the
    /// assumed rate while few observations exist. Without it, a single large statement that waits
    /// for capacity would look like a queue that never moves.
    pub(crate) fn rate(&mut self, now: Timestamp, cores: f64, prior: f64) -> f64 {
        self.advance(now, cores);
        let prior_core_seconds = Self::PRIOR_S * cores.max(Self::MIN_CORES);
        let released = self.released_cpu + prior * Self::PRIOR_S;
        (released / (self.core_seconds + prior_core_seconds) * cores).max(0.0)
    }

    /// Like [`RateEstimator::rate`] without a prior. `None` until there are enough observations.
    pub(crate) fn observed(&mut self, now: Timestamp, cores: f64) -> Option<f64> {
        self.advance(now, cores);
        if self.core_seconds < Self::PRIOR_S * cores.max(Self::MIN_CORES) {
            return None;
        }
        Some(self.released_cpu / self.core_seconds.max(Self::MIN_CORE_SECONDS) * cores)
    }
}
