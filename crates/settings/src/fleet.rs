//! The settings that describe the gateways, the engines and the tenants as a whole.

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

    /// Returns the number of gateways that use the same engines, at least 1. It includes this
    /// gateway.
    ///
    /// # Errors
    ///
    /// Fails if the number is missing or cannot be read.
    pub fn peers(&self) -> Result<f64, SettingsError> {
        let peers: u32 = self.required("PeersTotal")?;
        Ok(peers.max(1).into())
    }

    /// Returns the number of statements that may be open at the same time, or [`usize::MAX`] if the
    /// settings state no limit.
    ///
    /// # Errors
    ///
    /// Fails if the number cannot be read.
    pub fn max_open_statements(&self) -> Result<usize, SettingsError> {
        Ok(self.optional("Limits.MaxOpen")?.unwrap_or(usize::MAX))
    }

    /// Returns whether engines report the CPU time and the memory that a statement used.
    ///
    /// # Errors
    ///
    /// Fails if the value cannot be read.
    pub fn engines_report_usage(&self) -> Result<bool, SettingsError> {
        self.flag("Extra.Bills")
    }

    /// Returns the names of the values in a load report, in the order in which engines send them.
    #[must_use]
    pub fn load_report_fields(&self) -> Vec<String> {
        self.owned_list("Feedback.Fields")
    }

    /// Returns the names of the tenants, indexed by [`TenantId`](admission::interface::TenantId).
    /// The list is empty if there are no tenants.
    ///
    /// # Errors
    ///
    /// Fails if a name is missing or the number of tenants cannot be read.
    pub fn tenant_names(&self) -> Result<Vec<String>, SettingsError> {
        self.names_of("Tenants")
    }

    /// Returns the names of the engine locations, indexed by
    /// [`LocationId`](admission::interface::LocationId).
    #[must_use]
    pub fn location_names(&self) -> Vec<String> {
        self.owned_list("Zones")
    }

    /// Returns the names of the machine types, indexed by
    /// [`MachineId`](admission::interface::MachineId).
    #[must_use]
    pub fn machine_names(&self) -> Vec<String> {
        self.owned_list("MachineTypes")
    }
}
