//! Errors in the settings.

use thiserror::Error;

/// A setting that is missing or cannot be read.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A required setting is absent or empty. The value is its path.
    #[error("settings: {0} is missing")]
    Missing(String),
    /// A value does not have the type that the setting requires.
    #[error("settings: {key} cannot be read: {value}")]
    Unreadable {
        /// The path of the setting.
        key: String,
        /// The value that cannot be read.
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
