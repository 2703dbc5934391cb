//! MySQL sessions of clients: one statement at a time on each, and all that comes behind it waits unread.
//!
//! [`Sessions`] is the table of them. A session's turn is in `input`; its packets lead to `login` or `commands`, and what
//! only the rest of the gateway can answer comes out as a [`SessionEvent`]. `timeouts` and `eviction` end sessions.

mod commands;
pub mod comment;
mod events;
mod eviction;
mod input;
mod login;
pub mod protocol;
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
use crate::socket::{EventLoopHandle, EventSource, Socket};

/// The id that an unset connection id reads as.
const UNSET_CONNECTION_ID: u32 = 0;

/// Progress reports tell of a statement's waiting, and its running is the second stage.
const WAITING_STAGE: u8 = 1;
const STAGES: u8 = 2;

/// What all sessions together may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionLimits {
    /// Sessions that are open at once.
    pub max_sessions: usize,
    /// What all of them may have sent and not have had processed, in bytes; beyond it packets of unusual size are
    /// rejected.
    pub max_unread_bytes: usize,
}

/// Whether clients may have progress reports of statements that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgressReports {
    /// They are offered to those that understand them.
    Offered,
    /// There are none.
    Off,
}

impl ProgressReports {
    fn is_offered(self) -> bool {
        self == ProgressReports::Offered
    }
}

/// The sessions of one gateway.
pub struct Sessions {
    handle: EventLoopHandle,
    limits: SessionLimits,
    /// Callers have to be known: by TLS with this configuration, and a token within it.
    tls: Option<Arc<ServerConfig>>,
    progress_reports: ProgressReports,
    last_connection_id: u32,
    sessions: BTreeMap<SessionId, Session>,
    /// Of these, those that take progress reports.
    progress_subscribers: BTreeSet<SessionId>,
    /// Of these, those whose clients send no more.
    disconnected: BTreeSet<SessionId>,
    /// Sessions with more to read or to process than their part of a turn; the next turn goes on with them.
    unfinished: BTreeSet<SessionId>,
    /// What all inboxes hold together, in bytes.
    unread_bytes: usize,
    /// Events that are not taken yet, in their order.
    events: Vec<SessionEvent>,
    /// When sessions are next looked over for those that stand still.
    next_sweep: Timestamp,
}

impl Sessions {
    /// A table without sessions.
    #[must_use]
    pub fn new(
        handle: &EventLoopHandle,
        limits: SessionLimits,
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
            unread_bytes: 0,
            events: Vec::new(),
            next_sweep: now,
        }
    }

    /// Takes a client's connection: greets it, and processes what it has sent already. Another session may be closed for
    /// it.
    ///
    /// # Errors
    /// The machine cannot set it up now. Nothing was said to the client, so it may be tried again.
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
        let mut session = Session::new(socket, client_ip, now);
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

    /// Drops a session.
    fn remove(&mut self, id: SessionId, reason: &CloseReason, counters: &mut Counters) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        debug!(session = id.0, statement = ?session.statement(), %reason, "session closed");
        counters.sessions_closed += 1;
        self.progress_subscribers.remove(&id);
        self.disconnected.remove(&id);
        self.unread_bytes -= session.socket.read_buffer.len();
        if let Some(statement) = session.statement() {
            self.events
                .push(SessionEvent::StatementAbandoned(statement));
        }
    }

    /// Drops a session whose state may be half changed.
    pub fn abandon(&mut self, id: SessionId, counters: &mut Counters) {
        self.remove(id, &CloseReason::Fault, counters);
    }

    /// Sessions that are open.
    #[must_use]
    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    /// What all sessions are noted as where they become ready.
    pub fn event_sources(&self) -> impl Iterator<Item = EventSource> {
        self.sessions.keys().map(|id| EventSource::Client(id.0))
    }

    /// Whether no session is open.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sessions.is_empty()
    }

    /// Whether this session is open.
    #[must_use]
    pub fn contains(&self, id: SessionId) -> bool {
        self.sessions.contains_key(&id)
    }

    /// Whether no response is owed to any client, and none is on its way.
    #[must_use]
    pub fn all_answered(&self) -> bool {
        self.sessions.values().all(Session::is_answered)
    }

    /// Whether [`Self::take_events`] would bring some.
    #[must_use]
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Takes what sessions have reported since the last call.
    #[must_use]
    pub fn take_events(&mut self) -> Vec<SessionEvent> {
        std::mem::take(&mut self.events)
    }

    /// Where the session's client is; 0.0.0.0 for a session that is gone.
    #[must_use]
    pub fn client_ip(&self, id: SessionId) -> IpAddr {
        self.sessions
            .get(&id)
            .map_or(IpAddr::from([0; 4]), |session| session.client_ip)
    }

    /// The token that the session was logged in with, or the last one that replaced it.
    #[must_use]
    pub fn token(&self, id: SessionId) -> Option<Rc<str>> {
        self.sessions.get(&id)?.token.clone()
    }

    /// Names the statement that a session's [`SessionEvent::Statement`] became.
    pub fn attach_statement(&mut self, id: SessionId, statement: StatementId) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.pending = PendingResponse::Statement(statement);
        }
    }

    /// Gives a session the one response that it waits for, and goes on with what stands behind it. Nothing happens where
    /// the session is gone or waits for none.
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
        session.last_activity = now;
        self.process(now, id, counters);
    }

    /// Statements whose clients send no more.
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

    /// Statements whose clients take progress reports.
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

    /// Sends a progress report ahead of a session's response. A client that does not read its reports gets no more.
    ///
    /// `done`: of the waiting, in thousandths of a percent.
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
            stages: STAGES,
            done,
            text,
        });
        session.sequence = packet.sequence;
        session.socket.enqueue(&packet.bytes);
        counters.progress_reports_sent += 1;
        self.write(now, id, counters);
    }
}
