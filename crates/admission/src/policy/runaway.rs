//! Runaway attempts: an attempt whose progress shows far more work than predicted, for example
//! under a bad plan, is cancelled and sent again if the new attempt is expected to end much sooner.

use crate::interface::TimeDelta;

/// The remaining time of a runaway attempt exceeds the duration of a new attempt times this factor.
const MIN_REMAINING_FACTOR: f64 = 2.0;
/// The total time of a runaway attempt exceeds the duration of a new attempt times this factor.
const MIN_TOTAL_FACTOR: f64 = 3.5;
/// The time left until the deadline must exceed the duration of a new attempt times this factor.
const TIME_LEFT_FACTOR: f64 = 1.3;
/// Lower bound of the completed fraction. A smaller value says nothing yet about the total time.
const MIN_COMPLETED_FRACTION: f64 = 0.001;

/// The progress of an attempt.
pub(super) struct AttemptProgress {
    /// Time since the attempt was sent.
    pub(super) elapsed: TimeDelta,
    /// Fraction of the work that is completed, 0 to 1.
    pub(super) completed_fraction: f64,
    /// Expected duration of a new attempt, in seconds.
    pub(super) new_attempt_s: f64,
    /// Time until the statement's deadline, in seconds.
    pub(super) time_left_s: f64,
}

/// Returns whether the attempt should be replaced by a new one.
pub(super) fn is_runaway(progress: &AttemptProgress) -> bool {
    let elapsed_s = progress.elapsed.secs();
    let total_s = elapsed_s
        / progress
            .completed_fraction
            .clamp(MIN_COMPLETED_FRACTION, 1.0);
    let remaining_s = total_s - elapsed_s;
    let new_attempt_s = progress.new_attempt_s;
    let saves_much = remaining_s > MIN_REMAINING_FACTOR * new_attempt_s;
    let fits_time_left = new_attempt_s * TIME_LEFT_FACTOR < progress.time_left_s;
    let exceeds_prediction = total_s > MIN_TOTAL_FACTOR * new_attempt_s;
    saves_much && fits_time_left && exceeds_prediction
}
