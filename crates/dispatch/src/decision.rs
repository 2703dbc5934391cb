//! What goes into the dispatcher and what comes out of it.

use admission::interface::{
    AttemptNumber, ClassId, DiscoveryRequest, EngineId, OrderKey, StatementId, TableGroupId,
    TenantId, TimeDelta, Timestamp,
};

/// A statement as it comes from a client, as far as the decisions need it.
#[derive(Clone, Copy, Debug)]
pub struct StatementRequest {
    /// Its query class.
    pub class: ClassId,
    /// Whose it is.
    pub tenant: TenantId,
    /// The tables that it reads.
    pub group: TableGroupId,
    /// Its CPU as the client estimates it; none where not told.
    pub estimate: Option<TimeDelta>,
    /// Its memory as the client estimates it, in MB; 0 where not told.
    pub memory_mb: f64,
    /// The key that orders it among others.
    pub key: Option<OrderKey>,
    /// It carries the key by which engines recognise its repeats.
    pub has_idempotency_key: bool,
    /// How long its client still waits.
    pub budget: TimeDelta,
}

/// An attempt to be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOrder {
    /// Which attempt of the statement it is.
    pub attempt: AttemptNumber,
    /// The engine that it goes to.
    pub engine: EngineId,
    /// It is given up after this time; none: at the statement's deadline.
    pub timeout: Option<TimeDelta>,
    /// When it has timed out: after its timeout, at the latest at the statement's deadline.
    pub due: Timestamp,
    /// The priority to tell its engine; none where engines heed none.
    pub priority: Option<u8>,
    /// The priority differs from that of the statement's attempt before.
    pub priority_changed: bool,
    /// A repeat that has not left by then must not leave any more; none: there is no such time.
    pub send_by: Option<Timestamp>,
    /// The CPU that it is charged until its outcome tells.
    pub charge: TimeDelta,
    /// The statement had an attempt before.
    pub is_retry: bool,
    /// Its engine is ejected: the outcome tells whether it stays so.
    pub outlier_probe: bool,
}

/// What becomes of a statement now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Send this attempt now.
    Forward(AttemptOrder),
    /// It waits in the queue; a later tick names it.
    Queued,
    /// It certainly had no effect: trying again is harmless.
    Reject {
        /// How long the client is told to wait; none: it is told nothing.
        retry_after: Option<TimeDelta>,
    },
    /// It could not be completed, and may have run.
    Fail,
}

/// What the caller does after a report, beside what a later tick names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FollowUp {
    /// Nothing.
    None,
    /// Cancel this attempt at its engine.
    Cancel(AttemptNumber),
    /// Answer as [`Decision::Reject`] does.
    Reject {
        /// How long the client is told to wait; none: it is told nothing.
        retry_after: Option<TimeDelta>,
    },
    /// Answer as [`Decision::Fail`] does.
    Fail,
}

/// What is due at a tick, and when the next one is.
#[derive(Debug, Default)]
pub struct Tick {
    /// Statements that leave the queue, in its order; never with [`Decision::Queued`].
    pub due: Vec<(StatementId, Decision)>,
    /// Engines to probe now.
    pub probe: Vec<EngineId>,
    /// What to request from the discovery service now.
    pub discovery: Option<DiscoveryRequest>,
    /// The next tick is due after this time, if nothing happens before.
    pub wait: TimeDelta,
}
