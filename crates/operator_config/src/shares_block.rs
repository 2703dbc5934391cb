//! The block `shares`: quotas of the whole fleet, which gateways divide among themselves by leases.

use std::collections::BTreeMap;

use admission::interface::TimeDelta;
use membership::Name;
use quota::{Amount, Budget, BudgetKind, Config, ConfigError, FaultInjection};
use serde::Deserialize;

use crate::block::{BlockPath, enabled_by_default};
use crate::error::FieldError;

/// The default of the part of each capacity that is guaranteed to the gateways.
const GUARANTEED_PART: f64 = 0.2;
const LEASE: TimeDelta = TimeDelta::from_micros(6_000_000);
const TERM: TimeDelta = TimeDelta::from_micros(2_000_000);
const RENEWAL: TimeDelta = TimeDelta::from_micros(500_000);
const BURST: TimeDelta = TimeDelta::from_micros(2_000_000);
/// The default of the relative rate error that is tolerated in the clocks of gateways.
const DRIFT: f64 = 0.01;
/// The bounds of all durations in the block.
const MIN_MS: f64 = 20.0;
const MAX_MS: f64 = 600_000.0;

/// The block as it stands in the file, before validation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SharesBlock {
    #[serde(default = "enabled_by_default")]
    enabled: bool,
    voters: Vec<String>,
    most_gateways: f64,
    floor_part: Option<f64>,
    lease_ms: Option<f64>,
    term_ms: Option<f64>,
    renew_ms: Option<f64>,
    drift: Option<f64>,
    burst_ms: Option<f64>,
    #[serde(default = "enabled_by_default")]
    members: bool,
    #[serde(default)]
    relays_per_s: BTreeMap<String, f64>,
    trials_per_s: Option<f64>,
    #[serde(default)]
    cold: bool,
}

impl SharesBlock {
    /// Checks the block. Returns `None` if it is disabled. The budgets of the tenants of
    /// `scheduler` are divided too, if it is given.
    ///
    /// # Errors
    /// A field has an invalid value, or one in conflict with another field.
    pub(crate) fn check(
        self,
        scheduler: Option<&scheduler::Config>,
    ) -> Result<Option<Config>, FieldError> {
        let block = BlockPath::new(&["shares"]);
        let millis = |field, value, default| block.millis(field, value, default, MIN_MS..=MAX_MS);
        let max_gateways =
            block.number("most_gateways", Some(self.most_gateways), 1.0, 1.0..=4096.0)? as usize;
        let config = Config {
            budgets: self.budgets(&block, max_gateways, scheduler)?,
            voters: self.voters(&block)?,
            max_gateways,
            lease_duration: millis("lease_ms", self.lease_ms, LEASE)?,
            term_duration: millis("term_ms", self.term_ms, TERM)?,
            renew_interval: millis("renew_ms", self.renew_ms, RENEWAL)?,
            drift_ppm: (block.number("drift", self.drift, DRIFT, 0.0..=0.2)? * 1e6) as u32,
            burst: millis("burst_ms", self.burst_ms, BURST)?,
            fault_injection: FaultInjection::default(),
        };
        config.validate().map_err(|error| located(&block, &error))?;
        Ok(self.enabled.then_some(config))
    }

    /// The budgets to divide, in the order of their names.
    fn budgets(
        &self,
        block: &BlockPath<'_>,
        max_gateways: usize,
        scheduler: Option<&scheduler::Config>,
    ) -> Result<Vec<Budget>, FieldError> {
        let guaranteed_part =
            block.number("floor_part", self.floor_part, GUARANTEED_PART, 0.0..=1.0)?;
        let mut capacities = Vec::new();
        if let Some(scheduler) = scheduler.filter(|_| self.members) {
            for tenant in &scheduler.tenants {
                if tenant.share.budget > 0.0 {
                    capacities.push((BudgetKind::Tenant(tenant.name.clone()), tenant.share.budget));
                }
            }
        }
        let retries = BlockPath::new(&["shares", "relays_per_s"]);
        for (class, per_s) in &self.relays_per_s {
            let per_s = retries.number(class, Some(*per_s), 0.0, 1e-3..=1e6)?;
            capacities.push((BudgetKind::Retries(class.clone()), per_s));
        }
        if let Some(per_s) = self.trials_per_s {
            let per_s = block.number("trials_per_s", Some(per_s), 0.0, 1e-3..=1e6)?;
            capacities.push((BudgetKind::OutlierProbes, per_s));
        }
        if self.cold {
            capacities.push((BudgetKind::SlowStart, 1.0));
        }
        let budget = |(kind, capacity)| {
            let capacity = Amount::from_units(capacity);
            let guaranteed = capacity.0 as f64 * guaranteed_part / max_gateways as f64;
            Budget {
                kind,
                capacity,
                guaranteed: Amount(guaranteed as u64),
            }
        };
        let mut budgets: Vec<Budget> = capacities.into_iter().map(budget).collect();
        budgets.sort_by_key(Budget::name);
        Ok(budgets)
    }

    fn voters(&self, block: &BlockPath<'_>) -> Result<Vec<Name>, FieldError> {
        let name = |text: &String| {
            Name::new(text).map_err(|error| block.error("voters", error.to_string()))
        };
        let mut voters = self
            .voters
            .iter()
            .map(name)
            .collect::<Result<Vec<_>, _>>()?;
        voters.sort();
        Ok(voters)
    }
}

/// Assigns an error of the quota configuration to the field of the block that causes it.
fn located(block: &BlockPath<'_>, error: &ConfigError) -> FieldError {
    let field = match error {
        ConfigError::BudgetCount | ConfigError::DuplicateBudget(_) => {
            return FieldError::new(&["shares"], error.to_string());
        }
        ConfigError::GuaranteesExceedCapacity(..) => "floor_part",
        ConfigError::Voters => "voters",
        ConfigError::TermTooShort => "term_ms",
        ConfigError::LeaseTooShort => "lease_ms",
    };
    block.error(field, error.to_string())
}
