//! Sending of a statement: selects its engine and reserves there what the statement needs.

use crate::interface::{
    Attempt, AttemptState, EngineId, Placement, QueuePosition, Statement, TimeDelta, Timestamp,
};

use super::Policy;
use super::engine_selection::{EngineSelection, FleetCapacity, StatementNeeds};
use super::outlier_detection::first_activity_timeout_s;

impl Policy {
    /// Returns the engine to send the statement to now, or `None` if no engine has capacity for it.
    pub(super) fn select_engine(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        position: QueuePosition,
        predicted_s: f64,
    ) -> Option<EngineId> {
        self.refill(now);
        let probe_allowed = self.may_probe(now);
        let needs = self.needs(statement, predicted_s);
        let class = &self.classes[statement.class.0];
        let selection = EngineSelection {
            now,
            statement,
            class,
            over_quota: position.over_quota,
            meets_cutoff: self.demand.meets_cutoff(class.priority_weight, predicted_s),
            probe_allowed,
            fleet: FleetCapacity::new(&self.fleet_totals, &self.engines, &needs),
            needs,
            slow_start: self.slow_start_limits(),
            idle_timeout: self.fleet.idle_timeout,
        };
        selection.select(&self.engines, &mut self.rng)
    }

    /// Refills the budgets of all engines up to `now`. An engine without a best latency of its own
    /// takes the median of the others.
    fn refill(&mut self, now: Timestamp) {
        let best = self.median_best_latency();
        let limits = self.slow_start_limits();
        self.fleet_totals.refill(now, 1.0, self.demand.shares());
        for engine in self.engines.values_mut() {
            engine.reservations.latency.assume_best(best);
            engine.refill(now, &limits, self.demand.shares());
        }
    }

    /// Returns whether a statement may probe an ejected engine.
    fn may_probe(&mut self, now: Timestamp) -> bool {
        let granted = self.quota_grant.outlier_probes;
        self.probe_budget.allows_another(now) && granted.is_none_or(|left| left >= 1.0)
    }

    /// Returns what the statement needs at an engine.
    fn needs(&self, statement: &Statement, predicted_s: f64) -> StatementNeeds {
        StatementNeeds {
            predicted_s,
            typical_s: self.typical_cpu_s(statement.class),
            memory_mb: self.memory_model.predict_mb(statement),
            priority: self.priority(statement, predicted_s),
            share: self.demand.share(statement.class),
        }
    }

    /// Reserves what the statement needs at the engine `id`, and counts the attempt.
    ///
    /// # Panics
    ///
    /// Panics if the engine is not known. [`Policy::select_engine`] returns only known engines.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        id: EngineId,
        predicted_s: f64,
    ) -> Placement {
        let needs = self.needs(statement, predicted_s);
        let threads = self.class(statement).threads;
        let engine = self
            .engines
            .get_mut(&id)
            .expect("the selected engine is in the engine table");
        for reservations in [&mut engine.reservations, &mut self.fleet_totals] {
            let capacity = reservations.bucket_capacity(needs.share);
            let buckets = &mut reservations.buckets;
            buckets.charge(statement.class, predicted_s, capacity);
            reservations.reserve(needs.priority, threads, needs.memory_mb);
        }
        engine.slow_start.charge(needs.typical_s);
        engine.count_attempt(now, self.fleet.idle_timeout);
        let latency_ratio = engine.reservations.latency.current().unwrap_or(1.0);
        let interval = self.fleet.progress_interval;
        let timeout_s = first_activity_timeout_s(interval, predicted_s, latency_ratio, threads);
        engine.health.on_send(now, statement.id, timeout_s);
        let attempt = Attempt {
            engine: id,
            location: engine.info.location,
            cell: engine.info.cell,
            sent: now,
            charge: TimeDelta::from_secs(predicted_s),
            threads,
            memory_mb: needs.memory_mb,
            priority: needs.priority,
            outlier_probe: engine.health.is_ejected(),
            state: AttemptState::InFlight,
        };
        self.count_attempt(now, statement, &attempt);
        Placement::Send {
            attempt,
            timeout: None,
            priority: self.fleet.priorities_honored.then_some(attempt.priority),
        }
    }

    /// Counts an attempt against the budgets and the grants, and in the order of its key.
    fn count_attempt(&mut self, now: Timestamp, statement: &Statement, attempt: &Attempt) {
        if attempt.outlier_probe {
            self.probe_budget.count_attempt(now);
            if let Some(left) = &mut self.quota_grant.outlier_probes {
                *left -= 1.0;
            }
        }
        let is_retry = !statement.attempts.is_empty();
        if is_retry {
            self.retry_budgets.count_retry(now);
            let granted = self.quota_grant.retries.get_mut(statement.class.0);
            if let Some(Some(left)) = granted {
                *left -= 1.0;
            }
        }
        if let Some(key) = self.order_key(statement) {
            self.keyed_order.on_sent(key, statement.id);
        }
    }
}
