//! The concurrency limit: how many threads this gateway may have running, led by latency per CPU second.
//!
//! Latency near its best widens the limit, latency far above it shrinks it. Only an outcome that met the limit may
//! widen it.

use crate::interface::Timestamp;

/// Latency up to this many times its best is near it.
const NEAR_BEST: f64 = 2.0;
/// Latency past this many times its best is congestion.
const CONGESTED: f64 = 3.0;
/// Latency is averaged over about this time, in seconds.
const AVERAGING_S: f64 = 3.0;
/// With less CPU than this in the average, it tells nothing, in CPU seconds.
const ENOUGH_CPU_S: f64 = 0.3;
/// A best needs this many times as much CPU: one light statement must not set it.
const ENOUGH_FOR_BEST: f64 = 8.0;
/// The best is forgotten at this rate a second, or one lucky time would look like congestion for ever after.
const FORGET_BEST_PER_S: f64 = 0.005;
/// An outcome met the limit if at least this part of it was in use.
const IN_USE: f64 = 0.7;
/// A thread that completed near the best latency widens the limit by this many threads.
const WIDEN_PER_THREAD: f64 = 0.15;
/// Congestion leaves this part of the limit ...
const KEPT_ON_CONGESTION: f64 = 0.85;
/// ... once in this time at most, in seconds: the outcomes of one jam come together.
const SHRINK_PAUSE_S: f64 = 0.5;
/// An engine that rejects a statement for want of capacity leaves this part of its limit.
const KEPT_ON_REJECTION: f64 = 0.8;
/// A limit never falls below one thread.
const MIN_THREADS: f64 = 1.0;

/// The widest limit, in threads a core of the share: latency tells late, and all gateways would widen together.
pub(super) const WIDEST_PER_CORE: f64 = 2.0;
/// The least limit of the whole fleet, in threads a core of the share: a gateway that backs off alone from what all
/// cause only leaves its place to the others.
const FLEET_LEAST_PER_CORE: f64 = 0.5;

/// Whether latency this many times its best is near it; latency that is not known yet is.
pub(super) fn is_near_best(times_best: Option<f64>) -> bool {
    times_best.is_none_or(|times| times <= NEAR_BEST)
}

/// Latency per CPU second, weighted by CPU: light statements in front cannot hide a jam behind them.
#[derive(Clone, Default)]
pub(super) struct LatencyRatio {
    /// Decaying sum of latency times threads, in seconds.
    thread_s: f64,
    /// Decaying sum of CPU seconds.
    cpu_s: f64,
    best: Option<f64>,
    decayed: Option<Timestamp>,
}

impl LatencyRatio {
    pub(super) fn decay(&mut self, now: Timestamp) {
        let last = self.decayed.replace(now).unwrap_or(now);
        let elapsed_s = (now - last).secs().max(0.0);
        let kept = (-elapsed_s / AVERAGING_S).exp();
        self.thread_s *= kept;
        self.cpu_s *= kept;
        if let Some(best) = &mut self.best {
            *best *= 1.0 + FORGET_BEST_PER_S * elapsed_s;
        }
    }

    pub(super) fn record(&mut self, now: Timestamp, thread_s: f64, cpu_s: f64) {
        self.decay(now);
        self.thread_s += thread_s;
        self.cpu_s += cpu_s;
        let ratio = self.thread_s / self.cpu_s.max(1e-9);
        if self.cpu_s > ENOUGH_FOR_BEST * ENOUGH_CPU_S {
            self.best = Some(self.best.map_or(ratio, |best| best.min(ratio)));
        }
    }

    /// The present ratio; none where too little completed lately.
    pub(super) fn current(&self) -> Option<f64> {
        (self.cpu_s > ENOUGH_CPU_S).then_some(self.thread_s / self.cpu_s)
    }

    /// The best that was seen and is not forgotten.
    pub(super) fn best(&self) -> Option<f64> {
        self.best
    }

    /// Sets a best where there is none.
    pub(super) fn assume_best(&mut self, best: Option<f64>) {
        self.best = self.best.or(best);
    }

    /// The present ratio in times its best. What an engine's own few outcomes leave open, those of the fleet tell.
    pub(super) fn times_best(&self, fleet: &LatencyRatio) -> Option<f64> {
        let (fleet_ratio, fleet_cpu_s) = match fleet.current() {
            Some(ratio) => (ratio, ENOUGH_CPU_S),
            None => (0.0, 0.0),
        };
        let thread_s = self.thread_s + fleet_cpu_s * fleet_ratio;
        let cpu_s = self.cpu_s + fleet_cpu_s;
        if cpu_s < ENOUGH_CPU_S {
            return None;
        }
        let best = self.best.or(fleet.best)?;
        Some(thread_s / cpu_s / best.max(1e-6))
    }
}

/// What a limit may be, in threads a core of the share.
#[derive(Clone, Copy)]
pub(super) struct LimitRange {
    least: f64,
    widest: f64,
}

/// The range of an engine's limit. A gateway that carries more traffic than its even share has more threads there, but
/// only as far as one absent peer explains: a busy gateway would else fill an engine alone.
pub(super) fn limit_range_at_engine(traffic_share: f64, peers: f64) -> LimitRange {
    let with_a_peer_absent = peers / (peers - 1.0).max(0.5);
    LimitRange {
        least: 0.0,
        widest: WIDEST_PER_CORE * traffic_share.min(with_a_peer_absent),
    }
}

/// The range of the whole fleet's limit.
pub(super) fn limit_range_of_fleet(traffic_share: f64) -> LimitRange {
    LimitRange {
        least: FLEET_LEAST_PER_CORE,
        widest: WIDEST_PER_CORE * traffic_share,
    }
}

/// A completed statement, as the limit of one place sees it.
pub(super) struct LimitSample {
    /// Latency in times its best.
    pub(super) times_best: f64,
    /// Threads of the statement.
    pub(super) threads: f64,
    /// Threads that run there beside it.
    pub(super) running: f64,
    /// This gateway's share of the cores there.
    pub(super) cores: f64,
}

/// The most threads that may run.
#[derive(Clone)]
pub(super) struct ConcurrencyLimit {
    threads: f64,
    shrunk: Timestamp,
}

impl ConcurrencyLimit {
    /// Starts at one thread a core; `cores`: this gateway's share of them.
    pub(super) fn new(now: Timestamp, cores: f64) -> Self {
        ConcurrencyLimit {
            threads: cores.max(MIN_THREADS),
            shrunk: now,
        }
    }

    pub(super) fn threads(&self) -> f64 {
        self.threads
    }

    pub(super) fn set(&mut self, threads: f64) {
        self.threads = threads.max(MIN_THREADS);
    }

    /// Widens or shrinks by a completed statement.
    pub(super) fn on_completion(
        &mut self,
        now: Timestamp,
        sample: &LimitSample,
        range: LimitRange,
    ) {
        let in_use = sample.running + sample.threads;
        let met_limit = in_use >= self.threads * IN_USE;
        let may_shrink = (now - self.shrunk).secs() > SHRINK_PAUSE_S;
        if sample.times_best <= NEAR_BEST && met_limit {
            let wider = self.threads + WIDEN_PER_THREAD * sample.threads;
            let widest = sample.cores * range.widest;
            self.threads = wider.min(widest.max(MIN_THREADS));
        } else if sample.times_best > CONGESTED && may_shrink {
            let narrower = self.threads * KEPT_ON_CONGESTION;
            let least = sample.cores * range.least;
            self.threads = narrower.max(least).max(MIN_THREADS);
            self.shrunk = now;
        }
    }

    /// The engine had no capacity for a statement.
    pub(super) fn on_rejection(&mut self, now: Timestamp) {
        self.threads = (self.threads * KEPT_ON_REJECTION).max(MIN_THREADS);
        self.shrunk = now;
    }
}
