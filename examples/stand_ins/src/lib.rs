//! Our own stand-ins, written from the protocol's public description: an engine, a discovery service and a client.
//! Plain threads and blocking sockets; what they do wrong on purpose is set from outside.

pub mod board;
pub use client;
pub mod engine;
