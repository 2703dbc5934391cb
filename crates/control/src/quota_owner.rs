//! Access to the quotas of one gateway, whoever holds them.

use quota::FleetQuotas;

/// [`FleetQuotas`], or a type that keeps them beside what it knows of their use.
pub trait QuotaOwner {
    /// The quotas.
    fn quotas(&self) -> &FleetQuotas;

    /// The quotas, to be changed.
    fn quotas_mut(&mut self) -> &mut FleetQuotas;
}

impl QuotaOwner for FleetQuotas {
    fn quotas(&self) -> &FleetQuotas {
        self
    }

    fn quotas_mut(&mut self) -> &mut FleetQuotas {
        self
    }
}
