//! The waiting statements of all tenants, and the order in which they are offered.
//!
//! There are two levels: each tenant has sub-queues, and statements wait in the class queues of a
//! sub-queue. Nothing here chooses an engine. `docs/notes/queues.md` describes the order and the
//! reasons for it. Each part of the state has its own type:
//!
//! - `WaitingStatements` holds the statements by number, and `KeyOrder` the order among those with
//!   the same order key.
//! - `ClassQueues` holds the release order, `Backlog` the amount of waiting work, and `PassedOver`
//!   the time that each sub-queue has gone without a release.
//! - `TenantTree` holds budgets and ranks, and `OpenCharges` what released statements are charged.
//! - `WaitForecaster` holds the observations behind the estimated waits.
//!
//! Each of the submodules holds one operation: entry, eviction, offers, reconfiguration and status.

mod entry;
mod eviction;
mod offers;
mod reconfigure;
mod status;

use admission::interface::{QueuePosition, StatementId, TimeDelta, Timestamp};

pub use entry::{EnqueueOutcome, EnqueueRequest, EnqueueResult, Eviction};
pub use offers::Offer;
pub use status::{StatementStatus, SubQueueStatus};

use crate::backlog::Backlog;
use crate::charges::{Charge, OpenCharges};
use crate::class_queues::ClassQueues;
use crate::config::{Config, SubQueueId};
use crate::key_order::KeyOrder;
use crate::passed_over::PassedOver;
use crate::tenant_tree::{TenantTree, TenantUsage};
use crate::wait_forecast::WaitForecaster;
use crate::waiting::{FinishedWait, QueueState, WaitingStatement, WaitingStatements};

/// The statements that wait ahead of the decision module, by tenant, sub-queue and query class.
pub struct TenantQueues {
    config: Config,
    tree: TenantTree,
    class_queues: ClassQueues,
    backlog: Backlog,
    passed_over: PassedOver,
    waiting: WaitingStatements,
    key_order: KeyOrder,
    /// Statements with an order key that found no capacity in this round. They may only have to
    /// wait for an earlier one of their key that still runs. They return to their class queues in
    /// the next round.
    held_for_round: Vec<StatementId>,
    charges: OpenCharges,
    forecaster: WaitForecaster,
}

impl TenantQueues {
    /// How long before the shutdown deadline of a gateway the waiting statements are offered for
    /// the last time, in seconds.
    const DRAIN_MARGIN_S: f64 = 0.05;

    /// Creates empty queues for this number of query classes. `seed` determines the shape of the
    /// internal treaps, which does not affect any order. The configuration must have at least one
    /// tenant, and each tenant at least one sub-queue: the other methods rely on it.
    #[must_use]
    pub fn new(now: Timestamp, config: Config, classes: usize, seed: u64) -> Self {
        let tree = TenantTree::new(now, &config, classes);
        let sub_queues = tree.sub_queue_count();
        TenantQueues {
            config,
            tree,
            class_queues: ClassQueues::new(sub_queues, classes, seed),
            backlog: Backlog::new(sub_queues),
            passed_over: PassedOver::new(sub_queues),
            waiting: WaitingStatements::default(),
            key_order: KeyOrder::default(),
            held_for_round: Vec::new(),
            charges: OpenCharges::default(),
            forecaster: WaitForecaster::new(now, sub_queues, classes),
        }
    }

    /// The number of waiting statements.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no statement waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The number of released statements whose final outcome is not known yet.
    #[must_use]
    pub fn open_charges(&self) -> usize {
        self.charges.len()
    }

    /// The longest time for which any sub-queue has been passed over in favor of another one,
    /// counting only releases of a query class of which it had statements waiting.
    #[must_use]
    pub fn longest_passed_over(&self) -> TimeDelta {
        self.passed_over.longest()
    }

    /// The demand of each tenant and what it spent from its budget since the start, in the order of
    /// the configuration.
    pub fn usage(&self) -> impl Iterator<Item = TenantUsage> {
        self.tree.usage()
    }

    /// Advances the time, which refills the budgets, and begins a new round of offers.
    ///
    /// `cores` is this gateway's share of the cores of the engines in use; estimates follow a
    /// change at once. `traffic_share` is this gateway's traffic as a multiple of an even share
    /// among all gateways; budgets scale with it unless they are leased.
    pub fn begin_round(&mut self, now: Timestamp, cores: f64, traffic_share: f64) {
        self.tree.advance(now);
        self.tree.set_traffic_share(traffic_share);
        let waiting = self.passed_over.longest_first().map(|(_, id)| id);
        self.forecaster.set_cores(now, cores, waiting);
        self.tree.rerank_refilled(&self.class_queues);
        self.class_queues.reopen_classes();
        for id in std::mem::take(&mut self.held_for_round) {
            if self.waiting.is_held(id) {
                self.add_to_class_queue(id);
            }
        }
    }

    /// Sets the budgets of the tenants, by their index in the configuration, in CPU seconds per
    /// second. A budget is this gateway's lease of the budget configured for all gateways together.
    /// The budgets of sub-queues change in proportion, and a tenant with `None` keeps its budget.
    /// The first lease starts with no saved budget.
    pub fn set_leased_budgets(&mut self, now: Timestamp, budgets: &[Option<f64>]) {
        self.tree.advance(now);
        self.tree.set_leased_budgets(budgets, &self.class_queues);
    }

    /// Corrects the charge of a released statement to what an attempt cost, in CPU seconds: zero if
    /// the attempt is known not to have run, and `None` if its cost is unknown.
    pub fn settle(&mut self, now: Timestamp, id: StatementId, cpu: Option<f64>) {
        self.tree.advance(now);
        let Some(cpu) = cpu else { return };
        let Some(charge) = self.charges.settle(id, cpu) else {
            return;
        };
        self.tree
            .correct(charge.sub_queue, cpu - charge.cpu, charge.funding);
        self.tree.rerank(charge.sub_queue, &self.class_queues);
    }

    /// Charges the tenant for another attempt of a statement that was already released.
    pub fn charge_retry(&mut self, now: Timestamp, id: StatementId, cpu: f64) {
        self.tree.advance(now);
        if let Some(charge) = self.charges.remove(id) {
            self.charge(id, charge.sub_queue, cpu);
        }
    }

    /// Drops the charge of a released statement that has no further outcome.
    pub fn close_charge(&mut self, id: StatementId) {
        self.charges.remove(id);
    }

    /// Removes a statement that was rejected or whose client left. Returns `None` if it did not
    /// wait.
    pub fn remove(&mut self, now: Timestamp, id: StatementId) -> Option<FinishedWait> {
        self.tree.advance(now);
        let statement = self.detach(id)?;
        Some(statement.finish(now, id))
    }

    /// Statements whose answers are no longer useful. They are to be offered one last time.
    #[must_use]
    pub fn past_useful_until(&self, now: Timestamp) -> Vec<QueuePosition> {
        self.waiting.past_useful_until(now)
    }

    /// Announces that the gateway shuts down at `deadline`. Statements that still wait shortly
    /// before the deadline are offered one last time.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        let margin = TimeDelta::from_secs(-Self::DRAIN_MARGIN_S);
        self.waiting.limit_useful_until(deadline + margin);
    }

    fn charge(&mut self, id: StatementId, sub_queue: SubQueueId, cpu: f64) {
        let funding = self.tree.charge(sub_queue, cpu);
        let charge = Charge {
            sub_queue,
            cpu,
            funding,
        };
        self.charges.insert(id, charge);
        self.tree.rerank(sub_queue, &self.class_queues);
    }

    /// Moves a held statement into its class queue.
    fn add_to_class_queue(&mut self, id: StatementId) {
        let Some(statement) = self.waiting.set_state(id, QueueState::InQueue) else {
            return;
        };
        let WaitingStatement {
            sub_queue,
            position,
            need,
            ..
        } = statement;
        let class = statement.class.0;
        let now = self.tree.now();
        if self.class_queues.is_empty(sub_queue, class) {
            self.forecaster.start_class(now, sub_queue, class);
        }
        self.class_queues.insert(sub_queue, class, position, need);
        if self.backlog.of(sub_queue).statements == 0 {
            self.forecaster.start_sub_queue(now, sub_queue);
            self.passed_over.start(now, sub_queue);
            self.tree.activate(sub_queue);
        }
        if self.backlog.total().statements == 0 {
            self.forecaster.start_total(now);
        }
        let budget = self.tree.budget(sub_queue);
        self.backlog.add(sub_queue, need.cpu, budget);
        self.tree.rerank(sub_queue, &self.class_queues);
    }

    /// Removes a statement from its class queue, if it is in it.
    fn remove_from_class_queue(&mut self, id: StatementId) {
        let Some(statement) = self.waiting.get(id).copied() else {
            return;
        };
        if statement.state == QueueState::Held {
            return;
        }
        self.waiting.set_state(id, QueueState::Held);
        let WaitingStatement {
            sub_queue,
            position,
            need,
            ..
        } = statement;
        let class = statement.class.0;
        let now = self.tree.now();
        self.class_queues.remove(sub_queue, class, position);
        if self.class_queues.is_empty(sub_queue, class) {
            self.forecaster.stop_class(now, sub_queue, class);
        }
        let budget = self.tree.budget(sub_queue);
        self.backlog.subtract(sub_queue, need.cpu, budget);
        if self.backlog.of(sub_queue).statements == 0 {
            self.forecaster.stop_sub_queue(now, sub_queue);
            self.passed_over.stop(sub_queue);
            self.tree.deactivate(sub_queue);
        }
        if self.backlog.total().statements == 0 {
            self.forecaster.stop_total(now);
        }
        self.tree.rerank(sub_queue, &self.class_queues);
    }

    /// Ends the wait of a statement and queues the next one of its order key.
    fn detach(&mut self, id: StatementId) -> Option<WaitingStatement> {
        self.remove_from_class_queue(id);
        let statement = self.waiting.remove(id)?;
        if let Some(key) = statement.key
            && let Some(next) = self.key_order.remove(key, id)
            && self.waiting.is_held(next)
            && !self.held_for_round.contains(&next)
        {
            self.add_to_class_queue(next);
        }
        Some(statement)
    }
}
