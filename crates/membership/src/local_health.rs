//! Lifeguard's local health: how far this node can trust its own time-outs.

/// The highest score.
const MAX_SCORE: u32 = 8;

/// Lifeguard's local health multiplier. A node that does badly itself, by its loop or its network, stretches its time-outs
/// before it suspects others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalHealth {
    /// Zero: it is well.
    score: u32,
}

impl LocalHealth {
    /// The factor by which time-outs are stretched: 1 to 9.
    #[must_use]
    pub(crate) fn multiplier(self) -> f64 {
        1.0 + f64::from(self.score)
    }

    /// A probe was answered.
    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// The loop was late, or relays that should have answered did not.
    pub(crate) fn degrade(&mut self) {
        self.score = (self.score + 1).min(MAX_SCORE);
    }
}
