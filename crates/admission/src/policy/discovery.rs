//! Schedules the requests for the list of engines, if the discovery service sends it only on
//! request.

use rand::{Rng, RngExt};

use crate::interface::{DiscoveryMode, DiscoveryRequest, Timestamp};

/// Upper bound of the time after which an unanswered request is repeated, as a fraction of the
/// interval that the settings state.
const MAX_DELAY_FRACTION: f64 = 0.4;
/// Time from a failed request to the next one, in seconds.
const FAILURE_RETRY_DELAY_S: f64 = 0.5;
/// Minimum factor by which the delay grows with each repeat. A random amount of up to 1 is added,
/// so that gateways that lost their watch at the same time do not all request together.
const MIN_BACKOFF_FACTOR: f64 = 1.5;

/// Decides when to request the list of engines.
pub(super) struct DiscoveryRequester {
    mode: DiscoveryMode,
    /// When the last request was sent or failed; `None` before the first one.
    last_request: Option<Timestamp>,
    /// Delay until the request is repeated, in seconds; 0 if it was answered.
    retry_delay_s: f64,
}

impl DiscoveryRequester {
    pub(super) fn new(mode: DiscoveryMode) -> Self {
        DiscoveryRequester {
            mode,
            last_request: None,
            retry_delay_s: 0.0,
        }
    }

    /// Handles an answer, after which the request is not repeated.
    pub(super) fn on_answer(&mut self) {
        self.retry_delay_s = 0.0;
    }

    /// Handles a failed request, which is repeated after a short delay.
    pub(super) fn on_failure(&mut self, now: Timestamp) {
        self.last_request = Some(now);
        self.retry_delay_s = FAILURE_RETRY_DELAY_S;
    }

    /// Returns the request that is due now, if any.
    pub(super) fn request_due(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<DiscoveryRequest> {
        if !self.mode.on_request || !self.is_due(now) {
            return None;
        }
        let max_delay_s = self.mode.request_within.secs() * MAX_DELAY_FRACTION;
        let jitter: f64 = rng.random();
        let retry_delay_s = if self.last_request.is_none() {
            max_delay_s
        } else {
            self.retry_delay_s * (MIN_BACKOFF_FACTOR + jitter)
        };
        self.last_request = Some(now);
        self.retry_delay_s = retry_delay_s.min(max_delay_s);
        Some(DiscoveryRequest::Watch)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.last_request.is_none_or(|last| {
            let is_unanswered = self.retry_delay_s > 0.0;
            is_unanswered && (now - last).secs() >= self.retry_delay_s
        })
    }
}
