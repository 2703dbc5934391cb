//! The view state: how far the views of this node and of others agree, and what may be assumed
//! about the fleet in each case.

use std::fmt;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::member::Name;

/// The number of protocol periods for which a view must stay unchanged before it counts as agreed
/// on.
const STABLE_PERIODS: f64 = 3.0;

/// How far this node's view of the fleet agrees with those of others. Operators see the texts of
/// [`ViewState::name`] and of the `Display` implementation.
#[derive(Clone, Debug, PartialEq)]
pub enum ViewState {
    /// The node has not met another node since its start.
    Isolated,
    /// The node's view is stable, and the views that others sent recently are equal to it.
    Converged,
    /// Views differ, or this node's view is not stable yet.
    Converging {
        /// The members that this node suspects, which may explain the difference.
        suspects: Vec<Name>,
    },
    /// The node reaches less than the configured fraction of the fleet that last converged.
    Partitioned {
        /// The size of the fleet that last converged.
        converged_size: usize,
    },
    /// The node was partitioned, and views do not agree yet.
    Rejoining,
}

impl ViewState {
    /// Returns the name of the state in operator output and counters.
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

/// What may be assumed about the fleet in a view state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetAssumptions {
    /// The largest size that the fleet may have. A limit that must not be exceeded is divided by
    /// this size.
    pub max_size: usize,
    /// The smallest size that the fleet may have. A guaranteed minimum is computed from this size.
    pub min_size: usize,
    /// Whether the engine reports of other nodes count.
    pub engine_reports_count: bool,
    /// Whether this node may vote in decisions of the fleet.
    pub may_vote: bool,
}

/// The facts about this node's view that determine the view state.
#[derive(Clone, Debug, Default)]
pub struct ViewObservation {
    /// The number of nodes in the fleet, including this one.
    pub size: usize,
    /// The members that are suspected.
    pub suspects: Vec<Name>,
    /// The number of candidates, which are known from gossip and not yet in the fleet.
    pub candidates: usize,
    /// The number of recently received views that equal this node's view.
    pub equal_views: usize,
    /// The number of recently received views that differ from this node's view.
    pub differing_views: usize,
    /// When this node's view last changed. `None` means that the view is not stable.
    pub unchanged_since: Option<Timestamp>,
    /// Whether this node has met another node since its start.
    pub has_joined: bool,
}

/// The view state, and the range of sizes that the fleet has had since it last converged.
#[derive(Clone, Debug)]
pub struct ViewStateMachine {
    state: ViewState,
    since: Timestamp,
    converged_size: usize,
    max_size: usize,
    min_size: usize,
}

impl ViewStateMachine {
    /// Creates the state machine in the isolated state.
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

    /// Returns the current state.
    #[must_use]
    pub fn state(&self) -> &ViewState {
        &self.state
    }

    /// Returns when the state last changed.
    #[must_use]
    pub fn since(&self) -> Timestamp {
        self.since
    }

    /// Updates the state from an observation. Returns whether the state changed.
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
        let changed_recently = now - self.since < config.min_view_state_duration;
        let can_be_delayed = !next.is_partitioned() && self.state != ViewState::Isolated;
        if changed_recently && can_be_delayed {
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
        let is_below_threshold = (observed.size as f64) < threshold;
        if is_below_threshold && !accepts_partition {
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

    /// Returns what may be assumed in the current state. Each size is the safe choice for its use:
    /// a limit divided by the larger size is not exceeded, and a minimum computed from the smaller
    /// size is met.
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
            // The nodes that are still reachable may be cut off from the same engines, so their
            // reports say nothing about the other nodes.
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

/// Returns whether this node's view is stable, no member is suspected and no received view differs.
/// A node that is alone in its fleet agrees with itself.
fn views_agree(now: Timestamp, observed: &ViewObservation, config: &Config) -> bool {
    let stable_after = TimeDelta::from_secs(config.probe_period.secs() * STABLE_PERIODS);
    let is_stable = observed
        .unchanged_since
        .is_some_and(|since| now - since >= stable_after);
    let is_shared = observed.equal_views > 0 || observed.size == 1;
    is_stable && is_shared && observed.differing_views == 0 && observed.suspects.is_empty()
}
