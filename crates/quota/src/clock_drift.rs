//! Detects holders whose clocks drift further than the configuration allows, by comparing their clocks with the leader's.

use admission::interface::Timestamp;

use crate::config::Config;
use crate::message::{LeaseRequest, RequestId};

/// Clocks are compared over at least this time, so that the time that messages take does not matter.
const MIN_COMPARED_S: f64 = 15.0;
/// The most renewal intervals between two requests of a holder, with their jitter.
const MAX_RENEWALS_BETWEEN_REQUESTS: f64 = 1.25;

/// Both clocks at the receipt of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ClockSample {
    leader: Timestamp,
    holder_ms: u64,
}

/// A sample whose request is not yet known to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct UnconfirmedSample {
    request: RequestId,
    clocks: ClockSample,
}

/// The comparison of one holder's clock with the leader's.
///
/// A sample counts once the holder's next request shows that it received the answer: its request then took no longer than
/// the time between the two.
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

    /// Takes in the clock that a request carries.
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
        if leader_s < MIN_COMPARED_S {
            return;
        }
        let holder_s = (sample.holder_ms as f64 - baseline.holder_ms as f64) / 1e3;
        let drift_bound_s = leader_s * 2.0 * f64::from(config.drift_ppm) / 1e6;
        let delay_bound_s = config.renew_interval.secs() * MAX_RENEWALS_BETWEEN_REQUESTS;
        self.exceeds_bound = (holder_s - leader_s).abs() > drift_bound_s + delay_bound_s;
        self.baseline = Some(sample);
    }
}
