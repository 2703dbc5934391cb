//! The log: whole lines on standard error.
//!
//! A log that cannot be written costs lines and nothing else: the disk below it may be full, its reader may be gone or
//! behind. No write here fails, panics or waits; lines that the machine does not take are counted, and the next line that
//! it takes is preceded by their number.

use std::io::{self, Write};
use std::os::fd::BorrowedFd;
use std::sync::{Mutex, PoisonError, TryLockError};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::FileType;
use rustix::io::Errno;

/// The most that a pipe takes at once without waiting, where it tells that it has room: PIPE_BUF of Linux.
const MAX_WRITE_BYTES: usize = 4096;

/// How often one write is tried again because a signal interrupted it.
const MAX_INTERRUPTIONS: usize = 16;

/// What became of the lines so far.
struct LogState {
    /// Lines that were lost since the start.
    lost: u64,
    /// Of these, lines of which the log does not tell yet.
    untold: u64,
    /// The last line was cut in its middle.
    is_cut: bool,
}

/// One process has one standard error.
static STATE: Mutex<LogState> = Mutex::new(LogState {
    lost: 0,
    untold: 0,
    is_cut: false,
});

/// Writes one line to the log; the line's end is added.
pub fn write_line(line: &str) {
    write_record(format!("{line}\n").as_bytes());
}

/// The same, for whoever may have interrupted the writing of another line on the same thread: then the line is lost.
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

/// Lines that the machine did not take since the start.
#[must_use]
pub fn lost_lines() -> u64 {
    STATE.lock().unwrap_or_else(PoisonError::into_inner).lost
}

/// Standard error for a library that logs: each write is one record, and succeeds.
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
        let is_written = self.tell_lost_lines().is_ok() && self.write(record).is_ok();
        if !is_written {
            self.lost += 1;
            self.untold += 1;
        }
    }

    /// Says how many lines are missing at this place, if any are.
    fn tell_lost_lines(&mut self) -> rustix::io::Result<()> {
        if self.untold == 0 {
            return Ok(());
        }
        let line_end = if self.is_cut { "\n" } else { "" };
        let notice = format!(
            "{line_end}log: {} lines could not be written\n",
            self.untold
        );
        self.write(notice.as_bytes())?;
        self.untold = 0;
        Ok(())
    }

    fn write(&mut self, record: &[u8]) -> rustix::io::Result<()> {
        let mut rest = record;
        while !rest.is_empty() {
            match write_once(rest) {
                Ok(length) => rest = &rest[length..],
                Err(error) => {
                    self.is_cut |= rest.len() < record.len();
                    return Err(error);
                }
            }
        }
        self.is_cut = false;
        Ok(())
    }
}

/// Writes what the machine takes of these bytes at once.
fn write_once(bytes: &[u8]) -> rustix::io::Result<usize> {
    let stderr = rustix::stdio::stderr();
    if may_wait(stderr) {
        return Err(Errno::AGAIN);
    }
    let part = &bytes[..bytes.len().min(MAX_WRITE_BYTES)];
    for _ in 0..MAX_INTERRUPTIONS {
        match rustix::io::write(stderr, part) {
            Ok(0) => return Err(Errno::IO),
            Err(Errno::INTR) => {}
            result => return result,
        }
    }
    Err(Errno::INTR)
}

/// Whether a write would wait for the reader: a pipe or a socket without room. What cannot be told counts as ready.
fn may_wait(stderr: BorrowedFd<'_>) -> bool {
    let has_reader = rustix::fs::fstat(stderr).is_ok_and(|status| {
        let file_type = FileType::from_raw_mode(status.st_mode);
        matches!(file_type, FileType::Fifo | FileType::Socket)
    });
    if !has_reader {
        return false;
    }
    let mut watched = [PollFd::new(&stderr, PollFlags::OUT)];
    let no_wait = Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    let is_told = poll(&mut watched, Some(&no_wait)).is_ok();
    is_told && watched[0].revents().is_empty()
}
