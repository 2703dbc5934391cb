//! How attempts and connections end other than by a response: time-outs, cancellation, withdrawal, and the loss of a
//! connection.

use admission::interface::{AttemptEvent, AttemptNumber, EngineId, StatementId, Timestamp};
use tracing::debug;

use super::attempt::{AttemptId, AttemptUpdate, InFlightAttempt};
use super::connection::{ConnectionError, ConnectionId};
use super::protocol::{self, RequestId};
use super::{AttemptLocation, EngineTransport};
use crate::counters::Counters;

impl EngineTransport {
    /// Cancels an attempt, as the decisions ask. Its end is among the updates.
    pub fn cancel(
        &mut self,
        now: Timestamp,
        statement: StatementId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) {
        let id = AttemptId { statement, attempt };
        if self.locations.contains_key(&id) {
            counters.attempts_cancelled += 1;
        }
        self.stop_attempt(now, id, AttemptEvent::Cancelled, counters);
    }

    /// Takes an attempt back unless it has left this machine completely; its client sends no more. True: it never runs, and
    /// its end is among the updates. False: it goes on, or has ended.
    pub fn withdraw(
        &mut self,
        now: Timestamp,
        statement: StatementId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) -> bool {
        let id = AttemptId { statement, attempt };
        let Some(location) = self.locations.get(&id).copied() else {
            return false;
        };
        self.retract(now, location, AttemptEvent::Withdrawn, counters)
    }

    /// No client waits for an attempt any more: it is withdrawn if it can be, else the rest of its result is not
    /// requested.
    pub fn abandon(
        &mut self,
        now: Timestamp,
        statement: StatementId,
        attempt: AttemptNumber,
        counters: &mut Counters,
    ) {
        if self.withdraw(now, statement, attempt, counters) {
            return;
        }
        let id = AttemptId { statement, attempt };
        let Some(location) = self.locations.get(&id).copied() else {
            return;
        };
        let AttemptLocation {
            connection: id,
            request_id,
        } = location;
        if let Some(connection) = self.pool.get_mut(id)
            && let Some(attempt) = connection.attempts.get_mut(&request_id)
        {
            attempt.abandoned = true;
        }
        if let Err(error) = self.complete_if_done(now, id, &request_id, counters) {
            self.fail_connection(now, id, &error, counters);
        }
    }

    /// Discovery tells that an engine drains or is gone: attempts that have not begun to leave for it are withdrawn. A
    /// connection that comes up late would carry them past the grace.
    pub fn drain_engine(&mut self, now: Timestamp, engine: EngineId, counters: &mut Counters) {
        for id in self.pool.connections_of(engine) {
            let Some(connection) = self.pool.get(id) else {
                continue;
            };
            for request_id in connection.unsent_attempts() {
                let location = AttemptLocation {
                    connection: id,
                    request_id,
                };
                self.retract(now, location, AttemptEvent::Withdrawn, counters);
            }
        }
    }

    /// The gateway ends: all attempts time out by then.
    pub fn cap_deadlines(&mut self, latest: Timestamp) {
        for connection in self.pool.iter_mut() {
            for attempt in connection.attempts.values_mut() {
                attempt.deadline = attempt.deadline.min(latest);
            }
        }
        self.timers.cap_deadlines(latest);
    }

    /// Ends the attempts and connections whose time has passed.
    pub fn expire_timeouts(&mut self, now: Timestamp, counters: &mut Counters) {
        while let Some(id) = self.timers.pop_deadline(now) {
            counters.attempts_timed_out += 1;
            self.stop_attempt(now, id, AttemptEvent::TimedOut, counters);
        }
        while let Some(id) = self.timers.pop_send_limit(now) {
            self.withdraw(now, id.statement, id.attempt, counters);
        }
        while let Some(id) = self.pool.timed_out(now) {
            self.expire_connection(now, id, counters);
        }
    }

    fn expire_connection(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.pool.get(id) else {
            return;
        };
        let is_idle = connection.is_idle() && connection.response_begun.is_none();
        if connection.is_connecting() {
            self.fail_connection(now, id, &ConnectionError::ConnectTimeout, counters);
        } else if is_idle {
            counters.engine_idle_closed += 1;
            self.pool.remove(id);
        } else {
            self.fail_connection(now, id, &ConnectionError::StalledResponse, counters);
        }
    }

    /// Ends an attempt whose result is not wanted any more. One that has left this machine completely is cancelled at its
    /// engine, and reported as `event`.
    fn stop_attempt(
        &mut self,
        now: Timestamp,
        id: AttemptId,
        event: AttemptEvent,
        counters: &mut Counters,
    ) {
        let Some(location) = self.locations.get(&id).copied() else {
            return;
        };
        let AttemptLocation {
            connection: id,
            request_id,
        } = location;
        let Some(connection) = self.pool.get(id) else {
            return;
        };
        // A connection that did not come up in the statement's time tells something of the engine; bytes that it has not
        // taken yet tell nothing of anybody.
        let unsent_event = if connection.is_connecting() {
            AttemptEvent::Unreachable
        } else {
            AttemptEvent::NeverSent
        };
        if self.retract(now, location, unsent_event, counters) {
            return;
        }
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        let Some(attempt) = connection.attempts.get(&request_id) else {
            return;
        };
        let request = if attempt.result.is_some() {
            protocol::encode_release(&request_id)
        } else {
            protocol::encode_cancel(&request_id)
        };
        connection.socket.enqueue(&request);
        connection.retired = true;
        self.finish_attempt(now, id, &request_id, event);
        self.flush(now, id, counters);
        self.pool.update_timeout(id);
    }

    /// Takes an attempt back that has not left this machine completely. It has its answer, or is about to: a connection that
    /// comes up later, or takes bytes again, must not carry it on after that. True: it has ended by `event`, and never ran.
    fn retract(
        &mut self,
        now: Timestamp,
        location: AttemptLocation,
        event: AttemptEvent,
        counters: &mut Counters,
    ) -> bool {
        let AttemptLocation {
            connection: id,
            request_id,
        } = location;
        let Some(connection) = self.pool.get_mut(id) else {
            return false;
        };
        if !connection.retract_attempt(&request_id) {
            return false;
        }
        let was_alone = connection.attempts.len() == 1;
        counters.attempts_withdrawn += 1;
        self.finish_attempt(now, id, &request_id, event);
        if was_alone {
            // Nobody waits for it any more, or what it began must not be ended.
            self.pool.remove(id);
        } else {
            self.pool.update_timeout(id);
        }
        true
    }

    /// Closes a connection whose state may be half changed; what is in flight on it ends.
    pub fn abandon_connection(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) {
        self.fail_connection(now, id, &ConnectionError::Fault, counters);
    }

    /// A connection is of no further use: it closes, and what is in flight on it ends.
    pub(super) fn fail_connection(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        error: &ConnectionError,
        counters: &mut Counters,
    ) {
        let Some(connection) = self.pool.get(id) else {
            return;
        };
        debug!(
            engine = connection.engine.0,
            attempts = connection.attempts.len(),
            %error,
            "connection lost"
        );
        if error.is_unusable_response() {
            counters.answers_malformed += 1;
        }
        for lost in connection.lost_attempts() {
            match lost.event {
                AttemptEvent::Reset => counters.attempts_reset += 1,
                _ => counters.attempts_unreachable += 1,
            }
            self.finish_attempt(now, id, &lost.request_id, lost.event);
        }
        self.pool.remove(id);
    }

    /// Removes an attempt and reports that it ended without a result.
    pub(super) fn finish_attempt(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
        event: AttemptEvent,
    ) {
        let Some(attempt) = self.remove_attempt(now, id, request_id) else {
            return;
        };
        let latency = now - attempt.sent;
        let update = AttemptUpdate::without_pages(attempt.id, event, latency);
        self.updates.push(update);
    }

    /// Removes an attempt that has ended from its connection and from the tables of attempts.
    pub(super) fn remove_attempt(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
    ) -> Option<InFlightAttempt> {
        let attempt = self.pool.get_mut(id)?.remove_attempt(now, request_id)?;
        self.locations.remove(&attempt.id);
        self.timers.stop_deadline(attempt.id, attempt.deadline);
        Some(attempt)
    }
}
