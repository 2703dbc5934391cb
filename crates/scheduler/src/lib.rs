//! Waiting statements by tenant and sub-queue, ahead of the decision module: which is offered next, within which
//! budgets, for how long at most, and how long a wait will be. Time is handed in; nothing here does I/O.
//!
//! [`Scheduler`] is the entry point. It stands before `dispatch::Dispatcher` and has its calls; [`TenantQueues`] holds
//! what waits, [`QueueResolver`] finds where a statement is to wait.
//!
//! A tenant here is the operator's `member` block, known by its name and its index in [`Config::tenants`]; a sub-queue
//! ([`SubQueueId`]) is a `desk` block of it. `admission::interface::TenantId` is another number: an index into the
//! settings' tenants. Only the names say which of the two belong together.

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
