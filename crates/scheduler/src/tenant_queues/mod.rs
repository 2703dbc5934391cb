//! The waiting statements of all tenants, and which is offered next.
//!
//! Two levels: tenants have sub-queues, and statements wait in the class queues of these. Nothing here chooses an
//! engine. `docs/notes/queues.md` tells the order and why it is so. Each part of the state is a type of its own:
//!
//! - `WaitingStatements`, the statements by number; `KeyOrder`, whose turn it is among those of one order key;
//! - `ClassQueues`, their order of release; `Backlog`, how much waits; `PassedOver`, for how long in vain;
//! - `TenantTree`, budgets and ranks; `OpenCharges`, what released statements are charged;
//! - `WaitForecaster`, what estimates rest on.
//!
//! The modules below hold one operation each: entry with eviction, offers, reconfiguration and status.

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
use crate::waiting::{FinishedWait, Standing, WaitingStatement, WaitingStatements};

/// Statements that wait before the decision module, by tenant, sub-queue and query class.
pub struct TenantQueues {
    config: Config,
    tree: TenantTree,
    class_queues: ClassQueues,
    backlog: Backlog,
    passed_over: PassedOver,
    waiting: WaitingStatements,
    key_order: KeyOrder,
    /// Keyed statements that found no capacity in this round: they may lack only their turn, and are queued again with
    /// the next round.
    held_for_round: Vec<StatementId>,
    charges: OpenCharges,
    forecaster: WaitForecaster,
}

impl TenantQueues {
    /// When a gateway ends, what waits is offered once more so long before.
    const DRAIN_MARGIN_S: f64 = 0.05;

    /// Empty queues. `classes`: how many query classes there are; `seed`: of the shape of the trees within, on which no
    /// order depends. The configuration must have a tenant, and each tenant a sub-queue: other calls rely on it.
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

    /// How many statements wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Released statements whose last outcome is not known yet.
    #[must_use]
    pub fn open_charges(&self) -> usize {
        self.charges.len()
    }

    /// The longest that the first statement of any sub-queue has been passed over by one of the same query class.
    #[must_use]
    pub fn longest_passed_over(&self) -> TimeDelta {
        self.passed_over.longest()
    }

    /// What each tenant demanded and spent of its budget since the start, in the order of the configuration.
    pub fn usage(&self) -> impl Iterator<Item = TenantUsage> {
        self.tree.usage()
    }

    /// Time goes on: accounts fill, and a new round of offers begins.
    ///
    /// `cores`: what the engines in use have, as this gateway's share; estimates follow it at once. `traffic_share`:
    /// what this gateway carries, in even shares of all gateways' traffic; budgets follow it unless they are leased.
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

    /// Sets the budgets of tenants from now on, by their index in the configuration, in CPU seconds a second: this
    /// gateway's lease of what is configured for all gateways together. Sub-queues' follow in proportion; one that is
    /// not told stays. With the first lease nothing is saved.
    pub fn set_leased_budgets(&mut self, now: Timestamp, budgets: &[Option<f64>]) {
        self.tree.advance(now);
        self.tree.set_leased_budgets(budgets, &self.class_queues);
    }

    /// What an attempt of a released statement cost: CPU seconds where known, zero where it is known not to have run.
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

    /// One more attempt of a statement that was released before: its tenant is charged for that, too.
    pub fn charge_retry(&mut self, now: Timestamp, id: StatementId, cpu: f64) {
        self.tree.advance(now);
        if let Some(charge) = self.charges.remove(id) {
            self.charge(id, charge.sub_queue, cpu);
        }
    }

    /// A released statement has no further outcome.
    pub fn close_charge(&mut self, id: StatementId) {
        self.charges.remove(id);
    }

    /// A statement was rejected, or its client left. None: it did not wait.
    pub fn remove(&mut self, now: Timestamp, id: StatementId) -> Option<FinishedWait> {
        self.tree.advance(now);
        let statement = self.take_out(id)?;
        Some(statement.finish(now, id))
    }

    /// Statements whose use has ended: they are to be offered once more.
    #[must_use]
    pub fn past_use(&self, now: Timestamp) -> Vec<QueuePosition> {
        self.waiting.past_use(now)
    }

    /// The gateway ends then: nothing waits up to it without being offered once more.
    pub fn drain_by(&mut self, deadline: Timestamp) {
        let margin = TimeDelta::from_secs(-Self::DRAIN_MARGIN_S);
        self.waiting.limit_use(deadline + margin);
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

    /// A held statement takes its place in its class queue.
    fn add_to_class_queue(&mut self, id: StatementId) {
        let Some(statement) = self.waiting.set_standing(id, Standing::InQueue) else {
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

    /// A statement leaves its class queue, if it stands there.
    fn remove_from_class_queue(&mut self, id: StatementId) {
        let Some(statement) = self.waiting.get(id).copied() else {
            return;
        };
        if statement.standing == Standing::Held {
            return;
        }
        self.waiting.set_standing(id, Standing::Held);
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

    /// Ends a statement's wait; the next of its order key is queued.
    fn take_out(&mut self, id: StatementId) -> Option<WaitingStatement> {
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
