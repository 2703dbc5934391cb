//! The statements that wait, by number and by the end of their use.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{ClassId, OrderKey, QueuePosition, StatementId, TimeDelta, Timestamp};

use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;

/// A wait that ended, and how it was estimated at its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedWait {
    /// The statement that waited.
    pub id: StatementId,
    /// Its query class.
    pub class: ClassId,
    /// Where it waited.
    pub sub_queue: SubQueueId,
    /// The estimate at its entry.
    pub estimated: WaitEstimate,
    /// How long it waited.
    pub actual: TimeDelta,
}

/// Whether a statement stands in its class queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// It can be offered.
    InQueue,
    /// An earlier one of its order key does, or it found no capacity in this round.
    Held,
}

/// What was expected of a wait at its entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryEstimate {
    /// Seconds that it was expected to wait by the work ahead of it.
    pub(crate) expected_s: f64,
    /// That rested on releases seen at its sub-queue, and so counts for the next estimates.
    pub(crate) from_observation: bool,
    /// What was told.
    pub(crate) told: WaitEstimate,
}

/// A statement that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingStatement {
    pub(crate) sub_queue: SubQueueId,
    pub(crate) class: ClassId,
    pub(crate) position: QueuePosition,
    pub(crate) need: ResourceNeed,
    pub(crate) key: Option<OrderKey>,
    pub(crate) entered: Timestamp,
    /// Released later, its answer is of no use.
    pub(crate) useful_until: Timestamp,
    pub(crate) estimate: EntryEstimate,
    pub(crate) standing: Standing,
}

impl WaitingStatement {
    /// Its wait, if it ends now.
    pub(crate) fn finish(&self, now: Timestamp, id: StatementId) -> FinishedWait {
        FinishedWait {
            id,
            class: self.class,
            sub_queue: self.sub_queue,
            estimated: self.estimate.told,
            actual: now - self.entered,
        }
    }
}

/// All statements that wait. Emptied by release, rejection and the client's leaving.
#[derive(Debug, Default)]
pub(crate) struct WaitingStatements {
    by_id: BTreeMap<StatementId, WaitingStatement>,
    /// When their use ends.
    by_use: BTreeSet<(Timestamp, StatementId)>,
}

impl WaitingStatements {
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    pub(crate) fn get(&self, id: StatementId) -> Option<&WaitingStatement> {
        self.by_id.get(&id)
    }

    pub(crate) fn ids(&self) -> Vec<StatementId> {
        self.by_id.keys().copied().collect()
    }

    pub(crate) fn insert(&mut self, id: StatementId, statement: WaitingStatement) {
        self.by_use.insert((statement.useful_until, id));
        self.by_id.insert(id, statement);
    }

    pub(crate) fn remove(&mut self, id: StatementId) -> Option<WaitingStatement> {
        let statement = self.by_id.remove(&id)?;
        self.by_use.remove(&(statement.useful_until, id));
        Some(statement)
    }

    /// Whether a statement waits and stands in no class queue.
    pub(crate) fn is_held(&self, id: StatementId) -> bool {
        self.get(id)
            .is_some_and(|statement| statement.standing == Standing::Held)
    }

    /// Changes where a statement stands; the statement.
    pub(crate) fn set_standing(
        &mut self,
        id: StatementId,
        standing: Standing,
    ) -> Option<WaitingStatement> {
        let statement = self.by_id.get_mut(&id)?;
        statement.standing = standing;
        Some(*statement)
    }

    /// Changes the end of a statement's use; the statement.
    pub(crate) fn set_useful_until(
        &mut self,
        id: StatementId,
        useful_until: Timestamp,
    ) -> Option<WaitingStatement> {
        let statement = self.by_id.get_mut(&id)?;
        self.by_use.remove(&(statement.useful_until, id));
        self.by_use.insert((useful_until, id));
        statement.useful_until = useful_until;
        Some(*statement)
    }

    /// No statement's use ends later than this.
    pub(crate) fn limit_use(&mut self, limit: Timestamp) {
        self.by_use.clear();
        for (id, statement) in &mut self.by_id {
            statement.useful_until = statement.useful_until.min(limit);
            self.by_use.insert((statement.useful_until, *id));
        }
    }

    /// Statements whose use has ended, the first to end first.
    pub(crate) fn past_use(&self, now: Timestamp) -> Vec<QueuePosition> {
        self.by_use
            .iter()
            .take_while(|(end, _)| *end <= now)
            .filter_map(|(_, id)| Some(self.by_id.get(id)?.position))
            .collect()
    }
}
