//! The queue of events in the order of simulated time.

use std::collections::BTreeMap;

use admission::interface::{AttemptNumber, EngineStage};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// What happens at one moment of simulated time. Gateways, engines, requests, statements and faults are named by
/// their index.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A client sends a request, for the first time or once more.
    Request(usize),
    /// A gateway looks at its waiting statements; void if the gateway was woken for another time since.
    GatewayTick {
        gateway: usize,
        generation: u64,
    },
    /// An attempt may have completed; void if the engine's work has changed since.
    EngineTick {
        engine: usize,
        generation: u64,
    },
    /// An engine reports the progress of an attempt.
    Progress {
        engine: usize,
        statement: usize,
        attempt: AttemptNumber,
    },
    /// The time of an attempt is over.
    AttemptTimeout {
        statement: usize,
        attempt: AttemptNumber,
    },
    /// A failing engine answers an attempt with an error.
    AttemptError {
        statement: usize,
        attempt: AttemptNumber,
    },
    /// A gateway learns a change of the engine list.
    EngineListed {
        gateway: usize,
        engine: usize,
        stage: EngineStage,
        started_s: Option<f64>,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// Gateways exchange what they see of engines.
    ExchangeHealth,
    /// Tenants' budgets are divided among gateways.
    DivideBudgets,
}

/// Pending events, by time in microseconds and, within one microsecond, in the order they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    pending: BTreeMap<(i64, u64), Event>,
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at_s: f64, event: Event) {
        let at_us = (at_s * MICROSECONDS_PER_SECOND).round() as i64;
        self.scheduled += 1;
        self.pending.insert((at_us, self.scheduled), event);
    }

    /// The next event and its time in seconds.
    pub(super) fn pop(&mut self) -> Option<(f64, Event)> {
        let ((at_us, _), event) = self.pending.pop_first()?;
        Some((at_us as f64 / MICROSECONDS_PER_SECOND, event))
    }
}
