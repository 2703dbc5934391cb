//! Tests of the codecs: input split at every byte, malformed input and random bytes.

use admission::interface::{EndpointUpdate, EngineStage, Timestamp};
use bytes::BytesMut;
use gateway::clients::comment::{CommentError, CommentedStatement};
use gateway::clients::protocol::handshake::{FirstPacket, check_login, first_packet};
use gateway::clients::protocol::packet::take_packet;
use gateway::clients::protocol::{Command, KillScope, Query};
use gateway::clients::table_group::table_group;
use gateway::config::Config;
use gateway::discovery::endpoints::{EndpointListError, EventBatch};
use gateway::discovery::http::{self, ConnectionReuse, InputState, PollResponse};
use gateway::discovery::registry::{EngineAddress, EngineRegistry};
use gateway::engines::protocol::{
    self, AttemptRequest, DecodeError, Response, ResponseKind, StatementKeys,
};
use quickcheck::{Gen, QuickCheck};

/// Splits the bytes in two at every position, decodes both parts one after the other, asserts that
/// no byte is left over and calls `check` with the decoded values.
fn check_every_split<T>(
    bytes: &[u8],
    mut decode: impl FnMut(&mut BytesMut) -> Option<T>,
    check: impl Fn(Vec<T>),
) {
    for split in 0..=bytes.len() {
        let (mut inbox, mut decoded) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..split], &bytes[split..]] {
            inbox.extend_from_slice(part);
            while let Some(value) = decode(&mut inbox) {
                decoded.push(value);
            }
        }
        assert!(inbox.is_empty(), "split at {split}");
        check(decoded);
    }
}

#[test]
fn packets_are_decoded_at_any_split() {
    let bytes = [
        &[3, 0, 0, 0, 3, b'h', b'i'][..],
        &[0, 0, 0, 7],
        &[1, 0, 0, 1, 0x0e],
    ]
    .concat();
    check_every_split(
        &bytes,
        |inbox| take_packet(inbox).unwrap(),
        |decoded| {
            let decoded: Vec<_> = decoded
                .iter()
                .map(|packet| (packet.sequence, &packet.body[..]))
                .collect();
            assert_eq!(decoded, [(0, &b"\x03hi"[..]), (7, b""), (1, b"\x0e")]);
        },
    );
    assert!(take_packet(&mut BytesMut::from(&[0, 0, 16, 0][..])).is_err());
}

#[test]
fn engine_responses_are_decoded_at_any_split() {
    let bytes = b"5eed00c0ffee0a17 DONE total=2,elapsed=81.5,rss=96 6\r\na\tb\r\n\n\r\n\
        x TELL remark=done,datum=0.5 0\r\n\r\nx WAIT - 0\r\n\r\n";
    check_every_split(
        bytes,
        |inbox| Response::decode(inbox).unwrap(),
        |decoded| {
            let kinds: Vec<ResponseKind> = decoded.iter().map(|response| response.kind).collect();
            assert_eq!(
                kinds,
                [
                    ResponseKind::Completed,
                    ResponseKind::Status,
                    ResponseKind::Rejected
                ]
            );
            let [completed, status, rejected] = &decoded[..] else {
                panic!("expected three responses")
            };
            assert_eq!(
                (&completed.request_id[..], &completed.body[..]),
                (&b"5eed00c0ffee0a17"[..], &b"a\tb\r\n\n"[..])
            );
            assert_eq!(
                (completed.number("total"), completed.number("rss")),
                (Some(2), Some(96))
            );
            assert_eq!(completed.number::<f64>("elapsed"), Some(81.5));
            assert_eq!(
                (status.field("remark"), status.number("datum")),
                (Some(&b"done"[..]), Some(0.5))
            );
            assert_eq!(
                (rejected.field("total"), &rejected.request_id[..]),
                (None, &b"x"[..])
            );
        },
    );
}

#[test]
fn malformed_engine_responses_are_reported_by_kind() {
    let error_of = |bytes: &[u8]| Response::decode(&mut BytesMut::from(bytes)).unwrap_err();
    assert_eq!(error_of(b"x GONE - 0\r\n"), DecodeError::UnknownKind);
    assert_eq!(error_of(b"x DONE 0\r\n"), DecodeError::MalformedLine);
    assert_eq!(error_of(b"x DONE - many\r\n"), DecodeError::InvalidLength);
    assert_eq!(
        error_of(b"x DONE - 99999999\r\n"),
        DecodeError::InvalidLength
    );
    assert_eq!(
        error_of(b"x DONE - 2\r\nabcd"),
        DecodeError::MissingTerminator
    );
    assert_eq!(error_of(&[b'x'; 2000]), DecodeError::LineTooLong);
}

#[test]
fn an_attempt_request_carries_the_statement_unchanged() {
    let attempt = AttemptRequest {
        request_id: *b"5eed00c0ffee0a17",
        class: "scan",
        timeout_ms: 1200,
        priority: Some(2),
        keys: &StatementKeys::default(),
        text: b"SELECT '\r\n'",
    };
    assert_eq!(
        attempt.encode(),
        b"do 5eed00c0ffee0a17 profile=scan,max=1200,band=2 11\r\nSELECT '\r\n'\r\n"
    );
    assert_eq!(
        protocol::encode_page_request(b"5eed00c0ffee0a17", 3),
        b"page 5eed00c0ffee0a17 3\r\n"
    );
}

#[test]
fn the_comment_is_parsed_and_removed_from_the_statement() {
    let text =
        b"/* method=scan,rid=5eed00c0ffee0a17,budget=1200,acct=water,est=640.0,mem=96,new=1 */ SELECT 1";
    let parsed = CommentedStatement::parse(text).unwrap();
    assert_eq!(
        (parsed.class, parsed.tenant, &parsed.request_id),
        ("scan", Some("water"), b"5eed00c0ffee0a17")
    );
    assert_eq!(
        (parsed.budget_ms, parsed.estimate_ms, parsed.memory_mb),
        (1200.0, Some(640.0), Some(96.0))
    );
    assert_eq!(parsed.text, b"SELECT 1");
}

#[test]
fn an_invalid_comment_is_reported_with_its_reason() {
    let error_of = |fields: &str| {
        CommentedStatement::parse(format!("/* {fields} */ SELECT 1").as_bytes()).unwrap_err()
    };
    let good = "method=scan,rid=5eed00c0ffee0a17";
    assert_eq!(
        CommentedStatement::parse(b"SELECT 1"),
        Err(CommentError::NoComment)
    );
    assert_eq!(
        CommentedStatement::parse(b"/* method=scan"),
        Err(CommentError::NoComment)
    );
    assert_eq!(error_of("budget=10"), CommentError::MissingField("rid"));
    assert_eq!(
        error_of("rid=xyz,budget=10"),
        CommentError::InvalidField("rid")
    );
    assert_eq!(
        error_of("rid=5eed00c0ffee0a17,budget=10"),
        CommentError::MissingField("method")
    );
    assert_eq!(error_of(good), CommentError::MissingField("budget"));
    for budget in ["0", "-5", "NaN", "inf", "soon", "99999999999", ""] {
        assert_eq!(
            error_of(&format!("{good},budget={budget}")),
            CommentError::InvalidField("budget"),
            "{budget}"
        );
    }
    assert_eq!(
        error_of(&format!("{good},budget=9,est=much")),
        CommentError::InvalidField("est")
    );
    assert_eq!(
        error_of(&format!("{good},budget=9,budget=8")),
        CommentError::InvalidField("budget")
    );
    assert_eq!(
        CommentedStatement::parse(format!("/* {good},budget=9 */ ").as_bytes()),
        Err(CommentError::NoStatement)
    );
}

#[test]
fn the_table_group_is_of_the_schema_read_or_written() {
    let cases: [(&str, Option<u32>); 13] = [
        (
            "SELECT paid_on, sum(amount) FROM ledger_17.bills WHERE tag = 'paid' GROUP BY paid_on",
            Some(17),
        ),
        ("select * from `ledger_17` . `bills`", Some(17)),
        ("SELECT 'from old_3.orders' FROM ledger_17.bills", Some(17)),
        (
            "SELECT \"it\\\"s old_3.x\", 'a''b old_4.y' FROM ledger_17.bills",
            Some(17),
        ),
        (
            "SELECT /* old_3.orders */ 1 -- old_4.x\n FROM ledger_17.bills",
            Some(17),
        ),
        (
            "SELECT 1 # from old_3.orders\n FROM ledger_17.bills",
            Some(17),
        ),
        ("SELECT o_3.day FROM ledger_17.bills o_3", Some(17)),
        (
            "INSERT INTO ledger_17.bills SELECT * FROM staging.batch_91",
            Some(17),
        ),
        (
            "INSERT INTO staging.batch_9 SELECT * FROM ledger_17.bills",
            Some(17),
        ),
        ("UPDATE ledger_17.bills SET note = 'x'", Some(17)),
        ("SELECT 1 FROM staging.a, ledger_17.bills", Some(17)),
        ("SELECT 1 FROM staging.batch_91", None),
        ("SELECT 1", None),
    ];
    for (statement, group) in cases {
        assert_eq!(table_group(statement.as_bytes()), group, "{statement}");
    }
}

#[test]
fn commands_and_queries_of_ordinary_clients_are_recognised() {
    assert_eq!(Command::parse(b"\x0e"), Command::Ping);
    assert_eq!(Command::parse(b"\x01"), Command::Quit);
    assert_eq!(Command::parse(b"\x02warehouse"), Command::NoOperation);
    assert_eq!(Command::parse(b"\x02other"), Command::Unknown);
    assert_eq!(Command::parse(b""), Command::Unknown);
    assert_eq!(Query::parse(b"SET NAMES utf8mb4"), Query::NoOperation);
    assert_eq!(
        Query::parse(b"select @@version_comment limit 1"),
        Query::SystemVariable("@@version_comment")
    );
    assert_eq!(
        Query::parse(b"KILL QUERY 12;"),
        Query::Kill {
            connection_id: 12,
            scope: KillScope::Query
        }
    );
    assert_eq!(
        Query::parse(b"kill 12"),
        Query::Kill {
            connection_id: 12,
            scope: KillScope::Connection
        }
    );
    assert_eq!(
        Query::parse(b"KILL CONNECTION 7"),
        Query::Kill {
            connection_id: 7,
            scope: KillScope::Connection
        }
    );
    assert_eq!(Query::parse(b"/* method=a */ SET x"), Query::Statement);
}

#[test]
fn queries_for_the_gateway_itself_are_distinguished_from_statements() {
    let cases = [
        ("SHOW FLEET", Query::ShowFleet),
        ("show shares ;", Query::ShowShares),
        ("show shares all", Query::Statement),
        ("SHOW QUEUE", Query::ShowQueue(None)),
        ("show queue for 'a1'", Query::ShowQueue(Some("a1"))),
        ("show queue for a1", Query::Statement),
        ("show queue of 'a1'", Query::Statement),
        ("SET @laurelhitch_token = 'abc'", Query::SetToken("abc")),
        ("set @laurelhitch_token = abc", Query::Statement),
        ("set @laurelhitch_token := 'abc'", Query::NoOperation),
        ("kill query x", Query::Statement),
        ("kill", Query::Statement),
        ("select @@x limit", Query::Statement),
        ("select 1", Query::Statement),
    ];
    for (text, query) in cases {
        assert_eq!(Query::parse(text.as_bytes()), query, "{text}");
    }
}

#[test]
fn a_tls_request_is_distinguished_from_a_login() {
    let mut login = stand_ins::client::login_packet("app", b"", "warehouse")[4..].to_vec();
    assert_eq!(first_packet(&login), FirstPacket::Login);
    // The flag alone does not make the packet a TLS request: the packet must also end before the
    // user name.
    login[1] |= 0x08;
    assert_eq!(first_packet(&login), FirstPacket::Login);
    assert_eq!(first_packet(&login[..32]), FirstPacket::TlsRequest);
}

#[test]
fn logins_are_validated() {
    let login = |user: &str, password: &[u8], database: &str| {
        check_login(&stand_ins::client::login_packet(user, password, database)[4..])
            .map_err(|error| error.code().number)
    };
    assert_eq!(login("app", b"", "warehouse"), Ok(()));
    assert_eq!(login("root", b"", "warehouse"), Err(1045));
    assert_eq!(login("app", b"secret", "warehouse"), Err(1045));
    assert_eq!(login("app", b"", "other"), Err(1049));
    assert_eq!(
        check_login(b"\x01\x02").map_err(|error| error.code().number),
        Err(1043)
    );
    // Ordinary clients set capability flags that the server did not offer, but do not send the
    // fields that belong to these flags.
    let mut unoffered = stand_ins::client::login_packet("app", b"", "warehouse")[4..].to_vec();
    unoffered[2..4].copy_from_slice(&[0xff, 0x00]);
    assert_eq!(check_login(&unoffered), Ok(()));
}

const SNAPSHOT_ANSWER: &str = r#"{"rev":12,"notices":[{"rev":12,"pool":{"rev":3,"all":true,"targets":[{"uid":"e-0000002a",
    "endpoint":"10.3.0.4:7200","az":"east","model":"std","pod_group":1,"state":"in_service","capacity_hint":6,
    "boot_ms":0}]}}]}"#;

#[test]
fn poll_responses_are_decoded_at_any_split() {
    let plain = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{SNAPSHOT_ANSWER}",
        SNAPSHOT_ANSWER.len()
    );
    let (left, right) = SNAPSHOT_ANSWER.split_at(40);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    let (first, second) = (left.len(), right.len());
    let chunked = format!("{head}{first:x}\r\n{left}\r\n{second:x}\r\n{right}\r\n0\r\n\r\n");
    for (text, expected_reuse) in [
        (plain, ConnectionReuse::KeepAlive),
        (chunked, ConnectionReuse::Close),
    ] {
        let decode =
            |inbox: &mut BytesMut| match http::take_response(inbox, InputState::Open).unwrap() {
                PollResponse::Incomplete => None,
                other => Some(other),
            };
        check_every_split(text.as_bytes(), decode, |decoded| {
            let [PollResponse::Complete { batch, reuse }] = &decoded[..] else {
                panic!("{decoded:?}")
            };
            assert_eq!((batch.last_revision, batch.events.len()), (12, 1));
            assert_eq!(*reuse, expected_reuse);
        });
    }
}

#[test]
fn a_poll_response_without_a_length_ends_when_the_connection_closes() {
    let text = format!("HTTP/1.1 200 OK\r\n\r\n{SNAPSHOT_ANSWER}");
    let mut inbox = BytesMut::from(&text[..]);
    assert_eq!(
        http::take_response(&mut inbox, InputState::Open).unwrap(),
        PollResponse::Incomplete
    );
    let response = http::take_response(&mut inbox, InputState::Ended).unwrap();
    assert!(matches!(response, PollResponse::Complete { batch, .. } if batch.last_revision == 12));
    assert!(inbox.is_empty());
}

#[test]
fn invalid_poll_responses_are_errors() {
    for text in [
        "HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "\u{1}\u{2}\r\n\r\n",
    ] {
        assert!(
            http::take_response(&mut BytesMut::from(text), InputState::Open).is_err(),
            "{text}"
        );
    }
}

/// Guards against a field that cannot be used and is replaced by a default: a wrong cell, size or
/// start of an engine.
#[test]
fn an_endpoint_with_an_unusable_field_is_reported_with_its_name() {
    let error_of = |from: &str, to: &str| {
        let text = SNAPSHOT_ANSWER.replace(from, to);
        assert_ne!(text, SNAPSHOT_ANSWER, "{to}");
        EventBatch::from_json(&serde_json::from_str(&text).unwrap()).unwrap_err()
    };
    for cell in [r#""1""#, "-1", "1.5", "65536", "true", "[1]"] {
        let error = error_of(r#""pod_group":1"#, &format!(r#""pod_group":{cell}"#));
        assert_eq!(error, EndpointListError::Field("pod_group"), "{cell}");
    }
    for scale in [r#""6""#, "-6", "false", "{}"] {
        let error = error_of(
            r#""capacity_hint":6"#,
            &format!(r#""capacity_hint":{scale}"#),
        );
        assert_eq!(error, EndpointListError::Field("capacity_hint"), "{scale}");
    }
    for start in [r#""0""#, "-1", "true", "[]"] {
        let error = error_of(r#""boot_ms":0"#, &format!(r#""boot_ms":{start}"#));
        assert_eq!(error, EndpointListError::Field("boot_ms"), "{start}");
    }
}

/// Guards against a header or chunk that cannot be used and is passed over, so that the body ends
/// where the service did not end it.
#[test]
fn a_poll_response_with_unusable_framing_is_an_error() {
    let length = SNAPSHOT_ANSWER.len();
    let heads = [
        format!("Content-Length: +{length}").into_bytes(),
        [format!("Content-Length: {length}").as_bytes(), b"\xff"].concat(),
        b"Transfer-Encoding: chun\xffed".to_vec(),
        b"Transfer-Encoding: ch~nked".to_vec(),
    ];
    for head in heads {
        let head = [b"HTTP/1.1 200 OK\r\n", &head[..], b"\r\n\r\n"].concat();
        let mut inbox = BytesMut::from(&[&head[..], SNAPSHOT_ANSWER.as_bytes()].concat()[..]);
        let decoded = http::take_response(&mut inbox, InputState::Open);
        assert!(decoded.is_err(), "{}", String::from_utf8_lossy(&head));
    }
    // The header that only says whether the connection stays open costs no events.
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\nConnection: ");
    let response = [head.as_bytes(), b"\xff\r\n\r\n", SNAPSHOT_ANSWER.as_bytes()].concat();
    let decoded = http::take_response(&mut BytesMut::from(&response[..]), InputState::Open);
    assert!(matches!(
        decoded,
        Ok(PollResponse::Complete {
            reuse: ConnectionReuse::Close,
            ..
        })
    ));
    let chunks = format!("{length:x}\r\n{SNAPSHOT_ANSWER}~~0\r\n\r\n");
    let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
    let decoded = http::take_response(&mut BytesMut::from(&text[..]), InputState::Open);
    assert!(decoded.is_err(), "{decoded:?}");
}

#[test]
fn endpoint_events_become_engine_updates_by_uid() {
    let events = |text: &str| EventBatch::from_json(&serde_json::from_str(text).unwrap());
    let mut registry = EngineRegistry::new(vec!["west".into(), "east".into()], vec!["std".into()]);
    let now = Timestamp::from_secs(1000.0);
    let first = registry.apply(
        now,
        events(SNAPSHOT_ANSWER).unwrap().events[0]
            .change
            .as_ref()
            .unwrap(),
    );
    let EndpointUpdate::Snapshot(facts) = &first.update else {
        panic!("expected a snapshot")
    };
    assert_eq!(
        (facts[0].location.0, facts[0].machine.0, facts[0].stage),
        (1, 0, EngineStage::Ready)
    );
    // An engine with another uid at the same address is a different engine, and an engine that is
    // missing from a snapshot is removed.
    let other = events(&SNAPSHOT_ANSWER.replace("e-0000002a", "s-11")).unwrap();
    let second = registry.apply(now, other.events[0].change.as_ref().unwrap());
    assert_eq!(
        second.addresses[0],
        EngineAddress {
            engine: facts[0].id,
            address: None
        }
    );
    assert_ne!(second.addresses[1].engine, facts[0].id);
    assert_eq!(second.addresses[1].address, first.addresses[0].address);
    assert_eq!(
        events(&SNAPSHOT_ANSWER.replace("in_service", "asleep")),
        Err(EndpointListError::Field("state"))
    );
}

#[test]
fn an_invalid_configuration_is_reported_with_its_reason() {
    let text = include_str!("../../../examples/config.json");
    assert!(Config::parse(text.as_bytes()).is_ok());
    let error_of = |text: &str| {
        Config::parse(text.as_bytes())
            .err()
            .expect("the configuration was accepted")
            .to_string()
    };
    assert!(error_of("{").contains("configuration"));
    assert!(error_of(&text.replace("\"board\"", "\"bored\"")).contains("board is missing"));
    assert!(error_of(&text.replace("8c1f30d27a5be964", "seed")).contains("seed is missing"));
    assert!(error_of("{\"settings\": {}}").contains("is missing"));
}

#[test]
fn random_bytes_do_not_panic_any_codec() {
    fn decodes_without_panic(bytes: Vec<u8>) -> bool {
        let mut inbox = BytesMut::from(&bytes[..]);
        while let Ok(Some(packet)) = take_packet(&mut inbox) {
            let _ = (check_login(&packet.body), Command::parse(&packet.body));
        }
        let _ = (
            check_login(&bytes),
            Query::parse(&bytes),
            table_group(&bytes),
        );
        let commented = [
            b"/* rid=5eed00c0ffee0a17,budget=9,method=",
            &bytes[..],
            b"*/ x",
        ]
        .concat();
        let _ = (CommentedStatement::parse(&commented), Config::parse(&bytes));
        let mut inbox = BytesMut::from(&[b"x DONE - 3\r\n", &bytes[..]].concat()[..]);
        while let Ok(Some(_)) = Response::decode(&mut inbox) {}
        let body = [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            &bytes[..],
        ]
        .concat();
        let _ = http::take_response(&mut BytesMut::from(&body[..]), InputState::Ended);
        true
    }
    let random = Gen::from_size_and_seed(300, 11);
    QuickCheck::new()
        .rng(random)
        .tests(3000)
        .quickcheck(decodes_without_panic as fn(Vec<u8>) -> bool);
}
