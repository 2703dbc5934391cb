//! What this gateway learns from the others of the fleet: outliers among the engines, and its part of shared quotas.

use admission::interface::Timestamp;
use scheduler::Scheduler;

use super::Service;
use crate::cluster::ClusterEndpoint;

impl Service {
    /// Other gateways are known from now on.
    pub fn set_cluster(&mut self, cluster: ClusterEndpoint) {
        self.cluster = Some(cluster);
    }

    /// The other gateways, where they are known.
    pub fn cluster(&mut self) -> Option<&mut ClusterEndpoint> {
        self.cluster.as_mut()
    }

    /// EngineTransport that are ejected now.
    #[must_use]
    pub fn ejected_engines(&self) -> usize {
        count_ejected(&self.scheduler)
    }

    /// Exchanges what is known of engines with the other gateways.
    pub(super) fn gossip_outliers(&mut self, now: Timestamp) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.turn(now);
        let reports =
            cluster.exchange_engine_health(now, self.scheduler.health(), &self.endpoints.registry);
        self.scheduler.on_outlier_gossip(now, &reports);
    }

    /// Tells the queues and the decisions what this gateway may use of shared quotas at present.
    pub(super) fn update_quotas(&mut self, now: Timestamp) {
        let Some(leases) = self
            .cluster
            .as_mut()
            .and_then(ClusterEndpoint::quota_leases)
        else {
            return;
        };
        if leases.shares_tenant_budgets() {
            let rates = leases.update_tenants(&self.scheduler.tenant_usage());
            self.scheduler.set_leased_budgets(now, &rates);
        }
        let ejected = count_ejected(&self.scheduler);
        let grant = leases.grant(self.scheduler.traffic_share(), self.catalog.peers, ejected);
        self.scheduler.on_quota(grant);
    }
}

fn count_ejected(scheduler: &Scheduler) -> usize {
    let ejected = scheduler.engines().filter(|engine| engine.ejected);
    ejected.count()
}
