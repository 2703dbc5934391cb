//! The statements that are open: received and valid, and not yet both answered and without an attempt in flight.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{AttemptNumber, ClassId, StatementId, Timestamp};
use bytes::Bytes;

use crate::clients::SessionId;
use crate::engines::ConnectionId;
use crate::engines::protocol::{RequestId, StatementKeys};

/// A statement from its receipt to its answer and the end of its last attempt.
pub(super) struct OpenStatement {
    /// The session that gets its answer.
    pub session: SessionId,
    /// The id that its client gave it.
    pub request_id: RequestId,
    /// Whose it is, where callers are authenticated.
    pub caller: Option<String>,
    /// Its query class.
    pub class: ClassId,
    /// What its engine gets beside its text.
    pub tags: StatementKeys,
    /// What its engine runs; empty once it is answered.
    pub text: Bytes,
    /// Its answer was given, or nobody waits for one.
    pub answered: bool,
    /// The turn in which it was read.
    pub received: Timestamp,
    /// It is answered with an error then, if it has no answer by that time.
    pub answer_deadline: Timestamp,
    /// Its attempts at engines that have not ended; one at most, where it may not have two at the same time.
    pub in_flight: Vec<AttemptNumber>,
    /// The connections that its attempts went on, as many as attempts.
    pub connections: Vec<ConnectionId>,
}

/// A statement that has no answer at its deadline.
pub(super) struct Overdue {
    /// The statement.
    pub id: StatementId,
    /// When it should have been answered at the latest.
    pub answer_deadline: Timestamp,
}

/// All open statements, with their ids and the deadlines of their answers.
#[derive(Default)]
pub(super) struct OpenStatements {
    last_id: u64,
    by_id: BTreeMap<StatementId, OpenStatement>,
    /// Of two statements with one request id, an engine's answer could be for either.
    by_request_id: BTreeMap<RequestId, StatementId>,
    /// Of the statements without an answer.
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

    /// How many are open.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// An open statement.
    pub(super) fn get_mut(&mut self, id: StatementId) -> Option<&mut OpenStatement> {
        self.by_id.get_mut(&id)
    }

    /// An open statement.
    pub(super) fn get(&self, id: StatementId) -> Option<&OpenStatement> {
        self.by_id.get(&id)
    }

    /// An open statement whose answer is still owed.
    pub(super) fn unanswered(&self, id: StatementId) -> Option<&OpenStatement> {
        self.get(id).filter(|statement| !statement.answered)
    }

    /// The open statement to which its client gave this id.
    pub(super) fn find(&self, request_id: &RequestId) -> Option<StatementId> {
        self.by_request_id.get(request_id).copied()
    }

    /// No answer is owed any more: the text and the deadline go. The session that gets the answer.
    pub(super) fn mark_answered(&mut self, id: StatementId) -> Option<SessionId> {
        let statement = self.by_id.get_mut(&id)?;
        statement.answered = true;
        statement.text = Bytes::new();
        self.answer_deadlines
            .remove(&(statement.answer_deadline, id));
        Some(statement.session)
    }

    /// Closes a statement that is answered and has no attempt in flight.
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

    /// The earliest deadline of an answer.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.answer_deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes out the next one whose deadline has come.
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

    /// No deadline is later than this.
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
