//! The open statements. A valid statement is open until it is answered and has no attempt in
//! flight.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{AttemptNumber, ClassId, StatementId, Timestamp};
use bytes::Bytes;

use crate::clients::SessionId;
use crate::engines::ConnectionId;
use crate::engines::protocol::{RequestId, StatementKeys};

/// An open statement.
pub(super) struct OpenStatement {
    /// The session that gets the answer.
    pub session: SessionId,
    /// The id that the client gave the statement.
    pub request_id: RequestId,
    /// The caller named in the token; `None` if callers are not authenticated.
    pub caller: Option<String>,
    /// The query class.
    pub class: ClassId,
    /// The idempotency and ordering keys that the engine gets with the text.
    pub keys: StatementKeys,
    /// The SQL text that the engine runs; empty once the statement is answered.
    pub text: Bytes,
    /// Whether the answer was sent, or no client waits for one.
    pub answered: bool,
    /// The time of the turn in which the statement was read.
    pub received: Timestamp,
    /// The time at which the statement is answered with an error if it has no answer yet.
    pub answer_deadline: Timestamp,
    /// The attempts that have not ended; at most one if the statement must not run twice at the
    /// same time.
    pub in_flight: Vec<AttemptNumber>,
    /// The connections that attempts were assigned to, at most one for each attempt.
    pub connections: Vec<ConnectionId>,
}

/// A statement that had no answer at its deadline.
pub(super) struct Overdue {
    /// The id of the statement.
    pub id: StatementId,
    /// The deadline that has passed.
    pub answer_deadline: Timestamp,
}

/// All open statements, with their ids and the deadlines of their answers.
#[derive(Default)]
pub(super) struct OpenStatements {
    last_id: u64,
    by_id: BTreeMap<StatementId, OpenStatement>,
    /// Request ids are unique among open statements, because an engine's answer names its statement
    /// by this id.
    by_request_id: BTreeMap<RequestId, StatementId>,
    /// The answer deadlines of the statements without an answer.
    answer_deadlines: BTreeSet<(Timestamp, StatementId)>,
}

impl OpenStatements {
    /// Opens a statement under a new id.
    pub(super) fn insert(&mut self, statement: OpenStatement) -> StatementId {
        let id = StatementId(self.last_id);
        self.last_id += 1;
        self.answer_deadlines
            .insert((statement.answer_deadline, id));
        self.by_request_id.insert(statement.request_id, id);
        self.by_id.insert(id, statement);
        id
    }

    /// Returns the number of open statements.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns an open statement; `None` if no statement with this id is open.
    pub(super) fn get_mut(&mut self, id: StatementId) -> Option<&mut OpenStatement> {
        self.by_id.get_mut(&id)
    }

    /// Returns an open statement; `None` if no statement with this id is open.
    pub(super) fn get(&self, id: StatementId) -> Option<&OpenStatement> {
        self.by_id.get(&id)
    }

    /// Returns an open statement that has no answer yet; `None` if it is answered or closed.
    pub(super) fn unanswered(&self, id: StatementId) -> Option<&OpenStatement> {
        self.get(id).filter(|statement| !statement.answered)
    }

    /// Returns the open statement with this request id.
    pub(super) fn find(&self, request_id: &RequestId) -> Option<StatementId> {
        self.by_request_id.get(request_id).copied()
    }

    /// Marks a statement as answered and drops its text and its deadline. Returns the session that
    /// gets the answer, or `None` if the statement is closed.
    pub(super) fn mark_answered(&mut self, id: StatementId) -> Option<SessionId> {
        let statement = self.by_id.get_mut(&id)?;
        statement.answered = true;
        statement.text = Bytes::new();
        self.answer_deadlines
            .remove(&(statement.answer_deadline, id));
        Some(statement.session)
    }

    /// Removes and returns a statement that is answered and has no attempt in flight; `None` if it
    /// stays open.
    pub(super) fn remove_if_done(&mut self, id: StatementId) -> Option<OpenStatement> {
        let statement = self.by_id.get(&id)?;
        let done = statement.answered && statement.in_flight.is_empty();
        if !done {
            return None;
        }
        let statement = self.by_id.remove(&id)?;
        self.by_request_id.remove(&statement.request_id);
        Some(statement)
    }

    /// Returns the earliest answer deadline; `None` if every statement is answered.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.answer_deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Removes the earliest answer deadline and returns its statement; `None` if that deadline has
    /// not come.
    pub(super) fn pop_overdue(&mut self, now: Timestamp) -> Option<Overdue> {
        let (answer_deadline, id) = *self.answer_deadlines.first()?;
        if answer_deadline > now {
            return None;
        }
        self.answer_deadlines.pop_first();
        Some(Overdue {
            id,
            answer_deadline,
        })
    }

    /// Moves every answer deadline that is later than `latest` to `latest`.
    pub(super) fn cap_answer_deadlines(&mut self, latest: Timestamp) {
        for statement in self.by_id.values_mut() {
            statement.answer_deadline = statement.answer_deadline.min(latest);
        }
        self.answer_deadlines = std::mem::take(&mut self.answer_deadlines)
            .into_iter()
            .map(|(deadline, id)| (deadline.min(latest), id))
            .collect();
    }
}
