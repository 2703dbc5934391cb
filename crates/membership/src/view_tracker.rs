//! This node's view over time, the views received from others, and the resulting view state.

use std::collections::VecDeque;

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::message::View;
use crate::view_state::{FleetAssumptions, ViewObservation, ViewState, ViewStateMachine};

/// The maximum number of received views that are kept. The latest ones are kept.
const MAX_RECEIVED_VIEWS: usize = 64;
/// How long a received view counts, in protocol periods.
const RECEIVED_VIEW_PERIODS: f64 = 4.0;

/// A view that another node sent.
#[derive(Clone, Copy, Debug)]
struct ReceivedView {
    received_at: Timestamp,
    view: View,
}

/// The comparison of this node's view with the views received since it last changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ViewComparison {
    /// The number of received views that equal this node's view.
    pub(crate) equal: usize,
    /// The number of received views that differ from this node's view.
    pub(crate) differing: usize,
}

/// This node's view over time, and the views received from others.
#[derive(Clone, Debug)]
pub(crate) struct ViewTracker {
    local: View,
    local_since: Timestamp,
    received: VecDeque<ReceivedView>,
    machine: ViewStateMachine,
}

impl ViewTracker {
    /// Creates a tracker without received views.
    #[must_use]
    pub(crate) fn new(now: Timestamp) -> Self {
        ViewTracker {
            local: View::default(),
            local_since: now,
            received: VecDeque::new(),
            machine: ViewStateMachine::new(now),
        }
    }

    /// Records the view that a member sent.
    pub(crate) fn receive_view(&mut self, now: Timestamp, view: View) {
        self.received.push_back(ReceivedView {
            received_at: now,
            view,
        });
        if self.received.len() > MAX_RECEIVED_VIEWS {
            self.received.pop_front();
        }
    }

    /// Compares this node's current view with the views received recently. Views received before
    /// this node's view last changed are ignored, because they say nothing about the current one.
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
        let lifetime_s = config.probe_period.secs() * RECEIVED_VIEW_PERIODS;
        self.received
            .retain(|received| (now - received.received_at).secs() <= lifetime_s);
        let since = self.local_since;
        let mut comparison = ViewComparison::default();
        for received in self
            .received
            .iter()
            .filter(|received| received.received_at >= since)
        {
            if received.view == local {
                comparison.equal += 1;
            } else {
                comparison.differing += 1;
            }
        }
        comparison
    }

    /// Returns when this node's view last changed.
    #[must_use]
    pub(crate) fn unchanged_since(&self) -> Timestamp {
        self.local_since
    }

    /// Returns how long this node's view has been unchanged.
    #[must_use]
    pub(crate) fn unchanged_for(&self, now: Timestamp) -> TimeDelta {
        now - self.local_since
    }

    /// Updates the view state from an observation. Returns whether the state changed.
    pub(crate) fn update(
        &mut self,
        now: Timestamp,
        observed: &ViewObservation,
        config: &Config,
    ) -> bool {
        self.machine.update(now, observed, config)
    }

    /// Returns the current view state.
    #[must_use]
    pub(crate) fn state(&self) -> &ViewState {
        self.machine.state()
    }

    /// Returns when the view state last changed.
    #[must_use]
    pub(crate) fn state_since(&self) -> Timestamp {
        self.machine.since()
    }

    /// Returns what may be assumed about the fleet, given its current size.
    #[must_use]
    pub(crate) fn assumptions(&self, size: usize) -> FleetAssumptions {
        self.machine.assumptions(size)
    }

    /// Returns a diagnostic text with the number of received views and of those that differ from
    /// this node's view.
    #[must_use]
    pub(crate) fn summary(&self) -> String {
        let since = self.local_since;
        let differing = self
            .received
            .iter()
            .filter(|received| received.received_at >= since && received.view != self.local)
            .count();
        format!(
            "{differing} of {} received views differ from the local one, unchanged since {since:?}",
            self.received.len()
        )
    }
}
