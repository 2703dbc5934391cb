//! What a run measures while it goes on.

use crate::engine::Run;
use crate::figures::{Figures, Told};

use super::Emulation;

/// Fairness is judged over spans of this length.
pub(super) const FAIRNESS_SPAN_S: f64 = 5.0;

/// A tenant's claim to the engines.
pub(super) struct Tenant {
    pub(super) name: String,
    /// Guaranteed CPU seconds a second.
    pub(super) budget: f64,
    pub(super) weight: f64,
}

/// Of the completed statements of one query class.
#[derive(Clone, Default)]
pub(super) struct Durations {
    /// From accepting a statement to sending the attempt that answered it.
    pub(super) before_sending_s: Vec<f64>,
    /// From sending to the answer.
    pub(super) running_s: Vec<f64>,
}

pub(super) struct Measurements {
    pub(super) figures: Figures,
    /// Waits that ended, beside their estimates.
    pub(super) estimates: Vec<Told>,
    /// By query class.
    pub(super) durations: Vec<Durations>,
    /// The longest that a statement was passed over.
    pub(super) longest_passed_s: f64,
    /// By span and tenant: CPU seconds asked for and served.
    pub(super) spans: Vec<Vec<(f64, f64)>>,
    tenants: usize,
}

impl Measurements {
    pub(super) fn new(figures: Figures, classes: usize, tenants: usize) -> Self {
        Measurements {
            figures,
            estimates: Vec::new(),
            durations: vec![Durations::default(); classes],
            longest_passed_s: 0.0,
            spans: Vec::new(),
            tenants,
        }
    }

    /// A tenant asked for so much CPU time.
    pub(super) fn record_demand(&mut self, now_s: f64, tenant: usize, cpu_s: f64) {
        self.span(now_s, tenant).0 += cpu_s;
    }

    pub(super) fn record_passed(&mut self, passed_s: f64) {
        self.longest_passed_s = self.longest_passed_s.max(passed_s);
    }

    fn span(&mut self, now_s: f64, tenant: usize) -> &mut (f64, f64) {
        let index = (now_s / FAIRNESS_SPAN_S) as usize;
        while self.spans.len() <= index {
            self.spans.push(vec![(0.0, 0.0); self.tenants]);
        }
        &mut self.spans[index][tenant]
    }
}

impl Emulation<'_> {
    /// A statement has its answer by this run.
    pub(super) fn record_answer(&mut self, index: usize, run: &Run) {
        let statement = &self.statements[index];
        let (request, accepted_s) = (statement.request, statement.accepted_s);
        self.measurements.figures.completed += 1;
        let durations = &mut self.measurements.durations[self.requests[request].class];
        durations.before_sending_s.push(run.sent - accepted_s);
        durations.running_s.push(self.now_s - run.sent);
        self.record_served(request);
    }

    /// A request has its first answer, in time or late.
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
        let counted = figures
            .members
            .entry(self.tenants[tenant].name.clone())
            .or_default();
        counted.served_in_time += u64::from(in_time);
        counted.served_late += u64::from(!in_time);
        counted.service += if in_time {
            settings.priority_weight
        } else {
            late_value
        };
        counted.cpu_served += cpu_s;
        let counted = figures.classes.entry(class.name.to_owned()).or_default();
        counted.served_in_time += u64::from(in_time);
    }
}
