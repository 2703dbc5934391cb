//! The timers of attempts: the deadline of each attempt, and the limit by which some must have been
//! sent.

use std::collections::BTreeSet;

use admission::interface::{StatementId, Timestamp};

use super::attempt::AttemptId;

/// The timers of all attempts in flight.
#[derive(Default)]
pub(super) struct AttemptTimers {
    /// The deadline of each attempt in flight.
    deadlines: BTreeSet<(Timestamp, AttemptId)>,
    /// The times by which attempts must have left this machine. Entries are removed only when they
    /// expire, so some belong to attempts that have ended.
    send_limits: BTreeSet<(Timestamp, AttemptId)>,
}

impl AttemptTimers {
    /// Starts the timers of an attempt.
    pub(super) fn start(&mut self, id: AttemptId, deadline: Timestamp, send_by: Option<Timestamp>) {
        self.deadlines.insert((deadline, id));
        if let Some(send_by) = send_by {
            self.send_limits.insert((send_by, id));
        }
    }

    /// Removes the deadline of an attempt that has ended.
    pub(super) fn stop_deadline(&mut self, id: AttemptId, deadline: Timestamp) {
        self.deadlines.remove(&(deadline, id));
    }

    /// Moves every deadline that is later than `latest` to `latest`.
    pub(super) fn cap_deadlines(&mut self, latest: Timestamp) {
        self.deadlines = std::mem::take(&mut self.deadlines)
            .into_iter()
            .map(|(deadline, id)| (deadline.min(latest), id))
            .collect();
    }

    /// Removes the earliest deadline and returns its attempt; `None` if no deadline has passed.
    pub(super) fn pop_deadline(&mut self, now: Timestamp) -> Option<AttemptId> {
        pop_expired(&mut self.deadlines, now)
    }

    /// Removes the earliest send limit and returns its attempt; `None` if no send limit has passed.
    pub(super) fn pop_send_limit(&mut self, now: Timestamp) -> Option<AttemptId> {
        pop_expired(&mut self.send_limits, now)
    }

    /// Returns when the next timer expires; `None` if no timer runs.
    pub(super) fn next(&self) -> Option<Timestamp> {
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let send_limit = self.send_limits.first().map(|(at, _)| *at);
        deadline.into_iter().chain(send_limit).min()
    }

    /// Returns the deadlines of a statement's attempts.
    pub(super) fn deadlines_of(
        &self,
        statement: StatementId,
    ) -> impl Iterator<Item = &(Timestamp, AttemptId)> {
        self.deadlines
            .iter()
            .filter(move |(_, id)| id.statement == statement)
    }
}

fn pop_expired(timers: &mut BTreeSet<(Timestamp, AttemptId)>, now: Timestamp) -> Option<AttemptId> {
    let (at, _) = timers.first()?;
    if *at > now {
        return None;
    }
    timers.pop_first().map(|(_, id)| id)
}
