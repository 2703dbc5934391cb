//! What the settings tell of statements: the names that they may use, and how many may be open.

use admission::interface::{ClassId, TenantId};
use settings::{Settings, SettingsError};

use super::error::StatementError;

/// Names of query classes and tenants, by their index, and limits of the settings.
pub(super) struct Catalog {
    classes: Vec<String>,
    /// Empty where there are no tenants.
    tenants: Vec<String>,
    /// Statements that may be open at the same time.
    pub max_open_statements: usize,
    /// Answers of engines tell the work that they took.
    pub answers_report_usage: bool,
    /// Gateways before the same engines, this one among them.
    pub peers: f64,
}

impl Catalog {
    /// # Errors
    /// A setting is missing or cannot be used.
    pub(super) fn new(settings: &Settings) -> Result<Self, SettingsError> {
        Ok(Catalog {
            peers: settings.peers()?,
            classes: settings.class_names()?,
            tenants: settings.tenant_names()?,
            answers_report_usage: settings.engines_report_usage()?,
            max_open_statements: settings.max_open_statements()?,
        })
    }

    /// The query class of this name.
    pub(super) fn class(&self, name: &str) -> Result<ClassId, StatementError> {
        let index = self.classes.iter().position(|class| class == name);
        index.map(ClassId).ok_or(StatementError::UnknownClass)
    }

    /// The name of a query class.
    pub(super) fn class_name(&self, class: ClassId) -> &str {
        &self.classes[class.0]
    }

    /// The tenant of this name; the first one where none is named, or where there are no tenants.
    pub(super) fn tenant(&self, name: Option<&str>) -> Result<TenantId, StatementError> {
        let Some(name) = name.filter(|_| !self.tenants.is_empty()) else {
            return Ok(TenantId(0));
        };
        let index = self.tenants.iter().position(|tenant| tenant == name);
        index.map(TenantId).ok_or(StatementError::UnknownTenant)
    }
}
