//! System calls that fail in the ways that Linux documents, and a log that cannot be written: neither ends a gateway, keeps
//! it from starting, nor costs a client its answer.

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

/// Of the calls of one kind so many are failed, from the first: the later ones come in no other place.
const MAX_OCCURRENCES: usize = 12;

/// Each call that a life without faults makes, with each error that it may return for a moment.
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
        let made = occurrences.get(number).copied().unwrap_or_default();
        for occurrence in 1..=made.min(MAX_OCCURRENCES) {
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
fn no_single_failure_of_a_system_call_ends_the_gateway_or_loses_a_statement() {
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

/// A kind of call that fails from the start on, for a while.
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
            let applies = own_calls.contain(call) && call.number == self.number;
            if applies && started.elapsed() < self.lasts {
                Effect::Fail(self.errno)
            } else {
                Effect::Proceed
            }
        }
    }
}

#[test]
fn failures_that_last_a_while_end_nothing() {
    let lasting = |number, errno| LastingFault {
        number,
        errno,
        lasts: Duration::from_secs(2),
    };
    let faults = [
        lasting(libc::SYS_accept4, Errno::ENFILE),
        lasting(libc::SYS_accept4, Errno::ENOBUFS),
        lasting(libc::SYS_bind, Errno::EADDRINUSE),
        lasting(libc::SYS_bind, Errno::EADDRNOTAVAIL),
        lasting(libc::SYS_connect, Errno::EADDRNOTAVAIL),
        lasting(libc::SYS_connect, Errno::ENETUNREACH),
        lasting(libc::SYS_epoll_create1, Errno::EMFILE),
        lasting(libc::SYS_epoll_ctl, Errno::ENOMEM),
        lasting(libc::SYS_epoll_pwait, Errno::EINTR),
        lasting(libc::SYS_eventfd2, Errno::ENFILE),
        lasting(libc::SYS_listen, Errno::EADDRINUSE),
        lasting(libc::SYS_openat, Errno::ENFILE),
        lasting(libc::SYS_openat, Errno::EIO),
        lasting(libc::SYS_read, Errno::EIO),
        lasting(libc::SYS_recvfrom, Errno::EINTR),
        lasting(libc::SYS_sendto, Errno::EINTR),
        lasting(libc::SYS_sendto, Errno::ENOBUFS),
        lasting(libc::SYS_signalfd4, Errno::ENFILE),
        lasting(libc::SYS_socket, Errno::ENFILE),
        lasting(libc::SYS_socket, Errno::ENOBUFS),
        lasting(libc::SYS_timerfd_create, Errno::ENFILE),
        lasting(libc::SYS_write, Errno::EAGAIN),
        lasting(libc::SYS_write, Errno::ENOSPC),
    ];
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn a_client_whose_connection_could_not_be_accepted_at_once_is_served_soon() {
    // Without an answer of the discovery service nothing else wakes the gateway for a second and a half.
    const SOON: Duration = Duration::from_secs(1);
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
        assert!(waited < SOON, "{errno}: answered after {waited:?}");
    }
}

#[test]
fn a_gateway_whose_waits_lose_their_events_still_serves() {
    let run = TestEnvironment::new().run_lifecycle(lose_events_of_every_second_wait());
    run.outcome.unwrap();
    assert!(counter(&run.log, "event_loop_failures") > 0);
}

#[test]
fn transfers_of_one_byte_each_lose_nothing() {
    let run = TestEnvironment::new().run_lifecycle(one_byte_transfers());
    run.outcome.unwrap();
    assert_eq!(counter(&run.log, "log_lines_lost"), 0, "{}", run.log);
}

#[test]
fn a_configuration_that_cannot_be_read_at_a_reload_is_read_later() {
    let is_open = |call: &SystemCall| call.number == libc::SYS_openat;
    // The first is that of the start.
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
fn a_configuration_that_is_half_written_is_read_once_it_is_whole() {
    let environment = TestEnvironment::new();
    let mut gateway = environment.start(|_: &SystemCall| Effect::Proceed);
    drop(gateway.connect_when_listening(&[]).unwrap());
    let whole = std::fs::read(&gateway.config).unwrap();
    for length in [0, whole.len() / 2] {
        std::fs::write(&gateway.config, &whole[..length]).unwrap();
        gateway.signal(process_harness::system_calls::Signal::SIGHUP);
        gateway.wait_for_log("reload: tried again");
        std::fs::write(&gateway.config, &whole).unwrap();
        gateway.wait_for_log("configuration read again");
    }
}

/// A read of the descriptor of signals: its records are of this size, and nothing else is read in such pieces.
fn reads_signal(call: &SystemCall) -> bool {
    const RECORD_BYTES: u64 = 128;
    call.number == libc::SYS_read && call.arguments[2] == RECORD_BYTES
}

#[test]
fn a_signal_that_is_read_in_part_ends_nothing() {
    let half_a_record = |occurrence| match occurrence {
        1 => Effect::Return(64),
        2 => Effect::Fail(Errno::EINTR),
        3 => Effect::Fail(Errno::EIO),
        _ => Effect::Proceed,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(reads_signal, half_a_record));
    run.outcome.unwrap();
    assert_eq!(counter(&run.log, "reloads"), 1, "{}", run.log);
}

/// The start's first connection is that of its first poll, and the first client's address comes soon after.
#[test]
fn an_address_that_is_cut_ends_nothing() {
    let tells_address =
        |call: &SystemCall| [libc::SYS_accept4, libc::SYS_getpeername].contains(&call.number);
    let cut = |_| Effect::AnswerLength {
        argument: 2,
        bytes: 4,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(tells_address, cut));
    run.outcome.unwrap();
}

#[test]
fn a_start_that_waits_for_the_machine_heeds_sigterm() {
    let is_open = |call: &SystemCall| call.number == libc::SYS_openat;
    let never = |_| Effect::Fail(Errno::ENFILE);
    let environment = TestEnvironment::new();
    let mut gateway = environment.start(by_occurrence(is_open, never));
    gateway.wait_for_log("it is tried again");
    gateway.signal(process_harness::system_calls::Signal::SIGTERM);
    gateway.expect_clean_exit().unwrap();
}

#[test]
fn a_log_tells_how_many_of_its_lines_were_lost() {
    let some_fail = |occurrence| match occurrence {
        2..=3 => Effect::Fail(Errno::ENOSPC),
        _ => Effect::Proceed,
    };
    let run = TestEnvironment::new().run_lifecycle(by_occurrence(writes_log, some_fail));
    run.outcome.unwrap();
    let notice = "log: 2 lines could not be written\n";
    assert!(run.log.contains(notice), "{}", run.log);
    assert_eq!(counter(&run.log, "log_lines_lost"), 2);
}

#[test]
fn failures_by_chance_lose_no_statement() {
    let seeds: Vec<u64> = (1..=24).collect();
    let failures = lifecycle_failures(&seeds, |seed| random_faults(*seed));
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A sub-command that prints more than a line, with its standard output there.
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
fn a_command_whose_output_cannot_be_written_says_so_in_one_line() {
    let (disk, _) = unwritable(Unwritable::FullDisk);
    let output = print_to(disk);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert_eq!(said.lines().count(), 1, "{said}");
}

#[test]
fn a_command_whose_reader_has_gone_ends_quietly() {
    let (pipe, _) = unwritable(Unwritable::NobodyReads);
    let output = print_to(pipe);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{said}");
    assert_eq!(said, "");
}

/// Where a log goes that cannot be written.
#[derive(Clone, Copy, Debug)]
enum Unwritable {
    /// The disk is full.
    FullDisk,
    /// Whoever read it has gone.
    NobodyReads,
    /// Whoever reads it is behind, and the pipe refuses more.
    FullPipe,
    /// Whoever reads it is behind, and a write would wait for it.
    FullPipeThatBlocks,
}

/// The log's descriptor, and what keeps it as it is.
fn unwritable(kind: Unwritable) -> (OwnedFd, Option<OwnedFd>) {
    if let Unwritable::FullDisk = kind {
        let full = File::options().write(true).open("/dev/full").unwrap();
        return (full.into(), None);
    }
    let (reader, writer) = rustix::pipe::pipe().unwrap();
    if let Unwritable::NobodyReads = kind {
        return (writer, None);
    }
    fcntl_setfl(writer.as_fd(), OFlags::NONBLOCK).unwrap();
    while rustix::io::write(&writer, &[b'x'; 512]).is_ok() {}
    if let Unwritable::FullPipeThatBlocks = kind {
        fcntl_setfl(writer.as_fd(), OFlags::empty()).unwrap();
    }
    (writer, Some(reader))
}

fn signal(child: &Child, signal: Signal) {
    kill_process(Pid::from_child(child), signal).unwrap();
}

/// Serves with such a log, from its start to its end.
fn serve_with_log(kind: Unwritable) -> Result<(), String> {
    let (log, _kept) = unwritable(kind);
    let engine = engine(1);
    let board = Board::start("127.0.0.1:0").unwrap();
    announce_engines(&board, &[engine.address]);
    let GatewayConfig { path, listen } = configure(&board, "", |_| {});
    let mut child = Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .env("RELAY_CONFIG", &path)
        .stderr(Stdio::from(log))
        .spawn()
        .unwrap();
    let until = Instant::now() + Duration::from_secs(10);
    let outcome = loop {
        if let Some(status) = child.try_wait().unwrap() {
            break Err(format!("{kind:?}: ended before it was ready: {status}"));
        }
        match stand_ins::client::Client::login(listen) {
            Ok(mut client) => {
                signal(&child, Signal::USR1);
                signal(&child, Signal::HUP);
                let mut answered = run_statement(&mut client, "a statement after a signal");
                signal(&child, Signal::TERM);
                answered =
                    answered.and_then(|()| run_statement(&mut client, "a statement after SIGTERM"));
                drop(client);
                break answered.map_err(|error| format!("{kind:?}: {error}"));
            }
            Err(_) if Instant::now() > until => break Err(format!("{kind:?}: never ready")),
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
    let until = Instant::now() + Duration::from_secs(6);
    loop {
        match child.try_wait().unwrap() {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("{kind:?}: ended by {status}")),
            None if Instant::now() > until => return Err(format!("{kind:?}: did not end")),
            None => pause(),
        }
    }
}

#[test]
fn a_log_that_cannot_be_written_ends_nothing() {
    let kinds = [
        Unwritable::FullDisk,
        Unwritable::NobodyReads,
        Unwritable::FullPipe,
        Unwritable::FullPipeThatBlocks,
    ];
    let failures: Vec<String> = kinds
        .into_iter()
        .filter_map(|kind| serve_with_log(kind).err())
        .collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
