//! Placement of a statement: it is queued, sent or given up.

use crate::interface::{
    AttemptState, ClassId, Forecast, Placement, QueuePosition, Statement, TimeDelta, Timestamp,
};

use super::Policy;
use super::class_demand::Arrival;
use super::deadlines::{self, FleetLatency, Slack};
use super::repeats;

/// Minimum delay that a rejected client is told to wait before a retry, in seconds.
const MIN_RETRY_AFTER_S: f64 = 0.02;

impl Policy {
    /// Decides what to do with a statement now. The first call assigns its queue position; each
    /// later call sends it, keeps it in the queue, or gives it up.
    ///
    /// # Panics
    ///
    /// Panics if the class of the statement is not one of the configured classes.
    pub fn place(&mut self, now: Timestamp, statement: &Statement) -> Placement {
        let Some(position) = statement.queue_position else {
            return Placement::Queue(self.enqueue(now, statement));
        };
        let mut attempts = statement.attempts.iter();
        if attempts.any(|attempt| attempt.state == AttemptState::InFlight) {
            return Placement::Queue(position);
        }
        let predicted_s = self.cost_model.predict(statement);
        if self.cannot_succeed(now, statement, predicted_s) || !self.may_attempt(now, statement) {
            return self.give_up(now, statement);
        }
        let is_its_turn = self.is_its_turn(now, statement);
        if is_its_turn
            && let Some(engine) = self.select_engine(now, statement, position, predicted_s)
        {
            return self.send(now, statement, engine, predicted_s);
        }
        let class = self.class(statement);
        if deadlines::must_stop_waiting(now, class, statement, is_its_turn) {
            self.give_up(now, statement)
        } else {
            Placement::Queue(position)
        }
    }

    /// Counts a statement that was just received, and returns its queue position.
    fn enqueue(&mut self, now: Timestamp, statement: &Statement) -> QueuePosition {
        let predicted_s = self.cost_model.predict(statement);
        let is_over_quota = self.tenant_quotas.charge_statement(now, statement.tenant);
        let over_quota = is_over_quota || statement.borrowed;
        let arrival = Arrival {
            class: statement.class,
            predicted_s,
            priority_weight: self.class(statement).priority_weight,
            over_quota,
        };
        self.demand.on_arrival(now, &arrival);
        self.retry_budgets.count_statement(now);
        self.probe_budget.count_statement(now);
        if let Some(key) = self.order_key(statement) {
            self.keyed_order.on_received(key, statement.id);
        }
        QueuePosition {
            deadline: statement.deadline,
            id: statement.id,
            over_quota,
        }
    }

    /// Returns whether no further attempt can be of use.
    fn cannot_succeed(&self, now: Timestamp, statement: &Statement, predicted_s: f64) -> bool {
        let max_attempts = self.retry_policy.max_attempts.max(1);
        let is_repeat_window_over = self
            .repeat_until(statement)
            .is_some_and(|until| until <= now);
        !deadlines::has_time_for_attempt(now, statement)
            || statement.attempts.len() >= max_attempts
            || self.slack(now, statement, predicted_s).useful_s < 0.0
            || is_repeat_window_over
    }

    /// Returns whether this is the first attempt, or a retry that the budgets allow.
    fn may_attempt(&mut self, now: Timestamp, statement: &Statement) -> bool {
        statement.attempts.is_empty() || self.may_retry(now, statement.class)
    }

    /// Returns whether the granted quota and the retry budgets allow a retry of this class.
    pub(super) fn may_retry(&mut self, now: Timestamp, class: ClassId) -> bool {
        let granted = self.quota_grant.retries.get(class.0).copied().flatten();
        granted.is_none_or(|left| left >= 1.0) && self.retry_budgets.allow_another(now)
    }

    /// Ends a statement. A rejection tells the client that a retry is safe, so the statement is
    /// rejected only if that is certain and fails otherwise.
    pub(super) fn give_up(&mut self, now: Timestamp, statement: &Statement) -> Placement {
        self.on_statement_over(statement);
        if repeats::is_client_retry_safe(now, self.class(statement), statement) {
            Placement::Reject {
                retry_after: self.retry_policy.max_retry_after,
            }
        } else {
            Placement::Fail
        }
    }

    /// Ends a statement for which a queue ahead of this policy has no capacity, or in which it
    /// would wait too long. `retry_after` is limited to the range that clients may be told.
    pub fn reject(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        retry_after: TimeDelta,
    ) -> Placement {
        let Placement::Reject {
            retry_after: max_retry_after,
        } = self.give_up(now, statement)
        else {
            return Placement::Fail;
        };
        let min_retry_after = TimeDelta::from_secs(MIN_RETRY_AFTER_S);
        Placement::Reject {
            retry_after: max_retry_after
                .map(|max_retry_after| retry_after.max(min_retry_after).min(max_retry_after)),
        }
    }

    /// Returns what a statement is predicted to take, and how long it may wait. The call changes no
    /// state.
    #[must_use]
    pub fn forecast(&self, now: Timestamp, statement: &Statement) -> Forecast {
        let predicted_s = self.cost_model.predict(statement);
        let slack = self.slack(now, statement, predicted_s);
        let useful_s = slack
            .useful_s
            .min(deadlines::waiting_time_left_s(now, statement));
        Forecast {
            cpu: TimeDelta::from_secs(predicted_s),
            memory_mb: self.memory_model.predict_mb(statement),
            objective_until: now + TimeDelta::from_secs(slack.objective_s.min(useful_s)),
            useful_until: now + TimeDelta::from_secs(useful_s),
        }
    }

    /// Returns whether no earlier statement with the same key has to go first.
    fn is_its_turn(&self, now: Timestamp, statement: &Statement) -> bool {
        self.order_key(statement)
            .is_none_or(|key| self.keyed_order.may_send(now, key, statement.id))
    }

    /// Returns how much longer the statement may wait.
    fn slack(&self, now: Timestamp, statement: &Statement, predicted_s: f64) -> Slack {
        let latency = FleetLatency {
            best: self.median_best_latency().unwrap_or(1.0),
            current: self.fleet_totals.latency.current(),
        };
        let class = self.class(statement);
        deadlines::slack(now, class, statement, predicted_s, &latency)
    }
}
