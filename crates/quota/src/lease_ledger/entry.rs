//! What the leader's ledger holds of one holder.

use admission::interface::Timestamp;

use crate::amount::Amount;
use crate::clock_drift::ClockComparison;
use crate::config::Config;
use crate::message::{BudgetDemand, LeaseRequest, RequestId};

/// A holder that sent no request for so many renewal intervals has no demand. What it holds stays reserved until its lease
/// expires.
const IDLE_AFTER_RENEWALS: f64 = 2.5;
/// A lease as the leader counts it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IssuedLease {
    pub(super) request: RequestId,
    pub(super) amounts: Vec<Amount>,
    /// By the leader's clock: the holder's lease is over by then at the latest.
    pub(super) expires: Timestamp,
}

/// What a holder's file says of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct StatedBudget {
    pub(super) capacity: Amount,
    pub(super) guaranteed: Amount,
}

/// What the leader knows of one holder. Vectors are by the leader's own order of budgets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct LedgerEntry {
    pub(super) last_request: RequestId,
    pub(super) last_heard: Timestamp,
    pub(super) demands: Vec<Amount>,
    pub(super) stated: Vec<StatedBudget>,
    /// Leases that the holder may spend by: the one that it says it has, and the one on its way to it.
    pub(super) leases: Vec<IssuedLease>,
    pub(super) clock: ClockComparison,
    /// It returned its lease. The entry stays so that an earlier request of it that comes late is recognised.
    pub(super) left: bool,
}

impl LedgerEntry {
    /// A holder that sends its first request.
    pub(super) fn new(now: Timestamp, first_request: RequestId) -> Self {
        LedgerEntry {
            last_request: first_request,
            last_heard: now,
            demands: Vec::new(),
            stated: Vec::new(),
            leases: Vec::new(),
            clock: ClockComparison::default(),
            left: false,
        }
    }

    /// Takes in a request and what it reports of each budget.
    pub(super) fn record_request(
        &mut self,
        now: Timestamp,
        request: &LeaseRequest,
        reported: &[BudgetDemand],
        config: &Config,
    ) {
        debug_assert!(
            request.request >= self.last_request,
            "the numbers of a holder's requests rise"
        );
        self.last_request = request.request;
        self.last_heard = now;
        self.left = request.leaving;
        self.clock.observe(now, request, config);
        self.demands = reported
            .iter()
            .map(|budget| budget.demand.min(Amount::MAX))
            .collect();
        self.stated = reported
            .iter()
            .map(|budget| StatedBudget {
                capacity: budget.capacity.min(Amount::MAX),
                guaranteed: budget.guaranteed,
            })
            .collect();
        // The holder accepts no grant any more but one for this request: all but the lease that it has are void.
        self.leases
            .retain(|lease| now < lease.expires && Some(lease.request) == request.held_lease);
        if request.leaving {
            self.leases.clear();
        }
    }

    /// The most that the holder may hold of a budget.
    pub(super) fn reserved(&self, now: Timestamp, budget: usize) -> Amount {
        let in_force = self.leases.iter().filter(|lease| now < lease.expires);
        in_force
            .map(|lease| lease.amounts[budget])
            .max()
            .unwrap_or(Amount::ZERO)
    }

    pub(super) fn last_granted(&self, budget: usize) -> Amount {
        self.leases
            .last()
            .map_or(Amount::ZERO, |lease| lease.amounts[budget])
    }

    /// What it stated of its budgets counts.
    pub(super) fn is_current(&self, now: Timestamp, config: &Config) -> bool {
        now - self.last_heard < config.lease_duration && !self.left
    }

    /// Its demand counts.
    pub(super) fn is_active(&self, now: Timestamp, config: &Config) -> bool {
        let asked_lately = now - self.last_heard < config.renewals(IDLE_AFTER_RENEWALS);
        asked_lately && !self.left && !self.clock.exceeds_bound()
    }
}
