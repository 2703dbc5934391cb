//! Logins: by user and database alone, or within TLS by a token.

use std::rc::Rc;
use std::sync::Arc;

use admission::interface::Timestamp;
use bytes::BytesMut;
use rustls::ServerConfig;

use super::Sessions;
use super::events::{SessionEvent, SessionId, TokenPurpose};
use super::protocol::Response;
use super::protocol::handshake::{self, FirstPacket, LoginError};
use super::session::{PendingResponse, Session, SessionState};
use crate::counters::Counters;

impl Session {
    /// Answers a login that cannot be used, and ends the session.
    fn reject_login(&mut self, error: LoginError, counters: &mut Counters) {
        counters.logins_rejected += 1;
        self.state = SessionState::Closing;
        let response = self.response().error(error.code(), &error.to_string());
        self.socket.enqueue(&response);
    }
}

impl Sessions {
    /// Requires TLS and a token of every client from now on. New handshakes use this configuration; sessions that are up
    /// keep the one they have.
    pub fn require_tls(&mut self, tls: Arc<ServerConfig>) {
        self.tls = Some(tls);
    }

    /// The session's token was found good: it is logged in, or goes on with this one.
    pub fn accept_token(
        &mut self,
        now: Timestamp,
        id: SessionId,
        token: Rc<str>,
        counters: &mut Counters,
    ) {
        if let Some(session) = self.sessions.get_mut(&id) {
            session.token = Some(token);
            session.state = SessionState::Ready;
        }
        self.respond(now, id, counters, Response::ok);
    }

    /// The session's token is not good enough to log in with: it gets this response, and ends.
    pub fn reject_login(
        &mut self,
        now: Timestamp,
        id: SessionId,
        counters: &mut Counters,
        response: impl FnOnce(Response) -> BytesMut,
    ) {
        counters.logins_rejected += 1;
        if let Some(session) = self.sessions.get_mut(&id) {
            session.state = SessionState::Closing;
        }
        self.respond(now, id, counters, response);
    }

    /// A packet of a session that is not logged in yet.
    pub(super) fn process_login(&mut self, id: SessionId, body: &[u8], counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        match (session.state, &self.tls) {
            (SessionState::AwaitingLogin, None) => self.process_plain_login(id, body, counters),
            (SessionState::AwaitingLogin, Some(tls)) => match handshake::first_packet(body) {
                FirstPacket::TlsRequest => {
                    let tls = tls.clone();
                    self.start_tls(id, tls, counters);
                }
                // Nothing of it is read: what ought to be secret is not to be sent so again.
                FirstPacket::Login => session.reject_login(LoginError::TlsRequired, counters),
            },
            (SessionState::AwaitingTlsLogin, _) => {
                match handshake::check_token_login(body) {
                    Ok(()) => {
                        session.state = SessionState::AwaitingToken;
                        let request = session.response().request_clear_password();
                        session.socket.enqueue(&request);
                    }
                    Err(error) => session.reject_login(error, counters),
                };
            }
            _ => self.process_token(id, body, counters),
        }
    }

    /// A login without TLS, where none is required.
    fn process_plain_login(&mut self, id: SessionId, body: &[u8], counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        if let Err(error) = handshake::check_login(body) {
            return session.reject_login(error, counters);
        }
        session.accepts_progress =
            self.progress_reports.is_offered() && handshake::accepts_progress_reports(body);
        if session.accepts_progress {
            self.progress_subscribers.insert(id);
        }
        session.state = SessionState::Ready;
        let ok = session.response().ok();
        session.socket.enqueue(&ok);
    }

    /// From here on the session is within TLS; what stands behind the request in this turn is read on within it.
    fn start_tls(&mut self, id: SessionId, tls: Arc<ServerConfig>, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let bytes_before = session.socket.read_buffer.len();
        let start = session.socket.start_tls(tls);
        let bytes_after = session.socket.read_buffer.len();
        self.unread_bytes = self.unread_bytes + bytes_after - bytes_before;
        session.state = match start {
            Ok(()) => SessionState::AwaitingTlsLogin,
            Err(_) => {
                counters.tls_failed += 1;
                SessionState::Closing
            }
        };
    }

    /// A token as the password that was asked for.
    fn process_token(&mut self, id: SessionId, body: &[u8], counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        let password = body.strip_suffix(&[0]).unwrap_or(body);
        let Ok(token) = std::str::from_utf8(password) else {
            return session.reject_login(LoginError::AccessDenied, counters);
        };
        session.pending = PendingResponse::Request;
        self.events.push(SessionEvent::Token {
            session: id,
            token: token.into(),
            purpose: TokenPurpose::Login,
        });
    }
}
