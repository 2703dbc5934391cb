//! The concurrency limit: how many threads this gateway may have running, adapted to latency per
//! CPU second.
//!
//! The limit grows while latency is near its best and shrinks while latency is far above it. An
//! outcome can raise the limit only if most of the limit was in use.

use crate::interface::Timestamp;

/// Latency up to this multiple of its best counts as near its best.
const NEAR_BEST_RATIO: f64 = 2.0;
/// Latency above this multiple of its best counts as congestion.
const CONGESTION_RATIO: f64 = 3.0;
/// Time constant of the latency average, in seconds.
const AVERAGING_S: f64 = 3.0;
/// CPU time that the average must cover to be usable, in seconds.
const MIN_SAMPLE_CPU_S: f64 = 0.3;
/// The best latency is updated only from this multiple of [`MIN_SAMPLE_CPU_S`], so that one light
/// statement cannot set it.
const BEST_SAMPLE_FACTOR: f64 = 8.0;
/// Rate per second at which the best latency drifts upwards. Without the drift, one exceptionally
/// fast period would make all later latency look like congestion.
const BEST_DRIFT_PER_S: f64 = 0.005;
/// Fraction of the limit that must be in use for an outcome to raise the limit.
const MIN_USED_FRACTION: f64 = 0.7;
/// Threads added to the limit for each thread of a statement that completed near the best latency.
const INCREASE_PER_THREAD: f64 = 0.15;
/// Factor that is applied to the limit on congestion.
const CONGESTION_DECREASE_FACTOR: f64 = 0.85;
/// Minimum time from a decrease of the limit to a decrease for congestion, in seconds. The outcomes
/// of one congested period arrive together and must not each shrink the limit.
const MIN_DECREASE_INTERVAL_S: f64 = 0.5;
/// Factor that is applied to an engine's limit when the engine rejects a statement for lack of
/// capacity.
const REJECTION_DECREASE_FACTOR: f64 = 0.8;
/// Lower bound of every limit, in threads.
const MIN_THREADS: f64 = 1.0;

/// Upper bound of the limit, in threads per core of this gateway's share. Latency reacts late, and
/// all gateways would raise their limits at the same time.
pub(super) const MAX_THREADS_PER_CORE: f64 = 2.0;
/// Lower bound of the limit over the whole fleet, in threads per core of this gateway's share. A
/// gateway that backs off alone from congestion that all gateways cause only leaves its capacity to
/// the others.
const FLEET_MIN_THREADS_PER_CORE: f64 = 0.5;

/// Returns whether `relative_latency`, which is latency as a multiple of its best, counts as near
/// its best. Unknown latency does.
pub(super) fn is_near_best(relative_latency: Option<f64>) -> bool {
    relative_latency.is_none_or(|ratio| ratio <= NEAR_BEST_RATIO)
}

/// Latency per CPU second: latency times threads, divided by CPU time. Weighting by CPU time keeps
/// many light statements from hiding congestion among the heavy ones.
#[derive(Clone, Default)]
pub(super) struct LatencyRatio {
    /// Decaying sum of latency times threads, in seconds.
    thread_s: f64,
    /// Decaying sum of CPU seconds.
    cpu_s: f64,
    /// Lowest ratio seen, with its drift; `None` before enough work has completed.
    best: Option<f64>,
    last_decay: Option<Timestamp>,
}

impl LatencyRatio {
    /// Decays the sums, and lets the best ratio drift, up to `now`.
    pub(super) fn decay(&mut self, now: Timestamp) {
        let last = self.last_decay.replace(now).unwrap_or(now);
        let elapsed_s = (now - last).secs().max(0.0);
        let decay_factor = (-elapsed_s / AVERAGING_S).exp();
        self.thread_s *= decay_factor;
        self.cpu_s *= decay_factor;
        if let Some(best) = &mut self.best {
            *best *= 1.0 + BEST_DRIFT_PER_S * elapsed_s;
        }
    }

    /// Records a completed statement. `thread_s` is its latency times its threads, in seconds.
    pub(super) fn record(&mut self, now: Timestamp, thread_s: f64, cpu_s: f64) {
        self.decay(now);
        self.thread_s += thread_s;
        self.cpu_s += cpu_s;
        let ratio = self.thread_s / self.cpu_s.max(1e-9);
        if self.cpu_s > BEST_SAMPLE_FACTOR * MIN_SAMPLE_CPU_S {
            self.best = Some(self.best.map_or(ratio, |best| best.min(ratio)));
        }
    }

    /// Returns the current ratio, or `None` if too little work completed recently.
    pub(super) fn current(&self) -> Option<f64> {
        (self.cpu_s > MIN_SAMPLE_CPU_S).then_some(self.thread_s / self.cpu_s)
    }

    /// Returns the lowest ratio seen, with its drift, or `None` if there is none yet.
    pub(super) fn best(&self) -> Option<f64> {
        self.best
    }

    /// Sets the best ratio if there is none yet.
    pub(super) fn assume_best(&mut self, best: Option<f64>) {
        self.best = self.best.or(best);
    }

    /// Returns the current ratio as a multiple of its best, or `None` if too little work completed
    /// or no best is known. The fleet's ratio is blended in with a small weight, so that it decides
    /// where an engine has few outcomes of its own.
    pub(super) fn relative_latency(&self, fleet: &LatencyRatio) -> Option<f64> {
        let (fleet_ratio, fleet_cpu_s) = match fleet.current() {
            Some(ratio) => (ratio, MIN_SAMPLE_CPU_S),
            None => (0.0, 0.0),
        };
        let thread_s = self.thread_s + fleet_cpu_s * fleet_ratio;
        let cpu_s = self.cpu_s + fleet_cpu_s;
        if cpu_s < MIN_SAMPLE_CPU_S {
            return None;
        }
        let best = self.best.or(fleet.best)?;
        Some(thread_s / cpu_s / best.max(1e-6))
    }
}

/// Bounds of a limit, in threads per core of this gateway's share.
#[derive(Clone, Copy)]
pub(super) struct LimitRange {
    min_per_core: f64,
    max_per_core: f64,
}

/// Returns the bounds of an engine's limit. A gateway that carries more than its even share of the
/// traffic may run more threads there, but only as many as one absent peer explains. Otherwise a
/// busy gateway could fill an engine alone.
pub(super) fn limit_range_at_engine(traffic_share: f64, peers: f64) -> LimitRange {
    let absent_peer_factor = peers / (peers - 1.0).max(0.5);
    LimitRange {
        min_per_core: 0.0,
        max_per_core: MAX_THREADS_PER_CORE * traffic_share.min(absent_peer_factor),
    }
}

/// Returns the bounds of the limit over the whole fleet.
pub(super) fn limit_range_of_fleet(traffic_share: f64) -> LimitRange {
    LimitRange {
        min_per_core: FLEET_MIN_THREADS_PER_CORE,
        max_per_core: MAX_THREADS_PER_CORE * traffic_share,
    }
}

/// A completed statement, as the input of a limit.
pub(super) struct LimitSample {
    /// Latency as a multiple of its best.
    pub(super) relative_latency: f64,
    /// Threads of the statement.
    pub(super) threads: f64,
    /// Other threads that run at the same engine, or in the whole fleet.
    pub(super) running: f64,
    /// This gateway's share of the cores of that engine, or of the fleet.
    pub(super) cores: f64,
}

/// An adaptive limit on the number of running threads.
#[derive(Clone)]
pub(super) struct ConcurrencyLimit {
    threads: f64,
    /// When the limit was last decreased.
    last_decrease: Timestamp,
}

impl ConcurrencyLimit {
    /// Starts at one thread per core. `cores` is this gateway's share of the cores.
    pub(super) fn new(now: Timestamp, cores: f64) -> Self {
        ConcurrencyLimit {
            threads: cores.max(MIN_THREADS),
            last_decrease: now,
        }
    }

    pub(super) fn threads(&self) -> f64 {
        self.threads
    }

    /// Sets the limit, which is never below one thread.
    pub(super) fn set(&mut self, threads: f64) {
        self.threads = threads.max(MIN_THREADS);
    }

    /// Adjusts the limit to the latency of a completed statement.
    pub(super) fn on_completion(
        &mut self,
        now: Timestamp,
        sample: &LimitSample,
        range: LimitRange,
    ) {
        let in_use = sample.running + sample.threads;
        let was_limiting = in_use >= self.threads * MIN_USED_FRACTION;
        let may_decrease = (now - self.last_decrease).secs() > MIN_DECREASE_INTERVAL_S;
        if sample.relative_latency <= NEAR_BEST_RATIO && was_limiting {
            let increased = self.threads + INCREASE_PER_THREAD * sample.threads;
            let max_threads = sample.cores * range.max_per_core;
            self.threads = increased.min(max_threads.max(MIN_THREADS));
        } else if sample.relative_latency > CONGESTION_RATIO && may_decrease {
            let decreased = self.threads * CONGESTION_DECREASE_FACTOR;
            let min_threads = sample.cores * range.min_per_core;
            self.threads = decreased.max(min_threads).max(MIN_THREADS);
            self.last_decrease = now;
        }
    }

    /// Decreases the limit after an engine rejected a statement for lack of capacity.
    pub(super) fn on_rejection(&mut self, now: Timestamp) {
        self.threads = (self.threads * REJECTION_DECREASE_FACTOR).max(MIN_THREADS);
        self.last_decrease = now;
    }
}
