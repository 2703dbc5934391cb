//! The decisions in blocking style, as a client library is called: `pick` an engine for a statement,
//! `report` what became of a relay, `tick` for the held statements now due and when to wake. Facts are told
//! in beside them. It owns the statements in hand, the line and the states of relays; it decides nothing.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::*;
use admission::policy::Policy;

/// What a statement asks for, as far as the decisions need it.
#[derive(Clone, Copy, Debug)]
pub struct Wants {
    pub product: ProductId,
    pub tenant: TenantId,
    pub group: GroupId,
    pub estimate: Option<Span>,
    pub memory_mb: f64,
    pub key: Option<OrderKey>,
    /// It carries the mark by which its repeats are known.
    pub marked: bool,
    /// How long its client still waits.
    pub budget: Span,
}

/// A relay to be made now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Order {
    pub relay: RelayNo,
    pub engine: EngineId,
    pub limit: Option<Span>,
    /// When the relay has timed out: its limit, cut to the statement's.
    pub due: Moment,
    pub rank: Option<u8>,
    /// The statement's rank differs from that of its relay before.
    pub rank_changed: bool,
    /// A repeat that has not left by then must not leave any more.
    pub leave_by: Option<Moment>,
    /// The CPU it is charged until its outcome tells.
    pub charge: Span,
    /// The statement was relayed before.
    pub again: bool,
    /// To an engine that was left out.
    pub trial: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pick {
    Relay(Order),
    /// It waits in line; a later `tick` names it.
    Held,
    Deny {
        come_back: Option<Span>,
    },
    Scrap,
}

/// What an outcome leads to beyond the books.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Nothing,
    Cancel(RelayNo),
    Deny { come_back: Option<Span> },
    Scrap,
}

#[derive(Debug, Default)]
pub struct Tick {
    /// Never `Pick::Held`.
    pub due: Vec<(StatementId, Pick)>,
    pub probe: Vec<EngineId>,
    pub list: Option<ListAsk>,
    pub wait: Span,
}

struct InHand {
    statement: Statement,
    over: bool,
    rank: Option<u8>,
}

/// One gateway's decisions; shares nothing with another.
pub struct Dispatch {
    policy: Policy,
    /// Emptied by the final answer and the end of the last relay.
    hand: BTreeMap<StatementId, InHand>,
    line: BTreeSet<Place>,
    /// The gateway ends then; what is taken later is to be answered by then too.
    answer_by: Option<Moment>,
}

impl Dispatch {
    pub fn new(policy: Policy) -> Self {
        Dispatch {
            policy,
            hand: BTreeMap::new(),
            line: BTreeSet::new(),
            answer_by: None,
        }
    }

    /// Takes a statement. One that is in hand already stays as it is.
    pub fn pick(&mut self, now: Moment, id: StatementId, wants: &Wants) -> Pick {
        if !self.take(now, id, wants) {
            return Pick::Held;
        }
        // The first ask only gives the place in line; the line is asked by `tick`, once all news is in.
        self.ask(now, id)
    }

    fn take(&mut self, now: Moment, id: StatementId, wants: &Wants) -> bool {
        if self.hand.contains_key(&id) {
            return false;
        }
        let hard_limit = now + wants.budget;
        let statement = Statement {
            id,
            product: wants.product,
            tenant: wants.tenant,
            group: wants.group,
            estimate: wants.estimate,
            memory_mb: wants.memory_mb,
            key: wants.key,
            marked: wants.marked,
            lent: false,
            taken: now,
            hard_limit: self.answer_by.map_or(hard_limit, |by| by.min(hard_limit)),
            held_since: now,
            place: None,
            relays: Vec::new(),
        };
        self.hand.insert(
            id,
            InHand {
                statement,
                over: false,
                rank: None,
            },
        );
        true
    }

    /// Takes a statement that a queue ahead holds: it gets its place, but stands in no line here. `None`: it is in
    /// hand already.
    /// `lent`: whether one of this cost comes beyond what its team is owed.
    pub fn enter(
        &mut self,
        now: Moment,
        id: StatementId,
        wants: &Wants,
        lent: impl FnOnce(Span) -> bool,
    ) -> Option<(Place, Forecast)> {
        if !self.take(now, id, wants) {
            return None;
        }
        let statement = &mut self.hand.get_mut(&id)?.statement;
        statement.lent = lent(self.policy.forecast(now, statement).cpu);
        self.ask(now, id);
        let statement = &self.hand.get(&id)?.statement;
        let place = statement.place?;
        self.line.remove(&place);
        Some((place, self.policy.forecast(now, statement)))
    }

    /// What an entered statement would take by now.
    pub fn forecast(&self, now: Moment, id: StatementId) -> Option<Forecast> {
        self.hand
            .get(&id)
            .map(|in_hand| self.policy.forecast(now, &in_hand.statement))
    }

    /// Asks for an entered statement. `Pick::Held`: there is no room now, and it is the queue's again; an offer lasts
    /// an instant, so the module's hold, which counts from it, never runs.
    /// `lent`: only spare room is for it.
    pub fn offer(&mut self, now: Moment, id: StatementId, lent: bool) -> Pick {
        let Some(in_hand) = self.hand.get_mut(&id) else {
            return Pick::Held;
        };
        in_hand.statement.held_since = now;
        let own = in_hand.statement.place.take();
        let place = own.map(|own| Place {
            over_allowance: lent,
            ..own
        });
        in_hand.statement.place = place;
        let pick = self.ask(now, id);
        if pick == Pick::Held {
            place.map(|place| self.line.remove(&place));
        }
        pick
    }

    /// A statement with nothing out is kept no longer: a queue has no room for it, or its client has left. `back`:
    /// about so long until it would be kept.
    pub fn turn_away(&mut self, now: Moment, id: StatementId, back: Span) -> Pick {
        let Some(in_hand) = self.hand.get_mut(&id) else {
            return Pick::Held;
        };
        in_hand
            .statement
            .place
            .map(|place| self.line.remove(&place));
        let answer = self.policy.turn_away(now, &in_hand.statement, back);
        in_hand.over = true;
        self.forget(id);
        match answer {
            Answer::Deny { come_back } => Pick::Deny { come_back },
            _ => Pick::Scrap,
        }
    }

    pub fn holds(&self, id: StatementId) -> bool {
        self.hand.contains_key(&id)
    }

    /// What this gateway carries, in shares of one; more than one where a peer is away.
    pub fn carries(&self) -> f64 {
        self.policy.carries()
    }

    /// Cores of the engines in use, as this gateway's share.
    pub fn capacity(&self, now: Moment) -> f64 {
        self.policy.capacity(now)
    }

    /// What became of a relay, or a note of one still out. `settled`: the client has its answer.
    pub fn report(
        &mut self,
        now: Moment,
        id: StatementId,
        relay: RelayNo,
        news: News,
        latency: Span,
        settled: bool,
    ) -> Verdict {
        let Some(in_hand) = self.hand.get_mut(&id) else {
            return Verdict::Nothing;
        };
        let Some(out) = in_hand.statement.relays.get_mut(usize::from(relay.0)) else {
            return Verdict::Nothing;
        };
        if out.state != RelayState::Out {
            return Verdict::Nothing;
        }
        match news {
            News::Progress(_) | News::Strained | News::Streaming => {}
            News::TurnedAway | News::Unreachable | News::NeverSent | News::Withdrawn => {
                out.state = RelayState::NeverRan;
            }
            _ => out.state = RelayState::MayHaveRun,
        }
        let settled = settled || in_hand.over;
        let verdict = match self.policy.after(
            now,
            &in_hand.statement,
            &Outcome {
                relay,
                news,
                latency,
                settled,
            },
        ) {
            After::Stay => Verdict::Nothing,
            After::Cancel(relay) => Verdict::Cancel(relay),
            After::Ask => {
                in_hand.statement.held_since = now;
                in_hand.statement.place.map(|place| self.line.insert(place));
                Verdict::Nothing
            }
            After::Over => {
                in_hand.over = true;
                Verdict::Nothing
            }
            After::Deny { come_back } => {
                in_hand.over = true;
                Verdict::Deny { come_back }
            }
            After::Scrap => {
                in_hand.over = true;
                Verdict::Scrap
            }
        };
        self.forget(id);
        verdict
    }

    /// Asks for all that wait, the earliest hard limit first.
    pub fn tick(&mut self, now: Moment) -> Tick {
        let mut due = Vec::new();
        for place in self.line() {
            let pick = self.ask(now, place.id);
            if pick != Pick::Held {
                due.push((place.id, pick));
            }
        }
        let (probe, list, wait) = self.rest(now, 0);
        Tick {
            due,
            probe,
            list,
            wait,
        }
    }

    /// All that wait in the module's own line, in its order.
    pub fn line(&self) -> Vec<Place> {
        self.line.iter().copied().collect()
    }

    /// The end of a tick, with so many more waiting ahead: engines to probe, the list to ask for, how long to sleep.
    pub fn rest(&mut self, now: Moment, ahead: usize) -> (Vec<EngineId>, Option<ListAsk>, Span) {
        let Pause { wait, probe, list } = self.policy.pause(now, self.line.len() + ahead);
        (probe, list, wait)
    }

    /// The client no longer waits: no answer is owed, relays out still report.
    pub fn gone(&mut self, id: StatementId) {
        let Some(in_hand) = self.hand.get_mut(&id) else {
            return;
        };
        in_hand.over = true;
        self.policy.told_over(&in_hand.statement);
        in_hand
            .statement
            .place
            .map(|place| self.line.remove(&place));
        self.forget(id);
    }

    pub fn told_list(&mut self, now: Moment, news: &ListNews) {
        self.policy.told_list(now, news);
    }

    pub fn told_load(&mut self, engine: EngineId, report: &LoadReport) {
        self.policy.told_load(engine, report);
    }

    /// What others lost statements to.
    pub fn told_doubts(&mut self, now: Moment, doubts: &[EngineDoubt]) {
        self.policy.told_doubts(now, doubts);
    }

    /// What this gateway may still do of what all together may.
    pub fn told_allowed(&mut self, allowed: Allowed) {
        self.policy.told_allowed(allowed);
    }

    /// How each engine stands.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.policy.health()
    }

    /// Relays out to each engine as the decisions hold them, and whether it is benched.
    pub fn beliefs(&self) -> impl Iterator<Item = (EngineId, u32, bool)> {
        self.policy.beliefs()
    }

    /// The gateway ends: what is in hand is to be answered by then.
    pub fn answer_by(&mut self, by: Moment) {
        self.answer_by = Some(by);
        for in_hand in self.hand.values_mut() {
            in_hand.statement.hard_limit = in_hand.statement.hard_limit.min(by);
        }
    }

    /// A statement leaves once it is over and its last relay has an outcome.
    fn forget(&mut self, id: StatementId) {
        let done = |h: &InHand| {
            h.over
                && h.statement
                    .relays
                    .iter()
                    .all(|r| r.state != RelayState::Out)
        };
        if self.hand.get(&id).is_some_and(done) {
            self.hand.remove(&id);
        }
    }

    /// Asks for one that waits in line.
    pub fn ask(&mut self, now: Moment, id: StatementId) -> Pick {
        let Some(in_hand) = self.hand.get_mut(&id) else {
            return Pick::Held;
        };
        let answer = self.policy.place(now, &in_hand.statement);
        if let Answer::NotYet(place) = answer {
            in_hand.statement.place = Some(place);
            self.line.insert(place);
            return Pick::Held;
        }
        in_hand
            .statement
            .place
            .map(|place| self.line.remove(&place));
        let pick = match answer {
            Answer::Send { relay, limit, rank } => {
                let number = RelayNo(in_hand.statement.relays.len() as u16);
                let (again, trial) = (!in_hand.statement.relays.is_empty(), relay.trial);
                let rank_changed = rank.is_some() && rank != in_hand.rank;
                in_hand.rank = rank.or(in_hand.rank);
                let leave_by = self.policy.repeat_until(&in_hand.statement);
                in_hand.statement.relays.push(relay);
                let hard_limit = in_hand.statement.hard_limit;
                let due = limit.map_or(hard_limit, |limit| hard_limit.min(now + limit));
                let (engine, charge, relay) = (relay.engine, relay.charge, number);
                return Pick::Relay(Order {
                    relay,
                    engine,
                    limit,
                    due,
                    rank,
                    rank_changed,
                    leave_by,
                    charge,
                    again,
                    trial,
                });
            }
            Answer::Deny { come_back } => Pick::Deny { come_back },
            Answer::Scrap | Answer::NotYet(_) => Pick::Scrap,
        };
        in_hand.over = true;
        self.forget(id);
        pick
    }
}
