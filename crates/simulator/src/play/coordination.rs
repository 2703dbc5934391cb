//! What gateways tell each other: engines that look unhealthy, and leases on tenants' budgets.

use std::collections::BTreeMap;

use admission::interface::*;
use scheduler::Scheduler;

use super::events::Event;
use super::{Emulation, moment};
use crate::mesh::{self, Mesh};
use crate::parts::{self, Part};
use crate::scenario::{Budgets, Scenario};

/// Gateways have known each other for so long when a run begins; clocks of the meshes are ahead by it.
const MESH_HEAD_START_S: f64 = 40.0;
/// How often gateways compare what they see of engines, and what they use of budgets.
const EXCHANGE_PERIOD_S: f64 = 0.1;

/// Work that a gateway's queue of a tenant has wanted and paid for so far.
pub(super) type Usage = (f64, f64);

/// The mesh in which gateways exchange engine health, where the scenario has one.
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

/// The mesh in which gateways lease tenants' budgets, where the scenario divides them so.
pub(super) fn lease_mesh(
    scenario: &Scenario,
    queue_terms: Option<&scheduler::Config>,
    seed: u64,
) -> Option<Mesh<Part>> {
    let queue_terms = queue_terms.filter(|_| scenario.budgets == Budgets::Leases)?;
    let lease_terms = parts::members(&queue_terms.tenants, scenario.gateways);
    Some(parts::parts(scenario.gateways, seed, lease_terms))
}

impl Emulation<'_> {
    /// Lets the gateways come to know each other before the run begins.
    pub(super) fn start_coordination(&mut self) {
        if let Some(mesh) = &mut self.health_mesh {
            mesh.start_all();
            mesh.run(MESH_HEAD_START_S);
            self.schedule(0.0, Event::ExchangeHealth);
        }
        if let Some(mesh) = &mut self.lease_mesh {
            mesh.start_all();
            mesh.run(MESH_HEAD_START_S);
        }
        if self.scenario.budgets != Budgets::Guess {
            self.divide_budgets();
        }
    }

    /// Gateways tell each other of engines they ejected, and hear of those that others ejected.
    pub(super) fn exchange_health(&mut self) {
        let now = moment(self.now_s);
        let mesh_now = now + TimeDelta::from_secs(MESH_HEAD_START_S);
        let Some(mesh) = &mut self.health_mesh else {
            return;
        };
        mesh.run(self.now_s + MESH_HEAD_START_S);
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
            scheduler.on_outlier_gossip(now, &heard_doubts(peer, mesh_now));
        }
        self.schedule(self.now_s + EXCHANGE_PERIOD_S, Event::ExchangeHealth);
    }

    /// Gives each gateway its part of the tenants' budgets.
    pub(super) fn divide_budgets(&mut self) {
        if self.fronts.queue_terms.is_none() {
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
        let now = moment(self.now_s);
        let Some(terms) = &self.fronts.queue_terms else {
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
        let now = moment(self.now_s);
        let mesh_now = now + TimeDelta::from_secs(MESH_HEAD_START_S);
        let Some(mesh) = &mut self.lease_mesh else {
            return;
        };
        mesh.run(self.now_s + MESH_HEAD_START_S);
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            let Some(scheduler) = gateway.front.scheduler() else {
                continue;
            };
            let Some(part) = mesh.peer_mut(index) else {
                continue;
            };
            let usage: Vec<(f64, f64)> = scheduler
                .tenant_usage()
                .into_iter()
                .map(|tenant| (tenant.demanded, tenant.spent))
                .collect();
            let rates = leased_rates(part, mesh_now, &self.usage[index], &usage);
            self.usage[index] = usage;
            scheduler.set_leased_budgets(now, &rates);
        }
    }
}

/// Engines that a gateway ejected on what it saw itself, and when each ejection ends.
fn own_ejections(scheduler: &Scheduler) -> BTreeMap<EngineId, Timestamp> {
    let own = scheduler.health().filter(|health| !health.by_gossip);
    own.filter_map(|health| Some((health.id, health.ejected_until?)))
        .collect()
}

/// Tells the others of new or longer ejections, and of those that are over.
fn publish_ejections(
    peer: &mut membership::Node,
    mesh_now: Timestamp,
    published: &BTreeMap<EngineId, Timestamp>,
    ejections: &BTreeMap<EngineId, Timestamp>,
) {
    for (id, until) in ejections {
        if published.get(id).is_none_or(|told| told < until) {
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

/// Doubts about engines that a gateway heard from others, in the time of the run.
fn heard_doubts(peer: &mut membership::Node, mesh_now: Timestamp) -> Vec<OutlierReport> {
    let head_start = TimeDelta::from_secs(MESH_HEAD_START_S);
    let run_time = |mesh_time: Timestamp| mesh_time + (TimeDelta::ZERO - head_start);
    let heard = peer
        .engine_outliers(mesh_now)
        .into_iter()
        .filter_map(|doubt| {
            let id = EngineId(doubt.engine.parse().ok()?);
            Some(OutlierReport {
                id,
                seen: run_time(doubt.seen),
                until: run_time(doubt.until),
            })
        });
    heard.collect()
}

/// Books a gateway's usage since the last time, and returns the rate it may spend for each tenant.
fn leased_rates(
    part: &mut Part,
    mesh_now: Timestamp,
    before: &[Usage],
    usage: &[Usage],
) -> Vec<Option<f64>> {
    let local_now = part.clock(mesh_now);
    let mut rates = Vec::new();
    for (tenant, (wanted, paid)) in usage.iter().enumerate() {
        let (wanted_before, paid_before) = before.get(tenant).copied().unwrap_or_default();
        part.quotas
            .record_demand(local_now, tenant, wanted - wanted_before);
        part.quotas
            .record_spent(local_now, tenant, paid - paid_before);
        rates.push(Some(part.quotas.rate(local_now, tenant)));
    }
    rates
}
