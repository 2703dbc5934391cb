//! Scale runs: hundreds of hollow gateways beside real gateway processes on loopback, with scripted
//! faults.
//!
//! A hollow gateway is the gateway's control plane (`crates/control`) with its own UDP socket,
//! without clients and engines. Up to a few hundred of them share a process and an event loop. The
//! real processes belong to [`crate::fleet`] and are connected through its switch. Network faults
//! are applied to a datagram of a hollow gateway when it is sent, to one from a real to a hollow
//! gateway when it arrives, and to one between real gateways in the switch.

pub mod hollow;
pub mod layout;
pub mod limits;
pub mod links;
pub mod message;
pub mod operator_file;
pub mod process;
pub mod report;
pub mod run;
pub mod script;
pub mod truth;
pub mod worker;
pub mod workers;

use std::path::PathBuf;

use thiserror::Error;

pub use report::Report;
pub use run::run;

/// The settings of a scale run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of hollow gateways.
    pub hollow: usize,
    /// The number of real gateway processes.
    pub real: usize,
    /// The number of engines that the real gateways discover.
    pub engines: usize,
    pub regions: usize,
    /// The number of zones in all regions together.
    pub zones: usize,
    /// The length of the phase before the faults, in seconds. Its first half is for the start and
    /// its second half is measured.
    pub seconds: f64,
    pub seed: u64,
    /// The number of budgets that leases divide among all gateways.
    pub budgets: usize,
    /// The file with the script of faults, or `None` for a run without faults.
    pub faults: Option<PathBuf>,
    /// The path of the gateway's program.
    pub gateway: PathBuf,
    /// The path of the harness's program, which is started for the hollow processes.
    pub rig: PathBuf,
}

/// Why a scale run cannot start or go on.
#[derive(Debug, Error)]
pub enum ScaleError {
    #[error(transparent)]
    Limit(#[from] limits::LimitError),
    #[error(transparent)]
    Script(#[from] script::ScriptError),
    #[error("operator's file of the run: {0}")]
    Operator(#[from] operator_config::OperatorConfigError),
    #[error("--seconds: {0} is not between 2 and 3600")]
    Seconds(f64),
    #[error("--program: {0} is no file; build it: cargo build --release --locked")]
    Program(PathBuf),
    #[error(transparent)]
    Io(#[from] std::io::Error),
}
