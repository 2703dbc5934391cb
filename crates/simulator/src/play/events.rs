//! The events of the simulation and their queue.

use std::collections::BTreeMap;

use admission::interface::{AttemptNumber, EngineStage};

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// An event of the simulation. Gateways, engines, requests, statements and faults are identified by
/// their index.
#[derive(Clone, Debug)]
pub(super) enum Event {
    /// A client submits a request, for the first time or as a retry.
    Request(usize),
    /// A gateway processes its waiting statements. Ignored if the gateway's next tick has been
    /// rescheduled since.
    GatewayTick {
        gateway: usize,
        generation: u64,
    },
    /// An attempt may have completed. Ignored if the engine's running attempts have changed since.
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
    /// An attempt times out.
    AttemptTimeout {
        statement: usize,
        attempt: AttemptNumber,
    },
    /// A failing engine answers an attempt with an error.
    AttemptError {
        statement: usize,
        attempt: AttemptNumber,
    },
    /// A change of the engine list reaches a gateway.
    EngineListed {
        gateway: usize,
        engine: usize,
        stage: EngineStage,
        started_s: Option<f64>,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// Gateways exchange engine health.
    ExchangeHealth,
    /// Tenants' budgets are divided among gateways.
    DivideBudgets,
}

/// Pending events, ordered by time in microseconds. Events of the same microsecond keep the order
/// in which they were scheduled.
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

    /// Removes the next event and returns it with its time in seconds. `None` if none is pending.
    pub(super) fn pop(&mut self) -> Option<(f64, Event)> {
        let ((at_us, _), event) = self.pending.pop_first()?;
        Some((at_us as f64 / MICROSECONDS_PER_SECOND, event))
    }
}
