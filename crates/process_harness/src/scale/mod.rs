//! `scale`: hollow gateways by the hundred beside real processes, on loopback, with faults by script.
//!
//! A hollow gateway is the control code of the program (`crates/control`) with a UDP socket at an address of its own,
//! without clients and engines; some hundred share a process and a loop. Real processes are those of [`crate::fleet`],
//! behind its switch. A fault of the network holds for datagrams of hollow gateways where they are sent, for those from
//! real to hollow ones where they arrive, and between real ones in the switch.

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

/// What a run is to be.
#[derive(Clone, Debug)]
pub struct Options {
    pub hollow: usize,
    pub real: usize,
    pub engines: usize,
    pub regions: usize,
    pub zones: usize,
    /// The part without faults: the first half is for the start, the second is measured.
    pub seconds: f64,
    pub seed: u64,
    /// Budgets divided by leases among all.
    pub budgets: usize,
    pub faults: Option<PathBuf>,
    /// The gateway's program.
    pub gateway: PathBuf,
    /// This program, for the hollow processes.
    pub rig: PathBuf,
}

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
