//! How statements end: one final answer each, whether completed, rejected, failed, overdue or abandoned by their client.

use admission::interface::{StatementId, TimeDelta, Timestamp};
use bytes::BytesMut;
use dispatch::Decision;
use tracing::{debug, warn};

use super::Service;
use crate::clients::Disconnection;
use crate::clients::protocol::{ErrorCode, Response};

/// Longer than any client is told to wait: the decisions cut it to what they allow.
const LONGEST_RETRY_AFTER: TimeDelta = TimeDelta::from_micros(3_600_000_000);

/// A client's end that comes together with its statement and is younger than this may be that of one that only shut its
/// sending side, and still reads; of one that went for good nothing may leave any more 0.1 s later.
const JUST_DISCONNECTED_S: f64 = 0.05;

/// What a rejected client reads.
pub(super) fn rejection_text(retry_after: Option<TimeDelta>) -> String {
    let Some(retry_after) = retry_after else {
        return "denied".to_owned();
    };
    let backoff_ms = (retry_after.secs() * 1e3).round() as u64;
    format!("denied; backoff={backoff_ms}")
}

impl Service {
    /// Guarantees one answer to each statement before its budget ends, whatever went wrong before. Never seen to act;
    /// its line in the log is a fault of the gateway, and tells where the statement stood.
    pub(super) fn answer_overdue(&mut self, now: Timestamp) {
        while let Some(overdue) = self.statements.pop_overdue(now) {
            let id = overdue.id;
            let Some(statement) = self.statements.get(id) else {
                continue;
            };
            let rid = String::from_utf8_lossy(&statement.request_id).into_owned();
            let late = (now - overdue.answer_deadline).secs();
            let in_flight = &statement.in_flight;
            let engines = self.engines.describe_attempts(id);
            warn!(
                rid,
                late,
                ?in_flight,
                engines,
                "a statement without an answer at its end"
            );
            self.counters.overdue += 1;
            self.scheduler.client_left(now, id);
            self.fail(now, id);
            self.close_if_done(id);
        }
    }

    /// Its client is gone, or has killed it: nobody waits for its answer.
    pub(super) fn on_abandoned(&mut self, now: Timestamp, id: StatementId) {
        let Some(statement) = self.statements.unanswered(id) else {
            return;
        };
        let in_flight = statement.in_flight.clone();
        self.statements.mark_answered(id);
        self.counters.client_left += 1;
        debug!(statement = id.0, "its client left");
        self.scheduler.client_left(now, id);
        for attempt in in_flight {
            self.engines.abandon(now, id, attempt, &mut self.counters);
        }
        self.close_if_done(id);
    }

    /// Takes out what waits, wherever it does, for clients that send no more: in a queue, for a connection that comes
    /// up or for a retry. It gets its answer all the same, since a client that only shut its sending side still reads.
    /// What was sent goes on; so does, for this turn, what came together with its client's end a moment ago.
    pub(super) fn reject_disconnected(&mut self, now: Timestamp) {
        for disconnection in self.sessions.disconnections() {
            let id = disconnection.statement;
            if self.is_withdrawable(now, &disconnection) && self.withdraw_attempts(now, id) {
                self.counters.client_left += 1;
                debug!(statement = id.0, "taken back, its client sends no more");
                let decision = self
                    .scheduler
                    .reject_abandoned(now, id, LONGEST_RETRY_AFTER);
                match decision {
                    Decision::Reject { retry_after } => self.answer_rejected(now, id, retry_after),
                    Decision::Queued | Decision::Forward(_) | Decision::Fail => {
                        self.answer_failed(now, id);
                    }
                }
                self.close_if_done(id);
            }
        }
    }

    /// Whether a statement is to be taken out because its client sends no more.
    fn is_withdrawable(&self, now: Timestamp, disconnection: &Disconnection) -> bool {
        let Some(statement) = self.statements.unanswered(disconnection.statement) else {
            return false;
        };
        let end = disconnection.end;
        let just_disconnected =
            end.detected == now && (now - end.arrived).secs() < JUST_DISCONNECTED_S;
        let came_with_its_end = just_disconnected && statement.received == now;
        !came_with_its_end
    }

    /// Takes back what has not left yet. Whether the statement then has nothing in flight, and still no answer.
    fn withdraw_attempts(&mut self, now: Timestamp, id: StatementId) -> bool {
        let in_flight = self
            .statements
            .get(id)
            .map(|statement| statement.in_flight.clone());
        for attempt in in_flight.unwrap_or_default() {
            self.engines.withdraw(now, id, attempt, &mut self.counters);
        }
        self.read_reports(now);
        self.statements
            .unanswered(id)
            .is_some_and(|statement| statement.in_flight.is_empty())
    }

    pub(super) fn reject(
        &mut self,
        now: Timestamp,
        id: StatementId,
        retry_after: Option<TimeDelta>,
    ) {
        self.counters.rejected += 1;
        let retry_after_ms = retry_after.map(|retry_after| retry_after.secs() * 1e3);
        debug!(statement = id.0, ?retry_after_ms, "statement rejected");
        self.answer_rejected(now, id, retry_after);
    }

    fn answer_rejected(&mut self, now: Timestamp, id: StatementId, retry_after: Option<TimeDelta>) {
        let text = rejection_text(retry_after);
        self.answer(now, id, |response| {
            response.error(ErrorCode::LIMIT_REACHED, &text)
        });
    }

    pub(super) fn fail(&mut self, now: Timestamp, id: StatementId) {
        self.counters.failed += 1;
        debug!(statement = id.0, "statement failed");
        self.answer_failed(now, id);
    }

    fn answer_failed(&mut self, now: Timestamp, id: StatementId) {
        let text = "the statement could not be completed";
        self.answer(now, id, |response| {
            response.error(ErrorCode::UNKNOWN_ERROR, text)
        });
    }

    /// Gives a statement its final answer.
    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        id: StatementId,
        response: impl FnOnce(Response) -> BytesMut,
    ) {
        let Some(session) = self.statements.mark_answered(id) else {
            return;
        };
        self.sessions
            .respond(now, session, &mut self.counters, response);
    }

    /// Closes a statement that is answered and has no attempt in flight.
    pub(super) fn close_if_done(&mut self, id: StatementId) {
        let Some(statement) = self.statements.remove_if_done(id) else {
            return;
        };
        if let Some(caller) = &statement.caller {
            self.callers.on_statement_closed(caller);
        }
    }
}
