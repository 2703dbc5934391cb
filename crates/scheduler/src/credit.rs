//! The credit account of one tenant or sub-queue: what its budget covers, and what it borrowed beyond that.

use admission::interface::{TimeDelta, Timestamp};
use quota::TokenBucket;

use crate::config::CapacityShare;

/// The clock that budgets fill by. It runs faster than time while this gateway carries more than its share of the
/// traffic, as when another one is away: a budget of all gateways together is then due here in a larger part, and
/// nobody is to be kept back for the lack of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetClock {
    secs: f64,
    now: Timestamp,
    speed: f64,
}

impl BudgetClock {
    pub(crate) fn new(now: Timestamp) -> Self {
        BudgetClock {
            secs: 0.0,
            now,
            speed: 1.0,
        }
    }

    pub(crate) fn advance(&mut self, now: Timestamp) {
        self.secs += (now - self.now).secs().max(0.0) * self.speed;
        self.now = now;
    }

    /// `traffic_share`: what this gateway carries, in even shares of all gateways' traffic.
    pub(crate) fn set_speed(&mut self, traffic_share: f64) {
        self.speed = traffic_share.max(1.0);
    }

    /// The time that it was last advanced to.
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }
}

/// What a charge was paid from; a later correction goes to the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Funding {
    /// The account's own budget.
    Budget,
    /// Capacity that others left.
    Borrowed,
}

/// A bucket of predicted CPU seconds that fills at the budget, and a virtual time of what is borrowed beyond it.
///
/// A statement larger than the whole bucket goes when the bucket is full, and leaves a debt. What is borrowed is no
/// debt: it moves the virtual time only, and the account with the least virtual time is next.
#[derive(Clone, Debug)]
pub(crate) struct CreditAccount {
    share: CapacityShare,
    bucket: TokenBucket,
    virtual_time: f64,
    spent: f64,
}

impl CreditAccount {
    /// With a weight under this an account would wait for ever beside others.
    const MIN_WEIGHT: f64 = 1e-6;
    /// Added to the time at which a budget covers a cost, since the clock's resolution must not leave it just short.
    const CLOCK_RESOLUTION_S: f64 = 1e-6;

    /// An account with a full bucket.
    pub(crate) fn new(clock: BudgetClock, share: CapacityShare, burst: TimeDelta) -> Self {
        CreditAccount {
            share,
            bucket: TokenBucket::full(clock.secs, share.budget, burst.secs()),
            virtual_time: 0.0,
            spent: 0.0,
        }
    }

    /// A new share; what was used stays used.
    pub(crate) fn reconfigure(
        &mut self,
        clock: BudgetClock,
        share: CapacityShare,
        burst: TimeDelta,
    ) {
        self.bucket.refill(clock.secs);
        self.bucket.rescale(share.budget, burst.secs());
        self.share = share;
    }

    /// A new weight and burst for an account whose budget is leased; savings and debts stay.
    pub(crate) fn reconfigure_leased(&mut self, clock: BudgetClock, weight: f64, burst: TimeDelta) {
        self.bucket.refill(clock.secs);
        self.bucket.set_burst(burst.secs());
        self.share.weight = weight;
    }

    /// A new budget, as this gateway's lease of the budget of all gateways. Savings are cut to the new capacity and do
    /// not grow with it; debts stay.
    pub(crate) fn set_leased_budget(&mut self, clock: BudgetClock, budget: f64) {
        self.bucket.refill(clock.secs);
        self.bucket.set_rate(budget);
        self.share.budget = budget;
    }

    /// Empties the bucket: up to now another gateway's lease covered the same savings.
    pub(crate) fn empty(&mut self, clock: BudgetClock) {
        self.bucket = TokenBucket::empty(clock.secs, self.bucket.rate(), self.bucket.burst_s());
    }

    /// Whether the budget covers a statement of this cost: the bucket holds its cost, or is full. So many light
    /// statements are not kept back by the debts of a few heavy ones, and one larger than the bucket can go.
    pub(crate) fn covers(&mut self, clock: BudgetClock, cpu: f64) -> bool {
        self.bucket.refill(clock.secs);
        self.bucket.covers(cpu)
    }

    /// When the budget will cover this cost; never where there is no budget.
    pub(crate) fn covers_from(&mut self, clock: BudgetClock, cpu: f64) -> Option<Timestamp> {
        self.bucket.refill(clock.secs);
        let wait_s = self.bucket.secs_until_covered(cpu)?;
        Some(clock.now + TimeDelta::from_secs(wait_s / clock.speed + Self::CLOCK_RESOLUTION_S))
    }

    /// CPU seconds in the bucket; negative: a debt.
    pub(crate) fn balance(&mut self, clock: BudgetClock) -> f64 {
        self.bucket.refill(clock.secs);
        self.bucket.level()
    }

    /// What was borrowed so far by weight, in CPU seconds.
    pub(crate) fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// CPU seconds paid from the budget since the start.
    pub(crate) fn spent(&self) -> f64 {
        self.spent
    }

    pub(crate) fn share(&self) -> CapacityShare {
        self.share
    }

    /// An account that becomes active starts at the virtual time of the others: what it did not borrow while it was
    /// idle gives it no precedence.
    pub(crate) fn activate(&mut self, virtual_time: f64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// Charges a statement.
    pub(crate) fn charge(&mut self, clock: BudgetClock, cpu: f64, funding: Funding) {
        self.bucket.refill(clock.secs);
        match funding {
            Funding::Budget => {
                self.bucket.withdraw(cpu);
                self.spent += cpu;
            }
            Funding::Borrowed => self.virtual_time += self.weighted(cpu),
        }
    }

    /// Charges what a statement cost beyond its charge; negative: gives back.
    pub(crate) fn correct(&mut self, clock: BudgetClock, cpu: f64, funding: Funding) {
        self.bucket.refill(clock.secs);
        match funding {
            Funding::Budget => {
                self.bucket.withdraw(cpu);
                self.spent += cpu;
            }
            Funding::Borrowed => {
                self.virtual_time = (self.virtual_time + self.weighted(cpu)).max(0.0);
            }
        }
    }

    fn weighted(&self, cpu: f64) -> f64 {
        cpu / self.share.weight.max(Self::MIN_WEIGHT)
    }
}
