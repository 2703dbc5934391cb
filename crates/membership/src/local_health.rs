//! Lifeguard's local health score: how far this node can trust its own time-outs.

/// The maximum score, at which time-outs are nine times as long.
const MAX_SCORE: u32 = 8;

/// The score behind Lifeguard's local health multiplier. A node whose own event loop or network is
/// slow lengthens its time-outs before it suspects others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    /// Zero means healthy.
    score: u32,
}

impl LocalHealth {
    /// Returns the factor by which time-outs are multiplied, from 1 to 9.
    #[must_use]
    pub(crate) fn multiplier(self) -> f64 {
        1.0 + f64::from(self.score)
    }

    /// Lowers the score, because a probe was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Raises the score, because the event loop was late or relays did not answer.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }
}
