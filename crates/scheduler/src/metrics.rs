//! Counters of the scheduler.

use crate::waiting::FinishedWait;

/// An estimate is accurate within this part of the wait ...
const ACCURATE_PART: f64 = 0.2;
/// ... or within this many seconds.
const ACCURATE_S: f64 = 0.02;

/// What happened in the queues, in numbers that only grow. Each statement that was received has one end: the sum of
/// `rejected_at_entry`, `evicted`, `released`, `rejected_while_waiting` and `client_left`, once nothing waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Statements that came to the queues.
    pub received: u64,
    /// Rejected at entry: no room for them, or too long a wait.
    pub rejected_at_entry: u64,
    /// Rejected while waiting, for a statement with the better claim.
    pub evicted: u64,
    /// Sent to an engine out of the queues.
    pub released: u64,
    /// Rejected by the decision module while waiting.
    pub rejected_while_waiting: u64,
    /// Their clients left while they waited.
    pub client_left: u64,
    /// Offers that found no capacity.
    pub offers_without_capacity: u64,
    /// Of the released, those whose estimate at entry came within a fifth, or 20 ms, of the wait.
    pub accurate_estimates: u64,
}

impl Metrics {
    /// A statement was released after this wait; none: it is not known to have waited.
    pub(crate) fn record_release(&mut self, wait: Option<&FinishedWait>) {
        self.released += 1;
        if wait.is_some_and(is_accurate) {
            self.accurate_estimates += 1;
        }
    }
}

fn is_accurate(wait: &FinishedWait) -> bool {
    let error_s = (wait.estimated.median - wait.actual).secs().abs();
    error_s <= (ACCURATE_PART * wait.actual.secs()).max(ACCURATE_S)
}
