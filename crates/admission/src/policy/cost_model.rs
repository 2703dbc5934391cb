//! Cost prediction: predicts the CPU time of a statement as the client's estimate times the ratio
//! learned for its fingerprint.
//!
//! The fingerprint is the query class together with the table group. The actual CPU time and the
//! estimate are smoothed separately, and the ratio is that of the smoothed values.

use std::collections::BTreeMap;

use crate::interface::{ClassId, Statement, TableGroupId, TimeDelta};

use super::statistics::median;

/// Weight of the newest observation in a fingerprint's smoothed CPU time and estimate.
const SMOOTHING_WEIGHT: f64 = 0.4;
/// One outcome counts as at most this multiple of its prediction. Otherwise a single bad plan would
/// cause the rejection of statements of its table group that could finish.
const MAX_OUTCOME_RATIO: f64 = 3.0;
/// Number of fingerprints that are kept. Beyond it, the least recently updated one is dropped.
const MAX_FINGERPRINTS: usize = 512;
/// Lower and upper bound of a prediction, in CPU seconds.
const PREDICTION_RANGE_S: (f64, f64) = (1e-4, 1e5);
/// Lower bound of an outcome, in CPU seconds, which keeps ratios above zero.
const MIN_OBSERVED_S: f64 = 1e-5;
/// Estimate for a statement that comes without one, in CPU seconds. With 1, the learned ratio
/// equals the smoothed CPU time.
const DEFAULT_ESTIMATE_S: f64 = 1.0;
/// Upper bound of one outcome in the typical CPU time of its class, in CPU seconds.
const MAX_TYPICAL_OUTCOME_S: f64 = 1e4;
/// Upper bound of the outcome count in a [`RunningMean`], so that the newest outcome weighs at
/// least 1/200.
const MAX_MEAN_OUTCOMES: f64 = 199.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fingerprint {
    class: ClassId,
    group: TableGroupId,
}

/// The smoothed outcomes of one fingerprint, in CPU seconds.
struct LearnedCost {
    cpu_s: f64,
    estimate_s: f64,
    /// The value of [`CostModel::outcomes`] when the fingerprint was last updated.
    last_learned: u64,
}

impl LearnedCost {
    fn ratio(&self) -> f64 {
        self.cpu_s / self.estimate_s
    }
}

/// A mean of outcomes. It is exact up to [`MAX_MEAN_OUTCOMES`] outcomes and exponentially weighted
/// beyond.
#[derive(Clone, Copy, Default)]
struct RunningMean {
    mean: f64,
    outcomes: f64,
}

impl RunningMean {
    fn record(&mut self, value: f64) {
        self.mean += (value - self.mean) / (self.outcomes + 1.0);
        self.outcomes = (self.outcomes + 1.0).min(MAX_MEAN_OUTCOMES);
    }
}

/// Predicts the CPU time of statements by fingerprint.
pub(super) struct CostModel {
    fingerprints: BTreeMap<Fingerprint, LearnedCost>,
    /// Mean actual CPU time by class: the typical cost, which slow start and priorities use.
    typical_cpu_s: Vec<RunningMean>,
    /// Number of outcomes learned from.
    outcomes: u64,
}

impl CostModel {
    pub(super) fn new(classes: usize) -> Self {
        CostModel {
            fingerprints: BTreeMap::new(),
            typical_cpu_s: vec![RunningMean::default(); classes],
            outcomes: 0,
        }
    }

    /// Returns the predicted CPU time in seconds. A fingerprint without outcomes uses the median
    /// ratio of the known fingerprints of its class, or of all known fingerprints if its class has
    /// none: the error of estimates depends mostly on the class.
    pub(super) fn predict(&self, statement: &Statement) -> f64 {
        let ratio = self
            .fingerprints
            .get(&fingerprint(statement))
            .map(LearnedCost::ratio)
            .or_else(|| self.median_ratio(|known| known.class == statement.class))
            .or_else(|| self.median_ratio(|_| true))
            .unwrap_or(1.0);
        let (min_s, max_s) = PREDICTION_RANGE_S;
        (estimate_s(statement) * ratio).clamp(min_s, max_s)
    }

    /// Returns the median ratio of the fingerprints that `is_included` selects, or `None` if there
    /// are none.
    fn median_ratio(&self, is_included: impl Fn(&Fingerprint) -> bool) -> Option<f64> {
        let known = self.fingerprints.iter();
        let counted = known.filter(|(fingerprint, _)| is_included(fingerprint));
        median(counted.map(|(_, cost)| cost.ratio()).collect())
    }

    /// Learns from a completed statement that was predicted to take `predicted_s` CPU seconds and
    /// took `cpu_s`.
    pub(super) fn learn(&mut self, statement: &Statement, predicted_s: f64, cpu_s: f64) {
        let is_first_outcome = self.fingerprints.is_empty();
        let limited_s = if is_first_outcome {
            cpu_s
        } else {
            cpu_s.min(predicted_s * MAX_OUTCOME_RATIO)
        };
        self.outcomes += 1;
        self.learn_fingerprint(statement, limited_s.max(MIN_OBSERVED_S));
        self.typical_cpu_s[statement.class.0].record(cpu_s.min(MAX_TYPICAL_OUTCOME_S));
        if self.fingerprints.len() > MAX_FINGERPRINTS {
            self.forget_oldest();
        }
    }

    fn learn_fingerprint(&mut self, statement: &Statement, observed_s: f64) {
        let estimate_s = estimate_s(statement);
        let entry = self.fingerprints.entry(fingerprint(statement));
        let cost = entry.or_insert(LearnedCost {
            cpu_s: observed_s,
            estimate_s,
            last_learned: self.outcomes,
        });
        cost.cpu_s += SMOOTHING_WEIGHT * (observed_s - cost.cpu_s);
        cost.estimate_s += SMOOTHING_WEIGHT * (estimate_s - cost.estimate_s);
        cost.last_learned = self.outcomes;
    }

    fn forget_oldest(&mut self) {
        let known = self.fingerprints.iter();
        let oldest = known.min_by_key(|(_, cost)| cost.last_learned);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.fingerprints.remove(&fingerprint);
        }
    }

    /// Returns the mean CPU seconds of the class's completed statements, or 0 before the first one.
    pub(super) fn typical_cpu_s(&self, class: ClassId) -> f64 {
        self.typical_cpu_s[class.0].mean
    }

    /// Returns the mean of [`CostModel::typical_cpu_s`] over all classes.
    pub(super) fn mean_typical_cpu_s(&self) -> f64 {
        let sum: f64 = self.typical_cpu_s.iter().map(|typical| typical.mean).sum();
        sum / self.typical_cpu_s.len() as f64
    }
}

fn fingerprint(statement: &Statement) -> Fingerprint {
    Fingerprint {
        class: statement.class,
        group: statement.group,
    }
}

/// Returns the client's estimate in CPU seconds, or [`DEFAULT_ESTIMATE_S`] if it is missing or not
/// positive.
fn estimate_s(statement: &Statement) -> f64 {
    let client_estimate_s = statement.estimate.map(TimeDelta::secs);
    client_estimate_s
        .filter(|seconds| *seconds > 0.0)
        .unwrap_or(DEFAULT_ESTIMATE_S)
}
