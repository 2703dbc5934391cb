//! Budgets that all gateways share, divided among them by leases: the leases of a budget never sum to more than its
//! capacity. Pure: messages and time in; messages, events and the next wake-up time out. Nothing here does I/O.
//!
//! The voters, an odd number of named gateways, elect a leader for a term. Every gateway is a holder: it asks the leader
//! for a lease of what it needs, renews it, and may spend by it until it expires. Beside its lease each gateway has a
//! guaranteed minimum of every budget.
//!
//! What may be spent rests on leases and on each gateway's own steady clock, not on which gateways are thought to be up:
//! docs/notes/shares.md says why the sum holds through loss, partitions, kills and suspended processes.
//!
//! | module | what it is |
//! | --- | --- |
//! | [`fleet_quotas`] | what a gateway uses: spending, demand, messages in and out |
//! | [`participant`] | one gateway's part in the protocol |
//! | [`voter`], [`leader`], [`lease_ledger`], [`lease_holder`] | its roles |
//! | [`message`] | the wire format |
//! | [`max_min`] | how a capacity is divided by demand |
//! | [`config`] | budgets, voters and times, validated |
//! | [`fault_injection`] | for the model search alone |

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
