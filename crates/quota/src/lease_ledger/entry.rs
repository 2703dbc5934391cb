//! The leader's record of one holder.

use admission::interface::Timestamp;

use crate::amount::Amount;
use crate::clock_drift::ClockComparison;
use crate::config::Config;
use crate::message::{BudgetDemand, LeaseRequest, RequestId};

/// The number of renewal intervals without a request after which a holder's demand no longer
/// counts. The amounts that it holds stay reserved until its lease expires.
const IDLE_AFTER_RENEWALS: f64 = 2.5;

/// A lease that the leader has granted or taken over from an earlier leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IssuedLease {
    /// The lease request for which it was granted.
    pub(super) request: RequestId,
    /// What is leased of each budget, in the order of the leader's configuration.
    pub(super) amounts: Vec<Amount>,
    /// The time by the leader's clock at which the holder is certain to regard the lease as
    /// expired, given the bound on clock drift.
    pub(super) expires: Timestamp,
}

/// The capacity and the guaranteed minimum of one budget in a holder's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ConfiguredBudget {
    pub(super) capacity: Amount,
    pub(super) guaranteed: Amount,
}

/// The leader's record of one holder. Vectors have one element per budget, in the order of the
/// leader's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LedgerEntry {
    pub(super) last_request: RequestId,
    pub(super) last_heard: Timestamp,
    pub(super) demands: Vec<Amount>,
    /// The budgets in the holder's configuration.
    pub(super) budgets: Vec<ConfiguredBudget>,
    /// The leases that the holder may be using: the one that it reported, and the one that was
    /// granted in answer and may still be in transit.
    pub(super) leases: Vec<IssuedLease>,
    pub(super) clock: ClockComparison,
    /// The holder has returned its lease. The entry is kept so that a delayed earlier request of
    /// the same holder is recognized.
    pub(super) has_left: bool,
}

impl LedgerEntry {
    /// The entry for a holder whose first request arrives at `now`.
    pub(super) fn new(now: Timestamp, first_request: RequestId) -> Self {
        LedgerEntry {
            last_request: first_request,
            last_heard: now,
            demands: Vec::new(),
            budgets: Vec::new(),
            leases: Vec::new(),
            clock: ClockComparison::default(),
            has_left: false,
        }
    }

    /// Records a request and what it reports of each budget, and drops the leases that the holder
    /// can no longer use.
    pub(super) fn record_request(
        &mut self,
        now: Timestamp,
        request: &LeaseRequest,
        reported: &[BudgetDemand],
        config: &Config,
    ) {
        debug_assert!(
            request.request >= self.last_request,
            "a holder's request numbers never decrease"
        );
        self.last_request = request.request;
        self.last_heard = now;
        self.has_left = request.leaving;
        self.clock.observe(now, request, config);
        self.demands = reported
            .iter()
            .map(|budget| budget.demand.min(Amount::MAX))
            .collect();
        self.budgets = reported
            .iter()
            .map(|budget| ConfiguredBudget {
                capacity: budget.capacity.min(Amount::MAX),
                guaranteed: budget.guaranteed,
            })
            .collect();
        // From now on the holder accepts only the grant that answers this request, so every lease
        // but the one that it reported is void.
        self.leases
            .retain(|lease| now < lease.expires && Some(lease.request) == request.held_lease);
        if request.leaving {
            self.leases.clear();
        }
    }

    /// The largest amount of a budget that the holder may be using at `now`.
    pub(super) fn reserved(&self, now: Timestamp, budget: usize) -> Amount {
        let in_force = self.leases.iter().filter(|lease| now < lease.expires);
        in_force
            .map(|lease| lease.amounts[budget])
            .max()
            .unwrap_or(Amount::ZERO)
    }

    /// The amount of a budget in the latest lease, or zero if there is none.
    pub(super) fn last_granted(&self, budget: usize) -> Amount {
        self.leases
            .last()
            .map_or(Amount::ZERO, |lease| lease.amounts[budget])
    }

    /// Whether the holder's configuration counts: it sent a request within one lease duration and
    /// has not left.
    pub(super) fn has_current_config(&self, now: Timestamp, config: &Config) -> bool {
        now - self.last_heard < config.lease_duration && !self.has_left
    }

    /// Whether the holder's demand counts: it sent a request recently, has not left, and its clock
    /// is within the drift bound.
    pub(super) fn is_active(&self, now: Timestamp, config: &Config) -> bool {
        let requested_recently = now - self.last_heard < config.renewals(IDLE_AFTER_RENEWALS);
        requested_recently && !self.has_left && !self.clock.exceeds_bound()
    }
}
