//! One team's account: what it is owed, and its part of what others leave.

use admission::interface::{TimeDelta, Timestamp};
use quota::TokenBucket;

use crate::config::CapacityShare;

/// A bucket of predicted CPU seconds that fills at the budget, and a virtual time for what is lent beyond it.
/// What the bucket holds pays for what is owed; one statement larger than the whole bucket goes when it is full, and
/// leaves a debt. What is lent is no debt: it moves the virtual time only, and the team with the least is next.
#[derive(Clone, Debug)]
pub struct CreditAccount {
    share: CapacityShare,
    bucket: TokenBucket,
    borrowed: f64,
    /// Paid out of the budget since the start.
    paid: f64,
}

/// The time that budgets go by. It runs faster than the clock while this gateway carries more than its share, as when
/// another one is away: a budget of all gateways together is then due here in a larger part, and nobody is to be kept
/// back for the want of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetClock {
    secs: f64,
    at: Timestamp,
    stretch: f64,
}

impl BudgetClock {
    pub fn new(now: Timestamp) -> Self {
        BudgetClock {
            secs: 0.0,
            at: now,
            stretch: 1.0,
        }
    }

    pub fn go_on(&mut self, now: Timestamp) {
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

impl CreditAccount {
    /// Under this weight a team would wait for ever beside others.
    const LEAST_WEIGHT: f64 = 1e-6;

    pub fn new(now: BudgetClock, share: CapacityShare, burst: TimeDelta) -> Self {
        let bucket = TokenBucket::full(now.secs, share.budget, burst.secs());
        CreditAccount {
            share,
            bucket,
            borrowed: 0.0,
            paid: 0.0,
        }
    }

    /// New config: what it has used stays used.
    pub fn change(&mut self, now: BudgetClock, share: CapacityShare, burst: TimeDelta) {
        self.bucket.refill(now.secs);
        self.bucket.rescale(share.budget, burst.secs());
        self.share = share;
    }

    /// Its part of a budget of all gateways from now on: savings are cut to what it may save, and do not grow with it; debts stay.
    pub fn lease(&mut self, now: BudgetClock, rate: f64) {
        self.bucket.refill(now.secs);
        self.bucket.set_rate(rate);
        self.share.budget = rate;
    }

    /// New config but for the part that is leased, which is told as it changes: savings and debts stay.
    pub fn hold(&mut self, now: BudgetClock, weight: f64, burst: TimeDelta) {
        self.bucket.refill(now.secs);
        self.bucket.set_burst(burst.secs());
        self.share.weight = weight;
    }

    /// Nothing is saved: what is leased from now on was another's to save up to here.
    pub fn empty(&mut self, now: BudgetClock) {
        self.bucket = TokenBucket::empty(now.secs, self.bucket.rate(), self.bucket.burst_s());
    }

    /// Whether a statement of this cost is owed to it: what is saved pays for it, or nothing more can be saved. So
    /// many light ones are not kept back by the debts of a few heavy ones, and one larger than all can go.
    pub fn owes(&mut self, now: BudgetClock, cpu: f64) -> bool {
        self.bucket.refill(now.secs);
        self.bucket.covers(cpu)
    }

    /// When it will be owed this; never where nothing is owed.
    pub fn owes_at(&mut self, now: BudgetClock, cpu: f64) -> Option<Timestamp> {
        self.bucket.refill(now.secs);
        // A microsecond more: the clock's grain must not leave it just short.
        let owes_in = self.bucket.secs_until_covered(cpu)?;
        Some(now.at + TimeDelta::from_secs(owes_in / now.stretch + 1e-6))
    }

    /// What is saved by now; negative: to be made up for first.
    pub fn saved(&mut self, now: BudgetClock) -> f64 {
        self.bucket.refill(now.secs);
        self.bucket.level()
    }

    pub fn borrowed(&self) -> f64 {
        self.borrowed
    }

    pub fn paid(&self) -> f64 {
        self.paid
    }

    pub fn share(&self) -> CapacityShare {
        self.share
    }

    /// One that comes back starts with the others: what it did not take while away is nobody's debt.
    pub fn join(&mut self, borrowed: f64) {
        self.borrowed = self.borrowed.max(borrowed);
    }

    pub fn pay(&mut self, now: BudgetClock, cpu: f64, owed: bool) -> Paid {
        self.bucket.refill(now.secs);
        if owed {
            self.bucket.withdraw(cpu);
            self.paid += cpu;
            return Paid::Budget;
        }
        self.borrowed += cpu / self.share.weight.max(Self::LEAST_WEIGHT);
        Paid::Lent
    }

    /// Beyond what was paid (less, if negative), as the outcome told.
    pub fn correct(&mut self, now: BudgetClock, paid: Paid, more: f64) {
        self.bucket.refill(now.secs);
        match paid {
            Paid::Budget => {
                self.bucket.withdraw(more);
                self.paid += more;
            }
            Paid::Lent => {
                self.borrowed =
                    (self.borrowed + more / self.share.weight.max(Self::LEAST_WEIGHT)).max(0.0);
            }
        }
    }
}
