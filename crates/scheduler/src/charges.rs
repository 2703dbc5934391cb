//! The charges of released statements until their outcomes are known.

use std::collections::BTreeMap;

use admission::interface::StatementId;

use crate::config::SubQueueId;
use crate::tenant_tree::{ChargeFunding, SubQueueMoves};

/// The charge of one released statement.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Charge {
    pub(crate) sub_queue: SubQueueId,
    /// The charged CPU seconds.
    pub(crate) cpu: f64,
    pub(crate) funding: ChargeFunding,
}

/// The charges of statements whose final outcome is not known yet.
#[derive(Debug, Default)]
pub(crate) struct OpenCharges {
    by_statement: BTreeMap<StatementId, Charge>,
}

impl OpenCharges {
    pub(crate) fn len(&self) -> usize {
        self.by_statement.len()
    }

    pub(crate) fn insert(&mut self, id: StatementId, charge: Charge) {
        self.by_statement.insert(id, charge);
    }

    pub(crate) fn remove(&mut self, id: StatementId) -> Option<Charge> {
        self.by_statement.remove(&id)
    }

    /// Sets a charge to the actual cost of the statement, in CPU seconds. Returns the previous
    /// charge, or `None` if there is none.
    pub(crate) fn settle(&mut self, id: StatementId, cpu: f64) -> Option<Charge> {
        let charge = self.by_statement.get_mut(&id)?;
        let before = *charge;
        charge.cpu = cpu;
        Some(before)
    }

    /// Moves the charges to the sub-queues of a new configuration.
    pub(crate) fn relocate(&mut self, moves: &SubQueueMoves) {
        for charge in self.by_statement.values_mut() {
            charge.sub_queue = moves.target(charge.sub_queue);
        }
    }
}
