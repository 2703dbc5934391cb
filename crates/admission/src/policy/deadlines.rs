//! Time limits of a statement: how long it may wait in the queue, and until when sending it is of use.

use crate::interface::{QueryClass, Statement, Timestamp};

/// Part of its class's time limit that a statement may wait, between any two attempts; the design's small part.
const MAX_WAIT: f64 = 0.05;
/// With less time than this left, in seconds, no attempt can end in time.
const MIN_TIME_FOR_ATTEMPT_S: f64 = 0.03;
/// With less time than this left, in seconds, nothing waits any more: its answer has to reach the client.
const MIN_TIME_TO_WAIT_S: f64 = 0.05;
/// Part of its time alone at an engine that must be left: predictions scatter.
const LEAST_USEFUL_PART: f64 = 0.5;

/// Seconds until the deadline.
pub(super) fn time_left_s(now: Timestamp, statement: &Statement) -> f64 {
    (statement.deadline - now).secs()
}

/// Whether there is time for another attempt.
pub(super) fn has_time_for_attempt(now: Timestamp, statement: &Statement) -> bool {
    time_left_s(now, statement) >= MIN_TIME_FOR_ATTEMPT_S
}

/// Seconds until it must not wait any longer.
pub(super) fn waiting_time_left_s(now: Timestamp, statement: &Statement) -> f64 {
    time_left_s(now, statement) - MIN_TIME_TO_WAIT_S
}

/// Whether it waits no longer for its turn or for capacity. `is_its_turn`: one that waits for its key's turn keeps
/// waiting, since its place there beats an early rejection.
pub(super) fn has_waited_enough(
    now: Timestamp,
    class: &QueryClass,
    statement: &Statement,
    is_its_turn: bool,
) -> bool {
    let waited_s = (now - statement.waiting_since).secs();
    let has_used_its_wait = waited_s >= class.time_limit.secs() * MAX_WAIT;
    (is_its_turn && has_used_its_wait) || time_left_s(now, statement) < MIN_TIME_TO_WAIT_S
}

/// The latency objective of a statement that takes this much CPU, in seconds.
pub(super) fn latency_objective_s(class: &QueryClass, cpu_s: f64) -> f64 {
    class.latency_objective.secs() + class.latency_objective_stretch * cpu_s / class.threads
}

/// How much longer a statement may wait, in seconds; negative: too late already.
pub(super) struct Slack {
    /// To be answered within its latency objective, by the fleet's present latency.
    pub(super) objective_s: f64,
    /// To be of use at all, by the best latency. An answer that earns nothing takes cores from those that still can.
    pub(super) useful_s: f64,
}

/// Latency per CPU second.
pub(super) struct FleetLatency {
    pub(super) best: f64,
    /// None where too little completed lately.
    pub(super) current: Option<f64>,
}

/// The slack of a statement of this predicted CPU.
pub(super) fn slack(
    now: Timestamp,
    class: &QueryClass,
    statement: &Statement,
    predicted_s: f64,
    fleet: &FleetLatency,
) -> Slack {
    let left_s = time_left_s(now, statement);
    let received_ago_s = (now - statement.received).secs();
    let objective_left_s = left_s.min(latency_objective_s(class, predicted_s) - received_ago_s);
    let is_useful_late = class.late_priority_weight > 0.0;
    let useful_left_s = if is_useful_late {
        left_s
    } else {
        objective_left_s
    };
    let alone_s = predicted_s / class.threads * fleet.best;
    let expected_ratio = fleet.current.unwrap_or(fleet.best).max(fleet.best);
    let expected_s = predicted_s / class.threads * expected_ratio;
    Slack {
        objective_s: objective_left_s - expected_s,
        useful_s: useful_left_s - alone_s * LEAST_USEFUL_PART,
    }
}
