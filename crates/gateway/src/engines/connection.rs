//! One connection to an engine, and the attempts in flight on it.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use admission::interface::{AttemptEvent, EngineId, StatementId, TimeDelta, Timestamp};
use thiserror::Error;

use super::attempt::{InFlightAttempt, OutgoingAttempt};
use super::paged_result::{PagedResult, ResultError};
use super::protocol::{DecodeError, MAX_RESPONSE_BYTES, RequestId};
use super::receiving::MAX_RESPONSES_PER_TURN;
use crate::memory_account::{HeldBytes, MemoryAccount, Purpose};
use crate::socket::Socket;
use crate::turn_budget::TurnBudget;

/// How long the rest of a response may take after its first byte, and the next page after its
/// request. The engine has both ready to send, so the limit only has to cover one TCP
/// retransmission, which takes 0.2 s.
const STALL_TIMEOUT: TimeDelta = TimeDelta::from_micros(300_000);

/// The timeout of a connection whose attempts have timers of their own. It is longer than any
/// deadline.
const NO_TIMEOUT: TimeDelta = TimeDelta::from_micros(1_000_000_000_000_000);

/// How much of its responses every connection may hold, however little memory is available.
const GUARANTEED_RESPONSE_BYTES: usize = 4 << 10;

/// Identifies a connection to an engine. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Why a connection can no longer be used.
#[derive(Debug, Error)]
pub(super) enum ConnectionError {
    #[error("the connection was not established in time")]
    ConnectTimeout,
    #[error("the engine closed the connection")]
    ClosedByEngine,
    #[error("the rest of a response did not arrive in time")]
    StalledResponse,
    #[error("the engine sent part of a response although none was expected")]
    UnexpectedResponse,
    #[error("an internal error of the gateway")]
    Fault,
    #[error(transparent)]
    Decode(#[from] DecodeError),
    #[error(transparent)]
    Result(#[from] ResultError),
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl ConnectionError {
    /// Whether the error is an unusable response from the engine.
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

/// An attempt that ends because its connection is lost.
pub(super) struct LostAttempt {
    pub statement: StatementId,
    pub request_id: RequestId,
    pub event: AttemptEvent,
}

/// A connection to an engine, from the start of its handshake until it is closed or lost.
pub(super) struct Connection {
    pub engine: EngineId,
    /// The address of the peer. If discovery lists the engine at another address, new attempts use
    /// new connections.
    pub address: SocketAddr,
    pub socket: Socket,
    /// The time by which the connection must be established; `None` once it is.
    pub connect_deadline: Option<Timestamp>,
    /// The attempts in flight. Their number is limited by the `Limits.Multiplex` setting.
    pub attempts: HashMap<RequestId, InFlightAttempt>,
    /// The responses that were handled in the current turn.
    pub response_budget: TurnBudget<MAX_RESPONSES_PER_TURN>,
    /// When the first byte of an incomplete response arrived; `None` if no response is incomplete.
    pub partial_response_since: Option<Timestamp>,
    /// Whether the connection is not read, because memory is short. The engine is not late
    /// meanwhile.
    pub read_paused: bool,
    /// The memory that this connection holds.
    held: HeldBytes,
    /// When the last attempt ended, or when the connection was opened if it had none.
    pub idle_since: Timestamp,
    /// Whether the connection takes no more attempts because one on it ended without a response.
    /// The engine's machine may have vanished without closing its connections, an unusable response
    /// may end the connection, and a late response must not be taken for that to another attempt.
    pub retired: bool,
    /// The time at which the connection times out next, equal to its entry in the pool.
    pub timeout: Timestamp,
}

impl Connection {
    /// Creates a connection whose socket has begun to connect.
    pub(super) fn new(
        now: Timestamp,
        engine: EngineId,
        address: SocketAddr,
        socket: Socket,
        connect_timeout: TimeDelta,
        memory: &Rc<MemoryAccount>,
    ) -> Self {
        Connection {
            engine,
            address,
            socket,
            connect_deadline: Some(now + connect_timeout),
            attempts: HashMap::new(),
            response_budget: TurnBudget::default(),
            partial_response_since: None,
            read_paused: false,
            held: HeldBytes::none(memory),
            idle_since: now,
            retired: false,
            timeout: now,
        }
    }

    /// Whether the connection is not established yet.
    pub(super) fn is_connecting(&self) -> bool {
        self.connect_deadline.is_some()
    }

    /// Whether the connection is established and has no attempt in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty() && !self.is_connecting()
    }

    /// Returns the earliest time at which the connection fails to be established, stalls or is idle
    /// for too long. If none of these applies, the result lies beyond any deadline.
    pub(super) fn next_timeout(&self, idle_timeout: TimeDelta) -> Timestamp {
        let results = self
            .attempts
            .values()
            .filter_map(|attempt| attempt.result.as_ref());
        let last_page = results.map(PagedResult::last_page_received).min();
        let stalls = self
            .partial_response_since
            .into_iter()
            .chain(last_page)
            .filter(|_| !self.read_paused)
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

    /// Updates what this connection has on the memory account. It is to be called after each change
    /// of its buffers or results.
    pub(super) fn update_held(&mut self) {
        self.held
            .set(self.socket.held_bytes() + self.result_bytes());
    }

    /// The size of the results that have not arrived completely.
    fn result_bytes(&self) -> usize {
        let attempts = self.attempts.values();
        let results = attempts.filter_map(|attempt| attempt.result.as_ref());
        results.map(PagedResult::size_bytes).sum()
    }

    /// Whether a part of a response has arrived.
    pub(super) fn has_begun_response(&self) -> bool {
        !self.socket.read_buffer.is_empty() || self.result_bytes() > 0
    }

    /// How many bytes the read buffer may hold now: those of the largest response if memory is
    /// available, or else so many that the connection holds what is guaranteed.
    pub(super) fn read_limit(&self) -> usize {
        if self.held.max_bytes(Purpose::EngineResponse) >= MAX_RESPONSE_BYTES {
            MAX_RESPONSE_BYTES
        } else {
            GUARANTEED_RESPONSE_BYTES.saturating_sub(self.result_bytes())
        }
    }

    /// Stops reading until memory is available. The time until then does not count against the
    /// engine.
    pub(super) fn pause_read(&mut self) {
        self.read_paused = true;
        self.partial_response_since = None;
    }

    /// Ends a pause. The engine's times begin anew.
    pub(super) fn resume_read(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.read_paused) {
            return;
        }
        for attempt in self.attempts.values_mut() {
            if let Some(result) = &mut attempt.result {
                result.restart_page_timeout(now);
            }
        }
    }

    /// Adds an attempt to the connection, behind all bytes that are enqueued already.
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

    /// Removes an attempt from the connection. Its bytes stay in the write queue.
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

    /// Returns the attempts of which no byte has left this machine, in the order in which they were
    /// enqueued.
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

    /// Prevents an attempt from leaving this machine completely. Returns false if it has left
    /// completely, or if some of its bytes have left and there are other attempts on the
    /// connection, which must not be lost.
    ///
    /// If it is the only attempt, the caller must close the connection, as some of its bytes may
    /// have left.
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

    /// Returns how the loss of the connection ends each of its attempts. An attempt that has not
    /// left this machine completely never ran; any other may have run. The result is ordered by
    /// statement, so that it does not depend on the iteration order of the hash map.
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
