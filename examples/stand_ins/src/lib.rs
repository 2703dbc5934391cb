//! Test doubles for an engine and a discovery service, and a client. They are implemented from the
//! public description of the protocol, with threads and blocking sockets. Tests inject faults by
//! setting the mood of a test double.

pub mod board;
pub use client;
pub mod engine;
