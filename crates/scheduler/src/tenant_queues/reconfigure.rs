//! Reconfiguration: another configuration is taken over with all that waits.

use admission::interface::{StatementId, Timestamp};

use super::TenantQueues;
use crate::backlog::Backlog;
use crate::config::Config;
use crate::tenant_tree::SubQueueMoves;
use crate::waiting::{Standing, WaitingStatement};

impl TenantQueues {
    /// Takes another configuration over. What waits goes to the sub-queue of the same names, else to its tenant's
    /// default one, else to the first tenant's. Accounts of tenants and sub-queues that stay keep what they used.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.tree.advance(now);
        // The order within each key stays as it is while all statements leave and come back.
        let key_order = std::mem::take(&mut self.key_order);
        let statements = self.take_out_all();
        let moves = self.tree.reconfigure(&config);
        self.config = config;
        self.relayout(now, &moves);
        self.key_order = key_order;
        for (id, statement) in statements {
            self.relocate(id, statement, &moves);
        }
    }

    /// Empties all queues; the statements in the order of their numbers.
    fn take_out_all(&mut self) -> Vec<(StatementId, WaitingStatement)> {
        let mut statements = Vec::with_capacity(self.waiting.len());
        for id in self.waiting.ids() {
            if let Some(statement) = self.take_out(id) {
                statements.push((id, statement));
            }
        }
        statements
    }

    /// All that is kept by sub-queue is laid out for the new ones.
    fn relayout(&mut self, now: Timestamp, moves: &SubQueueMoves) {
        let sub_queues = self.tree.sub_queue_count();
        self.class_queues.relayout(sub_queues);
        self.backlog = Backlog::new(sub_queues);
        self.passed_over.relayout(sub_queues);
        self.forecaster.relayout(now, sub_queues, moves.kept());
        self.charges.relocate(moves);
    }

    /// A statement that was taken out waits in its new sub-queue.
    fn relocate(&mut self, id: StatementId, statement: WaitingStatement, moves: &SubQueueMoves) {
        let moved = WaitingStatement {
            sub_queue: moves.target(statement.sub_queue),
            standing: Standing::Held,
            ..statement
        };
        self.waiting.insert(id, moved);
        self.add_if_its_turn(id, statement.key);
    }
}
