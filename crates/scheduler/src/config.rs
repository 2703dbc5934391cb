//! What the operator configures of tenant queues: plain values, checked before they come here.

use admission::interface::TimeDelta;
use ipnet::IpNet;

/// A sub-queue, numbered over all tenants in the order of [`Config::tenants`]: statements wait in these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubQueueId(pub u32);

impl SubQueueId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A tenant's queue, by its index in [`Config::tenants`]. It is no `admission::interface::TenantId`: that is an index
/// into the settings' tenants, and only their names say which of the two belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TenantQueueId(pub(crate) u32);

impl TenantQueueId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A part of the capacity: what is guaranteed, and how what others leave is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// Predicted CPU seconds a second. Zero: nothing is guaranteed, only what others leave is used.
    pub budget: f64,
    /// Part of what others leave, beside the others' weights.
    pub weight: f64,
}

/// One sub-queue of a tenant: the operator's `desk` block.
#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueConfig {
    /// Its name, as statements give it.
    pub name: String,
    /// Its part of its tenant's capacity.
    pub share: CapacityShare,
    /// Statements of clients in these networks wait here unless they name a sub-queue.
    pub networks: Vec<IpNet>,
}

/// One tenant: the operator's `member` block.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// Its name, as statements give it.
    pub name: String,
    /// Its part of the capacity.
    pub share: CapacityShare,
    /// At least one; the first is the default one.
    pub sub_queues: Vec<SubQueueConfig>,
}

/// How much may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimit {
    /// Statements.
    pub statements: u32,
    /// Predicted CPU seconds.
    pub cpu: f64,
}

/// The tenants, their shares and the bounds of what waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// At least one; the first takes the statements of no known tenant.
    pub tenants: Vec<TenantConfig>,
    /// How long a sub-queue's first statement may be passed over by those of others before it goes ahead of them.
    pub ageing: TimeDelta,
    /// An unused budget accumulates over this time at most.
    pub burst: TimeDelta,
    /// Bound of each sub-queue.
    pub sub_queue_limit: QueueLimit,
    /// Bound of all sub-queues together.
    pub total_limit: QueueLimit,
}

impl Config {
    /// The configuration of one of several gateways that each see this fraction of the traffic: budgets are scaled,
    /// limits are each gateway's own.
    #[must_use]
    pub fn scaled(&self, fraction: f64) -> Config {
        let mut config = self.clone();
        for tenant in &mut config.tenants {
            tenant.share.budget *= fraction;
            for sub_queue in &mut tenant.sub_queues {
                sub_queue.share.budget *= fraction;
            }
        }
        config
    }

    /// How many sub-queues all tenants have.
    #[must_use]
    pub fn sub_queue_count(&self) -> usize {
        self.tenants
            .iter()
            .map(|tenant| tenant.sub_queues.len())
            .sum()
    }
}
