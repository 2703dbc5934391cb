//! Engine selection: picks the engine with the highest score among the candidates that have
//! capacity for a statement.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};

use crate::interface::{EngineId, QueryClass, Statement, TimeDelta, Timestamp};

use super::concurrency_limit::is_near_best;
use super::cpu_budget::is_full;
use super::engine::Engine;
use super::priority::LOWEST_PRIORITY;
use super::repeats::may_run_at;
use super::reservations::Reservations;
use super::slow_start::SlowStartLimits;

/// Fraction of the bucket's capacity that must be left after an over-quota statement is charged.
const OVER_QUOTA_MIN_BUCKET_FRACTION: f64 = 0.5;
/// Fraction of the concurrency limit, or of the cores if those are fewer, up to which over-quota
/// statements may raise the running threads.
const OVER_QUOTA_MAX_THREAD_FRACTION: f64 = 0.8;
/// The fleet counts as uncontended while its running threads stay below this fraction of its limit
/// and its latency stays below [`UNCONTENDED_RELATIVE_LATENCY`].
const UNCONTENDED_THREAD_FRACTION: f64 = 0.7;
/// Multiple of the best latency below which the latency of an uncontended fleet stays.
const UNCONTENDED_RELATIVE_LATENCY: f64 = 1.5;
/// An engine at which at least this many statements wait for memory is not sent statements beyond
/// its CPU budget.
const MEMORY_PRESSURE_WAITING_STATEMENTS: f64 = 1.0;
/// Score bonus of an engine with a free connection. It outweighs the tokens: one attempt empties a
/// small share's bucket for longer than idle connections are kept, so ranking by tokens alone would
/// open a connection for nearly every attempt.
const FREE_CONNECTION_BONUS: f64 = 1e2;
/// Score penalty of an engine that already had an attempt of the statement. Such an engine ranks
/// last.
const EARLIER_ATTEMPT_PENALTY: f64 = 1e3;
/// Upper bound of the random part of a score, which lets gateways with the same view choose
/// different engines.
const MAX_RANDOM_SCORE: f64 = 0.01;

/// Resources that a statement needs at an engine.
pub(super) struct StatementNeeds {
    /// Predicted CPU time, in seconds.
    pub(super) predicted_s: f64,
    /// CPU time of a typical statement of its class, in seconds.
    pub(super) typical_s: f64,
    /// Predicted memory, in MB.
    pub(super) memory_mb: f64,
    /// Priority at the engine, 0 to 3.
    pub(super) priority: u8,
    /// Its class's share of each engine's cores.
    pub(super) share: f64,
}

/// The totals of all engines, and what follows from them for one statement.
pub(super) struct FleetCapacity<'a> {
    totals: &'a Reservations,
    /// Running threads have reached the fleet's concurrency limit.
    at_limit: bool,
    /// No resource is short, so over-quota statements are treated like all others.
    is_uncontended: bool,
    /// The fleet's memory has room for the statement.
    has_memory: bool,
}

impl<'a> FleetCapacity<'a> {
    pub(super) fn new(
        totals: &'a Reservations,
        engines: &BTreeMap<EngineId, Engine>,
        needs: &StatementNeeds,
    ) -> Self {
        let relative_latency = totals.latency.relative_latency(&totals.latency);
        // Threads on ejected engines may hang there, so they do not count against the fleet's
        // limit.
        let ejected = engines.values().filter(|engine| engine.health.is_ejected());
        let on_ejected: f64 = ejected
            .map(|engine| engine.reservations.running_threads(needs.priority))
            .sum();
        let limit = totals.limit.threads();
        let has_free_threads =
            totals.running_threads(LOWEST_PRIORITY) < UNCONTENDED_THREAD_FRACTION * limit;
        FleetCapacity {
            totals,
            at_limit: totals.running_threads(needs.priority) - on_ejected >= limit,
            is_uncontended: has_free_threads
                && relative_latency.is_none_or(|ratio| ratio < UNCONTENDED_RELATIVE_LATENCY),
            has_memory: totals
                .memory
                .fleet_has_room(needs.memory_mb, relative_latency),
        }
    }
}

/// The inputs for selecting the engine of one statement.
pub(super) struct EngineSelection<'a> {
    pub(super) now: Timestamp,
    pub(super) statement: &'a Statement,
    pub(super) class: &'a QueryClass,
    pub(super) needs: StatementNeeds,
    /// The statement is over a quota.
    pub(super) over_quota: bool,
    /// The statement is worth its CPU time while capacity is short.
    pub(super) meets_cutoff: bool,
    /// The statement may probe an ejected engine.
    pub(super) probe_allowed: bool,
    pub(super) fleet: FleetCapacity<'a>,
    pub(super) slow_start: SlowStartLimits,
    /// Time after which engines close idle connections; `None` if opening a connection costs
    /// nothing.
    pub(super) idle_timeout: Option<TimeDelta>,
}

/// An engine with capacity for the statement, and its score.
struct ScoredEngine {
    engine: EngineId,
    score: f64,
}

impl EngineSelection<'_> {
    /// Returns the engine to send to, or `None` if no engine has capacity now.
    pub(super) fn select(
        &self,
        engines: &BTreeMap<EngineId, Engine>,
        rng: &mut impl Rng,
    ) -> Option<EngineId> {
        let mut best: Option<ScoredEngine> = None;
        for engine in self.candidates(engines) {
            let capacity_factor = engine.capacity_factor(&self.slow_start, self.now);
            if !self.fits(engine, capacity_factor) {
                continue;
            }
            let random_score = rng.random::<f64>() * MAX_RANDOM_SCORE;
            let scored = ScoredEngine {
                engine: engine.info.id,
                score: self.score(engine, capacity_factor) + random_score,
            };
            best = best
                .filter(|best| best.score >= scored.score)
                .or(Some(scored));
        }
        best.map(|best| best.engine)
    }

    /// Returns the eligible engines that are not ejected, or that the statement may probe. If these
    /// are fewer than half of the eligible engines, returns all eligible engines: so many failures
    /// at once have a common cause, or one at this gateway, and the remaining engines could not
    /// carry the whole load.
    fn candidates<'e>(&self, engines: &'e BTreeMap<EngineId, Engine>) -> Vec<&'e Engine> {
        let ready = engines.values().filter(|engine| engine.is_ready());
        let eligible: Vec<&Engine> = ready
            .filter(|engine| may_run_at(self.now, self.class, self.statement, &engine.info))
            .collect();
        let accepts = |engine: &&Engine| engine.health.accepts(self.now, self.probe_allowed);
        let accepting: Vec<&Engine> = eligible.iter().copied().filter(accepts).collect();
        if accepting.len() * 2 < eligible.len() {
            eligible
        } else {
            accepting
        }
    }

    /// Returns whether the engine has capacity for the statement. `capacity_factor` is the engine's
    /// current capacity as a fraction of its full capacity.
    fn fits(&self, engine: &Engine, capacity_factor: f64) -> bool {
        self.fits_concurrency_limits(engine)
            && self.fits_cpu_budget(engine, capacity_factor)
            && self.fits_memory(engine)
            && self.fits_slow_start(engine, capacity_factor)
    }

    fn fits_concurrency_limits(&self, engine: &Engine) -> bool {
        let reservations = &engine.reservations;
        let running = reservations.running_threads(self.needs.priority);
        let is_under_limit = running < reservations.limit.threads();
        is_under_limit && !self.fleet.at_limit
    }

    fn fits_cpu_budget(&self, engine: &Engine, capacity_factor: f64) -> bool {
        let reservations = self.applicable_reservations(engine);
        let capacity = reservations.bucket_capacity(self.needs.share) * capacity_factor;
        let tokens = reservations.buckets.tokens(self.statement.class);
        if self.over_quota && !self.fleet.is_uncontended {
            return self.leaves_spare_capacity(reservations, tokens, capacity);
        }
        let has_tokens = tokens >= self.needs.predicted_s || is_full(tokens, capacity);
        has_tokens || self.may_exceed_budget(engine)
    }

    /// Returns the reservations whose bucket applies. An engine's bucket that cannot hold one
    /// typical statement is too small to decide, so the fleet's bucket decides instead.
    fn applicable_reservations<'e>(&'e self, engine: &'e Engine) -> &'e Reservations {
        let own = &engine.reservations;
        if own.bucket_capacity(self.needs.share) >= self.needs.typical_s {
            own
        } else {
            self.fleet.totals
        }
    }

    /// Returns whether the statement may be sent although the bucket has too few tokens. That is
    /// allowed while latency is near its best, unless statements already wait for memory at the
    /// engine.
    fn may_exceed_budget(&self, engine: &Engine) -> bool {
        let relative_latency = engine
            .reservations
            .latency
            .relative_latency(&self.fleet.totals.latency);
        let nothing_waits = engine.waiting_statements < MEMORY_PRESSURE_WAITING_STATEMENTS;
        self.meets_cutoff && nothing_waits && is_near_best(relative_latency)
    }

    /// Returns whether enough tokens and threads stay free if an over-quota statement is sent.
    fn leaves_spare_capacity(
        &self,
        reservations: &Reservations,
        tokens: f64,
        capacity: f64,
    ) -> bool {
        let threads = self.class.threads;
        let usable_threads = reservations.limit.threads().min(reservations.cores);
        let max_threads = (usable_threads * OVER_QUOTA_MAX_THREAD_FRACTION).max(threads);
        let running = reservations.running_threads(self.needs.priority);
        let leaves_tokens =
            tokens >= self.needs.predicted_s + capacity * OVER_QUOTA_MIN_BUCKET_FRACTION;
        leaves_tokens && running + threads <= max_threads
    }

    fn fits_memory(&self, engine: &Engine) -> bool {
        engine.reservations.memory.fits(
            self.needs.memory_mb,
            &self.fleet.totals.memory,
            self.fleet.has_memory,
        )
    }

    fn fits_slow_start(&self, engine: &Engine, capacity_factor: f64) -> bool {
        let cores = engine.reservations.cores;
        engine.slow_start.allows(
            &self.slow_start,
            cores,
            capacity_factor,
            self.needs.typical_s,
        )
    }

    /// Returns the engine's score. The base is the bucket's tokens as a fraction of its capacity,
    /// so that engines of different sizes compare. A free connection raises the score, and an
    /// earlier attempt at the engine lowers it.
    fn score(&self, engine: &Engine, capacity_factor: f64) -> f64 {
        let reservations = &engine.reservations;
        let capacity = reservations.bucket_capacity(self.needs.share) * capacity_factor;
        let tokens = reservations.buckets.tokens(self.statement.class);
        let mut score = tokens / capacity.max(1e-9);
        let has_free_connection = self
            .idle_timeout
            .is_some_and(|timeout| engine.has_free_connection(self.now, timeout));
        if has_free_connection {
            score += FREE_CONNECTION_BONUS;
        }
        let mut attempts = self.statement.attempts.iter();
        if attempts.any(|attempt| attempt.engine == engine.info.id) {
            score -= EARLIER_ATTEMPT_PENALTY;
        }
        score
    }
}
