//! What the command and its hollow processes say to each other: one JSON object a line.

use serde::{Deserialize, Serialize};

use super::layout::Layout;
use super::links::Links;

/// The first line to a hollow process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Setup {
    pub seed: u64,
    /// How many processes carried these members before.
    pub generation: u64,
    pub layout: Layout,
    /// Hollow members that this process is to carry.
    pub members: Vec<usize>,
    /// The operator's file of all, as the real processes read it; name and addresses are replaced for each member.
    pub operator: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// Starts these of its members, spread by chance over a time.
    Start {
        members: Vec<usize>,
        within_s: f64,
    },
    /// Ends these of its members at once, without a word.
    Kill {
        members: Vec<usize>,
    },
    /// These say that they go, and end.
    Leave {
        members: Vec<usize>,
    },
    /// Any members, of whatever process, live from now on or do not.
    Lives {
        members: Vec<usize>,
        lives: bool,
    },
    Links(Links),
    /// Figures count from now on.
    Window,
    Figures,
    Views,
}

/// What one hollow gateway did in a window.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    pub member: usize,
    pub datagrams: u64,
    /// Payload of UDP, both directions.
    pub bytes: u64,
    pub cpu_s: f64,
}

/// What a hollow process and its gateways did in a window.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub window_s: f64,
    pub gateways: Vec<Usage>,
    pub process_cpu_s: f64,
    pub memory_bytes: u64,
    /// Memory before any gateway started.
    pub empty_memory_bytes: u64,
    pub false_deaths: u64,
    /// Times that one of its gateways was late by more than half an answer's time.
    pub stalls: u64,
    /// Lease messages to gateways that the sender did not hold to be there.
    pub undelivered: u64,
    /// Datagrams that the machine did not take.
    pub unsent: u64,
    /// What its gateways sent to real processes, by real process.
    pub to_real: Vec<Usage>,
}

/// So many gateways hold this view.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ViewCount {
    pub digest: u64,
    pub size: usize,
    pub gateways: usize,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Answer {
    Ready,
    /// One that ended is held for gone by a gateway of this process for the first time.
    Detected {
        member: usize,
        at_s: f64,
    },
    /// This member is coordinator of the leases.
    Chosen {
        member: usize,
        at_s: f64,
    },
    Figures(Box<Figures>),
    Views(Vec<ViewCount>),
    /// It cannot go on.
    Failed(String),
}
