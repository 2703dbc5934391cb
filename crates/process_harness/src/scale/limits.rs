//! Bounds of a run, checked before it starts and while it goes on.

use thiserror::Error;

use super::process;

/// Processes of a run at most, the command among them.
pub const MOST_PROCESSES: usize = 199;
/// Gateways at most: as many as leases can be divided among.
pub const MOST_GATEWAYS: usize = 4096;
/// Real processes at most.
pub const MOST_REAL: usize = 100;
/// Memory that one gateway's record of another takes while views still differ: 3,023 bytes in the run of 1,900.
const RECORD_BYTES: u64 = 3050;
/// Memory of a gateway besides, and of a process besides its gateways.
const GATEWAY_BYTES: u64 = 256 << 10;
const PROCESS_BYTES: u64 = 32 << 20;
/// Descriptors of a hollow process besides its sockets.
const OTHER_FILES: u64 = 32;

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

/// # Errors
/// The value of a flag is outside of its bounds.
pub fn flag(flag: &'static str, value: usize, least: usize, most: usize) -> Result<(), LimitError> {
    let usable = (least..=most).contains(&value);
    if usable {
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

/// Before anything starts: `largest`: gateways of the largest hollow process.
///
/// # Errors
/// It would take too much of something.
pub fn before(gateways: usize, processes: usize, largest: usize) -> Result<(), LimitError> {
    if processes > MOST_PROCESSES {
        return Err(LimitError::Processes(processes));
    }
    let each = GATEWAY_BYTES + RECORD_BYTES * gateways as u64;
    let needed = mebibytes(each * gateways as u64 + PROCESS_BYTES * processes as u64);
    let bound = mebibytes(half_of_memory());
    if needed > bound {
        return Err(LimitError::Estimate { needed, bound });
    }
    let needed = largest as u64 + OTHER_FILES;
    let files = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    match files {
        Some(bound) if bound < needed => Err(LimitError::Files { needed, bound }),
        _ => Ok(()),
    }
}

/// While it runs.
///
/// # Errors
/// These processes take more than half of the machine's memory.
pub fn during(processes: &[u32]) -> Result<u64, LimitError> {
    if processes.len() > MOST_PROCESSES {
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
