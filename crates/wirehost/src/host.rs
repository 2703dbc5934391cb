//! Decodes each instance's events into calls of its `Dispatcher`, and encodes what comes back.

use std::collections::BTreeMap;

use admission::interface::*;
use dispatch::{Decision, Dispatcher, FollowUp, StatementRequest};
use settings::{NetworkDelay, Settings, SettingsError};

use crate::frames::{Batch, Fields, FrameError, Reply};

/// One instance: it shares nothing with the others of the process.
struct Gateway {
    dispatch: Dispatcher,
    classes: usize,
    bills: bool,
    fields: Vec<String>,
    alarm: Option<Timestamp>,
    tag: u64,
}

/// All instances of this process, and the numbered lists that the wire shares among their events.
#[derive(Default)]
pub struct Host {
    gateways: BTreeMap<u16, Gateway>,
    lists: BTreeMap<u8, Vec<EngineInfo>>,
}

impl Host {
    pub fn answer(&mut self, batch: &Batch) -> Result<Reply, FrameError> {
        let now = Timestamp::from_secs(batch.clock);
        let mut replies: BTreeMap<u16, Vec<Action>> = BTreeMap::new();
        for (record, fields) in batch.records() {
            let (code, id) = (fields.u8(0), fields.u16(1));
            match code {
                120 => {
                    let entries = batch.entries(record, fields.range(2))?;
                    let facts = entries
                        .map(|e| engine_info(batch, record, e))
                        .collect::<Result<_, _>>()?;
                    self.lists.insert(fields.u8(1), facts);
                }
                10 => {
                    let text = batch.text(record, fields.range(11))?;
                    let actions = replies.entry(id).or_default();
                    actions.clear();
                    match Gateway::new(&text, fields.u64(3)) {
                        Ok(gateway) => drop(self.gateways.insert(id, gateway)),
                        Err(error) => {
                            self.gateways.remove(&id);
                            actions.push(Action::Panic(error.to_string()));
                        }
                    }
                }
                100 => {
                    self.gateways.remove(&id);
                    replies.remove(&id);
                }
                20 | 30 | 40 | 50 | 60 | 70 | 80 | 90 | 110 => {
                    let Some(gateway) = self.gateways.get_mut(&id) else {
                        continue;
                    };
                    let actions = replies.entry(id).or_default();
                    gateway.event(batch, record, fields, now, &self.lists, actions)?;
                }
                _ => return Err(batch.unknown(record, "event code", code.into())),
            }
        }
        let mut reply = Reply::default();
        for (id, mut actions) in replies {
            if let Some(gateway) = self.gateways.get_mut(&id) {
                gateway.ask_line(now, &mut actions);
            }
            actions
                .iter()
                .for_each(|action| action.write(id, &mut reply));
        }
        Ok(reply)
    }
}

/// What goes back for one instance, until a power-off in the same batch voids it.
enum Action {
    Attempt(StatementId, EngineId, Option<TimeDelta>),
    PushBack(StatementId, Option<TimeDelta>),
    Surrender(StatementId),
    Stop(StatementId, AttemptNumber),
    Remind(TimeDelta, u64),
    Test(EngineId),
    List(DiscoveryRequest),
    Tune(StatementId, u8),
    Panic(String),
}

impl Action {
    fn write(&self, gateway: u16, reply: &mut Reply) {
        let secs = |span: &Option<TimeDelta>| span.map_or(0.0, TimeDelta::secs);
        match self {
            Action::Attempt(s, engine, limit) => reply.attempt(gateway, s.0, engine.0, secs(limit)),
            Action::PushBack(s, retry_after) => reply.push_back(gateway, s.0, secs(retry_after)),
            Action::Surrender(s) => reply.surrender(gateway, s.0),
            Action::Stop(s, attempt) => reply.stop_attempt(gateway, s.0, attempt.0),
            Action::Remind(wait, tag) => reply.remind(gateway, wait.secs(), *tag),
            Action::Test(engine) => reply.test(gateway, engine.0),
            Action::List(DiscoveryRequest::Watch) => reply.watch(gateway),
            Action::List(DiscoveryRequest::Snapshot) => reply.snapshot(gateway),
            Action::Tune(s, priority) => reply.tune(gateway, s.0, 0.0, *priority),
            Action::Panic(text) => reply.panic(gateway, text),
        }
    }
}

impl Gateway {
    fn new(text: &str, seed: u64) -> Result<Self, SettingsError> {
        let settings = Settings::from_lines(text);
        Ok(Gateway {
            dispatch: Dispatcher::new(settings.policy(seed, NetworkDelay(TimeDelta::ZERO))?),
            classes: settings.class_count(),
            bills: settings.engines_report_usage()?,
            fields: settings.load_report_fields(),
            alarm: None,
            tag: 0,
        })
    }

    fn event(
        &mut self,
        batch: &Batch,
        record: usize,
        fields: Fields<'_>,
        now: Timestamp,
        lists: &BTreeMap<u8, Vec<EngineInfo>>,
        actions: &mut Vec<Action>,
    ) -> Result<(), FrameError> {
        let id = StatementId(fields.u64(3));
        let mut report =
            |this: &mut Self, at: usize, news: AttemptEvent, latency_s: f64, answered: bool| {
                let (attempt, latency) = (
                    AttemptNumber(fields.u16(at)),
                    TimeDelta::from_secs(latency_s),
                );
                match this
                    .dispatch
                    .report(now, id, attempt, news, latency, answered)
                {
                    FollowUp::None => {}
                    FollowUp::Cancel(attempt) => actions.push(Action::Stop(id, attempt)),
                    FollowUp::Reject { retry_after } => {
                        actions.push(Action::PushBack(id, retry_after))
                    }
                    FollowUp::Fail => actions.push(Action::Surrender(id)),
                }
            };
        match fields.u8(0) {
            20 => {
                let sheet = fields.u8(3);
                let listed = || {
                    lists
                        .get(&sheet)
                        .cloned()
                        .ok_or_else(|| batch.unknown(record, "list", sheet.into()))
                };
                let news = match fields.u8(4) {
                    0 => EndpointUpdate::Events(listed()?),
                    1 | 2 => EndpointUpdate::Snapshot(listed()?),
                    3 => EndpointUpdate::Failed,
                    form => return Err(batch.unknown(record, "list form", form.into())),
                };
                self.dispatch.on_endpoint_update(now, &news);
            }
            30 => {
                let class = usize::from(fields.u8(46));
                if class >= self.classes {
                    return Err(batch.unknown(record, "product", class as u64));
                }
                self.taken(now, id, fields, actions);
            }
            40 => report(self, 23, AttemptEvent::Streaming, fields.f64(11), false),
            110 => {
                let news = if fields.u8(21) == 1 {
                    AttemptEvent::Progress(fields.f32(13))
                } else {
                    AttemptEvent::Stalled
                };
                report(self, 11, news, 0.0, false);
            }
            50 => {
                let (cpu, steps) = (fields.u32(27) >> 12, fields.u32(27) & 0xfff);
                let cpu =
                    (self.bills && cpu > 0).then(|| TimeDelta::from_secs(f64::from(cpu) / 1e3));
                let memory_mb = (self.bills && steps > 0).then(|| f64::from(steps) * 4.0);
                let news = match fields.u8(17) {
                    10 => AttemptEvent::Completed { cpu, memory_mb },
                    20 => AttemptEvent::Error,
                    30 => AttemptEvent::Rejected,
                    40 => AttemptEvent::TimedOut,
                    50 => AttemptEvent::Unreachable,
                    60 => AttemptEvent::Reset,
                    70 => AttemptEvent::Cancelled,
                    80 => AttemptEvent::NeverSent,
                    code => return Err(batch.unknown(record, "outcome", code.into())),
                };
                self.load(EngineId(fields.u32(13)), fields, 31);
                report(self, 11, news, fields.f64(18), fields.u8(26) != 0);
            }
            60 => self.dispatch.client_left(id),
            70 if fields.u64(3) == self.tag => self.alarm = None,
            80 => self.load(EngineId(fields.u32(3)), fields, 16),
            _ => {}
        }
        Ok(())
    }

    fn taken(
        &mut self,
        now: Timestamp,
        id: StatementId,
        fields: Fields<'_>,
        actions: &mut Vec<Action>,
    ) {
        let told = fields.u8(11) & 1 != 0;
        let request = StatementRequest {
            class: ClassId(fields.u8(46).into()),
            tenant: TenantId(fields.u16(36).into()),
            group: TableGroupId(fields.f32(24) as u32),
            estimate: Some(TimeDelta::from_secs(fields.f64(38)))
                .filter(|cpu| told && *cpu > TimeDelta::ZERO),
            memory_mb: Some(fields.f32(12))
                .filter(|mb| mb.is_finite())
                .unwrap_or(0.0),
            key: Some(OrderKey(fields.u64(28))).filter(|key| key.0 != 0),
            has_idempotency_key: true,
            budget: TimeDelta::from_secs(fields.f64(16)),
        };
        let pick = self.dispatch.pick(now, id, &request);
        picked(id, &pick, actions);
    }

    fn ask_line(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let tick = self.dispatch.tick(now);
        tick.due
            .iter()
            .for_each(|(id, pick)| picked(*id, pick, actions));
        actions.extend(tick.probe.iter().map(|engine| Action::Test(*engine)));
        actions.extend(tick.discovery.map(Action::List));
        let due = now + tick.wait;
        if self.alarm.is_none_or(|alarm| due < alarm) {
            self.alarm = Some(due);
            self.tag += 1;
            actions.push(Action::Remind(tick.wait, self.tag));
        }
    }

    fn load(&mut self, engine: EngineId, fields: Fields<'_>, at: usize) {
        let told = usize::from(fields.u8(at)).min(4).min(self.fields.len());
        let mut report = LoadReport::default();
        for (place, name) in self.fields[..told].iter().enumerate() {
            let value = Some(fields.f32(at + 1 + 4 * place)).filter(|value| value.is_finite());
            match name.as_str() {
                "q" => report.waiting = value,
                "busy" => report.busy = value,
                "x0" => report.memory = value,
                "x1" => report.disks = value,
                _ => {}
            }
        }
        if told > 0 {
            self.dispatch.on_load_report(engine, &report);
        }
    }
}

fn picked(id: StatementId, pick: &Decision, actions: &mut Vec<Action>) {
    match *pick {
        Decision::Forward(order) => {
            let priority = order.priority.filter(|_| order.priority_changed);
            actions.extend(priority.map(|priority| Action::Tune(id, priority)));
            actions.push(Action::Attempt(id, order.engine, order.timeout));
        }
        Decision::Queued => {}
        Decision::Reject { retry_after } => actions.push(Action::PushBack(id, retry_after)),
        Decision::Fail => actions.push(Action::Surrender(id)),
    }
}

fn engine_info(batch: &Batch, record: usize, entry: Fields<'_>) -> Result<EngineInfo, FrameError> {
    Ok(EngineInfo {
        id: EngineId(entry.u32(0)),
        scale: entry.f32(4),
        location: LocationId(entry.u16(8)),
        machine: MachineId(entry.u16(10)),
        stage: match entry.u8(12) {
            0 => EngineStage::Removed,
            1 => EngineStage::Ready,
            2 => EngineStage::Draining,
            stage => return Err(batch.unknown(record, "engine stage", stage.into())),
        },
        cell: CellId(entry.u16(13)),
        started: Some(entry.f64(15))
            .filter(|at| at.is_finite() && *at > 0.0)
            .map(Timestamp::from_secs),
    })
}
