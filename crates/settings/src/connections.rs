//! Connections to engines.

use admission::interface::TimeDelta;

use crate::{Settings, SettingsError};

/// How attempts reach engines.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// A connection that is not up by then counts as failed.
    pub connect_timeout: TimeDelta,
    /// Engines close connections that are idle for so long.
    pub idle_timeout: TimeDelta,
    /// Attempts that one connection carries at the same time, at least 1.
    pub multiplex: usize,
}

impl Settings {
    /// How attempts reach engines.
    ///
    /// # Errors
    ///
    /// Where a time is missing, or a value cannot be read.
    pub fn connections(&self) -> Result<ConnectionSettings, SettingsError> {
        Ok(ConnectionSettings {
            connect_timeout: self.required_duration("Limits.ConnectTimeoutS")?,
            idle_timeout: self.required_duration("Limits.ConnIdleS")?,
            multiplex: self.optional("Limits.Multiplex")?.unwrap_or(1).max(1),
        })
    }
}
