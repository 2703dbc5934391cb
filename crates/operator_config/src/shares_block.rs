//! `shares`: budgets of all gateways together.

use std::collections::BTreeMap;

use admission::interface::TimeDelta;
use membership::Name;
use quota::{Amount, Budget, BudgetKind, Config, ConfigError};
use serde::Deserialize;

use crate::{Fault, fault, within, yes};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shares {
    #[serde(default = "yes")]
    enabled: bool,
    voters: Vec<String>,
    most_gateways: f64,
    floor_part: Option<f64>,
    lease_ms: Option<f64>,
    term_ms: Option<f64>,
    renew_ms: Option<f64>,
    drift: Option<f64>,
    burst_ms: Option<f64>,
    #[serde(default = "yes")]
    members: bool,
    #[serde(default)]
    relays_per_s: BTreeMap<String, f64>,
    trials_per_s: Option<f64>,
    #[serde(default)]
    cold: bool,
}

impl Shares {
    /// `queues`: whose members' budgets are divided here, where these are on.
    ///
    /// # Errors
    /// A field that cannot be used, or contradicts another.
    pub fn terms(self, queues: Option<&scheduler::Config>) -> Result<Option<Config>, Fault> {
        let number = |name, value, default, least, most| {
            within(&["shares", name], value, default, least, most)
        };
        let span = |name, value, default: f64| {
            number(name, value, default, 20.0, 600_000.0).map(|ms| TimeDelta::from_secs(ms / 1e3))
        };
        let most = number("most_gateways", Some(self.most_gateways), 1.0, 1.0, 4096.0)? as usize;
        let floor_part = number("floor_part", self.floor_part, 0.2, 0.0, 1.0)?;
        let budget = |kind: BudgetKind, capacity: f64| {
            let capacity = Amount::from_units(capacity);
            Budget {
                kind,
                capacity,
                guaranteed: Amount((capacity.0 as f64 * floor_part / most as f64) as u64),
            }
        };
        let mut budgets = Vec::new();
        if self.members {
            let members = queues.into_iter().flat_map(|queues| &queues.tenants);
            let members = members.filter(|member| member.share.budget > 0.0);
            budgets.extend(
                members.map(|m| budget(BudgetKind::Tenant(m.name.clone()), m.share.budget)),
            );
        }
        for (class, whole) in &self.relays_per_s {
            let whole = within(
                &["shares", "relays_per_s", class],
                Some(*whole),
                0.0,
                1e-3,
                1e6,
            )?;
            budgets.push(budget(BudgetKind::Retries(class.clone()), whole));
        }
        if let Some(outlier_probes) = self.trials_per_s {
            budgets.push(budget(
                BudgetKind::OutlierProbes,
                number("trials_per_s", Some(outlier_probes), 0.0, 1e-3, 1e6)?,
            ));
        }
        if self.cold {
            budgets.push(budget(BudgetKind::SlowStart, 1.0));
        }
        budgets.sort_by_key(Budget::name);
        let named =
            |name: &String| Name::new(name).map_err(|why| fault(&["shares", "voters"], why));
        let mut voters = self
            .voters
            .iter()
            .map(named)
            .collect::<Result<Vec<_>, _>>()?;
        voters.sort();
        let config = Config {
            budgets,
            voters,
            max_gateways: most,
            lease_duration: span("lease_ms", self.lease_ms, 6000.0)?,
            term_duration: span("term_ms", self.term_ms, 2000.0)?,
            renew_interval: span("renew_ms", self.renew_ms, 500.0)?,
            drift_ppm: (number("drift", self.drift, 0.01, 0.0, 0.2)? * 1e6) as u32,
            burst: span("burst_ms", self.burst_ms, 2000.0)?,
            fault_injection: quota::FaultInjection::default(),
        };
        config.validate().map_err(|why| {
            let field = match &why {
                ConfigError::BudgetCount | ConfigError::DuplicateBudget(_) => "shares",
                ConfigError::GuaranteesExceedCapacity(..) => "floor_part",
                ConfigError::Voters => "voters",
                ConfigError::TermTooShort => "term_ms",
                ConfigError::LeaseTooShort => "lease_ms",
            };
            if field == "shares" {
                fault(&["shares"], why)
            } else {
                fault(&["shares", field], why)
            }
        })?;
        Ok(self.enabled.then_some(config))
    }
}
