//! The settings of the admission policy.

use admission::interface::{DiscoveryMode, RetryBudget, RetryPolicy, SlowStart, TimeDelta};
use admission::policy::{Policy, PolicyConfig};

use crate::{NetworkDelay, Settings, SettingsError};

/// The window for slow-start overload if the settings state none.
const DEFAULT_OVERLOAD_WINDOW: TimeDelta = TimeDelta::from_micros(1_000_000);
/// The time within which an unanswered request for the list of engines is repeated, if the settings
/// state none.
const DEFAULT_REQUEST_WITHIN: TimeDelta = TimeDelta::from_micros(10_000_000);

impl Settings {
    /// Creates the admission policy of one gateway. `seed` initialises its random number generator.
    ///
    /// # Errors
    ///
    /// Fails if a required setting is missing or a value cannot be read.
    pub fn policy(&self, seed: u64, network_delay: NetworkDelay) -> Result<Policy, SettingsError> {
        let config = PolicyConfig {
            classes: self.query_classes(network_delay)?,
            tenant_quotas: self.tenant_quotas()?,
            fleet: self.fleet()?,
            slow_start: self.slow_start()?,
            retry_policy: self.retry_policy()?,
            discovery: self.discovery()?,
        };
        Ok(Policy::new(config, seed))
    }

    fn slow_start(&self) -> Result<Option<SlowStart>, SettingsError> {
        let Some(initial_share) = self.number("Rules.StartCapacity")? else {
            return Ok(None);
        };
        Ok(Some(SlowStart {
            initial_share,
            warm_up: self.required_duration("Rules.ColdS")?,
            overload_multiple: self.number("Rules.TipMultiple")?.unwrap_or(1.0),
            window: self
                .duration("Rules.TipAfterS")?
                .unwrap_or(DEFAULT_OVERLOAD_WINDOW),
        }))
    }

    fn retry_budget(&self) -> Result<Option<RetryBudget>, SettingsError> {
        let Some(window) = self.duration("Rules.ResendSpanS")? else {
            return Ok(None);
        };
        Ok(Some(RetryBudget {
            min_retries: self.number("Rules.ExtraFree")?.unwrap_or(0.0),
            ratio: self.number("Rules.BudgetShare")?.unwrap_or(0.0),
            window,
        }))
    }

    fn retry_policy(&self) -> Result<RetryPolicy, SettingsError> {
        let retry_budget = self.retry_budget()?;
        let sends_retry_after = self.flag("Limits.RetryAfter")?;
        let max_attempts = self.optional("Limits.MaxAttempts")?.unwrap_or(1);
        let can_cancel = self.flag("Limits.Cancel")?;
        let max_retry_after = self.duration("Limits.MaxRetryAfterS")?;
        let order_settle = self.duration("Rules.OrderSettleS")?;
        Ok(RetryPolicy {
            max_attempts,
            can_cancel,
            max_retry_after: max_retry_after.filter(|_| sends_retry_after),
            order_settle: order_settle.unwrap_or(TimeDelta::ZERO),
            retry_budget,
        })
    }

    fn discovery(&self) -> Result<DiscoveryMode, SettingsError> {
        let mode: Option<String> = self.optional("Discovery")?;
        let request_within = self.duration("Rules.AskWithinS")?;
        Ok(DiscoveryMode {
            on_request: mode.as_deref() == Some("on_request"),
            request_within: request_within.unwrap_or(DEFAULT_REQUEST_WITHIN),
        })
    }
}
