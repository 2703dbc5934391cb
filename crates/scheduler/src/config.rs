//! What the operator says of teams: plain values, checked before they come here.

use std::collections::BTreeMap;
use std::net::IpAddr;

use admission::interface::TimeDelta;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

/// A sub_queue, numbered over all tenants; the place where statements wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubQueueId(pub u32);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantQueueId(pub u32);

/// A part of the capacity: what is owed, and how what others leave is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityShare {
    /// Predicted CPU seconds a second. Zero: nothing is owed, only what others leave.
    pub budget: f64,
    /// Part of what others leave, beside the others' weights.
    pub weight: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueConfig {
    pub name: String,
    pub share: CapacityShare,
    pub networks: Vec<IpNet>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct TenantConfig {
    pub name: String,
    pub share: CapacityShare,
    /// At least one; the first is the default one.
    pub sub_queues: Vec<SubQueueConfig>,
}

/// How much may wait, in statements and in predicted CPU seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueueLimit {
    pub statements: u32,
    pub cpu: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// At least one; the first takes those of no known tenant.
    pub tenants: Vec<TenantConfig>,
    /// How long a sub_queue's first statement may be passed over by those of other sub_queues before it goes ahead of them.
    pub ageing: TimeDelta,
    /// Budgets save up over this time at most.
    pub burst: TimeDelta,
    pub sub_queue_limit: QueueLimit,
    pub total_limit: QueueLimit,
}

impl Config {
    /// What is owed at one of several gateways that each see this part of the traffic. Bounds are each gateway's own.
    pub fn scaled(&self, fraction: f64) -> Config {
        let mut config = self.clone();
        for tenant in &mut config.tenants {
            tenant.share.budget *= fraction;
            tenant
                .sub_queues
                .iter_mut()
                .for_each(|sub_queue| sub_queue.share.budget *= fraction);
        }
        config
    }

    pub fn sub_queue_count(&self) -> usize {
        self.tenants
            .iter()
            .map(|tenant| tenant.sub_queues.len())
            .sum()
    }
}

/// Where a statement belongs, and whether its tenant and sub_queue are known ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    pub sub_queue: SubQueueId,
    pub known: bool,
}

#[derive(Default)]
struct TenantQueue {
    first: u32,
    sub_queues: BTreeMap<String, u32>,
    v4: PrefixMap<Ipv4Net, u32>,
    v6: PrefixMap<Ipv6Net, u32>,
}

/// Finds sub_queues by tenant and sub_queue name or by the client's network, longest prefix first.
#[derive(Default)]
pub struct QueueResolver {
    by_name: BTreeMap<String, usize>,
    tenants: Vec<TenantQueue>,
}

impl QueueResolver {
    pub fn new(config: &Config) -> Self {
        let (mut resolver, mut next) = (QueueResolver::default(), 0);
        for (at, config) in config.tenants.iter().enumerate() {
            resolver.by_name.insert(config.name.clone(), at);
            let mut tenant = TenantQueue {
                first: next,
                ..TenantQueue::default()
            };
            for sub_queue in &config.sub_queues {
                tenant.sub_queues.insert(sub_queue.name.clone(), next);
                for network in &sub_queue.networks {
                    match network {
                        IpNet::V4(network) => drop(tenant.v4.insert(network.trunc(), next)),
                        IpNet::V6(network) => drop(tenant.v6.insert(network.trunc(), next)),
                    }
                }
                next += 1;
            }
            resolver.tenants.push(tenant);
        }
        resolver
    }

    /// `sub_queue`: as the statement names it. Without a known one the client's network decides, then the tenant's
    /// default; without a known tenant, the first tenant.
    pub fn resolve(
        &self,
        tenant: Option<&str>,
        sub_queue: Option<&str>,
        from: Option<IpAddr>,
    ) -> Resolved {
        let named = tenant.and_then(|name| self.by_name.get(name));
        let Some(of) = self.tenants.get(named.copied().unwrap_or(0)) else {
            return Resolved {
                sub_queue: SubQueueId(0),
                known: false,
            };
        };
        let told = sub_queue.and_then(|name| of.sub_queues.get(name)).copied();
        let by_network = || match from? {
            IpAddr::V4(address) => of.v4.get_lpm(&Ipv4Net::from(address)).map(|found| *found.1),
            IpAddr::V6(address) => match address.to_ipv4_mapped() {
                Some(address) => of.v4.get_lpm(&Ipv4Net::from(address)).map(|found| *found.1),
                None => of.v6.get_lpm(&Ipv6Net::from(address)).map(|found| *found.1),
            },
        };
        let known =
            (tenant.is_none() || named.is_some()) && (sub_queue.is_none() || told.is_some());
        let at = told
            .or_else(|| by_network().filter(|_| sub_queue.is_none()))
            .unwrap_or(of.first);
        Resolved {
            sub_queue: SubQueueId(at),
            known,
        }
    }
}
