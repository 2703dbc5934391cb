//! One attempt at an engine: what it is sent with, what is kept while it is in flight, and what is reported of it.

use std::ops::Range;

use admission::interface::{
    AttemptEvent, AttemptNumber, EngineId, StatementId, TimeDelta, Timestamp,
};
use bytes::Bytes;

use super::connection::ConnectionId;
use super::paged_result::PagedResult;
use super::protocol::{AttemptRequest, RequestId, StatementKeys};

/// An attempt to be sent.
pub struct OutgoingAttempt<'a> {
    /// The statement that it is an attempt of.
    pub statement: StatementId,
    /// Its number among the attempts of the statement.
    pub attempt: AttemptNumber,
    /// The engine that it is sent to.
    pub engine: EngineId,
    /// The client's id of the statement.
    pub request_id: RequestId,
    /// The name of the statement's query class.
    pub class: &'a str,
    /// The keys that the statement carries.
    pub keys: &'a StatementKeys,
    /// The text of the statement.
    pub text: &'a [u8],
    /// It times out then.
    pub deadline: Timestamp,
    /// The priority to tell its engine; none where engines heed none.
    pub priority: Option<u8>,
    /// Unless its last byte has left this machine by then, it is withdrawn; none: only the deadline counts.
    pub send_by: Option<Timestamp>,
    /// Connections that earlier attempts of the statement used: a late response there must not be taken for this
    /// attempt's.
    pub avoid: &'a [ConnectionId],
}

impl OutgoingAttempt<'_> {
    pub(super) fn id(&self) -> AttemptId {
        AttemptId {
            statement: self.statement,
            attempt: self.attempt,
        }
    }

    /// The attempt as its engine reads it, sent at `now`.
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

/// What happened to an attempt.
#[derive(Debug)]
pub struct AttemptUpdate {
    /// The statement that it is an attempt of.
    pub statement: StatementId,
    /// Its number among the attempts of the statement.
    pub attempt: AttemptNumber,
    /// What happened to it.
    pub event: AttemptEvent,
    /// From sending it until now; until the first page for one that completed.
    pub latency: TimeDelta,
    /// The pages of the result in their order, for one that completed and whose client still waits.
    pub pages: Vec<Bytes>,
}

impl AttemptUpdate {
    /// An update that carries no pages.
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

/// An attempt among those of all statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct AttemptId {
    pub statement: StatementId,
    pub attempt: AttemptNumber,
}

/// An attempt from [`EngineTransport::send`](super::EngineTransport::send) until its end is reported.
pub(super) struct InFlightAttempt {
    pub id: AttemptId,
    pub sent: Timestamp,
    pub deadline: Timestamp,
    /// Its place among all bytes that were ever enqueued on its connection.
    pub bytes: Range<u64>,
    /// What has come of its result; none until its first page.
    pub result: Option<PagedResult>,
    /// Its client is gone: its work still counts, its pages do not.
    pub abandoned: bool,
}

impl InFlightAttempt {
    /// Whether its last byte has left this machine, where `bytes_written` bytes of its connection have.
    pub(super) fn is_sent(&self, bytes_written: u64) -> bool {
        self.bytes.end <= bytes_written
    }

    /// Whether any of its bytes has left this machine, where `bytes_written` bytes of its connection have.
    pub(super) fn is_partly_sent(&self, bytes_written: u64) -> bool {
        self.bytes.start < bytes_written
    }
}
