//! The plain values that go into and out of the decision module. Nothing here decides.
//!
//! A caller keeps its statements as [`Statement`] and asks the policy for a [`Placement`] of each. While an attempt is
//! in flight it passes on what happens to it as an [`AttemptReport`] and follows the [`NextStep`] that comes back.

use std::ops::{Add, Sub};

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// A hundred years either way, in seconds: every later sum stays far from overflow.
const LONGEST_S: f64 = 3e9;

/// A point in time on the caller's clock, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp(i64);

/// A signed length of time in microseconds; negative ones arise only from subtraction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimeDelta(i64);

impl Timestamp {
    /// A clock reading in seconds. One that is not finite counts as zero, so that it never reaches a table.
    pub fn from_secs(secs: f64) -> Self {
        Timestamp(TimeDelta::from_secs(secs).0)
    }
}

impl TimeDelta {
    /// No time at all.
    pub const ZERO: TimeDelta = TimeDelta(0);

    /// A length in microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        TimeDelta(micros)
    }

    /// A length in seconds, cut to a hundred years. One that is not finite counts as zero.
    pub fn from_secs(secs: f64) -> Self {
        if !secs.is_finite() {
            return TimeDelta::ZERO;
        }
        TimeDelta((secs.clamp(-LONGEST_S, LONGEST_S) * MICROS_PER_SECOND).round() as i64)
    }

    /// The length in seconds.
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
    ($($(#[$doc:meta])* $name:ident($of:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    /// A statement, by a number that the caller gives once.
    StatementId(u64),
    /// An engine, by the number that discovery gives it.
    EngineId(u32),
    /// A query class, by its index in the settings.
    ClassId(usize),
    /// A tenant, by its index in the settings.
    TenantId(usize),
    /// A location of engines, by its index in the settings.
    LocationId(u16),
    /// A kind of machine, by its index in the settings.
    MachineId(u16),
    /// A cell: engines that share what they remember of idempotency keys.
    CellId(u16),
    /// A group of tables that a statement reads; with the query class it is the statement's fingerprint.
    TableGroupId(u32),
    /// Statements of one key run one at a time, in the order in which they came.
    OrderKey(u64),
    /// An attempt of one statement, counted from zero.
    AttemptNumber(u16),
);

/// Which engines recognise a repeat of a statement by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every engine.
    All,
    /// Engines of the location that saw the first attempt.
    Location,
    /// Engines of the cell that saw the first attempt.
    Cell,
}

/// What running a statement more than once does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same as running it once.
    Idempotent,
    /// Engines drop repeats by the statement's idempotency key.
    IdempotentByKey {
        /// Which engines know of the first attempt.
        scope: DeduplicationScope,
        /// How long after the first attempt they do.
        window: TimeDelta,
    },
    /// Its effect happens again.
    NonIdempotent,
}

/// A class of statements that the settings describe together.
#[derive(Clone, Debug)]
pub struct QueryClass {
    /// What running one of its statements more than once does.
    pub effect: Effect,
    /// What an answer within the latency objective is worth, beside those of other classes.
    pub priority_weight: f64,
    /// What an answer after the latency objective and within the time limit is worth.
    pub late_priority_weight: f64,
    /// Within this time an answer has its full worth.
    pub latency_objective: TimeDelta,
    /// The latency objective grows by this times the CPU seconds over the threads.
    pub latency_objective_stretch: f64,
    /// An answer later than this is of no use.
    pub time_limit: TimeDelta,
    /// Threads that a statement uses at its engine.
    pub threads: f64,
    /// Statements of one key run one at a time, in the order in which they came.
    pub ordered_by_key: bool,
    /// Locations that may run it; any where not told.
    pub locations: Option<Vec<LocationId>>,
    /// Kinds of machine that may run it; any where not told.
    pub machines: Option<Vec<MachineId>>,
}

/// What each tenant may use of all gateways together.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Statements a second for all gateways together, by tenant.
    pub quotas: Vec<f64>,
    /// What a statement over its tenant's quota is worth, as a factor.
    pub over_quota_weight: f64,
}

/// What the settings tell of the gateways and engines as a whole.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Gateways before the same engines, this one among them.
    pub peers: f64,
    /// Cores by machine kind; empty where not told.
    pub cores: Vec<f64>,
    /// Memory in MB by machine kind; empty where not told.
    pub memory_mb: Vec<f64>,
    /// How often engines send progress of a running statement; not at all where not told.
    pub progress_interval: Option<TimeDelta>,
    /// Engines divide their cores by the priorities that statements carry.
    pub priorities_honored: bool,
    /// Connections to engines end when idle for so long, and opening one costs; none where not told.
    pub idle_timeout: Option<TimeDelta>,
}

/// What an engine can do after its start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    /// Part of its full capacity at the start.
    pub initial_share: f64,
    /// After this time it has its full capacity.
    pub warm_up: TimeDelta,
    /// It fails when it gets more than this many times its present capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub window: TimeDelta,
}

/// How many retries are allowed: `min_retries` and `ratio` of the statements, within `window`.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries that are allowed however few statements there are.
    pub min_retries: f64,
    /// Retries that are allowed for each statement received.
    pub ratio: f64,
    /// Statements and retries of this time count.
    pub window: TimeDelta,
}

/// What the settings tell of attempts and of what clients are told.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Attempts of one statement, the first among them.
    pub max_attempts: usize,
    /// Attempts in flight can be cancelled at their engine.
    pub can_cancel: bool,
    /// The longest time that a rejected client may be told to wait; none: it is told nothing.
    pub max_retry_after: Option<TimeDelta>,
    /// After an attempt whose end is not known, the next statement of its key waits so long.
    pub order_settle: TimeDelta,
    /// The budget that the settings state; none: they state none.
    pub retry_budget: Option<RetryBudget>,
}

/// How the list of engines reaches this gateway.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryMode {
    /// It comes only on request.
    pub on_request: bool,
    /// It is requested again within this time.
    pub request_within: TimeDelta,
}

/// Where an engine is in its life, as discovery tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineStage {
    /// It takes statements.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is there no longer.
    Removed,
}

/// One engine, as discovery tells it.
#[derive(Clone, Copy, Debug)]
pub struct EngineInfo {
    /// Its number.
    pub id: EngineId,
    /// Its size, beside the usual engine of its machine kind.
    pub scale: f64,
    /// Where it stands.
    pub location: LocationId,
    /// What kind of machine it runs on.
    pub machine: MachineId,
    /// Its cell.
    pub cell: CellId,
    /// Where it is in its life.
    pub stage: EngineStage,
    /// When it was started; none where not told.
    pub started: Option<Timestamp>,
}

/// What discovery says of the list of engines.
#[derive(Clone, Debug)]
pub enum EndpointUpdate {
    /// These engines changed.
    Events(Vec<EngineInfo>),
    /// These are all engines that there are.
    Snapshot(Vec<EngineInfo>),
    /// The list did not come.
    Failed,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// It has no outcome yet.
    InFlight,
    /// It ended, and its engine certainly did not run the statement.
    NeverRan,
    /// It ended, and its engine may have run the statement.
    MayHaveRun,
}

/// One attempt of a statement at an engine, kept by the caller from [`Placement::Send`] on.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The engine that it is sent to.
    pub engine: EngineId,
    /// The engine's location when it was sent.
    pub location: LocationId,
    /// The engine's cell when it was sent.
    pub cell: CellId,
    /// When it was sent.
    pub sent: Timestamp,
    /// Predicted CPU that it is charged until its outcome tells.
    pub charge: TimeDelta,
    /// Threads that it reserves at its engine.
    pub threads: f64,
    /// Memory that it reserves at its engine, in MB.
    pub memory_mb: f64,
    /// Its priority at its engine, 0 to 3; the higher gets more of the cores.
    pub priority: u8,
    /// Its engine is ejected: the outcome tells whether it stays so.
    pub outlier_probe: bool,
    /// What is known of it.
    pub state: AttemptState,
}

impl PartialEq for Attempt {
    /// The same attempt in the same state: what it reserves follows from it.
    fn eq(&self, other: &Self) -> bool {
        (self.engine, self.sent, self.state) == (other.engine, other.sent, other.state)
    }
}

/// One statement, kept by the caller until its final answer and the end of its last attempt.
#[derive(Clone, Debug)]
pub struct Statement {
    /// Its number.
    pub id: StatementId,
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
    /// Its tenant uses more than its share by a queue ahead: only spare capacity is for it, as over a quota.
    pub borrowed: bool,
    /// When it was received.
    pub received: Timestamp,
    /// An answer later than this is of no use.
    pub deadline: Timestamp,
    /// Since when it waits in the caller's hands: its receipt, or the end of its last attempt.
    pub waiting_since: Timestamp,
    /// What the last [`Placement::Queue`] gave; none before the first.
    pub queue_position: Option<QueuePosition>,
    /// Its attempts so far, in their order.
    pub attempts: Vec<Attempt>,
}

/// A position in the queue; the lesser is placed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The earliest leaves first.
    pub deadline: Timestamp,
    /// Of two with one deadline, the statement received first.
    pub id: StatementId,
    /// Its tenant is over its quota.
    pub over_quota: bool,
}

/// What to do with a statement now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Placement {
    /// Send this attempt now.
    Send {
        /// The attempt, to be kept with the statement.
        attempt: Attempt,
        /// It is given up after this time; none: at the statement's deadline.
        timeout: Option<TimeDelta>,
        /// The priority to tell its engine; none where engines heed none.
        priority: Option<u8>,
    },
    /// No engine has capacity for it now: it waits at this position.
    Queue(QueuePosition),
    /// It certainly had no effect: trying again is harmless.
    Reject {
        /// How long the client is told to wait; none: it is told nothing.
        retry_after: Option<TimeDelta>,
    },
    /// It could not be completed, and may have run.
    Fail,
}

/// What sending a statement would take, by what is known now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Predicted CPU: the estimate times the learned ratio.
    pub cpu: TimeDelta,
    /// Predicted memory, in MB.
    pub memory_mb: f64,
    /// Sent later than this, its answer comes after its latency objective, by the best that engines did.
    pub objective_until: Timestamp,
    /// Sent later than this, its answer is of no use.
    pub useful_until: Timestamp,
}

/// What happened to an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEvent {
    /// Still in flight: the part done, 0 to 1.
    Progress(f64),
    /// Still in flight: it lacks memory, or makes no progress.
    Stalled,
    /// Still in flight: the client now reads its answer.
    Streaming,
    /// Its result came.
    Completed {
        /// The CPU that it took, where engines tell it.
        cpu: Option<TimeDelta>,
        /// The memory that it took in MB, where engines tell it.
        memory_mb: Option<f64>,
    },
    /// The engine answered with an error.
    Error,
    /// The engine had no capacity for it and did not run it.
    Rejected,
    /// No answer came in its time.
    TimedOut,
    /// No connection to the engine came up.
    Unreachable,
    /// The connection failed under it.
    Reset,
    /// It was cancelled as [`NextStep::Cancel`] asked.
    Cancelled,
    /// It never left this gateway.
    NeverSent,
    /// Taken back by the caller before it had left: it never ran, and tells nothing of the engine.
    Withdrawn,
}

/// What the caller reports of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// Which attempt of the statement.
    pub attempt: AttemptNumber,
    /// What happened to it.
    pub event: AttemptEvent,
    /// From sending it until now.
    pub latency: TimeDelta,
    /// The statement has its final answer, by this event or before it.
    pub answered: bool,
}

/// What the caller does after an [`AttemptReport`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextStep {
    /// The attempt is still in flight, and stays so.
    Continue,
    /// Cancel this attempt.
    Cancel(AttemptNumber),
    /// Put the statement back into the queue, at once.
    Requeue,
    /// The statement is over.
    Done,
    /// Answer as [`Placement::Reject`] does.
    Reject {
        /// How long the client is told to wait; none: it is told nothing.
        retry_after: Option<TimeDelta>,
    },
    /// Answer as [`Placement::Fail`] does.
    Fail,
}

/// What an engine said of its load; each part only where it tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    /// Statements that wait there.
    pub waiting: Option<f64>,
    /// Part of its cores in use.
    pub busy: Option<f64>,
    /// Part of its memory in use.
    pub memory: Option<f64>,
    /// Part of its disks in use.
    pub disks: Option<f64>,
}

/// Whether this gateway has ejected an engine, for those who tell other gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineHealth {
    /// The engine.
    pub id: EngineId,
    /// Ejected until then; none: in use.
    pub ejected_until: Option<Timestamp>,
    /// Ejected by what other gateways saw, not by what this one did.
    pub by_gossip: bool,
}

/// An engine as the decisions see it, for those who look at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// The engine.
    pub id: EngineId,
    /// Attempts in flight there.
    pub in_flight: u32,
    /// No statement goes there until a probe succeeds.
    pub ejected: bool,
}

/// Enough other gateways lost statements to this engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierReport {
    /// The engine.
    pub id: EngineId,
    /// What they saw is no older than this.
    pub seen: Timestamp,
    /// It says nothing any more from here on.
    pub until: Timestamp,
}

/// What this gateway may still use of quotas that all gateways share; where nothing is told, nobody divides it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QuotaGrant {
    /// Retries, by query class.
    pub retries: Vec<Option<f64>>,
    /// Probe attempts at ejected engines.
    pub outlier_probes: Option<f64>,
    /// Its part of what an engine in slow start bears.
    pub slow_start: Option<f64>,
}

/// What to request from the discovery service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryRequest {
    /// Updates from now on.
    Watch,
    /// All engines, once.
    Snapshot,
}

/// What to do at the end of a turn, and when the next one is due.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wakeup {
    /// The next turn is due after this time, if nothing happens before.
    pub wait: TimeDelta,
    /// Engines to probe now.
    pub probe: Vec<EngineId>,
    /// What to request from the discovery service now.
    pub discovery: Option<DiscoveryRequest>,
}
