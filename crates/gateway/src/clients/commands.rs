//! Commands of logged-in sessions. They are answered here or reported as events.

use admission::interface::Timestamp;
use bytes::Bytes;

use super::Sessions;
use super::events::{KillOutcome, SessionEvent, SessionId, TokenPurpose};
use super::protocol::packet::MAX_BODY_BYTES;
use super::protocol::{Command, ErrorCode, KillScope, Query, Response};
use super::session::{PendingResponse, Session, SessionState};
use crate::counters::Counters;

/// The only system variable that has a value. All others read as the empty string.
const MAX_PACKET_VARIABLE: &str = "@@max_allowed_packet";

impl Session {
    fn answer_ok(&mut self) {
        let ok = self.response().ok();
        self.socket.enqueue(&ok);
    }

    fn answer_unknown_command(&mut self) {
        let error = self
            .response()
            .error(ErrorCode::UNKNOWN_COMMAND, "Unknown command");
        self.socket.enqueue(&error);
    }

    fn answer_system_variable(&mut self, name: &str) {
        let max_packet = MAX_BODY_BYTES.to_string();
        let value = if name.eq_ignore_ascii_case(MAX_PACKET_VARIABLE) {
            max_packet.as_bytes()
        } else {
            b""
        };
        let table = self.response().single_value(name, value);
        self.socket.enqueue(&table);
    }

    /// The event for a statement of this session. Its arrival time is when it was queued behind an
    /// earlier command, or `now` if it was not queued.
    fn statement_event(&self, id: SessionId, now: Timestamp, text: &[u8]) -> SessionEvent {
        SessionEvent::Statement {
            session: id,
            text: Bytes::copy_from_slice(text),
            client_ip: self.client_ip,
            received: self.queued_since.unwrap_or(now),
        }
    }
}

impl Sessions {
    /// Processes a packet of a logged-in session.
    pub(super) fn process_command(&mut self, now: Timestamp, id: SessionId, body: &[u8]) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        session.commands += 1;
        match Command::parse(body) {
            Command::Quit => session.state = SessionState::Closing,
            Command::Ping | Command::NoOperation => session.answer_ok(),
            Command::Unknown => session.answer_unknown_command(),
            Command::Query(text) => self.process_query(now, id, text),
        }
    }

    fn process_query(&mut self, now: Timestamp, id: SessionId, text: &[u8]) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let event = match Query::parse(text) {
            Query::NoOperation => return session.answer_ok(),
            Query::SystemVariable(name) => return session.answer_system_variable(name),
            // Without TLS, clients log in without tokens, so there is nothing to renew.
            Query::SetToken(_) if self.tls.is_none() => return session.answer_ok(),
            Query::SetToken(token) => SessionEvent::Token {
                session: id,
                token: token.into(),
                purpose: TokenPurpose::Renewal,
            },
            Query::Kill {
                connection_id,
                scope,
            } => SessionEvent::Kill {
                requester: id,
                target: SessionId(connection_id),
                scope,
            },
            Query::ShowQueue(request_id) => SessionEvent::ShowQueue {
                session: id,
                text: Bytes::copy_from_slice(text),
                request_id: request_id.map(String::from),
            },
            Query::ShowFleet => SessionEvent::ShowFleet {
                session: id,
                text: Bytes::copy_from_slice(text),
            },
            Query::ShowShares => SessionEvent::ShowShares {
                session: id,
                text: Bytes::copy_from_slice(text),
            },
            Query::Statement => session.statement_event(id, now, text),
        };
        if event.requests_table() {
            session.packet_budget.use_up(self.turn);
        }
        session.pending = PendingResponse::Request;
        self.events.push(event);
    }

    /// Answers the pending statement of a session with an error on behalf of a `KILL` from another
    /// session. With [`KillScope::Connection`] the session is closed too.
    pub fn kill(
        &mut self,
        now: Timestamp,
        id: SessionId,
        scope: KillScope,
        counters: &mut Counters,
    ) -> KillOutcome {
        let Some(session) = self.sessions.get_mut(&id) else {
            return KillOutcome::UnknownSession;
        };
        let statement = session.statement();
        if scope == KillScope::Connection {
            // Close first: responding would otherwise process the next buffered command.
            session.start_closing(now);
        }
        if statement.is_some() {
            self.respond(now, id, counters, |response: Response| {
                response.error(
                    ErrorCode::QUERY_INTERRUPTED,
                    "Query execution was interrupted",
                )
            });
        }
        if scope == KillScope::Connection {
            self.process(now, id, counters);
        }
        statement.map_or(KillOutcome::NoStatement, KillOutcome::Interrupted)
    }
}
