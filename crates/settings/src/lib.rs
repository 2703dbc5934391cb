//! Parses the settings of a gateway into typed values for the components that use them.
//!
//! The settings come in two forms: `path=value` lines, which are sent over the wire, and the nested
//! JSON of the gateway's configuration. Both forms are converted to the same paths and values.

mod connections;
mod error;
mod fleet;
mod policy;
mod query_class;
mod reader;

pub use connections::ConnectionSettings;
pub use error::SettingsError;
pub use query_class::NetworkDelay;
pub use reader::Settings;
