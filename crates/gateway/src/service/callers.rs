//! Who a session is: tokens at login and later, judged anew for each statement.

use std::rc::Rc;
use std::sync::Arc;

use admission::interface::Timestamp;
use identity::grants::Beyond;
use identity::token::Claims;
use identity::{Guard, Verdict as Judged};

use super::Service;
use super::endings::denial;
use super::intake::Unusable;
use crate::clients::protocol::{ErrorCode, Response};
use crate::clients::{SessionId, TokenPurpose};
use crate::clock::unix;

impl Service {
    /// Callers are to be known from now on, by this.
    pub fn guard(&mut self, guard: Guard) {
        self.guard = Some(guard);
    }

    pub fn guarded(&mut self) -> Option<&mut Guard> {
        self.guard.as_mut()
    }

    /// A token at login or later: only one that holds now replaces what stood.
    pub(super) fn judge(
        &mut self,
        now: Timestamp,
        session: SessionId,
        token: &Rc<str>,
        purpose: TokenPurpose,
    ) {
        let Some(guard) = &mut self.guard else { return };
        let counters = &mut self.counters;
        let (code, text) = match guard.verdict(unix(), token) {
            Judged::Granted { claims, .. }
                if claims.grant.allows_from(self.clients.client_ip(session)) =>
            {
                counters.tokens_granted += 1;
                return self
                    .clients
                    .accept_token(now, session, token.clone(), counters);
            }
            Judged::Granted { .. } => {
                counters.tokens_rejected += 1;
                (ErrorCode::ACCESS_DENIED, Beyond::Network.to_string())
            }
            Judged::Later { back } => {
                counters.tokens_deferred += 1;
                (ErrorCode::LIMIT_REACHED, denial(Some(back)))
            }
            Judged::Refused(why) => {
                counters.tokens_rejected += 1;
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
        let Some(guard) = &mut self.guard else {
            return Ok(None);
        };
        let Some(token) = self.clients.token(session) else {
            return Err(Unusable::Unknown("no token".into()));
        };
        match guard.verdict(unix(), &token) {
            Judged::Granted { claims, .. } => Ok(Some(claims)),
            Judged::Later { back } => {
                self.counters.tokens_deferred += 1;
                Err(Unusable::Later(back))
            }
            Judged::Refused(why) => {
                self.counters.tokens_rejected += 1;
                Err(Unusable::Unknown(why.to_string()))
            }
        }
    }
}
