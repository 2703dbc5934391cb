//! When the list of engines is requested, where it comes only on request.

use rand::{Rng, RngExt};

use crate::interface::{DiscoveryMode, DiscoveryRequest, Timestamp};

/// A request is repeated within this part of the time that the settings state, until an answer comes.
const LONGEST_PAUSE: f64 = 0.4;
/// The pause after a request that failed, in seconds.
const PAUSE_AFTER_FAILURE_S: f64 = 0.5;
/// Each pause grows by at least this factor, and by chance up to one more: all gateways that lost their watch in the
/// same instant must not request together.
const MIN_GROWTH: f64 = 1.5;

pub(super) struct DiscoveryRequester {
    mode: DiscoveryMode,
    last_request: Option<Timestamp>,
    /// The request is repeated after this time, in seconds; 0: an answer came.
    pause_s: f64,
}

impl DiscoveryRequester {
    pub(super) fn new(mode: DiscoveryMode) -> Self {
        DiscoveryRequester {
            mode,
            last_request: None,
            pause_s: 0.0,
        }
    }

    pub(super) fn on_answer(&mut self) {
        self.pause_s = 0.0;
    }

    pub(super) fn on_failure(&mut self, now: Timestamp) {
        self.last_request = Some(now);
        self.pause_s = PAUSE_AFTER_FAILURE_S;
    }

    /// The request that is due now, if any.
    pub(super) fn request_due(
        &mut self,
        now: Timestamp,
        rng: &mut impl Rng,
    ) -> Option<DiscoveryRequest> {
        if !self.mode.on_request || !self.is_due(now) {
            return None;
        }
        let longest_s = self.mode.request_within.secs() * LONGEST_PAUSE;
        let chance: f64 = rng.random();
        let pause_s = if self.last_request.is_none() {
            longest_s
        } else {
            self.pause_s * (MIN_GROWTH + chance)
        };
        self.last_request = Some(now);
        self.pause_s = pause_s.min(longest_s);
        Some(DiscoveryRequest::Watch)
    }

    fn is_due(&self, now: Timestamp) -> bool {
        self.last_request.is_none_or(|last| {
            let is_unanswered = self.pause_s > 0.0;
            is_unanswered && (now - last).secs() >= self.pause_s
        })
    }
}
