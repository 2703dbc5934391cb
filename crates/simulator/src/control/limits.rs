//! Bounds in real time and memory, so that every situation ends and says how.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// How a situation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ended {
    /// It was played to its end.
    Completed,
    /// What was waited for did not come within the simulated time allowed.
    SimulatedLimit,
    /// The real time allowed was over first.
    RealTimeLimit,
    /// The process held more memory than allowed.
    MemoryLimit,
}

impl Ended {
    /// In the words of a table.
    pub fn text(self) -> &'static str {
        match self {
            Ended::Completed => "completed",
            Ended::SimulatedLimit => "did not end (simulated time)",
            Ended::RealTimeLimit => "did not end (real time)",
            Ended::MemoryLimit => "did not end (memory)",
        }
    }
}

/// What one situation may take of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub real_time: Duration,
    pub memory_bytes: u64,
}

/// The limits of a situation that has begun.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    limits: Limits,
    began: Instant,
}

impl Limits {
    pub fn start(self) -> Watch {
        Watch {
            limits: self,
            began: Instant::now(),
        }
    }
}

impl Watch {
    /// The limit that is exceeded, if one is.
    pub fn exceeded(&self) -> Option<Ended> {
        if self.began.elapsed() >= self.limits.real_time {
            Some(Ended::RealTimeLimit)
        } else if resident_bytes() > self.limits.memory_bytes {
            Some(Ended::MemoryLimit)
        } else {
            None
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }
}

/// Resident memory of this process; zero where the system does not tell.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|text| text.parse().ok());
    kibibytes.unwrap_or(0u64) * 1024
}
