//! One long poll of the discovery service on a connection of its own.

use std::io;
use std::net::SocketAddr;

use admission::interface::{TimeDelta, Timestamp};
use thiserror::Error;

use super::endpoints::EventBatch;
use super::http::{self, ConnectionReuse, InputState, PollResponse, ResponseError};
use crate::socket::{EventLoopHandle, EventSource, Socket};

/// How long the service may hold a poll open.
pub(super) const LINGER_S: f64 = 1.0;

/// So much later than that a poll is late, and another one goes out beside it.
const LATE_AFTER_LINGER_S: f64 = 0.5;

/// A poll is given up after so long: 7 s after it happened an event counts as told, however slow the service is.
const GIVE_UP_AFTER_S: f64 = 7.0;

/// A response within this part of the linger came at once.
const EARLY_PART_OF_LINGER: f64 = 0.5;

const MILLIS_PER_SECOND: f64 = 1e3;

/// Why a poll brought nothing.
#[derive(Debug, Error)]
pub(super) enum PollError {
    #[error(transparent)]
    Connect(#[from] io::Error),
    #[error("closed before its answer")]
    Closed,
    #[error(transparent)]
    Response(#[from] ResponseError),
}

/// A response, and whether the poll's connection carries another request.
pub(super) struct Received {
    pub(super) batch: EventBatch,
    pub(super) reuse: ConnectionReuse,
}

pub(super) struct Poll {
    socket: Socket,
    sent: Timestamp,
    /// The number of the last event that was known when it was sent.
    since_revision: u64,
    is_connected: bool,
    /// It has passed its time, and another one runs beside it.
    is_late: bool,
}

impl Poll {
    /// Starts to connect; the request goes out as soon as the connection is up.
    pub(super) fn connect(
        address: SocketAddr,
        handle: &EventLoopHandle,
        poll_id: u64,
        now: Timestamp,
    ) -> io::Result<Self> {
        Ok(Poll {
            socket: Socket::connect(address, handle, EventSource::Discovery(poll_id))?,
            sent: now,
            since_revision: 0,
            is_connected: false,
            is_late: false,
        })
    }

    /// Puts a request for the events after `since_revision`.
    pub(super) fn send_request(&mut self, now: Timestamp, since_revision: u64, host: SocketAddr) {
        self.sent = now;
        self.since_revision = since_revision;
        self.is_late = false;
        let linger_ms = (LINGER_S * MILLIS_PER_SECOND) as u64;
        let request = http::poll_request(since_revision, linger_ms, host);
        self.socket.enqueue(request.as_bytes());
    }

    /// Writes what the machine takes. A failure shows when the connection is read.
    pub(super) fn flush(&mut self) {
        let _ = self.socket.flush();
    }

    /// Reads what has come; none while the response is not all there.
    ///
    /// # Errors
    ///
    /// The connection failed or ended, or the response cannot be used: the poll is over.
    pub(super) fn receive(&mut self) -> Result<Option<Received>, PollError> {
        if !self.is_connected && !self.socket.is_connected()? {
            return Ok(None);
        }
        self.is_connected = true;
        self.socket.mark_readable();
        let transfer = self
            .socket
            .flush()
            .and_then(|()| self.socket.read_up_to(http::MAX_RESPONSE_BYTES));
        let input = if self.socket.peer_finished {
            InputState::Ended
        } else {
            InputState::Open
        };
        let is_usable = transfer.is_ok() && input == InputState::Open;
        match http::take_response(&mut self.socket.read_buffer, input)? {
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

    /// Whether it passes its time by now.
    pub(super) fn becomes_late(&self, now: Timestamp) -> bool {
        !self.is_late && self.age_s(now) >= LINGER_S + LATE_AFTER_LINGER_S
    }

    /// Whether it is to be given up by now.
    pub(super) fn is_given_up(&self, now: Timestamp) -> bool {
        self.age_s(now) >= GIVE_UP_AFTER_S
    }

    /// Whether a response now came at once, without waiting for an event.
    pub(super) fn is_early(&self, now: Timestamp) -> bool {
        self.age_s(now) < LINGER_S * EARLY_PART_OF_LINGER
    }

    /// When it becomes late, and once it is, when it is given up.
    pub(super) fn next_due(&self) -> Timestamp {
        let limit_s = if self.is_late {
            GIVE_UP_AFTER_S
        } else {
            LINGER_S + LATE_AFTER_LINGER_S
        };
        self.sent + TimeDelta::from_secs(limit_s)
    }

    fn age_s(&self, now: Timestamp) -> f64 {
        (now - self.sent).secs()
    }
}
