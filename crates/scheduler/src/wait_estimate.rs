//! Waits as clients are told them, corrected by how earlier estimates turned out.

use admission::interface::TimeDelta;

use crate::histogram::DecayingHistogram;

/// An estimated wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WaitEstimate {
    /// The wait is as likely longer as shorter.
    pub median: TimeDelta,
    /// Nine of ten waits are no longer.
    pub p90: TimeDelta,
}

/// How estimates of one query class turned out: their error is steady enough to correct the next ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct WaitCalibration {
    /// Actual waits over those expected from the work ahead.
    ratios: DecayingHistogram,
    /// Actual waits in seconds, where nothing was ahead.
    unqueued_waits: DecayingHistogram,
}

impl WaitCalibration {
    /// Under this expected wait no ratio is formed: it would tell of the clock's resolution.
    const MIN_EXPECTED_S: f64 = 0.01;
    /// A 90th percentile of unqueued waits up to this counts as none.
    const NEGLIGIBLE_S: f64 = 2e-3;
    /// Ratio of the 90th percentile until enough was seen.
    const DEFAULT_P90_RATIO: f64 = 2.0;
    /// Bounds of the correction of the median.
    const MEDIAN_RATIO_BOUNDS: (f64, f64) = (0.25, 4.0);
    /// Bound of the correction of the 90th percentile.
    const MAX_P90_RATIO: f64 = 16.0;

    /// The estimate for a statement whose wait is expected to be so long by the work ahead of it.
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

    /// A wait that was expected to be so long ended.
    pub(crate) fn record(&mut self, expected_s: f64, actual: TimeDelta) {
        if expected_s < Self::MIN_EXPECTED_S {
            self.unqueued_waits.record(actual.secs());
        } else {
            self.ratios.record(actual.secs() / expected_s);
        }
    }
}
