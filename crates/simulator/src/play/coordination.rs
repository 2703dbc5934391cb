//! What gateways exchange: outlier detection results and leases of the tenants' budgets.

use std::collections::BTreeMap;

use admission::interface::*;
use scheduler::Scheduler;

use super::events::Event;
use super::{Emulation, timestamp};
use crate::mesh::{self, Mesh};
use crate::parts::{self, Part};
use crate::scenario::{Budgets, Scenario};

/// How long the gateways have been a cluster when a run begins. The clocks of the meshes are ahead
/// of the run by this.
const MESH_WARM_UP_S: f64 = 40.0;
/// The period of the exchange of engine health and of the division of budgets.
const EXCHANGE_PERIOD_S: f64 = 0.1;

/// The demand of a tenant at one gateway, and the budget spent there, in CPU seconds since the
/// gateway's start.
pub(super) type Usage = (f64, f64);

/// The mesh in which gateways exchange engine health. `None` if the scenario's gateways form no
/// cluster.
pub(super) fn health_mesh(scenario: &Scenario, seed: u64) -> Option<Mesh<membership::Node>> {
    if !scenario.fleet {
        return None;
    }
    Some(mesh::gateways(
        scenario.gateways,
        seed,
        membership::Config::default(),
    ))
}

/// The mesh in which gateways lease tenants' budgets. `None` unless the scenario divides budgets by
/// leases.
pub(super) fn lease_mesh(
    scenario: &Scenario,
    queue_config: Option<&scheduler::Config>,
    seed: u64,
) -> Option<Mesh<Part>> {
    let queue_config = queue_config.filter(|_| scenario.budgets == Budgets::Leases)?;
    let lease_terms = parts::members(&queue_config.tenants, scenario.gateways);
    Some(parts::parts(scenario.gateways, seed, lease_terms))
}

impl Emulation<'_> {
    /// Lets the gateways form a cluster before the run begins, and schedules their exchanges.
    pub(super) fn start_coordination(&mut self) {
        if let Some(mesh) = &mut self.health_mesh {
            mesh.start_all();
            mesh.run(MESH_WARM_UP_S);
            self.schedule(0.0, Event::ExchangeHealth);
        }
        if let Some(mesh) = &mut self.lease_mesh {
            mesh.start_all();
            mesh.run(MESH_WARM_UP_S);
        }
        if self.scenario.budgets != Budgets::Guess {
            self.divide_budgets();
        }
    }

    /// Publishes each gateway's own ejections of engines, and passes it those of the others.
    pub(super) fn exchange_health(&mut self) {
        let now = timestamp(self.now_s);
        let mesh_now = now + TimeDelta::from_secs(MESH_WARM_UP_S);
        let Some(mesh) = &mut self.health_mesh else {
            return;
        };
        mesh.run(self.now_s + MESH_WARM_UP_S);
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(peer) = mesh.peer_mut(index) else {
                continue;
            };
            let Some(scheduler) = gateway.front.scheduler() else {
                continue;
            };
            let ejections = own_ejections(scheduler);
            publish_ejections(peer, mesh_now, &gateway.published_ejections, &ejections);
            gateway.published_ejections = ejections;
            scheduler.on_outlier_gossip(now, &received_outliers(peer, mesh_now));
        }
        self.schedule(self.now_s + EXCHANGE_PERIOD_S, Event::ExchangeHealth);
    }

    /// Sets each gateway's part of the tenants' budgets.
    pub(super) fn divide_budgets(&mut self) {
        if self.fronts.queue_config.is_none() {
            return;
        }
        if self.lease_mesh.is_some() {
            self.lease_budgets();
        } else {
            self.divide_evenly();
        }
        self.schedule(self.now_s + EXCHANGE_PERIOD_S, Event::DivideBudgets);
    }

    fn divide_evenly(&mut self) {
        let now = timestamp(self.now_s);
        let Some(terms) = &self.fronts.queue_config else {
            return;
        };
        let share = 1.0 / self.gateways.len() as f64;
        let rates: Vec<_> = terms
            .tenants
            .iter()
            .map(|tenant| Some(tenant.share.budget * share))
            .collect();
        for gateway in &mut self.gateways {
            if let Some(scheduler) = gateway.front.scheduler() {
                scheduler.set_leased_budgets(now, &rates);
            }
        }
    }

    fn lease_budgets(&mut self) {
        let now = timestamp(self.now_s);
        let mesh_now = now + TimeDelta::from_secs(MESH_WARM_UP_S);
        let Some(mesh) = &mut self.lease_mesh else {
            return;
        };
        mesh.run(self.now_s + MESH_WARM_UP_S);
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(scheduler) = gateway.front.scheduler() else {
                continue;
            };
            let Some(participant) = mesh.peer_mut(index) else {
                continue;
            };
            let usage: Vec<(f64, f64)> = scheduler
                .tenant_usage()
                .into_iter()
                .map(|tenant| (tenant.demanded, tenant.spent))
                .collect();
            let rates = leased_rates(participant, mesh_now, &self.usage[index], &usage);
            self.usage[index] = usage;
            scheduler.set_leased_budgets(now, &rates);
        }
    }
}

/// The engines that a gateway ejected because of its own observations, and when each ejection ends.
fn own_ejections(scheduler: &Scheduler) -> BTreeMap<EngineId, Timestamp> {
    let own = scheduler.health().filter(|health| !health.by_gossip);
    own.filter_map(|health| Some((health.id, health.ejected_until?)))
        .collect()
}

/// Publishes new and extended ejections as failing engines, and ended ones as recovered.
fn publish_ejections(
    peer: &mut membership::Node,
    mesh_now: Timestamp,
    published: &BTreeMap<EngineId, Timestamp>,
    ejections: &BTreeMap<EngineId, Timestamp>,
) {
    for (id, until) in ejections {
        if published
            .get(id)
            .is_none_or(|published_until| published_until < until)
        {
            peer.report_engine(
                mesh_now,
                &id.0.to_string(),
                membership::EngineStatus::Failing,
            );
        }
    }
    for id in published.keys().filter(|id| !ejections.contains_key(id)) {
        peer.report_engine(
            mesh_now,
            &id.0.to_string(),
            membership::EngineStatus::Recovered,
        );
    }
}

/// The outliers that other gateways reported, with times in the clock of the run.
fn received_outliers(peer: &mut membership::Node, mesh_now: Timestamp) -> Vec<OutlierReport> {
    let warm_up = TimeDelta::from_secs(MESH_WARM_UP_S);
    let run_time = |mesh_time: Timestamp| mesh_time + (TimeDelta::ZERO - warm_up);
    let received = peer
        .engine_outliers(mesh_now)
        .into_iter()
        .filter_map(|outlier| {
            let id = EngineId(outlier.engine.parse().ok()?);
            Some(OutlierReport {
                id,
                seen: run_time(outlier.seen),
                until: run_time(outlier.until),
            })
        });
    received.collect()
}

/// Records a gateway's usage since the last call, and returns the rate that it may spend for each
/// tenant.
fn leased_rates(
    participant: &mut Part,
    mesh_now: Timestamp,
    before: &[Usage],
    usage: &[Usage],
) -> Vec<Option<f64>> {
    let local_now = participant.clock(mesh_now);
    let mut rates = Vec::new();
    for (tenant, (demanded, spent)) in usage.iter().enumerate() {
        let (demanded_before, spent_before) = before.get(tenant).copied().unwrap_or_default();
        participant
            .quotas
            .record_demand(local_now, tenant, demanded - demanded_before);
        participant
            .quotas
            .record_spent(local_now, tenant, spent - spent_before);
        rates.push(Some(participant.quotas.rate(local_now, tenant)));
    }
    rates
}
