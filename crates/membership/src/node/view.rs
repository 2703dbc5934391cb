//! How this node's view and those it hears of go together.

use admission::interface::Timestamp;

use super::{Event, Node};
use crate::message::View;
use crate::view_state::{FleetAssumptions, ViewObservation, ViewState};
use crate::view_tracker::ViewComparison;

/// Suspects that a view state names at most.
const MAX_NAMED_SUSPECTS: usize = 8;

impl Node {
    /// How far the views of the fleet agree.
    #[must_use]
    pub fn view_state(&self) -> &ViewState {
        self.views.state()
    }

    /// When the view state last changed.
    #[must_use]
    pub fn view_state_since(&self) -> Timestamp {
        self.views.state_since()
    }

    /// What may be assumed of the fleet now.
    #[must_use]
    pub fn assumptions(&self) -> FleetAssumptions {
        self.views.assumptions(self.fleet_size())
    }

    /// This node's view in short.
    #[must_use]
    pub fn view(&mut self) -> View {
        self.table.view(&self.local)
    }

    /// What the view state rests on, for whoever looks into one that lasts.
    #[must_use]
    pub fn view_summary(&self) -> String {
        let suspects = self.table.suspects().count();
        format!("{suspects} suspected, {}", self.views.summary())
    }

    /// Compares the own view with those heard lately.
    pub(super) fn compare_views(&mut self, now: Timestamp) -> ViewComparison {
        let view = self.view();
        self.views.compare(now, view, &self.config)
    }

    /// Looks at the view state anew.
    pub(super) fn update_view_state(&mut self, now: Timestamp) {
        let observed = self.observe_view(now);
        if !self.views.update(now, &observed, &self.config) {
            return;
        }
        self.metrics.view_state_changes += 1;
        let state = self.views.state().clone();
        if state == ViewState::Converged {
            self.name_conflict.set_converged();
        }
        self.emit(Event::ViewStateChanged(state));
    }

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
