//! The log, written as whole lines to standard error.
//!
//! A log line that cannot be written is dropped, because the disk may be full or the reader gone or
//! slow. Writing never fails, panics or blocks. Dropped lines are counted, and the next line that
//! can be written is preceded by their number.

use std::io::{self, Write};
use std::os::fd::BorrowedFd;
use std::sync::{Mutex, PoisonError, TryLockError};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::FileType;
use rustix::io::Errno;

/// The most that a pipe reported as writable accepts without blocking, which is PIPE_BUF on Linux.
const MAX_WRITE_BYTES: usize = 4096;

/// How often a write that a signal interrupts is repeated.
const MAX_WRITE_RETRIES: usize = 16;

/// The state of the log.
struct LogState {
    /// Lines that were dropped since the start.
    lost: u64,
    /// Dropped lines that the log does not mention yet.
    unreported: u64,
    /// The last line was written only in part.
    last_line_cut: bool,
}

/// A process has only one standard error.
static STATE: Mutex<LogState> = Mutex::new(LogState {
    lost: 0,
    unreported: 0,
    last_line_cut: false,
});

/// Writes one line to the log and adds the line end.
pub fn write_line(line: &str) {
    write_record(format!("{line}\n").as_bytes());
}

/// Writes one line like [`write_line`], or drops it if the log is locked. A panic hook needs this,
/// because it may run while the same thread is writing a line.
pub fn write_line_unless_writing(line: &str) {
    match STATE.try_lock() {
        Ok(mut state) => state.write_record(format!("{line}\n").as_bytes()),
        Err(TryLockError::Poisoned(state)) => {
            let mut state = state.into_inner();
            state.write_record(format!("{line}\n").as_bytes());
        }
        Err(TryLockError::WouldBlock) => {}
    }
}

/// The number of lines dropped since the start.
#[must_use]
pub fn lost_lines() -> u64 {
    STATE.lock().unwrap_or_else(PoisonError::into_inner).lost
}

/// Standard error for a logging library. Each write is one record, and always succeeds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogWriter;

impl Write for LogWriter {
    fn write(&mut self, record: &[u8]) -> io::Result<usize> {
        write_record(record);
        Ok(record.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_record(record: &[u8]) {
    let mut state = STATE.lock().unwrap_or_else(PoisonError::into_inner);
    state.write_record(record);
}

impl LogState {
    fn write_record(&mut self, record: &[u8]) {
        let is_written = self.report_lost_lines().is_ok() && self.write(record).is_ok();
        if !is_written {
            self.lost += 1;
            self.unreported += 1;
        }
    }

    /// Writes the number of lines that are missing at this place, if any.
    fn report_lost_lines(&mut self) -> rustix::io::Result<()> {
        if self.unreported == 0 {
            return Ok(());
        }
        let line_end = if self.last_line_cut { "\n" } else { "" };
        let notice = format!(
            "{line_end}log: {} lines could not be written\n",
            self.unreported
        );
        self.write(notice.as_bytes())?;
        self.unreported = 0;
        Ok(())
    }

    fn write(&mut self, record: &[u8]) -> rustix::io::Result<()> {
        let mut rest = record;
        while !rest.is_empty() {
            match write_once(rest) {
                Ok(length) => rest = &rest[length..],
                Err(error) => {
                    self.last_line_cut |= rest.len() < record.len();
                    return Err(error);
                }
            }
        }
        self.last_line_cut = false;
        Ok(())
    }
}

/// Writes as many of the bytes as possible without blocking.
fn write_once(bytes: &[u8]) -> rustix::io::Result<usize> {
    let stderr = rustix::stdio::stderr();
    if may_block(stderr) {
        return Err(Errno::AGAIN);
    }
    let part = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    for _ in 0..MAX_WRITE_RETRIES {
        match rustix::io::write(stderr, part) {
            Ok(0) => return Err(Errno::IO),
            Err(Errno::INTR) => {}
            result => return result,
        }
    }
    Err(Errno::INTR)
}

/// Whether a write may block because standard error is a full pipe or socket. Returns false when
/// this cannot be determined.
fn may_block(stderr: BorrowedFd<'_>) -> bool {
    let has_reader = rustix::fs::fstat(stderr).is_ok_and(|status| {
        let file_type = FileType::from_raw_mode(status.st_mode);
        matches!(file_type, FileType::Fifo | FileType::Socket)
    });
    if !has_reader {
        return false;
    }
    let mut watched = [PollFd::new(&stderr, PollFlags::OUT)];
    let zero_timeout = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let is_known = poll(&mut watched, Some(&zero_timeout)).is_ok();
    is_known && watched[0].revents().is_empty()
}
