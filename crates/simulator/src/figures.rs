//! What a run comes to: counts, service, fairness and how estimates held.

use std::collections::BTreeMap;

use serde::Serialize;

/// One member, summed over the run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Member {
    /// CPU seconds a second, of all gateways together; zero without queues.
    pub budget: f64,
    /// Clients' wishes, their repeats not counted again.
    pub asked: u64,
    pub served_in_time: u64,
    pub served_late: u64,
    /// Gain answered in time over gain asked for.
    pub service: f64,
    /// CPU seconds a second asked for and completed.
    pub cpu_asked: f64,
    pub cpu_served: f64,
    /// The least part of what weighted max-min fairness would give it, over spans of five seconds in which it asked for
    /// a tenth of its budget or more.
    pub worst_of_fair: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct QueryClass {
    pub asked: u64,
    pub served_in_time: u64,
    pub share_in_time: f64,
    /// From taking to sending, and from sending to the answer.
    pub before: Waits,
    pub running: Waits,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Waits {
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub longest_ms: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    pub policy: String,
    pub seed: u64,
    pub rules_broken: u64,
    pub rules: BTreeMap<String, u64>,
    /// Taken by gateways, repeats of clients among them.
    pub statements: u64,
    pub completed: u64,
    pub denied: u64,
    /// Of the rejected, those rejected within 50 ms of their taking.
    pub denied_at_once: u64,
    pub scrapped: u64,
    /// Lost with their gateway, which was killed.
    pub died: u64,
    #[serde(rename = "relays")]
    pub attempts: u64,
    /// Attempts that brought no answer in their time.
    pub timed_out: u64,
    /// Connections opened to engines, and the most that stood at one engine at a time.
    pub handshakes: u64,
    pub most_connections: u64,
    /// Changes of the list told, over all gateways.
    pub lists_told: u64,
    pub service: f64,
    /// Part of the estimates told at entry that came within a fifth, or 20 ms, of the wait.
    pub estimate_within_20: f64,
    /// The same among those who waited over 20 ms.
    pub estimate_within_20_waiting: f64,
    /// The same for estimators to compare with.
    pub last_wait_within_20: f64,
    pub mean_wait_within_20: f64,
    pub count_ahead_within_20: f64,
    /// Part of the waits that ended by the 90th percentile told.
    pub within_p90: f64,
    pub waited: u64,
    pub waits: Waits,
    pub worst_member_of_fair: f64,
    pub longest_passed_over_ms: f64,
    pub members: BTreeMap<String, Member>,
    #[serde(rename = "products")]
    pub classes: BTreeMap<String, QueryClass>,
    pub simulated_s: f64,
}

/// An estimate against what came of it.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub at: f64,
    pub gateway: usize,
    pub desk: u32,
    pub class: usize,
    pub told: f64,
    pub p90: f64,
    pub real: f64,
    /// Last wait, mean wait, statements ahead by the mean time between releases.
    pub plain: [f64; 3],
}

pub fn well(told: f64, real: f64) -> bool {
    (told - real).abs() <= (0.2 * real).max(0.02)
}

/// Weighted max-min shares of a capacity: what is owed first, then by weight what others leave.
pub fn fair(capacity: f64, asked: &[f64], owed: &[f64], weights: &[f64]) -> Vec<f64> {
    let total: f64 = owed
        .iter()
        .zip(asked)
        .map(|(owed, asked)| owed.min(*asked))
        .sum();
    let cut = if total > capacity {
        capacity / total
    } else {
        1.0
    };
    let mut given: Vec<f64> = owed
        .iter()
        .zip(asked)
        .map(|(owed, asked)| owed.min(*asked) * cut)
        .collect();
    let mut left = capacity - given.iter().sum::<f64>();
    for _ in 0..asked.len() {
        let open: Vec<usize> = (0..asked.len())
            .filter(|at| asked[*at] > given[*at] + 1e-9)
            .collect();
        let weight: f64 = open.iter().map(|at| weights[*at]).sum();
        if left <= 1e-9 || open.is_empty() || weight <= 0.0 {
            break;
        }
        let mut used = 0.0;
        for at in open {
            let more = (left * weights[at] / weight).min(asked[at] - given[at]);
            given[at] += more;
            used += more;
        }
        left -= used;
    }
    given
}

pub fn waits(mut of: Vec<f64>) -> Waits {
    of.sort_by(f64::total_cmp);
    let last = of.len().saturating_sub(1);
    let at = |part: f64| {
        of.get(((of.len() as f64 * part) as usize).min(last))
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

/// Ratios as figures show them.
pub fn ratio(part: f64, of: f64) -> f64 {
    if of > 0.0 {
        (part / of * 1e4).round() / 1e4
    } else {
        1.0
    }
}
