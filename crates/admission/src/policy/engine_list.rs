//! Applies discovery updates to the list of engines: added, restarted and removed engines.

use rand::RngExt;

use crate::interface::{EndpointUpdate, EngineInfo, EngineStage, Timestamp};

use super::Policy;
use super::concurrency_limit::MAX_THREADS_PER_CORE;
use super::engine::Engine;
use super::memory::USABLE_FRACTION;
use super::reservations::Reservations;
use super::slow_start::SlowStartBudget;

/// Cores of an engine of scale 1 if the settings state none for its machine type.
const DEFAULT_CORES: f64 = 8.0;

impl Policy {
    /// Applies an update of the list of engines from discovery.
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
            self.update_engine(now, *info);
        }
        self.forget_removed();
        self.update_fleet_totals();
    }

    /// Adds a listed engine or updates a known one. A changed start time means that it is a new
    /// process.
    fn update_engine(&mut self, now: Timestamp, info: EngineInfo) {
        let new_state = self.new_engine(now, info);
        match self.engines.get_mut(&info.id) {
            None => {
                self.engines.insert(info.id, new_state);
            }
            Some(engine) if engine.info.started != info.started => engine.restart(new_state),
            Some(engine) => engine.info = info,
        }
    }

    /// Creates the state of a listed engine. It draws a random number for each listed engine,
    /// including known ones.
    fn new_engine(&mut self, now: Timestamp, info: EngineInfo) -> Engine {
        let machine = usize::from(info.machine.0);
        let configured = |by_machine: &[f64]| {
            let value = by_machine.get(machine).copied();
            value.filter(|value| *value > 0.0)
        };
        // Without configured cores, the scales in the list still give the relative sizes of
        // engines.
        let has_scale = info.scale > 0.0 && info.scale.is_finite();
        let scale = if has_scale { info.scale } else { 1.0 };
        let cores = configured(&self.fleet.cores).unwrap_or(DEFAULT_CORES * scale);
        let memory_mb = configured(&self.fleet.memory_mb).unwrap_or(f64::INFINITY);
        let peers = self.fleet.peers;
        let reservations = Reservations::new(
            now,
            cores / peers,
            memory_mb / peers * USABLE_FRACTION,
            self.classes.len(),
        );
        let typical_s = self.cost_model.mean_typical_cpu_s();
        let slow_start = SlowStartBudget::new(self.rng.random(), typical_s);
        Engine::new(info, reservations, slow_start)
    }

    /// Drops removed engines once their last attempt has ended.
    fn forget_removed(&mut self) {
        self.engines.retain(|_, engine| {
            let is_listed = engine.info.stage != EngineStage::Removed;
            is_listed || engine.in_flight > 0
        });
    }

    /// Recomputes the totals of the ready engines. The concurrency limit keeps its ratio to the
    /// cores.
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
            // With less than one core per engine, a limit of one thread per core would reject
            // statements after each restart of this gateway until outcomes raised the limit.
            MAX_THREADS_PER_CORE
        } else {
            1.0
        };
        totals.cores = cores;
        totals.limit.set(cores * limit_per_core);
        totals.memory.limit_mb = memory_mb;
    }
}
