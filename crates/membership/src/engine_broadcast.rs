//! A broadcast of engine reports: every member is told soon, at a bounded rate.

use admission::interface::{TimeDelta, Timestamp};

use crate::config::Config;
use crate::member::Name;
use crate::rate_limiter::RateLimiter;

/// The least rate that the pause between two turns is computed by.
const MIN_PER_S: f64 = 0.1;

/// Members that are still to be told of engines, and when the next is.
#[derive(Clone, Debug)]
pub(crate) struct EngineBroadcast {
    recipients: Vec<Name>,
    rate: RateLimiter,
    per_s: f64,
    next: Timestamp,
}

impl EngineBroadcast {
    /// Nobody is to be told.
    #[must_use]
    pub(crate) fn new(now: Timestamp, config: &Config) -> Self {
        EngineBroadcast {
            recipients: Vec::new(),
            rate: RateLimiter::new(config.engine_reports_per_s),
            per_s: config.engine_reports_per_s,
            next: now,
        }
    }

    /// Another rate from now on.
    pub(crate) fn set_rate(&mut self, config: &Config) {
        self.rate = RateLimiter::new(config.engine_reports_per_s);
        self.per_s = config.engine_reports_per_s;
    }

    /// Whether members are still to be told.
    #[must_use]
    pub(crate) fn is_running(&self) -> bool {
        !self.recipients.is_empty()
    }

    /// Tells these from now on, the last first.
    pub(crate) fn start(&mut self, now: Timestamp, recipients: Vec<Name>) {
        self.recipients = recipients;
        self.next = now;
    }

    /// Tells nobody any more.
    pub(crate) fn stop(&mut self) {
        self.recipients.clear();
    }

    /// When the next member is to be told.
    #[must_use]
    pub(crate) fn next_due(&self) -> Option<Timestamp> {
        self.is_running().then_some(self.next)
    }

    /// Whether members are to be told now.
    #[must_use]
    pub(crate) fn is_due(&self, now: Timestamp) -> bool {
        self.is_running() && self.next <= now
    }

    /// The next member to tell, as far as the rate goes.
    pub(crate) fn pop(&mut self, now: Timestamp) -> Option<Name> {
        self.recipients.pop_if(|_| self.rate.try_take(now))
    }

    /// As many were told as the rate allows: the others wait.
    pub(crate) fn pause(&mut self, now: Timestamp) {
        self.next = now + TimeDelta::from_secs(1.0 / self.per_s.max(MIN_PER_S));
    }
}
