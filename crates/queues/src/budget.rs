//! One team's account: what it is owed, and its part of what others leave.

use admission::interface::{Moment, Span};

use crate::terms::Claim;

/// A bucket of predicted CPU seconds that fills at the budget, and a virtual time for what is lent beyond it.
/// What the bucket holds pays for what is owed; one statement larger than the whole bucket goes when it is full, and
/// leaves a debt. What is lent is no debt: it moves the virtual time only, and the team with the least is next.
#[derive(Clone, Debug)]
pub struct Account {
    claim: Claim,
    most: f64,
    level: f64,
    at: Till,
    lent: f64,
}

/// The time that budgets go by. It runs faster than the clock while this gateway carries more than its share, as when
/// another one is away: a budget of all gateways together is then due here in a larger part, and nobody is to be kept
/// back for the want of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Till {
    secs: f64,
    at: Moment,
    stretch: f64,
}

impl Till {
    pub fn new(now: Moment) -> Self {
        Till { secs: 0.0, at: now, stretch: 1.0 }
    }

    pub fn go_on(&mut self, now: Moment) {
        self.secs += (now - self.at).secs().max(0.0) * self.stretch;
        self.at = now;
    }

    pub fn stretch(&mut self, carries: f64) {
        self.stretch = carries.max(1.0);
    }
}

/// Where a charge went, to be corrected there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Paid {
    Budget,
    Lent,
}

impl Account {
    /// Under this weight a team would wait for ever beside others.
    const LEAST_WEIGHT: f64 = 1e-6;
    /// Of all that can be saved, as good as all.
    const FULL: f64 = 0.99;

    pub fn new(now: Till, claim: Claim, burst: Span) -> Self {
        let most = claim.budget * burst.secs();
        Account { claim, most, level: most, at: now, lent: 0.0 }
    }

    /// New terms: what it has used stays used.
    pub fn change(&mut self, now: Till, claim: Claim, burst: Span) {
        self.fill(now);
        let kept = self.level / self.most.max(1e-9);
        let fresh = Account::new(now, claim, burst);
        let level = if self.most > 0.0 { (kept * fresh.most).min(fresh.most) } else { fresh.most };
        *self = Account { level, lent: self.lent, ..fresh };
    }

    fn fill(&mut self, now: Till) {
        let gone = (now.secs - self.at.secs).max(0.0);
        self.level = (self.level + self.claim.budget * gone).min(self.most);
        self.at = now;
    }

    /// Whether a statement of this cost is owed to it: what is saved pays for it, or nothing more can be saved. So
    /// many light ones are not kept back by the debts of a few heavy ones, and one larger than all can go.
    pub fn owes(&mut self, now: Till, cpu: f64) -> bool {
        self.fill(now);
        self.most > 0.0 && self.level >= cpu.min(self.most * Self::FULL)
    }

    /// When it will be owed this; never where nothing is owed.
    pub fn owes_at(&mut self, now: Till, cpu: f64) -> Option<Moment> {
        self.fill(now);
        let lacks = (cpu.min(self.most * Self::FULL) - self.level).max(0.0);
        // A microsecond more: the clock's grain must not leave it just short.
        let rate = self.claim.budget * now.stretch;
        (rate > 0.0).then(|| now.at + Span::from_secs(lacks / rate + 1e-6))
    }

    /// What is saved by now; negative: to be made up for first.
    pub fn saved(&mut self, now: Till) -> f64 {
        self.fill(now);
        self.level
    }

    pub fn lent(&self) -> f64 {
        self.lent
    }

    pub fn claim(&self) -> Claim {
        self.claim
    }

    /// One that comes back starts with the others: what it did not take while away is nobody's debt.
    pub fn join(&mut self, lent: f64) {
        self.lent = self.lent.max(lent);
    }

    pub fn pay(&mut self, now: Till, cpu: f64, owed: bool) -> Paid {
        self.fill(now);
        if owed {
            self.level -= cpu;
            return Paid::Budget;
        }
        self.lent += cpu / self.claim.weight.max(Self::LEAST_WEIGHT);
        Paid::Lent
    }

    /// Beyond what was paid (less, if negative), as the outcome told.
    pub fn correct(&mut self, now: Till, paid: Paid, more: f64) {
        self.fill(now);
        match paid {
            Paid::Budget => self.level = (self.level - more).min(self.most),
            Paid::Lent => {
                self.lent = (self.lent + more / self.claim.weight.max(Self::LEAST_WEIGHT)).max(0.0);
            }
        }
    }
}
