//! The order among the children of a tenant, and among all tenants, for one query class.

use std::collections::BTreeSet;

use admission::interface::QueuePosition;

use crate::float_key::FloatKey;

/// What a tenant or sub-queue is ranked by among its siblings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RankKey {
    /// Its budget covers its first statement, which stands here.
    WithinBudget(QueuePosition),
    /// It can only borrow; its virtual time.
    Borrowing(FloatKey),
}

/// Siblings with waiting statements of one query class, by their rank keys.
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

    /// Moves a sibling from its current rank to the new one; none: nothing of the class waits there.
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

    /// The sibling whose turn it is: the earliest first statement within budget, else the one that borrowed least.
    pub(crate) fn first(&self) -> Option<Id> {
        if let Some((_, id)) = self.within_budget.first() {
            return Some(*id);
        }
        self.borrowing.first().map(|(_, id)| *id)
    }

    pub(crate) fn has_within_budget(&self) -> bool {
        !self.within_budget.is_empty()
    }

    /// Siblings within budget, the earliest first statement first.
    pub(crate) fn within_budget(&self) -> impl Iterator<Item = (QueuePosition, Id)> {
        self.within_budget.iter().copied()
    }

    /// Siblings that can only borrow, the least virtual time first.
    pub(crate) fn borrowing(&self) -> impl Iterator<Item = (FloatKey, Id)> {
        self.borrowing.iter().copied()
    }
}
