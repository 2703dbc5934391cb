//! Eviction: making room for a statement by removing statements with a weaker claim.

use admission::interface::{QueuePosition, StatementId};

use super::TenantQueues;
use crate::backlog::{fits, load};
use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::waiting::{QueueState, WaitingStatement};

/// The maximum number of statements evicted for one that needs their room in CPU seconds.
const MAX_EVICTIONS: usize = 16;

impl TenantQueues {
    /// Makes room for a statement in its sub-queue and in the queues as a whole. If the sub-queue
    /// is full, the statements in it that would be released later are evicted. If the queues as a
    /// whole are full, the last statement of the sub-queue with the highest load for its budget is
    /// evicted; if that is the sub-queue of the new statement itself, only statements with a later
    /// deadline are evicted. Returns `None`, without evicting anything, if no statement has a
    /// weaker claim.
    pub(super) fn make_room(
        &mut self,
        sub_queue: SubQueueId,
        position: QueuePosition,
        need: ResourceNeed,
    ) -> Option<Vec<(StatementId, WaitingStatement)>> {
        let mut evicted = Vec::new();
        while !self.has_room(sub_queue, need) {
            let victim = self.victim(sub_queue, position, need);
            let Some(victim) = victim.filter(|_| evicted.len() < MAX_EVICTIONS) else {
                for (id, statement) in evicted.into_iter().rev() {
                    self.restore(id, statement);
                }
                return None;
            };
            let statement = self
                .detach(victim.id)
                .expect("the victim is in a class queue");
            evicted.push((victim.id, statement));
        }
        Some(evicted)
    }

    fn has_room(&self, sub_queue: SubQueueId, need: ResourceNeed) -> bool {
        let total_limit = self.config.total_limit;
        self.sub_queue_has_room(sub_queue, need) && fits(total_limit, self.backlog.total(), need)
    }

    fn sub_queue_has_room(&self, sub_queue: SubQueueId, need: ResourceNeed) -> bool {
        let limit = self.config.sub_queue_limit;
        fits(limit, self.backlog.of(sub_queue), need)
    }

    /// The next statement to evict for the new one, or `None` if no statement has a weaker claim.
    fn victim(
        &self,
        sub_queue: SubQueueId,
        position: QueuePosition,
        need: ResourceNeed,
    ) -> Option<QueuePosition> {
        if let Some(heavier) = self.heavier_sub_queue(sub_queue, need) {
            return self.class_queues.last(heavier);
        }
        self.class_queues
            .last(sub_queue)
            .filter(|last| last.deadline > position.deadline)
    }

    /// The sub-queue with the highest load, if it is another one and its load exceeds that of
    /// `sub_queue` with the new statement included. `None` if `sub_queue` itself is full.
    fn heavier_sub_queue(&self, sub_queue: SubQueueId, need: ResourceNeed) -> Option<SubQueueId> {
        if !self.sub_queue_has_room(sub_queue, need) {
            return None;
        }
        let waiting_cpu = self.backlog.of(sub_queue).cpu + need.cpu;
        let own_load = load(waiting_cpu, self.tree.budget(sub_queue));
        let (most_load, heaviest) = self.backlog.heaviest()?;
        let is_heavier = heaviest != sub_queue && most_load > own_load;
        is_heavier.then_some(heaviest)
    }

    /// Undoes an eviction.
    fn restore(&mut self, id: StatementId, statement: WaitingStatement) {
        let held = WaitingStatement {
            state: QueueState::Held,
            ..statement
        };
        self.waiting.insert(id, held);
        if let Some(key) = statement.key {
            self.key_order.restore(key, id);
        }
        self.add_to_class_queue(id);
    }
}
