//! The configuration of the tenant queues as plain values. The caller must have validated them.

use admission::interface::TimeDelta;
use ipnet::IpNet;

/// A sub-queue. Its number counts the sub-queues of all tenants in the order of
/// [`Config::tenants`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubQueueId(pub u32);

impl SubQueueId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A tenant, by its index in [`Config::tenants`]. It differs from `admission::interface::TenantId`,
/// which is an index into the tenants of the settings; the two are matched by name only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TenantQueueId(pub(crate) u32);

impl TenantQueueId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// A share of the capacity: a guaranteed part, and a weight for dividing what others leave unused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// The guaranteed capacity, in predicted CPU seconds per second. With zero, only unused
    /// capacity of others is available.
    pub budget: f64,
    /// The weight by which unused capacity is divided among those that borrow.
    pub weight: f64,
}

/// One sub-queue of a tenant: the operator's `desk` block.
#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueConfig {
    /// The name by which statements refer to it.
    pub name: String,
    /// Its share of the capacity of its tenant.
    pub share: CapacityShare,
    /// Statements of clients in these networks wait here if they name no sub-queue.
    pub networks: Vec<IpNet>,
}

/// One tenant: the operator's `member` block.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    /// The name by which statements refer to it.
    pub name: String,
    /// Its share of the total capacity.
    pub share: CapacityShare,
    /// Its sub-queues, at least one. The first one is the default.
    pub sub_queues: Vec<SubQueueConfig>,
}

/// A limit on the amount of waiting work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimit {
    /// The maximum number of statements.
    pub statements: u32,
    /// The maximum sum of predicted CPU seconds.
    pub cpu: f64,
}

/// The tenants, their shares and the limits on waiting work.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The tenants, at least one. The first one gets the statements without a known tenant.
    pub tenants: Vec<TenantConfig>,
    /// How long a sub-queue may be passed over in favor of others before it takes precedence over
    /// them.
    pub ageing: TimeDelta,
    /// The maximum time over which unused budget accumulates.
    pub burst: TimeDelta,
    /// The limit of each sub-queue.
    pub sub_queue_limit: QueueLimit,
    /// The limit of all sub-queues together.
    pub total_limit: QueueLimit,
}

impl Config {
    /// The configuration for one of several gateways that each receive this fraction of the
    /// traffic. Budgets are scaled; limits are not, since they apply to each gateway separately.
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

    /// The number of sub-queues of all tenants.
    #[must_use]
    pub fn sub_queue_count(&self) -> usize {
        self.tenants
            .iter()
            .map(|tenant| tenant.sub_queues.len())
            .sum()
    }
}
