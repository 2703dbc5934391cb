//! The configuration of the budgets and of the lease protocol, and its validation.

use admission::interface::TimeDelta;
use membership::Name;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use thiserror::Error;

use crate::amount::Amount;
use crate::fault_injection::FaultInjection;

/// The most budgets: a lease request for all of them fits into one datagram.
pub const MAX_BUDGETS: usize = 24;
/// The most voters.
pub const MAX_VOTERS: usize = 9;

/// A term is at least so many renewal intervals long, so that a lost renewal of votes can be repeated.
const MIN_RENEWALS_PER_TERM: f64 = 4.0;
/// A lease outlasts a term by so many renewal intervals, so that a new leader is found before it expires.
const RENEWALS_AFTER_TERM: f64 = 2.0;

/// What a budget bounds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum BudgetKind {
    /// Predicted CPU seconds a second of a tenant, by its name in the settings.
    Tenant(String),
    /// Retries a second of a query class, by its name.
    Retries(String),
    /// Probe attempts a second at ejected engines.
    OutlierProbes,
    /// The part of the capacity of each engine in slow start; the whole is 1.
    SlowStart,
}

/// Identifies a budget in messages, whatever the order of the budgets in each gateway's file.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct BudgetKey(pub u32);

/// A rate of spending that all gateways share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Budget {
    /// What it bounds.
    pub kind: BudgetKind,
    /// What all gateways together may spend a second.
    pub capacity: Amount,
    /// The part of the capacity that each gateway may spend without a lease.
    pub guaranteed: Amount,
}

impl Budget {
    /// The name that operators see. It is part of the protocol, since [`Budget::key`] derives from it.
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

    /// The key by which messages name it: the first bytes of a hash of its name.
    #[must_use]
    pub fn key(&self) -> BudgetKey {
        let hash = Sha256::digest(self.name().as_bytes());
        BudgetKey(u32::from_le_bytes(std::array::from_fn(|index| hash[index])))
    }
}

/// The budgets, who elects the leader, and the times of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// In the order of their names. Calls name a budget by its index here.
    pub budgets: Vec<Budget>,
    /// The gateways that elect the leader from among themselves: an odd number, in the order of their names.
    pub voters: Vec<Name>,
    /// The most gateways that may run at once, suspended processes among them. Each has its guaranteed minimum.
    pub max_gateways: usize,
    /// How long a lease lasts by the leader's clock.
    pub lease_duration: TimeDelta,
    /// How long a vote lasts by the voter's clock.
    pub term_duration: TimeDelta,
    /// How often leases and votes are renewed.
    pub renew_interval: TimeDelta,
    /// Clocks run fast or slow by this many millionths at most.
    pub drift_ppm: u32,
    /// What accrues in this time can be saved to be spent at once.
    pub burst: TimeDelta,
    /// Mechanisms that the model search switches off; none in a gateway.
    pub fault_injection: FaultInjection,
}

/// Why a [`Config`] cannot be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ConfigError {
    /// There is no budget, or there are more than [`MAX_BUDGETS`].
    #[error("no budget, or more than {MAX_BUDGETS}")]
    BudgetCount,
    /// Two budgets have the same name or the same key.
    #[error("{0} twice, or two names that cannot be told apart")]
    DuplicateBudget(String),
    /// The guaranteed minimums of this many gateways sum to more than this budget's capacity.
    #[error("{0}: floors of {1} gateways are more than the whole")]
    GuaranteesExceedCapacity(String, usize),
    /// The number of voters is even or more than [`MAX_VOTERS`], or a name stands twice.
    #[error("none, an even number, or more than {MAX_VOTERS}: a majority of an odd few chooses")]
    Voters,
    /// A term is too short beside the renewal interval.
    #[error("at least four times as long as renewing")]
    TermTooShort,
    /// A lease is too short beside a term.
    #[error(
        "a lease has to outlast a term and two renewals, or every change of steward leaves floors alone"
    )]
    LeaseTooShort,
}

impl Config {
    /// Checks that the parts agree with each other.
    ///
    /// # Errors
    /// The first part that does not.
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
        if self.lease_duration.secs() < term_s + RENEWALS_AFTER_TERM * renew_s {
            return Err(ConfigError::LeaseTooShort);
        }
        Ok(())
    }

    /// How long whoever received a promise may rely on it, by its own clock: the giver counts `duration` in full, and the
    /// fastest clock of a giver must not be over before the slowest clock of a receiver.
    #[must_use]
    pub fn shortened_by_drift(&self, duration: TimeDelta) -> TimeDelta {
        if self.fault_injection.ignore_drift {
            return duration;
        }
        let drift = f64::from(self.drift_ppm) / 1e6;
        TimeDelta::from_secs(duration.secs() * (1.0 - drift) / (1.0 + drift))
    }

    /// The time of so many renewal intervals.
    #[must_use]
    pub fn renewals(&self, count: f64) -> TimeDelta {
        TimeDelta::from_secs(self.renew_interval.secs() * count)
    }

    /// What can be leased of a capacity: all but the guaranteed minimum of every gateway that may run.
    #[must_use]
    pub fn leasable(&self, capacity: Amount, guaranteed: Amount) -> Amount {
        capacity.saturating_sub(guaranteed.saturating_mul(self.max_gateways))
    }

    /// Votes that elect a leader.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether a gateway of this name elects the leader, and may be it.
    #[must_use]
    pub fn is_voter(&self, name: &Name) -> bool {
        self.voters.contains(name)
    }

    /// The index of the budget of this kind.
    #[must_use]
    pub fn budget_index(&self, kind: &BudgetKind) -> Option<usize> {
        self.budgets.iter().position(|budget| budget.kind == *kind)
    }

    /// For each budget here, in order, the index of the same budget in `old`.
    #[must_use]
    pub fn indexes_in(&self, old: &Config) -> Vec<Option<usize>> {
        self.budgets
            .iter()
            .map(|budget| old.budget_index(&budget.kind))
            .collect()
    }
}
