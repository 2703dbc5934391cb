//! One turn of the event loop handles a bounded part of what each peer sends, however fast it
//! sends. Otherwise nobody else is served until that peer pauses.

mod support;

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, sleep};
use std::time::Instant;

use serde_json::json;
use stand_ins::client::{Client, packet, query_packet};
use support::clients::{
    LARGE_MEMORY_MB, OpenStatement, allow_long_waits, fill_engine, local_addresses, send,
    tagged_statement, terminate,
};
use support::script::{ScriptedEngine, wait_delivered};
use support::*;

/// How many requests each session sends while the gateway is suspended. They fit into the receive
/// buffer of its kernel, so that all of them are there when it goes on.
const REQUESTS: i64 = 320;

/// Sends the same request many times, all of which arrive before the gateway reads any of them,
/// and asserts that the gateway took enough turns to answer them.
fn assert_bounded_part_of_a_turn(gateway: &mut Gateway, name: &str, request: &[u8]) {
    let turns = turns_to_answer(gateway, request);
    assert!(
        turns >= REQUESTS / PACKETS_PER_TURN,
        "{name}: {REQUESTS} requests in {turns} turns"
    );
}

/// Sends the same request many times, all of which arrive before the gateway reads any of them.
/// Returns the number of turns until all are answered.
fn turns_to_answer(gateway: &mut Gateway, request: &[u8]) -> i64 {
    let mut client = gateway.client();
    let turns_before = counter(&gateway.settle(), "turns");
    gateway.suspend();
    client
        .stream
        .write_all(&request.repeat(REQUESTS as usize))
        .unwrap();
    wait_delivered(&[client.stream.local_addr().unwrap()]);
    gateway.resume();
    for _ in 0..REQUESTS {
        client.answer().unwrap();
    }
    counter(&gateway.print_counters(), "turns") - turns_before
}

/// Guards against requests that are answered at once and let their session go on within the same
/// turn, so that the turn does not end (review case 1).
#[test]
fn requests_that_are_answered_at_once_take_a_bounded_part_of_a_turn() {
    let engine = engine(1);
    let mut gateway = Gateway::start(&[engine.address]);
    let queries = [
        "SELECT 1",
        "/* method=nosuch,rid=5eed00c0ffee0a17,budget=1000 */ SELECT 1",
        "SHOW QUEUE",
        "SHOW FLEET",
        "SHOW SHARES",
        "KILL 4294967295",
        "SET NAMES utf8",
        "SELECT @@version_comment",
    ];
    for query in queries {
        assert_bounded_part_of_a_turn(&mut gateway, query, &query_packet(query));
    }
    assert_bounded_part_of_a_turn(&mut gateway, "COM_PING", &packet(0, &[0x0e]));
    assert_bounded_part_of_a_turn(&mut gateway, "unknown command", &packet(0, &[0x55]));
}

/// One tenant with one sub-queue, in which a single statement may wait.
const QUEUE_SETTINGS: &str = r#"
queues {
  default_member  = "water"
  desk_statements = 1
  member "water" { cpu_s_per_s = 0.3 }
}
"#;

/// Guards against tables of hundreds of rows, many in one turn, each of which takes as long as
/// hundreds of other answers.
#[test]
fn a_table_is_the_only_answer_of_its_session_in_a_turn() {
    let engine = engine(1);
    let mut gateway = Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, |_| {});
    let turns = turns_to_answer(&mut gateway, &query_packet("SHOW QUEUE"));
    assert!(turns >= REQUESTS, "{REQUESTS} tables in {turns} turns");
}

/// Guards against statements for which the queues have no room, and whose rejection lets their
/// session go on within the same turn.
#[test]
fn statements_that_the_queues_reject_at_once_take_a_bounded_part_of_a_turn() {
    let engine = ScriptedEngine::new();
    let mut gateway =
        Gateway::with_operator_file(&[engine.address], QUEUE_SETTINGS, allow_long_waits);
    let _filled = fill_engine(&gateway, &engine);
    let mut waiting = gateway.client();
    send(&mut waiting, &tagged_statement(LARGE_MEMORY_MB, "SELECT 1"));
    let statement = query_packet(&tagged_statement(LARGE_MEMORY_MB, "SELECT 2").query);
    assert_bounded_part_of_a_turn(&mut gateway, "rejected", &statement);
    let rejected = counter(&gateway.print_counters(), "queue_rejected_at_entry");
    assert_eq!(rejected, REQUESTS);
}

/// How many packets of all sessions a turn may process before each session gets only one:
/// `MAX_PACKETS_OF_ALL_PER_TURN` of the gateway.
const PACKETS_OF_ALL_PER_TURN: usize = 512;

/// Guards against a crowd of clients each of which takes its whole part of a turn.
#[test]
fn requests_of_many_clients_take_a_bounded_part_of_a_turn() {
    let engine = engine(1);
    let mut gateway = Gateway::with_config(&[engine.address], |config| {
        config["limits"]["sockets"] = json!(1024);
    });
    let mut clients: Vec<Client> = (0..128).map(|_| gateway.client()).collect();
    let requests = 64;
    let turns_before = counter(&gateway.settle(), "turns");
    gateway.suspend();
    let pings = packet(0, &[0x0e]).repeat(requests);
    for client in &mut clients {
        client.stream.write_all(&pings).unwrap();
    }
    wait_delivered(&local_addresses(&clients));
    gateway.resume();
    for client in &mut clients {
        for _ in 0..requests {
            client.answer().unwrap();
        }
    }
    let turns = counter(&gateway.print_counters(), "turns") - turns_before;
    let packets = clients.len() * requests;
    let packets_per_turn = PACKETS_OF_ALL_PER_TURN + clients.len();
    assert!(
        turns as usize >= packets / packets_per_turn,
        "{packets} packets in {turns} turns"
    );
}

/// How many responses of one connection a turn may handle: `MAX_RESPONSES_PER_TURN` of the gateway.
const RESPONSES_PER_TURN: i64 = 64;

/// Guards against an engine whose small responses, thousands in each read, keep a turn from ending.
#[test]
fn responses_of_an_engine_take_a_bounded_part_of_a_turn() {
    let OpenStatement {
        mut gateway,
        mut client,
        mut connection,
        received,
        ..
    } = OpenStatement::start(|_| {});
    let turns_before = counter(&gateway.settle(), "turns");
    gateway.suspend();
    let responses = 2500;
    connection.send(&"x FIT - 0\r\n\r\n".repeat(responses));
    connection.complete(&received);
    gateway.resume();
    // The answer behind the other responses is not lost.
    assert_eq!(rows(client.answer().unwrap()).len(), 1);
    let turns = counter(&gateway.print_counters(), "turns") - turns_before;
    assert!(
        turns >= responses as i64 / RESPONSES_PER_TURN,
        "{responses} responses in {turns} turns"
    );
}

/// Guards against responses that are lost because their connection ended behind more of them than a
/// turn handles.
#[test]
fn responses_before_the_end_of_their_connection_count_in_a_later_turn() {
    let mut statement = OpenStatement::start(|_| {});
    statement.gateway.suspend();
    let others = "x FIT - 0\r\n\r\n".repeat(1000);
    statement.connection.send(&others);
    statement.connection.complete(&statement.received);
    drop(statement.connection);
    statement.gateway.resume();
    assert_eq!(rows(statement.client.answer().unwrap()).len(), 1);
    statement.gateway.settle();
    let log = terminate(statement.gateway);
    assert_eq!(counter(&log, "attempts_sent"), 1, "{log}");
}

/// How many clients send unusable statements, and how many of these each keeps open.
const BAD_CLIENTS: usize = 3;
const OPEN_REQUESTS: usize = 900;

/// Waits until the condition holds, but no longer than a test may take that fails.
fn wait_until(condition: impl Fn() -> bool) {
    let give_up = Instant::now() + millis(15_000);
    while !condition() && Instant::now() < give_up {
        sleep(millis(5));
    }
}

/// Keeps unusable statements open on one session at full speed, and reads every answer. Counts
/// itself in `at_full_speed` once as many as it keeps open were answered and sent again.
fn send_unusable_statements(address: SocketAddr, at_full_speed: &AtomicUsize, stop: &AtomicBool) {
    let mut client = Client::login(address).unwrap();
    let request =
        query_packet("/* method=nosuch,rid=5eed00c0ffee0a17,budget=1000 */ SELECT a FROM b_1.c");
    client.stream.write_all(&request).unwrap();
    let answer_bytes = 4 + client.packet().unwrap().len();
    let batch = request.repeat(OPEN_REQUESTS);
    client.stream.write_all(&batch).unwrap();
    let (mut answered, mut partial_bytes) = (0, 0);
    let mut buffer = vec![0; 1 << 18];
    while !stop.load(Ordering::Relaxed) {
        partial_bytes += client.stream.read(&mut buffer).unwrap();
        let complete = partial_bytes / answer_bytes;
        partial_bytes %= answer_bytes;
        let again = complete * request.len();
        client.stream.write_all(&batch[..again]).unwrap();
        let was_at_full_speed = answered >= OPEN_REQUESTS;
        answered += complete;
        if !was_at_full_speed && answered >= OPEN_REQUESTS {
            at_full_speed.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Guards against usual clients that get no answer as long as others send unusable statements.
#[test]
fn usual_clients_are_answered_while_others_send_unusable_statements() {
    let engine = engine(1);
    let gateway = Gateway::start(&[engine.address]);
    let address = gateway.listen;
    let at_full_speed = AtomicUsize::new(0);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..BAD_CLIENTS {
            scope.spawn(|| send_unusable_statements(address, &at_full_speed, &stop));
        }
        wait_until(|| at_full_speed.load(Ordering::Relaxed) == BAD_CLIENTS);
        // The bad clients stop only when the usual one is done, so it has to be answered beside
        // them. The time limit ends a test that fails.
        let usual = scope.spawn(|| {
            for _ in 0..10 {
                let mut client = Client::login(address).unwrap();
                let answer = client.ask(&commented(1500, "SELECT 1")).unwrap();
                assert_eq!(rows(answer).len(), 1);
            }
        });
        wait_until(|| usual.is_finished());
        let was_served = usual.is_finished();
        stop.store(true, Ordering::Relaxed);
        assert!(was_served, "no answer beside clients that keep sending");
    });
}
