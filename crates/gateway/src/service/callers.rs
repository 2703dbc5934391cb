//! Authentication of callers. A session presents a token at login and at each renewal, and the
//! token is verified again for each statement.

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

/// The callers of this gateway: the verifier of their tokens, and the number of open statements of
/// each.
#[derive(Default)]
pub(super) struct Callers {
    /// `None` if callers are not authenticated.
    pub verifier: Option<TokenVerifier>,
    /// Open statements by caller. A caller without an open statement has no entry.
    open_statements: BTreeMap<String, u32>,
}

impl Callers {
    /// Returns the number of statements that a caller has open.
    pub(super) fn open_statements(&self, caller: &str) -> u32 {
        self.open_statements.get(caller).copied().unwrap_or(0)
    }

    /// Counts a statement that this caller opened.
    pub(super) fn on_statement_opened(&mut self, caller: &str) {
        *self.open_statements.entry(caller.to_owned()).or_default() += 1;
    }

    /// Removes a closed statement of this caller from its count.
    pub(super) fn on_statement_closed(&mut self, caller: &str) {
        let Some(open) = self.open_statements.get_mut(caller) else {
            return;
        };
        *open -= 1;
        if *open == 0 {
            self.open_statements.remove(caller);
        }
    }

    /// Verifies a session's token and returns its claims; `None` if callers are not authenticated.
    ///
    /// # Errors
    /// The session has no token, or its token is not accepted at present.
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
    /// Authenticates callers with this verifier from now on.
    pub fn set_token_verifier(&mut self, verifier: TokenVerifier) {
        self.callers.verifier = Some(verifier);
    }

    /// Returns the verifier of tokens; `None` if callers are not authenticated.
    pub fn token_verifier(&mut self) -> Option<&mut TokenVerifier> {
        self.callers.verifier.as_mut()
    }

    /// Handles a token that a session presents at login or at a renewal. It replaces the session's
    /// token only if it is accepted and allows the client's address.
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
