//! The waiting statements of each sub-queue by query class, in the order of release, and what found no capacity.

use admission::interface::QueuePosition;

use crate::config::SubQueueId;
use crate::frontier::{CapacityFrontier, ResourceNeed};
use crate::treap::{QueuedStatement, TreapArena, TreapRoot, Work};

/// What a statement would be released on: its tenant's budget, or capacity that others leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    WithinBudget,
    Borrowing,
}

/// What found no capacity in this round, of one class.
#[derive(Clone, Debug, Default)]
struct ClassFrontiers {
    within_budget: CapacityFrontier,
    borrowing: CapacityFrontier,
}

/// All class queues: one for each sub-queue and query class.
pub(crate) struct ClassQueues {
    classes: usize,
    arena: TreapArena,
    /// By sub-queue, then by class.
    roots: Vec<Vec<TreapRoot>>,
    /// By class.
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

    /// Empty queues for other sub-queues. Nothing may wait in the old ones.
    pub(crate) fn relayout(&mut self, sub_queues: usize) {
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

    /// The first statements of a sub-queue's class queues, by class.
    pub(crate) fn firsts(&self, sub_queue: SubQueueId) -> impl Iterator<Item = QueuedStatement> {
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

    /// The work before a position in a class queue.
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

    /// The first statement of a sub-queue that may have capacity within budget, over all classes.
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

    /// An offer of this need found no capacity. Where there is none within budget, there is none to borrow.
    pub(crate) fn record_no_capacity(&mut self, class: usize, claim: Claim, need: ResourceNeed) {
        let frontiers = &mut self.frontiers[class];
        frontiers.borrowing.record(need);
        if claim == Claim::WithinBudget {
            frontiers.within_budget.record(need);
        }
    }

    /// Nothing more of this class is offered in this round.
    pub(crate) fn close_class(&mut self, class: usize) {
        let frontiers = &mut self.frontiers[class];
        frontiers.borrowing.close();
        frontiers.within_budget.close();
    }

    /// Forgets what found no capacity: a new round begins.
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
