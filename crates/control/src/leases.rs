//! What holds the leases of one gateway.

use admission::interface::{TimeDelta, Timestamp};
use quota::Shares;

use crate::Times;

/// `Shares`, or a type that keeps them beside what it knows of its own.
pub trait Leases {
    fn shares(&self) -> &Shares;

    fn shares_mut(&mut self) -> &mut Shares;

    /// When leases are due next, by the clock of the event loop.
    fn due(&self, times: Times) -> Timestamp {
        times.now + (self.shares().due() - times.steady).max(TimeDelta::ZERO)
    }
}

impl Leases for Shares {
    fn shares(&self) -> &Shares {
        self
    }

    fn shares_mut(&mut self) -> &mut Shares {
        self
    }
}
