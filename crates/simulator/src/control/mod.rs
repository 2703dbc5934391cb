//! Measures, in simulated time, what the control traffic of a cluster costs by its size: membership
//! among all gateways, the ledger of the budget coordinator, and the failover of the coordinator.
//! Counts depend on the seed alone. CPU time and memory depend on the machine and are kept separate
//! from them.

pub mod command;
pub mod coordinator;
pub mod fit;
pub mod ledger;
pub mod limits;
pub mod measured;
pub mod membership;
