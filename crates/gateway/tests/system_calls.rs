//! System calls that fail in the ways that Linux documents, and a log that cannot be written,
//! neither end a gateway nor prevent its start, and every client still gets an answer.

#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod support;

use std::collections::BTreeMap;
use std::fs::File;
use std::os::fd::{AsFd, OwnedFd};
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use process_harness::system_calls::libc::{self, c_long};
use process_harness::system_calls::{Effect, Errno, FaultPlan, SystemCall};
use rustix::fs::{OFlags, fcntl_setfl};
use rustix::process::{Pid, Signal, kill_process};
use stand_ins::board::Board;

use support::faults::*;
use support::*;

/// Number of calls of one kind that are failed in turn, starting with the first. Later calls come
/// from the same places in the code.
const MAX_OCCURRENCES: usize = 12;

/// Returns a fault for each system call that a lifecycle without faults makes, and each transient
/// error of that call.
fn single_faults() -> Vec<SingleFault> {
    let calls = Arc::new(Mutex::new(Vec::new()));
    let run = TestEnvironment::new().run_lifecycle(record_calls(calls.clone()));
    run.outcome.unwrap();
    let mut occurrences: BTreeMap<c_long, usize> = BTreeMap::new();
    for number in calls.lock().unwrap().iter() {
        *occurrences.entry(*number).or_default() += 1;
    }
    let mut faults = Vec::new();
    for (number, errors) in TRANSIENT_ERRORS {
        let call_count = occurrences.get(number).copied().unwrap_or_default();
        for occurrence in 1..=call_count.min(MAX_OCCURRENCES) {
            for errno in *errors {
                faults.push(SingleFault {
                    number: *number,
                    occurrence,
                    errno: *errno,
                });
            }
        }
    }
    faults
}

#[test]
fn a_single_failed_system_call_neither_ends_the_gateway_nor_loses_a_statement() {
    let faults = single_faults();
    assert!(faults.len() > 100, "{} faults", faults.len());
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(
        failures.is_empty(),
        "{} of {}:\n{}",
        failures.len(),
        faults.len(),
        failures.join("\n")
    );
}

/// A kind of system call that fails from the start, for some time.
#[derive(Clone, Copy, Debug)]
struct LastingFault {
    number: c_long,
    errno: Errno,
    lasts: Duration,
}

impl LastingFault {
    fn plan(self) -> impl FaultPlan {
        let mut own_calls = OwnCalls::default();
        let started = Instant::now();
        move |call: &SystemCall| {
            let applies = own_calls.includes(call) && call.number == self.number;
            if applies && started.elapsed() < self.lasts {
                Effect::Fail(self.errno)
            } else {
                Effect::Proceed
            }
        }
    }
}

#[test]
fn system_calls_that_fail_for_two_seconds_do_not_end_the_gateway() {
    let two_seconds = |number, errno| LastingFault {
        number,
        errno,
        lasts: Duration::from_secs(2),
    };
    let faults = [
        two_seconds(libc::SYS_accept4, Errno::ENFILE),
        two_seconds(libc::SYS_accept4, Errno::ENOBUFS),
        two_seconds(libc::SYS_bind, Errno::EADDRINUSE),
        two_seconds(libc::SYS_bind, Errno::EADDRNOTAVAIL),
        two_seconds(libc::SYS_connect, Errno::EADDRNOTAVAIL),
        two_seconds(libc::SYS_connect, Errno::ENETUNREACH),
        two_seconds(libc::SYS_epoll_create1, Errno::EMFILE),
        two_seconds(libc::SYS_epoll_ctl, Errno::ENOMEM),
        two_seconds(libc::SYS_epoll_pwait, Errno::EINTR),
        two_seconds(libc::SYS_eventfd2, Errno::ENFILE),
        two_seconds(libc::SYS_listen, Errno::EADDRINUSE),
        two_seconds(libc::SYS_openat, Errno::ENFILE),
        two_seconds(libc::SYS_openat, Errno::EIO),
        two_seconds(libc::SYS_read, Errno::EIO),
        two_seconds(libc::SYS_recvfrom, Errno::EINTR),
        two_seconds(libc::SYS_sendto, Errno::EINTR),
        two_seconds(libc::SYS_sendto, Errno::ENOBUFS),
        two_seconds(libc::SYS_signalfd4, Errno::ENFILE),
        two_seconds(libc::SYS_socket, Errno::ENFILE),
        two_seconds(libc::SYS_socket, Errno::ENOBUFS),
        two_seconds(libc::SYS_timerfd_create, Errno::ENFILE),
        two_seconds(libc::SYS_write, Errno::EAGAIN),
        two_seconds(libc::SYS_write, Errno::ENOSPC),
    ];
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn a_client_whose_accept_failed_once_is_served_within_a_second() {
    // While the discovery service does not answer, nothing else wakes the gateway for 1.5 s.
    const MAX_DELAY: Duration = Duration::from_secs(1);
    let environment = TestEnvironment::new();
    environment.silence_discovery();
    let additional_errors = [Errno::EMFILE, Errno::ENOMEM, Errno::EHOSTUNREACH];
    for errno in ACCEPT_ERRORS.iter().copied().chain(additional_errors) {
        let is_accept = |call: &SystemCall| call.number == libc::SYS_accept4;
        let first_fails = move |occurrence| match occurrence {
            1 => Effect::Fail(errno),
            _ => Effect::Proceed,
        };
        let gateway = environment.start(by_occurrence(is_accept, first_fails));
        let mut client = gateway.connect_when_listening(&query()).unwrap();
        client.answer().unwrap();
        let waited = gateway.time_since_connect();
        assert!(waited < MAX_DELAY, "{errno}: answered after {waited:?}");
    }
}

#[test]
fn a_gateway_whose_event_loop_loses_events_still_serves() {
    let run = TestEnvironment::new().run_lifecycle(lose_events_of_every_second_wait());
    run.outcome.unwrap();
    assert!(counter(&run.log, "event_loop_failures") > 0);
}

#[test]
fn transfers_of_one_byte_lose_no_data() {
    let run = TestEnvironment::new().run_lifecycle(one_byte_transfers());
    run.outcome.unwrap();
    assert_eq!(counter(&run.log, "log_lines_lost"), 0, "{}", run.log);
}

#[test]
fn a_reload_that_cannot_open_the_configuration_is_retried() {
    let is_open = |call: &SystemCall| call.number == libc::SYS_openat;
    // The first open is that of the start.
    let reload_fails = |occurrence| match occurrence {
        2..=4 => Effect::Fail(Errno::EMFILE),
        _ => Effect::Proceed,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(is_open, reload_fails));
    run.outcome.unwrap();
    let reloads = (
        counter(&run.log, "reloads"),
        counter(&run.log, "reloads_failed"),
    );
    assert_eq!(reloads, (1, 0), "{}", run.log);
}

#[test]
fn a_half_written_configuration_is_read_again_once_complete() {
    let environment = TestEnvironment::new();
    let mut gateway = environment.start(|_: &SystemCall| Effect::Proceed);
    drop(gateway.connect_when_listening(&[]).unwrap());
    let complete = std::fs::read(&gateway.config).unwrap();
    for length in [0, complete.len() / 2] {
        std::fs::write(&gateway.config, &complete[..length]).unwrap();
        gateway.signal(process_harness::system_calls::Signal::SIGHUP);
        gateway.wait_for_log("reload: tried again");
        std::fs::write(&gateway.config, &complete).unwrap();
        gateway.wait_for_log("configuration read again");
    }
}

/// Whether the call reads from the signalfd. Its records have this size, and no other read uses it.
fn reads_signal(call: &SystemCall) -> bool {
    const RECORD_BYTES: u64 = 128;
    call.number == libc::SYS_read && call.arguments[2] == RECORD_BYTES
}

#[test]
fn a_partial_read_of_a_signal_does_not_end_the_gateway() {
    let half_record = |occurrence| match occurrence {
        1 => Effect::Return(64),
        2 => Effect::Fail(Errno::EINTR),
        3 => Effect::Fail(Errno::EIO),
        _ => Effect::Proceed,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(reads_signal, half_record));
    run.outcome.unwrap();
    assert_eq!(counter(&run.log, "reloads"), 1, "{}", run.log);
}

/// `accept4` and `getpeername` return an address that is cut to 4 bytes. The first such call is
/// made for the first discovery poll, and the first client's address is read soon after.
#[test]
fn a_truncated_peer_address_does_not_end_the_gateway() {
    let returns_address =
        |call: &SystemCall| [libc::SYS_accept4, libc::SYS_getpeername].contains(&call.number);
    let truncate = |_| Effect::AnswerLength {
        argument: 2,
        bytes: 4,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(returns_address, truncate));
    run.outcome.unwrap();
}

#[test]
fn sigterm_ends_a_start_that_is_being_retried() {
    let is_open = |call: &SystemCall| call.number == libc::SYS_openat;
    let always_fail = |_| Effect::Fail(Errno::ENFILE);
    let environment = TestEnvironment::new();
    let mut gateway = environment.start(by_occurrence(is_open, always_fail));
    gateway.wait_for_log("it is tried again");
    gateway.signal(process_harness::system_calls::Signal::SIGTERM);
    gateway.expect_clean_exit().unwrap();
}

#[test]
fn the_log_reports_the_number_of_lost_lines() {
    let two_writes_fail = |occurrence| match occurrence {
        2..=3 => Effect::Fail(Errno::ENOSPC),
        _ => Effect::Proceed,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(writes_log, two_writes_fail));
    run.outcome.unwrap();
    let notice = "log: 2 lines could not be written\n";
    assert!(run.log.contains(notice), "{}", run.log);
    assert_eq!(counter(&run.log, "log_lines_lost"), 2);
}

#[test]
fn random_failures_lose_no_statement() {
    let seeds: Vec<u64> = (1..=24).collect();
    let failures = lifecycle_failures(&seeds, |seed| random_faults(*seed));
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Runs a subcommand that prints more than one line, with this standard output.
fn print_to(stdout: OwnedFd) -> Output {
    let board = Board::start("127.0.0.1:0").unwrap();
    let GatewayConfig { path, .. } = configure(&board, "", |_| {});
    let output = Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .arg("check")
        .arg(&path)
        .env_remove("LAURELHITCH_OPERATOR")
        .stdout(Stdio::from(stdout))
        .output()
        .unwrap();
    std::fs::remove_file(path).unwrap();
    output
}

#[test]
fn a_command_that_cannot_write_its_output_prints_one_error_line() {
    let (full_disk, _) = unwritable(Unwritable::FullDisk);
    let output = print_to(full_disk);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[test]
fn a_command_whose_output_pipe_is_closed_exits_without_an_error() {
    let (pipe, _) = unwritable(Unwritable::ClosedPipe);
    let output = print_to(pipe);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{stderr}");
    assert_eq!(stderr, "");
}

/// A kind of log destination that cannot be written.
#[derive(Clone, Copy, Debug)]
enum Unwritable {
    /// The disk is full.
    FullDisk,
    /// The reader of the pipe has closed it.
    ClosedPipe,
    /// The pipe is full, and a write fails with `EAGAIN`.
    NonblockingFullPipe,
    /// The pipe is full, and a write blocks.
    BlockingFullPipe,
}

/// Returns a descriptor for the log, and for a full pipe its read end, which has to stay open.
fn unwritable(kind: Unwritable) -> (OwnedFd, Option<OwnedFd>) {
    if let Unwritable::FullDisk = kind {
        let full = File::options().write(true).open("/dev/full").unwrap();
        return (full.into(), None);
    }
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    if let Unwritable::ClosedPipe = kind {
        return (writer, None);
    }
    fcntl_setfl(writer.as_fd(), OFlags::NONBLOCK).unwrap();
    while rustix::io::write(&writer, &[b'x'; 512]).is_ok() {}
    if let Unwritable::BlockingFullPipe = kind {
        fcntl_setfl(writer.as_fd(), OFlags::empty()).unwrap();
    }
    (writer, Some(reader))
}

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

/// Runs a gateway with such a log from its start to its exit.
fn run_with_log(kind: Unwritable) -> Result<(), String> {
    let (log, _reader) = unwritable(kind);
    let engine = engine(1);
    let board = Board::start("127.0.0.1:0").unwrap();
    announce_engines(&board, &[engine.address]);
    let GatewayConfig { path, listen } = configure(&board, "", |_| {});
    let mut child = Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::from(log))
        .spawn()
        .unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    let outcome = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break Err(format!("{kind:?}: ended before it was ready: {status}"));
        }
        match stand_ins::client::Client::login(listen) {
            Ok(mut client) => {
                signal(&child, Signal::USR1);
                signal(&child, Signal::HUP);
                let mut result = run_statement(&mut client, "statement after signals");
                signal(&child, Signal::TERM);
                result =
                    result.and_then(|()| run_statement(&mut client, "statement after SIGTERM"));
                drop(client);
                break result.map_err(|error| format!("{kind:?}: {error}"));
            }
            Err(_) if Instant::now() > deadline => break Err(format!("{kind:?}: not ready")),
            Err(_) => pause(),
        }
    };
    let outcome = outcome.and_then(|()| expect_clean_exit(kind, &mut child));
    let _ = child.kill();
    let _ = child.wait();
    std::fs::remove_file(path).unwrap();
    outcome
}

fn expect_clean_exit(kind: Unwritable, child: &mut Child) -> Result<(), String> {
    let deadline = Instant::now() + Duration::from_secs(6);
    loop {
        match child.try_wait().unwrap() {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("{kind:?}: exited with {status}")),
            None if Instant::now() > deadline => return Err(format!("{kind:?}: did not exit")),
            None => pause(),
        }
    }
}

#[test]
fn an_unwritable_log_does_not_end_the_gateway() {
    let kinds = [
        Unwritable::FullDisk,
        Unwritable::ClosedPipe,
        Unwritable::NonblockingFullPipe,
        Unwritable::BlockingFullPipe,
    ];
    let failures: Vec<String> = kinds
        .into_iter()
        .filter_map(|kind| run_with_log(kind).err())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
