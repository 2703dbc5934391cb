//! The leader's ledger: how much of each budget every holder may be using, and how much is left to
//! lease.

mod entry;

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::config::{Budget, Config};
use crate::max_min::max_min_fair;
use crate::message::{BudgetDemand, HolderId, LeaseRequest, RequestId};

use entry::{ConfiguredBudget, IssuedLease, LedgerEntry};

/// From one grant to the next, a holder's share shrinks at most to its previous value divided by
/// this number, so that a fluctuating demand changes the other holders' shares slowly.
const MAX_DECREASE_DIVISOR: u64 = 2;
/// The number of lease durations without a request after which a holder is removed.
const FORGET_AFTER_LEASES: f64 = 2.0;
/// The largest number of ledger entries per gateway that may run. There can be more than one,
/// because a restarted gateway is a new holder.
const MAX_HOLDERS_PER_GATEWAY: usize = 2;

/// Whether the ledger contains every lease that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    /// The ledger contains every lease that is in force.
    Complete,
    /// Leases of an earlier leader may be in force that the ledger does not contain.
    Partial,
}

/// The state of one budget at one holder, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The holder.
    pub holder: HolderId,
    /// The demand that it last reported, per second.
    pub demand: Amount,
    /// The largest amount per second that it may be using.
    pub reserved: Amount,
    /// The time at which the holder's last lease expires; `None` if it has no lease.
    pub expires: Option<Timestamp>,
    /// Whether the holder's configuration of the budget differs from the leader's.
    pub config_differs: bool,
}

/// A gateway whose configuration of a budget differs from the leader's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DifferingBudget {
    /// The name of the gateway.
    pub gateway: Name,
    /// The index of the budget in the leader's configuration.
    pub budget: usize,
}

/// The leases of all holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    entries: BTreeMap<HolderId, LedgerEntry>,
}

impl LeaseLedger {
    /// Records a request and returns what is leased in answer, by budget. Returns `None` if the
    /// request must not be answered: it is older than one already recorded, it returns a lease, or
    /// the ledger is full.
    ///
    /// Before `complete_from`, leases of an earlier leader may be in force that the ledger does not
    /// contain. Until then no share grows: a holder is granted at most what it reported to hold.
    pub fn grant(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
        complete_from: Timestamp,
        config: &Config,
    ) -> Option<Vec<Amount>> {
        self.forget_silent_holders(now, config);
        if !self.accepts(holder, request, config) {
            return None;
        }
        let is_new = !self.entries.contains_key(holder);
        let reported = reported_budgets(request, config);
        self.record_request(now, holder, request, &reported, config);
        if request.leaving {
            return None;
        }
        let coverage = if now >= complete_from {
            Coverage::Complete
        } else {
            Coverage::Partial
        };
        if is_new && coverage == Coverage::Partial {
            self.adopt_lease(now, holder, request, &reported, config);
        }
        let amounts: Vec<Amount> = (0..config.budgets.len())
            .map(|budget| self.amount_to_grant(now, holder, budget, coverage, config))
            .collect();
        self.issue(now, holder, request.request, amounts.clone(), config);
        Some(amounts)
    }

    fn forget_silent_holders(&mut self, now: Timestamp, config: &Config) {
        let silence = -FORGET_AFTER_LEASES * config.lease_duration.secs();
        let forget_before = now + TimeDelta::from_secs(silence);
        self.entries
            .retain(|_, entry| entry.last_heard > forget_before);
    }

    fn accepts(&self, holder: &HolderId, request: &LeaseRequest, config: &Config) -> bool {
        match self.entries.get(holder) {
            Some(entry) => request.request > entry.last_request,
            None => self.entries.len() < MAX_HOLDERS_PER_GATEWAY * config.max_gateways,
        }
    }

    fn record_request(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
        reported: &[BudgetDemand],
        config: &Config,
    ) {
        let entry = self
            .entries
            .entry(holder.clone())
            .or_insert_with(|| LedgerEntry::new(now, request.request));
        entry.record_request(now, request, reported, config);
    }

    /// Records the lease that a holder reports to have from an earlier leader, limited to what is
    /// available.
    fn adopt_lease(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: &LeaseRequest,
        reported: &[BudgetDemand],
        config: &Config,
    ) {
        let amounts = reported
            .iter()
            .enumerate()
            .map(|(budget, reported)| {
                let reserved_by_others = self.reserved_by_others(now, holder, budget);
                let available = self
                    .leasable(now, budget, config)
                    .saturating_sub(reserved_by_others);
                reported.held.min(available)
            })
            .collect();
        let adopted_request = request.held_lease.unwrap_or_default();
        self.issue(now, holder, adopted_request, amounts, config);
    }

    fn issue(
        &mut self,
        now: Timestamp,
        holder: &HolderId,
        request: RequestId,
        amounts: Vec<Amount>,
        config: &Config,
    ) {
        if let Some(entry) = self.entries.get_mut(holder) {
            entry.leases.push(IssuedLease {
                request,
                amounts,
                expires: now + config.lease_duration,
            });
        }
    }

    /// The capacity of a budget in force: the smallest among the leader's and the other voters'
    /// configurations.
    fn capacity_in_force(&self, now: Timestamp, budget: usize, config: &Config) -> Amount {
        self.entries
            .iter()
            .filter(|(holder, entry)| {
                config.is_voter(&holder.name) && entry.has_current_config(now, config)
            })
            .map(|(_, entry)| entry.budgets[budget].capacity)
            .fold(config.budgets[budget].capacity, Amount::min)
    }

    /// The largest sum of all leases of a budget. Guaranteed minimums are excluded, since they need
    /// no lease. If a holder is configured with a larger guaranteed minimum than the leader, the
    /// excess is subtracted too.
    fn leasable(&self, now: Timestamp, budget: usize, config: &Config) -> Amount {
        let guaranteed = config.budgets[budget].guaranteed;
        let capacity = self.capacity_in_force(now, budget, config);
        let excess: Amount = self
            .entries
            .values()
            .filter(|entry| entry.has_current_config(now, config))
            .map(|entry| entry.budgets[budget].guaranteed.saturating_sub(guaranteed))
            .sum();
        config.leasable(capacity, guaranteed).saturating_sub(excess)
    }

    fn reserved_by_others(&self, now: Timestamp, holder: &HolderId, budget: usize) -> Amount {
        self.entries
            .iter()
            .filter(|(other, _)| *other != holder)
            .map(|(_, entry)| entry.reserved(now, budget))
            .sum()
    }

    fn amount_to_grant(
        &self,
        now: Timestamp,
        holder: &HolderId,
        budget: usize,
        coverage: Coverage,
        config: &Config,
    ) -> Amount {
        let entry = &self.entries[holder];
        if entry.clock.exceeds_bound() {
            return Amount::ZERO;
        }
        let leasable = self.leasable(now, budget, config);
        let reserved_by_others = self.reserved_by_others(now, holder, budget);
        let available = leasable.saturating_sub(reserved_by_others);
        let upper_bound = match coverage {
            Coverage::Complete => available,
            Coverage::Partial => available.min(entry.reserved(now, budget)),
        };
        let last_granted = entry.last_granted(budget);
        // If the capacity shrank, a share may fall by any amount at once.
        let capacity_shrank = reserved_by_others + last_granted > leasable;
        let lower_bound = if capacity_shrank {
            Amount::ZERO
        } else {
            Amount(last_granted.0 / MAX_DECREASE_DIVISOR)
        };
        let amount = self
            .fair_share(now, holder, budget, leasable, config)
            .max(lower_bound)
            .min(upper_bound);
        debug_assert!(
            amount == Amount::ZERO || reserved_by_others + amount <= leasable,
            "the leases of a budget never sum to more than its leasable amount"
        );
        amount
    }

    /// The holder's max-min fair share of a budget, given the demands of all active holders.
    fn fair_share(
        &self,
        now: Timestamp,
        holder: &HolderId,
        budget: usize,
        leasable: Amount,
        config: &Config,
    ) -> Amount {
        let active: Vec<(&HolderId, &LedgerEntry)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.is_active(now, config))
            .collect();
        let demands: Vec<Amount> = active
            .iter()
            .map(|(_, entry)| entry.demands[budget])
            .collect();
        let shares = max_min_fair(leasable, &demands);
        active
            .iter()
            .position(|(other, _)| *other == holder)
            .map_or(Amount::ZERO, |index| shares[index])
    }

    /// The budgets for which the configuration of a current holder differs from the leader's.
    #[must_use]
    pub fn differing_budgets(&self, now: Timestamp, config: &Config) -> BTreeSet<DifferingBudget> {
        let mut differing = BTreeSet::new();
        for (holder, entry) in &self.entries {
            if !entry.has_current_config(now, config) {
                continue;
            }
            for budget in 0..config.budgets.len() {
                if entry.budgets[budget] != configured_budget(config, budget) {
                    differing.insert(DifferingBudget {
                        gateway: holder.name.clone(),
                        budget,
                    });
                }
            }
        }
        differing
    }

    /// The gateways whose clocks drift further than allowed. They are leased nothing.
    pub fn drifting_gateways(&self) -> impl Iterator<Item = &Name> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.clock.exceeds_bound() && !entry.has_left)
            .map(|(holder, _)| &holder.name)
    }

    /// The state of a budget at every holder that has not left.
    #[must_use]
    pub fn holdings(&self, now: Timestamp, budget: usize, config: &Config) -> Vec<Holding> {
        let own_budget = configured_budget(config, budget);
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.has_left)
            .map(|(holder, entry)| Holding {
                holder: holder.clone(),
                demand: entry.demands[budget],
                reserved: entry.reserved(now, budget),
                expires: entry.leases.iter().map(|lease| lease.expires).max(),
                config_differs: entry.budgets[budget] != own_budget,
            })
            .collect()
    }

    /// Carries the ledger over to changed budgets. For a new budget nothing is demanded or leased
    /// yet, and every holder is assumed to have the same configuration as the leader.
    pub fn reconfigure(&mut self, old: &Config, new: &Config) {
        let old_indexes = new.indexes_in(old);
        let carry_over = |amounts: &[Amount]| -> Vec<Amount> {
            old_indexes
                .iter()
                .map(|index| index.map_or(Amount::ZERO, |index| amounts[index]))
                .collect()
        };
        for entry in self.entries.values_mut() {
            entry.demands = carry_over(&entry.demands);
            entry.budgets = old_indexes
                .iter()
                .enumerate()
                .map(|(budget, index)| match index {
                    Some(index) => entry.budgets[*index],
                    None => configured_budget(new, budget),
                })
                .collect();
            for lease in &mut entry.leases {
                lease.amounts = carry_over(&lease.amounts);
            }
        }
    }

    /// Checks that the ledger is bounded and that every entry covers all budgets.
    ///
    /// # Panics
    /// Panics if either does not hold.
    pub fn check_invariants(&self, config: &Config) {
        let budgets = config.budgets.len();
        assert!(
            self.entries.len() <= MAX_HOLDERS_PER_GATEWAY * config.max_gateways,
            "the ledger holds at most MAX_HOLDERS_PER_GATEWAY entries per gateway"
        );
        for entry in self.entries.values() {
            assert_eq!(entry.demands.len(), budgets, "a demand for each budget");
            assert_eq!(
                entry.budgets.len(),
                budgets,
                "a configured budget for each budget"
            );
            for lease in &entry.leases {
                assert_eq!(lease.amounts.len(), budgets, "an amount for each budget");
            }
        }
    }
}

/// The capacity and the guaranteed minimum of a budget in `config`.
fn configured_budget(config: &Config, budget: usize) -> ConfiguredBudget {
    let budget = &config.budgets[budget];
    ConfiguredBudget {
        capacity: budget.capacity,
        guaranteed: budget.guaranteed,
    }
}

/// What a request reports of each budget, in the order of the leader's configuration. For a budget
/// that is missing from the request nothing is demanded or held, and the holder is assumed to have
/// the same configuration as the leader.
fn reported_budgets(request: &LeaseRequest, config: &Config) -> Vec<BudgetDemand> {
    let reported = |budget: &Budget| {
        let key = budget.key();
        request
            .budgets
            .iter()
            .find(|reported| reported.budget == key)
            .copied()
            .unwrap_or(BudgetDemand {
                capacity: budget.capacity,
                guaranteed: budget.guaranteed,
                ..BudgetDemand::default()
            })
    };
    config.budgets.iter().map(reported).collect()
}
