//! The state of one session, the response that it is waiting for, and the times that its timeouts
//! are measured from.

use std::io;
use std::net::IpAddr;
use std::rc::Rc;

use admission::interface::{StatementId, Timestamp};
use thiserror::Error;

use super::events::ClientEnd;
use super::protocol::{ErrorCode, Response, packet};
use crate::memory_account::{HeldBytes, MemoryAccount};
use crate::socket::Socket;
use crate::turn_budget::TurnBudget;

/// How many bytes of responses may wait to be written before commands of the session stop being
/// processed. It bounds the memory that a client can use by pipelining commands.
const MAX_UNWRITTEN_BYTES: usize = 4 << 10;

/// How often one session is read in a turn with TLS.
const MAX_TLS_READS_PER_TURN: u32 = 1;

/// How many packets of one session are processed in a turn.
const MAX_PACKETS_PER_TURN: u32 = 16;

/// The phase of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// The greeting has been sent. The client's first packet is either a TLS request or a login.
    AwaitingLogin,
    /// TLS has been started, and the login is expected over it.
    AwaitingTlsLogin,
    /// The login was accepted and the client was asked for its token.
    AwaitingToken,
    /// The client is logged in and may send commands.
    Ready,
    /// The last response has been given. Further input is read and discarded, so that closing the
    /// socket does not reset the connection.
    Closing,
}

/// The response that a session is waiting for before its next packet is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingResponse {
    /// No response is pending.
    None,
    /// The response to a request that is not a statement, or that has no statement id yet.
    Request,
    /// The response to this statement.
    Statement(StatementId),
}

/// The classes of sessions that may be evicted, in the usual order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionClass {
    /// The session has been given its last response.
    Closing,
    /// The session has not sent a command yet.
    New,
    /// The session has sent commands and has no pending response.
    Idle,
}

/// Why a session is removed.
#[derive(Debug, Error)]
pub(super) enum CloseReason {
    /// The connection was reset, timed out or failed otherwise.
    #[error("connection failed: {0}")]
    ConnectionFailed(#[from] io::Error),
    /// The client has closed the connection and no response is pending.
    #[error("the client closed the connection")]
    ClosedByClient,
    /// The client did not read its response in time, or did not close the connection in time after
    /// its last response.
    #[error("the client did not read its response or close the connection in time")]
    ClientStalled,
    /// The session made room for another connection.
    #[error("evicted to make room for another connection")]
    Evicted,
    /// The client did not read its response, and the memory of it was needed.
    #[error("the client did not read its response, whose memory was needed")]
    OutputShed,
    /// The session's turn panicked.
    #[error("an internal error of the gateway")]
    Panicked,
}

/// One client connection and its protocol state.
pub(super) struct Session {
    pub(super) socket: Socket,
    pub(super) client_ip: IpAddr,
    /// Whether the client accepts progress reports while a statement is waiting.
    pub(super) accepts_progress: bool,
    /// The token by which each statement is authorized anew. `None` without TLS, and before login.
    pub(super) token: Option<Rc<str>>,
    pub(super) state: SessionState,
    /// The sequence number of the last packet received or, after a progress report, of that report.
    /// The response continues from it.
    pub(super) sequence: u8,
    pub(super) pending: PendingResponse,
    /// The size of the request whose response is pending.
    pub(super) pending_request_bytes: usize,
    /// The memory of this session's input and of the request whose response is pending.
    pub(super) held_input: HeldBytes,
    /// The memory of the output that its client has not read.
    pub(super) held_output: HeldBytes,
    /// The size of the packet at the front of the read buffer, if there is room for all of it and
    /// it exceeds what every session may hold, or else zero.
    pub(super) reserved_bytes: usize,
    /// The packet that has begun to arrive is not read on, because memory is short or a response is
    /// pending.
    pub(super) lacks_room: bool,
    /// The packets that were processed in the current turn.
    pub(super) packet_budget: TurnBudget<MAX_PACKETS_PER_TURN>,
    /// The reads with TLS in the current turn.
    pub(super) tls_read_budget: TurnBudget<MAX_TLS_READS_PER_TURN>,
    pub(super) opened: Timestamp,
    /// The number of commands that the client has sent.
    pub(super) commands: u64,
    /// When the session last processed a packet, was answered, started to close or wrote bytes.
    pub(super) last_activity: Timestamp,
    /// When the incomplete packet at the end of the read buffer was first seen, or `None` if there
    /// is none.
    pub(super) partial_packet_since: Option<Timestamp>,
    /// Since when a complete packet has waited behind a pending response, or a large one for
    /// memory; `None` if none does. The time budget of the statement in it runs from then.
    pub(super) queued_since: Option<Timestamp>,
    /// When the client's last segment arrived, as seen when the connection was accepted.
    pub(super) last_received_at_accept: Timestamp,
    /// When the client closed its sending direction, or `None` if it has not.
    pub(super) client_end: Option<ClientEnd>,
    /// How many bytes the socket had written when [`Self::record_write_progress`] was last called.
    pub(super) last_bytes_written: u64,
}

impl Session {
    pub(super) fn new(
        socket: Socket,
        client_ip: IpAddr,
        memory: &Rc<MemoryAccount>,
        now: Timestamp,
    ) -> Self {
        let last_received_at_accept = socket.last_received(now);
        Session {
            socket,
            client_ip,
            accepts_progress: false,
            token: None,
            state: SessionState::AwaitingLogin,
            sequence: 0,
            pending: PendingResponse::None,
            pending_request_bytes: 0,
            held_input: HeldBytes::none(memory),
            held_output: HeldBytes::no_output(memory),
            reserved_bytes: 0,
            lacks_room: false,
            packet_budget: TurnBudget::default(),
            tls_read_budget: TurnBudget::default(),
            opened: now,
            commands: 0,
            last_activity: now,
            partial_packet_since: None,
            queued_since: None,
            last_received_at_accept,
            client_end: None,
            last_bytes_written: 0,
        }
    }

    /// Starts a response to the last packet.
    pub(super) fn response(&self) -> Response {
        Response::to(self.sequence)
    }

    pub(super) fn is_pending(&self) -> bool {
        self.pending != PendingResponse::None
    }

    /// The statement whose response is pending, or `None` if there is none.
    pub(super) fn statement(&self) -> Option<StatementId> {
        match self.pending {
            PendingResponse::Statement(statement) => Some(statement),
            PendingResponse::None | PendingResponse::Request => None,
        }
    }

    /// Whether no packet may be processed now, because a response is pending, the session is
    /// closing, or too much output is unwritten.
    pub(super) fn is_blocked(&self) -> bool {
        let has_write_backlog = self.socket.unwritten_bytes() > MAX_UNWRITTEN_BYTES;
        self.is_pending() || self.state == SessionState::Closing || has_write_backlog
    }

    /// Whether the read buffer starts with a complete packet or with one that is too large.
    pub(super) fn has_packet(&self) -> bool {
        packet::has_packet(&self.socket.read_buffer)
    }

    /// Whether no response is pending and all responses have been written to the socket.
    pub(super) fn is_answered(&self) -> bool {
        !self.is_pending() && self.socket.unwritten_bytes() == 0
    }

    /// The class in which the session may be evicted, or `None` while a logged-in client is owed a
    /// response.
    pub(super) fn eviction_class(&self) -> Option<EvictionClass> {
        match self.state {
            SessionState::Closing => Some(EvictionClass::Closing),
            SessionState::Ready if !self.is_answered() || self.has_packet() => None,
            SessionState::Ready if self.commands > 0 => Some(EvictionClass::Idle),
            SessionState::AwaitingLogin
            | SessionState::AwaitingTlsLogin
            | SessionState::AwaitingToken
            | SessionState::Ready => Some(EvictionClass::New),
        }
    }

    /// Moves the session to [`SessionState::Closing`]. No further packets are processed.
    pub(super) fn start_closing(&mut self, now: Timestamp) {
        self.state = SessionState::Closing;
        self.last_activity = now;
    }

    /// Answers a packet with an error and closes the session. The rest of the packet is not read,
    /// so the bytes after it cannot be interpreted.
    pub(super) fn reject_packet(&mut self, now: Timestamp, why: &str) {
        let error = self.response().error(ErrorCode::PACKET_TOO_LARGE, why);
        self.socket.enqueue(&error);
        self.start_closing(now);
    }

    /// Records when the client closed its sending direction. Only the first call has an effect.
    pub(super) fn record_client_end(&mut self, now: Timestamp) {
        if self.client_end.is_some() {
            return;
        }
        // The client acknowledges the greeting, and the kernel counts that as the last segment
        // received. For a connection accepted in this turn, use the time read before the greeting.
        let accepted_now = self.opened == now;
        let arrived = if accepted_now {
            self.last_received_at_accept
        } else {
            self.socket.last_received(now)
        };
        self.client_end = Some(ClientEnd {
            detected: now,
            arrived,
        });
    }

    /// Updates [`Self::queued_since`] and [`Self::partial_packet_since`] after packets have been
    /// read and processed.
    pub(super) fn update_waiting_times(&mut self, now: Timestamp) {
        let has_packet = self.has_packet();
        let is_waiting = self.lacks_room || (self.is_pending() && has_packet);
        self.queued_since = match self.queued_since {
            Some(since) if has_packet || self.lacks_room || self.reserved_bytes > 0 => Some(since),
            _ => is_waiting.then_some(now),
        };
        let is_incomplete = !self.is_blocked() && self.socket.buffered_input_bytes() > 0;
        self.partial_packet_since = match self.partial_packet_since {
            _ if !is_incomplete => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }

    /// Records activity if the socket has written bytes since the last call.
    pub(super) fn record_write_progress(&mut self, now: Timestamp) {
        if self.socket.bytes_written != self.last_bytes_written {
            self.last_bytes_written = self.socket.bytes_written;
            self.last_activity = now;
        }
    }
}
