//! The plain values that go into and out of the decision module. Nothing here decides.

use std::ops::{Add, Sub};

/// A point in time on the caller's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(i64);

/// A length of time; negative ones arise only from subtraction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

impl Moment {
    /// A clock reading in seconds; one that is not finite counts as zero, so that it never reaches a table.
    pub fn from_secs(secs: f64) -> Self {
        Moment(Span::from_secs(secs).0)
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }

    pub fn from_secs(secs: f64) -> Self {
        // A hundred years either way keeps every later sum far from overflow.
        Span(if secs.is_finite() {
            (secs.clamp(-3e9, 3e9) * 1e6).round() as i64
        } else {
            0
        })
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0 + span.0)
    }
}

impl Sub for Moment {
    type Output = Span;
    fn sub(self, earlier: Moment) -> Span {
        Span(self.0 - earlier.0)
    }
}

macro_rules! ids {
    ($($name:ident($of:ty)),*) => {$(
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $of);
    )*};
}

ids!(
    StatementId(u64),
    EngineId(u32),
    ProductId(usize),
    TenantId(usize),
    LocationId(u16),
    MachineId(u16),
    CellId(u16),
    GroupId(u32),
    OrderKey(u64),
    RelayNo(u16)
);

/// Which engines drop the repeats of a deduplicated statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatGroup {
    All,
    Location,
    Cell,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    Deduplicated {
        group: RepeatGroup,
        remembered: Span,
    },
    Unrepeatable,
}

#[derive(Clone, Debug)]
pub struct Product {
    pub effect: Effect,
    pub gain: f64,
    pub late_gain: f64,
    pub quoted: Span,
    /// The quoted time grows by this times the work over its threads.
    pub quoted_stretch: f64,
    pub hard_limit: Span,
    pub threads: f64,
    pub in_turn: bool,
    pub locations: Option<Vec<LocationId>>,
    pub machines: Option<Vec<MachineId>>,
}

#[derive(Clone, Debug, Default)]
pub struct Tenancy {
    /// Statements a second for all gateways together, by tenant.
    pub allowances: Vec<f64>,
    pub over_gain: f64,
}

#[derive(Clone, Debug)]
pub struct Fleet {
    pub peers: f64,
    /// Cores by machine kind; empty where untold.
    pub cores: Vec<f64>,
    /// Memory by machine kind; empty where untold.
    pub memory_mb: Vec<f64>,
    pub note_pace: Option<Span>,
    pub ranks_heeded: bool,
    /// Connections to engines end when idle for so long, and opening one costs; none where untold.
    pub idle: Option<Span>,
}

#[derive(Clone, Copy, Debug)]
pub struct ColdStart {
    pub share: f64,
    pub warm_after: Span,
    pub multiple: f64,
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
pub struct Ration {
    pub free: f64,
    pub share: f64,
    pub window: Span,
}

#[derive(Clone, Copy, Debug)]
pub struct Relaying {
    pub most: usize,
    pub cancel: bool,
    pub come_back: Option<Span>,
    pub settle: Span,
    pub ration: Option<Ration>,
}

#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub on_request: bool,
    pub ask_within: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Ready,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug)]
pub struct EngineFact {
    pub id: EngineId,
    pub scale: f64,
    pub location: LocationId,
    pub machine: MachineId,
    pub cell: CellId,
    pub stage: Stage,
    pub started: Option<Moment>,
}

#[derive(Clone, Debug)]
pub enum ListNews {
    Changes(Vec<EngineFact>),
    Whole(Vec<EngineFact>),
    Failed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayState {
    Out,
    NeverRan,
    MayHaveRun,
}

/// One relay of a statement, kept by the caller from `Answer::Send` on.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    pub engine: EngineId,
    pub location: LocationId,
    pub cell: CellId,
    pub sent: Moment,
    pub charge: Span,
    /// What it holds of its engine: so many threads and so much memory, at this rank.
    pub threads: f64,
    pub memory_mb: f64,
    pub rank: u8,
    /// Of an engine that was left out: its outcome tells whether it stays so.
    pub trial: bool,
    pub state: RelayState,
}

#[derive(Clone, Debug)]
pub struct Statement {
    pub id: StatementId,
    pub product: ProductId,
    pub tenant: TenantId,
    pub group: GroupId,
    pub estimate: Option<Span>,
    pub memory_mb: f64,
    pub key: Option<OrderKey>,
    /// It carries the mark by which its repeats are known.
    pub marked: bool,
    /// Beyond what its team is owed, by a queue ahead: only spare room is for it, as over an allowance.
    pub lent: bool,
    pub taken: Moment,
    pub hard_limit: Moment,
    /// Since when it waits in the caller's hands: its taking, or the end of its last relay.
    pub held_since: Moment,
    /// What the last `Answer::NotYet` gave; none before the first ask.
    pub place: Option<Place>,
    pub relays: Vec<Relay>,
}

/// A place in line; the lesser is asked first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub by: Moment,
    pub id: StatementId,
    pub over_allowance: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    Send {
        relay: Relay,
        limit: Option<Span>,
        rank: Option<u8>,
    },
    NotYet(Place),
    Deny {
        come_back: Option<Span>,
    },
    Scrap,
}

impl PartialEq for Relay {
    fn eq(&self, other: &Self) -> bool {
        (self.engine, self.sent, self.state) == (other.engine, other.sent, other.state)
    }
}

/// What sending a statement would take, by what is known now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Predicted CPU: estimate x k.
    pub cpu: Span,
    pub memory_mb: f64,
    /// Sent later than this, its answer comes after its quoted time, by the best that engines did.
    pub full_until: Moment,
    /// Sent later than this, its answer is of no use.
    pub useful_until: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// Still out: the share done.
    Progress(f64),
    /// Still out: it lacks memory, or stands still.
    Strained,
    /// Still out: the client now reads its answer.
    Streaming,
    Completed {
        cpu: Option<Span>,
        memory_mb: Option<f64>,
    },
    Error,
    TurnedAway,
    TimedOut,
    Unreachable,
    Reset,
    Cancelled,
    NeverSent,
    /// Taken back by the caller before it had left: it never ran, and tells nothing of the engine.
    Withdrawn,
}

#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub relay: RelayNo,
    pub news: News,
    pub latency: Span,
    /// The statement is over, through this outcome or before it.
    pub settled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum After {
    /// The relay is still out, and stays so.
    Stay,
    Cancel(RelayNo),
    /// Back into line, at once.
    Ask,
    Over,
    Deny {
        come_back: Option<Span>,
    },
    Scrap,
}

/// What an engine said of its load; each part only where it tells it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    pub waiting: Option<f64>,
    pub busy: Option<f64>,
    pub memory: Option<f64>,
    pub disks: Option<f64>,
}

/// How an engine stands with this gateway, for those who tell others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineHealth {
    pub id: EngineId,
    pub benched_until: Option<Moment>,
    /// By what others saw, not by what this gateway did.
    pub on_hearsay: bool,
}

/// Enough other gateways lost statements to this engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineDoubt {
    pub id: EngineId,
    /// What they saw is no older than this.
    pub seen: Moment,
    /// It says nothing any more from here on.
    pub until: Moment,
}

/// What this gateway may still do of what all gateways together may; where nothing is told, nobody divides it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Allowed {
    /// Further relays, by product.
    pub relays: Vec<Option<f64>>,
    /// Trials of engines that were left out.
    pub trials: Option<f64>,
    /// Its part of what a cold engine bears.
    pub cold: Option<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListAsk {
    Subscribe,
    Whole,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pause {
    pub wait: Span,
    pub probe: Vec<EngineId>,
    pub list: Option<ListAsk>,
}
