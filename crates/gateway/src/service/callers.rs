//! Who a session is: tokens at login and later, judged anew for each statement.

use std::rc::Rc;
use std::sync::Arc;

use admission::interface::Timestamp;
use identity::{Authentication, AuthorizationError, Claims, TokenVerifier};

use super::Service;
use super::endings::denial;
use super::intake::Unusable;
use crate::clients::packets::Answer;
use crate::clock::unix;

impl Service {
    /// Callers are to be known from now on, by this.
    pub fn set_token_verifier(&mut self, verifier: TokenVerifier) {
        self.token_verifier = Some(verifier);
    }

    pub fn token_verifier(&mut self) -> Option<&mut TokenVerifier> {
        self.token_verifier.as_mut()
    }

    /// A token at login or later: only one that holds now replaces what stood.
    pub(super) fn judge(&mut self, now: Timestamp, session: u32, token: &Rc<str>, login: bool) {
        let Some(verifier) = &mut self.token_verifier else {
            return;
        };
        let counters = &mut self.counters;
        let (code, state, text) = match verifier.verify(unix(), token) {
            Authentication::Accepted { claims, .. }
                if claims.grant.allows_address(self.clients.from(session)) =>
            {
                counters.tokens_granted += 1;
                return self.clients.known(now, session, token.clone(), counters);
            }
            Authentication::Accepted { .. } => {
                counters.tokens_refused += 1;
                (1045, b"28000", AuthorizationError::Network.to_string())
            }
            Authentication::RetryLater { retry_after } => {
                counters.tokens_later += 1;
                (1226, b"42000", denial(Some(retry_after)))
            }
            Authentication::Rejected(why) => {
                counters.tokens_refused += 1;
                (1045, b"28000", why.to_string())
            }
        };
        let answer = |answer: Answer| answer.error(code, state, &text);
        if login {
            self.clients.unknown(now, session, counters, answer);
        } else {
            self.clients.answer(now, session, counters, answer);
        }
    }

    /// Whose a statement is by its session's token, which is judged anew each time.
    pub(super) fn caller(&mut self, session: u32) -> Result<Option<Arc<Claims>>, Unusable> {
        let Some(verifier) = &mut self.token_verifier else {
            return Ok(None);
        };
        let Some(token) = self.clients.token(session) else {
            return Err(Unusable::Unknown("no token".into()));
        };
        match verifier.verify(unix(), &token) {
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
