//! The gateway: MySQL clients before engines with limited memory. Network code only; what becomes of a
//! statement is asked of `dispatch`.

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
pub mod service;
pub mod socket;
pub mod status;
