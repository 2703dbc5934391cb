//! The own view over time, views heard from others, and the view state that follows.

use std::collections::VecDeque;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::message::View;
use crate::view_state::{FleetAssumptions, ViewObservation, ViewState, ViewStateMachine};

/// Views heard that are kept, the latest.
const MAX_HEARD: usize = 64;
/// Periods for which a heard view counts.
const HEARD_PERIODS: f64 = 4.0;

/// A view that another node told.
#[derive(Clone, Copy, Debug)]
struct HeardView {
    heard: Timestamp,
    view: View,
}

/// Views heard since the own view last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ViewComparison {
    /// Those that equal the own view.
    pub(crate) equal: usize,
    /// Those that differ from it.
    pub(crate) differing: usize,
}

/// The own view over time, and how it compares with others'.
#[derive(Clone, Debug)]
pub(crate) struct ViewTracker {
    local: View,
    local_since: Timestamp,
    heard: VecDeque<HeardView>,
    machine: ViewStateMachine,
}

impl ViewTracker {
    /// No view was heard yet.
    #[must_use]
    pub(crate) fn new(now: Timestamp) -> Self {
        ViewTracker {
            local: View::default(),
            local_since: now,
            heard: VecDeque::new(),
            machine: ViewStateMachine::new(now),
        }
    }

    /// A member told its view.
    pub(crate) fn receive_view(&mut self, now: Timestamp, view: View) {
        self.heard.push_back(HeardView { heard: now, view });
        if self.heard.len() > MAX_HEARD {
            self.heard.pop_front();
        }
    }

    /// Compares the own view, which may have changed, with those heard lately. What was heard before its last change says
    /// nothing of the view that stands now.
    pub(crate) fn compare(
        &mut self,
        now: Timestamp,
        local: View,
        config: &Config,
    ) -> ViewComparison {
        if local != self.local {
            self.local = local;
            self.local_since = now;
        }
        let lifetime_s = config.probe_period.secs() * HEARD_PERIODS;
        self.heard
            .retain(|heard| (now - heard.heard).secs() <= lifetime_s);
        let since = self.local_since;
        let mut comparison = ViewComparison::default();
        for heard in self.heard.iter().filter(|heard| heard.heard >= since) {
            if heard.view == local {
                comparison.equal += 1;
            } else {
                comparison.differing += 1;
            }
        }
        comparison
    }

    /// Since when the own view has not changed.
    #[must_use]
    pub(crate) fn unchanged_since(&self) -> Timestamp {
        self.local_since
    }

    /// How long the own view has not changed.
    #[must_use]
    pub(crate) fn unchanged_for(&self, now: Timestamp) -> TimeDelta {
        now - self.local_since
    }

    /// Takes in an observation. True: the view state changed.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        observed: &ViewObservation,
        config: &Config,
    ) -> bool {
        self.machine.update(now, observed, config)
    }

    /// The view state now.
    #[must_use]
    pub(crate) fn state(&self) -> &ViewState {
        self.machine.state()
    }

    /// When the view state last changed.
    #[must_use]
    pub(crate) fn state_since(&self) -> Timestamp {
        self.machine.since()
    }

    /// What may be assumed of a fleet of this size.
    #[must_use]
    pub(crate) fn assumptions(&self, size: usize) -> FleetAssumptions {
        self.machine.assumptions(size)
    }

    /// Views heard, and those of them that differ from the own one, for diagnostics.
    #[must_use]
    pub(crate) fn summary(&self) -> String {
        let since = self.local_since;
        let differing = self
            .heard
            .iter()
            .filter(|heard| heard.heard >= since && heard.view != self.local)
            .count();
        format!(
            "{differing} of {} views heard differ, unchanged since {since:?}",
            self.heard.len()
        )
    }
}
