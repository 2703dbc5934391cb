//! Injects faults into the system calls of a process: a call fails or does only a part of its work,
//! in ways that Linux documents.
//!
//! The process runs under ptrace, which needs no privileges for a child process. A [`FaultPlan`]
//! decides on each call before the kernel executes it, so that the k-th call of a kind fails in the
//! same way on each run. The vDSO is disabled, so that reading a clock is a system call too.
//! Threads that the process starts are not traced.

use std::io;
use std::os::unix::process::CommandExt;
use std::process::{ChildStderr, Command};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::Duration;

pub use nix::errno::Errno;
pub use nix::libc;
pub use nix::sys::signal::Signal;

use nix::sys::ptrace;
use nix::sys::signal::kill;
use nix::sys::wait::{WaitStatus, waitpid};
use nix::unistd::Pid;

/// The system call number that makes the kernel skip the call that the process is about to make.
const SKIPPED_CALL: u64 = u64::MAX;

/// The size of a word that ptrace reads or writes in the process's memory.
const WORD_BYTES: u64 = 8;

/// A system call that the process is about to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemCall {
    /// The number of the call, one of `libc::SYS_*`.
    pub number: libc::c_long,
    /// The arguments of the call, in the kernel's order.
    pub arguments: [u64; 6],
}

/// What the tracer does with a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call is executed unchanged.
    Proceed,
    /// The call is skipped and returns this error.
    Fail(Errno),
    /// The call is skipped and returns this value as its result.
    Return(u64),
    /// The call is executed, and the length that it writes to memory is replaced, such as the
    /// length of a socket option.
    AnswerLength {
        /// The index, from zero, of the argument that points to the length.
        argument: usize,
        /// The new length in bytes.
        bytes: u32,
    },
    /// The call is executed with its third argument, the length of a buffer, limited to this many
    /// bytes.
    Shorten(u64),
    /// The call is executed, and this number of seconds is added to the time that it writes where
    /// its second argument points.
    ShiftTime(i64),
    /// The call is executed, and this value replaces the nanoseconds of the time that it writes
    /// where its second argument points.
    SetNanoseconds(i64),
}

/// Decides on the effect of each system call of a process.
pub trait FaultPlan: Send + 'static {
    /// Returns the effect of a call. The tracer asks before each system call, in the order of the
    /// calls.
    fn effect(&mut self, call: &SystemCall) -> Effect;
}

impl<F> FaultPlan for F
where
    F: FnMut(&SystemCall) -> Effect + Send + 'static,
{
    fn effect(&mut self, call: &SystemCall) -> Effect {
        self(call)
    }
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEnd {
    /// The process exited with this status.
    Exited(i32),
    /// This signal terminated the process.
    Signaled(Signal),
}

/// A process that is traced with a [`FaultPlan`]. Dropping the value kills the process.
pub struct TracedProcess {
    pid: Pid,
    /// The standard error of the process, or `None` if the command does not pipe it.
    pub stderr: Option<ChildStderr>,
    end: Receiver<ProcessEnd>,
}

/// What the tracer's thread reports once the process runs.
struct Started {
    pid: Pid,
    stderr: Option<ChildStderr>,
}

impl TracedProcess {
    /// Starts a program. The plan is asked for all system calls after `execve`.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn spawn(command: Command, plan: impl FaultPlan) -> io::Result<Self> {
        let (tell_start, start) = channel();
        let (tell_end, end) = channel();
        // The thread that starts the process becomes its tracer, and ptrace accepts requests only
        // from the tracer.
        thread::spawn(move || run_tracer(command, plan, &tell_start, &tell_end));
        let started: Started = start
            .recv()
            .map_err(|_| io::Error::other("the tracer thread ended before the start"))??;
        Ok(TracedProcess {
            pid: started.pid,
            stderr: started.stderr,
            end,
        })
    }

    /// Sends a signal to the process, or does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        // The process may have ended already, which is no error here.
        let _ = kill(self.pid, signal);
    }

    /// Waits for the end of the process. Returns `None` if it is still running after this time.
    ///
    /// # Panics
    ///
    /// The tracer has failed.
    #[must_use]
    pub fn wait(&self, within: Duration) -> Option<ProcessEnd> {
        match self.end.recv_timeout(within) {
            Ok(end) => Some(end),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => panic!("the tracer failed"),
        }
    }
}

impl Drop for TracedProcess {
    fn drop(&mut self) {
        self.signal(Signal::SIGKILL);
    }
}

fn run_tracer(
    mut command: Command,
    mut plan: impl FaultPlan,
    tell_start: &Sender<io::Result<Started>>,
    tell_end: &Sender<ProcessEnd>,
) {
    // SAFETY: between fork and exec, the hook makes a single system call and accesses no memory of
    // the parent.
    unsafe { command.pre_exec(|| Ok(ptrace::traceme()?)) };
    let mut child = match command.spawn() {
        Ok(child) => child,
        Err(error) => return drop(tell_start.send(Err(error))),
    };
    let pid = Pid::from_raw(child.id().cast_signed());
    let stderr = child.stderr.take();
    let _ = tell_start.send(Ok(Started { pid, stderr }));
    if let Ok(end) = trace(pid, &mut plan) {
        let _ = tell_end.send(end);
    }
}

/// Traces a process from its first stop until it ends.
fn trace(pid: Pid, plan: &mut impl FaultPlan) -> nix::Result<ProcessEnd> {
    if let Some(end) = process_end(waitpid(pid, None)?) {
        return Ok(end);
    }
    let options = ptrace::Options::PTRACE_O_TRACESYSGOOD | ptrace::Options::PTRACE_O_EXITKILL;
    ptrace::setoptions(pid, options)?;
    hide_vdso(pid)?;
    let mut forwarded_signal = None;
    let mut after_call = AfterCall::Nothing;
    loop {
        match ptrace::syscall(pid, forwarded_signal.take()) {
            // ESRCH: the process was killed while it was stopped. The next wait returns its end.
            Ok(()) | Err(Errno::ESRCH) => {}
            Err(error) => return Err(error),
        }
        match waitpid(pid, None)? {
            WaitStatus::PtraceSyscall(_) => match on_system_call(pid, plan, &mut after_call) {
                Ok(()) | Err(Errno::ESRCH) => {}
                Err(error) => return Err(error),
            },
            WaitStatus::Stopped(_, signal) => forwarded_signal = Some(signal),
            status => {
                if let Some(end) = process_end(status) {
                    return Ok(end);
                }
            }
        }
    }
}

/// Returns how the process ended, or `None` for a status that is not an end.
fn process_end(status: WaitStatus) -> Option<ProcessEnd> {
    match status {
        WaitStatus::Exited(_, code) => Some(ProcessEnd::Exited(code)),
        WaitStatus::Signaled(_, signal, _) => Some(ProcessEnd::Signaled(signal)),
        _ => None,
    }
}

/// What the tracer does when the current system call returns.
#[derive(Clone, Copy)]
enum AfterCall {
    Nothing,
    /// Replaces the result of the call.
    SetResult(u64),
    /// Replaces the length at this address of the process's memory.
    SetLength {
        place: u64,
        length: u32,
    },
    /// Adds seconds to the time at this address.
    ShiftTime {
        place: u64,
        seconds: i64,
    },
    /// Replaces the nanoseconds of the time at this address.
    SetNanoseconds {
        place: u64,
        nanoseconds: i64,
    },
}

/// Handles a stop of the process at the entry or the exit of a system call.
fn on_system_call(
    pid: Pid,
    plan: &mut impl FaultPlan,
    after_call: &mut AfterCall,
) -> nix::Result<()> {
    let info = ptrace::syscall_info(pid)?;
    if info.op == libc::PTRACE_SYSCALL_INFO_EXIT {
        return match std::mem::replace(after_call, AfterCall::Nothing) {
            AfterCall::Nothing => Ok(()),
            AfterCall::SetResult(result) => set_result(pid, result),
            AfterCall::SetLength { place, length } => write_length(pid, place, length),
            AfterCall::ShiftTime { place, seconds } => shift_time(pid, place, seconds),
            AfterCall::SetNanoseconds { place, nanoseconds } => {
                let address = (place + WORD_BYTES) as ptrace::AddressType;
                ptrace::write(pid, address, nanoseconds)
            }
        };
    }
    if info.op != libc::PTRACE_SYSCALL_INFO_ENTRY {
        return Ok(());
    }
    // SAFETY: `op` is `PTRACE_SYSCALL_INFO_ENTRY`, for which the kernel fills the variant `entry`.
    let entry = unsafe { info.u.entry };
    let call = SystemCall {
        number: entry.nr as libc::c_long,
        arguments: entry.args,
    };
    match plan.effect(&call) {
        Effect::Proceed => Ok(()),
        Effect::Fail(errno) => {
            *after_call = AfterCall::SetResult(error_result(errno));
            skip_call(pid)
        }
        Effect::Return(value) => {
            *after_call = AfterCall::SetResult(value);
            skip_call(pid)
        }
        Effect::AnswerLength { argument, bytes } => {
            *after_call = AfterCall::SetLength {
                place: call.arguments[argument],
                length: bytes,
            };
            Ok(())
        }
        Effect::Shorten(length) => set_length(pid, call.arguments[2].min(length)),
        Effect::ShiftTime(seconds) => {
            let place = call.arguments[1];
            *after_call = AfterCall::ShiftTime { place, seconds };
            Ok(())
        }
        Effect::SetNanoseconds(nanoseconds) => {
            let place = call.arguments[1];
            *after_call = AfterCall::SetNanoseconds { place, nanoseconds };
            Ok(())
        }
    }
}

/// Returns the result register's value for a call that fails with this error.
fn error_result(errno: Errno) -> u64 {
    i64::from(-(errno as i32)).cast_unsigned()
}

/// Adds seconds to a `timespec`, whose first word is the seconds.
fn shift_time(pid: Pid, place: u64, seconds: i64) -> nix::Result<()> {
    let address = place as ptrace::AddressType;
    let old_seconds = ptrace::read(pid, address)?;
    ptrace::write(pid, address, old_seconds.wrapping_add(seconds))
}

/// Hides the vDSO from a new process, so that it reads the clocks by system calls.
///
/// The stack of a new process starts with the number of arguments, the arguments, a zero, the
/// environment, a zero and the auxiliary vector. The vector is a list of pairs of a key and a
/// value, one of which holds the address of the vDSO; its key is replaced by `AT_IGNORE`.
#[cfg(target_arch = "x86_64")]
fn hide_vdso(pid: Pid) -> nix::Result<()> {
    let read = |place: u64| ptrace::read(pid, place as ptrace::AddressType);
    let stack = ptrace::getregs(pid)?.rsp;
    let arguments = read(stack)?.cast_unsigned();
    let mut place = stack + WORD_BYTES * (arguments + 2);
    while read(place)? != 0 {
        place += WORD_BYTES;
    }
    place += WORD_BYTES;
    loop {
        match read(place)?.cast_unsigned() {
            libc::AT_NULL => return Ok(()),
            libc::AT_SYSINFO_EHDR => {
                let ignored = libc::AT_IGNORE.cast_signed();
                return ptrace::write(pid, place as ptrace::AddressType, ignored);
            }
            _ => place += 2 * WORD_BYTES,
        }
    }
}

/// Writes a 32-bit length to the process's memory, or does nothing if the address is null.
fn write_length(pid: Pid, place: u64, length: u32) -> nix::Result<()> {
    const LOWER_HALF: i64 = 0xffff_ffff;
    if place == 0 {
        return Ok(());
    }
    let address = place as ptrace::AddressType;
    let word = ptrace::read(pid, address)?;
    ptrace::write(pid, address, (word & !LOWER_HALF) | i64::from(length))
}

/// Makes the kernel skip the system call that the process is about to make.
#[cfg(target_arch = "x86_64")]
fn skip_call(pid: Pid) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.orig_rax = SKIPPED_CALL;
    ptrace::setregs(pid, registers)
}

/// Sets the result of the system call that has just returned.
#[cfg(target_arch = "x86_64")]
fn set_result(pid: Pid, result: u64) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.rax = result;
    ptrace::setregs(pid, registers)
}

/// Sets the third argument of the system call that the process is about to make.
#[cfg(target_arch = "x86_64")]
fn set_length(pid: Pid, length: u64) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.rdx = length;
    ptrace::setregs(pid, registers)
}
