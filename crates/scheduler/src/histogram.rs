//! A histogram of fixed size whose values decay.

/// Counts of positive values in exponential buckets. The weight of a value decays as more values
/// are recorded.
#[derive(Clone, Debug)]
pub(crate) struct DecayingHistogram {
    counts: Vec<f64>,
    total: f64,
}

impl DecayingHistogram {
    /// The ratio of the bounds of a bucket.
    const GROWTH: f64 = 1.1;
    /// The lower bound of the first bucket, which also counts smaller values.
    const FIRST_BUCKET_BOUND: f64 = 1e-3;
    /// The number of buckets. The last one ends at about 1000 and also counts larger values.
    const BUCKETS: usize = 145;
    /// The approximate number of recent values that determine the quantiles.
    const EFFECTIVE_VALUES: f64 = 300.0;
    /// The number of values below which no quantile is returned.
    const MIN_TOTAL: f64 = 12.0;
    /// The counts are scaled down when their total exceeds this value.
    const RESCALE_ABOVE: f64 = 1e12;
    /// The divisor by which the counts are then scaled down.
    const RESCALE_DIVISOR: f64 = 1e9;

    pub(crate) fn new() -> Self {
        DecayingHistogram {
            counts: vec![0.0; Self::BUCKETS],
            total: 0.0,
        }
    }

    pub(crate) fn record(&mut self, value: f64) {
        let ratio = value.max(Self::FIRST_BUCKET_BOUND) / Self::FIRST_BUCKET_BOUND;
        let bucket = (ratio.ln() / Self::GROWTH.ln()) as usize;
        // Increasing the increment has the same effect as decaying all counts.
        let increment = (self.total / Self::EFFECTIVE_VALUES).max(1.0);
        self.counts[bucket.min(Self::BUCKETS - 1)] += increment;
        self.total += increment;
        if self.total > Self::RESCALE_ABOVE {
            for count in &mut self.counts {
                *count /= Self::RESCALE_DIVISOR;
            }
            self.total /= Self::RESCALE_DIVISOR;
        }
    }

    /// The quantile at this fraction, or `None` until enough values were recorded.
    pub(crate) fn quantile(&self, fraction: f64) -> Option<f64> {
        if self.total < Self::MIN_TOTAL {
            return None;
        }
        let mut below = fraction.clamp(0.0, 1.0) * self.total;
        let mut bucket = 0;
        while bucket + 1 < Self::BUCKETS && below >= self.counts[bucket] {
            below -= self.counts[bucket];
            bucket += 1;
        }
        let within_bucket = if self.counts[bucket] > 0.0 {
            (below / self.counts[bucket]).clamp(0.0, 1.0)
        } else {
            0.5
        };
        Some(Self::FIRST_BUCKET_BOUND * Self::GROWTH.powf(bucket as f64 + within_bucket))
    }
}

impl Default for DecayingHistogram {
    fn default() -> Self {
        Self::new()
    }
}
