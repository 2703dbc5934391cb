//! A gateway whose system calls fail according to a plan, and the lifecycle that it has to complete
//! nevertheless.

use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use process_harness::system_calls::libc::{self, c_long};
use process_harness::system_calls::{
    Effect, Errno, FaultPlan, ProcessEnd, Signal, SystemCall, TracedProcess,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::Value;
use stand_ins::board::{Board, Mood};
use stand_ins::client::{Answer, Client, login_packet, packet, query_packet};
use stand_ins::engine::Engine;

use super::{GatewayConfig, announce_engines, commented, configure, engine, millis};

/// Time from its start within which a gateway has to accept connections.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time budget of each statement; its client has to have an answer within it.
const STATEMENT_BUDGET: Duration = Duration::from_secs(5);
/// Time within which an expected log line has to appear.
const LOG_LINE_TIMEOUT: Timespec = Timespec {
    tv_sec: 10,
    tv_nsec: 0,
};
/// Time within which a gateway with no open statement has to exit after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

const COM_PING: [u8; 1] = [0x0e];

/// The first system call that the program itself makes; all earlier ones come from the dynamic
/// loader and the Rust runtime.
const FIRST_OWN_CALL: c_long = libc::SYS_signalfd4;

/// Transient errors of each system call, according to its manual page.
pub(crate) const TRANSIENT_ERRORS: &[(c_long, &[Errno])] = &[
    (libc::SYS_accept4, ACCEPT_ERRORS),
    (libc::SYS_bind, &[Errno::EADDRINUSE, Errno::EADDRNOTAVAIL]),
    (libc::SYS_connect, CONNECT_ERRORS),
    (libc::SYS_epoll_create1, &[Errno::ENFILE]),
    (libc::SYS_epoll_ctl, &[Errno::ENOMEM]),
    (libc::SYS_epoll_pwait, &[Errno::EINTR]),
    (libc::SYS_epoll_pwait2, &[Errno::EINTR]),
    (libc::SYS_eventfd2, &[Errno::ENFILE]),
    (libc::SYS_getpeername, &[Errno::ENOBUFS]),
    (libc::SYS_getrandom, &[Errno::EINTR]),
    (libc::SYS_getsockopt, &[Errno::ENOBUFS]),
    (libc::SYS_listen, &[Errno::EADDRINUSE]),
    (libc::SYS_openat, &[Errno::EINTR, Errno::ENFILE, Errno::EIO]),
    (libc::SYS_poll, &[Errno::EINTR, Errno::ENOMEM]),
    (libc::SYS_read, &[Errno::EINTR, Errno::EIO]),
    (libc::SYS_recvfrom, &[Errno::EINTR, Errno::ENOMEM]),
    (libc::SYS_sendto, &[Errno::EINTR, Errno::ENOBUFS]),
    (libc::SYS_setsockopt, &[Errno::ENOBUFS]),
    (libc::SYS_signalfd4, &[Errno::ENFILE, Errno::ENOMEM]),
    (libc::SYS_socket, &[Errno::ENFILE, Errno::ENOBUFS]),
    (libc::SYS_statx, &[Errno::EIO]),
    (libc::SYS_timerfd_create, &[Errno::ENFILE]),
    (libc::SYS_write, WRITE_ERRORS),
];

pub(crate) const ACCEPT_ERRORS: &[Errno] = &[
    Errno::EINTR,
    Errno::ECONNABORTED,
    Errno::ENFILE,
    Errno::ENOBUFS,
    Errno::EPROTO,
    Errno::ENETDOWN,
];

pub(crate) const CONNECT_ERRORS: &[Errno] = &[
    Errno::EINTR,
    Errno::EADDRNOTAVAIL,
    Errno::ENETUNREACH,
    Errno::ETIMEDOUT,
];

pub(crate) const WRITE_ERRORS: &[Errno] = &[Errno::EINTR, Errno::EAGAIN, Errno::EIO, Errno::ENOSPC];

/// Tracks whether the program's own system calls have begun.
#[derive(Default)]
pub(crate) struct OwnCalls {
    started: bool,
}

impl OwnCalls {
    /// Whether this call, or an earlier one, was the first of the program's own.
    pub(crate) fn includes(&mut self, call: &SystemCall) -> bool {
        self.started |= call.number == FIRST_OWN_CALL;
        self.started
    }
}

/// Returns a plan that records the number of each of the program's own calls and changes none.
pub(crate) fn record_calls(calls: Arc<Mutex<Vec<c_long>>>) -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    move |call: &SystemCall| {
        if own_calls.includes(call) {
            calls.lock().unwrap().push(call.number);
        }
        Effect::Proceed
    }
}

/// A single failure of a single system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SingleFault {
    pub number: c_long,
    /// The position, counted from one, of the failing call among the program's own calls with this
    /// number.
    pub occurrence: usize,
    pub errno: Errno,
}

impl SingleFault {
    /// Returns the plan that injects this failure.
    pub(crate) fn plan(self) -> impl FaultPlan {
        let mut own_calls = OwnCalls::default();
        let mut seen = 0;
        move |call: &SystemCall| {
            if !own_calls.includes(call) || call.number != self.number {
                return Effect::Proceed;
            }
            seen += 1;
            if seen == self.occurrence {
                Effect::Fail(self.errno)
            } else {
                Effect::Proceed
            }
        }
    }
}

/// File descriptor to which the log is written.
const STDERR: u64 = 2;

/// Whether the call writes to the log.
pub(crate) fn writes_log(call: &SystemCall) -> bool {
    call.number == libc::SYS_write && call.arguments[0] == STDERR
}

/// Returns a plan that chooses the effect by the position, counted from one, of a call among the
/// program's own calls that `matches` accepts.
pub(crate) fn by_occurrence(
    matches: impl Fn(&SystemCall) -> bool + Send + 'static,
    effect: impl Fn(usize) -> Effect + Send + 'static,
) -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    let mut seen = 0;
    move |call: &SystemCall| {
        if !own_calls.includes(call) || !matches(call) {
            return Effect::Proceed;
        }
        seen += 1;
        effect(seen)
    }
}

/// Returns a plan in which every second `epoll_pwait` loses its events: the next `epoll_ctl` call
/// fails, after the events were taken from the kernel and before they are handled.
pub(crate) fn lose_events_of_every_second_wait() -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    let mut waits: usize = 0;
    let mut has_waited = false;
    move |call: &SystemCall| {
        let after_wait = has_waited && call.number == libc::SYS_epoll_ctl;
        if call.number == libc::SYS_epoll_pwait {
            has_waited = true;
            waits += 1;
        } else if after_wait {
            has_waited = false;
        }
        if own_calls.includes(call) && after_wait && waits.is_multiple_of(2) {
            Effect::Fail(Errno::ENOMEM)
        } else {
            Effect::Proceed
        }
    }
}

/// Returns a plan in which each read or write transfers one byte.
pub(crate) fn one_byte_transfers() -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    move |call: &SystemCall| {
        if own_calls.includes(call) && transfers_stream_bytes(call) {
            Effect::Shorten(1)
        } else {
            Effect::Proceed
        }
    }
}

/// Whether the call may transfer fewer bytes than requested.
fn transfers_stream_bytes(call: &SystemCall) -> bool {
    let moves = [libc::SYS_recvfrom, libc::SYS_sendto].contains(&call.number);
    moves || writes_log(call)
}

/// Returns a plan that fails a random share of the calls that can fail, and shortens a random share
/// of the transfers.
pub(crate) fn random_faults(seed: u64) -> impl FaultPlan {
    const FAILURE_PROBABILITY: f64 = 0.04;
    const SHORT_TRANSFER_PROBABILITY: f64 = 0.2;
    const MAX_SHORT_TRANSFER_BYTES: u64 = 8;
    let mut own_calls = OwnCalls::default();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    move |call: &SystemCall| {
        if !own_calls.includes(call) {
            return Effect::Proceed;
        }
        if transfers_stream_bytes(call) && rng.random_bool(SHORT_TRANSFER_PROBABILITY) {
            return Effect::Shorten(rng.random_range(1..=MAX_SHORT_TRANSFER_BYTES));
        }
        let errors = TRANSIENT_ERRORS
            .iter()
            .find(|(number, _)| *number == call.number);
        match errors {
            Some((_, errors)) if rng.random_bool(FAILURE_PROBABILITY) => {
                Effect::Fail(errors[rng.random_range(0..errors.len())])
            }
            _ => Effect::Proceed,
        }
    }
}

/// Number of gateways that run at the same time.
const WORKERS: usize = 6;

/// Runs a gateway through its lifecycle once for each fault, several at a time. Returns a
/// description of each failure with the last lines of the gateway's log.
pub(crate) fn lifecycle_failures<F, P>(faults: &[F], plan: impl Fn(&F) -> P + Sync) -> Vec<String>
where
    F: std::fmt::Debug + Sync,
    P: FaultPlan,
{
    let environment = TestEnvironment::new();
    let next_fault = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    let worker = || {
        while let Some(fault) = faults.get(next_fault.fetch_add(1, Ordering::Relaxed)) {
            let run = environment.run_lifecycle(plan(fault));
            if let Err(error) = run.outcome {
                let last_lines: Vec<&str> = run.log.lines().rev().take(3).collect();
                let line = format!("{fault:?}: {error}; last lines of its log: {last_lines:?}");
                failures.lock().unwrap().push(line);
            }
        }
    };
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(worker);
        }
    });
    failures.into_inner().unwrap()
}

/// An engine and a discovery service that are shared by several gateways, one after another or at
/// the same time.
pub(crate) struct TestEnvironment {
    board: Board,
    _engine: Engine,
}

/// Result of a lifecycle under faults.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub outcome: Result<(), String>,
    pub log: String,
}

/// A gateway that runs under a fault plan.
pub(crate) struct FaultyGateway {
    process: TracedProcess,
    pub config: PathBuf,
    pub listen: SocketAddr,
    started: Instant,
    /// When the last connection attempt was begun.
    connected: Cell<Instant>,
}

impl TestEnvironment {
    pub(crate) fn new() -> Self {
        Self::with_engine(engine(1))
    }

    /// Creates an environment in which this engine is listed from the start.
    pub(crate) fn with_engine(engine: Engine) -> Self {
        let board = Board::start("127.0.0.1:0").unwrap();
        announce_engines(&board, &[engine.address]);
        TestEnvironment {
            board,
            _engine: engine,
        }
    }

    /// Publishes a discovery event that describes these engines.
    pub(crate) fn announce(&self, engines: Vec<Value>) {
        self.board.tell(false, engines);
    }

    /// Makes the discovery service stop answering, so that none of its answers wakes a gateway.
    pub(crate) fn silence_discovery(&self) {
        self.board.set(Mood::Silent);
    }

    pub(crate) fn start(&self, plan: impl FaultPlan) -> FaultyGateway {
        self.start_with(plan, |_| {})
    }

    /// Starts a gateway with a changed configuration.
    pub(crate) fn start_with(
        &self,
        plan: impl FaultPlan,
        change: impl FnOnce(&mut Value),
    ) -> FaultyGateway {
        self.start_configured(plan, configure(&self.board, "", change))
    }

    /// Starts a gateway with an operator file.
    pub(crate) fn start_with_operator_file(
        &self,
        plan: impl FaultPlan,
        operator: &str,
    ) -> FaultyGateway {
        let configured = configure(&self.board, operator, |_| {});
        self.start_configured(plan, configured)
    }

    fn start_configured(&self, plan: impl FaultPlan, configured: GatewayConfig) -> FaultyGateway {
        let GatewayConfig { path, listen } = configured;
        let process = TracedProcess::spawn(command(&path), plan).unwrap();
        FaultyGateway {
            process,
            config: path,
            listen,
            started: Instant::now(),
            connected: Cell::new(Instant::now()),
        }
    }

    /// Runs a gateway under the plan through its lifecycle: start, statements, reload, counters,
    /// drain and exit. Every client whose connection was accepted has to get an answer to each
    /// command.
    pub(crate) fn run_lifecycle(&self, plan: impl FaultPlan) -> RunResult {
        let mut gateway = self.start(plan);
        let mut stderr = gateway.process.stderr.take().unwrap();
        let log = std::thread::spawn(move || {
            let mut log = String::new();
            let _ = stderr.read_to_string(&mut log);
            log
        });
        let outcome = gateway.run_lifecycle();
        drop(gateway);
        let log = log.join().unwrap();
        RunResult { outcome, log }
    }
}

fn command(config: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_laurelhitch"));
    command
        .env("RELAY_CONFIG", config)
        .env_remove("LAURELHITCH_OPERATOR")
        .stderr(Stdio::piped());
    let operator = config.with_extension("hcl");
    if operator.exists() {
        command.arg("--operator").arg(operator);
    }
    command
}

impl FaultyGateway {
    /// Takes the gateway through its lifecycle; the error names the step that failed.
    pub(crate) fn run_lifecycle(&self) -> Result<(), String> {
        let mut first = self.connect_when_listening(&packet(0, &COM_PING))?;
        expect_ok(&mut first, "ping")?;
        run_statement(&mut first, "first statement")?;
        let mut second = self.connect_when_listening(&query())?;
        expect_answer(second.answer(), "statement sent with the login")?;
        self.process.signal(Signal::SIGHUP);
        self.process.signal(Signal::SIGUSR1);
        run_statement(&mut first, "statement after a reload")?;
        self.process.signal(Signal::SIGTERM);
        run_statement(&mut first, "statement after SIGTERM")?;
        drop((first, second));
        self.expect_clean_exit()
    }

    /// Connects as soon as the gateway listens, and sends the login with `commands` directly after
    /// it.
    pub(crate) fn connect_when_listening(&self, commands: &[u8]) -> Result<Client, String> {
        let bytes = [&login_packet("app", b"", "warehouse")[..], commands].concat();
        loop {
            self.connected.set(Instant::now());
            match Client::open(self.listen, &bytes) {
                Ok(mut client) => {
                    let timeout = client.stream.set_read_timeout(Some(STATEMENT_BUDGET));
                    timeout.map_err(|error| error.to_string())?;
                    expect_ok(&mut client, "login")?;
                    return Ok(client);
                }
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
                Err(error) => return Err(format!("connection lost: {error}")),
            }
            if let Some(end) = self.process.wait(millis(10)) {
                return Err(format!("ended before it was ready: {end:?}"));
            }
            if self.started.elapsed() > READY_TIMEOUT {
                return Err("not ready in time".to_owned());
            }
        }
    }

    /// Returns the time since the last connection attempt was begun.
    pub(crate) fn time_since_connect(&self) -> Duration {
        self.connected.get().elapsed()
    }

    /// Waits for the next log line that contains `pattern`. Panics if none appears in time.
    pub(crate) fn wait_for_log(&mut self, pattern: &str) {
        let stderr = self.process.stderr.as_mut().unwrap();
        let mut line = Vec::new();
        let mut byte = [0];
        // The log is read one byte at a time so that the lines after this one are left for the next
        // call.
        while !(byte == [b'\n'] && String::from_utf8_lossy(&line).contains(pattern)) {
            if byte == [b'\n'] {
                line.clear();
            }
            let mut watched = [PollFd::new(&*stderr, PollFlags::IN)];
            let ready = poll(&mut watched, Some(&LOG_LINE_TIMEOUT)).unwrap();
            let read = if ready > 0 {
                stderr.read(&mut byte).unwrap()
            } else {
                0
            };
            assert!(read > 0, "no log line contains {pattern:?}");
            line.extend(byte);
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

    /// Waits for the gateway to exit with status 0.
    pub(crate) fn expect_clean_exit(&self) -> Result<(), String> {
        match self.process.wait(EXIT_TIMEOUT) {
            Some(ProcessEnd::Exited(0)) => Ok(()),
            Some(end) => Err(format!("ended by {end:?}")),
            None => Err("did not end after SIGTERM".to_owned()),
        }
    }
}

impl Drop for FaultyGateway {
    fn drop(&mut self) {
        self.process.signal(Signal::SIGKILL);
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(self.config.with_extension("hcl"));
    }
}

/// Returns the packet of a statement with the budget `STATEMENT_BUDGET`.
pub(crate) fn query() -> Vec<u8> {
    query_packet(&commented(STATEMENT_BUDGET.as_millis() as u64, "SELECT 1"))
}

/// Sends a statement and waits for its answer, of whatever kind.
pub(crate) fn run_statement(client: &mut Client, step: &str) -> Result<(), String> {
    client
        .stream
        .write_all(&query())
        .map_err(|error| format!("{step}: could not be sent: {error}"))?;
    expect_answer(client.answer(), step)
}

/// Accepts any answer: rows, a rejection or a failure. Fails only when there is none.
fn expect_answer(answer: io::Result<Answer>, step: &str) -> Result<(), String> {
    answer
        .map(drop)
        .map_err(|error| format!("{step}: no answer: {error}"))
}

fn expect_ok(client: &mut Client, step: &str) -> Result<(), String> {
    match client.answer() {
        Ok(Answer::Ok) => Ok(()),
        Ok(other) => Err(format!("{step}: {other:?}")),
        Err(error) => Err(format!("{step}: no answer: {error}")),
    }
}

/// Sleeps for a short time between two polls of a condition.
pub(crate) fn pause() {
    sleep(millis(10));
}
