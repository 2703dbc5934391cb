//! Divides the cores among the query classes: by predicted demand, the most priority weight per CPU second first, so
//! that a shortage falls on heavy work.

use crate::interface::{ClassId, Timestamp};

/// Demand is smoothed over this time, in seconds.
const SMOOTHING_S: f64 = 5.0;
/// Demand of a class is kept by bands of cost; a statement of one costs about twice that of the band before.
const BANDS: usize = 16;
/// The first band ends at 2 to the power of minus this, plus one, in CPU seconds.
const FIRST_BAND_LOG2: f64 = 7.0;
/// A band with less demand than this is left out, in CPU seconds a second.
const MIN_BAND_CPU: f64 = 1e-6;
/// The least share of a class: its first statement after a pause must find some tokens.
const MIN_SHARE: f64 = 0.02;
/// Capacity is at least what was lately completed, times this: a gateway whose peer is away carries more than its
/// share of the cores.
const COMPLETED_HEADROOM: f64 = 1.2;
/// Part of the price by which a class may fall short of it: rounding must not reject the class that sets it.
const PRICE_TOLERANCE: f64 = 0.999;

/// What statements of similar cost ask for.
#[derive(Clone, Copy, Default)]
struct Band {
    /// Predicted CPU seconds a second.
    cpu: f64,
    /// Priority weight a second.
    priority_weight: f64,
}

/// What statements of one class ask for, and what it is given.
#[derive(Clone, Default)]
struct ClassDemand {
    /// Predicted CPU seconds a second.
    cpu: f64,
    /// Priority weight a second.
    priority_weight: f64,
    /// The class's share of each engine.
    share: f64,
    /// Demand within tenants' quotas, by cost.
    bands: [Band; BANDS],
}

impl ClassDemand {
    fn decay(&mut self, kept: f64) {
        for band in &mut self.bands {
            band.cpu *= kept;
            band.priority_weight *= kept;
        }
        self.cpu *= kept;
        self.priority_weight *= kept;
    }
}

/// A band among those of all classes, as capacity is given out.
struct RankedBand {
    class: usize,
    cpu: f64,
    /// Priority weight per CPU second.
    value: f64,
}

/// A statement as it counts towards demand.
pub(super) struct Arrival {
    pub(super) class: ClassId,
    /// Predicted CPU, in seconds.
    pub(super) predicted_s: f64,
    pub(super) priority_weight: f64,
    /// Statements over a quota ask for no share.
    pub(super) over_quota: bool,
}

/// Demand and shares of all classes.
pub(super) struct Demand {
    classes: Vec<ClassDemand>,
    decayed: Option<Timestamp>,
    /// CPU seconds a second that were lately completed.
    completed_cpu: f64,
    /// The priority weight per CPU second at which capacity ends.
    price: f64,
}

impl Demand {
    /// Even shares.
    pub(super) fn new(classes: usize) -> Self {
        let even = ClassDemand {
            share: 1.0 / classes.max(1) as f64,
            ..ClassDemand::default()
        };
        Demand {
            classes: vec![even; classes],
            decayed: None,
            completed_cpu: 0.0,
            price: 0.0,
        }
    }

    /// Part of each engine's cores that a class may use.
    pub(super) fn share(&self, class: ClassId) -> f64 {
        self.classes[class.0].share
    }

    /// The shares of all classes, in their order.
    pub(super) fn shares(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|class| class.share)
    }

    /// The classes' predicted CPU seconds a second, in their order.
    pub(super) fn cpu(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().map(|class| class.cpu)
    }

    /// Predicted CPU seconds of a class's mean statement; `priority_weight` is that of one.
    pub(super) fn mean_cpu_s(&self, class: ClassId, priority_weight: f64) -> f64 {
        let demand = &self.classes[class.0];
        let statements = demand.priority_weight / priority_weight.max(1e-6);
        demand.cpu / statements.max(1e-6)
    }

    /// Whether a statement is worth its CPU while capacity is short.
    pub(super) fn pays_price(&self, priority_weight: f64, predicted_s: f64) -> bool {
        priority_weight / predicted_s >= self.price * PRICE_TOLERANCE
    }

    pub(super) fn on_arrival(&mut self, now: Timestamp, arrival: &Arrival) {
        self.decay(now);
        let demand = &mut self.classes[arrival.class.0];
        let cpu = arrival.predicted_s / SMOOTHING_S;
        let priority_weight = arrival.priority_weight / SMOOTHING_S;
        demand.cpu += cpu;
        demand.priority_weight += priority_weight;
        if !arrival.over_quota {
            let band = &mut demand.bands[band_index(arrival.predicted_s)];
            band.cpu += cpu;
            band.priority_weight += priority_weight;
        }
    }

    pub(super) fn on_completion(&mut self, cpu_s: f64) {
        self.completed_cpu += cpu_s / SMOOTHING_S;
    }

    fn decay(&mut self, now: Timestamp) {
        let last = self.decayed.replace(now).unwrap_or(now);
        let kept = (-(now - last).secs() / SMOOTHING_S).exp();
        for class in &mut self.classes {
            class.decay(kept);
        }
        self.completed_cpu *= kept;
    }

    /// Gives `cores` out to the bands, the most valuable first; the price is the value of the band at which they end.
    pub(super) fn divide(&mut self, now: Timestamp, cores: f64) {
        self.decay(now);
        let bands = self.ranked_bands();
        let capacity = cores.max(self.completed_cpu * COMPLETED_HEADROOM);
        let mut remaining = capacity;
        self.price = 0.0;
        for class in &mut self.classes {
            class.share = 0.0;
        }
        for band in bands {
            self.classes[band.class].share += band.cpu.min(remaining);
            let is_last = band.cpu >= remaining && remaining > 0.0;
            if is_last {
                self.price = band.value;
            }
            remaining = (remaining - band.cpu).max(0.0);
        }
        let given = (capacity - remaining).max(1e-6);
        for class in &mut self.classes {
            class.share = (class.share / given).max(MIN_SHARE);
        }
    }

    fn ranked_bands(&self) -> Vec<RankedBand> {
        let classes = self.classes.iter().enumerate();
        let all = classes.flat_map(|(class, demand)| {
            demand.bands.map(|band| RankedBand {
                class,
                cpu: band.cpu,
                value: band.priority_weight / band.cpu,
            })
        });
        let mut bands: Vec<RankedBand> = all.filter(|band| band.cpu > MIN_BAND_CPU).collect();
        bands.sort_by(|a, b| {
            let by_value = b.value.total_cmp(&a.value);
            by_value.then(a.class.cmp(&b.class))
        });
        bands
    }
}

fn band_index(predicted_s: f64) -> usize {
    let last = BANDS as f64 - 1.0;
    (predicted_s.log2() + FIRST_BAND_LOG2).clamp(0.0, last) as usize
}
