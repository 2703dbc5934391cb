//! The configuration: one JSON file, named by the environment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ::membership::Name;
use ::quota::BudgetKind;
use operator_config::{IdentityConfig, MembershipConfig, OperatorConfig, OperatorConfigError};
use scheduler::Config as QueueConfig;
use serde_json::Value;
use settings::{Settings, SettingsError};
use thiserror::Error;

use crate::discovery::endpoints::{EndpointListError, EventBatch};
use crate::machine_errors::is_transient_file_error;

/// Why the configuration or the operator's file cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// Neither the command line nor the environment names a configuration.
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    /// The configuration cannot be read.
    #[error("configuration {0}: {1}")]
    Unreadable(String, std::io::Error),
    /// The configuration is not JSON.
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    /// A field of the configuration is missing or has a value of no use.
    #[error("configuration: {0} is missing or cannot be used")]
    Field(&'static str),
    /// The events that the configuration holds cannot be read.
    #[error("configuration: known: {0}")]
    Known(#[from] EndpointListError),
    /// A setting is missing or cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// In this file a queue's tenant is not the configuration's.
    #[error("{0}: queues.member.{1}: the configuration knows no such member")]
    Member(String, String),
    /// In this file a budget's query class is not the configuration's.
    #[error("{0}: shares.relays_per_s.{1}: the configuration knows no such product")]
    QueryClass(String, String),
    /// Beside this file the configuration's name is no name of a gateway.
    #[error("{0}: fleet.name: the configuration's name cannot be taken: {1}")]
    Name(String, ::membership::InvalidName),
}

impl ConfigError {
    /// Whether a file could not be read for a reason that may pass by itself.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error)
            | ConfigError::Operator(OperatorConfigError::Unreadable(_, error)) => {
                is_transient_file_error(error)
            }
            // Whoever writes it has not come to its end.
            ConfigError::Json(error) => error.is_eof(),
            _ => false,
        }
    }
}

/// The operator's file beside the configuration: what of it is in force at this gateway.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    /// Where it was read from; none: there is none.
    pub file: Option<PathBuf>,
    /// Budgets as this gateway's part of those of all; nothing where there are no queues.
    pub queues: Option<QueueConfig>,
    /// Files and terms by which callers are known; nothing where they are not.
    pub identity: Option<IdentityConfig>,
    /// Budgets that are divided among all gateways; nothing where they are not.
    pub shares: Option<::quota::Config>,
    /// How gateways know each other, and this one's name; nothing where they don't.
    pub fleet: Option<(Name, MembershipConfig)>,
}

impl OperatorSettings {
    /// Reads the operator's file; without one nothing of it is in force.
    ///
    /// # Errors
    /// The file cannot be used, or contradicts the configuration.
    pub fn read(file: Option<PathBuf>, config: &Config) -> Result<Self, ConfigError> {
        let Some(path) = file else {
            return Ok(OperatorSettings::default());
        };
        let operator = OperatorConfig::read(&path)?;
        check_tenants(&operator, config, &path)?;
        check_retry_budgets(&operator, config, &path)?;
        let queue_share = queue_share(&operator, config)?;
        let queues = operator.scheduler.map(|queues| queues.scaled(queue_share));
        let fleet = operator
            .membership
            .map(|membership| named_membership(membership, config, &path))
            .transpose()?;
        Ok(OperatorSettings {
            file: Some(path),
            queues,
            identity: operator.identity,
            fleet,
            shares: operator.quota,
        })
    }

    /// Tenants of the queues, in their order.
    #[must_use]
    pub fn tenant_names(&self) -> Vec<String> {
        let tenants = self.queues.iter().flat_map(|queues| &queues.tenants);
        tenants.map(|tenant| tenant.name.clone()).collect()
    }
}

/// Queues name no tenant that the configuration does not know; one without tenants knows all.
fn check_tenants(
    operator: &OperatorConfig,
    config: &Config,
    path: &Path,
) -> Result<(), ConfigError> {
    let known = config.settings.tenant_names()?;
    if known.is_empty() {
        return Ok(());
    }
    let mut tenants = operator.scheduler.iter().flat_map(|queues| &queues.tenants);
    match tenants.find(|tenant| !known.contains(&tenant.name)) {
        Some(tenant) => Err(ConfigError::Member(
            path.display().to_string(),
            tenant.name.clone(),
        )),
        None => Ok(()),
    }
}

/// Budgets of retries name no query class that the configuration does not know.
fn check_retry_budgets(
    operator: &OperatorConfig,
    config: &Config,
    path: &Path,
) -> Result<(), ConfigError> {
    let known = config.settings.class_names()?;
    let budgets = operator.quota.iter().flat_map(|quota| &quota.budgets);
    for budget in budgets {
        if let BudgetKind::Retries(class) = &budget.kind
            && !known.contains(class)
        {
            let file = path.display().to_string();
            return Err(ConfigError::QueryClass(file, class.clone()));
        }
    }
    Ok(())
}

/// This gateway's part of the tenants' budgets: an even share, but all of each where leases divide them, since what of it is
/// this gateway's is told as it changes.
fn queue_share(operator: &OperatorConfig, config: &Config) -> Result<f64, ConfigError> {
    let mut budgets = operator.quota.iter().flat_map(|quota| &quota.budgets);
    if budgets.any(|budget| matches!(budget.kind, BudgetKind::Tenant(_))) {
        return Ok(1.0);
    }
    Ok(1.0 / config.settings.peers()?)
}

/// Membership under the name that the operator's file gives this gateway, else under the configuration's.
fn named_membership(
    membership: MembershipConfig,
    config: &Config,
    path: &Path,
) -> Result<(Name, MembershipConfig), ConfigError> {
    let name = match &membership.name {
        Some(name) => name.clone(),
        None => Name::new(&config.name)
            .map_err(|error| ConfigError::Name(path.display().to_string(), error))?,
    };
    Ok((name, membership))
}

/// What one gateway is told by its platform.
pub struct Config {
    /// The gateway's name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Of all chance.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Memory that the process may take, in MB.
    pub memory_mb: f64,
    /// Where the discovery service is.
    pub discovery_address: SocketAddr,
    /// The discovery service's events up to now.
    pub known_endpoints: EventBatch,
    /// The settings that all gateways share.
    pub settings: Settings,
}

impl Config {
    /// What another file says otherwise and a running program cannot take over; its board and list it can.
    #[must_use]
    pub fn settings_requiring_restart(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("seed", self.seed == other.seed),
            (
                "limits.sockets",
                self.max_descriptors == other.max_descriptors,
            ),
            ("limits.memory_mb", self.memory_mb == other.memory_mb),
            ("settings", self.settings == other.settings),
        ];
        same.into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect()
    }

    /// Reads the file.
    ///
    /// # Errors
    /// It cannot be read or used.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path)
            .map_err(|error| ConfigError::Unreadable(path.display().to_string(), error))?;
        Self::parse(&text)
    }

    /// Reads a configuration from its JSON form.
    ///
    /// # Errors
    /// The first field that is missing or cannot be used.
    pub fn parse(text: &[u8]) -> Result<Self, ConfigError> {
        let json: Value = serde_json::from_slice(text)?;
        let text = |name: &'static str| json[name].as_str().ok_or(ConfigError::Field(name));
        let address = |name| text(name)?.parse().map_err(|_| ConfigError::Field(name));
        let settings = json
            .get("settings")
            .filter(|s| s.is_object())
            .ok_or(ConfigError::Field("settings"))?;
        let memory_mb = json["limits"]["memory_mb"].as_f64().filter(|mb| *mb >= 1.0);
        let sockets = json["limits"]["sockets"]
            .as_u64()
            .filter(|n| (16..=1 << 20).contains(n));
        Ok(Config {
            name: text("name")?.to_owned(),
            listen: address("listen")?,
            seed: u64::from_str_radix(text("seed")?, 16).map_err(|_| ConfigError::Field("seed"))?,
            max_descriptors: sockets.ok_or(ConfigError::Field("limits.sockets"))? as usize,
            memory_mb: memory_mb.ok_or(ConfigError::Field("limits.memory_mb"))?,
            discovery_address: address("board")?,
            known_endpoints: EventBatch::from_json(&json["known"])?,
            settings: Settings::from_json(settings),
        })
    }
}
