//! The order of statements with one order key: they are queued one at a time, in the order in which they came.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::{OrderKey, StatementId};

/// Waiting statements of each order key, oldest first. A key is dropped with its last statement.
#[derive(Debug, Default)]
pub(crate) struct KeyOrder {
    by_key: BTreeMap<OrderKey, VecDeque<StatementId>>,
}

impl KeyOrder {
    /// Adds the newest statement of a key.
    pub(crate) fn push(&mut self, key: OrderKey, id: StatementId) {
        self.by_key.entry(key).or_default().push_back(id);
    }

    /// Puts a statement back as the oldest of its key.
    pub(crate) fn restore(&mut self, key: OrderKey, id: StatementId) {
        self.by_key.entry(key).or_default().push_front(id);
    }

    /// Whether it is this statement's turn.
    pub(crate) fn is_first(&self, key: OrderKey, id: StatementId) -> bool {
        self.by_key
            .get(&key)
            .is_some_and(|ids| ids.front() == Some(&id))
    }

    /// Removes a statement; the one whose turn it is then.
    pub(crate) fn remove(&mut self, key: OrderKey, id: StatementId) -> Option<StatementId> {
        let ids = self.by_key.get_mut(&key)?;
        ids.retain(|other| *other != id);
        let first = ids.front().copied();
        if first.is_none() {
            self.by_key.remove(&key);
        }
        first
    }
}
