//! The waiting statements, by number and by the time until which their answers are useful.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{ClassId, OrderKey, QueuePosition, StatementId, TimeDelta, Timestamp};

use crate::config::SubQueueId;
use crate::frontier::ResourceNeed;
use crate::wait_estimate::WaitEstimate;

/// A wait that has ended, and its estimate at entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedWait {
    /// The number of the statement.
    pub id: StatementId,
    /// Its query class.
    pub class: ClassId,
    /// The sub-queue in which it waited.
    pub sub_queue: SubQueueId,
    /// The estimated wait at its entry.
    pub estimated: WaitEstimate,
    /// The actual wait.
    pub actual: TimeDelta,
}

/// Whether a waiting statement is in its class queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueState {
    /// The statement is in its class queue and can be offered.
    InQueue,
    /// The statement is not in its class queue: an earlier one of its order key waits, or it has an
    /// order key and found no capacity in this round.
    Held,
}

/// The estimated wait of a statement at its entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EntryEstimate {
    /// The wait in seconds that was expected from the work ahead of it, before calibration.
    pub(crate) expected_s: f64,
    /// Whether the estimate was based on observed releases of its class in its sub-queue. Only then
    /// does it calibrate later estimates.
    pub(crate) from_observation: bool,
    /// The calibrated estimate that was reported.
    pub(crate) reported: WaitEstimate,
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
    /// The latest release time at which its answer is still useful.
    pub(crate) useful_until: Timestamp,
    pub(crate) estimate: EntryEstimate,
    pub(crate) state: QueueState,
}

impl WaitingStatement {
    /// The finished wait of the statement if it ends now.
    pub(crate) fn finish(&self, now: Timestamp, id: StatementId) -> FinishedWait {
        FinishedWait {
            id,
            class: self.class,
            sub_queue: self.sub_queue,
            estimated: self.estimate.reported,
            actual: now - self.entered,
        }
    }
}

/// All waiting statements. A statement leaves by a release, a rejection or the departure of its
/// client.
#[derive(Debug, Default)]
pub(crate) struct WaitingStatements {
    by_id: BTreeMap<StatementId, WaitingStatement>,
    /// The same statements, ordered by the end of their usefulness.
    by_useful_until: BTreeSet<(Timestamp, StatementId)>,
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
        self.by_useful_until.insert((statement.useful_until, id));
        self.by_id.insert(id, statement);
    }

    pub(crate) fn remove(&mut self, id: StatementId) -> Option<WaitingStatement> {
        let statement = self.by_id.remove(&id)?;
        self.by_useful_until.remove(&(statement.useful_until, id));
        Some(statement)
    }

    /// Whether a statement waits outside its class queue.
    pub(crate) fn is_held(&self, id: StatementId) -> bool {
        self.get(id)
            .is_some_and(|statement| statement.state == QueueState::Held)
    }

    /// Sets the state of a statement. Returns the changed statement, or `None` if it does not wait.
    pub(crate) fn set_state(
        &mut self,
        id: StatementId,
        state: QueueState,
    ) -> Option<WaitingStatement> {
        let statement = self.by_id.get_mut(&id)?;
        statement.state = state;
        Some(*statement)
    }

    /// Sets the time until which a statement's answer is useful. Returns the changed statement, or
    /// `None` if it does not wait.
    pub(crate) fn set_useful_until(
        &mut self,
        id: StatementId,
        useful_until: Timestamp,
    ) -> Option<WaitingStatement> {
        let statement = self.by_id.get_mut(&id)?;
        self.by_useful_until.remove(&(statement.useful_until, id));
        self.by_useful_until.insert((useful_until, id));
        statement.useful_until = useful_until;
        Some(*statement)
    }

    /// Limits the time until which any waiting statement's answer is useful.
    pub(crate) fn limit_useful_until(&mut self, limit: Timestamp) {
        self.by_useful_until.clear();
        for (id, statement) in &mut self.by_id {
            statement.useful_until = statement.useful_until.min(limit);
            self.by_useful_until.insert((statement.useful_until, *id));
        }
    }

    /// The statements whose answers are no longer useful, earliest expiry first.
    pub(crate) fn past_useful_until(&self, now: Timestamp) -> Vec<QueuePosition> {
        self.by_useful_until
            .iter()
            .take_while(|(end, _)| *end <= now)
            .filter_map(|(_, id)| Some(self.by_id.get(id)?.position))
            .collect()
    }
}
