//! How statements end: one final answer each, whether completed, rejected, failed, overdue or left by their client.

use admission::interface::*;
use bytes::{Bytes, BytesMut};
use dispatch::Decision;
use tracing::warn;

use super::Service;
use crate::clients::Disconnection;
use crate::clients::protocol::{ErrorCode, Response};

/// Longer than any client is told to stay away: the decisions cut it to what they allow.
const LONG: TimeDelta = TimeDelta::from_micros(3_600_000_000);

/// A client's end that comes together with its statement and is younger than this may be that of one that only shut its
/// sending side, and still reads; of one that went for good nothing may leave any more 0.1 s later.
const JUST_LEFT_S: f64 = 0.05;

pub(super) fn denial(retry_after: Option<TimeDelta>) -> String {
    let back = |wait: TimeDelta| format!("denied; backoff={}", (wait.secs() * 1e3).round() as u64);
    retry_after.map_or("denied".to_owned(), back)
}

impl Service {
    /// The last guard of one answer before the budget ends, whatever went wrong before it. Never seen to act;
    /// its line in the log is a fault of ours, and tells where the statement stood.
    pub(super) fn overdue(&mut self, now: Timestamp) {
        while let Some((ends, id)) = self.ends.first().copied().filter(|end| end.0 <= now) {
            self.ends.pop_first();
            let Some(in_flight) = self.in_flight.get(&id) else {
                continue;
            };
            let (rid, late) = (
                String::from_utf8_lossy(&in_flight.rid).into_owned(),
                (now - ends).secs(),
            );
            let engines = self.engines.describe_attempts(id);
            warn!(rid, late, out = ?in_flight.out, engines, "a statement without an answer at its end");
            self.counters.overdue += 1;
            self.scheduler.client_left(now, id);
            self.fail(now, id);
            self.forget(id);
        }
    }

    pub(super) fn left(&mut self, now: Timestamp, id: StatementId) {
        let Some(in_flight) = self
            .in_flight
            .get_mut(&id)
            .filter(|in_flight| !in_flight.answered)
        else {
            return;
        };
        (in_flight.answered, in_flight.text) = (true, Bytes::new());
        self.counters.client_left += 1;
        self.ends.remove(&(in_flight.ends, id));
        let out = in_flight.out.clone();
        self.scheduler.client_left(now, id);
        out.into_iter()
            .for_each(|attempt| self.engines.abandon(now, id, attempt, &mut self.counters));
        self.forget(id);
    }

    /// Takes out what waits, wherever it does, for a client that sends no more: in line, for a connection that comes up
    /// or for a further attempt. It gets its answer all the same, since who only shut the sending side still reads. What
    /// has left goes on; so does, for this turn, what came together with its client's end a moment ago.
    pub(super) fn leave(&mut self, now: Timestamp) {
        for Disconnection { statement: id, end } in self.clients.disconnections() {
            let Some(in_flight) = self
                .in_flight
                .get(&id)
                .filter(|in_flight| !in_flight.answered)
            else {
                continue;
            };
            let just_left = end.detected == now && (now - end.arrived).secs() < JUST_LEFT_S;
            if just_left && in_flight.taken == now {
                continue;
            }
            for attempt in in_flight.out.clone() {
                self.engines.withdraw(now, id, attempt, &mut self.counters);
            }
            self.reports(now);
            if self
                .in_flight
                .get(&id)
                .is_none_or(|in_flight| in_flight.answered || !in_flight.out.is_empty())
            {
                continue;
            }
            self.counters.client_left += 1;
            match self.scheduler.reject_abandoned(now, id, LONG) {
                Decision::Reject { retry_after } => self.answer_rejected(now, id, retry_after),
                _ => self.answer_failed(now, id),
            }
            self.forget(id);
        }
    }

    pub(super) fn reject(
        &mut self,
        now: Timestamp,
        id: StatementId,
        retry_after: Option<TimeDelta>,
    ) {
        self.counters.denied += 1;
        self.answer_rejected(now, id, retry_after);
    }

    pub(super) fn answer_rejected(
        &mut self,
        now: Timestamp,
        id: StatementId,
        retry_after: Option<TimeDelta>,
    ) {
        let text = denial(retry_after);
        self.answer(now, id, |answer| {
            answer.error(ErrorCode::LIMIT_REACHED, &text)
        });
    }

    pub(super) fn fail(&mut self, now: Timestamp, id: StatementId) {
        self.counters.scrapped += 1;
        self.answer_failed(now, id);
    }

    pub(super) fn answer_failed(&mut self, now: Timestamp, id: StatementId) {
        self.answer(now, id, |answer| {
            answer.error(
                ErrorCode::UNKNOWN_ERROR,
                "the statement could not be completed",
            )
        });
    }

    pub(super) fn answer(
        &mut self,
        now: Timestamp,
        id: StatementId,
        answer: impl FnOnce(Response) -> BytesMut,
    ) {
        let Some(in_flight) = self.in_flight.get_mut(&id) else {
            return;
        };
        (in_flight.answered, in_flight.text) = (true, Bytes::new());
        self.ends.remove(&(in_flight.ends, id));
        let session = in_flight.session;
        self.clients
            .respond(now, session, &mut self.counters, answer);
    }

    pub(super) fn forget(&mut self, id: StatementId) {
        if self
            .in_flight
            .get(&id)
            .is_some_and(|in_flight| in_flight.answered && in_flight.out.is_empty())
        {
            let in_flight = self.in_flight.remove(&id).expect("just seen");
            if let Some(caller) = &in_flight.caller
                && let Some(open) = self.open.get_mut(caller)
            {
                *open -= 1;
                if *open == 0 {
                    self.open.remove(caller);
                }
            }
            self.rids.remove(&in_flight.rid);
        }
    }
}
