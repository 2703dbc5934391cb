//! Who a session is: tokens at login and later, judged anew for each statement.

use std::rc::Rc;
use std::sync::Arc;

use admission::interface::Timestamp;
use identity::{Authentication, AuthorizationError, Claims, TokenVerifier};

use super::Service;
use super::endings::denial;
use super::intake::Unusable;
use crate::clients::protocol::{ErrorCode, Response};
use crate::clients::{SessionId, TokenPurpose};
use crate::clock::unix_now;

impl Service {
    /// Callers are to be known from now on, by this.
    pub fn set_token_verifier(&mut self, verifier: TokenVerifier) {
        self.token_verifier = Some(verifier);
    }

    pub fn token_verifier(&mut self) -> Option<&mut TokenVerifier> {
        self.token_verifier.as_mut()
    }

    /// A token at login or later: only one that holds now replaces what stood.
    pub(super) fn judge(
        &mut self,
        now: Timestamp,
        session: SessionId,
        token: &Rc<str>,
        purpose: TokenPurpose,
    ) {
        let Some(verifier) = &mut self.token_verifier else {
            return;
        };
        let counters = &mut self.counters;
        let (code, text) = match verifier.verify(unix_now(), token) {
            Authentication::Accepted { claims, .. }
                if claims.grant.allows_address(self.clients.client_ip(session)) =>
            {
                counters.tokens_granted += 1;
                return self
                    .clients
                    .accept_token(now, session, token.clone(), counters);
            }
            Authentication::Accepted { .. } => {
                counters.tokens_refused += 1;
                (
                    ErrorCode::ACCESS_DENIED,
                    AuthorizationError::Network.to_string(),
                )
            }
            Authentication::RetryLater { retry_after } => {
                counters.tokens_later += 1;
                (ErrorCode::LIMIT_REACHED, denial(Some(retry_after)))
            }
            Authentication::Rejected(why) => {
                counters.tokens_refused += 1;
                (ErrorCode::ACCESS_DENIED, why.to_string())
            }
        };
        let rejection = |response: Response| response.error(code, &text);
        match purpose {
            TokenPurpose::Login => {
                self.clients.reject_login(now, session, counters, rejection);
            }
            TokenPurpose::Renewal => self.clients.respond(now, session, counters, rejection),
        }
    }

    /// Whose a statement is by its session's token, which is judged anew each time.
    pub(super) fn caller(&mut self, session: SessionId) -> Result<Option<Arc<Claims>>, Unusable> {
        let Some(verifier) = &mut self.token_verifier else {
            return Ok(None);
        };
        let Some(token) = self.clients.token(session) else {
            return Err(Unusable::Unknown("no token".into()));
        };
        match verifier.verify(unix_now(), &token) {
            Authentication::Accepted { claims, .. } => Ok(Some(claims)),
            Authentication::RetryLater { retry_after } => {
                self.counters.tokens_later += 1;
                Err(Unusable::Later(retry_after))
            }
            Authentication::Rejected(why) => {
                self.counters.tokens_refused += 1;
                Err(Unusable::Unknown(why.to_string()))
            }
        }
    }
}
