//! The scheduler of one emulated gateway: the production scheduler with or without tenant queues,
//! or a round robin over tenants as a baseline.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::*;
use dispatch::{Decision, Dispatcher, FollowUp, StatementRequest, Tick};
use scheduler::{Config, FinishedWait, Scheduler, SubQueueId, TenantQueues};

/// How a gateway orders its waiting statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The scenario's tenant queues.
    Queues,
    /// One queue for all statements.
    OneLine,
    /// One statement of each tenant in turn.
    RoundRobin,
}

impl Policy {
    /// The policy of this name. `None` if there is without_progress.
    pub fn from_name(name: &str) -> Option<Policy> {
        let all = [Policy::Queues, Policy::OneLine, Policy::RoundRobin];
        all.into_iter().find(|policy| policy.name() == name)
    }

    pub fn name(self) -> &'static str {
        match self {
            Policy::Queues => "queues",
            Policy::OneLine => "one-line",
            Policy::RoundRobin => "round-robin",
        }
    }
}

/// The scheduler of one gateway, by policy.
pub enum Front {
    Scheduler(Box<Scheduler>),
    RoundRobin(Box<RoundRobinScheduler>),
}

impl Front {
    /// Builds the scheduler for `policy`. Without queue settings, every policy uses one queue for
    /// all statements.
    pub fn new(
        policy: Policy,
        dispatch: Dispatcher,
        config: Option<&Config>,
        classes: usize,
        seed: u64,
    ) -> Self {
        let now = Timestamp::from_secs(0.0);
        match (policy, config) {
            (Policy::RoundRobin, Some(config)) => {
                Front::RoundRobin(Box::new(RoundRobinScheduler::new(dispatch, config)))
            }
            (Policy::Queues, Some(config)) => Front::Scheduler(Box::new(Scheduler::new(
                dispatch,
                Some(TenantQueues::new(now, config.clone(), classes, seed)),
            ))),
            _ => Front::Scheduler(Box::new(Scheduler::new(dispatch, None))),
        }
    }

    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        queue: SubQueueId,
        request: &StatementRequest,
    ) -> Decision {
        match self {
            Front::Scheduler(scheduler) => scheduler.pick(now, id, queue, request),
            Front::RoundRobin(round_robin) => round_robin.pick(now, id, queue, request),
        }
    }

    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: AttemptNumber,
        event: AttemptEvent,
        latency: TimeDelta,
        settled: bool,
    ) -> FollowUp {
        match self {
            Front::Scheduler(scheduler) => {
                scheduler.report(now, id, attempt, event, latency, settled)
            }
            Front::RoundRobin(round_robin) => round_robin
                .dispatch
                .report(now, id, attempt, event, latency, settled),
        }
    }

    pub fn tick(&mut self, now: Timestamp) -> Tick {
        match self {
            Front::Scheduler(scheduler) => scheduler.tick(now),
            Front::RoundRobin(round_robin) => round_robin.tick(now),
        }
    }

    pub fn on_endpoint_update(&mut self, now: Timestamp, update: &EndpointUpdate) {
        match self {
            Front::Scheduler(scheduler) => scheduler.on_endpoint_update(now, update),
            Front::RoundRobin(round_robin) => round_robin.dispatch.on_endpoint_update(now, update),
        }
    }

    /// The production scheduler. `None` for the round robin.
    pub fn scheduler(&mut self) -> Option<&mut Scheduler> {
        match self {
            Front::Scheduler(scheduler) => Some(scheduler),
            Front::RoundRobin(_) => None,
        }
    }

    /// The waits that ended in the latest tick. The round robin records without_progress.
    pub fn waits(&self) -> &[FinishedWait] {
        match self {
            Front::Scheduler(scheduler) => scheduler.finished_waits(),
            Front::RoundRobin(_) => &[],
        }
    }
}

/// Serves tenants in turn, one statement each, in arrival order within a tenant. It has no budgets
/// and no estimates.
pub struct RoundRobinScheduler {
    dispatch: Dispatcher,
    /// The tenant of each queue.
    tenant_of_queue: Vec<usize>,
    /// The waiting statements of each tenant.
    waiting: Vec<VecDeque<StatementId>>,
    /// The number of turns so far; modulo the number of tenants, the tenant that is next.
    turns: usize,
    /// The time at which each waiting statement is no longer useful to answer.
    useful_until: BTreeMap<StatementId, Timestamp>,
}

impl RoundRobinScheduler {
    fn new(dispatch: Dispatcher, config: &Config) -> Self {
        let queues = config
            .tenants
            .iter()
            .enumerate()
            .flat_map(|(index, tenant)| tenant.sub_queues.iter().map(move |_| index));
        let waiting = vec![VecDeque::new(); config.tenants.len()];
        RoundRobinScheduler {
            dispatch,
            tenant_of_queue: queues.collect(),
            waiting,
            turns: 0,
            useful_until: BTreeMap::new(),
        }
    }

    fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        queue: SubQueueId,
        request: &StatementRequest,
    ) -> Decision {
        if let Some((_, forecast)) = self.dispatch.register(now, id, request, |_| false) {
            self.waiting[self.tenant_of_queue[queue.0 as usize]].push_back(id);
            self.useful_until.insert(id, forecast.useful_until);
        }
        Decision::Queued
    }

    fn tick(&mut self, now: Timestamp) -> Tick {
        let mut due = Vec::new();
        for position in self.dispatch.queue_positions() {
            let decision = self.dispatch.place(now, position.id);
            if decision != Decision::Queued {
                due.push((position.id, decision));
            }
        }
        let expired: Vec<_> = self
            .useful_until
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let decision = self.dispatch.offer(now, id, false);
            if decision != Decision::Queued {
                self.waiting
                    .iter_mut()
                    .for_each(|queue| queue.retain(|other| *other != id));
                self.useful_until.remove(&id);
                due.push((id, decision));
            }
        }
        let count = self.waiting.len();
        let mut without_progress = 0;
        while without_progress < count {
            let tenant = self.turns % count;
            self.turns += 1;
            let Some(id) = self.waiting[tenant].front().copied() else {
                without_progress += 1;
                continue;
            };
            let decision = self.dispatch.offer(now, id, false);
            if decision == Decision::Queued {
                without_progress += 1;
                continue;
            }
            without_progress = 0;
            self.waiting[tenant].pop_front();
            self.useful_until.remove(&id);
            due.push((id, decision));
        }
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.dispatch.end_turn(now, self.useful_until.len());
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }
}
