//! The faults of a scenario's script, as they begin and end.

use admission::interface::EngineStage;

use super::events::Event;
use super::{Emulation, ListEntry};
use crate::engine::State;
use crate::scenario::{Kind, Trouble};

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

    fn apply_to_gateway(&mut self, kind: Kind, gateway: usize, begins: bool) {
        match (kind, begins) {
            (Kind::Away, _) => self.gateways[gateway].away = begins,
            (Kind::Renew, true) => self.stop_gateway(gateway),
            (Kind::Kill, true) => self.kill_gateway(gateway),
            (Kind::Renew | Kind::Kill, false) => self.restart_gateway(gateway),
            _ => {}
        }
    }

    fn apply_to_engine(&mut self, kind: Kind, fault: &Trouble, index: usize, begins: bool) {
        let engine = &mut self.engines[index];
        engine.advance(self.now_s);
        engine.turn += 1;
        match (kind, begins) {
            (Kind::Flood | Kind::Away | Kind::Renew | Kind::Kill, _) => {}
            (Kind::Lose, _) => self.lost_answers[index] = if begins { fault.share } else { 0.0 },
            (Kind::Slow, _) => engine.slow = if begins { fault.times.max(1.0) } else { 1.0 },
            (Kind::Pause, _) => engine.state = if begins { State::Paused } else { State::Well },
            (Kind::Fail, _) => engine.state = if begins { State::Failing } else { State::Well },
            (Kind::Silent, true) => engine.state = State::Silent,
            (Kind::Silent, false) => {
                // What it ran is lost, and nobody is told.
                engine.drop_all(self.now_s);
                engine.state = State::Well;
            }
            (Kind::Drain, true) => self.list_engine(index, EngineStage::Draining),
            (Kind::Restart, true) => {
                engine.state = State::Down;
                self.reset_engine(index);
                self.list_engine(index, EngineStage::Removed);
            }
            (Kind::Drain | Kind::Restart, false) => self.restart_engine(index),
        }
        self.schedule_engine_tick(index);
    }

    /// An engine comes back cold.
    fn restart_engine(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        engine.state = State::Well;
        engine.started = Some(self.now_s);
        self.reset_engine(index);
        self.list_engine(index, EngineStage::Ready);
    }

    /// Changes the engine list; each gateway learns it after its delay.
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
