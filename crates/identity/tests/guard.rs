//! Verdicts on tokens: each way a token, a key or a file can be wrong, and what must hold through changes of keys.

use std::collections::BTreeMap;

use admission::interface::{TimeDelta, Timestamp};
use identity::grants::{Beyond, Grant, Request};
use identity::keys::{Index, IndexError, KeyId, Listed};
use identity::revoked::{Kind, Revoked};
use identity::token::{self, Claims, TokenError};
use identity::{Guard, Terms, Verdict, Why};
use quickcheck::{Gen, QuickCheck};

const START: f64 = 1_000_000.0;

fn at(secs: f64) -> Timestamp {
    Timestamp::from_secs(START + secs)
}

struct Key {
    id: KeyId,
    secret: [u8; 64],
    public: [u8; 32],
}

fn key(name: &str) -> Key {
    let (secret, public) = token::fresh().unwrap();
    Key {
        id: KeyId::try_from(name.to_owned()).unwrap(),
        secret: *secret,
        public,
    }
}

fn listed(key: &Key, signs: Option<f64>, retires: Option<f64>, withdrawn: Option<f64>) -> Listed {
    let [signs_s, retires_s, withdrawn_s] =
        [signs, retires, withdrawn].map(|at| at.map(|at| START + at));
    Listed {
        id: key.id.clone(),
        announced_s: START - 100.0,
        signs_s,
        retires_s,
        withdrawn_s,
    }
}

fn grant() -> Grant {
    Grant {
        member: "valley-water".into(),
        desks: None,
        classes: None,
        groups: None,
        most_open: None,
        networks: None,
    }
}

fn claims(issued: f64, lasts: f64) -> Claims {
    let issued_s = START + issued;
    let expires_s = issued_s + lasts;
    Claims {
        caller: "counter-7".into(),
        id: "t1".into(),
        issued_s,
        not_before_s: issued_s,
        expires_s,
        grant: grant(),
    }
}

fn take(
    guard: &mut Guard,
    now: f64,
    version: u64,
    keys: &[(&Key, Listed)],
) -> Result<(), IndexError> {
    take_with(guard, now, version, keys, Revoked::default())
}

fn take_with(
    guard: &mut Guard,
    now: f64,
    version: u64,
    keys: &[(&Key, Listed)],
    revoked: Revoked,
) -> Result<(), IndexError> {
    let public: BTreeMap<_, _> = keys
        .iter()
        .map(|(key, _)| (key.id.clone(), key.public))
        .collect();
    let index = Index {
        version,
        keys: keys.iter().map(|(_, listed)| listed.clone()).collect(),
    };
    guard.take(at(now), &index, &public, revoked)
}

fn guard() -> Guard {
    Guard::new(at(0.0), Terms::default())
}

fn granted(verdict: &Verdict) -> bool {
    matches!(verdict, Verdict::Granted { .. })
}

#[test]
fn a_token_holds_from_its_start_to_its_end_with_the_skew_and_no_longer() {
    let one = key("k1");
    let mut guard = guard();
    take(
        &mut guard,
        0.0,
        1,
        &[(&one, listed(&one, Some(-50.0), None, None))],
    )
    .unwrap();
    let token = token::sign(&claims(0.0, 60.0), &one.id, &one.secret).unwrap();
    // Backwards would be a clock set back, which is another test.
    for (now, want) in [(0.0, true), (30.0, true), (64.9, true)] {
        assert_eq!(granted(&guard.verdict(at(now), &token)), want, "{now}");
    }
    assert_eq!(
        guard.verdict(at(65.1), &token),
        Verdict::Refused(Why::Expired)
    );
    let later = token::sign(&claims(100.0, 60.0), &one.id, &one.secret).unwrap();
    assert!(
        matches!(guard.verdict(at(70.0), &later), Verdict::Later { back } if back <= TimeDelta::from_secs(0.5))
    );
    assert!(granted(&guard.verdict(at(95.1), &later)));
    let long = token::sign(&claims(95.0, 90_000.0), &one.id, &one.secret).unwrap();
    assert_eq!(guard.verdict(at(96.0), &long), Verdict::Refused(Why::Long));
    assert_eq!(
        guard.checked, 5,
        "a remembered verdict is not checked again"
    );
}

#[test]
fn a_new_key_still_arriving_is_no_forgery_and_a_withdrawn_one_gets_no_grace() {
    let (old, new) = (key("old"), key("new"));
    let mut guard = guard();
    take(
        &mut guard,
        0.0,
        1,
        &[(&old, listed(&old, Some(-50.0), None, None))],
    )
    .unwrap();
    let early = token::sign(&claims(9.0, 600.0), &new.id, &new.secret).unwrap();
    assert!(matches!(
        guard.verdict(at(10.0), &early),
        Verdict::Later { .. }
    ));
    // It never comes: after the grace it is refused.
    assert_eq!(
        guard.verdict(at(39.1), &early),
        Verdict::Refused(Why::UnknownKey)
    );
    let keys = [
        (&old, listed(&old, Some(-50.0), Some(40.0), Some(50.0))),
        (&new, listed(&new, Some(8.0), None, None)),
    ];
    let by_old = token::sign(&claims(20.0, 600.0), &old.id, &old.secret).unwrap();
    assert!(granted(&guard.verdict(at(39.5), &by_old)));
    take(&mut guard, 40.0, 2, &keys).unwrap();
    assert!(granted(&guard.verdict(at(40.0), &early)));
    // Retiring: what it signed holds until it is withdrawn, what it signs after retiring does not.
    let Verdict::Granted { until, .. } = guard.verdict(at(41.0), &by_old) else {
        panic!()
    };
    assert_eq!(until, at(50.0));
    let after = token::sign(&claims(46.0, 600.0), &old.id, &old.secret).unwrap();
    assert_eq!(
        guard.verdict(at(47.0), &after),
        Verdict::Refused(Why::NotSigning)
    );
    assert_eq!(
        guard.verdict(at(50.0), &by_old),
        Verdict::Refused(Why::Withdrawn)
    );
    let fresh = token::sign(&claims(50.0, 600.0), &old.id, &old.secret).unwrap();
    assert_eq!(
        guard.verdict(at(50.1), &fresh),
        Verdict::Refused(Why::Withdrawn)
    );
}

#[test]
fn a_clock_set_back_an_hour_or_an_index_of_before_brings_no_withdrawn_key_back() {
    let old = key("old");
    let mut guard = guard();
    take(
        &mut guard,
        0.0,
        5,
        &[(&old, listed(&old, Some(-50.0), None, Some(10.0)))],
    )
    .unwrap();
    let token = token::sign(&claims(1.0, 6000.0), &old.id, &old.secret).unwrap();
    assert!(granted(&guard.verdict(at(5.0), &token)));
    assert_eq!(
        guard.verdict(at(10.0), &token),
        Verdict::Refused(Why::Withdrawn)
    );
    assert_eq!(
        guard.verdict(at(-3590.0), &token),
        Verdict::Refused(Why::Withdrawn)
    );
    let again = [(&old, listed(&old, Some(-50.0), None, None))];
    assert_eq!(
        take(&mut guard, -3590.0, 4, &again),
        Err(IndexError::Older(4, 5))
    );
    assert_eq!(
        take(&mut guard, 11.0, 6, &again),
        Err(IndexError::Back("old".into()))
    );
    // Left out, it is withdrawn too.
    take(&mut guard, 12.0, 7, &[]).unwrap();
    assert_eq!(
        take(&mut guard, 13.0, 8, &again),
        Err(IndexError::Back("old".into()))
    );
    assert_eq!(
        guard.verdict(at(13.0), &token),
        Verdict::Refused(Why::Withdrawn)
    );
}

#[test]
fn what_an_index_cannot_say_changes_nothing() {
    let (one, two) = (key("k1"), key("k2"));
    let mut guard = guard();
    take(
        &mut guard,
        0.0,
        1,
        &[(&one, listed(&one, Some(-50.0), None, None))],
    )
    .unwrap();
    let token = token::sign(&claims(0.0, 600.0), &one.id, &one.secret).unwrap();
    let good = listed(&one, Some(-50.0), None, None);
    let twice = Index {
        version: 2,
        keys: vec![good.clone(), good.clone()],
    };
    let missing = Index {
        version: 2,
        keys: vec![good.clone(), listed(&two, None, None, None)],
    };
    let order = Index {
        version: 2,
        keys: vec![listed(&one, Some(9.0), Some(3.0), None)],
    };
    let unsigned = Index {
        version: 2,
        keys: vec![listed(&one, None, Some(3.0), None)],
    };
    let public: BTreeMap<_, _> = [(one.id.clone(), one.public)].into();
    for (index, want) in [
        (twice, IndexError::Twice("k1".into())),
        (missing, IndexError::Missing("k2".into())),
        (order, IndexError::Order("k1".into())),
        (unsigned, IndexError::Order("k1".into())),
    ] {
        assert_eq!(
            guard.take(at(1.0), &index, &public, Revoked::default()),
            Err(want)
        );
        assert!(granted(&guard.verdict(at(1.0), &token)));
    }
    // Another key under a known name.
    let other: BTreeMap<_, _> = [(one.id.clone(), two.public)].into();
    let index = Index {
        version: 2,
        keys: vec![good],
    };
    assert!(
        guard
            .take(at(1.0), &index, &other, Revoked::default())
            .is_err()
    );
    let whole = serde_json::to_string(&index).unwrap();
    for end in 0..whole.len() {
        assert!(
            Index::parse(&whole[..end]).is_err(),
            "half written at {end}"
        );
    }
    assert_eq!(Index::parse(&whole), Ok(index));
    assert!(Index::parse(&whole.replace("version", "versions")).is_err());
    assert!(Index::parse(&whole.replace("k1", "k 1")).is_err());
}

#[test]
fn revocation_by_token_and_by_caller_acts_with_the_file() {
    let one = key("k1");
    let keys = [(&one, listed(&one, Some(-50.0), None, None))];
    let token = token::sign(&claims(0.0, 600.0), &one.id, &one.secret).unwrap();
    for (list, want) in [
        ("token t1\n", Why::Revoked),
        ("# note\n\ncaller counter-7", Why::Caller),
    ] {
        let mut guard = guard();
        take(&mut guard, 0.0, 1, &keys).unwrap();
        assert!(granted(&guard.verdict(at(1.0), &token)));
        take_with(&mut guard, 2.0, 2, &keys, Revoked::parse(list).unwrap()).unwrap();
        assert_eq!(guard.verdict(at(2.0), &token), Verdict::Refused(want));
    }
    assert_eq!(Revoked::parse("token a\nnobody b").unwrap_err(), 2);
}

#[test]
fn the_filter_never_refuses_one_that_is_not_on_the_list() {
    let lines: String = (0..100_000).map(|n| format!("token r{n}\n")).collect();
    let revoked = Revoked::parse(&lines).unwrap();
    assert_eq!(revoked.len(), 100_000);
    assert!(revoked.bytes() < 2 << 20, "{}", revoked.bytes());
    assert!((0..100_000).all(|n| revoked.holds(Kind::Token, &format!("r{n}"))));
    assert!((0..100_000).all(|n| !revoked.holds(Kind::Token, &format!("s{n}"))));
    assert!(!revoked.holds(Kind::Caller, "r1"));
}

#[test]
fn no_byte_of_a_token_can_be_changed_cut_or_exchanged_for_another_algorithm() {
    let (one, two) = (key("k1"), key("k2"));
    let mut guard = Guard::new(
        at(0.0),
        Terms {
            checks_per_s: 1e9,
            ..Terms::default()
        },
    );
    take(
        &mut guard,
        0.0,
        1,
        &[(&one, listed(&one, Some(-50.0), None, None))],
    )
    .unwrap();
    let token = token::sign(&claims(0.0, 600.0), &one.id, &one.secret).unwrap();
    for (at_byte, byte) in token.bytes().enumerate() {
        for other in [byte ^ 1, b'A', b'.', b'\0', 0x7f] {
            let mut bytes = token.clone().into_bytes();
            bytes[at_byte] = other;
            let Ok(changed) = String::from_utf8(bytes) else {
                continue;
            };
            assert!(
                changed == token || !granted(&guard.verdict(at(1.0), &changed)),
                "{at_byte} {other}"
            );
        }
        assert!(
            !granted(&guard.verdict(at(1.0), &token[..at_byte])),
            "cut at {at_byte}"
        );
    }
    let by_other = token::sign(&claims(0.0, 600.0), &one.id, &two.secret).unwrap();
    assert_eq!(
        guard.verdict(at(1.0), &by_other),
        Verdict::Refused(Why::Token(TokenError::Signature))
    );
    for form in [
        "v4.local.",
        "v3.public.",
        "v2.public.",
        "eyJhbGciOiJub25lIn0.",
        "eyJhbGciOiJIUzI1NiJ9.",
    ] {
        let body = token.strip_prefix("v4.public.").unwrap();
        assert!(matches!(
            guard.verdict(at(1.0), &format!("{form}{body}")),
            Verdict::Refused(Why::Token(_))
        ));
    }
    let long = format!("{token}{}", "A".repeat(5000));
    assert_eq!(
        guard.verdict(at(1.0), &long),
        Verdict::Refused(Why::Token(TokenError::Long))
    );
}

#[test]
fn claims_that_are_not_known_or_make_no_sense_are_refused() {
    let one = key("k1");
    let sound = claims(0.0, 60.0);
    for change in [
        |c: &mut Claims| c.expires_s = c.not_before_s,
        |c: &mut Claims| c.caller.clear(),
        |c: &mut Claims| c.id = "x".repeat(65),
        |c: &mut Claims| c.grant.member.clear(),
        |c: &mut Claims| c.grant.groups = Some(vec![(5, 4)]),
        |c: &mut Claims| c.issued_s = -1.0,
    ] {
        let mut claims = sound.clone();
        change(&mut claims);
        let token = token::sign(&claims, &one.id, &one.secret).unwrap();
        assert_eq!(
            token::open(&token, &one.public),
            Err(TokenError::Claims),
            "{claims:?}"
        );
    }
    // A further claim is critical.
    let text = serde_json::to_string(&sound)
        .unwrap()
        .replacen('{', "{\"admin\":true,", 1);
    assert!(serde_json::from_str::<Claims>(&text).is_err());
}

#[test]
fn a_flood_of_bad_tokens_spends_a_bounded_number_of_checks_and_known_ones_pass() {
    let (one, two) = (key("k1"), key("k2"));
    let mut guard = Guard::new(
        at(0.0),
        Terms {
            checks_per_s: 100.0,
            ..Terms::default()
        },
    );
    take(
        &mut guard,
        0.0,
        1,
        &[(&one, listed(&one, Some(-50.0), None, None))],
    )
    .unwrap();
    let known = token::sign(&claims(0.0, 600.0), &one.id, &one.secret).unwrap();
    assert!(granted(&guard.verdict(at(0.0), &known)));
    let before = guard.checked;
    for n in 0..1000 {
        let mut bad = claims(0.0, 600.0);
        bad.id = format!("b{n}");
        let bad = token::sign(&bad, &one.id, &two.secret).unwrap();
        assert!(!granted(&guard.verdict(at(n as f64 / 1000.0), &bad)));
        assert!(granted(&guard.verdict(at(n as f64 / 1000.0), &known)));
    }
    assert!(guard.checked - before <= 201, "{}", guard.checked - before);
    assert_eq!(guard.cached_verdicts(), 1);
}

#[test]
fn random_text_is_never_granted_and_never_panics() {
    fn holds(bytes: Vec<u8>) -> bool {
        let one = key("k1");
        let mut guard = Guard::new(at(0.0), Terms::default());
        take(
            &mut guard,
            0.0,
            1,
            &[(&one, listed(&one, Some(-50.0), None, None))],
        )
        .unwrap();
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let index = Index::parse(&text).is_err();
        index
            && [text.clone(), format!("v4.public.{text}")]
                .iter()
                .all(|t| !granted(&guard.verdict(at(1.0), t)))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 5))
        .tests(300)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn a_statement_beyond_its_grant_is_told_the_first_reason() {
    let names = |of: &[&str]| Some(of.iter().map(|name| (*name).to_owned()).collect());
    let narrow = Grant {
        desks: names(&["counter"]),
        classes: names(&["lookup"]),
        groups: Some(vec![(3, 5), (9, 9)]),
        most_open: Some(2),
        networks: Some(vec![
            "10.1.0.0/16".parse().unwrap(),
            "fd00::/8".parse().unwrap(),
        ]),
        ..grant()
    };
    assert_eq!(narrow.desk(None), Some("counter"));
    let fine = Request {
        member: Some("valley-water"),
        desk: Some("counter"),
        class: "lookup",
        group: Some(4),
        from: "10.1.2.3".parse().unwrap(),
        open: 1,
    };
    for (request, want) in [
        (fine, Ok(())),
        (
            Request {
                member: None,
                desk: None,
                ..fine
            },
            Ok(()),
        ),
        (
            Request {
                from: "::ffff:10.1.2.3".parse().unwrap(),
                ..fine
            },
            Ok(()),
        ),
        (
            Request {
                member: Some("south-power"),
                ..fine
            },
            Err(Beyond::Member),
        ),
        (
            Request {
                desk: Some("accounts"),
                ..fine
            },
            Err(Beyond::Desk),
        ),
        (
            Request {
                class: "report",
                ..fine
            },
            Err(Beyond::Product),
        ),
        (
            Request {
                group: Some(6),
                ..fine
            },
            Err(Beyond::Group),
        ),
        (
            Request {
                group: None,
                ..fine
            },
            Err(Beyond::Group),
        ),
        (Request { open: 2, ..fine }, Err(Beyond::Open)),
        (
            Request {
                from: "10.2.0.1".parse().unwrap(),
                ..fine
            },
            Err(Beyond::Network),
        ),
    ] {
        assert_eq!(narrow.allows(&request), want, "{request:?}");
    }
    assert_eq!(
        grant().allows(&Request {
            group: None,
            ..fine
        }),
        Ok(())
    );
}
