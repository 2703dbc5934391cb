//! The phases of the process from start to exit, and all transitions between them.

use admission::interface::{TimeDelta, Timestamp};

use super::start_retry::{LISTEN_RETRY_INTERVAL, LISTEN_RETRY_TIMEOUT};

/// Statements keep arriving for this long after SIGTERM. In a planned restart the platform kills
/// the process no earlier than this time plus the longest deadline, of which at most
/// [`MAX_DRAIN_DEADLINE_S`] counts.
const LATE_STATEMENTS_S: f64 = 0.7;

/// The part of a longer deadline beyond this value does not delay the kill.
const MAX_DRAIN_DEADLINE_S: f64 = 3.0;

/// All statements are answered this long before the kill: a fraction of the longest deadline, up to
/// [`MAX_KILL_MARGIN_S`]. Half of the margin is left to slow readers, the other half to pauses of
/// the host.
const KILL_MARGIN_FRACTION: f64 = 0.25;
const MAX_KILL_MARGIN_S: f64 = 0.3;

/// How long a starting gateway waits for its first endpoint list. After that it listens anyway and
/// rejects statements until a list arrives: a gateway has to be ready within 10 s of a restart,
/// while an outage of the discovery service may last longer.
const FIRST_LIST_TIMEOUT: TimeDelta = TimeDelta::from_micros(5_000_000);

/// How long idle clients have to notice the shutdown and to close their connections.
const CLOSE_TIMEOUT: TimeDelta = TimeDelta::from_micros(300_000);

/// Time limits of a drain, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainTimes {
    /// When all statements are answered.
    pub answered: TimeDelta,
    /// When the process exits at the latest.
    pub exit: TimeDelta,
}

impl DrainTimes {
    /// Returns the limits for statements whose deadlines are at most `longest`.
    #[must_use]
    pub fn for_longest_deadline(longest: TimeDelta) -> Self {
        let longest_s = longest.secs().min(MAX_DRAIN_DEADLINE_S);
        let margin_s = (longest_s * KILL_MARGIN_FRACTION).min(MAX_KILL_MARGIN_S);
        let answered_s = LATE_STATEMENTS_S + longest_s - margin_s;
        DrainTimes {
            answered: TimeDelta::from_secs(answered_s),
            exit: TimeDelta::from_secs(answered_s + margin_s / 2.0),
        }
    }
}

/// The phase of the process between its start and its exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for the first endpoint list. The gateway does not listen yet, because it could not
    /// place any statement.
    Starting {
        /// The gateway listens from then on, even without a list.
        listen_by: Timestamp,
    },
    /// Listening has failed: another process holds the address, or a resource is short.
    Binding {
        /// When listening is tried again.
        retry_at: Timestamp,
        /// The process exits with an error when listening fails after this time.
        give_up_at: Timestamp,
    },
    /// Listening, with no statement received yet.
    Ready,
    /// Listening, with statements received.
    Serving,
    /// After SIGTERM or SIGINT: the gateway still accepts statements, and answers all of them by
    /// the end of the phase.
    Draining {
        /// No further statement is expected after this time.
        accept_until: Timestamp,
        /// When the process exits at the latest.
        exit_by: Timestamp,
    },
    /// All statements are answered and the gateway no longer listens. Sessions are shut down, and
    /// read until the clients close their side.
    Closing {
        /// When the process exits at the latest.
        exit_by: Timestamp,
    },
    /// The process exits.
    Exited,
}

/// What the transitions depend on, besides the time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// An endpoint list has arrived.
    pub has_endpoints: bool,
    /// A statement was accepted.
    pub has_statement: bool,
    /// Every accepted statement is answered.
    pub all_answered: bool,
    /// No session is open.
    pub all_closed: bool,
}

/// A transition that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    /// Start to listen, which leads to [`Phase::Ready`].
    Listen,
    /// Enter [`Phase::Serving`].
    Serve,
    /// Shut down all sessions if nothing is left to accept, and enter [`Phase::Closing`].
    Close {
        /// When the process exits at the latest.
        exit_by: Timestamp,
    },
    /// Enter [`Phase::Exited`].
    Exit,
}

impl Phase {
    /// Returns the first phase.
    pub(super) fn starting(now: Timestamp) -> Self {
        Phase::Starting {
            listen_by: now + FIRST_LIST_TIMEOUT,
        }
    }

    /// Returns the phase after a termination signal, or `None` when the gateway is already draining
    /// or has gone further.
    pub(super) fn after_termination_signal(
        self,
        now: Timestamp,
        times: DrainTimes,
    ) -> Option<Self> {
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

    /// Returns the phase after a failed attempt to listen, or `None` when no further attempt is
    /// allowed.
    pub(super) fn after_failed_listen(self, now: Timestamp) -> Option<Self> {
        let give_up_at = match self {
            Phase::Binding { give_up_at, .. } => give_up_at,
            _ => now + LISTEN_RETRY_TIMEOUT,
        };
        (now < give_up_at).then_some(Phase::Binding {
            retry_at: now + LISTEN_RETRY_INTERVAL,
            give_up_at,
        })
    }

    /// Returns the phase in which sessions are closed.
    pub(super) fn closing(now: Timestamp, exit_by: Timestamp) -> Self {
        Phase::Closing {
            exit_by: exit_by.min(now + CLOSE_TIMEOUT),
        }
    }

    /// Returns the transition that is due now, if any.
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

    /// When the next transition is due by the clock alone, or `None`.
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
