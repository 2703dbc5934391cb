//! Comparison of this node's view of the fleet with the views of others, and the view state that
//! follows.

use admission::interface::Timestamp;

use super::{Event, Node};
use crate::message::View;
use crate::view_state::{FleetAssumptions, ViewObservation, ViewState};
use crate::view_tracker::ViewComparison;

/// Maximum number of suspects that a view state names.
const MAX_NAMED_SUSPECTS: usize = 8;

impl Node {
    /// The current view state: how far this node's view agrees with those of others.
    #[must_use]
    pub fn view_state(&self) -> &ViewState {
        self.views.state()
    }

    /// When the view state last changed.
    #[must_use]
    pub fn view_state_since(&self) -> Timestamp {
        self.views.state_since()
    }

    /// What may be assumed about the fleet in the current view state.
    #[must_use]
    pub fn assumptions(&self) -> FleetAssumptions {
        self.views.assumptions(self.fleet_size())
    }

    /// This node's view of the fleet, as a digest and a size.
    #[must_use]
    pub fn view(&mut self) -> View {
        self.table.view(&self.local)
    }

    /// The data behind the view state as text, for diagnosing a state that persists.
    #[must_use]
    pub fn view_summary(&self) -> String {
        let suspects = self.table.suspects().count();
        format!("{suspects} suspected, {}", self.views.summary())
    }

    /// Compares this node's view with the views heard recently.
    pub(super) fn compare_views(&mut self, now: Timestamp) -> ViewComparison {
        let view = self.view();
        self.views.compare(now, view, &self.config)
    }

    /// Re-evaluates the view state and emits an event if it changed.
    pub(super) fn update_view_state(&mut self, now: Timestamp) {
        let observation = self.observe_view(now);
        if !self.views.update(now, &observation, &self.config) {
            return;
        }
        self.metrics.view_state_changes += 1;
        let state = self.views.state().clone();
        if state == ViewState::Converged {
            self.name_conflict.set_converged();
        }
        self.emit(Event::ViewStateChanged(state));
    }

    /// Collects what the view state depends on.
    fn observe_view(&mut self, now: Timestamp) -> ViewObservation {
        let comparison = self.compare_views(now);
        let suspects = self
            .table
            .suspects()
            .take(MAX_NAMED_SUSPECTS)
            .map(|record| record.name.clone())
            .collect();
        ViewObservation {
            size: self.fleet_size(),
            suspects,
            candidates: self.table.candidate_count(),
            equal_views: comparison.equal,
            differing_views: comparison.differing,
            unchanged_since: Some(self.views.unchanged_since()),
            has_joined: self.has_joined,
        }
    }
}
