//! Queues for the statements that wait ahead of the decision module, by tenant and sub-queue. They
//! decide which statement is offered next, which budget pays for it, how long it may wait, and how
//! long its wait is expected to take. The caller passes the time in; nothing here does I/O.
//!
//! [`Scheduler`] is the entry point: it wraps `dispatch::Dispatcher` and has the same methods.
//! [`TenantQueues`] holds the waiting statements, and [`QueueResolver`] finds the sub-queue in
//! which a statement waits.
//!
//! In this crate, a tenant is the operator's `member` block, identified by its name and its index
//! in [`Config::tenants`], and a sub-queue ([`SubQueueId`]) is a `desk` block inside it.
//! `admission::interface::TenantId` is a different number, an index into the tenants of the
//! settings; the two are matched by name only.

mod backlog;
mod charges;
mod class_queues;
mod config;
mod credit;
mod float_key;
mod frontier;
mod histogram;
mod key_order;
mod metrics;
mod passed_over;
mod rank;
mod rate;
mod refill;
mod resolver;
mod scheduler;
mod tenant_queues;
mod tenant_tree;
mod treap;
mod turn;
mod wait_estimate;
mod wait_forecast;
mod waiting;

pub use config::{CapacityShare, Config, QueueLimit, SubQueueConfig, SubQueueId, TenantConfig};
pub use frontier::{CapacityFrontier, ResourceNeed};
pub use metrics::Metrics;
pub use resolver::{QueueResolver, Resolved};
pub use scheduler::{Scheduler, WaitProgress};
pub use tenant_queues::{
    EnqueueOutcome, EnqueueRequest, EnqueueResult, Eviction, Offer, StatementStatus,
    SubQueueStatus, TenantQueues,
};
pub use tenant_tree::TenantUsage;
pub use treap::{QueuedStatement, TreapArena, TreapRoot, Work};
pub use wait_estimate::WaitEstimate;
pub use waiting::FinishedWait;
