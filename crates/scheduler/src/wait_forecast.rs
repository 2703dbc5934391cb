//! Forecasts how long a statement will wait. The forecast is the work ahead of it divided by the
//! observed release rate, corrected by the errors of earlier estimates.

use admission::interface::{TimeDelta, Timestamp};

use crate::config::SubQueueId;
use crate::rate::RateEstimator;
use crate::wait_estimate::{WaitCalibration, WaitEstimate};

/// The assumed release rate per core until releases were observed, in CPU seconds per second.
const PRIOR_RATE_PER_CORE: f64 = 0.7;
/// The bounds of the fraction of all releases that a sub-queue is assumed to get until its own
/// releases were observed.
const PRIOR_FRACTION_BOUNDS: (f64, f64) = (0.01, 1.0);
/// The smallest rate used for a forecast, in CPU seconds per second.
const MIN_RATE: f64 = 1e-3;
/// The longest expected wait, in seconds.
const MAX_WAIT_S: f64 = 3600.0;
/// The fraction of a statement's own cost that counts as work ahead of it.
const OWN_WORK_FRACTION: f64 = 0.5;
/// The weight of the newest statement in the moving average of the cost of its class.
const TYPICAL_COST_WEIGHT: f64 = 0.05;
/// The assumed number of cores before the first round.
const INITIAL_CORES: f64 = 1.0;
/// Smaller differences in the number of cores are rounding errors.
const CORES_RESOLUTION: f64 = 1e-9;

/// The rates at which the work of a sub-queue was released.
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

/// The state behind all estimates: release rates, typical costs and calibrations.
pub(crate) struct WaitForecaster {
    classes: usize,
    /// This gateway's share of the cores of the engines in use.
    cores: f64,
    total: RateEstimator,
    sub_queues: Vec<SubQueueRates>,
    /// The calibrations by class.
    calibrations: Vec<WaitCalibration>,
    /// The CPU seconds of a typical statement, by class; zero before the first statement.
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
        forecaster.replace_sub_queues(now, sub_queues, std::iter::empty());
        forecaster
    }

    /// Replaces the sub-queues by new ones. `kept` holds the earlier and the new number of each
    /// sub-queue that remains and keeps its rates.
    pub(crate) fn replace_sub_queues(
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

    /// Sets the number of cores from now on. `waiting` holds the sub-queues with waiting
    /// statements, whose rates still account for the time up to now with the previous number of
    /// cores.
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

    /// Records the arrival of a statement in the typical cost of its class.
    pub(crate) fn record_arrival(&mut self, class: usize, cpu: f64) {
        let typical = &mut self.typical_cpu[class];
        *typical = if *typical > 0.0 {
            *typical + (cpu - *typical) * TYPICAL_COST_WEIGHT
        } else {
            cpu
        };
    }

    /// Records the release of a statement that had waited.
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

    /// Records the end of a wait that was expected to take `expected_s` seconds.
    pub(crate) fn record_wait(&mut self, class: usize, expected_s: f64, actual: TimeDelta) {
        self.calibrations[class].record(expected_s, actual);
    }

    /// The CPU seconds of a typical statement of a class; zero if none arrived yet.
    pub(crate) fn typical_cpu(&self, class: usize) -> f64 {
        self.typical_cpu[class]
    }

    /// Whether enough releases of the class were observed in the sub-queue to determine its rate.
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

    /// The recent release rate of a sub-queue while statements waited there, in CPU seconds per
    /// second. `None` if too little was observed.
    pub(crate) fn observed_rate(&mut self, now: Timestamp, sub_queue: SubQueueId) -> Option<f64> {
        self.sub_queues[sub_queue.index()]
            .all
            .observed(now, self.cores)
    }

    /// The expected time in seconds until a statement of this cost is released, with `cpu_ahead`
    /// CPU seconds ahead of it in its class queue. `budget_fraction` is the budget of its sub-queue
    /// as a fraction of the budgets of all tenants.
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
        // Where nothing has waited recently, the budget fraction of the total rate is the best
        // available estimate.
        let (lowest, highest) = PRIOR_FRACTION_BOUNDS;
        let prior = total_rate * budget_fraction.clamp(lowest, highest);
        let rates = &mut self.sub_queues[sub_queue.index()];
        let sub_queue_rate = rates.all.rate(now, cores, prior);
        let class_rate = rates.by_class[class].rate(now, cores, sub_queue_rate);
        ((cpu_ahead + OWN_WORK_FRACTION * cpu) / class_rate.max(MIN_RATE)).min(MAX_WAIT_S)
    }

    /// The estimate for a statement of this class with an expected wait of `expected_s` seconds.
    pub(crate) fn estimate(&self, class: usize, expected_s: f64) -> WaitEstimate {
        self.calibrations[class].estimate(expected_s)
    }
}
