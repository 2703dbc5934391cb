//! Golden tests of the wire format and of the texts of shared budgets: one payload of each kind,
//! the names, units and keys of budgets, and the texts of rejections and configuration errors.
//!
//! The encoding is positional: fields and variants have no names on the wire. If one moves, is
//! added between others or is removed, gateways of two builds misread each other, which breaks
//! rolling restarts. Identifiers in the code may therefore change, but these bytes may not. A
//! budget's key is derived from its name, so the name must stay as well.
//!
//! `GOLDEN_RECORD=1 cargo test -p laurelhitch-quota --test golden` records a deliberate change,
//! whose reason belongs in the commit message. Without that variable, the tests only compare. Each
//! line of a golden file has an entry name and the bytes in hexadecimal digits.

use std::collections::BTreeSet;
use std::path::Path;

use membership::{BootId, Name};
use quota::message::{BudgetDemand, GrantedAmount, LeaseGrant, LeaseRequest, Vote, VoteRequest};
use quota::{
    Amount, Budget, BudgetKey, BudgetKind, ConfigError, HolderId, Payload, RejectReason, RequestId,
};

/// Compares the current entries with the recorded ones, including their names and order, and
/// returns the recorded bytes. With `GOLDEN_RECORD=1` it writes the file first.
fn compare(file: &str, actual: &[(&str, Vec<u8>)]) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let line = |(name, bytes): &(&str, Vec<u8>)| {
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{name} {hex}\n")
    };
    let lines: Vec<String> = actual.iter().map(line).collect();
    if std::env::var("GOLDEN_RECORD").is_ok_and(|value| value == "1") {
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(&path, lines.concat()).unwrap();
    }
    let recorded =
        std::fs::read_to_string(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()));
    let recorded: Vec<&str> = recorded.split_inclusive('\n').collect();
    let names: BTreeSet<&str> = actual.iter().map(|(name, _)| *name).collect();
    assert_eq!(
        names.len(),
        actual.len(),
        "{file}: an entry name occurs twice"
    );
    for (actual, recorded) in lines.iter().zip(&recorded) {
        assert_eq!(
            actual, recorded,
            "{file}: the current output (left) differs from the recorded one (right)"
        );
    }
    assert_eq!(
        lines.len(),
        recorded.len(),
        "{file}: the number of entries differs from the recorded one"
    );
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

fn budget_demands() -> Vec<BudgetDemand> {
    vec![
        BudgetDemand {
            budget: BudgetKey(0xdead_beef),
            demand: Amount(1_500_000),
            held: Amount(250),
            capacity: Amount::MAX,
            guaranteed: Amount(7),
        },
        BudgetDemand {
            budget: BudgetKey(5),
            demand: Amount::ZERO,
            held: Amount(1),
            capacity: Amount(2),
            guaranteed: Amount(3),
        },
    ]
}

fn payloads() -> Vec<Payload> {
    vec![
        Payload::VoteRequest(VoteRequest {
            term: 1001,
            request: RequestId(11),
        }),
        Payload::Vote(Vote {
            request: RequestId(12),
            granted: true,
            highest_term: 1002,
        }),
        Payload::Vote(Vote {
            request: RequestId(13),
            granted: false,
            highest_term: u64::MAX,
        }),
        Payload::StepDown { term: 1003 },
        Payload::LeaseRequest(LeaseRequest {
            request: RequestId(14),
            held_lease: Some(RequestId(10)),
            leaving: false,
            clock_ms: 123_456_789,
            budgets: budget_demands(),
        }),
        Payload::LeaseRequest(LeaseRequest {
            request: RequestId(15),
            held_lease: None,
            leaving: true,
            clock_ms: 200,
            budgets: vec![],
        }),
        Payload::LeaseGrant(LeaseGrant {
            request: RequestId(16),
            term: 1004,
            amounts: vec![
                GrantedAmount {
                    budget: BudgetKey(0xdead_beef),
                    amount: Amount(999_999),
                },
                GrantedAmount {
                    budget: BudgetKey(5),
                    amount: Amount::ZERO,
                },
            ],
        }),
        Payload::Redirect {
            leader: Some(name("gate-a")),
        },
        Payload::Redirect { leader: None },
    ]
}

/// The match has no wildcard, so that a new variant does not compile without a label here. It needs
/// an example in `payloads` too.
fn label(payload: &Payload) -> &'static str {
    match payload {
        Payload::VoteRequest(_) => "vote_request",
        Payload::Vote(Vote { granted: true, .. }) => "vote_yes",
        Payload::Vote(Vote { granted: false, .. }) => "vote_no",
        Payload::StepDown { .. } => "resign",
        Payload::LeaseRequest(LeaseRequest {
            held_lease: Some(_),
            ..
        }) => "lease_request_holding_two_needs",
        Payload::LeaseRequest(LeaseRequest {
            held_lease: None, ..
        }) => "lease_request_holding_none",
        Payload::LeaseGrant(_) => "lease_grant",
        Payload::Redirect { leader: Some(_) } => "redirect_known",
        Payload::Redirect { leader: None } => "redirect_unknown",
    }
}

#[test]
fn payloads_match_their_golden_bytes_and_round_trip() {
    let payloads = payloads();
    let actual: Vec<(&str, Vec<u8>)> = payloads
        .iter()
        .map(|payload| (label(payload), payload.encode()))
        .collect();
    let recorded = compare("words.txt", &actual);
    for (payload, bytes) in payloads.iter().zip(&recorded) {
        assert_eq!(Payload::decode(bytes).as_ref(), Ok(payload));
    }
}

#[test]
fn holder_id_matches_its_golden_bytes_and_round_trips() {
    let holder = HolderId {
        name: name("gate-a"),
        boot_id: BootId(0x0102_0304_0506_0708),
    };
    let recorded = compare(
        "holders.txt",
        &[("holder", postcard::to_allocvec(&holder).unwrap())],
    );
    assert_eq!(
        postcard::from_bytes::<HolderId>(&recorded[0]).unwrap(),
        holder
    );
}

#[test]
fn budget_names_units_and_keys_match_golden_file() {
    let budget = |kind: BudgetKind| Budget {
        kind,
        capacity: Amount(1_000_000),
        guaranteed: Amount(10),
    };
    let tenant = budget(BudgetKind::Tenant("valley-water".into()));
    let retries = budget(BudgetKind::Retries("scores".into()));
    let outlier_probes = budget(BudgetKind::OutlierProbes);
    let slow_start = budget(BudgetKind::SlowStart);
    let budget_name = |budget: &Budget| budget.name().into_bytes();
    let unit = |budget: &Budget| budget.unit().as_bytes().to_vec();
    let key = |budget: &Budget| budget.key().0.to_be_bytes().to_vec();
    let actual = [
        ("member_name", budget_name(&tenant)),
        ("member_unit", unit(&tenant)),
        ("member_mark", key(&tenant)),
        ("relays_name", budget_name(&retries)),
        ("relays_unit", unit(&retries)),
        ("relays_mark", key(&retries)),
        ("trials_name", budget_name(&outlier_probes)),
        ("trials_unit", unit(&outlier_probes)),
        ("trials_mark", key(&outlier_probes)),
        ("cold_name", budget_name(&slow_start)),
        ("cold_unit", unit(&slow_start)),
        ("cold_mark", key(&slow_start)),
    ];
    compare("budgets.txt", &actual);
}

#[test]
fn reject_reason_texts_match_golden_file() {
    let shown = |reason: RejectReason| reason.to_string().into_bytes();
    let actual = [
        ("form", shown(RejectReason::Malformed)),
        ("no_voter", shown(RejectReason::NotAVoter)),
        ("unasked", shown(RejectReason::Unsolicited)),
        ("old", shown(RejectReason::Stale)),
    ];
    compare("refused.txt", &actual);
}

#[test]
fn config_error_texts_match_golden_file() {
    let shown = |error: ConfigError| error.to_string().into_bytes();
    let actual = [
        ("budgets", shown(ConfigError::BudgetCount)),
        (
            "twice",
            shown(ConfigError::DuplicateBudget("member.valley-water".into())),
        ),
        (
            "floors",
            shown(ConfigError::GuaranteesExceedCapacity("trials".into(), 20)),
        ),
        ("voters", shown(ConfigError::Voters)),
        ("short", shown(ConfigError::TermTooShort)),
        ("lease", shown(ConfigError::LeaseTooShort)),
    ];
    compare("terms_errors.txt", &actual);
}

#[test]
fn formatted_amounts_match_golden_file() {
    let shown = |amount: Amount| amount.to_string().into_bytes();
    let actual = [
        ("none", shown(Amount::ZERO)),
        ("a_millionth", shown(Amount(1))),
        ("one_and_a_half", shown(Amount(1_500_000))),
        ("most", shown(Amount::MAX)),
    ];
    compare("amounts.txt", &actual);
}
