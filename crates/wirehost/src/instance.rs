//! A gateway instance: turns its events into calls of its [`Dispatcher`], and the results into
//! actions.

use std::collections::BTreeMap;

use admission::interface::{
    AttemptEvent, AttemptNumber, ClassId, EndpointUpdate, EngineId, EngineInfo, LoadReport,
    OrderKey, StatementId, TableGroupId, TenantId, TimeDelta, Timestamp,
};
use dispatch::{Dispatcher, FollowUp, StatementRequest};
use settings::{NetworkDelay, Settings, SettingsError};

use crate::action::{Action, push_decision};
use crate::frames::{Batch, EventCode, Fields, FrameError, ListForm, OutcomeCode};

/// The flag of a statement whose estimate is valid.
const HAS_ESTIMATE: u8 = 1;
/// The kind of a note that reports progress.
const PROGRESS_NOTE: u8 = 1;
/// The number of low bits of a bill that hold the memory. The higher bits hold the CPU time.
const BILL_MEMORY_BITS: u32 = 12;
/// The unit of a bill's memory, in MB.
const BILL_MEMORY_STEP_MB: f64 = 4.0;
/// The units of a bill's CPU time per second: CPU time is in milliseconds.
const BILL_CPU_PER_S: f64 = 1e3;
/// The maximum number of values in a load report.
const MAX_LOAD_VALUES: usize = 4;

/// One event record and the batch that contains it.
pub(crate) struct Event<'a> {
    pub(crate) batch: &'a Batch,
    /// The index of the record in the batch.
    pub(crate) record: usize,
    pub(crate) fields: Fields<'a>,
    pub(crate) now: Timestamp,
}

impl Event<'_> {
    pub(crate) fn unknown(&self, what: &'static str, code: u64) -> FrameError {
        self.batch.unknown(self.record, what, code)
    }

    /// The ID of the statement, which most event records have at this position.
    fn statement(&self) -> StatementId {
        StatementId(self.fields.u64(3))
    }
}

/// A change in the state of an attempt.
struct AttemptUpdate {
    attempt: AttemptNumber,
    event: AttemptEvent,
    latency_s: f64,
    /// Whether the client already has its answer.
    settled: bool,
}

/// One gateway instance. It shares no state with the other instances of the process.
pub(crate) struct Instance {
    dispatch: Dispatcher,
    class_count: usize,
    engines_report_usage: bool,
    /// The order of the values in a load report.
    load_fields: Vec<String>,
    /// The due time of the last timer that was requested, or `None` if it has fired.
    timer_due: Option<Timestamp>,
    /// The tag of that timer.
    timer_tag: u64,
}

impl Instance {
    pub(crate) fn new(settings: &str, seed: u64) -> Result<Self, SettingsError> {
        let settings = Settings::from_lines(settings);
        // The network delay is zero because the simulator measures the time windows by its own
        // clock, at the time of sending.
        let policy = settings.policy(seed, NetworkDelay(TimeDelta::ZERO))?;
        Ok(Instance {
            dispatch: Dispatcher::new(policy),
            class_count: settings.class_count(),
            engines_report_usage: settings.engines_report_usage()?,
            load_fields: settings.load_report_fields(),
            timer_due: None,
            timer_tag: 0,
        })
    }

    /// Handles one event of this instance.
    pub(crate) fn handle(
        &mut self,
        code: EventCode,
        event: &Event<'_>,
        lists: &BTreeMap<u8, Vec<EngineInfo>>,
        actions: &mut Vec<Action>,
    ) -> Result<(), FrameError> {
        let fields = event.fields;
        match code {
            EventCode::Targets => self.update_engines(event, lists)?,
            EventCode::WorkItem => self.receive(event, actions)?,
            EventCode::Started => self.report(event, &started(fields), actions),
            EventCode::Note => self.report(event, &note(fields), actions),
            EventCode::Done => {
                let update = self.outcome(event)?;
                self.read_load(EngineId(fields.u32(13)), fields, 31);
                self.report(event, &update, actions);
            }
            EventCode::Vanished => self.dispatch.client_left(event.statement()),
            EventCode::Timer => {
                if fields.u64(3) == self.timer_tag {
                    self.timer_due = None;
                }
            }
            EventCode::Pong => self.read_load(EngineId(fields.u32(3)), fields, 16),
            EventCode::Attach | EventCode::Message | EventCode::PowerOff | EventCode::Roster => {}
        }
        Ok(())
    }

    /// Processes due statements, probes and discovery after all events of the batch. Requests a
    /// timer for the next turn unless one is due earlier.
    pub(crate) fn end_turn(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let tick = self.dispatch.tick(now);
        for (statement, decision) in &tick.due {
            push_decision(*statement, decision, actions);
        }
        actions.extend(tick.probe.into_iter().map(Action::Probe));
        actions.extend(tick.discovery.map(Action::Discover));
        let due = now + tick.wait;
        if self.timer_due.is_none_or(|earlier| due < earlier) {
            self.timer_due = Some(due);
            self.timer_tag += 1;
            actions.push(Action::SetTimer {
                wait: tick.wait,
                tag: self.timer_tag,
            });
        }
    }

    fn update_engines(
        &mut self,
        event: &Event<'_>,
        lists: &BTreeMap<u8, Vec<EngineInfo>>,
    ) -> Result<(), FrameError> {
        let number = event.fields.u8(3);
        let form = event.fields.u8(4);
        let list = || {
            let list = lists.get(&number).cloned();
            list.ok_or_else(|| event.unknown("list", number.into()))
        };
        let update = match ListForm::from_code(form) {
            Some(ListForm::Delta) => EndpointUpdate::Events(list()?),
            Some(ListForm::Full | ListForm::Cached) => EndpointUpdate::Snapshot(list()?),
            Some(ListForm::Failed) => EndpointUpdate::Failed,
            None => return Err(event.unknown("list form", form.into())),
        };
        self.dispatch.on_endpoint_update(event.now, &update);
        Ok(())
    }

    fn receive(&mut self, event: &Event<'_>, actions: &mut Vec<Action>) -> Result<(), FrameError> {
        let class = usize::from(event.fields.u8(46));
        if class >= self.class_count {
            return Err(event.unknown("product", class as u64));
        }
        let request = statement_request(event.fields);
        let statement = event.statement();
        let decision = self.dispatch.pick(event.now, statement, &request);
        push_decision(statement, &decision, actions);
        Ok(())
    }

    fn report(&mut self, event: &Event<'_>, update: &AttemptUpdate, actions: &mut Vec<Action>) {
        let statement = event.statement();
        let follow_up = self.dispatch.report(
            event.now,
            statement,
            update.attempt,
            update.event,
            TimeDelta::from_secs(update.latency_s),
            update.settled,
        );
        match follow_up {
            FollowUp::None => {}
            FollowUp::Cancel(attempt) => actions.push(Action::Cancel { statement, attempt }),
            FollowUp::Reject { retry_after } => actions.push(Action::Reject {
                statement,
                retry_after,
            }),
            FollowUp::Fail => actions.push(Action::Fail(statement)),
        }
    }

    fn outcome(&self, event: &Event<'_>) -> Result<AttemptUpdate, FrameError> {
        let fields = event.fields;
        let code = fields.u8(17);
        let attempt_event = match OutcomeCode::from_code(code) {
            Some(OutcomeCode::Ok) => self.completed(fields.u32(27)),
            Some(OutcomeCode::Error) => AttemptEvent::Error,
            Some(OutcomeCode::Rejected) => AttemptEvent::Rejected,
            Some(OutcomeCode::TimedOut) => AttemptEvent::TimedOut,
            Some(OutcomeCode::Unreachable) => AttemptEvent::Unreachable,
            Some(OutcomeCode::Reset) => AttemptEvent::Reset,
            Some(OutcomeCode::Cancelled) => AttemptEvent::Cancelled,
            Some(OutcomeCode::Moot) => AttemptEvent::NeverSent,
            None => return Err(event.unknown("outcome", code.into())),
        };
        Ok(AttemptUpdate {
            attempt: AttemptNumber(fields.u16(11)),
            event: attempt_event,
            latency_s: fields.f64(18),
            settled: fields.u8(26) != 0,
        })
    }

    /// A completed attempt, with the CPU time and memory of its bill if engines report them.
    fn completed(&self, bill: u32) -> AttemptEvent {
        let cpu_ms = bill >> BILL_MEMORY_BITS;
        let memory_steps = bill & ((1 << BILL_MEMORY_BITS) - 1);
        let has_cpu = self.engines_report_usage && cpu_ms > 0;
        let has_memory = self.engines_report_usage && memory_steps > 0;
        AttemptEvent::Completed {
            cpu: has_cpu.then(|| TimeDelta::from_secs(f64::from(cpu_ms) / BILL_CPU_PER_S)),
            memory_mb: has_memory.then(|| f64::from(memory_steps) * BILL_MEMORY_STEP_MB),
        }
    }

    /// Reads the load report at this position: the number of values, followed by the values.
    fn read_load(&mut self, engine: EngineId, fields: Fields<'_>, position: usize) {
        let value_count = usize::from(fields.u8(position));
        let count = value_count.min(MAX_LOAD_VALUES).min(self.load_fields.len());
        if count == 0 {
            return;
        }
        let mut report = LoadReport::default();
        for (index, name) in self.load_fields[..count].iter().enumerate() {
            let value = fields.f32(position + 1 + 4 * index);
            let value = value.is_finite().then_some(value);
            match name.as_str() {
                "q" => report.waiting = value,
                "busy" => report.busy = value,
                "x0" => report.memory = value,
                "x1" => report.disks = value,
                _ => {}
            }
        }
        self.dispatch.on_load_report(engine, &report);
    }
}

fn started(fields: Fields<'_>) -> AttemptUpdate {
    AttemptUpdate {
        attempt: AttemptNumber(fields.u16(23)),
        event: AttemptEvent::Streaming,
        latency_s: fields.f64(11),
        settled: false,
    }
}

fn note(fields: Fields<'_>) -> AttemptUpdate {
    let event = if fields.u8(21) == PROGRESS_NOTE {
        AttemptEvent::Progress(fields.f32(13))
    } else {
        AttemptEvent::Stalled
    };
    AttemptUpdate {
        attempt: AttemptNumber(fields.u16(11)),
        event,
        latency_s: 0.0,
        settled: false,
    }
}

fn statement_request(fields: Fields<'_>) -> StatementRequest {
    let has_estimate = fields.u8(11) & HAS_ESTIMATE != 0;
    let estimate = TimeDelta::from_secs(fields.f64(38));
    let memory_mb = fields.f32(12);
    let key = OrderKey(fields.u64(28));
    StatementRequest {
        class: ClassId(fields.u8(46).into()),
        tenant: TenantId(fields.u16(36).into()),
        group: TableGroupId(fields.f32(24) as u32),
        estimate: (has_estimate && estimate > TimeDelta::ZERO).then_some(estimate),
        memory_mb: if memory_mb.is_finite() {
            memory_mb
        } else {
            0.0
        },
        key: (key.0 != 0).then_some(key),
        has_idempotency_key: true,
        budget: TimeDelta::from_secs(fields.f64(16)),
    }
}
