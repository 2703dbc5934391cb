//! Puts the admission decisions before the simulator's wire: frames, settings, statements in hand and timers.

pub mod frames;
pub mod host;
pub mod settings;
