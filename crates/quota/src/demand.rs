//! Estimates a gateway's demand for a budget, in units per second, from the amounts that it
//! requested so far.

use admission::interface::Timestamp;

/// The time constants, in seconds, of the moving averages. The estimate uses the shortest window
/// that contains enough requests: frequent requests make a change visible soon, and sparse ones do
/// not make the shares fluctuate at random.
///
/// A single 2 s window reacts too slowly: when load moved to another gateway, only 0.51 of the
/// budget was in use there. A single 0.4 s window is too noisy: the shares of 200 gateways jumped
/// with single statements, and each reduction discarded saved tokens (a service level of 0.77
/// instead of 0.81).
const WINDOWS_S: [f64; 4] = [0.4, 0.8, 3.0, 8.0];
/// The index in [`WINDOWS_S`] of the window that operators are shown.
const STATUS_WINDOW_INDEX: usize = 2;
/// The number of requests that a window must contain for its average to be used.
const MIN_REQUESTS_IN_WINDOW: f64 = 8.0;

/// The exponentially decaying averages of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Averages {
    /// The requested amount per second in the budget's unit, whether or not it could be spent.
    amount_per_s: f64,
    /// The number of requests per second.
    requests_per_s: f64,
}

/// An estimate of the demand for one budget at one gateway.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    averages: [Averages; WINDOWS_S.len()],
    updated: Timestamp,
}

impl DemandEstimator {
    /// An estimate of zero demand.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        DemandEstimator {
            averages: [Averages::default(); WINDOWS_S.len()],
            updated: now,
        }
    }

    /// Records a request for `amount` units at `now`, whether or not they can be spent.
    pub fn record(&mut self, now: Timestamp, amount: f64) {
        let elapsed_s = (now - self.updated).secs().max(0.0);
        self.updated = self.updated.max(now);
        let requests = if amount > 0.0 { 1.0 } else { 0.0 };
        for (averages, window_s) in self.averages.iter_mut().zip(WINDOWS_S) {
            let decay = (-elapsed_s / window_s).exp();
            averages.amount_per_s = averages.amount_per_s * decay + amount / window_s;
            averages.requests_per_s = averages.requests_per_s * decay + requests / window_s;
        }
    }

    /// Lets the averages decay until `now`.
    pub fn decay(&mut self, now: Timestamp) {
        self.record(now, 0.0);
    }

    /// Replaces the estimate with a rate that the caller determined by other means.
    pub fn set(&mut self, now: Timestamp, amount_per_s: f64) {
        self.averages = [Averages {
            amount_per_s,
            requests_per_s: f64::INFINITY,
        }; WINDOWS_S.len()];
        self.updated = now;
    }

    /// The estimated demand in units per second: the larger average of the shortest window that
    /// contains enough requests and of the next longer one. A rising demand is thus visible soon,
    /// and a short pause does not count as the end of the demand.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        let has_enough_requests = |(averages, window_s): (&Averages, f64)| {
            averages.requests_per_s * window_s >= MIN_REQUESTS_IN_WINDOW
        };
        let longest = WINDOWS_S.len() - 1;
        let shortest = self
            .averages
            .iter()
            .zip(WINDOWS_S)
            .position(has_enough_requests)
            .unwrap_or(longest);
        let next_longer = (shortest + 1).min(longest);
        self.averages[shortest..=next_longer]
            .iter()
            .map(|averages| averages.amount_per_s)
            .fold(0.0, f64::max)
    }

    /// The average demand over the last few seconds in units per second, as shown to operators.
    #[must_use]
    pub fn recent_per_second(&self, now: Timestamp) -> f64 {
        let elapsed_s = (now - self.updated).secs().max(0.0);
        self.averages[STATUS_WINDOW_INDEX].amount_per_s
            * (-elapsed_s / WINDOWS_S[STATUS_WINDOW_INDEX]).exp()
    }
}
