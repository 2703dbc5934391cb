//! Measurements that a run collects.

use crate::engine::RunningAttempt;
use crate::figures::{Figures, WaitEstimate};

use super::Emulation;

/// The length of the time spans over which fairness is computed.
pub(super) const FAIRNESS_SPAN_S: f64 = 5.0;

/// A tenant with its guarantee and weight.
pub(super) struct Tenant {
    pub(super) name: String,
    /// The guaranteed CPU seconds per second.
    pub(super) budget: f64,
    pub(super) weight: f64,
}

/// Durations of the completed statements of one query class.
#[derive(Clone, Default)]
pub(super) struct Durations {
    /// From accepting a statement to sending the attempt that answered it.
    pub(super) before_sending_s: Vec<f64>,
    /// From sending to the answer.
    pub(super) running_s: Vec<f64>,
}

/// The measurements of one run.
pub(super) struct Measurements {
    pub(super) figures: Figures,
    /// Finished waits with their estimates.
    pub(super) estimates: Vec<WaitEstimate>,
    /// Durations, by query class.
    pub(super) durations: Vec<Durations>,
    /// The longest time for which a waiting statement was overtaken by later ones.
    pub(super) longest_overtaken_s: f64,
    /// CPU seconds requested and served, by span and tenant.
    pub(super) spans: Vec<Vec<(f64, f64)>>,
    tenants: usize,
}

impl Measurements {
    pub(super) fn new(figures: Figures, classes: usize, tenants: usize) -> Self {
        Measurements {
            figures,
            estimates: Vec::new(),
            durations: vec![Durations::default(); classes],
            longest_overtaken_s: 0.0,
            spans: Vec::new(),
            tenants,
        }
    }

    /// Records CPU time that a tenant requested.
    pub(super) fn record_demand(&mut self, now_s: f64, tenant: usize, cpu_s: f64) {
        self.span(now_s, tenant).0 += cpu_s;
    }

    /// Records for how long a waiting statement was overtaken by later ones.
    pub(super) fn record_overtaken(&mut self, overtaken_s: f64) {
        self.longest_overtaken_s = self.longest_overtaken_s.max(overtaken_s);
    }

    /// The CPU seconds requested and served by a tenant in the current span.
    fn span(&mut self, now_s: f64, tenant: usize) -> &mut (f64, f64) {
        let index = (now_s / FAIRNESS_SPAN_S) as usize;
        while self.spans.len() <= index {
            self.spans.push(vec![(0.0, 0.0); self.tenants]);
        }
        &mut self.spans[index][tenant]
    }
}

impl Emulation<'_> {
    /// Records that this attempt completed a statement.
    pub(super) fn record_answer(&mut self, index: usize, run: &RunningAttempt) {
        let statement = &self.statements[index];
        let (request, accepted_s) = (statement.request, statement.accepted_s);
        self.measurements.figures.completed += 1;
        let durations = &mut self.measurements.durations[self.requests[request].class];
        durations.before_sending_s.push(run.sent - accepted_s);
        durations.running_s.push(self.now_s - run.sent);
        self.record_served(request);
    }

    /// Records the first answer to a request, in time or late. Further ones are ignored.
    fn record_served(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if std::mem::replace(&mut request.served, true) {
            return;
        }
        let class = &self.classes[request.class];
        let settings = class.settings;
        let stretch_s = settings.latency_objective_stretch * request.cpu_s / settings.threads;
        let in_time = self.now_s - request.arrival_s <= settings.quoted_ms / 1e3 + stretch_s;
        let late_value = settings.priority_weight * settings.late_priority_weight;
        let (tenant, cpu_s) = (request.tenant, request.cpu_s);
        self.measurements.span(self.now_s, tenant).1 += cpu_s;
        let figures = &mut self.measurements.figures;
        let totals = figures
            .members
            .entry(self.tenants[tenant].name.clone())
            .or_default();
        totals.served_in_time += u64::from(in_time);
        totals.served_late += u64::from(!in_time);
        totals.service += if in_time {
            settings.priority_weight
        } else {
            late_value
        };
        totals.cpu_served += cpu_s;
        let totals = figures.classes.entry(class.name.to_owned()).or_default();
        totals.served_in_time += u64::from(in_time);
    }
}
