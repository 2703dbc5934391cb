//! Who waits, and who is asked about next. Two levels: tenants hold sub_queues, statements wait at sub_queues. Nothing here
//! chooses an engine or denies by itself; see docs/notes/queues.md for the order and why it is so.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use admission::interface::*;

use crate::config::{Config, SubQueueId, TenantQueueId};
use crate::credit::{BudgetClock, CreditAccount, Paid};
use crate::estimate::{RateEstimator, WaitCalibration, WaitEstimate};
use crate::treap::{CapacityFrontier, ResourceNeed, TreapArena, TreapRoot};

/// How many teams are looked at behind the first when the first has only what there is no room for.
const LOOK: usize = 64;
/// CPU seconds that a core is taken to give a second until something was seen to be released.
const LIKELY: f64 = 0.7;
/// So many times its likely longest wait must pass before a statement's latency objective is out of reach, or it is rejected at
/// entry. Less, and under pressure all wait just long enough to be late: of reports 0.33 to 0.67 came in time at the
/// start of a due date for a deadline, once, and twice the 90th percentile.
const DOUBT: f64 = 2.0;
/// Statements that one may displace: it needs their room in CPU seconds.
const DISPLACED: usize = 16;

/// A statement as it comes to wait.
#[derive(Clone, Copy, Debug)]
pub struct EnqueueRequest {
    pub id: StatementId,
    pub sub_queue: SubQueueId,
    pub class: ClassId,
    pub position: QueuePosition,
    pub need: ResourceNeed,
    /// After this an answer is late, and after this of no use any more, by the module's word.
    pub objective_until: Timestamp,
    pub useful_until: Timestamp,
    pub key: Option<OrderKey>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EnqueueOutcome {
    Queued(WaitEstimate),
    /// No room, or it would wait beyond its use; about so long until it would not.
    Rejected {
        retry_after: TimeDelta,
    },
}

/// What an entry led to; the evicted are out of line and owed a rejection.
#[derive(Clone, Debug, PartialEq)]
pub struct EnqueueResult {
    pub outcome: EnqueueOutcome,
    pub evicted: Vec<(StatementId, TimeDelta)>,
}

/// Whom to ask the module about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    pub position: QueuePosition,
    /// Beyond what its tenant is owed.
    pub borrowed: bool,
}

/// A query class: among its statements room only shrinks with need.
type Lane = usize;

#[derive(Clone, Copy, Debug)]
struct Waiter {
    sub_queue: u32,
    lane: Lane,
    position: QueuePosition,
    need: ResourceNeed,
    entered: Timestamp,
    useful_until: Timestamp,
    raw: f64,
    /// The estimate stood on what was seen at its sub_queue, and so counts for the next ones.
    seen: bool,
    told: WaitEstimate,
    key: Option<OrderKey>,
    /// It stands in its sub_queue's line; else an earlier one of its key does, or it is passed by for this round.
    in_line: bool,
}

impl Waiter {
    fn wait(&self, now: Timestamp, id: StatementId) -> FinishedWait {
        let (class, sub_queue) = (ClassId(self.lane), SubQueueId(self.sub_queue));
        FinishedWait {
            id,
            class,
            sub_queue,
            estimated: self.told,
            actual: now - self.entered,
        }
    }
}

/// What a statement that was released is charged, until its outcome.
#[derive(Clone, Copy, Debug)]
struct Charge {
    sub_queue: u32,
    tenant: u32,
    by: (Paid, Paid),
    cpu: f64,
}

/// How a team shows in its parent's ranks: under its budget, by its first statement; or by what it was lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Shown {
    Under(QueuePosition),
    Over(u64),
}

#[derive(Clone, Debug, Default)]
struct Ranks {
    under: BTreeSet<(QueuePosition, u32)>,
    over: BTreeSet<(u64, u32)>,
}

impl Ranks {
    fn change(&mut self, team: u32, old: &mut Option<Shown>, new: Option<Shown>) {
        if *old == new {
            return;
        }
        match std::mem::replace(old, new) {
            Some(Shown::Under(position)) => drop(self.under.remove(&(position, team))),
            Some(Shown::Over(borrowed)) => drop(self.over.remove(&(borrowed, team))),
            None => {}
        }
        match new {
            Some(Shown::Under(position)) => drop(self.under.insert((position, team))),
            Some(Shown::Over(borrowed)) => drop(self.over.insert((borrowed, team))),
            None => {}
        }
    }

    /// The team whose turn it is: the first under its budget, else the one that was lent least.
    fn first(&self) -> Option<u32> {
        self.under
            .first()
            .map(|(_, team)| *team)
            .or_else(|| self.over.first().map(|(_, team)| *team))
    }
}

struct SubQueue {
    name: String,
    tenant: u32,
    account: CreditAccount,
    roots: Vec<TreapRoot>,
    shown: Vec<Option<Shown>>,
    paces: Vec<RateEstimator>,
    pace: RateEstimator,
    count: u32,
    cpu: f64,
    /// Since when its first has been passed over; set while something waits.
    passed_since: Option<Timestamp>,
}

struct TenantQueue {
    name: String,
    account: CreditAccount,
    ranks: Vec<Ranks>,
    shown: Vec<Option<Shown>>,
    lent_now: f64,
    waiting: u32,
    sub_queues: Vec<u32>,
    /// Predicted CPU seconds that came for it since the start.
    wanted: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Team {
    SubQueue(u32),
    TenantQueue(u32),
}

/// One sub_queue, as a status shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct SubQueueStatus {
    pub tenant: String,
    pub sub_queue: String,
    pub waiting: u32,
    /// Predicted CPU seconds that wait.
    pub waiting_cpu: f64,
    /// Predicted CPU seconds a second: owed, and released of late while something waited.
    pub budget: f64,
    pub rate: Option<f64>,
    /// What is saved of the budget; negative: to be made up for first.
    pub saved: f64,
    pub longest_wait: TimeDelta,
    /// For one more usual statement of each query class.
    pub next_waits: Vec<WaitEstimate>,
}

/// One waiting statement.
#[derive(Clone, Debug, PartialEq)]
pub struct StatementStatus {
    pub tenant: String,
    pub sub_queue: String,
    /// So many of its query class at its sub_queue leave before it.
    pub ahead: u32,
    pub waited: TimeDelta,
    pub remaining: WaitEstimate,
}

/// A wait that ended, and how it was told at its entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedWait {
    pub id: StatementId,
    pub class: ClassId,
    pub sub_queue: SubQueueId,
    pub estimated: WaitEstimate,
    pub actual: TimeDelta,
}

/// What a tenant demanded and spent of its budget since the start, in predicted CPU seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantUsage {
    /// CPU of the statements that came for it.
    pub demanded: f64,
    /// CPU paid out of its budget.
    pub spent: f64,
}

pub struct TenantQueues {
    config: Config,
    classes: usize,
    arena: TreapArena,
    sub_queues: Vec<SubQueue>,
    tenants: Vec<TenantQueue>,
    root: Vec<Ranks>,
    lent_now: f64,
    /// Emptied by release, rejection and the client's leaving.
    waiting: BTreeMap<StatementId, Waiter>,
    /// Ends of their use; leaves with them.
    useful: BTreeSet<(Timestamp, StatementId)>,
    /// Desks where something waits, the longest passed over first.
    passed: BTreeSet<(Timestamp, u32)>,
    /// Desks where something waits, by CPU seconds for each one owed.
    heavy: BTreeSet<(u64, u32)>,
    /// Teams over their budget, by when they are under it again.
    refills: BTreeSet<(Timestamp, Team)>,
    refill_at: BTreeMap<Team, Timestamp>,
    /// Statements in hand of one key, oldest first; a key leaves with its last one that waits.
    keys: BTreeMap<OrderKey, VecDeque<StatementId>>,
    parked: Vec<StatementId>,
    /// By lane, of what is owed and of what is lent.
    frontiers: Vec<[CapacityFrontier; 2]>,
    /// Emptied by the last outcome of each.
    charges: BTreeMap<StatementId, Charge>,
    records: Vec<WaitCalibration>,
    longest_passed_over: TimeDelta,
    whole: RateEstimator,
    usual: Vec<f64>,
    count: u32,
    cpu: f64,
    /// All tenants' budgets together.
    owed: f64,
    cores: f64,
    till: BudgetClock,
    /// Budgets are told as they change, for all gateways together: nothing here guesses its part of them.
    leased: bool,
    now: Timestamp,
}

/// Non-negative floats sort as their bits do.
fn bits(of: f64) -> u64 {
    of.max(0.0).to_bits()
}

impl TenantQueues {
    pub fn new(now: Timestamp, config: Config, classes: usize, seed: u64) -> Self {
        let mut queues = TenantQueues {
            classes,
            arena: TreapArena::new(seed),
            sub_queues: Vec::new(),
            tenants: Vec::new(),
            root: vec![Ranks::default(); classes],
            lent_now: 0.0,
            waiting: BTreeMap::new(),
            useful: BTreeSet::new(),
            passed: BTreeSet::new(),
            heavy: BTreeSet::new(),
            refills: BTreeSet::new(),
            refill_at: BTreeMap::new(),
            keys: BTreeMap::new(),
            parked: Vec::new(),
            frontiers: vec![[CapacityFrontier::default(), CapacityFrontier::default()]; classes],
            charges: BTreeMap::new(),
            records: vec![WaitCalibration::default(); classes],
            longest_passed_over: TimeDelta::ZERO,
            whole: RateEstimator::new(now),
            usual: vec![0.0; classes],
            count: 0,
            cpu: 0.0,
            owed: 0.0,
            cores: 1.0,
            till: BudgetClock::new(now),
            leased: false,
            now,
            config,
        };
        queues.lay_out();
        queues
    }

    fn at(&mut self, now: Timestamp) {
        self.now = now;
        self.till.go_on(now);
    }

    fn lay_out(&mut self) {
        self.owed = self
            .config
            .tenants
            .iter()
            .map(|tenant| tenant.share.budget)
            .sum();
        let (now, till, lanes, burst) = (self.now, self.till, self.classes, self.config.burst);
        for config in &self.config.tenants {
            let tenant = self.tenants.len() as u32;
            let first = self.sub_queues.len() as u32;
            for sub_queue in &config.sub_queues {
                self.sub_queues.push(SubQueue {
                    name: sub_queue.name.clone(),
                    tenant,
                    account: CreditAccount::new(till, sub_queue.share, burst),
                    roots: vec![TreapRoot::default(); lanes],
                    shown: vec![None; lanes],
                    paces: vec![RateEstimator::new(now); self.classes],
                    pace: RateEstimator::new(now),
                    count: 0,
                    cpu: 0.0,
                    passed_since: None,
                });
            }
            self.tenants.push(TenantQueue {
                name: config.name.clone(),
                account: CreditAccount::new(till, config.share, burst),
                ranks: vec![Ranks::default(); lanes],
                shown: vec![None; lanes],
                lent_now: 0.0,
                waiting: 0,
                wanted: 0.0,
                sub_queues: (first..self.sub_queues.len() as u32).collect(),
            });
        }
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn holds(&self, id: StatementId) -> bool {
        self.waiting.contains_key(&id)
    }

    pub fn position(&self, id: StatementId) -> Option<QueuePosition> {
        self.waiting.get(&id).map(|waiter| waiter.position)
    }

    /// Released statements whose outcome is not known yet.
    pub fn open_charges(&self) -> usize {
        self.charges.len()
    }

    /// Time goes on: accounts fill, and a new round of asking begins. `cores`: what engines in use have, as this
    /// gateway's share; estimates follow it at once. `carries`: its part of the traffic over that share; budgets follow.
    pub fn begin_round(&mut self, now: Timestamp, cores: f64, carries: f64) {
        self.till.go_on(now);
        self.till.stretch(if self.leased { 1.0 } else { carries });
        if (cores - self.cores).abs() > 1e-9 {
            // What passed up to now passed with the cores of before.
            let before = std::mem::replace(&mut self.cores, cores);
            for sub_queue in self.passed.iter().map(|(_, sub_queue)| *sub_queue as usize) {
                let SubQueue { paces, pace, .. } = &mut self.sub_queues[sub_queue];
                paces
                    .iter_mut()
                    .chain([pace])
                    .for_each(|pace| pace.advance(now, before));
            }
            self.whole.advance(now, before);
        }
        self.at(now);
        while let Some((at, team)) = self.refills.first().copied().filter(|(at, _)| *at <= now) {
            self.refills.remove(&(at, team));
            self.refill_at.remove(&team);
            match team {
                Team::SubQueue(sub_queue) => self.show_desk(sub_queue),
                Team::TenantQueue(tenant) => self.show_member(tenant),
            }
        }
        let frontiers = self
            .frontiers
            .iter_mut()
            .flatten()
            .filter(|frontier| !frontier.is_empty());
        frontiers.for_each(|frontier| *frontier = CapacityFrontier::default());
        for id in std::mem::take(&mut self.parked) {
            if self.waiting.get(&id).is_some_and(|waiter| !waiter.in_line) {
                self.enqueue_ready(id);
            }
        }
    }

    /// Members' budgets from now on, of those that are told, with their sub_queues' in proportion. The first time nothing is
    /// saved: what the config say is all gateways' together.
    pub fn set_leased_budgets(&mut self, now: Timestamp, rates: &[Option<f64>]) {
        self.at(now);
        let first = !std::mem::replace(&mut self.leased, true);
        for (at, rate) in rates.iter().enumerate() {
            let (Some(rate), Some(tenant)) = (*rate, self.tenants.get_mut(at)) else {
                continue;
            };
            if !first && tenant.account.share().budget == rate {
                continue;
            }
            let whole = self.config.tenants[at].share.budget.max(1e-9);
            tenant.account.lease(self.till, rate);
            for (sub_queue, config) in tenant
                .sub_queues
                .iter()
                .zip(&self.config.tenants[at].sub_queues)
            {
                let account = &mut self.sub_queues[*sub_queue as usize].account;
                account.lease(self.till, rate * config.share.budget / whole);
                if first {
                    account.empty(self.till);
                }
            }
            if first {
                tenant.account.empty(self.till);
            }
            let sub_queues = tenant.sub_queues.clone();
            sub_queues
                .into_iter()
                .for_each(|sub_queue| self.show_desk(sub_queue));
        }
        self.owed = self
            .tenants
            .iter()
            .map(|tenant| tenant.account.share().budget)
            .sum();
    }

    /// What each tenant wanted and spent of its budget since the start.
    pub fn usage(&self) -> impl Iterator<Item = TenantUsage> {
        self.tenants.iter().map(|tenant| TenantUsage {
            demanded: tenant.wanted,
            spent: tenant.account.paid(),
        })
    }

    /// Whether a statement of this cost that comes now would wait for what other tenants lend.
    pub fn would_borrow(&mut self, now: Timestamp, sub_queue: SubQueueId, cpu: f64) -> bool {
        self.at(now);
        self.borrowed(sub_queue.0.min(self.sub_queues.len() as u32 - 1), cpu)
    }

    pub fn enqueue(&mut self, now: Timestamp, entry: &EnqueueRequest) -> EnqueueResult {
        self.at(now);
        let lane = entry.class.0;
        let sub_queue = entry.sub_queue.0.min(self.sub_queues.len() as u32 - 1);
        let usual = &mut self.usual[entry.class.0];
        *usual = if *usual > 0.0 {
            *usual + (entry.need.cpu - *usual) * 0.05
        } else {
            entry.need.cpu
        };
        let tenant = self.sub_queues[sub_queue as usize].tenant;
        self.tenants[tenant as usize].wanted += entry.need.cpu;
        let raw = self.raw(sub_queue, lane, entry.position, entry.need);
        let told = self.records[entry.class.0].tell(raw);
        // An answer that comes late has cost another its place. Only what was seen here denies, not what is likely; and of
        // one whose key's turn has to come first nothing is known.
        let useful = (entry.objective_until - now).secs();
        let wait = told.p90.secs() * DOUBT;
        let seen = self.sub_queues[sub_queue as usize].paces[entry.class.0]
            .known(now, self.cores)
            .is_some();
        if seen && entry.key.is_none() && wait > useful.max(0.05) {
            let back =
                TimeDelta::from_secs((told.p90.secs() - useful).max(told.median.secs() * 0.5));
            return EnqueueResult {
                outcome: EnqueueOutcome::Rejected { retry_after: back },
                evicted: Vec::new(),
            };
        }
        let Some(evicted) = self.make_room(sub_queue, entry.position, entry.need) else {
            return EnqueueResult {
                outcome: EnqueueOutcome::Rejected {
                    retry_after: told.median,
                },
                evicted: Vec::new(),
            };
        };
        let evicted = evicted
            .into_iter()
            .map(|(id, waiter)| (id, self.back(&waiter)))
            .collect();
        self.waiting.insert(
            entry.id,
            Waiter {
                sub_queue,
                lane,
                position: entry.position,
                need: entry.need,
                entered: now,
                useful_until: entry.useful_until,
                raw,
                seen,
                told,
                key: entry.key,
                in_line: false,
            },
        );
        self.useful.insert((entry.useful_until, entry.id));
        let first = entry.key.is_none_or(|key| {
            let line = self.keys.entry(key).or_default();
            line.push_back(entry.id);
            line.len() == 1
        });
        if first {
            self.enqueue_ready(entry.id);
        }
        EnqueueResult {
            outcome: EnqueueOutcome::Queued(told),
            evicted,
        }
    }

    /// Room at the sub_queue and in all, if need be in the place of those with the worse share: at one sub_queue those that
    /// would leave later, among sub_queues the last of the one with the most waiting for what it is owed.
    fn make_room(
        &mut self,
        sub_queue: u32,
        position: QueuePosition,
        need: ResourceNeed,
    ) -> Option<Vec<(StatementId, Waiter)>> {
        let mut out: Vec<(StatementId, Waiter)> = Vec::new();
        let fits = |bound: crate::config::QueueLimit, count: u32, cpu: f64| {
            count == 0 || count < bound.statements && cpu + need.cpu <= bound.cpu
        };
        loop {
            let of = &self.sub_queues[sub_queue as usize];
            let here = fits(self.config.sub_queue_limit, of.count, of.cpu);
            if here && fits(self.config.total_limit, self.count, self.cpu) {
                return Some(out);
            }
            let own = (of.cpu + need.cpu) / owed(of);
            let heaviest = self
                .heavy
                .last()
                .copied()
                .filter(|_| here)
                .filter(|(_, other)| *other != sub_queue);
            let heaviest = heaviest
                .filter(|(load, _)| f64::from_bits(*load) > own)
                .map(|(_, other)| other);
            let from = heaviest.unwrap_or(sub_queue);
            let victim = self
                .last_of(from)
                .filter(|last| heaviest.is_some() || last.deadline > position.deadline);
            let Some(victim) = victim.filter(|_| out.len() < DISPLACED) else {
                // Its share is not better after all: who was to go stays.
                out.into_iter()
                    .rev()
                    .for_each(|(id, waiter)| self.put_back(id, waiter));
                return None;
            };
            let waiter = self.take_out(victim.id).expect("in line");
            out.push((victim.id, waiter));
        }
    }

    fn last_of(&self, sub_queue: u32) -> Option<QueuePosition> {
        let roots = &self.sub_queues[sub_queue as usize].roots;
        roots
            .iter()
            .filter_map(|root| self.arena.last(*root))
            .map(|(position, _)| position)
            .max()
    }

    fn put_back(&mut self, id: StatementId, waiter: Waiter) {
        self.useful.insert((waiter.useful_until, id));
        self.waiting.insert(
            id,
            Waiter {
                in_line: false,
                ..waiter
            },
        );
        if let Some(key) = waiter.key {
            self.keys.entry(key).or_default().push_front(id);
        }
        self.enqueue_ready(id);
    }

    /// The next to ask the module about, and whether what it would take is lent; or nobody in this round any more.
    pub fn next_offer(&self) -> Option<Offer> {
        let aged = |since: &Timestamp| *since + self.config.ageing <= self.now;
        let passed = self
            .passed
            .iter()
            .take(LOOK)
            .take_while(|(since, _)| aged(since));
        if let Some(position) = passed
            .into_iter()
            .find_map(|(_, sub_queue)| self.first_at(*sub_queue))
        {
            return Some(Offer {
                position,
                borrowed: false,
            });
        }
        let mut best: Option<QueuePosition> = None;
        for lane in 0..self.root.len() {
            for (position, tenant) in self.root[lane].under.iter().take(LOOK) {
                if best.is_some_and(|best| best <= *position) {
                    break;
                }
                best = [best, self.first_of(*tenant, lane, 0)]
                    .into_iter()
                    .flatten()
                    .min();
                if best == Some(*position) {
                    break;
                }
            }
        }
        if best.is_some() {
            return best.map(|position| Offer {
                position,
                borrowed: false,
            });
        }
        let mut best: Option<(u64, QueuePosition)> = None;
        for lane in 0..self.root.len() {
            let over = self.root[lane].over.iter().take(LOOK);
            let found = over
                .filter_map(|(paid, tenant)| Some((*paid, self.first_of(*tenant, lane, 1)?)))
                .next();
            best = [best, found].into_iter().flatten().min();
        }
        best.map(|(_, position)| Offer {
            position,
            borrowed: true,
        })
    }

    /// Whether a statement of this cost takes what is lent by other tenants.
    fn borrowed(&mut self, sub_queue: u32, cpu: f64) -> bool {
        let of = &mut self.sub_queues[sub_queue as usize];
        let holder = &mut self.tenants[of.tenant as usize].account;
        let owed = of.account.owes(self.till, cpu) || holder.owes(self.till, cpu);
        self.tenants.len() > 1 && !owed
    }

    /// The first of a sub_queue that may have room, over all query classes.
    fn first_at(&self, sub_queue: u32) -> Option<QueuePosition> {
        let roots = self.sub_queues[sub_queue as usize].roots.iter().enumerate();
        roots
            .filter_map(|(lane, root)| {
                self.arena
                    .first_with_capacity(*root, &self.frontiers[lane][0])
            })
            .map(|f| f.0)
            .min()
    }

    /// The first of a tenant in a lane that may have room: of its sub_queues under budget, else of those over it.
    fn first_of(&self, tenant: u32, lane: Lane, borrowed: usize) -> Option<QueuePosition> {
        let (ranks, frontier) = (
            &self.tenants[tenant as usize].ranks[lane],
            &self.frontiers[lane][borrowed],
        );
        if frontier.closed() {
            return None;
        }
        let first = |sub_queue: u32| {
            self.arena
                .first_with_capacity(self.sub_queues[sub_queue as usize].roots[lane], frontier)
                .map(|found| found.0)
        };
        let mut best: Option<QueuePosition> = None;
        for (position, sub_queue) in ranks.under.iter().take(LOOK) {
            if best.is_some_and(|best| best <= *position) {
                break;
            }
            best = [best, first(*sub_queue)].into_iter().flatten().min();
        }
        best.or_else(|| {
            ranks
                .over
                .iter()
                .take(LOOK)
                .find_map(|(_, sub_queue)| first(*sub_queue))
        })
    }

    /// The module has no room for it now. `useful_until`: its word anew.
    pub fn no_capacity(&mut self, id: StatementId, borrowed: bool, useful_until: Timestamp) {
        let Some(waiter) = self.waiting.get_mut(&id) else {
            return;
        };
        let old = std::mem::replace(&mut waiter.useful_until, useful_until);
        let Waiter {
            sub_queue,
            lane,
            need,
            key,
            in_line,
            ..
        } = *waiter;
        self.useful.remove(&(old, id));
        self.useful.insert((useful_until, id));
        if !in_line {
            return;
        }
        // A keyed one may only have to wait for its turn, which says nothing of room.
        if key.is_none() {
            // Where there is no room for what is owed, there is none for what is lent.
            let [owed, loan] = &mut self.frontiers[lane];
            loan.record(need);
            if !borrowed {
                owed.record(need);
            }
            // A heavy head would be passed by light ones for ever: now room is saved up for it.
            let since = self.sub_queues[sub_queue as usize].passed_since;
            if since
                .is_some_and(|since| since + self.config.ageing + self.config.ageing <= self.now)
            {
                loan.close();
                owed.close();
            }
        } else {
            self.out_of_line(id);
            self.parked.push(id);
        }
    }

    /// It goes to an engine: its wait is over, and its team pays.
    pub fn release(
        &mut self,
        now: Timestamp,
        id: StatementId,
        charge: f64,
    ) -> Option<FinishedWait> {
        self.at(now);
        let waiter = self.take_out(id)?;
        let class = waiter.lane;
        let real = now - waiter.entered;
        if waiter.seen || waiter.raw == 0.0 {
            self.records[class].was(waiter.raw, real);
        }
        if real > TimeDelta::ZERO {
            let SubQueue { paces, pace, .. } = &mut self.sub_queues[waiter.sub_queue as usize];
            for pace in [&mut paces[class], pace, &mut self.whole] {
                pace.released(now, self.cores, waiter.need.cpu);
            }
        }
        let waits = |(_, sub_queue): &&(Timestamp, u32)| {
            *sub_queue != waiter.sub_queue
                && !self.sub_queues[*sub_queue as usize].roots[class].is_empty()
        };
        if let Some((since, _)) = self.passed.iter().take(LOOK).find(waits) {
            self.longest_passed_over = self.longest_passed_over.max(now - *since);
        }
        if let Some(passed) = self.sub_queues[waiter.sub_queue as usize].passed_since {
            self.passed.remove(&(passed, waiter.sub_queue));
            self.passed.insert((now, waiter.sub_queue));
            self.sub_queues[waiter.sub_queue as usize].passed_since = Some(now);
        }
        self.pay(id, waiter.sub_queue, charge);
        Some(waiter.wait(now, id))
    }

    fn pay(&mut self, id: StatementId, sub_queue: u32, cpu: f64) {
        let now = self.till;
        let of = &mut self.sub_queues[sub_queue as usize];
        let tenant = of.tenant;
        let holder = &mut self.tenants[tenant as usize];
        let borrowed = (holder.account.borrowed(), of.account.borrowed());
        let desk_owes = of.account.owes(now, cpu);
        // What is owed to a sub_queue is owed to its tenant, whatever that used for its others.
        let holder_owes = desk_owes || holder.account.owes(now, cpu);
        let by = (
            holder.account.pay(now, cpu, holder_owes),
            of.account.pay(now, cpu, desk_owes),
        );
        if by.0 == Paid::Lent {
            self.lent_now = self.lent_now.max(borrowed.0);
        }
        if by.1 == Paid::Lent {
            holder.lent_now = holder.lent_now.max(borrowed.1);
        }
        self.charges.insert(
            id,
            Charge {
                sub_queue,
                tenant,
                by,
                cpu,
            },
        );
        self.show_desk(sub_queue);
    }

    /// One more attempt of a statement that was released before: its team pays for that too.
    pub fn charge_retry(&mut self, now: Timestamp, id: StatementId, cpu: f64) {
        self.at(now);
        if let Some(charge) = self.charges.remove(&id) {
            self.pay(id, charge.sub_queue, cpu);
        }
    }

    /// What an attempt came to: `Some` CPU seconds where told, zero where it is known not to have run.
    pub fn settle(&mut self, now: Timestamp, id: StatementId, cpu: Option<f64>) {
        self.at(now);
        let (Some(charge), Some(cpu)) = (self.charges.get_mut(&id), cpu) else {
            return;
        };
        let more = cpu - std::mem::replace(&mut charge.cpu, cpu);
        let charge = *charge;
        self.tenants[charge.tenant as usize]
            .account
            .correct(self.till, charge.by.0, more);
        self.sub_queues[charge.sub_queue as usize]
            .account
            .correct(self.till, charge.by.1, more);
        self.show_desk(charge.sub_queue);
    }

    /// Nothing more comes of it.
    pub fn close_charge(&mut self, id: StatementId) {
        self.charges.remove(&id);
    }

    /// Rejected, or its client left: out of line. `None`: it did not wait.
    pub fn remove(&mut self, now: Timestamp, id: StatementId) -> Option<FinishedWait> {
        self.at(now);
        self.take_out(id).map(|waiter| waiter.wait(now, id))
    }

    /// Those whose use has ended: the module is to be asked about them once more.
    pub fn past_use(&self, now: Timestamp) -> Vec<QueuePosition> {
        let past = self.useful.iter().take_while(|(at, _)| *at <= now);
        past.filter_map(|(_, id)| Some(self.waiting.get(id)?.position))
            .collect()
    }

    /// The gateway ends: nothing waits up to then without being asked about once more.
    pub fn drain_by(&mut self, by: Timestamp) {
        let by = by + TimeDelta::from_secs(-0.05);
        self.useful.clear();
        for (id, waiter) in &mut self.waiting {
            waiter.useful_until = waiter.useful_until.min(by);
            self.useful.insert((waiter.useful_until, *id));
        }
    }

    pub fn waited(&self, now: Timestamp, id: StatementId) -> Option<TimeDelta> {
        self.waiting.get(&id).map(|waiter| now - waiter.entered)
    }

    fn enqueue_ready(&mut self, id: StatementId) {
        let Some(waiter) = self.waiting.get_mut(&id) else {
            return;
        };
        waiter.in_line = true;
        let Waiter {
            sub_queue,
            lane,
            position,
            need,
            ..
        } = *waiter;
        let (now, cores) = (self.now, self.cores);
        let of = &mut self.sub_queues[sub_queue as usize];
        let first = of.count == 0;
        if of.roots[lane].is_empty() {
            of.paces[lane].waits(now, cores, true);
        }
        self.arena.insert(&mut of.roots[lane], position, need);
        let old = bits(of.cpu / owed(of));
        (of.count, of.cpu) = (of.count + 1, of.cpu + need.cpu);
        if first {
            of.pace.waits(now, cores, true);
            of.passed_since = Some(now);
            self.passed.insert((now, sub_queue));
            let tenant = &mut self.tenants[of.tenant as usize];
            of.account.join(tenant.lent_now);
            if tenant.waiting == 0 {
                tenant.account.join(self.lent_now);
            }
            tenant.waiting += 1;
        } else {
            self.heavy.remove(&(old, sub_queue));
        }
        self.heavy.insert((bits(of.cpu / owed(of)), sub_queue));
        if self.count == 0 {
            self.whole.waits(now, cores, true);
        }
        (self.count, self.cpu) = (self.count + 1, self.cpu + need.cpu);
        self.show_desk(sub_queue);
    }

    fn out_of_line(&mut self, id: StatementId) {
        let Some(waiter) = self.waiting.get_mut(&id).filter(|waiter| waiter.in_line) else {
            return;
        };
        waiter.in_line = false;
        let Waiter {
            sub_queue,
            lane,
            position,
            need,
            ..
        } = *waiter;
        let (now, cores) = (self.now, self.cores);
        let of = &mut self.sub_queues[sub_queue as usize];
        self.arena.remove(&mut of.roots[lane], position);
        self.heavy.remove(&(bits(of.cpu / owed(of)), sub_queue));
        (of.count, of.cpu) = (of.count - 1, (of.cpu - need.cpu).max(0.0));
        if of.roots[lane].is_empty() {
            of.paces[lane].waits(now, cores, false);
        }
        if of.count == 0 {
            // Sums of floats leave a rest.
            of.cpu = 0.0;
            of.pace.waits(now, cores, false);
            if let Some(since) = of.passed_since.take() {
                self.passed.remove(&(since, sub_queue));
            }
            self.tenants[of.tenant as usize].waiting -= 1;
        } else {
            self.heavy.insert((bits(of.cpu / owed(of)), sub_queue));
        }
        (self.count, self.cpu) = (self.count - 1, (self.cpu - need.cpu).max(0.0));
        if self.count == 0 {
            self.cpu = 0.0;
            self.whole.waits(now, cores, false);
        }
        self.show_desk(sub_queue);
    }

    fn take_out(&mut self, id: StatementId) -> Option<Waiter> {
        self.out_of_line(id);
        let waiter = self.waiting.remove(&id)?;
        self.useful.remove(&(waiter.useful_until, id));
        if let Some(key) = waiter.key
            && let Some(line) = self.keys.get_mut(&key)
        {
            line.retain(|other| *other != id);
            match line.front().copied() {
                None => drop(self.keys.remove(&key)),
                Some(first) if self.waiting.get(&first).is_some_and(|next| !next.in_line) => {
                    if !self.parked.contains(&first) {
                        self.enqueue_ready(first);
                    }
                }
                Some(_) => {}
            }
        }
        Some(waiter)
    }

    /// Puts a sub_queue where it now belongs among its tenant's, lane by lane, and the tenant among all.
    fn show_desk(&mut self, at: u32) {
        let now = self.till;
        let sub_queue = &mut self.sub_queues[at as usize];
        let borrowed = bits(sub_queue.account.borrowed());
        let tenant = &mut self.tenants[sub_queue.tenant as usize];
        let alone = tenant.sub_queues.len() == 1;
        let mut refill: Option<Timestamp> = None;
        for lane in 0..sub_queue.roots.len() {
            let shown = self
                .arena
                .first(sub_queue.roots[lane])
                .map(|(position, need)| {
                    // Alone it has nobody to stand behind.
                    if alone || sub_queue.account.owes(now, need.cpu) {
                        return Shown::Under(position);
                    }
                    refill = [refill, sub_queue.account.owes_at(now, need.cpu)]
                        .into_iter()
                        .flatten()
                        .min();
                    Shown::Over(borrowed)
                });
            tenant.ranks[lane].change(at, &mut sub_queue.shown[lane], shown);
        }
        let of = sub_queue.tenant;
        self.refill(Team::SubQueue(at), refill);
        self.show_member(of);
    }

    fn show_member(&mut self, at: u32) {
        let (now, alone) = (self.till, self.tenants.len() == 1);
        let tenant = &mut self.tenants[at as usize];
        let borrowed = bits(tenant.account.borrowed());
        let mut refill: Option<Timestamp> = None;
        for lane in 0..tenant.ranks.len() {
            let ranks = &tenant.ranks[lane];
            let first = ranks.first().and_then(|sub_queue| {
                self.arena
                    .first(self.sub_queues[sub_queue as usize].roots[lane])
            });
            let desk_owed = tenant.sub_queues.len() > 1 && !ranks.under.is_empty();
            let shown = first.map(|(position, need)| {
                if alone || desk_owed || tenant.account.owes(now, need.cpu) {
                    return Shown::Under(position);
                }
                refill = [refill, tenant.account.owes_at(now, need.cpu)]
                    .into_iter()
                    .flatten()
                    .min();
                Shown::Over(borrowed)
            });
            self.root[lane].change(at, &mut tenant.shown[lane], shown);
        }
        self.refill(Team::TenantQueue(at), refill);
    }

    fn refill(&mut self, team: Team, at: Option<Timestamp>) {
        let old = self.refill_at.get(&team).copied();
        if old == at {
            return;
        }
        if let Some(old) = old {
            self.refills.remove(&(old, team));
        }
        match at {
            Some(at) => {
                self.refills.insert((at, team));
                self.refill_at.insert(team, at);
            }
            None => drop(self.refill_at.remove(&team)),
        }
    }

    /// Seconds until a statement at this place would leave, by the work ahead of it and how fast such work leaves.
    fn raw(
        &mut self,
        sub_queue: u32,
        lane: Lane,
        position: QueuePosition,
        need: ResourceNeed,
    ) -> f64 {
        let (now, cores, class) = (self.now, self.cores, lane);
        let of = &self.sub_queues[sub_queue as usize];
        let ahead = self.arena.ahead(of.roots[lane], position).1;
        let nothing = of.roots[lane].is_empty();
        let borrowed = usize::from(self.borrowed(sub_queue, need.cpu));
        if nothing && self.frontiers[lane][borrowed].may_have_capacity(need) {
            return 0.0;
        }
        let of = &mut self.sub_queues[sub_queue as usize];
        // At a sub_queue where nothing waited of late, its part of what all get is the best word there is.
        let part = of.account.share().budget / self.owed.max(1e-9);
        let all = self.whole.rate(now, cores, cores * LIKELY);
        let sub_queue = of.pace.rate(now, cores, all * part.clamp(0.01, 1.0));
        let rate = of.paces[class].rate(now, cores, sub_queue);
        ((ahead + 0.5 * need.cpu) / rate.max(1e-3)).min(3600.0)
    }

    fn back(&mut self, waiter: &Waiter) -> TimeDelta {
        let raw = self.raw(waiter.sub_queue, waiter.lane, waiter.position, waiter.need);
        self.records[waiter.lane].tell(raw).median
    }

    /// The wait still before a statement.
    pub fn remaining_wait(&mut self, now: Timestamp, id: StatementId) -> Option<WaitEstimate> {
        self.at(now);
        let waiter = *self.waiting.get(&id)?;
        let raw = self.raw(waiter.sub_queue, waiter.lane, waiter.position, waiter.need);
        Some(self.records[waiter.lane].tell(raw))
    }

    pub fn statement_status(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        let left = self.remaining_wait(now, id)?;
        let waiter = self.waiting.get(&id)?;
        let sub_queue = &self.sub_queues[waiter.sub_queue as usize];
        Some(StatementStatus {
            tenant: self.tenants[sub_queue.tenant as usize].name.clone(),
            sub_queue: sub_queue.name.clone(),
            ahead: self
                .arena
                .ahead(sub_queue.roots[waiter.lane], waiter.position)
                .0,
            waited: now - waiter.entered,
            remaining: left,
        })
    }

    /// Every sub_queue where something waits, then as many of the others as `most` allows.
    pub fn sub_queue_status(&mut self, now: Timestamp, most: usize) -> Vec<SubQueueStatus> {
        self.at(now);
        let busy: Vec<u32> = self
            .heavy
            .iter()
            .rev()
            .map(|(_, sub_queue)| *sub_queue)
            .take(most)
            .collect();
        let idle = (0..self.sub_queues.len() as u32)
            .filter(|sub_queue| self.sub_queues[*sub_queue as usize].count == 0);
        let mut shown: Vec<u32> = idle.take(most - busy.len()).chain(busy).collect();
        shown.sort_unstable();
        shown
            .into_iter()
            .map(|sub_queue| self.one_sub_queue_status(now, sub_queue))
            .collect()
    }

    fn one_sub_queue_status(&mut self, now: Timestamp, at: u32) -> SubQueueStatus {
        let last = QueuePosition {
            deadline: now + TimeDelta::from_secs(3e9),
            id: StatementId(u64::MAX),
            over_quota: true,
        };
        let mut next = Vec::new();
        for class in 0..self.classes {
            let need = ResourceNeed {
                cpu: self.usual[class],
                memory_mb: 0.0,
            };
            let raw = self.raw(at, class, last, need);
            next.push(self.records[class].tell(raw));
        }
        let cores = self.cores;
        let sub_queue = &mut self.sub_queues[at as usize];
        let oldest = sub_queue
            .roots
            .iter()
            .filter_map(|root| self.arena.first(*root))
            .map(|first| first.0.id)
            .min();
        let oldest = oldest.and_then(|id| self.waiting.get(&id));
        SubQueueStatus {
            tenant: self.tenants[sub_queue.tenant as usize].name.clone(),
            sub_queue: sub_queue.name.clone(),
            waiting: sub_queue.count,
            waiting_cpu: sub_queue.cpu,
            budget: sub_queue.account.share().budget,
            rate: sub_queue.pace.known(now, cores),
            saved: sub_queue.account.saved(self.till),
            longest_wait: oldest.map_or(TimeDelta::ZERO, |waiter| now - waiter.entered),
            next_waits: next,
        }
    }

    /// The longest that the first of any sub_queue has been passed over by a statement of the same query class, so far.
    pub fn longest_passed_over(&self) -> TimeDelta {
        self.longest_passed_over
    }

    /// Other config, with all that waits: at the sub_queue of the same names, else at its tenant's default one, else at the
    /// first tenant's. Accounts of teams that stay keep what they have used.
    pub fn reconfigure(&mut self, now: Timestamp, config: Config) {
        self.at(now);
        let mut waiting: Vec<(StatementId, Waiter)> = Vec::with_capacity(self.waiting.len());
        let ids: Vec<StatementId> = self.waiting.keys().copied().collect();
        let keys = std::mem::take(&mut self.keys);
        for id in ids {
            waiting.extend(self.take_out(id).map(|waiter| (id, waiter)));
        }
        let old_desks = std::mem::take(&mut self.sub_queues);
        let old_members = std::mem::take(&mut self.tenants);
        (self.refills, self.refill_at) = (BTreeSet::new(), BTreeMap::new());
        (self.passed, self.heavy) = (BTreeSet::new(), BTreeSet::new());
        self.root = vec![Ranks::default(); self.classes];
        self.config = config;
        self.lay_out();
        let (till, burst, leased) = (self.till, self.config.burst, self.leased);
        if leased {
            // What the config say is all gateways' together.
            self.tenants
                .iter_mut()
                .for_each(|tenant| tenant.account.lease(till, 0.0));
            self.sub_queues
                .iter_mut()
                .for_each(|sub_queue| sub_queue.account.lease(till, 0.0));
        }
        let keep = |account: &mut CreditAccount, share: crate::config::CapacityShare| {
            if leased {
                account.hold(till, share.weight, burst)
            } else {
                account.change(till, share, burst)
            }
        };
        let by_name: BTreeMap<&str, u32> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(at, tenant)| (tenant.name.as_str(), at as u32))
            .collect();
        let member_now: Vec<Option<u32>> = old_members
            .iter()
            .map(|old| by_name.get(old.name.as_str()).copied())
            .collect();
        let same = |name: &str, sub_queue: &u32| self.sub_queues[*sub_queue as usize].name == name;
        let desk_now: Vec<(u32, bool)> = old_desks
            .iter()
            .map(|old| {
                let tenant = &self.tenants[member_now[old.tenant as usize].unwrap_or(0) as usize];
                let kept = tenant
                    .sub_queues
                    .iter()
                    .copied()
                    .find(|sub_queue| same(&old.name, sub_queue));
                let kept = kept.filter(|_| member_now[old.tenant as usize].is_some());
                (kept.unwrap_or(tenant.sub_queues[0]), kept.is_some())
            })
            .collect();
        for (old, now_at) in old_members.iter().zip(&member_now) {
            let Some(tenant) = now_at.map(|at| &mut self.tenants[at as usize]) else {
                continue;
            };
            let share = tenant.account.share();
            tenant.account = old.account.clone();
            tenant.wanted = old.wanted;
            keep(&mut tenant.account, share);
            tenant.lent_now = old.lent_now;
        }
        for (old, (at, _)) in old_desks
            .into_iter()
            .zip(&desk_now)
            .filter(|(_, (_, kept))| *kept)
        {
            let sub_queue = &mut self.sub_queues[*at as usize];
            let share = sub_queue.account.share();
            (sub_queue.account, sub_queue.paces, sub_queue.pace) =
                (old.account, old.paces, old.pace);
            keep(&mut sub_queue.account, share);
        }
        for charge in self.charges.values_mut() {
            charge.sub_queue = desk_now[charge.sub_queue as usize].0;
            charge.tenant = self.sub_queues[charge.sub_queue as usize].tenant;
        }
        self.keys = keys;
        for (id, waiter) in waiting {
            let sub_queue = desk_now[waiter.sub_queue as usize].0;
            self.useful.insert((waiter.useful_until, id));
            self.waiting.insert(
                id,
                Waiter {
                    sub_queue,
                    in_line: false,
                    ..waiter
                },
            );
            let first = waiter
                .key
                .is_none_or(|key| self.keys[&key].front() == Some(&id));
            if first {
                self.enqueue_ready(id);
            }
        }
    }

    pub fn config(&self) -> &Config {
        &self.config
    }

    pub fn member_of(&self, sub_queue: SubQueueId) -> Option<TenantQueueId> {
        self.sub_queues
            .get(sub_queue.0 as usize)
            .map(|sub_queue| TenantQueueId(sub_queue.tenant))
    }
}

/// What a sub_queue's waiting work is weighed by: nothing owed is not nothing, or one such sub_queue would always weigh most.
fn owed(sub_queue: &SubQueue) -> f64 {
    sub_queue.account.share().budget.max(0.01)
}
