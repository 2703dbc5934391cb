//! Bytes and texts of the fleet as they were recorded: a datagram of each kind of message, records, news of engines, and
//! the words shown for refusals, states and standings.
//!
//! The layouts are positional: a field or variant has no name on the wire, only its place. One that moves, comes between
//! or leaves makes gateways of two builds misread each other, which breaks a restart of one gateway after another. So
//! names in the code may change, and these bytes may not. Words are recorded since metrics, logs and operators go by them.
//!
//! A deliberate change is recorded anew by `GOLDEN_RECORD=1 cargo test -p laurelhitch-membership --test golden`, and committed
//! with its reason; a plain run only compares. Each line of a file is a name and the bytes in hexadecimal digits.

use std::collections::BTreeSet;
use std::path::Path;

use membership::message::{Body, Message, Nonce, View, open, seal};
use membership::{
    BootId, EngineReport, EngineStatus, Incarnation, KeyRing, Locality, MemberState, Name, Record,
    RejectReason, ViewState,
};

/// Compares what is made today with what was recorded, each name, each byte and their order, and hands back what was
/// recorded. With `GOLDEN_RECORD=1` it writes the file first.
fn compare(file: &str, made: &[(&str, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let line = |(name, bytes): &(&str, Vec<u8>)| {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name} {hex}\n")
    };
    let lines: Vec<String> = made.iter().map(line).collect();
    if std::env::var("GOLDEN_RECORD").is_ok_and(|word| word == "1") {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, lines.concat()).unwrap();
    }
    let recorded =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let recorded: Vec<&str> = recorded.split_inclusive('\n').collect();
    let names: BTreeSet<&str> = made.iter().map(|(name, _)| *name).collect();
    assert_eq!(names.len(), made.len(), "{file}: a name twice");
    for (made, recorded) in lines.iter().zip(&recorded) {
        assert_eq!(
            made, recorded,
            "{file}: made today on the left, recorded on the right"
        );
    }
    assert_eq!(lines.len(), recorded.len(), "{file}: as many lines");
    let bytes = |line: &&str| {
        let (_, hex) = line.trim_end().split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).unwrap();
        (0..hex.len()).step_by(2).map(byte).collect()
    };
    recorded.iter().map(bytes).collect()
}

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn ring() -> KeyRing {
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

/// Without a wildcard: a variant that comes needs a line here, and one of its own above.
fn plain_word(body: &Body) -> &'static str {
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
fn datagrams_of_each_kind_keep_their_bytes_and_are_read_back() {
    let messages: Vec<Message> = bodies().into_iter().map(message).collect();
    let made: Vec<(&str, Vec<u8>)> = messages
        .iter()
        .map(|message| (plain_word(&message.body), seal(&ring(), message)))
        .collect();
    let recorded = compare("datagrams.txt", &made);
    for (message, bytes) in messages.iter().zip(&recorded) {
        assert_eq!(open(&ring(), &name("harbour"), bytes).as_ref(), Ok(message));
    }
}

#[test]
fn a_datagram_with_neither_records_nor_news_keeps_its_bytes() {
    let bare = Message {
        records: vec![],
        engine_reports: vec![],
        ..message(Body::Ping(Nonce(u64::MAX)))
    };
    let recorded = compare("datagram_bare.txt", &[("ping_bare", seal(&ring(), &bare))]);
    assert_eq!(open(&ring(), &name("harbour"), &recorded[0]), Ok(bare));
}

#[test]
fn records_of_each_state_place_and_address_keep_their_bytes() {
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
    let made: Vec<(&str, Vec<u8>)> = records
        .iter()
        .map(|(name, record)| (*name, postcard::to_allocvec(record).unwrap()))
        .collect();
    let recorded = compare("records.txt", &made);
    for ((_, record), bytes) in records.iter().zip(&recorded) {
        assert_eq!(&postcard::from_bytes::<Record>(bytes).unwrap(), record);
    }
}

#[test]
fn news_of_engines_of_each_kind_keep_their_bytes() {
    let news = [
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
    let made: Vec<(&str, Vec<u8>)> = news
        .iter()
        .map(|(name, news)| (*name, postcard::to_allocvec(news).unwrap()))
        .collect();
    let recorded = compare("engine_news.txt", &made);
    for ((_, news), bytes) in news.iter().zip(&recorded) {
        assert_eq!(&postcard::from_bytes::<EngineReport>(bytes).unwrap(), news);
    }
}

#[test]
fn what_is_shown_of_refusals_keeps_its_words() {
    let shown = |refused: RejectReason| refused.to_string().into_bytes();
    let made = [
        ("size", shown(RejectReason::Length)),
        ("version", shown(RejectReason::Version)),
        ("key", shown(RejectReason::UnknownKey)),
        ("code", shown(RejectReason::AuthenticationTag)),
        ("form", shown(RejectReason::Malformed)),
        ("foreign", shown(RejectReason::OtherFleet)),
        ("repeated", shown(RejectReason::Replayed)),
        ("address", shown(RejectReason::SourceAddress)),
        ("unasked", shown(RejectReason::Unsolicited)),
        ("many", shown(RejectReason::RateLimited)),
        ("own_name", shown(RejectReason::OwnName)),
    ];
    compare("refused.txt", &made);
}

#[test]
fn what_is_shown_of_states_keeps_its_words() {
    let shown = |state: MemberState| state.to_string().into_bytes();
    let made = [
        ("alive", shown(MemberState::Alive)),
        ("suspect", shown(MemberState::Suspect)),
        ("dead", shown(MemberState::Dead)),
        ("left", shown(MemberState::Left)),
    ];
    compare("states.txt", &made);
}

#[test]
fn what_is_shown_of_standings_keeps_its_words() {
    let over = vec![name("gate-a"), name("gate-b")];
    let shown = |standing: ViewState| standing.to_string().into_bytes();
    let named = |standing: ViewState| standing.name().as_bytes().to_vec();
    let made = [
        ("alone_name", named(ViewState::Isolated)),
        ("alone_shown", shown(ViewState::Isolated)),
        ("together_name", named(ViewState::Converged)),
        ("together_shown", shown(ViewState::Converged)),
        (
            "unsettled_name",
            named(ViewState::Converging {
                suspects: over.clone(),
            }),
        ),
        (
            "unsettled_shown",
            shown(ViewState::Converging { suspects: over }),
        ),
        (
            "unsettled_over_none_shown",
            shown(ViewState::Converging { suspects: vec![] }),
        ),
        (
            "cut_off_name",
            named(ViewState::Partitioned { converged_size: 12 }),
        ),
        (
            "cut_off_shown",
            shown(ViewState::Partitioned { converged_size: 12 }),
        ),
        ("rejoining_name", named(ViewState::Rejoining)),
        ("rejoining_shown", shown(ViewState::Rejoining)),
    ];
    compare("standings.txt", &made);
}
