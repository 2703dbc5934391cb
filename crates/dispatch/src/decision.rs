//! The inputs and outputs of the dispatcher.

use admission::interface::{
    AttemptNumber, ClassId, DiscoveryRequest, EngineId, OrderKey, StatementId, TableGroupId,
    TenantId, TimeDelta, Timestamp,
};

/// The properties of a client's statement that the admission policy needs.
#[derive(Clone, Copy, Debug)]
pub struct StatementRequest {
    /// The query class.
    pub class: ClassId,
    /// The tenant that sent the statement.
    pub tenant: TenantId,
    /// The table group that the statement reads.
    pub group: TableGroupId,
    /// The client's estimate of the CPU time, or `None` if the client gave none.
    pub estimate: Option<TimeDelta>,
    /// The client's estimate of the memory in MB, or 0 if the client gave none.
    pub memory_mb: f64,
    /// The ordering key, or `None` if the statement has none.
    pub key: Option<OrderKey>,
    /// Whether the statement carries an idempotency key.
    pub has_idempotency_key: bool,
    /// How long the client still waits for the answer.
    pub budget: TimeDelta,
}

/// An instruction to send an attempt to an engine now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrder {
    /// The attempt's number within its statement.
    pub attempt: AttemptNumber,
    /// The engine to send the attempt to.
    pub engine: EngineId,
    /// The time after which the attempt is given up, or `None` to wait until the statement's
    /// deadline.
    pub timeout: Option<TimeDelta>,
    /// When the attempt times out: after `timeout`, but no later than the statement's deadline.
    pub due: Timestamp,
    /// The priority to send to the engine, or `None` if engines ignore priorities.
    pub priority: Option<u8>,
    /// Whether the priority differs from the one that the statement's previous attempt carried.
    pub priority_changed: bool,
    /// The time by which a repeat has to leave the gateway, since engines may afterwards have
    /// forgotten the idempotency key. `None` if there is no such limit.
    pub send_by: Option<Timestamp>,
    /// The predicted CPU time that the attempt is charged until its outcome is known.
    pub charge: TimeDelta,
    /// Whether the statement had an earlier attempt.
    pub is_retry: bool,
    /// Whether the engine is ejected and the attempt's outcome decides if it stays ejected.
    pub outlier_probe: bool,
}

/// The decision on a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send this attempt now.
    Forward(AttemptOrder),
    /// The statement waits in the queue. A later tick returns the decision on it.
    Queued,
    /// The statement is given up. It had no effect, or repeating it is harmless, so the client may
    /// retry it.
    Reject {
        /// How long the client is asked to wait before it retries, or `None` to give no delay.
        retry_after: Option<TimeDelta>,
    },
    /// The statement is given up and may have run, so a retry by the client could repeat its
    /// effect.
    Fail,
}

/// The action that the caller takes after reporting an event of an attempt. A statement that goes
/// back into the queue needs no action; a later [`Tick`] returns the decision on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// Do nothing.
    None,
    /// Cancel this attempt at its engine.
    Cancel(AttemptNumber),
    /// Answer the client as for [`Decision::Reject`].
    Reject {
        /// How long the client is asked to wait before it retries, or `None` to give no delay.
        retry_after: Option<TimeDelta>,
    },
    /// Answer the client as for [`Decision::Fail`].
    Fail,
}

/// The actions that are due at a tick, and the time of the next one.
#[derive(Debug, Default)]
pub struct Tick {
    /// The statements that leave the queue, in queue order, with the decision on each. The decision
    /// is never [`Decision::Queued`].
    pub due: Vec<(StatementId, Decision)>,
    /// The engines to probe now.
    pub probe: Vec<EngineId>,
    /// The request to send to the discovery service now, or `None` if no request is due.
    pub discovery: Option<DiscoveryRequest>,
    /// The time until the next tick is due, unless an event comes earlier.
    pub wait: TimeDelta,
}
