//! Who a session belongs to: tokens at login and at renewal, verified again for each statement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use admission::interface::Timestamp;
use identity::{Authentication, AuthorizationError, Claims, TokenVerifier};

use super::Service;
use super::endings::rejection_text;
use super::error::StatementError;
use crate::clients::protocol::{ErrorCode, Response};
use crate::clients::{SessionId, TokenPurpose};
use crate::clock::unix_now;
use crate::counters::Counters;

/// The callers of this gateway: how they are authenticated, and how many statements each has open.
#[derive(Default)]
pub(super) struct Callers {
    /// None: callers are not authenticated.
    pub verifier: Option<TokenVerifier>,
    /// Callers without an open statement have no entry.
    open_statements: BTreeMap<String, u32>,
}

impl Callers {
    /// How many statements a caller has open.
    pub(super) fn open_statements(&self, caller: &str) -> u32 {
        self.open_statements.get(caller).copied().unwrap_or(0)
    }

    /// A statement of this caller was opened.
    pub(super) fn on_statement_opened(&mut self, caller: &str) {
        *self.open_statements.entry(caller.to_owned()).or_default() += 1;
    }

    /// A statement of this caller was closed.
    pub(super) fn on_statement_closed(&mut self, caller: &str) {
        let Some(open) = self.open_statements.get_mut(caller) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open_statements.remove(caller);
        }
    }

    /// What the token of a statement's session says of its caller; none where callers are not authenticated.
    ///
    /// # Errors
    /// There is no token, or it is not accepted now.
    pub(super) fn authenticate(
        &mut self,
        token: Option<&str>,
        counters: &mut Counters,
    ) -> Result<Option<Arc<Claims>>, StatementError> {
        let Some(verifier) = &mut self.verifier else {
            return Ok(None);
        };
        let token = token.ok_or(StatementError::NoToken)?;
        match verifier.verify(unix_now(), token) {
            Authentication::Accepted { claims, .. } => Ok(Some(claims)),
            Authentication::RetryLater { retry_after } => {
                counters.tokens_deferred += 1;
                Err(StatementError::RetryLater(retry_after))
            }
            Authentication::Rejected(rejection) => {
                counters.tokens_rejected += 1;
                Err(StatementError::TokenRejected(rejection))
            }
        }
    }
}

impl Service {
    /// From now on callers are authenticated, by this verifier.
    pub fn set_token_verifier(&mut self, verifier: TokenVerifier) {
        self.callers.verifier = Some(verifier);
    }

    /// What authenticates callers, where they are authenticated.
    pub fn token_verifier(&mut self) -> Option<&mut TokenVerifier> {
        self.callers.verifier.as_mut()
    }

    /// A token at login or later: only one that is accepted now replaces the session's token.
    pub(super) fn on_token(
        &mut self,
        now: Timestamp,
        session: SessionId,
        token: &Rc<str>,
        purpose: TokenPurpose,
    ) {
        let Some(verifier) = &mut self.callers.verifier else {
            return;
        };
        let counters = &mut self.counters;
        let (code, text) = match verifier.verify(unix_now(), token) {
            Authentication::Accepted { claims, .. }
                if claims
                    .grant
                    .allows_address(self.sessions.client_ip(session)) =>
            {
                counters.tokens_granted += 1;
                self.sessions
                    .accept_token(now, session, token.clone(), counters);
                return;
            }
            Authentication::Accepted { .. } => {
                counters.tokens_rejected += 1;
                let error = AuthorizationError::Network;
                (ErrorCode::ACCESS_DENIED, error.to_string())
            }
            Authentication::RetryLater { retry_after } => {
                counters.tokens_deferred += 1;
                (ErrorCode::LIMIT_REACHED, rejection_text(Some(retry_after)))
            }
            Authentication::Rejected(rejection) => {
                counters.tokens_rejected += 1;
                (ErrorCode::ACCESS_DENIED, rejection.to_string())
            }
        };
        let error = |response: Response| response.error(code, &text);
        match purpose {
            TokenPurpose::Login => self.sessions.reject_login(now, session, counters, error),
            TokenPurpose::Renewal => self.sessions.respond(now, session, counters, error),
        }
    }
}
