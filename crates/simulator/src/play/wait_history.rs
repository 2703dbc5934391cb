//! Baseline wait estimators, with which the estimates of the scheduler are compared.

/// The weight of the previous value in the exponential moving average of the intervals between
/// releases.
const MEAN_WEIGHT: f64 = 0.9;
const INTERVAL_WEIGHT: f64 = 0.1;
const MAX_INTERVAL_S: f64 = 10.0;

/// Past waits of one query class in one queue of a gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WaitHistory {
    last_wait_s: f64,
    total_wait_s: f64,
    count: f64,
    last_release_s: f64,
    mean_interval_s: f64,
}

impl WaitHistory {
    /// Three estimates of a wait in seconds: the last wait, the mean wait, and the statements ahead
    /// times the mean interval between releases.
    pub(super) fn estimates(&self, statements_ahead: u32) -> [f64; 3] {
        let mean_wait_s = self.total_wait_s / self.count.max(1.0);
        [
            self.last_wait_s,
            mean_wait_s,
            f64::from(statements_ahead) * self.mean_interval_s,
        ]
    }

    /// Records that a statement was released after this wait.
    pub(super) fn record(&mut self, now_s: f64, wait_s: f64) {
        let interval_s = (now_s - self.last_release_s).min(MAX_INTERVAL_S);
        self.mean_interval_s = if self.count > 0.0 {
            self.mean_interval_s * MEAN_WEIGHT + interval_s * INTERVAL_WEIGHT
        } else {
            0.0
        };
        self.last_wait_s = wait_s;
        self.total_wait_s += wait_s;
        self.count += 1.0;
        self.last_release_s = now_s;
    }
}
