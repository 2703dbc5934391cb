//! A histogram that forgets, bounded whatever it sees.

/// Counts of positive values in buckets that grow by a tenth each; older values weigh ever less.
#[derive(Clone, Debug)]
pub(crate) struct DecayingHistogram {
    counts: Vec<f64>,
    total: f64,
}

impl DecayingHistogram {
    /// Ratio of a bucket's bounds.
    const GROWTH: f64 = 1.1;
    /// Lower bound of the first bucket; smaller values count there.
    const LOWEST: f64 = 1e-3;
    /// Larger values than the last bucket's bound, about a thousand, count there.
    const BUCKETS: usize = 145;
    /// About so many of the last values count.
    const MEMORY: f64 = 300.0;
    /// Without so many values no quantile is given.
    const MIN_TOTAL: f64 = 12.0;
    /// The counts are scaled down when their total passes this ...
    const RESCALE_ABOVE: f64 = 1e12;
    /// ... by this.
    const RESCALE_DIVISOR: f64 = 1e9;

    pub(crate) fn new() -> Self {
        DecayingHistogram {
            counts: vec![0.0; Self::BUCKETS],
            total: 0.0,
        }
    }

    pub(crate) fn record(&mut self, value: f64) {
        let ratio = value.max(Self::LOWEST) / Self::LOWEST;
        let bucket = (ratio.ln() / Self::GROWTH.ln()) as usize;
        // Growing increments have the same effect as decaying all counts.
        let increment = (self.total / Self::MEMORY).max(1.0);
        self.counts[bucket.min(Self::BUCKETS - 1)] += increment;
        self.total += increment;
        if self.total > Self::RESCALE_ABOVE {
            for count in &mut self.counts {
                *count /= Self::RESCALE_DIVISOR;
            }
            self.total /= Self::RESCALE_DIVISOR;
        }
    }

    /// The value that this fraction of those seen lies under; none until enough were seen.
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
        Some(Self::LOWEST * Self::GROWTH.powf(bucket as f64 + within_bucket))
    }
}

impl Default for DecayingHistogram {
    fn default() -> Self {
        Self::new()
    }
}
