//! The lines before the decisions, called as `dispatch` is: without lines it passes all through unchanged. A
//! statement is taken by the module when it comes, waits here, and is offered when its turn comes; an offer that
//! finds no room is withdrawn at once, so that the module's own line stays short and its hold never runs here.

use admission::interface::*;
use dispatch::{Dispatch, Order, Pick, Tick, Verdict, Wants};

use crate::lines::{DeskStatus, Entered, Entry, Lines, Offer, StatementStatus, Wait};
use crate::order::Need;
use crate::pace::Estimate;
use crate::terms::{DeskId, Terms};

/// What happened at the lines, in numbers that only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Statements that came to wait, of those offered.
    pub entered: u64,
    /// Denied at entry: no room for them, or too long a wait.
    pub turned_away: u64,
    /// Denied while waiting, for one with the better claim.
    pub displaced: u64,
    pub released: u64,
    /// Denied by the module while waiting.
    pub denied: u64,
    /// Their clients left while they waited.
    pub left: u64,
    /// Offers that found no room.
    pub refused: u64,
    /// Estimates told at entry that came within a fifth, or 20 ms, of the wait.
    pub told_well: u64,
}

pub struct Hall {
    dispatch: Dispatch,
    lines: Option<Lines>,
    /// Denials of this turn for displaced statements; emptied by the next tick.
    owed: Vec<(StatementId, Pick)>,
    waits: Vec<Wait>,
    tally: Tally,
}

impl Hall {
    pub fn new(dispatch: Dispatch, lines: Option<Lines>) -> Self {
        Hall {
            dispatch,
            lines,
            owed: Vec::new(),
            waits: Vec::new(),
            tally: Tally::default(),
        }
    }

    /// Takes a statement. With lines it is held, or denied at once; without, it is as `Dispatch::pick`.
    pub fn pick(&mut self, now: Moment, id: StatementId, desk: DeskId, wants: &Wants) -> Pick {
        let Some(lines) = &mut self.lines else {
            return self.dispatch.pick(now, id, wants);
        };
        let lent = |cpu: Span| lines.would_be_lent(now, desk, cpu.secs());
        let entered = self.dispatch.enter(now, id, wants, lent);
        let Some((place, forecast)) = entered else {
            return Pick::Held;
        };
        // Of no team's making, so that it stands by its limit alone.
        let place = Place {
            over_allowance: false,
            ..place
        };
        let need = Need {
            cpu: forecast.cpu.secs(),
            memory_mb: forecast.memory_mb,
        };
        let Forecast {
            full_until,
            useful_until,
            ..
        } = forecast;
        let (product, key) = (wants.product, wants.key);
        let entering = lines.enter(
            now,
            &Entry {
                id,
                desk,
                product,
                place,
                need,
                full_until,
                useful_until,
                key,
            },
        );
        self.tally.entered += 1;
        for (victim, back) in entering.displaced {
            self.tally.displaced += 1;
            self.owed
                .push((victim, self.dispatch.turn_away(now, victim, back)));
        }
        match entering.entered {
            Entered::Waits(_) => Pick::Held,
            Entered::TurnedAway { back } => {
                self.tally.turned_away += 1;
                self.dispatch.turn_away(now, id, back)
            }
        }
    }

    /// As `Dispatch::report`; who ran pays what the outcome tells.
    pub fn report(
        &mut self,
        now: Moment,
        id: StatementId,
        relay: RelayNo,
        news: News,
        latency: Span,
        settled: bool,
    ) -> Verdict {
        let verdict = self.dispatch.report(now, id, relay, news, latency, settled);
        if let Some(lines) = &mut self.lines {
            let cpu = match news {
                News::Completed { cpu, .. } => cpu.map(Span::secs),
                News::TurnedAway | News::Unreachable | News::NeverSent | News::Withdrawn => {
                    Some(0.0)
                }
                _ => None,
            };
            lines.came_to(now, id, cpu);
            if !self.dispatch.holds(id) {
                lines.over(id);
            }
        }
        verdict
    }

    /// Offers what waits, as far as there is room.
    pub fn tick(&mut self, now: Moment) -> Tick {
        let Some(lines) = &mut self.lines else {
            return self.dispatch.tick(now);
        };
        let mut due = std::mem::take(&mut self.owed);
        self.waits.clear();
        lines.round(now, self.dispatch.capacity(now), self.dispatch.carries());
        for place in lines.past(now) {
            let last = Offer { place, lent: false };
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
        // Statements with a relay behind them stand in the module's own line: among all, the earliest hard limit.
        let again = self.dispatch.line();
        let mut again = again.into_iter().peekable();
        loop {
            let next = lines.next();
            while let Some(place) =
                again.next_if(|place| next.is_none_or(|next| *place < next.place))
            {
                let pick = self.dispatch.ask(now, place.id);
                match pick {
                    Pick::Held => continue,
                    Pick::Relay(order) => lines.repeated(now, place.id, order.charge.secs()),
                    Pick::Deny { .. } | Pick::Scrap => lines.over(place.id),
                }
                due.push((place.id, pick));
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
        let (probe, list, wait) = self.dispatch.rest(now, lines.len());
        Tick {
            due,
            probe,
            list,
            wait,
        }
    }

    /// Its client left while it waits with nothing out: what to answer, should anybody still read. `Pick::Held`: it is
    /// not in hand.
    pub fn leave(&mut self, now: Moment, id: StatementId, back: Span) -> Pick {
        let pick = self.dispatch.turn_away(now, id, back);
        if let Some(lines) = &mut self.lines {
            self.tally.left += u64::from(lines.left(now, id).is_some());
            lines.over(id);
        }
        pick
    }

    /// As `Dispatch::gone`.
    pub fn gone(&mut self, now: Moment, id: StatementId) {
        self.dispatch.gone(id);
        if let Some(lines) = &mut self.lines {
            self.tally.left += u64::from(lines.left(now, id).is_some());
            if !self.dispatch.holds(id) {
                lines.over(id);
            }
        }
    }

    pub fn told_list(&mut self, now: Moment, news: &ListNews) {
        self.dispatch.told_list(now, news);
    }

    pub fn told_load(&mut self, engine: EngineId, report: &LoadReport) {
        self.dispatch.told_load(engine, report);
    }

    /// What others lost statements to.
    pub fn told_doubts(&mut self, now: Moment, doubts: &[EngineDoubt]) {
        self.dispatch.told_doubts(now, doubts);
    }

    /// What this gateway may still do of what all together may.
    pub fn told_allowed(&mut self, allowed: Allowed) {
        self.dispatch.told_allowed(allowed);
    }

    pub fn carries(&self) -> f64 {
        self.dispatch.carries()
    }

    /// Members' budgets as this gateway's part of them at present, by their places in the terms.
    pub fn lease(&mut self, now: Moment, rates: &[Option<f64>]) {
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

    pub fn beliefs(&self) -> impl Iterator<Item = (EngineId, u32, bool)> {
        self.dispatch.beliefs()
    }

    /// As `Dispatch::answer_by`, for what waits too.
    pub fn answer_by(&mut self, by: Moment) {
        self.dispatch.answer_by(by);
        self.lines.iter_mut().for_each(|lines| lines.answer_by(by));
    }

    /// Other terms, with all that waits; nothing where there are no lines.
    pub fn change(&mut self, now: Moment, terms: Terms) {
        self.lines
            .iter_mut()
            .for_each(|lines| lines.change(now, terms.clone()));
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// The waits that ended in the last tick, by release or by the module's denial.
    pub fn waits(&self) -> &[Wait] {
        &self.waits
    }

    pub fn waiting(&self) -> usize {
        self.lines.as_ref().map_or(0, Lines::len)
    }

    pub fn longest_passed(&self) -> Span {
        self.lines
            .as_ref()
            .map_or(Span::ZERO, Lines::longest_passed)
    }

    pub fn status(&mut self, now: Moment, most: usize) -> Option<Vec<DeskStatus>> {
        self.lines.as_mut().map(|lines| lines.status(now, most))
    }

    pub fn statement(&mut self, now: Moment, id: StatementId) -> Option<StatementStatus> {
        self.lines.as_mut()?.statement(now, id)
    }

    /// Waited so far, and the wait still before it.
    pub fn progress(&mut self, now: Moment, id: StatementId) -> Option<(Span, Estimate)> {
        let lines = self.lines.as_mut()?;
        Some((lines.waited(now, id)?, lines.estimate(now, id)?))
    }
}

/// Asks the module about one that waits, and takes it out of line unless there was no room.
fn offer(
    dispatch: &mut Dispatch,
    lines: &mut Lines,
    waits: &mut Vec<Wait>,
    tally: &mut Tally,
    now: Moment,
    offer: Offer,
    due: &mut Vec<(StatementId, Pick)>,
) {
    let id = offer.place.id;
    let pick = dispatch.offer(now, id, offer.lent);
    match pick {
        Pick::Held => {
            tally.refused += 1;
            let useful = dispatch
                .forecast(now, id)
                .map_or(now, |forecast| forecast.useful_until);
            return lines.refused(id, offer.lent, useful);
        }
        Pick::Relay(Order { charge, .. }) => {
            tally.released += 1;
            let wait = lines.released(now, id, charge.secs());
            let well = |wait: &Wait| {
                (wait.told.wait - wait.real).secs().abs() <= (0.2 * wait.real.secs()).max(0.02)
            };
            tally.told_well += u64::from(wait.as_ref().is_some_and(well));
            waits.extend(wait);
        }
        Pick::Deny { .. } | Pick::Scrap => {
            tally.denied += 1;
            waits.extend(lines.left(now, id));
        }
    }
    due.push((id, pick));
}
