//! Input from engines: established connections, responses, and results that arrive page by page.

use admission::interface::{AttemptEvent, TimeDelta, Timestamp};
use bytes::Bytes;

use super::attempt::{AttemptUpdate, InFlightAttempt};
use super::connection::{Connection, ConnectionError, ConnectionId};
use super::paged_result::{PageReceipt, PagedResult};
use super::protocol::{self, MAX_RESPONSE_BYTES, RequestId, Response, ResponseKind};
use super::{AttemptId, EngineTransport};
use crate::counters::Counters;
use crate::socket::Socket;

/// How often the read buffer of one connection may be filled in a read, so that no engine delays
/// the others.
const MAX_FILLS_PER_READ: usize = 4;

/// How many responses of one connection are handled in a turn. A read buffer may hold thousands of
/// the smallest ones.
pub(super) const MAX_RESPONSES_PER_TURN: u32 = 64;

/// Whether a connection may have more to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStatus {
    /// All bytes that have arrived are read, or the connection is gone.
    Finished,
    /// More bytes may have arrived.
    Unfinished,
    /// More bytes have arrived, but no memory is available for them.
    LacksMemory,
    /// The connection has reached its limit for the turn. The read buffer may hold more responses.
    Paused,
}

/// Whether the complete responses in a read buffer have been handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponsesHandled {
    /// All of them, or the connection is gone.
    All,
    /// As many as the limit for the turn allows.
    UpToLimit,
}

impl EngineTransport {
    /// Handles a socket event of a connection: it was established, became readable or writable, or
    /// was closed by its peer. An event of a connection that is no longer in the pool is ignored.
    pub fn on_socket_event(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        if connection.is_connecting() {
            match connection.socket.is_connected() {
                Ok(false) => return,
                Ok(true) => connection.connect_deadline = None,
                Err(error) => return self.fail_connection(now, id, &error.into(), counters),
            }
        }
        connection.socket.mark_readable();
        self.flush(now, id, counters);
        self.read(now, id, counters);
    }

    /// Continues to read the connections that had more to read than one turn allows, and those for
    /// which memory is available now.
    pub fn resume_reads(&mut self, now: Timestamp, counters: &mut Counters) {
        for id in std::mem::take(&mut self.unfinished_reads) {
            self.read(now, id, counters);
        }
        while let Some(id) = self.paused_reads.next() {
            self.read(now, id, counters);
            if self.paused_reads.contains(id) {
                return;
            }
        }
    }

    /// Writes as many enqueued bytes as the socket accepts, if the connection is established.
    pub(super) fn flush(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        if connection.is_connecting() {
            return;
        }
        if let Err(error) = connection.socket.flush() {
            return self.fail_connection(now, id, &error.into(), counters);
        }
        connection.update_held();
    }

    /// Reads a connection, up to its limit for one turn. Invalid bytes end the connection at once,
    /// whatever follows them.
    pub(super) fn read(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        self.paused_reads.end_wait(id);
        self.read_fills(now, id, counters);
        let has_begun_response = self
            .pool
            .get(id)
            .is_some_and(Connection::has_begun_response);
        if !has_begun_response {
            self.paused_reads.end_exemption(id);
        }
    }

    fn read_fills(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        for _ in 0..MAX_FILLS_PER_READ {
            match self.read_once(now, id, counters) {
                Ok(ReadStatus::Finished | ReadStatus::LacksMemory) => {
                    self.unfinished_reads.remove(&id);
                    return self.pool.update_timeout(id);
                }
                Ok(ReadStatus::Unfinished) => {}
                Ok(ReadStatus::Paused) => break,
                Err(error) => return self.fail_connection(now, id, &error, counters),
            }
        }
        self.unfinished_reads.insert(id);
        self.pool.update_timeout(id);
    }

    /// Fills a connection's read buffer once and handles the responses in it.
    ///
    /// # Errors
    ///
    /// The connection is closed by the engine, failed, or carries an invalid response.
    fn read_once(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) -> Result<ReadStatus, ConnectionError> {
        let Some(connection) = self.pool.get_mut(id) else {
            return Ok(ReadStatus::Finished);
        };
        connection.resume_read(now);
        let limit = if self.paused_reads.is_exempt(id) {
            MAX_RESPONSE_BYTES
        } else {
            connection.read_limit()
        };
        let read = connection.socket.read_up_to(limit);
        connection.update_held();
        // Responses that arrived before the connection ended still count. If there are more than
        // the turn allows, the end is found again behind them.
        if self.handle_responses(now, id, counters)? == ResponsesHandled::UpToLimit {
            return Ok(ReadStatus::Paused);
        }
        let Some(connection) = self.pool.get_mut(id) else {
            return Ok(ReadStatus::Finished);
        };
        connection.socket.shrink_read_buffer();
        connection.update_held();
        read?;
        if connection.socket.peer_finished {
            return Err(ConnectionError::ClosedByEngine);
        }
        track_partial_response(now, connection)?;
        if !connection.socket.may_have_more() {
            return Ok(ReadStatus::Finished);
        }
        let has_room = connection.socket.read_buffer.len() < connection.read_limit();
        if has_room || self.paused_reads.exempt_or_pause(id) {
            return Ok(ReadStatus::Unfinished);
        }
        connection.pause_read();
        counters.engine_reads_paused += 1;
        Ok(ReadStatus::LacksMemory)
    }

    /// Handles the complete responses in a connection's read buffer, up to the first invalid one or
    /// the limit for the turn.
    fn handle_responses(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) -> Result<ResponsesHandled, ConnectionError> {
        while let Some(connection) = self.pool.get_mut(id) {
            if connection.response_budget.is_used_up(self.turn) {
                return Ok(ResponsesHandled::UpToLimit);
            }
            let Some(response) = Response::decode(&mut connection.socket.read_buffer)? else {
                break;
            };
            connection.response_budget.record(self.turn);
            connection.partial_response_since = None;
            connection.socket.shrink_read_buffer();
            connection.update_held();
            self.handle_response(now, id, response, counters)?;
        }
        Ok(ResponsesHandled::All)
    }

    fn handle_response(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        response: Response,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        let Some((request_id, attempt)) = self.find_attempt(id, &response) else {
            // The response is late, repeated or unexpected. It cannot belong to another attempt,
            // since no two attempts with the same request id use the same connection.
            if response.kind != ResponseKind::Pong {
                counters.answers_late += 1;
            }
            return Ok(());
        };
        match response.kind {
            ResponseKind::Pong => {}
            ResponseKind::Status => {
                counters.engine_notes += 1;
                let latency = now - attempt.sent;
                let attempt = attempt.id;
                self.report_status(attempt, latency, &response);
            }
            ResponseKind::Rejected => {
                counters.attempts_rejected += 1;
                self.finish_attempt(now, id, &request_id, AttemptEvent::Rejected);
            }
            ResponseKind::Expired => {
                counters.attempts_expired += 1;
                self.finish_attempt(now, id, &request_id, AttemptEvent::NeverSent);
            }
            ResponseKind::Failed => {
                counters.attempts_failed += 1;
                self.finish_attempt(now, id, &request_id, AttemptEvent::Error);
            }
            ResponseKind::Completed => {
                return self.handle_first_page(now, id, &request_id, response, counters);
            }
            ResponseKind::Page => {
                return self.handle_further_page(now, id, &request_id, response, counters);
            }
        }
        Ok(())
    }

    /// Returns the attempt in flight that a response belongs to.
    fn find_attempt(
        &mut self,
        id: ConnectionId,
        response: &Response,
    ) -> Option<(RequestId, &mut InFlightAttempt)> {
        let request_id = RequestId::try_from(&response.request_id[..]).ok()?;
        let attempt = self.pool.get_mut(id)?.attempts.get_mut(&request_id)?;
        Some((request_id, attempt))
    }

    /// Reports a status response as an update of its attempt. Unknown remarks are ignored, and so
    /// is a completed share of the work that is not a number from 0 to 1.
    fn report_status(&mut self, attempt: AttemptId, latency: TimeDelta, response: &Response) {
        let value = response.number::<f64>("datum");
        let event = match (response.field("remark"), value) {
            (Some(b"done"), Some(value)) if (0.0..=1.0).contains(&value) => {
                AttemptEvent::Progress(value)
            }
            (Some(b"spills" | b"waits"), _) => AttemptEvent::Stalled,
            _ => return,
        };
        let update = AttemptUpdate::without_pages(attempt, event, latency);
        self.updates.push(update);
    }

    /// Starts the result of a completed statement with its first page, and requests all further
    /// pages at once unless the client has left.
    fn handle_first_page(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
        response: Response,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        let Some((socket, attempt)) = self.socket_and_attempt(id, request_id) else {
            return Ok(());
        };
        if attempt.result.is_some() {
            counters.answers_late += 1;
            return Ok(());
        }
        let result = PagedResult::new(now, now - attempt.sent, response)?;
        let page_count = result.page_count();
        attempt.result = Some(result);
        if !attempt.abandoned {
            for page in 1..page_count {
                let request = protocol::encode_page_request(request_id, page);
                socket.enqueue(&request);
            }
            self.flush(now, id, counters);
        }
        self.complete_if_done(now, id, request_id, counters)
    }

    fn handle_further_page(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
        response: Response,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        counters.pages_received += 1;
        let Some((_, attempt)) = self.find_attempt(id, &response) else {
            return Ok(());
        };
        let receipt = match &mut attempt.result {
            Some(result) => result.add_page(now, response)?,
            None => PageReceipt::Unexpected,
        };
        if receipt == PageReceipt::Unexpected {
            counters.answers_late += 1;
            return Ok(());
        }
        self.complete_if_done(now, id, request_id, counters)
    }

    /// Ends an attempt whose pages have all arrived, or whose client has left after the first page.
    ///
    /// # Errors
    ///
    /// The result is invalid.
    pub(super) fn complete_if_done(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        let Some((socket, attempt)) = self.socket_and_attempt(id, request_id) else {
            return Ok(());
        };
        let Some(result) = &attempt.result else {
            return Ok(());
        };
        let pages: Option<Vec<Bytes>> = result.complete_pages()?;
        let is_incomplete = pages.is_none();
        if is_incomplete && !attempt.abandoned {
            return Ok(());
        }
        counters.attempts_completed += 1;
        let page_bytes: usize = pages.iter().flatten().map(Bytes::len).sum();
        let update = AttemptUpdate {
            statement: attempt.id.statement,
            attempt: attempt.id.attempt,
            event: result.completion_event(),
            latency: result.latency,
            pages: pages.unwrap_or_default(),
        };
        if is_incomplete {
            socket.enqueue(&protocol::encode_release(request_id));
        }
        self.remove_attempt(now, id, request_id);
        self.updates.push(update);
        self.updates_held
            .set(self.updates_held.bytes() + page_bytes);
        self.flush(now, id, counters);
        Ok(())
    }

    fn socket_and_attempt(
        &mut self,
        id: ConnectionId,
        request_id: &RequestId,
    ) -> Option<(&mut Socket, &mut InFlightAttempt)> {
        let connection = self.pool.get_mut(id)?;
        let attempt = connection.attempts.get_mut(request_id)?;
        Some((&mut connection.socket, attempt))
    }
}

/// Records since when the read buffer has held an incomplete response.
///
/// # Errors
///
/// The buffer holds part of a response, but no attempt is in flight.
fn track_partial_response(
    now: Timestamp,
    connection: &mut Connection,
) -> Result<(), ConnectionError> {
    if connection.socket.read_buffer.is_empty() {
        connection.partial_response_since = None;
        return Ok(());
    }
    if connection.attempts.is_empty() {
        // Nothing was requested, and the response to the next attempt on this connection would
        // follow this one.
        return Err(ConnectionError::UnexpectedResponse);
    }
    connection.partial_response_since.get_or_insert(now);
    Ok(())
}
