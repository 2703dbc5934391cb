//! Client sessions over the MySQL protocol. Each session runs one statement at a time; packets that
//! arrive behind it stay in the read buffer until it has been answered.
//!
//! [`Sessions`] holds all sessions. `input` reads, processes and writes a session's packets within
//! one turn of the event loop, and hands each packet to `login` or `commands`. `read_limits` says
//! how much it may read. Requests that need the rest of the gateway are reported as
//! [`SessionEvent`]s. `timeouts` and `eviction` close sessions.

mod commands;
pub mod comment;
mod events;
mod eviction;
mod input;
mod login;
pub mod protocol;
mod read_limits;
mod session;
pub mod table_group;
mod timeouts;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{IpAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;

use admission::interface::{StatementId, Timestamp};
use bytes::BytesMut;
use rustls::ServerConfig;
use tracing::debug;

pub use events::{
    ClientEnd, Disconnection, KillOutcome, ProgressSubscriber, SessionEvent, SessionId,
    TokenPurpose,
};
use protocol::Response;
use protocol::handshake::{self, OfferedOptions};
use protocol::response::ProgressReport;
use session::{CloseReason, PendingResponse, Session};

use crate::counters::Counters;
use crate::memory_account::MemoryAccount;
use crate::socket::{EventLoopHandle, EventSource, Socket};
use crate::turn_budget::{TurnBudget, TurnNumber};

/// The value that the protocol reserves for an unset connection id. No session gets it.
const UNSET_CONNECTION_ID: u32 = 0;

/// The stage that progress reports name. Waiting is the first of [`STAGE_COUNT`] stages, and
/// execution, for which no reports are sent, is the second.
const WAITING_STAGE: u8 = 1;
const STAGE_COUNT: u8 = 2;

/// How many packets of all sessions are processed in a turn before each session gets only one. A
/// crowd of clients that send at full speed then delays the others by milliseconds.
const MAX_PACKETS_OF_ALL_PER_TURN: u32 = 512;

/// How often sessions are read within their TLS handshake in a turn. The key exchange takes as long
/// as tens of other packets.
const MAX_HANDSHAKE_READS_PER_TURN: u32 = 32;

/// Limits on all sessions together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// The maximum number of open sessions.
    pub max_sessions: usize,
}

/// Whether clients can receive progress reports about waiting statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressReports {
    /// The greeting offers progress reports, and clients that announce support receive them.
    Offered,
    /// No progress reports are offered or sent.
    Off,
}

impl ProgressReports {
    fn is_offered(self) -> bool {
        self == ProgressReports::Offered
    }
}

/// All client sessions of one gateway.
pub struct Sessions {
    handle: EventLoopHandle,
    limits: SessionLimits,
    /// The TLS configuration for new handshakes. When it is set, every client must use TLS and log
    /// in with a token; when it is `None`, clients log in without either.
    tls: Option<Arc<ServerConfig>>,
    progress_reports: ProgressReports,
    last_connection_id: u32,
    sessions: BTreeMap<SessionId, Session>,
    /// The open sessions whose clients accept progress reports.
    progress_subscribers: BTreeSet<SessionId>,
    /// The open sessions whose clients have closed their sending direction.
    disconnected: BTreeSet<SessionId>,
    /// Sessions that had more input than they may process in one turn. The next turn continues
    /// with them.
    unfinished: BTreeSet<SessionId>,
    /// The current turn, in which each session may process a limited number of packets.
    turn: TurnNumber,
    /// The packets that all sessions together have processed in the current turn.
    packet_budget: TurnBudget<MAX_PACKETS_OF_ALL_PER_TURN>,
    /// The reads within TLS handshakes in the current turn.
    handshake_budget: TurnBudget<MAX_HANDSHAKE_READS_PER_TURN>,
    /// The memory of all peers.
    memory: Rc<MemoryAccount>,
    /// Sessions whose large packets are not read before memory is available.
    awaiting_memory: BTreeSet<SessionId>,
    /// Events that have not been taken yet, oldest first.
    events: Vec<SessionEvent>,
    /// When the sessions are next checked for timeouts.
    next_sweep: Timestamp,
}

impl Sessions {
    /// Creates an empty set of sessions that accepts clients without TLS.
    #[must_use]
    pub fn new(
        handle: &EventLoopHandle,
        limits: SessionLimits,
        memory: &Rc<MemoryAccount>,
        progress_reports: ProgressReports,
        now: Timestamp,
    ) -> Self {
        Sessions {
            handle: handle.clone(),
            limits,
            tls: None,
            progress_reports,
            last_connection_id: UNSET_CONNECTION_ID,
            sessions: BTreeMap::new(),
            progress_subscribers: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            unfinished: BTreeSet::new(),
            turn: TurnNumber::default(),
            packet_budget: TurnBudget::default(),
            handshake_budget: TurnBudget::default(),
            memory: memory.clone(),
            awaiting_memory: BTreeSet::new(),
            events: Vec::new(),
            next_sweep: now,
        }
    }

    /// Begins a turn of the event loop. Every session may process packets again, up to its limit
    /// for one turn.
    pub fn begin_turn(&mut self) {
        self.turn = self.turn.next();
    }

    /// Opens a session on a client's connection: sends the greeting and processes what the client
    /// has already sent. Another session may be evicted to make room.
    ///
    /// # Errors
    /// Fails if the operating system cannot set up the socket. Nothing has been sent to the client
    /// then, so the caller may try again with the same connection.
    pub fn accept(
        &mut self,
        now: Timestamp,
        stream: Rc<TcpStream>,
        client_ip: IpAddr,
        counters: &mut Counters,
    ) -> io::Result<()> {
        self.make_room(now, counters);
        self.last_connection_id = self
            .last_connection_id
            .checked_add(1)
            .unwrap_or(UNSET_CONNECTION_ID + 1);
        let connection_id = self.last_connection_id;
        let socket = Socket::new(stream, &self.handle, EventSource::Client(connection_id))?;
        counters.sessions_opened += 1;
        let mut session = Session::new(socket, client_ip, &self.memory, now);
        let options = OfferedOptions {
            progress_reports: self.progress_reports.is_offered(),
            tls: self.tls.is_some(),
        };
        let greeting = handshake::greeting(connection_id, options);
        session.socket.enqueue(&greeting);
        let id = SessionId(connection_id);
        self.sessions.insert(id, session);
        self.on_ready(now, id, counters);
        Ok(())
    }

    /// Removes a session and closes its connection. If it has a statement, reports that statement
    /// as abandoned.
    fn remove(&mut self, id: SessionId, reason: &CloseReason, counters: &mut Counters) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        debug!(session = id.0, statement = ?session.statement(), %reason, "session closed");
        counters.sessions_closed += 1;
        self.progress_subscribers.remove(&id);
        self.disconnected.remove(&id);
        self.awaiting_memory.remove(&id);
        if let Some(statement) = session.statement() {
            self.events
                .push(SessionEvent::StatementAbandoned(statement));
        }
    }

    /// Removes a session after a panic in its turn, which may have left its state inconsistent.
    pub fn abandon(&mut self, id: SessionId, counters: &mut Counters) {
        self.remove(id, &CloseReason::Panicked, counters);
    }

    /// The number of open sessions.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// The event sources under which the event loop reports the sockets of all sessions.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.sessions.keys().map(|id| EventSource::Client(id.0))
    }

    /// Whether there are no open sessions.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether this session is open.
    #[must_use]
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Whether every request has been answered and every response has been written to its socket.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.sessions.values().all(Session::is_answered)
    }

    /// Whether [`Self::take_events`] would return any events.
    #[must_use]
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Takes the events that sessions have reported since the last call, oldest first.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.events)
    }

    /// The IP address of the session's client, or 0.0.0.0 if the session is closed.
    #[must_use]
    pub fn client_ip(&self, id: SessionId) -> IpAddr {
        self.sessions
            .get(&id)
            .map_or(IpAddr::from([0; 4]), |session| session.client_ip)
    }

    /// The token that the session logged in with, or the latest renewal of it. `None` if the
    /// session is closed or has no token.
    #[must_use]
    pub fn token(&self, id: SessionId) -> Option<Rc<str>> {
        self.sessions.get(&id)?.token.clone()
    }

    /// Records the id that the gateway assigned to the statement from a session's
    /// [`SessionEvent::Statement`].
    pub fn attach_statement(&mut self, id: SessionId, statement: StatementId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.pending = PendingResponse::Statement(statement);
        }
    }

    /// Sends a session the response that it is waiting for, then processes its buffered packets up
    /// to its limit for the turn. Does nothing if the session is closed or has no pending response.
    pub fn respond(
        &mut self,
        now: Timestamp,
        id: SessionId,
        counters: &mut Counters,
        response: impl FnOnce(Response) -> BytesMut,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.is_pending() {
            return;
        }
        let packets = response(session.response());
        session.socket.enqueue(&packets);
        session.pending = PendingResponse::None;
        session.pending_request_bytes = 0;
        session.last_activity = now;
        self.process(now, id, counters);
    }

    /// The pending statements whose clients have closed their sending direction.
    #[must_use]
    pub fn disconnections(&self) -> Vec<Disconnection> {
        let disconnection = |id: &SessionId| {
            let session = self.sessions.get(id)?;
            Some(Disconnection {
                statement: session.statement()?,
                end: session.client_end?,
            })
        };
        self.disconnected.iter().filter_map(disconnection).collect()
    }

    /// The pending statements whose clients accept progress reports.
    #[must_use]
    pub fn progress_subscribers(&self) -> Vec<ProgressSubscriber> {
        let subscriber = |id: &SessionId| {
            Some(ProgressSubscriber {
                session: *id,
                statement: self.sessions.get(id)?.statement()?,
            })
        };
        self.progress_subscribers
            .iter()
            .filter_map(subscriber)
            .collect()
    }

    /// Sends a progress report ahead of a session's response. The report is skipped while earlier
    /// bytes are still unwritten, so that a client that does not read gets no further reports.
    ///
    /// `done` is the completed part of the wait, in thousandths of a percent.
    pub fn send_progress(
        &mut self,
        now: Timestamp,
        id: SessionId,
        done: u32,
        text: &str,
        counters: &mut Counters,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if !session.is_pending() || session.socket.unwritten_bytes() > 0 {
            return;
        }
        let packet = session.response().progress(&ProgressReport {
            stage: WAITING_STAGE,
            stages: STAGE_COUNT,
            done,
            text,
        });
        session.sequence = packet.sequence;
        session.socket.enqueue(&packet.bytes);
        counters.progress_reports_sent += 1;
        self.write(now, id, counters);
    }
}
