//! What stands before the decisions of one emulated gateway: the lines, one line for all as without them, or a plain
//! round robin by member to compare with.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::*;
use dispatch::{Decision, Dispatcher, FollowUp, StatementRequest, Tick};
use scheduler::{Config, FinishedWait, Scheduler, SubQueueId, TenantQueues};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    Queues,
    OneLine,
    RoundRobin,
}

impl Policy {
    pub fn named(name: &str) -> Option<Policy> {
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

pub enum Front {
    Scheduler(Box<Scheduler>),
    Turns(Box<Turns>),
}

impl Front {
    pub fn new(
        policy: Policy,
        dispatch: Dispatcher,
        terms: Option<&Config>,
        classes: usize,
        seed: u64,
    ) -> Self {
        let now = Timestamp::from_secs(0.0);
        match (policy, terms) {
            (Policy::RoundRobin, Some(terms)) => {
                Front::Turns(Box::new(Turns::new(dispatch, terms)))
            }
            (Policy::Queues, Some(terms)) => Front::Scheduler(Box::new(Scheduler::new(
                dispatch,
                Some(TenantQueues::new(now, terms.clone(), classes, seed)),
            ))),
            _ => Front::Scheduler(Box::new(Scheduler::new(dispatch, None))),
        }
    }

    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        desk: SubQueueId,
        wants: &StatementRequest,
    ) -> Decision {
        match self {
            Front::Scheduler(scheduler) => scheduler.pick(now, id, desk, wants),
            Front::Turns(turns) => turns.pick(now, id, desk, wants),
        }
    }

    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: AttemptNumber,
        news: AttemptEvent,
        latency: TimeDelta,
        settled: bool,
    ) -> FollowUp {
        match self {
            Front::Scheduler(scheduler) => {
                scheduler.report(now, id, attempt, news, latency, settled)
            }
            Front::Turns(turns) => turns
                .dispatch
                .report(now, id, attempt, news, latency, settled),
        }
    }

    pub fn tick(&mut self, now: Timestamp) -> Tick {
        match self {
            Front::Scheduler(scheduler) => scheduler.tick(now),
            Front::Turns(turns) => turns.tick(now),
        }
    }

    pub fn on_endpoint_update(&mut self, now: Timestamp, news: &EndpointUpdate) {
        match self {
            Front::Scheduler(scheduler) => scheduler.on_endpoint_update(now, news),
            Front::Turns(turns) => turns.dispatch.on_endpoint_update(now, news),
        }
    }

    pub fn scheduler(&mut self) -> Option<&mut Scheduler> {
        match self {
            Front::Scheduler(scheduler) => Some(scheduler),
            Front::Turns(_) => None,
        }
    }

    pub fn waits(&self) -> &[FinishedWait] {
        match self {
            Front::Scheduler(scheduler) => scheduler.finished_waits(),
            Front::Turns(_) => &[],
        }
    }
}

/// Members in turn, one statement each, in the order they came; no budgets, no estimates.
pub struct Turns {
    dispatch: Dispatcher,
    member_of: Vec<usize>,
    lines: Vec<VecDeque<StatementId>>,
    next: usize,
    useful: BTreeMap<StatementId, Timestamp>,
}

impl Turns {
    fn new(dispatch: Dispatcher, terms: &Config) -> Self {
        let desks = terms
            .tenants
            .iter()
            .enumerate()
            .flat_map(|(at, m)| m.sub_queues.iter().map(move |_| at));
        let lines = vec![VecDeque::new(); terms.tenants.len()];
        Turns {
            dispatch,
            member_of: desks.collect(),
            lines,
            next: 0,
            useful: BTreeMap::new(),
        }
    }

    fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        desk: SubQueueId,
        wants: &StatementRequest,
    ) -> Decision {
        if let Some((_, forecast)) = self.dispatch.register(now, id, wants, |_| false) {
            self.lines[self.member_of[desk.0 as usize]].push_back(id);
            self.useful.insert(id, forecast.useful_until);
        }
        Decision::Queued
    }

    fn tick(&mut self, now: Timestamp) -> Tick {
        let mut due = Vec::new();
        for place in self.dispatch.queue_positions() {
            let pick = self.dispatch.place(now, place.id);
            if pick != Decision::Queued {
                due.push((place.id, pick));
            }
        }
        let past: Vec<_> = self
            .useful
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in past {
            let pick = self.dispatch.offer(now, id, false);
            if pick != Decision::Queued {
                self.lines
                    .iter_mut()
                    .for_each(|line| line.retain(|other| *other != id));
                self.useful.remove(&id);
                due.push((id, pick));
            }
        }
        let count = self.lines.len();
        let mut none = 0;
        while none < count {
            let member = self.next % count;
            self.next += 1;
            let Some(id) = self.lines[member].front().copied() else {
                none += 1;
                continue;
            };
            let pick = self.dispatch.offer(now, id, false);
            if pick == Decision::Queued {
                none += 1;
                continue;
            }
            none = 0;
            self.lines[member].pop_front();
            self.useful.remove(&id);
            due.push((id, pick));
        }
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.dispatch.end_turn(now, self.useful.len());
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }
}
