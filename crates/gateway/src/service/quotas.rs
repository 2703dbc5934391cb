//! State shared with the other gateways of the fleet: engines reported as outliers, and this
//! gateway's leased part of the shared quotas.

use admission::interface::Timestamp;
use scheduler::Scheduler;

use super::Service;
use crate::cluster::ClusterEndpoint;

impl Service {
    /// Connects the service to the other gateways of its fleet.
    pub fn set_cluster(&mut self, cluster: ClusterEndpoint) {
        self.cluster = Some(cluster);
    }

    /// Returns the connection to the other gateways; `None` if this gateway is not part of a fleet.
    pub fn cluster(&mut self) -> Option<&mut ClusterEndpoint> {
        self.cluster.as_mut()
    }

    /// Returns the number of engines that outlier detection ejects at present.
    #[must_use]
    pub fn ejected_engines(&self) -> usize {
        count_ejected(&self.scheduler)
    }

    /// Exchanges reports on the health of engines with the other gateways and passes theirs to the
    /// scheduler.
    pub(super) fn gossip_outliers(&mut self, now: Timestamp) {
        let Some(cluster) = &mut self.cluster else {
            return;
        };
        cluster.turn(now);
        let reports =
            cluster.exchange_engine_health(now, self.scheduler.health(), &self.endpoints.registry);
        self.scheduler.on_outlier_gossip(now, &reports);
    }

    /// Gives the queues and the dispatcher the part of the shared quotas that this gateway holds
    /// leases on.
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
