//! A query of a client as the decisions and engines take it: read from its comment, authorized and checked.

use std::net::IpAddr;

use admission::interface::{OrderKey, TableGroupId, TimeDelta};
use bytes::Bytes;
use dispatch::StatementRequest;
use identity::{AuthorizationRequest, Claims};
use scheduler::SubQueueId;

use super::Service;
use super::error::StatementError;
use crate::clients::comment::CommentedStatement;
use crate::clients::table_group::table_group;
use crate::engines::protocol::{RequestId, StatementKeys};

/// An answer must be with the client before its budget ends, and the budget runs from when the client sent. So much
/// is kept for the network in both directions, and for a machine that stands still a moment.
const NETWORK_DELAY_S: f64 = 0.06;

/// Of a short budget no more than this part is kept for the network.
const NETWORK_DELAY_PART: f64 = 0.1;

/// The sub-queue where the operator's file has no queues.
const ONLY_SUB_QUEUE: SubQueueId = SubQueueId(0);

/// A valid statement, before it is opened.
pub(super) struct ValidStatement {
    /// What the decisions are asked.
    pub request: StatementRequest,
    /// Where it waits, if it has to.
    pub sub_queue: SubQueueId,
    /// The id that its client gave it.
    pub request_id: RequestId,
    /// What its engine gets beside its text.
    pub tags: StatementKeys,
    /// What its engine runs.
    pub text: Bytes,
    /// Whose it is, where callers are authenticated.
    pub caller: Option<String>,
}

impl Service {
    /// Reads a query and checks it: nothing invalid may reach an engine.
    ///
    /// `claims`: what its caller's token says, where callers are authenticated.
    ///
    /// # Errors
    /// It is invalid, or its caller may not run it.
    pub(super) fn validate(
        &mut self,
        query: &Bytes,
        client_ip: IpAddr,
        claims: Option<&Claims>,
    ) -> Result<ValidStatement, StatementError> {
        let mut comment = CommentedStatement::parse(query)?;
        if let Some(claims) = claims {
            self.authorize(&comment, client_ip, claims)?;
            // The grant says what the comment leaves open.
            comment.tenant = Some(&claims.grant.tenant);
            comment.sub_queue = claims.grant.sub_queue(comment.sub_queue);
        }
        let class = self.catalog.class(comment.class)?;
        let tenant = self.catalog.tenant(comment.tenant)?;
        if self.statements.find(&comment.request_id).is_some() {
            return Err(StatementError::DuplicateRequestId);
        }
        if self.statements.len() >= self.catalog.max_open_statements {
            return Err(StatementError::TooManyOpen);
        }
        let sub_queue = self.resolve_sub_queue(&comment, client_ip);
        let request = StatementRequest {
            class,
            tenant,
            group: TableGroupId(table_group(comment.text).unwrap_or(0)),
            estimate: estimate(&comment),
            memory_mb: comment.memory_mb.unwrap_or(0.0),
            key: comment.order_key.and_then(order_key),
            has_idempotency_key: comment.idempotency_key.is_some(),
            budget: budget_less_network_delay(comment.budget_ms),
        };
        let tags = StatementKeys {
            idempotency_key: comment.idempotency_key.map(Box::from),
            ordering_key: comment.order_key.map(Box::from),
        };
        Ok(ValidStatement {
            request,
            sub_queue,
            request_id: comment.request_id,
            tags,
            text: query.slice_ref(comment.text),
            caller: claims.map(|claims| claims.caller.clone()),
        })
    }

    fn authorize(
        &mut self,
        comment: &CommentedStatement,
        client_ip: IpAddr,
        claims: &Claims,
    ) -> Result<(), StatementError> {
        let request = AuthorizationRequest {
            tenant: comment.tenant,
            sub_queue: comment.sub_queue,
            class: comment.class,
            table_group: table_group(comment.text),
            client_address: client_ip,
            open_statements: self.callers.open_statements(&claims.caller),
        };
        claims.grant.authorize(&request).map_err(|error| {
            self.counters.statements_unauthorized += 1;
            StatementError::NotGranted(error)
        })
    }

    fn resolve_sub_queue(&mut self, comment: &CommentedStatement, client_ip: IpAddr) -> SubQueueId {
        let Some(resolver) = &self.sub_queues else {
            return ONLY_SUB_QUEUE;
        };
        let resolved = resolver.resolve(comment.tenant, comment.sub_queue, Some(client_ip));
        if !resolved.known {
            self.counters.sub_queues_unknown += 1;
        }
        resolved.sub_queue
    }
}

/// The CPU that the client estimates; an estimate of nothing counts as none.
fn estimate(comment: &CommentedStatement) -> Option<TimeDelta> {
    let estimate_ms = comment.estimate_ms.filter(|ms| *ms > 0.0)?;
    Some(TimeDelta::from_secs(estimate_ms / 1e3))
}

/// What of a client's budget is left for the statement here and at its engine.
fn budget_less_network_delay(budget_ms: f64) -> TimeDelta {
    let budget_s = budget_ms / 1e3;
    let network_delay_s = NETWORK_DELAY_S.min(budget_s * NETWORK_DELAY_PART);
    TimeDelta::from_secs(budget_s - network_delay_s)
}

/// The number of an order key, which is hexadecimal; of one that is not, its hash. Zero: no order.
fn order_key(key: &str) -> Option<OrderKey> {
    let number = u64::from_str_radix(key, 16).unwrap_or_else(|_| order_key_hash(key));
    (number != 0).then_some(OrderKey(number))
}

/// FNV's multiplication over the key's bytes. Two keys with one hash only wait for each other.
fn order_key_hash(key: &str) -> u64 {
    key.bytes().fold(1, |hash, byte| {
        hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    })
}
