//! The times at which the service is due to run again and does its periodic work.

use admission::interface::{TimeDelta, Timestamp};

/// How often waiting clients that support progress reports get one.
const PROGRESS_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);

/// How often the scheduler's attempts in flight are compared with those on the sockets. A
/// difference is found long before it can do harm.
const CONSISTENCY_CHECK_INTERVAL: TimeDelta = TimeDelta::from_micros(500_000);

/// How often free memory may be returned to the system, which takes milliseconds.
const MEMORY_RETURN_INTERVAL: TimeDelta = TimeDelta::from_micros(1_000_000);

/// The next times at which the service has work to do by the clock.
pub(super) struct Schedule {
    /// The latest time of the next turn that the scheduler asks for.
    pub wakeup: Timestamp,
    next_progress: Timestamp,
    next_consistency_check: Timestamp,
    next_memory_return: Timestamp,
}

impl Schedule {
    /// Creates a schedule in which all work is due at once.
    pub(super) fn new(now: Timestamp) -> Self {
        Schedule {
            wakeup: now,
            next_progress: now,
            next_consistency_check: now,
            next_memory_return: now,
        }
    }

    /// Whether progress reports are due. If so, the next ones are due one interval later.
    pub(super) fn take_progress_due(&mut self, now: Timestamp) -> bool {
        take_due(&mut self.next_progress, now, PROGRESS_INTERVAL)
    }

    /// Whether the check of the attempts in flight is due. If so, the next one is due one interval
    /// later.
    pub(super) fn take_consistency_check_due(&mut self, now: Timestamp) -> bool {
        take_due(
            &mut self.next_consistency_check,
            now,
            CONSISTENCY_CHECK_INTERVAL,
        )
    }

    /// Whether free memory may be returned to the system. If so, it may be again one interval later.
    pub(super) fn take_memory_return_due(&mut self, now: Timestamp) -> bool {
        take_due(&mut self.next_memory_return, now, MEMORY_RETURN_INTERVAL)
    }
}

/// Whether `next` has come. If so, moves it to one interval after `now`.
fn take_due(next: &mut Timestamp, now: Timestamp, interval: TimeDelta) -> bool {
    if *next > now {
        return false;
    }
    *next = now + interval;
    true
}
