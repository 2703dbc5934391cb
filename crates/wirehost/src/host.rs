//! Hosts the gateway instances of one process: passes each its events and collects its actions.

use std::collections::BTreeMap;

use admission::interface::{
    CellId, EngineId, EngineInfo, EngineStage, LocationId, MachineId, Timestamp,
};

use crate::action::Action;
use crate::frames::{Batch, EventCode, Fields, FrameError, Reply, StageCode};
use crate::instance::{Event, Instance};

/// All instances of this process, and the numbered engine lists to which their events refer.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u8, Vec<EngineInfo>>,
}

/// The actions of each instance that had an event in the batch, by the number of its gateway.
type Actions = BTreeMap<u16, Vec<Action>>;

impl Host {
    /// Processes one batch and returns the resulting actions.
    ///
    /// # Errors
    ///
    /// A record has an unknown code, or a range outside the batch's tail.
    pub fn answer(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = Timestamp::from_secs(batch.clock);
        let mut actions = Actions::new();
        for (record, fields) in batch.records() {
            let event = Event {
                batch,
                record,
                fields,
                now,
            };
            self.handle(&event, &mut actions)?;
        }
        let mut reply = Reply::default();
        for (gateway, mut actions) in actions {
            if let Some(instance) = self.instances.get_mut(&gateway) {
                instance.end_turn(now, &mut actions);
            }
            for action in &actions {
                action.write(gateway, &mut reply);
            }
        }
        Ok(reply)
    }

    fn handle(&mut self, event: &Event<'_>, actions: &mut Actions) -> Result<(), FrameError> {
        let fields = event.fields;
        let code = EventCode::from_code(fields.u8(0))
            .ok_or_else(|| event.unknown("event code", fields.u8(0).into()))?;
        let gateway = fields.u16(1);
        match code {
            EventCode::Roster => self.read_list(event)?,
            EventCode::Attach => self.attach(event, actions.entry(gateway).or_default())?,
            EventCode::PowerOff => {
                self.instances.remove(&gateway);
                actions.remove(&gateway);
            }
            EventCode::Targets
            | EventCode::WorkItem
            | EventCode::Started
            | EventCode::Done
            | EventCode::Vanished
            | EventCode::Timer
            | EventCode::Pong
            | EventCode::Message
            | EventCode::Note => {
                if let Some(instance) = self.instances.get_mut(&gateway) {
                    let actions = actions.entry(gateway).or_default();
                    instance.handle(code, event, &self.lists, actions)?;
                }
            }
        }
        Ok(())
    }

    fn read_list(&mut self, event: &Event<'_>) -> Result<(), FrameError> {
        let fields = event.fields;
        let entries = event.batch.entries(event.record, fields.range(2))?;
        let engines: Result<Vec<EngineInfo>, FrameError> =
            entries.map(|entry| engine_info(event, entry)).collect();
        self.lists.insert(fields.u8(1), engines?);
        Ok(())
    }

    /// Starts a new instance. It replaces an earlier instance of the same number, whose actions in
    /// this batch are discarded.
    fn attach(&mut self, event: &Event<'_>, actions: &mut Vec<Action>) -> Result<(), FrameError> {
        let fields = event.fields;
        let gateway = fields.u16(1);
        let settings = event.batch.text(event.record, fields.range(11))?;
        actions.clear();
        match Instance::new(&settings, fields.u64(3)) {
            Ok(instance) => {
                self.instances.insert(gateway, instance);
            }
            Err(error) => {
                self.instances.remove(&gateway);
                actions.push(Action::Panic(error.to_string()));
            }
        }
        Ok(())
    }
}

fn engine_info(event: &Event<'_>, entry: Fields<'_>) -> Result<EngineInfo, FrameError> {
    let stage = match StageCode::from_code(entry.u8(12)) {
        Some(StageCode::Gone) => EngineStage::Removed,
        Some(StageCode::Ready) => EngineStage::Ready,
        Some(StageCode::Draining) => EngineStage::Draining,
        None => return Err(event.unknown("engine stage", entry.u8(12).into())),
    };
    let started_s = entry.f64(15);
    let has_start_time = started_s.is_finite() && started_s > 0.0;
    Ok(EngineInfo {
        id: EngineId(entry.u32(0)),
        scale: entry.f32(4),
        location: LocationId(entry.u16(8)),
        machine: MachineId(entry.u16(10)),
        stage,
        cell: CellId(entry.u16(13)),
        started: has_start_time.then(|| Timestamp::from_secs(started_s)),
    })
}
