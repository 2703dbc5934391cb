//! Estimates how much of a budget a gateway would spend a second, from what was wanted of it so far.

use admission::interface::Timestamp;

/// The demand is averaged over the shortest of these times, in seconds, in which enough was wanted to tell: where work is
/// dense a change is told soon, and where it is sparse chance does not move parts.
///
/// With 2 s alone, work that moved to another gateway found half of its budget there (0.51 in use). With 0.4 s alone, parts
/// of 200 gateways jumped with single statements, and each cut took what was saved (service 0.77 in place of 0.81).
const WINDOWS_S: [f64; 4] = [0.4, 0.8, 3.0, 8.0];
/// The window of [`WINDOWS_S`] that operators are shown.
const SHOWN_WINDOW: usize = 2;
/// An average tells if so many requests fall into its window.
const MIN_REQUESTS: f64 = 8.0;

/// Exponentially decaying averages of one window.
#[derive(Clone, Copy, Debug, Default)]
struct Averages {
    /// Wanted a second, in the budget's unit, whether or not it could be had.
    amount_per_s: f64,
    /// How often a second.
    requests_per_s: f64,
}

/// The demand for one budget at one gateway.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    averages: [Averages; WINDOWS_S.len()],
    updated: Timestamp,
}

impl DemandEstimator {
    /// No demand yet.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        DemandEstimator {
            averages: [Averages::default(); WINDOWS_S.len()],
            updated: now,
        }
    }

    /// So much is wanted now.
    pub fn record(&mut self, now: Timestamp, amount: f64) {
        let elapsed_s = (now - self.updated).secs().max(0.0);
        self.updated = self.updated.max(now);
        let requests = if amount > 0.0 { 1.0 } else { 0.0 };
        for (averages, window_s) in self.averages.iter_mut().zip(WINDOWS_S) {
            let decay = (-elapsed_s / window_s).exp();
            averages.amount_per_s = averages.amount_per_s * decay + amount / window_s;
            averages.requests_per_s = averages.requests_per_s * decay + requests / window_s;
        }
    }

    /// Lets the averages decay until now.
    pub fn decay(&mut self, now: Timestamp) {
        self.record(now, 0.0);
    }

    /// Replaces the estimate by a rate that is known otherwise.
    pub fn set(&mut self, now: Timestamp, amount_per_s: f64) {
        self.averages = [Averages {
            amount_per_s,
            requests_per_s: f64::INFINITY,
        }; WINDOWS_S.len()];
        self.updated = now;
    }

    /// The demand a second: of the shortest window that tells and the next longer one, the larger. A demand that rises is
    /// seen soon, and a moment without work is not its end.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        let tells = |(averages, window_s): (&Averages, f64)| {
            averages.requests_per_s * window_s >= MIN_REQUESTS
        };
        let longest = WINDOWS_S.len() - 1;
        let shortest = self
            .averages
            .iter()
            .zip(WINDOWS_S)
            .position(tells)
            .unwrap_or(longest);
        let next_longer = (shortest + 1).min(longest);
        self.averages[shortest..=next_longer]
            .iter()
            .map(|averages| averages.amount_per_s)
            .fold(0.0, f64::max)
    }

    /// What was wanted a second of late, for operators.
    #[must_use]
    pub fn shown_per_second(&self, now: Timestamp) -> f64 {
        let elapsed_s = (now - self.updated).secs().max(0.0);
        self.averages[SHOWN_WINDOW].amount_per_s * (-elapsed_s / WINDOWS_S[SHOWN_WINDOW]).exp()
    }
}
