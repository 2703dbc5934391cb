//! The gateways, the engines and the tenants as a whole.

use admission::interface::{FleetConfig, TenantQuotas};

use crate::{Settings, SettingsError};

impl Settings {
    pub(crate) fn fleet(&self) -> Result<FleetConfig, SettingsError> {
        Ok(FleetConfig {
            peers: self.peers()?,
            cores: self.numbers("Extra.KindCores")?,
            memory_mb: self.numbers("Extra.MemoryByKindMb")?,
            progress_interval: self.positive_duration("Extra.ProgressPaceS")?,
            priorities_honored: self.flag("Extra.RanksHeeded")?,
            idle_timeout: self.positive_duration("Limits.ConnIdleS")?,
        })
    }

    pub(crate) fn tenant_quotas(&self) -> Result<TenantQuotas, SettingsError> {
        let count: usize = self.optional("Tenants.count")?.unwrap_or(0);
        let mut quotas = Vec::new();
        for index in 0..count {
            let quota = self.number(&format!("Tenants.{index}.AllowancePerS"))?;
            quotas.push(quota.unwrap_or(0.0));
        }
        Ok(TenantQuotas {
            quotas,
            over_quota_weight: self.number("OverShareWorth")?.unwrap_or(1.0),
        })
    }

    /// Gateways before the same engines, this one among them; at least 1.
    ///
    /// # Errors
    ///
    /// Where the number is missing or cannot be read.
    pub fn peers(&self) -> Result<f64, SettingsError> {
        let peers: u32 = self.required("PeersTotal")?;
        Ok(peers.max(1).into())
    }

    /// Statements that may be open at the same time; without bound where not told.
    ///
    /// # Errors
    ///
    /// Where the number cannot be read.
    pub fn max_open_statements(&self) -> Result<usize, SettingsError> {
        Ok(self.optional("Limits.MaxOpen")?.unwrap_or(usize::MAX))
    }

    /// Whether answers tell the CPU and the memory that they took.
    ///
    /// # Errors
    ///
    /// Where the value cannot be read.
    pub fn engines_report_usage(&self) -> Result<bool, SettingsError> {
        self.flag("Extra.Bills")
    }

    /// The order of the values in a load report.
    #[must_use]
    pub fn load_report_fields(&self) -> Vec<String> {
        self.owned_list("Feedback.Fields")
    }

    /// The names of the tenants, by their index; empty where there are none.
    ///
    /// # Errors
    ///
    /// Where a name is missing, or the number of tenants cannot be read.
    pub fn tenant_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names_of("Tenants")
    }

    /// The names of the engines' locations, by their index.
    #[must_use]
    pub fn location_names(&self) -> Vec<String> {
        self.owned_list("Zones")
    }

    /// The names of the kinds of machine, by their index.
    #[must_use]
    pub fn machine_names(&self) -> Vec<String> {
        self.owned_list("MachineTypes")
    }
}
