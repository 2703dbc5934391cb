//! Validation of a client's query: parses its comment, authorizes its caller and builds what the
//! scheduler and the engines need.

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

/// The part of a client's budget that is reserved for the network in both directions and for short
/// stalls of the machine. The budget starts when the client sends the query, and the answer must
/// arrive before it ends.
const NETWORK_RESERVE_S: f64 = 0.06;

/// The largest fraction of a budget that is reserved for the network; it applies to short budgets.
const MAX_NETWORK_RESERVE_FRACTION: f64 = 0.1;

/// The sub-queue of every statement if the operator's file defines no queues.
const ONLY_SUB_QUEUE: SubQueueId = SubQueueId(0);

/// A valid statement that is not open yet.
pub(super) struct ValidStatement {
    /// The request to the scheduler.
    pub request: StatementRequest,
    /// The sub-queue that it waits in if it cannot be sent at once.
    pub sub_queue: SubQueueId,
    /// The id that the client gave the statement.
    pub request_id: RequestId,
    /// The idempotency and ordering keys that the engine gets with the text.
    pub keys: StatementKeys,
    /// The SQL text that the engine runs.
    pub text: Bytes,
    /// The caller named in the token; `None` if callers are not authenticated.
    pub caller: Option<String>,
}

impl Service {
    /// Parses and checks a query, so that no invalid statement reaches an engine.
    ///
    /// `claims` are those of the caller's token; `None` if callers are not authenticated.
    ///
    /// # Errors
    /// The query is invalid, or its caller may not run it.
    pub(super) fn validate(
        &mut self,
        query: &Bytes,
        client_ip: IpAddr,
        claims: Option<&Claims>,
    ) -> Result<ValidStatement, StatementError> {
        let mut comment = CommentedStatement::parse(query)?;
        if let Some(claims) = claims {
            self.authorize(&comment, client_ip, claims)?;
            // The grant supplies what the comment leaves out.
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
            budget: budget_without_network_reserve(comment.budget_ms),
        };
        let keys = StatementKeys {
            idempotency_key: comment.idempotency_key.map(Box::from),
            ordering_key: comment.order_key.map(Box::from),
        };
        Ok(ValidStatement {
            request,
            sub_queue,
            request_id: comment.request_id,
            keys,
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

/// Returns the CPU time that the client estimates; `None` without an estimate or with one of zero
/// or less.
fn estimate(comment: &CommentedStatement) -> Option<TimeDelta> {
    let estimate_ms = comment.estimate_ms.filter(|ms| *ms > 0.0)?;
    Some(TimeDelta::from_secs(estimate_ms / 1e3))
}

/// Returns the part of a client's budget that is left for the gateway and the engine, without the
/// network reserve.
fn budget_without_network_reserve(budget_ms: f64) -> TimeDelta {
    let budget_s = budget_ms / 1e3;
    let reserve_s = NETWORK_RESERVE_S.min(budget_s * MAX_NETWORK_RESERVE_FRACTION);
    TimeDelta::from_secs(budget_s - reserve_s)
}

/// Parses an order key as a hexadecimal number, or hashes a key that is not one. Returns `None` if
/// the result is zero, which means that the statement is not ordered.
fn order_key(key: &str) -> Option<OrderKey> {
    let number = u64::from_str_radix(key, 16).unwrap_or_else(|_| order_key_hash(key));
    (number != 0).then_some(OrderKey(number))
}

/// Hashes a key with FNV's prime. A collision does no harm beyond making the statements of two keys
/// wait for each other.
fn order_key_hash(key: &str) -> u64 {
    key.bytes().fold(1, |hash, byte| {
        hash.wrapping_mul(0x0100_0000_01b3) ^ u64::from(byte)
    })
}
