//! Detection of replayed datagrams.

/// The number of counters below the highest one that are tracked. Older counters are treated as
/// replays.
const WINDOW_SIZE: u64 = 128;

/// The message counters that were received from one boot. A late counter is accepted once while it
/// is within the window, and rejected below it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    highest: u64,
    /// One bit for each tracked counter below the highest one. The lowest bit is the next lower
    /// counter.
    seen_below: u128,
}

impl ReplayWindow {
    /// Returns whether a counter is new, and marks it as seen.
    pub fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            self.advance(counter);
            return true;
        }
        let behind = self.highest - counter;
        if behind == 0 || behind > WINDOW_SIZE {
            return false;
        }
        let bit = 1u128 << (behind - 1);
        let is_new = self.seen_below & bit == 0;
        self.seen_below |= bit;
        is_new
    }

    fn advance(&mut self, counter: u64) {
        let distance = counter - self.highest;
        self.seen_below = if distance < WINDOW_SIZE {
            self.seen_below << distance | 1 << (distance - 1)
        } else {
            0
        };
        self.highest = counter;
    }
}
