//! The gateway between MySQL clients and engines with limited memory. This crate contains the
//! network code, and the `dispatch` crate decides what happens to a statement.

// The print macros panic when the output cannot be written. The log goes through `log_output`, and
// the output of commands through `command::output`.
#![deny(clippy::print_stderr, clippy::print_stdout)]

pub mod clients;
pub mod clock;
pub mod cluster;
pub mod command;
pub mod config;
pub mod counters;
pub mod credentials;
pub mod discovery;
pub mod engines;
pub mod file_settling;
mod heap;
pub mod keyfiles;
pub mod keywatch;
pub mod lifecycle;
pub mod log_output;
pub mod log_time;
pub mod machine_errors;
pub mod memory_account;
pub mod panic_containment;
pub mod service;
pub mod socket;
pub mod socket_queries;
pub mod status;
mod tls_stream;
mod turn_budget;
