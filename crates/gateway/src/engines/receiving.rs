//! What comes from engines: connections that come up, responses, and results page by page.

use admission::interface::{AttemptEvent, TimeDelta, Timestamp};
use bytes::Bytes;

use super::attempt::{AttemptUpdate, InFlightAttempt};
use super::connection::{Connection, ConnectionError, ConnectionId};
use super::paged_result::{PageReceipt, PagedResult};
use super::protocol::{self, MAX_RESPONSE_BYTES, RequestId, Response, ResponseKind};
use super::{AttemptId, EngineTransport};
use crate::counters::Counters;
use crate::socket::Socket;

/// How often one connection's read buffer is filled in a turn, so that no engine slows the others down.
const MAX_READS_PER_TURN: usize = 4;

/// Whether a connection is to be read on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadStatus {
    /// All that has come is read, or the connection is gone.
    Finished,
    /// There may be more.
    Unfinished,
}

impl EngineTransport {
    /// A socket event of a connection: it came up, can be read or written, or ended. One that is closed already stays so.
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

    /// Goes on with connections that had more to read than their part of the last turn.
    pub fn resume_reads(&mut self, now: Timestamp, counters: &mut Counters) {
        for id in std::mem::take(&mut self.unfinished_reads) {
            self.read(now, id, counters);
        }
    }

    /// Writes what the machine takes of a connection that is up.
    pub(super) fn flush(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        let Some(connection) = self.pool.get_mut(id) else {
            return;
        };
        if connection.is_connecting() {
            return;
        }
        if let Err(error) = connection.socket.flush() {
            self.fail_connection(now, id, &error.into(), counters);
        }
    }

    /// Reads a connection's part of a turn. Bytes that cannot be used end the connection at once, whatever follows them.
    pub(super) fn read(&mut self, now: Timestamp, id: ConnectionId, counters: &mut Counters) {
        for _ in 0..MAX_READS_PER_TURN {
            match self.read_once(now, id, counters) {
                Ok(ReadStatus::Finished) => return self.pool.update_timeout(id),
                Ok(ReadStatus::Unfinished) => {}
                Err(error) => return self.fail_connection(now, id, &error, counters),
            }
        }
        self.unfinished_reads.insert(id);
        self.pool.update_timeout(id);
    }

    /// Fills a connection's read buffer once, and handles the responses in it.
    fn read_once(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) -> Result<ReadStatus, ConnectionError> {
        let Some(connection) = self.pool.get_mut(id) else {
            return Ok(ReadStatus::Finished);
        };
        let read = connection.socket.read_up_to(MAX_RESPONSE_BYTES);
        // What came before an end still counts.
        self.handle_responses(now, id, counters)?;
        let Some(connection) = self.pool.get_mut(id) else {
            return Ok(ReadStatus::Finished);
        };
        read?;
        if connection.socket.peer_finished {
            return Err(ConnectionError::ClosedByEngine);
        }
        note_partial_response(now, connection)?;
        if connection.socket.may_have_more() {
            return Ok(ReadStatus::Unfinished);
        }
        Ok(ReadStatus::Finished)
    }

    /// Handles all complete responses of a connection, unless one of them ends it.
    fn handle_responses(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        while let Some(connection) = self.pool.get_mut(id) {
            let Some(response) = Response::decode(&mut connection.socket.read_buffer)? else {
                break;
            };
            connection.response_begun = None;
            self.handle_response(now, id, response, counters)?;
        }
        Ok(())
    }

    fn handle_response(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        response: Response,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        let Some((request_id, attempt)) = self.attempt_of(id, &response) else {
            // Late, repeated or unexpected. It cannot be another attempt's: no further one of that id is ever on this
            // connection.
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
                return self.take_first_page(now, id, &request_id, response, counters);
            }
            ResponseKind::Page => {
                return self.take_further_page(now, id, &request_id, response, counters);
            }
        }
        Ok(())
    }

    /// The attempt in flight that a response belongs to.
    fn attempt_of(
        &mut self,
        id: ConnectionId,
        response: &Response,
    ) -> Option<(RequestId, &mut InFlightAttempt)> {
        let request_id = RequestId::try_from(&response.request_id[..]).ok()?;
        let attempt = self.pool.get_mut(id)?.attempts.get_mut(&request_id)?;
        Some((request_id, attempt))
    }

    fn report_status(&mut self, attempt: AttemptId, latency: TimeDelta, response: &Response) {
        let done = response.number::<f64>("datum");
        let event = match (response.field("remark"), done) {
            (Some(b"done"), Some(done)) if done.is_finite() => AttemptEvent::Progress(done),
            (Some(b"spills" | b"waits"), _) => AttemptEvent::Stalled,
            _ => return,
        };
        let update = AttemptUpdate::without_pages(attempt, event, latency);
        self.updates.push(update);
    }

    /// The statement completed: its further pages are requested, all at once.
    fn take_first_page(
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

    fn take_further_page(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        request_id: &RequestId,
        response: Response,
        counters: &mut Counters,
    ) -> Result<(), ConnectionError> {
        counters.pages_received += 1;
        let Some((_, attempt)) = self.attempt_of(id, &response) else {
            return Ok(());
        };
        let receipt = match &mut attempt.result {
            Some(result) => result.add_page(now, response),
            None => PageReceipt::Unexpected,
        };
        if receipt == PageReceipt::Unexpected {
            counters.answers_late += 1;
            return Ok(());
        }
        self.complete_if_done(now, id, request_id, counters)
    }

    /// Ends an attempt whose pages are all there, or not wanted any more.
    ///
    /// # Errors
    ///
    /// Its result cannot be used.
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
        let update = AttemptUpdate {
            statement: attempt.id.statement,
            attempt: attempt.id.attempt,
            event: result.completed(),
            latency: result.latency,
            pages: pages.unwrap_or_default(),
        };
        if is_incomplete {
            socket.enqueue(&protocol::encode_release(request_id));
        }
        self.remove_attempt(now, id, request_id);
        self.updates.push(update);
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

/// Notes whether a response has begun that is not complete.
fn note_partial_response(
    now: Timestamp,
    connection: &mut Connection,
) -> Result<(), ConnectionError> {
    if connection.socket.read_buffer.is_empty() {
        connection.response_begun = None;
        return Ok(());
    }
    if connection.attempts.is_empty() {
        // Nothing was requested, and what is written on this connection next would have its response behind it.
        return Err(ConnectionError::UnexpectedResponse);
    }
    connection.response_begun.get_or_insert(now);
    Ok(())
}
