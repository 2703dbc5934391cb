//! The end of statements. Each gets one final answer: its result, a rejection or an error. A
//! statement whose client has left or killed it gets none.

use admission::interface::{StatementId, TimeDelta, Timestamp};
use bytes::BytesMut;
use dispatch::Decision;
use tracing::{debug, warn};

use super::Service;
use crate::clients::Disconnection;
use crate::clients::protocol::{ErrorCode, Response};

/// An upper bound for the retry delay of a statement whose client sends no more; the scheduler
/// reduces it to the longest delay that the settings allow.
const LONGEST_RETRY_AFTER: TimeDelta = TimeDelta::from_micros(3_600_000_000);

/// A statement that arrives together with the end of its client's input is still sent if that end
/// is younger than this. The client may have closed only its sending side and still read. The limit
/// stays below 0.1 s because no attempt may be sent later than 0.1 s after its client has left.
const JUST_DISCONNECTED_S: f64 = 0.05;

/// Returns the error text of a rejection, with the delay until a retry in milliseconds if there is
/// one.
pub(super) fn rejection_text(retry_after: Option<TimeDelta>) -> String {
    let Some(retry_after) = retry_after else {
        return "denied".to_owned();
    };
    let backoff_ms = (retry_after.secs() * 1e3).round() as u64;
    format!("denied; backoff={backoff_ms}")
}

impl Service {
    /// Fails each statement whose answer is overdue, so that every statement is answered before its
    /// budget ends. A statement becomes overdue only through a fault in the gateway, so its
    /// attempts are logged for diagnosis.
    pub(super) fn answer_overdue(&mut self, now: Timestamp) {
        while let Some(overdue) = self.statements.pop_overdue(now) {
            let id = overdue.id;
            let Some(statement) = self.statements.get(id) else {
                continue;
            };
            let rid = String::from_utf8_lossy(&statement.request_id).into_owned();
            let late_s = (now - overdue.answer_deadline).secs();
            let in_flight = &statement.in_flight;
            let engines = self.engines.describe_attempts(id);
            warn!(
                rid,
                late_s,
                ?in_flight,
                engines,
                "statement had no answer at its deadline; answering it with an error"
            );
            self.counters.overdue += 1;
            self.scheduler.client_left(now, id);
            self.fail(now, id);
            self.close_if_done(id);
        }
    }

    /// Abandons a statement and its attempts, because its client has disconnected or killed it. No
    /// answer is sent.
    pub(super) fn on_abandoned(&mut self, now: Timestamp, id: StatementId) {
        let Some(statement) = self.statements.unanswered(id) else {
            return;
        };
        let in_flight = statement.in_flight.clone();
        self.statements.mark_answered(id);
        self.counters.client_left += 1;
        debug!(
            statement = id.0,
            "client left or killed its statement; abandoning the attempts"
        );
        self.scheduler.client_left(now, id);
        for attempt in in_flight {
            self.engines.abandon(now, id, attempt, &mut self.counters);
        }
        self.close_if_done(id);
    }

    /// Rejects the waiting statements of clients that send no more, whether they wait in a queue,
    /// for a connection to an engine or for a retry. Each still gets an answer, since a client that
    /// closed only its sending side still reads. Attempts that were sent go on. A statement that
    /// arrived in this turn, together with the end of its client's input, is left until the next
    /// turn.
    pub(super) fn reject_disconnected(&mut self, now: Timestamp) {
        for disconnection in self.sessions.disconnections() {
            let id = disconnection.statement;
            if self.is_withdrawable(now, &disconnection) && self.withdraw_attempts(now, id) {
                self.counters.client_left += 1;
                debug!(
                    statement = id.0,
                    "client closed its sending side; rejecting its waiting statement"
                );
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

    /// Whether a statement may be rejected because its client sends no more: it has no answer, and
    /// did not just arrive together with the end of its client's input.
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

    /// Withdraws the attempts of a statement that have not been sent. Returns whether the statement
    /// then has neither an attempt in flight nor an answer.
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

    /// Answers a statement with a rejection. Without `retry_after`, the client is told no time for
    /// a retry.
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

    /// Answers a statement with an error because it could not be completed.
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

    /// Sends a statement's final answer to its session. Does nothing if the statement is closed.
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
