//! The order of statements that share a key: they run one at a time, as they were received.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{OrderKey, StatementId, Timestamp};

/// The statements of one key.
#[derive(Default)]
struct KeyQueue {
    /// Those that are not over, the oldest first.
    statements: VecDeque<StatementId>,
    /// The one that has an attempt in flight.
    in_flight: Option<StatementId>,
    /// After an attempt whose end is not known, nothing is sent until then.
    settled_at: Option<Timestamp>,
}

impl KeyQueue {
    fn is_settled(&self, now: Timestamp) -> bool {
        self.settled_at.is_none_or(|settled_at| settled_at <= now)
    }
}

/// All keys in use. A key leaves once it is idle and settled.
#[derive(Default)]
pub(super) struct KeyedOrder(BTreeMap<OrderKey, KeyQueue>);

impl KeyedOrder {
    pub(super) fn on_received(&mut self, key: OrderKey, id: StatementId) {
        self.0.entry(key).or_default().statements.push_back(id);
    }

    /// Whether it is this statement's turn.
    pub(super) fn may_send(&self, now: Timestamp, key: OrderKey, id: StatementId) -> bool {
        let Some(queue) = self.0.get(&key) else {
            return true;
        };
        let is_first = queue.statements.front().is_none_or(|first| *first == id);
        queue.is_settled(now) && queue.in_flight.is_none() && is_first
    }

    pub(super) fn on_sent(&mut self, key: OrderKey, id: StatementId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.in_flight = Some(id);
        }
    }

    /// The statement's attempt is over. `settled_at`: its end is not known, and the key rests until then.
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

    /// The statement has its final answer: the next one's turn has come.
    pub(super) fn on_statement_over(&mut self, key: OrderKey, id: StatementId) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.statements.retain(|waiting| *waiting != id);
        }
    }

    /// Forgets keys that are idle and settled.
    pub(super) fn forget_idle(&mut self, now: Timestamp) {
        self.0.retain(|_, queue| {
            let is_idle = queue.statements.is_empty() && queue.in_flight.is_none();
            !is_idle || !queue.is_settled(now)
        });
    }
}
