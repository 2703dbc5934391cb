//! A gateway's own lease: what it may spend beyond its floors, until when, and whom it asks for more.

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::terms::Terms;
use crate::word::{Count, Refused};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    pub count: Count,
    /// Of the steward that granted it.
    pub number: u64,
    pub amounts: Vec<Amount>,
    /// By this gateway's own steady clock, counted from when it asked.
    pub until: Timestamp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    count: Count,
    /// The question that is out: when it went, and to whom.
    out: Option<(Timestamp, Name)>,
    lease: Option<Lease>,
    /// Who is thought to be steward, and whom it has asked in vain since.
    pub steward: Option<Name>,
    silent: u32,
    pub next: Timestamp,
}

impl Holder {
    pub fn new(now: Timestamp) -> Self {
        Holder {
            count: Count::default(),
            out: None,
            lease: None,
            steward: None,
            silent: 0,
            next: now,
        }
    }

    /// What it holds now: the clock is looked at first, since nothing else ends a lease of a process that stood still.
    pub fn lease(&self, now: Timestamp) -> Option<&Lease> {
        self.lease.as_ref().filter(|lease| now < lease.until)
    }

    /// The last lease, over or not: what was filled until its end.
    pub fn last(&self) -> Option<&Lease> {
        self.lease.as_ref()
    }

    pub fn held(&self, now: Timestamp, at: usize) -> Amount {
        self.lease(now)
            .map_or(Amount::ZERO, |lease| lease.amounts[at])
    }

    /// A new question goes to this one; the answer to any other counts no more.
    pub fn ask(&mut self, now: Timestamp, to: Name) -> Count {
        self.count = self.count.next();
        if self.out.is_some() {
            self.silent += 1;
        }
        self.out = Some((now, to));
        self.count
    }

    /// The steward did not answer twice: any voter may know another.
    pub fn lost(&mut self) -> bool {
        let lost = self.silent >= 2;
        if lost {
            (self.steward, self.silent) = (None, 0);
        }
        lost
    }

    pub fn steered(&mut self, now: Timestamp, by: &Name, steward: Option<Name>, soon: TimeDelta) {
        if self.out.as_ref().is_none_or(|(_, to)| to != by) {
            return;
        }
        (self.out, self.silent) = (None, 0);
        if self.steward != steward || steward.is_none() {
            self.next = self.next.min(now + soon);
        }
        self.steward = steward;
    }

    /// # Errors
    /// It answers nothing that is out, or came too late to be of use.
    pub fn granted(
        &mut self,
        now: Timestamp,
        by: &Name,
        count: Count,
        number: u64,
        amounts: Vec<Amount>,
        terms: &Terms,
    ) -> Result<(), Refused> {
        let last = self
            .out
            .as_ref()
            .filter(|(_, to)| to == by && count == self.count);
        let stale = terms.faults.stale_grants.then_some(now);
        let sent = last
            .map(|(sent, _)| *sent)
            .or(stale)
            .ok_or(Refused::Unasked)?;
        let until = sent + terms.held_for(terms.lease);
        (self.out, self.silent) = (None, 0);
        if now >= until {
            return Err(Refused::Old);
        }
        if terms.faults.keeps_given
            && let Some(held) = self.lease.as_ref().filter(|held| now < held.until)
        {
            let amounts = held
                .amounts
                .iter()
                .zip(&amounts)
                .map(|(held, given)| *held.max(given))
                .collect();
            self.lease = Some(Lease {
                count,
                number,
                amounts,
                until,
            });
            return Ok(());
        }
        // No more than its own file has to give, should the steward's differ.
        let least = amounts.iter().zip(&terms.budgets);
        let amounts = least
            .map(|(amount, budget)| (*amount).min(terms.leased(budget.whole, budget.floor)))
            .collect();
        self.lease = Some(Lease {
            count,
            number,
            amounts,
            until,
        });
        Ok(())
    }

    /// It holds nothing from now on.
    pub fn give_back(&mut self) {
        self.lease = None;
    }

    /// New terms: what is held goes by the budgets' names, and no more of each than is left of it.
    pub fn change(&mut self, old: &Terms, new: &Terms) {
        let Some(lease) = &mut self.lease else { return };
        let held = |at: usize| {
            let (budget, was) = (&new.budgets[at], &old.budgets);
            let from = was.iter().position(|was| was.of == budget.of)?;
            Some(lease.amounts[from].min(new.leased(budget.whole, budget.floor)))
        };
        lease.amounts = (0..new.budgets.len())
            .map(|at| held(at).unwrap_or(Amount::ZERO))
            .collect();
    }
}
