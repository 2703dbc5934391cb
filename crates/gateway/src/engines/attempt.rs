//! The data of one attempt: the request to send, its state while it is in flight, and the updates
//! about it.

use std::ops::Range;

use admission::interface::{
    AttemptEvent, AttemptNumber, EngineId, StatementId, TimeDelta, Timestamp,
};
use bytes::Bytes;

use super::connection::ConnectionId;
use super::paged_result::PagedResult;
use super::protocol::{AttemptRequest, RequestId, StatementKeys};

/// An attempt that is to be sent.
pub struct OutgoingAttempt<'a> {
    /// The statement of the attempt.
    pub statement: StatementId,
    /// The number of the attempt among those of the statement.
    pub attempt: AttemptNumber,
    /// The engine that the attempt is sent to.
    pub engine: EngineId,
    /// The client's id of the statement.
    pub request_id: RequestId,
    /// The name of the statement's query class.
    pub class: &'a str,
    /// The keys that the statement carries.
    pub keys: &'a StatementKeys,
    /// The text of the statement.
    pub text: &'a [u8],
    /// The time at which the attempt times out.
    pub deadline: Timestamp,
    /// The priority for the engine, 0 to 3; `None` if engines do not use priorities.
    pub priority: Option<u8>,
    /// The attempt is withdrawn unless its last byte has left this machine by this time; `None` if
    /// only the deadline applies.
    pub send_by: Option<Timestamp>,
    /// The connections of earlier attempts of the statement. A late response on one of them carries
    /// the same request id and would be taken for this attempt's response.
    pub avoid: &'a [ConnectionId],
}

impl OutgoingAttempt<'_> {
    pub(super) fn id(&self) -> AttemptId {
        AttemptId {
            statement: self.statement,
            attempt: self.attempt,
        }
    }

    /// Builds the request to the engine, whose timeout runs from `now` to the deadline.
    pub(super) fn request(&self, now: Timestamp) -> AttemptRequest<'_> {
        let timeout_ms = (self.deadline - now).secs() * 1e3;
        AttemptRequest {
            request_id: self.request_id,
            class: self.class,
            timeout_ms: timeout_ms.max(1.0) as u64,
            priority: self.priority,
            keys: self.keys,
            text: self.text,
        }
    }
}

/// An event of an attempt, as reported to the scheduler.
#[derive(Debug)]
pub struct AttemptUpdate {
    /// The statement of the attempt.
    pub statement: StatementId,
    /// The number of the attempt among those of the statement.
    pub attempt: AttemptNumber,
    /// The event.
    pub event: AttemptEvent,
    /// The time from sending the attempt to the event or, if the attempt completed, to the first
    /// page.
    pub latency: TimeDelta,
    /// The pages of the result in order. They are empty unless the attempt completed; an attempt
    /// that its client abandoned may complete without them.
    pub pages: Vec<Bytes>,
}

impl AttemptUpdate {
    /// Creates an update without pages.
    pub(super) fn without_pages(id: AttemptId, event: AttemptEvent, latency: TimeDelta) -> Self {
        AttemptUpdate {
            statement: id.statement,
            attempt: id.attempt,
            event,
            latency,
            pages: Vec::new(),
        }
    }
}

/// Identifies an attempt among those of all statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptId {
    pub statement: StatementId,
    pub attempt: AttemptNumber,
}

/// An attempt in flight, from [`EngineTransport::send`](super::EngineTransport::send) until its end
/// is reported.
pub(super) struct InFlightAttempt {
    pub id: AttemptId,
    pub sent: Timestamp,
    pub deadline: Timestamp,
    /// The position of the request in the stream of all bytes enqueued on the connection since it
    /// was opened.
    pub bytes: Range<u64>,
    /// The part of the result that has arrived; `None` before the first page.
    pub result: Option<PagedResult>,
    /// Whether the client has left. The end of the attempt is still reported, but further pages are
    /// not requested.
    pub abandoned: bool,
}

impl InFlightAttempt {
    /// Whether the last byte of the request has left this machine, after `bytes_written` bytes of
    /// the connection have.
    pub(super) fn is_sent(&self, bytes_written: u64) -> bool {
        self.bytes.end <= bytes_written
    }

    /// Whether any byte of the request has left this machine, after `bytes_written` bytes of the
    /// connection have.
    pub(super) fn is_partly_sent(&self, bytes_written: u64) -> bool {
        self.bytes.start < bytes_written
    }
}
