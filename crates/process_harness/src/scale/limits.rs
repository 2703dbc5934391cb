//! Limits of a scale run, which are checked before it starts and while it is running.

use thiserror::Error;

use super::process;

/// The greatest number of processes of a run, including the harness itself.
pub const MAX_PROCESSES: usize = 199;
/// The greatest number of gateways, which is the number that leases can be divided among.
pub const MAX_GATEWAYS: usize = 4096;
/// The greatest number of real gateway processes.
pub const MAX_REAL: usize = 100;
/// The memory of one gateway's record of another. The records take 3,023 bytes each at 1,900
/// gateways while the views still differ.
const RECORD_BYTES: u64 = 3050;
/// The memory of a gateway without its records.
const GATEWAY_BYTES: u64 = 256 << 10;
/// The memory of a process without its gateways.
const PROCESS_BYTES: u64 = 32 << 20;
/// The file descriptors of a hollow process other than its gateways' sockets.
const OTHER_DESCRIPTORS: u64 = 32;

/// A limit that a run exceeds.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum LimitError {
    #[error("{flag}: {value} is not between {least} and {most}")]
    Flag {
        flag: &'static str,
        value: String,
        least: usize,
        most: usize,
    },
    #[error("--hollow, --real: {0} processes; fewer than 200 is the bound")]
    Processes(usize),
    #[error(
        "--hollow: {needed} MiB needed as estimated; half of the machine's memory is {bound} MiB"
    )]
    Estimate { needed: u64, bound: u64 },
    #[error("memory: the run took {taken} MiB; half of the machine's memory is {bound} MiB")]
    Memory { taken: u64, bound: u64 },
    #[error(
        "--hollow: a hollow process needs {needed} descriptors; the limit (ulimit -n) is {bound}"
    )]
    Files { needed: u64, bound: u64 },
}

/// Checks the value of a flag.
///
/// # Errors
///
/// The value is not between the least and the greatest allowed one.
pub fn check_flag(
    flag: &'static str,
    value: usize,
    least: usize,
    most: usize,
) -> Result<(), LimitError> {
    let in_range = (least..=most).contains(&value);
    if in_range {
        Ok(())
    } else {
        Err(LimitError::Flag {
            flag,
            value: value.to_string(),
            least,
            most,
        })
    }
}

const fn mebibytes(bytes: u64) -> u64 {
    bytes >> 20
}

fn half_of_memory() -> u64 {
    process::machine_memory_bytes() / 2
}

/// Checks the needs of a run before it starts. `largest` is the greatest number of gateways in one
/// hollow process.
///
/// # Errors
///
/// The run needs too many processes, too much memory or too many file descriptors.
pub fn check_before_start(
    gateways: usize,
    processes: usize,
    largest: usize,
) -> Result<(), LimitError> {
    if processes > MAX_PROCESSES {
        return Err(LimitError::Processes(processes));
    }
    let each = GATEWAY_BYTES + RECORD_BYTES * gateways as u64;
    let needed = mebibytes(each * gateways as u64 + PROCESS_BYTES * processes as u64);
    let bound = mebibytes(half_of_memory());
    if needed > bound {
        return Err(LimitError::Estimate { needed, bound });
    }
    let needed = largest as u64 + OTHER_DESCRIPTORS;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match limit {
        Some(bound) if bound < needed => Err(LimitError::Files { needed, bound }),
        _ => Ok(()),
    }
}

/// Checks the processes of a run while it is running, and returns their memory in bytes.
///
/// # Errors
///
/// There are too many processes, or they take more than half of the machine's memory.
pub fn check_running(processes: &[u32]) -> Result<u64, LimitError> {
    if processes.len() > MAX_PROCESSES {
        return Err(LimitError::Processes(processes.len()));
    }
    let taken: u64 = processes
        .iter()
        .filter_map(|pid| process::memory_bytes(*pid))
        .sum();
    let bound = half_of_memory();
    if taken > bound {
        return Err(LimitError::Memory {
            taken: mebibytes(taken),
            bound: mebibytes(bound),
        });
    }
    Ok(taken)
}
