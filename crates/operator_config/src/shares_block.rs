//! `shares`: quotas of all gateways together, divided by leases.

use std::collections::BTreeMap;

use admission::interface::TimeDelta;
use membership::Name;
use quota::{Amount, Budget, BudgetKind, Config, ConfigError, FaultInjection};
use serde::Deserialize;

use crate::block::{BlockPath, enabled_by_default};
use crate::error::FieldError;

/// Part of each capacity that is guaranteed to the gateways, where the file says none.
const GUARANTEED_PART: f64 = 0.2;
const LEASE: TimeDelta = TimeDelta::from_micros(6_000_000);
const TERM: TimeDelta = TimeDelta::from_micros(2_000_000);
const RENEWAL: TimeDelta = TimeDelta::from_micros(500_000);
const BURST: TimeDelta = TimeDelta::from_micros(2_000_000);
/// Part by which clocks may run fast or slow.
const DRIFT: f64 = 0.01;
/// Bounds of every time of the block, in milliseconds.
const MIN_MS: f64 = 20.0;
const MAX_MS: f64 = 600_000.0;

/// The block as it is written.
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
    /// The configuration, or `None` where the block is switched off. `scheduler`: whose tenants' budgets are divided, where
    /// there is one.
    ///
    /// # Errors
    /// A field that cannot be used, or contradicts another.
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

    /// In the order of their names.
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

/// The field that a contradiction is told of.
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
