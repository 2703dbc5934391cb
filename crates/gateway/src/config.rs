//! The configuration: one JSON file, named by the environment.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ::membership::Name;
use operator_config::{IdentityConfig, MembershipConfig, OperatorConfig, OperatorConfigError};
use scheduler::Config as QueueConfig;
use serde_json::Value;
use settings::{Settings, SettingsError};
use thiserror::Error;

use crate::discovery::endpoints::{EndpointListError, EventBatch};
use crate::machine_errors::is_file_unreadable_for_now;

#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    #[error("configuration {0}: {1}")]
    Unreadable(String, std::io::Error),
    #[error("configuration: {0}")]
    Json(#[from] serde_json::Error),
    #[error("configuration: {0} is missing or cannot be used")]
    Field(&'static str),
    #[error("configuration: known: {0}")]
    Known(#[from] EndpointListError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Operator(#[from] OperatorConfigError),
    #[error("{0}: queues.member.{1}: the configuration knows no such member")]
    Member(String, String),
    #[error("{0}: shares.relays_per_s.{1}: the configuration knows no such product")]
    QueryClass(String, String),
    #[error("{0}: fleet.name: the configuration's name cannot be taken: {1}")]
    Name(String, ::membership::InvalidName),
}

impl ConfigError {
    /// Whether a file could not be read for a reason that may pass by itself.
    #[must_use]
    pub fn passes_by_itself(&self) -> bool {
        match self {
            ConfigError::Unreadable(_, error)
            | ConfigError::Operator(OperatorConfigError::Unreadable(_, error)) => {
                is_file_unreadable_for_now(error)
            }
            _ => false,
        }
    }
}

/// The operator's file beside the configuration: what of it is in force at this gateway.
#[derive(Clone, Debug, Default)]
pub struct Operated {
    pub file: Option<PathBuf>,
    /// Budgets as this gateway's part of those of all; nothing where there are no queues.
    pub queues: Option<QueueConfig>,
    /// Files and terms by which callers are known; nothing where they are not.
    pub callers: Option<IdentityConfig>,
    /// Budgets that are divided among all gateways; nothing where they are not.
    pub shares: Option<::quota::Config>,
    /// How gateways know each other, and this one's name; nothing where they don't.
    pub fleet: Option<(Name, MembershipConfig)>,
}

impl Operated {
    /// # Errors
    /// The file cannot be used, or contradicts the configuration.
    pub fn read(file: Option<PathBuf>, config: &Config) -> Result<Self, ConfigError> {
        let Some(path) = file else {
            return Ok(Operated::default());
        };
        let operator = OperatorConfig::read(&path)?;
        let known = config.settings.tenant_names()?;
        if let Some(terms) = &operator.scheduler {
            let unknown = terms
                .tenants
                .iter()
                .find(|member| !known.is_empty() && !known.contains(&member.name));
            if let Some(member) = unknown {
                return Err(ConfigError::Member(
                    path.display().to_string(),
                    member.name.clone(),
                ));
            }
        }
        // Divided among all, a budget is whole here: what of it is this gateway's is told as it changes.
        let divided = |of: &::quota::BudgetKind| matches!(of, ::quota::BudgetKind::Tenant(_));
        let divided = operator
            .quota
            .as_ref()
            .is_some_and(|terms| terms.budgets.iter().any(|b| divided(&b.kind)));
        let part = if divided {
            1.0
        } else {
            1.0 / config.settings.peers()?
        };
        let queues = operator.scheduler.map(|terms| terms.scaled(part));
        let classes = config.settings.class_names()?;
        let of = operator.quota.iter().flat_map(|terms| &terms.budgets);
        let unknown = of.filter_map(|budget| match &budget.kind {
            ::quota::BudgetKind::Retries(class) if !classes.contains(class) => Some(class.clone()),
            _ => None,
        });
        if let Some(class) = unknown.into_iter().next() {
            return Err(ConfigError::QueryClass(path.display().to_string(), class));
        }
        let named = |terms: MembershipConfig| {
            let own = || {
                Name::new(&config.name)
                    .map_err(|e| ConfigError::Name(path.display().to_string(), e))
            };
            Ok::<_, ConfigError>((terms.name.clone().map_or_else(own, Ok)?, terms))
        };
        let fleet = operator.membership.map(named).transpose()?;
        Ok(Operated {
            file: Some(path),
            queues,
            callers: operator.identity,
            fleet,
            shares: operator.quota,
        })
    }
}

impl Operated {
    /// Members of the lines, in their order.
    pub fn member_names(&self) -> Vec<String> {
        let members = self.queues.iter().flat_map(|terms| &terms.tenants);
        members.map(|member| member.name.clone()).collect()
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: f64,
    pub board: SocketAddr,
    pub known: EventBatch,
    pub settings: Settings,
}

impl Config {
    /// What another file says otherwise and a running program cannot take over; its board and list it can.
    pub fn fixed_differences(&self, other: &Config) -> Vec<&'static str> {
        let same = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("seed", self.seed == other.seed),
            ("limits.sockets", self.sockets == other.sockets),
            ("limits.memory_mb", self.memory_mb == other.memory_mb),
            ("settings", self.settings == other.settings),
        ];
        same.into_iter()
            .filter(|(_, same)| !same)
            .map(|(name, _)| name)
            .collect()
    }

    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        let text = std::fs::read(path)
            .map_err(|e| ConfigError::Unreadable(path.display().to_string(), e))?;
        Self::parse(&text)
    }

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
            sockets: sockets.ok_or(ConfigError::Field("limits.sockets"))? as usize,
            memory_mb: memory_mb.ok_or(ConfigError::Field("limits.memory_mb"))?,
            board: address("board")?,
            known: EventBatch::from_json(&json["known"])?,
            settings: Settings::from_json(settings),
        })
    }
}
