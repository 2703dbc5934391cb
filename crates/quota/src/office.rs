//! The steward's side: to be chosen, to know when that is over, and the books of what it granted.

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::divide::divide;
use crate::terms::Terms;
use crate::word::{Ask, Count, Need, Who};

/// A holder that did not ask for so many renewals needs nothing; what it holds stays its own until its lease is over.
const QUIET: f64 = 2.5;
/// A grant falls by this part at most from one to the next, so that a need that comes and goes moves others slowly.
const FALL: u64 = 2;

/// A gateway that would be steward, or is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Office {
    pub number: u64,
    /// Until when each vote can be relied on: from before it was asked for, shortened by the drift of two clocks.
    votes: BTreeMap<Name, Timestamp>,
    asked: BTreeMap<Count, (Name, Timestamp)>,
    chosen: Option<Timestamp>,
    books: BTreeMap<Who, Entry>,
}

/// What may be spent on one grant, until then at the latest by the steward's clock.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Granted {
    count: Count,
    amounts: Vec<Amount>,
    until: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    count: Count,
    heard: Timestamp,
    /// By the steward's own order of budgets.
    needs: Vec<Amount>,
    told: Vec<(Amount, Amount)>,
    granted: Vec<Granted>,
    /// Its clock against the steward's, from a first question on: whether it runs further off than is told.
    clock: Clocks,
    /// It gave all back: kept only so that a question of before, come late, is known for one.
    left: bool,
}

/// Two steady clocks, compared over long enough for a word's way not to matter. Only questions count that were known to
/// be answered before the next one went: no way of theirs took longer than that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Clocks {
    from: Option<(Timestamp, u64)>,
    last: Option<(Count, Timestamp, u64)>,
    off: bool,
}

impl Clocks {
    const ENOUGH_S: f64 = 15.0;
    /// Renewals between two questions at most, with their jitter.
    const WAYS: f64 = 1.25;

    fn see(&mut self, now: Timestamp, ask: &Ask, terms: &Terms) {
        let last = self.last.replace((ask.count, now, ask.clock_ms));
        let Some((_, now, theirs)) = last.filter(|(count, ..)| ask.holds == Some(*count)) else {
            return;
        };
        let (from, from_theirs) = *self.from.get_or_insert((now, theirs));
        let own = (now - from).secs();
        if own < Self::ENOUGH_S {
            return;
        }
        let theirs_s = (theirs as f64 - from_theirs as f64) / 1e3;
        let bound = own * 2.0 * f64::from(terms.drift_ppm) / 1e6 + terms.renew.secs() * Self::WAYS;
        (self.off, self.from) = ((theirs_s - own).abs() > bound, Some((now, theirs)));
    }
}

impl Entry {
    /// The most that it may hold of a budget.
    fn reserved(&self, now: Timestamp, at: usize) -> Amount {
        let live = self.granted.iter().filter(|granted| now < granted.until);
        live.map(|granted| granted.amounts[at])
            .max()
            .unwrap_or(Amount::ZERO)
    }

    fn last(&self, at: usize) -> Amount {
        self.granted
            .last()
            .map_or(Amount::ZERO, |granted| granted.amounts[at])
    }
}

/// Who holds how much of a budget, as the steward has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    pub who: Who,
    pub need: Amount,
    pub reserved: Amount,
    pub until: Option<Timestamp>,
    /// Its file says otherwise than the steward's.
    pub differs: bool,
}

impl Office {
    pub fn stand(number: u64) -> Self {
        Office {
            number,
            votes: BTreeMap::new(),
            asked: BTreeMap::new(),
            chosen: None,
            books: BTreeMap::new(),
        }
    }

    /// A vote is asked for now; an answer is matched by its count.
    pub fn asks(&mut self, now: Timestamp, count: Count, of: &Name) {
        self.asked.insert(count, (of.clone(), now));
        let most = 4 * crate::terms::MOST_VOTERS;
        while self.asked.len() > most {
            self.asked.pop_first();
        }
    }

    /// One more vote, or one renewed.
    pub fn voted(&mut self, now: Timestamp, by: &Name, count: Count, terms: &Terms) {
        let Some((_, sent)) = self.asked.remove(&count).filter(|(of, _)| of == by) else {
            return;
        };
        let until = sent + terms.held_for(terms.term);
        let held = self.votes.entry(by.clone()).or_insert(until);
        *held = (*held).max(until);
        if self.chosen.is_none() && self.until(terms).is_some_and(|until| now < until) {
            self.chosen = Some(now);
        }
    }

    /// Until when a majority of votes can be relied on.
    fn until(&self, terms: &Terms) -> Option<Timestamp> {
        let mut all: Vec<Timestamp> = self.votes.values().copied().collect();
        all.sort_by(|a, b| b.cmp(a));
        all.get(terms.majority() - 1).copied()
    }

    /// Since when it is the steward, as long as it is.
    pub fn chosen(&self, now: Timestamp, terms: &Terms) -> Option<Timestamp> {
        self.chosen
            .filter(|_| self.until(terms).is_some_and(|until| now < until))
    }

    /// It was the steward, and is not any more: its books are worth nothing.
    pub fn over(&self, now: Timestamp, terms: &Terms) -> bool {
        self.chosen.is_some() && self.chosen(now, terms).is_none()
    }

    /// From here on nothing is held on an earlier steward's grant.
    pub fn open_from(&self, terms: &Terms) -> Option<Timestamp> {
        self.chosen.map(|chosen| {
            if terms.faults.no_wait {
                chosen
            } else {
                chosen + terms.lease
            }
        })
    }

    /// The whole of a budget in force: of those voters whose files say otherwise the least, as long as they say it.
    pub fn whole(&self, now: Timestamp, at: usize, terms: &Terms) -> Amount {
        let fresh = |entry: &&Entry| now - entry.heard < terms.lease && !entry.left;
        let voters = self
            .books
            .iter()
            .filter(|(who, _)| terms.voters.contains(&who.name));
        let told = voters
            .map(|(_, entry)| entry)
            .filter(fresh)
            .map(|entry| entry.told[at].0);
        told.fold(terms.budgets[at].whole, Amount::min)
    }

    /// Budgets over which a holder's file differs.
    pub fn differ(&self, now: Timestamp, terms: &Terms) -> BTreeSet<(Name, usize)> {
        let mut all = BTreeSet::new();
        for (who, entry) in self
            .books
            .iter()
            .filter(|(_, entry)| now - entry.heard < terms.lease && !entry.left)
        {
            for (at, budget) in terms.budgets.iter().enumerate() {
                if entry.told[at] != (budget.whole, budget.floor) {
                    all.insert((who.name.clone(), at));
                }
            }
        }
        all
    }

    /// What is to be had of a budget: floors are no matter of the steward's, but those larger than its own file's
    /// are taken off here.
    fn pool(&self, now: Timestamp, at: usize, terms: &Terms) -> Amount {
        let own = terms.budgets[at].floor;
        let whole = self.whole(now, at, terms);
        let fresh = self
            .books
            .values()
            .filter(|entry| now - entry.heard < terms.lease && !entry.left);
        let over: Amount = fresh.map(|entry| entry.told[at].1.less(own)).sum();
        terms.leased(whole, own).less(over)
    }

    /// What one that asks may hold from now on; none where it is not to be answered.
    pub fn asked(
        &mut self,
        now: Timestamp,
        by: &Who,
        ask: &Ask,
        terms: &Terms,
    ) -> Option<Vec<Amount>> {
        let chosen = self.chosen(now, terms)?;
        let forget = now + TimeDelta::from_secs(-2.0 * terms.lease.secs());
        self.books.retain(|_, entry| entry.heard > forget);
        if self
            .books
            .get(by)
            .is_some_and(|entry| ask.count <= entry.count)
        {
            return None;
        }
        if !self.books.contains_key(by) && self.books.len() >= 2 * terms.most {
            return None;
        }
        let open = chosen
            + if terms.faults.no_wait {
                TimeDelta::ZERO
            } else {
                terms.lease
            };
        let line = |at: usize| {
            let mark = terms.budgets[at].mark();
            ask.needs
                .iter()
                .find(|need| need.mark == mark)
                .copied()
                .unwrap_or(Need {
                    whole: terms.budgets[at].whole,
                    floor: terms.budgets[at].floor,
                    ..Need::default()
                })
        };
        let lines: Vec<Need> = (0..terms.budgets.len()).map(line).collect();
        let met = self.books.contains_key(by);
        let entry = self.books.entry(by.clone()).or_insert_with(|| Entry {
            count: ask.count,
            heard: now,
            needs: vec![Amount::ZERO; lines.len()],
            told: vec![(Amount::ZERO, Amount::ZERO); lines.len()],
            granted: Vec::new(),
            clock: Clocks::default(),
            left: false,
        });
        (entry.count, entry.heard, entry.left) = (ask.count, now, ask.leaves);
        entry.clock.see(now, ask, terms);
        entry.needs = lines
            .iter()
            .map(|line| line.need.min(Amount::MOST))
            .collect();
        entry.told = lines
            .iter()
            .map(|line| (line.whole.min(Amount::MOST), line.floor))
            .collect();
        // It takes no answer any more but to this question, and holds what it says: all others are void.
        entry
            .granted
            .retain(|granted| now < granted.until && Some(granted.count) == ask.holds);
        if ask.leaves {
            entry.granted.clear();
            return None;
        }
        if !met && now < open {
            // Held on an earlier steward's word: it goes on with that and no more, within what is to be had.
            let adopted = (0..lines.len()).map(|at| {
                let others: Amount = self.others(now, by, at);
                lines[at].held.min(self.pool(now, at, terms).less(others))
            });
            let amounts: Vec<Amount> = adopted.collect();
            let until = now + terms.lease;
            let entry = self.books.get_mut(by).expect("just made");
            entry.granted.push(Granted {
                count: ask.holds.unwrap_or_default(),
                amounts,
                until,
            });
        }
        let amounts: Vec<Amount> = (0..lines.len())
            .map(|at| self.grant(now, by, at, now >= open, terms))
            .collect();
        let entry = self.books.get_mut(by).expect("just made");
        let until = now + terms.lease;
        entry.granted.push(Granted {
            count: ask.count,
            amounts: amounts.clone(),
            until,
        });
        Some(amounts)
    }

    fn others(&self, now: Timestamp, by: &Who, at: usize) -> Amount {
        self.books
            .iter()
            .filter(|(who, _)| *who != by)
            .map(|(_, entry)| entry.reserved(now, at))
            .sum()
    }

    fn grant(&self, now: Timestamp, by: &Who, at: usize, open: bool, terms: &Terms) -> Amount {
        let own = &self.books[by];
        if own.clock.off {
            return Amount::ZERO;
        }
        let (pool, last) = (self.pool(now, at, terms), own.last(at));
        let quiet = TimeDelta::from_secs(terms.renew.secs() * QUIET);
        let asks = |entry: &Entry| now - entry.heard < quiet && !entry.left && !entry.clock.off;
        let asking: Vec<&Who> = self
            .books
            .iter()
            .filter(|(_, entry)| asks(entry))
            .map(|(who, _)| who)
            .collect();
        let needs: Vec<Amount> = asking
            .iter()
            .map(|who| self.books[*who].needs[at])
            .collect();
        let parts = divide(pool, &needs);
        let part = asking
            .iter()
            .position(|who| *who == by)
            .map_or(Amount::ZERO, |of| parts[of]);
        let others = self.others(now, by, at);
        let room = pool.less(others);
        // Before all that an earlier steward granted is over, others may hold what is not in the books.
        let most = if open {
            room
        } else {
            room.min(own.reserved(now, at))
        };
        // A whole that shrank falls at once.
        let least = if others + last > pool {
            Amount::ZERO
        } else {
            Amount(last.0 / FALL)
        };
        part.max(least).min(most)
    }

    /// Holders whose clocks run further off than is told.
    pub fn drifting(&self) -> impl Iterator<Item = &Name> {
        self.books
            .iter()
            .filter(|(_, entry)| entry.clock.off && !entry.left)
            .map(|(who, _)| &who.name)
    }

    pub fn holdings(&self, now: Timestamp, at: usize, terms: &Terms) -> Vec<Holding> {
        let own = (terms.budgets[at].whole, terms.budgets[at].floor);
        let of = |(who, entry): (&Who, &Entry)| Holding {
            who: who.clone(),
            need: entry.needs[at],
            reserved: entry.reserved(now, at),
            until: entry.granted.iter().map(|granted| granted.until).max(),
            differs: entry.told[at] != own,
        };
        self.books
            .iter()
            .filter(|(_, entry)| !entry.left)
            .map(of)
            .collect()
    }

    /// New terms: budgets by their names, in another order or with others between.
    pub fn change(&mut self, old: &Terms, new: &Terms) {
        let from: Vec<Option<usize>> = new
            .budgets
            .iter()
            .map(|budget| old.budgets.iter().position(|was| was.of == budget.of))
            .collect();
        let amounts = |of: &[Amount]| -> Vec<Amount> {
            from.iter()
                .map(|at| at.map_or(Amount::ZERO, |at| of[at]))
                .collect()
        };
        for entry in self.books.values_mut() {
            entry.needs = amounts(&entry.needs);
            let told = new.budgets.iter().zip(&from);
            entry.told = told
                .map(|(budget, at)| at.map_or((budget.whole, budget.floor), |at| entry.told[at]))
                .collect();
            entry
                .granted
                .iter_mut()
                .for_each(|granted| granted.amounts = amounts(&granted.amounts));
        }
    }
}
