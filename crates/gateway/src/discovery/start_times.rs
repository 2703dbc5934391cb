//! When engines started, on this gateway's clock.
//!
//! The list dates starts by another machine's clock. This gateway's own may be wrong by an hour, if it was stepped before the
//! gateway started, and a starting engine that is taken for an old one is sent more than it bears. But no engine is heard of
//! long before it starts, so the youngest one that was ever heard of tells how far the clocks may be apart: it is taken to
//! have started as it was heard of, and all others are dated by it.

use admission::interface::{TimeDelta, Timestamp};

/// An engine may be listed so long before it starts. One that seems to start later shows a clock that is behind.
const MAX_ANNOUNCED: TimeDelta = TimeDelta::from_micros(60_000_000);

/// Dates engines by the youngest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartTimes {
    /// The age of the youngest engine as it was first heard of, by the two clocks; none: none had started.
    youngest: Option<TimeDelta>,
}

impl StartTimes {
    /// Takes in that an engine was first heard of at `now`, which the list says to have started at `told`.
    pub fn observe(&mut self, now: Timestamp, told: Timestamp) {
        let age = now - told;
        if age >= TimeDelta::ZERO {
            let youngest = self.youngest.unwrap_or(age);
            self.youngest = Some(youngest.min(age));
        }
    }

    /// When such an engine started, at the latest: never before the told time.
    #[must_use]
    pub fn on_own_clock(&self, now: Timestamp, told: Timestamp) -> Timestamp {
        let age = now - told;
        if TimeDelta::ZERO - age > MAX_ANNOUNCED {
            return now;
        }
        if age < TimeDelta::ZERO {
            return told;
        }
        told + self.youngest.unwrap_or_default().min(age)
    }
}
