//! Limits on real time and memory, which end a situation that takes too much of either.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How a situation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// It ran to its end.
    Completed,
    /// The awaited state was not reached within the allowed simulated time.
    SimulatedLimit,
    /// It exceeded the allowed real time.
    RealTimeLimit,
    /// The process exceeded the allowed memory.
    MemoryLimit,
}

impl Ended {
    /// The text in printed tables.
    pub fn text(self) -> &'static str {
        match self {
            Ended::Completed => "completed",
            Ended::SimulatedLimit => "did not end (simulated time)",
            Ended::RealTimeLimit => "did not end (real time)",
            Ended::MemoryLimit => "did not end (memory)",
        }
    }
}

/// The limits of one situation.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub real_time: Duration,
    pub memory_bytes: u64,
}

/// Checks the limits of a running situation.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    limits: Limits,
    began: Instant,
}

impl Limits {
    /// Starts measuring real time.
    pub fn start(self) -> Watch {
        Watch {
            limits: self,
            began: Instant::now(),
        }
    }
}

impl Watch {
    /// The limit that is exceeded. `None` if none is.
    pub fn exceeded(&self) -> Option<Ended> {
        if self.began.elapsed() >= self.limits.real_time {
            Some(Ended::RealTimeLimit)
        } else if resident_bytes() > self.limits.memory_bytes {
            Some(Ended::MemoryLimit)
        } else {
            None
        }
    }

    /// The real time since the start.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// The resident memory of this process. 0 if the system does not report it.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident_kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|text| text.parse().ok());
    resident_kib.unwrap_or(0u64) * 1024
}
