//! How fast waiting work is released.

use admission::interface::Timestamp;

/// Estimates the rate at which work leaves a queue, in CPU seconds a second.
///
/// It learns CPU seconds released for each core second during which something waited. Counted by core, a change of
/// capacity shows in the same turn, long before the releases themselves would tell.
#[derive(Clone, Debug)]
pub(crate) struct RateEstimator {
    released_cpu: f64,
    core_seconds: f64,
    updated: Timestamp,
    waiting: bool,
}

impl RateEstimator {
    /// Time constant of the decay while something waits. Older releases tell of other traffic; with a shorter one,
    /// single large statements would make the rate jump.
    const DECAY_S: f64 = 2.0;
    /// Time constant while nothing waits: such time tells nothing, so the memory fades slowly.
    const IDLE_DECAY_S: f64 = 10.0 * Self::DECAY_S;
    /// Seconds of waiting that weigh as much as the prior rate.
    const PRIOR_S: f64 = 0.3;
    /// Cores are taken to be at least this many.
    const MIN_CORES: f64 = 1e-3;
    /// Least divisor of a rate.
    const MIN_CORE_SECONDS: f64 = 1e-9;

    pub(crate) fn new(now: Timestamp) -> Self {
        RateEstimator {
            released_cpu: 0.0,
            core_seconds: 0.0,
            updated: now,
            waiting: false,
        }
    }

    /// Accounts for the time up to now, which passed with so many cores.
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

    /// Something waits from now on.
    pub(crate) fn start_waiting(&mut self, now: Timestamp, cores: f64) {
        self.advance(now, cores);
        self.waiting = true;
    }

    /// Nothing waits any more.
    pub(crate) fn stop_waiting(&mut self, now: Timestamp, cores: f64) {
        self.advance(now, cores);
        self.waiting = false;
    }

    /// A statement that had waited was released.
    pub(crate) fn record_release(&mut self, now: Timestamp, cores: f64, cpu: f64) {
        self.advance(now, cores);
        self.released_cpu += cpu;
    }

    /// CPU seconds a second with so many cores. `prior`: the likely rate while little was seen here; without it, one
    /// large statement that waits for its capacity would read as a queue that never moves.
    pub(crate) fn rate(&mut self, now: Timestamp, cores: f64, prior: f64) -> f64 {
        self.advance(now, cores);
        let prior_core_seconds = Self::PRIOR_S * cores.max(Self::MIN_CORES);
        let released = self.released_cpu + prior * Self::PRIOR_S;
        (released / (self.core_seconds + prior_core_seconds) * cores).max(0.0)
    }

    /// As [`RateEstimator::rate`] without a prior; none until enough was seen.
    pub(crate) fn observed(&mut self, now: Timestamp, cores: f64) -> Option<f64> {
        self.advance(now, cores);
        if self.core_seconds < Self::PRIOR_S * cores.max(Self::MIN_CORES) {
            return None;
        }
        Some(self.released_cpu / self.core_seconds.max(Self::MIN_CORE_SECONDS) * cores)
    }
}
