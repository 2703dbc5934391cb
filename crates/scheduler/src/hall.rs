//! The lines before the decisions, called as `dispatch` is: without lines it passes all through unchanged. A
//! statement is taken by the module when it comes, waits here, and is offered when its turn comes; an offer that
//! finds no room is withdrawn at once, so that the module's own line stays short and its hold never runs here.

use admission::interface::*;
use dispatch::{AttemptOrder, Decision, Dispatcher, EngineView, FollowUp, StatementRequest, Tick};

use crate::lines::{DeskStatus, Entered, Entry, Lines, Offer, StatementStatus, Wait};
use crate::order::Need;
use crate::pace::Estimate;
use crate::terms::{DeskId, Terms};

/// What happened at the lines, in numbers that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Statements that came to wait, of those offered.
    pub entered: u64,
    /// Rejected at entry: no room for them, or too long a wait.
    pub turned_away: u64,
    /// Rejected while waiting, for one with the better claim.
    pub displaced: u64,
    pub released: u64,
    /// Rejected by the module while waiting.
    pub denied: u64,
    /// Their clients left while they waited.
    pub left: u64,
    /// Offers that found no room.
    pub refused: u64,
    /// Estimates told at entry that came within a fifth, or 20 ms, of the wait.
    pub told_well: u64,
}

pub struct Hall {
    dispatch: Dispatcher,
    lines: Option<Lines>,
    /// Denials of this turn for displaced statements; emptied by the next tick.
    owed: Vec<(StatementId, Decision)>,
    waits: Vec<Wait>,
    tally: Tally,
}

impl Hall {
    pub fn new(dispatch: Dispatcher, lines: Option<Lines>) -> Self {
        Hall {
            dispatch,
            lines,
            owed: Vec::new(),
            waits: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Takes a statement. With lines it is held, or rejected at once; without, it is as `Dispatcher::pick`.
    pub fn pick(
        &mut self,
        now: Timestamp,
        id: StatementId,
        desk: DeskId,
        request: &StatementRequest,
    ) -> Decision {
        let Some(lines) = &mut self.lines else {
            return self.dispatch.pick(now, id, request);
        };
        let borrowed = |cpu: TimeDelta| lines.would_be_lent(now, desk, cpu.secs());
        let entered = self.dispatch.register(now, id, request, borrowed);
        let Some((position, forecast)) = entered else {
            return Decision::Queued;
        };
        // Of no team's making, so that it stands by its limit alone.
        let position = QueuePosition {
            over_quota: false,
            ..position
        };
        let need = Need {
            cpu: forecast.cpu.secs(),
            memory_mb: forecast.memory_mb,
        };
        let Forecast {
            objective_until,
            useful_until,
            ..
        } = forecast;
        let (class, key) = (request.class, request.key);
        let entering = lines.enter(
            now,
            &Entry {
                id,
                desk,
                class,
                position,
                need,
                objective_until,
                useful_until,
                key,
            },
        );
        self.tally.entered += 1;
        for (victim, back) in entering.displaced {
            self.tally.displaced += 1;
            self.owed
                .push((victim, self.dispatch.reject(now, victim, back)));
        }
        match entering.entered {
            Entered::Waits(_) => Decision::Queued,
            Entered::TurnedAway { back } => {
                self.tally.turned_away += 1;
                self.dispatch.reject(now, id, back)
            }
        }
    }

    /// As `Dispatcher::report`; who ran pays what the outcome tells.
    pub fn report(
        &mut self,
        now: Timestamp,
        id: StatementId,
        attempt: AttemptNumber,
        news: AttemptEvent,
        latency: TimeDelta,
        answered: bool,
    ) -> FollowUp {
        let verdict = self
            .dispatch
            .report(now, id, attempt, news, latency, answered);
        if let Some(lines) = &mut self.lines {
            let cpu = match news {
                AttemptEvent::Completed { cpu, .. } => cpu.map(TimeDelta::secs),
                AttemptEvent::Rejected
                | AttemptEvent::Unreachable
                | AttemptEvent::NeverSent
                | AttemptEvent::Withdrawn => Some(0.0),
                _ => None,
            };
            lines.came_to(now, id, cpu);
            if !self.dispatch.contains(id) {
                lines.over(id);
            }
        }
        verdict
    }

    /// Offers what waits, as far as there is room.
    pub fn tick(&mut self, now: Timestamp) -> Tick {
        let Some(lines) = &mut self.lines else {
            return self.dispatch.tick(now);
        };
        let mut due = std::mem::take(&mut self.owed);
        self.waits.clear();
        lines.round(
            now,
            self.dispatch.capacity(now),
            self.dispatch.traffic_share(),
        );
        for position in lines.past(now) {
            let last = Offer {
                position,
                borrowed: false,
            };
            offer(
                &mut self.dispatch,
                lines,
                &mut self.waits,
                &mut self.tally,
                now,
                last,
                &mut due,
            );
        }
        // Statements with an attempt behind them stand in the module's own line: among all, the earliest deadline.
        let again = self.dispatch.queue_positions();
        let mut again = again.into_iter().peekable();
        loop {
            let next = lines.next();
            while let Some(position) =
                again.next_if(|position| next.is_none_or(|next| *position < next.position))
            {
                let pick = self.dispatch.place(now, position.id);
                match pick {
                    Decision::Queued => continue,
                    Decision::Forward(order) => {
                        lines.repeated(now, position.id, order.charge.secs())
                    }
                    Decision::Reject { .. } | Decision::Fail => lines.over(position.id),
                }
                due.push((position.id, pick));
            }
            let Some(next) = next else { break };
            offer(
                &mut self.dispatch,
                lines,
                &mut self.waits,
                &mut self.tally,
                now,
                next,
                &mut due,
            );
        }
        let Wakeup {
            wait,
            probe,
            discovery,
        } = self.dispatch.end_turn(now, lines.len());
        Tick {
            due,
            probe,
            discovery,
            wait,
        }
    }

    /// Its client left while it waits with nothing out: what to answer, should anybody still read. `Decision::Queued`: it is
    /// not in hand.
    pub fn leave(&mut self, now: Timestamp, id: StatementId, back: TimeDelta) -> Decision {
        let pick = self.dispatch.reject(now, id, back);
        if let Some(lines) = &mut self.lines {
            self.tally.left += u64::from(lines.left(now, id).is_some());
            lines.over(id);
        }
        pick
    }

    /// As `Dispatcher::gone`.
    pub fn gone(&mut self, now: Timestamp, id: StatementId) {
        self.dispatch.client_left(id);
        if let Some(lines) = &mut self.lines {
            self.tally.left += u64::from(lines.left(now, id).is_some());
            if !self.dispatch.contains(id) {
                lines.over(id);
            }
        }
    }

    pub fn on_endpoint_update(&mut self, now: Timestamp, news: &EndpointUpdate) {
        self.dispatch.on_endpoint_update(now, news);
    }

    pub fn on_load_report(&mut self, engine: EngineId, report: &LoadReport) {
        self.dispatch.on_load_report(engine, report);
    }

    /// What others lost statements to.
    pub fn on_outlier_gossip(&mut self, now: Timestamp, doubts: &[OutlierReport]) {
        self.dispatch.on_outlier_gossip(now, doubts);
    }

    /// What this gateway may still do of what all together may.
    pub fn on_quota(&mut self, allowed: QuotaGrant) {
        self.dispatch.on_quota(allowed);
    }

    pub fn carries(&self) -> f64 {
        self.dispatch.traffic_share()
    }

    /// Members' budgets as this gateway's part of them at present, by their places in the terms.
    pub fn lease(&mut self, now: Timestamp, rates: &[Option<f64>]) {
        self.lines
            .iter_mut()
            .for_each(|lines| lines.lease(now, rates));
    }

    /// What members wanted and spent of their budgets since the start, in predicted CPU seconds.
    pub fn flows(&self) -> Vec<(f64, f64)> {
        self.lines
            .as_ref()
            .map(|lines| lines.flows().collect())
            .unwrap_or_default()
    }

    /// How each engine stands.
    pub fn health(&self) -> impl Iterator<Item = EngineHealth> {
        self.dispatch.health()
    }

    /// Each engine as the decisions see it.
    pub fn engines(&self) -> impl Iterator<Item = EngineView> {
        self.dispatch.engines()
    }

    /// As `Dispatcher::drain_deadline`, for what waits too.
    pub fn drain_deadline(&mut self, by: Timestamp) {
        self.dispatch.drain_by(by);
        self.lines
            .iter_mut()
            .for_each(|lines| lines.drain_deadline(by));
    }

    /// Other terms, with all that waits; nothing where there are no lines.
    pub fn change(&mut self, now: Timestamp, terms: Terms) {
        self.lines
            .iter_mut()
            .for_each(|lines| lines.change(now, terms.clone()));
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The waits that ended in the last tick, by release or by the module's rejection.
    pub fn waits(&self) -> &[Wait] {
        &self.waits
    }

    pub fn waiting(&self) -> usize {
        self.lines.as_ref().map_or(0, Lines::len)
    }

    pub fn longest_passed(&self) -> TimeDelta {
        self.lines
            .as_ref()
            .map_or(TimeDelta::ZERO, Lines::longest_passed)
    }

    pub fn status(&mut self, now: Timestamp, most: usize) -> Option<Vec<DeskStatus>> {
        self.lines.as_mut().map(|lines| lines.status(now, most))
    }

    pub fn statement(&mut self, now: Timestamp, id: StatementId) -> Option<StatementStatus> {
        self.lines.as_mut()?.statement(now, id)
    }

    /// Waited so far, and the wait still before it.
    pub fn progress(&mut self, now: Timestamp, id: StatementId) -> Option<(TimeDelta, Estimate)> {
        let lines = self.lines.as_mut()?;
        Some((lines.waited(now, id)?, lines.estimate(now, id)?))
    }
}

/// Asks the module about one that waits, and takes it out of line unless there was no room.
fn offer(
    dispatch: &mut Dispatcher,
    lines: &mut Lines,
    waits: &mut Vec<Wait>,
    tally: &mut Tally,
    now: Timestamp,
    offer: Offer,
    due: &mut Vec<(StatementId, Decision)>,
) {
    let id = offer.position.id;
    let pick = dispatch.offer(now, id, offer.borrowed);
    match pick {
        Decision::Queued => {
            tally.refused += 1;
            let useful = dispatch
                .forecast(now, id)
                .map_or(now, |forecast| forecast.useful_until);
            return lines.refused(id, offer.borrowed, useful);
        }
        Decision::Forward(AttemptOrder { charge, .. }) => {
            tally.released += 1;
            let wait = lines.released(now, id, charge.secs());
            let well = |wait: &Wait| {
                (wait.told.wait - wait.real).secs().abs() <= (0.2 * wait.real.secs()).max(0.02)
            };
            tally.told_well += u64::from(wait.as_ref().is_some_and(well));
            waits.extend(wait);
        }
        Decision::Reject { .. } | Decision::Fail => {
            tally.denied += 1;
            waits.extend(lines.left(now, id));
        }
    }
    due.push((id, pick));
}
