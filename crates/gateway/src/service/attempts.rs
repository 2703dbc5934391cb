//! Attempts of statements at engines: picks of the decisions go out, reports of engines come back.

use admission::interface::*;
use dispatch::{AttemptOrder, Decision, FollowUp};

use super::Service;
use crate::cluster::{AttemptCharge, ClusterEndpoint};
use crate::engines::{AttemptUpdate, OutgoingAttempt};

impl Service {
    pub(super) fn reports(&mut self, now: Timestamp) -> bool {
        let mut any = false;
        loop {
            let reports = self.engines.take_updates();
            if reports.is_empty() {
                return any;
            }
            any = true;
            reports
                .into_iter()
                .for_each(|report| self.report(now, report));
        }
    }

    pub(super) fn report(&mut self, now: Timestamp, report: AttemptUpdate) {
        let id = report.statement;
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let mut event = report.event;
        if let AttemptEvent::Completed { cpu, memory_mb } = &mut event
            && !self.bills
        {
            (*cpu, *memory_mb) = (None, None);
        }
        let still_out = matches!(
            event,
            AttemptEvent::Progress(_) | AttemptEvent::Stalled | AttemptEvent::Streaming
        );
        in_flight
            .out
            .retain(|attempt| still_out || *attempt != report.attempt);
        let completed = matches!(event, AttemptEvent::Completed { .. });
        let failed =
            !still_out && !completed && event != AttemptEvent::Cancelled && !in_flight.answered;
        if failed
            && let Some(leases) = self
                .cluster
                .as_mut()
                .and_then(ClusterEndpoint::quota_leases)
        {
            leases.record_retry_demand(in_flight.class);
        }
        if completed && !in_flight.answered {
            let pages = report.pages;
            self.counters.completed += 1;
            self.answer(now, id, |answer| {
                answer.result_set(pages.iter().map(|page| &page[..]))
            });
        }
        match self
            .scheduler
            .report(now, id, report.attempt, event, report.latency, completed)
        {
            FollowUp::None => {}
            FollowUp::Cancel(attempt) => self.engines.cancel(now, id, attempt, &mut self.counters),
            FollowUp::Reject { retry_after } => self.reject(now, id, retry_after),
            FollowUp::Fail => self.fail(now, id),
        }
        self.forget(id);
    }

    pub(super) fn picked(&mut self, now: Timestamp, id: StatementId, pick: Decision) {
        match pick {
            Decision::Queued => {}
            Decision::Forward(order) => self.attempt(now, id, order),
            Decision::Reject { retry_after } => self.reject(now, id, retry_after),
            Decision::Fail => self.fail(now, id),
        }
        self.forget(id);
    }

    pub(super) fn attempt(&mut self, now: Timestamp, id: StatementId, order: AttemptOrder) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        let charge = AttemptCharge {
            class: in_flight.class,
            is_retry: order.is_retry,
            is_outlier_probe: order.outlier_probe,
        };
        if (order.is_retry || order.outlier_probe)
            && let Some(leases) = self
                .cluster
                .as_mut()
                .and_then(ClusterEndpoint::quota_leases)
            && !leases.charge(charge)
        {
            return self.unspent(now, id, order.attempt);
        }
        in_flight.out.push(order.attempt);
        let outgoing = OutgoingAttempt {
            statement: id,
            attempt: order.attempt,
            engine: order.engine,
            request_id: in_flight.rid,
            class: &self.classes[in_flight.class],
            keys: &in_flight.tags,
            text: &in_flight.text,
            deadline: self
                .drain_deadline
                .map_or(order.due, |by| by.min(order.due)),
            priority: order.priority,
            send_by: order.leave_by,
            avoid: &in_flight.used_connections,
        };
        let connection = self.engines.send(now, &outgoing, &mut self.counters);
        in_flight.used_connections.extend(connection);
    }

    /// The share that an attempt was to go on ended before it went: back in line, as one that never left.
    pub(super) fn unspent(&mut self, now: Timestamp, id: StatementId, attempt: AttemptNumber) {
        match self.scheduler.report(
            now,
            id,
            attempt,
            AttemptEvent::NeverSent,
            TimeDelta::ZERO,
            false,
        ) {
            FollowUp::None | FollowUp::Cancel(_) => {}
            FollowUp::Reject { retry_after } => self.reject(now, id, retry_after),
            FollowUp::Fail => self.fail(now, id),
        }
    }
}
