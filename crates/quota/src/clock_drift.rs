//! Detects holders whose clocks drift further than configured, by comparing their clocks with the
//! leader's.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::message::{LeaseRequest, RequestId};

/// The shortest time, in seconds, over which clocks are compared. Over a shorter time the variation
/// of message delays would outweigh the drift.
const MIN_COMPARISON_S: f64 = 15.0;
/// The longest time, in renewal intervals, between two requests of a holder, including jitter.
const MAX_RENEWALS_BETWEEN_REQUESTS: f64 = 1.25;

/// The readings of both clocks when one request is received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClockSample {
    /// The leader's clock.
    leader: Timestamp,
    /// The holder's clock in milliseconds, as the request reported it.
    holder_ms: u64,
}

/// A sample whose request is not yet known to have been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedSample {
    request: RequestId,
    clocks: ClockSample,
}

/// A comparison of one holder's clock with the leader's.
///
/// A sample is used once the holder's next request shows that the holder received the answer. This
/// bounds the delay of the sampled request by the time between the two requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClockComparison {
    baseline: Option<ClockSample>,
    unconfirmed: Option<UnconfirmedSample>,
    exceeds_bound: bool,
}

impl ClockComparison {
    /// Whether the holder's clock drifted further than allowed when it was last compared.
    #[must_use]
    pub fn exceeds_bound(&self) -> bool {
        self.exceeds_bound
    }

    /// Records the clock reading of a request, and compares the clocks if the request confirms the
    /// previous sample.
    pub fn observe(&mut self, now: Timestamp, request: &LeaseRequest, config: &Config) {
        let previous = self.unconfirmed.replace(UnconfirmedSample {
            request: request.request,
            clocks: ClockSample {
                leader: now,
                holder_ms: request.clock_ms,
            },
        });
        if let Some(previous) = previous
            && request.held_lease == Some(previous.request)
        {
            self.compare(previous.clocks, config);
        }
    }

    fn compare(&mut self, sample: ClockSample, config: &Config) {
        let baseline = *self.baseline.get_or_insert(sample);
        let leader_s = (sample.leader - baseline.leader).secs();
        if leader_s < MIN_COMPARISON_S {
            return;
        }
        let holder_s = (sample.holder_ms as f64 - baseline.holder_ms as f64) / 1e3;
        let drift_bound_s = leader_s * 2.0 * f64::from(config.drift_ppm) / 1e6;
        let delay_bound_s = config.renew_interval.secs() * MAX_RENEWALS_BETWEEN_REQUESTS;
        self.exceeds_bound = (holder_s - leader_s).abs() > drift_bound_s + delay_bound_s;
        self.baseline = Some(sample);
    }
}
