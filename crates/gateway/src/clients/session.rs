//! One session: its state, the response that it waits for, and how long it has stood still.

use std::io;
use std::net::IpAddr;
use std::rc::Rc;

use admission::interface::{StatementId, Timestamp};
use thiserror::Error;

use super::events::ClientEnd;
use super::protocol::{ErrorCode, Response, packet};
use crate::socket::Socket;

/// Responses to pipelined commands that may wait to be written, in bytes; beyond it no more commands are read.
const MAX_UNWRITTEN_BYTES: usize = 4 << 10;

/// Where a session is between its greeting and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// The greeting is sent; the first packet asks for TLS or logs in.
    AwaitingLogin,
    /// TLS is up; the login comes within it.
    AwaitingTlsLogin,
    /// The login was good, and its token was asked for.
    AwaitingToken,
    /// Logged in: it takes commands.
    Ready,
    /// Its last response is given. What still comes is read and dropped, so that closing does not reset the connection.
    Closing,
}

/// What a session waits for before its next packet is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PendingResponse {
    /// Nothing.
    None,
    /// The response to what it asked, which is no statement, or none yet.
    Request,
    /// The response to its statement.
    Statement(StatementId),
}

/// Sessions in the order in which they are closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EvictionClass {
    /// It has had its last response.
    Closing,
    /// It never sent a command.
    New,
    /// It has sent commands, and waits for nothing.
    Idle,
}

/// Why a session is dropped.
#[derive(Debug, Error)]
pub(super) enum CloseReason {
    /// The connection failed: reset, or out of time.
    #[error("connection failed: {0}")]
    ConnectionFailed(#[from] io::Error),
    /// The client has closed, and is owed nothing.
    #[error("closed by its client")]
    ClosedByClient,
    /// Its client does not read what was written, or did not close after its last response.
    #[error("not read or not closed by its client in time")]
    Unread,
    /// Its place was needed.
    #[error("evicted")]
    Evicted,
    /// Its turn panicked.
    #[error("a fault of the gateway")]
    Fault,
}

pub(super) struct Session {
    pub(super) socket: Socket,
    pub(super) client_ip: IpAddr,
    /// Its client takes progress reports while a statement waits.
    pub(super) accepts_progress: bool,
    /// By which its statements are judged, each anew.
    pub(super) token: Option<Rc<str>>,
    pub(super) state: SessionState,
    /// The number of the packet that is to be answered.
    pub(super) sequence: u8,
    pub(super) pending: PendingResponse,
    pub(super) opened: Timestamp,
    /// Commands that it has sent.
    pub(super) commands: u64,
    /// When it last moved: a state, a packet, or bytes taken by the client.
    pub(super) last_activity: Timestamp,
    /// Since when a packet has been begun and not ended.
    pub(super) packet_begun: Option<Timestamp>,
    /// Since when whole packets have stood behind a pending response: their clients' time runs.
    pub(super) queued_since: Option<Timestamp>,
    /// When its client was last heard of, as of the time when the connection was accepted.
    pub(super) heard_before_accept: Timestamp,
    /// The client sends no more.
    pub(super) client_end: Option<ClientEnd>,
    /// What the client's machine had taken when that was last looked at, in bytes.
    pub(super) written_bytes: u64,
}

impl Session {
    pub(super) fn new(socket: Socket, client_ip: IpAddr, now: Timestamp) -> Self {
        let heard_before_accept = socket.last_received(now);
        Session {
            socket,
            client_ip,
            accepts_progress: false,
            token: None,
            state: SessionState::AwaitingLogin,
            sequence: 0,
            pending: PendingResponse::None,
            opened: now,
            commands: 0,
            last_activity: now,
            packet_begun: None,
            queued_since: None,
            heard_before_accept,
            client_end: None,
            written_bytes: 0,
        }
    }

    /// The response to the packet that was read last.
    pub(super) fn response(&self) -> Response {
        Response::to(self.sequence)
    }

    pub(super) fn is_pending(&self) -> bool {
        self.pending != PendingResponse::None
    }

    /// The statement that it waits for.
    pub(super) fn statement(&self) -> Option<StatementId> {
        match self.pending {
            PendingResponse::Statement(statement) => Some(statement),
            PendingResponse::None | PendingResponse::Request => None,
        }
    }

    /// No packet is read now: a response is pending, its client does not read what was written, or it is closing.
    pub(super) fn is_blocked(&self) -> bool {
        let reads_too_little = self.socket.unwritten_bytes() > MAX_UNWRITTEN_BYTES;
        self.is_pending() || self.state == SessionState::Closing || reads_too_little
    }

    /// A whole packet has come, or one that cannot be used.
    pub(super) fn has_packet(&self) -> bool {
        packet::has_packet(&self.socket.read_buffer)
    }

    /// All its responses are given and written.
    pub(super) fn is_answered(&self) -> bool {
        !self.is_pending() && self.socket.unwritten_bytes() == 0
    }

    /// In which class it may be closed to make room; none while its client is owed something.
    pub(super) fn eviction_class(&self) -> Option<EvictionClass> {
        match self.state {
            SessionState::Closing => Some(EvictionClass::Closing),
            SessionState::Ready if !self.is_answered() => None,
            SessionState::Ready if self.commands > 0 => Some(EvictionClass::Idle),
            SessionState::AwaitingLogin
            | SessionState::AwaitingTlsLogin
            | SessionState::AwaitingToken
            | SessionState::Ready => Some(EvictionClass::New),
        }
    }

    /// Ends its conversation.
    pub(super) fn start_closing(&mut self, now: Timestamp) {
        self.state = SessionState::Closing;
        self.last_activity = now;
    }

    /// Answers a packet that is not read to its end, so that what follows has no meaning.
    pub(super) fn reject_packet(&mut self, now: Timestamp, why: &str) {
        let error = self.response().error(ErrorCode::PACKET_TOO_LARGE, why);
        self.socket.enqueue(&error);
        self.start_closing(now);
    }

    /// Notes that its client sends no more, the first time that this is seen.
    pub(super) fn note_client_end(&mut self, now: Timestamp) {
        if self.client_end.is_some() {
            return;
        }
        // What is written here is acknowledged, and with that the machine's word of the client's end is overwritten.
        let accepted_now = self.opened == now;
        let arrived = if accepted_now {
            self.heard_before_accept
        } else {
            self.socket.last_received(now)
        };
        self.client_end = Some(ClientEnd {
            detected: now,
            arrived,
        });
    }

    /// Keeps since when packets wait behind a pending response, and since when one has been incomplete.
    pub(super) fn update_waiting_times(&mut self, now: Timestamp) {
        self.queued_since = match self.queued_since {
            _ if !self.has_packet() => None,
            Some(since) => Some(since),
            None => self.is_pending().then_some(now),
        };
        let is_incomplete = !self.is_blocked() && !self.socket.read_buffer.is_empty();
        self.packet_begun = match self.packet_begun {
            _ if !is_incomplete => None,
            Some(since) => Some(since),
            None => Some(now),
        };
    }

    /// Keeps when its client last took bytes.
    pub(super) fn note_written(&mut self, now: Timestamp) {
        if self.socket.bytes_written != self.written_bytes {
            self.written_bytes = self.socket.bytes_written;
            self.last_activity = now;
        }
    }
}
