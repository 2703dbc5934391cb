//! The end of attempts and connections without a response: timeouts, cancellation, withdrawal and
//! the loss of a connection.

use admission::interface::{AttemptEvent, AttemptNumber, EngineId, StatementId, Timestamp};
use tracing::debug;

use super::attempt::{AttemptId, AttemptUpdate, InFlightAttempt};
use super::connection::{ConnectionError, ConnectionId};
use super::protocol::{self, RequestId};
use super::{AttemptLocation, EngineTransport};
use crate::counters::Counters;

impl EngineTransport {
    /// Cancels an attempt at the request of the scheduler, and reports its end. Does nothing if it
    /// has ended already.
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

    /// Withdraws an attempt unless it has left this machine completely. Returns true if the attempt
    /// never runs; its end is then reported. Returns false if it goes on or has ended.
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

    /// Withdraws an attempt that no client waits for. If it has left this machine, it goes on, but
    /// no further pages of its result are requested.
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

    /// Withdraws the attempts of which no byte has left for an engine that discovery reports as
    /// draining or gone. Otherwise, a connection that is established late would deliver them after
    /// the engine's grace period.
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

    /// Moves every attempt deadline that is later than `latest` to `latest`, for the shutdown of
    /// the gateway.
    pub fn cap_deadlines(&mut self, latest: Timestamp) {
        for connection in self.pool.iter_mut() {
            for attempt in connection.attempts.values_mut() {
                attempt.deadline = attempt.deadline.min(latest);
            }
        }
        self.timers.cap_deadlines(latest);
    }

    /// Ends the attempts and connections whose timers have expired.
    pub fn expire_timeouts(&mut self, now: Timestamp, counters: &mut Counters) {
        while let Some(id) = self.timers.pop_deadline(now) {
            counters.attempts_timed_out += 1;
            self.stop_attempt(now, id, AttemptEvent::TimedOut, counters);
        }
        while let Some(id) = self.timers.pop_send_limit(now) {
            self.withdraw(now, id.statement, id.attempt, counters);
        }
        while let Some(id) = self.pool.first_timed_out(now) {
            self.expire_connection(now, id, counters);
        }
    }

    fn expire_connection(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.pool.get(id) else {
            return;
        };
        let is_idle = connection.is_idle() && connection.partial_response_since.is_none();
        if connection.is_connecting() {
            self.fail_connection(now, id, &ConnectionError::ConnectTimeout, counters);
        } else if is_idle {
            counters.engine_idle_closed += 1;
            self.pool.remove(id);
        } else {
            self.fail_connection(now, id, &ConnectionError::StalledResponse, counters);
        }
    }

    /// Ends an attempt whose result is no longer needed. If it has left this machine completely,
    /// its engine is told to cancel it or to release its result, and its end is reported as
    /// `event`.
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
        // A connection that was not established before the attempt ended counts against the engine.
        // Bytes that an established connection has not taken yet do not.
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

    /// Removes an attempt that has not left this machine completely, so that a connection that is
    /// established later, or accepts bytes again, cannot deliver it after the statement is
    /// answered. Returns true if the attempt has ended with `event` and never ran.
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
        let was_only_attempt = connection.attempts.len() == 1;
        counters.attempts_withdrawn += 1;
        self.finish_attempt(now, id, &request_id, event);
        if was_only_attempt {
            // No other attempt needs the connection, and part of this one may have left, which must
            // not be completed.
            self.pool.remove(id);
        } else {
            self.pool.update_timeout(id);
        }
        true
    }

    /// Closes a connection whose state may be inconsistent after a fault of the gateway, and ends
    /// its attempts.
    pub fn abandon_connection(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) {
        self.fail_connection(now, id, &ConnectionError::Fault, counters);
    }

    /// Closes a connection that can no longer be used, and ends its attempts.
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
            "closing the connection to the engine and ending its attempts"
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

    /// Removes an attempt and reports `event` as its end.
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

    /// Removes an attempt from its connection, from the table of locations and from the timers.
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
