//! What the operating system says of processes and of the machine.

use std::fs;

use rustix::time::{ClockId, clock_gettime};

fn seconds(clock: ClockId) -> f64 {
    let now = clock_gettime(clock);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// The monotonic clock, the same in all processes of the machine.
pub fn monotonic_s() -> f64 {
    seconds(ClockId::Monotonic)
}

/// The clock that leases end by.
pub fn boottime_s() -> f64 {
    seconds(ClockId::Boottime)
}

/// CPU time of the calling thread.
pub fn thread_cpu_s() -> f64 {
    seconds(ClockId::ThreadCPUTime)
}

/// CPU time of this process.
pub fn process_cpu_s() -> f64 {
    seconds(ClockId::ProcessCPUTime)
}

/// CPU time of a process, user and system; nothing once it has ended.
pub fn cpu_s(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command in parentheses may hold spaces; user and system time are the 12th and 13th fields after it.
    let after = stat.rsplit_once(')')?.1;
    let ticks: Vec<u64> = after
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse().ok())
        .collect();
    let per_second = rustix::param::clock_ticks_per_second() as f64;
    (ticks.len() == 2).then(|| ticks.iter().sum::<u64>() as f64 / per_second)
}

fn kilobytes(path: &str, field: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    line.trim_start_matches(':')
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

/// Resident memory of a process; nothing once it has ended.
pub fn memory_bytes(pid: u32) -> Option<u64> {
    kilobytes(&format!("/proc/{pid}/status"), "VmRSS").map(|kilobytes| kilobytes * 1024)
}

pub fn machine_memory_bytes() -> u64 {
    kilobytes("/proc/meminfo", "MemTotal").unwrap_or(0) * 1024
}
