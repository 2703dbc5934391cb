//! The broadcast of engine reports to all members of the fleet, at a bounded rate.

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::member::Name;
use crate::rate_limiter::RateLimiter;

/// The lowest rate that is used to compute the pause, in messages per second. It avoids a division
/// by zero.
const MIN_MESSAGES_PER_S: f64 = 0.1;

/// The members that have not received the current broadcast yet, and when the next message is due.
#[derive(Clone, Debug)]
pub(crate) struct EngineBroadcast {
    recipients: Vec<Name>,
    rate: RateLimiter,
    messages_per_s: f64,
    next: Timestamp,
}

impl EngineBroadcast {
    /// Creates the state without a broadcast.
    #[must_use]
    pub(crate) fn new(now: Timestamp, config: &Config) -> Self {
        EngineBroadcast {
            recipients: Vec::new(),
            rate: RateLimiter::new(config.engine_reports_per_s),
            messages_per_s: config.engine_reports_per_s,
            next: now,
        }
    }

    /// Replaces the rate limit.
    pub(crate) fn set_rate(&mut self, config: &Config) {
        self.rate = RateLimiter::new(config.engine_reports_per_s);
        self.messages_per_s = config.engine_reports_per_s;
    }

    /// Returns whether a broadcast is in progress.
    #[must_use]
    pub(crate) fn is_running(&self) -> bool {
        !self.recipients.is_empty()
    }

    /// Starts a broadcast to these members, beginning with the last one in the list.
    pub(crate) fn start(&mut self, now: Timestamp, recipients: Vec<Name>) {
        self.recipients = recipients;
        self.next = now;
    }

    /// Stops the broadcast.
    pub(crate) fn stop(&mut self) {
        self.recipients.clear();
    }

    /// Returns when the next message is due, or `None` if no broadcast is in progress.
    #[must_use]
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.is_running().then_some(self.next)
    }

    /// Returns whether the next message is due.
    #[must_use]
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.is_running() && self.next <= now
    }

    /// Removes and returns the next recipient, or returns `None` if there is none or the rate limit
    /// is reached.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Name> {
        self.recipients.pop_if(|_| self.rate.try_take(now))
    }

    /// Schedules the next message for the time at which the rate limit allows one.
    pub(crate) fn pause(&mut self, now: Timestamp) {
        self.next = now + TimeDelta::from_secs(1.0 / self.messages_per_s.max(MIN_MESSAGES_PER_S));
    }
}
