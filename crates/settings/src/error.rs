//! What is wrong with settings.

use thiserror::Error;

/// A setting that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A setting that is needed is not there, or empty.
    #[error("settings: {0} is missing")]
    Missing(String),
    /// A value is not of the setting's kind.
    #[error("settings: {key} cannot be read: {value}")]
    Unreadable {
        /// The setting's path.
        key: String,
        /// Its value.
        value: String,
    },
}

impl SettingsError {
    pub(crate) fn unreadable(key: &str, value: &str) -> Self {
        SettingsError::Unreadable {
            key: key.to_owned(),
            value: value.to_owned(),
        }
    }
}
