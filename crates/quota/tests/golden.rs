//! Bytes and texts of shared budgets as they were recorded: one of each word that gateways say to each other, the names,
//! units and marks of budgets, and the words shown for refusals and for terms that contradict themselves.
//!
//! The layouts are positional: a field or variant has no name on the wire, only its place. One that moves, comes between
//! or leaves makes gateways of two builds misread each other, which breaks a restart of one gateway after another. So
//! names in the code may change, and these bytes may not. A budget's mark follows from its name, so that name stays too.
//!
//! A deliberate change is recorded anew by `GOLDEN_RECORD=1 cargo test -p laurelhitch-quota --test golden`, and committed
//! with its reason; a plain run only compares. Each line of a file is a name and the bytes in hexadecimal digits.

use std::collections::BTreeSet;
use std::path::Path;

use membership::{BootId, Name};
use quota::word::{Ask, Count, Need, Word};
use quota::{Amount, Budget, Refused, TermsError, Use, Who};

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

fn needs() -> Vec<Need> {
    vec![
        Need {
            mark: 0xdead_beef,
            need: Amount(1_500_000),
            held: Amount(250),
            whole: Amount::MOST,
            floor: Amount(7),
        },
        Need {
            mark: 5,
            need: Amount::ZERO,
            held: Amount(1),
            whole: Amount(2),
            floor: Amount(3),
        },
    ]
}

fn words() -> Vec<Word> {
    vec![
        Word::Canvass {
            number: 1001,
            count: Count(11),
        },
        Word::Vote {
            count: Count(12),
            yes: true,
            highest: 1002,
        },
        Word::Vote {
            count: Count(13),
            yes: false,
            highest: u64::MAX,
        },
        Word::Resign { number: 1003 },
        Word::Ask(Ask {
            count: Count(14),
            holds: Some(Count(10)),
            leaves: false,
            clock_ms: 123_456_789,
            needs: needs(),
        }),
        Word::Ask(Ask {
            count: Count(15),
            holds: None,
            leaves: true,
            clock_ms: 200,
            needs: vec![],
        }),
        Word::Grant {
            count: Count(16),
            number: 1004,
            amounts: vec![(0xdead_beef, Amount(999_999)), (5, Amount::ZERO)],
        },
        Word::Steer {
            steward: Some(name("gate-a")),
        },
        Word::Steer { steward: None },
    ]
}

/// Without a wildcard: a variant that comes needs a line here, and one of its own above.
fn plain_word(word: &Word) -> &'static str {
    match word {
        Word::Canvass { .. } => "vote_request",
        Word::Vote { yes: true, .. } => "vote_yes",
        Word::Vote { yes: false, .. } => "vote_no",
        Word::Resign { .. } => "resign",
        Word::Ask(Ask { holds: Some(_), .. }) => "lease_request_holding_two_needs",
        Word::Ask(Ask { holds: None, .. }) => "lease_request_holding_none",
        Word::Grant { .. } => "lease_grant",
        Word::Steer { steward: Some(_) } => "redirect_known",
        Word::Steer { steward: None } => "redirect_unknown",
    }
}

#[test]
fn words_of_each_kind_keep_their_bytes_and_are_read_back() {
    let words = words();
    let made: Vec<(&str, Vec<u8>)> = words
        .iter()
        .map(|word| (plain_word(word), word.bytes()))
        .collect();
    let recorded = compare("words.txt", &made);
    for (word, bytes) in words.iter().zip(&recorded) {
        assert_eq!(Word::read(bytes).as_ref(), Ok(word));
    }
}

#[test]
fn who_holds_a_lease_keeps_its_bytes() {
    let who = Who {
        name: name("gate-a"),
        life: BootId(0x0102_0304_0506_0708),
    };
    let recorded = compare(
        "holders.txt",
        &[("holder", postcard::to_allocvec(&who).unwrap())],
    );
    assert_eq!(postcard::from_bytes::<Who>(&recorded[0]).unwrap(), who);
}

#[test]
fn budgets_keep_their_names_units_and_marks() {
    let of = |of: Use| Budget {
        of,
        whole: Amount(1_000_000),
        floor: Amount(10),
    };
    let member = of(Use::Member("valley-water".into()));
    let attempts = of(Use::Relays("scores".into()));
    let trials = of(Use::Trials);
    let cold = of(Use::Cold);
    let named = |budget: &Budget| budget.name().into_bytes();
    let unit = |budget: &Budget| budget.unit().as_bytes().to_vec();
    let mark = |budget: &Budget| budget.mark().to_be_bytes().to_vec();
    let made = [
        ("member_name", named(&member)),
        ("member_unit", unit(&member)),
        ("member_mark", mark(&member)),
        ("relays_name", named(&attempts)),
        ("relays_unit", unit(&attempts)),
        ("relays_mark", mark(&attempts)),
        ("trials_name", named(&trials)),
        ("trials_unit", unit(&trials)),
        ("trials_mark", mark(&trials)),
        ("cold_name", named(&cold)),
        ("cold_unit", unit(&cold)),
        ("cold_mark", mark(&cold)),
    ];
    compare("budgets.txt", &made);
}

#[test]
fn what_is_shown_of_refusals_keeps_its_words() {
    let shown = |refused: Refused| refused.to_string().into_bytes();
    let made = [
        ("form", shown(Refused::Form)),
        ("no_voter", shown(Refused::NoVoter)),
        ("unasked", shown(Refused::Unasked)),
        ("old", shown(Refused::Old)),
    ];
    compare("refused.txt", &made);
}

#[test]
fn what_is_shown_of_faulty_terms_keeps_its_words() {
    let shown = |error: TermsError| error.to_string().into_bytes();
    let made = [
        ("budgets", shown(TermsError::Budgets)),
        (
            "twice",
            shown(TermsError::Twice("member.valley-water".into())),
        ),
        ("floors", shown(TermsError::Floors("trials".into(), 20))),
        ("voters", shown(TermsError::Voters)),
        ("short", shown(TermsError::Short)),
        ("lease", shown(TermsError::Lease)),
    ];
    compare("terms_errors.txt", &made);
}

#[test]
fn what_is_shown_of_amounts_keeps_its_digits() {
    let shown = |amount: Amount| amount.to_string().into_bytes();
    let made = [
        ("none", shown(Amount::ZERO)),
        ("a_millionth", shown(Amount(1))),
        ("one_and_a_half", shown(Amount(1_500_000))),
        ("most", shown(Amount::MOST)),
    ];
    compare("amounts.txt", &made);
}
