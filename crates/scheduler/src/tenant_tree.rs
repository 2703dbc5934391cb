//! Tenants and their sub-queues with their credit accounts, ranked at both levels by which is next.
//!
//! For each query class, a sub-queue is ranked among those of its tenant, and a tenant among all
//! tenants: by the position of its first statement if the budget covers it, otherwise by the amount
//! borrowed. Ranks are updated after each change of a class queue or an account
//! ([`TenantTree::rerank`]), and by a timer when a budget covers a first statement again
//! ([`TenantTree::rerank_refilled`]).

use std::collections::BTreeMap;

use admission::interface::{QueuePosition, TimeDelta, Timestamp};

use crate::class_queues::{Claim, ClassQueues};
use crate::config::{Config, SubQueueId, TenantConfig, TenantQueueId};
use crate::credit::{BudgetClock, CreditAccount, Funding};
use crate::float_key::FloatKey;
use crate::rank::{RankKey, Ranks};
use crate::refill::{RefillTimers, TreeNode};
use crate::treap::QueuedStatement;

/// The maximum number of siblings examined when the first ones have only statements without
/// capacity.
pub(crate) const MAX_SIBLINGS_EXAMINED: usize = 64;

/// The smallest divisor for a fraction of a budget.
const MIN_BUDGET: f64 = 1e-9;

/// The demand of a tenant and what it spent from its budget since the start, in predicted CPU
/// seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantUsage {
    /// The predicted CPU seconds of the statements that arrived for the tenant.
    pub demanded: f64,
    /// The CPU seconds paid from its budget.
    pub spent: f64,
}

/// How the charge of one statement was paid at each of the two levels.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChargeFunding {
    tenant: Funding,
    sub_queue: Funding,
}

struct SubQueue {
    name: String,
    tenant: TenantQueueId,
    account: CreditAccount,
    /// The configured budget, in CPU seconds per second.
    configured_budget: f64,
    /// The rank among the sub-queues of its tenant, by class; `None` if no statement of the class
    /// waits.
    rank_keys: Vec<Option<RankKey>>,
}

struct Tenant {
    name: String,
    account: CreditAccount,
    /// The configured budget, in CPU seconds per second.
    configured_budget: f64,
    sub_queues: Vec<SubQueueId>,
    /// The ranks of its sub-queues, by class.
    ranks: Vec<Ranks<SubQueueId>>,
    /// The rank among all tenants, by class; `None` if no statement of the class waits.
    rank_keys: Vec<Option<RankKey>>,
    /// The highest virtual time that any of its sub-queues had just before it borrowed. A sub-queue
    /// that becomes active starts from it.
    virtual_time: f64,
    /// The number of sub-queues with waiting statements.
    active_sub_queues: u32,
    /// The predicted CPU seconds of the statements that arrived for it since the start.
    demanded: f64,
}

/// The new places of the sub-queues of an earlier configuration, by their earlier index.
pub(crate) struct SubQueueMoves(Vec<SubQueueMove>);

#[derive(Clone, Copy)]
struct SubQueueMove {
    to: SubQueueId,
    /// Whether the tenant and sub-queue names are unchanged.
    same: bool,
}

impl SubQueueMoves {
    /// The sub-queue in which statements of an earlier sub-queue wait now.
    pub(crate) fn target(&self, old: SubQueueId) -> SubQueueId {
        self.0[old.index()].to
    }

    /// The sub-queues that remain, each as its earlier and its new number.
    pub(crate) fn kept(&self) -> impl Iterator<Item = (SubQueueId, SubQueueId)> {
        let moves = self.0.iter().enumerate();
        moves
            .filter(|(_, moved)| moved.same)
            .map(|(old, moved)| (SubQueueId(old as u32), moved.to))
    }
}

/// The accounts of tenants and sub-queues, above the class queues.
pub(crate) struct TenantTree {
    classes: usize,
    clock: BudgetClock,
    burst: TimeDelta,
    /// Whether budgets are leased. A lease already is this gateway's part of the budget of all
    /// gateways, so budgets are not scaled by its traffic share.
    leased: bool,
    tenants: Vec<Tenant>,
    sub_queues: Vec<SubQueue>,
    /// The ranks of all tenants, by class.
    ranks: Vec<Ranks<TenantQueueId>>,
    /// The highest virtual time that any tenant had just before it borrowed. A tenant that becomes
    /// active starts from it.
    virtual_time: f64,
    /// For each account that can only borrow, the time at which its budget covers its first
    /// statement again.
    refills: RefillTimers,
    /// The sum of the budgets of all tenants, in CPU seconds per second.
    total_budget: f64,
}

impl TenantTree {
    pub(crate) fn new(now: Timestamp, config: &Config, classes: usize) -> Self {
        let mut tree = TenantTree {
            classes,
            clock: BudgetClock::new(now),
            burst: config.burst,
            leased: false,
            tenants: Vec::new(),
            sub_queues: Vec::new(),
            ranks: vec![Ranks::new(); classes],
            virtual_time: 0.0,
            refills: RefillTimers::default(),
            total_budget: 0.0,
        };
        tree.build(config);
        tree
    }

    fn build(&mut self, config: &Config) {
        self.total_budget = config
            .tenants
            .iter()
            .map(|tenant| tenant.share.budget)
            .sum();
        self.burst = config.burst;
        self.ranks = vec![Ranks::new(); self.classes];
        self.refills = RefillTimers::default();
        for tenant in &config.tenants {
            self.add_tenant(tenant);
        }
    }

    fn add_tenant(&mut self, config: &TenantConfig) {
        let id = TenantQueueId(self.tenants.len() as u32);
        let first = self.sub_queues.len() as u32;
        for sub_queue in &config.sub_queues {
            self.sub_queues.push(SubQueue {
                name: sub_queue.name.clone(),
                tenant: id,
                account: CreditAccount::new(self.clock, sub_queue.share, self.burst),
                configured_budget: sub_queue.share.budget,
                rank_keys: vec![None; self.classes],
            });
        }
        let end = self.sub_queues.len() as u32;
        self.tenants.push(Tenant {
            name: config.name.clone(),
            account: CreditAccount::new(self.clock, config.share, self.burst),
            configured_budget: config.share.budget,
            sub_queues: (first..end).map(SubQueueId).collect(),
            ranks: vec![Ranks::new(); self.classes],
            rank_keys: vec![None; self.classes],
            virtual_time: 0.0,
            active_sub_queues: 0,
            demanded: 0.0,
        });
    }

    /// Advances the time, which refills the budgets.
    pub(crate) fn advance(&mut self, now: Timestamp) {
        self.clock.advance(now);
    }

    /// The time of the last [`TenantTree::advance`].
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Makes budgets refill faster while this gateway carries more than an even share of the
    /// traffic, unless they are leased.
    pub(crate) fn set_traffic_share(&mut self, traffic_share: f64) {
        self.clock
            .set_speed(if self.leased { 1.0 } else { traffic_share });
    }

    pub(crate) fn sub_queue_count(&self) -> usize {
        self.sub_queues.len()
    }

    /// Returns `sub_queue` if it exists, otherwise the last sub-queue.
    pub(crate) fn clamp_sub_queue(&self, sub_queue: SubQueueId) -> SubQueueId {
        SubQueueId(sub_queue.0.min(self.sub_queues.len() as u32 - 1))
    }

    /// The current budget of a sub-queue, in CPU seconds per second.
    pub(crate) fn budget(&self, sub_queue: SubQueueId) -> f64 {
        self.sub_queues[sub_queue.index()].account.share().budget
    }

    /// The budget of a sub-queue as a fraction of the budgets of all tenants.
    pub(crate) fn budget_fraction(&self, sub_queue: SubQueueId) -> f64 {
        self.budget(sub_queue) / self.total_budget.max(MIN_BUDGET)
    }

    /// The CPU seconds that a sub-queue has saved from its budget; a negative value is a debt.
    pub(crate) fn balance(&mut self, sub_queue: SubQueueId) -> f64 {
        self.sub_queues[sub_queue.index()]
            .account
            .balance(self.clock)
    }

    pub(crate) fn tenant_name(&self, sub_queue: SubQueueId) -> &str {
        &self.tenants[self.sub_queues[sub_queue.index()].tenant.index()].name
    }

    pub(crate) fn sub_queue_name(&self, sub_queue: SubQueueId) -> &str {
        &self.sub_queues[sub_queue.index()].name
    }

    /// The usage of each tenant, in the order of the configuration.
    pub(crate) fn usage(&self) -> impl Iterator<Item = TenantUsage> {
        self.tenants.iter().map(|tenant| TenantUsage {
            demanded: tenant.demanded,
            spent: tenant.account.spent(),
        })
    }

    /// Records the arrival of a statement of this cost.
    pub(crate) fn record_demand(&mut self, sub_queue: SubQueueId, cpu: f64) {
        let tenant = self.sub_queues[sub_queue.index()].tenant;
        self.tenants[tenant.index()].demanded += cpu;
    }

    /// Whether a statement of this cost would be paid from its own budget or borrow from other
    /// tenants if it were released now.
    pub(crate) fn claim(&mut self, sub_queue: SubQueueId, cpu: f64) -> Claim {
        let sub_queue = &mut self.sub_queues[sub_queue.index()];
        let tenant = &mut self.tenants[sub_queue.tenant.index()];
        let covered =
            sub_queue.account.covers(self.clock, cpu) || tenant.account.covers(self.clock, cpu);
        if covered || self.tenants.len() == 1 {
            Claim::WithinBudget
        } else {
            Claim::Borrowing
        }
    }

    /// Records that an empty sub-queue has its first waiting statement.
    pub(crate) fn activate(&mut self, sub_queue: SubQueueId) {
        let sub_queue = &mut self.sub_queues[sub_queue.index()];
        let tenant = &mut self.tenants[sub_queue.tenant.index()];
        sub_queue.account.activate(tenant.virtual_time);
        if tenant.active_sub_queues == 0 {
            tenant.account.activate(self.virtual_time);
        }
        tenant.active_sub_queues += 1;
    }

    /// Records that a sub-queue has become empty.
    pub(crate) fn deactivate(&mut self, sub_queue: SubQueueId) {
        let tenant = self.sub_queues[sub_queue.index()].tenant;
        self.tenants[tenant.index()].active_sub_queues -= 1;
    }

    /// Charges a released statement to its sub-queue and its tenant. The caller must rerank the
    /// sub-queue.
    pub(crate) fn charge(&mut self, sub_queue: SubQueueId, cpu: f64) -> ChargeFunding {
        let clock = self.clock;
        let sub_queue = &mut self.sub_queues[sub_queue.index()];
        let tenant = &mut self.tenants[sub_queue.tenant.index()];
        let sub_queue_covers = sub_queue.account.covers(clock, cpu);
        // A cost that the budget of the sub-queue covers is also covered for the tenant, whatever
        // the tenant spent on its other sub-queues.
        let tenant_covers = sub_queue_covers || tenant.account.covers(clock, cpu);
        let funding = ChargeFunding {
            tenant: funding(tenant_covers),
            sub_queue: funding(sub_queue_covers),
        };
        if funding.tenant == Funding::Borrowed {
            self.virtual_time = self.virtual_time.max(tenant.account.virtual_time());
        }
        if funding.sub_queue == Funding::Borrowed {
            tenant.virtual_time = tenant.virtual_time.max(sub_queue.account.virtual_time());
        }
        tenant.account.charge(clock, cpu, funding.tenant);
        sub_queue.account.charge(clock, cpu, funding.sub_queue);
        funding
    }

    /// Adds `cpu` CPU seconds to an earlier charge after its outcome is known; a negative value
    /// refunds. The caller must rerank the sub-queue.
    pub(crate) fn correct(&mut self, sub_queue: SubQueueId, cpu: f64, funding: ChargeFunding) {
        let sub_queue = &mut self.sub_queues[sub_queue.index()];
        let tenant = &mut self.tenants[sub_queue.tenant.index()];
        tenant.account.correct(self.clock, cpu, funding.tenant);
        sub_queue
            .account
            .correct(self.clock, cpu, funding.sub_queue);
    }

    /// Updates the ranks of accounts whose budgets have refilled enough to cover their first
    /// statements.
    pub(crate) fn rerank_refilled(&mut self, queues: &ClassQueues) {
        while let Some(node) = self.refills.pop_due(self.clock.now()) {
            match node {
                TreeNode::SubQueue(sub_queue) => self.rerank(sub_queue, queues),
                TreeNode::Tenant(tenant) => self.rerank_tenant(tenant, queues),
            }
        }
    }

    /// Updates the ranks of a sub-queue within its tenant and of the tenant among all tenants, for
    /// each class.
    pub(crate) fn rerank(&mut self, id: SubQueueId, queues: &ClassQueues) {
        let clock = self.clock;
        let sub_queue = &mut self.sub_queues[id.index()];
        let tenant_id = sub_queue.tenant;
        let tenant = &mut self.tenants[tenant_id.index()];
        // A single sub-queue has no siblings to compete with.
        let is_only_child = tenant.sub_queues.len() == 1;
        let mut refill = None;
        for class in 0..self.classes {
            let rank_key = queues.first(id, class).map(|first| {
                if is_only_child {
                    return RankKey::WithinBudget(first.position);
                }
                rank_key(&mut sub_queue.account, clock, first, &mut refill)
            });
            tenant.ranks[class].replace(id, &mut sub_queue.rank_keys[class], rank_key);
        }
        self.refills.set(TreeNode::SubQueue(id), refill);
        self.rerank_tenant(tenant_id, queues);
    }

    fn rerank_tenant(&mut self, id: TenantQueueId, queues: &ClassQueues) {
        let clock = self.clock;
        let is_only_tenant = self.tenants.len() == 1;
        let tenant = &mut self.tenants[id.index()];
        let mut refill = None;
        for class in 0..self.classes {
            let ranks = &tenant.ranks[class];
            let sub_queue_covers = tenant.sub_queues.len() > 1 && ranks.has_within_budget();
            let first = ranks
                .first()
                .and_then(|sub_queue| queues.first(sub_queue, class));
            let rank_key = first.map(|first| {
                if is_only_tenant || sub_queue_covers {
                    return RankKey::WithinBudget(first.position);
                }
                rank_key(&mut tenant.account, clock, first, &mut refill)
            });
            self.ranks[class].replace(id, &mut tenant.rank_keys[class], rank_key);
        }
        self.refills.set(TreeNode::Tenant(id), refill);
    }

    /// The earliest first statement within budget, over all tenants, that may have capacity.
    pub(crate) fn first_within_budget(&self, queues: &ClassQueues) -> Option<QueuePosition> {
        let mut best: Option<QueuePosition> = None;
        for (class, ranks) in self.ranks.iter().enumerate() {
            for (position, tenant) in ranks.within_budget().take(MAX_SIBLINGS_EXAMINED) {
                if best.is_some_and(|best| best <= position) {
                    break;
                }
                let found = self.first_of_tenant(tenant, class, Claim::WithinBudget, queues);
                best = min_option(best, found);
                if best == Some(position) {
                    break;
                }
            }
        }
        best
    }

    /// The first statement that may have capacity of the tenant that borrowed least.
    pub(crate) fn first_borrowing(&self, queues: &ClassQueues) -> Option<QueuePosition> {
        let mut best: Option<(FloatKey, QueuePosition)> = None;
        for (class, ranks) in self.ranks.iter().enumerate() {
            let found =
                ranks
                    .borrowing()
                    .take(MAX_SIBLINGS_EXAMINED)
                    .find_map(|(virtual_time, tenant)| {
                        let position =
                            self.first_of_tenant(tenant, class, Claim::Borrowing, queues)?;
                        Some((virtual_time, position))
                    });
            best = min_option(best, found);
        }
        best.map(|(_, position)| position)
    }

    /// The first statement of a tenant and class that may have capacity: first from the sub-queues
    /// within budget, then from the others.
    fn first_of_tenant(
        &self,
        tenant: TenantQueueId,
        class: usize,
        claim: Claim,
        queues: &ClassQueues,
    ) -> Option<QueuePosition> {
        let ranks = &self.tenants[tenant.index()].ranks[class];
        let mut best: Option<QueuePosition> = None;
        for (position, sub_queue) in ranks.within_budget().take(MAX_SIBLINGS_EXAMINED) {
            if best.is_some_and(|best| best <= position) {
                break;
            }
            best = min_option(best, queues.first_with_capacity(sub_queue, class, claim));
        }
        best.or_else(|| {
            ranks
                .borrowing()
                .take(MAX_SIBLINGS_EXAMINED)
                .find_map(|(_, sub_queue)| queues.first_with_capacity(sub_queue, class, claim))
        })
    }

    /// Sets the leased budgets of the tenants, by index. The budgets of their sub-queues change in
    /// proportion, and a tenant with `None` keeps its budget. The first lease empties the accounts
    /// of the tenants it contains, since the savings under the configured budgets belong to all
    /// gateways together.
    pub(crate) fn set_leased_budgets(&mut self, budgets: &[Option<f64>], queues: &ClassQueues) {
        let is_first = !self.leased;
        self.leased = true;
        for (index, budget) in budgets.iter().enumerate().take(self.tenants.len()) {
            let Some(budget) = *budget else { continue };
            let unchanged = self.tenants[index].account.share().budget == budget;
            if unchanged && !is_first {
                continue;
            }
            self.lease_tenant(index, budget, is_first);
            for sub_queue in self.tenants[index].sub_queues.clone() {
                self.rerank(sub_queue, queues);
            }
        }
        self.total_budget = self
            .tenants
            .iter()
            .map(|tenant| tenant.account.share().budget)
            .sum();
    }

    fn lease_tenant(&mut self, index: usize, budget: f64, is_first: bool) {
        let clock = self.clock;
        let tenant = &mut self.tenants[index];
        let configured = tenant.configured_budget.max(MIN_BUDGET);
        tenant.account.set_leased_budget(clock, budget);
        if is_first {
            tenant.account.empty(clock);
        }
        for id in &tenant.sub_queues {
            let sub_queue = &mut self.sub_queues[id.index()];
            let part = budget * sub_queue.configured_budget / configured;
            sub_queue.account.set_leased_budget(clock, part);
            if is_first {
                sub_queue.account.empty(clock);
            }
        }
    }

    /// Applies another configuration. Tenants and sub-queues that remain, by name, keep the state
    /// of their accounts. No statement may wait during the call.
    pub(crate) fn reconfigure(&mut self, config: &Config) -> SubQueueMoves {
        let old_tenants = std::mem::take(&mut self.tenants);
        let old_sub_queues = std::mem::take(&mut self.sub_queues);
        self.build(config);
        if self.leased {
            self.clear_budgets();
        }
        let tenant_moves = self.tenant_moves(&old_tenants);
        let moves = self.sub_queue_moves(&old_sub_queues, &tenant_moves);
        for (old, moved) in old_tenants.into_iter().zip(&tenant_moves) {
            if let Some(id) = moved {
                self.keep_tenant(*id, old);
            }
        }
        let mut old_sub_queues = old_sub_queues.into_iter().map(Some).collect::<Vec<_>>();
        for (old, new) in moves.kept() {
            if let Some(old) = old_sub_queues[old.index()].take() {
                self.keep_sub_queue(new, old);
            }
        }
        moves
    }

    /// Sets all budgets to zero. The configured ones belong to all gateways together, so this
    /// gateway has none until it receives a lease.
    fn clear_budgets(&mut self) {
        for tenant in &mut self.tenants {
            tenant.account.set_leased_budget(self.clock, 0.0);
        }
        for sub_queue in &mut self.sub_queues {
            sub_queue.account.set_leased_budget(self.clock, 0.0);
        }
    }

    /// For each old tenant, the new tenant with the same name.
    fn tenant_moves(&self, old: &[Tenant]) -> Vec<Option<TenantQueueId>> {
        let by_name: BTreeMap<&str, TenantQueueId> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(index, tenant)| (tenant.name.as_str(), TenantQueueId(index as u32)))
            .collect();
        old.iter()
            .map(|old| by_name.get(old.name.as_str()).copied())
            .collect()
    }

    /// For each old sub-queue, the new one with the same tenant and sub-queue name, otherwise the
    /// default one of the same tenant, otherwise that of the first tenant.
    fn sub_queue_moves(
        &self,
        old: &[SubQueue],
        tenant_moves: &[Option<TenantQueueId>],
    ) -> SubQueueMoves {
        let moves = old.iter().map(|old| {
            let tenant_id = tenant_moves[old.tenant.index()];
            let tenant = &self.tenants[tenant_id.map_or(0, TenantQueueId::index)];
            let same_name = |id: &&SubQueueId| self.sub_queues[id.index()].name == old.name;
            let same = tenant
                .sub_queues
                .iter()
                .find(same_name)
                .filter(|_| tenant_id.is_some());
            SubQueueMove {
                to: *same.unwrap_or(&tenant.sub_queues[0]),
                same: same.is_some(),
            }
        });
        SubQueueMoves(moves.collect())
    }

    fn keep_tenant(&mut self, id: TenantQueueId, old: Tenant) {
        let account = self.kept_account(&self.tenants[id.index()].account, old.account);
        let tenant = &mut self.tenants[id.index()];
        tenant.account = account;
        tenant.demanded = old.demanded;
        tenant.virtual_time = old.virtual_time;
    }

    fn keep_sub_queue(&mut self, id: SubQueueId, old: SubQueue) {
        let account = self.kept_account(&self.sub_queues[id.index()].account, old.account);
        self.sub_queues[id.index()].account = account;
    }

    /// The old account with the share of the new one.
    fn kept_account(&self, new: &CreditAccount, mut old: CreditAccount) -> CreditAccount {
        let share = new.share();
        if self.leased {
            old.reconfigure_leased(self.clock, share.weight, self.burst);
        } else {
            old.reconfigure(self.clock, share, self.burst);
        }
        old
    }
}

fn funding(covered: bool) -> Funding {
    if covered {
        Funding::Budget
    } else {
        Funding::Borrowed
    }
}

/// The rank of an account with this first statement. If the budget does not cover the statement,
/// `next_refill` is lowered to the time at which it will.
fn rank_key(
    account: &mut CreditAccount,
    clock: BudgetClock,
    first: QueuedStatement,
    next_refill: &mut Option<Timestamp>,
) -> RankKey {
    if account.covers(clock, first.need.cpu) {
        return RankKey::WithinBudget(first.position);
    }
    *next_refill = min_option(*next_refill, account.covered_at(clock, first.need.cpu));
    RankKey::Borrowing(FloatKey::new(account.virtual_time()))
}

/// The smaller of the values that are present.
fn min_option<T: Ord>(one: Option<T>, other: Option<T>) -> Option<T> {
    [one, other].into_iter().flatten().min()
}
