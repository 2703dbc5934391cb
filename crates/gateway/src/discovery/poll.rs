//! A long poll of the discovery service, on its own connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use admission::interface::{TimeDelta, Timestamp};
use thiserror::Error;

use super::endpoints::EventBatch;
use super::http::{self, ConnectionReuse, InputState, PollResponse, ResponseError};
use crate::memory_account::{HeldBytes, MemoryAccount};
use crate::socket::{EventLoopHandle, EventSource, Socket};

/// How long the service may hold a poll open without an event.
pub(super) const LINGER_S: f64 = 1.0;

/// How long after [`LINGER_S`] a poll is late, so that another one is started beside it.
const LATE_AFTER_LINGER_S: f64 = 0.5;

/// The time after which a poll is dropped. However slow the service is, an event is assumed to have
/// been delivered 7 s after it happened.
const POLL_TIMEOUT_S: f64 = 7.0;

/// A response within this fraction of [`LINGER_S`] is early, which means that the service did not
/// wait for an event.
const EARLY_FRACTION: f64 = 0.5;

/// The largest size of the read buffer: a body of the largest size and a head.
const MAX_BUFFERED_BYTES: usize = http::MAX_RESPONSE_BYTES + (16 << 10);

const MILLIS_PER_SECOND: f64 = 1e3;

/// Why a poll failed.
#[derive(Debug, Error)]
pub(super) enum PollError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error("the discovery service closed the connection before the end of its response")]
    Closed,
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// A response, and whether another request may be sent on the poll's connection.
pub(super) struct Received {
    pub(super) batch: EventBatch,
    pub(super) reuse: ConnectionReuse,
}

/// A poll and its connection.
pub(super) struct Poll {
    socket: Socket,
    /// The memory that this poll holds.
    held: HeldBytes,
    sent: Timestamp,
    /// The last revision that the client knew when it sent the request.
    since_revision: u64,
    is_connected: bool,
    /// Whether the response is overdue, so that another poll runs beside this one.
    is_late: bool,
}

impl Poll {
    /// Starts to connect. The request is sent once the connection is established.
    ///
    /// # Errors
    ///
    /// The socket cannot be opened or begin to connect.
    pub(super) fn connect(
        address: SocketAddr,
        handle: &EventLoopHandle,
        memory: &Rc<MemoryAccount>,
        poll_id: u64,
        now: Timestamp,
    ) -> io::Result<Self> {
        Ok(Poll {
            socket: Socket::connect(address, handle, EventSource::Discovery(poll_id))?,
            held: HeldBytes::none(memory),
            sent: now,
            since_revision: 0,
            is_connected: false,
            is_late: false,
        })
    }

    /// Enqueues a request for the events after `since_revision`.
    pub(super) fn send_request(&mut self, now: Timestamp, since_revision: u64, host: SocketAddr) {
        self.sent = now;
        self.since_revision = since_revision;
        self.is_late = false;
        let linger_ms = (LINGER_S * MILLIS_PER_SECOND) as u64;
        let request = http::poll_request(since_revision, linger_ms, host);
        self.socket.enqueue(request.as_bytes());
    }

    /// Writes as many enqueued bytes as the socket accepts. An error is reported by the next read
    /// of the connection.
    pub(super) fn flush(&mut self) {
        let _ = self.socket.flush();
    }

    /// Reads from the connection and decodes the response; `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// The connection failed or ended, or the response is invalid. The poll must be dropped then.
    pub(super) fn receive(&mut self) -> Result<Option<Received>, PollError> {
        if !self.is_connected && !self.socket.is_connected()? {
            return Ok(None);
        }
        self.is_connected = true;
        self.socket.mark_readable();
        let transfer = self
            .socket
            .flush()
            .and_then(|()| self.socket.read_up_to(MAX_BUFFERED_BYTES));
        let input = if self.socket.peer_finished {
            InputState::Ended
        } else {
            InputState::Open
        };
        let is_usable = transfer.is_ok() && input == InputState::Open;
        let response = http::take_response(&mut self.socket.read_buffer, input)?;
        self.socket.shrink_read_buffer();
        self.held.set(self.socket.held_bytes());
        match response {
            PollResponse::Complete { batch, reuse } => {
                let reuse = if is_usable {
                    reuse
                } else {
                    ConnectionReuse::Close
                };
                Ok(Some(Received { batch, reuse }))
            }
            PollResponse::Incomplete if is_usable => Ok(None),
            PollResponse::Incomplete => Err(PollError::Closed),
        }
    }

    pub(super) fn since_revision(&self) -> u64 {
        self.since_revision
    }

    pub(super) fn is_late(&self) -> bool {
        self.is_late
    }

    pub(super) fn mark_late(&mut self) {
        self.is_late = true;
    }

    /// Whether the response is overdue and the poll is not marked as late yet.
    pub(super) fn becomes_late(&self, now: Timestamp) -> bool {
        !self.is_late && self.age_s(now) >= LINGER_S + LATE_AFTER_LINGER_S
    }

    /// Whether the poll is to be dropped.
    pub(super) fn has_timed_out(&self, now: Timestamp) -> bool {
        self.age_s(now) >= POLL_TIMEOUT_S
    }

    /// Whether a response at `now` is early, which means that the service did not wait for an
    /// event.
    pub(super) fn is_early(&self, now: Timestamp) -> bool {
        self.age_s(now) < LINGER_S * EARLY_FRACTION
    }

    /// Returns when the poll becomes late or, once it is late, when it times out.
    pub(super) fn next_due(&self) -> Timestamp {
        let limit_s = if self.is_late {
            POLL_TIMEOUT_S
        } else {
            LINGER_S + LATE_AFTER_LINGER_S
        };
        self.sent + TimeDelta::from_secs(limit_s)
    }

    fn age_s(&self, now: Timestamp) -> f64 {
        (now - self.sent).secs()
    }
}
