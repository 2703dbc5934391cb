//! Runaway attempts: one whose progress shows far more work than predicted, as under a bad plan, is cancelled and sent
//! anew, if the new attempt ends much sooner.

use crate::interface::TimeDelta;

/// The rest of the attempt must take more than this many times what a new one takes in all.
const REST_IN_NEW_ATTEMPTS: f64 = 2.0;
/// The whole attempt must take more than this many times what a new one takes.
const TOTAL_IN_NEW_ATTEMPTS: f64 = 3.5;
/// A new attempt must fit the time left this many times.
const TIME_MARGIN: f64 = 1.3;
/// Progress below this counts as this: nothing is known yet.
const MIN_PROGRESS: f64 = 0.001;

/// How far an attempt is.
pub(super) struct AttemptProgress {
    pub(super) elapsed: TimeDelta,
    /// The part done, 0 to 1.
    pub(super) done: f64,
    /// What a new attempt is expected to take, in seconds.
    pub(super) new_attempt_s: f64,
    /// Seconds until the statement's deadline.
    pub(super) time_left_s: f64,
}

/// Whether a new attempt pays.
pub(super) fn is_runaway(progress: &AttemptProgress) -> bool {
    let elapsed_s = progress.elapsed.secs();
    let total_s = elapsed_s / progress.done.clamp(MIN_PROGRESS, 1.0);
    let rest_s = total_s - elapsed_s;
    let new_attempt_s = progress.new_attempt_s;
    let saves_much = rest_s > REST_IN_NEW_ATTEMPTS * new_attempt_s;
    let fits_time_left = new_attempt_s * TIME_MARGIN < progress.time_left_s;
    let is_far_off = total_s > TOTAL_IN_NEW_ATTEMPTS * new_attempt_s;
    saves_much && fits_time_left && is_far_off
}
