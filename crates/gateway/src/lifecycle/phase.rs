//! The phases from start to exit, and every transition between them.

use admission::interface::{TimeDelta, Timestamp};

use super::start_retry::{LISTEN_PATIENCE, LISTEN_PAUSE};

/// Network facts of a planned restart: after SIGTERM statements go on coming for so long; the kill comes no sooner than
/// the longest deadline, but [`MAX_DEADLINE_S`] at most, after that.
const LATE_STATEMENTS_S: f64 = 0.7;

/// No longer deadline than this counts for the kill.
const MAX_DEADLINE_S: f64 = 3.0;

/// How long before the kill all is answered, as a part of the longest deadline and at most; half of it is left to slow
/// readers, the other half to a machine that stands still.
const KILL_MARGIN_PART: f64 = 0.25;
const MAX_KILL_MARGIN_S: f64 = 0.3;

/// How long a start waits for its first endpoint list. Then it listens all the same, and rejects until one comes: a
/// gateway that is not ready within 10 s of a restart is missed, and a discovery service that is down at a start may be
/// down for long.
const FIRST_LIST: TimeDelta = TimeDelta::from_micros(5_000_000);

/// How long idle clients have to see that the gateway ends, and to close their connections too.
const CLOSING: TimeDelta = TimeDelta::from_micros(300_000);

/// When a draining gateway is done, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// All is answered.
    pub answered: TimeDelta,
    /// The program ends at the latest.
    pub exit: TimeDelta,
}

impl DrainTimes {
    /// For statements of this deadline at most.
    #[must_use]
    pub fn for_longest_deadline(longest: TimeDelta) -> Self {
        let longest_s = longest.secs().min(MAX_DEADLINE_S);
        let margin_s = (longest_s * KILL_MARGIN_PART).min(MAX_KILL_MARGIN_S);
        let answered_s = LATE_STATEMENTS_S + longest_s - margin_s;
        DrainTimes {
            answered: TimeDelta::from_secs(answered_s),
            exit: TimeDelta::from_secs(answered_s + margin_s / 2.0),
        }
    }
}

/// Where the program is between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// No endpoint list yet, so nothing to decide on: nobody can connect until then.
    Starting {
        /// It listens then, also without a list.
        listen_by: Timestamp,
    },
    /// It could not listen yet: another process has its address, or the machine is short of something.
    Binding {
        /// It is tried again then.
        retry_at: Timestamp,
        /// A failure after this ends the program.
        give_up_at: Timestamp,
    },
    /// Listening; no statement received yet.
    Ready,
    /// Listening, and statements were received.
    Serving,
    /// SIGTERM came: statements that still come are accepted, and all is answered by the end.
    Draining {
        /// Later than this no statement is expected.
        accept_until: Timestamp,
        /// The program ends by then.
        exit_by: Timestamp,
    },
    /// All is answered and nobody can connect any more: sessions are shut, and read until their clients close too.
    Closing {
        /// The program ends by then.
        exit_by: Timestamp,
    },
    /// The program ends.
    Exited,
}

/// What the transitions depend on, beside the time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// An endpoint list came.
    pub has_endpoints: bool,
    /// A statement was accepted.
    pub has_statement: bool,
    /// No answer is owed to any client.
    pub all_answered: bool,
    /// No session is open.
    pub all_closed: bool,
}

/// A transition that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// Listen, and be [`Phase::Ready`].
    Listen,
    /// Be [`Phase::Serving`].
    Serve,
    /// Shut all sessions if nothing is left to accept, and be [`Phase::Closing`].
    Close {
        /// The program ends by then.
        exit_by: Timestamp,
    },
    /// Be [`Phase::Exited`].
    Exit,
}

impl Phase {
    /// The first phase.
    pub(super) fn starting(now: Timestamp) -> Self {
        Phase::Starting {
            listen_by: now + FIRST_LIST,
        }
    }

    /// The phase after SIGTERM; none where the gateway ends already.
    pub(super) fn drained(self, now: Timestamp, times: DrainTimes) -> Option<Self> {
        match self {
            Phase::Starting { .. } | Phase::Binding { .. } | Phase::Ready | Phase::Serving => {
                Some(Phase::Draining {
                    accept_until: now + TimeDelta::from_secs(LATE_STATEMENTS_S),
                    exit_by: now + times.exit,
                })
            }
            Phase::Draining { .. } | Phase::Closing { .. } | Phase::Exited => None,
        }
    }

    /// The phase after an attempt to listen that failed; none: that was the last one.
    pub(super) fn after_failed_listen(self, now: Timestamp) -> Option<Self> {
        let give_up_at = match self {
            Phase::Binding { give_up_at, .. } => give_up_at,
            _ => now + LISTEN_PATIENCE,
        };
        (now < give_up_at).then_some(Phase::Binding {
            retry_at: now + LISTEN_PAUSE,
            give_up_at,
        })
    }

    /// The phase in which sessions are closed.
    pub(super) fn closing(now: Timestamp, exit_by: Timestamp) -> Self {
        Phase::Closing {
            exit_by: exit_by.min(now + CLOSING),
        }
    }

    /// The transition that is due now.
    pub(super) fn transition(self, now: Timestamp, conditions: Conditions) -> Option<Transition> {
        match self {
            Phase::Starting { listen_by } => {
                let due = conditions.has_endpoints || listen_by <= now;
                due.then_some(Transition::Listen)
            }
            Phase::Binding { retry_at, .. } => (retry_at <= now).then_some(Transition::Listen),
            Phase::Ready => conditions.has_statement.then_some(Transition::Serve),
            Phase::Draining { exit_by, .. } if exit_by <= now => Some(Transition::Exit),
            Phase::Draining {
                accept_until,
                exit_by,
            } => {
                let due = accept_until <= now && conditions.all_answered;
                due.then_some(Transition::Close { exit_by })
            }
            Phase::Closing { exit_by } => {
                let due = exit_by <= now || conditions.all_closed;
                due.then_some(Transition::Exit)
            }
            Phase::Serving | Phase::Exited => None,
        }
    }

    /// When a transition is due by the clock alone.
    pub(super) fn due(self, now: Timestamp) -> Option<Timestamp> {
        match self {
            Phase::Starting { listen_by } => Some(listen_by),
            Phase::Binding { retry_at, .. } => Some(retry_at),
            Phase::Draining { accept_until, .. } if accept_until > now => Some(accept_until),
            Phase::Draining { exit_by, .. } | Phase::Closing { exit_by } => Some(exit_by),
            Phase::Ready | Phase::Serving | Phase::Exited => None,
        }
    }
}
