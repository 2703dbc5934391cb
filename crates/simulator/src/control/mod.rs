//! What the control traffic of a fleet costs by its size, in simulated time: membership between all
//! gateways, the ledger of the coordinator of divided budgets, and a change of that coordinator.
//!
//! Counts follow from the seed alone. CPU time and memory are measured on the machine at hand and
//! kept apart from them.

pub mod command;
pub mod coordinator;
pub mod fit;
pub mod ledger;
pub mod limits;
pub mod measured;
pub mod membership;
