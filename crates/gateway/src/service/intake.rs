//! Handling of the events of sessions. Statements are validated, opened and given to the scheduler;
//! every other event goes to the module that answers it.

use std::net::IpAddr;

use admission::interface::{StatementId, TimeDelta, Timestamp};
use bytes::Bytes;
use tracing::debug;

use super::error::StatementError;
use super::request::ValidStatement;
use super::statements::OpenStatement;
use super::{ANSWER_GRACE, Service};
use crate::clients::protocol::{ErrorCode, KillScope};
use crate::clients::{KillOutcome, SessionEvent, SessionId};

impl Service {
    pub(super) fn on_session_event(&mut self, now: Timestamp, event: SessionEvent) {
        match event {
            SessionEvent::Statement {
                session,
                text,
                client_ip,
                received,
            } => self.on_statement(now, session, &text, client_ip, now - received),
            // Without queues, `SHOW QUEUE` is answered like any other invalid statement.
            SessionEvent::ShowQueue { session, text, .. } if self.sub_queues.is_none() => {
                self.on_unsupported_show(now, session, &text);
            }
            SessionEvent::ShowQueue {
                session,
                request_id,
                ..
            } => self.show_queue(now, session, request_id.as_deref()),
            SessionEvent::ShowFleet { session, text } => self.show_fleet(now, session, &text),
            SessionEvent::ShowShares { session, text } => self.show_shares(now, session, &text),
            SessionEvent::StatementAbandoned(id) => self.on_abandoned(now, id),
            SessionEvent::Token {
                session,
                token,
                purpose,
            } => self.on_token(now, session, &token, purpose),
            SessionEvent::Kill {
                requester,
                target,
                scope,
            } => self.on_kill(now, requester, target, scope),
        }
    }

    fn on_kill(
        &mut self,
        now: Timestamp,
        requester: SessionId,
        target: SessionId,
        scope: KillScope,
    ) {
        let outcome = self.sessions.kill(now, target, scope, &mut self.counters);
        if let KillOutcome::Interrupted(id) = outcome {
            self.on_abandoned(now, id);
        }
        self.sessions.respond(
            now,
            requester,
            &mut self.counters,
            |response| match outcome {
                KillOutcome::NoStatement | KillOutcome::Interrupted(_) => response.ok(),
                KillOutcome::UnknownSession => {
                    response.error(ErrorCode::NO_SUCH_THREAD, "Unknown thread id")
                }
            },
        );
    }

    /// Validates and opens a statement, or answers it with an error.
    ///
    /// `waited` is the time that it spent behind another statement of its session; it is deducted
    /// from the budget.
    pub(super) fn on_statement(
        &mut self,
        now: Timestamp,
        session: SessionId,
        query: &Bytes,
        client_ip: IpAddr,
        waited: TimeDelta,
    ) {
        // The connection was reset in the turn in which the statement arrived. No later event would
        // report that the client has left, so the statement is counted here and not opened.
        if !self.sessions.contains(session) {
            self.counters.statements_accepted += 1;
            self.counters.client_left += 1;
            return;
        }
        match self.admit(session, query, client_ip) {
            Ok(mut statement) => {
                statement.request.budget = statement.request.budget - waited;
                self.open(now, session, statement);
            }
            Err(error) => {
                self.counters.statements_invalid += 1;
                let text = error.to_string();
                self.sessions
                    .respond(now, session, &mut self.counters, |response| {
                        response.error(error.code(), &text)
                    });
            }
        }
    }

    /// Authenticates the session's caller and validates the statement.
    fn admit(
        &mut self,
        session: SessionId,
        query: &Bytes,
        client_ip: IpAddr,
    ) -> Result<ValidStatement, StatementError> {
        let token = self.sessions.token(session);
        let claims = self
            .callers
            .authenticate(token.as_deref(), &mut self.counters)?;
        self.validate(query, client_ip, claims.as_deref())
    }

    /// Registers a valid statement and follows the scheduler's first decision about it.
    fn open(&mut self, now: Timestamp, session: SessionId, statement: ValidStatement) {
        let ValidStatement {
            request, sub_queue, ..
        } = statement;
        let rid = String::from_utf8_lossy(&statement.request_id).into_owned();
        let id = self.register(now, session, statement);
        debug!(
            statement = id.0,
            rid,
            session = session.0,
            "statement opened"
        );
        self.counters.statements_accepted += 1;
        self.sessions.attach_statement(session, id);
        let decision = self.scheduler.pick(now, id, sub_queue, &request);
        self.follow_decision(now, id, decision);
    }

    /// Adds a valid statement to the open statements and returns its new id.
    fn register(
        &mut self,
        now: Timestamp,
        session: SessionId,
        statement: ValidStatement,
    ) -> StatementId {
        if let Some(caller) = &statement.caller {
            self.callers.on_statement_opened(caller);
        }
        let deadline = now + statement.request.budget.max(TimeDelta::ZERO);
        let deadline = self
            .drain_deadline
            .map_or(deadline, |drain| deadline.min(drain));
        self.statements.insert(OpenStatement {
            session,
            request_id: statement.request_id,
            caller: statement.caller,
            class: statement.request.class,
            keys: statement.keys,
            text: statement.text,
            answered: false,
            received: now,
            answer_deadline: deadline + ANSWER_GRACE,
            in_flight: Vec::new(),
            connections: Vec::new(),
        })
    }
}
