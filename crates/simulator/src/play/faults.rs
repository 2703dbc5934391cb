//! Applies the faults of a scenario's script when they begin and end.

use admission::interface::EngineStage;

use super::events::Event;
use super::{Emulation, ListEntry};
use crate::engine::State;
use crate::scenario::{Fault, FaultKind};

impl Emulation<'_> {
    /// Begins or ends a fault of the script.
    pub(super) fn apply_fault(&mut self, index: usize, begins: bool) {
        let (kind, fault) = self.faults[index].clone();
        for gateway in &fault.gateways {
            self.apply_to_gateway(kind, *gateway, begins);
        }
        for engine in &fault.engines {
            self.apply_to_engine(kind, &fault, *engine, begins);
        }
    }

    fn apply_to_gateway(&mut self, kind: FaultKind, gateway: usize, begins: bool) {
        match (kind, begins) {
            (FaultKind::Away, _) => self.gateways[gateway].away = begins,
            (FaultKind::Renew, true) => self.stop_gateway(gateway),
            (FaultKind::Kill, true) => self.kill_gateway(gateway),
            (FaultKind::Renew | FaultKind::Kill, false) => self.restart_gateway(gateway),
            _ => {}
        }
    }

    fn apply_to_engine(&mut self, kind: FaultKind, fault: &Fault, index: usize, begins: bool) {
        let engine = &mut self.engines[index];
        engine.advance(self.now_s);
        engine.generation += 1;
        match (kind, begins) {
            (FaultKind::Flood | FaultKind::Away | FaultKind::Renew | FaultKind::Kill, _) => {}
            (FaultKind::Lose, _) => {
                self.lost_answers[index] = if begins { fault.share } else { 0.0 }
            }
            (FaultKind::Slow, _) => engine.slow = if begins { fault.times.max(1.0) } else { 1.0 },
            (FaultKind::Pause, _) => {
                engine.state = if begins {
                    State::Paused
                } else {
                    State::Healthy
                }
            }
            (FaultKind::Fail, _) => {
                engine.state = if begins {
                    State::Failing
                } else {
                    State::Healthy
                }
            }
            (FaultKind::Silent, true) => engine.state = State::Silent,
            (FaultKind::Silent, false) => {
                // The running attempts are lost without any notice to their gateways.
                engine.take_all(self.now_s);
                engine.state = State::Healthy;
            }
            (FaultKind::Drain, true) => self.list_engine(index, EngineStage::Draining),
            (FaultKind::Restart, true) => {
                engine.state = State::Down;
                self.reset_engine(index);
                self.list_engine(index, EngineStage::Removed);
            }
            (FaultKind::Drain | FaultKind::Restart, false) => self.restart_engine(index),
        }
        self.schedule_engine_tick(index);
    }

    /// Restarts an engine, which is cold again.
    fn restart_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.state = State::Healthy;
        engine.started = Some(self.now_s);
        self.reset_engine(index);
        self.list_engine(index, EngineStage::Ready);
    }

    /// Changes the engine list. Each gateway receives the change after its own delay.
    fn list_engine(&mut self, engine: usize, stage: EngineStage) {
        let started_s = self.engines[engine].started;
        self.listed[engine] = ListEntry { stage, started_s };
        for gateway in 0..self.gateways.len() {
            let at_s = self.now_s + self.gateways[gateway].list_delay_s;
            self.schedule(
                at_s,
                Event::EngineListed {
                    gateway,
                    engine,
                    stage,
                    started_s,
                },
            );
        }
    }
}
