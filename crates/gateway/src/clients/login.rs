//! Client logins: by user and database without TLS, or by token over TLS.

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
    /// Answers an invalid login with an error and closes the session.
    fn reject_login(&mut self, error: LoginError, counters: &mut Counters) {
        counters.logins_rejected += 1;
        self.state = SessionState::Closing;
        let response = self.response().error(error.code(), &error.to_string());
        self.socket.enqueue(&response);
    }
}

impl Sessions {
    /// Requires TLS and a token of every new login from now on. New handshakes use this
    /// configuration; sessions that are already within TLS keep theirs.
    pub fn require_tls(&mut self, tls: Arc<ServerConfig>) {
        self.tls = Some(tls);
    }

    /// Accepts a session's token: completes its login, or replaces its previous token.
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

    /// Rejects the token of a login: sends the given response and closes the session.
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

    /// Processes a packet of a session that is not logged in yet.
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
                // Any login without TLS is rejected unread, so that no client gets used to sending
                // credentials unencrypted.
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

    /// Processes a login without TLS while TLS is not required.
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

    /// Switches the session to TLS. Bytes that were already read after the TLS request are treated
    /// as part of the TLS stream.
    fn start_tls(&mut self, id: SessionId, tls: Arc<ServerConfig>, counters: &mut Counters) {
        let Some(session) = self.sessions.get_mut(&id) else {
            return;
        };
        self.handshake_budget.record(self.turn);
        let start = session.socket.start_tls(tls);
        session.state = match start {
            Ok(()) => SessionState::AwaitingTlsLogin,
            Err(_) => {
                counters.tls_failed += 1;
                SessionState::Closing
            }
        };
    }

    /// Processes the packet that carries the token as the requested password.
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
