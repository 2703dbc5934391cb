//! Puts the decisions before the simulator's wire: frames become calls, what those return becomes frames.

mod action;
pub mod frames;
pub mod host;
mod instance;
