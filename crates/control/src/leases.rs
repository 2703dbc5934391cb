//! What holds the leases of one gateway.

use admission::interface::{TimeDelta, Timestamp};
use quota::FleetQuotas;

use crate::Times;

/// `FleetQuotas`, or a type that keeps them beside what it knows of its own.
pub trait Leases {
    fn quotas(&self) -> &FleetQuotas;

    fn quotas_mut(&mut self) -> &mut FleetQuotas;

    /// When leases are due next, by the clock of the event loop.
    fn due(&self, times: Times) -> Timestamp {
        times.now + (self.quotas().next_wakeup() - times.steady).max(TimeDelta::ZERO)
    }
}

impl Leases for FleetQuotas {
    fn quotas(&self) -> &FleetQuotas {
        self
    }

    fn quotas_mut(&mut self) -> &mut FleetQuotas {
        self
    }
}
