//! Reads one gateway's settings into what each part takes. They come in two forms, the wire's `path=value` lines and the
//! nested JSON of the gateway's configuration; both become the same paths and values.

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
