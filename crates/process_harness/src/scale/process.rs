//! Clocks, CPU time and memory of processes and of the machine, as the operating system reports
//! them.

use std::fs;

use rustix::time::{ClockId, clock_gettime};

fn seconds(clock: ClockId) -> f64 {
    let now = clock_gettime(clock);
    now.tv_sec as f64 + now.tv_nsec as f64 / 1e9
}

/// Returns the monotonic clock in seconds. All processes of the machine share it.
pub fn monotonic_s() -> f64 {
    seconds(ClockId::Monotonic)
}

/// Returns the boot-time clock in seconds, by which leases expire.
pub fn boottime_s() -> f64 {
    seconds(ClockId::Boottime)
}

/// Returns the CPU time of the calling thread in seconds.
pub fn thread_cpu_s() -> f64 {
    seconds(ClockId::ThreadCPUTime)
}

/// Returns the CPU time of this process in seconds.
pub fn process_cpu_s() -> f64 {
    seconds(ClockId::ProcessCPUTime)
}

/// Returns the user and system CPU time of a process in seconds, or `None` if it has ended.
pub fn cpu_s(pid: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name of the command is in parentheses and may contain spaces. User and system time are
    // the 12th and 13th fields after it.
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

/// Returns a field of a file in `/proc` that is given in KiB.
fn kilobytes(path: &str, field: &str) -> Option<u64> {
    let text = fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(field))?;
    line.trim_start_matches(':')
        .split_whitespace()
        .next()?
        .parse()
        .ok()
}

/// Returns the resident memory of a process in bytes, or `None` if it has ended.
pub fn memory_bytes(pid: u32) -> Option<u64> {
    kilobytes(&format!("/proc/{pid}/status"), "VmRSS").map(|kilobytes| kilobytes * 1024)
}

/// Returns the memory of the machine in bytes, or zero if it is unknown.
pub fn machine_memory_bytes() -> u64 {
    kilobytes("/proc/meminfo", "MemTotal").unwrap_or(0) * 1024
}
