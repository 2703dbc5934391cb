//! Tests of the scale run's parts that start no processes.

use std::collections::BTreeSet;
use std::path::Path;

use process_harness::scale::layout::{Layout, RealAddress, VOTERS};
use process_harness::scale::limits::{self, LimitError};
use process_harness::scale::links::Links;
use process_harness::scale::report::Spread;
use process_harness::scale::script::Script;
use process_harness::scale::truth::{GRACE_S, Truth};
use process_harness::scale::workers::{MAX_GATEWAYS_PER_PROCESS, members_by_process};

fn layout(hollow: usize) -> Layout {
    let real = |at: u16| RealAddress {
        bound: ([127, 200, 0, 1], 20_000 + at).into(),
        advertised: ([127, 200, 1, 1], 20_000 + at).into(),
    };
    Layout {
        hollow,
        real: vec![real(0), real(1)],
        regions: 4,
        zones: 8,
        network: 100,
        port: 25_000,
    }
}

#[test]
fn names_and_addresses_identify_each_gateway() {
    let layout = layout(1898);
    let addresses: BTreeSet<_> = (0..1900).map(|member| layout.advertised(member)).collect();
    assert_eq!(addresses.len(), 1900);
    for member in 0..1900 {
        assert_eq!(layout.member_named(&layout.name(member)), Some(member));
        assert_eq!(layout.member_at(layout.advertised(member)), Some(member));
        assert_eq!(layout.member_bound_at(layout.bound(member)), Some(member));
    }
    assert_eq!(layout.member_named("h1898"), None);
    assert_eq!(layout.member_at(([127, 101, 1, 1], 25_000).into()), None);
    assert_eq!(layout.seeds().len(), 8);
}

#[test]
fn each_voter_has_its_own_process_and_each_gateway_exactly_one() {
    let processes = members_by_process(&layout(1898));
    assert!((0..VOTERS).all(|voter| processes[voter] == [voter]));
    assert!(
        processes
            .iter()
            .all(|members| members.len() <= MAX_GATEWAYS_PER_PROCESS)
    );
    let mut all: Vec<usize> = processes.into_iter().flatten().collect();
    all.sort_unstable();
    assert_eq!(all, (0..1898).collect::<Vec<_>>());
}

#[test]
fn a_death_is_false_only_if_the_member_was_alive_and_reachable_for_the_grace_period() {
    let mut truth = Truth::new(layout(16));
    assert!(truth.false_death(0.0, 1, 2));
    truth.set_lives(10.0, &[2], false);
    assert!(!truth.false_death(500.0, 1, 2) && truth.living() == 17);
    truth.set_lives(500.0, &[2], true);
    assert!(!truth.false_death(500.0 + GRACE_S, 1, 2));
    assert!(truth.false_death(501.0 + GRACE_S, 1, 2));
    // Two regions whose direct link is cut still reach each other through a third one.
    truth.set_links(
        1000.0,
        Links {
            cut: vec![(0, 1)],
            lost: 0.0,
        },
    );
    assert!(truth.false_death(1001.0, 0, 1));
    let alone = (1..4).map(|other| (0, other)).collect();
    truth.set_links(
        1100.0,
        Links {
            cut: alone,
            lost: 0.0,
        },
    );
    assert!(!truth.false_death(1101.0, 0, 1) && truth.false_death(1101.0, 1, 2));
    truth.set_links(1200.0, Links::default());
    assert!(!truth.false_death(1201.0, 0, 1));
    assert!(truth.false_death(1201.0 + GRACE_S, 0, 1));
}

#[test]
fn quantiles_use_the_nearest_rank() {
    let spread = Spread::of((1..=200).map(f64::from).collect());
    assert_eq!(
        (spread.median, spread.p99, spread.max),
        (100.0, 198.0, 200.0)
    );
    assert_eq!(Spread::of(Vec::new()), Spread::default());
}

#[test]
fn limits_are_checked_before_the_start() {
    assert_eq!(
        limits::check_before_start(60, 200, 60).unwrap_err(),
        LimitError::Processes(200)
    );
    assert!(matches!(
        limits::check_before_start(1_000_000, 10, 60),
        Err(LimitError::Estimate { .. })
    ));
    assert!(limits::check_before_start(60, 6, 60).is_ok());
    assert!(limits::check_running(&[std::process::id()]).unwrap() > 0);
}

#[test]
fn the_example_scripts_are_valid_and_a_fault_must_end_before_the_next() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/harness");
    for name in ["small", "ends", "network", "coordinator"] {
        let script = Script::read(&folder.join(format!("scale-{name}.hcl"))).unwrap();
        assert!(!script.fault.is_empty());
        assert!((0..script.fault.len()).all(|at| script.watched_s(at) > script.fault[at].seconds));
    }
    let late = Script::parse(
        Path::new("f.hcl"),
        "seconds = 5\nfault {\n  at_s = 5\n  what = \"regions\"\n  seconds = 1\n}\n",
    );
    assert!(
        late.unwrap_err()
            .to_string()
            .starts_with("f.hcl: fault 1 (regions at 5 s): seconds: 1 is not")
    );
}

#[test]
fn compressed_daily_faults_have_the_daily_rates() {
    let text = "seconds = 9\nfault {\n  at_s = 0\n  what = \"daily\"\n  seconds = 8\n  compressed = 600\n}\n";
    let script = Script::parse(Path::new("f.hcl"), text).unwrap();
    let (failures, restarts) = script.fault[0].daily_rates(1900);
    assert!((failures * 86_400.0 / 600.0 - 20.0).abs() < 1e-9);
    assert!((restarts * 86_400.0 / 600.0 - 920.0).abs() < 1e-9);
}
