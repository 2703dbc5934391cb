//! The configuration, which is one JSON file named by an environment variable, and the operator's
//! file.

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
use crate::file_settling::is_settled;
use crate::machine_errors::{is_missing_file, is_transient_file_error};

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
    /// A field of the configuration is missing or invalid.
    #[error("configuration: {0} is missing or cannot be used")]
    Field(&'static str),
    /// The endpoint events in the configuration cannot be parsed.
    #[error("configuration: known: {0}")]
    Known(#[from] EndpointListError),
    /// A setting is missing or invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The file changed a moment ago, so it may still be written.
    #[error("{0}: the file is still changing")]
    Changing(String),
    /// The operator's file cannot be used.
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    /// The operator's file defines a queue for a tenant that the configuration does not have. The
    /// fields are the file and the tenant.
    #[error("{0}: queues.member.{1}: the configuration defines no tenant with this name")]
    Member(String, String),
    /// The operator's file defines a retry budget for a query class that the configuration does not
    /// have. The fields are the file and the class.
    #[error(
        "{0}: shares.relays_per_s.{1}: the configuration defines no query class with this name"
    )]
    QueryClass(String, String),
    /// The operator's file gives this gateway no name, and the configuration's name is not valid in
    /// a fleet. The first field is the file.
    #[error("{0}: fleet.name: not set, and the configuration's name is not valid in a fleet: {1}")]
    Name(String, ::membership::InvalidName),
}

impl ConfigError {
    /// Whether a file could not be read for a reason that may be transient.
    #[must_use]
    pub fn may_be_transient(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error) => is_transient_file_error(error),
            ConfigError::Operator(OperatorConfigError::Unreadable(_, error)) => {
                is_transient_file_error(error) || is_missing_file(error)
            }
            // The file is incomplete, probably because it is still being written.
            ConfigError::Json(error) => error.is_eof(),
            ConfigError::Operator(OperatorConfigError::Form { is_at_end, .. }) => *is_at_end,
            ConfigError::Changing(_) => true,
            _ => false,
        }
    }

    /// Whether a file does not exist. One that existed before may be missing for a moment while it
    /// is being replaced.
    #[must_use]
    pub fn is_missing_file(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error)
            | ConfigError::Operator(OperatorConfigError::Unreadable(_, error)) => {
                is_missing_file(error)
            }
            _ => false,
        }
    }
}

/// The settings from the operator's file that are in force at this gateway.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    /// The path of the file, or `None` when there is none.
    pub file: Option<PathBuf>,
    /// The queues, with this gateway's share of the tenants' budgets. `None` when queues are off.
    pub queues: Option<QueueConfig>,
    /// How callers are authenticated. `None` when they are not.
    pub identity: Option<IdentityConfig>,
    /// The budgets that all gateways share. `None` when no budget is shared.
    pub shares: Option<::quota::Config>,
    /// This gateway's name in the fleet and the membership settings. `None` when there is no fleet.
    pub fleet: Option<(Name, MembershipConfig)>,
}

impl OperatorSettings {
    /// Reads the operator's file like [`Self::read`], for a gateway that goes by it from then on.
    /// The beginning of a file that is being copied may be valid by itself, and lack blocks.
    ///
    /// # Errors
    /// The file cannot be used, contradicts the configuration, or changed a moment ago.
    pub fn read_settled(file: Option<PathBuf>, config: &Config) -> Result<Self, ConfigError> {
        let settings = Self::read(file.clone(), config);
        // Looked at after the reading, so that no change comes in between.
        if let Some(path) = file.filter(|path| !is_settled(path)) {
            return Err(ConfigError::Changing(path.display().to_string()));
        }
        settings
    }

    /// Reads the operator's file. Without a file all settings are off.
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

    /// Checks that the file that was read has not changed for a while.
    ///
    /// # Errors
    /// The file changed a moment ago, so it may still be copied.
    pub fn check_settled(&self) -> Result<(), ConfigError> {
        match self.file.as_deref().filter(|path| !is_settled(path)) {
            Some(path) => Err(ConfigError::Changing(path.display().to_string())),
            None => Ok(()),
        }
    }

    /// The names of the tenants with queues, in the order of the file.
    #[must_use]
    pub fn tenant_names(&self) -> Vec<String> {
        let tenants = self.queues.iter().flat_map(|queues| &queues.tenants);
        tenants.map(|tenant| tenant.name.clone()).collect()
    }
}

/// Checks that queues refer only to tenants of the configuration. A configuration without tenants
/// allows any.
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

/// Checks that retry budgets refer only to query classes of the configuration.
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

/// This gateway's fraction of the tenants' budgets: an even share of all gateways. It is 1 when the
/// budgets are shared through leases, because the leases then tell this gateway its share as it
/// changes.
fn queue_share(operator: &OperatorConfig, config: &Config) -> Result<f64, ConfigError> {
    let mut budgets = operator.quota.iter().flat_map(|quota| &quota.budgets);
    if budgets.any(|budget| matches!(budget.kind, BudgetKind::Tenant(_))) {
        return Ok(1.0);
    }
    Ok(1.0 / config.settings.peers()?)
}

/// Returns the membership settings with this gateway's name, which comes from the operator's file
/// or else from the configuration.
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

/// The configuration that the platform gives to one gateway.
pub struct Config {
    /// The gateway's name, which stays the same after a restart.
    pub name: String,
    /// The address where clients connect.
    pub listen: SocketAddr,
    /// The seed of all random generators.
    pub seed: u64,
    /// The number of descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The memory that the process may use, in MB.
    pub memory_mb: f64,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// The endpoint events of the discovery service that are already known.
    pub known_endpoints: EventBatch,
    /// The settings that are the same at all gateways.
    pub settings: Settings,
}

impl Config {
    /// Returns the fields that differ in `other` and that a running gateway cannot apply. It can
    /// apply the address of the discovery service and the endpoint events.
    #[must_use]
    pub fn settings_requiring_restart(&self, other: &Config) -> Vec<&'static str> {
        let fields = [
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
        fields
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect()
    }

    /// Reads the configuration like [`Self::read`], for a gateway that goes by it from then on.
    /// The beginning of a JSON object is never valid by itself, and its error says where it ends.
    /// But an old file may be overwritten in place.
    ///
    /// # Errors
    /// The file cannot be read, is not JSON and changed a moment ago, or is invalid.
    pub fn read_settled(path: &Path) -> Result<Self, ConfigError> {
        let config = Self::read(path);
        let is_mixed = matches!(&config, Err(ConfigError::Json(error)) if !error.is_eof());
        if is_mixed && !is_settled(path) {
            return Err(ConfigError::Changing(path.display().to_string()));
        }
        config
    }

    /// Reads the configuration from a file.
    ///
    /// # Errors
    /// The file cannot be read, or its content is invalid.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path)
            .map_err(|error| ConfigError::Unreadable(path.display().to_string(), error))?;
        Self::parse(&text)
    }

    /// Parses a configuration in JSON.
    ///
    /// # Errors
    /// Returns the first field that is missing or invalid.
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
