//! Reconfiguration: applies another configuration while statements wait.

use admission::interface::{StatementId, Timestamp};

use super::TenantQueues;
use crate::backlog::Backlog;
use crate::config::Config;
use crate::tenant_tree::SubQueueMoves;
use crate::waiting::{QueueState, WaitingStatement};

impl TenantQueues {
    /// Applies another configuration. A waiting statement moves to the sub-queue with the same
    /// tenant and sub-queue name, otherwise to the default sub-queue of its tenant, otherwise to
    /// that of the first tenant. Tenants and sub-queues that remain keep the state of their
    /// accounts.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.tree.advance(now);
        // The order within each key must survive while all statements are removed and added again.
        let key_order = std::mem::take(&mut self.key_order);
        let statements = self.detach_all();
        let moves = self.tree.reconfigure(&config);
        self.config = config;
        self.replace_sub_queues(now, &moves);
        self.key_order = key_order;
        for (id, statement) in statements {
            self.relocate(id, statement, &moves);
        }
    }

    /// Empties all queues and returns the statements in the order of their numbers.
    fn detach_all(&mut self) -> Vec<(StatementId, WaitingStatement)> {
        let mut statements = Vec::with_capacity(self.waiting.len());
        for id in self.waiting.ids() {
            if let Some(statement) = self.detach(id) {
                statements.push((id, statement));
            }
        }
        statements
    }

    /// Rebuilds all state that is indexed by sub-queue for the new sub-queues.
    fn replace_sub_queues(&mut self, now: Timestamp, moves: &SubQueueMoves) {
        let sub_queues = self.tree.sub_queue_count();
        self.class_queues.replace_sub_queues(sub_queues);
        self.backlog = Backlog::new(sub_queues);
        self.passed_over.replace_sub_queues(sub_queues);
        self.forecaster
            .replace_sub_queues(now, sub_queues, moves.kept());
        self.charges.relocate(moves);
    }

    /// Adds a removed statement to its new sub-queue.
    fn relocate(&mut self, id: StatementId, statement: WaitingStatement, moves: &SubQueueMoves) {
        let moved = WaitingStatement {
            sub_queue: moves.target(statement.sub_queue),
            state: QueueState::Held,
            ..statement
        };
        self.waiting.insert(id, moved);
        self.add_if_its_turn(id, statement.key);
    }
}
