//! What this gateway learns from the others of the fleet: outliers among the engines, and its part of shared quotas.

use admission::interface::Timestamp;
use scheduler::Scheduler;

use super::Service;
use crate::fleet::Fleet;
use crate::fleet::parts::Flow;

impl Service {
    /// Other gateways are known from now on.
    pub fn join_fleet(&mut self, fleet: Fleet) {
        self.fleet = Some(fleet);
    }

    /// The other gateways, where they are known.
    pub fn fleet(&mut self) -> Option<&mut Fleet> {
        self.fleet.as_mut()
    }

    /// EngineTransport that are ejected now.
    #[must_use]
    pub fn ejected_engines(&self) -> usize {
        count_ejected(&self.scheduler)
    }

    /// Exchanges what is known of engines with the other gateways.
    pub(super) fn gossip_outliers(&mut self, now: Timestamp) {
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        fleet.turn(now);
        let reports = fleet.engines(now, self.scheduler.health(), &self.endpoints.registry);
        self.scheduler.on_outlier_gossip(now, &reports);
    }

    /// Tells the queues and the decisions what this gateway may use of shared quotas at present.
    pub(super) fn update_quotas(&mut self, now: Timestamp) {
        let Some(parts) = self.fleet.as_mut().and_then(Fleet::parts) else {
            return;
        };
        if parts.divides_members() {
            let usage = self.scheduler.tenant_usage().into_iter();
            let flows: Vec<Flow> = usage
                .map(|usage| Flow {
                    wanted: usage.demanded,
                    paid: usage.spent,
                })
                .collect();
            let rates = parts.members(&flows);
            self.scheduler.set_leased_budgets(now, &rates);
        }
        let ejected = count_ejected(&self.scheduler);
        let grant = parts.allowed(self.scheduler.traffic_share(), self.catalog.peers, ejected);
        self.scheduler.on_quota(grant);
    }
}

fn count_ejected(scheduler: &Scheduler) -> usize {
    let ejected = scheduler.engines().filter(|engine| engine.ejected);
    ejected.count()
}
