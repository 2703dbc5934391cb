//! What a run comes to: its figures, from all that was measured.

use crate::figures::{self, Figures, Told, ratio, well};

use super::measurements::FAIRNESS_SPAN_S;
use super::{Emulation, Outcome};

/// Waits and estimates below this count as none.
const NOTICEABLE_WAIT_S: f64 = 0.02;
/// A span counts for a tenant that asked for more than this part of its budget.
const LEAST_DEMAND: f64 = 0.1;

impl Emulation<'_> {
    pub(super) fn outcome(mut self) -> Outcome {
        let mut figures = std::mem::take(&mut self.measurements.figures);
        self.summarize_service(&mut figures);
        self.summarize_fairness(&mut figures);
        self.summarize_classes(&mut figures);
        summarize_estimates(&mut figures, &self.measurements.estimates);
        figures.handshakes = self.connections.handshakes;
        figures.most_connections = self.connections.most_open;
        figures.longest_passed_over_ms = (self.measurements.longest_passed_s * 1e6).round() / 1e3;
        figures.rules_broken = self.rules.count();
        figures.rules = self.rules.broken.clone();
        figures.simulated_s = self.scenario.seconds;
        Outcome {
            figures,
            told: self.measurements.estimates,
            members: self.tenants.into_iter().map(|tenant| tenant.name).collect(),
            spans: self.measurements.spans,
            span_s: FAIRNESS_SPAN_S,
            took_s: self.started.elapsed().as_secs_f64(),
        }
    }

    /// Demand and service of each tenant, and the value served of all.
    fn summarize_service(&self, figures: &mut Figures) {
        let seconds = self.scenario.seconds;
        let (mut served_value, mut asked_value) = (0.0, 0.0);
        let mut asked_by_tenant = vec![0.0; self.tenants.len()];
        for request in &self.requests {
            let class = &self.classes[request.class];
            let tenant = figures
                .members
                .entry(self.tenants[request.tenant].name.clone())
                .or_default();
            tenant.asked += 1;
            tenant.cpu_asked += request.cpu_s;
            figures
                .classes
                .entry(class.name.to_owned())
                .or_default()
                .asked += 1;
            asked_value += class.settings.priority_weight;
            asked_by_tenant[request.tenant] += class.settings.priority_weight;
        }
        for (tenant, asked) in self.tenants.iter().zip(asked_by_tenant) {
            let summed = figures.members.entry(tenant.name.clone()).or_default();
            served_value += summed.service;
            summed.service = ratio(summed.service, asked);
            summed.cpu_asked = ratio(summed.cpu_asked, seconds);
            summed.cpu_served = ratio(summed.cpu_served, seconds);
            summed.budget = tenant.budget;
            summed.worst_of_fair = 1.0;
        }
        figures.service = ratio(served_value, asked_value);
    }

    /// Each tenant's least part of its fair share, over all whole spans but the first.
    fn summarize_fairness(&self, figures: &mut Figures) {
        let weights: Vec<f64> = self.tenants.iter().map(|tenant| tenant.weight).collect();
        let owed: Vec<f64> = self
            .tenants
            .iter()
            .map(|tenant| tenant.budget * FAIRNESS_SPAN_S)
            .collect();
        let whole_spans = (self.scenario.seconds / FAIRNESS_SPAN_S) as usize;
        for span in self.measurements.spans.iter().take(whole_spans).skip(1) {
            let (asked, served): (Vec<f64>, Vec<f64>) = span.iter().copied().unzip();
            let fair = figures::fair(served.iter().sum(), &asked, &owed, &weights);
            for (index, tenant) in self.tenants.iter().enumerate() {
                if asked[index] > owed[index] * LEAST_DEMAND {
                    let summed = figures.members.entry(tenant.name.clone()).or_default();
                    summed.worst_of_fair =
                        summed.worst_of_fair.min(ratio(served[index], fair[index]));
                }
            }
        }
        let worst = figures.members.values().map(|tenant| tenant.worst_of_fair);
        figures.worst_member_of_fair = worst.fold(1.0, f64::min);
    }

    fn summarize_classes(&mut self, figures: &mut Figures) {
        let durations = std::mem::take(&mut self.measurements.durations);
        for (class, durations) in self.classes.iter().zip(durations) {
            let summed = figures.classes.entry(class.name.to_owned()).or_default();
            summed.before = figures::waits(durations.before_sending_s);
            summed.running = figures::waits(durations.running_s);
            summed.share_in_time = ratio(summed.served_in_time as f64, summed.asked as f64);
        }
    }
}

/// Waits, and how the estimates told of them and the plain ones held.
fn summarize_estimates(figures: &mut Figures, estimates: &[Told]) {
    let held = |told: &Told| well(told.told, told.real);
    figures.estimate_within_20 = share(estimates, held);
    figures.last_wait_within_20 = share(estimates, |told| well(told.plain[0], told.real));
    figures.mean_wait_within_20 = share(estimates, |told| well(told.plain[1], told.real));
    figures.count_ahead_within_20 = share(estimates, |told| well(told.plain[2], told.real));
    figures.within_p90 = share(estimates, |told| told.real <= told.p90 + NOTICEABLE_WAIT_S);
    let noticeable = |told: &&Told| told.real > NOTICEABLE_WAIT_S || told.told > NOTICEABLE_WAIT_S;
    let waited: Vec<Told> = estimates.iter().filter(noticeable).copied().collect();
    figures.estimate_within_20_waiting = share(&waited, held);
    figures.waited = waited.len() as u64;
    figures.waits = figures::waits(estimates.iter().map(|told| told.real).collect());
}

/// The part of the estimates for which a condition holds.
fn share(estimates: &[Told], holds: impl Fn(&Told) -> bool) -> f64 {
    let holding = estimates.iter().filter(|told| holds(told)).count();
    ratio(holding as f64, estimates.len() as f64)
}
