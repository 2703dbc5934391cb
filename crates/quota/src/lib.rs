//! Budgets that all gateways share and divide among themselves by leases. The leases and guaranteed
//! minimums of a budget never sum to more than its capacity. The crate performs no I/O: callers
//! pass in messages and the time, and take out messages, events and the time of the next wake-up.
//!
//! The voters, an odd number of named gateways, elect a leader for a term. Every gateway is a
//! holder: it requests from the leader a lease that covers its demand, renews the lease, and may
//! spend under it until the lease expires. In addition to its lease, each gateway has a guaranteed
//! minimum of every budget.
//!
//! Spending depends on leases and on each gateway's own steady clock, not on which gateways
//! membership considers alive. `docs/notes/shares.md` explains why the sum stays within the
//! capacity through message loss, partitions, kills and suspended processes.
//!
//! | module | content |
//! | --- | --- |
//! | [`fleet_quotas`] | the interface for a gateway: spending, demand, incoming and outgoing messages |
//! | [`participant`] | the state machine of one gateway in the lease protocol |
//! | [`voter`], [`leader`], [`lease_ledger`], [`lease_holder`] | the roles in the protocol |
//! | [`message`] | the wire format |
//! | [`max_min`] | the division of a capacity by demand |
//! | [`clock_drift`] | the detection of holders whose clocks drift too far |
//! | [`demand`], [`token_bucket`], [`amount`] | demand estimation, rate limiting, fixed-point amounts |
//! | [`status`] | the status for operators |
//! | [`config`] | the validated configuration of budgets, voters and durations |
//! | [`fault_injection`] | disabled safety mechanisms, for the model search only |

pub mod amount;
pub mod clock_drift;
pub mod config;
pub mod demand;
pub mod fault_injection;
pub mod fleet_quotas;
pub mod leader;
pub mod lease_holder;
pub mod lease_ledger;
pub mod max_min;
pub mod message;
pub mod participant;
mod splitmix;
pub mod status;
pub mod token_bucket;
pub mod voter;

pub use amount::Amount;
pub use config::{Budget, BudgetKey, BudgetKind, Config, ConfigError};
pub use fault_injection::FaultInjection;
pub use fleet_quotas::{FleetQuotas, Metrics};
pub use lease_ledger::Holding;
pub use message::{HolderId, Message, Payload, RejectReason, RequestId};
pub use participant::{ConfigDifference, Event, Participant};
pub use status::{BudgetStatus, Status};
pub use token_bucket::TokenBucket;
