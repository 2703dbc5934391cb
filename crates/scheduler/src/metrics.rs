//! Counters of the scheduler.

use crate::waiting::FinishedWait;

/// An estimate is accurate if its error is at most this fraction of the wait.
const ACCURATE_FRACTION: f64 = 0.2;
/// It is also accurate if its error is at most this many seconds.
const ACCURATE_WITHIN_S: f64 = 0.02;

/// Counters of the events in the queues. Each received statement ends in exactly one way: once
/// nothing waits, `received` equals the sum of `rejected_at_entry`, `evicted`, `released`,
/// `rejected_while_waiting` and `client_left`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Statements that arrived at the queues.
    pub received: u64,
    /// Statements rejected at entry, for lack of room or because their estimated wait was too long.
    pub rejected_at_entry: u64,
    /// Statements rejected while waiting, in favor of one with a stronger claim.
    pub evicted: u64,
    /// Statements sent from the queues to an engine.
    pub released: u64,
    /// Statements that the decision module rejected while they waited.
    pub rejected_while_waiting: u64,
    /// Statements whose clients left while they waited.
    pub client_left: u64,
    /// Offers that found no capacity.
    pub offers_without_capacity: u64,
    /// Released statements whose estimated median at entry was within a fifth, or within 20 ms, of
    /// the actual wait.
    pub accurate_estimates: u64,
}

impl Metrics {
    /// Counts a statement released after this wait. `None` means that its wait is unknown.
    pub(crate) fn record_release(&mut self, wait: Option<&FinishedWait>) {
        self.released += 1;
        if wait.is_some_and(is_accurate) {
            self.accurate_estimates += 1;
        }
    }
}

fn is_accurate(wait: &FinishedWait) -> bool {
    let error_s = (wait.estimated.median - wait.actual).secs().abs();
    error_s <= (ACCURATE_FRACTION * wait.actual.secs()).max(ACCURATE_WITHIN_S)
}
