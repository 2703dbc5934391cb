//! Access to the quotas of one gateway, independently of the type that contains them.

use quota::FleetQuotas;

/// [`FleetQuotas`], or a type that contains it together with state of its own.
pub trait QuotaOwner {
    /// The quotas.
    fn quotas(&self) -> &FleetQuotas;

    /// The quotas, for modification.
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
