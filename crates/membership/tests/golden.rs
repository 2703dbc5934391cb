//! Golden tests for the wire format and for texts that operators see: a datagram of each kind,
//! records, engine reports, and the texts of reject reasons, member states and view states.
//!
//! The wire layout is positional: a field or variant is identified by its position, not by its
//! name. If one is moved, inserted or removed, gateways of two builds misread each other, and a
//! rolling restart fails. Names in the code may therefore change, but these bytes may not. The
//! texts are recorded because metrics, logs and operators depend on them.
//!
//! After a deliberate change, record the files again with
//! `GOLDEN_RECORD=1 cargo test -p laurelhitch-membership --test golden`,
//! and commit them with the reason for the change. Without the variable, the tests only compare.
//! Each line of a file holds a name and the bytes in hexadecimal.

use std::collections::BTreeSet;
use std::path::Path;

use membership::message::{Body, Message, Nonce, View, open, seal};
use membership::{
    BootId, EngineReport, EngineStatus, Incarnation, KeyRing, Locality, MemberState, Name, Record,
    RejectReason, ViewState,
};

/// Compares the names, the bytes and their order with the recorded file, and returns the recorded
/// bytes. With `GOLDEN_RECORD=1`, the file is written first.
fn compare(file: &str, actual: &[(&str, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let format_line = |(name, bytes): &(&str, Vec<u8>)| {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name} {hex}\n")
    };
    let lines: Vec<String> = actual.iter().map(format_line).collect();
    if std::env::var("GOLDEN_RECORD").is_ok_and(|value| value == "1") {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, lines.concat()).unwrap();
    }
    let recorded =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let recorded: Vec<&str> = recorded.split_inclusive('\n').collect();
    let names: BTreeSet<&str> = actual.iter().map(|(name, _)| *name).collect();
    assert_eq!(names.len(), actual.len(), "{file}: a name is used twice");
    for (actual, recorded) in lines.iter().zip(&recorded) {
        assert_eq!(
            actual, recorded,
            "{file}: the current output (left) differs from the golden file (right)"
        );
    }
    assert_eq!(
        lines.len(),
        recorded.len(),
        "{file}: the number of lines differs"
    );
    let parse_bytes = |line: &&str| {
        let (_, hex) = line.trim_end().split_once(' ').unwrap();
        let byte = |index: usize| u8::from_str_radix(&hex[index..index + 2], 16).unwrap();
        (0..hex.len()).step_by(2).map(byte).collect()
    };
    recorded.iter().map(parse_bytes).collect()
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn key_ring() -> KeyRing {
    KeyRing::new(&[0x11; 32], &[[0x22; 32], [0x33; 32]]).unwrap()
}

fn sender() -> Record {
    Record {
        name: name("gate-a"),
        boot_id: BootId(0x0102_0304_0506_0708),
        incarnation: Incarnation(3),
        address: "10.1.2.3:7400".parse().unwrap(),
        locality: Locality {
            zone: Some(name("zone-1")),
            region: Some(name("region-9")),
        },
        state: MemberState::Alive,
    }
}

fn other() -> Record {
    Record {
        name: name("gate_b.2"),
        boot_id: BootId(77),
        incarnation: Incarnation(300),
        address: "[2001:db8::1:2]:7401".parse().unwrap(),
        locality: Locality {
            zone: None,
            region: Some(name("south")),
        },
        state: MemberState::Suspect,
    }
}

fn message(body: Body) -> Message {
    Message {
        fleet: name("harbour"),
        from: sender(),
        counter: 1_000_001,
        view: View {
            digest: 0xfedc_ba98_7654_3210,
            size: 513,
        },
        body,
        records: vec![other(), sender()],
        engine_reports: vec![EngineReport {
            engine: "engine-4".into(),
            status: EngineStatus::Recovered,
            age_ms: 1500,
        }],
    }
}

fn bodies() -> Vec<Body> {
    vec![
        Body::Ping(Nonce(101)),
        Body::Ack(Nonce(102)),
        Body::IndirectPing {
            nonce: Nonce(103),
            target: Box::new(other()),
        },
        Body::IndirectAck(Nonce(104)),
        Body::IndirectNack(Nonce(105)),
        Body::PageRequest {
            after: Some(name("gate-c")),
        },
        Body::PageRequest { after: None },
        Body::Page {
            next: Some(name("gate-d")),
        },
        Body::Page { next: None },
        Body::Gossip,
        Body::Payload(vec![0, 1, 127, 128, 255]),
        Body::DigestRequest {
            nonce: Nonce(106),
            first_bucket: 96,
            digests: vec![[1, 2, 3, 4, 5, 6, 7, 8], [255; 8]],
        },
        Body::DigestResponse {
            nonce: Nonce(107),
            equal: 0x8000_0005,
            covered: 31,
        },
        Body::FingerprintRequest {
            nonce: Nonce(108),
            from: 0x1122_3344,
            fingerprints: vec![[8, 7, 6, 5, 4, 3, 2, 1], [0; 8]],
        },
        Body::FingerprintResponse {
            nonce: Nonce(109),
            held: 0x80_0000_0000_0001,
            until: 0xffff_ffff_ffff_fff0,
        },
    ]
}

/// Returns the name of a message kind in the golden file. There is no wildcard, so a new variant
/// needs a name here and an example in [`bodies`].
fn golden_name(body: &Body) -> &'static str {
    match body {
        Body::Ping(_) => "ping",
        Body::Ack(_) => "ack",
        Body::IndirectPing { .. } => "indirect_ping",
        Body::IndirectAck(_) => "indirect_ack",
        Body::IndirectNack(_) => "indirect_nack",
        Body::PageRequest { after: Some(_) } => "table_request_after",
        Body::PageRequest { after: None } => "table_request_start",
        Body::Page { next: Some(_) } => "table_page_more",
        Body::Page { next: None } => "table_page_last",
        Body::Gossip => "piggyback_only",
        Body::Payload(_) => "payload",
        Body::DigestRequest { .. } => "digest_compare",
        Body::DigestResponse { .. } => "digest_compared",
        Body::FingerprintRequest { .. } => "list_marks",
        Body::FingerprintResponse { .. } => "list_marks_answer",
    }
}

#[test]
fn datagrams_of_each_kind_match_the_golden_bytes_and_decode() {
    let messages: Vec<Message> = bodies().into_iter().map(message).collect();
    let actual: Vec<(&str, Vec<u8>)> = messages
        .iter()
        .map(|message| (golden_name(&message.body), seal(&key_ring(), message)))
        .collect();
    let recorded = compare("datagrams.txt", &actual);
    for (message, bytes) in messages.iter().zip(&recorded) {
        assert_eq!(
            open(&key_ring(), &name("harbour"), bytes).as_ref(),
            Ok(message)
        );
    }
}

#[test]
fn a_datagram_without_records_and_engine_reports_matches_the_golden_bytes() {
    let empty = Message {
        records: vec![],
        engine_reports: vec![],
        ..message(Body::Ping(Nonce(u64::MAX)))
    };
    let recorded = compare(
        "datagram_bare.txt",
        &[("ping_bare", seal(&key_ring(), &empty))],
    );
    assert_eq!(open(&key_ring(), &name("harbour"), &recorded[0]), Ok(empty));
}

#[test]
fn records_of_each_state_locality_and_address_family_match_the_golden_bytes() {
    let records = [
        ("alive_zone_region_ipv4", sender()),
        ("suspect_region_ipv6", other()),
        (
            "dead_zone_ipv4",
            Record {
                state: MemberState::Dead,
                locality: Locality {
                    zone: Some(name("north")),
                    region: None,
                },
                ..sender()
            },
        ),
        (
            "left_no_place_ipv6",
            Record {
                state: MemberState::Left,
                locality: Locality {
                    zone: None,
                    region: None,
                },
                ..other()
            },
        ),
        (
            "alive_no_place_ipv4",
            Record {
                locality: Locality::default(),
                ..sender()
            },
        ),
        (
            "alive_zone_region_ipv6",
            Record {
                locality: sender().locality,
                state: MemberState::Alive,
                ..other()
            },
        ),
        (
            "alive_highest",
            Record {
                boot_id: BootId(u64::MAX),
                incarnation: Incarnation::MAX,
                address: "255.255.255.255:65535".parse().unwrap(),
                ..sender()
            },
        ),
    ];
    let actual: Vec<(&str, Vec<u8>)> = records
        .iter()
        .map(|(name, record)| (*name, postcard::to_allocvec(record).unwrap()))
        .collect();
    let recorded = compare("records.txt", &actual);
    for ((_, record), bytes) in records.iter().zip(&recorded) {
        assert_eq!(&postcard::from_bytes::<Record>(bytes).unwrap(), record);
    }
}

#[test]
fn engine_reports_of_each_status_match_the_golden_bytes() {
    let reports = [
        (
            "bad",
            EngineReport {
                engine: "engine-1".into(),
                status: EngineStatus::Failing,
                age_ms: 0,
            },
        ),
        (
            "back",
            EngineReport {
                engine: "e".into(),
                status: EngineStatus::Recovered,
                age_ms: u32::MAX,
            },
        ),
    ];
    let actual: Vec<(&str, Vec<u8>)> = reports
        .iter()
        .map(|(name, report)| (*name, postcard::to_allocvec(report).unwrap()))
        .collect();
    let recorded = compare("engine_news.txt", &actual);
    for ((_, report), bytes) in reports.iter().zip(&recorded) {
        assert_eq!(
            &postcard::from_bytes::<EngineReport>(bytes).unwrap(),
            report
        );
    }
}

#[test]
fn texts_of_reject_reasons_match_the_golden_file() {
    let text = |reason: RejectReason| reason.to_string().into_bytes();
    let actual = [
        ("size", text(RejectReason::Length)),
        ("version", text(RejectReason::Version)),
        ("key", text(RejectReason::UnknownKey)),
        ("code", text(RejectReason::AuthenticationTag)),
        ("form", text(RejectReason::Malformed)),
        ("foreign", text(RejectReason::OtherFleet)),
        ("repeated", text(RejectReason::Replayed)),
        ("address", text(RejectReason::SourceAddress)),
        ("unasked", text(RejectReason::Unsolicited)),
        ("many", text(RejectReason::RateLimited)),
        ("own_name", text(RejectReason::OwnName)),
    ];
    compare("refused.txt", &actual);
}

#[test]
fn texts_of_member_states_match_the_golden_file() {
    let text = |state: MemberState| state.to_string().into_bytes();
    let actual = [
        ("alive", text(MemberState::Alive)),
        ("suspect", text(MemberState::Suspect)),
        ("dead", text(MemberState::Dead)),
        ("left", text(MemberState::Left)),
    ];
    compare("states.txt", &actual);
}

#[test]
fn texts_of_view_states_match_the_golden_file() {
    let suspected = vec![name("gate-a"), name("gate-b")];
    let text = |view_state: ViewState| view_state.to_string().into_bytes();
    let state_name = |view_state: ViewState| view_state.name().as_bytes().to_vec();
    let actual = [
        ("alone_name", state_name(ViewState::Isolated)),
        ("alone_shown", text(ViewState::Isolated)),
        ("together_name", state_name(ViewState::Converged)),
        ("together_shown", text(ViewState::Converged)),
        (
            "unsettled_name",
            state_name(ViewState::Converging {
                suspects: suspected.clone(),
            }),
        ),
        (
            "unsettled_shown",
            text(ViewState::Converging {
                suspects: suspected,
            }),
        ),
        (
            "unsettled_over_none_shown",
            text(ViewState::Converging { suspects: vec![] }),
        ),
        (
            "cut_off_name",
            state_name(ViewState::Partitioned { converged_size: 12 }),
        ),
        (
            "cut_off_shown",
            text(ViewState::Partitioned { converged_size: 12 }),
        ),
        ("rejoining_name", state_name(ViewState::Rejoining)),
        ("rejoining_shown", text(ViewState::Rejoining)),
    ];
    compare("standings.txt", &actual);
}
