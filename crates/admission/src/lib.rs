//! Decides where each statement runs. `policy` holds every decision; `interface` the values it speaks in.

pub mod interface;
pub mod policy;
