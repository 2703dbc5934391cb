//! A gateway whose system calls fail as a plan says, and the life that it has to lead all the same.

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

/// A gateway has to be ready so soon after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Budget of each statement: its client is owed an answer by then.
const STATEMENT_BUDGET: Duration = Duration::from_secs(5);
/// A line of the log that is waited for comes by then.
const LOG_LINE_TIMEOUT: Timespec = Timespec {
    tv_sec: 10,
    tv_nsec: 0,
};
/// After SIGTERM it ends by then, with no statement open.
const EXIT_TIMEOUT: Duration = Duration::from_secs(6);

const COM_PING: [u8; 1] = [0x0e];

/// The first system call of the program's own; all before it are the loader's and the language's.
const FIRST_OWN_CALL: c_long = libc::SYS_signalfd4;

/// What may go wrong with a call for a moment, by the calls' manual pages.
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

/// Whether the program's own calls have begun.
#[derive(Default)]
pub(crate) struct OwnCalls {
    begun: bool,
}

impl OwnCalls {
    pub(crate) fn contain(&mut self, call: &SystemCall) -> bool {
        self.begun |= call.number == FIRST_OWN_CALL;
        self.begun
    }
}

/// Notes the number of each call of the program's own, and changes nothing.
pub(crate) fn record_calls(calls: Arc<Mutex<Vec<c_long>>>) -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    move |call: &SystemCall| {
        if own_calls.contain(call) {
            calls.lock().unwrap().push(call.number);
        }
        Effect::Proceed
    }
}

/// One failure of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SingleFault {
    pub number: c_long,
    /// Which one of the program's own calls of this number, from one.
    pub occurrence: usize,
    pub errno: Errno,
}

impl SingleFault {
    pub(crate) fn plan(self) -> impl FaultPlan {
        let mut own_calls = OwnCalls::default();
        let mut seen = 0;
        move |call: &SystemCall| {
            if !own_calls.contain(call) || call.number != self.number {
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

/// The file descriptor of the log.
const STDERR: u64 = 2;

/// Whether the call writes a line of the log.
pub(crate) fn writes_log(call: &SystemCall) -> bool {
    call.number == libc::SYS_write && call.arguments[0] == STDERR
}

/// A plan by the number of a call among the program's own that `matches`, from one.
pub(crate) fn by_occurrence(
    matches: impl Fn(&SystemCall) -> bool + Send + 'static,
    effect: impl Fn(usize) -> Effect + Send + 'static,
) -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    let mut seen = 0;
    move |call: &SystemCall| {
        if !own_calls.contain(call) || !matches(call) {
            return Effect::Proceed;
        }
        seen += 1;
        effect(seen)
    }
}

/// Every second wait of the event loop fails after it took its events: they are lost.
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
        if own_calls.contain(call) && after_wait && waits.is_multiple_of(2) {
            Effect::Fail(Errno::ENOMEM)
        } else {
            Effect::Proceed
        }
    }
}

/// Reads and writes move one byte each.
pub(crate) fn one_byte_transfers() -> impl FaultPlan {
    let mut own_calls = OwnCalls::default();
    move |call: &SystemCall| {
        if own_calls.contain(call) && transfers_stream_bytes(call) {
            Effect::Shorten(1)
        } else {
            Effect::Proceed
        }
    }
}

/// Whether the call may move any part of the bytes that it is asked for.
fn transfers_stream_bytes(call: &SystemCall) -> bool {
    let moves = [libc::SYS_recvfrom, libc::SYS_sendto].contains(&call.number);
    moves || writes_log(call)
}

/// Of the calls that may fail, and of the transfers, a part does so, by chance.
pub(crate) fn random_faults(seed: u64) -> impl FaultPlan {
    const FAILURE_PROBABILITY: f64 = 0.04;
    const SHORT_TRANSFER_PROBABILITY: f64 = 0.2;
    const MAX_SHORT_TRANSFER_BYTES: u64 = 8;
    let mut own_calls = OwnCalls::default();
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    move |call: &SystemCall| {
        if !own_calls.contain(call) {
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

/// Lives that are led side by side.
const WORKERS: usize = 6;

/// Leads a life for each fault, a few side by side; the faults that broke one, with what was seen.
pub(crate) fn lifecycle_failures<F, P>(faults: &[F], plan: impl Fn(&F) -> P + Sync) -> Vec<String>
where
    F: std::fmt::Debug + Sync,
    P: FaultPlan,
{
    let environment = TestEnvironment::new();
    let next = AtomicUsize::new(0);
    let failures = Mutex::new(Vec::new());
    let work = || {
        while let Some(fault) = faults.get(next.fetch_add(1, Ordering::Relaxed)) {
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
            scope.spawn(work);
        }
    });
    failures.into_inner().unwrap()
}

/// An engine and a discovery service that many gateways share, one after the other or side by side.
pub(crate) struct TestEnvironment {
    board: Board,
    _engine: Engine,
}

/// What a life under faults has come to.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub outcome: Result<(), String>,
    pub log: String,
}

/// One gateway under a plan.
pub(crate) struct FaultyGateway {
    process: TracedProcess,
    pub config: PathBuf,
    pub listen: SocketAddr,
    started: Instant,
    /// When the machine took the last connection.
    connected: Cell<Instant>,
}

impl TestEnvironment {
    pub(crate) fn new() -> Self {
        Self::with_engine(engine(1))
    }

    /// With this engine, which the list holds from the start.
    pub(crate) fn with_engine(engine: Engine) -> Self {
        let board = Board::start("127.0.0.1:0").unwrap();
        announce_engines(&board, &[engine.address]);
        TestEnvironment {
            board,
            _engine: engine,
        }
    }

    /// Tells an event of the list that describes these engines.
    pub(crate) fn announce(&self, engines: Vec<Value>) {
        self.board.tell(false, engines);
    }

    /// The discovery service says nothing from here on: none of its answers wakes a gateway.
    pub(crate) fn silence_discovery(&self) {
        self.board.set(Mood::Silent);
    }

    pub(crate) fn start(&self, plan: impl FaultPlan) -> FaultyGateway {
        self.start_with(plan, |_| {})
    }

    /// Starts a gateway whose configuration is changed like this.
    pub(crate) fn start_with(
        &self,
        plan: impl FaultPlan,
        change: impl FnOnce(&mut Value),
    ) -> FaultyGateway {
        self.start_configured(plan, configure(&self.board, "", change))
    }

    /// Starts a gateway with an operator's file.
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

    /// A whole life under a plan: a start, statements, a reload, counters, a drain and an end. Each client that the machine
    /// has connected gets an answer to all it sends.
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
    pub(crate) fn run_lifecycle(&self) -> Result<(), String> {
        let mut first = self.connect_when_listening(&packet(0, &COM_PING))?;
        expect_ok(&mut first, "ping")?;
        run_statement(&mut first, "first statement")?;
        let mut second = self.connect_when_listening(&query())?;
        expect_answer(second.answer(), "statement behind its login")?;
        self.process.signal(Signal::SIGHUP);
        self.process.signal(Signal::SIGUSR1);
        run_statement(&mut first, "statement after a reload")?;
        self.process.signal(Signal::SIGTERM);
        run_statement(&mut first, "statement after SIGTERM")?;
        drop((first, second));
        self.expect_clean_exit()
    }

    /// Logs in at once and sends `commands` behind that, as soon as the machine takes a connection.
    pub(crate) fn connect_when_listening(&self, commands: &[u8]) -> Result<Client, String> {
        let both = [&login_packet("app", b"", "warehouse")[..], commands].concat();
        loop {
            self.connected.set(Instant::now());
            match Client::open(self.listen, &both) {
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

    /// How long ago the last connection was begun.
    pub(crate) fn time_since_connect(&self) -> Duration {
        self.connected.get().elapsed()
    }

    /// Waits until its log has a further line with these words.
    pub(crate) fn wait_for_log(&mut self, pattern: &str) {
        let stderr = self.process.stderr.as_mut().unwrap();
        let mut line = Vec::new();
        let mut byte = [0];
        // One byte at a time: what follows the line is for the next call.
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
            assert!(read > 0, "never said {pattern:?}");
            line.extend(byte);
        }
    }

    pub(crate) fn signal(&self, signal: Signal) {
        self.process.signal(signal);
    }

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

pub(crate) fn query() -> Vec<u8> {
    query_packet(&commented(STATEMENT_BUDGET.as_millis() as u64, "SELECT 1"))
}

/// Sends a statement and waits for its answer.
pub(crate) fn run_statement(client: &mut Client, step: &str) -> Result<(), String> {
    client
        .stream
        .write_all(&query())
        .map_err(|error| format!("{step}: not taken: {error}"))?;
    expect_answer(client.answer(), step)
}

/// Any answer is one: rows, a rejection or a failure.
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

/// Waits a little, for something that is to happen by itself.
pub(crate) fn pause() {
    sleep(millis(10));
}
