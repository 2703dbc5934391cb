//! Protection against replayed datagrams.

/// Counters below the highest one that are told apart; older ones are taken for replays.
const WINDOW: u64 = 128;

/// Which message counters of one boot came already: late ones are accepted once within a window, older ones not at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// A bit for each counter below the highest, the next lower one first.
    seen_below: u128,
}

impl ReplayWindow {
    /// Whether this counter is new; it counts as seen from now on.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance(counter);
            return true;
        }
        let behind = self.highest - counter;
        if behind == 0 || behind > WINDOW {
            return false;
        }
        let bit = 1u128 << (behind - 1);
        let is_new = self.seen_below & bit == 0;
        self.seen_below |= bit;
        is_new
    }

    fn advance(&mut self, counter: u64) {
        let steps = counter - self.highest;
        self.seen_below = if steps < WINDOW {
            self.seen_below << steps | 1 << (steps - 1)
        } else {
            0
        };
        self.highest = counter;
    }
}
