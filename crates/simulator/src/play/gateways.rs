//! Emulated gateways: their start, shutdown and crash, and the engine list updates that they
//! receive.

use std::collections::BTreeMap;

use admission::interface::*;

use super::events::Event;
use super::statements::Statement;
use super::wait_history::WaitHistory;
use super::{Emulation, timestamp};
use crate::front::Front;

/// How long a gateway that shuts down gracefully may take to finish its statements.
const SHUTDOWN_GRACE_S: f64 = 2.0;
/// How long a client takes to notice that its gateway was killed, and to retry.
const CRASH_NOTICED_S: f64 = 0.2;

/// An emulated gateway.
pub(super) struct Gateway {
    pub(super) front: Front,
    /// The delay with which changes of the engine list reach this gateway.
    pub(super) list_delay_s: f64,
    /// Whether its clients go to the next gateway instead.
    pub(super) away: bool,
    pub(super) next_tick_s: f64,
    /// The number of ticks scheduled so far. Only the latest one is processed.
    pub(super) tick_generation: u64,
    /// Past waits, by queue and query class.
    pub(super) wait_history: BTreeMap<(u32, usize), WaitHistory>,
    /// Its own ejections of engines as last published to other gateways, and when each ends.
    pub(super) published_ejections: BTreeMap<EngineId, Timestamp>,
}

impl Gateway {
    pub(super) fn new(front: Front, list_delay_s: f64) -> Self {
        Gateway {
            front,
            list_delay_s,
            away: false,
            next_tick_s: f64::INFINITY,
            tick_generation: 0,
            wait_history: BTreeMap::new(),
            published_ejections: BTreeMap::new(),
        }
    }
}

impl Emulation<'_> {
    /// Schedules a gateway's next tick at `at_s`, unless an earlier one is already scheduled.
    pub(super) fn wake_gateway(&mut self, gateway: usize, at_s: f64) {
        let woken = &mut self.gateways[gateway];
        if woken.next_tick_s <= at_s {
            return;
        }
        woken.next_tick_s = at_s;
        woken.tick_generation += 1;
        let generation = woken.tick_generation;
        self.schedule(
            at_s,
            Event::GatewayTick {
                gateway,
                generation,
            },
        );
    }

    /// The gateway that serves the clients of `preferred`: itself, or the next one that is not
    /// away.
    pub(super) fn serving_gateway(&self, preferred: usize) -> usize {
        let count = self.gateways.len();
        let mut candidates = (0..count).map(|step| (preferred + step) % count);
        candidates
            .find(|gateway| !self.gateways[*gateway].away)
            .unwrap_or(preferred)
    }

    /// Shuts a gateway down gracefully: its clients go to the next gateway, and it has
    /// [`SHUTDOWN_GRACE_S`] to finish its statements.
    pub(super) fn stop_gateway(&mut self, gateway: usize) {
        let end_s = self.now_s + SHUTDOWN_GRACE_S;
        self.gateways[gateway].away = true;
        if let Some(scheduler) = self.gateways[gateway].front.scheduler() {
            scheduler.drain_by(timestamp(end_s));
        }
        for statement in self.open_statements(gateway) {
            if let Some(attempt) = self.statements[statement].in_flight {
                self.schedule(
                    end_s,
                    Event::AttemptTimeout {
                        statement,
                        attempt: attempt.number,
                    },
                );
            }
        }
        if let Some(mesh) = &mut self.health_mesh {
            mesh.leave(gateway);
        }
        if let Some(mesh) = &mut self.lease_mesh {
            mesh.leave(gateway);
        }
    }

    /// Kills a gateway. All its statements are lost.
    pub(super) fn kill_gateway(&mut self, gateway: usize) {
        self.gateways[gateway].away = true;
        for statement in self.open_statements(gateway) {
            self.lose_statement(statement);
        }
        // A new scheduler replaces the old one, which must not go on answering the lost statements.
        self.gateways[gateway].front = self.fronts.build(self.seed, gateway);
        self.connections.close_idle_of_gateway(gateway);
        if let Some(mesh) = &mut self.health_mesh {
            mesh.kill(gateway);
        }
        if let Some(mesh) = &mut self.lease_mesh {
            mesh.kill(gateway);
        }
    }

    /// Restarts a gateway with empty state.
    pub(super) fn restart_gateway(&mut self, gateway: usize) {
        let seed = self.seed ^ (self.now_s * 1e3) as u64;
        let restarted = &mut self.gateways[gateway];
        restarted.front = self.fronts.build(seed, gateway);
        restarted.away = false;
        restarted.published_ejections.clear();
        self.connections.close_idle_of_gateway(gateway);
        self.send_full_list(gateway);
        if let Some(mesh) = &mut self.health_mesh {
            mesh.start(gateway);
        }
        if let Some(mesh) = &mut self.lease_mesh {
            mesh.start(gateway);
        }
        self.usage[gateway].clear();
    }

    /// The statements of a gateway that are not answered yet or have an attempt in flight.
    fn open_statements(&self, gateway: usize) -> Vec<usize> {
        let is_open = |statement: &Statement| !statement.answered || statement.in_flight.is_some();
        let all = self.statements.iter().enumerate();
        let open = all.filter(|(_, statement)| statement.gateway == gateway && is_open(statement));
        open.map(|(index, _)| index).collect()
    }

    /// Ends a statement whose gateway was killed. Its client retries if it has tries and time left.
    fn lose_statement(&mut self, index: usize) {
        let statement = &mut self.statements[index];
        let in_flight = statement.in_flight.take();
        let was_answered = std::mem::replace(&mut statement.answered, true);
        let request = statement.request;
        if let Some(attempt) = in_flight {
            self.connections.close(attempt.engine);
        }
        self.rules.statement_lost(index as u64);
        if was_answered {
            return;
        }
        self.measurements.figures.died += 1;
        let noticed_s = self.now_s + CRASH_NOTICED_S;
        let client = &self.requests[request];
        if client.tries_left > 0 && noticed_s < client.deadline_s {
            self.schedule(noticed_s, Event::Request(request));
        }
    }

    /// Sends a starting gateway the list of all engines that are ready.
    pub(super) fn send_full_list(&mut self, gateway: usize) {
        let listed = self.listed.iter().enumerate();
        let ready = listed.filter(|(_, entry)| entry.stage == EngineStage::Ready);
        let engines =
            ready.map(|(engine, entry)| self.engine_info(engine, entry.stage, entry.started_s));
        let list = EndpointUpdate::Snapshot(engines.collect());
        self.gateways[gateway]
            .front
            .on_endpoint_update(timestamp(self.now_s), &list);
        self.wake_gateway(gateway, self.now_s);
    }

    /// Sends a gateway the change of one engine.
    pub(super) fn send_list_change(
        &mut self,
        gateway: usize,
        engine: usize,
        stage: EngineStage,
        started_s: Option<f64>,
    ) {
        let change = EndpointUpdate::Events(vec![self.engine_info(engine, stage, started_s)]);
        self.measurements.figures.lists_told += 1;
        self.gateways[gateway]
            .front
            .on_endpoint_update(timestamp(self.now_s), &change);
        self.rules
            .engine_listed(self.now_s, gateway, engine, stage == EngineStage::Ready);
        self.wake_gateway(gateway, self.now_s);
    }

    fn engine_info(&self, engine: usize, stage: EngineStage, started_s: Option<f64>) -> EngineInfo {
        EngineInfo {
            id: EngineId(engine as u32),
            scale: 1.0,
            location: LocationId(self.zone(engine)),
            machine: MachineId(0),
            cell: CellId(0),
            stage,
            started: started_s.map(timestamp),
        }
    }
}
