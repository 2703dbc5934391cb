//! How this gateway's view and those it hears of go together.

use admission::interface::Timestamp;

use super::Event;
use super::Gateway;
use crate::message::View;
use crate::standing::{Assumed, Seen, Standing};
use crate::who::State;

/// Periods for which a heard view counts.
const VIEWS: f64 = 4.0;

impl Gateway {
    pub fn standing(&self) -> &Standing {
        self.standings.standing()
    }

    pub fn standing_since(&self) -> Timestamp {
        self.standings.since()
    }

    pub fn assumed(&self) -> Assumed {
        self.standings.assumed(self.size())
    }

    pub fn view(&mut self) -> View {
        self.table.view(&self.own)
    }

    /// What its standing rests on, for whoever looks into one that lasts.
    pub fn about(&self) -> String {
        let suspected = self
            .table
            .fleet()
            .filter(|held| held.record.state == State::Suspect)
            .count();
        let since = self.view_since.1;
        let other = self
            .views
            .iter()
            .filter(|(at, view)| *at >= since && *view != self.view_since.0)
            .count();
        format!(
            "{suspected} suspected, {other} of {} views heard differ, unchanged since {since:?}",
            self.views.len()
        )
    }

    pub(super) fn seen(&mut self, now: Timestamp) -> Seen {
        let view = self.view();
        if view != self.view_since.0 {
            self.view_since = (view, now);
        }
        let lasts = self.terms.period.secs() * VIEWS;
        self.views.retain(|(at, _)| (now - *at).secs() <= lasts);
        // What was heard before its own last change says nothing of the view that stands now.
        let since = self.view_since.1;
        let heard = self.views.iter().filter(|(at, _)| *at >= since);
        let (same, other): (Vec<View>, Vec<View>) = heard
            .map(|(_, heard)| *heard)
            .partition(|heard| *heard == view);
        Seen {
            size: self.size(),
            suspected: self
                .table
                .fleet()
                .filter(|held| held.record.state == State::Suspect)
                .map(|held| held.record.name.clone())
                .take(8)
                .collect(),
            candidates: self.table.all().filter(|held| !held.known).count(),
            same: same.len(),
            other: other.len(),
            still: Some(since),
            met: self.met,
        }
    }

    pub(super) fn stand(&mut self, now: Timestamp) {
        let seen = self.seen(now);
        if self.standings.look(now, &seen, &self.terms) {
            self.tally.standings += 1;
            self.settled |= *self.standings.standing() == Standing::Together;
            let standing = self.standings.standing().clone();
            self.event(Event::Standing(standing));
        }
    }
}
