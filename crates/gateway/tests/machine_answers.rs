//! What users saw: now and then a gateway exited with status 101 in the first second of its life, before it had taken a
//! statement; its like had run for days elsewhere.
//!
//! What happened: a gateway is ready, and the first connection comes, which only asks whether it is. The gateway accepts it
//! and asks its machine how long that client has been silent (`getsockopt`, `TCP_INFO`). The answer's length differs between
//! versions of Linux, and the library that asked asserts that it is the one that it was built for: 280 bytes. A machine that
//! knows less, or more, ends the gateway, and with it every statement that it holds.
//!
//! What proved it: under ptrace the one length in the machine's answer was changed, and nothing else. The program of that day
//! exits with 101 ("invalid getsockopt implementation") at its first connection, at each length but 280. The same assertion
//! stood behind `SO_ERROR` (101 at the first poll of discovery) and behind the addresses of peers; and the standard library
//! asserts that each clock can be read and tells less than a second of nanoseconds.
//!
//! The class: a library that takes the machine's answer for a promise, and a process that one broken promise ends.

#![cfg(all(target_os = "linux", target_arch = "x86_64"))]

mod support;

use std::net::UdpSocket;
use std::process::Command;
use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use process_harness::system_calls::libc::{self, c_int};
use process_harness::system_calls::{Effect, Errno, FaultPlan, SystemCall};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use stand_ins::board::target;
use stand_ins::client::{Client, login_packet, query_packet};

use support::faults::*;
use support::*;

const HOUR_S: i64 = 3600;
const YEAR_S: i64 = 365 * 24 * HOUR_S;

/// What a gateway asks its machine for, with an answer of some length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Question {
    /// What the machine knows of a connection.
    ConnectionInfo,
    /// The error of a connection.
    ConnectionError,
    /// The next client, and its address.
    Accept,
    /// The address of a connection's peer.
    PeerAddress,
}

impl Question {
    fn is_asked_by(self, call: &SystemCall) -> bool {
        match self {
            Question::ConnectionInfo => reads_option(call, libc::IPPROTO_TCP, libc::TCP_INFO),
            Question::ConnectionError => reads_option(call, libc::SOL_SOCKET, libc::SO_ERROR),
            Question::Accept => call.number == libc::SYS_accept4,
            Question::PeerAddress => call.number == libc::SYS_getpeername,
        }
    }

    /// Which of the call's arguments points to the length of the answer.
    fn length_argument(self) -> usize {
        match self {
            Question::ConnectionInfo | Question::ConnectionError => 4,
            Question::Accept | Question::PeerAddress => 2,
        }
    }
}

fn reads_option(call: &SystemCall, level: c_int, name: c_int) -> bool {
    let is_asked = call.arguments[1] == level as u64 && call.arguments[2] == name as u64;
    call.number == libc::SYS_getsockopt && is_asked
}

/// All answers to a question have another length than the machine gave.
#[derive(Clone, Copy, Debug)]
struct OtherLength {
    question: Question,
    bytes: u32,
}

impl OtherLength {
    fn plan(self) -> impl FaultPlan {
        let argument = self.question.length_argument();
        let bytes = self.bytes;
        let effect = move |_| Effect::AnswerLength { argument, bytes };
        by_occurrence(move |call| self.question.is_asked_by(call), effect)
    }
}

#[test]
fn answers_of_any_length_end_nothing() {
    // Of TCP_INFO: none, less than is read, those of older versions of Linux, and one of a version to come.
    let infos = [0, 1, 43, 104, 192, 224, 232, 240, 248, 300];
    let errors = [0, 1, 2, 3, 8];
    let addresses = [0, 1, 2, 3, 15, 17, 28, 128, 129, 1000];
    let lengths: [(Question, &[u32]); 4] = [
        (Question::ConnectionInfo, &infos),
        (Question::ConnectionError, &errors),
        (Question::Accept, &addresses),
        (Question::PeerAddress, &addresses),
    ];
    let faults: Vec<OtherLength> = lengths
        .into_iter()
        .flat_map(|(question, lengths)| {
            let faults = lengths.iter();
            faults.map(move |bytes| OtherLength {
                question,
                bytes: *bytes,
            })
        })
        .collect();
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A datagram is received with the place for its sender's address, as no read of a connection is.
fn receives_datagram(call: &SystemCall) -> bool {
    call.number == libc::SYS_recvfrom && call.arguments[4] != 0
}

#[test]
fn a_datagram_from_an_address_of_any_length_ends_nothing() {
    let keys = std::env::temp_dir().join(format!("laurelhitch-keys-{}", std::process::id()));
    let added = Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .args(["fleet-keys", "add"])
        .arg(&keys)
        .arg("k-1")
        .status()
        .unwrap();
    assert!(added.success());
    for bytes in [0, 1, 2, 15, 17, 129] {
        let bind = free_address();
        let operator = format!(
            "fleet {{\n  fleet = \"f\"\n  bind = \"{bind}\"\n  seeds = []\n  keys_folder = {keys:?}\n}}\n"
        );
        let length = move |_| Effect::AnswerLength { argument: 5, bytes };
        let environment = TestEnvironment::new();
        let plan = by_occurrence(receives_datagram, length);
        let gateway = environment.start_with_operator_file(plan, &operator);
        drop(gateway.connect_when_listening(&[]).unwrap());
        let peer = UdpSocket::bind("127.0.0.1:0").unwrap();
        for _ in 0..3 {
            peer.send_to(b"not of this fleet", bind).unwrap();
        }
        let outcome = gateway.run_lifecycle();
        assert!(outcome.is_ok(), "{bytes} bytes: {outcome:?}");
    }
    std::fs::remove_dir_all(keys).unwrap();
}

/// Whether the call reads this clock.
fn reads_clock(call: &SystemCall, clock: c_int) -> bool {
    call.number == libc::SYS_clock_gettime && call.arguments[0] == clock as u64
}

/// Readings of a clock that are of no use.
#[derive(Clone, Copy, Debug)]
struct UnreadableClock {
    clock: c_int,
    effect: Effect,
    readings: Readings,
}

/// Which of the program's readings of a clock are hit.
#[derive(Clone, Copy, Debug)]
enum Readings {
    /// The one of this number, from one.
    Only(usize),
    /// All.
    Always,
    /// So many in a thousand, by chance.
    PerThousand(u32),
}

impl UnreadableClock {
    fn plan(self) -> impl FaultPlan {
        const SEED: u64 = 11;
        let mut rng = Pcg64Mcg::seed_from_u64(SEED);
        let mut seen = 0;
        move |call: &SystemCall| {
            if !reads_clock(call, self.clock) {
                return Effect::Proceed;
            }
            seen += 1;
            let is_hit = match self.readings {
                Readings::Only(reading) => seen == reading,
                Readings::Always => true,
                Readings::PerThousand(part) => rng.random_ratio(part, 1000),
            };
            if is_hit { self.effect } else { Effect::Proceed }
        }
    }
}

#[test]
fn clocks_that_are_of_no_use_end_nothing() {
    const READINGS_OF_A_START: usize = 12;
    let unusable = [
        Effect::Fail(Errno::EINVAL),
        Effect::SetNanoseconds(-1),
        Effect::SetNanoseconds(1_000_000_000),
    ];
    let mut faults = Vec::new();
    for clock in [libc::CLOCK_REALTIME, libc::CLOCK_MONOTONIC] {
        for effect in unusable {
            let single = (1..=READINGS_OF_A_START).map(Readings::Only);
            let later = [40, 200, 500].map(Readings::Only);
            let by_chance = [Readings::PerThousand(20)];
            for readings in single.chain(later).chain(by_chance) {
                faults.push(UnreadableClock {
                    clock,
                    effect,
                    readings,
                });
            }
        }
    }
    let far_ahead = [40 * YEAR_S, 300 * YEAR_S].map(Effect::ShiftTime);
    for effect in unusable.into_iter().chain(far_ahead) {
        faults.push(UnreadableClock {
            clock: libc::CLOCK_REALTIME,
            effect,
            readings: Readings::Always,
        });
    }
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(
        failures.is_empty(),
        "{} of {}:\n{}",
        failures.len(),
        faults.len(),
        failures.join("\n")
    );
}

/// A wall clock that is wrong from the start on, or that steps there and back with each reading.
#[derive(Clone, Copy, Debug)]
struct WrongWallClock {
    seconds: i64,
    /// One reading in so many is wrong.
    every: usize,
}

impl WrongWallClock {
    fn plan(self) -> impl FaultPlan {
        let mut readings = 0;
        move |call: &SystemCall| {
            if !reads_clock(call, libc::CLOCK_REALTIME) {
                return Effect::Proceed;
            }
            readings += 1;
            if usize::is_multiple_of(readings, self.every) {
                Effect::ShiftTime(self.seconds)
            } else {
                Effect::Proceed
            }
        }
    }
}

#[test]
fn a_wall_clock_that_steps_ends_nothing() {
    let steps = [5, -5, HOUR_S, -HOUR_S, -60 * YEAR_S];
    let faults: Vec<WrongWallClock> = steps
        .into_iter()
        .flat_map(|seconds| [1, 2].map(|every| WrongWallClock { seconds, every }))
        .collect();
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Work of each statement here, in milliseconds on one core.
const WORK_MS: f64 = 2000.0;

/// Clients that send a statement at once.
const CLIENTS: usize = 60;

/// How many of them a cold engine gets from a gateway whose wall clock is this wrong, which hears of the engine as it starts.
fn sent_to_a_cold_engine(wall_clock: WrongWallClock) -> usize {
    const ENGINE_DELAY_MS: u64 = 6000;
    let environment = TestEnvironment::with_engine(engine(ENGINE_DELAY_MS));
    let mut gateway = environment.start_with(wall_clock.plan(), |config| {
        let rules = &mut config["settings"]["Rules"];
        rules["StartCapacity"] = json!(0.1);
        rules["TipMultiple"] = json!(1.0);
    });
    drop(gateway.connect_when_listening(&[]).unwrap());
    let cold = engine(ENGINE_DELAY_MS);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let mut described = target("e-cold", cold.address, "in_service");
    described["boot_ms"] = json!(since_epoch.as_millis() as u64);
    environment.announce(vec![described]);
    gateway.wait_for_log("snapshot=false");
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|_| {
            let statement = scan();
            let both = [&login_packet("app", b"", "warehouse")[..], &statement].concat();
            Client::open(gateway.listen, &both).unwrap()
        })
        .collect();
    sleep(WINDOW);
    drop(clients);
    let sent = cold.lines().into_iter();
    sent.filter(|line| line.starts_with("do ")).count()
}

/// Shorter than the window of the settings.
const WINDOW: Duration = Duration::from_millis(1500);

fn scan() -> Vec<u8> {
    let statement = commented(8000, "SELECT 1");
    let heavy = format!("est={WORK_MS}");
    query_packet(
        &statement
            .replace("method=point", "method=scan")
            .replace("est=12.0", &heavy),
    )
}

#[test]
fn a_cold_engine_is_spared_by_a_gateway_whose_wall_clock_is_wrong() {
    let sent = |seconds| sent_to_a_cold_engine(WrongWallClock { seconds, every: 1 });
    let with_the_right_time = sent(0);
    for seconds in [-HOUR_S, HOUR_S] {
        let sent = sent(seconds);
        assert!(
            sent <= with_the_right_time,
            "{seconds} s off: {sent} statements, and {with_the_right_time} with the right time"
        );
    }
}
