//! Who a caller is, what it may run, and when to ask again. Plain values in and out, time handed in; no I/O.

pub mod grants;
pub mod guard;
pub mod keys;
pub mod revoked;
pub mod token;
pub mod verdicts;

pub use grants::{Beyond, Grant, Request};
pub use guard::{Guard, Terms, Verdict, Why};
pub use keys::{Index, IndexError, KeyId, KeyRing, Standing};
pub use token::{Claims, TokenError};
