//! Repeated execution: whether another attempt of a statement could apply its effect twice, and
//! where it may run.

use crate::interface::{
    Attempt, AttemptState, DeduplicationScope, Effect, EngineInfo, QueryClass, Statement, Timestamp,
};

/// Returns what running this statement more than once does. Without its idempotency key, no engine
/// recognizes a repeat.
pub(super) fn effect(class: &QueryClass, statement: &Statement) -> Effect {
    let is_by_key = matches!(class.effect, Effect::IdempotentByKey { .. });
    if is_by_key && !statement.has_idempotency_key {
        return Effect::NonIdempotent;
    }
    class.effect
}

/// Returns the first attempt that may have run the statement or may still run it.
fn first_that_may_have_run(statement: &Statement) -> Option<&Attempt> {
    let mut attempts = statement.attempts.iter();
    attempts.find(|attempt| attempt.state != AttemptState::NeverRan)
}

/// Returns the time until which engines are sure to recognize a repeat of the statement by its
/// idempotency key. Returns `None` if engines do not deduplicate it or if no attempt may have run
/// it.
pub(super) fn repeat_until(class: &QueryClass, statement: &Statement) -> Option<Timestamp> {
    let Effect::IdempotentByKey { window, .. } = effect(class, statement) else {
        return None;
    };
    first_that_may_have_run(statement).map(|first| first.sent + window)
}

/// Returns whether the client may safely retry, whichever engine its retry reaches.
pub(super) fn is_client_retry_safe(
    now: Timestamp,
    class: &QueryClass,
    statement: &Statement,
) -> bool {
    let Some(first) = first_that_may_have_run(statement) else {
        return true;
    };
    match effect(class, statement) {
        Effect::Idempotent => true,
        Effect::IdempotentByKey {
            scope: DeduplicationScope::All,
            window,
        } => now - first.sent < window,
        Effect::IdempotentByKey { .. } | Effect::NonIdempotent => false,
    }
}

/// Returns whether the statement may be sent to this engine, given its class and its earlier
/// attempts.
pub(super) fn may_run_at(
    now: Timestamp,
    class: &QueryClass,
    statement: &Statement,
    engine: &EngineInfo,
) -> bool {
    is_eligible(class, engine)
        && first_that_may_have_run(statement)
            .is_none_or(|first| may_repeat_at(now, effect(class, statement), first, engine))
}

/// Returns whether the class may run at the engine's location and on its machine type.
fn is_eligible(class: &QueryClass, engine: &EngineInfo) -> bool {
    let locations = class.locations.as_ref();
    let machines = class.machines.as_ref();
    locations.is_none_or(|allowed| allowed.contains(&engine.location))
        && machines.is_none_or(|allowed| allowed.contains(&engine.machine))
}

/// Returns whether a statement that the attempt `first` may have run may be repeated at this
/// engine.
fn may_repeat_at(now: Timestamp, effect: Effect, first: &Attempt, engine: &EngineInfo) -> bool {
    match effect {
        Effect::Idempotent => true,
        Effect::NonIdempotent => false,
        Effect::IdempotentByKey { window, .. } if now - first.sent >= window => false,
        Effect::IdempotentByKey { scope, .. } => match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Location => engine.location == first.location,
            DeduplicationScope::Cell => engine.cell == first.cell,
        },
    }
}
