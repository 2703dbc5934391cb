//! The order of statements with the same order key: they enter the class queues one at a time, in
//! the order of their arrival.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::{OrderKey, StatementId};

/// The waiting statements of each order key, oldest first. A key is removed with its last
/// statement.
#[derive(Debug, Default)]
pub(crate) struct KeyOrder {
    by_key: BTreeMap<OrderKey, VecDeque<StatementId>>,
}

impl KeyOrder {
    /// Appends a statement as the newest of its key.
    pub(crate) fn push(&mut self, key: OrderKey, id: StatementId) {
        self.by_key.entry(key).or_default().push_back(id);
    }

    /// Reinserts a statement as the oldest of its key.
    pub(crate) fn restore(&mut self, key: OrderKey, id: StatementId) {
        self.by_key.entry(key).or_default().push_front(id);
    }

    /// Whether this statement is the oldest of its key.
    pub(crate) fn is_first(&self, key: OrderKey, id: StatementId) -> bool {
        self.by_key
            .get(&key)
            .is_some_and(|ids| ids.front() == Some(&id))
    }

    /// Removes a statement. Returns the oldest one that remains for its key.
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
