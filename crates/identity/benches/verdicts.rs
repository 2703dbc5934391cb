//! What a verdict costs: remembered, checked anew, and a look at the revocation list beside a plain set.

use std::collections::{BTreeMap, HashSet};
use std::hint::black_box;

use admission::interface::Timestamp;
use criterion::{Criterion, criterion_group, criterion_main};
use identity::grants::Grant;
use identity::keys::{Index, KeyId, Listed};
use identity::revoked::{Kind, Revoked};
use identity::token::{self, Claims};
use identity::{Guard, Terms};

fn guard(cached_verdicts: usize) -> (Guard, String) {
    let (secret, public) = token::fresh().expect("randomness");
    let id = KeyId::try_from("k1".to_owned()).expect("a name");
    let now = Timestamp::from_secs(1000.0);
    let mut guard = Guard::new(
        now,
        Terms {
            cached_verdicts,
            checks_per_s: 1e12,
            ..Terms::default()
        },
    );
    let listed = Listed {
        id: id.clone(),
        announced_s: 0.0,
        signs_s: Some(0.0),
        retires_s: None,
        withdrawn_s: None,
    };
    let public: BTreeMap<_, _> = [(id.clone(), public)].into();
    let lines: String = (0..100_000).map(|n| format!("token r{n}\n")).collect();
    let revoked = Revoked::parse(&lines).expect("a list");
    guard
        .take(
            now,
            &Index {
                version: 1,
                keys: vec![listed],
            },
            &public,
            revoked,
        )
        .expect("an index");
    let grant = Grant {
        member: "m".into(),
        desks: None,
        classes: None,
        groups: Some(vec![(1, 9)]),
        most_open: None,
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
    (guard, token::sign(&claims, &id, &secret).expect("signed"))
}

fn costs(c: &mut Criterion) {
    let now = Timestamp::from_secs(1001.0);
    for (name, cached_verdicts) in [("remembered", 10_000), ("checked anew", 0)] {
        let (mut guard, token) = guard(cached_verdicts);
        c.bench_function(name, |b| b.iter(|| black_box(guard.verdict(now, &token))));
    }
    let lines: String = (0..100_000).map(|n| format!("token r{n}\n")).collect();
    let revoked = Revoked::parse(&lines).expect("a list");
    let plain: HashSet<String> = (0..100_000).map(|n| format!("r{n}")).collect();
    println!(
        "revocations: {} bytes for {} entries",
        revoked.bytes(),
        revoked.len()
    );
    let mut n = 0;
    c.bench_function("not on the list", |b| {
        b.iter(|| {
            n += 1;
            black_box(revoked.holds(Kind::Token, &format!("s{n}")))
        })
    });
    c.bench_function("not in a plain set of names", |b| {
        b.iter(|| {
            n += 1;
            black_box(plain.contains(&format!("s{n}")))
        })
    });
}

criterion_group!(benches, costs);
criterion_main!(benches);
