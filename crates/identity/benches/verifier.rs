//! What verifying a token costs, cached and not, and a lookup in the revocation list beside one in a plain set.

use std::collections::{BTreeMap, HashSet};
use std::hint::black_box;

use admission::interface::Timestamp;
use criterion::{Criterion, criterion_group, criterion_main};
use identity::grant::Grant;
use identity::key_index::{KeyEntry, KeyId, KeyIndex};
use identity::revocation::{RevocationList, RevokedSubject};
use identity::token::{self, Claims};
use identity::{TokenVerifier, VerifierConfig};

fn verifier_with_token(max_cached_tokens: usize) -> (TokenVerifier, String) {
    let pair = token::generate_key_pair().expect("randomness");
    let id = KeyId::try_from("k1".to_owned()).expect("a name");
    let now = Timestamp::from_secs(1000.0);
    let mut verifier = TokenVerifier::new(
        now,
        VerifierConfig {
            max_cached_tokens,
            signature_checks_per_s: 1e12,
            ..VerifierConfig::default()
        },
    );
    let entry = KeyEntry {
        id: id.clone(),
        announced_s: 0.0,
        signing_s: Some(0.0),
        retired_s: None,
        withdrawn_s: None,
    };
    let public: BTreeMap<_, _> = [(id.clone(), pair.public)].into();
    let lines: String = (0..100_000).map(|n| format!("token r{n}\n")).collect();
    let revoked = RevocationList::parse(&lines).expect("a list");
    verifier
        .update(
            now,
            &KeyIndex {
                version: 1,
                keys: vec![entry],
            },
            &public,
            revoked,
        )
        .expect("an index");
    let grant = Grant {
        tenant: "m".into(),
        sub_queues: None,
        classes: None,
        table_groups: Some(vec![(1, 9).into()]),
        max_open_statements: None,
        networks: None,
    };
    let (issued_s, expires_s) = (900.0, 2000.0);
    let claims = Claims {
        caller: "c".into(),
        id: "t".into(),
        issued_s,
        not_before_s: issued_s,
        expires_s,
        grant,
    };
    (
        verifier,
        token::sign(&claims, &id, &pair.secret).expect("signed"),
    )
}

fn costs(c: &mut Criterion) {
    let now = Timestamp::from_secs(1001.0);
    for (name, max_cached_tokens) in [("remembered", 10_000), ("checked anew", 0)] {
        let (mut verifier, token) = verifier_with_token(max_cached_tokens);
        c.bench_function(name, |b| b.iter(|| black_box(verifier.verify(now, &token))));
    }
    let lines: String = (0..100_000).map(|n| format!("token r{n}\n")).collect();
    let revoked = RevocationList::parse(&lines).expect("a list");
    let plain: HashSet<String> = (0..100_000).map(|n| format!("r{n}")).collect();
    println!(
        "revocations: {} bytes for {} entries",
        revoked.size_in_bytes(),
        revoked.len()
    );
    let mut n = 0;
    c.bench_function("not on the list", |b| {
        b.iter(|| {
            n += 1;
            black_box(revoked.contains(RevokedSubject::Token, &format!("s{n}")))
        });
    });
    c.bench_function("not in a plain set of names", |b| {
        b.iter(|| {
            n += 1;
            black_box(plain.contains(&format!("s{n}")))
        });
    });
}

criterion_group!(benches, costs);
criterion_main!(benches);
