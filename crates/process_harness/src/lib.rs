//! A stand-in for a network and an operating system that fail: starts several real gateway processes on loopback, leads
//! each datagram between them through a switch that loses, delays, repeats, spoils and cuts, and stops, wakes, kills and
//! restarts the processes. Every child ends with the rig, also when a test panics.

pub mod fleet;
pub mod scale;
pub mod script;
pub mod switch;
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
pub mod system_calls;
