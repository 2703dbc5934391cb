//! Ordering of statements that share a key: they run one at a time, in the order in which they were
//! received.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{OrderKey, StatementId, Timestamp};

/// The statements of one key.
#[derive(Default)]
struct KeyQueue {
    /// Statements that have not ended, the oldest first.
    statements: VecDeque<StatementId>,
    /// The statement with an attempt in flight, if there is one.
    in_flight: Option<StatementId>,
    /// No statement is sent before this time, because an attempt whose outcome is unknown may still
    /// be running; `None` if there was no such attempt.
    settled_at: Option<Timestamp>,
}

impl KeyQueue {
    /// Returns whether no attempt with an unknown outcome is expected to be still running.
    fn is_settled(&self, now: Timestamp) -> bool {
        self.settled_at.is_none_or(|settled_at| settled_at <= now)
    }
}

/// The queues of all keys in use. A key is removed once it is idle and settled.
#[derive(Default)]
pub(super) struct KeyedOrder(BTreeMap<OrderKey, KeyQueue>);

impl KeyedOrder {
    /// Appends a received statement to the queue of its key.
    pub(super) fn on_received(&mut self, key: OrderKey, id: StatementId) {
        self.0.entry(key).or_default().statements.push_back(id);
    }

    /// Returns whether the statement may be sent now: it is the first one of its key, no statement
    /// of the key has an attempt in flight, and the key is settled.
    pub(super) fn may_send(&self, now: Timestamp, key: OrderKey, id: StatementId) -> bool {
        let Some(queue) = self.0.get(&key) else {
            return true;
        };
        let is_first = queue.statements.front().is_none_or(|first| *first == id);
        queue.is_settled(now) && queue.in_flight.is_none() && is_first
    }

    /// Records that an attempt of the statement is in flight.
    pub(super) fn on_sent(&mut self, key: OrderKey, id: StatementId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.in_flight = Some(id);
        }
    }

    /// Handles the end of an attempt. If its outcome is unknown, `settled_at` is the time before
    /// which no statement of the key is sent.
    pub(super) fn on_attempt_over(
        &mut self,
        key: OrderKey,
        id: StatementId,
        settled_at: Option<Timestamp>,
    ) {
        let Some(queue) = self.0.get_mut(&key) else {
            return;
        };
        queue.in_flight.take_if(|in_flight| *in_flight == id);
        if settled_at.is_some() {
            queue.settled_at = settled_at;
        }
    }

    /// Removes a statement that has its final answer, so that the next one of its key may be sent.
    pub(super) fn on_statement_over(&mut self, key: OrderKey, id: StatementId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.statements.retain(|queued| *queued != id);
        }
    }

    /// Removes keys that are idle and settled.
    pub(super) fn forget_idle(&mut self, now: Timestamp) {
        self.0.retain(|_, queue| {
            let is_idle = queue.statements.is_empty() && queue.in_flight.is_none();
            !is_idle || !queue.is_settled(now)
        });
    }
}
