//! Selects the engine of a statement: among the candidates that have capacity for it, the one of the highest score.

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

/// A statement over its quota is sent only where its charge leaves this part of the bucket ...
const SPARE_BUCKET: f64 = 0.5;
/// ... and running threads stay within this part of the limit, or of the cores if those are fewer.
const SPARE_THREADS: f64 = 0.8;
/// Nothing is short while running threads stay under this part of the fleet's limit ...
const CALM_THREADS: f64 = 0.7;
/// ... and latency under this many times its best.
const CALM_LATENCY: f64 = 1.5;
/// An engine where this many statements wait for memory has no capacity beyond its buckets.
const WAITING_STATEMENTS: f64 = 1.0;
/// Added for a free connection: one attempt empties a small share's bucket for longer than idle connections are kept,
/// so the fullest bucket alone would open a connection for nearly every attempt.
const FREE_CONNECTION_SCORE: f64 = 1e2;
/// Taken off where the statement had an attempt before: such an engine comes last.
const EARLIER_ATTEMPT_SCORE: f64 = 1e3;
/// Chance adds up to this much, so that gateways that see alike choose differently.
const CHANCE_SCORE: f64 = 0.01;

/// What a statement needs of an engine.
pub(super) struct StatementNeeds {
    /// Predicted CPU, in seconds.
    pub(super) predicted_s: f64,
    /// CPU of a usual statement of its class, in seconds.
    pub(super) usual_s: f64,
    /// Predicted memory.
    pub(super) memory_mb: f64,
    pub(super) priority: u8,
    /// Its class's share of each engine.
    pub(super) share: f64,
}

/// The totals of all engines, as far as they decide.
pub(super) struct FleetCapacity<'a> {
    totals: &'a Reservations,
    /// No more threads may run.
    at_limit: bool,
    /// Nothing is short: statements over a quota count as ordinary ones.
    is_calm: bool,
    has_memory: bool,
}

impl<'a> FleetCapacity<'a> {
    pub(super) fn new(
        totals: &'a Reservations,
        engines: &BTreeMap<EngineId, Engine>,
        needs: &StatementNeeds,
    ) -> Self {
        let times_best = totals.latency.times_best(&totals.latency);
        // Threads on ejected engines may hang there: they must not fill the fleet's limit.
        let ejected = engines.values().filter(|engine| engine.health.is_ejected());
        let on_ejected: f64 = ejected
            .map(|engine| engine.reservations.running_threads(needs.priority))
            .sum();
        let limit = totals.limit.threads();
        let has_free_threads = totals.running_threads(LOWEST_PRIORITY) < CALM_THREADS * limit;
        FleetCapacity {
            totals,
            at_limit: totals.running_threads(needs.priority) - on_ejected >= limit,
            is_calm: has_free_threads && times_best.is_none_or(|times| times < CALM_LATENCY),
            has_memory: totals.memory.fleet_has_room(needs.memory_mb, times_best),
        }
    }
}

/// One selection, for one statement.
pub(super) struct EngineSelection<'a> {
    pub(super) now: Timestamp,
    pub(super) statement: &'a Statement,
    pub(super) class: &'a QueryClass,
    pub(super) needs: StatementNeeds,
    pub(super) over_quota: bool,
    /// It is worth its CPU while capacity is short.
    pub(super) pays_price: bool,
    /// It may be the probe of an ejected engine.
    pub(super) probe_allowed: bool,
    pub(super) fleet: FleetCapacity<'a>,
    pub(super) slow_start: SlowStartLimits,
    /// After it engines close idle connections; none where opening one costs nothing.
    pub(super) idle_timeout: Option<TimeDelta>,
}

/// An engine that fits.
struct Scored {
    engine: EngineId,
    score: f64,
}

impl EngineSelection<'_> {
    /// The engine to send to; none: no engine has capacity now.
    pub(super) fn select(
        &self,
        engines: &BTreeMap<EngineId, Engine>,
        rng: &mut impl Rng,
    ) -> Option<EngineId> {
        let mut best: Option<Scored> = None;
        for engine in self.candidates(engines) {
            let factor = engine.capacity_factor(&self.slow_start, self.now);
            if !self.fits(engine, factor) {
                continue;
            }
            let chance = rng.random::<f64>() * CHANCE_SCORE;
            let scored = Scored {
                engine: engine.info.id,
                score: self.score(engine, factor) + chance,
            };
            best = best
                .filter(|best| best.score >= scored.score)
                .or(Some(scored));
        }
        best.map(|best| best.engine)
    }

    /// Engines that may run it and are not ejected. With most of them ejected all are candidates: so many bad ones at
    /// once have a common cause, or it is this gateway's, and the rest could not bear the whole load.
    fn candidates<'e>(&self, engines: &'e BTreeMap<EngineId, Engine>) -> Vec<&'e Engine> {
        let ready = engines.values().filter(|engine| engine.is_ready());
        let all: Vec<&Engine> = ready
            .filter(|engine| may_run_at(self.now, self.class, self.statement, &engine.info))
            .collect();
        let accepts = |engine: &&Engine| engine.health.accepts(self.now, self.probe_allowed);
        let accepting: Vec<&Engine> = all.iter().copied().filter(accepts).collect();
        if accepting.len() * 2 < all.len() {
            all
        } else {
            accepting
        }
    }

    /// Whether an engine has capacity for it. `factor`: the part of its full capacity that the engine has now.
    fn fits(&self, engine: &Engine, factor: f64) -> bool {
        self.fits_concurrency_limits(engine)
            && self.fits_cpu_budget(engine, factor)
            && self.fits_memory(engine)
            && self.fits_slow_start(engine, factor)
    }

    fn fits_concurrency_limits(&self, engine: &Engine) -> bool {
        let reservations = &engine.reservations;
        let running = reservations.running_threads(self.needs.priority);
        let is_under_limit = running < reservations.limit.threads();
        is_under_limit && !self.fleet.at_limit
    }

    fn fits_cpu_budget(&self, engine: &Engine, factor: f64) -> bool {
        let reservations = self.deciding_reservations(engine);
        let capacity = reservations.bucket_capacity(self.needs.share) * factor;
        let tokens = reservations.buckets.tokens(self.statement.class);
        if self.over_quota && !self.fleet.is_calm {
            return self.leaves_spare_capacity(reservations, tokens, capacity);
        }
        let has_tokens = tokens >= self.needs.predicted_s || is_full(tokens, capacity);
        has_tokens || self.may_exceed_budget(engine)
    }

    /// An engine's bucket that cannot hold one usual statement says nothing; all of them together do.
    fn deciding_reservations<'e>(&'e self, engine: &'e Engine) -> &'e Reservations {
        let own = &engine.reservations;
        if own.bucket_capacity(self.needs.share) >= self.needs.usual_s {
            own
        } else {
            self.fleet.totals
        }
    }

    /// An empty bucket sends while latency is near its best, unless others' statements wait at the engine already.
    fn may_exceed_budget(&self, engine: &Engine) -> bool {
        let times_best = engine
            .reservations
            .latency
            .times_best(&self.fleet.totals.latency);
        let nothing_waits = engine.waiting_statements < WAITING_STATEMENTS;
        self.pays_price && nothing_waits && is_near_best(times_best)
    }

    fn leaves_spare_capacity(
        &self,
        reservations: &Reservations,
        tokens: f64,
        capacity: f64,
    ) -> bool {
        let threads = self.class.threads;
        let usable_threads = reservations.limit.threads().min(reservations.cores);
        let spare_threads = (usable_threads * SPARE_THREADS).max(threads);
        let running = reservations.running_threads(self.needs.priority);
        let leaves_tokens = tokens >= self.needs.predicted_s + capacity * SPARE_BUCKET;
        leaves_tokens && running + threads <= spare_threads
    }

    fn fits_memory(&self, engine: &Engine) -> bool {
        engine.reservations.memory.fits(
            self.needs.memory_mb,
            &self.fleet.totals.memory,
            self.fleet.has_memory,
        )
    }

    fn fits_slow_start(&self, engine: &Engine, factor: f64) -> bool {
        let cores = engine.reservations.cores;
        engine
            .slow_start
            .allows(&self.slow_start, cores, factor, self.needs.usual_s)
    }

    /// The bucket's tokens as a part of its capacity, so that sizes compare; then connections and earlier attempts.
    fn score(&self, engine: &Engine, factor: f64) -> f64 {
        let reservations = &engine.reservations;
        let capacity = reservations.bucket_capacity(self.needs.share) * factor;
        let tokens = reservations.buckets.tokens(self.statement.class);
        let mut score = tokens / capacity.max(1e-9);
        let has_free_connection = self
            .idle_timeout
            .is_some_and(|timeout| engine.has_free_connection(self.now, timeout));
        if has_free_connection {
            score += FREE_CONNECTION_SCORE;
        }
        let mut attempts = self.statement.attempts.iter();
        if attempts.any(|attempt| attempt.engine == engine.info.id) {
            score -= EARLIER_ATTEMPT_SCORE;
        }
        score
    }
}
