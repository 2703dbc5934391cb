//! The MySQL client protocol 4.1, the server's side.
//!
//! [`packet`] frames bytes, [`handshake`] has the greeting and the login, [`command`] what clients ask afterwards, and
//! [`response`] what they are answered.

pub mod command;
pub mod handshake;
pub mod packet;
pub mod response;

pub use command::{Command, KillScope, Query};
pub use response::{ErrorCode, Response};
