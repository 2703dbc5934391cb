//! What another attempt of a statement may do: whether its effect could happen twice, and where it may run.

use crate::interface::{
    Attempt, AttemptState, DeduplicationScope, Effect, EngineInfo, QueryClass, Statement, Timestamp,
};

/// What running this statement more than once does. Without its key no engine knows a repeat.
pub(super) fn effect(class: &QueryClass, statement: &Statement) -> Effect {
    let is_by_key = matches!(class.effect, Effect::IdempotentByKey { .. });
    if is_by_key && !statement.has_idempotency_key {
        return Effect::NonIdempotent;
    }
    class.effect
}

/// The first attempt that may have run the statement, or may run it yet.
fn first_that_may_have_run(statement: &Statement) -> Option<&Attempt> {
    let mut attempts = statement.attempts.iter();
    attempts.find(|attempt| attempt.state != AttemptState::NeverRan)
}

/// A repeat that leaves later may meet an engine that has forgotten the first attempt; none: there is no such time.
pub(super) fn repeat_until(class: &QueryClass, statement: &Statement) -> Option<Timestamp> {
    let Effect::IdempotentByKey { window, .. } = effect(class, statement) else {
        return None;
    };
    first_that_may_have_run(statement).map(|first| first.sent + window)
}

/// Whether the client may try again without harm, wherever its next try comes to.
pub(super) fn is_harmless_to_reject(
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

/// Whether the statement may be sent to this engine, by its class and by its attempts before.
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

/// Whether the class is bound to no other location or kind of machine.
fn is_eligible(class: &QueryClass, engine: &EngineInfo) -> bool {
    let locations = class.locations.as_ref();
    let machines = class.machines.as_ref();
    locations.is_none_or(|allowed| allowed.contains(&engine.location))
        && machines.is_none_or(|allowed| allowed.contains(&engine.machine))
}

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
