//! How far this node's view and the others' agree, and what may be assumed while they do or don't.

use std::fmt;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::member::Name;

/// Periods for which an own view must not have changed before it counts as agreed on.
const STABLE_PERIODS: f64 = 3.0;

/// How far this node's view of the fleet and the others' agree. The texts of [`ViewState::name`] and of its display are
/// shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewState {
    /// It never met another node.
    Isolated,
    /// Its view is stable, and those it hears of are the same.
    Converged,
    /// Views differ.
    Converging {
        /// Members that are suspected here, as far as the difference is known.
        suspects: Vec<Name>,
    },
    /// It reaches fewer than the configured part of the fleet that last converged.
    Partitioned {
        /// The size of that fleet.
        converged_size: usize,
    },
    /// It was partitioned, and the views do not agree yet.
    Rejoining,
}

impl ViewState {
    /// The state as operators and counters name it.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            ViewState::Isolated => "alone",
            ViewState::Converged => "together",
            ViewState::Converging { .. } => "unsettled",
            ViewState::Partitioned { .. } => "cut off",
            ViewState::Rejoining => "rejoining",
        }
    }

    fn is_partitioned(&self) -> bool {
        matches!(self, ViewState::Partitioned { .. })
    }

    fn is_same_variant(&self, other: &ViewState) -> bool {
        std::mem::discriminant(self) == std::mem::discriminant(other)
    }
}

impl fmt::Display for ViewState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ViewState::Converging { suspects } if !suspects.is_empty() => {
                let names: Vec<&str> = suspects.iter().map(Name::as_str).collect();
                write!(f, "unsettled over {}", names.join(", "))
            }
            ViewState::Partitioned { converged_size } => {
                write!(f, "cut off from a fleet of {converged_size}")
            }
            other => f.write_str(other.name()),
        }
    }
}

/// What may be assumed of the fleet in a view state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetAssumptions {
    /// The fleet may be as large as this: a limit that must not be exceeded is divided by it.
    pub max_size: usize,
    /// It may be as small as this: a minimum that must not be starved counts on no more.
    pub min_size: usize,
    /// Whether what others report of engines counts.
    pub engine_reports_count: bool,
    /// This node may take part in what the fleet decides together.
    pub may_vote: bool,
}

/// What this node's view comes to, as the view state goes by it.
#[derive(Clone, Debug, Default)]
pub struct ViewObservation {
    /// Nodes in the fleet, this one among them.
    pub size: usize,
    /// Members that are suspected.
    pub suspects: Vec<Name>,
    /// Nodes that gossip tells of and that are not in the fleet yet.
    pub candidates: usize,
    /// Of the views heard lately, those that are the same.
    pub equal_views: usize,
    /// Of the views heard lately, those that are not.
    pub differing_views: usize,
    /// Since when its own view has not changed.
    pub unchanged_since: Option<Timestamp>,
    /// It met another node since its start.
    pub has_joined: bool,
}

/// The view state, and the sizes that the fleet had since it last converged.
#[derive(Clone, Debug)]
pub struct ViewStateMachine {
    state: ViewState,
    since: Timestamp,
    converged_size: usize,
    max_size: usize,
    min_size: usize,
}

impl ViewStateMachine {
    /// Isolated from now on.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        ViewStateMachine {
            state: ViewState::Isolated,
            since: now,
            converged_size: 1,
            max_size: 1,
            min_size: 1,
        }
    }

    /// The state now.
    #[must_use]
    pub fn state(&self) -> &ViewState {
        &self.state
    }

    /// When the state last changed.
    #[must_use]
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Takes in an observation. True: the state changed.
    pub fn update(&mut self, now: Timestamp, observed: &ViewObservation, config: &Config) -> bool {
        self.max_size = self.max_size.max(observed.size + observed.candidates);
        self.min_size = self.min_size.min(observed.size);
        let accepts_partition =
            self.state.is_partitioned() && now - self.since >= config.partition_acceptance;
        let next = self.next_state(now, observed, accepts_partition, config);
        if self.state.is_same_variant(&next) {
            self.state = next;
            if self.state == ViewState::Converged {
                self.converge(observed.size);
            }
            return false;
        }
        let is_recent = now - self.since < config.min_view_state_duration;
        let may_wait = !next.is_partitioned() && self.state != ViewState::Isolated;
        if is_recent && may_wait {
            return false;
        }
        if next == ViewState::Converged || accepts_partition {
            self.converge(observed.size);
        }
        self.state = next;
        self.since = now;
        true
    }

    fn next_state(
        &self,
        now: Timestamp,
        observed: &ViewObservation,
        accepts_partition: bool,
        config: &Config,
    ) -> ViewState {
        if !observed.has_joined {
            return ViewState::Isolated;
        }
        let threshold = self.converged_size as f64 * config.partition_threshold;
        let is_small = (observed.size as f64) < threshold;
        if is_small && !accepts_partition {
            return ViewState::Partitioned {
                converged_size: self.converged_size,
            };
        }
        if views_agree(now, observed, config) {
            return ViewState::Converged;
        }
        match self.state {
            ViewState::Partitioned { .. } | ViewState::Rejoining => ViewState::Rejoining,
            _ => ViewState::Converging {
                suspects: observed.suspects.clone(),
            },
        }
    }

    fn converge(&mut self, size: usize) {
        self.converged_size = size;
        self.max_size = size;
        self.min_size = size;
    }

    /// What may be assumed in this state. Each value is the safe one of its use: divided by the larger fleet, a limit is
    /// not exceeded; counting on the smaller one, a minimum is not starved.
    #[must_use]
    pub fn assumptions(&self, size: usize) -> FleetAssumptions {
        let max_size = self.max_size.max(self.converged_size).max(size);
        let min_size = self.min_size.min(self.converged_size).min(size);
        match self.state {
            ViewState::Isolated => FleetAssumptions {
                max_size,
                min_size: 1,
                engine_reports_count: false,
                may_vote: false,
            },
            ViewState::Converged => FleetAssumptions {
                max_size: size,
                min_size: size,
                engine_reports_count: true,
                may_vote: true,
            },
            ViewState::Converging { .. } => FleetAssumptions {
                max_size,
                min_size,
                engine_reports_count: true,
                may_vote: true,
            },
            // Those it reaches may be cut off from the same engines: their reports say nothing for the rest.
            ViewState::Partitioned { .. } => FleetAssumptions {
                max_size,
                min_size,
                engine_reports_count: false,
                may_vote: false,
            },
            ViewState::Rejoining => FleetAssumptions {
                max_size,
                min_size,
                engine_reports_count: true,
                may_vote: false,
            },
        }
    }
}

/// The own view is stable, nobody is suspected, and no other view differs. With no other node left, a view agrees with
/// itself.
fn views_agree(now: Timestamp, observed: &ViewObservation, config: &Config) -> bool {
    let stable_after = TimeDelta::from_secs(config.probe_period.secs() * STABLE_PERIODS);
    let is_stable = observed
        .unchanged_since
        .is_some_and(|since| now - since >= stable_after);
    let has_equal = observed.equal_views > 0 || observed.size == 1;
    is_stable && has_equal && observed.differing_views == 0 && observed.suspects.is_empty()
}
