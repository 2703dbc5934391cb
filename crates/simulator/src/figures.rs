//! The figures of a run: counts, service, fairness and the accuracy of wait estimates.

use std::collections::BTreeMap;

use serde::Serialize;

/// Totals of one tenant over the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Member {
    /// The guaranteed CPU seconds per second over all gateways. 0 without queues.
    pub budget: f64,
    /// Requests of clients. Retries are not counted again.
    pub asked: u64,
    pub served_in_time: u64,
    pub served_late: u64,
    /// The priority weight served divided by the weight requested. A late answer counts with the
    /// late weight.
    pub service: f64,
    /// CPU seconds per second that were requested.
    pub cpu_asked: f64,
    /// CPU seconds per second that were completed.
    pub cpu_served: f64,
    /// The lowest ratio of the service received to the weighted max-min fair share, over the spans
    /// of five seconds in which the tenant requested more than a tenth of its budget.
    pub worst_of_fair: f64,
}

/// Totals of one query class over the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct QueryClass {
    pub asked: u64,
    pub served_in_time: u64,
    pub share_in_time: f64,
    /// From accepting a statement to sending the attempt that completed it.
    pub before: Waits,
    /// From sending this attempt to its answer.
    pub running: Waits,
}

/// The distribution of a set of durations.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Waits {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub longest_ms: f64,
}

/// The figures of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub policy: String,
    pub seed: u64,
    pub rules_broken: u64,
    pub rules: BTreeMap<String, u64>,
    /// Statements accepted by gateways, including retries of clients.
    pub statements: u64,
    pub completed: u64,
    /// Rejected statements.
    pub denied: u64,
    /// Statements that were rejected within 50 ms of being accepted.
    pub denied_at_once: u64,
    /// Statements that were answered with an error.
    pub scrapped: u64,
    /// Statements that were lost when their gateway was killed.
    pub died: u64,
    #[serde(rename = "relays")]
    pub attempts: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Connections opened to engines.
    pub handshakes: u64,
    /// The largest number of open connections at any one engine.
    pub most_connections: u64,
    /// Engine list changes delivered, over all gateways.
    pub lists_told: u64,
    /// The priority weight served divided by the weight requested.
    pub service: f64,
    /// The fraction of the wait estimates at entry that were within 20% or 20 ms of the actual
    /// wait.
    pub estimate_within_20: f64,
    /// The same among the statements that waited, or were estimated to wait, more than 20 ms.
    pub estimate_within_20_waiting: f64,
    /// The same for a baseline estimator: the last wait.
    pub last_wait_within_20: f64,
    /// The same for a baseline estimator: the mean wait.
    pub mean_wait_within_20: f64,
    /// The same for a baseline estimator: the statements ahead times the mean interval between
    /// releases.
    pub count_ahead_within_20: f64,
    /// The fraction of the waits that were at most 20 ms longer than their estimated 90th
    /// percentile.
    pub within_p90: f64,
    /// Statements that waited, or were estimated to wait, more than 20 ms.
    pub waited: u64,
    pub waits: Waits,
    /// The lowest `worst_of_fair` of all tenants.
    pub worst_member_of_fair: f64,
    /// The longest time for which a waiting statement was overtaken by later ones.
    pub longest_passed_over_ms: f64,
    pub members: BTreeMap<String, Member>,
    #[serde(rename = "products")]
    pub classes: BTreeMap<String, QueryClass>,
    pub simulated_s: f64,
}

/// A wait estimate and the actual wait, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate {
    /// When the wait ended, in simulated seconds.
    pub at: f64,
    pub gateway: usize,
    pub sub_queue: u32,
    pub class: usize,
    /// The estimated median.
    pub median: f64,
    /// The estimated 90th percentile.
    pub p90: f64,
    /// The actual wait.
    pub actual: f64,
    /// The baseline estimates: the last wait, the mean wait, and the statements ahead times the
    /// mean interval between releases.
    pub baselines: [f64; 3],
}

/// Whether an estimate is within 20% or 20 ms of the actual wait. Both are in seconds.
pub fn is_accurate(estimate: f64, actual: f64) -> bool {
    (estimate - actual).abs() <= (0.2 * actual).max(0.02)
}

/// Weighted max-min fair shares of a capacity: each demand up to its guarantee first, then the rest
/// by weight. If the guarantees exceed the capacity, they are scaled down in proportion.
pub fn max_min_shares(
    capacity: f64,
    asked: &[f64],
    guaranteed: &[f64],
    weights: &[f64],
) -> Vec<f64> {
    let total: f64 = guaranteed
        .iter()
        .zip(asked)
        .map(|(guaranteed, asked)| guaranteed.min(*asked))
        .sum();
    let scale = if total > capacity {
        capacity / total
    } else {
        1.0
    };
    let mut shares: Vec<f64> = guaranteed
        .iter()
        .zip(asked)
        .map(|(guaranteed, asked)| guaranteed.min(*asked) * scale)
        .collect();
    let mut left = capacity - shares.iter().sum::<f64>();
    for _ in 0..asked.len() {
        let open: Vec<usize> = (0..asked.len())
            .filter(|index| asked[*index] > shares[*index] + 1e-9)
            .collect();
        let weight: f64 = open.iter().map(|index| weights[*index]).sum();
        if left <= 1e-9 || open.is_empty() || weight <= 0.0 {
            break;
        }
        let mut used = 0.0;
        for index in open {
            let more = (left * weights[index] / weight).min(asked[index] - shares[index]);
            shares[index] += more;
            used += more;
        }
        left -= used;
    }
    shares
}

/// The distribution of these durations, given in seconds. All zero if there are none.
pub fn waits(mut durations: Vec<f64>) -> Waits {
    durations.sort_by(f64::total_cmp);
    let last = durations.len().saturating_sub(1);
    let at = |part: f64| {
        durations
            .get(((durations.len() as f64 * part) as usize).min(last))
            .copied()
            .unwrap_or(0.0)
    };
    let ms = |part: f64| (at(part) * 1e6).round() / 1e3;
    Waits {
        p50_ms: ms(0.5),
        p90_ms: ms(0.9),
        longest_ms: ms(1.0),
    }
}

/// A ratio rounded to four decimal places. 1 if the denominator is not positive.
pub fn ratio(part: f64, of: f64) -> f64 {
    if of > 0.0 {
        (part / of * 1e4).round() / 1e4
    } else {
        1.0
    }
}
