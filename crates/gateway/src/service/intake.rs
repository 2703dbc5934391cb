//! What sessions bring: statements are read, checked and handed to the decisions; what cannot be used is answered.

use std::net::IpAddr;

use admission::interface::*;
use bytes::Bytes;
use dispatch::StatementRequest;
use identity::{AuthorizationError, AuthorizationRequest, Claims};
use scheduler::SubQueueId;

use super::endings::denial;
use super::{InFlight, OVERDUE_S, Service};
use crate::clients::comment::CommentedStatement;
use crate::clients::protocol::ErrorCode;
use crate::clients::table_group::table_group;
use crate::clients::{KillOutcome, SessionEvent, SessionId};
use crate::engines::protocol::{RequestId, StatementKeys};

/// Network fact: an answer must be with the client before its budget ends, and the budget runs from when the
/// client sent. So much is kept for the two ways and for a machine that stands still a moment, and of short
/// budgets no more than this part.
const NETWORK_DELAY_S: f64 = 0.06;

const NETWORK_DELAY_PART: f64 = 0.1;

/// One number for a key that is none: two keys with one number only wait for each other.
fn order_key_hash(key: &str) -> u64 {
    key.bytes().fold(1, |number, byte| {
        number.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    })
}

/// What becomes of a query that never gets before the decisions.
pub(super) enum Unusable {
    /// It cannot be read, or names what is not there: the client's mistake.
    Wrong(String),
    /// As many are open as the settings allow.
    Full,
    /// The caller may not run it, which is no rejection.
    Beyond(AuthorizationError),
    /// The session's token holds no more.
    Unknown(String),
    /// Its key is still arriving here.
    Later(TimeDelta),
}

impl<T: ToString> From<T> for Unusable {
    fn from(why: T) -> Self {
        Unusable::Wrong(why.to_string())
    }
}

impl Service {
    pub(super) fn heard(&mut self, now: Timestamp, event: SessionEvent) {
        match event {
            SessionEvent::Statement {
                session,
                text,
                client_ip,
                received,
            } => {
                self.asked(now, session, &text, client_ip, now - received);
            }
            // Without lines it is a query like any other that cannot be used.
            SessionEvent::ShowQueue { session, text, .. } if self.resolver.is_none() => {
                self.unknown(now, session, &text);
            }
            SessionEvent::ShowQueue {
                session,
                request_id,
                ..
            } => self.tell_queue(now, session, request_id),
            SessionEvent::ShowFleet { session, text } => self.tell_fleet(now, session, &text),
            SessionEvent::ShowShares { session, text } => self.tell_shares(now, session, &text),
            SessionEvent::StatementAbandoned(id) => self.left(now, id),
            SessionEvent::Token {
                session,
                token,
                purpose,
            } => self.judge(now, session, &token, purpose),
            SessionEvent::Kill {
                requester,
                target,
                scope,
            } => {
                let outcome = self.clients.kill(now, target, scope, &mut self.counters);
                if let KillOutcome::Interrupted(id) = outcome {
                    self.left(now, id);
                }
                self.clients
                    .respond(now, requester, &mut self.counters, |answer| match outcome {
                        KillOutcome::NoStatement | KillOutcome::Interrupted(_) => answer.ok(),
                        KillOutcome::UnknownSession => {
                            answer.error(ErrorCode::NO_SUCH_THREAD, "Unknown thread id")
                        }
                    });
            }
        }
    }

    /// `waited`: how long it has stood behind another on its session.
    pub(super) fn asked(
        &mut self,
        now: Timestamp,
        session: SessionId,
        text: &Bytes,
        from: IpAddr,
        waited: TimeDelta,
    ) {
        // Reset in the very turn in which it came: nothing would tell any more that its client has left.
        if !self.clients.contains(session) {
            self.counters.statements_taken += 1;
            self.counters.client_left += 1;
            return;
        }
        let wanted = self.caller(session).and_then(|claims| {
            let (wants, rid, tags, statement, desk) = self.wants(text, from, claims.as_deref())?;
            let wants = StatementRequest {
                budget: wants.budget - waited,
                ..wants
            };
            Ok((
                wants,
                rid,
                tags,
                statement,
                desk,
                claims.map(|claims| claims.caller.clone()),
            ))
        });
        let (wants, rid, tags, statement, desk, caller) = match wanted {
            Ok(usable) => usable,
            Err(why) => {
                self.counters.statements_unusable += 1;
                self.clients
                    .respond(now, session, &mut self.counters, |answer| match why {
                        Unusable::Wrong(why) => answer.error(ErrorCode::PARSE_ERROR, &why),
                        Unusable::Beyond(why) => {
                            answer.error(ErrorCode::NOT_GRANTED, &format!("not granted: {why}"))
                        }
                        Unusable::Unknown(why) => answer.error(ErrorCode::ACCESS_DENIED, &why),
                        Unusable::Later(back) => {
                            answer.error(ErrorCode::LIMIT_REACHED, &denial(Some(back)))
                        }
                        Unusable::Full => {
                            answer.error(ErrorCode::TOO_MANY_OPEN, "too many statements open")
                        }
                    });
                return;
            }
        };
        let id = StatementId(self.next);
        self.next += 1;
        self.counters.statements_taken += 1;
        let class = wants.class.0;
        let ends = now + wants.budget.max(TimeDelta::ZERO) + TimeDelta::from_secs(OVERDUE_S);
        let ends = self
            .drain_deadline
            .map_or(ends, |by| ends.min(by + TimeDelta::from_secs(OVERDUE_S)));
        self.ends.insert((ends, id));
        let (out, used_connections) = (Vec::new(), Vec::new());
        if let Some(caller) = &caller {
            *self.open.entry(caller.clone()).or_default() += 1;
        }
        let (text, taken) = (statement, now);
        let in_flight = InFlight {
            session,
            rid,
            caller,
            class,
            tags,
            text,
            answered: false,
            taken,
            ends,
            out,
            used_connections,
        };
        self.in_flight.insert(id, in_flight);
        self.rids.insert(rid, id);
        self.clients.attach_statement(session, id);
        let pick = self.scheduler.pick(now, id, desk, &wants);
        self.picked(now, id, pick);
    }

    /// Takes out what the decisions need, and checks it: nothing unusable may reach an engine.
    pub(super) fn wants(
        &mut self,
        text: &Bytes,
        from: IpAddr,
        claims: Option<&Claims>,
    ) -> Result<
        (
            StatementRequest,
            RequestId,
            StatementKeys,
            Bytes,
            SubQueueId,
        ),
        Unusable,
    > {
        let mut read = CommentedStatement::parse(text)?;
        if let Some(claims) = claims {
            let open = self.open.get(&claims.caller).copied().unwrap_or(0);
            let request = AuthorizationRequest {
                tenant: read.tenant,
                sub_queue: read.sub_queue,
                class: read.class,
                table_group: table_group(read.text),
                client_address: from,
                open_statements: open,
            };
            if let Err(error) = claims.grant.authorize(&request) {
                self.counters.beyond_grant += 1;
                return Err(Unusable::Beyond(error));
            }
            // What the comment leaves open, the caller is.
            read.tenant = Some(&claims.grant.tenant);
            read.sub_queue = claims.grant.sub_queue(read.sub_queue);
        }
        let named = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let class = named(&self.classes, read.class).ok_or("unknown method")?;
        let tenant = match read.tenant {
            Some(name) if !self.tenants.is_empty() => {
                named(&self.tenants, name).ok_or("unknown acct")?
            }
            _ => 0,
        };
        if self.rids.contains_key(&read.request_id) {
            return Err("rid of a statement that is still open".into());
        }
        if self.in_flight.len() >= self.most_open {
            return Err(Unusable::Full);
        }
        let found = self
            .resolver
            .as_ref()
            .map(|resolver| resolver.resolve(read.tenant, read.sub_queue, Some(from)));
        self.counters.desks_unknown += u64::from(found.is_some_and(|found| !found.known));
        let desk = found.map_or(SubQueueId(0), |found| found.sub_queue);
        let budget_s = read.budget_ms / 1e3;
        let budget =
            TimeDelta::from_secs(budget_s - NETWORK_DELAY_S.min(budget_s * NETWORK_DELAY_PART));
        // Digits of the platform's own; what is none keeps its order by its letters all the same.
        let number =
            |key: &str| u64::from_str_radix(key, 16).unwrap_or_else(|_| order_key_hash(key));
        let key = read
            .order_key
            .map(number)
            .filter(|key| *key != 0)
            .map(OrderKey);
        let wants = StatementRequest {
            class: ClassId(class),
            tenant: TenantId(tenant),
            group: TableGroupId(table_group(read.text).unwrap_or(0)),
            estimate: read
                .estimate_ms
                .filter(|ms| *ms > 0.0)
                .map(|ms| TimeDelta::from_secs(ms / 1e3)),
            memory_mb: read.memory_mb.unwrap_or(0.0),
            key,
            has_idempotency_key: read.idempotency_key.is_some(),
            budget,
        };
        let tags = StatementKeys {
            idempotency_key: read.idempotency_key.map(Box::from),
            ordering_key: read.order_key.map(Box::from),
        };
        Ok((
            wants,
            read.request_id,
            tags,
            text.slice_ref(read.text),
            desk,
        ))
    }
}
