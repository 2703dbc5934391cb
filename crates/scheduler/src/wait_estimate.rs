//! Estimated waits as reported to clients, calibrated by the errors of earlier estimates.

use admission::interface::TimeDelta;

use crate::histogram::DecayingHistogram;

/// An estimated wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// The median of the estimated wait.
    pub median: TimeDelta,
    /// The 90th percentile of the estimated wait.
    pub p90: TimeDelta,
}

/// The errors of earlier estimates of one query class. They are steady enough to correct later
/// estimates.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitCalibration {
    /// The ratio of the actual wait to the one expected from the work ahead.
    ratios: DecayingHistogram,
    /// Actual waits, in seconds, of statements with no expected wait.
    unqueued_waits: DecayingHistogram,
}

impl WaitCalibration {
    /// Below this expected wait, in seconds, no ratio is recorded, because it would mostly reflect
    /// the resolution of the clock.
    const MIN_EXPECTED_S: f64 = 0.01;
    /// A 90th percentile of unqueued waits up to this value, in seconds, is reported as zero.
    const NEGLIGIBLE_S: f64 = 2e-3;
    /// The ratio of the 90th percentile to the expected wait until enough waits were recorded.
    const DEFAULT_P90_RATIO: f64 = 2.0;
    /// The bounds of the correction of the median.
    const MEDIAN_RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);
    /// The upper bound of the correction of the 90th percentile.
    const MAX_P90_RATIO: f64 = 16.0;

    /// The estimate for a statement whose expected wait, from the work ahead of it, is `expected_s`
    /// seconds.
    pub(crate) fn estimate(&self, expected_s: f64) -> WaitEstimate {
        if expected_s < Self::MIN_EXPECTED_S {
            return self.estimate_unqueued(expected_s);
        }
        let median_ratio = self.ratios.quantile(0.5).unwrap_or(1.0);
        let p90_ratio = self.ratios.quantile(0.9).unwrap_or(Self::DEFAULT_P90_RATIO);
        let (lowest, highest) = Self::MEDIAN_RATIO_BOUNDS;
        let median_s = expected_s * median_ratio.clamp(lowest, highest);
        let p90_s = (expected_s * p90_ratio.min(Self::MAX_P90_RATIO)).max(median_s);
        WaitEstimate {
            median: TimeDelta::from_secs(median_s),
            p90: TimeDelta::from_secs(p90_s),
        }
    }

    fn estimate_unqueued(&self, expected_s: f64) -> WaitEstimate {
        let p90_s = self
            .unqueued_waits
            .quantile(0.9)
            .filter(|p90_s| *p90_s > Self::NEGLIGIBLE_S)
            .unwrap_or(0.0);
        WaitEstimate {
            median: TimeDelta::from_secs(expected_s),
            p90: TimeDelta::from_secs(p90_s.max(expected_s)),
        }
    }

    /// Records the end of a wait that was expected to take `expected_s` seconds.
    pub(crate) fn record(&mut self, expected_s: f64, actual: TimeDelta) {
        if expected_s < Self::MIN_EXPECTED_S {
            self.unqueued_waits.record(actual.secs());
        } else {
            self.ratios.record(actual.secs() / expected_s);
        }
    }
}
