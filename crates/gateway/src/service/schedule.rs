//! When the service has to be called again, and its periodic work.

use admission::interface::{TimeDelta, Timestamp};

/// How often those that wait are told of their progress, where their client takes it.
const PROGRESS_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);

/// How often the attempts in flight are compared with the sockets: far below what a difference could do harm in.
const CONSISTENCY_CHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(500_000);

/// The next times of what the service does by the clock.
pub(super) struct Schedule {
    /// When the decisions want the next turn at the latest.
    pub wakeup: Timestamp,
    next_progress: Timestamp,
    next_consistency_check: Timestamp,
}

impl Schedule {
    /// All is due at the first turn.
    pub(super) fn new(now: Timestamp) -> Self {
        Schedule {
            wakeup: now,
            next_progress: now,
            next_consistency_check: now,
        }
    }

    /// Whether progress is to be reported now; if so, the next time is one interval away.
    pub(super) fn take_progress_due(&mut self, now: Timestamp) -> bool {
        take_due(&mut self.next_progress, now, PROGRESS_INTERVAL)
    }

    /// Whether attempts in flight are to be compared now; if so, the next time is one interval away.
    pub(super) fn take_consistency_check_due(&mut self, now: Timestamp) -> bool {
        take_due(
            &mut self.next_consistency_check,
            now,
            CONSISTENCY_CHECK_INTERVAL,
        )
    }
}

fn take_due(next: &mut Timestamp, now: Timestamp, interval: TimeDelta) -> bool {
    if *next > now {
        return false;
    }
    *next = now + interval;
    true
}
