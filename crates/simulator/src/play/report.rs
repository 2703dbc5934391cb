//! Computes the figures of a run from its measurements.

use crate::figures::{self, Figures, WaitEstimate, is_accurate, ratio};

use super::measurements::FAIRNESS_SPAN_S;
use super::{Emulation, Outcome};

/// Waits and estimates up to this count as no wait.
const NOTICEABLE_WAIT_S: f64 = 0.02;
/// A span counts towards a tenant's fairness if the tenant requested more than this fraction of its
/// budget.
const MIN_DEMAND: f64 = 0.1;

impl Emulation<'_> {
    /// The results of the run, which has ended.
    pub(super) fn outcome(mut self) -> Outcome {
        let mut figures = std::mem::take(&mut self.measurements.figures);
        self.summarize_service(&mut figures);
        self.summarize_fairness(&mut figures);
        self.summarize_classes(&mut figures);
        summarize_estimates(&mut figures, &self.measurements.estimates);
        figures.handshakes = self.connections.handshakes;
        figures.most_connections = self.connections.most_open;
        figures.longest_passed_over_ms =
            (self.measurements.longest_overtaken_s * 1e6).round() / 1e3;
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

    /// Sums the demand and the service of each tenant, and the service over all tenants.
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
            let totals = figures.members.entry(tenant.name.clone()).or_default();
            served_value += totals.service;
            totals.service = ratio(totals.service, asked);
            totals.cpu_asked = ratio(totals.cpu_asked, seconds);
            totals.cpu_served = ratio(totals.cpu_served, seconds);
            totals.budget = tenant.budget;
            totals.worst_of_fair = 1.0;
        }
        figures.service = ratio(served_value, asked_value);
    }

    /// Computes each tenant's lowest ratio of service to fair share, over all complete spans but
    /// the first.
    fn summarize_fairness(&self, figures: &mut Figures) {
        let weights: Vec<f64> = self.tenants.iter().map(|tenant| tenant.weight).collect();
        let guaranteed: Vec<f64> = self
            .tenants
            .iter()
            .map(|tenant| tenant.budget * FAIRNESS_SPAN_S)
            .collect();
        let whole_spans = (self.scenario.seconds / FAIRNESS_SPAN_S) as usize;
        for span in self.measurements.spans.iter().take(whole_spans).skip(1) {
            let (asked, served): (Vec<f64>, Vec<f64>) = span.iter().copied().unzip();
            let fair = figures::max_min_shares(served.iter().sum(), &asked, &guaranteed, &weights);
            for (index, tenant) in self.tenants.iter().enumerate() {
                if asked[index] > guaranteed[index] * MIN_DEMAND {
                    let totals = figures.members.entry(tenant.name.clone()).or_default();
                    totals.worst_of_fair =
                        totals.worst_of_fair.min(ratio(served[index], fair[index]));
                }
            }
        }
        let worst = figures.members.values().map(|tenant| tenant.worst_of_fair);
        figures.worst_member_of_fair = worst.fold(1.0, f64::min);
    }

    fn summarize_classes(&mut self, figures: &mut Figures) {
        let durations = std::mem::take(&mut self.measurements.durations);
        for (class, durations) in self.classes.iter().zip(durations) {
            let totals = figures.classes.entry(class.name.to_owned()).or_default();
            totals.before = figures::waits(durations.before_sending_s);
            totals.running = figures::waits(durations.running_s);
            totals.share_in_time = ratio(totals.served_in_time as f64, totals.asked as f64);
        }
    }
}

/// Computes the distribution of the waits, and the accuracy of their estimates and of the baseline
/// estimates.
fn summarize_estimates(figures: &mut Figures, estimates: &[WaitEstimate]) {
    let accurate = |wait: &WaitEstimate| is_accurate(wait.median, wait.actual);
    figures.estimate_within_20 = share(estimates, accurate);
    figures.last_wait_within_20 = share(estimates, |wait| {
        is_accurate(wait.baselines[0], wait.actual)
    });
    figures.mean_wait_within_20 = share(estimates, |wait| {
        is_accurate(wait.baselines[1], wait.actual)
    });
    figures.count_ahead_within_20 = share(estimates, |wait| {
        is_accurate(wait.baselines[2], wait.actual)
    });
    figures.within_p90 = share(estimates, |wait| {
        wait.actual <= wait.p90 + NOTICEABLE_WAIT_S
    });
    let noticeable =
        |wait: &&WaitEstimate| wait.actual > NOTICEABLE_WAIT_S || wait.median > NOTICEABLE_WAIT_S;
    let waited: Vec<WaitEstimate> = estimates.iter().filter(noticeable).copied().collect();
    figures.estimate_within_20_waiting = share(&waited, accurate);
    figures.waited = waited.len() as u64;
    figures.waits = figures::waits(estimates.iter().map(|wait| wait.actual).collect());
}

/// The fraction of the estimates for which a condition holds.
fn share(estimates: &[WaitEstimate], holds: impl Fn(&WaitEstimate) -> bool) -> f64 {
    let holding = estimates.iter().filter(|wait| holds(wait)).count();
    ratio(holding as f64, estimates.len() as f64)
}
