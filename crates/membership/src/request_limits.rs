//! Rate limits for answering the requests of other nodes.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::rate_limiter::RateLimiter;

/// What is known about the sender before its message is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SenderStatus {
    /// No node with the sender's name is known.
    Unknown,
    /// The sender is not in the fleet, or its address is not the known one.
    Unconfirmed,
    /// The sender is in the fleet and uses its known address.
    Member,
}

/// The rates at which requests are answered. They bound the resources that a flood of requests can
/// use.
#[derive(Clone, Debug)]
pub(crate) struct RequestLimits {
    members: RateLimiter,
    non_members: RateLimiter,
    table_responses: RateLimiter,
}

impl RequestLimits {
    /// Creates limiters whose buckets are full.
    #[must_use]
    pub(crate) fn new(config: &Config) -> Self {
        RequestLimits {
            members: RateLimiter::new(config.answers_per_s),
            non_members: RateLimiter::new(config.answers_per_s),
            table_responses: RateLimiter::new(config.pages_per_s),
        }
    }

    /// Returns whether a ping or a request for an indirect probe may be answered, and counts it.
    pub(crate) fn try_answer_probe(&mut self, now: Timestamp, sender: SenderStatus) -> bool {
        match sender {
            SenderStatus::Member => self.members.try_take(now),
            SenderStatus::Unknown | SenderStatus::Unconfirmed => self.non_members.try_take(now),
        }
    }

    /// Returns whether a table page or a comparison may be sent in response to a request, and
    /// counts it.
    pub(crate) fn try_answer_table_request(&mut self, now: Timestamp) -> bool {
        self.table_responses.try_take(now)
    }
}
