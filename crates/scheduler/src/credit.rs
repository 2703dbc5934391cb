//! The credit account of one tenant or sub-queue: what its budget covers, and what it borrowed
//! beyond that.

use admission::interface::{TimeDelta, Timestamp};
use quota::TokenBucket;

use crate::config::CapacityShare;

/// The clock by which budgets refill. It runs faster than real time while this gateway carries more
/// than an even share of the traffic, for example because another gateway is down. In that case a
/// larger part of the budget of all gateways is needed here, and statements must not wait for lack
/// of it.
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

    /// `traffic_share` is this gateway's traffic as a multiple of an even share among all gateways.
    pub(crate) fn set_speed(&mut self, traffic_share: f64) {
        self.speed = traffic_share.max(1.0);
    }

    /// The time of the last [`BudgetClock::advance`].
    pub(crate) fn now(&self) -> Timestamp {
        self.now
    }
}

/// What a charge was paid from. A later correction applies to the same source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Funding {
    /// The account's own budget.
    Budget,
    /// Unused capacity of others.
    Borrowed,
}

/// A token bucket of predicted CPU seconds that refills at the rate of the budget, and a virtual
/// time that measures what was borrowed beyond it.
///
/// A statement that costs more than the bucket can hold is covered when the bucket is full, and
/// leaves a debt. Borrowing does not create a debt: it only advances the virtual time, and the
/// account with the lowest virtual time borrows next.
#[derive(Clone, Debug)]
pub(crate) struct CreditAccount {
    share: CapacityShare,
    bucket: TokenBucket,
    virtual_time: f64,
    spent: f64,
}

impl CreditAccount {
    /// The smallest effective weight. With a lower one, an account would wait forever behind
    /// others.
    const MIN_WEIGHT: f64 = 1e-6;
    /// Added to the time at which a budget covers a cost, in seconds, so that rounding to the
    /// resolution of the clock does not leave the budget just short of it.
    const CLOCK_RESOLUTION_S: f64 = 1e-6;

    /// Creates an account with a full bucket.
    pub(crate) fn new(clock: BudgetClock, share: CapacityShare, burst: TimeDelta) -> Self {
        CreditAccount {
            share,
            bucket: TokenBucket::full(clock.secs, share.budget, burst.secs()),
            virtual_time: 0.0,
            spent: 0.0,
        }
    }

    /// Sets a new share. Savings, debts and borrowing are kept.
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

    /// Sets a new weight and burst for an account with a leased budget. Savings and debts are kept.
    pub(crate) fn reconfigure_leased(&mut self, clock: BudgetClock, weight: f64, burst: TimeDelta) {
        self.bucket.refill(clock.secs);
        self.bucket.set_burst(burst.secs());
        self.share.weight = weight;
    }

    /// Sets a new budget, which is this gateway's lease of the budget of all gateways. Savings are
    /// cut to the new capacity and do not grow with it; debts are kept.
    pub(crate) fn set_leased_budget(&mut self, clock: BudgetClock, budget: f64) {
        self.bucket.refill(clock.secs);
        self.bucket.set_rate(budget);
        self.share.budget = budget;
    }

    /// Empties the bucket, because up to now the lease of another gateway covered the same savings.
    pub(crate) fn empty(&mut self, clock: BudgetClock) {
        self.bucket = TokenBucket::empty(clock.secs, self.bucket.rate(), self.bucket.burst_s());
    }

    /// Whether the budget covers a statement of this cost: the bucket holds the cost or is full.
    /// Thus the debts of a few expensive statements do not delay many cheap ones, and a statement
    /// that costs more than the bucket can hold is still released.
    pub(crate) fn covers(&mut self, clock: BudgetClock, cpu: f64) -> bool {
        self.bucket.refill(clock.secs);
        self.bucket.covers(cpu)
    }

    /// The time at which the budget will cover this cost, or `None` if there is no budget.
    pub(crate) fn covered_at(&mut self, clock: BudgetClock, cpu: f64) -> Option<Timestamp> {
        self.bucket.refill(clock.secs);
        let wait_s = self.bucket.secs_until_covered(cpu)?;
        Some(clock.now + TimeDelta::from_secs(wait_s / clock.speed + Self::CLOCK_RESOLUTION_S))
    }

    /// The CPU seconds in the bucket; a negative value is a debt.
    pub(crate) fn balance(&mut self, clock: BudgetClock) -> f64 {
        self.bucket.refill(clock.secs);
        self.bucket.level()
    }

    /// The CPU seconds borrowed so far, divided by the weight.
    pub(crate) fn virtual_time(&self) -> f64 {
        self.virtual_time
    }

    /// The CPU seconds paid from the budget since the start.
    pub(crate) fn spent(&self) -> f64 {
        self.spent
    }

    pub(crate) fn share(&self) -> CapacityShare {
        self.share
    }

    /// Raises the virtual time of an account that becomes active to at least `virtual_time`, the
    /// one of its siblings. Capacity that it did not borrow while it was idle must not give it
    /// precedence.
    pub(crate) fn activate(&mut self, virtual_time: f64) {
        self.virtual_time = self.virtual_time.max(virtual_time);
    }

    /// Charges a statement to the given source.
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

    /// Adds `cpu` CPU seconds to an earlier charge; a negative value refunds.
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
