//! One connection to an engine, and the attempts in flight on it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use admission::interface::{AttemptEvent, EngineId, StatementId, TimeDelta, Timestamp};
use thiserror::Error;

use super::attempt::{InFlightAttempt, OutgoingAttempt};
use super::paged_result::{PagedResult, ResultError};
use super::protocol::{DecodeError, RequestId};
use crate::socket::Socket;

/// How long the rest of a response may take once it has begun, and the next page once it was requested: both stand
/// ready at the engine, and one segment that is sent again takes a fifth of a second.
const STALL_TIMEOUT: TimeDelta = TimeDelta::from_micros(300_000);

/// Until when a connection is not looked at where its attempts have timers of their own: beyond any deadline.
const NO_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_000_000_000_000_000);

/// A connection to an engine, by a number that is given once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Why a connection cannot be used any more.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    #[error("the connection did not come up in time")]
    ConnectTimeout,
    #[error("closed by the engine")]
    ClosedByEngine,
    #[error("a response that stopped half way")]
    StalledResponse,
    #[error("half a response where none is expected")]
    UnexpectedResponse,
    #[error("a fault of the gateway")]
    Fault,
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Result(#[from] ResultError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl ConnectionError {
    /// Whether it is what the engine sent that cannot be used.
    pub(super) fn is_unusable_response(&self) -> bool {
        match self {
            ConnectionError::StalledResponse
            | ConnectionError::UnexpectedResponse
            | ConnectionError::Decode(_)
            | ConnectionError::Result(_) => true,
            ConnectionError::ConnectTimeout
            | ConnectionError::ClosedByEngine
            | ConnectionError::Fault
            | ConnectionError::Io(_) => false,
        }
    }
}

/// An attempt that ends with its connection.
pub(super) struct LostAttempt {
    pub statement: StatementId,
    pub request_id: RequestId,
    pub event: AttemptEvent,
}

/// A connection, from its first packet until it is closed or lost.
pub(super) struct Connection {
    pub engine: EngineId,
    /// Where it leads. An engine that is listed elsewhere since takes its attempts there.
    pub address: SocketAddr,
    pub socket: Socket,
    /// Until when it may take to come up; none once it is up.
    pub connect_deadline: Option<Timestamp>,
    /// Bounded by the settings' multiplex.
    pub attempts: HashMap<RequestId, InFlightAttempt>,
    /// Since when a response has begun that is not complete.
    pub response_begun: Option<Timestamp>,
    /// Since when no attempt is in flight, or since it was opened.
    pub idle_since: Timestamp,
    /// It takes no more attempts, since one on it ended without a response. A machine that vanished keeps its connections
    /// open, an unusable response may be its last one, and a late response must not be taken for a further attempt's.
    pub retired: bool,
    /// When it times out next, as its pool has it.
    pub timeout: Timestamp,
}

impl Connection {
    /// A connection that is about to come up.
    pub(super) fn new(
        now: Timestamp,
        engine: EngineId,
        address: SocketAddr,
        socket: Socket,
        connect_timeout: TimeDelta,
    ) -> Self {
        Connection {
            engine,
            address,
            socket,
            connect_deadline: Some(now + connect_timeout),
            attempts: HashMap::new(),
            response_begun: None,
            idle_since: now,
            retired: false,
            timeout: now,
        }
    }

    /// Whether it has not come up yet.
    pub(super) fn is_connecting(&self) -> bool {
        self.connect_deadline.is_some()
    }

    /// Whether it is up with no attempt in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty() && !self.is_connecting()
    }

    /// When something is to be done about it, if nothing happens before.
    pub(super) fn next_timeout(&self, idle_timeout: TimeDelta) -> Timestamp {
        let results = self
            .attempts
            .values()
            .filter_map(|attempt| attempt.result.as_ref());
        let last_page = results.map(PagedResult::last_page_received).min();
        let stalls = self
            .response_begun
            .into_iter()
            .chain(last_page)
            .map(|since| since + STALL_TIMEOUT);
        let idle = self
            .attempts
            .is_empty()
            .then_some(self.idle_since + idle_timeout);
        stalls
            .chain(self.connect_deadline)
            .chain(idle)
            .min()
            .unwrap_or(self.idle_since + NO_TIMEOUT)
    }

    /// Puts an attempt on the connection, behind all that is there.
    pub(super) fn enqueue_attempt(&mut self, now: Timestamp, outgoing: &OutgoingAttempt) {
        let start = self.socket.bytes_enqueued;
        self.socket.enqueue(&outgoing.request(now).encode());
        let attempt = InFlightAttempt {
            id: outgoing.id(),
            sent: now,
            deadline: outgoing.deadline,
            bytes: start..self.socket.bytes_enqueued,
            result: None,
            abandoned: false,
        };
        self.attempts.insert(outgoing.request_id, attempt);
    }

    /// Takes an attempt off the connection; nothing happens to its bytes.
    pub(super) fn remove_attempt(
        &mut self,
        now: Timestamp,
        request_id: &RequestId,
    ) -> Option<InFlightAttempt> {
        let attempt = self.attempts.remove(request_id)?;
        if self.attempts.is_empty() {
            self.idle_since = now;
        }
        Some(attempt)
    }

    /// Attempts of which not a byte has left this machine, in the order in which they were sent.
    pub(super) fn unsent_attempts(&self) -> Vec<RequestId> {
        let written = self.socket.bytes_written;
        let mut unsent: Vec<(u64, RequestId)> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| !attempt.is_partly_sent(written))
            .map(|(request_id, attempt)| (attempt.bytes.start, *request_id))
            .collect();
        unsent.sort_unstable();
        unsent
            .into_iter()
            .map(|(_, request_id)| request_id)
            .collect()
    }

    /// Makes sure that an attempt which has not left this machine completely never does. False: it has, or others that
    /// stand behind it need its end to be read.
    ///
    /// Where it is the only one the connection must be closed, as its first bytes may have left.
    pub(super) fn retract_attempt(&mut self, request_id: &RequestId) -> bool {
        let Some(attempt) = self.attempts.get(request_id) else {
            return false;
        };
        if attempt.is_sent(self.socket.bytes_written) {
            return false;
        }
        let bytes = attempt.bytes.clone();
        let retracted = self.socket.retract(bytes.clone());
        if !retracted {
            return self.attempts.len() == 1;
        }
        let length = bytes.end - bytes.start;
        for later in self.attempts.values_mut() {
            if later.bytes.start >= bytes.end {
                later.bytes.start -= length;
                later.bytes.end -= length;
            }
        }
        true
    }

    /// What its loss means for its attempts: those that have not left this machine completely never ran, the others may
    /// have. In the order of their statements, so that nothing that follows depends on the order of a hash.
    pub(super) fn lost_attempts(&self) -> Vec<LostAttempt> {
        let written = self.socket.bytes_written;
        let mut lost: Vec<LostAttempt> = self
            .attempts
            .iter()
            .map(|(request_id, attempt)| {
                let never_ran = self.is_connecting() || !attempt.is_sent(written);
                LostAttempt {
                    statement: attempt.id.statement,
                    request_id: *request_id,
                    event: if never_ran {
                        AttemptEvent::Unreachable
                    } else {
                        AttemptEvent::Reset
                    },
                }
            })
            .collect();
        lost.sort_by_key(|attempt| attempt.statement);
        lost
    }
}
