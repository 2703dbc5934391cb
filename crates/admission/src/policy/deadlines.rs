//! Time limits of a statement: how long it may wait in the queue, and until when it is useful to
//! send it.

use crate::interface::{QueryClass, Statement, Timestamp};

/// Fraction of its class's time limit that a statement may wait before its first attempt, and again
/// between two attempts.
const MAX_WAIT_FRACTION: f64 = 0.05;
/// Minimum time left until the deadline for another attempt, in seconds. No attempt can end in less
/// time.
const MIN_TIME_FOR_ATTEMPT_S: f64 = 0.03;
/// Minimum time left until the deadline for a statement to stay in the queue, in seconds. The rest
/// is needed for the answer to reach the client.
const MIN_TIME_TO_WAIT_S: f64 = 0.05;
/// Fraction of the predicted time at an otherwise idle engine that must be left for an attempt to
/// be useful. It is below 1 because predictions scatter.
const MIN_USEFUL_FRACTION: f64 = 0.5;

/// Returns the seconds until the statement's deadline; negative after it.
pub(super) fn time_left_s(now: Timestamp, statement: &Statement) -> f64 {
    (statement.deadline - now).secs()
}

/// Returns whether there is time for another attempt before the deadline.
pub(super) fn has_time_for_attempt(now: Timestamp, statement: &Statement) -> bool {
    time_left_s(now, statement) >= MIN_TIME_FOR_ATTEMPT_S
}

/// Returns the seconds for which the statement may stay in the queue before its deadline; negative
/// once it has to leave.
pub(super) fn waiting_time_left_s(now: Timestamp, statement: &Statement) -> f64 {
    time_left_s(now, statement) - MIN_TIME_TO_WAIT_S
}

/// Returns whether the statement must stop waiting for its turn or for capacity. A statement that
/// is not yet the next one of its key (`is_its_turn` is false) waits until shortly before its
/// deadline, because its place in the order is worth more than an early rejection.
pub(super) fn must_stop_waiting(
    now: Timestamp,
    class: &QueryClass,
    statement: &Statement,
    is_its_turn: bool,
) -> bool {
    let waited_s = (now - statement.waiting_since).secs();
    let has_reached_max_wait = waited_s >= class.time_limit.secs() * MAX_WAIT_FRACTION;
    (is_its_turn && has_reached_max_wait) || time_left_s(now, statement) < MIN_TIME_TO_WAIT_S
}

/// Returns the latency objective, in seconds, of a statement that takes `cpu_s` CPU seconds.
pub(super) fn latency_objective_s(class: &QueryClass, cpu_s: f64) -> f64 {
    class.latency_objective.secs() + class.latency_objective_stretch * cpu_s / class.threads
}

/// How much longer a statement may wait, in seconds. A negative value means that it is already too
/// late.
pub(super) struct Slack {
    /// Time left to send the statement and meet its latency objective at the fleet's current
    /// latency.
    pub(super) objective_s: f64,
    /// Time left to send the statement so that its answer is still useful, at the best latency.
    /// Running a statement past this time takes cores from statements that are still useful.
    pub(super) useful_s: f64,
}

/// Latency of the fleet per CPU second.
pub(super) struct FleetLatency {
    /// Median of the engines' best latency.
    pub(super) best: f64,
    /// Present latency; `None` if too little work completed recently.
    pub(super) current: Option<f64>,
}

/// Returns the slack of a statement that is predicted to take `predicted_s` CPU seconds.
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
    let unloaded_s = predicted_s / class.threads * fleet.best;
    let expected_ratio = fleet.current.unwrap_or(fleet.best).max(fleet.best);
    let expected_s = predicted_s / class.threads * expected_ratio;
    Slack {
        objective_s: objective_left_s - expected_s,
        useful_s: useful_left_s - unloaded_s * MIN_USEFUL_FRACTION,
    }
}
