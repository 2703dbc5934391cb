//! The settings that statements are checked against: the names of query classes and tenants, and
//! the limit on open statements.

use admission::interface::{ClassId, TenantId};
use settings::{Settings, SettingsError};

use super::error::StatementError;

/// The names of query classes and tenants, each at the index that is its id, and related settings.
pub(super) struct Catalog {
    classes: Vec<String>,
    /// Empty if the settings define no tenants.
    tenants: Vec<String>,
    /// The maximum number of statements that may be open at the same time.
    pub max_open_statements: usize,
    /// Whether engines report the CPU time and memory of completed statements.
    pub answers_report_usage: bool,
    /// The number of gateways that use the same engines, including this one.
    pub peers: f64,
}

impl Catalog {
    /// Reads the catalog from the settings.
    ///
    /// # Errors
    /// A setting is missing or invalid.
    pub(super) fn new(settings: &Settings) -> Result<Self, SettingsError> {
        Ok(Catalog {
            peers: settings.peers()?,
            classes: settings.class_names()?,
            tenants: settings.tenant_names()?,
            answers_report_usage: settings.engines_report_usage()?,
            max_open_statements: settings.max_open_statements()?,
        })
    }

    /// Returns the query class with this name.
    ///
    /// # Errors
    /// The settings have no such query class.
    pub(super) fn class(&self, name: &str) -> Result<ClassId, StatementError> {
        let index = self.classes.iter().position(|class| class == name);
        index.map(ClassId).ok_or(StatementError::UnknownClass)
    }

    /// Returns the name of a query class.
    pub(super) fn class_name(&self, class: ClassId) -> &str {
        &self.classes[class.0]
    }

    /// Returns the tenant with this name. Without a name, or if the settings define no tenants,
    /// returns tenant 0.
    ///
    /// # Errors
    /// The settings have no such tenant.
    pub(super) fn tenant(&self, name: Option<&str>) -> Result<TenantId, StatementError> {
        let Some(name) = name.filter(|_| !self.tenants.is_empty()) else {
            return Ok(TenantId(0));
        };
        let index = self.tenants.iter().position(|tenant| tenant == name);
        index.map(TenantId).ok_or(StatementError::UnknownTenant)
    }
}
