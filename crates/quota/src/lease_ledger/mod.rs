//! The leader's ledger: what each holder may hold at most, and how much is left to lease to others.

mod entry;

use std::collections::{BTreeMap, BTreeSet};

use admission::interface::{TimeDelta, Timestamp};
use membership::Name;

use crate::amount::Amount;
use crate::config::{Budget, Config};
use crate::max_min::max_min_fair;
use crate::message::{BudgetDemand, HolderId, LeaseRequest, RequestId};

use entry::{IssuedLease, LedgerEntry, StatedBudget};

/// From one grant to the next, a holder's part falls to this fraction at most, so that a demand that comes and goes moves
/// the parts of others slowly.
const MAX_FALL_DIVISOR: u64 = 2;
/// A holder is forgotten after so many lease durations without a request.
const FORGET_AFTER_LEASES: f64 = 2.0;
/// The most holders, as a multiple of the gateways that may run: a restarted gateway is another holder.
const HOLDERS_PER_GATEWAY: usize = 2;

/// Whether the ledger has every lease that is in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Coverage {
    Complete,
    /// Leases of an earlier leader may be in force beside those in the ledger.
    Partial,
}

/// What a holder has of one budget, as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The holder.
    pub holder: HolderId,
    /// What it last asked for, a second.
    pub demand: Amount,
    /// The most that it may hold.
    pub reserved: Amount,
    /// When that is over; none where it has no lease.
    pub expires: Option<Timestamp>,
    /// Its file says otherwise of the budget than the leader's.
    pub config_differs: bool,
}

/// A gateway whose file says otherwise of a budget than the leader's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct DifferingBudget {
    /// The gateway.
    pub gateway: Name,
    /// The budget's index in the leader's configuration.
    pub budget: usize,
}

/// The leases of all holders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    entries: BTreeMap<HolderId, LedgerEntry>,
}

impl LeaseLedger {
    /// Records a request and what is leased for it, by budget; none where it is not to be answered: it came after a later
    /// one, it returns a lease, or there are too many holders.
    ///
    /// Before `complete_from`, leases of an earlier leader may be in force that are not in the ledger. Until then no part
    /// grows: a holder is granted at most what it says it holds.
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
            None => self.entries.len() < HOLDERS_PER_GATEWAY * config.max_gateways,
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

    /// Takes over the lease that a holder says it has of an earlier leader, within what can be leased.
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

    /// The capacity of a budget that counts: the least of the leader's file and of the other voters' files.
    fn capacity_in_force(&self, now: Timestamp, budget: usize, config: &Config) -> Amount {
        self.entries
            .iter()
            .filter(|(holder, entry)| {
                config.is_voter(&holder.name) && entry.is_current(now, config)
            })
            .map(|(_, entry)| entry.stated[budget].capacity)
            .fold(config.budgets[budget].capacity, Amount::min)
    }

    /// What all leases of a budget may sum to. Guaranteed minimums need no lease; where a holder's file states a larger one
    /// than the leader's, the excess is taken off here.
    fn leasable(&self, now: Timestamp, budget: usize, config: &Config) -> Amount {
        let guaranteed = config.budgets[budget].guaranteed;
        let capacity = self.capacity_in_force(now, budget, config);
        let excess: Amount = self
            .entries
            .values()
            .filter(|entry| entry.is_current(now, config))
            .map(|entry| entry.stated[budget].guaranteed.saturating_sub(guaranteed))
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
        // Where the capacity shrank, parts fall at once.
        let capacity_shrank = reserved_by_others + last_granted > leasable;
        let lower_bound = if capacity_shrank {
            Amount::ZERO
        } else {
            Amount(last_granted.0 / MAX_FALL_DIVISOR)
        };
        let amount = self
            .fair_part(now, holder, budget, leasable, config)
            .max(lower_bound)
            .min(upper_bound);
        debug_assert!(
            amount == Amount::ZERO || reserved_by_others + amount <= leasable,
            "all leases of a budget sum to at most what can be leased of it"
        );
        amount
    }

    /// The holder's part of a budget by the demands of all active holders.
    fn fair_part(
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
        let parts = max_min_fair(leasable, &demands);
        active
            .iter()
            .position(|(other, _)| *other == holder)
            .map_or(Amount::ZERO, |index| parts[index])
    }

    /// Budgets of which current holders' files say otherwise than the leader's.
    #[must_use]
    pub fn differing_budgets(&self, now: Timestamp, config: &Config) -> BTreeSet<DifferingBudget> {
        let mut differing = BTreeSet::new();
        for (holder, entry) in &self.entries {
            if !entry.is_current(now, config) {
                continue;
            }
            for budget in 0..config.budgets.len() {
                if entry.stated[budget] != stated_by(config, budget) {
                    differing.insert(DifferingBudget {
                        gateway: holder.name.clone(),
                        budget,
                    });
                }
            }
        }
        differing
    }

    /// Gateways whose clocks drift further than allowed. They are leased nothing.
    pub fn drifting_gateways(&self) -> impl Iterator<Item = &Name> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.clock.exceeds_bound() && !entry.left)
            .map(|(holder, _)| &holder.name)
    }

    /// What each holder has of a budget.
    #[must_use]
    pub fn holdings(&self, now: Timestamp, budget: usize, config: &Config) -> Vec<Holding> {
        let own_statement = stated_by(config, budget);
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.left)
            .map(|(holder, entry)| Holding {
                holder: holder.clone(),
                demand: entry.demands[budget],
                reserved: entry.reserved(now, budget),
                expires: entry.leases.iter().map(|lease| lease.expires).max(),
                config_differs: entry.stated[budget] != own_statement,
            })
            .collect()
    }

    /// Carries what is known over to changed budgets. Of a new budget nothing is demanded or leased, and it counts as
    /// stated alike.
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
            entry.stated = old_indexes
                .iter()
                .enumerate()
                .map(|(budget, index)| match index {
                    Some(index) => entry.stated[*index],
                    None => stated_by(new, budget),
                })
                .collect();
            for lease in &mut entry.leases {
                lease.amounts = carry_over(&lease.amounts);
            }
        }
    }

    /// Checks that what is known of each holder covers each budget.
    ///
    /// # Panics
    /// It does not.
    pub fn check_invariants(&self, config: &Config) {
        let budgets = config.budgets.len();
        assert!(
            self.entries.len() <= HOLDERS_PER_GATEWAY * config.max_gateways,
            "the ledger is bounded"
        );
        for entry in self.entries.values() {
            assert_eq!(entry.demands.len(), budgets, "a demand for each budget");
            assert_eq!(entry.stated.len(), budgets, "a statement of each budget");
            for lease in &entry.leases {
                assert_eq!(lease.amounts.len(), budgets, "an amount for each budget");
            }
        }
    }
}

fn stated_by(config: &Config, budget: usize) -> StatedBudget {
    let budget = &config.budgets[budget];
    StatedBudget {
        capacity: budget.capacity,
        guaranteed: budget.guaranteed,
    }
}

/// What a request reports of each budget, by the leader's order. Of a budget that the holder's file lacks, nothing is
/// demanded or held, and it counts as stated alike.
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
