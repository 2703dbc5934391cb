//! How long a statement will wait: by the work ahead of it and the rate at which such work was released, corrected by
//! how earlier estimates turned out.

use admission::interface::{TimeDelta, Timestamp};

use crate::config::SubQueueId;
use crate::rate::RateEstimator;
use crate::wait_estimate::{WaitCalibration, WaitEstimate};

/// CPU seconds a second that a core is taken to release until releases were seen.
const PRIOR_RATE_PER_CORE: f64 = 0.7;
/// Bounds of the part that a sub-queue is taken to get of all releases until its own were seen.
const PRIOR_FRACTION_BOUNDS: (f64, f64) = (0.01, 1.0);
/// Least rate, in CPU seconds a second.
const MIN_RATE: f64 = 1e-3;
/// Longest wait that is expected, in seconds.
const MAX_WAIT_S: f64 = 3600.0;
/// Part of a statement's own cost that counts as work ahead of it.
const OWN_WORK_PART: f64 = 0.5;
/// Weight of the newest statement in the typical cost of its class.
const TYPICAL_COST_WEIGHT: f64 = 0.05;
/// Cores before the first round.
const INITIAL_CORES: f64 = 1.0;
/// Lesser differences of the cores are rounding.
const CORES_RESOLUTION: f64 = 1e-9;

/// Rates at which the work of a sub-queue was released.
struct SubQueueRates {
    by_class: Vec<RateEstimator>,
    all: RateEstimator,
}

impl SubQueueRates {
    fn new(now: Timestamp, classes: usize) -> Self {
        SubQueueRates {
            by_class: vec![RateEstimator::new(now); classes],
            all: RateEstimator::new(now),
        }
    }
}

/// Release rates, typical costs and calibrations: all that estimates rest on.
pub(crate) struct WaitForecaster {
    classes: usize,
    /// Cores of the engines in use, as this gateway's share.
    cores: f64,
    total: RateEstimator,
    sub_queues: Vec<SubQueueRates>,
    /// By class.
    calibrations: Vec<WaitCalibration>,
    /// CPU seconds of the usual statement, by class; zero before the first.
    typical_cpu: Vec<f64>,
}

impl WaitForecaster {
    pub(crate) fn new(now: Timestamp, sub_queues: usize, classes: usize) -> Self {
        let mut forecaster = WaitForecaster {
            classes,
            cores: INITIAL_CORES,
            total: RateEstimator::new(now),
            sub_queues: Vec::new(),
            calibrations: vec![WaitCalibration::default(); classes],
            typical_cpu: vec![0.0; classes],
        };
        forecaster.relayout(now, sub_queues, std::iter::empty());
        forecaster
    }

    /// Other sub-queues; `kept`: the earlier and the new number of those that stay, with their rates.
    pub(crate) fn relayout(
        &mut self,
        now: Timestamp,
        sub_queues: usize,
        kept: impl Iterator<Item = (SubQueueId, SubQueueId)>,
    ) {
        let new = (0..sub_queues).map(|_| SubQueueRates::new(now, self.classes));
        let mut old = std::mem::replace(&mut self.sub_queues, new.collect());
        for (from, to) in kept {
            std::mem::swap(&mut self.sub_queues[to.index()], &mut old[from.index()]);
        }
    }

    /// The cores from now on. `waiting`: sub-queues where something waits; their time up to now passed with the cores
    /// of before.
    pub(crate) fn set_cores(
        &mut self,
        now: Timestamp,
        cores: f64,
        waiting: impl Iterator<Item = SubQueueId>,
    ) {
        let changed = (cores - self.cores).abs() > CORES_RESOLUTION;
        if !changed {
            return;
        }
        let before = std::mem::replace(&mut self.cores, cores);
        for sub_queue in waiting {
            let rates = &mut self.sub_queues[sub_queue.index()];
            for rate in &mut rates.by_class {
                rate.advance(now, before);
            }
            rates.all.advance(now, before);
        }
        self.total.advance(now, before);
    }

    pub(crate) fn start_class(&mut self, now: Timestamp, sub_queue: SubQueueId, class: usize) {
        self.sub_queues[sub_queue.index()].by_class[class].start_waiting(now, self.cores);
    }

    pub(crate) fn stop_class(&mut self, now: Timestamp, sub_queue: SubQueueId, class: usize) {
        self.sub_queues[sub_queue.index()].by_class[class].stop_waiting(now, self.cores);
    }

    pub(crate) fn start_sub_queue(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        self.sub_queues[sub_queue.index()]
            .all
            .start_waiting(now, self.cores);
    }

    pub(crate) fn stop_sub_queue(&mut self, now: Timestamp, sub_queue: SubQueueId) {
        self.sub_queues[sub_queue.index()]
            .all
            .stop_waiting(now, self.cores);
    }

    pub(crate) fn start_total(&mut self, now: Timestamp) {
        self.total.start_waiting(now, self.cores);
    }

    pub(crate) fn stop_total(&mut self, now: Timestamp) {
        self.total.stop_waiting(now, self.cores);
    }

    /// A statement came: the typical cost of its class follows.
    pub(crate) fn record_arrival(&mut self, class: usize, cpu: f64) {
        let typical = &mut self.typical_cpu[class];
        *typical = if *typical > 0.0 {
            *typical + (cpu - *typical) * TYPICAL_COST_WEIGHT
        } else {
            cpu
        };
    }

    /// A statement that had waited was released.
    pub(crate) fn record_release(
        &mut self,
        now: Timestamp,
        sub_queue: SubQueueId,
        class: usize,
        cpu: f64,
    ) {
        let rates = &mut self.sub_queues[sub_queue.index()];
        rates.by_class[class].record_release(now, self.cores, cpu);
        rates.all.record_release(now, self.cores, cpu);
        self.total.record_release(now, self.cores, cpu);
    }

    /// A wait that was expected to be so long ended.
    pub(crate) fn record_wait(&mut self, class: usize, expected_s: f64, actual: TimeDelta) {
        self.calibrations[class].record(expected_s, actual);
    }

    /// CPU seconds of the usual statement of a class; zero where none came yet.
    pub(crate) fn typical_cpu(&self, class: usize) -> f64 {
        self.typical_cpu[class]
    }

    /// Whether releases of the class were seen at the sub-queue, enough to tell its rate.
    pub(crate) fn has_observed(
        &mut self,
        now: Timestamp,
        sub_queue: SubQueueId,
        class: usize,
    ) -> bool {
        self.sub_queues[sub_queue.index()].by_class[class]
            .observed(now, self.cores)
            .is_some()
    }

    /// CPU seconds a second released of late at a sub-queue while something waited there; none: too little was seen.
    pub(crate) fn observed_rate(&mut self, now: Timestamp, sub_queue: SubQueueId) -> Option<f64> {
        self.sub_queues[sub_queue.index()]
            .all
            .observed(now, self.cores)
    }

    /// Seconds until a statement of this cost would leave that has so much work ahead of it in its class queue.
    /// `budget_fraction`: its sub-queue's budget as a fraction of all.
    pub(crate) fn expected_wait_s(
        &mut self,
        now: Timestamp,
        sub_queue: SubQueueId,
        class: usize,
        cpu_ahead: f64,
        cpu: f64,
        budget_fraction: f64,
    ) -> f64 {
        let cores = self.cores;
        let total_rate = self.total.rate(now, cores, cores * PRIOR_RATE_PER_CORE);
        // Where nothing waited of late, its part of all releases is the best estimate there is.
        let (lowest, highest) = PRIOR_FRACTION_BOUNDS;
        let prior = total_rate * budget_fraction.clamp(lowest, highest);
        let rates = &mut self.sub_queues[sub_queue.index()];
        let sub_queue_rate = rates.all.rate(now, cores, prior);
        let class_rate = rates.by_class[class].rate(now, cores, sub_queue_rate);
        ((cpu_ahead + OWN_WORK_PART * cpu) / class_rate.max(MIN_RATE)).min(MAX_WAIT_S)
    }

    /// The estimate for a statement of this class that is expected to wait so long.
    pub(crate) fn estimate(&self, class: usize, expected_s: f64) -> WaitEstimate {
        self.calibrations[class].estimate(expected_s)
    }
}
