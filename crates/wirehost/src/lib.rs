//! Connects gateway instances to the simulator's binary protocol. Event frames become calls of the
//! dispatcher, and its decisions become action frames.

mod action;
pub mod frames;
pub mod host;
mod instance;
