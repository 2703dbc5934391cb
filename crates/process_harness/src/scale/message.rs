//! The messages between the scale run and its hollow processes, each a JSON object on one line.

use serde::{Deserialize, Serialize};

use super::layout::Layout;
use super::links::Links;

/// The first message to a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub seed: u64,
    /// The number of earlier processes that ran these members.
    pub generation: u64,
    pub layout: Layout,
    /// The numbers of the hollow gateways that this process runs.
    pub members: Vec<usize>,
    /// The text of the operator file, with the same settings as for the real processes. Each
    /// gateway replaces the name and the addresses by its own.
    pub operator: String,
}

/// A command to a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Starts these gateways of the process, each at a random time within `within_s` seconds.
    Start { members: Vec<usize>, within_s: f64 },
    /// Ends these gateways of the process at once, as in a crash.
    Kill { members: Vec<usize> },
    /// Makes these gateways of the process leave the fleet in order.
    Leave { members: Vec<usize> },
    /// Tells whether these gateways, of any process, live from now on.
    Lives { members: Vec<usize>, lives: bool },
    /// Replaces the network faults.
    Links(Links),
    /// Starts a new measurement window.
    Window,
    /// Asks for the figures of the current window.
    Figures,
    /// Asks for the membership views of all gateways of the process.
    Views,
}

/// The resource usage of one gateway in a measurement window.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    pub member: usize,
    pub datagrams: u64,
    /// The UDP payload in both directions.
    pub bytes: u64,
    pub cpu_s: f64,
}

/// The measurements of a hollow process and its gateways in a window.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub window_s: f64,
    pub gateways: Vec<Usage>,
    pub process_cpu_s: f64,
    pub memory_bytes: u64,
    /// The memory of the process before any gateway started.
    pub empty_memory_bytes: u64,
    pub false_deaths: u64,
    /// How often a gateway's event loop was late by more than half the time for an answer.
    pub stalls: u64,
    /// The lease messages to gateways that were not present in the sender's view.
    pub undelivered: u64,
    /// The datagrams that the operating system did not accept.
    pub unsent: u64,
    /// The traffic from the gateways of this process to each real process.
    pub to_real: Vec<Usage>,
}

/// The number of gateways that have a certain membership view.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewCount {
    pub digest: u64,
    pub size: usize,
    pub gateways: usize,
}

/// A message from a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    /// The process is set up.
    Ready,
    /// A gateway of this process is the first one of the process to notice the end of this member.
    Detected {
        member: usize,
        at_s: f64,
    },
    /// This member has become the coordinator of the leases.
    Chosen {
        member: usize,
        at_s: f64,
    },
    Figures(Box<Figures>),
    Views(Vec<ViewCount>),
    /// The process has failed for this reason.
    Failed(String),
}
