//! Divides the cores among the query classes. Predicted demand is served in descending order of
//! priority weight per CPU second, so that a shortage falls on heavy statements.

use crate::interface::{ClassId, Timestamp};

/// Time constant of the exponential smoothing of demand, in seconds.
const SMOOTHING_S: f64 = 5.0;
/// Number of cost bands of a class. The statements of a band cost about twice as much as those of
/// the band before.
const COST_BANDS: usize = 16;
/// Offset from the base-2 logarithm of a statement's CPU seconds to its band index. The first band
/// ends at 1/64 CPU second.
const BAND_INDEX_OFFSET: f64 = 7.0;
/// Bands with less demand than this are ignored, in CPU seconds per second.
const MIN_BAND_CPU_RATE: f64 = 1e-6;
/// Minimum share of a class. The first statement of a class after a pause must find some tokens.
const MIN_SHARE: f64 = 0.02;
/// Capacity is taken to be at least the recently completed CPU rate times this factor. While a peer
/// gateway is away, this gateway carries more than its share of the cores.
const COMPLETED_HEADROOM: f64 = 1.2;
/// Fraction of the cutoff value that a statement has to reach. It is below 1 so that rounding does
/// not exclude the class that sets the cutoff.
const CUTOFF_TOLERANCE: f64 = 0.999;

/// Demand of statements of similar cost.
#[derive(Clone, Copy, Default)]
struct Band {
    /// Predicted CPU demand, in CPU seconds per second.
    cpu_rate: f64,
    /// Priority weight of the received statements, per second.
    weight_rate: f64,
}

/// Demand of one class, and the share that the class is given.
#[derive(Clone, Default)]
struct ClassDemand {
    /// Predicted CPU demand, in CPU seconds per second.
    cpu_rate: f64,
    /// Priority weight of the received statements, per second.
    weight_rate: f64,
    /// The class's share of each engine's cores.
    share: f64,
    /// Demand within the tenants' quotas, by cost band.
    bands: [Band; COST_BANDS],
}

impl ClassDemand {
    fn decay(&mut self, decay_factor: f64) {
        for band in &mut self.bands {
            band.cpu_rate *= decay_factor;
            band.weight_rate *= decay_factor;
        }
        self.cpu_rate *= decay_factor;
        self.weight_rate *= decay_factor;
    }
}

/// A cost band of one class, ranked among the bands of all classes.
struct RankedBand {
    class: usize,
    cpu_rate: f64,
    /// Priority weight per CPU second.
    value: f64,
}

/// A received statement, as it counts towards demand.
pub(super) struct Arrival {
    pub(super) class: ClassId,
    /// Predicted CPU time, in seconds.
    pub(super) predicted_s: f64,
    pub(super) priority_weight: f64,
    /// The statement is over a quota, so it does not count when cores are allocated.
    pub(super) over_quota: bool,
}

/// The demand and the shares of all classes.
pub(super) struct Demand {
    classes: Vec<ClassDemand>,
    last_decay: Option<Timestamp>,
    /// CPU seconds per second that were recently completed.
    completed_cpu_rate: f64,
    /// Priority weight per CPU second of the band at which capacity runs out; 0 while capacity
    /// covers all demand.
    cutoff_value: f64,
}

impl Demand {
    /// Starts with even shares and no demand.
    pub(super) fn new(classes: usize) -> Self {
        let even = ClassDemand {
            share: 1.0 / classes.max(1) as f64,
            ..ClassDemand::default()
        };
        Demand {
            classes: vec![even; classes],
            last_decay: None,
            completed_cpu_rate: 0.0,
            cutoff_value: 0.0,
        }
    }

    /// Returns the fraction of each engine's cores that the class may use.
    pub(super) fn share(&self, class: ClassId) -> f64 {
        self.classes[class.0].share
    }

    /// Returns the shares of all classes, in class order.
    pub(super) fn shares(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|class| class.share)
    }

    /// Returns the predicted demand of all classes in CPU seconds per second, in class order.
    pub(super) fn cpu_rates(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|class| class.cpu_rate)
    }

    /// Returns the mean predicted CPU time of the class's recent statements, in seconds.
    /// `priority_weight` is the weight of one of its statements.
    pub(super) fn mean_cpu_s(&self, class: ClassId, priority_weight: f64) -> f64 {
        let demand = &self.classes[class.0];
        let statements = demand.weight_rate / priority_weight.max(1e-6);
        demand.cpu_rate / statements.max(1e-6)
    }

    /// Returns whether a statement is worth its CPU time while capacity is short: whether its
    /// priority weight per CPU second reaches the cutoff value.
    pub(super) fn meets_cutoff(&self, priority_weight: f64, predicted_s: f64) -> bool {
        priority_weight / predicted_s >= self.cutoff_value * CUTOFF_TOLERANCE
    }

    /// Counts a received statement.
    pub(super) fn on_arrival(&mut self, now: Timestamp, arrival: &Arrival) {
        self.decay(now);
        let demand = &mut self.classes[arrival.class.0];
        let cpu_rate = arrival.predicted_s / SMOOTHING_S;
        let weight_rate = arrival.priority_weight / SMOOTHING_S;
        demand.cpu_rate += cpu_rate;
        demand.weight_rate += weight_rate;
        if !arrival.over_quota {
            let band = &mut demand.bands[band_index(arrival.predicted_s)];
            band.cpu_rate += cpu_rate;
            band.weight_rate += weight_rate;
        }
    }

    /// Counts a completed statement that took `cpu_s` CPU seconds.
    pub(super) fn on_completion(&mut self, cpu_s: f64) {
        self.completed_cpu_rate += cpu_s / SMOOTHING_S;
    }

    fn decay(&mut self, now: Timestamp) {
        let last = self.last_decay.replace(now).unwrap_or(now);
        let decay_factor = (-(now - last).secs() / SMOOTHING_S).exp();
        for class in &mut self.classes {
            class.decay(decay_factor);
        }
        self.completed_cpu_rate *= decay_factor;
    }

    /// Allocates `cores` to the bands in descending order of value. The value of the band at which
    /// the cores run out becomes the cutoff value.
    pub(super) fn allocate(&mut self, now: Timestamp, cores: f64) {
        self.decay(now);
        let bands = self.ranked_bands();
        let capacity = cores.max(self.completed_cpu_rate * COMPLETED_HEADROOM);
        let mut remaining = capacity;
        self.cutoff_value = 0.0;
        for class in &mut self.classes {
            class.share = 0.0;
        }
        for band in bands {
            self.classes[band.class].share += band.cpu_rate.min(remaining);
            let is_last = band.cpu_rate >= remaining && remaining > 0.0;
            if is_last {
                self.cutoff_value = band.value;
            }
            remaining = (remaining - band.cpu_rate).max(0.0);
        }
        let allocated = (capacity - remaining).max(1e-6);
        for class in &mut self.classes {
            class.share = (class.share / allocated).max(MIN_SHARE);
        }
    }

    fn ranked_bands(&self) -> Vec<RankedBand> {
        let classes = self.classes.iter().enumerate();
        let all = classes.flat_map(|(class, demand)| {
            demand.bands.map(|band| RankedBand {
                class,
                cpu_rate: band.cpu_rate,
                value: band.weight_rate / band.cpu_rate,
            })
        });
        let mut bands: Vec<RankedBand> = all
            .filter(|band| band.cpu_rate > MIN_BAND_CPU_RATE)
            .collect();
        bands.sort_by(|a, b| {
            let by_value = b.value.total_cmp(&a.value);
            by_value.then(a.class.cmp(&b.class))
        });
        bands
    }
}

fn band_index(predicted_s: f64) -> usize {
    let last = COST_BANDS as f64 - 1.0;
    (predicted_s.log2() + BAND_INDEX_OFFSET).clamp(0.0, last) as usize
}
