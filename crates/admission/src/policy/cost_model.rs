//! Predicts the CPU of a statement: the client's estimate times the ratio learned for its fingerprint.
//!
//! The fingerprint is the query class with the table group. True CPU and estimate are each smoothed, and the ratio is
//! that of the smoothed values.

use std::collections::BTreeMap;

use crate::interface::{ClassId, Statement, TableGroupId, TimeDelta};

use super::statistics::median;

/// Weight of the newest observation in a fingerprint's smoothed CPU and estimate; the design's.
const SMOOTHING: f64 = 0.4;
/// One outcome counts as at most this many times its prediction, or a single bad plan would reject the statements of
/// its table group that would finish.
const MAX_SURPRISE: f64 = 3.0;
/// Fingerprints that are kept; past it the one learned from longest ago is forgotten.
const MAX_FINGERPRINTS: usize = 512;
/// The least and the most that a prediction can be, in CPU seconds.
const PREDICTION_RANGE_S: (f64, f64) = (1e-4, 1e5);
/// The least that an outcome counts as, in CPU seconds: ratios stay above zero.
const MIN_OBSERVED_S: f64 = 1e-5;
/// The estimate of a statement that comes without one: its ratio is then the smoothed CPU itself.
const DEFAULT_ESTIMATE_S: f64 = 1.0;
/// The most that one outcome adds to its class's usual CPU, in CPU seconds.
const MAX_USUAL_S: f64 = 1e4;
/// A class's usual CPU is the mean of about this many outcomes, less one.
const USUAL_OUTCOMES: f64 = 199.0;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fingerprint {
    class: ClassId,
    group: TableGroupId,
}

/// What outcomes of one fingerprint told, in CPU seconds.
struct LearnedCost {
    cpu_s: f64,
    estimate_s: f64,
    /// The value of [`CostModel::outcomes`] when it last learned.
    last_learned: u64,
}

impl LearnedCost {
    fn ratio(&self) -> f64 {
        self.cpu_s / self.estimate_s
    }
}

/// A mean that gives each of the latest outcomes the same weight.
#[derive(Clone, Copy, Default)]
struct SlowMean {
    mean: f64,
    outcomes: f64,
}

impl SlowMean {
    fn record(&mut self, value: f64) {
        self.mean += (value - self.mean) / (self.outcomes + 1.0);
        self.outcomes = (self.outcomes + 1.0).min(USUAL_OUTCOMES);
    }
}

/// Predicts CPU seconds by fingerprint.
pub(super) struct CostModel {
    fingerprints: BTreeMap<Fingerprint, LearnedCost>,
    /// Mean true CPU by class: the usual work, for engines in slow start.
    usual_cpu_s: Vec<SlowMean>,
    /// Outcomes that it learned from.
    outcomes: u64,
}

impl CostModel {
    pub(super) fn new(classes: usize) -> Self {
        CostModel {
            fingerprints: BTreeMap::new(),
            usual_cpu_s: vec![SlowMean::default(); classes],
            outcomes: 0,
        }
    }

    /// Predicted CPU seconds. A fingerprint without outcomes borrows the others' median ratio, of the same class if
    /// there are any: how far estimates lie off depends on the class most.
    pub(super) fn predict(&self, statement: &Statement) -> f64 {
        let ratio = self
            .fingerprints
            .get(&fingerprint(statement))
            .map(LearnedCost::ratio)
            .or_else(|| self.median_ratio(|known| known.class == statement.class))
            .or_else(|| self.median_ratio(|_| true))
            .unwrap_or(1.0);
        let (least, most) = PREDICTION_RANGE_S;
        (estimate_s(statement) * ratio).clamp(least, most)
    }

    fn median_ratio(&self, counts: impl Fn(&Fingerprint) -> bool) -> Option<f64> {
        let known = self.fingerprints.iter();
        let counted = known.filter(|(fingerprint, _)| counts(fingerprint));
        median(counted.map(|(_, cost)| cost.ratio()).collect())
    }

    /// Learns from a completed statement that was predicted to take `predicted_s` and took `cpu_s`.
    pub(super) fn learn(&mut self, statement: &Statement, predicted_s: f64, cpu_s: f64) {
        let is_first = self.fingerprints.is_empty();
        let limited_s = if is_first {
            cpu_s
        } else {
            cpu_s.min(predicted_s * MAX_SURPRISE)
        };
        self.outcomes += 1;
        self.learn_fingerprint(statement, limited_s.max(MIN_OBSERVED_S));
        self.usual_cpu_s[statement.class.0].record(cpu_s.min(MAX_USUAL_S));
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
        cost.cpu_s += SMOOTHING * (observed_s - cost.cpu_s);
        cost.estimate_s += SMOOTHING * (estimate_s - cost.estimate_s);
        cost.last_learned = self.outcomes;
    }

    fn forget_oldest(&mut self) {
        let known = self.fingerprints.iter();
        let oldest = known.min_by_key(|(_, cost)| cost.last_learned);
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.fingerprints.remove(&fingerprint);
        }
    }

    /// Mean CPU seconds of a class's completed statements; 0 before the first.
    pub(super) fn usual_cpu_s(&self, class: ClassId) -> f64 {
        self.usual_cpu_s[class.0].mean
    }

    /// The mean over the classes of [`CostModel::usual_cpu_s`].
    pub(super) fn usual_cpu_of_any_class_s(&self) -> f64 {
        let sum: f64 = self.usual_cpu_s.iter().map(|usual| usual.mean).sum();
        sum / self.usual_cpu_s.len() as f64
    }
}

fn fingerprint(statement: &Statement) -> Fingerprint {
    Fingerprint {
        class: statement.class,
        group: statement.group,
    }
}

fn estimate_s(statement: &Statement) -> f64 {
    let told = statement.estimate.map(TimeDelta::secs);
    told.filter(|seconds| *seconds > 0.0)
        .unwrap_or(DEFAULT_ESTIMATE_S)
}
