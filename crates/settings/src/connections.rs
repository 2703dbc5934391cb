//! The settings for connections to engines.

use admission::interface::TimeDelta;

use crate::{Settings, SettingsError};

/// The settings for connections to engines.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionSettings {
    /// The time after which an attempt to connect counts as failed.
    pub connect_timeout: TimeDelta,
    /// The time after which engines close an idle connection.
    pub idle_timeout: TimeDelta,
    /// The number of attempts that one connection carries at the same time, at least 1.
    pub multiplex: usize,
}

impl Settings {
    /// Reads the settings for connections to engines.
    ///
    /// # Errors
    ///
    /// Fails if a time is missing or a value cannot be read.
    pub fn connections(&self) -> Result<ConnectionSettings, SettingsError> {
        Ok(ConnectionSettings {
            connect_timeout: self.required_duration("Limits.ConnectTimeoutS")?,
            idle_timeout: self.required_duration("Limits.ConnIdleS")?,
            multiplex: self.optional("Limits.Multiplex")?.unwrap_or(1).max(1),
        })
    }
}
