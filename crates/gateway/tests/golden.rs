//! Compares the external interfaces of the gateway byte for byte with the recorded files in
//! `golden/`: packets to clients, lines to and from engines, requests to the discovery service and
//! its responses, the fields of the comment before a statement, and the names in the output for
//! operators. Clients, engines, discovery services and the scripts of operators depend on these, so
//! renaming identifiers in the code must not change them.
//!
//! To record an intended change, run
//! `GOLDEN_RECORD=1 cargo test -p laurelhitch-gateway --test golden`, which writes the files.
//! Without the variable the tests only compare. Each line of a file has a name and a value. The
//! value is bytes in hexadecimal, or text in which bytes other than printable ASCII are escaped.
//! The names do not follow the identifiers of the code.

// Scenario tests run from top to bottom in one function, and tables of cases are long.
#![allow(clippy::too_many_lines)]

mod support;

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::process::Command as Program;

use ::membership::message::{self, Body, Message, Nonce, View};
use ::membership::{
    BootId, Config, Incarnation, KeyRing, Locality, MemberState, Name, Node, NodeSetup, Record,
};
use admission::interface::{EngineStage, TimeDelta, Timestamp};
use bytes::BytesMut;
use gateway::clients::comment::CommentedStatement;
use gateway::clients::protocol::handshake::{
    self, FirstPacket, LoginError, OfferedOptions, accepts_progress_reports, check_login,
    check_token_login, first_packet,
};
use gateway::clients::protocol::packet::take_packet;
use gateway::clients::protocol::response::ProgressReport;
use gateway::clients::protocol::{Command, ErrorCode, KillScope, Query, Response};
use gateway::clients::table_group::table_group;
use gateway::counters::Counters;
use gateway::discovery::http::{self, ConnectionReuse, InputState, PollResponse};
use gateway::engines::protocol::{
    self, AttemptRequest, MAX_BODY_BYTES, MAX_RESPONSE_BYTES, RequestId, ResponseKind,
    StatementKeys,
};
use gateway::status;
use quota::{Amount, BudgetStatus, HolderId, Holding, Status};
use scheduler::{StatementStatus, SubQueueStatus, WaitEstimate};
use serde_json::json;
use stand_ins::client::{Client, login_packet, packet, query_packet};
use stand_ins::engine::Mood;
use support::clients::{allow_long_waits, send, tagged_statement};
use support::script::ScriptedEngine;
use support::*;

/// Compares the names and values with the recorded file, or writes the file if `GOLDEN_RECORD=1`.
fn compare_golden(file: &str, actual: &[(&str, String)]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let actual: Vec<String> = actual
        .iter()
        .map(|(name, value)| format!("{name} {value}"))
        .collect();
    if std::env::var("GOLDEN_RECORD").is_ok_and(|set| set == "1") {
        std::fs::write(&path, actual.join("\n") + "\n").unwrap();
        return;
    }
    let expected = std::fs::read_to_string(&path).unwrap();
    let expected: Vec<&str> = expected.lines().collect();
    for (actual, expected) in actual.iter().zip(&expected) {
        assert_eq!(actual, expected, "{file}");
    }
    assert_eq!(actual.len(), expected.len(), "{file}: number of lines");
}

/// Returns the bytes in hexadecimal.
fn to_hex(bytes: impl AsRef<[u8]>) -> String {
    let mut text = String::new();
    bytes
        .as_ref()
        .iter()
        .for_each(|byte| write!(text, "{byte:02x}").unwrap());
    text
}

/// Returns the bytes as text in which all but printable ASCII is escaped.
fn to_escaped(bytes: impl AsRef<[u8]>) -> String {
    bytes.as_ref().escape_ascii().to_string()
}

#[test]
fn packets_to_clients_match_the_recording() {
    let cells = |cells: [&str; 2]| cells.map(str::to_owned);
    let progress = Response::to(0).progress(&ProgressReport {
        stage: 1,
        stages: 2,
        done: 40_000,
        text: "Waiting, 1.5 s more",
    });
    let greeting = |progress_reports: bool, tls: bool| {
        let options = OfferedOptions {
            progress_reports,
            tls,
        };
        to_hex(handshake::greeting(0x0102_0304, options))
    };
    let pages = [&b"a\tb\tc\n1\t2\t3\n"[..], b"4\t5\t6\n"];
    let long = "x".repeat(300);
    let actual = [
        ("greeting", greeting(false, false)),
        ("greeting-progress", greeting(true, false)),
        ("greeting-tls", greeting(false, true)),
        ("greeting-progress-tls", greeting(true, true)),
        ("ok", to_hex(Response::to(1).ok())),
        ("ok-after-last-number", to_hex(Response::to(255).ok())),
        ("progress", to_hex(&progress.bytes)),
        ("progress-number", progress.sequence.to_string()),
        (
            "error",
            to_hex(Response::to(0).error(ErrorCode::LIMIT_REACHED, "denied; backoff=400")),
        ),
        (
            "ask-password",
            to_hex(Response::to(2).request_clear_password()),
        ),
        (
            "value",
            to_hex(Response::to(0).single_value("@@max_allowed_packet", b"65536")),
        ),
        (
            "table",
            to_hex(Response::to(0).table(["one", "two"], &[cells(["a", "b"]), cells(["", &long])])),
        ),
        (
            "table-empty",
            to_hex(Response::to(0).table(["one", "two"], &[])),
        ),
        (
            "result",
            to_hex(Response::to(0).result_set(pages.into_iter())),
        ),
        (
            "result-empty",
            to_hex(Response::to(0).result_set([].into_iter())),
        ),
    ];
    compare_golden("packets.txt", &actual);
}

/// Returns the body of a login packet.
fn login(user: &str, password: &[u8], database: &str) -> Vec<u8> {
    login_packet(user, password, database)[4..].to_vec()
}

fn format_login_result(result: Result<(), LoginError>) -> String {
    match result {
        Ok(()) => "in".to_owned(),
        Err(error) => {
            let code = error.code();
            format!("{} {} {error}", code.number, to_escaped(code.sql_state))
        }
    }
}

/// Formats the command that a packet body is parsed into.
fn command(body: &[u8]) -> String {
    match Command::parse(body) {
        Command::Quit => "quit".to_owned(),
        Command::Ping => "ping".to_owned(),
        Command::NoOperation => "fine".to_owned(),
        Command::Query(text) => format!("query {}", to_escaped(text)),
        Command::Unknown => "unknown".to_owned(),
    }
}

/// Formats the query that a text is parsed into.
fn query(text: &str) -> String {
    match Query::parse(text.as_bytes()) {
        Query::Statement => "statement".to_owned(),
        Query::SetToken(token) => format!("token {token}"),
        Query::Kill {
            connection_id,
            scope,
        } => {
            let whole = scope == KillScope::Connection;
            format!("kill {connection_id} whole={whole}")
        }
        Query::ShowQueue(id) => format!("queue {}", id.unwrap_or("-")),
        Query::ShowFleet => "fleet".to_owned(),
        Query::ShowShares => "shares".to_owned(),
        Query::NoOperation => "fine".to_owned(),
        Query::SystemVariable(name) => format!("variable {name}"),
    }
}

#[test]
fn packets_from_clients_are_parsed_as_recorded() {
    let mut progress = login("app", b"", "warehouse");
    progress[0] &= !1;
    progress[28] = 1;
    let mut tls = login("token", b"", "warehouse");
    tls[1] |= 8;
    let first = |body: &[u8]| match first_packet(body) {
        FirstPacket::TlsRequest => "tls".to_owned(),
        FirstPacket::Login => "login".to_owned(),
    };
    let mut inbox = BytesMut::from(&[3, 0, 0, 9, 3, b'h', b'i', 1][..]);
    let decoded = take_packet(&mut inbox).unwrap().unwrap();
    let too_large = take_packet(&mut BytesMut::from(&[1, 0, 1, 0][..]))
        .err()
        .unwrap();
    let actual = [
        (
            "packet",
            format!(
                "{} {} {}",
                decoded.sequence,
                to_escaped(&decoded.body),
                to_escaped(&inbox)
            ),
        ),
        ("packet-too-large", too_large.to_string()),
        (
            "login",
            format_login_result(check_login(&login("app", b"", "warehouse"))),
        ),
        (
            "login-other-user",
            format_login_result(check_login(&login("root", b"", "warehouse"))),
        ),
        (
            "login-password",
            format_login_result(check_login(&login("app", b"x", "warehouse"))),
        ),
        (
            "login-other-database",
            format_login_result(check_login(&login("app", b"", "other"))),
        ),
        ("login-malformed", format_login_result(check_login(b"\x00"))),
        (
            "login-token",
            format_login_result(check_token_login(&login("token", b"x", "warehouse"))),
        ),
        (
            "login-token-other-user",
            format_login_result(check_token_login(&login("app", b"", "warehouse"))),
        ),
        (
            "progress-wanted",
            accepts_progress_reports(&progress).to_string(),
        ),
        (
            "progress-not-wanted",
            accepts_progress_reports(&login("app", b"", "warehouse")).to_string(),
        ),
        ("first-tls", first(&tls[..32])),
        ("first-login", first(&tls)),
        ("command-quit", command(b"\x01")),
        ("command-database", command(b"\x02warehouse")),
        ("command-other-database", command(b"\x02other")),
        ("command-query", command(b"\x03SELECT 1")),
        ("command-ping", command(b"\x0e")),
        ("command-options", command(b"\x1b\x00\x00")),
        ("command-reset", command(b"\x1f")),
        ("command-unknown", command(b"\x16")),
        ("query-statement", query("SELECT a FROM ledger_1.bills")),
        ("query-kill", query("KILL 17")),
        ("query-kill-connection", query("kill connection 17;")),
        ("query-kill-query", query("KILL QUERY 17")),
        ("query-queue", query("SHOW QUEUE")),
        (
            "query-queue-for",
            query("SHOW QUEUE FOR '5eed00c0ffee0a17'"),
        ),
        ("query-fleet", query("SHOW FLEET")),
        ("query-shares", query("SHOW SHARES")),
        (
            "query-token",
            query("SET @laurelhitch_token = 'v4.public.x'"),
        ),
        ("query-set", query("SET NAMES utf8")),
        (
            "query-variable",
            query("SELECT @@max_allowed_packet LIMIT 1"),
        ),
    ];
    compare_golden("packets_read.txt", &actual);
}

/// Reads the next packet, which must be an error, and returns its code followed by its SQL state
/// and text.
fn error(client: &mut Client) -> String {
    let body = client.packet().unwrap();
    assert_eq!(body[0], 0xff, "{}", to_escaped(&body));
    format!(
        "{} {}",
        u16::from_le_bytes([body[1], body[2]]),
        to_escaped(&body[3..])
    )
}

/// Sends a query that must fail and returns its error.
fn error_for_query(client: &mut Client, query: &str) -> String {
    client.stream.write_all(&query_packet(query)).unwrap();
    error(client)
}

#[test]
fn errors_to_clients_match_the_recording() {
    let engine = ScriptedEngine::new();
    let gateway = Gateway::with_config(&[engine.address], |config| {
        allow_long_waits(config);
        config["settings"]["Limits"]["MaxOpen"] = json!(1);
    });
    let mut client = gateway.client();
    let good = commented(1900, "SELECT 1");
    let mut actual = vec![
        ("no-comment", error_for_query(&mut client, "SELECT 1")),
        (
            "no-id",
            error_for_query(&mut client, &good.replace("rid=", "id=")),
        ),
        (
            "bad-id",
            error_for_query(&mut client, &good.replace("rid=0", "rid=g")),
        ),
        (
            "no-budget",
            error_for_query(&mut client, &good.replace("budget=1900,", "")),
        ),
        (
            "bad-budget",
            error_for_query(&mut client, &good.replace("budget=1900", "budget=0")),
        ),
        (
            "no-method",
            error_for_query(&mut client, &good.replace("method=point,", "")),
        ),
        (
            "unknown-method",
            error_for_query(&mut client, &good.replace("point", "nothing")),
        ),
        (
            "unknown-account",
            error_for_query(&mut client, &good.replace("water", "fire")),
        ),
        (
            "bad-estimate",
            error_for_query(&mut client, &good.replace("est=12.0", "est=much")),
        ),
        (
            "bad-memory",
            error_for_query(&mut client, &good.replace("mem=8", "mem=much")),
        ),
        (
            "bad-token",
            error_for_query(&mut client, &good.replace("mem=8", "token=a b")),
        ),
        (
            "bad-object",
            error_for_query(&mut client, &good.replace("mem=8", "obj=a b")),
        ),
        (
            "no-statement",
            error_for_query(&mut client, &good.replace("SELECT 1", "")),
        ),
        ("no-fleet", error_for_query(&mut client, "SHOW FLEET")),
        ("no-shares", error_for_query(&mut client, "SHOW SHARES")),
        ("no-queues", error_for_query(&mut client, "SHOW QUEUE")),
        (
            "kill-unknown",
            error_for_query(&mut client, "KILL 99999999"),
        ),
    ];
    client.stream.write_all(&packet(0, &[0x55])).unwrap();
    actual.push(("unknown-command", error(&mut client)));
    for (name, login) in [
        ("login-other-user", login_packet("root", b"", "warehouse")),
        ("login-password", login_packet("app", b"x", "warehouse")),
        ("login-other-database", login_packet("app", b"", "other")),
        ("login-malformed", packet(1, b"\x00")),
        ("packet-too-large", [0xff, 0xff, 0x7f, 1, 3].to_vec()),
    ] {
        actual.push((
            name,
            error(&mut Client::open(gateway.listen, &login).unwrap()),
        ));
    }
    // One statement is open, which is the limit of this configuration.
    let (mut first, open) = (gateway.client(), tagged_statement(8, "SELECT 2"));
    send(&mut first, &open);
    let mut connection = engine.accept();
    assert_eq!(connection.receive_statement().id, open.rid);
    actual.push(("id-open", error_for_query(&mut client, &open.query)));
    actual.push((
        "too-many-open",
        error_for_query(&mut client, &commented(1900, "SELECT 3")),
    ));
    let kill = format!("KILL QUERY {}", first.connection);
    assert_eq!(client.ask(&kill).unwrap(), stand_ins::client::Answer::Ok);
    actual.push(("killed", error(&mut first)));
    compare_golden("errors.txt", &actual);
}

#[test]
fn rejections_and_failures_to_clients_match_the_recording() {
    let full = engine(1);
    full.set(Mood::Full);
    let gateway = Gateway::start(&[full.address]);
    let denied = error_for_query(&mut gateway.client(), &commented(800, "SELECT 1"));
    // An unsafe statement may have run on the engine, so the gateway must not retry it.
    let broken = engine(1);
    broken.set(Mood::Error);
    let gateway = Gateway::with_config(&[broken.address], |config| {
        config["settings"]["Grades"][0]["Effect"] = json!("unsafe");
    });
    let failed = error_for_query(&mut gateway.client(), &commented(800, "SELECT 1"));
    compare_golden("endings.txt", &[("denied", denied), ("failed", failed)]);
}

#[test]
fn lines_to_engines_match_the_recording() {
    let request_id: RequestId = *b"5eed00c0ffee0a17";
    let none = StatementKeys {
        idempotency_key: None,
        ordering_key: None,
    };
    let both = StatementKeys {
        idempotency_key: Some("00112233445566778899aabbccddeeff".into()),
        ordering_key: Some("a1b2".into()),
    };
    let actual = [
        (
            "do",
            to_escaped(
                AttemptRequest {
                    request_id,
                    class: "scan",
                    timeout_ms: 1200,
                    priority: None,
                    keys: &none,
                    text: b"SELECT '\r\n'",
                }
                .encode(),
            ),
        ),
        (
            "do-ranked",
            to_escaped(
                AttemptRequest {
                    request_id,
                    class: "scan",
                    timeout_ms: 1200,
                    priority: Some(2),
                    keys: &none,
                    text: b"SELECT 1",
                }
                .encode(),
            ),
        ),
        (
            "do-tagged",
            to_escaped(
                AttemptRequest {
                    request_id,
                    class: "load",
                    timeout_ms: 80,
                    priority: Some(0),
                    keys: &both,
                    text: b"INSERT",
                }
                .encode(),
            ),
        ),
        ("undo", to_escaped(protocol::encode_cancel(&request_id))),
        (
            "page",
            to_escaped(protocol::encode_page_request(&request_id, 3)),
        ),
        ("forget", to_escaped(protocol::encode_release(&request_id))),
        ("longest-body", MAX_BODY_BYTES.to_string()),
        ("inbox-bound", MAX_RESPONSE_BYTES.to_string()),
    ];
    compare_golden("lines.txt", &actual);
}

/// Formats the engine response that the bytes are decoded into.
fn line(bytes: &[u8]) -> String {
    let response = match protocol::Response::decode(&mut BytesMut::from(bytes)) {
        Ok(Some(response)) => response,
        Ok(None) => return "not all there".to_owned(),
        Err(error) => return error.to_string(),
    };
    let kind = match response.kind {
        ResponseKind::Completed => "done",
        ResponseKind::Rejected => "wait",
        ResponseKind::Failed => "broke",
        ResponseKind::Expired => "past",
        ResponseKind::Status => "tell",
        ResponseKind::Page => "more",
        ResponseKind::Pong => "fit",
    };
    let fields = ["total", "elapsed", "rss", "remark", "datum", "index"];
    let fields = fields.map(|name| response.field(name).map_or("-".to_owned(), to_escaped));
    format!(
        "{} {kind} {} '{}'",
        to_escaped(&response.request_id),
        fields.join("/"),
        to_escaped(&response.body)
    )
}

#[test]
fn lines_from_engines_are_parsed_as_recorded() {
    let actual = [
        (
            "done",
            line(b"5eed00c0ffee0a17 DONE total=2,elapsed=81.5,rss=96 6\r\na\tb\r\n\n\r\n"),
        ),
        ("wait", line(b"5eed00c0ffee0a17 WAIT - 0\r\n\r\n")),
        ("broke", line(b"5eed00c0ffee0a17 BROKE - 0\r\n\r\n")),
        ("past", line(b"5eed00c0ffee0a17 PAST - 0\r\n\r\n")),
        (
            "tell",
            line(b"5eed00c0ffee0a17 TELL remark=done,datum=0.5 0\r\n\r\n"),
        ),
        ("more", line(b"5eed00c0ffee0a17 MORE index=1 2\r\nab\r\n")),
        ("fit", line(b"5eed00c0ffee0a17 FIT q=1 0\r\n\r\n")),
        ("half", line(b"5eed00c0ffee0a17 DONE - 5\r\nab")),
        ("long", line(&[b'x'; 2000])),
        ("words", line(b"x DONE 0\r\n")),
        ("unknown", line(b"x GONE - 0\r\n")),
        ("length", line(b"x DONE - many\r\n")),
        ("ending", line(b"x DONE - 2\r\nabcd")),
    ];
    compare_golden("lines_read.txt", &actual);
}

/// Reads one complete HTTP request from a new connection.
fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        bytes.push(byte[0]);
    }
    to_escaped(bytes)
}

/// Accepts connections until one carries a request that differs from `last`, and returns the
/// request and the connection. The gateway repeats a poll that is slow to be answered.
fn accept_new_request(board: &TcpListener, last: &str) -> (String, TcpStream) {
    loop {
        let (mut stream, _) = board.accept().unwrap();
        let request = read_request(&mut stream);
        if request != last {
            return (request, stream);
        }
    }
}

#[test]
fn requests_to_the_discovery_service_match_the_recording() {
    let board = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = board.local_addr().unwrap().to_string();
    let engine = engine(1);
    // Each response closes its connection, so the next request arrives on a new one.
    let answer = |mut stream: TcpStream, body: String| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all(format!("{head}{body}").as_bytes())
            .unwrap();
    };
    let _gateway =
        Gateway::with_config(&[engine.address], |config| config["board"] = json!(address));
    let (initial, stream) = accept_new_request(&board, "");
    let target = json!({"uid": "e-9", "endpoint": "127.0.0.1:1", "az": "hall-1", "model": "plain-8", "pod_group": 0,
        "state": "terminating", "capacity_hint": 8.0, "boot_ms": 0});
    let pool = |number: u32| json!({"rev": number, "pool": {"rev": number, "all": false, "targets": [target]}});
    answer(
        stream,
        json!({"rev": 3, "notices": [pool(2), pool(3)]}).to_string(),
    );
    let (later, stream) = accept_new_request(&board, &initial);
    answer(stream, json!({"rev": 1, "notices": []}).to_string());
    let (restarted, _stream) = accept_new_request(&board, &later);
    let mask_address = |text: &str| text.replace(&address, "BOARD");
    let actual = [
        ("from-known", mask_address(&initial)),
        ("after-news", mask_address(&later)),
        ("from-the-start", mask_address(&restarted)),
        ("longest-answer", http::MAX_RESPONSE_BYTES.to_string()),
    ];
    compare_golden("board.txt", &actual);
}

/// Formats the poll response that this HTTP response is parsed into.
fn board(head: &str, body: &str) -> String {
    let bytes = format!("HTTP/1.1 {head}\r\n\r\n{body}");
    let mut inbox = BytesMut::from(bytes.as_bytes());
    let (batch, reuse) = match http::take_response(&mut inbox, InputState::Ended) {
        Ok(PollResponse::Incomplete) => return "not all there".to_owned(),
        Err(error) => return format!("nonsense: {error}"),
        Ok(PollResponse::Complete { batch, reuse }) => (batch, reuse),
    };
    let keep = reuse == ConnectionReuse::KeepAlive;
    let mut text = format!("keep={keep} last={}", batch.last_revision);
    for event in &batch.events {
        let Some(change) = &event.change else {
            write!(text, "; {} other", event.revision).unwrap();
            continue;
        };
        let whole = change.is_snapshot();
        write!(text, "; {} whole={whole}", event.revision).unwrap();
        for endpoint in change.endpoints() {
            let stage = match endpoint.stage {
                EngineStage::Ready => "ready",
                EngineStage::Draining => "draining",
                EngineStage::Removed => "gone",
            };
            let (started, cell) = (
                endpoint
                    .started
                    .map(|at| (at - Timestamp::from_secs(0.0)).secs()),
                endpoint.cell,
            );
            write!(
                text,
                " [{} {} {} {}",
                endpoint.uid, endpoint.address, endpoint.location, endpoint.machine
            )
            .unwrap();
            write!(
                text,
                " {cell} {stage} {} {}]",
                endpoint.scale,
                started.map_or(-1.0, |at| at)
            )
            .unwrap();
        }
    }
    text
}

#[test]
fn responses_of_the_discovery_service_are_parsed_as_recorded() {
    let target = |state: &str| {
        format!(
            r#"{{"uid": "e-1", "endpoint": "127.0.0.1:7101", "az": "hall-1", "model": "plain-8", "pod_group": 3,
            "state": "{state}", "capacity_hint": 2.5, "boot_ms": 1500}}"#
        )
    };
    let body = |all: bool, targets: &str| {
        format!(
            r#"{{"rev": 5, "notices": [{{"rev": 4}}, {{"rev": 5, "pool": {{"all": {all}, "targets": [{targets}]}}}}]}}"#
        )
    };
    let targets = [
        target("in_service"),
        target("terminating"),
        target("terminated"),
    ]
    .join(",");
    let sized = |body: &str| format!("200 OK\r\nContent-Length: {}", body.len());
    let (snapshot, delta, invalid) = (
        body(true, &targets),
        body(false, ""),
        body(true, &target("resting")),
    );
    let least = body(
        true,
        r#"{"uid": "e", "endpoint": "127.0.0.1:1", "az": "a", "model": "m", "state": "in_service"}"#,
    );
    let without = |field: &str| {
        let body = snapshot.replace(&format!("\"{field}\":"), "\"gone\":");
        board(&sized(&body), &body)
    };
    let chunked = format!("{:x}\r\n{delta}\r\n0\r\n\r\n", delta.len());
    let actual = [
        ("whole", board(&sized(&snapshot), &snapshot)),
        ("changes", board(&sized(&delta), &delta)),
        ("least-fields", board(&sized(&least), &least)),
        (
            "closing",
            board(&format!("{}\r\nConnection: close", sized(&delta)), &delta),
        ),
        (
            "chunked",
            board("200 OK\r\nTransfer-Encoding: chunked", &chunked),
        ),
        ("to-the-end", board("200 OK", &delta)),
        ("state-unknown", board(&sized(&invalid), &invalid)),
        ("no-rev", without("rev")),
        ("no-notices", without("notices")),
        ("no-targets", without("targets")),
        ("no-all", without("all")),
        ("no-uid", without("uid")),
        ("no-endpoint", without("endpoint")),
        ("no-az", without("az")),
        ("no-model", without("model")),
        ("no-state", without("state")),
        ("status", board("503 Busy", "")),
        ("too-short", board("200 OK\r\nContent-Length: 9", "{}")),
    ];
    compare_golden("board_read.txt", &actual);
}

/// Formats the comment and statement that a text is parsed into.
fn format_comment(text: &str) -> String {
    let parsed = match CommentedStatement::parse(text.as_bytes()) {
        Ok(parsed) => parsed,
        Err(error) => return error.to_string(),
    };
    let number = |value: Option<f64>| value.map_or("-".to_owned(), |value| value.to_string());
    let names = [
        parsed.class,
        parsed.tenant.unwrap_or("-"),
        parsed.sub_queue.unwrap_or("-"),
    ]
    .join("/");
    let keys = [
        parsed.idempotency_key.unwrap_or("-"),
        parsed.order_key.unwrap_or("-"),
    ]
    .join("/");
    let (rid, statement) = (to_escaped(parsed.request_id), to_escaped(parsed.text));
    let (estimate, memory) = (number(parsed.estimate_ms), number(parsed.memory_mb));
    format!(
        "{rid} {names} {}/{estimate}/{memory} {keys} {statement}",
        parsed.budget_ms
    )
}

#[test]
fn comments_before_statements_are_parsed_as_recorded() {
    let all = "/* method=scan,rid=5eed00c0ffee0a17,budget=900,acct=water,desk=counter,est=12.5,mem=64,token=aa11,obj=b2 */ SELECT 1";
    let least = "/* method=scan,rid=5eed00c0ffee0a17,budget=900 */ SELECT 1";
    let without = |field: &str| format_comment(&all.replace(&format!("{field}="), "other="));
    let empty = |field: &str| format_comment(&least.replace(" */", &format!(",{field}= */")));
    let group = |statement: &str| {
        table_group(statement.as_bytes()).map_or("-".to_owned(), |group| group.to_string())
    };
    let actual = [
        ("all", format_comment(all)),
        ("least", format_comment(least)),
        ("none", format_comment("SELECT 1")),
        (
            "no-statement",
            format_comment("/* method=scan,rid=5eed00c0ffee0a17,budget=900 */ "),
        ),
        ("without-method", without("method")),
        ("without-rid", without("rid")),
        ("without-budget", without("budget")),
        ("without-acct", without("acct")),
        ("without-desk", without("desk")),
        ("without-est", without("est")),
        ("without-mem", without("mem")),
        ("without-token", without("token")),
        ("without-obj", without("obj")),
        ("empty-acct", empty("acct")),
        ("empty-desk", empty("desk")),
        ("empty-est", empty("est")),
        ("empty-mem", empty("mem")),
        ("empty-token", empty("token")),
        ("empty-obj", empty("obj")),
        (
            "twice",
            format_comment(&all.replace("est=12.5", "rid=5eed00c0ffee0a17")),
        ),
        (
            "long-budget",
            format_comment(&all.replace("900", "3600001")),
        ),
        ("group-from", group("SELECT a FROM ledger_17.bills")),
        (
            "group-into",
            group("INSERT INTO ledger_4.bills SELECT a FROM staging.rows_3"),
        ),
        ("group-none", group("SELECT 'ledger_17.bills'")),
    ];
    compare_golden("comment.txt", &actual);
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// Joins the cells of each row with `|`.
fn cells<const N: usize>(rows: &[[String; N]]) -> Vec<String> {
    rows.iter().map(|row| row.join("|")).collect()
}

fn timestamp(secs: f64) -> Timestamp {
    Timestamp::from_secs(secs)
}

fn estimate(wait: f64, p90: f64) -> WaitEstimate {
    WaitEstimate {
        median: TimeDelta::from_secs(wait),
        p90: TimeDelta::from_secs(p90),
    }
}

#[test]
fn the_queue_table_matches_the_recording() {
    let desk = SubQueueStatus {
        tenant: "water".to_owned(),
        sub_queue: "counter".to_owned(),
        waiting: 3,
        waiting_cpu: 1.25,
        budget: 0.5,
        rate: Some(0.75),
        saved: -2.5,
        longest_wait: TimeDelta::from_secs(0.4),
        next_waits: vec![estimate(0.1, 0.3), estimate(0.2, 0.6)],
    };
    let quiet = SubQueueStatus {
        rate: None,
        next_waits: Vec::new(),
        sub_queue: "kiosk".to_owned(),
        ..desk.clone()
    };
    let statement = StatementStatus {
        tenant: "water".to_owned(),
        sub_queue: "counter".to_owned(),
        ahead: 4,
        waited: TimeDelta::from_secs(0.25),
        remaining: estimate(0.5, 1.5),
    };
    let desks = status::sub_queue_rows(&[desk, quiet]);
    let statement = [status::statement_row("5eed00c0ffee0a17", &statement)];
    let rows = cells(&desks);
    let actual = [
        ("queue-columns", status::SUB_QUEUE_COLUMNS.join("|")),
        ("queue-desk", rows[0].clone()),
        ("queue-quiet-desk", rows[1].clone()),
        (
            "queue-packets",
            to_hex(Response::to(0).table(status::SUB_QUEUE_COLUMNS, &desks)),
        ),
        ("statement-columns", status::STATEMENT_COLUMNS.join("|")),
        ("statement", cells(&statement).concat()),
        (
            "statement-packets",
            to_hex(Response::to(0).table(status::STATEMENT_COLUMNS, &statement)),
        ),
    ];
    compare_golden("queues.txt", &actual);
}

#[test]
fn the_fleet_table_matches_the_recording() {
    let place = |zone: &str, region: &str| Locality {
        zone: Some(name(zone)),
        region: Some(name(region)),
    };
    let ring = || KeyRing::new(&[7; 32], &[]).unwrap();
    let mut own = Node::new(
        timestamp(10.0),
        NodeSetup {
            fleet: name("golden"),
            name: name("g0"),
            address: "127.0.0.1:7001".parse().unwrap(),
            locality: place("room-a", "north"),
            seeds: Vec::new(),
            key_ring: ring(),
            config: Config::default(),
            rng_seed: 5,
        },
    );
    let record = |member: &str, port: u16, state: MemberState, locality: Locality| Record {
        name: name(member),
        boot_id: BootId(0x0102_0304_0506_0708),
        incarnation: Incarnation(3),
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        locality,
        state,
    };
    let alone = cells(&status::fleet_rows(timestamp(12.5), &mut own));
    for (count, member, state, place) in [
        (1, "g1", MemberState::Alive, place("room-b", "south")),
        (
            1,
            "g2",
            MemberState::Alive,
            Locality {
                zone: None,
                region: None,
            },
        ),
    ] {
        let from = record(
            member,
            7000 + if member == "g1" { 2 } else { 3 },
            state,
            place,
        );
        let address = from.address;
        let message = Message {
            fleet: name("golden"),
            from,
            counter: count,
            view: View { digest: 1, size: 2 },
            body: Body::Ping(Nonce(9)),
            records: Vec::new(),
            engine_reports: Vec::new(),
        };
        let _ = own.receive(timestamp(13.0), address, &message::seal(&ring(), &message));
    }
    let rows = cells(&status::fleet_rows(timestamp(15.0), &mut own));
    let mut actual = vec![
        ("fleet-columns", status::FLEET_COLUMNS.join("|")),
        ("fleet-alone", alone.concat()),
    ];
    actual.extend(rows.into_iter().map(|row| ("fleet-row", row)));
    actual.extend(
        [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Dead,
            MemberState::Left,
        ]
        .map(|state| ("fleet-state", state.to_string())),
    );
    compare_golden("fleet.txt", &actual);
}

#[test]
fn the_shares_table_matches_the_recording() {
    let holding = |holder: &str, differs: bool| Holding {
        holder: HolderId {
            name: name(holder),
            boot_id: BootId(1),
        },
        demand: Amount(1_500_000),
        reserved: Amount(2_250_000),
        expires: Some(timestamp(12.0)),
        config_differs: differs,
    };
    let line = |budget: &str, unit: &'static str| BudgetStatus {
        budget: budget.to_owned(),
        unit,
        capacity: Amount(6_000_000),
        guaranteed: Amount(500_000),
        leased: Amount(1_250_000),
        lease_expires: Some(timestamp(11.5)),
        wanted: 0.125,
        spent: 3.5,
        allowed: 4.75,
        rejected: 2,
        holdings: vec![
            holding("g0", false),
            holding("g1", true),
            holding("g2", false),
        ],
    };
    let bare = BudgetStatus {
        lease_expires: None,
        holdings: Vec::new(),
        ..line("trials", "trials/s")
    };
    let leading = Status {
        gateway: name("g0"),
        leader: Some(name("g1")),
        is_leader: true,
        term: Some(7),
        budgets: vec![line("relays.point", "relays/s"), bare.clone()],
    };
    let without_leader = Status {
        gateway: name("g0"),
        leader: None,
        is_leader: false,
        term: None,
        budgets: vec![bare],
    };
    let mut actual = vec![("shares-columns", status::QUOTA_COLUMNS.join("|"))];
    actual.extend(
        cells(&status::quota_rows(timestamp(10.0), &leading))
            .into_iter()
            .map(|row| ("shares-row", row)),
    );
    actual.push((
        "shares-without-steward",
        cells(&status::quota_rows(timestamp(10.0), &without_leader)).concat(),
    ));
    compare_golden("shares.txt", &actual);
}

const OPERATOR: &str = include_str!("golden/operator.hcl");

/// Sends a query and returns the column names of its answer, joined with `|`, and its rows.
fn read_table(client: &mut Client, query: &str) -> (String, Vec<Vec<String>>) {
    client.stream.write_all(&query_packet(query)).unwrap();
    let mut names = Vec::new();
    for _ in 0..client.packet().unwrap()[0] {
        // The column name follows the catalog, the schema and both names of the table, which are
        // length-prefixed strings.
        let (packet, mut start) = (client.packet().unwrap(), 0);
        (0..4).for_each(|_| start += 1 + usize::from(packet[start]));
        names.push(to_escaped(
            &packet[start + 1..start + 1 + usize::from(packet[start])],
        ));
    }
    let is_end = |packet: &[u8]| packet[0] == 0xfe && packet.len() < 9;
    assert!(is_end(&client.packet().unwrap()));
    let mut rows = Vec::new();
    loop {
        let packet = client.packet().unwrap();
        if is_end(&packet) {
            return (names.join("|"), rows);
        }
        let (mut row, mut rest) = (Vec::new(), &packet[..]);
        while let [length, after @ ..] = rest {
            row.push(to_escaped(&after[..usize::from(*length)]));
            rest = &after[usize::from(*length)..];
        }
        rows.push(row);
    }
}

/// Returns the field names of the first object in this printed JSON, in their order, joined with
/// `|`.
fn field_names(json: &str) -> String {
    let object = json.split('}').next().unwrap();
    let names = object
        .lines()
        .filter_map(|line| line.trim().strip_prefix('"')?.split('"').next());
    names.collect::<Vec<_>>().join("|")
}

/// Returns these fields of the first object in a JSON array, with their values, joined with `|`.
fn field_values(json: &str, names: &[&str]) -> String {
    let json: serde_json::Value = serde_json::from_str(json).unwrap();
    names
        .iter()
        .map(|name| format!("{name}={}", json[0][name]))
        .collect::<Vec<_>>()
        .join("|")
}

/// Runs the program with these configuration files and returns its standard output.
fn run_program(arguments: &[&str], config: &Path, operator: &Path) -> String {
    let mut program = Program::new(env!("CARGO_BIN_EXE_laurelhitch"));
    program
        .env("RELAY_CONFIG", config)
        .env("LAURELHITCH_OPERATOR", operator);
    let output = program.args(arguments).output().unwrap();
    assert!(output.status.success(), "{arguments:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

#[test]
fn tables_json_and_checks_of_a_running_gateway_match_the_recording() {
    let folder = std::env::temp_dir().join(format!("laurelhitch-golden-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("one.key"), "07".repeat(32)).unwrap();
    std::fs::write(folder.join("signs"), "one").unwrap();
    let (bind, engine) = (free_address().to_string(), engine(1));
    let operator = OPERATOR
        .replace("FOLDER", folder.to_str().unwrap())
        .replace("BIND", &bind);
    let mut gateway = Gateway::with_operator_file(&[engine.address], &operator, |_| ());
    let mut client = gateway.client();
    let select_columns = |rows: &[Vec<String>], columns: &[usize]| {
        let row = |row: &Vec<String>| {
            columns
                .iter()
                .map(|index| row[*index].clone())
                .collect::<Vec<_>>()
                .join("|")
        };
        rows.iter().map(row).collect::<Vec<_>>().join("; ")
    };
    let queue = read_table(&mut client, "SHOW QUEUE");
    let statement = read_table(&mut client, "SHOW QUEUE FOR 'ffffffffffffffff'");
    let fleet = read_table(&mut client, "SHOW FLEET");
    let shares = read_table(&mut client, "SHOW SHARES");
    let counts = gateway.print_counters();
    let counts = counts.split_once("counters: ").unwrap().1;
    let counts: Vec<&str> = counts
        .split_whitespace()
        .filter_map(|word| word.split('=').next())
        .collect();
    let listen = gateway.listen.to_string();
    let (config, file) = (&gateway.config, gateway.config.with_extension("hcl"));
    let printed = |arguments: &[&str]| run_program(arguments, config, &file);
    let headings = |text: String| {
        text.lines()
            .next()
            .unwrap()
            .split_whitespace()
            .collect::<Vec<_>>()
            .join("|")
    };
    let [queue_json, fleet_json, shares_json] =
        ["queue", "fleet", "shares"].map(|what| printed(&[what, &listen, "--json"]));
    let mut actual = vec![
        ("queue-columns", queue.0),
        (
            "queue-cells",
            select_columns(&queue.1, &[0, 1, 2, 3, 4, 6, 7]),
        ),
        ("statement-columns", statement.0),
        ("statement-rows", statement.1.len().to_string()),
        ("fleet-columns", fleet.0),
        (
            "fleet-cells",
            select_columns(&fleet.1, &[0, 1, 2, 3, 6, 8, 9, 12]),
        ),
        ("shares-columns", shares.0),
        ("shares-cells", select_columns(&shares.1, &[0, 1, 2, 3, 4])),
        ("counters", counts.join("|")),
        ("queue-keys", field_names(&queue_json)),
        (
            "queue-values",
            field_values(
                &queue_json,
                &["member", "desk", "waiting", "budget_cpu_s_per_s"],
            ),
        ),
        ("fleet-keys", field_names(&fleet_json)),
        (
            "fleet-values",
            field_values(
                &fleet_json,
                &[
                    "name",
                    "state",
                    "incarnation",
                    "known",
                    "size",
                    "zone",
                    "region",
                ],
            ),
        ),
        ("shares-keys", field_names(&shares_json)),
        (
            "shares-values",
            field_values(
                &shares_json,
                &["budget", "holder", "unit", "whole", "floor"],
            ),
        ),
        ("queue-heads", headings(printed(&["queue", &listen]))),
        ("fleet-heads", headings(printed(&["fleet", &listen]))),
        ("shares-heads", headings(printed(&["shares", &listen]))),
    ];
    let check = printed(&["check"]);
    for line in check.lines() {
        let line = line
            .replace(config.to_str().unwrap(), "CONFIG")
            .replace(file.to_str().unwrap(), "OPERATOR");
        actual.push((
            "check",
            format!(
                "'{}'",
                line.replace(&bind, "BIND").replace(&listen, "LISTEN")
            ),
        ));
    }
    compare_golden("shown.txt", &actual);
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn the_printed_counters_match_the_recording() {
    let counters = Counters {
        sessions_opened: 1,
        statements_accepted: 2,
        completed: 3,
        rejected: 4,
        attempts_sent: 5,
        discovery_polls: 6,
        watch_events: 7,
        busy_ms: 8,
        ..Counters::default()
    };
    compare_golden("counters.txt", &[("counters", format!("'{counters}'"))]);
}
