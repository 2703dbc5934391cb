//! Texts of identity as they were recorded: the index of keys as its file stores it, what it says of each key, claims and
//! signed tokens, and the words shown for what is refused.
//!
//! Gateways of two builds share one key folder, and callers keep tokens for as long as those hold. The texts carry names
//! of fields, and an unknown one is refused: a field named anew makes an index unreadable to one build, or a token refused
//! that still holds, and breaks a restart of one gateway after another. One that moves changes what the same claims are
//! signed as. So names in the code may change, and these texts may not.
//!
//! A deliberate change is recorded anew by `GOLDEN_RECORD=1 cargo test -p laurelhitch-identity --test golden`, and
//! committed with its reason; a plain run only compares. Each line of a file is a name and the bytes in hexadecimal digits.

use std::collections::BTreeSet;
use std::path::Path;

use identity::token::{self, Claims, TokenError};
use identity::{
    AuthorizationError, Grant, KeyEntry, KeyId, KeyIndex, KeyIndexError, TokenRejection,
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

/// The first key pair among the examples of RFC 8032, secret half then public half: known to all, of use for nothing else.
const SECRET: [u8; 64] = [
    0x9d, 0x61, 0xb1, 0x9d, 0xef, 0xfd, 0x5a, 0x60, 0xba, 0x84, 0x4a, 0xf4, 0x92, 0xec, 0x2c, 0xc4,
    0x44, 0x49, 0xc5, 0x69, 0x7b, 0x32, 0x69, 0x19, 0x70, 0x3b, 0xac, 0x03, 0x1c, 0xae, 0x7f, 0x60,
    0xd7, 0x5a, 0x98, 0x01, 0x82, 0xb1, 0x0a, 0xb7, 0xd5, 0x4b, 0xfe, 0xd3, 0xc9, 0x64, 0x07, 0x3a,
    0x0e, 0xe1, 0x72, 0xf3, 0xda, 0xa6, 0x23, 0x25, 0xaf, 0x02, 0x1a, 0x68, 0xf7, 0x07, 0x51, 0x1a,
];

fn public() -> [u8; 32] {
    SECRET[32..].try_into().unwrap()
}

fn id(text: &str) -> KeyId {
    KeyId::try_from(text.to_owned()).unwrap()
}

fn full_entry() -> KeyEntry {
    KeyEntry {
        id: id("spring-1"),
        announced_s: 1_000_000.0,
        signing_s: Some(1_000_100.5),
        retired_s: Some(1_000_200.0),
        withdrawn_s: Some(1_000_300.25),
    }
}

fn bare_entry() -> KeyEntry {
    KeyEntry {
        id: id("autumn_2"),
        announced_s: 1_000_400.0,
        signing_s: None,
        retired_s: None,
        withdrawn_s: None,
    }
}

fn index() -> KeyIndex {
    KeyIndex {
        version: 42,
        keys: vec![full_entry(), bare_entry()],
    }
}

fn grant_full() -> Grant {
    Grant {
        tenant: "valley-water".into(),
        sub_queues: Some(BTreeSet::from(["counter".into(), "back-office".into()])),
        classes: Some(BTreeSet::from(["scores".into()])),
        table_groups: Some(vec![(1, 5).into(), (9, 9).into()]),
        max_open_statements: Some(17),
        networks: Some(vec![
            "10.0.0.0/8".parse().unwrap(),
            "2001:db8::/32".parse().unwrap(),
        ]),
    }
}

fn grant_bare() -> Grant {
    Grant {
        tenant: "valley-water".into(),
        sub_queues: None,
        classes: None,
        table_groups: None,
        max_open_statements: None,
        networks: None,
    }
}

fn claims(grant: Grant) -> Claims {
    Claims {
        caller: "counter-7".into(),
        id: "t1".into(),
        issued_s: 1_000_150.0,
        not_before_s: 1_000_151.5,
        expires_s: 1_003_750.0,
        grant,
    }
}

#[test]
fn the_key_index_keeps_its_text_and_is_read_back() {
    // As the file stores it: laid out over lines.
    let made = [
        ("index", serde_json::to_vec_pretty(&index()).unwrap()),
        (
            "index_without_keys",
            serde_json::to_vec_pretty(&KeyIndex::default()).unwrap(),
        ),
    ];
    let recorded = compare("index.txt", &made);
    let read = |bytes: &[u8]| KeyIndex::parse(std::str::from_utf8(bytes).unwrap());
    assert_eq!(read(&recorded[0]), Ok(index()));
    assert_eq!(read(&recorded[1]), Ok(KeyIndex::default()));
}

#[test]
fn what_the_index_says_of_a_key_keeps_its_text_with_each_step_and_with_none() {
    let keys = [
        ("every_step", full_entry()),
        ("announced", bare_entry()),
        (
            "signing",
            KeyEntry {
                signing_s: Some(1_000_401.0),
                ..bare_entry()
            },
        ),
        (
            "retiring",
            KeyEntry {
                signing_s: Some(1_000_401.0),
                retired_s: Some(1_000_402.0),
                ..bare_entry()
            },
        ),
        (
            "withdrawn_unsigned",
            KeyEntry {
                withdrawn_s: Some(1_000_403.0),
                ..bare_entry()
            },
        ),
    ];
    let made: Vec<(&str, Vec<u8>)> = keys
        .iter()
        .map(|(name, key)| (*name, serde_json::to_vec(key).unwrap()))
        .collect();
    let recorded = compare("keys.txt", &made);
    for ((_, key), bytes) in keys.iter().zip(&recorded) {
        assert_eq!(&serde_json::from_slice::<KeyEntry>(bytes).unwrap(), key);
    }
}

#[test]
fn claims_keep_their_text_with_each_limit_and_with_none() {
    let made = [
        (
            "claims_every_limit",
            serde_json::to_vec(&claims(grant_full())).unwrap(),
        ),
        (
            "claims_no_limit",
            serde_json::to_vec(&claims(grant_bare())).unwrap(),
        ),
    ];
    let recorded = compare("claims.txt", &made);
    assert_eq!(
        serde_json::from_slice::<Claims>(&recorded[0]).unwrap(),
        claims(grant_full())
    );
    assert_eq!(
        serde_json::from_slice::<Claims>(&recorded[1]).unwrap(),
        claims(grant_bare())
    );
}

#[test]
fn tokens_keep_their_text_and_recorded_ones_still_hold() {
    // Signing by one key gives one token: nothing in it is drawn.
    let sign = |grant: Grant| {
        token::sign(&claims(grant), &id("spring-1"), &SECRET)
            .unwrap()
            .into_bytes()
    };
    let made = [
        ("token_every_limit", sign(grant_full())),
        ("token_no_limit", sign(grant_bare())),
    ];
    let recorded = compare("tokens.txt", &made);
    for (bytes, grant) in recorded.iter().zip([grant_full(), grant_bare()]) {
        let text = std::str::from_utf8(bytes).unwrap();
        assert_eq!(token::unverified_key_id(text), Ok(id("spring-1")));
        assert_eq!(token::unverified_claims(text), Ok(claims(grant.clone())));
        assert_eq!(token::verify(text, &public()), Ok(claims(grant)));
    }
}

#[test]
fn what_is_shown_of_refused_tokens_keeps_its_words() {
    let shown = |rejection: TokenRejection| rejection.to_string().into_bytes();
    let made = [
        (
            "token_long",
            shown(TokenRejection::Invalid(TokenError::TooLong)),
        ),
        (
            "token_form",
            shown(TokenRejection::Invalid(TokenError::Malformed)),
        ),
        (
            "token_signature",
            shown(TokenRejection::Invalid(TokenError::InvalidSignature)),
        ),
        (
            "token_claims",
            shown(TokenRejection::Invalid(TokenError::InvalidClaims)),
        ),
        ("unknown_key", shown(TokenRejection::UnknownKey)),
        ("withdrawn", shown(TokenRejection::KeyWithdrawn)),
        ("announced", shown(TokenRejection::KeyNotSigningYet)),
        ("not_signing", shown(TokenRejection::KeyNotSigningAtIssue)),
        ("expired", shown(TokenRejection::Expired)),
        ("long", shown(TokenRejection::LifetimeTooLong)),
        ("revoked", shown(TokenRejection::TokenRevoked)),
        ("caller", shown(TokenRejection::CallerRevoked)),
    ];
    compare("refused.txt", &made);
}

#[test]
fn what_is_shown_of_statements_beyond_a_grant_keeps_its_words() {
    let shown = |error: AuthorizationError| error.to_string().into_bytes();
    let made = [
        ("member", shown(AuthorizationError::Tenant)),
        ("desk", shown(AuthorizationError::SubQueue)),
        ("product", shown(AuthorizationError::QueryClass)),
        ("group", shown(AuthorizationError::TableGroup)),
        ("open", shown(AuthorizationError::OpenStatements)),
        ("network", shown(AuthorizationError::Network)),
    ];
    compare("beyond.txt", &made);
}

#[test]
fn what_is_shown_of_a_faulty_index_keeps_its_words() {
    let shown = |error: KeyIndexError| error.to_string().into_bytes();
    let made = [
        ("name", shown(KeyIndexError::InvalidKeyId)),
        ("form", shown(KeyIndexError::Malformed("reason".into()))),
        (
            "twice",
            shown(KeyIndexError::DuplicateKey("spring-1".into())),
        ),
        (
            "order",
            shown(KeyIndexError::TimesOutOfOrder("spring-1".into())),
        ),
        (
            "missing",
            shown(KeyIndexError::MissingPublicKey("spring-1".into())),
        ),
        (
            "back",
            shown(KeyIndexError::WithdrawnKeyReused("spring-1".into())),
        ),
        (
            "older",
            shown(KeyIndexError::OutdatedVersion {
                offered: 3,
                current: 4,
            }),
        ),
        ("many", shown(KeyIndexError::TooManyKeys(1000))),
    ];
    compare("index_errors.txt", &made);
}
