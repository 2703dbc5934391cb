//! Makes chosen system calls of a process fail, or do only a part of their work, as Linux documents that they may.
//!
//! The process runs under ptrace, which needs no special rights for a child of one's own. A [`FaultPlan`] sees each call
//! before the kernel does, so the k-th call of a kind fails in the same way at each run. Clocks, which Linux lets a process
//! read without a call, are read by calls here. Threads that the process starts run untraced.

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

/// The value that the kernel takes for "no call": it skips the one that is about to be made.
const SKIPPED_CALL: u64 = u64::MAX;

/// The size of a word of the process's memory.
const WORD_BYTES: u64 = 8;

/// A system call that the process is about to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SystemCall {
    /// Its number, one of `libc::SYS_*`.
    pub number: libc::c_long,
    /// Its arguments, in the kernel's order.
    pub arguments: [u64; 6],
}

/// What becomes of a system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The kernel makes it.
    Proceed,
    /// It is not made, and returns this error.
    Fail(Errno),
    /// It is not made, and returns this value as if it had been.
    Return(u64),
    /// It is made, and the length that it gives back beside an answer becomes another one.
    AnswerLength {
        /// Which of the call's arguments points to the length, from zero.
        argument: usize,
        /// The length that the process finds there, in bytes.
        bytes: u32,
    },
    /// It is made with its third argument, the length of a buffer, cut to this many bytes.
    Shorten(u64),
    /// It is made, and the time that it writes, where its second argument points, is so many seconds later.
    ShiftTime(i64),
    /// It is made, and the time that it writes, where its second argument points, gets these nanoseconds.
    SetNanoseconds(i64),
}

/// Decides what becomes of each system call of a process.
pub trait FaultPlan: Send + 'static {
    /// Called before each system call, in the order in which they are made.
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
    /// It exited with this status.
    Exited(i32),
    /// This signal ended it.
    Signaled(Signal),
}

/// A process under a [`FaultPlan`]; it is killed when this is dropped.
pub struct TracedProcess {
    pid: Pid,
    /// Its standard error, where the command pipes it.
    pub stderr: Option<ChildStderr>,
    end: Receiver<ProcessEnd>,
}

struct Started {
    pid: Pid,
    stderr: Option<ChildStderr>,
}

impl TracedProcess {
    /// Starts a program; the plan sees its calls from the end of `execve` on.
    ///
    /// # Errors
    ///
    /// The program cannot be started.
    pub fn spawn(command: Command, plan: impl FaultPlan) -> io::Result<Self> {
        let (tell_start, start) = channel();
        let (tell_end, end) = channel();
        // The thread that starts the process is its tracer: no other may make requests of ptrace.
        thread::spawn(move || run_tracer(command, plan, &tell_start, &tell_end));
        let started: Started = start
            .recv()
            .map_err(|_| io::Error::other("the tracer ended"))??;
        Ok(TracedProcess {
            pid: started.pid,
            stderr: started.stderr,
            end,
        })
    }

    /// Sends it a signal; nothing happens where it has ended.
    pub fn signal(&self, signal: Signal) {
        // It may have ended a moment ago.
        let _ = kill(self.pid, signal);
    }

    /// Waits for its end; none: it still runs.
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
    // SAFETY: between fork and exec the hook makes one system call and touches no memory of the parent.
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

/// Follows a process from its first stop to its end.
fn trace(pid: Pid, plan: &mut impl FaultPlan) -> nix::Result<ProcessEnd> {
    if let Some(end) = process_end(waitpid(pid, None)?) {
        return Ok(end);
    }
    let options = ptrace::Options::PTRACE_O_TRACESYSGOOD | ptrace::Options::PTRACE_O_EXITKILL;
    ptrace::setoptions(pid, options)?;
    hide_clock_page(pid)?;
    let mut forwarded_signal = None;
    let mut after_call = AfterCall::Nothing;
    loop {
        match ptrace::syscall(pid, forwarded_signal.take()) {
            // It was killed while it stood still; the next wait tells.
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

fn process_end(status: WaitStatus) -> Option<ProcessEnd> {
    match status {
        WaitStatus::Exited(_, code) => Some(ProcessEnd::Exited(code)),
        WaitStatus::Signaled(_, signal, _) => Some(ProcessEnd::Signaled(signal)),
        _ => None,
    }
}

/// What is to be done once the call returns before which the process stands.
#[derive(Clone, Copy)]
enum AfterCall {
    Nothing,
    /// It returns this.
    SetResult(u64),
    /// The length at this place of the process's memory becomes this one.
    SetLength {
        place: u64,
        length: u32,
    },
    /// The time at this place becomes so many seconds later.
    ShiftTime {
        place: u64,
        seconds: i64,
    },
    /// The time at this place gets these nanoseconds.
    SetNanoseconds {
        place: u64,
        nanoseconds: i64,
    },
}

/// The process stands before or behind a system call.
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
    // SAFETY: `op` says which variant the kernel has filled.
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

/// What a call that fails returns to the process.
fn error_result(errno: Errno) -> u64 {
    i64::from(-(errno as i32)).cast_unsigned()
}

/// The seconds of a time stand first in it.
fn shift_time(pid: Pid, place: u64, seconds: i64) -> nix::Result<()> {
    let address = place as ptrace::AddressType;
    let told = ptrace::read(pid, address)?;
    ptrace::write(pid, address, told.wrapping_add(seconds))
}

/// Hides the machine's page of clocks from a process that has just been made, so that it asks for the time by system calls.
///
/// Above its stack pointer a new process finds the number of its arguments, the arguments, a zero, the environment, a zero,
/// and pairs of a key and a value, one of which says where that page is.
#[cfg(target_arch = "x86_64")]
fn hide_clock_page(pid: Pid) -> nix::Result<()> {
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

/// Writes four bytes of the process's memory, where there is a place to write to.
fn write_length(pid: Pid, place: u64, length: u32) -> nix::Result<()> {
    const LOWER_HALF: i64 = 0xffff_ffff;
    if place == 0 {
        return Ok(());
    }
    let address = place as ptrace::AddressType;
    let word = ptrace::read(pid, address)?;
    ptrace::write(pid, address, (word & !LOWER_HALF) | i64::from(length))
}

#[cfg(target_arch = "x86_64")]
fn skip_call(pid: Pid) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.orig_rax = SKIPPED_CALL;
    ptrace::setregs(pid, registers)
}

#[cfg(target_arch = "x86_64")]
fn set_result(pid: Pid, result: u64) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.rax = result;
    ptrace::setregs(pid, registers)
}

#[cfg(target_arch = "x86_64")]
fn set_length(pid: Pid, length: u64) -> nix::Result<()> {
    let mut registers = ptrace::getregs(pid)?;
    registers.rdx = length;
    ptrace::setregs(pid, registers)
}
