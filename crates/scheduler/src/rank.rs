//! The order among the sub-queues of a tenant, and among all tenants, for one query class.

use std::collections::BTreeSet;

use admission::interface::QueuePosition;

use crate::float_key::FloatKey;

/// The key by which a tenant or sub-queue is ranked among its siblings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RankKey {
    /// Its budget covers its first statement, which has this position.
    WithinBudget(QueuePosition),
    /// Its budget does not cover its first statement, so it can only borrow. Contains its virtual
    /// time.
    Borrowing(FloatKey),
}

/// The siblings with waiting statements of one query class, ordered by their rank keys.
#[derive(Clone, Debug)]
pub(crate) struct Ranks<Id> {
    within_budget: BTreeSet<(QueuePosition, Id)>,
    borrowing: BTreeSet<(FloatKey, Id)>,
}

impl<Id: Copy + Ord> Ranks<Id> {
    pub(crate) fn new() -> Self {
        Ranks {
            within_budget: BTreeSet::new(),
            borrowing: BTreeSet::new(),
        }
    }

    /// Moves a sibling from its current rank key to a new one. `None` stands for a sibling without
    /// waiting statements of the class.
    pub(crate) fn replace(&mut self, id: Id, current: &mut Option<RankKey>, new: Option<RankKey>) {
        if *current == new {
            return;
        }
        match *current {
            Some(RankKey::WithinBudget(position)) => {
                self.within_budget.remove(&(position, id));
            }
            Some(RankKey::Borrowing(virtual_time)) => {
                self.borrowing.remove(&(virtual_time, id));
            }
            None => {}
        }
        match new {
            Some(RankKey::WithinBudget(position)) => {
                self.within_budget.insert((position, id));
            }
            Some(RankKey::Borrowing(virtual_time)) => {
                self.borrowing.insert((virtual_time, id));
            }
            None => {}
        }
        *current = new;
    }

    /// The first sibling: the one within budget with the earliest first statement, otherwise the
    /// one that borrowed least.
    pub(crate) fn first(&self) -> Option<Id> {
        if let Some((_, id)) = self.within_budget.first() {
            return Some(*id);
        }
        self.borrowing.first().map(|(_, id)| *id)
    }

    pub(crate) fn has_within_budget(&self) -> bool {
        !self.within_budget.is_empty()
    }

    /// The siblings within budget, ordered by the position of their first statements.
    pub(crate) fn within_budget(&self) -> impl Iterator<Item = (QueuePosition, Id)> {
        self.within_budget.iter().copied()
    }

    /// The siblings that can only borrow, ordered by virtual time.
    pub(crate) fn borrowing(&self) -> impl Iterator<Item = (FloatKey, Id)> {
        self.borrowing.iter().copied()
    }
}
