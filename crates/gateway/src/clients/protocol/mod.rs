//! The server side of the MySQL client/server protocol 4.1.
//!
//! [`packet`] implements the framing, [`handshake`] the greeting and the login, [`command`] the
//! commands of logged-in clients, and [`response`] the responses to them.

pub mod command;
pub mod handshake;
pub mod packet;
pub mod response;

pub use command::{Command, KillScope, Query};
pub use response::{ErrorCode, Response};
