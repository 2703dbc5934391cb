//! A small scale run with 60 hollow gateways, two real processes and a rack of five that crashes.
//! Each bound is several times the usual value, so that a regression exceeds it and a loaded
//! machine does not.

mod support;

use std::time::{Duration, Instant};

use support::{number, scale, scale_report};

/// The longest time that the whole run may take.
const MAX_RUN_TIME: Duration = Duration::from_secs(30);

#[test]
fn hollow_and_real_gateways_agree_again_after_a_rack_crashes() {
    let began = Instant::now();
    let flags = [
        "--hollow",
        "60",
        "--real",
        "2",
        "--regions",
        "2",
        "--zones",
        "4",
        "--seconds",
        "8",
        "--seed",
        "1",
    ];
    let report = scale_report("scale-small.hcl", &flags);
    assert!(began.elapsed() < MAX_RUN_TIME, "{:?}", began.elapsed());
    assert!(number(&report, "/start_agreed_s") < 8.0, "{report:#}");
    assert_eq!(number(&report, "/gateways"), 60.0);
    assert_eq!(number(&report, "/troubles/false_deaths"), 0.0, "{report:#}");
    let median = |of: &str| number(&report, &format!("/{of}/median"));
    assert!(median("bytes_per_second") < MAX_BYTES, "{report:#}");
    assert!(median("datagrams_per_second") < MAX_DATAGRAMS, "{report:#}");
    assert!(
        median("bytes_per_second") > 0.0 && median("cpu_part") > 0.0,
        "{report:#}"
    );
    assert!(
        median("memory_bytes_per_gateway") < MAX_MEMORY,
        "{report:#}"
    );
    let real = number(&report, "/comparison/real/bytes_per_second/median");
    let apart = real / median("bytes_per_second");
    assert!(
        (0.5..2.0).contains(&apart),
        "real ones send {apart} times as much: {report:#}"
    );
    let fault = &report["faults"][0];
    assert_eq!(fault["ended"], 5);
    assert!(number(fault, "/detected_s") <= number(fault, "/all_detected_s"));
    assert!(
        number(fault, "/detected_s") > 0.0 && number(fault, "/agreed_s") < 9.9,
        "{report:#}"
    );
    // Views cannot agree before every crash is detected. They are compared four times a second.
    assert!(
        number(fault, "/agreed_s") >= number(fault, "/all_detected_s"),
        "{report:#}"
    );
    assert_eq!(number(fault, "/false_deaths"), 0.0, "{report:#}");
}

/// Bounds for one gateway: bytes and datagrams per second in both directions, and memory in bytes.
const MAX_BYTES: f64 = 10_000.0;
const MAX_DATAGRAMS: f64 = 60.0;
const MAX_MEMORY: f64 = 600_000.0;

#[test]
fn an_invalid_flag_or_script_gives_one_line_that_names_it() {
    let folder = std::env::temp_dir().join(format!("laurelhitch-scale-bad-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    };
    let words = file(
        "words.hcl",
        "seconds = 10\nfault {\n  at_s = 1\n  what = \"quake\"\n}\n",
    );
    let long = file(
        "long.hcl",
        "seconds = 10\nfault {\n  at_s = 1\n  what = \"loss\"\n  seconds = 20\n}\n",
    );
    let block = file("block.hcl", "seconds = 10\nblock = \"period_ms = 1\"\n");
    let json = folder.join("none/out.json").display().to_string();
    let cases: [(&[&str], &str); 9] = [
        (
            &["--hollow", "2", "--real", "0"],
            "--hollow: 2 is not between 3 and 4096",
        ),
        (&["--hollow", "5000", "--real", "0"], "--hollow: 5000"),
        (&["--hollow", "60", "--real", "101"], "--real: 101"),
        (
            &["--hollow", "60", "--real", "0", "--budgets", "25"],
            "--budgets: 25",
        ),
        (
            &["--hollow", "60", "--real", "0", "--seconds", "0"],
            "--seconds: 0",
        ),
        (
            &["--hollow", "60", "--real", "0", "--faults", &words],
            "quake",
        ),
        (
            &["--hollow", "60", "--real", "0", "--faults", &long],
            "fault 1 (loss at 1 s): seconds: 20",
        ),
        (
            &["--hollow", "60", "--real", "0", "--faults", &block],
            "fleet.period_ms: 1 is not between",
        ),
        (
            &["--hollow", "60", "--real", "0", "--json", &json],
            "--json: ",
        ),
    ];
    for (arguments, says) in cases {
        let out = scale(arguments);
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(
            !out.status.success() && said.contains(says),
            "{arguments:?}: {said}"
        );
        assert_eq!(said.trim_end().lines().count(), 1, "{said}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}
