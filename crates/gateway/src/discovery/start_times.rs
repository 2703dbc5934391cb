//! Conversion of the start times of engines to this gateway's clock.
//!
//! The endpoint list gives start times by the clock of another machine. This gateway's clock may
//! differ from it by an hour if it was stepped before the gateway started. An engine that has just
//! started, but seems to have started long ago, would then get more work than it can handle.
//!
//! No engine is listed long before it starts. The youngest engine that was ever listed therefore
//! limits how far the clocks may be apart: it is assumed to have started when it was first listed,
//! and its apparent age at that time is added to the listed starts of all engines.

use admission::interface::{TimeDelta, Timestamp};

/// How long before its start an engine may be listed. A start further in the future means that this
/// gateway's clock is behind.
const MAX_ANNOUNCEMENT_LEAD: TimeDelta = TimeDelta::from_micros(60_000_000);

/// Converts start times by the apparent age of the youngest engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartTimes {
    /// The smallest apparent age of an engine when it was first listed: this gateway's time minus
    /// the listed start. `None` before an engine was listed that had started.
    youngest_age: Option<TimeDelta>,
}

impl StartTimes {
    /// Records that an engine was first listed at `now`, with the start `listed_start`.
    pub fn observe(&mut self, now: Timestamp, listed_start: Timestamp) {
        let age = now - listed_start;
        if age >= TimeDelta::ZERO {
            let youngest_age = self.youngest_age.unwrap_or(age);
            self.youngest_age = Some(youngest_age.min(age));
        }
    }

    /// Returns the latest time, by this gateway's clock, at which an engine with this listed start
    /// may have started. Unless the listed start is implausibly far in the future, the result is
    /// not before it.
    #[must_use]
    pub fn on_own_clock(&self, now: Timestamp, listed_start: Timestamp) -> Timestamp {
        let age = now - listed_start;
        if TimeDelta::ZERO - age > MAX_ANNOUNCEMENT_LEAD {
            return now;
        }
        if age < TimeDelta::ZERO {
            return listed_start;
        }
        listed_start + self.youngest_age.unwrap_or_default().min(age)
    }
}
