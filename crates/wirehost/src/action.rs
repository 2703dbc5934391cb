//! The actions that an instance returns to the simulator.

use admission::interface::{AttemptNumber, DiscoveryRequest, EngineId, StatementId, TimeDelta};
use dispatch::Decision;

use crate::frames::Reply;

/// One action of an instance. Actions are kept until the whole batch is processed, because they are
/// discarded if the instance ends in the same batch.
pub(crate) enum Action {
    Attempt {
        statement: StatementId,
        engine: EngineId,
        timeout: Option<TimeDelta>,
    },
    Reject {
        statement: StatementId,
        retry_after: Option<TimeDelta>,
    },
    Fail(StatementId),
    Cancel {
        statement: StatementId,
        attempt: AttemptNumber,
    },
    SetTimer {
        wait: TimeDelta,
        tag: u64,
    },
    Probe(EngineId),
    Discover(DiscoveryRequest),
    SetPriority {
        statement: StatementId,
        priority: u8,
    },
    Panic(String),
}

impl Action {
    /// Appends the action to the reply as one of the given gateway.
    pub(crate) fn write(&self, gateway: u16, reply: &mut Reply) {
        match self {
            Action::Attempt {
                statement,
                engine,
                timeout,
            } => reply.attempt(gateway, statement.0, engine.0, seconds_or_zero(*timeout)),
            Action::Reject {
                statement,
                retry_after,
            } => reply.push_back(gateway, statement.0, seconds_or_zero(*retry_after)),
            Action::Fail(statement) => reply.surrender(gateway, statement.0),
            Action::Cancel { statement, attempt } => {
                reply.stop_attempt(gateway, statement.0, attempt.0);
            }
            Action::SetTimer { wait, tag } => reply.remind(gateway, wait.secs(), *tag),
            Action::Probe(engine) => reply.test(gateway, engine.0),
            Action::Discover(DiscoveryRequest::Watch) => reply.watch(gateway),
            Action::Discover(DiscoveryRequest::Snapshot) => reply.snapshot(gateway),
            Action::SetPriority {
                statement,
                priority,
            } => reply.tune(gateway, statement.0, 0.0, *priority),
            Action::Panic(text) => reply.panic(gateway, text),
        }
    }
}

/// The duration in seconds; the wire format encodes a missing duration as 0.
fn seconds_or_zero(duration: Option<TimeDelta>) -> f64 {
    duration.map_or(0.0, TimeDelta::secs)
}

/// Appends the actions that carry out the decision on a statement. A changed priority is set before
/// the attempt that it applies to.
pub(crate) fn push_decision(
    statement: StatementId,
    decision: &Decision,
    actions: &mut Vec<Action>,
) {
    match *decision {
        Decision::Forward(order) => {
            let changed = order.priority.filter(|_| order.priority_changed);
            if let Some(priority) = changed {
                actions.push(Action::SetPriority {
                    statement,
                    priority,
                });
            }
            actions.push(Action::Attempt {
                statement,
                engine: order.engine,
                timeout: order.timeout,
            });
        }
        Decision::Queued => {}
        Decision::Reject { retry_after } => actions.push(Action::Reject {
            statement,
            retry_after,
        }),
        Decision::Fail => actions.push(Action::Fail(statement)),
    }
}
