//! The gateway must not rely on the length or the value of what the kernel returns, because a
//! library that asserts it would end the process and every statement that it holds.
//!
//! The failure: a gateway exited with status 101 at its first connection. Upon accepting it, the
//! gateway reads `TCP_INFO` with `getsockopt`. The length of that structure differs between
//! versions of Linux, and the library asserted that it was the one it had been built for, 280
//! bytes; any other length caused a panic ("invalid getsockopt implementation"). The same assertion
//! applied to `SO_ERROR`, which is read at the first discovery poll, and to the addresses of peers.
//! The standard library also asserts that each clock can be read and returns less than a second of
//! nanoseconds.
//!
//! The tests change these results under ptrace, and nothing else.

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

/// A request to the kernel whose result has a variable length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KernelQuery {
    /// `TCP_INFO` of a connection.
    ConnectionInfo,
    /// `SO_ERROR` of a connection.
    ConnectionError,
    /// The next client's connection and address.
    Accept,
    /// The peer address of a connection.
    PeerAddress,
}

impl KernelQuery {
    fn matches(self, call: &SystemCall) -> bool {
        match self {
            KernelQuery::ConnectionInfo => reads_option(call, libc::IPPROTO_TCP, libc::TCP_INFO),
            KernelQuery::ConnectionError => reads_option(call, libc::SOL_SOCKET, libc::SO_ERROR),
            KernelQuery::Accept => call.number == libc::SYS_accept4,
            KernelQuery::PeerAddress => call.number == libc::SYS_getpeername,
        }
    }

    /// Index of the call's argument that points to the length of the result.
    fn length_argument(self) -> usize {
        match self {
            KernelQuery::ConnectionInfo | KernelQuery::ConnectionError => 4,
            KernelQuery::Accept | KernelQuery::PeerAddress => 2,
        }
    }
}

fn reads_option(call: &SystemCall, level: c_int, name: c_int) -> bool {
    let is_match = call.arguments[1] == level as u64 && call.arguments[2] == name as u64;
    call.number == libc::SYS_getsockopt && is_match
}

/// Every result of a request gets a length other than the one that the kernel returned.
#[derive(Clone, Copy, Debug)]
struct WrongLength {
    query: KernelQuery,
    bytes: u32,
}

impl WrongLength {
    fn plan(self) -> impl FaultPlan {
        let argument = self.query.length_argument();
        let bytes = self.bytes;
        let effect = move |_| Effect::AnswerLength { argument, bytes };
        by_occurrence(move |call| self.query.matches(call), effect)
    }
}

#[test]
fn results_of_any_length_do_not_end_the_gateway() {
    // For TCP_INFO: no bytes, fewer than the gateway reads, the lengths of older versions of Linux,
    // and a length greater than today's.
    let info_lengths = [0, 1, 43, 104, 192, 224, 232, 240, 248, 300];
    let error_lengths = [0, 1, 2, 3, 8];
    let address_lengths = [0, 1, 2, 3, 15, 17, 28, 128, 129, 1000];
    let lengths: [(KernelQuery, &[u32]); 4] = [
        (KernelQuery::ConnectionInfo, &info_lengths),
        (KernelQuery::ConnectionError, &error_lengths),
        (KernelQuery::Accept, &address_lengths),
        (KernelQuery::PeerAddress, &address_lengths),
    ];
    let faults: Vec<WrongLength> = lengths
        .into_iter()
        .flat_map(|(query, lengths)| {
            let faults = lengths.iter();
            faults.map(move |bytes| WrongLength {
                query,
                bytes: *bytes,
            })
        })
        .collect();
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Whether the call receives a datagram. Unlike reads from a TCP connection, it passes a buffer for
/// the sender's address.
fn receives_datagram(call: &SystemCall) -> bool {
    call.number == libc::SYS_recvfrom && call.arguments[4] != 0
}

#[test]
fn a_sender_address_of_any_length_does_not_end_the_gateway() {
    let keys = std::env::temp_dir().join(format!("laurelhitch-keys-{}", std::process::id()));
    let status = Command::new(env!("CARGO_BIN_EXE_laurelhitch"))
        .args(["fleet-keys", "add"])
        .arg(&keys)
        .arg("k-1")
        .status()
        .unwrap();
    assert!(status.success());
    for bytes in [0, 1, 2, 15, 17, 129] {
        let bind = free_address();
        let operator = format!(
            "fleet {{\n  fleet = \"f\"\n  bind = \"{bind}\"\n  seeds = []\n  keys_folder = {keys:?}\n}}\n"
        );
        let wrong_length = move |_| Effect::AnswerLength { argument: 5, bytes };
        let environment = TestEnvironment::new();
        let plan = by_occurrence(receives_datagram, wrong_length);
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

/// A clock with unusable readings.
#[derive(Clone, Copy, Debug)]
struct UnusableClock {
    clock: c_int,
    effect: Effect,
    readings: Readings,
}

/// Which readings of the clock are replaced.
#[derive(Clone, Copy, Debug)]
enum Readings {
    /// The reading with this number, counted from one.
    Only(usize),
    /// All readings.
    Always,
    /// This many of a thousand readings, at random.
    PerThousand(u32),
}

impl UnusableClock {
    fn plan(self) -> impl FaultPlan {
        const SEED: u64 = 11;
        let mut rng = Pcg64Mcg::seed_from_u64(SEED);
        let mut seen = 0;
        move |call: &SystemCall| {
            if !reads_clock(call, self.clock) {
                return Effect::Proceed;
            }
            seen += 1;
            let is_replaced = match self.readings {
                Readings::Only(reading) => seen == reading,
                Readings::Always => true,
                Readings::PerThousand(count) => rng.random_ratio(count, 1000),
            };
            if is_replaced {
                self.effect
            } else {
                Effect::Proceed
            }
        }
    }
}

#[test]
fn unusable_clock_readings_do_not_end_the_gateway() {
    const STARTUP_READINGS: usize = 12;
    let unusable_readings = [
        Effect::Fail(Errno::EINVAL),
        Effect::SetNanoseconds(-1),
        Effect::SetNanoseconds(1_000_000_000),
    ];
    let mut faults = Vec::new();
    for clock in [libc::CLOCK_REALTIME, libc::CLOCK_MONOTONIC] {
        for effect in unusable_readings {
            let first_readings = (1..=STARTUP_READINGS).map(Readings::Only);
            let later_readings = [40, 200, 500].map(Readings::Only);
            let random_readings = [Readings::PerThousand(20)];
            for readings in first_readings.chain(later_readings).chain(random_readings) {
                faults.push(UnusableClock {
                    clock,
                    effect,
                    readings,
                });
            }
        }
    }
    let far_ahead = [40 * YEAR_S, 300 * YEAR_S].map(Effect::ShiftTime);
    for effect in unusable_readings.into_iter().chain(far_ahead) {
        faults.push(UnusableClock {
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

/// A wall clock that is off by `seconds`, either in every reading or in every nth one, so that it
/// steps back and forth.
#[derive(Clone, Copy, Debug)]
struct WrongWallClock {
    seconds: i64,
    /// Every nth reading is wrong, where this is n.
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
fn a_wrong_or_stepping_wall_clock_does_not_end_the_gateway() {
    let steps = [5, -5, HOUR_S, -HOUR_S, -60 * YEAR_S];
    let faults: Vec<WrongWallClock> = steps
        .into_iter()
        .flat_map(|seconds| [1, 2].map(|every| WrongWallClock { seconds, every }))
        .collect();
    let failures = lifecycle_failures(&faults, |fault| fault.plan());
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// Estimated work of each statement, in milliseconds on one core.
const ESTIMATE_MS: f64 = 2000.0;

/// Number of clients, each of which sends one statement at the same time.
const CLIENTS: usize = 60;

/// Returns how many statements a cold engine receives within `OBSERVATION_TIME` from a gateway with
/// this wall clock. The gateway is told of the engine just as the engine starts.
fn statements_sent_to_cold_engine(wall_clock: WrongWallClock) -> usize {
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
    let mut description = target("e-cold", cold.address, "in_service");
    description["boot_ms"] = json!(since_epoch.as_millis() as u64);
    environment.announce(vec![description]);
    gateway.wait_for_log("snapshot=false");
    let clients: Vec<Client> = (0..CLIENTS)
        .map(|_| {
            let statement = scan_query();
            let bytes = [&login_packet("app", b"", "warehouse")[..], &statement].concat();
            Client::open(gateway.listen, &bytes).unwrap()
        })
        .collect();
    sleep(OBSERVATION_TIME);
    drop(clients);
    let sent = cold.lines().into_iter();
    sent.filter(|line| line.starts_with("do ")).count()
}

/// Time for which statements to the cold engine are counted; shorter than the admission window of
/// the settings.
const OBSERVATION_TIME: Duration = Duration::from_millis(1500);

/// Returns the packet of a table scan with the estimate `ESTIMATE_MS`.
fn scan_query() -> Vec<u8> {
    let statement = commented(8000, "SELECT 1");
    let estimate = format!("est={ESTIMATE_MS}");
    query_packet(
        &statement
            .replace("method=point", "method=scan")
            .replace("est=12.0", &estimate),
    )
}

#[test]
fn a_wrong_wall_clock_does_not_send_more_statements_to_a_cold_engine() {
    let sent = |seconds| statements_sent_to_cold_engine(WrongWallClock { seconds, every: 1 });
    let with_correct_clock = sent(0);
    for seconds in [-HOUR_S, HOUR_S] {
        let sent = sent(seconds);
        assert!(
            sent <= with_correct_clock,
            "clock off by {seconds} s: {sent} sent, {with_correct_clock} with the correct time"
        );
    }
}
