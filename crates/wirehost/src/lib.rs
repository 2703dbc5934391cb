//! Puts the admission decisions before the simulator's wire: frames to calls, answers to frames.

pub mod frames;
pub mod host;
