//! The gateway: MySQL clients before engines with limited memory. Network code only; what becomes of a
//! statement is asked of `dispatch`.

// The macros that print panic where the machine does not take what they print. The log is `log_output`, what commands print
// goes through `command::output`.
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
pub mod keyfiles;
pub mod keywatch;
pub mod lifecycle;
pub mod log_output;
pub mod log_time;
pub mod machine_errors;
pub mod panic_containment;
pub mod service;
pub mod socket;
pub mod socket_queries;
pub mod status;
