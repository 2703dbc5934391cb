//! Waiting statements by tenant and sub-queue, ahead of the decision module: which is offered next, within which
//! budgets, for how long at most, and how long a wait will be. Time is handed in; nothing here does I/O.
//!
//! The operator's `member` block is a *tenant queue* here ([`TenantQueueId`], an index into [`Config::tenants`]). It
//! and `admission::interface::TenantId`, an index into the settings' tenants, are matched by name alone: their numbers
//! differ.

mod config;
mod credit;
mod estimate;
mod scheduler;
mod tenant_queues;
mod treap;

pub use config::{
    CapacityShare, Config, QueueLimit, QueueResolver, Resolved, SubQueueConfig, SubQueueId,
    TenantConfig, TenantQueueId,
};
pub use estimate::WaitEstimate;
pub use scheduler::{Metrics, Scheduler, WaitProgress};
pub use tenant_queues::{
    EnqueueOutcome, EnqueueRequest, EnqueueResult, FinishedWait, Offer, StatementStatus,
    SubQueueStatus, TenantQueues, TenantUsage,
};
pub use treap::{CapacityFrontier, ResourceNeed, TreapArena, TreapRoot};
