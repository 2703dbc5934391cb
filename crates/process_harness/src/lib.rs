//! A harness that injects network and process faults into a fleet of gateways.
//!
//! It starts several real gateway processes on loopback and forwards the datagrams between them
//! through a switch that loses, delays, duplicates and corrupts datagrams and partitions the
//! network. It also stops, resumes, kills and restarts the processes. Every child process is killed
//! when its owner is dropped, also when a test panics.

pub mod fleet;
pub mod scale;
pub mod script;
pub mod switch;
#[cfg(all(target_os = "linux", target_arch = "x86_64"))]
pub mod system_calls;
