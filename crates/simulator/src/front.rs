//! What stands before the decisions of one emulated gateway: the lines, one line for all as without them, or a plain
//! round robin by member to compare with.

use std::collections::{BTreeMap, VecDeque};

use admission::interface::*;
use dispatch::{Dispatch, Pick, Tick, Verdict, Wants};
use scheduler::{DeskId, Hall, Lines, Terms, Wait};

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
    Hall(Box<Hall>),
    Turns(Box<Turns>),
}

impl Front {
    pub fn new(
        policy: Policy,
        dispatch: Dispatch,
        terms: Option<&Terms>,
        products: usize,
        seed: u64,
    ) -> Self {
        let now = Moment::from_secs(0.0);
        match (policy, terms) {
            (Policy::RoundRobin, Some(terms)) => {
                Front::Turns(Box::new(Turns::new(dispatch, terms)))
            }
            (Policy::Queues, Some(terms)) => Front::Hall(Box::new(Hall::new(
                dispatch,
                Some(Lines::new(now, terms.clone(), products, seed)),
            ))),
            _ => Front::Hall(Box::new(Hall::new(dispatch, None))),
        }
    }

    pub fn pick(&mut self, now: Moment, id: StatementId, desk: DeskId, wants: &Wants) -> Pick {
        match self {
            Front::Hall(hall) => hall.pick(now, id, desk, wants),
            Front::Turns(turns) => turns.pick(now, id, desk, wants),
        }
    }

    pub fn report(
        &mut self,
        now: Moment,
        id: StatementId,
        relay: RelayNo,
        news: News,
        latency: Span,
        settled: bool,
    ) -> Verdict {
        match self {
            Front::Hall(hall) => hall.report(now, id, relay, news, latency, settled),
            Front::Turns(turns) => turns
                .dispatch
                .report(now, id, relay, news, latency, settled),
        }
    }

    pub fn tick(&mut self, now: Moment) -> Tick {
        match self {
            Front::Hall(hall) => hall.tick(now),
            Front::Turns(turns) => turns.tick(now),
        }
    }

    pub fn told_list(&mut self, now: Moment, news: &ListNews) {
        match self {
            Front::Hall(hall) => hall.told_list(now, news),
            Front::Turns(turns) => turns.dispatch.told_list(now, news),
        }
    }

    pub fn hall(&mut self) -> Option<&mut Hall> {
        match self {
            Front::Hall(hall) => Some(hall),
            Front::Turns(_) => None,
        }
    }

    pub fn waits(&self) -> &[Wait] {
        match self {
            Front::Hall(hall) => hall.waits(),
            Front::Turns(_) => &[],
        }
    }
}

/// Members in turn, one statement each, in the order they came; no budgets, no estimates.
pub struct Turns {
    dispatch: Dispatch,
    member_of: Vec<usize>,
    lines: Vec<VecDeque<StatementId>>,
    next: usize,
    useful: BTreeMap<StatementId, Moment>,
}

impl Turns {
    fn new(dispatch: Dispatch, terms: &Terms) -> Self {
        let desks = terms
            .members
            .iter()
            .enumerate()
            .flat_map(|(at, m)| m.desks.iter().map(move |_| at));
        let lines = vec![VecDeque::new(); terms.members.len()];
        Turns {
            dispatch,
            member_of: desks.collect(),
            lines,
            next: 0,
            useful: BTreeMap::new(),
        }
    }

    fn pick(&mut self, now: Moment, id: StatementId, desk: DeskId, wants: &Wants) -> Pick {
        if let Some((_, forecast)) = self.dispatch.enter(now, id, wants, |_| false) {
            self.lines[self.member_of[desk.0 as usize]].push_back(id);
            self.useful.insert(id, forecast.useful_until);
        }
        Pick::Held
    }

    fn tick(&mut self, now: Moment) -> Tick {
        let mut due = Vec::new();
        for place in self.dispatch.line() {
            let pick = self.dispatch.ask(now, place.id);
            if pick != Pick::Held {
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
            if pick != Pick::Held {
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
            if pick == Pick::Held {
                none += 1;
                continue;
            }
            none = 0;
            self.lines[member].pop_front();
            self.useful.remove(&id);
            due.push((id, pick));
        }
        let (probe, list, wait) = self.dispatch.rest(now, self.useful.len());
        Tick {
            due,
            probe,
            list,
            wait,
        }
    }
}
