//! The plain data types that go into and come out of the admission policy.
//!
//! This module makes no decisions. A caller keeps each of its statements as a [`Statement`] and
//! asks the policy for a [`Placement`]. While an attempt is in flight, the caller reports each
//! event as an [`AttemptReport`] and carries out the [`NextStep`] that the policy returns.

use std::ops::{Add, Sub};

const MICROS_PER_SECOND: f64 = 1e6;

/// The largest duration that a value in seconds can be converted to, in seconds: about 95 years.
/// The limit keeps sums of timestamps and durations far from integer overflow.
const MAX_DURATION_S: f64 = 3e9;

/// A point in time on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

/// A signed duration in microseconds. Only a subtraction yields a negative one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// Converts a clock reading in seconds. A reading that is not finite is taken as zero, so that
    /// it does not reach the policy's tables.
    pub fn from_secs(secs: f64) -> Self {
        Timestamp(TimeDelta::from_secs(secs).0)
    }
}

impl TimeDelta {
    /// A duration of zero.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// Creates a duration from microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    /// Converts a duration in seconds, limited to about 95 years in either direction. A value that
    /// is not finite is taken as zero.
    pub fn from_secs(secs: f64) -> Self {
        if !secs.is_finite() {
            return TimeDelta::ZERO;
        }
        TimeDelta((secs.clamp(-MAX_DURATION_S, MAX_DURATION_S) * MICROS_PER_SECOND).round() as i64)
    }

    /// Returns the duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

impl Sub for TimeDelta {
    type Output = TimeDelta;
    fn sub(self, other: TimeDelta) -> TimeDelta {
        TimeDelta(self.0 - other.0)
    }
}

impl Add<TimeDelta> for Timestamp {
    type Output = Timestamp;
    fn add(self, delta: TimeDelta) -> Timestamp {
        Timestamp(self.0 + delta.0)
    }
}

impl Sub for Timestamp {
    type Output = TimeDelta;
    fn sub(self, earlier: Timestamp) -> TimeDelta {
        TimeDelta(self.0 - earlier.0)
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids!(
    /// Identifies a statement. The caller assigns each number once.
    StatementId(u64),
    /// Identifies an engine by the number that the discovery service assigns to it.
    EngineId(u32),
    /// The index of a query class in the settings.
    ClassId(usize),
    /// The index of a tenant in the settings.
    TenantId(usize),
    /// The index of an engine location in the settings.
    LocationId(u16),
    /// The index of a machine type in the settings.
    MachineId(u16),
    /// Identifies a cell: a set of engines that share their record of idempotency keys.
    CellId(u16),
    /// Identifies the table group that a statement reads. The query class and the table group
    /// together are the statement's fingerprint.
    TableGroupId(u32),
    /// An ordering key. Statements with the same key run one at a time, in the order of receipt.
    OrderKey(u64),
    /// The number of an attempt of one statement, counted from zero.
    AttemptNumber(u16),
);

/// The set of engines that recognise a repeated statement by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every engine recognises the repeat.
    All,
    /// Engines in the location of the first attempt recognise the repeat.
    Location,
    /// Engines in the cell of the first attempt recognise the repeat.
    Cell,
}

/// The effect of running a statement more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Running the statement again has the same effect as running it once.
    Idempotent,
    /// Engines drop repeats that carry the same idempotency key.
    IdempotentByKey {
        /// The engines that recognise a repeat.
        scope: DeduplicationScope,
        /// How long after the first attempt these engines recognise a repeat.
        window: TimeDelta,
    },
    /// Each run of the statement has its effect again.
    NonIdempotent,
}

/// The settings of one query class.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// The effect of running a statement of this class more than once.
    pub effect: Effect,
    /// The value of an answer within the latency objective, relative to the other classes.
    pub priority_weight: f64,
    /// The value of an answer after the latency objective but within the time limit.
    pub late_priority_weight: f64,
    /// The time within which an answer has its full value, before
    /// [`latency_objective_stretch`](Self::latency_objective_stretch) is added.
    pub latency_objective: TimeDelta,
    /// The extension of the latency objective, in seconds per CPU second of the statement divided
    /// by [`threads`](Self::threads).
    pub latency_objective_stretch: f64,
    /// The time after which an answer has no value.
    pub time_limit: TimeDelta,
    /// The number of threads that a statement uses at its engine.
    pub threads: f64,
    /// Whether statements with the same [`OrderKey`] run one at a time, in the order of receipt.
    pub ordered_by_key: bool,
    /// The locations that may run the class, or `None` if every location may.
    pub locations: Option<Vec<LocationId>>,
    /// The machine types that may run the class, or `None` if every type may.
    pub machines: Option<Vec<MachineId>>,
}

/// The quotas of the tenants, which apply to all gateways together.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Statements per second that all gateways together may accept, indexed by tenant.
    pub quotas: Vec<f64>,
    /// The factor applied to the value of a statement that is over its tenant's quota.
    pub over_quota_weight: f64,
}

/// Settings that describe the gateways and the engines as a whole.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// The number of gateways that use the same engines, including this one.
    pub peers: f64,
    /// The cores of an engine, indexed by machine type. Empty if the settings do not state them.
    pub cores: Vec<f64>,
    /// The memory of an engine in MB, indexed by machine type. Empty if the settings do not state
    /// it.
    pub memory_mb: Vec<f64>,
    /// The interval at which engines report the progress of a running statement, or `None` if they
    /// send no progress reports.
    pub progress_interval: Option<TimeDelta>,
    /// Whether engines divide their cores by the priorities that statements carry.
    pub priorities_honored: bool,
    /// The time after which engines close an idle connection. `None` if the settings state no such
    /// time; the policy then does not prefer engines that have an idle connection.
    pub idle_timeout: Option<TimeDelta>,
}

/// The capacity of an engine that has just started.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// The fraction of its full capacity that the engine has at its start.
    pub initial_share: f64,
    /// The time after its start at which the engine has its full capacity.
    pub warm_up: TimeDelta,
    /// The engine fails when, within [`window`](Self::window), it is sent more than this multiple
    /// of its current capacity.
    pub overload_multiple: f64,
    /// The period over which the load for `overload_multiple` is summed.
    pub window: TimeDelta,
}

/// A limit on retries: `min_retries` plus `ratio` times the statements received, within `window`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are allowed however few statements are received.
    pub min_retries: f64,
    /// Retries that are allowed per statement received.
    pub ratio: f64,
    /// The sliding period over which statements and retries are counted.
    pub window: TimeDelta,
}

/// Settings for attempts and for the answers to rejected clients.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// The maximum number of attempts of one statement, including the first.
    pub max_attempts: usize,
    /// Whether an attempt in flight can be cancelled at its engine.
    pub can_cancel: bool,
    /// The longest delay that a rejected client may be asked to wait before it retries, or `None`
    /// if clients are given no delay.
    pub max_retry_after: Option<TimeDelta>,
    /// How long the next statement of an ordering key waits after an attempt whose end is unknown.
    pub order_settle: TimeDelta,
    /// The retry budget from the settings, or `None` if they state none.
    pub retry_budget: Option<RetryBudget>,
}

/// How this gateway receives the list of engines.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryMode {
    /// Whether the list has to be requested instead of being pushed.
    pub on_request: bool,
    /// The time within which a request without an answer is repeated.
    pub request_within: TimeDelta,
}

/// The lifecycle stage of an engine, as reported by the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// The engine accepts statements.
    Ready,
    /// The engine finishes the statements that it has and accepts no new ones.
    Draining,
    /// The engine is no longer part of the fleet.
    Removed,
}

/// One engine, as reported by the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct EngineInfo {
    /// The engine's number.
    pub id: EngineId,
    /// The engine's size relative to a standard engine of its machine type.
    pub scale: f64,
    /// The location of the engine.
    pub location: LocationId,
    /// The type of machine that the engine runs on.
    pub machine: MachineId,
    /// The cell that the engine belongs to.
    pub cell: CellId,
    /// The engine's lifecycle stage.
    pub stage: EngineStage,
    /// When the engine process started, or `None` if the start time is unknown.
    pub started: Option<Timestamp>,
}

/// An update of the list of engines from the discovery service.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// The engines that changed.
    Events(Vec<EngineInfo>),
    /// The complete list of engines.
    Snapshot(Vec<EngineInfo>),
    /// The list could not be fetched.
    Failed,
}

/// What is known about the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// The attempt has no outcome yet.
    InFlight,
    /// The attempt ended, and its engine is known not to have run the statement.
    NeverRan,
    /// The attempt ended, and its engine may have run the statement.
    MayHaveRun,
}

/// One attempt to run a statement at an engine. The caller keeps it from [`Placement::Send`] on.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The engine that the attempt is sent to.
    pub engine: EngineId,
    /// The engine's location at the time of sending.
    pub location: LocationId,
    /// The engine's cell at the time of sending.
    pub cell: CellId,
    /// When the attempt was sent.
    pub sent: Timestamp,
    /// The predicted CPU time that the attempt is charged until its outcome is known.
    pub charge: TimeDelta,
    /// The number of threads that the attempt reserves at its engine.
    pub threads: f64,
    /// The memory that the attempt reserves at its engine, in MB.
    pub memory_mb: f64,
    /// The attempt's priority at its engine, from 0 to 3. A higher priority gets more of the cores.
    pub priority: u8,
    /// Whether the engine is ejected and the attempt's outcome decides if it stays ejected.
    pub outlier_probe: bool,
    /// What is known about the attempt's outcome.
    pub state: AttemptState,
}

impl PartialEq for Attempt {
    /// Compares the engine, the send time and the state. The remaining fields are determined when
    /// the attempt is sent and do not need to be compared.
    fn eq(&self, other: &Self) -> bool {
        (self.engine, self.sent, self.state) == (other.engine, other.sent, other.state)
    }
}

/// One statement. The caller keeps it until its final answer and the end of its last attempt.
#[derive(Clone, Debug)]
pub struct Statement {
    /// The statement's number.
    pub id: StatementId,
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
    /// Whether the tenant exceeds its share according to an upstream queue. The statement then uses
    /// spare capacity only, like one that is over its tenant's quota.
    pub borrowed: bool,
    /// When the statement was received.
    pub received: Timestamp,
    /// The time after which an answer has no value.
    pub deadline: Timestamp,
    /// When the statement began to wait at the caller: at its receipt or at the end of its last
    /// attempt.
    pub waiting_since: Timestamp,
    /// The position from the last [`Placement::Queue`], or `None` before the first.
    pub queue_position: Option<QueuePosition>,
    /// The attempts so far, in the order in which they were sent.
    pub attempts: Vec<Attempt>,
}

/// A position in the queue. The smallest position is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The statement's deadline. The earliest deadline is first in the queue.
    pub deadline: Timestamp,
    /// The statement's number. It orders statements that have the same deadline.
    pub id: StatementId,
    /// Whether the statement is over its tenant's quota.
    pub over_quota: bool,
}

/// The policy's decision on a statement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send this attempt now.
    Send {
        /// The attempt, which the caller adds to the statement.
        attempt: Attempt,
        /// The time after which the attempt is given up, or `None` to wait until the statement's
        /// deadline.
        timeout: Option<TimeDelta>,
        /// The priority to send to the engine, or `None` if engines ignore priorities.
        priority: Option<u8>,
    },
    /// No engine has capacity for the statement now. It waits at this position.
    Queue(QueuePosition),
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

/// The predicted cost of a statement and the latest times at which sending it makes sense.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// The predicted CPU time: the client's estimate times the ratio learned for the fingerprint.
    pub cpu: TimeDelta,
    /// The predicted memory in MB.
    pub memory_mb: f64,
    /// The latest time at which the statement can be sent and still be answered within its latency
    /// objective, at the current latency of the fleet.
    pub objective_until: Timestamp,
    /// The latest time at which the statement can be sent and its answer still has a value, at the
    /// best latency that the engines have shown.
    pub useful_until: Timestamp,
}

/// An event of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The attempt is still in flight; the value is the completed fraction, from 0 to 1.
    Progress(f64),
    /// The attempt is still in flight, but it lacks memory or makes no progress.
    Stalled,
    /// The attempt is still in flight, and the client is reading its answer.
    Streaming,
    /// The engine returned the result.
    Completed {
        /// The CPU time that the statement used, or `None` if the engine does not report it.
        cpu: Option<TimeDelta>,
        /// The memory that the statement used in MB, or `None` if the engine does not report it.
        memory_mb: Option<f64>,
    },
    /// The engine answered with an error.
    Error,
    /// The engine had no capacity for the statement and did not run it.
    Rejected,
    /// The attempt reached its timeout without an answer.
    TimedOut,
    /// No connection to the engine could be established.
    Unreachable,
    /// The connection failed while the attempt was in flight.
    Reset,
    /// The attempt was cancelled in response to [`NextStep::Cancel`].
    Cancelled,
    /// The attempt ended without having left this gateway.
    NeverSent,
    /// The caller withdrew the attempt before it left this gateway. The statement did not run, and
    /// the event says nothing about the engine.
    Withdrawn,
}

/// The caller's report of an event of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// The attempt's number within its statement.
    pub attempt: AttemptNumber,
    /// What happened to the attempt.
    pub event: AttemptEvent,
    /// The time since the attempt was sent.
    pub latency: TimeDelta,
    /// Whether the statement has its final answer, through this event or an earlier one.
    pub answered: bool,
}

/// The action that the caller takes after an [`AttemptReport`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// Keep waiting: the attempt is still in flight.
    Continue,
    /// Cancel this attempt at its engine.
    Cancel(AttemptNumber),
    /// Put the statement back into the queue immediately.
    Requeue,
    /// Nothing: the statement has its final answer.
    Done,
    /// Answer the client as for [`Placement::Reject`].
    Reject {
        /// How long the client is asked to wait before it retries, or `None` to give no delay.
        retry_after: Option<TimeDelta>,
    },
    /// Answer the client as for [`Placement::Fail`].
    Fail,
}

/// An engine's report of its load. A field is `None` if the engine does not report it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// The number of statements that wait at the engine.
    pub waiting: Option<f64>,
    /// The fraction of the engine's cores in use.
    pub busy: Option<f64>,
    /// The fraction of the engine's memory in use.
    pub memory: Option<f64>,
    /// The fraction of the engine's disk capacity in use.
    pub disks: Option<f64>,
}

/// Whether this gateway has ejected an engine. Gateways exchange this state by gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineHealth {
    /// The engine.
    pub id: EngineId,
    /// When the ejection ends, or `None` if the engine is not ejected.
    pub ejected_until: Option<Timestamp>,
    /// Whether the engine was ejected because of reports from other gateways rather than because
    /// of this gateway's own attempts.
    pub by_gossip: bool,
}

/// The policy's view of an engine, for diagnostics and checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub id: EngineId,
    /// The number of attempts in flight at the engine.
    pub in_flight: u32,
    /// Whether the engine is ejected. It then receives no statements until a probe succeeds.
    pub ejected: bool,
}

/// A report that enough other gateways lost statements at an engine to suspect it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierReport {
    /// The engine.
    pub id: EngineId,
    /// The earliest time that the observations behind the report may date from.
    pub seen: Timestamp,
    /// When the report expires.
    pub until: Timestamp,
}

/// What this gateway may still use of the quotas that all gateways share. `None` means that nobody
/// divides the quota among the gateways, so that only this gateway's own limits apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaGrant {
    /// The number of retries, indexed by query class.
    pub retries: Vec<Option<f64>>,
    /// The number of attempts that may probe an ejected engine.
    pub outlier_probes: Option<f64>,
    /// This gateway's fraction of the load that an engine in slow start can take.
    pub slow_start: Option<f64>,
}

/// What to request from the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// A stream of updates from now on.
    Watch,
    /// The complete list of engines, once.
    Snapshot,
}

/// What the caller does at the end of a turn of its event loop, and when the next turn is due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wakeup {
    /// The time until the next turn is due, unless an event comes earlier.
    pub wait: TimeDelta,
    /// The engines to probe now.
    pub probe: Vec<EngineId>,
    /// The request to send to the discovery service now, or `None` if no request is due.
    pub discovery: Option<DiscoveryRequest>,
}
