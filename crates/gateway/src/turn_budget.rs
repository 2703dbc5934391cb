//! Limits on what one peer is served in a turn of the event loop.
//!
//! Nothing else begins while a turn lasts, so each peer gets a limited part of it, however fast it
//! sends. A limit holds for the whole turn and not for one call: an answer that is given at once
//! lets its session go on with the next packet, in another call of the same turn.

/// The number of a turn of the event loop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TurnNumber(u64);

impl TurnNumber {
    /// Returns the number of the turn after this one.
    pub(crate) fn next(self) -> Self {
        TurnNumber(self.0.wrapping_add(1))
    }
}

/// Counts what one peer, or a group of them, was served in the current turn, at most `MAX` pieces of
/// work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TurnBudget<const MAX: u32> {
    /// The turn that `used` belongs to.
    turn: TurnNumber,
    used: u32,
}

impl<const MAX: u32> TurnBudget<MAX> {
    /// Whether the peer has to wait for the next turn.
    pub(crate) fn is_used_up(&self, turn: TurnNumber) -> bool {
        self.turn == turn && self.used >= MAX
    }

    /// Whether the peer was served in this turn.
    pub(crate) fn is_begun(&self, turn: TurnNumber) -> bool {
        self.turn == turn && self.used > 0
    }

    /// Counts one piece of work in this turn.
    pub(crate) fn record(&mut self, turn: TurnNumber) {
        if self.turn != turn {
            *self = TurnBudget { turn, used: 0 };
        }
        self.used += 1;
    }

    /// Counts work that is as large as all that the peer may be served in this turn.
    pub(crate) fn use_up(&mut self, turn: TurnNumber) {
        *self = TurnBudget { turn, used: MAX };
    }
}
