//! The configuration of the budgets and of the lease protocol, with its validation.

use admission::interface::TimeDelta;
use membership::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::amount::Amount;
use crate::fault_injection::FaultInjection;

/// The largest number of budgets. A lease request for all of them fits into one datagram.
pub const MAX_BUDGETS: usize = 24;
/// The largest number of voters.
pub const MAX_VOTERS: usize = 9;

/// The shortest term, in renewal intervals. It leaves time to repeat a vote renewal that was lost.
const MIN_RENEWALS_PER_TERM: f64 = 4.0;
/// The shortest time, in renewal intervals, by which a lease must outlast a term, so that a new
/// leader is found before the lease expires.
const MIN_RENEWALS_AFTER_TERM: f64 = 2.0;

/// The kind of resource use that a budget limits.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// Predicted CPU seconds per second of the named tenant.
    Tenant(String),
    /// Retries per second of the named query class.
    Retries(String),
    /// Probe attempts per second at ejected engines.
    OutlierProbes,
    /// The fraction of the capacity of each engine in slow start, where 1 is the full capacity.
    SlowStart,
}

/// Identifies a budget in messages, independently of the order of the budgets in each gateway's
/// configuration.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BudgetKey(pub u32);

/// A spending rate that all gateways share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// The kind of resource use that it limits.
    pub kind: BudgetKind,
    /// What all gateways together may spend per second.
    pub capacity: Amount,
    /// The guaranteed minimum: what each gateway may spend per second without a lease.
    pub guaranteed: Amount,
}

impl Budget {
    /// The name that operators see. It is part of the protocol, because [`Budget::key`] is derived
    /// from it.
    #[must_use]
    pub fn name(&self) -> String {
        match &self.kind {
            BudgetKind::Tenant(tenant) => format!("member.{tenant}"),
            BudgetKind::Retries(class) => format!("relays.{class}"),
            BudgetKind::OutlierProbes => "trials".to_owned(),
            BudgetKind::SlowStart => "cold".to_owned(),
        }
    }

    /// The unit that operators see.
    #[must_use]
    pub fn unit(&self) -> &'static str {
        match self.kind {
            BudgetKind::Tenant(_) => "cpu_s/s",
            BudgetKind::Retries(_) => "relays/s",
            BudgetKind::OutlierProbes => "trials/s",
            BudgetKind::SlowStart => "part",
        }
    }

    /// The key that identifies the budget in messages: the first four bytes of the SHA-256 hash of
    /// its name.
    #[must_use]
    pub fn key(&self) -> BudgetKey {
        let hash = Sha256::digest(self.name().as_bytes());
        BudgetKey(u32::from_le_bytes(std::array::from_fn(|index| hash[index])))
    }
}

/// The budgets, the voters and the durations of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The budgets in the order of their names. Methods identify a budget by its index here.
    pub budgets: Vec<Budget>,
    /// The gateways that elect the leader from among themselves: an odd number of them, in the
    /// order of their names.
    pub voters: Vec<Name>,
    /// The largest number of gateways that may run at once, including suspended processes. Each has
    /// its guaranteed minimum.
    pub max_gateways: usize,
    /// The duration of a lease by the leader's clock.
    pub lease_duration: TimeDelta,
    /// The duration of a vote by the voter's clock.
    pub term_duration: TimeDelta,
    /// The interval at which leases and votes are renewed.
    pub renew_interval: TimeDelta,
    /// The largest drift of any clock, fast or slow, in millionths.
    pub drift_ppm: u32,
    /// The burst time: a gateway saves at most what accrues in this time.
    pub burst: TimeDelta,
    /// The safety mechanisms that the model search disables; a gateway disables none.
    pub fault_injection: FaultInjection,
}

/// The reason why a [`Config`] is invalid.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// There is no budget, or there are more than [`MAX_BUDGETS`].
    #[error("no budget, or more than {MAX_BUDGETS}")]
    BudgetCount,
    /// Two budgets have the same name, or their names have the same key.
    #[error("{0} twice, or two names that cannot be told apart")]
    DuplicateBudget(String),
    /// The guaranteed minimums of this many gateways sum to more than the capacity of this budget.
    #[error("{0}: floors of {1} gateways are more than the whole")]
    GuaranteesExceedCapacity(String, usize),
    /// The number of voters is even or larger than [`MAX_VOTERS`], or a voter is named twice.
    #[error("none, an even number, or more than {MAX_VOTERS}: a majority of an odd few chooses")]
    Voters,
    /// The term is too short for the renewal interval.
    #[error("at least four times as long as renewing")]
    TermTooShort,
    /// The lease is too short for the term and the renewal interval.
    #[error(
        "a lease has to outlast a term and two renewals, or every change of steward leaves floors alone"
    )]
    LeaseTooShort,
}

impl Config {
    /// Checks that the budgets, the voters and the durations are valid and consistent with each
    /// other.
    ///
    /// # Errors
    /// Returns the first violation that is found.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.validate_budgets()?;
        self.validate_voters()?;
        self.validate_durations()
    }

    fn validate_budgets(&self) -> Result<(), ConfigError> {
        if self.budgets.is_empty() || self.budgets.len() > MAX_BUDGETS {
            return Err(ConfigError::BudgetCount);
        }
        for (index, budget) in self.budgets.iter().enumerate() {
            let mut earlier = self.budgets[..index].iter();
            if earlier.any(|other| other.key() == budget.key()) {
                return Err(ConfigError::DuplicateBudget(budget.name()));
            }
            if budget.guaranteed.saturating_mul(self.max_gateways) > budget.capacity {
                return Err(ConfigError::GuaranteesExceedCapacity(
                    budget.name(),
                    self.max_gateways,
                ));
            }
        }
        Ok(())
    }

    fn validate_voters(&self) -> Result<(), ConfigError> {
        let count = self.voters.len();
        let duplicate = (1..count).any(|index| self.voters[..index].contains(&self.voters[index]));
        if count.is_multiple_of(2) || count > MAX_VOTERS || duplicate {
            return Err(ConfigError::Voters);
        }
        Ok(())
    }

    fn validate_durations(&self) -> Result<(), ConfigError> {
        let renew_s = self.renew_interval.secs();
        let term_s = self.term_duration.secs();
        if term_s < MIN_RENEWALS_PER_TERM * renew_s {
            return Err(ConfigError::TermTooShort);
        }
        if self.lease_duration.secs() < term_s + MIN_RENEWALS_AFTER_TERM * renew_s {
            return Err(ConfigError::LeaseTooShort);
        }
        Ok(())
    }

    /// How long the receiver of a vote or lease may rely on it by its own clock. The granting
    /// gateway waits for the full `duration` by its own clock, so the result is short enough that
    /// the slowest allowed receiver clock reaches it before the fastest allowed granting clock
    /// reaches `duration`.
    #[must_use]
    pub fn shortened_by_drift(&self, duration: TimeDelta) -> TimeDelta {
        if self.fault_injection.ignore_drift {
            return duration;
        }
        let drift = f64::from(self.drift_ppm) / 1e6;
        TimeDelta::from_secs(duration.secs() * (1.0 - drift) / (1.0 + drift))
    }

    /// The duration of `count` renewal intervals.
    #[must_use]
    pub fn renewals(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(self.renew_interval.secs() * count)
    }

    /// The part of a capacity that can be leased: all but the guaranteed minimums of the largest
    /// number of gateways.
    #[must_use]
    pub fn leasable(&self, capacity: Amount, guaranteed: Amount) -> Amount {
        capacity.saturating_sub(guaranteed.saturating_mul(self.max_gateways))
    }

    /// The number of votes that elect a leader.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the gateway of this name is a voter, which may vote and become the leader.
    #[must_use]
    pub fn is_voter(&self, name: &Name) -> bool {
        self.voters.contains(name)
    }

    /// The index of the budget of this kind, or `None` if there is none.
    #[must_use]
    pub fn budget_index(&self, kind: &BudgetKind) -> Option<usize> {
        self.budgets.iter().position(|budget| budget.kind == *kind)
    }

    /// For each budget in order, the index of the same budget in `old`, or `None` if `old` does not
    /// contain it.
    #[must_use]
    pub fn indexes_in(&self, old: &Config) -> Vec<Option<usize>> {
        self.budgets
            .iter()
            .map(|budget| old.budget_index(&budget.kind))
            .collect()
    }
}
