//! Finds the sub-queue of a statement by the names it carries or by the network of its client.

use std::collections::BTreeMap;
use std::net::IpAddr;

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;

use crate::config::{Config, SubQueueConfig, SubQueueId};

/// The result of [`QueueResolver::resolve`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resolved {
    /// The sub-queue in which the statement waits.
    pub sub_queue: SubQueueId,
    /// Whether every tenant and sub-queue that the statement named is configured.
    pub known: bool,
}

/// Resolves names and networks to sub-queues. If several networks match, the longest prefix wins.
#[derive(Default)]
pub struct QueueResolver {
    tenant_by_name: BTreeMap<String, usize>,
    tenants: Vec<TenantEntry>,
}

/// The sub-queues of one tenant.
struct TenantEntry {
    default: SubQueueId,
    by_name: BTreeMap<String, SubQueueId>,
    by_network_v4: PrefixMap<Ipv4Net, SubQueueId>,
    by_network_v6: PrefixMap<Ipv6Net, SubQueueId>,
}

impl QueueResolver {
    /// Creates a resolver for the tenants of this configuration.
    #[must_use]
    pub fn new(config: &Config) -> Self {
        let mut resolver = QueueResolver::default();
        let mut next = 0;
        for (index, tenant) in config.tenants.iter().enumerate() {
            resolver.tenant_by_name.insert(tenant.name.clone(), index);
            let mut entry = TenantEntry::new(SubQueueId(next));
            for sub_queue in &tenant.sub_queues {
                entry.add(SubQueueId(next), sub_queue);
                next += 1;
            }
            resolver.tenants.push(entry);
        }
        resolver
    }

    /// Finds the sub-queue of a statement. A known sub-queue name takes precedence. A statement
    /// that names no sub-queue is matched by the network of its client. Otherwise it gets the
    /// default sub-queue of its tenant. A statement without a known tenant belongs to the first
    /// tenant.
    #[must_use]
    pub fn resolve(
        &self,
        tenant: Option<&str>,
        sub_queue: Option<&str>,
        client: Option<IpAddr>,
    ) -> Resolved {
        let named_tenant = tenant.and_then(|name| self.tenant_by_name.get(name));
        let Some(entry) = self.tenants.get(named_tenant.copied().unwrap_or(0)) else {
            return Resolved {
                sub_queue: SubQueueId(0),
                known: false,
            };
        };
        let named = sub_queue.and_then(|name| entry.by_name.get(name)).copied();
        let tenant_known = tenant.is_none() || named_tenant.is_some();
        let sub_queue_known = sub_queue.is_none() || named.is_some();
        let by_network = || match sub_queue {
            Some(_) => None,
            None => entry.by_network(client?),
        };
        Resolved {
            sub_queue: named.or_else(by_network).unwrap_or(entry.default),
            known: tenant_known && sub_queue_known,
        }
    }
}

impl TenantEntry {
    fn new(default: SubQueueId) -> Self {
        TenantEntry {
            default,
            by_name: BTreeMap::new(),
            by_network_v4: PrefixMap::new(),
            by_network_v6: PrefixMap::new(),
        }
    }

    fn add(&mut self, id: SubQueueId, config: &SubQueueConfig) {
        self.by_name.insert(config.name.clone(), id);
        for network in &config.networks {
            match network {
                IpNet::V4(network) => {
                    self.by_network_v4.insert(network.trunc(), id);
                }
                IpNet::V6(network) => {
                    self.by_network_v6.insert(network.trunc(), id);
                }
            }
        }
    }

    /// The sub-queue with the longest network prefix that contains the address. IPv4 addresses
    /// mapped to IPv6 are matched as IPv4.
    fn by_network(&self, client: IpAddr) -> Option<SubQueueId> {
        let v4 = match client {
            IpAddr::V4(address) => Some(address),
            IpAddr::V6(address) => address.to_ipv4_mapped(),
        };
        if let Some(address) = v4 {
            let found = self.by_network_v4.get_lpm(&Ipv4Net::from(address));
            return found.map(|(_, id)| *id);
        }
        let IpAddr::V6(address) = client else {
            return None;
        };
        let found = self.by_network_v6.get_lpm(&Ipv6Net::from(address));
        found.map(|(_, id)| *id)
    }
}
