//! The waiting statements of each sub-queue by query class, in release order, and the needs that
//! found no capacity.

use admission::interface::QueuePosition;

use crate::config::SubQueueId;
use crate::frontier::{CapacityFrontier, ResourceNeed};
use crate::treap::{QueuedStatement, TreapArena, TreapRoot, Work};

/// How a statement would be paid for: from its own budget, or with capacity that other tenants
/// leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    WithinBudget,
    Borrowing,
}

/// The needs of one class that found no capacity in this round.
#[derive(Clone, Debug, Default)]
struct ClassFrontiers {
    within_budget: CapacityFrontier,
    borrowing: CapacityFrontier,
}

/// All class queues: one for each sub-queue and query class.
pub(crate) struct ClassQueues {
    classes: usize,
    arena: TreapArena,
    /// The roots by sub-queue, then by class.
    roots: Vec<Vec<TreapRoot>>,
    /// The frontiers by class.
    frontiers: Vec<ClassFrontiers>,
}

impl ClassQueues {
    pub(crate) fn new(sub_queues: usize, classes: usize, seed: u64) -> Self {
        ClassQueues {
            classes,
            arena: TreapArena::new(seed),
            roots: vec![vec![TreapRoot::default(); classes]; sub_queues],
            frontiers: vec![ClassFrontiers::default(); classes],
        }
    }

    /// Replaces the queues by empty ones for a new set of sub-queues. The old queues must be empty.
    pub(crate) fn replace_sub_queues(&mut self, sub_queues: usize) {
        debug_assert!(self.roots.iter().flatten().all(|root| root.is_empty()));
        self.roots = vec![vec![TreapRoot::default(); self.classes]; sub_queues];
    }

    pub(crate) fn classes(&self) -> usize {
        self.classes
    }

    pub(crate) fn insert(
        &mut self,
        sub_queue: SubQueueId,
        class: usize,
        position: QueuePosition,
        need: ResourceNeed,
    ) {
        let root = &mut self.roots[sub_queue.index()][class];
        self.arena.insert(root, position, need);
    }

    pub(crate) fn remove(&mut self, sub_queue: SubQueueId, class: usize, position: QueuePosition) {
        let root = &mut self.roots[sub_queue.index()][class];
        self.arena.remove(root, position);
    }

    pub(crate) fn is_empty(&self, sub_queue: SubQueueId, class: usize) -> bool {
        self.roots[sub_queue.index()][class].is_empty()
    }

    /// The first statement of a class queue.
    pub(crate) fn first(&self, sub_queue: SubQueueId, class: usize) -> Option<QueuedStatement> {
        self.arena.first(self.roots[sub_queue.index()][class])
    }

    /// The first statement of each class queue of a sub-queue that is not empty.
    pub(crate) fn first_of_each_class(
        &self,
        sub_queue: SubQueueId,
    ) -> impl Iterator<Item = QueuedStatement> {
        self.roots[sub_queue.index()]
            .iter()
            .filter_map(|root| self.arena.first(*root))
    }

    /// The statement of a sub-queue that would be released last.
    pub(crate) fn last(&self, sub_queue: SubQueueId) -> Option<QueuePosition> {
        self.roots[sub_queue.index()]
            .iter()
            .filter_map(|root| self.arena.last(*root))
            .map(|last| last.position)
            .max()
    }

    /// The work ahead of a position in a class queue.
    pub(crate) fn ahead(
        &self,
        sub_queue: SubQueueId,
        class: usize,
        position: QueuePosition,
    ) -> Work {
        self.arena
            .ahead(self.roots[sub_queue.index()][class], position)
    }

    /// The first statement of a class queue that may have capacity.
    pub(crate) fn first_with_capacity(
        &self,
        sub_queue: SubQueueId,
        class: usize,
        claim: Claim,
    ) -> Option<QueuePosition> {
        let root = self.roots[sub_queue.index()][class];
        self.arena
            .first_with_capacity(root, self.frontier(class, claim))
            .map(|found| found.position)
    }

    /// The first statement of a sub-queue, over all classes, that may have capacity within budget.
    pub(crate) fn first_of_any_class(&self, sub_queue: SubQueueId) -> Option<QueuePosition> {
        (0..self.classes)
            .filter_map(|class| self.first_with_capacity(sub_queue, class, Claim::WithinBudget))
            .min()
    }

    pub(crate) fn frontier(&self, class: usize, claim: Claim) -> &CapacityFrontier {
        let frontiers = &self.frontiers[class];
        match claim {
            Claim::WithinBudget => &frontiers.within_budget,
            Claim::Borrowing => &frontiers.borrowing,
        }
    }

    /// Records an offer that found no capacity. A need without capacity within budget has none for
    /// borrowing either.
    pub(crate) fn record_no_capacity(&mut self, class: usize, claim: Claim, need: ResourceNeed) {
        let frontiers = &mut self.frontiers[class];
        frontiers.borrowing.record(need);
        if claim == Claim::WithinBudget {
            frontiers.within_budget.record(need);
        }
    }

    /// Rules out all further offers of a class in this round.
    pub(crate) fn close_class(&mut self, class: usize) {
        let frontiers = &mut self.frontiers[class];
        frontiers.borrowing.close();
        frontiers.within_budget.close();
    }

    /// Begins a new round by clearing the frontiers of all classes.
    pub(crate) fn reopen_classes(&mut self) {
        for frontiers in &mut self.frontiers {
            for frontier in [&mut frontiers.within_budget, &mut frontiers.borrowing] {
                if !frontier.is_empty() {
                    *frontier = CapacityFrontier::default();
                }
            }
        }
    }
}
