//! Follows the list of engines: new ones, restarted ones, and those that are gone.

use rand::RngExt;

use crate::interface::{EndpointUpdate, EngineInfo, EngineStage, Timestamp};

use super::Policy;
use super::concurrency_limit::WIDEST_PER_CORE;
use super::engine::Engine;
use super::memory::USABLE_SHARE;
use super::reservations::Reservations;
use super::slow_start::SlowStartBudget;

/// Cores of a plain engine, where the settings tell none.
const PLAIN_CORES: f64 = 8.0;

impl Policy {
    /// What discovery says of the list of engines.
    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        self.discovery.on_answer();
        let listed = match update {
            EndpointUpdate::Failed => {
                self.discovery.on_failure(now);
                return;
            }
            EndpointUpdate::Events(listed) => listed,
            EndpointUpdate::Snapshot(listed) => {
                for engine in self.engines.values_mut() {
                    engine.info.stage = EngineStage::Removed;
                }
                listed
            }
        };
        for info in listed {
            self.list_engine(now, *info);
        }
        self.forget_removed();
        self.update_fleet_totals();
    }

    fn list_engine(&mut self, now: Timestamp, info: EngineInfo) {
        let fresh = self.new_engine(now, info);
        match self.engines.get_mut(&info.id) {
            None => {
                self.engines.insert(info.id, fresh);
            }
            Some(engine) if engine.info.started != info.started => engine.restart(fresh),
            Some(engine) => engine.info = info,
        }
    }

    /// Draws its chance for each listed engine, also where it is known already.
    fn new_engine(&mut self, now: Timestamp, info: EngineInfo) -> Engine {
        let machine = usize::from(info.machine.0);
        let told = |by_machine: &[f64]| {
            let value = by_machine.get(machine).copied();
            value.filter(|value| *value > 0.0)
        };
        // Without told cores, the sizes in the list still compare engines.
        let has_scale = info.scale > 0.0 && info.scale.is_finite();
        let scale = if has_scale { info.scale } else { 1.0 };
        let cores = told(&self.fleet.cores).unwrap_or(PLAIN_CORES * scale);
        let memory_mb = told(&self.fleet.memory_mb).unwrap_or(f64::INFINITY);
        let peers = self.fleet.peers;
        let reservations = Reservations::new(
            now,
            cores / peers,
            memory_mb / peers * USABLE_SHARE,
            self.classes.len(),
        );
        let usual_s = self.cost_model.usual_cpu_of_any_class_s();
        let slow_start = SlowStartBudget::new(self.rng.random(), usual_s);
        Engine::new(info, reservations, slow_start)
    }

    /// Removed engines leave once their last attempt is over.
    fn forget_removed(&mut self) {
        self.engines.retain(|_, engine| {
            let is_listed = engine.info.stage != EngineStage::Removed;
            is_listed || engine.in_flight > 0
        });
    }

    /// Sums up the shares of the ready engines; the limit keeps its proportion to the cores.
    fn update_fleet_totals(&mut self) {
        let ready = || {
            let engines = self.engines.values().filter(|engine| engine.is_ready());
            engines.map(|engine| &engine.reservations)
        };
        let cores: f64 = ready().map(|reservations| reservations.cores).sum();
        let memory_mb: f64 = ready()
            .map(|reservations| reservations.memory.limit_mb)
            .sum();
        let is_small_share = cores < ready().count() as f64;
        let totals = &mut self.fleet_totals;
        let limit_per_core = if totals.cores > 0.0 {
            totals.limit.threads() / totals.cores
        } else if is_small_share {
            // Under a thread an engine, each restart would reject until outcomes widened the limit.
            WIDEST_PER_CORE
        } else {
            1.0
        };
        totals.cores = cores;
        totals.limit.set(cores * limit_per_core);
        totals.memory.limit_mb = memory_mb;
    }
}
