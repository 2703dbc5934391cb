//! The status of a gateway's quotas, as shown to operators.

use admission::interface::Timestamp;
use membership::Name;

use crate::amount::Amount;
use crate::lease_ledger::Holding;

/// The status of one budget at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetStatus {
    /// The name of the budget.
    pub budget: String,
    /// The unit of the budget.
    pub unit: &'static str,
    /// What all gateways together may spend per second.
    pub capacity: Amount,
    /// What this gateway may spend per second without a lease.
    pub guaranteed: Amount,
    /// What this gateway is leased per second beyond the guaranteed minimum.
    pub leased: Amount,
    /// The time at which the lease expires; `None` without a lease.
    pub lease_expires: Option<Timestamp>,
    /// The recent demand in units per second, whether or not it could be spent.
    pub wanted: f64,
    /// The number of units spent since the start.
    pub spent: f64,
    /// The number of units that could have been spent since the start.
    pub allowed: f64,
    /// The number of attempts to spend that were refused since the start because too little was
    /// available.
    pub rejected: u64,
    /// The state of the budget at each holder if this gateway is the leader, and empty otherwise.
    pub holdings: Vec<Holding>,
}

/// The status of all budgets at one gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The name of this gateway.
    pub gateway: Name,
    /// The presumed leader; `None` if no leader is known.
    pub leader: Option<Name>,
    /// Whether this gateway is the leader.
    pub is_leader: bool,
    /// The term of the leader that granted the current lease; `None` without a lease.
    pub term: Option<u64>,
    /// The status of each budget, in the order of the configuration.
    pub budgets: Vec<BudgetStatus>,
}
