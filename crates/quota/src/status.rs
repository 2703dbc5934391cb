//! The quotas of a gateway as operators see them.

use admission::interface::Timestamp;
use membership::Name;

use crate::amount::Amount;
use crate::lease_ledger::Holding;

/// One budget at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The budget's name.
    pub budget: String,
    /// Its unit.
    pub unit: &'static str,
    /// What all gateways together may spend a second.
    pub capacity: Amount,
    /// What this gateway may spend a second without a lease.
    pub guaranteed: Amount,
    /// What is leased to it beyond that.
    pub leased: Amount,
    /// When the lease expires; none where it has none.
    pub lease_expires: Option<Timestamp>,
    /// Wanted a second of late, whether or not it could be had.
    pub wanted: f64,
    /// Spent since the start, in units.
    pub spent: f64,
    /// What could have been spent since the start, in units.
    pub allowed: f64,
    /// How often it was wanted and not there.
    pub rejected: u64,
    /// At the leader: what each holder has. Empty elsewhere.
    pub holdings: Vec<Holding>,
}

/// All budgets at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// This gateway.
    pub gateway: Name,
    /// The gateway that it takes for the leader.
    pub leader: Option<Name>,
    /// It is the leader itself.
    pub is_leader: bool,
    /// The term of the leader whose lease it has.
    pub term: Option<u64>,
    /// In the configuration's order.
    pub budgets: Vec<BudgetStatus>,
}
