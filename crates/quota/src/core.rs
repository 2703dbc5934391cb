//! One gateway's part in whole numbers: voter, steward if chosen, and holder of a lease. The search over its states runs
//! on this; what is saved and spent on it stands in `ledger`.

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::holder::Holder;
use crate::office::Office;
use crate::terms::Terms;
use crate::voter::Voter;
use crate::word::{Ask, Count, Need, Refused, Who, Word};

/// Votes asked for in vain so often, a candidate lets go of those it has.
const TRIES: u32 = 3;
/// Asked sooner than a renewal where parts move, but no sooner than this part of one.
pub(crate) const SOON: f64 = 0.25;
/// A need that changed by this part of what it was is told soon.
const MOVED: f64 = 0.25;
/// Steps between two that lose this way: a part of a renewal.
const STAGGER: f64 = 0.5;
const EVENTS: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Letter {
    pub to: Name,
    pub word: Word,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This gateway is steward from now on.
    Chosen(u64),
    /// It is not any more.
    Over,
    /// Its lease came after it had none, from there.
    Leased(Name),
    /// Its lease is over, and nobody renewed it: floors alone.
    Floors,
    /// The files of some holders differ from the steward's own over these budgets.
    Differ(Vec<(Name, String)>),
    /// Their clocks run further off this one's than told: they have their floors alone.
    Drift(Vec<Name>),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Core {
    me: Who,
    terms: Terms,
    seed: u64,
    voter: Option<Voter>,
    office: Option<Office>,
    holder: Holder,
    /// Beyond the floors, by budget; and as it was last told.
    needs: Vec<Amount>,
    told: Vec<Amount>,
    asked_at: Timestamp,
    count: Count,
    next_canvass: Timestamp,
    tries: u32,
    left: bool,
    leased: bool,
    differed: Vec<(Name, String)>,
    drifted: Vec<Name>,
    out: Vec<Letter>,
    events: Vec<Event>,
}

/// By chance from a seed, the same for the same: between 0 and 1.
fn chance(seed: u64, of: u64) -> f64 {
    let mut mixed = seed ^ of.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
}

impl Core {
    /// `terms` were checked. `now`: this gateway's own steady clock, which runs on while the machine sleeps.
    pub fn new(now: Timestamp, me: Who, terms: Terms, seed: u64) -> Self {
        let votes = terms.voters.contains(&me.name);
        let voter = votes.then(|| Voter::new(now, &terms));
        let first = now + TimeDelta::from_secs(terms.renew.secs() * 0.2 * chance(seed, 0));
        Core {
            me,
            voter,
            office: None,
            holder: Holder::new(first),
            needs: vec![Amount::ZERO; terms.budgets.len()],
            told: vec![Amount::ZERO; terms.budgets.len()],
            asked_at: now,
            count: Count::default(),
            next_canvass: now,
            tries: 0,
            left: false,
            leased: false,
            differed: Vec::new(),
            drifted: Vec::new(),
            out: Vec::new(),
            events: Vec::new(),
            terms,
            seed,
        }
    }

    pub fn me(&self) -> &Who {
        &self.me
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    pub fn holder(&self) -> &Holder {
        &self.holder
    }

    pub fn take_out(&mut self) -> Vec<Letter> {
        std::mem::take(&mut self.out)
    }

    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// What it may spend a second now, of its floor and its lease.
    pub fn may_spend(&self, now: Timestamp, at: usize) -> Amount {
        self.terms.budgets[at].floor + self.holder.held(now, at)
    }

    /// What it would spend beyond its floor, a second.
    pub fn needs(&mut self, at: usize, need: Amount) {
        self.needs[at] = need;
        let moved = self.told[at].0.abs_diff(need.0) as f64;
        // Of what both sides hold at least in floors, or any first statement would count as one.
        let least = self.told[at] + self.terms.budgets[at].floor;
        if moved > least.0 as f64 * MOVED {
            self.hurry();
        }
    }

    /// The next question goes sooner: something is to be had, or given.
    fn hurry(&mut self) {
        self.holder.next = self.holder.next.min(self.after(self.asked_at, SOON));
    }

    pub fn is_steward(&self, now: Timestamp) -> bool {
        self.office
            .as_ref()
            .is_some_and(|office| office.chosen(now, &self.terms).is_some())
    }

    /// Its books, as long as it is the steward.
    pub fn office(&self, now: Timestamp) -> Option<&Office> {
        self.office.as_ref().filter(|_| self.is_steward(now))
    }

    /// Whom it takes for steward.
    pub fn steward(&self, now: Timestamp) -> Option<&Name> {
        if self.is_steward(now) {
            return Some(&self.me.name);
        }
        let promised = self.voter.as_ref().and_then(|voter| voter.promised(now));
        promised
            .map(|who| &who.name)
            .filter(|name| **name != self.me.name)
            .or(self.holder.steward.as_ref())
    }

    /// When `turn` is due next.
    pub fn due(&self) -> Timestamp {
        if self.left {
            return self.holder.next + TimeDelta::from_secs(3600.0);
        }
        let lease = self
            .holder
            .last()
            .filter(|_| self.leased)
            .map(|lease| lease.until);
        let stand = self.voter.as_ref().map(|voter| match self.office {
            Some(_) => self.next_canvass,
            None => self.stands_at(voter),
        });
        [lease, stand]
            .into_iter()
            .flatten()
            .fold(self.holder.next, Timestamp::min)
    }

    fn event(&mut self, event: Event) {
        if self.events.len() < EVENTS {
            self.events.push(event);
        }
    }

    fn send(&mut self, to: &Name, word: Word) {
        self.out.push(Letter {
            to: to.clone(),
            word,
        });
    }

    fn after(&self, now: Timestamp, renewals: f64) -> Timestamp {
        now + TimeDelta::from_secs(self.terms.renew.secs() * renewals)
    }

    /// One behind the other, or candidates would divide the votes between them.
    fn stands_at(&self, voter: &Voter) -> Timestamp {
        let rank = self
            .terms
            .voters
            .iter()
            .position(|name| *name == self.me.name)
            .unwrap_or(0);
        let later = rank as f64 + chance(self.seed, voter.highest());
        self.after(voter.free_at(), STAGGER * later)
            .max(self.next_canvass)
    }

    // Time.

    pub fn turn(&mut self, now: Timestamp) {
        if self.left {
            return;
        }
        self.look(now);
        if let Some(voter) = &self.voter {
            match &self.office {
                None if now >= self.stands_at(voter) => {
                    self.office = Some(Office::stand(voter.highest() + 1));
                    self.tries = 0;
                    self.canvass(now);
                }
                Some(_) if now >= self.next_canvass => {
                    if !self.is_steward(now) && self.tries >= TRIES {
                        self.resign(now);
                    } else {
                        self.canvass(now);
                    }
                }
                _ => {}
            }
        }
        if now >= self.holder.next {
            self.ask(now);
        }
    }

    /// What the clock alone has ended: first of all in every call, so that one that stood still acts on nothing old.
    fn look(&mut self, now: Timestamp) {
        if self
            .office
            .as_ref()
            .is_some_and(|office| office.over(now, &self.terms))
        {
            self.office = None;
            self.event(Event::Over);
        }
        if self.leased && self.holder.lease(now).is_none() {
            self.leased = false;
            self.event(Event::Floors);
        }
    }

    fn canvass(&mut self, now: Timestamp) {
        let (me, voters) = (self.me.clone(), self.terms.voters.clone());
        self.next_canvass = self.after(now, 1.0);
        self.tries += 1;
        let Some(number) = self.office.as_ref().map(|office| office.number) else {
            return;
        };
        for voter in voters {
            self.count = self.count.next();
            let count = self.count;
            if let Some(office) = &mut self.office {
                office.asks(now, count, &voter);
            }
            if voter == me.name {
                let yes = self
                    .voter
                    .as_mut()
                    .is_some_and(|own| own.canvassed(now, &me, number, &self.terms));
                if yes {
                    self.voted(now, &voter, count);
                }
            } else {
                self.send(&voter, Word::Canvass { number, count });
            }
        }
    }

    fn voted(&mut self, now: Timestamp, by: &Name, count: Count) {
        let before = self.is_steward(now);
        let Some(office) = &mut self.office else {
            return;
        };
        office.voted(now, by, count, &self.terms);
        if !before && self.is_steward(now) {
            self.tries = 0;
            let number = self.office.as_ref().map_or(0, |office| office.number);
            self.event(Event::Chosen(number));
            // It is a holder too, and need not wait for its own turn.
            self.holder.next = self.holder.next.min(now);
        }
    }

    /// No steward's, no candidate's any more; those who voted for it need not wait out their promise.
    fn resign(&mut self, now: Timestamp) {
        let Some(office) = self.office.take() else {
            return;
        };
        for voter in self.terms.voters.clone() {
            if voter != self.me.name {
                self.send(
                    &voter,
                    Word::Resign {
                        number: office.number,
                    },
                );
            }
        }
        let me = self.me.clone();
        if let Some(voter) = &mut self.voter {
            voter.released(now, &me, office.number);
        }
        let wait = 1.0 + 2.0 * chance(self.seed, office.number ^ 0x5a5a);
        self.next_canvass = self.after(now, wait);
    }

    fn ask(&mut self, now: Timestamp) {
        self.holder.lost();
        let jitter = 0.9 + 0.2 * chance(self.seed, self.count.0 ^ 0xa5a5);
        self.holder.next = self.after(now, jitter);
        self.count = self.count.next();
        let to = match self.steward(now).cloned() {
            Some(steward) => steward,
            None => {
                let others: Vec<&Name> = self
                    .terms
                    .voters
                    .iter()
                    .filter(|name| **name != self.me.name)
                    .collect();
                let at = (chance(self.seed, self.count.0) * others.len() as f64) as usize;
                match others.get(at) {
                    Some(voter) => (*voter).clone(),
                    None => return,
                }
            }
        };
        self.ask_of(now, to, false);
    }

    fn ask_of(&mut self, now: Timestamp, to: Name, leaves: bool) {
        let holds = self.holder.lease(now).map(|lease| lease.count);
        let of = |(at, budget): (usize, &crate::terms::Budget)| Need {
            mark: budget.mark(),
            need: self.needs[at],
            held: self.holder.held(now, at),
            whole: budget.whole,
            floor: budget.floor,
        };
        let needs = self.terms.budgets.iter().enumerate().map(of).collect();
        self.told.clone_from(&self.needs);
        self.asked_at = now;
        let count = self.holder.ask(now, to.clone());
        let clock_ms = ((now - Timestamp::from_secs(0.0)).secs() * 1e3) as u64;
        let ask = Ask {
            count,
            holds,
            leaves,
            clock_ms,
            needs,
        };
        if to != self.me.name {
            return self.send(&to, Word::Ask(ask));
        }
        let me = self.me.clone();
        let granted = self.granting(now, &me, &ask);
        if let Some(amounts) = granted {
            let number = self.office.as_ref().map_or(0, |office| office.number);
            let _ = self.granted(now, &me.name, count, number, amounts);
        }
    }

    fn granting(&mut self, now: Timestamp, by: &Who, ask: &Ask) -> Option<Vec<Amount>> {
        let amounts = self.office.as_mut()?.asked(now, by, ask, &self.terms)?;
        let differ = self.office.as_ref()?.differ(now, &self.terms);
        let named = |(name, at): (Name, usize)| (name, self.terms.budgets[at].name());
        let differ: Vec<(Name, String)> = differ.into_iter().map(named).take(8).collect();
        if differ != self.differed {
            self.differed = differ.clone();
            self.event(Event::Differ(differ));
        }
        let drift: Vec<Name> = self.office.as_ref()?.drifting().take(8).cloned().collect();
        if drift != self.drifted {
            self.drifted.clone_from(&drift);
            self.event(Event::Drift(drift));
        }
        Some(amounts)
    }

    fn granted(
        &mut self,
        now: Timestamp,
        by: &Name,
        count: Count,
        number: u64,
        amounts: Vec<Amount>,
    ) -> Result<(), Refused> {
        let held = |core: &Core| -> Vec<Amount> {
            (0..core.needs.len())
                .map(|at| core.holder.held(now, at))
                .collect()
        };
        let before = held(self);
        self.holder
            .granted(now, by, count, number, amounts, &self.terms)?;
        // What fell is free for others once this gateway has said so; what rose and is short may rise on.
        let (after, needs) = (held(self), &self.needs);
        let all = before.iter().zip(&after).zip(needs);
        let part = |of: Amount| Amount((of.0 as f64 * MOVED) as u64);
        let moves = |((before, after), need): ((&Amount, &Amount), &Amount)| {
            *after + part(*before) < *before || *after > *before + part(*before) && after < need
        };
        if all.into_iter().any(moves) {
            self.hurry();
        }
        if !std::mem::replace(&mut self.leased, true) {
            self.event(Event::Leased(by.clone()));
        }
        Ok(())
    }

    /// It goes: what is leased to it is given back, its floor is its own until it has ended, and a steward's votes are free for another.
    pub fn leave(&mut self, now: Timestamp) {
        self.look(now);
        self.holder.give_back();
        if let Some(steward) = self
            .steward(now)
            .cloned()
            .filter(|name| *name != self.me.name)
        {
            self.ask_of(now, steward, true);
        }
        self.resign(now);
        self.left = true;
    }

    // Words in.

    /// # Errors
    /// It counts for nothing; this is why.
    pub fn receive(&mut self, now: Timestamp, from: &Who, word: Word) -> Result<(), Refused> {
        if self.left {
            return Ok(());
        }
        self.look(now);
        let votes = self.terms.voters.contains(&from.name);
        match word {
            Word::Canvass { .. }
            | Word::Vote { .. }
            | Word::Resign { .. }
            | Word::Grant { .. }
            | Word::Steer { .. }
                if !votes =>
            {
                Err(Refused::NoVoter)
            }
            Word::Canvass { number, count } => {
                let terms = &self.terms;
                let Some(voter) = &mut self.voter else {
                    return Err(Refused::NoVoter);
                };
                let yes = voter.canvassed(now, from, number, terms);
                let highest = voter.highest();
                if yes {
                    self.holder.steward = Some(from.name.clone());
                }
                self.send(
                    &from.name,
                    Word::Vote {
                        count,
                        yes,
                        highest,
                    },
                );
                Ok(())
            }
            Word::Vote {
                count, yes: true, ..
            } => {
                self.voted(now, &from.name, count);
                Ok(())
            }
            Word::Vote { highest, .. } => {
                if let Some(voter) = &mut self.voter {
                    voter.heard_of(highest);
                    let next = voter.highest() + 1;
                    // Whoever promised itself to this gateway keeps to it under a higher number.
                    let office = self
                        .office
                        .as_mut()
                        .filter(|office| office.number <= highest);
                    office.into_iter().for_each(|office| office.number = next);
                }
                Ok(())
            }
            Word::Resign { number } => {
                if let Some(voter) = &mut self.voter {
                    voter.released(now, from, number);
                }
                if self.holder.steward.as_ref() == Some(&from.name) {
                    self.holder.steward = None;
                }
                Ok(())
            }
            Word::Ask(ask) => self.asked(now, from, &ask),
            Word::Grant {
                count,
                number,
                amounts,
            } => {
                let of = |budget: &crate::terms::Budget| {
                    let mark = budget.mark();
                    amounts
                        .iter()
                        .find(|(of, _)| *of == mark)
                        .map_or(Amount::ZERO, |(_, amount)| *amount)
                };
                let amounts = self.terms.budgets.iter().map(of).collect();
                self.granted(now, &from.name, count, number, amounts)
            }
            Word::Steer { steward } => {
                let steward = steward.filter(|name| self.terms.voters.contains(name));
                let soon = TimeDelta::from_secs(self.terms.renew.secs() * STAGGER);
                self.holder.steered(now, &from.name, steward, soon);
                Ok(())
            }
        }
    }

    fn asked(&mut self, now: Timestamp, from: &Who, ask: &Ask) -> Result<(), Refused> {
        if self.is_steward(now) {
            let Some(amounts) = self.granting(now, from, ask) else {
                return if ask.leaves {
                    Ok(())
                } else {
                    Err(Refused::Old)
                };
            };
            let budgets = self.terms.budgets.iter().map(|budget| budget.mark());
            let amounts = budgets.zip(amounts).collect();
            let number = self.office.as_ref().map_or(0, |office| office.number);
            self.send(
                &from.name,
                Word::Grant {
                    count: ask.count,
                    number,
                    amounts,
                },
            );
            return Ok(());
        }
        let Some(voter) = &self.voter else {
            return Err(Refused::NoVoter);
        };
        let steward = voter
            .promised(now)
            .map(|who| who.name.clone())
            .filter(|name| *name != self.me.name);
        self.send(&from.name, Word::Steer { steward });
        Ok(())
    }

    /// New budgets, voters and paces from now on; what is held goes by the budgets' names. Terms that others were given
    /// stay as long as they were given for: of lengths and drift only those hold that were told at the start.
    pub fn change(&mut self, now: Timestamp, terms: Terms) {
        self.look(now);
        let (lease, term, drift_ppm, most) = (
            self.terms.lease,
            self.terms.term,
            self.terms.drift_ppm,
            self.terms.most,
        );
        let terms = Terms {
            lease,
            term,
            drift_ppm,
            most,
            voters: self.terms.voters.clone(),
            ..terms
        };
        let old = std::mem::replace(&mut self.terms, terms);
        self.holder.change(&old, &self.terms);
        if let Some(office) = &mut self.office {
            office.change(&old, &self.terms);
        }
        let from = |at: usize| {
            old.budgets
                .iter()
                .position(|was| was.of == self.terms.budgets[at].of)
        };
        self.told = vec![Amount::ZERO; self.terms.budgets.len()];
        self.needs = (0..self.terms.budgets.len())
            .map(|at| from(at).map_or(Amount::ZERO, |at| self.needs[at]))
            .collect();
    }
}
