//! How many requests of others are answered.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::rate_limiter::RateLimiter;

/// Who sent a message, as far as it is known before the message counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderStatus {
    /// Nothing is held of its name.
    Unknown,
    /// It is not in the fleet, or not at the address that is held of it.
    Unconfirmed,
    /// It is in the fleet, at the address that is held of it.
    Member,
}

/// Rates at which requests are answered: whoever floods this node uses up no more than these.
#[derive(Clone, Debug)]
pub(crate) struct RequestLimits {
    members: RateLimiter,
    strangers: RateLimiter,
    table_parts: RateLimiter,
}

impl RequestLimits {
    /// Full rates.
    #[must_use]
    pub(crate) fn new(config: &Config) -> Self {
        RequestLimits {
            members: RateLimiter::new(config.answers_per_s),
            strangers: RateLimiter::new(config.answers_per_s),
            table_parts: RateLimiter::new(config.pages_per_s),
        }
    }

    /// Whether a ping, or a request for one, is answered.
    pub(crate) fn try_answer_probe(&mut self, now: Timestamp, sender: SenderStatus) -> bool {
        match sender {
            SenderStatus::Member => self.members.try_take(now),
            SenderStatus::Unknown | SenderStatus::Unconfirmed => self.strangers.try_take(now),
        }
    }

    /// Whether a part of the table is given out.
    pub(crate) fn try_answer_table_request(&mut self, now: Timestamp) -> bool {
        self.table_parts.try_take(now)
    }
}
