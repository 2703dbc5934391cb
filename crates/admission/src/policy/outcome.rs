//! Handles an [`AttemptReport`]: updates what is known of the engine and of the statement's cost,
//! and decides the next step of the statement.

use crate::interface::{
    Attempt, AttemptEvent, AttemptReport, AttemptState, Effect, NextStep, Placement, Statement,
    TimeDelta, Timestamp,
};

use super::Policy;
use super::concurrency_limit::{limit_range_at_engine, limit_range_of_fleet};
use super::deadlines;
use super::outlier_detection::{failure_weight, is_statement_fault, next_activity_timeout_s};
use super::repeats;
use super::reservations::Completion;
use super::runaway::{AttemptProgress, is_runaway};

/// Returns whether the attempt is still in flight after this event.
fn is_in_flight_after(event: AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Progress(_) | AttemptEvent::Stalled | AttemptEvent::Streaming
    )
}

/// Returns whether this gateway ended the attempt, so that the event says nothing about the engine.
fn is_ended_by_gateway(event: AttemptEvent) -> bool {
    matches!(event, AttemptEvent::TimedOut | AttemptEvent::Cancelled)
}

/// Returns whether the attempt may still have an effect after this event, so that the next
/// statement of its key has to wait.
fn is_outcome_unknown(event: AttemptEvent) -> bool {
    is_ended_by_gateway(event) || event == AttemptEvent::Reset
}

impl Policy {
    /// Learns from an event of an attempt and returns what the caller has to do. The attempts of
    /// `statement` must already reflect the event.
    ///
    /// # Panics
    ///
    /// Panics if the class of the statement is not one of the configured classes.
    pub fn on_attempt_report(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        report: &AttemptReport,
    ) -> NextStep {
        let Some(attempt) = statement.attempts.get(usize::from(report.attempt.0)) else {
            return NextStep::Continue;
        };
        let predicted_s = self.cost_model.predict(statement);
        let activity_timeout_s = next_activity_timeout_s(self.fleet.progress_interval, predicted_s);
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return self.next_step(now, statement, report);
        };
        if is_in_flight_after(report.event) {
            engine
                .health
                .on_activity(now, engine.in_flight, activity_timeout_s);
            return self.after_progress(now, statement, attempt, report);
        }
        engine.in_flight = engine.in_flight.saturating_sub(1);
        if !is_ended_by_gateway(report.event) {
            engine
                .health
                .on_activity(now, engine.in_flight, activity_timeout_s);
        }
        self.learn_from_outcome(now, statement, attempt, report);
        self.next_step(now, statement, report)
    }

    /// Cancels a runaway attempt if a retry is allowed and safe.
    fn after_progress(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        attempt: &Attempt,
        report: &AttemptReport,
    ) -> NextStep {
        let AttemptEvent::Progress(completed_fraction) = report.event else {
            return NextStep::Continue;
        };
        let class = self.class(statement);
        let progress = AttemptProgress {
            elapsed: now - attempt.sent,
            completed_fraction,
            new_attempt_s: attempt.charge.secs() / class.threads * self.latency_ratio(attempt),
            time_left_s: deadlines::time_left_s(now, statement),
        };
        let is_idempotent = repeats::effect(class, statement) == Effect::Idempotent;
        let has_attempt_left = statement.attempts.len() < self.retry_policy.max_attempts;
        let may_repeat = is_idempotent && has_attempt_left;
        let cancel = self.retry_policy.can_cancel
            && may_repeat
            && is_runaway(&progress)
            && self.may_retry(now, statement.class);
        if cancel {
            NextStep::Cancel(report.attempt)
        } else {
            NextStep::Continue
        }
    }

    /// Returns the latency per CPU second at the attempt's engine: at least 1, and 1 if it is
    /// unknown.
    fn latency_ratio(&self, attempt: &Attempt) -> f64 {
        let engine = self.engines.get(&attempt.engine);
        let ratio = engine.and_then(|engine| engine.reservations.latency.current());
        ratio.unwrap_or(1.0).max(1.0)
    }

    /// Releases the reservations of an attempt that has ended, and learns from its outcome.
    fn learn_from_outcome(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        attempt: &Attempt,
        report: &AttemptReport,
    ) {
        let expected_s = attempt.charge.secs() / attempt.threads * self.latency_ratio(attempt);
        self.release(now, attempt, report.event, expected_s);
        self.correct_charge(now, statement, attempt, report);
        let weight = failure_weight(
            report.event,
            report.latency,
            expected_s,
            statement.attempts.len(),
        );
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        let was_probe = engine.health.end_probe(statement.id);
        if matches!(report.event, AttemptEvent::Completed { .. }) {
            engine.health.on_success(now);
        }
        engine.health.record_failure(now, weight, was_probe);
    }

    /// Releases what the attempt reserved. An abandoned attempt that cannot be cancelled runs on at
    /// its engine, so its reservations are kept until its expected end.
    fn release(&mut self, now: Timestamp, attempt: &Attempt, event: AttemptEvent, expected_s: f64) {
        let runs_on = !self.retry_policy.can_cancel && is_ended_by_gateway(event);
        let until = if runs_on {
            now + TimeDelta::from_secs(expected_s)
        } else {
            now
        };
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        for reservations in [&mut engine.reservations, &mut self.fleet_totals] {
            reservations.release_at(until, attempt);
            reservations.release_due(now);
        }
    }

    /// Corrects the charge of the attempt. A failed attempt keeps its charge: otherwise an engine
    /// that fails fast would look the least loaded and attract all other statements.
    fn correct_charge(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        attempt: &Attempt,
        report: &AttemptReport,
    ) {
        match report.event {
            AttemptEvent::Completed { cpu, memory_mb } => {
                self.learn_completion(now, statement, attempt, report.latency, cpu);
                if let Some(cpu) = cpu {
                    let charged_s = attempt.charge.secs();
                    self.cost_model.learn(statement, charged_s, cpu.secs());
                }
                if let Some(actual_mb) = memory_mb.filter(|_| statement.memory_mb > 0.0) {
                    self.memory_model
                        .learn(statement.class, statement.memory_mb, actual_mb);
                }
            }
            AttemptEvent::Rejected | AttemptEvent::NeverSent => {
                self.refund(statement, attempt);
                if let Some(engine) = self.engines.get_mut(&attempt.engine) {
                    engine.reservations.limit.on_rejection(now);
                }
            }
            AttemptEvent::Withdrawn => self.refund(statement, attempt),
            AttemptEvent::Progress(_)
            | AttemptEvent::Stalled
            | AttemptEvent::Streaming
            | AttemptEvent::Error
            | AttemptEvent::TimedOut
            | AttemptEvent::Unreachable
            | AttemptEvent::Reset
            | AttemptEvent::Cancelled => {}
        }
    }

    /// Refunds the whole charge of an attempt that certainly did not run.
    fn refund(&mut self, statement: &Statement, attempt: &Attempt) {
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        for reservations in [&mut engine.reservations, &mut self.fleet_totals] {
            let charged_s = attempt.charge.secs();
            reservations.buckets.credit(statement.class, charged_s);
        }
    }

    /// Updates buckets, latency and limits after a completed attempt. `cpu` is the CPU time that it
    /// took; `None` means that it took what it was charged.
    fn learn_completion(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        attempt: &Attempt,
        latency: TimeDelta,
        cpu: Option<TimeDelta>,
    ) {
        let Some(engine) = self.engines.get_mut(&attempt.engine) else {
            return;
        };
        let charged_s = attempt.charge.secs();
        let completion = Completion {
            class: statement.class,
            charged_s,
            cpu_s: cpu.map_or(charged_s, TimeDelta::secs),
            latency,
            threads: attempt.threads,
        };
        self.demand.on_completion(completion.cpu_s);
        let traffic_share = self.tenant_quotas.traffic_share();
        let fleet_latency = self.fleet_totals.latency.clone();
        let at_engine = limit_range_at_engine(traffic_share, self.fleet.peers);
        engine
            .reservations
            .on_completion(now, &completion, &fleet_latency, at_engine);
        let of_fleet = limit_range_of_fleet(traffic_share);
        self.fleet_totals
            .on_completion(now, &completion, &fleet_latency, of_fleet);
    }

    /// Returns the next step of a statement whose attempt has ended.
    fn next_step(
        &mut self,
        now: Timestamp,
        statement: &Statement,
        report: &AttemptReport,
    ) -> NextStep {
        if let Some(key) = self.order_key(statement) {
            let settles_at = now + self.retry_policy.order_settle;
            let settled_at = is_outcome_unknown(report.event).then_some(settles_at);
            self.keyed_order
                .on_attempt_over(key, statement.id, settled_at);
        }
        if report.answered {
            self.on_statement_over(statement);
            return NextStep::Done;
        }
        if self.may_be_requeued(now, statement, report.event) {
            return NextStep::Requeue;
        }
        let Placement::Reject { retry_after } = self.give_up(now, statement) else {
            return NextStep::Fail;
        };
        NextStep::Reject { retry_after }
    }

    /// Returns whether the statement may have another attempt.
    fn may_be_requeued(&self, now: Timestamp, statement: &Statement, event: AttemptEvent) -> bool {
        let attempts = &statement.attempts;
        let may_have_run = attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::MayHaveRun);
        let effect = repeats::effect(self.class(statement), statement);
        let could_run_twice = may_have_run && effect == Effect::NonIdempotent;
        !is_statement_fault(event, attempts.len())
            && !could_run_twice
            && deadlines::has_time_for_attempt(now, statement)
            && attempts.len() < self.retry_policy.max_attempts
    }
}
