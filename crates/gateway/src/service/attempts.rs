//! The attempts of statements: sends the attempts that the scheduler orders, and handles the
//! reports of engines about them.

use admission::interface::{AttemptEvent, AttemptNumber, StatementId, TimeDelta, Timestamp};
use dispatch::{AttemptOrder, Decision, FollowUp};
use tracing::debug;

use super::Service;
use crate::cluster::{AttemptCharge, ClusterEndpoint};
use crate::engines::{AttemptUpdate, OutgoingAttempt};

/// Whether a call handled any report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReportsRead {
    /// At least one report was handled.
    Some,
    /// There was no report.
    None,
}

impl Service {
    /// Handles reports of engines until no more are pending.
    pub(super) fn read_reports(&mut self, now: Timestamp) -> ReportsRead {
        let mut read = ReportsRead::None;
        loop {
            let reports = self.engines.take_updates();
            if reports.is_empty() {
                return read;
            }
            read = ReportsRead::Some;
            for report in reports {
                self.on_report(now, report);
            }
        }
    }

    fn on_report(&mut self, now: Timestamp, report: AttemptUpdate) {
        let id = report.statement;
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let event = if self.catalog.answers_report_usage {
            report.event
        } else {
            without_usage(report.event)
        };
        let ended = !is_in_flight(event);
        if ended {
            debug!(
                statement = id.0,
                attempt = report.attempt.0,
                ?event,
                "attempt ended"
            );
            statement
                .in_flight
                .retain(|attempt| *attempt != report.attempt);
        }
        let completed = matches!(event, AttemptEvent::Completed { .. });
        let is_answer_owed = !statement.answered;
        let class = statement.class;
        let lost = ended && !completed && event != AttemptEvent::Cancelled;
        if lost && is_answer_owed {
            // The statement may be retried, so this counts towards the share of the retry budget
            // that this gateway asks for in its next lease.
            if let Some(leases) = self
                .cluster
                .as_mut()
                .and_then(ClusterEndpoint::quota_leases)
            {
                leases.record_retry_demand(class.0);
            }
        }
        if completed && is_answer_owed {
            self.counters.completed += 1;
            debug!(statement = id.0, "statement completed");
            let pages = report.pages;
            self.answer(now, id, |response| {
                response.result_set(pages.iter().map(|page| &page[..]))
            });
        }
        let follow_up =
            self.scheduler
                .report(now, id, report.attempt, event, report.latency, completed);
        match follow_up {
            FollowUp::None => {}
            FollowUp::Cancel(attempt) => self.engines.cancel(now, id, attempt, &mut self.counters),
            FollowUp::Reject { retry_after } => self.reject(now, id, retry_after),
            FollowUp::Fail => self.fail(now, id),
        }
        self.close_if_done(id);
    }

    /// Carries out a decision of the scheduler about a statement.
    pub(super) fn follow_decision(&mut self, now: Timestamp, id: StatementId, decision: Decision) {
        match decision {
            Decision::Queued => {}
            Decision::Forward(order) => self.send_attempt(now, id, order),
            Decision::Reject { retry_after } => self.reject(now, id, retry_after),
            Decision::Fail => self.fail(now, id),
        }
        self.close_if_done(id);
    }

    fn send_attempt(&mut self, now: Timestamp, id: StatementId, order: AttemptOrder) {
        let Some(statement) = self.statements.get_mut(id) else {
            return;
        };
        let charge = AttemptCharge {
            class: statement.class.0,
            is_retry: order.is_retry,
            is_outlier_probe: order.outlier_probe,
        };
        let needs_leased_budget = order.is_retry || order.outlier_probe;
        if needs_leased_budget
            && let Some(leases) = self
                .cluster
                .as_mut()
                .and_then(ClusterEndpoint::quota_leases)
            && !leases.charge(charge)
        {
            self.requeue_unleased(now, id, order.attempt);
            return;
        }
        statement.in_flight.push(order.attempt);
        let deadline = self
            .drain_deadline
            .map_or(order.due, |drain| drain.min(order.due));
        let outgoing = OutgoingAttempt {
            statement: id,
            attempt: order.attempt,
            engine: order.engine,
            request_id: statement.request_id,
            class: self.catalog.class_name(statement.class),
            keys: &statement.keys,
            text: &statement.text,
            deadline,
            priority: order.priority,
            send_by: order.send_by,
            avoid: &statement.connections,
        };
        let connection = self.engines.send(now, &outgoing, &mut self.counters);
        debug!(
            statement = id.0,
            attempt = order.attempt.0,
            engine = order.engine.0,
            ?connection,
            "attempt sent"
        );
        statement.connections.extend(connection);
    }

    /// Reports an attempt as never sent because the lease on the quota that it needs ended first.
    /// The scheduler then queues the statement again, or ends it.
    fn requeue_unleased(&mut self, now: Timestamp, id: StatementId, attempt: AttemptNumber) {
        let answered = false;
        let follow_up = self.scheduler.report(
            now,
            id,
            attempt,
            AttemptEvent::NeverSent,
            TimeDelta::ZERO,
            answered,
        );
        match follow_up {
            FollowUp::None | FollowUp::Cancel(_) => {}
            FollowUp::Reject { retry_after } => self.reject(now, id, retry_after),
            FollowUp::Fail => self.fail(now, id),
        }
    }
}

/// Whether an attempt is still in flight after an event.
fn is_in_flight(event: AttemptEvent) -> bool {
    matches!(
        event,
        AttemptEvent::Progress(_) | AttemptEvent::Stalled | AttemptEvent::Streaming
    )
}

/// Returns the event without the CPU time and memory that the engine reported.
fn without_usage(event: AttemptEvent) -> AttemptEvent {
    match event {
        AttemptEvent::Completed { .. } => AttemptEvent::Completed {
            cpu: None,
            memory_mb: None,
        },
        other => other,
    }
}
